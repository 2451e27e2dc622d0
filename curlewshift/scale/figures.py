"""What was spent in a stretch of a scale run: differences of two marks, by node and subsystem. No I/O.

Bytes and datagrams are those that the relays saw come from each node; processor time is by the nodes' own meters, whose sum is
held to the machine's word on each process: what the meters do not name is the loop and the reading of sockets, shared by all of
a process.
"""

from __future__ import annotations

from statistics import mean

NS = 1_000_000_000
OTHER = "loop"
# Which subsystem a kind of datagram is of (docs/peers.md: under 16 membership's).
KINDS = {16: "sharing", 17: "leases", 18: "leases", 20: "distribution"}


def part_of(kind: int) -> str:
    return "membership" if kind < 16 else KINDS.get(kind, f"kind {kind}")


class Mark:
    """All counters at one moment. `relays` and `hollow` are what these processes answered, `real` is processor time (s) by
    name."""

    def __init__(self, at: float, relays: list[dict], hollow: dict[int, dict], real: dict[str, float]):
        self.at, self.hollow, self.real = at, hollow, real
        # node -> part -> [datagrams, bytes]
        self.said: dict[str, dict[str, list[int]]] = {}
        for relay in relays:
            for name, kinds in relay["said"].items():
                mine = self.said.setdefault(name, {})
                for kind, (datagrams, size) in kinds.items():
                    row = mine.setdefault(part_of(int(kind)), [0, 0])
                    row[0] += datagrams
                    row[1] += size
        self.handed: dict[str, list[int]] = {}
        for relay in relays:
            self.handed |= relay["handed"]
        self.relay_core = [relay["core"] for relay in relays]


class Stretch:
    """From one mark to another. Rates are a second; `core` is the part of one core."""

    def __init__(self, begun: Mark, ended: Mark):
        self.begun, self.ended = begun, ended
        self.lasted = max(1e-9, ended.at - begun.at)

    def bytes_of(self, name: str, part: str, which: int = 1) -> float:
        """`which`: 0 for datagrams."""
        before = self.begun.said.get(name, {}).get(part, (0, 0))[which]
        return (self.ended.said.get(name, {}).get(part, (0, 0))[which] - before) / self.lasted

    def handed(self, name: str, which: int = 1) -> float:
        return (self.ended.handed.get(name, (0, 0))[which] - self.begun.handed.get(name, (0, 0))[which]) / self.lasted

    def parts(self) -> list[str]:
        return sorted({part for rows in self.ended.said.values() for part in rows})

    def core(self, process: int) -> dict[str, dict[str, float]]:
        """node -> part -> part of a core; `loop` is what no meter names, the same for each node of the process."""
        begun, ended = self.begun.hollow[process], self.ended.hollow[process]
        told: dict[str, dict[str, float]] = {}
        named = 0
        for name, parts in ended["nodes"].items():
            before = begun["nodes"].get(name, {})
            told[name] = {}
            for part, (core, _, _) in parts.items():
                spent = core - before.get(part, (0,))[0]
                named += spent
                if part != OTHER:
                    told[name][part] = spent / NS / self.lasted
        rest = (ended["core"] - begun["core"] - named) / NS / self.lasted / max(1, len(told))
        for parts in told.values():
            parts[OTHER] = max(0.0, rest)
        return told

    def real_core(self) -> dict[str, float]:
        return {name: (spent - self.begun.real.get(name, 0.0)) / self.lasted for name, spent in self.ended.real.items()}


def spread(values: list[float], digits: int) -> dict:
    values = values or [0.0]
    return {"mean": round(mean(values), digits), "worst": round(max(values), digits)}


def a_node(stretch: Stretch, names: list[str], processes: list[int], memory: dict[str, float] | None = None) -> dict:
    """By part, and `all` together, over the nodes named."""
    wanted, told = set(names), {}
    cores = {name: parts for process in processes for name, parts in stretch.core(process).items() if name in wanted}
    for part in [*stretch.parts(), OTHER]:
        row = {}
        if part != OTHER:
            row["bytes_a_second"] = spread([stretch.bytes_of(name, part) for name in names], 1)
            row["datagrams_a_second"] = spread([stretch.bytes_of(name, part, 0) for name in names], 2)
        if cores:
            row["core"] = spread([parts.get(part, 0.0) for parts in cores.values()], 6)
        if memory and part in memory:
            row["memory_kB"] = memory[part]
        told[part] = row
    parts = stretch.parts()
    told["all"] = {
        "bytes_a_second": spread([sum(stretch.bytes_of(name, part) for part in parts) for name in names], 1),
        "datagrams_a_second": spread([sum(stretch.bytes_of(name, part, 0) for part in parts) for name in names], 2),
        "handed_bytes_a_second": spread([stretch.handed(name) for name in names], 1),
    }
    if cores:
        told["all"]["core"] = spread([sum(parts.values()) for parts in cores.values()], 6)
    return told


def off(own: int, seen: int) -> float:
    """By what part of what was seen a node's own count is off."""
    return abs(own - seen) / max(1, seen)
