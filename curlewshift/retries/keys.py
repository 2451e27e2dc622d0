"""The keys under which clients ask, so that asking again never asks a server again.

Called by the desk. A key is what the client chose (Idempotency-Key, an IETF httpapi draft) or, without one, what its
offer makes it: its ICE credentials and fingerprint are the same when the same request is sent again and new in a new
one. An entry lives while its viewing is in work or plays, and after that until the client's patience has passed; then
the key may be used anew. What is in work is never dropped; of the rest only so many are kept, those due first going first.

What that promises: of all requests with one key at one front, at most one makes tune-ins, and all get its answer.
Fronts share nothing, so nothing is promised for one that goes to another front: a client that has sent a paid request to
one front must not send it to another without an answer that says it never ran (refused).
"""

from __future__ import annotations

from typing import Any

from curlewshift.schedule.wheel import Entry, Wheel

# Kept answers; beyond this the ones that would be forgotten first are forgotten now.
MOST_ENDED = 20_000
TICK = 250_000_000


class Held:
    """One key. `mark` tells what was asked under it, `course` what came of that."""

    __slots__ = ("key", "mark", "course", "entry")

    def __init__(self, key: str, mark: Any, course: Any):
        self.key, self.mark, self.course, self.entry = key, mark, course, None


class KeyTable:
    """Times are ns of the caller's clock."""

    def __init__(self, now: int, most_ended: int = MOST_ENDED):
        self.held: dict[str, Held] = {}
        self.wheel = Wheel(now, TICK)
        self.most_ended = most_ended

    def __len__(self) -> int:
        return len(self.held)

    def find(self, key: str, now: int) -> Held | None:
        """Who holds this key. What is past its time is forgotten on the way, a few at a time."""
        self._turn(now)
        held = self.held.get(key)
        # the wheel tells late by up to its tick: the time itself decides
        if held is not None and held.entry is not None and held.entry.at <= now:
            self._forget(held)
            return None
        return held

    def hold(self, key: str, mark: Any, course: Any) -> Held:
        """From now until `ended` or `forget`. The key must be free."""
        assert key not in self.held, "a key is held once"
        held = self.held[key] = Held(key, mark, course)
        return held

    def ended(self, held: Held, until: int) -> None:
        """What was asked has its answer for good; that is told again until then."""
        if self.held.get(held.key) is not held or held.entry is not None:
            return
        held.entry = self.wheel.add(until, held)
        while len(self.wheel) > self.most_ended:
            self._forget_first()

    def forget(self, held: Held) -> None:
        """Nothing came of it, and nothing can have run: the key is free."""
        if self.held.get(held.key) is held:
            self._forget(held)

    def _turn(self, now: int) -> None:
        for held in self.wheel.due(now):
            if self.held.get(held.key) is held:
                del self.held[held.key]

    def _forget(self, held: Held) -> None:
        entry: Entry | None = held.entry
        if entry is not None:
            self.wheel.cancel(entry)
        del self.held[held.key]

    def _forget_first(self) -> None:
        """The wheel is asked for a time by which something is due, and gives up the first of that."""
        at = self.wheel.next_due()
        for held in self.wheel.due(at):
            if self.held.get(held.key) is held:
                del self.held[held.key]
