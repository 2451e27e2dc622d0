"""News to pass on: each piece a bounded number of times, the least told first (SWIM, section 4.1)."""

from __future__ import annotations

from random import Random

from curlewshift.membership.member import Claim


class News:
    """One piece a member: a newer claim takes the place of an older one. Bounded by the number of members."""

    def __init__(self):
        # pieces by how often they have been told
        self.levels: list[dict[str, Claim]] = [{}]
        self.level: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.level)

    def put(self, claim: Claim) -> None:
        self.drop(claim.name)
        self.levels[0][claim.name] = claim
        self.level[claim.name] = 0

    def drop(self, name: str) -> None:
        level = self.level.pop(name, None)
        if level is not None:
            del self.levels[level][name]

    def take(self, room: int, most: int) -> list[Claim]:
        """Pieces for one datagram with so many bytes left; what has been told `most` times now is dropped."""
        taken: list[tuple[int, Claim]] = []
        for level, pieces in enumerate(self.levels):
            for claim in pieces.values():
                size = claim.size()
                if size > room:
                    break
                room -= size
                taken.append((level, claim))
            else:
                continue
            break
        for level, claim in taken:
            del self.levels[level][claim.name]
            if level + 1 >= most:
                del self.level[claim.name]
                continue
            if level + 1 == len(self.levels):
                self.levels.append({})
            self.levels[level + 1][claim.name] = claim
            self.level[claim.name] = level + 1
        return [claim for _, claim in taken]


def spread(members: list, count: int, rng: Random, but=None) -> list:
    """`count` of the members, or all there are, drawn without the one left out; constant work for a long list."""
    if len(members) <= 2 * count + 1:
        rest = [member for member in members if member is not but]
        return rest if len(rest) <= count else rng.sample(rest, count)
    drawn: dict = {}
    while len(drawn) < count:
        member = members[rng.randrange(len(members))]
        if member is not but:
            drawn[member] = None
    return list(drawn)
