"""Requests on a session that plays (PATCH, DELETE, layers and events), at an address that does not name its server."""

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
from curlewshift.signalling.fragments import CONTENT_TYPE as PATCH_CONTENT_TYPE
from curlewshift.signalling.fragments import parse_fragment
from curlewshift.signalling.sdp import InvalidDescription

LAYER_EXTENSION = "urn:ietf:params:whep:ext:core:layer"
EVENTS_EXTENSION = "urn:ietf:params:whep:ext:core:server-sent-events"
# CORS headers of preflight answers, which endpoints and sessions give without a token.
PREFLIGHT_HEADERS = [
    ("access-control-allow-methods", "OPTIONS, POST, PATCH, DELETE, GET"),
    (
        "access-control-allow-headers",
        "authorization, content-type, if-match, idempotency-key, prefer, x-request-id, last-event-id",
    ),
    ("access-control-max-age", "600"),
]
KNOWN_EVENTS = ("active", "inactive", "layers")
# Event streams per session, and how often an idle one sends a keep-alive comment.
MAX_EVENT_STREAMS = 4
KEEP_ALIVE_INTERVAL_S = 5.0
# How long to wait for a patch to be answered: it may be queued behind others, and its server may hang.
PATCH_TIMEOUT_S = 5.0


class RequestError(Exception):
    """A request that is refused, with the HTTP status, headers and retry advice (ms) of the answer."""

    def __init__(self, status: int, detail: str, headers: list[tuple[str, str]] = (), retry_after_ms: int | None = None):
        super().__init__(detail)
        self.status, self.headers, self.retry_after_ms = status, list(headers), retry_after_ms


@dataclass(eq=False, slots=True)
class ClientSession:
    """A session as its client sees it. `streams` maps the names of its event streams to the kinds of events subscribed to;
    `changed` is set and replaced when its rung changes."""

    front_session: FrontSession
    token: str
    holder: str | None
    streams: dict[str, frozenset[str]] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)


class Sessions:
    """The sessions that clients can address, by token, and the requests on them."""

    def __init__(self, http_listener, log):
        self.http_listener, self.log = http_listener, log
        self.by_token: dict[str, ClientSession] = {}
        self.by_front_session: dict[FrontSession, ClientSession] = {}
        # records what must be known after a kill; None without a state folder
        self.session_writer = None

    def path_of(self, front_session: FrontSession, permit: Permit | None) -> str:
        client_session = self.by_front_session.get(front_session)
        if client_session is None:
            client_session = ClientSession(front_session, secrets.token_urlsafe(16), permit.holder if permit else None)
            self.by_front_session[front_session] = self.by_token[client_session.token] = client_session
            if self.session_writer is not None:
                self.session_writer.began(client_session.token, client_session.holder, front_session)
        return f"/session/{client_session.token}"

    def restore(self, front_session: FrontSession, token: str, holder: str | None) -> None:
        """Makes a session of an earlier life reachable at the address that its client knows."""
        self.by_front_session[front_session] = self.by_token[token] = ClientSession(front_session, token, holder)

    def rung_changed(self, front_session: FrontSession, rung: int) -> None:
        client_session = self.by_front_session.get(front_session)
        if client_session is not None:
            if self.session_writer is not None:
                self.session_writer.changed(client_session.token, rung=rung)
            client_session.changed.set()
            client_session.changed = anyio.Event()

    def sweep(self) -> None:
        """Removes sessions that have ended; their event streams send a last event and end."""
        for front_session, client_session in list(self.by_front_session.items()):
            if front_session.viewing not in self.http_listener.session_core.front_sessions:
                del self.by_front_session[front_session], self.by_token[client_session.token]
                client_session.changed.set()
                if self.session_writer is not None:
                    self.session_writer.ended(client_session.token)

    # ---- requests

    async def serve(self, exchange: Exchange, token: str, subpath: list[str]) -> None:
        if exchange.method == "OPTIONS":
            await exchange.answer(
                204, [("accept-patch", PATCH_CONTENT_TYPE), ("allow", "OPTIONS, PATCH, DELETE"), *PREFLIGHT_HEADERS]
            )
            return
        permit = self.http_listener.permit(exchange)
        client_session = self.by_token.get(token)
        if client_session is None or not client_session.front_session.viewing.playing:
            raise RequestError(404, "there is no such session here")
        if permit is not None and permit.holder != client_session.holder:
            raise PermitDenied(403, "insufficient_scope", "the session is another's")
        if not subpath and exchange.method == "DELETE":
            self.log.info("closed", viewing=client_session.front_session.viewing.name, cause="the viewer ended the session")
            self.http_listener.session_core.closed(client_session.front_session)
            await exchange.answer(200)
        elif not subpath and exchange.method == "PATCH":
            await self._patch(exchange, client_session)
        elif subpath == ["layer"] and exchange.method == "POST":
            await self._layer(exchange, client_session)
        elif subpath == ["events"] and exchange.method == "POST":
            await self._subscribe(exchange, client_session)
        elif subpath[:1] == ["events"] and len(subpath) == 2 and exchange.method == "GET":
            await self._stream(exchange, client_session, subpath[1])
        else:
            # GET, HEAD and PUT of a session are reserved for future versions of the protocol (RFC 9725, 4.2)
            raise RequestError(
                405, "a session takes PATCH and DELETE, its layer and its events POST", [("allow", "OPTIONS, PATCH, DELETE")]
            )

    async def _patch(self, exchange: Exchange, client_session: ClientSession) -> None:
        if exchange.headers.get("content-type", "").partition(";")[0].strip().lower() != PATCH_CONTENT_TYPE:
            raise RequestError(415, f"a session is patched with {PATCH_CONTENT_TYPE}", [("accept-patch", PATCH_CONTENT_TYPE)])
        try:
            fragment = parse_fragment(exchange.body.decode("utf-8"))
        except UnicodeDecodeError:
            raise RequestError(400, "the fragment is not UTF-8 text") from None
        except InvalidDescription as error:
            raise RequestError(400, f"the fragment: {error}") from None
        finished = anyio.Event()
        commands: list[ServerCommand] = []

        def on_finished(command: ServerCommand) -> None:
            commands.append(command)
            if self.session_writer is not None:
                self.session_writer.changed(
                    client_session.token,
                    etag=client_session.front_session.session.etag,
                    ufrag=client_session.front_session.session.ufrag,
                )
            finished.set()

        exchange.on_disconnect(finished.set)
        self.http_listener.session_core.patched(
            client_session.front_session, Patch(exchange.body, fragment, exchange.headers.get("if-match")), on_finished
        )
        with anyio.move_on_after(PATCH_TIMEOUT_S):
            await finished.wait()
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

    async def _layer(self, exchange: Exchange, client_session: ClientSession) -> None:
        try:
            rung = decode(exchange.body, LayerChoice).encoding_id
        except InvalidBody as error:
            raise RequestError(400, str(error)) from None
        if not rung.isascii() or not rung.isdigit() or len(rung) > 3:
            raise RequestError(400, f"encodingId has to be the number of a rung, got {rung[:20]!r}")
        self.http_listener.session_core.ceiling_told(client_session.front_session, int(rung))
        if self.session_writer is not None:
            self.session_writer.changed(client_session.token, ceiling=client_session.front_session.viewing.ceiling)
        await exchange.answer(204)

    # ---- server-sent events

    async def _subscribe(self, exchange: Exchange, client_session: ClientSession) -> None:
        try:
            kinds = frozenset(decode(exchange.body or b"[]", list[str]))
        except InvalidBody as error:
            raise RequestError(400, str(error)) from None
        if len(client_session.streams) >= MAX_EVENT_STREAMS:
            raise RequestError(409, f"this session has {MAX_EVENT_STREAMS} event streams")
        name = secrets.token_urlsafe(6)
        client_session.streams[name] = (kinds or frozenset(KNOWN_EVENTS)) & frozenset(KNOWN_EVENTS)
        await exchange.answer(201, [("location", f"/session/{client_session.token}/events/{name}")])

    async def _stream(self, exchange: Exchange, client_session: ClientSession, name: str) -> None:
        kinds = client_session.streams.get(name)
        if kinds is None:
            raise RequestError(404, "there is no such event stream")
        send = await exchange.start(200, [("content-type", CONTENT_TYPE)])
        try:
            if "active" in kinds:
                await send(encode_event(Event("active", "{}")))
            await self._send_events(exchange, client_session, kinds, send)
        finally:
            client_session.streams.pop(name, None)

    async def _send_events(self, exchange: Exchange, client_session: ClientSession, kinds: frozenset[str], send) -> None:
        sent_rung, viewing = None, client_session.front_session.viewing
        while not exchange.connection.gone:
            changed = client_session.changed
            if not viewing.playing:
                if "inactive" in kinds:
                    await send(encode_event(Event("inactive", "{}")))
                return
            if "layers" in kinds and viewing.rung != sent_rung:
                sent_rung = viewing.rung
                await send(encode_event(Event("layers", layers(viewing.package.rates, viewing.ceiling, sent_rung))))
            with anyio.move_on_after(KEEP_ALIVE_INTERVAL_S) as idle:
                await changed.wait()
            if idle.cancelled_caught:
                await send(KEEP_ALIVE)


def layers(rates: tuple[float, ...], ceiling: int, rung: int) -> str:
    """The body of a `layers` event: the current rung is the active encoding; bitrates are in bits per second."""
    encodings = [{"encodingId": str(number), "bitrate": int(rate * 8000)} for number, rate in enumerate(rates)]
    return msgspec.json.encode(
        {
            "0": {
                "active": [encodings[rung]],
                "inactive": [encoding for number, encoding in enumerate(encodings) if number != rung and number <= ceiling],
            }
        }
    ).decode()
