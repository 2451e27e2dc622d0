"""The server list as this front holds it, and which servers hold which title.

Called by the session core alone. A list is identified by its epoch (one run of the list service) and a generation in it.
Rows arrive decoded and valid; here their server names are resolved to objects.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from curlewshift.deployment import move_to_rack, placement_hash_of
from curlewshift.model import Link, ListedServer, Rack, Server

OPEN = "on"
DRAINING = "fading"
GONE = "off"


@dataclass(slots=True)
class ServerEntry:
    """One row of the list. `started` is in ns of the driver's clock, 0 for long ago; `link` is in kB/s; `shelf` is the
    server's place in its rack."""

    server: str
    state: str
    started: int = 0
    zone: str = ""
    rack: str = ""
    link: float = inf
    streams: int = 0
    shelf: str = ""


@dataclass(eq=False, slots=True)
class Title:
    name: str
    shelves: tuple[str, ...]
    holders: list[Server] = field(default_factory=list)


class ServerList:
    """`uplinks` has the size by rack (kB/s), `titles` the shelves that hold each title (one or several servers each)."""

    def __init__(self, uplinks: dict[str, float], titles: dict[str, tuple[str, ...]]):
        self.uplinks = uplinks
        self.titles = {name: Title(name, tuple(shelves)) for name, shelves in titles.items()}
        self.on_shelf: dict[str, list[Title]] = {}
        for title in self.titles.values():
            for shelf in dict.fromkeys(title.shelves):
                self.on_shelf.setdefault(shelf, []).append(title)
        self.servers: dict[str, Server] = {}
        self.shelf_of: dict[Server, str] = {}
        self.racks: dict[str, Rack] = {}
        self.epoch, self.generation = "", -1

    # ---- updates; each returns the lines for the rules, or None if the update is outdated

    def full(self, epoch: str, generation: int, rows: list[ServerEntry]) -> list[ListedServer] | None:
        """The full list: servers missing from it are gone. An older list of the same epoch is ignored."""
        if epoch == self.epoch and generation < self.generation:
            return None
        self.epoch, self.generation = epoch, generation
        listed_names = {row.server for row in rows}
        lines = [self._entry(row) for row in rows]
        for server in list(self.servers.values()):
            if server.name not in listed_names:
                self._set_shelf(server, None)
                lines.append(ListedServer(server, False, server.started))
        return lines

    def change(self, epoch: str, since: int, generation: int, rows: list[ServerEntry]) -> list[ListedServer] | None:
        """Changes since the list held. Raises `ListGap` if they do not follow on that list."""
        if epoch == self.epoch and generation <= self.generation:
            return None
        if epoch != self.epoch or since != self.generation:
            raise ListGap(f"list held is {self.epoch!r} {self.generation}, changes received are since {epoch!r} {since}")
        self.generation = generation
        return [self._entry(row) for row in rows]

    def lists(self, server: Server) -> bool:
        return server in self.shelf_of

    def forget(self, server: Server) -> None:
        self._set_shelf(server, None)
        del self.servers[server.name]
        if server in server.rack.servers:
            server.rack.servers.remove(server)

    # ---- names to objects

    def _entry(self, row: ServerEntry) -> ListedServer:
        server = self.servers.get(row.server)
        rack = self._rack(row.rack)
        if server is None:
            server = Server(row.server, placement_hash_of(row.server), row.zone, row.streams, rack, Link(row.link))
            self.servers[row.server] = server
            rack.servers.append(server)
        elif row.state != GONE:
            server.zone, server.streams, server.link.size = row.zone, row.streams, row.link
            if server.rack is not rack:
                move_to_rack(server, rack)
        self._set_shelf(server, None if row.state == GONE else row.shelf)
        return ListedServer(server, row.state == OPEN, row.started)

    def _rack(self, name: str) -> Rack:
        if name not in self.racks:
            self.racks[name] = Rack(len(self.racks), Link(self.uplinks.get(name, inf)), name=name)
        return self.racks[name]

    def _set_shelf(self, server: Server, shelf: str | None) -> None:
        held = self.shelf_of.get(server)
        if held == shelf:
            return
        for title in self.on_shelf.get(held, ()):
            title.holders.remove(server)
        self.shelf_of.pop(server, None)
        if shelf is not None:
            self.shelf_of[server] = shelf
            for title in self.on_shelf.get(shelf, ()):
                title.holders.append(server)


class ListGap(Exception):
    """Changes of the list that do not follow on the list held."""
