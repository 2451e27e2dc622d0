"""The figures of distribution, from the settings of a site, and why they are as they are (docs/distribution.md)."""

from __future__ import annotations

from dataclasses import dataclass

NS = 1_000_000_000
MS = 1_000_000


@dataclass(slots=True, frozen=True)
class DistributionTerms:
    """Times in ns. `stores` are the names of the control machines; `give_bytes` a second bound what a node gives of
    contents, apart from the channel's own allowance."""

    stores: tuple[str, ...]
    give_bytes: int = 1536
    # what a giver that has rested may give at once: two whole contents of 630 fronts, so that who has it makes three within a
    # moment. Over the 18 s in which a change is to be in force both come to 3.4 KB a second.
    give_burst: int = 33 * 1024
    # the machines set aside for it give more, and to more at once
    store_give_bytes: int = 32 * 1024
    # who had pieces of a whole content within the last second, here and at a store; one more is told to come again
    most_askers: int = 2
    store_most_askers: int = 6
    # words that say so, a second: who hears none is silent to its asker, and is left alone for longer
    most_busy: int = 20
    # givers that are asked in one round by one who is turned away
    tries_a_round: int = 2
    # the wire's own round
    every: int = NS // 5
    # what is news is told to so many others, so many rounds long
    news_to: int = 3
    tellings: int = 4
    # pieces asked for in one go, and how long a giver may be silent before another is asked
    window: int = 8
    ask_within: int = 300 * MS
    # a giver that had nothing, was silent or gave what is spoilt is left alone for so long
    rest: int = 2 * NS
    # the writer asks all stores again so often: what was lost goes out again, and a majority vouches for the newest
    again: int = 500 * MS
    # a node tells its zone's aggregator on change, and else so often; an aggregator tells the stores no sooner than that
    report_each: int = 30 * NS
    sum_each: int = NS
    # whom a zone's sum names as late, or as refusing
    most_named: int = 4

    @property
    def majority(self) -> int:
        return len(self.stores) // 2 + 1
