"""What one hollow node spends, by subsystem: processor time of its thread, datagrams and bytes.

Sections nest and are exclusive: what is spent in an inner one is not the outer one's, as a datagram of sharing that comes in
through the channel's reading is sharing's.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from time import thread_time_ns

OTHER = "loop"


class Spent:
    __slots__ = ("bytes", "core", "datagrams")

    def __init__(self):
        self.core = self.datagrams = self.bytes = 0


class Meter:
    """`clock` is the thread's processor time (ns)."""

    def __init__(self, clock: Callable[[], int] = thread_time_ns):
        self.clock, self.spent, self.open = clock, {}, []
        self.mark = 0

    def of(self, name: str) -> Spent:
        if name not in self.spent:
            self.spent[name] = Spent()
        return self.spent[name]

    def _turn(self) -> None:
        now = self.clock()
        if self.open:
            self.of(self.open[-1]).core += now - self.mark
        self.mark = now

    def metered(self, name: str, call: Callable) -> Callable:
        """The same call, on this subsystem's account."""

        @wraps(call)
        def counted(*arguments, **more):
            self._turn()
            self.open.append(name)
            try:
                return call(*arguments, **more)
            finally:
                self._turn()
                self.open.pop()

        return counted

    def sent(self, size: int) -> None:
        """One datagram, by whoever has its turn."""
        spent = self.of(self.open[-1] if self.open else OTHER)
        spent.datagrams += 1
        spent.bytes += size

    def read(self) -> dict[str, list[int]]:
        return {name: [spent.core, spent.datagrams, spent.bytes] for name, spent in self.spent.items()}
