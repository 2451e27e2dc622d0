"""The model for viewings: two media servers, clients that request one title, and a front that may be killed and restarted.

The front runs the program's own `session_core/`, `rules.py`, `state/`, `recovery/` and `retries/`; only its sockets are
replaced. The model of sockets and servers does nothing by itself: `choices` lists every event that is possible next, and `do`
runs one of them. Whether the rules hold is judged from what is visible outside the front.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from curlewshift.model import Outcome, Package, Terms
from curlewshift.recovery.recovery import InterruptedSetup, ListedSession, recovery_of
from curlewshift.session_core.front_session import Answer, AnswerKind, Request, TuneIn
from curlewshift.session_core.offer import Offer
from curlewshift.session_core.server_commands import Result
from curlewshift.session_core.server_list import ServerEntry, ServerList
from curlewshift.session_core.session_core import SessionCore
from curlewshift.state.intents import Intents, intent_of
from curlewshift.state.session_registry import SessionRegistry, StoredSession, to_stored_session
from curlewshift.state.setting_up import SEND, setting_up

SECOND = 1_000_000_000
START_TIME = 1000 * SECOND
SERVERS = ("s1", "s2")
# A step of time ends as soon as it has an effect, and after this at the latest.
MAX_TIME_STEP = 5 * SECOND
# After so long without further faults, everything that is outstanding must have ended.
SETTLE_TIME = 60 * SECOND


def request_tag_of(key: str) -> str:
    """The tag by which servers know the paid request with this key."""
    return f"m {key}"


class RuleViolated(Exception):
    """A rule is broken; the text says which (by number) and how."""


@dataclass(eq=False, slots=True)
class Session:
    """A session at a media server. `life` is the run of the front that owns it (a restart is a new life), `request_tag` that of
    the paid request it was set up for (empty for others)."""

    path: str
    life: str
    request_tag: str
    client: str
    rung: int
    # Set up after the life that had requested it ended. No front can learn of it in time; its server ends it, as it was
    # reported to nobody and nobody watches it.
    too_late: bool = False


@dataclass(eq=False, slots=True)
class MediaServer:
    """One media server. `boot` counts its restarts."""

    name: str
    boot: int = 0
    sessions: dict[str, Session] = field(default_factory=dict)
    draining: bool = False


@dataclass(eq=False, slots=True)
class Attempt:
    """One tune-in under way (an attempt to set up a session at one server). `stage`: write (its intent is being written), sent,
    ran (the server has set up `session`), over. `abandoned`: the front no longer waits for its answer."""

    tune_in: TuneIn
    life: str
    client: str
    steps: object
    boot: int
    stage: str = "write"
    record: list | None = None
    session: Session | None = None
    abandoned: bool = False
    never_ran: bool = False


@dataclass(eq=False, slots=True)
class Client:
    """`lives` are the names of the front's lives that received the requests, in the same order."""

    name: str
    key: str
    requests: list[Request] = field(default_factory=list)
    lives: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Budgets:
    """How often each fault or event may occur in one trace."""

    kills: int = 1
    retries: int = 2
    hang_ups: int = 1
    losses: int = 1
    refusals: int = 1
    failed_writes: int = 1
    server_crashes: int = 1
    drains: int = 1
    time_steps: int = 3


class Front:
    """One life of the front: everything that a kill discards."""

    def __init__(self, world: World, number: int):
        self.world, self.name = world, f"f.{number}"
        self.wake_at: int | None = None
        self.book, self.intents = SessionRegistry(), Intents()
        self.tokens: dict[object, str] = {}
        package = world.package
        terms = Terms(
            now=world.clock,
            seed=1,
            me=0,
            fronts=1,
            packages=[package],
            racks_told=True,
            told_late=SECOND // 2,
            max_tune_ins=3,
            probes=False,
            longest_wait=SECOND,
            warm_within=10 * SECOND,
            start_capacity=0.5,
            fall_multiple=2.0,
            fall_within=SECOND,
            free_further=None,
            further_share=0.0,
            look_back=0,
        )
        self.session_core = world.session_core_class(self, terms, ServerList({"r": 1e9}, {"t": SERVERS}))
        rows = [
            ServerEntry(
                media_server.name, "drain" if media_server.draining else "on", SECOND, "z", "r", 1e6, 50, media_server.name
            )
            for media_server in world.media_servers.values()
        ]
        self.session_core.list_full("e", 0, rows, stale=number > 1)
        self.generation = 0
        self.book.restore(world.book_log)
        intents = self.intents.restore(world.intents_log, world.clock)
        self.recovery = recovery_of(self, self.session_core, self.name, self.book, intents, request_tag_of)
        self.recovery.begin()

    # ---- the session core's driver

    def now(self) -> int:
        return self.world.clock

    wall = now

    def wake(self, at: int) -> None:
        self.wake_at = at if self.wake_at is None else min(at, self.wake_at)

    def tune_in(self, tune_in: TuneIn) -> None:
        self.world.send_tune_in(self, tune_in)

    def withdraw(self, tune_in: TuneIn) -> bool:
        attempt = next(attempt for attempt in self.world.attempts if attempt.tune_in is tune_in)
        if attempt.stage == "write":
            attempt.stage, attempt.never_ran = "over", True
            return False
        attempt.abandoned = True
        return True

    def tell(self, command) -> None:
        self.world.commands.append((self.name, command))

    def end_session(self, session_end) -> None:
        self.world.session_ends.append((self.name, session_end))

    def probe(self, server) -> None:
        raise AssertionError("probes are off in this model")

    def answer(self, request: Request, answer: Answer) -> None:
        self.world.on_answer(self, request, answer)

    def whole_list(self) -> None:
        raise AssertionError("the server list of this model has no gaps")

    # ---- the recovery's driver

    def ask_sessions(self, server) -> None:
        self.world.queries.append((self.name, "list", server, ()))

    def adopt(self, server, paths: list[str]) -> None:
        self.world.queries.append((self.name, "adopt", server, tuple(paths)))

    def resume(self, stored: StoredSession, server):
        front_session = self.session_core.handed_over(
            stored.package, stored.title, stored.ceiling, server, stored.path, stored.rung, stored.key, Offer(stored.offer)
        )
        self.tokens[front_session] = stored.token
        return front_session

    def session_of(self, found: ListedSession, doubt: InterruptedSetup | None) -> str:
        return found.path

    def ended_before_resume(self, stored: StoredSession) -> None:
        self.world.write("book", self.book.ended(stored.token))


class World:
    """`session_core_class` and `steps` are for planting faults. With `paid` the package of the clients is paid at set-up; `seats`
    is the number of seats (concurrent viewings) of the title in this package, 0 for no limit."""

    def __init__(
        self,
        limits: Budgets,
        paid: bool = True,
        seats: int = 0,
        clients: int = 1,
        session_core_class=SessionCore,
        steps=setting_up,
    ):
        self.limits, self.session_core_class, self.steps = limits, session_core_class, steps
        self.package = Package("p", 1.0, 4 * SECOND, 6 * SECOND, paid, (100.0, 200.0), 0, 1, seats)
        self.clock = START_TIME
        self.media_servers = {name: MediaServer(name) for name in SERVERS}
        self.book_log: list[list] = []
        self.intents_log: list[list] = []
        # records that were written and are perhaps not on the disk yet: (file, record)
        self.unflushed: list[tuple[str, list]] = []
        self.attempts: list[Attempt] = []
        self.session_ends: list[tuple[str, object]] = []
        self.commands: list[tuple[str, object]] = []
        self.queries: list[tuple[str, str, object, tuple]] = []
        self.answers: dict[Request, Answer] = {}
        self.reported_failed: set[tuple[str, str]] = set()
        self.lives = self.paths = 0
        self.front: Front | None = None
        self.clients = [Client(f"c{number}", f"k{number}") for number in range(1, clients + 1)]
        self.start()
        for client in self.clients:
            self.send_request(client)

    # ---- acts of the front

    def send_tune_in(self, front: Front, tune_in: TuneIn) -> None:
        front_session = tune_in.front_session
        if any(
            attempt.life == front.name
            and attempt.tune_in.front_session is front_session
            and attempt.stage != "over"
            and not attempt.abandoned
            for attempt in self.attempts
        ):
            raise RuleViolated("2: two tune-ins of one viewing are outstanding")
        client = next(client.name for client in self.clients if client.key == front_session.held.key)
        attempt = Attempt(
            tune_in,
            front.name,
            client,
            self.steps(front.session_core, tune_in, front.intents, intent_of(tune_in, front_session.viewing.expires)),
            self.media_servers[tune_in.server.name].boot,
        )
        self.attempts.append(attempt)
        self._step(attempt, None)

    def _step(self, attempt: Attempt, written: bool | None) -> None:
        """Runs the set-up to its next step. `written`: whether the record of the last one was kept; None at the beginning."""
        try:
            action, attempt.record = attempt.steps.send(written)
        except StopIteration as ended:
            if ended.value is not None:
                attempt.stage, attempt.never_ran = "over", True
                self._report_failure(attempt, ended.value)
            return
        if action == SEND:
            self._sent(attempt)

    def _sent(self, attempt: Attempt) -> None:
        media_server, key = self.media_servers[attempt.tune_in.server.name], attempt.tune_in.front_session.held.key
        if media_server.draining:
            raise RuleViolated(f"3: {attempt.client} is sent to {media_server.name}, which was told to drain")
        if self.package.paid_at_setup:
            for other in self.attempts:
                if (
                    other is not attempt
                    and other.tune_in.front_session.held.key == key
                    and not other.never_ran
                    and (other.stage != "write")
                ):
                    raise RuleViolated(f"2: {attempt.client} is sent again though it may have run")
        attempt.stage = "sent"
        self._check_seats()

    def _check_seats(self) -> None:
        if not self.package.seats or self.front is None:
            return
        outstanding = sum(
            attempt.life == self.front.name and attempt.stage in ("sent", "ran") and not attempt.abandoned
            for attempt in self.attempts
        )
        held = sum(front_session.viewing.playing for front_session in self.front.session_core.front_sessions.values())
        if outstanding + held > self.package.seats:
            raise RuleViolated(f"5: {held} held and {outstanding} outstanding where there are {self.package.seats} seats")

    def write(self, file: str, record: list | None) -> None:
        """Writes a record to `book` (the session registry) or `intents`, without flushing it."""
        if record is not None:
            self.unflushed.append((file, record))

    def on_answer(self, front: Front, request: Request, answer: Answer) -> None:
        if request in self.answers:
            raise RuleViolated(f"1: {request.name} is answered twice")
        if self.clock > request.expires:
            raise RuleViolated(f"1: {request.name} is answered too late")
        self.answers[request] = answer
        client = next(client for client in self.clients if request.name.startswith(client.name))
        if (
            answer.kind is AnswerKind.REFUSED
            and self.package.paid_at_setup
            and any(
                attempt.client == client.name and attempt.stage != "write" and not attempt.never_ran for attempt in self.attempts
            )
        ):
            raise RuleViolated(f"2: {request.name} is refused though it may have run")
        if answer.kind is AnswerKind.FAILED:
            self.reported_failed.add((client.name, front.name))
        if answer.kind is AnswerKind.PLAYS:
            front_session = answer.front_session
            # Only within one life: a later one may have found the session, as a failed set-up may have run all the same.
            if self.package.paid_at_setup and (client.name, front.name) in self.reported_failed:
                raise RuleViolated(f"2: {request.name} is answered as playing after it was answered as failed")
            if front_session not in front.tokens:
                front.tokens[front_session] = f"t {front_session.session}"
                self.write(
                    "book",
                    front.book.began(to_stored_session(front_session, front.tokens[front_session], None, front_session.session)),
                )

    def _report_failure(self, attempt: Attempt, outcome: Outcome) -> None:
        front = self.front
        if front is None or front.name != attempt.life:
            return
        if self.package.paid_at_setup:
            self.write("intents", front.intents.ended(attempt.tune_in.front_session.held.key, outcome))
        front.session_core.failed(attempt.tune_in, outcome)

    # ---- lives

    def start(self) -> None:
        self.lives += 1
        self.front = Front(self, self.lives)

    def kill(self, unflushed_lost: bool) -> None:
        """Flushed records stay; those that were not flushed are all on the disk or all lost."""
        self._flush(() if unflushed_lost else self.unflushed)
        self.front = None
        self.session_ends, self.commands, self.queries = [], [], []
        for attempt in self.attempts:
            attempt.abandoned = True
            if attempt.stage == "write":
                attempt.stage, attempt.never_ran = "over", True

    def _flush(self, records) -> None:
        for file, record in records:
            (self.book_log if file == "book" else self.intents_log).append(record)
        self.unflushed = []

    def send_request(self, client: Client) -> None:
        name = f"{client.name}.{len(client.requests)}"
        client.lives.append(self.front.name)
        # the call below may answer before it returns: the request has its place in the list by then
        client.requests.append(None)
        client.requests[-1] = self.front.session_core.asked(name, "p", "t", None, 0, client.key, Offer(client.name))

    # ---- possible steps

    def choices(self) -> list[tuple]:
        """The steps that are possible next, in a fixed order: each is a readable label and, for some, a number or name."""
        choices: list[tuple] = []
        limits = self.limits
        for number, attempt in enumerate(self.attempts):
            choices += self._attempt_choices(number, attempt)
        if self.session_ends:
            choices.append(("a session end is done",))
            if limits.losses:
                choices.append(("a session end's answer is lost",))
        if self.queries:
            choices.append(("a query is answered",))
            if limits.losses:
                choices.append(("a query's answer is lost",))
        for number, client in enumerate(self.clients):
            choices += self._client_choices(number, client)
        if self.front is None:
            choices.append(("the front starts",))
        else:
            if limits.kills:
                choices.append(("the front is killed",))
                if self.unflushed:
                    choices.append(("the front is killed, unflushed records lost",))
            if limits.time_steps and self.front.wake_at is not None:
                choices.append(("time passes",))
            if limits.drains and not any(media_server.draining for media_server in self.media_servers.values()):
                choices.append(("a server is told to drain",))
        if limits.server_crashes:
            for name, media_server in self.media_servers.items():
                if media_server.sessions or any(
                    attempt.stage in ("sent", "ran") and attempt.tune_in.server.name == name for attempt in self.attempts
                ):
                    choices.append(("a server crashes", name))
        return choices

    def _attempt_choices(self, number: int, attempt: Attempt) -> list[tuple]:
        if attempt.stage == "write" and not attempt.abandoned:
            return [("its intent is kept", number), *([("its intent is not kept", number)] * bool(self.limits.failed_writes))]
        if attempt.stage == "sent":
            choices = [("the server runs it", number)]
            if attempt.abandoned:
                choices.append(("its request never arrives", number))
            else:
                if self.limits.refusals:
                    choices.append(("the server turns it away", number))
                if self.limits.losses:
                    choices.append(("its connection breaks", number))
            return choices
        if attempt.stage == "ran":
            choices = [("its answer arrives", number)]
            if attempt.abandoned:
                choices = [("nobody takes its answer", number), *(choices if self._alive(attempt) else ())]
            elif self.limits.losses:
                choices.append(("its answer is lost", number))
            return choices
        return []

    def _client_choices(self, number: int, client: Client) -> list[tuple]:
        last = client.requests[-1]
        waiting = last.answer is None and not last.gone
        if self.front is None:
            return []
        same_life = client.lives[-1] == self.front.name
        choices = []
        if waiting and same_life and self.limits.hang_ups:
            choices.append(("a client hangs up", number))
        disconnected = (waiting and not same_life) or last.gone
        if self.limits.retries and (disconnected or (last.answer is not None and last.answer.kind is not AnswerKind.PLAYS)):
            choices.append(("a client comes again", number))
        if self._front_session(client) is not None:
            choices.append(("a client leaves", number))
        return choices

    def _alive(self, attempt: Attempt) -> bool:
        return self.front is not None and self.front.name == attempt.life

    def _front_session(self, client: Client):
        for front_session in self.front.session_core.front_sessions.values():
            if front_session.viewing.playing and front_session.held is not None and front_session.held.key == client.key:
                return front_session
        return None

    # ---- running a step: the label's words are the name of its method

    def do(self, label: str, number: object = None) -> None:
        getattr(self, "_" + label.replace(" ", "_").replace(",", "").replace("'", ""))(*(() if number is None else (number,)))
        self._after_step()

    def _its_intent_is_kept(self, number: int) -> None:
        attempt = self.attempts[number]
        # the flush takes along what was written before it
        self._flush([*self.unflushed, ("intents", attempt.record)])
        self._step(attempt, True)

    def _its_intent_is_not_kept(self, number: int) -> None:
        self.limits.failed_writes -= 1
        self._step(self.attempts[number], False)

    def _the_server_runs_it(self, number: int) -> None:
        attempt = self.attempts[number]
        media_server, key = self.media_servers[attempt.tune_in.server.name], attempt.tune_in.front_session.held.key
        self.paths += 1
        attempt.stage = "ran"
        attempt.session = media_server.sessions[f"/{self.paths}"] = Session(
            f"/{self.paths}",
            attempt.life,
            request_tag_of(key) if self.package.paid_at_setup else "",
            attempt.client,
            attempt.tune_in.rung,
            too_late=not self._alive(attempt),
        )

    def _the_server_turns_it_away(self, number: int) -> None:
        self.limits.refusals -= 1
        attempt = self.attempts[number]
        attempt.stage, attempt.never_ran = "over", True
        self._report_failure(attempt, Outcome.FULL)

    def _its_request_never_arrives(self, number: int) -> None:
        self.attempts[number].stage = "over"

    def _its_connection_breaks(self, number: int) -> None:
        """The front sees the tune-in fail; the server may run it all the same."""
        self.limits.losses -= 1
        attempt = self.attempts[number]
        attempt.abandoned = True
        self._report_failure(attempt, Outcome.BROKEN)

    def _its_answer_arrives(self, number: int) -> None:
        attempt = self.attempts[number]
        attempt.stage = "over"
        self.front.session_core.played(attempt.tune_in, attempt.session.path)

    def _nobody_takes_its_answer(self, number: int) -> None:
        """The server notices that the front does not take the answer, and ends the session it has set up. It does not if the
        front was killed meanwhile, as the answer may have gone out before."""
        attempt = self.attempts[number]
        attempt.stage = "over"
        if self._alive(attempt):
            self.media_servers[attempt.tune_in.server.name].sessions.pop(attempt.session.path, None)

    def _its_answer_is_lost(self, number: int) -> None:
        self.limits.losses -= 1
        attempt = self.attempts[number]
        attempt.abandoned = True
        self._report_failure(attempt, Outcome.BROKEN)

    def _a_session_end_is_done(self) -> None:
        _, session_end = self.session_ends.pop(0)
        self.media_servers[session_end.server.name].sessions.pop(session_end.session, None)
        self.front.session_core.session_ended(session_end, True)

    def _a_session_ends_answer_is_lost(self) -> None:
        self.limits.losses -= 1
        _, session_end = self.session_ends.pop(0)
        self.media_servers[session_end.server.name].sessions.pop(session_end.session, None)
        self.front.session_core.session_ended(session_end, False)

    def _a_query_is_answered(self) -> None:
        _, what, server, paths = self.queries.pop(0)
        media_server = self.media_servers[server.name]
        if what == "list":
            self.front.recovery.listed(
                server,
                str(media_server.boot),
                [
                    ListedSession(session.path, session.life, session.rung, session.request_tag)
                    for session in media_server.sessions.values()
                ],
            )
        else:
            self.front.recovery.adopted(server, self._adopt(media_server, paths))

    def _a_querys_answer_is_lost(self) -> None:
        self.limits.losses -= 1
        _, what, server, paths = self.queries.pop(0)
        if what == "adopt":
            self._adopt(self.media_servers[server.name], paths)
        self.front.recovery.unanswered(server)

    def _adopt(self, media_server: MediaServer, paths: tuple) -> list[str]:
        for path in paths:
            if path in media_server.sessions:
                media_server.sessions[path].life = self.front.name
        return [path for path in paths if path in media_server.sessions]

    def _a_client_hangs_up(self, number: int) -> None:
        self.limits.hang_ups -= 1
        self.front.session_core.hung_up(self.clients[number].requests[-1])

    def _a_client_comes_again(self, number: int) -> None:
        self.limits.retries -= 1
        self.send_request(self.clients[number])

    def _a_client_leaves(self, number: int) -> None:
        self.front.session_core.closed(self._front_session(self.clients[number]))

    def _the_front_starts(self) -> None:
        self.start()

    def _the_front_is_killed(self) -> None:
        self.limits.kills -= 1
        self.kill(False)

    def _the_front_is_killed_unflushed_records_lost(self) -> None:
        self.limits.kills -= 1
        self.kill(True)

    def _time_passes(self) -> None:
        self.limits.time_steps -= 1
        self.advance_time()

    def _a_server_is_told_to_drain(self) -> None:
        self.limits.drains -= 1
        media_server = self.media_servers["s1"]
        media_server.draining = True
        front = self.front
        front.generation += 1
        front.session_core.list_change(
            "e", front.generation - 1, front.generation, [ServerEntry("s1", "drain", SECOND, "z", "r", 1e6, 50, "s1")]
        )

    def _a_server_crashes(self, name: str) -> None:
        self.limits.server_crashes -= 1
        media_server = self.media_servers[name]
        media_server.boot += 1
        media_server.sessions.clear()
        broken = [
            attempt for attempt in self.attempts if attempt.tune_in.server.name == name and attempt.stage in ("sent", "ran")
        ]
        for attempt in broken:
            attempt.stage = "over"
        for attempt in broken:
            if not attempt.abandoned:
                self._report_failure(attempt, Outcome.BROKEN)
        if self.front is not None:
            self.front.session_core.restarted(self.front.session_core.server_list.servers[name])

    # ---- time, and checks

    def advance_time(self, max_step: int = MAX_TIME_STEP) -> None:
        """Advances the clock, wake-up by wake-up, until something happens or `max_step` (ns) has passed. In the latter case the
        servers' answers to outstanding queries have timed out."""
        ends, before = self.clock + max_step, self._progress()
        while (
            self.front is not None
            and self.front.wake_at is not None
            and self.front.wake_at <= ends
            and (self._progress() == before)
        ):
            self.clock, self.front.wake_at = max(self.clock, self.front.wake_at), None
            self.front.session_core.time()
            self.front.recovery.time()
            self._after_step()
        if self._progress() == before:
            self.clock = ends
            queries, self.queries = self.queries, []
            for _, _, server, _ in queries:
                self.front.recovery.unanswered(server)
            self.front.recovery.time()

    def _progress(self) -> tuple:
        """Counts of what the front has done so far: they differ if something happened."""
        return (
            len(self.answers),
            len(self.attempts),
            len(self.session_ends),
            len(self.queries),
            sum(attempt.abandoned for attempt in self.attempts),
        )

    def _after_step(self) -> None:
        """After each step: servers apply commanded rungs at once, and no client may wait past the expiry of its request."""
        while self.commands:
            _name, command = self.commands.pop(0)
            session = (
                self.media_servers[command.front_session.viewing.server.name].sessions.get(command.front_session.session)
                if command.front_session.viewing.server
                else None
            )
            if session is not None and command.rung is not None:
                session.rung = command.rung
            self.front.session_core.told_server(command, Result.DONE)
        for client in self.clients:
            for life, request in zip(client.lives, client.requests):
                if (
                    request is not None
                    and request.answer is None
                    and not request.gone
                    and self.front is not None
                    and (life == self.front.name and self.clock > request.expires)
                ):
                    raise RuleViolated(f"1: {request.name} got no answer")
        self._check_seats()

    def settle(self) -> None:
        """Runs without further faults until everything outstanding has ended. Then no client may be left without an answer, and
        no session may play that no front holds. Raises `RuleViolated`."""
        if self.front is None:
            self.start()
        ends = self.clock + SETTLE_TIME
        while self.clock < ends:
            favourable = [
                choice
                for choice in self.choices()
                if choice[0]
                in (
                    "its intent is kept",
                    "the server runs it",
                    "its answer arrives",
                    "a session end is done",
                    "a query is answered",
                )
            ]
            abandoned = [
                ("nobody takes its answer", number)
                for number, attempt in enumerate(self.attempts)
                if attempt.stage == "ran" and attempt.abandoned
            ]
            if abandoned or favourable:
                self.do(*(abandoned or favourable)[0])
            else:
                self.advance_time()
                self._after_step()
        held = {
            front_session.session
            for front_session in self.front.session_core.front_sessions.values()
            if front_session.viewing.playing
        }
        for media_server in self.media_servers.values():
            for path, session in media_server.sessions.items():
                # a server that recovery never reached ends by itself the sessions of a front that it does not hear from
                silent = any(server.name == media_server.name for server in self.front.recovery.silent)
                if path not in held and not session.too_late and not (silent and session.life != self.front.name):
                    raise RuleViolated(f"an orphan is left: {path} of {session.client} at {media_server.name}")
        for path in held:
            if not any(path in media_server.sessions for media_server in self.media_servers.values()):
                raise RuleViolated(f"{path} is held by the front as playing, but plays at no server")
        for client in self.clients:
            for life, request in zip(client.lives, client.requests):
                if life == self.front.name and request.answer is None and not request.gone:
                    raise RuleViolated(f"1: {request.name} got no answer")

    def state_key(self) -> str:
        """A text of all that affects the future: models with equal texts behave alike from here on."""
        front = self.front
        front_state = (
            ""
            if front is None
            else repr(
                (
                    front.name,
                    front.wake_at,
                    [
                        (
                            front_session.viewing.title,
                            front_session.viewing.playing,
                            front_session.viewing.ended,
                            front_session.viewing.tune_ins,
                            front_session.viewing.server and front_session.viewing.server.name,
                            front_session.viewing.rung,
                            front_session.viewing.expires,
                            front_session.session,
                            front_session.answer and front_session.answer.kind.value,
                        )
                        for front_session in front.session_core.front_sessions.values()
                    ],
                    [
                        (key, held.until, held.front_session.answer and held.front_session.answer.kind.value)
                        for key, held in front.session_core.keys.entries.items()
                    ],
                    sorted(front.session_core.doubts),
                    front.recovery.finished,
                    [
                        (task.server.name, task.in_flight, task.done, task.tries, task.adopting is not None)
                        for task in front.recovery.by_server.values()
                    ],
                    [
                        (
                            server.name,
                            server.open,
                            server.outstanding,
                            server.failed,
                            round(server.fault_score, 3),
                            server.fault_at,
                            server.full_until,
                            server.cold_until,
                            len(server.sent),
                        )
                        for server in front.session_core.rules.servers
                    ],
                    len(front.session_core.session_ends),
                    sorted(front.intents.open),
                    sorted(front.book.open),
                )
            )
        )
        return repr(
            (
                self.clock,
                self.lives,
                self.paths,
                self.limits,
                front_state,
                self.book_log,
                self.intents_log,
                self.unflushed,
                [
                    (
                        media_server.boot,
                        media_server.draining,
                        sorted((session.path, session.life, session.rung) for session in media_server.sessions.values()),
                    )
                    for media_server in self.media_servers.values()
                ],
                [
                    (
                        attempt.stage,
                        attempt.abandoned,
                        attempt.never_ran,
                        attempt.life,
                        attempt.tune_in.server.name,
                        attempt.tune_in.outcome,
                        attempt.session and attempt.session.path,
                    )
                    for attempt in self.attempts
                ],
                [session_end.session for _, session_end in self.session_ends],
                [(what, server.name, paths) for _, what, server, paths in self.queries],
                [
                    [
                        (life, request.gone, request.answer and request.answer.kind.value, request.expires)
                        for life, request in zip(client.lives, client.requests)
                    ]
                    for client in self.clients
                ],
            )
        )
