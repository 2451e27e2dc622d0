"""Explores a model breadth first up to a depth, each state once, and checks its invariants after every step. Called by
budget_checker.py, lease_checker.py and version_checker.py."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class InvariantViolated(Exception):
    """A step led to a state that must not occur; the text says which invariant is broken."""


class Model(Protocol):
    """`steps` are the events that are possible in the present state. `apply` runs one; it raises `InvariantViolated`.
    `state` holds everything that still affects the future, with times relative to the present."""

    def clone(self) -> Model: ...
    def state(self) -> tuple: ...
    def steps(self) -> list[tuple]: ...
    def apply(self, step: tuple) -> None: ...


@dataclass
class ExplorationResult:
    """`breach` is the violated invariant (empty if none), and `course` the steps that led to it. `cut_off`: the limit of
    states was reached before the depth."""

    states: int
    steps: int
    depth: int
    breach: str = ""
    course: tuple = ()
    cut_off: bool = False


def explore(initial: Model, depth: int, max_states: int = 10**9) -> ExplorationResult:
    """Explores up to `depth` steps. As the search is breadth first, a trace that violates an invariant is a shortest one."""
    seen, frontier, steps = {initial.state()}, [(initial, ())], 0
    for level in range(1, depth + 1):
        next_frontier = []
        for model, trace in frontier:
            for step in model.steps():
                steps += 1
                successor = model.clone()
                try:
                    successor.apply(step)
                except InvariantViolated as violation:
                    return ExplorationResult(len(seen), steps, level, str(violation), (*trace, step))
                state = successor.state()
                if state not in seen:
                    seen.add(state)
                    next_frontier.append((successor, (*trace, step)))
                    if len(seen) >= max_states:
                        return ExplorationResult(len(seen), steps, level, cut_off=True)
        frontier = next_frontier
    return ExplorationResult(len(seen), steps, depth)
