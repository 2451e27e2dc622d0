"""The door: WHEP and WHIP requests, checked before they cost anything, and answered once each.

WHIP is RFC 9725, WHEP draft-ietf-wish-whep. What a session takes after it plays is in sessions.py beside this file.
"""

from __future__ import annotations

import re

import anyio

from curlewshift.exchange.server import Exchange, PeerDisconnected
from curlewshift.front.server_pool import SDP
from curlewshift.front.sessions import EVENTS, LAYERS, PATCHES, PREFLIGHT, RequestError, Sessions
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
WAIT = re.compile(r"wait=([0-9]{1,6})")
MOST_NAME = 128
# Any page may ask: what a request may do hangs on its token and not on where its page came from.
CORS = [
    ("access-control-allow-origin", "*"),
    ("access-control-expose-headers", "location, link, etag, retry-after, accept-patch"),
]


class HttpListener:
    """`permits` is None where anyone may ask."""

    def __init__(self, site: Site, log, permits: Permits | None = None):
        self.way_back, self.log, self.permits = site.obligations.way_back, log, permits
        self.published, self.ice_servers = site.published, site.ice_servers
        self.session_core: SessionCore | None = None
        self.now = None
        self.waiters: dict[Request, anyio.Event] = {}
        self.sessions = Sessions(self, log)
        self.admission: Admission | None = None
        self.admitted: dict[Ticket, anyio.Event] = {}
        # who is let in when not all can be; None: who comes first
        self.sheds = None
        self.names = 0
        # requests read and not yet answered
        self.busy = 0

    # ---- the desk's side

    def answer(self, request: Request, answer: Answer | None) -> None:
        waiter = self.waiters.pop(request, None)
        if waiter is not None:
            waiter.set()

    def rung_changed(self, front_session: FrontSession, rung: int) -> None:
        self.sessions.rung_changed(front_session, rung)

    def sweep(self) -> None:
        self.sessions.sweep()

    # ---- the viewers' side

    async def serve(self, exchange: Exchange) -> None:
        self.busy += 1
        exchange.common_headers = CORS
        try:
            await self._serve(exchange)
        except RequestError as wrong:
            await exchange.problem(wrong.status, str(wrong), headers=wrong.headers, retry_after_ms=wrong.retry_after_ms)
        except PermitDenied as wrong:
            await exchange.problem(wrong.status, str(wrong), headers=[("www-authenticate", wrong.challenge)])
        except InvalidRequest as wrong:
            await exchange.problem(404 if isinstance(wrong, UnknownResource) else 422, str(wrong))
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
        """Who asks, where tokens are asked for. Raises `PermitDenied`."""
        if self.permits is None:
            return None
        return self.permits.read(exchange.headers.get("authorization"), self.now())

    async def _endpoint(self, exchange: Exchange, way: str, package: str, title: str) -> None:
        if exchange.method == "OPTIONS":
            # a preflight bears no token (Fetch, 4.8), and tells nothing that a token would hide
            await exchange.answer(204, [("accept-post", SDP), ("allow", "OPTIONS, POST"), *PREFLIGHT, *self._ice()])
            return
        if exchange.method != "POST":
            raise RequestError(405, "sessions are asked for by POST", [("allow", "OPTIONS, POST")])
        permit = self.permit(exchange)
        if permit is not None:
            allow(permit, package, title, way == PUBLISHES, exchange.connection.peer)
        if self.admission is None:
            await self._taken(exchange, way, package, title, permit)
            return
        # before anything is parsed: to refuse has to cost little
        ticket = await self._admit(exchange, permit, package)
        played = False
        try:
            played = await self._taken(exchange, way, package, title, permit)
        finally:
            self.admission.answered(ticket, self.now(), played)

    async def _admit(self, exchange: Exchange, permit: Permit | None, package: str) -> Ticket:
        """A place for this request, perhaps after a wait. Raises `RequestError` with advice if there is none."""
        ticket = self.admission.request(
            exchange.connection.peer,
            permit.holder if permit else None,
            exchange.headers.get("user-agent", "").partition(" ")[0][:64],
            package,
            self.now(),
        )
        if ticket.state == "waiting":
            told = self.admitted[ticket] = anyio.Event()
            exchange.on_disconnect(told.set)
            try:
                await told.wait()
            finally:
                self.admitted.pop(ticket, None)
                if ticket.state == "waiting" or exchange.connection.gone:
                    self.admission.disconnected(ticket, self.now())
            if exchange.connection.gone:
                raise PeerDisconnected
        if ticket.state == "no":
            # RFC 6585, 4 for who asks too much; whoever only came at a full time is refused as ever
            status = 429 if ticket.limit else 503
            wait = str(-(-ticket.wait // NS))
            raise RequestError(status, ticket.cause, [("retry-after", wait)], ticket.wait // MS)
        return ticket

    def ticket_told(self, ticket: Ticket) -> None:
        told = self.admitted.get(ticket)
        if told is not None:
            told.set()

    async def _taken(self, exchange: Exchange, way: str, package: str, title: str, permit: Permit | None) -> bool:
        """Whether it plays."""
        if exchange.headers.get("content-type", "").partition(";")[0].strip().lower() != SDP:
            raise RequestError(415, f"sessions are asked for with an offer of type {SDP}", [("accept-post", SDP)])
        if package in self.session_core.packages and (package in self.published) != (way == PUBLISHES):
            other = PUBLISHES if way == PLAYS else PLAYS
            raise RequestError(404, f"package {package!r} is asked for at /{other}/")
        offer = self._offer(exchange, way)
        name, key = exchange.headers.get("x-request-id"), exchange.headers.get("idempotency-key")
        for what, value in (("X-Request-Id", name), ("Idempotency-Key", key)):
            if value is not None and not (0 < len(value) <= MOST_NAME and value.isprintable()):
                raise RequestError(400, f"{what} has to be 1 to {MOST_NAME} printable characters")
        # Without a key the offer is one: its credentials are made anew for each session (RFC 8839, 5.4). A holder's
        # keys are its own, so that nobody gets at another's session by guessing one.
        mine = f"{permit.holder if permit else ''}\n{f'key {key}' if key else f'offer {way} {offer.identity}'}"
        self.names += 1
        who = self._shed(exchange, package, title, permit, mine)
        request = self.session_core.asked(
            name or f"r{self.names}", package, title, self._ceiling(exchange), self._patience(exchange, package), mine, offer
        )
        if who:
            self.sheds.request_accepted(request, who)
        await self._answered(exchange, request, permit)
        return request.answer.kind is AnswerKind.PLAYS

    def _shed(self, exchange: Exchange, package: str, title: str, permit: Permit | None, key: str) -> str:
        """By what name the viewing is known at every front, where fronts shed: what its client calls it, or who holds the permit.
        Raises `RequestError` with advice if it is not let in. What is known by its key is in already, and goes round no more."""
        if self.sheds is None:
            return ""
        called = exchange.headers.get("x-viewing", "")[:MOST_NAME]
        who = f"{permit.holder if permit else ''} {called or ('' if permit else key)}"
        if not self.session_core.draining and not self.session_core.knows(key):
            wait = self.sheds.admission_wait(package, title, who)
            if wait:
                raise RequestError(
                    503, "more is asked for than there is room", [("retry-after", str(-(-wait // NS)))], wait // MS
                )
        return who

    def _offer(self, exchange: Exchange, way: str) -> Offer:
        try:
            text = exchange.body.decode("utf-8")
            checked = checked_offer(text, way)
        except UnicodeDecodeError:
            raise RequestError(400, "the offer is not UTF-8 text") from None
        except InvalidDescription as wrong:
            raise RequestError(400, f"the offer: {wrong}") from None
        return Offer(identity(checked), text, way, checked.first("ice-ufrag", checked.media[0]))

    def _ceiling(self, exchange: Exchange) -> int | None:
        top = exchange.query.get("top")
        if top is None:
            return None
        if not top.isascii() or not top.isdigit() or len(top) > 3:
            raise RequestError(400, f"top has to be the number of a rung, got {top[:20]!r}")
        return int(top)

    def _patience(self, exchange: Exchange, package: str) -> int:
        """What the viewer says by `Prefer: wait` (RFC 7240, 4.3; s), or the package's, less the way back."""
        pack = self.session_core.packages.get(package)
        if pack is None:
            return 0
        said = WAIT.search(exchange.headers.get("prefer", ""))
        patience = min(pack.patience, int(said[1]) * NS) if said else pack.patience
        return max(1, patience - self.way_back)

    async def _answered(self, exchange: Exchange, request: Request, permit: Permit | None) -> None:
        if request.answer is None:
            waiter = self.waiters[request] = anyio.Event()

            def gone() -> None:
                self.session_core.hung_up(request)
                self.answer(request, None)

            exchange.on_disconnect(gone)
            try:
                await waiter.wait()
            finally:
                # whatever ended the wait, nothing is owed to this request any more
                self.session_core.hung_up(request)
                self.waiters.pop(request, None)
        if request.answer is None:
            raise PeerDisconnected
        await self.write(exchange, request.answer, permit)

    async def write(self, exchange: Exchange, answer: Answer, permit: Permit | None = None) -> None:
        if answer.kind is AnswerKind.PLAYS:
            await self._write_plays(exchange, answer.front_session, permit)
        elif answer.kind is AnswerKind.REFUSED:
            # whole seconds, rounded up: never sooner than advised
            wait = [("retry-after", str(-(-answer.wait // NS)))] if answer.wait else []
            await exchange.problem(503, answer.cause, headers=wait, retry_after_ms=answer.wait // MS or None)
        else:
            await exchange.problem(502, answer.cause)

    async def _write_plays(self, exchange: Exchange, front_session: FrontSession, permit: Permit | None) -> None:
        path = self.sessions.path_of(front_session, permit)
        etag = [("etag", front_session.session.etag)] if front_session.session.etag else []
        links = [("link", f'<{path}/layer>; rel="{LAYERS}"'), ("link", f'<{path}/events>; rel="{EVENTS}"')]
        await exchange.answer(
            201,
            [("content-type", SDP), ("location", path), ("accept-patch", PATCHES), *etag, *links, *self._ice()],
            front_session.session.answer.encode(),
        )

    def _ice(self) -> list[tuple[str, str]]:
        return [("link", server) for server in self.ice_servers]
