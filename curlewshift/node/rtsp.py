"""Codec of the RTSP messages exchanged with viewers. No I/O and no clock.

The syntax is that of RFC 2326 with one restriction, which the platform's specification makes: every message has a Content-Length.
A malformed message ends its connection, so the decoder does not try to find the start of the next one.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_MESSAGE_BYTES = 16 * 1024
MAX_FIELDS = 64
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
    """The bytes are not a valid message or the message is too large. `status` is the status code of the answer, `before` has the
    messages that preceded it."""

    def __init__(self, reason: str, status: int = 400):
        super().__init__(reason)
        self.status = status


@dataclass(eq=False, slots=True)
class Message:
    """A request with `method` and `address`, or a response with `status`. Field names are in lower case."""

    method: str
    address: str
    status: int
    fields: dict[str, str]
    body: bytes = b""
    # a field occurred twice; which value was meant is unknown
    has_duplicate_fields: bool = False


class Reader:
    """Incremental decoder for the bytes of one connection."""

    __slots__ = ("body_length", "buffer", "head")

    def __init__(self):
        self.buffer = bytearray()
        self.head: Message | None = None
        self.body_length = 0

    @property
    def partial(self) -> bool:
        """Part of a message has been received."""
        return bool(self.buffer) or self.head is not None

    def feed(self, data: bytes) -> list[Message]:
        """Returns each complete message. Raises `Malformed`."""
        self.buffer += data
        messages = []
        try:
            while True:
                message = self._next()
                if message is None:
                    return messages
                messages.append(message)
        except Malformed as error:
            error.before = messages
            raise

    def _next(self) -> Message | None:
        if self.head is None:
            end = self.buffer.find(b"\r\n\r\n", 0, MAX_MESSAGE_BYTES)
            if end < 0:
                if len(self.buffer) >= MAX_MESSAGE_BYTES:
                    raise Malformed(f"header section exceeds {MAX_MESSAGE_BYTES} bytes", 413)
                self._check_partial_start_line()
                return None
            self.head, length = _head(bytes(self.buffer[:end]))
            del self.buffer[: end + 4]
            if end + 4 + length > MAX_MESSAGE_BYTES:
                raise Malformed(f"message exceeds {MAX_MESSAGE_BYTES} bytes", 413)
            self.body_length = length
        if len(self.buffer) < self.body_length:
            return None
        message, self.head = self.head, None
        message.body = bytes(self.buffer[: self.body_length])
        del self.buffer[: self.body_length]
        return message

    def _check_partial_start_line(self) -> None:
        """Raises `Malformed` as soon as the start line is known to be invalid: a client that sends noise may never end a line."""
        end = self.buffer.find(b"\r\n", 0, 1024)
        if end > 0:
            _start_line(_text(bytes(self.buffer[:end])))
        elif (
            end == 0
            or len(self.buffer) >= 1024
            or any((byte < 0x20 and byte != 13) or byte > 0x7E for byte in self.buffer[:1024])
        ):
            raise Malformed("invalid start line")


def _text(raw: bytes) -> str:
    try:
        return raw.decode("ascii")
    except UnicodeDecodeError:
        raise Malformed("header section is not ASCII") from None


def _start_line(line: str) -> Message:
    match = REQUEST.fullmatch(line)
    if match:
        return Message(match[1], match[2], 0, {})
    match = STATUS.fullmatch(line)
    if match:
        return Message("", "", int(match[1]), {})
    raise Malformed(f"invalid start line: {line[:60]!r}")


def _head(raw: bytes) -> tuple[Message, int]:
    lines = _text(raw).split("\r\n")
    message = _start_line(lines[0])
    if len(lines) > MAX_FIELDS + 1:
        raise Malformed(f"more than {MAX_FIELDS} header fields")
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not NAME.fullmatch(name) or not value.isprintable():
            raise Malformed(f"invalid header field: {line[:60]!r}")
        name = name.lower()
        if name in message.fields:
            if name == "content-length":
                raise Malformed("duplicate Content-Length")
            message.has_duplicate_fields = True
        message.fields[name] = value.strip()
    length = message.fields.get("content-length")
    if length is None or not LENGTH.fullmatch(length):
        raise Malformed(f"missing or invalid Content-Length: {length!r}")
    return message, int(length)


def answer(status: int, cseq: str, session: str, body: bytes = b"", fields: str = "") -> bytes:
    """Encodes a response. `fields` are complete header lines, each ended by CRLF. `cseq` is the CSeq of the request."""
    session_field = f"Session: {session}\r\n" if session else ""
    return (
        f"RTSP/1.0 {status} {REASONS.get(status, 'Refused')}\r\nCSeq: {cseq}\r\n{session_field}{fields}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def release(session: str, cause: int) -> bytes:
    """Encodes the TEARDOWN that notifies a viewer of the end of a session."""
    return (
        f"TEARDOWN rtsp://media/{session} RTSP/1.0\r\nCSeq: 2\r\nSession: {session}\r\n"
        f"Reason: cause={cause}\r\nContent-Length: 0\r\n\r\n"
    ).encode()
