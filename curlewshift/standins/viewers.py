"""Viewers: they arrive, ask a front, watch the media, leave early where it is short, and come again when turned away.

What each sees on its own sockets goes into the traffic: every request, every answer to it, every answer too many, and when it
left: the moment at which the end of its connection, of its sending half, or its DELETE was in the kernel.
"""

from __future__ import annotations

import secrets
import time
from random import Random

import anyio
import msgspec
from anyio.abc import SocketAttribute

from curlewshift.exchange.client import ConnectionBroken, HttpClientConnection, HttpResponse, RequestNotSent, ask, connect
from curlewshift.signalling.bodies import InvalidBody, Problem, decode
from curlewshift.signalling.sdp import PLAYS, PUBLISHES, InvalidDescription, candidate_of, offer_text, parse
from curlewshift.site.site import Site
from curlewshift.standins.script import PlannedViewing, Script, drawn_part, pressure
from curlewshift.standins.traffic import Traffic, bytes_come

NS = 1_000_000_000
SDP = "application/sdp"
FINGERPRINT = "sha-256 " + ":".join(["A5"] * 32)
# A viewer whose share stays under this for so many lines of media leaves.
TOO_LITTLE, FOR_LINES = 0.75, 4
# Pauses before it comes again (s), unless it is told how long to wait.
PAUSE = (0.5, 2.0)
MOST_VISITS = 4
# Nobody comes again later than this after the last arrival (s).
LAST_VISIT = 2.5
# After an answer the connection is watched for another one for so long (s).
LISTENS_ON = 0.4
MOST_HEARD = 20
# Viewers who hang up on a slow answer do so after this (s), and ask again with the same key.
HANGS_UP_AFTER = 0.25
LEAVES_AFTER = (0.01, 0.3)
# Half of those who leave close; the others end what they send and keep the connection for so long (s).
LINGERS = 0.5
MEDIA_WITHIN = 2.0
# Times that a paid request which broke off is sent again.
ASKS_ON = 3


class Viewers:
    """`doors` are host and port of each front, in the site's order."""

    def __init__(self, site: Site, script: Script, doors: list[tuple[str, int]], seed: int, traffic: Traffic):
        self.site, self.script, self.doors, self.traffic = site, script, doors, traffic
        self.rng = Random(seed)
        self.packages = {package.name: package for package in site.packages}
        self.titles = list(site.titles)
        self.names = 0
        self.watching = 0

    async def come(self, begins: float) -> None:
        """All who arrive in the day; returns when the last has gone."""
        async with anyio.create_task_group() as tasks:
            at = begins
            ends = begins + self.script.lasts
            while True:
                rate, title, package = self._pressure(at - begins)
                at += self.rng.expovariate(rate)
                if at >= ends:
                    break
                await anyio.sleep(max(0.0, at - time.monotonic()))
                self.names += 1
                tasks.start_soon(self._view, f"v{self.names}", Random(self.rng.random()), title, package, ends)

    def _pressure(self, now: float) -> tuple[float, str | None, str | None]:
        """Arrivals a second at this moment, and the title of a crowd, or the package of a peak, that the next one
        belongs to."""
        rate, more = pressure(self.script, now, self.titles)
        return rate + sum(part for part, _, _ in more), *drawn_part(rate, more, self.rng.random())

    async def _view(self, viewing: str, rng: Random, crowd: str | None, peak: str | None, ends: float) -> None:
        of_peak = [planned_viewing for planned_viewing in self.script.planned_viewings if planned_viewing.package == peak]
        planned_viewing = (
            of_peak[0]
            if of_peak
            else rng.choices(
                self.script.planned_viewings, [planned_viewing.share for planned_viewing in self.script.planned_viewings]
            )[0]
        )
        title = crowd or rng.choices(self.titles, [1 / rank for rank in range(1, len(self.titles) + 1)])[0]
        package = self.packages[planned_viewing.package]
        top = package.top if rng.random() < 0.75 else max(package.floor, package.top - 1)
        left = rng.expovariate(1 / planned_viewing.watches)
        self.traffic.seen("viewing", viewing=viewing, package=planned_viewing.package, title=title)
        for visit in range(MOST_VISITS):
            began = time.monotonic()
            how, wait = await self._visit(f"{viewing}.{visit}", viewing, planned_viewing, title, top, left, rng)
            left -= time.monotonic() - began if how == "broke" else 0
            again = how in ("refused", "broke", "unreached") and left > 1 and rng.random() < self.script.come_again
            pause = wait + rng.uniform(0, 0.5) if wait else rng.uniform(*PAUSE)
            if not again or time.monotonic() > ends or time.monotonic() + pause > ends + LAST_VISIT:
                # who came so late would still wait when the day is put away, and would be held for lost
                return
            await anyio.sleep(pause)

    async def _visit(
        self, request: str, viewing: str, planned_viewing: PlannedViewing, title: str, top: int, lasts: float, rng: Random
    ) -> tuple[str, float]:
        """One request, and what comes of it: how it ended, and how long the viewer was told to stay away (s)."""
        door, package = rng.randrange(len(self.doors)), self.packages[planned_viewing.package]
        ufrag, pwd = secrets.token_hex(4), secrets.token_hex(12)
        way = PUBLISHES if planned_viewing.package in self.site.published else PLAYS
        offer = offer_text(ufrag, pwd, FINGERPRINT, way).encode()
        key = f"{request}-{ufrag}"
        if rng.random() < self.script.leave:
            lingers = LINGERS if rng.random() < 0.5 else 0.0
            with anyio.move_on_after(rng.uniform(*LEAVES_AFTER)):
                await self._ask(request, viewing, door, planned_viewing.package, title, top, key, offer, True, lingers)
            return "left", 0.0
        if rng.random() < self.script.hang_up:
            with anyio.move_on_after(HANGS_UP_AFTER):
                await self._ask(request + "h", viewing, door, planned_viewing.package, title, top, key, offer, hangs_up=True)
        answered = await self._ask(request, viewing, door, planned_viewing.package, title, top, key, offer)
        for _ in range(ASKS_ON if package.paid_at_setup else 0):
            if answered is not None:
                break
            # a paid request that broke off has one honest way on: the same front, with the same key
            await anyio.sleep(rng.uniform(*PAUSE) / 2)
            answered = await self._ask(request + "b", viewing, door, planned_viewing.package, title, top, key, offer)
        if answered is None:
            return "unreached", 0.0
        if answered.status == 201:
            return await self._watch(request, door, answered, lasts), 0.0
        if answered.status == 503:
            try:
                return "refused", (decode(answered.body, Problem).retry_after_ms or 0) / 1000
            except InvalidBody:
                return "refused", 0.0
        return "failed", 0.0

    async def _ask(
        self, request, viewing, door, package, title, top, key, offer, hangs_up=False, lingers=0.0
    ) -> HttpResponse | None:
        patience = self.packages[package].patience
        facts = dict(request=request, viewing=viewing, front=self.site.front_addresses[door].name)
        way = PUBLISHES if package in self.site.published else PLAYS
        call = answered = None
        try:
            call = await connect(*self.doors[door], 1.0)
            self.traffic.seen("ask", package=package, title=title, patience=patience, **facts)
            with anyio.move_on_after(patience / NS) as waiting:
                answered = await call.ask(
                    "POST",
                    f"/{way}/{package}/{title}?top={top}",
                    [("content-type", SDP), ("x-request-id", request), ("idempotency-key", key), ("x-viewing", viewing)],
                    offer,
                )
            if waiting.cancelled_caught:
                self.traffic.seen("gave-up", **facts)
                return None
            self.traffic.seen("answer", status=answered.status, **facts)
            await self._listen_on(call, facts)
            return answered
        except RequestNotSent:
            self.traffic.seen("unreached", **facts)
        except ConnectionBroken as wrong:
            self.traffic.seen("broke", cause=str(wrong), **facts)
        except anyio.get_cancelled_exc_class():
            if hangs_up and call is not None and call.request_started:
                self.traffic.seen("hung-up", **facts)
            raise
        finally:
            if call is not None:
                call.shut_down_sending()
                self.traffic.seen(
                    "left",
                    how="shut-down" if lingers else "closed",
                    answered=answered is not None,
                    came=bytes_come(call.stream.extra(SocketAttribute.raw_socket)),
                    **facts,
                )
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(lingers)
                await call.close()
        return None

    async def _listen_on(self, call: HttpClientConnection, facts: dict) -> None:
        with anyio.move_on_after(LISTENS_ON):
            for _ in range(MOST_HEARD):
                data = await call.read_more()
                if not data:
                    return
                if data.startswith(b"HTTP/1.1 "):
                    self.traffic.seen("answer", status=int(data[9:12]), again=True, **facts)

    async def _watch(self, request: str, door: int, answered: HttpResponse, lasts: float) -> str:
        self.watching += 1
        try:
            with anyio.move_on_after(max(0.1, lasts)):
                if not await self._media(answered):
                    return "broke"
        finally:
            self.watching -= 1
        self.traffic.seen("left", how="cancelled", answered=True, request=request, front=self.site.front_addresses[door].name)
        try:
            gone = await ask(*self.doors[door], "DELETE", answered.headers.get("location", "/"), within=2.0)
            if gone.status == 200:
                # one that hung up and asked again holds what the first of the two requests set up
                self.traffic.seen("closed", requests=[request, request + "h", request + "b"])
        except (RequestNotSent, ConnectionBroken, TimeoutError):
            pass
        return "watched"

    async def _media(self, answered: HttpResponse) -> bool:
        """Reads the media as they come; false if they break, true if the viewer has had enough of too little."""
        try:
            answer = parse(answered.body.decode())
            host, port = candidate_of(answer)
            ufrag = answer.first("ice-ufrag", answer.media[0])
            call = await connect(host, port, MEDIA_WITHIN)
        except (InvalidDescription, RequestNotSent):
            return False
        short, rest = 0, b""
        try:
            with anyio.fail_after(MEDIA_WITHIN):
                head = await call.begin("GET", f"/media/{ufrag}")
            if head.status != 200:
                return False
            pieces = call.pieces()
            while True:
                with anyio.fail_after(MEDIA_WITHIN * 2):
                    data = await anext(pieces, None)
                if data is None:
                    return False
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    share = msgspec.json.decode(line)["share"]
                    short = short + 1 if share < TOO_LITTLE else 0
                if short >= FOR_LINES:
                    return True
        except (ConnectionBroken, TimeoutError):
            return False
        finally:
            await call.close()
