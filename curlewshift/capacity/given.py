"""What a node gives for control at a size, by subsystem and together: bytes out, processor time, memory, quiet and after faults.

From a scale run of the size's nodes; what that run left out is not measured here.
"""

from __future__ import annotations

from curlewshift.capacity.figures import Figure, supposed, together
from curlewshift.capacity.measured import Measured, a_second, carried
from curlewshift.capacity.rows import FRONT, MEMORY, MESSAGES, PROCESSOR, Mechanism, Row
from curlewshift.capacity.size import Size

MEMBERSHIP = Mechanism("curlewshift/peering/channel.py", "class Channel")
SHARING = Mechanism("curlewshift/peering/shared.py", "class SharedWire")
LEASES = Mechanism("curlewshift/peering/leased.py", "class LeaseWire")
OVERLOAD = Mechanism("curlewshift/peering/overloaded.py", "class OverloadWire")
DISTRIBUTION = Mechanism("curlewshift/peering/distributed.py", "class DistributionWire")
STORE = Mechanism("curlewshift/distribution/store.py", "class Store")
WRITER = Mechanism("curlewshift/distribution/writer.py", "class Writer")
GIVER = Mechanism("curlewshift/distribution/giving.py", "class Giver")
REPORTS = Mechanism("curlewshift/distribution/reports.py", "class Reporter")
# What carries configuration, all of which came with distribution.
DISTRIBUTED = (DISTRIBUTION, STORE, WRITER, GIVER, REPORTS)
# Control's parts of a node, as a scale run counts them: (name there, key of its rows, what carries it).
SUBSYSTEMS = (("membership", "membership", MEMBERSHIP), ("sharing", "sharing", SHARING), ("leases", "leases", LEASES),
              ("distribution", "configuration", DISTRIBUTION))
# Where each kind stands in a part of the run, and its unit here; the bound is the size's.
KINDS = {MESSAGES: (("bytes_a_second", "mean"), "bytes/s", 1.0, "control_bytes"),
         PROCESSOR: (("core", "mean"), "cores", 1.0, "control_core"),
         MEMORY: (("memory_kB",), "MB", 0.001, "control_memory")}
BYTES_BY_LINKS, CORE_BY_LINKS = "sharing-bytes-by-links", "sharing-time-by-links"
# Membership by the number of nodes, in virtual time: slope and when.
MEMBERSHIP_BY = (("quiet", "at rest"), ("zone-lost", "after a zone was lost"), ("regions-apart", "while regions are apart"),
                 ("agreed-again", "just after they have agreed again"))


def subsystem(size: Size, measured: Measured, name: str, what: str, *way: str | int) -> Figure | None:
    """Of one part of a node, at the end of a way in the run's file (`a_node` if none is said). Sharing counts only where all
    nodes of the run shared: a mean over nodes of which some did says nothing of one that does."""
    file = measured.scale(size.nodes)
    if file is None:
        return None
    sharing = measured.get(file, "model", "sharing", "nodes")
    if name == "sharing" and sharing is not None and sharing < (measured.get(file, "nodes") or 0):
        return None
    kind, unit, by, _ = KINDS[what]
    return measured.figure(file, *(way or ("a_node",)), name, *kind, unit=unit, by=by)


def whole(size: Size, measured: Measured, what: str) -> Figure | None:
    """All parts together; None where one of them is not measured."""
    return together([subsystem(size, measured, name, what) for name, _, _ in SUBSYSTEMS])


def rows(size: Size, measured: Measured) -> list[Row]:
    found = []
    for what, (_, _, _, bound) in KINDS.items():
        out = " out" if what == MESSAGES else ""
        for name, key, mechanism in SUBSYSTEMS:
            found.append(Row(key, FRONT, what, f"control: {name}{out}", subsystem(size, measured, name, what),
                             getattr(size, bound), mechanism))
        found.append(Row("control-together", FRONT, what, f"control: all four together{out}", whole(size, measured, what),
                         getattr(size, bound), MEMBERSHIP))
    found.append(Row("overload", FRONT, MESSAGES, "control: overload out, a round each second for each zone of servers", supposed(
        size.zones * size.guess("round-word-bytes"), "bytes/s"), size.control_bytes, OVERLOAD))
    return found + of_changes(size, measured) + after_faults(size, measured) + simulated(size, measured) + sharing(size, measured)


def of_changes(size: Size, measured: Measured) -> list[Row]:
    """Over a stretch with changes and restarts: what distribution takes, and what all parts that ran took together."""
    file = measured.scale(size.nodes)
    if file is None or not measured.get(file, "stretch"):
        return []
    found, parts = [], ", ".join(name for name, *_ in SUBSYSTEMS if measured.get(file, "stretch", "a_node", name))
    words = f"over {measured.get(file, 'stretch', 'changes')} changes and {measured.get(file, 'stretch', 'restarts')} restarts"
    for what, (_, _, _, bound) in list(KINDS.items())[:2]:
        for name, key, says in (("distribution", "configuration", "distribution"), ("all", "control-together", f"all that ran ({parts})")):
            found.append(Row(key, FRONT, what, f"control: {says}, {words}", subsystem(
                size, measured, name, what, "stretch", "a_node"), getattr(size, bound), DISTRIBUTION))
    return found


def after_faults(size: Size, measured: Measured) -> list[Row]:
    """Bytes out on days when something happens, of membership, which tells of it, and of configuration, which is late then."""
    found, file = [], measured.scale(size.nodes)
    for place, fault in enumerate((measured.get(file, "faults") or []) if file else []):
        for when in ("while", "after"):
            for name, key, mechanism in SUBSYSTEMS:
                figure = subsystem(size, measured, name, MESSAGES, "faults", place, when)
                if figure is not None and key in ("membership", "configuration"):
                    lasted = measured.get(file, "faults", place, when, "lasted_s")
                    words = f"control: {name} out, {when} {fault['kind']}" + (f", over {lasted:.0f} s" if lasted else "")
                    found.append(Row(key, FRONT, MESSAGES, words, figure, size.control_bytes, mechanism))
    return found


def simulated(size: Size, measured: Measured) -> list[Row]:
    return [Row("membership", FRONT, MESSAGES, f"control: membership out, {when}", carried(
        measured, f"membership-bytes-{name}", size.nodes, "bytes/s"), size.control_bytes, MEMBERSHIP)
            for name, when in MEMBERSHIP_BY]


def sharing(size: Size, measured: Measured) -> list[Row]:
    """By the links that a node plays on, which is what sharing grows with."""
    found, sizes = [], measured.get("shared.json", "sizes") or []
    if sizes:
        plays = sizes[-1]["plays_on"]
        found.append(Row("sharing", FRONT, MESSAGES, f"control: sharing out, {plays} servers played on", measured.figure(
            "shared.json", "sizes", len(sizes) - 1, "bytes_a_second", unit="bytes/s"), size.control_bytes, SHARING))
    links = size.guess("servers-played-on")
    return found + [
        Row("sharing", FRONT, MESSAGES, f"control: sharing out, {links:,.0f} servers played on",
            carried(measured, BYTES_BY_LINKS, links, "bytes/s"), size.control_bytes, SHARING),
        Row("sharing", FRONT, PROCESSOR, f"control: sharing, {links:,.0f} servers played on",
            a_second(measured, CORE_BY_LINKS, links), size.control_core, SHARING)]
