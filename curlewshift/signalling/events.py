"""Server-sent events (WHATWG HTML, 9.2): an encoder and an incremental parser that accepts bytes in pieces of any size."""

from __future__ import annotations

from dataclasses import dataclass

CONTENT_TYPE = "text/event-stream"
KEEP_ALIVE = b":\n\n"
# Far above any event sent here; a longer one ends the stream, so that memory stays bounded.
MAX_EVENT_BYTES = 16 * 1024 * 1024


class EventTooLong(Exception):
    """An event exceeds `MAX_EVENT_BYTES`."""


@dataclass(slots=True)
class Event:
    kind: str
    data: str
    id: str | None = None


def encode_event(event: Event) -> bytes:
    """Encodes one event."""
    lines = [] if event.id is None else [f"id: {event.id}"]
    lines.append(f"event: {event.kind}")
    lines += [f"data: {line}" for line in event.data.split("\n")]
    return ("\n".join(lines) + "\n\n").encode()


class EventReader:
    """Incremental parser. `last_id` is the value to send as `Last-Event-ID` when a stream is resumed."""

    def __init__(self):
        self.last_id: str | None = None
        self.unparsed = b""
        self.lines: list[str] = []
        self.event_bytes = 0

    def feed(self, data: bytes) -> list[Event]:
        """The events that `data` completes. Raises `EventTooLong`."""
        events = []
        self.unparsed += data
        *lines, self.unparsed = self.unparsed.split(b"\n")
        self.event_bytes += len(data)
        for raw in lines:
            line = raw.rstrip(b"\r").decode("utf-8", "replace")
            if line:
                self.lines.append(line)
                continue
            event = self._finish_event()
            self.event_bytes = len(self.unparsed)
            if event is not None:
                events.append(event)
        if self.event_bytes > MAX_EVENT_BYTES:
            raise EventTooLong(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _finish_event(self) -> Event | None:
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
