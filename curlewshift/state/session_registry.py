"""What plays, as it has to be known after a kill. No I/O.

A record is written for each session once its viewer has its address, and for what changes of it after that; the log is
begun anew from time to time with all that plays then, which is its snapshot. Nothing here is flushed: a kill loses
nothing that was written, and what a power cut loses (the last seconds) is found at the servers as sessions that nobody
knows, and is torn down. What is written twice or out of order does no harm.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, fields, replace
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from curlewshift.session_core.front_session import FrontSession

BEGAN, CHANGED, ENDED, BOOT = "session", "changed", "over", "boot"
# The log is begun anew once it has so many records, and this many times as many as there are sessions in it.
MANY, TIMES = 2000, 3


@dataclass(frozen=True, slots=True)
class StoredSession:
    """One session. `token` is its address at the door and `holder` who may use it; `key` is its client's, and `offer`
    the identity of what was offered under it. `path`, `etag` and `ufrag` are the server's words, `answer` its answer
    for the viewer."""

    token: str
    holder: str | None
    key: str | None
    offer: str
    way: str
    package: str
    title: str
    ceiling: int
    rung: int
    server: str
    path: str
    etag: str
    ufrag: str
    answer: str


MAY_CHANGE = ("ceiling", "rung", "etag", "ufrag")
_LENGTH = len(fields(StoredSession))


def remembered(
    front_session: FrontSession, token: str, holder: str | None, path: str, etag: str = "", ufrag: str = "", answer: str = ""
) -> StoredSession:
    """A viewing that plays, as it has to be known after a kill."""
    viewing, offer = front_session.viewing, front_session.offer
    return StoredSession(
        token,
        holder,
        front_session.held.key if front_session.held is not None else None,
        offer.identity if offer else "",
        offer.way if offer else "",
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
    def __init__(self):
        self.open: dict[str, StoredSession] = {}
        # which life of each server was spoken to last: another one has nothing of what played there
        self.boots: dict[str, str] = {}
        self.records = 0

    def began(self, session: StoredSession) -> list[Any]:
        self.open[session.token] = session
        return self._record([BEGAN, *astuple(session)])

    def changed(self, token: str, what: str, value: object) -> list[Any] | None:
        """One of `MAY_CHANGE` has another value."""
        held = self.open.get(token)
        if held is None or getattr(held, what) == value:
            return None
        self.open[token] = replace(held, **{what: value})
        return self._record([CHANGED, token, what, value])

    def ended(self, token: str) -> list[Any] | None:
        return self._record([ENDED, token]) if self.open.pop(token, None) is not None else None

    def boot(self, server: str, boot: str) -> list[Any] | None:
        if self.boots.get(server) == boot:
            return None
        self.boots[server] = boot
        return self._record([BOOT, server, boot])

    def restore(self, records: list[list[Any]]) -> None:
        """Takes in what the log has; what it cannot read says nothing."""
        for record in records:
            self.records += 1
            match record:
                case [str(kind), *facts] if kind == BEGAN and len(facts) == _LENGTH:
                    self.open[facts[0]] = StoredSession(*facts)
                case [str(kind), str(token), str(what), value] if kind == CHANGED and what in MAY_CHANGE:
                    if token in self.open:
                        self.open[token] = replace(self.open[token], **{what: value})
                case [str(kind), str(token)] if kind == ENDED:
                    self.open.pop(token, None)
                case [str(kind), str(server), str(boot)] if kind == BOOT:
                    self.boots[server] = boot
                case _:
                    continue

    def stale(self) -> bool:
        return self.records > MANY and self.records > TIMES * (len(self.open) + len(self.boots))

    def snapshot(self) -> list[list[Any]]:
        """All that is open, as the records of a log that begins again."""
        self.records = len(self.open) + len(self.boots)
        return [[BOOT, server, boot] for server, boot in self.boots.items()] + [
            [BEGAN, *astuple(session)] for session in self.open.values()
        ]

    def _record(self, record: list[Any]) -> list[Any]:
        self.records += 1
        return record
