"""One record on the disk, whole or not at all: a front's copy of the configuration, a control machine's vote.

A line with the SHA-256 of what follows comes first, so that a record that the disk has spoilt is told from one that was written;
it is put aside for a person to look at. Called by the front and by control machines.
"""

from __future__ import annotations

import contextlib
import os
from hashlib import sha256
from pathlib import Path

FORM = b"curlewshift record 1 "


class Record:
    """`damage` says why there is nothing to be read, empty where there is no file."""

    def __init__(self, path: Path):
        self.path, self.damage = path, ""

    def read(self) -> bytes | None:
        self.damage = ""
        try:
            raw = self.path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as wrong:
            self.damage = f"{self.path.name} cannot be read: {wrong.strerror}"
            return None
        head, _, data = raw.partition(b"\n")
        if not self.holds(head, data):
            self.damage = f"{self.path.name} is spoilt: its digest does not fit what is in it"
            with contextlib.suppress(OSError):
                os.replace(self.path, self.path.with_name(self.path.name + ".damaged"))
            return None
        return data

    def holds(self, head: bytes, data: bytes) -> bool:
        return head == FORM + sha256(data).hexdigest().encode()

    def write(self, data: bytes) -> None:
        """Outlives the process when this returns, and the machine too once `flush` has. Raises `OSError`; what was there before
        is then still there."""
        self._replace(data, durable=False)

    def write_durable(self, data: bytes) -> None:
        """Outlives the machine when this returns. Raises `OSError`."""
        self._replace(data, durable=True)
        self._flush_folder()

    def _replace(self, data: bytes, durable: bool) -> None:
        beside = self.path.with_name(self.path.name + ".new")
        with open(beside, "wb") as file:
            file.write(FORM + sha256(data).hexdigest().encode() + b"\n" + data)
            if durable:
                file.flush()
                os.fsync(file.fileno())
        os.replace(beside, self.path)

    def flush(self) -> None:
        """What `write` wrote last, and its name. May take as long as the disk does: call it from a thread."""
        with open(self.path, "rb") as file:
            os.fsync(file.fileno())
        self._flush_folder()

    def _flush_folder(self) -> None:
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
