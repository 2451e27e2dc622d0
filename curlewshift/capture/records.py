"""The format of a log: segments of MessagePack records, each with its length and checksum. Works on bytes; no I/O.

A segment begins with a magic text that includes the version. A record is its length (4 bytes), the CRC-32 of its payload (4
bytes), both little-endian, and the payload. So a log that is truncated anywhere, or has a flipped bit, is read up to that record
and no further, and the position is reported.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from typing import Any

import msgspec

MAGIC = b"curlewshift capture 1\n"
HEAD = struct.Struct("<II")
# A length above this means that the length itself is damaged.
MAX_RECORD_BYTES = 32 * 1024 * 1024
_encode = msgspec.msgpack.Encoder().encode


class InvalidCapture(Exception):
    """The file does not begin with the magic text of a capture, or cannot be decompressed."""


def frame(record: list[Any]) -> bytes:
    """One record as it stands on disk: length, checksum, payload."""
    payload = _encode(record)
    return HEAD.pack(len(payload), zlib.crc32(payload)) + payload


class Reading:
    """Iterates over the records of one segment. Afterwards `damage` says why reading ended early (empty if the segment is
    complete), and `whole` is the number of bytes that were valid. Raises `InvalidCapture` if the magic text is not there."""

    def __init__(self, raw: bytes, name: str = "capture"):
        if not raw.startswith(MAGIC):
            raise InvalidCapture(f"{name}: not a capture, or one of another version")
        self.raw, self.name, self.damage, self.whole = raw, name, "", len(MAGIC)

    def __iter__(self) -> Iterator[list[Any]]:
        at = len(MAGIC)
        while at < len(self.raw):
            if at + HEAD.size > len(self.raw):
                self.damage = f"{self.name}: truncated in the header of a record at byte {at}"
                return
            length, checksum = HEAD.unpack_from(self.raw, at)
            payload = self.raw[at + HEAD.size : at + HEAD.size + length]
            if length > MAX_RECORD_BYTES or len(payload) < length:
                self.damage = f"{self.name}: truncated in the record at byte {at}"
                return
            if zlib.crc32(payload) != checksum:
                self.damage = f"{self.name}: the record at byte {at} is damaged"
                return
            try:
                record = msgspec.msgpack.decode(payload)
            except msgspec.DecodeError as error:
                self.damage = f"{self.name}: the record at byte {at} cannot be decoded: {error}"
                return
            at = self.whole = at + HEAD.size + length
            yield record
