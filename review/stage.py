"""Stand-ins for the cases of the second review: media servers, the bulletin, viewers, and the front node as a process.

Standard library only, loopback addresses, real clock. Everything that passes on the sockets is written to a record.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SET_UP, ANSWER, RELEASE, HEARD, NOTE, PROBE, PROBED, RUNG = 1, 9, 12, 16, 44, 52, 53, 60
NAMES = {
    SET_UP: "set-up",
    ANSWER: "answer",
    RELEASE: "release",
    HEARD: "release-heard",
    NOTE: "note",
    PROBE: "test",
    PROBED: "test-passed",
    RUNG: "new-rung",
}
CLASS, WAIT, TITLE, NOTE_KIND, REPORT, LEVEL, FIGURE, CAUSE, DESCRIPTION = 33, 34, 37, 40, 42, 44, 45, 47, 48
LINGER_ZERO = struct.pack("ii", 1, 0)
# "every time limit is 50 ms longer"
SLACK_S = 0.05
# Descriptors that a case may need for its own side.
MOST_DESCRIPTORS = 4096
# A run in which this process itself was later than this (s) is not judged.
MOST_LATE_S = 0.5


class CannotRunError(Exception):
    """The case cannot be judged: a stand-in or the start of the node failed."""


class Record:
    """Lines of record.txt: seconds since the start, who, and what was sent, answered or run."""

    def __init__(self, folder: Path):
        self.file, self.start = (folder / "record.txt").open("w"), time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.start

    def line(self, who: str, what: str) -> None:
        """Writes one line."""
        self.file.write(f"{self.now():9.4f} {who:<10} {what}\n")
        self.file.flush()


class Wire:
    """One TCP connection on a plain socket. `on_data(wire, data)` and `on_end(wire)` are called from its reader."""

    def __init__(self, sock: socket.socket, on_data, on_end):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.on_data, self.on_end, self.buffer, self.out = sock, on_data, on_end, bytearray(), bytearray()
        self.open, self.writer = True, None
        self.reader = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await loop.sock_recv(self.sock, 65536):
                self.on_data(self, data)
        except OSError:
            pass
        self.close()

    def send(self, data: bytes) -> None:
        """Sends now what the kernel takes, and the rest in the background."""
        if not self.open:
            return
        self.out += data
        if self.writer is None or self.writer.done():
            with contextlib.suppress(BlockingIOError, OSError):
                del self.out[: self.sock.send(self.out)]
            if self.out:
                self.writer = asyncio.get_running_loop().create_task(self._write())

    async def _write(self) -> None:
        with contextlib.suppress(OSError):
            while self.out and self.open:
                piece = bytes(self.out)
                del self.out[: len(piece)]
                await asyncio.get_running_loop().sock_sendall(self.sock, piece)

    def close(self, reset: bool = False) -> None:
        """Closes the connection, with a reset if asked."""
        if not self.open:
            return
        self.open = False
        if self.reader is not asyncio.current_task():
            self.reader.cancel()
        if reset:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.sock.close()
        self.on_end(self)


class Listener:
    """Accepts connections on a free port of a loopback address."""

    def __init__(self, on_connection, backlog: int = 128):
        self.sock, self.backlog = socket.socket(socket.AF_INET, socket.SOCK_STREAM), backlog
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(backlog)
        self.sock.setblocking(False)
        self.port, self.on_connection, self.fillers = self.sock.getsockname()[1], on_connection, []
        self.resume()

    def resume(self) -> None:
        """Accepts connections."""
        self.task = asyncio.get_running_loop().create_task(self._accept())

    async def _accept(self) -> None:
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self.sock)
            self.on_connection(sock)

    def silence(self) -> None:
        """New connections never come up: the accept queue is full, and the kernel drops what comes."""
        self.task.cancel()
        for _ in range(self.backlog + 4):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def unsilence(self) -> None:
        """Empties the accept queue and accepts connections again."""
        with contextlib.suppress(BlockingIOError):
            while True:
                self.sock.accept()[0].close()
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.resume()


def message(kind: int, id: str, *parameters: tuple[int, bytes]) -> bytes:
    """Encodes a binary message."""
    rest = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters)
    return struct.pack(">HB", 9 + len(rest), kind) + bytes.fromhex(id) + rest


class MediaServer:
    """A sound media server: sets sessions up, tests, notes, and releases as the protocol page says."""

    host = "127.0.0.1"

    def __init__(self, stage: Stage, number: int, cell: int):
        self.stage, self.record = stage, stage.record
        self.name, self.number, self.cell, self.state, self.started_ms = f"s-{number:08x}", number, cell, "active", 0
        self.listener = Listener(self._connected, 8)
        self.port = self.listener.port
        self.wires: list[Wire] = []
        self.old_wires: list[Wire] = []
        # sessions that stand here: id -> the connection of the set-up, or None for one from before the start
        self.sessions: dict[str, Wire | None] = {}
        # set-ups that are out: id -> connection
        self.out: dict[str, Wire] = {}
        # releases owed on the next connection that is opened
        self.owed: list[bytes] = []
        self.set_ups: list[tuple[float, str]] = []
        self.answer_after_s, self.description_bytes = 0.005, 0
        # called with (wire, id, parameters) for each set-up; true if it deals with the set-up itself
        self.on_set_up = lambda wire, id, parameters: False
        self.gone, self.life, self.notes = False, 0, 0
        # what arrives while the server stands still
        self.still, self.unread = False, []
        asyncio.get_running_loop().create_task(self._notes())

    def _connected(self, sock: socket.socket) -> None:
        wire = Wire(sock, self._data, self._ended)
        self.wires.append(wire)
        wire.number = len(self.wires) + len(self.old_wires)
        self.record.line(self.name, f"connection {sock.getpeername()[1]} comes up")
        owed, self.owed = self.owed, []
        for data in owed:
            self.send(wire, data, "owed on the next connection")

    def _ended(self, wire: Wire) -> None:
        if wire in self.wires:
            self.wires.remove(wire)
            self.record.line(self.name, f"a connection ends, {len(self.wires)} left")
        for id in [id for id, other in self.out.items() if other is wire]:
            del self.out[id]

    def port_of(self, wire: Wire) -> int:
        """The peer's port, which names the connection in the record."""
        with contextlib.suppress(OSError):
            return wire.sock.getpeername()[1]
        return 0

    def send(self, wire: Wire, data: bytes, remark: str = "") -> None:
        """Sends a message and records it."""
        self.record.line(self.name, f"-> {NAMES.get(data[2])} {data[3:11].hex()} on {self.port_of(wire)} {remark}")
        wire.send(data)

    def _data(self, wire: Wire, data: bytes) -> None:
        wire.buffer += data
        while len(wire.buffer) >= 2:
            length = int.from_bytes(wire.buffer[:2], "big")
            if len(wire.buffer) < 2 + length:
                return
            raw = bytes(wire.buffer[2 : 2 + length])
            del wire.buffer[: 2 + length]
            parameters, at = {}, 9
            while at < len(raw):
                size = int.from_bytes(raw[at + 1 : at + 3], "big")
                parameters[raw[at]] = raw[at + 3 : at + 3 + size]
                at += 3 + size
            self._message(wire, raw[0], raw[1:9].hex(), parameters)

    def _message(self, wire: Wire, kind: int, id: str, parameters: dict[int, bytes]) -> None:
        if self.still:
            self.unread.append((wire, kind, id, parameters))
            return
        if kind != PROBE:
            cause = f"cause {parameters[CAUSE][0]}" if CAUSE in parameters else ""
            self.record.line(self.name, f"<- {NAMES.get(kind, kind)} {id} on {self.port_of(wire)} {cause}")
        if kind == SET_UP:
            self.set_ups.append((self.record.now(), id))
            self.out[id] = wire
            if self.on_set_up(wire, id, parameters):
                pass
            elif not self.answer_after_s:
                self.answer(id, parameters, self.life)
            else:
                asyncio.get_running_loop().call_later(self.answer_after_s, self.answer, id, parameters, self.life)
        elif kind == RELEASE:
            self.out.pop(id, None)
            if self.sessions.pop(id, 0) != 0:
                self.record.line(self.name, f"session {id} is cut by the release")
            self.send(wire, message(HEARD, id))
        elif kind == PROBE:
            wire.send(message(PROBED, id, (CAUSE, b"\1"), (REPORT, b"x0:0.3")))

    def description_of(self, id: str) -> bytes:
        """The description that this server gives for a session."""
        return f"v=0 {self.name} {id} ".encode().ljust(self.description_bytes, b"a")

    def answer(self, id: str, parameters: dict[int, bytes], life: int = 0) -> None:
        """The session stands."""
        wire = self.out.pop(id, None)
        if wire is not None and life == self.life:
            self.sessions[id] = wire
            self.send(wire, message(ANSWER, id, (DESCRIPTION, self.description_of(id)), (REPORT, b"x0:0.3")))

    def end(self, id: str, wire: Wire | None = None) -> None:
        """The session comes to its end: its release goes on the connection of its set-up, otherwise on any open one (`wire`, if
        given), and on the next connection that is opened."""
        own = self.sessions.pop(id)
        release = message(RELEASE, id, (CAUSE, bytes((16,))))
        if own is not None and own.open:
            wire = own
        elif wire is None or not wire.open:
            wire = self.wires[-1] if self.wires else None
        if wire is not None:
            self.send(wire, release, "the session has come to its end")
        self.owed.append(release)

    async def _notes(self) -> None:
        while True:
            await asyncio.sleep(self.stage.told_every_s)
            if self.gone or self.still:
                continue
            for id, wire in list(self.sessions.items()):
                wire = wire if wire is not None and wire.open else (self.wires[0] if self.wires else None)
                if wire is not None:
                    self.send(wire, message(NOTE, id, (NOTE_KIND, b"wire"), (FIGURE, b"0.3")))
                    self.notes += 1
                    break

    def stand_still(self) -> None:
        """The server takes work and answers nothing."""
        self.still = True
        self.record.line(self.name, "stands still")

    def go_on(self) -> None:
        """The server goes on, and answers what it has taken and nobody has given up."""
        self.still, unread, self.unread = False, self.unread, []
        given_up = {id for _, kind, id, _ in unread if kind == RELEASE}
        self.record.line(self.name, f"goes on with {len(unread)} messages, {len(given_up)} of them releases")
        after_s, self.answer_after_s = self.answer_after_s, 0.0
        for wire, kind, id, parameters in unread:
            if wire.open and not (kind == SET_UP and id in given_up):
                self._message(wire, kind, id, parameters)
        self.answer_after_s = after_s

    def vanish(self) -> None:
        """The machine is lost: open connections stay open and silent, new ones never come up, its sessions are cut."""
        self.gone, self.life = True, self.life + 1
        self.record.line(self.name, f"the machine is lost, and its sessions with it: {' '.join(self.sessions)}")
        self.sessions, self.out, self.owed = {}, {}, []
        self.old_wires, self.wires = self.wires, []
        for wire in self.old_wires:
            wire.reader.cancel()
        self.listener.silence()

    def come_back(self) -> None:
        """The machine is back with a new process: it resets what is sent on connections that it does not know."""
        self.gone, self.started_ms = False, int(time.time() * 1000)
        self.record.line(self.name, "the machine is back, a new process runs")
        self.listener.unsilence()
        for wire in self.old_wires:
            wire.on_data, wire.on_end = (lambda wire, data: wire.close(reset=True)), (lambda wire: None)
            wire.reader = asyncio.get_running_loop().create_task(wire._read())


class Bulletin:
    """The bulletin: numbered events to whoever connects, and an empty frame each second."""

    STATES = {"active": 0, "leaving": 1, "left": 2}

    def __init__(self, record: Record):
        self.record, self.events, self.wires = record, [], []
        # how long a call waits for its turn
        self.turn_after_s = 0.0
        self.listener = Listener(lambda sock: Wire(sock, self._data, self._ended))
        self.port = self.listener.port
        asyncio.get_running_loop().create_task(self._beat())

    def _ended(self, wire: Wire) -> None:
        if wire in self.wires:
            self.wires.remove(wire)

    def _data(self, wire: Wire, data: bytes) -> None:
        wire.buffer += data
        if len(wire.buffer) == 8:
            last = int.from_bytes(wire.buffer[:8], "big")
            self.record.line("bulletin", f"<- asked for what follows {last}")
            asyncio.get_running_loop().call_later(self.turn_after_s, self._serve, wire, last)

    def _serve(self, wire: Wire, last: int) -> None:
        """Every later event, or an empty frame."""
        if not wire.open:
            self.record.line("bulletin", f"whoever asked for what follows {last} has closed the connection")
            return
        self.record.line("bulletin", f"-> what follows {last}")
        self.wires.append(wire)
        frames = [frame for number, frame in self.events if number > last]
        for frame in frames or [struct.pack(">IQB", 9, last, 0)]:
            wire.send(frame)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1)
            last = self.events[-1][0] if self.events else 1
            for wire in list(self.wires):
                wire.send(struct.pack(">IQB", 9, last, 0))

    def tell(self, *servers: MediaServer) -> None:
        """Tells the present state of these servers as the next event."""
        number = self.events[-1][0] + 1 if self.events else 2
        payload = b"".join(
            struct.pack(
                ">I4sHBBBHIQ",
                server.number,
                socket.inet_aton(server.host),
                server.port,
                self.STATES[server.state],
                0,
                0,
                server.cell,
                4000,
                server.started_ms,
            )
            for server in servers
        )
        frame = struct.pack(">IQB", 9 + len(payload), number, 2) + payload
        self.events.append((number, frame))
        self.record.line("bulletin", f"-> event {number}, a frame of {len(frame)} bytes with {len(servers)} servers")
        for server in servers[:8]:
            self.record.line("bulletin", f"   event {number}: {server.name} {server.state} started_ms {server.started_ms}")
        for wire in list(self.wires):
            wire.send(frame)


class Viewers:
    """One connection from viewers to the node; it carries many sessions."""

    HEAD = re.compile(rb"^(.*?)\r\n\r\n", re.DOTALL)

    def __init__(self, stage: Stage, name: str = "viewers"):
        self.stage, self.record, self.name = stage, stage.record, name
        # id -> when its set-up was sent, its answers as (time, status, description), and its releases
        self.sent: dict[str, float] = {}
        self.answers: dict[str, list[tuple[float, int, bytes]]] = {}
        self.releases: dict[str, list[float]] = {}
        self.waits: dict[str, float] = {}
        self.ended_at: float | None = None
        self.tested = asyncio.Event()

    def connect(self) -> Viewers:
        """Connects to the node."""
        self.wire = Wire(socket.create_connection(("127.0.0.1", self.stage.node_port)), self._data, self._ended)
        return self

    def _ended(self, wire: Wire) -> None:
        self.ended_at = self.record.now()
        self.record.line(self.name, "the connection has ended")

    def _data(self, wire: Wire, data: bytes) -> None:
        wire.buffer += data
        while match := self.HEAD.match(wire.buffer):
            lines = match[1].decode().split("\r\n")
            fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
            size = int(fields["content-length"])
            if len(wire.buffer) < match.end() + size:
                return
            body = bytes(wire.buffer[match.end() : match.end() + size])
            del wire.buffer[: match.end() + size]
            self._message(lines[0], fields, body)

    def _message(self, first: str, fields: dict[str, str], body: bytes) -> None:
        id, now = fields.get("session", ""), self.record.now()
        if fields["cseq"] != "3":
            self.record.line(self.name, f"<- {first} session {id} cseq {fields['cseq']} {fields.get('reason', '')}")
        if first.startswith("RTSP/1.0 "):
            status = int(first.split()[1])
            if fields["cseq"] == "3" and status == 200:
                self.tested.set()
            if fields["cseq"] == "1" and status >= 200:
                self.answers.setdefault(id, []).append((now, status, body))
        elif first.startswith("TEARDOWN"):
            self.releases.setdefault(id, []).append(now)
            self.wire.send(f"RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: {id}\r\nContent-Length: 0\r\n\r\n".encode())

    def test(self) -> None:
        """Asks whether the node is ready."""
        self.wire.send(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")

    def set_up(self, package: str, title: str, wait_ms: int, home: int = 0, copies: int = 3, at: str = "", body: int = 71) -> str:
        """Sends a set-up and returns its id; with `at` it hands a session over that plays at that server."""
        if not self.wire.open:
            raise CannotRunError("a set-up is to be sent on a connection that has ended")
        id, viewer = self.stage.new_id(), self.stage.new_id()
        legs = f"home:{home};copies:{copies};top:4;viewer:{viewer}" + (f";at:{at}" if at else "")
        description = f"{id} c=IN IP4 127.0.0.1 m=audio 31000 RTP/AVP 0 8 101 ".encode().ljust(body, b"b")
        self.record.line(self.name, f"-> SETUP {id} {package} title {title} X-Timer-Ms {wait_ms} {'at ' + at if at else ''}")
        self.wire.send(
            f"SETUP rtsp://media/{title} RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nX-Cos: {package}\r\nX-Timer-Ms: {wait_ms}\r\n"
            f"X-Legs: {legs}\r\nContent-Length: {len(description)}\r\n\r\n".encode()
            + description
        )
        self.sent[id], self.waits[id] = self.record.now(), wait_ms / 1000
        return id

    def tear_down(self, id: str) -> None:
        """The viewer gives up, or ends its session."""
        self.record.line(self.name, f"-> TEARDOWN {id}")
        self.wire.send(f"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id}\r\nContent-Length: 0\r\n\r\n".encode())


class Stage:
    """One front node as a process, its media servers, the bulletin and the settings of a small deployment."""

    def __init__(self, folder: Path, servers: int = 3, told_every_s: float = 4.25, sockets: int = 256):
        self.record, self.told_every_s, self.sockets = Record(folder), told_every_s, sockets
        self.ids = 0x5EED0000
        self.bulletin = Bulletin(self.record)
        self.servers = [MediaServer(self, 0xC41F70 + number, number) for number in range(servers)]
        spare = socket.create_server(("127.0.0.1", 0))
        self.node_port = spare.getsockname()[1]
        spare.close()
        self.node: subprocess.Popen | None = None
        self.folder, self.obligations, self.extra = folder, {}, {}
        # servers that are listed and never reached
        self.others: list = []
        self.temporary = tempfile.TemporaryDirectory()
        self.config = Path(self.temporary.name) / "config.json"

    def new_id(self) -> str:
        """An id that was not used before: 16 hex digits."""
        self.ids += 1
        return f"{self.ids * 0x9E3779B97F4A7C15 % 2**64:016x}"

    def document(self) -> dict:
        """The configuration file, in the form of the deployment page; the figures lie in the ranges of a small site file."""
        rows = [
            dict(
                id=server.name,
                addr=f"{server.host}:{server.port}",
                zone="room",
                kind="four-core",
                cell=server.cell,
                state=server.state,
                weight=4,
                started_ms=server.started_ms,
            )
            for server in [*self.servers, *self.others]
        ]
        classes = [
            dict(
                name=name,
                effect=effect,
                gain=gain,
                goal_time_ms=goal,
                give_up_ms=give_up,
                window_ms=5000,
                group="all",
                stream=True,
            )
            for name, effect, gain, goal, give_up in (("lesson", "safe", 1, 800, 3000), ("paid", "unsafe", 2, 1000, 5000))
        ]
        settings = dict(
            areas=["room"],
            az="room",
            balancers=1,
            my_number=0,
            flavors=["four-core"],
            family="streams",
            discovery="push",
            bounds=dict(
                cancel=True,
                connect_timeout_ms=250,
                idle_close_ms=30000,
                max_attempts=5,
                max_retry_after_ms=2000,
                probes=True,
                retry_after=True,
                streams_per_conn=32,
                parallel_tries=False,
                peers=False,
            ),
            classes=classes,
            extra=dict(
                cells=len(self.servers),
                cabinets=1,
                class_seats=[0, 0],
                floor_by_class=[0, 0],
                top_by_class=[4, 4],
                scale_by_class=[0.7, 1.2],
                kb_per_weight=20000,
                rack_kb=1000000,
                rung_kb=[227, 401, 707, 1247, 2199],
                rung_worth=[0.23, 0.45, 0.64, 0.82, 1],
                kind_streams=[200],
                told_every_ms=self.told_every_s * 1000,
                told_late_ms=500,
                guard=0,
                join=1,
            )
            | self.extra,
            obligations=dict(
                answer_slack_ms=40,
                drain_grace_ms=2000,
                fall_ms=2000,
                fall_multiple=4,
                start_capacity=0.4,
                warm_within_ms=12000,
                ask_within_ms=10000,
            )
            | self.obligations,
            telemetry=dict(fields=["x0"], how="inline"),
            tenants=[],
            weights="nominal",
        )
        return dict(
            name="n1",
            listen=f"127.0.0.1:{self.node_port}",
            seed="8c1f30d27a5be964",
            limits=dict(cores=1.0, memory_mb=192, sockets=self.sockets),
            bulletin=f"127.0.0.1:{self.bulletin.port}",
            known=dict(no=1, items=[dict(no=1, roster=dict(version=1, full=True, servers=rows))]),
            settings=settings,
        )

    async def start(self) -> None:
        """Starts the node with the deploy file's `run` and waits until it has passed a test."""
        self.config.write_text(json.dumps(self.document()))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = dict(os.environ, NODE_NAME="n1", NODE_LISTEN=f"127.0.0.1:{self.node_port}", NODE_CONFIG=str(self.config))
        environment["TMPDIR"] = self.temporary.name
        self.log = (Path(self.temporary.name) / "node.log").open("wb")
        self.node = subprocess.Popen(
            ["/bin/sh", "-c", f"ulimit -n {self.sockets}; {run}"], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.record.line("case", f"node started, TROUBLE={int(TROUBLE)}")
        for _ in range(200):
            await asyncio.sleep(0.1)
            if self.node.poll() is not None:
                raise CannotRunError("the node ended at its start")
            with contextlib.suppress(OSError):
                probe = Viewers(self, "front").connect()
                probe.test()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(probe.tested.wait(), 0.5)
                    probe.wire.close()
                    self.record.line("front", "the node has passed a test")
                    return
                probe.wire.close()
        raise CannotRunError("the node was not ready within 20 s")

    def terminate(self) -> float:
        """A planned restart begins: SIGTERM to the program that `run` started."""
        self.record.line("platform", "SIGTERM")
        self.node.send_signal(signal.SIGTERM)
        return self.record.now()

    def alive(self) -> bool:
        """Whether the node's process runs."""
        return self.node.poll() is None

    def stop(self) -> None:
        """Ends the node: killed, as nothing is judged any more."""
        if self.node is not None and self.node.poll() is None:
            self.node.send_signal(signal.SIGKILL)
        if self.node is not None:
            self.node.wait()
            self.log.close()
            if os.environ.get("KEEP_LOG"):
                (self.folder / "node.log").write_bytes(Path(self.log.name).read_bytes())
        self.temporary.cleanup()


async def watch_lateness(lateness: list[float]) -> None:
    """Keeps the longest time (s) by which this process's own event loop was late."""
    while True:
        due = time.monotonic() + 0.05
        await asyncio.sleep(0.05)
        lateness[0] = max(lateness[0], time.monotonic() - due)


def run(folder: str, play) -> None:
    """Plays a case: `await play(make_stage)` returns the breaches of the rule that it has seen. Exits with 0, 1 or 2."""
    stages: list[Stage] = []
    lateness = [0.0]
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < MOST_DESCRIPTORS:
        most = MOST_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, MOST_DESCRIPTORS)
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))

    async def main() -> list[str]:
        def make_stage(**options) -> Stage:
            stages.append(Stage(Path(folder), **options))
            return stages[-1]

        watching = asyncio.get_running_loop().create_task(watch_lateness(lateness))
        try:
            async with asyncio.timeout(110):
                return await play(make_stage)
        finally:
            watching.cancel()

    breaches, status = [], 2
    try:
        breaches = asyncio.run(main())
        if lateness[0] > MOST_LATE_S:
            raise CannotRunError(f"this process itself was {lateness[0]:.2f} s late")
        status = 1 if breaches else 0
    except Exception as error:
        breaches = [f"the case could not run: {error!r}"]
    finally:
        for stage in stages:
            stage.stop()
    for breach in breaches:
        print(breach)
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[status])
    if stages:
        for breach in breaches:
            stages[0].record.line("verdict", breach)
        stages[0].record.line("verdict", f"exit {status}; this process was late by {lateness[0]:.3f} s at most")
    sys.exit(status)
