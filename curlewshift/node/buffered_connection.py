"""One connection of the node: a socket that does not block, and what waits to go out on it. Called by door, reach, follower.

It works on sockets and not on anyio's streams: a stream keeps bytes of its own, so that nobody could say which of them the
kernel has, and loses them when its connection ends. Here a message has left when the kernel took its first byte, and not
before; and a connection that is closed in peace goes once what waits has gone out.

Nobody who has something to say waits for the peer to read. What waits is bounded: a peer that does not read loses its
connection.
"""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections import deque
from enum import Enum

import anyio

MOST_WAITING = 256 * 1024
READ = 64 * 1024
# What waits when a connection is closed in peace has so long to go out, and its peer to close as well (s).
ENDS_WITHIN = 0.5
# A reset that follows a close is looked for this often (s).
RESET_LOOK = 0.005
# SO_LINGER with a time of zero (socket(7)).
LINGER_ZERO = struct.pack("ii", 1, 0)
ENDED = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


async def dial(address: tuple[str, int], within: float, spare: socket.socket | None = None) -> socket.socket | None:
    """A socket that is up; None if it was not in time (s). Raises OSError. `spare` is one to use, open and unused."""
    sock = spare if spare is not None else socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    up = False
    try:
        _prepare(sock)
        wrong = sock.connect_ex(address)
        if wrong == errno.EINPROGRESS:
            with anyio.move_on_after(within):
                await anyio.wait_writable(sock)
                wrong = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if wrong == errno.EINPROGRESS:
                return None
        if wrong:
            raise OSError(wrong, os.strerror(wrong))
        up = True
        return sock
    finally:
        if not up:
            sock.close()


def _prepare(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Listener:
    """Where connections come in, as curlewshift/exchange/accepting.py wants it."""

    extra_attributes: dict = {}

    def __init__(self, address: tuple[str, int], backlog: int = 1024):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(backlog)

    async def accept(self) -> socket.socket:
        """Raises OSError, and ClosedResourceError once it is closed."""
        while True:
            await anyio.wait_readable(self.socket)
            sock = self.accept_one()
            if sock is not None:
                return sock

    def accept_one(self) -> socket.socket | None:
        """One that has come already, if there is any. Raises OSError."""
        try:
            sock, _ = self.socket.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return None
        _prepare(sock)
        return sock

    def close(self) -> None:
        if self.socket.fileno() >= 0:
            anyio.notify_closing(self.socket)
            self.socket.close()


class Intake:
    """What comes in on one connection: a codec's `reader`, since when the message that is not whole yet has come, and when
    its last bytes did."""

    def __init__(self, reader, malformed: type[Exception], now: int):
        self.reader, self.malformed, self.began_at, self.fed_at = reader, malformed, now, now

    def feed(self, data: bytes, now: int) -> tuple[list, Exception | None]:
        """The messages that are whole, and what is wrong with what follows on them, if it is."""
        if not self.reader.partial:
            self.began_at = now
        self.fed_at = now
        wrong = None
        try:
            messages = self.reader.feed(data)
        except self.malformed as caught:
            messages, wrong = caught.before, caught
        if messages:
            self.began_at = now
        return messages, wrong

    @property
    def partial(self) -> bool:
        """A message has begun and is not whole."""
        return self.reader.partial

    def stuck(self, now: int, within: int, pause: int) -> bool:
        """A message has begun and is not whole in time, or nothing more of it has come for `pause` (ns)."""
        return self.reader.partial and (now - self.began_at > within or now - self.fed_at > pause)


class State(Enum):
    OPEN = "open"
    # takes nothing new; what waits goes out, and what comes in is still read
    ENDING = "ending"
    # closed, from here or from there
    OVER = "over"


class PendingWrite:
    """What some bytes on a wire are for. `handed` is set once the kernel has a byte of them."""

    __slots__ = ()

    def leaves(self) -> bool:
        """Asked as the first byte is about to go; False keeps it back, for good."""
        return True

    def out(self) -> None:
        """The kernel has the last byte."""


class BufferedConnection:
    """`tasks` is the group in which it writes. Its owner reads from it until it has ended, and then closes it."""

    def __init__(self, sock: socket.socket, tasks):
        self.socket, self.tasks = sock, tasks
        self.state = State.OPEN
        # the peer has closed or broken it, as far as has been read
        self.ended_by_peer = False
        # by a reset, which says nothing of what the peer has read
        self.reset_by_peer = False
        # this side has begun to close it in peace
        self.ended_here = False
        # bytes, what they are for, and whether some of them have left
        self.waiting: deque[list] = deque()
        self.size = 0
        self.writing = False
        self.written = anyio.Event()
        self.written.set()

    @property
    def open(self) -> bool:
        return self.state is State.OPEN

    @property
    def gone(self) -> bool:
        return self.state is State.OVER

    # ---- what goes out

    def send(self, data: bytes, pending_write: PendingWrite | None = None) -> bool:
        """False if it cannot go out here."""
        if not self.open:
            return False
        self.waiting.append([data, pending_write, False])
        self.size += len(data)
        if self.size > MOST_WAITING:
            self.drop()
            return False
        if not self.writing:
            # in the next turn of the loop, with all else that this turn has to say
            self.writing = True
            self.tasks.start_soon(self._write)
        return True

    def withdraw(self, pending_write: PendingWrite) -> None:
        """What was to be sent for this, if nothing of it has left."""
        self.waiting = deque(entry for entry in self.waiting if entry[1] is not pending_write or entry[2])
        self.size = sum(len(data) for data, _, _ in self.waiting)

    async def _write(self) -> None:
        # not before: a task that is cancelled before its first step would leave its owner waiting for ever
        self.written = anyio.Event()
        try:
            while self.waiting and not self.gone:
                self._let_go()
                if self.waiting and not self.gone and not self._push():
                    await anyio.wait_writable(self.socket)
        except ENDED:
            if not self.gone:
                self.ended_by_peer = self.reset_by_peer = True
            self.drop()
        finally:
            self.writing = False
            self.written.set()
        if self.state is State.ENDING:
            self._say_end()

    def _let_go(self) -> None:
        """Asks all that is about to leave, and may put something else in its place or end the connection."""
        asked, self.waiting = self.waiting, deque()
        for entry in asked:
            pending_write = entry[1]
            if entry[2] or pending_write is None or pending_write.leaves():
                self.waiting.append(entry)
        self.size = sum(len(data) for data, _, _ in self.waiting)

    def _push(self) -> bool:
        """False if the kernel has no room. Raises OSError, with nothing more sent."""
        try:
            sent = self.socket.send(b"".join(data for data, _, _ in self.waiting))
        except (BlockingIOError, InterruptedError):
            return False
        self.size -= sent
        while sent:
            entry = self.waiting[0]
            data, pending_write, _ = entry
            if pending_write is not None:
                pending_write.handed = True
            if len(data) > sent:
                entry[0], entry[2] = data[sent:], True
                break
            sent -= len(data)
            self.waiting.popleft()
            if pending_write is not None:
                pending_write.out()
        return True

    # ---- what comes in

    async def receive(self) -> bytes:
        """Empty once the connection has ended. While this side is ending it, its owner says what is still taken."""
        while not self.gone:
            try:
                await anyio.wait_readable(self.socket)
                data = self.socket.recv(READ)
            except (BlockingIOError, InterruptedError):
                continue
            except ENDED:
                data = b""
                self.reset_by_peer = self.reset_by_peer or not self.gone
            self.ended_by_peer = self.ended_by_peer or (not data and not self.gone)
            return data
        return b""

    async def was_reset(self, within: float) -> bool:
        """Whether the peer, which has closed the connection, resets it too within this time (s)."""
        with anyio.move_on_after(within):
            while not self.reset_by_peer and not self.gone:
                self.reset_by_peer = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
                await anyio.sleep(RESET_LOOK)
        return self.reset_by_peer

    def unread(self) -> bool:
        """Its peer has sent something, or closed or broken the connection, and nobody has read that yet."""
        return self._looked() is not None

    def peer_closed(self) -> bool:
        """Its peer has closed or broken the connection, and nothing else is to be read on it."""
        return self._looked() == b""

    def _looked(self) -> bytes | None:
        if self.gone:
            return b""
        try:
            return self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            # the kernel says it once
            self.reset_by_peer = True
            return b""

    # ---- its end

    def end(self) -> None:
        """Closed in peace: what waits goes out, then this side closes, and the other has a little time to do so as well."""
        if self.open:
            self.state = State.ENDING
            self.ended_here = True
            self.tasks.start_soon(self._end_in_time)
            if not self.writing:
                self._say_end()

    def _say_end(self) -> None:
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.drop()

    async def _end_in_time(self) -> None:
        await anyio.sleep(ENDS_WITHIN)
        self.drop()

    def drop(self) -> None:
        """Closed at once; what waits is lost. Who reads from it sees its end."""
        if self.gone:
            return
        self.state = State.OVER
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def reset(self) -> None:
        """Closed at once with a reset: what the kernel has and the peer has not taken is lost too."""
        if not self.gone:
            self.state = State.OVER
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            # who reads and who writes wake; the owner closes it then, and that sends the reset
            anyio.notify_closing(self.socket)

    async def close(self) -> None:
        """By its owner, who reads no more: the descriptor is let go once the writer has let go of it."""
        self.drop()
        if self.socket.fileno() < 0:
            return
        with anyio.CancelScope(shield=True):
            anyio.notify_closing(self.socket)
            await self.written.wait()
        self.socket.close()
