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


class Course(unittest.TestCase):
    """A viewing through a running front, on loopback sockets."""

    @async_test
    async def test_a_viewing_from_its_offer_to_its_end(self):
        async with SmallSite().up() as site:
            answered = await site.ask()
            self.assertEqual((answered.status, answered.headers["content-type"]), (201, "application/sdp"))
            self.assertIn(b"a=candidate", answered.body)
            session = site.traffic.all("session")[0]
            self.assertEqual(session["rung"], 2)
            call = await site.call()
            rung = await call.ask("POST", answered.headers["location"] + "/layer", [], encode(LayerChoice("1")))
            self.assertEqual(rung.status, 204)
            await until(lambda: site.traffic.all("layer"))
            self.assertEqual(site.traffic.all("layer")[0]["rung"], 1)
            self.assertTrue(call.prepare_next_request())
            floor = await call.ask("POST", answered.headers["location"] + "/layer", [], encode(LayerChoice("0")))
            self.assertEqual(floor.status, 422)
            self.assertTrue(call.prepare_next_request())
            self.assertEqual((await call.ask("DELETE", answered.headers["location"])).status, 200)
            await until(lambda: site.traffic.all("session-end"))
            self.assertTrue(call.prepare_next_request())
            self.assertEqual((await call.ask("DELETE", answered.headers["location"])).status, 404)
            self.assertFalse(site.front.session_core.front_sessions)
            await call.close()

    @async_test
    async def test_what_is_wrong_with_a_request_is_said_and_costs_no_tune_in(self):
        async with SmallSite().up() as site:
            for status, words, how in (
                (404, "no package 'nope'", dict(pack="nope")),
                (404, "no title 'nope'", dict(title="nope")),
                (400, "line 1: expected 'v=0'", dict(offer=b"v=1\n")),
                (400, "UTF-8", dict(offer=b"v=0\xff")),
                (400, "top has to be the number", dict(query="?top=x")),
                (422, "under rung 1", dict(query="?top=0")),
                (400, "Idempotency-Key", dict(headers=[("idempotency-key", "x" * 500)])),
            ):
                answered = await site.ask(**how)
                body = json.loads(answered.body)
                self.assertEqual((answered.status, answered.headers["content-type"]), (status, "application/problem+json"))
                self.assertEqual((body["status"], words in body["detail"]), (status, True), body)
            call = await site.call()
            self.assertEqual((await call.ask("POST", "/whep/clip/t", [("content-type", "text/html")], b"x")).status, 415)
            await call.close()
            self.assertEqual(site.traffic.all("setup"), [])

    @async_test
    async def test_a_retry_on_a_slow_answer_joins_it_and_makes_no_second_tune_in(self):
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
            self.assertEqual([answered.status for answered in answers], [201, 201])
            self.assertEqual(answers[0].headers["location"], answers[1].headers["location"])
            self.assertEqual(len(site.traffic.all("setup")), 1)
            other = await site.ask("paid", [("idempotency-key", "k")])
            self.assertEqual(other.status, 422)

    @async_test
    async def test_a_viewer_that_hangs_up_leaves_nothing_behind(self):
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
    async def test_a_reset_after_the_request_was_written_fails_a_paid_viewing_and_moves_another(self):
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
    async def test_a_refused_connection_sends_a_paid_viewing_on(self):
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
    async def test_a_server_that_accepts_and_never_answers_costs_time_and_no_viewing(self):
        async with SmallSite(servers=2).up() as site:
            site.servers["s0"].freeze()
            began = time.monotonic()
            statuses = [(await site.ask()).status for _ in range(4)]
            self.assertEqual(statuses, [201] * 4)
            self.assertLess(time.monotonic() - began, 3)
            self.assertEqual({event["server"] for event in site.traffic.all("session")}, {site.servers["s1"].name})

    @async_test
    async def test_with_nobody_left_a_request_is_answered_before_patience_ends(self):
        for pack, status in (("clip", 503), ("paid", 502)):
            async with SmallSite(servers=1).up() as site:
                site.servers["s0"].freeze()
                began = time.monotonic()
                answered = await site.ask(pack)
                self.assertEqual(answered.status, status)
                self.assertLess(time.monotonic() - began, 2.0)

    @async_test
    async def test_a_refusal_says_when_to_come_back(self):
        async with SmallSite(servers=1).up() as site:
            site.servers["s0"].draining = True
            answered = await site.ask()
            body = json.loads(answered.body)
            self.assertEqual((answered.status, answered.headers["retry-after"]), (503, "1"))
            self.assertTrue(600 <= body["retryAfterMs"] <= 1000)


class News(unittest.TestCase):
    @async_test
    async def test_a_drain_told_by_the_list_is_kept_and_the_successor_used(self):
        async with SmallSite(servers=2).up() as site:
            first = site.site.machines[0]
            site.list.knows(site.row(first, "fading"))
            name = site.servers["s0"].name
            await until(lambda: not site.front.session_core.server_list.servers[name].open)
            for _ in range(5):
                self.assertEqual((await site.ask()).status, 201)
            self.assertEqual({event["server"] for event in site.traffic.all("session")}, {site.servers["s1"].name})

    @async_test
    async def test_a_server_that_restarts_unannounced_is_known_by_its_notes(self):
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
    async def test_a_list_that_breaks_off_is_resumed_and_one_with_a_gap_sent_whole(self):
        async with SmallSite(servers=2).up() as site:
            rows = list(site.list.rows.values())
            site.front.lists.stream.call.break_connection()
            site.list._publish([rows[0]])
            await until(lambda: site.front.session_core.server_list.generation == 1)
            self.assertEqual(len(site.traffic.all("told-all")), 1)
            # two generations that nobody kept: the next change does not follow on what is held
            site.list.generation += 2
            site.list.changes.clear()
            site.list._publish([rows[1]])
            await until(lambda: site.front.session_core.server_list.generation == 4)
            await until(lambda: len(site.traffic.all("told-all")) == 2)

    @async_test
    async def test_the_list_outlives_the_front_and_is_stale_then(self):
        with tempfile.TemporaryDirectory() as folder:
            async with SmallSite(servers=2).up(Path(folder)) as site:
                kept = Path(folder) / "list.json"
                await until(kept.exists)
                names = {server.name for server in site.servers.values()}
            again = SmallSite(servers=0)
            async with again.up(Path(folder), follow=False) as site:
                servers = site.front.session_core.server_list.servers
                self.assertLessEqual(names, set(servers))
                self.assertTrue(all(server.unproven_until for server in servers.values() if server.name in names))

    @async_test
    async def test_sessions_that_end_at_their_server_end_here_too(self):
        async with SmallSite(servers=1).up() as site:
            await site.ask()
            server = site.servers["s0"]
            server._end(next(iter(server.sessions.values())), "a story's end")
            await until(lambda: not site.front.session_core.front_sessions)


class Life(unittest.TestCase):
    @async_test
    async def test_told_to_end_it_answers_what_it_took_and_refuses_the_rest(self):
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


class Sockets(unittest.TestCase):
    """What peers do to connections."""

    HEAD = (
        b"POST /whep/clip/t HTTP/1.1\r\nhost: x\r\ncontent-type: application/sdp\r\n"
        b"content-length: %d\r\nconnection: close\r\n\r\n"
    )

    @async_test
    async def test_a_byte_at_a_time_is_served_and_a_head_that_never_ends_is_cut_off(self):
        async with SmallSite(servers=1).up() as site:
            offer = an_offer()
            stream = await anyio.connect_tcp("127.0.0.1", site.port)
            for byte in self.HEAD % len(offer) + offer:
                await stream.send(bytes([byte]))
            self.assertTrue((await stream.receive()).startswith(b"HTTP/1.1 201 "))
            await stream.aclose()
            with mock.patch.object(exchange_server, "HEAD_WITHIN", 0.2):
                slow = await site.raw(b"POST /whep/clip/t HTTP/1.1\r\nho")
            self.assertTrue(slow.startswith(b"HTTP/1.1 408 "), slow)
            with mock.patch.object(exchange_server, "BODY_WITHIN", 0.2):
                slow = await site.raw(self.HEAD % 500 + b"v=0")
            self.assertTrue(slow.startswith(b"HTTP/1.1 408 "), slow)
            self.assertEqual((await site.ask()).status, 201)

    @async_test
    async def test_too_much_and_malformed_are_said_to_be(self):
        async with SmallSite(servers=1).up() as site:
            for status, data in (
                (413, self.HEAD % 10_000_000 + b"x" * 200_000),
                (431, b"GET / HTTP/1.1\r\nx: " + b"y" * 40_000),
                (400, b"hello\r\n\r\n"),
                (400, b"GET / HTTP/1.1\r\n\r\n"),
                (400, b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: many\r\n\r\n"),
            ):
                got = await site.raw(data)
                self.assertTrue(got.startswith(b"HTTP/1.1 %d " % status), got[:300])
                self.assertIn(b"application/problem+json", got)
            self.assertEqual((await site.ask()).status, 201)
            self.assertEqual(len(site.traffic.all("setup")), 1)

    @async_test
    async def test_requests_sent_one_behind_the_other_are_answered_in_order(self):
        async with SmallSite(servers=1).up() as site:
            one = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
            last = b"OPTIONS /whep/clip/t HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
            got = await site.raw(one * 20 + last)
            self.assertEqual((got.count(b"HTTP/1.1 404 "), got.count(b"HTTP/1.1 204 ")), (20, 1))

    @async_test
    async def test_an_answer_cut_off_is_broken_and_a_closed_port_never_reached(self):
        async def cut(stream):
            await stream.receive()
            await stream.send(b"HTTP/1.1 201 Created\r\ncontent-length: 50\r\n\r\nhalf")
            await stream.aclose()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, cut)
            call = await connect("127.0.0.1", port, 1.0)
            with self.assertRaises(ConnectionBroken):
                await call.ask("GET", "/")
            self.assertTrue(call.request_started)
            await call.close()
            tasks.cancel_scope.cancel()
        await listener.aclose()
        with self.assertRaises(RequestNotSent):
            await connect("127.0.0.1", port, 1.0)


if __name__ == "__main__":
    unittest.main()
