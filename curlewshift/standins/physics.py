"""How links are shared and how a machine warms up. Pure figures; rates are kB a second, times nanoseconds."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from curlewshift.site.site import Obligations


@dataclass(eq=False, slots=True)
class Uplink:
    size: float
    links: list[LinkModel] = field(default_factory=list)

    def asked(self) -> float:
        """What comes through the servers' links towards the uplink."""
        return sum(min(link.asked, link.gives()) for link in self.links)

    def share(self) -> float:
        asked = self.asked()
        return min(1.0, self.size / asked) if asked > 0 else 1.0


@dataclass(eq=False, slots=True)
class LinkModel:
    """A server's link: `taken` is the part that another program has, `shrunk` what the weak link is divided by."""

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
        """What each viewing gets of its rate: all lose the same share, of the link and then of the uplink."""
        own = min(1.0, self.gives() / self.asked) if self.asked > 0 else 1.0
        return own * self.uplink.share()


def as_of(history: Sequence[tuple[int, float, float, float]], when: int) -> tuple[int, float, float, float]:
    """The newest entry that is no younger than `when`, or the oldest there is: late reports tell of then."""
    held = history[0]
    for entry in history:
        if entry[0] > when:
            break
        held = entry
    return held


def falls_over(arrivals: deque[int], now: int, born: int, streams: int, obligations: Obligations) -> bool:
    """Counts one more arrival: a cold machine that is sent more than a multiple of its present pace within the window
    falls over."""
    arrivals.append(now)
    while arrivals[0] <= now - obligations.fall_within:
        arrivals.popleft()
    if now - born >= obligations.warm_within:
        return False
    pace = streams / obligations.warm_within * warmth(now - born, obligations.warm_within, obligations.start_capacity)
    return len(arrivals) > max(1.0, obligations.fall_multiple * pace * obligations.fall_within)


def warmth(age: int, warm_within: int, start_capacity: float) -> float:
    """The share of its pace that a machine of this age has: rises evenly from the start's to 1."""
    if age >= warm_within or warm_within <= 0:
        return 1.0
    return start_capacity + (1 - start_capacity) * max(0, age) / warm_within
