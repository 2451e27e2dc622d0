"""Overload as one: the same are shed everywhere, the least worth first, once, and no more than is short; hard cases by name."""

import itertools
import random
import unittest
from types import SimpleNamespace

from curlewshift.emulator.overloaded import Shedding
from curlewshift.emulator.planted_shedding_faults import FAULTS
from curlewshift.emulator.sizes import made_up
from curlewshift.emulator.world import World
from curlewshift.overload.level import HIGH, Level, Round
from curlewshift.overload.order import HOUR, STEPS, SheddingOrder
from curlewshift.overload.overload import Overload
from curlewshift.overload.retry_budget import LEAST, RetryAdvice, RetryBudget
from curlewshift.overload.terms import OverloadTerms
from curlewshift.verdict.shed import judge_shed, storm_duration_s
from curlewshift.verdict.verdict import Figures
from tests.fake import package
from tests.sockets import SmallSite, an_offer, story

MS = 1_000_000
SECOND = 1000 * MS
DEAR, USUAL, CHEAP = (package(name="dear", value=3.0), package(name="usual", value=2.0), package(name="cheap", value=1.0))
PACKAGES = [USUAL, CHEAP, DEAR]
TERMS = OverloadTerms(floor=0.05, longest_wait=10 * SECOND)


class Orders(unittest.TestCase):
    def test_worth_for_room_goes_before_the_hash_and_the_hash_is_the_same_everywhere_for_an_hour(self):
        one, other = SheddingOrder(PACKAGES, 0.05), SheddingOrder(list(reversed(PACKAGES)), 0.05)
        ranks = [one.rank(pack, f"v{n}", 5) for pack in (CHEAP, USUAL, DEAR) for n in range(50)]
        self.assertEqual(sorted(ranks[:50])[-1] < min(ranks[50:100]), True)
        self.assertEqual(ranks, [other.rank(pack, f"v{n}", HOUR - 1) for pack in (CHEAP, USUAL, DEAR) for n in range(50)])
        self.assertNotEqual(ranks, [one.rank(pack, f"v{n}", HOUR) for pack in (CHEAP, USUAL, DEAR) for n in range(50)])
        wide = package(name="wide", value=3.0, floor=1)
        self.assertGreater(
            SheddingOrder([wide, USUAL], 0.05).rank(USUAL, "v", 0), SheddingOrder([wide, USUAL], 0.05).rank(wide, "v", 0)
        )

    def test_who_comes_back_after_a_break_is_among_the_first_of_its_package_and_not_on_its_floor(self):
        order = SheddingOrder(PACKAGES, 0.05)
        ranks = [order.rank(CHEAP, f"v{n}", 0, came_back=True) for n in range(200)]
        self.assertTrue(min(ranks) > STEPS * 0.7 and not any(order.floored(rank) for rank in ranks))


class Levels(unittest.TestCase):
    def level(self):
        order = SheddingOrder(PACKAGES, 0.05)
        return order, Level(order.top, order.floored)

    def rounds(self, order, level, offered, room, count=20, who=""):
        """`offered` by package and second; the zone begins `room` a second of what is let in. Returns who was let in last."""
        for number in range(count):
            asks, let_in = {}, []
            for pack, many in offered.items():
                for one in range(many):
                    rank = order.rank(pack, f"{who}{pack.name} {number % 3} {one}", 0)
                    asks[rank] = asks.get(rank, 0) + 1
                    if rank >= level.cut or level.floored(rank):
                        let_in.append(rank)
            begun = min(room, len(let_in))
            level.round(Round(asks, begun, len(let_in) - begun))
        return let_in

    def test_underload_sheds_nobody(self):
        order, level = self.level()
        self.rounds(order, level, {CHEAP: 30, DEAR: 10}, 50)
        self.assertEqual((level.cut, level.why), (0, "nothing is short"))

    def test_ten_times_as_much_in_one_second_and_the_level_stands_within_three_rounds(self):
        order, level = self.level()
        self.rounds(order, level, {CHEAP: 20, USUAL: 10, DEAR: 10}, 50)
        self.rounds(order, level, {CHEAP: 200, USUAL: 100, DEAR: 100}, 50, 3)
        let_in = self.rounds(order, level, {CHEAP: 200, USUAL: 100, DEAR: 100}, 50, 1)
        self.assertLess(len(let_in), 2 * 50)
        self.assertGreater(level.cut, STEPS)

    def test_about_as_many_are_let_in_as_there_is_room_for_and_the_least_worth_are_shed(self):
        order, level = self.level()
        let_in = self.rounds(order, level, {CHEAP: 200, USUAL: 100, DEAR: 100}, 150, 40)
        self.assertTrue(150 <= len(let_in) <= 150 / (1 - HIGH) * 1.3, len(let_in))
        self.assertGreater(sum(rank >= 2 * STEPS for rank in let_in), 95)

    def test_a_cheap_package_that_is_nearly_all_of_the_asks_keeps_its_floor_and_takes_nothing_from_the_dear(self):
        order, level = self.level()
        let_in = self.rounds(order, level, {CHEAP: 380, DEAR: 20}, 60, 30)
        self.assertEqual(sum(rank >= 2 * STEPS for rank in let_in), 20)
        self.assertGreater(sum(rank < STEPS for rank in let_in), 380 * 0.02)

    def test_when_room_is_back_the_level_falls_to_nothing(self):
        order, level = self.level()
        self.rounds(order, level, {CHEAP: 200, DEAR: 100}, 50)
        self.assertGreater(level.cut, 0)
        self.rounds(order, level, {CHEAP: 20, DEAR: 10}, 50, 30)
        self.assertEqual(level.cut, 0)

    def test_it_does_not_swing(self):
        order, level = self.level()
        self.rounds(order, level, {CHEAP: 200, USUAL: 100, DEAR: 100}, 100, 30)
        seen = []
        for _ in range(30):
            seen.append(len(self.rounds(order, level, {CHEAP: 200, USUAL: 100, DEAR: 100}, 100, 1)))
        self.assertLess(max(seen), 1.6 * min(seen))

    def test_a_front_that_has_just_started_takes_the_level_that_it_hears_of_and_one_that_has_its_own_meets_it_by_steps(self):
        _, young = self.level()
        young.meet(100, "told")
        self.assertEqual((young.cut, young.why), (100, "told"))
        _order, old = self.level()
        for _ in range(3):
            old.round(Round())
        old.cut = 150
        old.meet(0, "told")
        self.assertTrue(100 < old.cut < 150)


class Fleet:
    """Fronts whose words arrive at once, unless they are cut apart; servers in zones with as much room as the test says."""

    def __init__(self, size=4, zones=("a", "b"), overload=Overload):
        self.clock, self.sides = 1000 * SECOND, None
        self.servers_ = [
            SimpleNamespace(zone=zone, open=True, link=SimpleNamespace(size=100.0), room=True) for zone in zones for _ in range(4)
        ]
        self.ends = [End(self, number, overload) for number in range(size)]

    def zone(self, name):
        return [server for server in self.servers_ if server.zone == name]

    def full(self, zone, full=True):
        for server in self.zone(zone):
            server.room = not full

    def second(self, asks, room):
        """`asks` are (front, package, holders, who); of those let in `room` begin in the order in which they come, the others
        are refused by their front's rules. Returns who was let in."""
        let_in = []
        for front, pack, holders, who in asks:
            if not self.ends[front].overload.asked(pack, holders, who):
                let_in.append(who)
                if len(let_in) <= room:
                    self.ends[front].overload.began(holders, who, False)
                else:
                    self.ends[front].overload.refused(holders)
        self.clock += SECOND
        for end in self.ends:
            end.overload.time()
        return let_in


class End:
    def __init__(self, fleet, number, overload, life=1):
        self.fleet, self.number, self.spoken, self.changes, self.life = fleet, number, 0, [], life
        self.overload = overload(self, f"f{number}", PACKAGES, TERMS, random.Random(number))

    def now(self):
        return self.fleet.clock

    wall = now

    def servers(self):
        return self.fleet.servers_

    def takes(self, server):
        return server.room

    def reaches(self, other):
        sides = self.fleet.sides
        return sides is None or (self.number in sides) == (other in sides)

    def members(self):
        return [f"f{n}" for n in range(len(self.fleet.ends)) if n != self.number and self.reaches(n)]

    def turned_off(self):
        return 0

    def tell_round(self, to, zone, asks, begun, short):
        self.spoken += 1
        if self.reaches(int(to[1:])):
            self.fleet.ends[int(to[1:])].overload.round_told(f"f{self.number}", self.life, self.spoken, zone, asks, begun, short)

    def tell_level(self, to, zone, cut, why):
        if self.reaches(int(to[1:])):
            self.fleet.ends[int(to[1:])].overload.level_told(zone, cut, why)

    def level_changed(self, zone, cut, before, why):
        self.changes.append((zone, cut))


class AsOne(unittest.TestCase):
    def crowd(self, fleet, count, holders, front=None):
        """So many asks in one second, at one front or round over all."""
        self.names = getattr(self, "names", 0) + count
        return [
            (
                one % len(fleet.ends) if front is None else front,
                (CHEAP, CHEAP, USUAL, DEAR)[one // 4 % 4],
                holders,
                f"w{self.names + one}",
            )
            for one in range(count)
        ]

    def overloaded(self, fleet, seconds=15, count=400, room=80, front=None, zone="a"):
        fleet.full(zone)
        for _ in range(seconds):
            let_in = fleet.second(self.crowd(fleet, count, fleet.zone(zone), front), room)
        return let_in

    def levels(self, fleet, zone="a"):
        return [end.overload.levels[zone].cut for end in fleet.ends]

    def test_who_is_refused_at_one_front_is_refused_at_the_next(self):
        fleet = Fleet()
        self.overloaded(fleet)
        levels = self.levels(fleet)
        self.assertTrue(min(levels) > 0 and max(levels) - min(levels) < STEPS // 4, levels)
        verdicts = [{who: bool(end.overload.asked(CHEAP, fleet.zone("a"), f"n{who}")) for who in range(50)} for end in fleet.ends]
        self.assertTrue(all(verdict == verdicts[0] for verdict in verdicts[1:]))

    def test_planted_faults_of_own_levels_and_of_no_floor_show(self):
        def let_in(fault):
            fleet = Fleet(overload=fault)
            self.overloaded(fleet)
            return [
                {who for who in range(300) if not end.overload.asked(CHEAP, fleet.zone("a"), f"n{who}")} for end in fleet.ends
            ]

        sound, own, none = (let_in(fault) for fault in (Overload, FAULTS["own-level-only"], FAULTS["no-floor"]))
        self.assertEqual(len({frozenset(one) for one in sound}), 1)
        self.assertEqual(len({frozenset(one) for one in own}), 4)
        self.assertTrue(sound[0] and not none[0])

    def test_only_the_zone_that_is_short_sheds_and_a_viewing_that_can_go_elsewhere_is_let_in(self):
        fleet = Fleet()
        self.overloaded(fleet)
        self.assertEqual(self.levels(fleet, "b"), [0] * 4)
        both = fleet.zone("a")[:1] + fleet.zone("b")[:1]
        self.assertTrue(all(not fleet.ends[0].overload.asked(CHEAP, both, f"n{n}") for n in range(20)))

    def test_a_crowd_for_one_title_whose_holders_are_full_sheds_nobody_else(self):
        fleet = Fleet(zones=("a", "a", "a"))
        holders = fleet.servers_[:1]
        holders[0].room = False
        for _ in range(15):
            rest = [(n % 4, CHEAP, fleet.servers_[1:], f"r{n}") for n in range(100)]
            asks = [(n % 4, CHEAP, holders, f"c{n}") for n in range(100)]
            let_in = fleet.second(rest + asks, 105)
        self.assertEqual((self.levels(fleet), sum(who.startswith("r") for who in let_in)), ([0] * 4, 100))

    def test_one_front_that_gets_ten_times_its_share_has_the_fleets_level_and_not_its_own(self):
        fleet = Fleet()
        self.overloaded(fleet, front=2)
        levels = self.levels(fleet)
        self.assertTrue(min(levels) > 0 and max(levels) - min(levels) < STEPS // 2, levels)

    def test_two_groups_cut_apart_have_levels_of_their_own_and_meet_without_a_swing(self):
        fleet = Fleet()
        fleet.sides = {0, 1}
        fleet.full("a")
        for _ in range(15):
            fleet.second([(n % 2, CHEAP, fleet.zone("a"), f"w{n}") for n in range(300)], 60)
        levels = self.levels(fleet)
        self.assertTrue(min(levels[:2]) > 0 and levels[2:] == [0, 0], levels)
        fleet.sides = None
        changes = [levels]
        for _ in range(10):
            fleet.second([(n % 2, CHEAP, fleet.zone("a"), f"w{n}") for n in range(300)], 60)
            changes.append(self.levels(fleet))
        self.assertLess(max(changes[-1]) - min(changes[-1]), STEPS // 4)
        steps = [abs(after[end] - before[end]) for before, after in itertools.pairwise(changes) for end in range(2)]
        self.assertLess(max(steps), STEPS)

    def test_a_part_that_hears_nothing_goes_on_with_the_level_it_has(self):
        fleet = Fleet()
        self.overloaded(fleet)
        before = self.levels(fleet)[3]
        fleet.sides = {3}
        for _ in range(5):
            fleet.second(self.crowd(fleet, 400, fleet.zone("a")), 80)
        self.assertGreater(self.levels(fleet)[3], before // 3)

    def test_nobody_can_have_a_front_shut_its_door_on_servers_that_it_sees_idle(self):
        fleet = Fleet()
        for _ in range(5):
            for end in fleet.ends:
                end.overload.level_told("a", 150, "so they say")
            fleet.second([(0, CHEAP, fleet.zone("a"), "w")], 10)
            for end in fleet.ends:
                end.overload.level_told("a", 150, "so they say")
        self.assertEqual(self.levels(fleet), [0] * 4)

    def test_a_told_level_is_followed_at_once_a_step_a_round_and_not_before_the_first(self):
        fleet = Fleet()
        fleet.full("a")
        one = fleet.ends[0].overload
        half = one.order.top // 2
        one.level_told("a", 200, "so they say")
        self.assertEqual(one.levels, {})
        fleet.second([], 0)
        one.levels["a"].young = 0
        one.level_told("a", 200, "so they say")
        self.assertEqual((one.levels["a"].cut, fleet.ends[0].changes), (half, [("a", half)]))
        # doubled, and a later word of the same round: no further step
        one.level_told("a", 200, "so they say")
        one.level_told("a", 0, "or so")
        self.assertEqual(one.levels["a"].cut, half)
        # the round itself takes none beside it; the next word does
        fleet.sides = {0}
        one.time()
        self.assertEqual(one.levels["a"].cut, half)
        one.level_told("a", 0, "or so")
        self.assertEqual(one.levels["a"].cut, half - one.order.top // 10)

    def test_a_front_that_has_just_started_has_the_level_after_one_round(self):
        fleet = Fleet()
        self.overloaded(fleet)
        fleet.ends[1] = End(fleet, 1, Overload, life=2)
        before = fleet.ends[0].overload.levels["a"].cut
        for _ in range(2):
            fleet.second(self.crowd(fleet, 400, fleet.zone("a")), 80)
        self.assertGreater(self.levels(fleet)[1], before // 2)

    def test_who_came_back_after_a_break_is_let_in_while_others_of_its_package_are_shed(self):
        fleet = Fleet()
        self.overloaded(fleet)
        one = fleet.ends[0].overload
        shed = next(f"n{n}" for n in range(99) if one.asked(CHEAP, fleet.zone("a"), f"n{n}"))
        one.began(fleet.zone("a"), shed, False)
        first = [one.order.rank(CHEAP, f"m{n}", 0, True) for n in range(50)]
        one.levels["a"].cut = min(first)
        self.assertEqual(one.asked(CHEAP, fleet.zone("a"), shed), 0)

    def test_shown_is_who_is_shed_and_why(self):
        fleet = Fleet()
        self.overloaded(fleet)
        row = fleet.ends[0].overload.show()["zones"][0]
        self.assertTrue(row["shed"]["cheap"] > row["shed"]["dear"] and "no room" in row["why"] and row["level"] > 0, row)


class WhatIsDoneAgain(unittest.TestCase):
    def test_tune_ins_beyond_the_first_are_paid_for_by_successes(self):
        again = RetryBudget(OverloadTerms(again_share=0.2, again_free=2.0), 0)
        for _ in range(2):
            self.assertTrue(again.may(0))
            again.spends(0)
        self.assertFalse(again.may(0))
        for _ in range(5):
            again.succeeded(0)
        self.assertTrue(again.may(0))
        again.spends(0)
        self.assertFalse(again.may(0))
        self.assertTrue(again.may(10 * SECOND))

    def test_with_many_fronts_the_free_ones_are_divided(self):
        def freely(fronts):
            again = RetryBudget(OverloadTerms(again_free=8.0, fronts=fronts), 0)
            made = 0
            while again.may(0):
                again.spends(0)
                made += 1
            return made

        self.assertEqual([freely(fronts) for fronts in (1, 4, 8)], [8, 2, 1])

    def test_a_crowd_that_is_refused_does_not_come_back_together(self):
        advice = RetryAdvice(TERMS, 0, random.Random(1))
        waits = sorted(advice.wait(f"v{n}", 0) for n in range(500))
        self.assertTrue(waits[0] >= LEAST and waits[-1] <= TERMS.longest_wait)
        most = max(sum(wait <= other < wait + SECOND // 10 for other in waits) for wait in waits)
        self.assertLess(most, 50)

    def test_the_more_are_away_for_the_room_there_is_the_longer_they_are_told(self):
        def mean(refused, begun):
            advice = RetryAdvice(TERMS, 0, random.Random(1))
            for _ in range(begun):
                advice.began(0)
            waits = [advice.wait(f"v{n}", 0) for n in range(refused)]
            return sum(waits[-20:]) / 20

        self.assertGreater(mean(200, 100), 2 * mean(20, 100))

    def test_who_ignores_advice_is_told_to_stay_away_for_longer_each_time(self):
        advice = RetryAdvice(TERMS, 0, random.Random(1))
        first = advice.wait("v", 0)
        self.assertTrue(advice.early("v", first - 1) and not advice.early("v", first))
        second = advice.wait("v", first // 2)
        self.assertGreaterEqual(second, 2 * LEAST)
        self.assertGreater(advice.told["v"][1], 0)


class InADeployment(unittest.TestCase):
    """The program's fronts in the emulator: eight of them, 24 servers, four times as many as there is room for."""

    def world(self, how, times=8.0, overload=Overload, **more):
        script = made_up(8, 24, 700, 20, 1.0, 1, troubles=more.pop("troubles", ()))
        script.each_second *= times
        script.site.obligations.longest_wait = 15 * SECOND
        terms = OverloadTerms(longest_wait=15 * SECOND, fronts=8)
        traffic = []
        world = World(script, 1, traffic, shedding=Shedding(terms, together=how == "one", overload=overload) if how else None)
        world.run()
        from curlewshift.fault_injection.rehearse import figures_of

        worth = {pack.name: pack.value / pack.rates[pack.floor] for pack in script.site.packages}
        from curlewshift.verdict.verdict import judge

        verdict = judge(traffic, figures_of(script.site))
        self.assertEqual([number for number, rule in verdict["rules"].items() if rule["broken"]], [])
        return judge_shed(traffic, figures_of(script.site), worth, terms.floor), world.viewers.tally

    def test_more_value_is_served_than_without_and_each_asks_less_often(self):
        alone, before = self.world(None)
        shed, after = self.world("one")
        self.assertGreater(after.served - after.spoilt, before.served - before.spoilt)
        self.assertLess(shed["asks_a_viewing"], 0.85 * alone["asks_a_viewing"])
        self.assertLess(shed["out_of_order"], alone["out_of_order"])

    def test_planted_faults_show(self):
        sound, _ = self.world("one")
        at_random, _ = self.world("one", overload=FAULTS["shed-at-random"])
        self.assertGreater(at_random["out_of_order"], 1.5 * sound["out_of_order"])
        together, _ = self.world("one", overload=FAULTS["synchronised-return"])
        self.assertGreater(together["came_together"], 1.4 * sound["came_together"])

    def test_at_half_load_nothing_is_shed_and_every_answer_is_as_without(self):
        _, before = self.world(None, 0.5)
        _, after = self.world("one", 0.5)
        self.assertEqual((after.plays, after.refused, after.asks), (before.plays, before.refused, before.asks))


class AtTheDoor(unittest.TestCase):
    """One front on sockets, whose level the test sets."""

    def shut(self, site):
        overload = site.front.sheds.overload
        overload.time()
        level = overload.levels["z"]
        level.cut = overload.order.top
        level.floored = overload.order.floored = lambda rank: False

    @story
    async def test_who_is_shed_is_told_at_once_when_to_come_back_and_no_server_hears_of_it(self):
        async with SmallSite(site={"overload": TERMS}).up() as site:
            self.shut(site)
            answered = await site.ask(headers=[("x-viewing", "v1")])
            self.assertEqual((answered.status, site.traffic.all("setup")), (503, []))
            self.assertGreaterEqual(int(answered.headers["retry-after"]), 1)
            site.front.sheds.overload.levels["z"].cut = 0
            self.assertEqual((await site.ask(headers=[("x-viewing", "v2")])).status, 201)

    @story
    async def test_a_paid_set_up_lost_in_the_moment_of_shedding_is_neither_refused_nor_sent_again(self):
        async with SmallSite(servers=1, site={"overload": TERMS}).up() as site:
            server = next(iter(site.servers.values()))
            server.loses_answers = "reset"
            key = [("idempotency-key", "k"), ("x-viewing", "v1")]
            offer = an_offer()
            first = await site.ask("paid", headers=key, offer=offer)
            self.shut(site)
            again = await site.ask("paid", headers=key, offer=offer)
            self.assertEqual((first.status, again.status, len(site.traffic.all("setup"))), (502, 502, 1))
            self.assertEqual((await site.ask("paid", headers=[("x-viewing", "v9")])).status, 503)

    @story
    async def test_tune_ins_beyond_the_first_stop_where_successes_do_not_pay_for_them(self):
        async with SmallSite(site={"overload": OverloadTerms(again_free=1.0, again_share=0.0)}).up() as site:
            for server in site.servers.values():
                server.draining = True
            await site.ask()
            spent = site.front.sheds.overload.again.spent
            await site.ask()
            self.assertEqual((spent, site.front.sheds.overload.again.spent), (1, 1))
            self.assertTrue(site.front.session_core.rules.again_stopped)


FIGURES = Figures(
    grace=0,
    warm_within=0,
    start_capacity=0,
    fall_multiple=0,
    fall_within=0,
    free_further=None,
    further_share=0.0,
    look_back=0,
    patience={},
    join_target={"dear": SECOND, "cheap": SECOND},
    value={"dear": 3.0, "cheap": 1.0},
    paid=set(),
    floor={},
    seats={},
)


class Judging(unittest.TestCase):
    def day(self, *asks):
        """(at in s, viewing, package, status)."""
        events = []
        for number, (at, viewing, pack, status) in enumerate(asks):
            facts = dict(request=f"{viewing}.{number}", viewing=viewing, front=f"f{number % 2}", package=pack, title="t")
            events += [
                {"ev": "viewing", "at": int(at * SECOND), "viewing": viewing, "package": pack},
                {"ev": "ask", "at": int(at * SECOND), **facts},
                {"ev": "answer", "at": int(at * SECOND) + MS, "status": status, **facts},
            ]
        return judge_shed(events, FIGURES, {"dear": 3.0, "cheap": 1.0}, 0.05)

    def test_refused_while_less_worth_is_let_in_beyond_its_floor_is_out_of_order(self):
        mixed = self.day(*[(1.5, f"d{n}", "dear", 503) for n in range(10)], *[(1.5, f"c{n}", "cheap", 201) for n in range(10)])
        self.assertGreater(mixed["out_of_order"], 0.5)
        self.assertTrue(mixed["broken"])
        right = self.day(*[(1.5, f"d{n}", "dear", 201) for n in range(10)], *[(1.5, f"c{n}", "cheap", 503) for n in range(10)])
        self.assertEqual((right["out_of_order"], right["broken"]), (0.0, False))

    def test_where_much_is_refused_and_the_dear_fare_no_better_it_is_told(self):
        def day(dear, cheap):
            return self.day(
                *[(n / 3, f"d{n}", "dear", 201 if n < dear else 503) for n in range(40)],
                *[(n / 3, f"c{n}", "cheap", 201 if n < cheap else 503) for n in range(40)],
            )["unordered"]

        self.assertEqual((day(10, 10), day(20, 10), day(35, 30)), (True, False, False))

    def test_a_package_of_which_nobody_is_let_in_for_a_while_starves(self):
        def day(let_in):
            return self.day(*[(n / 20, f"c{n}", "cheap", 201 if n % 50 == 7 and let_in else 503) for n in range(400)])["starved"]

        self.assertEqual((day(False), day(True)), (["cheap"], []))

    def test_who_comes_back_in_crowds_is_told(self):
        first = [(n / 50, f"c{n}", "cheap", 503) for n in range(300)]
        spread = self.day(*first, *[(7 + n / 20, f"c{n}", "cheap", 503) for n in range(300)])
        crowds = self.day(*first, *[(7 + n // 100 * 5 + n % 100 / 1000, f"c{n}", "cheap", 503) for n in range(300)])
        self.assertLess(spread["came_together"], 1.5)
        self.assertGreater(crowds["came_together"], 4)
        self.assertTrue(crowds["broken"])

    def test_a_storm_is_over_when_asks_are_what_they_were(self):
        events = [{"ev": "ask", "at": at * SECOND // 10} for at in range(100)]
        events += [{"ev": "ask", "at": 10 * SECOND + at * SECOND // 40} for at in range(400)]
        events += [{"ev": "ask", "at": 20 * SECOND + at * SECOND // 10} for at in range(200)]
        self.assertEqual(storm_duration_s(events, 10 * SECOND, 13 * SECOND), 7.0)


if __name__ == "__main__":
    unittest.main()
