"""Commands to the server of a playing viewing: rung changes and its client's patches, sent in order, one at a time.

Called by the session core. A session has one ETag, and each ICE restart creates a new one, so a command sent out of order
would be refused or, worse, accepted. A newer rung replaces one that still waits; there is no other reordering. When the
viewing ends, waiting commands end with `Result.ENDED` and nothing more is sent: `SessionEnds` ends the session itself.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

# Commands that may wait for one session; a client that sends patches faster than its server answers is asked to wait.
MAX_WAITING = 16
# Times that a rung is sent if it is not answered; after that, load reports show the old rung and the rules react to them.
MAX_RUNG_TRIES = 2


class Result(Enum):
    """The result of a server command."""

    DONE = "done"
    # the server has refused it; `reply` has its answer
    REFUSED = "refused"
    # not answered: it may have taken effect all the same
    UNANSWERED = "unanswered"
    # the viewing ended before it was sent
    ENDED = "over"
    # too many commands wait
    QUEUE_FULL = "crowded"


@dataclass(eq=False, slots=True)
class ServerCommand:
    """`rung` or `patch` is set. `on_finished(command)` is called once it is finished, with `result` and `reply` set."""

    front_session: object
    rung: int | None = None
    patch: object = None
    on_finished: Callable[[ServerCommand], None] | None = None
    result: Result | None = None
    reply: object = None
    tries: int = 0

    def end(self, result: Result, reply: object = None) -> None:
        self.result, self.reply = result, reply
        if self.on_finished is not None:
            self.on_finished(self)


class CommandQueue:
    """The commands of one session. `send(command)` starts one; its result comes back through `answered`."""

    __slots__ = ("ended", "out", "send", "waiting")

    def __init__(self, send: Callable[[ServerCommand], None]):
        self.send, self.waiting, self.out, self.ended = send, deque(), None, False

    def rung(self, front_session: object, rung: int) -> None:
        if self.ended:
            return
        for command in self.waiting:
            if command.rung is not None:
                command.rung = rung
                return
        self.waiting.append(ServerCommand(front_session, rung=rung))
        self._next()

    def patch(self, front_session: object, patch: object, on_finished: Callable[[ServerCommand], None]) -> ServerCommand:
        command = ServerCommand(front_session, patch=patch, on_finished=on_finished)
        if self.ended:
            command.end(Result.ENDED)
        elif len(self.waiting) >= MAX_WAITING:
            command.end(Result.QUEUE_FULL)
        else:
            self.waiting.append(command)
            self._next()
        return command

    def answered(self, command: ServerCommand, result: Result, reply: object = None) -> None:
        if command is not self.out:
            return
        self.out = None
        retry = command.rung is not None and result is Result.UNANSWERED and command.tries < MAX_RUNG_TRIES
        has_newer = any(other.rung is not None for other in self.waiting)
        if retry and not has_newer and not self.ended:
            self.waiting.appendleft(command)
        else:
            command.end(result, reply)
        self._next()

    def finish(self) -> None:
        """The viewing has ended: waiting commands end with `Result.ENDED`; the one in flight finishes by itself."""
        self.ended = True
        waiting, self.waiting = self.waiting, deque()
        for command in waiting:
            command.end(Result.ENDED)

    def _next(self) -> None:
        if self.out is None and self.waiting:
            self.out = self.waiting.popleft()
            self.out.tries += 1
            self.send(self.out)
