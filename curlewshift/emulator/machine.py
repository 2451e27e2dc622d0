"""A media server in virtual time: the counterpart of curlewshift/standins/server.py, with the same parameters and faults.

A set-up occupies a core, for longer while the machine is cold. Links and uplinks are shared as in
curlewshift/standins/physics.py; load reports are delayed and noisy. Times are in ns. A life is one run of a front's process.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from curlewshift.standins.physics import LinkModel, as_of, falls_over, warmth
from curlewshift.standins.server import FRONT_WITHIN, MOST_QUEUED, NOISE, SHORT_UNDER, WATCHED_WITHIN, front_of

NS = 1_000_000_000
MS = 1_000_000
# Number of measurements kept, from which delayed reports are taken.
HISTORY = 12


@dataclass(eq=False, slots=True)
class Session:
    path: str
    life: str
    request: str
    package: str
    title: str
    rung: int
    rate: float
    rate_factor: float
    mark: str = ""
    server: object = None
    watcher: object = None
    unwatched_since: int = 0
    short_count: int = 0
    ended: bool = False


@dataclass(eq=False, slots=True)
class SetUp:
    """A tune-in as seen by its server. `answer(status, session)` replies over the network; `gone` is set once the server has
    noticed that the front closed the connection."""

    life: str
    request: str
    number: int
    package: str
    title: str
    rung: int
    mark: str
    answer: object
    gone: bool = False
    ended: bool = False
    session: Session | None = None
    event_fields: dict = field(default_factory=dict)


class Machine:
    """One boot of a server."""

    def __init__(self, world, machine, name: str, link: LinkModel, started_at: int, rng):
        self.world, self.machine, self.name, self.link, self.started_at, self.rng = world, machine, name, link, started_at, rng
        self.obligations = world.site.obligations
        self.boot = f"{rng.getrandbits(32):08x}"
        self.sessions: dict[str, Session] = {}
        self.by_life: Counter = Counter()
        self.free_cores = machine.cores
        self.waiting: deque[SetUp] = deque()
        self.in_progress: set[SetUp] = set()
        self.arrivals: deque[int] = deque()
        self.report = (0.0, 0.0)
        self.history: deque[tuple[int, float, float, float]] = deque(maxlen=HISTORY)
        self.draining = self.fails_fast = self.frozen = self.dead = False
        self.loses_answers = ""
        self.notes_late = 0.0
        self.deferred: list = []
        # lives notified of short delivery and not yet of its end
        self.notified_short: set[str] = set()
        self.last_session_number = 0
        world.record_event("boot", server=name, boot=self.boot, streams=machine.streams, born=started_at)

    # ---- start and failure

    def die(self) -> None:
        """Stops at once; all connections are reset."""
        if self.dead:
            return
        self.dead = True
        self.world.record_event("dead", server=self.name, boot=self.boot, playing=len(self.sessions))
        for setup in [*self.in_progress, *self.waiting, *(entry for entry in self.deferred if isinstance(entry, SetUp))]:
            self._setup_ended(setup, "dropped")
            setup.answer("broken", None)
        self.waiting.clear()
        self.deferred = []
        for session in list(self.sessions.values()):
            session.ended = True
            self.world.media_broke(session)
        self.sessions.clear()
        self.by_life.clear()
        self.link.asked = 0.0

    def freeze(self) -> None:
        self.frozen = True
        self.world.record_event("froze", server=self.name, boot=self.boot)

    def thaw(self) -> None:
        self.frozen = False
        self.world.record_event("thawed", server=self.name, boot=self.boot)
        entries, self.deferred = self.deferred, []
        for entry in entries:
            if isinstance(entry, SetUp):
                self._begin(entry)
            else:
                call, args = entry
                call(*args)

    def when_thawed(self, call, *args) -> None:
        """Runs `call` now, or after the end of a freeze; never if the server dies first."""
        if self.frozen:
            self.deferred.append((call, args))
        elif not self.dead:
            call(*args)

    # ---- set-ups

    def receive(self, setup: SetUp) -> None:
        setup.event_fields = dict(server=self.name, boot=self.boot, front=setup.life, request=setup.request, number=setup.number)
        self.world.record_event("setup", package=setup.package, title=setup.title, rung=setup.rung, **setup.event_fields)
        if falls_over(self.arrivals, self.world.queue.now, self.started_at, self.machine.streams, self.obligations):
            # too many set-ups: the server crashes, with all set-ups in progress
            self.deferred.append(setup)
            self.world.record_event("fell-over", server=self.name, boot=self.boot)
            self.world.fell_over(self)
        elif self.frozen:
            self.deferred.append(setup)
        else:
            self._begin(setup)

    def hung_up(self, setup: SetUp) -> None:
        """The connection was closed; nobody waits for the answer any more."""
        setup.gone = True
        self._setup_ended(setup, "gone")

    def _setup_ended(self, setup: SetUp, outcome: str) -> None:
        if not setup.ended:
            setup.ended = True
            self.world.record_event("setup-over", how=outcome, **setup.event_fields)

    def _begin(self, setup: SetUp) -> None:
        if setup.gone:
            return
        if (
            self.draining
            or len(self.sessions) + len(self.in_progress) + len(self.waiting) >= self.machine.streams
            or (len(self.in_progress) + len(self.waiting) >= MOST_QUEUED)
        ):
            self._setup_ended(setup, "turned-away")
            setup.answer("full", None)
        elif self.fails_fast:
            self._setup_ended(setup, "error")
            setup.answer("error", None)
        else:
            self.waiting.append(setup)
            self._work()

    def _work(self) -> None:
        while self.free_cores and self.waiting:
            setup = self.waiting.popleft()
            self.free_cores -= 1
            self.in_progress.add(setup)
            self.world.record_event("ran", **setup.event_fields)
            age = self.world.queue.now - self.started_at
            pace = warmth(age, self.obligations.warm_within, self.obligations.start_capacity)
            self.world.queue.at(self.world.queue.now + int(self.world.setup_work * NS / pace), self._work_done, setup)

    def _work_done(self, setup: SetUp) -> None:
        if self.dead:
            return
        self.free_cores += 1
        self.in_progress.discard(setup)
        self._work()
        self.when_thawed(self._finish, setup)

    def _finish(self, setup: SetUp) -> None:
        if self.loses_answers:
            if self.loses_answers == "reset":
                self._setup_ended(setup, "dropped")
                setup.answer("broken", None)
            # otherwise the answer is lost silently, until the front's time-out
            return
        if setup.gone:
            return
        self.last_session_number += 1
        rate = self.world.ladder[setup.package][setup.rung]
        session = setup.session = Session(
            f"/session/{self.boot}{self.last_session_number}",
            setup.life,
            setup.request,
            setup.package,
            setup.title,
            setup.rung,
            rate,
            self.rng.uniform(0.88, 1.12),
            setup.mark,
            self,
            unwatched_since=self.world.queue.now,
        )
        self.sessions[session.path] = session
        self.by_life[setup.life] += 1
        self.link.asked += rate * session.rate_factor
        self.world.record_event(
            "session", session=session.path, package=setup.package, title=setup.title, rung=setup.rung, **setup.event_fields
        )
        self._setup_ended(setup, "answered")
        setup.answer("plays", session)

    # ---- sessions

    def layer(self, path: str, rung: int) -> bool:
        session = self.sessions.get(path)
        if session is None:
            return False
        rate = self.world.ladder[session.package][rung]
        self.link.asked += (rate - session.rate) * session.rate_factor
        session.rung, session.rate = rung, rate
        self.world.record_event("layer", server=self.name, session=path, rung=rung, front=session.life, package=session.package)
        return True

    def end(self, path: str, why: str, tell: bool = True) -> None:
        session = self.sessions.pop(path, None)
        if session is None:
            return
        session.ended = True
        self.by_life[session.life] -= 1
        if not self.by_life[session.life]:
            del self.by_life[session.life]
        self.link.asked = max(0.0, self.link.asked - session.rate * session.rate_factor)
        self.world.record_event("session-end", server=self.name, boot=self.boot, session=path, why=why)
        if tell:
            self.world.ended_note(self, session)
        self.world.media_broke(session)

    def adopt(self, paths: list[str], life: str) -> list[str]:
        adopted = []
        for path in paths:
            session = self.sessions.get(path)
            if session is not None and front_of(session.life) == front_of(life):
                self.world.record_event(
                    "adopted",
                    server=self.name,
                    boot=self.boot,
                    session=path,
                    front=life,
                    before=session.life,
                    package=session.package,
                    title=session.title,
                )
                self.by_life[session.life] -= 1
                session.life = life
                self.by_life[life] += 1
                adopted.append(path)
        return adopted

    # ---- measurements

    def measure(self) -> None:
        """Takes a measurement for later reports, and ends sessions without a viewer or without a front."""
        now = self.world.queue.now
        uplink = self.link.uplink.asked() / self.link.uplink.size
        self.history.append((now, self.link.use(), uplink, self.link.share()))
        noise = self.rng.uniform(1 - NOISE, 1 + NOISE)
        self.report = (self.link.use() * noise, uplink * noise)
        if self.frozen:
            return
        for session in list(self.sessions.values()) if self.last_session_number else ():
            if session.watcher is None and now - session.unwatched_since > WATCHED_WITHIN * NS:
                self.end(session.path, "nobody watches")
            elif now - self.world.last_seen_at(session.life) > FRONT_WITHIN * NS:
                self.end(session.path, "its front is gone")

    def delayed_measurement(self) -> tuple[int, float, float, float]:
        """The measurement (time, link use, uplink use, delivered share) as old as the delay of the notifications."""
        return as_of(self.history, self.world.queue.now - self.obligations.told_late - int(self.notes_late * NS))

    def is_short(self) -> bool:
        return self.delayed_measurement()[3] < SHORT_UNDER
