"""Viewers at the real nodes throughout the run, and a comparison of joins at fronts with and without hollow nodes."""

from __future__ import annotations

import secrets
import time

import anyio

from curlewshift.exchange.client import ConnectionBroken, RequestNotSent, connect
from curlewshift.fault_injection.joins import FINGERPRINT, SDP, one_way
from curlewshift.scale.fleet import Fleet, RealFront
from curlewshift.signalling.sdp import offer_text

# Interval between viewers at one front, and time-out of a viewer's requests (s).
VIEWER_INTERVAL_S, ANSWER_TIMEOUT_S = 0.5, 4.0
TURNS = 4


class Viewers:
    """One viewer after another at each real node. Requests unanswered because the node was killed are counted separately."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.asked = self.played = self.down = 0
        self.errors: list[str] = []
        self.longest = 0.0

    async def run_viewers(self, front: RealFront) -> None:
        while True:
            await anyio.sleep(VIEWER_INTERVAL_S)
            child, was_open = front.child, front.open
            began = time.monotonic()
            status = await self._run_viewer(front)
            if not was_open or not front.open or child is not front.child:
                self.down += 1
                continue
            self.asked += 1
            if status == 201:
                self.played += 1
                self.longest = max(self.longest, time.monotonic() - began)
            elif len(self.errors) < 5:
                self.errors.append(f"{front.name} answered {status}")

    async def _run_viewer(self, front: RealFront) -> int:
        """Sets up and ends one session. Returns the HTTP status, 0 without an answer."""
        offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                call = await connect("127.0.0.1", front.port, ANSWER_TIMEOUT_S)
                try:
                    answered = await call.ask("POST", "/whep/p/t", [("content-type", SDP)], offer)
                    if answered.status == 201 and call.prepare_next_request():
                        await call.ask("DELETE", answered.headers["location"])
                    return answered.status
                finally:
                    await call.close()
        except (OSError, TimeoutError, RequestNotSent, ConnectionBroken, anyio.EndOfStream, anyio.BrokenResourceError):
            return 0

    def record(self) -> dict:
        return {
            "asked": self.asked,
            "played": self.played,
            "while_down": self.down,
            "wrong": self.errors,
            "longest_s": round(self.longest, 3),
        }


async def compare_joins(fleet: Fleet, count: int) -> dict:
    """Alternates the same joins between a front of the fleet and one without hollow nodes, so that a slow machine affects
    both alike."""
    variants = {"with": next(iter(fleet.real.values())), "without": fleet.apart[0]}
    turns: dict[str, list[dict]] = {variant: [] for variant in variants}
    for turn in range(TURNS):
        for variant in sorted(variants, reverse=bool(turn % 2)):
            turns[variant].append(
                await one_way(variants[variant].port, variants[variant].child.process.pid, max(16, count // TURNS))
            )
    figures = {
        variant: {name: sorted(turn[name] for turn in parts)[TURNS // 2] for name in parts[0]} for variant, parts in turns.items()
    }
    ratios = {
        name: round(figures["with"][name] / figures["without"][name], 3) for name in ("p50_us", "p99_us", "joins_a_second_a_core")
    }
    return {"joins_each_way": count, **figures, "with_over_without": ratios}
