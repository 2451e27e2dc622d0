"""One connection of the node: an anyio stream with a queue of what goes out on it. Called by door and reach.

Nobody who has something to say waits for the peer to read. What waits is bounded: a peer that does not read loses its
connection. What has begun to go out may have arrived; what still waits when the connection ends has not.
"""

from __future__ import annotations

import socket

import anyio
from anyio.abc import SocketAttribute, SocketStream

MOST_WAITING = 256 * 1024
READ = 64 * 1024
ENDED = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


class Intake:
    """What comes in on one connection: a codec's `reader`, and since when the message that is not whole yet has come."""

    def __init__(self, reader, malformed: type[Exception], now: int):
        self.reader, self.malformed, self.began_at = reader, malformed, now

    def feed(self, data: bytes, now: int) -> tuple[list, Exception | None]:
        """The messages that are whole, and what is wrong with what follows on them, if it is."""
        if not self.reader.partial:
            self.began_at = now
        wrong = None
        try:
            messages = self.reader.feed(data)
        except self.malformed as caught:
            messages, wrong = caught.before, caught
        if messages:
            self.began_at = now
        return messages, wrong

    def stuck(self, now: int, within: int) -> bool:
        """A message has begun and is not whole in time."""
        return self.reader.partial and now - self.began_at > within


class Wire:
    """`tasks` is the group in which it writes. `gone` is set once the connection is of no more use."""

    def __init__(self, stream: SocketStream, tasks):
        self.stream, self.tasks = stream, tasks
        self.waiting: list[tuple[bytes, object]] = []
        self.size = 0
        self.writing = self.ending = self.gone = False

    def send(self, data: bytes, flight: object = None) -> None:
        """`flight.handed` is set just before the bytes may reach the kernel."""
        if self.gone or self.ending:
            return
        self.waiting.append((data, flight))
        self.size += len(data)
        if self.size > MOST_WAITING:
            self.drop()
        elif not self.writing:
            self.writing = True
            self.tasks.start_soon(self._write)

    def take_back(self, flight: object) -> None:
        """What was to be sent for this, if it still waits."""
        self.waiting = [entry for entry in self.waiting if entry[1] is not flight]
        self.size = sum(len(data) for data, _ in self.waiting)

    async def _write(self) -> None:
        try:
            while self.waiting and not self.gone:
                batch, self.waiting, self.size = self.waiting, [], 0
                for _, flight in batch:
                    if flight is not None:
                        flight.handed = True
                await self.stream.send(b"".join(data for data, _ in batch))
            if self.ending:
                self.drop()
        except ENDED:
            self.drop()
        finally:
            self.writing = False

    def end(self) -> None:
        """Closed once what waits has gone out."""
        self.ending = True
        if not self.writing:
            self.drop()

    async def receive(self) -> bytes:
        """Empty once the connection has ended."""
        try:
            return await self.stream.receive(READ)
        except ENDED:
            return b""

    def drop(self) -> None:
        """Closed from this side; who reads from it sees its end."""
        if self.gone:
            return
        self.gone = True
        raw = self.stream.extra(SocketAttribute.raw_socket)
        try:
            raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    async def close(self) -> None:
        self.gone = True
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)
