"""A replay of a capture makes the same decisions, wherever the capture ends, and finds a change of one decision."""

import random
import tempfile
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

from curlewshift.capture.records import MAGIC, InvalidCapture, Reading, frame
from curlewshift.capture.replay import Replay
from curlewshift.capture.store import CaptureWriter, read_capture
from curlewshift.capture.tap import DID, TOLD, tapped
from curlewshift.model import Outcome
from curlewshift.peaks.calendar import Calendar
from curlewshift.rules import Rules
from curlewshift.session_core.session_core import KeyReused, SessionCore
from tests import fake_driver
from tests.fake import MS, SECOND
from tests.fake_driver import PACKAGES, FakeDriver

FAILED = [Outcome.ERROR, Outcome.FULL, Outcome.SILENT, Outcome.UNREACHED, Outcome.BROKEN]


def captured_run(seed, steps=400, **options):
    """A random run of one front, captured. Returns its records and its driver."""
    records = []
    with mock.patch.object(fake_driver, "SessionCore", tapped(SessionCore, records.append)):
        driver = FakeDriver(calendar=Calendar(PACKAGES), **options)
    rng, requests, session_core = random.Random(seed), [], driver.session_core
    for _ in range(steps):
        event = rng.randrange(14)
        front_sessions = list(session_core.front_sessions.values())
        if event < 4:
            try:
                requests.append(
                    driver.ask(
                        rng.choice(["clip", "paid", "lesson"]),
                        rng.choice(["t1", "t2", "t3"]),
                        rng.choice([None, None, "k1", "k2"]),
                        rng.choice(["o1", "o1", "o2"]),
                    )
                )
            except KeyReused:
                pass
        elif event < 8 and driver.out:
            outcome = rng.choice(FAILED + [Outcome.PLAYED] * 8)
            driver.ends(rng.choice(driver.out), outcome)
        elif event == 8 and requests:
            session_core.hung_up(rng.choice(requests))
        elif event == 9 and front_sessions:
            getattr(session_core, rng.choice(["closed", "lost"]))(rng.choice(front_sessions))
        elif event == 10:
            server = driver.server(f"s{rng.randrange(4)}") if session_core.server_list.servers else None
            if server:
                session_core.told(server, {"link": rng.random() * 1.3, "uplink": rng.random()})
                if rng.random() < 0.2:
                    session_core.delivered(server, rng.random())
        elif event == 11:
            driver.change(
                driver.row(
                    f"s{rng.randrange(4)}",
                    rng.choice(["on", "on", "fading"]),
                    "abcd"[rng.randrange(4)],
                    rng.choice([SECOND, driver.clock]),
                )
            )
        elif event == 12 and driver.session_ends:
            session_core.session_ended(driver.session_ends.pop(), rng.random() < 0.7)
        else:
            driver.advance(rng.choice([0, 0, MS, 300 * MS, SECOND, 4 * SECOND]))
    return records, driver


def log_of(records):
    """The records as one segment."""
    return MAGIC + b"".join(frame(record) for record in records)


class SameDecisions(unittest.TestCase):
    def test_three_replays_make_the_same_decisions(self):
        for seed in range(8):
            records, _ = captured_run(seed)
            read = list(Reading(log_of(records)))
            runs = [Replay(read).run() for _ in range(3)]
            self.assertEqual([str(run.difference) for run in runs], ["None"] * 3, seed)
            self.assertEqual(
                {(run.told, run.did) for run in runs}, {(sum(row[0] == TOLD for row in read), sum(row[0] == DID for row in read))}
            )
            self.assertGreater(runs[0].did, 50)

    def test_with_a_peak_on_the_calendar_and_a_wall_clock_step(self):
        records = []
        with mock.patch.object(fake_driver, "SessionCore", tapped(SessionCore, records.append)):
            driver = FakeDriver(calendar=Calendar(PACKAGES))
        from tests.test_peaks import peak

        driver.session_core.announce(peak(starts=driver.wall() + SECOND, ends=driver.wall() + 9 * SECOND))
        driver.advance(3 * SECOND)
        for number in range(20):
            driver.ask(("clip", "lesson")[number % 2], "t3")
        driver.wall_offset = 100 * SECOND
        driver.advance(3 * SECOND)
        self.assertIsNone(Replay(Reading(log_of(records))).run().difference)

    def test_calls_of_one_instant_keep_their_order(self):
        records, driver = [], None
        with mock.patch.object(fake_driver, "SessionCore", tapped(SessionCore, records.append)):
            driver = FakeDriver()
        first, second = driver.ask("paid"), driver.ask("paid")
        tune_in = driver.out[0]
        driver.clock = tune_in.until
        driver.ends(tune_in, Outcome.PLAYED, "s")
        driver.advance(0)
        self.assertNotEqual(driver.answers[first].kind, driver.answers[second].kind)
        self.assertIsNone(Replay(Reading(log_of(records))).run().difference)


class DifferencesFound(unittest.TestCase):
    def test_other_rules_are_found_at_the_first_decision_that_differs(self):
        records, _ = captured_run(1)

        class Other(Rules):
            def _room(self, server, rate=0.0, bound=3.09, viewing=None):
                return -super()._room(server, rate, bound, viewing)

        run = Replay(records, rules=Other).run()
        self.assertIn(run.difference.what, ("tune_in", "answer"))
        self.assertNotEqual(run.difference.logged, run.difference.actual)
        self.assertIn("the log has", str(run.difference))
        self.assertLess(run.told, sum(row[0] == TOLD for row in records))

    def test_one_changed_record_is_found(self):
        records, _ = captured_run(2)
        at = next(number for number, row in enumerate(records) if row[0] == DID and row[1] == "tune_in" and number > 40)
        changed = [list(row) for row in records]
        changed[at][2] = [*changed[at][2][:4], changed[at][2][4] + 1, changed[at][2][5]]
        run = Replay(changed).run()
        self.assertEqual((run.difference.record, run.difference.what), (at, "tune_in"))

    def test_one_viewing_is_explained(self):
        records, _ = captured_run(3)
        viewing = next(row[2][1] for row in records if row[0] == DID and row[1] == "tune_in")
        text = "\n".join(Replay(records, viewing=viewing).run().explained)
        for part in ("rungs", "own use", "pass the test", "so: s"):
            self.assertIn(part, text)

    def test_a_replay_until_a_time(self):
        records, _ = captured_run(4)
        until = [row[1] for row in records if row[0] == TOLD][100]
        run = Replay(records, until=until).run()
        self.assertLessEqual(run.until, until)
        self.assertLess(run.told, sum(row[0] == TOLD for row in records))


class StoredCaptures(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.end_reasons = Path(folder.name) / "capture", []

    def test_segments_are_read_back_as_one_and_replayed(self):
        records, _ = captured_run(9)
        writer = CaptureWriter(self.folder, self.end_reasons.append, segment=2000, together=0.0)
        for record in records:
            writer.note(record)
            if len(writer.background.waiting) > 20:
                time.sleep(0.001)
        writer.close()
        read, damage = read_capture(self.folder)
        self.assertEqual((len(read), damage, self.end_reasons), (len(records), "", []))
        self.assertIsNone(Replay(read).run().difference)

    def test_a_used_up_budget_and_a_full_disk_end_the_capture(self):
        records, _ = captured_run(9)
        writer = CaptureWriter(self.folder, self.end_reasons.append, budget=5000)
        for record in records:
            writer.note(record)
        writer.close()
        self.assertEqual(len(self.end_reasons), 1)
        self.assertIn("budget", self.end_reasons[0])
        writer = CaptureWriter(self.folder, self.end_reasons.append)
        with mock.patch.object(writer, "_append", side_effect=lambda raw: writer._end("it cannot be written: No space")):
            writer.note(records[0])
            writer.note(records[1])
            writer.close()
        self.assertEqual(len(self.end_reasons), 2)

    def test_a_stalled_disk_blocks_nobody(self):
        writer = CaptureWriter(self.folder, self.end_reasons.append)
        disk_works = threading.Event()
        with mock.patch.object(writer, "_append", side_effect=lambda raw: disk_works.wait(5)):
            large = [TOLD, 0, 0, "asked", ["x" * 100_000], {}]
            began = time.monotonic()
            for _ in range(400):
                writer.note(large)
            self.assertLess(time.monotonic() - began, 2)
            self.assertIn("slower", self.end_reasons[0])
            disk_works.set()
            writer.close()


class DamagedCaptures(unittest.TestCase):
    def test_a_truncated_log_is_replayed_up_to_the_damage_and_reports_it(self):
        raw = log_of(captured_run(5, steps=60)[0])
        rng = random.Random(1)
        for cut in [len(MAGIC), len(raw) - 1, *(rng.randrange(len(MAGIC), len(raw)) for _ in range(40))]:
            reading = Reading(raw[:cut], "log")
            records = list(reading)
            if records:
                self.assertIsNone(Replay(records).run().difference, cut)
            complete = len(MAGIC + b"".join(frame(record) for record in records)) == cut
            self.assertEqual(reading.damage == "", complete)

    def test_reading_ends_at_a_flipped_bit(self):
        records, _ = captured_run(6, steps=60)
        raw = bytearray(log_of(records))
        raw[len(raw) // 2] ^= 8
        reading = Reading(bytes(raw), "log")
        read = list(reading)
        self.assertLess(len(read), len(records))
        self.assertEqual(read, list(Reading(log_of(records)))[: len(read)])
        self.assertIn("log: ", reading.damage)

    def test_a_file_that_is_not_a_capture_is_refused(self):
        for raw in (b"", b"hello", MAGIC[:-3]):
            with self.assertRaises(InvalidCapture):
                Reading(raw)


if __name__ == "__main__":
    unittest.main()
