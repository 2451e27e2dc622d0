"""Attempts of one request never overlap at media servers, although separate connections do not keep the order of messages."""

import contextlib
import unittest
from collections import Counter
from unittest import mock

import anyio

from curlewshift.front import server_pool
from curlewshift.node import buffered_connection, isup
from curlewshift.node.buffered_connection import BufferedConnection
from tests.node_testbed import RawViewer, Testbed
from tests.proxied_testbed import ProxiedTestbed
from tests.sockets import SmallSite, async_test, until

REQUEST = "00000000000000a1"


class AttemptCounter:
    """Counts the unfinished attempts by request at one media server; a release ends the newest attempt with its id, on any
    connection."""

    def __init__(self, media):
        self.open_attempts, self.max_open, self.set_ups, self.media = Counter(), 0, 0, media
        media.handler = self.handle

    async def handle(self, connection, kind, id, parameters):
        if kind == isup.SET_UP:
            self.set_ups += 1
            self.open_attempts[id] += 1
            self.max_open = max(self.max_open, self.open_attempts[id])
        elif kind == isup.RELEASE and self.open_attempts[id]:
            self.open_attempts[id] -= 1
        elif kind == isup.PROBE:
            await connection.send(isup.encode(isup.PROBED, id, (isup.CAUSE, b"\1"), (isup.REPORT, b"x0:0.5")))


class OneServer(unittest.TestCase):
    async def max_open(self, delay_s):
        testbed = ProxiedTestbed(1, [delay_s])
        attempts = AttemptCounter(testbed.media_servers[0])
        async with testbed.process():
            viewer = RawViewer(testbed.port)
            viewer.send_set_up(REQUEST)
            with anyio.move_on_after(2.5):
                await viewer.receive()
            await until(lambda: attempts.set_ups)
            viewer.close()
        return attempts.max_open

    @async_test
    async def test_no_second_attempt_is_open_when_the_release_of_the_first_is_late(self):
        for delay_s in (0.02, 0.15):
            with self.subTest(delay_s=delay_s):
                self.assertEqual(await self.max_open(delay_s), 1)

    async def set_ups(self, handler, enough):
        """Returns how many set-ups of one request a single server receives that behaves as `handler`."""
        async with Testbed().running() as testbed:
            media, viewer = testbed.media_servers[0], RawViewer(testbed.port)
            media.handler = handler
            viewer.send_set_up(REQUEST)
            with anyio.move_on_after(1.0):
                await until(lambda: len(media.received_of(isup.SET_UP)) >= enough)
            viewer.close()
            return len(media.received_of(isup.SET_UP))

    @async_test
    async def test_a_server_that_has_confirmed_the_release_is_tried_again(self):
        async def confirms(connection, kind, id, parameters):
            if kind == isup.RELEASE:
                await connection.send(isup.released(id))

        self.assertGreaterEqual(await self.set_ups(confirms, 2), 2)

    @async_test
    async def test_a_server_that_closes_the_connection_is_tried_again(self):
        async def closes(connection, kind, id, parameters):
            if kind == isup.SET_UP:
                await connection.aclose()
            elif kind == isup.PROBE:
                await connection.send(isup.probed(id, True))

        self.assertGreaterEqual(await self.set_ups(closes, 2), 2)

    @async_test
    async def test_no_second_attempt_follows_a_local_close_that_the_server_may_not_have_seen(self):
        async def sends_garbage(connection, kind, id, parameters):
            if kind == isup.SET_UP:
                await connection.send(b"\xff" * 64)

        self.assertEqual(await self.set_ups(sends_garbage, 2), 1)

    @async_test
    async def test_a_repeated_id_waits_until_the_release_of_its_session_is_confirmed(self):
        go = anyio.Event()
        async with Testbed().running() as testbed:
            media, viewer = testbed.media_servers[0], RawViewer(testbed.port)

            async def confirms_late(connection, kind, id, parameters):
                if kind == isup.RELEASE:
                    await go.wait()
                await media.accept(connection, kind, id, parameters)

            media.handler = confirms_late
            viewer.send_set_up(REQUEST)
            await viewer.receive()
            viewer.tear_down(REQUEST)
            await viewer.receive()
            viewer.send_set_up(REQUEST, body=b"second")
            await anyio.sleep(0.1)
            before = len(media.received_of(isup.SET_UP))
            go.set()
            self.assertEqual(((await viewer.receive()).body, before), (b"plays second", 1))
            viewer.close()


class AnotherServer(unittest.TestCase):
    async def first_and_second(self, testbed, may_write):
        """Returns the two servers in the order in which they received a request, when the first attempt's connection can be
        written only while `may_write()`, and the time between the end of the first attempt and the second set-up (s)."""
        viewer, times = RawViewer(testbed.port), {}
        for media in testbed.media_servers:
            media.handler = media.ignore
        viewer.send_set_up(REQUEST)
        await until(lambda: any(media.received_of(isup.SET_UP) for media in testbed.media_servers))
        first = next(media for media in testbed.media_servers if media.received_of(isup.SET_UP))
        second = next(media for media in testbed.media_servers if media is not first)
        first_connection = next(iter(testbed.node.server_pool.attempts.values())).connection.transport
        write_queue = BufferedConnection._write_queue

        def write_if_allowed(transport):
            return write_queue(transport) if transport is not first_connection or may_write() else False

        async def writable(sock):
            if sock is first_connection.socket and not may_write():
                await anyio.sleep(0.005)
            await ready(sock)

        ready = anyio.wait_writable
        with (
            mock.patch.object(BufferedConnection, "_write_queue", write_if_allowed),
            mock.patch.object(buffered_connection.anyio, "wait_writable", writable),
        ):
            await until(lambda: first_connection.queue)
            times["given up"] = anyio.current_time()
            await until(lambda: second.received_of(isup.SET_UP))
            times["next"] = anyio.current_time()
        viewer.close()
        return first, second, times["next"] - times["given up"]

    @async_test
    async def test_no_further_attempt_is_sent_before_the_kernel_has_the_release_of_the_previous_one(self):
        may_write = []
        async with Testbed(2).running() as testbed:
            async with anyio.create_task_group() as tasks:

                async def later():
                    await until(lambda: any(tune_in.number == 2 for tune_in in testbed.node.server_pool.attempts))
                    await anyio.sleep(0.03)
                    self.assertEqual(sum(len(media.received_of(isup.SET_UP)) for media in testbed.media_servers), 1)
                    may_write.append(True)

                tasks.start_soon(later)
                first, _, _ = await self.first_and_second(testbed, lambda: may_write)
            self.assertEqual(len(first.received_of(isup.RELEASE)), 1)

    @async_test
    async def test_a_connection_that_cannot_write_a_release_is_reset_and_delays_no_further_attempt(self):
        async with Testbed(2).running() as testbed:
            first, _, after_s = await self.first_and_second(testbed, lambda: False)
            self.assertLess(after_s, 0.15)
            # nothing arrives from the connection that was reset: the release was sent again on another
            await until(lambda: first.received_of(isup.RELEASE) and len(first.connections) == 1, 0.5)
            self.assertEqual(len(first.received_of(isup.RELEASE)), 1)


class HttpFront(unittest.TestCase):
    @async_test
    async def test_no_second_request_is_sent_to_a_server_that_has_not_closed_the_first(self):
        site, requests = SmallSite(1), []

        async def reads_and_never_answers(stream):
            async with stream:
                with contextlib.suppress(anyio.EndOfStream):
                    while b"POST " in await stream.receive():
                        requests.append(anyio.current_time())
                # the client has shut down its side; this side stays open
                await anyio.sleep(5)

        async with site.up():
            machine = site.site.machines[0]
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            site.tasks.start_soon(listener.serve, reads_and_never_answers)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            with mock.patch.object(server_pool, "host_port", lambda name: ("127.0.0.1", port)):
                site.tasks.start_soon(site.ask)
                await until(lambda: requests)
                await anyio.sleep(1.2)
            self.assertEqual(len(requests), 1, machine)
            site.tasks.cancel_scope.cancel()


class RungChanges(unittest.TestCase):
    @async_test
    async def test_rung_changes_of_one_session_use_one_connection(self):
        async with Testbed().running() as testbed:
            viewer, server_pool = RawViewer(testbed.port), testbed.node.server_pool
            ids = [f"{number:016x}" for number in range(1, 4)]
            for id in ids:
                viewer.send_set_up(id)
            for _ in ids:
                await viewer.receive()
            front_session = next(iter(testbed.node.session_core.front_sessions.values()))
            connections = next(iter(server_pool.endpoints.values())).connections
            self.assertGreater(len(connections), 1)
            used = set()
            for number in range(6):
                connections[number % len(connections)].last_seen_at = server_pool.now() + number
                before = {connection: connection.last_used_at for connection in connections}
                await anyio.sleep(0.002)
                server_pool.rung(front_session, number % 2)
                used |= {connection for connection in connections if connection.last_used_at != before[connection]}
            self.assertEqual(len(used), 1)
            viewer.close()


if __name__ == "__main__":
    unittest.main()
