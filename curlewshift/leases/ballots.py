"""Ballot numbers, totally ordered and unique: a count, the front's index, and its life."""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    """The number of one attempt, ordered by `count` first."""

    count: int
    front: int
    life: int


NONE = Ballot(0, -1, 0)
