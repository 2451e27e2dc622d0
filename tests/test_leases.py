"""Leases: two never hold at once, numbers only rise, and what is done once for all is done by one at a time."""

import unittest

from curlewshift.emulator.lease_histories import FAULTS, LASTS, MS, TERMS, LeaseHistory, broken
from curlewshift.leases.acceptor import LeaseAcceptor
from curlewshift.leases.ballots import NONE, Ballot
from curlewshift.leases.terms import LeaseTerms
from curlewshift.model_checker.lease_checker import LeaseRounds, walk_leases, walk_rounds
from curlewshift.tasks.servers import Probing
from curlewshift.tasks.tasks import Tasks
from curlewshift.verdict.leases import judge_leases

SECOND = 1000 * MS


class Calm(LeaseHistory):
    """Five fronts, three of them keepers, one lease, words that arrive; what befalls them is the test's to say."""

    def __init__(self, seed=1, fronts=5):
        super().__init__(seed, fronts=fronts, acceptors=3, leases=1, troubled=False)
        self.loss, self.doubled, self.late = 0.0, 0.0, 5 * MS
        for front in self.fronts:
            front.rate = 1.0

    def until(self, what, seconds):
        ends = self.now + int(seconds * SECOND)
        while not what():
            if self.now >= ends:
                raise AssertionError("it did not come about")
            self.run(self.now + 20 * MS)
        return self

    def holder(self):
        return next(
            (front for front in self.fronts if front.alive and front.paused_until <= self.now and front.proposer.may_act("l0")),
            None,
        )


class Holding(unittest.TestCase):
    def held(self):
        calm = Calm()
        calm.until(lambda: calm.holder() is not None, 12)
        return calm, calm.holder()

    def test_keepers_keep_silent_after_their_start_for_as_long_as_a_lease_may_have_been_kept(self):
        calm = Calm()
        calm.run(int(TERMS.kept * 0.9))
        self.assertEqual(calm.tenures, 0)
        calm.until(lambda: calm.holder() is not None, 4)

    def test_a_holder_renews_and_goes_on_with_one_number(self):
        calm, holder = self.held()
        number = holder.proposer.may_act("l0")
        calm.run(calm.now + 20 * SECOND)
        self.assertEqual((calm.holder(), calm.tenures, holder.proposer.may_act("l0")), (holder, 1, number))

    def test_killed_another_begins_within_a_term_and_a_half_and_the_margin(self):
        calm, holder = self.held()
        holder.alive = False
        before = calm.now
        calm.until(lambda: calm.holder() is not None, 10)
        self.assertLess(calm.now - before, TERMS.kept + TERMS.term // 2)

    def test_stopped_in_the_middle_it_finds_its_term_over_before_it_acts(self):
        calm, holder = self.held()
        number = holder.proposer.may_act("l0")
        holder.paused_until = calm.now + 20 * SECOND
        calm.until(lambda: calm.holder() is not None, 12)
        self.assertGreater(calm.holder().proposer.may_act("l0"), number)
        self.assertEqual(holder.proposer.may_act("l0"), 0)

    def test_what_was_accepted_for_a_tenure_that_never_was_is_let_go_of(self):
        # two that proposed at once left the lease without a holder for 2.7 terms: some keepers had accepted each
        calm = Calm()
        said, proposer = [], calm.fronts[4].proposer
        calm.say = lambda sender, to, part, what, words: said.append((to, what, words))
        proposer._ask("l0", proposer.tries["l0"], proposer._now())
        ballot = proposer.tries["l0"].ballot
        for acceptor in (0, 1):
            proposer.promise(acceptor, "l0", ballot, -1, NONE, 0)
        self.assertTrue(proposer.tries["l0"].proposing)
        said.clear()
        proposer.outbid(2, "l0", ballot, Ballot(99, 3, 1))
        self.assertEqual([(to, what) for to, what, _ in said], [(acceptor, "released") for acceptor in range(3)])
        self.assertEqual(proposer.may_act("l0"), 0)

    def test_given_back_in_words_another_need_not_wait_for_the_term(self):
        calm, holder = self.held()
        holder.proposer.leave("l0")
        before = calm.now
        calm.until(lambda: calm.holder() is not None, 5)
        self.assertLess(calm.now - before, TERMS.term)
        self.assertIsNot(calm.holder(), holder)

    def test_without_a_majority_nobody_holds(self):
        calm, _holder = self.held()
        for front in calm.fronts[:2]:
            front.alive = False
        calm.run(calm.now + 8 * SECOND)
        self.assertIsNone(calm.holder())
        calm.run(calm.now + 8 * SECOND)
        self.assertIsNone(calm.holder())

    def test_a_clock_that_goes_back_ends_all_that_is_held_and_one_that_jumps_ahead_frees_nothing_at_a_keeper(self):
        calm, holder = self.held()
        holder.offset -= 5 * SECOND
        self.assertEqual(holder.proposer.may_act("l0"), 0)
        calm, holder = self.held()
        for front in calm.fronts[:3]:
            if front is not holder:
                front.offset += 600 * SECOND
        calm.run(calm.now + 300 * MS)
        self.assertEqual((calm.holder(), calm.tenures), (holder, 1))

    def test_numbers_rise_over_a_restart_of_all_keepers(self):
        calm, holder = self.held()
        number = holder.proposer.may_act("l0")
        for front in calm.fronts:
            front.start()
        calm.until(lambda: calm.holder() is not None, 15)
        self.assertGreater(calm.holder().proposer.may_act("l0"), number)


class AcceptorAlone(unittest.TestCase):
    def acceptor(self):
        self.clock, self.said = 10**12, []
        acceptor = LeaseAcceptor(self, LeaseTerms(2 * SECOND, 0.01, SECOND // 5))
        self.later(acceptor, 4)
        return acceptor

    def later(self, acceptor, seconds):
        for _ in range(round(seconds * 5)):
            self.clock += SECOND // 5
            acceptor.time()

    def now(self):
        return self.clock

    def promise(self, *said):
        self.said.append(("promise", *said))

    def accept(self, *said):
        self.said.append(("accept", *said))

    def outbid(self, *said):
        self.said.append(("outbid", *said))

    def test_a_lower_ballot_is_outbid_and_late_words_on_an_earlier_one_free_nothing(self):
        acceptor, low, high = self.acceptor(), Ballot(1, 0, 1), Ballot(2, 1, 1)
        acceptor.prepare(0, "l", low)
        acceptor.propose(0, "l", low, 7)
        acceptor.prepare(1, "l", high)
        self.assertEqual(self.said[-1], ("promise", 1, "l", high, 0, low, 7))
        acceptor.propose(0, "l", low, 7)
        self.assertEqual(self.said[-1], ("outbid", 0, "l", low, high))
        self.later(acceptor, 4)
        acceptor.prepare(1, "l", high)
        self.assertEqual(self.said[-1], ("promise", 1, "l", high, -1, NONE, 7))
        acceptor.propose(1, "l", high, 8)
        acceptor.released(0, "l", low)
        acceptor.prepare(0, "l", Ballot(3, 0, 1))
        self.assertEqual(self.said[-1][4:], (1, high, 8))


class Walked(unittest.TestCase):
    """All orders of two askers and three keepers, to a depth that takes seconds; `curlewshift walk` goes deeper."""

    def test_no_order_of_words_has_two_holders(self):
        self.assertEqual((walk_leases(5).breach, walk_rounds(3).breach), ("", ""))

    def test_a_copy_of_a_world_goes_on_by_itself(self):
        # states shared the dict of tries: the walk went over states that were partly their neighbours'
        world = LeaseRounds((3, 4, 5))
        before = world.state()
        other = world.clone()
        other.apply(("try", 0, (0, 1), (0, 1)))
        self.assertEqual(world.state(), before)

    def test_each_planted_fault_has_a_shortest_course(self):
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
    def test_two_never_hold_at_once_nor_does_a_number_come_twice(self):
        self.assertEqual(broken(range(150)), [])

    def test_numbers_that_once_came_twice(self):
        # a renewal that was accepted after the tenure had ended went on with its number
        self.assertEqual(broken(range(10, 11)) + broken(range(15, 16)) + broken(range(37, 38)), [])

    def test_each_planted_fault_is_found(self):
        for name, how in FAULTS.items():
            self.assertTrue(next((seed for seed in range(300) if broken(range(seed, seed + 1), **how)), None) is not None, name)

    def test_five_keepers_and_fifty_leases(self):
        history = LeaseHistory(7, fronts=8, acceptors=5, leases=50)
        history.run(LASTS // 3)
        self.assertGreater(history.tenures, 50)


class Shards(unittest.TestCase):
    """Tasks over leases, with an asker that gets whatever it wants."""

    class Willing:
        def __init__(self):
            self.tries, self.terms, self.clock, self.driver = {}, TERMS, 0, self

        def now(self):
            return self.clock

        def want(self, lease):
            self.tries[lease] = 5

        def leave(self, lease):
            self.tries.pop(lease, None)

        def may_act(self, lease):
            return self.tries.get(lease, 0)

        def time(self):
            pass

    def front(self, me, names):
        proposer = self.Willing()
        probing = Probing(self, 16, SECOND)
        tasks = Tasks(me, proposer, [probing], lambda: [name for name in names if name != me])
        tasks.time()
        return tasks

    def now(self):
        return self.clock

    def servers(self):
        return []

    clock = 0

    def test_each_shard_is_wanted_by_one_and_few_move_when_one_goes(self):
        names = [f"f{n}" for n in range(8)]
        before = {name: set(self.front(name, names).proposer.tries) for name in names}
        self.assertEqual(sorted(lease for held in before.values() for lease in held), sorted(f"probe/{n}" for n in range(16)))
        after = {name: set(self.front(name, names[:-1]).proposer.tries) for name in names[:-1]}
        for name in names[:-1]:
            self.assertTrue(before[name] <= after[name])

    def test_given_back_by_an_operator_it_is_left_alone_for_two_terms(self):
        tasks = self.front("f0", ["f0"])
        tasks.release("probe/3")
        tasks.time()
        self.assertNotIn("probe/3", tasks.proposer.tries)
        tasks.proposer.clock = 2 * TERMS.term + 1
        tasks.time()
        self.assertIn("probe/3", tasks.proposer.tries)
        tasks.drain()
        self.assertEqual(tasks.proposer.tries, {})


class Judging(unittest.TestCase):
    def acts(self, *rows):
        return judge_leases(
            [
                {"ev": "act", "at": at * SECOND, "front": front, "lease": "l", "number": number, "accepted": well}
                for at, front, number, well in rows
            ]
        )

    def test_one_after_the_other_is_well_and_a_stale_act_that_was_refused_too(self):
        told = self.acts((1, "a", 1, True), (2, "a", 1, True), (4, "b", 2, True), (5, "a", 1, False), (6, "b", 2, True))
        self.assertEqual((told["overlaps"], told["handovers"], told["refused_stale"], told["longest_gap_s"]), (0, 1, 1, 2.0))

    def test_who_goes_on_acting_after_a_later_one_has_begun_is_told_even_if_it_is_refused(self):
        told = self.acts((1, "a.1", 1, True), (2, "b.1", 2, True), (4, "a.1", 1, False))
        self.assertEqual((told["overlaps"], told["outlived"]), (0, 1))
        events = [{"ev": "front-paused", "at": SECOND, "front": "a"}, {"ev": "front-goes-on", "at": 4 * SECOND, "front": "a"}]
        events += [
            {"ev": "act", "at": at * SECOND, "front": front, "lease": "l", "number": number, "accepted": well}
            for at, front, number, well in ((1, "a.1", 1, True), (2, "b.1", 2, True), (4, "a.1", 1, False))
        ]
        self.assertEqual(judge_leases(events)["outlived"], 0)

    def test_between_each_other_with_one_number_or_a_lower_one_after_is_not(self):
        self.assertEqual(self.acts((1, "a", 1, True), (2, "b", 2, True), (3, "a", 1, True))["overlaps"], 1)
        self.assertEqual(self.acts((1, "a", 1, True), (2, "b", 1, True))["overlaps"], 1)
        self.assertEqual(self.acts((1, "a", 2, True), (2, "b", 1, True))["overlaps"], 1)


if __name__ == "__main__":
    unittest.main()
