"""Parameters of configuration distribution at a site, and the reasons for their values (see also docs/distribution.md)."""

from __future__ import annotations

from dataclasses import dataclass

NS = 1_000_000_000
MS = 1_000_000


@dataclass(slots=True, frozen=True)
class DistributionTerms:
    """Times in ns. `stores` are the names of the control machines; `give_bytes` limits the content a node sends (bytes/s), in
    addition to the channel's own limit."""

    stores: tuple[str, ...]
    give_bytes: int = 1536
    # burst of an idle provider (bytes): two full contents of a site with 630 fronts, so that one holder quickly becomes three.
    # Over the 18 s in which a change must be in force, burst and rate together amount to 3.4 KB/s.
    give_burst: int = 33 * 1024
    # control machines, which are dedicated to this, send at a higher rate and to more requesters at once
    store_give_bytes: int = 32 * 1024
    # requesters that were sent pieces of a content within the last second, at a node and at a store; others are told to retry
    max_requesters: int = 2
    store_max_requesters: int = 6
    # busy replies a second; beyond that requests go unanswered, and the requester backs off for longer
    max_busy_replies: int = 20
    # providers that a requester asks in one round, if each turns it away
    attempts_per_round: int = 2
    # interval of rounds
    every: int = NS // 5
    # a new version is announced to so many members a round, for so many rounds
    announce_fanout: int = 3
    announce_rounds: int = 4
    # pieces requested at once, and how long a provider may be silent before another is asked
    window: int = 8
    request_timeout: int = 300 * MS
    # a provider that was silent or sent corrupt content is not asked for this long; one without the content for a fraction of it
    backoff: int = 2 * NS
    # interval at which the writer repeats its messages to all stores: this replaces lost ones, and the answers of a majority
    # confirm which version is the newest
    resend_interval: int = 500 * MS
    # a node reports to its zone's aggregator on each change and at this interval; minimum interval between an aggregator's
    # summaries to the stores
    report_interval: int = 30 * NS
    summary_interval: int = NS
    # late nodes that a zone's summary names
    max_named: int = 4

    @property
    def majority(self) -> int:
        return len(self.stores) // 2 + 1
