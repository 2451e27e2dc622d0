"""One front in virtual time: the real session core, with an emulated network for sockets and lists for the disk.

A life is one run of the front; a restart begins a new life on the same `Disk`. The constructor's `fault` names one of the
planted faults of `planted_faults.NAMES`, which the verdict has to detect in the emulator as it does on sockets.
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
# Time to write an intent to the disk, in ns.
INTENT_WRITE_TIME = 1 * MS
# Time-out in ns of calls to servers on which no viewer waits.
CALL_TIMEOUT = 2 * NS
OUTCOMES = {"full": Outcome.FULL, "error": Outcome.ERROR, "broken": Outcome.BROKEN}
# Faults that affect some requests only affect one in this many.
FAULTY_ONE_IN = 8


def session_mark(key: str) -> str:
    """The mark by which servers recognise a session whose set-up is paid for, from the idempotency key of its request."""
    return f"m {key}"


class Disk:
    """Stored state that survives a restart: session registry, intents and the rows of the server list."""

    def __init__(self):
        self.book: list[list] = []
        self.intents: list[list] = []
        self.rows: list = []


@dataclass(eq=False, slots=True)
class Attempt:
    """A tune-in in progress, and what has been sent for it."""

    setup: SetUp | None = None
    machine: Machine | None = None
    sent: bool = False
    ended: bool = False


class EmulatedFront:
    """One life of one front: driver of its session core and of its recovery."""

    def __init__(self, world, number: int, life: int, disk: Disk, seed: int, rules: type[Rules], fault: str = ""):
        self.world, self.number, self.disk, self.fault = world, number, disk, fault
        self.address_name = world.site.front_addresses[number].name
        self.name = f"{self.address_name}.{life}"
        self.zone = world.zone_of_front(number)
        # the generation of the server list received last, and when its latest update arrives
        self.alive, self.generation, self.list_at = True, -1, 0
        self.attempts: dict[TuneIn, Attempt] = {}
        # the boot of each server, as last notified by it
        self.boots: dict[str, str] = {}
        self.tokens: dict[object, str] = {}
        self.answered = 0
        self.book, self.intents = SessionRegistry(), Intents()
        site, terms = world.site, world.site.terms(self.now(), seed, number)
        session_core = SessionCore
        if fault:
            from curlewshift.emulator.planted_faults import with_fault

            session_core, rules, terms = with_fault(fault, terms, rules)
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
            # the oracle policy, used for comparison only, reads the true state of the world
            self.session_core.rules.sees = world
        if disk.rows:
            self.session_core.list_full("", -1, disk.rows, stale=True)
        self._recover()

    def _recover(self) -> None:
        self.book.restore(self.disk.book)
        intents = self.intents.restore(self.disk.intents, self.wall())
        self.recovery = recovery_of(self, self.session_core, self.name, self.book, intents, session_mark)
        if self.fault != "leave-orphans" and (self.book.open or intents or self.disk.rows):
            self.recovery.begin()
            self._continue_recovery()
        else:
            self.recovery.finished = True
        # the stored records are compacted to what is open; new ones are appended
        self.disk.book, self.disk.intents = self.book.snapshot(), self.intents.snapshot()

    def _continue_recovery(self) -> None:
        if self.alive and not self.recovery.finished:
            self.recovery.time()
            self.world.queue.at(self.now() + NS // 10, self._continue_recovery)

    def kill(self) -> None:
        self.alive = False
        for attempt in self.attempts.values():
            if attempt.sent:
                self.world.to_server(self, attempt.machine, self._hang_up_at_server, attempt)

    # ---- driver of the session core

    def now(self) -> int:
        return self.world.queue.now

    def wall(self) -> int:
        return self.world.queue.now

    def wake(self, at: int) -> None:
        self.world.queue.at(at, self._on_timer)

    def _on_timer(self) -> None:
        if self.alive:
            self.session_core.time()

    def asked(self, name: str, package: str, title: str, top: int, patience: int, key: str, who: str) -> Request | None:
        """Passes a request to the session core; returns None if it was shed before that."""
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
        # setting up the connection takes one round trip
        self.world.to_server(self, self.world.machines.get(tune_in.server.name), self._connected, tune_in, attempt, intent)

    def _connected(self, machine: Machine | None, tune_in: TuneIn, attempt: Attempt, intent: Intent | None) -> None:
        delay = self.world.message_delay(self, machine)
        self.world.queue.at(self.now() + delay, self._ready, machine, tune_in, attempt, intent)

    def _ready(self, machine: Machine | None, tune_in: TuneIn, attempt: Attempt, intent: Intent | None) -> None:
        if not self.alive or attempt.ended:
            return
        if machine is None or machine.dead:
            self._attempt_ended(tune_in, attempt, Outcome.UNREACHED)
            return
        steps = setting_up(self.session_core, tune_in, self.intents, intent)
        self._step(steps, None, machine, tune_in, attempt)

    def _step(self, steps, written: bool | None, machine: Machine, tune_in: TuneIn, attempt: Attempt) -> None:
        if not self.alive or attempt.ended:
            return
        try:
            step, record = steps.send(written)
        except StopIteration as stop:
            if stop.value is not None:
                self._attempt_ended(tune_in, attempt, stop.value)
            return
        if step == SEND:
            self._send(machine, tune_in, attempt)
        else:
            self.disk.intents.append(record)
            self.world.queue.at(self.now() + INTENT_WRITE_TIME, self._step, steps, True, machine, tune_in, attempt)

    def _send(self, machine: Machine, tune_in: TuneIn, attempt: Attempt) -> None:
        front_session, viewing = tune_in.front_session, tune_in.front_session.viewing
        request = front_session.requests[0].name if front_session.requests else str(viewing.name)
        rung = 0 if self.fault == "under-floor" and viewing.name % FAULTY_ONE_IN == 0 else tune_in.rung
        mark = session_mark(front_session.held.key) if viewing.package.paid_at_setup and front_session.held is not None else ""
        attempt.sent, attempt.machine = True, machine
        attempt.setup = SetUp(self.name, request, tune_in.number, viewing.package.name, viewing.title, rung, mark, None)
        attempt.setup.answer = lambda status, session: self.world.from_server(
            self, machine, self._answered, tune_in, attempt, status, session
        )
        self.world.to_server(self, machine, self._arrive, attempt)
        if self.fault == "double-tune-in" and viewing.name % 3 == 0:
            others = [server for server in viewing.holders if server is not tune_in.server and server.open]
            other = self.world.machines.get(others[0].name) if others else None
            if other is not None:
                duplicate = Attempt(
                    SetUp(
                        self.name,
                        request,
                        tune_in.number + 1,
                        viewing.package.name,
                        viewing.title,
                        rung,
                        "",
                        lambda status, session: None,
                    ),
                    other,
                    True,
                )
                self.world.to_server(self, other, self._arrive, duplicate)

    @staticmethod
    def _arrive(machine: Machine, attempt: Attempt) -> None:
        if machine.dead:
            attempt.setup.answer("broken", None)
        else:
            machine.receive(attempt.setup)

    def _answered(self, tune_in: TuneIn, attempt: Attempt, status: str, session) -> None:
        if not self.alive:
            return
        if status == "plays":
            self.attempts.pop(tune_in, None)
            attempt.ended = True
            if self.fault == "overspend-budget" and self.answered % 2 and not tune_in.front_session.viewing.package.paid_at_setup:
                self.answered += 1
                self.session_core.failed(tune_in, Outcome.FULL)
                return
            self.answered += 1
            report = dict(zip(("link", "uplink"), attempt.machine.report))
            self.session_core.played(tune_in, session.path, report)
        elif not attempt.ended:
            report = dict(zip(("link", "uplink"), attempt.machine.report)) if status == "full" else None
            self._attempt_ended(tune_in, attempt, OUTCOMES[status], report)

    def _attempt_ended(self, tune_in: TuneIn, attempt: Attempt, outcome: Outcome, report: dict | None = None) -> None:
        attempt.ended = True
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
        attempt.ended = True
        if attempt.sent:
            self.world.to_server(self, attempt.machine, self._hang_up_at_server, attempt)
        return attempt.sent

    @staticmethod
    def _hang_up_at_server(machine: Machine, attempt: Attempt) -> None:
        if machine is not None and not machine.dead:
            machine.hung_up(attempt.setup)

    def _call(self, server: Server, at_server, on_result) -> None:
        """Runs `at_server(machine)` at the server, then `on_result` with its result, or with None if there is no answer."""
        machine = self.world.machines.get(server.name)
        done = [False]

        def answered(result) -> None:
            if not done[0]:
                done[0] = True
                if self.alive:
                    on_result(result)

        if machine is None or machine.dead:
            self.world.queue.at(self.now() + 2 * self.world.message_delay(self, machine), answered, None)
            return
        self.world.queue.at(self.now() + CALL_TIMEOUT, answered, None)
        self.world.to_server(
            self,
            machine,
            lambda machine: machine.when_thawed(lambda: self.world.from_server(self, machine, answered, at_server(machine))),
        )

    def tell(self, command) -> None:
        front_session = command.front_session
        if front_session in self.tokens:
            self._append_record(self.book.changed(self.tokens[front_session], "rung", command.rung))
        self._call(
            front_session.viewing.server,
            lambda machine: machine.layer(front_session.session, command.rung),
            lambda result: self.session_core.told_server(
                command, Result.UNANSWERED if result is None else Result.DONE if result else Result.REFUSED
            ),
        )

    def end_session(self, session_end) -> None:
        def delete(machine):
            machine.end(session_end.session, "deleted", tell=False)
            return True

        self._call(session_end.server, delete, lambda result: self.session_core.session_ended(session_end, bool(result)))

    def probe(self, server: Server) -> None:
        self._call(
            server,
            lambda machine: dict(zip(("link", "uplink"), machine.report)),
            lambda result: self.session_core.probed(server, Outcome.SILENT if result is None else Outcome.PLAYED, result),
        )

    def answer(self, request: Request, answer: Answer) -> None:
        if answer.kind is AnswerKind.PLAYS:
            self._store_session(answer.front_session)
        if self.sheds is not None:
            self.sheds.answered(request, answer)
        if self.fault == "lose-answer" and self.name_sum(request) % FAULTY_ONE_IN == 0:
            return
        self.world.viewers.answered(request.name, answer, self)
        if self.fault == "answer-twice" and self.name_sum(request) % FAULTY_ONE_IN == 0:
            self.world.viewers.answered(request.name, answer, self)

    @staticmethod
    def name_sum(request: Request) -> int:
        return sum(request.name.encode())

    def whole_list(self) -> None:
        self.world.listing.send_full(self)

    # ---- stored sessions

    def _store_session(self, front_session) -> None:
        if front_session in self.tokens:
            return
        token = self.tokens[front_session] = f"{self.name} {front_session.viewing.name}"
        self._append_record(self.book.began(to_stored_session(front_session, token, None, front_session.session)))

    def _append_record(self, record: list | None) -> None:
        if record is not None:
            self.disk.book.append(record)

    def closed(self, front_session) -> None:
        token = self.tokens.pop(front_session, None)
        if token is not None:
            self._append_record(self.book.ended(token))
            if self.book.stale():
                self.disk.book = self.book.snapshot()
        self.session_core.closed(front_session)

    # ---- driver of the recovery

    def ask_sessions(self, server: Server) -> None:
        def on_result(listing) -> None:
            if listing is None:
                self.recovery.unanswered(server)
            else:
                self.recovery.listed(server, *listing)

        self._call(
            server,
            lambda machine: (
                machine.boot,
                [
                    ListedSession(session.path, session.life, session.rung, session.mark)
                    for session in machine.sessions.values()
                    if front_of(session.life) == self.address_name
                ],
            ),
            on_result,
        )

    def adopt(self, server: Server, paths: list[str]) -> None:
        self._call(
            server,
            lambda machine: machine.adopt(paths, self.name),
            lambda adopted_paths: (
                self.recovery.unanswered(server) if adopted_paths is None else self.recovery.adopted(server, adopted_paths)
            ),
        )

    def resume(self, stored: StoredSession, server: Server):
        front_session = self.session_core.handed_over(
            stored.package, stored.title, stored.ceiling, server, stored.path, stored.rung, stored.key, Offer(stored.offer)
        )
        self.tokens[front_session] = stored.token
        self.world.viewers.taken_up(self, front_session, stored.path)
        return front_session

    def session_of(self, listed: ListedSession, doubt: InterruptedSetup | None) -> str:
        return listed.path

    def ended_before_resume(self, stored: StoredSession) -> None:
        self._append_record(self.book.ended(stored.token))
