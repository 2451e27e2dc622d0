"""The answering side: one task reads a connection, one serves its requests in order.

Called by the front's door and by the stand-ins with a handler for one request. Whatever a peer does, slow, cut off,
malformed or too long, ends with a 4xx or the end of its own connection, and never with anyone else's.
"""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Awaitable, Callable

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.tls import TLSListener

from curlewshift.exchange.accepting import PausingListener
from curlewshift.signalling.bodies import PROBLEM_TYPE, Problem, encode

# A head has to be there this long after its first byte, and a body this long after its head (s).
HEAD_WITHIN = 5.0
HANDSHAKE_WITHIN = 5.0
BODY_WITHIN = 5.0
IDLE_FOR = 30.0
WRITE_WITHIN = 5.0
MOST_HEAD = 16 * 1024
MOST_BODY = 64 * 1024
# Bytes read ahead of a handler at work, pipelined requests among them.
MOST_AHEAD = 64 * 1024

REASONS = {
    200: "OK",
    201: "Created",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    422: "Unprocessable Content",
    428: "Precondition Required",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class PeerDisconnected(Exception):
    """The peer has closed or broken the connection."""


class TooMuch(Exception):
    """More than is read: `status` and `wrong` go to the peer, then the connection ends."""

    def __init__(self, status: int, wrong: str):
        super().__init__(wrong)
        self.status, self.wrong = status, wrong


class Exchange:
    """One request, and the means to answer it once."""

    __slots__ = ("answered", "body", "common_headers", "connection", "headers", "method", "path", "query", "target")

    def __init__(self, connection: HttpConnection, method: str, target: str, headers: dict[str, str], body: bytes):
        self.connection, self.method, self.target, self.headers, self.body = connection, method, target, headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        self.answered = False
        # headers of every answer
        self.common_headers: list[tuple[str, str]] = []

    async def answer(self, status: int, headers: list[tuple[str, str]] = (), body: bytes = b"") -> None:
        """Raises `PeerDisconnected`."""
        self.answered = True
        await self.connection.send_whole(status, [*self.common_headers, *headers], body)

    async def problem(
        self,
        status: int,
        detail: str,
        type: str = "about:blank",
        headers: list[tuple[str, str]] = (),
        retry_after_ms: int | None = None,
    ) -> None:
        """Problem details (RFC 9457)."""
        body = Problem(type=type, title=REASONS.get(status, "Error"), status=status, detail=detail, retry_after_ms=retry_after_ms)
        await self.answer(status, [("content-type", PROBLEM_TYPE), *headers], encode(body))

    async def start(self, status: int, headers: list[tuple[str, str]]) -> Callable[[bytes], Awaitable[None]]:
        """A body of no known length: returns what sends a piece of it. The connection ends with it."""
        self.answered = True
        return await self.connection.send_open(status, [*self.common_headers, *headers])

    def on_disconnect(self, call: Callable[[], None]) -> None:
        """`call` runs once the peer has closed or broken the connection, at once if it has."""
        self.connection.on_gone(call)

    def abort(self) -> None:
        """End the connection with a reset and without an answer."""
        self.answered = True
        self.connection.reset()


Handler = Callable[[Exchange], Awaitable[None]]


class HttpConnection:
    """One connection. `name` is the peer's address."""

    def __init__(self, stream: SocketStream, handler: Handler):
        self.stream, self.handler = stream, handler
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.ahead, self.more, self.room = bytearray(), anyio.Event(), anyio.Event()
        self.gone = False
        self.gone_calls: list[Callable[[], None]] = []
        self.headless = self.is_busy = False
        # since when nothing is asked on it
        self.idle_since_s = time.monotonic()
        self.peer = stream.extra(SocketAttribute.remote_address)[0]

    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump)
                try:
                    while await self._serve_one():
                        pass
                except (PeerDisconnected, TimeoutError):
                    pass
                finally:
                    tasks.cancel_scope.cancel()
        finally:
            # also when cancelled: a socket left open would look to the peer like one that still serves it
            self._is_gone()
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await self.stream.aclose()

    async def _pump(self) -> None:
        try:
            while True:
                data = await self.stream.receive(65536)
                if len(self.ahead) > MOST_AHEAD:
                    self.room = anyio.Event()
                    await self.room.wait()
                self.ahead += data
                self.more.set()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            self._is_gone()

    def _is_gone(self) -> None:
        self.gone = True
        self.more.set()
        calls, self.gone_calls = self.gone_calls, []
        for call in calls:
            call()

    def on_gone(self, call: Callable[[], None]) -> None:
        if self.gone:
            call()
        else:
            self.gone_calls.append(call)

    def off_gone(self) -> None:
        self.gone_calls.clear()

    def _event_here(self):
        """The next event that what has been read makes, or `h11.NEED_DATA`."""
        event = self.http.next_event()
        if event is h11.NEED_DATA and self.ahead:
            data = bytes(self.ahead)
            self.ahead.clear()
            self.room.set()
            self.http.receive_data(data)
            event = self.http.next_event()
        return event

    async def _event(self):
        while (event := self._event_here()) is h11.NEED_DATA:
            while not self.ahead:
                if self.gone:
                    raise PeerDisconnected
                self.more = anyio.Event()
                await self.more.wait()
        return event

    async def _event_within(self, limit: float, what: str):
        # most messages come whole, and a scope for each costs more than reading it
        event = self._event_here()
        if event is h11.NEED_DATA:
            with anyio.move_on_after(limit):
                return await self._event()
            raise TooMuch(408, f"the {what} of the request was not there in time")
        return event

    async def _serve_one(self) -> bool:
        try:
            exchange = await self._read()
        except TooMuch as wrong:
            await self._last_words(wrong.status, wrong.wrong)
            return False
        except h11.RemoteProtocolError as wrong:
            await self._last_words(wrong.error_status_hint or 400, f"this is not HTTP/1.1: {wrong}")
            return False
        if exchange is None:
            return False
        self.is_busy = True
        try:
            await self.handler(exchange)
        finally:
            self.is_busy = False
            self.idle_since_s = time.monotonic()
        self.off_gone()
        if not exchange.answered:
            raise AssertionError(f"{exchange.method} {exchange.target} was not answered")
        if self.http.our_state is h11.SEND_BODY and not self.gone:
            await self._send(self.http.send(h11.EndOfMessage()))
        if self.gone or self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    async def _read(self) -> Exchange | None:
        # the time for a head starts with its first byte: an idle connection owes nothing
        if not self.ahead and not self.http.trailing_data[0]:
            with anyio.move_on_after(IDLE_FOR) as idle:
                while not self.ahead:
                    if self.gone:
                        return None
                    self.more = anyio.Event()
                    await self.more.wait()
            if idle.cancelled_caught:
                return None
        request = await self._event_within(HEAD_WITHIN, "head")
        if not isinstance(request, h11.Request):
            return None
        self.headless = request.method == b"HEAD"
        body = bytearray()
        ends = anyio.current_time() + BODY_WITHIN
        while True:
            event = await self._event_within(max(0.0, ends - anyio.current_time()), "body")
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_BODY:
                    raise TooMuch(413, f"the body is longer than {MOST_BODY} bytes")
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers}
        return Exchange(self, request.method.decode("latin-1"), request.target.decode("latin-1"), headers, bytes(body))

    async def _last_words(self, status: int, wrong: str) -> None:
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = encode(Problem(title=REASONS.get(status, "Error"), status=status, detail=wrong))
            await self.send_whole(status, [("content-type", PROBLEM_TYPE), ("connection", "close")], body)
            # what the peer still sends must be read for a while, or the reset it causes would eat the answer
            with anyio.move_on_after(0.5):
                while not self.gone:
                    self.ahead.clear()
                    self.room.set()
                    self.more = anyio.Event()
                    await self.more.wait()

    async def send_whole(self, status: int, headers, body: bytes) -> None:
        head = h11.Response(
            status_code=status, reason=REASONS.get(status, ""), headers=[*headers, ("content-length", str(len(body)))]
        )
        # a HEAD is answered with the length of what is left out (RFC 9110, 9.3.2)
        data = self.http.send(head) or b""
        if not self.headless:
            data += self.http.send(h11.Data(data=body)) or b""
        await self._send(data + (self.http.send(h11.EndOfMessage()) or b""))

    async def send_open(self, status: int, headers):
        head = h11.Response(status_code=status, reason=REASONS.get(status, ""), headers=[*headers, ("connection", "close")])
        await self._send(self.http.send(head))

        async def piece(data: bytes) -> None:
            await self._send(self.http.send(h11.Data(data=data)))

        return piece

    async def _send(self, data: bytes) -> None:
        try:
            with anyio.fail_after(WRITE_WITHIN):
                await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError, TimeoutError):
            self._is_gone()
            raise PeerDisconnected from None

    def drop(self) -> None:
        """Closed from this side, as nothing is asked on it."""
        try:
            self.stream.extra(SocketAttribute.raw_socket).shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def reset(self) -> None:
        raw = self.stream.extra(SocketAttribute.raw_socket)
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
        self.gone = True


class QuietListener(TLSListener):
    """A handshake that fails costs its own connection and no line in any log: anyone can make it fail."""

    @staticmethod
    async def handle_handshake_error(exc: BaseException, stream) -> None:
        await anyio.aclose_forcefully(stream)
        if not isinstance(exc, Exception):
            raise exc


async def serve(listener, handler: Handler, on_fault: Callable[[Exception], None], tasks=None, tls=None, gate=None) -> None:
    """Serves until cancelled, or until the listener is closed; connections had by then go on in `tasks`.

    `on_fault` hears of a handler that failed, which costs its own connection and no other. `tls` is an ssl context.
    """
    listener = PausingListener(listener, gate)
    if tls is not None:
        listener = QuietListener(listener, tls, standard_compatible=False, handshake_timeout=HANDSHAKE_WITHIN)

    async def one(stream: SocketStream) -> None:
        connection = HttpConnection(stream, handler)
        if gate is not None:
            gate.opened(connection)
        try:
            await connection.run()
        except Exception as fault:
            on_fault(fault)
        finally:
            if gate is not None:
                gate.closed(connection)

    try:
        await listener.serve(one, task_group=tasks)
    except anyio.ClosedResourceError:
        pass
    finally:
        with anyio.CancelScope(shield=True):
            await listener.aclose()
