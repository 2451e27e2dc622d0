"""Recovery of a restarted front: sessions that its earlier lives (process runs) left at servers are resumed or ended."""

import tempfile
import unittest
from pathlib import Path

import anyio
import structlog

from curlewshift.exchange.client import ask
from curlewshift.front.front import Front
from curlewshift.recovery.recovery import GIVE_UP_AFTER, InterruptedSetup, ListedSession, Recovery
from curlewshift.session_core.front_session import AnswerKind
from curlewshift.session_core.session_core import UnknownResource
from curlewshift.state.journal import Journal, WriteFailed
from curlewshift.state.session_registry import BEGAN, SessionRegistry, StoredSession
from tests.fake import SECOND
from tests.fake_driver import FakeDriver
from tests.sockets import SmallSite, an_offer, async_test, until

OWN_LIFE, EARLIER_LIFE = "f.2", "f.1"


def stored_session(token="tk", server="s0", path="/session/1", pack="lesson", title="t1", rung=1, key="k", **more):
    return StoredSession(
        **{
            **dict(
                token=token,
                holder=None,
                key=key,
                offer="offer",
                protocol="whep",
                package=pack,
                title=title,
                ceiling=2,
                rung=rung,
                server=server,
                path=path,
                etag='"e"',
                ufrag="u",
                answer="v=0",
            ),
            **more,
        }
    )


class RestartedFront:
    """A recovery with a session core on a fake driver: `asked_servers` and `adopting` are the requests not yet answered."""

    def __init__(self, sessions=(), boots=None, doubts=(), **how):
        self.fake = FakeDriver(**how)
        self.asked_servers, self.adopting, self.front_sessions, self.forgotten_tokens = [], [], {}, []
        for doubt in doubts:
            self.fake.session_core.interrupted(doubt.key, doubt.offer, "paid", "t1", self.fake.clock + 60 * SECOND, doubt=True)
        self.recovery = Recovery(self, self.fake.session_core, OWN_LIFE, list(sessions), boots or {}, list(doubts))
        self.recovery.begin()

    def ask_sessions(self, server):
        self.asked_servers.append(server.name)

    def adopt(self, server, paths):
        self.adopting.append((server.name, paths))

    def resume(self, stored, server):
        front_session = self.front_sessions[stored.token] = self.fake.session_core.handed_over(
            stored.package, stored.title, stored.ceiling, server, stored.path, stored.rung, stored.key, stored.offer
        )
        return front_session

    def session_of(self, found, doubt):
        return found.path

    def ended_before_resume(self, stored):
        self.forgotten_tokens.append(stored.token)

    def answer_list(self, server, *rows, boot="b"):
        self.asked_servers.remove(server)
        self.recovery.listed(
            self.fake.server(server), boot, [ListedSession(path, life, rung, doubt) for path, life, rung, doubt in rows]
        )

    def answer_adoption(self, server, *paths):
        self.adopting = [pair for pair in self.adopting if pair[0] != server]
        self.recovery.adopted(self.fake.server(server), list(paths))

    def no_answer(self, server):
        self.asked_servers.remove(server)
        self.recovery.unanswered(self.fake.server(server))

    def later(self, span):
        for _ in range(int(span // (SECOND // 10))):
            self.fake.advance(SECOND // 10)
            self.recovery.time()


class RecoveryDecisions(unittest.TestCase):
    def test_stored_sessions_use_seats_and_links_before_any_server_was_asked(self):
        front = RestartedFront([stored_session(token=f"t{n}", path=f"/session/{n}", pack="clip", key=f"k{n}") for n in range(2)])
        rules = front.fake.session_core.rules
        front_session = front.front_sessions["t0"]
        self.assertEqual(rules.seats["t1", front_session.viewing.package], 2)
        self.assertGreater(front.fake.server("s0").link.own, 0)
        # both seats of the title are taken: a third viewing is refused at every server
        third = front.fake.ask("clip", "t1", key="new")
        self.assertEqual((third.answer.kind, front.fake.out), (AnswerKind.REFUSED, []))

    def test_kept_ended_and_orphaned_sessions_are_distinguished(self):
        front = RestartedFront([stored_session("kept", path="/session/1"), stored_session("gone", path="/session/2", key="k2")])
        front.answer_list(
            "s0", ("/session/1", EARLIER_LIFE, 1, ""), ("/session/3", EARLIER_LIFE, 0, ""), ("/session/4", OWN_LIFE, 0, "")
        )
        self.assertEqual(front.adopting, [("s0", ["/session/1"])])
        self.assertEqual(front.fake.torn_down, ["/session/3"], "only unknown sessions are torn down, and none of this life")
        self.assertFalse(front.front_sessions["gone"].viewing.playing)
        front.answer_adoption("s0", "/session/1")
        self.assertTrue(front.front_sessions["kept"].viewing.playing)
        for server in ("s1", "s2", "s3"):
            front.answer_list(server)
        recovery = front.recovery
        self.assertEqual((recovery.finished, recovery.kept, recovery.ended, recovery.orphans), (True, 1, 1, 1))

    def test_client_that_retries_gets_the_stored_session(self):
        front = RestartedFront([stored_session(key="k")])
        request = front.fake.ask("lesson", "t1", key="k", offer="offer")
        self.assertEqual((request.answer.kind, request.answer.front_session), (AnswerKind.PLAYS, front.front_sessions["tk"]))
        self.assertEqual(front.fake.out, [])

    def test_session_that_ends_during_adoption(self):
        front = RestartedFront([stored_session()])
        front.answer_list("s0", ("/session/1", EARLIER_LIFE, 1, ""))
        front.answer_adoption("s0")
        self.assertFalse(front.front_sessions["tk"].viewing.playing)
        self.assertEqual((front.recovery.kept, front.recovery.ended), (0, 1))

    def test_viewer_that_leaves_during_adoption_ends_its_session(self):
        front = RestartedFront([stored_session()])
        front.fake.session_core.closed(front.front_sessions["tk"])
        self.assertEqual(front.fake.torn_down, ["/session/1"])
        front.answer_list("s0", ("/session/1", EARLIER_LIFE, 1, ""))
        self.assertEqual((front.adopting, front.fake.torn_down), ([], ["/session/1"]))

    def test_restarted_server_has_no_stored_sessions_and_is_cold(self):
        front = RestartedFront([stored_session()], boots={"s0": "before"})
        server = front.fake.server("s0")
        new = front.fake.session_core.handed_over("lesson", "t1", 2, server, "/session/9", 0)
        front.answer_list("s0", ("/session/9", OWN_LIFE, 0, ""), boot="after")
        self.assertFalse(front.front_sessions["tk"].viewing.playing)
        self.assertTrue(new.viewing.playing, "a session that this life has set up there plays")
        self.assertGreater(server.cold_until, front.fake.clock)

    def test_rung_reported_by_the_server_replaces_the_stored_one(self):
        front = RestartedFront([stored_session(rung=2)])
        front.answer_list("s0", ("/session/1", EARLIER_LIFE, 0, ""))
        front.answer_adoption("s0", "/session/1")
        self.assertEqual(front.front_sessions["tk"].viewing.rung, 0)

    def test_server_without_answer_is_retried_and_then_given_up(self):
        front = RestartedFront([stored_session()])
        for server in ("s1", "s2", "s3"):
            front.answer_list(server)
        tries = 0
        while not front.recovery.finished:
            if front.asked_servers:
                front.no_answer("s0")
                tries += 1
            self.assertTrue(front.front_sessions["tk"].viewing.playing)
            front.later(SECOND // 10)
        self.assertEqual(front.fake.clock - front.recovery.started_at, GIVE_UP_AFTER)
        self.assertLess(tries, 20)
        self.assertFalse(front.front_sessions["tk"].viewing.playing)
        self.assertEqual(front.fake.torn_down, ["/session/1"], "the server may come back, and would send to nobody")

    def test_server_missing_from_the_stored_list_is_asked_once_listed(self):
        front = RestartedFront([stored_session(server="late")])
        self.assertEqual(front.front_sessions, {})
        front.fake.change(front.fake.row("late"))
        front.recovery.list_changed()
        self.assertIn("late", front.asked_servers)
        front.answer_list("late", ("/session/1", EARLIER_LIFE, 1, ""))
        front.answer_adoption("late", "/session/1")
        self.assertTrue(front.front_sessions["tk"].viewing.playing)

    def test_server_that_leaves_the_list_while_asked(self):
        front = RestartedFront([stored_session()])
        front.fake.change(front.fake.row("s0", state="off"))
        self.assertFalse(front.front_sessions["tk"].viewing.playing)
        front.answer_list("s0", ("/session/1", EARLIER_LIFE, 1, ""))
        for server in ("s1", "s2", "s3"):
            front.answer_list(server)
        front.later(SECOND)
        self.assertTrue(front.recovery.finished)

    def test_session_of_a_removed_title_is_an_orphan(self):
        front = RestartedFront([stored_session(title="dropped")])
        self.assertEqual(front.forgotten_tokens, ["tk"])
        front.answer_list("s0", ("/session/1", EARLIER_LIFE, 1, ""))
        self.assertEqual(front.fake.torn_down, ["/session/1"])
        with self.assertRaises(UnknownResource):
            front.fake.session_core.handed_over("lesson", "dropped", 2, front.fake.server("s0"), "x", 1)


class PaidSetUpInDoubt(unittest.TestCase):
    """A paid set-up whose answer the front did not get before it was killed."""

    def setUp(self):
        self.front = RestartedFront(doubts=[InterruptedSetup("k", "mark", "s0", "offer")])
        self.fake = self.front.fake

    def ask_again(self, **how):
        return self.fake.ask("paid", "t1", key="k", offer="offer", **how)

    def test_client_waits_until_it_is_known_that_the_session_plays(self):
        request = self.ask_again()
        self.assertEqual((request.answer, self.fake.out), (None, []))
        self.front.answer_list("s0", ("/session/1", EARLIER_LIFE, 1, "mark"))
        self.assertIsNone(request.answer)
        self.front.answer_adoption("s0", "/session/1")
        self.assertEqual(request.answer.kind, AnswerKind.PLAYS)
        self.assertEqual((request.answer.front_session.session, self.fake.out), ("/session/1", []))
        self.assertEqual(self.ask_again().answer.kind, AnswerKind.PLAYS)

    def test_client_waits_until_it_is_known_that_the_set_up_failed(self):
        request = self.ask_again()
        self.front.answer_list("s0")
        self.assertEqual((request.answer.kind, self.fake.out), (AnswerKind.FAILED, []))
        self.assertEqual(self.ask_again().answer.kind, AnswerKind.FAILED)

    def test_answer_given_at_the_end_of_patience_stays_valid(self):
        request = self.ask_again(patience=SECOND)
        self.fake.advance(SECOND)
        self.assertEqual(request.answer.kind, AnswerKind.FAILED)
        self.front.answer_list("s0", ("/session/1", EARLIER_LIFE, 1, "mark"))
        self.front.answer_adoption("s0", "/session/1")
        self.assertEqual(self.fake.torn_down, ["/session/1"])
        self.assertEqual(self.ask_again().answer.kind, AnswerKind.FAILED)

    def test_disconnecting_while_in_doubt_does_not_free_the_key(self):
        self.fake.session_core.hung_up(self.ask_again())
        self.ask_again()
        self.assertEqual(self.fake.out, [])

    def test_set_up_at_a_server_that_never_answers_fails(self):
        request = self.ask_again()
        self.front.later(GIVE_UP_AFTER)
        self.assertEqual((request.answer.kind, self.fake.out, self.fake.violations), (AnswerKind.FAILED, [], []))

    def test_mark_at_another_server_than_that_of_the_intent_is_an_orphan(self):
        self.front.answer_list("s1", ("/session/7", EARLIER_LIFE, 1, "mark"))
        self.assertEqual(self.fake.torn_down, ["/session/7"])


class RegistryLog(unittest.TestCase):
    def test_log_and_snapshot_restore_the_same_registry(self):
        registry = SessionRegistry()
        records = [registry.began(stored_session(token=str(n))) for n in range(9)] + [
            registry.changed("3", "rung", 2),
            registry.changed("4", "etag", '"x"'),
            registry.ended("5"),
            registry.boot("s0", "b1"),
            registry.boot("s0", "b2"),
        ]
        self.assertIsNone(registry.changed("3", "rung", 2), "an unchanged value is not written")
        self.assertIsNone(registry.ended("5"))
        snapshot = registry.snapshot()
        for log in (records, snapshot, [*records, *records[:1], ["novel"], [BEGAN, 1], []]):
            again = SessionRegistry()
            again.restore(log)
            self.assertEqual((again.open, again.boots), (registry.open, registry.boots))
        self.assertEqual(len(snapshot), 9)

    def test_log_with_many_ended_sessions_is_rewritten(self):
        registry = SessionRegistry()
        for number in range(1500):
            registry.began(stored_session(token=str(number)))
            if number >= 100:
                registry.ended(str(number))
        self.assertTrue(registry.stale())
        self.assertEqual((len(registry.snapshot()), registry.stale()), (100, False))


class OnSockets(unittest.TestCase):
    """A front on loopback sockets that is killed and started again on its folder."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.state = Path(folder.name)

    async def again(self, site, state=None):
        """Kills the front without a shutdown, and starts its next life."""
        site.front.tasks.cancel_scope.cancel()
        await anyio.sleep(0.05)
        await until(
            lambda: not any(listener.open for server in site.servers.values() for listener in server.subscribers.values())
        )
        site.front = Front(
            site.site, 0, 2, self.state if state is None else state, structlog.wrap_logger(structlog.ReturnLogger())
        )
        opened = anyio.Event()
        site.tasks.start_soon(site.front.run, opened.set)
        await opened.wait()
        return site.front

    @async_test
    async def test_sessions_continue_at_the_addresses_their_clients_have(self):
        async with SmallSite().up(self.state) as site:
            kept, closed = await site.ask(), await site.ask()
            sessions = {name for server in site.servers.values() for name in server.sessions}
            front = await self.again(site)
            await until(lambda: front.recovery.finished)
            self.assertEqual((front.recovery.kept, front.recovery.orphans), (2, 0))
            self.assertEqual({name for server in site.servers.values() for name in server.sessions}, sessions)
            self.assertEqual(
                {session.front for server in site.servers.values() for session in server.sessions.values()}, {front.name}
            )
            changed = await ask(
                "127.0.0.1",
                site.port,
                "POST",
                kept.headers["location"] + "/layer",
                [("content-type", "application/json")],
                b'{"encodingId":"1"}',
                within=2,
            )
            self.assertEqual(changed.status, 204)
            ended = await ask("127.0.0.1", site.port, "DELETE", closed.headers["location"], within=2)
            self.assertEqual(ended.status, 200)
            await until(lambda: sum(len(server.sessions) for server in site.servers.values()) == 1)

    @async_test
    async def test_front_without_its_folder_ends_unknown_sessions(self):
        async with SmallSite().up(self.state) as site:
            await site.ask()
            (self.state / "empty").mkdir()
            front = await self.again(site, self.state / "empty")
            await until(lambda: front.recovery.finished)
            await until(lambda: not any(server.sessions for server in site.servers.values()))
            self.assertEqual((front.recovery.kept, front.recovery.orphans), (0, 1))

    @async_test
    async def test_paid_set_up_interrupted_before_its_answer_is_resolved(self):
        async with SmallSite(servers=1).up(self.state) as site:
            server = next(iter(site.servers.values()))
            server.setup_work = 0.3
            offer, key = an_offer(), ("idempotency-key", "k")

            async def first():
                try:
                    await site.ask("paid", [key], offer)
                except Exception:
                    # the front is killed during the request
                    pass

            site.tasks.start_soon(first)
            await until(lambda: site.traffic.all("ran"))
            server.ignores_hang_ups = True
            front = await self.again(site)
            answered = await site.ask("paid", [key], offer)
            # depending on whether the set-up was complete, the session plays or the request failed; it never runs twice
            self.assertIn(answered.status, (201, 502))
            await until(lambda: front.recovery.finished)
            self.assertEqual(len(site.traffic.all("setup")), 1)
            if answered.status == 201:
                self.assertEqual(len(server.sessions), 1)

    @async_test
    async def test_full_disk_stops_the_session_writer_and_not_the_front(self):
        async with SmallSite().up(self.state) as site:

            def full(record, flush):
                raise WriteFailed("no space left")

            site.front.session_writer.journal.add = full
            self.assertEqual((await site.ask()).status, 201)
            await until(lambda: site.front.session_writer.stopped)
            self.assertEqual((await site.ask()).status, 201)

    def test_torn_session_log_is_read_up_to_the_tear(self):
        registry, journal = SessionRegistry(), Journal(self.state / "sessions.log")
        for number in range(3):
            journal.add(registry.began(stored_session(token=str(number))), False)
        journal.close()
        path = self.state / "sessions.log"
        raw = path.read_bytes()
        for cut in range(1, len(raw) // 3 - 30, 7):
            path.write_bytes(raw[:-cut])
            again, torn = SessionRegistry(), Journal(path)
            again.restore(torn.records)
            torn.close()
            self.assertEqual((list(again.open), torn.damage), (["0", "1"], ""))


if __name__ == "__main__":
    unittest.main()
