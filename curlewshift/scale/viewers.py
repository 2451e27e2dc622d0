"""Viewers at the real nodes while everything befalls them, and joins with hollow nodes there beside joins without."""

from __future__ import annotations

import secrets
import time

import anyio

from curlewshift.exchange.client import ConnectionBroken, RequestNotSent, connect
from curlewshift.fault_injection.joins import FINGERPRINT, SDP, one_way
from curlewshift.scale.fleet import Fleet, RealFront
from curlewshift.signalling.sdp import offer_text

# Between viewers at one front, and how long one waits (s).
PACE, WITHIN = 0.5, 4.0
TURNS = 4


class Viewers:
    """One after the other at each real node. What a node that was killed did not answer is told apart."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.asked = self.played = self.down = 0
        self.wrong: list[str] = []
        self.longest = 0.0

    async def come(self, front: RealFront) -> None:
        while True:
            await anyio.sleep(PACE)
            child, was_open = front.child, front.open
            began = time.monotonic()
            status = await self._one(front)
            if not was_open or not front.open or child is not front.child:
                self.down += 1
                continue
            self.asked += 1
            if status == 201:
                self.played += 1
                self.longest = max(self.longest, time.monotonic() - began)
            elif len(self.wrong) < 5:
                self.wrong.append(f"{front.name} answered {status}")

    async def _one(self, front: RealFront) -> int:
        """The status; 0 without an answer."""
        offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
        try:
            with anyio.fail_after(WITHIN):
                call = await connect("127.0.0.1", front.port, WITHIN)
                try:
                    answered = await call.ask("POST", "/whep/p/t", [("content-type", SDP)], offer)
                    if answered.status == 201 and call.prepare_next_request():
                        await call.ask("DELETE", answered.headers["location"])
                    return answered.status
                finally:
                    await call.close()
        except (OSError, TimeoutError, RequestNotSent, ConnectionBroken, anyio.EndOfStream, anyio.BrokenResourceError):
            return 0

    def told(self) -> dict:
        return {
            "asked": self.asked,
            "played": self.played,
            "while_down": self.down,
            "wrong": self.wrong,
            "longest_s": round(self.longest, 3),
        }


async def compare_joins(fleet: Fleet, count: int) -> dict:
    """The same joins through a front of the fleet and one of those apart, in turns: a machine that slows down slows both."""
    ways = {"with": next(iter(fleet.real.values())), "without": fleet.apart[0]}
    turns: dict[str, list[dict]] = {way: [] for way in ways}
    for turn in range(TURNS):
        for way in sorted(ways, reverse=bool(turn % 2)):
            turns[way].append(await one_way(ways[way].port, ways[way].child.process.pid, max(16, count // TURNS)))
    figures = {way: {name: sorted(turn[name] for turn in parts)[TURNS // 2] for name in parts[0]} for way, parts in turns.items()}
    ratios = {
        name: round(figures["with"][name] / figures["without"][name], 3) for name in ("p50_us", "p99_us", "joins_a_second_a_core")
    }
    return {"joins_each_way": count, **figures, "with_over_without": ratios}
