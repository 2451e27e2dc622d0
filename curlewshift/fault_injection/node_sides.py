"""Viewers and media servers around a front node on loopback. Viewers leave in various ways; servers answer, refuse, fail, reset
connections, never answer, stop listening or accept late. Each records the traffic on its own sockets. Called by node_day.py.

Messages are parsed by their offsets in the protocol description, with no code of the program that is judged.
"""

from __future__ import annotations

import re
import socket
import struct
from random import Random

import anyio

from curlewshift.standins.traffic import Traffic, arrived_at

# Message kinds, field codes and cause codes of the media server protocol.
SET_UP, ANSWER, RELEASE, RELEASED, PROBE, PROBED = 1, 9, 12, 16, 52, 53
CAUSE, DESCRIPTION = 47, 48
FULL, RESET, ERROR = 34, 41, 47
BACKLOG = 256
# The outcomes of a set-up, and their weights.
OUTCOME_WEIGHTS = {"plays": 8, "refuses": 8, "fails": 1, "breaks": 1, "hangs": 1}
# About half of the set-ups are handled at once, the others after a random delay of up to this long.
MAX_OUTCOME_DELAY_S = 0.4
# Ranges of how long a server accepts late or does not listen, and of how long it works normally in between.
FAULT_DURATION_S, HEALTHY_DURATION_S = (0.1, 0.8), (0.2, 2.0)
# The percentage of connections that wait for their answers; the others leave by one of these methods.
STAY_PERCENT = 25
LEAVE_METHODS = ("closed", "reset", "shut-down", "cancelled")
# Bounds of the random time after which they leave: at once, while the node connects on loopback, and while it connects after a
# SYN was lost once.
LEAVE_WITHIN_S = (0.0, 0.02, 0.3, 1.3)
# The patience that requests carry, which the node counts from when it reads them, and the time-out of a viewer that waits for its
# answers. The time-out is longer, as the node may be stopped before it reads a request.
PATIENCE_MS, ANSWER_TIMEOUT_S = 3000, 10.0
# How long a viewer keeps its connection open after a cancel or a half-close.
LINGER_S = 0.5
# RTSP statuses.
PLAYS, REFUSED, FAILED = 200, 453, 500
ANSWERED = re.compile(rb"RTSP/1\.0 (\d+) [^\r]*\r\nCSeq: \d+\r\nSession: ([0-9a-f]{16})\r\n")


def message(kind: int, id: bytes, code: int = 0, value: bytes = b"") -> bytes:
    rest = struct.pack(">BH", code, len(value)) + value if code else b""
    return struct.pack(">HB", 9 + len(rest), kind) + id + rest


class Server:
    """One media server. While its accept queue is full nobody can connect to it: the kernel drops SYNs, and a client whose SYN is
    retransmitted a second later gets in if there is space in the queue by then."""

    def __init__(self, number: int, port: int, rng: Random, traffic: Traffic):
        self.port = port
        self.name, self.number, self.rng, self.traffic = f"s-{number + 1:08x}", number, rng, traffic
        # ids that the node has released, and those with a session
        self.released: set[bytes] = set()
        self.playing: set[bytes] = set()
        self.accepting, self.idle, self.accept_scope = anyio.Event(), anyio.Event(), anyio.CancelScope()
        self.accepting.set()
        self._listen()

    async def run(self, tasks) -> None:
        while True:
            if not self.accepting.is_set():
                self.idle.set()
                await self.accepting.wait()
            with anyio.CancelScope() as self.accept_scope:
                await anyio.wait_readable(self.listener)
            try:
                sock = self.listener.accept()[0] if self.accepting.is_set() else None
            except OSError:
                continue
            if sock is not None:
                sock.setblocking(False)
                tasks.start_soon(self._serve_connection, sock, tasks)

    async def inject_faults(self, duration: float) -> None:
        """At random times accepts late, or closes its listener, so that connections are refused."""
        deadline = anyio.current_time() + duration
        while anyio.current_time() < deadline:
            await anyio.sleep(self.rng.uniform(*HEALTHY_DURATION_S))
            # no task may wait on a closed listener: waits are registered by descriptor number, which the next socket gets
            self.accepting, self.idle = anyio.Event(), anyio.Event()
            self.accept_scope.cancel()
            await self.idle.wait()
            late = self.rng.random() < 0.75
            fillers = [self._filler()] if late else []
            if not late:
                self.listener.close()
            await anyio.sleep(self.rng.uniform(*FAULT_DURATION_S))
            for filler in fillers:
                filler.close()
            if late:
                self.listener.listen(BACKLOG)
            else:
                self._listen()
            self.accepting.set()

    def _filler(self) -> socket.socket:
        """Fills the accept queue, which has one place with a backlog of 0."""
        self.listener.listen(0)
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(("127.0.0.1", self.port))
        return filler

    def _listen(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=BACKLOG)
        self.listener.setblocking(False)

    async def _serve_connection(self, sock: socket.socket, tasks) -> None:
        buffered, first_byte_ns = b"", 0
        try:
            while sock.fileno() >= 0:
                await anyio.wait_readable(sock)
                arrived_ns = arrived_at(sock)
                data = sock.recv(65536)
                if not data:
                    break
                first_byte_ns, buffered = first_byte_ns if buffered else arrived_ns, buffered + data
                while len(buffered) >= 2 and len(buffered) >= (message_end := 2 + int.from_bytes(buffered[:2], "big")):
                    self._handle_message(sock, tasks, buffered[2], buffered[3:11], first_byte_ns)
                    first_byte_ns, buffered = arrived_ns, buffered[message_end:]
        except (OSError, ValueError, anyio.ClosedResourceError, anyio.BrokenResourceError):
            pass
        finally:
            sock.close()

    @staticmethod
    def _close(sock: socket.socket, reset: bool = False) -> None:
        """Shuts down reading, so that the task that reads from the socket wakes up and closes it; with `reset` by an RST."""
        try:
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass

    def _handle_message(self, sock: socket.socket, tasks, kind: int, id: bytes, first_byte_ns: int) -> None:
        if kind == SET_UP:
            self.traffic.seen("setup", request=id.hex(), server=self.name, first_byte=first_byte_ns)
            outcome = self.rng.choices(list(OUTCOME_WEIGHTS), list(OUTCOME_WEIGHTS.values()))[0]
            tasks.start_soon(
                self._apply_outcome, sock, id, outcome, self.rng.choice((0.0, self.rng.uniform(0, MAX_OUTCOME_DELAY_S)))
            )
        elif kind == RELEASE:
            self.released.add(id)
            if id in self.playing:
                self.playing.discard(id)
                # a server reports a session that a release cuts
                self._send(sock, message(RELEASE, id, CAUSE, bytes((RESET,))))
            self._send(sock, message(RELEASED, id))
        elif kind == PROBE:
            self._send(sock, message(PROBED, id, CAUSE, b"\1"))

    async def _apply_outcome(self, sock: socket.socket, id: bytes, outcome: str, delay: float) -> None:
        await anyio.sleep(delay)
        if id in self.released:
            return
        if outcome == "plays":
            self.playing.add(id)
            self._send(sock, message(ANSWER, id, DESCRIPTION, b"plays"))
        elif outcome in ("refuses", "fails"):
            self._send(sock, message(RELEASE, id, CAUSE, bytes((FULL if outcome == "refuses" else ERROR,))))
        elif outcome == "breaks":
            self._close(sock, reset=self.rng.random() < 0.5)

    def _send(self, sock: socket.socket, data: bytes) -> None:
        try:
            sock.sendall(data)
        except (OSError, ValueError):
            self._close(sock)


class Viewer:
    """One connection with one to three requests on it."""

    def __init__(self, number: int, rng: Random, traffic: Traffic, front: str):
        self.rng, self.traffic, self.front = rng, traffic, front
        self.ids = [f"{number:08x}{place:08x}" for place in range(rng.choice((1, 1, 2, 3)))]
        self.answers: dict[str, int] = {}
        self.received = b""
        # the number of requests without an answer, if the viewer waited for them
        self.unanswered = 0
        self.ended: set[str] = set()

    @property
    def pending(self) -> list[str]:
        return [id for id in self.ids if id not in self.answers and id not in self.ended]

    async def run(self, port: int) -> None:
        # plain system calls throughout, so that events are recorded when the kernel has the data
        try:
            self.sock = socket.create_connection(("127.0.0.1", port), 2.0)
        except OSError:
            # no request was sent
            return
        self.sock.setblocking(False)
        try:
            for id in self.ids:
                self.traffic.seen("ask", request=id, front=self.front)
            self.sock.sendall(b"".join(self._set_up(id) for id in self.ids))
            stays = self.rng.randrange(100) < STAY_PERCENT
            delay = ANSWER_TIMEOUT_S if stays else self.rng.uniform(0, self.rng.choice(LEAVE_WITHIN_S))
            if not stays and not delay:
                # no other task has run since the requests were sent
                await self._leave(self.rng.choice(LEAVE_METHODS))
                return
            with anyio.move_on_after(delay):
                while self.pending:
                    await self._receive()
            self.unanswered = len(self.pending) if stays else 0
            await self._leave("closed" if stays else self.rng.choice(LEAVE_METHODS))
        except ConnectionError:
            self._record_left("broken")
        finally:
            self.sock.close()

    async def _receive(self) -> None:
        await anyio.wait_readable(self.sock)
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError
        self.received += data
        for status, id in ANSWERED.findall(self.received):
            if id.decode() in self.pending:
                self.answers[id.decode()] = int(status)
                self.traffic.seen("answer", request=id.decode(), status=int(status))

    async def _leave(self, how: str) -> None:
        for id in self.ids:
            if (how == "cancelled" and id not in self.answers) or self.answers.get(id) == PLAYS:
                self.sock.sendall(
                    f"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id}\r\nContent-Length: 0\r\n\r\n".encode()
                )
                self.traffic.seen("left", request=id, front=self.front, how="cancelled", answered=id in self.answers)
                self.ended.add(id)
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if how in ("cancelled", "shut-down"):
            if how == "shut-down":
                self.sock.shutdown(socket.SHUT_WR)
                self._record_left(how)
            await anyio.sleep(LINGER_S)
        self.sock.close()
        self._record_left("closed" if how == "cancelled" else how)

    def _record_left(self, how: str) -> None:
        """Records that the viewer has left, once the kernel has the close, for all requests that have not ended."""
        for id in self.ids:
            if id not in self.ended:
                self.traffic.seen("left", request=id, front=self.front, how=how, answered=id in self.answers)
                self.ended.add(id)

    def _set_up(self, id: str) -> bytes:
        package = self.rng.choice(("lesson", "clip"))
        return (
            f"SETUP rtsp://media/00000000000000aa RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nX-Cos: {package}\r\n"
            f"X-Timer-Ms: {PATIENCE_MS}\r\nX-Legs: home:{self.rng.randrange(4)};copies:4;top:1;viewer:{id}\r\n"
            f"Content-Length: 5\r\n\r\noffer"
        ).encode()
