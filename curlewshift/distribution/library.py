"""Contents by digest: what is in force, and some before it, to give differences to those who have them."""

from __future__ import annotations

from curlewshift.distribution.versions import digest_of

# Contents beyond these are dropped, oldest first: who has an older one is given the whole.
KEPT, MOST_BYTES = 16, 4 * 1024 * 1024


class Library:
    def __init__(self):
        self.contents: dict[bytes, bytes] = {}

    def get(self, digest: bytes) -> bytes | None:
        return self.contents.get(digest)

    def hold(self, content: bytes) -> None:
        digest = digest_of(content)
        self.contents.pop(digest, None)
        self.contents[digest] = content
        while len(self.contents) > 2 and (len(self.contents) > KEPT or sum(map(len, self.contents.values())) > MOST_BYTES):
            del self.contents[next(iter(self.contents))]
