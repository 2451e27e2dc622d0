"""One small world: two servers, clients that want one title, and a front that may be killed and started again.

The front is the one that serves but for its sockets: `session_core/`, `rules.py`, `state/`, `recovery/` and `retries/` run as
they are. What stands for sockets and servers here does nothing by itself: all that can happen next is told by
`choices`, and `do` makes one of them happen. The rules' books are kept from what is seen outside the front.
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
BORN = 1000 * SECOND
SERVERS = ("s1", "s2")
# Time passes until something comes of it, and no longer at once than this.
LONGEST_REST = 5 * SECOND
# After so long with nothing going wrong any more, all has to have come to its end.
SETTLES = 60 * SECOND


def mark_of(key: str) -> str:
    """How servers know a paid request."""
    return f"m {key}"


class Breach(Exception):
    """A rule is broken; its text says which and how."""


@dataclass(eq=False, slots=True)
class Session:
    """At a server: which life of the front has it, and under which mark it was asked for."""

    path: str
    life: str
    mark: str
    client: str
    rung: int
    # set up when the life that had asked for it was over: no front can know of it in time, and as nobody was told of
    # it and nobody watches, its server ends it
    too_late: bool = False


@dataclass(eq=False, slots=True)
class Place:
    """One server."""

    name: str
    boot: int = 0
    sessions: dict[str, Session] = field(default_factory=dict)
    told_off: bool = False


@dataclass(eq=False, slots=True)
class Attempt:
    """One tune-in on its way. `stage`: write, sent, ran, over; `session` is what the server made of it. `let_go` is set
    once nobody hears of it any more."""

    tune_in: TuneIn
    life: str
    client: str
    steps: object
    boot: int
    stage: str = "write"
    record: list | None = None
    session: Session | None = None
    let_go: bool = False
    never_ran: bool = False


@dataclass(eq=False, slots=True)
class Client:
    name: str
    key: str
    asks: list[Request] = field(default_factory=list)
    # of the life that each was asked of
    lives: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Budgets:
    """How often each thing may go wrong in one course."""

    kills: int = 1
    again: int = 2
    hang_ups: int = 1
    losses: int = 1
    full: int = 1
    not_kept: int = 1
    deaths: int = 1
    offs: int = 1
    rests: int = 3


class Front:
    """One life: everything that a kill takes away."""

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
            ServerEntry(place.name, "drain" if place.told_off else "on", SECOND, "z", "r", 1e6, 50, place.name)
            for place in world.places.values()
        ]
        self.session_core.list_full("e", 0, rows, stale=number > 1)
        self.generation = 0
        self.book.restore(world.book_log)
        intents = self.intents.restore(world.intents_log, world.clock)
        self.recovery = recovery_of(self, self.session_core, self.name, self.book, intents, mark_of)
        self.recovery.begin()

    # ---- the desk's outside

    def now(self) -> int:
        return self.world.clock

    wall = now

    def wake(self, at: int) -> None:
        self.wake_at = at if self.wake_at is None else min(at, self.wake_at)

    def tune_in(self, tune_in: TuneIn) -> None:
        self.world.goes_out(self, tune_in)

    def withdraw(self, tune_in: TuneIn) -> bool:
        attempt = next(one for one in self.world.attempts if one.tune_in is tune_in)
        if attempt.stage == "write":
            attempt.stage, attempt.never_ran = "over", True
            return False
        attempt.let_go = True
        return True

    def tell(self, command) -> None:
        self.world.commands.append((self.name, command))

    def end_session(self, session_end) -> None:
        self.world.session_ends.append((self.name, session_end))

    def probe(self, server) -> None:
        raise AssertionError("no probes here")

    def answer(self, request: Request, answer: Answer) -> None:
        self.world.answered(self, request, answer)

    def whole_list(self) -> None:
        raise AssertionError("the list has no gaps here")

    # ---- recovery's outside

    def ask_sessions(self, server) -> None:
        self.world.questions.append((self.name, "list", server, ()))

    def adopt(self, server, paths: list[str]) -> None:
        self.world.questions.append((self.name, "adopt", server, tuple(paths)))

    def resume(self, one: StoredSession, server):
        front_session = self.session_core.handed_over(
            one.package, one.title, one.ceiling, server, one.path, one.rung, one.key, Offer(one.offer)
        )
        self.tokens[front_session] = one.token
        return front_session

    def session_of(self, found: ListedSession, doubt: InterruptedSetup | None) -> str:
        return found.path

    def ended_before_resume(self, one: StoredSession) -> None:
        self.world.note("book", self.book.ended(one.token))


class World:
    """`session_core_class`, `steps` and `recovery_off` are for planting faults. `paid` clients' package is paid at set-up; with
    `seats` there is one place for all clients."""

    def __init__(
        self,
        budgets: Budgets,
        paid: bool = True,
        seats: int = 0,
        clients: int = 1,
        session_core_class=SessionCore,
        steps=setting_up,
    ):
        self.budgets, self.session_core_class, self.steps = budgets, session_core_class, steps
        self.package = Package("p", 1.0, 4 * SECOND, 6 * SECOND, paid, (100.0, 200.0), 0, 1, seats)
        self.clock = BORN
        self.places = {name: Place(name) for name in SERVERS}
        self.book_log: list[list] = []
        self.intents_log: list[list] = []
        # written and perhaps not yet on the disk
        self.behind: list[tuple[str, list]] = []
        self.attempts: list[Attempt] = []
        self.session_ends: list[tuple[str, object]] = []
        self.commands: list[tuple[str, object]] = []
        self.questions: list[tuple[str, str, object, tuple]] = []
        self.answers: dict[Request, Answer] = {}
        self.failed_told: set[tuple[str, str]] = set()
        self.lives = self.paths = 0
        self.front: Front | None = None
        self.clients = [Client(f"c{number}", f"k{number}") for number in range(1, clients + 1)]
        self.start()
        for client in self.clients:
            self.ask(client)

    # ---- what the front does

    def goes_out(self, front: Front, tune_in: TuneIn) -> None:
        front_session = tune_in.front_session
        if any(
            one.life == front.name and one.tune_in.front_session is front_session and one.stage != "over" and not one.let_go
            for one in self.attempts
        ):
            raise Breach("2: two tune-ins of one viewing are out")
        client = next(client.name for client in self.clients if client.key == front_session.held.key)
        attempt = Attempt(
            tune_in,
            front.name,
            client,
            self.steps(front.session_core, tune_in, front.intents, intent_of(tune_in, front_session.viewing.expires)),
            self.places[tune_in.server.name].boot,
        )
        self.attempts.append(attempt)
        self._step(attempt, None)

    def _step(self, attempt: Attempt, kept: bool | None) -> None:
        try:
            what, attempt.record = attempt.steps.send(kept)
        except StopIteration as ended:
            if ended.value is not None:
                attempt.stage, attempt.never_ran = "over", True
                self._tell_end(attempt, ended.value)
            return
        if what == SEND:
            self._sent(attempt)

    def _sent(self, attempt: Attempt) -> None:
        place, key = self.places[attempt.tune_in.server.name], attempt.tune_in.front_session.held.key
        if place.told_off:
            raise Breach(f"3: {attempt.client} is sent to {place.name}, which was told to drain")
        if self.package.paid_at_setup:
            for other in self.attempts:
                if (
                    other is not attempt
                    and other.tune_in.front_session.held.key == key
                    and not other.never_ran
                    and (other.stage != "write")
                ):
                    raise Breach(f"2: {attempt.client} is sent again though it may have run")
        attempt.stage = "sent"
        self._check_seats()

    def _check_seats(self) -> None:
        if not self.package.seats or self.front is None:
            return
        out = sum(one.life == self.front.name and one.stage in ("sent", "ran") and not one.let_go for one in self.attempts)
        held = sum(front_session.viewing.playing for front_session in self.front.session_core.front_sessions.values())
        if out + held > self.package.seats:
            raise Breach(f"5: {held} held and {out} out where there are {self.package.seats} seats")

    def note(self, log: str, record: list | None) -> None:
        if record is not None:
            self.behind.append((log, record))

    def answered(self, front: Front, request: Request, answer: Answer) -> None:
        if request in self.answers:
            raise Breach(f"1: {request.name} is answered twice")
        if self.clock > request.expires:
            raise Breach(f"1: {request.name} is answered too late")
        self.answers[request] = answer
        client = next(client for client in self.clients if request.name.startswith(client.name))
        if (
            answer.kind is AnswerKind.REFUSED
            and self.package.paid_at_setup
            and any(one.client == client.name and one.stage != "write" and not one.never_ran for one in self.attempts)
        ):
            raise Breach(f"2: {request.name} is refused though it may have run")
        if answer.kind is AnswerKind.FAILED:
            self.failed_told.add((client.name, front.name))
        if answer.kind is AnswerKind.PLAYS:
            front_session = answer.front_session
            # another life may know better: that it failed says that it may have run all the same
            if self.package.paid_at_setup and (client.name, front.name) in self.failed_told:
                raise Breach(f"2: {request.name} is told that it plays after it was told that it failed")
            if front_session not in front.tokens:
                front.tokens[front_session] = f"t {front_session.session}"
                self.note(
                    "book",
                    front.book.began(to_stored_session(front_session, front.tokens[front_session], None, front_session.session)),
                )

    def _tell_end(self, attempt: Attempt, outcome: Outcome) -> None:
        front = self.front
        if front is None or front.name != attempt.life:
            return
        if self.package.paid_at_setup:
            self.note("intents", front.intents.ended(attempt.tune_in.front_session.held.key, outcome))
        front.session_core.failed(attempt.tune_in, outcome)

    # ---- lives

    def start(self) -> None:
        self.lives += 1
        self.front = Front(self, self.lives)

    def kill(self, behind_lost: bool) -> None:
        """Whatever the disk has not got yet may be there or not; what was flushed is."""
        self._flush(() if behind_lost else self.behind)
        self.front = None
        self.session_ends, self.commands, self.questions = [], [], []
        for attempt in self.attempts:
            attempt.let_go = True
            if attempt.stage == "write":
                attempt.stage, attempt.never_ran = "over", True

    def _flush(self, records) -> None:
        for log, record in records:
            (self.book_log if log == "book" else self.intents_log).append(record)
        self.behind = []

    def ask(self, client: Client) -> None:
        name = f"{client.name}.{len(client.asks)}"
        client.lives.append(self.front.name)
        # an answer may come before this returns
        client.asks.append(None)
        client.asks[-1] = self.front.session_core.asked(name, "p", "t", None, 0, client.key, Offer(client.name))

    # ---- what can happen next

    def choices(self) -> list[tuple]:
        """In a fixed order; each is a tuple that `do` understands and people can read."""
        found: list[tuple] = []
        budgets = self.budgets
        for number, attempt in enumerate(self.attempts):
            found += self._of_attempt(number, attempt)
        if self.session_ends:
            found.append(("an ending is done",))
            if budgets.losses:
                found.append(("an ending's answer is lost",))
        if self.questions:
            found.append(("a question is answered",))
            if budgets.losses:
                found.append(("a question's answer is lost",))
        for number, client in enumerate(self.clients):
            found += self._of_client(number, client)
        if self.front is None:
            found.append(("the front starts",))
        else:
            if budgets.kills:
                found.append(("the front is killed",))
                if self.behind:
                    found.append(("the front is killed, its disk behind",))
            if budgets.rests and self.front.wake_at is not None:
                found.append(("time passes",))
            if budgets.offs and not any(place.told_off for place in self.places.values()):
                found.append(("a server is told to drain",))
        if budgets.deaths:
            for name, place in self.places.items():
                if place.sessions or any(
                    one.stage in ("sent", "ran") and one.tune_in.server.name == name for one in self.attempts
                ):
                    found.append(("a server dies", name))
        return found

    def _of_attempt(self, number: int, attempt: Attempt) -> list[tuple]:
        if attempt.stage == "write" and not attempt.let_go:
            return [("its intent is kept", number), *([("its intent is not kept", number)] * bool(self.budgets.not_kept))]
        if attempt.stage == "sent":
            found = [("the server runs it", number)]
            if attempt.let_go:
                found.append(("it never gets there", number))
            else:
                if self.budgets.full:
                    found.append(("the server turns it away", number))
                if self.budgets.losses:
                    found.append(("its connection breaks", number))
            return found
        if attempt.stage == "ran":
            found = [("its answer arrives", number)]
            if attempt.let_go:
                found = [("nobody takes its answer", number), *(found if self._alive(attempt) else ())]
            elif self.budgets.losses:
                found.append(("its answer is lost", number))
            return found
        return []

    def _of_client(self, number: int, client: Client) -> list[tuple]:
        last = client.asks[-1]
        waits = last.answer is None and not last.gone
        if self.front is None:
            return []
        here = client.lives[-1] == self.front.name
        found = []
        if waits and here and self.budgets.hang_ups:
            found.append(("a client hangs up", number))
        cut_off = (waits and not here) or last.gone
        if self.budgets.again and (cut_off or (last.answer is not None and last.answer.kind is not AnswerKind.PLAYS)):
            found.append(("a client comes again", number))
        if self._front_session(client) is not None:
            found.append(("a client leaves", number))
        return found

    def _alive(self, attempt: Attempt) -> bool:
        return self.front is not None and self.front.name == attempt.life

    def _front_session(self, client: Client):
        for front_session in self.front.session_core.front_sessions.values():
            if front_session.viewing.playing and front_session.held is not None and front_session.held.key == client.key:
                return front_session
        return None

    # ---- and happens

    def do(self, what: str, number: object = None) -> None:
        getattr(self, "_" + what.replace(" ", "_").replace(",", "").replace("'", ""))(*(() if number is None else (number,)))
        self._look()

    def _its_intent_is_kept(self, number: int) -> None:
        attempt = self.attempts[number]
        # what was written before it goes to the disk with it
        self._flush([*self.behind, ("intents", attempt.record)])
        self._step(attempt, True)

    def _its_intent_is_not_kept(self, number: int) -> None:
        self.budgets.not_kept -= 1
        self._step(self.attempts[number], False)

    def _the_server_runs_it(self, number: int) -> None:
        attempt = self.attempts[number]
        place, key = self.places[attempt.tune_in.server.name], attempt.tune_in.front_session.held.key
        self.paths += 1
        attempt.stage = "ran"
        attempt.session = place.sessions[f"/{self.paths}"] = Session(
            f"/{self.paths}",
            attempt.life,
            mark_of(key) if self.package.paid_at_setup else "",
            attempt.client,
            attempt.tune_in.rung,
            too_late=not self._alive(attempt),
        )

    def _the_server_turns_it_away(self, number: int) -> None:
        self.budgets.full -= 1
        attempt = self.attempts[number]
        attempt.stage, attempt.never_ran = "over", True
        self._tell_end(attempt, Outcome.FULL)

    def _it_never_gets_there(self, number: int) -> None:
        self.attempts[number].stage = "over"

    def _its_connection_breaks(self, number: int) -> None:
        """The front has enough of it; the server may run it all the same."""
        self.budgets.losses -= 1
        attempt = self.attempts[number]
        attempt.let_go = True
        self._tell_end(attempt, Outcome.BROKEN)

    def _its_answer_arrives(self, number: int) -> None:
        attempt = self.attempts[number]
        attempt.stage = "over"
        self.front.session_core.played(attempt.tune_in, attempt.session.path)

    def _nobody_takes_its_answer(self, number: int) -> None:
        """The server sees that nobody is there, and ends what it has set up; not if its front was killed meanwhile, as
        then the answer may have gone out before."""
        attempt = self.attempts[number]
        attempt.stage = "over"
        if self._alive(attempt):
            self.places[attempt.tune_in.server.name].sessions.pop(attempt.session.path, None)

    def _its_answer_is_lost(self, number: int) -> None:
        self.budgets.losses -= 1
        attempt = self.attempts[number]
        attempt.let_go = True
        self._tell_end(attempt, Outcome.BROKEN)

    def _an_ending_is_done(self) -> None:
        _, session_end = self.session_ends.pop(0)
        self.places[session_end.server.name].sessions.pop(session_end.session, None)
        self.front.session_core.session_ended(session_end, True)

    def _an_endings_answer_is_lost(self) -> None:
        self.budgets.losses -= 1
        _, session_end = self.session_ends.pop(0)
        self.places[session_end.server.name].sessions.pop(session_end.session, None)
        self.front.session_core.session_ended(session_end, False)

    def _a_question_is_answered(self) -> None:
        _, what, server, paths = self.questions.pop(0)
        place = self.places[server.name]
        if what == "list":
            self.front.recovery.listed(
                server,
                str(place.boot),
                [ListedSession(one.path, one.life, one.rung, one.mark) for one in place.sessions.values()],
            )
        else:
            self.front.recovery.adopted(server, self._adopt(place, paths))

    def _a_questions_answer_is_lost(self) -> None:
        self.budgets.losses -= 1
        _, what, server, paths = self.questions.pop(0)
        if what == "adopt":
            self._adopt(self.places[server.name], paths)
        self.front.recovery.unanswered(server)

    def _adopt(self, place: Place, paths: tuple) -> list[str]:
        for path in paths:
            if path in place.sessions:
                place.sessions[path].life = self.front.name
        return [path for path in paths if path in place.sessions]

    def _a_client_hangs_up(self, number: int) -> None:
        self.budgets.hang_ups -= 1
        self.front.session_core.hung_up(self.clients[number].asks[-1])

    def _a_client_comes_again(self, number: int) -> None:
        self.budgets.again -= 1
        self.ask(self.clients[number])

    def _a_client_leaves(self, number: int) -> None:
        self.front.session_core.closed(self._front_session(self.clients[number]))

    def _the_front_starts(self) -> None:
        self.start()

    def _the_front_is_killed(self) -> None:
        self.budgets.kills -= 1
        self.kill(False)

    def _the_front_is_killed_its_disk_behind(self) -> None:
        self.budgets.kills -= 1
        self.kill(True)

    def _time_passes(self) -> None:
        self.budgets.rests -= 1
        self.rest()

    def _a_server_is_told_to_drain(self) -> None:
        self.budgets.offs -= 1
        place = self.places["s1"]
        place.told_off = True
        front = self.front
        front.generation += 1
        front.session_core.list_change(
            "e", front.generation - 1, front.generation, [ServerEntry("s1", "drain", SECOND, "z", "r", 1e6, 50, "s1")]
        )

    def _a_server_dies(self, name: str) -> None:
        self.budgets.deaths -= 1
        place = self.places[name]
        place.boot += 1
        place.sessions.clear()
        broken = [one for one in self.attempts if one.tune_in.server.name == name and one.stage in ("sent", "ran")]
        for attempt in broken:
            attempt.stage = "over"
        for attempt in broken:
            if not attempt.let_go:
                self._tell_end(attempt, Outcome.BROKEN)
        if self.front is not None:
            self.front.session_core.restarted(self.front.session_core.server_list.servers[name])

    # ---- time, and the end of things

    def rest(self, at_most: int = LONGEST_REST) -> None:
        """Until something comes of it."""
        ends, before = self.clock + at_most, self._events()
        while (
            self.front is not None
            and self.front.wake_at is not None
            and self.front.wake_at <= ends
            and (self._events() == before)
        ):
            self.clock, self.front.wake_at = max(self.clock, self.front.wake_at), None
            self.front.session_core.time()
            self.front.recovery.time()
            self._look()
        if self._events() == before:
            self.clock = ends
            questions, self.questions = self.questions, []
            for _, _, server, _ in questions:
                self.front.recovery.unanswered(server)
            self.front.recovery.time()

    def _events(self) -> tuple:
        return (
            len(self.answers),
            len(self.attempts),
            len(self.session_ends),
            len(self.questions),
            sum(attempt.let_go for attempt in self.attempts),
        )

    def _look(self) -> None:
        """After each step: rungs that were told are taken at once, and nobody is kept waiting."""
        while self.commands:
            _name, command = self.commands.pop(0)
            session = (
                self.places[command.front_session.viewing.server.name].sessions.get(command.front_session.session)
                if command.front_session.viewing.server
                else None
            )
            if session is not None and command.rung is not None:
                session.rung = command.rung
            self.front.session_core.told_server(command, Result.DONE)
        for client in self.clients:
            for life, request in zip(client.lives, client.asks):
                if (
                    request is not None
                    and request.answer is None
                    and not request.gone
                    and self.front is not None
                    and (life == self.front.name and self.clock > request.expires)
                ):
                    raise Breach(f"1: {request.name} got no answer")
        self._check_seats()

    def settle(self) -> None:
        """Nothing goes wrong any more: what is out comes to its end, and then nobody may be left waiting, and nothing
        may play for nobody."""
        if self.front is None:
            self.start()
        ends = self.clock + SETTLES
        while self.clock < ends:
            favourable = [
                one
                for one in self.choices()
                if one[0]
                in (
                    "its intent is kept",
                    "the server runs it",
                    "its answer arrives",
                    "an ending is done",
                    "a question is answered",
                )
            ]
            let_go = [
                ("nobody takes its answer", number)
                for number, attempt in enumerate(self.attempts)
                if attempt.stage == "ran" and attempt.let_go
            ]
            if let_go or favourable:
                self.do(*(let_go or favourable)[0])
            else:
                self.rest()
                self._look()
        held = {
            front_session.session
            for front_session in self.front.session_core.front_sessions.values()
            if front_session.viewing.playing
        }
        for place in self.places.values():
            for path, session in place.sessions.items():
                # servers that were silent all along end by themselves what is a front's that they do not hear of
                silent = any(server.name == place.name for server in self.front.recovery.silent)
                if path not in held and not session.too_late and not (silent and session.life != self.front.name):
                    raise Breach(f"an orphan is left: {path} of {session.client} at {place.name}")
        for path in held:
            if not any(path in place.sessions for place in self.places.values()):
                raise Breach(f"{path} is held to play, and plays nowhere")
        for client in self.clients:
            for life, request in zip(client.lives, client.asks):
                if life == self.front.name and request.answer is None and not request.gone:
                    raise Breach(f"1: {request.name} got no answer")

    def mark(self) -> str:
        """Two worlds with the same mark go on alike."""
        front = self.front
        inside = (
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
                        (at.server.name, at.in_flight, at.done, at.tries, at.adopting is not None)
                        for at in front.recovery.by_server.values()
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
                self.budgets,
                inside,
                self.book_log,
                self.intents_log,
                self.behind,
                [
                    (place.boot, place.told_off, sorted((one.path, one.life, one.rung) for one in place.sessions.values()))
                    for place in self.places.values()
                ],
                [
                    (
                        one.stage,
                        one.let_go,
                        one.never_ran,
                        one.life,
                        one.tune_in.server.name,
                        one.tune_in.outcome,
                        one.session and one.session.path,
                    )
                    for one in self.attempts
                ],
                [session_end.session for _, session_end in self.session_ends],
                [(what, server.name, paths) for _, what, server, paths in self.questions],
                [
                    [
                        (life, request.gone, request.answer and request.answer.kind.value, request.expires)
                        for life, request in zip(client.lives, client.asks)
                    ]
                    for client in self.clients
                ],
            )
        )
