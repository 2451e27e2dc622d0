"""A row of the capacity tables: what a role needs at a size, the code that provides it, and whether it is within its bound."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from curlewshift.capacity.figures import NOT_MEASURED, Figure, format_number

STATE, MESSAGES, PROCESSOR, MEMORY = "state", "messages out and in", "processor time", "memory"
WITHIN, OVER, NOTHING, NO_BOUND = "within", "over", "carried by nothing", "no bound stated"
CONTROL, FRONT, WORKER = "control machine", "front node", "worker process of a node"
AGGREGATOR, FOLLOWER, LED = "aggregator of a zone", "follower of the list", "judge or prober by lease"
ROLES = (CONTROL, FRONT, WORKER, AGGREGATOR, FOLLOWER, LED)


@dataclass(frozen=True)
class Mechanism:
    """The code that provides what a row needs: a source file of the tree and a text that it contains, such as `class Channel`."""

    file: str
    name: str

    def exists(self, root: Path) -> bool:
        """Whether the file under `root` contains the name, so that removed code no longer counts."""
        path = root / self.file
        return path.is_file() and self.name in path.read_text()


@dataclass(frozen=True)
class Row:
    """`bound` is in the figure's unit, and None where no bound is stated. `key` selects the remedies in options.py."""

    key: str
    role: str
    what: str
    description: str
    figure: Figure | None
    bound: float | None
    mechanism: Mechanism | None

    @property
    def bound_ratio(self) -> float | None:
        """The figure divided by its bound; up to 1 is within it. None if either is not known."""
        if self.figure is None or not self.bound:
            return None
        return self.figure.value / self.bound

    def verdict(self, root: Path) -> str:
        if self.mechanism is None or not self.mechanism.exists(root):
            return NOTHING
        if self.figure is None:
            return NOT_MEASURED
        if self.bound is None:
            return NO_BOUND
        factor, figure = self.bound_ratio, self.figure
        if factor > 1:
            prefix = "at least " if figure.is_lower_bound else ""
            return f"{OVER}: {prefix}×{factor:.3g} of {_bound(self)}"
        if figure.from_smaller_run:
            return f"not known: ×{factor:.2g} of {_bound(self)} in {figure.method or 'a smaller run'}, and not carried"
        if figure.is_lower_bound and figure.factor > 1:
            return f"not known: at least ×{factor:.2g} of {_bound(self)}, and not carried beyond its run"
        if figure.value + figure.error > self.bound:
            return f"{WITHIN}, but not by its error: ×{factor:.2g} of {_bound(self)}"
        return f"{WITHIN}: ×{factor:.2g} of {_bound(self)}"


def _bound(row: Row) -> str:
    return f"{format_number(row.bound)} {row.figure.unit}"
