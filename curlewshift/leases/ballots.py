"""Numbers of tries, ordered and never twice the same: a count, the front, and its life."""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    count: int
    front: int
    life: int


NONE = Ballot(0, -1, 0)
