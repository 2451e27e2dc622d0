"""Tests of leases: never two holders at once, fencing tokens only rise, and each fleet-wide task is done by one front at a
time."""

import unittest

from curlewshift.emulator.lease_histories import DURATION, FAULTS, MS, TERMS, LeaseHistory, violations
from curlewshift.leases.acceptor import LeaseAcceptor
from curlewshift.leases.ballots import NONE, Ballot
from curlewshift.leases.terms import LeaseTerms
from curlewshift.model_checker.lease_checker import LeaseRounds, walk_leases, walk_rounds
from curlewshift.tasks.servers import Probing
from curlewshift.tasks.tasks import Tasks
from curlewshift.verdict.leases import judge_leases

SECOND = 1000 * MS


class UntroubledHistory(LeaseHistory):
    """Five fronts, three of them acceptors, one lease, and messages that all arrive; the test adds the faults."""

    def __init__(self, seed=1, fronts=5):
        super().__init__(seed, fronts=fronts, acceptors=3, leases=1, with_faults=False)
        self.loss, self.duplication, self.max_delay = 0.0, 0.0, 5 * MS
        for front in self.fronts:
            front.rate = 1.0

    def until(self, condition, seconds):
        deadline = self.now + int(seconds * SECOND)
        while not condition():
            if self.now >= deadline:
                raise AssertionError(f"condition not met within {seconds} s")
            self.run(self.now + 20 * MS)
        return self

    def holder(self):
        return next(
            (front for front in self.fronts if front.alive and front.paused_until <= self.now and front.proposer.may_act("l0")),
            None,
        )


class Holding(unittest.TestCase):
    def held(self):
        history = UntroubledHistory()
        history.until(lambda: history.holder() is not None, 12)
        return history, history.holder()

    def test_acceptors_are_silent_after_start_until_earlier_leases_expire(self):
        history = UntroubledHistory()
        history.run(int(TERMS.hold_time * 0.9))
        self.assertEqual(history.tenures, 0)
        history.until(lambda: history.holder() is not None, 4)

    def test_holder_renews_under_the_same_fencing_token(self):
        history, holder = self.held()
        number = holder.proposer.may_act("l0")
        history.run(history.now + 20 * SECOND)
        self.assertEqual((history.holder(), history.tenures, holder.proposer.may_act("l0")), (holder, 1, number))

    def test_holder_killed_is_replaced_within_the_hold_time_and_half_a_term(self):
        history, holder = self.held()
        holder.alive = False
        before = history.now
        history.until(lambda: history.holder() is not None, 10)
        self.assertLess(history.now - before, TERMS.hold_time + TERMS.term // 2)

    def test_suspended_holder_finds_its_term_over_before_it_acts(self):
        history, holder = self.held()
        number = holder.proposer.may_act("l0")
        holder.paused_until = history.now + 20 * SECOND
        history.until(lambda: history.holder() is not None, 12)
        self.assertGreater(history.holder().proposer.may_act("l0"), number)
        self.assertEqual(holder.proposer.may_act("l0"), 0)

    def test_outbid_proposal_is_released_at_all_acceptors(self):
        # Two simultaneous proposals left the lease without a holder for 2.7 terms: some acceptors had accepted each of them.
        history = UntroubledHistory()
        sent, proposer = [], history.fronts[4].proposer
        history.send = lambda sender, to, part, what, arguments: sent.append((to, what, arguments))
        proposer._prepare("l0", proposer.views["l0"], proposer._now())
        ballot = proposer.views["l0"].ballot
        for acceptor in (0, 1):
            proposer.promise(acceptor, "l0", ballot, -1, NONE, 0)
        self.assertTrue(proposer.views["l0"].proposing)
        sent.clear()
        proposer.outbid(2, "l0", ballot, Ballot(99, 3, 1))
        self.assertEqual([(to, what) for to, what, _ in sent], [(acceptor, "released") for acceptor in range(3)])
        self.assertEqual(proposer.may_act("l0"), 0)

    def test_released_lease_is_taken_before_its_term_ends(self):
        history, holder = self.held()
        holder.proposer.leave("l0")
        before = history.now
        history.until(lambda: history.holder() is not None, 5)
        self.assertLess(history.now - before, TERMS.term)
        self.assertIsNot(history.holder(), holder)

    def test_no_holder_without_a_majority(self):
        history, _holder = self.held()
        for front in history.fronts[:2]:
            front.alive = False
        history.run(history.now + 8 * SECOND)
        self.assertIsNone(history.holder())
        history.run(history.now + 8 * SECOND)
        self.assertIsNone(history.holder())

    def test_clock_step_back_ends_tenures_and_step_ahead_frees_nothing(self):
        history, holder = self.held()
        holder.offset -= 5 * SECOND
        self.assertEqual(holder.proposer.may_act("l0"), 0)
        history, holder = self.held()
        for front in history.fronts[:3]:
            if front is not holder:
                front.offset += 600 * SECOND
        history.run(history.now + 300 * MS)
        self.assertEqual((history.holder(), history.tenures), (holder, 1))

    def test_fencing_tokens_rise_over_a_restart_of_all_acceptors(self):
        history, holder = self.held()
        number = holder.proposer.may_act("l0")
        for front in history.fronts:
            front.start()
        history.until(lambda: history.holder() is not None, 15)
        self.assertGreater(history.holder().proposer.may_act("l0"), number)


class AcceptorAlone(unittest.TestCase):
    def acceptor(self):
        self.clock, self.sent = 10**12, []
        acceptor = LeaseAcceptor(self, LeaseTerms(2 * SECOND, 0.01, SECOND // 5))
        self.advance(acceptor, 4)
        return acceptor

    def advance(self, acceptor, seconds):
        for _ in range(round(seconds * 5)):
            self.clock += SECOND // 5
            acceptor.time()

    def now(self):
        return self.clock

    def promise(self, *sent):
        self.sent.append(("promise", *sent))

    def accept(self, *sent):
        self.sent.append(("accept", *sent))

    def outbid(self, *sent):
        self.sent.append(("outbid", *sent))

    def test_lower_ballot_is_outbid_and_late_release_has_no_effect(self):
        acceptor, low, high = self.acceptor(), Ballot(1, 0, 1), Ballot(2, 1, 1)
        acceptor.prepare(0, "l", low)
        acceptor.propose(0, "l", low, 7)
        acceptor.prepare(1, "l", high)
        self.assertEqual(self.sent[-1], ("promise", 1, "l", high, 0, low, 7))
        acceptor.propose(0, "l", low, 7)
        self.assertEqual(self.sent[-1], ("outbid", 0, "l", low, high))
        self.advance(acceptor, 4)
        acceptor.prepare(1, "l", high)
        self.assertEqual(self.sent[-1], ("promise", 1, "l", high, -1, NONE, 7))
        acceptor.propose(1, "l", high, 8)
        acceptor.released(0, "l", low)
        acceptor.prepare(0, "l", Ballot(3, 0, 1))
        self.assertEqual(self.sent[-1][4:], (1, high, 8))


class ModelChecked(unittest.TestCase):
    """All orders of two proposers and three acceptors, to a depth that takes seconds; `curlewshift walk` goes deeper."""

    def test_no_order_of_messages_has_two_holders(self):
        self.assertEqual((walk_leases(5).breach, walk_rounds(3).breach), ("", ""))

    def test_copied_world_shares_no_state(self):
        # Copies once shared the dict of leases, so that the model checker explored states that were partly those of their
        # neighbours.
        world = LeaseRounds((3, 4, 5))
        before = world.state()
        other = world.clone()
        other.apply(("try", 0, (0, 1), (0, 1)))
        self.assertEqual(world.state(), before)

    def test_each_planted_fault_is_found_at_its_least_depth(self):
        for name, (rates, depth, acceptors) in {
            "no-silence-after-start": ((3, 4, 5), 3, 3),
            "drift-ignored": ((3, 4, 5), 4, 3),
            "majority-of-two": ((3, 4, 5), 2, 5),
            "renew-after-end": ((3, 4, 5), 3, 3),
            "fence-not-raised": ((3, 4, 5), 3, 3),
            "act-without-look": ((3, 4, 5), 3, 3),
        }.items():
            done = walk_rounds(depth, rates, acceptors=acceptors, **FAULTS[name])
            self.assertEqual((bool(done.breach), len(done.course)), (True, depth), name)


class Histories(unittest.TestCase):
    def test_histories_have_one_holder_and_rising_fencing_tokens(self):
        self.assertEqual(violations(range(150)), [])

    def test_histories_that_once_repeated_a_fencing_token(self):
        # A renewal accepted after its tenure had ended went on with the old fencing token.
        self.assertEqual(violations(range(10, 11)) + violations(range(15, 16)) + violations(range(37, 38)), [])

    def test_each_planted_fault_is_found(self):
        for name, how in FAULTS.items():
            self.assertTrue(
                next((seed for seed in range(300) if violations(range(seed, seed + 1), **how)), None) is not None, name
            )

    def test_five_acceptors_and_fifty_leases(self):
        history = LeaseHistory(7, fronts=8, acceptors=5, leases=50)
        history.run(DURATION // 3)
        self.assertGreater(history.tenures, 50)


class TaskShards(unittest.TestCase):
    """Tasks under leases, with a proposer that is granted every lease."""

    class GrantingProposer:
        def __init__(self):
            self.views, self.terms, self.clock, self.driver = {}, TERMS, 0, self

        def now(self):
            return self.clock

        def want(self, lease):
            self.views[lease] = 5

        def leave(self, lease):
            self.views.pop(lease, None)

        def may_act(self, lease):
            return self.views.get(lease, 0)

        def time(self):
            pass

    def front(self, name, names):
        proposer = self.GrantingProposer()
        probing = Probing(self, 16, SECOND)
        tasks = Tasks(name, proposer, [probing], lambda: [other for other in names if other != name])
        tasks.time()
        return tasks

    def now(self):
        return self.clock

    def servers(self):
        return []

    clock = 0

    def test_each_shard_is_requested_by_one_front_and_few_move(self):
        names = [f"f{n}" for n in range(8)]
        before = {name: set(self.front(name, names).proposer.views) for name in names}
        self.assertEqual(sorted(lease for held in before.values() for lease in held), sorted(f"probe/{n}" for n in range(16)))
        after = {name: set(self.front(name, names[:-1]).proposer.views) for name in names[:-1]}
        for name in names[:-1]:
            self.assertTrue(before[name] <= after[name])

    def test_lease_released_by_an_operator_is_not_requested_for_two_terms(self):
        tasks = self.front("f0", ["f0"])
        tasks.release("probe/3")
        tasks.time()
        self.assertNotIn("probe/3", tasks.proposer.views)
        tasks.proposer.clock = 2 * TERMS.term + 1
        tasks.time()
        self.assertIn("probe/3", tasks.proposer.views)
        tasks.drain()
        self.assertEqual(tasks.proposer.views, {})


class LeaseVerdict(unittest.TestCase):
    def acts(self, *rows):
        return judge_leases(
            [
                {"ev": "act", "at": at * SECOND, "front": front, "lease": "l", "number": number, "accepted": well}
                for at, front, number, well in rows
            ]
        )

    def test_successive_holders_and_refused_stale_acts_are_accepted(self):
        judged = self.acts((1, "a", 1, True), (2, "a", 1, True), (4, "b", 2, True), (5, "a", 1, False), (6, "b", 2, True))
        self.assertEqual(
            (judged["overlaps"], judged["handovers"], judged["refused_stale"], judged["longest_gap_s"]), (0, 1, 1, 2.0)
        )

    def test_acting_after_a_later_tenure_began_is_reported_even_if_refused(self):
        judged = self.acts((1, "a.1", 1, True), (2, "b.1", 2, True), (4, "a.1", 1, False))
        self.assertEqual((judged["overlaps"], judged["outlived"]), (0, 1))
        events = [{"ev": "front-paused", "at": SECOND, "front": "a"}, {"ev": "front-goes-on", "at": 4 * SECOND, "front": "a"}]
        events += [
            {"ev": "act", "at": at * SECOND, "front": front, "lease": "l", "number": number, "accepted": well}
            for at, front, number, well in ((1, "a.1", 1, True), (2, "b.1", 2, True), (4, "a.1", 1, False))
        ]
        self.assertEqual(judge_leases(events)["outlived"], 0)

    def test_interleaved_acts_and_tokens_that_do_not_rise_are_overlaps(self):
        self.assertEqual(self.acts((1, "a", 1, True), (2, "b", 2, True), (3, "a", 1, True))["overlaps"], 1)
        self.assertEqual(self.acts((1, "a", 1, True), (2, "b", 1, True))["overlaps"], 1)
        self.assertEqual(self.acts((1, "a", 2, True), (2, "b", 1, True))["overlaps"], 1)


if __name__ == "__main__":
    unittest.main()
