"""Server-sent events (WHATWG HTML, 9.2), written and read as bytes come, whatever the cuts between them."""

from __future__ import annotations

from dataclasses import dataclass

CONTENT_TYPE = "text/event-stream"
KEEP_ALIVE = b":\n\n"
# A longer event is nobody's here; it ends the stream instead of filling memory.
MOST_BYTES = 16 * 1024 * 1024


class EventTooLong(Exception):
    """An event that does not end."""


@dataclass(slots=True)
class Event:
    kind: str
    data: str
    id: str | None = None


def encode_event(event: Event) -> bytes:
    """A server-sent event as bytes."""
    lines = [] if event.id is None else [f"id: {event.id}"]
    lines.append(f"event: {event.kind}")
    lines += [f"data: {line}" for line in event.data.split("\n")]
    return ("\n".join(lines) + "\n\n").encode()


class EventReader:
    """Bytes in, events out. `last_id` is what a resumed stream sends as `Last-Event-ID`."""

    def __init__(self):
        self.last_id: str | None = None
        self.rest = b""
        self.lines: list[str] = []
        self.held = 0

    def feed(self, data: bytes) -> list[Event]:
        events = []
        self.rest += data
        *lines, self.rest = self.rest.split(b"\n")
        self.held += len(data)
        for raw in lines:
            line = raw.rstrip(b"\r").decode("utf-8", "replace")
            if line:
                self.lines.append(line)
                continue
            event = self._event()
            self.held = len(self.rest)
            if event is not None:
                events.append(event)
        if self.held > MOST_BYTES:
            raise EventTooLong(f"an event of over {MOST_BYTES} bytes")
        return events

    def _event(self) -> Event | None:
        kind, data, lines = "message", [], self.lines
        self.lines = []
        for line in lines:
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "event":
                kind = value
            elif name == "data":
                data.append(value)
            elif name == "id" and "\0" not in value:
                self.last_id = value
        return Event(kind, "\n".join(data), self.last_id) if data else None
