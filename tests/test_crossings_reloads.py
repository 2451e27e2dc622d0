"""Races of reloads, silent peers, full lists and kill servers with requests in progress at the front node, on real sockets and
in a forced order. `docs/crossings.md` lists them."""

import json
import os
import signal
import socket
import struct
import unittest
from unittest import mock

import anyio

from curlewshift.node import configuration, isup
from curlewshift.node.buffered_connection import Listener
from curlewshift.node.node import Node
from tests.fake import SECOND
from tests.node_testbed import CLIP, DelayedReads, DiscoveryServer, RawViewer, Testbed
from tests.sockets import async_test, until
from tests.test_crossings import answer_to, assert_unchanged

A, B, C = "00000000000000a1", "00000000000000b2", "00000000000000c3"


def reload(testbed, other, number, *media_servers, full=False):
    """Writes a configuration with another discovery address and, with servers, one more event, and sends SIGHUP."""
    testbed.discovery.port = other.port
    document = testbed.config_document()
    if media_servers:
        rows = [
            dict(
                id=media.name,
                addr=f"127.0.0.1:{media.port}",
                zone="a",
                kind="box",
                cell=media.cell,
                weight=1.0,
                started_ms=0,
                state=("active", "leaving", "left")[media.state],
            )
            for media in media_servers
        ]
        document["known"]["items"].append(dict(no=number, roster=dict(version=1, full=full, servers=rows)))
        document["known"]["no"] = number
    testbed.path.write_text(json.dumps(document))
    os.kill(os.getpid(), signal.SIGHUP)


def set_ups_sent(testbed):
    return [[id.hex() for id, _ in media.received_of(isup.SET_UP)] for media in testbed.media_servers]


def reset(stream):
    """Resets the connection, as when its process is kill."""
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return stream.aclose()


class Reloads(unittest.TestCase):
    """A reload while servers drain, and while the node itself drains."""

    @async_test
    async def test_a_drain_in_a_new_configuration_is_obeyed_by_attempts_waiting_for_a_connection(self):
        delayed = DelayedReads(delay_connects=True)
        async with Testbed(2).running() as testbed:
            with delayed.applied():
                viewer, other = RawViewer(testbed.port), DiscoveryServer()
                await other.open(testbed.tasks)
                viewer.send_set_up(A, package=CLIP)
                await until(lambda: testbed.node.server_pool.attempts)
                picked = next(iter(testbed.node.server_pool.attempts)).server.name
                draining = next(media for media in testbed.media_servers if media.name == picked)
                draining.state = 1
                reload(testbed, other, 2, draining)
                await until(lambda: other.requests == [2])
                delayed.resume_connects.set()
                self.assertEqual((await viewer.receive()).status, 200)
            self.assertEqual([ids for media, ids in zip(testbed.media_servers, set_ups_sent(testbed)) if media is draining], [[]])
            self.assertEqual(sum(map(len, set_ups_sent(testbed))), 1)
            viewer.close()

    @async_test
    async def test_a_late_event_of_the_old_discovery_service_does_not_undo_a_drain_from_the_new_one(self):
        delayed = DelayedReads()
        async with Testbed(2).running() as testbed:
            with delayed.applied():
                node, media, other = testbed.node, testbed.media_servers[0], DiscoveryServer()
                await other.open(testbed.tasks)
                await until(lambda: testbed.discovery.connections)
                list_events = [call for call in node.log.info.call_args_list if call.args == ("list",)]
                # the old service sends an event before the address changes, and it is unread when the signal arrives
                await testbed.discovery.send_event(2, media)
                media.state = 1
                reload(testbed, other, 3, *testbed.media_servers, full=True)
                await until(lambda: other.connections and other.requests == [3])
                await until(lambda: not node.fleet.servers[media.name].open)
                for _connection in list(testbed.discovery.connections):
                    await testbed.discovery.send_event(2, media)
                await assert_unchanged(lambda: node.fleet.servers[media.name].open)
                self.assertLessEqual(
                    len([call for call in node.log.info.call_args_list if call.args == ("list",)]), len(list_events) + 2
                )

    @async_test
    async def test_a_session_at_a_draining_server_survives_a_change_of_the_discovery_address(self):
        async with Testbed(2).running() as testbed:
            viewer, other = RawViewer(testbed.port), DiscoveryServer()
            await other.open(testbed.tasks)
            viewer.send_set_up(A)
            await viewer.receive()
            at = next(media for media in testbed.media_servers if media.received_of(isup.SET_UP))
            at.state = 1
            reload(testbed, other, 2, at)
            await until(lambda: other.connections)
            viewer.send_set_up(B)
            self.assertEqual((await viewer.receive()).status, 200)
            self.assertEqual([len(ids) for ids in set_ups_sent(testbed)], [1, 1])
            at.state = 2
            await other.send_event(3, at)
            await until(lambda: testbed.node.follower.last == 3)
            await assert_unchanged(lambda: len(testbed.node.session_core.front_sessions))
            await at.connections[0].send(isup.release(bytes.fromhex(A), isup.ENDED))
            received = await viewer.receive()
            self.assertEqual((received.method, received.fields["session"]), ("TEARDOWN", A))
            viewer.close()

    @async_test
    async def test_an_invalid_and_a_valid_file_during_the_nodes_drain_change_only_the_server_list(self):
        with mock.patch("curlewshift.node.node.MIN_DRAIN_S", 0.4):
            await self.reloads_during_drain()

    async def reloads_during_drain(self):
        async with Testbed().running() as testbed:
            media, viewer, other = testbed.media_servers[0], RawViewer(testbed.port), DiscoveryServer()
            await other.open(testbed.tasks)
            viewer.send_set_up(A)
            await viewer.receive()
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda: testbed.node.draining)
            testbed.path.write_text("{")
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: testbed.node.log.error.called)
            media.state = 1
            reload(testbed, other, 2, media)
            await until(lambda: other.requests == [2])
            late = RawViewer(testbed.port)
            late.send_set_up(B)
            self.assertEqual((await late.receive()).status, 503)
            self.assertTrue(testbed.node.session_core.front_sessions and not testbed.node.tasks.cancel_scope.cancel_called)
            await media.connections[0].send(isup.release(bytes.fromhex(A), isup.ENDED))
            self.assertEqual((await viewer.receive()).fields["session"], A)
            await until(lambda: testbed.node.tasks.cancel_scope.cancel_called, 8)
            for client in (viewer, late):
                client.close()

    @async_test
    async def test_a_sighup_during_the_start_is_applied_once_started(self):
        async with Testbed().without_node() as testbed:
            node, opened, other = (
                Node(configuration.read(testbed.path), testbed.path, mock.Mock()),
                Listener.__init__,
                DiscoveryServer(),
            )
            await other.open(testbed.tasks)

            def listen_and_reload(listener, *args):
                opened(listener, *args)
                reload(testbed, other, 0)

            with mock.patch.object(Listener, "__init__", listen_and_reload):
                testbed.tasks.start_soon(node.run)
                await until(lambda: other.requests == [1])
            await until(lambda: node.ready)
            self.assertFalse(node.log.error.called)


class SilentPeers(unittest.TestCase):
    @async_test
    async def test_a_discovery_connection_silent_within_an_event_is_replaced_and_requests_from_the_last_complete_one(self):
        # the actual time-out is covered by a test in test_node
        with mock.patch("curlewshift.node.follower.FRAME_TIMEOUT_S", 0.6):
            await self.silent_within_an_event()

    async def silent_within_an_event(self):
        async with Testbed(2).running() as testbed:
            discovery, media = testbed.discovery, testbed.media_servers[0]
            await until(lambda: discovery.connections)
            for number in (2, 3):
                await discovery.send_event(number, testbed.media_servers[1])
            media.state = 1
            with mock.patch.object(
                discovery.connections[0],
                "send",
                lambda data: type(discovery.connections[0]).send(discovery.connections[0], data[:20]),
            ):
                await discovery.send_event(4, media)
            await until(lambda: discovery.requests == [1, 3], 4)
            await until(lambda: len(discovery.connections) == 1)
            await discovery.send_event(4, media)
            await until(lambda: not testbed.node.fleet.servers[media.name].open)

    @staticmethod
    def age_last_seen(endpoint, span):
        """Makes all that was received from the server older by `span` (ns)."""
        endpoint.last_seen_at -= span
        for connection in endpoint.connections:
            connection.last_seen_at -= span

    async def make_unreachable(self, testbed, media):
        """Leaves the connections of the server open and silent, and makes all new connects hang."""
        media.handler = media.ignore
        never = await anyio.create_tcp_listener(local_host="127.0.0.1", backlog=1)
        port = never.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        for _ in range(4):
            testbed.tasks.start_soon(anyio.connect_tcp, "127.0.0.1", port)
        await anyio.sleep(0.05)
        endpoint = testbed.node.server_pool.endpoints[testbed.node.fleet.servers[media.name]]
        endpoint.address = ("127.0.0.1", port)
        return never, endpoint

    @async_test
    async def test_a_server_that_answered_probes_and_then_fell_silent_is_declared_lost_in_time(self):
        async with Testbed().running() as testbed:
            viewer, media = RawViewer(testbed.port), testbed.media_servers[0]
            viewer.send_set_up(A)
            await viewer.receive()
            endpoint = testbed.node.server_pool.endpoints[testbed.node.fleet.servers[media.name]]
            for probe_count in (1, 2):
                # the server has been silent for 3 s: it is probed, and answers
                self.age_last_seen(endpoint, 3 * SECOND)
                await until(
                    lambda: (
                        len(media.received_of(isup.PROBE)) == probe_count
                        and not any(connection.probes for connection in endpoint.connections)
                    )
                )
            never, _ = await self.make_unreachable(testbed, media)
            # two of the eight seconds have passed
            self.age_last_seen(endpoint, 2 * SECOND)
            for connection in endpoint.connections:
                connection.opened_at -= 2 * SECOND
            self.assertEqual((await viewer.receive(5.5)).fields["reason"], "cause=41")
            await never.aclose()
            viewer.close()

    @async_test
    async def test_a_silent_server_with_a_long_report_interval_is_declared_lost_as_soon(self):
        testbed, config_document = Testbed(), Testbed.config_document

        def with_long_interval(self):
            document = config_document(self)
            document["settings"]["extra"]["told_every_ms"] = 60_000
            return document

        with mock.patch.object(Testbed, "config_document", with_long_interval):
            async with testbed.running():
                viewer, media = RawViewer(testbed.port), testbed.media_servers[0]
                viewer.send_set_up(A)
                await viewer.receive()
                never, endpoint = await self.make_unreachable(testbed, media)
                # five seconds have passed
                self.age_last_seen(endpoint, 5 * SECOND)
                for connection in endpoint.connections:
                    connection.opened_at -= 5 * SECOND
                self.assertEqual((await viewer.receive(2.5)).fields["reason"], "cause=41")
                await never.aclose()
                viewer.close()


class FullLists(unittest.TestCase):
    @async_test
    async def test_a_fragmented_full_list_with_a_number_gap_closes_an_unnamed_server_under_a_queued_set_up(self):
        delayed = DelayedReads(delay_connects=True)
        async with Testbed(2).running() as testbed:
            with delayed.applied():
                viewer, discovery = RawViewer(testbed.port), testbed.discovery
                viewer.send_set_up(A, package=CLIP)
                await until(lambda: testbed.node.server_pool.attempts and discovery.connections)
                picked = next(iter(testbed.node.server_pool.attempts)).server.name
                stays = next(media for media in testbed.media_servers if media.name != picked)
                connection, pieces = discovery.connections[0], []

                async def gather(data):
                    pieces.append(data)

                with mock.patch.object(connection, "send", gather):
                    await discovery.send_event(9, stays, kind=1)
                for byte in pieces[0]:
                    await connection.send(bytes([byte]))
                    await anyio.sleep(0)
                await until(lambda: testbed.node.follower.last == 9)
                delayed.resume_connects.set()
                self.assertEqual((await viewer.receive()).status, 200)
            self.assertEqual(
                {media.name: len(ids) for media, ids in zip(testbed.media_servers, set_ups_sent(testbed))},
                {stays.name: 1, picked: 0},
            )
            self.assertEqual(discovery.requests, [1])
            viewer.close()

    @async_test
    async def test_a_full_list_does_not_affect_requests_at_the_servers_it_names_and_is_applied_once(self):
        async with Testbed(2).running() as testbed:
            viewer, discovery = RawViewer(testbed.port), testbed.discovery
            viewer.send_set_up(A)
            await viewer.receive()
            for media in testbed.media_servers:
                media.handler = media.ignore
            viewer.send_set_up(B, package=CLIP)
            await until(lambda: sum(map(len, set_ups_sent(testbed))) == 2 and discovery.connections)
            at = next(media for media in testbed.media_servers if B in [id.hex() for id, _ in media.received_of(isup.SET_UP)])
            for number in (2, 2, 5):
                await discovery.send_event(number, *testbed.media_servers, kind=1)
            await until(lambda: testbed.node.follower.last == 5)
            for connection in at.connections:
                await connection.send(answer_to(B))
            received = await viewer.receive()
            self.assertEqual((received.status, received.fields["session"]), (200, B))
            await assert_unchanged(lambda: (len(testbed.node.session_core.front_sessions), viewer.buffered))
            self.assertEqual((len(testbed.node.session_core.front_sessions), sum(map(len, set_ups_sent(testbed)))), (2, 2))
            full_lists = [call.kwargs["whole"] for call in testbed.node.log.info.call_args_list if call.args == ("list",)]
            self.assertEqual(full_lists, [True, True, True])
            viewer.close()

    @async_test
    async def test_a_server_missing_from_one_full_list_and_named_by_the_next_keeps_its_session_and_is_used_again(self):
        async with Testbed().running() as testbed:
            viewer, discovery, media = RawViewer(testbed.port), testbed.discovery, testbed.media_servers[0]
            viewer.send_set_up(A)
            await viewer.receive()
            await until(lambda: discovery.connections)
            await discovery.send_event(2, kind=1)
            await until(lambda: testbed.node.follower.last == 2)
            viewer.send_set_up(B)
            self.assertEqual((await viewer.receive()).status, 453)
            await discovery.send_event(3, media, kind=1)
            await until(lambda: testbed.node.follower.last == 3)
            viewer.send_set_up(C)
            received = await viewer.receive()
            self.assertEqual((received.status, received.fields["session"]), (200, C))
            self.assertEqual(len(testbed.node.session_core.front_sessions), 2)
            viewer.close()

    @async_test
    async def test_a_full_list_after_a_disconnect_replaces_missed_changes_and_its_drain_is_obeyed(self):
        async with Testbed(2).running() as testbed:
            viewer, discovery, media = RawViewer(testbed.port), testbed.discovery, testbed.media_servers[0]
            await until(lambda: discovery.connections)
            await discovery.connections[0].aclose()
            await until(lambda: len(discovery.requests) == 2 and discovery.connections)
            media.state = 1
            await discovery.send_event(7, *testbed.media_servers, kind=1)
            await until(lambda: not testbed.node.fleet.servers[media.name].open)
            viewer.send_set_up(A)
            self.assertEqual((await viewer.receive()).status, 200)
            self.assertEqual(list(map(len, set_ups_sent(testbed))), [0, 1])
            media.state = 0
            await discovery.send_event(8, media)
            await until(lambda: testbed.node.fleet.servers[media.name].open)
            self.assertEqual(discovery.requests, [1, 1])
            viewer.close()


class KillsAfterAccept(unittest.TestCase):
    async def kill(self, media):
        """Closes the listener and resets all accepted connections."""
        await media.listener.aclose()
        for connection in list(media.connections):
            await reset(connection)

    @async_test
    async def test_a_set_up_for_a_process_killed_right_after_accepting_is_not_sent_there(self):
        delayed = DelayedReads(delay_connects=True)
        async with Testbed(2).running() as testbed:
            with delayed.applied():
                viewer = RawViewer(testbed.port)
                viewer.send_set_up(A, package=CLIP)
                await until(lambda: testbed.node.server_pool.attempts)
                picked = next(iter(testbed.node.server_pool.attempts)).server.name
                media = next(media for media in testbed.media_servers if media.name == picked)
                await until(lambda: media.connections)
                await self.kill(media)
                # only now does the node learn that the connection was accepted
                delayed.resume_connects.set()
                delayed.delay_connects = False
                received = await viewer.receive()
            self.assertEqual((received.status, sum(map(len, set_ups_sent(testbed)))), (200, 1))
            self.assertEqual([ids for server, ids in zip(testbed.media_servers, set_ups_sent(testbed)) if server is media], [[]])
            viewer.close()

    @async_test
    async def test_a_paid_set_up_received_by_a_process_that_is_killed_fails_and_is_not_repeated(self):
        async with Testbed(2).running() as testbed:
            viewer = RawViewer(testbed.port)

            async def dies(connection, kind, id, parameters):
                if kind == isup.SET_UP:
                    await reset(connection)

            for media in testbed.media_servers:
                media.handler = dies
            viewer.send_set_up(A, package=CLIP)
            self.assertEqual((await viewer.receive()).status, 500)
            self.assertEqual(sum(map(len, set_ups_sent(testbed))), 1)
            await assert_unchanged(lambda: (sum(map(len, set_ups_sent(testbed))), viewer.buffered))
            viewer.close()

    @async_test
    async def test_sessions_end_when_the_restarted_process_is_killed_right_after_accepting_too(self):
        """The process dies; its successor accepts the node's next connection, and is kill at that moment too."""
        async with Testbed().running() as testbed:
            viewer, media = RawViewer(testbed.port), testbed.media_servers[0]
            for id in (A, B):
                viewer.send_set_up(id)
                await viewer.receive()
            again, accepted = await anyio.create_tcp_listener(local_host="127.0.0.1"), []
            port = again.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
            endpoint = testbed.node.server_pool.endpoints[testbed.node.fleet.servers[media.name]]

            async def accept_and_reset():
                accepted.append(await again.listeners[0].accept())
                await again.aclose()
                await reset(accepted[0])

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(accept_and_reset)
                await media.listener.aclose()
                endpoint.address = ("127.0.0.1", port)
                for connection in list(media.connections):
                    await reset(connection)
                started_at = anyio.current_time()
                received = [await viewer.receive(), await viewer.receive()]
            self.assertEqual(
                {(message.method, message.fields["session"]) for message in received}, {("TEARDOWN", A), ("TEARDOWN", B)}
            )
            self.assertLess(anyio.current_time() - started_at, 1.0)
            self.assertEqual(len(accepted), 1)
            viewer.close()

    @async_test
    async def test_a_repeatable_set_up_to_a_server_silent_after_accepting_is_retried_at_another(self):
        async with Testbed(2).running() as testbed:
            viewer = RawViewer(testbed.port)
            first = []

            async def silent_if_first(media, connection, kind, id, parameters):
                if kind == isup.SET_UP and not first:
                    first.append(media)
                if first and first[0] is media:
                    return
                await media.accept(connection, kind, id, parameters)

            for media in testbed.media_servers:
                media.handler = lambda *received, media=media: silent_if_first(media, *received)
            viewer.send_set_up(A, timeout_ms=2000)
            self.assertEqual((await viewer.receive()).status, 200)
            self.assertEqual(list(map(len, set_ups_sent(testbed))), [1, 1])
            viewer.close()


class SessionEnds(unittest.TestCase):
    @async_test
    async def test_releases_are_confirmed_at_a_server_that_sends_on_the_first_of_several_connections(self):
        """An end that is never completed would use up one of the few ends that may be pending at a server."""
        ids = [f"{number:016x}" for number in range(1, 7)]
        async with Testbed().running() as testbed:
            viewer, media = RawViewer(testbed.port), testbed.media_servers[0]
            for id in ids:
                viewer.send_set_up(id, package=CLIP)
            for _ in ids:
                self.assertEqual((await viewer.receive()).status, 200)
            endpoint = testbed.node.server_pool.endpoints[testbed.node.fleet.servers[media.name]]
            self.assertGreater(len(endpoint.connections), 1)
            first = endpoint.connections[0]
            at = first.transport.socket.getsockname()[1]
            [stream] = [
                connection for connection in media.connections if connection.extra(anyio.abc.SocketAttribute.remote_port) == at
            ]
            await stream.send(isup.encode(isup.PROBED, b"a" * 8, (isup.CAUSE, b"\1")))
            await until(lambda: max(endpoint.connections, key=lambda connection: connection.last_seen_at) is first)
            for id in ids:
                viewer.tear_down(id)
            await until(lambda: len(media.received_of(isup.RELEASE)) == len(ids))
            await until(lambda: not len(testbed.node.session_core.session_ends))
            self.assertEqual(testbed.node.session_core.session_ends.done, len(ids))
            viewer.close()


if __name__ == "__main__":
    unittest.main()
