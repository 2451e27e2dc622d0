"""What fronts have observed of each media server, merged as evidence and not as verdicts.

Each front reports how often a server recently answered and failed, and for how long it has answered without a failure. The last
report of each front by life and number is kept, so that reports merge in any order. They are weighed when they are read: by how
much each front observed, and with less weight for a front that finds bad what others find good, as its own network path may be
bad.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from curlewshift.sharing.terms import SharingTerms

# Time in which evidence fades (ns), the same as for what a front itself holds against a server.
FADE_NS = 8_000_000_000
# Higher counts of one witness for one server are capped here: a crowd at one front is not many fronts.
MAX_COUNT_PER_WITNESS = 6.0
# A server is doubted where so many other fronts find it bad and this share of the evidence is bad; it is cleared at the lower
# share.
MIN_WITNESSES, DOUBT_FROM, CLEAR_UP_TO = 2, 0.6, 0.3
# A witness's weight is halved for each so many servers on which it stands alone against the rest.
SERVERS_PER_HALVING = 1.0
MAX_SERVERS, MAX_WITNESSES_PER_SERVER = 8192, 64


@dataclass(slots=True)
class ServerObservation:
    """One front's last report on one server: faded counts, and for how long (ns) it had answered without a failure by then."""

    life: int
    number: int
    good: float
    bad: float
    unbroken_ns: int
    at: int


class Evidence:
    """The evidence that one front holds on all servers. Times are this front's steady ns. `local_name` is its own name, one
    witness among the others."""

    def __init__(self, local_name: str, terms: SharingTerms):
        self.local_name, self.terms = local_name, terms
        self.observations: dict[str, dict[str, ServerObservation]] = {}
        # servers doubted on others' evidence, with hysteresis: an unsteady server does not make all fronts swing
        self.doubted: dict[str, bool] = {}

    def observations_received(
        self, front: str, life: int, number: int, rows: list[tuple[str, float, float, int]], now: int
    ) -> None:
        for server, good, bad, unbroken_ns in rows:
            observations = self.observations.get(server)
            if observations is None:
                if len(self.observations) >= MAX_SERVERS:
                    continue
                observations = self.observations[server] = {}
            known = observations.get(front)
            if known is not None and (life, number) <= (known.life, known.number):
                continue
            if known is None and len(observations) >= MAX_WITNESSES_PER_SERVER:
                continue
            observations[front] = ServerObservation(
                life,
                number,
                max(0.0, min(good, MAX_COUNT_PER_WITNESS)),
                max(0.0, min(bad, MAX_COUNT_PER_WITNESS)),
                max(0, unbroken_ns),
                now,
            )

    def faded_counts(self, server: str, front: str, now: int) -> tuple[float, float]:
        """Good and bad counts of one witness, faded to now."""
        observation = self.observations.get(server, {}).get(front)
        if observation is None:
            return 0.0, 0.0
        remaining = exp(-max(0, now - observation.at) / FADE_NS)
        return observation.good * remaining, observation.bad * remaining

    def witness_weights(self, now: int) -> dict[str, float]:
        """The weight of each witness, up to 1: halved for each server that it alone finds bad while others find it good."""
        alone: dict[str, float] = {}
        for server, observations in self.observations.items():
            by_front = {front: self.faded_counts(server, front, now) for front in observations}
            for front, (good, bad) in by_front.items():
                if bad <= good or bad < 0.5:
                    continue
                others = [counts for name, counts in by_front.items() if name != front]
                finding_good = sum(good > bad for good, bad in others)
                finding_bad = sum(bad > good for good, bad in others)
                alone[front] = alone.get(front, 0.0) + max(0, finding_good - finding_bad) / max(1, finding_good + finding_bad)
        return {front: 0.5 ** (count / SERVERS_PER_HALVING) for front, count in alone.items()}

    def weighed_counts(self, server: str, now: int, weights: dict[str, float] | None = None) -> tuple[float, float, int]:
        """Good and bad counts, and how many fronts find it bad, by all witnesses but this front."""
        weights = self.witness_weights(now) if weights is None else weights
        good = bad = 0.0
        accusers = 0
        for front in self.observations.get(server, {}):
            if front == self.local_name:
                continue
            faded_good, faded_bad = self.faded_counts(server, front, now)
            weight = weights.get(front, 1.0)
            good += weight * faded_good
            bad += weight * faded_bad
            accusers += weight * faded_bad > 0.5 and faded_bad > faded_good
        return good, bad, accusers

    def doubts(self, now: int) -> dict[str, bool]:
        """Servers doubted on others' evidence. Updated for all servers at once, each `every`."""
        weights = self.witness_weights(now)
        for server in self.observations:
            good, bad, accusers = self.weighed_counts(server, now, weights)
            bad_share = bad / (good + bad) if good + bad > 0.5 else 0.0
            if bad_share >= DOUBT_FROM and accusers >= MIN_WITNESSES:
                self.doubted[server] = True
            elif bad_share <= CLEAR_UP_TO:
                self.doubted.pop(server, None)
        return self.doubted

    def warm(self, server: str, within: int, since: int, now: int) -> bool:
        """Whether enough others have seen it answer without a failure for longer than it takes to get warm, in reports received
        after `since`: an earlier report might be about a previous boot."""
        witnesses = 0
        for front, observation in self.observations.get(server, {}).items():
            if front == self.local_name or observation.at < since:
                continue
            good, bad = self.faded_counts(server, front, now)
            if bad > 0.1:
                return False
            # a fast clock shows more time than has passed
            witnesses += observation.unbroken_ns * (1 - 2 * self.terms.drift) > within and good > 0
        return witnesses >= MIN_WITNESSES

    def why(self, server: str, now: int) -> list[tuple[str, float, float, float]]:
        """Witnesses with their good and bad counts and weights, for display."""
        weights = self.witness_weights(now)
        return [
            (front, *self.faded_counts(server, front, now), weights.get(front, 1.0))
            for front in self.observations.get(server, {})
        ]

    def forget(self, now: int) -> None:
        for server, observations in list(self.observations.items()):
            for front in [front for front, observation in observations.items() if now - observation.at > 4 * FADE_NS]:
                del observations[front]
            if not observations:
                del self.observations[server]
                self.doubted.pop(server, None)
