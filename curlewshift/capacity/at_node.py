"""What the front node and its worker processes need at a size: state, messages, processor time, memory."""

from __future__ import annotations

from dataclasses import replace
from math import ceil

from curlewshift.capacity import given
from curlewshift.capacity.figures import Figure, wanted
from curlewshift.capacity.measured import Measurements, a_second, carried
from curlewshift.capacity.rows import FRONT, MEMORY, MESSAGES, PROCESSOR, STATE, WORKER, Mechanism, Row
from curlewshift.capacity.size import Size

# The names of slopes, as docs/measured/slope-*.json have them.
MEMORY_BY, IDLE_BY = "memory-by-connection-with-viewing", "idle-time-by-connection-with-viewing"
MEMORY_RESTING, IDLE_RESTING = "memory-by-connection", "idle-time-by-connection"
BY_REQUEST, BY_NOTICE, BY_RUNG = "processor-time-by-request", "processor-time-by-notice", "processor-time-by-change-of-rung"
P99_BY_REQUEST, P99_BY_NOTICE = "p99-by-request", "p99-by-notice"

WIRE = Mechanism("curlewshift/node/buffered_connection.py", "class BufferedConnection")
DESK = Mechanism("curlewshift/session_core/session_core.py", "class SessionCore")
DOOR = Mechanism("curlewshift/node/client_listener.py", "def sweep")


def open_and_playing(size: Size, measured: Measurements, both: str, resting: str, unit: str) -> Figure | None:
    """Connections with a viewing each by the one slope, those without by the other."""
    whole = carried(measured, both, size.viewings_a_node, unit)
    rest = size.connections_a_node - size.viewings_a_node
    if whole is None or rest <= 0:
        return whole
    alone = measured.slopes.get(resting)
    return alone and whole.plus(alone.each(unit, rest).times(rest, unit))


def each_delivery(size: Size, measured: Measurements) -> list[tuple[str, Figure | None]]:
    """Cores for all deliveries of a node, were all of one kind."""
    return [
        (kind, a_second(measured, name, size.deliveries_a_node))
        for kind, name in (
            ("set-ups, each with its end counted as one", BY_REQUEST),
            ("notices", BY_NOTICE),
            ("changes of rung", BY_RUNG),
        )
    ]


def told_at_once(size: Size, measured: Measurements) -> Figure | None:
    """How long one process is busy with telling a node's part of the largest topic (ms)."""
    slope, listeners = measured.slopes.get(BY_NOTICE), size.largest / size.nodes
    return slope and slope.each("ms", listeners).times(listeners, "ms")


def processes(size: Size, measured: Measurements) -> Figure | None:
    """Cores, and so processes, that the dearest kind of delivery takes, of those that could be carried."""
    found = [one for _, one in each_delivery(size, measured) if one is not None and not one.at_least]
    return max(found, key=lambda one: one.value, default=None)


def rows(size: Size, measured: Measurements) -> list[Row]:
    idle = open_and_playing(size, measured, IDLE_BY, IDLE_RESTING, "s")
    found = [
        Row(
            "memory",
            FRONT,
            STATE,
            "connections held, one process",
            run_to(measured, MEMORY_RESTING, size.connections_a_node, "connections"),
            None,
            WIRE,
        ),
        Row(
            "memory",
            FRONT,
            STATE,
            "viewings held, one process",
            run_to(measured, MEMORY_BY, size.viewings_a_node, "viewings"),
            None,
            DESK,
        ),
        Row(
            "memory",
            FRONT,
            MEMORY,
            "one process, all connections with their viewings",
            open_and_playing(size, measured, MEMORY_BY, MEMORY_RESTING, "MB"),
            size.guess("memory-a-node-GB") * 1000,
            DESK,
        ),
        Row(
            "memory",
            FRONT,
            MEMORY,
            "one process, the connections alone",
            carried(measured, MEMORY_RESTING, size.connections_a_node, "MB"),
            size.guess("memory-a-node-GB") * 1000,
            WIRE,
        ),
        Row("idle", FRONT, PROCESSOR, "nothing asked, all viewings playing", idle and replace(idle, unit="cores"), 1.0, DESK),
        Row(
            "idle",
            FRONT,
            PROCESSOR,
            "nothing asked, the connections alone",
            a_second(measured, IDLE_RESTING, size.connections_a_node),
            1.0,
            DOOR,
        ),
    ]
    for kind, figure in each_delivery(size, measured):
        found.append(
            Row(
                "workers",
                FRONT,
                PROCESSOR,
                f"{size.deliveries_a_node:,.0f} deliveries a second, were all {kind}",
                figure,
                1.0,
                DESK,
            )
        )
    found.append(
        Row(
            "workers",
            FRONT,
            PROCESSOR,
            "the same on all cores of the machine, were all of the dearest kind",
            processes(size, measured),
            size.guess("cores-a-node"),
            DESK,
        )
    )
    told = f"{size.largest / size.nodes:,.0f} listeners of the largest topic told at once"
    found.append(Row("largest-topic", FRONT, PROCESSOR, told, told_at_once(size, measured), size.p99 * 1000, DESK))
    for kind, name in (("an answer", P99_BY_REQUEST), ("a notice", P99_BY_NOTICE)):
        found.append(
            Row(
                "p99",
                FRONT,
                MESSAGES,
                f"p99 of {kind} at {size.deliveries_a_node:,.0f} a second",
                carried(measured, name, size.deliveries_a_node, "ms", beyond=False),
                size.p99 * 1000,
                DESK,
            )
        )
    return found + given.rows(size, measured) + worker_rows(size, measured)


def run_to(measured: Measurements, name: str, value: float, unit: str) -> Figure:
    """How many are wanted, and with how many one process was run."""
    slope, figure = measured.slopes.get(name), wanted(value, unit)
    if slope is None:
        return figure
    return replace(
        figure, files=(slope.file,), command=slope.command, measured_to=slope.measured_to, wanted_at=value, carried=unit
    )


def worker_rows(size: Size, measured: Measurements) -> list[Row]:
    """No split of a node exists: how many processes it would take, and what each would hold."""
    cores = processes(size, measured)
    wanted_ = cores and replace(cores, value=float(ceil(cores.value)), unit="processes")
    each = wanted_ and replace(wanted_, value=size.connections_a_node / wanted_.value, error=0.0, unit="connections")
    return [
        Row(
            "workers",
            WORKER,
            STATE,
            "processes that the dearest kind of delivery takes",
            wanted_,
            size.guess("cores-a-node"),
            None,
        ),
        Row("workers", WORKER, STATE, "connections of one process in so many", each, None, None),
        Row(
            "workers",
            WORKER,
            MESSAGES,
            "what the node's channel, list and configuration tell it on the machine",
            None,
            None,
            None,
        ),
        Row(
            "workers",
            WORKER,
            PROCESSOR,
            "a second channel, list and copy, were each worker a node of its own",
            _again(size, measured, PROCESSOR, wanted_),
            size.control_core,
            None,
        ),
        Row(
            "workers",
            WORKER,
            MEMORY,
            "a second channel, list and copy, were each worker a node of its own",
            _again(size, measured, MEMORY, wanted_),
            size.control_memory,
            None,
        ),
    ]


def _again(size: Size, measured: Measurements, what: str, workers: Figure | None) -> Figure | None:
    whole = given.whole(size, measured, what)
    return whole and workers and whole.times(workers.value, whole.unit)
