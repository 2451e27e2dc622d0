"""Random histories of fronts that lend each other rights, and that no budget is ever passed by the true clock.

3 to 50 fronts, several budgets, words lost, doubled and late, kills, restarts, pauses, clocks off within the drift. What is
counted is counted by the world alone, in windows as the fastest clock allowed would have them.
"""

from __future__ import annotations

import heapq
from collections import deque
from itertools import count
from random import Random

from curlewshift.sharing.loans import Loans, initial_share
from curlewshift.sharing.terms import SharingTerms

MS = 1_000_000
TERMS = SharingTerms(term=1500 * MS, drift=0.01, window=1000 * MS, every=250 * MS)
TRUE_WINDOW = TERMS.window / (1 + TERMS.drift)
LASTS = 30_000 * MS


class Overdrawn(Exception):
    """More was used within one window than a budget has."""


class LoanFront:
    def __init__(self, history: LoanHistory, number: int):
        self.history, self.number = history, number
        rng = history.rng
        self.rate, self.offset = 1 + rng.uniform(-1, 1) * history.terms.drift, rng.randrange(10**12)
        self.paused_until = 0
        self.loans: Loans | None = None
        self.sent: dict[str, deque[int]] = {}
        self.start()

    def start(self) -> None:
        self.loans = self.history.kind(self, self.number, self.history.terms, self.history.rng.getrandbits(30))
        # a life that starts has no memory of what an earlier one sent, but its silence outlasts any window
        self.sent = {key: deque() for key in self.history.rights}

    def now(self) -> int:
        return int(self.history.now * self.rate) + self.offset

    def ask(self, lender: int, number: int, keys: list[str]) -> None:
        self.history.say(self.number, lender, "loan_requested", (self.number, number, keys))

    def lend(self, borrower: int, number: int, rights: list[tuple[str, int]]) -> None:
        self.history.say(self.number, borrower, "loan_received", (self.number, number, rights))

    def give_back(self, lender: int, number: int, key: str) -> None:
        self.history.say(self.number, lender, "loan_returned", (self.number, number, key))

    def part(self, key: str) -> int:
        return initial_share(self.history.rights[key], self.number, len(self.history.fronts), self.history.marks[key])

    def tries(self, key: str) -> bool:
        """A set-up is wanted: used if a right is in hand, else wanted."""
        now, sent = self.now(), self.sent[key]
        while sent and sent[0] <= now - self.history.terms.window:
            sent.popleft()
        if len(sent) < self.loans.may_use(key):
            self.loans.uses(key)
            sent.append(now)
            self.history.used(key)
            return True
        self.loans.wants(key)
        return False


class LoanHistory:
    terms, front_class, key_form, lasts = TERMS, LoanFront, "s{}", LASTS
    sizes = (3, 3, 4, 5, 8, 12, 20, 50)
    # from one trouble to the next (ns), at the most, and what part of them kills a front
    calm, killed = 4000 * MS, 0.4

    def __init__(self, seed: int, kind: type[Loans] = Loans, fronts: int = 0):
        self.rng, self.kind, self.now = Random(f"loans {seed}"), kind, 0
        rng = self.rng
        size = fronts or rng.choice(self.sizes)
        keys = [self.key_form.format(n) for n in range(rng.randint(1, 3))]
        self.rights = {key: rng.choice((1, 2, 3, size // 2 + 1, size, 2 * size + 1)) for key in keys}
        self.marks = {key: rng.randrange(1000) for key in keys}
        self.loss, self.doubled = rng.choice((0, 0.1, 0.5)), rng.choice((0, 0.3))
        self.late = rng.choice((5, 50, 3000)) * MS
        self.uses: dict[str, deque[int]] = {key: deque() for key in keys}
        self.queue: list[tuple] = []
        self.order = count()
        self.used_count = self.tried = 0
        self.fronts: list[LoanFront] = [None] * size
        for number in range(size):
            self.fronts[number] = self.front_class(self, number)
        for front in self.fronts:
            # as if they had run for long
            front.loans.quiet_until = 0
            self.at(rng.randrange(self.terms.every), self._round, front)
        self.at(0, self._viewing)
        self.at(0, self._trouble)

    def at(self, when: int, call, *arguments) -> None:
        heapq.heappush(self.queue, (when, next(self.order), call, arguments))

    def run(self) -> LoanHistory:
        """Raises `Overdrawn`."""
        while self.queue and self.queue[0][0] < self.lasts:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        return self

    def say(self, sender: int, to: int, what: str, words: tuple) -> None:
        for _ in range(2 if self.rng.random() < self.doubled else 1):
            if self.rng.random() >= self.loss:
                self.at(self.now + 1 + self.rng.randrange(self.late), self._arrives, to, what, words)

    def _arrives(self, to: int, what: str, words: tuple) -> None:
        front = self.fronts[to]
        if front.paused_until > self.now:
            self.at(front.paused_until, self._arrives, to, what, words)
        else:
            getattr(front.loans, what)(*words)

    def _round(self, front: LoanFront) -> None:
        if front.paused_until <= self.now:
            others = [number for number in range(len(self.fronts)) if number != front.number]
            self.rng.shuffle(others)
            front.loans.time(lambda key: [one for one in others if self.fronts[one].part(key)])
        self.at(self.now + self.terms.every, self._round, front)

    def _viewing(self) -> None:
        self._try(self.rng.choice(self.fronts), self.rng.choice(list(self.rights)), 0)
        self.at(self.now + self.rng.randrange(120 * MS), self._viewing)

    def _try(self, front: LoanFront, key: str, times: int) -> None:
        if front.paused_until > self.now:
            return
        self.tried += 1
        if front.tries(key):
            self.used_count += 1
        elif times < 2:
            # a viewer that is turned away comes again
            self.at(self.now + self.rng.randrange(600 * MS, 1000 * MS), self._try, front, key, times + 1)

    def _trouble(self) -> None:
        front, kind = self.rng.choice(self.fronts), self.rng.random()
        if kind < self.killed:
            front.start()
        elif kind < 0.8:
            front.paused_until = self.now + self.rng.randrange(6000 * MS)
        else:
            self.loss = self.rng.choice((0, 0.3, 1.0))
        self.at(self.now + self.rng.randrange(self.calm), self._trouble)

    def used(self, key: str) -> None:
        times = self.uses[key]
        times.append(self.now)
        while times and times[0] <= self.now - TRUE_WINDOW:
            times.popleft()
        if len(times) > self.rights[key]:
            raise Overdrawn(f"{len(times)} uses of {key} within one window, of {self.rights[key]}")


def overdrawn(seeds: range, kind: type[Loans] = Loans, history: type[LoanHistory] = LoanHistory) -> list[int]:
    """Seeds of histories in which a budget was passed."""
    found = []
    for seed in seeds:
        try:
            history(seed, kind).run()
        except Overdrawn:
            found.append(seed)
    return found
