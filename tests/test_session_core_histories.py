"""Random histories of a front: whatever comes in whatever order, the six rules hold after each step."""

import traceback
import unittest
from collections import defaultdict

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule, run_state_machine_as_test

from curlewshift.model import Outcome
from curlewshift.session_core.server_commands import Result
from curlewshift.session_core.session_core import KeyReused
from tests.fake import MS, SECOND
from tests.fake_driver import FakeDriver

FAILED = [Outcome.ERROR, Outcome.FULL, Outcome.SILENT, Outcome.UNREACHED, Outcome.BROKEN, Outcome.UNSENT]


class History(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.outside = FakeDriver()
        self.desk = self.outside.desk
        self.requests = []
        self.patches, self.patched = 0, []

    # ---- what can happen

    @rule(
        pack=st.sampled_from(["clip", "paid", "lesson"]),
        title=st.sampled_from(["t1", "t2", "t3"]),
        key=st.sampled_from([None, None, "k1", "k2", "k3"]),
        offer=st.sampled_from(["o1", "o1", "o1", "o2"]),
    )
    def asked(self, pack, title, key, offer):
        try:
            self.requests.append(self.outside.ask(pack, title, key, offer))
        except KeyReused:
            pass

    @rule(pack=st.sampled_from(["clip", "paid", "lesson"]), title=st.sampled_from(["t1", "t2", "t3"]), count=st.integers(2, 6))
    def a_crowd_asks(self, pack, title, count):
        self.requests += [self.outside.ask(pack, title) for _ in range(count)]

    @precondition(lambda self: self.outside.out)
    @rule(which=st.integers(0, 50), outcome=st.sampled_from(FAILED + [Outcome.PLAYED] * 6))
    def a_tune_in_ends(self, which, outcome):
        self.outside.ends(self.outside.out[which % len(self.outside.out)], outcome)

    @precondition(lambda self: self.outside.done)
    @rule(which=st.integers(0, 50), outcome=st.sampled_from([Outcome.PLAYED, Outcome.BROKEN]))
    def something_is_said_late_or_twice(self, which, outcome):
        tune_in = self.outside.done[-1 - which % len(self.outside.done)]
        torn, playing = len(self.outside.torn), len(self.desk.courses)
        self.outside.ends(tune_in, outcome, session := object())
        assert len(self.desk.courses) == playing
        assert outcome is not Outcome.PLAYED or session in self.to_be_ended() + self.outside.torn[torn:]

    def to_be_ended(self):
        return [ending.session for here in self.desk.endings.servers.values() for ending in here.waiting]

    @precondition(lambda self: self.outside.ending)
    @rule(which=st.integers(0, 50), answered=st.booleans())
    def an_ending_is_answered_or_not(self, which, answered):
        ending = self.outside.ending.pop(which % len(self.outside.ending))
        self.desk.session_ended(ending, answered)

    @precondition(lambda self: self.outside.errands)
    @rule(which=st.integers(0, 50), result=st.sampled_from([Result.DONE, Result.REFUSED, Result.UNANSWERED]))
    def an_errand_is_answered_or_not(self, which, result):
        self.desk.told_server(self.outside.errands.pop(which % len(self.outside.errands)), result)

    @precondition(lambda self: self.desk.courses)
    @rule(which=st.integers(0, 50))
    def a_viewer_patches(self, which):
        courses = list(self.desk.courses.values())
        course = courses[which % len(courses)]
        if course.vw.playing:
            self.patches += 1
            self.desk.patched(course, "fragment", lambda errand: self.patched.append(errand))

    @precondition(lambda self: self.requests)
    @rule(which=st.integers(0, 50))
    def hung_up(self, which):
        self.desk.hung_up(self.requests[-1 - which % len(self.requests)])

    @precondition(lambda self: self.desk.courses)
    @rule(which=st.integers(0, 50), how=st.sampled_from(["closed", "lost"]))
    def a_viewing_ends(self, which, how):
        courses = list(self.desk.courses.values())
        getattr(self.desk, how)(courses[which % len(courses)])

    @precondition(lambda self: self.desk.courses)
    @rule(which=st.integers(0, 50), rung=st.integers(1, 2))
    def a_viewer_allows_another_rung(self, which, rung):
        courses = list(self.desk.courses.values())
        self.desk.ceiling_told(courses[which % len(courses)], rung)

    @rule(server=st.sampled_from(["s0", "s1", "s2", "s3"]), share=st.floats(0, 1))
    def a_short_note(self, server, share):
        if server in self.desk.roster.servers:
            self.desk.delivered(self.outside.server(server), share)

    @rule(server=st.sampled_from(["s0", "s1", "s2", "s3"]), link=st.floats(0, 3), uplink=st.floats(0, 2))
    def a_load_note(self, server, link, uplink):
        if server in self.desk.roster.servers:
            self.desk.told(self.outside.server(server), {"link": link, "uplink": uplink})

    @rule(server=st.sampled_from(["s0", "s1", "s2", "s3"]), how=st.sampled_from(["notes_broke", "restarted"]))
    def a_server_breaks(self, server, how):
        if server in self.desk.roster.servers:
            held = self.outside.server(server)
            getattr(self.desk, how)(held)
            if how == "restarted":
                self.outside.cold[server] = max(self.outside.cold.get(server, 0), self.outside.clock + 10 * SECOND)

    @rule(number=st.integers(0, 3), state=st.sampled_from(["on", "fading", "off"]), new=st.booleans())
    def the_list_changes(self, number, state, new):
        started = self.outside.clock if new else SECOND
        self.outside.change(self.outside.row(f"s{number}", state, "abcd"[number], started))

    @rule(number=st.integers(0, 3), step=st.integers(-3, 3))
    def the_list_jumps(self, number, step):
        since = self.outside.generation + step
        if step:
            self.outside.change(self.outside.row(f"s{number}", "on", "abcd"[number]), since=since, generation=since + 1)

    @rule(missing=st.sets(st.integers(0, 3)))
    def the_whole_list_comes(self, missing):
        self.outside.generation += 1
        rows = [self.outside.row(f"s{number}", "on", "abcd"[number]) for number in range(4) if number not in missing]
        self.desk.list_full("e", self.outside.generation, rows)

    @rule(span=st.sampled_from([1, 20 * MS, 300 * MS, SECOND, 3 * SECOND, 12 * SECOND]))
    def time_passes(self, span):
        self.outside.later(span)

    # ---- what always holds

    @invariant()
    def the_rules_hold(self):
        assert not self.outside.broken, self.outside.broken

    @invariant()
    def nobody_waits_past_patience(self):
        for request in self.requests:
            assert request.answer or request.gone or self.outside.clock <= request.expires

    @invariant()
    def seats_are_kept(self):
        held = [(course.vw.title, course.vw.package) for course in self.desk.courses.values() if course.vw.server is not None]
        for title, pack in set(held):
            assert not pack.seats or held.count((title, pack)) <= pack.seats

    @invariant()
    def the_books_agree(self):
        assert self.desk.waiting == sum(request.answer is None and not request.gone for request in self.requests)
        assert len(self.outside.out) == sum(course.tune_in is not None for course in self.desk.courses.values())
        waiting = sum(
            errand.patch is not None
            for course in self.desk.courses.values()
            for errand in [*course.errands.waiting, course.errands.out]
            if errand is not None
        )
        out_of_ended = sum(
            errand.patch is not None and errand.course.vw not in self.desk.courses for errand in self.outside.errands
        )
        assert len(self.patched) + waiting + out_of_ended == self.patches, "each patch is told of once"
        for server in self.desk.roster.servers.values():
            rates = sum(vw.held_rate for vw in self.desk.courses if vw.server is server)
            assert abs(server.link.own - rates) < 1e-6
            assert server.out == sum(tune_in.server is server for tune_in in self.outside.out)


HOW = settings(max_examples=120, stateful_step_count=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
History.TestCase.settings = HOW
Histories = History.TestCase


class Planted(unittest.TestCase):
    """The histories find what is planted: a desk spoilt in one place each."""

    def finds(self, spoil, what):
        class Spoilt(History):
            def __init__(self):
                super().__init__()
                spoil(self.desk)

        with self.assertRaises(AssertionError) as found:
            run_state_machine_as_test(Spoilt, settings=settings(HOW, phases=[Phase.generate], max_examples=2000))
        self.assertIn(what, "\n".join([str(found.exception), *traceback.format_exception(found.exception)]))

    def test_an_answer_forgotten(self):
        def spoil(desk):
            desk._overdue = desk.abort = lambda *what: None

        self.finds(spoil, "nobody_waits_past_patience")

    def test_a_paid_viewing_resent(self):
        def spoil(desk):
            failed = desk.failed
            desk.failed = lambda tune_in, outcome, report=None: failed(tune_in, Outcome.UNREACHED, report)

        self.finds(spoil, "a paid viewing is")

    def test_a_drain_not_heard(self):
        def spoil(desk):
            may_send = desk.rules._may_send
            desk.rules._may_send = lambda server: not server.open or may_send(server)

        self.finds(spoil, "closed")

    def test_a_late_session_left_standing(self):
        def spoil(desk):
            desk.endings.end = lambda server, session: None

        self.finds(spoil, "something_is_said_late_or_twice")

    def test_a_seat_given_back_too_early(self):
        def spoil(desk):
            desk.rules.seats = defaultdict(int)
            desk.rules._attach = lambda vw, server: (setattr(vw, "server", server), desk.rules._rate(vw, vw.rung))

        self.finds(spoil, "seats_are_kept")

    def test_a_budget_not_kept(self):
        def spoil(desk):
            desk.rules.free_further = float("inf")

        self.finds(spoil, "over the budget")


if __name__ == "__main__":
    unittest.main()
