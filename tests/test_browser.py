"""The script of the example page, run by Node's test runner."""

import shutil
import subprocess
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]


@unittest.skipUnless(shutil.which("node"), "the test of the page's script needs Node")
class ExamplePage(unittest.TestCase):
    def test_example_page_script(self):
        result = subprocess.run(["node", "--test", "tests/whep.test.mjs"], cwd=ROOT, capture_output=True, text=True, timeout=60)
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
        self.assertIn("pass 5", result.stdout)
