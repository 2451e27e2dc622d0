"""Indexes of segments: one viewing or one span of time is found without reading the other segments. No I/O.

An index is made when a segment is complete. It has the span of time and the viewings of the segment's records. A segment without
an index (its front was killed) is read in full instead.
"""

from __future__ import annotations

from typing import Any

import msgspec

from curlewshift.capture.tap import BEGAN, DID, TOLD


class Index(msgspec.Struct):
    """`first` and `last` are times of calls in ns of the front's clock; they are 0 for a segment without calls."""

    records: int = 0
    first: int = 0
    last: int = 0
    viewings: list[int] = []


class Indexer:
    """Takes the records of one capture in their order. The viewing of a tune-in (an attempt to set up a session) or a server
    command is known from the act that sent it; later records name only its number."""

    def __init__(self):
        self.viewing_of_tune_in: dict[int, int] = {}
        self.viewing_of_command: dict[int, int] = {}
        self.reset()

    def reset(self) -> None:
        """Begins a new segment. Numbers of earlier segments stay known."""
        self.records, self.first, self.last = 0, 0, 0
        self.viewings: set[int] = set()

    def add(self, record: list[Any]) -> int | None:
        """Adds a record, and returns the viewing that it concerns, if any."""
        self.records += 1
        viewing = None
        if record[0] == TOLD:
            _, at, _, _, args, _ = record
            self.first, self.last = self.first or at, at
            for arg in args:
                if isinstance(arg, list) and len(arg) == 2 and isinstance(arg[1], int):
                    if arg[0] == "tunein":
                        viewing = self.viewing_of_tune_in.get(arg[1])
                    elif arg[0] == "errand":
                        viewing = self.viewing_of_command.get(arg[1])
        elif record[0] == DID and record[1] in ("tune_in", "withdraw", "tell"):
            number, viewing = record[2][0], record[2][1]
            (self.viewing_of_command if record[1] == "tell" else self.viewing_of_tune_in)[number] = viewing
        if viewing is not None:
            self.viewings.add(viewing)
        return viewing

    def to_index(self) -> Index:
        """The index of all records since `reset`."""
        return Index(self.records, self.first, self.last, sorted(self.viewings))


def in_words(record: list[Any], began: int) -> str:
    """One record as a line of text; `began` (ns) is the time from which times are shown."""
    if record[0] == BEGAN:
        return "the front started"
    if record[0] == TOLD:
        _, at, _, name, args, kwargs = record
        texts = [_abbreviated(arg) for arg in args] + [f"{key}={_abbreviated(value)}" for key, value in kwargs.items()]
        return f"{(at - began) / 1e9:10.3f} s  call {name}({', '.join(texts)})"
    if record[1] in ("tune_in", "withdraw"):
        _, viewing, server, number, rung, _ = record[2]
        return f"{'':12}    {record[1]} {number} of viewing {viewing} at {server}, rung {rung}"
    return f"{'':12}    {record[1]} {' '.join(str(value) for value in record[2])}"


def _abbreviated(value: Any) -> str:
    if isinstance(value, list) and len(value) == 2 and isinstance(value[0], str):
        return (
            f"{value[0]} {_abbreviated(value[1])}"
            if value[0] not in ("dict", "outcome", "result", "list")
            else _abbreviated(value[1])
        )
    text = str(value)
    return text if len(text) <= 60 else text[:57] + "..."
