"""Scale runs: the judge, resource accounting, limits, and small runs on real sockets, also with planted faults."""

import os
import resource
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import anyio

from curlewshift.distribution.versions import Version
from curlewshift.membership.views import Views
from curlewshift.peering.distributed import ENCODER, Piggyback
from curlewshift.scale import plan as plans
from curlewshift.scale.figures import Mark, Stretch, per_node_figures, relative_error
from curlewshift.scale.hollow import retained_size
from curlewshift.scale.judge import Judge, VersionsSeen
from curlewshift.scale.meter import Meter
from curlewshift.scale.plan import InsufficientResources, Load, Plan
from curlewshift.scale.relay import piggybacked_version
from curlewshift.scale.run import ScaleRun
from curlewshift.scale.versions import number_in

ROOT = Path(__file__).resolve().parents[1]


def plan_of(nodes=24, real=2, **more):
    defaults = dict(
        processes=1,
        relays=1,
        regions=2,
        zones=4,
        seconds=1.0,
        seed=1,
        loss=0.0,
        parts=["membership"],
        faults=[],
        load=Load(0, 0, 0),
        period=0.25,
        in_a_row=0,
    )
    return Plan(nodes, real, **{**defaults, **more})


def children_of(folder):
    """Processes that have this folder in their command line."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            try:
                line = (entry / "cmdline").read_bytes()
            except OSError:
                continue
            if str(folder).encode() in line and b"run" not in line.split(b"\0"):
                found.append(int(entry.name))
    return found


class JudgeChecks(unittest.TestCase):
    def setUp(self):
        self.judge = Judge(period=1.0)
        self.judge.running = {"a", "b", "c"}
        self.views = Views()
        for name in "abc":
            self.views.toggle(name, 7, 0)

    def shows(self, name, view, life=7, incarnation=0, number=1, gone=()):
        self.judge.saw({"shown": {name: [life, incarnation, view, number, 0.0]}, "gone": list(gone)})

    def test_views_are_right_when_each_shows_exactly_who_runs(self):
        everyone = [{"a", "b", "c"}]
        self.shows("a", self.views.digest)
        self.shows("b", self.views.digest)
        self.assertEqual(self.judge.wrong_views(everyone), 3, "one node has shown no view")
        self.shows("c", self.views.digest ^ 1)
        self.assertEqual(self.judge.wrong_views(everyone), 1)
        self.shows("c", self.views.digest, number=2)
        self.assertEqual(self.judge.wrong_views(everyone), 0)
        self.shows("c", self.views.digest ^ 1, number=1)
        self.assertEqual(self.judge.wrong_views(everyone), 0, "an earlier datagram that came by another relay changes nothing")

    def test_views_that_agree_on_other_members_are_wrong(self):
        self.views.toggle("c", 7, 0)
        for name in "abc":
            self.shows(name, self.views.digest)
        self.assertEqual(self.judge.wrong_views([{"a", "b", "c"}]), 3)
        self.judge.fault_started(["c"], 5.0, down=True)
        self.assertEqual(self.judge.wrong_views([{"a", "b", "c"}]), 0)

    def test_each_side_of_a_partition_must_know_exactly_its_own_members(self):
        side = Views()
        side.toggle("a", 7, 0)
        side.toggle("b", 7, 0)
        other = Views()
        other.toggle("c", 7, 0)
        self.judge.fault_started("abc", 5.0, down=False)
        self.shows("a", side.digest)
        self.shows("b", side.digest)
        self.shows("c", self.views.digest)
        self.assertEqual(self.judge.wrong_views([{"a", "b"}, {"c"}]), 1)
        self.shows("c", other.digest, number=2)
        self.assertEqual(self.judge.wrong_views([{"a", "b"}, {"c"}]), 0)

    def test_a_healthy_node_declared_gone_is_reported(self):
        self.shows("a", 0, gone=[["b", 7, "a", 10.0]])
        self.assertEqual(self.judge.false_gone(), ["a calls b gone"])

    def test_a_fault_excuses_gone_reports_only_during_the_grace_period(self):
        self.judge.fault_started(["b"], 9.0, down=True)
        self.judge.fault_ended(["b"], 12.0)
        self.shows("a", 0, gone=[["b", 7, "a", 20.0]])
        self.assertEqual(self.judge.false_gone(), [])
        self.shows("a", 0, gone=[["b", 8, "c", 12.0 + self.judge.grace_s + 1]])
        self.assertEqual(self.judge.false_gone(), ["c calls b gone"])


class VersionsShown(unittest.TestCase):
    def setUp(self):
        self.seen = VersionsSeen()

    def test_a_version_is_timed_by_the_first_equal_or_newer_one(self):
        self.seen.saw("a", 7, [5, 1, "aa"], 1.0, 10)
        self.seen.saw("a", 7, [5, 3, "cc"], 4.0, 11)
        self.seen.saw("b", 7, [5, 2, "bb"], 3.0, 10)
        self.assertEqual(self.seen.reached((5, 2), ["a", "b"]), ([4.0, 3.0], []))
        self.assertEqual(self.seen.reached((6, 1), ["a", "c"]), ([], ["a", "c"]))
        self.assertEqual((self.seen.regressions, self.seen.forks), ([], []))

    def test_an_older_version_after_a_newer_one_is_reported_also_across_restarts(self):
        self.seen.saw("a", 7, [5, 3, "cc"], 1.0, 10)
        self.seen.saw("a", 7, [5, 2, "bb"], 2.0, 11)
        self.assertEqual(len(self.seen.regressions), 1)
        self.seen.down("a")
        self.seen.saw("a", 8, [4, 9, "xx"], 3.0, 1)
        self.assertEqual(len(self.seen.regressions), 2)
        self.seen.down("a")
        self.seen.emptied("a")
        self.seen.saw("a", 9, [0, 0, ""], 4.0, 1)
        self.seen.saw("a", 9, [5, 1, "aa"], 5.0, 2)
        self.assertEqual(len(self.seen.regressions), 2, "a node whose disk was lost may restart from an older version")

    def test_an_earlier_datagram_of_another_relay_is_no_regression(self):
        self.seen.saw("a", 7, [5, 3, "cc"], 2.0, 20)
        self.seen.saw("a", 7, [5, 2, "bb"], 1.0, 15)
        self.assertEqual(self.seen.regressions, [])
        self.seen.saw("a", 7, [5, 2, "bb"], 1.0, 21)
        self.assertEqual(len(self.seen.regressions), 1)

    def test_two_contents_under_one_version_number_are_reported(self):
        self.seen.saw("a", 7, [5, 3, "cc"], 1.0, 1)
        self.seen.saw("b", 7, [5, 3, "dd"], 1.0, 1)
        self.assertEqual(len(self.seen.forks), 1)

    def test_the_piggybacked_version_is_decoded_independently_of_the_program(self):
        version = Version(5, 3, bytes(range(32)))
        body = ENCODER.encode(Piggyback(tuple(version), 7))
        self.assertEqual(piggybacked_version(body), [5, 3, "000102030405"])
        self.assertEqual(version.text, "5.3-000102030405")
        self.assertEqual(number_in(version.text), (5, 3))
        for malformed in (b"", b"\xff", b"\x91\x01", b"\x92\x93\x01\x02\x03\x01"):
            self.assertIsNone(piggybacked_version(malformed))


class Accounting(unittest.TestCase):
    def test_metered_calls_nest_and_are_exclusive(self):
        clock = iter([100, 130, 170, 200]).__next__
        meter = Meter(clock)

        def inner():
            meter.sent(50)

        def outer():
            meter.sent(7)
            meter.metered("sharing", inner)()

        meter.metered("membership", outer)()
        self.assertEqual(meter.read(), {"membership": [60, 1, 7], "sharing": [40, 1, 50]})

    def test_a_call_that_raises_is_counted_and_closed(self):
        meter = Meter(iter([0, 5]).__next__)
        with self.assertRaises(ValueError):
            meter.metered("membership", lambda: int("no"))()
        self.assertEqual((meter.read()["membership"][0], meter.open), (5, []))

    def test_a_stretch_is_the_difference_of_two_marks(self):
        def mark(at, kinds, core, whole):
            return Mark(
                at,
                [{"said": {"a": kinds}, "handed": {"a": [0, 0], "b": [0, 0]}, "core": 0}],
                {2: {"core": whole, "nodes": {"a": {"membership": [core, 0, 0]}, "b": {}}}},
                {},
            )

        stretch = Stretch(
            mark(10.0, {"1": [4, 400], "16": [1, 900]}, 1_000_000_000, 4_000_000_000),
            mark(12.0, {"1": [8, 800], "2": [2, 100], "16": [3, 1900]}, 2_000_000_000, 8_000_000_000),
        )
        result = per_node_figures(stretch, ["a", "b"], [2])
        self.assertEqual(result["membership"]["bytes_a_second"], {"mean": 125.0, "worst": 250.0})
        self.assertEqual(result["sharing"]["datagrams_a_second"], {"mean": 0.5, "worst": 1.0})
        self.assertEqual(result["membership"]["core"], {"mean": 0.25, "worst": 0.5})
        # four seconds in the process: one is metered, the rest is split between the two nodes
        self.assertEqual(result["loop"]["core"], {"mean": 0.75, "worst": 0.75})
        self.assertEqual(result["all"]["bytes_a_second"]["worst"], 750.0)

    def test_relative_error_of_a_count(self):
        self.assertEqual((relative_error(50, 100), relative_error(100, 100), relative_error(3, 0)), (0.5, 0.0, 3.0))

    def test_retained_size_counts_shared_objects_once(self):
        known, shared = set(), [bytes(10_000)]
        first, second = retained_size({"a": shared}, known), retained_size({"a": shared}, known)
        self.assertGreater(first, 10_000)
        self.assertLess(second, 1_000)


class Limits(unittest.TestCase):
    def refuses(self, what, plan):
        with self.assertRaises(InsufficientResources) as result:
            plan.check()
        self.assertIn(what, str(result.exception))
        self.assertNotIn("\n", str(result.exception))

    def test_a_plan_beyond_the_limits_is_refused(self):
        plan_of().check()
        self.refuses("processes are needed", plan_of(nodes=1000, processes=197, zones=9, relays=2))
        self.refuses("more processes would do", plan_of(nodes=resource.getrlimit(resource.RLIMIT_NOFILE)[0]))
        self.refuses("each region has a zone", plan_of(regions=5))
        self.refuses("less than one hollow node", plan_of(nodes=4, real=4))
        self.refuses("too few for 3 keepers", plan_of(load=Load(0, 0, 0, leasing=3)))
        self.refuses("links played on", plan_of(load=Load(servers=10, links=11, sharing=4)))
        with mock.patch.object(resource, "getrlimit", lambda what: (1 << 20, 1 << 20)):
            self.refuses("more ports", plan_of(nodes=6000, processes=100, relays=10))

    def test_memory_is_limited_to_half_of_the_machine_and_to_the_free_memory(self):
        need = plan_of().memory()
        for have, what in (((need - 1, need + 1), "half of this machine's"), ((need + 1, need - 1), "free now")):
            with mock.patch.object(plans, "machine_memory", lambda have=have: have):
                self.refuses(what, plan_of())

    def test_each_zone_has_nodes_and_real_nodes_are_spread_over_zones(self):
        plan = plan_of(nodes=30, real=3, zones=9, regions=3, load=Load(10, 2, sharing=5, leasing=7))
        plan.lay_out()
        fronts = plan.named("hollow", "real")
        self.assertEqual(len({place.zone for place in fronts}), 9)
        self.assertEqual(len({place.zone for place in plan.named("real")}), 3)
        self.assertEqual({place.region for place in plan.named("control")}, {"r0", "r1", "r2"})
        self.assertEqual(len({place.listen for place in plan.places}), 34)
        self.assertEqual((sum(place.shares for place in fronts), sum(place.leases for place in fronts)), (5, 7))
        self.assertEqual([place.process for place in plan.named("hollow")].count(1), 1)

    def test_the_command_reports_a_refusal_in_one_line(self):
        with tempfile.TemporaryDirectory() as name:
            result = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "curlewshift",
                    "scale",
                    "run",
                    "--nodes",
                    "5000",
                    "--processes",
                    "180",
                    "--real",
                    "20",
                    "--out",
                    f"{name}/out",
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
            )
            self.assertEqual((result.returncode, result.stderr.count("\n")), (2, 1), result.stderr)
            self.assertIn("does not begin", result.stderr)
            self.assertFalse(Path(name, "out").exists())


class OnSockets(unittest.TestCase):
    def play(self, plan, **more):
        with tempfile.TemporaryDirectory() as name:
            figures = anyio.run(ScaleRun(plan, Path(name), lambda text: None, joins=0, **more).run)
            self.assertEqual(children_of(name), [])
            return figures

    def test_a_partition_of_24_hollow_and_2_real_nodes_is_detected_and_healed(self):
        result = self.play(
            plan_of(
                nodes=26, faults=["regions-apart"], parts=["membership", "leases", "distribution"], load=Load(0, 0, 0, leasing=24)
            ),
            agree_within=30.0,
        )
        verdict, (fault,) = result["verdict"], result["faults"]
        self.assertTrue(verdict["ok"], verdict)
        self.assertGreater(verdict["served"]["played"], 0)
        self.assertLess(fault["converged_s"], 30)
        self.assertGreater(fault["known_s"], 0)
        self.assertEqual(verdict["versions"]["made_without_majority"], 0)
        self.assertLess(verdict["versions"]["in_force_worst_s"], 18)
        # frames of both kinds of nodes are counted: real fronts and hollow nodes
        self.assertGreater(result["real_node"]["bytes_a_second"]["mean"], 0)
        self.assertGreater(result["a_node"]["membership"]["bytes_a_second"]["mean"], 0)
        self.assertGreater(result["a_node"]["membership"]["core"]["mean"], 0)

    def test_a_node_that_reads_nothing_and_wrong_counters_are_detected(self):
        verdict = self.play(plan_of(nodes=8, real=0, spoil="deaf=n0005 lies=n0007", seconds=0.5), agree_within=3.0)["verdict"]
        self.assertEqual((verdict["ok"], verdict["agreed"]), (False, False))
        self.assertTrue(all("n0005" in text for text in verdict["false_gone_examples"]), verdict)
        self.assertGreater(verdict["false_gone"], 0)
        self.assertEqual(list(verdict["counters_off_examples"]), ["n0007"])

    def test_an_interrupted_run_ends_its_processes(self):
        with tempfile.TemporaryDirectory() as name:
            run = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "curlewshift",
                    "scale",
                    "run",
                    "--nodes",
                    "12",
                    "--real",
                    "0",
                    "--processes",
                    "1",
                    "--relays",
                    "1",
                    "--out",
                    name,
                    "--seconds",
                    "60",
                ],
                cwd=ROOT,
                stderr=subprocess.PIPE,
                text=True,
            )
            try:
                line = run.stderr.readline()
                self.assertIn("processes", line)
                self.assertGreater(len(children_of(name)), 2)
                run.send_signal(signal.SIGTERM)
                self.assertEqual(run.wait(10), 1)
                ends = time.monotonic() + 5
                while children_of(name) and time.monotonic() < ends:
                    time.sleep(0.05)
                self.assertEqual(children_of(name), [])
            finally:
                run.kill()
                run.stderr.close()
                run.wait()


if __name__ == "__main__":
    unittest.main()
