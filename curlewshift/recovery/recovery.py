"""A front that starts again: what its earlier lives left at servers is taken up, or ended. No I/O.

Made by the front before its door opens, with what the book remembers. What is remembered counts from the first moment
as handed over, in the rules' account of links and seats: a title whose seats are taken stays so while nobody has been
asked yet. Then every server on the list held is asked what it plays for this front:

- remembered and there: adopted, so that its server tells this life of it; its client's address goes on as it was;
- remembered and not there: it has ended meanwhile;
- there and of an interrupted paid set-up whose client may come again: found, and that client is told that it plays;
- there and known to nobody: an orphan, set up for a client that never heard of it, and torn down.

What this life itself set up meanwhile is none of these and is left alone. A server that does not answer is asked again,
with pauses that grow; in the end its sessions are given up. A server that is another life than the one remembered has
nothing, and is cold.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from curlewshift.model import Outcome, Server
from curlewshift.session_core.front_session import FrontSession
from curlewshift.session_core.offer import Offer
from curlewshift.session_core.session_core import InvalidRequest, SessionCore
from curlewshift.state.intents import KEPT_ON, Intent
from curlewshift.state.session_registry import SessionRegistry, StoredSession

SECOND = 1_000_000_000
# Servers asked at once: the door is open meanwhile, and joins come first.
MOST_OUT = 8
# Pauses after a question that nobody answered: the first, doubled up to the longest.
FIRST_PAUSE = SECOND // 4
LONGEST_PAUSE = 2 * SECOND
# After so long what has not been heard of is given up; servers give up a front that is away sooner or later too.
TRIED_FOR = 15 * SECOND


@dataclass(frozen=True, slots=True)
class ListedSession:
    """One session as its server lists it. `life` is which life of this front set it up, `doubt` the mark of the paid
    request that it was set up for, empty for others."""

    path: str
    life: str
    rung: int
    doubt: str
    etag: str = ""
    answer: str = ""


class Driver(Protocol):
    """What recovery asks of its front; answers come back later, never from within the call."""

    def ask_sessions(self, server: Server) -> None:
        """What do you play for me? `Recovery.listed` hears, or `Recovery.unanswered`."""

    def adopt(self, server: Server, paths: list[str]) -> None:
        """These are this life's from now on. `Recovery.adopted` hears which of them are, or `Recovery.unanswered`."""

    def taken_up(self, remembered: StoredSession, server: Server) -> FrontSession:
        """Hands a remembered session over to the desk, and its address to the door. Raises `InvalidRequest`."""

    def session_of(self, found: ListedSession, doubt: InterruptedSetup) -> object:
        """The outside's session for one that was found at a server."""

    def forgotten(self, remembered: StoredSession) -> None:
        """It has ended before it was taken up."""


@dataclass(frozen=True, slots=True)
class InterruptedSetup:
    """An interrupted paid set-up: its key, and the mark under which its server knows it."""

    key: str
    mark: str
    server: str
    offer: object


def recovery_of(
    driver: Driver, session_core: SessionCore, life: str, book: SessionRegistry, intents: list[Intent], mark: Callable[[str], str]
) -> Recovery:
    """What a front that starts makes of what its disk has, not begun yet. `mark(key)` is how servers know a paid
    request; its client waits from now on for what becomes of the doubt."""
    clocks = session_core.driver
    doubts = [
        InterruptedSetup(intent.key, mark(intent.key), intent.server, Offer(intent.offer, way=intent.way)) for intent in intents
    ]
    recovery = Recovery(driver, session_core, life, list(book.open.values()), dict(book.boots), doubts)
    for intent, doubt in zip(intents, doubts):
        session_core.interrupted(
            intent.key,
            doubt.offer,
            intent.package,
            intent.title,
            clocks.now() + intent.until + KEPT_ON - clocks.wall(),
            doubt=True,
        )
    return recovery


@dataclass(eq=False, slots=True)
class AtServer:
    """What is to be found out at one server."""

    server: Server
    front_sessions: dict[str, FrontSession] = field(default_factory=dict)
    adopting: dict[str, ListedSession] | None = None
    out: bool = False
    done: bool = False
    tries: int = 0
    not_before: int = 0


class Recovery:
    """`life` is this front's own; `boots` which life of each server was spoken to last."""

    def __init__(
        self,
        driver: Driver,
        session_core: SessionCore,
        life: str,
        remembered: list[StoredSession],
        boots: dict[str, str],
        doubts: list[InterruptedSetup],
    ):
        self.driver, self.session_core, self.life, self.boots = driver, session_core, life, boots
        self.began = session_core.driver.now()
        self.pending: dict[str, list[StoredSession]] = {}
        for one in remembered:
            self.pending.setdefault(one.server, []).append(one)
        self.doubts = {doubt.mark: doubt for doubt in doubts}
        self.at: dict[Server, AtServer] = {}
        self.waiting: deque[AtServer] = deque()
        self.out = 0
        self.over = False
        # servers that never answered
        self.silent: list[Server] = []
        self.kept = self.ended = self.orphans = self.found = self.given_up = 0

    # ---- what happens

    def begin(self) -> None:
        """The list held from before has been read, if there is one. Call before the door opens."""
        self.list_told()

    def list_told(self) -> None:
        """There may be servers now that were not known before. Those that play something come first."""
        if self.over:
            return
        known = self.session_core.server_list.servers
        fresh = [server for server in known.values() if server not in self.at]
        doubtful = {doubt.server for doubt in self.doubts.values()}
        fresh.sort(key=lambda server: (server.name not in self.pending, server.name not in doubtful))
        for server in fresh:
            at = self.at[server] = AtServer(server)
            for one in self.pending.pop(server.name, ()):
                self._take_up(one, at)
            self.waiting.append(at)
        self._go_on()

    def listed(self, server: Server, boot: str, rows: list[ListedSession]) -> None:
        """What the server plays for this front, of whichever life."""
        at = self._back(server)
        if at is None:
            return
        before = self.boots.get(server.name, boot)
        if before != boot:
            # nothing that was remembered can be there, and the machine may be cold; what this life has set up there
            # since plays all the same
            self.session_core.came_back(server)
        there = {row.path: row for row in rows if row.life != self.life}
        for path, front_session in list(at.front_sessions.items()):
            if path not in there:
                self._gone(at, path, front_session)
        adopting = {}
        for path, row in there.items():
            if (path in at.front_sessions and at.front_sessions[path].viewing.playing) or (
                row.doubt in self.doubts and (self.doubts[row.doubt].server == server.name)
            ):
                adopting[path] = row
            elif path not in at.front_sessions:
                self._orphan(server, row)
        if adopting:
            at.adopting = adopting
            self._ask(at)
        else:
            self._settled(at)

    def adopted(self, server: Server, paths: list[str]) -> None:
        """These are this life's now; what was asked for and is not among them has ended."""
        at = self._back(server)
        if at is None or at.adopting is None:
            return
        for path, row in at.adopting.items():
            front_session = at.front_sessions.get(path)
            if path not in paths:
                if front_session is not None:
                    self._gone(at, path, front_session)
            elif front_session is not None:
                self.kept += 1
                if front_session.viewing.playing and front_session.viewing.rung != row.rung:
                    # the last rung told may not have been kept: the server's word stands
                    self.session_core.rung_found(front_session, row.rung)
            else:
                self._find(server, row)
        self._settled(at)

    def unanswered(self, server: Server) -> None:
        """Nobody answered, or not with anything that can be read."""
        at = self._back(server)
        if at is None:
            return
        now = self.session_core.driver.now()
        at.tries += 1
        at.not_before = now + min(LONGEST_PAUSE, FIRST_PAUSE << min(at.tries - 1, 10))
        self.waiting.append(at)
        self.time()

    def time(self) -> None:
        """Call now and then until `over`."""
        if self.over:
            return
        if self.session_core.driver.now() >= self.began + TRIED_FOR:
            self._give_up()
        else:
            self._go_on()

    # ---- inside

    def _take_up(self, one: StoredSession, at: AtServer) -> None:
        try:
            at.front_sessions[one.path] = self.driver.taken_up(one, at.server)
        except InvalidRequest:
            # the settings have its title or package no more, or its seat is taken: its server is asked to end it, as an
            # orphan
            self.driver.forgotten(one)

    def _go_on(self) -> None:
        now = self.session_core.driver.now()
        for _ in range(len(self.waiting)):
            at = self.waiting.popleft()
            if at.done:
                continue
            if at.server not in self.session_core.server_list.shelf_of:
                # the list has dropped it meanwhile, and the desk has ended what played there
                self._settled(at, go_on=False)
            elif self.out < MOST_OUT and now >= at.not_before:
                self._ask(at)
            else:
                self.waiting.append(at)
        self._look_whether_over()

    def _ask(self, at: AtServer) -> None:
        at.out = True
        self.out += 1
        if at.adopting is None:
            self.driver.ask_sessions(at.server)
        else:
            self.driver.adopt(at.server, list(at.adopting))

    def _back(self, server: Server) -> AtServer | None:
        at = self.at.get(server)
        if at is None or not at.out:
            return None
        at.out = False
        self.out -= 1
        return None if at.done else at

    def _gone(self, at: AtServer, path: str, front_session: FrontSession) -> None:
        del at.front_sessions[path]
        self.ended += 1
        self.session_core.lost(front_session, Outcome.PLAYED)

    def _orphan(self, server: Server, row: ListedSession) -> None:
        self.orphans += 1
        self.session_core.orphaned(server, self.driver.session_of(row, None))

    def _find(self, server: Server, row: ListedSession) -> None:
        doubt = self.doubts.pop(row.doubt, None)
        session = self.driver.session_of(row, doubt)
        if doubt is not None and self.session_core.found(doubt.key, server, session, row.rung) is not None:
            self.found += 1
        else:
            # its client has been told that it failed: that must stay true
            self.orphans += 1
            self.session_core.orphaned(server, session)

    def _settled(self, at: AtServer, go_on: bool = True) -> None:
        """Nothing more is to be asked here: paid set-ups in doubt that were not found here did not come about, or have
        ended."""
        at.done = True
        for mark, doubt in list(self.doubts.items()):
            if doubt.server == at.server.name:
                del self.doubts[mark]
                self.session_core.not_found(doubt.key)
        if go_on:
            self._go_on()

    def _give_up(self) -> None:
        for at in self.at.values():
            if not at.done:
                at.done = True
                self.silent.append(at.server)
                for front_session in at.front_sessions.values():
                    if front_session.viewing.playing:
                        self.given_up += 1
                        session = front_session.session
                        self.session_core.lost(front_session, Outcome.BROKEN)
                        self.session_core.orphaned(at.server, session)
        for waiting in self.pending.values():
            for one in waiting:
                self.given_up += 1
                self.driver.forgotten(one)
        self.pending.clear()
        for doubt in self.doubts.values():
            self.session_core.not_found(doubt.key)
        self.doubts.clear()
        self.over = True

    def _look_whether_over(self) -> None:
        # before any server is known nothing is: a front on an empty folder may have left sessions all the same
        self.over = bool(self.at) and not self.pending and not self.doubts and all(at.done for at in self.at.values())
