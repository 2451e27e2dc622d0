"""The configuration's versions on the channel: words of distribution/ as bodies of one kind, what rides on probes, and their
time.

Held by front/front.py, control/ and scale/, whose host takes what comes into force. Whoever drives it calls `time` each fifth of
a second, or `run`. What a node's disk had is in force when the constructor returns, if it is whole and the host has nothing
against it: the host's methods are called from there on, in the caller's own task, between two events.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Annotated, Protocol

import anyio
import msgspec
from msgspec import Meta

from curlewshift.distribution.copy import NEVER, Copy
from curlewshift.distribution.fetching import Fetch
from curlewshift.distribution.giving import Giver
from curlewshift.distribution.library import Library
from curlewshift.distribution.reports import Fleet, Report, Reporter, ZoneSum
from curlewshift.distribution.store import Stand, Store
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import MOST_CONTENT, NONE, Ballot, Version
from curlewshift.distribution.writer import Writer, refused
from curlewshift.membership.member import Member
from curlewshift.membership.updates import spread
from curlewshift.schedule.steady_clock import SteadyClock

KIND = 20
NS = 1_000_000_000
# Between looks at whether a start has found something (s), and peers that say they have nothing before it is believed.
LOOK, NOTHING_FROM = 0.05, 3
# Rounds in which one that starts empty asks its own zone, before it takes from anybody.
ASK_AROUND = 3
# Words of a writer that wait for the content they name.
MOST_WAITING = 4
# How old, in tenths of a second, a ride says at the most.
MOST_AGE = 2**31

Count = Annotated[int, Meta(ge=0, lt=2**62)]
Name = Annotated[str, Meta(max_length=64)]
Words = Annotated[str, Meta(max_length=200)]
WireBallot = tuple[Count, Name, Count]
WireVersion = tuple[Count, Count, Annotated[bytes, Meta(max_length=32)]]
WireNoted = Annotated[dict[Name, tuple[Count, Count, Count]], Meta(max_length=16)]
Short = Annotated[bytes, Meta(max_length=32)]


class Prepare(msgspec.Struct, array_like=True, tag=1):
    ballot: WireBallot


class Stands(msgspec.Struct, array_like=True, tag=2):
    ballot: WireBallot
    record: Count
    blank: bool
    taken_at: WireBallot
    taken: WireVersion
    chosen: WireVersion
    noted: WireNoted


class Outbid(msgspec.Struct, array_like=True, tag=3):
    ballot: WireBallot
    promised: WireBallot


class Take(msgspec.Struct, array_like=True, tag=4):
    ballot: WireBallot
    record: Count
    version: WireVersion


class Note(msgspec.Struct, array_like=True, tag=5):
    ballot: WireBallot
    record: Count
    store: Name
    noted: tuple[Count, Count, Count]


class Enter(msgspec.Struct, array_like=True, tag=6):
    ballot: WireBallot
    record: Count
    noted: WireNoted
    version: WireVersion
    founding: bool


class Tell(msgspec.Struct, array_like=True, tag=7):
    """The newest that the sender holds; it may ask for the receiver's."""

    version: WireVersion
    asks: bool = False


class Ask(msgspec.Struct, array_like=True, tag=8):
    version: WireVersion
    base: Short
    packing: Short
    missing: Annotated[list[Count], Meta(max_length=64)]


class Piece(msgspec.Struct, array_like=True, tag=9):
    version: WireVersion
    base: Short
    packing: Short
    total: Count
    index: Count
    data: bytes


class Busy(msgspec.Struct, array_like=True, tag=10):
    """Nothing, or no more, for now; `after` is in ms, 0: it has not got it."""

    version: WireVersion
    after: Count


class InForce(msgspec.Struct, array_like=True, tag=11):
    version: WireVersion
    refused: WireVersion
    why: Words


class Sum(msgspec.Struct, array_like=True, tag=12):
    zone: Name
    nodes: Count
    newest: WireVersion
    at_newest: Count
    lowest: WireVersion
    late: Annotated[list[Name], Meta(max_length=8)]
    refusing: Count
    whys: Annotated[list[tuple[Name, Words]], Meta(max_length=4)]


class Ride(msgspec.Struct, array_like=True):
    """The newest held, and how long ago a majority of stores had nothing newer (tenths of a second; -1: nobody says)."""

    version: WireVersion
    age: Annotated[int, Meta(ge=-1, lt=2**32)]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Prepare | Stands | Outbid | Take | Note | Enter | Tell | Ask | Piece | Busy | InForce | Sum)
RIDE_DECODER = msgspec.msgpack.Decoder(Ride)


class Host(Protocol):
    def check_configuration(self, content: bytes) -> str | None: ...
    def take_configuration(self, version: str, content: bytes) -> str | None: ...
    def keep_configuration(self, data: bytes) -> None: ...
    def keep_vote(self, data: bytes) -> None: ...


class DistributionWire:
    """`places`: name -> (region, zone) of all members. `fence` is the number of the lease if this process may act now, else 0.
    `copy` and `vote` are what `keep_configuration` and `keep_vote` were last given, as the disk has it now."""

    store_class, writer_class, copy_class, fetch_class, giver_class = Store, Writer, Copy, Fetch, Giver
    reporter_class, library_class = Reporter, Library

    def __init__(
        self,
        channel,
        host: Host,
        me: str,
        places: dict[str, tuple[str, str]],
        terms: DistributionTerms,
        fence: Callable[[], int],
        clock,
        log,
        rng: Random,
        copy: bytes | None,
        vote: bytes | None,
    ):
        self.channel, self.host, self.me, self.places, self.terms = channel, host, me, places, terms
        self.fence, self.clock, self.log, self.rng = fence, clock, log, rng
        self.region, self.zone = places.get(me, ("", ""))
        self.neighbours = [
            name for name, (_, zone) in places.items() if zone == self.zone and name != me and name not in terms.stores
        ]
        self.steady = SteadyClock(clock.now(), NS)
        self.malformed = self.spoilt_contents = 0
        self.own: list[tuple[str, object]] = []
        self.taking = False
        # what each peer told last that it holds, and those of them that said it holds nothing
        self.holders: dict[str, Version] = {}
        self.nothing_at: set[str] = set()
        self.asked_around = 0
        self.target = NONE
        self.tellings_left = 0
        self.waiting: dict[Version, tuple[str, object]] = {}
        self.library = self.library_class()
        self.store = self.store_class(self, vote, rng) if me in terms.stores else None
        self.writer = self.writer_class(self, me, channel.membership.me.life, terms) if me in terms.stores else None
        self.giver = self.giver_class(self, self.library, terms, me in terms.stores)
        self.fetch = self.fetch_class(self, self.library, terms, rng)
        self.reporter = self.reporter_class(self, me, self.zone, terms)
        self.fleet = Fleet(self)
        if self.store is not None and self.store.content:
            self.library.hold(self.store.content)
        self.copy = self.copy_class(self)
        self.copy.start(copy)
        if self.copy.held != NONE:
            self._holds_newer(self.copy.held_content)
            self.tellings_left = 0
        channel.carries(KIND, self.heard)
        channel.rides(self._ride, self._ride_heard)

    # ---- its life

    async def run(self) -> None:
        every = self.terms.every / NS
        while True:
            self.time()
            await anyio.sleep(every)

    def time(self) -> None:
        try:
            self.steady.read(self.clock.now())
            self.steady.due = self.steady.last + self.terms.every
            if self.writer is not None:
                self.writer.time()
                if self.writer.vouches():
                    self.copy.vouched(self.writer.tenure.value, 0)
            if self.copy.held == NONE and self.asked_around < ASK_AROUND and self.channel.membership.ring:
                self.asked_around += 1
                self.ask_around()
            self._want_newest()
            self.fetch.time()
            self._tell_news()
            if self.me not in self.terms.stores:
                refused_now = self.copy.held if self.copy.why_refused else NONE
                self.reporter.time(Report(self.copy.version, refused_now, self.copy.why_refused))
            self._to_itself()
        except Exception as fault:
            self.log.error("fault", what="distribution", cause=repr(fault), exc_info=fault)

    async def put(self, content: bytes, base: str, within: float) -> dict:
        """`base` is the version the change was made upon ("file" or "": none yet); `within` is in seconds, and is kept."""
        told: list[dict] = []
        ended = anyio.Event()

        def done(result: dict) -> None:
            told.append(result)
            ended.set()

        self.begin_put(content, base, int(within * NS), done)
        with anyio.move_on_after(within + 1):
            await ended.wait()
        return told[0] if told else {"ok": False, "unknown": True, "wrong": "its fate is not known: this process was busy"}

    def begin_put(self, content: bytes, base: str, within: int, done: Callable[[dict], None]) -> None:
        if self.writer is None:
            done(refused("this is no control machine"))
            return
        if not content or len(content) > MOST_CONTENT:
            done(refused(f"a configuration has 1 to {MOST_CONTENT} bytes, and this one has {len(content)}"))
            return
        self.writer.put(content, base, within, done)
        self._to_itself()

    async def start_from_peers(self, within: float) -> None:
        """For so long at the most (s), and no longer than until something is held or some peers say that there is nothing."""
        with anyio.move_on_after(within):
            while self.copy.held == NONE and len(self.nothing_at) < NOTHING_FROM:
                if self.asked_around >= ASK_AROUND:
                    self.ask_around()
                self.time()
                await anyio.sleep(LOOK)
        self.log.info("started-from-peers", version=self.copy.version.text, nothing_at=len(self.nothing_at))

    def ask_around(self) -> None:
        """What one near holds, of whom nothing is known."""
        near = self.near(
            [
                member.name
                for member in self.channel.membership.ring
                if member.name not in self.nothing_at and member.name not in self.holders
            ]
        )
        if near:
            self._say(self.rng.choice(near), Tell(tuple(NONE), True))

    # ---- words

    def heard(self, sender: Member, data: bytes) -> None:
        try:
            word = DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError):
            self.malformed += 1
            return
        if sender.name in self.places:
            self._take(sender.name, word)
            self._to_itself()

    def _say(self, to: str, word) -> bool:
        if to == self.me:
            self.own.append((to, word))
            return True
        member = self.channel.membership.members.get(to)
        return member is not None and member.there and self.channel.say(member, KIND, ENCODER.encode(word))

    def _to_itself(self) -> None:
        """Words between the writer and the store of one machine; bounded, as each answer may bring another."""
        if self.taking:
            return
        self.taking = True
        try:
            for _ in range(64):
                if not self.own:
                    break
                self._take(*self.own.pop(0))
        finally:
            self.taking = False

    def _take(self, by: str, word) -> None:
        kind = type(word)
        if kind is Tell:
            self._told(by, Version(*word.version), word.asks)
        elif kind is Ask:
            self.giver.asked(by, Version(*word.version), word.base, word.packing, word.missing)
        elif kind is Piece:
            self.fetch.piece(by, Version(*word.version), word.base, word.packing, word.total, word.index, word.data)
        elif kind is Busy:
            if word.after:
                self.fetch.busy(by, Version(*word.version), word.after * 1_000_000)
            else:
                self.holders.pop(by, None)
                self.fetch.have_not(by, Version(*word.version))
        elif kind is InForce:
            self.reporter.reported(by, Report(Version(*word.version), Version(*word.refused), word.why))
        elif kind is Sum:
            self.fleet.sum_told(
                by,
                ZoneSum(
                    word.zone,
                    word.nodes,
                    Version(*word.newest),
                    word.at_newest,
                    Version(*word.lowest),
                    word.late,
                    word.refusing,
                    word.whys,
                ),
            )
        elif self.writer is not None and by in self.terms.stores:
            self._take_vote(by, word)

    def _take_vote(self, by: str, word) -> None:
        kind, ballot = type(word), Ballot(*word.ballot)
        if kind is Stands:
            self.writer.stands(
                by,
                ballot,
                Stand(word.record, word.blank, Ballot(*word.taken_at), Version(*word.taken), Version(*word.chosen), word.noted),
            )
        elif kind is Outbid:
            self.writer.outbid(ballot, Ballot(*word.promised))
        elif kind is Prepare:
            self.store.prepare(by, ballot)
        elif kind is Note:
            self.store.note(by, ballot, word.record, word.store, word.noted)
        else:
            version = Version(*word.version)
            self.waiting[version] = (by, word)
            if len(self.waiting) > MOST_WAITING:
                del self.waiting[next(iter(self.waiting))]
            if kind is Take:
                self.store.take(by, ballot, word.record, version)
            else:
                self.store.enter(by, ballot, word.record, word.noted, version, word.founding)
            if version not in self.fetched_for_store():
                self.waiting.pop(version, None)

    def fetched_for_store(self) -> set[Version]:
        return {version for version in self.waiting if version.digest in self.fetch.wanted}

    # ---- what rides, what is told

    def _ride(self) -> bytes:
        age = self.copy.age
        return ENCODER.encode(Ride(tuple(self.copy.held), min(age * 10 // NS, MOST_AGE) if age != NEVER else -1))

    def _ride_heard(self, sender: Member, data: bytes) -> None:
        try:
            ride = RIDE_DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError):
            self.malformed += 1
            return
        if sender.name not in self.places:
            return
        version = Version(*ride.version)
        self._holds(sender.name, version)
        if ride.age >= 0:
            self.copy.vouched(version, ride.age * NS // 10)

    def _told(self, by: str, version: Version, asks: bool) -> None:
        if asks or self.copy.held.over(version):
            self._say(by, Tell(tuple(self.copy.held), False))
        if not asks:
            self._holds(by, version)

    def _holds(self, name: str, version: Version) -> None:
        if version == NONE:
            self.nothing_at.add(name)
            return
        self.holders[name] = version
        if self.copy.heard(version) or (version == self.copy.wants and not self.fetch.wanted):
            self._want_newest()

    def _tell_news(self) -> None:
        if self.tellings_left > 0 and self.copy.held != NONE:
            self.tellings_left -= 1
            body = ENCODER.encode(Tell(tuple(self.copy.held), False))
            for member in spread(self.channel.membership.ring, self.terms.news_to, self.rng):
                self.channel.say(member, KIND, body)

    # ---- contents

    def _want_newest(self) -> None:
        """The newest that somebody who is in holds: one that nobody has any more must not keep out what there is."""
        if self.copy.wants is None:
            return
        members = self.channel.membership.members
        there = [
            version
            for name, version in self.holders.items()
            if self.copy.newer(version) and name in members and members[name].there
        ]
        target = max(there, key=lambda version: version.number, default=None)
        if target is None:
            return
        if (
            self.copy.held == NONE
            and self.asked_around < ASK_AROUND
            and not any(name in self.holders for name in self.neighbours)
        ):
            return
        if target != self.target:
            if self.target not in self.waiting:
                self.fetch.drop(self.target)
            self.target = target
        self.fetch.want(target, lambda: self._holders_of(target))

    def _holders_of(self, target: Version) -> list[str]:
        members = self.channel.membership.members
        return [
            name
            for name, version in self.holders.items()
            if version.number >= target.number and name in members and members[name].there
        ]

    def near(self, names: list[str]) -> list[str]:
        """Those of the own zone, else of the region, else all."""
        zone = [name for name in names if self.places.get(name, ("", ""))[1] == self.zone]
        return zone or [name for name in names if self.places.get(name, ("", ""))[0] == self.region] or names

    def came(self, version: Version, content: bytes) -> None:
        self.library.hold(content)
        content = self.library.get(version.digest) or content
        if version in (self.target, self.copy.newest) and self.copy.newer(version):
            before = self.copy.held
            self.copy.got(version, content)
            if self.copy.held != before:
                self._holds_newer(content)
                self._tell_news()
        held = self.waiting.pop(version, None)
        if held is not None:
            self.own.append(held)
        if self.writer is not None:
            self.writer.content_came()

    def _holds_newer(self, content: bytes) -> None:
        self.library.hold(content)
        self.fetch.base = self.copy.held.digest
        self.tellings_left = self.terms.tellings
        if self.store is not None:
            self.store.learned(self.copy.held)

    def spoilt(self, version: Version, by: str, why: str) -> None:
        self.spoilt_contents += 1
        self.log.warning("configuration-spoilt", version=version.text, by=by, cause=why)

    # ---- the writer's, the store's, the giver's, the fetcher's and the reporter's outside

    def now(self) -> int:
        return self.steady.read(self.clock.now())

    def prepare(self, store: str, ballot: Ballot) -> None:
        self._say(store, Prepare(tuple(ballot)))

    def take(self, store: str, ballot: Ballot, record: int, version: Version) -> None:
        self._say(store, Take(tuple(ballot), record, tuple(version)))

    def note(self, store: str, ballot: Ballot, record: int, of: str, noted) -> None:
        self._say(store, Note(tuple(ballot), record, of, noted))

    def enter(self, store: str, ballot: Ballot, record: int, noted, version: Version, founding: bool) -> None:
        self._say(store, Enter(tuple(ballot), record, noted, tuple(version), founding))

    def content_of(self, version: Version) -> bytes | None:
        return self.library.get(version.digest)

    def hold_content(self, content: bytes) -> None:
        self.library.hold(content)

    def fetch_for_writer(self, version: Version, stores: list[str]) -> None:
        self.fetch.want(version, lambda: stores)

    def fetch_for_store(self, version: Version, writer: str) -> None:
        self.fetch.want(version, lambda: [writer])

    def chosen(self, version: Version) -> None:
        """A majority of the stores has it: from here on everybody may know."""
        self.copy.heard(version)
        content = self.library.get(version.digest)
        if content is not None and self.copy.newer(version):
            self.copy.got(version, content)
            if self.copy.held == version:
                self._holds_newer(content)
                self._tell_news()

    def stands(self, writer: str, ballot: Ballot, stand: Stand) -> None:
        self._say(
            writer,
            Stands(
                tuple(ballot),
                stand.record,
                stand.blank,
                tuple(stand.taken_at),
                tuple(stand.taken),
                tuple(stand.chosen),
                stand.noted,
            ),
        )

    def outbid(self, writer: str, ballot: Ballot, promised: Ballot) -> None:
        self._say(writer, Outbid(tuple(ballot), tuple(promised)))

    def ask(self, giver: str, version: Version, base: bytes, packing: bytes, missing: list[int]) -> None:
        self._say(giver, Ask(tuple(version), base, packing, missing))

    def give(self, to: str, version: Version, base: bytes, packing: bytes, total: int, index: int, data: bytes) -> bool:
        return self._say(to, Piece(tuple(version), base, packing, total, index, data))

    def busy(self, to: str, version: Version, after: int) -> None:
        self._say(to, Busy(tuple(version), max(1, after // 1_000_000)))

    def have_not(self, to: str, version: Version) -> None:
        self._say(to, Busy(tuple(version), 0))

    def zone_members(self) -> list[str]:
        members = self.channel.membership.members
        return [name for name in self.neighbours if name in members and members[name].there]

    def report_to(self, aggregator: str, report: Report) -> None:
        self._say(aggregator, InForce(tuple(report.version), tuple(report.refused), report.why[:120]))

    def sum_to(self, store: str, told: ZoneSum) -> None:
        self._say(
            store,
            Sum(
                told.zone, told.nodes, tuple(told.newest), told.at_newest, tuple(told.lowest), told.late, told.refusing, told.whys
            ),
        )

    # ---- the copy's outside

    def check_configuration(self, content: bytes) -> str | None:
        try:
            return self.host.check_configuration(content)
        except Exception as fault:
            self.log.error("fault", what="configuration's check", cause=repr(fault), exc_info=fault)
            return f"its check failed: {fault!r}"

    def take_configuration(self, version: str, content: bytes) -> str | None:
        try:
            return self.host.take_configuration(version, content)
        except Exception as fault:
            self.log.error("fault", what="configuration's taking", cause=repr(fault), exc_info=fault)
            return f"it could not be taken: {fault!r}"

    def keep_configuration(self, data: bytes) -> None:
        self.host.keep_configuration(data)

    def keep_vote(self, data: bytes) -> None:
        self.host.keep_vote(data)

    def not_kept(self, why: str) -> None:
        self.log.error("configuration-not-kept", cause=why)

    def copy_lost(self, why: str) -> None:
        self.log.error("configuration-copy-lost", cause=why)

    def vote_lost(self, what: str, why: str) -> None:
        self.log.error("configuration-vote", what=what, cause=why)

    def in_force(self, version: Version, before: Version) -> None:
        self.log.info("configuration-in-force", version=version.text, before=before.text)

    def refuses(self, version: Version, why: str) -> None:
        self.log.error("configuration-refused", version=version.text, in_force=self.copy.version.text, cause=why)

    def forked(self, one: Version, other: Version) -> None:
        self.log.error(
            "configuration-forked",
            one=one.text,
            other=other.text,
            cause="two contents under one number: neither is taken over the other",
        )

    # ---- for people

    @property
    def version(self) -> str:
        return self.copy.version.text

    @property
    def content(self) -> bytes | None:
        return self.copy.content

    def show(self) -> dict:
        """Plain data; times in seconds. `vouched_s` is how long ago a majority of the stores had nothing newer (None: nobody
        has said), and so how old what is held may be; `zones` and `stores` at control machines alone."""
        copy, now = self.copy, self.now()
        told = {
            "me": self.me,
            "in_force": copy.version.text,
            "in_force_s": round((now - copy.since) / NS, 1),
            "held": copy.held.text,
            "newest": copy.newest.text,
            "vouched_s": None if copy.age == NEVER else round(copy.age / NS, 1),
            "refused": [{"version": version.text, "why": why} for version, why in copy.refused.items()],
            "forks": copy.forks,
            "spoilt": self.spoilt_contents,
            "malformed": self.malformed,
            "given_bytes": self.giver.given_bytes,
            "times_busy": self.giver.times_busy,
            "zones": [],
            "stores": [],
        }
        if self.writer is not None:
            told["zones"] = self.fleet.show()
            told["stores"] = self._stores_shown()
            told["writes"] = self.writer.tenure is not None
        return told

    def _stores_shown(self) -> list[dict]:
        """This one's own, and what the writer knows of the others if it is here."""
        tenure = self.writer.tenure
        voters = self.writer._voters() if tenure is not None else []
        rows = []
        for name in self.terms.stores:
            stand = tenure.stands.get(name) if tenure is not None else None
            blank, taken = (
                (self.store.blank, self.store.taken)
                if name == self.me
                else ((stand.blank, stand.taken) if stand is not None else (None, NONE))
            )
            rows.append(
                {"store": name, "blank": blank, "votes": name in voters if tenure is not None else None, "taken": taken.text}
            )
        return rows
