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
from tests.sockets import SmallSite, story, until

ROOT = Path(__file__).resolve().parents[1]
MINUTE = 60 * SECOND


def peak(**changed):
    facts = dict(
        name="month-end", package="clip", starts=2000 * SECOND, ends=2060 * SECOND, rate=5.0, most=0.5, lasts=10 * SECOND
    )
    return Peak(**{**facts, **changed})


class Announcing(unittest.TestCase):
    def refused(self, calendar=None, **changed):
        with self.assertRaises(InvalidPeak) as found:
            (calendar or Calendar(PACKAGES)).announce(peak(**changed), 1000 * SECOND)
        return str(found.exception)

    def test_nonsense_is_refused_in_plain_words(self):
        for words, changed in (
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
            self.assertIn(words, self.refused(**changed))

    def test_a_name_twice_and_too_much_together_are_refused(self):
        calendar = Calendar(PACKAGES)
        calendar.announce(peak(), 0)
        self.assertIn("cancel it first", self.refused(calendar))
        self.assertIn("100% of the links", self.refused(calendar, name="b", package="paid"))
        # it overlaps one at a time with both, never with both at once
        calendar.announce(peak(name="c", starts=2100 * SECOND, ends=2200 * SECOND), 0)
        calendar.announce(peak(name="d", starts=2050 * SECOND, ends=2150 * SECOND, most=0.3), 0)
        self.assertIn("130%", self.refused(calendar, name="e", starts=2050 * SECOND, ends=2150 * SECOND))

    def test_what_is_over_leaves_the_calendar(self):
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

    def test_what_is_seen_is_the_rate_of_late_and_fades(self):
        seen, now = self.seen(5.0)
        self.assertAlmostEqual(seen.rate(now), 5.0, delta=0.5)
        self.assertLess(seen.rate(now + 20 * SECOND), 0.1)

    def test_a_peak_that_comes_early_is_known_by_its_viewers_within_a_third_of_its_length(self):
        seen, now = self.seen(4.0)
        self.assertTrue(began_early(5.0, seen, now, 15 * SECOND, 60 * SECOND))
        self.assertFalse(began_early(5.0, seen, now, 25 * SECOND, 60 * SECOND))
        self.assertFalse(began_early(9.0, seen, now, 15 * SECOND, 60 * SECOND))
        one = ArrivalStatistics(0)
        one.record_arrival(0)
        self.assertFalse(began_early(0.01, one, 1, SECOND, 60 * SECOND))

    def test_the_announced_figure_gives_way_to_what_comes(self):
        self.assertEqual(expected_rate(5.0, 0.0, 0, MINUTE), 5.0)
        self.assertEqual(expected_rate(5.0, 10.0, 5 * SECOND, MINUTE), 10.0)
        self.assertLess(expected_rate(5.0, 0.0, 30 * SECOND, MINUTE), 1.0)
        self.assertGreater(expected_rate(5.0, 0.0, 5 * SECOND, MINUTE), 3.5)


class Holding(unittest.TestCase):
    """What one front holds. Four links of 4,000 kB/s in one rack; the wall's clock is the front's own at first."""

    def setUp(self):
        self.calendar = Calendar(PACKAGES)
        self.driver = FakeDriver(calendar=self.calendar, free_further=None)
        self.session_core = self.driver.session_core
        self.clip, self.lesson = PACKAGES[0], PACKAGES[2]

    def announce(self, starts_in, length=30 * SECOND, **changed):
        starts = self.driver.wall() + starts_in
        self.calendar.announce(peak(starts=starts, ends=starts + length, **changed), self.driver.wall())

    def held(self, pack=None):
        return sum(server.link.holds.get(pack or self.clip, 0.0) for server in self.session_core.rules.servers)

    def test_room_is_made_ahead_used_by_its_package_and_given_back(self):
        self.announce(60 * SECOND)
        self.driver.later(5 * SECOND)
        self.assertEqual(self.held(), 0.0)
        self.driver.later(54 * SECOND)
        # 5 a second for 10 s at the rung over the floor, 400 kB/s: more than half of the links, so half of them
        self.assertAlmostEqual(self.held(), 8000.0)
        self.driver.later(2 * SECOND)
        front_session = self.driver.play(pack="clip", title="t3")
        self.driver.later(SECOND)
        self.assertLess(self.held(), 8000.0 - front_session.viewing.held_rate + 1)
        self.driver.later(40 * SECOND)
        self.assertEqual((self.held(), self.calendar.peaks), (0.0, {}))

    def test_others_are_kept_out_of_what_is_held_and_those_it_is_for_are_not(self):
        self.announce(2 * SECOND, most=0.8)
        for server in list(self.session_core.rules.servers):
            self.session_core.told(server, {"link": 0.15, "uplink": 0.0})
        self.driver.later(SECOND)
        lesson, clip = self.driver.ask("lesson", "t1"), self.driver.ask("clip", "t1")
        rungs = {tune_in.front_session.viewing.package.name: tune_in.rung for tune_in in self.driver.out}
        self.assertEqual(rungs.get("clip"), 2)
        self.assertLess(rungs.get("lesson", -1), 2)
        self.assertNotIn(clip, self.driver.answers)
        self.assertTrue(lesson in self.driver.answers or rungs["lesson"] < 2)

    def test_steps_make_room_from_others_and_never_from_those_it_is_held_for(self):
        lessons = [self.driver.play(pack="lesson", title="t1") for _ in range(12)]
        clips = [self.driver.play(pack="clip", title="t1") for _ in range(2)]
        self.driver.later(SECOND)
        before = [front_session.viewing.rung for front_session in clips]
        self.announce(2 * SECOND, most=0.8, rate=50.0)
        self.driver.later(3 * SECOND)
        self.assertLess(sum(front_session.viewing.rung for front_session in lessons), 24)
        self.assertEqual([front_session.viewing.rung for front_session in clips], before)

    def test_a_peak_that_starts_early_is_held_for_at_once(self):
        self.announce(20 * SECOND, length=60 * SECOND, rate=4.0)
        self.assertEqual(self.held(), 0.0)
        for _ in range(12):
            self.driver.ask("clip", "t3")
            self.driver.later(SECOND // 4)
        self.driver.later(SECOND)
        self.assertGreater(self.held(), 0.0)
        self.assertEqual(self.session_core.peaks.holding["month-end"].phase, "on")

    def test_a_peak_that_never_comes_is_let_go(self):
        self.announce(SECOND, rate=1.0)
        self.driver.later(3 * SECOND)
        first = self.held()
        self.driver.later(20 * SECOND)
        self.assertLess(self.held(), first / 3)

    def test_a_peak_twice_as_high_is_followed_up_to_what_was_announced_as_the_most(self):
        self.announce(SECOND, rate=0.4, most=0.5)
        self.driver.later(2 * SECOND)
        first = self.held()
        for _ in range(40):
            self.driver.ask("clip", "t3")
            self.driver.later(SECOND // 8)
        used = sum(
            front_session.viewing.held_rate
            for front_session in self.session_core.front_sessions.values()
            if front_session.viewing.package is self.clip
        )
        self.assertGreater(self.held() + used, first)
        self.assertLessEqual(self.held(), 8000.0)

    def test_a_hold_shrinks_with_the_servers_and_is_never_on_one_that_drains(self):
        self.announce(SECOND, rate=1.0)
        self.driver.later(2 * SECOND)
        before = self.held()
        self.driver.change(self.driver.row("s0", "fading"), self.driver.row("s1", "off", "b"))
        gone = self.driver.server("s0")
        self.driver.later(SECOND)
        self.assertAlmostEqual(self.held() / before, 0.5, delta=0.1)
        self.assertFalse(gone.link.holds)

    def test_a_replacement_that_comes_cold_is_sent_no_more_for_a_hold(self):
        self.announce(SECOND, rate=20.0)
        started = self.driver.clock
        self.driver.change(self.driver.row("s0", "off"), self.driver.row("s9", "on", "a", started))
        self.driver.later(2 * SECOND)
        for _ in range(60):
            self.driver.ask("clip", "t1")
        self.assertEqual(self.driver.broken, [])

    def test_two_peaks_that_overlap_hold_for_both_and_one_package_twice_holds_once(self):
        self.announce(SECOND, most=0.4)
        self.announce(SECOND, name="other", package="lesson", most=0.4)
        self.driver.later(2 * SECOND)
        self.assertGreater(min(self.held(), self.held(self.lesson)), 0)
        self.calendar.cancel("other")
        self.announce(SECOND, name="again", most=0.4)
        one = self.held()
        self.driver.later(SECOND)
        self.assertAlmostEqual(self.held(), one, delta=0.1 * one)
        self.assertEqual(self.held(self.lesson), 0.0)

    def test_a_cancelled_peak_is_given_back_at_the_next_second(self):
        self.announce(SECOND)
        self.driver.later(2 * SECOND)
        self.assertGreater(self.held(), 0)
        self.calendar.cancel("month-end")
        self.driver.later(SECOND)
        self.assertEqual(self.held(), 0.0)

    def test_the_walls_clock_set_back_or_forward_moves_the_peak_and_breaks_nothing(self):
        self.announce(100 * SECOND)
        self.driver.wall_off = 101 * SECOND
        self.driver.later(SECOND)
        self.assertGreater(self.held(), 0)
        self.driver.wall_off = 0
        self.driver.later(SECOND)
        self.assertEqual(self.held(), 0.0)
        self.driver.wall_off = 1000 * SECOND
        self.driver.later(SECOND)
        self.assertEqual((self.held(), self.calendar.peaks), (0.0, {}))

    def test_where_not_one_would_fit_over_its_floor_nothing_is_held(self):
        rows = [replace(row, link=300.0) for row in self.driver.rows.values()]
        self.driver.change(*rows)
        self.announce(SECOND)
        self.driver.later(2 * SECOND)
        self.assertEqual(self.held(), 0.0)

    def test_room_is_held_where_its_titles_are_asked_for(self):
        for _ in range(60):
            self.driver.ask("clip", "t1")
            self.driver.later(SECOND // 10)
        self.driver.later(10 * SECOND)
        self.announce(SECOND, rate=0.5, most=0.8)
        self.driver.later(2 * SECOND)
        holds = {
            server.name: server.link.holds.get(self.clip, 0.0)
            + sum(viewing.held_rate for viewing in server.link.playing if viewing.package is self.clip)
            for server in self.session_core.rules.servers
        }
        self.assertGreater(holds["s0"] + holds["s1"], 2 * (holds["s2"] + holds["s3"]))

    def test_without_a_calendar_no_link_is_looked_at(self):
        self.session_core.peaks._links = None
        self.driver.later(5 * SECOND)

    def test_a_hold_is_one_fronts_part(self):
        three = FakeDriver(calendar=Calendar(PACKAGES), fronts=3)
        three.session_core.peaks.calendar.announce(
            peak(starts=three.wall() + SECOND, ends=three.wall() + 30 * SECOND), three.wall()
        )
        three.later(2 * SECOND)
        held = sum(sum(server.link.holds.values()) for server in three.session_core.rules.servers)
        self.assertAlmostEqual(held, 8000.0 / 3, delta=1)


class Term(unittest.TestCase):
    """The rules' side: what is held counts as used for others."""

    def test_admission_and_climbs_leave_what_is_held_alone(self):
        fixture = RulesFixture(count=1, size=1000.0)
        mine, other = package(name="mine"), package(name="other")
        fixture.servers[0].link.holds = {mine: 500.0}
        self.assertEqual((fixture.want(pack=other).rung, fixture.want(pack=mine).rung), (1, 2))
        fixture = RulesFixture(count=1, size=1000.0)
        low = fixture.play(pack=other, ceiling=1)
        low.ceiling = 2
        fixture.servers[0].link.holds = {mine: 500.0}
        fixture.advance(11 * SECOND)
        fixture.rules.link_told(fixture.servers[0], 0.2)
        fixture.ticks(3)
        self.assertEqual(low.rung, 1)
        fixture.servers[0].link.holds = {}
        fixture.ticks(12)
        self.assertEqual(low.rung, 2)


class Kept(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "peaks.db"

    def test_what_was_confirmed_is_there_after_a_kill(self):
        store = PeakStore(self.path)
        store.announced(peak(who="ann", why="month end"), 5)
        # no close: as if killed
        self.assertEqual(PeakStore(self.path).read(), [peak(who="ann", why="month end")])
        store.cancelled("month-end", 6, "bob", "moved")
        again = PeakStore(self.path)
        self.assertEqual(again.read(), [])
        self.assertEqual(
            again.changes(), [(5, "announced", "month-end", "ann", "month end"), (6, "cancelled", "month-end", "bob", "moved")]
        )

    def test_a_torn_tail_loses_what_was_not_confirmed_alone(self):
        store = PeakStore(self.path)
        store.announced(peak(), 5)
        store.announced(peak(name="second"), 6)
        journal = Path(f"{self.path}-wal")
        raw, copy = journal.read_bytes(), self.path.with_name("copy.db")
        copy.write_bytes(self.path.read_bytes())
        Path(f"{copy}-wal").write_bytes(raw[:-1500])
        names = [kept.name for kept in PeakStore(copy).read()]
        self.assertIn(names, (["month-end"], ["month-end", "second"]))

    def test_a_damaged_file_is_put_aside_and_named(self):
        self.path.write_bytes(b"no database" * 500)
        store = PeakStore(self.path)
        self.assertIn("put aside as peaks.db.damaged", store.damage)
        store.announced(peak(), 1)
        self.assertEqual(len(PeakStore(self.path).read()), 1)


class Commands(unittest.TestCase):
    @story
    async def test_announce_list_cancel_and_a_restart_in_between(self):
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
                for wrong, words in (
                    (command, "cancel it first"),
                    ({**command, "why": " "}, "say why"),
                    ({"do": "dance", "why": "x"}, "no command 'dance'"),
                    ({"do": 3}, "no command"),
                    ({**command, "peak": {"name": "x"}}, "no peak"),
                    ({"do": "cancel", "name": "z", "why": "x"}, "no peak 'z'"),
                ):
                    answer = await tell(state, wrong)
                    self.assertEqual((answer["ok"], words in answer["wrong"]), (False, True), answer)
                rows = (await tell(state, {"do": "peaks"}))["peaks"]
                self.assertEqual([(row["name"], row["phase"], row["why"]) for row in rows], [("m", "ahead", "month end")])
            async with SmallSite(servers=1).up(state) as site:
                self.assertEqual(list(site.front.calendar.peaks), ["m"])
                await until((state / "control").exists)
                self.assertTrue((await tell(state, {"do": "cancel", "name": "m", "why": "moved"}))["ok"])
                self.assertEqual(site.front.calendar.peaks, {})

    @story
    async def test_the_command_line_says_what_is_wrong_and_lists_what_is_on(self):
        with tempfile.TemporaryDirectory() as folder:
            state = Path(folder)

            async def peak_command(*words):
                return await anyio.run_process(
                    [sys.executable, "-m", "curlewshift", "peak", *words, "--state", folder], cwd=ROOT, check=False
                )

            nobody = await peak_command("list")
            self.assertEqual(nobody.returncode, 1)
            async with SmallSite(servers=1).up(state):
                await until((state / "control").exists)
                how = ("--package", "clip", "--rate", "2", "--why", "a story")
                wrong = await peak_command("announce", "m", "--starts", "+10min", "--ends", "+5min", *how)
                self.assertEqual((wrong.returncode, b"ends before it starts" in wrong.stderr), (2, True))
                wrong = await peak_command("announce", "m", "--starts", "noon", "--ends", "+5min", *how)
                self.assertEqual((wrong.returncode, b"neither a date and time" in wrong.stderr), (2, True))
                well = await peak_command("announce", "m", "--starts", "+10min", "--ends", "2099-01-01T00:00+00:00", *how)
                self.assertEqual((well.returncode, b"24 hours at most" in well.stderr), (2, True))
                well = await peak_command("announce", "m", "--starts", "+10min", "--ends", "+20min", *how)
                self.assertEqual(well.returncode, 0, well.stderr)
                told = await peak_command("list")
                self.assertIn(b"a story", told.stdout)
                self.assertIn(b"ahead", told.stdout)

    @story
    async def test_what_could_not_be_kept_is_not_confirmed(self):
        with tempfile.TemporaryDirectory() as folder:
            state = Path(folder)
            async with SmallSite(servers=1).up(state) as site:
                await until((state / "control").exists)

                def full(*what):
                    raise sqlite3.OperationalError("database or disk is full")

                site.front.control.store.announced = full
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
