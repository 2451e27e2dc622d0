"""Who comes in at the door, who waits, and who is told to come back later: before the rules hear of anyone. No I/O.

Called by the door for each request for a session; times are ns. A request counts by who it is: a holder of a permit by
that, whatever its address, and anyone else by the prefix that it comes from. It passes the buckets of its source, its
app's build and its package; then it needs a place. Places follow what the fleet answers in time (`Concurrency`); some are
kept for known clients, and lent to others while those are idle. Without a place it waits in its source's line, or is
refused with advice that is spread so that a crowd does not come back together, and longer for those who come too soon.
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
from curlewshift.limits.queue import Lines, Ticket

SECOND = 1_000_000_000
# The part of all places kept for known clients; it is lent out while none of them has come for so long.
KEPT_FOR_KNOWN = 0.25
IDLE_AFTER = 2 * SECOND
# Refusals and places given of late, over about this.
LATELY = 2 * SECOND
LEAST_ADVICE = SECOND // 4
# Who comes back before it was told to is told to stay away twice as long as before, up to this many times.
STRIKES = 4
MOST_STRUCK = 20_000


@dataclass(frozen=True, slots=True)
class Bounds:
    """From the settings: requests a second from one source, holder, build and for one package; 0 for no bound. `burst` is
    how many seconds' worth may come at once. `longest_wait` is the most that advice may say; `in_line` how long a request
    may wait for a place, so that two tune-ins fit into what is left of the join target."""

    source: float
    holder: float
    build: float
    package: float
    burst: float
    longest_wait: int
    in_line: int
    most: int


class Admission:
    """`tell(ticket)` is called once for a ticket that waited, when it is in or refused."""

    def __init__(self, bounds: Bounds, seed: int, now: int, tell: Callable[[Ticket], None]):
        self.bounds, self.rng, self.tell = bounds, Random(seed), tell
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
        self.concurrency = Concurrency(now, min(64.0, float(bounds.most)), min(8.0, float(bounds.most)), float(bounds.most))
        self.lines = Lines(bounds.in_line)
        self.in_work = self.known_in_work = 0
        self.known_at = now - IDLE_AFTER
        # refused and let in of late, and when that was brought up to date
        self.refusals = self.entries = 0.0
        self.lately_at = now
        # who was told to stay away until when, and how often it did not
        self.told: OrderedDict[str, list[int]] = OrderedDict()
        self.refused_by: dict[str, int] = {}

    # ---- what happens

    def asked(self, address: str, holder: str | None, build: str, package: str, now: int) -> Ticket:
        """A request; its ticket is in, waiting, or no when this returns."""
        known = holder is not None
        source = f"holder {holder}" if known else f"prefix {self.prefixes.source(address, now)}"
        ticket = Ticket(source, known, now)
        self.heavy.add(source, now)
        if known:
            self.known_at = now
        keys = [("holder" if known else "source", source), ("build", f"build {build}"), ("package", f"package {package}")]
        for name, key in keys:
            # a known client is not held back for others of its build
            buckets = self.buckets.get(name) if not (known and name == "build") else None
            wait = buckets.take(key, now) if buckets is not None else 0
            if wait:
                ticket.limit = key.partition(" ")[0]
                self._refuse(ticket, f"too many requests of {key}", now, wait)
                return ticket
        if self._place_for(known, now):
            self._enter(ticket, now)
        elif not self.lines.join(ticket):
            self._refuse(ticket, "too many requests wait here", now)
        return ticket

    def gave_up(self, ticket: Ticket, now: int) -> None:
        """Its client is gone. A place that it had is free; nothing is learned from how long it took."""
        if ticket.state == "waiting":
            self.lines.leave(ticket)
            ticket.state = "over"
        elif ticket.state == "in":
            self._out(ticket)
            self._go_on(now)

    def answered(self, ticket: Ticket, now: int, played: bool) -> None:
        """It has its answer. How long that took tells of the fleet only where a server was asked."""
        if ticket.state != "in":
            return
        if played:
            self.concurrency.answered(now - ticket.entered, self.in_work, now)
        self._out(ticket)
        self._go_on(now)

    def tick(self, now: int) -> None:
        """Now and then, several times a second: who has waited long enough is told so."""
        for ticket in self.lines.too_old(now):
            self._refuse(ticket, "no place came free in time", now)
            self.tell(ticket)
        self._go_on(now)

    def show(self, now: int) -> dict:
        """Who is held back, by which limit and since when (ns ago); plain data."""
        held = [
            {"limit": name, "who": key, "for_ns": now - since, "refused": count}
            for name, buckets in self.buckets.items()
            for key, since, count in buckets.refused(now)
        ]
        return {
            "in_work": self.in_work,
            "places": int(self.concurrency.limit),
            "waiting": len(self.lines),
            "held_back": sorted(held, key=lambda one: -one["refused"])[:100],
            "heaviest": [
                {"who": key, "count": round(count, 1), "error": round(error, 1)} for key, count, error in self.heavy.top(10)
            ],
            "refused": dict(self.refused_by),
        }

    # ---- inside

    def _place_for(self, known: bool, now: int) -> bool:
        places = int(self.concurrency.limit)
        if self.in_work >= places:
            return False
        if known:
            return True
        kept = int(places * KEPT_FOR_KNOWN) if now - self.known_at < IDLE_AFTER else 0
        return self.in_work - self.known_in_work < places - max(kept, self.known_in_work)

    def _enter(self, ticket: Ticket, now: int) -> None:
        ticket.state, ticket.entered = "in", now
        self.in_work += 1
        self.known_in_work += ticket.known
        self._lately(now)
        self.entries += 1

    def _out(self, ticket: Ticket) -> None:
        ticket.state = "over"
        self.in_work -= 1
        self.known_in_work -= ticket.known

    def _go_on(self, now: int) -> None:
        while len(self.lines):
            # the places that are kept go to known clients alone
            if self._place_for(False, now):
                ticket = self.lines.next(now)
            elif self._place_for(True, now):
                ticket = self.lines.next(now, only_known=True)
            else:
                return
            if ticket is None:
                return
            self._enter(ticket, now)
            self.tell(ticket)

    def _lately(self, now: int) -> None:
        fades = exp(-max(0, now - self.lately_at) / LATELY)
        self.refusals, self.entries, self.lately_at = self.refusals * fades, self.entries * fades, max(now, self.lately_at)

    def _refuse(self, ticket: Ticket, cause: str, now: int, least: int = 0) -> None:
        self._lately(now)
        self.refusals += 1
        ticket.state, ticket.cause = "no", cause
        ticket.wait = self._advice(ticket.source, now, least)
        kind = ticket.limit or "places"
        self.refused_by[kind] = self.refused_by.get(kind, 0) + 1

    def _advice(self, source: str, now: int, least: int) -> int:
        """Spread over as long as it takes to let in all who were refused of late, at the pace at which places come free."""
        pace = max(1.0, self.entries)
        spread = max(2 * LEAST_ADVICE, int(self.refusals / pace * LATELY))
        wait = max(least, LEAST_ADVICE) + int(self.rng.random() * spread)
        told = self.told.pop(source, None)
        strikes = 0
        if told is not None:
            strikes = min(STRIKES, told[1] + 1) if now < told[0] else max(0, told[1] - 1)
        wait = min(self.bounds.longest_wait, wait << strikes)
        self.told[source] = [now + wait, strikes]
        while len(self.told) > MOST_STRUCK:
            self.told.popitem(last=False)
        return wait
