"""What one front node is played against while its slopes are measured: media servers and the bulletin, on one epoll with the
crowd of viewers. Called by the slopes of a real node. They answer at once, and decide nothing.
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
# A media server tells how full its link is once in so long (ns), the bulletin that it has nothing new.
TOLD_EVERY = NS
NOTHING_NEW = 0


class Listening:
    """A port, and the connections that have come to it."""

    def __init__(self, loop: Loop, backlog: int = 1024):
        self.loop, self.lines = loop, []
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
        self.lines.append(sock)
        take = self.taker(sock)
        self.loop.add(sock, lambda: self._read(sock, take))

    def _read(self, sock: socket.socket, take: Callable[[bytes], None]) -> None:
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            take(data)
        else:
            self.lines.remove(sock)
            self.loop.remove(sock)

    def say(self, sock: socket.socket, data: bytes) -> None:
        try:
            sock.sendall(data)
        except ConnectionError:
            # the node has closed it, as it may; its end is there to be read
            pass

    def taker(self, sock: socket.socket) -> Callable[[bytes], None]:
        raise NotImplementedError


class Media(Listening):
    """A media server on which every set-up plays; it tells of its load once a second."""

    def __init__(self, loop: Loop, name: str):
        super().__init__(loop)
        self.name, self.sessions, self.rungs, self.told_at = name, {}, 0, 0
        loop.each_turn.append(self._tell)

    def taker(self, sock: socket.socket) -> Callable[[bytes], None]:
        reader = isup.Reader()

        def take(data: bytes) -> None:
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
                self.say(sock, out)

        return take

    def _tell(self, now: int) -> None:
        if self.lines and now - self.told_at >= TOLD_EVERY:
            self.told_at = now
            self.note(b"wire", b"0.5")

    def note(self, kind: bytes, figure: bytes) -> None:
        self.say(self.lines[-1], isup.encode(isup.NOTE, bytes(8), (isup.KIND, kind), (isup.VALUE, figure)))

    def release(self, id: bytes) -> None:
        self.say(self.sessions.pop(id), isup.release(id, isup.ENDED))


class Bulletin(Listening):
    """It has nothing new, and says so once a second."""

    def __init__(self, loop: Loop):
        super().__init__(loop)
        self.told_at, self.last = 0, 1
        loop.each_turn.append(self._tell)

    def taker(self, sock: socket.socket) -> Callable[[bytes], None]:
        return lambda data: self.say(sock, struct.pack(">IQB", 9, self.last, NOTHING_NEW))

    def _tell(self, now: int) -> None:
        if now - self.told_at >= TOLD_EVERY:
            self.told_at = now
            for sock in self.lines:
                self.say(sock, struct.pack(">IQB", 9, self.last, NOTHING_NEW))


class Stands:
    """Media servers, the bulletin, and who watches; all closed together."""

    def __init__(self, medias: int, seed: int):
        self.loop, self.rng = Loop(), Random(seed)
        self.medias = [Media(self.loop, f"s-{number + 1:08x}") for number in range(medias)]
        self.bulletin = Bulletin(self.loop)

    def crowd(self, port: int) -> Crowd:
        return Crowd(self.loop, port, self.rng, len(self.medias))

    @property
    def rungs(self) -> int:
        return sum(media.rungs for media in self.medias)
