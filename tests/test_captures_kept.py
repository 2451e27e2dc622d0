"""Captures of failures that occurred are replayed with the same decisions, in several processes with different hash seeds; other
policies are compared on them; and captures are stored, removed and indexed."""

import itertools
import os
import subprocess
import sys
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

import msgspec
from click.testing import CliRunner

from curlewshift.baselines.baselines import BASELINES
from curlewshift.capture.against import Compared, NoSuchPolicy, asked_of, policy
from curlewshift.capture.index import Indexer, in_words
from curlewshift.capture.records import InvalidCapture
from curlewshift.capture.replay import Replay
from curlewshift.capture.retention import DAY, StoredCapture, captures_to_remove
from curlewshift.capture.store import CaptureWriter, index_of, read_capture, remove_old_captures, segments_of
from curlewshift.commands.main import main
from curlewshift.rules import Rules
from tests.test_capture import captured_run

ROOT = Path(__file__).resolve().parents[1]
CAPTURES = sorted((ROOT / "examples" / "captures").glob("*.zst"))
REPLAY = """
import sys
from pathlib import Path
from curlewshift.capture.replay import Replay
from curlewshift.capture.store import read_capture
from curlewshift.rules import Rules
class Planted(Rules):
    def _place(self, viewing):
        by_name = {server.name: server for server in self._open_to(viewing)}
        if by_name and not viewing.tune_ins:
            self._tune_in(viewing, by_name[next(iter(set(by_name)))], viewing.package.floor)
        else:
            self._block(viewing)
for path in sys.argv[2:]:
    records, damage = read_capture(Path(path))
    result = Replay(records, rules=Planted if sys.argv[1] == "planted" else Rules).run()
    print(Path(path).name, damage, result.told, result.did, result.difference)
"""


def replay_process(hash_seed, rules="current"):
    """A process that replays all captures and prints a line for each."""
    return subprocess.Popen(
        [sys.executable, "-c", REPLAY, rules, *map(str, CAPTURES)],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
    )


class StoredExamples(unittest.TestCase):
    def test_the_same_decisions_in_five_processes_over_five_hash_seeds(self):
        self.assertGreater(len(CAPTURES), 5)
        outputs = [run.communicate(timeout=60)[0] for run in [replay_process(seed) for seed in range(5)]]
        self.assertEqual(len(set(outputs)), 1)
        lines = outputs[0].splitlines()
        self.assertEqual(len(lines), len(CAPTURES))
        for line in lines:
            self.assertTrue(line.endswith(" None"), line)

    def test_a_decision_that_depends_on_the_order_of_a_set_is_found(self):
        outputs = {run.communicate(timeout=60)[0] for run in [replay_process(seed, "planted") for seed in range(4)]}
        self.assertGreater(len(outputs), 1)


class Against(unittest.TestCase):
    def setUp(self):
        self.records = read_capture(ROOT / "examples" / "captures" / "a-crowd-and-crashes.zst")[0]

    def compare(self, other):
        compared = Compared()
        result = Replay(self.records, rules=asked_of(other, compared)).run()
        # the comparison does not change the decisions of the replay
        self.assertIsNone(result.difference)
        return compared

    def test_the_rules_against_themselves_are_the_same_at_each_placing(self):
        compared = self.compare(Rules)
        self.assertGreater(compared.placings, 30)
        self.assertEqual(dict(compared.kinds), {"the same": compared.placings})

    def test_every_baseline_can_be_compared_and_differs(self):
        for name, baseline in BASELINES.items():
            compared = self.compare(baseline)
            self.assertLess(compared.kinds["the same"], compared.placings, name)
            self.assertTrue(compared.examples, name)

    def test_an_unknown_policy_is_refused(self):
        for name in ("nonsense", "--all", ""):
            with self.assertRaises(NoSuchPolicy):
                policy(name)

    def test_rules_that_use_names_this_version_lacks_are_refused(self):
        placed = []

        class MissingAttribute(Rules):
            __module__ = "rules at 1a2b3c4"

            def _place(self, viewing):
                placed.append((self, self.chance, viewing, self.unproven_left, viewing.rung, viewing.ended))
                self.unproven_left, viewing.rung, viewing.ended = -1.0, 99, True
                return self.no_such_attribute

        class MissingKeyword(Rules):
            __module__ = "rules at 1a2b3c4"

            def _place(self, viewing):
                self._room(viewing.holders[0], no_such_keyword=1)

        for other, name in ((MissingAttribute, "no_such_attribute"), (MissingKeyword, "no_such_keyword")):
            compared = Compared()
            with self.assertRaises(NoSuchPolicy) as refused:
                Replay(self.records, rules=asked_of(other, compared)).run()
            text = str(refused.exception)
            self.assertTrue(text.startswith("the rules of 1a2b3c4 use names that this version no longer has: "), text)
            self.assertIn(name, text)
            self.assertEqual(compared.placings, 0)
        # the state that the other rules changed is restored
        [(rules, shadow_rng, viewing, *before)] = placed
        self.assertEqual([rules.unproven_left, viewing.rung, viewing.ended], before)
        self.assertIsNot(rules.chance, shadow_rng)
        self.assertNotIsInstance(rules, MissingAttribute)

        with mock.patch("curlewshift.capture.against.policy", lambda name: MissingAttribute):
            log = str(ROOT / "examples" / "captures" / "a-crowd-and-crashes.zst")
            run = CliRunner().invoke(main, ["replay", log, "--against", "1a2b3c4"])
        self.assertEqual(run.exit_code, 2, run.output)
        self.assertTrue(
            run.stderr.startswith("curlewshift: the rules of 1a2b3c4 use names that this version no longer has"), run.stderr
        )
        self.assertEqual(run.stderr.count("\n"), 1)


class RemovalOfOldCaptures(unittest.TestCase):
    def test_by_age_and_by_size_the_oldest_first_and_never_the_one_being_written(self):
        now = 100 * DAY
        lives = [StoredCapture(str(number), now - number * DAY, 10) for number in range(10)]
        self.assertEqual(captures_to_remove(lives, "9", now, retention=5 * DAY), ["8", "7", "6"])
        self.assertEqual(captures_to_remove(lives, "0", now, 1000 * DAY, max_total_bytes=35), ["9", "8", "7", "6", "5", "4", "3"])
        self.assertEqual(captures_to_remove(lives, "9", now, 1000 * DAY, max_total_bytes=5)[-1], "0")

    def test_a_clock_that_was_set_back_removes_nothing(self):
        self.assertEqual(captures_to_remove([StoredCapture("a", 50 * DAY, 1)], "b", 10 * DAY), [])

    def test_only_captures_are_removed(self):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            for life in ("a", "b"):
                (folder / life).mkdir()
                (folder / life / "000001.capture").write_bytes(b"x")
                os.utime(folder / life / "000001.capture", (1, 1))
            (folder / "a" / "notes.txt").write_text("mine")
            (folder / "other").mkdir()
            self.assertEqual(remove_old_captures(folder, "b"), ["a"])
            self.assertEqual(sorted(path.name for path in folder.rglob("*")), ["000001.capture", "a", "b", "notes.txt", "other"])

    def test_a_new_life_removes_captures_that_are_too_old(self):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            for life in ("old", "late"):
                (folder / life).mkdir()
                (folder / life / "000001.capture").write_bytes(b"x")
            os.utime(folder / "old" / "000001.capture", (1, 1))
            writer = CaptureWriter(folder / "now", lambda reason: None)
            writer.note([0])
            writer.close()
            self.assertEqual(sorted(path.name for path in folder.iterdir()), ["late", "now"])


class PackedSegments(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "life"
        self.records = msgspec.msgpack.decode(msgspec.msgpack.encode(captured_run(3)[0]))
        self.end_reasons = []

    def write(self, segment):
        writer = CaptureWriter(self.folder, self.end_reasons.append, segment=segment, together=0.0)
        for record in self.records:
            writer.note(record)
            # the writer writes all waiting records together, and ends a segment only between two writes: one record a write
            wait_until_idle(writer)
        writer.close()

    def test_segments_are_packed_and_indexed_and_read_as_one(self):
        self.write(4000)
        segments = segments_of(self.folder)
        self.assertGreater(len(segments), 3)
        self.assertEqual({segment.suffix for segment in segments}, {".zst"})
        self.assertEqual(read_capture(self.folder.parent)[0], self.records)
        indexer = Indexer()
        indexes = [index_of(segment, indexer) for segment in segments]
        self.assertEqual(sum(index.records for index in indexes), len(self.records))
        all_segments = Indexer()
        viewings = [all_segments.add(record) for record in self.records]
        self.assertEqual(
            {viewing for index in indexes for viewing in index.viewings}, {viewing for viewing in viewings if viewing is not None}
        )
        self.assertTrue(all(before.last <= after.first for before, after in itertools.pairwise(indexes)))

    def test_a_lost_or_damaged_index_is_made_again(self):
        self.write(10**9)
        segment = segments_of(self.folder)[0]
        before = index_of(segment, Indexer())
        segment.with_suffix(".index").write_bytes(b"{")
        self.assertEqual(index_of(segment, Indexer()), before)
        segment.with_suffix(".index").unlink()
        self.assertEqual(index_of(segment, Indexer()), before)

    def test_a_damaged_packed_segment_is_reported(self):
        self.write(10**9)
        segment = segments_of(self.folder)[0]
        raw = bytearray(segment.read_bytes())
        raw[4] ^= 0xFF
        segment.write_bytes(raw)
        with self.assertRaises(InvalidCapture):
            read_capture(self.folder)

    def test_a_kill_while_a_segment_is_packed_loses_nothing(self):
        self.write(10**9)
        segment = segments_of(self.folder)[0]
        packed = segment.read_bytes()
        plain = segment.with_suffix(".capture")
        from curlewshift.capture.store import read_segment

        plain.write_bytes(read_segment(segment).raw)
        segment.unlink()
        segment.with_suffix(".new").write_bytes(packed[:100])
        self.assertEqual(read_capture(self.folder)[0], self.records)

    def test_every_record_has_a_text_for_people(self):
        for record in self.records[1:]:
            self.assertTrue(in_words(record, 0).strip())

    def test_the_newest_life_is_read(self):
        for name, life in (("20260101T000000Z-f.1", self.records[:5]), ("20260102T000000Z-f.2", self.records[:9])):
            writer = CaptureWriter(self.folder / name, self.end_reasons.append)
            for record in life:
                writer.note(record)
            writer.close()
        self.assertEqual(len(read_capture(self.folder)[0]), 9)


def wait_until_idle(writer):
    """Waits until no record waits for the writer's thread."""
    for _ in range(2000):
        with writer.background.wake:
            if not writer.background.waiting:
                return
        threading.Event().wait(0.0005)
    raise AssertionError("the writer did not write all records within its time")


if __name__ == "__main__":
    unittest.main()
