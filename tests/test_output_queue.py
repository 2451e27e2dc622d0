"""The output queue of a connection: a burst is written to a peer that reads, and a peer that does not read is dropped."""

import contextlib
import socket
import unittest

import anyio

from curlewshift.node import isup
from curlewshift.node.buffered_connection import (
    MAX_QUEUE_BYTES,
    MAX_STALLED_QUEUE_BYTES,
    WRITE_STALL_TIMEOUT_S,
    BufferedConnection,
)
from tests.node_testbed import RawViewer, Testbed
from tests.sockets import async_test, until

# the greatest size of a message
MESSAGE_BYTES = 16 * 1024


@contextlib.asynccontextmanager
async def connected():
    """A connection under test, and its peer's socket."""
    own, peer = socket.socketpair()
    for sock in (own, peer):
        sock.setblocking(False)
    async with anyio.create_task_group() as tasks:
        connection = BufferedConnection(own, tasks)
        try:
            yield connection, peer
        finally:
            await connection.close()
            peer.close()
            tasks.cancel_scope.cancel()


async def fill_kernel_buffer(connection):
    """Sends messages until the kernel takes no more of them."""
    while not connection.queue:
        connection.send(bytes(MESSAGE_BYTES))
        await anyio.sleep(0.001)


class OutputQueue(unittest.TestCase):
    @async_test
    async def test_a_burst_of_one_iteration_is_written_to_a_peer_that_reads(self):
        # guards against dropping viewers that read, when many answers are queued before the first is offered to the kernel
        async with connected() as (connection, peer):
            messages = [bytes([number]) * MESSAGE_BYTES for number in range(75)]
            self.assertEqual([connection.send(message) for message in messages], [True] * len(messages))
            received = b""
            with anyio.fail_after(3):
                while len(received) < len(messages) * MESSAGE_BYTES:
                    await anyio.wait_readable(peer)
                    received += peer.recv(2**20)
            self.assertEqual(received, b"".join(messages))
            self.assertTrue(connection.open)

    @async_test
    async def test_a_peer_that_does_not_read_a_long_queue_is_dropped_after_the_time_out(self):
        async with connected() as (connection, _):
            await fill_kernel_buffer(connection)
            for _ in range(MAX_STALLED_QUEUE_BYTES // MESSAGE_BYTES + 1):
                connection.send(bytes(MESSAGE_BYTES))
            await anyio.sleep(WRITE_STALL_TIMEOUT_S / 2)
            self.assertTrue(connection.open)
            await until(lambda: connection.gone, 2 * WRITE_STALL_TIMEOUT_S)

    @async_test
    async def test_a_peer_that_does_not_read_a_short_queue_is_kept(self):
        async with connected() as (connection, _):
            await fill_kernel_buffer(connection)
            await anyio.sleep(2.5 * WRITE_STALL_TIMEOUT_S)
            self.assertTrue(connection.open)

    @async_test
    async def test_the_queue_has_a_limit_whatever_the_peer_reads(self):
        async with connected() as (connection, _):
            for _ in range(MAX_QUEUE_BYTES // MESSAGE_BYTES):
                self.assertTrue(connection.send(bytes(MESSAGE_BYTES)))
            self.assertFalse(connection.send(bytes(MESSAGE_BYTES)))
            self.assertTrue(connection.gone)


class AnswersOfManyServers(unittest.TestCase):
    @async_test
    async def test_answers_that_come_together_after_a_stall_all_reach_a_viewer_that_reads(self):
        # guards against lost set-ups: the node dropped the connection of its viewers when it answered many at once
        requests, description = 96, b"v=0 ".ljust(16000, b"a")
        async with Testbed(media_servers=4).running() as testbed:
            viewer, held = RawViewer(testbed.port), []

            async def holds_set_ups(connection, kind, id, parameters):
                if kind == isup.SET_UP:
                    held.append((connection, isup.encode(isup.ANSWER, id, (isup.DESCRIPTION, description))))
                else:
                    await testbed.media_servers[0].accept(connection, kind, id, parameters)

            for media in testbed.media_servers:
                media.handler = holds_set_ups
            for number in range(1, requests + 1):
                viewer.send_set_up(f"{number:016x}")
            await until(lambda: len(held) == requests)
            by_connection = {}
            for connection, answer in held:
                by_connection[connection] = by_connection.get(connection, b"") + answer
            async with anyio.create_task_group() as tasks:
                for connection, answers in by_connection.items():
                    tasks.start_soon(connection.send, answers)
                received = [await viewer.receive() for _ in range(requests)]
            self.assertNotIn(None, received, "the node ended the connection")
            self.assertEqual({message.status for message in received}, {200})
            self.assertEqual(len({message.fields["session"] for message in received}), requests)
            viewer.close()
