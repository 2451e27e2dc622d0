"""One epoll loop for all that a node is measured against, as thousands of connections cost the measuring side too. Used by
the stand-ins and the crowd (simulated viewers).
"""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Callable


class Loop:
    """Non-blocking sockets, each with a callback for when it is readable."""

    def __init__(self):
        self.selector = selectors.EpollSelector()
        self.turn_callbacks: list[Callable[[int], None]] = []

    def add(self, sock: socket.socket, call: Callable[[], None]) -> None:
        sock.setblocking(False)
        self.selector.register(sock, selectors.EVENT_READ, call)

    def when_writable(self, sock: socket.socket, call: Callable[[], None]) -> None:
        """Calls `call` once the socket is writable: connected, or failed to connect."""
        self.selector.register(sock, selectors.EVENT_WRITE, call)

    def when_readable(self, sock: socket.socket, call: Callable[[], None]) -> None:
        """Switches a socket registered by `when_writable` to reading."""
        self.selector.modify(sock, selectors.EVENT_READ, call)

    def remove(self, sock: socket.socket) -> None:
        self.selector.unregister(sock)
        sock.close()

    def turn(self, wait: float) -> None:
        for key, _ in self.selector.select(wait):
            # an earlier callback of this turn may have closed it
            if key.fileobj.fileno() >= 0:
                key.data()
        now = time.monotonic_ns()
        for call in self.turn_callbacks:
            call(now)

    def run(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            self.turn(min(left, 0.05))

    def until(self, done: Callable[[], bool], within: float, what: str) -> None:
        """Runs until `done()`. Raises `TimeoutError` after `within` seconds."""
        ends = time.monotonic() + within
        while not done():
            if time.monotonic() > ends:
                raise TimeoutError(f"{what}: not within {within:g} s")
            self.turn(0.005)

    def close(self) -> None:
        for key in list(self.selector.get_map().values()):
            self.remove(key.fileobj)
        self.selector.close()
