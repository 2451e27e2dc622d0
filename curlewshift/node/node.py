"""The front node: the session core's driver for viewers, media servers and discovery, and the life cycle of the process.

Started by `python -m curlewshift.node` with NODE_CONFIG in its environment. It makes no placement decisions.
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
from curlewshift.model import ListedServer, Outcome, Server
from curlewshift.node import configuration, discovery, isup
from curlewshift.node.buffered_connection import Listener
from curlewshift.node.client_listener import SWEEP_INTERVAL_S, ClientListener
from curlewshift.node.client_requests import SetUp
from curlewshift.node.connections import Session
from curlewshift.node.follower import Follower
from curlewshift.node.server_pool import ServerPool
from curlewshift.retries.session_ends import SessionEnd
from curlewshift.schedule.clock import Clock
from curlewshift.schedule.wakeup_timer import WakeupTimer
from curlewshift.session_core.front_session import Answer, AnswerKind, FrontSession, Request, TuneIn
from curlewshift.session_core.server_commands import Result, ServerCommand
from curlewshift.session_core.session_core import SessionCore

MS = 1_000_000
NS = 1_000_000_000
# Interval at which non-zero counts are logged (ns).
COUNTS_INTERVAL_NS = 10 * NS
# The share of file descriptors for media servers, and the number reserved for files, discovery and the event loop itself.
SERVER_DESCRIPTOR_SHARE, RESERVED_DESCRIPTORS = 0.4, 16
# When viewers' connections are near the limit, those idle for this long (s) are closed, this many at once, as hundreds may arrive
# in a second.
IDLE_AFTER_S, MAX_CLOSED_AT_ONCE = 0.25, 64
# After a SIGTERM the node goes on serving for at least this long (s): new connections arrive for another 0.4 s, and requests on
# open ones until the process is killed.
MIN_DRAIN_S = 1.0
# SIGKILL follows SIGTERM after the longest deadline of the packages, limited to the second, plus the first, at the earliest (s).
KILL_MARGIN_S, MAX_DEADLINE_S = 0.7, 3.0
# The process exits this long before SIGKILL; closing connections, and answering the open requests before, take this long (s).
EXIT_MARGIN_S, CLOSE_TIME_S, ANSWER_TIME_S = 0.1, 0.25, 0.1
# Additional time in which media servers can confirm releases after the viewers' connections are closed (s).
CONFIRM_TIME_S = 0.05
# Time-out for writing queued output when no request is open any more (s).
FINISH_TIMEOUT_S = 1.5


@dataclass(frozen=True, slots=True)
class ClientOffer:
    """The parts of a viewer's set-up that are passed on to the media server: session id and session description."""

    name: str
    description: bytes


class Node:
    """One front node. `path` is the configuration file, which is read again on SIGHUP."""

    def __init__(self, config: configuration.NodeConfiguration, path: str, log):
        self.config, self.path, self.log = config, path, log
        self.clock = Clock()
        settings = config.settings
        self.zones, self.kinds = settings.get("areas") or [], settings.get("flavors") or []
        self.fleet = Fleet(settings)
        self.ready = self.draining = False
        # counts by event since they were last logged
        self.counts: Counter[str] = Counter()
        self.wakeup_timer = WakeupTimer(self.clock, self._run_timers)
        self.session_core = SessionCore(self, terms_of(settings, self.clock.now(), config.seed), self.fleet)
        extra = settings.get("extra") or {}
        server_descriptors = int(config.descriptors * SERVER_DESCRIPTOR_SHARE)
        gate = DescriptorGate(
            config.descriptors,
            lambda: self.now() / NS,
            server_descriptors + RESERVED_DESCRIPTORS,
            IDLE_AFTER_S,
            MAX_CLOSED_AT_ONCE,
            lambda connection: connection.is_spared,
        )
        self.listener = ClientListener(self, gate, log, len(self.fleet.cells), len(extra.get("rung_kb") or [0]) - 1)
        self.server_descriptors = server_descriptors

    async def run(self) -> None:
        """Serves until the node has shut down after SIGTERM."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP, signal.SIGINT) as signals:
            async with anyio.create_task_group() as self.tasks:
                bounds, extra = self.config.settings.get("bounds") or {}, self.config.settings.get("extra") or {}

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
                    lambda: self.follower.following,
                    self.server_descriptors,
                    bounds.get("streams_per_conn") or 1,
                    ns(bounds, "connect_timeout_ms", 250),
                    ns(extra, "told_every_ms", 0),
                    ns(bounds, "idle_close_ms", 30_000),
                )
                for number, (version, full, rows) in enumerate(configuration.events(self.config)):
                    self._apply_server_list(rows, full, version, stale=not number)
                self.follower = Follower(
                    self.config.discovery_address, self.config.last_event, self._on_list_event, self.log, self.tasks
                )
                listener = Listener(self.config.listen)
                self.tasks.start_soon(self._signals, signals)
                self.tasks.start_soon(self.wakeup_timer.run)
                self.tasks.start_soon(self._sweep)
                self.tasks.start_soon(self.follower.run)
                self.tasks.start_soon(self.listener.serve, listener, self.tasks)
                # objects created so far live as long as the process: garbage collections need not visit them
                gc.collect()
                gc.freeze()
                self.ready = True
                self.log.info("open", front=self.config.name, servers=len(self.fleet.servers))

    # ---- life cycle of the process

    async def _signals(self, signals) -> None:
        async for signal_number in signals:
            if signal_number == signal.SIGHUP:
                try:
                    self._reload()
                except Exception as fault:
                    self.log.error("fault", what="configuration reload", cause=repr(fault), exc_info=fault)
            elif not self.draining:
                self.tasks.start_soon(self._shut_down)

    def _reload(self) -> None:
        """Reloads the configuration: only the discovery address and the known events of the server list are applied."""
        try:
            config = configuration.read(self.path)
        except configuration.InvalidConfiguration as error:
            self.log.error("configuration", cause=f"keeping the current configuration; the new file {error}")
            return
        self.log.info("configuration", bulletin=":".join(map(str, config.discovery_address)))
        for number, full, rows in configuration.events(config):
            if number > self.follower.last:
                self._apply_server_list(rows, full, number)
                self.follower.last = number
        self.follower.move(config.discovery_address)

    async def _shut_down(self) -> None:
        """Drains and shuts down: new requests are refused, accepted ones are answered, and established sessions are served while
        time is left."""
        self.draining, self.ready = True, False
        self.log.info(
            "drain", list=self.follower.last, waiting=self.session_core.waiting, playing=len(self.session_core.front_sessions)
        )
        self.session_core.drain()
        closed_by = anyio.current_time() + self._longest_deadline() + KILL_MARGIN_S - EXIT_MARGIN_S
        answered_by = closed_by - CLOSE_TIME_S
        with anyio.move_on_at(answered_by - ANSWER_TIME_S):
            await anyio.sleep(MIN_DRAIN_S)
            while self.session_core.front_sessions or self.session_core.waiting or self.listener.pending_releases:
                await anyio.sleep(0.05)
        left = anyio.current_time() + FINISH_TIMEOUT_S
        await self.listener.finish(min(answered_by, left), min(closed_by, left + CLOSE_TIME_S))
        await self.server_pool.finish(min(closed_by + CONFIRM_TIME_S, anyio.current_time() + FINISH_TIMEOUT_S))
        self._log_counts()
        self.log.info("ended", playing=len(self.session_core.front_sessions))
        self.tasks.cancel_scope.cancel()

    def _longest_deadline(self) -> float:
        deadlines = [package.patience for package in self.session_core.packages.values()]
        return min(MAX_DEADLINE_S, max(deadlines) / NS) if all(deadlines) else MAX_DEADLINE_S

    def end_waiting(self) -> None:
        """Answers all requests that are still open and withdraws their attempts, at shutdown."""
        self.session_core.end_waiting()

    def _log_counts(self) -> None:
        """Logs the counts by event since they were last logged, and resets them."""
        if self.counts:
            self.log.info("counts", **{name.replace("-", "_"): count for name, count in sorted(self.counts.items())})
            self.counts.clear()

    async def _sweep(self) -> None:
        logged_at = self.now()
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            if self.now() - logged_at > COUNTS_INTERVAL_NS:
                logged_at = self.now()
                self._log_counts()
            for what, sweep in (("client listener sweep", self.listener.sweep), ("server pool sweep", self.server_pool.sweep)):
                try:
                    sweep()
                except Exception as fault:
                    self.log.error("fault", what=what, cause=repr(fault), exc_info=fault)

    def _run_timers(self) -> None:
        try:
            self.session_core.time()
        except Exception as fault:
            # costs the session whose timer it was, and no other
            self.log.error("fault", what="timer", cause=repr(fault), exc_info=fault)

    # ---- the server list

    def _on_list_event(self, full: bool, payload: bytes) -> None:
        self._apply_server_list(lambda on_record: discovery.each_record(payload, on_record), full, self.follower.last)

    def _apply_server_list(self, rows, full: bool, version: int, stale: bool = False) -> None:
        entries, listed_servers = [], set()

        def on_record(name, address, state, zone, kind, cell, weight, started_ms):
            server = self.fleet.place_listed(
                name, cell, _item_or_empty(self.zones, zone), _item_or_empty(self.kinds, kind), weight
            )
            listed_servers.add(server)
            started = started_ms * MS
            if state == discovery.GONE:
                self.fleet.remove_from_cell(server)
            else:
                self.server_pool.listed(server, address)
            if started > server.started and self.server_pool.session_count(server):
                self.server_pool.restarted(server, started)
            entries.append(ListedServer(server, state == discovery.READY, started))

        rows(on_record)
        if full:
            for server in list(self.fleet.servers.values()):
                if server not in listed_servers:
                    self.fleet.remove_from_cell(server)
                    entries.append(ListedServer(server, False, server.started))
        self.log.info("list", version=version, servers=len(listed_servers), whole=full, open=sum(entry.open for entry in entries))
        self.session_core.list_lines_received(entries, stale)

    # ---- called by the client listener

    def request_session(self, set_up: SetUp) -> Request:
        """Passes a viewer's set-up to the session core."""
        return self.session_core.asked(
            set_up.name,
            set_up.package,
            set_up.title,
            set_up.top,
            set_up.timeout,
            offer=ClientOffer(set_up.name, set_up.description),
            came_back=set_up.came_back,
            holders=self.fleet.holders(set_up.base, set_up.span),
            mark=set_up.placement_hash,
            arrived=set_up.arrived_at,
            expected=set_up.expected,
        )

    def accept_hand_over(self, set_up: SetUp) -> FrontSession:
        """Takes over a session that is established at the server `set_up.at`."""
        server = self.fleet.servers[set_up.at]
        front_session = self.session_core.plays_at(
            set_up.package,
            set_up.title,
            set_up.top,
            server,
            Session(bytes.fromhex(set_up.name), server),
            self.fleet.holders(set_up.base, set_up.span),
            set_up.placement_hash,
            set_up.expected,
        )
        self.server_pool.add_session(front_session)
        return front_session

    def early_end(self, name: str, at: str, torn_down: int | None) -> int | None:
        """Whether a session has already ended that is being handed over to this node: None if it is established; otherwise the
        cause of the release to its viewer, 0 for none. `torn_down` is the cause with which its viewer has already ended it."""
        server, id = self.fleet.servers.get(at), bytes.fromhex(name)
        if server is None or server not in self.server_pool.endpoints:
            # the server is no longer listed: its sessions have ended, and only this node can notify the viewer
            return isup.RESET if torn_down is None else 0
        if torn_down is not None:
            self.session_core.orphaned(server, Session(id, server, cause=torn_down or isup.ENDED))
            return 0
        cause = self.server_pool.early_release(server, id)
        return 0 if cause == isup.CANCELLED else cause

    def defer(self, call) -> None:
        """Runs `call` in the next timer run, and not from within a call of the session core's."""
        self.session_core.timers.at(self.now(), call)

    def cancel_request(self, request: Request) -> None:
        """The viewer has cancelled the request, or its connection has ended."""
        self.session_core.gave_up(request)

    def released(self, front_session: FrontSession, cause: int) -> None:
        """The viewer has ended the session; `cause` is 0 if it gave none."""
        if cause:
            front_session.session.cause = cause
        self.server_pool.closed(front_session)
        self.session_core.closed(front_session)

    # ---- called by the server pool

    def read_first(self, tune_in: TuneIn, then) -> bool:
        """Whether unread input may say that the viewer has left; if it has not, `then` is called. See `ClientListener`."""
        return self.listener.read_first(tune_in.front_session.offer.name, then)

    def ended(self, front_session: FrontSession, outcome: Outcome, cause: int | None) -> None:
        """The session has ended at its media server."""
        self.session_core.lost(front_session, outcome)
        client_session = self.listener.sessions.get(front_session.session.id.hex())
        if client_session is not None and client_session.front_session is front_session:
            self.listener.release(client_session, cause)

    # ---- the session core's driver, see curlewshift/session_core/driver.py

    def now(self) -> int:
        return self.clock.now()

    def wall(self) -> int:
        return time.time_ns()

    def wake(self, at: int) -> None:
        self.wakeup_timer.at(at)

    def tune_in(self, tune_in: TuneIn) -> None:
        self.listener.tracer.note(tune_in.front_session.offer.name, f"attempt {tune_in.number} at {tune_in.server.name}")
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
        # the server does not answer it; the session core is not called back from within its own call
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
        client_session = self.listener.sessions.get(request.name)
        if client_session is None:
            return
        description = b""
        if answer.kind is AnswerKind.PLAYS:
            description, front_session.session.description = front_session.session.description, b""
        self.listener.answer(client_session, answer, description)

    def whole_list(self) -> None:
        """Nothing to do: the follower requests missing events by their numbers."""


def _item_or_empty(names: list[str], index: int) -> str:
    return names[index] if index < len(names) else ""
