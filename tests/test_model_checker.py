"""The model checker finds no violation in the program's session core, and finds each planted fault."""

import unittest

from curlewshift.model import Outcome
from curlewshift.model_checker.session_checker import crash_points, replay_trace, walk
from curlewshift.model_checker.world import Budgets, RuleViolated, World
from curlewshift.session_core.session_core import SessionCore
from curlewshift.state.setting_up import SEND, WRITE


def world(paid=True, seats=0, clients=1, **options):
    return lambda: World(Budgets(), paid, seats, clients, **options)


class NoViolations(unittest.TestCase):
    def test_all_orders_of_one_paid_viewing_keep_the_rules(self):
        result = walk(world(), 4, settle_all=True)
        self.assertEqual((result.breach, result.course), ("", []))
        self.assertGreater(result.states, 300)

    def test_all_orders_of_two_viewings_that_want_one_seat(self):
        for paid in (True, False):
            result = walk(world(paid, seats=1, clients=2), 3)
            self.assertEqual((result.breach, result.course), ("", []))
            self.assertGreater(result.states, 150)

    def test_a_kill_at_every_step_of_long_traces(self):
        for paid, seats in ((True, 0), (False, 1)):
            result = crash_points(world(paid, seats, 1 + seats), 12, 20)
            self.assertEqual((result.breach, result.course), ("", []))
            self.assertGreater(result.points, 250)
            self.assertGreater(result.taken_up, 2)

    def test_a_replayed_trace_leads_to_the_same_state(self):
        make, trace = world(), []
        for _ in range(12):
            model = replay_trace(make, trace)
            self.assertEqual(model.state_key(), replay_trace(make, trace).state_key())
            choices = model.choices()
            if not choices:
                break
            trace.append(choices[len(trace) % len(choices)])


class PlantedFaults(unittest.TestCase):
    def assert_found(self, make, depth, rule, settle_all=False):
        result = walk(make, depth, settle_all)
        self.assertTrue(result.breach.startswith(rule), result.breach)
        # the reported trace reproduces the violation
        with self.assertRaises(RuleViolated):
            model = replay_trace(make, [step for step in result.course if step != ("and all settles",)])
            model.settle()

    def test_an_intent_written_after_the_act(self):
        def write_after_send(session_core, tune_in, intents, intent):
            if not session_core.stands(tune_in):
                return Outcome.UNSENT
            yield SEND, None
            if intent is not None:
                yield WRITE, intents.began(intent)
            return None

        self.assert_found(world(steps=write_after_send), 4, "2: c1 is sent again")

    def test_a_paid_key_forgotten_when_its_client_hangs_up(self):
        class ForgettingKeys(SessionCore):
            def _close(self, front_session):
                if front_session.answer is None and front_session.held is not None:
                    self.keys.forget(front_session.held)
                super()._close(front_session)

        self.assert_found(world(session_core_class=ForgettingKeys), 4, "2: c1 is sent again")

    def test_a_failed_set_up_that_is_refused(self):
        class RefusingAfterFailure(SessionCore):
            def abort(self, viewing):
                self.block(viewing, 0)

        self.assert_found(world(session_core_class=RefusingAfterFailure), 3, "2: c1.0 is refused")

    def test_orphaned_sessions_that_are_not_torn_down(self):
        class LeavingOrphans(SessionCore):
            def __init__(self, *args, **kwargs):
                super().__init__(*args, **kwargs)
                self.session_ends.end = lambda server, session: None

        self.assert_found(world(False, session_core_class=LeavingOrphans), 3, "an orphan is left", settle_all=True)

    def test_a_tune_in_sent_to_a_draining_server(self):
        class IgnoringServerState(SessionCore):
            def stands(self, tune_in):
                return tune_in.outcome is None

        self.assert_found(world(session_core_class=IgnoringServerState), 2, "3: c1 is sent to s1")

    def test_an_answer_that_is_not_given(self):
        class NotAnswering(SessionCore):
            def _answer(self, request, answer):
                if request.name.endswith(".0"):
                    self.waiting -= 1
                    return
                super()._answer(request, answer)

        self.assert_found(world(False, session_core_class=NotAnswering), 3, "1: c1.0 got no answer", settle_all=True)

    def test_a_recovered_paid_set_up_whose_seat_another_viewer_has(self):
        class IgnoringSeats(SessionCore):
            def _seat_left(self, title, pack):
                return True

        trace = [
            ("its intent is kept", 0),
            ("the server runs it", 0),
            ("the front is killed",),
            ("the front starts",),
            ("a client comes again", 1),
        ]
        model = replay_trace(world(seats=1, clients=2, session_core_class=IgnoringSeats), trace)
        with self.assertRaises(RuleViolated) as caught:
            model.settle()
        self.assertTrue(str(caught.exception).startswith("5: 2 held"), str(caught.exception))
        replay_trace(world(seats=1, clients=2), trace).settle()


if __name__ == "__main__":
    unittest.main()
