"""One record in a file that is replaced atomically: a front's copy of the configuration, or a control machine's vote.

The first line has the SHA-256 digest of the rest, so that a record corrupted on disk is detected; it is renamed and kept for
inspection. Used by the front and by control machines.
"""

from __future__ import annotations

import contextlib
import os
from hashlib import sha256
from pathlib import Path

HEADER = b"curlewshift record 1 "


class RecordFile:
    """`damage` says why the record cannot be read; it is empty after a successful read and where there is no file."""

    def __init__(self, path: Path):
        self.path, self.damage = path, ""

    def read(self) -> bytes | None:
        self.damage = ""
        try:
            raw = self.path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            self.damage = f"{self.path.name} cannot be read: {error.strerror}"
            return None
        head, _, data = raw.partition(b"\n")
        if not self.digest_matches(head, data):
            self.damage = f"{self.path.name} is corrupt: its digest does not match its content"
            with contextlib.suppress(OSError):
                os.replace(self.path, self.path.with_name(self.path.name + ".damaged"))
            return None
        return data

    def digest_matches(self, head: bytes, data: bytes) -> bool:
        return head == HEADER + sha256(data).hexdigest().encode()

    def write(self, data: bytes) -> None:
        """Replaces the record. It survives a crash of the process when this returns, and of the machine once `flush` has
        returned. Raises `OSError`; the previous record is then still there."""
        self._replace(data, durable=False)

    def write_durable(self, data: bytes) -> None:
        """Replaces the record. It survives a crash of the machine when this returns. Raises `OSError`."""
        self._replace(data, durable=True)
        self._flush_folder()

    def _replace(self, data: bytes, durable: bool) -> None:
        temporary = self.path.with_name(self.path.name + ".new")
        with open(temporary, "wb") as file:
            file.write(HEADER + sha256(data).hexdigest().encode() + b"\n" + data)
            if durable:
                file.flush()
                os.fsync(file.fileno())
        os.replace(temporary, self.path)

    def flush(self) -> None:
        """Flushes the file of the last `write` and its directory entry. Blocks until the disk is done: call it from a thread."""
        with open(self.path, "rb") as file:
            os.fsync(file.fileno())
        self._flush_folder()

    def _flush_folder(self) -> None:
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
