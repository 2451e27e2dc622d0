"""Requests of viewers: the fields of a set-up and of a TEARDOWN, checked; status codes of answers. No I/O and no clock."""

from __future__ import annotations

import re
from dataclasses import dataclass

from curlewshift.node import rtsp

MS = 1_000_000
# Subtracted from a viewer's deadline for the transmission of the answer, which would otherwise arrive too late (ns).
ANSWER_TRANSIT_NS = 10 * MS

SESSION = re.compile(r"[0-9a-f]{16}")
TITLE = re.compile(r"rtsp://media/([0-9a-f]{16})")
WAIT_MS = re.compile(r"[0-9]{1,9}")
NUMBER = re.compile(r"[0-9]{1,15}(?:\.[0-9]{1,9})?")
CAUSE = re.compile(r"(?:.*;)? *cause=([0-9]{1,3})")
SERVER_NAME = re.compile(r"s-[0-9a-f]{8}")
MAX_DESCRIPTION_BYTES = 8 * 1024
MAX_CAUSE = 127
# Status codes. A client may safely retry after 453 and 503, and not after the others.
STATUS_NO_ROOM, STATUS_DRAINING, STATUS_FAILED, STATUS_BAD_REQUEST = 453, 503, 500, 400


class RequestError(Exception):
    """A request is invalid. `status` is the status code of the answer; `named` whether that carries the session id."""

    def __init__(self, reason: str, status: int = STATUS_BAD_REQUEST, named: bool = True):
        super().__init__(reason)
        self.status, self.named = status, named


@dataclass(frozen=True, slots=True)
class SetUpBounds:
    """Bounds of the values in a set-up: the number of cells in the settings, and the highest rung."""

    cells: int
    top: int


@dataclass(frozen=True, slots=True)
class SetUp:
    """A viewer's set-up. Times are nanoseconds; `timeout` is how long the viewer waits, less the transmission of the answer.

    `base` and `span` select the servers that have the title. `at` names the server of a session that is handed over.
    """

    name: str
    package: str
    title: str
    base: int
    span: int
    top: int
    placement_hash: int
    expected: int
    came_back: bool
    timeout: int
    arrived_at: int
    description: bytes
    at: str | None = None


def parse_set_up(name: str, message: rtsp.Message, now: int, bounds: SetUpBounds) -> SetUp:
    """Checks the fields of a set-up that arrives now. Raises `RequestError`."""
    fields = message.fields
    title = TITLE.fullmatch(message.address)
    if not title:
        raise RequestError("the request URL names no title", 404)
    legs = _parse_legs(fields.get("x-legs", ""))
    base = _integer(legs, "home", bounds.cells - 1)
    span = _integer(legs, "copies", bounds.cells)
    top = _integer(legs, "top", bounds.top)
    viewer = legs.get("viewer", "")
    wait, hint = fields.get("x-timer-ms", ""), fields.get("x-length")
    if span < 1 or not SESSION.fullmatch(viewer):
        raise RequestError("X-Legs: invalid 'copies' or 'viewer'")
    if not WAIT_MS.fullmatch(wait) or int(wait) == 0:
        raise RequestError("missing or invalid X-Timer-Ms")
    if hint is not None and not NUMBER.fullmatch(hint):
        raise RequestError("invalid X-Length")
    if not 0 < len(message.body) <= MAX_DESCRIPTION_BYTES:
        raise RequestError("the session description is empty or too long")
    return SetUp(
        name=name,
        package=fields.get("x-cos", ""),
        title=title[1],
        base=base,
        span=span,
        top=top,
        placement_hash=int(viewer, 16),
        expected=round(float(hint) * MS) if hint is not None else 0,
        came_back="again" in legs,
        timeout=max(MS, int(wait) * MS - ANSWER_TRANSIT_NS),
        arrived_at=now,
        description=message.body,
        at=legs.get("at"),
    )


def cause_of(message: rtsp.Message) -> int:
    """The cause code of a TEARDOWN, 0 if it has none."""
    found = CAUSE.fullmatch(message.fields.get("reason", ""))
    return min(int(found[1]), MAX_CAUSE) if found else 0


def _parse_legs(text: str) -> dict[str, str]:
    """Parses the X-Legs field, `name:value` pairs separated by semicolons. Raises `RequestError`."""
    legs = {}
    for part in text.split(";"):
        name, colon, value = part.strip().partition(":")
        if not colon or name in legs:
            raise RequestError("malformed X-Legs")
        legs[name] = value
    return legs


def _integer(legs: dict[str, str], name: str, maximum: int) -> int:
    """Returns an integer value of X-Legs. Raises `RequestError`."""
    value = legs.get(name, "")
    if not value.isdigit() or len(value) > 6 or int(value) > maximum:
        raise RequestError(f"X-Legs: '{name}' is not an integer from 0 to {maximum}")
    return int(value)
