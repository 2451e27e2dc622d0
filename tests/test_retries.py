import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from curlewshift.client.plan import Ask, Plan, Stop
from curlewshift.model import Link, Rack, Server
from curlewshift.retries.keys import KeyTable
from curlewshift.retries.session_ends import FIRST_PAUSE, TRIED_FOR, SessionEnds
from curlewshift.schedule.wheel import Wheel
from curlewshift.session_core.server_commands import CommandQueue, Result
from curlewshift.session_core.timers import Timers

SECOND = 1_000_000_000
STEADY = settings(derandomize=True, deadline=None, max_examples=300)


class Wheels(unittest.TestCase):
    """The wheel tells what a sorted list would."""

    STEPS = st.lists(
        st.tuples(
            st.sampled_from(["add", "cancel", "pass"]),
            st.one_of(st.integers(0, 300), st.integers(0, 10**5), st.integers(0, 10**9), st.integers(0, 10**12)),
        ),
        max_size=60,
    )

    @STEADY
    @given(STEPS, st.sampled_from([1, 7, 1000]))
    def test_as_a_sorted_list_does(self, steps, tick):
        now, wheel, held = 12345, Wheel(12345, tick), []
        for number, (step, size) in enumerate(steps):
            if step == "add":
                held.append((now + size, number, wheel.add(now + size, number)))
            elif step == "cancel" and held:
                self.assertTrue(wheel.cancel(held.pop(size % len(held))[2]))
            elif step == "pass":
                soonest = wheel.next_due()
                if held:
                    self.assertLessEqual(soonest, max(now + tick, min(held)[0]) if min(held)[0] > now else soonest)
                now += size
                due = sorted(entry[:2] for entry in held if entry[0] <= now)
                self.assertEqual(wheel.due(now), [number for _, number in due])
                held = [entry for entry in held if entry[0] > now]
            self.assertEqual(len(wheel), len(held))

    def test_nothing_comes_twice_and_nothing_that_was_taken_back(self):
        wheel = Wheel(0, 10)
        entry = wheel.add(55, "a")
        self.assertEqual((wheel.due(54), wheel.due(55), wheel.due(10**9)), ([], ["a"], []))
        self.assertFalse(wheel.cancel(entry))


class Keys(unittest.TestCase):
    def test_a_key_in_work_outlives_any_time_and_an_ended_one_its_time_alone(self):
        table = KeyTable(0)
        held = table.hold("k", "m", "c")
        self.assertIs(table.find("k", 10**15), held)
        table.ended(held, 10**15 + SECOND)
        self.assertIs(table.find("k", 10**15 + SECOND - 1), held)
        self.assertIsNone(table.find("k", 10**15 + SECOND))
        self.assertEqual((len(table), table.ended_count), (0, 0))

    def test_the_ended_are_bounded_and_those_due_first_go_first(self):
        table = KeyTable(0, most_ended=100)
        for number in range(1000):
            table.ended(table.hold(str(number), "m", None), (number + 1) * SECOND)
        self.assertLessEqual(len(table), 100)
        self.assertIsNotNone(table.find("999", 1))

    def test_ended_keys_leave_with_their_span_and_one_used_anew_stays(self):
        table = KeyTable(0)
        for number in range(100):
            table.ended(table.hold(str(number), "m", None), SECOND + number)
        self.assertIsNone(table.find("7", SECOND + 50))
        mine = table.hold("7", "m", None)
        self.assertIsNone(table.find("none", 3 * SECOND))
        self.assertEqual((table.held, table.ended_count, table.buckets), ({"7": mine}, 0, {}))

    def test_a_key_forgotten_is_free_and_the_old_holder_does_not_touch_the_new(self):
        table = KeyTable(0)
        old = table.hold("k", "m", "c")
        table.forget(old)
        new = table.hold("k", "n", "d")
        table.ended(old, SECOND)
        table.forget(old)
        self.assertIs(table.find("k", 5 * SECOND), new)


class Ends(unittest.TestCase):
    """Sessions to be ended at servers that may not answer."""

    def setUp(self):
        self.clock, self.sent = 0, []
        self.timers = Timers(lambda at: None)
        self.session_ends = SessionEnds(lambda: self.clock, self.sent.append, self.timers.at)
        self.server = Server("s", 1, "z", 10, Rack(0, Link(1.0)), Link(1.0))

    def later(self, span):
        self.clock += span
        self.timers.run(self.clock)

    def test_few_are_out_at_once_and_all_are_heard(self):
        for number in range(10):
            self.session_ends.end(self.server, number)
        self.assertEqual(len(self.sent), 4)
        while self.sent:
            self.session_ends.answered(self.sent.pop(0))
        self.assertEqual((self.session_ends.done, len(self.session_ends)), (10, 0))

    def test_an_ending_that_is_never_answered_holds_up_none_behind_it(self):
        for number in range(9):
            self.session_ends.end(self.server, number)
        for session_end in self.sent[:]:
            self.session_ends.unanswered(session_end)
        # the server is back, and one of them fails for good
        fails, done = self.sent[-1], set()
        del self.sent[:]
        for _ in range(32):
            self.later(FIRST_PAUSE)
            while self.sent:
                session_end = self.sent.pop()
                if session_end is fails:
                    self.session_ends.unanswered(session_end)
                else:
                    done.add(session_end.session)
                    self.session_ends.answered(session_end)
        self.assertEqual(len(done), 8)

    def test_a_silent_server_is_asked_for_one_at_a_time_and_ever_less_often(self):
        for number in range(6):
            self.session_ends.end(self.server, number)
        for session_end in self.sent[:]:
            self.session_ends.unanswered(session_end)
        tries = []
        for _ in range(200):
            self.later(FIRST_PAUSE // 5)
            new, self.sent = self.sent[4:] if not tries else self.sent, []
            tries.append(len(new))
            for session_end in new:
                self.session_ends.unanswered(session_end)
        self.assertLessEqual(max(tries), 1)
        self.assertLess(sum(tries), 10)

    def test_one_that_answers_again_is_told_of_all_that_waits(self):
        for number in range(6):
            self.session_ends.end(self.server, number)
        for session_end in self.sent[:4]:
            self.session_ends.unanswered(session_end)
        del self.sent[:]
        for _ in range(100):
            self.later(FIRST_PAUSE)
            while self.sent:
                self.session_ends.answered(self.sent.pop())
        self.assertEqual((self.session_ends.done, self.session_ends.given_up), (6, 0))

    def test_it_is_given_up_when_servers_will_have_ended_it_themselves(self):
        self.session_ends.end(self.server, 1)
        for _ in range(int(TRIED_FOR / FIRST_PAUSE) + 20):
            if self.sent:
                self.session_ends.unanswered(self.sent.pop())
            self.later(FIRST_PAUSE)
        self.assertEqual((self.session_ends.given_up, len(self.session_ends)), (1, 0))

    def test_a_restart_ends_all_and_late_news_of_the_old_life_is_nothing(self):
        for number in range(6):
            self.session_ends.end(self.server, number)
        self.session_ends.server_gone(self.server)
        self.assertEqual(len(self.session_ends), 0)
        self.session_ends.unanswered(self.sent[0])
        self.later(SECOND)
        self.assertEqual((len(self.sent), len(self.session_ends)), (4, 0))


class ServerCommand(unittest.TestCase):
    def setUp(self):
        self.sent, self.told = [], []
        self.commands = CommandQueue(self.sent.append)

    def patch(self, what):
        return self.commands.patch("course", what, lambda command: self.told.append((command.patch, command.result)))

    def test_one_at_a_time_in_order_and_a_newer_rung_in_the_place_of_the_older(self):
        self.patch("a")
        self.commands.rung("course", 3)
        self.patch("b")
        self.commands.rung("course", 1)
        order = []
        while len(order) < len(self.sent):
            command = self.sent[len(order)]
            order.append(command.patch or command.rung)
            self.commands.answered(command, Result.DONE)
        self.assertEqual(order, ["a", 1, "b"])

    def test_a_rung_that_nobody_answered_is_told_once_more_unless_a_newer_one_waits(self):
        self.commands.rung("course", 2)
        self.commands.answered(self.sent[0], Result.UNANSWERED)
        self.commands.rung("course", 1)
        self.commands.answered(self.sent[1], Result.UNANSWERED)
        self.assertEqual([command.rung for command in self.sent], [2, 2, 1])
        self.commands.answered(self.sent[2], Result.UNANSWERED)
        self.commands.answered(self.sent[3], Result.UNANSWERED)
        self.assertEqual(len(self.sent), 4)

    def test_a_patch_is_never_sent_twice(self):
        self.patch("a")
        self.commands.answered(self.sent[0], Result.UNANSWERED)
        self.commands.answered(self.sent[0], Result.DONE)
        self.assertEqual((len(self.sent), self.told), (1, [("a", Result.UNANSWERED)]))

    def test_the_end_of_a_viewing_answers_all_that_waits_and_lets_what_is_out_come_back(self):
        self.patch("a")
        self.patch("b")
        self.commands.rung("course", 1)
        self.commands.finish()
        self.patch("c")
        self.commands.answered(self.sent[0], Result.DONE)
        self.assertEqual(self.told, [("b", Result.OVER), ("c", Result.OVER), ("a", Result.DONE)])
        self.assertEqual(len(self.sent), 1)

    def test_too_many_are_told_to_wait(self):
        for number in range(40):
            self.patch(str(number))
        self.assertEqual(sum(result is Result.CROWDED for _, result in self.told), 23)


class Plans(unittest.TestCase):
    """What a caller does next."""

    def plan(self, twice=False):
        return Plan(["a", "b"], 0, 5 * SECOND, twice, Random(1))

    def test_what_may_have_run_is_asked_for_at_the_same_front_alone(self):
        self.assertEqual(self.plan().broke("reset", 0).front, "a")
        self.assertEqual(self.plan(twice=True).broke("reset", 0).front, "b")

    def test_what_never_ran_may_go_elsewhere_but_no_sooner_than_advised(self):
        step = self.plan().refused("full", SECOND, 0)
        self.assertEqual(step.front, "b")
        self.assertGreaterEqual(step.wait, SECOND)
        self.assertEqual(self.plan().unreached("refused", 0).front, "b")

    def test_advice_past_patience_is_handed_on(self):
        self.assertEqual(self.plan().refused("full", 6 * SECOND, 0), Stop("refused", "full", 6 * SECOND))

    def test_no_try_begins_after_patience_and_pauses_grow(self):
        plan, now, waits = self.plan(), 0, []
        while isinstance(step := plan.broke("reset", now), Ask):
            waits.append(step.wait)
            now += step.wait
        self.assertLess(now, 5 * SECOND)
        self.assertGreater(waits[-1], 4 * waits[0])
        self.assertLess(len(waits), 12)

    def test_a_ring_of_redirects_ends(self):
        plan, steps = self.plan(), 0
        while isinstance(plan.redirected("http://c", 0), Ask):
            steps += 1
        self.assertEqual(steps, 4)
        self.assertIsInstance(self.plan().redirected(None, 0), Stop)
        self.assertIsInstance(self.plan().failed("502"), Stop)


if __name__ == "__main__":
    unittest.main()
