"""Bytes that one of many fronts sends to its peers for sharing, in encoded frames. Called by `measure shared`; simulated.

The sharing of one front runs among peers that exist by name only. Averaged over all fronts, a front that sums up the use of
servers receives as many use reports as it sends, and each is answered once; so an answer is counted for each report sent.
"""

from __future__ import annotations

from random import Random

from curlewshift.model import Link, Rack, Server
from curlewshift.peering.channel import FRAME_OVERHEAD_BYTES
from curlewshift.peering.frames import Frame, encode
from curlewshift.peering.shared import ENCODER, KIND, SEEN, SUMS, USE, Body
from curlewshift.sharing.sharing import Sharing
from curlewshift.sharing.terms import SharingTerms

NS = 1_000_000_000
TERMS = SharingTerms(term=3 * NS // 2, drift=0.01, window=NS, every=NS // 4)
# (fronts, servers)
SIZES = ((8, 24), (64, 200), (200, 2000), (1000, 2000))
# Servers on which the front has sessions, servers per rack, length of a run in s.
PLAYS_ON, RACK, SECONDS = 40, 20, 20


class Among:
    """Driver of one front's sharing that encodes each message and counts its bytes instead of sending it."""

    def __init__(self, fronts: int, servers: int):
        self.clock, self.names = 1000 * NS, [f"front-{n}" for n in range(fronts)]
        rng = Random(1)
        racks = [Rack(n, Link(1e5), name=f"rack-{n}") for n in range(-(-servers // RACK))]
        self.fleet = [
            Server(f"10.0.{n // 250}.{n % 250}:8100", rng.getrandbits(32), f"z{n % 3}", 40, racks[n // RACK], Link(1e4))
            for n in range(servers)
        ]
        for server in rng.sample(self.fleet, min(PLAYS_ON, servers)):
            server.link.own = server.rack.link.own = 700.0
        self.bytes = self.datagrams = 0
        self.sharing = Sharing(self, self.names, 0, 1, TERMS, 8 * NS, rng)
        self.rng = rng

    def run(self) -> Among:
        for _ in range(SECONDS * NS // TERMS.every):
            self.clock += TERMS.every
            for server in self.fleet:
                if server.link.own:
                    # a report arrives, and the use of the server changes
                    server.last_seen_at = self.clock
                    server.link.own = 700.0 * self.rng.uniform(0.9, 1.1)
            self.sharing.time()
        return self

    def _count(self, kind: int, **more) -> None:
        body = ENCODER.encode(Body(kind, 10_000, self.clock, **more))
        frame = encode(
            Frame("site", "front-0", "10.1.0.1", 8181, 1_800_000_000_000_000, 3, 100_000, KIND, 0, "", 2**63, [], body)
        )
        self.bytes += len(frame)
        self.datagrams += 1

    def now(self) -> int:
        return self.clock

    def servers(self):
        return self.fleet

    def rights_of(self, server: Server) -> int:
        return 3

    def members(self) -> list[str]:
        return self.names[1:]

    def send_use(self, to: str, rows: list) -> None:
        self._count(USE, uses=rows)
        # as many reports of other fronts are received and answered
        self._count(SUMS, sums=[(key, value, 100_000_000, 0.5, 200_000_000) for key, value in rows])

    def send_observations(self, to: str, rows: list) -> None:
        self._count(SEEN, seen=rows)

    def ignore(self, *arguments, **more) -> None:
        """Not counted. Requests for rights are rare, since only cold servers have rights."""

    ask = lend = give_back_to = send_sums = send_link_report = request_observations = ignore
    rights_held = doubted = counted = uplink_counted = link_reported = seen_warm = clock_off = ignore


def measure_shared() -> dict:
    rows = []
    for fronts, servers in SIZES:
        driver = Among(fronts, servers).run()
        rows.append(
            {
                "fronts": fronts,
                "servers": servers,
                "plays_on": min(PLAYS_ON, servers),
                "bytes_a_second": round(driver.bytes / SECONDS),
                "datagrams_a_second": round(driver.datagrams / SECONDS),
            }
        )
    return {"simulated": True, "largest_body": 1200 - FRAME_OVERHEAD_BYTES, "sizes": rows}
