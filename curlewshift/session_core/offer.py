"""A client's session offer, with the parts by which the session core distinguishes offers."""

from __future__ import annotations

from dataclasses import dataclass

WHEP = "whep"


@dataclass(frozen=True)
class Offer:
    """Offers are equal if their ICE credentials and protocol are."""

    identity: str
    text: str = ""
    # the protocol, whep or whip; also the first segment of the path at the server
    protocol: str = WHEP
    ufrag: str = ""

    def __eq__(self, other):
        return isinstance(other, Offer) and (self.identity, self.protocol) == (other.identity, other.protocol)

    def __hash__(self):
        return hash(self.identity)
