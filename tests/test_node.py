"""Integration tests of the front node on loopback, with scripted media servers and a scripted discovery service."""

import errno
import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import anyio

from curlewshift.node import configuration, isup
from tests.fake import SECOND
from tests.node_testbed import CLIP, DiscoveryServer, MediaServer, Testbed, set_up
from tests.sockets import async_test, until

A, B, C = "00000000000000a1", "00000000000000b2", "00000000000000c3"
ANSWER = isup.encode(isup.ANSWER, b"IDIDIDID", (isup.DESCRIPTION, b"late"))
REFUSED, FAILED = (453, 503), (500,)


class SessionLifecycle(unittest.TestCase):
    @async_test
    async def test_a_session_from_set_up_to_the_viewers_teardown(self):
        async with Testbed().running() as testbed:
            viewer, media = await testbed.viewer(), testbed.media_servers[0]
            answer = await viewer.request(A, body=b"\r\n\0offer")
            self.assertEqual((answer.status, answer.fields["session"], answer.body), (200, A, b"plays \r\n\0offer"))
            parameters = media.received_of(isup.SET_UP)[0][1]
            self.assertEqual(
                (parameters[isup.CLASS], parameters[isup.TITLE], parameters[isup.LEVEL]), (b"lesson", b"00000000000000aa", b"1")
            )
            self.assertLessEqual(int(parameters[isup.WAIT]), 2000)
            self.assertEqual(testbed.node.fleet.servers[media.name].link.reported, True)
            await viewer.tear_down(A, "Reason: cause=19\r\n")
            await until(lambda: media.received_of(isup.RELEASE))
            self.assertEqual(media.received_of(isup.RELEASE), [(bytes.fromhex(A), {isup.CAUSE: b"\x13"})])
            self.assertFalse(testbed.node.session_core.front_sessions or testbed.node.listener.sessions)

    @async_test
    async def test_a_release_is_sent_on_another_connection_if_the_viewers_own_has_closed(self):
        async with Testbed().running() as testbed:
            first, second = await testbed.viewer(), await testbed.viewer()
            await first.request(A)
            await second.request(B)
            await first.stream.aclose()
            await until(lambda: len(testbed.node.listener.connections) == 1)
            media = testbed.media_servers[0]
            await media.connections[0].send(isup.release(bytes.fromhex(A), isup.RESET))
            release = await second.receive()
            self.assertEqual((release.method, release.fields["session"], release.fields["reason"]), ("TEARDOWN", A, "cause=41"))
            await until(lambda: media.received_of(isup.RELEASED))

    @async_test
    async def test_a_handed_over_session_is_not_answered_is_counted_and_has_a_connection_opened_for_its_release(self):
        async with Testbed().running() as testbed:
            viewer, media = await testbed.viewer(), testbed.media_servers[0]
            await viewer.send_set_up(A, legs=f";at:{media.name}")
            await viewer.send_set_up(A, legs=f";at:{media.name}")
            await until(lambda: media.connections)
            server = testbed.node.fleet.servers[media.name]
            self.assertEqual((server.link.own, len(server.link.playing)), (100, 1))
            note = isup.encode(isup.NOTE, bytes.fromhex(A), (isup.KIND, b"tier"), (isup.VALUE, b"1"))
            await media.connections[0].send(note + isup.release(bytes.fromhex(A), isup.ENDED))
            self.assertEqual((await viewer.receive()).method, "TEARDOWN")
            self.assertEqual(server.link.own, 0)


class AmbiguousOutcomes(unittest.TestCase):
    """A package paid at set-up gets one answer, and a second attempt only if the first provably never ran."""

    async def paid(self, testbed, *handlers):
        for media, handler in zip(testbed.media_servers, handlers):
            if isinstance(handler, bytes):
                media.reply_with(handler)
            elif handler is not None:
                media.handler = handler
        viewer = await testbed.viewer()
        answer = await viewer.request(A, package=CLIP, timeout_ms=500)
        return answer, [len(media.received_of(isup.SET_UP)) for media in testbed.media_servers]

    @async_test
    async def test_a_lost_corrupt_truncated_reset_or_error_answer_fails_the_request_without_another_attempt(self):
        cut = isup.encode(isup.ANSWER, b"IDIDIDID", (isup.DESCRIPTION, b"d"))[:14]
        for reply in (
            b"",
            b"\xff\xff\xff",
            cut,
            isup.encode(isup.ANSWER, b"IDIDIDID"),
            isup.release(b"IDIDIDID", isup.ERROR),
            isup.release(b"IDIDIDID", isup.RESET),
            isup.release(b"IDIDIDID", 99),
        ):
            async with Testbed(2).running() as testbed:
                answer, sent = await self.paid(testbed, reply, reply)
                self.assertIn(answer.status, FAILED, reply)
                self.assertEqual(sum(sent), 1, reply)
                self.assertNotIn("x-pause", answer.fields)

    @async_test
    async def test_a_connection_closed_after_the_set_up_fails_the_request(self):
        async def hangs_up(connection, kind, id, parameters):
            await connection.aclose()

        async with Testbed(2).running() as testbed:
            answer, sent = await self.paid(testbed, hangs_up, hangs_up)
            self.assertEqual((answer.status, sum(sent)), (500, 1))

    @async_test
    async def test_full_moot_or_a_refused_connection_allows_another_attempt(self):
        for reply in (isup.release(b"IDIDIDID", isup.FULL), isup.release(b"IDIDIDID", isup.MOOT)):
            async with Testbed(2).running() as testbed:
                answer, sent = await self.paid(testbed, reply, reply)
                self.assertIn(answer.status, REFUSED)
                self.assertGreaterEqual(min(sent), 1)
        async with Testbed(2).running() as testbed:
            for media in testbed.media_servers:
                await media.close()
            answer, sent = await self.paid(testbed)
            self.assertIn(answer.status, REFUSED)
            self.assertLessEqual(int(answer.fields["x-pause"]) > 0, 2000)

    @async_test
    async def test_a_corrupt_answer_fails_all_attempts_on_its_connection(self):
        async with Testbed(sockets=5).running() as testbed:
            media = testbed.media_servers[0]
            media.handler = media.ignore
            viewer = await testbed.viewer()
            for id in (A, B, C):
                await viewer.send_set_up(id, package=CLIP)
            await until(lambda: len(media.received_of(isup.SET_UP)) == 3)
            shared = max(
                media.connections,
                key=lambda connection: sum(
                    attempt.connection.transport is not None
                    and attempt.connection.transport.socket.getsockname()[1]
                    == connection.extra(anyio.abc.SocketAttribute.remote_port)
                    for attempt in testbed.node.server_pool.attempts.values()
                ),
            )
            await shared.send(b"\0\2no")
            self.assertEqual([(await viewer.receive(0.5)).status for _ in range(2)], [500, 500])

    @async_test
    async def test_an_answer_that_crosses_its_release_is_released_again_and_a_duplicate_is_not(self):
        async with Testbed().running() as testbed:
            viewer, media = await testbed.viewer(), testbed.media_servers[0]
            media.handler = media.ignore
            await viewer.send_set_up(A)
            await until(lambda: media.received_of(isup.SET_UP))
            await viewer.tear_down(A)
            await until(lambda: media.received_of(isup.RELEASE))
            await media.connections[0].send(ANSWER.replace(b"IDIDIDID", bytes.fromhex(A)))
            await until(lambda: len(media.received_of(isup.RELEASE)) == 2)
            media.reply_with(ANSWER * 2 + ANSWER.replace(b"IDIDIDID", b"nobody's"))
            await viewer.receive()
            self.assertEqual((await viewer.request(B)).status, 200)
            await viewer.request(C)
            self.assertEqual(len(media.received_of(isup.RELEASE)), 2)
            self.assertEqual(len(testbed.node.session_core.front_sessions), 2)


class UnansweredRequests(unittest.TestCase):
    @async_test
    async def test_a_request_past_its_deadline_is_answered_once_by_the_sweep_and_logged(self):
        async with Testbed().running() as testbed:
            testbed.media_servers[0].handler = testbed.media_servers[0].ignore
            with (
                mock.patch.object(testbed.node.session_core.timers, "run", lambda now: None),
                mock.patch.object(testbed.node.listener.log, "error") as log_error,
            ):
                viewer = await testbed.viewer()
                answer = await viewer.request(A, package=CLIP, timeout_ms=300)
            self.assertEqual((answer.status, log_error.call_args.args), (500, ("unanswered",)))
            self.assertFalse(
                testbed.node.listener.sessions or any(connection.waiting for connection in testbed.node.listener.connections)
            )
            testbed.node.session_core.time()
            # a second answer to A would be received before this one
            self.assertEqual((await viewer.request(B)).fields["session"], B)


class MediaServerFailures(unittest.TestCase):
    @async_test
    async def test_sessions_of_a_dead_process_are_released_to_their_viewers(self):
        async with Testbed().running() as testbed:
            viewer = await testbed.viewer()
            await viewer.request(A)
            await testbed.media_servers[0].close()
            self.assertEqual((await viewer.receive()).fields["reason"], "cause=41")

    @async_test
    async def test_sessions_of_a_dead_process_are_released_even_if_a_connection_stays_open_and_silent(self):
        async with Testbed().running() as testbed:
            viewer, media = await testbed.viewer(), testbed.media_servers[0]
            await viewer.request(A)
            media.handler = media.ignore
            await media.listener.aclose()
            release = await viewer.receive(7.5)
            self.assertEqual(release.fields["reason"], "cause=41")

    @async_test
    async def test_sessions_of_a_vanished_machine_are_released_within_eight_seconds(self):
        async with Testbed().running() as testbed:
            viewer, media = await testbed.viewer(), testbed.media_servers[0]
            await viewer.request(A)
            media.handler = media.ignore
            never = await anyio.create_tcp_listener(local_host="127.0.0.1", backlog=1)
            port = never.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
            # the accept queue is full, so that no more connects succeed; for the node the address has not changed
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(anyio.connect_tcp, "127.0.0.1", port)
                endpoint = testbed.node.server_pool.endpoints[testbed.node.fleet.servers[media.name]]
                endpoint.address = ("127.0.0.1", port)
                release = await viewer.receive(7.5)
                tasks.cancel_scope.cancel()
            self.assertEqual(release.fields["reason"], "cause=41")
            await never.aclose()

    @async_test
    async def test_a_silent_process_that_still_accepts_connections_keeps_its_sessions(self):
        async with Testbed().running() as testbed:
            viewer, media = await testbed.viewer(), testbed.media_servers[0]
            await viewer.request(A)
            media.handler = media.ignore
            with self.assertRaises(TimeoutError):
                await viewer.receive(4.5)
            self.assertTrue(media.received_of(isup.PROBE))
            self.assertLess(len(testbed.node.server_pool.endpoints[testbed.node.fleet.servers[media.name]].connections), 4)

    @async_test
    async def test_a_new_server_at_the_address_of_a_removed_one_inherits_no_state(self):
        async with Testbed().running() as testbed:
            viewer, old = await testbed.viewer(), testbed.media_servers[0]
            await viewer.request(A)
            before = testbed.node.fleet.servers[old.name]
            new = MediaServer("s-000000ff", 0)
            new.port, new.started, old.state = old.port, int(testbed.node.now() / 1e6), 2
            await until(lambda: testbed.discovery.connections)
            await testbed.discovery.send_event(2, old, new)
            self.assertEqual((await viewer.receive()).fields["session"], A)
            now = testbed.node.fleet.servers[new.name]
            self.assertIsNot(testbed.node.server_pool.endpoints[now], testbed.node.server_pool.endpoints.get(before))
            self.assertFalse(before.open)
            self.assertEqual((now.started, now.link.own), (new.started * 1_000_000, 0))
            self.assertEqual((await viewer.request(B)).status, 200)
            self.assertIs(testbed.node.listener.sessions[B].front_session.viewing.server, now)

    @async_test
    async def test_a_drain_received_between_selection_and_sending_is_obeyed(self):
        async with Testbed(2).running() as testbed:
            node, picked = testbed.node, []
            send = node.server_pool.tune_in

            def drained_first(tune_in):
                picked.append(tune_in.server)
                send(tune_in)
                if len(picked) == 1:
                    tune_in.server.open = False

            node.server_pool.tune_in = drained_first
            viewer = await testbed.viewer()
            self.assertEqual((await viewer.request(A, package=CLIP)).status, 200)
            self.assertEqual(
                [len(media.received_of(isup.SET_UP)) for media in testbed.media_servers if media.name == picked[0].name], [0]
            )


class ServerListUpdates(unittest.TestCase):
    @async_test
    async def test_duplicate_events_are_dropped_and_a_new_connection_requests_from_the_last_number(self):
        async with Testbed(2).running() as testbed:
            discovery, media = testbed.discovery, testbed.media_servers[0]
            await until(lambda: discovery.connections)
            media.state = 1
            await discovery.send_event(2, media)
            await until(lambda: not testbed.node.fleet.servers[media.name].open)
            media.state = 0
            await discovery.send_event(2, media)
            await discovery.connections[0].send(b"\0\0\0\x0ahalf")
            await discovery.connections[0].aclose()
            await until(lambda: len(discovery.requests) == 2 and discovery.connections)
            self.assertEqual((discovery.requests, testbed.node.fleet.servers[media.name].open), ([1, 2], False))
            await discovery.send_event(4, media)
            await until(lambda: len(discovery.requests) == 3)
            self.assertEqual(discovery.requests[2], 2)

    @async_test
    async def test_a_discovery_service_that_always_answers_late_is_received_in_the_end(self):
        async with Testbed(2).running() as testbed:
            media = testbed.media_servers[0]
            media.state = 1

            async def answers_late(connection):
                await anyio.sleep(2.0)
                if connection in testbed.discovery.connections:
                    await testbed.discovery.send_event(2, media)

            seen = []
            with anyio.fail_after(6):
                while testbed.node.fleet.servers[media.name].open:
                    for connection in [connection for connection in testbed.discovery.connections if connection not in seen]:
                        seen.append(connection)
                        testbed.tasks.start_soon(answers_late, connection)
                    await anyio.sleep(0.01)

    @async_test
    async def test_a_silent_discovery_connection_is_replaced(self):
        async with Testbed().running() as testbed:
            await until(lambda: len(testbed.discovery.requests) == 2, 4)

    @async_test
    async def test_sighup_switches_to_the_new_discovery_address_and_an_invalid_file_changes_nothing(self):
        async with Testbed().running() as testbed:
            viewer, other = await testbed.viewer(), DiscoveryServer()
            await viewer.request(A)
            testbed.path.write_text("{")
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: testbed.node.log.error.called)
            self.assertTrue(testbed.node.ready)
            testbed.node.log.error.reset_mock()
            await other.open(testbed.tasks)
            testbed.discovery.port = other.port
            testbed.path.write_text(json.dumps(testbed.config_document()))
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: other.requests == [1])
            self.assertEqual((await viewer.request(B)).status, 200)
            self.assertEqual(len(testbed.node.session_core.front_sessions), 2)


class StartAndShutdown(unittest.TestCase):
    @async_test
    async def test_sigterm_answers_accepted_requests_refuses_new_ones_and_exits_once_no_session_is_left(self):
        async with Testbed().running() as testbed:
            viewer, media = await testbed.viewer(), testbed.media_servers[0]
            await viewer.request(A)
            media.handler = media.ignore
            await viewer.send_set_up(B)
            await until(lambda: len(media.received_of(isup.SET_UP)) == 2)
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda: testbed.node.draining)
            late = await (await testbed.viewer()).request(C)
            self.assertEqual((late.status, int(late.fields["x-pause"]) > 0), (503, True))
            await media.connections[0].send(ANSWER.replace(b"IDIDIDID", media.received_of(isup.SET_UP)[1][0]))
            await media.connections[-1].send(ANSWER.replace(b"IDIDIDID", media.received_of(isup.SET_UP)[1][0]))
            self.assertEqual((await viewer.receive()).status, 200)
            await media.connections[0].send(isup.release(bytes.fromhex(A), 16) + isup.release(bytes.fromhex(B), 16))
            self.assertEqual({(await viewer.receive()).method for _ in range(2)}, {"TEARDOWN"})
            await until(lambda: testbed.node.tasks.cancel_scope.cancel_called)

    def test_without_a_configuration_it_exits_2_with_one_line(self):
        for path in ("", "/nowhere/config.json"):
            for start in (("curlewshift.node",), ("curlewshift", "node")):
                ran = subprocess.run(
                    [sys.executable, "-m", *start],
                    env={**os.environ, "NODE_CONFIG": path},
                    capture_output=True,
                    text=True,
                    timeout=30,
                )
                self.assertEqual((ran.returncode, ran.stderr.count("\n"), ran.stdout), (2, 1, ""))


class InvalidSettings(unittest.TestCase):
    def refused(self, change):
        testbed = Testbed()
        for media in testbed.media_servers:
            media.port = 1
        testbed.discovery.port = testbed.port = 1
        document = testbed.config_document()
        change(document, document["settings"])
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(document))
            with self.assertRaises(configuration.InvalidConfiguration) as caught:
                configuration.read(path)
        self.assertNotIn("\n", str(caught.exception))
        return str(caught.exception)

    def test_an_invalid_value_is_refused_in_one_line_that_names_the_field(self):
        for field, change in {
            "limits.sockets": lambda document, settings: document["limits"].update(sockets=0),
            "my_number": lambda document, settings: settings.update(my_number=1),
            "balancers": lambda document, settings: settings.update(balancers=-1),
            "classes[1].give_up_ms": lambda document, settings: settings["classes"][1].update(give_up_ms=-5),
            "classes[0].name": lambda document, settings: settings["classes"][0].update(name=""),
            "classes[0].gain": lambda document, settings: settings["classes"][0].update(gain="much"),
            "classes": lambda document, settings: settings["classes"].append(settings["classes"][0]),
            "bounds.max_attempts": lambda document, settings: settings["bounds"].update(max_attempts=1.5),
            "bounds.connect_timeout_ms": lambda document, settings: settings["bounds"].update(connect_timeout_ms=True),
            "bounds": lambda document, settings: settings.update(bounds=7),
            "extra.rung_kb": lambda document, settings: settings["extra"].update(rung_kb=[200, 100]),
            "extra.rung_kb[1]": lambda document, settings: settings["extra"].update(rung_kb=[100, float("nan")]),
            "extra.floor_by_class[0]": lambda document, settings: settings["extra"].update(floor_by_class=[2]),
            "extra.floor_by_class[1]": lambda document, settings: settings["extra"].update(
                floor_by_class=[0, 1], top_by_class=[1, 0]
            ),
            "extra.cells": lambda document, settings: settings["extra"].update(cells=-4),
            "obligations.fall_ms": lambda document, settings: settings.update(obligations=dict(fall_ms=-1)),
        }.items():
            self.assertIn(f"'{field}'", self.refused(change), field)

    @async_test
    async def test_a_configuration_with_little_more_than_classes_is_accepted(self):
        testbed = Testbed()
        config_document = testbed.config_document
        testbed.config_document = lambda: {
            **config_document(),
            "settings": {
                **{key: config_document()["settings"][key] for key in ("areas", "flavors")},
                "classes": [{"name": "lesson"}],
                "extra": {"cells": 4},
            },
        }
        async with testbed.running():
            viewer = await testbed.viewer()
            await viewer.stream.send(set_up(A).replace(b"top:1", b"top:0"))
            self.assertEqual((await viewer.receive()).status, 200)


class FleetFailures(unittest.TestCase):
    @async_test
    async def test_all_servers_replaced_at_once_by_new_ones_at_exchanged_addresses(self):
        async with Testbed(4).running() as testbed:
            viewer, old_servers = await testbed.viewer(), testbed.media_servers
            await viewer.request(A)
            for old in old_servers:
                old.handler = old.ignore
            await viewer.send_set_up(B, package=CLIP)
            await until(lambda: sum(len(old.received_of(isup.SET_UP)) for old in old_servers) == 2)
            new_servers = [MediaServer(f"s-000000f{number}", number) for number in range(4)]
            for number, old in enumerate(old_servers):
                old.state, old.handler = 2, old.accept
                new_servers[number].port, new_servers[number].started = (
                    old_servers[number - 1].port,
                    int(testbed.node.now() / 1e6) - 60_000,
                )
            await until(lambda: testbed.discovery.connections)
            await testbed.discovery.send_event(2, *old_servers, *new_servers)
            # the established session is released, the attempt that may have run has failed; each is reported once
            messages = {message.fields["session"]: message for message in (await viewer.receive(), await viewer.receive())}
            self.assertEqual((messages[A].method, messages[B].status), ("TEARDOWN", 500))
            self.assertEqual((await viewer.request(C)).status, 200)
            self.assertIn(testbed.node.listener.sessions[C].front_session.viewing.server.name, [new.name for new in new_servers])
            self.assertEqual((len(testbed.node.session_core.front_sessions), viewer.buffered), (1, []))

    @async_test
    async def test_a_zone_partitioned_and_restarted_cold_loses_no_answer_repeats_no_paid_set_up_and_is_not_overloaded(self):
        testbed, arrivals = Testbed(3), {}
        testbed.obligations = dict(warm_within_ms=4000, start_capacity=0.1, fall_multiple=2.0, fall_ms=1000)
        async with testbed.running():
            viewer, zone, other = await testbed.viewer(), testbed.media_servers[:2], testbed.media_servers[2]
            for media in zone:
                media.handler = media.ignore
            paid, free = [f"{number:016x}" for number in range(1, 9)], [f"{number:016x}" for number in range(11, 15)]
            for id in paid:
                await viewer.send_set_up(id, package=CLIP, timeout_ms=600)
            for id in free:
                await viewer.send_set_up(id, timeout_ms=2000)
            answers = [await viewer.receive() for _ in (*paid, *free)]
            statuses = {message.fields["session"]: message.status for message in answers}
            self.assertEqual(set(statuses), {*paid, *free})
            self.assertNotIn(500, {statuses[id] for id in free})
            cut = [id for media in zone for id, _ in media.received_of(isup.SET_UP)]
            sent = cut + [id for id, _ in other.received_of(isup.SET_UP)]
            for id in paid:
                # refused only if no server received it; failed if it may have run in the zone, and never repeated
                self.assertLessEqual(sent.count(bytes.fromhex(id)), 1, id)
                self.assertEqual(statuses[id], 453 if bytes.fromhex(id) not in sent else 500 if bytes.fromhex(id) in cut else 200)
            self.assertIn(500, statuses.values())
            await until(lambda: testbed.discovery.connections)
            for media in zone:
                media.state = 2
            await testbed.discovery.send_event(2, *zone)
            # the servers are back at their addresses, and have just started
            for media in zone:
                for connection in list(media.connections):
                    await connection.aclose()
                media.state, media.started = 0, int(testbed.node.now() / 1e6)

                async def count_arrival(connection, kind, id, parameters, media=media):
                    if kind == isup.SET_UP:
                        arrivals.setdefault(media.name, []).append(anyio.current_time())
                    await media.accept(connection, kind, id, parameters)

                media.handler = count_arrival
            await testbed.discovery.send_event(3, *zone)
            servers = testbed.node.fleet.servers
            await until(lambda: all(servers[media.name].cold_until for media in zone))
            # in its first window a front sends less, as an earlier run of the process may have sent set-ups too
            await until(lambda: testbed.node.now() > testbed.node.session_core.rules.started_at + SECOND)
            ids = [f"{number:016x}" for number in range(100, 140)]
            for id in ids:
                await viewer.send_set_up(id, timeout_ms=2000)
            answers = [await viewer.receive() for _ in ids]
            self.assertEqual({message.fields["session"] for message in answers}, set(ids))
            self.assertGreater(sum(message.status == 200 for message in answers), 3)
            self.assertTrue(arrivals)
            for times in arrivals.values():
                # a cold server with 100 seats can take five set-ups in a second at the start, with one front
                self.assertLessEqual(max(sum(at <= time < at + 1 for time in times) for at in times), 5)
            self.assertEqual(viewer.buffered, [])

    @async_test
    async def test_without_a_free_descriptor_a_request_is_refused_with_a_pause_and_no_server_is_blamed(self):
        async with Testbed(2).running() as testbed:
            viewer, none_left = await testbed.viewer(), OSError(errno.EMFILE, "no descriptor left")
            with mock.patch("curlewshift.node.server_pool.dial", side_effect=none_left):
                answer = await viewer.request(A, package=CLIP)
            self.assertEqual((answer.status, int(answer.fields["x-pause"]) > 0), (453, True))
            self.assertEqual([server.fault_score for server in testbed.node.fleet.servers.values()], [0.0, 0.0])
            self.assertEqual((await viewer.request(B, package=CLIP)).status, 200)

    @async_test
    async def test_a_paid_set_up_cancelled_and_repeated_at_once_is_sent_once_per_id_and_answered_once(self):
        async with Testbed().running() as testbed:
            viewer, media = await testbed.viewer(), testbed.media_servers[0]
            media.handler = media.ignore
            await viewer.send_set_up(A, package=CLIP)
            await until(lambda: media.received_of(isup.SET_UP))
            media.handler = media.accept
            await viewer.tear_down(A)
            await viewer.send_set_up(B, package=CLIP, legs=";again:1")
            messages = [await viewer.receive(), await viewer.receive()]
            self.assertEqual({(message.fields["session"], message.status) for message in messages}, {(A, 200), (B, 200)})
            self.assertEqual([id.hex() for id, _ in media.received_of(isup.SET_UP)], [A, B])
            await until(lambda: [id.hex() for id, _ in media.received_of(isup.RELEASE)] == [A])
            self.assertEqual((len(testbed.node.session_core.front_sessions), viewer.buffered), (1, []))

    @async_test
    async def test_a_missing_file_at_sighup_keeps_the_configuration_and_logs_one_line(self):
        async with Testbed().running() as testbed:
            testbed.path.unlink()
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: testbed.node.log.error.called)
            self.assertEqual([call.args for call in testbed.node.log.error.call_args_list], [("configuration",)])
            self.assertIn("No such file", testbed.node.log.error.call_args.kwargs["cause"])
            self.assertEqual((await (await testbed.viewer()).request(A)).status, 200)


class IdleConnections(unittest.TestCase):
    async def unused(self, testbed, viewer, id):
        """Plays and ends one session, and returns its idle connection to the media server."""
        await viewer.request(id)
        await viewer.tear_down(id)
        connection = next(iter(testbed.node.server_pool.endpoints.values())).connections[0]
        await until(
            lambda: (
                not testbed.node.session_core.front_sessions and not testbed.node.server_pool.teardowns.unconfirmed_on(connection)
            )
        )
        return connection

    @async_test
    async def test_an_idle_connection_is_kept_unless_the_connection_limit_is_reached(self):
        async with Testbed().running() as testbed:
            viewer, server_pool = await testbed.viewer(), testbed.node.server_pool
            connection = await self.unused(testbed, viewer, A)
            server_pool._maintain(connection, connection.last_used_at + 10 * SECOND)
            self.assertFalse(connection.closed)
            self.assertIs(await self.unused(testbed, viewer, B), connection)
            server_pool.max_connections = 1
            server_pool._maintain(connection, connection.last_used_at + 10 * SECOND)
            self.assertNotIn(connection, connection.endpoint.connections)
            await until(lambda: connection.closed, 1.0)

    @async_test
    async def test_an_idle_connection_is_closed_before_its_server_would_close_it_under_a_set_up(self):
        async with Testbed().running() as testbed:
            connection = await self.unused(testbed, await testbed.viewer(), A)
            testbed.node.server_pool._maintain(connection, connection.last_used_at + 25 * SECOND)
            self.assertNotIn(connection, connection.endpoint.connections)
            await until(lambda: connection.closed, 1.0)


class FaultyClients(unittest.TestCase):
    @async_test
    async def test_idle_connections_are_dropped_to_accept_new_ones(self):
        async with Testbed(sockets=120).running() as testbed:
            viewers, max_connections = [], testbed.node.listener.gate.max_connections
            with anyio.fail_after(8):
                for _ in range(4 * max_connections):
                    viewers.append(await testbed.viewer())
                    await viewers[-1].stream.send(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
                    self.assertEqual((await viewers[-1].receive(1.0)).status, 200)
            self.assertLessEqual(len(testbed.node.listener.connections), max_connections)
            self.assertEqual((await (await testbed.viewer()).request(A)).status, 200)

    @async_test
    async def test_each_faulty_client_gets_an_error_or_is_closed_in_time_and_an_open_request_is_not_affected(self):
        async with Testbed().running() as testbed:
            media = testbed.media_servers[0]
            media.handler = media.ignore
            other_viewer = await testbed.viewer()
            await other_viewer.send_set_up(A, package=CLIP)
            await until(lambda: media.received_of(isup.SET_UP))
            request = "SETUP rtsp://media/00000000000000aa RTSP/1.0\r\nCSeq: 1\r\n%sContent-Length: 1\r\n\r\nx"
            valid_fields = "Session: %s\r\nX-Cos: lesson\r\nX-Timer-Ms: 900\r\nX-Legs: home:0;copies:1;top:1;viewer:%s\r\n"

            async def assert_rejected(invalid):
                viewer = await testbed.viewer()
                await viewer.stream.send(invalid)
                answer = await viewer.receive(2.5)
                self.assertTrue(
                    answer is None or (400 <= answer.status < 500 and answer.status not in REFUSED), (invalid[:250], answer)
                )

            for invalid in (
                b"\x91\xf5noise",
                b"SETUP rtsp://media/a RTSP/1.0\r\nX: " + b"y" * 40_000,
                *(
                    (request % fields).encode()
                    for fields in (
                        "",
                        valid_fields % (A, "0" * 16),
                        valid_fields % (B, "0" * 15),
                        "Session: x\r\n",
                        f"Session: {B}\r\n" + valid_fields % (C, "0" * 16),
                        valid_fields.replace("900", "-5") % (B, "0" * 16),
                        valid_fields.replace("lesson", "lesson_x") % (B, "0" * 16),
                        valid_fields.replace("home:0", "home:9999") % (B, "0" * 16),
                    )
                ),
            ):
                await assert_rejected(invalid)
            self.assertEqual(len(media.received_of(isup.SET_UP)), 1)
            await media.connections[0].send(ANSWER.replace(b"IDIDIDID", bytes.fromhex(A)))
            self.assertEqual((await other_viewer.receive()).body, b"late")
            for half in (b"", b"SETUP rtsp://media/"):
                await assert_rejected(half)

    @async_test
    async def test_a_flood_of_requests_and_cancels_on_one_connection_leaves_no_state_behind(self):
        async with Testbed().running() as testbed:
            media = testbed.media_servers[0]
            media.handler = media.ignore
            viewer = await testbed.viewer()
            for number in range(300):
                await viewer.send_set_up(f"{number:016x}", package=CLIP)
            for number in range(300):
                await viewer.tear_down(f"{number:016x}")
            await until(lambda: not testbed.node.session_core.waiting and not testbed.node.listener.sessions)
            self.assertFalse(testbed.node.server_pool.attempts or testbed.node.session_core.front_sessions)
            self.assertEqual(testbed.node.fleet.servers[media.name].link.own, 0)


if __name__ == "__main__":
    unittest.main()
