"""Fronts that know each other: the I/O-free objects in virtual time, frames, the channel's bounds, and the judge."""

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
from curlewshift.membership.updates import News
from curlewshift.membership.views import Views
from curlewshift.peering.frames import MOST_BYTES, Frame, Refused, Window, decode, encode
from curlewshift.peering.rates import Allowance, Spent
from curlewshift.schedule.steady_clock import SteadyClock
from curlewshift.verdict.members import judge_members

SECOND = NS


def fleet(size, seed=1, links=None, **more):
    made = PeerFleet(size, seed, membership_terms(**more), links=links)
    made.start()
    assert made.until(made.agreed, 10) is not None
    return made


def ranks(made, holder, name):
    member = made.posts[holder].channel.membership.members.get(name)
    return None if member is None else member.rank


class Time(unittest.TestCase):
    def test_steps_back_and_what_was_slept_through_are_left_out(self):
        steady = SteadyClock(1000, slack=50)
        steady.due = 1100
        self.assertEqual(steady.read(1100), 1100)
        steady.due = 1200
        self.assertEqual(steady.read(400), 1100)
        self.assertEqual(steady.read(500), 1200)
        steady.due = 1300
        self.assertEqual(steady.read(10_000), 1300)
        self.assertEqual((steady.stalls, steady.reading_of(1400)), (2, 10_100))

    def test_a_little_late_is_time(self):
        steady = SteadyClock(0, slack=50)
        steady.due = 100
        self.assertEqual((steady.read(149), steady.stalls), (149, 0))


class Claims(unittest.TestCase):
    def test_the_order_is_life_then_incarnation_then_how_bad(self):
        worse = [Claim("x", "h", 1, life, incarnation, rank) for life in (1, 2) for incarnation in (0, 3) for rank in range(4)]
        for lower, higher in itertools.pairwise(worse):
            self.assertTrue(higher.over(lower) and not lower.over(higher))

    @settings(max_examples=60, deadline=None)
    @given(
        some.lists(some.tuples(some.integers(1, 3), some.integers(0, 3), some.integers(0, 3)), min_size=1, max_size=8),
        some.randoms(use_true_random=False),
    )
    def test_views_merge_to_the_same_in_any_order_and_however_often(self, told, rng):
        claims = [
            Claim("x", "10.9.9.9", 1, life, incarnation, rank, ("a",) if rank == 1 else ()) for life, incarnation, rank in told
        ]
        first = Claim("x", "10.9.9.9", 1, 1, 0, 0)
        ends = set()
        for _ in range(2):
            order = claims * 2
            rng.shuffle(order)
            made = PeerFleet(1, 1, membership_terms())
            made.start()
            known = made.posts[0].channel.membership
            known.told([first], "x")
            # by its own word: what others say of who is gone is weighed, and takes its time
            known.told(order, known.me.name)
            held = known.members["x"]
            ends.add((held.life, held.incarnation, held.rank, known.views.whole))
        self.assertEqual(len(ends), 1)
        highest = max([first, *claims], key=lambda claim: claim[3:6])
        self.assertEqual(ends.pop()[:3], highest[3:6])


class Detection(unittest.TestCase):
    def test_who_is_killed_is_gone_for_all_within_twelve_periods_and_forgotten_in_time(self):
        made = fleet(8)
        made.posts[3].kill()
        self.assertLess(made.until(made.agreed, 10), 12 * PERIOD / NS)
        made.run(1)
        self.assertEqual({ranks(made, 0, "f3"), ranks(made, 7, "f3")}, {Rank.GONE})
        made.run(62 * PERIOD / NS)
        self.assertEqual({ranks(made, 0, "f3"), ranks(made, 7, "f3")}, {None})

    def test_who_leaves_in_words_is_never_suspected(self):
        made = fleet(6)
        made.posts[2].channel.leave()
        made.run(0.05)
        made.posts[2].kill()
        self.assertLess(made.until(made.agreed, 5), 3 * PERIOD / NS)
        self.assertEqual((ranks(made, 0, "f2"), made.suspicions), (Rank.LEFT, 0))

    def test_without_a_fault_nobody_is_called_gone_at_loss_of_a_twentieth(self):
        made = fleet(16, links=Links(loss=0.05))
        made.run(240)
        self.assertEqual(made.calls, [])

    def test_halves_cut_apart_hold_the_same_within_ten_periods_of_healing(self):
        for side in ({0, 1, 2, 3}, {5}):
            made = fleet(8)
            made.links.parted = lambda a, b: (a in side) != (b in side)
            made.run(20 * PERIOD / NS)
            driver = next(number for number in range(8) if number not in side)
            self.assertEqual(ranks(made, driver, f"f{min(side)}"), Rank.GONE)
            made.links.parted = lambda a, b: False
            self.assertLess(made.until(made.agreed, 20), 10 * PERIOD / NS, side)

    def test_one_that_hears_and_is_not_heard_is_gone_and_comes_back_by_its_own_word(self):
        made = fleet(6)
        made.links.parted = lambda a, b: a == 4
        made.run(14 * PERIOD / NS)
        self.assertEqual(ranks(made, 0, "f4"), Rank.GONE)
        self.assertGreater(made.posts[4].channel.membership.refuted, 0)
        made.links.parted = lambda a, b: False
        self.assertLess(made.until(made.agreed, 20), 12 * PERIOD / NS)

    def test_a_paused_process_finds_itself_gone_contradicts_and_accuses_nobody(self):
        made = fleet(6)
        made.posts[1].pause()
        made.run(20 * PERIOD / NS)
        self.assertEqual(ranks(made, 0, "f1"), Rank.GONE)
        made.calls.clear()
        made.posts[1].go_on()
        self.assertLess(made.until(made.agreed, 20), 10 * PERIOD / NS)
        self.assertEqual([call for call in made.calls if call[1] == "f1"], [])
        self.assertGreater(made.posts[0].channel.membership.members["f1"].incarnation, 0)

    def test_that_it_contradicts_is_what_brings_it_back(self):
        made = PeerFleet(6, 1, membership_terms(), membership=MembershipWithoutRefutation)
        made.start()
        made.until(made.agreed, 10)
        made.posts[1].pause()
        made.run(20 * PERIOD / NS)
        made.posts[1].go_on()
        self.assertIsNone(made.until(made.agreed, 20))

    def test_clocks_set_by_ten_minutes_and_off_by_a_hundredth_harm_nobody(self):
        made = fleet(6)
        made.posts[0].set_clock(600 * SECOND)
        made.posts[1].set_clock(-600 * SECOND)
        for number, rate in ((2, 1.01), (3, 0.99)):
            post = made.posts[number]
            shown, post.rate = post.now(), rate
            post.offset += shown - post.now()
        made.run(60)
        self.assertEqual((made.calls, made.agreed()), ([], True))
        self.assertEqual([made.posts[n].channel.membership.steady.stalls for n in (0, 1)], [1, 1])


class Lives(unittest.TestCase):
    def test_seven_in_eight_start_again_at_once(self):
        made = fleet(8)
        for post in made.posts[1:]:
            post.kill()
        made.run(0.2)
        for post in made.posts[1:]:
            post.start()
        self.assertLess(made.until(made.agreed, 10), 10 * PERIOD / NS)

    def test_a_start_with_the_clock_set_back_takes_a_later_life_than_its_peers_know(self):
        made = fleet(4)
        before = made.posts[2].channel.membership.me.life
        made.posts[2].kill()
        made.posts[2].set_clock(-600 * SECOND)
        made.posts[2].start()
        self.assertLess(made.until(made.agreed, 10), 5)
        self.assertGreater(made.posts[2].channel.membership.me.life, before)

    def test_of_two_processes_of_one_name_the_later_is_in_and_the_earlier_silent_until_it_is_gone(self):
        made = fleet(4)
        earlier = made.posts[2].channel
        # the same name at another address
        twin = type(made.posts[2])(made, 2)
        twin.address = ("10.7.7.7", 4000)
        made.at[twin.address] = twin
        twin.start()
        made.until(lambda: earlier.membership.superseded, 5)
        made.run(3)
        self.assertTrue(earlier.membership.superseded)
        self.assertEqual(
            {post.channel.membership.members["f2"].life for post in made.posts if post.number != 2},
            {twin.channel.membership.me.life},
        )
        twin.kill()
        self.assertIsNotNone(made.until(lambda: not earlier.membership.superseded, 30))
        self.assertIsNotNone(made.until(made.agreed, 10))

    def test_a_seed_that_is_down_at_the_start_hinders_nobody_and_is_found_later(self):
        made = PeerFleet(5, 1, membership_terms())
        made.start([1, 2, 3, 4])
        self.assertLess(made.until(made.agreed, 10), 3)
        made.posts[0].start()
        self.assertLess(made.until(made.agreed, 10), 3)

    def test_a_datagram_of_an_earlier_life_changes_nothing_and_is_not_answered(self):
        made = fleet(3)
        old = encode(Frame("emulated", "f1", *made.posts[1].address, made.posts[1].channel.membership.me.life, 9, 5_000, 1, 77))
        made.posts[1].kill()
        made.posts[1].start()
        made.until(made.agreed, 5)
        at, before = made.posts[0].channel, made.posts[0].channel.membership.views.whole
        said = []
        made.posts[0].post = lambda address, data: said.append(decode(data, "emulated").kind)
        at.received(old)
        self.assertEqual((at.refused["old-life"], at.membership.views.whole, 2 in said), (1, before, False))

    def test_names_that_come_once_are_bounded_and_put_nobody_out(self):
        made = fleet(4, most_members=64)
        known = made.posts[0].channel.membership
        for number in range(5_000):
            known.told([Claim(f"once{number}", "10.8.0.1", 9, 1, 0, 0)], "f1")
        self.assertLessEqual(len(known.members), 64)
        self.assertGreater(known.no_room, 4_000)
        self.assertTrue({"f1", "f2", "f3"} <= set(known.members))
        self.assertIsNotNone(made.until(lambda: known.size == 4, 120))


class Histories(unittest.TestCase):
    def test_random_histories_end_in_agreement(self):
        for seed in range(120):
            self.assertIsNotNone(History(seed).run(), seed)

    def test_a_suspect_told_of_without_accusers_is_one_like_any_other(self):
        made = fleet(4)
        known = made.posts[0].channel.membership
        claim = known.members["f2"].claim()
        known.told([claim._replace(rank=int(Rank.SUSPECT)), Claim("new", "10.8.0.1", 9, 1, 0, int(Rank.SUSPECT))], "f1")
        self.assertEqual({known.members[name].rank for name in ("f2", "new")}, {Rank.SUSPECT})
        made.run(20)
        self.assertEqual((known.members["f2"].rank, known.members["new"].rank), (Rank.ALIVE, Rank.GONE))

    def test_a_probe_from_before_a_member_contradicted_accuses_it_no_more(self):
        made = fleet(4)
        known = made.posts[0].channel.membership
        target = known.members["f2"]
        for contradicted, rank in ((True, Rank.ALIVE), (False, Rank.SUSPECT)):
            known.probes[1] = Probe(target)
            if contradicted:
                known.told([target.claim()._replace(incarnation=target.incarnation + 1)], "f2")
            known._probe_over(1)
            self.assertIs(target.rank, rank)

    def test_those_that_once_did_not(self):
        # Chance is drawn in another order by now: these are kept as they were found, and the faults have stories of their own.
        # 28, 40: a silent earlier process of a name did not read that the later one was gone; 191, 3808: the last of many
        # waited nine periods for each of the others; 5: a suspect without accusers
        for seed in (5, 28, 40, 191, 3808):
            self.assertIsNotNone(History(seed).run(), seed)


class NewsAndViews(unittest.TestCase):
    def test_each_piece_is_told_a_bounded_number_of_times_the_least_told_first(self):
        news = News()
        for name in "abc":
            news.put(Claim(name, "h", 1, 1, 0, 0))
        taken = [[claim.name for claim in news.take(70, 3)] for _ in range(8)]
        self.assertEqual(sum(len(names) for names in taken), 9)
        self.assertEqual(len(news), 0)
        news.put(Claim("x", "h", 1, 1, 0, 0))
        news.put(Claim("x", "h", 1, 1, 1, 0))
        self.assertEqual([claim.incarnation for claim in news.take(1000, 1)], [1])

    def test_views_that_differ_name_the_buckets(self):
        one, other = Views(), Views()
        for number in range(50):
            one.flip(f"f{number}", 1, 0)
            other.flip(f"f{49 - number}", 1, 0)
        self.assertEqual((one.whole, one.differ(other.written())), (other.whole, []))
        other.flip("f7", 1, 0)
        other.flip("f7", 1, 1)
        self.assertEqual(len(one.differ(other.written())), 1)
        self.assertEqual(len(one.differ(b"short")), 32)
        self.assertTrue(other.sound())


class Frames(unittest.TestCase):
    def frame(self, **more):
        return Frame(**{**dict(site="s", name="f", host="127.0.0.1", port=1, life=1, incarnation=0, number=1, kind=1), **more})

    def refused(self, data):
        with self.assertRaises(Refused) as why:
            decode(data, "s")
        return str(why.exception)

    def test_what_is_not_whole_and_not_for_us_is_told_apart(self):
        data = encode(self.frame(claims=[("x", "h", 1, 2, 3, 1, ("a",))], body=b"b"))
        self.assertEqual(decode(data, "s").claims[0][6], ("a",))
        self.assertEqual(self.refused(data + b"x" * MOST_BYTES), "oversized")
        self.assertEqual(self.refused(b"GET / HTTP/1.1\r\n"), "other-form")
        self.assertEqual(self.refused(data[:3] + b"\x02" + data[4:]), "other-version")
        self.assertEqual(self.refused(encode(self.frame(site="t"))), "other-site")
        body = data[:4] + msgspec.msgpack.encode(["s", "f"])
        self.assertEqual(self.refused(body + zlib.crc32(body).to_bytes(4, "big")), "malformed")
        self.assertEqual(self.refused(encode(self.frame(life=2**62 + 5))), "malformed")

    @settings(max_examples=200, deadline=None)
    @given(some.data())
    def test_no_byte_may_be_changed_unseen(self, data):
        good = encode(self.frame())
        at, by = data.draw(some.integers(0, len(good) - 1)), data.draw(some.integers(1, 255))
        self.refused(good[:at] + bytes((good[at] ^ by,)) + good[at + 1 :])

    @settings(max_examples=200, deadline=None)
    @given(some.binary(max_size=1500))
    def test_nothing_that_comes_is_raised(self, data):
        made = PeerFleet(1, 1, membership_terms())
        made.start()
        channel = made.posts[0].channel
        body = b"CWP\x01" + data
        for came in (data, body, body + zlib.crc32(body).to_bytes(4, "big")):
            channel.received(came)
        self.assertEqual((sum(channel.refused.values()), channel.membership.members), (3, {}))

    def test_doubled_and_late_numbers_are_refused_and_reordered_ones_taken(self):
        window = Window(1)
        for number in (5, 3, 9, 4):
            window.take(number)
        for number, why in ((3, "doubled"), (9, "doubled")):
            with self.assertRaises(Refused) as refused:
                window.take(number)
            self.assertEqual(str(refused.exception), why)
        window.take(9 + Window.KEPT + 2)
        with self.assertRaises(Refused) as refused:
            window.take(10)
        self.assertEqual(str(refused.exception), "late")
        window.take(9 + 3)


class Bounds(unittest.TestCase):
    def test_an_allowance_is_not_passed_and_what_does_not_go_is_not_owed(self):
        allowance, rng, now, went = Allowance(1000, 0), random.Random(1), 0, 0
        for _ in range(5000):
            now += rng.randrange(10 * MS)
            size = rng.randrange(1, 300)
            went += size if allowance.take(now, size) else 0
        self.assertLessEqual(went, 1000 + now / NS * 1000)
        self.assertGreater(went, 0.9 * now / NS * 1000)

    def test_spent_fades(self):
        spent = Spent(0)
        spent.add(0, 1000)
        self.assertAlmostEqual(spent.read(10 * NS), 1000 / 2.718281828, delta=1)

    def test_pieces_keep_to_the_allowance_and_the_rest_comes_later(self):
        made = PeerFleet(300, 1, default_membership_terms(NS), seeds=1, most_bytes=4_000)
        made.start_settled()
        made.run(3)
        late = type(made.posts[0])(made, 300)
        made.posts.append(late)
        made.at[late.address] = late
        late.start()
        before = late.channel.received_bytes.whole
        made.run(0.1)
        self.assertLess(late.channel.membership.size, 200)
        self.assertLess(late.channel.received_bytes.whole - before, 10_000)
        self.assertIsNotNone(made.until(lambda: late.channel.membership.size == 301, 60))

    def test_other_subsystems_have_kinds_of_their_own_within_the_bounds(self):
        made = fleet(2)
        one, other = (post.channel for post in made.posts)
        heard = []
        other.carries(20, lambda sender, body: heard.append((sender.name, body)))
        with self.assertRaises(ValueError):
            other.carries(20, print)
        to = one.membership.members["f1"]
        self.assertTrue(one.say(to, 20, b"hello"))
        self.assertFalse(one.say(to, 20, b"x" * MOST_BYTES))
        made.run(0.1)
        self.assertEqual(heard, [("f0", b"hello")])


class Judging(unittest.TestCase):
    """The judge on made-up days; it knows nothing of the program."""

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

    def test_who_is_called_gone_for_nothing_is_counted_once_and_who_was_killed_is_not(self):
        quiet = judge_members(self.day(*self.everyone(50), *self.everyone(60)), NS, 60 * NS)
        self.assertEqual((quiet["false_gone"], quiet["agreed_after_s"] is None, quiet["broken"]), (0, False, False))
        wrong = judge_members(
            self.day(*self.everyone(50, f1f2="gone"), *self.everyone(51, f1f2="gone"), *self.everyone(60)), NS, 60 * NS
        )
        self.assertEqual((wrong["false_gone"], wrong["broken"]), (1, True))
        killed = self.day(
            *self.everyone(50),
            *self.everyone(60, f1f2="gone", f3f2="gone"),
            more=[{"ev": "front-down", "at": 55 * NS, "front": "f2", "life": "f2.1", "how": "killed"}],
        )
        told = judge_members(killed, NS, 60 * NS)
        self.assertEqual((told["false_gone"], told["detected"], told["not_detected"]), (0, 2, 0))
        self.assertEqual(told["detected_periods_p99"], 5)

    def test_views_that_do_not_meet_and_names_that_stay_are_told(self):
        apart = judge_members(self.day(*self.everyone(60, f3f1="gone")), NS, 60 * NS)
        self.assertIsNone(apart["agreed_after_s"])
        stays = [view for second in range(40, 99) for view in self.everyone(second, f1f2="gone")]
        self.assertEqual(judge_members(self.day(*stays), NS, 10 * NS)["not_forgotten"], 1)

    def test_answers_to_spoilt_probes_and_to_earlier_lives_are_counted(self):
        def said(name, life, kind, probe):
            return encode(Frame("s", name, "h", 1, life, 0, 1, kind, probe)).hex()

        def heard(at, front, data, spoilt=False):
            return {"ev": "peer-heard", "at": at * NS, "front": front, "data": data, "spoilt": spoilt}

        def answers(at, front, to, probe):
            return {"ev": "peer-said", "at": at * NS, "front": front, "to": to, "data": said(front, 1, 2, probe)}

        def speaks(at):
            return {"ev": "peer-said", "at": at * NS, "front": "f1", "to": "f3", "data": said("f1", 1, 1, 99)}

        clean = [
            speaks(49),
            heard(50, "f1", said("f2", 1, 1, 7)),
            answers(51, "f1", "f2", 7),
            heard(52, "f1", said("f2", 2, 1, 8)),
            heard(53, "f1", said("f2", 1, 1, 9)),
        ]
        told = judge_members(self.day(*self.everyone(60), more=clean), NS, 60 * NS)
        self.assertEqual((told["old_life"], told["old_life_taken"], told["malformed_taken"]), (1, 0, 0))
        bad = [
            *clean,
            answers(54, "f1", "f2", 9),
            heard(55, "f1", said("f2", 2, 1, 10), spoilt=True),
            answers(56, "f1", "f2", 10),
        ]
        told = judge_members(self.day(*self.everyone(60), more=bad), NS, 60 * NS)
        self.assertEqual((told["old_life_taken"], told["malformed_taken"]), (1, 1))
        # handed to the port of a front that starts, before it is open, a datagram is heard by nobody
        started = [
            {"ev": "front-up", "at": 49 * NS, "front": "f1", "life": "f1.2"},
            heard(50, "f1", said("f2", 2, 1, 8)),
            speaks(51),
            heard(52, "f1", said("f2", 1, 1, 9)),
            answers(53, "f1", "f2", 9),
        ]
        told = judge_members(self.day(*self.everyone(60), more=started), NS, 60 * NS)
        self.assertEqual((told["old_life"], told["old_life_taken"]), (0, 0))


if __name__ == "__main__":
    unittest.main()
