"""Tests of fleet-wide tasks: orphans, the server list, the plan for a peak, and acts of an earlier tenure."""

import unittest
from types import SimpleNamespace

from curlewshift.exchange.client import ask
from curlewshift.peaks.calendar import Calendar, Peak
from curlewshift.peaks.peaks import Peaks
from curlewshift.signalling.bodies import ListNews, ListRow, SessionList, decode
from curlewshift.tasks.listing import ANNOUNCE_INTERVAL_NS, MAX_SILENT_INTERVALS, ListReading
from curlewshift.tasks.planning import PLAN_TTL_NS, Planning, shares_by_demand
from curlewshift.tasks.servers import Orphans, Probing, shard_of
from curlewshift.tasks.tasks import Fences
from curlewshift.verdict.leases import judge_orphans
from tests.fake import package
from tests.sockets import SmallSite, async_test, until

MS = 1_000_000
SECOND = 1000 * MS


class ServerShards(unittest.TestCase):
    """Tasks at servers; their calls are recorded in a list."""

    def now(self):
        return self.clock

    def servers(self):
        return [SimpleNamespace(name=f"127.0.0.1:{n}", open=n != 3) for n in range(20)]

    def probe_for_all(self, server, lease, number):
        self.done.append((server.name, lease, number))

    def look_for_orphans(self, server, away, lease, number):
        self.done.append((server.name, lease, number))

    def test_holder_of_a_shard_acts_on_its_open_servers_once_a_period(self):
        for task in (Probing(self, 4, SECOND), Orphans(self, 4, SECOND, 5 * SECOND)):
            self.clock, self.done = 10 * SECOND, []
            for shard in range(4):
                task.begin(shard, 7)
                task.act(shard, 7)
                task.act(shard, 7)
            self.assertEqual(
                sorted(name for name, _, _ in self.done), sorted(server.name for server in self.servers() if server.open)
            )
            self.assertTrue(
                all(lease == f"{task.name}/{shard_of(SimpleNamespace(name=name), 4)}" for name, lease, _ in self.done)
            )
            self.clock += SECOND
            task.act(0, 7)
            self.assertGreater(len(self.done), 19)

    def test_fencing_token_of_an_earlier_tenure_is_refused(self):
        fences = Fences()
        self.assertEqual(
            [fences.passes("a", 2), fences.passes("a", 1), fences.passes("a", 2), fences.passes("b", 1), fences.refused],
            [True, False, True, True, 1],
        )


class ListReader:
    """One front's copy of the list, and whether it reads the list itself."""

    def __init__(self, fleet):
        self.fleet, self.held, self.itself, self.taken = fleet, ("e", 1), True, []
        self.task = ListReading(self)

    def now(self):
        return self.fleet.clock

    def list_held(self):
        return self.held

    def announce_list(self, number, epoch, generation, news):
        self.fleet.sent.append((number, epoch, generation, news))

    def apply_updates(self, news):
        self.taken.append(news)
        if news == self.held[1]:
            self.held = ("e", news + 1)
        else:
            self.task.gap()

    def read_list(self, itself):
        self.itself = itself


class OneReader(unittest.TestCase):
    """An update is represented by the generation that it follows on."""

    def setUp(self):
        self.clock, self.sent = 100 * SECOND, []
        self.holder, self.other = ListReader(self), ListReader(self)
        self.holder.task.begin(0, 5)

    def deliver(self):
        sent, self.sent = self.sent, []
        for message in sent:
            self.other.task.receive_announcement(*message)

    def round(self):
        self.holder.task.act(0, 5)
        self.deliver()

    def test_others_stop_reading_once_current_and_take_updates(self):
        self.round()
        self.assertEqual((self.holder.itself, self.other.itself), (True, False))
        self.holder.held = ("e", 2)
        self.holder.task.read("e", 2, 1)
        self.deliver()
        self.assertEqual((self.other.held, self.other.itself), (("e", 2), False))

    def test_silent_reader_makes_each_front_read_itself(self):
        self.round()
        for _ in range(MAX_SILENT_INTERVALS + 1):
            self.clock += ANNOUNCE_INTERVAL_NS
            self.other.task.time()
        self.assertTrue(self.other.itself)

    def test_gap_in_updates_or_another_epoch_makes_it_read_itself(self):
        self.round()
        self.holder.held = ("e", 4)
        self.holder.task.read("e", 4, 3)
        self.deliver()
        self.assertTrue(self.other.itself)
        self.other.held = ("e", 4)
        self.clock += ANNOUNCE_INTERVAL_NS
        self.round()
        self.assertFalse(self.other.itself)
        self.holder.held = ("another", 0)
        self.clock += ANNOUNCE_INTERVAL_NS
        self.round()
        self.assertTrue(self.other.itself)

    def test_reader_of_an_earlier_tenure_is_ignored(self):
        self.round()
        self.other.task.receive_announcement(6, "e", 1, None)
        self.other.task.receive_announcement(5, "e", 1, 1)
        self.assertEqual((self.other.held, self.other.taken), (("e", 1), []))

    def test_new_reader_reads_itself_and_ignores_others(self):
        self.round()
        self.other.task.begin(0, 9)
        self.assertTrue(self.other.itself)
        self.other.task.receive_announcement(10, "e", 1, None)
        self.assertTrue(self.other.itself)


class Plans(unittest.TestCase):
    def now(self):
        return self.clock

    def front_names(self):
        return ["a", "b", "c"]

    def request_rates(self):
        return {"clip": 6.0}

    def send_demand(self, to, asked):
        self.sent.append((to, asked))

    def send_plan(self, number, package, parts):
        self.sent.append((number, package, parts))

    def planned(self, package, part, until):
        self.plans.append((package, part, until))

    def setUp(self):
        self.clock, self.sent, self.plans = 100 * SECOND, [], []
        self.planning = Planning(self, "a")

    def test_shares_follow_demand_and_add_up(self):
        self.planning.receive_demand("b", {"clip": 2.0})
        self.planning.act(0, 3)
        number, name, parts = self.sent[0]
        self.assertEqual((number, name), (3, "clip"))
        self.assertAlmostEqual(sum(parts.values()), 1.0)
        self.assertTrue(parts["a"] > 2 * parts["b"] > 0 and parts["c"] > 0)
        self.assertEqual(self.plans, [("clip", parts["a"], self.clock + PLAN_TTL_NS)])

    def test_old_reports_expire_and_without_demand_shares_are_even(self):
        self.planning.receive_demand("b", {"clip": 50.0})
        self.clock += PLAN_TTL_NS + 1
        self.planning.act(0, 3)
        self.assertGreater(self.sent[0][2]["a"], 0.5)
        self.assertEqual(shares_by_demand(["a", "b"], {}), {"a": 0.5, "b": 0.5})

    def test_plan_of_an_earlier_tenure_is_ignored(self):
        self.planning.receive_plan(4, "clip", {"a": 0.5})
        self.planning.receive_plan(3, "clip", {"a": 0.9})
        self.assertEqual([part for _, part, _ in self.plans], [0.5])

    def test_front_reserves_its_share_while_the_plan_is_valid(self):
        pack = package(name="clip")
        peaks = Peaks(Calendar([pack]), 4, 0)
        peaks.planned(pack, 0.5, 10 * SECOND)
        self.assertEqual((peaks.share_divisor(pack, 9 * SECOND), peaks.share_divisor(pack, 10 * SECOND)), (2.0, 4))
        peaks.calendar.announce(Peak("p", "clip", 0, SECOND, 5.0), 0)
        peaks.request_arrived(pack, SECOND, [])
        self.assertGreater(peaks.request_rates(SECOND)["clip"], 0)


class AtAServer(unittest.TestCase):
    """A stand-in server on a socket; sessions of a front that is gone stay until the holder of the lease ends them."""

    async def left(self, site):
        await site.ask()
        server = next(server for server in site.servers.values() if server.sessions)
        server.tidy = False
        session = next(iter(server.sessions.values()))
        session.front = "gone.1"
        return server, session

    async def sessions(self, server, number, away=0):
        answered = await ask(
            "127.0.0.1",
            int(server.name.rpartition(":")[2]),
            "GET",
            f"/sessions?away={away}",
            [("x-front", "f.1"), ("x-fence", f"orphans/0;{number}")],
            within=2.0,
        )
        return answered.status, decode(answered.body, SessionList).sessions if answered.status == 200 else None

    @async_test
    async def test_sessions_of_a_front_that_is_gone_are_listed_and_ended(self):
        async with SmallSite(servers=1).up() as site:
            server, _session = await self.left(site)
            status, rows = await self.sessions(server, 5)
            self.assertEqual((status, [row.front for row in rows]), (200, ["gone.1"]))
            held = next(iter(site.front.session_core.server_list.servers.values()))
            site.front.server_pool.end_orphans(held, 0, "orphans/0;5")
            await until(lambda: not server.sessions)
            self.assertEqual(site.traffic.all("session-end")[-1]["why"], "left by a front that is gone")

    @async_test
    async def test_session_watched_or_taken_over_or_of_a_present_front_stays(self):
        async with SmallSite(servers=1).up() as site:
            server, session = await self.left(site)
            self.assertEqual((await self.sessions(server, 5, away=60_000))[1], [])
            session.watchers = 1
            self.assertEqual((await self.sessions(server, 5))[1], [])
            session.watchers = 0
            port = int(server.name.rpartition(":")[2])
            session.front = "gone.2"
            answered = await ask(
                "127.0.0.1",
                port,
                "DELETE",
                f"/session/{session.name}",
                [("x-fence", "orphans/0;5"), ("x-was", "gone.1")],
                within=2.0,
            )
            self.assertEqual((answered.status, len(server.sessions)), (409, 1))

    @async_test
    async def test_act_of_an_earlier_tenure_is_refused(self):
        async with SmallSite(servers=1).up() as site:
            server, session = await self.left(site)
            self.assertEqual((await self.sessions(server, 9))[0], 200)
            self.assertEqual((await self.sessions(server, 8))[0], 412)
            answered = await ask(
                "127.0.0.1",
                int(server.name.rpartition(":")[2]),
                "DELETE",
                f"/session/{session.name}",
                [("x-fence", "orphans/0;8"), ("x-was", "gone.1")],
                within=2.0,
            )
            self.assertEqual((answered.status, len(server.sessions)), (412, 1))
            self.assertEqual([act["accepted"] for act in site.traffic.all("act")], [True, False, False])

    @async_test
    async def test_front_not_reading_the_list_takes_updates_and_resumes(self):
        async with SmallSite(servers=1).up() as site:
            lists, server_list = site.front.lists, site.front.session_core.server_list
            lists.read_itself(False)
            await until(lambda: lists.reading.cancel_called)
            before = server_list.generation
            site.list.schedule_change(site.row(site.site.machines[0], "fading"))
            await until(lambda: site.list.generation > before, 8)
            self.assertEqual(server_list.generation, before)
            row = ListRow(site.row(site.site.machines[0]).server, "fading", 0, "z", "r", 10.0, 5, "s0")
            lists.take_news(ListNews(server_list.epoch, before + 1, [row], before), full=False)
            self.assertEqual([server.open for server in site.front.session_core.rules.servers], [False])
            site.list.schedule_change(site.row(site.site.machines[0], "on"))
            lists.read_itself(True)
            await until(lambda: next(iter(site.front.session_core.rules.servers)).open, 8)


class OrphanVerdict(unittest.TestCase):
    def test_orphans_count_until_ended_unless_taken_over(self):
        def day(*more):
            return judge_orphans(
                [
                    {"ev": "session", "at": 1 * SECOND, "front": "a.1", "session": "x", "server": "s", "boot": "b"},
                    {"ev": "front-down", "at": 3 * SECOND, "front": "a", "life": "a.1", "how": "killed"},
                    *more,
                    {"ev": "day-over", "at": 20 * SECOND},
                ]
            )

        self.assertEqual(day()["seconds"], 17.0)
        self.assertEqual(day({"ev": "session-end", "at": 7 * SECOND, "session": "x"})["seconds"], 4.0)
        self.assertEqual(day({"ev": "adopted", "at": 7 * SECOND, "session": "x"})["left"], 0)


if __name__ == "__main__":
    unittest.main()
