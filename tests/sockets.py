"""A complete small site in one process on loopback: stand-in servers, a server list and one front."""

import contextlib
import random
import secrets
import time

import anyio
import structlog

from curlewshift.exchange.client import HttpClientConnection, connect
from curlewshift.fault_injection.processes import free_ports
from curlewshift.front.front import Front
from curlewshift.signalling.bodies import ListRow
from curlewshift.signalling.sdp import offer_text
from curlewshift.site.site import ListenAddress, Machine, Obligations, Site
from curlewshift.standins.listing import ServerList
from curlewshift.standins.physics import LinkModel, Uplink
from curlewshift.standins.server import MediaServer
from curlewshift.standins.traffic import Traffic
from tests.fake import MS, SECOND, package

FINGERPRINT = "sha-256 " + ":".join(["A5"] * 32)
SDP = ("content-type", "application/sdp")


class RecordedTraffic(Traffic):
    """Keeps the recorded events in a list."""

    def __init__(self):
        super().__init__(None)
        self.events = []

    def seen(self, ev, **facts):
        self.events.append({"ev": ev, "at": time.monotonic_ns(), **facts})

    def all(self, ev):
        return [event for event in self.events if event["ev"] == ev]


def an_offer():
    return offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()


async def until(condition, within=5.0):
    """Waits until `condition()` is true; raises `TimeoutError` after `within` (s)."""
    with anyio.fail_after(within):
        while not condition():
            await anyio.sleep(0.005)


class SmallSite:
    """A site with `servers` stand-ins that hold title t, each on its own shelf. `site` has further fields of `Site`, and
    `obligations` those of `Obligations` that differ from the defaults."""

    def __init__(self, servers=2, patience=2 * SECOND, site=None, **obligations):
        self.traffic = RecordedTraffic()
        ports = free_ports(servers + 2, random.Random())
        defaults = dict(
            way_back=100 * MS,
            longest_wait=2 * SECOND,
            most_tune_ins=3,
            grace=2 * SECOND,
            warm_within=SECOND,
            start_capacity=0.5,
            fall_multiple=20.0,
            fall_within=SECOND,
            free_further=None,
            further_share=0.0,
            look_back=0,
            told_late=200 * MS,
            told_every=SECOND,
            probes=False,
            uplinks=True,
        )
        self.obligations = Obligations(**{**defaults, **obligations})
        self.packages = [
            package(name="clip", join_target=SECOND, patience=patience, floor=1),
            package(name="paid", join_target=SECOND, patience=patience, paid_at_setup=True),
            package(name="camera", join_target=SECOND, patience=patience, seats=2),
        ]
        machines = [Machine(f"s{n}", "127.0.0.1", port, "r", "z", 10_000.0, 50, 4) for n, port in enumerate(ports[2:])]
        self.site = Site(
            "test",
            [ListenAddress("f", "127.0.0.1", ports[0])],
            ("127.0.0.1", ports[1]),
            self.packages,
            {"r": 1e6},
            machines,
            {"t": tuple(machine.shelf for machine in machines)},
            self.obligations,
            100,
            64,
            frozenset({"camera"}),
            **(site or {}),
        )
        self.list = ServerList(random.Random(1), self.traffic)
        self.uplink = Uplink(1e6)
        self.servers = {}
        self.port = ports[0]
        self.front = None

    def row(self, machine, state="on", started=None):
        started = int(time.time() * 1000) - 3600_000 if started is None else started
        return ListRow(f"127.0.0.1:{machine.port}", state, started, "z", "r", machine.link, machine.streams, machine.shelf)

    async def start_server(self, machine, cold=False):
        link = LinkModel(machine.link, self.uplink)
        self.uplink.links.append(link)
        started_at = time.monotonic_ns() - (0 if cold else 3600 * SECOND)
        server = MediaServer(
            machine,
            f"127.0.0.1:{machine.port}",
            link,
            {pack.name: pack.rates for pack in self.packages},
            self.obligations,
            started_at,
            random.Random(len(self.uplink.links)),
            self.traffic,
            setup_work=0.005,
        )
        listener = (await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=machine.port)).listeners[0]
        self.tasks.start_soon(server.run, listener)
        self.servers[machine.shelf] = server
        return server

    @contextlib.asynccontextmanager
    async def up(self, state=None, follow=True):
        """Runs the site; entered once the front follows the notes of every server, unless `follow` is false."""
        from curlewshift.exchange.server import serve

        async with anyio.create_task_group() as self.tasks:
            for machine in self.site.machines:
                await self.start_server(machine)
            self.list.begin([self.row(machine) for machine in self.site.machines])
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.site.list_at[1])
            self.tasks.start_soon(self.list.run)
            self.tasks.start_soon(serve, listener.listeners[0], self.list.serve, lambda fault: None)
            self.front = Front(self.site, 0, 1, state, structlog.wrap_logger(structlog.ReturnLogger()))
            opened = anyio.Event()
            self.tasks.start_soon(self.front.run, opened.set)
            await opened.wait()
            if follow:
                await until(lambda: len(self.traffic.all("notes-open")) == len(self.servers))
            with anyio.fail_after(30):
                yield self
            self.tasks.cancel_scope.cancel()

    async def call(self) -> HttpClientConnection:
        return await connect("127.0.0.1", self.port, 2.0)

    async def ask(self, pack="clip", headers=(), offer=None, query="", title="t"):
        """Sends one request for a viewing on a new connection and returns the complete response."""
        call = await self.call()
        try:
            return await call.ask("POST", f"/whep/{pack}/{title}{query}", [SDP, *headers], an_offer() if offer is None else offer)
        finally:
            await call.close()

    async def raw(self, request: bytes, end=False) -> bytes:
        """Sends bytes to the front and returns everything received until it closes the connection."""
        stream = await anyio.connect_tcp("127.0.0.1", self.port)
        received = b""
        async with stream:
            try:
                await stream.send(request)
                if end:
                    await stream.send_eof()
                while True:
                    received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return received


def async_test(test):
    """Decorator that runs an async test method as an ordinary one."""

    def run(self):
        anyio.run(test, self)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run
