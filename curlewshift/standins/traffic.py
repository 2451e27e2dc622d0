"""What was seen on a stand-in's own sockets, one JSON line an event, on the clock that all processes share."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec


class Traffic:
    """`seen(ev, **facts)` adds a line with `at`, nanoseconds of the machine's monotonic clock."""

    def __init__(self, path: Path | None):
        # unbuffered: a process that is killed leaves whole lines behind
        self.file = open(path, "ab", buffering=0) if path else None
        self.encoder = msgspec.json.Encoder()

    def seen(self, ev: str, **facts) -> None:
        if self.file is not None:
            self.file.write(self.encoder.encode({"ev": ev, "at": time.monotonic_ns(), **facts}) + b"\n")

    def close(self) -> None:
        if self.file is not None:
            self.file.close()


def read_traffic(path: Path) -> list[dict]:
    decoder = msgspec.json.Decoder()
    with open(path, "rb") as lines:
        return [decoder.decode(line) for line in lines]
