"""A place for one front node on loopback: scripted media servers, a bulletin, and viewers. All in one process."""

import contextlib
import json
import socket
import struct
import tempfile
from pathlib import Path
from unittest import mock

import anyio

from curlewshift.node import buffered_connection, configuration, isup, rtsp
from curlewshift.node.node import Node
from tests.sockets import until

LESSON, CLIP = "lesson", "clip"


def is_a_strangers(data):
    """Eight bytes that count up to a small number: the greeting of a discovery follower, of another test's node whose port this
    was before. A message to a media server never begins with a length of 0; `up` asserts that the node here follows no media."""
    return len(data) == 8 and data[:6] == bytes(6)


class Media:
    """One media server. `does(connection, kind, id, parameters)` answers; by default each set-up plays."""

    def __init__(self, name, cell=0):
        self.name, self.cell, self.heard, self.connections, self.does = name, cell, [], [], self.plays
        self.state, self.started = 0, 0

    async def open(self, tasks, port=0):
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.port = self.listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(self._serve)

    async def _serve(self):
        async with anyio.create_task_group() as self.own:
            with contextlib.suppress(anyio.ClosedResourceError):
                await self.listener.listeners[0].serve(self._line, task_group=self.own)

    async def close(self):
        await self.listener.aclose()
        self.own.cancel_scope.cancel()

    async def _line(self, stream):
        reader = isup.Reader()
        self.connections.append(stream)
        try:
            async with stream:
                async for data in stream:
                    if is_a_strangers(data) and not reader.partial:
                        return
                    for kind, id, parameters in reader.feed(data):
                        self.heard.append((kind, id, parameters))
                        await self.does(stream, kind, id, parameters)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.connections.remove(stream)

    async def plays(self, connection, kind, id, parameters):
        if kind == isup.RELEASE:
            await connection.send(isup.released(id))
        if kind == isup.SET_UP:
            await connection.send(
                isup.encode(
                    isup.ANSWER,
                    id,
                    (isup.DESCRIPTION, b"plays " + parameters[isup.DESCRIPTION]),
                    (isup.REPORT, b"x0:0.5;novel:7"),
                )
            )
        elif kind == isup.PROBE:
            await connection.send(isup.encode(isup.PROBED, id, (isup.CAUSE, b"\1"), (isup.REPORT, b"x0:0.5")))

    async def silent(self, connection, kind, id, parameters):
        pass

    def says(self, data):
        """Each set-up gets these bytes; `ID` in them is its id."""

        async def does(connection, kind, id, parameters):
            if kind == isup.SET_UP:
                await connection.send(data.replace(b"IDIDIDID", id))

        self.does = does

    def had(self, kind):
        return [(id, parameters) for heard, id, parameters in self.heard if heard == kind]


class Bulletin:
    def __init__(self):
        self.asked, self.connections = [], []

    async def open(self, tasks, port=0):
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.port = self.listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(self._serve)

    async def _serve(self):
        async with anyio.create_task_group() as own:
            with contextlib.suppress(anyio.ClosedResourceError):
                await self.listener.listeners[0].serve(self._line, own)

    async def _line(self, stream):
        self.asked.append(int.from_bytes(await stream.receive(8), "big"))
        self.connections.append(stream)
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            async with stream:
                await stream.receive()
        self.connections.remove(stream)

    async def tell(self, number, *medias, kind=2):
        payload = b"".join(
            struct.pack(
                ">I4sHBBBHIQ",
                int(one.name[2:], 16),
                bytes((127, 0, 0, 1)),
                one.port,
                one.state,
                0,
                0,
                one.cell,
                1000,
                one.started,
            )
            for one in medias
        )
        await self.connections[-1].send(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)


def set_up(id, package=LESSON, body=b"offer", patience=2000, more="", legs=""):
    return (
        f"SETUP rtsp://media/00000000000000aa RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nX-Cos: {package}\r\n"
        f"X-Timer-Ms: {patience}\r\nX-Legs: home:0;copies:4;top:1;viewer:00000000b4d65521{legs}\r\n{more}"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


def torn_down(id, reason=""):
    return f"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id}\r\n{reason}Content-Length: 0\r\n\r\n".encode()


class Viewer:
    """One connection to the node."""

    async def open(self, port):
        self.stream = await anyio.connect_tcp("127.0.0.1", port)
        self.reader, self.got = rtsp.Reader(), []
        return self

    async def ask(self, id, **how):
        await self.stream.send(set_up(id, **how))

    async def tear_down(self, id, reason=""):
        await self.stream.send(torn_down(id, reason))

    async def hear(self, within=3.0):
        """The next message; None at the end of the connection."""
        with anyio.fail_after(within):
            while not self.got:
                try:
                    self.got += self.reader.feed(await self.stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return None
        return self.got.pop(0)

    async def answer(self, id, **how):
        await self.ask(id, **how)
        return await self.hear()


class Plain:
    """A viewer on a plain socket: what it says and its end are in the kernel as soon as the call returns, before the loop has
    another turn."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.reader, self.got = rtsp.Reader(), []

    def say(self, data):
        self.socket.sendall(data)

    def ask(self, id, **how):
        self.say(set_up(id, **how))

    def tear_down(self, id, reason=""):
        self.say(torn_down(id, reason))

    def close(self):
        self.socket.close()

    async def hear(self, within=3.0):
        """The next message; None at the end of the connection."""
        with anyio.fail_after(within):
            while not self.got:
                await anyio.wait_readable(self.socket)
                try:
                    data = self.socket.recv(65536)
                except ConnectionResetError:
                    data = b""
                if not data:
                    return None
                self.got += self.reader.feed(data)
        return self.got.pop(0)


class Held:
    """Connections of the node's whose sockets are in `sockets` are not read until `go` is set, whatever has come on them.
    Those to media servers that are being made are up, and the node does not know it, while `dials` is set."""

    def __init__(self, dials=False):
        self.go, self.sockets, self.dials = anyio.Event(), set(), dials

    @contextlib.contextmanager
    def all(self):
        readable, dial = anyio.wait_readable, buffered_connection.dial

        async def read(sock):
            await readable(sock)
            if sock in self.sockets:
                await self.go.wait()

        async def dialled(address, within):
            sock = await dial(address, within)
            if self.dials:
                await self.up.wait()
            return sock

        self.up = anyio.Event()
        with (
            mock.patch.object(buffered_connection.anyio, "wait_readable", read),
            mock.patch("curlewshift.node.server_pool.dial", dialled),
        ):
            yield self


class Place:
    """`medias` servers, one a cell; a fault that the node has logged fails the story."""

    def __init__(self, medias=1, sockets=256, idle_close_ms=30000, **changed):
        self.medias = [Media(f"s-{number + 1:08x}", number) for number in range(medias)]
        self.bulletin, self.sockets, self.changed, self.obligations = Bulletin(), sockets, changed, {}
        self.idle_close_ms = idle_close_ms

    def told(self):
        rows = [
            dict(
                id=one.name,
                addr=f"127.0.0.1:{one.port}",
                zone="a",
                kind="box",
                cell=one.cell,
                state="active",
                weight=1.0,
                started_ms=0,
            )
            for one in self.medias
        ]
        classes = [
            dict(name=LESSON, effect="safe", gain=1.0, goal_time_ms=800, give_up_ms=2000),
            dict(name=CLIP, effect="unsafe", gain=2.0, goal_time_ms=800, give_up_ms=2000),
        ]
        settings = dict(
            balancers=1,
            my_number=0,
            areas=["a"],
            flavors=["box"],
            classes=classes,
            bounds=dict(
                connect_timeout_ms=250,
                idle_close_ms=self.idle_close_ms,
                max_attempts=3,
                retry_after=True,
                max_retry_after_ms=2000,
                streams_per_conn=32,
                probes=True,
            ),
            extra=dict(
                cells=4, cabinets=1, kb_per_weight=100000, rack_kb=1e6, rung_kb=[100, 200], kind_streams=[100], told_every_ms=1000
            ),
            telemetry=dict(fields=["x0"]),
            obligations=self.obligations,
        )
        return dict(
            name="n0",
            listen=f"127.0.0.1:{self.port}",
            seed="0f",
            limits=dict(sockets=self.sockets),
            bulletin=f"127.0.0.1:{self.bulletin.port}",
            settings=settings,
            known=dict(no=1, items=[dict(no=1, roster=dict(version=0, full=True, servers=rows))]),
            **self.changed,
        )

    @contextlib.asynccontextmanager
    async def around(self):
        """All but the node, and at `path` what it is told."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for one in (*self.medias, self.bulletin):
                await one.open(tasks)
            spare = await anyio.create_tcp_listener(local_host="127.0.0.1")
            self.port = spare.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
            await spare.aclose()
            with tempfile.TemporaryDirectory() as folder:
                self.path = Path(folder) / "config.json"
                self.path.write_text(json.dumps(self.told()))
                try:
                    yield self
                finally:
                    tasks.cancel_scope.cancel()
                    for one in (*self.medias, self.bulletin):
                        with anyio.CancelScope(shield=True):
                            await one.listener.aclose()

    @contextlib.asynccontextmanager
    async def up(self):
        async with self.around():
            self.node = Node(configuration.read(self.path), self.path, mock.Mock())
            self.tasks.start_soon(self.node.run)
            await until(lambda: self.node.ready)
            yield self
            assert self.node.follower.address[1] not in [one.port for one in self.medias]
        faults = [call for call in self.node.log.error.call_args_list if call.args == ("fault",)]
        assert not faults, faults

    async def viewer(self):
        return await Viewer().open(self.port)
