"""One front in virtual time: the desk that serves, with the network in place of sockets and a list in place of a disk.

`wrongs` plants the faults that the rehearsal's spoilt fronts have, to see the same judge catch them here.
"""

from __future__ import annotations

from dataclasses import dataclass

from curlewshift.emulator.machine import Machine, SetUp
from curlewshift.emulator.overloaded import EmulatedOverload
from curlewshift.emulator.shared import EmulatedSharing
from curlewshift.model import Outcome, Server
from curlewshift.peaks.calendar import Calendar
from curlewshift.recovery.recovery import InterruptedSetup, ListedSession, recovery_of
from curlewshift.rules import Rules
from curlewshift.session_core.front_session import Answer, AnswerKind, Request, TuneIn
from curlewshift.session_core.offer import Offer
from curlewshift.session_core.server_commands import Result
from curlewshift.session_core.server_list import ServerList
from curlewshift.session_core.session_core import SessionCore
from curlewshift.standins.server import front_of
from curlewshift.state.intents import Intent, Intents, intent_of
from curlewshift.state.session_registry import SessionRegistry, StoredSession, to_stored_session
from curlewshift.state.setting_up import SEND, setting_up

NS = 1_000_000_000
MS = 1_000_000
# An intent is on the disk after this.
FLUSH = 1 * MS
# Calls on which no viewer waits.
PATIENT = 2 * NS
OUTCOMES = {"full": Outcome.FULL, "error": Outcome.ERROR, "broken": Outcome.BROKEN}
EVERY = 8


def mark_of(key: str) -> str:
    """How servers know a paid request."""
    return f"m {key}"


class Disk:
    """What outlives a life."""

    def __init__(self):
        self.book: list[list] = []
        self.intents: list[list] = []
        self.rows: list = []


@dataclass(eq=False, slots=True)
class Attempt:
    setup: SetUp | None = None
    machine: Machine | None = None
    sent: bool = False
    over: bool = False


class EmulatedFront:
    def __init__(self, world, number: int, life: int, disk: Disk, seed: int, rules: type[Rules], wrong: str = ""):
        self.world, self.number, self.disk, self.wrong = world, number, disk, wrong
        self.door = world.site.front_addresses[number].name
        self.name = f"{self.door}.{life}"
        self.zone = world.zone_of_front(number)
        # the generation of the list that it has, and when the last news of it arrives
        self.alive, self.generation, self.list_at = True, -1, 0
        self.attempts: dict[TuneIn, Attempt] = {}
        # the boot of each server that it was told of by notes
        self.boots: dict[str, str] = {}
        self.tokens: dict[object, str] = {}
        self.answered = 0
        self.book, self.intents = SessionRegistry(), Intents()
        site, terms = world.site, world.site.terms(self.now(), seed, number)
        session_core = SessionCore
        if wrong:
            from curlewshift.emulator.planted_faults import wronged

            session_core, rules, terms = wronged(wrong, terms, rules)
        self.calendar = Calendar(terms.packages)
        self.session_core = session_core(
            self,
            terms,
            ServerList(site.uplinks, site.titles),
            rules=rules,
            most_waiting=site.most_waiting,
            calendar=self.calendar,
        )
        self.shared = EmulatedSharing(self, seed) if world.shared is not None else None
        self.sheds = EmulatedOverload(self, seed) if world.shedding is not None else None
        if hasattr(self.session_core.rules, "sees"):
            # an oracle, for comparison alone
            self.session_core.rules.sees = world
        if disk.rows:
            self.session_core.list_full("", -1, disk.rows, stale=True)
        self._recover()

    def _recover(self) -> None:
        self.book.restore(self.disk.book)
        intents = self.intents.restore(self.disk.intents, self.wall())
        self.recovery = recovery_of(self, self.session_core, self.name, self.book, intents, mark_of)
        if self.wrong != "leave-orphans" and (self.book.open or intents or self.disk.rows):
            self.recovery.begin()
            self._go_on_recovering()
        else:
            self.recovery.finished = True
        # written from now on: what is open, and what comes
        self.disk.book, self.disk.intents = self.book.snapshot(), self.intents.snapshot()

    def _go_on_recovering(self) -> None:
        if self.alive and not self.recovery.finished:
            self.recovery.time()
            self.world.queue.at(self.now() + NS // 10, self._go_on_recovering)

    def kill(self) -> None:
        self.alive = False
        for attempt in self.attempts.values():
            if attempt.sent:
                self.world.to_server(self, attempt.machine, self._hang_up_there, attempt)

    # ---- the desk's outside

    def now(self) -> int:
        return self.world.queue.now

    def wall(self) -> int:
        return self.world.queue.now

    def wake(self, at: int) -> None:
        self.world.queue.at(at, self._time)

    def _time(self) -> None:
        if self.alive:
            self.session_core.time()

    def asked(self, name: str, package: str, title: str, top: int, patience: int, key: str, who: str) -> Request | None:
        """A request at the door; None where it was shed there."""
        if self.sheds is not None and not self.session_core.knows(key):
            wait = self.sheds.admission_wait(package, title, who)
            if wait:
                self.world.viewers.answered(name, Answer(AnswerKind.REFUSED, "more is asked for than there is room", wait), self)
                return None
        request = self.session_core.asked(name, package, title, top, patience, key, Offer(key))
        if self.sheds is not None:
            self.sheds.request_accepted(request, who)
        return request

    def tune_in(self, tune_in: TuneIn) -> None:
        if self.sheds is not None:
            self.sheds.tune_in(tune_in)
        if self.shared is not None:
            self.shared.sharing.sent(tune_in.server, tune_in.number > 1)
        attempt = self.attempts[tune_in] = Attempt()
        intent = intent_of(tune_in, tune_in.front_session.viewing.expires)
        # the connection takes a way there and back
        self.world.to_server(self, self.world.machines.get(tune_in.server.name), self._connected, tune_in, attempt, intent)

    def _connected(self, machine: Machine | None, tune_in: TuneIn, attempt: Attempt, intent: Intent | None) -> None:
        back = self.world.way(self, machine)
        self.world.queue.at(self.now() + back, self._ready, machine, tune_in, attempt, intent)

    def _ready(self, machine: Machine | None, tune_in: TuneIn, attempt: Attempt, intent: Intent | None) -> None:
        if not self.alive or attempt.over:
            return
        if machine is None or machine.dead:
            self._ended(tune_in, attempt, Outcome.UNREACHED)
            return
        steps = setting_up(self.session_core, tune_in, self.intents, intent)
        self._step(steps, None, machine, tune_in, attempt)

    def _step(self, steps, kept: bool | None, machine: Machine, tune_in: TuneIn, attempt: Attempt) -> None:
        if not self.alive or attempt.over:
            return
        try:
            what, record = steps.send(kept)
        except StopIteration as ended:
            if ended.value is not None:
                self._ended(tune_in, attempt, ended.value)
            return
        if what == SEND:
            self._send(machine, tune_in, attempt)
        else:
            self.disk.intents.append(record)
            self.world.queue.at(self.now() + FLUSH, self._step, steps, True, machine, tune_in, attempt)

    def _send(self, machine: Machine, tune_in: TuneIn, attempt: Attempt) -> None:
        front_session, viewing = tune_in.front_session, tune_in.front_session.viewing
        request = front_session.requests[0].name if front_session.requests else str(viewing.name)
        rung = 0 if self.wrong == "under-floor" and viewing.name % EVERY == 0 else tune_in.rung
        mark = mark_of(front_session.held.key) if viewing.package.paid_at_setup and front_session.held is not None else ""
        attempt.sent, attempt.machine = True, machine
        attempt.setup = SetUp(self.name, request, tune_in.number, viewing.package.name, viewing.title, rung, mark, None)
        attempt.setup.answer = lambda how, session: self.world.from_server(
            self, machine, self._answered, tune_in, attempt, how, session
        )
        self.world.to_server(self, machine, self._arrives, attempt)
        if self.wrong == "double-tune-in" and viewing.name % 3 == 0:
            others = [server for server in viewing.holders if server is not tune_in.server and server.open]
            other = self.world.machines.get(others[0].name) if others else None
            if other is not None:
                twin = Attempt(
                    SetUp(
                        self.name,
                        request,
                        tune_in.number + 1,
                        viewing.package.name,
                        viewing.title,
                        rung,
                        "",
                        lambda how, session: None,
                    ),
                    other,
                    True,
                )
                self.world.to_server(self, other, self._arrives, twin)

    @staticmethod
    def _arrives(machine: Machine, attempt: Attempt) -> None:
        if machine.dead:
            attempt.setup.answer("broken", None)
        else:
            machine.asked(attempt.setup)

    def _answered(self, tune_in: TuneIn, attempt: Attempt, how: str, session) -> None:
        if not self.alive:
            return
        if how == "plays":
            self.attempts.pop(tune_in, None)
            attempt.over = True
            if self.wrong == "overspend-budget" and self.answered % 2 and not tune_in.front_session.viewing.package.paid_at_setup:
                self.answered += 1
                self.session_core.failed(tune_in, Outcome.FULL)
                return
            self.answered += 1
            report = dict(zip(("link", "uplink"), attempt.machine.report))
            self.session_core.played(tune_in, session.path, report)
        elif not attempt.over:
            report = dict(zip(("link", "uplink"), attempt.machine.report)) if how == "full" else None
            self._ended(tune_in, attempt, OUTCOMES[how], report)

    def _ended(self, tune_in: TuneIn, attempt: Attempt, outcome: Outcome, report: dict | None = None) -> None:
        attempt.over = True
        self.attempts.pop(tune_in, None)
        held = tune_in.front_session.held
        if held is not None and tune_in.front_session.viewing.package.paid_at_setup:
            record = self.intents.ended(held.key, outcome)
            if record is not None:
                self.disk.intents.append(record)
        self.session_core.failed(tune_in, outcome, report)

    def withdraw(self, tune_in: TuneIn) -> bool:
        attempt = self.attempts.pop(tune_in, None)
        if attempt is None:
            return True
        attempt.over = True
        if attempt.sent:
            self.world.to_server(self, attempt.machine, self._hang_up_there, attempt)
        return attempt.sent

    @staticmethod
    def _hang_up_there(machine: Machine, attempt: Attempt) -> None:
        if machine is not None and not machine.dead:
            machine.hung_up(attempt.setup)

    def _call(self, server: Server, there, back) -> None:
        """`there(machine)` is done at the server, and `back(result)` with what it gave; with None if nobody answers."""
        machine = self.world.machines.get(server.name)
        done = [False]

        def answered(result) -> None:
            if not done[0]:
                done[0] = True
                if self.alive:
                    back(result)

        if machine is None or machine.dead:
            self.world.queue.at(self.now() + 2 * self.world.way(self, machine), answered, None)
            return
        self.world.queue.at(self.now() + PATIENT, answered, None)
        self.world.to_server(
            self,
            machine,
            lambda machine: machine.when_thawed(lambda: self.world.from_server(self, machine, answered, there(machine))),
        )

    def tell(self, command) -> None:
        front_session = command.front_session
        if front_session in self.tokens:
            self._note(self.book.changed(self.tokens[front_session], "rung", command.rung))
        self._call(
            front_session.viewing.server,
            lambda machine: machine.layer(front_session.session, command.rung),
            lambda result: self.session_core.told_server(
                command, Result.UNANSWERED if result is None else Result.DONE if result else Result.REFUSED
            ),
        )

    def end_session(self, session_end) -> None:
        def there(machine):
            machine.end(session_end.session, "deleted", tell=False)
            return True

        self._call(session_end.server, there, lambda result: self.session_core.session_ended(session_end, bool(result)))

    def probe(self, server: Server) -> None:
        self._call(
            server,
            lambda machine: dict(zip(("link", "uplink"), machine.report)),
            lambda result: self.session_core.probed(server, Outcome.SILENT if result is None else Outcome.PLAYED, result),
        )

    def answer(self, request: Request, answer: Answer) -> None:
        if answer.kind is AnswerKind.PLAYS:
            self._kept(answer.front_session)
        if self.sheds is not None:
            self.sheds.answered(request, answer)
        if self.wrong == "lose-answer" and self.number_of(request) % EVERY == 0:
            return
        self.world.viewers.answered(request.name, answer, self)
        if self.wrong == "answer-twice" and self.number_of(request) % EVERY == 0:
            self.world.viewers.answered(request.name, answer, self)

    @staticmethod
    def number_of(request: Request) -> int:
        return sum(request.name.encode())

    def whole_list(self) -> None:
        self.world.listing.whole(self)

    # ---- what is kept

    def _kept(self, front_session) -> None:
        if front_session in self.tokens:
            return
        token = self.tokens[front_session] = f"{self.name} {front_session.viewing.name}"
        self._note(self.book.began(to_stored_session(front_session, token, None, front_session.session)))

    def _note(self, record: list | None) -> None:
        if record is not None:
            self.disk.book.append(record)

    def closed(self, front_session) -> None:
        token = self.tokens.pop(front_session, None)
        if token is not None:
            self._note(self.book.ended(token))
            if self.book.stale():
                self.disk.book = self.book.snapshot()
        self.session_core.closed(front_session)

    # ---- recovery's outside

    def ask_sessions(self, server: Server) -> None:
        def back(told) -> None:
            if told is None:
                self.recovery.unanswered(server)
            else:
                self.recovery.listed(server, *told)

        self._call(
            server,
            lambda machine: (
                machine.boot,
                [
                    ListedSession(one.path, one.life, one.rung, one.mark)
                    for one in machine.sessions.values()
                    if front_of(one.life) == self.door
                ],
            ),
            back,
        )

    def adopt(self, server: Server, paths: list[str]) -> None:
        self._call(
            server,
            lambda machine: machine.adopt(paths, self.name),
            lambda taken: self.recovery.unanswered(server) if taken is None else self.recovery.adopted(server, taken),
        )

    def resume(self, one: StoredSession, server: Server):
        front_session = self.session_core.handed_over(
            one.package, one.title, one.ceiling, server, one.path, one.rung, one.key, Offer(one.offer)
        )
        self.tokens[front_session] = one.token
        self.world.viewers.taken_up(self, front_session, one.path)
        return front_session

    def session_of(self, found: ListedSession, doubt: InterruptedSetup | None) -> str:
        return found.path

    def ended_before_resume(self, one: StoredSession) -> None:
        self._note(self.book.ended(one.token))
