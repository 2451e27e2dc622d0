"""One node's copy of the configuration: the newest version it holds, and the version in force, which never goes back.

A version is applied as a unit, after its content matches its digest and the host has accepted it. It is written to disk before
it is applied, so that a restart does not go back to an older version either. If the host refuses a version, the refusal is
recorded, the last good version stays in force, and the next newer version is tried. Without contact to other members the
version in force stays, and its reported age grows.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
import zstandard

from curlewshift.distribution.versions import MAX_CONTENT_BYTES, NO_VERSION, Version, digest_of

FORM = 1
# Recorded refusals; the oldest is dropped beyond this.
MAX_REFUSED = 4
# Reported as age (ns) until a majority of the control machines has confirmed that the held version is the newest.
AGE_UNKNOWN = -1


class Driver(Protocol):
    """`check_configuration` and `apply_configuration` return the reason of a refusal, or None."""

    def now(self) -> int: ...
    def check_configuration(self, content: bytes) -> str | None: ...
    def apply_configuration(self, version: str, content: bytes) -> str | None: ...
    def store_configuration(self, data: bytes) -> None: ...
    def write_failed(self, reason: str) -> None: ...
    def copy_unreadable(self, reason: str) -> None: ...
    def in_force(self, version: Version, before: Version) -> None: ...
    def refuses(self, version: Version, reason: str) -> None: ...
    def forked(self, version: Version, other: Version) -> None: ...


class StoredCopy(msgspec.Struct, array_like=True):
    """The record on disk. `form` is the format version; `content` is compressed."""

    form: int
    version: tuple[int, int, bytes]
    content: bytes


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(StoredCopy)


class Copy:
    """A node's copy of the configuration. Times are in ns."""

    def __init__(self, driver: Driver):
        self.driver = driver
        # newest version announced; newest version whose content is held, accepted or not; version in force
        self.newest, self.held, self.version = NO_VERSION, NO_VERSION, NO_VERSION
        self.content: bytes | None = None
        # content of `held`, accepted or not: other members may request it, and may accept it
        self.held_content = b""
        self.refused: dict[Version, str] = {}
        self.since = driver.now()
        # latest time known at which a majority confirmed that `held` is the newest version (ns of this clock)
        self.confirmed_at: int | None = None
        self.forks = 0

    def start(self, kept: bytes | None) -> bool:
        """Loads the copy from disk (`kept`). False if there is none, or it is corrupt or refused."""
        if kept is None:
            return False
        try:
            held = DECODER.decode(kept)
            version = Version(*held.version)
            content = zstandard.ZstdDecompressor().decompress(held.content, max_output_size=MAX_CONTENT_BYTES)
            if held.form != FORM or not self._fits(version, content):
                raise ValueError("digest mismatch: the stored content does not match its version")
        except (msgspec.DecodeError, zstandard.ZstdError, ValueError, RecursionError) as error:
            self.driver.copy_unreadable(str(error))
            return False
        self.newest = version
        return self._take(version, content, already_stored=True)

    # ---- versions announced as accepted by a majority

    def version_announced(self, version: Version) -> bool:
        """Records an announced version. True if it is newer than all announced before."""
        for other in {self.newest, self.held}:
            if version.number == other.number and version.digest != other.digest:
                self.forks += 1
                self.driver.forked(version, other)
        if not version.newer_than(self.newest):
            return False
        self.newest = version
        return True

    def newer(self, version: Version) -> bool:
        """Whether the version is newer than the one held."""
        return version.newer_than(self.held)

    @property
    def wanted_version(self) -> Version | None:
        """The newest announced version, if its content is not held yet."""
        return self.newest if self.newer(self.newest) else None

    def content_received(self, version: Version, content: bytes) -> bool:
        """Takes the content of an announced version. False if it is not newer, does not match its digest, or is refused."""
        if not self.newer(version) or not self._fits(version, content):
            return False
        return self._take(version, content)

    def _fits(self, version: Version, content: bytes) -> bool:
        return digest_of(content) == version.digest

    def _take(self, version: Version, content: bytes, already_stored: bool = False) -> bool:
        before, self.held, self.held_content, self.confirmed_at = self.version, version, content, None
        reason = self.driver.check_configuration(content)
        if reason is None:
            if not already_stored:
                self._persist(version, content)
            reason = self.driver.apply_configuration(version.text, content)
            if reason is not None and not already_stored and self.content is not None:
                self._persist(before, self.content)
        if reason is not None:
            self.refused[version] = reason
            while len(self.refused) > MAX_REFUSED:
                del self.refused[next(iter(self.refused))]
            self.driver.refuses(version, reason)
            return False
        self.version, self.content, self.since = version, content, self.driver.now()
        self.driver.in_force(version, before)
        return True

    def _persist(self, version: Version, content: bytes) -> None:
        packed = zstandard.ZstdCompressor(level=3).compress(content)
        try:
            self.driver.store_configuration(ENCODER.encode(StoredCopy(FORM, tuple(version), packed)))
        except OSError as error:
            self.driver.write_failed(str(error))

    # ---- age

    def confirmed_newest(self, version: Version, age: int) -> None:
        """A majority confirmed, `age` ns ago, that it had nothing newer than `version`."""
        at = self.driver.now() - age
        if version.number == self.held.number and (self.confirmed_at is None or at > self.confirmed_at):
            self.confirmed_at = at

    @property
    def age(self) -> int:
        """Time since a majority confirmed the held version as the newest (ns), or `AGE_UNKNOWN`."""
        return AGE_UNKNOWN if self.confirmed_at is None else max(0, self.driver.now() - self.confirmed_at)

    @property
    def refusal_reason(self) -> str:
        """Why the newest held version was refused; empty if it is in force."""
        return self.refused.get(self.held, "") if self.held != self.version else ""
