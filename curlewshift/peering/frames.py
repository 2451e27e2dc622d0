"""Datagrams between fronts as bytes. docs/peers.md has the form, so that a judge can read it without this.

`CWP`, a version byte, a msgpack array, and the CRC-32 of all before it: what was changed on the way is dropped and not
believed. There is no signature: who can reach the port can speak on it.
"""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec
from msgspec import Meta

from curlewshift.membership.member import Claim

PREFIX, VERSION = b"CWP", 1
MOST_BYTES = 1200
PING, ACK, ASK, NACK, NEWS, COMPARE, PIECE = range(1, 8)
# Kinds from here on belong to what stands on the channel, a kind a subsystem.
FIRST_OF_OTHERS = 16

Word = Annotated[str, Meta(min_length=1, max_length=64)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Number = Annotated[int, Meta(ge=0, lt=2**62)]
Names = Annotated[tuple[Word, ...], Meta(max_length=8)]
WireClaim = tuple[Word, Word, Port, Number, Number, Annotated[int, Meta(ge=0, le=3)], Names]


class Refused(Exception):
    """Why a datagram was not read: one of `REASONS`."""


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
    """One datagram. `number` rises with each one that a life sends; `probe` is what an answer refers to."""

    site: Word
    name: Word
    host: Word
    port: Port
    life: Number
    incarnation: Number
    number: Number
    kind: Annotated[int, Meta(ge=1, le=255)]
    probe: Number = 0
    target: Annotated[str, Meta(max_length=64)] = ""
    view: Number = 0
    claims: Annotated[list[WireClaim], Meta(max_length=256)] = []
    body: Annotated[bytes, Meta(max_length=MOST_BYTES)] = b""

    def sender(self) -> Claim:
        return Claim(self.name, self.host, self.port, self.life, self.incarnation, 0)


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """A frame as the bytes of a datagram."""
    body = PREFIX + bytes((VERSION,)) + ENCODER.encode(frame)
    return body + zlib.crc32(body).to_bytes(4, "big")


def decode(data: bytes, site: str) -> Frame:
    """Raises `Refused`, and nothing else, whatever came."""
    if len(data) > MOST_BYTES:
        raise Refused("oversized")
    if len(data) < 8 or data[:3] != PREFIX:
        raise Refused("other-form")
    if data[3] != VERSION:
        raise Refused("other-version")
    if zlib.crc32(data[:-4]) != int.from_bytes(data[-4:], "big"):
        raise Refused("spoilt")
    try:
        frame = DECODER.decode(data[4:-4])
    except (msgspec.DecodeError, RecursionError):
        raise Refused("malformed") from None
    if frame.site != site:
        raise Refused("other-site")
    return frame


class Window:
    """Numbers of one life that have been seen: doubled and very late ones are told apart, reordered ones are let through."""

    KEPT = 1024

    def __init__(self, life: int):
        self.life, self.last, self.seen = life, -1, 0

    def take(self, number: int) -> None:
        """Raises `Refused`."""
        ahead = number - self.last
        if ahead > 0:
            self.seen = (self.seen << ahead | 1) & (1 << self.KEPT) - 1 if ahead < self.KEPT else 1
            self.last = number
        elif ahead <= -self.KEPT:
            raise Refused("late")
        elif self.seen >> -ahead & 1:
            raise Refused("doubled")
        else:
            self.seen |= 1 << -ahead
