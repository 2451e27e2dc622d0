"""Model of shared links and of the warm-up of a server, without I/O. Rates are kB/s, times ns."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from curlewshift.site.site import Obligations


@dataclass(eq=False, slots=True)
class Uplink:
    """The uplink of a rack, shared by the links of its servers."""

    size: float
    links: list[LinkModel] = field(default_factory=list)

    def asked(self) -> float:
        """Total rate that the servers' links pass on to the uplink."""
        return sum(min(link.asked, link.gives()) for link in self.links)

    def share(self) -> float:
        asked = self.asked()
        return min(1.0, self.size / asked) if asked > 0 else 1.0


@dataclass(eq=False, slots=True)
class LinkModel:
    """A server's link. `asked`: demanded rate; `taken`: share used by another program; `shrunk`: divisor of a degraded size."""

    size: float
    uplink: Uplink
    asked: float = 0.0
    taken: float = 0.0
    shrunk: float = 1.0

    def gives(self) -> float:
        return self.size * (1 - self.taken) / self.shrunk

    def use(self) -> float:
        return self.asked / self.gives()

    def share(self) -> float:
        """Share of its rate that each viewing gets: the link and then the uplink are shared in proportion to demand."""
        own = min(1.0, self.gives() / self.asked) if self.asked > 0 else 1.0
        return own * self.uplink.share()


def as_of(history: Sequence[tuple[int, float, float, float]], when: int) -> tuple[int, float, float, float]:
    """The newest entry up to `when`, or else the oldest one. Used for reports that are late."""
    found = history[0]
    for entry in history:
        if entry[0] > when:
            break
        found = entry
    return found


def falls_over(arrivals: deque[int], now: int, started_at: int, streams: int, obligations: Obligations) -> bool:
    """Counts one more arrival. Returns true if a cold server has got more set-ups within the window than the multiple of
    its present rate that it withstands; it then fails."""
    arrivals.append(now)
    while arrivals[0] <= now - obligations.fall_within:
        arrivals.popleft()
    if now - started_at >= obligations.warm_within:
        return False
    pace = streams / obligations.warm_within * warmth(now - started_at, obligations.warm_within, obligations.start_capacity)
    return len(arrivals) > max(1.0, obligations.fall_multiple * pace * obligations.fall_within)


def warmth(age: int, warm_within: int, start_capacity: float) -> float:
    """Share of its full set-up rate that a server of this age has: rises linearly from `start_capacity` to 1."""
    if age >= warm_within or warm_within <= 0:
        return 1.0
    return start_capacity + (1 - start_capacity) * max(0, age) / warm_within
