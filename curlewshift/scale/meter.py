"""Resources used by one hollow node, by subsystem: processor time (ns) of its thread, datagrams and bytes sent.

Metered calls nest, and time is exclusive: an inner call's time is not counted for the outer one. Handling a sharing datagram
that the channel reads, for instance, counts for sharing.
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

    def _charge_elapsed(self) -> None:
        now = self.clock()
        if self.open:
            self.of(self.open[-1]).core += now - self.mark
        self.mark = now

    def metered(self, name: str, call: Callable) -> Callable:
        """Wraps a call so that its use is counted for subsystem `name`."""

        @wraps(call)
        def counted(*arguments, **more):
            self._charge_elapsed()
            self.open.append(name)
            try:
                return call(*arguments, **more)
            finally:
                self._charge_elapsed()
                self.open.pop()

        return counted

    def sent(self, size: int) -> None:
        """Counts one datagram for the innermost subsystem running."""
        spent = self.of(self.open[-1] if self.open else OTHER)
        spent.datagrams += 1
        spent.bytes += size

    def read(self) -> dict[str, list[int]]:
        return {name: [spent.core, spent.datagrams, spent.bytes] for name, spent in self.spent.items()}
