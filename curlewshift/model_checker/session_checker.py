"""Walks all courses of a small world up to a depth, and checks the rules after each step and at each end.

A course is a list of choices. Desk and rules hold closures, so that a world cannot be copied: each course is done again
from the beginning, which a small world bears. Two courses that lead to the same world are walked on from once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

from curlewshift.model_checker.world import Breach, World


@dataclass(slots=True)
class Walked:
    """`states` are different worlds met, `ends` those that were settled; `breach` is the first one found, and `course`
    what led to it."""

    depth: int = 0
    states: int = 0
    ends: int = 0
    steps: int = 0
    breach: str = ""
    course: list[tuple] = field(default_factory=list)


def done_again(make: Callable[[], World], course: list[tuple]) -> World:
    world = make()
    for choice in course:
        world.do(*choice)
    return world


def walk(make: Callable[[], World], depth: int, settle_all: bool = False, most_states: int = 10**9) -> Walked:
    """Breadth first, so that the shortest breach is found. Ends are settled at the full depth and where nothing can
    happen any more, or at every state."""
    walked = Walked(depth)
    seen: set[bytes] = set()
    level: list[list[tuple]] = [[]]
    for deep in range(depth + 1):
        following: list[list[tuple]] = []
        for course in level:
            try:
                world = done_again(make, course)
            except Breach as breach:
                walked.breach, walked.course = str(breach), course
                return walked
            walked.steps += len(course)
            mark = blake2b(world.mark().encode(), digest_size=16).digest()
            if mark in seen:
                continue
            seen.add(mark)
            walked.states += 1
            choices = world.choices()
            following += [[*course, choice] for choice in choices]
            if settle_all or deep == depth or not choices:
                walked.ends += 1
                try:
                    world.settle()
                except Breach as breach:
                    walked.breach, walked.course = str(breach), [*course, ("and all settles",)]
                    return walked
            if walked.states >= most_states:
                return walked
        level = following
    return walked


@dataclass(slots=True)
class Crashed:
    """`points` are kills tried, each followed by a start and by all that is out coming to its end."""

    runs: int = 0
    points: int = 0
    taken_up: int = 0
    breach: str = ""
    course: list[tuple] = field(default_factory=list)


def crash_points(make: Callable[[], World], runs: int, length: int, seed: int = 1) -> Crashed:
    """Longer courses drawn by chance, and in each of them a kill after every step, once with all that was written on
    the disk and once without what was not flushed."""
    crashed, rng = Crashed(), Random(seed)
    for _ in range(runs):
        crashed.runs += 1
        course: list[tuple] = []
        try:
            world = make()
            while len(course) < length:
                choices = [choice for choice in world.choices() if not choice[0].startswith("the front is killed")]
                if not choices:
                    break
                course.append(rng.choice(choices))
                world.do(*course[-1])
            for after in range(len(course) + 1):
                for behind in (False, True):
                    crashed.points += 1
                    crashed.course = [*course[:after], ("killed here", "its disk behind" if behind else "")]
                    world = done_again(make, course[:after])
                    if world.front is not None:
                        world.kill(behind)
                    world.settle()
                    crashed.taken_up += world.front.recovery.kept + world.front.recovery.found
        except Breach as breach:
            crashed.breach, crashed.course = str(breach), crashed.course or course
            return crashed
    crashed.course = []
    return crashed
