"""What of a new site file a running front may take in service, and what needs a restart. Free of I/O.

Asked by the control machine that makes a version, before anybody is told, and by each front again. Whatever is not listed here as
taken needs a restart: a part that is added to the settings is refused until somebody has thought of what becomes of the viewings
under way. docs/operate-configuration.md has the table for people.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields

from curlewshift.model import Package
from curlewshift.site.reading import SiteErrors
from curlewshift.site.site import Obligations, Site

# Lines and words, as in reading.SiteErrors.
Refusals = list[tuple[int, str]]
# Fields of Site that a front takes, perhaps by conditions below. The machines are the list's to tell; a front does not use them.
TAKEN = ("packages", "uplinks", "titles", "obligations", "most_waiting", "ice_servers", "limits", "machines")
IN_SERVICE_PACKAGE_FIELDS = ("value", "join_target", "patience", "floor", "top", "seats")
OF_OBLIGATIONS = ("way_back", "longest_wait", "most_tune_ins", "free_further", "further_share", "look_back", "grace")
# What all members have to have alike, or sums and majorities are no sums and majorities: one after another is not enough.
ALIKE = ("name", "front_addresses", "peers", "sharing", "together", "leases", "control", "configuration")
# Where a field is in the file, and what it is called there.
PLACES = {
    "name": ".",
    "front_addresses": "fronts/front",
    "list_at": "list",
    "most_connections": "fronts",
    "published": "packages",
    "token_keys": "fronts/tokens",
    "tls": "fronts/tls",
    "authority": "fronts/servers-tls",
    "peers": "fronts/peers",
    "sharing": "fronts/sharing",
    "together": "fronts/sharing",
    "leases": "fronts/leases",
    "overload": "fronts/overload",
    "control": "control",
    "configuration": "fronts/configuration",
}


class RestartRequired(SiteErrors):
    """There is nothing wrong with the file but that it cannot be in force before a restart."""


def restart_required_changes(running: Site, new: Site, root) -> Refusals:
    """What of `new` cannot be in force before a restart; `root` is its file's root element, for the lines."""
    wrong: Refusals = []
    for field in fields(Site):
        name = field.name
        before, after = getattr(running, name), getattr(new, name)
        if name == "packages":
            wrong += _packages(running, new, root)
        elif name == "obligations":
            wrong += _obligations(running, new, root)
        elif name == "limits":
            if (before is None) != (after is None):
                wrong.append((_line(root, "fronts/limits"), "limits: to begin or to end them needs a restart"))
        elif name == "titles":
            if before != after and running.together.seats:
                wrong.append((_line(root, "catalogue"), "catalogue: needs a restart, as fronts share the seats of each title"))
        elif name == "together" and running.sharing != new.sharing:
            # told once, by the element that both are in
            continue
        elif name == "overload":
            if before != after and not _follows(running, new):
                wrong.append((_line(root, PLACES[name]), "overload: needs a restart"))
        elif before != after and name not in TAKEN:
            place = PLACES[name]
            what = "needs all members stopped at once" if name in ALIKE else "needs a restart"
            wrong.append((_line(root, place), f"{place.rpartition('/')[2].replace('.', 'site')}: {what}"))
    return sorted(set(wrong))


def full_stop_changes(running: Site, new: Site, root) -> Refusals:
    """Of the same, what cannot be in force even by one restart after another: all have to be stopped."""
    wrong = {
        (_line(root, PLACES[name]), f"{PLACES[name].rpartition('/')[2].replace('.', 'site')}: needs all members stopped at once")
        for name in ALIKE
        if getattr(running, name) != getattr(new, name)
    }
    return sorted(wrong)


def _line(root, place: str) -> int:
    found = root if place == "." else root.find(place)
    while found is None and "/" in place:
        # it is left out in the new file: the line of what it was in
        place = place.rpartition("/")[0]
        found = root.find(place)
    return (root if found is None else found).sourceline


def _packages(running: Site, new: Site, root) -> Iterator[tuple[int, str]]:
    names, held = [package.name for package in running.packages], [package.name for package in new.packages]
    if names != held:
        yield _line(root, "packages"), "packages: to add, take away or reorder packages needs a restart"
        return
    lines = {element.get("name"): element.sourceline for element in root.iterfind("packages/package")}
    for before, after in zip(running.packages, new.packages):
        for field in fields(Package):
            name, line = field.name, lines[before.name]
            was, now = getattr(before, name), getattr(after, name)
            said = name.replace("_", "-").replace("rates", "the ladder or scale")
            if was == now:
                continue
            if name not in IN_SERVICE_PACKAGE_FIELDS:
                yield line, f"package {before.name}: {said} needs a restart"
            elif name == "floor" and now > was:
                # who waits now may have said that it takes no more than what would then be too little
                yield line, f"package {before.name}: a higher floor needs a restart; a lower one does not"
            elif name in ("value", "floor") and running.overload is not None:
                yield line, f"package {before.name}: {said} needs a restart where fronts shed: their order is made of it"
            elif name == "seats" and running.together.seats:
                yield line, f"package {before.name}: seats needs a restart, as fronts share them"


def _obligations(running: Site, new: Site, root) -> Iterator[tuple[int, str]]:
    shared = running.together.free is not None
    for field in fields(Obligations):
        name = field.name
        if getattr(running.obligations, name) == getattr(new.obligations, name):
            continue
        place = (
            "answers"
            if name in ("way_back", "longest_wait", "most_tune_ins")
            else "drains"
            if name == "grace"
            else "further-tune-ins"
            if name in ("free_further", "further_share", "look_back")
            else "news"
            if name in ("told_late", "told_every", "probes", "uplinks")
            else "cold-servers"
        )
        line = _line(root, f"obligations/{place}")
        if name not in OF_OBLIGATIONS:
            yield line, f"{place}: {name.replace('_', '-')} needs a restart"
        elif place == "further-tune-ins" and shared:
            yield line, "further-tune-ins: needs a restart, as fronts share their budget"
        elif place == "further-tune-ins" and (running.obligations.free_further is None) != (new.obligations.free_further is None):
            yield line, "further-tune-ins: to begin or to end the budget needs a restart"


def _follows(running: Site, new: Site) -> bool:
    """Whether nothing in <overload> changed, and only what it takes from the obligations did."""
    if running.overload is None or new.overload is None:
        return False
    ours, theirs = running.overload, new.overload
    return all(
        getattr(ours, field.name) == getattr(theirs, field.name)
        for field in fields(ours)
        if field.name not in ("longest_wait", "look_back")
    )
