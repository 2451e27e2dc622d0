"""Counts what all fronts together send to a cold or unproven server in every window, without communication between them.

Each front runs the program's rules with a clock of its own; set-ups are counted here by simulated time. All fronts request
without pause one title that one server holds, which is the worst case.
"""

import random
import unittest
from math import sqrt

from curlewshift.rules import MAX_TURNS
from tests.fake import MS, SECOND, RulesFixture

WARM, WINDOW, STEP = 12 * SECOND, 2 * SECOND, 40 * MS
# Clocks of processes on one platform agree to a small part of a window.
MAX_CLOCK_OFFSET = WINDOW // 20


class Crowd:
    """`fronts` fronts and one server with a pace of `budget` set-ups in a window. The server is cold by the list if
    `list_delay` is given, else not proven warm; `list_delay(random)` is how late each front learns of its start (ns)."""

    def __init__(self, fronts, budget, seed=1, list_delay=None, restarts=0.0):
        self.random, self.fronts, self.budget, self.list_delay, self.restarts = (
            random.Random(seed),
            fronts,
            budget,
            list_delay,
            restarts,
        )
        self.origin = 1000 * SECOND
        self.now = self.origin
        self.clock_offsets = [self.random.randint(-MAX_CLOCK_OFFSET, MAX_CLOCK_OFFSET) for _ in range(fronts)]
        self.placement_hash = self.random.getrandbits(64)
        self.sent = []
        self.fixtures = [self.front(index) for index in range(fronts)]

    def front(self, index):
        """A front that starts now, without memory of an earlier life (run of its process)."""
        streams = 120
        fixture = RulesFixture(
            count=1,
            warm=False,
            me=index,
            fronts=self.fronts,
            seed=self.random.random(),
            size=1e9,
            warm_within=WARM,
            fall_within=WINDOW,
            fall_multiple=1.0,
            start_capacity=self.budget * WARM / WINDOW / streams,
        )
        # the simulation sets its clock and the server's start
        fixture.host.clock = self.now + self.clock_offsets[index]
        fixture.rules.started_at = fixture.rules.unproven_at = fixture.host.clock
        server = fixture.servers[0]
        server.placement_hash, server.streams = self.placement_hash, streams
        server.unproven_until = fixture.host.clock + WARM
        fixture.rules.unproven_pace = streams * fixture.rules.pace / self.fronts
        fixture.started = self.now
        if self.list_delay is not None:
            server.unproven_until = 0
            fixture.list_received_at = max(self.now, self.origin + self.list_delay(self.random))
            fixture.list(server, started=self.origin)
        return fixture

    def play(self, duration=WARM - WINDOW // 4):
        while self.now < self.origin + duration:
            self.now += STEP
            order = list(range(self.fronts))
            self.random.shuffle(order)
            for index in order:
                # no front restarts twice within a window
                rested = self.now - self.fixtures[index].started > WINDOW
                if rested and self.random.random() < self.restarts * STEP / SECOND:
                    self.fixtures[index] = self.front(index)
                fixture = self.fixtures[index]
                fixture.host.clock = self.now + self.clock_offsets[index] + self.random.randint(0, STEP - 1)
                if self.list_delay is not None and self.now < fixture.list_received_at:
                    continue
                # its set-ups are answered at once, so that only the pace limits it
                while (viewing := fixture.want(ceiling=0)).server is not None:
                    self.sent.append(fixture.host.clock - self.clock_offsets[index])
                    fixture.rules.begun(viewing)
        return self

    def max_in_window(self):
        """The most set-ups in any window."""
        sent, largest, first = sorted(self.sent), 0, 0
        for last, at in enumerate(sent):
            while at - sent[first] >= WINDOW:
                first += 1
            largest = max(largest, last - first + 1)
        return largest


def bound(budget):
    """The budget that the settings allow, and the excess over it that random variation explains."""
    return budget + 2 * sqrt(budget) + 2


FRONTS, BUDGETS = (1, 2, 20, 30, 200), (0.7, 1.0, 1.9, 4.5, 9.9, 33.6, 67.2)


class Ramp(unittest.TestCase):
    def check(self, largest, fronts, budget, **options):
        for seed in (1, 2) if fronts < 30 else (1,):
            crowd = Crowd(fronts, budget, seed=seed, **options).play()
            self.assertLessEqual(crowd.max_in_window(), largest, (fronts, budget, options, seed))
            # a pace of at least one set-up must be used, or the bound would show nothing
            if budget >= 1:
                self.assertTrue(crowd.sent, (fronts, budget, options, seed))

    def test_all_fronts_together_keep_to_the_pace_of_a_listed_cold_server_in_every_window(self):
        for fronts in FRONTS:
            for budget in BUDGETS:
                self.check(budget + 1e-9, fronts, budget, list_delay=lambda rng: 0)

    def test_the_pace_is_kept_when_fronts_learn_of_the_start_at_different_times(self):
        for fronts in FRONTS:
            self.check(4.5, fronts, 4.5, list_delay=lambda rng: rng.randrange(4 * SECOND))

    def test_fronts_that_restart_without_memory_exceed_the_pace_by_no_more_than_random_variation(self):
        for fronts in FRONTS:
            for budget in BUDGETS:
                self.check(bound(budget), fronts, budget, list_delay=lambda rng: 0, restarts=0.1)

    def test_the_pace_of_an_unproven_server_is_kept_within_random_variation_though_half_the_fronts_restart(self):
        for fronts in FRONTS:
            for budget in BUDGETS:
                if budget * MAX_TURNS >= fronts:
                    self.check(bound(budget), fronts, budget, restarts=0.04)

    def test_with_too_many_turns_the_excess_is_at_most_one_set_up_from_each_front(self):
        for fronts, budget in ((20, 1.9), (30, 1.9), (200, 1.9), (200, 9.9)):
            self.assertLess(budget * MAX_TURNS, fronts)
            self.check(bound(budget) + fronts, fronts, budget)

    def test_a_crowd_that_exceeds_the_pace_is_detected(self):
        crowd = Crowd(30, 4.5)
        for fixture in crowd.fixtures:
            fixture.rules._own_share_left = lambda server, now: len(server.sent) < 1
        self.assertGreater(crowd.play(4 * SECOND).max_in_window(), bound(4.5))


if __name__ == "__main__":
    unittest.main()
