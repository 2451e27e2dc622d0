"""Control-plane cost of a node: sharing by the number of links it plays on, membership by the number of nodes. Both are
simulated in virtual time, with the protocol objects and frame encoding of the program and without sockets.
"""

from __future__ import annotations

import time

from curlewshift.emulator.peers import NS, PeerFleet
from curlewshift.emulator.sharing_bytes import SECONDS, Among
from curlewshift.membership.terms import default_membership_terms
from curlewshift.scale.slopes import Run, Slope

# Size of the fleet that the program is specified for.
FRONTS, SERVERS, ZONES, REGIONS = 630, 2000, 9, 3
# Use of a link by this front (kB/s), as in emulator/sharing_bytes.py.
OWN_USE = 700.0
# Measured times (s): at rest, after the loss of a zone, during a partition of the regions, and after all agree again.
QUIET_S, AFTER_LOSS_S, APART_S, AFTER_S = 5, 15, 60, 5
SETTLE_S, AGREE_TIMEOUT_S = 3, 60


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
        server.link.own = server.rack.link.own = OWN_USE
    return among


def measure_membership(run: Run) -> list[Slope]:
    by, y = ("nodes", "count"), ("bytes a second a node, sent", "bytes/s")
    why = f"simulated, period 1 s; {ZONES} zones, {REGIONS} regions"
    slopes = {
        name: Slope(f"membership-bytes-{name}", by, y, notes=[f"{why}; {what}"])
        for name, what in (
            ("quiet", f"over {QUIET_S} s of nothing"),
            ("zone-lost", f"over the {AFTER_LOSS_S} s after a zone was lost, a node that is left"),
            ("regions-apart", f"over {APART_S} s of regions apart, after all were there again"),
            ("agreed-again", f"over the {AFTER_S} s after the regions had agreed again"),
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
    """Bytes per second and node in each phase. Raises `TimeoutError` if the views do not agree again."""
    fleet = PeerFleet(size, seed, default_membership_terms(NS))
    fleet.start_settled()
    fleet.run(SETTLE_S)
    result = {"quiet": _bytes(fleet, QUIET_S, size)}
    zone = [post for number, post in enumerate(fleet.posts) if number % ZONES == ZONES - 1]
    for post in zone:
        post.kill()
    result["zone-lost"] = _bytes(fleet, AFTER_LOSS_S, size - len(zone))
    for post in zone:
        post.start()
    _agree(fleet)
    fleet.run(SETTLE_S)
    fleet.links.parted = lambda a, b: a % REGIONS != b % REGIONS
    result["regions-apart"] = _bytes(fleet, APART_S, size)
    fleet.links.parted = lambda a, b: False
    result["took"] = _agree(fleet)
    result["agreed-again"] = _bytes(fleet, AFTER_S, size)
    return result


def _bytes(fleet: PeerFleet, seconds: int, nodes: int) -> float:
    before = fleet.bytes
    fleet.run(seconds)
    return (fleet.bytes - before) / nodes / seconds


def _agree(fleet: PeerFleet) -> float:
    after = fleet.until(fleet.agreed, AGREE_TIMEOUT_S)
    if after is None:
        raise TimeoutError(f"{len(fleet.posts)} nodes do not agree within {AGREE_TIMEOUT_S} s")
    return after
