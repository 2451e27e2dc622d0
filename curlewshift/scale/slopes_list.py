"""Cost of a node's start by size of its configuration, and of an idle server list by its length. Called by slopes.py."""

from __future__ import annotations

from curlewshift.scale.slopes import Run, Slope
from curlewshift.scale.slopes_crowd import COPIES
from curlewshift.scale.slopes_idle import MEDIAS, place
from curlewshift.scale.slopes_node import RealNode
from curlewshift.scale.slopes_stands import Stands

# Number of servers and of classes while the other is varied.
SERVERS, CLASSES, CELLS = 100, 2, 64
# Connections with one viewing each, while the list is idle.
WATCHING = 200
WALL = "of wall time, what else runs here lengthens it; its processor time beside it is the node's own"


def measure_restart(run: Run) -> list[Slope]:
    """From the start of the process until it answers OPTIONS with 200, by servers listed and by classes of the settings."""
    slopes = []
    for by, what in (("servers", "servers on the list that it is told at its start"), ("classes", "classes of its settings")):
        wall = Slope(f"restart-by-{by}", (what, "count"), ("from its start until it is ready", "seconds"), notes=[WALL])
        used = Slope(
            f"restart-time-by-{by}",
            wall.x,
            ("processor time until it is ready", "seconds"),
            notes=[f"the other is {SERVERS if by == 'classes' else CLASSES}; size of the file in bytes by size: "],
        )
        for number in range(run.rounds):
            for size in run.sizes:
                stands, node = Stands(MEDIAS, run.seed), None
                try:
                    node = RealNode(
                        run.folder, stands, run.descriptors, cells=CELLS, **{"servers": SERVERS, "classes": CLASSES, by: size}
                    )
                    wait = node.ready()
                    wall.points.append((size, wait))
                    used.points.append((size, node.processor_ns() / 1e9))
                    if not number:
                        used.notes[-1] += f"{size}: {node.path.stat().st_size}; "
                finally:
                    if node is not None:
                        node.kill()
                    stands.loop.close()
                run.say(
                    f"restart by {by}, round {number + 1}: {size}: {wait:.2f} s, {used.points[-1][1]:.2f} s of processor time"
                )
        slopes += [wall, used]
    return slopes


def measure_list(run: Run) -> list[Slope]:
    """Memory and idle processor time by servers on the list; a few viewings play on a few of them."""
    by = ("servers on the list", "count")
    notes = [
        f"{WATCHING} connections with one viewing each on {MEDIAS} of the servers; the others are listed as leaving, so "
        "that nothing is sent to them",
        "a list by the bulletin has 606 servers at the most in its one frame of 16 KiB; this one is of the start",
    ]
    memory = Slope("memory-by-servers", by, ("resident memory", "bytes"), notes=notes)
    idle = Slope("idle-time-by-servers", by, ("processor time a second, nothing asked", "seconds"), notes=notes)
    for number in range(run.rounds):
        for size in run.sizes:
            with place(run, servers=size, cells=CELLS) as (stands, node, crowd):
                # each cell that a title may use has a running media server
                crowd.homes = MEDIAS - COPIES + 1
                crowd.connected(WATCHING)
                crowd.play(WATCHING, list(crowd.viewers))
                stands.loop.run(run.rest)
                share, rss = node.share(run.duration), node.rss()
            memory.points.append((size, rss))
            idle.points.append((size, share))
            run.say(f"list, round {number + 1}: {size} servers: {rss / 1e6:.1f} MB, {100 * share:.2f}% of a core")
    return [memory, idle]
