"""Records what stand-ins observe on their own sockets: one JSON line per event, timed by the clock that all processes share."""

from __future__ import annotations

import socket
import struct
import time
from pathlib import Path

import msgspec
from anyio.abc import SocketAttribute

MS = 1_000_000
# Offset in TCP_INFO (tcp(7), linux/tcp.h) of `tcpi_last_data_recv`, the age of the last received bytes in ms. Its resolution is
# the kernel's tick, which is the resolution of CLOCK_MONOTONIC_COARSE (linux/time.h).
LAST_DATA_RECV_OFFSET = 8 + 11 * 4
# Offset of `tcpi_bytes_received`, the total number of bytes received.
BYTES_RECEIVED_OFFSET = 8 + 24 * 4 + 3 * 8
COARSE_CLOCK_TICK_NS = int(time.clock_getres(6) * 1_000_000_000)


class Traffic:
    """`seen(ev, **facts)` appends a line with `at`, the time on the machine's monotonic clock (ns)."""

    def __init__(self, path: Path | None):
        # unbuffered, so that a killed process leaves only complete lines
        self.file = open(path, "ab", buffering=0) if path else None
        self.encoder = msgspec.json.Encoder()

    def seen(self, ev: str, **facts) -> None:
        if self.file is not None:
            self.file.write(self.encoder.encode({"ev": ev, "at": time.monotonic_ns(), **facts}) + b"\n")

    def close(self) -> None:
        if self.file is not None:
            self.file.close()


def read_traffic(path: Path) -> list[dict]:
    """All events of a recorded file, in file order."""
    decoder = msgspec.json.Decoder()
    with open(path, "rb") as lines:
        return [decoder.decode(line) for line in lines]


def arrived_at(sock: socket.socket) -> int:
    """When the kernel received the last bytes on this socket (ns, monotonic clock), so that a process that reads or accepts late
    does not make its peer's bytes appear late. Never earlier than the actual time, and at most two ticks later."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_OFFSET + 4)
    return time.monotonic_ns() - max(0, struct.unpack_from("=I", info, LAST_DATA_RECV_OFFSET)[0] * MS - COARSE_CLOCK_TICK_NS)


def bytes_received(sock: socket.socket) -> int:
    """Number of bytes that the kernel has received on this socket, read or not."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_RECEIVED_OFFSET + 8)
    return struct.unpack_from("=Q", info, BYTES_RECEIVED_OFFSET)[0]


class ArrivalTimedStream:
    """A stream that records when the first byte of the next message arrived."""

    def __init__(self, stream):
        self.stream = stream
        self.first_byte_at: int | None = None

    async def receive(self, max_bytes: int = 65536) -> bytes:
        data = await self.stream.receive(max_bytes)
        if self.first_byte_at is None:
            self.first_byte_at = arrived_at(self.stream.extra(SocketAttribute.raw_socket))
        return data

    def first_byte(self) -> int:
        """Arrival time (ns) of the first byte of the message just read; resets it for the next message."""
        first_byte_at, self.first_byte_at = self.first_byte_at, None
        return time.monotonic_ns() if first_byte_at is None else first_byte_at

    def __getattr__(self, name: str):
        return getattr(self.stream, name)
