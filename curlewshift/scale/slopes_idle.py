"""Memory and processor time of a node of which nothing is asked, by connection, by viewing, and by both together.

One node grows through the sizes, and a second one does so again, so that a size is not only ever seen after the same past.
"""

from __future__ import annotations

import pstats
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from curlewshift.scale.slopes import Run, Slope
from curlewshift.scale.slopes_crowd import Crowd, Viewer
from curlewshift.scale.slopes_node import RealNode
from curlewshift.scale.slopes_stands import Stands

MEDIAS = 8
# Viewings alone are spread over so many connections.
FEW = 100
# As the node has it (node/node.py, limits/descriptors.py): of what it is told, two fifths and 16 are not for viewers, and over
# three quarters of the rest connections that rest are dropped.
FOR_SERVERS, FOR_OTHERS, CROWDED = 0.4, 16, 0.75
MOST_LINES = 8
BY = {
    "connection": "connections, each greeted once, nothing played",
    "viewing": f"viewings that play, on {FEW} connections",
    "connection-with-viewing": "connections with one viewing that plays on each",
}
MEASURED_BY = tuple(BY)


@contextmanager
def place(run: Run, medias: int = MEDIAS, **told) -> Iterator[tuple[Stands, RealNode, Crowd]]:
    """A node in service among stand-ins; it and they are gone afterwards."""
    stands = Stands(medias, run.seed)
    node = None
    try:
        node = RealNode(run.folder, stands, run.descriptors, **told)
        node.ready()
        yield stands, node, stands.crowd(node.port)
    finally:
        if node is not None:
            node.kill()
        stands.loop.close()


def resting_most(descriptors: int) -> int:
    """How many connections may rest at a node that is told of so many descriptors, before it drops some of them."""
    return int((descriptors - int(descriptors * FOR_SERVERS) - FOR_OTHERS) * CROWDED)


def measure_idle(run: Run) -> list[Slope]:
    most, slopes = resting_most(run.descriptors), []
    for by in MEASURED_BY:
        what = BY[by]
        memory = Slope(f"memory-by-{by}", (by, "count"), ("resident memory", "bytes"), notes=[what])
        idle = Slope(f"idle-time-by-{by}", (by, "count"), ("processor time a second, nothing asked", "seconds"), notes=[what])
        for number in range(run.rounds):
            with place(run) as (stands, node, crowd):
                for size in run.sizes:
                    _fill(crowd, by, size)
                    stands.loop.run(run.rest)
                    share, rss = node.share(run.lasts), node.rss()
                    memory.points.append((size, rss))
                    idle.points.append((size, share))
                    run.say(
                        f"idle by {by}, round {number + 1}: {size}: {rss / 1e6:.1f} MB, {100 * share:.2f}% of a core, "
                        f"{node.descriptors()} descriptors, {crowd.dropped} dropped"
                    )
                if crowd.dropped:
                    idle.notes.append(
                        f"round {number + 1}: {crowd.dropped} connections were dropped by the node, which lets "
                        f"{most} rest with {run.descriptors} descriptors"
                    )
        slopes += [memory, idle]
    said = _profiled(run, min(max(run.sizes), most))
    for slope in slopes:
        if slope.name.startswith("idle"):
            slope.notes += said
    return slopes


class Returning(Crowd):
    """Who was dropped connects again at once, and rests again."""

    def left(self, viewer: Viewer) -> None:
        super().left(viewer)
        self.greet(self.connect())


def measure_crowded(run: Run) -> list[Slope]:
    """Idle processor time past the mark from which a node drops connections that rest, while those dropped come again."""
    most = resting_most(run.descriptors)
    idle = Slope(
        "idle-time-crowded",
        ("connections that want to rest", "count"),
        ("processor time a second", "seconds"),
        notes=[
            f"the node is told of {run.descriptors} descriptors, and drops who rests while over {most} are open",
            "who is dropped connects again at once: the accepts are in the figure",
        ],
    )
    for number in range(run.rounds):
        with place(run) as (stands, node, _):
            crowd = Returning(stands.loop, node.port, stands.rng)
            for size in run.sizes:
                _fill(crowd, "connection", size)
                stands.loop.run(run.rest)
                before = crowd.dropped
                share = node.share(run.lasts)
                dropped = (crowd.dropped - before) / run.lasts
                idle.points.append((size, share))
                idle.notes.append(f"round {number + 1}, {size}: {dropped:.0f} dropped a second, {len(crowd.viewers)} open")
                run.say(f"crowded, round {number + 1}: {size}: {100 * share:.1f}% of a core, {dropped:.0f} dropped a second")
    idle.notes += _profiled(run, max(run.sizes), "connection", Returning)
    return [idle]


def _fill(crowd: Crowd, by: str, size: int) -> None:
    crowd.connected(FEW if by == "viewing" else size)
    if by != "connection":
        crowd.play(size, list(crowd.viewers))


def _profiled(run: Run, size: int, by: str = "connection-with-viewing", kind: type[Crowd] = Crowd) -> list[str]:
    """Where the idle time goes at this size, in words."""
    out = run.folder / "profile"
    with place(run, profile=out) as (stands, node, _):
        crowd = kind(stands.loop, node.port, stands.rng)
        run.say(f"profiled at {size}: {BY[by]}")
        _fill(crowd, by, size)
        stands.loop.run(run.rest)
        return profile_of(run, stands, node, out, f"{size} ({BY[by]})")


def profile_of(run: Run, stands: Stands, node: RealNode, out: Path, at: str) -> list[str]:
    """What a node that was started for it does in a while; everything is slower under a profile, so it tells shares alone.
    Raises `TimeoutError`."""
    node.process.send_signal(signal.SIGUSR1)
    stands.loop.run(run.lasts)
    node.process.send_signal(signal.SIGUSR2)
    stands.loop.until(lambda: out.exists() and out.stat().st_size > 0, 5, "the profile")
    time.sleep(0.2)
    return [f"profile at {at}, {run.lasts:g} s, share of the processor time under the profile:", *lines_of(out, MOST_LINES)]


def lines_of(profile: Path, most: int) -> list[str]:
    """The functions with most time of their own: share, file and line, name, calls."""
    stats = pstats.Stats(str(profile)).stats
    # a wait for events is no work
    rows = [
        (own, f"{Path(file).parent.name}/{Path(file).name}:{line}" if line else "built in", name, calls)
        for (file, line, name), (_, calls, own, _, _) in stats.items()
        if "poll" not in name
    ]
    rows.sort(reverse=True)
    whole = sum(own for own, *_ in rows) or 1.0
    return [f"{100 * own / whole:.0f}% {where} {name}, {calls} calls" for own, where, name, calls in rows[:most]]
