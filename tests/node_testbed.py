"""Test bed for one front node on loopback: scripted media servers, a discovery service, and viewers, all in one process."""

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


def is_discovery_request(data):
    """Whether this is a discovery request: eight bytes with a small number.

    The node of an earlier test, whose discovery port has been reused here, may send one. A message to a media server never begins
    with a length of 0; `running` asserts that the node under test does not use a media server for discovery.
    """
    return len(data) == 8 and data[:6] == bytes(6)


class MessageStream:
    """A stream on which several tasks may send messages, one after the other."""

    def __init__(self, stream):
        self.stream, self.sending = stream, anyio.Lock()

    def __getattr__(self, name):
        return getattr(self.stream, name)

    async def send(self, data):
        async with self.sending:
            await self.stream.send(data)


class MediaServer:
    """Stand-in of a media server. `handler(connection, kind, id, parameters)` replies; by default each set-up is accepted, and a
    release that cuts a session is reported (cause 41) and confirmed."""

    def __init__(self, name, cell=0):
        self.name, self.cell, self.received, self.connections, self.handler = name, cell, [], [], self.accept
        self.state, self.started = 0, 0
        # the sessions that it has set up, and the connections of their set-ups
        self.sessions = {}

    async def open(self, tasks, port=0):
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.port = self.listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(self._serve)

    async def _serve(self):
        async with anyio.create_task_group() as self.task_group:
            with contextlib.suppress(anyio.ClosedResourceError):
                await self.listener.listeners[0].serve(self._serve_connection, task_group=self.task_group)

    async def close(self):
        await self.listener.aclose()
        self.task_group.cancel_scope.cancel()

    async def _serve_connection(self, stream):
        reader = isup.Reader()
        connection = MessageStream(stream)
        self.connections.append(connection)
        try:
            async with stream:
                async for data in stream:
                    if is_discovery_request(data) and not reader.partial:
                        return
                    for kind, id, parameters in reader.feed(data):
                        self.received.append((kind, id, parameters))
                        await self.handler(connection, kind, id, parameters)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.connections.remove(connection)

    async def accept(self, connection, kind, id, parameters):
        if kind == isup.RELEASE:
            await self._release(connection, id)
        if kind == isup.SET_UP:
            self.sessions[id] = connection
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

    async def _release(self, connection, id):
        """Reports a session that the release cuts on the connection of its set-up, or if that is closed on this one."""
        set_up_on = self.sessions.pop(id, None)
        if set_up_on is not None:
            await (set_up_on if set_up_on in self.connections else connection).send(isup.release(id, isup.RESET))
        await connection.send(isup.released(id))

    async def ignore(self, connection, kind, id, parameters):
        pass

    def reply_with(self, data):
        """Replies to each set-up with these bytes, in which the session id replaces `IDIDIDID`."""

        async def handler(connection, kind, id, parameters):
            if kind == isup.SET_UP:
                await connection.send(data.replace(b"IDIDIDID", id))

        self.handler = handler

    def received_of(self, kind):
        return [(id, parameters) for received_kind, id, parameters in self.received if received_kind == kind]


class DiscoveryServer:
    """Stand-in of the discovery service; events are sent by the tests."""

    def __init__(self):
        self.requests, self.connections = [], []

    async def open(self, tasks, port=0):
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.port = self.listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(self._serve)

    async def _serve(self):
        async with anyio.create_task_group() as task_group:
            with contextlib.suppress(anyio.ClosedResourceError):
                await self.listener.listeners[0].serve(self._serve_connection, task_group)

    async def _serve_connection(self, stream):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            async with stream:
                # a node whose discovery address changes may close the connection before its request
                self.requests.append(int.from_bytes(await stream.receive(8), "big"))
                self.connections.append(stream)
                try:
                    await stream.receive()
                finally:
                    self.connections.remove(stream)

    async def send_event(self, number, *media_servers, kind=2):
        payload = b"".join(
            struct.pack(
                ">I4sHBBBHIQ",
                int(media.name[2:], 16),
                bytes((127, 0, 0, 1)),
                media.port,
                media.state,
                0,
                0,
                media.cell,
                1000,
                media.started,
            )
            for media in media_servers
        )
        await self.connections[-1].send(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)


def set_up(id, package=LESSON, body=b"offer", timeout_ms=2000, more="", legs=""):
    return (
        f"SETUP rtsp://media/00000000000000aa RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nX-Cos: {package}\r\n"
        f"X-Timer-Ms: {timeout_ms}\r\nX-Legs: home:0;copies:4;top:1;viewer:00000000b4d65521{legs}\r\n{more}"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


def torn_down(id, reason=""):
    return f"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id}\r\n{reason}Content-Length: 0\r\n\r\n".encode()


class Viewer:
    """A viewer with one connection to the node."""

    async def open(self, port):
        self.stream = await anyio.connect_tcp("127.0.0.1", port)
        self.reader, self.buffered = rtsp.Reader(), []
        return self

    async def send_set_up(self, id, **options):
        await self.stream.send(set_up(id, **options))

    async def tear_down(self, id, reason=""):
        await self.stream.send(torn_down(id, reason))

    async def receive(self, within=3.0):
        """The next message; None at the end of the connection."""
        with anyio.fail_after(within):
            while not self.buffered:
                try:
                    self.buffered += self.reader.feed(await self.stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return None
        return self.buffered.pop(0)

    async def request(self, id, **options):
        await self.send_set_up(id, **options)
        return await self.receive()


class RawViewer:
    """A viewer on a plain socket: data and closes are in the kernel as soon as the call returns, before the next iteration of the
    event loop."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.reader, self.buffered = rtsp.Reader(), []

    def send(self, data):
        self.socket.sendall(data)

    def send_set_up(self, id, **options):
        self.send(set_up(id, **options))

    def tear_down(self, id, reason=""):
        self.send(torn_down(id, reason))

    def close(self):
        self.socket.close()

    async def receive(self, within=3.0):
        """The next message; None at the end of the connection."""
        with anyio.fail_after(within):
            while not self.buffered:
                await anyio.wait_readable(self.socket)
                try:
                    data = self.socket.recv(65536)
                except ConnectionResetError:
                    data = b""
                if not data:
                    return None
                self.buffered += self.reader.feed(data)
        return self.buffered.pop(0)


class DelayedReads:
    """Delays reads and connects of the node.

    The node does not read the connections whose sockets are in `sockets` until `resume_reads` is set. While `delay_connects` is
    set, connects to media servers succeed without the node learning of it until `resume_connects` is set.
    """

    def __init__(self, delay_connects=False):
        self.resume_reads, self.sockets, self.delay_connects = anyio.Event(), set(), delay_connects

    @contextlib.contextmanager
    def applied(self):
        readable, dial = anyio.wait_readable, buffered_connection.dial

        async def read(sock):
            await readable(sock)
            if sock in self.sockets:
                await self.resume_reads.wait()

        async def delayed_dial(address, timeout_s):
            sock = await dial(address, timeout_s)
            if self.delay_connects:
                await self.resume_connects.wait()
            return sock

        self.resume_connects = anyio.Event()
        with (
            mock.patch.object(buffered_connection.anyio, "wait_readable", read),
            mock.patch("curlewshift.node.server_pool.dial", delayed_dial),
        ):
            yield self


class Testbed:
    """A front node with a discovery service and media servers, one in each cell. A fault logged by the node fails the test."""

    def __init__(self, media_servers=1, sockets=256, idle_close_ms=30000, **changed):
        self.media_servers = [MediaServer(f"s-{number + 1:08x}", number) for number in range(media_servers)]
        self.discovery, self.sockets, self.changed, self.obligations = DiscoveryServer(), sockets, changed, {}
        self.idle_close_ms = idle_close_ms

    def config_document(self):
        rows = [
            dict(
                id=media.name,
                addr=f"127.0.0.1:{media.port}",
                zone="a",
                kind="box",
                cell=media.cell,
                state="active",
                weight=1.0,
                started_ms=0,
            )
            for media in self.media_servers
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
            bulletin=f"127.0.0.1:{self.discovery.port}",
            settings=settings,
            known=dict(no=1, items=[dict(no=1, roster=dict(version=0, full=True, servers=rows))]),
            **self.changed,
        )

    @contextlib.asynccontextmanager
    async def without_node(self):
        """Runs everything except the node, with the node's configuration file at `path`."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for server in (*self.media_servers, self.discovery):
                await server.open(tasks)
            spare = await anyio.create_tcp_listener(local_host="127.0.0.1")
            self.port = spare.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
            await spare.aclose()
            with tempfile.TemporaryDirectory() as folder:
                self.path = Path(folder) / "config.json"
                self.path.write_text(json.dumps(self.config_document()))
                try:
                    yield self
                finally:
                    tasks.cancel_scope.cancel()
                    for server in (*self.media_servers, self.discovery):
                        with anyio.CancelScope(shield=True):
                            await server.listener.aclose()

    @contextlib.asynccontextmanager
    async def running(self):
        async with self.without_node():
            self.node = Node(configuration.read(self.path), self.path, mock.Mock())
            self.tasks.start_soon(self.node.run)
            await until(lambda: self.node.ready)
            yield self
            assert self.node.follower.address[1] not in [media.port for media in self.media_servers]
        faults = [call for call in self.node.log.error.call_args_list if call.args == ("fault",)]
        assert not faults, faults

    async def viewer(self):
        return await Viewer().open(self.port)
