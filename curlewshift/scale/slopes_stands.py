"""What one front node is played against while its slopes are measured: media servers, the bulletin, and a crowd of viewers.

All in one process and on one epoll, as thousands of connections cost the measuring side too. Called by the slopes of a real
node. It counts and times, and decides nothing.
"""

from __future__ import annotations

import selectors
import socket
import struct
import time
from random import Random
from typing import Callable

from curlewshift.node import isup, rtsp

NS = 1_000_000_000
LOAD = (isup.REPORT, b"x0:0.5")
# A media server tells how full its link is once in so long (ns), the bulletin that it has nothing new.
TOLD_EVERY = NS
NOTHING_NEW = 0
# So long a viewer waits for its answer (ms).
PATIENCE = 2000
# A title is held in so many cells from its home on.
COPIES = 4
# So many connect, or ask, at a time while a place is filled: more would have the node open connections to media servers.
CONNECTING, ASKING = 64, 16
OPTIONS = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"


class Loop:
    """Sockets that do not block, each with what is called when it can be read."""

    def __init__(self):
        self.selector = selectors.EpollSelector()
        self.each_turn: list[Callable[[int], None]] = []

    def add(self, sock: socket.socket, call: Callable[[], None]) -> None:
        sock.setblocking(False)
        self.selector.register(sock, selectors.EVENT_READ, call)

    def when_up(self, sock: socket.socket, call: Callable[[], None]) -> None:
        """Called once it can be written to: it is up, or will not come up."""
        self.selector.register(sock, selectors.EVENT_WRITE, call)

    def reads(self, sock: socket.socket, call: Callable[[], None]) -> None:
        """From now on, one that was waited for."""
        self.selector.modify(sock, selectors.EVENT_READ, call)

    def remove(self, sock: socket.socket) -> None:
        self.selector.unregister(sock)
        sock.close()

    def turn(self, wait: float) -> None:
        for key, _ in self.selector.select(wait):
            # one before it in this turn may have closed it
            if key.fileobj.fileno() >= 0:
                key.data()
        now = time.monotonic_ns()
        for call in self.each_turn:
            call(now)

    def run(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            self.turn(min(left, 0.05))

    def until(self, done: Callable[[], bool], within: float, what: str) -> None:
        """Raises `TimeoutError`."""
        ends = time.monotonic() + within
        while not done():
            if time.monotonic() > ends:
                raise TimeoutError(f"{what}: not within {within:g} s")
            self.turn(0.005)

    def close(self) -> None:
        for key in list(self.selector.get_map().values()):
            self.remove(key.fileobj)
        self.selector.close()


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
            for kind, id, parameters in reader.feed(data):
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
                sock.sendall(out)
        return take

    def _tell(self, now: int) -> None:
        if self.lines and now - self.told_at >= TOLD_EVERY:
            self.told_at = now
            self.note(b"wire", b"0.5")

    def note(self, kind: bytes, figure: bytes) -> None:
        self.lines[-1].sendall(isup.encode(isup.NOTE, bytes(8), (isup.KIND, kind), (isup.FIGURE, figure)))

    def release(self, id: bytes) -> None:
        self.sessions.pop(id).sendall(isup.release(id, isup.OVER))


class Bulletin(Listening):
    """It has nothing new, and says so once a second."""

    def __init__(self, loop: Loop):
        super().__init__(loop)
        self.told_at, self.last = 0, 1
        loop.each_turn.append(self._tell)

    def taker(self, sock: socket.socket) -> Callable[[bytes], None]:
        return lambda data: sock.sendall(struct.pack(">IQB", 9, self.last, NOTHING_NEW))

    def _tell(self, now: int) -> None:
        if now - self.told_at >= TOLD_EVERY:
            self.told_at = now
            for sock in self.lines:
                sock.sendall(struct.pack(">IQB", 9, self.last, NOTHING_NEW))


class Viewer:
    """One connection to the node."""

    __slots__ = ("crowd", "sock", "reader")

    def __init__(self, crowd: Crowd, sock: socket.socket):
        self.crowd, self.sock, self.reader = crowd, sock, rtsp.Reader()

    def read(self) -> None:
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.crowd.left(self)
            return
        for message in self.reader.feed(data):
            self.crowd.heard(self, message)


class Crowd:
    """Viewers of the node at `port`. `answers` has (ns waited, status) of each set-up, `released` counts what the node told of
    ends that were not asked for, `dropped` the connections that it closed. Titles have their homes in the first `homes` cells."""

    def __init__(self, loop: Loop, port: int, chance: Random, homes: int = 1):
        self.loop, self.port, self.chance, self.homes = loop, port, chance, homes
        self.viewers: dict[Viewer, bool] = {}
        self.asked: dict[str, tuple[Viewer, int]] = {}
        self.playing: dict[str, Viewer] = {}
        self.answers: list[tuple[int, int]] = []
        self.greeted = self.released = self.dropped = self.torn_down = 0

    def connect(self) -> Viewer:
        """Blocks until it is up: the kernel's queue is the node's, and what does not fit in it waits here."""
        sock = socket.create_connection(("127.0.0.1", self.port), 10)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        viewer = Viewer(self, sock)
        self.viewers[viewer] = True
        self.loop.add(sock, viewer.read)
        return viewer

    def greet(self, viewer: Viewer) -> None:
        viewer.sock.sendall(OPTIONS)

    def ask(self, viewer: Viewer, again: bool = False) -> str:
        id = f"{self.chance.getrandbits(64):016x}"
        body = b"v=0 offer"
        self.asked[id] = viewer, time.monotonic_ns()
        viewer.sock.sendall(
            f"SETUP rtsp://media/{self.chance.randrange(1000):016x} RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nX-Cos: lesson\r\n"
            f"X-Timer-Ms: {PATIENCE}\r\nX-Legs: home:{self.chance.randrange(self.homes)};copies:{COPIES};top:9;"
            f"viewer:{self.chance.getrandbits(64):016x}"
            f"{';again:1' if again else ''}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        return id

    def tear_down(self, id: str) -> None:
        viewer = self.playing.pop(id)
        viewer.sock.sendall(f"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id}\r\n"
                            "Content-Length: 0\r\n\r\n".encode())

    def heard(self, viewer: Viewer, message: rtsp.Message) -> None:
        id = message.fields.get("session", "")
        if message.method == "TEARDOWN":
            self.released += 1
            self.playing.pop(id, None)
            self.ended(id)
        elif id in self.asked:
            viewer, since = self.asked.pop(id)
            self.answers.append((time.monotonic_ns() - since, message.status))
            if message.status == 200:
                self.playing[id] = viewer
            self.answered(id, viewer, message)
        elif not id:
            self.greeted += 1
        else:
            self.torn_down += 1

    def answered(self, id: str, viewer: Viewer, message: rtsp.Message) -> None:
        """For those who do more."""

    def ended(self, id: str) -> None:
        """For those who do more."""

    def left(self, viewer: Viewer) -> None:
        self.dropped += 1
        self.viewers.pop(viewer, None)
        self.loop.remove(viewer.sock)

    # ---- a place that is filled

    def connected(self, count: int) -> None:
        """As many connections as that, each greeted and answered. Raises `TimeoutError`."""
        while len(self.viewers) < count:
            for _ in range(min(CONNECTING, count - len(self.viewers))):
                self.greet(self.connect())
            before, want = self.greeted, len(self.viewers)
            self.loop.until(lambda: self.greeted >= want, 10, f"{want} connections, {before} answered before")

    def play(self, count: int, viewers: list[Viewer]) -> None:
        """So many play, spread over these connections, a few asked for at a time. Raises `TimeoutError`."""
        turn = len(self.playing)
        while (left := count - len(self.playing)) > 0:
            for _ in range(min(ASKING, left)):
                self.ask(viewers[turn % len(viewers)])
                turn += 1
            self.loop.until(lambda: not self.asked, 20, f"{count} viewings")


class Stands:
    """Media servers, the bulletin, and who watches; all closed together."""

    def __init__(self, medias: int, seed: int):
        self.loop, self.chance = Loop(), Random(seed)
        self.medias = [Media(self.loop, f"s-{number + 1:08x}") for number in range(medias)]
        self.bulletin = Bulletin(self.loop)

    def crowd(self, port: int) -> Crowd:
        return Crowd(self.loop, port, self.chance, len(self.medias))

    @property
    def rungs(self) -> int:
        return sum(media.rungs for media in self.medias)
