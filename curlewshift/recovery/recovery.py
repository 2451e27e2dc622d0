"""Crash recovery of a front: sessions that its earlier lives left at media servers are resumed or ended. No I/O.

A life is one run of the front's process; a restart is a new life. The front (one process of this program) starts recovery
before its listener opens, with the sessions in its registry. These count at once as handed over in the policy's accounting
of links and seats (concurrency slots of a title): a title without free seats has none before any server has been asked.
Then every server on the current list is asked which sessions it plays for this front:

- stored and listed: adopted, so that the server reports it to this life; its address for the client stays valid;
- stored and not listed: it has ended meanwhile;
- listed, and made by an interrupted paid set-up whose client may retry: found, and the client is answered that it plays;
- listed and unknown: an orphan, set up for a client that never got the answer; it is torn down.

Sessions that this life has set up meanwhile are left alone. A server that does not answer is asked again with growing
pauses; after `GIVE_UP_AFTER` its sessions are given up. A server whose boot (process run) is not the stored one has restarted:
it has none of the sessions, and is cold.
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
from curlewshift.state.intents import RETENTION, Intent
from curlewshift.state.session_registry import SessionRegistry, StoredSession

SECOND = 1_000_000_000
# Servers asked at the same time: clients are served meanwhile, and their set-ups have precedence.
MAX_IN_FLIGHT = 8
# Pause (ns) after a request that was not answered: the first one, doubled up to the maximum.
INITIAL_BACKOFF = SECOND // 4
MAX_BACKOFF = 2 * SECOND
# Sessions at servers that have not answered for so long (ns) are given up; servers also end the sessions of an absent front
# after some time.
GIVE_UP_AFTER = 15 * SECOND


@dataclass(frozen=True, slots=True)
class ListedSession:
    """One session as its server lists it. `life` is the life of this front that set it up; `setup_mark` is the identifier of the
    paid request that it was set up for, empty for others."""

    path: str
    life: str
    rung: int
    setup_mark: str
    etag: str = ""
    answer: str = ""


class Driver(Protocol):
    """What recovery needs of its front. Answers are delivered later, never from within the call."""

    def ask_sessions(self, server: Server) -> None:
        """Asks the server which sessions it plays for this front; the answer goes to `Recovery.listed` or `unanswered`."""

    def adopt(self, server: Server, paths: list[str]) -> None:
        """Asks the server to assign these sessions to this life; the answer, which of them it did, goes to
        `Recovery.adopted` or `unanswered`."""

    def resume(self, remembered: StoredSession, server: Server) -> FrontSession:
        """Hands a stored session over to the session core, and its address to the listener. Raises `InvalidRequest`."""

    def session_of(self, found: ListedSession, doubt: InterruptedSetup) -> object:
        """The driver's session object for a session found at a server."""

    def ended_before_resume(self, remembered: StoredSession) -> None:
        """A stored session has ended before it was resumed."""


@dataclass(frozen=True, slots=True)
class InterruptedSetup:
    """A paid set-up that is in doubt: a crash interrupted it and it may have run. `mark` is its identifier at the server."""

    key: str
    mark: str
    server: str
    offer: object


def recovery_of(
    driver: Driver,
    session_core: SessionCore,
    life: str,
    registry: SessionRegistry,
    intents: list[Intent],
    mark: Callable[[str], str],
) -> Recovery:
    """The recovery of a front that starts, from the sessions and intents on its disk; not begun yet. `mark(key)` is the
    identifier of a paid request at servers. From now on a client that retries one waits until the doubt is resolved."""
    clock = session_core.driver
    doubts = [
        InterruptedSetup(intent.key, mark(intent.key), intent.server, Offer(intent.offer, protocol=intent.protocol))
        for intent in intents
    ]
    recovery = Recovery(driver, session_core, life, list(registry.open.values()), dict(registry.boots), doubts)
    for intent, doubt in zip(intents, doubts):
        session_core.interrupted(
            intent.key,
            doubt.offer,
            intent.package,
            intent.title,
            clock.now() + intent.until + RETENTION - clock.wall(),
            doubt=True,
        )
    return recovery


@dataclass(eq=False, slots=True)
class ServerRecovery:
    """The state of recovery at one server."""

    server: Server
    front_sessions: dict[str, FrontSession] = field(default_factory=dict)
    adopting: dict[str, ListedSession] | None = None
    in_flight: bool = False
    done: bool = False
    tries: int = 0
    retry_at: int = 0


class Recovery:
    """`life` is the present life of this front; `boots` is the last known boot of each server, by name."""

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
        self.started_at = session_core.driver.now()
        self.pending: dict[str, list[StoredSession]] = {}
        for stored in remembered:
            self.pending.setdefault(stored.server, []).append(stored)
        self.doubts = {doubt.mark: doubt for doubt in doubts}
        self.by_server: dict[Server, ServerRecovery] = {}
        self.waiting: deque[ServerRecovery] = deque()
        self.in_flight = 0
        self.finished = False
        # servers that never answered
        self.silent: list[Server] = []
        self.kept = self.ended = self.orphans = self.found = self.given_up = 0

    # ---- events

    def begin(self) -> None:
        """Starts recovery. Call before the listener opens and after the stored server list, if any, has been read."""
        self.list_changed()

    def list_changed(self) -> None:
        """The server list has changed: asks the servers that are new in it, those with stored sessions first."""
        if self.finished:
            return
        listed_servers = self.session_core.server_list.servers
        new_servers = [server for server in listed_servers.values() if server not in self.by_server]
        in_doubt = {doubt.server for doubt in self.doubts.values()}
        new_servers.sort(key=lambda server: (server.name not in self.pending, server.name not in in_doubt))
        for server in new_servers:
            state = self.by_server[server] = ServerRecovery(server)
            for stored in self.pending.pop(server.name, ()):
                self._restore(stored, state)
            self.waiting.append(state)
        self._ask_waiting()

    def listed(self, server: Server, boot: str, rows: list[ListedSession]) -> None:
        """The server's answer: the sessions that it plays for any life of this front."""
        state = self._take_back(server)
        if state is None:
            return
        previous_boot = self.boots.get(server.name, boot)
        if previous_boot != boot:
            # the server has restarted: none of the stored sessions can be there, and it may be cold; sessions that this
            # life has set up there since then do play
            self.session_core.came_back(server)
        earlier_rows = {row.path: row for row in rows if row.life != self.life}
        for path, front_session in list(state.front_sessions.items()):
            if path not in earlier_rows:
                self._session_ended(state, path, front_session)
        adopting = {}
        for path, row in earlier_rows.items():
            if (path in state.front_sessions and state.front_sessions[path].viewing.playing) or (
                row.setup_mark in self.doubts and (self.doubts[row.setup_mark].server == server.name)
            ):
                adopting[path] = row
            elif path not in state.front_sessions:
                self._orphan(server, row)
        if adopting:
            state.adopting = adopting
            self._ask(state)
        else:
            self._finish(state)

    def adopted(self, server: Server, paths: list[str]) -> None:
        """The server's answer: these sessions are assigned to this life; the others that were requested have ended."""
        state = self._take_back(server)
        if state is None or state.adopting is None:
            return
        for path, row in state.adopting.items():
            front_session = state.front_sessions.get(path)
            if path not in paths:
                if front_session is not None:
                    self._session_ended(state, path, front_session)
            elif front_session is not None:
                self.kept += 1
                if front_session.viewing.playing and front_session.viewing.rung != row.rung:
                    # the record of the last rung change may have been lost: the server's report is authoritative
                    self.session_core.rung_found(front_session, row.rung)
            else:
                self._resolve_found(server, row)
        self._finish(state)

    def unanswered(self, server: Server) -> None:
        """The server did not answer, or its answer could not be read."""
        state = self._take_back(server)
        if state is None:
            return
        now = self.session_core.driver.now()
        state.tries += 1
        state.retry_at = now + min(MAX_BACKOFF, INITIAL_BACKOFF << min(state.tries - 1, 10))
        self.waiting.append(state)
        self.time()

    def time(self) -> None:
        """Asks servers whose pause has ended, and gives up after `GIVE_UP_AFTER`. Call repeatedly until `finished`."""
        if self.finished:
            return
        if self.session_core.driver.now() >= self.started_at + GIVE_UP_AFTER:
            self._give_up()
        else:
            self._ask_waiting()

    # ---- internals

    def _restore(self, stored: StoredSession, state: ServerRecovery) -> None:
        try:
            state.front_sessions[stored.path] = self.driver.resume(stored, state.server)
        except InvalidRequest:
            # its title or package is no longer in the settings, or its seat is taken: it is torn down as an orphan
            self.driver.ended_before_resume(stored)

    def _ask_waiting(self) -> None:
        now = self.session_core.driver.now()
        for _ in range(len(self.waiting)):
            state = self.waiting.popleft()
            if state.done:
                continue
            if state.server not in self.session_core.server_list.shelf_of:
                # the server has left the list meanwhile, and the session core has ended what played there
                self._finish(state, ask_waiting=False)
            elif self.in_flight < MAX_IN_FLIGHT and now >= state.retry_at:
                self._ask(state)
            else:
                self.waiting.append(state)
        self._check_finished()

    def _ask(self, state: ServerRecovery) -> None:
        state.in_flight = True
        self.in_flight += 1
        if state.adopting is None:
            self.driver.ask_sessions(state.server)
        else:
            self.driver.adopt(state.server, list(state.adopting))

    def _take_back(self, server: Server) -> ServerRecovery | None:
        state = self.by_server.get(server)
        if state is None or not state.in_flight:
            return None
        state.in_flight = False
        self.in_flight -= 1
        return None if state.done else state

    def _session_ended(self, state: ServerRecovery, path: str, front_session: FrontSession) -> None:
        del state.front_sessions[path]
        self.ended += 1
        self.session_core.lost(front_session, Outcome.PLAYED)

    def _orphan(self, server: Server, row: ListedSession) -> None:
        self.orphans += 1
        self.session_core.orphaned(server, self.driver.session_of(row, None))

    def _resolve_found(self, server: Server, row: ListedSession) -> None:
        doubt = self.doubts.pop(row.setup_mark, None)
        session = self.driver.session_of(row, doubt)
        if doubt is not None and self.session_core.found(doubt.key, server, session, row.rung) is not None:
            self.found += 1
        else:
            # its client has been answered that it failed, and that must stay true
            self.orphans += 1
            self.session_core.orphaned(server, session)

    def _finish(self, state: ServerRecovery, ask_waiting: bool = True) -> None:
        """This server need not be asked any more: paid set-ups in doubt that were not found there never ran, or have ended."""
        state.done = True
        for mark, doubt in list(self.doubts.items()):
            if doubt.server == state.server.name:
                del self.doubts[mark]
                self.session_core.not_found(doubt.key)
        if ask_waiting:
            self._ask_waiting()

    def _give_up(self) -> None:
        for state in self.by_server.values():
            if not state.done:
                state.done = True
                self.silent.append(state.server)
                for front_session in state.front_sessions.values():
                    if front_session.viewing.playing:
                        self.given_up += 1
                        session = front_session.session
                        self.session_core.lost(front_session, Outcome.BROKEN)
                        self.session_core.orphaned(state.server, session)
        for waiting in self.pending.values():
            for stored in waiting:
                self.given_up += 1
                self.driver.ended_before_resume(stored)
        self.pending.clear()
        for doubt in self.doubts.values():
            self.session_core.not_found(doubt.key)
        self.doubts.clear()
        self.finished = True

    def _check_finished(self) -> None:
        # not finished before any server is known: a front with an empty folder may have left sessions all the same
        self.finished = (
            bool(self.by_server) and not self.pending and not self.doubts and all(state.done for state in self.by_server.values())
        )
