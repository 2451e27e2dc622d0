"""What a deployment states, made into terms and servers: the settings object, and the list of servers in cells.

Called by the bench's adapter and by the front node, which are told the same things in two forms. Standard library alone.
"""

from __future__ import annotations

import hashlib
from math import inf

from curlewshift.model import Link, Package, Rack, Server, Terms

MS = 1_000_000


def mark_of(name: str) -> int:
    """A number that every front makes alike from an id, whatever the process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def _nth(values, index, default):
    return values[index] if index < len(values) else default


def terms_of(settings: dict, now: int, seed: int) -> Terms:
    """The settings as terms; a missing key means that nothing of the kind is stated."""

    def part(name):
        value = settings.get(name)
        return value if isinstance(value, dict) else {}

    def ns(owner, name):
        return round((owner.get(name) or 0) * MS)

    extra, bounds, duty = part("extra"), part("bounds"), part("obligations")
    ladder = extra.get("rung_kb") or [1.0]
    packages = []
    for index, row in enumerate(settings.get("classes") or []):
        scale = _nth(extra.get("scale_by_class") or [], index, 1.0)
        top = min(_nth(extra.get("top_by_class") or [], index, len(ladder) - 1), len(ladder) - 1)
        packages.append(
            Package(
                name=row["name"],
                value=row.get("gain", 1.0),
                join_target=ns(row, "goal_time_ms"),
                patience=ns(row, "give_up_ms"),
                paid_at_setup=row.get("effect", "unsafe") != "safe",
                rates=tuple(rate * scale for rate in ladder),
                floor=_nth(extra.get("floor_by_class") or [], index, 0),
                top=top,
                seats=_nth(extra.get("class_seats") or [], index, 0),
            )
        )
    longest = ns(bounds, "max_retry_after_ms") if bounds.get("retry_after") else 0
    return Terms(
        now=now,
        seed=seed,
        me=settings.get("my_number") or 0,
        fronts=settings.get("balancers") or 1,
        packages=packages,
        racks_told="x1" in (part("telemetry").get("fields") or []),
        told_late=ns(extra, "told_late_ms"),
        max_tune_ins=bounds.get("max_attempts") or 1,
        probes=bool(bounds.get("probes")),
        longest_wait=longest,
        warm_within=ns(duty, "warm_within_ms"),
        start_capacity=duty.get("start_capacity") or 0.0,
        fall_multiple=duty.get("fall_multiple") or 0.0,
        fall_within=ns(duty, "fall_ms"),
        free_further=duty.get("free_resends") if duty.get("look_back_ms") else None,
        further_share=duty.get("budget_share") or 0.0,
        look_back=ns(duty, "look_back_ms"),
    )


def use_of(report: dict[str, float]) -> tuple[float | None, float | None]:
    """How full a load report says that the server's link and its rack's uplink are; None where it does not say."""
    return report.get("x0", report.get("busy")), report.get("x1")


def move(server: Server, rack: Rack) -> None:
    """To another rack; what plays there moves its claim along with the machine."""
    old = server.rack
    if server in old.servers:
        old.servers.remove(server)
    for link, sign in ((old.link, -1), (rack.link, 1)):
        link.own += sign * server.link.own
        link.own_squares += sign * server.link.own_squares
    for viewing in server.link.playing:
        old.link.playing.pop(viewing, None)
        rack.link.playing[viewing] = True
    server.rack = rack
    rack.servers.append(server)


class Span:
    """The servers at `span` cells in a row from `base`, whatever the list has there by now."""

    __slots__ = ("base", "cells", "span")

    def __init__(self, cells: list[dict], base: int, span: int):
        self.cells, self.base, self.span = cells, base, min(span, len(cells))

    def __iter__(self):
        for cell in range(self.base, self.base + self.span):
            yield from self.cells[cell % len(self.cells)]

    def __len__(self) -> int:
        return sum(len(self.cells[cell % len(self.cells)]) for cell in range(self.base, self.base + self.span))


class Fleet:
    """Servers by the name that the list gives them, in the cells and racks where it says that they stand."""

    def __init__(self, settings: dict):
        extra = settings.get("extra") or {}
        self.servers: dict[str, Server] = {}
        self.racks: dict[int, Rack] = {}
        self.kinds = dict(zip(settings.get("flavors") or [], extra.get("kind_streams") or []))
        self.cells: list[dict[Server, bool]] = [{} for _ in range(max(1, extra.get("cells") or 1))]
        self.rack_count = extra.get("cabinets") or 1
        self.rack_size = extra.get("rack_kb") or inf
        self.size_of_one = extra.get("kb_per_weight") or inf

    def holders(self, base: int, span: int) -> Span:
        return Span(self.cells, base, span)

    def server(self, name: str) -> Server:
        server = self.servers.get(name)
        if server is None:
            # handed over on a machine that no list named: it is counted, but sent nothing
            server = Server(name, mark_of(name), "", 0, self._rack(-1), Link(self.size_of_one), open=False)
            self.servers[name] = server
        return server

    def listed(self, name: str, position: int, zone: str, kind: str, weight: float) -> Server:
        server = self.server(name)
        rack = self._rack(position % self.rack_count)
        server.zone = zone
        cell = self.cells[position % len(self.cells)]
        if server not in cell:
            self.unlisted(server)
            cell[server] = True
        server.streams = self.kinds.get(kind, 0)
        server.link.size = weight * self.size_of_one
        if server.rack is not rack:
            move(server, rack)
        elif server not in rack.servers:
            rack.servers.append(server)
        return server

    def unlisted(self, server: Server) -> None:
        for cell in self.cells:
            cell.pop(server, None)

    def lists(self, server: Server) -> bool:
        return any(server in cell for cell in self.cells)

    def forget(self, server: Server) -> None:
        """Gone, with nothing out or playing there."""
        self.unlisted(server)
        del self.servers[server.name]
        if server in server.rack.servers:
            server.rack.servers.remove(server)

    def _rack(self, number: int) -> Rack:
        if number not in self.racks:
            self.racks[number] = Rack(number, Link(self.rack_size))
        return self.racks[number]
