"""The JSON bodies of HTTP messages: problem details, layer selection, server list updates, server notes and session lists.

Decoding validates each body against its type. Problem details follow RFC 9457, layer selection is the WHEP extension of that
name. The list and the notes are formats of this project: they carry a version and travel as server-sent events. Field names on
the wire are camel case.
"""

from __future__ import annotations

import msgspec

PROBLEM_TYPE = "application/problem+json"
# Problem type of a refusal which guarantees that the request was not executed. A 503 of any other type guarantees nothing.
TURNED_AWAY = "urn:curlewshift:problem:turned-away"
VERSION = 1


class InvalidBody(Exception):
    """A body that does not match its type; the text names the field and the fault."""


class _CamelCaseBody(msgspec.Struct, rename="camel"):
    pass


class Problem(_CamelCaseBody, kw_only=True):
    type: str = "about:blank"
    title: str
    status: int
    detail: str = ""
    # the same delay as Retry-After, which has a resolution of one second only
    retry_after_ms: int | None = None


class LayerChoice(_CamelCaseBody):
    """Layer selection (WHEP extension): `encoding_id` is the rung."""

    encoding_id: str
    media_id: str = "0"


class ListRow(_CamelCaseBody):
    """One media server of the list. `startedMs` is Unix time in ms, 0 if long ago; `link` is its capacity in kB/s."""

    server: str
    state: str
    started_ms: int = 0
    zone: str = ""
    rack: str = ""
    link: float = 0.0
    streams: int = 0
    shelf: str = ""


class ListNews(_CamelCaseBody):
    """An update of the server list: event `full` (replaces the list, `since` is not used) or `change` (applies to generation
    `since` of the same epoch)."""

    epoch: str
    generation: int
    servers: list[ListRow]
    since: int = -1
    version: int = VERSION


class Note(_CamelCaseBody):
    """A notification from a media server to a front: `hello` (`boot`, the number of its process run), `delivered` (`share` of the
    requested rate), `load` (use of `link` and `uplink`) or `ended` (`session`, `why`)."""

    boot: str = ""
    share: float = 1.0
    link: float | None = None
    uplink: float | None = None
    session: str = ""
    why: str = ""
    version: int = VERSION


class SessionRow(_CamelCaseBody):
    """One session that a server plays: its path, the front and the life (numbered run of that process) that requested it, and
    its rung. `viewing` is the hash of the idempotency key that a paid set-up carried, `answer` the server's answer to
    that set-up."""

    session: str
    front: str
    rung: int
    viewing: str = ""
    etag: str = ""
    answer: str = ""


class SessionList(_CamelCaseBody):
    """All sessions that one server plays for any life of one front."""

    boot: str
    sessions: list[SessionRow]
    version: int = VERSION


class SessionNames(_CamelCaseBody):
    """Sessions of earlier lives that a front asks to take over; in the answer, those that the server has assigned to it."""

    sessions: list[str]
    version: int = VERSION


def encode(body: msgspec.Struct) -> bytes:
    """Encodes a body as JSON."""
    return msgspec.json.encode(body)


def decode(raw: bytes | str, shape: type):
    """Decodes and validates a JSON body of type `shape`. Raises `InvalidBody`."""
    try:
        return msgspec.json.decode(raw, type=shape)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidBody(f"the body is not a {shape.__name__}: {error}") from None
