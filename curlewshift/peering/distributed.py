"""Versioned configuration on the channel: the messages of distribution/ as bodies of one frame kind, the data piggybacked on
probes, and the timer.

Held by front/front.py, control/ and scale/, whose host applies what comes into force. Call `time` every `DistributionTerms.every`
(0.2 s), or `run`. When the constructor returns, the version on the node's disk is in force, if it is intact and the host accepts
it. From then on the host's methods are called in the caller's own task, between two events.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Annotated, Protocol

import anyio
import msgspec
from msgspec import Meta

from curlewshift.distribution.copy import AGE_UNKNOWN, Copy
from curlewshift.distribution.fetching import Fetcher
from curlewshift.distribution.giving import ContentProvider
from curlewshift.distribution.library import ContentCache
from curlewshift.distribution.reports import FleetStatus, Report, Reporter, ZoneSummary
from curlewshift.distribution.store import Store, StoreState
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import MAX_CONTENT_BYTES, NO_VERSION, Ballot, Version
from curlewshift.distribution.writer import Writer, refusal
from curlewshift.membership.member import Member
from curlewshift.membership.updates import sample_members
from curlewshift.schedule.steady_clock import SteadyClock

KIND = 20
NS = 1_000_000_000
# Interval at which a start checks whether a version has been found (s), and the number of peers that must report holding none
# before it stops looking.
POLL_INTERVAL_S, MIN_EMPTY_PEERS = 0.05, 3
# Rounds in which a node that starts empty fetches only if a member of its own zone holds a version; later from any member.
ZONE_ONLY_ROUNDS = 3
# Messages of a writer that wait for the content they refer to; the oldest is dropped beyond this.
MAX_WAITING = 4
# Maximum age in piggybacked data (tenths of a second).
MAX_AGE = 2**31

Count = Annotated[int, Meta(ge=0, lt=2**62)]
Name = Annotated[str, Meta(max_length=64)]
BoundedText = Annotated[str, Meta(max_length=200)]
WireBallot = tuple[Count, Name, Count]
WireVersion = tuple[Count, Count, Annotated[bytes, Meta(max_length=32)]]
WireNoted = Annotated[dict[Name, tuple[Count, Count, Count]], Meta(max_length=16)]
ShortBytes = Annotated[bytes, Meta(max_length=32)]


class Prepare(msgspec.Struct, array_like=True, tag=1):
    """Writer to store: asks for a promise of the ballot."""

    ballot: WireBallot


class StoreStateMessage(msgspec.Struct, array_like=True, tag=2):
    """Store to writer: the state of the store under the ballot, in answer to any message of it."""

    ballot: WireBallot
    record: Count
    blank: bool
    taken_at: WireBallot
    taken: WireVersion
    chosen: WireVersion
    noted: WireNoted


class Outbid(msgspec.Struct, array_like=True, tag=3):
    """Store to writer: the ballot is refused, as a later one is promised."""

    ballot: WireBallot
    promised: WireBallot


class Take(msgspec.Struct, array_like=True, tag=4):
    """Writer to store: accept the version. `record` is the number of the store's record that the writer has seen."""

    ballot: WireBallot
    record: Count
    version: WireVersion


class Note(msgspec.Struct, array_like=True, tag=5):
    """Writer to store: another store (`store`) has a new record."""

    ballot: WireBallot
    record: Count
    store: Name
    noted: tuple[Count, Count, Count]


class Enter(msgspec.Struct, array_like=True, tag=6):
    """Writer to store: the store is let in, and votes from now on."""

    ballot: WireBallot
    record: Count
    noted: WireNoted
    version: WireVersion
    founding: bool


class Announce(msgspec.Struct, array_like=True, tag=7):
    """The newest version that the sender holds; `asks` requests the receiver's in return."""

    version: WireVersion
    asks: bool = False


class PieceRequest(msgspec.Struct, array_like=True, tag=8):
    """A request for pieces of a content; `missing` is empty if the requester has received none yet."""

    version: WireVersion
    base: ShortBytes
    packing: ShortBytes
    missing: Annotated[list[Count], Meta(max_length=64)]


class Piece(msgspec.Struct, array_like=True, tag=9):
    """One piece of a packing with `total` pieces."""

    version: WireVersion
    base: ShortBytes
    packing: ShortBytes
    total: Count
    index: Count
    data: bytes


class Busy(msgspec.Struct, array_like=True, tag=10):
    """No pieces, or no further ones, for now: retry `after` ms. 0: the sender does not hold the content."""

    version: WireVersion
    after: Count


class InForce(msgspec.Struct, array_like=True, tag=11):
    """Node to aggregator: the version in force, and the refused one with the reason."""

    version: WireVersion
    refused: WireVersion
    reason: BoundedText


class ZoneSummaryMessage(msgspec.Struct, array_like=True, tag=12):
    """Aggregator to control machine: the summary of a zone."""

    zone: Name
    nodes: Count
    newest: WireVersion
    at_newest: Count
    lowest: WireVersion
    late: Annotated[list[Name], Meta(max_length=8)]
    refusing: Count
    reasons: Annotated[list[tuple[Name, BoundedText]], Meta(max_length=4)]


class Piggyback(msgspec.Struct, array_like=True):
    """The newest version held, and how long ago a majority of stores had nothing newer (tenths of a second; -1: not known)."""

    version: WireVersion
    age: Annotated[int, Meta(ge=-1, lt=2**32)]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(
    Prepare
    | StoreStateMessage
    | Outbid
    | Take
    | Note
    | Enter
    | Announce
    | PieceRequest
    | Piece
    | Busy
    | InForce
    | ZoneSummaryMessage
)
PIGGYBACK_DECODER = msgspec.msgpack.Decoder(Piggyback)


class Host(Protocol):
    """Applies and stores configurations. `check_configuration` and `apply_configuration` return the reason of a refusal, or None;
    the others raise `OSError` if the write fails."""

    def check_configuration(self, content: bytes) -> str | None: ...
    def apply_configuration(self, version: str, content: bytes) -> str | None: ...
    def store_configuration(self, data: bytes) -> None: ...
    def store_vote(self, data: bytes) -> None: ...


class DistributionProtocol:
    """`places` maps the name of each member to (region, zone). `fence` returns the lease's fencing token if this process may act
    now, else 0. `copy` and `vote` are the records that `store_configuration` and `store_vote` last wrote, as read from the
    disk."""

    store_class, writer_class, copy_class, fetch_class, giver_class = Store, Writer, Copy, Fetcher, ContentProvider
    reporter_class, library_class = Reporter, ContentCache

    def __init__(
        self,
        channel,
        host: Host,
        local_name: str,
        places: dict[str, tuple[str, str]],
        terms: DistributionTerms,
        fence: Callable[[], int],
        clock,
        log,
        rng: Random,
        copy: bytes | None,
        vote: bytes | None,
    ):
        self.channel, self.host, self.local_name, self.places, self.terms = channel, host, local_name, places, terms
        self.fence, self.clock, self.log, self.rng = fence, clock, log, rng
        self.region, self.zone = places.get(local_name, ("", ""))
        self.neighbours = [
            name for name, (_, zone) in places.items() if zone == self.zone and name != local_name and name not in terms.stores
        ]
        self.steady = SteadyClock(clock.now(), NS)
        self.malformed = self.corrupt_contents = 0
        self.local_queue: list[tuple[str, object]] = []
        self.draining = False
        # the version that each peer last reported holding, and the peers that reported holding none
        self.holders: dict[str, Version] = {}
        self.empty_peers: set[str] = set()
        self.startup_rounds = 0
        self.target = NO_VERSION
        self.announcements_left = 0
        self.waiting: dict[Version, tuple[str, object]] = {}
        self.library = self.library_class()
        self.store = self.store_class(self, vote, rng) if local_name in terms.stores else None
        self.writer = (
            self.writer_class(self, local_name, channel.membership.local_member.life, terms)
            if local_name in terms.stores
            else None
        )
        self.giver = self.giver_class(self, self.library, terms, local_name in terms.stores)
        self.fetch = self.fetch_class(self, self.library, terms, rng)
        self.reporter = self.reporter_class(self, local_name, self.zone, terms)
        self.fleet = FleetStatus(self)
        if self.store is not None and self.store.content:
            self.library.hold(self.store.content)
        self.copy = self.copy_class(self)
        self.copy.start(copy)
        if self.copy.held != NO_VERSION:
            self._held_changed(self.copy.held_content)
            self.announcements_left = 0
        channel.register_handler(KIND, self.handle_message)
        channel.register_piggyback(self._piggyback, self._handle_piggyback)

    # ---- running

    async def run(self) -> None:
        every = self.terms.every / NS
        while True:
            self.time()
            await anyio.sleep(every)

    def time(self) -> None:
        """One round: repeats messages, requests what is missing, announces and reports."""
        try:
            self.steady.read(self.clock.now())
            self.steady.due = self.steady.last + self.terms.every
            if self.writer is not None:
                self.writer.time()
                if self.writer.confirms_newest():
                    self.copy.confirmed_newest(self.writer.tenure.value, 0)
            if self.copy.held == NO_VERSION and self.startup_rounds < ZONE_ONLY_ROUNDS and self.channel.membership.ring:
                self.startup_rounds += 1
                self.ask_nearest()
            self._request_newest()
            self.fetch.time()
            self._announce_newest()
            if self.local_name not in self.terms.stores:
                refused_now = self.copy.held if self.copy.refusal_reason else NO_VERSION
                self.reporter.time(Report(self.copy.version, refused_now, self.copy.refusal_reason))
            self._deliver_local()
        except Exception as error:
            self.log.error("fault", what="distribution", cause=repr(error), exc_info=error)

    async def put(self, content: bytes, base: str, within: float) -> dict:
        """Makes a version. `base` is the version on which the change is based ("file" or "" if there is none yet); the result
        is returned after `within` seconds at the latest."""
        results: list[dict] = []
        ended = anyio.Event()

        def done(result: dict) -> None:
            results.append(result)
            ended.set()

        self.begin_put(content, base, int(within * NS), done)
        with anyio.move_on_after(within + 1):
            await ended.wait()
        return results[0] if results else {"ok": False, "unknown": True, "wrong": "its fate is not known: this process was busy"}

    def begin_put(self, content: bytes, base: str, within: int, done: Callable[[dict], None]) -> None:
        """As `put`, with `within` in ns; `done` is called once with the result."""
        if self.writer is None:
            done(refusal("this is no control machine"))
            return
        if not content or len(content) > MAX_CONTENT_BYTES:
            done(refusal(f"a configuration has 1 to {MAX_CONTENT_BYTES} bytes, and this one has {len(content)}"))
            return
        self.writer.put(content, base, within, done)
        self._deliver_local()

    async def start_from_peers(self, within: float) -> None:
        """Fetches a version from peers at start. Returns after `within` (s), or as soon as a version is held or
        `MIN_EMPTY_PEERS` peers report holding none."""
        with anyio.move_on_after(within):
            while self.copy.held == NO_VERSION and len(self.empty_peers) < MIN_EMPTY_PEERS:
                if self.startup_rounds >= ZONE_ONLY_ROUNDS:
                    self.ask_nearest()
                self.time()
                await anyio.sleep(POLL_INTERVAL_S)
        self.log.info("started-from-peers", version=self.copy.version.text, nothing_at=len(self.empty_peers))

    def ask_nearest(self) -> None:
        """Asks one of the nearest members what it holds, among those that have not reported yet."""
        nearest = self.nearest(
            [
                member.name
                for member in self.channel.membership.ring
                if member.name not in self.empty_peers and member.name not in self.holders
            ]
        )
        if nearest:
            self._send(self.rng.choice(nearest), Announce(tuple(NO_VERSION), True))

    # ---- messages

    def handle_message(self, sender: Member, data: bytes) -> None:
        try:
            message = DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError):
            self.malformed += 1
            return
        if sender.name in self.places:
            self._dispatch(sender.name, message)
            self._deliver_local()

    def _send(self, to: str, message) -> bool:
        if to == self.local_name:
            self.local_queue.append((to, message))
            return True
        member = self.channel.membership.members.get(to)
        return member is not None and member.is_present and self.channel.send(member, KIND, ENCODER.encode(message))

    def _deliver_local(self) -> None:
        """Delivers the queued messages between this machine's writer and store; at most 64 a call, as each answer can cause
        another message."""
        if self.draining:
            return
        self.draining = True
        try:
            for _ in range(64):
                if not self.local_queue:
                    break
                self._dispatch(*self.local_queue.pop(0))
        finally:
            self.draining = False

    def _dispatch(self, by: str, message) -> None:
        kind = type(message)
        if kind is Announce:
            self._handle_announcement(by, Version(*message.version), message.asks)
        elif kind is PieceRequest:
            self.giver.handle_request(by, Version(*message.version), message.base, message.packing, message.missing)
        elif kind is Piece:
            self.fetch.piece_received(
                by, Version(*message.version), message.base, message.packing, message.total, message.index, message.data
            )
        elif kind is Busy:
            if message.after:
                self.fetch.provider_busy(by, Version(*message.version), message.after * 1_000_000)
            else:
                self.holders.pop(by, None)
                self.fetch.provider_lacks(by, Version(*message.version))
        elif kind is InForce:
            self.reporter.report_received(by, Report(Version(*message.version), Version(*message.refused), message.reason))
        elif kind is ZoneSummaryMessage:
            self.fleet.summary_received(
                by,
                ZoneSummary(
                    message.zone,
                    message.nodes,
                    Version(*message.newest),
                    message.at_newest,
                    Version(*message.lowest),
                    message.late,
                    message.refusing,
                    message.reasons,
                ),
            )
        elif self.writer is not None and by in self.terms.stores:
            self._dispatch_vote(by, message)

    def _dispatch_vote(self, by: str, message) -> None:
        kind, ballot = type(message), Ballot(*message.ballot)
        if kind is StoreStateMessage:
            self.writer.stands(
                by,
                ballot,
                StoreState(
                    message.record,
                    message.blank,
                    Ballot(*message.taken_at),
                    Version(*message.taken),
                    Version(*message.chosen),
                    message.noted,
                ),
            )
        elif kind is Outbid:
            self.writer.outbid(ballot, Ballot(*message.promised))
        elif kind is Prepare:
            self.store.prepare(by, ballot)
        elif kind is Note:
            self.store.note(by, ballot, message.record, message.store, message.noted)
        else:
            version = Version(*message.version)
            self.waiting[version] = (by, message)
            if len(self.waiting) > MAX_WAITING:
                del self.waiting[next(iter(self.waiting))]
            if kind is Take:
                self.store.take(by, ballot, message.record, version)
            else:
                self.store.enter(by, ballot, message.record, message.noted, version, message.founding)
            if version not in self.fetching_for_store():
                self.waiting.pop(version, None)

    def fetching_for_store(self) -> set[Version]:
        """Versions that the store waits for."""
        return {version for version in self.waiting if version.digest in self.fetch.pending}

    # ---- piggybacked data and announcements

    def _piggyback(self) -> bytes:
        age = self.copy.age
        return ENCODER.encode(Piggyback(tuple(self.copy.held), min(age * 10 // NS, MAX_AGE) if age != AGE_UNKNOWN else -1))

    def _handle_piggyback(self, sender: Member, data: bytes) -> None:
        try:
            piggyback = PIGGYBACK_DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError):
            self.malformed += 1
            return
        if sender.name not in self.places:
            return
        version = Version(*piggyback.version)
        self._peer_holds(sender.name, version)
        if piggyback.age >= 0:
            self.copy.confirmed_newest(version, piggyback.age * NS // 10)

    def _handle_announcement(self, by: str, version: Version, asks: bool) -> None:
        if asks or self.copy.held.newer_than(version):
            self._send(by, Announce(tuple(self.copy.held), False))
        if not asks:
            self._peer_holds(by, version)

    def _peer_holds(self, name: str, version: Version) -> None:
        if version == NO_VERSION:
            self.empty_peers.add(name)
            return
        self.holders[name] = version
        if self.copy.version_announced(version) or (version == self.copy.wanted_version and not self.fetch.pending):
            self._request_newest()

    def _announce_newest(self) -> None:
        if self.announcements_left > 0 and self.copy.held != NO_VERSION:
            self.announcements_left -= 1
            body = ENCODER.encode(Announce(tuple(self.copy.held), False))
            for member in sample_members(self.channel.membership.ring, self.terms.announce_fanout, self.rng):
                self.channel.send(member, KIND, body)

    # ---- contents

    def _request_newest(self) -> None:
        """Requests the newest version that a reachable member holds. A newer version that no member holds any more must not
        prevent this."""
        if self.copy.wanted_version is None:
            return
        members = self.channel.membership.members
        available = [
            version
            for name, version in self.holders.items()
            if self.copy.newer(version) and name in members and members[name].is_present
        ]
        target = max(available, key=lambda version: version.number, default=None)
        if target is None:
            return
        if (
            self.copy.held == NO_VERSION
            and self.startup_rounds < ZONE_ONLY_ROUNDS
            and not any(name in self.holders for name in self.neighbours)
        ):
            return
        if target != self.target:
            if self.target not in self.waiting:
                self.fetch.cancel(self.target)
            self.target = target
        self.fetch.request(target, lambda: self._holders_of(target))

    def _holders_of(self, target: Version) -> list[str]:
        members = self.channel.membership.members
        return [
            name
            for name, version in self.holders.items()
            if version.number >= target.number and name in members and members[name].is_present
        ]

    def nearest(self, names: list[str]) -> list[str]:
        """The members of `names` in this node's zone; if there are none, those in its region, or else all."""
        zone = [name for name in names if self.places.get(name, ("", ""))[1] == self.zone]
        return zone or [name for name in names if self.places.get(name, ("", ""))[0] == self.region] or names

    def content_received(self, version: Version, content: bytes) -> None:
        self.library.hold(content)
        content = self.library.get(version.digest) or content
        if version in (self.target, self.copy.newest) and self.copy.newer(version):
            before = self.copy.held
            self.copy.content_received(version, content)
            if self.copy.held != before:
                self._held_changed(content)
                self._announce_newest()
        held = self.waiting.pop(version, None)
        if held is not None:
            self.local_queue.append(held)
        if self.writer is not None:
            self.writer.content_received()

    def _held_changed(self, content: bytes) -> None:
        self.library.hold(content)
        self.fetch.base = self.copy.held.digest
        self.announcements_left = self.terms.announce_rounds
        if self.store is not None:
            self.store.learned(self.copy.held)

    def content_corrupt(self, version: Version, by: str, reason: str) -> None:
        self.corrupt_contents += 1
        self.log.warning("configuration-spoilt", version=version.text, by=by, cause=reason)

    # ---- the driver of writer, store, provider, fetches and reporter

    def now(self) -> int:
        return self.steady.read(self.clock.now())

    def prepare(self, store: str, ballot: Ballot) -> None:
        self._send(store, Prepare(tuple(ballot)))

    def take(self, store: str, ballot: Ballot, record: int, version: Version) -> None:
        self._send(store, Take(tuple(ballot), record, tuple(version)))

    def note(self, store: str, ballot: Ballot, record: int, of: str, noted) -> None:
        self._send(store, Note(tuple(ballot), record, of, noted))

    def enter(self, store: str, ballot: Ballot, record: int, noted, version: Version, founding: bool) -> None:
        self._send(store, Enter(tuple(ballot), record, noted, tuple(version), founding))

    def content_of(self, version: Version) -> bytes | None:
        return self.library.get(version.digest)

    def hold_content(self, content: bytes) -> None:
        self.library.hold(content)

    def fetch_for_writer(self, version: Version, stores: list[str]) -> None:
        self.fetch.request(version, lambda: stores)

    def fetch_for_store(self, version: Version, writer: str) -> None:
        self.fetch.request(version, lambda: [writer])

    def chosen(self, version: Version) -> None:
        """A majority of the stores has accepted the version: it is announced to all members."""
        self.copy.version_announced(version)
        content = self.library.get(version.digest)
        if content is not None and self.copy.newer(version):
            self.copy.content_received(version, content)
            if self.copy.held == version:
                self._held_changed(content)
                self._announce_newest()

    def stands(self, writer: str, ballot: Ballot, state: StoreState) -> None:
        self._send(
            writer,
            StoreStateMessage(
                tuple(ballot),
                state.record,
                state.blank,
                tuple(state.taken_at),
                tuple(state.taken),
                tuple(state.chosen),
                state.noted,
            ),
        )

    def outbid(self, writer: str, ballot: Ballot, promised: Ballot) -> None:
        self._send(writer, Outbid(tuple(ballot), tuple(promised)))

    def request_pieces(self, provider: str, version: Version, base: bytes, packing: bytes, missing: list[int]) -> None:
        self._send(provider, PieceRequest(tuple(version), base, packing, missing))

    def send_piece(self, to: str, version: Version, base: bytes, packing: bytes, total: int, index: int, data: bytes) -> bool:
        return self._send(to, Piece(tuple(version), base, packing, total, index, data))

    def send_busy(self, to: str, version: Version, after: int) -> None:
        self._send(to, Busy(tuple(version), max(1, after // 1_000_000)))

    def send_not_held(self, to: str, version: Version) -> None:
        self._send(to, Busy(tuple(version), 0))

    def zone_members(self) -> list[str]:
        members = self.channel.membership.members
        return [name for name in self.neighbours if name in members and members[name].is_present]

    def send_report(self, aggregator: str, report: Report) -> None:
        self._send(aggregator, InForce(tuple(report.version), tuple(report.refused), report.reason[:120]))

    def send_summary(self, store: str, summary: ZoneSummary) -> None:
        self._send(
            store,
            ZoneSummaryMessage(
                summary.zone,
                summary.nodes,
                tuple(summary.newest),
                summary.at_newest,
                tuple(summary.lowest),
                summary.late,
                summary.refusing,
                summary.reasons,
            ),
        )

    # ---- the copy's driver

    def check_configuration(self, content: bytes) -> str | None:
        try:
            return self.host.check_configuration(content)
        except Exception as error:
            self.log.error("fault", what="configuration check", cause=repr(error), exc_info=error)
            return f"its check failed: {error!r}"

    def apply_configuration(self, version: str, content: bytes) -> str | None:
        try:
            return self.host.apply_configuration(version, content)
        except Exception as error:
            self.log.error("fault", what="applying the configuration", cause=repr(error), exc_info=error)
            return f"it could not be taken: {error!r}"

    def store_configuration(self, data: bytes) -> None:
        self.host.store_configuration(data)

    def store_vote(self, data: bytes) -> None:
        self.host.store_vote(data)

    def write_failed(self, reason: str) -> None:
        self.log.error("configuration-not-kept", cause=reason)

    def copy_unreadable(self, reason: str) -> None:
        self.log.error("configuration-copy-lost", cause=reason)

    def vote_lost(self, what: str, reason: str) -> None:
        self.log.error("configuration-vote", what=what, cause=reason)

    def in_force(self, version: Version, before: Version) -> None:
        self.log.info("configuration-in-force", version=version.text, before=before.text)

    def refuses(self, version: Version, reason: str) -> None:
        self.log.error("configuration-refused", version=version.text, in_force=self.copy.version.text, cause=reason)

    def forked(self, version: Version, other: Version) -> None:
        self.log.error(
            "configuration-forked",
            one=version.text,
            other=other.text,
            cause="two contents with the same version number; neither replaces the other",
        )

    # ---- for operators

    @property
    def version(self) -> str:
        return self.copy.version.text

    @property
    def content(self) -> bytes | None:
        return self.copy.content

    def show(self) -> dict:
        """Plain data; times in seconds. `vouched_s` is how long ago a majority of the stores had nothing newer (None: not known),
        and so the maximum age of what is held; `zones` and `stores` are filled at control machines only."""
        copy, now = self.copy, self.now()
        shown = {
            "me": self.local_name,
            "in_force": copy.version.text,
            "in_force_s": round((now - copy.since) / NS, 1),
            "held": copy.held.text,
            "newest": copy.newest.text,
            "vouched_s": None if copy.age == AGE_UNKNOWN else round(copy.age / NS, 1),
            "refused": [{"version": version.text, "why": reason} for version, reason in copy.refused.items()],
            "forks": copy.forks,
            "spoilt": self.corrupt_contents,
            "malformed": self.malformed,
            "given_bytes": self.giver.given_bytes,
            "times_busy": self.giver.times_busy,
            "zones": [],
            "stores": [],
        }
        if self.writer is not None:
            shown["zones"] = self.fleet.show()
            shown["stores"] = self._show_stores()
            shown["writes"] = self.writer.tenure is not None
        return shown

    def _show_stores(self) -> list[dict]:
        """This machine's own store, and the others as far as the writer knows them, if it runs here."""
        tenure = self.writer.tenure
        voters = self.writer._voters() if tenure is not None else []
        rows = []
        for name in self.terms.stores:
            state = tenure.stands.get(name) if tenure is not None else None
            blank, taken = (
                (self.store.blank, self.store.taken)
                if name == self.local_name
                else ((state.blank, state.taken) if state is not None else (None, NO_VERSION))
            )
            rows.append(
                {"store": name, "blank": blank, "votes": name in voters if tenure is not None else None, "taken": taken.text}
            )
        return rows
