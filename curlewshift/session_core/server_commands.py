"""What a playing viewing has its server told: rungs, and what its client patches. In order, one at a time.

Called by the desk. A session has one ETag, and each ICE restart makes a new one, so what is told out of order would be
refused or, worse, taken. A newer rung overtakes one that still waits, and nothing else overtakes anything. Once the
viewing is over, what waits is told so and nothing more goes out: the end of the session is `SessionEnds`' to tell.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

# Patches that may wait at one session; a client that sends faster than its server answers is told to wait.
MOST_WAITING = 16
# A rung that nobody answered is told once more; if that fails too, the reports will show it and the rules answer them.
RUNG_TRIES = 2


class Result(Enum):
    """What came of an errand."""

    DONE = "done"
    # the server has answered no; `reply` has its words
    REFUSED = "refused"
    # nobody answered: it may have been taken all the same
    UNANSWERED = "unanswered"
    # the viewing was over before it went out
    OVER = "over"
    # too many wait
    CROWDED = "crowded"


@dataclass(eq=False, slots=True)
class ServerCommand:
    """`rung` or `patch` is set. `told(command)` is called once it has come to its end, with `result` and `reply` set."""

    front_session: object
    rung: int | None = None
    patch: object = None
    told: Callable[[ServerCommand], None] | None = None
    result: Result | None = None
    reply: object = None
    tries: int = 0

    def end(self, result: Result, reply: object = None) -> None:
        self.result, self.reply = result, reply
        if self.told is not None:
            self.told(self)


class CommandQueue:
    """Those of one course. `send(command)` begins one; its outcome comes back through `answered`."""

    __slots__ = ("out", "over", "send", "waiting")

    def __init__(self, send: Callable[[ServerCommand], None]):
        self.send, self.waiting, self.out, self.over = send, deque(), None, False

    def rung(self, front_session: object, rung: int) -> None:
        if self.over:
            return
        for command in self.waiting:
            if command.rung is not None:
                command.rung = rung
                return
        self.waiting.append(ServerCommand(front_session, rung=rung))
        self._next()

    def patch(self, front_session: object, patch: object, told: Callable[[ServerCommand], None]) -> ServerCommand:
        command = ServerCommand(front_session, patch=patch, told=told)
        if self.over:
            command.end(Result.OVER)
        elif len(self.waiting) >= MOST_WAITING:
            command.end(Result.CROWDED)
        else:
            self.waiting.append(command)
            self._next()
        return command

    def answered(self, command: ServerCommand, result: Result, reply: object = None) -> None:
        if command is not self.out:
            return
        self.out = None
        again = command.rung is not None and result is Result.UNANSWERED and command.tries < RUNG_TRIES
        newer = any(other.rung is not None for other in self.waiting)
        if again and not newer and not self.over:
            self.waiting.appendleft(command)
        else:
            command.end(result, reply)
        self._next()

    def finish(self) -> None:
        """The viewing is over: what waits is told so. What is out comes to its own end."""
        self.over = True
        waiting, self.waiting = self.waiting, deque()
        for command in waiting:
            command.end(Result.OVER)

    def _next(self) -> None:
        if self.out is None and self.waiting:
            self.out = self.waiting.popleft()
            self.out.tries += 1
            self.send(self.out)
