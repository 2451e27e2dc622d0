"""How a running front takes another version of its settings: checked whole, built whole, in force at one instant.

Made by the front where the settings say <configuration>; the wire (curlewshift/peering/distributed.py) tells it what came. What
may not change in service is refused in words by curlewshift/site/changes.py, and the front goes on with the last good one.
"""

from __future__ import annotations

from pathlib import Path

import anyio
import zstandard

from curlewshift.distribution.copy import ENCODER, FORM, StoredCopy
from curlewshift.distribution.versions import NO_VERSION
from curlewshift.front.begun import NEXT, NOW, Begun, checked, told
from curlewshift.front.in_service import Swap, in_service
from curlewshift.site.changes import IN_SERVICE_PACKAGE_FIELDS, RestartRequired
from curlewshift.site.reading import SiteErrors
from curlewshift.site.site import Site
from curlewshift.state.record_file import RecordFile

NS = 1_000_000_000


class Configured:
    """The wire's host at a front."""

    swap_class = Swap
    record_class = RecordFile
    checked = staticmethod(checked)

    def __init__(self, front, begun: Begun, state: Path | None):
        self.front, self.begun, self.log = front, begun, front.log
        self.version = begun.version
        self.record = self.record_class(state / NOW) if state is not None else None
        self.next_start = self.record_class(state / NEXT) if state is not None else None
        self.written = anyio.Event()
        self.wire = None
        self.last_checked: tuple[bytes, Site] | None = None

    async def run(self) -> None:
        """The disk has it for good: what is written goes to the machine's keeping at once, and to the disk from here, as a disk
        that stalls must not hold up a viewer."""
        while True:
            await self.written.wait()
            self.written = anyio.Event()
            try:
                await anyio.to_thread.run_sync(self.record.flush, abandon_on_cancel=True)
            except OSError as wrong:
                self.log.warning("configuration-not-kept", cause=str(wrong))

    async def start(self) -> None:
        """Before the door opens: without a disk that could be read, from the peers within a bound, and else from the file."""
        how, cause = self.begun.how, self.begun.cause
        if how != "disk":
            within = self.front.site.configuration.start_within / NS
            await self.wire.start_from_peers(within)
            if self.version != NO_VERSION.text:
                how = "peers"
            else:
                cause += "; no peer had a version that could be taken"
        self.log.info("configuration-start", how=how, version=self.version, cause=cause)

    # ---- the wire's host

    def check_configuration(self, content: bytes) -> str | None:
        try:
            self.last_checked = content, self.checked(self.begun.path, self.front.site, content)
        except RestartRequired as wrong:
            self._keep_for_next_start(content)
            return told(self.begun.path, wrong)
        except SiteErrors as wrong:
            return told(self.begun.path, wrong)
        return None

    def _keep_for_next_start(self, content: bytes) -> None:
        if self.next_start is None or self.wire is None:
            return
        kept = StoredCopy(FORM, tuple(self.wire.copy.held), zstandard.ZstdCompressor().compress(content))
        try:
            self.next_start.write(ENCODER.encode(kept))
        except OSError as wrong:
            self.log.warning("configuration-not-kept", cause=str(wrong))

    def apply_configuration(self, version: str, content: bytes) -> str | None:
        if version == self.version:
            # what the disk had, with which this front began
            return None
        if self.last_checked is None or self.last_checked[0] is not content:
            self.last_checked = None
            wrong = self.check_configuration(content)
        else:
            # the wire has had it checked in this very instant, and to read a large file twice would hold up viewers twice
            wrong = None
        if wrong is None:
            try:
                swap = self.swap_class()
                in_service(self.front, self.last_checked[1], swap)
                swap.carry_out()
            except Exception as fault:
                self.log.error("fault", what="a new configuration", version=version, cause=repr(fault), exc_info=fault)
                wrong = f"a fault while it was taken, and what was in force before is again: {fault!r}"
        self.last_checked = None
        if wrong is None:
            self.version = version
            if self.front.capture is not None:
                self.front.capture.stop(f"the settings changed to {version}, and a replay decides by those of the start")
        return wrong

    def store_configuration(self, data: bytes) -> None:
        if self.record is not None:
            self.record.write(data)
            self.written.set()

    def store_vote(self, data: bytes) -> None:
        raise OSError("a front does not vote")

    # ---- for people

    def show(self) -> dict:
        return {**self.wire.show(), "began_with": self.begun.how}

    def live(self) -> dict:
        """What decides at this instant, read from what decides."""
        front = self.front
        session_core, rules, admission = front.session_core, front.session_core.rules, front.door.admission
        return {
            "version": self.version,
            "way_back": front.door.way_back,
            "longest_wait": session_core.longest_wait,
            "most_tune_ins": rules.max_tune_ins,
            "further_share": rules.further_share,
            "most_waiting": session_core.most_waiting,
            "ice_servers": list(front.door.ice_servers),
            "titles": len(session_core.server_list.titles),
            "limits": {name: [buckets.rate, buckets.burst] for name, buckets in admission.buckets.items()} if admission else None,
            "packages": {
                package.name: {name: getattr(package, name) for name in IN_SERVICE_PACKAGE_FIELDS}
                for package in session_core.packages.values()
            },
        }
