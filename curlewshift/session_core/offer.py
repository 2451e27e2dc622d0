"""What a client offers for a session, as far as a desk tells one offer from another."""

from __future__ import annotations

from dataclasses import dataclass

WHEP = "whep"


@dataclass(frozen=True)
class Offer:
    """Two are the same if their credentials are."""

    identity: str
    text: str = ""
    # whep or whip: it is also the first part of the path at the server
    way: str = WHEP
    ufrag: str = ""

    def __eq__(self, other):
        return isinstance(other, Offer) and (self.identity, self.way) == (other.identity, other.way)

    def __hash__(self):
        return hash(self.identity)
