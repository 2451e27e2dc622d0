"""What a session takes after it plays: PATCH, DELETE, layers and events, at an address that names no server."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field

import anyio
import msgspec

from curlewshift.exchange.server import Exchange, PeerDisconnected
from curlewshift.front.server_pool import Patch
from curlewshift.limits.permits import Permit, PermitDenied
from curlewshift.session_core.front_session import FrontSession
from curlewshift.session_core.server_commands import Result, ServerCommand
from curlewshift.signalling.bodies import InvalidBody, LayerChoice, decode
from curlewshift.signalling.events import CONTENT_TYPE, KEEP_ALIVE, Event, encode_event
from curlewshift.signalling.fragments import CONTENT_TYPE as PATCHES
from curlewshift.signalling.fragments import parse_fragment
from curlewshift.signalling.sdp import InvalidDescription

LAYERS = "urn:ietf:params:whep:ext:core:layer"
EVENTS = "urn:ietf:params:whep:ext:core:server-sent-events"
# What a page may send, answered without a token at endpoints and sessions alike.
PREFLIGHT = [
    ("access-control-allow-methods", "OPTIONS, POST, PATCH, DELETE, GET"),
    (
        "access-control-allow-headers",
        "authorization, content-type, if-match, idempotency-key, prefer, x-request-id, last-event-id",
    ),
    ("access-control-max-age", "600"),
]
KNOWN_EVENTS = ("active", "inactive", "layers")
# Event streams of one session, and how often they say that they live (s).
MOST_STREAMS = 4
ALIVE_EVERY = 5.0
# A patch is not waited for longer than this: it may wait behind others, and its server may hang (s).
PATCH_WITHIN = 5.0


class RequestError(Exception):
    """What a request did wrong, and the status that says so."""

    def __init__(self, status: int, detail: str, headers: list[tuple[str, str]] = (), retry_after_ms: int | None = None):
        super().__init__(detail)
        self.status, self.headers, self.retry_after_ms = status, list(headers), retry_after_ms


@dataclass(eq=False, slots=True)
class Held:
    """One session at the door. `streams` are its event streams by name: the kinds wanted and what has changed."""

    front_session: FrontSession
    token: str
    holder: str | None
    streams: dict[str, frozenset[str]] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)


class Sessions:
    def __init__(self, door, log):
        self.door, self.log = door, log
        self.by_token: dict[str, Held] = {}
        self.by_front_session: dict[FrontSession, Held] = {}
        # writes down what has to be known after a kill; None where nothing is kept
        self.keeper = None

    def path_of(self, front_session: FrontSession, permit: Permit | None) -> str:
        held = self.by_front_session.get(front_session)
        if held is None:
            held = Held(front_session, secrets.token_urlsafe(16), permit.holder if permit else None)
            self.by_front_session[front_session] = self.by_token[held.token] = held
            if self.keeper is not None:
                self.keeper.began(held.token, held.holder, front_session)
        return f"/session/{held.token}"

    def take_up(self, front_session: FrontSession, token: str, holder: str | None) -> None:
        """A session of an earlier life goes on at the address that its client has."""
        self.by_front_session[front_session] = self.by_token[token] = Held(front_session, token, holder)

    def rung_changed(self, front_session: FrontSession, rung: int) -> None:
        held = self.by_front_session.get(front_session)
        if held is not None:
            if self.keeper is not None:
                self.keeper.changed(held.token, rung=rung)
            held.changed.set()
            held.changed = anyio.Event()

    def sweep(self) -> None:
        """Forgets sessions that have ended; their event streams end with a last word."""
        for front_session, held in list(self.by_front_session.items()):
            if front_session.viewing not in self.door.session_core.front_sessions:
                del self.by_front_session[front_session], self.by_token[held.token]
                held.changed.set()
                if self.keeper is not None:
                    self.keeper.ended(held.token)

    # ---- requests

    async def serve(self, exchange: Exchange, token: str, rest: list[str]) -> None:
        if exchange.method == "OPTIONS":
            await exchange.answer(204, [("accept-patch", PATCHES), ("allow", "OPTIONS, PATCH, DELETE"), *PREFLIGHT])
            return
        permit = self.door.permit(exchange)
        held = self.by_token.get(token)
        if held is None or not held.front_session.viewing.playing:
            raise RequestError(404, "there is no such session here")
        if permit is not None and permit.holder != held.holder:
            raise PermitDenied(403, "insufficient_scope", "the session is another's")
        if not rest and exchange.method == "DELETE":
            self.log.info("closed", viewing=held.front_session.viewing.name, cause="the viewer ended it")
            self.door.session_core.closed(held.front_session)
            await exchange.answer(200)
        elif not rest and exchange.method == "PATCH":
            await self._patch(exchange, held)
        elif rest == ["layer"] and exchange.method == "POST":
            await self._layer(exchange, held)
        elif rest == ["events"] and exchange.method == "POST":
            await self._subscribe(exchange, held)
        elif rest[:1] == ["events"] and len(rest) == 2 and exchange.method == "GET":
            await self._stream(exchange, held, rest[1])
        else:
            # GET, HEAD and PUT of a session are for other versions of the papers (RFC 9725, 4.2)
            raise RequestError(
                405, "a session takes PATCH and DELETE, its layer and its events POST", [("allow", "OPTIONS, PATCH, DELETE")]
            )

    async def _patch(self, exchange: Exchange, held: Held) -> None:
        if exchange.headers.get("content-type", "").partition(";")[0].strip().lower() != PATCHES:
            raise RequestError(415, f"a session is patched with {PATCHES}", [("accept-patch", PATCHES)])
        try:
            fragment = parse_fragment(exchange.body.decode("utf-8"))
        except UnicodeDecodeError:
            raise RequestError(400, "the fragment is not UTF-8 text") from None
        except InvalidDescription as wrong:
            raise RequestError(400, f"the fragment: {wrong}") from None
        ended = anyio.Event()
        commands: list[ServerCommand] = []

        def told(command: ServerCommand) -> None:
            commands.append(command)
            if self.keeper is not None:
                self.keeper.changed(held.token, etag=held.front_session.session.etag, ufrag=held.front_session.session.ufrag)
            ended.set()

        exchange.on_disconnect(ended.set)
        self.door.session_core.patched(held.front_session, Patch(exchange.body, fragment, exchange.headers.get("if-match")), told)
        with anyio.move_on_after(PATCH_WITHIN):
            await ended.wait()
        if exchange.connection.gone:
            raise PeerDisconnected
        await self._patched(exchange, commands[0] if commands else None)

    async def _patched(self, exchange: Exchange, command: ServerCommand | None) -> None:
        if command is not None and command.reply is not None:
            await exchange.answer(command.reply.status, command.reply.headers, command.reply.body)
        elif command is not None and command.result is Result.ENDED:
            raise RequestError(404, "the session has ended")
        elif command is not None and command.result is Result.QUEUE_FULL:
            raise RequestError(503, "too many changes of this session wait", [("retry-after", "1")])
        else:
            raise RequestError(504, "the server of this session did not answer; the change may have been taken all the same")

    async def _layer(self, exchange: Exchange, held: Held) -> None:
        try:
            rung = decode(exchange.body, LayerChoice).encoding_id
        except InvalidBody as wrong:
            raise RequestError(400, str(wrong)) from None
        if not rung.isascii() or not rung.isdigit() or len(rung) > 3:
            raise RequestError(400, f"encodingId has to be the number of a rung, got {rung[:20]!r}")
        self.door.session_core.ceiling_told(held.front_session, int(rung))
        if self.keeper is not None:
            self.keeper.changed(held.token, ceiling=held.front_session.viewing.ceiling)
        await exchange.answer(204)

    # ---- server-sent events

    async def _subscribe(self, exchange: Exchange, held: Held) -> None:
        try:
            kinds = frozenset(decode(exchange.body or b"[]", list[str]))
        except InvalidBody as wrong:
            raise RequestError(400, str(wrong)) from None
        if len(held.streams) >= MOST_STREAMS:
            raise RequestError(409, f"this session has {MOST_STREAMS} event streams")
        name = secrets.token_urlsafe(6)
        held.streams[name] = (kinds or frozenset(KNOWN_EVENTS)) & frozenset(KNOWN_EVENTS)
        await exchange.answer(201, [("location", f"/session/{held.token}/events/{name}")])

    async def _stream(self, exchange: Exchange, held: Held, name: str) -> None:
        kinds = held.streams.get(name)
        if kinds is None:
            raise RequestError(404, "there is no such event stream")
        piece = await exchange.start(200, [("content-type", CONTENT_TYPE)])
        try:
            if "active" in kinds:
                await piece(encode_event(Event("active", "{}")))
            await self._tell(exchange, held, kinds, piece)
        finally:
            held.streams.pop(name, None)

    async def _tell(self, exchange: Exchange, held: Held, kinds: frozenset[str], piece) -> None:
        told, viewing = None, held.front_session.viewing
        while not exchange.connection.gone:
            changed = held.changed
            if not viewing.playing:
                if "inactive" in kinds:
                    await piece(encode_event(Event("inactive", "{}")))
                return
            if "layers" in kinds and viewing.rung != told:
                told = viewing.rung
                await piece(encode_event(Event("layers", layers(viewing.package.rates, viewing.ceiling, told))))
            with anyio.move_on_after(ALIVE_EVERY) as quiet:
                await changed.wait()
            if quiet.cancelled_caught:
                await piece(KEEP_ALIVE)


def layers(rates: tuple[float, ...], ceiling: int, rung: int) -> str:
    """The body of a `layers` event: the rung in force is the active encoding, bitrates are bits a second."""
    rows = [{"encodingId": str(number), "bitrate": int(rate * 8000)} for number, rate in enumerate(rates)]
    return msgspec.json.encode(
        {
            "0": {
                "active": [rows[rung]],
                "inactive": [row for number, row in enumerate(rows) if number != rung and number <= ceiling],
            }
        }
    ).decode()
