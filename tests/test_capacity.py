"""Tests that the capacity page agrees with the command that computes it, and that errors in either are detected."""

import json
import re
import shutil
import tempfile
import unittest
from pathlib import Path
from statistics import linear_regression

import msgspec
from click.testing import CliRunner

from curlewshift.capacity.at_control import MAX_LISTED_SERVERS, REPORT_INTERVAL_S
from curlewshift.capacity.figures import Figure, format_number
from curlewshift.capacity.measured import Measurements
from curlewshift.capacity.options import DEPENDENCIES, shortfalls
from curlewshift.capacity.page import BLOCK, PageTableMismatch, differences, written
from curlewshift.capacity.rows import FRONT, MEMORY, MESSAGES, PROCESSOR, ROLES, STATE, Mechanism, Row
from curlewshift.capacity.slopes import InvalidMeasurements, slope_of
from curlewshift.capacity.tables import all_rows, tables
from curlewshift.commands.capacity import DEFAULT_SIZE, MEASURED, PAGE, ROOT, read_size
from curlewshift.commands.main import COMMANDS, main
from curlewshift.distribution.terms import NS, DistributionTerms
from curlewshift.emulator.versions import site_file
from curlewshift.node import discovery
from curlewshift.peering import leasing, overloaded
from curlewshift.peering.frames import Frame, encode
from curlewshift.site.reading import SiteErrors

TEXT = DEFAULT_SIZE.read_text()


def run(*arguments):
    return CliRunner().invoke(main, ["capacity", *map(str, arguments)])


def line_file(name, intercept, slope, xs=(100, 200, 300, 400), unit="bytes", x="connection", bend=0.0):
    points = [[size, intercept + slope * size + bend * size * size] for size in xs]
    # fitted by the standard library, independently of the code under test
    line = linear_regression(*zip(*points))
    fit = {"intercept": line.intercept, "slope": line.slope, "slope_error": 0.0, "straight": not bend}
    return {
        "slopes": [
            {
                "name": name,
                "of": "front node",
                "x": {"name": x, "unit": "count"},
                "y": {"name": "y", "unit": unit},
                "command": f"bin/curlewshift slopes {name}",
                "points": points,
                "fit": fit,
                "notes": [],
            }
        ]
    }


class TemporaryFolderTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.measured = self.folder / "measured"

    def size(self, *changes, text=TEXT):
        for old, new in changes:
            self.assertIn(old, text)
            text = text.replace(old, new, 1)
        path = self.folder / "size.xml"
        path.write_text(text)
        return path

    def files(self, **held):
        shutil.rmtree(self.measured, ignore_errors=True)
        self.measured.mkdir()
        for name, content in held.items():
            (self.measured / f"{name.replace('_', '-')}.json").write_text(json.dumps(content))
        return Measurements(self.measured)


class PageAndCommand(TemporaryFolderTest):
    def test_page_matches_the_computed_tables(self):
        result = run("--check")
        self.assertEqual((result.exit_code, result.stderr), (0, ""), "bin/curlewshift capacity --write puts it there")

    def test_each_changed_table_row_is_reported_with_its_line(self):
        page, made = PAGE.read_text(), tables(read_size(DEFAULT_SIZE), Measurements(MEASURED), ROOT)
        lines, tried = page.split("\n"), 0
        for block in BLOCK.finditer(page):
            first = page.count("\n", 0, block.start(3))
            for place, line in enumerate(block[3].rstrip("\n").split("\n"), first):
                corrupt = re.sub(r"\d", lambda digit: str((int(digit[0]) + 1) % 10), line, count=1)
                if corrupt != line:
                    mismatches = differences("\n".join([*lines[:place], corrupt, *lines[place + 1 :]]), made)
                    self.assertEqual([(at, actual) for at, actual, _ in mismatches], [(place + 1, corrupt)])
                    tried += 1
        self.assertGreater(tried, 60)

    def test_a_removed_row_and_a_table_without_markers_are_detected(self):
        page, made = PAGE.read_text(), tables(read_size(DEFAULT_SIZE), Measurements(MEASURED), ROOT)
        row = next(line for line in page.split("\n") if line.startswith("| front nodes"))
        self.assertTrue(differences(page.replace(row + "\n", ""), made))
        last = page.split("\n<!-- /capacity -->")[1].split("\n")[-1]
        self.assertEqual(len(differences(page.replace(last + "\n", "", 1), made)), 1)
        for corrupt in (page.replace("<!-- capacity: order -->", ""), page + "\n<!-- capacity: more -->\n<!-- /capacity -->\n"):
            with self.assertRaises(PageTableMismatch):
                differences(corrupt, made)

    def test_check_detects_a_changed_measurement(self):
        shutil.copytree(MEASURED, self.measured)
        self.assertEqual(run("--check", "--measured", self.measured).exit_code, 0)
        path = self.measured / "shared.json"
        content = json.loads(path.read_text())
        content["sizes"][-1]["bytes_a_second"] += 10
        path.write_text(json.dumps(content))
        checked = run("--check", "--measured", self.measured)
        self.assertEqual(checked.exit_code, 1)
        self.assertIn("86,386 bytes/s (simulated)", checked.stderr)

    def test_write_changes_only_the_tables_and_satisfies_check(self):
        page = self.folder / "page.md"
        corrupt = PAGE.read_text().replace("×21.6", "×2.16")
        page.write_text(corrupt)
        self.assertEqual(run("--check", "--page", page).exit_code, 1)
        self.assertEqual(run("--write", "--page", page).exit_code, 0)
        self.assertEqual(page.read_text(), PAGE.read_text())
        made = tables(read_size(DEFAULT_SIZE), Measurements(MEASURED), ROOT)
        self.assertEqual(BLOCK.sub("", corrupt), BLOCK.sub("", written(corrupt, made)))

    def test_commands_named_on_the_page_exist(self):
        commands = set(re.findall(r"`bin/curlewshift ([^`]+)`", PAGE.read_text()))
        self.assertTrue(commands)
        for command in commands:
            noun, *rest = command.split()
            self.assertIn(noun, COMMANDS, command)
            if rest and hasattr(main.get_command(None, noun), "commands"):
                self.assertIn(rest[0], main.get_command(None, noun).commands, command)

    def test_each_role_has_a_row_for_each_resource(self):
        there = {(row.role, row.what) for row in all_rows(read_size(DEFAULT_SIZE), Measurements(MEASURED))}
        self.assertEqual({(role, what) for role in ROLES for what in (STATE, MESSAGES, PROCESSOR, MEMORY)} - there, set())

    def test_mechanisms_exist_in_the_tree(self):
        for row in all_rows(read_size(DEFAULT_SIZE), Measurements(MEASURED)):
            if row.mechanism is not None:
                self.assertTrue(row.mechanism.exists(ROOT), row.mechanism)
        self.assertFalse(Mechanism("curlewshift/node/buffered_connection.py", "class BufferedConnnection").exists(ROOT))


class SizeFiles(TemporaryFolderTest):
    def errors(self, *changes):
        path = self.size(*changes)
        result = run(path)
        self.assertEqual(result.exit_code, 2)
        with self.assertRaises(SiteErrors):
            read_size(path)
        return result.stderr.replace(str(path), "F")

    def line(self, what):
        return next(number for number, line in enumerate(TEXT.splitlines(), 1) if what in line)

    def test_both_files_are_read(self):
        size = read_size(DEFAULT_SIZE)
        self.assertEqual(
            (size.nodes, size.zones, size.p99, size.in_force_within, size.control_bytes, size.regions_apart),
            (630, 9, 0.18, 18.0, 4000.0, 600.0),
        )
        self.assertEqual(read_size(DEFAULT_SIZE.with_name("two-hundred.xml")).nodes, 200)

    def test_an_invalid_size_file_is_rejected_with_reason_file_and_line(self):
        for change, at, reason in (
            (('nodes="630"', 'nodes="many"'), "<fleet", "fleet: nodes should be a whole number above 0, but is 'many'"),
            (('zones="9"', 'zones="2"'), "<fleet", "2 zones cannot make 3 regions"),
            (('nodes="630"', 'nodes="8"'), "<fleet", "8 nodes cannot fill 9 zones"),
            (('p99="180ms"', 'p99="180"'), "<deliveries", "p99 should be a time with its unit"),
            (('core="0.034"', 'core="3.4"'), "<control", "core should be a number from 0 to 1"),
            (('core="0.034"', 'core="0"'), "<control", "core should be above 0"),
            (('bytes="4kB/s"', ""), "<control", "control: bytes is missing"),
            (('largest-listeners="2700000"', 'largest-listeners="44000000"'), "<topics", "more than all viewings"),
            (('name="servers" value="2000"', 'name="servers" value="200"'), 'name="servers-played-on"', "more servers than"),
            (('name="servers" ', 'name="cores-a-node" '), 'name="cores-a-node"', "cores-a-node"),
            (('name="nodes-a-rack" value="10"', 'name="nodes-a-rack" value="71"'), 'name="nodes-a-rack"', "more than a zone"),
            (('name="lease-word-bytes"', 'name="lease-bytes"'), 'name="lease-word-bytes"', "lease-bytes"),
        ):
            with self.subTest(change=change):
                result = self.errors(change)
                self.assertIn(reason, result)
                self.assertIn(f"F:{self.line(at)}: ", result)

    def test_a_missing_assumption_and_an_unreadable_file_are_reported(self):
        left_out = next(line for line in TEXT.splitlines() if 'name="servers"' in line)
        self.assertIn(f"F:{self.line('<size')}: size: the assumption servers is missing", self.errors((left_out, "")))
        self.assertIn("this is not XML", self.errors(("</size>", "")))
        self.assertEqual(run(self.folder / "none.xml").exit_code, 2)


class Figures(TemporaryFolderTest):
    """A small size with figures that are easy to verify: 10 nodes with 1,000 connections each, in 2 zones and 2 regions."""

    def small(self):
        return read_size(
            self.size(
                (
                    'nodes="630" connections="43000000" regions="3" zones="9"',
                    'nodes="10" connections="10000" regions="2" zones="2"',
                ),
                ('largest-listeners="2700000"', 'largest-listeners="5000"'),
                ('a-second="8200000"', 'a-second="20000"'),
                ('"nodes-a-rack" value="10"', '"nodes-a-rack" value="2"'),
                ('"memory-a-node-GB" value="16"', '"memory-a-node-GB" value="0.005"'),
            )
        )

    def row(self, measured, description, what=None):
        return next(
            row for row in all_rows(self.small(), measured) if description in row.description and what in (None, row.what)
        )

    def test_a_straight_slope_is_extrapolated_with_factor_error_and_unit(self):
        content = line_file("memory-by-connection-with-viewing", 1_000_000, 9_000)
        content["slopes"][0]["points"][0][1] += 30_000
        content["slopes"][0]["fit"] = {"intercept": 1_030_000, "slope": 8_910, "slope_error": 52, "straight": True}
        row = self.row(self.files(slope_memory=content), "all connections with their viewings")
        figure = row.figure
        self.assertEqual(
            (figure.unit, figure.origin, figure.extent_unit, figure.measured_to), ("MB", "worked out", "connections", 400)
        )
        self.assertAlmostEqual(figure.value, 1.03 + 8.91)
        # the slope's standard error times the extent, plus the largest residual
        self.assertAlmostEqual(figure.error, 0.05196 + 0.012, places=4)
        self.assertEqual(figure.limit(), "measured to 400 connections, wanted 1,000: ×2.5, carried")
        self.assertEqual(row.verdict(ROOT), "over: ×1.99 of 5 MB")

    def test_a_slope_that_is_not_straight_is_interpolated_and_not_extrapolated(self):
        measured = self.files(slope_idle=line_file("idle-time-by-connection-with-viewing", 0, 0, unit="seconds", bend=1e-6))
        figure = self.row(measured, "all viewings playing").figure
        self.assertAlmostEqual(figure.value, 0.16)
        self.assertEqual((figure.is_lower_bound, figure.unit), (True, "cores"))
        self.assertIn("not carried", figure.limit())
        self.assertIn("not known: at least", self.row(measured, "all viewings playing").verdict(ROOT))
        waits = slope_of(line_file("p99-by-request", 0.01, 0.0001, unit="seconds")["slopes"][0], "F")
        self.assertAlmostEqual(waits.at(1000, "ms", extrapolate=False).value, 50)
        self.assertTrue(waits.at(1000, "ms", extrapolate=False).is_lower_bound)
        self.assertAlmostEqual(waits.at(250, "ms", extrapolate=False).value, 35)
        self.assertAlmostEqual(measured.slopes["idle-time-by-connection-with-viewing"].at(250, "s").value, (0.04 + 0.09) / 2)

    def test_errors_are_added_and_multiplied_with_figures(self):
        first, second = Figure(10, "MB", "measured", 1), Figure(20, "MB", "measured", 2)
        both = first.plus(second)
        self.assertEqual((both.value, both.error, both.origin), (30, 3, "worked out"))
        self.assertEqual((first.times(5, "MB").value, first.times(5, "MB").error), (50, 5))
        with self.assertRaises(ValueError):
            first.plus(Figure(1, "bytes/s", "measured"))

    def test_repeats_of_a_size_count_by_their_mean(self):
        content = line_file("idle-time-by-connection", 0, 0, unit="seconds", bend=1e-6, xs=(100, 200, 300, 400, 400))["slopes"][0]
        content["points"][-1][1] = 0.18
        line = linear_regression(*zip(*content["points"]))
        content["fit"].update(intercept=line.intercept, slope=line.slope)
        figure = slope_of(content, "F").at(400, "s")
        self.assertAlmostEqual(figure.value, 0.17)
        self.assertAlmostEqual(figure.error, 0.01)
        self.assertEqual((figure.origin, figure.method), ("measured", "run at 400 connections"))
        # interpolated between the means of the neighbouring sizes
        self.assertAlmostEqual(slope_of(content, "F").at(350, "s").value, (0.09 + 0.17) / 2)

    def test_connections_without_a_viewing_use_their_own_slope(self):
        size = read_size(self.size(('"viewings-a-connection" value="1"', '"viewings-a-connection" value="0.5"')))
        measured = self.files(
            slope_a=line_file("memory-by-connection-with-viewing", 1_000_000, 9_000),
            slope_b=line_file("memory-by-connection", 1_000_000, 2_000),
        )
        row = next(row for row in all_rows(size, measured) if "all connections with their viewings" in row.description)
        self.assertAlmostEqual(row.figure.value, 1 + (43e6 / 630 / 2) * 0.011, places=3)

    def test_an_acceptor_has_its_share_of_all_lease_messages(self):
        content = {"sizes": [{}, {}, {}, {}, {"words_a_second_a_lease": 10.0}]}
        row = self.row(self.files(leases=content), "at each of five keepers")
        self.assertAlmostEqual(row.figure.value, 32 * 10.0 / 5 * 100)
        self.assertEqual(self.small().deliveries_a_node, 2000)

    def test_time_until_in_force_is_of_the_run_and_of_the_simulation(self):
        content = {
            "nodes": 630,
            "no_loss": {"last_node_s": [2.0, 3.0]},
            "loss_of_5_percent": {"last_node_s": [2.0, None]},
            "zone_returns_empty": {"in_force_in_all_s": 19.8, "others_sent_worst": 5000},
        }
        measured = self.files(versions=content)
        for label, verdict in (
            ("nothing lost: slowest of 2 changes, simulated", "within: ×0.17 of 18 s"),
            ("5% of datagrams lost: slowest of 2 changes, sim", "over: at least ×3.33 of 18 s"),
            ("all of a zone that is back at once", "over: ×1.1 of 18 s"),
            ("of the others the one that sends most", "over: ×1.25 of 4,000 bytes/s"),
        ):
            self.assertEqual(self.row(measured, label).verdict(ROOT), verdict, label)
        self.assertIn("not measured", self.row(measured, "time until in force everywhere").verdict(ROOT))
        self.assertIn(
            "in a smaller run",
            self.row(self.files(versions={**content, "nodes": 5}), "nothing lost: slowest of 2 changes, s").verdict(ROOT),
        )
        made, late, lost = (
            {"ok": True, "everywhere_s": 4.0},
            {"ok": True, "everywhere_s": 20.0},
            {"ok": True, "everywhere_s": None},
        )
        run = {
            "nodes": 24,
            "versions": {"no_loss": [made, made], "loss": [made, lost]},
            "faults": [
                {"kind": "zone-lost", "change_while": late, "change_after": {"ok": False, "refused": ["no majority"]}},
                {"kind": "regions-apart", "change_while": {"ok": False, "no_majority": True}, "change_after": made},
            ],
            "stretch": {"changes": 100, "restarts": 20, "everywhere_worst_s": 9.0, "not_everywhere": 1},
        }
        measured = self.files(scale_24=run)
        for label, verdict in (
            ("nothing lost: slowest of 2 changes", "within: ×0.22 of 18 s"),
            ("5% of datagrams lost", "over: at least ×3.33 of 18 s"),
            ("a change while zone-lost", "over: ×1.11 of 18 s"),
            ("a change after zone-lost", "over: at least ×3.33 of 18 s"),
            ("a change after regions-apart", "within: ×0.22 of 18 s"),
            ("slowest of 100 changes with 20 restarts", "over: at least ×3.33 of 18 s"),
        ):
            self.assertEqual(self.row(measured, label).verdict(ROOT), verdict, label)
        # a change refused for want of a majority does not count as late
        self.assertFalse([row for row in all_rows(self.small(), measured) if "while regions-apart" in row.description])

    def test_rehearsed_days_count_by_the_slowest_without_sabotage(self):
        def day(most, sabotage=None, late=0):
            return {
                "sabotage": sabotage,
                "command": "bin/curlewshift rehearse D",
                "configuration": {"in_force_max_s": most, "late": late, "missing": 0},
            }

        row = self.row(self.files(configuration_day={"days": [day(8.0), day(10.0), day(50.0, "half-in-force")]}), "rehearsed day")
        self.assertEqual((row.figure.value, row.figure.command), (10.0, "bin/curlewshift rehearse D"))
        self.assertEqual(row.verdict(ROOT), "not known: ×0.56 of 18 s in a smaller run, and not carried")

    def test_a_list_counts_by_the_increase_and_is_bounded_by_a_frame(self):
        self.assertEqual((discovery.MAX_FRAME_BYTES - 9) // discovery.RECORD.size, MAX_LISTED_SERVERS)
        measured = self.files(slope_list=line_file("memory-by-servers", 30_000_000, 4_000))
        self.assertAlmostEqual(self.row(measured, "a list of 2,000 servers").figure.value, 8.0)
        bent = self.files(slope_list=line_file("memory-by-servers", 30_000_000, 0, bend=1.0, xs=(1000, 2000, 3000, 4000)))
        self.assertAlmostEqual(self.row(bent, "a list of 2,000 servers").figure.value, 4.0 - 1.0)
        self.assertEqual(self.row(measured, "servers that a whole list has to hold").verdict(ROOT), "over: ×3.3 of 606 servers")

    def test_a_line_with_too_much_scatter_is_not_extrapolated(self):
        content = line_file("idle-time-by-connection", 0.0, 1e-4, unit="seconds")["slopes"][0]
        for off, carried in ((0.0004, True), (0.008, False)):
            content["points"][1][1] = 0.02 + off
            line = linear_regression(*zip(*content["points"]))
            content["fit"].update(intercept=line.intercept, slope=line.slope)
            figure = slope_of(content, "F").at(4000, "s")
            self.assertEqual(figure.is_lower_bound, not carried)
        self.assertEqual((figure.value, figure.method), (0.04, "too scattered to carry: by its last point"))

    def test_the_most_expensive_delivery_determines_processes_and_notices_the_wait(self):
        measured = self.files(
            slope_a=line_file("processor-time-by-request", 0.0, 0.004, unit="seconds", x="set-ups a second"),
            slope_b=line_file("processor-time-by-notice", 0.0, 0.001, unit="seconds", x="notices a second"),
        )
        rows = {row.description: row for row in all_rows(self.small(), measured)}
        self.assertAlmostEqual(rows["2,000 deliveries a second, were all notices"].figure.value, 2.0)
        dear = rows["the same on all cores of the machine, were all of the dearest kind"]
        self.assertEqual(dear.verdict(ROOT), "within: ×1 of 8 cores")
        self.assertAlmostEqual(rows["processes that the dearest kind of delivery takes"].figure.value, 8)
        self.assertAlmostEqual(rows["connections of one process in so many"].figure.value, 125)
        self.assertEqual(rows["500 listeners of the largest topic told at once"].verdict(ROOT), "over: ×2.78 of 180 ms")

    def test_a_slope_whose_fit_differs_from_its_points_is_rejected(self):
        for corrupt_slope in (
            lambda entry: entry["points"][2].__setitem__(1, 9e6),
            lambda entry: entry["fit"].update(slope=9_100),
            lambda entry: entry["fit"].update(intercept=0),
            lambda entry: entry["points"].pop(),
            lambda entry: entry.pop("command"),
            lambda entry: entry["fit"].pop("straight"),
        ):
            content = line_file("memory-by-connection", 1_000_000, 9_000)
            slope_of(content["slopes"][0], "slope-memory.json")
            corrupt_slope(content["slopes"][0])
            with self.assertRaises(InvalidMeasurements) as caught:
                self.files(slope_memory=content)
            self.assertIn("slope-memory.json: slope memory-by-connection: ", str(caught.exception))
        self.assertEqual(run("--measured", self.measured).exit_code, 2)

    def test_assumed_message_sizes_match_encoded_messages(self):
        size = read_size(DEFAULT_SIZE)

        def encoded_bytes(kind, body):
            return len(
                encode(
                    Frame(
                        "site",
                        "front-000",
                        "10.1.0.1",
                        8181,
                        1_800_000_000_000_000,
                        3,
                        100_000,
                        kind,
                        0,
                        "",
                        2**63,
                        [],
                        msgspec.msgpack.encode(body),
                    )
                )
            )

        ballot = (1_800_000_000_000_000, 100, 3)
        lease_bytes = [
            encoded_bytes(leasing.KIND, leasing.Body(1, "probe/3", ballot)),
            encoded_bytes(leasing.KIND, leasing.Body(4, "probe/3", ballot, 1_800_000_000_000, 3, ballot)),
        ]
        self.assertLessEqual(lease_bytes[0], size.assumption("lease-word-bytes"))
        self.assertLessEqual(size.assumption("lease-word-bytes"), lease_bytes[1])
        rounds = [
            encoded_bytes(
                overloaded.KIND, overloaded.Body(100_000, "zone-3", -1, "", [(n * 50, 3.5) for n in range(many)], 30.5, 2.5)
            )
            for many in (3, 20)
        ]
        self.assertLess(rounds[0], size.assumption("round-word-bytes"))
        self.assertLess(size.assumption("round-word-bytes"), rounds[1])
        self.assertEqual(
            encoded_bytes(overloaded.KIND, overloaded.Body(100_000, "zone-3", 512, "served of what was let in")),
            size.assumption("level-word-bytes"),
        )

    def test_the_assumed_configuration_size_matches_a_site_file(self):
        for name, nodes in (("two-years", 630), ("two-hundred", 200)):
            assumed_kb = read_size(DEFAULT_SIZE.with_name(f"{name}.xml")).assumption("configuration-kB")
            self.assertAlmostEqual(len(site_file(nodes)) / 1000 / assumed_kb, 1, delta=0.01)

    def test_the_report_interval_is_that_of_distribution(self):
        self.assertEqual(DistributionTerms(("c1",)).report_interval, REPORT_INTERVAL_S * NS)

    def test_a_unit_that_cannot_be_converted_is_rejected(self):
        with self.assertRaises(InvalidMeasurements):
            all_rows(self.small(), self.files(slope_memory=line_file("memory-by-connection", 1, 1, unit="seconds")))

    def test_without_files_no_row_has_a_measured_figure(self):
        rows = all_rows(self.small(), self.files())
        self.assertEqual([row.description for row in rows if row.figure and row.figure.origin in ("measured", "simulated")], [])
        self.assertEqual([row.description for row in rows if row.figure and row.figure.files], [])
        self.assertIn("not measured", {row.verdict(ROOT) for row in rows})

    def test_a_scale_run_fills_the_control_rows_and_the_sum_needs_all_parts(self):
        part = {"bytes_a_second": {"mean": 1500.0, "worst": 3000.0}, "core": {"mean": 0.01, "worst": 0.02}, "memory_kB": 2000}
        content = {
            "command": "bin/curlewshift scale",
            "nodes": 24,
            "a_node": {name: part for name in ("membership", "sharing", "leases")},
        }
        measured = self.files(scale_630=content, scale_24=content, scale_8=content)
        self.assertEqual(
            (measured.scale_file(10), measured.scale_file(630), measured.scale_file(1000)),
            ("scale-24.json", "scale-630.json", "scale-630.json"),
        )
        self.assertEqual(self.row(measured, "control: membership", MEMORY).figure.value, 2.0)
        self.assertIsNone(self.row(measured, "control: all four together out").figure)
        content["a_node"]["distribution"] = part
        row = self.row(self.files(scale_24=content), "control: all four together out")
        self.assertEqual((row.figure.value, row.verdict(ROOT)), (6000.0, "over: ×1.5 of 4,000 bytes/s"))
        # a mean that includes nodes without sharing does not show the cost of a node that shares
        content["model"] = {"sharing": {"nodes": 12}}
        self.assertIsNone(self.row(self.files(scale_24=content), "control: sharing out").figure)

    def test_faults_have_rows_of_their_own_and_a_smaller_run_is_not_extrapolated(self):
        part = {"all": {"bytes_a_second": {"mean": 4900.0, "worst": 6000.0}}}
        content = {"nodes": 630, "faults": [{"kind": "zone-lost", "known_s": 7.5, "while": {"lasted_s": 15.1, **part}}]}
        measured, label = self.files(scale_630=content), "all that ran, while zone-lost, over 15 s"
        self.assertEqual(self.row(measured, label).verdict(ROOT), "over: ×1.23 of 4,000 bytes/s")
        self.assertIn("until all agree: 7.5 s (measured)", tables(self.small(), measured, ROOT)["failures"])
        content["nodes"], part["all"]["bytes_a_second"]["mean"] = 5, 400.0
        row = self.row(self.files(scale_5=content), label)
        self.assertEqual(row.figure.limit(), "measured to 5 nodes, wanted 10: ×2.0, not carried")
        self.assertEqual(row.verdict(ROOT), "not known: ×0.1 of 4,000 bytes/s in a smaller run, and not carried")
        self.assertEqual(row.figure.text(), "400 bytes/s (measured)")
        content |= {"nodes": 630, "verdict": {"ok": False}}
        self.assertEqual(
            self.row(self.files(scale_630=content), label).verdict(ROOT),
            "not known: ×0.1 of 4,000 bytes/s in a run whose own verdict is not good, and not carried",
        )

    def test_values_missing_from_the_nearest_run_come_from_the_next(self):
        part = {"bytes_a_second": {"mean": 100.0}}
        fault = {"kind": "zone-lost", "known_s": 1.0, "while": {"lasted_s": 15.0, "all": part}}
        near = {"nodes": 8, "a_node": {"membership": part}, "stretch": None, "faults": [fault]}
        far = {
            "nodes": 4,
            "a_node": {"leases": {"bytes_a_second": {"mean": 50.0}}},
            "stretch": {"changes": 5, "restarts": 1, "everywhere_worst_s": 3.0, "a_node": {"all": part}},
            "faults": [{**fault, "known_s": 9.0}, {**fault, "kind": "regions-apart", "known_s": 4.0}],
            "versions": {"no_loss": []},
        }
        measured = self.files(scale_8=near, scale_4=far)
        self.assertEqual(self.row(measured, "control: leases out").figure.measured_to, 4)
        self.assertEqual(self.row(measured, "control: membership out").figure.measured_to, 8)
        self.assertEqual(self.row(measured, "all that ran, while regions-apart").figure.measured_to, 4)
        self.assertEqual(self.row(measured, "all that ran, while zone-lost").figure.measured_to, 8)
        self.assertEqual(self.row(measured, "of 4, slowest of 5 changes").figure.measured_to, 4)
        self.assertIn("until all agree: 1 s (measured)", tables(self.small(), measured, ROOT)["failures"])

    def test_sharing_counts_by_its_slope_if_no_run_has_it(self):
        part = {"bytes_a_second": {"mean": 100.0}}
        content = {"nodes": 24, "a_node": {name: part for name in ("membership", "leases", "distribution")}}
        measured = self.files(
            scale_24=content, slope_sharing=line_file("sharing-bytes-by-links", 1000, 10, unit="bytes/s", xs=(100, 200, 400, 640))
        )
        self.assertAlmostEqual(self.row(measured, "all four together out").figure.value, 300 + 7400)

    def test_reconnecting_viewers_are_shared_by_the_remaining_nodes(self):
        made = tables(self.small(), self.files(), ROOT)["failures"]
        zone = next(line for line in made.split("\n") if line.startswith("| a zone lost: 5 nodes"))
        self.assertIn("5,000 connections come again", zone)
        self.assertIn("1,000 for each of the others, 16.7 a second over 60 s", zone)
        alone = self.size(('regions="3" zones="9"', 'regions="1" zones="1"'))
        self.assertIn("nobody is left", tables(read_size(alone), self.files(), ROOT)["failures"])

    def test_verdicts(self):
        def verdict(
            value,
            error=0.0,
            bound=100.0,
            mechanism=Mechanism("curlewshift/node/buffered_connection.py", "class BufferedConnection"),
            least=False,
        ):
            figure = (
                None
                if value is None
                else Figure(value, "MB", "worked out", error, measured_to=1, required_at=2, is_lower_bound=least)
            )
            return Row("memory", FRONT, MEMORY, "x", figure, bound, mechanism).verdict(ROOT)

        self.assertEqual(verdict(50), "within: ×0.5 of 100 MB")
        self.assertEqual(verdict(95, 10), "within, but not by its error: ×0.95 of 100 MB")
        self.assertEqual(verdict(250, least=True), "over: at least ×2.5 of 100 MB")
        self.assertEqual(verdict(50, least=True), "not known: at least ×0.5 of 100 MB, and not carried beyond its run")
        self.assertEqual(verdict(None), "not measured")
        self.assertEqual(verdict(50, bound=None), "no bound stated")
        self.assertEqual(verdict(50, mechanism=None), "carried by nothing")
        self.assertEqual(verdict(50, mechanism=Mechanism("curlewshift/none.py", "x")), "carried by nothing")

    def test_shortfalls_are_ordered_by_missing_mechanism_dependents_and_factor(self):
        connection = Mechanism("curlewshift/node/buffered_connection.py", "class BufferedConnection")

        def row(key, value, mechanism):
            return Row(key, FRONT, MEMORY, key, Figure(value, "MB", "measured"), 10.0, mechanism)

        rows = [
            row("idle", 20, connection),
            row("list", 500, connection),
            row("memory", 5, connection),
            row("sharing", 900, connection),
            row("sharing", 800, connection),
            row("workers", 1, None),
            row("configuration", 1, None),
            row("sharing", 90, None),
        ]
        self.assertEqual(
            [shortfall.key for shortfall in shortfalls(rows, ROOT)], ["configuration", "sharing", "workers", "list", "idle"]
        )
        self.assertEqual(shortfalls(rows, ROOT)[1].over.figure.value, 900)
        self.assertIn("configuration", DEPENDENCIES["workers"])

    def test_numbers_are_formatted_with_significant_digits(self):
        self.assertEqual(
            [format_number(number) for number in (0, 0.03412, 1.5, 21.64, 142.2, 68253.97, 43e6, 3.8e-6)],
            ["0", "0.0341", "1.5", "21.6", "142", "68,254", "43,000,000", "3.8e-06"],
        )
