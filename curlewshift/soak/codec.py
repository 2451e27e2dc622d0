"""The two wire forms as a bystander reads them: RTSP between clients and nodes, binary messages between nodes and media servers.

Written from the protocol page alone and shared with nothing that is judged. Whatever cannot be read ends the reading of its
stream; nothing here raises.
"""

from __future__ import annotations

import re
import struct
from dataclasses import dataclass, field

SET_UP, ANSWER, RELEASE, RELEASE_HEARD, NOTE, PROBE, PROBED, RUNG = 1, 9, 12, 16, 44, 52, 53, 60
CLASS, WAIT_MS, TITLE, NOTE_KIND, REPORT, LEVEL, FIGURE, CAUSE, DESCRIPTION = 33, 34, 37, 40, 42, 44, 45, 47, 48
# Causes of a release.
OVER, CANCELLED, FULL, RESET, ERROR, MOOT = 16, 31, 34, 41, 47, 102
# Causes before an answer that prove that nothing ran.
NEVER_RAN = frozenset((FULL, MOOT))
LARGEST = 16 * 1024
FIRST_LINE = re.compile(rb"(?:RTSP/1\.0 (\d{3})[^\r]*|([A-Z_]+) (\S+) RTSP/1\.0)\r\n")


@dataclass(slots=True)
class Binary:
    """One message of a media server's connection."""

    kind: int
    id: str
    fields: dict[int, bytes]

    @property
    def cause(self) -> int:
        value = self.fields.get(CAUSE, b"")
        return value[0] if value else 0


@dataclass(slots=True)
class Rtsp:
    """A request with `method`, or an answer with `status`; field names are in lower case."""

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
    """`first_at_s` is when the first byte of the message that is not whole yet came."""

    held: bytearray = field(default_factory=bytearray)
    first_at_s: float = 0.0
    broken: bool = False

    def feed(self, data: bytes, at_s: float) -> list[tuple[float, Binary]]:
        """Each message that is whole, with when its first byte came."""
        if not self.held:
            self.first_at_s = at_s
        self.held += data
        found = []
        while not self.broken and len(self.held) >= 2:
            length = int.from_bytes(self.held[:2], "big")
            if not 9 <= length <= LARGEST:
                self.broken = True
            elif len(self.held) < 2 + length:
                break
            else:
                found.append((self.first_at_s, _binary(bytes(self.held[2 : 2 + length]))))
                del self.held[: 2 + length]
                self.first_at_s = at_s
        return found


@dataclass(slots=True)
class RtspReader:
    held: bytearray = field(default_factory=bytearray)
    broken: bool = False

    def feed(self, data: bytes) -> list[Rtsp]:
        self.held += data
        found = []
        while not self.broken and self.held:
            end = self.held.find(b"\r\n\r\n")
            if end < 0:
                self.broken = len(self.held) > LARGEST
                break
            head = bytes(self.held[: end + 2])
            first = FIRST_LINE.match(head)
            fields = _fields(head)
            length = fields.get("content-length", "")
            if first is None or not length.isdigit() or int(length) > LARGEST:
                self.broken = True
                break
            whole = end + 4 + int(length)
            if len(self.held) < whole:
                break
            body = bytes(self.held[end + 4 : whole])
            found.append(Rtsp((first[2] or b"").decode(), (first[3] or b"").decode(), int(first[1] or 0), fields, body))
            del self.held[:whole]
        return found


def _fields(head: bytes) -> dict[str, str]:
    fields = {}
    for line in head.decode("ascii", "replace").split("\r\n")[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return fields


def _binary(raw: bytes) -> Binary:
    fields, at = {}, 9
    while at + 3 <= len(raw):
        length = int.from_bytes(raw[at + 1 : at + 3], "big")
        fields[raw[at]] = raw[at + 3 : at + 3 + length]
        at += 3 + length
    return Binary(raw[0], raw[1:9].hex(), fields)


def binary(kind: int, id: str, *fields: tuple[int, bytes]) -> bytes:
    """A message of the binary form; `fields` are codes and values."""
    rest = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in fields)
    return struct.pack(">HB", 9 + len(rest), kind) + bytes.fromhex(id) + rest


def rtsp_request(method: str, address: str, number: int, id: str, lines: str = "", body: bytes = b"") -> bytes:
    """`lines` are whole header lines."""
    return (
        f"{method} {address} RTSP/1.0\r\nCSeq: {number}\r\nSession: {id}\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
