"""Simulated viewers of a node whose slopes are measured: thousands of connections on one epoll loop. Used by the slopes of a
real node. It counts and times answers, and makes no decisions.
"""

from __future__ import annotations

import socket
import time
from random import Random

from curlewshift.node import rtsp
from curlewshift.scale.slopes_loop import Loop

# Time-out of a set-up that a viewer sends to the node (ms).
SETUP_TIMEOUT_MS = 2000
# Number of consecutive cells that hold a title, from its home cell on.
COPIES = 4
# Connections and set-ups made at a time while load is built up: more would make the node open more connections to media servers.
CONNECT_BATCH, SETUP_BATCH = 64, 16
OPTIONS = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"


class Viewer:
    """One connection to the node."""

    __slots__ = ("crowd", "reader", "sock")

    def __init__(self, crowd: Crowd, sock: socket.socket):
        self.crowd, self.sock, self.reader = crowd, sock, rtsp.Reader()

    def send(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except ConnectionError:
            # the node may close connections; the end of stream is read later
            pass

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
            self.crowd.on_message(self, message)


class Crowd:
    """Viewers of the node at `port`. `answers`: (wait in ns, status) of each set-up; `released`: number of session ends that the
    viewers did not request; `dropped`: connections closed by the node. Titles have their homes in the first `homes` cells."""

    def __init__(self, loop: Loop, port: int, rng: Random, homes: int = 1):
        self.loop, self.port, self.rng, self.homes = loop, port, rng, homes
        self.viewers: dict[Viewer, bool] = {}
        self.asked: dict[str, tuple[Viewer, int]] = {}
        self.playing: dict[str, Viewer] = {}
        self.answers: list[tuple[int, int]] = []
        self.greeted = self.released = self.dropped = self.torn_down = 0

    def connect(self) -> Viewer:
        """Blocks until connected; waits here while the listen queue of the node is full."""
        sock = socket.create_connection(("127.0.0.1", self.port), 10)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        viewer = Viewer(self, sock)
        self.viewers[viewer] = True
        self.loop.add(sock, viewer.read)
        return viewer

    def greet(self, viewer: Viewer) -> None:
        viewer.send(OPTIONS)

    def ask(self, viewer: Viewer, again: bool = False) -> str:
        id = f"{self.rng.getrandbits(64):016x}"
        body = b"v=0 offer"
        self.asked[id] = viewer, time.monotonic_ns()
        viewer.send(
            f"SETUP rtsp://media/{self.rng.randrange(1000):016x} RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nX-Cos: lesson\r\n"
            f"X-Timer-Ms: {SETUP_TIMEOUT_MS}\r\nX-Legs: home:{self.rng.randrange(self.homes)};copies:{COPIES};top:9;"
            f"viewer:{self.rng.getrandbits(64):016x}"
            f"{';again:1' if again else ''}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        return id

    def tear_down(self, id: str) -> None:
        viewer = self.playing.pop(id)
        viewer.send(f"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id}\r\nContent-Length: 0\r\n\r\n".encode())

    def on_message(self, viewer: Viewer, message: rtsp.Message) -> None:
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
        """Hook for subclasses."""

    def ended(self, id: str) -> None:
        """Hook for subclasses."""

    def left(self, viewer: Viewer) -> None:
        self.dropped += 1
        self.viewers.pop(viewer, None)
        self.loop.remove(viewer.sock)

    # ---- building up load

    def connected(self, count: int) -> None:
        """Opens connections up to `count`, each with an answered OPTIONS request. Raises `TimeoutError`."""
        while len(self.viewers) < count:
            for _ in range(min(CONNECT_BATCH, count - len(self.viewers))):
                self.greet(self.connect())
            before, want = self.greeted, len(self.viewers)
            self.loop.until(lambda: self.greeted >= want, 10, f"{want} connections, {before} answered before")

    def play(self, count: int, viewers: list[Viewer]) -> None:
        """Sets up viewings, a few at a time, until `count` play, spread over these connections. Raises `TimeoutError`."""
        turn = len(self.playing)
        while (left := count - len(self.playing)) > 0:
            for _ in range(min(SETUP_BATCH, left)):
                self.ask(viewers[turn % len(viewers)])
                turn += 1
            self.loop.until(lambda: not self.asked, 20, f"{count} viewings")
