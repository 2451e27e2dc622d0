"""Paid set-ups that may have run: what has to be known after a kill, and what is answered then. No I/O.

A package paid at set-up must not be set up twice, not even if the front is killed between the tune-in and its answer.
So before the first byte of such a tune-in goes out, its intent is on the disk; once its end is known, that follows,
unflushed: a lost end makes an answer more careful than it need be, a lost intent could make it wrong.

After a start, what has an intent and no end that proves that nothing ran may have run. Whoever comes again with its key
is told so (failed) until the client's patience has surely passed, and no tune-in goes out for it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from curlewshift.model import Outcome
from curlewshift.rules import NEVER_RAN

if TYPE_CHECKING:
    from curlewshift.session_core.front_session import TuneIn

SECOND = 1_000_000_000
# Kept for so long past its patience: a client may come again late, and clocks may differ a little.
KEPT_ON = 30 * SECOND
BEGAN, ENDED = "began", "ended"
# After so many records that tell of nothing open any more, the log is written anew.
STALE = 2000


@dataclass(frozen=True, slots=True)
class Intent:
    """One key's paid request: what it was for, and until when (Unix ns) its client may ask again."""

    key: str
    offer: str
    way: str
    package: str
    title: str
    server: str
    until: int


def intent_of(tune_in: TuneIn, until: int) -> Intent | None:
    """What has to be known after a kill of this tune-in; None if it costs nothing to set it up again, or nobody can ask
    for it again. `until` is Unix ns."""
    front_session, viewing = tune_in.front_session, tune_in.front_session.viewing
    if not viewing.package.paid_at_setup or front_session.held is None:
        return None
    return Intent(
        front_session.held.key,
        front_session.offer.identity,
        front_session.offer.way,
        viewing.package.name,
        viewing.title,
        tune_in.server.name,
        until,
    )


class Intents:
    """`wall` is Unix time in ns everywhere, as it has to mean the same after a restart."""

    def __init__(self):
        self.open: dict[str, Intent] = {}
        self.records = 0

    def began(self, intent: Intent) -> list[Any]:
        """The record that has to be on the disk before the tune-in goes out."""
        self.open[intent.key] = intent
        self.records += 1
        return [BEGAN, intent.key, intent.offer, intent.way, intent.package, intent.title, intent.server, intent.until]

    def ended(self, key: str, outcome: Outcome) -> list[Any] | None:
        """The record that the tune-in provably never ran, or None: all else stays open until its time has passed."""
        if outcome not in NEVER_RAN or self.open.pop(key, None) is None:
            return None
        self.records += 1
        return [ENDED, key]

    def restore(self, records: list[list[Any]], wall: int) -> list[Intent]:
        """Takes in what the log has; returns those that may have run and may still be asked for."""
        for record in records:
            self.records += 1
            match record:
                case [str(kind), str(key), *rest] if kind == BEGAN and len(rest) == 6:
                    self.open[key] = Intent(key, *rest)
                case [str(kind), str(key)] if kind == ENDED:
                    self.open.pop(key, None)
                case _:
                    # written by a later version, perhaps: what it means is not known, so nothing is taken back by it
                    continue
        self.forget(wall)
        return list(self.open.values())

    def forget(self, wall: int) -> None:
        """Drops what nobody will ask for any more."""
        for intent in [intent for intent in self.open.values() if intent.until + KEPT_ON <= wall]:
            del self.open[intent.key]

    def stale(self) -> bool:
        return self.records - len(self.open) > STALE

    def anew(self) -> list[list[Any]]:
        """All that is open, as the records of a log that begins again."""
        self.records = len(self.open)
        return [[BEGAN, *(getattr(intent, name) for name in Intent.__slots__)] for intent in self.open.values()]
