"""A client that sends without pause costs other clients nothing but their turn."""

import unittest

import anyio

from curlewshift.node import isup
from curlewshift.node.set_up_limits import BURST, PENALTY_NS, RATE, SetUpRate, has_place
from tests.node_testbed import DelayedReads, RawViewer, Testbed
from tests.sockets import async_test, until

TEST = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"


class HeldSetUps(unittest.TestCase):
    @async_test
    async def test_set_ups_held_for_unread_input_of_their_client_are_not_held_against_servers(self):
        # guards against servers that are taken for dead, and other viewers refused, because one client sends without pause
        delayed = DelayedReads(delay_connects=True)
        async with Testbed(media_servers=2).running() as testbed:
            with delayed.applied():
                flooding, other = RawViewer(testbed.port), RawViewer(testbed.port)
                # the servers have answered, so that they are sent several set-ups at once
                delayed.resume_connects.set()
                for number in range(40):
                    other.send_set_up(f"cc{number:014x}")
                    self.assertEqual((await other.receive()).status, 200)
                ids = [f"{number:016x}" for number in range(1, 21)]
                delayed.resume_connects = anyio.Event()
                for endpoint in testbed.node.server_pool.endpoints.values():
                    for connection in list(endpoint.connections):
                        testbed.node.server_pool.retire(connection)
                for id in ids:
                    flooding.send_set_up(id, timeout_ms=1200)
                await until(lambda: len(testbed.node.server_pool.attempts) == len(ids))
                delayed.sockets.add(testbed.node.listener.sessions[ids[0]].connection.transport.socket)
                flooding.send(TEST)
                delayed.resume_connects.set()
                await until(lambda: not testbed.node.server_pool.attempts)
                self.assertEqual(sum(len(media.received_of(isup.SET_UP)) for media in testbed.media_servers), 40)
                others = [f"bb{number:014x}" for number in range(20)]
                for id in others:
                    other.send_set_up(id)
                self.assertEqual([(await other.receive()).status for _ in others], [200] * len(others))
                delayed.resume_reads.set()
            for viewer in (flooding, other):
                viewer.close()


class SetUpLimits(unittest.TestCase):
    """Guards against viewers that are refused, or a node that grows, because one client sends set-ups at full speed."""

    NS = 1_000_000_000

    def test_a_connection_may_send_a_burst_and_then_the_rate(self):
        rate = SetUpRate(0)
        self.assertEqual([rate.count(0) for _ in range(BURST)], [True] * BURST)
        self.assertFalse(rate.count(0))
        allowed = SetUpRate(0)
        # three times what reaches a node in all, for a minute
        times = range(0, 60 * self.NS, self.NS // 270)
        self.assertTrue(all(allowed.count(now) for now in times))

    def test_a_connection_that_goes_on_beyond_the_rate_is_refused_all_until_it_has_paused(self):
        rate = SetUpRate(0)
        step = self.NS // (4 * RATE)
        within = [rate.count(now) for now in range(0, 3 * self.NS, step)]
        last = len(within) - 1 - within[::-1].index(True)
        self.assertLess(last * step, self.NS)
        self.assertFalse(rate.count(3 * self.NS + PENALTY_NS // 2))
        self.assertTrue(rate.count(3 * self.NS + 2 * PENALTY_NS))

    def test_one_connection_may_have_five_seconds_of_the_greatest_load_open_and_many_leave_places(self):
        self.assertTrue(has_place(5 * 90, 5 * 90, 2000))
        self.assertFalse(has_place(500, 500, 2000))
        open_here = [0] * 100
        for _ in range(2000):
            for number in range(len(open_here)):
                if has_place(open_here[number], sum(open_here), 2000):
                    open_here[number] += 1
        self.assertTrue(has_place(0, sum(open_here), 2000))

    @async_test
    async def test_set_ups_beyond_the_limit_are_refused_at_once_and_another_viewer_is_served(self):
        async with Testbed(media_servers=2).running() as testbed:
            flooding, other, count = RawViewer(testbed.port), RawViewer(testbed.port), 3 * BURST
            for media in testbed.media_servers:
                media.handler = media.ignore
            sent_at = anyio.current_time()
            for number in range(1, count + 1):
                flooding.send_set_up(f"{number:016x}")
            received = [await flooding.receive() for _ in range(count - BURST - RATE)]
            self.assertLess(anyio.current_time() - sent_at, 1.0)
            self.assertEqual({message.status for message in received}, {453})
            self.assertTrue(all("x-pause" in message.fields for message in received))
            forwarded = sum(len(media.received_of(isup.SET_UP)) for media in testbed.media_servers)
            self.assertLessEqual(forwarded, BURST + RATE)
            for media in testbed.media_servers:
                media.handler = media.accept
            other.send_set_up("bb" * 8)
            self.assertEqual((await other.receive()).status, 200)
            for viewer in (flooding, other):
                viewer.close()

    @async_test
    async def test_a_set_up_beyond_the_limit_with_the_id_of_an_open_one_is_not_taken_for_its_answer(self):
        async with Testbed().running() as testbed:
            media, viewer, first = testbed.media_servers[0], RawViewer(testbed.port), "aa" * 8
            media.handler = media.ignore
            viewer.send_set_up(first)
            await until(lambda: testbed.node.listener.sessions)
            connection = testbed.node.listener.sessions[first].connection
            connection.set_up_rate.allowance = -1.0
            viewer.send_set_up(first)
            message = await viewer.receive()
            self.assertEqual((message.status, message.fields.get("session")), (455, None))
            viewer.close()
