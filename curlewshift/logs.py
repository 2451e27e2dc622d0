"""Structured logs: one JSON line an event on standard error, by structlog."""

from __future__ import annotations

import sys

import msgspec
import structlog


def make_log(**always):
    """A logger whose lines all bear `always`. Lines are whole: each goes out in one write."""
    return structlog.wrap_logger(
        structlog.BytesLogger(sys.stderr.buffer),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=lambda line, **_: msgspec.json.encode(line)),
        ],
        cache_logger_on_first_use=True).bind(**always)
