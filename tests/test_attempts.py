"""Tests of the check for set-up attempts that begin after their client has left: with made-up events and with real sockets."""

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
from curlewshift.front.planted_faults import SessionCoreIgnoringHangUps
from curlewshift.standins.traffic import COARSE_CLOCK_TICK_NS, arrived_at
from curlewshift.state.journal import Journal
from curlewshift.verdict.attempts import judge_attempts
from tests.sockets import SDP, SmallSite, an_offer, async_test, until

MS = 1_000_000
ROOT = Path(__file__).resolve().parents[1]


class Events:
    """Shorthand for building events; times are milliseconds."""

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

    def result(self, *names):
        result = judge_attempts(self.events)
        return tuple(result[name] for name in names)


class AttemptVerdict(unittest.TestCase):
    def test_attempt_within_the_allowed_delay_is_counted_and_a_later_one_is_late(self):
        run = Events().ask(0, "a").attempt(10, "a").left(200, "a").attempt(300, "a")
        self.assertEqual(run.result("left", "looked_at", "after", "late", "latest_ms", "clean"), (1, 2, 1, 0, 100.0, True))
        run.attempt(301, "a")
        self.assertEqual(run.result("looked_at", "after", "late", "latest_ms", "clean"), (3, 2, 1, 101.0, False))
        self.assertIn("a began at s 101 ms after its client had left (closed)", judge_attempts(run.events)["examples"])

    def test_each_kind_of_leaving_counts(self):
        for how in ("closed", "shut-down", "cancelled"):
            run = Events().ask(0, "a").attempt(10, "a").left(200, "a", how).attempt(500, "a")
            self.assertEqual(run.result("late", "ways"), (1, {how: 1}))

    def test_run_without_anything_to_check_is_not_clean_and_gives_the_reason(self):
        self.assertEqual(Events().result("clean", "says"), (False, "nobody left before being answered: not tried"))
        run = Events().ask(0, "a").attempt(10, "a").left(200, "a", answered=True)
        self.assertEqual(run.result("clean", "says"), (False, "nobody left before being answered: not tried"))
        run = Events().ask(0, "a").left(200, "a").ask(0, "b").attempt(10, "b")
        self.assertEqual(run.result("left", "clean", "says"), (1, False, "no attempt was made for a client that left: not tried"))
        run = Events().ask(0, "a").attempt(10, "a").left(200, "a").attempt(20, "x")
        self.assertEqual(
            run.result("late", "unjoined", "clean", "says"), (0, 1, False, "1 attempts belong to no client that was seen")
        )

    def test_client_that_returns_under_its_id_waits_again_until_it_leaves_again(self):
        run = Events().ask(0, "v1.0h").left(100, "v1.0h").ask(110, "v1.0").attempt(900, "v1.0h")
        self.assertEqual(run.result("after", "late"), (0, 0))
        run.left(1000, "v1.0").attempt(1050, "v1.0").attempt(1200, "v1.0")
        self.assertEqual(run.result("after", "late", "latest_ms"), (2, 1, 200.0))

    def test_attempt_after_its_client_was_answered_and_closed_is_late(self):
        run = Events().ask(0, "a").attempt(10, "a").left(500, "a", answered=True).attempt(700, "a")
        self.assertEqual(run.result("looked_at", "after", "late"), (0, 1, 1))

    def test_only_time_in_which_the_front_was_stopped_is_not_counted(self):
        stopped = Events().ask(0, "a").add("front-paused", 150, front="f").left(200, "a").add("front-goes-on", 1150, front="f")
        self.assertEqual(stopped.attempt(1249, "a").result("late", "latest_ms"), (0, 99.0))
        self.assertEqual(stopped.attempt(1251, "a").result("late", "latest_ms"), (1, 101.0))
        # 50 ms before the stop and 60 ms after it add up to 110 ms
        before = Events().ask(0, "a").left(200, "a").add("front-paused", 250, front="f").add("front-goes-on", 1150, front="f")
        self.assertEqual(before.attempt(1210, "a").result("late", "latest_ms"), (1, 110.0))
        other = Events().ask(0, "a").left(200, "a").add("front-paused", 250, front="g").add("front-goes-on", 1150, front="g")
        self.assertEqual(other.attempt(1150, "a").result("late"), (1,))
        killed = Events().ask(0, "a").add("front-paused", 150, front="f").left(200, "a").add("front-down", 300, front="f")
        self.assertEqual(killed.attempt(401, "a").result("late"), (1,))

    def test_attempt_is_not_late_because_its_server_reads_late(self):
        self.assertEqual(Events().ask(0, "a").attempt(190, "a", read=900).left(200, "a").result("after", "late"), (0, 0))


class ArrivalTime(unittest.TestCase):
    def test_arrival_time_is_when_the_kernel_received_the_bytes_even_if_accepted_and_read_later(self):
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
                    self.assertLessEqual(at, after + 2 * COARSE_CLOCK_TICK_NS + 2 * MS)
                time.sleep(0.05)
                client.sendall(b"second")
                self.assertGreater(arrived_at(accepted), after + 150 * MS)


class AttemptsOfOneFront(unittest.TestCase):
    """A viewer leaves while its attempt is held before the first byte is sent; the hold ends 0.15 s later."""

    async def run_viewer(self, delay_attempt, package, leaves, session_core=None, state=None):
        """Returns the verdict and the number of sessions that the front has afterwards."""
        release, waiting = anyio.Event(), []
        async with SmallSite(servers=2).up(state) as site:
            if session_core is not None:
                site.front.session_core.__class__ = session_core
            with delay_attempt(release, waiting):
                connection = await site.call()
                site.traffic.seen("ask", request="q", front="f")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.send_request, connection, package)
                    await until(lambda: waiting)
                    leaves(connection)
                    site.traffic.seen("left", request="q", front="f", how="closed", answered=False)
                    await anyio.sleep(0.15)
                    release.set()
                    # an attempt that was sent would be recorded well before its time-out
                    await until(lambda: not site.front.server_pool.in_flight)
                    await anyio.sleep(0.05)
                    tasks.cancel_scope.cancel()
                await connection.close()
            return judge_attempts(site.traffic.events), len(site.front.session_core.front_sessions)

    @staticmethod
    async def send_request(connection, package):
        with contextlib.suppress(Exception):
            await connection.ask("POST", f"/whep/{package}/t", [SDP, ("x-request-id", "q")], an_offer())

    @staticmethod
    @contextlib.contextmanager
    def hold_connecting(release, waiting):
        async def held(*args):
            connection = await connect(*args)
            waiting.append(connection)
            await release.wait()
            return connection

        with mock.patch.object(server_pool, "connect", held):
            yield

    @staticmethod
    @contextlib.contextmanager
    def hold_journal_write(release, waiting):
        add = Journal.add

        def held(*args):
            waiting.append(args)
            ends = time.monotonic() + 5
            while not release.is_set() and time.monotonic() < ends:
                time.sleep(0.005)
            return add(*args)

        with mock.patch.object(Journal, "add", held):
            yield

    @async_test
    async def test_no_attempt_begins_if_the_client_leaves_while_the_server_connection_is_being_made(self):
        for leaves in (lambda connection: connection.break_connection(), lambda connection: connection.shut_down_sending()):
            for package in ("clip", "paid"):
                result, standing = await self.run_viewer(self.hold_connecting, package, leaves)
                self.assertEqual((result["left"], result["attempts"], standing), (1, 0, 0))

    @async_test
    async def test_no_attempt_begins_if_the_client_leaves_while_the_journal_is_being_written(self):
        with tempfile.TemporaryDirectory() as folder:
            result, standing = await self.run_viewer(
                self.hold_journal_write, "paid", lambda connection: connection.shut_down_sending(), state=Path(folder)
            )
        self.assertEqual((result["left"], result["attempts"], standing), (1, 0, 0))

    @async_test
    async def test_front_that_ignores_leaving_clients_is_detected(self):
        result, _ = await self.run_viewer(
            self.hold_connecting,
            "clip",
            lambda connection: connection.shut_down_sending(),
            session_core=SessionCoreIgnoringHangUps,
        )
        self.assertEqual((result["late"], result["clean"]), (1, False), result)
        self.assertGreater(result["latest_ms"], 140)

    @async_test
    async def test_server_that_accepts_late_gets_no_attempt_of_a_client_that_left_unless_the_front_ignores_leaving(self):
        for session_core, attempts in ((None, 0), (SessionCoreIgnoringHangUps, 1)):
            async with SmallSite(servers=1, patience=4 * 1000 * MS).up() as site:
                if session_core is not None:
                    site.front.session_core.__class__ = session_core
                [server] = site.servers.values()
                await server.pause_accepting()
                connection = await site.call()
                site.traffic.seen("ask", request="q", front="f")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.send_request, connection, "clip")
                    await until(lambda: site.front.server_pool.in_flight)
                    await anyio.sleep(0.1)
                    connection.shut_down_sending()
                    site.traffic.seen("left", request="q", front="f", how="shut-down", answered=False)
                    await anyio.sleep(0.1)
                    server.resume_accepting()
                    await until(lambda: not site.front.server_pool.in_flight)
                    await anyio.sleep(0.05)
                    tasks.cancel_scope.cancel()
                await connection.close()
                result = judge_attempts(site.traffic.events)
                self.assertEqual((result["left"], result["attempts"], result["late"]), (1, attempts, attempts), result)


class LeaversCommand(unittest.TestCase):
    """Runs `curlewshift leavers` with the node as a separate process: without faults, and with a planted fault that ignores some
    kinds of leaving."""

    FAULTS = {
        "deaf-to-ends": ("closed", "reset", "shut-down"),
        "deaf-to-cancels": ("cancelled",),
        "deaf-to-leaving": ("closed", "reset", "shut-down", "cancelled"),
    }

    def test_node_without_faults_begins_nothing_late_and_each_ignored_kind_of_leaving_is_detected(self):
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
            outputs = {sabotage: run.communicate(timeout=60) for sabotage, run in runs.items()}
            verdicts = {
                sabotage: json.loads((Path(folder) / (sabotage or "sound") / "verdict.json").read_text()) for sabotage in runs
            }
        healthy = verdicts.pop("")
        judged = healthy["attempts_after_leaving"]
        self.assertEqual(
            (judged["late"], judged["unjoined"], judged["clean"], healthy["unanswered"]), (0, 0, True, 0), outputs[""]
        )
        self.assertEqual(healthy["faults"], {}, healthy)
        self.assertGreater(min(judged["left"], healthy["played"], healthy["refused"]), 5, healthy)
        for sabotage, verdict in verdicts.items():
            judged = verdict["attempts_after_leaving"]
            self.assertEqual((judged["clean"], runs[sabotage].returncode), (False, 1), outputs[sabotage])
            self.assertGreater(judged["late"], 0, judged)
            for how in self.FAULTS[sabotage]:
                self.assertGreater(judged["ways"].get(how, 0), 0, (sabotage, judged))

    def test_unknown_sabotage_exits_with_2(self):
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
