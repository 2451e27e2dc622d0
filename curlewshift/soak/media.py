"""Media servers of a trial: one process's worth of behaviour each, on plain sockets. They note each set-up as they see it.

A server keeps its attempts by id, as a real one does: a release ends what stands under its id, on whichever connection it comes.
"""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

import anyio

from curlewshift.soak import codec
from curlewshift.soak.proxy import LINGER_ZERO
from curlewshift.soak.records import Ending, Records, ServerAttempt

ANSWER_WITHIN_S = (0.002, 0.06)
SLOW_S = (0.2, 1.5)
LIVES_S = (0.5, 20.0)
NOTES_EVERY_S = 1.0


@dataclass(slots=True)
class Behaviour:
    """What a server does instead of what it should, while a fault lasts."""

    hangs: bool = False
    loses_answers: bool = False
    closes_after_accept: bool = False
    closes_after_first_byte: bool = False
    spoils: bool = False
    doubles: bool = False
    single_bytes: bool = False
    refuses: bool = False
    errs: bool = False
    slow: bool = False
    accepts_late_s: float = 0.0


@dataclass(eq=False, slots=True)
class Connection:
    """`origin` is the node and the number of its connection."""

    sock: socket.socket
    origin: tuple[str, int]
    reader: codec.BinaryReader = field(default_factory=codec.BinaryReader)
    used_at_s: float = 0.0
    closed: bool = False
    # held while a message goes out byte by byte
    dribbles: anyio.Lock = field(default_factory=anyio.Lock)


@dataclass(eq=False, slots=True)
class Held:
    """An attempt that is out, or the session that it set up."""

    seen: ServerAttempt
    connection: Connection
    stands: bool = False
    over: bool = False


class MediaServer:
    def __init__(
        self,
        name: str,
        cell: int,
        records: Records,
        rng: Random,
        origin_of,
        idle_close_s: float,
        says_heard: float,
        started_at_ms: int = 0,
    ):
        """`origin_of(port)` tells the node and connection behind a local port of a proxy."""
        self.name, self.cell, self.records, self.rng, self.origin_of = name, cell, records, rng, origin_of
        self.idle_close_s, self.says_heard, self.started_at_ms = idle_close_s, says_heard, started_at_ms
        self.behaviour = Behaviour()
        # the newest by id, and releases that are to be said on the next connection of a node
        self.held: dict[str, Held] = {}
        self.owed: dict[str, list[bytes]] = defaultdict(list)
        self.connections: list[Connection] = []
        self.alive = True
        self.wakes = anyio.Event()

    def open(self) -> int:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.setblocking(False)
        return self.listener.getsockname()[1]

    async def run(self, tasks) -> None:
        self.tasks = tasks
        tasks.start_soon(self._keep_house)
        with contextlib.suppress(anyio.ClosedResourceError, OSError):
            while self.alive:
                await anyio.wait_readable(self.listener)
                if self.behaviour.accepts_late_s:
                    await anyio.sleep(self.behaviour.accepts_late_s)
                with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
                    sock, (_, port) = self.listener.accept()
                    sock.setblocking(False)
                    tasks.start_soon(self._serve, sock, port)

    def die(self) -> None:
        """The process ends: its connections are reset and its sessions cut."""
        self.alive = False
        anyio.notify_closing(self.listener)
        self.listener.close()
        now_s = anyio.current_time()
        for connection in list(self.connections):
            self._close(connection, reset=True)
        for held in list(self.held.values()):
            self._end(held, Ending.CLOSED, now_s)

    def behave(self, **how) -> None:
        for name, value in how.items():
            setattr(self.behaviour, name, value)
        self.wakes.set()
        self.wakes = anyio.Event()

    # ---- connections

    async def _serve(self, sock: socket.socket, port: int) -> None:
        connection = Connection(sock, self.origin_of(port), used_at_s=anyio.current_time())
        if self.behaviour.closes_after_accept:
            self._close(connection)
            return
        self.connections.append(connection)
        try:
            for data in self.owed.pop(connection.origin[0], []):
                self._say(connection, data)
            while not connection.closed:
                await anyio.wait_readable(sock)
                data = sock.recv(65_536)
                if not data or self.behaviour.closes_after_first_byte:
                    return
                connection.used_at_s = anyio.current_time()
                for _, message in connection.reader.feed(data, connection.used_at_s):
                    self._take(connection, message)
                if connection.reader.broken:
                    return
        except (OSError, anyio.ClosedResourceError):
            pass
        finally:
            self._close(connection)
            self.connections.remove(connection)

    def _close(self, connection: Connection, reset: bool = False) -> None:
        if connection.closed:
            return
        connection.closed = True
        with contextlib.suppress(OSError):
            if reset:
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            anyio.notify_closing(connection.sock)
            connection.sock.close()
        now_s = anyio.current_time()
        for held in list(self.held.values()):
            if held.connection is connection and not held.stands:
                self._end(held, Ending.CLOSED, now_s)

    def _say(self, connection: Connection, data: bytes) -> None:
        if connection.closed:
            return
        connection.used_at_s = anyio.current_time()
        try:
            if self.behaviour.single_bytes or connection.dribbles.locked():
                self.tasks.start_soon(self._dribble, connection, data)
            else:
                connection.sock.send(data)
        except OSError:
            self._close(connection)

    async def _dribble(self, connection: Connection, data: bytes) -> None:
        async with connection.dribbles:
            for byte in data:
                if connection.closed:
                    return
                with contextlib.suppress(OSError):
                    connection.sock.send(bytes((byte,)))
                await anyio.sleep(0)

    def _connection_to(self, held: Held) -> Connection | None:
        """That of its set-up, else any open one to its node."""
        if not held.connection.closed:
            return held.connection
        return next((one for one in self.connections if one.origin[0] == held.seen.node and not one.closed), None)

    # ---- messages

    def _take(self, connection: Connection, message: codec.Binary) -> None:
        now_s = anyio.current_time()
        if message.kind == codec.SET_UP:
            node, number = connection.origin
            seen = ServerAttempt(message.id, node, self.name, number, now_s)
            self.records.server_attempts.append(seen)
            held = self.held[message.id] = Held(seen, connection)
            self.tasks.start_soon(self._set_up, held, message)
        elif message.kind == codec.RELEASE:
            held = self.held.get(message.id)
            if held is not None:
                self._end(held, Ending.GIVEN_UP, now_s)
            if self.rng.random() < self.says_heard and not self.behaviour.hangs:
                self._say(connection, codec.binary(codec.RELEASE_HEARD, message.id))
        elif message.kind == codec.PROBE and not self.behaviour.hangs:
            self._say(connection, codec.binary(codec.PROBED, message.id, (codec.CAUSE, b"\1"), (codec.REPORT, b"x0:0.4")))

    async def _set_up(self, held: Held, message: codec.Binary) -> None:
        await anyio.sleep(self.rng.uniform(*(SLOW_S if self.behaviour.slow else ANSWER_WITHIN_S)))
        while self.behaviour.hangs and self.alive:
            await self.wakes.wait()
        if held.over or not self.alive:
            return
        behaviour, now_s, id = self.behaviour, anyio.current_time(), message.id
        if behaviour.refuses or behaviour.errs:
            cause = codec.FULL if behaviour.refuses else codec.ERROR
            self._end(held, Ending.REFUSED if behaviour.refuses else Ending.FAILED, now_s)
            self._say(held.connection, codec.binary(codec.RELEASE, id, (codec.CAUSE, bytes((cause,)))))
            return
        held.stands = True
        held.seen.ended_at, held.seen.ending = now_s, Ending.SET_UP
        body = b"plays at " + self.name.encode() + b" " + message.fields.get(codec.DESCRIPTION, b"")
        held.seen.body = body
        answer = codec.binary(codec.ANSWER, id, (codec.DESCRIPTION, body), (codec.REPORT, b"x0:0.4"))
        if behaviour.spoils:
            answer = os.urandom(24) if self.rng.random() < 0.5 else answer[:-7]
        if not behaviour.loses_answers:
            self._say(held.connection, answer + (answer if behaviour.doubles else b""))
        self.tasks.start_soon(self._play, held)

    async def _play(self, held: Held) -> None:
        await anyio.sleep(self.rng.uniform(*LIVES_S))
        while self.behaviour.hangs and self.alive:
            await self.wakes.wait()
        if held.over or not self.alive:
            return
        self._end(held, Ending.SET_UP, anyio.current_time())
        over = codec.binary(codec.RELEASE, held.seen.id, (codec.CAUSE, bytes((codec.OVER,))))
        connection = self._connection_to(held)
        if connection is not None:
            self._say(connection, over)
        # it is said on the next connection too
        self.owed[held.seen.node].append(over)

    def _end(self, held: Held, ending: Ending, at_s: float) -> None:
        if held.over:
            return
        held.over = True
        if held.stands:
            held.seen.session_ended_at = at_s
            held.seen.ended_by_itself = ending is not Ending.GIVEN_UP
        else:
            held.seen.ended_at, held.seen.ending = at_s, ending
        if self.held.get(held.seen.id) is held:
            del self.held[held.seen.id]

    async def _keep_house(self) -> None:
        """Notes to the nodes that have sessions here, and the end of connections that rest."""
        while self.alive:
            await anyio.sleep(NOTES_EVERY_S / 4)
            now_s = anyio.current_time()
            for connection in list(self.connections):
                if now_s - connection.used_at_s > self.idle_close_s:
                    self._close(connection)
            if self.behaviour.hangs or self.rng.random() > 0.25:
                continue
            told = set()
            for held in list(self.held.values()):
                connection = self._connection_to(held)
                if held.stands and connection is not None and held.seen.node not in told:
                    told.add(held.seen.node)
                    self._say(
                        connection, codec.binary(codec.NOTE, held.seen.id, (codec.NOTE_KIND, b"wire"), (codec.FIGURE, b"0.4"))
                    )


def record_of_list(name: str, port: int, state: int, cell: int, started_at_ms: int) -> bytes:
    """One record of the list, by the protocol page."""
    return struct.pack(">I4sHBBBHIQ", int(name[2:], 16), bytes((127, 0, 0, 1)), port, state, 0, 0, cell, 1000, started_at_ms)
