"""Walks a small world breadth first through all that can happen in it, each state once. Called by
budget_checker.py and lease_checker.py."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class InvariantViolated(Exception):
    """What must never be has come about."""


class SmallWorld(Protocol):
    """`state` is all that can still matter, relative to the present; `take` raises `InvariantViolated`."""

    def copied(self) -> SmallWorld: ...
    def state(self) -> tuple: ...
    def steps(self) -> list[tuple]: ...
    def take(self, step: tuple) -> None: ...


@dataclass
class Walked:
    """`cut_off`: there were more states than were to be looked at."""

    states: int
    steps: int
    depth: int
    breach: str = ""
    course: tuple = ()
    cut_off: bool = False


def explore(first: SmallWorld, depth: int, most: int = 10**9) -> Walked:
    """To so many steps. A course that breaks something is a shortest one."""
    seen, front, steps = {first.state()}, [(first, ())], 0
    for level in range(1, depth + 1):
        after = []
        for world, course in front:
            for step in world.steps():
                steps += 1
                other = world.copied()
                try:
                    other.take(step)
                except InvariantViolated as broken:
                    return Walked(len(seen), steps, level, str(broken), (*course, step))
                state = other.state()
                if state not in seen:
                    seen.add(state)
                    after.append((other, (*course, step)))
                    if len(seen) >= most:
                        return Walked(len(seen), steps, level, cut_off=True)
        front = after
    return Walked(len(seen), steps, depth)
