"""Releases that a media server has sent on a connection on which the node could not read them."""

import unittest
from unittest import mock

import anyio

from curlewshift.node import isup, liveness
from tests.node_testbed import RawViewer, Testbed
from tests.sockets import async_test, until
from tests.test_crossings_reloads import reset

STANDING, OTHER, THIRD, FOURTH = "00000000000000a1", "00000000000000b2", "00000000000000c3", "00000000000000d4"
NS = 1_000_000_000
HALF_AN_ANSWER = isup.encode(isup.ANSWER, bytes.fromhex(OTHER), (isup.DESCRIPTION, b"v=0" * 20))[:30]


async def open_connections(testbed, viewer, standing=()):
    """Has the node open connections to the media server by set-ups at one time, and ends the sessions that are not `standing`."""
    media, ids, held, hold = testbed.media_servers[0], (*standing, OTHER, THIRD), [], anyio.Event()

    async def answers_together(connection, kind, id, parameters):
        if kind == isup.SET_UP:
            held.append(id)
            if len(held) == len(ids):
                hold.set()
            await hold.wait()
        await media.accept(connection, kind, id, parameters)

    media.handler = answers_together
    for id in ids:
        viewer.send_set_up(id)
    for _ in ids:
        assert (await viewer.receive()).status == 200
    for id in (OTHER, THIRD):
        viewer.tear_down(id)
        assert (await viewer.receive()).status == 200
    await until(lambda: {id.hex() for id in media.sessions} == set(standing))
    assert len(media.connections) >= len(ids)


class ReleasesThatWereNotRead(unittest.TestCase):
    """Guards against sessions that stand at the node for ever because their release was lost with another connection."""

    async def assert_told_on_the_next_connection(self, testbed, viewer, lose):
        """`lose(connection)` ends a connection without sessions, on which the release has been sent: the server repeats that on
        the next connection that is opened, and the viewer is told in its time."""
        media = testbed.media_servers[0]
        before = set(media.connections)
        await lose(next(stream for stream in before if stream not in media.sessions.values()))
        await until(lambda: set(media.connections) - before, 7.0)
        for connection in set(media.connections) - before:
            await connection.send(isup.release(bytes.fromhex(STANDING), isup.ENDED))
        message = await viewer.receive(1.0)
        self.assertEqual((message.method, message.fields["session"]), ("TEARDOWN", STANDING))

    async def release_behind_half_an_answer(self, connection):
        await connection.send(HALF_AN_ANSWER + isup.release(bytes.fromhex(STANDING), isup.ENDED))

    @async_test
    async def test_a_release_of_a_handed_over_session_behind_half_an_answer_is_asked_for_on_a_new_connection(self):
        async with Testbed().running() as testbed:
            viewer = RawViewer(testbed.port)
            viewer.send_set_up(STANDING, legs=f";at:{testbed.media_servers[0].name}")
            await open_connections(testbed, viewer)
            self.assertIn(STANDING, testbed.node.listener.sessions)
            await self.assert_told_on_the_next_connection(testbed, viewer, self.release_behind_half_an_answer)
            viewer.close()

    @async_test
    async def test_a_release_of_a_session_whose_own_connection_has_ended_is_asked_for_on_a_new_connection(self):
        async with Testbed().running() as testbed:
            media, viewer = testbed.media_servers[0], RawViewer(testbed.port)
            await open_connections(testbed, viewer, (STANDING,))
            own_connection = media.sessions[bytes.fromhex(STANDING)]
            await own_connection.aclose()
            await until(lambda: own_connection not in media.connections)
            await anyio.sleep(0.1)
            await self.assert_told_on_the_next_connection(testbed, viewer, self.release_behind_half_an_answer)
            viewer.close()

    @async_test
    async def test_a_release_lost_with_a_reset_connection_is_asked_for_on_a_new_connection_once(self):
        async with Testbed().running() as testbed:
            viewer, pool = RawViewer(testbed.port), testbed.node.server_pool
            for id in (STANDING, FOURTH):
                viewer.send_set_up(id, legs=f";at:{testbed.media_servers[0].name}")
            await open_connections(testbed, viewer)
            opened = pool.opened
            await self.assert_told_on_the_next_connection(testbed, viewer, reset)
            # the server knows that the connection has ended: nothing that it sends later can be lost with it
            with mock.patch.object(liveness, "REOPEN_INTERVAL_NS", NS // 4):
                await anyio.sleep(1.0)
            self.assertEqual(pool.opened, opened + 1)
            viewer.close()

    @async_test
    async def test_no_connection_is_opened_where_the_sessions_own_connections_are_open(self):
        async with Testbed().running() as testbed:
            media, viewer = testbed.media_servers[0], RawViewer(testbed.port)
            await open_connections(testbed, viewer, (STANDING,))
            opened, count = testbed.node.server_pool.opened, len(media.connections)
            spoilt = next(stream for stream in media.connections if stream not in media.sessions.values())
            await spoilt.send(HALF_AN_ANSWER)
            await until(lambda: len(media.connections) == count - 1)
            await anyio.sleep(1.0)
            self.assertEqual(testbed.node.server_pool.opened, opened)
            viewer.close()
