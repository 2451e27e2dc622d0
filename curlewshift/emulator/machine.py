"""A media server in virtual time: what curlewshift/standins/server.py is on sockets, with the same figures.

Set-ups take a core for their work, longer while the machine is cold; links and uplinks are shared as in
curlewshift/standins/physics.py; reports are late and noisy; and it goes wrong in the same ways.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from curlewshift.standins.physics import LinkModel, as_of, falls_over, warmth
from curlewshift.standins.server import FRONT_WITHIN, MOST_QUEUED, NOISE, SHORT_UNDER, WATCHED_WITHIN, front_of

NS = 1_000_000_000
MS = 1_000_000
# Reports are kept so long, to be told late.
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
    truth: float
    mark: str = ""
    server: object = None
    watcher: object = None
    unwatched_since: int = 0
    short: int = 0
    over: bool = False


@dataclass(eq=False, slots=True)
class SetUp:
    """One tune-in as its server sees it. `answer(how, session)` goes back over the network; `gone` is set once the
    server sees that nobody waits."""

    life: str
    request: str
    number: int
    package: str
    title: str
    rung: int
    mark: str
    answer: object
    gone: bool = False
    over: bool = False
    session: Session | None = None
    facts: dict = field(default_factory=dict)


class Machine:
    """One life of one server."""

    def __init__(self, world, machine, name: str, link: LinkModel, born: int, rng):
        self.world, self.machine, self.name, self.link, self.born, self.rng = world, machine, name, link, born, rng
        self.obligations = world.site.obligations
        self.boot = f"{rng.getrandbits(32):08x}"
        self.sessions: dict[str, Session] = {}
        self.by_life: Counter = Counter()
        self.free_cores = machine.cores
        self.waiting: deque[SetUp] = deque()
        self.at_work: set[SetUp] = set()
        self.arrivals: deque[int] = deque()
        self.report = (0.0, 0.0)
        self.history: deque[tuple[int, float, float, float]] = deque(maxlen=HISTORY)
        self.draining = self.fails_fast = self.frozen = self.dead = False
        self.loses_answers = ""
        self.notes_late = 0.0
        self.held: list = []
        # lives that were told of short delivery and not yet of its end
        self.told_short: set[str] = set()
        self.names = 0
        world.seen("boot", server=name, boot=self.boot, streams=machine.streams, born=born)

    # ---- its life

    def die(self) -> None:
        """At once, with a reset to everyone."""
        if self.dead:
            return
        self.dead = True
        self.world.seen("dead", server=self.name, boot=self.boot, playing=len(self.sessions))
        for setup in [*self.at_work, *self.waiting, *(held for held in self.held if isinstance(held, SetUp))]:
            self._over(setup, "dropped")
            setup.answer("broken", None)
        self.waiting.clear()
        self.held = []
        for session in list(self.sessions.values()):
            session.over = True
            self.world.media_broke(session)
        self.sessions.clear()
        self.by_life.clear()
        self.link.asked = 0.0

    def freeze(self) -> None:
        self.frozen = True
        self.world.seen("froze", server=self.name, boot=self.boot)

    def thaw(self) -> None:
        self.frozen = False
        self.world.seen("thawed", server=self.name, boot=self.boot)
        held, self.held = self.held, []
        for one in held:
            if isinstance(one, SetUp):
                self._begin(one)
            else:
                call, args = one
                call(*args)

    def when_thawed(self, call, *args) -> None:
        """Now, or once it goes on; never, if it dies first."""
        if self.frozen:
            self.held.append((call, args))
        elif not self.dead:
            call(*args)

    # ---- set-ups

    def asked(self, setup: SetUp) -> None:
        setup.facts = dict(server=self.name, boot=self.boot, front=setup.life, request=setup.request, number=setup.number)
        self.world.seen("setup", package=setup.package, title=setup.title, rung=setup.rung, **setup.facts)
        if falls_over(self.arrivals, self.world.queue.now, self.born, self.machine.streams, self.obligations):
            # it falls over, and what is in work with it
            self.held.append(setup)
            self.world.seen("fell-over", server=self.name, boot=self.boot)
            self.world.fell(self)
        elif self.frozen:
            self.held.append(setup)
        else:
            self._begin(setup)

    def hung_up(self, setup: SetUp) -> None:
        """It sees that nobody waits for the answer."""
        setup.gone = True
        self._over(setup, "gone")

    def _over(self, setup: SetUp, how: str) -> None:
        if not setup.over:
            setup.over = True
            self.world.seen("setup-over", how=how, **setup.facts)

    def _begin(self, setup: SetUp) -> None:
        if setup.gone:
            return
        if (
            self.draining
            or len(self.sessions) + len(self.at_work) + len(self.waiting) >= self.machine.streams
            or (len(self.at_work) + len(self.waiting) >= MOST_QUEUED)
        ):
            self._over(setup, "turned-away")
            setup.answer("full", None)
        elif self.fails_fast:
            self._over(setup, "error")
            setup.answer("error", None)
        else:
            self.waiting.append(setup)
            self._work()

    def _work(self) -> None:
        while self.free_cores and self.waiting:
            setup = self.waiting.popleft()
            self.free_cores -= 1
            self.at_work.add(setup)
            self.world.seen("ran", **setup.facts)
            age = self.world.queue.now - self.born
            pace = warmth(age, self.obligations.warm_within, self.obligations.start_capacity)
            self.world.queue.at(self.world.queue.now + int(self.world.setup_work * NS / pace), self._worked, setup)

    def _worked(self, setup: SetUp) -> None:
        if self.dead:
            return
        self.free_cores += 1
        self.at_work.discard(setup)
        self._work()
        self.when_thawed(self._made, setup)

    def _made(self, setup: SetUp) -> None:
        if self.loses_answers:
            if self.loses_answers == "reset":
                self._over(setup, "dropped")
                setup.answer("broken", None)
            # or by silence, until the other side has enough
            return
        if setup.gone:
            return
        self.names += 1
        rate = self.world.ladder[setup.package][setup.rung]
        session = setup.session = Session(
            f"/session/{self.boot}{self.names}",
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
        self.link.asked += rate * session.truth
        self.world.seen("session", session=session.path, package=setup.package, title=setup.title, rung=setup.rung, **setup.facts)
        self._over(setup, "answered")
        setup.answer("plays", session)

    # ---- sessions

    def layer(self, path: str, rung: int) -> bool:
        session = self.sessions.get(path)
        if session is None:
            return False
        rate = self.world.ladder[session.package][rung]
        self.link.asked += (rate - session.rate) * session.truth
        session.rung, session.rate = rung, rate
        self.world.seen("layer", server=self.name, session=path, rung=rung, front=session.life, package=session.package)
        return True

    def end(self, path: str, why: str, tell: bool = True) -> None:
        session = self.sessions.pop(path, None)
        if session is None:
            return
        session.over = True
        self.by_life[session.life] -= 1
        if not self.by_life[session.life]:
            del self.by_life[session.life]
        self.link.asked = max(0.0, self.link.asked - session.rate * session.truth)
        self.world.seen("session-end", server=self.name, boot=self.boot, session=path, why=why)
        if tell:
            self.world.ended_note(self, session)
        self.world.media_broke(session)

    def adopt(self, paths: list[str], life: str) -> list[str]:
        taken = []
        for path in paths:
            session = self.sessions.get(path)
            if session is not None and front_of(session.life) == front_of(life):
                self.world.seen(
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
                taken.append(path)
        return taken

    # ---- what it measures

    def measure(self) -> None:
        now = self.world.queue.now
        uplink = self.link.uplink.asked() / self.link.uplink.size
        self.history.append((now, self.link.use(), uplink, self.link.share()))
        noise = self.rng.uniform(1 - NOISE, 1 + NOISE)
        self.report = (self.link.use() * noise, uplink * noise)
        if self.frozen:
            return
        for session in list(self.sessions.values()) if self.names else ():
            if session.watcher is None and now - session.unwatched_since > WATCHED_WITHIN * NS:
                self.end(session.path, "nobody watches")
            elif now - self.world.heard_of(session.life) > FRONT_WITHIN * NS:
                self.end(session.path, "its front is gone")

    def then(self) -> tuple[int, float, float, float]:
        """How it was as long ago as notes are late."""
        return as_of(self.history, self.world.queue.now - self.obligations.told_late - int(self.notes_late * NS))

    def short(self) -> bool:
        return self.then()[3] < SHORT_UNDER
