"""RTSP as viewers speak it: bytes in, messages out, and the messages that go back. No I/O and no clock.

The syntax is that of RFC 2326 with one thing made stricter, as the platform's page does: every message says how long its
body is. Whatever cannot be read ends the connection it came on, so nothing here tries to find the next message.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST = 16 * 1024
MOST_FIELDS = 64
LENGTH = re.compile(r"[0-9]{1,8}")
NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}")
REQUEST = re.compile(r"([A-Z_]{1,32}) (rtsp://[\x21-\x7e]{1,512}|\*) RTSP/1\.0")
STATUS = re.compile(r"RTSP/1\.0 ([1-5][0-9]{2})(?: [\x20-\x7e]{0,128})?")

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    413: "Request Entity Too Large",
    453: "Not Enough Bandwidth",
    454: "Session Not Found",
    455: "Method Not Valid in This State",
    459: "Aggregate Operation Not Allowed",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    504: "Gateway Time-out",
}


class Malformed(Exception):
    """Bytes that are no message, or one too large; `status` says which."""

    def __init__(self, why: str, status: int = 400):
        super().__init__(why)
        self.status = status


@dataclass(eq=False, slots=True)
class Message:
    """A request with `method` and `address`, or an answer with `status`. Field names are in lower case."""

    method: str
    address: str
    status: int
    fields: dict[str, str]
    body: bytes = b""
    # a field that came twice: whichever was meant, it cannot be told
    doubled: bool = False


class Reader:
    """Gathers the bytes of one connection."""

    __slots__ = ("head", "held", "need")

    def __init__(self):
        self.held = bytearray()
        self.head: Message | None = None
        self.need = 0

    @property
    def partial(self) -> bool:
        """Part of a message is here."""
        return bool(self.held) or self.head is not None

    def feed(self, data: bytes) -> list[Message]:
        """Raises `Malformed`; what was whole before that is in its `before`."""
        self.held += data
        messages = []
        try:
            while True:
                message = self._next()
                if message is None:
                    return messages
                messages.append(message)
        except Malformed as wrong:
            wrong.before = messages
            raise

    def _next(self) -> Message | None:
        if self.head is None:
            end = self.held.find(b"\r\n\r\n", 0, MOST)
            if end < 0:
                if len(self.held) >= MOST:
                    raise Malformed(f"a head of over {MOST} bytes", 413)
                self._look_early()
                return None
            self.head, length = _head(bytes(self.held[:end]))
            del self.held[: end + 4]
            if end + 4 + length > MOST:
                raise Malformed(f"a message of over {MOST} bytes", 413)
            self.need = length
        if len(self.held) < self.need:
            return None
        message, self.head = self.head, None
        message.body = bytes(self.held[: self.need])
        del self.held[: self.need]
        return message

    def _look_early(self) -> None:
        """A first line that cannot be one is told at once: who sends noise may never send an end of line."""
        end = self.held.find(b"\r\n", 0, 1024)
        if end > 0:
            _first_line(_text(bytes(self.held[:end])))
        elif end == 0 or len(self.held) >= 1024 or any((byte < 0x20 and byte != 13) or byte > 0x7E for byte in self.held[:1024]):
            raise Malformed("no first line of a message")


def _text(raw: bytes) -> str:
    try:
        return raw.decode("ascii")
    except UnicodeDecodeError:
        raise Malformed("bytes that are not ASCII in a head") from None


def _first_line(line: str) -> Message:
    match = REQUEST.fullmatch(line)
    if match:
        return Message(match[1], match[2], 0, {})
    match = STATUS.fullmatch(line)
    if match:
        return Message("", "", int(match[1]), {})
    raise Malformed(f"no first line of a message: {line[:60]!r}")


def _head(raw: bytes) -> tuple[Message, int]:
    lines = _text(raw).split("\r\n")
    message = _first_line(lines[0])
    if len(lines) > MOST_FIELDS + 1:
        raise Malformed(f"more than {MOST_FIELDS} fields")
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not NAME.fullmatch(name) or not value.isprintable():
            raise Malformed(f"no field: {line[:60]!r}")
        name = name.lower()
        if name in message.fields:
            if name == "content-length":
                raise Malformed("two lengths")
            message.doubled = True
        message.fields[name] = value.strip()
    length = message.fields.get("content-length")
    if length is None or not LENGTH.fullmatch(length):
        raise Malformed(f"no length of a body: {length!r}")
    return message, int(length)


def answer(status: int, number: str, session: str, body: bytes = b"", fields: str = "") -> bytes:
    """`fields` are whole lines. `number` is what the request had as CSeq."""
    held = f"Session: {session}\r\n" if session else ""
    return (
        f"RTSP/1.0 {status} {REASONS.get(status, 'Refused')}\r\nCSeq: {number}\r\n{held}{fields}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def release(session: str, cause: int) -> bytes:
    """The end of a session, with its cause."""
    return (
        f"TEARDOWN rtsp://media/{session} RTSP/1.0\r\nCSeq: 2\r\nSession: {session}\r\n"
        f"Reason: cause={cause}\r\nContent-Length: 0\r\n\r\n"
    ).encode()
