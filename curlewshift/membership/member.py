"""What is held of one member, and which of two claims about it prevails.

A claim is ordered by life, then incarnation, then how bad it is; the higher one prevails. That order is total, so views
merge to the same whatever the order, however often (a join semilattice; Shapiro et al. 2011). Lives and incarnations are
raised by the member itself alone: it is the only one that can contradict.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple


class Rank(IntEnum):
    """How a member stands; `LEFT` in its own words, `GONE` in those of others."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class Claim(NamedTuple):
    """What is said of a member. `accusers`: who has found a suspect silent by trying for itself."""

    name: str
    host: str
    port: int
    life: int
    incarnation: int
    rank: int
    accusers: tuple[str, ...] = ()

    def over(self, other: Claim | Member) -> bool:
        return (self.life, self.incarnation, self.rank) > (other.life, other.incarnation, other.rank)

    def size(self) -> int:
        """Bytes in a datagram, at the most (msgpack: up to 9 a number, 2 before a string)."""
        return 32 + len(self.name) + len(self.host) + sum(len(name) + 2 for name in self.accusers)


@dataclass(slots=True, eq=False)
class Member:
    """`since`: steady ns of the last change of rank; `by`: whose word that was; `heard`: when it last spoke itself."""

    name: str
    host: str
    port: int
    life: int
    incarnation: int
    rank: Rank
    since: int
    by: str
    heard: int = -1
    accusers: dict[str, None] = field(default_factory=dict)

    @property
    def there(self) -> bool:
        return self.rank < Rank.GONE

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    def claim(self) -> Claim:
        return Claim(
            self.name,
            self.host,
            self.port,
            self.life,
            self.incarnation,
            int(self.rank),
            tuple(self.accusers) if self.rank is Rank.SUSPECT else (),
        )
