"""Tasks at media servers: probing each server for all fronts, and ending sessions left by a front that is gone. Free of I/O.

Both divide the servers into shards by name, and act periodically on each server of a shard. A server refuses the fencing token of
an earlier tenure, so that an act under way when its front was suspended has no effect.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import Protocol

from curlewshift.model import Server


class Driver(Protocol):
    """What the tasks call on their environment: the clock (ns), the servers, and the requests to them."""

    def now(self) -> int: ...
    def servers(self) -> Iterable[Server]: ...
    def probe_for_all(self, server: Server, lease: str, number: int) -> None: ...
    def look_for_orphans(self, server: Server, away: int, lease: str, number: int) -> None: ...


def shard_of(server: Server, shards: int) -> int:
    """The shard of a server, from a hash of its name."""
    return blake2b(server.name.encode(), digest_size=2).digest()[0] % shards


class ServerTask:
    """A task on each server of a shard; `interval` (ns) is how often it acts on each."""

    name = ""

    def __init__(self, driver: Driver, shards: int, interval: int):
        self.driver, self.shards, self.interval = driver, shards, interval
        self.due: dict[int, int] = {}

    def begin(self, shard: int, number: int) -> None:
        self.due[shard] = 0

    def act(self, shard: int, number: int) -> None:
        now = self.driver.now()
        if now < self.due.get(shard, 0):
            return
        self.due[shard] = now + self.interval
        for server in self.driver.servers():
            if server.open and shard_of(server, self.shards) == shard:
                self.act_on(server, f"{self.name}/{shard}", number)

    def stop(self, shard: int) -> None:
        self.due.pop(shard, None)

    def act_on(self, server: Server, lease: str, number: int) -> None:
        raise NotImplementedError


class Probing(ServerTask):
    """Probes whether a server runs and how full it is. All fronts receive the result, and need not probe themselves."""

    name = "probe"

    def act_on(self, server: Server, lease: str, number: int) -> None:
        self.driver.probe_for_all(server, lease, number)


class Orphans(ServerTask):
    """Ends sessions whose front has been absent for `away` (ns) and that nobody watches. The server says whether the front is
    absent, and checks it again when a session is ended: a front that returned, or another that took the session over, keeps
    it."""

    name = "orphans"

    def __init__(self, driver: Driver, shards: int, interval: int, away: int):
        super().__init__(driver, shards, interval)
        self.away = away

    def act_on(self, server: Server, lease: str, number: int) -> None:
        self.driver.look_for_orphans(server, self.away, lease, number)
