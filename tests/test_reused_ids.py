"""What a media server sends on a session that it has cut is not taken for news of a later set-up with the same id."""

import contextlib
import socket
import unittest
from collections import defaultdict
from dataclasses import dataclass
from random import Random

import anyio

from curlewshift.node import isup
from curlewshift.soak.proxy import LINGER_ZERO
from tests.node_testbed import RawViewer, Testbed
from tests.proxied_testbed import ProxiedTestbed
from tests.sockets import async_test, until

REQUEST = "00000000000000a1"
# The required time within which nothing is left of a request that has ended (s).
END_DEADLINE_S = 8.0


@dataclass
class CutReport:
    """How a server says that a release has cut a session: where, when, and beside which "release heard"."""

    # on another connection than the one that brought the release, if one is open
    elsewhere: bool = False
    # again on each connection opened later
    repeated: bool = False
    delay_s: float = 0.0
    heard_before: bool = False
    heard_after: bool = False


class Overlaps:
    """The set-ups that are out at any of the servers, and the ids of which two were out together."""

    def __init__(self):
        self.out, self.twice = [], []

    def begin(self, id, server, stream):
        if any(other[0] == id for other in self.out):
            self.twice.append(id.hex())
        self.out.append(entry := (id, server, stream))
        return entry

    def end(self, condition):
        self.out = [entry for entry in self.out if not condition(entry)]


class CuttingServer:
    """A media server whose sessions outlive their connections: a release cuts them, which it reports with cause 41.

    Its first `lost_answers` answers are lost, and their connections reset.
    """

    def __init__(self, media, overlaps, report=None, lost_answers=0, work_s=0.04):
        self.media, self.overlaps, self.report = media, overlaps, report or CutReport()
        self.lost_answers, self.work_s = lost_answers, work_s
        self.standing, self.set_up_on, self.cuts, self.known = {}, defaultdict(list), [], set()
        media.handler = self.handle

    async def handle(self, stream, kind, id, parameters):
        await self.repeat_cuts(stream)
        if kind == isup.SET_UP:
            attempt = self.overlaps.begin(id, self, stream)
            self.media.task_group.start_soon(self.set_up, attempt, parameters)
        elif kind == isup.RELEASE:
            await self.release(stream, id)
        elif kind == isup.PROBE:
            await self.send(stream, isup.probed(id, True))

    async def repeat_cuts(self, stream):
        """Reports earlier cuts on a connection opened since, before anything that arrives there is answered."""
        if stream in self.known:
            return
        self.known.add(stream)
        if self.report.repeated:
            for id in self.cuts:
                await self.send(stream, isup.release(id, isup.RESET))

    async def set_up(self, attempt, parameters):
        id, _, stream = attempt
        await anyio.sleep(self.work_s)
        if attempt not in self.overlaps.out:
            return
        self.overlaps.end(lambda entry: entry is attempt)
        self.standing[id] = stream
        if self.lost_answers:
            self.lost_answers -= 1
            await self.reset(stream)
            return
        self.set_up_on[id].append(stream)
        await self.send(stream, isup.encode(isup.ANSWER, id, (isup.DESCRIPTION, b"plays " + parameters[isup.DESCRIPTION])))

    async def reset(self, stream):
        self.overlaps.end(lambda entry: entry[2] is stream)
        stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        await stream.aclose()

    async def release(self, stream, id):
        self.overlaps.end(lambda entry: entry[:2] == (id, self))
        stood = self.standing.pop(id, None) is not None
        if self.report.heard_before:
            await self.send(stream, isup.released(id))
        if stood:
            self.cuts.append(id)
            self.media.task_group.start_soon(self.report_cut, stream, id)
            # the report is written before anything behind the release is read, unless it is late
            await anyio.sleep(0.001)
        if self.report.heard_after:
            await self.send(stream, isup.released(id))

    async def report_cut(self, stream, id):
        if self.report.delay_s:
            await anyio.sleep(self.report.delay_s)
        others = [other for other in self.media.connections if other is not stream]
        await self.send(others[-1] if self.report.elsewhere and others else stream, isup.release(id, isup.RESET))

    async def send(self, stream, data):
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            await stream.send(data)


REPORTS = {
    "on the connection of the release": CutReport(),
    "before release heard": CutReport(heard_after=True),
    "after release heard": CutReport(heard_before=True),
    "on another connection": CutReport(elsewhere=True),
    "again on the next connection": CutReport(repeated=True),
    "late": CutReport(delay_s=0.03, heard_before=True),
    "later than an answer": CutReport(delay_s=0.06),
}


class SessionsWithLostAnswers(unittest.TestCase):
    async def play(self, servers, report):
        """Plays one request whose first answer at each server is lost. Returns the status, the ids of which two set-ups were out
        together, and the sessions that stand after the viewer has left."""
        async with ProxiedTestbed(servers).process() as testbed:
            overlaps = Overlaps()
            servers = [CuttingServer(media, overlaps, report, lost_answers=1) for media in testbed.media_servers]
            viewer = RawViewer(testbed.port)
            viewer.send_set_up(REQUEST)
            answer = await viewer.receive()
            if answer.status == 200:
                viewer.tear_down(REQUEST)
            with anyio.move_on_after(END_DEADLINE_S):
                await until(lambda: not overlaps.out and not any(server.standing for server in servers), END_DEADLINE_S + 1)
            viewer.close()
            return answer.status, overlaps.twice, sum(len(server.standing) for server in servers)

    @async_test
    async def test_the_report_of_a_cut_session_does_not_end_the_set_up_sent_after_its_release(self):
        # case 1 of the review: the next attempt was sent while this one ran, and what it set up was never released
        for servers in (1, 2):
            for report in (CutReport(), CutReport(heard_after=True)):
                with self.subTest(servers=servers, heard=report.heard_after):
                    self.assertEqual(await self.play(servers, report), (200, [], 0))

    @async_test
    async def test_no_two_attempts_are_out_and_nothing_remains_however_a_cut_is_reported(self):
        # a report may come late, on any connection and more than once
        for name, report in REPORTS.items():
            for servers in (1, 2):
                with self.subTest(report=name, servers=servers):
                    _, twice, standing = await self.play(servers, report)
                    self.assertEqual((twice, standing), ([], 0))


class ReportsOfEarlierSessions(unittest.TestCase):
    async def established(self, testbed):
        """A session whose id had another session at the same server, and two connections to that server."""
        server = CuttingServer(testbed.media_servers[0], Overlaps(), lost_answers=1)
        viewer = RawViewer(testbed.port)
        viewer.send_set_up(REQUEST)
        self.assertEqual((await viewer.receive()).status, 200)
        id = bytes.fromhex(REQUEST)
        pool = testbed.node.server_pool
        endpoint = next(iter(pool.endpoints.values()))
        self.assertEqual(len(server.media.received_of(isup.SET_UP)), 2)
        pool.open_connection(endpoint)
        await until(lambda: len(server.media.connections) == 2)
        other = next(stream for stream in server.media.connections if stream is not server.set_up_on[id][-1])
        return server, viewer, id, other

    async def received_nothing(self, viewer, for_s):
        with anyio.move_on_after(for_s):
            return await viewer.receive() is None
        return True

    @async_test
    async def test_a_repeated_report_on_another_connection_does_not_end_the_session_that_stands(self):
        # the earlier session's report, repeated on a later connection, ended the viewing, and its session stood for nobody
        async with Testbed().running() as testbed:
            server, viewer, id, other = await self.established(testbed)
            await other.send(isup.release(id, isup.RESET))
            self.assertTrue(await self.received_nothing(viewer, 1.0))
            self.assertIn(id, server.standing)
            viewer.close()

    @async_test
    async def test_a_release_of_unclear_origin_ends_the_session_on_both_sides_if_its_own_connection_is_silent(self):
        # otherwise a session that had ended would go on here, its viewer never told
        async with Testbed().running() as testbed:
            server, viewer, id, other = await self.established(testbed)
            server.media.handler = server.media.ignore
            await other.send(isup.release(id, isup.RESET))
            message = await viewer.receive(within=1.0)
            self.assertEqual((message.method, message.fields["session"]), ("TEARDOWN", REQUEST))
            await until(lambda: (id, {isup.CAUSE: bytes((isup.ENDED,))}) in server.media.received_of(isup.RELEASE)[1:], 1.0)
            viewer.close()

    @async_test
    async def test_a_release_on_the_sessions_own_connection_ends_it_on_both_sides(self):
        # the report may be late and concern the earlier session: then the later one would stand for nobody
        async with Testbed().running() as testbed:
            server, viewer, id, _ = await self.established(testbed)
            await server.set_up_on[id][-1].send(isup.release(id, isup.RESET))
            self.assertEqual((await viewer.receive(within=1.0)).method, "TEARDOWN")
            await until(lambda: not server.standing, 1.0)
            viewer.close()

    @async_test
    async def test_a_note_on_an_earlier_session_does_not_change_the_rung_of_the_session_that_stands(self):
        # only the connection of the set-up carries the notes of a session while it is open
        async with Testbed().running() as testbed:
            server, viewer, id, other = await self.established(testbed)
            front_session = next(iter(testbed.node.session_core.front_sessions.values()))
            before = front_session.viewing.rung
            note = isup.encode(isup.NOTE, id, (isup.KIND, b"tier"), (isup.VALUE, str(1 - before).encode()))
            await other.send(note)
            await anyio.sleep(0.05)
            self.assertEqual(front_session.viewing.rung, before)
            await server.set_up_on[id][-1].send(note)
            await until(lambda: front_session.viewing.rung == 1 - before, 1.0)
            viewer.close()


class LateAnswers(unittest.TestCase):
    @async_test
    async def test_a_session_answered_after_the_release_of_its_set_up_was_read_is_released_again(self):
        # its server began the set-up behind the release: with that release confirmed, the session stood for nobody
        async with Testbed().running() as testbed:
            media, viewer = testbed.media_servers[0], RawViewer(testbed.port)

            async def begins_late(stream, kind, id, parameters):
                if kind == isup.RELEASE and len(media.received_of(isup.RELEASE)) == 1:
                    await stream.send(isup.encode(isup.ANSWER, id, (isup.DESCRIPTION, b"plays")))
                elif kind == isup.PROBE:
                    await stream.send(isup.probed(id, True))

            media.handler = begins_late
            viewer.send_set_up(REQUEST)
            await until(lambda: media.received_of(isup.SET_UP))
            viewer.tear_down(REQUEST)
            await until(lambda: len(media.received_of(isup.RELEASE)) == 2, END_DEADLINE_S)
            viewer.close()

    @async_test
    async def test_an_answer_to_an_abandoned_set_up_does_not_end_the_attempt_after_it(self):
        # the release of the session that the late answer reported ended the attempt that was out under the same id
        async with Testbed().running() as testbed:
            media, viewer, streams = testbed.media_servers[0], RawViewer(testbed.port), []

            async def confirms(stream, kind, id, parameters):
                if kind == isup.SET_UP:
                    streams.append(stream)
                elif kind == isup.RELEASE:
                    await stream.send(isup.released(id))

            media.handler = confirms
            viewer.send_set_up(REQUEST)
            await until(lambda: len(streams) == 2)
            self.assertIsNot(*streams)
            releases = len(media.received_of(isup.RELEASE))
            answer = isup.encode(isup.ANSWER, bytes.fromhex(REQUEST), (isup.DESCRIPTION, b"plays"))
            await streams[0].send(answer)
            await anyio.sleep(0.1)
            self.assertEqual(len(media.received_of(isup.RELEASE)), releases)
            await streams[1].send(answer)
            self.assertEqual((await viewer.receive()).status, 200)
            viewer.close()


class SeededHistories(unittest.TestCase):
    async def play(self, seed):
        """Several requests whose answers are lost at random, at servers that report cuts in a way drawn by the seed."""
        rng, overlaps = Random(seed), Overlaps()
        async with Testbed(2).running() as testbed:
            report = CutReport(
                rng.random() < 0.5, rng.random() < 0.5, rng.choice((0.0, 0.005, 0.05)), rng.random() < 0.5, rng.random() < 0.5
            )
            servers = [
                CuttingServer(media, overlaps, report, rng.randrange(1, 6), rng.uniform(0.002, 0.05))
                for media in testbed.media_servers
            ]
            viewer = RawViewer(testbed.port)
            ids = [f"{number + 1:016x}" for number in range(6)]
            for id in ids:
                viewer.send_set_up(id)
                await anyio.sleep(rng.uniform(0, 0.05))
            answers = [await viewer.receive() for _ in ids]
            for answer in answers:
                if answer.status == 200:
                    viewer.tear_down(answer.fields["session"])
            with anyio.move_on_after(END_DEADLINE_S):
                await until(lambda: not overlaps.out and not any(server.standing for server in servers), END_DEADLINE_S + 1)
            viewer.close()
            return overlaps.twice, [id.hex() for server in servers for id in server.standing]

    @async_test
    async def test_random_losses_and_reports_leave_no_two_attempts_out_and_no_session_standing(self):
        for seed in range(8):
            with self.subTest(seed=seed):
                self.assertEqual(await self.play(seed), ([], []))


if __name__ == "__main__":
    unittest.main()
