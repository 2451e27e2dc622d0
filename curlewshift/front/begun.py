"""What a front begins with: its disk where that is whole, its file otherwise; and what is wrong with a content, in words.

Called by the command that starts a front, by the front for what comes later, and by control machines for what is put.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from curlewshift.distribution.copy import Copy
from curlewshift.distribution.versions import NO_VERSION, Version
from curlewshift.site.changes import RestartRequired, full_stop_changes, restart_required_changes
from curlewshift.site.reading import SiteErrors, read_xml
from curlewshift.site.site import SCHEMA, Site, read_site, site_of
from curlewshift.state.record_file import RecordFile

# A refusal is told over the channel and in tables: of more mistakes the first, and how many there are.
MOST_TOLD = 5
# Records in the state folder: what is in force, and what was refused as it needs a restart, for the next start.
NOW, NEXT = "configuration", "configuration-next"


@dataclass(slots=True)
class Begun:
    """What a front begins with. `path` is the file that it was given, `how` is `disk` or `file`, `cause` why not the disk."""

    path: Path
    site: Site
    how: str = "file"
    cause: str = ""
    held: Version | None = None
    copy: bytes | None = None

    @property
    def version(self) -> str:
        return (self.held or NO_VERSION).text


class Reading:
    """Outside of a copy that is only read: what the disk has, before there is a front."""

    def __init__(self, path: Path):
        self.path, self.site, self.cause = path, None, ""

    def now(self) -> int:
        return 0

    def check_configuration(self, content: bytes) -> str | None:
        try:
            self.site = read_site(self.path, content)
        except SiteErrors as wrong:
            return told(self.path, wrong)
        return None

    def apply_configuration(self, version: str, content: bytes) -> str | None:
        return None

    def in_force(self, version: Version, before: Version) -> None:
        pass

    def copy_unreadable(self, why: str) -> None:
        self.cause = f"what is on the disk cannot be used: {why}"

    def refuses(self, version: Version, why: str) -> None:
        self.cause = f"what is on the disk cannot be used: {why}"


def begin(
    path: Path, site: Site, state: Path | None, record_class: type[RecordFile] = RecordFile, copy_class: type[Copy] = Copy
) -> Begun:
    """From the disk where what is there is whole, and from the file (`site`, as read) otherwise."""
    if state is None or site.configuration is None:
        return Begun(path, site)
    begun = [_from_record(path, site, record_class(state / name), copy_class) for name in (NOW, NEXT)]
    held, after = begun
    if after.held is not None and (held.held is None or after.held.newer_than(held.held)):
        return after
    return held


def _from_record(path: Path, site: Site, record: RecordFile, copy_class: type[Copy]) -> Begun:
    raw = record.read()
    if raw is None:
        return Begun(path, site, cause=record.damage or "nothing is on the disk")
    reading = Reading(path)
    copy = copy_class(reading)
    if not copy.start(raw):
        return Begun(path, site, cause=reading.cause)
    return Begun(path, reading.site, "disk", "", copy.version, raw)


def told(path: Path, mistakes: SiteErrors) -> str:
    """The mistakes of a site file in one line, the first few of them."""
    lines = [f"{path.name}:{line}: {wrong}" for line, wrong in mistakes.errors]
    more = [f"and {len(lines) - MOST_TOLD} more"] if len(lines) > MOST_TOLD else []
    return "; ".join(lines[:MOST_TOLD] + more)


def checked(path: Path, running: Site, content: bytes) -> Site:
    """The site of this content, fit to take the place of the running one. Raises `SiteErrors`."""
    root = read_xml(path, SCHEMA, content)
    site = site_of(path, root)
    wrong = restart_required_changes(running, site, root)
    if wrong:
        raise (SiteErrors if full_stop_changes(running, site, root) else RestartRequired)(path, wrong)
    return site
