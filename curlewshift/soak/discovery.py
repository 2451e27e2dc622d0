"""The server list of a trial: numbered events, and a listening address for each node, with faults of its own."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

import anyio

EMPTY_EVERY_S = 1.0
# A slow one says nothing for so long after it has been asked.
SLOW_S = 2.0
NOTHING_NEW, WHOLE, CHANGES = 0, 1, 2
READY, DRAINING, GONE = 0, 1, 2
OLD_ADDRESS_CLOSES_AFTER_S = 1.5


@dataclass(frozen=True, slots=True)
class Change:
    number: int
    server: str
    state: int


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    """One frame of the list, by the protocol page."""
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


class Discovery:
    """`record(node, change)` makes the bytes that this node is told of a change: addresses are those of its own proxies."""

    def __init__(self, record: Callable[[str, Change], bytes]):
        self.record = record
        self.changes: list[Change] = []
        self.number = 1
        self.told = anyio.Event()

    def publish(self, server: str, state: int) -> Change:
        self.number += 1
        change = Change(self.number, server, state)
        self.changes.append(change)
        self.told.set()
        self.told = anyio.Event()
        return change


def reserve(port: int) -> socket.socket:
    """A socket that keeps a port from others and refuses connections to it: it is bound and does not listen."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
    return sock


class Address:
    """Where one node asks. `fault` is the kind of fault in force, without its prefix, or empty."""

    def __init__(self, discovery: Discovery, node: str):
        # holds the port while it is not listened on
        self.reserved: socket.socket | None = None
        self.discovery, self.node, self.fault, self.moved = discovery, node, "", False
        self.connections: list[socket.socket] = []
        self.open()

    def open(self, port: int = 0) -> None:
        if self.reserved is not None:
            self.reserved.close()
            self.reserved = None
        self.listener = socket.create_server(("127.0.0.1", port), backlog=64)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.closed = False

    def begin(self, fault: str) -> None:
        self.fault = fault
        if fault == "refused":
            self._stop_listening()
        if fault in ("refused", "closes"):
            self.cut()

    def end(self) -> None:
        if self.fault == "refused" and not self.moved:
            self.open(self.port)
        self.fault = ""

    def cut(self) -> None:
        for sock in list(self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    async def move_away(self) -> None:
        """It accepts no new connection, tells nothing further, and closes the open ones a little later."""
        self.moved = True
        self._stop_listening()
        await anyio.sleep(OLD_ADDRESS_CLOSES_AFTER_S)
        self.cut()

    def _stop_listening(self) -> None:
        if not self.closed:
            self.closed = True
            anyio.notify_closing(self.listener)
            self.listener.close()
            self.reserved = reserve(self.port)

    async def run(self, tasks) -> None:
        while not self.moved:
            if self.closed or self.fault == "stalled":
                await anyio.sleep(0.02)
                continue
            try:
                await anyio.wait_readable(self.listener)
                if self.fault == "stalled":
                    continue
                sock, _ = self.listener.accept()
            except (OSError, ValueError, anyio.ClosedResourceError):
                continue
            sock.setblocking(False)
            tasks.start_soon(self._serve, sock)

    async def _serve(self, sock: socket.socket) -> None:
        self.connections.append(sock)
        try:
            asked = b""
            while len(asked) < 8:
                if self.fault == "closes":
                    return
                await anyio.wait_readable(sock)
                data = sock.recv(64)
                if not data:
                    return
                asked += data
            await self._tell(sock, int.from_bytes(asked[:8], "big"))
        except (OSError, ValueError, anyio.ClosedResourceError):
            pass
        finally:
            self.connections.remove(sock)
            anyio.notify_closing(sock)
            sock.close()

    async def _tell(self, sock: socket.socket, last: int) -> None:
        first = True
        while not self.moved:
            changes = [change for change in self.discovery.changes if change.number > last]
            told = self.discovery.told
            while self.fault == "silent" or self.fault == "stalled":
                await anyio.sleep(0.02)
            if self.fault == "half-frame":
                with contextlib.suppress(OSError):
                    sock.send(frame(last + 1, CHANGES, b"x" * 27)[:11])
                while self.fault == "half-frame":
                    await anyio.sleep(0.02)
                return
            if self.fault == "slow" and first:
                await anyio.sleep(SLOW_S)
            first = False
            for change in changes:
                data = frame(change.number, CHANGES, self.discovery.record(self.node, change))
                if self.fault == "slow":
                    sock.send(data[:7])
                    await anyio.sleep(0.3)
                    data = data[7:]
                sock.send(data)
                last = change.number
            sock.send(frame(last, NOTHING_NEW))
            with anyio.move_on_after(EMPTY_EVERY_S):
                await told.wait()
