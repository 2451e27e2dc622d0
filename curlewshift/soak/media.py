"""Simulated media servers of a trial, on plain sockets. Each server records every set-up that it receives.

A server keeps its attempts by id, as a real one does: a release ends the attempt or session of its id, whichever connection it
arrives on. A session that a release cuts is reported with cause 41.
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

ANSWER_DELAY_S = (0.002, 0.06)
SLOW_ANSWER_DELAY_S = (0.2, 1.5)
SESSION_DURATION_S = (0.5, 20.0)
NOTE_INTERVAL_S = 1.0
# The share of lost answers whose connection is reset.
RESET_WITH_LOST_ANSWER = 0.5


@dataclass(slots=True)
class Behaviour:
    """How a server misbehaves while a fault is active."""

    hangs: bool = False
    loses_answers: bool = False
    closes_after_accept: bool = False
    closes_after_first_byte: bool = False
    corrupts_answers: bool = False
    duplicates_answers: bool = False
    single_bytes: bool = False
    refuses: bool = False
    fails: bool = False
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
    # held while a message is sent byte by byte, so that messages do not interleave
    send_lock: anyio.Lock = field(default_factory=anyio.Lock)


@dataclass(eq=False, slots=True)
class HeldAttempt:
    """An open attempt, or the session that it set up (`is_session`)."""

    record: ServerAttempt
    connection: Connection
    is_session: bool = False
    ended: bool = False


class MediaServer:
    def __init__(
        self,
        name: str,
        cell: int,
        records: Records,
        rng: Random,
        origin_of,
        idle_close_s: float,
        confirm_probability: float,
        started_at_ms: int = 0,
    ):
        """`origin_of(port)` gives the node and connection behind a local port of a proxy.

        `confirm_probability` is the probability that the server confirms a release.
        """
        self.name, self.cell, self.records, self.rng, self.origin_of = name, cell, records, rng, origin_of
        self.idle_close_s, self.confirm_probability, self.started_at_ms = idle_close_s, confirm_probability, started_at_ms
        self.behaviour = Behaviour()
        # the newest attempt by id, and by node the releases to send on its next connection
        self.held: dict[str, HeldAttempt] = {}
        self.pending_releases: dict[str, list[bytes]] = defaultdict(list)
        self.connections: list[Connection] = []
        self.alive = True
        # a generator of its own, so that the other draws of a seed stay as they were
        self.own_rng = Random(rng.getstate()[1][0])
        self.behaviour_changed = anyio.Event()

    def open(self) -> int:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.setblocking(False)
        return self.listener.getsockname()[1]

    async def run(self, tasks) -> None:
        self.tasks = tasks
        tasks.start_soon(self._send_notes_and_close_idle)
        with contextlib.suppress(anyio.ClosedResourceError, OSError):
            while self.alive:
                await anyio.wait_readable(self.listener)
                if self.behaviour.accepts_late_s:
                    await anyio.sleep(self.behaviour.accepts_late_s)
                with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
                    sock, (_, port) = self.listener.accept()
                    sock.setblocking(False)
                    tasks.start_soon(self._serve, sock, port)

    def terminate(self) -> None:
        """Acts as if the server process ended: resets its connections and ends its attempts and sessions."""
        self.alive = False
        anyio.notify_closing(self.listener)
        self.listener.close()
        now_s = anyio.current_time()
        for connection in list(self.connections):
            self._close(connection, reset=True)
        for held in list(self.held.values()):
            self._end(held, Ending.CLOSED, now_s)

    def set_behaviour(self, **changes) -> None:
        for name, value in changes.items():
            setattr(self.behaviour, name, value)
        self.behaviour_changed.set()
        self.behaviour_changed = anyio.Event()

    # ---- connections

    async def _serve(self, sock: socket.socket, port: int) -> None:
        connection = Connection(sock, self.origin_of(port), used_at_s=anyio.current_time())
        if self.behaviour.closes_after_accept:
            self._close(connection)
            return
        self.connections.append(connection)
        try:
            for data in self.pending_releases.pop(connection.origin[0], []):
                self._send(connection, data)
            while not connection.closed:
                await anyio.wait_readable(sock)
                data = sock.recv(65_536)
                if not data or self.behaviour.closes_after_first_byte:
                    return
                connection.used_at_s = anyio.current_time()
                for _, message in connection.reader.feed(data, connection.used_at_s):
                    self._handle_message(connection, message)
                if connection.reader.malformed:
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
            if held.connection is connection and not held.is_session:
                self._end(held, Ending.CLOSED, now_s)

    def _send(self, connection: Connection, data: bytes) -> None:
        if connection.closed:
            return
        connection.used_at_s = anyio.current_time()
        try:
            if self.behaviour.single_bytes or connection.send_lock.locked():
                self.tasks.start_soon(self._send_byte_by_byte, connection, data)
            else:
                connection.sock.send(data)
        except OSError:
            self._close(connection)

    async def _send_byte_by_byte(self, connection: Connection, data: bytes) -> None:
        async with connection.send_lock:
            for byte in data:
                if connection.closed:
                    return
                with contextlib.suppress(OSError):
                    connection.sock.send(bytes((byte,)))
                await anyio.sleep(0)

    def _connection_to(self, held: HeldAttempt) -> Connection | None:
        """The connection of its set-up if still open, else any open connection to the same node."""
        if not held.connection.closed:
            return held.connection
        return next(
            (connection for connection in self.connections if connection.origin[0] == held.record.node and not connection.closed),
            None,
        )

    # ---- messages

    def _handle_message(self, connection: Connection, message: codec.Binary) -> None:
        now_s = anyio.current_time()
        if message.kind == codec.SET_UP:
            node, number = connection.origin
            record = ServerAttempt(message.id, node, self.name, number, now_s)
            self.records.server_attempts.append(record)
            held = self.held[message.id] = HeldAttempt(record, connection)
            self.tasks.start_soon(self._set_up, held, message)
        elif message.kind == codec.RELEASE:
            confirms = self.rng.random() < self.confirm_probability
            self._handle_release(connection, message.id, confirms, now_s)
        elif message.kind == codec.PROBE and not self.behaviour.hangs:
            self._send(connection, codec.binary(codec.PROBE_ANSWER, message.id, (codec.CAUSE, b"\1"), (codec.REPORT, b"x0:0.4")))

    def _handle_release(self, connection: Connection, id: str, confirms: bool, now_s: float) -> None:
        held = self.held.get(id)
        if held is not None:
            self._end(held, Ending.GIVEN_UP, now_s)
        if self.behaviour.hangs:
            return
        reports_first = self.own_rng.random() < 0.5
        cut = held is not None and held.is_session
        if cut and reports_first:
            self._report_cut(held, connection)
        if confirms:
            self._send(connection, codec.binary(codec.RELEASE_CONFIRMED, id))
        if cut and not reports_first:
            self._report_cut(held, connection)

    def _report_cut(self, held: HeldAttempt, released_on: Connection) -> None:
        """Reports a session that a release has cut: on the connection of its set-up, otherwise on any open one, and again on the
        node's next connection."""
        report = codec.binary(codec.RELEASE, held.record.id, (codec.CAUSE, bytes((codec.RESET,))))
        connection = held.connection
        if connection.closed:
            connection = self.own_rng.choice([released_on, self._connection_to(held) or released_on])
        self._send(connection, report)
        self.pending_releases[held.record.node].append(report)

    async def _set_up(self, held: HeldAttempt, message: codec.Binary) -> None:
        await anyio.sleep(self.rng.uniform(*(SLOW_ANSWER_DELAY_S if self.behaviour.slow else ANSWER_DELAY_S)))
        while self.behaviour.hangs and self.alive:
            await self.behaviour_changed.wait()
        if held.ended or not self.alive:
            return
        behaviour, now_s, id = self.behaviour, anyio.current_time(), message.id
        if behaviour.refuses or behaviour.fails:
            cause = codec.FULL if behaviour.refuses else codec.ERROR
            self._end(held, Ending.REFUSED if behaviour.refuses else Ending.FAILED, now_s)
            self._send(held.connection, codec.binary(codec.RELEASE, id, (codec.CAUSE, bytes((cause,)))))
            return
        held.is_session = True
        held.record.ended_at, held.record.ending = now_s, Ending.SET_UP
        body = b"plays at " + self.name.encode() + b" " + message.fields.get(codec.DESCRIPTION, b"")
        held.record.body = body
        answer = codec.binary(codec.ANSWER, id, (codec.DESCRIPTION, body), (codec.REPORT, b"x0:0.4"))
        if behaviour.corrupts_answers:
            answer = os.urandom(24) if self.rng.random() < 0.5 else answer[:-7]
        if not behaviour.loses_answers:
            self._send(held.connection, answer + (answer if behaviour.duplicates_answers else b""))
        elif self.own_rng.random() < RESET_WITH_LOST_ANSWER:
            self._close(held.connection, reset=True)
        self.tasks.start_soon(self._run_session, held)

    async def _run_session(self, held: HeldAttempt) -> None:
        await anyio.sleep(self.rng.uniform(*SESSION_DURATION_S))
        while self.behaviour.hangs and self.alive:
            await self.behaviour_changed.wait()
        if held.ended or not self.alive:
            return
        self._end(held, Ending.SET_UP, anyio.current_time())
        release = codec.binary(codec.RELEASE, held.record.id, (codec.CAUSE, bytes((codec.ENDED,))))
        connection = self._connection_to(held)
        if connection is not None:
            self._send(connection, release)
        # also sent on the node's next connection
        self.pending_releases[held.record.node].append(release)

    def _end(self, held: HeldAttempt, ending: Ending, at_s: float) -> None:
        if held.ended:
            return
        held.ended = True
        if held.is_session:
            held.record.session_ended_at = at_s
            held.record.ended_by_itself = ending is not Ending.GIVEN_UP
        else:
            held.record.ended_at, held.record.ending = at_s, ending
        if self.held.get(held.record.id) is held:
            del self.held[held.record.id]

    async def _send_notes_and_close_idle(self) -> None:
        """Sends load notes to the nodes that have sessions here, and closes idle connections."""
        while self.alive:
            await anyio.sleep(NOTE_INTERVAL_S / 4)
            now_s = anyio.current_time()
            for connection in list(self.connections):
                if now_s - connection.used_at_s > self.idle_close_s:
                    self._close(connection)
            if self.behaviour.hangs or self.rng.random() > 0.25:
                continue
            notified_nodes = set()
            for held in list(self.held.values()):
                connection = self._connection_to(held)
                if held.is_session and connection is not None and held.record.node not in notified_nodes:
                    notified_nodes.add(held.record.node)
                    self._send(
                        connection, codec.binary(codec.NOTE, held.record.id, (codec.NOTE_KIND, b"wire"), (codec.VALUE, b"0.4"))
                    )


def encode_list_record(name: str, port: int, state: int, cell: int, started_at_ms: int) -> bytes:
    """Encodes one record of the server list (protocol specification)."""
    return struct.pack(">I4sHBBBHIQ", int(name[2:], 16), bytes((127, 0, 0, 1)), port, state, 0, 0, cell, 1000, started_at_ms)
