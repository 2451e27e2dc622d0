"""A write-ahead log of paid set-ups: which of them may have run when the front restarts after a crash. No I/O.

A package paid at set-up must not be set up twice, not even if the front is killed between the tune-in (set-up attempt) and
its answer. So the intent is flushed to disk before the first byte of such a tune-in is sent. The record of its end follows
without a flush: a lost end makes a later answer more cautious than necessary, a lost intent could make it wrong.

After a restart, a set-up with an intent and without an end that proves that nothing ran may have run. A client that repeats
the request with its key gets that answer (failed) until its patience has certainly passed, and no tune-in is made for it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from curlewshift.model import Outcome
from curlewshift.rules import NEVER_RAN

if TYPE_CHECKING:
    from curlewshift.session_core.front_session import TuneIn

SECOND = 1_000_000_000
# How long (ns) an intent is kept after the client's patience has passed: a client may retry late, and clocks may differ slightly.
RETENTION = 30 * SECOND
BEGAN, ENDED = "began", "ended"
# The log is rewritten when it has more than this many records that no longer describe an open intent.
MAX_STALE_RECORDS = 2000


@dataclass(frozen=True, slots=True)
class Intent:
    """The paid request of one key. `protocol` is its protocol; `until` is when the client's patience ends (Unix time, ns)."""

    key: str
    offer: str
    protocol: str
    package: str
    title: str
    server: str
    until: int


def intent_of(tune_in: TuneIn, until: int) -> Intent | None:
    """The intent of this tune-in. None if a second set-up costs nothing, or if the request has no key under which it could be
    repeated. `until` is Unix time (ns)."""
    front_session, viewing = tune_in.front_session, tune_in.front_session.viewing
    if not viewing.package.paid_at_setup or front_session.held is None:
        return None
    return Intent(
        front_session.held.key,
        front_session.offer.identity,
        front_session.offer.protocol,
        viewing.package.name,
        viewing.title,
        tune_in.server.name,
        until,
    )


class Intents:
    """Open intents by key, and the records that describe them. `wall` is Unix time (ns), as it must have the same meaning after
    a restart."""

    def __init__(self):
        self.open: dict[str, Intent] = {}
        self.records = 0

    def began(self, intent: Intent) -> list[Any]:
        """Returns the record that has to be flushed to disk before the tune-in is sent."""
        self.open[intent.key] = intent
        self.records += 1
        return [BEGAN, intent.key, intent.offer, intent.protocol, intent.package, intent.title, intent.server, intent.until]

    def ended(self, key: str, outcome: Outcome) -> list[Any] | None:
        """Returns the record that the tune-in provably never ran. None for all other outcomes, which stay open until they
        expire."""
        if outcome not in NEVER_RAN or self.open.pop(key, None) is None:
            return None
        self.records += 1
        return [ENDED, key]

    def restore(self, records: list[list[Any]], wall: int) -> list[Intent]:
        """Applies the records of the log; returns the intents that may have run and whose clients may still retry."""
        for record in records:
            self.records += 1
            match record:
                case [str(kind), str(key), *rest] if kind == BEGAN and len(rest) == 6:
                    self.open[key] = Intent(key, *rest)
                case [str(kind), str(key)] if kind == ENDED:
                    self.open.pop(key, None)
                case _:
                    # possibly written by a later version: an unknown record does not close any intent
                    continue
        self.forget(wall)
        return list(self.open.values())

    def forget(self, wall: int) -> None:
        """Drops expired intents."""
        for intent in [intent for intent in self.open.values() if intent.until + RETENTION <= wall]:
            del self.open[intent.key]

    def stale(self) -> bool:
        return self.records - len(self.open) > MAX_STALE_RECORDS

    def snapshot(self) -> list[list[Any]]:
        """All open intents as records, with which the log is rewritten."""
        self.records = len(self.open)
        return [[BEGAN, *(getattr(intent, name) for name in Intent.__slots__)] for intent in self.open.values()]
