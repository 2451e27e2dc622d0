"""What the control roles need at a size: control machines, zone aggregators, followers of the server list and lease holders."""

from __future__ import annotations

from dataclasses import replace

from curlewshift.capacity import in_force
from curlewshift.capacity.figures import Figure, assumed, derived, from_assumptions
from curlewshift.capacity.given import GIVER, LEASES, OVERLOAD, REPORTS, SHARING, STORE, WRITER
from curlewshift.capacity.measured import Measurements
from curlewshift.capacity.rows import AGGREGATOR, CONTROL, FOLLOWER, LED, MEMORY, MESSAGES, PROCESSOR, STATE, Mechanism, Row
from curlewshift.capacity.size import SECONDS_PER_DAY, Size

LIST_MEMORY, LIST_IDLE, LIST_START = "memory-by-servers", "idle-time-by-servers", "restart-time-by-servers"
# Servers in one complete list: the discovery protocol's records of 27 bytes in a frame of 16 KiB. A test compares it with
# `node/discovery.py`.
MAX_LISTED_SERVERS = 606
LISTS = Mechanism("curlewshift/node/follower.py", "class Follower")
MACHINE = Mechanism("curlewshift/control/machine.py", "class Machine")
TASKS = Mechanism("curlewshift/tasks/tasks.py", "class Tasks")
PROBES = Mechanism("curlewshift/tasks/servers.py", "class Probing")
ACCEPTORS, LED_SHARDS, LED_TASKS = 5, 8, 4
# Equal to the report interval of `distribution/terms.py`, as a test checks.
REPORT_INTERVAL_S = 30


def rows(size: Size, measured: Measurements) -> list[Row]:
    return [
        *in_force.rows(size, measured),
        *control_machine(size, measured),
        *aggregator(size, measured),
        *follower(size, measured),
        *lease_holder(size, measured),
    ]


def control_machine(size: Size, measured: Measurements) -> list[Row]:
    configuration_kb = size.assumption("configuration-kB")
    return [
        Row(
            "configuration",
            CONTROL,
            STATE,
            "the newest version accepted and the newest chosen, whole",
            from_assumptions(configuration_kb * 2, "kB"),
            None,
            STORE,
        ),
        Row(
            "configuration",
            CONTROL,
            STATE,
            "versions made a day, each with a majority before anyone is told",
            Figure(size.changes_a_day, "versions", "wanted"),
            None,
            WRITER,
        ),
        Row(
            "configuration",
            CONTROL,
            MESSAGES,
            "contents given, were each node given all by the control machines",
            from_assumptions(
                configuration_kb * 1000 * size.nodes * size.changes_a_day / SECONDS_PER_DAY / size.control_machines, "bytes/s"
            ),
            None,
            GIVER,
        ),
        *scale_run_rows(size, measured),
    ]


def scale_run_rows(size: Size, measured: Measurements) -> list[Row]:
    """Returns the total cost of a control machine in a scale run: at rest, and over a period of changes."""
    found = []
    for label, path in (("at rest", ()), ("over a stretch of changes and restarts", ("stretch",))):
        for what, key, unit, bound in ((MESSAGES, "bytes_a_second", "bytes/s", None), (PROCESSOR, "core", "cores", 1.0)):
            found.append(
                Row(
                    "configuration",
                    CONTROL,
                    what,
                    f"{label}, out" if what == MESSAGES else label,
                    measured.at_size(size.nodes, *path, "control", "all", key, "mean", unit=unit),
                    bound,
                    MACHINE,
                )
            )
    for label, path in (
        ("over 100 changes and 20 restarts close together", "stretch"),
        ("while a zone comes back with empty disks", "zone_returns_empty"),
    ):
        figure = measured.figure("versions.json", path, "stores_sent_worst", unit="bytes/s")
        if figure is not None:
            found.append(
                Row(
                    "configuration",
                    CONTROL,
                    MESSAGES,
                    f"{label}, out, simulated",
                    measured.with_run_size("versions.json", figure, size.nodes),
                    None,
                    MACHINE,
                )
            )
    found.append(
        Row(
            "configuration",
            CONTROL,
            MEMORY,
            "its process, as a scale run counted",
            measured.at_size(size.nodes, "control", "memory_kB", unit="MB", multiplier=0.001),
            size.assumption("memory-a-node-GB") * 1000,
            MACHINE,
        )
    )
    return found


def aggregator(size: Size, measured: Measurements) -> list[Row]:
    keys = size.assumption("servers") / size.nodes
    users = size.nodes * size.assumption("servers-played-on") / size.assumption("servers")
    return [
        Row(
            "configuration",
            AGGREGATOR,
            STATE,
            "version in force and refusals of each node of a zone",
            derived(size.nodes_a_zone, "nodes"),
            None,
            REPORTS,
        ),
        Row(
            "configuration",
            AGGREGATOR,
            MESSAGES,
            f"reports in, each node on each change and each {REPORT_INTERVAL_S} s",
            derived(size.nodes_a_zone * (size.changes_a_day / SECONDS_PER_DAY + 1 / REPORT_INTERVAL_S), "reports/s"),
            None,
            REPORTS,
        ),
        Row(
            "configuration",
            AGGREGATOR,
            MESSAGES,
            f"sums out, on change and each {REPORT_INTERVAL_S // 3} s, to each control machine",
            derived(size.control_machines * (size.changes_a_day / SECONDS_PER_DAY + 3 / REPORT_INTERVAL_S), "sums/s"),
            None,
            REPORTS,
        ),
        Row(
            "sharing",
            AGGREGATOR,
            STATE,
            "links that one node adds up, by link and not by zone",
            from_assumptions(keys, "links"),
            None,
            SHARING,
        ),
        Row(
            "sharing",
            AGGREGATOR,
            MESSAGES,
            "words of use in, four rounds a second, were each node to tell its links apart",
            from_assumptions(keys * users * 4, "rows/s"),
            None,
            SHARING,
        ),
        Row(
            "overload",
            AGGREGATOR,
            MESSAGES,
            "rounds in, one a second of each node, at who adds up one zone of servers",
            from_assumptions((size.nodes - 1) * size.assumption("round-word-bytes"), "bytes/s"),
            None,
            OVERLOAD,
        ),
        Row(
            "overload",
            AGGREGATOR,
            MESSAGES,
            "levels out, one a second to each node, of who adds up one zone of servers",
            from_assumptions((size.nodes - 1) * size.assumption("level-word-bytes"), "bytes/s"),
            size.control_bytes,
            OVERLOAD,
        ),
        Row("sharing", AGGREGATOR, PROCESSOR, "adding up by zone and region", None, size.control_core, None),
        Row("sharing", AGGREGATOR, MEMORY, "adding up by zone and region", None, size.control_memory, None),
    ]


def follower(size: Size, measured: Measurements) -> list[Row]:
    servers = size.assumption("servers")
    idle, taken = increase_by_servers(measured, LIST_IDLE, servers, "s"), increase_by_servers(measured, LIST_START, servers, "ms")
    return [
        Row(
            "list",
            FOLLOWER,
            STATE,
            "servers that a whole list has to hold",
            assumed(servers, "servers"),
            MAX_LISTED_SERVERS,
            LISTS,
        ),
        Row(
            "list",
            FOLLOWER,
            MESSAGES,
            "connections at whoever tells the list, one a node",
            derived(size.nodes, "connections"),
            None,
            LISTS,
        ),
        Row(
            "list",
            FOLLOWER,
            PROCESSOR,
            f"{servers:,.0f} servers at rest",
            idle and replace(idle, unit="cores"),
            size.control_core,
            LISTS,
        ),
        Row(
            "list",
            FOLLOWER,
            PROCESSOR,
            f"what {servers:,.0f} servers add to a start, before the door is open",
            taken,
            None,
            LISTS,
        ),
        Row(
            "list",
            FOLLOWER,
            MEMORY,
            f"a list of {servers:,.0f} servers",
            increase_by_servers(measured, LIST_MEMORY, servers, "MB"),
            size.control_memory,
            LISTS,
        ),
    ]


def increase_by_servers(measured: Measurements, name: str, servers: float, unit: str) -> Figure | None:
    """Returns the cost that a list of `servers` servers adds to a node."""
    slope = measured.slopes.get(name)
    return slope and slope.increase_from_smallest(servers, unit)


def leases_a_shard(size: Size, measured: Measurements) -> Figure | None:
    """Returns the bytes/s that a node would send if each topic shard had a lease and all nodes took turns as acceptor."""
    messages = measured.figure("leases.json", "sizes", 4, "words_a_second_a_lease", unit="words/s")
    return messages and messages.times(size.shards / size.nodes * size.assumption("lease-word-bytes"), "bytes/s")


def lease_holder(size: Size, measured: Measurements) -> list[Row]:
    leases = LED_SHARDS * LED_TASKS
    messages = measured.figure("leases.json", "sizes", 4, "words_a_second_a_lease", unit="words/s")
    at_acceptor = messages and messages.times(leases / ACCEPTORS * size.assumption("lease-word-bytes"), "bytes/s")
    return [
        Row("leases", LED, STATE, f"leases of {LED_TASKS} tasks in {LED_SHARDS} shards", derived(leases, "leases"), None, TASKS),
        Row("leases", LED, MESSAGES, "words in and out at each of five keepers", at_acceptor, size.control_bytes, LEASES),
        Row(
            "probes",
            LED,
            MESSAGES,
            "probes a second by all holders, each server each second",
            from_assumptions(size.assumption("servers"), "probes/s"),
            None,
            PROBES,
        ),
        Row("probes", LED, PROCESSOR, "probing a shard of servers", None, None, PROBES),
        Row("probes", LED, MEMORY, "what a shard of servers keeps", None, None, PROBES),
    ]
