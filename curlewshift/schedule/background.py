"""A scheduler for background work: jobs run in short slices within a time budget, so that they do not delay viewers' set-ups.

Called by the front for sweeps, renewals and whatever is written or measured in the background; no I/O, and the clock is a
parameter. Jobs have a priority, and within a priority the earliest deadline goes first. The time budget per second is a
token bucket: the duration of each slice is taken out of it, and nothing runs while it is empty. A slice that exceeds
`MAX_SLICE` is reported and makes the following slices wait longer; it cannot be interrupted, but it cannot run again at
once either. Waiting raises the priority of a job, so that no job starves.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from curlewshift.schedule.wheel import Entry, Wheel

MS = 1_000_000
SECOND = 1000 * MS
# Time (ns) per second for all background work, and how much unused time may be saved for a burst.
BUDGET_PER_SECOND = 20 * MS
MAX_CREDIT = 10 * MS
# A slice that took longer than this (ns) is reported.
MAX_SLICE = 1 * MS
# The priority of a waiting job rises by one each time this interval (ns) has passed.
AGING_STEP = 2 * SECOND
# Weight of the latest slice in the moving average of a job's slice duration.
COST_SMOOTHING = 0.2


@dataclass(eq=False, slots=True)
class Job:
    """One job. `work()` runs one slice and returns true if there is more to do now. `every` is the period (ns), 0 for a job
    that runs once; `within` is the deadline relative to the time it is due (ns). Lower `priority` values run first."""

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
    cancelled: bool = False
    # since when it waits for its next slice; the wait before an earlier slice does not count for its priority
    ready_since: int = 0


class Background:
    """`clock()` measures slices (ns); `on_overrun(job, cost)` is called for a slice that took longer than `MAX_SLICE`."""

    def __init__(
        self,
        now: int,
        clock: Callable[[], int],
        on_overrun: Callable[[Job, int], None],
        budget: int = BUDGET_PER_SECOND,
        max_credit: int = MAX_CREDIT,
    ):
        self.clock, self.on_overrun, self.budget, self.max_credit = clock, on_overrun, budget, max_credit
        self.wheel = Wheel(now, MS)
        self.ready: dict[int, list[tuple[int, int, Job]]] = {}
        self.sequence = 0
        self.credit, self.refilled_at = float(max_credit), now

    def add(self, name: str, work: Callable[[], object], at: int, priority: int = 1, every: int = 0, within: int = SECOND) -> Job:
        job = Job(name, work, priority, every, within)
        self._schedule(job, at)
        return job

    def cancel(self, job: Job) -> None:
        """The job does not run again; a slice in progress is not interrupted."""
        job.cancelled = True
        if job.entry is not None:
            self.wheel.cancel(job.entry)

    def run(self, now: int) -> bool:
        """Runs at most one slice, that of the most urgent job. False if nothing may run now."""
        self._collect(now)
        self._refill(now)
        job = self._pop_most_urgent(now)
        if job is None:
            return False
        job.late += now > job.due + job.within
        started_at = self.clock()
        try:
            more = job.work()
        finally:
            self._charge(job, self.clock() - started_at)
        if job.cancelled:
            return True
        if more:
            self._make_ready(job, now)
        elif job.every:
            # relative to when it was due, not to when it ran; periods that were missed entirely are skipped
            missed = max(0, now - job.due) // job.every
            self._schedule(job, job.due + (missed + 1) * job.every)
        return True

    def next_run(self, now: int) -> int | None:
        """A time before which `run` would do nothing."""
        if any(self.ready.values()):
            if self.credit >= 0:
                return now
            return now + int(-self.credit * SECOND / self.budget) + 1
        return self.wheel.next_due()

    def _schedule(self, job: Job, at: int) -> None:
        job.due = at
        job.entry = self.wheel.add(at, job)

    def _collect(self, now: int) -> None:
        for job in self.wheel.due(now):
            job.entry = None
            self._make_ready(job, now)

    def _make_ready(self, job: Job, now: int) -> None:
        self.sequence += 1
        job.ready_since = now
        heapq.heappush(self.ready.setdefault(job.priority, []), (job.due + job.within, self.sequence, job))

    def _refill(self, now: int) -> None:
        self.credit = min(self.max_credit, self.credit + (now - self.refilled_at) * self.budget / SECOND)
        self.refilled_at = now

    def _pop_most_urgent(self, now: int) -> Job | None:
        best = None
        for priority, queue in self.ready.items():
            while queue and queue[0][2].cancelled:
                heapq.heappop(queue)
            if queue:
                job = queue[0][2]
                rank = (priority - max(0, now - job.ready_since) // AGING_STEP, queue[0][0])
                if best is None or rank < best[0]:
                    best = (rank, queue)
        if best is None:
            return None
        job = best[1][0][2]
        # the expected cost must be in the bucket; a full bucket is enough for any job, as otherwise a job that costs more
        # than the bucket holds would never run
        if self.credit < min(job.cost, self.max_credit):
            return None
        return heapq.heappop(best[1])[2]

    def _charge(self, job: Job, cost: int) -> None:
        self.credit -= cost
        job.runs += 1
        job.cost += (cost - job.cost) * (COST_SMOOTHING if job.runs > 1 else 1.0)
        if cost > MAX_SLICE:
            job.overran += 1
            self.on_overrun(job, cost)
