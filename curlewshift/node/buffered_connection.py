"""A non-blocking TCP connection with an output queue. Used by client_listener.py, server_pool.py and follower.py.

It works on sockets and not on anyio's streams: a stream has a buffer of its own, so that it is not known which bytes the kernel
has taken, and loses that buffer when the connection ends. Here a message counts as sent when the kernel has taken its first byte,
and not before; and a connection that is closed gracefully is shut down once its queue has been written.

Senders never block on a slow peer. The queue is bounded: the connection of a peer that does not read is dropped. A long queue
alone does not show that: one iteration of the event loop may queue many messages before any of them is offered to the kernel.
"""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections import deque
from collections.abc import Iterator
from enum import Enum

import anyio

# The queue of a peer that does not read: it is dropped once the kernel has taken nothing for the time-out (s).
MAX_STALLED_QUEUE_BYTES, WRITE_STALL_TIMEOUT_S = 256 * 1024, 1.0
# The queue of any peer: five seconds of answers at 90 a second, each of the greatest size of a message, on one connection.
MAX_QUEUE_BYTES = 8 * 1024 * 1024
# Queued messages are joined up to this size for one write.
WRITE_SIZE_BYTES = 256 * 1024
READ_SIZE_BYTES = 64 * 1024
# Time-out of a graceful close, in which the queue is written and the peer closes its side (s).
CLOSE_TIMEOUT_S = 0.5
# Interval at which a connection is polled for a reset that follows the peer's close (s).
RESET_POLL_INTERVAL_S = 0.005
# SO_LINGER with a time-out of zero: closing resets the connection (socket(7)).
LINGER_ZERO = struct.pack("ii", 1, 0)
CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


async def dial(address: tuple[str, int], timeout_s: float, spare: socket.socket | None = None) -> socket.socket | None:
    """Returns a connected socket, or None if it was not connected within `timeout_s` seconds. Raises OSError.

    `spare` is an open, unused socket to connect instead of creating one.
    """
    sock = spare if spare is not None else socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connected = False
    try:
        _prepare(sock)
        error_number = sock.connect_ex(address)
        if error_number == errno.EINPROGRESS:
            with anyio.move_on_after(timeout_s):
                await anyio.wait_writable(sock)
                error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error_number == errno.EINPROGRESS:
                return None
        if error_number:
            raise OSError(error_number, os.strerror(error_number))
        connected = True
        return sock
    finally:
        if not connected:
            sock.close()


def _prepare(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Listener:
    """A listening TCP socket, with the interface that curlewshift/exchange/accepting.py expects."""

    extra_attributes: dict = {}

    def __init__(self, address: tuple[str, int], backlog: int = 1024):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(backlog)

    async def accept(self) -> socket.socket:
        """Waits for a connection and accepts it. Raises OSError, and ClosedResourceError once the listener is closed."""
        while True:
            await anyio.wait_readable(self.socket)
            sock = self.accept_one()
            if sock is not None:
                return sock

    def accept_one(self) -> socket.socket | None:
        """Accepts a connection without waiting; None if there is none in the kernel's queue. Raises OSError."""
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


class MessageInput:
    """The input of one connection: a codec's `reader`, when the incomplete message began, and when its last bytes came (ns)."""

    def __init__(self, reader, malformed: type[Exception], now: int):
        self.reader, self.malformed, self.began_at, self.received_at = reader, malformed, now, now

    def feed(self, data: bytes, now: int) -> tuple[list, Exception | None]:
        """Returns the complete messages, and the codec's error if the bytes after them are malformed."""
        if not self.reader.partial:
            self.began_at = now
        self.received_at = now
        error = None
        try:
            messages = self.reader.feed(data)
        except self.malformed as caught:
            messages, error = caught.before, caught
        if messages:
            self.began_at = now
        return messages, error

    @property
    def partial(self) -> bool:
        """Part of a message has been received."""
        return self.reader.partial

    def is_stalled(self, now: int, message_timeout: int, pause_timeout: int) -> bool:
        """Whether a message is incomplete after `message_timeout` ns, or no byte of it has come for `pause_timeout` ns."""
        return self.reader.partial and (now - self.began_at > message_timeout or now - self.received_at > pause_timeout)


class State(Enum):
    """Life cycle of a `BufferedConnection`."""

    OPEN = "open"
    # accepts no new output; the queue is still written and input is still read
    CLOSING = "closing"
    # closed by either side
    CLOSED = "closed"


class DropCause(Enum):
    """Why this side dropped a connection, for the log."""

    QUEUE_FULL = "output queue at its limit"
    NOT_READ = "peer does not read"
    WRITE_FAILED = "write failed"
    CLOSE_TIMED_OUT = "graceful close timed out"
    MADE_ROOM = "idle, closed to make room"


class PendingWrite:
    """The owner of queued output, notified of its progress. `sending_started` is set once the kernel has taken its first byte."""

    __slots__ = ()

    def may_send(self) -> bool:
        """Called just before the first byte is written; False removes the output from the queue."""
        return True

    def on_written(self) -> None:
        """Called once the kernel has taken the last byte."""


class BufferedConnection:
    """One connection and its output queue; `tasks` is the task group that runs the writer.

    The owner receives until the connection has ended, and then calls `close`.
    """

    def __init__(self, sock: socket.socket, tasks, read_size: int = READ_SIZE_BYTES):
        self.socket, self.tasks, self.read_size = sock, tasks, read_size
        self.state = State.OPEN
        # the peer has closed or reset it, as far as input has been read
        self.ended_by_peer = False
        # the peer ended it with a reset, after which it is not known what the peer has read
        self.reset_by_peer = False
        # this side has begun a graceful close
        self.closed_locally = False
        # why this side dropped it, and how much output was discarded
        self.drop_cause: DropCause | None = None
        self.discarded_bytes = 0
        # output queue: bytes, their owner, and whether some of them have been sent
        self.queue: deque[list] = deque()
        self.queued_bytes = 0
        self.writing = False
        self.write_done = anyio.Event()
        self.write_done.set()

    @property
    def open(self) -> bool:
        """Output is accepted."""
        return self.state is State.OPEN

    @property
    def gone(self) -> bool:
        """The connection is closed."""
        return self.state is State.CLOSED

    # ---- output

    def send(self, data: bytes, pending_write: PendingWrite | None = None) -> bool:
        """Queues a message. Returns False if the connection is not open, or was dropped as its queue is at its limit."""
        if not self.open:
            return False
        self.queue.append([data, pending_write, False])
        self.queued_bytes += len(data)
        if self.queued_bytes > MAX_QUEUE_BYTES:
            self.drop(DropCause.QUEUE_FULL)
            return False
        if not self.writing:
            # written in the next iteration of the event loop, with everything else queued in this one
            self.writing = True
            self.tasks.start_soon(self._write)
        return True

    def withdraw(self, pending_write: PendingWrite) -> None:
        """Removes the output of this owner from the queue, unless part of it has been sent."""
        self.queue = deque(entry for entry in self.queue if entry[1] is not pending_write or entry[2])
        self.queued_bytes = sum(len(data) for data, _, _ in self.queue)

    async def _write(self) -> None:
        # created here and not in `send`: a task that is cancelled before its first step would never set the event
        self.write_done = anyio.Event()
        try:
            while self.queue and not self.gone:
                self._drop_withheld()
                if self.queue and not self.gone and not self._write_queue():
                    await self._wait_writable()
        except CONNECTION_ERRORS:
            if not self.gone:
                self.ended_by_peer = self.reset_by_peer = True
            self.drop(DropCause.WRITE_FAILED)
        finally:
            self.writing = False
            self.write_done.set()
        if self.state is State.CLOSING:
            self._shut_down_output()

    async def _wait_writable(self) -> None:
        """Waits until the kernel takes output again; drops the connection if it takes none for long and the queue is long."""
        with anyio.move_on_after(WRITE_STALL_TIMEOUT_S) as stall:
            await anyio.wait_writable(self.socket)
        if stall.cancelled_caught and self.queued_bytes > MAX_STALLED_QUEUE_BYTES:
            self.drop(DropCause.NOT_READ)

    def _drop_withheld(self) -> None:
        """Asks each owner whether its output may be sent. An owner may queue other output or end the connection meanwhile."""
        candidates, self.queue = self.queue, deque()
        for entry in candidates:
            pending_write = entry[1]
            if entry[2] or pending_write is None or pending_write.may_send():
                self.queue.append(entry)
        self.queued_bytes = sum(len(data) for data, _, _ in self.queue)

    def _write_queue(self) -> bool:
        """Writes what the kernel takes of the queue; returns False if it takes nothing. Raises OSError, with nothing sent."""
        try:
            sent = self.socket.send(b"".join(self._next_messages()))
        except (BlockingIOError, InterruptedError):
            return False
        self.queued_bytes -= sent
        while sent:
            entry = self.queue[0]
            data, pending_write, _ = entry
            if pending_write is not None:
                pending_write.sending_started = True
            if len(data) > sent:
                entry[0], entry[2] = data[sent:], True
                break
            sent -= len(data)
            self.queue.popleft()
            if pending_write is not None:
                pending_write.on_written()
        return True

    def _next_messages(self) -> Iterator[bytes]:
        """The head of the queue, as much as one write may have."""
        size = 0
        for data, _, _ in self.queue:
            yield data
            size += len(data)
            if size >= WRITE_SIZE_BYTES:
                return

    # ---- input

    async def receive(self) -> bytes:
        """Returns the next bytes; empty once the connection has ended. During a graceful close input is still returned, and the
        owner decides what it still accepts."""
        while not self.gone:
            try:
                await anyio.wait_readable(self.socket)
                data = self.socket.recv(self.read_size)
            except (BlockingIOError, InterruptedError):
                continue
            except CONNECTION_ERRORS:
                data = b""
                self.reset_by_peer = self.reset_by_peer or not self.gone
            self.ended_by_peer = self.ended_by_peer or (not data and not self.gone)
            return data
        return b""

    async def was_reset(self, timeout_s: float) -> bool:
        """Whether the peer, which has closed the connection, also resets it within this time."""
        with anyio.move_on_after(timeout_s):
            while not self.reset_by_peer and not self.gone:
                self.reset_by_peer = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
                await anyio.sleep(RESET_POLL_INTERVAL_S)
        return self.reset_by_peer

    def has_unread_input(self) -> bool:
        """Whether input, or the peer's close or reset, is in the kernel and has not been read."""
        return self._peek() is not None

    def peer_closed(self) -> bool:
        """Whether the peer has closed or reset the connection, and no other input remains to be read."""
        return self._peek() == b""

    def _peek(self) -> bytes | None:
        if self.gone:
            return b""
        try:
            return self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            # the kernel reports a socket error only once
            self.reset_by_peer = True
            return b""

    # ---- closing

    def close_gracefully(self) -> None:
        """Closes gracefully: the queue is written, then this side is shut down; it is dropped after `CLOSE_TIMEOUT_S`."""
        if self.open:
            self.state = State.CLOSING
            self.closed_locally = True
            self.tasks.start_soon(self._drop_after_timeout)
            if not self.writing:
                self._shut_down_output()

    def _shut_down_output(self) -> None:
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.drop(DropCause.WRITE_FAILED)

    async def _drop_after_timeout(self) -> None:
        await anyio.sleep(CLOSE_TIMEOUT_S)
        self.drop(DropCause.CLOSE_TIMED_OUT)

    def drop(self, cause: DropCause | None = None) -> None:
        """Closes at once; the queue is discarded. The reader sees the end of the connection."""
        if self.gone:
            return
        self.state = State.CLOSED
        self.drop_cause, self.discarded_bytes = cause, self.queued_bytes
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def reset(self) -> None:
        """Closes at once with a reset: bytes that the kernel has and the peer has not received are discarded too."""
        if not self.gone:
            self.state = State.CLOSED
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            # wakes the reader and the writer; the owner then closes the socket, which sends the reset
            anyio.notify_closing(self.socket)

    async def close(self) -> None:
        """Called by the owner after its last `receive`: the descriptor is closed once the writer has finished with it."""
        self.drop()
        if self.socket.fileno() < 0:
            return
        with anyio.CancelScope(shield=True):
            anyio.notify_closing(self.socket)
            await self.write_done.wait()
        self.socket.close()
