"""One epoll for all that a node is measured against: thousands of connections cost the measuring side too. Called by the
stand-ins and the crowd.
"""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Callable


class Loop:
    """Sockets that do not block, each with what is called when it can be read."""

    def __init__(self):
        self.selector = selectors.EpollSelector()
        self.each_turn: list[Callable[[int], None]] = []

    def add(self, sock: socket.socket, call: Callable[[], None]) -> None:
        sock.setblocking(False)
        self.selector.register(sock, selectors.EVENT_READ, call)

    def when_up(self, sock: socket.socket, call: Callable[[], None]) -> None:
        """Called once it can be written to: it is up, or will not come up."""
        self.selector.register(sock, selectors.EVENT_WRITE, call)

    def reads(self, sock: socket.socket, call: Callable[[], None]) -> None:
        """From now on, one that was waited for."""
        self.selector.modify(sock, selectors.EVENT_READ, call)

    def remove(self, sock: socket.socket) -> None:
        self.selector.unregister(sock)
        sock.close()

    def turn(self, wait: float) -> None:
        for key, _ in self.selector.select(wait):
            # one before it in this turn may have closed it
            if key.fileobj.fileno() >= 0:
                key.data()
        now = time.monotonic_ns()
        for call in self.each_turn:
            call(now)

    def run(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            self.turn(min(left, 0.05))

    def until(self, done: Callable[[], bool], within: float, what: str) -> None:
        """Raises `TimeoutError`."""
        ends = time.monotonic() + within
        while not done():
            if time.monotonic() > ends:
                raise TimeoutError(f"{what}: not within {within:g} s")
            self.turn(0.005)

    def close(self) -> None:
        for key in list(self.selector.get_map().values()):
            self.remove(key.fileobj)
        self.selector.close()
