"""Membership of up to some thousand fronts in virtual time: the production channels on faulty links.

A front is one process of the program. The links lose, delay, duplicate and corrupt datagrams. Called by `measure peers`, the
experiments and the random histories. All figures are simulated.
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
START_TIME = 1_000_000 * NS
# The range of delays between two fronts (ns).
DELAY_RANGE = (0.3 * MS, 2 * MS)


class Links:
    """The faults of the links, as probabilities from 0 to 1; `max_extra_delay` in ns.

    `parted(a, b)` returns whether datagrams from a do not reach b.
    """

    def __init__(
        self, loss: float = 0.0, duplication: float = 0.0, corruption: float = 0.0, delayed: float = 0.0, max_extra_delay: int = 0
    ):
        self.loss, self.duplication, self.corruption, self.delayed, self.max_extra_delay = (
            loss,
            duplication,
            corruption,
            delayed,
            max_extra_delay,
        )
        self.parted: Callable[[int, int], bool] = lambda a, b: False
        # additional loss of datagrams to these fronts, as on machines that are slow to read
        self.receive_loss: dict[int, float] = {}


class Post:
    """One front of the fleet over all its lives (runs of its process), with a clock that may drift or be set.

    It is the driver of its channel.
    """

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
        # wait for the remaining time at the present rate of the clock, as a sleeping process does
        wait = int((at - self.now()) / self.rate) + 1
        self.fleet.queue.at(self.fleet.queue.now + max(0, wait), self._time, self.channel)

    def _time(self, channel: Channel) -> None:
        if channel is self.channel and not self.paused:
            channel.time()

    def post(self, address: tuple[str, int], data: bytes) -> None:
        self.fleet.transmit(self, address, data)

    def arrive(self, data: bytes) -> None:
        if self.paused:
            self.waiting.append(data)
        elif self.channel is not None:
            self.channel.received(data)

    def member_changed(self, member: Member, before: Rank | None, cause: str) -> None:
        self.fleet.changed(self, member, before)

    def outlived(self, over: bool) -> None:
        pass

    # ---- faults

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
            self.fleet.max_bytes,
            Random(f"{self.fleet.seed} {self.number} {self.lives}"),
            self.fleet.membership,
        )
        self.channel.start()

    def kill(self) -> None:
        self.channel = None

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused, waiting, self.waiting = False, self.waiting, []
        for data in waiting:
            self.arrive(data)
        if self.channel is not None:
            self.channel.time()

    def set_clock(self, step: int) -> None:
        self.offset += step


class PeerFleet:
    """`size` fronts, the first `seeds` of which are known to all from the start."""

    def __init__(
        self,
        size: int,
        seed: int,
        membership_terms: MembershipTerms,
        seeds: int = 3,
        max_bytes: int = 128 * 1024,
        links: Links | None = None,
        membership: type[Membership] = Membership,
    ):
        self.queue, self.rng, self.seed = Buckets(START_TIME), Random(seed), seed
        self.membership_terms, self.max_bytes, self.membership = membership_terms, max_bytes, membership
        self.links = links or Links()
        self.posts = [Post(self, number) for number in range(size)]
        self.seeds = [post.address for post in self.posts[:seeds]]
        self.at = {post.address: post for post in self.posts}
        # (time in ns, observer, member) each time a front declared a member gone
        self.gone_reports: list[tuple[int, str, str]] = []
        self.suspicions = self.datagrams = self.bytes = 0

    def start(self, numbers=None) -> None:
        for number in range(len(self.posts)) if numbers is None else numbers:
            self.posts[number].start()

    def start_settled(self) -> None:
        """Starts all fronts at once, already joined, as in a fleet that has run for long; the cost of joining is left out."""
        self.start()
        members = [post.channel.membership for post in self.posts]
        for member in members:
            member.joined = True
            member.receive_claims([other.local_member.claim() for other in members if other is not member], "settled")
            for name in list(member.updates.transmissions):
                member.updates.drop(name)

    def run(self, seconds: float) -> None:
        """Runs the fleet for this virtual time."""
        self.queue.run(self.queue.now + int(seconds * NS))

    def transmit(self, sender: Post, address: tuple[str, int], data: bytes) -> None:
        self.datagrams += 1
        self.bytes += len(data)
        to = self.at.get(address)
        links, rng = self.links, self.rng
        if to is None or links.parted(sender.number, to.number):
            return
        if rng.random() < links.loss or rng.random() < links.receive_loss.get(to.number, 0.0):
            return
        if links.corruption and rng.random() < links.corruption:
            at = rng.randrange(len(data))
            data = data[:at] + bytes((data[at] ^ 1 << rng.randrange(8),)) + data[at + 1 :]
        for _ in range(2 if links.duplication and rng.random() < links.duplication else 1):
            delay = rng.uniform(*DELAY_RANGE)
            if links.delayed and rng.random() < links.delayed:
                delay += rng.uniform(0, links.max_extra_delay)
            self.queue.at(self.queue.now + int(delay), to.arrive, data)

    def changed(self, post: Post, member: Member, before: Rank | None) -> None:
        if member.rank is Rank.GONE:
            self.gone_reports.append((self.queue.now, post.name, member.name))
        elif member.rank is Rank.SUSPECT:
            self.suspicions += 1

    # ---- observations

    def alive(self) -> list[Post]:
        return [post for post in self.posts if post.channel is not None]

    def agreed(self) -> bool:
        """Returns whether all running fronts have the same view, and it holds exactly the running fronts."""
        alive = self.alive()
        names = {post.name for post in alive}
        views = {post.channel.membership.views.digest for post in alive}
        return len(views) == 1 and {member.name for member in alive[0].channel.membership.ring} == (names - {alive[0].name})

    def until(self, condition: Callable[[], bool], seconds: float, step: float = 0.1) -> float | None:
        """Runs until the condition holds; returns the seconds that it took, or None after the time-out."""
        began = self.queue.now
        while not condition():
            if self.queue.now - began > seconds * NS:
                return None
            self.run(step)
        return (self.queue.now - began) / NS
