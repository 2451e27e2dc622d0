"""Experiments and searches: definitions, stored runs, comparisons and findings."""

import sqlite3
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from curlewshift.baselines.baselines import BASELINES
from curlewshift.emulator.sizes import made_up
from curlewshift.emulator.world import World
from curlewshift.experiments.experiment import read_experiment
from curlewshift.experiments.one_run import execute_run
from curlewshift.experiments.report import write_report
from curlewshift.experiments.runner import run_missing
from curlewshift.experiments.store import RunStore, StoreLocked
from curlewshift.experiments.table import cells, interval
from curlewshift.search.search import evaluate, milder_scripts, mutate, search, shrink
from curlewshift.search.writing import write_result
from curlewshift.site.reading import SiteErrors
from curlewshift.standins.script import read_script, usual

ROOT = Path(__file__).resolve().parents[1]
SMALL = """<experiment name="small" seeds="2" fronts="2" servers="6" viewings="120" lasts="12" load="0.8" baseline="rules">
  <question>Is it asked?</question>
  <factor name="load" levels="0.5 2"/>
  <factor name="policy" levels="rules random"/>
  <measure name="service"/>
  <measure name="rules-broken"/>
</experiment>
"""


class ExperimentRuns(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def read(self, text=SMALL):
        (self.folder / "e.xml").write_text(text)
        return read_experiment(self.folder / "e.xml")

    def test_levels_and_seeds_are_combined_with_seeds_varying_slowest(self):
        runs = self.read().runs()
        self.assertEqual(len(runs), 8)
        self.assertEqual([run.seed for run in runs], [1] * 4 + [2] * 4)
        self.assertEqual(runs[0].key, "load=0.5 policy=rules seed=1")

    def test_errors_are_reported_with_their_line(self):
        for old, new, line, expected in (
            ('levels="0.5 2"', 'levels="0.5 much"', 3, "'much' is no number"),
            ('levels="0.5 2"', 'levels="0 1"', 3, "out of bounds"),
            ("rules random", "rules best", 4, "there is no policy 'best'"),
            ('name="load"', 'name="weather"', 3, "weather"),
            ('baseline="rules"', 'baseline="none"', 1, "is no level"),
            ('levels="0.5 2"', 'levels="2 2"', 3, "all different"),
        ):
            with self.assertRaises(SiteErrors) as raised:
                self.read(SMALL.replace(old, new))
            self.assertIn(f":{line}: ", str(raised.exception))
            self.assertIn(expected, str(raised.exception))

    def test_an_interrupted_experiment_resumes_without_repeating_a_run(self):
        experiment, path = self.read(), self.folder / "runs.db"
        store = RunStore(path)
        first = experiment.runs()[:3]
        for run in first:
            store.save("small", "r1", run, {"service": -1.0, "rules-broken": 0})
        store.close()
        progress = []
        store = RunStore(path)
        done = run_missing(experiment, store, "r1", 2, lambda so_far, of: progress.append(so_far))
        self.assertEqual(progress, [3, 4, 5, 6, 7, 8])
        self.assertEqual([done[run]["service"] for run in first], [-1.0] * 3)
        self.assertTrue(all(0 < done[run]["service"] <= 1 for run in experiment.runs()[3:]))
        self.assertEqual(store.done("small", "r1"), done)
        self.assertEqual(store.done("small", "r2"), {}, "runs of another revision must not be mixed in")
        store.close()

    def test_a_store_has_one_writer_at_a_time(self):
        store = RunStore(self.folder / "runs.db")
        with self.assertRaises(StoreLocked):
            RunStore(self.folder / "runs.db")
        RunStore(self.folder / "runs.db", write=False).close()
        store.close()
        RunStore(self.folder / "runs.db").close()

    def test_a_run_whose_transaction_is_not_committed_is_not_stored(self):
        store = RunStore(self.folder / "runs.db")
        store.db.execute("BEGIN")
        store.save("small", "r", self.read().runs()[0], {"service": 1.0})
        other = sqlite3.connect(self.folder / "runs.db")
        self.assertEqual(other.execute("SELECT COUNT(*) FROM runs").fetchone(), (0,))
        other.close()
        store.close()

    def test_a_run_that_broke_a_rule_is_left_out_and_marked(self):
        experiment = self.read()
        done = {run: {"service": 0.5 + 0.1 * run.seed, "rules-broken": 0} for run in experiment.runs()}
        invalid_run = next(run for run in done if dict(run.levels)["policy"] == "random")
        done[invalid_run] = {"service": 1.0, "rules-broken": 3, "wrong": "rule 2 broken"}
        found = cells(experiment, done)
        cell = next(cell for cell in found if cell.levels == invalid_run.levels and cell.measure == "service")
        self.assertEqual((cell.invalid_runs, cell.seeds, cell.median), (1, 1, 0.7))
        self.assertAlmostEqual(cell.difference[0], 0.0)
        page = write_report(experiment, found, "r1", self.folder / "out").read_text()
        self.assertIn("class='wrong'", page)
        self.assertIn("<svg", page)
        self.assertNotIn("http-equiv", page)
        self.assertNotIn("<script", page)

    def test_a_run_is_reproducible(self):
        experiment = self.read()
        run = experiment.runs()[0]
        first, repeated = execute_run(experiment, run), execute_run(experiment, run)
        first.pop("cpu-us-an-ask"), repeated.pop("cpu-us-an-ask")
        self.assertEqual(first, repeated)

    def test_intervals_contain_the_median_and_are_reproducible(self):
        values = [0.1, 0.4, 0.5, 0.6, 0.9]
        middle, low, high = interval(values)
        self.assertEqual(middle, 0.5)
        self.assertLess(low, 0.5)
        self.assertGreater(high, 0.5)
        self.assertEqual(interval(values), (middle, low, high))
        self.assertEqual(interval([]), (0.0, 0.0, 0.0))

    def test_examples_can_be_read(self):
        for path in (ROOT / "examples" / "experiments").glob("*.xml"):
            self.assertTrue(read_experiment(path).runs(), path.name)


class Policies(unittest.TestCase):
    def test_baselines_overload_links_that_the_rules_do_not(self):
        script = made_up(3, 12, 500, 25, 1.2, watches=8.0)
        short = {}
        for name, policy in {"rules": None, **BASELINES}.items():
            world = World(script, 1, None, **({} if policy is None else {"rules": policy}))
            world.run()
            short[name] = sum(sample[4] for sample in world.use) / sum(sample[2] for sample in world.use)
        self.assertLess(short["rules"], 0.5 * short["random"])
        self.assertLess(short["rules"], 0.5 * short["two-choices"])

    def test_sizes_that_are_not_positive_are_refused(self):
        with self.assertRaises(ValueError):
            made_up(0, 1, 1, 1, 1)


class Search(unittest.TestCase):
    def setUp(self):
        self.base = replace(read_script(ROOT / "examples" / "bad-day.xml"), lasts=15.0, troubles=[])

    def test_a_planted_fault_is_found_and_shrunk_to_its_cause(self):
        busy = replace(self.base, troubles=[usual("deploy", 3.0), usual("burst", 2.0), usual("notes-late", 1.0)])
        found = evaluate(busy, sabotage="ignore-drain")
        self.assertTrue(set(found.broken) & {"3", "4"}, found.broken)
        minimal = shrink(found, sabotage="ignore-drain", max_tries=30)
        self.assertEqual([trouble.kind for trouble in minimal.script.troubles], ["deploy"])
        self.assertTrue(set(minimal.broken) & set(found.broken))
        with tempfile.TemporaryDirectory() as name:
            write_result(minimal, Path(name) / "found.xml")
            repeated = read_script(Path(name) / "found.xml")
            self.assertEqual(evaluate(repeated, sabotage="ignore-drain").broken, minimal.broken)

    def test_a_search_is_reproducible_from_its_seed(self):
        first, repeated = (search(self.base, 4, 7) for _ in range(2))
        self.assertEqual((first.severity, first.script.troubles), (repeated.severity, repeated.script.troubles))

    def test_milder_scripts_are_milder(self):
        import random

        script, rng = self.base, random.Random(2)
        for _ in range(40):
            script = mutate(script, rng)
        self.assertTrue(script.troubles)
        self.assertTrue(all(0 < trouble.at < script.lasts and trouble.part <= 1 for trouble in script.troubles))
        for milder in milder_scripts(script):
            weight = sum(x.lasts * x.part * x.size for x in script.troubles) + script.each_second
            self.assertLess(
                sum(trouble.lasts * trouble.part * trouble.size for trouble in milder.troubles) + milder.each_second, weight
            )


if __name__ == "__main__":
    unittest.main()
