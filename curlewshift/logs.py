"""Structured logs: one JSON line an event on standard error, by structlog, written by a thread of their own."""

from __future__ import annotations

import atexit
import sys
import threading
from queue import Empty, Full, Queue

import msgspec
import structlog

# Lines that wait for a slow reader or disk; what comes on top is counted and dropped, as answers must not wait.
MOST_WAITING = 20_000


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


def make_log(**always):
    """A logger whose lines all bear `always`."""
    return structlog.wrap_logger(
        Writer(sys.stderr.buffer),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=lambda line, **_: msgspec.json.encode(line)),
        ],
        cache_logger_on_first_use=True).bind(**always)
