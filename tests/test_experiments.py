"""Experiments and searches: what is asked, kept, compared and found."""

import sqlite3
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from curlewshift.baselines.baselines import BASELINES
from curlewshift.emulator.sizes import made_up
from curlewshift.emulator.world import World
from curlewshift.experiments.experiment import read_experiment
from curlewshift.experiments.one_run import carry_out
from curlewshift.experiments.report import write_report
from curlewshift.experiments.runner import carry_on
from curlewshift.experiments.store import Busy, RunStore
from curlewshift.experiments.table import cells, interval
from curlewshift.search.search import look, milder_days, mutated, search, shrunk
from curlewshift.search.writing import write_found
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


class Asked(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def read(self, text=SMALL):
        (self.folder / "e.xml").write_text(text)
        return read_experiment(self.folder / "e.xml")

    def test_levels_and_seeds_spread_out_with_seeds_slowest(self):
        runs = self.read().runs()
        self.assertEqual(len(runs), 8)
        self.assertEqual([run.seed for run in runs], [1] * 4 + [2] * 4)
        self.assertEqual(runs[0].key, "load=0.5 policy=rules seed=1")

    def test_what_is_wrong_is_told_with_its_line(self):
        for old, new, line, words in (
            ('levels="0.5 2"', 'levels="0.5 much"', 3, "'much' is no number"),
            ('levels="0.5 2"', 'levels="0 1"', 3, "out of bounds"),
            ("rules random", "rules best", 4, "there is no policy 'best'"),
            ('name="load"', 'name="weather"', 3, "weather"),
            ('baseline="rules"', 'baseline="none"', 1, "is no level"),
            ('levels="0.5 2"', 'levels="2 2"', 3, "all different"),
        ):
            with self.assertRaises(SiteErrors) as wrong:
                self.read(SMALL.replace(old, new))
            self.assertIn(f":{line}: ", str(wrong.exception))
            self.assertIn(words, str(wrong.exception))

    def test_a_killed_experiment_goes_on_without_doing_a_run_twice(self):
        experiment, path = self.read(), self.folder / "runs.db"
        store = RunStore(path)
        first = experiment.runs()[:3]
        for run in first:
            store.keep("small", "r1", run, {"service": -1.0, "rules-broken": 0})
        store.close()
        told = []
        store = RunStore(path)
        done = carry_on(experiment, store, "r1", 2, lambda so_far, of: told.append(so_far))
        self.assertEqual(told, [3, 4, 5, 6, 7, 8])
        self.assertEqual([done[run]["service"] for run in first], [-1.0] * 3)
        self.assertTrue(all(0 < done[run]["service"] <= 1 for run in experiment.runs()[3:]))
        self.assertEqual(store.done("small", "r1"), done)
        self.assertEqual(store.done("small", "r2"), {}, "another program's runs are not these")
        store.close()

    def test_a_store_is_written_by_one_at_a_time(self):
        store = RunStore(self.folder / "runs.db")
        with self.assertRaises(Busy):
            RunStore(self.folder / "runs.db")
        RunStore(self.folder / "runs.db", write=False).close()
        store.close()
        RunStore(self.folder / "runs.db").close()

    def test_a_run_cut_off_while_it_is_kept_is_not_there(self):
        store = RunStore(self.folder / "runs.db")
        store.db.execute("BEGIN")
        store.keep("small", "r", self.read().runs()[0], {"service": 1.0})
        other = sqlite3.connect(self.folder / "runs.db")
        self.assertEqual(other.execute("SELECT COUNT(*) FROM runs").fetchone(), (0,))
        other.close()
        store.close()

    def test_a_run_that_broke_a_rule_counts_for_nothing_and_is_marked(self):
        experiment = self.read()
        done = {run: {"service": 0.5 + 0.1 * run.seed, "rules-broken": 0} for run in experiment.runs()}
        spoilt = next(run for run in done if dict(run.levels)["policy"] == "random")
        done[spoilt] = {"service": 1.0, "rules-broken": 3, "wrong": "rule 2 broken"}
        found = cells(experiment, done)
        cell = next(cell for cell in found if cell.levels == spoilt.levels and cell.measure == "service")
        self.assertEqual((cell.wrong, cell.seeds, cell.median), (1, 1, 0.7))
        self.assertAlmostEqual(cell.against[0], 0.0)
        page = write_report(experiment, found, "r1", self.folder / "out").read_text()
        self.assertIn("class='wrong'", page)
        self.assertIn("<svg", page)
        self.assertNotIn("http-equiv", page)
        self.assertNotIn("<script", page)

    def test_the_same_run_measures_the_same(self):
        experiment = self.read()
        run = experiment.runs()[0]
        first, again = carry_out(experiment, run), carry_out(experiment, run)
        first.pop("cpu-us-an-ask"), again.pop("cpu-us-an-ask")
        self.assertEqual(first, again)

    def test_intervals_hold_the_median_and_are_the_same_each_time(self):
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
    def test_baselines_keep_the_duties_and_fill_links_that_the_rules_keep_whole(self):
        script = made_up(3, 12, 500, 25, 1.2, watches=8.0)
        short = {}
        for name, policy in {"rules": None, **BASELINES}.items():
            world = World(script, 1, None, **({} if policy is None else {"rules": policy}))
            world.run()
            short[name] = sum(sample[4] for sample in world.use) / sum(sample[2] for sample in world.use)
        self.assertLess(short["rules"], 0.5 * short["random"])
        self.assertLess(short["rules"], 0.5 * short["two-choices"])

    def test_sizes_that_are_none_are_refused(self):
        with self.assertRaises(ValueError):
            made_up(0, 1, 1, 1, 1)


class Searched(unittest.TestCase):
    def setUp(self):
        self.base = replace(read_script(ROOT / "examples" / "bad-day.xml"), lasts=15.0, troubles=[])

    def test_a_planted_fault_is_found_and_shrunk_to_what_shows_it(self):
        busy = replace(self.base, troubles=[usual("deploy", 3.0), usual("burst", 2.0), usual("notes-late", 1.0)])
        found = look(busy, wrong="ignore-drain")
        self.assertTrue(set(found.broken) & {"3", "4"}, found.broken)
        least = shrunk(found, wrong="ignore-drain", most_tries=30)
        self.assertEqual([trouble.kind for trouble in least.script.troubles], ["deploy"])
        self.assertTrue(set(least.broken) & set(found.broken))
        with tempfile.TemporaryDirectory() as name:
            write_found(least, Path(name) / "found.xml")
            again = read_script(Path(name) / "found.xml")
            self.assertEqual(look(again, wrong="ignore-drain").broken, least.broken)

    def test_a_search_from_a_seed_is_the_same_search(self):
        first, again = (search(self.base, 4, 7) for _ in range(2))
        self.assertEqual((first.badness, first.script.troubles), (again.badness, again.script.troubles))

    def test_milder_days_are_milder(self):
        import random

        day, rng = self.base, random.Random(2)
        for _ in range(40):
            day = mutated(day, rng)
        self.assertTrue(day.troubles)
        self.assertTrue(all(0 < trouble.at < day.lasts and trouble.part <= 1 for trouble in day.troubles))
        for milder in milder_days(day):
            weight = sum(one.lasts * one.part * one.size for one in day.troubles) + day.each_second
            self.assertLess(sum(one.lasts * one.part * one.size for one in milder.troubles) + milder.each_second, weight)


if __name__ == "__main__":
    unittest.main()
