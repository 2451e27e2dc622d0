"""State on disk after kills, torn writes and full disks: what was promised before still holds."""

import errno
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import anyio

from curlewshift.capture.records import MAGIC, frame
from curlewshift.exchange.client import ConnectionBroken, ask
from curlewshift.model import Outcome
from curlewshift.state.intents import BEGAN, ENDED, RETENTION, Intent, Intents
from curlewshift.state.journal import FolderInUse, Journal, Lock, WriteFailed
from tests.fake import SECOND
from tests.sockets import SDP, SmallSite, an_offer, async_test, until

ROOT = Path(__file__).resolve().parents[1]


def intent(key="k", until=100 * SECOND):
    return Intent(key, "offer", "whep", "paid", "t", "s", until)


class IntentLog(unittest.TestCase):
    def test_only_proof_that_nothing_ran_closes_an_intent(self):
        for outcome in Outcome:
            intents = Intents()
            record = intents.began(intent())
            closing = intents.ended("k", outcome)
            proof = outcome in (Outcome.FULL, Outcome.UNREACHED, Outcome.UNSENT)
            self.assertEqual(closing, [ENDED, "k"] if proof else None)
            restored = Intents().restore([record, *([closing] if closing else [])], 0)
            self.assertEqual(restored, [] if proof else [intent()], outcome)

    def test_second_attempt_with_a_key_reopens_its_intent(self):
        intents = Intents()
        records = [intents.began(intent()), intents.ended("k", Outcome.FULL), intents.began(intent())]
        self.assertEqual(Intents().restore(records, 0), [intent()])

    def test_expired_intents_are_dropped_and_the_log_is_rewritten(self):
        intents = Intents()
        for number in range(3000):
            intents.began(intent(str(number), until=number * SECOND))
        self.assertFalse(intents.stale())
        intents.forget(2990 * SECOND + RETENTION)
        self.assertTrue(intents.stale())
        anew = intents.snapshot()
        self.assertEqual((len(anew), intents.stale()), (9, False))
        self.assertEqual(len(Intents().restore(anew, 2990 * SECOND)), 9)

    def test_unknown_records_close_no_intent(self):
        records = [Intents().began(intent()), ["novel", 1], [ENDED], [BEGAN, "x"], []]
        self.assertEqual(Intents().restore(records, 0), [intent()])


class JournalOnDisk(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "log"

    def filled(self, count=5):
        journal = Journal(self.path)
        for number in range(count):
            journal.add(["r", number], True)
        return journal

    def test_kill_after_any_byte_leaves_the_complete_records(self):
        self.filled().close()
        raw = self.path.read_bytes()
        for cut in range(len(raw)):
            self.path.write_bytes(raw[:cut])
            journal = Journal(self.path)
            expected = [
                ["r", number] for number in range(5) if len(MAGIC + b"".join(frame(["r", n]) for n in range(number + 1))) <= cut
            ]
            self.assertEqual(journal.records, expected, cut)
            journal.add(["more"], True)
            journal.close()
            restored = Journal(self.path)
            self.assertEqual(restored.records, [*expected, ["more"]], cut)
            restored.close()

    def test_flipped_bit_is_reported_and_the_file_is_kept(self):
        self.filled().close()
        original = self.path.read_bytes()
        for at in range(len(MAGIC), len(original) - len(frame(["r", 4]))):
            raw = bytearray(original)
            raw[at] ^= 1
            self.path.write_bytes(raw)
            journal = Journal(self.path)
            self.assertIn("put aside", journal.damage, at)
            self.assertLess(len(journal.records), 5)
            self.assertEqual(self.path.with_name("log.damaged").read_bytes(), bytes(raw))
            journal.close()

    def test_short_write_is_undone(self):
        journal = self.filled(2)
        write = os.write
        with mock.patch("os.write", lambda file, raw: write(file, raw[:3])), self.assertRaises(WriteFailed):
            journal.add(["lost"], True)
        journal.add(["kept"], True)
        journal.close()
        self.assertEqual(Journal(self.path).records, [["r", 0], ["r", 1], ["kept"]])

    def test_full_disk_refuses_new_records_and_loses_no_old_ones(self):
        journal = self.filled(2)
        full = OSError(errno.ENOSPC, "No space left on device")
        with mock.patch("os.write", side_effect=full), self.assertRaises(WriteFailed) as found:
            journal.add(["lost"], True)
        self.assertIn("No space left", str(found.exception))
        journal.add(["kept"], True)
        self.assertEqual(Journal(self.path).records[-1], ["kept"])

    def test_after_a_failed_flush_every_write_fails(self):
        journal = self.filled(2)
        with mock.patch("os.fsync", side_effect=OSError(errno.EIO, "Input/output error")), self.assertRaises(WriteFailed):
            journal.add(["perhaps"], True)
        with self.assertRaises(WriteFailed):
            journal.add(["not trusted"], True)

    def test_rewritten_log_is_complete_or_the_old_one_stays(self):
        journal = self.filled(5)
        with mock.patch("os.replace", side_effect=OSError("killed")), self.assertRaises(WriteFailed):
            journal.rewrite([["new"]])
        self.assertEqual(len(Journal(self.path).records), 5)
        journal.rewrite([["new"]])
        journal.add(["after"], True)
        self.assertEqual(Journal(self.path).records, [["new"], ["after"]])

    def test_folder_is_locked_by_one_process(self):
        first = Lock(self.path.parent)
        with self.assertRaises(FolderInUse):
            Lock(self.path.parent)
        first.release()
        Lock(self.path.parent).release()


class CrashRecovery(unittest.TestCase):
    @async_test
    async def test_paid_set_up_interrupted_by_a_kill_is_never_repeated(self):
        """The front, a process of its own, is killed while the server works on a paid set-up. After a restart the client's
        retry must not make a second set-up."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            async with SmallSite(servers=1, patience=4 * SECOND).up() as site:
                self._write_site(folder, site)
                offer, key = an_offer(), [("idempotency-key", "k")]
                site.servers["s0"].freeze()
                front = await self._start(folder)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._kill_when, front, lambda: site.traffic.all("setup"))
                    with self.assertRaises(ConnectionBroken):
                        await self._post("paid", offer, key)
                site.servers["s0"].unfreeze()
                front = await self._start(folder)
                try:
                    answered = await self._post("paid", offer, key)
                    self.assertEqual(answered.status, 502)
                    self.assertIn(b"may have run", answered.body)
                    self.assertEqual(len(site.traffic.all("setup")), 1)
                    other = await self._post("paid", an_offer(), key)
                    self.assertEqual(other.status, 422)
                    with anyio.fail_after(8):
                        while (await self._post("paid", an_offer(), [])).status != 201:
                            await anyio.sleep(0.3)
                finally:
                    front.kill()
                    front.wait()

    @async_test
    async def test_set_up_without_a_stored_intent_is_not_begun(self):
        with tempfile.TemporaryDirectory() as name:
            async with SmallSite(servers=1).up(Path(name)) as site:
                self.assertEqual((await site.ask("paid")).status, 201)
                with mock.patch.object(site.front.journal, "add", side_effect=WriteFailed("no space")):
                    refused = await site.ask("paid")
                    self.assertEqual(refused.status, 503)
                    self.assertEqual((await site.ask("clip")).status, 201)
                self.assertEqual(len(site.traffic.all("setup")), 2)

    def test_second_front_on_a_folder_is_refused(self):
        with tempfile.TemporaryDirectory() as name:
            lock = Lock(Path(name))
            ran = subprocess.run(
                [sys.executable, "-m", "curlewshift", "front", "examples/small-site.xml", "--state", name],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=30,
            )
            lock.release()
        self.assertEqual((ran.returncode, "another front has" in ran.stderr), (2, True), ran.stderr)

    # ---- a front as a separate process

    def _write_site(self, folder, site):
        import random

        from curlewshift.fault_injection.processes import free_ports

        self.port = free_ports(1, random.Random())[0]
        (folder / "site.xml").write_text(f"""<site name="kill">
  <fronts><front name="f" listen="127.0.0.1:{self.port}"/></fronts>
  <list address="127.0.0.1:{site.site.list_at[1]}"/>
  <ladder><rung rate="100kB/s"/><rung rate="200kB/s"/><rung rate="400kB/s"/></ladder>
  <packages><package name="paid" value="1" join-target="1s" patience="4s" paid-at-setup="true"/></packages>
  <racks><rack name="r" uplink="100MB/s"><server shelf="s0" listen="127.0.0.1:1" link="10MB/s" streams="50"/></rack></racks>
  <catalogue><title name="t" shelves="s0"/></catalogue>
  <obligations><answers way-back="100ms" longest-wait="2s" most-tune-ins="3"/><drains grace="2s"/>
    <cold-servers warm-within="1s" start-capacity="0.5" fall-multiple="20" fall-within="1s"/>
    <news told-late="200ms" told-every="1s" probes="false" uplinks="true"/></obligations>
</site>""")

    async def _start(self, folder):
        from curlewshift.fault_injection.processes import listens

        front = subprocess.Popen(
            [sys.executable, "-m", "curlewshift", "front", str(folder / "site.xml"), "--state", str(folder / "state")],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(front.kill)
        assert await listens(self.port, 20)
        await anyio.sleep(0.5)
        return front

    async def _kill_when(self, front, what):
        await until(what, 10)
        front.send_signal(signal.SIGKILL)
        await anyio.to_thread.run_sync(front.wait)

    async def _post(self, pack, offer, headers):
        return await ask("127.0.0.1", self.port, "POST", f"/whep/{pack}/t", [SDP, *headers], offer, within=10)


if __name__ == "__main__":
    unittest.main()
