"""The discovery service of a trial: numbered changes of the server list, and for each node an endpoint with faults of its own."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

import anyio

KEEPALIVE_INTERVAL_S = 1.0
# How long a slow endpoint waits after a request before it responds.
SLOW_RESPONSE_DELAY_S = 2.0
NO_CHANGES, FULL_LIST, CHANGES = 0, 1, 2
READY, DRAINING, GONE = 0, 1, 2
# After an endpoint has moved away, its open connections are kept for this long.
OLD_CONNECTIONS_CLOSE_AFTER_S = 1.5


@dataclass(frozen=True, slots=True)
class Change:
    number: int
    server: str
    state: int


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    """Encodes one frame of the server list (protocol specification)."""
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


class Discovery:
    """`encode_record(node, change)` encodes a change for one node: server addresses are those of this node's proxies."""

    def __init__(self, encode_record: Callable[[str, Change], bytes]):
        self.encode_record = encode_record
        self.changes: list[Change] = []
        self.number = 1
        self.published = anyio.Event()

    def publish(self, server: str, state: int) -> Change:
        self.number += 1
        change = Change(self.number, server, state)
        self.changes.append(change)
        self.published.set()
        self.published = anyio.Event()
        return change


def reserve(port: int) -> socket.socket:
    """A socket that is bound and does not listen: it reserves the port, and connections to it are refused."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
    return sock


class DiscoveryEndpoint:
    """The discovery address of one node. `fault` is the active fault without the prefix `discovery-`, or empty."""

    def __init__(self, discovery: Discovery, node: str):
        # reserves the port while nothing listens on it
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

    def begin_fault(self, fault: str) -> None:
        self.fault = fault
        if fault == "refused":
            self._stop_listening()
        if fault in ("refused", "closes"):
            self.close_connections()

    def end_fault(self) -> None:
        if self.fault == "refused" and not self.moved:
            self.open(self.port)
        self.fault = ""

    def close_connections(self) -> None:
        for sock in list(self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    async def move_away(self) -> None:
        """Stops listening and sending changes, and closes the open connections after `OLD_CONNECTIONS_CLOSE_AFTER_S`."""
        self.moved = True
        self._stop_listening()
        await anyio.sleep(OLD_CONNECTIONS_CLOSE_AFTER_S)
        self.close_connections()

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
            request = b""
            while len(request) < 8:
                if self.fault == "closes":
                    return
                await anyio.wait_readable(sock)
                data = sock.recv(64)
                if not data:
                    return
                request += data
            await self._send_changes(sock, int.from_bytes(request[:8], "big"))
        except (OSError, ValueError, anyio.ClosedResourceError):
            pass
        finally:
            self.connections.remove(sock)
            anyio.notify_closing(sock)
            sock.close()

    async def _send_changes(self, sock: socket.socket, last_sent: int) -> None:
        first = True
        while not self.moved:
            changes = [change for change in self.discovery.changes if change.number > last_sent]
            published = self.discovery.published
            while self.fault == "silent" or self.fault == "stalled":
                await anyio.sleep(0.02)
            if self.fault == "half-frame":
                with contextlib.suppress(OSError):
                    sock.send(frame(last_sent + 1, CHANGES, b"x" * 27)[:11])
                while self.fault == "half-frame":
                    await anyio.sleep(0.02)
                return
            if self.fault == "slow" and first:
                await anyio.sleep(SLOW_RESPONSE_DELAY_S)
            first = False
            for change in changes:
                data = frame(change.number, CHANGES, self.discovery.encode_record(self.node, change))
                if self.fault == "slow":
                    sock.send(data[:7])
                    await anyio.sleep(0.3)
                    data = data[7:]
                sock.send(data)
                last_sent = change.number
            sock.send(frame(last_sent, NO_CHANGES))
            with anyio.move_on_after(KEEPALIVE_INTERVAL_S):
                await published.wait()
