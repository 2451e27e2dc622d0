"""WHEP and WHIP requests over HTTP: each is checked before any work is done for it, and answered once.

WHIP is RFC 9725, WHEP draft-ietf-wish-whep. Requests on a session that plays are handled in sessions.py.
"""

from __future__ import annotations

import re

import anyio

from curlewshift.exchange.server import Exchange, PeerDisconnected
from curlewshift.front.server_pool import SDP
from curlewshift.front.sessions import (
    EVENTS_EXTENSION,
    LAYER_EXTENSION,
    PATCH_CONTENT_TYPE,
    PREFLIGHT_HEADERS,
    RequestError,
    Sessions,
)
from curlewshift.limits.admission import Admission
from curlewshift.limits.permits import Permit, PermitDenied, Permits, allow
from curlewshift.limits.queue import Ticket
from curlewshift.session_core.front_session import Answer, AnswerKind, FrontSession, Request
from curlewshift.session_core.offer import Offer
from curlewshift.session_core.session_core import InvalidRequest, SessionCore, UnknownResource
from curlewshift.signalling.sdp import PLAYS, PUBLISHES, InvalidDescription, checked_offer, identity
from curlewshift.site.site import Site

MS = 1_000_000
NS = 1_000_000_000
WAIT_PREFERENCE = re.compile(r"wait=([0-9]{1,6})")
MAX_NAME_LENGTH = 128
# Pages of any origin may send requests: what a request may do depends on its token, not on the origin.
CORS_HEADERS = [
    ("access-control-allow-origin", "*"),
    ("access-control-expose-headers", "location, link, etag, retry-after, accept-patch"),
]


class HttpListener:
    """Accepts viewers' requests and passes them to the session core. `permits` is None if no token is required."""

    def __init__(self, site: Site, log, permits: Permits | None = None):
        self.way_back, self.log, self.permits = site.obligations.way_back, log, permits
        self.published, self.ice_servers = site.published, site.ice_servers
        self.session_core: SessionCore | None = None
        self.now = None
        self.waiters: dict[Request, anyio.Event] = {}
        self.sessions = Sessions(self, log)
        self.admission: Admission | None = None
        self.admission_events: dict[Ticket, anyio.Event] = {}
        # decides who is admitted under overload; None: first come, first served
        self.shedding = None
        self.request_count = 0
        # requests that have been read and not yet answered
        self.busy = 0

    # ---- called by the front for the session core

    def answer(self, request: Request, answer: Answer | None) -> None:
        waiter = self.waiters.pop(request, None)
        if waiter is not None:
            waiter.set()

    def rung_changed(self, front_session: FrontSession, rung: int) -> None:
        self.sessions.rung_changed(front_session, rung)

    def sweep(self) -> None:
        self.sessions.sweep()

    # ---- viewers' requests

    async def serve(self, exchange: Exchange) -> None:
        self.busy += 1
        exchange.common_headers = CORS_HEADERS
        try:
            await self._serve(exchange)
        except RequestError as error:
            await exchange.problem(error.status, str(error), headers=error.headers, retry_after_ms=error.retry_after_ms)
        except PermitDenied as error:
            await exchange.problem(error.status, str(error), headers=[("www-authenticate", error.challenge)])
        except InvalidRequest as error:
            await exchange.problem(404 if isinstance(error, UnknownResource) else 422, str(error))
        finally:
            self.busy -= 1

    async def _serve(self, exchange: Exchange) -> None:
        parts = exchange.path.strip("/").split("/")
        if parts[0] in (PLAYS, PUBLISHES) and len(parts) == 3:
            await self._endpoint(exchange, *parts)
        elif parts[0] == "session" and 2 <= len(parts) <= 4:
            await self.sessions.serve(exchange, parts[1], parts[2:])
        else:
            raise RequestError(
                404,
                "there is nothing at this path; viewings are asked for at /whep/PACKAGE/TITLE and "
                "published at /whip/PACKAGE/TITLE",
            )

    def permit(self, exchange: Exchange) -> Permit | None:
        """The permit that the request's token gives, None if no tokens are required. Raises `PermitDenied`."""
        if self.permits is None:
            return None
        return self.permits.read(exchange.headers.get("authorization"), self.now())

    async def _endpoint(self, exchange: Exchange, protocol: str, package: str, title: str) -> None:
        if exchange.method == "OPTIONS":
            # a preflight request carries no token (Fetch, 4.8), and its answer discloses nothing that a token protects
            await exchange.answer(204, [("accept-post", SDP), ("allow", "OPTIONS, POST"), *PREFLIGHT_HEADERS, *self._ice_links()])
            return
        if exchange.method != "POST":
            raise RequestError(405, "sessions are asked for by POST", [("allow", "OPTIONS, POST")])
        permit = self.permit(exchange)
        if permit is not None:
            allow(permit, package, title, protocol == PUBLISHES, exchange.connection.peer)
        if self.admission is None:
            await self._set_up(exchange, protocol, package, title, permit)
            return
        # before anything is parsed, so that a refusal costs little
        ticket = await self._admit(exchange, permit, package)
        played = False
        try:
            played = await self._set_up(exchange, protocol, package, title, permit)
        finally:
            self.admission.answered(ticket, self.now(), played)

    async def _admit(self, exchange: Exchange, permit: Permit | None, package: str) -> Ticket:
        """Waits for admission of the request. Raises `RequestError` with a time to retry if it is refused."""
        ticket = self.admission.request(
            exchange.connection.peer,
            permit.holder if permit else None,
            exchange.headers.get("user-agent", "").partition(" ")[0][:64],
            package,
            self.now(),
        )
        if ticket.state == "waiting":
            decided = self.admission_events[ticket] = anyio.Event()
            exchange.on_disconnect(decided.set)
            try:
                await decided.wait()
            finally:
                self.admission_events.pop(ticket, None)
                if ticket.state == "waiting" or exchange.connection.gone:
                    self.admission.disconnected(ticket, self.now())
            if exchange.connection.gone:
                raise PeerDisconnected
        if ticket.state == "no":
            # 429 (RFC 6585, 4) if the client exceeds its own rate; 503 if it only came at a time of high load
            status = 429 if ticket.limit else 503
            wait = str(-(-ticket.wait // NS))
            raise RequestError(status, ticket.cause, [("retry-after", wait)], ticket.wait // MS)
        return ticket

    def ticket_decided(self, ticket: Ticket) -> None:
        decided = self.admission_events.get(ticket)
        if decided is not None:
            decided.set()

    async def _set_up(self, exchange: Exchange, protocol: str, package: str, title: str, permit: Permit | None) -> bool:
        """Validates the request, passes it to the session core and writes the answer; returns whether the viewing plays."""
        if exchange.headers.get("content-type", "").partition(";")[0].strip().lower() != SDP:
            raise RequestError(415, f"sessions are asked for with an offer of type {SDP}", [("accept-post", SDP)])
        if package in self.session_core.packages and (package in self.published) != (protocol == PUBLISHES):
            other_protocol = PUBLISHES if protocol == PLAYS else PLAYS
            raise RequestError(404, f"package {package!r} is asked for at /{other_protocol}/")
        offer = self._offer(exchange, protocol)
        name, key = exchange.headers.get("x-request-id"), exchange.headers.get("idempotency-key")
        for header, value in (("X-Request-Id", name), ("Idempotency-Key", key)):
            if value is not None and not (0 < len(value) <= MAX_NAME_LENGTH and value.isprintable()):
                raise RequestError(400, f"{header} has to be 1 to {MAX_NAME_LENGTH} printable characters")
        # Without an Idempotency-Key the offer serves as the key, as its ICE credentials are new for each session (RFC 8839,
        # 5.4). Keys are scoped to the permit's holder, so that nobody reaches another's session by guessing its key.
        request_key = f"{permit.holder if permit else ''}\n{f'key {key}' if key else f'offer {protocol} {offer.identity}'}"
        self.request_count += 1
        viewer = self._viewer_name(exchange, package, title, permit, request_key)
        request = self.session_core.asked(
            name or f"r{self.request_count}",
            package,
            title,
            self._ceiling(exchange),
            self._patience(exchange, package),
            request_key,
            offer,
        )
        if viewer:
            self.shedding.request_accepted(request, viewer)
        await self._await_answer(exchange, request, permit)
        return request.answer.kind is AnswerKind.PLAYS

    def _viewer_name(self, exchange: Exchange, package: str, title: str, permit: Permit | None, key: str) -> str:
        """The name by which all fronts know the viewer under overload control: the client's own, with the permit's holder. Empty
        without overload control. A request whose key is known was admitted before and is not judged again. Raises
        `RequestError` with a time to retry if the viewing is not admitted."""
        if self.shedding is None:
            return ""
        client_name = exchange.headers.get("x-viewing", "")[:MAX_NAME_LENGTH]
        viewer = f"{permit.holder if permit else ''} {client_name or ('' if permit else key)}"
        if not self.session_core.draining and not self.session_core.knows(key):
            wait = self.shedding.admission_wait(package, title, viewer)
            if wait:
                raise RequestError(
                    503, "more is asked for than there is room", [("retry-after", str(-(-wait // NS)))], wait // MS
                )
        return viewer

    def _offer(self, exchange: Exchange, protocol: str) -> Offer:
        try:
            text = exchange.body.decode("utf-8")
            checked = checked_offer(text, protocol)
        except UnicodeDecodeError:
            raise RequestError(400, "the offer is not UTF-8 text") from None
        except InvalidDescription as error:
            raise RequestError(400, f"the offer: {error}") from None
        return Offer(identity(checked), text, protocol, checked.first("ice-ufrag", checked.media[0]))

    def _ceiling(self, exchange: Exchange) -> int | None:
        top = exchange.query.get("top")
        if top is None:
            return None
        if not top.isascii() or not top.isdigit() or len(top) > 3:
            raise RequestError(400, f"top has to be the number of a rung, got {top[:20]!r}")
        return int(top)

    def _patience(self, exchange: Exchange, package: str) -> int:
        """How long the request may take (ns): `Prefer: wait` (RFC 7240, 4.3; s) up to the package's patience, less `way_back`,
        the time reserved for the answer to reach the client."""
        service_class = self.session_core.packages.get(package)
        if service_class is None:
            return 0
        preferred = WAIT_PREFERENCE.search(exchange.headers.get("prefer", ""))
        patience = min(service_class.patience, int(preferred[1]) * NS) if preferred else service_class.patience
        return max(1, patience - self.way_back)

    async def _await_answer(self, exchange: Exchange, request: Request, permit: Permit | None) -> None:
        if request.answer is None:
            waiter = self.waiters[request] = anyio.Event()

            def peer_hung_up() -> None:
                self.session_core.hung_up(request)
                self.answer(request, None)

            exchange.on_disconnect(peer_hung_up)
            try:
                await waiter.wait()
            finally:
                # however the wait ended, this request needs no answer from the session core any more
                self.session_core.hung_up(request)
                self.waiters.pop(request, None)
        if request.answer is None:
            raise PeerDisconnected
        await self.write(exchange, request.answer, permit)

    async def write(self, exchange: Exchange, answer: Answer, permit: Permit | None = None) -> None:
        if answer.kind is AnswerKind.PLAYS:
            await self._write_plays(exchange, answer.front_session, permit)
        elif answer.kind is AnswerKind.REFUSED:
            # Retry-After is in whole seconds, rounded up so that no client returns sooner than advised
            wait = [("retry-after", str(-(-answer.wait // NS)))] if answer.wait else []
            await exchange.problem(503, answer.cause, headers=wait, retry_after_ms=answer.wait // MS or None)
        else:
            await exchange.problem(502, answer.cause)

    async def _write_plays(self, exchange: Exchange, front_session: FrontSession, permit: Permit | None) -> None:
        path = self.sessions.path_of(front_session, permit)
        etag = [("etag", front_session.session.etag)] if front_session.session.etag else []
        links = [("link", f'<{path}/layer>; rel="{LAYER_EXTENSION}"'), ("link", f'<{path}/events>; rel="{EVENTS_EXTENSION}"')]
        await exchange.answer(
            201,
            [("content-type", SDP), ("location", path), ("accept-patch", PATCH_CONTENT_TYPE), *etag, *links, *self._ice_links()],
            front_session.session.answer.encode(),
        )

    def _ice_links(self) -> list[tuple[str, str]]:
        return [("link", server) for server in self.ice_servers]
