"""Tests of overload control: all fronts shed the same viewings, the least valuable first, and no more than necessary; named edge
cases."""

import itertools
import random
import unittest
from types import SimpleNamespace

from curlewshift.emulator.overloaded import Shedding
from curlewshift.emulator.planted_shedding_faults import FAULTS
from curlewshift.emulator.sizes import made_up
from curlewshift.emulator.world import World
from curlewshift.overload.level import REFUSED_HIGH, Level, Round
from curlewshift.overload.order import HOUR_NS, STEPS_PER_PACKAGE, SheddingOrder
from curlewshift.overload.overload import Overload
from curlewshift.overload.retry_budget import MIN_WAIT_NS, RetryAdvice, RetryBudget
from curlewshift.overload.terms import OverloadTerms
from curlewshift.verdict.shed import judge_shed, storm_duration_s
from curlewshift.verdict.verdict import Figures
from tests.fake import package
from tests.sockets import SmallSite, an_offer, async_test

MS = 1_000_000
SECOND = 1000 * MS
DEAR, USUAL, CHEAP = (package(name="dear", value=3.0), package(name="usual", value=2.0), package(name="cheap", value=1.0))
PACKAGES = [USUAL, CHEAP, DEAR]
TERMS = OverloadTerms(floor=0.05, longest_wait=10 * SECOND)


class SheddingOrders(unittest.TestCase):
    def test_rank_follows_value_for_room_then_an_hourly_hash(self):
        one, other = SheddingOrder(PACKAGES, 0.05), SheddingOrder(list(reversed(PACKAGES)), 0.05)
        ranks = [one.rank(pack, f"v{n}", 5) for pack in (CHEAP, USUAL, DEAR) for n in range(50)]
        self.assertEqual(sorted(ranks[:50])[-1] < min(ranks[50:100]), True)
        self.assertEqual(ranks, [other.rank(pack, f"v{n}", HOUR_NS - 1) for pack in (CHEAP, USUAL, DEAR) for n in range(50)])
        self.assertNotEqual(ranks, [one.rank(pack, f"v{n}", HOUR_NS) for pack in (CHEAP, USUAL, DEAR) for n in range(50)])
        wide = package(name="wide", value=3.0, floor=1)
        self.assertGreater(
            SheddingOrder([wide, USUAL], 0.05).rank(USUAL, "v", 0), SheddingOrder([wide, USUAL], 0.05).rank(wide, "v", 0)
        )

    def test_returning_viewer_ranks_first_below_the_floor(self):
        order = SheddingOrder(PACKAGES, 0.05)
        ranks = [order.rank(CHEAP, f"v{n}", 0, came_back=True) for n in range(200)]
        self.assertTrue(min(ranks) > STEPS_PER_PACKAGE * 0.7 and not any(order.floored(rank) for rank in ranks))


class Levels(unittest.TestCase):
    def level(self):
        order = SheddingOrder(PACKAGES, 0.05)
        return order, Level(order.top, order.floored)

    def rounds(self, order, level, offered, room, count=20, who=""):
        """Viewings `offered` a second by package; the zone begins `room` a second of the admitted ones. Returns the ranks
        admitted last."""
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

    def test_level_rises_within_three_rounds_of_a_tenfold_surge(self):
        order, level = self.level()
        self.rounds(order, level, {CHEAP: 20, USUAL: 10, DEAR: 10}, 50)
        self.rounds(order, level, {CHEAP: 200, USUAL: 100, DEAR: 100}, 50, 3)
        let_in = self.rounds(order, level, {CHEAP: 200, USUAL: 100, DEAR: 100}, 50, 1)
        self.assertLess(len(let_in), 2 * 50)
        self.assertGreater(level.cut, STEPS_PER_PACKAGE)

    def test_admits_what_there_is_room_for_and_sheds_the_least_valuable(self):
        order, level = self.level()
        let_in = self.rounds(order, level, {CHEAP: 200, USUAL: 100, DEAR: 100}, 150, 40)
        self.assertTrue(150 <= len(let_in) <= 150 / (1 - REFUSED_HIGH) * 1.3, len(let_in))
        self.assertGreater(sum(rank >= 2 * STEPS_PER_PACKAGE for rank in let_in), 95)

    def test_dominant_cheap_package_keeps_only_its_floor(self):
        order, level = self.level()
        let_in = self.rounds(order, level, {CHEAP: 380, DEAR: 20}, 60, 30)
        self.assertEqual(sum(rank >= 2 * STEPS_PER_PACKAGE for rank in let_in), 20)
        self.assertGreater(sum(rank < STEPS_PER_PACKAGE for rank in let_in), 380 * 0.02)

    def test_level_falls_to_zero_when_room_returns(self):
        order, level = self.level()
        self.rounds(order, level, {CHEAP: 200, DEAR: 100}, 50)
        self.assertGreater(level.cut, 0)
        self.rounds(order, level, {CHEAP: 20, DEAR: 10}, 50, 30)
        self.assertEqual(level.cut, 0)

    def test_level_does_not_oscillate(self):
        order, level = self.level()
        self.rounds(order, level, {CHEAP: 200, USUAL: 100, DEAR: 100}, 100, 30)
        seen = []
        for _ in range(30):
            seen.append(len(self.rounds(order, level, {CHEAP: 200, USUAL: 100, DEAR: 100}, 100, 1)))
        self.assertLess(max(seen), 1.6 * min(seen))

    def test_new_front_adopts_the_announced_level_and_others_approach_it_by_steps(self):
        _, started = self.level()
        started.approach(100, "told")
        self.assertEqual((started.cut, started.why), (100, "told"))
        _order, running = self.level()
        for _ in range(3):
            running.round(Round())
        running.cut = 150
        running.approach(0, "told")
        self.assertTrue(100 < running.cut < 150)


class Fleet:
    """Fronts whose messages arrive at once, unless they are partitioned; servers in zones with as much room as the test says."""

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
        """`asks` are (front, package, holders, viewer). Of the admitted, the first `room` begin in order of arrival, the others
        are refused by their front's rules. Returns the admitted viewers."""
        let_in = []
        for front, pack, holders, who in asks:
            if not self.ends[front].overload.admission_wait(pack, holders, who):
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
        self.fleet, self.number, self.messages_sent, self.changes, self.life = fleet, number, 0, [], life
        self.overload = overload(self, f"f{number}", PACKAGES, TERMS, random.Random(number))

    def now(self):
        return self.fleet.clock

    wall = now

    def servers(self):
        return self.fleet.servers_

    def can_admit(self, server):
        return server.room

    def reaches(self, other):
        sides = self.fleet.sides
        return sides is None or (self.number in sides) == (other in sides)

    def members(self):
        return [f"f{n}" for n in range(len(self.fleet.ends)) if n != self.number and self.reaches(n)]

    def connections_refused(self):
        return 0

    def send_round(self, to, zone, asks, begun, short):
        self.messages_sent += 1
        if self.reaches(int(to[1:])):
            self.fleet.ends[int(to[1:])].overload.receive_round(
                f"f{self.number}", self.life, self.messages_sent, zone, asks, begun, short
            )

    def send_level(self, to, zone, cut, why):
        if self.reaches(int(to[1:])):
            self.fleet.ends[int(to[1:])].overload.receive_level(zone, cut, why)

    def level_changed(self, zone, cut, before, why):
        self.changes.append((zone, cut))


class SharedLevels(unittest.TestCase):
    def crowd(self, fleet, count, holders, front=None):
        """`count` asks in one second, at one front or in turn at all."""
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

    def test_all_fronts_refuse_the_same_viewers(self):
        fleet = Fleet()
        self.overloaded(fleet)
        levels = self.levels(fleet)
        self.assertTrue(min(levels) > 0 and max(levels) - min(levels) < STEPS_PER_PACKAGE // 4, levels)
        verdicts = [
            {who: bool(end.overload.admission_wait(CHEAP, fleet.zone("a"), f"n{who}")) for who in range(50)} for end in fleet.ends
        ]
        self.assertTrue(all(verdict == verdicts[0] for verdict in verdicts[1:]))

    def test_planted_faults_of_own_levels_and_no_floor_are_visible(self):
        def let_in(fault):
            fleet = Fleet(overload=fault)
            self.overloaded(fleet)
            return [
                {who for who in range(300) if not end.overload.admission_wait(CHEAP, fleet.zone("a"), f"n{who}")}
                for end in fleet.ends
            ]

        sound, own, none = (let_in(fault) for fault in (Overload, FAULTS["own-level-only"], FAULTS["no-floor"]))
        self.assertEqual(len({frozenset(one) for one in sound}), 1)
        self.assertEqual(len({frozenset(one) for one in own}), 4)
        self.assertTrue(sound[0] and not none[0])

    def test_only_the_short_zone_sheds_and_other_zones_admit(self):
        fleet = Fleet()
        self.overloaded(fleet)
        self.assertEqual(self.levels(fleet, "b"), [0] * 4)
        both = fleet.zone("a")[:1] + fleet.zone("b")[:1]
        self.assertTrue(all(not fleet.ends[0].overload.admission_wait(CHEAP, both, f"n{n}") for n in range(20)))

    def test_crowd_for_one_full_title_sheds_no_other_viewings(self):
        fleet = Fleet(zones=("a", "a", "a"))
        holders = fleet.servers_[:1]
        holders[0].room = False
        for _ in range(15):
            rest = [(n % 4, CHEAP, fleet.servers_[1:], f"r{n}") for n in range(100)]
            asks = [(n % 4, CHEAP, holders, f"c{n}") for n in range(100)]
            let_in = fleet.second(rest + asks, 105)
        self.assertEqual((self.levels(fleet), sum(who.startswith("r") for who in let_in)), ([0] * 4, 100))

    def test_front_with_ten_times_its_share_follows_the_common_level(self):
        fleet = Fleet()
        self.overloaded(fleet, front=2)
        levels = self.levels(fleet)
        self.assertTrue(min(levels) > 0 and max(levels) - min(levels) < STEPS_PER_PACKAGE // 2, levels)

    def test_partitioned_groups_converge_by_steps_after_healing(self):
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
        self.assertLess(max(changes[-1]) - min(changes[-1]), STEPS_PER_PACKAGE // 4)
        steps = [abs(after[end] - before[end]) for before, after in itertools.pairwise(changes) for end in range(2)]
        self.assertLess(max(steps), STEPS_PER_PACKAGE)

    def test_isolated_front_goes_on_from_its_level(self):
        fleet = Fleet()
        self.overloaded(fleet)
        before = self.levels(fleet)[3]
        fleet.sides = {3}
        for _ in range(5):
            fleet.second(self.crowd(fleet, 400, fleet.zone("a")), 80)
        self.assertGreater(self.levels(fleet)[3], before // 3)

    def test_announced_level_is_not_followed_while_servers_are_idle(self):
        fleet = Fleet()
        for _ in range(5):
            for end in fleet.ends:
                end.overload.receive_level("a", 150, "so they say")
            fleet.second([(0, CHEAP, fleet.zone("a"), "w")], 10)
            for end in fleet.ends:
                end.overload.receive_level("a", 150, "so they say")
        self.assertEqual(self.levels(fleet), [0] * 4)

    def test_announced_level_is_followed_at_once_one_step_a_round(self):
        fleet = Fleet()
        fleet.full("a")
        one = fleet.ends[0].overload
        half = one.order.top // 2
        one.receive_level("a", 200, "so they say")
        self.assertEqual(one.levels, {})
        fleet.second([], 0)
        one.levels["a"].adopt_rounds_left = 0
        one.receive_level("a", 200, "so they say")
        self.assertEqual((one.levels["a"].cut, fleet.ends[0].changes), (half, [("a", half)]))
        # a duplicate and a later announcement in the same round: no further step
        one.receive_level("a", 200, "so they say")
        one.receive_level("a", 0, "or so")
        self.assertEqual(one.levels["a"].cut, half)
        # the round itself takes no further step; the next announcement does
        fleet.sides = {0}
        one.time()
        self.assertEqual(one.levels["a"].cut, half)
        one.receive_level("a", 0, "or so")
        self.assertEqual(one.levels["a"].cut, half - one.order.top // 10)

    def test_restarted_front_has_the_level_after_one_round(self):
        fleet = Fleet()
        self.overloaded(fleet)
        fleet.ends[1] = End(fleet, 1, Overload, life=2)
        before = fleet.ends[0].overload.levels["a"].cut
        for _ in range(2):
            fleet.second(self.crowd(fleet, 400, fleet.zone("a")), 80)
        self.assertGreater(self.levels(fleet)[1], before // 2)

    def test_returning_viewer_is_admitted_while_others_of_its_package_are_shed(self):
        fleet = Fleet()
        self.overloaded(fleet)
        one = fleet.ends[0].overload
        shed = next(f"n{n}" for n in range(99) if one.admission_wait(CHEAP, fleet.zone("a"), f"n{n}"))
        one.began(fleet.zone("a"), shed, False)
        first = [one.order.rank(CHEAP, f"m{n}", 0, True) for n in range(50)]
        one.levels["a"].cut = min(first)
        self.assertEqual(one.admission_wait(CHEAP, fleet.zone("a"), shed), 0)

    def test_show_has_shed_packages_and_the_reason(self):
        fleet = Fleet()
        self.overloaded(fleet)
        row = fleet.ends[0].overload.show()["zones"][0]
        self.assertTrue(row["shed"]["cheap"] > row["shed"]["dear"] and "no room" in row["why"] and row["level"] > 0, row)


class Retries(unittest.TestCase):
    def test_further_tune_ins_are_paid_for_by_successes(self):
        budget = RetryBudget(OverloadTerms(again_share=0.2, again_free=2.0), 0)
        for _ in range(2):
            self.assertTrue(budget.may_retry(0))
            budget.spend(0)
        self.assertFalse(budget.may_retry(0))
        for _ in range(5):
            budget.succeeded(0)
        self.assertTrue(budget.may_retry(0))
        budget.spend(0)
        self.assertFalse(budget.may_retry(0))
        self.assertTrue(budget.may_retry(10 * SECOND))

    def test_free_retries_are_divided_among_fronts(self):
        def free_retries(fronts):
            budget = RetryBudget(OverloadTerms(again_free=8.0, fronts=fronts), 0)
            made = 0
            while budget.may_retry(0):
                budget.spend(0)
                made += 1
            return made

        self.assertEqual([free_retries(fronts) for fronts in (1, 4, 8)], [8, 2, 1])

    def test_refused_crowd_does_not_return_at_once(self):
        advice = RetryAdvice(TERMS, 0, random.Random(1))
        waits = sorted(advice.wait(f"v{n}", 0) for n in range(500))
        self.assertTrue(waits[0] >= MIN_WAIT_NS and waits[-1] <= TERMS.longest_wait)
        fullest = max(sum(wait <= other < wait + SECOND // 10 for other in waits) for wait in waits)
        self.assertLess(fullest, 50)

    def test_waits_grow_with_the_queue_for_room(self):
        def mean(refused, begun):
            advice = RetryAdvice(TERMS, 0, random.Random(1))
            for _ in range(begun):
                advice.began(0)
            waits = [advice.wait(f"v{n}", 0) for n in range(refused)]
            return sum(waits[-20:]) / 20

        self.assertGreater(mean(200, 100), 2 * mean(20, 100))

    def test_early_returns_lengthen_the_wait(self):
        advice = RetryAdvice(TERMS, 0, random.Random(1))
        first = advice.wait("v", 0)
        self.assertTrue(advice.early("v", first - 1) and not advice.early("v", first))
        second = advice.wait("v", first // 2)
        self.assertGreaterEqual(second, 2 * MIN_WAIT_NS)
        self.assertGreater(advice.advised["v"][1], 0)


class InADeployment(unittest.TestCase):
    """The real fronts in the emulator: eight of them with 24 servers, and four times the load that there is room for."""

    def world(self, mode, times=8.0, overload=Overload, **more):
        script = made_up(8, 24, 700, 20, 1.0, 1, troubles=more.pop("troubles", ()))
        script.each_second *= times
        script.site.obligations.longest_wait = 15 * SECOND
        terms = OverloadTerms(longest_wait=15 * SECOND, fronts=8)
        traffic = []
        world = World(script, 1, traffic, shedding=Shedding(terms, together=mode == "one", overload=overload) if mode else None)
        world.run()
        from curlewshift.fault_injection.rehearse import figures_of

        worth = {pack.name: pack.value / pack.rates[pack.floor] for pack in script.site.packages}
        from curlewshift.verdict.verdict import judge

        verdict = judge(traffic, figures_of(script.site))
        self.assertEqual([number for number, rule in verdict["rules"].items() if rule["broken"]], [])
        return judge_shed(traffic, figures_of(script.site), worth, terms.floor), world.viewers.tally

    def test_shedding_serves_more_value_with_fewer_asks(self):
        alone, before = self.world(None)
        shed, after = self.world("one")
        self.assertGreater(after.served - after.spoilt, before.served - before.spoilt)
        self.assertLess(shed["asks_a_viewing"], 0.85 * alone["asks_a_viewing"])
        self.assertLess(shed["out_of_order"], alone["out_of_order"])

    def test_planted_faults_are_visible(self):
        sound, _ = self.world("one")
        at_random, _ = self.world("one", overload=FAULTS["shed-at-random"])
        self.assertGreater(at_random["out_of_order"], 1.5 * sound["out_of_order"])
        together, _ = self.world("one", overload=FAULTS["synchronised-return"])
        self.assertGreater(together["came_together"], 1.4 * sound["came_together"])

    def test_half_load_sheds_nothing_and_changes_no_answer(self):
        _, before = self.world(None, 0.5)
        _, after = self.world("one", 0.5)
        self.assertEqual((after.plays, after.refused, after.asks), (before.plays, before.refused, before.asks))


class Admission(unittest.TestCase):
    """One front on sockets, with a level set by the test."""

    def raise_level_to_top(self, site):
        overload = site.front.shedding.overload
        overload.time()
        level = overload.levels["z"]
        level.cut = overload.order.top
        level.floored = overload.order.floored = lambda rank: False

    @async_test
    async def test_shed_request_gets_retry_after_and_reaches_no_server(self):
        async with SmallSite(site={"overload": TERMS}).up() as site:
            self.raise_level_to_top(site)
            answered = await site.ask(headers=[("x-viewing", "v1")])
            self.assertEqual((answered.status, site.traffic.all("setup")), (503, []))
            self.assertGreaterEqual(int(answered.headers["retry-after"]), 1)
            site.front.shedding.overload.levels["z"].cut = 0
            self.assertEqual((await site.ask(headers=[("x-viewing", "v2")])).status, 201)

    @async_test
    async def test_paid_set_up_lost_during_shedding_is_neither_refused_nor_resent(self):
        async with SmallSite(servers=1, site={"overload": TERMS}).up() as site:
            server = next(iter(site.servers.values()))
            server.loses_answers = "reset"
            key = [("idempotency-key", "k"), ("x-viewing", "v1")]
            offer = an_offer()
            first = await site.ask("paid", headers=key, offer=offer)
            self.raise_level_to_top(site)
            again = await site.ask("paid", headers=key, offer=offer)
            self.assertEqual((first.status, again.status, len(site.traffic.all("setup"))), (502, 502, 1))
            self.assertEqual((await site.ask("paid", headers=[("x-viewing", "v9")])).status, 503)

    @async_test
    async def test_further_tune_ins_stop_without_successes_to_pay_for_them(self):
        async with SmallSite(site={"overload": OverloadTerms(again_free=1.0, again_share=0.0)}).up() as site:
            for server in site.servers.values():
                server.draining = True
            await site.ask()
            spent = site.front.shedding.overload.retry_budget.spent
            await site.ask()
            self.assertEqual((spent, site.front.shedding.overload.retry_budget.spent), (1, 1))
            self.assertTrue(site.front.session_core.rules.retries_stopped)


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


class SheddingVerdict(unittest.TestCase):
    def day(self, *asks):
        """Judges asks given as (at in s, viewing, package, status)."""
        events = []
        for number, (at, viewing, pack, status) in enumerate(asks):
            facts = dict(request=f"{viewing}.{number}", viewing=viewing, front=f"f{number % 2}", package=pack, title="t")
            events += [
                {"ev": "viewing", "at": int(at * SECOND), "viewing": viewing, "package": pack},
                {"ev": "ask", "at": int(at * SECOND), **facts},
                {"ev": "answer", "at": int(at * SECOND) + MS, "status": status, **facts},
            ]
        return judge_shed(events, FIGURES, {"dear": 3.0, "cheap": 1.0}, 0.05)

    def test_refusal_while_less_valuable_is_admitted_is_out_of_order(self):
        mixed = self.day(*[(1.5, f"d{n}", "dear", 503) for n in range(10)], *[(1.5, f"c{n}", "cheap", 201) for n in range(10)])
        self.assertGreater(mixed["out_of_order"], 0.5)
        self.assertTrue(mixed["broken"])
        right = self.day(*[(1.5, f"d{n}", "dear", 201) for n in range(10)], *[(1.5, f"c{n}", "cheap", 503) for n in range(10)])
        self.assertEqual((right["out_of_order"], right["broken"]), (0.0, False))

    def test_refusals_that_do_not_favour_the_valuable_are_reported(self):
        def day(dear, cheap):
            return self.day(
                *[(n / 3, f"d{n}", "dear", 201 if n < dear else 503) for n in range(40)],
                *[(n / 3, f"c{n}", "cheap", 201 if n < cheap else 503) for n in range(40)],
            )["unordered"]

        self.assertEqual((day(10, 10), day(20, 10), day(35, 30)), (True, False, False))

    def test_package_with_nobody_admitted_starves(self):
        def day(let_in):
            return self.day(*[(n / 20, f"c{n}", "cheap", 201 if n % 50 == 7 and let_in else 503) for n in range(400)])["starved"]

        self.assertEqual((day(False), day(True)), (["cheap"], []))

    def test_returns_in_crowds_are_reported(self):
        first = [(n / 50, f"c{n}", "cheap", 503) for n in range(300)]
        spread = self.day(*first, *[(7 + n / 20, f"c{n}", "cheap", 503) for n in range(300)])
        crowds = self.day(*first, *[(7 + n // 100 * 5 + n % 100 / 1000, f"c{n}", "cheap", 503) for n in range(300)])
        self.assertLess(spread["came_together"], 1.5)
        self.assertGreater(crowds["came_together"], 4)
        self.assertTrue(crowds["broken"])

    def test_storm_ends_when_asks_are_back_to_normal(self):
        events = [{"ev": "ask", "at": at * SECOND // 10} for at in range(100)]
        events += [{"ev": "ask", "at": 10 * SECOND + at * SECOND // 40} for at in range(400)]
        events += [{"ev": "ask", "at": 20 * SECOND + at * SECOND // 10} for at in range(200)]
        self.assertEqual(storm_duration_s(events, 10 * SECOND, 13 * SECOND), 7.0)


if __name__ == "__main__":
    unittest.main()
