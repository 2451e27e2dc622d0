"""Budgets that all fronts have together beside cold servers': seats and further tune-ins; what a start learns of its peers."""

import random
import unittest
from types import SimpleNamespace

from curlewshift.emulator.loan_histories import overdrawn
from curlewshift.emulator.seat_histories import FAULTS, SeatHistory, UntoldHistory
from curlewshift.session_core.session_core import InvalidRequest
from curlewshift.sharing.budgets import FURTHER, SEAT
from curlewshift.sharing.sharing import Sharing
from curlewshift.sharing.standing import StandingLoans
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


class SeatNet:
    """Two fronts and one seat, the first's own; words are handed on by the test, or lost by it."""

    def __init__(self):
        self.clock, self.words, self.stands, self.ended = 100 * SECOND, [], [0, 0], []
        self.ending, self.out = False, [False, False]
        self.fronts = [
            StandingLoans(SeatEnd(self, number), number, TOGETHER.seat_terms(TERMS), 1000 * number) for number in range(2)
        ]
        for front in self.fronts:
            front.quiet_until = 0

    def later(self, seconds, heard=True):
        for _ in range(round(seconds * 4)):
            self.clock += SECOND // 4
            for front in self.fronts:
                front.time(lambda key: [0])
                if heard:
                    self.hand_on()
            self.words = self.words if heard else []

    def hand_on(self):
        while self.words:
            to, what, arguments = self.words.pop(0)
            getattr(self.fronts[to], what)(*arguments)

    def seat_at_the_other(self):
        self.fronts[1].wants("k")
        self.later(0.5)
        self.stands[1] = 1
        self.fronts[1].uses("k")
        return self


class SeatEnd:
    def __init__(self, net, number, life=1):
        self.net, self.number, self.life = net, number, life

    def now(self):
        return self.net.clock

    def part(self, key):
        return int(self.number == 0)

    def in_use(self, key):
        return self.net.stands[self.number]

    def ending(self, key):
        return self.net.ending

    def end_some(self, key, count):
        if self.net.out[self.number]:
            return
        self.net.ended.append((self.net.clock, self.number, count))
        self.net.stands[self.number] -= count

    def ask(self, lender, number, keys):
        self.net.words.append((lender, "asked", (self.number, number, keys, self.life)))

    def lend(self, borrower, number, rights):
        self.net.words.append((borrower, "lends", (self.number, number, rights)))

    def give_back(self, lender, number, key):
        self.net.words.append((lender, "given_back", (self.number, number, key)))


class Seats(unittest.TestCase):
    def test_a_seat_stays_lent_for_as_long_as_somebody_sits_on_it_and_returns_after(self):
        net = SeatNet().seat_at_the_other()
        net.later(60)
        self.assertEqual(([front.may_use("k") for front in net.fronts], net.ended), ([0, 1], []))
        net.stands[1] = 0
        net.later(0.5)
        self.assertEqual([front.may_use("k") for front in net.fronts], [0, 0])
        net.later(8)
        self.assertEqual([front.may_use("k") for front in net.fronts], [1, 0])

    def test_a_borrower_that_hears_nothing_ends_what_stands_on_it_before_the_lender_has_it_back(self):
        net = SeatNet().seat_at_the_other()
        net.later(30, heard=False)
        self.assertEqual((len(net.ended), net.stands), (1, [0, 0]))
        net = SeatNet().seat_at_the_other()
        began = net.clock
        while not net.fronts[0].may_use("k"):
            net.later(0.25, heard=False)
        self.assertLess(net.ended[0][0], net.clock - TOGETHER.lingers // 2)
        self.assertLess(net.ended[0][0], began + TOGETHER.seat_term)

    def test_a_later_life_of_the_borrower_does_not_get_what_an_earlier_one_left_somebody_sitting_on(self):
        net = SeatNet().seat_at_the_other()
        net.fronts[1] = StandingLoans(SeatEnd(net, 1, life=2), 1, TOGETHER.seat_terms(TERMS), 5000)
        net.fronts[1].quiet_until, net.stands[1] = 0, 0
        net.fronts[1].wants("k")
        net.later(2)
        self.assertEqual(net.fronts[1].may_use("k"), 0)

    def test_who_sits_on_its_own_seat_lends_it_to_nobody(self):
        net = SeatNet()
        net.stands[0] = 1
        net.fronts[1].wants("k")
        net.later(2)
        self.assertEqual([front.may_use("k") for front in net.fronts], [1, 0])

    def test_what_stands_on_a_loan_ends_when_the_loan_is_lost_by_a_doubted_clock_or_a_step_back(self):
        net = SeatNet().seat_at_the_other()
        net.fronts[1].withdraw(True)
        net.later(0.25)
        self.assertEqual((len(net.ended), net.stands), (1, [0, 0]))
        net = SeatNet().seat_at_the_other()
        net.clock -= SECOND
        net.later(0.25)
        self.assertEqual((len(net.ended), net.stands), (1, [0, 0]))

    def test_a_set_up_that_is_out_when_its_loan_ends_is_ended_once_it_plays(self):
        net = SeatNet().seat_at_the_other()
        net.out[1] = True
        net.later(TOGETHER.seat_term // SECOND + 1, heard=False)
        self.assertEqual((net.ended, net.stands), ([], [0, 1]))
        net.out[1] = False
        net.later(0.25, heard=False)
        self.assertEqual((len(net.ended), net.stands), (1, [0, 0]))

    def test_the_lender_waits_for_a_set_up_that_was_out_when_the_loan_ended(self):
        patient = TOGETHER.patient(lambda package: 3 * SECOND)
        self.assertGreater(patient.seat_terms(TERMS).back_after, TOGETHER.seat_terms(TERMS).back_after + 3 * SECOND)

    def test_an_ask_that_is_older_than_the_loan_does_not_name_it(self):
        net = SeatNet().seat_at_the_other()
        lender, (_, borrower, number) = net.fronts[0], net.fronts[0].lent["k"]
        lender.asked(borrower, number - 1, ["k"], 1)
        lender.given_back(borrower, number - 1, "k")
        until, *named = lender.lent["k"]
        self.assertEqual((named, until > lender.steady.last + lender.terms.rest), ([borrower, number], True))

    def test_a_seat_whose_end_its_server_may_not_have_heard_of_is_lent_to_nobody(self):
        net = SeatNet()
        net.ending = True
        net.fronts[1].wants("k")
        net.later(1)
        self.assertEqual([front.may_use("k") for front in net.fronts], [1, 0])
        net.ending = False
        net.later(0.5)
        self.assertEqual([front.may_use("k") for front in net.fronts], [0, 1])

    def test_no_more_ever_sit_than_there_are_seats(self):
        self.assertEqual(overdrawn(range(40), StandingLoans, SeatHistory), [])

    def test_each_planted_fault_is_found(self):
        for name, fault in FAULTS.items():
            self.assertTrue(any(overdrawn(range(seed, seed + 1), fault, SeatHistory) for seed in range(60)), name)
        self.assertTrue(any(overdrawn(range(seed, seed + 1), StandingLoans, UntoldHistory) for seed in range(60)))


class Fleet:
    """Fronts with desks whose words arrive at once, or not at all for who is `cut` off."""

    def __init__(self, size=3, together=TOGETHER):
        self.clock, self.cut, self.size, self.together = 1000 * SECOND, set(), size, together
        self.fakes = [FakeDriver(fronts=size, me=number) for number in range(size)]
        self.ends = [End(self, number) for number in range(size)]

    def later(self, seconds):
        for _ in range(round(seconds * 4)):
            self.clock += SECOND // 4
            for end in self.ends:
                end.fake.clock = self.clock
                end.sharing.time()


class End:
    def __init__(self, fleet, number, life=1):
        self.fleet, self.fake, self.life, self.spoken = fleet, fleet.fakes[number], life, 0
        self.session_core = self.fake.session_core
        self.sharing = Sharing(
            self, [f"f{n}" for n in range(fleet.size)], number, life, TERMS, 8 * SECOND, random.Random(number), fleet.together
        )

    def __getattr__(self, name):
        """Facts go to the desk."""
        return getattr(self.session_core, name)

    def say(self, to, what, *words):
        if {to, self.sharing.name} & self.fleet.cut:
            return
        getattr(self.fleet.ends[int(to[1:])].sharing, what)(self.sharing.name, *words)

    def now(self):
        return self.fleet.clock

    def servers(self):
        return list(self.session_core.rules.servers)

    def rights_of(self, server):
        return 0

    def members(self):
        return [f"f{n}" for n in range(self.fleet.size)]

    def ask(self, to, number, keys):
        self.say(to, "asked", self.life, number, keys)

    def lend(self, to, number, rights):
        self.say(to, "lent", number, rights)

    def give_back_to(self, to, number, key):
        self.say(to, "given_back", number, key)

    def told(self, to, what, rows):
        self.spoken += 1
        self.say(to, what, self.life, self.spoken, rows)

    def tell_use(self, to, rows):
        self.told(to, "use_told", rows)

    def tell_sums(self, to, rows):
        self.told(to, "sums_told", rows)

    def tell_seen(self, to, rows):
        self.told(to, "seen_told", rows)

    def tell_report(self, to, rows):
        self.say(to, "report_told", rows)

    def ask_what_is_known(self, to):
        self.say(to, "known_asked")

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

    def test_one_seat_of_all_fronts_goes_to_who_asks_and_to_nobody_else_meanwhile(self):
        fleet = Fleet()
        fleet.later(12)
        self.assertEqual([self.plays(end, f"a{n}") for n, end in enumerate(fleet.ends)].count(True), 1)
        fleet.later(4)
        self.assertEqual([self.plays(end, f"b{n}") for n, end in enumerate(fleet.ends)].count(True), 0)
        self.assertEqual(sum(end.seats_in_use("clip", "t1") for end in fleet.ends), 1)

    def test_a_front_that_starts_takes_nothing_up_that_it_has_no_right_for(self):
        fleet = Fleet()
        for end in fleet.ends:
            with self.assertRaises(InvalidRequest):
                end.session_core.handed_over("clip", "t1", 1, end.servers()[0], "remembered", 1)

    def test_what_sits_on_a_lent_seat_ends_when_its_front_hears_nobody(self):
        fleet = Fleet()
        fleet.later(12)
        owner = next(end for end in fleet.ends if end.sharing.pools[SEAT].part(f"{SEAT}clip t1"))
        other = next(end for end in fleet.ends if end is not owner)
        self.assertFalse(self.plays(other, "a"))
        fleet.later(1)
        self.assertTrue(self.plays(other, "b"))
        fleet.later(20)
        self.assertEqual(other.seats_in_use("clip", "t1"), 1)
        fleet.cut.add(other.sharing.name)
        fleet.later(5)
        self.assertEqual((other.seats_in_use("clip", "t1"), owner.seats_in_use("clip", "t1")), (0, 0))

    def test_the_free_further_tune_ins_are_the_fleets_and_not_each_fronts(self):
        fleet = Fleet()
        fleet.later(30)
        held = [end.session_core.rules._in_hand(end.session_core.rules.further_rights) for end in fleet.ends]
        self.assertEqual(sum(held), 1)
        other = fleet.ends[held.index(0)]
        rules = other.session_core.rules
        self.assertFalse(rules._budget_left(SimpleNamespace(tune_ins=1)))
        fleet.later(1)
        self.assertTrue(rules._budget_left(SimpleNamespace(tune_ins=1)))
        rules.further_times.append(fleet.clock)
        other.sharing.sent(other.servers()[0], True)
        fleet.later(1)
        self.assertEqual(sum(end.session_core.rules._in_hand(end.session_core.rules.further_rights) for end in fleet.ends), 0)
        self.assertEqual(other.sharing.pools[FURTHER].loans.got, 1)

    def test_uplinks_are_counted_over_fronts_as_links_are(self):
        fleet = Fleet(2)
        rack = fleet.ends[0].servers()[0].rack
        rack.link.own = fleet.ends[0].servers()[0].link.own = 700.0
        fleet.later(2)
        there = fleet.ends[1].servers()[0].rack.link
        self.assertAlmostEqual(there.counted, 700.0)

    def test_what_one_finds_for_all_reaches_the_others_as_a_report_and_not_as_a_sign_of_life(self):
        fleet = Fleet(3)
        fleet.later(1)
        for end in fleet.ends:
            for server in end.servers():
                server.link.own = 10.0
        one = fleet.ends[0]
        one.sharing.found_for_all(one.servers()[0], 0.75)
        fleet.later(1.5)
        others = [end.servers()[0] for end in fleet.ends]
        self.assertEqual([server.link.reported for server in others], [True] * 3)
        self.assertEqual([server.heard_at for server in others], [0] * 3)
        at = [server.link.reported_at for server in others]
        fleet.later(1)
        self.assertEqual([server.link.reported_at for server in others], at)

    def test_with_rights_dealt_out_nothing_goes_beside_them_to_a_server_that_may_be_cold(self):
        # two fronts that had just started sent by their ration what no right was there for: 4 set-ups where 3 were borne
        story = RulesFixture(1, fronts=40)
        server = story.servers[0]
        server.unproven_until = story.host.clock + 8 * SECOND
        story.rules.unproven_left = 2.0
        self.assertTrue(story.rules._may_send(server))
        story.rules.rights_dealt = True
        self.assertFalse(story.rules._may_send(server))
        server.rights = [(story.host.clock + SECOND, 2**63, 1)]
        self.assertFalse(story.rules._may_send(server))

    def test_a_server_that_is_new_gets_nothing_before_its_rights_are_told(self):
        # of two rights three were used: one by a front that had them, two by one whose turn it was by the clock
        story = RulesFixture(1, fronts=1)
        server = story.servers[0]
        story.list(server, started=story.host.clock)
        self.assertTrue(story.rules._may_send(server))
        story.rules.rights_dealt = True
        self.assertFalse(story.rules._may_send(server))
        server.rights = [(0, 2**63, 1)]
        self.assertTrue(story.rules._may_send(server))


class AtAStart(unittest.TestCase):
    def seen(self):
        fleet = Fleet()
        for end in fleet.ends[1:]:
            for server in end.servers():
                server.heard_at = fleet.clock
        for _ in range(12):
            fleet.later(1)
            for end in fleet.ends[1:]:
                for server in end.servers():
                    server.heard_at = fleet.clock
        return fleet

    def test_it_asks_what_its_peers_know_and_their_proofs_make_servers_warm(self):
        fleet = self.seen()
        fleet.fakes[0] = FakeDriver(fronts=3, me=0)
        end = fleet.ends[0] = End(fleet, 0, life=2)
        end.fake.clock = fleet.clock
        for server in end.servers():
            server.unproven_until = fleet.clock + 8 * SECOND
        self.assertFalse(end.sharing.learned())
        end.sharing.learn()
        self.assertTrue(end.sharing.learned())
        fleet.later(0.25)
        self.assertEqual([server.unproven_until for server in end.servers()], [0] * 4)

    def test_alone_it_goes_on_asking_and_is_held_up_by_whoever_holds_it_up(self):
        fleet = Fleet()
        fleet.cut = {"f1", "f2"}
        fleet.ends[0].sharing.learn()
        self.assertFalse(fleet.ends[0].sharing.learned())

    def test_what_was_kept_comes_back_older_by_the_time_between_and_proves_nothing_warm(self):
        fleet = self.seen()
        for end in fleet.ends[1:]:
            end.servers()[0].trouble_at = fleet.clock
        fleet.later(1)
        kept = fleet.ends[0].sharing.snapshot()
        again = End(fleet, 0, life=2)
        again.sharing.restore(kept, 5 * SECOND)
        name = fleet.ends[0].servers()[0].name
        self.assertLess(
            again.sharing.evidence.lean(name, "f1", fleet.clock)[1],
            fleet.ends[0].sharing.evidence.lean(name, "f1", fleet.clock)[1],
        )
        self.assertGreater(again.sharing.evidence.lean(name, "f1", fleet.clock)[1], 0)
        self.assertFalse(any(again.sharing.evidence.warm(server.name, 8 * SECOND, 0, fleet.clock) for server in again.servers()))
        empty = End(fleet, 0, life=3)
        empty.sharing.restore(kept, 1000 * SECOND)
        self.assertEqual((empty.sharing.evidence.words, empty.sharing.counts.others), ({}, {}))


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


class Judging(unittest.TestCase):
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

    def test_what_a_front_without_a_path_takes_from_the_others_is_told(self):
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
