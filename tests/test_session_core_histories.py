"""Random event sequences at a session core (hypothesis): its invariants hold after each step."""

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
        self.driver = FakeDriver()
        self.session_core = self.driver.session_core
        self.requests = []
        self.patches, self.patched = 0, []

    # ---- events

    @rule(
        pack=st.sampled_from(["clip", "paid", "lesson"]),
        title=st.sampled_from(["t1", "t2", "t3"]),
        key=st.sampled_from([None, None, "k1", "k2", "k3"]),
        offer=st.sampled_from(["o1", "o1", "o1", "o2"]),
    )
    def asked(self, pack, title, key, offer):
        try:
            self.requests.append(self.driver.ask(pack, title, key, offer))
        except KeyReused:
            pass

    @rule(pack=st.sampled_from(["clip", "paid", "lesson"]), title=st.sampled_from(["t1", "t2", "t3"]), count=st.integers(2, 6))
    def a_crowd_asks(self, pack, title, count):
        self.requests += [self.driver.ask(pack, title) for _ in range(count)]

    @precondition(lambda self: self.driver.out)
    @rule(which=st.integers(0, 50), outcome=st.sampled_from(FAILED + [Outcome.PLAYED] * 6))
    def a_tune_in_ends(self, which, outcome):
        self.driver.ends(self.driver.out[which % len(self.driver.out)], outcome)

    @precondition(lambda self: self.driver.done)
    @rule(which=st.integers(0, 50), outcome=st.sampled_from([Outcome.PLAYED, Outcome.BROKEN]))
    def something_is_said_late_or_twice(self, which, outcome):
        tune_in = self.driver.done[-1 - which % len(self.driver.done)]
        torn, playing = len(self.driver.torn_down), len(self.session_core.front_sessions)
        self.driver.ends(tune_in, outcome, session := object())
        assert len(self.session_core.front_sessions) == playing
        assert outcome is not Outcome.PLAYED or session in self.to_be_ended() + self.driver.torn_down[torn:]

    def to_be_ended(self):
        return [session_end.session for here in self.session_core.session_ends.servers.values() for session_end in here.waiting]

    @precondition(lambda self: self.driver.session_ends)
    @rule(which=st.integers(0, 50), answered=st.booleans())
    def an_ending_is_answered_or_not(self, which, answered):
        session_end = self.driver.session_ends.pop(which % len(self.driver.session_ends))
        self.session_core.session_ended(session_end, answered)

    @precondition(lambda self: self.driver.commands)
    @rule(which=st.integers(0, 50), result=st.sampled_from([Result.DONE, Result.REFUSED, Result.UNANSWERED]))
    def a_command_is_answered_or_not(self, which, result):
        self.session_core.told_server(self.driver.commands.pop(which % len(self.driver.commands)), result)

    @precondition(lambda self: self.session_core.front_sessions)
    @rule(which=st.integers(0, 50))
    def a_viewer_patches(self, which):
        front_sessions = list(self.session_core.front_sessions.values())
        front_session = front_sessions[which % len(front_sessions)]
        if front_session.viewing.playing:
            self.patches += 1
            self.session_core.patched(front_session, "fragment", lambda command: self.patched.append(command))

    @precondition(lambda self: self.requests)
    @rule(which=st.integers(0, 50))
    def hung_up(self, which):
        self.session_core.hung_up(self.requests[-1 - which % len(self.requests)])

    @precondition(lambda self: self.session_core.front_sessions)
    @rule(which=st.integers(0, 50), how=st.sampled_from(["closed", "lost"]))
    def a_viewing_ends(self, which, how):
        front_sessions = list(self.session_core.front_sessions.values())
        getattr(self.session_core, how)(front_sessions[which % len(front_sessions)])

    @precondition(lambda self: self.session_core.front_sessions)
    @rule(which=st.integers(0, 50), rung=st.integers(1, 2))
    def a_viewer_allows_another_rung(self, which, rung):
        front_sessions = list(self.session_core.front_sessions.values())
        self.session_core.ceiling_told(front_sessions[which % len(front_sessions)], rung)

    @rule(server=st.sampled_from(["s0", "s1", "s2", "s3"]), share=st.floats(0, 1))
    def a_short_note(self, server, share):
        if server in self.session_core.server_list.servers:
            self.session_core.delivered(self.driver.server(server), share)

    @rule(server=st.sampled_from(["s0", "s1", "s2", "s3"]), link=st.floats(0, 3), uplink=st.floats(0, 2))
    def a_load_note(self, server, link, uplink):
        if server in self.session_core.server_list.servers:
            self.session_core.told(self.driver.server(server), {"link": link, "uplink": uplink})

    @rule(server=st.sampled_from(["s0", "s1", "s2", "s3"]), how=st.sampled_from(["notes_broke", "restarted"]))
    def a_server_breaks(self, server, how):
        if server in self.session_core.server_list.servers:
            held = self.driver.server(server)
            getattr(self.session_core, how)(held)
            if how == "restarted":
                self.driver.cold_until[server] = max(self.driver.cold_until.get(server, 0), self.driver.clock + 10 * SECOND)

    @rule(number=st.integers(0, 3), state=st.sampled_from(["on", "fading", "off"]), new=st.booleans())
    def the_list_changes(self, number, state, new):
        started = self.driver.clock if new else SECOND
        self.driver.change(self.driver.row(f"s{number}", state, "abcd"[number], started))

    @rule(number=st.integers(0, 3), step=st.integers(-3, 3))
    def the_list_jumps(self, number, step):
        since = self.driver.generation + step
        if step:
            self.driver.change(self.driver.row(f"s{number}", "on", "abcd"[number]), since=since, generation=since + 1)

    @rule(missing=st.sets(st.integers(0, 3)))
    def the_whole_list_comes(self, missing):
        self.driver.generation += 1
        rows = [self.driver.row(f"s{number}", "on", "abcd"[number]) for number in range(4) if number not in missing]
        self.session_core.list_full("e", self.driver.generation, rows)

    @rule(span=st.sampled_from([1, 20 * MS, 300 * MS, SECOND, 3 * SECOND, 12 * SECOND]))
    def time_passes(self, span):
        self.driver.advance(span)

    # ---- invariants

    @invariant()
    def the_rules_hold(self):
        assert not self.driver.violations, self.driver.violations

    @invariant()
    def nobody_waits_past_patience(self):
        for request in self.requests:
            assert request.answer or request.gone or self.driver.clock <= request.expires

    @invariant()
    def seats_are_kept(self):
        held = [
            (front_session.viewing.title, front_session.viewing.package)
            for front_session in self.session_core.front_sessions.values()
            if front_session.viewing.server is not None
        ]
        for title, pack in set(held):
            assert not pack.seats or held.count((title, pack)) <= pack.seats

    @invariant()
    def the_books_agree(self):
        assert self.session_core.waiting == sum(request.answer is None and not request.gone for request in self.requests)
        assert len(self.driver.out) == sum(
            front_session.tune_in is not None for front_session in self.session_core.front_sessions.values()
        )
        waiting = sum(
            command.patch is not None
            for front_session in self.session_core.front_sessions.values()
            for command in [*front_session.commands.waiting, front_session.commands.out]
            if command is not None
        )
        in_flight_of_ended = sum(
            command.patch is not None and command.front_session.viewing not in self.session_core.front_sessions
            for command in self.driver.commands
        )
        assert len(self.patched) + waiting + in_flight_of_ended == self.patches, "each patch is reported once"
        for server in self.session_core.server_list.servers.values():
            rates = sum(viewing.held_rate for viewing in self.session_core.front_sessions if viewing.server is server)
            assert abs(server.link.own - rates) < 1e-6
            assert server.outstanding == sum(tune_in.server is server for tune_in in self.driver.out)


SETTINGS = settings(
    max_examples=120, stateful_step_count=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
History.TestCase.settings = SETTINGS
Histories = History.TestCase


class PlantedFaults(unittest.TestCase):
    """The random histories detect a session core with one planted fault each."""

    def finds(self, plant_fault, expected_text):
        class FaultySessionCoreHistory(History):
            def __init__(self):
                super().__init__()
                plant_fault(self.session_core)

        with self.assertRaises(AssertionError) as found:
            run_state_machine_as_test(
                FaultySessionCoreHistory, settings=settings(SETTINGS, phases=[Phase.generate], max_examples=2000)
            )
        self.assertIn(expected_text, "\n".join([str(found.exception), *traceback.format_exception(found.exception)]))

    def test_an_answer_that_is_never_sent(self):
        def plant_fault(session_core):
            session_core._patience_expired = session_core.abort = lambda *args: None

        self.finds(plant_fault, "nobody_waits_past_patience")

    def test_a_paid_viewing_that_is_sent_again(self):
        def plant_fault(session_core):
            failed = session_core.failed
            session_core.failed = lambda tune_in, outcome, report=None: failed(tune_in, Outcome.UNREACHED, report)

        self.finds(plant_fault, "a paid viewing is")

    def test_a_draining_server_that_is_sent_to(self):
        def plant_fault(session_core):
            may_send = session_core.rules._may_send
            session_core.rules._may_send = lambda server: not server.open or may_send(server)

        self.finds(plant_fault, "closed")

    def test_a_late_session_that_is_not_ended(self):
        def plant_fault(session_core):
            session_core.session_ends.end = lambda server, session: None

        self.finds(plant_fault, "something_is_said_late_or_twice")

    def test_a_seat_that_is_released_too_early(self):
        def plant_fault(session_core):
            session_core.rules.seats = defaultdict(int)
            session_core.rules._attach = lambda viewing, server: (
                setattr(viewing, "server", server),
                session_core.rules._set_rate(viewing, viewing.rung),
            )

        self.finds(plant_fault, "seats_are_kept")

    def test_a_retry_budget_that_is_exceeded(self):
        def plant_fault(session_core):
            session_core.rules.free_further = float("inf")

        self.finds(plant_fault, "over the budget")


if __name__ == "__main__":
    unittest.main()
