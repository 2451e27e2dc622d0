"""What one node holds and has in force, and that it never goes back.

A content comes into force whole, once it fits its name and the host has found nothing wrong with it; it is on the disk before,
so that a restart does not go back either. What the host refuses is kept as refused, the last good one stays, and the next newer
is tried. With nobody heard all of it stays as it is, and grows old by the clock.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
import zstandard

from curlewshift.distribution.versions import MOST_CONTENT, NONE, Version, digest_of

FORM = 1
# Refusals told of; older ones are forgotten.
MOST_REFUSED = 4
# Age (ns) of what nobody has vouched for.
NEVER = -1


class Driver(Protocol):
    def now(self) -> int: ...
    def check_configuration(self, content: bytes) -> str | None: ...
    def take_configuration(self, version: str, content: bytes) -> str | None: ...
    def keep_configuration(self, data: bytes) -> None: ...
    def not_kept(self, why: str) -> None: ...
    def copy_lost(self, why: str) -> None: ...
    def in_force(self, version: Version, before: Version) -> None: ...
    def refuses(self, version: Version, why: str) -> None: ...
    def forked(self, one: Version, other: Version) -> None: ...


class Kept(msgspec.Struct, array_like=True):
    form: int
    version: tuple[int, int, bytes]
    content: bytes


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Kept)


class Copy:
    def __init__(self, driver: Driver):
        self.driver = driver
        # newest that was heard of; newest whose content is here, good or not; the one in force
        self.newest, self.held, self.version = NONE, NONE, NONE
        self.content: bytes | None = None
        # of the newest held, good or not: others may want it, and may think otherwise of it
        self.held_content = b""
        self.refused: dict[Version, str] = {}
        self.since = driver.now()
        # when a majority vouched that `held` is the newest, as far as the words of others tell (ns of this clock)
        self.vouched_at: int | None = None
        self.forks = 0

    def start(self, kept: bytes | None) -> bool:
        """From the disk. False where there is nothing there that is whole and good."""
        if kept is None:
            return False
        try:
            held = DECODER.decode(kept)
            version = Version(*held.version)
            content = zstandard.ZstdDecompressor().decompress(held.content, max_output_size=MOST_CONTENT)
            if held.form != FORM or not self._fits(version, content):
                raise ValueError("its digest is another than it says")
        except (msgspec.DecodeError, zstandard.ZstdError, ValueError, RecursionError) as wrong:
            self.driver.copy_lost(str(wrong))
            return False
        self.newest = version
        return self._take(version, content, kept_already=True)

    # ---- words on versions that a majority has

    def heard(self, version: Version) -> bool:
        """True if it is news."""
        for other in {self.newest, self.held}:
            if version.number == other.number and version.digest != other.digest:
                self.forks += 1
                self.driver.forked(version, other)
        if not version.over(self.newest):
            return False
        self.newest = version
        return True

    def newer(self, version: Version) -> bool:
        return version.over(self.held)

    @property
    def wants(self) -> Version | None:
        return self.newest if self.newer(self.newest) else None

    def got(self, version: Version, content: bytes) -> bool:
        """The content of one that was heard of. False where it is not newer, or is not what it says."""
        if not self.newer(version) or not self._fits(version, content):
            return False
        return self._take(version, content)

    def _fits(self, version: Version, content: bytes) -> bool:
        return digest_of(content) == version.digest

    def _take(self, version: Version, content: bytes, kept_already: bool = False) -> bool:
        before, self.held, self.held_content, self.vouched_at = self.version, version, content, None
        wrong = self.driver.check_configuration(content)
        if wrong is None:
            if not kept_already:
                self._keep(version, content)
            wrong = self.driver.take_configuration(version.text, content)
            if wrong is not None and not kept_already and self.content is not None:
                self._keep(before, self.content)
        if wrong is not None:
            self.refused[version] = wrong
            while len(self.refused) > MOST_REFUSED:
                del self.refused[next(iter(self.refused))]
            self.driver.refuses(version, wrong)
            return False
        self.version, self.content, self.since = version, content, self.driver.now()
        self.driver.in_force(version, before)
        return True

    def _keep(self, version: Version, content: bytes) -> None:
        packed = zstandard.ZstdCompressor(level=3).compress(content)
        try:
            self.driver.keep_configuration(ENCODER.encode(Kept(FORM, tuple(version), packed)))
        except OSError as wrong:
            self.driver.not_kept(str(wrong))

    # ---- how old it is

    def vouched(self, version: Version, age: int) -> None:
        """So long ago (ns) a majority had nothing newer than this."""
        at = self.driver.now() - age
        if version.number == self.held.number and (self.vouched_at is None or at > self.vouched_at):
            self.vouched_at = at

    @property
    def age(self) -> int:
        return NEVER if self.vouched_at is None else max(0, self.driver.now() - self.vouched_at)

    @property
    def why_refused(self) -> str:
        """Of the newest held, if it is not the one in force."""
        return self.refused.get(self.held, "") if self.held != self.version else ""
