"""The byte format of datagrams between members. docs/peers.md specifies it, so that tests can decode datagrams independently.

A datagram is `CWP`, a version byte, a msgpack array, and the CRC-32 of everything before it: a datagram that was altered on the
way is dropped. There is no signature: anyone who can reach the port can send valid datagrams.
"""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec
from msgspec import Meta

from curlewshift.membership.member import Claim

PREFIX, VERSION = b"CWP", 1
MAX_DATAGRAM_BYTES = 1200
PING, ACK, PING_REQUEST, NACK, UPDATES, COMPARE, MEMBER_LIST = range(1, 8)
# Kinds from here on are registered by subsystems that use the channel, one kind each.
FIRST_SUBSYSTEM_KIND = 16

ShortText = Annotated[str, Meta(min_length=1, max_length=64)]
Port = Annotated[int, Meta(ge=1, le=65535)]
UnsignedInt = Annotated[int, Meta(ge=0, lt=2**62)]
Names = Annotated[tuple[ShortText, ...], Meta(max_length=8)]
WireClaim = tuple[ShortText, ShortText, Port, UnsignedInt, UnsignedInt, Annotated[int, Meta(ge=0, le=3)], Names]


class DatagramRejected(Exception):
    """A datagram was dropped; the message is one of `REASONS`."""


REASONS = (
    "oversized",
    "other-form",
    "other-version",
    "spoilt",
    "malformed",
    "other-site",
    "old-life",
    "doubled",
    "late",
    "unknown",
)


class Frame(msgspec.Struct, array_like=True):
    """One datagram. `number` increases with each one sent in a life (run of a process); `probe` is the number of the probe that
    an answer refers to, and `view` the sender's digest of the member list."""

    site: ShortText
    name: ShortText
    host: ShortText
    port: Port
    life: UnsignedInt
    incarnation: UnsignedInt
    number: UnsignedInt
    kind: Annotated[int, Meta(ge=1, le=255)]
    probe: UnsignedInt = 0
    target: Annotated[str, Meta(max_length=64)] = ""
    view: UnsignedInt = 0
    claims: Annotated[list[WireClaim], Meta(max_length=256)] = []
    body: Annotated[bytes, Meta(max_length=MAX_DATAGRAM_BYTES)] = b""

    def sender(self) -> Claim:
        return Claim(self.name, self.host, self.port, self.life, self.incarnation, 0)


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """A frame as the bytes of a datagram."""
    body = PREFIX + bytes((VERSION,)) + ENCODER.encode(frame)
    return body + zlib.crc32(body).to_bytes(4, "big")


def decode(data: bytes, site: str) -> Frame:
    """Raises `DatagramRejected`, and nothing else, for any input that is not a frame of this site."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramRejected("oversized")
    if len(data) < 8 or data[:3] != PREFIX:
        raise DatagramRejected("other-form")
    if data[3] != VERSION:
        raise DatagramRejected("other-version")
    if zlib.crc32(data[:-4]) != int.from_bytes(data[-4:], "big"):
        raise DatagramRejected("spoilt")
    try:
        frame = DECODER.decode(data[4:-4])
    except (msgspec.DecodeError, RecursionError):
        raise DatagramRejected("malformed") from None
    if frame.site != site:
        raise DatagramRejected("other-site")
    return frame


class ReplayWindow:
    """The sequence numbers received in one life, as a sliding window: duplicates and numbers older than the window are rejected,
    reordered ones are accepted."""

    SIZE = 1024

    def __init__(self, life: int):
        self.life, self.last, self.seen = life, -1, 0

    def take(self, number: int) -> None:
        """Raises `DatagramRejected`."""
        ahead = number - self.last
        if ahead > 0:
            self.seen = (self.seen << ahead | 1) & (1 << self.SIZE) - 1 if ahead < self.SIZE else 1
            self.last = number
        elif ahead <= -self.SIZE:
            raise DatagramRejected("late")
        elif self.seen >> -ahead & 1:
            raise DatagramRejected("doubled")
        else:
            self.seen |= 1 << -ahead
