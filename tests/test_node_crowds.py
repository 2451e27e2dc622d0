"""Crowds of connections, requests in pieces, a few dozen nodes at one cold server, and a node that nobody uses, on real sockets.
`docs/crossings.md` lists them."""

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
from tests.node_place import CLIP, Bulletin, Held, Place, Plain, set_up
from tests.sockets import story, until
from tests.test_crossings import quiet

A, B, C = "00000000000000a1", "00000000000000b2", "00000000000000c3"
TEST = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"


class Crowds(unittest.TestCase):
    """Connections that ask once and stay, more of them than there are places."""

    async def crowd(self, place, count):
        """Each has its answer, and rests."""
        held = []
        for _ in range(count):
            held.append(Plain(place.port))
            held[-1].say(TEST)
            self.assertEqual((await held[-1].hear()).status, 200)
        return held

    @story
    async def test_it_is_they_who_go_and_not_those_whose_viewings_stand_and_ends_are_told_at_once(self):
        async with Place(sockets=120).up() as place:
            media, viewers, most = place.medias[0], [Plain(place.port) for _ in range(3)], place.node.listener.gate.most
            for viewer, id in zip(viewers, (A, B, C)):
                viewer.ask(id)
                await viewer.hear()
            held = await self.crowd(place, 3 * most)
            self.assertGreater(place.node.listener.gate.dropped, most)
            for viewer, id in zip(viewers, (A, B, C)):
                await media.connections[0].send(isup.release(bytes.fromhex(id), isup.OVER))
                heard = await viewer.hear(0.5)
                self.assertEqual((heard.method, heard.fields["session"]), ("TEARDOWN", id))
            # nothing stands there any more: they are as others now
            self.assertEqual([connection.standing for connection in place.node.listener.connections if connection.standing], [])
            held += await self.crowd(place, 2 * most)
            for viewer in viewers:
                self.assertIsNone(await viewer.hear(0.5))
            for viewer in (*viewers, *held):
                viewer.close()

    @story
    async def test_where_viewings_stand_on_all_of_them_the_longest_idle_goes_and_who_comes_is_taken(self):
        async with Place(sockets=60).up() as place:
            media, most, held = place.medias[0], place.node.listener.gate.most, []
            with anyio.fail_after(8):
                for number in range(1, 2 * most):
                    held.append(Plain(place.port))
                    held[-1].ask(f"{number:016x}")
                    self.assertEqual((await held[-1].hear(2)).status, 200)
            self.assertIsNone(await held[0].hear())
            await media.connections[0].send(isup.release(bytes.fromhex(f"{1:016x}"), isup.OVER))
            heard = await held[-1].hear()
            self.assertEqual((heard.method, heard.fields["session"]), ("TEARDOWN", f"{1:016x}"))
            for viewer in held:
                viewer.close()

    @story
    async def test_an_end_is_not_told_on_a_connection_whose_viewer_has_closed_it_unread_but_on_another(self):
        held = Held()
        async with Place().up() as place:
            with held.all():
                media, own, other = place.medias[0], Plain(place.port), Plain(place.port)
                for viewer, id in ((own, A), (other, B)):
                    viewer.ask(id)
                    await viewer.hear()
                held.sockets.add(place.node.listener.asked[A].connection.wire.socket)
                own.close()
                await media.connections[0].send(isup.release(bytes.fromhex(A), isup.RESET))
                await until(lambda: place.node.listener.pending_releases)
                await quiet(lambda: len(other.got))
                held.go.set()
                heard = await other.hear(0.5)
            self.assertEqual((heard.method, heard.fields["session"]), ("TEARDOWN", A))
            await until(lambda: not place.node.listener.pending_releases)
            other.close()


class Pieces(unittest.TestCase):
    """A request that comes byte by byte, over the boundaries of reads."""

    async def byte_by_byte(self, place, viewer, data):
        """Each byte is read by itself before the next is said."""
        connection = list(place.node.listener.connections)[-1]
        for byte in data:
            viewer.say(bytes([byte]))
            with anyio.fail_after(3):
                while connection.wire.unread():
                    await anyio.sleep(0)

    @story
    async def test_three_requests_in_single_bytes_are_taken_with_their_last_and_carry_what_they_said(self):
        async with Place().up() as place:
            media, viewer = place.medias[0], Plain(place.port)
            await until(lambda: place.node.listener.connections)
            whole = set_up(A, package=CLIP, body=b"\r\n\r\nSETUP one")
            await self.byte_by_byte(place, viewer, whole[:-1])
            await quiet(lambda: len(media.had(isup.SET_UP)))
            # with its last byte the whole of the next comes, and all but the last of a third
            third = set_up(C)
            viewer.say(whole[-1:] + set_up(B) + third[:-1])
            heard = [await viewer.hear(), await viewer.hear()]
            viewer.say(third[-1:])
            heard.append(await viewer.hear())
            self.assertEqual(
                {(one.status, one.fields["session"], one.body) for one in heard},
                {(200, A, b"plays \r\n\r\nSETUP one"), (200, B, b"plays offer"), (200, C, b"plays offer")},
            )
            self.assertEqual(len(media.had(isup.SET_UP)), 3)
            viewer.close()

    async def begun(self, place, viewer, data):
        """The connection on which this much has come and been read."""
        viewer.say(data)
        await until(lambda: any(connection.intake.reader.partial for connection in place.node.listener.connections))
        return next(connection for connection in place.node.listener.connections if connection.intake.reader.partial)

    @story
    async def test_one_that_takes_two_seconds_to_come_is_served(self):
        async with Place().up() as place:
            viewer, data = Plain(place.port), set_up(A)
            connection = await self.begun(place, viewer, data[:100])
            # so long ago it has begun, and more of it has come just now
            connection.opened_at -= 2 * SECOND
            connection.intake.began_at -= 2 * SECOND
            viewer.say(data[100:-1])
            await anyio.sleep(0.25)
            viewer.say(data[-1:])
            self.assertEqual((await viewer.hear()).status, 200)
            viewer.close()

    @story
    async def test_one_that_stops_or_comes_for_ever_is_told_within_three_seconds_of_its_connection(self):
        async with Place().up() as place:
            for opened, began, fed in ((1.0, 1.0, 1.0), (2.5, 2.5, 0.0), (2.5, 1.0, 0.0)):
                viewer = Plain(place.port)
                connection = await self.begun(place, viewer, b"SETUP rtsp://media/a")
                connection.opened_at -= int(opened * SECOND)
                connection.intake.began_at -= int(began * SECOND)
                connection.intake.fed_at -= int(fed * SECOND)
                self.assertIsNone(await viewer.hear(0.4))
                viewer.close()
                await until(lambda: not place.node.listener.connections)

    @story
    async def test_the_gate_makes_no_room_by_closing_a_connection_on_which_a_request_is_coming_in_pieces(self):
        async with Place().up() as place:
            viewer, stops, data = Plain(place.port), Plain(place.port), set_up(A)
            await until(lambda: len(place.node.listener.connections) == 2)
            for connection in place.node.listener.connections:
                connection.rested_at -= 10
            connection = await self.begun(place, viewer, data[:100])
            place.node.listener.gate.make_room()
            # who says nothing goes, who is in the middle of saying something stays
            self.assertIsNone(await stops.hear())
            viewer.say(data[100:])
            self.assertEqual((await viewer.hear()).status, 200)
            viewer.tear_down(A)
            self.assertEqual((await viewer.hear()).status, 200)
            # and half a request of which nothing more comes rests like any other
            await self.begun(place, viewer, data[:100])
            connection.rested_at -= 10
            place.node.listener.gate.make_room()
            self.assertIsNone(await viewer.hear(0.5))
            for one in (viewer, stops):
                one.close()

    @story
    async def test_one_whose_last_byte_comes_as_the_node_ends_is_answered(self):
        async with Place().up() as place:
            viewer, data = Plain(place.port), set_up(A)
            await until(lambda: place.node.listener.connections)
            finish = place.node.listener.finish

            async def with_the_rest(*by):
                await self.begun(place, viewer, data[:100])
                place.tasks.start_soon(finish, *by)
                await anyio.sleep(0.2)
                viewer.say(data[100:])
                await until(lambda: not place.node.listener.connections)

            with (
                mock.patch.object(place.node.listener, "finish", with_the_rest),
                mock.patch("curlewshift.node.node.STILL_COME", 0.2),
            ):
                os.kill(os.getpid(), signal.SIGTERM)
                heard = await viewer.hear()
                self.assertEqual((heard.status, heard.fields["session"]), (503, A))
                await until(lambda: place.node.tasks.cancel_scope.cancel_called, 8)
            viewer.close()


class Dozens(unittest.TestCase):
    @contextlib.asynccontextmanager
    async def nodes(self, place, count):
        """So many nodes that share the place's servers, the first of which has just started with 200 places."""
        nodes = []
        for number in range(count):
            told, spare = place.told(), socket.create_server(("127.0.0.1", 0))
            port = spare.getsockname()[1]
            spare.close()
            told["settings"].update(balancers=count, my_number=number)
            told["settings"]["extra"]["kind_streams"] = [200]
            told["known"]["items"][0]["roster"]["servers"][0]["started_ms"] = time.time_ns() // 1_000_000
            told.update(name=f"n{number}", listen=f"127.0.0.1:{port}", seed=f"{number:02x}")
            place.path.write_text(json.dumps(told))
            nodes.append((Node(configuration.read(place.path), place.path, mock.Mock()), port))
            place.tasks.start_soon(nodes[-1][0].run)
        await until(lambda: all(node.ready for node, _ in nodes), 10)
        yield nodes
        faults = [call for node, _ in nodes for call in node.log.error.call_args_list]
        self.assertFalse(faults, faults)

    @story
    async def test_thirty_that_see_little_each_do_not_push_a_cold_server_over_together_and_answer_each_request_once(self):
        place, arrivals = Place(2), []
        place.obligations = dict(warm_within_ms=8000, start_capacity=0.1, fall_multiple=2.0, fall_ms=1000)
        async with place.around():
            cold = place.medias[0]

            async def noted(connection, kind, id, parameters):
                if kind == isup.SET_UP:
                    arrivals.append(anyio.current_time())
                await cold.plays(connection, kind, id, parameters)

            cold.does = noted
            async with self.nodes(place, 30) as nodes:
                viewers = [Plain(port) for _, port in nodes]
                ids = [[] for _ in range(30)]
                # turns at a cold server go by the clock, with a rest between two: until enough have been taken
                asked_until = anyio.current_time() + 10.0

                def few():
                    return not arrivals or sum(len(media.had(isup.SET_UP)) for media in place.medias) <= 5

                while len(ids[0]) < 12 or (few() and anyio.current_time() < asked_until):
                    for number, (viewer, own) in enumerate(zip(viewers, ids)):
                        own.append(f"{number:08x}{len(own):08x}")
                        viewer.ask(own[-1], patience=2000)
                    await anyio.sleep(0.1)
                statuses = []
                for viewer, own in zip(viewers, ids):
                    heard = [await viewer.hear() for _ in own]
                    self.assertEqual(sorted(one.fields["session"] for one in heard), own)
                    statuses += [one.status for one in heard]
                    self.assertEqual(viewer.got, [])
                self.assertLessEqual(set(statuses), {200, 453})
                self.assertGreater(statuses.count(200), 5)
                # a tenth of 200 places at the start and twice that is the fall: so many in a second, and chance beside
                self.assertTrue(arrivals)
                most = max(sum(at <= one < at + 1 for one in arrivals) for at in arrivals)
                self.assertLessEqual(most, 40 + 2 * 40**0.5 + 2)
                for viewer in viewers:
                    viewer.close()


class Unused(unittest.TestCase):
    """A process that has started, and that nobody uses."""

    @contextlib.asynccontextmanager
    async def started(self, place):
        process = await anyio.open_process(
            [sys.executable, "-m", "curlewshift.node"], env={**os.environ, "NODE_CONFIG": str(place.path)}, stderr=subprocess.PIPE
        )
        logged = []

        async def logs():
            with contextlib.suppress(anyio.ClosedResourceError):
                async for piece in process.stderr:
                    logged.append(piece)

        place.tasks.start_soon(logs)
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
    def used(process):
        """Processor time (s) and descriptors."""
        fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), len(os.listdir(f"/proc/{process.pid}/fd"))

    @story
    async def test_it_costs_little_connects_to_nobody_follows_a_reload_and_ends_at_once_when_told(self):
        async with Place(4).around() as place, self.started(place) as process:
            await until(lambda: place.bulletin.connections)
            before, opened = self.used(process)
            await anyio.sleep(1.0)
            after, open_then = self.used(process)
            self.assertLess(after - before, 0.1)
            self.assertLessEqual(open_then, opened)
            self.assertEqual([media.connections for media in place.medias], [[], [], [], []])
            other = Bulletin()
            await other.open(place.tasks)
            place.bulletin.port = other.port
            place.path.write_text(json.dumps(place.told()))
            process.send_signal(signal.SIGHUP)
            await until(lambda: other.asked == [1])
            began = anyio.current_time()
            process.send_signal(signal.SIGTERM)
            with anyio.fail_after(4):
                self.assertEqual(await process.wait(), 0)
            self.assertLess(anyio.current_time() - began, 2.5)

    @story
    async def test_with_no_list_and_no_server_up_it_passes_its_test_refuses_in_words_and_ends_with_nobody_left_unanswered(self):
        async with Place(2).around() as place:
            for one in (*place.medias, place.bulletin):
                await one.listener.aclose()
            async with self.started(place) as process:
                tester, viewer = Plain(place.port), Plain(place.port)
                tester.say(TEST)
                self.assertEqual((await tester.hear()).status, 200)
                viewer.ask(A, package=CLIP)
                self.assertEqual((await viewer.hear()).status, 453)
                process.send_signal(signal.SIGTERM)
                viewer.ask(B, package=CLIP)
                heard = await viewer.hear()
                self.assertEqual((heard.fields["session"], heard.status in (453, 503)), (B, True))
                self.assertIsNone(await viewer.hear())
                with anyio.fail_after(4):
                    self.assertEqual(await process.wait(), 0)
                tester.close()
                viewer.close()


if __name__ == "__main__":
    unittest.main()
