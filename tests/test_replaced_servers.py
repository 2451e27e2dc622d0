"""A new process at the address of a media server that has died, before the server list tells of it."""

import struct
import unittest

import anyio

from curlewshift.node import isup
from tests.node_testbed import MediaServer, RawViewer, Testbed
from tests.sockets import async_test, until
from tests.test_crossings_reloads import reset

OBLIGATIONS = dict(warm_within_ms=4000, start_capacity=0.4, fall_multiple=1.0, fall_ms=2000)
# what a server of 100 places bears within `fall_ms` of its start: N + 3 x root of N + 3, N being what these allow
ALLOWED = 100 / 4 * 0.4 * 2
MAX_WHILE_COLD = ALLOWED + 3 * ALLOWED**0.5 + 3
SET_UPS = 80


class ReplacedProcess(unittest.TestCase):
    """Guards against a burst of set-ups to a process that has just started, as it was taken for the one before it."""

    def make_testbed(self):
        testbed = Testbed()
        testbed.obligations = OBLIGATIONS
        return testbed

    async def prove_warm(self, testbed):
        """The server is warm, and has answered so many set-ups that many may be out at once. Returns their viewer."""
        await anyio.sleep(OBLIGATIONS["warm_within_ms"] / 1000 + 0.1)
        viewer = RawViewer(testbed.port)
        for number in range(SET_UPS):
            id = f"cc{number:014x}"
            viewer.send_set_up(id)
            assert (await viewer.receive()).status == 200
            viewer.tear_down(id)
            await viewer.receive()
        return viewer

    async def keep_alive(self, testbed):
        """Discovery sends the frame that says that there is nothing new."""
        while True:
            for connection in list(testbed.discovery.connections):
                await connection.send(struct.pack(">IQB", 9, 1, 0))
            await anyio.sleep(0.2)

    async def replace(self, testbed):
        """The process dies and resets its connections; another one listens at its address at once."""
        old = testbed.media_servers[0]
        await old.listener.aclose()
        for connection in list(old.connections):
            await reset(connection)
        await until(lambda: not old.connections)
        new = MediaServer(old.name)
        await new.open(testbed.tasks, old.port)
        return new

    async def set_ups_at(self, media, viewer):
        """How many of a burst of set-ups the server has received after a second."""
        for number in range(SET_UPS):
            viewer.send_set_up(f"dd{number:014x}")
        await anyio.sleep(1.0)
        return len(media.received_of(isup.SET_UP))

    @async_test
    async def test_without_discovery_a_process_that_comes_up_after_resets_is_sent_no_more_than_a_cold_one_bears(self):
        async with self.make_testbed().running() as testbed:
            viewer = await self.prove_warm(testbed)
            await testbed.discovery.listener.aclose()
            for connection in list(testbed.discovery.connections):
                await connection.aclose()
            await until(lambda: not testbed.node.follower.following)
            new = await self.replace(testbed)
            self.assertLessEqual(await self.set_ups_at(new, viewer), MAX_WHILE_COLD)
            viewer.close()

    async def set_ups_after_resets(self, keep_alive=True, keep_one=False):
        """How many of a burst a server is sent that goes on, after its connections have been reset."""
        async with self.make_testbed().running() as testbed:
            if keep_alive:
                testbed.tasks.start_soon(self.keep_alive, testbed)
            media, viewer = testbed.media_servers[0], await self.prove_warm(testbed)
            self.assertEqual(testbed.node.follower.following, keep_alive)
            if keep_one:
                testbed.node.server_pool.open_connection(next(iter(testbed.node.server_pool.endpoints.values())))
                await until(lambda: len(media.connections) == 2)
            lost = media.connections[: len(media.connections) - keep_one]
            for connection in lost:
                await reset(connection)
            await until(lambda: not any(connection in media.connections for connection in lost))
            await anyio.sleep(0.05)
            received = len(media.received_of(isup.SET_UP))
            sent = await self.set_ups_at(media, viewer) - received
            viewer.close()
            return sent

    @async_test
    async def test_while_the_list_is_followed_resets_do_not_slow_a_server_down(self):
        self.assertEqual(await self.set_ups_after_resets(), SET_UPS)

    @async_test
    async def test_a_server_with_a_connection_left_is_not_slowed_down(self):
        self.assertEqual(await self.set_ups_after_resets(keep_alive=False, keep_one=True), SET_UPS)
