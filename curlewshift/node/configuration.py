"""What a front node is told at its start: NODE_CONFIG, read whole, or refused with one line that says what is wrong."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Callable

from curlewshift.deployment import terms_of
from curlewshift.node.bulletin import DRAINING, GONE, READY

STATES = {"active": READY, "leaving": DRAINING, "left": GONE}


class Unreadable(Exception):
    """Why the configuration cannot be used."""


@dataclass(slots=True)
class Posting:
    """Where this node serves, and what it is told of the place. Addresses are host and port."""

    name: str
    listen: tuple[str, int]
    seed: int
    descriptors: int
    bulletin: tuple[str, int]
    last: int
    known: list[dict]
    settings: dict


def read(path: Path | str) -> Posting:
    """Raises `Unreadable`."""
    try:
        told = json.loads(Path(path).read_bytes())
    except OSError as wrong:
        raise Unreadable(f"cannot be read: {wrong.strerror}") from None
    except ValueError as wrong:
        raise Unreadable(f"is not JSON: {wrong}") from None
    try:
        known = told["known"]
        posting = Posting(str(told["name"]), address_of(told["listen"]), int(told["seed"], 16),
                          int(told["limits"]["sockets"]), address_of(told["bulletin"]), int(known["no"]),
                          list(known["items"]), told["settings"])
        # what is wrong shows now and not when the first viewer comes
        if not terms_of(posting.settings, 0, 0).packages:
            raise Unreadable("its settings name no classes")
        for _, _, rows in events(posting):
            rows(lambda *row: None)
    except KeyError as wrong:
        raise Unreadable(f"lacks {wrong.args[0]!r}") from None
    except (TypeError, ValueError, AttributeError) as wrong:
        raise Unreadable(f"holds something of another kind than the page says: {wrong}") from None
    return posting


def address_of(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host:
        raise ValueError(f"{text!r} is no address with a port")
    return host, int(port)


def events(posting: Posting) -> list[tuple[int, bool, Callable]]:
    """Number and fullness of each known event, and a function that calls its argument for each row, as
    `bulletin.each_record` does."""
    zones, kinds = posting.settings.get("areas") or [], posting.settings.get("flavors") or []
    return [(int(item["no"]), bool(item["roster"]["full"]), lambda told, item=item: _rows(item, zones, kinds, told))
            for item in posting.known]


def _rows(item: dict, zones: list, kinds: list, told: Callable) -> None:
    for row in item["roster"]["servers"]:
        told(row["id"], address_of(row["addr"]), STATES[row["state"]], zones.index(row["zone"]), kinds.index(row["kind"]),
             int(row["cell"]), float(row["weight"]), int(row.get("started_ms") or 0))
