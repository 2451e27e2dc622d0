"""Tests of sharing: rights in escrow, counts with ages, evidence on servers, and how they reach the rules as facts."""

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
from curlewshift.experiments.one_run import run_figures
from curlewshift.membership.terms import default_membership_terms
from curlewshift.model_checker.budget_checker import FAULTS, walk_budgets
from curlewshift.peering.shared import KIND, SharingProtocol
from curlewshift.sharing.clock_watch import MIN_SPACING_NS, ClockWatch
from curlewshift.sharing.counts import Counts, pick_by_rendezvous
from curlewshift.sharing.evidence import Evidence
from curlewshift.sharing.loans import Loans, initial_share
from curlewshift.sharing.terms import SharedBudgets, SharingTerms
from curlewshift.standins.script import Trouble
from curlewshift.verdict.bounds import judge_bounds
from tests.fake import RulesFixture
from tests.fake_driver import FakeDriver

MS = 1_000_000
SECOND = 1000 * MS
TERMS = SharingTerms(term=SECOND, drift=0.01, window=SECOND, every=SECOND // 4)


class LoanNetwork:
    """Fronts whose messages the test delivers or drops. Each key has one right, the first front's own."""

    def __init__(self, size=3, kind=Loans):
        self.clock, self.messages = 10 * SECOND, []
        self.fronts = []
        for number in range(size):
            self.fronts.append(kind(LoanEndpoint(self, number), number, TERMS, 1000 * number))
            self.fronts[-1].quiet_until = 0

    def advance(self, seconds):
        """Advances the clock with the usual rounds, as in a process."""
        for _ in range(max(1, round(seconds * 4))):
            self.clock += int(seconds * SECOND) // max(1, round(seconds * 4))
            for front in self.fronts:
                front.time(lambda key: [])

    def want(self, number):
        self.fronts[number].wants("k")
        self.fronts[number].time(lambda key: [0])

    def deliver(self, keep=False):
        messages, self.messages = self.messages, []
        for to, what, arguments in messages:
            getattr(self.fronts[to], what)(*arguments)
        if keep:
            self.messages = messages + self.messages

    def rights(self):
        return [front.may_use("k") for front in self.fronts]


class LoanEndpoint:
    def __init__(self, net, number):
        self.net, self.number, self.offset = net, number, 0

    def now(self):
        return self.net.clock + self.offset

    def part(self, key):
        return int(self.number == 0)

    def ask(self, lender, number, keys):
        self.net.messages.append((lender, "loan_requested", (self.number, number, keys)))

    def lend(self, borrower, number, rights):
        self.net.messages.append((borrower, "loan_received", (self.number, number, rights)))

    def give_back(self, lender, number, key):
        self.net.messages.append((lender, "loan_returned", (self.number, number, key)))


class LoanedRights(unittest.TestCase):
    def lent(self, **more):
        net = LoanNetwork(**more)
        net.want(1)
        net.deliver()
        self.assertEqual(net.rights(), [0, 0, 0])
        return net

    def test_right_has_one_owner_or_is_in_flight_and_returns(self):
        net = self.lent()
        net.deliver()
        self.assertEqual(net.rights(), [0, 1, 0])
        net.advance(1)
        self.assertEqual(net.rights(), [0, 0, 0])
        net.advance(TERMS.back_after / SECOND)
        self.assertEqual(net.rights(), [1, 0, 0])

    def test_used_right_returns_before_its_term_and_rests(self):
        net = self.lent()
        net.deliver()
        net.fronts[1].uses("k")
        net.advance(0.25)
        self.assertEqual(net.rights(), [0, 0, 0])
        net.deliver()
        net.advance(1.8)
        self.assertEqual(net.rights()[0], 0)
        net.advance(0.5)
        self.assertEqual(net.rights(), [1, 0, 0])

    def test_right_lost_in_flight_returns_by_the_lenders_clock(self):
        net = self.lent()
        net.messages.clear()
        net.advance(TERMS.back_after / SECOND + 0.5)
        self.assertEqual(net.rights(), [1, 0, 0])

    def test_duplicate_loan_counts_once_and_late_loan_not_at_all(self):
        net = self.lent()
        net.deliver(keep=True)
        net.deliver(keep=True)
        self.assertEqual((net.rights(), net.fronts[1].got), ([0, 1, 0], 1))
        late = self.lent()
        delayed, late.messages = late.messages, []
        late.advance(1.1)
        late.messages = delayed
        late.deliver()
        self.assertEqual((late.rights(), late.fronts[1].late), ([0, 0, 0], 1))

    def test_return_of_an_earlier_loan_does_not_free_a_later_one(self):
        net = self.lent()
        net.deliver()
        net.fronts[1].uses("k")
        net.advance(0.25)
        net.deliver(keep=True)
        returns = list(net.messages)
        net.messages.clear()
        net.advance(3)
        net.want(2)
        net.deliver()
        net.deliver()
        self.assertEqual(net.rights(), [0, 0, 1])
        net.messages = returns
        net.deliver()
        self.assertEqual(net.rights()[0], 0)
        net.advance(1.5)
        self.assertEqual(net.rights()[0], 0)

    def test_restarted_front_uses_nothing_until_earlier_loans_are_over(self):
        net = self.lent()
        net.deliver()
        net.fronts[0] = Loans(LoanEndpoint(net, 0), 0, TERMS)
        net.fronts[1] = Loans(LoanEndpoint(net, 1), 1, TERMS)
        self.assertEqual(net.rights(), [0, 0, 0])
        net.want(2)
        net.deliver()
        self.assertEqual(net.messages, [])
        net.advance(TERMS.quiet / SECOND + 0.5)
        self.assertEqual(net.rights(), [1, 0, 0])

    def test_borrowed_right_expires_during_a_pause(self):
        net = self.lent()
        net.deliver()
        net.clock += 60 * SECOND
        self.assertEqual(net.fronts[1].may_use("k"), 0)

    def test_clock_steps_make_the_lender_wait_and_the_borrower_stop(self):
        net = self.lent()
        net.deliver()
        net.fronts[0].driver.offset = 600 * SECOND
        self.assertEqual(net.fronts[0].may_use("k"), 0)
        net.fronts[1].driver.offset = -600 * SECOND
        self.assertEqual(net.rights(), [0, 0, 0])
        # the lender counts the step as a stall of its own process
        net.advance(TERMS.back_after / SECOND + 1)
        self.assertEqual(net.rights(), [1, 0, 0])

    def test_share_that_is_needed_or_was_just_used_is_not_lent(self):
        for before in (lambda front: front.wants("k"), lambda front: front.uses("k")):
            net = LoanNetwork()
            before(net.fronts[0])
            net.want(1)
            net.deliver()
            self.assertEqual((net.messages, net.fronts[0].refused), ([], 1))

    def test_front_past_the_drift_bound_neither_lends_nor_borrows(self):
        net = self.lent()
        net.deliver()
        net.fronts[1].withdraw(True)
        self.assertEqual(net.rights(), [0, 0, 0])
        net.advance(4)
        net.fronts[0].withdraw(True)
        net.want(2)
        net.deliver()
        self.assertEqual((net.messages, net.rights()), ([], [1, 0, 0]))

    def test_three_rights_among_200_fronts(self):
        parts = [initial_share(3, number, 200, 777) for number in range(200)]
        self.assertEqual((sum(parts), max(parts)), (3, 1))
        # views of different versions: together no more rights than the highest view
        views = [initial_share(rights, number, 200, 777) for number, rights in enumerate([2, 3, 5] * 66 + [5, 5])]
        self.assertLessEqual(sum(views), 5)
        lending, alone = LoanHistory(0, fronts=200), LoanHistory(0, kind=NoLoans, fronts=200)
        for history in (lending, alone):
            history.rights = {key: 3 for key in history.rights}
            history.loss, history.max_delay, history._inject_fault = 0.0, 5 * MS, lambda: None
            history.run()
        self.assertGreater(lending.successes, 2 * alone.successes)


class NeverOverdrawn(unittest.TestCase):
    def test_model_checker_finds_overuse_only_with_planted_faults(self):
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

    def test_loans_raise_the_use_of_scarce_rights(self):
        with_loans, without = 0, 0
        for seed in range(12):
            lending, alone = LoanHistory(seed, fronts=40), LoanHistory(seed, kind=NoLoans, fronts=40)
            for history in (lending, alone):
                history.rights = {key: 4 for key in history.rights}
                history.loss, history.max_delay = 0.0, 5 * MS
                history._inject_fault = lambda: None
                history.run()
            with_loans, without = with_loans + lending.successes, without + alone.successes
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
    def test_last_reports_merge_the_same_in_any_order_grouping_and_number(self, reports, rng):
        # at most one report for each life and number
        reports = list({report[:3]: report for report in reports}.values())

        def counts_from(of):
            counts = Counts("me", TERMS)
            for front, life, number, value in of:
                counts.use_received(front, life, number, [("k", value)], SECOND)
            return counts

        def seen(counts):
            return {name: (report.life, report.number, report.value) for name, report in counts.use_reports.get("k", {}).items()}

        order = reports * 2
        rng.shuffle(order)
        expected = seen(counts_from(reports))
        self.assertEqual(seen(counts_from(order)), expected)
        cut = len(reports) // 2
        one, other = counts_from(reports[:cut]), counts_from(reports[cut:])
        other.merge(one)
        one.merge(counts_from(reports[cut:]))
        one.merge(other)
        self.assertEqual((seen(one), seen(other)), (expected, expected))

    def test_use_by_others_is_summed_and_fades_with_age(self):
        adder = Counts("x", TERMS)
        for front, value in (("a", 100.0), ("b", 40.0)):
            adder.use_received(front, 1, 1, [("k", value)], 0)
        self.assertEqual([row[1] for row in adder.sums("a", ["k"], SECOND)], [40.0])
        self.assertAlmostEqual(adder.sums("a", ["k"], 5 * SECOND)[0][1], 20.0)
        self.assertEqual(adder.sums("a", ["k"], 8 * SECOND)[0][1], 0.0)
        adder.forget(9 * SECOND)
        self.assertEqual(adder.use_reports, {})
        user = Counts("a", TERMS)
        user.set_own_use({"k": 100.0})
        user.sums_received("x", 1, 2, [("k", 40.0, 0, -1.0, 0)], SECOND)
        user.sums_received("x", 1, 1, [("k", 999.0, 0, -1.0, 0)], SECOND)
        self.assertEqual(user.use_of_others("k", 2 * SECOND), (40.0, SECOND))
        self.assertIsNone(user.use_of_others("k", 10 * SECOND))

    def test_only_changes_are_sent_with_periodic_resends_and_one_end(self):
        counts = Counts("a", TERMS)
        counts.set_own_use({"k": 100.0, "l": 0.0})
        sent = [counts.rows_due() for _ in range(4)]
        self.assertEqual([len(rows) for rows in sent], [2, 0, 2, 0])
        counts.set_own_use({})
        self.assertEqual(counts.rows_due(), [("k", 0.0)])
        counts.set_own_use({})
        self.assertEqual(counts.rows_due(), [])

    def test_member_that_leaves_moves_only_its_own_keys(self):
        names, keys = [f"f{n}" for n in range(10)], [f"s{n}" for n in range(1000)]
        before = {key: pick_by_rendezvous(key, names) for key in keys}
        moved = [key for key in keys if pick_by_rendezvous(key, names[:-1]) != before[key]]
        self.assertEqual({before[key] for key in moved}, {"f9"})


class ServerEvidence(unittest.TestCase):
    def evidence(self, reports):
        evidence = Evidence("me", TERMS)
        for front, rows in reports.items():
            evidence.observations_received(front, 1, 1, rows, 0)
        return evidence

    def test_front_with_a_bad_path_raises_no_doubts(self):
        well = {front: [(f"s{n}", 4.0, 0.0, 0) for n in range(6)] for front in ("a", "b", "c")}
        evidence = self.evidence({**well, "accuser": [(f"s{n}", 0.0, 6.0, 0) for n in range(6)]})
        self.assertEqual(evidence.doubts(0), {})
        self.assertLess(evidence.witness_weights(0)["accuser"], 0.1)
        # nor does a single accuser of a server that most find good
        evidence = self.evidence({**well, "d": [("s0", 0.0, 2.0, 0)]})
        self.assertEqual(evidence.doubts(0), {})

    def test_server_found_bad_by_several_is_doubted_and_later_cleared(self):
        evidence = self.evidence({front: [("s0", 0.2, 3.0, 0), ("s1", 4.0, 0.0, 0)] for front in ("a", "b", "c")})
        self.assertEqual(list(evidence.doubts(0)), ["s0"])
        for front in ("a", "b", "c"):
            evidence.observations_received(front, 1, 2, [("s0", 1.5, 1.5, 0)], SECOND)
        # between the thresholds it stays as it was: an unsteady server does not make all fronts swing
        self.assertEqual(list(evidence.doubts(SECOND)), ["s0"])
        for front in ("a", "b", "c"):
            evidence.observations_received(front, 1, 3, [("s0", 4.0, 0.5, 0)], 2 * SECOND)
        self.assertEqual(evidence.doubts(2 * SECOND), {})
        self.assertEqual(len(evidence.why("s0", 2 * SECOND)), 3)

    def test_front_confirmed_by_others_keeps_its_weight(self):
        bad = [(f"s{n}", 0.0, 3.0, 0) for n in range(5)]
        evidence = self.evidence({front: bad + [(f"s{n}", 3.0, 0.0, 0) for n in range(5, 10)] for front in "abc"})
        self.assertEqual(sorted(evidence.doubts(0)), [f"s{n}" for n in range(5)])
        self.assertEqual(evidence.witness_weights(0).get("a", 1.0), 1.0)

    def test_warmth_needs_two_witnesses_since_the_start_and_no_failure(self):
        def warm(reports, since=0):
            evidence = Evidence("me", TERMS)
            for _number, (front, good, bad, unbroken_ns) in enumerate(reports):
                evidence.observations_received(front, 1, 1, [("s", good, bad, unbroken_ns)], SECOND)
            return evidence.warm("s", 8 * SECOND, since, SECOND)

        long, short = 60 * SECOND, 5 * SECOND
        self.assertTrue(warm([("a", 3, 0, long), ("b", 2, 0, long)]))
        self.assertFalse(warm([("a", 3, 0, long)]))
        self.assertFalse(warm([("a", 3, 0, long), ("me", 3, 0, long)]))
        self.assertFalse(warm([("a", 3, 0, long), ("b", 2, 0, short)]))
        self.assertFalse(warm([("a", 3, 0, long), ("b", 2, 0, long), ("c", 0, 2, 0)]))
        self.assertFalse(warm([("a", 3, 0, long), ("b", 2, 0, long)], since=2 * SECOND))

    def test_observations_merge_in_any_order(self):
        rng, observations = (
            random.Random(1),
            [(front, life, number, float(number)) for front in "ab" for life in (1, 2) for number in (1, 2, 3)],
        )
        results = set()
        for _ in range(20):
            rng.shuffle(observations)
            evidence = Evidence("me", TERMS)
            for front, life, number, good in observations:
                evidence.observations_received(front, life, number, [("s", good, 0.0, 0)], 0)
            results.add(
                tuple(
                    sorted(
                        (front, observation.life, observation.number, observation.good)
                        for front, observation in evidence.observations["s"].items()
                    )
                )
            )
        self.assertEqual(len(results), 1)


class ClockDrift(unittest.TestCase):
    def watch(self, pace, others=(1.0, 1.0, 1.0)):
        watch = ClockWatch(0.01)
        for step in (0, 1):
            for number, rate in enumerate(others):
                watch.add_reading(
                    f"f{number}", 1, int(step * MIN_SPACING_NS * 1.1 * rate) + 5, int(step * MIN_SPACING_NS * 1.1 * pace) + 9
                )
        return watch

    def test_clock_past_the_bound_is_detected_by_the_median_of_peers(self):
        self.assertFalse(self.watch(1.01).past_bound())
        self.assertTrue(self.watch(1.05).past_bound())
        self.assertTrue(self.watch(0.95).past_bound())
        self.assertFalse(self.watch(1.0, (1.0, 1.0, 1.3)).past_bound())
        self.assertFalse(self.watch(1.5, (1.0,)).past_bound())

    def quarters_off(self, pace, max_delay, seed=1):
        """In how many of 240 quarters of a second the clock is found off, where a third of the messages are delayed by up to
        `max_delay` (ns)."""
        watch, rng, count = ClockWatch(0.01), random.Random(seed), 0
        messages = []
        for step in range(240):
            true_time = step * SECOND // 4
            for peer in range(7):
                if rng.random() < 0.4:
                    transit = rng.randrange(max_delay) if max_delay and rng.random() < 0.3 else rng.randrange(2_000_000)
                    messages.append((true_time + transit, f"f{peer}", true_time))
            messages.sort()
            while messages and messages[0][0] <= true_time:
                at, peer, reading = messages.pop(0)
                watch.add_reading(peer, 1, reading, int(at * pace))
            count += watch.past_bound()
        return count

    def test_late_messages_do_not_change_the_verdict_on_a_clock(self):
        for seed in range(4):
            self.assertEqual([self.quarters_off(pace, 3 * SECOND, seed) for pace in (0.99, 1.0, 1.01)], [0, 0, 0])
            for pace in (0.95, 1.05):
                # all but the first `MIN_SPACING_NS` and some tolerance
                self.assertGreater(self.quarters_off(pace, 3 * SECOND, seed), 240 - 4 * (MIN_SPACING_NS // SECOND) - 20)


class OnTheChannel(unittest.TestCase):
    """Messages as bytes between two fronts, on the real channel."""

    def pair(self):
        fleet = PeerFleet(2, 1, default_membership_terms(SECOND // 2))
        fleet.start()
        fleet.until(fleet.agreed, 5)
        ends = []
        for post in fleet.posts:
            session_core = FakeDriver(servers=1, fronts=2).session_core
            ends.append(
                SharingProtocol(
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

    def test_use_is_reported_and_a_right_is_lent_on_demand(self):
        fleet, (one, other) = self.pair()
        server = next(iter(one.session_core.rules.servers))
        server.link.own = 300.0
        # a single right, after the quiet time of the start
        with mock.patch.object(type(one.session_core.rules), "rights_of", lambda rules, server: 1):
            self.rounds(fleet, (one, other), 5)
            there = next(iter(other.session_core.rules.servers))
            self.assertAlmostEqual(there.link.counted, 300.0)
            owner, wanting = (one, other) if one.sharing.part("s0") else (other, one)
            wanting.servers()[0].rights_wanted_at = 1
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

    def test_malformed_messages_are_counted_and_dropped(self):
        fleet, (one, other) = self.pair()
        to = one.channel.membership.members["f1"]
        for body in (
            b"",
            b"\xc1",
            msgspec.msgpack.encode([9, 1, 1]),
            msgspec.msgpack.encode([4, 1, 1, [], [], [["s", -1.0]]]),
            msgspec.msgpack.encode([4, 1, 1, [], [], [["s", float("nan")]]]),
        ):
            one.channel.send(to, KIND, body)
        self.rounds(fleet, (one, other), 1)
        self.assertEqual((other.malformed, other.channel.membership.size), (5, 2))


class InTheRules(unittest.TestCase):
    """Shared facts reach the rules; without them each front decides as if it were alone."""

    def cold(self, **changed):
        async_test = RulesFixture(1, fronts=40, **changed)
        async_test.list(async_test.servers[0], started=async_test.host.clock)
        return async_test, async_test.servers[0]

    def test_held_rights_bound_set_ups_instead_of_the_even_share(self):
        async_test, server = self.cold()
        now = async_test.host.clock
        async_test.rules.rights_dealt = True
        self.assertEqual(async_test.rules.rights_of(server), 2)
        server.rights = [(now + SECOND, 2**62, 1)]
        self.assertFalse(async_test.rules._may_send(server))
        self.assertEqual(server.rights_wanted_at, now)
        server.rights = [(0, now + SECOND, 1)]
        self.assertTrue(async_test.rules._may_send(server))
        server.sent.append(now)
        self.assertFalse(async_test.rules._may_send(server))
        async_test.advance(SECOND + 1)
        self.assertFalse(async_test.rules._may_send(server))

    def test_fresh_count_replaces_reports(self):
        async_test = RulesFixture(1, size=1000.0)
        rules, link = async_test.rules, async_test.servers[0].link
        rules.link_report_received(async_test.servers[0], 0.9)
        reported = rules._use(link)
        rules.counted(async_test.servers[0].link, 100.0, 0)
        self.assertAlmostEqual(rules._use(link), 100.0)
        # use beyond the count that reports show is added
        for _ in range(20):
            async_test.advance(SECOND)
            rules.counted(async_test.servers[0].link, 100.0, 0)
            rules.link_report_received(async_test.servers[0], 0.5)
        self.assertAlmostEqual(rules._use(link), 500.0, delta=30)
        async_test.advance(3 * SECOND)
        self.assertNotEqual(rules._use(link), reported)
        self.assertAlmostEqual(rules._use(link), rules._others(link))

    def test_doubt_applies_once_own_observations_are_old(self):
        async_test = RulesFixture(1)
        server = async_test.servers[0]
        server.doubted = True
        async_test.rules.link_report_received(server, 0.1)
        self.assertFalse(async_test.rules._is_failing(server))
        async_test.advance(3 * SECOND)
        self.assertTrue(async_test.rules._is_failing(server))

    def test_server_seen_warm_by_others_is_no_longer_unproven(self):
        async_test = RulesFixture(1, warm=False, fronts=400)
        server = async_test.servers[0]
        server.sent.append(async_test.host.clock)
        self.assertFalse(async_test.rules._may_send(server))
        async_test.rules.seen_warm(server)
        self.assertTrue(async_test.rules._may_send(server))


class EmulatedDeployments(unittest.TestCase):
    """Deployments in virtual time, with the real session cores and rules; figures are simulated."""

    def figures(self, shared, seed=1, troubles=(), fronts=32, servers=24, lasts=30, traffic=None, **more):
        script = made_up(fronts, servers, 1200, lasts, 0.9, seed, 20.0, list(troubles))
        shares = Shares(usual_terms(script.site.obligations.fall_within), **more) if shared else None
        world = World(script, seed, traffic, shared=shares)
        world.run()
        return run_figures(world, 0)

    def test_sharing_fronts_have_fewer_short_seconds_and_serve_as_much(self):
        alone, shared = self.figures(False), self.figures(True)
        self.assertLess(shared["short-part"], 0.5 * alone["short-part"])
        self.assertGreater(shared["well-served"], alone["well-served"] - 0.01)

    def test_sharing_with_all_messages_lost_does_as_well_as_alone(self):
        alone, lossy = self.figures(False), self.figures(True, loss=1.0)
        self.assertGreater(lossy["well-served"], alone["well-served"] - 0.01)
        self.assertEqual(round(lossy["short-part"], 1), round(alone["short-part"], 1))

    def test_half_the_servers_lost_and_back_cold_breaks_no_bound(self):
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
