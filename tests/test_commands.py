"""The command line as a whole: each noun is there, and calling one imports no other's subsystem."""

import json
import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

from click.testing import CliRunner

from curlewshift.commands.main import main
from curlewshift.emulator.peers import PeerFleet
from curlewshift.membership.terms import default_membership_terms

ROOT = Path(__file__).resolve().parents[1]
NODE_ALONE = """
import sys
from curlewshift.commands.main import main
main.get_command(None, "node")
import curlewshift.node.node
print([name for name in sys.modules if name.split(".")[0] in ("matplotlib", "lxml", "rich")
       or name.startswith(("curlewshift.emulator", "curlewshift.peering", "curlewshift.fault_injection", "curlewshift.front."))])
"""


class Nouns(unittest.TestCase):
    def test_every_noun_has_its_file_and_a_word_of_help(self):
        from curlewshift.commands.main import NOUNS

        for noun in NOUNS:
            self.assertTrue(main.get_command(None, noun).get_short_help_str(), noun)
        self.assertIsNone(main.get_command(None, "cluster"))

    def test_the_node_starts_without_what_belongs_to_other_nouns(self):
        run = subprocess.run([sys.executable, "-c", NODE_ALONE], cwd=ROOT, capture_output=True, text=True, timeout=60)
        self.assertEqual((run.returncode, run.stdout.strip()), (0, "[]"), run.stderr)


class Shown(unittest.TestCase):
    """What a front tells of its peers, as people and programs get it."""

    def shown(self, told, *words):
        with mock.patch("curlewshift.commands.common.tell_front", return_value=told):
            return CliRunner().invoke(main, [*words, "--state", "nowhere"])

    def test_peers_as_a_table_as_json_and_where_there_are_none(self):
        fleet = PeerFleet(3, 1, default_membership_terms(500_000_000))
        fleet.start()
        fleet.until(fleet.agreed, 5)
        fleet.posts[2].kill()
        fleet.run(5)
        told = {"peers": fleet.posts[0].channel.show()}
        table = self.shown(told, "peers", "show")
        self.assertEqual(table.exit_code, 0)
        for words in ("f0 (life", "f1", "alive", "gone"):
            self.assertIn(words, table.output)
        self.assertEqual(json.loads(self.shown(told, "peers", "show", "--json").output)["size"], 2)
        none = self.shown({"peers": None}, "peers", "show")
        self.assertEqual((none.exit_code, "the settings name no peers" in none.output), (2, True))

    def test_leases_tell_why_none_is_held(self):
        rows = [
            {
                "lease": "probe/0",
                "held_here": True,
                "number": 17,
                "since_s": 1.0,
                "until_s": 2.0,
                "keepers_heard": 3,
                "why_not": "",
                "kept_for": "",
            },
            {
                "lease": "probe/1",
                "held_here": False,
                "number": 0,
                "since_s": None,
                "until_s": None,
                "keepers_heard": 0,
                "why_not": "1 of 3 keepers answered, 2 needed",
                "kept_for": "f2",
            },
        ]
        told = {"leases": {"me": "f1", "keeper": True, "silent": True, "leases": rows}}
        output = " ".join(self.shown(told, "leases", "show").output.split())
        for words in ("f1, a keeper, still silent after its start", "17", "in 2.0 s", "2 needed"):
            self.assertIn(words, output)

    def test_overload_tells_who_is_shed_and_why(self):
        zone = {
            "zone": "a",
            "level": 70,
            "of": 192,
            "why": "40% of what was let in found no room",
            "for_s": 3.0,
            "full": 0.9,
            "shed": {"cheap": 0.95, "dear": 0.0},
            "told": 70,
            "adds_up": False,
        }
        told = {"overload": {"me": "f1", "zones": [zone], "shed": {"cheap": 12}, "let_in": 30, "further_left": 1.5}}
        output = " ".join(self.shown(told, "overload", "show").output.split())
        for words in ("f1: let in 30, shed 12 of cheap", "95% of cheap", "70 of 192", "90%"):
            self.assertIn(words, output)


if __name__ == "__main__":
    unittest.main()
