"""The asynchronous client: each request yields one session or raises one error. `SyncCaller` is its synchronous form."""

from __future__ import annotations

import secrets
import ssl
import time
from dataclasses import dataclass, field
from random import Random
from urllib.parse import urlsplit

import anyio

from curlewshift.client.plan import Ask, Plan, Stop
from curlewshift.exchange.client import ConnectionBroken, HttpResponse, RequestNotSent, ask
from curlewshift.signalling.bodies import InvalidBody, LayerChoice, Problem, decode, encode
from curlewshift.signalling.fragments import CONTENT_TYPE as FRAGMENT_TYPE
from curlewshift.signalling.sdp import PLAYS, PUBLISHES

NS_PER_SECOND = 1_000_000_000
SDP_TYPE = "application/sdp"
# Applies to each request on an established session.
CALL_TIMEOUT_S = 5.0


class Ended(Exception):
    """The request failed; the text is the detail of the last answer."""


class Refused(Ended):
    """The front refused and nothing was executed. `retry_after` (s) is the front's advice, 0 if it gave none."""

    def __init__(self, words: str, retry_after: float):
        super().__init__(words)
        self.retry_after = retry_after


class Failed(Ended):
    """It is unknown whether the request was executed. A session that is paid at set-up should not be requested again."""


class Wrong(Ended):
    """The request is invalid and would be rejected again."""


@dataclass(slots=True)
class Session:
    """An established session. `answer` is the server's session description; the session stays at the front that set it up."""

    caller: Caller
    front: str
    path: str
    answer: str
    etag: str
    links: dict[str, str] = field(default_factory=dict)

    async def trickle(self, fragment: str) -> None:
        """Sends candidates for the current ICE session. Raises `Wrong`, `Failed`."""
        await self._ask("PATCH", self.path, [("content-type", FRAGMENT_TYPE), ("if-match", self.etag)], fragment.encode())

    async def restart(self, fragment: str) -> str:
        """Restarts ICE; returns the server's fragment. Raises `Wrong`, `Failed`."""
        response = await self._ask("PATCH", self.path, [("content-type", FRAGMENT_TYPE), ("if-match", "*")], fragment.encode())
        self.etag = response.headers.get("etag", self.etag)
        return response.body.decode()

    async def allow(self, rung: int) -> None:
        """Sets the ceiling: the highest rung (quality layer) to be sent from now on. Raises `Wrong`, `Failed`."""
        layer = next((path for rel, path in self.links.items() if rel.endswith(":layer")), self.path + "/layer")
        await self._ask("POST", layer, [("content-type", "application/json")], encode(LayerChoice(str(rung))))

    async def close(self) -> None:
        """Ends the session; errors, such as that it has ended already, are ignored."""
        try:
            await self._ask("DELETE", self.path)
        except Ended:
            pass

    async def _ask(self, method: str, path: str, headers=(), body: bytes = b"") -> HttpResponse:
        try:
            response = await self.caller._send(self.front, method, path, headers, body, CALL_TIMEOUT_S)
        except (RequestNotSent, ConnectionBroken, TimeoutError) as error:
            raise Failed(str(error) or f"no answer within {CALL_TIMEOUT_S:g} s") from None
        if response.status >= 400:
            raise (Wrong if response.status < 500 else Failed)(_description(response))
        return response

    async def __aenter__(self) -> Session:
        return self

    async def __aexit__(self, *_) -> None:
        with anyio.CancelScope(shield=True):
            await self.close()


class Caller:
    """`fronts` are base URLs such as http://127.0.0.1:8081, tried in this order. `token` is a bearer token or a function
    that returns one; `tls` is an ssl context for https, by default with the system's certificate authorities."""

    def __init__(self, fronts: list[str], token=None, tls: ssl.SSLContext | None = None, seed: int | None = None):
        if not fronts:
            raise ValueError("fronts is empty")
        self.fronts, self.token, self.tls = [front.rstrip("/") for front in fronts], token, tls
        self.chance = Random(secrets.randbits(64) if seed is None else seed)

    async def play(self, package: str, title: str, offer: str, **options) -> Session:
        """Requests a session that plays (WHEP). See `ask`."""
        return await self.ask(PLAYS, package, title, offer, **options)

    async def publish(self, package: str, title: str, offer: str, **options) -> Session:
        """Requests a session that publishes (WHIP). See `ask`."""
        return await self.ask(PUBLISHES, package, title, offer, **options)

    async def ask(
        self,
        way: str,
        package: str,
        title: str,
        offer: str,
        patience: float = 5.0,
        top: int | None = None,
        twice: bool = False,
        key: str | None = None,
    ) -> Session:
        """Requests a session and retries until it is set up, finally refused, failed, or `patience` (s) has passed.

        `way` is PLAYS (WHEP) or PUBLISHES (WHIP). All tries carry the same idempotency key (`key`, random by default). `top` is
        the highest rung to be sent. `twice`: a second set-up does no harm, so that another front may be tried if one gave no
        answer. Raises `Refused`, `Failed`, `Wrong`.
        """
        now = time.monotonic_ns()
        plan = Plan(self.fronts, now, int(patience * NS_PER_SECOND), twice, self.chance)
        key = key or secrets.token_urlsafe(18)
        target = f"/{way}/{package}/{title}" + (f"?top={top}" if top is not None else "")
        step: Ask | Stop = Ask(plan.front)
        while isinstance(step, Ask):
            await anyio.sleep(step.wait / NS_PER_SECOND)
            step = await self._try(plan, step.front, target, offer, key)
            if isinstance(step, Session):
                return step
        if step.why == "refused":
            raise Refused(step.words, step.retry_after / NS_PER_SECOND)
        raise (Failed if step.why == "failed" else Wrong)(step.words)

    async def _try(self, plan: Plan, front: str, target: str, offer: str, key: str) -> Ask | Stop | Session:
        remaining = (plan.deadline - time.monotonic_ns()) / NS_PER_SECOND
        try:
            response = await self._send(
                front,
                "POST",
                target,
                [("content-type", SDP_TYPE), ("idempotency-key", key), ("prefer", f"wait={max(1, -int(-remaining // 1))}")],
                offer.encode(),
                max(0.001, remaining),
            )
        except RequestNotSent as error:
            return plan.unreached(str(error), time.monotonic_ns())
        except ConnectionBroken as error:
            return plan.broke(str(error), time.monotonic_ns())
        except TimeoutError:
            return plan.failed("no answer within the patience of the request")
        now = time.monotonic_ns()
        if response.status == 201:
            return Session(
                self,
                front,
                response.headers.get("location", ""),
                response.body.decode("utf-8", "replace"),
                response.headers.get("etag", ""),
                links_of(response.headers.get("link", "")),
            )
        if response.status in (307, 308):
            return plan.redirected(_base_address(response.headers.get("location", ""), front), now)
        if response.status == 503:
            return plan.refused(_description(response), _retry_after(response), now)
        return (plan.failed if response.status >= 500 else plan.wrong)(_description(response))

    async def _send(self, front: str, method: str, path: str, headers, body: bytes, within: float) -> HttpResponse:
        parts = urlsplit(front)
        secure = parts.scheme == "https"
        tls = (self.tls or ssl.create_default_context()) if secure else None
        token = self.token() if callable(self.token) else self.token
        bearer = [("authorization", f"Bearer {token}")] if token else []
        return await ask(
            parts.hostname, parts.port or (443 if secure else 80), method, path, [*headers, *bearer], body, within, tls
        )


def links_of(header: str) -> dict[str, str]:
    """The targets of a Link header by relation type, the first of each (RFC 8288, 3)."""
    found: dict[str, str] = {}
    for part in header.split(", <"):
        target, _, rest = part.lstrip("<").partition(">")
        for parameter in rest.split(";"):
            name, _, value = parameter.strip().partition("=")
            if name == "rel":
                found.setdefault(value.strip('"'), target)
    return found


def _base_address(location: str, front: str) -> str | None:
    parts = urlsplit(location)
    if parts.scheme in ("http", "https") and parts.netloc:
        return f"{parts.scheme}://{parts.netloc}"
    return front if location.startswith("/") else None


def _retry_after(response: HttpResponse) -> int:
    """The advised delay in ns: from the body, which has milliseconds, else from the Retry-After header."""
    try:
        problem = decode(response.body, Problem)
        if problem.retry_after_ms:
            return problem.retry_after_ms * 1_000_000
    except InvalidBody:
        pass
    value = response.headers.get("retry-after", "")
    return int(value) * NS_PER_SECOND if value.isascii() and value.isdigit() else 0


def _description(response: HttpResponse) -> str:
    try:
        return decode(response.body, Problem).detail or f"answered {response.status}"
    except InvalidBody:
        return f"answered {response.status}"
