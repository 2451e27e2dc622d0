"""Resources used in a stretch of a scale run: differences of two marks (snapshots of counters), by node and subsystem. No I/O.

Bytes and datagrams are those that the relays received from each node. Processor time comes from the nodes' own meters; their sum
is compared with the operating system's figure for the process. The rest, which no meter counts, is the event loop and the reading
of sockets, and is divided evenly among the nodes of a process.
"""

from __future__ import annotations

from statistics import mean

NS = 1_000_000_000
OTHER = "loop"
# Subsystem by kind of datagram (docs/peers.md); kinds under 16 are membership's.
SUBSYSTEM_OF_KIND = {16: "sharing", 17: "leases", 18: "leases", 20: "distribution"}


def subsystem_of(kind: int) -> str:
    return "membership" if kind < 16 else SUBSYSTEM_OF_KIND.get(kind, f"kind {kind}")


class Mark:
    """All counters at one moment. `relays` and `hollow` are the answers of these processes, `real` is processor time (s) by
    name of the real front."""

    def __init__(self, at: float, relays: list[dict], hollow: dict[int, dict], real: dict[str, float]):
        self.at, self.hollow, self.real = at, hollow, real
        # node -> part -> [datagrams, bytes]
        self.said: dict[str, dict[str, list[int]]] = {}
        for relay in relays:
            for name, kinds in relay["said"].items():
                sender_rows = self.said.setdefault(name, {})
                for kind, (datagrams, size) in kinds.items():
                    row = sender_rows.setdefault(subsystem_of(int(kind)), [0, 0])
                    row[0] += datagrams
                    row[1] += size
        self.handed: dict[str, list[int]] = {}
        for relay in relays:
            self.handed |= relay["handed"]
        self.relay_core = [relay["core"] for relay in relays]


class Stretch:
    """The time from one mark to another. Rates are per second; `core` is the fraction of one core."""

    def __init__(self, begun: Mark, ended: Mark):
        self.begun, self.ended = begun, ended
        self.duration = max(1e-9, ended.at - begun.at)

    def rate_of(self, name: str, part: str, column: int = 1) -> float:
        """Per second; `column` is 0 for datagrams and 1 for bytes."""
        before = self.begun.said.get(name, {}).get(part, (0, 0))[column]
        return (self.ended.said.get(name, {}).get(part, (0, 0))[column] - before) / self.duration

    def handed(self, name: str, column: int = 1) -> float:
        return (self.ended.handed.get(name, (0, 0))[column] - self.begun.handed.get(name, (0, 0))[column]) / self.duration

    def parts(self) -> list[str]:
        return sorted({part for rows in self.ended.said.values() for part in rows})

    def core(self, process: int) -> dict[str, dict[str, float]]:
        """node -> subsystem -> fraction of a core; `loop` is the unmetered rest, the same for each node of the process."""
        begun, ended = self.begun.hollow[process], self.ended.hollow[process]
        result: dict[str, dict[str, float]] = {}
        named = 0
        for name, parts in ended["nodes"].items():
            before = begun["nodes"].get(name, {})
            result[name] = {}
            for part, (core, _, _) in parts.items():
                spent = core - before.get(part, (0,))[0]
                named += spent
                if part != OTHER:
                    result[name][part] = spent / NS / self.duration
        rest = (ended["core"] - begun["core"] - named) / NS / self.duration / max(1, len(result))
        for parts in result.values():
            parts[OTHER] = max(0.0, rest)
        return result

    def real_core(self) -> dict[str, float]:
        return {name: (spent - self.begun.real.get(name, 0.0)) / self.duration for name, spent in self.ended.real.items()}


def spread(values: list[float], digits: int) -> dict:
    values = values or [0.0]
    return {"mean": round(mean(values), digits), "worst": round(max(values), digits)}


def per_node_figures(stretch: Stretch, names: list[str], processes: list[int], memory: dict[str, float] | None = None) -> dict:
    """Mean and worst figures of the named nodes, by subsystem and for `all` together."""
    wanted, result = set(names), {}
    cores = {name: parts for process in processes for name, parts in stretch.core(process).items() if name in wanted}
    for part in [*stretch.parts(), OTHER]:
        row = {}
        if part != OTHER:
            row["bytes_a_second"] = spread([stretch.rate_of(name, part) for name in names], 1)
            row["datagrams_a_second"] = spread([stretch.rate_of(name, part, 0) for name in names], 2)
        if cores:
            row["core"] = spread([parts.get(part, 0.0) for parts in cores.values()], 6)
        if memory and part in memory:
            row["memory_kB"] = memory[part]
        result[part] = row
    parts = stretch.parts()
    result["all"] = {
        "bytes_a_second": spread([sum(stretch.rate_of(name, part) for part in parts) for name in names], 1),
        "datagrams_a_second": spread([sum(stretch.rate_of(name, part, 0) for part in parts) for name in names], 2),
        "handed_bytes_a_second": spread([stretch.handed(name) for name in names], 1),
    }
    if cores:
        result["all"]["core"] = spread([sum(parts.values()) for parts in cores.values()], 6)
    return result


def relative_error(own: int, seen: int) -> float:
    """Relative difference between a node's own count and what the relays saw."""
    return abs(own - seen) / max(1, seen)
