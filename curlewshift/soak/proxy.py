"""A byte-level TCP proxy on loopback for one leg of a trial. It knows nothing of the protocols that pass through it.

Each accepted connection is a `Link` with its own delay, so that what was sent later on one connection may arrive before what
was sent earlier on another; within a connection the order of the bytes is kept. Called by trials and by tests.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

import anyio

READ_SIZE = 65_536
# How many chunks one direction of a link buffers before it stops reading from its source.
MOST_CHUNKS = 4_096
CONNECT_WITHIN_S = 2.0
# SO_LINGER with a time of zero: closing sends a reset and discards what the kernel still has to send (socket(7)).
LINGER_ZERO = struct.pack("ii", 1, 0)
ENDED = (OSError, anyio.ClosedResourceError, anyio.BrokenResourceError)


@dataclass(frozen=True, slots=True)
class Shape:
    """How one connection carries bytes. Times are seconds."""

    delay_out_s: float = 0.0
    delay_back_s: float = 0.0
    # before the connection onward is made
    accept_late_s: float = 0.0
    # bytes are passed on in pieces of this size; 0 for as they come
    piece_size: int = 0
    # pause between two pieces
    piece_pause_s: float = 0.0


PLAIN = Shape()


def reset(sock: socket.socket) -> None:
    """Closes a socket at once, with a reset; what was not delivered is lost."""
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
    # bytes in this direction are read and thrown away while set
    lost_out: bool = False
    lost_back: bool = False

    def break_off(self) -> None:
        """Resets both sides."""
        for sock in (self.source, self.target):
            if sock is not None:
                reset(sock)


class Proxy:
    """Accepts at `port` and connects to `target()`. `shape(number)` is asked for each new connection.

    `observe(link, from_watched, data, at_s)` is called with all bytes at the side that is watched, the source's or the target's:
    with those that come from there when they are read, and with the others when they are passed on. Empty data is an end.
    """

    def __init__(
        self,
        target: Callable[[], tuple[str, int]],
        shape: Callable[[int], Shape] = lambda number: PLAIN,
        observe: Callable[[Link, bool, bytes, float], None] | None = None,
        watches_source: bool = True,
        connected: Callable[[Link], None] | None = None,
    ):
        self.target, self.shape, self.observe, self.watches_source = target, shape, observe, watches_source
        self.connected = connected
        self.links: list[Link] = []
        self.count = 0
        # every new and open connection loses its bytes, outward or back
        self.lose_out = self.lose_back = False

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

    def break_all(self) -> None:
        """Resets all open connections."""
        for link in list(self.links):
            self._observe(link, False, b"", anyio.current_time())
            link.break_off()

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
            if self.lose_out and self.lose_back:
                # a machine that is cut off is not reached by new connections, not even by their first packet
                link.lost_out = link.lost_back = True
                await self._hold(link)
                return
            target = await _connect(self.target())
            if target is None:
                reset(source)
                return
            link.target = target
            if self.connected is not None:
                self.connected(link)
            async with anyio.create_task_group() as both:
                both.start_soon(self._carry, link, True)
                both.start_soon(self._carry, link, False)
        finally:
            self.links.remove(link)
            for sock in (link.source, link.target):
                if sock is not None:
                    anyio.notify_closing(sock)
                    sock.close()

    async def _hold(self, link: Link) -> None:
        """Keeps a connection open and silent until its source ends it."""
        ended = False
        while not ended:
            try:
                await anyio.wait_readable(link.source)
                data = link.source.recv(READ_SIZE)
            except BlockingIOError:
                continue
            except ENDED:
                data = b""
            ended = not data
            if self.watches_source:
                self._observe(link, True, data, anyio.current_time())

    async def _carry(self, link: Link, outward: bool) -> None:
        """One direction of a link: a reader that stamps each chunk, and a writer that sends it when it is due."""
        send, receive = anyio.create_memory_object_stream[tuple[float, bytes]](MOST_CHUNKS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write, link, outward, receive)
            await self._read(link, outward, send)

    async def _read(self, link: Link, outward: bool, send) -> None:
        sock = link.source if outward else link.target
        delay_s = link.shape.delay_out_s if outward else link.shape.delay_back_s
        async with send:
            while True:
                try:
                    await anyio.wait_readable(sock)
                    data = sock.recv(READ_SIZE)
                except BlockingIOError:
                    continue
                except ENDED:
                    data = b""
                now_s = anyio.current_time()
                if outward is self.watches_source:
                    self._observe(link, True, data, now_s)
                try:
                    await send.send((now_s + delay_s, data))
                except ENDED:
                    # the other side has gone
                    return
                if not data:
                    return

    async def _write(self, link: Link, outward: bool, receive) -> None:
        sock = link.target if outward else link.source
        async with receive:
            await self._pass_on(link, outward, sock, receive)

    def _loses(self, link: Link, outward: bool) -> bool:
        """A direction that has lost bytes stays silent for good: no stream goes on behind a gap."""
        if outward:
            link.lost_out = link.lost_out or self.lose_out
            return link.lost_out
        link.lost_back = link.lost_back or self.lose_back
        return link.lost_back

    async def _pass_on(self, link: Link, outward: bool, sock: socket.socket, receive) -> None:
        async for due_s, data in receive:
            await anyio.sleep_until(due_s)
            if self._loses(link, outward):
                # neither its bytes nor its end come through
                continue
            watched = outward is not self.watches_source
            if not data:
                if watched:
                    self._observe(link, False, data, anyio.current_time())
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_WR)
                return
            size = link.shape.piece_size or len(data)
            for start in range(0, len(data), size):
                if watched:
                    self._observe(link, False, data[start : start + size], anyio.current_time())
                if not await _send_all(sock, data[start : start + size]):
                    reset(link.source if outward else link.target)
                    return
                if link.shape.piece_pause_s:
                    await anyio.sleep(link.shape.piece_pause_s)


async def _connect(address: tuple[str, int]) -> socket.socket | None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    with anyio.move_on_after(CONNECT_WITHIN_S):
        try:
            sock.connect_ex(address)
            await anyio.wait_writable(sock)
            if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                return sock
        except ENDED:
            pass
    sock.close()
    return None


async def _send_all(sock: socket.socket, data: bytes) -> bool:
    """False if the connection has ended."""
    while data:
        try:
            data = data[sock.send(data) :]
        except BlockingIOError:
            try:
                await anyio.wait_writable(sock)
            except ENDED:
                return False
        except ENDED:
            return False
    return True
