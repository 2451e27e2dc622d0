"""What was seen on a stand-in's own sockets, one JSON line an event, on the clock that all processes share."""

from __future__ import annotations

import socket
import struct
import time
from pathlib import Path

import msgspec
from anyio.abc import SocketAttribute

MS = 1_000_000
# Where TCP_INFO (tcp(7), linux/tcp.h) has the age of the last bytes that came, in ms; it is counted in the kernel's ticks
# (ns), which CLOCK_MONOTONIC_COARSE (linux/time.h) tells.
LAST_DATA_RECV = 8 + 11 * 4
# and how many bytes have come on it at all.
BYTES_RECEIVED = 8 + 24 * 4 + 3 * 8
TICK = int(time.clock_getres(6) * 1_000_000_000)


class Traffic:
    """`seen(ev, **facts)` adds a line with `at`, nanoseconds of the machine's monotonic clock."""

    def __init__(self, path: Path | None):
        # unbuffered: a process that is killed leaves whole lines behind
        self.file = open(path, "ab", buffering=0) if path else None
        self.encoder = msgspec.json.Encoder()

    def seen(self, ev: str, **facts) -> None:
        if self.file is not None:
            self.file.write(self.encoder.encode({"ev": ev, "at": time.monotonic_ns(), **facts}) + b"\n")

    def close(self) -> None:
        if self.file is not None:
            self.file.close()


def read_traffic(path: Path) -> list[dict]:
    decoder = msgspec.json.Decoder()
    with open(path, "rb") as lines:
        return [decoder.decode(line) for line in lines]


def arrived_at(sock: socket.socket) -> int:
    """When the kernel took the last bytes that have come on this socket, ns of the monotonic clock: a process that reads late,
    or accepts late, must not make its peer's bytes late. Never earlier than it was, and later by two ticks at the most."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV + 4)
    return time.monotonic_ns() - max(0, struct.unpack_from("=I", info, LAST_DATA_RECV)[0] * MS - TICK)


def bytes_come(sock: socket.socket) -> int:
    """How many bytes the kernel has taken on this socket, read or not."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_RECEIVED + 8)
    return struct.unpack_from("=Q", info, BYTES_RECEIVED)[0]


class Arrivals:
    """A stream that notes when the first byte of what is read next came in."""

    def __init__(self, stream):
        self.stream = stream
        self.first: int | None = None

    async def receive(self, most: int = 65536) -> bytes:
        data = await self.stream.receive(most)
        if self.first is None:
            self.first = arrived_at(self.stream.extra(SocketAttribute.raw_socket))
        return data

    def first_byte(self) -> int:
        """Of the message that has been read; the next one begins anew."""
        first, self.first = self.first, None
        return time.monotonic_ns() if first is None else first

    def __getattr__(self, name: str):
        return getattr(self.stream, name)
