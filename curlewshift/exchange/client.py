"""The asking side. What went wrong is told apart by whether the peer can have acted on the request.

Called by the front's reach to servers, its followers, the stand-in viewers and the measuring tools.
"""

from __future__ import annotations

import select
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

MOST_BODY = 1024 * 1024
MOST_HEAD = 64 * 1024


class RequestNotSent(Exception):
    """No byte of the request has gone out: the peer cannot have acted on it."""


class ConnectionBroken(Exception):
    """The connection ended or spoke no HTTP after the request went out: the peer may have acted on it."""


@dataclass(slots=True)
class HttpResponse:
    status: int
    headers: dict[str, str]
    body: bytes = b""


class HttpClientConnection:
    """One connection to a peer, for one request after the other."""

    def __init__(self, stream: SocketStream, host: str):
        self.stream, self.host = stream, host
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
        # set before the first byte of a request goes out, as a cancelled write may have reached the peer
        self.request_started = False
        # what was read along with the last answer has been handed on
        self.trailed = False

    async def ask(self, method: str, target: str, headers: list[tuple[str, str]] = (), body: bytes = b"") -> HttpResponse:
        """The whole answer. Raises `RequestNotSent`, `ConnectionBroken`."""
        answered = await self.begin(method, target, headers, body)
        async for piece in self.pieces():
            answered.body += piece
            if len(answered.body) > MOST_BODY:
                raise ConnectionBroken(f"an answer of over {MOST_BODY} bytes")
        return answered

    async def begin(self, method: str, target: str, headers=(), body: bytes = b"") -> HttpResponse:
        """The head of the answer; `pieces` has the rest."""
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
        except h11.LocalProtocolError as wrong:
            raise RequestNotSent(f"no request that can be written: {wrong}") from None
        self.request_started = True
        try:
            await self.stream.send(data)
            while True:
                event = await self._event()
                if isinstance(event, h11.Response):
                    return HttpResponse(event.status_code, _headers(event))
                if not isinstance(event, h11.InformationalResponse):
                    raise ConnectionBroken("the connection ended before an answer")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as wrong:
            raise ConnectionBroken(f"the connection broke: {wrong or type(wrong).__name__}") from None

    async def pieces(self) -> AsyncIterator[bytes]:
        """The body as it comes, to its end. Raises `ConnectionBroken`."""
        try:
            while True:
                event = await self._event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return
                else:
                    raise ConnectionBroken("the connection ended inside an answer")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as wrong:
            raise ConnectionBroken(f"the connection broke: {wrong or type(wrong).__name__}") from None

    async def _event(self):
        try:
            while (event := self.http.next_event()) is h11.NEED_DATA:
                try:
                    data = await self.stream.receive(65536)
                except anyio.EndOfStream:
                    data = b""
                self.http.receive_data(data)
            return event
        except h11.RemoteProtocolError as wrong:
            raise ConnectionBroken(f"no HTTP/1.1 answer: {wrong}") from None

    def prepare_next_request(self) -> bool:
        """True if another request may go out on this connection."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.http.trailing_data[0] or self._readable():
            return False
        self.http.start_next_cycle()
        self.request_started = self.trailed = False
        return True

    def _readable(self) -> bool:
        """Bytes or the end wait unread on an idle connection: the peer is done with it."""
        number = self.stream.extra(SocketAttribute.raw_socket).fileno()
        if number < 0:
            return True
        poll = select.poll()
        poll.register(number, select.POLLIN | select.POLLHUP)
        return bool(poll.poll(0))

    async def read_more(self) -> bytes:
        """What comes after an answer on this connection; empty once the peer has closed it."""
        data, closed = self.http.trailing_data
        if not self.trailed and (data or closed):
            self.trailed = True
            return data
        try:
            return await self.stream.receive(65536)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            return b""

    def shut_down_sending(self) -> None:
        """Close this side: the peer sees that nothing more comes, and what it has said already can still be read."""
        try:
            self.stream.extra(SocketAttribute.raw_socket).shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def break_connection(self) -> None:
        """End the connection under whoever reads it: that finds it broken."""
        try:
            self.stream.extra(SocketAttribute.raw_socket).shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    async def close(self) -> None:
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            await self.stream.aclose()


def _headers(event) -> dict[str, str]:
    """Lines of one name are one list (RFC 9110, 5.3)."""
    headers: dict[str, str] = {}
    for raw, value in event.headers:
        name, text = raw.decode("latin-1"), value.decode("latin-1")
        headers[name] = f"{headers[name]}, {text}" if name in headers else text
    return headers


async def connect(host: str, port: int, within: float, tls=None) -> HttpClientConnection:
    """Raises `RequestNotSent`. `within` is seconds, `tls` an ssl context that checks the host's name."""
    try:
        with anyio.fail_after(within):
            if tls is None:
                stream = await anyio.connect_tcp(host, port)
            else:
                stream = await anyio.connect_tcp(host, port, ssl_context=tls, tls_hostname=host, tls_standard_compatible=False)
    except TimeoutError:
        raise RequestNotSent(f"no connection to {host}:{port} within {within:.3g} s") from None
    except (OSError, anyio.BrokenResourceError, anyio.EndOfStream) as wrong:
        raise RequestNotSent(f"no connection to {host}:{port}: {wrong or type(wrong).__name__}") from None
    return HttpClientConnection(stream, f"{host}:{port}")


async def ask(
    host: str, port: int, method: str, target: str, headers=(), body: bytes = b"", within: float = 5.0, tls=None
) -> HttpResponse:
    """One request on a connection of its own. Raises `RequestNotSent`, `ConnectionBroken`, `TimeoutError`."""
    with anyio.fail_after(within):
        call = await connect(host, port, within, tls)
        try:
            return await call.ask(method, target, headers, body)
        finally:
            await call.close()
