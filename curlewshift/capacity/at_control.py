"""What control needs at a size: the machines set aside, who adds up for a zone, who follows the list, who holds a lease."""

from __future__ import annotations

from dataclasses import replace

from curlewshift.capacity import in_force
from curlewshift.capacity.figures import Figure, assumed, supposed, worked_out
from curlewshift.capacity.given import GIVER, LEASES, OVERLOAD, REPORTS, SHARING, STORE, WRITER
from curlewshift.capacity.measured import Measurements
from curlewshift.capacity.rows import AGGREGATOR, CONTROL, FOLLOWER, LED, MEMORY, MESSAGES, PROCESSOR, STATE, Mechanism, Row
from curlewshift.capacity.size import DAY, Size

LIST_MEMORY, LIST_IDLE, LIST_START = "memory-by-servers", "idle-time-by-servers", "restart-time-by-servers"
# Servers in one whole list: the bulletin's records of 27 bytes in a frame of 16 KiB; a test holds it to `node/discovery.py`.
MOST_LISTED = 606
LISTS = Mechanism("curlewshift/node/follower.py", "class Follower")
MACHINE = Mechanism("curlewshift/control/machine.py", "class Machine")
TASKS = Mechanism("curlewshift/tasks/tasks.py", "class Tasks")
PROBES = Mechanism("curlewshift/tasks/servers.py", "class Probing")
KEEPERS, LED_SHARDS, LED_TASKS = 5, 8, 4
# As `distribution/terms.py` has it (s); a test holds the two together.
REPORT_EACH = 30


def rows(size: Size, measured: Measurements) -> list[Row]:
    return [
        *in_force.rows(size, measured),
        *control_machine(size, measured),
        *aggregator(size, measured),
        *follower(size, measured),
        *led(size, measured),
    ]


def control_machine(size: Size, measured: Measurements) -> list[Row]:
    whole = size.guess("configuration-kB")
    return [
        Row(
            "configuration",
            CONTROL,
            STATE,
            "the newest version accepted and the newest chosen, whole",
            supposed(whole * 2, "kB"),
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
            supposed(whole * 1000 * size.nodes * size.changes_a_day / DAY / size.control_machines, "bytes/s"),
            None,
            GIVER,
        ),
        *of_a_run(size, measured),
    ]


def of_a_run(size: Size, measured: Measurements) -> list[Row]:
    """What a scale run counted for a control machine, all its parts together: at rest, and over a stretch of changes."""
    found = []
    for words, way in (("at rest", ()), ("over a stretch of changes and restarts", ("stretch",))):
        for what, key, unit, bound in ((MESSAGES, "bytes_a_second", "bytes/s", None), (PROCESSOR, "core", "cores", 1.0)):
            found.append(
                Row(
                    "configuration",
                    CONTROL,
                    what,
                    f"{words}, out" if what == MESSAGES else words,
                    measured.at_size(size.nodes, *way, "control", "all", key, "mean", unit=unit),
                    bound,
                    MACHINE,
                )
            )
    for words, way in (
        ("over 100 changes and 20 restarts close together", "stretch"),
        ("while a zone comes back with empty disks", "zone_returns_empty"),
    ):
        figure = measured.figure("versions.json", way, "stores_sent_worst", unit="bytes/s")
        if figure is not None:
            found.append(
                Row(
                    "configuration",
                    CONTROL,
                    MESSAGES,
                    f"{words}, out, simulated",
                    measured.of_run("versions.json", figure, size.nodes),
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
            measured.at_size(size.nodes, "control", "memory_kB", unit="MB", by=0.001),
            size.guess("memory-a-node-GB") * 1000,
            MACHINE,
        )
    )
    return found


def aggregator(size: Size, measured: Measurements) -> list[Row]:
    keys = size.guess("servers") / size.nodes
    users = size.nodes * size.guess("servers-played-on") / size.guess("servers")
    return [
        Row(
            "configuration",
            AGGREGATOR,
            STATE,
            "version in force and refusals of each node of a zone",
            worked_out(size.nodes_a_zone, "nodes"),
            None,
            REPORTS,
        ),
        Row(
            "configuration",
            AGGREGATOR,
            MESSAGES,
            f"reports in, each node on each change and each {REPORT_EACH} s",
            worked_out(size.nodes_a_zone * (size.changes_a_day / DAY + 1 / REPORT_EACH), "reports/s"),
            None,
            REPORTS,
        ),
        Row(
            "configuration",
            AGGREGATOR,
            MESSAGES,
            f"sums out, on change and each {REPORT_EACH // 3} s, to each control machine",
            worked_out(size.control_machines * (size.changes_a_day / DAY + 3 / REPORT_EACH), "sums/s"),
            None,
            REPORTS,
        ),
        Row(
            "sharing",
            AGGREGATOR,
            STATE,
            "links that one node adds up, by link and not by zone",
            supposed(keys, "links"),
            None,
            SHARING,
        ),
        Row(
            "sharing",
            AGGREGATOR,
            MESSAGES,
            "words of use in, four rounds a second, were each node to tell its links apart",
            supposed(keys * users * 4, "rows/s"),
            None,
            SHARING,
        ),
        Row(
            "overload",
            AGGREGATOR,
            MESSAGES,
            "rounds in, one a second of each node, at who adds up one zone of servers",
            supposed((size.nodes - 1) * size.guess("round-word-bytes"), "bytes/s"),
            None,
            OVERLOAD,
        ),
        Row(
            "overload",
            AGGREGATOR,
            MESSAGES,
            "levels out, one a second to each node, of who adds up one zone of servers",
            supposed((size.nodes - 1) * size.guess("level-word-bytes"), "bytes/s"),
            size.control_bytes,
            OVERLOAD,
        ),
        Row("sharing", AGGREGATOR, PROCESSOR, "adding up by zone and region", None, size.control_core, None),
        Row("sharing", AGGREGATOR, MEMORY, "adding up by zone and region", None, size.control_memory, None),
    ]


def follower(size: Size, measured: Measurements) -> list[Row]:
    servers = size.guess("servers")
    idle, taken = of_servers(measured, LIST_IDLE, servers, "s"), of_servers(measured, LIST_START, servers, "ms")
    return [
        Row("list", FOLLOWER, STATE, "servers that a whole list has to hold", assumed(servers, "servers"), MOST_LISTED, LISTS),
        Row(
            "list",
            FOLLOWER,
            MESSAGES,
            "connections at whoever tells the list, one a node",
            worked_out(size.nodes, "connections"),
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
            of_servers(measured, LIST_MEMORY, servers, "MB"),
            size.control_memory,
            LISTS,
        ),
    ]


def of_servers(measured: Measurements, name: str, servers: float, unit: str) -> Figure | None:
    """What so many servers add to a node that has none."""
    slope = measured.slopes.get(name)
    return slope and slope.added(servers, unit)


def leases_a_shard(size: Size, measured: Measurements) -> Figure | None:
    """What each node would send for leases, were each shard of topics to have one and all nodes to be keepers by turns."""
    words = measured.figure("leases.json", "sizes", 4, "words_a_second_a_lease", unit="words/s")
    return words and words.times(size.shards / size.nodes * size.guess("lease-word-bytes"), "bytes/s")


def led(size: Size, measured: Measurements) -> list[Row]:
    leases = LED_SHARDS * LED_TASKS
    words = measured.figure("leases.json", "sizes", 4, "words_a_second_a_lease", unit="words/s")
    at_keeper = words and words.times(leases / KEEPERS * size.guess("lease-word-bytes"), "bytes/s")
    return [
        Row(
            "leases", LED, STATE, f"leases of {LED_TASKS} tasks in {LED_SHARDS} shards", worked_out(leases, "leases"), None, TASKS
        ),
        Row("leases", LED, MESSAGES, "words in and out at each of five keepers", at_keeper, size.control_bytes, LEASES),
        Row(
            "probes",
            LED,
            MESSAGES,
            "probes a second by all holders, each server each second",
            supposed(size.guess("servers"), "probes/s"),
            None,
            PROBES,
        ),
        Row("probes", LED, PROCESSOR, "probing a shard of servers", None, None, PROBES),
        Row("probes", LED, MEMORY, "what a shard of servers keeps", None, None, PROBES),
    ]
