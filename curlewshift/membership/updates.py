"""Queue of updates to pass on: each is sent a bounded number of times, the least often sent first (SWIM, section 4.1)."""

from __future__ import annotations

from random import Random

from curlewshift.membership.member import Claim


class UpdateQueue:
    """Holds one claim for each member: a newer claim replaces an older one. Bounded by the number of members."""

    def __init__(self):
        # claims by the number of times they have been sent
        self.by_transmissions: list[dict[str, Claim]] = [{}]
        self.transmissions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.transmissions)

    def put(self, claim: Claim) -> None:
        self.drop(claim.name)
        self.by_transmissions[0][claim.name] = claim
        self.transmissions[claim.name] = 0

    def drop(self, name: str) -> None:
        transmissions = self.transmissions.pop(name, None)
        if transmissions is not None:
            del self.by_transmissions[transmissions][name]

    def take(self, room: int, max_transmissions: int) -> list[Claim]:
        """Claims for one datagram with `room` bytes left; a claim sent `max_transmissions` times is dropped."""
        selected: list[tuple[int, Claim]] = []
        for transmissions, claims in enumerate(self.by_transmissions):
            for claim in claims.values():
                size = claim.size()
                if size > room:
                    break
                room -= size
                selected.append((transmissions, claim))
            else:
                continue
            break
        for transmissions, claim in selected:
            del self.by_transmissions[transmissions][claim.name]
            if transmissions + 1 >= max_transmissions:
                del self.transmissions[claim.name]
                continue
            if transmissions + 1 == len(self.by_transmissions):
                self.by_transmissions.append({})
            self.by_transmissions[transmissions + 1][claim.name] = claim
            self.transmissions[claim.name] = transmissions + 1
        return [claim for _, claim in selected]


def sample_members(members: list, count: int, rng: Random, exclude=None) -> list:
    """`count` random members (all, if there are fewer) other than `exclude`; constant work for a long list."""
    if len(members) <= 2 * count + 1:
        candidates = [member for member in members if member is not exclude]
        return candidates if len(candidates) <= count else rng.sample(candidates, count)
    drawn: dict = {}
    while len(drawn) < count:
        member = members[rng.randrange(len(members))]
        if member is not exclude:
            drawn[member] = None
    return list(drawn)
