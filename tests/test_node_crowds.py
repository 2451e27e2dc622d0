"""Many connections, fragmented requests, thirty nodes at one cold server, and an unused node, on real sockets.

`docs/crossings.md` lists the cases.
"""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import unittest
from pathlib import Path
from unittest import mock

import anyio

from curlewshift.node import configuration, isup
from curlewshift.node.node import Node
from tests.fake import SECOND
from tests.node_testbed import CLIP, DelayedReads, DiscoveryServer, RawViewer, Testbed, set_up
from tests.sockets import async_test, until
from tests.test_crossings import assert_unchanged

A, B, C = "00000000000000a1", "00000000000000b2", "00000000000000c3"
PROBE = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"


class Crowds(unittest.TestCase):
    """More connections than descriptors, of clients that each send one request and stay connected."""

    async def connect_and_probe(self, testbed, count):
        """Opens connections that each receive one answer and stay idle."""
        idle = []
        for _ in range(count):
            idle.append(RawViewer(testbed.port))
            idle[-1].send(PROBE)
            self.assertEqual((await idle[-1].receive()).status, 200)
        return idle

    @async_test
    async def test_idle_connections_are_dropped_before_those_with_sessions_and_releases_are_sent_at_once(self):
        async with Testbed(sockets=120).running() as testbed:
            media, viewers, max_connections = (
                testbed.media_servers[0],
                [RawViewer(testbed.port) for _ in range(3)],
                testbed.node.listener.gate.max_connections,
            )
            for viewer, id in zip(viewers, (A, B, C)):
                viewer.send_set_up(id)
                await viewer.receive()
            idle = await self.connect_and_probe(testbed, 3 * max_connections)
            self.assertGreater(testbed.node.listener.gate.dropped, max_connections)
            for viewer, id in zip(viewers, (A, B, C)):
                await media.connections[0].send(isup.release(bytes.fromhex(id), isup.ENDED))
                received = await viewer.receive(0.5)
                self.assertEqual((received.method, received.fields["session"]), ("TEARDOWN", id))
            # the sessions have ended: these connections are now treated like all others
            self.assertEqual(
                [connection.session_count for connection in testbed.node.listener.connections if connection.session_count], []
            )
            idle += await self.connect_and_probe(testbed, 2 * max_connections)
            for viewer in viewers:
                self.assertIsNone(await viewer.receive(0.5))
            for viewer in (*viewers, *idle):
                viewer.close()

    @async_test
    async def test_with_sessions_on_all_connections_the_longest_idle_is_dropped_and_new_ones_are_accepted(self):
        async with Testbed(sockets=60).running() as testbed:
            media, max_connections, idle = testbed.media_servers[0], testbed.node.listener.gate.max_connections, []
            with anyio.fail_after(8):
                for number in range(1, 2 * max_connections):
                    idle.append(RawViewer(testbed.port))
                    idle[-1].send_set_up(f"{number:016x}")
                    self.assertEqual((await idle[-1].receive(2)).status, 200)
            self.assertIsNone(await idle[0].receive())
            await media.connections[0].send(isup.release(bytes.fromhex(f"{1:016x}"), isup.ENDED))
            received = await idle[-1].receive()
            self.assertEqual((received.method, received.fields["session"]), ("TEARDOWN", f"{1:016x}"))
            for viewer in idle:
                viewer.close()

    @async_test
    async def test_a_release_avoids_a_connection_with_an_unread_close_and_is_sent_on_another(self):
        delayed = DelayedReads()
        async with Testbed().running() as testbed:
            with delayed.applied():
                media, own_viewer, other = testbed.media_servers[0], RawViewer(testbed.port), RawViewer(testbed.port)
                for viewer, id in ((own_viewer, A), (other, B)):
                    viewer.send_set_up(id)
                    await viewer.receive()
                delayed.sockets.add(testbed.node.listener.sessions[A].connection.transport.socket)
                own_viewer.close()
                await media.connections[0].send(isup.release(bytes.fromhex(A), isup.RESET))
                await until(lambda: testbed.node.listener.pending_releases)
                await assert_unchanged(lambda: len(other.buffered))
                delayed.resume_reads.set()
                received = await other.receive(0.5)
            self.assertEqual((received.method, received.fields["session"]), ("TEARDOWN", A))
            await until(lambda: not testbed.node.listener.pending_releases)
            other.close()


class FragmentedRequests(unittest.TestCase):
    """Requests that arrive byte by byte, in several reads."""

    async def send_byte_by_byte(self, testbed, viewer, data):
        """Sends each byte after the node has read the previous one."""
        connection = list(testbed.node.listener.connections)[-1]
        for byte in data:
            viewer.send(bytes([byte]))
            with anyio.fail_after(3):
                while connection.transport.has_unread_input():
                    await anyio.sleep(0)

    @async_test
    async def test_three_fragmented_requests_are_accepted_with_their_last_byte_and_arrive_unchanged(self):
        async with Testbed().running() as testbed:
            media, viewer = testbed.media_servers[0], RawViewer(testbed.port)
            await until(lambda: testbed.node.listener.connections)
            first = set_up(A, package=CLIP, body=b"\r\n\r\nSETUP one")
            await self.send_byte_by_byte(testbed, viewer, first[:-1])
            await assert_unchanged(lambda: len(media.received_of(isup.SET_UP)))
            # together with its last byte, the complete next request and all but the last byte of a third are sent
            third = set_up(C)
            viewer.send(first[-1:] + set_up(B) + third[:-1])
            received = [await viewer.receive(), await viewer.receive()]
            viewer.send(third[-1:])
            received.append(await viewer.receive())
            self.assertEqual(
                {(message.status, message.fields["session"], message.body) for message in received},
                {(200, A, b"plays \r\n\r\nSETUP one"), (200, B, b"plays offer"), (200, C, b"plays offer")},
            )
            self.assertEqual(len(media.received_of(isup.SET_UP)), 3)
            viewer.close()

    async def send_part(self, testbed, viewer, data):
        """Sends part of a request, and returns the node's connection once that has been read."""
        viewer.send(data)
        await until(lambda: any(connection.input.reader.partial for connection in testbed.node.listener.connections))
        return next(connection for connection in testbed.node.listener.connections if connection.input.reader.partial)

    @async_test
    async def test_a_request_that_takes_two_seconds_to_arrive_is_served(self):
        async with Testbed().running() as testbed:
            viewer, data = RawViewer(testbed.port), set_up(A)
            connection = await self.send_part(testbed, viewer, data[:100])
            # the request began two seconds ago, and more of it has just arrived
            connection.opened_at -= 2 * SECOND
            connection.input.began_at -= 2 * SECOND
            viewer.send(data[100:-1])
            await anyio.sleep(0.25)
            viewer.send(data[-1:])
            self.assertEqual((await viewer.receive()).status, 200)
            viewer.close()

    @async_test
    async def test_an_incomplete_or_endless_request_is_closed_within_three_seconds_of_its_connection(self):
        async with Testbed().running() as testbed:
            for opened, began, received in ((1.0, 1.0, 1.0), (2.5, 2.5, 0.0), (2.5, 1.0, 0.0)):
                viewer = RawViewer(testbed.port)
                connection = await self.send_part(testbed, viewer, b"SETUP rtsp://media/a")
                connection.opened_at -= int(opened * SECOND)
                connection.input.began_at -= int(began * SECOND)
                connection.input.received_at -= int(received * SECOND)
                self.assertIsNone(await viewer.receive(0.4))
                viewer.close()
                await until(lambda: not testbed.node.listener.connections)

    @async_test
    async def test_the_descriptor_gate_does_not_close_a_connection_with_a_partly_received_request(self):
        async with Testbed().running() as testbed:
            viewer, stops, data = RawViewer(testbed.port), RawViewer(testbed.port), set_up(A)
            await until(lambda: len(testbed.node.listener.connections) == 2)
            for connection in testbed.node.listener.connections:
                connection.idle_since_s -= 10
            connection = await self.send_part(testbed, viewer, data[:100])
            testbed.node.listener.gate.make_room()
            # the silent connection is dropped, the one with a partly received request stays
            self.assertIsNone(await stops.receive())
            viewer.send(data[100:])
            self.assertEqual((await viewer.receive()).status, 200)
            viewer.tear_down(A)
            self.assertEqual((await viewer.receive()).status, 200)
            # a partly received request that does not go on counts as idle
            await self.send_part(testbed, viewer, data[:100])
            connection.idle_since_s -= 10
            testbed.node.listener.gate.make_room()
            self.assertIsNone(await viewer.receive(0.5))
            for client in (viewer, stops):
                client.close()

    @async_test
    async def test_a_request_completed_during_shutdown_is_answered(self):
        async with Testbed().running() as testbed:
            viewer, data = RawViewer(testbed.port), set_up(A)
            await until(lambda: testbed.node.listener.connections)
            finish = testbed.node.listener.finish

            async def finish_during_request(*by):
                await self.send_part(testbed, viewer, data[:100])
                testbed.tasks.start_soon(finish, *by)
                await anyio.sleep(0.2)
                viewer.send(data[100:])
                await until(lambda: not testbed.node.listener.connections)

            with (
                mock.patch.object(testbed.node.listener, "finish", finish_during_request),
                mock.patch("curlewshift.node.node.MIN_DRAIN_S", 0.2),
            ):
                os.kill(os.getpid(), signal.SIGTERM)
                received = await viewer.receive()
                self.assertEqual((received.status, received.fields["session"]), (503, A))
                await until(lambda: testbed.node.tasks.cancel_scope.cancel_called, 8)
            viewer.close()


class ManyNodes(unittest.TestCase):
    @contextlib.asynccontextmanager
    async def nodes(self, testbed, count):
        """Runs `count` nodes that share the media servers, the first of which has just started with 200 seats."""
        nodes, spares = [], []
        for number in range(count):
            document = testbed.config_document()
            # held until all ports are found: no node binds before, and a port that was let go could be found twice
            spares.append(socket.create_server(("127.0.0.1", 0)))
            port = spares[-1].getsockname()[1]
            document["settings"].update(balancers=count, my_number=number)
            document["settings"]["extra"]["kind_streams"] = [200]
            document["known"]["items"][0]["roster"]["servers"][0]["started_ms"] = time.time_ns() // 1_000_000
            document.update(name=f"n{number}", listen=f"127.0.0.1:{port}", seed=f"{number:02x}")
            testbed.path.write_text(json.dumps(document))
            nodes.append((Node(configuration.read(testbed.path), testbed.path, mock.Mock()), port))
            testbed.tasks.start_soon(nodes[-1][0].run)
        for spare in spares:
            spare.close()
        await until(lambda: all(node.ready for node, _ in nodes), 10)
        yield nodes
        faults = [call for node, _ in nodes for call in node.log.error.call_args_list]
        self.assertFalse(faults, faults)

    @async_test
    async def test_thirty_nodes_with_little_load_each_do_not_overload_a_cold_server_and_answer_each_request_once(self):
        testbed, arrivals = Testbed(2), []
        testbed.obligations = dict(warm_within_ms=8000, start_capacity=0.1, fall_multiple=2.0, fall_ms=1000)
        async with testbed.without_node():
            cold = testbed.media_servers[0]

            async def count_arrival(connection, kind, id, parameters):
                if kind == isup.SET_UP:
                    arrivals.append(anyio.current_time())
                await cold.accept(connection, kind, id, parameters)

            cold.handler = count_arrival
            async with self.nodes(testbed, 30) as nodes:
                viewers = [RawViewer(port) for _, port in nodes]
                ids = [[] for _ in range(30)]
                # nodes take turns at a cold server by the clock, with gaps between turns: ask until enough were accepted
                asked_until = anyio.current_time() + 10.0

                def too_few():
                    return not arrivals or sum(len(media.received_of(isup.SET_UP)) for media in testbed.media_servers) <= 5

                while len(ids[0]) < 12 or (too_few() and anyio.current_time() < asked_until):
                    for number, (viewer, viewer_ids) in enumerate(zip(viewers, ids)):
                        viewer_ids.append(f"{number:08x}{len(viewer_ids):08x}")
                        viewer.send_set_up(viewer_ids[-1], timeout_ms=2000)
                    await anyio.sleep(0.1)
                statuses = []
                for viewer, viewer_ids in zip(viewers, ids):
                    received = [await viewer.receive() for _ in viewer_ids]
                    self.assertEqual(sorted(message.fields["session"] for message in received), viewer_ids)
                    statuses += [message.status for message in received]
                    self.assertEqual(viewer.buffered, [])
                self.assertLessEqual(set(statuses), {200, 453})
                self.assertGreater(statuses.count(200), 5)
                # a tenth of 200 seats at the start, and the server is overloaded at twice that: this many in a second, plus a
                # margin for random variation
                self.assertTrue(arrivals)
                max_per_second = max(sum(at <= time < at + 1 for time in arrivals) for at in arrivals)
                self.assertLessEqual(max_per_second, 40 + 2 * 40**0.5 + 2)
                for viewer in viewers:
                    viewer.close()


class UnusedNode(unittest.TestCase):
    """A node process without any requests."""

    @contextlib.asynccontextmanager
    async def started(self, testbed):
        process = await anyio.open_process(
            [sys.executable, "-m", "curlewshift.node"],
            env={**os.environ, "NODE_CONFIG": str(testbed.path)},
            stderr=subprocess.PIPE,
        )
        logged = []

        async def logs():
            with contextlib.suppress(anyio.ClosedResourceError):
                async for piece in process.stderr:
                    logged.append(piece)

        testbed.tasks.start_soon(logs)
        try:
            await until(lambda: b'"event":"open"' in b"".join(logged), 20)
            yield process
            self.assertNotRegex(b"".join(logged).decode(), '"event":"(fault|unanswered)"')
        finally:
            if process.returncode is None:
                process.kill()
            with anyio.CancelScope(shield=True):
                await process.aclose()

    @staticmethod
    def cpu_seconds_and_descriptors(process):
        """Returns the CPU time (s) and the number of open descriptors."""
        fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), len(os.listdir(f"/proc/{process.pid}/fd"))

    @async_test
    async def test_an_unused_node_uses_little_cpu_makes_no_connections_follows_a_reload_and_exits_promptly(self):
        async with Testbed(4).without_node() as testbed, self.started(testbed) as process:
            await until(lambda: testbed.discovery.connections)
            before, opened = self.cpu_seconds_and_descriptors(process)
            await anyio.sleep(1.0)
            after, open_then = self.cpu_seconds_and_descriptors(process)
            self.assertLess(after - before, 0.1)
            self.assertLessEqual(open_then, opened)
            self.assertEqual([media.connections for media in testbed.media_servers], [[], [], [], []])
            other = DiscoveryServer()
            await other.open(testbed.tasks)
            testbed.discovery.port = other.port
            testbed.path.write_text(json.dumps(testbed.config_document()))
            process.send_signal(signal.SIGHUP)
            await until(lambda: other.requests == [1])
            signalled_at = anyio.current_time()
            process.send_signal(signal.SIGTERM)
            with anyio.fail_after(4):
                self.assertEqual(await process.wait(), 0)
            self.assertLess(anyio.current_time() - signalled_at, 2.5)

    @async_test
    async def test_without_discovery_and_servers_it_passes_its_probe_refuses_requests_and_leaves_none_unanswered_at_exit(self):
        async with Testbed(2).without_node() as testbed:
            for server in (*testbed.media_servers, testbed.discovery):
                await server.listener.aclose()
            async with self.started(testbed) as process:
                prober, viewer = RawViewer(testbed.port), RawViewer(testbed.port)
                prober.send(PROBE)
                self.assertEqual((await prober.receive()).status, 200)
                viewer.send_set_up(A, package=CLIP)
                self.assertEqual((await viewer.receive()).status, 453)
                process.send_signal(signal.SIGTERM)
                viewer.send_set_up(B, package=CLIP)
                received = await viewer.receive()
                self.assertEqual((received.fields["session"], received.status in (453, 503)), (B, True))
                self.assertIsNone(await viewer.receive())
                with anyio.fail_after(4):
                    self.assertEqual(await process.wait(), 0)
                prober.close()
                viewer.close()


if __name__ == "__main__":
    unittest.main()
