"""The front node: the desk's outside towards viewers, media servers and the bulletin, and the life of the process.

Started by `python -m curlewshift.node` with NODE_CONFIG in its environment. It decides nothing about requests.
"""

from __future__ import annotations

import gc
import signal
import time
from collections import Counter
from dataclasses import dataclass

import anyio

from curlewshift.deployment import Fleet, terms_of
from curlewshift.limits.descriptors import DescriptorGate
from curlewshift.model import Listed, Outcome, Server
from curlewshift.node import configuration, discovery, isup
from curlewshift.node.buffered_connection import Listener
from curlewshift.node.client_listener import SWEEP, ClientListener
from curlewshift.node.connections import Session
from curlewshift.node.follower import Follower
from curlewshift.node.server_pool import ServerPool
from curlewshift.retries.session_ends import SessionEnd
from curlewshift.schedule.clock import Clock
from curlewshift.schedule.waking import WakeupTimer
from curlewshift.session_core.front_session import Answer, FrontSession, Kind, Request, TuneIn
from curlewshift.session_core.server_commands import Result, ServerCommand
from curlewshift.session_core.session_core import SessionCore

MS = 1_000_000
NS = 1_000_000_000
# Counts are logged this often, where there are any (ns).
COUNTS_EVERY = 10 * NS
# Of all descriptors, this part is for media servers; a few more are for files, the bulletin and the loop itself.
SERVERS_PART, OTHERS = 0.4, 16
# Where connections from viewers are many, those that rest so long (s) go, so many at once: hundreds come in a second.
IDLE_FOR, AT_ONCE = 0.25, 64
# After a SIGTERM new connections go on coming for 0.4 s, and requests on open ones until the process is killed (s).
STILL_COME = 1.0
# SIGKILL follows no sooner than this after the longest deadline, which counts as this at the most (s).
KILLED_AFTER, LONGEST_COUNTED = 0.7, 3.0
# The process is over so long before that, and what is open then is closed in so long (s).
ENDS_BEFORE, CLOSING_TAKES, ANSWERING_TAKES = 0.1, 0.25, 0.1
# Servers that confirm nothing are waited for so long after that (s).
TELLING_TAKES = 0.05
# At its end, with nobody left to answer, it has so long to see out what is queued (s).
FINISH_WITHIN = 1.5


@dataclass(frozen=True, slots=True)
class Offered:
    """What a viewer's set-up carries on to the media server."""

    name: str
    description: bytes


class Node:
    def __init__(self, posting: configuration.Posting, path: str, log):
        self.posting, self.path, self.log = posting, path, log
        self.clock = Clock()
        settings = posting.settings
        self.zones, self.kinds = settings.get("areas") or [], settings.get("flavors") or []
        self.fleet = Fleet(settings)
        self.ready = self.draining = False
        # what has happened since it was logged last
        self.counts: Counter[str] = Counter()
        self.waking = WakeupTimer(self.clock, self._time)
        self.session_core = SessionCore(self, terms_of(settings, self.clock.now(), posting.seed), self.fleet)
        extra = settings.get("extra") or {}
        for_servers = int(posting.descriptors * SERVERS_PART)
        gate = DescriptorGate(
            posting.descriptors, lambda: self.now() / NS, for_servers + OTHERS, IDLE_FOR, AT_ONCE, lambda line: line.spared
        )
        self.listener = ClientListener(self, gate, log, len(self.fleet.cells), len(extra.get("rung_kb") or [0]) - 1)
        self.for_servers = for_servers

    async def run(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP, signal.SIGINT) as signals:
            async with anyio.create_task_group() as self.tasks:
                bounds, extra = self.posting.settings.get("bounds") or {}, self.posting.settings.get("extra") or {}

                def ns(owner, name, default):
                    return round((owner.get(name) or default) * MS)

                self.server_pool = ServerPool(
                    self.session_core,
                    self.clock.now,
                    self.tasks,
                    self.log,
                    self.counts,
                    self.ended,
                    self.read_first,
                    self.for_servers,
                    bounds.get("streams_per_conn") or 1,
                    ns(bounds, "connect_timeout_ms", 250),
                    ns(extra, "told_every_ms", 0),
                    ns(bounds, "idle_close_ms", 30_000),
                )
                for number, (version, full, rows) in enumerate(configuration.events(self.posting)):
                    self._listed(rows, full, version, stale=not number)
                self.follower = Follower(self.posting.bulletin, self.posting.last, self._news, self.log, self.tasks)
                listener = Listener(self.posting.listen)
                self.tasks.start_soon(self._signals, signals)
                self.tasks.start_soon(self.waking.run)
                self.tasks.start_soon(self._sweep)
                self.tasks.start_soon(self.follower.run)
                self.tasks.start_soon(self.listener.serve, listener, self.tasks)
                # what is there now stays: collections need not look at it again
                gc.collect()
                gc.freeze()
                self.ready = True
                self.log.info("open", front=self.posting.name, servers=len(self.fleet.servers))

    # ---- the life of the process

    async def _signals(self, signals) -> None:
        async for which in signals:
            if which == signal.SIGHUP:
                try:
                    self._posted_anew()
                except Exception as fault:
                    self.log.error("fault", what="a new configuration", cause=repr(fault), exc_info=fault)
            elif not self.draining:
                self.tasks.start_soon(self._end)

    def _posted_anew(self) -> None:
        """The bulletin's address may have changed; what this node is, and what plays here, has not."""
        try:
            posting = configuration.read(self.path)
        except configuration.Unreadable as wrong:
            self.log.error("configuration", cause=f"the old one stays in force, as the new one {wrong}")
            return
        self.log.info("configuration", bulletin=":".join(map(str, posting.bulletin)))
        for number, full, rows in configuration.events(posting):
            if number > self.follower.last:
                self._listed(rows, full, number)
                self.follower.last = number
        self.follower.move(posting.bulletin)

    async def _end(self) -> None:
        """New requests are refused, those taken are answered, and what plays is looked after while there is time."""
        self.draining, self.ready = True, False
        self.log.info(
            "drain", list=self.follower.last, waiting=self.session_core.waiting, playing=len(self.session_core.front_sessions)
        )
        self.session_core.drain()
        closed_by = anyio.current_time() + self._longest_deadline() + KILLED_AFTER - ENDS_BEFORE
        answered_by = closed_by - CLOSING_TAKES
        with anyio.move_on_at(answered_by - ANSWERING_TAKES):
            await anyio.sleep(STILL_COME)
            while self.session_core.front_sessions or self.session_core.waiting or self.listener.pending_releases:
                await anyio.sleep(0.05)
        left = anyio.current_time() + FINISH_WITHIN
        await self.listener.finish(min(answered_by, left), min(closed_by, left + CLOSING_TAKES))
        await self.server_pool.finish(min(closed_by + TELLING_TAKES, anyio.current_time() + FINISH_WITHIN))
        self._tell_counts()
        self.log.info("ended", playing=len(self.session_core.front_sessions))
        self.tasks.cancel_scope.cancel()

    def _longest_deadline(self) -> float:
        deadlines = [package.patience for package in self.session_core.packages.values()]
        return min(LONGEST_COUNTED, max(deadlines) / NS) if all(deadlines) else LONGEST_COUNTED

    def end_waiting(self) -> None:
        self.session_core.end_waiting()

    def _tell_counts(self) -> None:
        """What has happened since this was told last, by kind and cause."""
        if self.counts:
            self.log.info("counts", **{name.replace("-", "_"): count for name, count in sorted(self.counts.items())})
            self.counts.clear()

    async def _sweep(self) -> None:
        told_at = self.now()
        while True:
            await anyio.sleep(SWEEP)
            if self.now() - told_at > COUNTS_EVERY:
                told_at = self.now()
                self._tell_counts()
            for what, sweep in (("door", self.listener.sweep), ("reach", self.server_pool.sweep)):
                try:
                    sweep()
                except Exception as fault:
                    self.log.error("fault", what=what, cause=repr(fault), exc_info=fault)

    def _time(self) -> None:
        try:
            self.session_core.time()
        except Exception as fault:
            # it costs the viewing whose time it was, and no other
            self.log.error("fault", what="something due", cause=repr(fault), exc_info=fault)

    # ---- the list

    def _news(self, whole: bool, payload: bytes) -> None:
        self._listed(lambda told: discovery.each_record(payload, told), whole, self.follower.last)

    def _listed(self, rows, full: bool, version: int, stale: bool = False) -> None:
        lines, named = [], set()

        def told(name, address, state, zone, kind, cell, weight, started_ms):
            server = self.fleet.listed(name, cell, _nth(self.zones, zone), _nth(self.kinds, kind), weight)
            named.add(server)
            started = started_ms * MS
            if state == discovery.GONE:
                self.fleet.unlisted(server)
            else:
                self.server_pool.listed(server, address)
            if started > server.started and self.server_pool.stands(server):
                self.server_pool.restarted(server, started)
            lines.append(Listed(server, state == discovery.READY, started))

        rows(told)
        if full:
            for server in list(self.fleet.servers.values()):
                if server not in named:
                    self.fleet.unlisted(server)
                    lines.append(Listed(server, False, server.started))
        self.log.info("list", version=version, servers=len(named), whole=full, open=sum(line.open for line in lines))
        self.session_core.lines_told(lines, stale)

    # ---- the door's side

    def asked(
        self,
        name: str,
        package: str,
        title: str,
        base: int,
        span: int,
        top: int,
        mark: int,
        expected: int,
        came_back: bool,
        patience: int,
        arrived: int,
        description: bytes,
    ) -> Request:
        return self.session_core.asked(
            name,
            package,
            title,
            top,
            patience,
            offer=Offered(name, description),
            came_back=came_back,
            holders=self.fleet.holders(base, span),
            mark=mark,
            arrived=arrived,
            expected=expected,
        )

    def plays_at(
        self, name: str, package: str, title: str, base: int, span: int, top: int, mark: int, expected: int, at: str
    ) -> FrontSession:
        server = self.fleet.servers[at]
        front_session = self.session_core.plays_at(
            package, title, top, server, Session(bytes.fromhex(name), server), self.fleet.holders(base, span), mark, expected
        )
        self.server_pool.plays_at(front_session)
        return front_session

    def over_at(self, name: str, at: str, torn_down: int | None) -> int | None:
        """Of a session that is handed over: None if it stands; else the cause that its viewer is to be told, 0 for nothing.
        `torn_down` is the cause with which its viewer has ended it already."""
        server, id = self.fleet.servers.get(at), bytes.fromhex(name)
        if server is None or server not in self.server_pool.endpoints:
            # the list has it no more: what was there is over, and only this node is left to say so
            return isup.RESET if torn_down is None else 0
        if torn_down is not None:
            self.session_core.orphaned(server, Session(id, server, cause=torn_down or isup.OVER))
            return 0
        over = self.server_pool.over_before(server, id)
        return 0 if over == isup.CANCELLED else over

    def later(self, call) -> None:
        """Not from within a call of the desk's."""
        self.session_core.timers.at(self.now(), call)

    def gave_up(self, request: Request) -> None:
        self.session_core.gave_up(request)

    def released(self, front_session: FrontSession, cause: int) -> None:
        """Its viewer has ended it; 0 for no cause said."""
        if cause:
            front_session.session.cause = cause
        self.server_pool.closed(front_session)
        self.session_core.closed(front_session)

    # ---- reach's side

    def read_first(self, tune_in: TuneIn, then) -> bool:
        """Whether its viewer may have gone, and nobody has read that yet; if he has not, `then` is called."""
        return self.listener.read_first(tune_in.front_session.offer.name, then)

    def ended(self, front_session: FrontSession, outcome: Outcome, cause: int | None) -> None:
        """It has ended at its server."""
        self.session_core.lost(front_session, outcome)
        asked = self.listener.asked.get(front_session.session.id.hex())
        if asked is not None and asked.front_session is front_session:
            self.listener.release(asked, cause)

    # ---- the desk's outside, see curlewshift/session_core/driver.py

    def now(self) -> int:
        return self.clock.now()

    def wall(self) -> int:
        return time.time_ns()

    def wake(self, at: int) -> None:
        self.waking.at(at)

    def tune_in(self, tune_in: TuneIn) -> None:
        self.listener.trail.note(tune_in.front_session.offer.name, f"attempt {tune_in.number} at {tune_in.server.name}")
        if tune_in.number > 1:
            self.log.info(
                "further-attempt",
                session=tune_in.front_session.offer.name,
                number=tune_in.number,
                server=tune_in.server.name,
                rung=tune_in.rung,
                lasts_ms=(tune_in.until - self.now()) // MS,
            )
        self.server_pool.tune_in(tune_in)

    def withdraw(self, tune_in: TuneIn) -> bool:
        return self.server_pool.withdraw(tune_in)

    def tell(self, command: ServerCommand) -> None:
        self.server_pool.rung(command.front_session, command.rung)
        # it wants no answer, and the desk is not told from within its call
        self.session_core.timers.at(self.now(), lambda: self.session_core.told_server(command, Result.DONE))

    def end_session(self, session_end: SessionEnd) -> None:
        self.server_pool.end_session(session_end)

    def probe(self, server: Server) -> None:
        self.server_pool.probe(server)

    def answer(self, request: Request, answer: Answer) -> None:
        front_session = request.front_session
        self.counts[f"answer-{answer.kind.value}"] += 1
        self.log.info(
            "answer",
            session=request.name,
            answer=answer.kind.value,
            wait_ms=answer.wait // MS,
            after_ms=(self.now() - request.arrived) // MS,
            tries=front_session.viewing.tune_ins if front_session else 0,
            cause=answer.cause,
            server=front_session.viewing.server.name if front_session and front_session.viewing.server else "",
        )
        asked = self.listener.asked.get(request.name)
        if asked is None:
            return
        description = b""
        if answer.kind is Kind.PLAYS:
            description, front_session.session.description = front_session.session.description, b""
        self.listener.answer(asked, answer, description)

    def whole_list(self) -> None:
        """The bulletin's events follow on one another by their numbers; see the follower."""


def _nth(names: list[str], place: int) -> str:
    return names[place] if place < len(names) else ""
