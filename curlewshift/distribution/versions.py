"""The order of versions of the configuration, and the ballots under which stores take them.

A version's number is the fence of the lease under which it was made and a count within that tenure; its name says what it
contains. Called by everything in distribution/.
"""

from __future__ import annotations

from hashlib import sha256
from typing import NamedTuple

# A site file larger than this is none: it bounds what a giver's words may make anybody hold.
MOST_CONTENT = 4 * 1024 * 1024


class Version(NamedTuple):
    """`digest` is the SHA-256 of the whole content (FIPS 180-4)."""

    fence: int
    count: int
    digest: bytes

    @property
    def number(self) -> tuple[int, int]:
        return self.fence, self.count

    def over(self, other: Version) -> bool:
        return self[:2] > other[:2]

    @property
    def text(self) -> str:
        return f"{self.fence}.{self.count}-{self.digest.hex()[:12]}" if self.fence else "file"


# The file a node was given: every version is newer.
NONE = Version(0, 0, b"")


def digest_of(content: bytes) -> bytes:
    """The digest by which content is known."""
    return sha256(content).digest()


class Ballot(NamedTuple):
    """A tenure of one writer's life. The lease should give a fence to one alone; the stores do not rest on that, and promise a
    fence to the first that comes with it."""

    fence: int
    writer: str
    life: int

    def behind(self, promised: Ballot) -> bool:
        return self.fence < promised.fence or (self.fence == promised.fence and self != promised)


NO_BALLOT = Ballot(0, "", 0)
