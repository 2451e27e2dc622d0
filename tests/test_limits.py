"""At the door's limits: who comes in, who waits, who is told no, and that nobody is lost."""

import collections
import errno
import random
import secrets
import unittest
from unittest import mock

import anyio

from curlewshift.exchange.client import connect
from curlewshift.limits.admission import Admission, Bounds
from curlewshift.limits.buckets import Buckets
from curlewshift.limits.concurrency import Concurrency
from curlewshift.limits.descriptors import DescriptorGate
from curlewshift.limits.heavy import HeavyHitters
from curlewshift.limits.prefixes import Prefixes
from curlewshift.limits.queue import Lines, Ticket
from tests.fake import MS, SECOND
from tests.sockets import SDP, SmallSite, an_offer, story, until


class InBuckets(unittest.TestCase):
    def test_a_bucket_gives_its_burst_and_then_its_pace_and_refills(self):
        buckets = Buckets(2.0, 4.0, 0)
        self.assertEqual([buckets.take("a", 0) for _ in range(4)], [0] * 4)
        wait = buckets.take("a", 0)
        self.assertGreater(wait, 0)
        self.assertEqual(buckets.take("a", wait), 0)
        self.assertEqual([buckets.take("a", 100 * SECOND) > 0 for _ in range(5)], [False] * 4 + [True])

    def test_one_off_keys_neither_fill_memory_nor_free_who_is_held_back(self):
        buckets = Buckets(0.001, 2.0, 0, most=100)
        while not buckets.take("flooder", 0):
            pass
        let_in = sum(not buckets.take(f"one-off {number}", number) for number in range(5000))
        self.assertLessEqual(len(buckets), 100)
        self.assertGreater(buckets.take("flooder", 5000), 0)
        # a table full of keys that have not refilled: new ones share one bucket
        self.assertLess(let_in, 300)

    def test_keys_that_have_refilled_make_place(self):
        buckets = Buckets(10.0, 2.0, 0, most=10)
        let_in = sum(not buckets.take(str(number), number * SECOND) for number in range(200))
        self.assertEqual((let_in, len(buckets)), (200, 10))

    def test_a_clock_that_jumps_back_gives_nothing_and_takes_nothing(self):
        buckets = Buckets(1.0, 1.0, 0)
        self.assertEqual(buckets.take("a", 10 * SECOND), 0)
        self.assertGreater(buckets.take("a", SECOND), 0)
        self.assertGreater(buckets.take("a", SECOND), 0)

    def test_a_limit_lowered_while_running_holds_at_once(self):
        buckets = Buckets(100.0, 100.0, 0)
        buckets.take("a", 0)
        buckets.set_rate(1.0, 2.0)
        self.assertEqual([buckets.take("a", 1) > 0 for _ in range(3)], [False, False, True])
        self.assertEqual([key for key, _, _ in buckets.refused(1)], ["a"])


class ByPrefix(unittest.TestCase):
    def test_a_flooder_that_changes_its_address_is_one_source(self):
        prefixes, rng = Prefixes(2.0, 0), random.Random(1)
        named = {prefixes.source(f"2001:db8:1:2:{rng.randrange(65536):x}::1", 0) for _ in range(50)}
        self.assertEqual(named, {"2001:db8:1:2::/64"})
        named = collections.Counter(prefixes.source(f"2001:db8:7:{n:x}::1", 0) for n in range(4000))
        self.assertIn("2001:db8:7::/48", named)
        self.assertEqual(prefixes.source("2001:db8:9:9::1", 0), "2001:db8:9:9::/64", "others keep their own")

    def test_neighbours_of_ipv4_are_their_own_and_mapped_ones_too(self):
        prefixes = Prefixes(2.0, 0)
        self.assertEqual(prefixes.source("192.0.2.1", 0), "192.0.2.1/32")
        self.assertEqual(prefixes.source("::ffff:192.0.2.1", 0), "192.0.2.1/32")
        self.assertEqual(prefixes.source("fe80::1%eth0", 0), "fe80::/64")
        self.assertEqual(prefixes.source("no address", 0), "no address")

    def test_memory_is_bounded_and_what_is_quiet_is_let_go(self):
        prefixes, rng = Prefixes(2.0, 0, most=1000), random.Random(1)
        for number in range(20_000):
            prefixes.source(f"2001:{rng.randrange(65536):x}:{rng.randrange(65536):x}::1", number * MS)
        self.assertLessEqual(len(prefixes), 1000 + 4)

    def test_a_flood_is_forgotten(self):
        prefixes = Prefixes(2.0, 0)
        for number in range(4000):
            prefixes.source(f"2001:db8:7:{number:x}::1", 0)
        self.assertEqual(prefixes.source("2001:db8:7:1::1", 300 * SECOND), "2001:db8:7:1::/64")


class Heaviest(unittest.TestCase):
    def test_whoever_asks_for_more_than_its_part_is_found_and_errors_are_bounded(self):
        heavy, exact, rng = HeavyHitters(0, places=64), collections.Counter(), random.Random(2)
        for _ in range(20_000):
            key = f"h{rng.randrange(5)}" if rng.random() < 0.4 else f"one-off {rng.random()}"
            exact[key] += 1
            heavy.add(key, 0)
        top = heavy.top(64)
        self.assertEqual({f"h{n}" for n in range(5)}, {key for key, _, _ in top[:5]})
        for key, count, error in top:
            self.assertLessEqual(count - error, exact[key])
            self.assertGreaterEqual(count, exact[key])
            self.assertLessEqual(error, 20_000 / 64)

    def test_an_old_flood_weighs_no_more(self):
        heavy = HeavyHitters(0, places=8)
        for _ in range(1000):
            heavy.add("old", 0)
        for number in range(100):
            heavy.add("new", 200 * SECOND + number)
        self.assertEqual(heavy.top(1)[0][0], "new")


class InLine(unittest.TestCase):
    def test_a_flood_waits_behind_itself(self):
        lines = Lines(SECOND)
        flood = [Ticket("flood", False, 0) for _ in range(20)]
        for ticket in flood:
            lines.join(ticket)
        one = Ticket("one", False, 1)
        lines.join(one)
        self.assertIn(one, [lines.next(2), lines.next(2)])

    def test_a_line_is_bounded_and_so_are_all(self):
        lines = Lines(SECOND, most_of_one=3, most_of_all=5)
        self.assertEqual([lines.join(Ticket("a", False, 0)) for _ in range(4)], [True] * 3 + [False])
        self.assertEqual([lines.join(Ticket(str(n), False, 0)) for n in range(3)], [True, True, False])

    def test_a_head_that_has_given_up_is_no_turn(self):
        lines = Lines(SECOND)
        first, second = Ticket("a", False, 0), Ticket("a", False, 1)
        lines.join(first)
        lines.join(second)
        lines.leave(first)
        self.assertIs(lines.next(2), second)
        self.assertEqual((lines.next(3), len(lines)), (None, 0))

    def test_under_overload_the_newest_is_taken_and_the_old_run_out(self):
        lines = Lines(SECOND)
        tickets = [Ticket("a", False, number * 100 * MS) for number in range(10)]
        for ticket in tickets:
            lines.join(ticket)
        self.assertIs(lines.next(950 * MS), tickets[-1])
        self.assertEqual(lines.too_old(1200 * MS), tickets[:3])


class Places(unittest.TestCase):
    def test_slow_answers_shrink_it_and_quick_ones_let_it_grow_again(self):
        limit, now = Concurrency(0), 0
        for _ in range(200):
            now += 10 * MS
            limit.answered(40 * MS, int(limit.limit), now)
        grown = limit.limit
        self.assertGreater(grown, 64)
        for _ in range(200):
            now += 10 * MS
            limit.answered(900 * MS, int(limit.limit), now)
        self.assertLess(limit.limit, grown / 3)
        shrunk = limit.limit
        for _ in range(400):
            now += 10 * MS
            limit.answered(40 * MS, int(limit.limit), now)
        self.assertGreater(limit.limit, 2 * shrunk)

    def test_a_quiet_time_gives_no_places_that_nobody_needed(self):
        limit = Concurrency(0)
        for number in range(1000):
            limit.answered(40 * MS, 1, number * MS)
        self.assertLessEqual(limit.limit, 64)


class AtTheDoor(unittest.TestCase):
    def admission(self, most=8, source=0.0, holder=0.0, in_line=SECOND, **more):
        self.told = []
        bounds = Bounds(
            **{
                **dict(
                    source=source,
                    holder=holder,
                    build=0.0,
                    package=0.0,
                    burst=2.0,
                    longest_wait=4 * SECOND,
                    in_line=in_line,
                    most=most,
                ),
                **more,
            }
        )
        return Admission(bounds, 1, 0, self.told.append)

    def test_known_checkers_behind_the_flooders_address_are_not_held_back(self):
        admission = self.admission(most=1000, source=2.0)
        flood = [admission.asked("192.0.2.1", None, "x", "p", n) for n in range(100)]
        known = [admission.asked("192.0.2.1", f"checker {n % 30}", "x", "p", 100 + n) for n in range(30)]
        self.assertEqual({ticket.state for ticket in known}, {"in"})
        self.assertEqual(collections.Counter(ticket.state for ticket in flood)["in"], 4)

    def test_places_kept_for_known_clients_are_lent_while_they_are_idle_and_given_back(self):
        admission, now = self.admission(most=8), 10 * SECOND
        lent = [admission.asked(f"192.0.2.{n}", None, "x", "p", now) for n in range(8)]
        self.assertEqual({ticket.state for ticket in lent}, {"in"})
        known = admission.asked("192.0.2.99", "one", "x", "p", now)
        self.assertEqual(known.state, "waiting")
        # the next place that comes free is the known client's, whoever came before
        stranger = admission.asked("192.0.2.98", None, "x", "p", now)
        admission.answered(lent[0], now + MS, False)
        self.assertEqual((known.state, stranger.state, self.told), ("in", "waiting", [known]))
        admission.answered(lent[1], now + 2 * MS, False)
        self.assertEqual(stranger.state, "waiting", "places are kept while known clients come")
        later = now + 3 * SECOND
        admission.answered(lent[2], later, False)
        admission.tick(later)
        self.assertIn(stranger.state, ("in", "no"))

    def test_each_ticket_that_waits_is_told_once(self):
        admission, rng, now, waiting = self.admission(most=4, in_line=SECOND // 2), random.Random(4), 0, []
        inside = []
        for _ in range(3000):
            now += rng.randrange(1, 30) * MS
            if waiting and rng.random() < 0.1:
                one = rng.choice(waiting)
                admission.gave_up(one, now)
                waiting.remove(one)
            ticket = admission.asked(f"192.0.2.{rng.randrange(6)}", None, "x", "p", now)
            (inside if ticket.state == "in" else waiting).append(ticket) if ticket.state != "no" else None
            if inside and rng.random() < 0.6:
                admission.answered(inside.pop(0), now, rng.random() < 0.8)
            admission.tick(now)
            for told in self.told:
                self.assertIn(told.state, ("in", "no"))
                waiting.remove(told)
                if told.state == "in":
                    inside.append(told)
            self.told.clear()
            self.assertEqual(admission.in_work, sum(one.state == "in" for one in inside))
            self.assertLessEqual(admission.in_work, int(admission.concurrency.most))
        while inside:
            now += 10 * MS
            admission.answered(inside.pop(), now, True)
            inside += [told for told in self.told if told.state == "in"]
            self.told.clear()
        admission.tick(now + SECOND)
        self.assertEqual((len(admission.lines), admission.in_work), (0, 0))

    def test_advice_spreads_a_crowd_and_is_longer_for_who_comes_too_soon(self):
        admission = self.admission(most=2, in_line=1, longest_wait=60 * SECOND)
        for _ in range(2):
            admission.asked("192.0.2.1", None, "x", "p", 0)
        refused = [admission.asked(f"198.51.100.{n}", None, "x", "p", MS) for n in range(200)]
        admission.tick(10 * MS)
        waits = sorted(ticket.wait for ticket in refused if ticket.state == "no")
        self.assertGreater(len(waits), 150)
        self.assertGreater(waits[-1] - waits[0], 4 * SECOND)

    def test_who_comes_back_too_soon_is_told_longer_and_who_waits_is_not(self):
        waits = {}
        for kind in ("hasty", "patient"):
            admission, now, waits[kind] = self.admission(most=1, in_line=1, longest_wait=60 * SECOND), 0, []
            admission.asked("192.0.2.1", None, "x", "p", 0)
            for _ in range(5):
                ticket = admission.asked("198.51.100.1", None, "x", "p", now)
                admission.tick(now + 2)
                waits[kind].append(ticket.wait)
                now += ticket.wait + SECOND if kind == "patient" else 10 * MS
        self.assertGreater(waits["hasty"][-1], 4 * waits["hasty"][0])
        self.assertLess(max(waits["patient"]), 4 * SECOND)

    def test_who_is_held_back_is_shown(self):
        admission = self.admission(most=100, source=1.0)
        for number in range(50):
            admission.asked("192.0.2.7", None, "x", "p", number)
        shown = admission.show(SECOND // 2)
        self.assertEqual(shown["held_back"][0]["who"], "prefix 192.0.2.7/32")
        self.assertEqual(shown["heaviest"][0]["who"], "prefix 192.0.2.7/32")
        self.assertEqual(shown["refused"], {"prefix": 48})


class Connection:
    def __init__(self, rested_at, at_work=False):
        self.rested_at, self.at_work, self.gone = rested_at, at_work, False

    def drop(self):
        self.gone = True


class Descriptors(unittest.TestCase):
    def test_idle_connections_make_room_and_those_at_work_do_not(self):
        gate = DescriptorGate(64, lambda: 100.0)
        connections = [Connection(90.0 + number, at_work=number % 2 == 0) for number in range(10)]
        for connection in connections:
            gate.opened(connection)
        gate.make_room()
        self.assertEqual([connection.gone for connection in connections], [number % 2 == 1 for number in range(10)])

    def test_an_accept_that_found_none_left_makes_the_gate_narrower_but_not_shut(self):
        gate = DescriptorGate(100, lambda: 0.0)
        first = gate.most
        for _ in range(100):
            gate.ran_out()
        self.assertEqual(gate.most, first // 2)


class OnSockets(unittest.TestCase):
    LIMITS = Bounds(
        source=3.0, holder=0.0, build=0.0, package=0.0, burst=2.0, longest_wait=2 * SECOND, in_line=SECOND // 4, most=100
    )

    @story
    async def test_a_flood_is_refused_with_429_and_advice_and_costs_no_tune_in(self):
        async with SmallSite(site={"limits": self.LIMITS}).up() as site:
            answers = [await site.ask() for _ in range(12)]
            statuses = collections.Counter(answer.status for answer in answers)
            self.assertEqual(set(statuses), {201, 429})
            self.assertEqual(len(site.traffic.all("setup")), statuses[201])
            refused = next(answer for answer in answers if answer.status == 429)
            self.assertGreaterEqual(int(refused.headers["retry-after"]), 1)
            self.assertEqual(site.front.http_listener.admission.in_work, 0)

    @story
    async def test_ten_thousand_requests_down_one_connection_are_each_answered(self):
        async with SmallSite(site={"limits": self.LIMITS}).up() as site:
            call, count = await connect("127.0.0.1", site.port, 2.0), 300
            statuses = collections.Counter()
            for _ in range(count):
                answered = await call.ask("POST", "/whep/clip/t", [SDP], an_offer())
                statuses[answered.status] += 1
                if not call.again():
                    await call.close()
                    call = await connect("127.0.0.1", site.port, 2.0)
            await call.close()
            self.assertEqual(sum(statuses.values()), count)
            self.assertLess(statuses[201], 40)

    @story
    async def test_no_descriptor_left_at_accept_is_a_pause_and_not_the_end(self):
        async with SmallSite().up() as site:
            listener = site.front.listener
            sound, left = listener.accept, [3]

            async def accept():
                if left[0]:
                    left[0] -= 1
                    raise OSError(errno.EMFILE, "too many open files")
                return await sound()

            with mock.patch.object(listener, "accept", accept):
                # the accept that is under way ends with this one
                self.assertEqual((await site.ask()).status, 201)
                self.assertEqual((await site.ask()).status, 201)
            self.assertEqual((left[0], site.front.gate.none_left), (0, 3))

    @story
    async def test_idle_connections_give_way_when_the_gate_is_full(self):
        async with SmallSite().up() as site:
            site.front.gate.most = 4
            idle = [await connect("127.0.0.1", site.port, 2.0) for _ in range(4)]
            await until(lambda: len(site.front.gate.connections) == 4)
            for connection in site.front.gate.connections:
                connection.rested_at -= 10
            self.assertEqual((await site.ask()).status, 201)
            self.assertGreater(site.front.gate.dropped, 0)
            for call in idle:
                await call.close()

    @story
    async def test_who_hangs_up_in_line_frees_its_place(self):
        bounds = Bounds(
            source=0.0, holder=0.0, build=0.0, package=0.0, burst=2.0, longest_wait=SECOND, in_line=10 * SECOND, most=1
        )
        async with SmallSite(site={"limits": bounds}).up() as site:
            for server in site.servers.values():
                server.setup_work = 0.3
            first = []

            async def one():
                first.append(await site.ask())

            site.tasks.start_soon(one)
            admission = site.front.http_listener.admission
            await until(lambda: admission.in_work == 1)
            call = await connect("127.0.0.1", site.port, 2.0)
            with anyio.move_on_after(0.1):
                await call.ask("POST", "/whep/clip/t", [SDP, ("x-request-id", secrets.token_hex(4))], an_offer())
            await call.close()
            await until(lambda: not len(admission.lines))
            await until(lambda: bool(first))
            self.assertEqual(first[0].status, 201)
            self.assertEqual((await site.ask()).status, 201)
            self.assertEqual(admission.in_work, 0)


if __name__ == "__main__":
    unittest.main()
