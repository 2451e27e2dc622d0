"""Where reloads, late silences, whole lists and kills cross with what is under way at the front node, on real sockets, the
order forced. `docs/crossings.md` lists them."""

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
from tests.node_place import CLIP, Bulletin, Held, Place, Plain
from tests.sockets import story, until
from tests.test_crossings import answer_to, quiet

A, B, C = "00000000000000a1", "00000000000000b2", "00000000000000c3"


def moved(place, other, no, *medias, full=False):
    """A new configuration that names another bulletin, and knows of one event more; SIGHUP says so."""
    place.bulletin.port = other.port
    told = place.told()
    if medias:
        rows = [
            dict(
                id=one.name,
                addr=f"127.0.0.1:{one.port}",
                zone="a",
                kind="box",
                cell=one.cell,
                weight=1.0,
                started_ms=0,
                state=("active", "leaving", "left")[one.state],
            )
            for one in medias
        ]
        told["known"]["items"].append(dict(no=no, roster=dict(version=1, full=full, servers=rows)))
        told["known"]["no"] = no
    place.path.write_text(json.dumps(told))
    os.kill(os.getpid(), signal.SIGHUP)


def sent(place):
    return [[id.hex() for id, _ in media.had(isup.SET_UP)] for media in place.medias]


def reset(stream):
    """The connection of a process that is killed: it ends with a reset."""
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return stream.aclose()


class Reloads(unittest.TestCase):
    """A new configuration while servers drain, and while the node itself does."""

    @story
    async def test_a_drain_that_only_the_new_configuration_knows_is_obeyed_by_what_waits_for_a_connection(self):
        held = Held(dials=True)
        async with Place(2).up() as place:
            with held.all():
                viewer, other = Plain(place.port), Bulletin()
                await other.open(place.tasks)
                viewer.ask(A, package=CLIP)
                await until(lambda: place.node.server_pool.attempts)
                picked = next(iter(place.node.server_pool.attempts)).server.name
                draining = next(media for media in place.medias if media.name == picked)
                draining.state = 1
                moved(place, other, 2, draining)
                await until(lambda: other.asked == [2])
                held.up.set()
                self.assertEqual((await viewer.hear()).status, 200)
            self.assertEqual([ids for media, ids in zip(place.medias, sent(place)) if media is draining], [[]])
            self.assertEqual(sum(map(len, sent(place))), 1)
            viewer.close()

    @story
    async def test_what_the_old_bulletin_says_late_undoes_no_drain_that_the_new_one_has_told(self):
        held = Held()
        async with Place(2).up() as place:
            with held.all():
                node, one, other = place.node, place.medias[0], Bulletin()
                await other.open(place.tasks)
                await until(lambda: place.bulletin.connections)
                told = [call for call in node.log.info.call_args_list if call.args == ("list",)]
                # it says so before it hears of the move, and nobody has read that when the signal comes
                await place.bulletin.tell(2, one)
                one.state = 1
                moved(place, other, 3, *place.medias, full=True)
                await until(lambda: other.connections and other.asked == [3])
                await until(lambda: not node.fleet.servers[one.name].open)
                for _line in list(place.bulletin.connections):
                    await place.bulletin.tell(2, one)
                await quiet(lambda: node.fleet.servers[one.name].open)
                self.assertLessEqual(
                    len([call for call in node.log.info.call_args_list if call.args == ("list",)]), len(told) + 2
                )

    @story
    async def test_moved_while_a_server_drains_its_session_plays_on_and_its_end_is_told(self):
        async with Place(2).up() as place:
            viewer, other = Plain(place.port), Bulletin()
            await other.open(place.tasks)
            viewer.ask(A)
            await viewer.hear()
            at = next(media for media in place.medias if media.had(isup.SET_UP))
            at.state = 1
            moved(place, other, 2, at)
            await until(lambda: other.connections)
            viewer.ask(B)
            self.assertEqual((await viewer.hear()).status, 200)
            self.assertEqual([len(ids) for ids in sent(place)], [1, 1])
            at.state = 2
            await other.tell(3, at)
            await until(lambda: place.node.follower.last == 3)
            await quiet(lambda: len(place.node.session_core.front_sessions))
            await at.connections[0].send(isup.release(bytes.fromhex(A), isup.OVER))
            heard = await viewer.hear()
            self.assertEqual((heard.method, heard.fields["session"]), ("TEARDOWN", A))
            viewer.close()

    @story
    async def test_a_bad_file_and_a_good_one_during_the_nodes_own_drain_change_nothing_but_the_list(self):
        with mock.patch("curlewshift.node.node.STILL_COME", 0.4):
            await self.drains_meanwhile()

    async def drains_meanwhile(self):
        async with Place().up() as place:
            media, viewer, other = place.medias[0], Plain(place.port), Bulletin()
            await other.open(place.tasks)
            viewer.ask(A)
            await viewer.hear()
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda: place.node.draining)
            place.path.write_text("{")
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: place.node.log.error.called)
            media.state = 1
            moved(place, other, 2, media)
            await until(lambda: other.asked == [2])
            late = Plain(place.port)
            late.ask(B)
            self.assertEqual((await late.hear()).status, 503)
            self.assertTrue(place.node.session_core.front_sessions and not place.node.tasks.cancel_scope.cancel_called)
            await media.connections[0].send(isup.release(bytes.fromhex(A), isup.OVER))
            self.assertEqual((await viewer.hear()).fields["session"], A)
            await until(lambda: place.node.tasks.cancel_scope.cancel_called, 8)
            for one in (viewer, late):
                one.close()

    @story
    async def test_a_signal_of_a_new_configuration_during_the_start_moves_it_once_it_has_started(self):
        async with Place().around() as place:
            node, opened, other = Node(configuration.read(place.path), place.path, mock.Mock()), Listener.__init__, Bulletin()
            await other.open(place.tasks)

            def and_is_told_anew(listener, *args):
                opened(listener, *args)
                moved(place, other, 0)

            with mock.patch.object(Listener, "__init__", and_is_told_anew):
                place.tasks.start_soon(node.run)
                await until(lambda: other.asked == [1])
            await until(lambda: node.ready)
            self.assertFalse(node.log.error.called)


class LateSilences(unittest.TestCase):
    @story
    async def test_a_list_that_stops_inside_an_event_long_after_its_first_is_asked_anew_from_the_last_whole_one(self):
        # how long a silence may be has a story of its own in test_node
        with mock.patch("curlewshift.node.follower.SILENT_FOR", 0.6):
            await self.stops_inside_an_event()

    async def stops_inside_an_event(self):
        async with Place(2).up() as place:
            bulletin, one = place.bulletin, place.medias[0]
            await until(lambda: bulletin.connections)
            for number in (2, 3):
                await bulletin.tell(number, place.medias[1])
            one.state = 1
            with mock.patch.object(
                bulletin.connections[0],
                "send",
                lambda data: type(bulletin.connections[0]).send(bulletin.connections[0], data[:20]),
            ):
                await bulletin.tell(4, one)
            await until(lambda: bulletin.asked == [1, 3], 4)
            await until(lambda: len(bulletin.connections) == 1)
            await bulletin.tell(4, one)
            await until(lambda: not place.node.fleet.servers[one.name].open)

    @staticmethod
    def silent_for(endpoint, span):
        """As if nothing had been heard of it on any connection for so long."""
        endpoint.heard_at -= span
        for connection in endpoint.connections:
            connection.heard_at -= span

    async def vanished(self, place, media):
        """Its connections stay open and silent, and none comes up any more."""
        media.does = media.silent
        never = await anyio.create_tcp_listener(local_host="127.0.0.1", backlog=1)
        port = never.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        for _ in range(4):
            place.tasks.start_soon(anyio.connect_tcp, "127.0.0.1", port)
        await anyio.sleep(0.05)
        endpoint = place.node.server_pool.endpoints[place.node.fleet.servers[media.name]]
        endpoint.address = ("127.0.0.1", port)
        return never, endpoint

    @story
    async def test_a_server_that_gave_a_sign_and_then_fell_silent_is_found_gone_in_time(self):
        async with Place().up() as place:
            viewer, media = Plain(place.port), place.medias[0]
            viewer.ask(A)
            await viewer.hear()
            endpoint = place.node.server_pool.endpoints[place.node.fleet.servers[media.name]]
            for asked in (1, 2):
                # time passes in which it has nothing to say: it is asked, and answers
                self.silent_for(endpoint, 3 * SECOND)
                await until(
                    lambda: (
                        len(media.had(isup.PROBE)) == asked and not any(connection.probes for connection in endpoint.connections)
                    )
                )
            never, _ = await self.vanished(place, media)
            # two seconds have passed since, of the eight that there are
            self.silent_for(endpoint, 2 * SECOND)
            for connection in endpoint.connections:
                connection.opened_at -= 2 * SECOND
            self.assertEqual((await viewer.hear(5.5)).fields["reason"], "cause=41")
            await never.aclose()
            viewer.close()

    @story
    async def test_nor_does_it_take_longer_where_servers_are_known_to_speak_seldom(self):
        place, told = Place(), Place.told

        def seldom(self):
            posted = told(self)
            posted["settings"]["extra"]["told_every_ms"] = 60_000
            return posted

        with mock.patch.object(Place, "told", seldom):
            async with place.up():
                viewer, media = Plain(place.port), place.medias[0]
                viewer.ask(A)
                await viewer.hear()
                never, endpoint = await self.vanished(place, media)
                # five seconds have passed since
                self.silent_for(endpoint, 5 * SECOND)
                for connection in endpoint.connections:
                    connection.opened_at -= 5 * SECOND
                self.assertEqual((await viewer.hear(2.5)).fields["reason"], "cause=41")
                await never.aclose()
                viewer.close()


class WholeLists(unittest.TestCase):
    @story
    async def test_one_whole_list_with_numbers_left_out_in_pieces_closes_whom_it_does_not_name_under_a_queued_set_up(self):
        held = Held(dials=True)
        async with Place(2).up() as place:
            with held.all():
                viewer, bulletin = Plain(place.port), place.bulletin
                viewer.ask(A, package=CLIP)
                await until(lambda: place.node.server_pool.attempts and bulletin.connections)
                picked = next(iter(place.node.server_pool.attempts)).server.name
                stays = next(media for media in place.medias if media.name != picked)
                connection, pieces = bulletin.connections[0], []

                async def gather(data):
                    pieces.append(data)

                with mock.patch.object(connection, "send", gather):
                    await bulletin.tell(9, stays, kind=1)
                for byte in pieces[0]:
                    await connection.send(bytes([byte]))
                    await anyio.sleep(0)
                await until(lambda: place.node.follower.last == 9)
                held.up.set()
                self.assertEqual((await viewer.hear()).status, 200)
            self.assertEqual({media.name: len(ids) for media, ids in zip(place.medias, sent(place))}, {stays.name: 1, picked: 0})
            self.assertEqual(bulletin.asked, [1])
            viewer.close()

    @story
    async def test_it_disturbs_nothing_that_is_under_way_at_whom_it_names_and_comes_in_force_once(self):
        async with Place(2).up() as place:
            viewer, bulletin = Plain(place.port), place.bulletin
            viewer.ask(A)
            await viewer.hear()
            for media in place.medias:
                media.does = media.silent
            viewer.ask(B, package=CLIP)
            await until(lambda: sum(map(len, sent(place))) == 2 and bulletin.connections)
            at = next(media for media in place.medias if B in [id.hex() for id, _ in media.had(isup.SET_UP)])
            for number in (2, 2, 5):
                await bulletin.tell(number, *place.medias, kind=1)
            await until(lambda: place.node.follower.last == 5)
            for connection in at.connections:
                await connection.send(answer_to(B))
            heard = await viewer.hear()
            self.assertEqual((heard.status, heard.fields["session"]), (200, B))
            await quiet(lambda: (len(place.node.session_core.front_sessions), viewer.got))
            self.assertEqual((len(place.node.session_core.front_sessions), sum(map(len, sent(place)))), (2, 2))
            told = [call.kwargs["whole"] for call in place.node.log.info.call_args_list if call.args == ("list",)]
            self.assertEqual(told, [True, True, True])
            viewer.close()

    @story
    async def test_who_is_missing_from_one_and_named_by_the_next_keeps_its_session_and_is_sent_to_again(self):
        async with Place().up() as place:
            viewer, bulletin, one = Plain(place.port), place.bulletin, place.medias[0]
            viewer.ask(A)
            await viewer.hear()
            await until(lambda: bulletin.connections)
            await bulletin.tell(2, kind=1)
            await until(lambda: place.node.follower.last == 2)
            viewer.ask(B)
            self.assertEqual((await viewer.hear()).status, 453)
            await bulletin.tell(3, one, kind=1)
            await until(lambda: place.node.follower.last == 3)
            viewer.ask(C)
            heard = await viewer.hear()
            self.assertEqual((heard.status, heard.fields["session"]), (200, C))
            self.assertEqual(len(place.node.session_core.front_sessions), 2)
            viewer.close()

    @story
    async def test_after_a_break_it_comes_instead_of_the_changes_that_were_missed_and_a_drain_in_it_is_obeyed(self):
        async with Place(2).up() as place:
            viewer, bulletin, one = Plain(place.port), place.bulletin, place.medias[0]
            await until(lambda: bulletin.connections)
            await bulletin.connections[0].aclose()
            await until(lambda: len(bulletin.asked) == 2 and bulletin.connections)
            one.state = 1
            await bulletin.tell(7, *place.medias, kind=1)
            await until(lambda: not place.node.fleet.servers[one.name].open)
            viewer.ask(A)
            self.assertEqual((await viewer.hear()).status, 200)
            self.assertEqual(list(map(len, sent(place))), [0, 1])
            one.state = 0
            await bulletin.tell(8, one)
            await until(lambda: place.node.fleet.servers[one.name].open)
            self.assertEqual(bulletin.asked, [1, 1])
            viewer.close()


class KillsBehindAnAccept(unittest.TestCase):
    async def killed(self, media):
        """Its listener is gone, and each connection that it had taken is reset."""
        await media.listener.aclose()
        for connection in list(media.connections):
            await reset(connection)

    @story
    async def test_a_set_up_for_a_process_killed_right_after_it_took_the_connection_has_left_for_nowhere(self):
        held = Held(dials=True)
        async with Place(2).up() as place:
            with held.all():
                viewer = Plain(place.port)
                viewer.ask(A, package=CLIP)
                await until(lambda: place.node.server_pool.attempts)
                picked = next(iter(place.node.server_pool.attempts)).server.name
                media = next(media for media in place.medias if media.name == picked)
                await until(lambda: media.connections)
                await self.killed(media)
                # the node learns only now that the connection was taken
                held.up.set()
                held.dials = False
                heard = await viewer.hear()
            self.assertEqual((heard.status, sum(map(len, sent(place)))), (200, 1))
            self.assertEqual([ids for one, ids in zip(place.medias, sent(place)) if one is media], [[]])
            viewer.close()

    @story
    async def test_killed_with_a_paid_set_up_in_its_kernel_that_is_sent_nowhere_else_and_has_failed(self):
        async with Place(2).up() as place:
            viewer = Plain(place.port)

            async def dies(connection, kind, id, parameters):
                if kind == isup.SET_UP:
                    await reset(connection)

            for media in place.medias:
                media.does = dies
            viewer.ask(A, package=CLIP)
            self.assertEqual((await viewer.hear()).status, 500)
            self.assertEqual(sum(map(len, sent(place))), 1)
            await quiet(lambda: (sum(map(len, sent(place))), viewer.got))
            viewer.close()

    @story
    async def test_killed_once_more_behind_the_accept_that_was_to_hear_of_its_sessions_their_viewers_are_told(self):
        """The process dies; what starts in its place takes the node's next connection, and is killed at that moment too."""
        async with Place().up() as place:
            viewer, media = Plain(place.port), place.medias[0]
            for id in (A, B):
                viewer.ask(id)
                await viewer.hear()
            again, taken = await anyio.create_tcp_listener(local_host="127.0.0.1"), []
            port = again.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
            endpoint = place.node.server_pool.endpoints[place.node.fleet.servers[media.name]]

            async def takes_one():
                taken.append(await again.listeners[0].accept())
                await again.aclose()
                await reset(taken[0])

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(takes_one)
                await media.listener.aclose()
                endpoint.address = ("127.0.0.1", port)
                for connection in list(media.connections):
                    await reset(connection)
                began = anyio.current_time()
                heard = [await viewer.hear(), await viewer.hear()]
            self.assertEqual({(one.method, one.fields["session"]) for one in heard}, {("TEARDOWN", A), ("TEARDOWN", B)})
            self.assertLess(anyio.current_time() - began, 1.0)
            self.assertEqual(len(taken), 1)
            viewer.close()

    @story
    async def test_gone_silent_right_after_an_accept_a_set_up_that_may_be_repeated_plays_elsewhere(self):
        async with Place(2).up() as place:
            viewer = Plain(place.port)
            first = []

            async def silent_if_first(media, connection, kind, id, parameters):
                if kind == isup.SET_UP and not first:
                    first.append(media)
                if first and first[0] is media:
                    return
                await media.plays(connection, kind, id, parameters)

            for media in place.medias:
                media.does = lambda *told, media=media: silent_if_first(media, *told)
            viewer.ask(A, patience=2000)
            self.assertEqual((await viewer.hear()).status, 200)
            self.assertEqual(list(map(len, sent(place))), [1, 1])
            viewer.close()


class Endings(unittest.TestCase):
    @story
    async def test_a_server_that_says_over_on_the_first_of_several_connections_is_heard(self):
        """Each ending that was not counted back left one of the few that may be out at a server."""
        ids = [f"{number:016x}" for number in range(1, 7)]
        async with Place().up() as place:
            viewer, media = Plain(place.port), place.medias[0]
            for id in ids:
                viewer.ask(id, package=CLIP)
            for _ in ids:
                self.assertEqual((await viewer.hear()).status, 200)
            endpoint = place.node.server_pool.endpoints[place.node.fleet.servers[media.name]]
            self.assertGreater(len(endpoint.connections), 1)
            first = endpoint.connections[0]
            at = first.wire.socket.getsockname()[1]
            [stream] = [
                connection for connection in media.connections if connection.extra(anyio.abc.SocketAttribute.remote_port) == at
            ]
            await stream.send(isup.encode(isup.PROBED, b"a" * 8, (isup.CAUSE, b"\1")))
            await until(lambda: max(endpoint.connections, key=lambda connection: connection.heard_at) is first)
            for id in ids:
                viewer.tear_down(id)
            await until(lambda: len(media.had(isup.RELEASE)) == len(ids))
            await until(lambda: not len(place.node.session_core.session_ends))
            self.assertEqual(place.node.session_core.session_ends.done, len(ids))
            viewer.close()


if __name__ == "__main__":
    unittest.main()
