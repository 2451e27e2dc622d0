"""Tests of budgets shared by all fronts beside those of cold servers: seats and further tune-ins; and what a front learns from
its peers at start."""

import random
import unittest
from types import SimpleNamespace

from curlewshift.emulator.loan_histories import overdrawn
from curlewshift.emulator.seat_histories import FAULTS, SeatHistory, UnreportedHistory
from curlewshift.session_core.session_core import InvalidRequest
from curlewshift.sharing.budgets import FURTHER, SEAT
from curlewshift.sharing.renewable_loans import RenewableLoans
from curlewshift.sharing.sharing import Sharing
from curlewshift.sharing.terms import SharedBudgets, SharingTerms
from curlewshift.verdict.bounds import judge_bounds
from curlewshift.verdict.verdict import Figures
from tests.fake import RulesFixture
from tests.fake_driver import FakeDriver

MS = 1_000_000
SECOND = 1000 * MS
TERMS = SharingTerms(term=SECOND, drift=0.01, window=SECOND, every=SECOND // 4)
TOGETHER = SharedBudgets(
    free=1, look_back=10 * SECOND, seats={"clip": 1}, titles=["t1", "t2"], seat_term=4 * SECOND, lingers=6 * SECOND
)


class SeatNetwork:
    """Two fronts and one seat, the first front's own; the test delivers or drops messages."""

    def __init__(self):
        self.clock, self.messages, self.sessions, self.ended = 100 * SECOND, [], [0, 0], []
        self.ending, self.out = False, [False, False]
        self.fronts = [
            RenewableLoans(SeatEndpoint(self, number), number, TOGETHER.seat_terms(TERMS), 1000 * number) for number in range(2)
        ]
        for front in self.fronts:
            front.quiet_until = 0

    def advance(self, seconds, delivered=True):
        for _ in range(round(seconds * 4)):
            self.clock += SECOND // 4
            for front in self.fronts:
                front.time(lambda key: [0])
                if delivered:
                    self.deliver()
            self.messages = self.messages if delivered else []

    def deliver(self):
        while self.messages:
            to, what, arguments = self.messages.pop(0)
            getattr(self.fronts[to], what)(*arguments)

    def with_seat_lent(self):
        self.fronts[1].wants("k")
        self.advance(0.5)
        self.sessions[1] = 1
        self.fronts[1].uses("k")
        return self


class SeatEndpoint:
    def __init__(self, net, number, life=1):
        self.net, self.number, self.life = net, number, life

    def now(self):
        return self.net.clock

    def part(self, key):
        return int(self.number == 0)

    def in_use(self, key):
        return self.net.sessions[self.number]

    def ending(self, key):
        return self.net.ending

    def end_uses(self, key, count):
        if self.net.out[self.number]:
            return
        self.net.ended.append((self.net.clock, self.number, count))
        self.net.sessions[self.number] -= count

    def ask(self, lender, number, keys):
        self.net.messages.append((lender, "loan_requested", (self.number, number, keys, self.life)))

    def lend(self, borrower, number, rights):
        self.net.messages.append((borrower, "loan_received", (self.number, number, rights)))

    def give_back(self, lender, number, key):
        self.net.messages.append((lender, "loan_returned", (self.number, number, key)))


class Seats(unittest.TestCase):
    def test_seat_stays_lent_while_in_use_and_returns_after(self):
        net = SeatNetwork().with_seat_lent()
        net.advance(60)
        self.assertEqual(([front.may_use("k") for front in net.fronts], net.ended), ([0, 1], []))
        net.sessions[1] = 0
        net.advance(0.5)
        self.assertEqual([front.may_use("k") for front in net.fronts], [0, 0])
        net.advance(8)
        self.assertEqual([front.may_use("k") for front in net.fronts], [1, 0])

    def test_cut_off_borrower_ends_its_session_before_the_seat_returns(self):
        net = SeatNetwork().with_seat_lent()
        net.advance(30, delivered=False)
        self.assertEqual((len(net.ended), net.sessions), (1, [0, 0]))
        net = SeatNetwork().with_seat_lent()
        began = net.clock
        while not net.fronts[0].may_use("k"):
            net.advance(0.25, delivered=False)
        self.assertLess(net.ended[0][0], net.clock - TOGETHER.lingers // 2)
        self.assertLess(net.ended[0][0], began + TOGETHER.seat_term)

    def test_later_life_of_the_borrower_does_not_get_a_seat_in_use(self):
        net = SeatNetwork().with_seat_lent()
        net.fronts[1] = RenewableLoans(SeatEndpoint(net, 1, life=2), 1, TOGETHER.seat_terms(TERMS), 5000)
        net.fronts[1].quiet_until, net.sessions[1] = 0, 0
        net.fronts[1].wants("k")
        net.advance(2)
        self.assertEqual(net.fronts[1].may_use("k"), 0)

    def test_own_seat_in_use_is_not_lent(self):
        net = SeatNetwork()
        net.sessions[0] = 1
        net.fronts[1].wants("k")
        net.advance(2)
        self.assertEqual([front.may_use("k") for front in net.fronts], [1, 0])

    def test_session_ends_when_its_loan_is_lost_by_clock_doubt_or_step_back(self):
        net = SeatNetwork().with_seat_lent()
        net.fronts[1].withdraw(True)
        net.advance(0.25)
        self.assertEqual((len(net.ended), net.sessions), (1, [0, 0]))
        net = SeatNetwork().with_seat_lent()
        net.clock -= SECOND
        net.advance(0.25)
        self.assertEqual((len(net.ended), net.sessions), (1, [0, 0]))

    def test_set_up_under_way_when_its_loan_ends_is_ended_once_it_plays(self):
        net = SeatNetwork().with_seat_lent()
        net.out[1] = True
        net.advance(TOGETHER.seat_term // SECOND + 1, delivered=False)
        self.assertEqual((net.ended, net.sessions), ([], [0, 1]))
        net.out[1] = False
        net.advance(0.25, delivered=False)
        self.assertEqual((len(net.ended), net.sessions), (1, [0, 0]))

    def test_lender_waits_for_a_set_up_under_way_when_the_loan_ended(self):
        patient = TOGETHER.patient(lambda package: 3 * SECOND)
        self.assertGreater(patient.seat_terms(TERMS).back_after, TOGETHER.seat_terms(TERMS).back_after + 3 * SECOND)

    def test_request_older_than_the_loan_does_not_renumber_it(self):
        net = SeatNetwork().with_seat_lent()
        lender, (_, borrower, number) = net.fronts[0], net.fronts[0].lent["k"]
        lender.loan_requested(borrower, number - 1, ["k"], 1)
        lender.loan_returned(borrower, number - 1, "k")
        until, *named = lender.lent["k"]
        self.assertEqual((named, until > lender.steady.last + lender.terms.rest), ([borrower, number], True))

    def test_seat_whose_session_end_is_unconfirmed_is_not_lent(self):
        net = SeatNetwork()
        net.ending = True
        net.fronts[1].wants("k")
        net.advance(1)
        self.assertEqual([front.may_use("k") for front in net.fronts], [1, 0])
        net.ending = False
        net.advance(0.5)
        self.assertEqual([front.may_use("k") for front in net.fronts], [0, 1])

    def test_histories_never_use_more_seats_than_there_are(self):
        self.assertEqual(overdrawn(range(40), RenewableLoans, SeatHistory), [])

    def test_each_planted_fault_is_found(self):
        for name, fault in FAULTS.items():
            self.assertTrue(any(overdrawn(range(seed, seed + 1), fault, SeatHistory) for seed in range(60)), name)
        self.assertTrue(any(overdrawn(range(seed, seed + 1), RenewableLoans, UnreportedHistory) for seed in range(60)))


class Fleet:
    """Fronts with session cores whose messages arrive at once, or not at all for the names in `cut`."""

    def __init__(self, size=3, together=TOGETHER):
        self.clock, self.cut, self.size, self.together = 1000 * SECOND, set(), size, together
        self.fakes = [FakeDriver(fronts=size, me=number) for number in range(size)]
        self.ends = [End(self, number) for number in range(size)]

    def advance(self, seconds):
        for _ in range(round(seconds * 4)):
            self.clock += SECOND // 4
            for end in self.ends:
                end.fake.clock = self.clock
                end.sharing.time()


class End:
    def __init__(self, fleet, number, life=1):
        self.fleet, self.fake, self.life, self.messages_sent = fleet, fleet.fakes[number], life, 0
        self.session_core = self.fake.session_core
        self.sharing = Sharing(
            self, [f"f{n}" for n in range(fleet.size)], number, life, TERMS, 8 * SECOND, random.Random(number), fleet.together
        )

    def __getattr__(self, name):
        """Passes facts on to the session core."""
        return getattr(self.session_core, name)

    def send(self, to, what, *arguments):
        if {to, self.sharing.name} & self.fleet.cut:
            return
        getattr(self.fleet.ends[int(to[1:])].sharing, what)(self.sharing.name, *arguments)

    def now(self):
        return self.fleet.clock

    def servers(self):
        return list(self.session_core.rules.servers)

    def rights_of(self, server):
        return 0

    def members(self):
        return [f"f{n}" for n in range(self.fleet.size)]

    def ask(self, to, number, keys):
        self.send(to, "loan_requested", self.life, number, keys)

    def lend(self, to, number, rights):
        self.send(to, "lent", number, rights)

    def give_back_to(self, to, number, key):
        self.send(to, "loan_returned", number, key)

    def send_rows(self, to, what, rows):
        self.messages_sent += 1
        self.send(to, what, self.life, self.messages_sent, rows)

    def send_use(self, to, rows):
        self.send_rows(to, "receive_use", rows)

    def send_sums(self, to, rows):
        self.send_rows(to, "receive_sums", rows)

    def send_observations(self, to, rows):
        self.send_rows(to, "receive_observations", rows)

    def send_link_report(self, to, rows):
        self.send(to, "receive_link_report", rows)

    def request_observations(self, to):
        self.send(to, "send_known_observations")

    def further_wanted_at(self):
        return self.session_core.rules.further_wanted_at

    def seats_wanted_at(self):
        return {(package.name, title): at for (title, package), at in self.session_core.rules.seat_wanted_at.items()}

    def seats_in_use(self, package, title):
        return self.session_core.rules.seats.get((title, self.session_core.packages[package]), 0)

    def seats_ending(self, package, title):
        return bool(self.session_core.session_ends.servers)

    def clock_off(self, by, out):
        pass


class InTheSessionCore(unittest.TestCase):
    def plays(self, end, name):
        """Whether one more viewing of the title gets a seat at this front."""
        end.session_core.asked(name, "clip", "t1")
        out = [
            tune_in
            for tune_in in end.fake.out
            if tune_in.front_session.requests and tune_in.front_session.requests[0].name == name
        ]
        for tune_in in out:
            end.fake.out.remove(tune_in)
            end.session_core.played(tune_in, f"session {name}")
        return bool(out)

    def test_single_seat_of_all_fronts_is_used_by_one_front_at_a_time(self):
        fleet = Fleet()
        fleet.advance(12)
        self.assertEqual([self.plays(end, f"a{n}") for n, end in enumerate(fleet.ends)].count(True), 1)
        fleet.advance(4)
        self.assertEqual([self.plays(end, f"b{n}") for n, end in enumerate(fleet.ends)].count(True), 0)
        self.assertEqual(sum(end.seats_in_use("clip", "t1") for end in fleet.ends), 1)

    def test_starting_front_restores_no_session_without_a_right(self):
        fleet = Fleet()
        for end in fleet.ends:
            with self.assertRaises(InvalidRequest):
                end.session_core.handed_over("clip", "t1", 1, end.servers()[0], "remembered", 1)

    def test_session_on_a_lent_seat_ends_when_its_front_is_cut_off(self):
        fleet = Fleet()
        fleet.advance(12)
        owner = next(end for end in fleet.ends if end.sharing.pools[SEAT].part(f"{SEAT}clip t1"))
        other = next(end for end in fleet.ends if end is not owner)
        self.assertFalse(self.plays(other, "a"))
        fleet.advance(1)
        self.assertTrue(self.plays(other, "b"))
        fleet.advance(20)
        self.assertEqual(other.seats_in_use("clip", "t1"), 1)
        fleet.cut.add(other.sharing.name)
        fleet.advance(5)
        self.assertEqual((other.seats_in_use("clip", "t1"), owner.seats_in_use("clip", "t1")), (0, 0))

    def test_free_further_tune_ins_are_shared_by_all_fronts(self):
        fleet = Fleet()
        fleet.advance(30)
        held = [end.session_core.rules._valid_rights(end.session_core.rules.further_rights) for end in fleet.ends]
        self.assertEqual(sum(held), 1)
        other = fleet.ends[held.index(0)]
        rules = other.session_core.rules
        self.assertFalse(rules._budget_left(SimpleNamespace(tune_ins=1)))
        fleet.advance(1)
        self.assertTrue(rules._budget_left(SimpleNamespace(tune_ins=1)))
        rules.further_times.append(fleet.clock)
        other.sharing.sent(other.servers()[0], True)
        fleet.advance(1)
        self.assertEqual(
            sum(end.session_core.rules._valid_rights(end.session_core.rules.further_rights) for end in fleet.ends), 0
        )
        self.assertEqual(other.sharing.pools[FURTHER].loans.got, 1)

    def test_uplinks_are_counted_over_fronts_as_links_are(self):
        fleet = Fleet(2)
        rack = fleet.ends[0].servers()[0].rack
        rack.link.own = fleet.ends[0].servers()[0].link.own = 700.0
        fleet.advance(2)
        there = fleet.ends[1].servers()[0].rack.link
        self.assertAlmostEqual(there.counted, 700.0)

    def test_probe_result_reaches_others_as_report_and_not_as_sign_of_life(self):
        fleet = Fleet(3)
        fleet.advance(1)
        for end in fleet.ends:
            for server in end.servers():
                server.link.own = 10.0
        one = fleet.ends[0]
        one.sharing.link_probed_for_all(one.servers()[0], 0.75)
        fleet.advance(1.5)
        others = [end.servers()[0] for end in fleet.ends]
        self.assertEqual([server.link.reported for server in others], [True] * 3)
        self.assertEqual([server.last_seen_at for server in others], [0] * 3)
        at = [server.link.reported_at for server in others]
        fleet.advance(1)
        self.assertEqual([server.link.reported_at for server in others], at)

    def test_possibly_cold_server_gets_set_ups_by_rights_only(self):
        # Two fronts that had just started sent set-ups by their ration without a right: 4 set-ups where the server could take 3.
        async_test = RulesFixture(1, fronts=40)
        server = async_test.servers[0]
        server.unproven_until = async_test.host.clock + 8 * SECOND
        async_test.rules.unproven_left = 2.0
        self.assertTrue(async_test.rules._may_send(server))
        async_test.rules.rights_dealt = True
        self.assertFalse(async_test.rules._may_send(server))
        server.rights = [(async_test.host.clock + SECOND, 2**63, 1)]
        self.assertFalse(async_test.rules._may_send(server))

    def test_new_server_gets_nothing_before_its_rights_are_known(self):
        # Three set-ups were sent on two rights: one by a front that had a right, two by a front whose turn it was by the clock.
        async_test = RulesFixture(1, fronts=1)
        server = async_test.servers[0]
        async_test.list(server, started=async_test.host.clock)
        self.assertTrue(async_test.rules._may_send(server))
        async_test.rules.rights_dealt = True
        self.assertFalse(async_test.rules._may_send(server))
        server.rights = [(0, 2**63, 1)]
        self.assertTrue(async_test.rules._may_send(server))


class LearningAtStart(unittest.TestCase):
    def seen(self):
        fleet = Fleet()
        for end in fleet.ends[1:]:
            for server in end.servers():
                server.last_seen_at = fleet.clock
        for _ in range(12):
            fleet.advance(1)
            for end in fleet.ends[1:]:
                for server in end.servers():
                    server.last_seen_at = fleet.clock
        return fleet

    def test_start_learns_from_peers_that_servers_are_warm(self):
        fleet = self.seen()
        fleet.fakes[0] = FakeDriver(fronts=3, me=0)
        end = fleet.ends[0] = End(fleet, 0, life=2)
        end.fake.clock = fleet.clock
        for server in end.servers():
            server.unproven_until = fleet.clock + 8 * SECOND
        self.assertFalse(end.sharing.learned())
        end.sharing.learn()
        self.assertTrue(end.sharing.learned())
        fleet.advance(0.25)
        self.assertEqual([server.unproven_until for server in end.servers()], [0] * 4)

    def test_cut_off_front_has_not_learned(self):
        fleet = Fleet()
        fleet.cut = {"f1", "f2"}
        fleet.ends[0].sharing.learn()
        self.assertFalse(fleet.ends[0].sharing.learned())

    def test_restored_evidence_is_aged_and_proves_nothing_warm(self):
        fleet = self.seen()
        for end in fleet.ends[1:]:
            end.servers()[0].fault_at = fleet.clock
        fleet.advance(1)
        kept = fleet.ends[0].sharing.snapshot()
        again = End(fleet, 0, life=2)
        again.sharing.restore(kept, 5 * SECOND)
        name = fleet.ends[0].servers()[0].name
        self.assertLess(
            again.sharing.evidence.faded_counts(name, "f1", fleet.clock)[1],
            fleet.ends[0].sharing.evidence.faded_counts(name, "f1", fleet.clock)[1],
        )
        self.assertGreater(again.sharing.evidence.faded_counts(name, "f1", fleet.clock)[1], 0)
        self.assertFalse(any(again.sharing.evidence.warm(server.name, 8 * SECOND, 0, fleet.clock) for server in again.servers()))
        empty = End(fleet, 0, life=3)
        empty.sharing.restore(kept, 1000 * SECOND)
        self.assertEqual((empty.sharing.evidence.observations, empty.sharing.counts.others), ({}, {}))


FIGURES = Figures(
    grace=0,
    warm_within=0,
    start_capacity=0,
    fall_multiple=0,
    fall_within=0,
    free_further=1,
    further_share=0.0,
    look_back=10 * SECOND,
    patience={},
    join_target={},
    value={},
    paid=set(),
    floor={},
    seats={"clip": 1},
)


class BudgetVerdict(unittest.TestCase):
    def day(self, *rows):
        events = [{"ev": "front-up", "at": 0, "front": front, "life": f"{front}.1"} for front in ("a", "b")]
        return judge_bounds(events + list(rows), FIGURES, frozenset(("further-tune-ins", "seats")))

    def setup(self, at, front, request, number=1, ends=None):
        facts = dict(server="s", boot="x", front=f"{front}.1", request=request, number=number, package="clip", title="t")
        rows = [
            {"ev": "setup", "at": at * SECOND, **facts},
            {"ev": "setup-over", "at": at * SECOND + MS, "how": "answered", **facts},
            {"ev": "session", "at": at * SECOND, "session": request, **facts},
        ]
        return rows + ([{"ev": "session-end", "at": ends * SECOND, "session": request}] if ends else [])

    def test_seats_are_counted_over_all_fronts(self):
        one_after_the_other = self.day(*self.setup(1, "a", "v1", ends=3), *self.setup(4, "b", "v2", ends=6))
        self.assertEqual((one_after_the_other["seats"]["overdrawn"], one_after_the_other["seats"]["checked"]), (0, 2))
        self.assertEqual(self.day(*self.setup(1, "a", "v1", ends=5), *self.setup(4, "b", "v2", ends=6))["seats"]["overdrawn"], 1)

    def test_further_tune_ins_are_counted_over_all_fronts(self):
        apart = self.day(*self.setup(1, "a", "v1", 2, 2), *self.setup(15, "b", "v2", 2, 16))
        self.assertEqual((apart["further"]["overdrawn"], apart["further"]["checked"]), (0, 2))
        self.assertEqual(self.day(*self.setup(1, "a", "v1", 2, 2), *self.setup(5, "b", "v2", 2, 6))["further"]["overdrawn"], 1)

    def test_harm_to_others_by_a_front_without_a_path_is_reported(self):
        def day(status):
            rows = [{"ev": "bad-path", "at": 20 * SECOND, "lasts": 8, "fronts": ["a"]}]
            for at in range(10, 28):
                rows += [
                    {"ev": "ask", "at": at * SECOND, "request": f"v{at}{n}", "package": "clip", "front": "b"} for n in range(5)
                ]
                rows += [
                    {
                        "ev": "answer",
                        "at": at * SECOND,
                        "request": f"v{at}{n}",
                        "front": "b",
                        "status": status if at >= 22 else 201,
                    }
                    for n in range(5)
                ]
            return self.day(*rows)["beside_bad_path"]["broken"]

        self.assertEqual((day(201), day(503)), (False, True))


if __name__ == "__main__":
    unittest.main()
