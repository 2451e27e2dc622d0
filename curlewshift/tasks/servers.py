"""Tasks at media servers: one asks each for all fronts, and one ends what a front that is gone left there. Free of I/O.

Both divide the servers into shards by their names, and act once in a while on each server of a shard. A server refuses the
number of an earlier tenure, so that an act that was under way when its front was stopped comes to nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import Protocol

from curlewshift.model import Server


class Driver(Protocol):
    def now(self) -> int: ...
    def servers(self) -> Iterable[Server]: ...
    def probe_for_all(self, server: Server, lease: str, number: int) -> None: ...
    def look_for_orphans(self, server: Server, away: int, lease: str, number: int) -> None: ...


def shard_of(server: Server, shards: int) -> int:
    """The shard of a server, by its name."""
    return blake2b(server.name.encode(), digest_size=2).digest()[0] % shards


class AtServers:
    """`each` (ns) is how often a server of a shard that is held is seen to."""

    name = ""

    def __init__(self, driver: Driver, shards: int, each: int):
        self.driver, self.shards, self.each = driver, shards, each
        self.due: dict[int, int] = {}

    def begin(self, shard: int, number: int) -> None:
        self.due[shard] = 0

    def act(self, shard: int, number: int) -> None:
        now = self.driver.now()
        if now < self.due.get(shard, 0):
            return
        self.due[shard] = now + self.each
        for server in self.driver.servers():
            if server.open and shard_of(server, self.shards) == shard:
                self.see_to(server, f"{self.name}/{shard}", number)

    def stop(self, shard: int) -> None:
        self.due.pop(shard, None)

    def see_to(self, server: Server, lease: str, number: int) -> None:
        raise NotImplementedError


class Probing(AtServers):
    """Whether it runs and how full it is. What is found goes to all, who need not ask for themselves."""

    name = "probe"

    def see_to(self, server: Server, lease: str, number: int) -> None:
        self.driver.probe_for_all(server, lease, number)


class Orphans(AtServers):
    """Sessions whose front has not been there for `away` (ns), and that nobody watches, are ended. That a front is away is
    its server's to say, and the server's again at the end: one that came back, or another that took the session up, keeps it."""

    name = "orphans"

    def __init__(self, driver: Driver, shards: int, each: int, away: int):
        super().__init__(driver, shards, each)
        self.away = away

    def see_to(self, server: Server, lease: str, number: int) -> None:
        self.driver.look_for_orphans(server, self.away, lease, number)
