"""What a set-up has left at a media server is over there, or told to its client, whatever connections swallow: real processes."""

import signal
import socket
import unittest
from random import Random

import anyio

from curlewshift.node import isup
from curlewshift.soak.proxy import LINGER_ZERO
from tests.node_place import Plain
from tests.proxied import Proxied
from tests.sockets import story, until

FIRST, SECOND = "00000000000000a1", "00000000000000b2"
# The page's term for what has stood and is over (s).
OVER_WITHIN_S = 8.0


def swallow(link):
    """From now on this connection loses what it is given, both ways, and looks open."""
    link.outbound_lost = link.inbound_lost = True


class Owing:
    """A media server that says the end of a session on the connection of its set-up and on each connection opened later."""

    def __init__(self, media):
        self.media, self.stream_of, self.owed, self.told = media, {}, [], set()
        media.does = self.heard

    async def heard(self, stream, kind, id, parameters):
        if kind == isup.SET_UP:
            self.stream_of[id] = stream
        await self.media.plays(stream, kind, id, parameters)

    async def notes(self, stream, id):
        """A note on a session that stands, twice a second."""
        while True:
            await anyio.sleep(0.5)
            await stream.send(isup.encode(isup.NOTE, id, (isup.KIND, b"wire"), (isup.FIGURE, b"0.4")))

    async def ends(self, id):
        over, known = isup.release(id, isup.OVER), set(self.media.connections)
        await self.stream_of[id].send(over)
        while True:
            for stream in set(self.media.connections) - known:
                known.add(stream)
                await stream.send(over)
            await anyio.sleep(0.01)


class OverAConnectionThatSwallows(unittest.TestCase):
    @story
    async def test_a_release_that_an_open_connection_swallowed_is_said_again_in_time(self):
        async with Proxied(1).process() as place:
            media, viewer = place.medias[0], Plain(place.port)
            viewer.ask(FIRST)
            await viewer.hear()
            swallow(place.proxies[0].links[0])
            viewer.tear_down(FIRST)
            await until(lambda: media.had(isup.RELEASE), OVER_WITHIN_S)
            viewer.close()

    @story
    async def test_an_end_that_one_of_several_connections_swallowed_is_told_to_the_client_in_time(self):
        async with Proxied(1).process() as place:
            server, viewer = Owing(place.medias[0]), Plain(place.port)
            for id in (FIRST, SECOND):
                viewer.ask(id)
            for _ in (FIRST, SECOND):
                await viewer.hear()
            first, second = map(bytes.fromhex, (FIRST, SECOND))
            self.assertIsNot(server.stream_of[first], server.stream_of[second])
            swallow(place.link_of(server.stream_of[first]))
            place.tasks.start_soon(server.notes, server.stream_of[second], second)
            place.tasks.start_soon(server.ends, first)
            told = await viewer.hear(within=OVER_WITHIN_S)
            self.assertEqual((told.method, told.fields["session"]), ("TEARDOWN", FIRST))
            viewer.close()

    @story
    async def test_an_end_said_on_a_connection_that_was_closed_here_unseen_is_told_to_the_client_in_time(self):
        async with Proxied(1).process() as place:
            server, viewer = Owing(place.medias[0]), Plain(place.port)
            viewer.ask(FIRST)
            await viewer.hear()
            first = bytes.fromhex(FIRST)
            place.link_of(server.stream_of[first]).outbound_lost = True
            await server.stream_of[first].send(b"\xff" * 32)
            await until(lambda: len(place.medias[0].connections) == 2)
            await anyio.sleep(0.5)
            place.tasks.start_soon(server.ends, first)
            told = await viewer.hear(within=OVER_WITHIN_S)
            self.assertEqual((told.method, told.fields["session"]), ("TEARDOWN", FIRST))
            viewer.close()


class AServerThatIsGone(unittest.TestCase):
    @story
    async def test_the_end_of_its_sessions_is_told_where_its_address_takes_connections_and_resets_them(self):
        async with Proxied(1).process() as place:
            media, viewer = place.medias[0], Plain(place.port)
            viewer.ask(FIRST)
            await viewer.hear()
            await until(lambda: place.bulletin.connections)
            media.state = 2
            await place.bulletin.tell(2, media)
            await media.close()
            place.proxies[0].reset_all()
            told = await viewer.hear(within=OVER_WITHIN_S)
            self.assertEqual((told.method, told.fields["session"]), ("TEARDOWN", FIRST))
            viewer.close()


class Holding:
    """A media server that answers a little later, and knows what stands there."""

    def __init__(self, media, rng):
        self.media, self.rng, self.held, self.set_up = media, rng, set(), 0
        media.does = self.heard

    async def heard(self, stream, kind, id, parameters):
        if kind == isup.RELEASE:
            self.held.discard(id)
        elif kind == isup.SET_UP:
            self.media.own.start_soon(self.answer, stream, id, parameters)
        else:
            await self.media.plays(stream, kind, id, parameters)

    async def answer(self, stream, id, parameters):
        self.held.add(id)
        await anyio.sleep(self.rng.uniform(0.01, 0.02))
        if id in self.held:
            self.set_up += 1
            await self.media.plays(stream, isup.SET_UP, id, parameters)


class ClientsThatLeaveAsTheirAnswersCome(unittest.TestCase):
    WAYS = ("cancel and close", "close", "reset", "half-close and close")

    async def leaves(self, place, id, rng):
        """Asks on a connection of its own and leaves it unread."""
        viewer = Plain(place.port)
        viewer.ask(id)
        await anyio.sleep(rng.uniform(0.008, 0.024))
        how = rng.choice(self.WAYS)
        if how == "cancel and close":
            viewer.tear_down(id)
        elif how == "reset":
            viewer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        elif how == "half-close and close":
            viewer.socket.shutdown(socket.SHUT_WR)
            await anyio.sleep(0.005)
        viewer.close()

    @story
    async def test_nothing_stands_for_clients_that_left_in_the_moment_of_their_answers(self):
        rng = Random(45)
        async with Proxied(1).process() as place:
            server = Holding(place.medias[0], rng)
            async with anyio.create_task_group() as clients:
                for number in range(400):
                    clients.start_soon(self.leaves, place, f"{number + 1:016x}", rng)
                    await anyio.sleep(0.004)
            await until(lambda: not server.held, OVER_WITHIN_S)
            # some left before their answers, and some after
            self.assertTrue(50 < server.set_up < 400, server.set_up)


class AtTheEndOfTheProcess(unittest.TestCase):
    @story
    async def test_sessions_that_clients_end_together_during_a_shutdown_are_ended_at_a_server_that_confirms_nothing(self):
        ids = [f"{number:016x}" for number in range(1, 13)]
        async with Proxied(1).process() as place:
            media, viewer = place.medias[0], Plain(place.port)

            async def confirms_nothing(stream, kind, id, parameters):
                if kind != isup.RELEASE:
                    await media.plays(stream, kind, id, parameters)

            media.does = confirms_nothing
            for id in ids:
                viewer.ask(id)
            for _ in ids:
                await viewer.hear()
            place.child.send_signal(signal.SIGTERM)
            await anyio.sleep(1.2)
            for id in ids:
                viewer.tear_down(id)
            for _ in ids:
                await viewer.hear()
            viewer.close()
            await until(lambda: place.child.poll() is not None, 3.0)
            self.assertEqual({id.hex() for id, _ in media.had(isup.RELEASE)}, set(ids))


if __name__ == "__main__":
    unittest.main()
