"""Random histories of fronts that know each other: troubles by seed, then quiet, and all have to hold the same.

Called by `measure peers` (ten thousand of them) and by tests (a few, and the seeds that once failed).
"""

from __future__ import annotations

from random import Random

from curlewshift.emulator.peers import BORN, MS, NS, PeerFleet
from curlewshift.membership.membership import Membership
from curlewshift.membership.terms import MembershipTerms, default_membership_terms

PERIOD = NS // 2
# Periods of trouble, and of quiet after it: the last one of many waits nine for an answer and then 18 for a suspect.
TROUBLED, QUIET = 60, 60
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


def membership_terms(**more) -> MembershipTerms:
    return default_membership_terms(PERIOD, **more)


class History:
    """One history; `run()` returns how many periods after the last trouble all agreed, None if they did not."""

    def __init__(self, seed: int, membership: type[Membership] = Membership):
        self.rng = rng = Random(f"history {seed}")
        self.size = rng.randint(3, 7)
        self.fleet = PeerFleet(self.size, seed, membership_terms(), seeds=SEEDS, membership=membership)
        self.story: list[tuple] = []

    def run(self) -> float | None:
        fleet, rng = self.fleet, self.rng
        fleet.start(rng.sample(range(self.size), rng.randint(1, self.size)))
        while fleet.queue.now < BORN + TROUBLED * PERIOD:
            fleet.run(rng.uniform(0.05, 4))
            self._befall(rng.choice(KINDS), rng.choice(fleet.posts))
        self._calm()
        after = fleet.until(fleet.agreed, QUIET * PERIOD / NS)
        return None if after is None else after * NS / PERIOD

    def _befall(self, kind: str, post) -> None:
        links, rng = self.fleet.links, self.rng
        self.story.append((round((self.fleet.queue.now - BORN) / NS, 2), kind, post.name))
        if kind == "kill":
            post.kill()
        elif kind == "start":
            if post.channel is None:
                post.start()
        elif kind == "twin":
            # a second process takes the place of one that still runs
            if post.channel is not None:
                post.start()
        elif kind == "leave":
            if post.channel is not None and not post.paused:
                post.channel.leave()
                post.kill()
        elif kind == "pause":
            post.pause()
        elif kind == "go-on":
            post.go_on()
        elif kind == "cut":
            side = set(rng.sample(range(self.size), rng.randint(1, self.size - 1)))
            links.parted = lambda a, b: (a in side) != (b in side)
        elif kind == "one-way":
            links.parted = lambda a, b, mute=post.number: a == mute
        elif kind == "heal":
            links.parted = lambda a, b: False
        elif kind == "loss":
            links.loss, links.doubled, links.spoilt = rng.uniform(0, 0.6), rng.random(), rng.uniform(0, 0.3)
            links.late, links.late_by = rng.uniform(0, 0.5), rng.randint(10, 8000) * MS
        elif kind == "clean":
            self._clean()
        elif kind == "step":
            post.set_clock(rng.choice((-1, 1)) * rng.randint(1, 600) * NS)
        elif kind == "rate":
            # steps keep what the clock shows, as a clock that is led does
            shown, post.rate = post.now(), rng.uniform(0.99, 1.01)
            post.offset += shown - post.now()

    def _clean(self) -> None:
        links = self.fleet.links
        links.loss = links.doubled = links.spoilt = links.late = 0.0

    def _calm(self) -> None:
        self._clean()
        self.fleet.links.parted = lambda a, b: False
        for post in self.fleet.posts:
            post.go_on()
        # who starts while no seed is up is found by nobody until one is
        if all(post.channel is None for post in self.fleet.posts[:SEEDS]):
            self.fleet.posts[0].start()


def histories(seeds: range, membership: type[Membership] = Membership) -> list[tuple[int, float | None]]:
    """Each seed with what came of it."""
    return [(seed, History(seed, membership).run()) for seed in seeds]
