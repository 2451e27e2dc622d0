"""Reads and validates the configuration file of a front node, which NODE_CONFIG names.

A file that cannot be used is refused as a whole, with one line that names the faulty field.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import isfinite
from pathlib import Path

from curlewshift.deployment import terms_of
from curlewshift.node.discovery import DRAINING, GONE, READY

STATES = {"active": READY, "leaving": DRAINING, "left": GONE}


# Numeric settings by path: the minimum, and whether the value must be an integer. `[]` stands for each element of a list.
# Absent fields, null and, where 0 has no meaning of its own, 0 have the defaults that docs/node.md gives.
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


class InvalidConfiguration(Exception):
    """The configuration cannot be used; the message says why, as a predicate of the file's path."""


@dataclass(slots=True)
class NodeConfiguration:
    """The configuration of one node. Addresses are host and port.

    `descriptors` is the limit on open file descriptors, `last_event` the number of the newest event in
    `known_events`, the events of the server list that the configuration contains.
    """

    name: str
    listen: tuple[str, int]
    seed: int
    descriptors: int
    discovery_address: tuple[str, int]
    last_event: int
    known_events: list[dict]
    settings: dict


def read(path: Path | str) -> NodeConfiguration:
    """Raises `InvalidConfiguration`."""
    try:
        document = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise InvalidConfiguration(f"cannot be read: {error.strerror}") from None
    except ValueError as error:
        raise InvalidConfiguration(f"is not JSON: {error}") from None
    try:
        known = document["known"]
        config = NodeConfiguration(
            str(document["name"]),
            address_of(document["listen"]),
            int(document["seed"], 16),
            int(document["limits"]["sockets"]),
            address_of(document["bulletin"]),
            int(known["no"]),
            list(known["items"]),
            document["settings"],
        )
        # errors are found now and not when the first viewer connects
        if config.descriptors < 1:
            raise InvalidConfiguration(f"'limits.sockets' is {config.descriptors}, must be at least 1")
        _check(config.settings)
        if not terms_of(config.settings, 0, 0).packages:
            raise InvalidConfiguration("has no classes in its settings")
        for _, _, rows in events(config):
            rows(lambda *row: None)
    except KeyError as error:
        raise InvalidConfiguration(f"lacks {error.args[0]!r}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise InvalidConfiguration(f"has a value of the wrong type: {error}") from None
    return config


def _check(settings: dict) -> None:
    """Raises `InvalidConfiguration` with the name of the first invalid field."""
    for path, (minimum, integer) in NUMBERS.items():
        for name, value in _fields_at(settings, path.split("."), ""):
            number = isinstance(value, (int, float)) and not isinstance(value, bool) and isfinite(value)
            if not number or value < minimum or (integer and value != int(value)):
                raise InvalidConfiguration(
                    f"{name!r} is {value!r}, must be {'an integer' if integer else 'a number'} of at least {minimum}"
                )
    for index, row in enumerate(settings.get("classes") or []):
        if not isinstance(row.get("name"), str) or not row["name"]:
            raise InvalidConfiguration(f"'classes[{index}].name' is {row.get('name')!r}, must be a non-empty string")
    names = [row["name"] for row in settings.get("classes") or []]
    if len(set(names)) < len(names):
        raise InvalidConfiguration("'classes' has duplicate names")
    extra, count = settings.get("extra") or {}, settings.get("balancers") or 1
    if (settings.get("my_number") or 0) >= count:
        raise InvalidConfiguration(f"'my_number' is {settings['my_number']}, must be less than {count} ('balancers')")
    ladder = extra.get("rung_kb") or [1.0]
    if list(ladder) != sorted(set(ladder)):
        raise InvalidConfiguration(f"'extra.rung_kb' is {ladder!r}, must be strictly increasing")
    for key in ("floor_by_class", "top_by_class"):
        for index, rung in enumerate(extra.get(key) or []):
            if rung >= len(ladder):
                raise InvalidConfiguration(
                    f"'extra.{key}[{index}]' is {rung!r}, must be less than {len(ladder)}, the length of 'extra.rung_kb'"
                )
    for index, (floor, top) in enumerate(zip(extra.get("floor_by_class") or [], extra.get("top_by_class") or [])):
        if floor > top:
            raise InvalidConfiguration(
                f"'extra.floor_by_class[{index}]' is {floor!r}, must not exceed 'extra.top_by_class[{index}]'"
            )


def _fields_at(owner: dict, path: list[str], prefix: str) -> Iterator[tuple[str, object]]:
    """Yields the full name and the value of each field at this path that is present."""
    key = path[0].removesuffix("[]")
    value = owner.get(key)
    if value is None:
        return
    name = f"{prefix}{key}"
    for element_name, element in (
        [(f"{name}[{index}]", element) for index, element in enumerate(value)] if path[0].endswith("[]") else [(name, value)]
    ):
        if len(path) == 1:
            yield element_name, element
        elif not isinstance(element, dict):
            raise InvalidConfiguration(f"{element_name!r} is {element!r}, must be an object")
        else:
            yield from _fields_at(element, path[1:], element_name + ".")


def address_of(text: str) -> tuple[str, int]:
    """Host and port of `10.0.0.4:5080`. Raises `ValueError`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host:
        raise ValueError(f"{text!r} is not an address with a port")
    return host, int(port)


def events(config: NodeConfiguration) -> list[tuple[int, bool, Callable]]:
    """Returns, for each known event of the server list, its number, whether it is a full list, and a function that calls its
    argument for each server, with the same arguments as `discovery.each_record`."""
    zones, kinds = config.settings.get("areas") or [], config.settings.get("flavors") or []
    return [
        (int(item["no"]), bool(item["roster"]["full"]), lambda on_record, item=item: _rows(item, zones, kinds, on_record))
        for item in config.known_events
    ]


def _rows(item: dict, zones: list, kinds: list, on_record: Callable) -> None:
    for row in item["roster"]["servers"]:
        on_record(
            row["id"],
            address_of(row["addr"]),
            STATES[row["state"]],
            zones.index(row["zone"]),
            kinds.index(row["kind"]),
            int(row["cell"]),
            float(row["weight"]),
            int(row.get("started_ms") or 0),
        )
