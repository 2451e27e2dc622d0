"""The list of tests that are known to fail: which failures it tolerates, and which not."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from tests import known_red

THIS = "tests.test_known_red"


class Sample(unittest.TestCase):
    """Run only by the tests below; `load_tests` keeps it out of the suite."""

    def test_sound(self):
        pass

    def test_broken(self):
        self.fail("the fault")

    def test_parts(self):
        for part in range(2):
            with self.subTest(part):
                self.fail("the fault")


def load_tests(loader, standard, pattern):
    return unittest.TestSuite([loader.loadTestsFromTestCase(KnownRed)])


class KnownRed(unittest.TestCase):
    def run_with(self, *listed, sometimes=()):
        """Whether a run of the sample passes, and its output."""
        output = io.StringIO()
        known = {
            f"{THIS}.Sample.{name}": known_red.KnownFailure("its command", "its fault", "its issue", name in sometimes)
            for name in (*listed, *sometimes)
        }
        result_class = type("Listed", (known_red.Result,), {"listed": known})
        tests = unittest.TestLoader().loadTestsFromTestCase(Sample)
        return unittest.TextTestRunner(output, resultclass=result_class).run(tests).wasSuccessful(), output.getvalue()

    def test_a_listed_test_that_fails_is_reported_with_its_cause_and_tolerated(self):
        passed, output = self.run_with("test_broken", "test_parts")
        self.assertTrue(passed)
        self.assertEqual(output.count("KNOWN RED: "), 2)
        self.assertIn(f"KNOWN RED: {THIS}.Sample.test_broken: its command: its fault (its issue)", output)

    def test_a_failing_test_that_is_not_listed_fails_the_run(self):
        self.assertFalse(self.run_with("test_broken")[0])
        self.assertFalse(self.run_with()[0])

    def test_a_listed_test_that_passes_fails_the_run(self):
        passed, output = self.run_with("test_broken", "test_parts", "test_sound")
        self.assertFalse(passed)
        self.assertIn("remove its line", output)

    def test_a_listed_test_that_fails_sometimes_is_printed_and_tolerated_either_way(self):
        passed, output = self.run_with("test_parts", sometimes=("test_broken", "test_sound"))
        self.assertTrue(passed)
        self.assertIn(f"KNOWN RED: {THIS}.Sample.test_broken: its command: its fault (its issue)", output)
        self.assertIn(f"KNOWN RED, passed this time: {THIS}.Sample.test_sound: its command", output)

    def test_a_list_with_an_unknown_test_a_missing_field_a_repeated_line_or_too_many_lines_is_invalid(self):
        line = f"{THIS}.Sample.test_broken | its command | its fault | 1\n"
        known = known_red.KnownFailure("its command", "its fault", "1")
        self.assertEqual(known_red.read(line + "\n"), known_red.KnownFailures({f"{THIS}.Sample.test_broken": known}, {}))
        self.assertTrue(known_red.read(line.strip() + " | sometimes").tests[f"{THIS}.Sample.test_broken"].sometimes)
        names = [name for name in unittest.TestLoader().getTestCaseNames(KnownRed)][:4]
        self.assertEqual(len(names), 4)
        for text in (
            f"{THIS}.Sample.test_gone | its command | its fault | 1",
            "nowhere.at.all | its command | its fault | 1",
            f"{THIS} | its command | its fault | 1",
            f"{THIS}.Sample.test_broken | its command | its fault",
            f"{THIS}.Sample.test_broken | its command | | 1",
            f"{THIS}.Sample.test_broken | its command | its fault | 1 | often",
            line + line,
            "".join(f"{THIS}.KnownRed.{name} | its command | its fault | 1\n" for name in names),
        ):
            with self.assertRaises(known_red.InvalidList, msg=text):
                known_red.read(text)

    def test_scripts_and_seeds_of_the_soak_are_accepted_and_are_no_tests(self):
        lines = "script bin/test | its command | its fault | 1\nsoak 4304 | its command | its fault | 2\n"
        known = known_red.read(lines)
        self.assertEqual((known.tests, list(known.not_run)), ({}, ["script bin/test", "soak 4304"]))
        self.assertEqual(known.not_run["soak 4304"], known_red.KnownFailure("its command", "its fault", "2"))

    def test_a_script_that_is_not_there_or_outside_the_tree_and_an_invalid_seed_are_refused(self):
        for name in ("script bin/gone", "script ../../bin/sh", "script README.md", "script", "soak", "soak x", "soak 1 2", "a b"):
            with self.assertRaises(known_red.InvalidList, msg=name):
                known_red.read(f"{name} | its command | its fault | 1")
        for text in (
            "soak 1 | its command | its fault",
            "soak 1 | its command | its fault | 1 | sometimes",
            "soak 1 | its command | its fault | 1\n" * 2,
            "".join(f"soak {seed} | its command | its fault | 1\n" for seed in range(4)),
        ):
            with self.assertRaises(known_red.InvalidList, msg=text):
                known_red.read(text)

    def test_scripts_and_seeds_are_printed_with_what_was_seen(self):
        with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stdout(io.StringIO()) as output:
            path = Path(folder) / "list"
            path.write_text("soak 4304 | its command | its fault | its issue\n")
            known_red.print_not_run(path)
        self.assertEqual(output.getvalue(), "KNOWN RED, not run: soak 4304: its command: its fault (its issue)\n")

    def run_files(self, **files):
        """Exit status and output of a run over these files."""
        with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stdout(io.StringIO()) as output:
            for name, body in files.items():
                (Path(folder) / f"test_{name}.py").write_text(
                    f"import os\nimport unittest\n\nclass A(unittest.TestCase):\n    def test_a(self):\n        {body}\n"
                )
            return known_red.run_files(Path(folder), Path(folder)), output.getvalue()

    def test_files_run_in_several_processes_are_counted_and_failing_ones_are_named(self):
        code, output = self.run_files(one="pass", two="pass")
        self.assertEqual((code, "2 files, 2 tests" in output, "all passed" in output), (0, True, True), output)
        code, output = self.run_files(one="pass", two="self.fail('the fault')", three="os._exit(0)", four="import nowhere")
        self.assertEqual(
            (code, output.rstrip().endswith("not passed: test_four.py, test_three.py, test_two.py")), (1, True), output
        )
        self.assertIn("the fault", output)
        self.assertEqual(self.run_files()[0], 1)

    def test_each_process_searches_a_port_range_of_its_own(self):
        output = self.run_files(**{name: "print(os.environ['CURLEWSHIFT_PORTS'])" for name in ("one", "two")})[1]
        ranges = [tuple(map(int, line.split("-"))) for line in output.splitlines() if line[:1].isdigit() and "-" in line]
        self.assertEqual(len(ranges), 2, output)
        self.assertTrue(all(12_000 <= first < last <= 20_000 for first, last in ranges), ranges)


if __name__ == "__main__":
    unittest.main()
