"""The scheduler for background work: priorities, the time budget, overruns, periods and cancelling."""

import unittest

from curlewshift.schedule.background import AGING_STEP, MAX_SLICE, MS, SECOND, Background


class BackgroundScheduler(unittest.TestCase):
    """A clock that is advanced by the work itself: each slice takes the time given as its cost."""

    def setUp(self):
        self.clock, self.done, self.overruns = 0, [], []
        self.background = Background(0, lambda: self.clock, lambda job, cost: self.overruns.append((job.name, cost)))

    def work(self, name, cost=MS // 10, slices=1):
        left = [slices]

        def slice_of_work():
            self.clock += cost
            self.done.append(name)
            left[0] -= 1
            return left[0] > 0

        return slice_of_work

    def until(self, at, step=MS):
        while self.clock < at:
            if not self.background.run(self.clock):
                self.clock += step

    def test_priority_first_then_earliest_deadline(self):
        self.background.add("low", self.work("low"), 0, priority=2)
        self.background.add("late", self.work("late"), 0, priority=1, within=9 * SECOND)
        self.background.add("soon", self.work("soon"), 0, priority=1, within=SECOND)
        self.until(10 * MS)
        self.assertEqual(self.done, ["soon", "late", "low"])

    def test_jobs_together_stay_within_the_budget(self):
        for number in range(5):
            self.background.add(str(number), self.work(str(number), cost=MS // 2, slices=10**9), 0)
        self.until(10 * SECOND)
        # 20 ms per second, and 10 ms that were saved
        self.assertLessEqual(len(self.done) * MS // 2, 10 * 20 * MS + 10 * MS + MS)
        self.assertGreater(len(self.done) * MS // 2, 9 * 20 * MS)

    def test_overrun_is_reported_and_delays_later_slices(self):
        self.background.add("long", self.work("long", cost=100 * MS), 0)
        self.background.add("next", self.work("next"), MS)
        self.until(SECOND)
        self.assertEqual(self.overruns, [("long", 100 * MS)])
        self.assertEqual(self.done, ["long"])
        self.until(6 * SECOND)
        self.assertEqual(self.done, ["long", "next"])

    def test_job_costing_more_than_the_saved_maximum_still_runs(self):
        self.background.add("huge", self.work("huge", cost=50 * MS), 0, every=SECOND)
        self.until(20 * SECOND)
        self.assertGreater(self.done.count("huge"), 4)

    def test_endless_urgent_job_does_not_starve_others(self):
        self.background.add("greedy", self.work("greedy", cost=MAX_SLICE, slices=10**9), 0, priority=0)
        self.background.add("patient", self.work("patient"), 0, priority=5)
        self.until(4 * AGING_STEP)
        self.assertNotIn("patient", self.done)
        self.until(8 * AGING_STEP)
        self.assertIn("patient", self.done)

    def test_missed_periods_are_skipped(self):
        job = self.background.add("tick", self.work("tick"), 0, every=SECOND)
        self.until(3 * SECOND + MS)
        self.assertEqual(len(self.done), 4)
        self.clock = 100 * SECOND + 5 * MS
        self.until(101 * SECOND + 5 * MS)
        self.assertEqual((len(self.done), job.late), (6, 1))

    def test_cancelled_jobs_do_not_run_also_when_cancelled_by_themselves(self):
        job = self.background.add("gone", self.work("gone"), 0)
        ready = self.background.add("ready", self.work("ready"), 0)
        self.background._collect(0)
        self.background.cancel(job)
        self.background.cancel(ready)
        own_job = []
        own_job.append(
            self.background.add("self", lambda: (self.done.append("self"), self.background.cancel(own_job[0])), 0, every=MS)
        )
        self.until(SECOND)
        self.assertEqual(self.done, ["self"])

    def test_failing_job_is_charged_and_others_still_run(self):
        def fails():
            self.clock += MS
            raise ValueError("raised by the test")

        self.background.add("fails", fails, 0)
        self.background.add("works", self.work("works"), 0)
        with self.assertRaises(ValueError):
            self.background.run(0)
        self.until(10 * MS)
        self.assertEqual(self.done, ["works"])

    def test_next_run_is_never_later_than_a_due_job(self):
        self.assertIsNone(self.background.next_run(0))
        self.background.add("one", self.work("one"), 5 * SECOND)
        while not self.done:
            at = self.background.next_run(self.clock)
            self.assertLessEqual(at, 5 * SECOND)
            self.clock = max(at, self.clock)
            self.background.run(self.clock)
        self.assertEqual(self.clock, 5 * SECOND + MS // 10)


if __name__ == "__main__":
    unittest.main()
