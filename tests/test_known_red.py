"""The list of tests that are known to fail: what it passes over, and what it does not."""

import io
import unittest

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
        kind = type("Listed", (known_red.Result,), {"listed": {
            f"{THIS}.Sample.{name}": ("its cause", "its issue") for name in listed}})
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
        for text in (f"{THIS}.Sample.test_gone | its cause | 1", "nowhere.at.all | its cause | 1", f"{THIS} | its cause | 1",
                     f"{THIS}.Sample.test_broken | its cause", f"{THIS}.Sample.test_broken | | 1", line + line,
                     "".join(f"{THIS}.KnownRed.{name} | its cause | 1\n" for name in names)):
            with self.assertRaises(known_red.Unusable, msg=text):
                known_red.read(text)


if __name__ == "__main__":
    unittest.main()
