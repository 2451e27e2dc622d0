"""The judge of attempts that begin for clients that have left: by days made up for it, and by real sockets."""

import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import anyio

from curlewshift.exchange.client import connect
from curlewshift.fault_injection.processes import PORTS
from curlewshift.front import server_pool
from curlewshift.front.planted_faults import DeafSessionCore
from curlewshift.standins.traffic import TICK, arrived_at
from curlewshift.state.journal import Journal
from curlewshift.verdict.attempts import judge_attempts
from tests.sockets import SDP, SmallSite, an_offer, async_test, until

MS = 1_000_000
ROOT = Path(__file__).resolve().parents[1]


class Day:
    """Short hands for events; times are milliseconds."""

    def __init__(self):
        self.events = []

    def add(self, ev, at, **facts):
        self.events.append({"ev": ev, "at": at * MS, **facts})
        return self

    def ask(self, at, request):
        return self.add("ask", at, request=request, front="f")

    def left(self, at, request, how="closed", answered=False):
        return self.add("left", at, request=request, front="f", how=how, answered=answered)

    def attempt(self, first, request, read=0):
        return self.add("setup", first + read, request=request, server="s", first_byte=first * MS)

    def told(self, *names):
        told = judge_attempts(self.events)
        return tuple(told[name] for name in names)


class Judged(unittest.TestCase):
    def test_an_attempt_within_the_span_is_counted_and_one_past_it_is_late(self):
        day = Day().ask(0, "a").attempt(10, "a").left(200, "a").attempt(300, "a")
        self.assertEqual(day.told("left", "looked_at", "after", "late", "latest_ms", "clean"), (1, 2, 1, 0, 100.0, True))
        day.attempt(301, "a")
        self.assertEqual(day.told("looked_at", "after", "late", "latest_ms", "clean"), (3, 2, 1, 101.0, False))
        self.assertIn("a began at s 101 ms after its client had left (closed)", judge_attempts(day.events)["examples"])

    def test_each_way_to_leave_counts(self):
        for how in ("closed", "shut-down", "cancelled"):
            day = Day().ask(0, "a").attempt(10, "a").left(200, "a", how).attempt(500, "a")
            self.assertEqual(day.told("late", "ways"), (1, {how: 1}))

    def test_a_day_on_which_nothing_could_be_seen_is_not_clean_and_says_why(self):
        self.assertEqual(Day().told("clean", "says"), (False, "nobody left before being answered: not tried"))
        day = Day().ask(0, "a").attempt(10, "a").left(200, "a", answered=True)
        self.assertEqual(day.told("clean", "says"), (False, "nobody left before being answered: not tried"))
        day = Day().ask(0, "a").left(200, "a").ask(0, "b").attempt(10, "b")
        self.assertEqual(day.told("left", "clean", "says"), (1, False, "no attempt was made for who left: not tried"))
        day = Day().ask(0, "a").attempt(10, "a").left(200, "a").attempt(20, "x")
        self.assertEqual(
            day.told("late", "unjoined", "clean", "says"), (0, 1, False, "1 attempts belong to no client that was seen")
        )

    def test_one_who_comes_again_under_its_id_waits_again_and_only_until_it_leaves_again(self):
        day = Day().ask(0, "v1.0h").left(100, "v1.0h").ask(110, "v1.0").attempt(900, "v1.0h")
        self.assertEqual(day.told("after", "late"), (0, 0))
        day.left(1000, "v1.0").attempt(1050, "v1.0").attempt(1200, "v1.0")
        self.assertEqual(day.told("after", "late", "latest_ms"), (2, 1, 200.0))

    def test_what_begins_once_its_client_was_answered_and_has_closed_is_late_too(self):
        day = Day().ask(0, "a").attempt(10, "a").left(500, "a", answered=True).attempt(700, "a")
        self.assertEqual(day.told("looked_at", "after", "late"), (0, 1, 1))

    def test_time_in_which_the_front_was_stopped_does_not_run_and_all_other_time_does(self):
        stopped = Day().ask(0, "a").add("front-paused", 150, front="f").left(200, "a").add("front-goes-on", 1150, front="f")
        self.assertEqual(stopped.attempt(1249, "a").told("late", "latest_ms"), (0, 99.0))
        self.assertEqual(stopped.attempt(1251, "a").told("late", "latest_ms"), (1, 101.0))
        # 50 ms before the stop and 60 after it are 110
        before = Day().ask(0, "a").left(200, "a").add("front-paused", 250, front="f").add("front-goes-on", 1150, front="f")
        self.assertEqual(before.attempt(1210, "a").told("late", "latest_ms"), (1, 110.0))
        other = Day().ask(0, "a").left(200, "a").add("front-paused", 250, front="g").add("front-goes-on", 1150, front="g")
        self.assertEqual(other.attempt(1150, "a").told("late"), (1,))
        killed = Day().ask(0, "a").add("front-paused", 150, front="f").left(200, "a").add("front-down", 300, front="f")
        self.assertEqual(killed.attempt(401, "a").told("late"), (1,))

    def test_a_server_that_reads_late_makes_no_attempt_late(self):
        self.assertEqual(Day().ask(0, "a").attempt(190, "a", read=900).left(200, "a").told("after", "late"), (0, 0))


class Arrived(unittest.TestCase):
    def test_bytes_that_wait_unaccepted_and_unread_have_come_when_the_kernel_took_them(self):
        with socket.create_server(("127.0.0.1", 0)) as listener, socket.create_connection(listener.getsockname()) as client:
            before = time.monotonic_ns()
            client.sendall(b"first")
            after = time.monotonic_ns()
            time.sleep(0.15)
            accepted, _ = listener.accept()
            with accepted:
                accepted.settimeout(2)
                unread = arrived_at(accepted)
                accepted.recv(100)
                for at in (unread, arrived_at(accepted)):
                    self.assertLessEqual(before, at)
                    self.assertLessEqual(at, after + 2 * TICK + 2 * MS)
                time.sleep(0.05)
                client.sendall(b"second")
                self.assertGreater(arrived_at(accepted), after + 150 * MS)


class AtAFront(unittest.TestCase):
    """Viewers leave while the first byte of their attempt waits for something; it is let go 0.15 s later."""

    async def begun(self, hold, package, leaves, session_core=None, state=None):
        """What the judge says, and how many sessions stand afterwards."""
        go, waits = anyio.Event(), []
        async with SmallSite(servers=2).up(state) as site:
            if session_core is not None:
                site.front.session_core.__class__ = session_core
            with hold(go, waits):
                call = await site.call()
                site.traffic.seen("ask", request="q", front="f")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.asks, call, package)
                    await until(lambda: waits)
                    leaves(call)
                    site.traffic.seen("left", request="q", front="f", how="closed", answered=False)
                    await anyio.sleep(0.15)
                    go.set()
                    # what went out would be seen well before its time is over
                    await until(lambda: not site.front.server_pool.out)
                    await anyio.sleep(0.05)
                    tasks.cancel_scope.cancel()
                await call.close()
            return judge_attempts(site.traffic.events), len(site.front.session_core.front_sessions)

    @staticmethod
    async def asks(call, package):
        with contextlib.suppress(Exception):
            await call.ask("POST", f"/whep/{package}/t", [SDP, ("x-request-id", "q")], an_offer())

    @staticmethod
    @contextlib.contextmanager
    def dials(go, waits):
        async def held(*args):
            call = await connect(*args)
            waits.append(call)
            await go.wait()
            return call

        with mock.patch.object(server_pool, "connect", held):
            yield

    @staticmethod
    @contextlib.contextmanager
    def disk(go, waits):
        add = Journal.add

        def held(*args):
            waits.append(args)
            ends = time.monotonic() + 5
            while not go.is_set() and time.monotonic() < ends:
                time.sleep(0.005)
            return add(*args)

        with mock.patch.object(Journal, "add", held):
            yield

    @async_test
    async def test_no_attempt_begins_for_who_closed_or_shut_down_while_its_connection_was_being_made(self):
        for leaves in (lambda call: call.break_connection(), lambda call: call.shut_down_sending()):
            for package in ("clip", "paid"):
                told, standing = await self.begun(self.dials, package, leaves)
                self.assertEqual((told["left"], told["attempts"], standing), (1, 0, 0))

    @async_test
    async def test_nor_while_its_intent_was_being_written(self):
        with tempfile.TemporaryDirectory() as folder:
            told, standing = await self.begun(self.disk, "paid", lambda call: call.shut_down_sending(), state=Path(folder))
        self.assertEqual((told["left"], told["attempts"], standing), (1, 0, 0))

    @async_test
    async def test_a_front_that_does_not_hear_of_it_is_caught(self):
        told, _ = await self.begun(self.dials, "clip", lambda call: call.shut_down_sending(), session_core=DeafSessionCore)
        self.assertEqual((told["late"], told["clean"]), (1, False), told)
        self.assertGreater(told["latest_ms"], 140)

    @async_test
    async def test_a_server_that_accepts_late_gets_nothing_for_who_left_meanwhile_unless_the_front_is_deaf(self):
        for session_core, begun in ((None, 0), (DeafSessionCore, 1)):
            async with SmallSite(servers=1, patience=4 * 1000 * MS).up() as site:
                if session_core is not None:
                    site.front.session_core.__class__ = session_core
                [server] = site.servers.values()
                await server.accept_late()
                call = await site.call()
                site.traffic.seen("ask", request="q", front="f")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.asks, call, "clip")
                    await until(lambda: site.front.server_pool.out)
                    await anyio.sleep(0.1)
                    call.shut_down_sending()
                    site.traffic.seen("left", request="q", front="f", how="shut-down", answered=False)
                    await anyio.sleep(0.1)
                    server.accept_again()
                    await until(lambda: not site.front.server_pool.out)
                    await anyio.sleep(0.05)
                    tasks.cancel_scope.cancel()
                await call.close()
                told = judge_attempts(site.traffic.events)
                self.assertEqual((told["left"], told["attempts"], told["late"]), (1, begun, begun), told)


class AtTheNodeInService(unittest.TestCase):
    """`curlewshift leavers`, as users start it: the node is a process of its own, sound or deaf to a way to leave."""

    FAULTS = {
        "deaf-to-ends": ("closed", "reset", "shut-down"),
        "deaf-to-cancels": ("cancelled",),
        "deaf-to-leaving": ("closed", "reset", "shut-down", "cancelled"),
    }

    def test_a_sound_one_begins_nothing_late_and_one_deaf_to_a_way_to_leave_is_caught_by_that_way(self):
        with tempfile.TemporaryDirectory() as folder:
            first, last = PORTS
            part = (last - first) // (1 + len(self.FAULTS))
            runs = {
                sabotage: subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "curlewshift",
                        "leavers",
                        "--seconds",
                        "1.5",
                        "--viewers",
                        "200",
                        "--out",
                        str(Path(folder) / (sabotage or "sound")),
                        "--sabotage",
                        sabotage,
                    ],
                    cwd=ROOT,
                    stdout=subprocess.PIPE,
                    env={**os.environ, "CURLEWSHIFT_PORTS": f"{first + number * part}-{first + (number + 1) * part}"},
                    stderr=subprocess.PIPE,
                    text=True,
                )
                for number, sabotage in enumerate(("", *self.FAULTS))
            }
            told = {sabotage: run.communicate(timeout=60) for sabotage, run in runs.items()}
            verdicts = {
                sabotage: json.loads((Path(folder) / (sabotage or "sound") / "verdict.json").read_text()) for sabotage in runs
            }
        sound = verdicts.pop("")
        judged = sound["attempts_after_leaving"]
        self.assertEqual((judged["late"], judged["unjoined"], judged["clean"], sound["unanswered"]), (0, 0, True, 0), told[""])
        self.assertEqual(sound["faults"], {}, sound)
        self.assertGreater(min(judged["left"], sound["played"], sound["refused"]), 5, sound)
        for sabotage, verdict in verdicts.items():
            judged = verdict["attempts_after_leaving"]
            self.assertEqual((judged["clean"], runs[sabotage].returncode), (False, 1), told[sabotage])
            self.assertGreater(judged["late"], 0, judged)
            for how in self.FAULTS[sabotage]:
                self.assertGreater(judged["ways"].get(how, 0), 0, (sabotage, judged))

    def test_a_sabotage_that_nobody_knows_ends_with_2(self):
        run = subprocess.run(
            [sys.executable, "-m", "curlewshift", "leavers", "--out", "/dev/null", "--sabotage", "sleepy"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual((run.returncode, "deaf-to-ends" in run.stderr), (2, True))


if __name__ == "__main__":
    unittest.main()
