"""Parsers of the two wire formats: RTSP between clients and nodes, binary messages between nodes and media servers.

Written from the protocol specification alone and shared with no code under test. A reader stops at input that it cannot parse
and marks its stream `malformed`; nothing here raises.
"""

from __future__ import annotations

import re
import struct
from dataclasses import dataclass, field

SET_UP, ANSWER, RELEASE, RELEASE_CONFIRMED, NOTE, PROBE, PROBE_ANSWER, RUNG_CHANGE = 1, 9, 12, 16, 44, 52, 53, 60
CLASS, WAIT_MS, TITLE, NOTE_KIND, REPORT, LEVEL, VALUE, CAUSE, DESCRIPTION = 33, 34, 37, 40, 42, 44, 45, 47, 48
# Cause codes of a release.
ENDED, CANCELLED, FULL, RESET, ERROR, MOOT = 16, 31, 34, 41, 47, 102
# A release with one of these causes before any answer proves that the server did not run the set-up.
NOT_RUN_CAUSES = frozenset((FULL, MOOT))
MAX_MESSAGE_BYTES = 16 * 1024
FIRST_LINE = re.compile(rb"(?:RTSP/1\.0 (\d{3})[^\r]*|([A-Z_]+) (\S+) RTSP/1\.0)\r\n")


@dataclass(slots=True)
class Binary:
    """One message between a node and a media server; `fields` are values by parameter code."""

    kind: int
    id: str
    fields: dict[int, bytes]

    @property
    def cause(self) -> int:
        value = self.fields.get(CAUSE, b"")
        return value[0] if value else 0


@dataclass(slots=True)
class Rtsp:
    """A request, with `method` and `address`, or a response, with `status`; names in `fields` are in lower case."""

    method: str
    address: str
    status: int
    fields: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        return self.fields.get("session", "")


@dataclass(slots=True)
class BinaryReader:
    """`first_at_s` is when the first byte of the incomplete message in the buffer was received."""

    buffer: bytearray = field(default_factory=bytearray)
    first_at_s: float = 0.0
    malformed: bool = False

    def feed(self, data: bytes, at_s: float) -> list[tuple[float, Binary]]:
        """The messages that `data` completes, each with the time of its first byte."""
        if not self.buffer:
            self.first_at_s = at_s
        self.buffer += data
        messages = []
        while not self.malformed and len(self.buffer) >= 2:
            length = int.from_bytes(self.buffer[:2], "big")
            if not 9 <= length <= MAX_MESSAGE_BYTES:
                self.malformed = True
            elif len(self.buffer) < 2 + length:
                break
            else:
                messages.append((self.first_at_s, _binary(bytes(self.buffer[2 : 2 + length]))))
                del self.buffer[: 2 + length]
                self.first_at_s = at_s
        return messages


@dataclass(slots=True)
class RtspReader:
    buffer: bytearray = field(default_factory=bytearray)
    malformed: bool = False

    def feed(self, data: bytes) -> list[Rtsp]:
        self.buffer += data
        messages = []
        while not self.malformed and self.buffer:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                self.malformed = len(self.buffer) > MAX_MESSAGE_BYTES
                break
            head = bytes(self.buffer[: end + 2])
            first = FIRST_LINE.match(head)
            fields = _fields(head)
            length = fields.get("content-length", "")
            if first is None or not length.isdigit() or int(length) > MAX_MESSAGE_BYTES:
                self.malformed = True
                break
            message_end = end + 4 + int(length)
            if len(self.buffer) < message_end:
                break
            body = bytes(self.buffer[end + 4 : message_end])
            messages.append(Rtsp((first[2] or b"").decode(), (first[3] or b"").decode(), int(first[1] or 0), fields, body))
            del self.buffer[:message_end]
        return messages


def _fields(head: bytes) -> dict[str, str]:
    fields = {}
    for line in head.decode("ascii", "replace").split("\r\n")[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return fields


def _binary(raw: bytes) -> Binary:
    fields, offset = {}, 9
    while offset + 3 <= len(raw):
        length = int.from_bytes(raw[offset + 1 : offset + 3], "big")
        fields[raw[offset]] = raw[offset + 3 : offset + 3 + length]
        offset += 3 + length
    return Binary(raw[0], raw[1:9].hex(), fields)


def binary(kind: int, id: str, *fields: tuple[int, bytes]) -> bytes:
    """Encodes a binary message; `fields` are pairs of parameter code and value."""
    rest = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in fields)
    return struct.pack(">HB", 9 + len(rest), kind) + bytes.fromhex(id) + rest


def rtsp_request(method: str, address: str, number: int, id: str, lines: str = "", body: bytes = b"") -> bytes:
    """Encodes an RTSP request; `lines` are complete header lines, each with its CRLF."""
    return (
        f"{method} {address} RTSP/1.0\r\nCSeq: {number}\r\nSession: {id}\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
