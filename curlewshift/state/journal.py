"""An append-only log on disk that can be flushed before its records are acted on. Called by the front from a thread.

Records are framed like those of captures. A torn last record, as a killed process leaves it, is cut off when the log is
opened. Reading stops at a damaged record in the middle; this is reported and a copy of the file is kept. Only one process
uses a folder at a time.
"""

from __future__ import annotations

import fcntl
import os
import zlib
from pathlib import Path

from curlewshift.capture.records import HEAD, MAGIC, InvalidCapture, Reading, frame


class FolderInUse(Exception):
    """Another process uses this folder."""


class WriteFailed(Exception):
    """The record is not on disk, so the caller must not act on it."""


class Lock:
    """An exclusive lock on a folder, held until `release` or the end of the process. Raises `FolderInUse`."""

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


def contains_record(raw: bytes) -> bool:
    """Whether a complete record starts anywhere in these bytes."""
    for at in range(len(raw) - HEAD.size):
        length, checksum = HEAD.unpack_from(raw, at)
        payload = raw[at + HEAD.size : at + HEAD.size + length]
        if 0 < length == len(payload) and zlib.crc32(payload) == checksum:
            return True
    return False


class Journal:
    """`records` are those read when the log was opened; `damage` describes a damaged file, empty if it was intact."""

    def __init__(self, path: Path):
        self.path, self.damage = path, ""
        self.records: list[list] = []
        self.failure = ""
        complete_size = self._read()
        self.file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        if complete_size is None:
            self._create()
        else:
            os.ftruncate(self.file, complete_size)
            os.lseek(self.file, 0, os.SEEK_END)
            self.size = complete_size

    def _read(self) -> int | None:
        """Reads the file; returns the length of its intact part in bytes, None if a new file has to be created."""
        if not self.path.exists() or not self.path.stat().st_size:
            return None
        raw = self.path.read_bytes()
        try:
            reading = Reading(raw, self.path.name)
        except InvalidCapture as error:
            self.damage = str(error)
            os.replace(self.path, self.path.with_name(self.path.name + ".damaged"))
            return None
        self.records = list(reading)
        if reading.damage and contains_record(raw[reading.whole + 1 :]):
            # a killed process leaves only its last record torn: a damaged record with complete ones after it has another
            # cause, so the file is kept for inspection
            self.path.with_name(self.path.name + ".damaged").write_bytes(raw)
            self.damage = f"{reading.damage}; the records after it were put aside"
        return reading.whole

    def add(self, record: list, flush: bool) -> None:
        """Appends a record. Raises `WriteFailed`; the log is then as it was before."""
        if self.failure:
            raise WriteFailed(self.failure)
        raw = frame(record)
        try:
            written = os.write(self.file, raw)
            if written != len(raw):
                raise OSError(f"only {written} of {len(raw)} bytes were written")
        except OSError as error:
            self._undo_write(error)
        if flush:
            try:
                os.fsync(self.file)
            except OSError as error:
                # after a failed flush, data written earlier cannot be trusted to be on disk either
                self.failure = f"flushing to disk failed: {error}"
                raise WriteFailed(self.failure) from None
        self.size += len(raw)

    def _undo_write(self, error: OSError) -> None:
        try:
            os.ftruncate(self.file, self.size)
            os.lseek(self.file, 0, os.SEEK_END)
        except OSError:
            self.failure = "a partly written record could not be removed"
        raise WriteFailed(f"writing failed: {error}") from None

    def rewrite(self, records: list[list]) -> None:
        """Replaces the log atomically by one with these records only. Raises `WriteFailed`; the old log is then kept."""
        temporary = self.path.with_name(self.path.name + ".new")
        try:
            with open(temporary, "wb") as file:
                file.write(MAGIC + b"".join(frame(record) for record in records))
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, self.path)
            folder = os.open(self.path.parent, os.O_RDONLY)
            os.fsync(folder)
            os.close(folder)
        except OSError as error:
            raise WriteFailed(f"rewriting the log failed: {error}") from None
        os.close(self.file)
        self.file = os.open(self.path, os.O_RDWR)
        self.size = os.lseek(self.file, 0, os.SEEK_END)

    def _create(self) -> None:
        os.ftruncate(self.file, 0)
        os.write(self.file, MAGIC)
        os.fsync(self.file)
        self.size = len(MAGIC)

    def close(self) -> None:
        os.close(self.file)
