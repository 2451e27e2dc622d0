"""What crosses the close of a connection, on real sockets."""

import unittest

import anyio

from curlewshift.node import isup
from tests.node_place import Held, Place, Plain
from tests.sockets import story, until

FIRST, SECOND = "00000000000000a1", "00000000000000b2"


class AtAMediaServer(unittest.TestCase):
    @story
    async def test_a_release_that_crosses_the_idle_close_of_its_connection_is_told_to_the_client(self):
        held = Held()
        async with Place(idle_close_ms=500).up() as place:
            with held.all():
                media, viewer = place.medias[0], Plain(place.port)
                for id in (FIRST, SECOND):
                    viewer.ask(id)
                for _ in (FIRST, SECOND):
                    await viewer.hear()
                endpoint = next(iter(place.node.reach.endpoints.values()))
                closing, staying = endpoint.lines
                staying.used_at += 10**10
                held.sockets.add(closing.wire.socket)
                port = closing.wire.socket.getsockname()[1]
                line = next(one for one in media.lines if one.extra(anyio.abc.SocketAttribute.remote_port) == port)
                await line.send(isup.release(bytes.fromhex(FIRST), isup.OVER))
                await until(lambda: closing not in endpoint.lines)
                held.go.set()
                told = await viewer.hear(within=1.0)
            self.assertEqual((told.method, told.fields["session"]), ("TEARDOWN", FIRST))
            viewer.close()


class AtAClient(unittest.TestCase):
    @story
    async def test_a_release_that_crosses_the_close_of_its_connection_ends_the_session(self):
        held = Held()
        async with Place().up() as place:
            with held.all():
                media, viewer = place.medias[0], Plain(place.port)
                viewer.ask(FIRST)
                await viewer.hear()
                line = next(iter(place.node.door.lines))
                held.sockets.add(line.wire.socket)
                viewer.tear_down(FIRST)
                line.wire.end()
                held.go.set()
                await until(lambda: media.had(isup.RELEASE), 1.0)
            viewer.close()


if __name__ == "__main__":
    unittest.main()
