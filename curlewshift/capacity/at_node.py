"""What the front node and its worker processes need at a size: state, messages, processor time, memory."""

from __future__ import annotations

from dataclasses import replace

from curlewshift.capacity.figures import Figure, together, wanted
from curlewshift.capacity.measured import Measured
from curlewshift.capacity.rows import FRONT, MEMORY, MESSAGES, PROCESSOR, STATE, WORKER, Mechanism, Row
from curlewshift.capacity.size import Size

# The names of slopes, as docs/measured/slope-*.json have them.
MEMORY_BY, IDLE_BY = "memory-by-connection-with-viewing", "idle-time-by-connection-with-viewing"
MEMORY_RESTING, IDLE_RESTING = "memory-by-connection", "idle-time-by-connection"
BY_REQUEST, BY_NOTICE, BY_RUNG = "processor-time-by-request", "processor-time-by-notice", "processor-time-by-rung"
P99_BY_REQUEST = "p99-by-request"
BYTES_BY_LINKS, CORE_BY_LINKS = "sharing-bytes-by-link", "sharing-time-by-link"

WIRE = Mechanism("curlewshift/node/wire.py", "class Wire")
DESK = Mechanism("curlewshift/desk/desk.py", "class Desk")
DOOR = Mechanism("curlewshift/node/door.py", "def sweep")
MEMBERSHIP = Mechanism("curlewshift/peering/channel.py", "class Channel")
SHARING = Mechanism("curlewshift/peering/shared.py", "class SharedWire")
LEASES = Mechanism("curlewshift/peering/leased.py", "class LeaseWire")
OVERLOAD = Mechanism("curlewshift/peering/overloaded.py", "class OverloadWire")
DISTRIBUTION = Mechanism("curlewshift/peering/distributed.py", "class DistributionWire")
# Control's parts of a node, as a scale run counts them, and what carries each.
KEYS = {"distribution": "configuration"}
SUBSYSTEMS = (("membership", MEMBERSHIP), ("sharing", SHARING), ("leases", LEASES), ("distribution", DISTRIBUTION))


def carried(measured: Measured, name: str, x: float, unit: str) -> Figure | None:
    slope = measured.slopes.get(name)
    return slope and slope.at(x, unit)


def a_second(measured: Measured, name: str, x: float) -> Figure | None:
    """Cores, by a slope of processor time within a second."""
    found = carried(measured, name, x, "s")
    return found and replace(found, unit="cores")


def open_and_playing(size: Size, measured: Measured, both: str, resting: str, unit: str) -> Figure | None:
    """Connections with a viewing each by the one slope, those without by the other."""
    whole = carried(measured, both, size.viewings_a_node, unit)
    rest = size.connections_a_node - size.viewings_a_node
    if whole is None or rest <= 0:
        return whole
    alone = measured.slopes.get(resting)
    return alone and whole.plus(alone.each(unit, rest).times(rest, unit))


def each_delivery(size: Size, measured: Measured) -> list[tuple[str, Figure | None]]:
    """Cores for all deliveries of a node, were all of one kind."""
    return [(kind, a_second(measured, name, size.deliveries_a_node)) for kind, name in (
        ("requests", BY_REQUEST), ("notices", BY_NOTICE), ("changes of rung", BY_RUNG))]


def subsystem(size: Size, measured: Measured, name: str, *way: str, unit: str, by: float = 1.0) -> Figure | None:
    """What a scale run of the size's nodes counted for a subsystem of a node."""
    file = measured.scale(size.nodes)
    return file and measured.figure(file, "a_node", name, *way, unit=unit, by=by)


def rows(size: Size, measured: Measured) -> list[Row]:
    idle = open_and_playing(size, measured, IDLE_BY, IDLE_RESTING, "s")
    found = [
        Row("memory", FRONT, STATE, "connections held, one process", run_to(
            measured, MEMORY_RESTING, size.connections_a_node, "connections"), None, WIRE),
        Row("memory", FRONT, STATE, "viewings held, one process", run_to(
            measured, MEMORY_BY, size.viewings_a_node, "viewings"), None, DESK),
        Row("memory", FRONT, MEMORY, "one process, all connections with their viewings", open_and_playing(
            size, measured, MEMORY_BY, MEMORY_RESTING, "MB"), size.guess("memory-a-node-GB") * 1000, DESK),
        Row("memory", FRONT, MEMORY, "one process, the connections alone", carried(
            measured, MEMORY_RESTING, size.connections_a_node, "MB"), size.guess("memory-a-node-GB") * 1000, WIRE),
        Row("idle", FRONT, PROCESSOR, "nothing asked, all viewings playing", idle and replace(idle, unit="cores"), 1.0, DESK),
        Row("idle", FRONT, PROCESSOR, "nothing asked, the connections alone", a_second(
            measured, IDLE_RESTING, size.connections_a_node), 1.0, DOOR),
    ]
    for kind, figure in each_delivery(size, measured):
        found.append(Row("workers", FRONT, PROCESSOR, f"{size.deliveries_a_node:,.0f} deliveries a second, were all {kind}",
                         figure, 1.0, DESK))
    found.append(Row("p99", FRONT, MESSAGES, f"p99 of an answer at {size.deliveries_a_node:,.0f} deliveries a second", carried(
        measured, P99_BY_REQUEST, size.deliveries_a_node, "ms"), size.p99 * 1000, DESK))
    return found + control_rows(size, measured) + worker_rows(size, measured)


def run_to(measured: Measured, name: str, value: float, unit: str) -> Figure:
    """How many are wanted, and with how many one process was run."""
    slope, figure = measured.slopes.get(name), wanted(value, unit)
    if slope is None:
        return figure
    return replace(figure, files=(slope.file,), command=slope.command, measured_to=slope.measured_to, wanted_at=value, carried=unit)


def control_rows(size: Size, measured: Measured) -> list[Row]:
    """What a node gives for control, by subsystem and together."""
    found = []
    kinds = ((MESSAGES, "out", ("bytes_a_second", "mean"), "bytes/s", 1.0, size.control_bytes),
             (MESSAGES, "out, at worst over 15 s", ("bytes_a_second", "worst"), "bytes/s", 1.0, size.control_bytes),
             (PROCESSOR, "", ("core",), "cores", 1.0, size.control_core),
             (MEMORY, "", ("memory_kB",), "MB", 0.001, size.control_memory))
    for what, words, way, unit, by, bound in kinds:
        parts = []
        for name, mechanism in SUBSYSTEMS:
            figure = subsystem(size, measured, name, *way, unit=unit, by=by)
            parts.append(figure)
            found.append(Row(KEYS.get(name, name), FRONT, what, f"control: {name} {words}".strip(), figure, bound, mechanism))
        there = [one for one in parts if one is not None]
        found.append(Row("control-together", FRONT, what, f"control: together {words}".strip(),
                         together(there) if len(there) == len(parts) else None, bound, MEMBERSHIP))
    most = len(measured.get("shared.json", "sizes") or ()) - 1
    told = measured.figure("shared.json", "sizes", most, "bytes_a_second", unit="bytes/s") if most >= 0 else None
    plays = measured.get("shared.json", "sizes", most, "plays_on") if most >= 0 else None
    found.append(Row("sharing", FRONT, MESSAGES, f"control: sharing out, {plays or '?'} servers played on", told,
                     size.control_bytes, SHARING))
    links = size.guess("servers-played-on")
    return found + [
        Row("sharing", FRONT, MESSAGES, f"control: sharing out, {links:,.0f} servers played on", carried(
            measured, BYTES_BY_LINKS, links, "bytes/s"), size.control_bytes, SHARING),
        Row("sharing", FRONT, PROCESSOR, f"control: sharing, {links:,.0f} servers played on", a_second(
            measured, CORE_BY_LINKS, links), size.control_core, SHARING)]


def worker_rows(size: Size, measured: Measured) -> list[Row]:
    """No split of a node exists: how many processes it would take, and what each would hold."""
    most = max((one for _, one in each_delivery(size, measured) if one is not None), key=lambda one: one.value, default=None)
    processes = most and most.times(1.0, "processes")
    return [
        Row("workers", WORKER, STATE, "processes that the dearest kind of delivery takes", processes,
            size.guess("cores-a-node"), None),
        Row("workers", WORKER, STATE, "connections and viewings of one process in so many", None, None, None),
        Row("workers", WORKER, MESSAGES, "what the node's channel, list and configuration tell it on the machine", None, None, None),
        Row("workers", WORKER, PROCESSOR, "a second channel, list and copy, were each worker a node of its own",
            _again(size, measured, ("core",), "cores", processes), size.control_core, None),
        Row("workers", WORKER, MEMORY, "a second channel, list and copy, were each worker a node of its own",
            _again(size, measured, ("memory_kB",), "MB", processes, 0.001), size.control_memory, None),
    ]


def _again(size: Size, measured: Measured, way: tuple[str, ...], unit: str, processes: Figure | None, by: float = 1.0
           ) -> Figure | None:
    parts = [subsystem(size, measured, name, *way, unit=unit, by=by) for name, _ in SUBSYSTEMS]
    whole = together(parts)
    return whole and processes and whole.times(processes.value, unit)
