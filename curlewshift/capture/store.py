"""A capture on disk: written by a thread, in segments, within a budget. Answers never wait for it.

Each life of a front has a folder of its own in the one it was told; a segment that is whole is packed (Zstandard, RFC
8878) and indexed.

What cannot be kept, as the disk is full or slower than the front, ends the capture with a word in the log: a stream with
a hole could not be replayed, and the front goes on without.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import zstandard

from curlewshift.capture.index import Index, Indexer
from curlewshift.capture.records import MAGIC, InvalidCapture, Reading, frame
from curlewshift.capture.retention import Kept, to_let_go
from curlewshift.state.background_writer import BackgroundWriter

SEGMENT = 4 * 1024 * 1024
BUDGET = 256 * 1024 * 1024
# Bytes that may wait for the disk.
MOST_WAITING = 16 * 1024 * 1024
# Packing a segment rests so long (s) after so many records.
REST, SLICE = 0.002, 100
LEVEL, PACKED = 3, ".zst"
# What comes within this (s) is written together.
TOGETHER = 0.02


class CaptureWriter:
    """`ended(why)` is called once, from the writer's thread or the noting one, if the capture ends before `close`."""

    def __init__(
        self, folder: Path, ended: Callable[[str], None], budget: int = BUDGET, segment: int = SEGMENT, together: float = TOGETHER
    ):
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self.ended, self.budget, self.segment = folder, ended, budget, segment
        self.indexer = Indexer()
        self.held = self.written = self.number = 0
        self.over = ""
        self.file = None
        self.behind = BackgroundWriter(self._write, together)

    def note(self, record: list) -> None:
        """Never blocks on the disk."""
        if self.over:
            return
        raw = frame(record)
        with self.behind.wake:
            if self.held + len(raw) > MOST_WAITING:
                self._end("the disk is slower than what is to be kept")
                return
            self.held += len(raw)
            self.behind.put(raw)

    def stop(self, why: str) -> None:
        """Nothing is written from here on: what follows could not be played again."""
        self._end(why)

    def close(self) -> None:
        """What was noted is on the disk when this returns."""
        self.behind.close()
        if self.file is not None:
            self.file.close()
            self._shut(Path(self.file.name), 0.0)

    def _write(self, records: list[bytes]) -> None:
        raw = b"".join(records)
        with self.behind.wake:
            self.held -= len(raw)
        if not self.over:
            self._out(raw)

    def _out(self, raw: bytes) -> None:
        try:
            if self.written + len(raw) > self.budget:
                self._end(f"its budget of {self.budget} bytes is used up")
                return
            if self.file is None or self.file.tell() > self.segment:
                if self.file is not None:
                    self.file.close()
                    self._shut(Path(self.file.name), REST)
                # with the first segment too: lives that never filled one were kept for ever
                let_go(self.folder.parent, self.folder.name)
                self.number += 1
                self.file = open(self.folder / f"{self.number:06}.capture", "wb", buffering=0)
                self.file.write(MAGIC)
            self.file.write(raw)
            self.written += len(raw)
        except OSError as wrong:
            self._end(f"it cannot be written: {wrong.strerror}")

    def _shut(self, segment: Path, rest: float) -> None:
        """A whole segment is indexed and compressed, in small slices: the front decides on the same processor."""
        try:
            self.indexer.begin()
            raw, beside = segment.read_bytes(), segment.with_suffix(".new")
            for number, record in enumerate(Reading(raw, segment.name)):
                self.indexer.add(record)
                if rest and number % SLICE == SLICE - 1:
                    time.sleep(rest)
            # this gives the processor free by itself
            beside.write_bytes(zstandard.ZstdCompressor(level=LEVEL).compress(raw))
            segment.with_suffix(".index").write_bytes(msgspec.json.encode(self.indexer.whole()))
            os.replace(beside, segment.with_suffix(PACKED))
            segment.unlink()
        except OSError as wrong:
            # it stays as it is, which can be read as well
            self._end(f"a segment cannot be packed: {wrong.strerror}")

    def _end(self, why: str) -> None:
        if not self.over:
            self.over = why
            self.ended(why)


def let_go(folder: Path, writing: str) -> list[str]:
    """Removes captures of earlier lives that are too old or too much; those that cannot be removed stay."""
    lives = []
    for life in folder.iterdir() if folder.is_dir() else ():
        files = [file.stat() for file in ours(life)] if life.is_dir() and segments_of(life) else []
        if files:
            lives.append(Kept(life.name, max(file.st_mtime_ns for file in files), sum(file.st_size for file in files)))
    gone = to_let_go(lives, writing, time.time_ns())
    for name in gone:
        for file in ours(folder / name):
            file.unlink(missing_ok=True)
        try:
            (folder / name).rmdir()
        except OSError:
            continue
    return gone


def ours(life: Path) -> list[Path]:
    """What a capture is made of; anything else in its folder is somebody's own."""
    return [file for file in life.iterdir() if file.suffix in (".capture", PACKED, ".index", ".new")]


def segments_of(folder: Path) -> list[Path]:
    """In their order; where a kill left one both packed and not, the packed one is whole."""
    packed = {segment.stem: segment for segment in folder.glob("*" + PACKED)}
    plain = {segment.stem: segment for segment in folder.glob("*.capture")}
    return [{**plain, **packed}[stem] for stem in sorted({*plain, *packed})]


def life_in(folder: Path) -> Path:
    """The capture to read: the folder itself, or that of the newest life in it. Raises `FileNotFoundError`."""
    if not folder.is_dir() or segments_of(folder):
        return folder
    lives = sorted(life for life in folder.iterdir() if life.is_dir() and segments_of(life))
    if not lives:
        raise FileNotFoundError(f"there is no capture in {folder}")
    return lives[-1]


def read_segment(segment: Path) -> Reading:
    """Raises `OSError`, `InvalidCapture`."""
    raw = segment.read_bytes()
    if segment.suffix == PACKED:
        try:
            raw = zstandard.ZstdDecompressor().decompressobj().decompress(raw)
        except zstandard.ZstdError as wrong:
            raise InvalidCapture(f"{segment.name} cannot be unpacked: {wrong}") from None
    return Reading(raw, segment.name)


def read_capture(folder: Path) -> tuple[list[list], str]:
    """All records in order, and what ended them early, empty if nothing did. Raises `OSError`, `InvalidCapture`."""
    folder = life_in(folder)
    records: list[list] = []
    for segment in segments_of(folder) if folder.is_dir() else [folder]:
        reading = read_segment(segment)
        records += reading
        if reading.damage:
            return records, reading.damage
    return records, ""


def index_of(segment: Path, indexer: Indexer) -> Index:
    """As it was kept, or made now. Raises `OSError`, `InvalidCapture`."""
    kept = segment.with_suffix(".index")
    if kept.exists():
        try:
            return msgspec.json.decode(kept.read_bytes(), type=Index)
        except msgspec.DecodeError:
            # an index is nothing that cannot be made again
            pass
    indexer.begin()
    for record in read_segment(segment):
        indexer.add(record)
    return indexer.whole()
