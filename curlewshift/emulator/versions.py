"""Distribution of configuration versions over the production channels in virtual time. Called by `measure versions`.

630 nodes in nine zones of three regions, and the control machines, one of which the fleet gives the lease. Frames, messages and
their encoding are those of the program; all figures are simulated.
"""

from __future__ import annotations

from random import Random

from curlewshift.distribution.library import ContentCache
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import digest_of
from curlewshift.emulator.peers import MS, NS, Links, PeerFleet, Post
from curlewshift.membership.terms import default_membership_terms
from curlewshift.peering.distributed import DistributionProtocol

ROUND_INTERVAL = 200 * MS


def site_file(fronts: int, changed: int = 0) -> bytes:
    """Returns a settings file that names this many fronts; `changed` sets the value of one attribute."""
    rng = Random(1)
    rows = [
        f'    <front name="{rng.choice("abcdefgh")}{rng.randrange(10**5)}-{n}" listen="10.{rng.randrange(256)}.'
        f'{rng.randrange(256)}.{rng.randrange(256)}:8443" peers-listen="10.{rng.randrange(256)}.'
        f'{rng.randrange(256)}.{rng.randrange(256)}:8181" zone="z{n % 9}"/>'
        for n in range(fronts)
    ]
    packages = [
        f'    <package name="p{n}" value="{n % 3 + 1}" join-target="{800 + 100 * n}ms" patience="4s"/>' for n in range(12)
    ]
    packages[0] = f'    <package name="p0" value="3" join-target="{800 + changed}ms" patience="4s"/>'
    return "\n".join(
        [
            '<?xml version="1.0" encoding="UTF-8"?>',
            '<site name="large">',
            '  <fronts most-waiting="500">',
            *rows,
            "  </fronts>",
            "  <packages>",
            *packages,
            "  </packages>",
            "</site>",
            "",
        ]
    ).encode()


class SharedLibrary(ContentCache):
    """Shares equal contents between all nodes of the fleet; a copy for each would take gigabytes."""

    contents_by_digest: dict[bytes, bytes] = {}

    def hold(self, content: bytes) -> None:
        super().hold(self.contents_by_digest.setdefault(digest_of(content), content))


class EmulatedWire(DistributionProtocol):
    """The production wire with shared contents."""

    library_class = SharedLibrary


class NoLog:
    """Discards log lines, but raises on a `fault`."""

    def info(self, *_, **__) -> None:
        pass

    warning = info

    def error(self, event: str, **more) -> None:
        if event == "fault":
            raise RuntimeError(str(more))


class VersionPost(Post):
    """A node with its disk; the driver of its wire."""

    wire: DistributionProtocol | None = None
    copy: bytes | None = None
    vote: bytes | None = None
    # bytes of complete datagrams; `distribution_sent` counts those of distribution, and what it piggybacks on others
    fence = sent = received = distribution_sent = 0

    def start(self) -> None:
        super().start()
        fleet, life = self.fleet, self.lives
        self._count_distribution(self.channel)
        self.wire = EmulatedWire(
            self.channel,
            self,
            self.name,
            fleet.places,
            fleet.terms,
            lambda: self.fence,
            self,
            fleet.log,
            Random(f"{fleet.seed} {self.name} {life}"),
            self.copy,
            self.vote,
        )
        fleet.queue.at(fleet.queue.now + fleet.rng.randrange(ROUND_INTERVAL), self._run_round, life)

    def _run_round(self, life: int) -> None:
        if self.channel is not None and self.lives == life:
            self.wire.time()
            self.fleet.queue.at(self.fleet.queue.now + ROUND_INTERVAL, self._run_round, life)

    def _count_distribution(self, channel) -> None:
        say, register_piggyback = channel.send, channel.register_piggyback

        def counted_say(to, kind, body) -> bool:
            before = self.sent
            sent = say(to, kind, body)
            self.distribution_sent += self.sent - before
            return sent

        def counted_rides(rider, handler) -> None:
            def counted_rider() -> bytes:
                body = rider()
                self.distribution_sent += len(body)
                return body

            register_piggyback(counted_rider, handler)

        channel.send, channel.register_piggyback = counted_say, counted_rides

    def post(self, address: tuple[str, int], data: bytes) -> None:
        self.sent += len(data)
        super().post(address, data)

    def arrive(self, data: bytes) -> None:
        if self.channel is not None:
            self.received += len(data)
        super().arrive(data)

    def check_configuration(self, content: bytes) -> str | None:
        return None

    def apply_configuration(self, version: str, content: bytes) -> str | None:
        self.fleet.record_in_force(self, version)
        return None

    def store_configuration(self, data: bytes) -> None:
        # equal copies are shared, like contents
        self.copy = self.fleet.disks.setdefault(data, data)

    def store_vote(self, data: bytes) -> None:
        self.vote = data


class VersionFleet(PeerFleet):
    """`size` nodes and the control machines (`stores`), which keep the versions."""

    def __init__(self, size: int, seed: int = 1, zones: int = 9, regions: int = 3, stores: int = 4, loss: float = 0.0):
        super().__init__(0, seed, default_membership_terms(NS), max_bytes=64 * 1024, links=Links(loss=loss))
        self.fronts, self.log, self.disks = size, NoLog(), {}
        self.posts = [VersionPost(self, number) for number in range(size + stores)]
        for number, post in enumerate(self.posts[size:]):
            post.name = f"c{number}"
        self.nodes, self.stores = self.posts[:size], self.posts[size:]
        self.at = {post.address: post for post in self.posts}
        self.seeds = [post.address for post in self.posts[:3]]
        self.zone_of = [number % zones for number in range(size + stores)]
        self.region_of = [zone * regions // zones for zone in self.zone_of]
        self.places = {
            post.name: (f"r{region}", f"z{zone}") for post, region, zone in zip(self.posts, self.region_of, self.zone_of)
        }
        self.terms = DistributionTerms(tuple(post.name for post in self.stores))
        self.fences = self.changes = 0
        # version -> times (ns) at which each node put it in force, at which it was requested, and at which that was answered
        self.in_force_at: dict[str, dict[str, int]] = {}
        self.requested_at: dict[str, int] = {}
        self.answered_at: dict[str, int] = {}
        self.last = "file"
        self.first_version_s: float | None = None

    def begin(self) -> VersionFleet:
        """Starts the fleet settled and puts a first version in force everywhere."""
        self.start_settled()
        self.run(2)
        self.grant(self.stores[0])
        self.change()
        self.run(0.5)
        self.first_version_s = self.until(self.everywhere, 60)
        self.run(2)
        return self

    def grant(self, store: VersionPost) -> None:
        self.fences += 1
        for other in self.stores:
            other.fence = 0
        store.fence = self.fences

    def holder(self) -> VersionPost:
        return next(store for store in self.stores if store.fence)

    def record_in_force(self, post: VersionPost, version: str) -> None:
        self.in_force_at.setdefault(version, {})[post.name] = self.queue.now

    def change(self, within: float = 15) -> None:
        """Requests a change of one attribute of one package, with a time-out of `within` seconds."""
        self.changes += 1
        requested_at, wire = self.queue.now, self.holder().wire

        def done(result: dict) -> None:
            if not result["ok"]:
                raise RuntimeError(f"configuration change failed: {result['wrong']}")
            self.last = result["version"]
            self.requested_at[self.last], self.answered_at[self.last] = requested_at, self.queue.now

        wire.begin_put(site_file(self.fronts, self.changes), wire.version, int(within * NS), done)

    def everywhere(self) -> bool:
        """Returns whether the last version is in force at all running nodes."""
        return self.last != "file" and all(post.wire.version == self.last for post in self.alive())

    def times(self, version: str) -> list[float]:
        """Returns the seconds from the operator's request until the version was in force, one per node, ascending."""
        return sorted((at - self.requested_at[version]) / NS for at in self.in_force_at.get(version, {}).values())

    def traffic(self) -> dict[str, tuple[int, int, int]]:
        """Bytes sent, received, and sent for distribution, by node."""
        return {post.name: (post.sent, post.received, post.distribution_sent) for post in self.posts}
