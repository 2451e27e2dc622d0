import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from curlewshift.commands.main import main
from curlewshift.site.reading import SiteErrors
from curlewshift.site.site import read_site
from curlewshift.standins.script import read_script

EXAMPLES = Path(__file__).resolve().parents[1] / "examples"
SMALL = (EXAMPLES / "small-site.xml").read_text()


class SiteFileTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "site.xml"

    def errors_of(self, *changes, reader=read_site, text=SMALL):
        """The errors of the text with these replacements; the path of the file reads F."""
        for old, new in changes:
            self.assertIn(old, text)
            text = text.replace(old, new, 1)
        self.path.write_text(text)
        with self.assertRaises(SiteErrors) as raised:
            reader(self.path)
        return str(raised.exception).replace(str(self.path), "F")

    def line(self, part):
        return next(number for number, line in enumerate(SMALL.splitlines(), 1) if part in line)

    def test_units_become_nanoseconds_and_kilobytes(self):
        self.path.write_text(SMALL.replace('patience="4s"', 'patience="0.1min"', 1).replace("7MB/s", "56Mbit/s", 1))
        site = read_site(self.path)
        self.assertEqual(site.packages[0].patience, 6_000_000_000)
        self.assertEqual(site.packages[0].rates[0], 144.0)
        self.assertEqual(site.machines[2].link, 7000.0)
        terms = site.terms(0, 1, 2)
        self.assertEqual((terms.fronts, terms.me, terms.free_further, terms.look_back), (3, 2, 6, 10_000_000_000))

    def test_all_schema_errors_are_reported_with_lines(self):
        reported = self.errors_of(
            ('join-target="1s" patience="4s"', 'join-target="1" patience="4s"'),
            ('uplink="13MB/s"', ""),
            ('grace="2s"', 'grace="2s" mercy="3"'),
        )
        self.assertEqual(
            reported.splitlines(),
            [
                f"F:{self.line('receipt')}: package: join-target should be a time with its unit, such as 250ms, 5s or "
                "2min, but is '1'",
                f"F:{self.line('rack name=')}: rack: uplink is missing",
                f"F:{self.line('grace')}: drains: there is no mercy here",
            ],
        )

    def test_errors_beyond_the_schema_are_reported(self):
        reported = self.errors_of(
            ('floor="1"', 'floor="4"'),
            ('rate="210kB/s"', 'rate="90kB/s"'),
            ('"s1 ', '"s99 '),
            ('name="lesson" value="1" join-target="1.5s"', 'name="lesson" value="1" join-target="5s"'),
        )
        for expected in (
            "rates have to rise, 90 kB/s follows 120 kB/s",
            "floor is rung 4, above its top 3",
            "patience is shorter than the join target",
            "no server has the shelf 's99'",
        ):
            self.assertIn(expected, reported)

    def test_peers_are_read_and_errors_reported(self):
        fleet = (EXAMPLES / "fleet-site.xml").read_text()
        self.path.write_text(fleet)
        peers = read_site(self.path).peers
        self.assertEqual(
            (
                len(peers.seeds),
                peers.membership_terms.period,
                peers.membership_terms.answer_within,
                peers.membership_terms.forget_after,
                peers.most_bytes,
            ),
            (3, 500_000_000, 150_000_000, 10_000_000_000, 64_000),
        )
        self.path.write_text(SMALL)
        self.assertIsNone(read_site(self.path).peers)
        for old, new, expected in (
            ('seeds="f1 f2 f3"', 'seeds="f1 f9"', "there is no front 'f9' to be a seed"),
            ('peers-listen="127.0.0.1:8183"', 'peers-listen="media.example:8183"', "should be an address in numbers"),
            (' peers-listen="127.0.0.1:8184"', "", "front f4 says no peers-listen"),
            ('period="500ms"', 'period="5ms"', "period should be from 100ms to 1min"),
            ('period="500ms"', 'period="500ms" answer-within="300ms"', "answer-within is half a period at most"),
            ('forget-after="10s"', 'forget-after="2s"', "forget-after is shorter than 20 periods"),
            ('most-bytes="64kB/s"', 'most-bytes="1kB/s"', "leaves no room for news"),
        ):
            self.assertIn(expected, self.errors_of((old, new), text=fleet))

    def test_leases_are_read_and_errors_reported(self):
        site = (EXAMPLES / "lease-site.xml").read_text()
        self.path.write_text(site)
        leases = read_site(self.path).leases
        self.assertEqual(
            (len(leases.keepers), leases.terms.term, leases.shards, leases.probe_each), (5, 2_000_000_000, 8, 400_000_000)
        )
        for old, new, expected in (
            ("f1 f2 f3 f4 f5", "f1 f2", "an odd number of different fronts"),
            ("f1 f2 f3 f4 f5", "f1 f2 f9", "there is no front 'f9' to be a keeper"),
            ('term="2s" drift', 'term="1s" drift', "under eight rounds"),
            ('drift="0.02"', 'drift="0.3"', "0.2 at most"),
            ('shards="8"', 'shards="99"', "64 shards"),
            ('orphans-after="3s"', 'orphans-after="1s"', "shorter than a term"),
        ):
            self.assertIn(expected, self.errors_of((old, new), text=site))

    def test_sharing_is_read_and_errors_reported(self):
        bounds = (EXAMPLES / "bounds-site.xml").read_text()
        self.path.write_text(bounds)
        sharing = read_site(self.path).sharing
        self.assertEqual(
            (sharing.term, sharing.drift, sharing.window, sharing.every), (1_500_000_000, 0.01, 1_000_000_000, 250_000_000)
        )
        line = '<sharing term="1500ms" drift="0.01" every="250ms" '
        for new, expected in (
            (line.replace("1500ms", "300ms"), "a term under two rounds"),
            (line.replace("0.01", "0.5"), "0.2 at most"),
            (line.replace("250ms", "5ms"), "every should be from 50ms to 1s"),
        ):
            self.assertIn(expected, self.errors_of((line, new), text=bounds))
        self.assertIn("there are no peers to share with", self.errors_of(("  </fronts>", line + "/></fronts>")))

    def test_overload_is_read_and_errors_reported(self):
        text = (EXAMPLES / "overload-site.xml").read_text()
        self.path.write_text(text)
        terms = read_site(self.path).overload
        self.assertEqual((terms.floor, terms.fronts, terms.longest_wait, terms.every), (0.06, 8, 30_000_000_000, 1_000_000_000))
        for new, expected in (('floor="0.6"', "more than half"), ('floor="0.1" every="9s"', "every should be from 100ms to 5s")):
            self.assertIn(expected, self.errors_of(('floor="0.06"', new), text=text))

    def test_shared_budgets_are_read_and_errors_reported(self):
        bounds = (EXAMPLES / "bounds-site.xml").read_text()
        self.path.write_text(bounds)
        together = read_site(self.path).together
        self.assertEqual(
            (together.free, together.look_back, together.seats, len(together.titles), together.seat_term),
            (6, 10_000_000_000, {"receipt": 1}, 20, 4_000_000_000),
        )
        for old, new, expected in (
            ('seats="1" ', "", "no package has seats"),
            ('seat-term="4s"', 'seat-term="1s"', "under eight rounds"),
            ('<further-tune-ins free="6" share="0.2" within="10s"/>', "", "no budget of further tune-ins"),
        ):
            self.assertIn(expected, self.errors_of((old, new), text=bounds))

    def test_other_errors_are_readable(self):
        for changes, expected in (
            ([("<list address", "<lists address")], "expected list here, but lists came"),
            ([('name="review"', 'name="receipt"')], "'receipt' is there twice"),
            ([("</site>", "")], "this is not XML"),
            ([('start-capacity="0.4"', 'start-capacity="1.4"')], "start-capacity should be a number from 0 to 1"),
            ([("127.0.0.1:8090", "127.0.0.1:99999")], "port 99999 is not from 1 to 65535"),
        ):
            self.assertIn(expected, self.errors_of(*changes))

    def test_script_errors_are_reported(self):
        script = (EXAMPLES / "bad-day.xml").read_text()
        (self.path.parent / "small-site.xml").write_text(SMALL)
        reported = self.errors_of(
            ('package="lesson"', 'package="opera"'), ('at="3s"', 'at="300s"'), reader=read_script, text=script
        )
        self.assertIn("small-site.xml has no package 'opera'", reported)
        self.assertIn("trouble crash: begins after the day has ended", reported)
        peak = (EXAMPLES / "peak-day.xml").read_text()
        (self.path.parent / "peak-site.xml").write_text((EXAMPLES / "peak-site.xml").read_text())
        reported = self.errors_of(
            ('<announce name="month-end" package="receipt"', '<announce name="month-end" package="opera"'),
            ('<trouble kind="peak" package="receipt"', '<trouble kind="peak"'),
            reader=read_script,
            text=peak,
        )
        self.assertIn("announce: peak-site.xml has no package 'opera'", reported)
        self.assertIn("trouble peak: peak-site.xml has no package ''", reported)
        self.assertIn(
            "kind should be one of burst, crowd",
            self.errors_of(('kind="hang"', 'kind="boredom"'), reader=read_script, text=script),
        )

    def test_commands_exit_with_2_and_the_errors(self):
        self.path.write_text(SMALL.replace('value="3"', 'value="three"'))
        result = CliRunner().invoke(main, ["check", str(self.path)])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("value should be a number above 0, but is 'three'", result.output)
        self.assertEqual(CliRunner().invoke(main, ["check", str(self.path) + "x"]).exit_code, 2)
        self.assertEqual(CliRunner().invoke(main, ["check", str(EXAMPLES / "small-site.xml")]).exit_code, 0)
        result = CliRunner().invoke(main, ["front", str(EXAMPLES / "small-site.xml"), "--name", "f9"])
        self.assertEqual((result.exit_code, "there is no front 'f9'" in result.output), (2, True))


if __name__ == "__main__":
    unittest.main()
