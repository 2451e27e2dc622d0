"""Admission control: admits, queues or refuses each request for a session before the policy sees it. No I/O.

Called by the HTTP listener; times are ns. The source of a request is the holder of its permit, whatever the address, or
without a permit the address prefix that it comes from. A request first takes a token from the buckets of its source, its
app build and its package. Then it needs a place, that is one of the requests that may be in progress at once. The number
of places adapts to how quickly the media servers answer (`Concurrency`). A share of them is reserved for known clients
(those with a permit) and lent to others while no known client asks. A request without a place waits in the queue of its
source, or is refused with a retry time. Retry times are spread at random so that a crowd does not return all at once, and
they double for a source that returns too early.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from math import exp
from random import Random

from curlewshift.limits.buckets import Buckets
from curlewshift.limits.concurrency import Concurrency
from curlewshift.limits.heavy import HeavyHitters
from curlewshift.limits.prefixes import Prefixes
from curlewshift.limits.queue import SourceQueues, Ticket

SECOND = 1_000_000_000
# The share of all places reserved for known clients; it is lent to others once no known client has asked for
# `KNOWN_IDLE_AFTER`.
RESERVED_FOR_KNOWN = 0.25
KNOWN_IDLE_AFTER = 2 * SECOND
# Time constant (ns) of the decaying counts of recent refusals and admissions.
RECENT = 2 * SECOND
MIN_RETRY_AFTER = SECOND // 4
# The retry time of a source that returns too early doubles, up to this many times.
MAX_DOUBLINGS = 4
MAX_REFUSED_SOURCES = 20_000


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits from the settings.

    `source`, `holder`, `build` and `package` are requests per second for one key of that kind; 0 means no limit. `burst`
    is the bucket size, in seconds of that rate. `longest_wait` (ns) is the longest retry time that is sent. `queue_timeout` (ns)
    is how long a request may wait for a place; it leaves time for two tune-ins (set-up attempts) within the join
    target. `max_concurrency` is the maximum number of requests in progress.
    """

    source: float
    holder: float
    build: float
    package: float
    burst: float
    longest_wait: int
    queue_timeout: int
    max_concurrency: int


class Admission:
    """Decides on tickets; `notify(ticket)` is called once for a ticket that waited, when it is admitted or refused."""

    def __init__(self, bounds: AdmissionLimits, seed: int, now: int, notify: Callable[[Ticket], None]):
        self.bounds, self.rng, self.notify = bounds, Random(seed), notify
        self.buckets = {
            name: Buckets(rate, rate * bounds.burst, now)
            for name, rate in (
                ("source", bounds.source),
                ("holder", bounds.holder),
                ("build", bounds.build),
                ("package", bounds.package),
            )
            if rate > 0
        }
        self.prefixes = Prefixes(bounds.source or 10.0, now)
        self.heavy = HeavyHitters(now)
        self.concurrency = Concurrency(
            now, min(64.0, float(bounds.max_concurrency)), min(8.0, float(bounds.max_concurrency)), float(bounds.max_concurrency)
        )
        self.queues = SourceQueues(bounds.queue_timeout)
        self.in_progress = self.known_in_progress = 0
        self.known_last_seen_at = now - KNOWN_IDLE_AFTER
        # decaying counts of recent refusals and admissions, and when they were last updated
        self.refused_count = self.admitted_count = 0.0
        self.recent_at = now
        # by refused source: until when it was asked to stay away, and how often its retry time has been doubled
        self.retry_after: OrderedDict[str, list[int]] = OrderedDict()
        self.refused_by: dict[str, int] = {}

    # ---- events

    def request(self, address: str, holder: str | None, build: str, package: str, now: int) -> Ticket:
        """Decides on a new request. The state of the ticket returned is "in", "waiting" or "no"."""
        known = holder is not None
        source = f"holder {holder}" if known else f"prefix {self.prefixes.source(address, now)}"
        ticket = Ticket(source, known, now)
        self.heavy.add(source, now)
        if known:
            self.known_last_seen_at = now
        keys = [("holder" if known else "source", source), ("build", f"build {build}"), ("package", f"package {package}")]
        for name, key in keys:
            # other clients of the same build do not use up the tokens of a known client
            buckets = self.buckets.get(name) if not (known and name == "build") else None
            wait = buckets.take(key, now) if buckets is not None else 0
            if wait:
                ticket.limit = key.partition(" ")[0]
                self._refuse(ticket, f"too many requests of {key}", now, wait)
                return ticket
        if self._has_place(known, now):
            self._admit(ticket, now)
        elif not self.queues.join(ticket):
            self._refuse(ticket, "too many requests wait here", now)
        return ticket

    def disconnected(self, ticket: Ticket, now: int) -> None:
        """The client has disconnected. Frees its place; the time it took is no sample for the concurrency limit."""
        if ticket.state == "waiting":
            self.queues.leave(ticket)
            ticket.state = "over"
        elif ticket.state == "in":
            self._release(ticket)
            self._admit_waiting(now)

    def answered(self, ticket: Ticket, now: int, played: bool) -> None:
        """The request was answered. The time it took is a sample for the concurrency limit only where a media server was
        asked (`played`)."""
        if ticket.state != "in":
            return
        if played:
            self.concurrency.answered(now - ticket.admitted_at, self.in_progress, now)
        self._release(ticket)
        self._admit_waiting(now)

    def tick(self, now: int) -> None:
        """Refuses requests that have waited for too long. Call several times a second."""
        for ticket in self.queues.take_expired(now):
            self._refuse(ticket, "no place came free in time", now)
            self.notify(ticket)
        self._admit_waiting(now)

    def show(self, now: int) -> dict:
        """The present state as plain data: which sources are refused by which limit, and for how long (ns)."""
        limited = [
            {"limit": name, "who": key, "for_ns": now - since, "refused": count}
            for name, buckets in self.buckets.items()
            for key, since, count in buckets.refused(now)
        ]
        return {
            "in_work": self.in_progress,
            "places": int(self.concurrency.limit),
            "waiting": len(self.queues),
            "held_back": sorted(limited, key=lambda row: -row["refused"])[:100],
            "heaviest": [
                {"who": key, "count": round(count, 1), "error": round(error, 1)} for key, count, error in self.heavy.top(10)
            ],
            "refused": dict(self.refused_by),
        }

    # ---- internals

    def _has_place(self, known: bool, now: int) -> bool:
        places = int(self.concurrency.limit)
        if self.in_progress >= places:
            return False
        if known:
            return True
        reserved = int(places * RESERVED_FOR_KNOWN) if now - self.known_last_seen_at < KNOWN_IDLE_AFTER else 0
        return self.in_progress - self.known_in_progress < places - max(reserved, self.known_in_progress)

    def _admit(self, ticket: Ticket, now: int) -> None:
        ticket.state, ticket.admitted_at = "in", now
        self.in_progress += 1
        self.known_in_progress += ticket.known
        self._decay_recent(now)
        self.admitted_count += 1

    def _release(self, ticket: Ticket) -> None:
        ticket.state = "over"
        self.in_progress -= 1
        self.known_in_progress -= ticket.known

    def _admit_waiting(self, now: int) -> None:
        while len(self.queues):
            # reserved places go to known clients only
            if self._has_place(False, now):
                ticket = self.queues.next(now)
            elif self._has_place(True, now):
                ticket = self.queues.next(now, only_known=True)
            else:
                return
            if ticket is None:
                return
            self._admit(ticket, now)
            self.notify(ticket)

    def _decay_recent(self, now: int) -> None:
        decay = exp(-max(0, now - self.recent_at) / RECENT)
        self.refused_count, self.admitted_count, self.recent_at = (
            self.refused_count * decay,
            self.admitted_count * decay,
            max(now, self.recent_at),
        )

    def _refuse(self, ticket: Ticket, cause: str, now: int, min_wait: int = 0) -> None:
        self._decay_recent(now)
        self.refused_count += 1
        ticket.state, ticket.cause = "no", cause
        ticket.wait = self._retry_after(ticket.source, now, min_wait)
        limit_name = ticket.limit or "places"
        self.refused_by[limit_name] = self.refused_by.get(limit_name, 0) + 1

    def _retry_after(self, source: str, now: int, min_wait: int) -> int:
        """A random retry time (ns). It is spread over the time needed to admit all recently refused requests at the recent
        rate of admissions."""
        pace = max(1.0, self.admitted_count)
        spread = max(2 * MIN_RETRY_AFTER, int(self.refused_count / pace * RECENT))
        wait = max(min_wait, MIN_RETRY_AFTER) + int(self.rng.random() * spread)
        previous = self.retry_after.pop(source, None)
        doublings = 0
        if previous is not None:
            doublings = min(MAX_DOUBLINGS, previous[1] + 1) if now < previous[0] else max(0, previous[1] - 1)
        wait = min(self.bounds.longest_wait, wait << doublings)
        self.retry_after[source] = [now + wait, doublings]
        while len(self.retry_after) > MAX_REFUSED_SOURCES:
            self.retry_after.popitem(last=False)
        return wait
