"""Requests that wait for a place, fairly between sources and not for long. No I/O; times are ns.

Each source has its own line; the next one is taken from each in turn, so that a flood waits behind itself. What has waited
for longer than the bound is told no at once: it would be answered too late to be worth a place. While the lines are so
long that heads grow old, the newest is taken first (who has waited long has likely given up), and the old ones run out.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

# Waiting at once: of one source, and of all.
MOST_OF_ONE, MOST_OF_ALL = 32, 512


@dataclass(eq=False, slots=True)
class Ticket:
    """One request at the door. `state`: new, waiting, in, no, over. `cause`, `wait` (ns) and the kind of limit that was
    reached (empty where only a place was wanted) go with no."""

    source: str
    known: bool
    came: int
    state: str = "new"
    cause: str = ""
    wait: int = 0
    limit: str = ""
    entered: int = 0


class Lines:
    def __init__(self, longest: int, most_of_one: int = MOST_OF_ONE, most_of_all: int = MOST_OF_ALL):
        self.longest, self.most_of_one, self.most_of_all = longest, most_of_one, most_of_all
        self.lines: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def join(self, ticket: Ticket) -> bool:
        """False if there is no room: the line of its source, or of all, is full."""
        line = self.lines.get(ticket.source)
        if self.count >= self.most_of_all or (line is not None and len(line) >= self.most_of_one):
            return False
        if line is None:
            line = self.lines[ticket.source] = deque()
        line.append(ticket)
        ticket.state = "waiting"
        self.count += 1
        return True

    def leave(self, ticket: Ticket) -> None:
        """It has given up; its place in line is taken back at once, so that the next one finds no dead heads."""
        line = self.lines.get(ticket.source)
        if line is not None and ticket in line:
            line.remove(ticket)
            self.count -= 1
            if not line:
                del self.lines[ticket.source]

    def next(self, now: int, only_known: bool = False) -> Ticket | None:
        """Whose turn it is; None if nobody's."""
        for source, line in self.lines.items():
            if only_known and not line[0].known:
                continue
            # each in turn: its line goes to the back
            self.lines.move_to_end(source)
            overloaded = now - line[0].came > self.longest // 2
            ticket = line.pop() if overloaded else line.popleft()
            self.count -= 1
            if not line:
                del self.lines[source]
            return ticket
        return None

    def too_old(self, now: int) -> list[Ticket]:
        """All that have waited for as long as is worth it, taken out."""
        found = []
        for source, line in list(self.lines.items()):
            while line and now - line[0].came >= self.longest:
                found.append(line.popleft())
                self.count -= 1
            if not line:
                del self.lines[source]
        return found
