"""A protocol-agnostic TCP proxy on loopback, placed between clients and a node or between a node and a media server.

Each accepted connection is a `Link` with a delay of its own, so that bytes sent later on one connection may arrive before bytes
sent earlier on another; within a connection the order is kept. Used by trials and by tests.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

import anyio

READ_SIZE = 65_536
# One direction of a link buffers at most this many chunks before it stops reading.
MAX_BUFFERED_CHUNKS = 4_096
CONNECT_TIMEOUT_S = 2.0
# SO_LINGER with a time of zero: close() sends a reset and discards unsent data (socket(7)).
LINGER_ZERO = struct.pack("ii", 1, 0)
CONNECTION_ERRORS = (OSError, anyio.ClosedResourceError, anyio.BrokenResourceError)


@dataclass(frozen=True, slots=True)
class Shape:
    """Delays and fragmentation of one connection. Outbound is from the accepted connection to the target; times are seconds."""

    delay_out_s: float = 0.0
    delay_back_s: float = 0.0
    # delay before connecting to the target
    accept_late_s: float = 0.0
    # bytes are forwarded in pieces of this size; 0 forwards chunks as they are read
    piece_size: int = 0
    # pause between two pieces
    piece_pause_s: float = 0.0


UNSHAPED = Shape()


def reset(sock: socket.socket) -> None:
    """Makes a socket close with a reset and ends its reader; undelivered data is lost."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        sock.shutdown(socket.SHUT_RD)


@dataclass(eq=False, slots=True)
class Link:
    """One proxied connection. `number` counts the connections of its proxy from 0."""

    number: int
    shape: Shape
    source: socket.socket
    target: socket.socket | None = None
    # bytes in this direction are read and discarded once set
    outbound_lost: bool = False
    inbound_lost: bool = False
    # the target has reset the connection, as a process does that dies
    reset_by_target: bool = False

    def reset_both(self) -> None:
        """Resets both sides."""
        for sock in (self.source, self.target):
            if sock is not None:
                reset(sock)


class Proxy:
    """Accepts connections at `port` and relays each to `target()`; `shape(number)` gives the delays of a new connection.

    One side of the proxy is watched: the source (`watches_source`), which connects to it, or the target.
    `observe(link, from_watched, data, at_s)` is called with all bytes that pass the watched side: bytes from it when they are
    read, and bytes to it when they are forwarded. Empty data means the end of the stream. `connected(link)` is called once the
    connection to the target is established.
    """

    def __init__(
        self,
        target: Callable[[], tuple[str, int]],
        shape: Callable[[int], Shape] = lambda number: UNSHAPED,
        observe: Callable[[Link, bool, bytes, float], None] | None = None,
        watches_source: bool = True,
        connected: Callable[[Link], None] | None = None,
    ):
        self.target, self.shape, self.observe, self.watches_source = target, shape, observe, watches_source
        self.connected = connected
        self.links: list[Link] = []
        self.count = 0
        # while set, all connections lose the bytes that they carry outbound or inbound
        self.lose_outbound = self.lose_inbound = False

    def open(self, port: int = 0) -> int:
        """Listens on loopback, and returns the port."""
        self.listener = socket.create_server(("127.0.0.1", port), backlog=512)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        return self.port

    async def run(self, tasks) -> None:
        self.tasks = tasks
        while True:
            await anyio.wait_readable(self.listener)
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except OSError:
                return
            sock.setblocking(False)
            tasks.start_soon(self._serve, sock)

    def reset_all(self) -> None:
        """Resets all open connections."""
        for link in list(self.links):
            self._observe(link, False, b"", anyio.current_time())
            link.reset_both()

    def _observe(self, link: Link, from_watched: bool, data: bytes, at_s: float) -> None:
        if self.observe is not None:
            self.observe(link, from_watched, data, at_s)

    async def _serve(self, source: socket.socket) -> None:
        link = Link(self.count, self.shape(self.count), source)
        self.count += 1
        self.links.append(link)
        try:
            if link.shape.accept_late_s:
                await anyio.sleep(link.shape.accept_late_s)
            if self.lose_outbound and self.lose_inbound:
                # a machine that is cut off cannot be reached by new connections either: does not connect to the target
                link.outbound_lost = link.inbound_lost = True
                await self._discard_input(link)
                return
            target = await _connect(self.target())
            if target is None:
                reset(source)
                return
            link.target = target
            if self.connected is not None:
                self.connected(link)
            async with anyio.create_task_group() as directions:
                directions.start_soon(self._relay, link, True)
                directions.start_soon(self._relay, link, False)
        finally:
            self.links.remove(link)
            for sock in (link.source, link.target):
                if sock is not None:
                    anyio.notify_closing(sock)
                    sock.close()

    async def _discard_input(self, link: Link) -> None:
        """Keeps a connection open without a target and discards its input, until the source closes it."""
        ended = False
        while not ended:
            try:
                await anyio.wait_readable(link.source)
                data = link.source.recv(READ_SIZE)
            except BlockingIOError:
                continue
            except CONNECTION_ERRORS:
                data = b""
            ended = not data
            if self.watches_source:
                self._observe(link, True, data, anyio.current_time())

    async def _relay(self, link: Link, outbound: bool) -> None:
        """Relays one direction of a link: a reader stamps each chunk with its due time, and a writer sends it then."""
        send, receive = anyio.create_memory_object_stream[tuple[float, bytes]](MAX_BUFFERED_CHUNKS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write, link, outbound, receive)
            await self._read(link, outbound, send)

    async def _read(self, link: Link, outbound: bool, send) -> None:
        sock = link.source if outbound else link.target
        delay_s = link.shape.delay_out_s if outbound else link.shape.delay_back_s
        async with send:
            while True:
                try:
                    await anyio.wait_readable(sock)
                    data = sock.recv(READ_SIZE)
                except BlockingIOError:
                    continue
                except CONNECTION_ERRORS as error:
                    data = b""
                    link.reset_by_target = not outbound and isinstance(error, ConnectionResetError)
                now_s = anyio.current_time()
                if outbound is self.watches_source:
                    self._observe(link, True, data, now_s)
                try:
                    await send.send((now_s + delay_s, data))
                except CONNECTION_ERRORS:
                    # the writer has ended
                    return
                if not data:
                    return

    async def _write(self, link: Link, outbound: bool, receive) -> None:
        sock = link.target if outbound else link.source
        async with receive:
            await self._forward(link, outbound, sock, receive)

    def _drops_bytes(self, link: Link, outbound: bool) -> bool:
        """Whether this direction discards its bytes. Once any are lost, all later ones are: TCP delivers none past a gap."""
        if outbound:
            link.outbound_lost = link.outbound_lost or self.lose_outbound
            return link.outbound_lost
        link.inbound_lost = link.inbound_lost or self.lose_inbound
        return link.inbound_lost

    async def _forward(self, link: Link, outbound: bool, sock: socket.socket, receive) -> None:
        async for due_s, data in receive:
            await anyio.sleep_until(due_s)
            if self._drops_bytes(link, outbound):
                # neither data nor the end of the stream is forwarded
                continue
            watched = outbound is not self.watches_source
            if not data:
                if watched:
                    self._observe(link, False, data, anyio.current_time())
                if not outbound and link.reset_by_target:
                    reset(sock)
                    return
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_WR)
                return
            size = link.shape.piece_size or len(data)
            for start in range(0, len(data), size):
                if watched:
                    self._observe(link, False, data[start : start + size], anyio.current_time())
                if not await _send_all(sock, data[start : start + size]):
                    reset(link.source if outbound else link.target)
                    return
                if link.shape.piece_pause_s:
                    await anyio.sleep(link.shape.piece_pause_s)


async def _connect(address: tuple[str, int]) -> socket.socket | None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    with anyio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            sock.connect_ex(address)
            await anyio.wait_writable(sock)
            if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                return sock
        except CONNECTION_ERRORS:
            pass
    sock.close()
    return None


async def _send_all(sock: socket.socket, data: bytes) -> bool:
    """Sends all of `data`; false if the connection has ended."""
    while data:
        try:
            data = data[sock.send(data) :]
        except BlockingIOError:
            try:
                await anyio.wait_writable(sock)
            except CONNECTION_ERRORS:
                return False
        except CONNECTION_ERRORS:
            return False
    return True
