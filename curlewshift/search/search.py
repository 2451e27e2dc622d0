"""Mutates a day by seed towards a broken rule, or towards more lost against an oracle; then shrinks what it found.

No I/O but the emulator's, which has none. A find is a day in which a rule is broken, or in which the rules answer less
value than an oracle on the same day by more than `GAP`. Shrinking drops troubles and makes them shorter, rarer and
smaller while the day stays a find, so that what is left is what matters.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from curlewshift.emulator.oracle import Oracle
from curlewshift.emulator.queue import EventLimitExceeded
from curlewshift.emulator.world import World
from curlewshift.fault_injection.rehearse import figures_of
from curlewshift.rules import Rules
from curlewshift.standins.script import EMULATED, Script, usual
from curlewshift.verdict.verdict import judge

# A day is a find from this much service less than the oracle's.
GAP = 0.08
MOST_TROUBLES = 6
KINDS = EMULATED
# A shrunk day keeps so much of its gap.
KEEPS = 0.75


@dataclass(slots=True)
class Found:
    """`broken` names rules; `gap` is the oracle's service less the rules'."""

    script: Script
    gap: float
    service: float
    broken: tuple[str, ...]
    runaway: str = ""

    @property
    def badness(self) -> float:
        return (10.0 if self.broken or self.runaway else 0.0) + self.gap

    @property
    def is_find(self) -> bool:
        return bool(self.broken or self.runaway) or self.gap >= GAP


def look(script: Script, rules: type[Rules] = Rules, wrong: str = "") -> Found:
    """One day, by the rules and by an oracle."""
    traffic: list[dict] = []
    try:
        World(script, script.seed, traffic, rules, wrong).run()
        best: list[dict] = []
        World(script, script.seed, best, Oracle).run()
    except EventLimitExceeded as runaway:
        return Found(script, 0.0, 0.0, (), str(runaway))
    figures = figures_of(script.site)
    verdict, oracle = judge(traffic, figures), judge(best, figures)
    broken = [number for number, rule in verdict["rules"].items() if rule["broken"]]
    broken += ["orphans"] * bool(verdict["orphans_left"]) + ["left standing"] * bool(verdict["left_standing"])
    return Found(script, oracle["service"] - verdict["service"], verdict["service"], tuple(broken))


def mutated(script: Script, rng: Random) -> Script:
    """Another day near this one."""
    troubles = [replace(trouble) for trouble in script.troubles]
    ways = (
        ["add"] * (len(troubles) < MOST_TROUBLES)
        + ["drop", "move", "stretch", "widen", "grow"] * bool(troubles)
        + ["seed", "press"]
    )
    way = rng.choice(ways)
    one = rng.choice(troubles) if troubles else None
    if way == "add":
        kind = rng.choice(KINDS)
        troubles.append(usual(kind, round(rng.uniform(1, script.lasts * 0.8), 1)))
    elif way == "drop":
        troubles.remove(one)
    elif way == "move":
        one.at = round(min(script.lasts - 1, max(0.5, one.at + rng.gauss(0, 3))), 1)
    elif way == "stretch":
        one.lasts = round(max(0.5, min(script.lasts / 2, one.lasts * rng.uniform(0.5, 2))), 1)
    elif way == "widen":
        one.part = round(max(0.05, min(0.8, one.part * rng.uniform(0.6, 1.7))), 2)
    elif way == "grow" and one.kind != "neighbour":
        one.size = round(max(1.0, min(6.0, one.size * rng.uniform(0.7, 1.5))), 2)
    elif way == "press":
        return replace(script, each_second=round(max(2.0, min(25.0, script.each_second * rng.uniform(0.8, 1.3))), 1))
    elif way == "seed":
        return replace(script, seed=rng.randrange(1, 10**6))
    return replace(script, troubles=sorted(troubles, key=lambda trouble: trouble.at))


def search(
    script: Script, tries: int, seed: int, rules: type[Rules] = Rules, wrong: str = "", progress=lambda done, of, best: None
) -> Found:
    """The worst day met in so many."""
    rng = Random(seed)
    best = look(replace(script, troubles=[]), rules, wrong)
    for number in range(tries):
        day = look(mutated(best.script, rng), rules, wrong)
        # now and then a step that makes nothing worse is taken too: a hill may lie behind it
        if day.badness > best.badness or (day.badness > best.badness - 0.01 and rng.random() < 0.2):
            best = day
        progress(number + 1, tries, best)
        if best.broken or best.runaway:
            break
    return best


def shrunk(found: Found, rules: type[Rules] = Rules, wrong: str = "", most_tries: int = 80) -> Found:
    """The fewest and mildest troubles that still make it a find of the same sort."""
    best, tries, wanted = found, 0, set(found.broken)

    def still(day: Found) -> bool:
        if wanted or found.runaway:
            return bool(wanted & set(day.broken)) or bool(found.runaway and day.runaway)
        return day.gap >= max(GAP * KEEPS, KEEPS * found.gap)

    changed = True
    while changed and tries < most_tries:
        changed = False
        for milder in milder_days(best.script):
            tries += 1
            day = look(milder, rules, wrong)
            if still(day):
                best, changed = day, True
                break
            if tries >= most_tries:
                break
    return best


def milder_days(script: Script) -> list[Script]:
    """Each one step milder: fewer troubles first, then shorter, rarer and smaller ones."""
    found = [replace(script, troubles=[one for one in script.troubles if one is not trouble]) for trouble in script.troubles]
    for number, trouble in enumerate(script.troubles):
        for what, value, least in (("lasts", trouble.lasts, 1.0), ("part", trouble.part, 0.1), ("size", trouble.size, 1.0)):
            less = round(value * 0.6, 2)
            if less >= least and not (what == "size" and trouble.kind == "neighbour"):
                troubles = [replace(one) for one in script.troubles]
                setattr(troubles[number], what, less)
                found.append(replace(script, troubles=troubles))
    if script.each_second > 5:
        found.append(replace(script, each_second=round(script.each_second * 0.8, 1)))
    return found
