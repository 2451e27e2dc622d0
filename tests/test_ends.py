"""Sessions end in time at the media server and at the client although connections silently lose data, with real processes."""

import signal
import socket
import unittest
from random import Random

import anyio

from curlewshift.node import isup
from curlewshift.soak.proxy import LINGER_ZERO
from tests.node_testbed import RawViewer
from tests.proxied_testbed import ProxiedTestbed
from tests.sockets import async_test, until

FIRST, SECOND = "00000000000000a1", "00000000000000b2"
# The required time within which the end of a session is known at the other side (s).
END_DEADLINE_S = 8.0


def drop_silently(link):
    """Makes the connection lose all data in both directions while it looks open."""
    link.outbound_lost = link.inbound_lost = True


class RepeatingServer:
    """A media server that sends a release on the connection of the set-up, and again on each connection opened later."""

    def __init__(self, media):
        self.media, self.stream_of, self.pending, self.notified = media, {}, [], set()
        media.handler = self.handle

    async def handle(self, stream, kind, id, parameters):
        if kind == isup.SET_UP:
            self.stream_of[id] = stream
        await self.media.accept(stream, kind, id, parameters)

    async def send_notes(self, stream, id):
        """Sends a note about an established session twice a second."""
        while True:
            await anyio.sleep(0.5)
            await stream.send(isup.encode(isup.NOTE, id, (isup.KIND, b"wire"), (isup.VALUE, b"0.4")))

    async def send_release(self, id):
        release, known = isup.release(id, isup.ENDED), set(self.media.connections)
        await self.stream_of[id].send(release)
        while True:
            for stream in set(self.media.connections) - known:
                known.add(stream)
                await stream.send(release)
            await anyio.sleep(0.01)


class SilentlyLossyConnections(unittest.TestCase):
    @async_test
    async def test_a_release_lost_on_an_open_connection_is_sent_again_in_time(self):
        async with ProxiedTestbed(1).process() as testbed:
            media, viewer = testbed.media_servers[0], RawViewer(testbed.port)
            viewer.send_set_up(FIRST)
            await viewer.receive()
            drop_silently(testbed.proxies[0].links[0])
            viewer.tear_down(FIRST)
            await until(lambda: media.received_of(isup.RELEASE), END_DEADLINE_S)
            viewer.close()

    @async_test
    async def test_a_release_lost_on_one_of_several_connections_reaches_the_client_in_time(self):
        async with ProxiedTestbed(1).process() as testbed:
            server, viewer = RepeatingServer(testbed.media_servers[0]), RawViewer(testbed.port)
            for id in (FIRST, SECOND):
                viewer.send_set_up(id)
            for _ in (FIRST, SECOND):
                await viewer.receive()
            first, second = map(bytes.fromhex, (FIRST, SECOND))
            self.assertIsNot(server.stream_of[first], server.stream_of[second])
            drop_silently(testbed.link_of(server.stream_of[first]))
            testbed.tasks.start_soon(server.send_notes, server.stream_of[second], second)
            testbed.tasks.start_soon(server.send_release, first)
            message = await viewer.receive(within=END_DEADLINE_S)
            self.assertEqual((message.method, message.fields["session"]), ("TEARDOWN", FIRST))
            viewer.close()

    @async_test
    async def test_a_release_sent_on_a_connection_closed_unnoticed_by_the_server_reaches_the_client_in_time(self):
        async with ProxiedTestbed(1).process() as testbed:
            server, viewer = RepeatingServer(testbed.media_servers[0]), RawViewer(testbed.port)
            viewer.send_set_up(FIRST)
            await viewer.receive()
            first = bytes.fromhex(FIRST)
            testbed.link_of(server.stream_of[first]).outbound_lost = True
            await server.stream_of[first].send(b"\xff" * 32)
            await until(lambda: len(testbed.media_servers[0].connections) == 2)
            await anyio.sleep(0.5)
            testbed.tasks.start_soon(server.send_release, first)
            message = await viewer.receive(within=END_DEADLINE_S)
            self.assertEqual((message.method, message.fields["session"]), ("TEARDOWN", FIRST))
            viewer.close()


class RemovedServer(unittest.TestCase):
    @async_test
    async def test_sessions_of_a_removed_server_end_when_its_address_accepts_and_resets_connections(self):
        async with ProxiedTestbed(1).process() as testbed:
            media, viewer = testbed.media_servers[0], RawViewer(testbed.port)
            viewer.send_set_up(FIRST)
            await viewer.receive()
            await until(lambda: testbed.discovery.connections)
            media.state = 2
            await testbed.discovery.send_event(2, media)
            await media.close()
            testbed.proxies[0].reset_all()
            message = await viewer.receive(within=END_DEADLINE_S)
            self.assertEqual((message.method, message.fields["session"]), ("TEARDOWN", FIRST))
            viewer.close()


class DelayingServer:
    """A media server that answers after 10 to 20 ms, and records which sessions are established."""

    def __init__(self, media, rng):
        self.media, self.rng, self.established, self.set_up = media, rng, set(), 0
        media.handler = self.handle

    async def handle(self, stream, kind, id, parameters):
        if kind == isup.RELEASE:
            self.established.discard(id)
        elif kind == isup.SET_UP:
            self.media.task_group.start_soon(self.answer, stream, id, parameters)
        else:
            await self.media.accept(stream, kind, id, parameters)

    async def answer(self, stream, id, parameters):
        self.established.add(id)
        await anyio.sleep(self.rng.uniform(0.01, 0.02))
        if id in self.established:
            self.set_up += 1
            await self.media.accept(stream, isup.SET_UP, id, parameters)


class ClientsLeavingDuringAnswers(unittest.TestCase):
    METHODS = ("cancel and close", "close", "reset", "half-close and close")

    async def leave_unread(self, testbed, id, rng):
        """Sends a set-up on a connection of its own and leaves without reading the answer."""
        viewer = RawViewer(testbed.port)
        viewer.send_set_up(id)
        await anyio.sleep(rng.uniform(0.008, 0.024))
        method = rng.choice(self.METHODS)
        if method == "cancel and close":
            viewer.tear_down(id)
        elif method == "reset":
            viewer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        elif method == "half-close and close":
            viewer.socket.shutdown(socket.SHUT_WR)
            await anyio.sleep(0.005)
        viewer.close()

    @async_test
    async def test_no_session_remains_for_clients_that_left_while_their_answers_arrived(self):
        rng = Random(45)
        async with ProxiedTestbed(1).process() as testbed:
            server = DelayingServer(testbed.media_servers[0], rng)
            async with anyio.create_task_group() as clients:
                for number in range(400):
                    clients.start_soon(self.leave_unread, testbed, f"{number + 1:016x}", rng)
                    await anyio.sleep(0.004)
            await until(lambda: not server.established, END_DEADLINE_S)
            # some clients left before their answers, and some after
            self.assertTrue(50 < server.set_up < 400, server.set_up)


class Shutdown(unittest.TestCase):
    @async_test
    async def test_sessions_torn_down_together_during_shutdown_are_released_at_a_server_that_confirms_nothing(self):
        ids = [f"{number:016x}" for number in range(1, 13)]
        async with ProxiedTestbed(1).process() as testbed:
            media, viewer = testbed.media_servers[0], RawViewer(testbed.port)

            async def confirms_nothing(stream, kind, id, parameters):
                if kind != isup.RELEASE:
                    await media.accept(stream, kind, id, parameters)

            media.handler = confirms_nothing
            for id in ids:
                viewer.send_set_up(id)
            for _ in ids:
                await viewer.receive()
            testbed.child.send_signal(signal.SIGTERM)
            await anyio.sleep(1.2)
            for id in ids:
                viewer.tear_down(id)
            for _ in ids:
                await viewer.receive()
            viewer.close()
            await until(lambda: testbed.child.poll() is not None, 3.0)
            self.assertEqual({id.hex() for id, _ in media.received_of(isup.RELEASE)}, set(ids))


if __name__ == "__main__":
    unittest.main()
