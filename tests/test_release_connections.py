"""The connection on which the release of a session is sent to its viewer when that of its set-up has ended."""

import contextlib
import socket
import unittest

import anyio

from curlewshift.node import isup
from curlewshift.node.buffered_connection import LINGER_ZERO
from tests.node_testbed import RawViewer, Testbed
from tests.sockets import async_test, until

STANDING, OTHER = "00000000000000a1", "00000000000000b2"
TEST = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"


def reset(viewer):
    viewer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    viewer.close()


@contextlib.asynccontextmanager
async def session_without_connection():
    """A session stands, and the connection of its set-up has been reset at rest. Yields the test bed and the session's server."""
    async with Testbed().running() as testbed:
        viewer = RawViewer(testbed.port)
        viewer.send_set_up(STANDING)
        await viewer.receive()
        # the answer has been read for long
        await anyio.sleep(1.1)
        reset(viewer)
        await until(lambda: not testbed.node.listener.connections)
        yield testbed, testbed.media_servers[0]


async def end_session(media):
    await media.connections[0].send(isup.release(bytes.fromhex(STANDING), isup.ENDED))


class AfterTheOwnConnectionHasEnded(unittest.TestCase):
    """Guards against ends that viewers are never told while a connection of theirs is open."""

    async def assert_released(self, viewer, within=1.0):
        message = await viewer.receive(within)
        self.assertEqual((message.method, message.fields["session"]), ("TEARDOWN", STANDING))

    @async_test
    async def test_a_release_is_sent_on_a_connection_that_has_passed_a_test(self):
        async with session_without_connection() as (testbed, media):
            viewer = RawViewer(testbed.port)
            viewer.send(TEST)
            self.assertEqual((await viewer.receive()).status, 200)
            await end_session(media)
            await self.assert_released(viewer)
            viewer.close()

    @async_test
    async def test_a_release_is_sent_on_a_connection_whose_set_up_was_refused(self):
        async with session_without_connection() as (testbed, media):
            media.reply_with(isup.release(b"IDIDIDID", isup.FULL))
            viewer = RawViewer(testbed.port)
            viewer.send_set_up(OTHER)
            self.assertEqual((await viewer.receive()).status, 453)
            await end_session(media)
            await self.assert_released(viewer)
            viewer.close()

    @async_test
    async def test_a_release_that_waits_is_sent_on_the_next_connection_that_passes_a_test(self):
        async with session_without_connection() as (testbed, media):
            await end_session(media)
            await until(lambda: testbed.node.listener.pending_releases)
            viewer = RawViewer(testbed.port)
            viewer.send(TEST)
            self.assertEqual((await viewer.receive()).status, 200)
            await self.assert_released(viewer)
            viewer.close()

    @async_test
    async def test_a_connection_that_carried_a_teardown_is_preferred_to_one_that_passed_a_test(self):
        async with Testbed().running() as testbed:
            media = testbed.media_servers[0]
            first, ending, testing = (RawViewer(testbed.port) for _ in range(3))
            for id in (STANDING, OTHER):
                first.send_set_up(id)
                await first.receive()
            await anyio.sleep(1.1)
            reset(first)
            ending.tear_down(OTHER)
            self.assertEqual((await ending.receive()).status, 200)
            testing.send(TEST)
            self.assertEqual((await testing.receive()).status, 200)
            await until(lambda: len(testbed.node.listener.connections) == 2)
            await end_session(media)
            await self.assert_released(ending)
            for viewer in (ending, testing):
                viewer.close()

    @async_test
    async def test_a_release_is_not_sent_on_a_connection_that_has_shown_no_valid_request(self):
        async with session_without_connection() as (testbed, media):
            silent, invalid = RawViewer(testbed.port), RawViewer(testbed.port)
            invalid.send_set_up(OTHER, package="none")
            self.assertEqual((await invalid.receive()).status, 400)
            await end_session(media)
            await until(lambda: testbed.node.listener.pending_releases)
            await anyio.sleep(0.3)
            self.assertEqual(list(testbed.node.listener.pending_releases), [STANDING])
            for viewer in (silent, invalid):
                viewer.close()
