"""Converts a deployment's settings into `Terms`, and its list of servers in cells into `Server` objects.

Called by the bench's adapter and by the front node, which receive the same settings in two forms. Uses the standard
library alone.
"""

from __future__ import annotations

import hashlib
from math import inf

from curlewshift.model import Link, Package, Rack, Server, Terms

MS = 1_000_000


def placement_hash_of(name: str) -> int:
    """A 64-bit hash of a name that is the same at every front and in every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def _item_or(values, index, default):
    return values[index] if index < len(values) else default


def terms_of(settings: dict, now: int, seed: int) -> Terms:
    """Reads the terms from the settings; a missing key means that the deployment sets no such limit."""

    def section(name):
        value = settings.get(name)
        return value if isinstance(value, dict) else {}

    def ns(owner, name):
        return round((owner.get(name) or 0) * MS)

    extra, bounds, obligations = section("extra"), section("bounds"), section("obligations")
    ladder = extra.get("rung_kb") or [1.0]
    packages = []
    for index, row in enumerate(settings.get("classes") or []):
        scale = _item_or(extra.get("scale_by_class") or [], index, 1.0)
        top = min(_item_or(extra.get("top_by_class") or [], index, len(ladder) - 1), len(ladder) - 1)
        packages.append(
            Package(
                name=row["name"],
                value=row.get("gain", 1.0),
                join_target=ns(row, "goal_time_ms"),
                patience=ns(row, "give_up_ms"),
                paid_at_setup=row.get("effect", "unsafe") != "safe",
                rates=tuple(rate * scale for rate in ladder),
                floor=_item_or(extra.get("floor_by_class") or [], index, 0),
                top=top,
                seats=_item_or(extra.get("class_seats") or [], index, 0),
            )
        )
    longest_wait = ns(bounds, "max_retry_after_ms") if bounds.get("retry_after") else 0
    return Terms(
        now=now,
        seed=seed,
        me=settings.get("my_number") or 0,
        fronts=settings.get("balancers") or 1,
        packages=packages,
        racks_told="x1" in (section("telemetry").get("fields") or []),
        told_late=ns(extra, "told_late_ms"),
        max_tune_ins=bounds.get("max_attempts") or 1,
        probes=bool(bounds.get("probes")),
        longest_wait=longest_wait,
        warm_within=ns(obligations, "warm_within_ms"),
        start_capacity=obligations.get("start_capacity") or 0.0,
        fall_multiple=obligations.get("fall_multiple") or 0.0,
        fall_within=ns(obligations, "fall_ms"),
        free_further=obligations.get("free_resends") if obligations.get("look_back_ms") else None,
        further_share=obligations.get("budget_share") or 0.0,
        look_back=ns(obligations, "look_back_ms"),
    )


def use_of(report: dict[str, float]) -> tuple[float | None, float | None]:
    """The load of the server's link and of its rack's uplink by a load report, each None if not reported."""
    return report.get("x0", report.get("busy")), report.get("x1")


def move_to_rack(server: Server, rack: Rack) -> None:
    """Moves a server to another rack; the rates of its viewings move from the old uplink to the new one."""
    old = server.rack
    if server in old.servers:
        old.servers.remove(server)
    for link, sign in ((old.link, -1), (rack.link, 1)):
        link.own += sign * server.link.own
        link.own_rate_squares += sign * server.link.own_rate_squares
    for viewing in server.link.playing:
        old.link.playing.pop(viewing, None)
        rack.link.playing[viewing] = True
    server.rack = rack
    rack.servers.append(server)


class CellRange:
    """The servers in `span` consecutive cells from `base` on, as the list has them at the time of iteration."""

    __slots__ = ("base", "cells", "span")

    def __init__(self, cells: list[dict], base: int, span: int):
        self.cells, self.base, self.span = cells, base, min(span, len(cells))

    def __iter__(self):
        for cell in range(self.base, self.base + self.span):
            yield from self.cells[cell % len(self.cells)]

    def __len__(self) -> int:
        return sum(len(self.cells[cell % len(self.cells)]) for cell in range(self.base, self.base + self.span))


class Fleet:
    """The listed servers by name, with their cells and racks."""

    def __init__(self, settings: dict):
        extra = settings.get("extra") or {}
        self.servers: dict[str, Server] = {}
        self.racks: dict[int, Rack] = {}
        self.kinds = dict(zip(settings.get("flavors") or [], extra.get("kind_streams") or []))
        self.cells: list[dict[Server, bool]] = [{} for _ in range(max(1, extra.get("cells") or 1))]
        self.rack_count = extra.get("cabinets") or 1
        self.rack_size = extra.get("rack_kb") or inf
        self.size_per_weight = extra.get("kb_per_weight") or inf

    def holders(self, base: int, span: int) -> CellRange:
        return CellRange(self.cells, base, span)

    def server(self, name: str) -> Server:
        server = self.servers.get(name)
        if server is None:
            # a viewing was handed over at a server that no list names: it is counted, but nothing is sent to it
            server = Server(name, placement_hash_of(name), "", 0, self._rack(-1), Link(self.size_per_weight), open=False)
            self.servers[name] = server
        return server

    def place_listed(self, name: str, position: int, zone: str, kind: str, weight: float) -> Server:
        server = self.server(name)
        rack = self._rack(position % self.rack_count)
        server.zone = zone
        cell = self.cells[position % len(self.cells)]
        if server not in cell:
            self.remove_from_cell(server)
            cell[server] = True
        server.streams = self.kinds.get(kind, 0)
        server.link.size = weight * self.size_per_weight
        if server.rack is not rack:
            move_to_rack(server, rack)
        elif server not in rack.servers:
            rack.servers.append(server)
        return server

    def remove_from_cell(self, server: Server) -> None:
        """Takes the server out of its cell; it stays known."""
        for cell in self.cells:
            cell.pop(server, None)

    def lists(self, server: Server) -> bool:
        return any(server in cell for cell in self.cells)

    def forget(self, server: Server) -> None:
        """Drops a server that is gone, with no attempt outstanding and no viewing there."""
        self.remove_from_cell(server)
        del self.servers[server.name]
        if server in server.rack.servers:
            server.rack.servers.remove(server)

    def _rack(self, number: int) -> Rack:
        if number not in self.racks:
            self.racks[number] = Rack(number, Link(self.rack_size))
        return self.racks[number]
