"""What control costs a node by size: sharing by the links it plays on, membership by the nodes there are. Both in virtual
time, with the objects that serve and frames as they are encoded, without sockets.
"""

from __future__ import annotations

import time

from curlewshift.emulator.peers import NS, PeerFleet
from curlewshift.emulator.sharing_bytes import SECONDS, Among
from curlewshift.membership.terms import default_membership_terms
from curlewshift.scale.slopes import Run, Slope

# The fleet of the users' size.
FRONTS, SERVERS, ZONES, REGIONS = 630, 2000, 9, 3
# What a link plays for this front (kB/s), as in emulator/sharing_bytes.py.
OWN = 700.0
# How long the fleet is watched at rest, after a zone was lost, with regions apart, and once they have agreed again (s).
QUIET, AFTER_LOSS, APART, AFTER = 5, 15, 60, 5
SETTLES, AGREES_WITHIN = 3, 60


def measure_sharing(run: Run) -> list[Slope]:
    by = ("links played on", "count")
    notes = [
        f"simulated: {FRONTS} fronts, {SERVERS} servers, {SECONDS} s of virtual time; what one front sends, and its "
        "answers as the one that adds up"
    ]
    bytes_ = Slope("sharing-bytes-by-links", by, ("bytes a second sent", "bytes/s"), notes=notes)
    time_ = Slope(
        "sharing-time-by-links",
        by,
        ("processor time a second", "seconds"),
        notes=[*notes, "decisions and encoding; without sockets, and without reading what others send"],
    )
    for number in range(run.rounds):
        for size in run.sizes:
            among = playing_on(size)
            began = time.process_time()
            among.run()
            used = (time.process_time() - began) / SECONDS
            bytes_.points.append((size, among.bytes / SECONDS))
            time_.points.append((size, used))
            run.say(
                f"sharing, round {number + 1}: {size} links: {among.bytes / SECONDS / 1000:.1f} kB a second, "
                f"{among.datagrams / SECONDS:.0f} datagrams, {100 * used:.1f}% of a core"
            )
    return [bytes_, time_]


def playing_on(links: int) -> Among:
    among = Among(FRONTS, SERVERS)
    for server in among.fleet:
        server.link.own = server.rack.link.own = 0.0
    for server in among.rng.sample(among.fleet, links):
        server.link.own = server.rack.link.own = OWN
    return among


def measure_membership(run: Run) -> list[Slope]:
    by, y = ("nodes", "count"), ("bytes a second a node, sent", "bytes/s")
    why = f"simulated, period 1 s; {ZONES} zones, {REGIONS} regions"
    slopes = {
        name: Slope(f"membership-bytes-{name}", by, y, notes=[f"{why}; {what}"])
        for name, what in (
            ("quiet", f"over {QUIET} s of nothing"),
            ("zone-lost", f"over the {AFTER_LOSS} s after a zone was lost, a node that is left"),
            ("regions-apart", f"over {APART} s of regions apart, after all were there again"),
            ("agreed-again", f"over the {AFTER} s after the regions had agreed again"),
        )
    }
    took = Slope("membership-agreed-after-apart", by, ("from the regions' meeting until all agree", "seconds"), notes=[why])
    for number in range(run.rounds):
        for size in run.sizes:
            rows = _membership(size, run.seed + number)
            for name, slope in slopes.items():
                slope.points.append((size, rows[name]))
            took.points.append((size, rows["took"]))
            run.say(
                f"membership, round {number + 1}: {size} nodes: " + ", ".join(f"{name} {row:.0f}" for name, row in rows.items())
            )
    return [*slopes.values(), took]


def _membership(size: int, seed: int) -> dict[str, float]:
    """Raises `TimeoutError` where the fleet does not agree again."""
    fleet = PeerFleet(size, seed, default_membership_terms(NS))
    fleet.start_settled()
    fleet.run(SETTLES)
    told = {"quiet": _bytes(fleet, QUIET, size)}
    zone = [post for number, post in enumerate(fleet.posts) if number % ZONES == ZONES - 1]
    for post in zone:
        post.kill()
    told["zone-lost"] = _bytes(fleet, AFTER_LOSS, size - len(zone))
    for post in zone:
        post.start()
    _agree(fleet)
    fleet.run(SETTLES)
    fleet.links.parted = lambda a, b: a % REGIONS != b % REGIONS
    told["regions-apart"] = _bytes(fleet, APART, size)
    fleet.links.parted = lambda a, b: False
    told["took"] = _agree(fleet)
    told["agreed-again"] = _bytes(fleet, AFTER, size)
    return told


def _bytes(fleet: PeerFleet, seconds: int, nodes: int) -> float:
    before = fleet.bytes
    fleet.run(seconds)
    return (fleet.bytes - before) / nodes / seconds


def _agree(fleet: PeerFleet) -> float:
    after = fleet.until(fleet.agreed, AGREES_WITHIN)
    if after is None:
        raise TimeoutError(f"{len(fleet.posts)} nodes do not agree within {AGREES_WITHIN} s")
    return after
