"""Stand-ins (test doubles) around one front node while its slopes are measured: media servers and discovery, on one epoll loop
with the crowd of viewers. Used by the slopes of a real node. They answer at once.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from random import Random

from curlewshift.node import isup
from curlewshift.scale.slopes_crowd import Crowd
from curlewshift.scale.slopes_loop import Loop

NS = 1_000_000_000
LOAD = (isup.REPORT, b"x0:0.5")
# Interval (ns) at which a media server reports the load of its link, and discovery reports that it has no updates.
REPORT_INTERVAL_NS = NS
NO_UPDATES = 0


class StandInServer:
    """A listening port and its accepted connections."""

    def __init__(self, loop: Loop, backlog: int = 1024):
        self.loop, self.connections = loop, []
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.port = self.listener.getsockname()[1]
        loop.add(self.listener, self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.append(sock)
        handle = self.make_handler(sock)
        self.loop.add(sock, lambda: self._read(sock, handle))

    def _read(self, sock: socket.socket, handle: Callable[[bytes], None]) -> None:
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            handle(data)
        else:
            self.connections.remove(sock)
            self.loop.remove(sock)

    def send(self, sock: socket.socket, data: bytes) -> None:
        try:
            sock.sendall(data)
        except ConnectionError:
            # the node may close connections; the end of stream is read later
            pass

    def make_handler(self, sock: socket.socket) -> Callable[[bytes], None]:
        raise NotImplementedError


class Media(StandInServer):
    """A media server that accepts every set-up and reports its load once a second."""

    def __init__(self, loop: Loop, name: str):
        super().__init__(loop)
        self.name, self.sessions, self.rungs, self.sent_at = name, {}, 0, 0
        loop.turn_callbacks.append(self._send_periodically)

    def make_handler(self, sock: socket.socket) -> Callable[[bytes], None]:
        reader = isup.Reader()

        def handle(data: bytes) -> None:
            out = b""
            for kind, id, _parameters in reader.feed(data):
                if kind == isup.SET_UP:
                    self.sessions[id] = sock
                    out += isup.encode(isup.ANSWER, id, (isup.DESCRIPTION, b"v=0 plays"), LOAD)
                elif kind == isup.RELEASE:
                    self.sessions.pop(id, None)
                    out += isup.released(id)
                elif kind == isup.PROBE:
                    out += isup.encode(isup.PROBED, id, (isup.CAUSE, b"\1"), LOAD)
                elif kind == isup.RUNG:
                    self.rungs += 1
            if out:
                self.send(sock, out)

        return handle

    def _send_periodically(self, now: int) -> None:
        if self.connections and now - self.sent_at >= REPORT_INTERVAL_NS:
            self.sent_at = now
            self.note(b"wire", b"0.5")

    def note(self, kind: bytes, figure: bytes) -> None:
        self.send(self.connections[-1], isup.encode(isup.NOTE, bytes(8), (isup.KIND, kind), (isup.VALUE, figure)))

    def release(self, id: bytes) -> None:
        self.send(self.sessions.pop(id), isup.release(id, isup.ENDED))


class Discovery(StandInServer):
    """Discovery without updates; says so once a second."""

    def __init__(self, loop: Loop):
        super().__init__(loop)
        self.sent_at, self.last = 0, 1
        loop.turn_callbacks.append(self._send_periodically)

    def make_handler(self, sock: socket.socket) -> Callable[[bytes], None]:
        return lambda data: self.send(sock, struct.pack(">IQB", 9, self.last, NO_UPDATES))

    def _send_periodically(self, now: int) -> None:
        if now - self.sent_at >= REPORT_INTERVAL_NS:
            self.sent_at = now
            for sock in self.connections:
                self.send(sock, struct.pack(">IQB", 9, self.last, NO_UPDATES))


class Stands:
    """Media servers, discovery and viewers on one loop, closed together."""

    def __init__(self, medias: int, seed: int):
        self.loop, self.rng = Loop(), Random(seed)
        self.medias = [Media(self.loop, f"s-{number + 1:08x}") for number in range(medias)]
        self.discovery = Discovery(self.loop)

    def crowd(self, port: int) -> Crowd:
        return Crowd(self.loop, port, self.rng, len(self.medias))

    @property
    def rungs(self) -> int:
        return sum(media.rungs for media in self.medias)
