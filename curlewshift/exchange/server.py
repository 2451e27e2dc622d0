"""HTTP/1.1 server: for each connection one task reads, another serves the requests in order.

Used by the front's HTTP listener and by the stand-ins (test doubles) with a handler for one request. A slow, truncated, malformed
or oversized request ends with a 4xx or the end of its own connection, and affects no other connection.
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

# The head must be complete this long after its first byte, and the body this long after the head.
HEAD_TIMEOUT_S = 5.0
HANDSHAKE_TIMEOUT_S = 5.0
BODY_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 30.0
WRITE_TIMEOUT_S = 5.0
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
# Bytes that are read while a handler is working, such as pipelined requests.
MAX_READ_AHEAD_BYTES = 64 * 1024

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
    """The peer has closed or reset the connection."""


class RequestRejected(Exception):
    """A request is too slow or too large: `status` and `detail` are sent to the peer, then the connection ends."""

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status, self.detail = status, detail


class Exchange:
    """One request, which the handler answers exactly once."""

    __slots__ = ("answered", "body", "common_headers", "connection", "headers", "method", "path", "query", "target")

    def __init__(self, connection: HttpConnection, method: str, target: str, headers: dict[str, str], body: bytes):
        self.connection, self.method, self.target, self.headers, self.body = connection, method, target, headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        self.answered = False
        # headers added to every answer
        self.common_headers: list[tuple[str, str]] = []

    async def answer(self, status: int, headers: list[tuple[str, str]] = (), body: bytes = b"") -> None:
        """Sends a complete answer. Raises `PeerDisconnected`."""
        self.answered = True
        await self.connection.send_response(status, [*self.common_headers, *headers], body)

    async def problem(
        self,
        status: int,
        detail: str,
        type: str = "about:blank",
        headers: list[tuple[str, str]] = (),
        retry_after_ms: int | None = None,
    ) -> None:
        """Answers with problem details (RFC 9457). Raises `PeerDisconnected`."""
        body = Problem(type=type, title=REASONS.get(status, "Error"), status=status, detail=detail, retry_after_ms=retry_after_ms)
        await self.answer(status, [("content-type", PROBLEM_TYPE), *headers], encode(body))

    async def start(self, status: int, headers: list[tuple[str, str]]) -> Callable[[bytes], Awaitable[None]]:
        """Starts an answer of unknown length; returns a function that sends a piece of its body. The connection closes after
        it. Both raise `PeerDisconnected`."""
        self.answered = True
        return await self.connection.start_response(status, [*self.common_headers, *headers])

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Calls `callback` when the peer closes or resets the connection; at once if that has happened."""
        self.connection.on_disconnect(callback)

    def abort(self) -> None:
        """Resets the connection without an answer."""
        self.answered = True
        self.connection.reset()


Handler = Callable[[Exchange], Awaitable[None]]


class HttpConnection:
    """One accepted connection. `peer` is the host address of the peer."""

    def __init__(self, stream: SocketStream, handler: Handler):
        self.stream, self.handler = stream, handler
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.read_ahead, self.data_arrived, self.space_freed = bytearray(), anyio.Event(), anyio.Event()
        self.gone = False
        self.disconnect_callbacks: list[Callable[[], None]] = []
        self.is_head_request = self.is_busy = False
        # when the connection became idle, by time.monotonic()
        self.idle_since_s = time.monotonic()
        self.peer = stream.extra(SocketAttribute.remote_address)[0]

    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read_ahead_of_handler)
                try:
                    while await self._serve_request():
                        pass
                except (PeerDisconnected, TimeoutError):
                    pass
                finally:
                    tasks.cancel_scope.cancel()
        finally:
            # also when cancelled: a peer would take a socket left open for one that is still served
            self._mark_disconnected()
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await self.stream.aclose()

    async def _read_ahead_of_handler(self) -> None:
        try:
            while True:
                data = await self.stream.receive(65536)
                if len(self.read_ahead) > MAX_READ_AHEAD_BYTES:
                    self.space_freed = anyio.Event()
                    await self.space_freed.wait()
                self.read_ahead += data
                self.data_arrived.set()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            self._mark_disconnected()

    def _mark_disconnected(self) -> None:
        self.gone = True
        self.data_arrived.set()
        callbacks, self.disconnect_callbacks = self.disconnect_callbacks, []
        for callback in callbacks:
            callback()

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        if self.gone:
            callback()
        else:
            self.disconnect_callbacks.append(callback)

    def clear_disconnect_callbacks(self) -> None:
        self.disconnect_callbacks.clear()

    def _buffered_event(self):
        """The next event from the bytes read so far, or `h11.NEED_DATA`."""
        event = self.http.next_event()
        if event is h11.NEED_DATA and self.read_ahead:
            data = bytes(self.read_ahead)
            self.read_ahead.clear()
            self.space_freed.set()
            self.http.receive_data(data)
            event = self.http.next_event()
        return event

    async def _next_event(self):
        while (event := self._buffered_event()) is h11.NEED_DATA:
            while not self.read_ahead:
                if self.gone:
                    raise PeerDisconnected
                self.data_arrived = anyio.Event()
                await self.data_arrived.wait()
        return event

    async def _event_within(self, limit: float, part: str):
        # most messages are complete at this point, and a cancel scope would cost more than parsing them
        event = self._buffered_event()
        if event is h11.NEED_DATA:
            with anyio.move_on_after(limit):
                return await self._next_event()
            raise RequestRejected(408, f"the {part} of the request was not there in time")
        return event

    async def _serve_request(self) -> bool:
        try:
            exchange = await self._read_request()
        except RequestRejected as error:
            await self._reject(error.status, error.detail)
            return False
        except h11.RemoteProtocolError as error:
            await self._reject(error.error_status_hint or 400, f"this is not HTTP/1.1: {error}")
            return False
        if exchange is None:
            return False
        self.is_busy = True
        try:
            await self.handler(exchange)
        finally:
            self.is_busy = False
            self.idle_since_s = time.monotonic()
        self.clear_disconnect_callbacks()
        if not exchange.answered:
            raise AssertionError(f"the handler did not answer {exchange.method} {exchange.target}")
        if self.http.our_state is h11.SEND_BODY and not self.gone:
            await self._send(self.http.send(h11.EndOfMessage()))
        if self.gone or self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    async def _read_request(self) -> Exchange | None:
        # the time-out of a head starts with its first byte; before, the connection is idle
        if not self.read_ahead and not self.http.trailing_data[0]:
            with anyio.move_on_after(IDLE_TIMEOUT_S) as idle:
                while not self.read_ahead:
                    if self.gone:
                        return None
                    self.data_arrived = anyio.Event()
                    await self.data_arrived.wait()
            if idle.cancelled_caught:
                return None
        request = await self._event_within(HEAD_TIMEOUT_S, "head")
        if not isinstance(request, h11.Request):
            return None
        self.is_head_request = request.method == b"HEAD"
        body = bytearray()
        deadline = anyio.current_time() + BODY_TIMEOUT_S
        while True:
            event = await self._event_within(max(0.0, deadline - anyio.current_time()), "body")
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise RequestRejected(413, f"the body is longer than {MAX_BODY_BYTES} bytes")
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers}
        return Exchange(self, request.method.decode("latin-1"), request.target.decode("latin-1"), headers, bytes(body))

    async def _reject(self, status: int, detail: str) -> None:
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = encode(Problem(title=REASONS.get(status, "Error"), status=status, detail=detail))
            await self.send_response(status, [("content-type", PROBLEM_TYPE), ("connection", "close")], body)
            # closing with unread input would reset the connection, and the peer could lose the answer: read and discard for 0.5 s
            with anyio.move_on_after(0.5):
                while not self.gone:
                    self.read_ahead.clear()
                    self.space_freed.set()
                    self.data_arrived = anyio.Event()
                    await self.data_arrived.wait()

    async def send_response(self, status: int, headers, body: bytes) -> None:
        head = h11.Response(
            status_code=status, reason=REASONS.get(status, ""), headers=[*headers, ("content-length", str(len(body)))]
        )
        # the answer to HEAD has the length of the omitted body (RFC 9110, 9.3.2)
        data = self.http.send(head) or b""
        if not self.is_head_request:
            data += self.http.send(h11.Data(data=body)) or b""
        await self._send(data + (self.http.send(h11.EndOfMessage()) or b""))

    async def start_response(self, status: int, headers):
        head = h11.Response(status_code=status, reason=REASONS.get(status, ""), headers=[*headers, ("connection", "close")])
        await self._send(self.http.send(head))

        async def send_chunk(data: bytes) -> None:
            await self._send(self.http.send(h11.Data(data=data)))

        return send_chunk

    async def _send(self, data: bytes) -> None:
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError, TimeoutError):
            self._mark_disconnected()
            raise PeerDisconnected from None

    def drop(self) -> None:
        """Closes an idle connection to free its descriptor: the reading task then finds the end of the stream."""
        try:
            self.stream.extra(SocketAttribute.raw_socket).shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def reset(self) -> None:
        """Makes the close of the socket send a reset (SO_LINGER of 0 s), and ends the serving of this connection."""
        raw = self.stream.extra(SocketAttribute.raw_socket)
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
        self.gone = True


class SilentTlsListener(TLSListener):
    """A failed handshake closes its connection without a log line, as any client could flood the log by failed handshakes."""

    @staticmethod
    async def handle_handshake_error(exc: BaseException, stream) -> None:
        await anyio.aclose_forcefully(stream)
        if not isinstance(exc, Exception):
            raise exc


async def serve(listener, handler: Handler, on_fault: Callable[[Exception], None], tasks=None, tls=None, gate=None) -> None:
    """Serves until cancelled, or until the listener is closed; open connections then continue in the task group `tasks`.

    An exception of a handler ends its own connection only and is passed to `on_fault`. `tls` is an ssl context, `gate` a
    DescriptorGate that limits the number of connections.
    """
    listener = PausingListener(listener, gate)
    if tls is not None:
        listener = SilentTlsListener(listener, tls, standard_compatible=False, handshake_timeout=HANDSHAKE_TIMEOUT_S)

    async def serve_connection(stream: SocketStream) -> None:
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
        await listener.serve(serve_connection, task_group=tasks)
    except anyio.ClosedResourceError:
        pass
    finally:
        with anyio.CancelScope(shield=True):
            await listener.aclose()
