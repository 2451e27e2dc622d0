"""A log on disk that is flushed before it is acted on. Called by the front from a thread.

Records are framed as those of captures. A torn tail, which a kill leaves, is cut off when the log is opened; a damaged
record in the middle ends what is read there, is told of, and the file is put aside. One process has a folder at a time.
"""

from __future__ import annotations

import fcntl
import os
import zlib
from pathlib import Path

from curlewshift.capture.records import HEAD, MAGIC, InvalidCapture, Reading, frame


class FolderInUse(Exception):
    """Another process has this folder."""


class WriteFailed(Exception):
    """The record is not on the disk, and what it tells must not be done."""


class Lock:
    """A folder for one process alone, until it ends."""

    def __init__(self, folder: Path):
        folder.mkdir(parents=True, exist_ok=True)
        self.file = open(folder / "lock", "a+")
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.file.close()
            raise FolderInUse(f"another front has {folder}") from None

    def release(self) -> None:
        self.file.close()


def holds_a_record(raw: bytes) -> bool:
    """Whether a whole record begins anywhere in these bytes."""
    for at in range(len(raw) - HEAD.size):
        length, checksum = HEAD.unpack_from(raw, at)
        payload = raw[at + HEAD.size : at + HEAD.size + length]
        if 0 < length == len(payload) and zlib.crc32(payload) == checksum:
            return True
    return False


class Journal:
    """`records` are those found at the start, `damage` what was wrong with them, empty if nothing was."""

    def __init__(self, path: Path):
        self.path, self.damage = path, ""
        self.records: list[list] = []
        self.broken = ""
        whole = self._read()
        self.file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        if whole is None:
            self._begin()
        else:
            os.ftruncate(self.file, whole)
            os.lseek(self.file, 0, os.SEEK_END)
            self.size = whole

    def _read(self) -> int | None:
        """How many bytes of the file are whole; None if it has to begin anew."""
        if not self.path.exists() or not self.path.stat().st_size:
            return None
        raw = self.path.read_bytes()
        try:
            reading = Reading(raw, self.path.name)
        except InvalidCapture as wrong:
            self.damage = str(wrong)
            os.replace(self.path, self.path.with_name(self.path.name + ".damaged"))
            return None
        self.records = list(reading)
        if reading.damage and holds_a_record(raw[reading.whole + 1 :]):
            # a kill tears the last record alone: what has whole ones behind it was damaged by something else, and is
            # kept for a person to look at
            self.path.with_name(self.path.name + ".damaged").write_bytes(raw)
            self.damage = f"{reading.damage}; what follows was put aside"
        return reading.whole

    def add(self, record: list, flush: bool) -> None:
        """Raises `WriteFailed`; the log is then as it was before."""
        if self.broken:
            raise WriteFailed(self.broken)
        raw = frame(record)
        try:
            done = os.write(self.file, raw)
            if done != len(raw):
                raise OSError(f"only {done} of {len(raw)} bytes were written")
        except OSError as wrong:
            self._back(wrong)
        if flush:
            try:
                os.fsync(self.file)
            except OSError as wrong:
                # after a failed flush nothing that was written before can be trusted to be on the disk either
                self.broken = f"the disk did not take what was written: {wrong}"
                raise WriteFailed(self.broken) from None
        self.size += len(raw)

    def _back(self, wrong: OSError) -> None:
        try:
            os.ftruncate(self.file, self.size)
            os.lseek(self.file, 0, os.SEEK_END)
        except OSError:
            self.broken = "a torn record could not be taken back"
        raise WriteFailed(f"it could not be written: {wrong}") from None

    def begin_anew(self, records: list[list]) -> None:
        """A log with these alone, moved into the place of the old one. Raises `WriteFailed`; the old one then stays."""
        beside = self.path.with_name(self.path.name + ".new")
        try:
            with open(beside, "wb") as file:
                file.write(MAGIC + b"".join(frame(record) for record in records))
                file.flush()
                os.fsync(file.fileno())
            os.replace(beside, self.path)
            folder = os.open(self.path.parent, os.O_RDONLY)
            os.fsync(folder)
            os.close(folder)
        except OSError as wrong:
            raise WriteFailed(f"it could not be written anew: {wrong}") from None
        os.close(self.file)
        self.file = os.open(self.path, os.O_RDWR)
        self.size = os.lseek(self.file, 0, os.SEEK_END)

    def _begin(self) -> None:
        os.ftruncate(self.file, 0)
        os.write(self.file, MAGIC)
        os.fsync(self.file)
        self.size = len(MAGIC)

    def close(self) -> None:
        os.close(self.file)
