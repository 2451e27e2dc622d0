"""Memory and processor time of an idle node by connection, by viewing, and by both together.

One node goes through the sizes in rising order, and further rounds repeat this on a new node.
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
# Number of connections that carry the viewings when only viewings are varied.
VIEWING_CONNECTIONS = 100
# The node's rules (node/node.py, limits/descriptors.py): two fifths of its descriptors and 16 are not for viewers; when over
# three quarters of the rest are in use, idle connections are dropped.
FOR_SERVERS, FOR_OTHERS, CROWDED_FRACTION = 0.4, 16, 0.75
MAX_LINES = 8
BY = {
    "connection": "connections, each greeted once, nothing played",
    "viewing": f"viewings that play, on {VIEWING_CONNECTIONS} connections",
    "connection-with-viewing": "connections with one viewing that plays on each",
}
MEASURED_BY = tuple(BY)


@contextmanager
def place(run: Run, medias: int = MEDIAS, **node_options) -> Iterator[tuple[Stands, RealNode, Crowd]]:
    """A node in service among stand-ins; all of them end with the context."""
    stands = Stands(medias, run.seed)
    node = None
    try:
        node = RealNode(run.folder, stands, run.descriptors, **node_options)
        node.ready()
        yield stands, node, stands.crowd(node.port)
    finally:
        if node is not None:
            node.kill()
        stands.loop.close()


def max_idle_connections(descriptors: int) -> int:
    """Number of idle connections that a node with this descriptor limit keeps before it drops some."""
    return int((descriptors - int(descriptors * FOR_SERVERS) - FOR_OTHERS) * CROWDED_FRACTION)


def measure_idle(run: Run) -> list[Slope]:
    max_idle, slopes = max_idle_connections(run.descriptors), []
    for by in MEASURED_BY:
        what = BY[by]
        memory = Slope(f"memory-by-{by}", (by, "count"), ("resident memory", "bytes"), notes=[what])
        idle = Slope(f"idle-time-by-{by}", (by, "count"), ("processor time a second, nothing asked", "seconds"), notes=[what])
        for number in range(run.rounds):
            with place(run) as (stands, node, crowd):
                for size in run.sizes:
                    _fill(crowd, by, size)
                    stands.loop.run(run.rest)
                    share, rss = node.share(run.duration), node.rss()
                    memory.points.append((size, rss))
                    idle.points.append((size, share))
                    run.say(
                        f"idle by {by}, round {number + 1}: {size}: {rss / 1e6:.1f} MB, {100 * share:.2f}% of a core, "
                        f"{node.descriptors()} descriptors, {crowd.dropped} dropped"
                    )
                if crowd.dropped:
                    idle.notes.append(
                        f"round {number + 1}: {crowd.dropped} connections were dropped by the node, which lets "
                        f"{max_idle} rest with {run.descriptors} descriptors"
                    )
        slopes += [memory, idle]
    profile_lines = _profiled(run, min(max(run.sizes), max_idle))
    for slope in slopes:
        if slope.name.startswith("idle"):
            slope.notes += profile_lines
    return slopes


class Returning(Crowd):
    """Viewers that reconnect at once when dropped, and then stay idle."""

    def left(self, viewer: Viewer) -> None:
        super().left(viewer)
        self.greet(self.connect())


def measure_crowded(run: Run) -> list[Slope]:
    """Idle processor time above the limit at which a node drops idle connections, while dropped viewers reconnect."""
    max_idle = max_idle_connections(run.descriptors)
    idle = Slope(
        "idle-time-crowded",
        ("connections that want to rest", "count"),
        ("processor time a second", "seconds"),
        notes=[
            f"the node is told of {run.descriptors} descriptors, and drops who rests while over {max_idle} are open",
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
                share = node.share(run.duration)
                dropped = (crowd.dropped - before) / run.duration
                idle.points.append((size, share))
                idle.notes.append(f"round {number + 1}, {size}: {dropped:.0f} dropped a second, {len(crowd.viewers)} open")
                run.say(f"crowded, round {number + 1}: {size}: {100 * share:.1f}% of a core, {dropped:.0f} dropped a second")
    idle.notes += _profiled(run, max(run.sizes), "connection", Returning)
    return [idle]


def _fill(crowd: Crowd, by: str, size: int) -> None:
    crowd.connected(VIEWING_CONNECTIONS if by == "viewing" else size)
    if by != "connection":
        crowd.play(size, list(crowd.viewers))


def _profiled(run: Run, size: int, by: str = "connection-with-viewing", kind: type[Crowd] = Crowd) -> list[str]:
    """Text lines on where the idle time goes at this size."""
    out = run.folder / "profile"
    with place(run, profile=out) as (stands, node, _):
        crowd = kind(stands.loop, node.port, stands.rng)
        run.say(f"profiled at {size}: {BY[by]}")
        _fill(crowd, by, size)
        stands.loop.run(run.rest)
        return profile_of(run, stands, node, out, f"{size} ({BY[by]})")


def profile_of(run: Run, stands: Stands, node: RealNode, out: Path, at: str) -> list[str]:
    """Profiles a node that was started with `profile` for `run.duration` seconds. Only shares are meaningful, as profiling
    slows everything. Raises `TimeoutError`."""
    node.process.send_signal(signal.SIGUSR1)
    stands.loop.run(run.duration)
    node.process.send_signal(signal.SIGUSR2)
    stands.loop.until(lambda: out.exists() and out.stat().st_size > 0, 5, "the profile")
    time.sleep(0.2)
    return [f"profile at {at}, {run.duration:g} s, share of the processor time under the profile:", *lines_of(out, MAX_LINES)]


def lines_of(profile: Path, max_idle: int) -> list[str]:
    """The functions with the most time of their own: share, file and line, name, calls."""
    stats = pstats.Stats(str(profile)).stats
    # waiting for events is not counted as work
    rows = [
        (own, f"{Path(file).parent.name}/{Path(file).name}:{line}" if line else "built in", name, calls)
        for (file, line, name), (_, calls, own, _, _) in stats.items()
        if "poll" not in name
    ]
    rows.sort(reverse=True)
    total = sum(own for own, *_ in rows) or 1.0
    return [f"{100 * own / total:.0f}% {where} {name}, {calls} calls" for own, where, name, calls in rows[:max_idle]]
