"""Test bed for one real node process that reaches its media servers through byte-level proxies."""

import contextlib
import os
import subprocess
import sys
from pathlib import Path

import anyio

from curlewshift.fault_injection.processes import listens
from curlewshift.soak.proxy import Proxy, Shape
from tests.node_testbed import Testbed

ROOT = Path(__file__).resolve().parents[1]


class ProxiedTestbed(Testbed):
    """`delays_s` are the outward delays of the connections to each media server, in the order in which they are opened."""

    def __init__(self, media_servers=1, delays_s=(), **changed):
        super().__init__(media_servers, **changed)
        self.delays_s, self.proxies = delays_s, []

    def config_document(self):
        document = super().config_document()
        for row, proxy in zip(document["known"]["items"][0]["roster"]["servers"], self.proxies):
            row["addr"] = f"127.0.0.1:{proxy.port}"
        return document

    def shape(self, number):
        return Shape(delay_out_s=self.delays_s[number] if number < len(self.delays_s) else 0.0)

    def link_of(self, stream):
        """Returns the proxied connection that belongs to a stream of a media server."""
        port = stream.extra(anyio.abc.SocketAttribute.remote_port)
        links = (link for proxy in self.proxies for link in proxy.links if link.target is not None)
        return next(link for link in links if link.target.getsockname()[1] == port)

    @contextlib.asynccontextmanager
    async def process(self):
        """Runs a real node process in this test bed."""
        for media in self.media_servers:
            self.proxies.append(proxy := Proxy(lambda media=media: ("127.0.0.1", media.port), self.shape))
            proxy.open()
        async with self.without_node():
            for proxy in self.proxies:
                self.tasks.start_soon(proxy.run, self.tasks)
            self.child = subprocess.Popen(
                [sys.executable, "-m", "curlewshift.node"],
                cwd=ROOT,
                stderr=subprocess.DEVNULL,
                env={**os.environ, "NODE_CONFIG": str(self.path)},
                start_new_session=True,
            )
            try:
                assert await listens(self.port, 20)
                yield self
            finally:
                self.child.kill()
                self.child.wait()
