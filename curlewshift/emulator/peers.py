"""Fronts that know each other, in virtual time: the channels that serve, on links that lose, delay, double and spoil.

To some thousand fronts. Called by `measure peers`, the experiments and the random histories. Its figures are simulated.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from curlewshift.emulator.queue import Buckets
from curlewshift.membership.member import Member, Rank
from curlewshift.membership.membership import Membership
from curlewshift.membership.terms import MembershipTerms
from curlewshift.peering.channel import Channel

NS = 1_000_000_000
MS = 1_000_000
BORN = 1_000_000 * NS
# A way between two fronts (ns).
WAY = (0.3 * MS, 2 * MS)


class Links:
    """What befalls datagrams; shares from 0 to 1. `parted(a, b)` tells whether a's words do not reach b."""

    def __init__(self, loss: float = 0.0, doubled: float = 0.0, spoilt: float = 0.0, late: float = 0.0, late_by: int = 0):
        self.loss, self.doubled, self.spoilt, self.late, self.late_by = loss, doubled, spoilt, late, late_by
        self.parted: Callable[[int, int], bool] = lambda a, b: False
        # datagrams to these fronts are lost by this share besides: machines that are slow to read
        self.hard_of_hearing: dict[int, float] = {}


class Post:
    """One front of the fleet over its lives. Its clock may run fast, stand still or be set."""

    def __init__(self, fleet: PeerFleet, number: int):
        self.fleet, self.number = fleet, number
        self.name, self.address = f"f{number}", (f"10.0.{number >> 8}.{number & 255}", 4000)
        self.channel: Channel | None = None
        self.lives, self.rate, self.offset, self.paused = 0, 1.0, 0, False
        self.waiting: list[bytes] = []
        self.gone_at: dict[str, int] = {}

    def now(self) -> int:
        return int(self.fleet.queue.now * self.rate) + self.offset

    def wake(self, at: int) -> None:
        # in so long by the clock as it is now, as a process sleeps
        wait = int((at - self.now()) / self.rate) + 1
        self.fleet.queue.at(self.fleet.queue.now + max(0, wait), self._time, self.channel)

    def _time(self, channel: Channel) -> None:
        if channel is self.channel and not self.paused:
            channel.time()

    def post(self, address: tuple[str, int], data: bytes) -> None:
        self.fleet.carry(self, address, data)

    def arrive(self, data: bytes) -> None:
        if self.paused:
            self.waiting.append(data)
        elif self.channel is not None:
            self.channel.received(data)

    def member_changed(self, member: Member, before: Rank | None, cause: str) -> None:
        self.fleet.changed(self, member, before)

    def outlived(self, over: bool) -> None:
        pass

    # ---- what befalls it

    def start(self) -> None:
        self.lives += 1
        self.paused, self.waiting = False, []
        self.channel = Channel(
            self,
            "emulated",
            self.name,
            self.address,
            self.now() // MS * 1024 + self.lives,
            self.fleet.seeds,
            self.fleet.membership_terms,
            self.fleet.most_bytes,
            Random(f"{self.fleet.seed} {self.number} {self.lives}"),
            self.fleet.membership,
        )
        self.channel.start()

    def kill(self) -> None:
        self.channel = None

    def pause(self) -> None:
        self.paused = True

    def go_on(self) -> None:
        self.paused, waiting, self.waiting = False, self.waiting, []
        for data in waiting:
            self.arrive(data)
        if self.channel is not None:
            self.channel.time()

    def set_clock(self, step: int) -> None:
        self.offset += step


class PeerFleet:
    """`size` fronts, the first `seeds` of which are named to all. `run(s)` lets time pass."""

    def __init__(
        self,
        size: int,
        seed: int,
        membership_terms: MembershipTerms,
        seeds: int = 3,
        most_bytes: int = 128 * 1024,
        links: Links | None = None,
        membership: type[Membership] = Membership,
    ):
        self.queue, self.rng, self.seed = Buckets(BORN), Random(seed), seed
        self.membership_terms, self.most_bytes, self.membership = membership_terms, most_bytes, membership
        self.links = links or Links()
        self.posts = [Post(self, number) for number in range(size)]
        self.seeds = [post.address for post in self.posts[:seeds]]
        self.at = {post.address: post for post in self.posts}
        # (when, who holds it, of whom) each time a member was taken for gone
        self.calls: list[tuple[int, str, str]] = []
        self.suspicions = self.datagrams = self.bytes = 0

    def start(self, numbers=None) -> None:
        for number in range(len(self.posts)) if numbers is None else numbers:
            self.posts[number].start()

    def start_settled(self) -> None:
        """All at once and knowing each other, as a fleet that has run for long: what a start costs is another question."""
        self.start()
        members = [post.channel.membership for post in self.posts]
        for mine in members:
            mine.joined = True
            mine.receive_claims([other.local_member.claim() for other in members if other is not mine], "settled")
            for name in list(mine.updates.transmissions):
                mine.updates.drop(name)

    def run(self, seconds: float) -> None:
        self.queue.run(self.queue.now + int(seconds * NS))

    def carry(self, sender: Post, address: tuple[str, int], data: bytes) -> None:
        self.datagrams += 1
        self.bytes += len(data)
        to = self.at.get(address)
        links, rng = self.links, self.rng
        if to is None or links.parted(sender.number, to.number):
            return
        if rng.random() < links.loss or rng.random() < links.hard_of_hearing.get(to.number, 0.0):
            return
        if links.spoilt and rng.random() < links.spoilt:
            at = rng.randrange(len(data))
            data = data[:at] + bytes((data[at] ^ 1 << rng.randrange(8),)) + data[at + 1 :]
        for _ in range(2 if links.doubled and rng.random() < links.doubled else 1):
            way = rng.uniform(*WAY)
            if links.late and rng.random() < links.late:
                way += rng.uniform(0, links.late_by)
            self.queue.at(self.queue.now + int(way), to.arrive, data)

    def changed(self, post: Post, member: Member, before: Rank | None) -> None:
        if member.rank is Rank.GONE:
            self.calls.append((self.queue.now, post.name, member.name))
        elif member.rank is Rank.SUSPECT:
            self.suspicions += 1

    # ---- what is to be seen

    def alive(self) -> list[Post]:
        return [post for post in self.posts if post.channel is not None]

    def agreed(self) -> bool:
        """All that run hold the same to be in, and those are the ones that run."""
        alive = self.alive()
        names = {post.name for post in alive}
        views = {post.channel.membership.views.digest for post in alive}
        return len(views) == 1 and {member.name for member in alive[0].channel.membership.ring} == (names - {alive[0].name})

    def until(self, what: Callable[[], bool], seconds: float, step: float = 0.1) -> float | None:
        """Seconds until that was so; None if it was not within the time given."""
        began = self.queue.now
        while not what():
            if self.queue.now - began > seconds * NS:
                return None
            self.run(step)
        return (self.queue.now - began) / NS
