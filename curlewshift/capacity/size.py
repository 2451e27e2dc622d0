"""The target size of a deployment: the users' requirements and the assumptions made in addition.

`size.xsd` defines the file format; this module checks what the schema cannot express and reports errors by line.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

from lxml import etree

SCHEMA = Path(__file__).parent / "size.xsd"
SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES_PER_SECOND_BY_UNIT = {"kB/s": 1000.0, "MB/s": 1e6, "kbit/s": 125.0, "Mbit/s": 125_000.0}
REQUIRED_ASSUMPTIONS = (
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
SECONDS_PER_DAY = 86_400.0


@dataclass(frozen=True)
class Size:
    """Times are in seconds, memory in MB, rates in bytes per second. `assumed` maps a name to (value, reason)."""

    name: str
    nodes: int
    connections: int
    regions: int
    zones: int
    shards: int
    largest_topic_listeners: int
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

    def assumption(self, name: str) -> float:
        return self.assumed[name][0]

    @property
    def connections_a_node(self) -> float:
        return self.connections / self.nodes

    @property
    def viewings_a_node(self) -> float:
        return self.connections_a_node * self.assumption("viewings-a-connection")

    @property
    def deliveries_a_node(self) -> float:
        return self.deliveries / self.nodes

    @property
    def nodes_a_zone(self) -> float:
        return self.nodes / self.zones

    @property
    def nodes_a_region(self) -> float:
        return self.nodes / self.regions


def size_of(root: etree._Element, errors: list[tuple[int, str]]) -> Size:
    """Reads the size from a document that is valid by the schema. Appends (line, reason) to `errors` for each inconsistency; the
    result must not be used if there are any."""
    fleet, topics, deliveries, configuration, control, failures = root[:6]
    assumed = {element.get("name"): (float(element.get("value")), element.get("why")) for element in root.iterfind("assume")}
    for name in REQUIRED_ASSUMPTIONS:
        if name not in assumed:
            errors.append((root.sourceline, f"size: the assumption {name} is missing"))
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
    for element, valid, reason in (
        (fleet, size.zones >= size.regions, f"fleet: {size.zones} zones cannot make {size.regions} regions"),
        (fleet, size.nodes >= size.zones, f"fleet: {size.nodes} nodes cannot fill {size.zones} zones"),
        (
            topics,
            size.largest_topic_listeners <= size.connections * assumed.get("viewings-a-connection", (1, ""))[0],
            f"topics: {size.largest_topic_listeners} listeners are more than all viewings",
        ),
        (control, size.control_core > 0, "control: core should be above 0"),
    ):
        if not valid:
            errors.append((element.sourceline, reason))
    for name, maximum, reason in (
        ("servers-played-on", assumed.get("servers", (0, ""))[0], "a node cannot play on more servers than there are"),
        ("nodes-a-rack", size.nodes_a_zone, "a rack cannot hold more than a zone"),
    ):
        if assumed.get(name, (0, ""))[0] > maximum:
            errors.append(
                (
                    next(element.sourceline for element in root.iterfind("assume") if element.get("name") == name),
                    f"assume: {reason}",
                )
            )
    return size


def _seconds(text: str) -> float:
    number, unit = re.fullmatch(r"([0-9.]+)([a-z]+)", text).groups()
    return float(number) * SECONDS_BY_UNIT[unit]


def _bytes(text: str) -> float:
    number, unit = re.fullmatch(r"([0-9.]+)(.+)", text).groups()
    return float(number) * BYTES_PER_SECOND_BY_UNIT[unit]
