"""Retries: the timing wheel, idempotency keys, session ends, server commands and the client's plan."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from curlewshift.client.plan import Ask, Plan, Stop
from curlewshift.model import Link, Rack, Server
from curlewshift.retries.keys import KeyTable
from curlewshift.retries.session_ends import GIVE_UP_AFTER, INITIAL_BACKOFF, SessionEnds
from curlewshift.schedule.wheel import Wheel
from curlewshift.session_core.server_commands import CommandQueue, Result
from curlewshift.session_core.timers import Timers

SECOND = 1_000_000_000
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=300)


class TimingWheel(unittest.TestCase):
    """The timing wheel returns the same items as a sorted list would."""

    STEPS = st.lists(
        st.tuples(
            st.sampled_from(["add", "cancel", "pass"]),
            st.one_of(st.integers(0, 300), st.integers(0, 10**5), st.integers(0, 10**9), st.integers(0, 10**12)),
        ),
        max_size=60,
    )

    @DETERMINISTIC
    @given(STEPS, st.sampled_from([1, 7, 1000]))
    def test_behaves_like_a_sorted_list(self, steps, tick):
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

    def test_items_are_returned_once_and_not_after_cancelling(self):
        wheel = Wheel(0, 10)
        entry = wheel.add(55, "a")
        self.assertEqual((wheel.due(54), wheel.due(55), wheel.due(10**9)), ([], ["a"], []))
        self.assertFalse(wheel.cancel(entry))


class IdempotencyKeys(unittest.TestCase):
    def test_key_in_progress_never_expires_and_an_ended_one_at_its_time(self):
        table = KeyTable(0)
        held = table.add("k", "m", "c")
        self.assertIs(table.find("k", 10**15), held)
        table.ended(held, 10**15 + SECOND)
        self.assertIs(table.find("k", 10**15 + SECOND - 1), held)
        self.assertIsNone(table.find("k", 10**15 + SECOND))
        self.assertEqual((len(table), table.ended_count), (0, 0))

    def test_ended_keys_are_bounded_and_the_first_to_expire_are_dropped(self):
        table = KeyTable(0, most_ended=100)
        for number in range(1000):
            table.ended(table.add(str(number), "m", None), (number + 1) * SECOND)
        self.assertLessEqual(len(table), 100)
        self.assertIsNotNone(table.find("999", 1))

    def test_ended_keys_expire_with_their_span_and_a_reused_key_stays(self):
        table = KeyTable(0)
        for number in range(100):
            table.ended(table.add(str(number), "m", None), SECOND + number)
        self.assertIsNone(table.find("7", SECOND + 50))
        reused = table.add("7", "m", None)
        self.assertIsNone(table.find("none", 3 * SECOND))
        self.assertEqual((table.entries, table.ended_count, table.buckets), ({"7": reused}, 0, {}))

    def test_forgotten_key_is_free_and_the_old_entry_does_not_affect_the_new_one(self):
        table = KeyTable(0)
        old = table.add("k", "m", "c")
        table.forget(old)
        new = table.add("k", "n", "d")
        table.ended(old, SECOND)
        table.forget(old)
        self.assertIs(table.find("k", 5 * SECOND), new)


class SessionEndRetries(unittest.TestCase):
    """Ends of sessions at media servers that may not answer."""

    def setUp(self):
        self.clock, self.sent = 0, []
        self.timers = Timers(lambda at: None)
        self.session_ends = SessionEnds(lambda: self.clock, self.sent.append, self.timers.at)
        self.server = Server("s", 1, "z", 10, Rack(0, Link(1.0)), Link(1.0))

    def later(self, span):
        self.clock += span
        self.timers.run(self.clock)

    def test_few_are_in_flight_and_all_are_confirmed(self):
        for number in range(10):
            self.session_ends.end(self.server, number)
        self.assertEqual(len(self.sent), 4)
        while self.sent:
            self.session_ends.answered(self.sent.pop(0))
        self.assertEqual((self.session_ends.done, len(self.session_ends)), (10, 0))

    def test_unanswered_session_end_does_not_delay_the_others(self):
        for number in range(9):
            self.session_ends.end(self.server, number)
        for session_end in self.sent[:]:
            self.session_ends.unanswered(session_end)
        # the server answers again, except for one session end
        never_answered, done = self.sent[-1], set()
        del self.sent[:]
        for _ in range(32):
            self.later(INITIAL_BACKOFF)
            while self.sent:
                session_end = self.sent.pop()
                if session_end is never_answered:
                    self.session_ends.unanswered(session_end)
                else:
                    done.add(session_end.session)
                    self.session_ends.answered(session_end)
        self.assertEqual(len(done), 8)

    def test_silent_server_gets_one_request_at_a_time_with_growing_pauses(self):
        for number in range(6):
            self.session_ends.end(self.server, number)
        for session_end in self.sent[:]:
            self.session_ends.unanswered(session_end)
        tries = []
        for _ in range(200):
            self.later(INITIAL_BACKOFF // 5)
            new, self.sent = self.sent[4:] if not tries else self.sent, []
            tries.append(len(new))
            for session_end in new:
                self.session_ends.unanswered(session_end)
        self.assertLessEqual(max(tries), 1)
        self.assertLess(sum(tries), 10)

    def test_server_that_answers_again_gets_all_waiting_session_ends(self):
        for number in range(6):
            self.session_ends.end(self.server, number)
        for session_end in self.sent[:4]:
            self.session_ends.unanswered(session_end)
        del self.sent[:]
        for _ in range(100):
            self.later(INITIAL_BACKOFF)
            while self.sent:
                self.session_ends.answered(self.sent.pop())
        self.assertEqual((self.session_ends.done, self.session_ends.given_up), (6, 0))

    def test_session_end_is_given_up_after_the_time_limit(self):
        self.session_ends.end(self.server, 1)
        for _ in range(int(GIVE_UP_AFTER / INITIAL_BACKOFF) + 20):
            if self.sent:
                self.session_ends.unanswered(self.sent.pop())
            self.later(INITIAL_BACKOFF)
        self.assertEqual((self.session_ends.given_up, len(self.session_ends)), (1, 0))

    def test_server_restart_clears_all_and_late_answers_are_ignored(self):
        for number in range(6):
            self.session_ends.end(self.server, number)
        self.session_ends.server_gone(self.server)
        self.assertEqual(len(self.session_ends), 0)
        self.session_ends.unanswered(self.sent[0])
        self.later(SECOND)
        self.assertEqual((len(self.sent), len(self.session_ends)), (4, 0))


class ServerCommands(unittest.TestCase):
    def setUp(self):
        self.sent, self.results = [], []
        self.commands = CommandQueue(self.sent.append)

    def patch(self, what):
        return self.commands.patch("course", what, lambda command: self.results.append((command.patch, command.result)))

    def test_commands_are_sent_in_order_and_a_newer_rung_replaces_a_waiting_one(self):
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

    def test_unanswered_rung_is_repeated_once_unless_a_newer_one_waits(self):
        self.commands.rung("course", 2)
        self.commands.answered(self.sent[0], Result.UNANSWERED)
        self.commands.rung("course", 1)
        self.commands.answered(self.sent[1], Result.UNANSWERED)
        self.assertEqual([command.rung for command in self.sent], [2, 2, 1])
        self.commands.answered(self.sent[2], Result.UNANSWERED)
        self.commands.answered(self.sent[3], Result.UNANSWERED)
        self.assertEqual(len(self.sent), 4)

    def test_patch_is_never_sent_twice(self):
        self.patch("a")
        self.commands.answered(self.sent[0], Result.UNANSWERED)
        self.commands.answered(self.sent[0], Result.DONE)
        self.assertEqual((len(self.sent), self.results), (1, [("a", Result.UNANSWERED)]))

    def test_finish_answers_waiting_commands_and_awaits_the_one_in_flight(self):
        self.patch("a")
        self.patch("b")
        self.commands.rung("course", 1)
        self.commands.finish()
        self.patch("c")
        self.commands.answered(self.sent[0], Result.DONE)
        self.assertEqual(self.results, [("b", Result.ENDED), ("c", Result.ENDED), ("a", Result.DONE)])
        self.assertEqual(len(self.sent), 1)

    def test_commands_beyond_the_limit_are_refused(self):
        for number in range(40):
            self.patch(str(number))
        self.assertEqual(sum(result is Result.QUEUE_FULL for _, result in self.results), 23)


class ClientPlan(unittest.TestCase):
    """What a client does after an answer or an error."""

    def plan(self, twice=False):
        return Plan(["a", "b"], 0, 5 * SECOND, twice, Random(1))

    def test_request_that_may_have_run_is_retried_only_at_the_same_front(self):
        self.assertEqual(self.plan().broke("reset", 0).front, "a")
        self.assertEqual(self.plan(twice=True).broke("reset", 0).front, "b")

    def test_request_that_never_ran_may_go_to_another_front_after_retry_after(self):
        step = self.plan().refused("full", SECOND, 0)
        self.assertEqual(step.front, "b")
        self.assertGreaterEqual(step.wait, SECOND)
        self.assertEqual(self.plan().unreached("refused", 0).front, "b")

    def test_retry_after_beyond_patience_stops_the_plan(self):
        self.assertEqual(self.plan().refused("full", 6 * SECOND, 0), Stop("refused", "full", 6 * SECOND))

    def test_no_retry_after_patience_and_pauses_grow(self):
        plan, now, waits = self.plan(), 0, []
        while isinstance(step := plan.broke("reset", now), Ask):
            waits.append(step.wait)
            now += step.wait
        self.assertLess(now, 5 * SECOND)
        self.assertGreater(waits[-1], 4 * waits[0])
        self.assertLess(len(waits), 12)

    def test_redirect_loop_ends(self):
        plan, steps = self.plan(), 0
        while isinstance(plan.redirected("http://c", 0), Ask):
            steps += 1
        self.assertEqual(steps, 4)
        self.assertIsInstance(self.plan().redirected(None, 0), Stop)
        self.assertIsInstance(self.plan().failed("502"), Stop)


if __name__ == "__main__":
    unittest.main()
