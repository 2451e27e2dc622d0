"""Configuration contents by digest: the one in force and some earlier ones, which serve as bases of differences."""

from __future__ import annotations

from curlewshift.distribution.versions import digest_of

# Contents beyond these limits are dropped, oldest first; a requester that holds an older one is sent the full content.
MAX_CONTENTS, MAX_BYTES = 16, 4 * 1024 * 1024


class ContentCache:
    """Keeps at least the two newest contents."""

    def __init__(self):
        self.contents: dict[bytes, bytes] = {}

    def get(self, digest: bytes) -> bytes | None:
        return self.contents.get(digest)

    def hold(self, content: bytes) -> None:
        digest = digest_of(content)
        self.contents.pop(digest, None)
        self.contents[digest] = content
        while len(self.contents) > 2 and (len(self.contents) > MAX_CONTENTS or sum(map(len, self.contents.values())) > MAX_BYTES):
            del self.contents[next(iter(self.contents))]
