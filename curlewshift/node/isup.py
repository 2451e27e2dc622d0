"""Codec of the binary protocol that media servers speak. No I/O and no clock.

    message   = length:2 type:1 session:8 parameters      length counts all bytes after itself; big-endian
    parameter = code:1 length:2 value

After a malformed message nothing more can be decoded on its connection, as the start of the next depends on the length field.
"""

from __future__ import annotations

import struct

MAX_MESSAGE_BYTES = 16 * 1024
HEADER_BYTES = 9

SET_UP, PROGRESS, ANSWER, RELEASE, RELEASED, NOTE, MOVE, PROBE, PROBED, RUNG = 1, 6, 9, 12, 16, 44, 51, 52, 53, 60
TYPES = frozenset((SET_UP, PROGRESS, ANSWER, RELEASE, RELEASED, NOTE, MOVE, PROBE, PROBED, RUNG))
CLASS, WAIT, TITLE, KIND, REPORT, LEVEL, VALUE, CAUSE, DESCRIPTION = 33, 34, 37, 40, 42, 44, 45, 47, 48

# Cause codes. FULL, MOOT, ERROR and RESET may come before the answer to a set-up; RESET, ENDED and CANCELLED after it.
FULL, MOOT, ERROR, RESET = 34, 102, 47, 41
ENDED, CANCELLED = 16, 31


class Malformed(Exception):
    """The bytes are not a valid message; `before` has the messages that preceded them."""


class Reader:
    """Incremental decoder for the bytes of one connection."""

    __slots__ = ("buffer",)

    def __init__(self):
        self.buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Part of a message has been received."""
        return bool(self.buffer)

    def feed(self, data: bytes) -> list[tuple[int, bytes, dict[int, bytes]]]:
        """Returns type, session and parameters of each complete message. Raises `Malformed`."""
        self.buffer += data
        messages = []
        try:
            while len(self.buffer) >= 2:
                length = int.from_bytes(self.buffer[:2], "big")
                if not HEADER_BYTES <= length <= MAX_MESSAGE_BYTES - 2:
                    raise Malformed(f"invalid message length: {length} bytes")
                if len(self.buffer) >= 3 and self.buffer[2] not in TYPES:
                    raise Malformed(f"unknown message type {self.buffer[2]}")
                if len(self.buffer) < 2 + length:
                    break
                raw = bytes(self.buffer[2 : 2 + length])
                del self.buffer[: 2 + length]
                messages.append((raw[0], raw[1:HEADER_BYTES], _parameters(raw)))
        except Malformed as error:
            error.before = messages
            raise
        return messages


def _parameters(raw: bytes) -> dict[int, bytes]:
    parameters, offset = {}, HEADER_BYTES
    while offset < len(raw):
        if offset + 3 > len(raw):
            raise Malformed("truncated parameter")
        code, length = raw[offset], int.from_bytes(raw[offset + 1 : offset + 3], "big")
        offset += 3
        if offset + length > len(raw):
            raise Malformed(f"parameter {code} extends past the end of the message")
        if code in parameters:
            raise Malformed(f"duplicate parameter {code}")
        parameters[code] = raw[offset : offset + length]
        offset += length
    return parameters


def cause_of(parameters: dict[int, bytes]) -> int:
    """Returns the cause code. Raises `Malformed`."""
    value = parameters.get(CAUSE)
    if value is None or len(value) != 1:
        raise Malformed("missing or invalid cause parameter")
    return value[0]


def text_of(parameters: dict[int, bytes], code: int) -> str:
    """Returns a text parameter. Raises `Malformed`."""
    try:
        return parameters[code].decode("ascii")
    except (KeyError, UnicodeDecodeError):
        raise Malformed(f"parameter {code} is missing or not ASCII") from None


def report_of(parameters: dict[int, bytes]) -> dict[str, float]:
    """Returns the load report by name. Values that are not numbers or out of range are left out; unknown names are ignored by
    the caller."""
    report = {}
    for part in parameters.get(REPORT, b"").decode("ascii", "replace").split(";"):
        name, _, value = part.partition(":")
        try:
            number = float(value)
        except ValueError:
            continue
        if 0 <= number < 1e9:
            report[name] = number
    return report


def encode(kind: int, session: bytes, *parameters: tuple[int, bytes]) -> bytes:
    """Encodes one message; each parameter is a code and a value."""
    rest = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters)
    return struct.pack(">HB", HEADER_BYTES + len(rest), kind) + session + rest


def set_up(session: bytes, package: str, title: str, wait_ms: int, rung: int, description: bytes) -> bytes:
    """Encodes a set-up request; `wait_ms` is how long the node will wait for the answer."""
    return encode(
        SET_UP,
        session,
        (CLASS, package.encode()),
        (TITLE, title.encode()),
        (WAIT, b"%d" % wait_ms),
        (LEVEL, b"%d" % rung),
        (DESCRIPTION, description),
    )


def release(session: bytes, cause: int) -> bytes:
    """Encodes the release of a session or of a set-up attempt."""
    return encode(RELEASE, session, (CAUSE, bytes((cause,))))


def released(session: bytes) -> bytes:
    """Encodes the confirmation of a release."""
    return encode(RELEASED, session)


def rung(session: bytes, level: int) -> bytes:
    """Encodes a rung change for an established session."""
    return encode(RUNG, session, (LEVEL, b"%d" % level))


def probe(session: bytes, cause: int = 1) -> bytes:
    """Encodes a probe; with cause 1 the answer carries a load report."""
    return encode(PROBE, session, (CAUSE, bytes((cause,))))


def probed(session: bytes, passed: bool) -> bytes:
    """Encodes the answer to a probe."""
    return encode(PROBED, session, (CAUSE, bytes((passed,))))
