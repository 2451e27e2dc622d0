"""Work that no viewer waits for, done in small slices within a budget of time, so that joins never wait behind it.

Called by the front for sweeps, renewals and whatever is written or measured behind; free of I/O, with its clock from
outside. Jobs have a priority, and inside a priority the earliest deadline goes first. A budget of time a second is a
bucket: what a slice took is taken out of it, and with nothing in it nothing runs. A slice that takes longer than was
said is told of, and paid for by waiting: it cannot be stopped, but it cannot come again at once either. Waiting makes a
job more urgent, so that nothing starves for ever however much comes before it.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from curlewshift.schedule.wheel import Entry, Wheel

MS = 1_000_000
SECOND = 1000 * MS
# Time a second for all work behind, and how much unused time may be saved up for a burst.
BUDGET = 20 * MS
SAVED = 10 * MS
# A slice that took longer than this is told of.
SLICE = 1 * MS
# A job that has waited so long counts as one priority more urgent, and again for each such wait.
AGES = 2 * SECOND
# What is expected of a slice is what the ones before it took, the newest counting for this part.
NEWEST = 0.2


@dataclass(eq=False, slots=True)
class Job:
    """`work()` does one slice, and returns true if there is more to do now. `every` is 0 for a job that is done once;
    `within` is how soon after it is due it should be done (ns)."""

    name: str
    work: Callable[[], object]
    priority: int
    every: int
    within: int
    due: int = 0
    entry: Entry | None = None
    cost: float = 0.0
    runs: int = 0
    late: int = 0
    overran: int = 0
    gone: bool = False
    # since when it waits for its next slice: one that has just had one is not aged by what it waited before
    since: int = 0


class Background:
    """`clock()` is for measuring slices (ns); `told(job, cost)` hears of one that took too long."""

    def __init__(
        self, now: int, clock: Callable[[], int], told: Callable[[Job, int], None], budget: int = BUDGET, saved: int = SAVED
    ):
        self.clock, self.told, self.budget, self.saved = clock, told, budget, saved
        self.wheel = Wheel(now, MS)
        self.ready: dict[int, list[tuple[int, int, Job]]] = {}
        self.number = 0
        self.left, self.left_at = float(saved), now

    def add(self, name: str, work: Callable[[], object], at: int, priority: int = 1, every: int = 0, within: int = SECOND) -> Job:
        job = Job(name, work, priority, every, within)
        self._set(job, at)
        return job

    def cancel(self, job: Job) -> None:
        """It is not run again; a slice under way is not touched."""
        job.gone = True
        if job.entry is not None:
            self.wheel.cancel(job.entry)

    def run(self, now: int) -> bool:
        """One slice at the most of the job that is most urgent. False if nothing may run now."""
        self._collect(now)
        self._refill(now)
        job = self._next(now)
        if job is None:
            return False
        job.late += now > job.due + job.within
        began = self.clock()
        try:
            more = job.work()
        finally:
            self._paid(job, self.clock() - began)
        if job.gone:
            return True
        if more:
            self._make_ready(job, now)
        elif job.every:
            # from when it was due, not from when it was done, unless whole turns were missed
            missed = max(0, now - job.due) // job.every
            self._set(job, job.due + (missed + 1) * job.every)
        return True

    def next_run(self, now: int) -> int | None:
        """A time before which `run` would do nothing."""
        if any(self.ready.values()):
            if self.left >= 0:
                return now
            return now + int(-self.left * SECOND / self.budget) + 1
        return self.wheel.next_due()

    def _set(self, job: Job, at: int) -> None:
        job.due = at
        job.entry = self.wheel.add(at, job)

    def _collect(self, now: int) -> None:
        for job in self.wheel.due(now):
            job.entry = None
            self._make_ready(job, now)

    def _make_ready(self, job: Job, now: int) -> None:
        self.number += 1
        job.since = now
        heapq.heappush(self.ready.setdefault(job.priority, []), (job.due + job.within, self.number, job))

    def _refill(self, now: int) -> None:
        self.left = min(self.saved, self.left + (now - self.left_at) * self.budget / SECOND)
        self.left_at = now

    def _next(self, now: int) -> Job | None:
        best = None
        for priority, queue in self.ready.items():
            while queue and queue[0][2].gone:
                heapq.heappop(queue)
            if queue:
                job = queue[0][2]
                rank = (priority - max(0, now - job.since) // AGES, queue[0][0])
                if best is None or rank < best[0]:
                    best = (rank, queue)
        if best is None:
            return None
        job = best[1][0][2]
        # it has to be paid for; but a full bucket pays for anything, or what costs more would never run
        if self.left < min(job.cost, self.saved):
            return None
        return heapq.heappop(best[1])[2]

    def _paid(self, job: Job, cost: int) -> None:
        self.left -= cost
        job.runs += 1
        job.cost += (cost - job.cost) * (NEWEST if job.runs > 1 else 1.0)
        if cost > SLICE:
            job.overran += 1
            self.told(job, cost)
