"""Sessions that have to end at their servers, and how often that is tried.

Called by the desk for every session that plays for nobody: its viewer has ended it, or left before it played, or its
answer came after the tune-in was given up. A server that does not hear of it goes on sending to nobody, and its link
is full of that. So an ending is tried until the server says that it is done (or knows nothing of it), until the server
is another one, or until its time is over: by then a server ends by itself what nobody watches.

Endings wait for no viewer, so they are kept from getting in the way: few out at once to one server, pauses that grow,
and a server that is silent is asked for one ending at a time until it answers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from curlewshift.model import Server

SECOND = 1_000_000_000
# Out at once to one server; one while it is silent.
MOST_OUT = 4
# Pauses after a try that nobody answered: the first, doubled up to the longest.
FIRST_PAUSE = SECOND // 4
LONGEST_PAUSE = 2 * SECOND
# An ending is given up after this: servers end what nobody watches long before.
TRIED_FOR = 30 * SECOND
# Waiting endings of one server; the oldest are given up first, as their servers will have ended them soonest.
MOST_WAITING = 5000


@dataclass(eq=False, slots=True)
class SessionEnd:
    """One session to be ended; `session` is the outside's."""

    server: Server
    session: object
    since: int
    tries: int = 0


@dataclass(eq=False, slots=True)
class AtServer:
    waiting: deque = field(default_factory=deque)
    out: int = 0
    silent: int = 0
    # not before this is anything tried; None while no look is set
    rests_until: int = 0
    looks: bool = False


class SessionEnds:
    """`send(session_end)` begins one try; `at(time, call)` calls later. `done` counts what servers have confirmed."""

    def __init__(self, now: Callable[[], int], send: Callable[[SessionEnd], None], at: Callable[[int, Callable], None]):
        self.now, self.send, self.at = now, send, at
        self.servers: dict[Server, AtServer] = {}
        self.done = self.given_up = 0

    def __len__(self) -> int:
        return sum(len(here.waiting) + here.out for here in self.servers.values())

    def end(self, server: Server, session: object) -> None:
        here = self.servers.setdefault(server, AtServer())
        here.waiting.append(SessionEnd(server, session, self.now()))
        if len(here.waiting) > MOST_WAITING:
            here.waiting.popleft()
            self.given_up += 1
        self._go_on(server, here)

    def answered(self, session_end: SessionEnd) -> None:
        """The server says that it is over, or that it knows nothing of it."""
        here = self._back(session_end)
        if here is not None:
            here.silent, here.rests_until = 0, 0
            self.done += 1
            self._go_on(session_end.server, here)

    def unanswered(self, session_end: SessionEnd) -> None:
        """Nobody answered, or with an error of the server's own."""
        here = self._back(session_end)
        if here is None:
            return
        now = self.now()
        if now - session_end.since >= TRIED_FOR:
            self.given_up += 1
        else:
            # behind the others: one that nobody answers must not hold them up
            here.waiting.append(session_end)
        here.silent += 1
        here.rests_until = now + min(LONGEST_PAUSE, FIRST_PAUSE << min(here.silent - 1, 10))
        self._go_on(session_end.server, here)

    def server_gone(self, server: Server) -> None:
        """It has restarted or left: nothing of what it played is there any more."""
        here = self.servers.pop(server, None)
        if here is not None:
            self.done += len(here.waiting) + here.out

    def _back(self, session_end: SessionEnd) -> AtServer | None:
        here = self.servers.get(session_end.server)
        if here is not None and here.out:
            here.out -= 1
            return here
        return None

    def _go_on(self, server: Server, here: AtServer) -> None:
        now = self.now()
        while here.waiting and now >= here.rests_until and here.out < (1 if here.silent else MOST_OUT):
            session_end = here.waiting.popleft()
            if session_end.tries and now - session_end.since >= TRIED_FOR:
                self.given_up += 1
                continue
            session_end.tries += 1
            here.out += 1
            self.send(session_end)
        if here.waiting and not here.out and not here.looks:
            here.looks = True
            self.at(here.rests_until, lambda: self._look(server, here))
        elif not here.waiting and not here.out:
            self.servers.pop(server, None)

    def _look(self, server: Server, here: AtServer) -> None:
        here.looks = False
        if self.servers.get(server) is here:
            self._go_on(server, here)
