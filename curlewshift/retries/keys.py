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

# Kept answers; beyond this the ones that would be forgotten first are forgotten now.
MOST_ENDED = 20_000
# Ended keys are forgotten together in spans of this (ns). A timing wheel of single entries was measured too, and cost
# twice as much a key: nothing here needs its order within a span.
SPAN = 250_000_000


class Held:
    """One key. `mark` tells what was asked under it, `front_session` what came of that; `until` is 0 while in work."""

    __slots__ = ("front_session", "key", "mark", "until")

    def __init__(self, key: str, mark: Any, front_session: Any):
        self.key, self.mark, self.front_session, self.until = key, mark, front_session, 0


class KeyTable:
    """Times are ns of the caller's clock. Each operation costs the same whatever is held: an ended key is put into the
    bucket of its span, and a bucket is emptied once, when its span has passed."""

    def __init__(self, now: int, most_ended: int = MOST_ENDED):
        self.held: dict[str, Held] = {}
        self.buckets: dict[int, list[str]] = {}
        self.next_span = now // SPAN
        self.ended_count, self.most_ended = 0, most_ended

    def __len__(self) -> int:
        return len(self.held)

    def find(self, key: str, now: int) -> Held | None:
        """Who holds this key. What is past its time is forgotten on the way."""
        if now // SPAN > self.next_span:
            self._turn(now // SPAN)
        held = self.held.get(key)
        # buckets are late by up to their span: the time itself decides
        if held is not None and 0 < held.until <= now:
            self._drop(held)
            return None
        return held

    def hold(self, key: str, mark: Any, front_session: Any) -> Held:
        """From now until `ended` or `forget`. The key must be free."""
        assert key not in self.held, "a key is held once"
        held = self.held[key] = Held(key, mark, front_session)
        return held

    def ended(self, held: Held, until: int) -> None:
        """What was asked has its answer for good; that is told again until then."""
        if self.held.get(held.key) is not held or held.until:
            return
        held.until = max(1, until)
        self.buckets.setdefault(max(until // SPAN, self.next_span), []).append(held.key)
        self.ended_count += 1
        while self.ended_count > self.most_ended:
            self._empty(min(self.buckets))

    def forget(self, held: Held) -> None:
        """Nothing came of it, and nothing can have run: the key is free."""
        if self.held.get(held.key) is held:
            self._drop(held)

    def _turn(self, span: int) -> None:
        """All spans before this one are over; after a long rest there may be more spans than buckets."""
        if span - self.next_span > len(self.buckets):
            over = sorted(past for past in self.buckets if past < span)
        else:
            over = [past for past in range(self.next_span, span) if past in self.buckets]
        self.next_span = span
        for past in over:
            self._empty(past)

    def _empty(self, bucket: int) -> None:
        """Forgets the ended keys of a bucket. One that was used anew since belongs to another bucket, or to none."""
        for key in self.buckets.pop(bucket):
            held = self.held.get(key)
            if held is not None and held.until and held.until // SPAN <= bucket:
                self._drop(held)

    def _drop(self, held: Held) -> None:
        del self.held[held.key]
        self.ended_count -= held.until > 0
