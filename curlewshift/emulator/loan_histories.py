"""Random histories of fronts that lend each other rights: no budget may ever be exceeded by the true clock.

Rights and loans are parts of a shared budget held in escrow by a front (one process of the program). 3 to 50 fronts, several
budgets, messages lost, duplicated and delayed, kills, restarts, pauses, and clocks that run within the permitted drift. The
history counts the uses itself, in true time, over the length that a window has by the fastest permitted clock.
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
DURATION = 30_000 * MS


class Overdrawn(Exception):
    """More rights were used within one window than a budget has."""


class LoanFront:
    """A front with its own drifting clock; the I/O driver of its loans."""

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
        # a new life (run of the process) does not know what an earlier one used, but stays quiet for longer than any window
        self.sent = {key: deque() for key in self.history.rights}

    def now(self) -> int:
        return int(self.history.now * self.rate) + self.offset

    def ask(self, lender: int, number: int, keys: list[str]) -> None:
        self.history.send(self.number, lender, "loan_requested", (self.number, number, keys))

    def lend(self, borrower: int, number: int, rights: list[tuple[str, int]]) -> None:
        self.history.send(self.number, borrower, "loan_received", (self.number, number, rights))

    def give_back(self, lender: int, number: int, key: str) -> None:
        self.history.send(self.number, lender, "loan_returned", (self.number, number, key))

    def part(self, key: str) -> int:
        return initial_share(self.history.rights[key], self.number, len(self.history.fronts), self.history.placement_hashes[key])

    def try_use(self, key: str) -> bool:
        """Requests a set-up: uses a right if one is held, else asks the loans for one; returns whether it was used."""
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
    """One random history; the seed decides sizes, message loss and faults."""

    terms, front_class, key_form, duration = TERMS, LoanFront, "s{}", DURATION
    sizes = (3, 3, 4, 5, 8, 12, 20, 50)
    # the longest time between two faults (ns), and the share of faults that restart a front
    max_fault_interval, restart_share = 4000 * MS, 0.4

    def __init__(self, seed: int, kind: type[Loans] = Loans, fronts: int = 0):
        self.rng, self.kind, self.now = Random(f"loans {seed}"), kind, 0
        rng = self.rng
        size = fronts or rng.choice(self.sizes)
        keys = [self.key_form.format(n) for n in range(rng.randint(1, 3))]
        self.rights = {key: rng.choice((1, 2, 3, size // 2 + 1, size, 2 * size + 1)) for key in keys}
        self.placement_hashes = {key: rng.randrange(1000) for key in keys}
        self.loss, self.duplication = rng.choice((0, 0.1, 0.5)), rng.choice((0, 0.3))
        self.max_delay = rng.choice((5, 50, 3000)) * MS
        self.uses: dict[str, deque[int]] = {key: deque() for key in keys}
        self.queue: list[tuple] = []
        self.order = count()
        self.successes = self.attempts = 0
        self.fronts: list[LoanFront] = [None] * size
        for number in range(size):
            self.fronts[number] = self.front_class(self, number)
        for front in self.fronts:
            # past the quiet time after a start, as fronts that have run for long
            front.loans.quiet_until = 0
            self.at(rng.randrange(self.terms.every), self._run_round, front)
        self.at(0, self._start_viewing)
        self.at(0, self._inject_fault)

    def at(self, when: int, call, *arguments) -> None:
        heapq.heappush(self.queue, (when, next(self.order), call, arguments))

    def run(self) -> LoanHistory:
        """Runs the entire history; raises `Overdrawn` on a violation."""
        while self.queue and self.queue[0][0] < self.duration:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        return self

    def send(self, sender: int, to: int, message: str, arguments: tuple) -> None:
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            if self.rng.random() >= self.loss:
                self.at(self.now + 1 + self.rng.randrange(self.max_delay), self._deliver, to, message, arguments)

    def _deliver(self, to: int, message: str, arguments: tuple) -> None:
        front = self.fronts[to]
        if front.paused_until > self.now:
            self.at(front.paused_until, self._deliver, to, message, arguments)
        else:
            getattr(front.loans, message)(*arguments)

    def _run_round(self, front: LoanFront) -> None:
        if front.paused_until <= self.now:
            others = [number for number in range(len(self.fronts)) if number != front.number]
            self.rng.shuffle(others)
            front.loans.time(lambda key: [number for number in others if self.fronts[number].part(key)])
        self.at(self.now + self.terms.every, self._run_round, front)

    def _start_viewing(self) -> None:
        self._attempt(self.rng.choice(self.fronts), self.rng.choice(list(self.rights)), 0)
        self.at(self.now + self.rng.randrange(120 * MS), self._start_viewing)

    def _attempt(self, front: LoanFront, key: str, times: int) -> None:
        if front.paused_until > self.now:
            return
        self.attempts += 1
        if front.try_use(key):
            self.successes += 1
        elif times < 2:
            # a viewer that is refused tries again
            self.at(self.now + self.rng.randrange(600 * MS, 1000 * MS), self._attempt, front, key, times + 1)

    def _inject_fault(self) -> None:
        front, kind = self.rng.choice(self.fronts), self.rng.random()
        if kind < self.restart_share:
            front.start()
        elif kind < 0.8:
            front.paused_until = self.now + self.rng.randrange(6000 * MS)
        else:
            self.loss = self.rng.choice((0, 0.3, 1.0))
        self.at(self.now + self.rng.randrange(self.max_fault_interval), self._inject_fault)

    def used(self, key: str) -> None:
        times = self.uses[key]
        times.append(self.now)
        while times and times[0] <= self.now - TRUE_WINDOW:
            times.popleft()
        if len(times) > self.rights[key]:
            raise Overdrawn(f"{len(times)} uses of {key} within one window, but the budget is {self.rights[key]}")


def overdrawn(seeds: range, kind: type[Loans] = Loans, history: type[LoanHistory] = LoanHistory) -> list[int]:
    """Returns the seeds of histories in which a budget was exceeded."""
    found = []
    for seed in seeds:
        try:
            history(seed, kind).run()
        except Overdrawn:
            found.append(seed)
    return found
