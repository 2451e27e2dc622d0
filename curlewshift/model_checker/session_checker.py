"""Model checker for viewings: explores all traces of the model in world.py up to a depth, and checks the rules after each step
and at each end.

A trace is a list of steps. Session core and rules hold closures, so that a model cannot be copied: each trace is run again from
the beginning, which is affordable as the model is small. Where two traces lead to the same state, it is explored further once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

from curlewshift.model_checker.world import RuleViolated, World


@dataclass(slots=True)
class SearchResult:
    """`states` is the number of distinct states, `ends` of those that were settled; `breach` is the first rule violation found
    (empty if none), and `course` the steps that led to it."""

    depth: int = 0
    states: int = 0
    ends: int = 0
    steps: int = 0
    breach: str = ""
    course: list[tuple] = field(default_factory=list)


def replay_trace(make: Callable[[], World], trace: list[tuple]) -> World:
    """The model after the steps of the trace. Raises `RuleViolated`."""
    world = make()
    for choice in trace:
        world.do(*choice)
    return world


def walk(make: Callable[[], World], depth: int, settle_all: bool = False, max_states: int = 10**9) -> SearchResult:
    """Explores breadth first, so that a shortest trace to a violation is found. `World.settle` is run on the states at the full
    depth and on those without possible steps, or on every state."""
    result = SearchResult(depth)
    seen: set[bytes] = set()
    frontier: list[list[tuple]] = [[]]
    for level in range(depth + 1):
        next_frontier: list[list[tuple]] = []
        for trace in frontier:
            try:
                world = replay_trace(make, trace)
            except RuleViolated as violation:
                result.breach, result.course = str(violation), trace
                return result
            result.steps += len(trace)
            state = blake2b(world.state_key().encode(), digest_size=16).digest()
            if state in seen:
                continue
            seen.add(state)
            result.states += 1
            choices = world.choices()
            next_frontier += [[*trace, choice] for choice in choices]
            if settle_all or level == depth or not choices:
                result.ends += 1
                try:
                    world.settle()
                except RuleViolated as violation:
                    result.breach, result.course = str(violation), [*trace, ("and all settles",)]
                    return result
            if result.states >= max_states:
                return result
        frontier = next_frontier
    return result


@dataclass(slots=True)
class CrashResult:
    """`points` is the number of kills tried, each followed by a restart and `World.settle`; `taken_up` the number of sessions
    that the restarted fronts resumed."""

    runs: int = 0
    points: int = 0
    taken_up: int = 0
    breach: str = ""
    course: list[tuple] = field(default_factory=list)


def crash_points(make: Callable[[], World], runs: int, length: int, seed: int = 1) -> CrashResult:
    """Runs longer random traces, and kills the front after each step of each of them, once with every record that was written
    on the disk and once without those that were not flushed."""
    result, rng = CrashResult(), Random(seed)
    for _ in range(runs):
        result.runs += 1
        trace: list[tuple] = []
        try:
            world = make()
            while len(trace) < length:
                choices = [choice for choice in world.choices() if not choice[0].startswith("the front is killed")]
                if not choices:
                    break
                trace.append(rng.choice(choices))
                world.do(*trace[-1])
            for length_before in range(len(trace) + 1):
                for unflushed_lost in (False, True):
                    result.points += 1
                    result.course = [*trace[:length_before], ("killed here", "unflushed records lost" if unflushed_lost else "")]
                    world = replay_trace(make, trace[:length_before])
                    if world.front is not None:
                        world.kill(unflushed_lost)
                    world.settle()
                    result.taken_up += world.front.recovery.kept + world.front.recovery.found
        except RuleViolated as violation:
            result.breach, result.course = str(violation), result.course or trace
            return result
    result.course = []
    return result
