"""The async caller: one wish in, one session or one error out. `SyncCaller` beside it is the same without async."""

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
from curlewshift.signalling.fragments import CONTENT_TYPE as FRAGMENT
from curlewshift.signalling.sdp import PLAYS, PUBLISHES

NS = 1_000_000_000
SDP = "application/sdp"
# For calls on a session (s).
WITHIN = 5.0


class Ended(Exception):
    """No session came of it; the text is the last answer's."""


class Refused(Ended):
    """Nothing ran. `retry_after` (s) is the front's advice, 0 without."""

    def __init__(self, words: str, retry_after: float):
        super().__init__(words)
        self.retry_after = retry_after


class Failed(Ended):
    """What ran is not known. What is paid at set-up should not be asked for again."""


class Wrong(Ended):
    """The request cannot be taken as it is."""


@dataclass(slots=True)
class Session:
    """One that plays. `answer` is the server's description; the front it is at does not change."""

    caller: Caller
    front: str
    path: str
    answer: str
    etag: str
    links: dict[str, str] = field(default_factory=dict)

    async def trickle(self, fragment: str) -> None:
        """Candidates for the ICE session in force. Raises `Wrong`, `Failed`."""
        await self._ask("PATCH", self.path, [("content-type", FRAGMENT), ("if-match", self.etag)], fragment.encode())

    async def restart(self, fragment: str) -> str:
        """Begins another ICE session; returns the server's fragment. Raises `Wrong`, `Failed`."""
        answered = await self._ask("PATCH", self.path, [("content-type", FRAGMENT), ("if-match", "*")], fragment.encode())
        self.etag = answered.headers.get("etag", self.etag)
        return answered.body.decode()

    async def allow(self, rung: int) -> None:
        """No rung above this from now on. Raises `Wrong`, `Failed`."""
        layer = next((path for rel, path in self.links.items() if rel.endswith(":layer")), self.path + "/layer")
        await self._ask("POST", layer, [("content-type", "application/json")], encode(LayerChoice(str(rung))))

    async def close(self) -> None:
        """Ends it; one that has ended already is no error."""
        try:
            await self._ask("DELETE", self.path)
        except Ended:
            pass

    async def _ask(self, method: str, path: str, headers=(), body: bytes = b"") -> HttpResponse:
        try:
            answered = await self.caller._send(self.front, method, path, headers, body, WITHIN)
        except (RequestNotSent, ConnectionBroken, TimeoutError) as wrong:
            raise Failed(str(wrong) or "no answer in time") from None
        if answered.status >= 400:
            raise (Wrong if answered.status < 500 else Failed)(_words(answered))
        return answered

    async def __aenter__(self) -> Session:
        return self

    async def __aexit__(self, *_) -> None:
        with anyio.CancelScope(shield=True):
            await self.close()


class Caller:
    """`fronts` are base addresses such as http://127.0.0.1:8081, asked in this order. `token` is a bearer token or a
    call that returns one; `tls` an ssl context for https, the machine's own authorities without."""

    def __init__(self, fronts: list[str], token=None, tls: ssl.SSLContext | None = None, seed: int | None = None):
        if not fronts:
            raise ValueError("a caller needs a front to call")
        self.fronts, self.token, self.tls = [front.rstrip("/") for front in fronts], token, tls
        self.chance = Random(secrets.randbits(64) if seed is None else seed)

    async def play(self, package: str, title: str, offer: str, **how) -> Session:
        """A session that plays (WHEP). See `ask`."""
        return await self.ask(PLAYS, package, title, offer, **how)

    async def publish(self, package: str, title: str, offer: str, **how) -> Session:
        """A session that publishes (WHIP). See `ask`."""
        return await self.ask(PUBLISHES, package, title, offer, **how)

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
        """Asks until it plays, is refused for good, fails, or `patience` (s) has passed; one key for all tries.

        `twice`: setting it up twice does no harm, so that another front may be asked where one gave no answer.
        Raises `Refused`, `Failed`, `Wrong`.
        """
        now = time.monotonic_ns()
        plan = Plan(self.fronts, now, int(patience * NS), twice, self.chance)
        key = key or secrets.token_urlsafe(18)
        target = f"/{way}/{package}/{title}" + (f"?top={top}" if top is not None else "")
        step: Ask | Stop = Ask(plan.front)
        while isinstance(step, Ask):
            await anyio.sleep(step.wait / NS)
            step = await self._try(plan, step.front, target, offer, key)
            if isinstance(step, Session):
                return step
        if step.why == "refused":
            raise Refused(step.words, step.retry_after / NS)
        raise (Failed if step.why == "failed" else Wrong)(step.words)

    async def _try(self, plan: Plan, front: str, target: str, offer: str, key: str) -> Ask | Stop | Session:
        left = (plan.ends - time.monotonic_ns()) / NS
        try:
            answered = await self._send(
                front,
                "POST",
                target,
                [("content-type", SDP), ("idempotency-key", key), ("prefer", f"wait={max(1, -int(-left // 1))}")],
                offer.encode(),
                max(0.001, left),
            )
        except RequestNotSent as wrong:
            return plan.unreached(str(wrong), time.monotonic_ns())
        except ConnectionBroken as wrong:
            return plan.broke(str(wrong), time.monotonic_ns())
        except TimeoutError:
            return plan.failed("no answer in the viewer's time")
        now = time.monotonic_ns()
        if answered.status == 201:
            return Session(
                self,
                front,
                answered.headers.get("location", ""),
                answered.body.decode("utf-8", "replace"),
                answered.headers.get("etag", ""),
                links_of(answered.headers.get("link", "")),
            )
        if answered.status in (307, 308):
            return plan.redirected(_base(answered.headers.get("location", ""), front), now)
        if answered.status == 503:
            return plan.refused(_words(answered), _retry_after(answered), now)
        return (plan.failed if answered.status >= 500 else plan.wrong)(_words(answered))

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
    """Targets of a Link header by relation, the first of each (RFC 8288, 3)."""
    found: dict[str, str] = {}
    for part in header.split(", <"):
        target, _, rest = part.lstrip("<").partition(">")
        for parameter in rest.split(";"):
            name, _, value = parameter.strip().partition("=")
            if name == "rel":
                found.setdefault(value.strip('"'), target)
    return found


def _base(location: str, front: str) -> str | None:
    parts = urlsplit(location)
    if parts.scheme in ("http", "https") and parts.netloc:
        return f"{parts.scheme}://{parts.netloc}"
    return front if location.startswith("/") else None


def _retry_after(answered: HttpResponse) -> int:
    """The finer advice of the body, or that of the header, in ns."""
    try:
        problem = decode(answered.body, Problem)
        if problem.retry_after_ms:
            return problem.retry_after_ms * 1_000_000
    except InvalidBody:
        pass
    value = answered.headers.get("retry-after", "")
    return int(value) * NS if value.isascii() and value.isdigit() else 0


def _words(answered: HttpResponse) -> str:
    try:
        return decode(answered.body, Problem).detail or f"answered {answered.status}"
    except InvalidBody:
        return f"answered {answered.status}"
