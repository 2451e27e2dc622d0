"""Clients of a trial, both well-behaved and misbehaving. Their traffic is recorded at the proxies, not here."""

from __future__ import annotations

import contextlib
import socket
from dataclasses import dataclass, field
from random import Random

import anyio

from curlewshift.soak import codec
from curlewshift.soak.plan import Plan
from curlewshift.soak.proxy import reset

MAX_POOLED_CONNECTIONS = 6
# The client closes a connection without open requests after this.
IDLE_TIMEOUT_S = 4.0
SESSION_DURATION_S = (0.5, 4.0)
# A request that is refused or whose connection breaks is retried at once, with a new id, at most this often.
MAX_RETRIES = 2
MAX_WAIT_BEFORE_LEAVING_S = 0.15
# How a client abandons an unanswered request.
LEAVE_METHODS = ("cancel", "close", "reset", "half-close")
STATUS_OK = 200


@dataclass(eq=False, slots=True)
class Connection:
    sock: socket.socket
    reader: codec.RtspReader = field(default_factory=codec.RtspReader)
    # by id of an unanswered request: set when it is answered or the connection closes
    waiting: dict[str, anyio.Event] = field(default_factory=dict)
    answers: dict[str, codec.Rtsp | None] = field(default_factory=dict)
    idle_since_s: float = 0.0
    closed: bool = False

    def send(self, data: bytes) -> bool:
        try:
            return not self.closed and self.sock.send(data) == len(data)
        except OSError:
            return False


class Clients:
    """The clients of one node, which they reach at `port`, a proxy."""

    def __init__(self, port: int, plan: Plan, rng: Random):
        self.port, self.plan, self.rng = port, plan, rng
        self.pool: list[Connection] = []
        # while set, most clients abandon their requests early
        self.hurried = False

    async def run(self, tasks, until_s: float) -> None:
        self.tasks = tasks
        while anyio.current_time() < until_s:
            await anyio.sleep(self.rng.expovariate(self.plan.requests_per_node_s))
            tasks.start_soon(self._request)

    # ---- connections

    async def _connect(self) -> Connection | None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.connect_ex(("127.0.0.1", self.port))
            await anyio.wait_writable(sock)
            if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                connection = Connection(sock, idle_since_s=anyio.current_time())
                self.tasks.start_soon(self._read, connection)
                return connection
        sock.close()
        return None

    async def _read(self, connection: Connection) -> None:
        try:
            while True:
                await anyio.wait_readable(connection.sock)
                data = connection.sock.recv(65_536)
                if not data:
                    return
                for message in connection.reader.feed(data):
                    self._handle_message(connection, message)
        except (OSError, ValueError, anyio.ClosedResourceError):
            pass
        finally:
            self._close(connection)

    def _handle_message(self, connection: Connection, message: codec.Rtsp) -> None:
        if message.status and message.fields.get("cseq") == "1" and message.id in connection.waiting:
            connection.answers[message.id] = message
            connection.waiting.pop(message.id).set()
            connection.idle_since_s = anyio.current_time()
        elif message.method == "TEARDOWN":
            connection.send(f"RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: {message.id}\r\nContent-Length: 0\r\n\r\n".encode())

    def _close(self, connection: Connection) -> None:
        if connection.closed:
            return
        connection.closed = True
        if connection in self.pool:
            self.pool.remove(connection)
        for waiting in connection.waiting.values():
            waiting.set()
        with contextlib.suppress(OSError, ValueError):
            anyio.notify_closing(connection.sock)
            connection.sock.close()

    async def _pooled_connection(self) -> Connection | None:
        now_s = anyio.current_time()
        for connection in list(self.pool):
            if not connection.waiting and now_s - connection.idle_since_s > IDLE_TIMEOUT_S:
                self._close(connection)
        if self.pool and (len(self.pool) >= MAX_POOLED_CONNECTIONS or self.rng.random() < 0.7):
            return self.rng.choice(self.pool)
        connection = await self._connect()
        if connection is not None:
            self.pool.append(connection)
        return connection

    # ---- well-behaved requests

    async def _request(self, retries: int = 0) -> None:
        leaves_early = self.rng.random() < (0.7 if self.hurried else 0.08)
        connection = await (self._connect() if leaves_early else self._pooled_connection())
        if connection is None:
            return
        id, wait_ms = f"{self.rng.getrandbits(64):016x}", self._wait_ms()
        connection.waiting[id] = answered = anyio.Event()
        if not connection.send(self.set_up(id, self.service_class.name, wait_ms, retries)):
            self._close(connection)
            return
        if leaves_early:
            await self._leave(connection, id)
            return
        with anyio.move_on_after(wait_ms / 1000):
            await answered.wait()
        answer = connection.answers.pop(id, None)
        if answer is not None and answer.status == STATUS_OK:
            await self._run_session(connection, id)
        elif answer is None and not connection.closed:
            # no answer within the client's deadline: cancels the set-up
            connection.waiting.pop(id, None)
            connection.send(codec.rtsp_request("TEARDOWN", "rtsp://media/x", 2, id))
        elif retries < MAX_RETRIES:
            self.tasks.start_soon(self._request, retries + 1)

    async def _leave(self, connection: Connection, id: str) -> None:
        await anyio.sleep(self.rng.choice((0.0, 0.001, self.rng.uniform(0, MAX_WAIT_BEFORE_LEAVING_S))))
        method = self.rng.choice(LEAVE_METHODS)
        if method == "cancel":
            connection.send(codec.rtsp_request("TEARDOWN", "rtsp://media/x", 2, id))
            await anyio.sleep(0.3)
        elif method == "half-close":
            with contextlib.suppress(OSError):
                connection.sock.shutdown(socket.SHUT_WR)
            await anyio.sleep(0.3)
        elif method == "reset" and not connection.closed:
            reset(connection.sock)
        self._close(connection)

    async def _run_session(self, connection: Connection, id: str) -> None:
        await anyio.sleep(self.rng.uniform(*SESSION_DURATION_S))
        # a session is not bound to a connection: its TEARDOWN may be sent on any
        teardown_connection = connection if not connection.closed else next(iter(self.pool), None)
        if teardown_connection is not None:
            teardown_connection.send(
                codec.rtsp_request("TEARDOWN", "rtsp://media/x", 2, id, lines=f"Reason: cause={codec.ENDED}\r\n")
            )

    @property
    def service_class(self):
        return self.rng.choice(self.plan.classes)

    def _wait_ms(self) -> int:
        return self.rng.choice((300, 800, 1500, 3000))

    def set_up(self, id: str, name: str, wait_ms: int, retries: int = 0, body: bytes = b"") -> bytes:
        home = self.rng.randrange(self.plan.cells)
        copies = min(self.plan.copies, self.plan.cells)
        lines = (
            f"X-Cos: {name}\r\nX-Timer-Ms: {wait_ms}\r\nX-Legs: home:{home};copies:{copies};"
            f"top:{len(self.plan.rates_kb) - 1};viewer:{id}{';again:1' if retries else ''}\r\n"
        )
        title = f"{self.rng.randrange(8):016x}"
        return codec.rtsp_request("SETUP", f"rtsp://media/{title}", 1, id, lines, body or f"offer {id}".encode())

    # ---- misbehaving clients

    async def misbehave(self, kind: str, duration_s: float) -> None:
        until_s = anyio.current_time() + duration_s
        if kind == "hurried":
            self.hurried = True
            await anyio.sleep(duration_s)
            self.hurried = False
            return
        connection_count = self.plan.descriptors * 2 if kind == "crowd" else 8
        async with anyio.create_task_group() as tasks:
            for _ in range(connection_count):
                tasks.start_soon(self._run_misbehaving_connection, kind, until_s)
                await anyio.sleep(0.002)

    async def _run_misbehaving_connection(self, kind: str, until_s: float) -> None:
        connection = await self._connect()
        if connection is None:
            return
        try:
            while anyio.current_time() < until_s and not connection.closed:
                if not await self._misbehave_once(kind, connection):
                    break
        finally:
            self._close(connection)

    async def _misbehave_once(self, kind: str, connection: Connection) -> bool:
        """False if the connection is closed and nothing more can be sent."""
        id = f"{self.rng.getrandbits(64):016x}"
        if kind == "garbage":
            connection.send(self.rng.randbytes(200) + b"\r\n\r\n")
        elif kind == "double-id":
            first_request = self.set_up(id, self.service_class.name, 800, body=b"first")
            connection.send(first_request + self.set_up(id, self.service_class.name, 800, body=b"second"))
        elif kind == "slow-requests":
            for byte in self.set_up(id, self.service_class.name, 800):
                if not connection.send(bytes((byte,))):
                    return False
                await anyio.sleep(0.004)
        elif kind == "never-read":
            ids = [f"{self.rng.getrandbits(64):016x}" for _ in range(20)]
            connection.send(b"".join(self.set_up(request_id, "no such class", 800) for request_id in ids))
        await anyio.sleep(0.3)
        return True
