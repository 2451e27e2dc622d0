"""How a running front takes another version of its settings: checked whole, built whole, in force at one instant.

Made by the front where the settings say <configuration>; the wire (curlewshift/peering/distributed.py) tells it what came. What
may change in service, and what becomes of the viewings under way, is in docs/operate-configuration.md; what may not is refused
in words by curlewshift/site/changes.py, and the front goes on with the last good one.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from pathlib import Path

import anyio
import zstandard

from curlewshift.desk.roster import Roster, Title
from curlewshift.distribution.copy import ENCODER, FORM, Copy, Kept
from curlewshift.distribution.versions import NONE, Version
from curlewshift.limits.buckets import Buckets
from curlewshift.rules import COME_BACK
from curlewshift.site.changes import OF_PACKAGES, NeedsRestart, refusals, unalike
from curlewshift.site.reading import Mistakes, read_xml
from curlewshift.site.site import SCHEMA, Site, read_site, site_of
from curlewshift.state.configured import Record

NS = 1_000_000_000
# A refusal is told over the channel and in tables: of more mistakes the first, and how many there are.
MOST_TOLD = 5
# Records in the state folder: what is in force, and what was refused as it needs a restart, for the next start.
NOW, NEXT = "configuration", "configuration-next"
# Fields of Site that stand for what is in force where nothing else holds them; the packages' objects stay what they are.
STANDS = ("duties", "most_waiting", "ice_servers", "limits", "machines", "titles", "uplinks", "overload")


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
        return (self.held or NONE).text


class Reading:
    """Outside of a copy that is only read: what the disk has, before there is a front."""

    def __init__(self, path: Path):
        self.path, self.site, self.cause = path, None, ""

    def now(self) -> int:
        return 0

    def check_configuration(self, content: bytes) -> str | None:
        try:
            self.site = read_site(self.path, content)
        except Mistakes as wrong:
            return told(self.path, wrong)
        return None

    def take_configuration(self, version: str, content: bytes) -> str | None:
        return None

    def in_force(self, version: Version, before: Version) -> None:
        pass

    def copy_lost(self, why: str) -> None:
        self.cause = f"what is on the disk cannot be used: {why}"

    def refuses(self, version: Version, why: str) -> None:
        self.cause = f"what is on the disk cannot be used: {why}"


def begin(path: Path, site: Site, state: Path | None, record_class: type[Record] = Record,
          copy_class: type[Copy] = Copy) -> Begun:
    """From the disk where what is there is whole, and from the file (`site`, as read) otherwise."""
    if state is None or site.configuration is None:
        return Begun(path, site)
    begun = [_from_record(path, site, record_class(state / name), copy_class) for name in (NOW, NEXT)]
    held, after = begun
    if after.held is not None and (held.held is None or after.held.over(held.held)):
        return after
    return held


def _from_record(path: Path, site: Site, record: Record, copy_class: type[Copy]) -> Begun:
    raw = record.read()
    if raw is None:
        return Begun(path, site, cause=record.damage or "nothing is on the disk")
    reading = Reading(path)
    copy = copy_class(reading)
    if not copy.start(raw):
        return Begun(path, site, cause=reading.cause)
    return Begun(path, reading.site, "disk", "", copy.version, raw)


def told(path: Path, mistakes: Mistakes) -> str:
    lines = [f"{path.name}:{line}: {wrong}" for line, wrong in mistakes.found]
    more = [f"and {len(lines) - MOST_TOLD} more"] if len(lines) > MOST_TOLD else []
    return "; ".join(lines[:MOST_TOLD] + more)


def checked(path: Path, running: Site, content: bytes) -> Site:
    """The site of this content, fit to take the place of the running one. Raises `Mistakes`."""
    root = read_xml(path, SCHEMA, content)
    site = site_of(path, root)
    wrong = refusals(running, site, root)
    if wrong:
        raise (Mistakes if unalike(running, site, root) else NeedsRestart)(path, wrong)
    return site


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


class Configured:
    """The wire's host at a front."""

    swap_class = Swap
    record_class = Record
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
            if self.version != NONE.text:
                how = "peers"
            else:
                cause += "; no peer had a version that could be taken"
        self.log.info("configuration-start", how=how, version=self.version, cause=cause)

    # ---- the wire's host

    def check_configuration(self, content: bytes) -> str | None:
        try:
            self.last_checked = content, self.checked(self.begun.path, self.front.site, content)
        except NeedsRestart as wrong:
            self._keep_for_next_start(content)
            return told(self.begun.path, wrong)
        except Mistakes as wrong:
            return told(self.begun.path, wrong)
        return None

    def _keep_for_next_start(self, content: bytes) -> None:
        if self.next_start is None or self.wire is None:
            return
        kept = Kept(FORM, tuple(self.wire.copy.held), zstandard.ZstdCompressor().compress(content))
        try:
            self.next_start.write(ENCODER.encode(kept))
        except OSError as wrong:
            self.log.warning("configuration-not-kept", cause=str(wrong))

    def take_configuration(self, version: str, content: bytes) -> str | None:
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

    def keep_configuration(self, data: bytes) -> None:
        if self.record is not None:
            self.record.write(data)
            self.written.set()

    def keep_vote(self, data: bytes) -> None:
        raise OSError("a front does not vote")

    # ---- for people

    def show(self) -> dict:
        return {**self.wire.show(), "began_with": self.begun.how}

    def live(self) -> dict:
        """What decides at this instant, read from what decides."""
        front = self.front
        desk, rules, admission = front.desk, front.desk.rules, front.door.admission
        return {
            "version": self.version, "way_back": front.door.way_back, "longest_wait": desk.longest_wait,
            "most_tune_ins": rules.max_tune_ins, "further_share": rules.further_share, "most_waiting": desk.most_waiting,
            "ice_servers": list(front.door.ice_servers), "titles": len(desk.roster.titles),
            "limits": {name: [buckets.rate, buckets.burst] for name, buckets in admission.buckets.items()} if admission else None,
            "packages": {package.name: {name: getattr(package, name) for name in OF_PACKAGES}
                         for package in desk.packages.values()}}


def in_service(front, new: Site, swap: Swap) -> None:
    """All that changes when `new` comes into force at the running front, as steps of the swap; nothing changes here."""
    site, desk, rules, duties = front.site, front.desk, front.desk.rules, new.duties
    for before, after in zip(site.packages, new.packages):
        for name in OF_PACKAGES:
            swap.set(before, name, getattr(after, name))
    swap.set(front.door, "way_back", duties.way_back)
    swap.set(front.door, "ice_servers", new.ice_servers)
    swap.set(desk, "longest_wait", duties.longest_wait)
    swap.set(desk, "most_waiting", new.most_waiting)
    for name, value in (("wait", min(COME_BACK, duties.longest_wait)), ("max_tune_ins", duties.most_tune_ins),
                        ("free_further", inf if duties.free_further is None else duties.free_further),
                        ("further_share", duties.further_share), ("look_back", duties.look_back)):
        swap.set(rules, name, value)
    if new.limits is not None:
        _limits(front.door.admission, new.limits, front.now(), swap)
    if new.overload is not None:
        overload = front.sheds.overload
        for held in (overload, overload.advice, overload.again):
            swap.set(held, "terms", new.overload)
    swap.set(desk.roster, "uplinks", new.uplinks)
    for rack in desk.roster.racks.values():
        swap.set(rack.link, "size", new.uplinks.get(rack.name, inf))
    _catalogue(desk.roster, new.titles, {vw.title for vw in desk.courses if not vw.playing}, swap)
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
    swap.set(admission.prefixes, "usual", bounds.source or 10.0)
    swap.set(admission.lines, "longest", bounds.in_line)
    most = float(bounds.most)
    swap.set(admission.concurrency, "least", min(8.0, most))
    swap.set(admission.concurrency, "most", most)
    swap.set(admission.concurrency, "limit", min(admission.concurrency.limit, most))


def _catalogue(roster: Roster, titles: dict[str, tuple[str, ...]], waited_for: set[str], swap: Swap) -> None:
    """A title that is gone is not found by new requests; those that wait for it go on with its holders, as they are told of
    by the list. One that plays plays on."""
    on_shelf: dict[str, list[Title]] = {}
    servers_on: dict[str, list] = {}
    for server, shelf in roster.shelf_of.items():
        servers_on.setdefault(shelf, []).append(server)
    new: dict[str, Title] = {}
    for name, shelves in titles.items():
        title, shelves = roster.titles.get(name), tuple(shelves)
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
    for name, title in roster.titles.items():
        if name not in new and name in waited_for:
            for shelf in dict.fromkeys(title.shelves):
                on_shelf.setdefault(shelf, []).append(title)
    swap.set(roster, "titles", new)
    swap.set(roster, "on_shelf", on_shelf)
