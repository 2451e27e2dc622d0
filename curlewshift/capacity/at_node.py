"""What the front node and its worker processes need at a size: state, messages, processor time, memory."""

from __future__ import annotations

from dataclasses import replace
from math import ceil

from curlewshift.capacity import given
from curlewshift.capacity.figures import Figure, wanted
from curlewshift.capacity.measured import Measurements, cores_at_rate, extrapolated
from curlewshift.capacity.rows import FRONT, MEMORY, MESSAGES, PROCESSOR, STATE, WORKER, Mechanism, Row
from curlewshift.capacity.size import Size

# Names of slopes in docs/measured/slope-*.json.
MEMORY_BY, IDLE_BY = "memory-by-connection-with-viewing", "idle-time-by-connection-with-viewing"
MEMORY_RESTING, IDLE_RESTING = "memory-by-connection", "idle-time-by-connection"
BY_REQUEST, BY_NOTICE, BY_RUNG = "processor-time-by-request", "processor-time-by-notice", "processor-time-by-change-of-rung"
P99_BY_REQUEST, P99_BY_NOTICE = "p99-by-request", "p99-by-notice"

CONNECTION = Mechanism("curlewshift/node/buffered_connection.py", "class BufferedConnection")
SESSION_CORE = Mechanism("curlewshift/session_core/session_core.py", "class SessionCore")
LISTENER = Mechanism("curlewshift/node/client_listener.py", "def sweep")


def for_connections_and_viewings(size: Size, measured: Measurements, with_viewing: str, resting: str, unit: str) -> Figure | None:
    """Returns the cost of the connections of a node: those with a viewing by the slope `with_viewing`, others by `resting`."""
    cost = extrapolated(measured, with_viewing, size.viewings_a_node, unit)
    rest = size.connections_a_node - size.viewings_a_node
    if cost is None or rest <= 0:
        return cost
    alone = measured.slopes.get(resting)
    return alone and cost.plus(alone.marginal_cost(unit, rest).times(rest, unit))


def cores_by_delivery_kind(size: Size, measured: Measurements) -> list[tuple[str, Figure | None]]:
    """Returns (kind, cores) for the deliveries of a node if all were of that kind."""
    return [
        (kind, cores_at_rate(measured, name, size.deliveries_a_node))
        for kind, name in (
            ("set-ups, each with its end counted as one", BY_REQUEST),
            ("notices", BY_NOTICE),
            ("changes of rung", BY_RUNG),
        )
    ]


def largest_topic_notification_time(size: Size, measured: Measurements) -> Figure | None:
    """Returns how long one process takes to notify a node's share of the listeners of the largest topic (ms)."""
    slope, listeners = measured.slopes.get(BY_NOTICE), size.largest_topic_listeners / size.nodes
    return slope and slope.marginal_cost("ms", listeners).times(listeners, "ms")


def processes(size: Size, measured: Measurements) -> Figure | None:
    """Returns the cores, and so the processes, for the most expensive kind of delivery whose figure is not a lower bound."""
    found = [figure for _, figure in cores_by_delivery_kind(size, measured) if figure is not None and not figure.is_lower_bound]
    return max(found, key=lambda figure: figure.value, default=None)


def rows(size: Size, measured: Measurements) -> list[Row]:
    idle = for_connections_and_viewings(size, measured, IDLE_BY, IDLE_RESTING, "s")
    found = [
        Row(
            "memory",
            FRONT,
            STATE,
            "connections held, one process",
            with_measured_extent(measured, MEMORY_RESTING, size.connections_a_node, "connections"),
            None,
            CONNECTION,
        ),
        Row(
            "memory",
            FRONT,
            STATE,
            "viewings held, one process",
            with_measured_extent(measured, MEMORY_BY, size.viewings_a_node, "viewings"),
            None,
            SESSION_CORE,
        ),
        Row(
            "memory",
            FRONT,
            MEMORY,
            "one process, all connections with their viewings",
            for_connections_and_viewings(size, measured, MEMORY_BY, MEMORY_RESTING, "MB"),
            size.assumption("memory-a-node-GB") * 1000,
            SESSION_CORE,
        ),
        Row(
            "memory",
            FRONT,
            MEMORY,
            "one process, the connections alone",
            extrapolated(measured, MEMORY_RESTING, size.connections_a_node, "MB"),
            size.assumption("memory-a-node-GB") * 1000,
            CONNECTION,
        ),
        Row(
            "idle",
            FRONT,
            PROCESSOR,
            "nothing asked, all viewings playing",
            idle and replace(idle, unit="cores"),
            1.0,
            SESSION_CORE,
        ),
        Row(
            "idle",
            FRONT,
            PROCESSOR,
            "nothing asked, the connections alone",
            cores_at_rate(measured, IDLE_RESTING, size.connections_a_node),
            1.0,
            LISTENER,
        ),
    ]
    for kind, figure in cores_by_delivery_kind(size, measured):
        found.append(
            Row(
                "workers",
                FRONT,
                PROCESSOR,
                f"{size.deliveries_a_node:,.0f} deliveries a second, were all {kind}",
                figure,
                1.0,
                SESSION_CORE,
            )
        )
    found.append(
        Row(
            "workers",
            FRONT,
            PROCESSOR,
            "the same on all cores of the machine, were all of the dearest kind",
            processes(size, measured),
            size.assumption("cores-a-node"),
            SESSION_CORE,
        )
    )
    description = f"{size.largest_topic_listeners / size.nodes:,.0f} listeners of the largest topic told at once"
    found.append(
        Row(
            "largest-topic",
            FRONT,
            PROCESSOR,
            description,
            largest_topic_notification_time(size, measured),
            size.p99 * 1000,
            SESSION_CORE,
        )
    )
    for kind, name in (("an answer", P99_BY_REQUEST), ("a notice", P99_BY_NOTICE)):
        found.append(
            Row(
                "p99",
                FRONT,
                MESSAGES,
                f"p99 of {kind} at {size.deliveries_a_node:,.0f} a second",
                extrapolated(measured, name, size.deliveries_a_node, "ms", extrapolate=False),
                size.p99 * 1000,
                SESSION_CORE,
            )
        )
    return found + given.rows(size, measured) + worker_rows(size, measured)


def with_measured_extent(measured: Measurements, name: str, value: float, unit: str) -> Figure:
    """Returns the required number, with the largest number that one process was measured with."""
    slope, figure = measured.slopes.get(name), wanted(value, unit)
    if slope is None:
        return figure
    return replace(
        figure, files=(slope.file,), command=slope.command, measured_to=slope.measured_to, required_at=value, extent_unit=unit
    )


def worker_rows(size: Size, measured: Measurements) -> list[Row]:
    """Returns rows for a node split into worker processes, which is not implemented: their number and the load of each."""
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
            size.assumption("cores-a-node"),
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
    control = given.total_control(size, measured, what)
    return control and workers and control.times(workers.value, control.unit)
