"""The log's form: records of MessagePack, each with its length and checksum, in segments. No I/O but bytes.

A segment begins with a magic word and the version. A record is its length (4 bytes), the CRC-32 of its payload (4
bytes) and the payload, so that a log cut off anywhere, or with a flipped bit, is read up to there and no further, and
says where that was.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from typing import Any

import msgspec

MAGIC = b"curlewshift capture 1\n"
HEAD = struct.Struct("<II")
# A longer record is a damaged length.
MOST_BYTES = 32 * 1024 * 1024
_encode = msgspec.msgpack.Encoder().encode


class InvalidCapture(Exception):
    """The file does not begin as a capture does."""


def frame(record: list[Any]) -> bytes:
    """One record as it stands on disk: length, checksum, payload."""
    payload = _encode(record)
    return HEAD.pack(len(payload), zlib.crc32(payload)) + payload


class Reading:
    """The records of one segment. After the last, `damage` says what ended it, empty if it is whole, and `whole` how
    many bytes were read well."""

    def __init__(self, raw: bytes, name: str = "capture"):
        if not raw.startswith(MAGIC):
            raise InvalidCapture(f"{name}: this is no capture, or one of another version")
        self.raw, self.name, self.damage, self.whole = raw, name, "", len(MAGIC)

    def __iter__(self) -> Iterator[list[Any]]:
        at = len(MAGIC)
        while at < len(self.raw):
            if at + HEAD.size > len(self.raw):
                self.damage = f"{self.name}: cut off inside a record's head at byte {at}"
                return
            length, checksum = HEAD.unpack_from(self.raw, at)
            payload = self.raw[at + HEAD.size : at + HEAD.size + length]
            if length > MOST_BYTES or len(payload) < length:
                self.damage = f"{self.name}: cut off inside a record at byte {at}"
                return
            if zlib.crc32(payload) != checksum:
                self.damage = f"{self.name}: the record at byte {at} is damaged"
                return
            try:
                record = msgspec.msgpack.decode(payload)
            except msgspec.DecodeError as wrong:
                self.damage = f"{self.name}: the record at byte {at} cannot be read: {wrong}"
                return
            at = self.whole = at + HEAD.size + length
            yield record
