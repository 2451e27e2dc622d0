"""Random histories of membership: random faults, then a quiet time, in which all fronts must come to the same view.

Called by `measure peers` (ten thousand of them) and by tests (a few, and the seeds that failed earlier).
"""

from __future__ import annotations

from random import Random

from curlewshift.emulator.peers import MS, NS, START_TIME, PeerFleet
from curlewshift.membership.membership import Membership
from curlewshift.membership.terms import MembershipTerms, default_membership_terms

PERIOD = NS // 2
# Periods with faults, and the quiet periods after them: the last survivor of many fronts waits nine periods for an answer and
# then 18 for a suspect.
FAULT_PERIODS, QUIET_PERIODS = 60, 60
SEEDS = 2
KINDS = (
    "kill",
    "kill",
    "start",
    "start",
    "pause",
    "go-on",
    "cut",
    "one-way",
    "heal",
    "loss",
    "clean",
    "step",
    "rate",
    "leave",
    "twin",
)


def membership_terms(**options) -> MembershipTerms:
    return default_membership_terms(PERIOD, **options)


class History:
    """One history; `run()` returns the periods from the last fault until all agreed, or None if they did not.

    `faults` lists the injected faults: seconds, kind and front.
    """

    def __init__(self, seed: int, membership: type[Membership] = Membership):
        self.rng = rng = Random(f"history {seed}")
        self.size = rng.randint(3, 7)
        self.fleet = PeerFleet(self.size, seed, membership_terms(), seeds=SEEDS, membership=membership)
        self.faults: list[tuple] = []

    def run(self) -> float | None:
        fleet, rng = self.fleet, self.rng
        fleet.start(rng.sample(range(self.size), rng.randint(1, self.size)))
        while fleet.queue.now < START_TIME + FAULT_PERIODS * PERIOD:
            fleet.run(rng.uniform(0.05, 4))
            self._inject_fault(rng.choice(KINDS), rng.choice(fleet.posts))
        self._end_faults()
        after = fleet.until(fleet.agreed, QUIET_PERIODS * PERIOD / NS)
        return None if after is None else after * NS / PERIOD

    def _inject_fault(self, kind: str, post) -> None:
        links, rng = self.fleet.links, self.rng
        self.faults.append((round((self.fleet.queue.now - START_TIME) / NS, 2), kind, post.name))
        if kind == "kill":
            post.kill()
        elif kind == "start":
            if post.channel is None:
                post.start()
        elif kind == "twin":
            # a second process replaces one that still runs
            if post.channel is not None:
                post.start()
        elif kind == "leave":
            if post.channel is not None and not post.paused:
                post.channel.leave()
                post.kill()
        elif kind == "pause":
            post.pause()
        elif kind == "go-on":
            post.resume()
        elif kind == "cut":
            side = set(rng.sample(range(self.size), rng.randint(1, self.size - 1)))
            links.parted = lambda a, b: (a in side) != (b in side)
        elif kind == "one-way":
            links.parted = lambda a, b, silenced=post.number: a == silenced
        elif kind == "heal":
            links.parted = lambda a, b: False
        elif kind == "loss":
            links.loss, links.duplication, links.corruption = rng.uniform(0, 0.6), rng.random(), rng.uniform(0, 0.3)
            links.delayed, links.max_extra_delay = rng.uniform(0, 0.5), rng.randint(10, 8000) * MS
        elif kind == "clean":
            self._clear_link_faults()
        elif kind == "step":
            post.set_clock(rng.choice((-1, 1)) * rng.randint(1, 600) * NS)
        elif kind == "rate":
            # the offset keeps the time shown, as with a clock whose rate is disciplined
            shown, post.rate = post.now(), rng.uniform(0.99, 1.01)
            post.offset += shown - post.now()

    def _clear_link_faults(self) -> None:
        links = self.fleet.links
        links.loss = links.duplication = links.corruption = links.delayed = 0.0

    def _end_faults(self) -> None:
        self._clear_link_faults()
        self.fleet.links.parted = lambda a, b: False
        for post in self.fleet.posts:
            post.resume()
        # a front that starts while no seed is up is not found until one is
        if all(post.channel is None for post in self.fleet.posts[:SEEDS]):
            self.fleet.posts[0].start()


def histories(seeds: range, membership: type[Membership] = Membership) -> list[tuple[int, float | None]]:
    """Returns each seed with the periods until agreement, or None."""
    return [(seed, History(seed, membership).run()) for seed in seeds]
