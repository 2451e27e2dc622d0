"""What is known of one member of a site, and which of two claims about it takes precedence.

Claims are ordered by life (one run of a process, numbered; a restart is a new life), then incarnation, then rank; the greater one
wins. The order is total, so views converge to the same state whatever the order of the claims and however often they are repeated
(a join semilattice; Shapiro et al. 2011). Only the member itself raises its life and incarnation: it alone can refute a claim
about itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple


class Rank(IntEnum):
    """Status of a member. `LEFT` was announced by the member itself, `GONE` was concluded by others."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class Claim(NamedTuple):
    """A statement about a member. `accusers` are the members that found a suspect unreachable by their own probes."""

    name: str
    host: str
    port: int
    life: int
    incarnation: int
    rank: int
    accusers: tuple[str, ...] = ()

    def supersedes(self, other: Claim | Member) -> bool:
        return (self.life, self.incarnation, self.rank) > (other.life, other.incarnation, other.rank)

    def size(self) -> int:
        """Upper bound of the encoded size in bytes (msgpack: up to 9 a number, 2 before a string)."""
        return 32 + len(self.name) + len(self.host) + sum(len(name) + 2 for name in self.accusers)


@dataclass(slots=True, eq=False)
class Member:
    """`since` is the steady time (ns) of the last change of rank, `reported_by` the name of the member whose claim changed it,
    and `last_seen_at` the steady time (ns) of the last datagram from the member itself (-1: none yet)."""

    name: str
    host: str
    port: int
    life: int
    incarnation: int
    rank: Rank
    since: int
    reported_by: str
    last_seen_at: int = -1
    accusers: dict[str, None] = field(default_factory=dict)

    @property
    def is_present(self) -> bool:
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
