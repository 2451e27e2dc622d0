"""The judge of attempts that begin for clients that have left: by days made up for it, and by real sockets."""

import socket
import time
import unittest

from curlewshift.standins.traffic import TICK, arrived_at
from curlewshift.verdict.attempts import judge_attempts

MS = 1_000_000


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
        self.assertEqual(day.told("late", "unjoined", "clean", "says"), (0, 1, False, "1 attempts belong to no client that was seen"))

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


if __name__ == "__main__":
    unittest.main()
