"""What a node gives for control at a size, by subsystem and together: bytes out, processor time, memory, quiet and after faults.

From a scale run of the size's nodes; what that run left out is not measured here.
"""

from __future__ import annotations

from curlewshift.capacity.figures import Figure, supposed, together
from curlewshift.capacity.measured import Measurements, a_second, carried
from curlewshift.capacity.rows import FRONT, MEMORY, MESSAGES, PROCESSOR, Mechanism, Row
from curlewshift.capacity.size import Size

MEMBERSHIP = Mechanism("curlewshift/peering/channel.py", "class Channel")
SHARING = Mechanism("curlewshift/peering/shared.py", "class SharingProtocol")
LEASES = Mechanism("curlewshift/peering/leased.py", "class LeaseTaskProtocol")
OVERLOAD = Mechanism("curlewshift/peering/overloaded.py", "class OverloadProtocol")
DISTRIBUTION = Mechanism("curlewshift/peering/distributed.py", "class DistributionProtocol")
STORE = Mechanism("curlewshift/distribution/store.py", "class Store")
WRITER = Mechanism("curlewshift/distribution/writer.py", "class Writer")
GIVER = Mechanism("curlewshift/distribution/giving.py", "class ContentProvider")
REPORTS = Mechanism("curlewshift/distribution/reports.py", "class Reporter")
# What carries configuration, all of which came with distribution.
DISTRIBUTED = (DISTRIBUTION, STORE, WRITER, GIVER, REPORTS)
# Control's parts of a node, as a scale run counts them: (name there, key of its rows, what carries it).
SUBSYSTEMS = (
    ("membership", "membership", MEMBERSHIP),
    ("sharing", "sharing", SHARING),
    ("leases", "leases", LEASES),
    ("distribution", "configuration", DISTRIBUTION),
)
# Where each kind stands in a part of the run, and its unit here; the bound is the size's.
KINDS = {
    MESSAGES: (("bytes_a_second", "mean"), "bytes/s", 1.0, "control_bytes"),
    PROCESSOR: (("core", "mean"), "cores", 1.0, "control_core"),
    MEMORY: (("memory_kB",), "MB", 0.001, "control_memory"),
}
BYTES_BY_LINKS, CORE_BY_LINKS = "sharing-bytes-by-links", "sharing-time-by-links"
# Membership by the number of nodes, in virtual time: slope and when.
MEMBERSHIP_BY = (
    ("quiet", "at rest"),
    ("zone-lost", "after a zone was lost"),
    ("regions-apart", "while regions are apart"),
    ("agreed-again", "just after they have agreed again"),
)
# In virtual time, distribution's own bytes and all that a node sends: key, when, and where it stands in versions.json. Regions
# that met agree within two seconds: all that is sent in so short a time is not held to what is granted for any 15 s.
VERSIONS = (
    ("configuration", "distribution at rest", ("stretch", "quiet_own_sent_mean")),
    ("configuration", "distribution at 910 changes a day", ("stretch", "own_at_910_changes_a_day_bytes_a_second")),
    (
        "configuration",
        "distribution over 100 changes and 20 restarts close together, the node that sends most",
        ("stretch", "nodes_own_sent_worst"),
    ),
    (
        "configuration",
        "distribution while a zone comes back with empty disks, the node of that zone that sends most",
        ("zone_returns_empty", "returned_own_sent_worst"),
    ),
    (
        "configuration",
        "distribution until regions that met agree, the node that sends most",
        ("regions_apart", "until_then_own_sent_worst"),
    ),
    ("membership", "all parts over 100 changes and 20 restarts close together", ("stretch", "nodes_sent_mean")),
    (
        "membership",
        "all parts over 100 changes and 20 restarts close together, the node that sends most",
        ("stretch", "nodes_sent_worst"),
    ),
    (
        "membership",
        "all parts while a zone comes back with empty disks, of the others the one that sends most",
        ("zone_returns_empty", "others_sent_worst"),
    ),
    (
        "membership",
        "all parts while a zone comes back with empty disks, the node of that zone that sends most",
        ("zone_returns_empty", "returned_sent_worst"),
    ),
)


def subsystem(
    size: Size, measured: Measurements, name: str, what: str, *way: str | int, file: str | None = None
) -> Figure | None:
    """Of one part of a node, at the end of a way in the run's file (`a_node` if none is said). Sharing counts only where all
    nodes of the run shared: a mean over nodes of which some did says nothing of one that does."""
    kind, unit, by, _ = KINDS[what]
    way = (*(way or ("a_node",)), name, *kind)
    file = file or measured.scale(size.nodes, *way)
    if file is None:
        return None
    sharing = measured.get(file, "model", "sharing", "nodes")
    if name == "sharing" and sharing is not None and sharing < (measured.get(file, "nodes") or 0):
        return None
    return measured.at_size(size.nodes, *way, unit=unit, by=by, file=file)


def whole(size: Size, measured: Measurements, what: str) -> Figure | None:
    """All four parts together, sharing by its slope where no run has it; None where one of them is not measured."""
    parts = {name: subsystem(size, measured, name, what) for name, _, _ in SUBSYSTEMS}
    if parts["sharing"] is None and what != MEMORY:
        parts["sharing"] = by_links(size, measured, what)
    return together(list(parts.values()))


def by_links(size: Size, measured: Measurements, what: str) -> Figure | None:
    links = size.guess("servers-played-on")
    if what == MESSAGES:
        return carried(measured, BYTES_BY_LINKS, links, "bytes/s")
    return a_second(measured, CORE_BY_LINKS, links)


def rows(size: Size, measured: Measurements) -> list[Row]:
    found = []
    for what, (_, _, _, bound) in KINDS.items():
        out = " out" if what == MESSAGES else ""
        for name, key, mechanism in SUBSYSTEMS:
            found.append(
                Row(
                    key,
                    FRONT,
                    what,
                    f"control: {name}{out}",
                    subsystem(size, measured, name, what),
                    getattr(size, bound),
                    mechanism,
                )
            )
        found.append(
            Row(
                "control-together",
                FRONT,
                what,
                f"control: all four together{out}",
                whole(size, measured, what),
                getattr(size, bound),
                MEMBERSHIP,
            )
        )
    found.append(
        Row(
            "overload",
            FRONT,
            MESSAGES,
            "control: overload out, a round each second for each zone of servers",
            supposed(size.zones * size.guess("round-word-bytes"), "bytes/s"),
            size.control_bytes,
            OVERLOAD,
        )
    )
    return found + of_runs(size, measured) + simulated(size, measured) + sharing(size, measured)


def of_runs(size: Size, measured: Measurements) -> list[Row]:
    """What all parts that ran took together: at rest, over a stretch with changes and restarts, and in each fault. Membership is
    most of it in a fault, and tells of it; distribution is what a stretch of changes is for."""
    file = measured.scale(size.nodes)
    if file is None:
        return []
    ran = ", ".join(name for name, *_ in SUBSYSTEMS if measured.get(file, "a_node", name))
    found = []

    def add(key: str, name: str, words: str, *way: str | int, file: str | None = None) -> None:
        for what in (MESSAGES, PROCESSOR):
            figure = subsystem(size, measured, name, what, *way, file=file)
            if figure is not None:
                found.append(Row(key, FRONT, what, f"control: {words}", figure, getattr(size, KINDS[what][3]), MEMBERSHIP))

    add("membership", "all", f"all that ran ({ran}), at rest", "a_node")
    alone = measured.at_size(size.nodes, "alone", "alone", unit="cores")
    if alone is not None:
        found.append(
            Row(
                "membership",
                FRONT,
                PROCESSOR,
                "control: all that ran, at rest, of a node alone in its process",
                alone,
                size.control_core,
                MEMBERSHIP,
            )
        )
    told = measured.get(measured.scale(size.nodes, "stretch") or "", "stretch")
    if told:
        over = f"over {told['changes']} changes and {told['restarts']} restarts"
        add("configuration", "distribution", f"distribution, {over}", "stretch", "a_node")
        add("configuration", "all", f"all that ran, {over}", "stretch", "a_node")
    for file, place, fault in measured.faults(size.nodes):
        for when in ("while", "after"):
            lasted = fault.get(when, {}).get("lasted_s")
            add(
                "membership",
                "all",
                f"all that ran, {when} {fault['kind']}" + (f", over {lasted:.0f} s" if lasted else ""),
                "faults",
                place,
                when,
                file=file,
            )
    joins = measured.at_size(size.nodes, "joins", "with_over_without", "p99_us", unit="times")
    if joins is not None:
        found.append(
            Row(
                "joins",
                FRONT,
                MESSAGES,
                "p99 of joins at a real node of the fleet, over one apart from it",
                joins,
                None,
                MEMBERSHIP,
            )
        )
    return found


def simulated(size: Size, measured: Measurements) -> list[Row]:
    return [
        Row(
            "membership",
            FRONT,
            MESSAGES,
            f"control: membership out, {when}",
            carried(measured, f"membership-bytes-{name}", size.nodes, "bytes/s"),
            size.control_bytes,
            MEMBERSHIP,
        )
        for name, when in MEMBERSHIP_BY
    ] + [
        Row(
            key,
            FRONT,
            MESSAGES,
            f"control: {words}, simulated",
            measured.of_run("versions.json", figure, size.nodes),
            size.control_bytes,
            DISTRIBUTION if key == "configuration" else MEMBERSHIP,
        )
        for key, words, figure in (
            (key, words, measured.figure("versions.json", *way, unit="bytes/s")) for key, words, way in VERSIONS
        )
        if figure is not None
    ]


def sharing(size: Size, measured: Measurements) -> list[Row]:
    """By the links that a node plays on, which is what sharing grows with."""
    found, sizes = [], measured.get("shared.json", "sizes") or []
    if sizes:
        plays = sizes[-1]["plays_on"]
        found.append(
            Row(
                "sharing",
                FRONT,
                MESSAGES,
                f"control: sharing out, {plays} servers played on",
                measured.figure("shared.json", "sizes", len(sizes) - 1, "bytes_a_second", unit="bytes/s"),
                size.control_bytes,
                SHARING,
            )
        )
    words = f"control: sharing, {size.guess('servers-played-on'):,.0f} servers played on"
    return found + [
        Row("sharing", FRONT, what, words, by_links(size, measured, what), getattr(size, KINDS[what][3]), SHARING)
        for what in (MESSAGES, PROCESSOR)
    ]
