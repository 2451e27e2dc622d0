"""The command line as a whole: each noun is there, and calling one imports no other's subsystem."""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
NODE_ALONE = """
import sys
from curlewshift.commands.main import main
main.get_command(None, "node")
import curlewshift.node.node
print([name for name in sys.modules if name.split(".")[0] in ("matplotlib", "lxml", "rich")
       or name.startswith(("curlewshift.emulator", "curlewshift.peering", "curlewshift.rehearsal", "curlewshift.front."))])
"""


class Nouns(unittest.TestCase):
    def test_every_noun_has_its_file_and_a_word_of_help(self):
        from curlewshift.commands.main import NOUNS, main
        for noun in NOUNS:
            self.assertTrue(main.get_command(None, noun).get_short_help_str(), noun)
        self.assertIsNone(main.get_command(None, "cluster"))

    def test_the_node_starts_without_what_belongs_to_other_nouns(self):
        run = subprocess.run([sys.executable, "-c", NODE_ALONE], cwd=ROOT, capture_output=True, text=True, timeout=60)
        self.assertEqual((run.returncode, run.stdout.strip()), (0, "[]"), run.stderr)


if __name__ == "__main__":
    unittest.main()
