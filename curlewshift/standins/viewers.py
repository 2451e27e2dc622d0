"""Simulated viewers: they arrive, send a request to a front, watch the media, leave early if too little is delivered, and retry
when refused.

Each records what it sees on its own sockets: every request, every answer including surplus ones, and when it left, which is when
the close of its connection, the shutdown of its sending half, or its DELETE was handed to the kernel.
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
from curlewshift.standins.traffic import Traffic, bytes_received

NS = 1_000_000_000
SDP = "application/sdp"
FINGERPRINT = "sha-256 " + ":".join(["A5"] * 32)
# A viewer leaves after this many successive lines of media with less than this share delivered.
TOO_LITTLE, FOR_LINES = 0.75, 4
# Range of the pause before a retry (s), unless the answer gives one; and the maximum number of visits.
PAUSE = (0.5, 2.0)
MOST_VISITS = 4
# No retry starts later than this after the last arrival (s).
LAST_VISIT_S = 2.5
# After an answer the connection is read for this long (s), and at most this many times, to detect surplus answers.
EXTRA_ANSWER_WAIT_S = 0.4
MAX_EXTRA_READS = 20
# Time (s) after which a viewer hangs up on a slow answer and retries with the same key; and range of the time (s) after which
# those leave that do not retry.
HANGS_UP_AFTER = 0.25
LEAVES_AFTER = (0.01, 0.3)
# Half of those that leave close the connection; the others shut down their sending half and keep it open for this long (s).
LINGER_S = 0.5
# Time-out (s) of connecting for media; reads of media time out after twice as long.
MEDIA_WITHIN = 2.0
# Number of times that a paid request is sent again after its connection broke.
ASKS_ON = 3


class Viewers:
    """`endpoints`: host and port of each front, in the order of the site."""

    def __init__(self, site: Site, script: Script, endpoints: list[tuple[str, int]], seed: int, traffic: Traffic):
        self.site, self.script, self.endpoints, self.traffic = site, script, endpoints, traffic
        self.rng = Random(seed)
        self.packages = {package.name: package for package in site.packages}
        self.titles = list(site.titles)
        self.viewing_count = 0
        self.watching = 0

    async def come(self, run_start: float) -> None:
        """Starts all viewers that arrive during the run; returns when the last one has left."""
        async with anyio.create_task_group() as tasks:
            at = run_start
            ends = run_start + self.script.lasts
            while True:
                rate, title, package = self._arrivals(at - run_start)
                at += self.rng.expovariate(rate)
                if at >= ends:
                    break
                await anyio.sleep(max(0.0, at - time.monotonic()))
                self.viewing_count += 1
                tasks.start_soon(self._run_viewing, f"v{self.viewing_count}", Random(self.rng.random()), title, package, ends)

    def _arrivals(self, now: float) -> tuple[float, str | None, str | None]:
        """Arrivals per second at `now`, and the title of the crowd or the package of the peak that the next arrival
        belongs to."""
        rate, more = pressure(self.script, now, self.titles)
        return rate + sum(part for part, _, _ in more), *drawn_part(rate, more, self.rng.random())

    async def _run_viewing(self, viewing: str, rng: Random, crowd: str | None, peak: str | None, ends: float) -> None:
        peak_viewings = [planned_viewing for planned_viewing in self.script.planned_viewings if planned_viewing.package == peak]
        planned_viewing = (
            peak_viewings[0]
            if peak_viewings
            else rng.choices(
                self.script.planned_viewings, [planned_viewing.share for planned_viewing in self.script.planned_viewings]
            )[0]
        )
        title = crowd or rng.choices(self.titles, [1 / rank for rank in range(1, len(self.titles) + 1)])[0]
        package = self.packages[planned_viewing.package]
        top = package.top if rng.random() < 0.75 else max(package.floor, package.top - 1)
        remaining = rng.expovariate(1 / planned_viewing.watches)
        self.traffic.seen("viewing", viewing=viewing, package=planned_viewing.package, title=title)
        for visit in range(MOST_VISITS):
            started_at = time.monotonic()
            outcome, wait = await self._run_visit(f"{viewing}.{visit}", viewing, planned_viewing, title, top, remaining, rng)
            remaining -= time.monotonic() - started_at if outcome == "broke" else 0
            again = outcome in ("refused", "broke", "unreached") and remaining > 1 and rng.random() < self.script.come_again
            pause = wait + rng.uniform(0, 0.5) if wait else rng.uniform(*PAUSE)
            if not again or time.monotonic() > ends or time.monotonic() + pause > ends + LAST_VISIT_S:
                # a later retry would still wait for its answer when the run ends, and would count as unanswered
                return
            await anyio.sleep(pause)

    async def _run_visit(
        self, request: str, viewing: str, planned_viewing: PlannedViewing, title: str, top: int, duration: float, rng: Random
    ) -> tuple[str, float]:
        """One request and the viewing that follows from it; returns the outcome, and the retry delay of a refusal (s)."""
        front_index, package = rng.randrange(len(self.endpoints)), self.packages[planned_viewing.package]
        ufrag, pwd = secrets.token_hex(4), secrets.token_hex(12)
        protocol = PUBLISHES if planned_viewing.package in self.site.published else PLAYS
        offer = offer_text(ufrag, pwd, FINGERPRINT, protocol).encode()
        key = f"{request}-{ufrag}"
        if rng.random() < self.script.leave:
            linger_s = LINGER_S if rng.random() < 0.5 else 0.0
            with anyio.move_on_after(rng.uniform(*LEAVES_AFTER)):
                await self._send_request(
                    request, viewing, front_index, planned_viewing.package, title, top, key, offer, True, linger_s
                )
            return "left", 0.0
        if rng.random() < self.script.hang_up:
            with anyio.move_on_after(HANGS_UP_AFTER):
                await self._send_request(
                    request + "h", viewing, front_index, planned_viewing.package, title, top, key, offer, hangs_up=True
                )
        response = await self._send_request(request, viewing, front_index, planned_viewing.package, title, top, key, offer)
        for _ in range(ASKS_ON if package.paid_at_setup else 0):
            if response is not None:
                break
            # a paid request whose connection broke may only be repeated at the same front with the same key
            await anyio.sleep(rng.uniform(*PAUSE) / 2)
            response = await self._send_request(
                request + "b", viewing, front_index, planned_viewing.package, title, top, key, offer
            )
        if response is None:
            return "unreached", 0.0
        if response.status == 201:
            return await self._watch(request, front_index, response, duration), 0.0
        if response.status == 503:
            try:
                return "refused", (decode(response.body, Problem).retry_after_ms or 0) / 1000
            except InvalidBody:
                return "refused", 0.0
        return "failed", 0.0

    async def _send_request(
        self, request, viewing, front_index, package, title, top, key, offer, hangs_up=False, linger_s=0.0
    ) -> HttpResponse | None:
        patience = self.packages[package].patience
        fields = dict(request=request, viewing=viewing, front=self.site.front_addresses[front_index].name)
        protocol = PUBLISHES if package in self.site.published else PLAYS
        connection = response = None
        try:
            connection = await connect(*self.endpoints[front_index], 1.0)
            self.traffic.seen("ask", package=package, title=title, patience=patience, **fields)
            with anyio.move_on_after(patience / NS) as waiting:
                response = await connection.ask(
                    "POST",
                    f"/{protocol}/{package}/{title}?top={top}",
                    [("content-type", SDP), ("x-request-id", request), ("idempotency-key", key), ("x-viewing", viewing)],
                    offer,
                )
            if waiting.cancelled_caught:
                self.traffic.seen("gave-up", **fields)
                return None
            self.traffic.seen("answer", status=response.status, **fields)
            await self._record_extra_answers(connection, fields)
            return response
        except RequestNotSent:
            self.traffic.seen("unreached", **fields)
        except ConnectionBroken as error:
            self.traffic.seen("broke", cause=str(error), **fields)
        except anyio.get_cancelled_exc_class():
            if hangs_up and connection is not None and connection.request_started:
                self.traffic.seen("hung-up", **fields)
            raise
        finally:
            if connection is not None:
                connection.shut_down_sending()
                self.traffic.seen(
                    "left",
                    how="shut-down" if linger_s else "closed",
                    answered=response is not None,
                    came=bytes_received(connection.stream.extra(SocketAttribute.raw_socket)),
                    **fields,
                )
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(linger_s)
                await connection.close()
        return None

    async def _record_extra_answers(self, connection: HttpClientConnection, fields: dict) -> None:
        """Records answers beyond the first one."""
        with anyio.move_on_after(EXTRA_ANSWER_WAIT_S):
            for _ in range(MAX_EXTRA_READS):
                data = await connection.read_more()
                if not data:
                    return
                if data.startswith(b"HTTP/1.1 "):
                    self.traffic.seen("answer", status=int(data[9:12]), again=True, **fields)

    async def _watch(self, request: str, front_index: int, response: HttpResponse, duration: float) -> str:
        self.watching += 1
        try:
            with anyio.move_on_after(max(0.1, duration)):
                if not await self._media(response):
                    return "broke"
        finally:
            self.watching -= 1
        self.traffic.seen(
            "left", how="cancelled", answered=True, request=request, front=self.site.front_addresses[front_index].name
        )
        try:
            deleted = await ask(*self.endpoints[front_index], "DELETE", response.headers.get("location", "/"), within=2.0)
            if deleted.status == 200:
                # a viewer that hung up and retried holds the session that its first request set up
                self.traffic.seen("closed", requests=[request, request + "h", request + "b"])
        except (RequestNotSent, ConnectionBroken, TimeoutError):
            pass
        return "watched"

    async def _media(self, response: HttpResponse) -> bool:
        """Reads the media; returns false if they break off, true if the viewer leaves because too little is delivered."""
        try:
            answer = parse(response.body.decode())
            host, port = candidate_of(answer)
            ufrag = answer.first("ice-ufrag", answer.media[0])
            connection = await connect(host, port, MEDIA_WITHIN)
        except (InvalidDescription, RequestNotSent):
            return False
        short, rest = 0, b""
        try:
            with anyio.fail_after(MEDIA_WITHIN):
                head = await connection.begin("GET", f"/media/{ufrag}")
            if head.status != 200:
                return False
            pieces = connection.pieces()
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
            await connection.close()
