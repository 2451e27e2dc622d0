"""What the control traffic of a node costs at a size, by subsystem and in total: bytes sent, processor time and memory, at rest
and in faults.

The figures come from the scale run nearest to the size, with simulations and slopes for what it does not cover.
"""

from __future__ import annotations

from curlewshift.capacity.figures import Figure, from_assumptions, total
from curlewshift.capacity.measured import Measurements, cores_at_rate, extrapolated
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
# The mechanisms of configuration distribution.
DISTRIBUTED = (DISTRIBUTION, STORE, WRITER, GIVER, REPORTS)
# The control subsystems of a node, as a scale run counts them: (name in the run, key of its rows, mechanism).
SUBSYSTEMS = (
    ("membership", "membership", MEMBERSHIP),
    ("sharing", "sharing", SHARING),
    ("leases", "leases", LEASES),
    ("distribution", "configuration", DISTRIBUTION),
)
# By resource: path within a part of the run, unit, factor to that unit, and the attribute of `Size` with the bound.
KINDS = {
    MESSAGES: (("bytes_a_second", "mean"), "bytes/s", 1.0, "control_bytes"),
    PROCESSOR: (("core", "mean"), "cores", 1.0, "control_core"),
    MEMORY: (("memory_kB",), "MB", 0.001, "control_memory"),
}
BYTES_BY_LINKS, CORE_BY_LINKS = "sharing-bytes-by-links", "sharing-time-by-links"
# Slopes of membership traffic by number of nodes, simulated in virtual time: (suffix of the slope's name, condition).
MEMBERSHIP_BY = (
    ("quiet", "at rest"),
    ("zone-lost", "after a zone was lost"),
    ("regions-apart", "while regions are apart"),
    ("agreed-again", "just after they have agreed again"),
)
# Bytes sent for distribution alone and by all parts of a node, in virtual time: (key, condition, path in versions.json).
# Regions that meet agree within 2 s; the total sent in so short a time is left out, as the bound holds for periods of 15 s.
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
    size: Size, measured: Measurements, name: str, what: str, *path: str | int, file: str | None = None
) -> Figure | None:
    """Returns the cost of one subsystem at a path in the run's file, `a_node` by default. Sharing counts only if all nodes of the
    run took part: a mean that includes idle nodes does not show the cost of one that shares."""
    kind, unit, multiplier, _ = KINDS[what]
    path = (*(path or ("a_node",)), name, *kind)
    file = file or measured.scale_file(size.nodes, *path)
    if file is None:
        return None
    sharing = measured.get(file, "model", "sharing", "nodes")
    if name == "sharing" and sharing is not None and sharing < (measured.get(file, "nodes") or 0):
        return None
    return measured.at_size(size.nodes, *path, unit=unit, multiplier=multiplier, file=file)


def total_control(size: Size, measured: Measurements, what: str) -> Figure | None:
    """Returns the sum of the subsystems, with sharing by its slope if no run has it; None if one of them is not measured."""
    parts = {name: subsystem(size, measured, name, what) for name, _, _ in SUBSYSTEMS}
    if parts["sharing"] is None and what != MEMORY:
        parts["sharing"] = by_links(size, measured, what)
    return total(list(parts.values()))


def by_links(size: Size, measured: Measurements, what: str) -> Figure | None:
    links = size.assumption("servers-played-on")
    if what == MESSAGES:
        return extrapolated(measured, BYTES_BY_LINKS, links, "bytes/s")
    return cores_at_rate(measured, CORE_BY_LINKS, links)


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
                total_control(size, measured, what),
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
            from_assumptions(size.zones * size.assumption("round-word-bytes"), "bytes/s"),
            size.control_bytes,
            OVERLOAD,
        )
    )
    return found + measured_rows(size, measured) + simulated(size, measured) + sharing(size, measured)


def measured_rows(size: Size, measured: Measurements) -> list[Row]:
    """Returns rows for the total of the subsystems that ran: at rest, over a period of changes and restarts, and in each fault.

    The rows of faults have the key of membership, which is most of the cost there, and those of changes that of configuration."""
    file = measured.scale_file(size.nodes)
    if file is None:
        return []
    ran = ", ".join(name for name, *_ in SUBSYSTEMS if measured.get(file, "a_node", name))
    found = []

    def add(key: str, name: str, label: str, *path: str | int, file: str | None = None) -> None:
        for what in (MESSAGES, PROCESSOR):
            figure = subsystem(size, measured, name, what, *path, file=file)
            if figure is not None:
                found.append(Row(key, FRONT, what, f"control: {label}", figure, getattr(size, KINDS[what][3]), MEMBERSHIP))

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
    stretch = measured.get(measured.scale_file(size.nodes, "stretch") or "", "stretch")
    if stretch:
        over = f"over {stretch['changes']} changes and {stretch['restarts']} restarts"
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
            extrapolated(measured, f"membership-bytes-{name}", size.nodes, "bytes/s"),
            size.control_bytes,
            MEMBERSHIP,
        )
        for name, when in MEMBERSHIP_BY
    ] + [
        Row(
            key,
            FRONT,
            MESSAGES,
            f"control: {label}, simulated",
            measured.with_run_size("versions.json", figure, size.nodes),
            size.control_bytes,
            DISTRIBUTION if key == "configuration" else MEMBERSHIP,
        )
        for key, label, figure in (
            (key, label, measured.figure("versions.json", *path, unit="bytes/s")) for key, label, path in VERSIONS
        )
        if figure is not None
    ]


def sharing(size: Size, measured: Measurements) -> list[Row]:
    """Returns rows for sharing by the number of links that a node plays on, which determines its cost."""
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
    label = f"control: sharing, {size.assumption('servers-played-on'):,.0f} servers played on"
    return found + [
        Row("sharing", FRONT, what, label, by_links(size, measured, what), getattr(size, KINDS[what][3]), SHARING)
        for what in (MESSAGES, PROCESSOR)
    ]
