"""Client of the discovery service: follows the server list across disconnects, silent connections, duplicate events and changes
of the service's address."""

from __future__ import annotations

import socket

import anyio

from curlewshift.node import discovery
from curlewshift.node.buffered_connection import CONNECTION_ERRORS, BufferedConnection, dial

# The service sends a keep-alive frame every second; a connection without any frame for this long is considered dead (s).
FRAME_TIMEOUT_S = 2.2
# The request is answered at once, or late if the service is busy. A connection without a first frame is abandoned after the first
# of these (s), and after the second once this many consecutive connections have been silent. The requirement is that a change is
# known 6 s after a call that failed.
FIRST_FRAME_TIMEOUT_S, LONG_FIRST_FRAME_TIMEOUT_S, SILENT_BEFORE_LONG_TIMEOUT = 1.5, 3.0, 2
CONNECT_TIMEOUT_S = 1.0
# Back-off after a connection on which nothing was received: the first pause, doubled up to the longest (s).
MIN_PAUSE_S, MAX_PAUSE_S = 0.05, 1.0
# Missing events that were requested and not delivered are requested again after this (s).
REQUEST_AGAIN_AFTER_S = 2.0


class Follower:
    """Calls `on_event(full, payload)` once for each event, in the order of the event numbers. `last` is the newest received.

    One file descriptor is reserved from the start, so that the service can be reached again when viewers have taken all others.
    """

    def __init__(self, address: tuple[str, int], last: int, on_event, log, tasks):
        self.address, self.last, self.on_event, self.log, self.tasks = address, last, on_event, log, tasks
        self.spare: socket.socket | None = _new_socket()
        self.scope: anyio.CancelScope | None = None
        self.moved = anyio.Event()
        # the event number after which missing events were last requested, and when
        self.requested_after, self.requested_at = -1, 0.0
        # the present connection has delivered a frame, and has not ended
        self.following = False
        # consecutive connections that were established and delivered nothing
        self.silent_connections = 0

    def move(self, address: tuple[str, int]) -> None:
        """Switches to another address of the service at once."""
        if address != self.address:
            self.address, self.silent_connections = address, 0
            self.moved.set()
            if self.scope is not None:
                self.scope.cancel()

    async def run(self) -> None:
        """Follows the service on one connection after another, until cancelled."""
        pause = MIN_PAUSE_S
        while True:
            received, self.moved = [], anyio.Event()
            with anyio.CancelScope() as self.scope:
                try:
                    await self._follow(received)
                except (discovery.Malformed, *CONNECTION_ERRORS) as error:
                    self.log.warning("bulletin-broke", last=self.last, cause=repr(error))
                except Exception as fault:
                    self.log.error("fault", what="discovery", cause=repr(fault), exc_info=fault)
            self.scope = None
            if self.moved.is_set() or received:
                pause = MIN_PAUSE_S
            if not self.moved.is_set():
                with anyio.move_on_after(pause):
                    await self.moved.wait()
            pause = min(MAX_PAUSE_S, pause * 2)

    async def _follow(self, received: list) -> None:
        """Follows the service on one connection until it ends; the first frame received is put in `received`."""
        spare, self.spare = self.spare, None
        try:
            sock = await dial(self.address, CONNECT_TIMEOUT_S, spare if spare is not None else _new_socket())
            if sock is None:
                raise TimeoutError("connect timed out")
            transport, reader = BufferedConnection(sock, self.tasks), discovery.Reader()
            try:
                transport.send(discovery.request(self.last))
                while True:
                    data = await self._receive(transport, received)
                    if not data:
                        raise anyio.EndOfStream
                    error = None
                    try:
                        frames = reader.feed(data)
                    except discovery.Malformed as caught:
                        frames, error = caught.before, caught
                    received += frames[:1] if not received else ()
                    self.following = bool(received)
                    if not self._apply(frames):
                        return
                    if error is not None:
                        raise error
            finally:
                self.following = False
                await transport.close()
        finally:
            # the descriptor has just been released, and is reserved again before any other task runs
            if self.spare is None:
                try:
                    self.spare = _new_socket()
                except OSError as error:
                    self.log.warning("no-spare-descriptor", cause=repr(error))

    async def _receive(self, transport: BufferedConnection, received: list) -> bytes:
        first_frame_timeout = (
            FIRST_FRAME_TIMEOUT_S if self.silent_connections < SILENT_BEFORE_LONG_TIMEOUT else LONG_FIRST_FRAME_TIMEOUT_S
        )
        try:
            with anyio.fail_after(FRAME_TIMEOUT_S if received else first_frame_timeout):
                return await transport.receive()
        except TimeoutError:
            self.silent_connections = 0 if received else self.silent_connections + 1
            raise

    def _apply(self, frames: list[tuple[int, int, bytes]]) -> bool:
        """Returns False if events before the newest are missing and have to be requested on a new connection."""
        for number, kind, payload in frames:
            if number <= self.last:
                continue
            missing = kind == discovery.NOTHING_NEW or (kind == discovery.CHANGES and number != self.last + 1)
            now = anyio.current_time()
            request_again = kind == discovery.NOTHING_NEW and now - self.requested_at > REQUEST_AGAIN_AFTER_S
            if missing and (self.requested_after != self.last or request_again):
                self.requested_after, self.requested_at = self.last, now
                self.log.warning("bulletin-gap", last=self.last, came=number)
                return False
            if kind == discovery.NOTHING_NEW:
                continue
            self.last = number
            self.on_event(kind == discovery.FULL_LIST, payload)
        return True


def _new_socket() -> socket.socket:
    return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
