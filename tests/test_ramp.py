"""What all fronts together send to a server that is cold, or not proven warm, counted over every window: no front knows of
another.

Each front is the program's own rules with a clock of its own; the count is made here, from when each set-up was sent by the
world's time. All ask without pause for one title that one server holds: no crowd is worse.
"""

import random
import unittest
from math import sqrt

from curlewshift.rules import MOST_TURNS
from tests.fake import MS, SECOND, Story

WARM, WINDOW, STEP = 12 * SECOND, 2 * SECOND, 40 * MS
# Clocks of processes on one platform agree to a small part of a window.
APART = WINDOW // 20


class Crowd:
    """`fronts` of them and one server with a pace of `budget` set-ups in a window, cold by the list if `told` is given, else
    not proven warm; `told(random)` is how late each front hears of its start."""

    def __init__(self, fronts, budget, seed=1, told=None, restarts=0.0):
        self.random, self.fronts, self.budget, self.told, self.restarts = random.Random(seed), fronts, budget, told, restarts
        self.origin = 1000 * SECOND
        self.now = self.origin
        self.apart = [self.random.randint(-APART, APART) for _ in range(fronts)]
        self.mark = self.random.getrandbits(64)
        self.sent = []
        self.stories = [self.front(me) for me in range(fronts)]

    def front(self, me):
        """One that starts now and remembers nothing."""
        streams = 120
        story = Story(
            count=1,
            warm=False,
            me=me,
            fronts=self.fronts,
            seed=self.random.random(),
            size=1e9,
            warm_within=WARM,
            fall_within=WINDOW,
            fall_multiple=1.0,
            start_capacity=self.budget * WARM / WINDOW / streams,
        )
        # its clock and the server's start come from the world
        story.host.clock = self.now + self.apart[me]
        story.rules.born = story.rules.unproven_at = story.host.clock
        server = story.servers[0]
        server.mark, server.streams = self.mark, streams
        server.unproven_until = story.host.clock + WARM
        story.rules.unproven_pace = streams * story.rules.pace / self.fronts
        story.started = self.now
        if self.told is not None:
            server.unproven_until = 0
            story.hears_at = max(self.now, self.origin + self.told(self.random))
            story.list(server, started=self.origin)
        return story

    def play(self, lasts=WARM - WINDOW // 4):
        while self.now < self.origin + lasts:
            self.now += STEP
            order = list(range(self.fronts))
            self.random.shuffle(order)
            for me in order:
                # nobody is killed and up again twice within a window
                rested = self.now - self.stories[me].started > WINDOW
                if rested and self.random.random() < self.restarts * STEP / SECOND:
                    self.stories[me] = self.front(me)
                story = self.stories[me]
                story.host.clock = self.now + self.apart[me] + self.random.randint(0, STEP - 1)
                if self.told is not None and self.now < story.hears_at:
                    continue
                # its set-ups are answered at once, so that nothing but the pace holds it back
                while (viewing := story.want(ceiling=0)).server is not None:
                    self.sent.append(story.host.clock - self.apart[me])
                    story.rules.begun(viewing)
        return self

    def most(self):
        """In any window."""
        sent, most, first = sorted(self.sent), 0, 0
        for last, at in enumerate(sent):
            while at - sent[first] >= WINDOW:
                first += 1
            most = max(most, last - first + 1)
        return most


def bound(budget):
    """What the settings allow, and what beyond it is put down to chance."""
    return budget + 2 * sqrt(budget) + 2


FRONTS, BUDGETS = (1, 2, 20, 30, 200), (0.7, 1.0, 1.9, 4.5, 9.9, 33.6, 67.2)


class Ramp(unittest.TestCase):
    def check(self, most, fronts, budget, **how):
        for seed in (1, 2) if fronts < 30 else (1,):
            crowd = Crowd(fronts, budget, seed=seed, **how).play()
            self.assertLessEqual(crowd.most(), most, (fronts, budget, how, seed))
            # a pace of one set-up and more is used, or the bound would say nothing
            if budget >= 1:
                self.assertTrue(crowd.sent, (fronts, budget, how, seed))

    def test_of_a_server_told_cold_the_sum_of_all_fronts_is_its_pace_in_every_window(self):
        for fronts in FRONTS:
            for budget in BUDGETS:
                self.check(budget + 1e-9, fronts, budget, told=lambda rng: 0)

    def test_told_at_different_times_too(self):
        for fronts in FRONTS:
            self.check(4.5, fronts, 4.5, told=lambda rng: rng.randrange(4 * SECOND))

    def test_fronts_that_restart_and_forget_what_they_sent_add_no_more_than_chance_does(self):
        for fronts in FRONTS:
            for budget in BUDGETS:
                self.check(bound(budget), fronts, budget, told=lambda rng: 0, restarts=0.1)

    def test_of_a_server_not_proven_warm_the_sum_stays_within_chance_though_half_restart(self):
        for fronts in FRONTS:
            for budget in BUDGETS:
                if budget * MOST_TURNS >= fronts:
                    self.check(bound(budget), fronts, budget, restarts=0.04)

    def test_where_turns_are_too_many_for_that_it_is_one_more_from_each_front_at_the_worst(self):
        for fronts, budget in ((20, 1.9), (30, 1.9), (200, 1.9), (200, 9.9)):
            self.assertLess(budget * MOST_TURNS, fronts)
            self.check(bound(budget) + fronts, fronts, budget)

    def test_a_crowd_that_passes_it_would_be_seen(self):
        crowd = Crowd(30, 4.5)
        for story in crowd.stories:
            story.rules._own_part_left = lambda server, now: len(server.sent) < 1
        self.assertGreater(crowd.play(4 * SECOND).most(), bound(4.5))


if __name__ == "__main__":
    unittest.main()
