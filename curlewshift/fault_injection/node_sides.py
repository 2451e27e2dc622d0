"""Both sides of a front node on loopback: viewers that leave in every way, and media servers that answer, refuse, break, hang,
go away or accept late. What each sees on its own sockets goes into the traffic. Called by node_day.py.

Ids are read off the wire by their places on the pages, with nothing of the program that is judged.
"""

from __future__ import annotations

import re
import socket
import struct
from random import Random

import anyio

from curlewshift.standins.traffic import Traffic, arrived_at

SET_UP, ANSWER, RELEASE, RELEASED, PROBE, PROBED = 1, 9, 12, 16, 52, 53
CAUSE, DESCRIPTION = 47, 48
FULL, ERROR = 34, 47
BACKLOG = 256
# What a set-up meets, and how often.
DEALS = {"plays": 8, "refuses": 8, "fails": 1, "breaks": 1, "hangs": 1}
# It is dealt with after so long at the most (s); every other one at once.
DEALT_WITHIN = 0.4
# A server accepts late, or is away, for between so long (s), and is well for between so long.
AWAY, WELL = (0.1, 0.8), (0.2, 2.0)
# Of a hundred connections so many stay for their answers; the others leave by one of these.
STAY = 25
WAYS = ("closed", "reset", "shut-down", "cancelled")
# They leave at once, within the time of a dial on loopback, or within that of a dial that is lost once (s).
LEAVE_WITHIN = (0.0, 0.02, 0.3, 1.3)
# Who stays is answered within this (s): the time that the node is told, from when it reads that; it may be stopped before.
PATIENCE_MS, ANSWERED_WITHIN = 3000, 10.0
LINGERS = 0.5
PLAYS, REFUSED, FAILED = 200, 453, 500
ANSWERED = re.compile(rb"RTSP/1\.0 (\d+) [^\r]*\r\nCSeq: \d+\r\nSession: ([0-9a-f]{16})\r\n")


def message(kind: int, id: bytes, code: int = 0, value: bytes = b"") -> bytes:
    rest = struct.pack(">BH", code, len(value)) + value if code else b""
    return struct.pack(">HB", 9 + len(rest), kind) + id + rest


class Server:
    """One media server. Listening on a queue that is full it cannot be dialled: the kernel drops who comes, and who comes again
    a second later gets in, if it has made room by then."""

    def __init__(self, number: int, port: int, rng: Random, traffic: Traffic):
        self.port = port
        self.name, self.number, self.rng, self.traffic = f"s-{number + 1:08x}", number, rng, traffic
        self.given_up: set[bytes] = set()
        self.accepts, self.parked, self.turn = anyio.Event(), anyio.Event(), anyio.CancelScope()
        self.accepts.set()
        self._listen()

    async def run(self, tasks) -> None:
        while True:
            if not self.accepts.is_set():
                self.parked.set()
                await self.accepts.wait()
            with anyio.CancelScope() as self.turn:
                await anyio.wait_readable(self.listener)
            try:
                sock = self.listener.accept()[0] if self.accepts.is_set() else None
            except OSError:
                continue
            if sock is not None:
                sock.setblocking(False)
                tasks.start_soon(self._line, sock, tasks)

    async def befall(self, lasts: float) -> None:
        """Now and then it accepts late, or is away and refuses who dials it."""
        ends = anyio.current_time() + lasts
        while anyio.current_time() < ends:
            await anyio.sleep(self.rng.uniform(*WELL))
            # nobody may wait on a listener that is closed: waits are known by a descriptor's number, and the next socket gets it
            self.accepts, self.parked = anyio.Event(), anyio.Event()
            self.turn.cancel()
            await self.parked.wait()
            late = self.rng.random() < 0.75
            fillers = [self._filler()] if late else []
            if not late:
                self.listener.close()
            await anyio.sleep(self.rng.uniform(*AWAY))
            for filler in fillers:
                filler.close()
            if late:
                self.listener.listen(BACKLOG)
            else:
                self._listen()
            self.accepts.set()

    def _filler(self) -> socket.socket:
        """Takes a place of the queue, which has one."""
        self.listener.listen(0)
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(("127.0.0.1", self.port))
        return filler

    def _listen(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=BACKLOG)
        self.listener.setblocking(False)

    async def _line(self, sock: socket.socket, tasks) -> None:
        held, first = b"", 0
        try:
            while sock.fileno() >= 0:
                await anyio.wait_readable(sock)
                came = arrived_at(sock)
                data = sock.recv(65536)
                if not data:
                    break
                first, held = first if held else came, held + data
                while len(held) >= 2 and len(held) >= (whole := 2 + int.from_bytes(held[:2], "big")):
                    self._take(sock, tasks, held[2], held[3:11], first)
                    first, held = came, held[whole:]
        except (OSError, ValueError, anyio.ClosedResourceError, anyio.BrokenResourceError):
            pass
        finally:
            sock.close()

    @staticmethod
    def _close(sock: socket.socket, reset: bool = False) -> None:
        """Who reads on it wakes and closes it."""
        try:
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass

    def _take(self, sock: socket.socket, tasks, kind: int, id: bytes, first: int) -> None:
        if kind == SET_UP:
            self.traffic.seen("setup", request=id.hex(), server=self.name, first_byte=first)
            deal = self.rng.choices(list(DEALS), list(DEALS.values()))[0]
            tasks.start_soon(self._deal, sock, id, deal, self.rng.choice((0.0, self.rng.uniform(0, DEALT_WITHIN))))
        elif kind == RELEASE:
            self.given_up.add(id)
            self._say(sock, message(RELEASED, id))
        elif kind == PROBE:
            self._say(sock, message(PROBED, id, CAUSE, b"\1"))

    async def _deal(self, sock: socket.socket, id: bytes, deal: str, after: float) -> None:
        await anyio.sleep(after)
        if id in self.given_up:
            return
        if deal == "plays":
            self._say(sock, message(ANSWER, id, DESCRIPTION, b"plays"))
        elif deal in ("refuses", "fails"):
            self._say(sock, message(RELEASE, id, CAUSE, bytes((FULL if deal == "refuses" else ERROR,))))
        elif deal == "breaks":
            self._close(sock, reset=self.rng.random() < 0.5)

    def _say(self, sock: socket.socket, data: bytes) -> None:
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
        self.heard = b""
        # requests of one that stayed, and that nobody answered
        self.unanswered = 0
        self.over: set[str] = set()

    @property
    def waits_for(self) -> list[str]:
        return [id for id in self.ids if id not in self.answers and id not in self.over]

    async def come(self, port: int) -> None:
        # the whole way by system calls: what is noted is what the kernel has
        try:
            self.sock = socket.create_connection(("127.0.0.1", port), 2.0)
        except OSError:
            # it has asked for nothing
            return
        self.sock.setblocking(False)
        try:
            for id in self.ids:
                self.traffic.seen("ask", request=id, front=self.front)
            self.sock.sendall(b"".join(self._set_up(id) for id in self.ids))
            stays = self.rng.randrange(100) < STAY
            within = ANSWERED_WITHIN if stays else self.rng.uniform(0, self.rng.choice(LEAVE_WITHIN))
            if not stays and not within:
                # nobody has had a turn since the request went out
                await self._leave(self.rng.choice(WAYS))
                return
            with anyio.move_on_after(within):
                while self.waits_for:
                    await self._hear()
            self.unanswered = len(self.waits_for) if stays else 0
            await self._leave("closed" if stays else self.rng.choice(WAYS))
        except ConnectionError:
            self._gone("broken")
        finally:
            self.sock.close()

    async def _hear(self) -> None:
        await anyio.wait_readable(self.sock)
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError
        self.heard += data
        for status, id in ANSWERED.findall(self.heard):
            if id.decode() in self.waits_for:
                self.answers[id.decode()] = int(status)
                self.traffic.seen("answer", request=id.decode(), status=int(status))

    async def _leave(self, how: str) -> None:
        for id in self.ids:
            if (how == "cancelled" and id not in self.answers) or self.answers.get(id) == PLAYS:
                self.sock.sendall(
                    f"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id}\r\nContent-Length: 0\r\n\r\n".encode()
                )
                self.traffic.seen("left", request=id, front=self.front, how="cancelled", answered=id in self.answers)
                self.over.add(id)
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if how in ("cancelled", "shut-down"):
            if how == "shut-down":
                self.sock.shutdown(socket.SHUT_WR)
                self._gone(how)
            await anyio.sleep(LINGERS)
        self.sock.close()
        self._gone("closed" if how == "cancelled" else how)

    def _gone(self, how: str) -> None:
        """The end is in the kernel for all that is still asked here."""
        for id in self.ids:
            if id not in self.over:
                self.traffic.seen("left", request=id, front=self.front, how=how, answered=id in self.answers)
                self.over.add(id)

    def _set_up(self, id: str) -> bytes:
        package = self.rng.choice(("lesson", "clip"))
        return (
            f"SETUP rtsp://media/00000000000000aa RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nX-Cos: {package}\r\n"
            f"X-Timer-Ms: {PATIENCE_MS}\r\nX-Legs: home:{self.rng.randrange(4)};copies:4;top:1;viewer:{id}\r\n"
            f"Content-Length: 5\r\n\r\noffer"
        ).encode()
