"""The door: WHEP requests of viewers, checked before they cost anything, and answered once each."""

from __future__ import annotations

import re
import secrets

import anyio

from curlewshift.desk.course import Answer, Course, Kind, Request
from curlewshift.desk.desk import Desk, KeyReused, Misuse, Unknown
from curlewshift.exchange.server import Exchange, PeerGone
from curlewshift.front.reach import SDP, Offer
from curlewshift.signalling.bodies import BadBody, LayerChoice, decode
from curlewshift.signalling.sdp import BadDescription, checked_offer, identity

MS = 1_000_000
NS = 1_000_000_000
LAYERS = "urn:ietf:params:whep:ext:core:layer"
WAIT = re.compile(r"wait=([0-9]{1,6})")
MOST_NAME = 128


class Wrong(Exception):
    """What a request did wrong, and the status that says so."""

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status


class Door:
    """`way_back` (ns) is kept off a viewer's patience for the answer to travel in."""

    def __init__(self, way_back: int, log):
        self.way_back, self.log = way_back, log
        self.desk: Desk | None = None
        self.waiters: dict[Request, anyio.Event] = {}
        self.sessions: dict[str, Course] = {}
        self.tokens: dict[Course, str] = {}
        self.names = 0
        # requests read and not yet answered
        self.busy = 0

    # ---- the desk's side

    def answer(self, request: Request, answer: Answer) -> None:
        waiter = self.waiters.pop(request, None)
        if waiter is not None:
            waiter.set()

    def course(self, token: str) -> Course:
        course = self.sessions.get(token)
        if course is None or not course.vw.playing:
            raise Wrong(404, "there is no such session here")
        return course

    def sweep(self) -> None:
        """Forgets the names of sessions that have ended."""
        for course, token in list(self.tokens.items()):
            if course.vw not in self.desk.courses:
                del self.tokens[course], self.sessions[token]

    # ---- the viewers' side

    async def serve(self, exchange: Exchange) -> None:
        self.busy += 1
        try:
            await self._serve(exchange)
        finally:
            self.busy -= 1

    async def _serve(self, exchange: Exchange) -> None:
        try:
            parts = exchange.path.strip("/").split("/")
            if parts[0] == "whep" and len(parts) == 3:
                await self._play(exchange, *parts[1:])
            elif parts[0] == "session" and len(parts) in (2, 3):
                await self._session(exchange, parts)
            else:
                raise Wrong(404, "there is nothing at this path; viewings are asked for at /whep/PACKAGE/TITLE")
        except Wrong as wrong:
            await exchange.problem(wrong.status, str(wrong))
        except Unknown as wrong:
            await exchange.problem(404, str(wrong))
        except KeyReused as wrong:
            await exchange.problem(422, str(wrong))
        except Misuse as wrong:
            await exchange.problem(422, str(wrong))

    async def _play(self, exchange: Exchange, package: str, title: str) -> None:
        if exchange.method == "OPTIONS":
            await exchange.answer(204, [("accept-post", SDP), ("allow", "OPTIONS, POST")])
            return
        if exchange.method != "POST":
            raise Wrong(405, "a viewing is asked for by POST")
        if exchange.headers.get("content-type", "").partition(";")[0].strip().lower() != SDP:
            raise Wrong(415, f"a viewing is asked for with an offer of type {SDP}")
        try:
            text = exchange.body.decode("utf-8")
            offer = Offer(identity(checked_offer(text)), text)
        except UnicodeDecodeError:
            raise Wrong(400, "the offer is not UTF-8 text") from None
        except BadDescription as wrong:
            raise Wrong(400, f"the offer: {wrong}") from None
        name, key = exchange.headers.get("x-request-id"), exchange.headers.get("idempotency-key")
        for what, value in (("X-Request-Id", name), ("Idempotency-Key", key)):
            if value is not None and not (0 < len(value) <= MOST_NAME and value.isprintable()):
                raise Wrong(400, f"{what} has to be 1 to {MOST_NAME} printable characters")
        self.names += 1
        request = self.desk.asked(
            name or f"r{self.names}", package, title, self._ceiling(exchange), self._patience(exchange, package),
            key, offer)
        await self._answered(exchange, request)

    def _ceiling(self, exchange: Exchange) -> int | None:
        top = exchange.query.get("top")
        if top is None:
            return None
        if not top.isascii() or not top.isdigit() or len(top) > 3:
            raise Wrong(400, f"top has to be the number of a rung, got {top[:20]!r}")
        return int(top)

    def _patience(self, exchange: Exchange, package: str) -> int:
        """What the viewer says by `Prefer: wait` (RFC 7240, 4.3; s), or the package's, less the way back."""
        pack = self.desk.packages.get(package)
        if pack is None:
            return 0
        said = WAIT.search(exchange.headers.get("prefer", ""))
        patience = min(pack.patience, int(said[1]) * NS) if said else pack.patience
        return max(1, patience - self.way_back)

    async def _answered(self, exchange: Exchange, request: Request) -> None:
        if request.answer is None:
            waiter = self.waiters[request] = anyio.Event()

            def gone() -> None:
                self.desk.hung_up(request)
                self.answer(request, None)
            exchange.on_hang_up(gone)
            try:
                await waiter.wait()
            finally:
                # whatever ended the wait, nothing is owed to this request any more
                self.desk.hung_up(request)
                self.waiters.pop(request, None)
        if request.answer is None:
            raise PeerGone
        await self.write(exchange, request.answer)

    async def write(self, exchange: Exchange, answer: Answer) -> None:
        if answer.kind is Kind.PLAYS:
            await self._write_plays(exchange, answer.course)
        elif answer.kind is Kind.REFUSED:
            # whole seconds, rounded up: never sooner than advised
            wait = [("retry-after", str(-(-answer.wait // NS)))] if answer.wait else []
            await exchange.problem(503, answer.cause, headers=wait, retry_after_ms=answer.wait // MS or None)
        else:
            await exchange.problem(502, answer.cause)

    async def _write_plays(self, exchange: Exchange, course: Course) -> None:
        token = self.tokens.get(course)
        if token is None:
            token = self.tokens[course] = secrets.token_urlsafe(12)
            self.sessions[token] = course
        try:
            await exchange.answer(201, [
                ("content-type", SDP), ("location", f"/session/{token}"),
                ("link", f'</session/{token}/layer>; rel="{LAYERS}"')], course.session.answer.encode())
        except PeerGone:
            # with a key the viewer may come for its answer yet; without one, nobody ever will
            if course.key is None:
                self.desk.closed(course)
            raise

    async def _session(self, exchange: Exchange, parts: list[str]) -> None:
        course = self.course(parts[1])
        if len(parts) == 2 and exchange.method == "DELETE":
            self.log.info("closed", viewing=course.vw.name, cause="the viewer ended it")
            self.desk.closed(course)
            await exchange.answer(200)
        elif len(parts) == 3 and parts[2] == "layer" and exchange.method == "POST":
            try:
                rung = decode(exchange.body, LayerChoice).encoding_id
            except BadBody as wrong:
                raise Wrong(400, str(wrong)) from None
            if not rung.isascii() or not rung.isdigit() or len(rung) > 3:
                raise Wrong(400, f"encodingId has to be the number of a rung, got {rung[:20]!r}")
            self.desk.ceiling_told(course, int(rung))
            await exchange.answer(204)
        else:
            raise Wrong(405, "a session takes DELETE, and POST at its layer")
