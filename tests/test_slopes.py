"""Slopes of a real node: the fit, the bounds, and one tiny slope end to end, with a planted one that is not straight."""

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
from curlewshift.scale.slopes_stands import Bulletin, Listening
from curlewshift.scale.slopes_storm import PAUSE, Storm

SIZES = (1000, 2000, 4000, 6000, 8000)


def noisy(of, noise, seed, repeats=3):
    rng = Random(seed)
    return [(x, of(x) + rng.gauss(0, noise)) for x in SIZES for _ in range(repeats)]


class Fits(unittest.TestCase):
    def test_known_data_have_the_figures_of_the_textbook(self):
        # Anscombe's first set (1973): 3.0001 + .5001 x, standard error .1179
        told = fit(
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
        self.assertAlmostEqual(told.intercept, 3.0001, 4)
        self.assertAlmostEqual(told.slope, 0.5001, 4)
        self.assertAlmostEqual(told.slope_error, 0.1179, 4)
        self.assertAlmostEqual(told.worst_residual, 1.9213, 4)
        self.assertTrue(told.straight)

    def test_anscombes_bent_set_has_the_same_line_and_is_not_straight(self):
        told = fit(
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
        self.assertAlmostEqual(told.slope, 0.5000, 3)
        self.assertFalse(told.straight)

    def test_straight_and_bent_are_told_apart_under_noise(self):
        right = {"straight": 0, "square": 0, "kink": 0}
        for seed in range(200):
            right["straight"] += fit(noisy(lambda x: 5e7 + 9000 * x, 2e6, seed)).straight
            right["square"] += not fit(noisy(lambda x: 0.01 + 2e-6 * x + 4e-9 * x * x, 0.01, seed)).straight
            right["kink"] += not fit(noisy(lambda x: 0.01 + 1e-5 * x + 3e-5 * max(0, x - 5000), 0.01, seed)).straight
        # two tests at 97.5% are wrong about straight ones in one of twenty
        self.assertGreaterEqual(right["straight"], 180)
        self.assertGreaterEqual(right["square"], 199)
        self.assertGreaterEqual(right["kink"], 199)

    def test_the_error_is_that_of_the_slopes_which_repeated_runs_give(self):
        told = [fit(noisy(lambda x: 100 + 3 * x, 500, seed)) for seed in range(400)]
        spread = (sum((one.slope - 3) ** 2 for one in told) / len(told)) ** 0.5
        mean = sum(one.slope_error for one in told) / len(told)
        self.assertAlmostEqual(mean / spread, 1.0, delta=0.1)

    def test_without_noise_a_line_is_straight_and_a_square_is_not(self):
        self.assertTrue(fit([(x, 0.1 + 0.3 * x) for x in SIZES]).straight)
        self.assertTrue(fit([(x, 7.0) for x in SIZES]).straight)
        self.assertFalse(fit([(x, 1e-9 * x * x) for x in SIZES]).straight)

    def test_a_bend_that_is_proven_and_too_small_to_matter_is_straight_and_said(self):
        told = fit([(x, 3 * x + 1e-6 * x * x) for x in SIZES])
        self.assertTrue(told.straight)
        self.assertRegex(told.by, r"quadratic term: .* 0\.1% of the rise")

    def test_three_sizes_are_too_few_however_often_repeated(self):
        with self.assertRaisesRegex(TooFewPoints, "3 different sizes"):
            fit([(x, x) for x in (1, 2, 3) * 4])

    def test_a_step_that_no_parabola_follows_is_not_straight_where_sizes_are_repeated(self):
        # as measured: idle time under and over the mark from which resting connections are dropped
        step = {1200: 0.026, 1600: 0.030, 1900: 0.474, 2100: 0.563, 2300: 0.560}
        once = fit(list(step.items()))
        self.assertIn("a step is not told from noise", once.by)
        rng = Random(5)
        twice = fit([(x, y + rng.gauss(0, 0.02)) for x, y in step.items() for _ in range(2)])
        self.assertFalse(twice.straight, twice.by)
        self.assertIn("lack of fit", twice.by)

    def test_the_chance_of_a_ratio_is_that_of_the_tables(self):
        # 5% and 1% of F, from any table; t of 12.706 with one free is 5% on both sides
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

    def test_what_does_not_fit_is_refused_in_one_line_with_what_is_wanted(self):
        for sizes, limits, words in (
            ((1000, 2000, 4000), {}, "3 sizes"),
            ((1000, 2000, 4000, 20_000), dict(descriptors=20_000), "than the 20000 there are"),
            (SIZES, dict(memory=2**29), "half of the machine's memory"),
        ):
            with self.assertRaises(slopes.MeasurementRefused) as caught:
                slopes.check_room(self.KIND, sizes, **limits)
            self.assertIn(words, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))
        slopes.check_room(self.KIND, SIZES, descriptors=20_000, memory=24 * 2**30)

    def test_a_command_that_does_not_fit_starts_nothing(self):
        with tempfile.TemporaryDirectory() as out, mock.patch("subprocess.Popen", side_effect=AssertionError("started")):
            told = CliRunner().invoke(main, ["slopes", "idle", "--out", out, "--sizes", "1,2,3,10000000"])
            self.assertEqual((told.exit_code, os.listdir(out)), (2, []))
            self.assertIn("descriptors", told.output)
            self.assertEqual(CliRunner().invoke(main, ["slopes", "nothing", "--out", out]).exit_code, 2)

    def test_help_names_each_there_is(self):
        told = " ".join(CliRunner().invoke(main, ["slopes", "--help"]).output.split())
        for name in slopes.KINDS:
            self.assertRegex(told, rf"[ :]{name},")

    def test_connections_that_may_rest_are_those_that_the_nodes_own_gate_lets_rest(self):
        from curlewshift.limits.descriptors import CROWDED_SHARE, DescriptorGate
        from curlewshift.node.node import RESERVED_DESCRIPTORS, SERVER_DESCRIPTOR_SHARE

        for limit in (500, 20_000):
            gate = DescriptorGate(limit, lambda: 0.0, int(limit * SERVER_DESCRIPTOR_SHARE) + RESERVED_DESCRIPTORS)
            self.assertEqual(slopes_idle.resting_most(limit), int(gate.max_connections * CROWDED_SHARE))


class Spoilt(Listening):
    """A node that closes the first connections under their request, refuses the next ones with a pause, and then plays."""

    def __init__(self, loop, closes, refuses):
        super().__init__(loop)
        self.closes, self.refuses = closes, refuses

    def taker(self, sock):
        reader = rtsp.Reader()

        def take(data):
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

        return take


class Stand(unittest.TestCase):
    def setUp(self):
        self.loop = Loop()
        self.addCleanup(self.loop.close)

    def storm(self, closes=0, refuses=0, clients=40):
        node = Spoilt(self.loop, closes, refuses)
        storm = Storm(self.loop, node.port, Random(1))
        storm.begin(clients)
        return storm

    def test_who_is_closed_or_refused_in_a_storm_comes_again_until_all_play(self):
        storm = self.storm(closes=7, refuses=11)
        self.loop.until(lambda: len(storm.waits) >= 40, 5, "all play")
        self.loop.run(0.1)
        self.assertEqual((len(storm.waits), storm.dropped, storm.refused, len(storm.viewers)), (40, 7, 11, 40))
        # the refused have waited as long as they were told, the closed their own pause
        self.assertGreaterEqual(sum(wait >= 30e6 for wait in storm.waits), 18)
        self.assertGreaterEqual(max(storm.waits), PAUSE)

    def test_a_storm_of_which_one_is_refused_for_ever_is_not_measured(self):
        storm = self.storm(refuses=10**9, clients=1)
        with self.assertRaisesRegex(TimeoutError, "a storm: not within"):
            self.loop.until(lambda: storm.waits, 0.3, "a storm")
        self.assertGreater(storm.refused, 2)

    def test_who_is_dropped_before_it_says_anything_comes_again(self):
        node = Spoilt(self.loop, 0, 0)
        crowd = slopes_idle.Returning(self.loop, node.port, Random(1))
        gone = crowd.connect()
        gone.sock.shutdown(socket.SHUT_WR)
        crowd.greet(gone)
        self.loop.until(lambda: crowd.dropped, 2, "its end is read")
        self.assertEqual((crowd.dropped, len(crowd.viewers), gone in crowd.viewers), (1, 1, False))

    def test_a_bulletin_whose_follower_has_closed_tells_the_others(self):
        bulletin = Bulletin(self.loop)
        socks = [socket.create_connection(("127.0.0.1", bulletin.port)) for _ in range(2)]
        self.loop.until(lambda: len(bulletin.lines) == 2, 2, "both are there")
        bulletin.lines[0].shutdown(socket.SHUT_WR)
        bulletin.told_at = 0
        self.loop.until(lambda: bulletin.told_at, 2, "it has told")
        self.assertEqual(len(socks[1].recv(100)), 13)
        for sock in socks:
            sock.close()

    def test_a_pace_leaves_nothing_out_when_the_loop_comes_late(self):
        stands, calls = mock.Mock(loop=self.loop, rng=Random(3)), []
        pace = Pace(stands, 1000, lambda: calls.append(1))
        pace.turn(pace.second + 10**9 - 1)
        self.assertEqual(len(calls), 1000)
        pace.stop()
        self.assertEqual(self.loop.each_turn, [])

    def test_p99_is_what_one_in_a_hundred_passes(self):
        self.assertEqual(p99([n * 10**9 for n in range(200)]), 198.0)


class Control(unittest.TestCase):
    def test_a_lost_zone_costs_membership_more_than_rest_does(self):
        told = slopes_control.measure_membership(slopes.Run((9, 18), 1, Path("."), lambda text: None, rounds=1))
        quiet, lost = ([y for _, y in one.points] for one in told[:2])
        self.assertTrue(all(50 < a < 500 for a in quiet), quiet)
        self.assertTrue(all(a < b for a, b in zip(quiet, lost)), (quiet, lost))

    def test_so_many_links_as_said_are_played_on(self):
        self.assertEqual(sum(server.link.own > 0 for server in slopes_control.playing_on(160).fleet), 160)


def growing_by_the_square(run):
    """The planted wrong: each of a size holds as much as the size is. Bytes are measured, as time here is anybody's."""
    one = slopes.Slope("planted", ("size", "count"), ("memory", "bytes"))
    for size in run.sizes * 3:
        tracemalloc.start()
        held = [bytearray(size) for _ in range(size)]
        one.points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del held
    return [one]


class EndToEnd(unittest.TestCase):
    def test_a_tiny_slope_of_a_node_in_service_and_nothing_left_of_it(self):
        with tempfile.TemporaryDirectory() as out, mock.patch.object(slopes_idle, "MEASURED_BY", ("connection",)):
            told = CliRunner().invoke(
                main, ["slopes", "idle", "--out", out, "--sizes", "20,120,220,320", "--rounds", "1", "--seconds", "0.2"]
            )
            self.assertEqual(told.exit_code, 0, told.output)
            kept = {one["name"]: one for one in json.loads((Path(out) / "slope-idle.json").read_text())["slopes"]}
            self.assertEqual(os.listdir(out), ["slope-idle.json"])
            for one in kept.values():
                self.assertEqual([x for x, _ in one["points"]], [20, 120, 220, 320])
                self.assertEqual((one["of"], one["measured_to"]), ("front node", 320))
                self.assertLessEqual({"cores", "memory_GiB", "load_before", "load_after", "yardstick_s"}, set(one["machine"]))
                self.assertLessEqual({"intercept", "slope", "slope_error", "worst_residual", "straight", "by"}, set(one["fit"]))
            memory = kept["memory-by-connection"]["fit"]
            # a node is tens of megabytes, and a connection some kilobytes of it
            self.assertTrue(10e6 < memory["intercept"] < 100e6 and 1e3 < memory["slope"] < 3e4, memory)
            self.assertTrue(any("node/client_listener.py" in note for note in kept["idle-time-by-connection"]["notes"]))

    def test_broken_off_it_ends_its_node(self):
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

    def test_one_whose_cost_grows_by_the_square_is_called_not_straight(self):
        kind = slopes.Kind("planted", "", (100, 200, 300, 400), "slopes_planted.measure", lambda size: 0)
        with (
            mock.patch.dict("sys.modules", {"curlewshift.scale.slopes_planted": mock.Mock(measure=growing_by_the_square)}),
            tempfile.TemporaryDirectory() as folder,
        ):
            told = slopes.measured(kind, slopes.Run(kind.sizes, 1, Path(folder), lambda text: None), "none")
        self.assertFalse(told["slopes"][0]["fit"]["straight"], told)


if __name__ == "__main__":
    unittest.main()
