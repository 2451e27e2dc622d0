"""Admission control: which requests are admitted, wait or are refused, and that each one gets a decision."""

import collections
import errno
import random
import secrets
import unittest
from unittest import mock

import anyio

from curlewshift.exchange.client import connect
from curlewshift.limits.admission import Admission, AdmissionLimits
from curlewshift.limits.buckets import Buckets
from curlewshift.limits.concurrency import Concurrency
from curlewshift.limits.descriptors import DescriptorGate
from curlewshift.limits.heavy import HeavyHitters
from curlewshift.limits.prefixes import Prefixes
from curlewshift.limits.queue import SourceQueues, Ticket
from tests.fake import MS, SECOND
from tests.sockets import SDP, SmallSite, an_offer, async_test, until


class TokenBuckets(unittest.TestCase):
    def test_bucket_allows_burst_then_rate_and_refills(self):
        buckets = Buckets(2.0, 4.0, 0)
        self.assertEqual([buckets.take("a", 0) for _ in range(4)], [0] * 4)
        wait = buckets.take("a", 0)
        self.assertGreater(wait, 0)
        self.assertEqual(buckets.take("a", wait), 0)
        self.assertEqual([buckets.take("a", 100 * SECOND) > 0 for _ in range(5)], [False] * 4 + [True])

    def test_single_use_keys_neither_fill_memory_nor_evict_limited_keys(self):
        buckets = Buckets(0.001, 2.0, 0, max_keys=100)
        while not buckets.take("flooder", 0):
            pass
        admitted = sum(not buckets.take(f"one-off {number}", number) for number in range(5000))
        self.assertLessEqual(len(buckets), 100)
        self.assertGreater(buckets.take("flooder", 5000), 0)
        # the table is full of buckets that have not refilled, so new keys share one bucket
        self.assertLess(admitted, 300)

    def test_refilled_buckets_are_evicted(self):
        buckets = Buckets(10.0, 2.0, 0, max_keys=10)
        admitted = sum(not buckets.take(str(number), number * SECOND) for number in range(200))
        self.assertEqual((admitted, len(buckets)), (200, 10))

    def test_clock_stepping_back_neither_adds_nor_removes_tokens(self):
        buckets = Buckets(1.0, 1.0, 0)
        self.assertEqual(buckets.take("a", 10 * SECOND), 0)
        self.assertGreater(buckets.take("a", SECOND), 0)
        self.assertGreater(buckets.take("a", SECOND), 0)

    def test_lowered_rate_applies_at_once(self):
        buckets = Buckets(100.0, 100.0, 0)
        buckets.take("a", 0)
        buckets.set_rate(1.0, 2.0)
        self.assertEqual([buckets.take("a", 1) > 0 for _ in range(3)], [False, False, True])
        self.assertEqual([key for key, _, _ in buckets.refused(1)], ["a"])


class AddressPrefixes(unittest.TestCase):
    def test_flood_from_changing_addresses_is_one_source(self):
        prefixes, rng = Prefixes(2.0, 0), random.Random(1)
        named = {prefixes.source(f"2001:db8:1:2:{rng.randrange(65536):x}::1", 0) for _ in range(50)}
        self.assertEqual(named, {"2001:db8:1:2::/64"})
        named = collections.Counter(prefixes.source(f"2001:db8:7:{n:x}::1", 0) for n in range(4000))
        self.assertIn("2001:db8:7::/48", named)
        self.assertEqual(prefixes.source("2001:db8:9:9::1", 0), "2001:db8:9:9::/64", "other sources keep their default prefix")

    def test_ipv4_addresses_are_separate_sources_also_when_mapped(self):
        prefixes = Prefixes(2.0, 0)
        self.assertEqual(prefixes.source("192.0.2.1", 0), "192.0.2.1/32")
        self.assertEqual(prefixes.source("::ffff:192.0.2.1", 0), "192.0.2.1/32")
        self.assertEqual(prefixes.source("fe80::1%eth0", 0), "fe80::/64")
        self.assertEqual(prefixes.source("no address", 0), "no address")

    def test_node_count_is_bounded_by_pruning(self):
        prefixes, rng = Prefixes(2.0, 0, max_nodes=1000), random.Random(1)
        for number in range(20_000):
            prefixes.source(f"2001:{rng.randrange(65536):x}:{rng.randrange(65536):x}::1", number * MS)
        self.assertLessEqual(len(prefixes), 1000 + 4)

    def test_flood_counts_decay(self):
        prefixes = Prefixes(2.0, 0)
        for number in range(4000):
            prefixes.source(f"2001:db8:7:{number:x}::1", 0)
        self.assertEqual(prefixes.source("2001:db8:7:1::1", 300 * SECOND), "2001:db8:7:1::/64")


class HeavyHitterSketch(unittest.TestCase):
    def test_heavy_keys_are_found_and_errors_are_bounded(self):
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

    def test_counts_of_an_old_flood_decay(self):
        heavy = HeavyHitters(0, places=8)
        for _ in range(1000):
            heavy.add("old", 0)
        for number in range(100):
            heavy.add("new", 200 * SECOND + number)
        self.assertEqual(heavy.top(1)[0][0], "new")


class FairQueues(unittest.TestCase):
    def test_flood_delays_only_its_own_source(self):
        queues = SourceQueues(SECOND)
        flood = [Ticket("flood", False, 0) for _ in range(20)]
        for ticket in flood:
            queues.join(ticket)
        other = Ticket("one", False, 1)
        queues.join(other)
        self.assertIn(other, [queues.next(2), queues.next(2)])

    def test_queue_length_is_bounded_per_source_and_in_total(self):
        queues = SourceQueues(SECOND, max_per_source=3, max_waiting=5)
        self.assertEqual([queues.join(Ticket("a", False, 0)) for _ in range(4)], [True] * 3 + [False])
        self.assertEqual([queues.join(Ticket(str(n), False, 0)) for n in range(3)], [True, True, False])

    def test_ticket_that_left_is_not_served(self):
        queues = SourceQueues(SECOND)
        first, second = Ticket("a", False, 0), Ticket("a", False, 1)
        queues.join(first)
        queues.join(second)
        queues.leave(first)
        self.assertIs(queues.next(2), second)
        self.assertEqual((queues.next(3), len(queues)), (None, 0))

    def test_overload_serves_newest_first_and_old_tickets_expire(self):
        queues = SourceQueues(SECOND)
        tickets = [Ticket("a", False, number * 100 * MS) for number in range(10)]
        for ticket in tickets:
            queues.join(ticket)
        self.assertIs(queues.next(950 * MS), tickets[-1])
        self.assertEqual(queues.take_expired(1200 * MS), tickets[:3])


class ConcurrencyLimit(unittest.TestCase):
    def test_slow_responses_lower_the_limit_and_fast_ones_raise_it(self):
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

    def test_limit_does_not_grow_while_unused(self):
        limit = Concurrency(0)
        for number in range(1000):
            limit.answered(40 * MS, 1, number * MS)
        self.assertLessEqual(limit.limit, 64)


class AdmissionControl(unittest.TestCase):
    def admission(self, most=8, source=0.0, holder=0.0, queue_timeout=SECOND, **more):
        self.notified = []
        bounds = AdmissionLimits(
            **{
                **dict(
                    source=source,
                    holder=holder,
                    build=0.0,
                    package=0.0,
                    burst=2.0,
                    longest_wait=4 * SECOND,
                    queue_timeout=queue_timeout,
                    max_concurrency=most,
                ),
                **more,
            }
        )
        return Admission(bounds, 1, 0, self.notified.append)

    def test_known_clients_at_a_flooding_address_are_admitted(self):
        admission = self.admission(most=1000, source=2.0)
        flood = [admission.request("192.0.2.1", None, "x", "p", n) for n in range(100)]
        known = [admission.request("192.0.2.1", f"checker {n % 30}", "x", "p", 100 + n) for n in range(30)]
        self.assertEqual({ticket.state for ticket in known}, {"in"})
        self.assertEqual(collections.Counter(ticket.state for ticket in flood)["in"], 4)

    def test_reserved_places_are_lent_while_known_clients_are_idle_and_given_back(self):
        admission, now = self.admission(most=8), 10 * SECOND
        borrowed = [admission.request(f"192.0.2.{n}", None, "x", "p", now) for n in range(8)]
        self.assertEqual({ticket.state for ticket in borrowed}, {"in"})
        known = admission.request("192.0.2.99", "one", "x", "p", now)
        self.assertEqual(known.state, "waiting")
        # the next free place goes to the known client, even though others have waited longer
        unknown = admission.request("192.0.2.98", None, "x", "p", now)
        admission.answered(borrowed[0], now + MS, False)
        self.assertEqual((known.state, unknown.state, self.notified), ("in", "waiting", [known]))
        admission.answered(borrowed[1], now + 2 * MS, False)
        self.assertEqual(unknown.state, "waiting", "places are reserved while known clients ask")
        later = now + 3 * SECOND
        admission.answered(borrowed[2], later, False)
        admission.tick(later)
        self.assertIn(unknown.state, ("in", "no"))

    def test_each_waiting_ticket_is_notified_once(self):
        admission, rng, now, waiting = self.admission(most=4, queue_timeout=SECOND // 2), random.Random(4), 0, []
        admitted_tickets = []
        for _ in range(3000):
            now += rng.randrange(1, 30) * MS
            if waiting and rng.random() < 0.1:
                leaver = rng.choice(waiting)
                admission.disconnected(leaver, now)
                waiting.remove(leaver)
            ticket = admission.request(f"192.0.2.{rng.randrange(6)}", None, "x", "p", now)
            (admitted_tickets if ticket.state == "in" else waiting).append(ticket) if ticket.state != "no" else None
            if admitted_tickets and rng.random() < 0.6:
                admission.answered(admitted_tickets.pop(0), now, rng.random() < 0.8)
            admission.tick(now)
            for notified in self.notified:
                self.assertIn(notified.state, ("in", "no"))
                waiting.remove(notified)
                if notified.state == "in":
                    admitted_tickets.append(notified)
            self.notified.clear()
            self.assertEqual(admission.in_progress, sum(ticket.state == "in" for ticket in admitted_tickets))
            self.assertLessEqual(admission.in_progress, int(admission.concurrency.max_limit))
        while admitted_tickets:
            now += 10 * MS
            admission.answered(admitted_tickets.pop(), now, True)
            admitted_tickets += [notified for notified in self.notified if notified.state == "in"]
            self.notified.clear()
        admission.tick(now + SECOND)
        self.assertEqual((len(admission.queues), admission.in_progress), (0, 0))

    def test_retry_times_of_a_crowd_are_spread(self):
        admission = self.admission(most=2, queue_timeout=1, longest_wait=60 * SECOND)
        for _ in range(2):
            admission.request("192.0.2.1", None, "x", "p", 0)
        refused = [admission.request(f"198.51.100.{n}", None, "x", "p", MS) for n in range(200)]
        admission.tick(10 * MS)
        waits = sorted(ticket.wait for ticket in refused if ticket.state == "no")
        self.assertGreater(len(waits), 150)
        self.assertGreater(waits[-1] - waits[0], 4 * SECOND)

    def test_retry_time_grows_only_for_clients_that_return_early(self):
        waits = {}
        for kind in ("hasty", "patient"):
            admission, now, waits[kind] = self.admission(most=1, queue_timeout=1, longest_wait=60 * SECOND), 0, []
            admission.request("192.0.2.1", None, "x", "p", 0)
            for _ in range(5):
                ticket = admission.request("198.51.100.1", None, "x", "p", now)
                admission.tick(now + 2)
                waits[kind].append(ticket.wait)
                now += ticket.wait + SECOND if kind == "patient" else 10 * MS
        self.assertGreater(waits["hasty"][-1], 4 * waits["hasty"][0])
        self.assertLess(max(waits["patient"]), 4 * SECOND)

    def test_limited_sources_are_shown(self):
        admission = self.admission(most=100, source=1.0)
        for number in range(50):
            admission.request("192.0.2.7", None, "x", "p", number)
        shown = admission.show(SECOND // 2)
        self.assertEqual(shown["held_back"][0]["who"], "prefix 192.0.2.7/32")
        self.assertEqual(shown["heaviest"][0]["who"], "prefix 192.0.2.7/32")
        self.assertEqual(shown["refused"], {"prefix": 48})


class Connection:
    def __init__(self, idle_since_s, is_busy=False):
        self.idle_since_s, self.is_busy, self.gone = idle_since_s, is_busy, False

    def drop(self):
        self.gone = True


class DescriptorLimit(unittest.TestCase):
    def test_only_idle_connections_are_dropped(self):
        gate = DescriptorGate(64, lambda: 100.0)
        connections = [Connection(90.0 + number, is_busy=number % 2 == 0) for number in range(10)]
        for connection in connections:
            gate.opened(connection)
        gate.make_room()
        self.assertEqual([connection.gone for connection in connections], [number % 2 == 1 for number in range(10)])

    def test_accept_without_descriptor_lowers_the_limit_to_half_at_most(self):
        gate = DescriptorGate(100, lambda: 0.0)
        first = gate.max_connections
        for _ in range(100):
            gate.ran_out()
        self.assertEqual(gate.max_connections, first // 2)


class OnSockets(unittest.TestCase):
    LIMITS = AdmissionLimits(
        source=3.0,
        holder=0.0,
        build=0.0,
        package=0.0,
        burst=2.0,
        longest_wait=2 * SECOND,
        queue_timeout=SECOND // 4,
        max_concurrency=100,
    )

    @async_test
    async def test_flood_is_refused_with_429_and_retry_after_and_costs_no_tune_in(self):
        async with SmallSite(site={"limits": self.LIMITS}).up() as site:
            answers = [await site.ask() for _ in range(12)]
            statuses = collections.Counter(answer.status for answer in answers)
            self.assertEqual(set(statuses), {201, 429})
            self.assertEqual(len(site.traffic.all("setup")), statuses[201])
            refused = next(answer for answer in answers if answer.status == 429)
            self.assertGreaterEqual(int(refused.headers["retry-after"]), 1)
            self.assertEqual(site.front.http_listener.admission.in_progress, 0)

    @async_test
    async def test_each_of_many_requests_on_one_connection_is_answered(self):
        async with SmallSite(site={"limits": self.LIMITS}).up() as site:
            call, count = await connect("127.0.0.1", site.port, 2.0), 300
            statuses = collections.Counter()
            for _ in range(count):
                answered = await call.ask("POST", "/whep/clip/t", [SDP], an_offer())
                statuses[answered.status] += 1
                if not call.prepare_next_request():
                    await call.close()
                    call = await connect("127.0.0.1", site.port, 2.0)
            await call.close()
            self.assertEqual(sum(statuses.values()), count)
            self.assertLess(statuses[201], 40)

    @async_test
    async def test_accept_without_descriptor_pauses_the_listener_only(self):
        async with SmallSite().up() as site:
            listener = site.front.listener
            accept_connection, failures_left = listener.accept, [3]

            async def accept():
                if failures_left[0]:
                    failures_left[0] -= 1
                    raise OSError(errno.EMFILE, "too many open files")
                return await accept_connection()

            with mock.patch.object(listener, "accept", accept):
                # the accept in progress completes with this request
                self.assertEqual((await site.ask()).status, 201)
                self.assertEqual((await site.ask()).status, 201)
            self.assertEqual((failures_left[0], site.front.gate.none_left), (0, 3))

    @async_test
    async def test_idle_connections_are_dropped_when_the_limit_is_reached(self):
        async with SmallSite().up() as site:
            site.front.gate.max_connections = 4
            idle = [await connect("127.0.0.1", site.port, 2.0) for _ in range(4)]
            await until(lambda: len(site.front.gate.connections) == 4)
            for connection in site.front.gate.connections:
                connection.idle_since_s -= 10
            self.assertEqual((await site.ask()).status, 201)
            self.assertGreater(site.front.gate.dropped, 0)
            for call in idle:
                await call.close()

    @async_test
    async def test_disconnecting_while_waiting_frees_the_place_in_the_queue(self):
        bounds = AdmissionLimits(
            source=0.0,
            holder=0.0,
            build=0.0,
            package=0.0,
            burst=2.0,
            longest_wait=SECOND,
            queue_timeout=10 * SECOND,
            max_concurrency=1,
        )
        async with SmallSite(site={"limits": bounds}).up() as site:
            for server in site.servers.values():
                server.setup_work = 0.3
            first = []

            async def request():
                first.append(await site.ask())

            site.tasks.start_soon(request)
            admission = site.front.http_listener.admission
            await until(lambda: admission.in_progress == 1)
            call = await connect("127.0.0.1", site.port, 2.0)
            with anyio.move_on_after(0.1):
                await call.ask("POST", "/whep/clip/t", [SDP, ("x-request-id", secrets.token_hex(4))], an_offer())
            await call.close()
            await until(lambda: not len(admission.queues))
            await until(lambda: bool(first))
            self.assertEqual(first[0].status, 201)
            self.assertEqual((await site.ask()).status, 201)
            self.assertEqual(admission.in_progress, 0)


if __name__ == "__main__":
    unittest.main()
