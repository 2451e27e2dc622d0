"""The door towards viewers: connections, and the sessions that were asked for on them. It decides nothing.

A session belongs to no connection once it stands, so sessions are known by their ids here, and what ends one may go out
on any connection on which viewers have been answered. A request that waits for its answer hangs on its connection.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import anyio

from curlewshift.desk.course import Answer, Course, Kind, Request
from curlewshift.desk.desk import Misuse
from curlewshift.exchange.accepting import Patient
from curlewshift.node import rtsp
from curlewshift.node.wire import Intake, Wire

MS = 1_000_000
NS = 1_000_000_000
# A viewer has sent its first message this long after it has connected, and any message this long after its first byte
# (ns): the page gives bad clients three seconds to be told off in.
FIRST_WITHIN = 3 * NS // 2
MESSAGE_WITHIN = NS
SWEEP = 0.1
# An answer is this long on its way to its viewer at the most; after that it would find nobody (ns).
WAY_BACK = 10 * MS
# A request that is past its time by so much has been forgotten by whoever should have answered (ns).
OVERDUE = NS // 10
# Releases that wait for a connection to go out on; more are dropped, oldest first.
MOST_UNSAID = 5000

SESSION = re.compile(r"[0-9a-f]{16}")
TITLE = re.compile(r"rtsp://media/([0-9a-f]{16})")
WAIT = re.compile(r"[0-9]{1,9}")
NUMBER = re.compile(r"[0-9]{1,15}(?:\.[0-9]{1,9})?")
CAUSE = re.compile(r"(?:.*;)? *cause=([0-9]{1,3})")
AT = re.compile(r"s-[0-9a-f]{8}")
MOST_DESCRIPTION = 8 * 1024
# Trying again is harmless after 453 and 503, and is not after the others.
NO_ROOM, LEAVING, FAILED, BAD = 453, 503, 500, 400


class Wrong(Exception):
    """Why a request cannot be taken as it stands."""

    def __init__(self, why: str, status: int = BAD):
        super().__init__(why)
        self.status = status


@dataclass(eq=False, slots=True)
class Asked:
    """One session by its viewer's id: asked for, or standing."""

    name: str
    line: Line | None
    request: Request | None = None
    course: Course | None = None


class Line:
    """One connection from viewers."""

    def __init__(self, wire: Wire, now: int):
        self.wire, self.intake = wire, Intake(rtsp.Reader(), rtsp.Malformed, now)
        self.waiting: dict[str, Asked] = {}
        self.opened_at = now
        # a whole message has been read
        self.spoke = False
        # a viewing was answered here, or a test: whoever is there follows the protocol
        self.good = False
        self.rested_at = now / NS

    # for the gate, see curlewshift/limits/descriptors.py

    @property
    def at_work(self) -> bool:
        return bool(self.waiting)

    def drop(self) -> None:
        self.wire.drop()


class Door:
    """`node` is told what viewers ask for; see curlewshift/node/node.py. `cells` is how many the list has."""

    def __init__(self, node, gate, log, cells: int, tops: int):
        self.node, self.gate, self.log = node, gate, log
        self.cells, self.tops = cells, tops
        self.asked: dict[str, Asked] = {}
        self.lines: dict[Line, bool] = {}
        self.unsaid: dict[str, int] = {}
        self.last_good: Line | None = None

    # ---- connections

    async def serve(self, listener, tasks) -> None:
        self.tasks = tasks
        await Patient(listener, self.gate).serve(self._run, task_group=tasks)

    async def _run(self, stream) -> None:
        wire = Wire(stream, self.tasks)
        line = Line(wire, self.node.now())
        self.lines[line] = True
        self.gate.opened(line)
        try:
            while not wire.gone:
                data = await wire.receive()
                if not data:
                    break
                self._read(line, data)
                # who sends without end is read in turn with the others
                await anyio.sleep(0)
        except Exception as fault:
            self.log.error("fault", what="a connection from viewers", cause=repr(fault), exc_info=fault)
        finally:
            await wire.close()
            self.lines.pop(line, None)
            self.gate.closed(line)
            if self.last_good is line:
                self.last_good = None
            for asked in list(line.waiting.values()):
                self._give_up(asked)

    def _read(self, line: Line, data: bytes) -> None:
        now = self.node.now()
        messages, wrong = line.intake.feed(data, now)
        line.spoke = line.spoke or bool(messages)
        for message in messages:
            if line.wire.gone or line.wire.ending:
                return
            self._take(line, message, now)
        if wrong is not None:
            self.log.info("malformed", what="viewers", cause=str(wrong))
            line.wire.send(rtsp.answer(wrong.status, "1", ""))
            line.wire.end()

    def sweep(self) -> None:
        """Connections that say nothing, or half of something, are closed in time."""
        now = self.node.now()
        for line in list(self.lines):
            silent = not line.spoke and now - line.opened_at > FIRST_WITHIN
            if silent or line.intake.stuck(now, MESSAGE_WITHIN):
                line.wire.drop()
            for asked in list(line.waiting.values()):
                if asked.request is not None and now > asked.request.expires + OVERDUE:
                    # nothing should come to this; if something does, it is told, and the viewer is not kept waiting for ever
                    self.log.error("unanswered", session=asked.name, cause="its time is over, and nobody has said so")
                    line.wire.send(rtsp.answer(FAILED, "1", asked.name))
                    self._give_up(asked)
        if self.gate.crowded:
            self.gate.make_room()
        if self.unsaid:
            self._say()

    # ---- messages

    def _take(self, line: Line, message: rtsp.Message, now: int) -> None:
        number = message.fields.get("cseq", "1")[:16]
        name = message.fields.get("session", "")
        if message.status:
            return
        try:
            if message.doubled:
                raise Wrong("a field comes twice")
            if not number.isdigit():
                number = "1"
                raise Wrong("no number")
            if message.method == "OPTIONS":
                line.wire.send(rtsp.answer(200 if self.node.ready else 503, number, name if SESSION.fullmatch(name) else ""))
                return
            if not SESSION.fullmatch(name):
                raise Wrong("no session's id")
            if message.method == "SETUP":
                self._set_up(line, name, message, now)
            elif message.method == "TEARDOWN":
                self._torn_down(line, name, number, message)
            elif message.method not in ("ANNOUNCE", "REDIRECT", "SET_PARAMETER"):
                raise Wrong(f"nothing is known of {message.method}", 501)
        except (Wrong, Misuse) as wrong:
            self.log.info("wrong", what=message.method, session=name[:16], cause=str(wrong))
            named = SESSION.fullmatch(name) and not message.doubled
            line.wire.send(rtsp.answer(getattr(wrong, "status", BAD), number, name if named else ""))
            if not named:
                line.wire.end()
        except Exception as fault:
            # one viewing's, and not that of the others on its connection
            self.log.error("fault", what=message.method, session=name[:16], cause=repr(fault), exc_info=fault)
            if message.method == "SETUP" and SESSION.fullmatch(name):
                line.wire.send(rtsp.answer(FAILED, number, name))

    def _set_up(self, line: Line, name: str, message: rtsp.Message, now: int) -> None:
        fields = message.fields
        title = TITLE.fullmatch(message.address)
        if not title:
            raise Wrong("the address names no title", 404)
        legs = _legs(fields.get("x-legs", ""))
        base = _whole(legs, "home", self.cells - 1)
        span = _whole(legs, "copies", self.cells)
        top = _whole(legs, "top", self.tops)
        viewer = legs.get("viewer", "")
        wait, hint = fields.get("x-timer-ms", ""), fields.get("x-length")
        if span < 1 or not SESSION.fullmatch(viewer):
            raise Wrong("no figures of a viewer")
        if not WAIT.fullmatch(wait) or int(wait) == 0:
            raise Wrong("no time to wait")
        if hint is not None and not NUMBER.fullmatch(hint):
            raise Wrong("a length that is no number")
        if not 0 < len(message.body) <= MOST_DESCRIPTION:
            raise Wrong("no description")
        expected = round(float(hint) * MS) if hint is not None else 0
        package, viewer = fields.get("x-cos", ""), int(viewer, 16)
        if "at" in legs:
            if name not in self.asked and AT.fullmatch(legs["at"]):
                course = self.node.plays_at(name, package, title[1], base, span, top, viewer, expected, legs["at"])
                if course is not None:
                    self.asked[name] = Asked(name, line, course=course)
            line.good = True
            return
        if name in self.asked:
            raise Wrong("this session is open already", 455)
        asked = self.asked[name] = Asked(name, line)
        line.waiting[name] = asked
        try:
            asked.request = self.node.asked(
                name, package, title[1], base, span, top, viewer, expected, "again" in legs,
                max(MS, int(wait) * MS - WAY_BACK), now, message.body)
        except BaseException:
            self._forget(asked)
            raise

    def _torn_down(self, line: Line, name: str, number: str, message: rtsp.Message) -> None:
        asked = self.asked.get(name)
        if asked is None:
            self.unsaid.pop(name, None)
            raise Wrong("no such session is open", 454)
        line.wire.send(rtsp.answer(200, number, name))
        if asked.course is None:
            self._give_up(asked)
            return
        cause = CAUSE.fullmatch(message.fields.get("reason", ""))
        self._forget(asked)
        self.node.released(asked.course, min(int(cause[1]), 127) if cause else 0)

    def _give_up(self, asked: Asked) -> None:
        self._forget(asked)
        if asked.request is not None:
            self.node.gave_up(asked.request)

    def _forget(self, asked: Asked) -> None:
        self.asked.pop(asked.name, None)
        if asked.line is not None:
            asked.line.waiting.pop(asked.name, None)
            asked.line.rested_at = self.node.now() / NS

    # ---- what goes back

    def answer(self, asked: Asked, answer: Answer, description: bytes = b"") -> None:
        line = asked.line
        if self.asked.get(asked.name) is not asked:
            return
        self._forget(asked)
        if answer.kind is Kind.PLAYS:
            asked.course = answer.course
            self.asked[asked.name] = asked
            line.wire.send(rtsp.answer(200, "1", asked.name, description))
            line.good, self.last_good = True, line
        elif answer.kind is Kind.REFUSED:
            pause = f"X-Pause: {answer.wait // MS}\r\n" if answer.wait else ""
            line.wire.send(rtsp.answer(LEAVING if self.node.draining else NO_ROOM, "1", asked.name, fields=pause))
        else:
            line.wire.send(rtsp.answer(FAILED, "1", asked.name))

    def release(self, asked: Asked, cause: int | None) -> None:
        """The session is over; no cause for one of which its viewer is to hear nothing."""
        if self.asked.get(asked.name) is asked:
            self._forget(asked)
            if cause is not None:
                self.unsaid[asked.name] = cause
                if len(self.unsaid) > MOST_UNSAID:
                    del self.unsaid[next(iter(self.unsaid))]
                self._say(asked.line)

    def _say(self, own: Line | None = None) -> None:
        """Releases that are owed go out: on the connection of the set-up, or else on any that has served viewers."""
        line = own if own is not None and not own.wire.gone else self._good()
        if line is not None:
            unsaid, self.unsaid = self.unsaid, {}
            for name, cause in unsaid.items():
                line.wire.send(rtsp.release(name, cause))

    def _good(self) -> Line | None:
        if self.last_good is None or self.last_good.wire.gone:
            self.last_good = next((line for line in reversed(self.lines) if line.good and not line.wire.gone), None)
        return self.last_good


def _legs(text: str) -> dict[str, str]:
    legs = {}
    for part in text.split(";"):
        name, colon, value = part.strip().partition(":")
        if not colon or name in legs:
            raise Wrong("figures that cannot be read")
        legs[name] = value
    return legs


def _whole(legs: dict[str, str], name: str, most: int) -> int:
    value = legs.get(name, "")
    if not value.isdigit() or len(value) > 6 or int(value) > most:
        raise Wrong(f"{name} is no number from 0 to {most}")
    return int(value)
