"""Mutates a script at random towards a broken rule or a larger gap to an oracle, then shrinks what it found.

No I/O; the emulator has none either. A finding is a script on which a rule is broken, or on which the rules serve less value
than an oracle on the same script by `FINDING_GAP` or more. Shrinking removes troubles and makes them shorter, rarer and smaller
while the script stays a finding, so that only what matters is left.
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

# A script is a finding if its service is this much less than the oracle's (both 0 to 1).
FINDING_GAP = 0.08
MAX_TROUBLES = 6
KINDS = EMULATED
# A shrunk script keeps at least this part of its gap.
SHRUNK_GAP_SHARE = 0.75


@dataclass(slots=True)
class SearchResult:
    """`broken` names rules; `gap` is the oracle's service minus the rules'; `limit_exceeded` is why a run did not end, if so."""

    script: Script
    gap: float
    service: float
    broken: tuple[str, ...]
    limit_exceeded: str = ""

    @property
    def severity(self) -> float:
        """Higher is worse; a broken rule or a run that does not end counts more than any gap."""
        return (10.0 if self.broken or self.limit_exceeded else 0.0) + self.gap

    @property
    def is_finding(self) -> bool:
        return bool(self.broken or self.limit_exceeded) or self.gap >= FINDING_GAP


def evaluate(script: Script, rules: type[Rules] = Rules, sabotage: str = "") -> SearchResult:
    """Runs one script with the rules and with an oracle."""
    traffic: list[dict] = []
    try:
        World(script, script.seed, traffic, rules, sabotage).run()
        best: list[dict] = []
        World(script, script.seed, best, Oracle).run()
    except EventLimitExceeded as limit_exceeded:
        return SearchResult(script, 0.0, 0.0, (), str(limit_exceeded))
    figures = figures_of(script.site)
    verdict, oracle = judge(traffic, figures), judge(best, figures)
    broken = [number for number, rule in verdict["rules"].items() if rule["broken"]]
    broken += ["orphans"] * bool(verdict["orphans_left"]) + ["left standing"] * bool(verdict["left_standing"])
    return SearchResult(script, oracle["service"] - verdict["service"], verdict["service"], tuple(broken))


def mutate(script: Script, rng: Random) -> Script:
    """A copy of the script with one random change."""
    troubles = [replace(trouble) for trouble in script.troubles]
    mutations = (
        ["add"] * (len(troubles) < MAX_TROUBLES)
        + ["drop", "move", "stretch", "widen", "grow"] * bool(troubles)
        + ["seed", "press"]
    )
    mutation = rng.choice(mutations)
    trouble = rng.choice(troubles) if troubles else None
    if mutation == "add":
        kind = rng.choice(KINDS)
        troubles.append(usual(kind, round(rng.uniform(1, script.lasts * 0.8), 1)))
    elif mutation == "drop":
        troubles.remove(trouble)
    elif mutation == "move":
        trouble.at = round(min(script.lasts - 1, max(0.5, trouble.at + rng.gauss(0, 3))), 1)
    elif mutation == "stretch":
        trouble.lasts = round(max(0.5, min(script.lasts / 2, trouble.lasts * rng.uniform(0.5, 2))), 1)
    elif mutation == "widen":
        trouble.part = round(max(0.05, min(0.8, trouble.part * rng.uniform(0.6, 1.7))), 2)
    elif mutation == "grow" and trouble.kind != "neighbour":
        trouble.size = round(max(1.0, min(6.0, trouble.size * rng.uniform(0.7, 1.5))), 2)
    elif mutation == "press":
        return replace(script, each_second=round(max(2.0, min(25.0, script.each_second * rng.uniform(0.8, 1.3))), 1))
    elif mutation == "seed":
        return replace(script, seed=rng.randrange(1, 10**6))
    return replace(script, troubles=sorted(troubles, key=lambda trouble: trouble.at))


def search(
    script: Script, tries: int, seed: int, rules: type[Rules] = Rules, sabotage: str = "", progress=lambda done, of, best: None
) -> SearchResult:
    """The worst of `tries` scripts, by stochastic hill climbing from the script without its troubles."""
    rng = Random(seed)
    best = evaluate(replace(script, troubles=[]), rules, sabotage)
    for number in range(tries):
        result = evaluate(mutate(best.script, rng), rules, sabotage)
        # a slightly less severe script is sometimes accepted, to escape local maxima
        if result.severity > best.severity or (result.severity > best.severity - 0.01 and rng.random() < 0.2):
            best = result
        progress(number + 1, tries, best)
        if best.broken or best.limit_exceeded:
            break
    return best


def shrink(found: SearchResult, rules: type[Rules] = Rules, sabotage: str = "", max_tries: int = 80) -> SearchResult:
    """The fewest and mildest troubles for which the script stays a finding of the same kind."""
    best, tries, wanted = found, 0, set(found.broken)

    def is_same_finding(result: SearchResult) -> bool:
        if wanted or found.limit_exceeded:
            return bool(wanted & set(result.broken)) or bool(found.limit_exceeded and result.limit_exceeded)
        return result.gap >= max(FINDING_GAP * SHRUNK_GAP_SHARE, SHRUNK_GAP_SHARE * found.gap)

    changed = True
    while changed and tries < max_tries:
        changed = False
        for candidate in milder_scripts(best.script):
            tries += 1
            result = evaluate(candidate, rules, sabotage)
            if is_same_finding(result):
                best, changed = result, True
                break
            if tries >= max_tries:
                break
    return best


def milder_scripts(script: Script) -> list[Script]:
    """Scripts one step milder: first with a trouble less, then with shorter, rarer or smaller ones."""
    scripts = [replace(script, troubles=[kept for kept in script.troubles if kept is not trouble]) for trouble in script.troubles]
    for number, trouble in enumerate(script.troubles):
        for field, value, minimum in (("lasts", trouble.lasts, 1.0), ("part", trouble.part, 0.1), ("size", trouble.size, 1.0)):
            reduced = round(value * 0.6, 2)
            if reduced >= minimum and not (field == "size" and trouble.kind == "neighbour"):
                troubles = [replace(kept) for kept in script.troubles]
                setattr(troubles[number], field, reduced)
                scripts.append(replace(script, troubles=troubles))
    if script.each_second > 5:
        scripts.append(replace(script, each_second=round(script.each_second * 0.8, 1)))
    return scripts
