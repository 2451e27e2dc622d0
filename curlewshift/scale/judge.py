"""Checks that membership views agree and are right, and that no healthy node was declared gone, from the relayed frames alone.

A frame carries its sender's life (the number of its process run; a restart is a new life), its incarnation and the digest of its
view (docs/peers.md). Which nodes run is known from the run's own record of starts, stops and kills; the expected digest follows
from that and from the life and incarnation that each node shows. No code of the program under test is used here.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from math import inf

# Periods after the end of a fault in which an affected node may still be declared gone or declare others gone.
GRACE_PERIODS = 16


def digest_of(name: str, life: int, incarnation: int) -> int:
    """One member's contribution to the digest of a view, combined by exclusive or (docs/peers.md)."""
    return int.from_bytes(blake2b(f"{name} {life} {incarnation}".encode(), digest_size=8).digest(), "big") >> 2


class VersionsSeen:
    """Configuration versions by node and time, as piggybacked on probes: up to one period after the node stored them."""

    def __init__(self):
        # by node, in its current life: (version, time first shown), rising
        self.versions_since: dict[str, list[tuple[tuple[int, int], float]]] = {}
        # highest over all lives of a name; after losing its disk a node may show none, but never an older one
        self.highest: dict[str, tuple[int, int]] = {}
        self.last: dict[str, tuple[int, int]] = {}
        self.digests: dict[tuple[int, int], str] = {}
        self.regressions: list[str] = []
        self.forks: list[str] = []

    def saw(self, name: str, life: int, version: list, at: float, datagram: int) -> None:
        """Records the version carried by datagram number `datagram`; relays may report datagrams out of order."""
        number, digest = (version[0], version[1]), version[2]
        if number == (0, 0):
            return
        if self.digests.setdefault(number, digest) != digest and len(self.forks) < 5:
            self.forks.append(f"{name} shows {digest} as {number}, and another showed {self.digests[number]}")
        later = (life, datagram) > self.last.get(name, (0, 0))
        if later:
            self.last[name] = life, datagram
            if number < self.highest.get(name, number):
                self.regressions.append(f"{name} shows {number} after {self.highest[name]}")
        versions_since = self.versions_since.setdefault(name, [])
        if not versions_since or number > versions_since[-1][0]:
            versions_since.append((number, at))
        self.highest[name] = max(number, self.highest.get(name, number))

    def down(self, name: str) -> None:
        self.versions_since.pop(name, None)

    def emptied(self, name: str) -> None:
        """Its disk is lost: it may restart from any version that it is given."""
        self.highest.pop(name, None)

    def reached(self, number: tuple[int, int], names: Iterable[str]) -> tuple[list[float], list[str]]:
        """Times at which the nodes first showed this version or a newer one, and the nodes that have not yet."""
        times, missing = [], []
        for name in names:
            at = next((at for held, at in self.versions_since.get(name, ()) if held >= number), None)
            if at is None:
                missing.append(name)
            else:
                times.append(at)
        return times, missing


class Judge:
    """Times are seconds of the machine's monotonic clock."""

    def __init__(self, period: float):
        self.grace_s = GRACE_PERIODS * period
        self.shown: dict[str, list] = {}
        self.running: set[str] = set()
        # by node: [start, end] of each fault
        self.affected: dict[str, list[list[float]]] = {}
        self.called_gone: dict[tuple[str, int], tuple[str, float]] = {}
        self.versions = VersionsSeen()

    # ---- actions of the run

    def fault_started(self, names: Iterable[str], at: float, down: bool) -> None:
        """The nodes are stopped or killed (`down`), or cut off."""
        for name in names:
            self.affected.setdefault(name, []).append([at, inf])
            if down:
                self.running.discard(name)
                self.shown.pop(name, None)
                self.versions.down(name)

    def fault_ended(self, names: Iterable[str], at: float) -> None:
        for name in names:
            for span in self.affected.get(name, ())[-1:]:
                span[1] = min(span[1], at)
            self.running.add(name)

    # ---- reports of the relays

    def saw(self, tick: dict) -> None:
        for name, row in tick["shown"].items():
            held = self.shown.get(name)
            if name in self.running and (held is None or (row[0], row[3]) > (held[0], held[3])):
                self.shown[name] = row
            if name in self.running and len(row) > 5:
                self.versions.saw(name, row[0], *row[5:])
        for name, life, by, at in tick["gone"]:
            self.called_gone.setdefault((name, life), (by, at))

    def wrong_views(self, groups: Iterable[set[str]]) -> int:
        """Number of running nodes whose view is not exactly the running members of their group, or that show no view yet."""
        wrong_count = 0
        for group in groups:
            there = [name for name in group if name in self.running]
            held = [self.shown.get(name) for name in there]
            if None in held:
                wrong_count += len(there)
                continue
            expected_digest = 0
            for name, row in zip(there, held):
                expected_digest ^= digest_of(name, row[0], row[1])
            wrong_count += sum(row[2] != expected_digest for row in held)
        return wrong_count

    def false_gone(self) -> list[str]:
        """Nodes declared gone while neither they nor the reporter were affected by a fault. Reports of a life that has ended are
        true."""
        found = []
        for (name, _life), (by, at) in sorted(self.called_gone.items()):
            if not self._was_affected(name, at) and not self._was_affected(by, at):
                found.append(f"{by} calls {name} gone")
        return found

    def _was_affected(self, name: str, at: float) -> bool:
        return any(began <= at <= ended + self.grace_s for began, ended in self.affected.get(name, ()))
