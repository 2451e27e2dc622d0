"""The order of configuration versions, and the ballots under which stores accept them.

A version's number is the fence of the lease under which it was made and a count within that tenure; its digest identifies the
content. Used by everything in distribution/.
"""

from __future__ import annotations

from hashlib import sha256
from typing import NamedTuple

# Larger site files are rejected: this limits the memory that a message of a provider can make a member use.
MAX_CONTENT_BYTES = 4 * 1024 * 1024


class Version(NamedTuple):
    """`digest` is the SHA-256 of the full content (FIPS 180-4)."""

    fence: int
    count: int
    digest: bytes

    @property
    def number(self) -> tuple[int, int]:
        return self.fence, self.count

    def newer_than(self, other: Version) -> bool:
        return self[:2] > other[:2]

    @property
    def text(self) -> str:
        return f"{self.fence}.{self.count}-{self.digest.hex()[:12]}" if self.fence else "file"


# The site file that a node was started with: every version is newer.
NO_VERSION = Version(0, 0, b"")


def digest_of(content: bytes) -> bytes:
    """The digest by which a content is identified."""
    return sha256(content).digest()


class Ballot(NamedTuple):
    """A tenure of a writer in one life (run of its process, numbered). The lease should grant a fence to one writer only; the
    stores do not rely on that, and promise a fence to the first writer that presents it."""

    fence: int
    writer: str
    life: int

    def superseded_by(self, promised: Ballot) -> bool:
        return self.fence < promised.fence or (self.fence == promised.fence and self != promised)


NO_BALLOT = Ballot(0, "", 0)
