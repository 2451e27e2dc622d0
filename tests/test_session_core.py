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
        self.outside = FakeDriver()
        self.desk = self.outside.desk

    def tearDown(self):
        self.assertEqual(self.outside.broken, [])

    def kind(self, request):
        return self.outside.answers[request].kind

    def test_an_answer_in_the_same_instant_as_the_time_out_counts_if_it_comes_first(self):
        request = self.outside.ask("paid")
        tune_in = self.outside.out[0]
        self.outside.clock = tune_in.until
        self.outside.ends(tune_in, Outcome.PLAYED, "s")
        self.outside.later(0)
        self.assertEqual((self.kind(request), self.outside.torn), (Kind.PLAYS, []))

    def test_and_is_torn_down_if_the_time_out_came_first(self):
        request = self.outside.ask("paid")
        tune_in = self.outside.out[0]
        self.outside.later(tune_in.until - self.outside.clock)
        self.outside.ends(tune_in, Outcome.PLAYED, "s")
        self.assertEqual((self.kind(request), self.outside.torn), (Kind.FAILED, ["s"]))

    def test_an_answer_after_the_viewer_left_is_torn_down_and_frees_the_link(self):
        request = self.outside.ask()
        tune_in = self.outside.out[0]
        self.desk.hung_up(request)
        self.outside.ends(tune_in, Outcome.PLAYED, "s")
        self.assertEqual((self.outside.torn, self.outside.answers), (["s"], {}))
        self.assertEqual((tune_in.server.link.own, tune_in.server.out, self.desk.waiting), (0.0, 0, 0))

    def test_a_doubled_outcome_changes_nothing(self):
        course = self.outside.play()
        tune_in = self.outside.done[0]
        self.outside.ends(tune_in, Outcome.PLAYED, course.session)
        self.outside.ends(tune_in, Outcome.BROKEN)
        self.assertTrue(course.vw.playing)
        self.assertEqual((self.outside.torn, len(self.outside.answers)), ([], 1))

    def test_a_reset_fails_a_paid_viewing_and_a_refused_connection_sends_it_on(self):
        reset, refused = self.outside.ask("paid"), self.outside.ask("paid")
        first, second = self.outside.out
        self.outside.ends(first, Outcome.BROKEN)
        self.assertEqual((self.kind(reset), self.outside.out), (Kind.FAILED, [second]))
        self.outside.ends(second, Outcome.UNREACHED)
        self.assertEqual([tune_in.number for tune_in in self.outside.out], [2])
        self.assertIsNot(self.outside.out[0].server, second.server)
        self.assertNotIn(refused, self.outside.answers)

    def test_a_tune_in_of_which_no_byte_went_out_in_its_time_proves_that_it_never_ran(self):
        request = self.outside.ask("paid")
        self.outside.withdraw = lambda tune_in: self.outside.out.remove(tune_in)
        self.outside.later(4 * SECOND)
        self.assertEqual(self.kind(request), Kind.REFUSED)

    def test_a_server_closed_between_pick_and_send_is_not_written_to(self):
        self.outside.ask()
        tune_in = self.outside.out[0]
        self.assertTrue(self.desk.stands(tune_in))
        self.outside.change(self.outside.row(tune_in.server.name, "fading"))
        self.assertFalse(self.desk.stands(tune_in))

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
        self.outside = FakeDriver(free_further=None)
        for server in list(self.outside.rows.values()):
            server.streams, server.link = 5000, 1e9
        self.outside.change(*self.outside.rows.values())
        self.outside.later(20 * SECOND)
        courses = [self.outside.play() for _ in range(1000)]
        servers = {course.vw.server for course in courses}
        for server in servers:
            self.outside.desk.server_lost(server)
        self.assertFalse(self.outside.desk.courses)
        self.assertTrue(all(not server.link.playing and server.link.own < 1e-3 for server in servers))


class Keys(unittest.TestCase):
    def setUp(self):
        self.outside = FakeDriver()
        self.desk = self.outside.desk

    def tearDown(self):
        self.assertEqual(self.outside.broken, [])

    def test_a_retry_with_its_key_joins_what_is_out_and_both_are_answered(self):
        first, again = self.outside.ask(key="k"), self.outside.ask(key="k")
        self.assertEqual(len(self.outside.out), 1)
        self.outside.ends(self.outside.out[0], Outcome.PLAYED, "s")
        self.assertIs(self.outside.answers[first], self.outside.answers[again])

    def test_one_who_hung_up_and_comes_again_gets_what_the_first_tune_in_brings(self):
        first = self.outside.ask("paid", key="k")
        self.desk.hung_up(first)
        again = self.outside.ask("paid", key="k")
        self.outside.ends(self.outside.out[0], Outcome.PLAYED, "s")
        self.assertEqual((self.outside.answers[again].kind, self.outside.torn), (Kind.PLAYS, []))

    def test_and_starts_anew_only_where_nothing_can_have_run(self):
        for pack, outcome, sent, answered in (
            ("paid", Outcome.BROKEN, 0, True),
            ("paid", Outcome.FULL, 1, False),
            ("lesson", Outcome.BROKEN, 1, False),
        ):
            with self.subTest(pack=pack, outcome=outcome):
                outside = FakeDriver()
                outside.desk.hung_up(outside.ask(pack, key="k"))
                again = outside.ask(pack, key="k")
                outside.ends(outside.out[0], outcome)
                self.assertEqual((len(outside.out), again in outside.answers, outside.broken), (sent, answered, []))
                self.assertEqual(outside.desk.waiting, 1 - answered)

    def test_a_key_is_not_for_another_offer(self):
        self.outside.ask(key="k", offer="one")
        with self.assertRaises(KeyReused):
            self.outside.ask(key="k", offer="two")
        self.assertEqual(len(self.outside.out), 1)

    def test_an_answer_is_told_again_until_patience_has_passed_and_then_forgotten(self):
        first = self.outside.ask("paid", key="k")
        self.outside.ends(self.outside.out[0], Outcome.BROKEN)
        again = self.outside.ask("paid", key="k")
        self.assertIs(self.outside.answers[first], self.outside.answers[again])
        # it may have run and been paid: the key is not free at once when patience ends
        self.outside.later(5 * SECOND)
        late = self.outside.ask("paid", key="k")
        self.assertEqual((late.answer.kind, self.outside.out), (Kind.FAILED, []))
        self.outside.later(KEPT_ON)
        self.outside.ask("paid", key="k")
        self.assertEqual(len(self.outside.out), 1)

    def test_keys_of_ended_viewings_are_bounded(self):
        outside = FakeDriver(most_keys=10)
        for number in range(50):
            outside.desk.closed(outside.play(key=f"k{number}"))
        self.assertLessEqual(len(outside.desk.keys), 10)
        # a viewing in work keeps its key whatever comes
        outside.ask(key="mine")
        for number in range(50):
            outside.desk.closed(outside.play(key=f"l{number}"))
        self.assertIsNotNone(outside.desk.keys.find("mine", outside.clock))


class Full(unittest.TestCase):
    def test_a_full_front_refuses_at_once_and_says_so(self):
        outside = FakeDriver(most_waiting=3)
        requests = [outside.ask() for _ in range(5)]
        self.assertEqual([request in outside.answers for request in requests], [False] * 3 + [True] * 2)
        self.assertIn("too many", outside.answers[requests[4]].cause)
        outside.ends(outside.out[0], Outcome.PLAYED)
        self.assertNotIn(outside.ask(), outside.answers)

    def test_a_draining_front_answers_what_it_took_and_refuses_the_rest(self):
        outside = FakeDriver()
        taken = outside.ask()
        outside.desk.drain()
        self.assertEqual(outside.answers[outside.ask()].kind, Kind.REFUSED)
        outside.ends(outside.out[0], Outcome.PLAYED)
        self.assertEqual(outside.answers[taken].kind, Kind.PLAYS)

    def test_what_cannot_be_taken_costs_no_tune_in(self):
        outside = FakeDriver()
        for wrong, ask in ((UnknownResource, ("nope", "t1")), (UnknownResource, ("clip", "nope"))):
            with self.assertRaises(wrong):
                outside.ask(*ask)
        with self.assertRaises(InvalidRequest):
            outside.desk.asked("q", "clip", "t1", 0)
        self.assertEqual((outside.out, outside.desk.waiting), ([], 0))


class Lists(unittest.TestCase):
    def setUp(self):
        self.outside = FakeDriver()
        self.desk = self.outside.desk

    def test_a_gap_asks_for_the_whole_list_and_the_old_one_holds(self):
        self.outside.change(self.outside.row("s0", "fading"), since=4, generation=5)
        self.assertEqual((self.outside.lists_wanted, self.outside.server("s0").open), (1, True))

    def test_a_list_that_goes_backwards_says_nothing(self):
        self.outside.change(self.outside.row("s0", "fading"))
        self.desk.list_full("e", 0, list(self.outside.rows.values()))
        self.outside.change(self.outside.row("s0"), since=0, generation=1)
        self.assertFalse(self.outside.server("s0").open)

    def test_a_list_service_that_starts_anew_is_believed(self):
        self.outside.change(self.outside.row("s0", "fading"))
        self.desk.list_full("later", 0, list(self.outside.rows.values()))
        self.assertTrue(self.outside.server("s0").open)

    def test_who_is_missing_in_a_full_list_has_gone_with_all_that_played_there(self):
        course = self.outside.play(title="t1")
        name, session = course.vw.server.name, course.session
        rows = [row for row in self.outside.rows.values() if row.server != name]
        self.desk.list_full("e", 7, rows)
        self.assertFalse(self.outside.server(name).open)
        self.assertEqual((self.desk.courses, self.outside.torn), ({}, [session]))
        self.assertNotIn(self.outside.server(name), self.desk.roster.titles["t1"].holders)

    def test_a_gone_server_is_forgotten_and_comes_back_as_a_new_one(self):
        before = self.outside.server("s0")
        self.outside.change(self.outside.row("s0", "off"))
        self.outside.later(61 * SECOND)
        self.assertNotIn("s0", self.desk.roster.servers)
        self.assertNotIn(before, self.desk.rules.servers)
        self.outside.change(self.outside.row("s0", started=self.outside.clock))
        self.assertIsNot(self.outside.server("s0"), before)
        self.assertIn(self.outside.server("s0"), self.desk.roster.titles["t1"].holders)

    def test_a_front_on_a_stale_list_keeps_its_pace_at_servers_that_may_be_cold(self):
        outside = FakeDriver(fronts=3, servers=0)
        outside.desk.list_full("", -1, [outside.row(f"s{n}", shelf="abcd"[n]) for n in range(4)], stale=True)
        for _ in range(40):
            outside.ask()
        in_one_instant = {
            server: sum(tune_in.server is server for tune_in in outside.out) for server in outside.desk.rules.servers
        }
        self.assertLessEqual(max(in_one_instant.values()), 2)

    def test_a_server_that_moves_racks_takes_its_claims_along(self):
        course = self.outside.play()
        server, held = course.vw.server, course.vw.held_rate
        self.desk.roster.uplinks["r2"] = 500.0
        row = self.outside.row(server.name, shelf="abcd"[int(server.name[1])])
        row.rack = "r2"
        self.outside.change(row)
        self.assertEqual((server.rack.link.own, self.desk.roster.racks["r"].link.own), (held, 0.0))


class Sessions(unittest.TestCase):
    def setUp(self):
        self.outside = FakeDriver()
        self.desk = self.outside.desk

    def test_a_restart_seen_by_its_notes_ends_what_played_and_makes_the_server_cold(self):
        course = self.outside.play()
        server = course.vw.server
        self.desk.notes_broke(server)
        self.assertTrue(server.failed)
        self.desk.restarted(server)
        self.assertFalse(self.desk.courses)
        self.assertGreaterEqual(server.cold_until, self.outside.clock + 10 * SECOND)

    def test_an_end_told_twice_counts_once(self):
        course = self.outside.play()
        server = course.vw.server
        self.desk.lost(course)
        self.desk.lost(course)
        self.desk.closed(course)
        self.assertEqual((server.link.own, self.desk.rules.seats[course.vw.title, course.vw.package]), (0.0, 0))

    def test_handed_over_viewings_take_seats(self):
        for _ in range(2):
            self.desk.handed_over("clip", "t1", 2, self.outside.server("s0"), "s", 1)
        self.assertEqual(self.outside.answers[self.outside.ask("clip", "t1")].kind, Kind.REFUSED)

    def test_a_viewer_that_allows_less_is_stepped_at_once_and_never_under_the_floor(self):
        course = self.outside.play(pack="clip")
        self.desk.ceiling_told(course, 1)
        self.assertEqual((course.vw.rung, self.outside.rungs), (1, [(course, 1)]))
        with self.assertRaises(InvalidRequest):
            self.desk.ceiling_told(course, 0)


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

        outside = FakeDriver(servers=0)
        titles = {"t": tuple(f"s{n}" for n in range(5))}
        desk = outside.desk
        desk.roster = ServerList({"r": 1e9}, titles)
        desk.list_full("e", 1, [outside.row(f"m{n}", shelf=f"s{n}", started=SECOND) for n in range(fleet)])
        looks = 0
        may_send = desk.rules._may_send

        def counted(server):
            nonlocal looks
            looks += 1
            return may_send(server)

        desk.rules._may_send = counted
        desk.asked("q", "lesson", "t", offer="o")
        return looks

    def test_a_request_looks_at_its_holders_alone(self):
        self.assertEqual((self.looks(100), self.looks(3000)), (5, 5))


if __name__ == "__main__":
    unittest.main()
