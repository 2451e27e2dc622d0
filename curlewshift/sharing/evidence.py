"""What fronts have seen of each media server, merged as evidence and not as verdicts.

Each front says of a server how often it answered and failed of late, and since when it has answered without a break. Kept is
each one's last word by life and number, so that words merge in any order. What the words are worth is weighed when it is
asked for: by how much each really saw, and less for one that finds bad what others find well, as its own path may be bad.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from curlewshift.sharing.terms import SharingTerms

# Evidence fades as what a front holds against a server itself does (ns).
FADES = 8_000_000_000
# One that says more than this for one server counts as having seen so much: a crowd at one front is not many fronts.
MOST_OF_ONE = 6.0
# So many others have to say the same, and this part of all that counts has to be bad, for a server to be doubted by their word.
WITNESSES, DOUBT, CLEAR = 2, 0.6, 0.3
# A witness's whole weight is halved for each so many servers on which it stands alone against the rest.
ALONE = 1.0
MOST_SERVERS, MOST_WITNESSES = 8192, 64


@dataclass(slots=True)
class ServerObservation:
    """One front's last word on one server: faded counts, and for how long (ns) it had answered without a break when said."""

    life: int
    number: int
    good: float
    bad: float
    lasting: int
    at: int


class Evidence:
    """Times are this front's steady ns. `me` is one witness among the others."""

    def __init__(self, me: str, terms: SharingTerms):
        self.me, self.terms = me, terms
        self.words: dict[str, dict[str, ServerObservation]] = {}
        # servers that are doubted by others' word, kept so between two marks: one that flaps does not flap the fleet
        self.doubted: dict[str, bool] = {}

    def heard(self, front: str, life: int, number: int, rows: list[tuple[str, float, float, int]], now: int) -> None:
        for server, good, bad, lasting in rows:
            words = self.words.get(server)
            if words is None:
                if len(self.words) >= MOST_SERVERS:
                    continue
                words = self.words[server] = {}
            held = words.get(front)
            if held is not None and (life, number) <= (held.life, held.number):
                continue
            if held is None and len(words) >= MOST_WITNESSES:
                continue
            words[front] = ServerObservation(
                life, number, max(0.0, min(good, MOST_OF_ONE)), max(0.0, min(bad, MOST_OF_ONE)), max(0, lasting), now
            )

    def lean(self, server: str, front: str, now: int) -> tuple[float, float]:
        """Good and bad of one witness, faded to now."""
        word = self.words.get(server, {}).get(front)
        if word is None:
            return 0.0, 0.0
        left = exp(-max(0, now - word.at) / FADES)
        return word.good * left, word.bad * left

    def standing(self, now: int) -> dict[str, float]:
        """The weight of each witness, up to 1: halved for each server that it alone finds bad while others find it well."""
        alone: dict[str, float] = {}
        for server, words in self.words.items():
            leans = {front: self.lean(server, front, now) for front in words}
            for front, (good, bad) in leans.items():
                if bad <= good or bad < 0.5:
                    continue
                others = [lean for name, lean in leans.items() if name != front]
                well = sum(good > bad for good, bad in others)
                ill = sum(bad > good for good, bad in others)
                alone[front] = alone.get(front, 0.0) + max(0, well - ill) / max(1, well + ill)
        return {front: 0.5 ** (count / ALONE) for front, count in alone.items()}

    def weighed(self, server: str, now: int, standing: dict[str, float] | None = None) -> tuple[float, float, int]:
        """Good, bad, and how many others find it bad, by the word of all but this front."""
        standing = self.standing(now) if standing is None else standing
        good = bad = 0.0
        against = 0
        for front in self.words.get(server, {}):
            if front == self.me:
                continue
            one_good, one_bad = self.lean(server, front, now)
            weight = standing.get(front, 1.0)
            good += weight * one_good
            bad += weight * one_bad
            against += weight * one_bad > 0.5 and one_bad > one_good
        return good, bad, against

    def doubts(self, now: int) -> dict[str, bool]:
        """Servers doubted by others' word. Brought up to date for all at once, each `every`."""
        standing = self.standing(now)
        for server in self.words:
            good, bad, against = self.weighed(server, now, standing)
            part = bad / (good + bad) if good + bad > 0.5 else 0.0
            if part >= DOUBT and against >= WITNESSES:
                self.doubted[server] = True
            elif part <= CLEAR:
                self.doubted.pop(server, None)
        return self.doubted

    def warm(self, server: str, within: int, since: int, now: int) -> bool:
        """Whether others have seen it answer without a break for longer than it takes to get warm, each after `since`: what
        was seen before might be of a start that is over."""
        proofs = 0
        for front, word in self.words.get(server, {}).items():
            if front == self.me or word.at < since:
                continue
            good, bad = self.lean(server, front, now)
            if bad > 0.1:
                return False
            # a fast clock shows more than was
            proofs += word.lasting * (1 - 2 * self.terms.drift) > within and good > 0
        return proofs >= WITNESSES

    def why(self, server: str, now: int) -> list[tuple[str, float, float, float]]:
        """Who says what of it, with weights, for people."""
        standing = self.standing(now)
        return [(front, *self.lean(server, front, now), standing.get(front, 1.0)) for front in self.words.get(server, {})]

    def forget(self, now: int) -> None:
        for server, words in list(self.words.items()):
            for front in [front for front, word in words.items() if now - word.at > 4 * FADES]:
                del words[front]
            if not words:
                del self.words[server]
                self.doubted.pop(server, None)
