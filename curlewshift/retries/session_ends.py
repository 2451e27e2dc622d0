"""Ends sessions at media servers, with retries.

Called by the session core for every session without a viewer: its viewer (client) has ended it or left before it played,
or the server's answer came after the tune-in (set-up attempt) was given up. A media server that is not asked to end such
a session keeps sending it, which fills its link. So an end is retried until the server confirms it (or does not know the
session), until the server has restarted or left, or until `GIVE_UP_AFTER` has passed: by then a server ends by itself what
nobody watches.

No viewer waits for a session end, so they must not delay other requests: few are in flight to one server, the pauses
between tries grow, and a server that does not answer gets one request at a time until it answers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from curlewshift.model import Server

SECOND = 1_000_000_000
# Requests in flight to one server; only one while the server does not answer.
MAX_IN_FLIGHT = 4
# Pause (ns) after a try without an answer: the first one, doubled up to the maximum.
INITIAL_BACKOFF = SECOND // 4
MAX_BACKOFF = 2 * SECOND
# A session end is given up after this time (ns): servers end sessions that nobody watches long before.
GIVE_UP_AFTER = 30 * SECOND
# Maximum number of session ends waiting for one server; the oldest are given up first, as the server will be the first to
# have ended these by itself.
MAX_WAITING = 5000


@dataclass(eq=False, slots=True)
class SessionEnd:
    """One session to be ended; `session` is the driver's object. `since` is when that was requested (ns)."""

    server: Server
    session: object
    since: int
    tries: int = 0


@dataclass(eq=False, slots=True)
class ServerQueue:
    """Session ends of one server; `silent` counts the tries in a row that were not answered."""

    waiting: deque = field(default_factory=deque)
    in_flight: int = 0
    silent: int = 0
    # nothing is sent before this time (ns); `timer_set` while a call at that time is due
    backoff_until: int = 0
    timer_set: bool = False


class SessionEnds:
    """`send(session_end)` begins one try; `call_at(time, call)` calls later. `done` counts session ends that servers have
    confirmed, `given_up` those that were given up."""

    def __init__(self, now: Callable[[], int], send: Callable[[SessionEnd], None], call_at: Callable[[int, Callable], None]):
        self.now, self.send, self.call_at = now, send, call_at
        self.servers: dict[Server, ServerQueue] = {}
        self.done = self.given_up = 0

    def __len__(self) -> int:
        return sum(len(queue.waiting) + queue.in_flight for queue in self.servers.values())

    def end(self, server: Server, session: object) -> None:
        queue = self.servers.setdefault(server, ServerQueue())
        queue.waiting.append(SessionEnd(server, session, self.now()))
        if len(queue.waiting) > MAX_WAITING:
            queue.waiting.popleft()
            self.given_up += 1
        self._send_waiting(server, queue)

    def answered(self, session_end: SessionEnd) -> None:
        """The server has confirmed that the session has ended, or that it does not know it."""
        queue = self._take_back(session_end)
        if queue is not None:
            queue.silent, queue.backoff_until = 0, 0
            self.done += 1
            self._send_waiting(session_end.server, queue)

    def unanswered(self, session_end: SessionEnd) -> None:
        """There was no answer, or an error of the server's own."""
        queue = self._take_back(session_end)
        if queue is None:
            return
        now = self.now()
        if now - session_end.since >= GIVE_UP_AFTER:
            self.given_up += 1
        else:
            # to the back of the queue: one session end that is never answered must not delay the others
            queue.waiting.append(session_end)
        queue.silent += 1
        queue.backoff_until = now + min(MAX_BACKOFF, INITIAL_BACKOFF << min(queue.silent - 1, 10))
        self._send_waiting(session_end.server, queue)

    def server_gone(self, server: Server) -> None:
        """The server has restarted or left: its sessions no longer exist."""
        queue = self.servers.pop(server, None)
        if queue is not None:
            self.done += len(queue.waiting) + queue.in_flight

    def _take_back(self, session_end: SessionEnd) -> ServerQueue | None:
        queue = self.servers.get(session_end.server)
        if queue is not None and queue.in_flight:
            queue.in_flight -= 1
            return queue
        return None

    def _send_waiting(self, server: Server, queue: ServerQueue) -> None:
        now = self.now()
        while queue.waiting and now >= queue.backoff_until and queue.in_flight < (1 if queue.silent else MAX_IN_FLIGHT):
            session_end = queue.waiting.popleft()
            if session_end.tries and now - session_end.since >= GIVE_UP_AFTER:
                self.given_up += 1
                continue
            session_end.tries += 1
            queue.in_flight += 1
            self.send(session_end)
        if queue.waiting and not queue.in_flight and not queue.timer_set:
            queue.timer_set = True
            self.call_at(queue.backoff_until, lambda: self._on_timer(server, queue))
        elif not queue.waiting and not queue.in_flight:
            self.servers.pop(server, None)

    def _on_timer(self, server: Server, queue: ServerQueue) -> None:
        queue.timer_set = False
        if self.servers.get(server) is queue:
            self._send_waiting(server, queue)
