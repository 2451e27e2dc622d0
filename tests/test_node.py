"""Stories of the front node, one for each failure met, on loopback."""

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
from tests.node_place import CLIP, Bulletin, Media, Place, set_up
from tests.sockets import story, until

A, B, C = "00000000000000a1", "00000000000000b2", "00000000000000c3"
ANSWER = isup.encode(isup.ANSWER, b"IDIDIDID", (isup.DESCRIPTION, b"late"))
REFUSED, FAILED = (453, 503), (500,)


class OneViewing(unittest.TestCase):
    @story
    async def test_from_set_up_to_the_viewers_release(self):
        async with Place().up() as place:
            viewer, media = await place.viewer(), place.medias[0]
            answer = await viewer.answer(A, body=b"\r\n\0offer")
            self.assertEqual((answer.status, answer.fields["session"], answer.body), (200, A, b"plays \r\n\0offer"))
            told = media.had(isup.SET_UP)[0][1]
            self.assertEqual((told[isup.CLASS], told[isup.TITLE], told[isup.LEVEL]), (b"lesson", b"00000000000000aa", b"1"))
            self.assertLessEqual(int(told[isup.WAIT]), 2000)
            self.assertEqual(place.node.fleet.servers[media.name].link.reported, True)
            await viewer.tear_down(A, "Reason: cause=19\r\n")
            await until(lambda: media.had(isup.RELEASE))
            self.assertEqual(media.had(isup.RELEASE), [(bytes.fromhex(A), {isup.CAUSE: b"\x13"})])
            self.assertFalse(place.node.session_core.front_sessions or place.node.listener.asked)

    @story
    async def test_its_servers_release_reaches_it_on_another_connection_if_its_own_has_gone(self):
        async with Place().up() as place:
            first, second = await place.viewer(), await place.viewer()
            await first.answer(A)
            await second.answer(B)
            await first.stream.aclose()
            await until(lambda: len(place.node.listener.connections) == 1)
            media = place.medias[0]
            await media.connections[0].send(isup.release(bytes.fromhex(A), isup.RESET))
            release = await second.hear()
            self.assertEqual((release.method, release.fields["session"], release.fields["reason"]), ("TEARDOWN", A, "cause=41"))
            await until(lambda: media.had(isup.RELEASED))

    @story
    async def test_handed_over_it_is_not_answered_counts_and_is_told_of_on_a_connection_opened_for_it(self):
        async with Place().up() as place:
            viewer, media = await place.viewer(), place.medias[0]
            await viewer.ask(A, legs=f";at:{media.name}")
            await viewer.ask(A, legs=f";at:{media.name}")
            await until(lambda: media.connections)
            server = place.node.fleet.servers[media.name]
            self.assertEqual((server.link.own, len(server.link.playing)), (100, 1))
            note = isup.encode(isup.NOTE, bytes.fromhex(A), (isup.KIND, b"tier"), (isup.FIGURE, b"1"))
            await media.connections[0].send(note + isup.release(bytes.fromhex(A), isup.OVER))
            self.assertEqual((await viewer.hear()).method, "TEARDOWN")
            self.assertEqual(server.link.own, 0)


class WhatMayHaveRun(unittest.TestCase):
    """A package paid at set-up: one answer of the right kind, and one tune-in unless the first provably never ran."""

    async def paid(self, place, *does):
        for media, what in zip(place.medias, does):
            if isinstance(what, bytes):
                media.says(what)
            elif what is not None:
                media.does = what
        viewer = await place.viewer()
        answer = await viewer.answer(A, package=CLIP, patience=500)
        return answer, [len(media.had(isup.SET_UP)) for media in place.medias]

    @story
    async def test_lost_spoilt_cut_reset_or_an_error_it_fails_and_goes_nowhere_else(self):
        cut = isup.encode(isup.ANSWER, b"IDIDIDID", (isup.DESCRIPTION, b"d"))[:14]
        for says in (
            b"",
            b"\xff\xff\xff",
            cut,
            isup.encode(isup.ANSWER, b"IDIDIDID"),
            isup.release(b"IDIDIDID", isup.ERROR),
            isup.release(b"IDIDIDID", isup.RESET),
            isup.release(b"IDIDIDID", 99),
        ):
            async with Place(2).up() as place:
                answer, sent = await self.paid(place, says, says)
                self.assertIn(answer.status, FAILED, says)
                self.assertEqual(sum(sent), 1, says)
                self.assertNotIn("x-pause", answer.fields)

    @story
    async def test_a_connection_that_ends_under_it_may_have_run_it(self):
        async def hangs_up(connection, kind, id, parameters):
            await connection.aclose()

        async with Place(2).up() as place:
            answer, sent = await self.paid(place, hangs_up, hangs_up)
            self.assertEqual((answer.status, sum(sent)), (500, 1))

    @story
    async def test_full_moot_or_a_refused_connection_prove_that_it_never_ran(self):
        for says in (isup.release(b"IDIDIDID", isup.FULL), isup.release(b"IDIDIDID", isup.MOOT)):
            async with Place(2).up() as place:
                answer, sent = await self.paid(place, says, says)
                self.assertIn(answer.status, REFUSED)
                self.assertGreaterEqual(min(sent), 1)
        async with Place(2).up() as place:
            for media in place.medias:
                await media.close()
            answer, sent = await self.paid(place)
            self.assertIn(answer.status, REFUSED)
            self.assertLessEqual(int(answer.fields["x-pause"]) > 0, 2000)

    @story
    async def test_a_spoilt_answer_ends_its_connection_for_all_that_is_out_on_it(self):
        async with Place(sockets=5).up() as place:
            media = place.medias[0]
            media.does = media.silent
            viewer = await place.viewer()
            for id in (A, B, C):
                await viewer.ask(id, package=CLIP)
            await until(lambda: len(media.had(isup.SET_UP)) == 3)
            shared = max(
                media.connections,
                key=lambda connection: sum(
                    attempt.connection.wire is not None
                    and attempt.connection.wire.socket.getsockname()[1] == connection.extra(anyio.abc.SocketAttribute.remote_port)
                    for attempt in place.node.server_pool.attempts.values()
                ),
            )
            await shared.send(b"\0\2no")
            self.assertEqual([(await viewer.hear(0.5)).status for _ in range(2)], [500, 500])

    @story
    async def test_an_answer_that_crosses_its_giving_up_is_released_and_a_second_copy_is_not(self):
        async with Place().up() as place:
            viewer, media = await place.viewer(), place.medias[0]
            media.does = media.silent
            await viewer.ask(A)
            await until(lambda: media.had(isup.SET_UP))
            await viewer.tear_down(A)
            await until(lambda: media.had(isup.RELEASE))
            await media.connections[0].send(ANSWER.replace(b"IDIDIDID", bytes.fromhex(A)))
            await until(lambda: len(media.had(isup.RELEASE)) == 2)
            media.says(ANSWER * 2 + ANSWER.replace(b"IDIDIDID", b"nobody's"))
            await viewer.hear()
            self.assertEqual((await viewer.answer(B)).status, 200)
            await viewer.answer(C)
            self.assertEqual(len(media.had(isup.RELEASE)), 2)
            self.assertEqual(len(place.node.session_core.front_sessions), 2)


class Forgotten(unittest.TestCase):
    @story
    async def test_a_request_that_nobody_answered_in_its_time_is_answered_all_the_same_once_and_told_of(self):
        async with Place().up() as place:
            place.medias[0].does = place.medias[0].silent
            with (
                mock.patch.object(place.node.session_core.timers, "run", lambda now: None),
                mock.patch.object(place.node.listener.log, "error") as told,
            ):
                viewer = await place.viewer()
                answer = await viewer.answer(A, package=CLIP, patience=300)
            self.assertEqual((answer.status, told.call_args.args), (500, ("unanswered",)))
            self.assertFalse(
                place.node.listener.asked or any(connection.waiting for connection in place.node.listener.connections)
            )
            place.node.session_core.time()
            # a second answer would come first
            self.assertEqual((await viewer.answer(B)).fields["session"], B)


class Servers(unittest.TestCase):
    @story
    async def test_what_played_on_a_process_that_died_is_released_to_its_viewer(self):
        async with Place().up() as place:
            viewer = await place.viewer()
            await viewer.answer(A)
            await place.medias[0].close()
            self.assertEqual((await viewer.hear()).fields["reason"], "cause=41")

    @story
    async def test_also_if_a_connection_to_it_stays_open_and_silent(self):
        async with Place().up() as place:
            viewer, media = await place.viewer(), place.medias[0]
            await viewer.answer(A)
            media.does = media.silent
            await media.listener.aclose()
            release = await viewer.hear(7.5)
            self.assertEqual(release.fields["reason"], "cause=41")

    @story
    async def test_and_on_a_machine_that_vanished_before_eight_seconds_are_over(self):
        async with Place().up() as place:
            viewer, media = await place.viewer(), place.medias[0]
            await viewer.answer(A)
            media.does = media.silent
            never = await anyio.create_tcp_listener(local_host="127.0.0.1", backlog=1)
            port = never.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
            # its queue is full, so that nothing more comes up; no address has changed for the node
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(anyio.connect_tcp, "127.0.0.1", port)
                endpoint = place.node.server_pool.endpoints[place.node.fleet.servers[media.name]]
                endpoint.address = ("127.0.0.1", port)
                release = await viewer.hear(7.5)
                tasks.cancel_scope.cancel()
            self.assertEqual(release.fields["reason"], "cause=41")
            await never.aclose()

    @story
    async def test_a_silent_process_that_still_takes_connections_keeps_its_sessions(self):
        async with Place().up() as place:
            viewer, media = await place.viewer(), place.medias[0]
            await viewer.answer(A)
            media.does = media.silent
            with self.assertRaises(TimeoutError):
                await viewer.hear(4.5)
            self.assertTrue(media.had(isup.PROBE))
            self.assertLess(len(place.node.server_pool.endpoints[place.node.fleet.servers[media.name]].connections), 4)

    @story
    async def test_a_new_server_at_an_old_address_has_nothing_of_the_one_that_has_gone(self):
        async with Place().up() as place:
            viewer, old = await place.viewer(), place.medias[0]
            await viewer.answer(A)
            before = place.node.fleet.servers[old.name]
            new = Media("s-000000ff", 0)
            new.port, new.started, old.state = old.port, int(place.node.now() / 1e6), 2
            await until(lambda: place.bulletin.connections)
            await place.bulletin.tell(2, old, new)
            self.assertEqual((await viewer.hear()).fields["session"], A)
            now = place.node.fleet.servers[new.name]
            self.assertIsNot(place.node.server_pool.endpoints[now], place.node.server_pool.endpoints.get(before))
            self.assertFalse(before.open)
            self.assertEqual((now.started, now.link.own), (new.started * 1_000_000, 0))
            self.assertEqual((await viewer.answer(B)).status, 200)
            self.assertIs(place.node.listener.asked[B].front_session.viewing.server, now)

    @story
    async def test_a_drain_told_between_pick_and_send_is_obeyed(self):
        async with Place(2).up() as place:
            node, picked = place.node, []
            send = node.server_pool.tune_in

            def drained_first(tune_in):
                picked.append(tune_in.server)
                send(tune_in)
                if len(picked) == 1:
                    tune_in.server.open = False

            node.server_pool.tune_in = drained_first
            viewer = await place.viewer()
            self.assertEqual((await viewer.answer(A, package=CLIP)).status, 200)
            self.assertEqual([len(media.had(isup.SET_UP)) for media in place.medias if media.name == picked[0].name], [0])


class TheList(unittest.TestCase):
    @story
    async def test_doubled_events_are_dropped_and_after_a_break_the_last_number_is_asked_from(self):
        async with Place(2).up() as place:
            bulletin, one = place.bulletin, place.medias[0]
            await until(lambda: bulletin.connections)
            one.state = 1
            await bulletin.tell(2, one)
            await until(lambda: not place.node.fleet.servers[one.name].open)
            one.state = 0
            await bulletin.tell(2, one)
            await bulletin.connections[0].send(b"\0\0\0\x0ahalf")
            await bulletin.connections[0].aclose()
            await until(lambda: len(bulletin.asked) == 2 and bulletin.connections)
            self.assertEqual((bulletin.asked, place.node.fleet.servers[one.name].open), ([1, 2], False))
            await bulletin.tell(4, one)
            await until(lambda: len(bulletin.asked) == 3)
            self.assertEqual(bulletin.asked[2], 2)

    @story
    async def test_a_list_that_answers_late_each_time_is_heard_in_the_end(self):
        async with Place(2).up() as place:
            one = place.medias[0]
            one.state = 1

            async def answers_late(connection):
                await anyio.sleep(2.0)
                if connection in place.bulletin.connections:
                    await place.bulletin.tell(2, one)

            seen = []
            with anyio.fail_after(6):
                while place.node.fleet.servers[one.name].open:
                    for connection in [connection for connection in place.bulletin.connections if connection not in seen]:
                        seen.append(connection)
                        place.tasks.start_soon(answers_late, connection)
                    await anyio.sleep(0.01)

    @story
    async def test_a_silence_is_a_break(self):
        async with Place().up() as place:
            await until(lambda: len(place.bulletin.asked) == 2, 4)

    @story
    async def test_sighup_moves_to_the_new_bulletin_and_a_bad_file_changes_nothing(self):
        async with Place().up() as place:
            viewer, other = await place.viewer(), Bulletin()
            await viewer.answer(A)
            place.path.write_text("{")
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: place.node.log.error.called)
            self.assertTrue(place.node.ready)
            place.node.log.error.reset_mock()
            await other.open(place.tasks)
            place.bulletin.port = other.port
            place.path.write_text(json.dumps(place.told()))
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: other.asked == [1])
            self.assertEqual((await viewer.answer(B)).status, 200)
            self.assertEqual(len(place.node.session_core.front_sessions), 2)


class Life(unittest.TestCase):
    @story
    async def test_sigterm_answers_what_was_taken_refuses_what_comes_and_ends_once_nothing_plays(self):
        async with Place().up() as place:
            viewer, media = await place.viewer(), place.medias[0]
            await viewer.answer(A)
            media.does = media.silent
            await viewer.ask(B)
            await until(lambda: len(media.had(isup.SET_UP)) == 2)
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda: place.node.draining)
            late = await (await place.viewer()).answer(C)
            self.assertEqual((late.status, int(late.fields["x-pause"]) > 0), (503, True))
            await media.connections[0].send(ANSWER.replace(b"IDIDIDID", media.had(isup.SET_UP)[1][0]))
            await media.connections[-1].send(ANSWER.replace(b"IDIDIDID", media.had(isup.SET_UP)[1][0]))
            self.assertEqual((await viewer.hear()).status, 200)
            await media.connections[0].send(isup.release(bytes.fromhex(A), 16) + isup.release(bytes.fromhex(B), 16))
            self.assertEqual({(await viewer.hear()).method for _ in range(2)}, {"TEARDOWN"})
            await until(lambda: place.node.tasks.cancel_scope.cancel_called)

    def test_without_a_configuration_it_exits_2_with_one_plain_line(self):
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


class Settings(unittest.TestCase):
    def refused(self, change):
        place = Place()
        for one in place.medias:
            one.port = 1
        place.bulletin.port = place.port = 1
        told = place.told()
        change(told, told["settings"])
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(told))
            with self.assertRaises(configuration.Unreadable) as caught:
                configuration.read(path)
        self.assertNotIn("\n", str(caught.exception))
        return str(caught.exception)

    def test_what_makes_no_sense_is_refused_in_a_line_that_names_the_field(self):
        for field, change in {
            "limits.sockets": lambda told, settings: told["limits"].update(sockets=0),
            "my_number": lambda told, settings: settings.update(my_number=1),
            "balancers": lambda told, settings: settings.update(balancers=-1),
            "classes[1].give_up_ms": lambda told, settings: settings["classes"][1].update(give_up_ms=-5),
            "classes[0].name": lambda told, settings: settings["classes"][0].update(name=""),
            "classes[0].gain": lambda told, settings: settings["classes"][0].update(gain="much"),
            "classes": lambda told, settings: settings["classes"].append(settings["classes"][0]),
            "bounds.max_attempts": lambda told, settings: settings["bounds"].update(max_attempts=1.5),
            "bounds.connect_timeout_ms": lambda told, settings: settings["bounds"].update(connect_timeout_ms=True),
            "bounds": lambda told, settings: settings.update(bounds=7),
            "extra.rung_kb": lambda told, settings: settings["extra"].update(rung_kb=[200, 100]),
            "extra.rung_kb[1]": lambda told, settings: settings["extra"].update(rung_kb=[100, float("nan")]),
            "extra.floor_by_class[0]": lambda told, settings: settings["extra"].update(floor_by_class=[2]),
            "extra.floor_by_class[1]": lambda told, settings: settings["extra"].update(
                floor_by_class=[0, 1], top_by_class=[1, 0]
            ),
            "extra.cells": lambda told, settings: settings["extra"].update(cells=-4),
            "obligations.fall_ms": lambda told, settings: settings.update(obligations=dict(fall_ms=-1)),
        }.items():
            self.assertIn(f"'{field}'", self.refused(change), field)

    @story
    async def test_one_that_names_little_more_than_its_classes_serves(self):
        place = Place()
        told = place.told
        place.told = lambda: {
            **told(),
            "settings": {
                **{key: told()["settings"][key] for key in ("areas", "flavors")},
                "classes": [{"name": "lesson"}],
                "extra": {"cells": 4},
            },
        }
        async with place.up():
            viewer = await place.viewer()
            await viewer.stream.send(set_up(A).replace(b"top:1", b"top:0"))
            self.assertEqual((await viewer.hear()).status, 200)


class FleetTroubles(unittest.TestCase):
    @story
    async def test_all_servers_replaced_at_once_at_each_others_addresses(self):
        async with Place(4).up() as place:
            viewer, olds = await place.viewer(), place.medias
            await viewer.answer(A)
            for old in olds:
                old.does = old.silent
            await viewer.ask(B, package=CLIP)
            await until(lambda: sum(len(old.had(isup.SET_UP)) for old in olds) == 2)
            news = [Media(f"s-000000f{number}", number) for number in range(4)]
            for number, old in enumerate(olds):
                old.state, old.does = 2, old.plays
                news[number].port, news[number].started = olds[number - 1].port, int(place.node.now() / 1e6) - 60_000
            await until(lambda: place.bulletin.connections)
            await place.bulletin.tell(2, *olds, *news)
            # what played is released, what may have run has failed; each is told once
            ends = {message.fields["session"]: message for message in (await viewer.hear(), await viewer.hear())}
            self.assertEqual((ends[A].method, ends[B].status), ("TEARDOWN", 500))
            self.assertEqual((await viewer.answer(C)).status, 200)
            self.assertIn(place.node.listener.asked[C].front_session.viewing.server.name, [new.name for new in news])
            self.assertEqual((len(place.node.session_core.front_sessions), viewer.got), (1, []))

    @story
    async def test_a_zone_that_is_cut_off_and_comes_back_cold_costs_no_answer_resends_nothing_paid_and_is_not_pushed_over(self):
        place, arrivals = Place(3), {}
        place.obligations = dict(warm_within_ms=4000, start_capacity=0.1, fall_multiple=2.0, fall_ms=1000)
        async with place.up():
            viewer, zone, other = await place.viewer(), place.medias[:2], place.medias[2]
            for media in zone:
                media.does = media.silent
            paid, free = [f"{number:016x}" for number in range(1, 9)], [f"{number:016x}" for number in range(11, 15)]
            for id in paid:
                await viewer.ask(id, package=CLIP, patience=600)
            for id in free:
                await viewer.ask(id, patience=2000)
            ends = [await viewer.hear() for _ in (*paid, *free)]
            told = {message.fields["session"]: message.status for message in ends}
            self.assertEqual(set(told), {*paid, *free})
            self.assertNotIn(500, {told[id] for id in free})
            cut = [id for media in zone for id, _ in media.had(isup.SET_UP)]
            sent = cut + [id for id, _ in other.had(isup.SET_UP)]
            for id in paid:
                # refused only if it was sent nowhere; failed if it may have run in the zone, and never sent again
                self.assertLessEqual(sent.count(bytes.fromhex(id)), 1, id)
                self.assertEqual(told[id], 453 if bytes.fromhex(id) not in sent else 500 if bytes.fromhex(id) in cut else 200)
            self.assertIn(500, told.values())
            await until(lambda: place.bulletin.connections)
            for media in zone:
                media.state = 2
            await place.bulletin.tell(2, *zone)
            # it is back where it was, and has just come up
            for media in zone:
                for connection in list(media.connections):
                    await connection.aclose()
                media.state, media.started = 0, int(place.node.now() / 1e6)

                async def noted(connection, kind, id, parameters, media=media):
                    if kind == isup.SET_UP:
                        arrivals.setdefault(media.name, []).append(anyio.current_time())
                    await media.plays(connection, kind, id, parameters)

                media.does = noted
            await place.bulletin.tell(3, *zone)
            servers = place.node.fleet.servers
            await until(lambda: all(servers[media.name].cold_until for media in zone))
            # in its first window a front sends less, as an earlier life of its own may have sent too
            await until(lambda: place.node.now() > place.node.session_core.rules.born + SECOND)
            crowd = [f"{number:016x}" for number in range(100, 140)]
            for id in crowd:
                await viewer.ask(id, patience=2000)
            ends = [await viewer.hear() for _ in crowd]
            self.assertEqual({message.fields["session"] for message in ends}, set(crowd))
            self.assertGreater(sum(message.status == 200 for message in ends), 3)
            self.assertTrue(arrivals)
            for times in arrivals.values():
                # five in a second is what 100 places bear at the start, with one front
                self.assertLessEqual(max(sum(at <= one < at + 1 for one in times) for at in times), 5)
            self.assertEqual(viewer.got, [])

    @story
    async def test_without_a_descriptor_left_a_viewing_is_refused_in_words_and_no_server_is_held_for_it(self):
        async with Place(2).up() as place:
            viewer, none_left = await place.viewer(), OSError(errno.EMFILE, "no descriptor left")
            with mock.patch("curlewshift.node.server_pool.dial", side_effect=none_left):
                answer = await viewer.answer(A, package=CLIP)
            self.assertEqual((answer.status, int(answer.fields["x-pause"]) > 0), (453, True))
            self.assertEqual([server.trouble for server in place.node.fleet.servers.values()], [0.0, 0.0])
            self.assertEqual((await viewer.answer(B, package=CLIP)).status, 200)

    @story
    async def test_who_gives_up_a_paid_set_up_and_comes_again_at_once_has_one_of_each_and_one_answer(self):
        async with Place().up() as place:
            viewer, media = await place.viewer(), place.medias[0]
            media.does = media.silent
            await viewer.ask(A, package=CLIP)
            await until(lambda: media.had(isup.SET_UP))
            media.does = media.plays
            await viewer.tear_down(A)
            await viewer.ask(B, package=CLIP, legs=";again:1")
            heard = [await viewer.hear(), await viewer.hear()]
            self.assertEqual({(one.fields["session"], one.status) for one in heard}, {(A, 200), (B, 200)})
            self.assertEqual([id.hex() for id, _ in media.had(isup.SET_UP)], [A, B])
            await until(lambda: [id.hex() for id, _ in media.had(isup.RELEASE)] == [A])
            self.assertEqual((len(place.node.session_core.front_sessions), viewer.got), (1, []))

    @story
    async def test_no_file_at_sighup_leaves_the_old_one_in_force_and_one_line_says_so(self):
        async with Place().up() as place:
            place.path.unlink()
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: place.node.log.error.called)
            self.assertEqual([call.args for call in place.node.log.error.call_args_list], [("configuration",)])
            self.assertIn("No such file", place.node.log.error.call_args.kwargs["cause"])
            self.assertEqual((await (await place.viewer()).answer(A)).status, 200)


class Connections(unittest.TestCase):
    async def unused(self, place, viewer, id):
        """The connection on which a viewing has been played and ended."""
        await viewer.answer(id)
        await viewer.tear_down(id)
        connection = next(iter(place.node.server_pool.endpoints.values())).connections[0]
        await until(
            lambda: not place.node.session_core.front_sessions and not place.node.server_pool.teardowns.unconfirmed_on(connection)
        )
        return connection

    @story
    async def test_an_unused_one_is_kept_while_its_server_keeps_it_unless_all_there_may_be_are_open(self):
        async with Place().up() as place:
            viewer, server_pool = await place.viewer(), place.node.server_pool
            connection = await self.unused(place, viewer, A)
            server_pool._look_after(connection, connection.used_at + 10 * SECOND)
            self.assertFalse(connection.over)
            self.assertIs(await self.unused(place, viewer, B), connection)
            server_pool.most_connections = 1
            server_pool._look_after(connection, connection.used_at + 10 * SECOND)
            self.assertNotIn(connection, connection.endpoint.connections)
            await until(lambda: connection.over, 1.0)

    @story
    async def test_it_goes_before_its_server_would_close_it_under_a_set_up(self):
        async with Place().up() as place:
            connection = await self.unused(place, await place.viewer(), A)
            place.node.server_pool._look_after(connection, connection.used_at + 25 * SECOND)
            self.assertNotIn(connection, connection.endpoint.connections)
            await until(lambda: connection.over, 1.0)


class BadClients(unittest.TestCase):
    @story
    async def test_full_of_idle_connections_it_drops_those_and_takes_who_comes(self):
        async with Place(sockets=120).up() as place:
            held, most = [], place.node.listener.gate.most
            with anyio.fail_after(8):
                for _ in range(4 * most):
                    held.append(await place.viewer())
                    await held[-1].stream.send(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
                    self.assertEqual((await held[-1].hear(1.0)).status, 200)
            self.assertLessEqual(len(place.node.listener.connections), most)
            self.assertEqual((await (await place.viewer()).answer(A)).status, 200)

    @story
    async def test_each_is_told_or_closed_in_time_and_an_open_request_goes_on(self):
        async with Place().up() as place:
            media = place.medias[0]
            media.does = media.silent
            usual = await place.viewer()
            await usual.ask(A, package=CLIP)
            await until(lambda: media.had(isup.SET_UP))
            say = "SETUP rtsp://media/00000000000000aa RTSP/1.0\r\nCSeq: 1\r\n%sContent-Length: 1\r\n\r\nx"
            figures = "Session: %s\r\nX-Cos: lesson\r\nX-Timer-Ms: 900\r\nX-Legs: home:0;copies:1;top:1;viewer:%s\r\n"

            async def told(bad):
                viewer = await place.viewer()
                await viewer.stream.send(bad)
                got = await viewer.hear(2.5)
                self.assertTrue(got is None or (400 <= got.status < 500 and got.status not in REFUSED), (bad[:250], got))

            for bad in (
                b"\x91\xf5noise",
                b"SETUP rtsp://media/a RTSP/1.0\r\nX: " + b"y" * 40_000,
                *(
                    (say % one).encode()
                    for one in (
                        "",
                        figures % (A, "0" * 16),
                        figures % (B, "0" * 15),
                        "Session: x\r\n",
                        f"Session: {B}\r\n" + figures % (C, "0" * 16),
                        figures.replace("900", "-5") % (B, "0" * 16),
                        figures.replace("lesson", "lesson_x") % (B, "0" * 16),
                        figures.replace("home:0", "home:9999") % (B, "0" * 16),
                    )
                ),
            ):
                await told(bad)
            self.assertEqual(len(media.had(isup.SET_UP)), 1)
            await media.connections[0].send(ANSWER.replace(b"IDIDIDID", bytes.fromhex(A)))
            self.assertEqual((await usual.hear()).body, b"late")
            for half in (b"", b"SETUP rtsp://media/"):
                await told(half)

    @story
    async def test_a_flood_down_one_connection_and_its_withdrawals_leave_nothing_behind(self):
        async with Place().up() as place:
            media = place.medias[0]
            media.does = media.silent
            viewer = await place.viewer()
            for number in range(300):
                await viewer.ask(f"{number:016x}", package=CLIP)
            for number in range(300):
                await viewer.tear_down(f"{number:016x}")
            await until(lambda: not place.node.session_core.waiting and not place.node.listener.asked)
            self.assertFalse(place.node.server_pool.attempts or place.node.session_core.front_sessions)
            self.assertEqual(place.node.fleet.servers[media.name].link.own, 0)


if __name__ == "__main__":
    unittest.main()
