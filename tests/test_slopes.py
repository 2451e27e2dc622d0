"""Slopes of a real node: the fit, the limits, one small slope end to end, and a planted slope that is not straight."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import tracemalloc
import unittest
from pathlib import Path
from random import Random
from unittest import mock

from click.testing import CliRunner

from curlewshift.commands.main import main
from curlewshift.fault_injection.processes import ROOT
from curlewshift.node import rtsp
from curlewshift.scale import fits, slopes, slopes_control, slopes_idle
from curlewshift.scale.fits import TooFewPoints, fit
from curlewshift.scale.slopes_asked import Pace, p99
from curlewshift.scale.slopes_loop import Loop
from curlewshift.scale.slopes_stands import Discovery, StandInServer
from curlewshift.scale.slopes_storm import PAUSE, Storm

SIZES = (1000, 2000, 4000, 6000, 8000)


def noisy(of, noise, seed, repeats=3):
    rng = Random(seed)
    return [(x, of(x) + rng.gauss(0, noise)) for x in SIZES for _ in range(repeats)]


class Fits(unittest.TestCase):
    def test_known_data_give_the_published_figures(self):
        # Anscombe's first set (1973): 3.0001 + .5001 x, standard error .1179
        result = fit(
            [
                (10, 8.04),
                (8, 6.95),
                (13, 7.58),
                (9, 8.81),
                (11, 8.33),
                (14, 9.96),
                (6, 7.24),
                (4, 4.26),
                (12, 10.84),
                (7, 4.82),
                (5, 5.68),
            ]
        )
        self.assertAlmostEqual(result.intercept, 3.0001, 4)
        self.assertAlmostEqual(result.slope, 0.5001, 4)
        self.assertAlmostEqual(result.slope_error, 0.1179, 4)
        self.assertAlmostEqual(result.worst_residual, 1.9213, 4)
        self.assertTrue(result.straight)

    def test_anscombes_curved_set_has_the_same_line_and_is_not_straight(self):
        result = fit(
            [
                (10, 9.14),
                (8, 8.14),
                (13, 8.74),
                (9, 8.77),
                (11, 9.26),
                (14, 8.10),
                (6, 6.13),
                (4, 3.10),
                (12, 9.13),
                (7, 7.26),
                (5, 4.74),
            ]
        )
        self.assertAlmostEqual(result.slope, 0.5000, 3)
        self.assertFalse(result.straight)

    def test_straight_and_curved_data_are_distinguished_under_noise(self):
        correct = {"straight": 0, "square": 0, "kink": 0}
        for seed in range(200):
            correct["straight"] += fit(noisy(lambda x: 5e7 + 9000 * x, 2e6, seed)).straight
            correct["square"] += not fit(noisy(lambda x: 0.01 + 2e-6 * x + 4e-9 * x * x, 0.01, seed)).straight
            correct["kink"] += not fit(noisy(lambda x: 0.01 + 1e-5 * x + 3e-5 * max(0, x - 5000), 0.01, seed)).straight
        # two tests at a level of 2.5% each reject about one in twenty straight lines
        self.assertGreaterEqual(correct["straight"], 180)
        self.assertGreaterEqual(correct["square"], 199)
        self.assertGreaterEqual(correct["kink"], 199)

    def test_the_slope_error_matches_the_spread_over_repeated_runs(self):
        result = [fit(noisy(lambda x: 100 + 3 * x, 500, seed)) for seed in range(400)]
        spread = (sum((one.slope - 3) ** 2 for one in result) / len(result)) ** 0.5
        mean = sum(one.slope_error for one in result) / len(result)
        self.assertAlmostEqual(mean / spread, 1.0, delta=0.1)

    def test_without_noise_a_line_is_straight_and_a_square_is_not(self):
        self.assertTrue(fit([(x, 0.1 + 0.3 * x) for x in SIZES]).straight)
        self.assertTrue(fit([(x, 7.0) for x in SIZES]).straight)
        self.assertFalse(fit([(x, 1e-9 * x * x) for x in SIZES]).straight)

    def test_a_significant_but_small_curvature_counts_as_straight_and_is_reported(self):
        result = fit([(x, 3 * x + 1e-6 * x * x) for x in SIZES])
        self.assertTrue(result.straight)
        self.assertRegex(result.by, r"quadratic term: .* 0\.1% of the rise")

    def test_three_sizes_are_too_few_however_often_repeated(self):
        with self.assertRaisesRegex(TooFewPoints, "3 different sizes"):
            fit([(x, x) for x in (1, 2, 3) * 4])

    def test_a_step_that_no_parabola_follows_is_not_straight_where_sizes_are_repeated(self):
        # measured idle time below and above the limit at which idle connections are dropped
        step = {1200: 0.026, 1600: 0.030, 1900: 0.474, 2100: 0.563, 2300: 0.560}
        once = fit(list(step.items()))
        self.assertIn("a step is not told from noise", once.by)
        rng = Random(5)
        twice = fit([(x, y + rng.gauss(0, 0.02)) for x, y in step.items() for _ in range(2)])
        self.assertFalse(twice.straight, twice.by)
        self.assertIn("lack of fit", twice.by)

    def test_f_tail_probabilities_match_published_tables(self):
        # 5% and 1% points of F from standard tables; t = 12.706 with one degree of freedom is the two-sided 5% point
        for ratio, of, free, p_value in (
            (4.965, 1, 10, 0.05),
            (3.326, 5, 10, 0.05),
            (10.044, 1, 10, 0.01),
            (161.45, 1, 1, 0.05),
            (12.706**2, 1, 1, 0.05),
            (3.71, 3, 10, 0.05),
            (2.2899, 3, 1000, 0.0769),
        ):
            self.assertAlmostEqual(fits.f_tail(ratio, of, free), p_value, delta=0.0006)
        self.assertEqual((fits.f_tail(0, 3, 5), fits.f_tail(float("inf"), 3, 5)), (1.0, 0.0))


class Bounds(unittest.TestCase):
    KIND = slopes.KINDS["idle"]

    def test_a_run_beyond_the_limits_is_refused_in_one_line_with_its_needs(self):
        for sizes, limits, text in (
            ((1000, 2000, 4000), {}, "3 sizes"),
            ((1000, 2000, 4000, 20_000), dict(descriptors=20_000), "than the 20000 available"),
            (SIZES, dict(memory=2**29), "half of the machine's memory"),
        ):
            with self.assertRaises(slopes.MeasurementRefused) as caught:
                slopes.check_room(self.KIND, sizes, **limits)
            self.assertIn(text, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))
        slopes.check_room(self.KIND, SIZES, descriptors=20_000, memory=24 * 2**30)

    def test_a_refused_command_starts_no_process(self):
        with tempfile.TemporaryDirectory() as out, mock.patch("subprocess.Popen", side_effect=AssertionError("started")):
            result = CliRunner().invoke(main, ["slopes", "idle", "--out", out, "--sizes", "1,2,3,10000000"])
            self.assertEqual((result.exit_code, os.listdir(out)), (2, []))
            self.assertIn("descriptors", result.output)
            self.assertEqual(CliRunner().invoke(main, ["slopes", "nothing", "--out", out]).exit_code, 2)

    def test_help_names_every_measurement(self):
        result = " ".join(CliRunner().invoke(main, ["slopes", "--help"]).output.split())
        for name in slopes.KINDS:
            self.assertRegex(result, rf"[ :]{name},")

    def test_the_limit_of_idle_connections_is_that_of_the_nodes_descriptor_gate(self):
        from curlewshift.limits.descriptors import CROWDED_SHARE, DescriptorGate
        from curlewshift.node.node import RESERVED_DESCRIPTORS, SERVER_DESCRIPTOR_SHARE

        for limit in (500, 20_000):
            gate = DescriptorGate(limit, lambda: 0.0, int(limit * SERVER_DESCRIPTOR_SHARE) + RESERVED_DESCRIPTORS)
            self.assertEqual(slopes_idle.max_idle_connections(limit), int(gate.max_connections * CROWDED_SHARE))


class FaultyNode(StandInServer):
    """A node that closes the first connections on their request, refuses the next requests with a pause, then accepts."""

    def __init__(self, loop, closes, refuses):
        super().__init__(loop)
        self.closes, self.refuses = closes, refuses

    def make_handler(self, sock):
        reader = rtsp.Reader()

        def handle(data):
            for message in reader.feed(data):
                if self.closes:
                    self.closes -= 1
                    sock.shutdown(socket.SHUT_RDWR)
                    return
                refused = self.refuses > 0
                self.refuses -= refused
                sock.sendall(
                    rtsp.answer(
                        453 if refused else 200, "1", message.fields["session"], fields="X-Pause: 30\r\n" if refused else ""
                    )
                )

        return handle


class StandIns(unittest.TestCase):
    def setUp(self):
        self.loop = Loop()
        self.addCleanup(self.loop.close)

    def storm(self, closes=0, refuses=0, clients=40):
        node = FaultyNode(self.loop, closes, refuses)
        storm = Storm(self.loop, node.port, Random(1))
        storm.begin(clients)
        return storm

    def test_closed_and_refused_clients_of_a_storm_retry_until_all_play(self):
        storm = self.storm(closes=7, refuses=11)
        self.loop.until(lambda: len(storm.waits) >= 40, 5, "all play")
        self.loop.run(0.1)
        self.assertEqual((len(storm.waits), storm.dropped, storm.refused, len(storm.viewers)), (40, 7, 11, 40))
        # refused clients waited for the pause they were given, closed ones for `PAUSE`
        self.assertGreaterEqual(sum(wait >= 30e6 for wait in storm.waits), 18)
        self.assertGreaterEqual(max(storm.waits), PAUSE)

    def test_a_storm_with_a_client_that_is_always_refused_times_out(self):
        storm = self.storm(refuses=10**9, clients=1)
        with self.assertRaisesRegex(TimeoutError, "a storm: not within"):
            self.loop.until(lambda: storm.waits, 0.3, "a storm")
        self.assertGreater(storm.refused, 2)

    def test_a_client_dropped_before_its_first_request_reconnects(self):
        node = FaultyNode(self.loop, 0, 0)
        crowd = slopes_idle.Returning(self.loop, node.port, Random(1))
        gone = crowd.connect()
        gone.sock.shutdown(socket.SHUT_WR)
        crowd.greet(gone)
        self.loop.until(lambda: crowd.dropped, 2, "the end of stream is read")
        self.assertEqual((crowd.dropped, len(crowd.viewers), gone in crowd.viewers), (1, 1, False))

    def test_discovery_still_sends_to_other_connections_after_one_has_closed(self):
        discovery = Discovery(self.loop)
        socks = [socket.create_connection(("127.0.0.1", discovery.port)) for _ in range(2)]
        self.loop.until(lambda: len(discovery.connections) == 2, 2, "both are connected")
        discovery.connections[0].shutdown(socket.SHUT_WR)
        discovery.sent_at = 0
        self.loop.until(lambda: discovery.sent_at, 2, "an update is sent")
        self.assertEqual(len(socks[1].recv(100)), 13)
        for sock in socks:
            sock.close()

    def test_a_pace_makes_every_call_when_the_loop_is_late(self):
        stands, calls = mock.Mock(loop=self.loop, rng=Random(3)), []
        pace = Pace(stands, 1000, lambda: calls.append(1))
        pace.turn(pace.second + 10**9 - 1)
        self.assertEqual(len(calls), 1000)
        pace.stop()
        self.assertEqual(self.loop.turn_callbacks, [])

    def test_p99_is_exceeded_by_one_in_a_hundred(self):
        self.assertEqual(p99([n * 10**9 for n in range(200)]), 198.0)


class Control(unittest.TestCase):
    def test_membership_sends_more_after_a_lost_zone_than_at_rest(self):
        result = slopes_control.measure_membership(slopes.Run((9, 18), 1, Path("."), lambda text: None, rounds=1))
        quiet, lost = ([y for _, y in one.points] for one in result[:2])
        self.assertTrue(all(50 < a < 500 for a in quiet), quiet)
        self.assertTrue(all(a < b for a, b in zip(quiet, lost)), (quiet, lost))

    def test_the_given_number_of_links_is_played_on(self):
        self.assertEqual(sum(server.link.own > 0 for server in slopes_control.playing_on(160).fleet), 160)


def quadratic_growth(run):
    """Planted fault: memory grows with the square of the size. Bytes are measured, as times vary on a busy machine."""
    one = slopes.Slope("planted", ("size", "count"), ("memory", "bytes"))
    for size in run.sizes * 3:
        tracemalloc.start()
        held = [bytearray(size) for _ in range(size)]
        one.points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del held
    return [one]


class EndToEnd(unittest.TestCase):
    def test_a_small_slope_of_a_node_in_service_leaves_no_files(self):
        with tempfile.TemporaryDirectory() as out, mock.patch.object(slopes_idle, "MEASURED_BY", ("connection",)):
            result = CliRunner().invoke(
                main, ["slopes", "idle", "--out", out, "--sizes", "20,120,220,320", "--rounds", "1", "--seconds", "0.2"]
            )
            self.assertEqual(result.exit_code, 0, result.output)
            kept = {one["name"]: one for one in json.loads((Path(out) / "slope-idle.json").read_text())["slopes"]}
            self.assertEqual(os.listdir(out), ["slope-idle.json"])
            for one in kept.values():
                self.assertEqual([x for x, _ in one["points"]], [20, 120, 220, 320])
                self.assertEqual((one["of"], one["measured_to"]), ("front node", 320))
                self.assertLessEqual({"cores", "memory_GiB", "load_before", "load_after", "yardstick_s"}, set(one["machine"]))
                self.assertLessEqual({"intercept", "slope", "slope_error", "worst_residual", "straight", "by"}, set(one["fit"]))
            memory = kept["memory-by-connection"]["fit"]
            # a node takes tens of megabytes, a connection some kilobytes
            self.assertTrue(10e6 < memory["intercept"] < 100e6 and 1e3 < memory["slope"] < 3e4, memory)
            self.assertTrue(any("node/client_listener.py" in note for note in kept["idle-time-by-connection"]["notes"]))

    def test_an_interrupted_command_ends_its_node(self):
        with tempfile.TemporaryDirectory() as out:
            command = subprocess.Popen(
                [sys.executable, "-m", "curlewshift", "slopes", "idle", "--out", out],
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            try:
                children = Path(f"/proc/{command.pid}/task/{command.pid}/children")
                ends = time.monotonic() + 10
                while not children.read_text() and time.monotonic() < ends:
                    time.sleep(0.02)
                node = int(children.read_text())
                command.terminate()
                self.assertEqual(command.wait(10), 143)
            finally:
                command.kill()
            self.assertFalse(Path(f"/proc/{node}").exists())
            self.assertEqual(os.listdir(out), [])

    def test_a_cost_that_grows_quadratically_is_reported_as_not_straight(self):
        kind = slopes.Kind("planted", "", (100, 200, 300, 400), "slopes_planted.measure", lambda size: 0)
        with (
            mock.patch.dict("sys.modules", {"curlewshift.scale.slopes_planted": mock.Mock(measure=quadratic_growth)}),
            tempfile.TemporaryDirectory() as folder,
        ):
            result = slopes.measured(kind, slopes.Run(kind.sizes, 1, Path(folder), lambda text: None), "none")
        self.assertFalse(result["slopes"][0]["fit"]["straight"], result)


if __name__ == "__main__":
    unittest.main()
