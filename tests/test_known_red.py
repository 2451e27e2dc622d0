"""The list of tests that are known to fail: what it passes over, and what it does not."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from tests import known_red

THIS = "tests.test_known_red"


class Sample(unittest.TestCase):
    """Run by the stories below alone; `load_tests` keeps it out of the suite."""

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
    def run_with(self, *listed):
        """Whether a run of the sample passes, and what it says."""
        said = io.StringIO()
        kind = type(
            "Listed", (known_red.Result,), {"listed": {f"{THIS}.Sample.{name}": ("its cause", "its issue") for name in listed}}
        )
        tests = unittest.TestLoader().loadTestsFromTestCase(Sample)
        return unittest.TextTestRunner(said, resultclass=kind).run(tests).wasSuccessful(), said.getvalue()

    def test_a_listed_test_that_fails_is_told_with_its_cause_and_passed_over(self):
        sound, said = self.run_with("test_broken", "test_parts")
        self.assertTrue(sound)
        self.assertEqual(said.count("KNOWN RED: "), 2)
        self.assertIn(f"KNOWN RED: {THIS}.Sample.test_broken: its cause (its issue)", said)

    def test_a_failing_test_that_is_not_listed_fails_the_run(self):
        self.assertFalse(self.run_with("test_broken")[0])
        self.assertFalse(self.run_with()[0])

    def test_a_listed_test_that_passes_fails_the_run(self):
        sound, said = self.run_with("test_broken", "test_parts", "test_sound")
        self.assertFalse(sound)
        self.assertIn("take its line out", said)

    def test_a_line_that_names_no_test_lacks_a_part_comes_again_or_is_one_too_many_makes_the_list_unusable(self):
        line = f"{THIS}.Sample.test_broken | its cause | 1\n"
        self.assertEqual(known_red.read(line + "\n"), {f"{THIS}.Sample.test_broken": ("its cause", "1")})
        names = [name for name in unittest.TestLoader().getTestCaseNames(KnownRed)][:4]
        self.assertEqual(len(names), 4)
        for text in (
            f"{THIS}.Sample.test_gone | its cause | 1",
            "nowhere.at.all | its cause | 1",
            f"{THIS} | its cause | 1",
            f"{THIS}.Sample.test_broken | its cause",
            f"{THIS}.Sample.test_broken | | 1",
            line + line,
            "".join(f"{THIS}.KnownRed.{name} | its cause | 1\n" for name in names),
        ):
            with self.assertRaises(known_red.Unusable, msg=text):
                known_red.read(text)

    def shared_out(self, **files):
        """The code of a run over these files, and what it says."""
        with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stdout(io.StringIO()) as said:
            for name, body in files.items():
                (Path(folder) / f"test_{name}.py").write_text(
                    f"import os\nimport unittest\n\nclass A(unittest.TestCase):\n    def test_a(self):\n        {body}\n"
                )
            return known_red.shared_out(Path(folder), Path(folder)), said.getvalue()

    def test_files_that_several_processes_share_each_count_and_any_that_fails_is_named(self):
        code, said = self.shared_out(one="pass", two="pass")
        self.assertEqual((code, "2 files, 2 tests" in said, "all passed" in said), (0, True, True), said)
        code, said = self.shared_out(one="pass", two="self.fail('the fault')", three="os._exit(0)", four="import nowhere")
        self.assertEqual((code, said.rstrip().endswith("not passed: test_four.py, test_three.py, test_two.py")), (1, True), said)
        self.assertIn("the fault", said)
        self.assertEqual(self.shared_out()[0], 1)

    def test_each_process_looks_for_ports_in_a_part_of_its_own(self):
        said = self.shared_out(**{name: "print(os.environ['CURLEWSHIFT_PORTS'])" for name in ("one", "two")})[1]
        parts = [tuple(map(int, line.split("-"))) for line in said.splitlines() if line[:1].isdigit() and "-" in line]
        self.assertEqual(len(parts), 2, said)
        self.assertTrue(all(12_000 <= first < last <= 20_000 for first, last in parts), parts)


if __name__ == "__main__":
    unittest.main()
