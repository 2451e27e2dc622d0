import json
import subprocess
import sys
import unittest

BOOT = json.dumps(
    {
        "balancers": 1,
        "my_number": 0,
        "az": "a",
        "flavors": ["box"],
        "news": {"unknown": 1},
        "classes": [{"name": "clip", "effect": "safe", "goal_time_ms": 1000, "give_up_ms": 4000, "gain": 1}],
        "bounds": {"max_attempts": 3, "retry_after": True, "max_retry_after_ms": 2000},
        "extra": {"cells": 1, "rung_kb": [100, 200], "kb_per_weight": 1000, "kind_streams": [20], "rack_kb": 1000},
        "telemetry": {"fields": ["x0", "odd"]},
    }
)
START = [
    "round\ttime_ms=1000.0",
    f"up\twho=0\tnonce64=5\tboot_info={BOOT}",
    "snapshot_rows\tslot=0\titems=1",
    "m\theft=1\treadiness=on\track_zone=a\tserver=h:1\ttype=box\tposition=0\tnovel=3",
    "fleet\twho=0\tkind=Persisted\tgeneration=1\tslot=0",
    "over_to_you",
]
QUERY = "query\twho=0\tcall=9\ttitle=0a\tpath_key=0b\texpires_ms=24000\tspan=1\tclass=clip\tceiling_rung=1\tbase=0"


def run(*lines):
    return subprocess.run(
        [sys.executable, "-m", "curlewshift.adapter"], input="\n".join(lines) + "\n", capture_output=True, text=True, timeout=30
    )


class AdapterTest(unittest.TestCase):
    def test_viewing_from_query_to_end_ignores_late_events(self):
        completed = run(
            *START,
            "round\ttime_ms=20000",
            QUERY,
            "over_to_you",
            "round\ttime_ms=20050.5",
            "begun\twho=0\tcall=9\thop=0\tserver=h:1\tcost_time_ms=50",
            "over_to_you",
            "round\ttime_ms=21000",
            "done\twho=0\tcall=9\thop=0\tserver=h:1\tcode=served\tcost_time_ms=1000\tclosed=1\tload=0.5,,7",
            "lapsed\twho=0\tcall=9",
            "over_to_you",
        )
        self.assertEqual((completed.returncode, completed.stderr), (0, ""))
        self.assertEqual(completed.stdout.count("finished\n"), 4)
        self.assertIn("set_level\twho=0\tcall=9\tgrade=1\nissue\twho=0\tcall=9\tserver=h:1\t", completed.stdout)

    def test_instance_restarts_in_the_batch_of_its_teardown(self):
        completed = run(*START, "round\ttime_ms=2000", "teardown\twho=0", *START[1:])
        self.assertEqual((completed.returncode, completed.stdout.count("arm\t")), (0, 2))

    def test_malformed_line_is_reported_and_ends_the_run(self):
        for line, expected in (
            (QUERY.replace("call=9", "call=nine"), "call='nine' is not a whole number"),
            ("query\twho=0\tcall", "is not name=value"),
            ("query\twho=0\tcall=9", "class is missing"),
            ("frob\twho=0", "unknown message 'frob'"),
        ):
            completed = run(*START, "round\ttime_ms=20000", line, "over_to_you")
            self.assertEqual((completed.returncode, completed.stdout.count("finished")), (2, 1), line)
            self.assertIn("line 8: ", completed.stderr)
            self.assertIn(expected, completed.stderr)

    def test_exception_of_the_rules_becomes_one_fault_with_its_cause(self):
        broken = START[1].replace('"rung_kb": [100, 200]', '"rung_kb": ["x"]')
        completed = run("round\ttime_ms=1", broken, *START[2:], "round\ttime_ms=2", "fired\twho=0\tnonce=tick", "over_to_you")
        self.assertEqual((completed.returncode, completed.stdout.count("fault\twho=0\treason_text=TypeError: ")), (0, 1))


if __name__ == "__main__":
    unittest.main()
