import unittest

from curlewshift.model import Outcome
from curlewshift.session_core.front_session import Kind
from curlewshift.session_core.session_core import InvalidRequest, KeyReused, UnknownResource
from curlewshift.session_core.timers import Timers
from curlewshift.state.intents import KEPT_ON
from tests.fake import SECOND
from tests.fake_driver import FakeDriver


class Once(unittest.TestCase):
    def setUp(self):
        self.driver = FakeDriver()
        self.session_core = self.driver.session_core

    def tearDown(self):
        self.assertEqual(self.driver.broken, [])

    def kind(self, request):
        return self.driver.answers[request].kind

    def test_an_answer_in_the_same_instant_as_the_time_out_counts_if_it_comes_first(self):
        request = self.driver.ask("paid")
        tune_in = self.driver.out[0]
        self.driver.clock = tune_in.until
        self.driver.ends(tune_in, Outcome.PLAYED, "s")
        self.driver.later(0)
        self.assertEqual((self.kind(request), self.driver.torn), (Kind.PLAYS, []))

    def test_and_is_torn_down_if_the_time_out_came_first(self):
        request = self.driver.ask("paid")
        tune_in = self.driver.out[0]
        self.driver.later(tune_in.until - self.driver.clock)
        self.driver.ends(tune_in, Outcome.PLAYED, "s")
        self.assertEqual((self.kind(request), self.driver.torn), (Kind.FAILED, ["s"]))

    def test_an_answer_after_the_viewer_left_is_torn_down_and_frees_the_link(self):
        request = self.driver.ask()
        tune_in = self.driver.out[0]
        self.session_core.hung_up(request)
        self.driver.ends(tune_in, Outcome.PLAYED, "s")
        self.assertEqual((self.driver.torn, self.driver.answers), (["s"], {}))
        self.assertEqual((tune_in.server.link.own, tune_in.server.out, self.session_core.waiting), (0.0, 0, 0))

    def test_a_doubled_outcome_changes_nothing(self):
        front_session = self.driver.play()
        tune_in = self.driver.done[0]
        self.driver.ends(tune_in, Outcome.PLAYED, front_session.session)
        self.driver.ends(tune_in, Outcome.BROKEN)
        self.assertTrue(front_session.viewing.playing)
        self.assertEqual((self.driver.torn, len(self.driver.answers)), ([], 1))

    def test_a_reset_fails_a_paid_viewing_and_a_refused_connection_sends_it_on(self):
        reset, refused = self.driver.ask("paid"), self.driver.ask("paid")
        first, second = self.driver.out
        self.driver.ends(first, Outcome.BROKEN)
        self.assertEqual((self.kind(reset), self.driver.out), (Kind.FAILED, [second]))
        self.driver.ends(second, Outcome.UNREACHED)
        self.assertEqual([tune_in.number for tune_in in self.driver.out], [2])
        self.assertIsNot(self.driver.out[0].server, second.server)
        self.assertNotIn(refused, self.driver.answers)

    def test_a_tune_in_of_which_no_byte_went_out_in_its_time_proves_that_it_never_ran(self):
        request = self.driver.ask("paid")
        self.driver.withdraw = lambda tune_in: self.driver.out.remove(tune_in)
        self.driver.later(4 * SECOND)
        self.assertEqual(self.kind(request), Kind.REFUSED)

    def test_a_server_closed_between_pick_and_send_is_not_written_to(self):
        self.driver.ask()
        tune_in = self.driver.out[0]
        self.assertTrue(self.session_core.stands(tune_in))
        self.driver.change(self.driver.row(tune_in.server.name, "fading"))
        self.assertFalse(self.session_core.stands(tune_in))

    def test_a_timer_that_fails_leaves_the_later_ones_awake(self):
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
        self.driver.later(20 * SECOND)
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
        self.assertEqual(self.driver.broken, [])

    def test_a_retry_with_its_key_joins_what_is_out_and_both_are_answered(self):
        first, again = self.driver.ask(key="k"), self.driver.ask(key="k")
        self.assertEqual(len(self.driver.out), 1)
        self.driver.ends(self.driver.out[0], Outcome.PLAYED, "s")
        self.assertIs(self.driver.answers[first], self.driver.answers[again])

    def test_one_who_hung_up_and_comes_again_gets_what_the_first_tune_in_brings(self):
        first = self.driver.ask("paid", key="k")
        self.session_core.hung_up(first)
        again = self.driver.ask("paid", key="k")
        self.driver.ends(self.driver.out[0], Outcome.PLAYED, "s")
        self.assertEqual((self.driver.answers[again].kind, self.driver.torn), (Kind.PLAYS, []))

    def test_and_starts_anew_only_where_nothing_can_have_run(self):
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
                self.assertEqual((len(driver.out), again in driver.answers, driver.broken), (sent, answered, []))
                self.assertEqual(driver.session_core.waiting, 1 - answered)

    def test_a_key_is_not_for_another_offer(self):
        self.driver.ask(key="k", offer="one")
        with self.assertRaises(KeyReused):
            self.driver.ask(key="k", offer="two")
        self.assertEqual(len(self.driver.out), 1)

    def test_an_answer_is_told_again_until_patience_has_passed_and_then_forgotten(self):
        first = self.driver.ask("paid", key="k")
        self.driver.ends(self.driver.out[0], Outcome.BROKEN)
        again = self.driver.ask("paid", key="k")
        self.assertIs(self.driver.answers[first], self.driver.answers[again])
        # it may have run and been paid: the key is not free at once when patience ends
        self.driver.later(5 * SECOND)
        late = self.driver.ask("paid", key="k")
        self.assertEqual((late.answer.kind, self.driver.out), (Kind.FAILED, []))
        self.driver.later(KEPT_ON)
        self.driver.ask("paid", key="k")
        self.assertEqual(len(self.driver.out), 1)

    def test_keys_of_ended_viewings_are_bounded(self):
        driver = FakeDriver(most_keys=10)
        for number in range(50):
            driver.session_core.closed(driver.play(key=f"k{number}"))
        self.assertLessEqual(len(driver.session_core.keys), 10)
        # a viewing in work keeps its key whatever comes
        driver.ask(key="mine")
        for number in range(50):
            driver.session_core.closed(driver.play(key=f"l{number}"))
        self.assertIsNotNone(driver.session_core.keys.find("mine", driver.clock))


class Full(unittest.TestCase):
    def test_a_full_front_refuses_at_once_and_says_so(self):
        driver = FakeDriver(most_waiting=3)
        requests = [driver.ask() for _ in range(5)]
        self.assertEqual([request in driver.answers for request in requests], [False] * 3 + [True] * 2)
        self.assertIn("too many", driver.answers[requests[4]].cause)
        driver.ends(driver.out[0], Outcome.PLAYED)
        self.assertNotIn(driver.ask(), driver.answers)

    def test_a_draining_front_answers_what_it_took_and_refuses_the_rest(self):
        driver = FakeDriver()
        taken = driver.ask()
        driver.session_core.drain()
        self.assertEqual(driver.answers[driver.ask()].kind, Kind.REFUSED)
        driver.ends(driver.out[0], Outcome.PLAYED)
        self.assertEqual(driver.answers[taken].kind, Kind.PLAYS)

    def test_what_cannot_be_taken_costs_no_tune_in(self):
        driver = FakeDriver()
        for wrong, ask in ((UnknownResource, ("nope", "t1")), (UnknownResource, ("clip", "nope"))):
            with self.assertRaises(wrong):
                driver.ask(*ask)
        with self.assertRaises(InvalidRequest):
            driver.session_core.asked("q", "clip", "t1", 0)
        self.assertEqual((driver.out, driver.session_core.waiting), ([], 0))


class Lists(unittest.TestCase):
    def setUp(self):
        self.driver = FakeDriver()
        self.session_core = self.driver.session_core

    def test_a_gap_asks_for_the_whole_list_and_the_old_one_holds(self):
        self.driver.change(self.driver.row("s0", "fading"), since=4, generation=5)
        self.assertEqual((self.driver.lists_wanted, self.driver.server("s0").open), (1, True))

    def test_a_list_that_goes_backwards_says_nothing(self):
        self.driver.change(self.driver.row("s0", "fading"))
        self.session_core.list_full("e", 0, list(self.driver.rows.values()))
        self.driver.change(self.driver.row("s0"), since=0, generation=1)
        self.assertFalse(self.driver.server("s0").open)

    def test_a_list_service_that_starts_anew_is_believed(self):
        self.driver.change(self.driver.row("s0", "fading"))
        self.session_core.list_full("later", 0, list(self.driver.rows.values()))
        self.assertTrue(self.driver.server("s0").open)

    def test_who_is_missing_in_a_full_list_has_gone_with_all_that_played_there(self):
        front_session = self.driver.play(title="t1")
        name, session = front_session.viewing.server.name, front_session.session
        rows = [row for row in self.driver.rows.values() if row.server != name]
        self.session_core.list_full("e", 7, rows)
        self.assertFalse(self.driver.server(name).open)
        self.assertEqual((self.session_core.front_sessions, self.driver.torn), ({}, [session]))
        self.assertNotIn(self.driver.server(name), self.session_core.server_list.titles["t1"].holders)

    def test_a_gone_server_is_forgotten_and_comes_back_as_a_new_one(self):
        before = self.driver.server("s0")
        self.driver.change(self.driver.row("s0", "off"))
        self.driver.later(61 * SECOND)
        self.assertNotIn("s0", self.session_core.server_list.servers)
        self.assertNotIn(before, self.session_core.rules.servers)
        self.driver.change(self.driver.row("s0", started=self.driver.clock))
        self.assertIsNot(self.driver.server("s0"), before)
        self.assertIn(self.driver.server("s0"), self.session_core.server_list.titles["t1"].holders)

    def test_a_front_on_a_stale_list_keeps_its_pace_at_servers_that_may_be_cold(self):
        driver = FakeDriver(fronts=3, servers=0)
        driver.session_core.list_full("", -1, [driver.row(f"s{n}", shelf="abcd"[n]) for n in range(4)], stale=True)
        for _ in range(40):
            driver.ask()
        in_one_instant = {
            server: sum(tune_in.server is server for tune_in in driver.out) for server in driver.session_core.rules.servers
        }
        self.assertLessEqual(max(in_one_instant.values()), 2)

    def test_a_server_that_moves_racks_takes_its_claims_along(self):
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

    def test_a_restart_seen_by_its_notes_ends_what_played_and_makes_the_server_cold(self):
        front_session = self.driver.play()
        server = front_session.viewing.server
        self.session_core.notes_broke(server)
        self.assertTrue(server.failed)
        self.session_core.restarted(server)
        self.assertFalse(self.session_core.front_sessions)
        self.assertGreaterEqual(server.cold_until, self.driver.clock + 10 * SECOND)

    def test_an_end_told_twice_counts_once(self):
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
        self.assertEqual(self.driver.answers[self.driver.ask("clip", "t1")].kind, Kind.REFUSED)

    def test_a_viewer_that_allows_less_is_stepped_at_once_and_never_under_the_floor(self):
        front_session = self.driver.play(pack="clip")
        self.session_core.ceiling_told(front_session, 1)
        self.assertEqual((front_session.viewing.rung, self.driver.rungs), (1, [(front_session, 1)]))
        with self.assertRaises(InvalidRequest):
            self.session_core.ceiling_told(front_session, 0)


class Times(unittest.TestCase):
    def test_due_together_comes_in_the_order_it_was_set_and_what_is_added_comes_too(self):
        woken, came = [], []
        timers = Timers(woken.append)
        timers.at(5, lambda: came.append("a"))
        timers.at(5, lambda: (came.append("b"), timers.at(5, lambda: came.append("d"))))
        timers.at(3, lambda: came.append("c"))
        timers.at(9, lambda: came.append("later"))
        timers.run(6)
        self.assertEqual((came, woken), (["c", "a", "b", "d"], [5, 3, 9]))


class Costs(unittest.TestCase):
    """A request's cost hangs on its holders and not on the fleet: counted in looks at servers, not in seconds."""

    def looks(self, fleet):
        from curlewshift.session_core.server_list import ServerList

        driver = FakeDriver(servers=0)
        titles = {"t": tuple(f"s{n}" for n in range(5))}
        session_core = driver.session_core
        session_core.server_list = ServerList({"r": 1e9}, titles)
        session_core.list_full("e", 1, [driver.row(f"m{n}", shelf=f"s{n}", started=SECOND) for n in range(fleet)])
        looks = 0
        may_send = session_core.rules._may_send

        def counted(server):
            nonlocal looks
            looks += 1
            return may_send(server)

        session_core.rules._may_send = counted
        session_core.asked("q", "lesson", "t", offer="o")
        return looks

    def test_a_request_looks_at_its_holders_alone(self):
        self.assertEqual((self.looks(100), self.looks(3000)), (5, 5))


if __name__ == "__main__":
    unittest.main()
