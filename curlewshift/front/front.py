"""One running front: the desk's outside on real sockets, and the life of the process."""

from __future__ import annotations

import resource
import signal
import time
from pathlib import Path
from random import Random

import anyio

from curlewshift.capture.store import CaptureWriter
from curlewshift.capture.tap import tapped
from curlewshift.exchange.server import serve
from curlewshift.exchange.tls import InvalidCertificate, ServerTls, client_context
from curlewshift.front.begun import Begun
from curlewshift.front.configured import Configured
from curlewshift.front.control import Control
from curlewshift.front.followers import ListFollower, NotesFollower, row_of
from curlewshift.front.http_listener import HttpListener
from curlewshift.front.kept import KeptList, KeptShared
from curlewshift.front.server_pool import ServerPool, Session, doubt_mark
from curlewshift.front.session_writer import SessionWriter
from curlewshift.limits.admission import Admission
from curlewshift.limits.descriptors import DescriptorGate
from curlewshift.limits.permits import InvalidKeySet, Permits, read_keys
from curlewshift.model import Server
from curlewshift.peaks.calendar import Calendar, InvalidPeak
from curlewshift.peering.distributed import DistributionProtocol
from curlewshift.peering.leased import LeaseTaskProtocol
from curlewshift.peering.overloaded import OverloadProtocol
from curlewshift.peering.shared import SharingProtocol
from curlewshift.peering.wire import PeerSocket
from curlewshift.recovery.recovery import InterruptedSetup, ListedSession, Recovery, recovery_of
from curlewshift.retries.session_ends import SessionEnd
from curlewshift.schedule.background import Background, Job
from curlewshift.schedule.clock import Clock, SkewedClock
from curlewshift.schedule.wakeup_timer import WakeupTimer
from curlewshift.session_core.front_session import Answer, AnswerKind, FrontSession, Request, TuneIn
from curlewshift.session_core.offer import Offer
from curlewshift.session_core.server_commands import ServerCommand
from curlewshift.session_core.server_list import ServerList
from curlewshift.session_core.session_core import SessionCore
from curlewshift.site.places import distribution_of, locations_of
from curlewshift.site.site import Site
from curlewshift.state.intents import Intents
from curlewshift.state.journal import Journal, Lock
from curlewshift.state.peaks import PeakStore
from curlewshift.state.session_registry import SessionRegistry, StoredSession

NS = 1_000_000_000
# A front that shares hears from its peers for so long at the most before its door opens (s).
LEARN_WITHIN = 1.0
# Between looks for sessions that have ended, and for files that have changed (s).
SWEEP = 1.0
# Between looks at who waits for a place at the door (s).
LINES_EVERY = 0.05
# Between looks for servers that have to be asked again after a start (s).
RECOVER_EVERY = 0.1
# Work behind: how often it is looked for, and how long and how often it is held back while requests are in work (s).
LOOK = 0.05
HELD_BACK = 0.002
MOST_HELD_BACK = 50
# For the last DELETEs of a front that stops (s).
LAST_WORDS = 2.0


class Front:
    """Made for the number-th front of the site. `name` tells servers and list which life of which front speaks."""

    server_pool_class = ServerPool
    peers_class = PeerSocket
    shared_class = SharingProtocol
    leased_class = LeaseTaskProtocol
    overload_class = OverloadProtocol
    configured_class = Configured
    distribution_class = DistributionProtocol

    def __init__(
        self,
        site: Site,
        number: int,
        seed: int,
        state: Path | None,
        log,
        life: str = "",
        session_core: type[SessionCore] = SessionCore,
        capture: Path | None = None,
        led: bool = False,
        begun: Begun | None = None,
        **how,
    ):
        self.site, self.log = site, log
        self.door_at = site.front_addresses[number]
        self.clock = SkewedClock() if led else Clock()
        if led and self.server_pool_class is ServerPool:
            from curlewshift.front.led import LedServerPool

            self.server_pool_class = LedServerPool
        self.name = life or f"{self.door_at.name}.{self.clock.now() // 1_000_000 % 10**9}"
        self.rng = Random(seed)
        self.kept = KeptList(state / "list.json", log) if state else None
        # what these files lack is told before anything listens
        self.permits = Permits(read_keys(site.token_keys.read_bytes())) if site.token_keys else None
        self.tls = ServerTls(*site.tls) if site.tls else None
        self.servers_tls = client_context(site.authority) if site.authority else None
        self.door = HttpListener(site, log, self.permits)
        self.door.now = self.clock.now
        self.keys_read = b""
        self.gate = DescriptorGate(resource.getrlimit(resource.RLIMIT_NOFILE)[0], time.monotonic)
        if site.limits is not None:
            self.door.admission = Admission(site.limits, self.rng.getrandbits(32), self.clock.now(), self.door.ticket_told)
        self.wakeup_timer = WakeupTimer(self.clock, lambda: self.session_core.time())
        self.followed: dict[Server, anyio.CancelScope] = {}
        self.terms = site.terms(self.clock.now(), seed, number)
        self.calendar = Calendar(site.packages)
        self.control = None
        self.intents, self.journal = Intents(), None
        self.keeper: SessionWriter | None = None
        self.recovery: Recovery | None = None
        if state is not None:
            # one front a folder: two would each think the other's set-ups never happened
            self.lock = Lock(state)
            self.journal = Journal(state / "intents.log")
            if self.journal.damage:
                log.error("intents-damaged", cause=self.journal.damage)
            self._open_book(Journal(state / "sessions.log"))
            store = PeakStore(state / "peaks.db")
            self._take_calendar(store)
            self.control = Control(self, state / "control", store)
        self.capture = None
        if capture is not None:
            # names sort by time, so that the newest life is the last
            life_at = capture / f"{time.strftime('%Y%m%dT%H%M%SZ', time.gmtime())}-{self.name}"
            self.capture = CaptureWriter(life_at, lambda why: log.warning("capture-ended", cause=why))
            session_core = tapped(session_core, self.capture.note)
        # the desk's first wake comes while it is made
        self.session_core = session_core(
            self, self.terms, ServerList(site.uplinks, site.titles), most_waiting=site.most_waiting, calendar=self.calendar, **how
        )
        self.door.session_core = self.session_core
        self.peers: PeerSocket | None = None
        if site.peers is not None:
            self.peers = self.peers_class(site.name, self.door_at, site.peers, self.clock, log, Random(self.rng.random()))
        self.shared: SharingProtocol | None = None
        if self.peers is not None and site.sharing is not None:
            self.shared = self.shared_class(
                self.peers.channel,
                self.session_core,
                [door.name for door in site.front_addresses],
                number,
                site.sharing,
                site.together,
                site.obligations.warm_within,
                self.clock.now,
                log,
                Random(self.rng.random()),
            )
        self.kept_shared = None
        if self.shared is not None and state is not None:
            self.kept_shared = KeptShared(state / "shared.json", self.shared.sharing, self.wall, log)
        self.leased: LeaseTaskProtocol | None = None
        if self.peers is not None and site.leases is not None:
            wants = site.leases
            self.leased = self.leased_class(
                self.peers.channel,
                self,
                [door.name for door in site.front_addresses],
                number,
                wants.keepers,
                wants.terms,
                wants.shards,
                wants.probe_each,
                log,
                Random(self.rng.random()),
                wants.tasks,
                wants.orphans_after,
            )
        self.sheds: OverloadProtocol | None = None
        if site.overload is not None:
            self.sheds = self.door.sheds = self.overload_class(
                self.peers.channel if self.peers is not None else None,
                self,
                self.door_at.name,
                frozenset(door.name for door in site.front_addresses),
                site.overload,
                log,
                Random(self.rng.random()),
            )
        self.configured: Configured | None = None
        if self.peers is not None and site.configuration is not None:
            self.configured = self.configured_class(self, begun or Begun(Path("site.xml"), site), state)
            self.configured.wire = self.distribution_class(
                self.peers.channel,
                self.configured,
                self.door_at.name,
                locations_of(site),
                distribution_of(site),
                lambda: 0,
                self.clock,
                log,
                Random(self.rng.random()),
                self.configured.begun.copy,
                None,
            )
        self.background = Background(self.clock.now(), time.monotonic_ns, self._overran)
        if self.door.admission is not None:
            self.background.add(
                "lines", lambda: self.door.admission.tick(self.now()), self.clock.now(), priority=0, every=int(LINES_EVERY * NS)
            )
        for name, work in (("sweep", self.door.sweep), ("renew", self._start_renewal)):
            self.background.add(name, work, self.clock.now() + int(SWEEP * NS), every=int(SWEEP * NS))

    def _open_book(self, journal: Journal) -> None:
        if journal.damage:
            self.log.error("sessions-damaged", cause=journal.damage)
        book = SessionRegistry()
        book.restore(journal.records)
        journal.records = []
        self.keeper = self.door.sessions.keeper = SessionWriter(book, journal, self.log)

    def _recover(self) -> None:
        """What earlier lives left, before the door opens. Sessions first: a key whose session plays is in no doubt."""
        if self.keeper is None:
            return
        intents = self.intents.restore(self.journal.records, self.wall())
        self.journal.records = []
        for intent in intents:
            self.log.info("interrupted", package=intent.package, server=intent.server, cause="it may have run")
        self.recovery = recovery_of(self, self.session_core, self.name, self.keeper.book, intents, doubt_mark)
        self.recovery.begin()
        if not self.recovery.finished:
            self.recovering = self.background.add("recover", self._go_on_recovering, self.now(), every=int(RECOVER_EVERY * NS))

    def _go_on_recovering(self) -> None:
        done = self.recovery
        done.time()
        if done.finished:
            self.background.cancel(self.recovering)
            self.log.info(
                "recovered",
                kept=done.kept,
                found=done.found,
                ended=done.ended,
                orphans=done.orphans,
                given_up=done.given_up,
                silent=[server.name for server in done.silent],
                after_ms=(self.now() - done.began) // 1_000_000,
            )

    # ---- recovery's outside, see curlewshift/recovery/recovery.py

    def ask_sessions(self, server: Server) -> None:
        self.server_pool.ask_sessions(server, self.recovery)

    def adopt(self, server: Server, paths: list[str]) -> None:
        self.server_pool.adopt(server, paths, self.recovery)

    def resume(self, one: StoredSession, server: Server) -> FrontSession:
        session = Session(one.path, one.answer, one.etag, one.ufrag)
        front_session = self.session_core.handed_over(
            one.package,
            one.title,
            one.ceiling,
            server,
            session,
            one.rung,
            one.key,
            Offer(one.offer, protocol=one.protocol, ufrag=one.ufrag),
        )
        self.door.sessions.take_up(front_session, one.token, one.holder)
        return front_session

    def session_of(self, found: ListedSession, doubt: InterruptedSetup | None) -> Session:
        return Session(found.path, found.answer, found.etag)

    def ended_before_resume(self, one: StoredSession) -> None:
        self.keeper.ended(one.token)

    def _take_calendar(self, store: PeakStore) -> None:
        """The calendar as it was; what is over or makes no sense under other settings is named and left out."""
        if store.damage:
            self.log.error("calendar-damaged", cause=store.damage)
        for peak in store.read():
            try:
                self.calendar.announce(peak, self.wall())
            except InvalidPeak as wrong:
                self.log.warning("peak-left-out", peak=peak.name, cause=str(wrong))

    async def run(self, ready=None) -> None:
        """Serves until told to end. `ready` is called once the door is open."""
        try:
            await self._run(ready)
        finally:
            with anyio.CancelScope(shield=True):
                await self.server_pool.close()
                if self.journal is not None:
                    await anyio.to_thread.run_sync(self.keeper.close)
                    self.journal.close()
                    self.lock.release()
                if self.capture is not None:
                    await anyio.to_thread.run_sync(self.capture.close)

    async def _run(self, ready) -> None:
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.server_pool = self.server_pool_class(
                self.session_core,
                tasks,
                self.name,
                self.site.most_connections,
                self.log,
                self.servers_tls,
                self.intents,
                self.journal,
                self.wall,
            )
            if self.kept is not None:
                rows = [row_of(row) for row in self.kept.read()]
                if rows:
                    self.log.info("list", what="kept", servers=len(rows))
                    self.session_core.list_full("", -1, rows, stale=True)
            self.lists = ListFollower(
                self.session_core,
                *self.site.list_at,
                self.name,
                self.kept,
                Random(self.rng.random()),
                self.log,
                self._follow_servers,
            )
            if self.leased is not None:
                self.lists.on_news = self.leased.listing.read
            self._recover()
            if self.control is not None:
                await tasks.start(self.control.run)
            self._follow_servers()
            if self.peers is not None:
                tasks.start_soon(self.peers.run)
            if self.configured is not None:
                tasks.start_soon(self.configured.wire.run)
                tasks.start_soon(self.configured.run)
                await self.configured.start()
            if self.shared is not None:
                if self.kept_shared is not None:
                    self.log.info("shared-kept", rows=self.kept_shared.read())
                    tasks.start_soon(self.kept_shared.run)
                tasks.start_soon(self.shared.run)
                await self.shared.learn(LEARN_WITHIN)
            if self.leased is not None:
                tasks.start_soon(self.leased.run)
            if self.sheds is not None:
                tasks.start_soon(self.sheds.run)
            listener = await anyio.create_tcp_listener(local_host=self.door_at.host, local_port=self.door_at.port, backlog=1024)
            tasks.start_soon(self._signals)
            tasks.start_soon(self.wakeup_timer.run)
            tasks.start_soon(self._work_behind)
            tasks.start_soon(self.lists.run)
            if self.kept is not None:
                tasks.start_soon(self.kept.run)
            self.listener = listener.listeners[0]
            tasks.start_soon(
                serve, self.listener, self.door.serve, self._door_fault, tasks, self.tls.context if self.tls else None, self.gate
            )
            self.log.info("open", front=self.door_at.name, port=self.door_at.port)
            if ready is not None:
                ready()

    # ---- the life of the process

    async def _signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for which in signals:
                self.log.info("drain", cause=signal.Signals(which).name, waiting=self.session_core.waiting)
                await self.end()
                return

    async def end(self) -> None:
        """New requests are refused with advice, those taken are answered, what plays is ended; then all stops."""
        self.session_core.drain()
        longest = max(package.patience for package in self.site.packages) / NS
        with anyio.move_on_after(longest + 1):
            while self.session_core.waiting:
                await anyio.sleep(0.02)
        if self.leased is not None:
            self.leased.leave()
        if self.peers is not None:
            await self.peers.leave()
        await anyio.sleep(0.05)
        for front_session in list(self.session_core.front_sessions.values()):
            self.session_core.closed(front_session)
        self.door.sweep()
        with anyio.move_on_after(LAST_WORDS):
            while len(self.session_core.session_ends):
                await anyio.sleep(0.02)
        # Closed before the process ends, which takes a while: who comes now is turned away by the machine at once
        # and not reset later, and what was taken is still answered.
        await self.listener.aclose()
        with anyio.move_on_after(LAST_WORDS):
            while self.door.busy:
                await anyio.sleep(0.01)
        self.log.info("ended", cause="drained")
        self.tasks.cancel_scope.cancel()

    def _door_fault(self, fault: Exception) -> None:
        self.log.error("door-fault", cause=repr(fault), exc_info=fault)

    async def _work_behind(self) -> None:
        """Slices of background work, one between two looks at the sockets, and none while the door is at work unless
        it has been kept waiting too long."""
        held_back = 0
        while True:
            now = self.now()
            at = self.background.next_run(now)
            if at is None or at > now:
                await anyio.sleep(min(LOOK, (at - now) / NS) if at is not None else LOOK)
            elif self.door.busy and held_back < MOST_HELD_BACK:
                held_back += 1
                await anyio.sleep(HELD_BACK)
            else:
                held_back = 0
                try:
                    self.background.run(now)
                except Exception as fault:
                    self.log.error("fault", what="background work", cause=repr(fault), exc_info=fault)
                await anyio.sleep(0.001)

    def _overran(self, job: Job, cost: int) -> None:
        self.log.info("overran", job=job.name, took_ms=round(cost / 1e6, 1), times=job.overran)

    def _start_renewal(self) -> None:
        self.tasks.start_soon(anyio.to_thread.run_sync, self._renew)

    def _renew(self) -> None:
        """Keys and certificates that have changed are in force from now on; bad ones change nothing."""
        if self.tls is not None and self.tls.changed():
            try:
                self.tls.load()
                self.log.info("renewed", what="certificate")
            except InvalidCertificate as wrong:
                self.log.warning("not-renewed", what="certificate", cause=str(wrong))
        if self.permits is not None:
            try:
                raw = self.site.token_keys.read_bytes()
                if raw != self.keys_read:
                    came, went = self.permits.replace(read_keys(raw))
                    self.keys_read = raw
                    self.log.info("renewed", what="keys", came=sorted(came), went=sorted(went))
            except (OSError, InvalidKeySet) as wrong:
                self.log.warning("not-renewed", what="keys", cause=str(wrong))

    # ---- servers of the list are listened to

    def _follow_servers(self) -> None:
        if self.recovery is not None:
            self.recovery.list_changed()
        held = self.session_core.server_list.shelf_of
        for server in held:
            if server not in self.followed:
                scope = self.followed[server] = anyio.CancelScope()
                self.tasks.start_soon(self._follow, server, scope)
        for server in [server for server in self.followed if server not in held]:
            self.followed.pop(server).cancel()
            self.server_pool.forget(server)

    async def _follow(self, server: Server, scope: anyio.CancelScope) -> None:
        follower = NotesFollower(
            self.session_core,
            server,
            self.name,
            Random(self.rng.random()),
            self.log,
            self._front_session_of,
            self.servers_tls,
            self.keeper.boot if self.keeper is not None else None,
        )
        with scope:
            while True:
                try:
                    await follower.run()
                except Exception as fault:
                    # one server's notes that go wrong in a way on no list must not end the front
                    self.log.error("fault", server=server.name, cause=repr(fault), exc_info=fault)
                    await anyio.sleep(SWEEP)

    def _front_session_of(self, server: Server, path: str) -> FrontSession | None:
        for viewing in server.link.playing:
            front_session = self.session_core.front_sessions[viewing]
            if front_session.session.path == path:
                return front_session
        return None

    # ---- the desk's outside, see curlewshift/session_core/driver.py

    def now(self) -> int:
        return self.clock.now()

    def wall(self) -> int:
        return self.clock.wall()

    def wake(self, at: int) -> None:
        self.wakeup_timer.at(at)

    def tune_in(self, tune_in: TuneIn) -> None:
        viewing = tune_in.front_session.viewing
        self.log.info(
            "tune-in",
            viewing=viewing.name,
            server=tune_in.server.name,
            rung=tune_in.rung,
            number=tune_in.number,
            request=tune_in.front_session.requests[0].name if tune_in.front_session.requests else "",
        )
        if self.shared is not None:
            self.shared.sharing.sent(tune_in.server, tune_in.number > 1)
        if self.sheds is not None:
            self.sheds.tune_in(tune_in)
        self.server_pool.tune_in(tune_in)

    def withdraw(self, tune_in: TuneIn) -> bool:
        self.log.info(
            "withdrawn", viewing=tune_in.front_session.viewing.name, server=tune_in.server.name, cause="its time is over"
        )
        return self.server_pool.withdraw(tune_in)

    def tell(self, command: ServerCommand) -> None:
        viewing = command.front_session.viewing
        if command.rung is not None:
            self.log.info("rung", viewing=viewing.name, server=viewing.server.name, rung=command.rung)
            self.door.rung_changed(command.front_session, command.rung)
        else:
            self.log.info("patch", viewing=viewing.name, server=viewing.server.name)
        self.server_pool.tell(command)

    def end_session(self, session_end: SessionEnd) -> None:
        self.log.info("tear-down", server=session_end.server.name, session=session_end.session.path, number=session_end.tries)
        self.server_pool.end_session(session_end)

    def probe(self, server: Server) -> None:
        self.log.info("probe", server=server.name)
        self.server_pool.probe(server)

    def answer(self, request: Request, answer: Answer) -> None:
        if self.sheds is not None:
            self.sheds.answered(request, answer)
        viewing = request.front_session.viewing.name if request.front_session is not None else 0
        more = (
            {"server": answer.front_session.viewing.server.name}
            if answer.kind is AnswerKind.PLAYS and answer.front_session.viewing.server
            else {}
        )
        self.log.info(
            "answer",
            viewing=viewing,
            request=request.name,
            answer=answer.kind.value,
            cause=answer.cause,
            after_ms=(self.now() - request.arrived) // 1_000_000,
            **more,
        )
        self.door.answer(request, answer)

    def whole_list(self) -> None:
        self.log.info("list-gap")
        if self.leased is not None:
            self.leased.listing.gap()
        self.lists.stream.afresh()
