import unittest

from curlewshift.model import Outcome
from curlewshift.session_core.front_session import AnswerKind
from curlewshift.session_core.session_core import InvalidRequest, KeyReused, UnknownResource
from curlewshift.session_core.timers import Timers
from curlewshift.state.intents import RETENTION
from tests.fake import SECOND
from tests.fake_driver import FakeDriver


class SingleAnswer(unittest.TestCase):
    def setUp(self):
        self.driver = FakeDriver()
        self.session_core = self.driver.session_core

    def tearDown(self):
        self.assertEqual(self.driver.violations, [])

    def kind(self, request):
        return self.driver.answers[request].kind

    def test_an_answer_at_the_same_moment_as_the_time_out_counts_if_it_comes_first(self):
        request = self.driver.ask("paid")
        tune_in = self.driver.out[0]
        self.driver.clock = tune_in.until
        self.driver.ends(tune_in, Outcome.PLAYED, "s")
        self.driver.advance(0)
        self.assertEqual((self.kind(request), self.driver.torn_down), (AnswerKind.PLAYS, []))

    def test_a_session_that_plays_after_the_time_out_is_torn_down(self):
        request = self.driver.ask("paid")
        tune_in = self.driver.out[0]
        self.driver.advance(tune_in.until - self.driver.clock)
        self.driver.ends(tune_in, Outcome.PLAYED, "s")
        self.assertEqual((self.kind(request), self.driver.torn_down), (AnswerKind.FAILED, ["s"]))

    def test_an_answer_after_the_viewer_left_is_torn_down_and_frees_the_link(self):
        request = self.driver.ask()
        tune_in = self.driver.out[0]
        self.session_core.hung_up(request)
        self.driver.ends(tune_in, Outcome.PLAYED, "s")
        self.assertEqual((self.driver.torn_down, self.driver.answers), (["s"], {}))
        self.assertEqual((tune_in.server.link.own, tune_in.server.outstanding, self.session_core.waiting), (0.0, 0, 0))

    def test_a_repeated_outcome_changes_nothing(self):
        front_session = self.driver.play()
        tune_in = self.driver.done[0]
        self.driver.ends(tune_in, Outcome.PLAYED, front_session.session)
        self.driver.ends(tune_in, Outcome.BROKEN)
        self.assertTrue(front_session.viewing.playing)
        self.assertEqual((self.driver.torn_down, len(self.driver.answers)), ([], 1))

    def test_a_reset_fails_a_paid_viewing_and_a_refused_connection_retries_it_elsewhere(self):
        reset, refused = self.driver.ask("paid"), self.driver.ask("paid")
        first, second = self.driver.out
        self.driver.ends(first, Outcome.BROKEN)
        self.assertEqual((self.kind(reset), self.driver.out), (AnswerKind.FAILED, [second]))
        self.driver.ends(second, Outcome.UNREACHED)
        self.assertEqual([tune_in.number for tune_in in self.driver.out], [2])
        self.assertIsNot(self.driver.out[0].server, second.server)
        self.assertNotIn(refused, self.driver.answers)

    def test_a_tune_in_that_timed_out_before_its_first_byte_is_proven_never_to_have_run(self):
        request = self.driver.ask("paid")
        self.driver.withdraw = lambda tune_in: self.driver.out.remove(tune_in)
        self.driver.advance(4 * SECOND)
        self.assertEqual(self.kind(request), AnswerKind.REFUSED)

    def test_nothing_is_sent_to_a_server_that_closed_between_choice_and_send(self):
        self.driver.ask()
        tune_in = self.driver.out[0]
        self.assertTrue(self.session_core.stands(tune_in))
        self.driver.change(self.driver.row(tune_in.server.name, "fading"))
        self.assertFalse(self.session_core.stands(tune_in))

    def test_a_timer_that_raises_does_not_stop_the_later_ones(self):
        wakes, ran = [], []
        timers = Timers(wakes.append)
        timers.at(5, lambda: 1 / 0)
        timers.at(6, lambda: ran.append(6))
        self.assertRaises(ZeroDivisionError, timers.run, 5)
        self.assertEqual(wakes[-1], 6)
        timers.run(6)
        self.assertEqual(ran, [6])

    def test_a_thousand_viewings_end_at_once(self):
        self.driver = FakeDriver(free_further=None)
        for server in list(self.driver.rows.values()):
            server.streams, server.link = 5000, 1e9
        self.driver.change(*self.driver.rows.values())
        self.driver.advance(20 * SECOND)
        front_sessions = [self.driver.play() for _ in range(1000)]
        servers = {front_session.viewing.server for front_session in front_sessions}
        for server in servers:
            self.driver.session_core.server_lost(server)
        self.assertFalse(self.driver.session_core.front_sessions)
        self.assertTrue(all(not server.link.playing and server.link.own < 1e-3 for server in servers))


class Keys(unittest.TestCase):
    def setUp(self):
        self.driver = FakeDriver()
        self.session_core = self.driver.session_core

    def tearDown(self):
        self.assertEqual(self.driver.violations, [])

    def test_a_retry_with_its_key_joins_the_outstanding_tune_in_and_both_are_answered(self):
        first, again = self.driver.ask(key="k"), self.driver.ask(key="k")
        self.assertEqual(len(self.driver.out), 1)
        self.driver.ends(self.driver.out[0], Outcome.PLAYED, "s")
        self.assertIs(self.driver.answers[first], self.driver.answers[again])

    def test_a_client_that_hung_up_and_retries_gets_the_result_of_the_first_tune_in(self):
        first = self.driver.ask("paid", key="k")
        self.session_core.hung_up(first)
        again = self.driver.ask("paid", key="k")
        self.driver.ends(self.driver.out[0], Outcome.PLAYED, "s")
        self.assertEqual((self.driver.answers[again].kind, self.driver.torn_down), (AnswerKind.PLAYS, []))

    def test_a_retry_after_a_hang_up_starts_over_only_where_nothing_can_have_run(self):
        for pack, outcome, sent, answered in (
            ("paid", Outcome.BROKEN, 0, True),
            ("paid", Outcome.FULL, 1, False),
            ("lesson", Outcome.BROKEN, 1, False),
        ):
            with self.subTest(pack=pack, outcome=outcome):
                driver = FakeDriver()
                driver.session_core.hung_up(driver.ask(pack, key="k"))
                again = driver.ask(pack, key="k")
                driver.ends(driver.out[0], outcome)
                self.assertEqual((len(driver.out), again in driver.answers, driver.violations), (sent, answered, []))
                self.assertEqual(driver.session_core.waiting, 1 - answered)

    def test_a_key_cannot_be_reused_for_another_offer(self):
        self.driver.ask(key="k", offer="one")
        with self.assertRaises(KeyReused):
            self.driver.ask(key="k", offer="two")
        self.assertEqual(len(self.driver.out), 1)

    def test_an_answer_is_repeated_until_its_retention_ends_and_then_forgotten(self):
        first = self.driver.ask("paid", key="k")
        self.driver.ends(self.driver.out[0], Outcome.BROKEN)
        again = self.driver.ask("paid", key="k")
        self.assertIs(self.driver.answers[first], self.driver.answers[again])
        # the set-up may have run and been paid: the key is kept past the end of patience
        self.driver.advance(5 * SECOND)
        late = self.driver.ask("paid", key="k")
        self.assertEqual((late.answer.kind, self.driver.out), (AnswerKind.FAILED, []))
        self.driver.advance(RETENTION)
        self.driver.ask("paid", key="k")
        self.assertEqual(len(self.driver.out), 1)

    def test_keys_of_ended_viewings_are_bounded(self):
        driver = FakeDriver(most_keys=10)
        for number in range(50):
            driver.session_core.closed(driver.play(key=f"k{number}"))
        self.assertLessEqual(len(driver.session_core.keys), 10)
        # a viewing in progress always keeps its key
        driver.ask(key="mine")
        for number in range(50):
            driver.session_core.closed(driver.play(key=f"l{number}"))
        self.assertIsNotNone(driver.session_core.keys.find("mine", driver.clock))


class RefusedRequests(unittest.TestCase):
    def test_a_full_front_refuses_at_once_with_the_reason(self):
        driver = FakeDriver(most_waiting=3)
        requests = [driver.ask() for _ in range(5)]
        self.assertEqual([request in driver.answers for request in requests], [False] * 3 + [True] * 2)
        self.assertIn("too many", driver.answers[requests[4]].cause)
        driver.ends(driver.out[0], Outcome.PLAYED)
        self.assertNotIn(driver.ask(), driver.answers)

    def test_a_draining_front_answers_accepted_requests_and_refuses_new_ones(self):
        driver = FakeDriver()
        taken = driver.ask()
        driver.session_core.drain()
        self.assertEqual(driver.answers[driver.ask()].kind, AnswerKind.REFUSED)
        driver.ends(driver.out[0], Outcome.PLAYED)
        self.assertEqual(driver.answers[taken].kind, AnswerKind.PLAYS)

    def test_an_invalid_request_causes_no_tune_in(self):
        driver = FakeDriver()
        for error, arguments in ((UnknownResource, ("nope", "t1")), (UnknownResource, ("clip", "nope"))):
            with self.assertRaises(error):
                driver.ask(*arguments)
        with self.assertRaises(InvalidRequest):
            driver.session_core.asked("q", "clip", "t1", 0)
        self.assertEqual((driver.out, driver.session_core.waiting), ([], 0))


class ServerLists(unittest.TestCase):
    def setUp(self):
        self.driver = FakeDriver()
        self.session_core = self.driver.session_core

    def test_a_gap_causes_a_request_for_the_full_list_and_the_old_one_stays_valid(self):
        self.driver.change(self.driver.row("s0", "fading"), since=4, generation=5)
        self.assertEqual((self.driver.full_list_requests, self.driver.server("s0").open), (1, True))

    def test_an_older_list_is_ignored(self):
        self.driver.change(self.driver.row("s0", "fading"))
        self.session_core.list_full("e", 0, list(self.driver.rows.values()))
        self.driver.change(self.driver.row("s0"), since=0, generation=1)
        self.assertFalse(self.driver.server("s0").open)

    def test_a_list_of_a_new_epoch_is_accepted(self):
        self.driver.change(self.driver.row("s0", "fading"))
        self.session_core.list_full("later", 0, list(self.driver.rows.values()))
        self.assertTrue(self.driver.server("s0").open)

    def test_a_server_missing_from_a_full_list_is_gone_with_all_viewings_on_it(self):
        front_session = self.driver.play(title="t1")
        name, session = front_session.viewing.server.name, front_session.session
        rows = [row for row in self.driver.rows.values() if row.server != name]
        self.session_core.list_full("e", 7, rows)
        self.assertFalse(self.driver.server(name).open)
        self.assertEqual((self.session_core.front_sessions, self.driver.torn_down), ({}, [session]))
        self.assertNotIn(self.driver.server(name), self.session_core.server_list.titles["t1"].holders)

    def test_a_gone_server_is_forgotten_and_comes_back_as_a_new_one(self):
        before = self.driver.server("s0")
        self.driver.change(self.driver.row("s0", "off"))
        self.driver.advance(61 * SECOND)
        self.assertNotIn("s0", self.session_core.server_list.servers)
        self.assertNotIn(before, self.session_core.rules.servers)
        self.driver.change(self.driver.row("s0", started=self.driver.clock))
        self.assertIsNot(self.driver.server("s0"), before)
        self.assertIn(self.driver.server("s0"), self.session_core.server_list.titles["t1"].holders)

    def test_a_front_with_a_stale_list_keeps_to_the_pace_of_servers_that_may_be_cold(self):
        driver = FakeDriver(fronts=3, servers=0)
        driver.session_core.list_full("", -1, [driver.row(f"s{n}", shelf="abcd"[n]) for n in range(4)], stale=True)
        for _ in range(40):
            driver.ask()
        at_once = {
            server: sum(tune_in.server is server for tune_in in driver.out) for server in driver.session_core.rules.servers
        }
        self.assertLessEqual(max(at_once.values()), 2)

    def test_the_rates_on_a_server_move_with_it_to_another_rack(self):
        front_session = self.driver.play()
        server, held = front_session.viewing.server, front_session.viewing.held_rate
        self.session_core.server_list.uplinks["r2"] = 500.0
        row = self.driver.row(server.name, shelf="abcd"[int(server.name[1])])
        row.rack = "r2"
        self.driver.change(row)
        self.assertEqual((server.rack.link.own, self.session_core.server_list.racks["r"].link.own), (held, 0.0))


class Sessions(unittest.TestCase):
    def setUp(self):
        self.driver = FakeDriver()
        self.session_core = self.driver.session_core

    def test_a_restart_seen_by_its_notes_ends_its_viewings_and_makes_the_server_cold(self):
        front_session = self.driver.play()
        server = front_session.viewing.server
        self.session_core.notes_broke(server)
        self.assertTrue(server.failed)
        self.session_core.restarted(server)
        self.assertFalse(self.session_core.front_sessions)
        self.assertGreaterEqual(server.cold_until, self.driver.clock + 10 * SECOND)

    def test_an_end_reported_twice_counts_once(self):
        front_session = self.driver.play()
        server = front_session.viewing.server
        self.session_core.lost(front_session)
        self.session_core.lost(front_session)
        self.session_core.closed(front_session)
        self.assertEqual(
            (server.link.own, self.session_core.rules.seats[front_session.viewing.title, front_session.viewing.package]), (0.0, 0)
        )

    def test_handed_over_viewings_take_seats(self):
        for _ in range(2):
            self.session_core.handed_over("clip", "t1", 2, self.driver.server("s0"), "s", 1)
        self.assertEqual(self.driver.answers[self.driver.ask("clip", "t1")].kind, AnswerKind.REFUSED)

    def test_a_lower_ceiling_steps_the_viewing_at_once_and_never_under_the_floor(self):
        front_session = self.driver.play(pack="clip")
        self.session_core.ceiling_told(front_session, 1)
        self.assertEqual((front_session.viewing.rung, self.driver.rungs), (1, [(front_session, 1)]))
        with self.assertRaises(InvalidRequest):
            self.session_core.ceiling_told(front_session, 0)


class TimerOrder(unittest.TestCase):
    def test_timers_due_together_run_in_the_order_set_with_those_added_meanwhile(self):
        woken, ran = [], []
        timers = Timers(woken.append)
        timers.at(5, lambda: ran.append("a"))
        timers.at(5, lambda: (ran.append("b"), timers.at(5, lambda: ran.append("d"))))
        timers.at(3, lambda: ran.append("c"))
        timers.at(9, lambda: ran.append("later"))
        timers.run(6)
        self.assertEqual((ran, woken), (["c", "a", "b", "d"], [5, 3, 9]))


class RequestCost(unittest.TestCase):
    """The cost of a request depends on the number of holders and not on the size of the fleet, counted in servers visited."""

    def visits(self, fleet):
        from curlewshift.session_core.server_list import ServerList

        driver = FakeDriver(servers=0)
        titles = {"t": tuple(f"s{n}" for n in range(5))}
        session_core = driver.session_core
        session_core.server_list = ServerList({"r": 1e9}, titles)
        session_core.list_full("e", 1, [driver.row(f"m{n}", shelf=f"s{n}", started=SECOND) for n in range(fleet)])
        visits = 0
        may_send = session_core.rules._may_send

        def counted(server):
            nonlocal visits
            visits += 1
            return may_send(server)

        session_core.rules._may_send = counted
        session_core.asked("q", "lesson", "t", offer="o")
        return visits

    def test_a_request_visits_only_its_holders(self):
        self.assertEqual((self.visits(100), self.visits(3000)), (5, 5))


if __name__ == "__main__":
    unittest.main()
