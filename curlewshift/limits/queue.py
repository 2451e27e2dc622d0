"""Requests that wait for a place: fair queueing between sources, with a time-out. No I/O; times are ns.

Each source has a queue of its own and the queues are served round-robin, so that a flood delays only itself. A request
that has waited for the time-out is refused, as its answer would come too late. A queue whose head has waited for more than
half of the time-out is served newest first: clients that have waited long have probably given up, and their requests
time out.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

# Maximum number of waiting requests of one source, and of all together.
MAX_PER_SOURCE, MAX_WAITING = 32, 512


@dataclass(eq=False, slots=True)
class Ticket:
    """One request for admission.

    `state` is "new", "waiting", "in" (admitted), "no" (refused) or "over". A refusal has a `cause`, the retry time `wait`
    (ns) and the kind of `limit` that was reached; `limit` is empty if there was no place.
    """

    source: str
    known: bool
    arrived_at: int
    state: str = "new"
    cause: str = ""
    wait: int = 0
    limit: str = ""
    admitted_at: int = 0


class SourceQueues:
    """One queue per source; `timeout` (ns) is the time-out of a waiting request."""

    def __init__(self, timeout: int, max_per_source: int = MAX_PER_SOURCE, max_waiting: int = MAX_WAITING):
        self.timeout, self.max_per_source, self.max_waiting = timeout, max_per_source, max_waiting
        self.queues: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def join(self, ticket: Ticket) -> bool:
        """False if there is no room: the queue of its source is full, or too many requests wait in all."""
        queue = self.queues.get(ticket.source)
        if self.count >= self.max_waiting or (queue is not None and len(queue) >= self.max_per_source):
            return False
        if queue is None:
            queue = self.queues[ticket.source] = deque()
        queue.append(ticket)
        ticket.state = "waiting"
        self.count += 1
        return True

    def leave(self, ticket: Ticket) -> None:
        """Removes a request whose client has disconnected, so that the head of a queue is always a live request."""
        queue = self.queues.get(ticket.source)
        if queue is not None and ticket in queue:
            queue.remove(ticket)
            self.count -= 1
            if not queue:
                del self.queues[ticket.source]

    def next(self, now: int, only_known: bool = False) -> Ticket | None:
        """Takes the next request out, None if there is none; `only_known` skips queues of unknown clients."""
        for source, queue in self.queues.items():
            if only_known and not queue[0].known:
                continue
            # round-robin: this queue goes to the back
            self.queues.move_to_end(source)
            overloaded = now - queue[0].arrived_at > self.timeout // 2
            ticket = queue.pop() if overloaded else queue.popleft()
            self.count -= 1
            if not queue:
                del self.queues[source]
            return ticket
        return None

    def take_expired(self, now: int) -> list[Ticket]:
        """Takes out and returns all requests that have waited for the time-out."""
        expired = []
        for source, queue in list(self.queues.items()):
            while queue and now - queue[0].arrived_at >= self.timeout:
                expired.append(queue.popleft())
                self.count -= 1
            if not queue:
                del self.queues[source]
        return expired
