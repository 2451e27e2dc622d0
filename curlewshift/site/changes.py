"""Decides which changes of a site file a running front can apply in service, and which need a restart. Free of I/O.

Used by the control machine that makes a version, before it is distributed, and by each front again. A field that is not listed
here as changeable needs a restart, so that a setting added later is refused until its effect on the viewings under way has been
considered. docs/operate-configuration.md has the table for operators.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields

from curlewshift.model import Package
from curlewshift.site.reading import SiteErrors
from curlewshift.site.site import Obligations, Site

# Pairs of line and text, as in reading.SiteErrors.
Refusals = list[tuple[int, str]]
# Fields of Site that a front changes in service, some under the conditions below. `machines` is among them as fronts do not use
# it: they learn the media servers from the server list.
IN_SERVICE_FIELDS = ("packages", "uplinks", "titles", "obligations", "most_waiting", "ice_servers", "limits", "machines")
IN_SERVICE_PACKAGE_FIELDS = ("value", "join_target", "patience", "floor", "top", "seats")
IN_SERVICE_OBLIGATIONS = ("way_back", "longest_wait", "most_tune_ins", "free_further", "further_share", "look_back", "grace")
# Fields that must be equal at all members, as shared budgets and majorities are computed from them: restarting one member after
# another would leave them unequal for a time.
COMMON_FIELDS = ("name", "front_addresses", "peers", "sharing", "together", "leases", "control", "configuration")
# The path of the element that holds each field; its last part names it in messages.
ELEMENT_PATHS = {
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
    """The file is valid, but changes settings that only apply after a restart."""


def restart_required_changes(running: Site, new: Site, root) -> Refusals:
    """The changes from `running` to `new` that need a restart; `root` is the root element of the new file, for line numbers."""
    refused: Refusals = []
    for field in fields(Site):
        name = field.name
        before, after = getattr(running, name), getattr(new, name)
        if name == "packages":
            refused += _packages(running, new, root)
        elif name == "obligations":
            refused += _obligations(running, new, root)
        elif name == "limits":
            if (before is None) != (after is None):
                refused.append((_line_of(root, "fronts/limits"), "limits: to begin or to end them needs a restart"))
        elif name == "titles":
            if before != after and running.together.seats:
                refused.append(
                    (_line_of(root, "catalogue"), "catalogue: needs a restart, as fronts share the seats of each title")
                )
        elif name == "together" and running.sharing != new.sharing:
            # reported once, for the element that both fields are read from
            continue
        elif name == "overload":
            if before != after and not _only_obligations_changed(running, new):
                refused.append((_line_of(root, ELEMENT_PATHS[name]), "overload: needs a restart"))
        elif before != after and name not in IN_SERVICE_FIELDS:
            path = ELEMENT_PATHS[name]
            requirement = "needs all members stopped at once" if name in COMMON_FIELDS else "needs a restart"
            refused.append((_line_of(root, path), f"{path.rpartition('/')[2].replace('.', 'site')}: {requirement}"))
    return sorted(set(refused))


def full_stop_changes(running: Site, new: Site, root) -> Refusals:
    """The changes that cannot be made by restarting members one after another: all must be stopped at once."""
    refused = {
        (
            _line_of(root, ELEMENT_PATHS[name]),
            f"{ELEMENT_PATHS[name].rpartition('/')[2].replace('.', 'site')}: needs all members stopped at once",
        )
        for name in COMMON_FIELDS
        if getattr(running, name) != getattr(new, name)
    }
    return sorted(refused)


def _line_of(root, path: str) -> int:
    found = root if path == "." else root.find(path)
    while found is None and "/" in path:
        # the element is absent from the new file: use the line of its parent
        path = path.rpartition("/")[0]
        found = root.find(path)
    return (root if found is None else found).sourceline


def _packages(running: Site, new: Site, root) -> Iterator[tuple[int, str]]:
    names, new_names = [package.name for package in running.packages], [package.name for package in new.packages]
    if names != new_names:
        yield _line_of(root, "packages"), "packages: to add, take away or reorder packages needs a restart"
        return
    lines = {element.get("name"): element.sourceline for element in root.iterfind("packages/package")}
    for before, after in zip(running.packages, new.packages):
        for field in fields(Package):
            name, line = field.name, lines[before.name]
            old_value, new_value = getattr(before, name), getattr(after, name)
            attribute = name.replace("_", "-").replace("rates", "the ladder or scale")
            if old_value == new_value:
                continue
            if name not in IN_SERVICE_PACKAGE_FIELDS:
                yield line, f"package {before.name}: {attribute} needs a restart"
            elif name == "floor" and new_value > old_value:
                # a waiting viewer may have sent a ceiling that is below the new floor
                yield line, f"package {before.name}: a higher floor needs a restart; a lower one does not"
            elif name in ("value", "floor") and running.overload is not None:
                yield line, f"package {before.name}: {attribute} needs a restart where fronts shed: their order is made of it"
            elif name == "seats" and running.together.seats:
                yield line, f"package {before.name}: seats needs a restart, as fronts share them"


def _obligations(running: Site, new: Site, root) -> Iterator[tuple[int, str]]:
    shared = running.together.free is not None
    for field in fields(Obligations):
        name = field.name
        if getattr(running.obligations, name) == getattr(new.obligations, name):
            continue
        element = (
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
        line = _line_of(root, f"obligations/{element}")
        if name not in IN_SERVICE_OBLIGATIONS:
            yield line, f"{element}: {name.replace('_', '-')} needs a restart"
        elif element == "further-tune-ins" and shared:
            yield line, "further-tune-ins: needs a restart, as fronts share their budget"
        elif element == "further-tune-ins" and (running.obligations.free_further is None) != (
            new.obligations.free_further is None
        ):
            yield line, "further-tune-ins: to begin or to end the budget needs a restart"


def _only_obligations_changed(running: Site, new: Site) -> bool:
    """True if the terms differ only in the fields that come from the obligations, and not in <overload> itself."""
    if running.overload is None or new.overload is None:
        return False
    terms_before, terms_after = running.overload, new.overload
    return all(
        getattr(terms_before, field.name) == getattr(terms_after, field.name)
        for field in fields(terms_before)
        if field.name not in ("longest_wait", "look_back")
    )
