import sqlite3
import sys
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

import anyio

from curlewshift.front.control import tell
from curlewshift.peaks.calendar import Calendar, InvalidPeak, Peak
from curlewshift.peaks.forecast import ArrivalStatistics, began_early, expected_rate
from curlewshift.state.peaks import PeakStore
from tests.fake import SECOND, RulesFixture, package
from tests.fake_driver import PACKAGES, FakeDriver
from tests.sockets import SmallSite, async_test, until

ROOT = Path(__file__).resolve().parents[1]
MINUTE = 60 * SECOND


def peak(**overrides):
    defaults = dict(
        name="month-end", package="clip", starts=2000 * SECOND, ends=2060 * SECOND, rate=5.0, most=0.5, lasts=10 * SECOND
    )
    return Peak(**{**defaults, **overrides})


class Announcements(unittest.TestCase):
    def refused(self, calendar=None, **overrides):
        with self.assertRaises(InvalidPeak) as found:
            (calendar or Calendar(PACKAGES)).announce(peak(**overrides), 1000 * SECOND)
        return str(found.exception)

    def test_an_invalid_announcement_is_refused_with_the_reason(self):
        for reason, overrides in (
            ("ends before it starts", dict(ends=1999 * SECOND)),
            ("over already", dict(starts=1, ends=2)),
            ("24 hours at most", dict(ends=2000 * SECOND + 25 * 60 * MINUTE)),
            ("no package 'opera'", dict(package="opera")),
            ("above 0", dict(rate=0.0)),
            ("above 0", dict(rate=float("nan"))),
            ("the rest is for the others", dict(most=1.0)),
            ("needs a name", dict(name="")),
            ("less than nothing", dict(lasts=-1)),
        ):
            self.assertIn(reason, self.refused(**overrides))

    def test_a_duplicate_name_and_too_large_a_total_are_refused(self):
        calendar = Calendar(PACKAGES)
        calendar.announce(peak(), 0)
        self.assertIn("cancel it first", self.refused(calendar))
        self.assertIn("100% of the links", self.refused(calendar, name="b", package="paid"))
        # overlaps each of the two, but never both at the same time
        calendar.announce(peak(name="c", starts=2100 * SECOND, ends=2200 * SECOND), 0)
        calendar.announce(peak(name="d", starts=2050 * SECOND, ends=2150 * SECOND, most=0.3), 0)
        self.assertIn("130%", self.refused(calendar, name="e", starts=2050 * SECOND, ends=2150 * SECOND))

    def test_an_ended_peak_is_removed_from_the_calendar(self):
        calendar = Calendar(PACKAGES)
        calendar.announce(peak(), 0)
        self.assertEqual(calendar.remove_ended(2061 * SECOND, 2 * SECOND), [])
        self.assertEqual([gone.name for gone in calendar.remove_ended(2063 * SECOND, 2 * SECOND)], ["month-end"])


class Forecast(unittest.TestCase):
    def seen(self, rate, span=20 * SECOND):
        seen = ArrivalStatistics(0)
        for at in range(0, span, int(SECOND / rate)):
            seen.record_arrival(at)
        return seen, span

    def test_the_observed_rate_is_recent_and_decays(self):
        seen, now = self.seen(5.0)
        self.assertAlmostEqual(seen.rate(now), 5.0, delta=0.5)
        self.assertLess(seen.rate(now + 20 * SECOND), 0.1)

    def test_an_early_peak_is_detected_within_a_third_of_its_length_before_its_start(self):
        seen, now = self.seen(4.0)
        self.assertTrue(began_early(5.0, seen, now, 15 * SECOND, 60 * SECOND))
        self.assertFalse(began_early(5.0, seen, now, 25 * SECOND, 60 * SECOND))
        self.assertFalse(began_early(9.0, seen, now, 15 * SECOND, 60 * SECOND))
        one = ArrivalStatistics(0)
        one.record_arrival(0)
        self.assertFalse(began_early(0.01, one, 1, SECOND, 60 * SECOND))

    def test_the_announced_rate_gives_way_to_the_observed_one(self):
        self.assertEqual(expected_rate(5.0, 0.0, 0, MINUTE), 5.0)
        self.assertEqual(expected_rate(5.0, 10.0, 5 * SECOND, MINUTE), 10.0)
        self.assertLess(expected_rate(5.0, 0.0, 30 * SECOND, MINUTE), 1.0)
        self.assertGreater(expected_rate(5.0, 0.0, 5 * SECOND, MINUTE), 3.5)


class HeldRoom(unittest.TestCase):
    """The room that one front holds. Four links of 4,000 kB/s in one rack; the wall clock starts equal to the front's."""

    def setUp(self):
        self.calendar = Calendar(PACKAGES)
        self.driver = FakeDriver(calendar=self.calendar, free_further=None)
        self.session_core = self.driver.session_core
        self.clip, self.lesson = PACKAGES[0], PACKAGES[2]

    def announce(self, starts_in, length=30 * SECOND, **overrides):
        starts = self.driver.wall() + starts_in
        self.calendar.announce(peak(starts=starts, ends=starts + length, **overrides), self.driver.wall())

    def held(self, pack=None):
        return sum(server.link.holds.get(pack or self.clip, 0.0) for server in self.session_core.rules.servers)

    def test_room_is_made_ahead_used_by_its_package_and_released(self):
        self.announce(60 * SECOND)
        self.driver.advance(5 * SECOND)
        self.assertEqual(self.held(), 0.0)
        self.driver.advance(54 * SECOND)
        # 5 a second for 10 s at the rung over the floor, 400 kB/s: more than half of the links, so half of them
        self.assertAlmostEqual(self.held(), 8000.0)
        self.driver.advance(2 * SECOND)
        front_session = self.driver.play(pack="clip", title="t3")
        self.driver.advance(SECOND)
        self.assertLess(self.held(), 8000.0 - front_session.viewing.held_rate + 1)
        self.driver.advance(40 * SECOND)
        self.assertEqual((self.held(), self.calendar.peaks), (0.0, {}))

    def test_held_room_is_closed_to_other_packages_and_open_to_its_own(self):
        self.announce(2 * SECOND, most=0.8)
        for server in list(self.session_core.rules.servers):
            self.session_core.told(server, {"link": 0.15, "uplink": 0.0})
        self.driver.advance(SECOND)
        lesson, clip = self.driver.ask("lesson", "t1"), self.driver.ask("clip", "t1")
        rungs = {tune_in.front_session.viewing.package.name: tune_in.rung for tune_in in self.driver.out}
        self.assertEqual(rungs.get("clip"), 2)
        self.assertLess(rungs.get("lesson", -1), 2)
        self.assertNotIn(clip, self.driver.answers)
        self.assertTrue(lesson in self.driver.answers or rungs["lesson"] < 2)

    def test_other_packages_step_down_to_make_room_and_its_own_never_do(self):
        lessons = [self.driver.play(pack="lesson", title="t1") for _ in range(12)]
        clips = [self.driver.play(pack="clip", title="t1") for _ in range(2)]
        self.driver.advance(SECOND)
        before = [front_session.viewing.rung for front_session in clips]
        self.announce(2 * SECOND, most=0.8, rate=50.0)
        self.driver.advance(3 * SECOND)
        self.assertLess(sum(front_session.viewing.rung for front_session in lessons), 24)
        self.assertEqual([front_session.viewing.rung for front_session in clips], before)

    def test_room_is_held_at_once_for_a_peak_that_starts_early(self):
        self.announce(20 * SECOND, length=60 * SECOND, rate=4.0)
        self.assertEqual(self.held(), 0.0)
        for _ in range(12):
            self.driver.ask("clip", "t3")
            self.driver.advance(SECOND // 4)
        self.driver.advance(SECOND)
        self.assertGreater(self.held(), 0.0)
        self.assertEqual(self.session_core.peaks.hold_states["month-end"].phase, "on")

    def test_the_hold_for_a_peak_that_never_comes_is_released(self):
        self.announce(SECOND, rate=1.0)
        self.driver.advance(3 * SECOND)
        first = self.held()
        self.driver.advance(20 * SECOND)
        self.assertLess(self.held(), first / 3)

    def test_a_higher_peak_than_announced_is_followed_up_to_the_announced_maximum(self):
        self.announce(SECOND, rate=0.4, most=0.5)
        self.driver.advance(2 * SECOND)
        first = self.held()
        for _ in range(40):
            self.driver.ask("clip", "t3")
            self.driver.advance(SECOND // 8)
        used = sum(
            front_session.viewing.held_rate
            for front_session in self.session_core.front_sessions.values()
            if front_session.viewing.package is self.clip
        )
        self.assertGreater(self.held() + used, first)
        self.assertLessEqual(self.held(), 8000.0)

    def test_a_hold_shrinks_with_the_fleet_and_is_never_on_a_draining_server(self):
        self.announce(SECOND, rate=1.0)
        self.driver.advance(2 * SECOND)
        before = self.held()
        self.driver.change(self.driver.row("s0", "fading"), self.driver.row("s1", "off", "b"))
        gone = self.driver.server("s0")
        self.driver.advance(SECOND)
        self.assertAlmostEqual(self.held() / before, 0.5, delta=0.1)
        self.assertFalse(gone.link.holds)

    def test_a_cold_replacement_server_is_not_sent_more_because_of_a_hold(self):
        self.announce(SECOND, rate=20.0)
        started = self.driver.clock
        self.driver.change(self.driver.row("s0", "off"), self.driver.row("s9", "on", "a", started))
        self.driver.advance(2 * SECOND)
        for _ in range(60):
            self.driver.ask("clip", "t1")
        self.assertEqual(self.driver.violations, [])

    def test_overlapping_peaks_both_hold_room_and_two_of_one_package_hold_it_once(self):
        self.announce(SECOND, most=0.4)
        self.announce(SECOND, name="other", package="lesson", most=0.4)
        self.driver.advance(2 * SECOND)
        self.assertGreater(min(self.held(), self.held(self.lesson)), 0)
        self.calendar.cancel("other")
        self.announce(SECOND, name="again", most=0.4)
        one = self.held()
        self.driver.advance(SECOND)
        self.assertAlmostEqual(self.held(), one, delta=0.1 * one)
        self.assertEqual(self.held(self.lesson), 0.0)

    def test_the_hold_of_a_cancelled_peak_is_released_within_a_second(self):
        self.announce(SECOND)
        self.driver.advance(2 * SECOND)
        self.assertGreater(self.held(), 0)
        self.calendar.cancel("month-end")
        self.driver.advance(SECOND)
        self.assertEqual(self.held(), 0.0)

    def test_a_step_of_the_wall_clock_moves_the_peak_and_breaks_nothing(self):
        self.announce(100 * SECOND)
        self.driver.wall_offset = 101 * SECOND
        self.driver.advance(SECOND)
        self.assertGreater(self.held(), 0)
        self.driver.wall_offset = 0
        self.driver.advance(SECOND)
        self.assertEqual(self.held(), 0.0)
        self.driver.wall_offset = 1000 * SECOND
        self.driver.advance(SECOND)
        self.assertEqual((self.held(), self.calendar.peaks), (0.0, {}))

    def test_nothing_is_held_where_not_even_one_viewing_would_fit_on_its_floor(self):
        rows = [replace(row, link=300.0) for row in self.driver.rows.values()]
        self.driver.change(*rows)
        self.announce(SECOND)
        self.driver.advance(2 * SECOND)
        self.assertEqual(self.held(), 0.0)

    def test_room_is_held_where_the_titles_of_the_package_are_requested(self):
        for _ in range(60):
            self.driver.ask("clip", "t1")
            self.driver.advance(SECOND // 10)
        self.driver.advance(10 * SECOND)
        self.announce(SECOND, rate=0.5, most=0.8)
        self.driver.advance(2 * SECOND)
        holds = {
            server.name: server.link.holds.get(self.clip, 0.0)
            + sum(viewing.held_rate for viewing in server.link.playing if viewing.package is self.clip)
            for server in self.session_core.rules.servers
        }
        self.assertGreater(holds["s0"] + holds["s1"], 2 * (holds["s2"] + holds["s3"]))

    def test_with_an_empty_calendar_no_link_is_visited(self):
        self.session_core.peaks._links = None
        self.driver.advance(5 * SECOND)

    def test_each_front_holds_its_share(self):
        three = FakeDriver(calendar=Calendar(PACKAGES), fronts=3)
        three.session_core.peaks.calendar.announce(
            peak(starts=three.wall() + SECOND, ends=three.wall() + 30 * SECOND), three.wall()
        )
        three.advance(2 * SECOND)
        held = sum(sum(server.link.holds.values()) for server in three.session_core.rules.servers)
        self.assertAlmostEqual(held, 8000.0 / 3, delta=1)


class RulesWithHolds(unittest.TestCase):
    """In the rules, held room counts as used for other packages."""

    def test_admission_and_climbs_keep_out_of_held_room(self):
        fixture = RulesFixture(count=1, size=1000.0)
        mine, other = package(name="mine"), package(name="other")
        fixture.servers[0].link.holds = {mine: 500.0}
        self.assertEqual((fixture.want(pack=other).rung, fixture.want(pack=mine).rung), (1, 2))
        fixture = RulesFixture(count=1, size=1000.0)
        low = fixture.play(pack=other, ceiling=1)
        low.ceiling = 2
        fixture.servers[0].link.holds = {mine: 500.0}
        fixture.advance(11 * SECOND)
        fixture.rules.link_report_received(fixture.servers[0], 0.2)
        fixture.ticks(3)
        self.assertEqual(low.rung, 1)
        fixture.servers[0].link.holds = {}
        fixture.ticks(12)
        self.assertEqual(low.rung, 2)


class StoredPeaks(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "peaks.db"

    def test_a_confirmed_announcement_survives_a_kill(self):
        store = PeakStore(self.path)
        store.announced(peak(who="ann", why="month end"), 5)
        # not closed, as after a kill
        self.assertEqual(PeakStore(self.path).read(), [peak(who="ann", why="month end")])
        store.cancelled("month-end", 6, "bob", "moved")
        again = PeakStore(self.path)
        self.assertEqual(again.read(), [])
        self.assertEqual(
            again.changes(), [(5, "announced", "month-end", "ann", "month end"), (6, "cancelled", "month-end", "bob", "moved")]
        )

    def test_a_torn_log_tail_loses_only_unconfirmed_announcements(self):
        store = PeakStore(self.path)
        store.announced(peak(), 5)
        store.announced(peak(name="second"), 6)
        journal = Path(f"{self.path}-wal")
        raw, copy = journal.read_bytes(), self.path.with_name("copy.db")
        copy.write_bytes(self.path.read_bytes())
        Path(f"{copy}-wal").write_bytes(raw[:-1500])
        names = [kept.name for kept in PeakStore(copy).read()]
        self.assertIn(names, (["month-end"], ["month-end", "second"]))

    def test_a_damaged_file_is_moved_aside_and_reported(self):
        self.path.write_bytes(b"no database" * 500)
        store = PeakStore(self.path)
        self.assertIn("put aside as peaks.db.damaged", store.damage)
        store.announced(peak(), 1)
        self.assertEqual(len(PeakStore(self.path).read()), 1)


class Commands(unittest.TestCase):
    @async_test
    async def test_announce_list_restart_and_cancel(self):
        with tempfile.TemporaryDirectory() as folder:
            state = Path(folder)
            starts = 4_000_000_000 * SECOND
            command = {
                "do": "announce",
                "why": "month end",
                "peak": {"name": "m", "package": "clip", "starts": starts, "ends": starts + MINUTE, "rate": 2.0},
            }
            async with SmallSite(servers=1).up(state) as site:
                await until((state / "control").exists)
                self.assertEqual((state / "control").stat().st_mode & 0o77, 0)
                self.assertEqual(await tell(state, command), {"ok": True})
                for invalid, reason in (
                    (command, "cancel it first"),
                    ({**command, "why": " "}, "say why"),
                    ({"do": "dance", "why": "x"}, "no command 'dance'"),
                    ({"do": 3}, "no command"),
                    ({**command, "peak": {"name": "x"}}, "no peak"),
                    ({"do": "cancel", "name": "z", "why": "x"}, "no peak 'z'"),
                ):
                    answer = await tell(state, invalid)
                    self.assertEqual((answer["ok"], reason in answer["wrong"]), (False, True), answer)
                rows = (await tell(state, {"do": "peaks"}))["peaks"]
                self.assertEqual([(row["name"], row["phase"], row["why"]) for row in rows], [("m", "ahead", "month end")])
            async with SmallSite(servers=1).up(state) as site:
                self.assertEqual(list(site.front.calendar.peaks), ["m"])
                await until((state / "control").exists)
                self.assertTrue((await tell(state, {"do": "cancel", "name": "m", "why": "moved"}))["ok"])
                self.assertEqual(site.front.calendar.peaks, {})

    @async_test
    async def test_the_command_line_reports_errors_and_lists_the_peaks(self):
        with tempfile.TemporaryDirectory() as folder:
            state = Path(folder)

            async def peak_command(*arguments):
                return await anyio.run_process(
                    [sys.executable, "-m", "curlewshift", "peak", *arguments, "--state", folder], cwd=ROOT, check=False
                )

            without_front = await peak_command("list")
            self.assertEqual(without_front.returncode, 1)
            async with SmallSite(servers=1).up(state):
                await until((state / "control").exists)
                options = ("--package", "clip", "--rate", "2", "--why", "a story")
                refused = await peak_command("announce", "m", "--starts", "+10min", "--ends", "+5min", *options)
                self.assertEqual((refused.returncode, b"ends before it starts" in refused.stderr), (2, True))
                refused = await peak_command("announce", "m", "--starts", "noon", "--ends", "+5min", *options)
                self.assertEqual((refused.returncode, b"neither a date and time" in refused.stderr), (2, True))
                answered = await peak_command("announce", "m", "--starts", "+10min", "--ends", "2099-01-01T00:00+00:00", *options)
                self.assertEqual((answered.returncode, b"24 hours at most" in answered.stderr), (2, True))
                answered = await peak_command("announce", "m", "--starts", "+10min", "--ends", "+20min", *options)
                self.assertEqual(answered.returncode, 0, answered.stderr)
                listing = await peak_command("list")
                self.assertIn(b"a story", listing.stdout)
                self.assertIn(b"ahead", listing.stdout)

    @async_test
    async def test_an_announcement_that_could_not_be_stored_is_not_confirmed(self):
        with tempfile.TemporaryDirectory() as folder:
            state = Path(folder)
            async with SmallSite(servers=1).up(state) as site:
                await until((state / "control").exists)

                def disk_full(*args):
                    raise sqlite3.OperationalError("database or disk is full")

                site.front.control.store.announced = disk_full
                starts = 4_000_000_000 * SECOND
                answer = await tell(
                    state,
                    {
                        "do": "announce",
                        "why": "x",
                        "peak": {"name": "m", "package": "clip", "starts": starts, "ends": starts + MINUTE, "rate": 2.0},
                    },
                )
                self.assertEqual((answer["ok"], site.front.calendar.peaks), (False, {}))
                self.assertIn("disk is full", answer["wrong"])


if __name__ == "__main__":
    unittest.main()
