"""Structured logs: one JSON line an event on standard error, by structlog, written by a thread of their own."""

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

# Lines that wait for a slow reader or disk; what comes on top is counted and dropped, as answers must not wait.
MOST_WAITING = 20_000
# Lines of one event in one second: a flood of bad input must not become one of lines.
MOST_OF_ONE = 50


class Writer:
    """The logger that structlog writes to. Each line goes out whole."""

    def __init__(self, file):
        self.file, self.lines, self.dropped = file, Queue(MOST_WAITING), 0
        thread = threading.Thread(target=self._write, daemon=True)
        thread.start()
        atexit.register(self._rest)

    def msg(self, line: bytes) -> None:
        try:
            self.lines.put_nowait(line)
        except Full:
            self.dropped += 1

    debug = info = warning = error = msg

    def _write(self) -> None:
        while True:
            self._out(self.lines.get())

    def _out(self, line: bytes) -> None:
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self.file.write(b'{"event":"lines-dropped","count":%d}\n' % count)
        self.file.write(line + b"\n")
        if self.lines.empty():
            self.file.flush()

    def _rest(self) -> None:
        while True:
            try:
                self._out(self.lines.get_nowait())
            except Empty:
                return


class Held:
    """Lets so many lines of each event through in a second; the first one after that says how many were held back."""

    def __init__(self, clock=time.monotonic):
        self.clock, self.second, self.counts = clock, 0, {}

    def __call__(self, logger, method, line: dict) -> dict:
        second = int(self.clock())
        if second != self.second:
            held = {event: count - MOST_OF_ONE for event, count in self.counts.items() if count > MOST_OF_ONE}
            self.second, self.counts = second, {}
            if held:
                line["held_back"] = held
        event = line["event"]
        self.counts[event] = self.counts.get(event, 0) + 1
        if self.counts[event] > MOST_OF_ONE:
            raise structlog.DropEvent
        return line


# The environment variable that names the least level that is written, and its words. Nothing is logged as critical: `off` is off.
LEVEL_FROM = "CURLEWSHIFT_LOG_LEVEL"
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
    "off": logging.CRITICAL,
}


def level() -> int:
    """The lowest level that is logged, by the environment."""
    return LEVELS.get(os.environ.get(LEVEL_FROM, "info").lower(), logging.INFO)


def make_log(bounded: bool = False, **always):
    """A logger whose lines all bear `always`; `bounded` where anybody may cause lines."""
    return structlog.wrap_logger(
        Writer(sys.stderr.buffer),
        processors=[
            *([Held()] if bounded else []),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=lambda line, **_: msgspec.json.encode(line)),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level()),
        cache_logger_on_first_use=True,
    ).bind(**always)
