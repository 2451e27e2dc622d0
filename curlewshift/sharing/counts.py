"""What each front uses, told to the others as figures with ages. They inform; nothing that may not be passed rests on them.

For each key one front adds up: the one that rendezvous hashing (Thaler, Ravishankar 1998) picks of those that are in, so that
all who use a key tell one and hear of one, and a change of members moves only the keys of who came or went. What one says is
its last word by life and number (a last-writer-wins map; Shapiro et al. 2011): doubled, late and reordered words change
nothing. A word that is old counts for less and at last for nothing, so that a silent front leads to what one alone would do.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from curlewshift.sharing.terms import SharingTerms

# Changes smaller than this part are not news; all is told again after so many rounds, as words may be lost.
CHANGE, AGAIN = 0.02, 2
# Keys that one front adds up, and words that it keeps for one key.
MOST_KEYS, MOST_WORDS = 8192, 1024
# One report comes by several words, whose ways differ by no more than this (ns).
SAME_REPORT = 100_000_000


def picked(key: str, names: list[str]) -> str:
    """The one of the names that the key falls to; the same at every front that knows the same names."""
    return max(names, key=lambda name: blake2b(f"{key} {name}".encode(), digest_size=8).digest())


@dataclass(slots=True)
class CountReport:
    life: int
    number: int
    value: float
    at: int


class Counts:
    """Times are this front's steady ns; what comes is dated when it comes."""

    def __init__(self, me: str, terms: SharingTerms):
        self.me, self.terms = me, terms
        self.mine: dict[str, float] = {}
        self.said: dict[str, tuple[float, int]] = {}
        self.round = 0
        self.words: dict[str, dict[str, CountReport]] = {}
        self.others: dict[str, tuple[float, int]] = {}
        # as the one that adds up: how full a prober found it, and when; as one that uses: what of that is new
        self.reports: dict[str, tuple[float, int]] = {}
        self.found: dict[str, tuple[float, int]] = {}
        # which life and number of who adds up spoke last
        self.heard_of: dict[str, tuple[int, int]] = {}

    def weight(self, age: int) -> float:
        """Whole for a while, then less by the straight line to nothing at four times that."""
        ages = self.terms.ages
        return 1.0 if age <= ages else max(0.0, (4 * ages - age) / (3 * ages))

    # ---- as one that uses

    def wanted(self, uses: dict[str, float]) -> None:
        """What this front uses, 0 where it only wants to hear of the others. Who used a key says once that it does no more."""
        ended = {key: 0.0 for key, value in self.mine.items() if value > 0 and key not in uses}
        self.mine = {**uses, **ended}
        self.said = {key: said for key, said in self.said.items() if key in self.mine or said[1] > self.round - AGAIN}

    def due(self) -> list[tuple[str, float]]:
        """What is to be told now: what has changed, and from time to time everything."""
        self.round += 1
        rows = []
        for key, value in self.mine.items():
            before, at = self.said.get(key, (0.0, -AGAIN))
            if abs(value - before) > CHANGE * max(value, before) or self.round - at >= AGAIN:
                rows.append((key, value))
                self.said[key] = (value, self.round)
        return rows

    def told(self, adder: str, life: int, number: int, rows: list[tuple[str, float, int, float, int]], now: int) -> None:
        """Others' use by who adds it up, each with its age (ns); and how full the one that asks for all found it, with the age
        of that, a use under 0 where there is none."""
        if (life, number) <= self.heard_of.get(adder, (-1, -1)):
            return
        self.heard_of[adder] = (life, number)
        for key, value, age, use, use_age in rows:
            if key in self.mine:
                self.others[key] = (value, now - max(0, age))
                at = now - max(0, use_age)
                if use >= 0 and at > self.found.get(key, (0.0, -1))[1] + SAME_REPORT:
                    self.found[key] = (use, at)

    def of_others(self, key: str, now: int) -> tuple[float, int] | None:
        """What the others use together and how old that is; None where it is too old to say."""
        held = self.others.get(key)
        if held is None or now - held[1] >= 4 * self.terms.ages:
            self.others.pop(key, None)
            return None
        return held[0] * self.weight(now - held[1]), now - held[1]

    # ---- as the one that adds up

    def heard(self, front: str, life: int, number: int, rows: list[tuple[str, float]], now: int) -> None:
        for key, value in rows:
            words = self.words.get(key)
            if words is None:
                if len(self.words) >= MOST_KEYS:
                    continue
                words = self.words[key] = {}
            held = words.get(front)
            if held is not None and (life, number) <= (held.life, held.number):
                continue
            if held is not None or len(words) < MOST_WORDS:
                words[front] = CountReport(life, number, value, now)

    def reported(self, key: str, use: float, now: int) -> None:
        if key in self.reports or len(self.reports) < MOST_KEYS:
            self.reports[key] = (use, now)

    def report(self, key: str, now: int) -> tuple[float, int]:
        """What was found of late, and its age; -1 where nothing was."""
        use, at = self.reports.get(key, (-1.0, now))
        return (use, now - at) if now - at < self.terms.ages else (-1.0, 0)

    def sums(self, front: str, keys: list[str], now: int) -> list[tuple[str, float, int, float, int]]:
        """For one that asked: what all others use of each key, and how old that is in the mean of what is used. By the oldest
        word in it, one lost word of any front had made the whole sum too old to go by (at a quarter of words lost, .126 of
        seconds short where .149 were without)."""
        rows = []
        for key in keys:
            whole, aged = 0.0, 0.0
            for name, word in self.words.get(key, {}).items():
                age = now - word.at
                if name != front:
                    used = word.value * self.weight(age)
                    whole += used
                    aged += used * age
            rows.append((key, whole, int(aged / whole) if whole > 0 else 0, *self.report(key, now)))
        return rows

    def forget(self, now: int) -> None:
        """Words that count for nothing any more, and what is added up for nobody."""
        past = now - 4 * self.terms.ages
        for key, words in list(self.words.items()):
            for name in [name for name, word in words.items() if word.at <= past]:
                del words[name]
            if not words:
                del self.words[key]
        self.reports = {key: held for key, held in self.reports.items() if now - held[1] < self.terms.ages}
        self.found = {key: held for key, held in self.found.items() if now - held[1] < 4 * self.terms.ages}
        self.heard_of = dict(list(self.heard_of.items())[-MOST_WORDS:])

    def merged(self, other: Counts) -> None:
        """Takes over what another has heard: each front's last word. Any order and number of merges end alike."""
        for key, words in other.words.items():
            mine = self.words.setdefault(key, {})
            for name, word in words.items():
                held = mine.get(name)
                if held is None or (word.life, word.number) > (held.life, held.number):
                    mine[name] = word
