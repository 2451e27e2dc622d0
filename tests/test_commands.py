"""The command line: each command exists, and calling one imports no other command's subsystem."""

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


class CommandList(unittest.TestCase):
    def test_every_command_has_its_module_and_a_help_text(self):
        from curlewshift.commands.main import COMMANDS

        for command in COMMANDS:
            self.assertTrue(main.get_command(None, command).get_short_help_str(), command)
        self.assertIsNone(main.get_command(None, "cluster"))

    def test_the_node_imports_nothing_that_belongs_to_other_commands(self):
        run = subprocess.run([sys.executable, "-c", NODE_ALONE], cwd=ROOT, capture_output=True, text=True, timeout=60)
        self.assertEqual((run.returncode, run.stdout.strip()), (0, "[]"), run.stderr)


class ShowCommands(unittest.TestCase):
    """Tables and JSON printed by the `show` commands for a front's answer."""

    def run_show(self, view, *arguments):
        with mock.patch("curlewshift.commands.common.send_to_front", return_value=view):
            return CliRunner().invoke(main, [*arguments, "--state", "nowhere"])

    def test_peers_are_shown_as_a_table_and_as_json_and_missing_ones_exit_with_2(self):
        fleet = PeerFleet(3, 1, default_membership_terms(500_000_000))
        fleet.start()
        fleet.until(fleet.agreed, 5)
        fleet.posts[2].kill()
        fleet.run(5)
        view = {"peers": fleet.posts[0].channel.show()}
        table = self.run_show(view, "peers", "show")
        self.assertEqual(table.exit_code, 0)
        for expected in ("f0 (life", "f1", "alive", "gone"):
            self.assertIn(expected, table.output)
        self.assertEqual(json.loads(self.run_show(view, "peers", "show", "--json").output)["size"], 2)
        none = self.run_show({"peers": None}, "peers", "show")
        self.assertEqual((none.exit_code, "the settings name no peers" in none.output), (2, True))

    def test_leases_show_why_none_is_held(self):
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
        view = {"leases": {"me": "f1", "keeper": True, "silent": True, "leases": rows}}
        output = " ".join(self.run_show(view, "leases", "show").output.split())
        for expected in ("f1, a keeper, still silent after its start", "17", "in 2.0 s", "2 needed"):
            self.assertIn(expected, output)

    def test_overload_shows_which_packages_are_shed_and_why(self):
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
        view = {"overload": {"me": "f1", "zones": [zone], "shed": {"cheap": 12}, "let_in": 30, "further_left": 1.5}}
        output = " ".join(self.run_show(view, "overload", "show").output.split())
        for expected in ("f1: admitted 30, shed 12 of cheap", "95% of cheap", "70 of 192", "90%"):
            self.assertIn(expected, output)


if __name__ == "__main__":
    unittest.main()
