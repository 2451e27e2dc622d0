"""One running front: drives the session core on real sockets, from the start of the process to its end.

Each run of the process is called a life and has a name of its own, so a restarted front is a new life.
"""

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
from curlewshift.front.begun import StartupConfiguration
from curlewshift.front.configuration_host import ConfigurationHost
from curlewshift.front.control import Control
from curlewshift.front.followers import ListFollower, NotesFollower, server_entry_of
from curlewshift.front.http_listener import HttpListener
from curlewshift.front.server_pool import ServerPool, Session, key_digest
from curlewshift.front.session_writer import SessionWriter
from curlewshift.front.stored_state import StoredList, StoredSharing
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
# How long a front that shares budgets waits for reports from its peers before its listener opens.
PEER_LEARN_TIMEOUT_S = 1.0
# Between checks for sessions that have ended, and for certificate and key files that have changed.
SWEEP_INTERVAL_S = 1.0
# Between checks of the admission queues.
QUEUE_CHECK_INTERVAL_S = 0.05
# Between checks for servers that must be queried again during recovery.
RECOVERY_INTERVAL_S = 0.1
# Background work: how often it is checked for, and how long and how often it is deferred while requests are in progress.
BACKGROUND_POLL_INTERVAL_S = 0.05
BACKGROUND_DEFERRAL_S = 0.002
MAX_BACKGROUND_DEFERRALS = 50
# At shutdown, for the last DELETEs to be answered, and again for the last requests.
SHUTDOWN_STEP_TIMEOUT_S = 2.0


class Front:
    """The front with index `number` of the site.

    `life` is the name of this life; if empty, one is made from the front's name and the time. `state` is the folder for what
    survives a restart, `capture` one for recordings of what the session core is given and decides. With `led`, its clock and its
    path to servers can be disturbed by control commands. `core_options` go to the session core. Raises `OSError`,
    `InvalidKeySet`, `InvalidCertificate` or `FolderInUse` if a file, key, certificate or folder cannot be used.
    """

    server_pool_class = ServerPool
    peers_class = PeerSocket
    shared_class = SharingProtocol
    leased_class = LeaseTaskProtocol
    overload_class = OverloadProtocol
    configuration_host_class = ConfigurationHost
    distribution_class = DistributionProtocol

    def __init__(
        self,
        site: Site,
        number: int,
        seed: int,
        state: Path | None,
        log,
        life: str = "",
        session_core_class: type[SessionCore] = SessionCore,
        capture: Path | None = None,
        led: bool = False,
        begun: StartupConfiguration | None = None,
        **core_options,
    ):
        self.site, self.log = site, log
        self.address = site.front_addresses[number]
        self.clock = SkewedClock() if led else Clock()
        if led and self.server_pool_class is ServerPool:
            from curlewshift.front.led import FaultInjectingServerPool

            self.server_pool_class = FaultInjectingServerPool
        self.name = life or f"{self.address.name}.{self.clock.now() // 1_000_000 % 10**9}"
        self.rng = Random(seed)
        self.stored_list = StoredList(state / "list.json", log) if state else None
        # errors in these files are raised before anything listens
        self.permits = Permits(read_keys(site.token_keys.read_bytes())) if site.token_keys else None
        self.tls = ServerTls(*site.tls) if site.tls else None
        self.servers_tls = client_context(site.authority) if site.authority else None
        self.http_listener = HttpListener(site, log, self.permits)
        self.http_listener.now = self.clock.now
        self.last_token_keys = b""
        self.gate = DescriptorGate(resource.getrlimit(resource.RLIMIT_NOFILE)[0], time.monotonic)
        if site.limits is not None:
            self.http_listener.admission = Admission(
                site.limits, self.rng.getrandbits(32), self.clock.now(), self.http_listener.ticket_decided
            )
        self.wakeup_timer = WakeupTimer(self.clock, lambda: self.session_core.time())
        self.notes_scopes: dict[Server, anyio.CancelScope] = {}
        self.terms = site.terms(self.clock.now(), seed, number)
        self.calendar = Calendar(site.packages)
        self.control = None
        self.intents, self.journal = Intents(), None
        self.session_writer: SessionWriter | None = None
        self.recovery: Recovery | None = None
        if state is not None:
            # one front per folder: of two, neither would know of the other's set-ups
            self.lock = Lock(state)
            self.journal = Journal(state / "intents.log")
            if self.journal.damage:
                log.error("intents-damaged", cause=self.journal.damage)
            self._open_session_log(Journal(state / "sessions.log"))
            store = PeakStore(state / "peaks.db")
            self._restore_calendar(store)
            self.control = Control(self, state / "control", store)
        self.capture = None
        if capture is not None:
            # names sort by time, so the newest life comes last
            capture_folder = capture / f"{time.strftime('%Y%m%dT%H%M%SZ', time.gmtime())}-{self.name}"
            self.capture = CaptureWriter(capture_folder, lambda why: log.warning("capture-ended", cause=why))
            session_core_class = tapped(session_core_class, self.capture.note)
        # the session core already calls `wake` while it is being constructed
        self.session_core = session_core_class(
            self,
            self.terms,
            ServerList(site.uplinks, site.titles),
            most_waiting=site.most_waiting,
            calendar=self.calendar,
            **core_options,
        )
        self.http_listener.session_core = self.session_core
        self.peers: PeerSocket | None = None
        if site.peers is not None:
            self.peers = self.peers_class(site.name, self.address, site.peers, self.clock, log, Random(self.rng.random()))
        self.shared: SharingProtocol | None = None
        if self.peers is not None and site.sharing is not None:
            self.shared = self.shared_class(
                self.peers.channel,
                self.session_core,
                [address.name for address in site.front_addresses],
                number,
                site.sharing,
                site.together,
                site.obligations.warm_within,
                self.clock.now,
                log,
                Random(self.rng.random()),
            )
        self.stored_sharing = None
        if self.shared is not None and state is not None:
            self.stored_sharing = StoredSharing(state / "shared.json", self.shared.sharing, self.wall, log)
        self.leased: LeaseTaskProtocol | None = None
        if self.peers is not None and site.leases is not None:
            lease_settings = site.leases
            self.leased = self.leased_class(
                self.peers.channel,
                self,
                [address.name for address in site.front_addresses],
                number,
                lease_settings.keepers,
                lease_settings.terms,
                lease_settings.shards,
                lease_settings.probe_each,
                log,
                Random(self.rng.random()),
                lease_settings.tasks,
                lease_settings.orphans_after,
            )
        self.shedding: OverloadProtocol | None = None
        if site.overload is not None:
            self.shedding = self.http_listener.shedding = self.overload_class(
                self.peers.channel if self.peers is not None else None,
                self,
                self.address.name,
                frozenset(address.name for address in site.front_addresses),
                site.overload,
                log,
                Random(self.rng.random()),
            )
        self.configured: ConfigurationHost | None = None
        if self.peers is not None and site.configuration is not None:
            self.configured = self.configuration_host_class(self, begun or StartupConfiguration(Path("site.xml"), site), state)
            self.configured.wire = self.distribution_class(
                self.peers.channel,
                self.configured,
                self.address.name,
                locations_of(site),
                distribution_of(site),
                lambda: 0,
                self.clock,
                log,
                Random(self.rng.random()),
                self.configured.startup.copy,
                None,
            )
        self.background = Background(self.clock.now(), time.monotonic_ns, self._log_overrun)
        if self.http_listener.admission is not None:
            self.background.add(
                "lines",
                lambda: self.http_listener.admission.tick(self.now()),
                self.clock.now(),
                priority=0,
                every=int(QUEUE_CHECK_INTERVAL_S * NS),
            )
        for name, work in (("sweep", self.http_listener.sweep), ("renew", self._start_credential_reload)):
            self.background.add(name, work, self.clock.now() + int(SWEEP_INTERVAL_S * NS), every=int(SWEEP_INTERVAL_S * NS))

    def _open_session_log(self, journal: Journal) -> None:
        if journal.damage:
            self.log.error("sessions-damaged", cause=journal.damage)
        registry = SessionRegistry()
        registry.restore(journal.records)
        journal.records = []
        self.session_writer = self.http_listener.sessions.session_writer = SessionWriter(registry, journal, self.log)

    def _recover(self) -> None:
        """Starts the recovery of what earlier lives left; call before the listener opens.

        Sessions take precedence over interrupted set-ups: if a key's session plays, the outcome of its set-up is known.
        """
        if self.session_writer is None:
            return
        intents = self.intents.restore(self.journal.records, self.wall())
        self.journal.records = []
        for intent in intents:
            self.log.info(
                "interrupted", package=intent.package, server=intent.server, cause="the set-up may have run at the server"
            )
        self.recovery = recovery_of(self, self.session_core, self.name, self.session_writer.registry, intents, key_digest)
        self.recovery.begin()
        if not self.recovery.finished:
            self.recovering = self.background.add(
                "recover", self._continue_recovery, self.now(), every=int(RECOVERY_INTERVAL_S * NS)
            )

    def _continue_recovery(self) -> None:
        recovery = self.recovery
        recovery.time()
        if recovery.finished:
            self.background.cancel(self.recovering)
            self.log.info(
                "recovered",
                kept=recovery.kept,
                found=recovery.found,
                ended=recovery.ended,
                orphans=recovery.orphans,
                given_up=recovery.given_up,
                silent=[server.name for server in recovery.silent],
                after_ms=(self.now() - recovery.began) // 1_000_000,
            )

    # ---- the driver of recovery, see curlewshift/recovery/recovery.py

    def ask_sessions(self, server: Server) -> None:
        self.server_pool.ask_sessions(server, self.recovery)

    def adopt(self, server: Server, paths: list[str]) -> None:
        self.server_pool.adopt(server, paths, self.recovery)

    def resume(self, stored: StoredSession, server: Server) -> FrontSession:
        session = Session(stored.path, stored.answer, stored.etag, stored.ufrag)
        front_session = self.session_core.handed_over(
            stored.package,
            stored.title,
            stored.ceiling,
            server,
            session,
            stored.rung,
            stored.key,
            Offer(stored.offer, protocol=stored.protocol, ufrag=stored.ufrag),
        )
        self.http_listener.sessions.restore(front_session, stored.token, stored.holder)
        return front_session

    def session_of(self, found: ListedSession, doubt: InterruptedSetup | None) -> Session:
        return Session(found.path, found.answer, found.etag)

    def ended_before_resume(self, stored: StoredSession) -> None:
        self.session_writer.ended(stored.token)

    def _restore_calendar(self, store: PeakStore) -> None:
        """Restores the announced peaks; those that have ended or do not fit the present settings are logged and skipped."""
        if store.damage:
            self.log.error("calendar-damaged", cause=store.damage)
        for peak in store.read():
            try:
                self.calendar.announce(peak, self.wall())
            except InvalidPeak as error:
                self.log.warning("peak-left-out", peak=peak.name, cause=str(error))

    async def run(self, on_ready=None) -> None:
        """Serves until a signal ends it. `on_ready` is called once the listener is open."""
        try:
            await self._run(on_ready)
        finally:
            with anyio.CancelScope(shield=True):
                await self.server_pool.close()
                if self.journal is not None:
                    await anyio.to_thread.run_sync(self.session_writer.close)
                    self.journal.close()
                    self.lock.release()
                if self.capture is not None:
                    await anyio.to_thread.run_sync(self.capture.close)

    async def _run(self, on_ready) -> None:
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
            if self.stored_list is not None:
                rows = [server_entry_of(row) for row in self.stored_list.read()]
                if rows:
                    self.log.info("list", what="kept", servers=len(rows))
                    self.session_core.list_full("", -1, rows, stale=True)
            self.lists = ListFollower(
                self.session_core,
                *self.site.list_at,
                self.name,
                self.stored_list,
                Random(self.rng.random()),
                self.log,
                self._follow_servers,
            )
            if self.leased is not None:
                self.lists.on_update = self.leased.listing.read
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
                if self.stored_sharing is not None:
                    self.log.info("shared-kept", rows=self.stored_sharing.read())
                    tasks.start_soon(self.stored_sharing.run)
                tasks.start_soon(self.shared.run)
                await self.shared.learn(PEER_LEARN_TIMEOUT_S)
            if self.leased is not None:
                tasks.start_soon(self.leased.run)
            if self.shedding is not None:
                tasks.start_soon(self.shedding.run)
            listener = await anyio.create_tcp_listener(local_host=self.address.host, local_port=self.address.port, backlog=1024)
            tasks.start_soon(self._signals)
            tasks.start_soon(self.wakeup_timer.run)
            tasks.start_soon(self._run_background)
            tasks.start_soon(self.lists.run)
            if self.stored_list is not None:
                tasks.start_soon(self.stored_list.run)
            self.listener = listener.listeners[0]
            tasks.start_soon(
                serve,
                self.listener,
                self.http_listener.serve,
                self._connection_fault,
                tasks,
                self.tls.context if self.tls else None,
                self.gate,
            )
            self.log.info("open", front=self.address.name, port=self.address.port)
            if on_ready is not None:
                on_ready()

    # ---- the life of the process

    async def _signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for received in signals:
                self.log.info("drain", cause=signal.Signals(received).name, waiting=self.session_core.waiting)
                await self.shut_down()
                return

    async def shut_down(self) -> None:
        """Refuses new requests with advice when to retry, answers the pending ones, ends all sessions, and stops."""
        self.session_core.drain()
        max_patience = max(package.patience for package in self.site.packages) / NS
        with anyio.move_on_after(max_patience + 1):
            while self.session_core.waiting:
                await anyio.sleep(0.02)
        if self.leased is not None:
            self.leased.leave()
        if self.peers is not None:
            await self.peers.leave()
        await anyio.sleep(0.05)
        for front_session in list(self.session_core.front_sessions.values()):
            self.session_core.closed(front_session)
        self.http_listener.sweep()
        with anyio.move_on_after(SHUTDOWN_STEP_TIMEOUT_S):
            while len(self.session_core.session_ends):
                await anyio.sleep(0.02)
        # Closed well before the process exits: the kernel now refuses new connections at once instead of resetting them
        # later, and requests that were accepted are still answered.
        await self.listener.aclose()
        with anyio.move_on_after(SHUTDOWN_STEP_TIMEOUT_S):
            while self.http_listener.busy:
                await anyio.sleep(0.01)
        self.log.info("ended", cause="drained")
        self.tasks.cancel_scope.cancel()

    def _connection_fault(self, fault: Exception) -> None:
        self.log.error("door-fault", cause=repr(fault), exc_info=fault)

    async def _run_background(self) -> None:
        """Runs background work in slices between turns of the event loop. While requests are in progress a slice is deferred, at
        most `MAX_BACKGROUND_DEFERRALS` times."""
        deferrals = 0
        while True:
            now = self.now()
            at = self.background.next_run(now)
            if at is None or at > now:
                await anyio.sleep(
                    min(BACKGROUND_POLL_INTERVAL_S, (at - now) / NS) if at is not None else BACKGROUND_POLL_INTERVAL_S
                )
            elif self.http_listener.busy and deferrals < MAX_BACKGROUND_DEFERRALS:
                deferrals += 1
                await anyio.sleep(BACKGROUND_DEFERRAL_S)
            else:
                deferrals = 0
                try:
                    self.background.run(now)
                except Exception as fault:
                    self.log.error("fault", what="background work", cause=repr(fault), exc_info=fault)
                await anyio.sleep(0.001)

    def _log_overrun(self, job: Job, cost: int) -> None:
        self.log.info("overran", job=job.name, took_ms=round(cost / 1e6, 1), times=job.overran)

    def _start_credential_reload(self) -> None:
        self.tasks.start_soon(anyio.to_thread.run_sync, self._reload_credentials)

    def _reload_credentials(self) -> None:
        """Loads token keys and certificates that have changed; invalid files are logged and change nothing."""
        if self.tls is not None and self.tls.changed():
            try:
                self.tls.load()
                self.log.info("renewed", what="certificate")
            except InvalidCertificate as error:
                self.log.warning("not-renewed", what="certificate", cause=str(error))
        if self.permits is not None:
            try:
                raw = self.site.token_keys.read_bytes()
                if raw != self.last_token_keys:
                    added, removed = self.permits.replace(read_keys(raw))
                    self.last_token_keys = raw
                    self.log.info("renewed", what="keys", came=sorted(added), went=sorted(removed))
            except (OSError, InvalidKeySet) as error:
                self.log.warning("not-renewed", what="keys", cause=str(error))

    # ---- the notes of the listed servers

    def _follow_servers(self) -> None:
        if self.recovery is not None:
            self.recovery.list_changed()
        listed_servers = self.session_core.server_list.shelf_of
        for server in listed_servers:
            if server not in self.notes_scopes:
                scope = self.notes_scopes[server] = anyio.CancelScope()
                self.tasks.start_soon(self._follow, server, scope)
        for server in [server for server in self.notes_scopes if server not in listed_servers]:
            self.notes_scopes.pop(server).cancel()
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
            self.session_writer.boot if self.session_writer is not None else None,
        )
        with scope:
            while True:
                try:
                    await follower.run()
                except Exception as fault:
                    # an unexpected error in the notes of one server must not end the front
                    self.log.error("fault", server=server.name, cause=repr(fault), exc_info=fault)
                    await anyio.sleep(SWEEP_INTERVAL_S)

    def _front_session_of(self, server: Server, path: str) -> FrontSession | None:
        for viewing in server.link.playing:
            front_session = self.session_core.front_sessions[viewing]
            if front_session.session.path == path:
                return front_session
        return None

    # ---- the driver of the session core, see curlewshift/session_core/driver.py

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
        if self.shedding is not None:
            self.shedding.tune_in(tune_in)
        self.server_pool.tune_in(tune_in)

    def withdraw(self, tune_in: TuneIn) -> bool:
        self.log.info(
            "withdrawn", viewing=tune_in.front_session.viewing.name, server=tune_in.server.name, cause="its time-out has passed"
        )
        return self.server_pool.withdraw(tune_in)

    def tell(self, command: ServerCommand) -> None:
        viewing = command.front_session.viewing
        if command.rung is not None:
            self.log.info("rung", viewing=viewing.name, server=viewing.server.name, rung=command.rung)
            self.http_listener.rung_changed(command.front_session, command.rung)
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
        if self.shedding is not None:
            self.shedding.answered(request, answer)
        viewing = request.front_session.viewing.name if request.front_session is not None else 0
        server_field = (
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
            **server_field,
        )
        self.http_listener.answer(request, answer)

    def whole_list(self) -> None:
        self.log.info("list-gap")
        if self.leased is not None:
            self.leased.listing.gap()
        self.lists.stream.restart()
