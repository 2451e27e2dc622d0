"""The JSON bodies that go over the wire: problems, layers, list, notes. Decoding checks them against their shape.

Problem details are RFC 9457; layer selection is the WHEP extension of that name; list and notes are our own,
versioned, and go as server-sent events. Field names on the wire are camel case.
"""

from __future__ import annotations

import msgspec

PROBLEM_TYPE = "application/problem+json"
# Where a refusal proves that nothing ran, it says so by this type; any other 503 proves nothing.
TURNED_AWAY = "urn:curlewshift:problem:turned-away"
VERSION = 1


class InvalidBody(Exception):
    """A body that is not what it should be; its text says where and what."""


class _Wire(msgspec.Struct, rename="camel"):
    pass


class Problem(_Wire, kw_only=True):
    type: str = "about:blank"
    title: str
    status: int
    detail: str = ""
    # the same advice as Retry-After, which has whole seconds only
    retry_after_ms: int | None = None


class LayerChoice(_Wire):
    """Layer selection: the rung is told as the encoding's id."""

    encoding_id: str
    media_id: str = "0"


class ListRow(_Wire):
    """One server. `startedMs` is Unix time, 0 for long ago; `link` is kB a second."""

    server: str
    state: str
    started_ms: int = 0
    zone: str = ""
    rack: str = ""
    link: float = 0.0
    streams: int = 0
    shelf: str = ""


class ListNews(_Wire):
    """Event `full` (`since` is not used) or `change` (follows on generation `since` of the same epoch)."""

    epoch: str
    generation: int
    servers: list[ListRow]
    since: int = -1
    version: int = VERSION


class Note(_Wire):
    """What a server tells a front: `hello` (its boot), `delivered` (share), `load` (link, uplink), `ended`."""

    boot: str = ""
    share: float = 1.0
    link: float | None = None
    uplink: float | None = None
    session: str = ""
    why: str = ""
    version: int = VERSION


class SessionRow(_Wire):
    """One session that a server plays: where it is, which life of which front asked for it, and on which rung it is.
    `viewing` is the mark that a paid set-up came with, and `answer` the server's answer to that."""

    session: str
    front: str
    rung: int
    viewing: str = ""
    etag: str = ""
    answer: str = ""


class SessionList(_Wire):
    """All that one server plays for all lives of one front."""

    boot: str
    sessions: list[SessionRow]
    version: int = VERSION


class SessionNames(_Wire):
    """Sessions of earlier lives: asked for by a front, and told by the server as its own from now on."""

    sessions: list[str]
    version: int = VERSION


def encode(body: msgspec.Struct) -> bytes:
    """A body as JSON."""
    return msgspec.json.encode(body)


def decode(raw: bytes | str, shape: type):
    """Raises `InvalidBody` in plain words."""
    try:
        return msgspec.json.decode(raw, type=shape)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidBody(f"the body is not a {shape.__name__}: {error}") from None
