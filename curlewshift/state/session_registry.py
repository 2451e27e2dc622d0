"""The sessions that play, as records for a restart after a crash. No I/O.

A record is written for each session once its viewer (client) has its address, and for each later change of it. From time to
time the log is rewritten with a snapshot of all sessions that play. Records are not flushed: a killed process loses nothing
that was written. What a power cut loses (the last seconds) is found at the media servers as sessions unknown to the front,
and is torn down. Records that are written twice or out of order do no harm.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, fields, replace
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from curlewshift.session_core.front_session import FrontSession

BEGAN, CHANGED, ENDED, BOOT = "session", "changed", "over", "boot"
# The log is rewritten once it has more than this many records, and more than so many for each session and server in it.
MIN_RECORDS_TO_COMPACT, MAX_RECORDS_PER_ENTRY = 2000, 3


@dataclass(frozen=True, slots=True)
class StoredSession:
    """One session. `token` is its address at the front's HTTP listener and `holder` the holder of the permit for it; `key` is
    the client's idempotency key and `offer` the identity of the offer made under it; `protocol` is the protocol. `path`, `etag`
    and `ufrag` come from the media server, `answer` is its answer to the viewer."""

    token: str
    holder: str | None
    key: str | None
    offer: str
    protocol: str
    package: str
    title: str
    ceiling: int
    rung: int
    server: str
    path: str
    etag: str
    ufrag: str
    answer: str


MUTABLE_FIELDS = ("ceiling", "rung", "etag", "ufrag")
_FIELD_COUNT = len(fields(StoredSession))


def to_stored_session(
    front_session: FrontSession, token: str, holder: str | None, path: str, etag: str = "", ufrag: str = "", answer: str = ""
) -> StoredSession:
    """The stored form of a viewing that plays."""
    viewing, offer = front_session.viewing, front_session.offer
    return StoredSession(
        token,
        holder,
        front_session.held.key if front_session.held is not None else None,
        offer.identity if offer else "",
        offer.protocol if offer else "",
        viewing.package.name,
        viewing.title,
        viewing.ceiling,
        viewing.rung,
        viewing.server.name,
        path,
        etag,
        ufrag,
        answer,
    )


class SessionRegistry:
    """Open sessions by token. Methods that record an event return the record to be written, None if nothing changed."""

    def __init__(self):
        self.open: dict[str, StoredSession] = {}
        # by server: its last known boot (process run); after a restart it has none of the sessions that played there
        self.boots: dict[str, str] = {}
        self.records = 0

    def began(self, session: StoredSession) -> list[Any]:
        self.open[session.token] = session
        return self._record([BEGAN, *astuple(session)])

    def changed(self, token: str, field_name: str, value: object) -> list[Any] | None:
        """One of `MUTABLE_FIELDS` has a new value."""
        stored = self.open.get(token)
        if stored is None or getattr(stored, field_name) == value:
            return None
        self.open[token] = replace(stored, **{field_name: value})
        return self._record([CHANGED, token, field_name, value])

    def ended(self, token: str) -> list[Any] | None:
        return self._record([ENDED, token]) if self.open.pop(token, None) is not None else None

    def boot(self, server: str, boot: str) -> list[Any] | None:
        if self.boots.get(server) == boot:
            return None
        self.boots[server] = boot
        return self._record([BOOT, server, boot])

    def restore(self, records: list[list[Any]]) -> None:
        """Applies the records of the log; unknown records are ignored."""
        for record in records:
            self.records += 1
            match record:
                case [str(kind), *values] if kind == BEGAN and len(values) == _FIELD_COUNT:
                    self.open[values[0]] = StoredSession(*values)
                case [str(kind), str(token), str(field_name), value] if kind == CHANGED and field_name in MUTABLE_FIELDS:
                    if token in self.open:
                        self.open[token] = replace(self.open[token], **{field_name: value})
                case [str(kind), str(token)] if kind == ENDED:
                    self.open.pop(token, None)
                case [str(kind), str(server), str(boot)] if kind == BOOT:
                    self.boots[server] = boot
                case _:
                    continue

    def stale(self) -> bool:
        return self.records > MIN_RECORDS_TO_COMPACT and self.records > MAX_RECORDS_PER_ENTRY * (len(self.open) + len(self.boots))

    def snapshot(self) -> list[list[Any]]:
        """All open sessions and boots as records, with which the log is rewritten."""
        self.records = len(self.open) + len(self.boots)
        return [[BOOT, server, boot] for server, boot in self.boots.items()] + [
            [BEGAN, *astuple(session)] for session in self.open.values()
        ]

    def _record(self, record: list[Any]) -> list[Any]:
        self.records += 1
        return record
