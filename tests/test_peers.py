"""Tests of membership: the I/O-free objects in virtual time, frames, the channel's bounds, and the verdict on members."""

import itertools
import random
import unittest
import zlib

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as some

from curlewshift.emulator.peer_histories import PERIOD, History, membership_terms
from curlewshift.emulator.peers import MS, NS, Links, PeerFleet
from curlewshift.front.planted_faults import MembershipWithoutRefutation
from curlewshift.membership.member import Claim, Rank
from curlewshift.membership.membership import Probe
from curlewshift.membership.terms import default_membership_terms
from curlewshift.membership.updates import UpdateQueue
from curlewshift.membership.views import Views
from curlewshift.peering.frames import MAX_DATAGRAM_BYTES, DatagramRejected, Frame, ReplayWindow, decode, encode
from curlewshift.peering.rates import DecayingSum, TokenBucket
from curlewshift.schedule.steady_clock import SteadyClock
from curlewshift.verdict.members import judge_members

SECOND = NS


def started_fleet(size, seed=1, links=None, **more):
    fleet = PeerFleet(size, seed, membership_terms(**more), links=links)
    fleet.start()
    assert fleet.until(fleet.agreed, 10) is not None
    return fleet


def rank_at(fleet, holder, name):
    member = fleet.posts[holder].channel.membership.members.get(name)
    return None if member is None else member.rank


class SteadyTime(unittest.TestCase):
    def test_steps_back_and_suspended_time_are_left_out(self):
        steady = SteadyClock(1000, slack=50)
        steady.due = 1100
        self.assertEqual(steady.read(1100), 1100)
        steady.due = 1200
        self.assertEqual(steady.read(400), 1100)
        self.assertEqual(steady.read(500), 1200)
        steady.due = 1300
        self.assertEqual(steady.read(10_000), 1300)
        self.assertEqual((steady.stalls, steady.reading_of(1400)), (2, 10_100))

    def test_small_delay_counts_as_time(self):
        steady = SteadyClock(0, slack=50)
        steady.due = 100
        self.assertEqual((steady.read(149), steady.stalls), (149, 0))


class Claims(unittest.TestCase):
    def test_claims_are_ordered_by_life_incarnation_and_rank(self):
        worse = [Claim("x", "h", 1, life, incarnation, rank) for life in (1, 2) for incarnation in (0, 3) for rank in range(4)]
        for lower, higher in itertools.pairwise(worse):
            self.assertTrue(higher.supersedes(lower) and not lower.supersedes(higher))

    @settings(max_examples=60, deadline=None)
    @given(
        some.lists(some.tuples(some.integers(1, 3), some.integers(0, 3), some.integers(0, 3)), min_size=1, max_size=8),
        some.randoms(use_true_random=False),
    )
    def test_views_converge_in_any_order_and_with_repeats(self, versions, rng):
        claims = [
            Claim("x", "10.9.9.9", 1, life, incarnation, rank, ("a",) if rank == 1 else ())
            for life, incarnation, rank in versions
        ]
        first = Claim("x", "10.9.9.9", 1, 1, 0, 0)
        results = set()
        for _ in range(2):
            order = claims * 2
            rng.shuffle(order)
            fleet = PeerFleet(1, 1, membership_terms())
            fleet.start()
            known = fleet.posts[0].channel.membership
            known.receive_claims([first], "x")
            # as its own claims: reports by others that it is gone would first make it a suspect
            known.receive_claims(order, known.local_member.name)
            member = known.members["x"]
            results.add((member.life, member.incarnation, member.rank, known.views.digest))
        self.assertEqual(len(results), 1)
        highest = max([first, *claims], key=lambda claim: claim[3:6])
        self.assertEqual(results.pop()[:3], highest[3:6])


class Detection(unittest.TestCase):
    def test_killed_member_is_gone_within_twelve_periods_and_forgotten(self):
        fleet = started_fleet(8)
        fleet.posts[3].kill()
        self.assertLess(fleet.until(fleet.agreed, 10), 12 * PERIOD / NS)
        fleet.run(1)
        self.assertEqual({rank_at(fleet, 0, "f3"), rank_at(fleet, 7, "f3")}, {Rank.GONE})
        fleet.run(62 * PERIOD / NS)
        self.assertEqual({rank_at(fleet, 0, "f3"), rank_at(fleet, 7, "f3")}, {None})

    def test_member_that_announces_leaving_is_never_suspected(self):
        fleet = started_fleet(6)
        fleet.posts[2].channel.leave()
        fleet.run(0.05)
        fleet.posts[2].kill()
        self.assertLess(fleet.until(fleet.agreed, 5), 3 * PERIOD / NS)
        self.assertEqual((rank_at(fleet, 0, "f2"), fleet.suspicions), (Rank.LEFT, 0))

    def test_no_false_gone_at_five_percent_loss(self):
        fleet = started_fleet(16, links=Links(loss=0.05))
        fleet.run(240)
        self.assertEqual(fleet.gone_reports, [])

    def test_partition_heals_within_ten_periods(self):
        for side in ({0, 1, 2, 3}, {5}):
            fleet = started_fleet(8)
            fleet.links.parted = lambda a, b: (a in side) != (b in side)
            fleet.run(20 * PERIOD / NS)
            observer = next(number for number in range(8) if number not in side)
            self.assertEqual(rank_at(fleet, observer, f"f{min(side)}"), Rank.GONE)
            fleet.links.parted = lambda a, b: False
            self.assertLess(fleet.until(fleet.agreed, 20), 10 * PERIOD / NS, side)

    def test_member_that_cannot_send_is_gone_and_returns_by_refuting(self):
        fleet = started_fleet(6)
        fleet.links.parted = lambda a, b: a == 4
        fleet.run(14 * PERIOD / NS)
        self.assertEqual(rank_at(fleet, 0, "f4"), Rank.GONE)
        self.assertGreater(fleet.posts[4].channel.membership.refuted, 0)
        fleet.links.parted = lambda a, b: False
        self.assertLess(fleet.until(fleet.agreed, 20), 12 * PERIOD / NS)

    def test_paused_process_refutes_that_it_is_gone_and_accuses_nobody(self):
        fleet = started_fleet(6)
        fleet.posts[1].pause()
        fleet.run(20 * PERIOD / NS)
        self.assertEqual(rank_at(fleet, 0, "f1"), Rank.GONE)
        fleet.gone_reports.clear()
        fleet.posts[1].resume()
        self.assertLess(fleet.until(fleet.agreed, 20), 10 * PERIOD / NS)
        self.assertEqual([call for call in fleet.gone_reports if call[1] == "f1"], [])
        self.assertGreater(fleet.posts[0].channel.membership.members["f1"].incarnation, 0)

    def test_paused_process_that_does_not_refute_stays_gone(self):
        fleet = PeerFleet(6, 1, membership_terms(), membership=MembershipWithoutRefutation)
        fleet.start()
        fleet.until(fleet.agreed, 10)
        fleet.posts[1].pause()
        fleet.run(20 * PERIOD / NS)
        fleet.posts[1].resume()
        self.assertIsNone(fleet.until(fleet.agreed, 20))

    def test_clock_steps_and_drift_cause_no_false_gone(self):
        fleet = started_fleet(6)
        fleet.posts[0].set_clock(600 * SECOND)
        fleet.posts[1].set_clock(-600 * SECOND)
        for number, rate in ((2, 1.01), (3, 0.99)):
            post = fleet.posts[number]
            shown, post.rate = post.now(), rate
            post.offset += shown - post.now()
        fleet.run(60)
        self.assertEqual((fleet.gone_reports, fleet.agreed()), ([], True))
        self.assertEqual([fleet.posts[n].channel.membership.steady.stalls for n in (0, 1)], [1, 1])


class Lives(unittest.TestCase):
    def test_seven_of_eight_restart_at_once(self):
        fleet = started_fleet(8)
        for post in fleet.posts[1:]:
            post.kill()
        fleet.run(0.2)
        for post in fleet.posts[1:]:
            post.start()
        self.assertLess(fleet.until(fleet.agreed, 10), 10 * PERIOD / NS)

    def test_restart_with_the_clock_set_back_gets_a_greater_life(self):
        fleet = started_fleet(4)
        before = fleet.posts[2].channel.membership.local_member.life
        fleet.posts[2].kill()
        fleet.posts[2].set_clock(-600 * SECOND)
        fleet.posts[2].start()
        self.assertLess(fleet.until(fleet.agreed, 10), 5)
        self.assertGreater(fleet.posts[2].channel.membership.local_member.life, before)

    def test_earlier_of_two_processes_of_one_name_is_silent_until_the_later_is_gone(self):
        fleet = started_fleet(4)
        earlier = fleet.posts[2].channel
        # the same name at another address
        twin = type(fleet.posts[2])(fleet, 2)
        twin.address = ("10.7.7.7", 4000)
        fleet.at[twin.address] = twin
        twin.start()
        fleet.until(lambda: earlier.membership.superseded, 5)
        fleet.run(3)
        self.assertTrue(earlier.membership.superseded)
        self.assertEqual(
            {post.channel.membership.members["f2"].life for post in fleet.posts if post.number != 2},
            {twin.channel.membership.local_member.life},
        )
        twin.kill()
        self.assertIsNotNone(fleet.until(lambda: not earlier.membership.superseded, 30))
        self.assertIsNotNone(fleet.until(fleet.agreed, 10))

    def test_seed_that_is_down_at_start_is_found_later(self):
        fleet = PeerFleet(5, 1, membership_terms())
        fleet.start([1, 2, 3, 4])
        self.assertLess(fleet.until(fleet.agreed, 10), 3)
        fleet.posts[0].start()
        self.assertLess(fleet.until(fleet.agreed, 10), 3)

    def test_datagram_of_an_earlier_life_has_no_effect_and_no_answer(self):
        fleet = started_fleet(3)
        stale = encode(
            Frame("emulated", "f1", *fleet.posts[1].address, fleet.posts[1].channel.membership.local_member.life, 9, 5_000, 1, 77)
        )
        fleet.posts[1].kill()
        fleet.posts[1].start()
        fleet.until(fleet.agreed, 5)
        receiver, before = fleet.posts[0].channel, fleet.posts[0].channel.membership.views.digest
        sent_kinds = []
        fleet.posts[0].post = lambda address, data: sent_kinds.append(decode(data, "emulated").kind)
        receiver.received(stale)
        self.assertEqual((receiver.refused["old-life"], receiver.membership.views.digest, 2 in sent_kinds), (1, before, False))

    def test_unknown_names_are_bounded_and_displace_no_member(self):
        fleet = started_fleet(4, max_members=64)
        known = fleet.posts[0].channel.membership
        for number in range(5_000):
            known.receive_claims([Claim(f"once{number}", "10.8.0.1", 9, 1, 0, 0)], "f1")
        self.assertLessEqual(len(known.members), 64)
        self.assertGreater(known.no_room, 4_000)
        self.assertTrue({"f1", "f2", "f3"} <= set(known.members))
        self.assertIsNotNone(fleet.until(lambda: known.size == 4, 120))


class Histories(unittest.TestCase):
    def test_random_histories_end_in_agreement(self):
        for seed in range(120):
            self.assertIsNotNone(History(seed).run(), seed)

    def test_suspect_reported_without_accusers_is_treated_as_any_suspect(self):
        fleet = started_fleet(4)
        known = fleet.posts[0].channel.membership
        claim = known.members["f2"].claim()
        known.receive_claims([claim._replace(rank=int(Rank.SUSPECT)), Claim("new", "10.8.0.1", 9, 1, 0, int(Rank.SUSPECT))], "f1")
        self.assertEqual({known.members[name].rank for name in ("f2", "new")}, {Rank.SUSPECT})
        fleet.run(20)
        self.assertEqual((known.members["f2"].rank, known.members["new"].rank), (Rank.ALIVE, Rank.GONE))

    def test_probe_from_before_a_refutation_accuses_nobody(self):
        fleet = started_fleet(4)
        known = fleet.posts[0].channel.membership
        target = known.members["f2"]
        for contradicted, rank in ((True, Rank.ALIVE), (False, Rank.SUSPECT)):
            known.probes[1] = Probe(target)
            if contradicted:
                known.receive_claims([target.claim()._replace(incarnation=target.incarnation + 1)], "f2")
            known._probe_timed_out(1)
            self.assertIs(target.rank, rank)

    def test_histories_that_once_failed_to_agree(self):
        # These seeds once failed; random numbers are drawn in another order by now, and each fault has a test of its own. 28, 40:
        # an earlier process of the name, while silent, did not read that the later one was gone; 191, 3808: the last survivor of
        # many waited nine periods for each of the others; 5: a suspect without accusers.
        for seed in (5, 28, 40, 191, 3808):
            self.assertIsNotNone(History(seed).run(), seed)


class UpdatesAndViews(unittest.TestCase):
    def test_each_update_is_sent_a_bounded_number_of_times_least_sent_first(self):
        updates = UpdateQueue()
        for name in "abc":
            updates.put(Claim(name, "h", 1, 1, 0, 0))
        taken = [[claim.name for claim in updates.take(70, 3)] for _ in range(8)]
        self.assertEqual(sum(len(names) for names in taken), 9)
        self.assertEqual(len(updates), 0)
        updates.put(Claim("x", "h", 1, 1, 0, 0))
        updates.put(Claim("x", "h", 1, 1, 1, 0))
        self.assertEqual([claim.incarnation for claim in updates.take(1000, 1)], [1])

    def test_differing_views_yield_the_buckets(self):
        one, other = Views(), Views()
        for number in range(50):
            one.toggle(f"f{number}", 1, 0)
            other.toggle(f"f{49 - number}", 1, 0)
        self.assertEqual((one.digest, one.differing_buckets(other.to_bytes())), (other.digest, []))
        other.toggle("f7", 1, 0)
        other.toggle("f7", 1, 1)
        self.assertEqual(len(one.differing_buckets(other.to_bytes())), 1)
        self.assertEqual(len(one.differing_buckets(b"short")), 32)
        self.assertTrue(other.consistent())


class Frames(unittest.TestCase):
    def frame(self, **more):
        return Frame(**{**dict(site="s", name="f", host="127.0.0.1", port=1, life=1, incarnation=0, number=1, kind=1), **more})

    def refused(self, data):
        with self.assertRaises(DatagramRejected) as why:
            decode(data, "s")
        return str(why.exception)

    def test_refused_datagrams_have_distinct_reasons(self):
        data = encode(self.frame(claims=[("x", "h", 1, 2, 3, 1, ("a",))], body=b"b"))
        self.assertEqual(decode(data, "s").claims[0][6], ("a",))
        self.assertEqual(self.refused(data + b"x" * MAX_DATAGRAM_BYTES), "oversized")
        self.assertEqual(self.refused(b"GET / HTTP/1.1\r\n"), "other-form")
        self.assertEqual(self.refused(data[:3] + b"\x02" + data[4:]), "other-version")
        self.assertEqual(self.refused(encode(self.frame(site="t"))), "other-site")
        body = data[:4] + msgspec.msgpack.encode(["s", "f"])
        self.assertEqual(self.refused(body + zlib.crc32(body).to_bytes(4, "big")), "malformed")
        self.assertEqual(self.refused(encode(self.frame(life=2**62 + 5))), "malformed")

    @settings(max_examples=200, deadline=None)
    @given(some.data())
    def test_any_changed_byte_is_detected(self, data):
        good = encode(self.frame())
        at, flipped_bits = data.draw(some.integers(0, len(good) - 1)), data.draw(some.integers(1, 255))
        self.refused(good[:at] + bytes((good[at] ^ flipped_bits,)) + good[at + 1 :])

    @settings(max_examples=200, deadline=None)
    @given(some.binary(max_size=1500))
    def test_no_datagram_raises(self, data):
        fleet = PeerFleet(1, 1, membership_terms())
        fleet.start()
        channel = fleet.posts[0].channel
        body = b"CWP\x01" + data
        for datagram in (data, body, body + zlib.crc32(body).to_bytes(4, "big")):
            channel.received(datagram)
        self.assertEqual((sum(channel.refused.values()), channel.membership.members), (3, {}))

    def test_duplicate_and_late_numbers_are_refused_reordered_accepted(self):
        window = ReplayWindow(1)
        for number in (5, 3, 9, 4):
            window.take(number)
        for number, reason in ((3, "doubled"), (9, "doubled")):
            with self.assertRaises(DatagramRejected) as refused:
                window.take(number)
            self.assertEqual(str(refused.exception), reason)
        window.take(9 + ReplayWindow.SIZE + 2)
        with self.assertRaises(DatagramRejected) as refused:
            window.take(10)
        self.assertEqual(str(refused.exception), "late")
        window.take(9 + 3)


class Bounds(unittest.TestCase):
    def test_allowance_is_never_exceeded_and_refusals_cost_nothing(self):
        allowance, rng, now, sent = TokenBucket(1000, 0), random.Random(1), 0, 0
        for _ in range(5000):
            now += rng.randrange(10 * MS)
            size = rng.randrange(1, 300)
            sent += size if allowance.take(now, size) else 0
        self.assertLessEqual(sent, 1000 + now / NS * 1000)
        self.assertGreater(sent, 0.9 * now / NS * 1000)

    def test_spent_bytes_fade(self):
        spent = DecayingSum(0)
        spent.add(0, 1000)
        self.assertAlmostEqual(spent.read(10 * NS), 1000 / 2.718281828, delta=1)

    def test_pieces_keep_to_the_allowance_and_the_rest_follows_later(self):
        fleet = PeerFleet(300, 1, default_membership_terms(NS), seeds=1, max_bytes=4_000)
        fleet.start_settled()
        fleet.run(3)
        newcomer = type(fleet.posts[0])(fleet, 300)
        fleet.posts.append(newcomer)
        fleet.at[newcomer.address] = newcomer
        newcomer.start()
        before = newcomer.channel.received_bytes.total
        fleet.run(0.1)
        self.assertLess(newcomer.channel.membership.size, 200)
        self.assertLess(newcomer.channel.received_bytes.total - before, 10_000)
        self.assertIsNotNone(fleet.until(lambda: newcomer.channel.membership.size == 301, 60))

    def test_subsystems_have_distinct_kinds_within_the_bounds(self):
        fleet = started_fleet(2)
        one, other = (post.channel for post in fleet.posts)
        received = []
        other.register_handler(20, lambda sender, body: received.append((sender.name, body)))
        with self.assertRaises(ValueError):
            other.register_handler(20, print)
        to = one.membership.members["f1"]
        self.assertTrue(one.send(to, 20, b"hello"))
        self.assertFalse(one.send(to, 20, b"x" * MAX_DATAGRAM_BYTES))
        fleet.run(0.1)
        self.assertEqual(received, [("f0", b"hello")])


class MembershipVerdict(unittest.TestCase):
    """The verdict on synthetic event logs; it is independent of the program."""

    def day(self, *views, more=()):
        events = [{"ev": "front-up", "at": 0, "front": f"f{n}", "life": f"f{n}.1"} for n in (1, 2, 3)]
        for second, front, rows in views:
            events.append(
                {"ev": "view", "at": second * NS, "asked": second * NS, "front": front, "me": 1, "sent": 1, "members": rows}
            )
        return [*events, *more, {"ev": "day-over", "at": 100 * NS}]

    def everyone(self, second, **other):
        return [
            (second, f"f{n}", [[f"f{m}", 1, other.get(f"f{n}f{m}", "alive"), 1.0] for m in (1, 2, 3) if m != n])
            for n in (1, 2, 3)
        ]

    def test_false_gone_is_counted_once_and_killed_members_are_not(self):
        quiet = judge_members(self.day(*self.everyone(50), *self.everyone(60)), NS, 60 * NS)
        self.assertEqual((quiet["false_gone"], quiet["agreed_after_s"] is None, quiet["broken"]), (0, False, False))
        falsely_gone = judge_members(
            self.day(*self.everyone(50, f1f2="gone"), *self.everyone(51, f1f2="gone"), *self.everyone(60)), NS, 60 * NS
        )
        self.assertEqual((falsely_gone["false_gone"], falsely_gone["broken"]), (1, True))
        killed = self.day(
            *self.everyone(50),
            *self.everyone(60, f1f2="gone", f3f2="gone"),
            more=[{"ev": "front-down", "at": 55 * NS, "front": "f2", "life": "f2.1", "how": "killed"}],
        )
        judged = judge_members(killed, NS, 60 * NS)
        self.assertEqual((judged["false_gone"], judged["detected"], judged["not_detected"]), (0, 2, 0))
        self.assertEqual(judged["detected_periods_p99"], 5)

    def test_views_that_disagree_and_names_not_forgotten_are_reported(self):
        apart = judge_members(self.day(*self.everyone(60, f3f1="gone")), NS, 60 * NS)
        self.assertIsNone(apart["agreed_after_s"])
        stays = [view for second in range(40, 99) for view in self.everyone(second, f1f2="gone")]
        self.assertEqual(judge_members(self.day(*stays), NS, 10 * NS)["not_forgotten"], 1)

    def test_answers_to_corrupt_probes_and_to_earlier_lives_are_counted(self):
        def datagram_of(name, life, kind, probe):
            return encode(Frame("s", name, "h", 1, life, 0, 1, kind, probe)).hex()

        def received(at, front, data, corrupt=False):
            return {"ev": "peer-heard", "at": at * NS, "front": front, "data": data, "spoilt": corrupt}

        def answers(at, front, to, probe):
            return {"ev": "peer-said", "at": at * NS, "front": front, "to": to, "data": datagram_of(front, 1, 2, probe)}

        def sends(at):
            return {"ev": "peer-said", "at": at * NS, "front": "f1", "to": "f3", "data": datagram_of("f1", 1, 1, 99)}

        clean = [
            sends(49),
            received(50, "f1", datagram_of("f2", 1, 1, 7)),
            answers(51, "f1", "f2", 7),
            received(52, "f1", datagram_of("f2", 2, 1, 8)),
            received(53, "f1", datagram_of("f2", 1, 1, 9)),
        ]
        judged = judge_members(self.day(*self.everyone(60), more=clean), NS, 60 * NS)
        self.assertEqual((judged["old_life"], judged["old_life_taken"], judged["malformed_taken"]), (1, 0, 0))
        faulty = [
            *clean,
            answers(54, "f1", "f2", 9),
            received(55, "f1", datagram_of("f2", 2, 1, 10), corrupt=True),
            answers(56, "f1", "f2", 10),
        ]
        judged = judge_members(self.day(*self.everyone(60), more=faulty), NS, 60 * NS)
        self.assertEqual((judged["old_life_taken"], judged["malformed_taken"]), (1, 1))
        # a datagram delivered to the port of a starting front, before the port is open, is received by nobody
        started = [
            {"ev": "front-up", "at": 49 * NS, "front": "f1", "life": "f1.2"},
            received(50, "f1", datagram_of("f2", 2, 1, 8)),
            sends(51),
            received(52, "f1", datagram_of("f2", 1, 1, 9)),
            answers(53, "f1", "f2", 9),
        ]
        judged = judge_members(self.day(*self.everyone(60), more=started), NS, 60 * NS)
        self.assertEqual((judged["old_life"], judged["old_life_taken"]), (0, 0))


if __name__ == "__main__":
    unittest.main()
