"""How a running front takes another version of its settings, and how a control machine makes and keeps one."""

import tempfile
import unittest
from pathlib import Path

from curlewshift.site.changes import refusals
from curlewshift.site.reading import Mistakes, read_xml
from curlewshift.site.site import SCHEMA, read_site, site_of
from curlewshift.state.configured import Record

EXAMPLES = Path(__file__).resolve().parents[1] / "examples"
CONTROL = """  <control term="2s" every="200ms">
    <machine name="c1" peers-listen="127.0.0.1:8191" region="north" zone="n1"/>
    <machine name="c2" peers-listen="127.0.0.1:8192"/>
    <machine name="c3" peers-listen="127.0.0.1:8193"/>
  </control>
</site>"""
FLEET = ((EXAMPLES / "fleet-site.xml").read_text()
         .replace("  </fronts>", '    <configuration give-bytes="16kB/s" start-within="2s"/>\n'
                  '    <limits from-source="200/s" burst="2s"/>\n  </fronts>').replace("</site>", CONTROL))


class InAFolder(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / "site.xml"

    def site(self, *changes, text=FLEET):
        for old, new in changes:
            self.assertIn(old, text)
            text = text.replace(old, new, 1)
        return text.encode()


class TheSiteFile(InAFolder):
    def test_control_machines_places_and_terms_are_read(self):
        self.path.write_bytes(self.site(('name="f1"', 'name="f1" region="south" zone="s1"')))
        site = read_site(self.path)
        self.assertEqual([machine.name for machine in site.control.machines], ["c1", "c2", "c3"])
        self.assertEqual(site.control.machines[0].peers_reach, ("127.0.0.1", 8191))
        self.assertEqual((site.control.terms.term, site.configuration.give_bytes, site.configuration.start_within),
                         (2_000_000_000, 16_000, 2_000_000_000))
        self.assertEqual((site.doors[0].region, site.doors[0].zone, site.doors[1].zone), ("south", "s1", ""))
        self.path.write_text((EXAMPLES / "fleet-site.xml").read_text())
        site = read_site(self.path)
        self.assertEqual((site.control, site.configuration), (None, None))

    def test_what_cannot_be_is_told_with_its_line(self):
        for old, new, words in (
                (CONTROL, "</site>", "there is no <control> with the machines"),
                ('<machine name="c3" peers-listen="127.0.0.1:8193"/>', "", "machine is missing inside"),
                ('name="c2"', 'name="f2"', "machine: a front has the name 'f2' already"),
                ('name="c2"', 'name="c1"', "machine: 'c1' is there twice"),
                ('name="c2"', 'name="c2" region="west" zone="n1"', "zone 'n1' lies in region 'north' by another line, and in 'west'"),
                ("127.0.0.1:8193", "c3.example:8193", "machine: peers-listen should be an address in numbers"),
                ('term="2s"', 'term="1s"', "control: a term under eight rounds"),
                ("16kB/s", "0.5kB/s", "give-bytes under 1kB/s"),
                ('start-within="2s"', 'start-within="2min"', "1min at most"),
                ('seeds="f1', 'seeds="c9', "no front 'c9' to be a seed")):
            self.path.write_bytes(self.site((old, new)))
            with self.assertRaises(Mistakes) as found:
                read_site(self.path)
            self.assertIn(words, str(found.exception))
            self.assertRegex(str(found.exception), r":[1-9]\d*: ")
        self.path.write_bytes(self.site(('seeds="f1', 'seeds="c1')))
        self.assertEqual(read_site(self.path).peers.seeds[0], ("127.0.0.1", 8191))


class WhatMayChangeInService(InAFolder):
    def refused(self, *changes, before=FLEET):
        self.path.write_text(before)
        root = read_xml(self.path, SCHEMA, self.site(*changes, text=before))
        return refusals(read_site(self.path), site_of(self.path, root), root)

    def test_values_patience_limits_titles_and_obligations_may(self):
        self.assertEqual(self.refused(
            ('name="receipt" value="3" join-target="1s" patience="4s" floor="1" seats="4"',
             'name="receipt" value="4" join-target="1.1s" patience="5s" floor="0" seats="9" top="2"'),
            ('longest-wait="2s" most-tune-ins="3"', 'longest-wait="3s" most-tune-ins="4"'),
            ('from-source="200/s"', 'from-source="20/s" for-package="50/s"'), ('uplink="13MB/s"', 'uplink="12MB/s"'),
            ('name="t01"', 'name="t99"'), ('free="6"', 'free="7"'), ('most-waiting="500"', 'most-waiting="400"')), [])

    def test_what_needs_a_restart_is_told_with_its_line(self):
        lines = FLEET.splitlines()

        def line(what):
            return next(number for number, one in enumerate(lines, 1) if what in one)
        for old, new, at, words in (
                ('floor="1"', 'floor="2"', "receipt", "package receipt: a higher floor needs a restart"),
                ('paid-at-setup="true"', 'paid-at-setup="false"', 'name="review"', "paid-at-setup needs a restart"),
                ('name="review"', 'name="preview"', "<packages", "to add, take away or reorder"),
                ('rate="650kB/s"', 'rate="660kB/s"', 'name="receipt"', "the ladder or scale needs a restart"),
                ("127.0.0.1:8082", "127.0.0.1:8099", "<front ", "front: needs a restart"),
                ("127.0.0.1:8090", "127.0.0.1:8091", "<list", "list: needs a restart"),
                ('period="500ms"', 'period="400ms"', "<peers", "peers: needs a restart"),
                ("16kB/s", "17kB/s", "<configuration", "configuration: needs a restart"),
                ("127.0.0.1:8193", "127.0.0.1:8194", "<control", "control: needs a restart"),
                ('warm-within="8s"', 'warm-within="9s"', "<cold-servers", "cold-servers: warm-within needs a restart"),
                ('told-late="500ms"', 'told-late="400ms"', "<news", "news: told-late needs a restart"),
                ('<limits from-source="200/s" burst="2s"/>', "", "<fronts", "limits: to begin or to end them")):
            told = self.refused((old, new))
            self.assertTrue(any(words in said for _, said in told), (new, told))
            self.assertIn(line(at), [number for number, said in told if words in said], (new, told))

    def test_what_fronts_share_needs_a_restart(self):
        shared = (EXAMPLES / "bounds-site.xml").read_text()
        words = "".join(said for _, said in self.refused(('free="', 'free="1'), ('<title name="t01"', '<title name="t77"'),
                                                        ('seats="1"', 'seats="3"'), before=shared))
        for said in ("share their budget", "seats of each title", "fronts share them"):
            self.assertIn(said, words)
        shedding = (EXAMPLES / "overload-site.xml").read_text()
        words = "".join(said for _, said in self.refused(('value="3"', 'value="5"'), before=shedding))
        self.assertIn("value needs a restart where fronts shed", words)


class TheRecordOnTheDisk(InAFolder):
    def test_it_is_whole_or_not_there(self):
        record = Record(self.folder / "vote")
        self.assertEqual((record.read(), record.damage), (None, ""))
        record.write_durable(b"one")
        record.write(b"two\nlines")
        record.flush()
        self.assertEqual(Record(self.folder / "vote").read(), b"two\nlines")
        # a kill in the middle of the next one leaves what was there
        (self.folder / "vote.new").write_bytes(b"curlewshift rec")
        self.assertEqual(record.read(), b"two\nlines")

    def test_any_spoilt_byte_is_seen_and_put_aside(self):
        record = Record(self.folder / "vote")
        record.write(b"content")
        whole = record.path.read_bytes()
        for at in range(len(whole)):
            record.path.write_bytes(whole[:at] + bytes((whole[at] ^ 1,)) + whole[at + 1:])
            self.assertIsNone(record.read(), at)
            self.assertIn("spoilt", record.damage)
            self.assertFalse(record.path.exists())
            self.assertTrue((self.folder / "vote.damaged").exists())
        for length in range(len(whole)):
            record.path.write_bytes(whole[:length])
            self.assertIsNone(record.read(), length)


if __name__ == "__main__":
    unittest.main()
