"""What a front node is told at its start: NODE_CONFIG, read whole, or refused with one line that says what is wrong."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import isfinite
from pathlib import Path

from curlewshift.deployment import terms_of
from curlewshift.node.discovery import DRAINING, GONE, READY

STATES = {"active": READY, "leaving": DRAINING, "left": GONE}


# Numbers of the settings that are used, the least that makes sense, and whether they must be whole; `[]` is each of a list.
# Those that are absent, null or, where it would say nothing else, 0 have the meaning that docs/node.md gives.
NUMBERS = {
    "balancers": (0, True),
    "my_number": (0, True),
    "bounds.connect_timeout_ms": (0, False),
    "bounds.idle_close_ms": (0, False),
    "bounds.streams_per_conn": (0, True),
    "bounds.max_attempts": (0, True),
    "bounds.max_retry_after_ms": (0, False),
    "classes[].gain": (0, False),
    "classes[].goal_time_ms": (1, False),
    "classes[].give_up_ms": (1, False),
    "extra.cells": (0, True),
    "extra.cabinets": (0, True),
    "extra.rack_kb": (0, False),
    "extra.kb_per_weight": (0, False),
    "extra.rung_kb[]": (0.001, False),
    "extra.scale_by_class[]": (0.001, False),
    "extra.kind_streams[]": (0, False),
    "extra.floor_by_class[]": (0, True),
    "extra.top_by_class[]": (0, True),
    "extra.class_seats[]": (0, True),
    "extra.told_late_ms": (0, False),
    "extra.told_every_ms": (0, False),
    "obligations.warm_within_ms": (0, False),
    "obligations.start_capacity": (0, False),
    "obligations.fall_multiple": (0, False),
    "obligations.fall_ms": (0, False),
    "obligations.free_resends": (0, False),
    "obligations.budget_share": (0, False),
    "obligations.look_back_ms": (0, False),
}


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
        posting = Posting(
            str(told["name"]),
            address_of(told["listen"]),
            int(told["seed"], 16),
            int(told["limits"]["sockets"]),
            address_of(told["bulletin"]),
            int(known["no"]),
            list(known["items"]),
            told["settings"],
        )
        # what is wrong shows now and not when the first viewer comes
        if posting.descriptors < 1:
            raise Unreadable(f"'limits.sockets' is {posting.descriptors}, a number from 1 on is wanted")
        _check(posting.settings)
        if not terms_of(posting.settings, 0, 0).packages:
            raise Unreadable("its settings name no classes")
        for _, _, rows in events(posting):
            rows(lambda *row: None)
    except KeyError as wrong:
        raise Unreadable(f"lacks {wrong.args[0]!r}") from None
    except (TypeError, ValueError, AttributeError) as wrong:
        raise Unreadable(f"holds something of another kind than the page says: {wrong}") from None
    return posting


def _check(settings: dict) -> None:
    """Raises `Unreadable` with the name of the field that makes no sense."""
    for path, (least, whole) in NUMBERS.items():
        for name, value in _at(settings, path.split("."), ""):
            number = isinstance(value, (int, float)) and not isinstance(value, bool) and isfinite(value)
            if not number or value < least or (whole and value != int(value)):
                raise Unreadable(f"{name!r} is {value!r}, {'a whole number' if whole else 'a number'} from {least} on is wanted")
    for index, row in enumerate(settings.get("classes") or []):
        if not isinstance(row.get("name"), str) or not row["name"]:
            raise Unreadable(f"'classes[{index}].name' is {row.get('name')!r}, a name is wanted")
    names = [row["name"] for row in settings.get("classes") or []]
    if len(set(names)) < len(names):
        raise Unreadable("'classes' has a name twice")
    extra, count = settings.get("extra") or {}, settings.get("balancers") or 1
    if (settings.get("my_number") or 0) >= count:
        raise Unreadable(f"'my_number' is {settings['my_number']}, under {count} ('balancers') is wanted")
    ladder = extra.get("rung_kb") or [1.0]
    if list(ladder) != sorted(set(ladder)):
        raise Unreadable(f"'extra.rung_kb' is {ladder!r}, rates that rise are wanted")
    for key in ("floor_by_class", "top_by_class"):
        for index, rung in enumerate(extra.get(key) or []):
            if rung >= len(ladder):
                raise Unreadable(f"'extra.{key}[{index}]' is {rung!r}, 'extra.rung_kb' has {len(ladder)}")
    for index, (floor, top) in enumerate(zip(extra.get("floor_by_class") or [], extra.get("top_by_class") or [])):
        if floor > top:
            raise Unreadable(f"'extra.floor_by_class[{index}]' is {floor!r}, over 'extra.top_by_class[{index}]'")


def _at(owner: dict, path: list[str], before: str) -> Iterator[tuple[str, object]]:
    """Full name and value of each field that is there."""
    key = path[0].removesuffix("[]")
    value = owner.get(key)
    if value is None:
        return
    name = f"{before}{key}"
    for at, one in [(f"{name}[{index}]", one) for index, one in enumerate(value)] if path[0].endswith("[]") else [(name, value)]:
        if len(path) == 1:
            yield at, one
        elif not isinstance(one, dict):
            raise Unreadable(f"{at!r} is {one!r}, an object is wanted")
        else:
            yield from _at(one, path[1:], at + ".")


def address_of(text: str) -> tuple[str, int]:
    """Host and port of `10.0.0.4:5080`. Raises `ValueError`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host:
        raise ValueError(f"{text!r} is no address with a port")
    return host, int(port)


def events(posting: Posting) -> list[tuple[int, bool, Callable]]:
    """Number and fullness of each known event, and a function that calls its argument for each row, as
    `discovery.each_record` does."""
    zones, kinds = posting.settings.get("areas") or [], posting.settings.get("flavors") or []
    return [
        (int(item["no"]), bool(item["roster"]["full"]), lambda told, item=item: _rows(item, zones, kinds, told))
        for item in posting.known
    ]


def _rows(item: dict, zones: list, kinds: list, told: Callable) -> None:
    for row in item["roster"]["servers"]:
        told(
            row["id"],
            address_of(row["addr"]),
            STATES[row["state"]],
            zones.index(row["zone"]),
            kinds.index(row["kind"]),
            int(row["cell"]),
            float(row["weight"]),
            int(row.get("started_ms") or 0),
        )
