"""What fronts share: rights in escrow, counts with ages, evidence on servers, and that they reach the rules as facts."""

import random
import unittest
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as some

from curlewshift.emulator.loan_histories import LoanHistory, overdrawn
from curlewshift.emulator.peers import PeerFleet
from curlewshift.emulator.shared import Shares, usual_terms
from curlewshift.emulator.sizes import made_up
from curlewshift.emulator.world import World
from curlewshift.experiments.one_run import measured
from curlewshift.membership.terms import default_membership_terms
from curlewshift.model_checker.budget_checker import FAULTS, walk_budgets
from curlewshift.peering.shared import KIND, SharedWire
from curlewshift.sharing.clock_watch import APART, ClockWatch
from curlewshift.sharing.counts import Counts, picked
from curlewshift.sharing.evidence import Evidence
from curlewshift.sharing.loans import Loans, dealt
from curlewshift.sharing.terms import SharedBudgets, SharingTerms
from curlewshift.standins.script import Trouble
from curlewshift.verdict.bounds import judge_bounds
from tests.fake import RulesFixture
from tests.fake_driver import FakeDriver

MS = 1_000_000
SECOND = 1000 * MS
TERMS = SharingTerms(term=SECOND, drift=0.01, window=SECOND, every=SECOND // 4)


class Net:
    """Fronts whose words are handed on by the test, or lost by it. Each key has one right, the first front's own."""

    def __init__(self, size=3, kind=Loans):
        self.clock, self.words = 10 * SECOND, []
        self.fronts = []
        for number in range(size):
            self.fronts.append(kind(NetEnd(self, number), number, TERMS, 1000 * number))
            self.fronts[-1].quiet_until = 0

    def later(self, seconds):
        """Rounds go on meanwhile, as they do in a process."""
        for _ in range(max(1, round(seconds * 4))):
            self.clock += int(seconds * SECOND) // max(1, round(seconds * 4))
            for front in self.fronts:
                front.time(lambda key: [])

    def want(self, number):
        self.fronts[number].wants("k")
        self.fronts[number].time(lambda key: [0])

    def hand_on(self, keep=False):
        words, self.words = self.words, []
        for to, what, arguments in words:
            getattr(self.fronts[to], what)(*arguments)
        if keep:
            self.words = words + self.words

    def rights(self):
        return [front.may_use("k") for front in self.fronts]


class NetEnd:
    def __init__(self, net, number):
        self.net, self.number, self.offset = net, number, 0

    def now(self):
        return self.net.clock + self.offset

    def part(self, key):
        return int(self.number == 0)

    def ask(self, lender, number, keys):
        self.net.words.append((lender, "asked", (self.number, number, keys)))

    def lend(self, borrower, number, rights):
        self.net.words.append((borrower, "lends", (self.number, number, rights)))

    def give_back(self, lender, number, key):
        self.net.words.append((lender, "given_back", (self.number, number, key)))


class Rights(unittest.TestCase):
    def lent(self, **more):
        net = Net(**more)
        net.want(1)
        net.hand_on()
        self.assertEqual(net.rights(), [0, 0, 0])
        return net

    def test_a_right_is_in_one_pair_of_hands_or_in_flight_and_comes_back(self):
        net = self.lent()
        net.hand_on()
        self.assertEqual(net.rights(), [0, 1, 0])
        net.later(1)
        self.assertEqual(net.rights(), [0, 0, 0])
        net.later(TERMS.back_after / SECOND)
        self.assertEqual(net.rights(), [1, 0, 0])

    def test_used_it_goes_back_before_its_term_and_rests(self):
        net = self.lent()
        net.hand_on()
        net.fronts[1].uses("k")
        net.later(0.25)
        self.assertEqual(net.rights(), [0, 0, 0])
        net.hand_on()
        net.later(1.8)
        self.assertEqual(net.rights()[0], 0)
        net.later(0.5)
        self.assertEqual(net.rights(), [1, 0, 0])

    def test_cut_with_the_right_in_flight_it_comes_back_by_the_lenders_own_clock(self):
        net = self.lent()
        net.words.clear()
        net.later(TERMS.back_after / SECOND + 0.5)
        self.assertEqual(net.rights(), [1, 0, 0])

    def test_a_doubled_hand_over_is_one_and_a_late_one_none(self):
        net = self.lent()
        net.hand_on(keep=True)
        net.hand_on(keep=True)
        self.assertEqual((net.rights(), net.fronts[1].got), ([0, 1, 0], 1))
        late = self.lent()
        kept, late.words = late.words, []
        late.later(1.1)
        late.words = kept
        late.hand_on()
        self.assertEqual((late.rights(), late.fronts[1].late), ([0, 0, 0], 1))

    def test_a_word_that_gives_back_an_earlier_loan_frees_no_later_one(self):
        net = self.lent()
        net.hand_on()
        net.fronts[1].uses("k")
        net.later(0.25)
        net.hand_on(keep=True)
        back = list(net.words)
        net.words.clear()
        net.later(3)
        net.want(2)
        net.hand_on()
        net.hand_on()
        self.assertEqual(net.rights(), [0, 0, 1])
        net.words = back
        net.hand_on()
        self.assertEqual(net.rights()[0], 0)
        net.later(1.5)
        self.assertEqual(net.rights()[0], 0)

    def test_a_front_that_starts_again_holds_nothing_and_uses_nothing_until_all_it_may_have_lent_is_over(self):
        net = self.lent()
        net.hand_on()
        net.fronts[0] = Loans(NetEnd(net, 0), 0, TERMS)
        net.fronts[1] = Loans(NetEnd(net, 1), 1, TERMS)
        self.assertEqual(net.rights(), [0, 0, 0])
        net.want(2)
        net.hand_on()
        self.assertEqual(net.words, [])
        net.later(TERMS.quiet / SECOND + 0.5)
        self.assertEqual(net.rights(), [1, 0, 0])

    def test_paused_with_a_right_in_hand_it_wakes_without(self):
        net = self.lent()
        net.hand_on()
        net.clock += 60 * SECOND
        self.assertEqual(net.fronts[1].may_use("k"), 0)

    def test_a_lender_whose_clock_is_set_ahead_waits_and_a_borrower_whose_is_set_back_stops(self):
        net = self.lent()
        net.hand_on()
        net.fronts[0].driver.offset = 600 * SECOND
        self.assertEqual(net.fronts[0].may_use("k"), 0)
        net.fronts[1].driver.offset = -600 * SECOND
        self.assertEqual(net.rights(), [0, 0, 0])
        # the lender has taken the step for a stall of its own
        net.later(TERMS.back_after / SECOND + 1)
        self.assertEqual(net.rights(), [1, 0, 0])

    def test_who_needs_its_part_or_has_just_used_it_does_not_lend(self):
        for before in (lambda front: front.wants("k"), lambda front: front.uses("k")):
            net = Net()
            before(net.fronts[0])
            net.want(1)
            net.hand_on()
            self.assertEqual((net.words, net.fronts[0].refused), ([], 1))

    def test_past_the_bound_of_its_clock_it_neither_lends_nor_borrows(self):
        net = self.lent()
        net.hand_on()
        net.fronts[1].withdraw(True)
        self.assertEqual(net.rights(), [0, 0, 0])
        net.later(4)
        net.fronts[0].withdraw(True)
        net.want(2)
        net.hand_on()
        self.assertEqual((net.words, net.rights()), ([], [1, 0, 0]))

    def test_200_fronts_and_3_rights(self):
        parts = [dealt(3, number, 200, 777) for number in range(200)]
        self.assertEqual((sum(parts), max(parts)), (3, 1))
        # lists of two versions: together no more than the higher says
        views = [dealt(rights, number, 200, 777) for number, rights in enumerate([2, 3, 5] * 66 + [5, 5])]
        self.assertLessEqual(sum(views), 5)
        lending, alone = LoanHistory(0, fronts=200), LoanHistory(0, kind=NoLoans, fronts=200)
        for history in (lending, alone):
            history.rights = {key: 3 for key in history.rights}
            history.loss, history.late, history._trouble = 0.0, 5 * MS, lambda: None
            history.run()
        self.assertGreater(lending.used_count, 2 * alone.used_count)


class Proof(unittest.TestCase):
    def test_no_order_of_a_small_world_uses_more_than_there_is_and_each_planted_fault_does(self):
        done = walk_budgets(8)
        self.assertEqual((done.breach, done.cut_off), ("", False))
        self.assertGreater(done.states, 5_000)
        for name, fault in FAULTS.items():
            broken = walk_budgets(9, loans=fault)
            self.assertIn("uses within one window", broken.breach, name)
            self.assertEqual(broken.course[-1][0], "use")

    def test_random_histories_keep_every_budget_and_planted_faults_do_not(self):
        self.assertEqual(overdrawn(range(120)), [])
        for name, fault in FAULTS.items():
            self.assertTrue(overdrawn(range(40), fault), name)

    def test_loans_are_of_use_where_rights_are_few(self):
        with_loans, without = 0, 0
        for seed in range(12):
            lending, alone = LoanHistory(seed, fronts=40), LoanHistory(seed, kind=NoLoans, fronts=40)
            for history in (lending, alone):
                history.rights = {key: 4 for key in history.rights}
                history.loss, history.late = 0.0, 5 * MS
                history._trouble = lambda: None
                history.run()
            with_loans, without = with_loans + lending.used_count, without + alone.used_count
        self.assertGreater(with_loans, 1.2 * without)


class NoLoans(Loans):
    def wants(self, key):
        pass


class CountsOfUse(unittest.TestCase):
    @settings(max_examples=80, deadline=None)
    @given(
        some.lists(
            some.tuples(some.sampled_from("abc"), some.integers(1, 2), some.integers(1, 4), some.floats(0, 9)), max_size=10
        ),
        some.randoms(use_true_random=False),
    )
    def test_last_words_merge_to_the_same_in_any_order_grouping_and_number(self, words, rng):
        # one word of a life and number is one word
        words = list({word[:3]: word for word in words}.values())

        def heard(of):
            counts = Counts("me", TERMS)
            for front, life, number, value in of:
                counts.heard(front, life, number, [("k", value)], SECOND)
            return counts

        def seen(counts):
            return {name: (word.life, word.number, word.value) for name, word in counts.words.get("k", {}).items()}

        order = words * 2
        rng.shuffle(order)
        whole = seen(heard(words))
        self.assertEqual(seen(heard(order)), whole)
        cut = len(words) // 2
        one, other = heard(words[:cut]), heard(words[cut:])
        other.merged(one)
        one.merged(heard(words[cut:]))
        one.merged(other)
        self.assertEqual((seen(one), seen(other)), (whole, whole))

    def test_each_hears_what_the_others_use_and_old_words_count_for_less_and_at_last_for_nothing(self):
        adder = Counts("x", TERMS)
        for front, value in (("a", 100.0), ("b", 40.0)):
            adder.heard(front, 1, 1, [("k", value)], 0)
        self.assertEqual([row[1] for row in adder.sums("a", ["k"], SECOND)], [40.0])
        self.assertAlmostEqual(adder.sums("a", ["k"], 5 * SECOND)[0][1], 20.0)
        self.assertEqual(adder.sums("a", ["k"], 8 * SECOND)[0][1], 0.0)
        adder.forget(9 * SECOND)
        self.assertEqual(adder.words, {})
        user = Counts("a", TERMS)
        user.wanted({"k": 100.0})
        user.told("x", 1, 2, [("k", 40.0, 0, -1.0, 0)], SECOND)
        user.told("x", 1, 1, [("k", 999.0, 0, -1.0, 0)], SECOND)
        self.assertEqual(user.of_others("k", 2 * SECOND), (40.0, SECOND))
        self.assertIsNone(user.of_others("k", 10 * SECOND))

    def test_only_what_changed_is_told_and_all_again_from_time_to_time_and_an_end_once(self):
        counts = Counts("a", TERMS)
        counts.wanted({"k": 100.0, "l": 0.0})
        told = [counts.due() for _ in range(4)]
        self.assertEqual([len(rows) for rows in told], [2, 0, 2, 0])
        counts.wanted({})
        self.assertEqual(counts.due(), [("k", 0.0)])
        counts.wanted({})
        self.assertEqual(counts.due(), [])

    def test_who_adds_up_moves_for_few_keys_when_one_goes(self):
        names, keys = [f"f{n}" for n in range(10)], [f"s{n}" for n in range(1000)]
        before = {key: picked(key, names) for key in keys}
        moved = [key for key in keys if picked(key, names[:-1]) != before[key]]
        self.assertEqual({before[key] for key in moved}, {"f9"})


class OnServers(unittest.TestCase):
    def evidence(self, said):
        evidence = Evidence("me", TERMS)
        for front, rows in said.items():
            evidence.heard(front, 1, 1, rows, 0)
        return evidence

    def test_one_with_a_bad_path_of_its_own_condemns_nobody(self):
        well = {front: [(f"s{n}", 4.0, 0.0, 0) for n in range(6)] for front in ("a", "b", "c")}
        evidence = self.evidence({**well, "liar": [(f"s{n}", 0.0, 6.0, 0) for n in range(6)]})
        self.assertEqual(evidence.doubts(0), {})
        self.assertLess(evidence.standing(0)["liar"], 0.1)
        # nor two who say it of one on which most see well
        evidence = self.evidence({**well, "d": [("s0", 0.0, 2.0, 0)]})
        self.assertEqual(evidence.doubts(0), {})

    def test_what_several_found_bad_is_doubted_and_cleared_by_what_they_see_later(self):
        evidence = self.evidence({front: [("s0", 0.2, 3.0, 0), ("s1", 4.0, 0.0, 0)] for front in ("a", "b", "c")})
        self.assertEqual(list(evidence.doubts(0)), ["s0"])
        for front in ("a", "b", "c"):
            evidence.heard(front, 1, 2, [("s0", 1.5, 1.5, 0)], SECOND)
        # between the marks it stays as it was: one that flaps does not flap the fleet
        self.assertEqual(list(evidence.doubts(SECOND)), ["s0"])
        for front in ("a", "b", "c"):
            evidence.heard(front, 1, 3, [("s0", 4.0, 0.5, 0)], 2 * SECOND)
        self.assertEqual(evidence.doubts(2 * SECOND), {})
        self.assertEqual(len(evidence.why("s0", 2 * SECOND)), 3)

    def test_a_front_that_sees_half_of_them_truly_bad_keeps_its_weight(self):
        bad = [(f"s{n}", 0.0, 3.0, 0) for n in range(5)]
        evidence = self.evidence({front: bad + [(f"s{n}", 3.0, 0.0, 0) for n in range(5, 10)] for front in "abc"})
        self.assertEqual(sorted(evidence.doubts(0)), [f"s{n}" for n in range(5)])
        self.assertEqual(evidence.standing(0).get("a", 1.0), 1.0)

    def test_warmth_needs_two_who_saw_it_since_this_front_started_and_none_who_saw_it_fail(self):
        def warm(said, since=0):
            evidence = Evidence("me", TERMS)
            for _number, (front, good, bad, lasting) in enumerate(said):
                evidence.heard(front, 1, 1, [("s", good, bad, lasting)], SECOND)
            return evidence.warm("s", 8 * SECOND, since, SECOND)

        long, short = 60 * SECOND, 5 * SECOND
        self.assertTrue(warm([("a", 3, 0, long), ("b", 2, 0, long)]))
        self.assertFalse(warm([("a", 3, 0, long)]))
        self.assertFalse(warm([("a", 3, 0, long), ("me", 3, 0, long)]))
        self.assertFalse(warm([("a", 3, 0, long), ("b", 2, 0, short)]))
        self.assertFalse(warm([("a", 3, 0, long), ("b", 2, 0, long), ("c", 0, 2, 0)]))
        self.assertFalse(warm([("a", 3, 0, long), ("b", 2, 0, long)], since=2 * SECOND))

    def test_words_merge_in_any_order(self):
        rng, words = (
            random.Random(1),
            [(front, life, number, float(number)) for front in "ab" for life in (1, 2) for number in (1, 2, 3)],
        )
        ends = set()
        for _ in range(20):
            rng.shuffle(words)
            evidence = Evidence("me", TERMS)
            for front, life, number, good in words:
                evidence.heard(front, life, number, [("s", good, 0.0, 0)], 0)
            ends.add(tuple(sorted((front, word.life, word.number, word.good) for front, word in evidence.words["s"].items())))
        self.assertEqual(len(ends), 1)


class Clocks(unittest.TestCase):
    def watch(self, pace, others=(1.0, 1.0, 1.0)):
        watch = ClockWatch(0.01)
        for step in (0, 1):
            for number, rate in enumerate(others):
                watch.heard(f"f{number}", 1, int(step * APART * 1.1 * rate) + 5, int(step * APART * 1.1 * pace) + 9)
        return watch

    def test_a_clock_past_the_bound_is_told_by_the_median_of_the_peers(self):
        self.assertFalse(self.watch(1.01).past_bound())
        self.assertTrue(self.watch(1.05).past_bound())
        self.assertTrue(self.watch(0.95).past_bound())
        self.assertFalse(self.watch(1.0, (1.0, 1.0, 1.3)).past_bound())
        self.assertFalse(self.watch(1.5, (1.0,)).past_bound())

    def out(self, pace, late, seed=1):
        """For how many of 240 quarters of a second it holds itself for off, where a third of all words are so late (ns) at
        most."""
        watch, rng, out = ClockWatch(0.01), random.Random(seed), 0
        words = []
        for step in range(240):
            true = step * SECOND // 4
            for peer in range(7):
                if rng.random() < 0.4:
                    way = rng.randrange(late) if late and rng.random() < 0.3 else rng.randrange(2_000_000)
                    words.append((true + way, f"f{peer}", true))
            words.sort()
            while words and words[0][0] <= true:
                at, peer, reading = words.pop(0)
                watch.heard(peer, 1, reading, int(at * pace))
            out += watch.past_bound()
        return out

    def test_late_words_do_not_take_a_right_clock_for_a_wrong_one_nor_a_wrong_one_for_right(self):
        for seed in range(4):
            self.assertEqual([self.out(pace, 3 * SECOND, seed) for pace in (0.99, 1.0, 1.01)], [0, 0, 0])
            for pace in (0.95, 1.05):
                # all but the first APART, and a moment
                self.assertGreater(self.out(pace, 3 * SECOND, seed), 240 - 4 * (APART // SECOND) - 20)


class OnTheChannel(unittest.TestCase):
    """Words as bytes between two fronts, on the channel that serves."""

    def pair(self):
        fleet = PeerFleet(2, 1, default_membership_terms(SECOND // 2))
        fleet.start()
        fleet.until(fleet.agreed, 5)
        ends = []
        for post in fleet.posts:
            session_core = FakeDriver(servers=1, fronts=2).session_core
            ends.append(
                SharedWire(
                    post.channel,
                    session_core,
                    ["f0", "f1"],
                    post.number,
                    TERMS,
                    SharedBudgets(),
                    8 * SECOND,
                    post.now,
                    mock.Mock(),
                    random.Random(post.number),
                )
            )
        return fleet, ends

    def rounds(self, fleet, ends, seconds):
        for _ in range(int(seconds * 4)):
            for end in ends:
                end.sharing.time()
            fleet.run(0.25)

    def test_use_is_heard_of_and_a_right_goes_where_it_is_wanted(self):
        fleet, (one, other) = self.pair()
        server = next(iter(one.session_core.rules.servers))
        server.link.own = 300.0
        # one right in all, after the silence of the start
        with mock.patch.object(type(one.session_core.rules), "rights_of", lambda rules, server: 1):
            self.rounds(fleet, (one, other), 5)
            there = next(iter(other.session_core.rules.servers))
            self.assertAlmostEqual(there.link.counted, 300.0)
            owner, wanting = (one, other) if one.sharing.part("s0") else (other, one)
            wanting.servers()[0].wanted_at = 1
            self.rounds(fleet, (one, other), 1)
            self.assertEqual(
                (
                    sum(count for since, until, count in wanting.servers()[0].rights if since <= wanting.now()),
                    owner.sharing.loans.given,
                ),
                (1, 1),
            )
            shown = next(row for row in owner.show()["servers"] if row["server"] == "s0")
            self.assertEqual((shown["rights"], shown["own"], shown["lent_to"]), (0, 1, wanting.sharing.name))

    def test_what_is_malformed_is_counted_and_costs_nothing_else(self):
        fleet, (one, other) = self.pair()
        to = one.channel.membership.members["f1"]
        for body in (
            b"",
            b"\xc1",
            msgspec.msgpack.encode([9, 1, 1]),
            msgspec.msgpack.encode([4, 1, 1, [], [], [["s", -1.0]]]),
            msgspec.msgpack.encode([4, 1, 1, [], [], [["s", float("nan")]]]),
        ):
            one.channel.say(to, KIND, body)
        self.rounds(fleet, (one, other), 1)
        self.assertEqual((other.malformed, other.channel.membership.size), (5, 2))


class InTheRules(unittest.TestCase):
    """What is shared reaches the rules as facts; without them each decides as alone."""

    def cold(self, **changed):
        story = RulesFixture(1, fronts=40, **changed)
        story.list(story.servers[0], started=story.host.clock)
        return story, story.servers[0]

    def test_rights_in_hand_bound_what_is_sent_in_place_of_the_even_part(self):
        story, server = self.cold()
        now = story.host.clock
        story.rules.rights_dealt = True
        self.assertEqual(story.rules.rights_of(server), 2)
        server.rights = [(now + SECOND, 2**62, 1)]
        self.assertFalse(story.rules._may_send(server))
        self.assertEqual(server.wanted_at, now)
        server.rights = [(0, now + SECOND, 1)]
        self.assertTrue(story.rules._may_send(server))
        server.sent.append(now)
        self.assertFalse(story.rules._may_send(server))
        story.advance(SECOND + 1)
        self.assertFalse(story.rules._may_send(server))

    def test_a_count_stands_in_place_of_reports_while_it_is_fresh(self):
        story = RulesFixture(1, size=1000.0)
        rules, link = story.rules, story.servers[0].link
        rules.link_told(story.servers[0], 0.9)
        reported = rules._use(link)
        rules.counted(story.servers[0].link, 100.0, 0)
        self.assertAlmostEqual(rules._use(link), 100.0)
        # what reports go on to show beyond it is added
        for _ in range(20):
            story.advance(SECOND)
            rules.counted(story.servers[0].link, 100.0, 0)
            rules.link_told(story.servers[0], 0.5)
        self.assertAlmostEqual(rules._use(link), 500.0, delta=30)
        story.advance(3 * SECOND)
        self.assertNotEqual(rules._use(link), reported)
        self.assertAlmostEqual(rules._use(link), rules._others(link))

    def test_doubt_weighs_with_who_has_not_heard_of_the_server_of_late(self):
        story = RulesFixture(1)
        server = story.servers[0]
        server.doubted = True
        story.rules.link_told(server, 0.1)
        self.assertFalse(story.rules._sick(server))
        story.advance(3 * SECOND)
        self.assertTrue(story.rules._sick(server))

    def test_a_server_that_others_used_for_long_is_unproven_no_more(self):
        story = RulesFixture(1, warm=False, fronts=400)
        server = story.servers[0]
        server.sent.append(story.host.clock)
        self.assertFalse(story.rules._may_send(server))
        story.rules.seen_warm(server)
        self.assertTrue(story.rules._may_send(server))


class AsOne(unittest.TestCase):
    """Deployments in virtual time, with the fronts' own desks and rules; figures are simulated."""

    def figures(self, shared, seed=1, troubles=(), fronts=32, servers=24, lasts=30, traffic=None, **more):
        script = made_up(fronts, servers, 1200, lasts, 0.9, seed, 20.0, list(troubles))
        shares = Shares(usual_terms(script.site.obligations.fall_within), **more) if shared else None
        world = World(script, seed, traffic, shared=shares)
        world.run()
        return measured(world, 0)

    def test_many_fronts_that_share_leave_fewer_seconds_short_and_serve_as_much(self):
        alone, shared = self.figures(False), self.figures(True)
        self.assertLess(shared["short-part"], 0.5 * alone["short-part"])
        self.assertGreater(shared["well-served"], alone["well-served"] - 0.01)

    def test_a_fleet_in_which_nobody_hears_does_as_well_as_alone(self):
        alone, deaf = self.figures(False), self.figures(True, loss=1.0)
        self.assertGreater(deaf["well-served"], alone["well-served"] - 0.01)
        self.assertEqual(round(deaf["short-part"], 1), round(alone["short-part"], 1))

    def test_half_the_servers_lost_and_back_cold_under_sharing_fronts_breaks_no_bound(self):
        from curlewshift.fault_injection.rehearse import figures_of
        from curlewshift.verdict.verdict import judge

        troubles = [Trouble("crash", 8, 3, 0.5, 1.0), Trouble("front-crash", 12, 1, 0.3, 1.0)]
        traffic = []
        script = made_up(16, 12, 1200, 30, 0.9, 1, 20.0, troubles)
        World(script, 1, traffic, shared=Shares(usual_terms(script.site.obligations.fall_within), loss=0.2)).run()
        verdict = judge(traffic, figures_of(script.site))
        self.assertEqual([rule["broken"] for rule in verdict["rules"].values()], [0] * 6)
        bounds = judge_bounds(traffic, figures_of(script.site))
        self.assertEqual((bounds["overdrawn"], bounds["cold_starts"]), (0, 6), bounds)
        self.assertGreater(bounds["checked"], 20)


if __name__ == "__main__":
    unittest.main()
