"""Structured logs: one line of JSON per event on standard error, by structlog, written in a background thread."""

from __future__ import annotations

import atexit
import logging
import os
import sys
import threading
import time
from queue import Empty, Full, Queue

import msgspec
import structlog

# Lines queued for a slow reader or disk; further lines are counted and dropped, as answers must not wait for the log.
MAX_QUEUED_LINES = 20_000
# Lines of the same event per second: a flood of invalid input must not flood the log.
MAX_LINES_PER_EVENT = 50


class BackgroundWriter:
    """The logger that structlog writes to: queues lines, and writes each completely in a background thread."""

    def __init__(self, file):
        self.file, self.lines, self.dropped = file, Queue(MAX_QUEUED_LINES), 0
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()
        atexit.register(self._write_remaining)

    def msg(self, line: bytes) -> None:
        try:
            self.lines.put_nowait(line)
        except Full:
            self.dropped += 1

    debug = info = warning = error = msg

    def _run(self) -> None:
        while True:
            self._write_line(self.lines.get())

    def _write_line(self, line: bytes) -> None:
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self.file.write(b'{"event":"lines-dropped","count":%d}\n' % count)
        self.file.write(line + b"\n")
        if self.lines.empty():
            self.file.flush()

    def _write_remaining(self) -> None:
        while True:
            try:
                self._write_line(self.lines.get_nowait())
            except Empty:
                return


class EventRateLimiter:
    """A structlog processor that passes `MAX_LINES_PER_EVENT` lines of each event per second. The first line of a later second
    has the numbers of suppressed lines as `held_back`."""

    def __init__(self, clock=time.monotonic):
        self.clock, self.second, self.counts = clock, 0, {}

    def __call__(self, logger, method, line: dict) -> dict:
        second = int(self.clock())
        if second != self.second:
            suppressed = {
                event: count - MAX_LINES_PER_EVENT for event, count in self.counts.items() if count > MAX_LINES_PER_EVENT
            }
            self.second, self.counts = second, {}
            if suppressed:
                line["held_back"] = suppressed
        event = line["event"]
        self.counts[event] = self.counts.get(event, 0) + 1
        if self.counts[event] > MAX_LINES_PER_EVENT:
            raise structlog.DropEvent
        return line


# The environment variable for the lowest level to be logged, and its values. No event has the level critical, so `off` disables
# all.
LEVEL_VARIABLE = "CURLEWSHIFT_LOG_LEVEL"
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
    "off": logging.CRITICAL,
}


def level() -> int:
    """The lowest level to be logged, from the environment; info by default."""
    return LEVELS.get(os.environ.get(LEVEL_VARIABLE, "info").lower(), logging.INFO)


def make_log(bounded: bool = False, **fields):
    """A logger that adds `fields` to all lines. `bounded` limits the rate of each event, for lines that clients can cause."""
    return structlog.wrap_logger(
        BackgroundWriter(sys.stderr.buffer),
        processors=[
            *([EventRateLimiter()] if bounded else []),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=lambda line, **_: msgspec.json.encode(line)),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level()),
        cache_logger_on_first_use=True,
    ).bind(**fields)
