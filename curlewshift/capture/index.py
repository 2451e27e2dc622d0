"""What is in a segment, so that one viewing or one span is found without reading all the others. No I/O.

An index is made once a segment is whole, and says from when to when it goes and which viewings it tells of. A segment
without one (a front that was killed) is simply read.
"""

from __future__ import annotations

from typing import Any

import msgspec

from curlewshift.capture.tap import BEGAN, DID, TOLD


class Index(msgspec.Struct):
    """Times are ns of the front's clock; `first` is 0 for a segment in which nothing was told."""

    records: int = 0
    first: int = 0
    last: int = 0
    viewings: list[int] = []


class Indexer:
    """Records of one capture in their order. Tune-ins, errands and endings are known by number once they were sent."""

    def __init__(self):
        self.of_tune_in: dict[int, int] = {}
        self.of_command: dict[int, int] = {}
        self.begin()

    def begin(self) -> None:
        self.records, self.first, self.last = 0, 0, 0
        self.viewings: set[int] = set()

    def add(self, record: list[Any]) -> int | None:
        """The viewing that the record tells of, if it tells of one."""
        self.records += 1
        viewing = None
        if record[0] == TOLD:
            _, at, _, _, args, _ = record
            self.first, self.last = self.first or at, at
            for arg in args:
                if isinstance(arg, list) and len(arg) == 2 and isinstance(arg[1], int):
                    if arg[0] == "tunein":
                        viewing = self.of_tune_in.get(arg[1])
                    elif arg[0] == "errand":
                        viewing = self.of_command.get(arg[1])
        elif record[0] == DID and record[1] in ("tune_in", "withdraw", "tell"):
            number, viewing = record[2][0], record[2][1]
            (self.of_command if record[1] == "tell" else self.of_tune_in)[number] = viewing
        if viewing is not None:
            self.viewings.add(viewing)
        return viewing

    def whole(self) -> Index:
        """Of all records since `begin`."""
        return Index(self.records, self.first, self.last, sorted(self.viewings))


def in_words(record: list[Any], began: int) -> str:
    """One record as a person reads it."""
    if record[0] == BEGAN:
        return "the front began"
    if record[0] == TOLD:
        _, at, _, name, args, how = record
        said = [_short(arg) for arg in args] + [f"{key}={_short(value)}" for key, value in how.items()]
        return f"{(at - began) / 1e9:10.3f} s  told {name}({', '.join(said)})"
    if record[1] in ("tune_in", "withdraw"):
        _, viewing, server, number, rung, _ = record[2]
        return f"{'':12}    {record[1]} {number} of viewing {viewing} at {server}, rung {rung}"
    return f"{'':12}    {record[1]} {' '.join(str(one) for one in record[2])}"


def _short(value: Any) -> str:
    if isinstance(value, list) and len(value) == 2 and isinstance(value[0], str):
        return f"{value[0]} {_short(value[1])}" if value[0] not in ("dict", "outcome", "result", "list") else _short(value[1])
    text = str(value)
    return text if len(text) <= 60 else text[:57] + "..."
