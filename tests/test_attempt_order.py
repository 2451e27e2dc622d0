"""The order of attempts of one request, as media servers see it, where connections do not keep the order of one another."""

import contextlib
import unittest
from collections import Counter
from unittest import mock

import anyio

from curlewshift.front import server_pool
from curlewshift.node import buffered_connection, isup
from curlewshift.node.buffered_connection import BufferedConnection
from tests.node_place import Place, Plain
from tests.proxied import Proxied
from tests.sockets import SmallSite, story, until

REQUEST = "00000000000000a1"


class Attempts:
    """What one media server has out by request; a release ends the newest attempt of its id, on whichever connection it comes."""

    def __init__(self, media):
        self.out, self.most_out, self.set_ups, self.media = Counter(), 0, 0, media
        media.does = self.heard

    async def heard(self, connection, kind, id, parameters):
        if kind == isup.SET_UP:
            self.set_ups += 1
            self.out[id] += 1
            self.most_out = max(self.most_out, self.out[id])
        elif kind == isup.RELEASE and self.out[id]:
            self.out[id] -= 1
        elif kind == isup.PROBE:
            await connection.send(isup.encode(isup.PROBED, id, (isup.CAUSE, b"\1"), (isup.REPORT, b"x0:0.5")))


class AtOneServer(unittest.TestCase):
    async def most_out(self, delay_s):
        place = Proxied(1, [delay_s])
        attempts = Attempts(place.medias[0])
        async with place.process():
            viewer = Plain(place.port)
            viewer.ask(REQUEST)
            with anyio.move_on_after(2.5):
                await viewer.hear()
            await until(lambda: attempts.set_ups)
            viewer.close()
        return attempts.most_out

    @story
    async def test_no_second_attempt_is_out_where_the_release_of_the_first_is_late(self):
        for delay_s in (0.02, 0.15):
            with self.subTest(delay_s=delay_s):
                self.assertEqual(await self.most_out(delay_s), 1)

    async def set_ups(self, does, enough):
        """How many set-ups of one request a lone server gets that does this."""
        async with Place().up() as place:
            media, viewer = place.medias[0], Plain(place.port)
            media.does = does
            viewer.ask(REQUEST)
            with anyio.move_on_after(1.0):
                await until(lambda: len(media.had(isup.SET_UP)) >= enough)
            viewer.close()
            return len(media.had(isup.SET_UP))

    @story
    async def test_a_server_that_has_heard_the_release_is_tried_again(self):
        async def hears(connection, kind, id, parameters):
            if kind == isup.RELEASE:
                await connection.send(isup.released(id))

        self.assertGreaterEqual(await self.set_ups(hears, 2), 2)

    @story
    async def test_a_server_that_closes_the_connection_is_tried_again(self):
        async def closes(connection, kind, id, parameters):
            if kind == isup.SET_UP:
                await connection.aclose()

        self.assertGreaterEqual(await self.set_ups(closes, 2), 2)

    @story
    async def test_no_second_attempt_follows_a_close_of_our_own_that_the_server_may_not_have_seen(self):
        async def spoils(connection, kind, id, parameters):
            if kind == isup.SET_UP:
                await connection.send(b"\xff" * 64)

        self.assertEqual(await self.set_ups(spoils, 2), 1)

    @story
    async def test_an_id_that_comes_again_waits_until_the_release_of_its_session_is_heard(self):
        go = anyio.Event()
        async with Place().up() as place:
            media, viewer = place.medias[0], Plain(place.port)

            async def hears_late(connection, kind, id, parameters):
                if kind == isup.RELEASE:
                    await go.wait()
                await media.plays(connection, kind, id, parameters)

            media.does = hears_late
            viewer.ask(REQUEST)
            await viewer.hear()
            viewer.tear_down(REQUEST)
            await viewer.hear()
            viewer.ask(REQUEST, body=b"second")
            await anyio.sleep(0.1)
            before = len(media.had(isup.SET_UP))
            go.set()
            self.assertEqual(((await viewer.hear()).body, before), (b"plays second", 1))
            viewer.close()


class AtAnotherServer(unittest.TestCase):
    async def first_and_next(self, place, may_write):
        """The two servers in the order in which a request came to them, where the first attempt's connection takes bytes only
        while `may_write()`; when the second got it, after the first was given up (s)."""
        viewer, times = Plain(place.port), {}
        for media in place.medias:
            media.does = media.silent
        viewer.ask(REQUEST)
        await until(lambda: any(media.had(isup.SET_UP) for media in place.medias))
        first = next(media for media in place.medias if media.had(isup.SET_UP))
        second = next(media for media in place.medias if media is not first)
        held = next(iter(place.node.server_pool.attempts.values())).connection.wire
        push = BufferedConnection._push

        def pushed(wire):
            return push(wire) if wire is not held or may_write() else False

        async def writable(sock):
            if sock is held.socket and not may_write():
                await anyio.sleep(0.005)
            await ready(sock)

        ready = anyio.wait_writable
        with (
            mock.patch.object(BufferedConnection, "_push", pushed),
            mock.patch.object(buffered_connection.anyio, "wait_writable", writable),
        ):
            await until(lambda: held.waiting)
            times["given up"] = anyio.current_time()
            await until(lambda: second.had(isup.SET_UP))
            times["next"] = anyio.current_time()
        viewer.close()
        return first, second, times["next"] - times["given up"]

    @story
    async def test_no_further_attempt_leaves_before_the_kernel_has_the_release_of_the_one_before(self):
        may_write = []
        async with Place(2).up() as place:
            async with anyio.create_task_group() as tasks:

                async def later():
                    await until(lambda: any(one.number == 2 for one in place.node.server_pool.attempts))
                    await anyio.sleep(0.03)
                    self.assertEqual(sum(len(media.had(isup.SET_UP)) for media in place.medias), 1)
                    may_write.append(True)

                tasks.start_soon(later)
                first, _, _ = await self.first_and_next(place, lambda: may_write)
            self.assertEqual(len(first.had(isup.RELEASE)), 1)

    @story
    async def test_a_connection_that_does_not_take_a_release_is_reset_and_holds_no_further_attempt_up(self):
        async with Place(2).up() as place:
            first, _, after_s = await self.first_and_next(place, lambda: False)
            self.assertLess(after_s, 0.15)
            # nothing of the connection that was reset comes through: what there is was said again on another
            await until(lambda: first.had(isup.RELEASE) and len(first.connections) == 1, 0.5)
            self.assertEqual(len(first.had(isup.RELEASE)), 1)


class AtAFront(unittest.TestCase):
    @story
    async def test_no_second_request_goes_to_a_server_that_has_not_ended_the_first(self):
        site, asked = SmallSite(1), []

        async def takes_and_says_nothing(stream):
            async with stream:
                with contextlib.suppress(anyio.EndOfStream):
                    while b"POST " in await stream.receive():
                        asked.append(anyio.current_time())
                # it has read the end of the client's half, and keeps its own open
                await anyio.sleep(5)

        async with site.up():
            machine = site.site.machines[0]
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            site.tasks.start_soon(listener.serve, takes_and_says_nothing)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            with mock.patch.object(server_pool, "host_port", lambda name: ("127.0.0.1", port)):
                site.tasks.start_soon(site.ask)
                await until(lambda: asked)
                await anyio.sleep(1.2)
            self.assertEqual(len(asked), 1, machine)
            site.tasks.cancel_scope.cancel()


class NewRungs(unittest.TestCase):
    @story
    async def test_new_rungs_of_one_session_keep_their_order_whatever_other_connections_hear(self):
        async with Place().up() as place:
            viewer, server_pool = Plain(place.port), place.node.server_pool
            ids = [f"{number:016x}" for number in range(1, 4)]
            for id in ids:
                viewer.ask(id)
            for _ in ids:
                await viewer.hear()
            front_session = next(iter(place.node.session_core.front_sessions.values()))
            connections = next(iter(server_pool.endpoints.values())).connections
            self.assertGreater(len(connections), 1)
            used = set()
            for number in range(6):
                connections[number % len(connections)].heard_at = server_pool.now() + number
                before = {connection: connection.used_at for connection in connections}
                await anyio.sleep(0.002)
                server_pool.rung(front_session, number % 2)
                used |= {connection for connection in connections if connection.used_at != before[connection]}
            self.assertEqual(len(used), 1)
            viewer.close()


if __name__ == "__main__":
    unittest.main()
