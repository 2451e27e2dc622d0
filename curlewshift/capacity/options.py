"""The shortfalls of the design at a size, with the remedies for each and their cost.

First needs that no mechanism provides, those with the most dependents in front, then needs over their bound, by the largest
factor. Needs that are not measured are listed apart.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from curlewshift.capacity.figures import from_assumptions
from curlewshift.capacity.rows import NOT_MEASURED, NOTHING, OVER, Row
from curlewshift.capacity.size import Size

# Bytes of one row in the messages of budget sharing: the index of a link and a number.
ROW_BYTES = 20
# Remedies for each row key: (remedy, its cost). The first one is preferred.
OPTIONS: dict[str, tuple[tuple[str, str], ...]] = {
    "configuration": (
        (
            "epidemic push and pull of one order of versions, kept by a majority of the control machines",
            "a new kind on the channel; some 50 bytes on each probe; stores on four machines",
        ),
        (
            "one tree from the control machines down",
            "fewer bytes; a broken inner node leaves all below it waiting, and is repaired just when zones are lost",
        ),
        ("each node asks the control machines", "simple; four machines answer all, and a cut leaves a region with nobody"),
    ),
    "workers": (
        (
            "one process for control (channel, list, configuration), several that serve, one port shared by the kernel",
            "a way between processes for holders, counts and rights; a viewing's later requests have to find its process",
        ),
        (
            "several nodes a machine, each with a part of the connections",
            "nothing to build; control is spent as many times, and the fleet has as many members more",
        ),
        ("another language for the door", "two programs; rules and desk stay where they are, and are most of what is spent"),
    ),
    "sharing": (
        (
            "sums up by zone and region, answers down; a node says only what changed by more than a step",
            "one more way until a count is known elsewhere, and who adds up a zone has all of it to answer; {interval_text}",
        ),
        (
            "counts from media servers alone: each tells all who play on it what is asked of its link",
            "nothing between nodes; as late as servers tell, and whoever joins meanwhile is not in it",
        ),
        ("each node tells only the links that are nearly full", "few bytes on a calm day and as many as now on a full one"),
    ),
    "idle": (
        (
            "what is due, late or idle is found by an index (the wheel that is there), and no sweep looks at all connections",
            "one timer moved for each message; `schedule/wheel.py` does that in some microseconds",
        ),
        ("sweep a part of the connections each time", "the same cost, later found: a sweep's period grows with connections"),
    ),
    "p99": (
        ("workers (above)", "as above"),
        ("shed at the door by the line's length", "refusals while the processor is short; `overload/` counts late starts"),
    ),
    "membership": (
        (
            "news of a zone as one claim (all of z3), and fewer copies where many are lost at once",
            "a form for claims about many; a wrong one takes in 70 nodes",
        ),
        ("membership by zone, with a few of each zone in a fleet-wide one", "others' nodes are known by their zone's word alone"),
    ),
    "list": (
        (
            "a whole list in several frames, agreed with whoever tells it",
            "a form that is not ours; until then a list past one frame comes at the start alone",
        ),
        (
            "take a list in slices between requests",
            "a list that is half in force for some milliseconds, unless it is swapped at once",
        ),
        ("changes alone (there), and whole lists compared by digest first", "a start takes the whole list all the same"),
    ),
    "memory": (
        (
            "less by connection: buffers made when something is half read, one object for connection and session",
            "a rewrite of wire and door",
        ),
        ("larger machines", "money"),
    ),
    "control-together": (("each part above", "as above"),),
    "largest-topic": (
        (
            "notices in slices, those who pay first; the rest within a stated second",
            "a listener may play a second on a rung that is gone",
        ),
        ("workers (above): each tells its part", "as above"),
    ),
    "overload": (
        ("rounds up by the zone and region of nodes, the level down the same way", "one more second until a level is followed"),
        ("a level only where it has changed, and with what goes anyway", "a lost word is told again only with the next change"),
    ),
    "leases": (("a longer term for tasks that may wait", "a task stands still for as long when its holder is lost"),),
}

# Keys by the keys that they depend on. The workers of a machine share one copy of the configuration; the aggregator of a zone and
# the owner of a shard are set in the configuration.
DEPENDENCIES = {
    "workers": ("configuration",),
    "sharing": ("configuration",),
    "shards-of-topics": ("configuration",),
    "p99": ("workers",),
    "control-together": ("sharing",),
}


@dataclass(frozen=True)
class Shortfall:
    """The shortfall of one key: a row without a mechanism, the row furthest over its bound, and the keys that depend on it."""

    key: str
    uncovered: Row | None
    over: Row | None
    dependents: tuple[str, ...]

    @property
    def rank(self) -> tuple[bool, int, float]:
        """Sort key, the most pressing shortfall first."""
        factor = self.over.bound_ratio if self.over is not None else 0.0
        return (False, -len(self.dependents), -factor) if self.uncovered is not None else (True, 0, -factor)

    def options(self, size: Size) -> list[tuple[str, str]]:
        links = size.assumption("servers-played-on")
        interval = from_assumptions(links * ROW_BYTES / size.control_bytes, "s")
        interval_text = (
            f"with all that is granted and rows of {ROW_BYTES} bytes (assumed) each of {links:,.0f} links can be told "
            f"each {interval.text()}"
        )
        return [(option, cost.format(interval_text=interval_text)) for option, cost in OPTIONS.get(self.key, ())]


def shortfalls(rows: list[Row], root: Path) -> list[Shortfall]:
    """Returns the keys with a row that has no mechanism or is over its bound, by `Shortfall.rank`."""
    uncovered: dict[str, Row] = {}
    over: dict[str, Row] = {}
    for row in rows:
        verdict = row.verdict(root)
        if verdict == NOTHING:
            uncovered.setdefault(row.key, row)
        elif verdict.startswith(OVER) and (row.key not in over or row.bound_ratio > over[row.key].bound_ratio):
            over[row.key] = row
    found = [
        Shortfall(
            key, uncovered.get(key), over.get(key), tuple(sorted(other for other in DEPENDENCIES if key in DEPENDENCIES[other]))
        )
        for key in dict.fromkeys([*uncovered, *over])
    ]
    return sorted(found, key=lambda shortfall: shortfall.rank)


def not_measured(rows: list[Row], root: Path) -> list[Row]:
    return [row for row in rows if row.verdict(root) == NOT_MEASURED]
