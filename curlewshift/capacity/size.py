"""A size that the design has to bear: the users' numbers, and what is assumed beside them. `commands/capacity.py` reads one.

The file's form is `size.xsd`; what no schema sees is told here, with its line.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

from lxml import etree

SCHEMA = Path(__file__).parent / "size.xsd"
SECONDS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES = {"kB/s": 1000.0, "MB/s": 1e6, "kbit/s": 125.0, "Mbit/s": 125_000.0}
ASSUMED = (
    "servers",
    "servers-played-on",
    "viewings-a-connection",
    "cores-a-node",
    "memory-a-node-GB",
    "nodes-a-rack",
    "configuration-kB",
    "come-again-within-s",
    "lease-word-bytes",
    "round-word-bytes",
    "level-word-bytes",
)
DAY = 86_400.0


@dataclass(frozen=True)
class Size:
    """Times in seconds, memory in MB, rates in bytes a second; `assumed` has (value, why) by name."""

    name: str
    nodes: int
    connections: int
    regions: int
    zones: int
    shards: int
    largest: int
    deliveries: float
    p99: float
    changes_a_day: int
    in_force_within: float
    control_core: float
    control_memory: float
    control_bytes: float
    control_machines: int
    machines_a_day: float
    restarts_a_day: float
    rack_each_days: float
    zone_each_days: float
    regions_apart: float
    assumed: dict[str, tuple[float, str]]

    def guess(self, name: str) -> float:
        return self.assumed[name][0]

    @property
    def connections_a_node(self) -> float:
        return self.connections / self.nodes

    @property
    def viewings_a_node(self) -> float:
        return self.connections_a_node * self.guess("viewings-a-connection")

    @property
    def deliveries_a_node(self) -> float:
        return self.deliveries / self.nodes

    @property
    def nodes_a_zone(self) -> float:
        return self.nodes / self.zones

    @property
    def nodes_a_region(self) -> float:
        return self.nodes / self.regions


def size_of(root: etree._Element, wrong: list[tuple[int, str]]) -> Size:
    """The size in a file that fits the schema. (line, words) of what cannot be goes into `wrong`; then what is returned is
    not to be used."""
    fleet, topics, deliveries, configuration, control, failures = root[:6]
    assumed = {one.get("name"): (float(one.get("value")), one.get("why")) for one in root.iterfind("assume")}
    for name in ASSUMED:
        if name not in assumed:
            wrong.append((root.sourceline, f"size: the assumption {name} is missing"))
    size = Size(
        root.get("name"),
        int(fleet.get("nodes")),
        int(fleet.get("connections")),
        int(fleet.get("regions")),
        int(fleet.get("zones")),
        int(topics.get("shards")),
        int(topics.get("largest-listeners")),
        float(deliveries.get("a-second")),
        _seconds(deliveries.get("p99")),
        int(configuration.get("changes-a-day")),
        _seconds(configuration.get("in-force-within")),
        float(control.get("core")),
        float(control.get("memory-MB")),
        _bytes(control.get("bytes")),
        int(control.get("machines")),
        float(failures.get("machines-a-day")),
        float(failures.get("restarts-a-day")),
        float(failures.get("rack-each-days")),
        float(failures.get("zone-each-days")),
        _seconds(failures.get("regions-apart")),
        assumed,
    )
    for element, holds, words in (
        (fleet, size.zones >= size.regions, f"fleet: {size.zones} zones cannot make {size.regions} regions"),
        (fleet, size.nodes >= size.zones, f"fleet: {size.nodes} nodes cannot fill {size.zones} zones"),
        (
            topics,
            size.largest <= size.connections * assumed.get("viewings-a-connection", (1, ""))[0],
            f"topics: {size.largest} listeners are more than all viewings",
        ),
        (control, size.control_core > 0, "control: core should be above 0"),
    ):
        if not holds:
            wrong.append((element.sourceline, words))
    for name, most, words in (
        ("servers-played-on", assumed.get("servers", (0, ""))[0], "a node cannot play on more servers than there are"),
        ("nodes-a-rack", size.nodes_a_zone, "a rack cannot hold more than a zone"),
    ):
        if assumed.get(name, (0, ""))[0] > most:
            wrong.append((next(one.sourceline for one in root.iterfind("assume") if one.get("name") == name), f"assume: {words}"))
    return size


def _seconds(text: str) -> float:
    number, unit = re.fullmatch(r"([0-9.]+)([a-z]+)", text).groups()
    return float(number) * SECONDS[unit]


def _bytes(text: str) -> float:
    number, unit = re.fullmatch(r"([0-9.]+)(.+)", text).groups()
    return float(number) * BYTES[unit]
