"""HTTP/1.1 client. Its errors distinguish whether the peer can have acted on the request.

Used by the front's server pool and followers, the stand-in viewers (test doubles) and the measuring tools.
"""

from __future__ import annotations

import select
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

MAX_BODY_BYTES = 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024


class RequestNotSent(Exception):
    """No byte of the request was sent: the peer cannot have acted on it."""


class ConnectionBroken(Exception):
    """The connection ended or carried invalid HTTP after the request was sent: the peer may have acted on it."""


@dataclass(slots=True)
class HttpResponse:
    """An answer; names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes = b""


class HttpClientConnection:
    """One connection to a peer, for requests one after another."""

    def __init__(self, stream: SocketStream, host: str):
        self.stream, self.host = stream, host
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        # set before the first byte of a request is sent, as a cancelled write may have reached the peer
        self.request_started = False
        # the bytes read along with the last answer have been returned by `read_more`
        self.trailing_data_returned = False

    async def ask(self, method: str, target: str, headers: list[tuple[str, str]] = (), body: bytes = b"") -> HttpResponse:
        """Sends a request and reads the complete answer. Raises `RequestNotSent`, `ConnectionBroken`."""
        response = await self.begin(method, target, headers, body)
        async for piece in self.pieces():
            response.body += piece
            if len(response.body) > MAX_BODY_BYTES:
                raise ConnectionBroken(f"the body of the answer exceeds {MAX_BODY_BYTES} bytes")
        return response

    async def begin(self, method: str, target: str, headers=(), body: bytes = b"") -> HttpResponse:
        """Sends a request and reads the head of the answer; `pieces` reads its body. Raises `RequestNotSent` and
        `ConnectionBroken`."""
        try:
            data = self.http.send(
                h11.Request(
                    method=method,
                    target=target,
                    headers=[("host", self.host), *headers, *([("content-length", str(len(body)))] if body else [])],
                )
            )
            if body:
                data += self.http.send(h11.Data(data=body))
            data += self.http.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise RequestNotSent(f"the request is not valid HTTP/1.1: {error}") from None
        self.request_started = True
        try:
            await self.stream.send(data)
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Response):
                    return HttpResponse(event.status_code, _headers(event))
                if not isinstance(event, h11.InformationalResponse):
                    raise ConnectionBroken("the peer closed the connection before the answer")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise ConnectionBroken(f"the connection broke: {error or type(error).__name__}") from None

    async def pieces(self) -> AsyncIterator[bytes]:
        """The body in pieces, as they are received. Raises `ConnectionBroken`."""
        try:
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return
                else:
                    raise ConnectionBroken("the peer closed the connection within the answer")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise ConnectionBroken(f"the connection broke: {error or type(error).__name__}") from None

    async def _next_event(self):
        try:
            while (event := self.http.next_event()) is h11.NEED_DATA:
                try:
                    data = await self.stream.receive(65536)
                except anyio.EndOfStream:
                    data = b""
                self.http.receive_data(data)
            return event
        except h11.RemoteProtocolError as error:
            raise ConnectionBroken(f"the answer is not valid HTTP/1.1: {error}") from None

    def prepare_next_request(self) -> bool:
        """Prepares the connection for another request; False if it cannot be used again."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.http.trailing_data[0] or self._has_unread_input():
            return False
        self.http.start_next_cycle()
        self.request_started = self.trailing_data_returned = False
        return True

    def _has_unread_input(self) -> bool:
        """True if bytes or the end of the stream are waiting on an idle connection: the peer has given it up."""
        number = self.stream.extra(SocketAttribute.raw_socket).fileno()
        if number < 0:
            return True
        poll = select.poll()
        poll.register(number, select.POLLIN | select.POLLHUP)
        return bool(poll.poll(0))

    async def read_more(self) -> bytes:
        """Bytes received after an answer; empty once the peer has closed the connection."""
        data, closed = self.http.trailing_data
        if not self.trailing_data_returned and (data or closed):
            self.trailing_data_returned = True
            return data
        try:
            return await self.stream.receive(65536)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            return b""

    def shut_down_sending(self) -> None:
        """Shuts down the sending direction; what the peer has sent can still be read."""
        try:
            self.stream.extra(SocketAttribute.raw_socket).shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def break_connection(self) -> None:
        """Shuts down both directions; a task that reads the connection finds it broken."""
        try:
            self.stream.extra(SocketAttribute.raw_socket).shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    async def close(self) -> None:
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            await self.stream.aclose()


def _headers(event) -> dict[str, str]:
    """The headers; lines of the same name are joined into one list (RFC 9110, 5.3)."""
    headers: dict[str, str] = {}
    for raw, value in event.headers:
        name, text = raw.decode("latin-1"), value.decode("latin-1")
        headers[name] = f"{headers[name]}, {text}" if name in headers else text
    return headers


async def connect(host: str, port: int, within: float, tls=None) -> HttpClientConnection:
    """Opens a connection within `within` seconds; `tls` is an ssl context that verifies the host's name. Raises
    `RequestNotSent`."""
    try:
        with anyio.fail_after(within):
            if tls is None:
                stream = await anyio.connect_tcp(host, port)
            else:
                stream = await anyio.connect_tcp(host, port, ssl_context=tls, tls_hostname=host, tls_standard_compatible=False)
    except TimeoutError:
        raise RequestNotSent(f"no connection to {host}:{port} within {within:.3g} s") from None
    except (OSError, anyio.BrokenResourceError, anyio.EndOfStream) as error:
        raise RequestNotSent(f"no connection to {host}:{port}: {error or type(error).__name__}") from None
    return HttpClientConnection(stream, f"{host}:{port}")


async def ask(
    host: str, port: int, method: str, target: str, headers=(), body: bytes = b"", within: float = 5.0, tls=None
) -> HttpResponse:
    """Sends one request on a connection of its own, within `within` seconds. Raises `RequestNotSent`, `ConnectionBroken`,
    `TimeoutError`."""
    with anyio.fail_after(within):
        connection = await connect(host, port, within, tls)
        try:
            return await connection.ask(method, target, headers, body)
        finally:
            await connection.close()
