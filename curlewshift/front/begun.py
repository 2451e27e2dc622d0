"""Which settings a front starts with (the stored copy if it is intact, the site file otherwise), and the check of new settings.

Used by the command that starts a front, by a running front for versions that arrive later, and by control machines for content
that an operator wants in force.
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

# A refusal is sent over the peer channel and shown in tables, so only the first errors are listed, with the number of the rest.
MAX_REPORTED_ERRORS = 5
# Record files in the state folder: the settings in force, and those that need a restart and are kept for the next start.
IN_FORCE_RECORD, NEXT_START_RECORD = "configuration", "configuration-next"


@dataclass(slots=True)
class StartupConfiguration:
    """The settings that a front starts with.

    `path` is the site file it was given, `how` is `disk` or `file`, `cause` says why the stored copy was not used, and `copy` is
    the raw stored record.
    """

    path: Path
    site: Site
    how: str = "file"
    cause: str = ""
    held_version: Version | None = None
    copy: bytes | None = None

    @property
    def version(self) -> str:
        return (self.held_version or NO_VERSION).text


class StoredCopyReader:
    """Driver of a `Copy` that only reads the stored record, before there is a front to apply it."""

    def __init__(self, path: Path):
        self.path, self.site, self.cause = path, None, ""

    def now(self) -> int:
        return 0

    def check_configuration(self, content: bytes) -> str | None:
        try:
            self.site = read_site(self.path, content)
        except SiteErrors as error:
            return told(self.path, error)
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
) -> StartupConfiguration:
    """The newer intact record of the state folder, or the site file (`site`, as read) if neither is usable."""
    if state is None or site.configuration is None:
        return StartupConfiguration(path, site)
    candidates = [
        _from_record(path, site, record_class(state / name), copy_class) for name in (IN_FORCE_RECORD, NEXT_START_RECORD)
    ]
    in_force, next_start = candidates
    if next_start.held_version is not None and (
        in_force.held_version is None or next_start.held_version.newer_than(in_force.held_version)
    ):
        return next_start
    return in_force


def _from_record(path: Path, site: Site, record: RecordFile, copy_class: type[Copy]) -> StartupConfiguration:
    raw = record.read()
    if raw is None:
        return StartupConfiguration(path, site, cause=record.damage or "nothing is on the disk")
    reader = StoredCopyReader(path)
    copy = copy_class(reader)
    if not copy.start(raw):
        return StartupConfiguration(path, site, cause=reader.cause)
    return StartupConfiguration(path, reader.site, "disk", "", copy.version, raw)


def told(path: Path, errors: SiteErrors) -> str:
    """The errors of a site file in one line: the first `MAX_REPORTED_ERRORS` of them, and how many more there are."""
    lines = [f"{path.name}:{line}: {error}" for line, error in errors.errors]
    more = [f"and {len(lines) - MAX_REPORTED_ERRORS} more"] if len(lines) > MAX_REPORTED_ERRORS else []
    return "; ".join(lines[:MAX_REPORTED_ERRORS] + more)


def checked(path: Path, running: Site, content: bytes) -> Site:
    """The site that this content describes, checked to be able to replace the running one.

    Raises `SiteErrors`; `RestartRequired` if the content is valid and only needs a restart.
    """
    root = read_xml(path, SCHEMA, content)
    site = site_of(path, root)
    errors = restart_required_changes(running, site, root)
    if errors:
        raise (SiteErrors if full_stop_changes(running, site, root) else RestartRequired)(path, errors)
    return site
