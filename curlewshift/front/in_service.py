"""What changes at a running front when other settings come into force: all at once or not at all.

Everything new is built as steps first, which change nothing; then all are made in one call. Called by configured.py beside this
file. What may change, and what becomes of the viewings under way, is in docs/operate-configuration.md.
"""

from __future__ import annotations

from math import inf

from curlewshift.limits.buckets import Buckets
from curlewshift.rules import MAX_RETRY_WAIT
from curlewshift.session_core.server_list import ServerList, Title
from curlewshift.site.changes import IN_SERVICE_PACKAGE_FIELDS
from curlewshift.site.site import Site

# Fields of Site that stand for what is in force where nothing else holds them; the packages' objects stay what they are.
STANDS = ("obligations", "most_waiting", "ice_servers", "limits", "machines", "titles", "uplinks", "overload")


class Swap:
    """Changes that are made all at once or not at all. Everything new is built before the first is made."""

    def __init__(self):
        self.steps: list[tuple[object, str | None, object]] = []

    def set(self, held: object, name: str, value: object) -> None:
        self.steps.append((held, name, value))

    def fill(self, held: list, items: list) -> None:
        """In place: others hold this very list."""
        self.steps.append((held, None, items))

    def carry_out(self) -> None:
        """Raises what a step raised, with all before it taken back."""
        done = []
        try:
            for held, name, value in self.steps:
                done.append((held, name, list(held) if name is None else getattr(held, name)))
                self._step(held, name, value)
        except Exception:
            for held, name, before in reversed(done):
                self._step(held, name, before)
            raise

    def _step(self, held, name: str | None, value) -> None:
        if name is None:
            held[:] = value
        else:
            setattr(held, name, value)


def in_service(front, new: Site, swap: Swap) -> None:
    """All that changes when `new` comes into force at the running front, as steps of the swap; nothing changes here."""
    site, session_core, rules, obligations = front.site, front.session_core, front.session_core.rules, new.obligations
    for before, after in zip(site.packages, new.packages):
        for name in IN_SERVICE_PACKAGE_FIELDS:
            swap.set(before, name, getattr(after, name))
    swap.set(front.door, "way_back", obligations.way_back)
    swap.set(front.door, "ice_servers", new.ice_servers)
    swap.set(session_core, "longest_wait", obligations.longest_wait)
    swap.set(session_core, "most_waiting", new.most_waiting)
    for name, value in (
        ("retry_wait", min(MAX_RETRY_WAIT, obligations.longest_wait)),
        ("max_tune_ins", obligations.most_tune_ins),
        ("free_further", inf if obligations.free_further is None else obligations.free_further),
        ("further_share", obligations.further_share),
        ("look_back", obligations.look_back),
    ):
        swap.set(rules, name, value)
    if new.limits is not None:
        _limits(front.door.admission, new.limits, front.now(), swap)
    if new.overload is not None:
        overload = front.sheds.overload
        for held in (overload, overload.advice, overload.retry_budget):
            swap.set(held, "terms", new.overload)
    swap.set(session_core.server_list, "uplinks", new.uplinks)
    for rack in session_core.server_list.racks.values():
        swap.set(rack.link, "size", new.uplinks.get(rack.name, inf))
    _catalogue(
        session_core.server_list,
        new.titles,
        {viewing.title for viewing in session_core.front_sessions if not viewing.playing},
        swap,
    )
    for name in STANDS:
        swap.set(site, name, getattr(new, name))


def _limits(admission, bounds, now: int, swap: Swap) -> None:
    """Tickets keep their places. What a source has used of a bucket stays used; a bucket that is new begins full."""
    buckets = {}
    for name in ("source", "holder", "build", "package"):
        rate = getattr(bounds, name)
        held = admission.buckets.get(name)
        if rate > 0:
            buckets[name] = held if held is not None else Buckets(rate, rate * bounds.burst, now)
            swap.set(buckets[name], "rate", rate)
            swap.set(buckets[name], "burst", max(1.0, rate * bounds.burst))
    swap.set(admission, "buckets", buckets)
    swap.set(admission, "bounds", bounds)
    swap.set(admission.prefixes, "default_rate", bounds.source or 10.0)
    swap.set(admission.queues, "timeout", bounds.queue_timeout)
    most = float(bounds.max_concurrency)
    swap.set(admission.concurrency, "min_limit", min(8.0, most))
    swap.set(admission.concurrency, "max_limit", most)
    swap.set(admission.concurrency, "limit", min(admission.concurrency.limit, most))


def _catalogue(server_list: ServerList, titles: dict[str, tuple[str, ...]], waited_for: set[str], swap: Swap) -> None:
    """A title that is gone is not found by new requests; those that wait for it go on with its holders, as they are told of
    by the list. One that plays plays on."""
    on_shelf: dict[str, list[Title]] = {}
    servers_on: dict[str, list] = {}
    for server, shelf in server_list.shelf_of.items():
        servers_on.setdefault(shelf, []).append(server)
    new: dict[str, Title] = {}
    for name, shelves in titles.items():
        title, shelves = server_list.titles.get(name), tuple(shelves)
        if title is None or title.shelves != shelves:
            holders = [server for shelf in dict.fromkeys(shelves) for server in servers_on.get(shelf, ())]
            if title is None:
                title = Title(name, shelves, holders)
            else:
                swap.set(title, "shelves", shelves)
                swap.fill(title.holders, holders)
        new[name] = title
        for shelf in dict.fromkeys(shelves):
            on_shelf.setdefault(shelf, []).append(title)
    for name, title in server_list.titles.items():
        if name not in new and name in waited_for:
            for shelf in dict.fromkeys(title.shelves):
                on_shelf.setdefault(shelf, []).append(title)
    swap.set(server_list, "titles", new)
    swap.set(server_list, "on_shelf", on_shelf)
