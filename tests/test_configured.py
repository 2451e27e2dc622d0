"""How a running front applies another version of its settings, and how control machines make and store versions."""

import random
import socket
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import anyio
import msgspec
import structlog
import zstandard

from curlewshift.control.machine import Machine
from curlewshift.distribution.copy import ENCODER, StoredCopy
from curlewshift.distribution.versions import Version, digest_of
from curlewshift.fault_injection.configuration_operator import with_marker
from curlewshift.fault_injection.processes import free_ports
from curlewshift.front.begun import StartupConfiguration, begin, checked
from curlewshift.front.configuration_changes import ChangeSet, plan_changes
from curlewshift.front.configuration_host import ConfigurationHost
from curlewshift.front.control import tell
from curlewshift.front.front import Front
from curlewshift.front.planted_configuration_faults import HalfChangeSet, spoilt_begin
from curlewshift.peering.frames import Frame, encode
from curlewshift.session_core.server_list import ServerEntry
from curlewshift.site.changes import restart_required_changes
from curlewshift.site.reading import SiteErrors, read_xml
from curlewshift.site.site import SCHEMA, read_site, site_of
from curlewshift.standins.script import read_script
from curlewshift.state.record_file import RecordFile
from curlewshift.verdict.configuration import judge_configuration
from tests.sockets import async_test, until

EXAMPLES = Path(__file__).resolve().parents[1] / "examples"
CONTROL_XML = """  <control term="2s" every="200ms">
    <machine name="c1" peers-listen="127.0.0.1:8191" region="north" zone="n1"/>
    <machine name="c2" peers-listen="127.0.0.1:8192"/>
    <machine name="c3" peers-listen="127.0.0.1:8193"/>
  </control>
</site>"""
FLEET_SITE = (
    (EXAMPLES / "fleet-site.xml")
    .read_text()
    .replace(
        "  </fronts>",
        '    <configuration give-bytes="16kB/s" start-within="2s"/>\n    <limits from-source="200/s" burst="2s"/>\n  </fronts>',
    )
    .replace("</site>", CONTROL_XML)
)


class WithSiteFolder(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / "site.xml"

    def site(self, *changes, text=FLEET_SITE):
        for old, new in changes:
            self.assertIn(old, text)
            text = text.replace(old, new, 1)
        return text.encode()


class SiteFile(WithSiteFolder):
    def test_control_machines_places_and_terms_are_read(self):
        self.path.write_bytes(self.site(('name="f1"', 'name="f1" region="south" zone="s1"')))
        site = read_site(self.path)
        self.assertEqual([machine.name for machine in site.control.machines], ["c1", "c2", "c3"])
        self.assertEqual(site.control.machines[0].peers_reach, ("127.0.0.1", 8191))
        self.assertEqual(
            (site.control.terms.term, site.configuration.give_bytes, site.configuration.start_within),
            (2_000_000_000, 16_000, 2_000_000_000),
        )
        self.assertEqual(
            (site.front_addresses[0].region, site.front_addresses[0].zone, site.front_addresses[1].zone), ("south", "s1", "")
        )
        self.path.write_text((EXAMPLES / "fleet-site.xml").read_text())
        site = read_site(self.path)
        self.assertEqual((site.control, site.configuration), (None, None))

    def test_invalid_site_files_are_reported_with_their_line(self):
        for old, new, message in (
            (CONTROL_XML, "</site>", "there is no <control> with the machines"),
            ('<machine name="c3" peers-listen="127.0.0.1:8193"/>', "", "machine is missing inside"),
            ('name="c2"', 'name="f2"', "machine: a front has the name 'f2' already"),
            ('name="c2"', 'name="c1"', "machine: 'c1' is there twice"),
            ('name="c2"', 'name="c2" region="west" zone="n1"', "zone 'n1' lies in region 'north' by another line, and in 'west'"),
            ("127.0.0.1:8193", "c3.example:8193", "machine: peers-listen should be an address in numbers"),
            ('term="2s"', 'term="1s"', "control: a term under eight rounds"),
            ("16kB/s", "0.5kB/s", "give-bytes under 1kB/s"),
            ('start-within="2s"', 'start-within="2min"', "1min at most"),
            ('seeds="f1', 'seeds="c9', "no front 'c9' to be a seed"),
        ):
            self.path.write_bytes(self.site((old, new)))
            with self.assertRaises(SiteErrors) as found:
                read_site(self.path)
            self.assertIn(message, str(found.exception))
            self.assertRegex(str(found.exception), r":[1-9]\d*: ")
        self.path.write_bytes(self.site(('seeds="f1', 'seeds="c1')))
        self.assertEqual(read_site(self.path).peers.seeds[0], ("127.0.0.1", 8191))


class ConfigurationScripts(WithSiteFolder):
    def test_script_with_configuration_faults_needs_a_site_with_configuration(self):
        day = (EXAMPLES / "configuration-short-day.xml").read_text()
        for name, error_count in (("configuration-site.xml", 0), ("fleet-site.xml", 6)):
            (self.folder / name).write_bytes((EXAMPLES / name).read_bytes())
            script = self.folder / "day.xml"
            script.write_text(day.replace("configuration-site.xml", name))
            if error_count:
                with self.assertRaises(SiteErrors) as found:
                    read_script(script)
                self.assertEqual(str(found.exception).count("has no <configuration> that it could befall"), error_count)
            else:
                self.assertEqual(len(read_script(script).troubles), 9)

    def test_marked_file_can_be_applied_in_service_and_sets_its_mark_everywhere(self):
        self.path.write_bytes((EXAMPLES / "configuration-site.xml").read_bytes())
        content = with_marker(self.path.read_bytes(), 7)
        site = checked(self.path, read_site(self.path), content)
        self.assertEqual({package.patience for package in site.packages}, {5_007_000_000})
        self.assertEqual((site.obligations.longest_wait, site.most_waiting), (1_893_000_000, 507))
        self.assertEqual([server.count("v7") for server in site.ice_servers], [1, 1])


class ChangesInService(WithSiteFolder):
    def refused(self, *changes, before=FLEET_SITE):
        self.path.write_text(before)
        root = read_xml(self.path, SCHEMA, self.site(*changes, text=before))
        return restart_required_changes(read_site(self.path), site_of(self.path, root), root)

    def test_values_patience_limits_titles_and_obligations_can_change(self):
        self.assertEqual(
            self.refused(
                (
                    'name="receipt" value="3" join-target="1s" patience="4s" floor="1" seats="4"',
                    'name="receipt" value="4" join-target="1.1s" patience="5s" floor="0" seats="9" top="2"',
                ),
                ('longest-wait="2s" most-tune-ins="3"', 'longest-wait="3s" most-tune-ins="4"'),
                ('from-source="200/s"', 'from-source="20/s" for-package="50/s"'),
                ('uplink="13MB/s"', 'uplink="12MB/s"'),
                ('name="t01"', 'name="t99"'),
                ('free="6"', 'free="7"'),
                ('most-waiting="500"', 'most-waiting="400"'),
            ),
            [],
        )

    def test_changes_that_need_a_restart_are_reported_with_their_line(self):
        lines = FLEET_SITE.splitlines()

        def line(what):
            return next(number for number, text in enumerate(lines, 1) if what in text)

        for old, new, at, expected in (
            ('floor="1"', 'floor="2"', "receipt", "package receipt: a higher floor needs a restart"),
            ('paid-at-setup="true"', 'paid-at-setup="false"', 'name="review"', "paid-at-setup needs a restart"),
            ('name="review"', 'name="preview"', "<packages", "to add, take away or reorder"),
            ('rate="650kB/s"', 'rate="660kB/s"', 'name="receipt"', "the ladder or scale needs a restart"),
            ("127.0.0.1:8082", "127.0.0.1:8099", "<front ", "front: needs all members stopped at once"),
            ("127.0.0.1:8090", "127.0.0.1:8091", "<list", "list: needs a restart"),
            ('period="500ms"', 'period="400ms"', "<peers", "peers: needs all members stopped at once"),
            ("16kB/s", "17kB/s", "<configuration", "configuration: needs all members stopped at once"),
            ("127.0.0.1:8193", "127.0.0.1:8194", "<control", "control: needs all members stopped at once"),
            ('warm-within="8s"', 'warm-within="9s"', "<cold-servers", "cold-servers: warm-within needs a restart"),
            ('told-late="500ms"', 'told-late="400ms"', "<news", "news: told-late needs a restart"),
            ('<limits from-source="200/s" burst="2s"/>', "", "<fronts", "limits: to begin or to end them"),
        ):
            found = self.refused((old, new))
            self.assertTrue(any(expected in message for _, message in found), (new, found))
            self.assertIn(line(at), [number for number, message in found if expected in message], (new, found))

    def test_changes_to_shared_budgets_need_a_restart(self):
        shared = (EXAMPLES / "bounds-site.xml").read_text()
        messages = "".join(
            message
            for _, message in self.refused(
                ('free="', 'free="1'), ('<title name="t01"', '<title name="t77"'), ('seats="1"', 'seats="3"'), before=shared
            )
        )
        for message in ("share their budget", "seats of each title", "fronts share them"):
            self.assertIn(message, messages)
        shedding = (EXAMPLES / "overload-site.xml").read_text()
        messages = "".join(message for _, message in self.refused(('value="3"', 'value="5"'), before=shedding))
        self.assertIn("value needs a restart where fronts shed", messages)


class DiskRecord(WithSiteFolder):
    def test_record_is_complete_or_absent(self):
        record = RecordFile(self.folder / "vote")
        self.assertEqual((record.read(), record.damage), (None, ""))
        record.write_durable(b"one")
        record.write(b"two\nlines")
        record.flush()
        self.assertEqual(RecordFile(self.folder / "vote").read(), b"two\nlines")
        # a kill during the next write leaves the earlier record
        (self.folder / "vote.new").write_bytes(b"curlewshift rec")
        self.assertEqual(record.read(), b"two\nlines")

    def test_any_corrupt_byte_is_detected_and_the_file_is_set_aside(self):
        record = RecordFile(self.folder / "vote")
        record.write(b"content")
        data = record.path.read_bytes()
        for at in range(len(data)):
            record.path.write_bytes(data[:at] + bytes((data[at] ^ 1,)) + data[at + 1 :])
            self.assertIsNone(record.read(), at)
            self.assertIn("corrupt", record.damage)
            self.assertFalse(record.path.exists())
            self.assertTrue((self.folder / "vote.damaged").exists())
        for length in range(len(data)):
            record.path.write_bytes(data[:length])
            self.assertIsNone(record.read(), length)

    def test_failed_write_leaves_the_earlier_record(self):
        record = RecordFile(self.folder / "vote")
        record.write_durable(b"one")
        with mock.patch("os.fsync", side_effect=OSError(28, "No space left on device")), self.assertRaises(OSError):
            record.write_durable(b"two")
        self.assertEqual(record.read(), b"one")


SMALL_SITE = (
    (EXAMPLES / "small-site.xml").read_text().replace("  </fronts>", '    <limits from-source="100/s" burst="2s"/>\n  </fronts>')
)
NULL_LOG = structlog.wrap_logger(structlog.ReturnLogger())
SECOND = 1_000_000_000


def stored_copy(content, number=7, of=None):
    """The stored record of this content; with `of`, under the digest of that other content."""
    return ENCODER.encode(
        StoredCopy(1, tuple(Version(number, 1, digest_of(of or content))), zstandard.ZstdCompressor().compress(content))
    )


class FailingSwap(ChangeSet):
    """Raises at step `at`; the steps of the rollback succeed."""

    at = 0

    def _apply_step(self, held, name, value):
        self.done = getattr(self, "done", -1) + 1
        if self.done == self.at:
            raise RuntimeError("injected failure")
        super()._apply_step(held, name, value)


class RunningFront(WithSiteFolder):
    def setUp(self):
        super().setUp()
        self.path.write_text(SMALL_SITE)
        self.front = Front(read_site(self.path), 0, 1, None, mock.Mock())
        self.front.server_pool = mock.Mock()
        self.configured = self.front.configured = ConfigurationHost(
            self.front, StartupConfiguration(self.path, self.front.site), None
        )
        now = self.front.now()
        self.front.session_core.list_full(
            "e", 1, [ServerEntry(f"h{n}", "on", now - 3600 * SECOND, "z", "r1", 4200.0, 24, f"s{n}") for n in range(1, 13)]
        )

    def take(self, *changes, version="7.1-abc", text=SMALL_SITE):
        return self.configured.apply_configuration(version, self.site(*changes, text=text))

    def state(self):
        session_core = self.front.session_core
        return (
            self.configured.live(),
            {
                name: ([server.name for server in title.holders], title.shelves)
                for name, title in session_core.server_list.titles.items()
            },
            {shelf: [title.name for title in titles] for shelf, titles in session_core.server_list.on_shelf.items()},
            [rack.link.size for rack in session_core.server_list.racks.values()],
            session_core.rules.retry_wait,
            session_core.rules.free_further,
            self.front.http_listener.admission.bounds,
            self.front.site.obligations,
            self.front.site.titles,
        )

    def test_components_have_the_new_values_in_the_same_objects(self):
        front = self.front
        packages, holders = list(front.session_core.packages.values()), front.session_core.server_list.titles["t01"].holders
        # t01 stays on one of its shelves, t02 is removed, t99 is added
        shelves = front.site.titles["t01"]
        self.assertIsNone(
            self.take(
                (
                    'name="receipt" value="3" join-target="1s" patience="4s"',
                    'name="receipt" value="5" join-target="2s" patience="6s"',
                ),
                ('longest-wait="2s" most-tune-ins="3"', 'longest-wait="500ms" most-tune-ins="7"'),
                ('free="6"', 'free="9"'),
                ('from-source="100/s" burst="2s"', 'from-source="10/s" for-package="40/s" burst="3s"'),
                ('uplink="13MB/s"', 'uplink="11MB/s"'),
                ('<title name="t02"', '<title name="t99"'),
                (f'<title name="t01" shelves="{" ".join(shelves)}"', f'<title name="t01" shelves="{shelves[0]}"'),
            )
        )
        live = self.configured.live()
        self.assertEqual(live["packages"]["receipt"]["patience"], 6 * SECOND)
        self.assertEqual((live["longest_wait"], live["most_tune_ins"], live["version"]), (SECOND // 2, 7, "7.1-abc"))
        self.assertEqual(live["limits"], {"source": [10.0, 30.0], "package": [40.0, 120.0]})
        self.assertEqual((front.session_core.rules.retry_wait, front.session_core.rules.free_further), (SECOND // 2, 9))
        self.assertEqual(front.session_core.server_list.racks["r1"].link.size, 11_000.0)
        # identity matters: seats are counted by the package object, and waiting viewings refer to the list of holders
        self.assertEqual([id(package) for package in front.session_core.packages.values()], [id(package) for package in packages])
        self.assertIs(front.session_core.server_list.titles["t01"].holders, holders)
        self.assertEqual([server.name for server in holders], [f"h{shelves[0][1:]}"])
        self.assertNotIn("t02", front.session_core.server_list.titles)
        self.assertEqual(
            {server.name for server in front.session_core.server_list.titles["t99"].holders},
            {f"h{shelf[1:]}" for shelf in front.site.titles["t99"]},
        )
        # later changes of the server list still apply to them
        front.session_core.list_change("e", 1, 2, [ServerEntry(f"h{shelves[0][1:]}", "off")])
        self.assertEqual(holders, [])

    def test_requests_in_progress_keep_their_patience_and_ceiling(self):
        session_core = self.front.session_core
        title = next(iter(session_core.server_list.titles))
        before = session_core.asked("a", "receipt", title, patience=0)
        self.assertIsNone(self.take(('patience="4s" floor="1"', 'patience="9s" floor="0" top="1"')))
        after = session_core.asked("b", "receipt", title, patience=0)
        self.assertEqual((before.expires - before.arrived, after.expires - after.arrived), (4 * SECOND, 9 * SECOND))
        self.assertEqual((before.front_session.viewing.ceiling, after.front_session.viewing.ceiling), (3, 1))

    def test_holders_of_a_removed_title_stay_up_to_date_for_waiting_viewers(self):
        session_core = self.front.session_core
        waits = session_core.asked("a", "receipt", "t02", patience=0)
        self.assertFalse(waits.front_session.viewing.playing)
        self.assertIsNone(self.take(('<title name="t02"', '<title name="t99"')))
        holders = waits.front_session.viewing.holders
        gone = holders[0]
        session_core.list_change("e", 1, 2, [ServerEntry(gone.name, "off")])
        self.assertNotIn(gone, holders)
        self.assertTrue(holders)
        # no viewing waits for it any more: the next version drops it
        session_core.hung_up(waits)
        session_core.front_sessions.clear()
        self.assertIsNone(self.take(('<title name="t02"', '<title name="t98"'), version="7.2-abc"))
        self.assertEqual(sum(title.name == "t02" for titles in session_core.server_list.on_shelf.values() for title in titles), 0)

    def test_capture_ends_when_a_version_comes_into_force(self):
        capture = self.front.capture = mock.Mock()
        self.assertIsNotNone(self.take(('patience="4s"', 'patience="4"')))
        capture.stop.assert_not_called()
        self.assertIsNone(self.take(('patience="4s"', 'patience="5s"')))
        self.assertIn("7.1-abc", capture.stop.call_args.args[0])

    def test_refused_version_changes_nothing_and_is_reported_with_file_and_line(self):
        before = self.state()
        for changes, pattern in (
            ([('patience="4s"', 'patience="9s"'), ('floor="1"', 'floor="2"')], r"site\.xml:\d+: package receipt: a higher floor"),
            ([('patience="4s"', 'patience="4"')], r"site\.xml:\d+: package: patience should be a time"),
            ([("</site>", "")], r"site\.xml:\d+: this is not XML"),
        ):
            self.assertRegex(self.take(*changes), pattern)
        self.assertEqual(self.state(), before)

    def test_fault_at_any_step_rolls_all_steps_back(self):
        before, changes = (
            self.state(),
            [
                ('patience="4s"', 'patience="9s"'),
                ('longest-wait="2s"', 'longest-wait="1s"'),
                ('uplink="13MB/s"', 'uplink="11MB/s"'),
                ('from-source="100/s"', 'from-source="10/s" for-package="40/s"'),
                ('<title name="t02"', '<title name="t99"'),
                ('<title name="t01" shelves="', '<title name="t01" shelves="s12 '),
            ],
        )
        steps = ChangeSet()
        plan_changes(self.front, read_site(self.path, self.site(*changes, text=SMALL_SITE)), steps)
        self.assertEqual(self.state(), before, "planning must not change the state")
        for at in range(len(steps.steps)):
            self.configured.change_set_class = type("At", (FailingSwap,), {"at": at})
            self.assertIn("what was in force before is again", self.take(*changes) or "", at)
            self.assertEqual(self.state(), before, at)
        self.configured.change_set_class = ChangeSet
        self.assertIsNone(self.take(*changes))
        self.assertNotEqual(self.state(), before)
        # the planted fault leaves a state that differs from both
        complete = self.state()
        self.configured.change_set_class = HalfChangeSet
        self.assertIsNone(self.configured.apply_configuration("7.2-abc", SMALL_SITE.encode()))
        self.assertNotIn(self.state()[1:], (complete[1:], before[1:]))


class FrontStart(WithSiteFolder):
    def begun(self, data, begin=begin):
        self.path.write_bytes(self.site())
        record = RecordFile(self.folder / "configuration")
        if data is not None:
            record.write(data)
        return begin(self.path, read_site(self.path), self.folder)

    def test_starts_from_an_intact_disk_record(self):
        newer = self.site(('patience="4s"', 'patience="4.5s"'))
        begun = self.begun(stored_copy(newer))
        self.assertEqual((begun.how, begun.version[:4], begun.site.packages[0].patience), ("disk", "7.1-", 4_500_000_000))

    def test_otherwise_starts_from_the_file_and_reports_the_reason(self):
        newer = self.site(('patience="4s"', 'patience="4.5s"'))
        for data, text in (
            (None, "nothing is on the disk"),
            (b"rubbish", "cannot be used"),
            (stored_copy(newer, of=b"other"), "digest"),
            (stored_copy(newer.replace(b'value="3"', b'value="x"')), "site.xml:"),
        ):
            begun = self.begun(data)
            self.assertEqual(
                (begun.how, begun.version, begun.copy, begun.site.packages[0].patience), ("file", "file", None, 4 * SECOND)
            )
            self.assertIn(text, begun.cause)
        path = self.folder / "configuration"
        self.begun(stored_copy(newer))
        path.write_bytes(path.read_bytes()[:-1] + b"?")
        self.assertIn("corrupt", begin(self.path, read_site(self.path), self.folder).cause)
        # with the planted fault `digest-unchecked` a front starts from a content that was never a version
        self.assertEqual(
            self.begun(stored_copy(newer, of=b"other"), lambda *args: spoilt_begin("digest-unchecked", *args)).how, "disk"
        )


class ControlMachinesAndFront(WithSiteFolder):
    """Three control machines and a front, on loopback."""

    def setUp(self):
        super().setUp()
        rng = random.Random()
        tcp, udp = free_ports(2, rng), free_ports(4, rng, socket.SOCK_DGRAM)
        text = FLEET_SITE
        for name in range(3, 9):
            text = "\n".join(line for line in text.splitlines() if f'<front name="f{name}"' not in line)
        text = text.replace(
            'seeds="f1 f2 f3" period="500ms" forget-after="10s"', 'seeds="c1 c2" period="200ms" forget-after="10s"'
        )
        text = "\n".join(line for line in text.splitlines() if '<front name="f2"' not in line)
        for old, new in (
            ("127.0.0.1:8081", tcp[0]),
            ("127.0.0.1:8090", tcp[1]),
            ("127.0.0.1:8181", udp[0]),
            *((f"127.0.0.1:819{n}", udp[n]) for n in (1, 2, 3)),
        ):
            text = text.replace(old, f"127.0.0.1:{new}")
        self.text = text.replace('start-within="2s"', 'start-within="300ms"')
        self.path.write_text(self.text)

    def machine(self, name):
        state = self.folder / name
        state.mkdir(exist_ok=True)
        return Machine(self.path, read_site(self.path), name, state, 1, NULL_LOG)

    async def start_machine(self, machine, tasks):
        scope = anyio.CancelScope()

        async def run():
            with scope:
                await machine.run()

        tasks.start_soon(run)
        return scope

    @async_test
    async def test_put_reaches_the_front_and_an_invalid_one_reaches_none(self):
        with anyio.fail_after(25):
            async with anyio.create_task_group() as tasks:
                machines = {name: self.machine(name) for name in ("c1", "c2", "c3")}
                scopes = {name: await self.start_machine(machine, tasks) for name, machine in machines.items()}
                state = self.folder / "f1"
                state.mkdir()
                begun = begin(self.path, read_site(self.path), state)
                front = Front(begun.site, 0, 1, state, NULL_LOG, begun=begun)
                tasks.start_soon(front.run)
                await until(lambda: any(machine.leases.fence() for machine in machines.values()), 10)
                writer = next(name for name, machine in machines.items() if machine.leases.fence())
                others = [name for name in machines if name != writer]

                async def put(text, at=writer, base="file"):
                    return await tell(
                        self.folder / at, {"do": "put", "content": text, "base": base, "name": "new.xml", "why": "a test"}, 12
                    )

                newer = self.text.replace('patience="4s"', 'patience="4700ms"', 1)
                await until(lambda: machines[others[0]].leases.writer() == writer)
                result = await put(newer, at=others[0])
                self.assertEqual((result["ok"], result["wrong"]), (False, f"versions are made at {writer} now"))
                for text, message in (
                    (newer.replace('value="3"', 'value="x"', 1), "new.xml:"),
                    ("<site", "this is not XML"),
                    (newer.replace('floor="1"', 'floor="2"', 1), "a higher floor needs a restart"),
                ):
                    result = await put(text)
                    self.assertFalse(result["ok"])
                    self.assertIn(message, result["wrong"])
                self.assertEqual(front.configured.version, "file")
                result = await put(newer)
                self.assertTrue(result["ok"], result)
                await until(lambda: front.configured.version == result["version"])
                self.assertEqual(front.session_core.packages["receipt"].patience, 4_700_000_000)
                again = await put(self.text)
                self.assertIn("somebody was quicker", again["wrong"])
                # a change that needs a restart is accepted only if the operator allows restarts, and applied at the next start
                result = await put(newer.replace('floor="1"', 'floor="2"', 1), base=result["version"])
                self.assertFalse(result["ok"])
                for text, ok in (
                    (newer.replace('floor="1"', 'floor="2"', 1), True),
                    (newer.replace('period="200ms"', 'period="300ms"'), False),
                ):
                    later = await tell(
                        self.folder / writer,
                        {
                            "do": "put",
                            "content": text,
                            "base": front.configured.version,
                            "name": "new.xml",
                            "why": "a test",
                            "restarts": True,
                        },
                        12,
                    )
                    self.assertEqual(later["ok"], ok, later)
                    if ok:
                        self.assertIn("a higher floor needs a restart", later["needs_restart"])
                        restarted = later["version"]
                await until(lambda: (state / "configuration-next").exists())
                result = {"version": front.configured.version}
                self.assertEqual(
                    (front.session_core.packages["receipt"].floor, front.configured.show()["refused"][0]["version"]),
                    (1, restarted),
                )
                # the control machine shows which front refuses it, and why
                await until(
                    lambda: any(
                        zone["refusing"] == 1 and "a higher floor" in str(zone["whys"])
                        for zone in machines[writer].wire.show()["zones"]
                    )
                )
                after = begin(self.path, read_site(self.path), state)
                self.assertEqual((after.how, after.version, after.site.packages[0].floor), ("disk", restarted, 2))
                (state / "configuration-next").unlink()
                # the version is on disk: a front starts with it, and continues without any control machine
                self.assertEqual(begin(self.path, read_site(self.path), state).version, result["version"])
                shown = (await tell(state, {"do": "configuration"}))["configuration"]
                self.assertEqual((shown["in_force"], shown["began_with"]), (result["version"], "file"))
                for scope in scopes.values():
                    scope.cancel()
                await anyio.sleep(0.3)
                self.assertEqual((await tell(state, {"do": "live"}))["live"]["version"], result["version"])
                # all control machines restart with their disks
                machines = {name: self.machine(name) for name in machines}
                self.assertEqual({machine.wire.version for machine in machines.values()}, {restarted})
                for machine in machines.values():
                    await self.start_machine(machine, tasks)
                await until(lambda: any(machine.leases.fence() for machine in machines.values()), 10)
                writer = next(name for name, machine in machines.items() if machine.leases.fence())
                second = await put(self.text, at=writer, base=restarted)
                self.assertTrue(second["ok"], second)
                await until(lambda: front.session_core.packages["receipt"].patience == 4 * SECOND)
                tasks.cancel_scope.cancel()


class ConfigurationVerdict(unittest.TestCase):
    """Each kind of violation is detected, and a run without violations passes."""

    D1, D2 = b"1" * 32, b"2" * 32

    def setUp(self):
        self.events = []
        for front in ("f1", "f2", "c1", "c2", "c3"):
            self.record_event(0, "front-up", front=front, life=f"{front}.1")
        for machine in ("c1", "c2", "c3"):
            self.record_event(6, "machine", front=machine, version="file", zones=[], forks=0)
        for front in ("f1", "f2"):
            self.live(6, front, "file", 0)
        self.v1, self.v2 = f"5.1-{self.D1.hex()[:12]}", f"5.2-{self.D2.hex()[:12]}"

    def record_event(self, at, ev, **facts):
        self.events.append({"at": int(at * SECOND), "ev": ev, **facts})

    def live(self, at, front, version, *marks, life=1):
        self.record_event(
            at,
            "live",
            front=front,
            life=f"{front}.{life}",
            asked=int(at * SECOND) - 1000,
            version=version,
            marks=list(marks) * (1 if len(marks) > 1 else 3),
        )

    def record_datagram(self, at, front, body, kind=20):
        frame = Frame("s", front, "127.0.0.1", 1, 1, 1, 1, kind, body=msgspec.msgpack.encode(body))
        self.record_event(at, "peer-said", front=front, to="f1", data=encode(frame).hex())

    def put(self, at, mark, version="", ok=True, unknown=False):
        self.record_event(at + 0.2, "put", mark=mark, asked=int(at * SECOND), ok=ok, version=version, unknown=unknown, wrong="")

    def made(self, at, version, digest, count):
        """The regular order: the writer sends the version, a store answers that it has it, then the version is announced."""
        number = [5, count, digest]
        self.record_datagram(at, "c1", [4, [5, "c1", 1], 9, number])
        self.record_datagram(at + 0.01, "c2", [2, [5, "c1", 1], 9, False, [5, "c1", 1], number, number, {}])
        self.record_datagram(at + 0.02, "c1", [7, number, False])

    def good_run(self):
        self.put(8, 1, self.v1)
        self.made(8.1, self.v1, self.D1, 1)
        self.live(9, "f1", self.v1, 1)
        self.live(9.5, "f2", self.v1, 1)
        self.record_event(40, "day-over")

    def judge(self):
        return judge_configuration(self.events)

    def test_run_without_violations(self):
        self.good_run()
        verdict = self.judge()
        self.assertEqual(
            (verdict["broken"], verdict["versions"], verdict["in_force_p99_s"], verdict["in_force_counted"]),
            (False, 1, 1.5, 2),
            verdict,
        )

    def test_each_violation_is_detected(self):
        def fork():
            self.record_datagram(12, "c3", [7, [5, 1, self.D2], False])

        def early():
            self.record_datagram(8.05, "c1", [[5, 1, self.D1], 3], kind=1)

        def refused_and_yet():
            self.put(20, 2, ok=False)
            self.live(21, "f1", self.v2, 2)

        def late():
            self.events = [event for event in self.events if not (event["ev"] == "live" and event["at"] == int(9.5 * SECOND))]
            self.live(28, "f2", self.v1, 1)

        def never():
            self.events = [event for event in self.events if not (event["ev"] == "live" and event["at"] == int(9.5 * SECOND))]

        def door():
            self.record_event(9.7, "door", front="f1", life="f1.1", asked=int(9.6 * SECOND), marks=[0, 0])
            self.live(10, "f1", self.v1, 1)

        for name, inject, count in (
            ("regressions", lambda: self.live(12, "f1", "file", 0), 1),
            ("regressions", lambda: self.live(12, "f1", "file", 0, life=2), 1),
            ("half", lambda: self.live(12, "f1", self.v1, 1, 0, 1), 1),
            ("half", door, 1),
            ("forks", fork, 1),
            ("forks", lambda: self.live(12, "f1", f"5.1-{self.D2.hex()[:12]}", 1), 1),
            ("forks", lambda: self.live(12, "f2", self.v1, 300), 1),
            ("early", early, 1),
            ("unfounded", refused_and_yet, 1),
            ("late", late, 1),
            ("missing", never, 1),
            ("bad_taken", lambda: self.record_event(12, "bad-put", mark=700, what="rule", ok=True, wrong=""), 1),
            ("bad_taken", lambda: self.record_event(12, "bad-put", mark=700, what="rule", ok=False, wrong="it is wrong"), 1),
            ("bad_taken", lambda: self.record_event(8, "bad-put", mark=1, what="rule", ok=False, wrong="a.xml:7: wrong"), 2),
        ):
            self.events = []
            self.setUp()
            self.good_run()
            inject()
            verdict = self.judge()
            self.assertEqual((verdict[name], verdict["broken"]), (count, True), (name, verdict))

    def test_affected_fronts_count_from_the_end_of_the_fault_and_a_lost_disk_is_no_regression(self):
        self.good_run()
        self.events = [event for event in self.events if not (event["ev"] == "live" and event["at"] == int(9.5 * SECOND))]
        self.record_event(8.05, "front-paused", front="f2", life="f2.1")
        self.record_event(26, "front-goes-on", front="f2", life="f2.1")
        self.live(27, "f2", self.v1, 1)
        self.record_event(28, "front-down", front="f1", life="f1.1", how="killed")
        self.record_event(28, "disk", front="f1", life="f1.1", what="front-lost")
        self.record_event(29, "front-up", front="f1", life="f1.2")
        self.live(30, "f1", "file", 0, life=2)
        verdict = self.judge()
        self.assertEqual((verdict["broken"], verdict["in_force_max_s"]), (False, 1.0), verdict)


if __name__ == "__main__":
    unittest.main()
