"""One row of the page: what a role needs at a size, what carries it, and whether that holds."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from curlewshift.capacity.figures import NOT_MEASURED, Figure, short

STATE, MESSAGES, PROCESSOR, MEMORY = "state", "messages out and in", "processor time", "memory"
WITHIN, OVER, NOTHING, NO_BOUND = "within", "over", "carried by nothing", "no bound stated"
CONTROL, FRONT, WORKER = "control machine", "front node", "worker process of a node"
AGGREGATOR, FOLLOWER, LED = "aggregator of a zone", "follower of the list", "judge or prober by lease"
ROLES = (CONTROL, FRONT, WORKER, AGGREGATOR, FOLLOWER, LED)


@dataclass(frozen=True)
class Mechanism:
    """What carries it: a name in a file of the tree. `there` only if the file has the name: the page follows the tree."""

    file: str
    name: str

    def there(self, root: Path) -> bool:
        path = root / self.file
        return path.is_file() and self.name in path.read_text()


@dataclass(frozen=True)
class Row:
    """`bound` is in the figure's unit; None where the users state none. `key` names what is done about it in options.py."""

    key: str
    role: str
    what: str
    says: str
    figure: Figure | None
    bound: float | None
    by: Mechanism | None

    @property
    def over_by(self) -> float | None:
        """The factor over the bound: below 1 is within. None where either is not known."""
        if self.figure is None or not self.bound:
            return None
        return self.figure.value / self.bound

    def verdict(self, root: Path) -> str:
        if self.by is None or not self.by.there(root):
            return NOTHING
        if self.figure is None:
            return NOT_MEASURED
        if self.bound is None:
            return NO_BOUND
        factor, figure = self.over_by, self.figure
        if factor > 1:
            least = "at least " if figure.at_least else ""
            return f"{OVER}: {least}×{factor:.3g} of {_bound(self)}"
        if figure.of_less:
            return f"not known: ×{factor:.2g} of {_bound(self)} in {figure.by or 'a smaller run'}, and not carried"
        if figure.at_least and figure.factor > 1:
            return f"not known: at least ×{factor:.2g} of {_bound(self)}, and not carried beyond its run"
        if figure.value + figure.error > self.bound:
            return f"{WITHIN}, but not by its error: ×{factor:.2g} of {_bound(self)}"
        return f"{WITHIN}: ×{factor:.2g} of {_bound(self)}"


def _bound(row: Row) -> str:
    return f"{short(row.bound)} {row.figure.unit}"
