"""Idempotency keys of client requests: a repeated request never makes another tune-in (set-up attempt at a media server).

Called by the session core. The client sends the key (Idempotency-Key, an IETF httpapi draft), or it is derived from the
offer: its ICE credentials and fingerprint stay the same when a request is repeated and differ in a new request. An entry
is kept while its viewing is being set up or plays, and after that until the client's patience has passed; then the key may
be used for a new request. Entries in progress are never dropped; of the ended ones a limited number is kept, and those
that expire first are dropped first.

Guarantee: of all requests with one key at one front (one process of this program), at most one makes tune-ins, and all get
its answer. Fronts do not share keys, so there is no guarantee across fronts: a client that has sent a paid request to one
front must not send it to another one without an answer that says it never ran (refused).
"""

from __future__ import annotations

from typing import Any

# Maximum number of ended entries; beyond it those that expire first are dropped.
MAX_ENDED = 20_000
# Ended keys expire together in spans of this length (ns). A timing wheel with one entry per key costs twice as much for
# each key, and the order of expiry within a span does not matter here.
EXPIRY_SPAN = 250_000_000


class KeyEntry:
    """One key. `request_identity` identifies the request made under it and `front_session` its session; `until` is the
    expiry time, 0 while the request is in progress."""

    __slots__ = ("front_session", "key", "request_identity", "until")

    def __init__(self, key: str, request_identity: Any, front_session: Any):
        self.key, self.request_identity, self.front_session, self.until = key, request_identity, front_session, 0


class KeyTable:
    """Entries by key; times are ns of the caller's clock. The cost of an operation does not depend on the number of
    entries: an ended key goes into the bucket of its time span, and each bucket is emptied once, when its span has passed."""

    def __init__(self, now: int, most_ended: int = MAX_ENDED):
        self.entries: dict[str, KeyEntry] = {}
        self.buckets: dict[int, list[str]] = {}
        self.next_span = now // EXPIRY_SPAN
        self.ended_count, self.most_ended = 0, most_ended

    def __len__(self) -> int:
        return len(self.entries)

    def find(self, key: str, now: int) -> KeyEntry | None:
        """The entry of this key, if there is one. Also drops expired entries."""
        if now // EXPIRY_SPAN > self.next_span:
            self._expire_until(now // EXPIRY_SPAN)
        entry = self.entries.get(key)
        # buckets are emptied up to one span late, so the entry's own time decides
        if entry is not None and 0 < entry.until <= now:
            self._remove(entry)
            return None
        return entry

    def add(self, key: str, request_identity: Any, front_session: Any) -> KeyEntry:
        """Adds an entry in progress, which is kept until `ended` or `forget`. The key must be free."""
        assert key not in self.entries, "the key is already in use"
        entry = self.entries[key] = KeyEntry(key, request_identity, front_session)
        return entry

    def ended(self, entry: KeyEntry, until: int) -> None:
        """The request has its final answer, which is repeated to requests with this key until the time `until`."""
        if self.entries.get(entry.key) is not entry or entry.until:
            return
        entry.until = max(1, until)
        self.buckets.setdefault(max(until // EXPIRY_SPAN, self.next_span), []).append(entry.key)
        self.ended_count += 1
        while self.ended_count > self.most_ended:
            self._empty_bucket(min(self.buckets))

    def forget(self, entry: KeyEntry) -> None:
        """Frees the key: the request failed and nothing can have run at a media server."""
        if self.entries.get(entry.key) is entry:
            self._remove(entry)

    def _expire_until(self, span: int) -> None:
        """Empties the buckets of all spans before this one. Iterates over the buckets or the spans, whichever are fewer:
        after a long time without calls there are more spans than buckets."""
        if span - self.next_span > len(self.buckets):
            passed = sorted(passed_span for passed_span in self.buckets if passed_span < span)
        else:
            passed = [passed_span for passed_span in range(self.next_span, span) if passed_span in self.buckets]
        self.next_span = span
        for passed_span in passed:
            self._empty_bucket(passed_span)

    def _empty_bucket(self, bucket: int) -> None:
        """Drops the ended keys of a bucket. A key that has been reused since belongs to another bucket, or to none."""
        for key in self.buckets.pop(bucket):
            entry = self.entries.get(key)
            if entry is not None and entry.until and entry.until // EXPIRY_SPAN <= bucket:
                self._remove(entry)

    def _remove(self, entry: KeyEntry) -> None:
        del self.entries[entry.key]
        self.ended_count -= entry.until > 0
