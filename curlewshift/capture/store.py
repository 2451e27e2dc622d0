"""A capture on disk: written by a thread, in segments, within a budget. Answers never wait for it.

What cannot be kept, as the disk is full or slower than the front, ends the capture with a word in the log: a stream with
a hole could not be replayed, and the front goes on without.
"""

from __future__ import annotations

import threading
from collections import deque
from pathlib import Path
from typing import Callable

from curlewshift.capture.records import MAGIC, Reading, frame

SEGMENT = 8 * 1024 * 1024
BUDGET = 256 * 1024 * 1024
# Bytes that may wait for the disk.
MOST_WAITING = 16 * 1024 * 1024


class CaptureWriter:
    """`ended(why)` is called once, from the writer's thread or the noting one, if the capture ends before `close`."""

    def __init__(self, folder: Path, ended: Callable[[str], None], budget: int = BUDGET, segment: int = SEGMENT):
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self.ended, self.budget, self.segment = folder, ended, budget, segment
        for old in folder.glob("*.capture"):
            old.unlink()
        self.waiting: deque[bytes] = deque()
        self.held = self.written = self.number = 0
        self.over = ""
        self.file = None
        self.wake = threading.Condition()
        self.closing = False
        self.thread = threading.Thread(target=self._write, daemon=True)
        self.thread.start()

    def note(self, record: list) -> None:
        """Never blocks on the disk."""
        if self.over:
            return
        raw = frame(record)
        with self.wake:
            if self.held + len(raw) > MOST_WAITING:
                self._end("the disk is slower than what is to be kept")
                return
            self.waiting.append(raw)
            self.held += len(raw)
            self.wake.notify()

    def close(self) -> None:
        """What was noted is on the disk when this returns."""
        with self.wake:
            self.closing = True
            self.wake.notify()
        self.thread.join()

    def _write(self) -> None:
        while True:
            with self.wake:
                while not self.waiting and not self.closing:
                    self.wake.wait()
                raw = b"".join(self.waiting)
                self.waiting.clear()
                self.held = 0
            if raw and not self.over:
                self._out(raw)
            if self.closing and not self.waiting:
                if self.file is not None:
                    self.file.close()
                return

    def _out(self, raw: bytes) -> None:
        try:
            if self.written + len(raw) > self.budget:
                self._end(f"its budget of {self.budget} bytes is used up")
                return
            if self.file is None or self.file.tell() > self.segment:
                if self.file is not None:
                    self.file.close()
                self.number += 1
                self.file = open(self.folder / f"{self.number:06}.capture", "wb", buffering=0)
                self.file.write(MAGIC)
            self.file.write(raw)
            self.written += len(raw)
        except OSError as wrong:
            self._end(f"it cannot be written: {wrong.strerror}")

    def _end(self, why: str) -> None:
        if not self.over:
            self.over = why
            self.ended(why)


def read_capture(folder: Path) -> tuple[list[list], str]:
    """All records in order, and what ended them early, empty if nothing did. Raises `OSError`, `NotALog`."""
    segments = sorted(folder.glob("*.capture")) if folder.is_dir() else [folder]
    if not segments:
        raise FileNotFoundError(f"there is no capture in {folder}")
    records: list[list] = []
    for segment in segments:
        reading = Reading(segment.read_bytes(), segment.name)
        records += reading
        if reading.damage:
            return records, reading.damage
    return records, ""
