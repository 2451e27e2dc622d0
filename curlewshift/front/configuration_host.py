"""Applies a new version of the settings to a running front: it is checked and prepared completely, then put in force at once.

Created by the front if the settings have <configuration>. The distribution layer (curlewshift/peering/distributed.py) passes it
the versions that arrive. Changes that are not possible in service are refused with a reason by curlewshift/site/changes.py, and
the front continues with the version that was in force.
"""

from __future__ import annotations

from pathlib import Path

import anyio
import zstandard

from curlewshift.distribution.copy import ENCODER, FORM, StoredCopy
from curlewshift.distribution.versions import NO_VERSION
from curlewshift.front.begun import IN_FORCE_RECORD, NEXT_START_RECORD, StartupConfiguration, checked, told
from curlewshift.front.configuration_changes import ChangeSet, plan_changes
from curlewshift.site.changes import IN_SERVICE_PACKAGE_FIELDS, RestartRequired
from curlewshift.site.reading import SiteErrors
from curlewshift.site.site import Site
from curlewshift.state.record_file import RecordFile

NS = 1_000_000_000


class ConfigurationHost:
    """The front's side of the distribution of settings: checks, applies and stores versions."""

    change_set_class = ChangeSet
    record_class = RecordFile
    checked = staticmethod(checked)

    def __init__(self, front, startup: StartupConfiguration, state: Path | None):
        self.front, self.startup, self.log = front, startup, front.log
        self.version = startup.version
        self.record = self.record_class(state / IN_FORCE_RECORD) if state is not None else None
        self.next_start_record = self.record_class(state / NEXT_START_RECORD) if state is not None else None
        self.write_pending = anyio.Event()
        self.wire = None
        self.last_checked: tuple[bytes, Site] | None = None

    async def run(self) -> None:
        """Flushes the stored record in a thread. Records go to the page cache at once and are flushed here, because a stalled
        disk must not delay viewers."""
        while True:
            await self.write_pending.wait()
            self.write_pending = anyio.Event()
            try:
                await anyio.to_thread.run_sync(self.record.flush, abandon_on_cancel=True)
            except OSError as error:
                self.log.warning("configuration-not-kept", cause=str(error))

    async def start(self) -> None:
        """Call before the listener opens. Without a usable stored copy, requests the version from the peers for up to
        `start_within` of the settings; if none has it, the site file's settings stay in force."""
        source, cause = self.startup.how, self.startup.cause
        if source != "disk":
            timeout_s = self.front.site.configuration.start_within / NS
            await self.wire.start_from_peers(timeout_s)
            if self.version != NO_VERSION.text:
                source = "peers"
            else:
                cause += "; no peer had a version that could be applied"
        self.log.info("configuration-start", how=source, version=self.version, cause=cause)

    # ---- called by the distribution layer

    def check_configuration(self, content: bytes) -> str | None:
        try:
            self.last_checked = content, self.checked(self.startup.path, self.front.site, content)
        except RestartRequired as error:
            self._keep_for_next_start(content)
            return told(self.startup.path, error)
        except SiteErrors as error:
            return told(self.startup.path, error)
        return None

    def _keep_for_next_start(self, content: bytes) -> None:
        if self.next_start_record is None or self.wire is None:
            return
        kept = StoredCopy(FORM, tuple(self.wire.copy.held), zstandard.ZstdCompressor().compress(content))
        try:
            self.next_start_record.write(ENCODER.encode(kept))
        except OSError as error:
            self.log.warning("configuration-not-kept", cause=str(error))

    def apply_configuration(self, version: str, content: bytes) -> str | None:
        if version == self.version:
            # the stored version, with which this front started
            return None
        if self.last_checked is None or self.last_checked[0] is not content:
            self.last_checked = None
            error = self.check_configuration(content)
        else:
            # the distribution layer has just had it checked; parsing a large file twice would delay viewers twice
            error = None
        if error is None:
            try:
                changes = self.change_set_class()
                plan_changes(self.front, self.last_checked[1], changes)
                changes.apply()
            except Exception as fault:
                self.log.error("fault", what="a new configuration", version=version, cause=repr(fault), exc_info=fault)
                error = f"a fault while it was taken, and what was in force before is again: {fault!r}"
        self.last_checked = None
        if error is None:
            self.version = version
            if self.front.capture is not None:
                self.front.capture.stop(f"the settings changed to {version}, and a replay decides by those of the start")
        return error

    def store_configuration(self, data: bytes) -> None:
        if self.record is not None:
            self.record.write(data)
            self.write_pending.set()

    def store_vote(self, data: bytes) -> None:
        raise OSError("a front does not vote")

    # ---- for operators

    def show(self) -> dict:
        return {**self.wire.show(), "began_with": self.startup.how}

    def live(self) -> dict:
        """The settings in force now, read from the objects that use them."""
        front = self.front
        session_core, rules, admission = front.session_core, front.session_core.rules, front.http_listener.admission
        return {
            "version": self.version,
            "way_back": front.http_listener.way_back,
            "longest_wait": session_core.longest_wait,
            "most_tune_ins": rules.max_tune_ins,
            "further_share": rules.further_share,
            "most_waiting": session_core.most_waiting,
            "ice_servers": list(front.http_listener.ice_servers),
            "titles": len(session_core.server_list.titles),
            "limits": {name: [buckets.rate, buckets.burst] for name, buckets in admission.buckets.items()} if admission else None,
            "packages": {
                package.name: {name: getattr(package, name) for name in IN_SERVICE_PACKAGE_FIELDS}
                for package in session_core.packages.values()
            },
        }
