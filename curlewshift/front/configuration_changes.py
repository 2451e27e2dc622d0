"""The changes that new settings make to a running front, applied as one transaction: all of them or none.

The changes are first collected as steps, which modify nothing, and then applied in one call. Used by configuration_host.py. What
may change, and what happens to viewings in progress, is described in docs/operate-configuration.md.
"""

from __future__ import annotations

from math import inf

from curlewshift.limits.buckets import Buckets
from curlewshift.rules import MAX_RETRY_WAIT
from curlewshift.session_core.server_list import ServerList, Title
from curlewshift.site.changes import IN_SERVICE_PACKAGE_FIELDS
from curlewshift.site.site import Site

# Fields of Site that are replaced by those of the new site. Package objects stay the same and are changed in place.
REPLACED_SITE_FIELDS = ("obligations", "most_waiting", "ice_servers", "limits", "machines", "titles", "uplinks", "overload")


class ChangeSet:
    """Assignments that are applied together or not at all. All new values are built before the first one is applied."""

    def __init__(self):
        self.steps: list[tuple[object, str | None, object]] = []

    def set(self, target: object, name: str, value: object) -> None:
        self.steps.append((target, name, value))

    def replace_items(self, target: list, items: list) -> None:
        """Replaces the items of a list in place, because other objects refer to the same list."""
        self.steps.append((target, None, items))

    def apply(self) -> None:
        """Raises what a step raised, after the steps before it have been rolled back."""
        applied = []
        try:
            for target, name, value in self.steps:
                applied.append((target, name, list(target) if name is None else getattr(target, name)))
                self._apply_step(target, name, value)
        except Exception:
            for target, name, previous in reversed(applied):
                self._apply_step(target, name, previous)
            raise

    def _apply_step(self, target, name: str | None, value) -> None:
        if name is None:
            target[:] = value
        else:
            setattr(target, name, value)


def plan_changes(front, new: Site, changes: ChangeSet) -> None:
    """Adds to `changes` all steps that put `new` in force at the running front; modifies nothing itself."""
    site, session_core, rules, obligations = front.site, front.session_core, front.session_core.rules, new.obligations
    for package, new_package in zip(site.packages, new.packages):
        for name in IN_SERVICE_PACKAGE_FIELDS:
            changes.set(package, name, getattr(new_package, name))
    changes.set(front.http_listener, "way_back", obligations.way_back)
    changes.set(front.http_listener, "ice_servers", new.ice_servers)
    changes.set(session_core, "longest_wait", obligations.longest_wait)
    changes.set(session_core, "most_waiting", new.most_waiting)
    for name, value in (
        ("retry_wait", min(MAX_RETRY_WAIT, obligations.longest_wait)),
        ("max_tune_ins", obligations.most_tune_ins),
        ("free_further", inf if obligations.free_further is None else obligations.free_further),
        ("further_share", obligations.further_share),
        ("look_back", obligations.look_back),
    ):
        changes.set(rules, name, value)
    if new.limits is not None:
        _plan_limits(front.http_listener.admission, new.limits, front.now(), changes)
    if new.overload is not None:
        overload = front.shedding.overload
        for target in (overload, overload.advice, overload.retry_budget):
            changes.set(target, "terms", new.overload)
    changes.set(session_core.server_list, "uplinks", new.uplinks)
    for rack in session_core.server_list.racks.values():
        changes.set(rack.link, "size", new.uplinks.get(rack.name, inf))
    _plan_titles(
        session_core.server_list,
        new.titles,
        {viewing.title for viewing in session_core.front_sessions if not viewing.playing},
        changes,
    )
    for name in REPLACED_SITE_FIELDS:
        changes.set(site, name, getattr(new, name))


def _plan_limits(admission, bounds, now: int, changes: ChangeSet) -> None:
    """Tickets keep their places. Tokens that a source has taken from a bucket stay taken; a new bucket starts full."""
    buckets = {}
    for name in ("source", "holder", "build", "package"):
        rate = getattr(bounds, name)
        bucket = admission.buckets.get(name)
        if rate > 0:
            buckets[name] = bucket if bucket is not None else Buckets(rate, rate * bounds.burst, now)
            changes.set(buckets[name], "rate", rate)
            changes.set(buckets[name], "burst", max(1.0, rate * bounds.burst))
    changes.set(admission, "buckets", buckets)
    changes.set(admission, "bounds", bounds)
    changes.set(admission.prefixes, "default_rate", bounds.source or 10.0)
    changes.set(admission.queues, "timeout", bounds.queue_timeout)
    max_concurrency = float(bounds.max_concurrency)
    changes.set(admission.concurrency, "min_limit", min(8.0, max_concurrency))
    changes.set(admission.concurrency, "max_limit", max_concurrency)
    changes.set(admission.concurrency, "limit", min(admission.concurrency.limit, max_concurrency))


def _plan_titles(server_list: ServerList, titles: dict[str, tuple[str, ...]], waited_for: set[str], changes: ChangeSet) -> None:
    """Removed titles are not found by new requests. Requests that wait for one continue with its holders, which the server list
    keeps up to date, and viewings that play it continue."""
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
                changes.set(title, "shelves", shelves)
                changes.replace_items(title.holders, holders)
        new[name] = title
        for shelf in dict.fromkeys(shelves):
            on_shelf.setdefault(shelf, []).append(title)
    for name, title in server_list.titles.items():
        if name not in new and name in waited_for:
            for shelf in dict.fromkeys(title.shelves):
                on_shelf.setdefault(shelf, []).append(title)
    changes.set(server_list, "titles", new)
    changes.set(server_list, "on_shelf", on_shelf)
