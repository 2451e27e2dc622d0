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
    """`rung` or `patch` is set. `told(errand)` is called once it has come to its end, with `result` and `reply` set."""

    course: object
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
    """Those of one course. `send(errand)` begins one; its outcome comes back through `answered`."""

    __slots__ = ("out", "over", "send", "waiting")

    def __init__(self, send: Callable[[ServerCommand], None]):
        self.send, self.waiting, self.out, self.over = send, deque(), None, False

    def rung(self, course: object, rung: int) -> None:
        if self.over:
            return
        for errand in self.waiting:
            if errand.rung is not None:
                errand.rung = rung
                return
        self.waiting.append(ServerCommand(course, rung=rung))
        self._next()

    def patch(self, course: object, patch: object, told: Callable[[ServerCommand], None]) -> ServerCommand:
        errand = ServerCommand(course, patch=patch, told=told)
        if self.over:
            errand.end(Result.OVER)
        elif len(self.waiting) >= MOST_WAITING:
            errand.end(Result.CROWDED)
        else:
            self.waiting.append(errand)
            self._next()
        return errand

    def answered(self, errand: ServerCommand, result: Result, reply: object = None) -> None:
        if errand is not self.out:
            return
        self.out = None
        again = errand.rung is not None and result is Result.UNANSWERED and errand.tries < RUNG_TRIES
        newer = any(other.rung is not None for other in self.waiting)
        if again and not newer and not self.over:
            self.waiting.appendleft(errand)
        else:
            errand.end(result, reply)
        self._next()

    def finish(self) -> None:
        """The viewing is over: what waits is told so. What is out comes to its own end."""
        self.over = True
        waiting, self.waiting = self.waiting, deque()
        for errand in waiting:
            errand.end(Result.OVER)

    def _next(self) -> None:
        if self.out is None and self.waiting:
            self.out = self.waiting.popleft()
            self.out.tries += 1
            self.send(self.out)
