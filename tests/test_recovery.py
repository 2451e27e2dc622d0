"""A front that starts again: what its earlier lives left at servers is taken up, or ended."""

import tempfile
import unittest
from pathlib import Path

import anyio
import structlog

from curlewshift.exchange.client import ask
from curlewshift.front.front import Front
from curlewshift.recovery.recovery import TRIED_FOR, InterruptedSetup, ListedSession, Recovery
from curlewshift.session_core.front_session import Kind
from curlewshift.session_core.session_core import UnknownResource
from curlewshift.state.journal import Journal, WriteFailed
from curlewshift.state.session_registry import BEGAN, SessionRegistry, StoredSession
from tests.fake import SECOND
from tests.fake_driver import FakeDriver
from tests.sockets import SmallSite, an_offer, story, until

OWN, BEFORE = "f.2", "f.1"


def remembered(token="tk", server="s0", path="/session/1", pack="lesson", title="t1", rung=1, key="k", **more):
    return StoredSession(
        **{
            **dict(
                token=token,
                holder=None,
                key=key,
                offer="offer",
                way="whep",
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


class Restart:
    """A recovery over a fake desk: `asked` and `adopting` are the questions nobody has answered yet."""

    def __init__(self, sessions=(), boots=None, doubts=(), **how):
        self.fake = FakeDriver(**how)
        self.asked, self.adopting, self.front_sessions, self.forgot = [], [], {}, []
        for doubt in doubts:
            self.fake.session_core.interrupted(doubt.key, doubt.offer, "paid", "t1", self.fake.clock + 60 * SECOND, doubt=True)
        self.recovery = Recovery(self, self.fake.session_core, OWN, list(sessions), boots or {}, list(doubts))
        self.recovery.begin()

    def ask_sessions(self, server):
        self.asked.append(server.name)

    def adopt(self, server, paths):
        self.adopting.append((server.name, paths))

    def taken_up(self, one, server):
        front_session = self.front_sessions[one.token] = self.fake.session_core.handed_over(
            one.package, one.title, one.ceiling, server, one.path, one.rung, one.key, one.offer
        )
        return front_session

    def session_of(self, found, doubt):
        return found.path

    def forgotten(self, one):
        self.forgot.append(one.token)

    def tells(self, server, *rows, boot="b"):
        self.asked.remove(server)
        self.recovery.listed(
            self.fake.server(server), boot, [ListedSession(path, life, rung, doubt) for path, life, rung, doubt in rows]
        )

    def takes(self, server, *paths):
        self.adopting = [one for one in self.adopting if one[0] != server]
        self.recovery.adopted(self.fake.server(server), list(paths))

    def silent(self, server):
        self.asked.remove(server)
        self.recovery.unanswered(self.fake.server(server))

    def later(self, span):
        for _ in range(int(span // (SECOND // 10))):
            self.fake.advance(SECOND // 10)
            self.recovery.time()


class Deciding(unittest.TestCase):
    def test_what_is_remembered_counts_before_anyone_was_asked(self):
        day = Restart([remembered(token=f"t{n}", path=f"/session/{n}", pack="clip", key=f"k{n}") for n in range(2)])
        rules = day.fake.session_core.rules
        front_session = day.front_sessions["t0"]
        self.assertEqual(rules.seats["t1", front_session.viewing.package], 2)
        self.assertGreater(day.fake.server("s0").link.own, 0)
        # both seats of the title are taken: a third viewing is refused, on whichever server
        third = day.fake.ask("clip", "t1", key="new")
        self.assertEqual((third.answer.kind, day.fake.out), (Kind.REFUSED, []))

    def test_kept_ended_and_orphaned_sessions_are_told_apart(self):
        day = Restart([remembered("kept", path="/session/1"), remembered("gone", path="/session/2", key="k2")])
        day.tells("s0", ("/session/1", BEFORE, 1, ""), ("/session/3", BEFORE, 0, ""), ("/session/4", OWN, 0, ""))
        self.assertEqual(day.adopting, [("s0", ["/session/1"])])
        self.assertEqual(day.fake.torn_down, ["/session/3"], "only what nobody knows is torn down, and nothing of this life")
        self.assertFalse(day.front_sessions["gone"].viewing.playing)
        day.takes("s0", "/session/1")
        self.assertTrue(day.front_sessions["kept"].viewing.playing)
        for server in ("s1", "s2", "s3"):
            day.tells(server)
        recovery = day.recovery
        self.assertEqual((recovery.over, recovery.kept, recovery.ended, recovery.orphans), (True, 1, 1, 1))

    def test_its_client_comes_again_for_an_answer_and_gets_it(self):
        day = Restart([remembered(key="k")])
        request = day.fake.ask("lesson", "t1", key="k", offer="offer")
        self.assertEqual((request.answer.kind, request.answer.front_session), (Kind.PLAYS, day.front_sessions["tk"]))
        self.assertEqual(day.fake.out, [])

    def test_a_session_that_ends_during_adoption(self):
        day = Restart([remembered()])
        day.tells("s0", ("/session/1", BEFORE, 1, ""))
        day.takes("s0")
        self.assertFalse(day.front_sessions["tk"].viewing.playing)
        self.assertEqual((day.recovery.kept, day.recovery.ended), (0, 1))

    def test_a_viewer_leaves_while_its_session_is_being_adopted(self):
        day = Restart([remembered()])
        day.fake.session_core.closed(day.front_sessions["tk"])
        self.assertEqual(day.fake.torn_down, ["/session/1"])
        day.tells("s0", ("/session/1", BEFORE, 1, ""))
        self.assertEqual((day.adopting, day.fake.torn_down), ([], ["/session/1"]))

    def test_a_server_that_is_another_life_has_nothing_and_is_cold(self):
        day = Restart([remembered()], boots={"s0": "before"})
        server = day.fake.server("s0")
        new = day.fake.session_core.handed_over("lesson", "t1", 2, server, "/session/9", 0)
        day.tells("s0", ("/session/9", OWN, 0, ""), boot="after")
        self.assertFalse(day.front_sessions["tk"].viewing.playing)
        self.assertTrue(new.viewing.playing, "what this life has set up there plays")
        self.assertGreater(server.cold_until, day.fake.clock)

    def test_the_servers_word_on_a_rung_stands(self):
        day = Restart([remembered(rung=2)])
        day.tells("s0", ("/session/1", BEFORE, 0, ""))
        day.takes("s0", "/session/1")
        self.assertEqual(day.front_sessions["tk"].viewing.rung, 0)

    def test_a_silent_server_is_asked_again_and_given_up_in_the_end(self):
        day = Restart([remembered()])
        for server in ("s1", "s2", "s3"):
            day.tells(server)
        tries = 0
        while not day.recovery.over:
            if day.asked:
                day.silent("s0")
                tries += 1
            self.assertTrue(day.front_sessions["tk"].viewing.playing)
            day.later(SECOND // 10)
        self.assertEqual(day.fake.clock - day.recovery.began, TRIED_FOR)
        self.assertLess(tries, 20)
        self.assertFalse(day.front_sessions["tk"].viewing.playing)
        self.assertEqual(day.fake.torn_down, ["/session/1"], "it may come back, and would send to nobody")

    def test_a_server_that_the_kept_list_lacks_is_asked_once_the_list_tells_of_it(self):
        day = Restart([remembered(server="late")])
        self.assertEqual(day.front_sessions, {})
        day.fake.change(day.fake.row("late"))
        day.recovery.list_told()
        self.assertIn("late", day.asked)
        day.tells("late", ("/session/1", BEFORE, 1, ""))
        day.takes("late", "/session/1")
        self.assertTrue(day.front_sessions["tk"].viewing.playing)

    def test_a_server_gone_while_asked(self):
        day = Restart([remembered()])
        day.fake.change(day.fake.row("s0", state="off"))
        self.assertFalse(day.front_sessions["tk"].viewing.playing)
        day.tells("s0", ("/session/1", BEFORE, 1, ""))
        for server in ("s1", "s2", "s3"):
            day.tells(server)
        day.later(SECOND)
        self.assertTrue(day.recovery.over)

    def test_settings_that_have_its_title_no_more_make_it_an_orphan(self):
        day = Restart([remembered(title="dropped")])
        self.assertEqual(day.forgot, ["tk"])
        day.tells("s0", ("/session/1", BEFORE, 1, ""))
        self.assertEqual(day.fake.torn_down, ["/session/1"])
        with self.assertRaises(UnknownResource):
            day.fake.session_core.handed_over("lesson", "dropped", 2, day.fake.server("s0"), "x", 1)


class InDoubt(unittest.TestCase):
    """A paid set-up whose answer its front never got."""

    def setUp(self):
        self.day = Restart(doubts=[InterruptedSetup("k", "mark", "s0", "offer")])
        self.fake = self.day.fake

    def ask_again(self, **how):
        return self.fake.ask("paid", "t1", key="k", offer="offer", **how)

    def test_its_client_waits_for_the_truth_and_hears_that_it_plays(self):
        request = self.ask_again()
        self.assertEqual((request.answer, self.fake.out), (None, []))
        self.day.tells("s0", ("/session/1", BEFORE, 1, "mark"))
        self.assertIsNone(request.answer)
        self.day.takes("s0", "/session/1")
        self.assertEqual(request.answer.kind, Kind.PLAYS)
        self.assertEqual((request.answer.front_session.session, self.fake.out), ("/session/1", []))
        self.assertEqual(self.ask_again().answer.kind, Kind.PLAYS)

    def test_or_that_it_failed(self):
        request = self.ask_again()
        self.day.tells("s0")
        self.assertEqual((request.answer.kind, self.fake.out), (Kind.FAILED, []))
        self.assertEqual(self.ask_again().answer.kind, Kind.FAILED)

    def test_what_it_was_told_when_it_could_wait_no_longer_stays_true(self):
        request = self.ask_again(patience=SECOND)
        self.fake.advance(SECOND)
        self.assertEqual(request.answer.kind, Kind.FAILED)
        self.day.tells("s0", ("/session/1", BEFORE, 1, "mark"))
        self.day.takes("s0", "/session/1")
        self.assertEqual(self.fake.torn_down, ["/session/1"])
        self.assertEqual(self.ask_again().answer.kind, Kind.FAILED)

    def test_hanging_up_in_doubt_does_not_free_the_key(self):
        self.fake.session_core.hung_up(self.ask_again())
        self.ask_again()
        self.assertEqual(self.fake.out, [])

    def test_a_server_that_never_answers_leaves_it_failed(self):
        request = self.ask_again()
        self.day.later(TRIED_FOR)
        self.assertEqual((request.answer.kind, self.fake.out, self.fake.violations), (Kind.FAILED, [], []))

    def test_a_mark_at_another_server_than_its_intent_names_is_an_orphan(self):
        self.day.tells("s1", ("/session/7", BEFORE, 1, "mark"))
        self.assertEqual(self.fake.torn_down, ["/session/7"])


class Remembering(unittest.TestCase):
    def test_the_log_and_its_snapshot_remember_the_same(self):
        book = SessionRegistry()
        records = [book.began(remembered(token=str(n))) for n in range(9)] + [
            book.changed("3", "rung", 2),
            book.changed("4", "etag", '"x"'),
            book.ended("5"),
            book.boot("s0", "b1"),
            book.boot("s0", "b2"),
        ]
        self.assertIsNone(book.changed("3", "rung", 2), "what has not changed is not written")
        self.assertIsNone(book.ended("5"))
        whole = book.snapshot()
        for log in (records, whole, [*records, *records[:1], ["novel"], [BEGAN, 1], []]):
            again = SessionRegistry()
            again.restore(log)
            self.assertEqual((again.open, again.boots), (book.open, book.boots))
        self.assertEqual(len(whole), 9)

    def test_a_log_grown_with_what_is_over_begins_anew(self):
        book = SessionRegistry()
        for number in range(1500):
            book.began(remembered(token=str(number)))
            if number >= 100:
                book.ended(str(number))
        self.assertTrue(book.stale())
        self.assertEqual((len(book.snapshot()), book.stale()), (100, False))


class OnSockets(unittest.TestCase):
    """A front on loopback that is cut off in the middle and started again on its folder."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.state = Path(folder.name)

    async def again(self, site, state=None):
        """The front dies without a word, and its next life begins."""
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

    @story
    async def test_what_plays_goes_on_at_the_address_that_its_client_has(self):
        async with SmallSite().up(self.state) as site:
            kept, closed = await site.ask(), await site.ask()
            sessions = {name for server in site.servers.values() for name in server.sessions}
            front = await self.again(site)
            await until(lambda: front.recovery.over)
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

    @story
    async def test_without_its_folder_it_ends_what_it_does_not_know(self):
        async with SmallSite().up(self.state) as site:
            await site.ask()
            (self.state / "empty").mkdir()
            front = await self.again(site, self.state / "empty")
            await until(lambda: front.recovery.over)
            await until(lambda: not any(server.sessions for server in site.servers.values()))
            self.assertEqual((front.recovery.kept, front.recovery.orphans), (0, 1))

    @story
    async def test_a_paid_set_up_cut_off_before_its_answer_is_found_and_told(self):
        async with SmallSite(servers=1).up(self.state) as site:
            server = next(iter(site.servers.values()))
            server.setup_work = 0.3
            offer, key = an_offer(), ("idempotency-key", "k")

            async def first():
                try:
                    await site.ask("paid", [key], offer)
                except Exception:
                    # its front dies under it
                    pass

            site.tasks.start_soon(first)
            await until(lambda: site.traffic.all("ran"))
            server.ignores_hang_ups = True
            front = await self.again(site)
            answered = await site.ask("paid", [key], offer)
            # the set-up had ended by then or not: it plays, or it is told as failed, and never comes about twice
            self.assertIn(answered.status, (201, 502))
            await until(lambda: front.recovery.over)
            self.assertEqual(len(site.traffic.all("setup")), 1)
            if answered.status == 201:
                self.assertEqual(len(server.sessions), 1)

    @story
    async def test_a_disk_that_takes_no_more_ends_the_book_and_not_the_front(self):
        async with SmallSite().up(self.state) as site:

            def full(record, flush):
                raise WriteFailed("no space left")

            site.front.keeper.journal.add = full
            self.assertEqual((await site.ask()).status, 201)
            await until(lambda: site.front.keeper.over)
            self.assertEqual((await site.ask()).status, 201)

    def test_a_torn_log_of_sessions_is_read_up_to_there(self):
        book, journal = SessionRegistry(), Journal(self.state / "sessions.log")
        for number in range(3):
            journal.add(book.began(remembered(token=str(number))), False)
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
