"""Which prefix of the addresses a flood comes from. A trie over address bits with decaying counts. No I/O.

Whoever has one IPv6 address has a /64 of them, and often a /56 or /48 (RFC 6177), so that buckets by address hold nobody
back there. The trie has nodes at a few depths only; a node's count is that of all below it, and a source is named by its
widest prefix that asks for more than its share in many parts, or else by its usual one. Leaves that have gone quiet are cut off
when there are too many.
"""

from __future__ import annotations

import itertools
from ipaddress import ip_address
from math import exp

SECOND = 1_000_000_000
# Depths in bits, the last one what a source is usually named by: RFC 6177 for IPv6; an IPv4 address is one source.
DEPTHS_6, DEPTHS_4 = (32, 48, 56, 64), (16, 24, 32)
# A prefix may ask for so many times what one source may, for each step that it is wider.
WIDER = 4.0
COUNTS_FADE = 10 * SECOND
MOST_NODES = 100_000
QUIET = 0.05


class Node:
    __slots__ = ("at", "below", "count", "heaviest")

    def __init__(self, now: int):
        # `heaviest` is about the count of the part below that asks most
        self.count, self.at, self.heaviest = 0.0, now, 0.0
        self.below: dict[int, Node] = {}


class Prefixes:
    """`usual` is how many requests a second one source may ask for before its wider prefixes are looked at."""

    def __init__(self, usual: float, now: int, most: int = MOST_NODES):
        self.usual, self.most = usual, most
        self.roots = {4: Node(now), 6: Node(now)}
        self.nodes = 0

    def __len__(self) -> int:
        return self.nodes

    def source(self, address: str, now: int) -> str:
        """Counts one request, and names whom it counts for: a prefix, as text. What is no address is its own source."""
        try:
            held = ip_address(address.partition("%")[0])
        except ValueError:
            return address
        if held.version == 6 and held.ipv4_mapped is not None:
            held = held.ipv4_mapped
        depths, bits = (DEPTHS_4, 32) if held.version == 4 else (DEPTHS_6, 128)
        node, number = self.roots[held.version], int(held)
        path: list[tuple[int, Node, float]] = []
        upto = 0
        for step, depth in enumerate(depths):
            part = number >> (bits - depth) & ((1 << (depth - upto)) - 1)
            upto = depth
            below = node.below.get(part)
            if below is None:
                if self.nodes >= self.most:
                    self._cut(now)
                below = node.below[part] = Node(now)
                self.nodes += 1
            node = below
            fades = exp(-max(0, now - node.at) / COUNTS_FADE)
            node.count, node.heaviest, node.at = node.count * fades + 1, node.heaviest * fades, now
            path.append((depth, node, self.usual * WIDER ** (len(depths) - 1 - step) * COUNTS_FADE / SECOND))
        for (_, wider, _), (_, part_of_it, _) in itertools.pairwise(path):
            wider.heaviest = max(wider.heaviest, part_of_it.count)
        # one part alone that floods is named by itself: its neighbours have done nothing
        named = next((depth for depth, node, allowed in path if node.count - node.heaviest > allowed), depths[-1])
        prefix = number >> (bits - named) << (bits - named)
        return f"{ip_address(prefix) if held.version == 4 else ip_address(prefix.to_bytes(16, 'big'))}/{named}"

    def _cut(self, now: int) -> None:
        """Lets go of what has gone quiet; if that is too little, of all that was seen once."""
        for least in (QUIET, 1.01):
            for root in self.roots.values():
                self._cut_below(root, now, least)
            if self.nodes < self.most * 0.9:
                return
        for root in self.roots.values():
            root.below.clear()
        self.nodes = 0

    def _cut_below(self, node: Node, now: int, least: float) -> None:
        for part, below in list(node.below.items()):
            self._cut_below(below, now, least)
            if not below.below and below.count * exp(-max(0, now - below.at) / COUNTS_FADE) < least:
                del node.below[part]
                self.nodes -= 1
