import shutil
import subprocess
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]


@unittest.skipUnless(shutil.which("node"), "the page's script is tested where Node is")
class Page(unittest.TestCase):
    def test_the_script_of_the_example_page(self):
        ran = subprocess.run(["node", "--test", "tests/whep.test.mjs"], cwd=ROOT, capture_output=True, text=True, timeout=60)
        self.assertEqual(ran.returncode, 0, ran.stdout + ran.stderr)
        self.assertIn("pass 5", ran.stdout)
