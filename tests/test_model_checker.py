"""Every order of things in a small world, walked over the desk that serves; and faults planted to be found."""

import unittest

from curlewshift.model import Outcome
from curlewshift.model_checker.session_checker import crash_points, done_again, walk
from curlewshift.model_checker.world import Breach, Budgets, World
from curlewshift.session_core.session_core import SessionCore
from curlewshift.state.setting_up import SEND, WRITE


def world(paid=True, seats=0, clients=1, **more):
    return lambda: World(Budgets(), paid, seats, clients, **more)


class Sound(unittest.TestCase):
    def test_all_orders_of_one_paid_viewing_keep_the_rules(self):
        walked = walk(world(), 4, settle_all=True)
        self.assertEqual((walked.breach, walked.course), ("", []))
        self.assertGreater(walked.states, 300)

    def test_all_orders_of_two_viewings_that_want_one_seat(self):
        for paid in (True, False):
            walked = walk(world(paid, seats=1, clients=2), 3)
            self.assertEqual((walked.breach, walked.course), ("", []))
            self.assertGreater(walked.states, 150)

    def test_a_kill_at_every_step_of_long_courses(self):
        for paid, seats in ((True, 0), (False, 1)):
            crashed = crash_points(world(paid, seats, 1 + seats), 12, 20)
            self.assertEqual((crashed.breach, crashed.course), ("", []))
            self.assertGreater(crashed.points, 250)
            self.assertGreater(crashed.taken_up, 2)

    def test_a_course_done_again_leads_to_the_same_world(self):
        make, course = world(), []
        for _ in range(12):
            here = done_again(make, course)
            self.assertEqual(here.mark(), done_again(make, course).mark())
            choices = here.choices()
            if not choices:
                break
            course.append(choices[len(course) % len(choices)])


class Planted(unittest.TestCase):
    def caught(self, make, depth, rule, settle_all=False):
        walked = walk(make, depth, settle_all)
        self.assertTrue(walked.breach.startswith(rule), walked.breach)
        # what led there leads there again
        with self.assertRaises(Breach):
            here = done_again(make, [step for step in walked.course if step != ("and all settles",)])
            here.settle()

    def test_an_intent_written_after_the_act(self):
        def after(session_core, tune_in, intents, intent):
            if not session_core.stands(tune_in):
                return Outcome.UNSENT
            yield SEND, None
            if intent is not None:
                yield WRITE, intents.began(intent)
            return None

        self.caught(world(steps=after), 4, "2: c1 is sent again")

    def test_a_paid_key_forgotten_when_its_client_hangs_up(self):
        class Forgets(SessionCore):
            def _close(self, front_session):
                if front_session.answer is None and front_session.held is not None:
                    self.keys.forget(front_session.held)
                super()._close(front_session)

        self.caught(world(session_core_class=Forgets), 4, "2: c1 is sent again")

    def test_a_failed_set_up_that_is_refused(self):
        class Refuses(SessionCore):
            def abort(self, viewing):
                self.block(viewing, 0)

        self.caught(world(session_core_class=Refuses), 3, "2: c1.0 is refused")

    def test_sessions_for_nobody_that_are_not_torn_down(self):
        class Leaves(SessionCore):
            def __init__(self, *args, **how):
                super().__init__(*args, **how)
                self.session_ends.end = lambda server, session: None

        self.caught(world(False, session_core_class=Leaves), 3, "an orphan is left", settle_all=True)

    def test_a_front_that_sends_where_it_was_told_not_to(self):
        class Deaf(SessionCore):
            def stands(self, tune_in):
                return tune_in.outcome is None

        self.caught(world(session_core_class=Deaf), 2, "3: c1 is sent to s1")

    def test_an_answer_that_is_not_given(self):
        class Silent(SessionCore):
            def _answer(self, request, answer):
                if request.name.endswith(".0"):
                    self.waiting -= 1
                    return
                super()._answer(request, answer)

        self.caught(world(False, session_core_class=Silent), 3, "1: c1.0 got no answer", settle_all=True)

    def test_a_paid_set_up_found_again_whose_seat_is_another_viewers(self):
        class Crowds(SessionCore):
            def _seat_left(self, title, pack):
                return True

        course = [
            ("its intent is kept", 0),
            ("the server runs it", 0),
            ("the front is killed",),
            ("the front starts",),
            ("a client comes again", 1),
        ]
        here = done_again(world(seats=1, clients=2, session_core_class=Crowds), course)
        with self.assertRaises(Breach) as caught:
            here.settle()
        self.assertTrue(str(caught.exception).startswith("5: 2 held"), str(caught.exception))
        done_again(world(seats=1, clients=2), course).settle()


if __name__ == "__main__":
    unittest.main()
