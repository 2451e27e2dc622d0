"""Finds the address prefix that a flood comes from: a trie over address bits with decaying counts. No I/O; times are ns.

A client with one IPv6 address has a /64, and often a /56 or /48 (RFC 6177), so that rate limits by single address have no
effect there. The trie has nodes at a few depths only, and the count of a node includes all nodes below it. A source is
named by its widest prefix that exceeds its allowance by requests from several of its parts, or else by its default
prefix. Leaves with few recent requests are pruned when there are too many nodes.
"""

from __future__ import annotations

import itertools
from ipaddress import ip_address
from math import exp

SECOND = 1_000_000_000
# Prefix lengths in bits; the last one is the default for naming a source: RFC 6177 for IPv6, the full address for IPv4.
DEPTHS_6, DEPTHS_4 = (32, 48, 56, 64), (16, 24, 32)
# The allowance of a prefix grows by this factor with each step that it is wider than the default.
WIDER_FACTOR = 4.0
COUNT_DECAY = 10 * SECOND
MAX_NODES = 100_000
# Leaves with a lower count are pruned first.
MIN_COUNT = 0.05


class Node:
    __slots__ = ("children", "count", "heaviest_child", "updated_at")

    def __init__(self, now: int):
        # `heaviest_child` approximates the highest count among the children
        self.count, self.updated_at, self.heaviest_child = 0.0, now, 0.0
        self.children: dict[int, Node] = {}


class Prefixes:
    """`default_rate` is the rate (requests per second) up to which a source is named by its default prefix."""

    def __init__(self, default_rate: float, now: int, max_nodes: int = MAX_NODES):
        self.default_rate, self.max_nodes = default_rate, max_nodes
        self.roots = {4: Node(now), 6: Node(now)}
        self.nodes = 0

    def __len__(self) -> int:
        return self.nodes

    def source(self, address: str, now: int) -> str:
        """Counts one request and returns its source: a prefix as text, or the text itself where it is not an address."""
        try:
            parsed = ip_address(address.partition("%")[0])
        except ValueError:
            return address
        if parsed.version == 6 and parsed.ipv4_mapped is not None:
            parsed = parsed.ipv4_mapped
        depths, bits = (DEPTHS_4, 32) if parsed.version == 4 else (DEPTHS_6, 128)
        node, value = self.roots[parsed.version], int(parsed)
        path: list[tuple[int, Node, float]] = []
        parent_depth = 0
        for step, depth in enumerate(depths):
            part = value >> (bits - depth) & ((1 << (depth - parent_depth)) - 1)
            parent_depth = depth
            child = node.children.get(part)
            if child is None:
                if self.nodes >= self.max_nodes:
                    self._prune(now)
                child = node.children[part] = Node(now)
                self.nodes += 1
            node = child
            decay = exp(-max(0, now - node.updated_at) / COUNT_DECAY)
            node.count, node.heaviest_child, node.updated_at = node.count * decay + 1, node.heaviest_child * decay, now
            path.append((depth, node, self.default_rate * WIDER_FACTOR ** (len(depths) - 1 - step) * COUNT_DECAY / SECOND))
        for (_, wider, _), (_, narrower, _) in itertools.pairwise(path):
            wider.heaviest_child = max(wider.heaviest_child, narrower.count)
        # the heaviest child does not count: if it floods alone it is named itself, and its neighbours are not affected
        prefix_length = next((depth for depth, node, allowed in path if node.count - node.heaviest_child > allowed), depths[-1])
        prefix = value >> (bits - prefix_length) << (bits - prefix_length)
        return f"{ip_address(prefix) if parsed.version == 4 else ip_address(prefix.to_bytes(16, 'big'))}/{prefix_length}"

    def _prune(self, now: int) -> None:
        """Removes leaves with few recent requests; if that frees too little, those seen only once; then everything."""
        for min_count in (MIN_COUNT, 1.01):
            for root in self.roots.values():
                self._prune_children(root, now, min_count)
            if self.nodes < self.max_nodes * 0.9:
                return
        for root in self.roots.values():
            root.children.clear()
        self.nodes = 0

    def _prune_children(self, node: Node, now: int, min_count: float) -> None:
        for part, child in list(node.children.items()):
            self._prune_children(child, now, min_count)
            if not child.children and child.count * exp(-max(0, now - child.updated_at) / COUNT_DECAY) < min_count:
                del node.children[part]
                self.nodes -= 1
