"""Limits on the set-ups of one client connection: a client that sends without pause does not keep others from being served.

A set-up that is placed holds room at a server and one of the places of those that wait, even if it is given up before it is sent.
Called by client_listener.py. No I/O and no clock; times are nanoseconds.
"""

from __future__ import annotations

NS = 1_000_000_000
# Set-ups that one connection may send at once, and in each second thereafter. At most 90 a second reach a node in all.
BURST, RATE = 200, 300
# A connection that has sent more is refused all until it has kept below the rate for this long.
PENALTY_NS = NS
# A connection may have this share of the places that are free. One alone can take a quarter of all, and however many take their
# share, some places are left for the next.
SHARE_OF_FREE_PLACES = 1 / 3


class SetUpRate:
    """The rate at which one connection sends set-ups. Those that are refused count as well."""

    __slots__ = ("allowance", "counted_at")

    def __init__(self, now: int):
        # set-ups that may be sent now; negative while more than those were sent
        self.allowance, self.counted_at = float(BURST), now

    def count(self, now: int) -> bool:
        """Counts a set-up that is received now. Returns whether it is within the limit."""
        self.allowance = min(BURST, self.allowance + (now - self.counted_at) * RATE / NS)
        self.counted_at = now
        self.allowance = max(-RATE * PENALTY_NS / NS, self.allowance - 1)
        return self.allowance >= 0


def has_place(open_here: int, open_in_all: int, places: int) -> bool:
    """Whether a connection on which `open_here` set-ups wait may have another one, where `open_in_all` of `places` are taken."""
    return open_here < (places - open_in_all) * SHARE_OF_FREE_PLACES
