"""One front against stand-in servers in the same process: requests, server list, notes, shutdown and client connections."""

import json
import os
import signal
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import anyio

from curlewshift.exchange import server as exchange_server
from curlewshift.exchange.client import ConnectionBroken, RequestNotSent, connect
from curlewshift.signalling.bodies import LayerChoice, encode
from tests.sockets import SmallSite, an_offer, async_test, until


class ViewingThroughAFront(unittest.TestCase):
    """Requests for viewings at a running front, on loopback sockets."""

    @async_test
    async def test_viewing_from_offer_to_end(self):
        async with SmallSite().up() as site:
            response = await site.ask()
            self.assertEqual((response.status, response.headers["content-type"]), (201, "application/sdp"))
            self.assertIn(b"a=candidate", response.body)
            session = site.traffic.all("session")[0]
            self.assertEqual(session["rung"], 2)
            connection = await site.call()
            rung = await connection.ask("POST", response.headers["location"] + "/layer", [], encode(LayerChoice("1")))
            self.assertEqual(rung.status, 204)
            await until(lambda: site.traffic.all("layer"))
            self.assertEqual(site.traffic.all("layer")[0]["rung"], 1)
            self.assertTrue(connection.prepare_next_request())
            floor = await connection.ask("POST", response.headers["location"] + "/layer", [], encode(LayerChoice("0")))
            self.assertEqual(floor.status, 422)
            self.assertTrue(connection.prepare_next_request())
            self.assertEqual((await connection.ask("DELETE", response.headers["location"])).status, 200)
            await until(lambda: site.traffic.all("session-end"))
            self.assertTrue(connection.prepare_next_request())
            self.assertEqual((await connection.ask("DELETE", response.headers["location"])).status, 404)
            self.assertFalse(site.front.session_core.front_sessions)
            await connection.close()

    @async_test
    async def test_invalid_requests_are_explained_and_cause_no_tune_in(self):
        async with SmallSite().up() as site:
            for status, text, options in (
                (404, "no package 'nope'", dict(pack="nope")),
                (404, "no title 'nope'", dict(title="nope")),
                (400, "line 1: expected 'v=0'", dict(offer=b"v=1\n")),
                (400, "UTF-8", dict(offer=b"v=0\xff")),
                (400, "top has to be the number", dict(query="?top=x")),
                (422, "under rung 1", dict(query="?top=0")),
                (400, "Idempotency-Key", dict(headers=[("idempotency-key", "x" * 500)])),
            ):
                response = await site.ask(**options)
                body = json.loads(response.body)
                self.assertEqual((response.status, response.headers["content-type"]), (status, "application/problem+json"))
                self.assertEqual((body["status"], text in body["detail"]), (status, True), body)
            connection = await site.call()
            self.assertEqual((await connection.ask("POST", "/whep/clip/t", [("content-type", "text/html")], b"x")).status, 415)
            await connection.close()
            self.assertEqual(site.traffic.all("setup"), [])

    @async_test
    async def test_retry_joins_the_pending_request_without_a_second_tune_in(self):
        async with SmallSite(servers=1).up() as site:
            site.servers["s0"].freeze()
            offer, answers = an_offer(), []

            async def ask():
                answers.append(await site.ask("paid", [("idempotency-key", "k")], offer))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await until(lambda: site.traffic.all("setup"))
                tasks.start_soon(ask)
                await until(lambda: site.front.session_core.waiting == 2)
                site.servers["s0"].unfreeze()
            self.assertEqual([response.status for response in answers], [201, 201])
            self.assertEqual(answers[0].headers["location"], answers[1].headers["location"])
            self.assertEqual(len(site.traffic.all("setup")), 1)
            other = await site.ask("paid", [("idempotency-key", "k")])
            self.assertEqual(other.status, 422)

    @async_test
    async def test_viewer_that_disconnects_leaves_no_session(self):
        async with SmallSite(servers=1).up() as site:
            site.servers["s0"].freeze()
            with anyio.move_on_after(0.1):
                await site.ask()
            await until(lambda: site.front.session_core.waiting == 0)
            site.servers["s0"].unfreeze()
            await until(lambda: site.traffic.all("setup-over"))
            await until(lambda: not site.servers["s0"].sessions and not site.front.session_core.front_sessions)
            self.assertEqual(site.front.session_core.server_list.servers[site.servers["s0"].name].outstanding, 0)

    @async_test
    async def test_reset_after_the_request_was_written_fails_paid_viewings_only(self):
        async with SmallSite(servers=2).up() as site:
            for server in site.servers.values():
                server.loses_answers = "reset"
            self.assertEqual((await site.ask("paid")).status, 502)
            self.assertEqual(len(site.traffic.all("setup")), 1)
            site.servers["s1"].loses_answers = ""
            site.servers["s0"].loses_answers = "reset"
            statuses = [(await site.ask()).status for _ in range(4)]
            self.assertEqual(statuses, [201] * 4)

    @async_test
    async def test_refused_connection_moves_a_paid_viewing_to_another_server(self):
        async with SmallSite(servers=2).up() as site:
            with (
                mock.patch("curlewshift.session_core.session_core.SessionCore.notes_broke"),
                mock.patch("curlewshift.session_core.session_core.SessionCore.server_lost"),
            ):
                site.servers["s0"].die()
                await until(lambda: site.traffic.all("dead"))
                statuses = [(await site.ask("paid")).status for _ in range(6)]
            self.assertEqual(statuses, [201] * 6)

    @async_test
    async def test_server_that_never_answers_delays_viewings_but_fails_none(self):
        async with SmallSite(servers=2).up() as site:
            site.servers["s0"].freeze()
            started_at = time.monotonic()
            statuses = [(await site.ask()).status for _ in range(4)]
            self.assertEqual(statuses, [201] * 4)
            self.assertLess(time.monotonic() - started_at, 3)
            self.assertEqual({event["server"] for event in site.traffic.all("session")}, {site.servers["s1"].name})

    @async_test
    async def test_request_is_answered_within_its_patience_if_no_server_is_left(self):
        for pack, status in (("clip", 503), ("paid", 502)):
            async with SmallSite(servers=1).up() as site:
                site.servers["s0"].freeze()
                started_at = time.monotonic()
                response = await site.ask(pack)
                self.assertEqual(response.status, status)
                self.assertLess(time.monotonic() - started_at, 2.0)

    @async_test
    async def test_refusal_says_when_to_retry(self):
        async with SmallSite(servers=1).up() as site:
            site.servers["s0"].draining = True
            response = await site.ask()
            body = json.loads(response.body)
            self.assertEqual((response.status, response.headers["retry-after"]), (503, "1"))
            self.assertTrue(600 <= body["retryAfterMs"] <= 1000)


class ServerListAndNotes(unittest.TestCase):
    @async_test
    async def test_server_that_the_list_reports_as_draining_is_not_used(self):
        async with SmallSite(servers=2).up() as site:
            first = site.site.machines[0]
            site.list.schedule_change(site.row(first, "fading"))
            name = site.servers["s0"].name
            await until(lambda: not site.front.session_core.server_list.servers[name].open)
            for _ in range(5):
                self.assertEqual((await site.ask()).status, 201)
            self.assertEqual({event["server"] for event in site.traffic.all("session")}, {site.servers["s1"].name})

    @async_test
    async def test_unannounced_restart_is_detected_by_the_notes(self):
        async with SmallSite(servers=1).up() as site:
            self.assertEqual((await site.ask()).status, 201)
            site.servers["s0"].die()
            await until(lambda: site.traffic.all("dead"))
            await site.start_server(site.site.machines[0], cold=True)
            await until(lambda: len(site.traffic.all("notes-open")) == 2)
            await until(lambda: not site.front.session_core.front_sessions)
            server = site.front.session_core.server_list.servers[site.servers["s0"].name]
            self.assertGreater(server.cold_until, site.front.now())

    @async_test
    async def test_broken_list_stream_resumes_and_a_gap_requests_the_full_list(self):
        async with SmallSite(servers=2).up() as site:
            rows = list(site.list.rows.values())
            site.front.lists.stream.connection.break_connection()
            site.list._publish([rows[0]])
            await until(lambda: site.front.session_core.server_list.generation == 1)
            self.assertEqual(len(site.traffic.all("told-all")), 1)
            # two generations are lost: the next change does not follow the generation that the front has
            site.list.generation += 2
            site.list.changes.clear()
            site.list._publish([rows[1]])
            await until(lambda: site.front.session_core.server_list.generation == 4)
            await until(lambda: len(site.traffic.all("told-all")) == 2)

    @async_test
    async def test_stored_list_is_restored_after_a_restart_as_stale(self):
        with tempfile.TemporaryDirectory() as folder:
            async with SmallSite(servers=2).up(Path(folder)) as site:
                stored = Path(folder) / "list.json"
                await until(stored.exists)
                names = {server.name for server in site.servers.values()}
            restarted = SmallSite(servers=0)
            async with restarted.up(Path(folder), follow=False) as site:
                servers = site.front.session_core.server_list.servers
                self.assertLessEqual(names, set(servers))
                self.assertTrue(all(server.unproven_until for server in servers.values() if server.name in names))

    @async_test
    async def test_session_ended_by_its_server_ends_at_the_front(self):
        async with SmallSite(servers=1).up() as site:
            await site.ask()
            server = site.servers["s0"]
            server._end(next(iter(server.sessions.values())), "ended by the test")
            await until(lambda: not site.front.session_core.front_sessions)


class Shutdown(unittest.TestCase):
    @async_test
    async def test_sigterm_answers_pending_requests_and_refuses_new_ones(self):
        async with SmallSite(servers=1).up() as site:
            site.servers["s0"].freeze()
            answers = []

            async def ask():
                answers.append((await site.ask()).status)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await until(lambda: site.traffic.all("setup"))
                os.kill(os.getpid(), signal.SIGTERM)
                await until(lambda: site.front.session_core.draining)
                late = await site.ask()
                site.servers["s0"].unfreeze()
            self.assertEqual((late.status, answers), (503, [201]))
            await until(lambda: site.traffic.all("session-end"))
            with self.assertRaises(RequestNotSent):
                for _ in range(200):
                    await (await site.call()).close()
                    await anyio.sleep(0.01)


class ClientConnections(unittest.TestCase):
    """Slow, malformed and broken connections from clients, and to servers."""

    HEAD = (
        b"POST /whep/clip/t HTTP/1.1\r\nhost: x\r\ncontent-type: application/sdp\r\n"
        b"content-length: %d\r\nconnection: close\r\n\r\n"
    )

    @async_test
    async def test_request_sent_byte_by_byte_is_served_and_incomplete_ones_time_out(self):
        async with SmallSite(servers=1).up() as site:
            offer = an_offer()
            stream = await anyio.connect_tcp("127.0.0.1", site.port)
            for byte in self.HEAD % len(offer) + offer:
                await stream.send(bytes([byte]))
            self.assertTrue((await stream.receive()).startswith(b"HTTP/1.1 201 "))
            await stream.aclose()
            with mock.patch.object(exchange_server, "HEAD_TIMEOUT_S", 0.2):
                timed_out = await site.raw(b"POST /whep/clip/t HTTP/1.1\r\nho")
            self.assertTrue(timed_out.startswith(b"HTTP/1.1 408 "), timed_out)
            with mock.patch.object(exchange_server, "BODY_TIMEOUT_S", 0.2):
                timed_out = await site.raw(self.HEAD % 500 + b"v=0")
            self.assertTrue(timed_out.startswith(b"HTTP/1.1 408 "), timed_out)
            self.assertEqual((await site.ask()).status, 201)

    @async_test
    async def test_oversized_and_malformed_requests_get_an_error_status(self):
        async with SmallSite(servers=1).up() as site:
            for status, data in (
                (413, self.HEAD % 10_000_000 + b"x" * 200_000),
                (431, b"GET / HTTP/1.1\r\nx: " + b"y" * 40_000),
                (400, b"hello\r\n\r\n"),
                (400, b"GET / HTTP/1.1\r\n\r\n"),
                (400, b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: many\r\n\r\n"),
            ):
                received = await site.raw(data)
                self.assertTrue(received.startswith(b"HTTP/1.1 %d " % status), received[:300])
                self.assertIn(b"application/problem+json", received)
            self.assertEqual((await site.ask()).status, 201)
            self.assertEqual(len(site.traffic.all("setup")), 1)

    @async_test
    async def test_pipelined_requests_are_answered_in_order(self):
        async with SmallSite(servers=1).up() as site:
            request = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
            last = b"OPTIONS /whep/clip/t HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
            received = await site.raw(request * 20 + last)
            self.assertEqual((received.count(b"HTTP/1.1 404 "), received.count(b"HTTP/1.1 204 ")), (20, 1))

    @async_test
    async def test_truncated_response_is_broken_and_a_closed_port_is_not_sent(self):
        async def send_truncated_response(stream):
            await stream.receive()
            await stream.send(b"HTTP/1.1 201 Created\r\ncontent-length: 50\r\n\r\nhalf")
            await stream.aclose()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, send_truncated_response)
            connection = await connect("127.0.0.1", port, 1.0)
            with self.assertRaises(ConnectionBroken):
                await connection.ask("GET", "/")
            self.assertTrue(connection.request_started)
            await connection.close()
            tasks.cancel_scope.cancel()
        await listener.aclose()
        with self.assertRaises(RequestNotSent):
            await connect("127.0.0.1", port, 1.0)


if __name__ == "__main__":
    unittest.main()
