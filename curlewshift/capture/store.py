"""A capture on disk: written by a thread, in segments, within a budget of bytes. Answers to clients never wait for it.

Each life of a front (one run of the process) has a folder of its own in the configured one. A complete segment is compressed
(Zstandard, RFC 8878) and indexed.

If a record cannot be stored, because the disk is full or slower than the front, the capture ends with a message in the log and
the front continues without it: a capture with a gap could not be replayed.
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
from curlewshift.capture.retention import StoredCapture, captures_to_remove
from curlewshift.state.background_writer import BackgroundWriter

SEGMENT_BYTES = 4 * 1024 * 1024
BUDGET_BYTES = 256 * 1024 * 1024
# Bytes that may wait for the disk.
MAX_WAITING_BYTES = 16 * 1024 * 1024
# Indexing a segment pauses for this time after each slice of this number of records.
INDEX_PAUSE_S, INDEX_SLICE = 0.002, 100
COMPRESSION_LEVEL, PACKED_SUFFIX = 3, ".zst"
# Records that come within this time are written together.
BATCH_S = 0.02


class CaptureWriter:
    """Writes the capture of one life. If it ends before `close`, `ended(reason)` is called once, from the writer's thread or the
    one that calls `note` or `stop`. `budget` and `segment` are in bytes, `together` in seconds."""

    def __init__(
        self,
        folder: Path,
        ended: Callable[[str], None],
        budget: int = BUDGET_BYTES,
        segment: int = SEGMENT_BYTES,
        together: float = BATCH_S,
    ):
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self.ended, self.budget, self.segment = folder, ended, budget, segment
        self.indexer = Indexer()
        self.waiting_bytes = self.written = self.number = 0
        self.end_reason = ""
        self.file = None
        self.background = BackgroundWriter(self._write, together)

    def note(self, record: list) -> None:
        """Stores a record. Never blocks on the disk."""
        if self.end_reason:
            return
        raw = frame(record)
        with self.background.wake:
            if self.waiting_bytes + len(raw) > MAX_WAITING_BYTES:
                self._end("the disk is slower than the capture")
                return
            self.waiting_bytes += len(raw)
            self.background.put(raw)

    def stop(self, reason: str) -> None:
        """Ends the capture: nothing is written from here on, as what follows could not be replayed."""
        self._end(reason)

    def close(self) -> None:
        """Returns when all records are written to the file."""
        self.background.close()
        if self.file is not None:
            self.file.close()
            self._pack(Path(self.file.name), 0.0)

    def _write(self, records: list[bytes]) -> None:
        raw = b"".join(records)
        with self.background.wake:
            self.waiting_bytes -= len(raw)
        if not self.end_reason:
            self._append(raw)

    def _append(self, raw: bytes) -> None:
        try:
            if self.written + len(raw) > self.budget:
                self._end(f"its budget of {self.budget} bytes is used up")
                return
            if self.file is None or self.file.tell() > self.segment:
                if self.file is not None:
                    self.file.close()
                    self._pack(Path(self.file.name), INDEX_PAUSE_S)
                # with each new segment, the first included: a life that never fills one must remove old captures too
                remove_old_captures(self.folder.parent, self.folder.name)
                self.number += 1
                self.file = open(self.folder / f"{self.number:06}.capture", "wb", buffering=0)
                self.file.write(MAGIC)
            self.file.write(raw)
            self.written += len(raw)
        except OSError as error:
            self._end(f"it cannot be written: {error.strerror}")

    def _pack(self, segment: Path, pause: float) -> None:
        """Indexes and compresses a complete segment. Indexing pauses (s) between small slices, as the front's decisions share
        the processor."""
        try:
            self.indexer.reset()
            raw, packed = segment.read_bytes(), segment.with_suffix(".new")
            for number, record in enumerate(Reading(raw, segment.name)):
                self.indexer.add(record)
                if pause and number % INDEX_SLICE == INDEX_SLICE - 1:
                    time.sleep(pause)
            # compression releases the interpreter lock, and needs no pauses
            packed.write_bytes(zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(raw))
            segment.with_suffix(".index").write_bytes(msgspec.json.encode(self.indexer.to_index()))
            os.replace(packed, segment.with_suffix(PACKED_SUFFIX))
            segment.unlink()
        except OSError as error:
            # the segment stays uncompressed, and can be read so
            self._end(f"a segment cannot be packed: {error.strerror}")

    def _end(self, reason: str) -> None:
        if not self.end_reason:
            self.end_reason = reason
            self.ended(reason)


def remove_old_captures(folder: Path, writing: str) -> list[str]:
    """Removes captures of earlier lives that are too old or too large, except that of `writing`. Returns their names. Foreign
    files stay, and then so does their folder."""
    lives = []
    for life in folder.iterdir() if folder.is_dir() else ():
        files = [file.stat() for file in capture_files(life)] if life.is_dir() and segments_of(life) else []
        if files:
            lives.append(StoredCapture(life.name, max(file.st_mtime_ns for file in files), sum(file.st_size for file in files)))
    removed = captures_to_remove(lives, writing, time.time_ns())
    for name in removed:
        for file in capture_files(folder / name):
            file.unlink(missing_ok=True)
        try:
            (folder / name).rmdir()
        except OSError:
            continue
    return removed


def capture_files(life: Path) -> list[Path]:
    """The files of a capture; other files in its folder are not the program's."""
    return [file for file in life.iterdir() if file.suffix in (".capture", PACKED_SUFFIX, ".index", ".new")]


def segments_of(folder: Path) -> list[Path]:
    """The segments in their order. Where a kill left one both compressed and not, the compressed one is taken: it is complete."""
    packed = {segment.stem: segment for segment in folder.glob("*" + PACKED_SUFFIX)}
    plain = {segment.stem: segment for segment in folder.glob("*.capture")}
    return [{**plain, **packed}[stem] for stem in sorted({*plain, *packed})]


def life_in(folder: Path) -> Path:
    """The folder of the capture to read: the given one, or that of the newest life in it. Raises `FileNotFoundError`."""
    if not folder.is_dir() or segments_of(folder):
        return folder
    lives = sorted(life for life in folder.iterdir() if life.is_dir() and segments_of(life))
    if not lives:
        raise FileNotFoundError(f"there is no capture in {folder}")
    return lives[-1]


def read_segment(segment: Path) -> Reading:
    """The reader of a segment, which is decompressed first if need be. Raises `OSError`, `InvalidCapture`."""
    raw = segment.read_bytes()
    if segment.suffix == PACKED_SUFFIX:
        try:
            raw = zstandard.ZstdDecompressor().decompressobj().decompress(raw)
        except zstandard.ZstdError as error:
            raise InvalidCapture(f"{segment.name} cannot be decompressed: {error}") from None
    return Reading(raw, segment.name)


def read_capture(folder: Path) -> tuple[list[list], str]:
    """All records in order, and why they end early (empty if they do not). Raises `OSError`, `InvalidCapture`."""
    folder = life_in(folder)
    records: list[list] = []
    for segment in segments_of(folder) if folder.is_dir() else [folder]:
        reading = read_segment(segment)
        records += reading
        if reading.damage:
            return records, reading.damage
    return records, ""


def index_of(segment: Path, indexer: Indexer) -> Index:
    """The stored index of a segment, or one made from its records. Raises `OSError`, `InvalidCapture`."""
    stored = segment.with_suffix(".index")
    if stored.exists():
        try:
            return msgspec.json.decode(stored.read_bytes(), type=Index)
        except msgspec.DecodeError:
            # a damaged index is made again from the records
            pass
    indexer.reset()
    for record in read_segment(segment):
        indexer.add(record)
    return indexer.to_index()
