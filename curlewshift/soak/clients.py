"""Clients of a trial: those that follow the protocol, and those that do not. What they see is recorded at the proxies."""

from __future__ import annotations

import contextlib
import socket
from dataclasses import dataclass, field
from random import Random

import anyio

from curlewshift.soak import codec
from curlewshift.soak.plan import Plan
from curlewshift.soak.proxy import reset

MOST_POOLED = 6
# A connection on which nothing is open is closed by its client after this.
IDLE_S = 4.0
LIVES_S = (0.5, 4.0)
# A request that is refused or cut comes again at once, this often at the most.
MOST_AGAIN = 2
HURRIED_S = 0.15
# How a request that is not wanted any more is left.
WAYS_TO_LEAVE = ("cancel", "close", "reset", "half-close")
PLAYS = 200


@dataclass(eq=False, slots=True)
class Connection:
    sock: socket.socket
    reader: codec.RtspReader = field(default_factory=codec.RtspReader)
    # ids that wait for an answer, with what to do with it
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
    """Those of one node, who reach it at `port`."""

    def __init__(self, port: int, plan: Plan, rng: Random):
        self.port, self.plan, self.rng = port, plan, rng
        self.pool: list[Connection] = []
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
                    self._take(connection, message)
        except (OSError, ValueError, anyio.ClosedResourceError):
            pass
        finally:
            self._close(connection)

    def _take(self, connection: Connection, message: codec.Rtsp) -> None:
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

    async def _pooled(self) -> Connection | None:
        now_s = anyio.current_time()
        for connection in list(self.pool):
            if not connection.waiting and now_s - connection.idle_since_s > IDLE_S:
                self._close(connection)
        if self.pool and (len(self.pool) >= MOST_POOLED or self.rng.random() < 0.7):
            return self.rng.choice(self.pool)
        connection = await self._connect()
        if connection is not None:
            self.pool.append(connection)
        return connection

    # ---- requests that follow the protocol

    async def _request(self, again: int = 0) -> None:
        leaves = self.rng.random() < (0.7 if self.hurried else 0.08)
        connection = await (self._connect() if leaves else self._pooled())
        if connection is None:
            return
        id, wait_ms = f"{self.rng.getrandbits(64):016x}", self._wait_ms()
        connection.waiting[id] = answered = anyio.Event()
        if not connection.send(self.set_up(id, self.service_class.name, wait_ms, again)):
            self._close(connection)
            return
        if leaves:
            await self._leave(connection, id)
            return
        with anyio.move_on_after(wait_ms / 1000):
            await answered.wait()
        answer = connection.answers.pop(id, None)
        if answer is not None and answer.status == PLAYS:
            await self._play(connection, id)
        elif answer is None and not connection.closed:
            # it has waited for as long as it would: the set-up is given up
            connection.waiting.pop(id, None)
            connection.send(codec.rtsp_request("TEARDOWN", "rtsp://media/x", 2, id))
        elif again < MOST_AGAIN:
            self.tasks.start_soon(self._request, again + 1)

    async def _leave(self, connection: Connection, id: str) -> None:
        await anyio.sleep(self.rng.choice((0.0, 0.001, self.rng.uniform(0, HURRIED_S))))
        how = self.rng.choice(WAYS_TO_LEAVE)
        if how == "cancel":
            connection.send(codec.rtsp_request("TEARDOWN", "rtsp://media/x", 2, id))
            await anyio.sleep(0.3)
        elif how == "half-close":
            with contextlib.suppress(OSError):
                connection.sock.shutdown(socket.SHUT_WR)
            await anyio.sleep(0.3)
        elif how == "reset" and not connection.closed:
            reset(connection.sock)
        self._close(connection)

    async def _play(self, connection: Connection, id: str) -> None:
        await anyio.sleep(self.rng.uniform(*LIVES_S))
        # a session belongs to no connection: its end may go on any
        ends_on = connection if not connection.closed else next(iter(self.pool), None)
        if ends_on is not None:
            ends_on.send(codec.rtsp_request("TEARDOWN", "rtsp://media/x", 2, id, lines=f"Reason: cause={codec.OVER}\r\n"))

    @property
    def service_class(self):
        return self.rng.choice(self.plan.classes)

    def _wait_ms(self) -> int:
        return self.rng.choice((300, 800, 1500, 3000))

    def set_up(self, id: str, name: str, wait_ms: int, again: int = 0, body: bytes = b"") -> bytes:
        home = self.rng.randrange(self.plan.cells)
        copies = min(self.plan.copies, self.plan.cells)
        lines = (
            f"X-Cos: {name}\r\nX-Timer-Ms: {wait_ms}\r\nX-Legs: home:{home};copies:{copies};"
            f"top:{len(self.plan.rates_kb) - 1};viewer:{id}{';again:1' if again else ''}\r\n"
        )
        title = f"{self.rng.randrange(8):016x}"
        return codec.rtsp_request("SETUP", f"rtsp://media/{title}", 1, id, lines, body or f"offer {id}".encode())

    # ---- those that do not

    async def misbehave(self, kind: str, lasts_s: float) -> None:
        until_s = anyio.current_time() + lasts_s
        if kind == "hurried":
            self.hurried = True
            await anyio.sleep(lasts_s)
            self.hurried = False
            return
        many = self.plan.descriptors * 2 if kind == "crowd" else 8
        async with anyio.create_task_group() as tasks:
            for _ in range(many):
                tasks.start_soon(self._odd, kind, until_s)
                await anyio.sleep(0.002)

    async def _odd(self, kind: str, until_s: float) -> None:
        connection = await self._connect()
        if connection is None:
            return
        try:
            while anyio.current_time() < until_s and not connection.closed:
                if not await self._say_something_odd(kind, connection):
                    break
        finally:
            self._close(connection)

    async def _say_something_odd(self, kind: str, connection: Connection) -> bool:
        """False once it has nothing more to say."""
        id = f"{self.rng.getrandbits(64):016x}"
        if kind == "garbage":
            connection.send(self.rng.randbytes(200) + b"\r\n\r\n")
        elif kind == "double-id":
            one = self.set_up(id, self.service_class.name, 800, body=b"first")
            connection.send(one + self.set_up(id, self.service_class.name, 800, body=b"second"))
        elif kind == "slow-requests":
            for byte in self.set_up(id, self.service_class.name, 800):
                if not connection.send(bytes((byte,))):
                    return False
                await anyio.sleep(0.004)
        elif kind == "never-read":
            many = [f"{self.rng.getrandbits(64):016x}" for _ in range(20)]
            connection.send(b"".join(self.set_up(one, "no such class", 800) for one in many))
        await anyio.sleep(0.3)
        return True
