"""A client that sends without pause costs other clients nothing but their turn."""

import unittest

import anyio

from curlewshift.node import isup
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
