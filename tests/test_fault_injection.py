"""Short fault injection runs from end to end, with processes as users start them, with and without a planted fault."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
SCRIPT = """<rehearsal site="small-site.xml" lasts="9s" seed="4">
  <viewers each-second="8" come-again="0.9" hang-up-and-retry="0.1">
    <wants package="receipt" share="0.4" watches="3s"/>
    <wants package="review" share="0.3" watches="3s"/>
    <wants package="lesson" share="0.3" watches="3s"/>
  </viewers>
  <trouble kind="crash" at="1s" lasts="2s" part="0.2"/>
  <trouble kind="answer-lost" at="2s" lasts="2s" part="0.2"/>
  <trouble kind="front-crash" at="3s" lasts="1s" part="0.3"/>
  <trouble kind="preempt" at="4s" lasts="3s" part="0.2"/>
</rehearsal>
"""


class FaultInjectionRuns(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "day.xml").write_text(SCRIPT)
        (self.folder / "small-site.xml").write_text((ROOT / "examples" / "small-site.xml").read_text())

    def rehearse(self, *more):
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "curlewshift",
                "rehearse",
                str(self.folder / "day.xml"),
                "--out",
                str(self.folder / "-".join(["out", *more[1:2]])),
                *more,
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def test_short_run_keeps_the_rules_and_sabotage_is_detected(self):
        kept, sabotaged = self.rehearse(), self.rehearse("--sabotage", "lose-answer")
        output = [run.communicate(timeout=100) for run in (kept, sabotaged)]
        verdict = json.loads((self.folder / "out" / "verdict.json").read_text())
        self.assertEqual((kept.returncode, [rule["broken"] for rule in verdict["rules"].values()]), (0, [0] * 6), output)
        self.assertGreater(verdict["requests"], 40)
        self.assertEqual((verdict["duplicates"], verdict["unanswered"], verdict["late"]), (0, 0, 0))
        self.assertGreater(verdict["service"], 0.5)
        for number in "1235":
            self.assertGreater(verdict["rules"][number]["applied"], 0, number)
        self.assertIn("<svg", (self.folder / "out" / "day.svg").read_text())
        verdict = json.loads((self.folder / "out-lose-answer" / "verdict.json").read_text())
        self.assertEqual(sabotaged.returncode, 1, output)
        self.assertGreater(verdict["rules"]["1"]["broken"], 0)

    def test_mix_of_faults_is_determined_by_its_seed_and_replays_without_difference(self):
        from curlewshift.fault_injection.mix import mixed_script

        base = self.folder / "day.xml"
        first, again, other = (
            mixed_script(base, ["hang", "front-crash"], seed, self.folder / name).read_text()
            for name, seed in (("a", 1), ("b", 1), ("c", 2))
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first, other.replace('seed="2"', 'seed="1"'))
        with self.assertRaises(ValueError):
            mixed_script(base, ["boredom"], 1, self.folder / "d")
        run = self.rehearse("--trouble", "front-crash,answer-lost", "--capture")
        output = run.communicate(timeout=100)
        out = next(self.folder.glob("out-*"))
        verdict = json.loads((out / "verdict.json").read_text())
        self.assertEqual((run.returncode, verdict["troubles"]), (0, ["answer-lost", "front-crash"]), output)
        self.assertEqual([life["difference"] for life in verdict["replays"].values()], [""] * len(verdict["replays"]))
        self.assertGreater(len(verdict["replays"]), 3)
        self.assertGreater(sum(life["did"] for life in verdict["replays"].values()), 50)

    def test_script_with_an_unknown_trouble_kind_exits_with_status_2(self):
        (self.folder / "day.xml").write_text(SCRIPT.replace('kind="crash"', 'kind="boredom"'))
        run = self.rehearse()
        _, errors = run.communicate(timeout=60)
        self.assertEqual(run.returncode, 2)
        self.assertIn("day.xml:7: trouble: kind should be one of burst", errors)


if __name__ == "__main__":
    unittest.main()
