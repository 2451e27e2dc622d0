"""Random histories of control machines that make versions and nodes that take them, and that there is one order, for everybody.

The wires are the program's own, with their words as bytes; membership is the world's, late by a while. Words are lost, doubled,
late and cut off, processes are killed, stopped and started with their disk or without, contents are spoilt on the way and in
memories. Leases are as bad as they can be: several hold one, or the same number. The world alone sees all disks and judges.
"""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

from curlewshift.distribution.copy import Copy
from curlewshift.distribution.fetching import Fetcher
from curlewshift.distribution.store import Store, read_record
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import NO_BALLOT, Version, digest_of
from curlewshift.distribution.writer import Writer
from curlewshift.peering.distributed import DECODER, ENCODER, DistributionProtocol, Piece

MS = 1_000_000
NS = 1_000_000_000
TROUBLED, QUIET = 24 * NS, 18 * NS
EVERY = 200 * MS
# How late membership tells that one has gone, and that one is in.
GONE_AFTER, IN_AFTER = 3 * NS, 500 * MS
KINDS = (
    "kill",
    "kill",
    "start",
    "start",
    "pause",
    "cut",
    "region",
    "heal",
    "links",
    "clean",
    "spoil",
    "wipe",
    "lease",
    "lease",
    "two-leases",
    "same-fence",
    "full-disk",
)


class InvariantViolated(Exception):
    """What must never be has come about."""


class Peer:
    """A member as all others see it."""

    def __init__(self, name: str):
        self.name, self.is_present, self.life = name, False, 0


class Lane:
    """A process's channel."""

    def __init__(self, process: Process):
        self.process, self.membership = process, self
        self.local_member = Peer(process.name)
        self.local_member.life = process.lives
        self.members = {name: peer for name, peer in process.history.peers.items() if name != process.name}
        self.heard = self.rider = self.ride_heard = None

    @property
    def ring(self) -> list[Peer]:
        return [peer for peer in self.members.values() if peer.is_present]

    def register_handler(self, kind: int, heard) -> None:
        self.heard = heard

    def register_piggyback(self, rider, heard) -> None:
        self.rider, self.ride_heard = rider, heard

    def send(self, to: Peer, kind: int, body: bytes) -> bool:
        self.process.history.carry(self.process, to.name, body)
        return True


class Process:
    """A node or control machine over its lives; the host of its wire, with its disk."""

    def __init__(self, history: VersionHistory, name: str, place: tuple[str, str], is_store: bool):
        self.history, self.name, self.place, self.is_store = history, name, place, is_store
        self.lives, self.alive, self.paused_until, self.fence = 0, False, 0, 0
        self.copy: bytes | None = None
        self.vote: bytes | None = None
        self.disk_full = False
        self.wire: DistributionProtocol | None = None
        # the number in force in this life, and the highest that this disk was given
        self.life_number = self.number = (0, 0)

    def now(self) -> int:
        return self.history.now

    def start(self) -> None:
        self.lives += 1
        self.alive, self.paused_until, self.fence, self.disk_full = True, 0, 0, False
        self.life_number = (0, 0)
        if self.copy is None:
            self.number = (0, 0)
        history = self.history
        self.lane = Lane(self)
        self.wire = history.wire(
            self.lane,
            self,
            self.name,
            history.places,
            history.terms,
            lambda: self.fence,
            self,
            history.log,
            Random(f"{history.seed} {self.name} {self.lives}"),
            self.copy,
            self.vote,
        )

    # ---- the wire's host

    def check_configuration(self, content: bytes) -> str | None:
        # some versions are wrong in the eyes of some nodes, as older programs see newer settings
        return "line 1: not for me" if b"refused-by " + self.name.encode() + b";" in content else None

    def apply_configuration(self, version: str, content: bytes) -> str | None:
        self.history.taken(self, version, content)
        return None

    def store_configuration(self, data: bytes) -> None:
        if self.disk_full:
            raise OSError("no space")
        self.copy = data

    def store_vote(self, data: bytes) -> None:
        if self.disk_full:
            raise OSError("no space")
        self.vote = data
        self.history.voted(self, data)


class Quiet:
    """A log that nobody reads, but for what must not be."""

    def __init__(self):
        self.faults: list[dict] = []

    def info(self, *_, **__) -> None:
        pass

    warning = info

    def error(self, event: str, **more) -> None:
        if event in ("fault", "configuration-forked"):
            self.faults.append(f"{event}: {more}")


class VersionHistory:
    def __init__(self, seed: int, wire: type[DistributionProtocol] = DistributionProtocol, nodes: int = 0, troubled: bool = True):
        self.seed, self.rng, self.now, self.wire = seed, Random(f"versions {seed}"), 1000 * NS, wire
        rng = self.rng
        self.queue: list[tuple] = []
        self.order = count()
        self.log = Quiet()
        self.loss = self.doubled = self.spoilt = 0.0
        self.late = 5 * MS
        self.parted = lambda a, b: False
        stores = [f"c{n}" for n in range(rng.choice((3, 3, 4, 5)))]
        zones = rng.randint(2, 4)
        self.places = {
            name: (f"r{n % zones // 2}", f"z{n % zones}")
            for n, name in enumerate(stores + [f"n{n}" for n in range(nodes or rng.randint(3, 30))])
        }
        self.terms = DistributionTerms(tuple(stores))
        self.peers = {name: Peer(name) for name in self.places}
        self.processes = {name: Process(self, name, place, name in stores) for name, place in self.places.items()}
        self.stores = [self.processes[name] for name in stores]
        self.fences = 0
        # contents made: content -> base it was made upon; versions by number; who took which version under which ballot
        self.bases: dict[bytes, str] = {}
        self.numbers: dict[tuple[int, int], Version] = {}
        self.votes: dict[tuple[Version, tuple], set[str]] = {}
        self.holding: dict[Version, set[str]] = {}
        self.chosen: dict[tuple[int, int], Version] = {}
        self.contents: dict[bytes, bytes] = {}
        self.puts = {"ok": 0, "unknown": 0, "refused": 0}
        self.ok_versions: list[str] = []
        self.takes = self.restarts = self.made = 0
        for process in self.processes.values():
            self._start(process)
            self.at(self.now + rng.randrange(EVERY), self._round, process)
            self.at(self.now + rng.randrange(NS), self._probe, process)
        self.at(self.now + 100 * MS, self._grant)
        self.last_trouble = self.now
        if troubled:
            self.at(self.now + NS, self._put)
            self.at(self.now + 2 * NS, self._trouble)

    def at(self, when: int, call, *arguments) -> None:
        heapq.heappush(self.queue, (when, next(self.order), call, arguments))

    def run_to(self, until: int) -> None:
        while self.queue and self.queue[0][0] < until:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
            if self.log.faults:
                raise InvariantViolated(self.log.faults[0])
        self.now = max(self.now, until)

    def run(self) -> float | None:
        """Seconds from the last trouble until all had the newest in force, and then one more put; None: not within `QUIET`.
        Raises `InvariantViolated`."""
        self.troubled_until = self.now + TROUBLED
        self.run_to(self.troubled_until)
        began = self.now
        self._calm()
        made = []
        while self.now < began + QUIET:
            self.run_to(self.now + EVERY)
            holder = next((store for store in self.stores if store.fence), None)
            if not made and holder is not None and self.agreed() and holder.wire.writer.pending_change is None:
                self._put_at(holder, made, refusable=False)
            elif made and made[0] is not None and not made[0]["ok"]:
                made.clear()
            elif made and made[0] is not None and self.agreed() and self.newest().text == made[0]["version"]:
                return (self.now - began) / NS
        return None

    def newest(self) -> Version | None:
        return self.chosen[max(self.chosen)] if self.chosen else None

    def agreed(self) -> bool:
        newest = self.newest()
        text = newest.text if newest is not None else "file"
        return all(
            process.wire.copy.held.text == text and (process.wire.version == text or process.wire.copy.refusal_reason)
            for process in self.processes.values()
        )

    # ---- words

    def carry(self, sender: Process, to: str, body: bytes, ride: bool = False) -> None:
        rng = self.rng
        if rng.random() < self.loss:
            return
        if self.spoilt and not ride and rng.random() < self.spoilt:
            body = self._spoil(body)
        for _ in range(2 if self.doubled and rng.random() < self.doubled else 1):
            self.at(self.now + 1 + rng.randrange(self.late), self._arrives, sender, sender.name, to, body, ride)

    def _spoil(self, body: bytes) -> bytes:
        """A piece's data change on their way, and the frame's sum with them: as in a giver's memory."""
        word = DECODER.decode(body)
        if type(word) is Piece and word.data:
            at = self.rng.randrange(len(word.data))
            word.data = word.data[:at] + bytes((word.data[at] ^ 1 << self.rng.randrange(8),)) + word.data[at + 1 :]
            return ENCODER.encode(word)
        return body

    def _arrives(self, sender: Process, by: str, to: str, body: bytes, ride: bool) -> None:
        process = self.processes[to]
        if not process.alive or self.parted(sender, process):
            return
        if process.paused_until > self.now:
            self.at(process.paused_until, self._arrives, sender, by, to, body, ride)
            return
        lane = process.lane
        if not ride:
            lane.heard(lane.members[by], body)
            return
        lane.ride_heard(lane.members[by], body)

    def _round(self, process: Process) -> None:
        if process.alive and process.paused_until <= self.now:
            process.wire.time()
        self.at(self.now + EVERY, self._round, process)

    def _probe(self, process: Process) -> None:
        """Membership's probe each second, and its answer."""
        if process.alive and process.paused_until <= self.now:
            ring = process.lane.ring
            if ring:
                other = self.processes[self.rng.choice(ring).name]
                self.carry(process, other.name, process.lane.rider(), ride=True)
                if other.alive:
                    self.carry(other, process.name, other.lane.rider(), ride=True)
        self.at(self.now + NS, self._probe, process)

    # ---- what befalls them

    def _start(self, process: Process) -> None:
        process.start()
        self.restarts += 1
        self.at(self.now + IN_AFTER, self._in, process, process.lives)

    def _in(self, process: Process, life: int) -> None:
        if process.alive and process.lives == life:
            self.peers[process.name].is_present = True

    def _kill(self, process: Process) -> None:
        process.alive, process.fence = False, 0
        self.at(self.now + GONE_AFTER, self._gone, process, process.lives)

    def _gone(self, process: Process, life: int) -> None:
        if not process.alive and process.lives == life:
            self.peers[process.name].is_present = False

    def _grant(self, kind: str = "lease") -> None:
        """Who holds the lease: one, or two of them, or two with one number."""
        able = [store for store in self.stores if store.alive]
        if not able:
            return
        if kind == "lease":
            for store in self.stores:
                if store.paused_until <= self.now:
                    store.fence = 0
        if kind != "same-fence" or not self.fences:
            self.fences += self.rng.randint(1, 3)
        self.rng.choice(able).fence = self.fences

    def _trouble(self) -> None:
        if self.now >= self.troubled_until:
            return
        rng, kind = self.rng, self.rng.choice(KINDS)
        process = rng.choice(self.stores if rng.random() < 0.5 else list(self.processes.values()))
        if kind == "kill":
            self._kill(process)
        elif kind == "start":
            self._start(process)
        elif kind == "pause":
            process.paused_until = self.now + rng.randrange(8 * NS)
        elif kind == "cut":
            side = set(rng.sample(list(self.processes), rng.randint(1, len(self.processes) - 1)))
            self.parted = lambda a, b: (a.name in side) != (b.name in side)
        elif kind == "region":
            self.parted = lambda a, b: a.place[0] != b.place[0]
        elif kind == "heal":
            self.parted = lambda a, b: False
        elif kind == "links":
            self.loss, self.doubled = rng.choice((0, 0.1, 0.4)), rng.choice((0, 0.3))
            self.late, self.spoilt = rng.choice((5, 100, 4000)) * MS, rng.choice((0, 0.1))
        elif kind == "clean":
            self._clean()
        elif kind == "spoil":
            self._rot(process)
        elif kind == "wipe":
            self._wipe(process)
        elif kind == "full-disk":
            process.disk_full = not process.disk_full
        else:
            self._grant(kind)
        self.at(self.now + rng.randrange(2 * NS), self._trouble)

    def _rot(self, process: Process) -> None:
        """A node's memory of a content changes; it gives on what it has."""
        contents = process.wire.library.contents if process.alive and not process.is_store else {}
        for digest in list(contents)[-1:]:
            contents[digest] = contents[digest][:-1] + b"!"

    def _wipe(self, process: Process) -> None:
        """A machine comes back with another disk. Of the stores' records a majority is always left: more is the end of them."""
        if process.is_store:
            blank = sum(store.vote is None for store in self.stores if store is not process)
            if len(self.stores) - blank - 1 < self.terms.majority:
                return
        process.copy = process.vote = None
        self._start(process)

    def _clean(self) -> None:
        self.loss = self.doubled = self.spoilt = 0.0
        self.late = 5 * MS

    def _calm(self) -> None:
        self._clean()
        self.parted = lambda a, b: False
        for process in self.processes.values():
            process.paused_until, process.disk_full = 0, False
            if not process.alive:
                self._start(process)
        self._grant()

    # ---- changes

    def _put(self) -> None:
        if self.now >= self.troubled_until:
            return
        able = [store for store in self.stores if store.alive and store.paused_until <= self.now]
        held = [store for store in able if store.fence]
        if held or able:
            self._put_at(self.rng.choice(held or able), [])
        self.at(self.now + self.rng.randrange(4 * NS), self._put)

    def _put_at(self, store: Process, made: list, refusable: bool = True) -> None:
        rng, wire = self.rng, store.wire
        lines = (wire.content or b"".join(b"front-%d place %d\n" % (n, rng.getrandbits(40)) for n in range(60))).split(b"\n")
        lines[rng.randrange(len(lines))] = b"front line %d" % rng.getrandbits(60)
        if refusable and rng.random() < 0.1:
            lines[0] = b"refused-by n%d;" % rng.randrange(5)
        elif not refusable:
            lines[0] = b"good for all"
        # no two alike: the judge knows by its content upon what a change was made
        self.made += 1
        lines[-1] = b"change %d" % self.made
        content = b"\n".join(lines)
        base = wire.version if rng.random() < 0.9 else rng.choice(self.ok_versions or ["file"])
        if wire.copy.held.text != wire.version and not refusable:
            base = wire.copy.held.text
        self.bases[content] = base
        self.contents[digest_of(content)] = content
        made.append(None)

        def done(told: dict) -> None:
            made[:] = [told]
            self.puts["ok" if told["ok"] else "unknown" if told["unknown"] else "refused"] += 1
            if told["ok"]:
                self.ok_versions.append(told["version"])
                if told["version"] not in [version.text for version in self.chosen.values()]:
                    self._wrong(f"put answered ok, and no majority has {told['version']}")

        wire.begin_put(content, base, 4 * NS, done)

    # ---- the judge

    def _wrong(self, words: str) -> None:
        """Told by the next event: what is raised within a wire's call is its own to catch."""
        self.log.faults.append(words)

    def _known(self, version: Version) -> None:
        other = self.numbers.setdefault(version.number, version)
        if other != version:
            self._wrong(f"two contents under one number: {other.text} and {version.text}")

    def voted(self, store: Process, data: bytes) -> None:
        record = read_record(data)
        version = Version(*record.taken)
        if not version.fence:
            return
        self._known(version)
        self.holding.setdefault(version, set()).add(store.name)
        votes = self.votes.setdefault((version, tuple(record.taken_at)), set())
        votes.add(store.name)
        if len(votes) >= self.terms.majority and version.number not in self.chosen:
            self.chosen[version.number] = version
            self._one_chain()

    def _one_chain(self) -> None:
        """Each was made upon the one before it: nobody's change is lost under another's."""
        before = "file"
        for number in sorted(self.chosen):
            version = self.chosen[number]
            base = self.bases[self.contents[version.digest]]
            if base != before:
                self._wrong(f"{version.text} was made upon {base}, and {before} came before it")
            before = version.text

    def taken(self, process: Process, text: str, content: bytes) -> None:
        self.takes += 1
        version = next((version for version in self.numbers.values() if version.text == text), None)
        if version is None or digest_of(content) != version.digest:
            self._wrong(f"{process.name} has in force under {text} what that is not")
            return
        if len(self.holding.get(version, ())) < self.terms.majority:
            self._wrong(f"{process.name} was told of {text} before a majority had it")
        if version.number < max(process.number, process.life_number):
            self._wrong(f"{process.name} went back to {text} from {max(process.number, process.life_number)}")
        process.life_number = version.number
        if not process.disk_full:
            process.number = version.number


def histories(seeds: range, **how) -> list[tuple[int, float | None, str]]:
    """Each seed with how soon all agreed after the last trouble (s; None: not within the bound), and what broke."""
    ended = []
    for seed in seeds:
        try:
            ended.append((seed, VersionHistory(seed, **how).run(), ""))
        except InvariantViolated as wrong:
            ended.append((seed, None, str(wrong)))
    return ended


# ---- planted faults


class NoMajority(Writer):
    """Tells as soon as one store has it."""

    def _quorum(self):
        return 1


class OldOverNew(Copy):
    """Takes whatever it hears last."""

    def version_announced(self, version):
        news, self.newest = version != self.newest, version
        return news

    def newer(self, version):
        return version != self.held


class HalfInForce(Copy):
    """Takes the first half before the rest."""

    def _take(self, version, content, already_stored=False):
        if self.content:
            half = len(content) // 2
            self.driver.apply_configuration(version.text, content[:half] + self.content[half:])
        return super()._take(version, content, already_stored)


class DigestUncheckedFetch(Fetcher):
    def _fits(self, content, version):
        return True


class DigestUncheckedCopy(Copy):
    def _fits(self, version, content):
        return True


class BlankVotes(Store):
    """Takes its memory being empty for knowing that there is nothing."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.blank = False


class UnnotedLetIn(Writer):
    """Lets a store in without telling the others that its old record is void."""

    def _let_in(self, voters, again):
        tenure = self.tenure
        for store, stand in list(tenure.stands.items()):
            if stand.blank and again and len(voters) >= self.majority:
                known = {**self._noted(), store: (tenure.ballot.fence, 1, stand.record)}
                self.driver.enter(store, tenure.ballot, stand.record, known, tenure.value, False)

    def _voters(self):
        return [store for store, stand in self.tenure.stands.items() if not stand.blank]


class ByNumber(Writer):
    """Takes the version with the highest number for the newest, whoever outweighed it since."""

    def _decide(self, voters):
        tenure = self.tenure
        for store in voters:
            stand = tenure.stands[store]
            tenure.stands[store] = stand._replace(taken_at=NO_BALLOT)
        super()._decide(voters)


class BaseUnchecked(Writer):
    def _make(self):
        if self.pending_change is not None and self.pending_change.version is None:
            self.pending_change.base = self.tenure.value.text
        super()._make()


def wire_of(**classes) -> type[DistributionProtocol]:
    return type("Planted", (DistributionProtocol,), classes)


FAULTS = {
    "no-majority": dict(writer=NoMajority),
    "old-over-new": dict(copy=OldOverNew),
    "half-in-force": dict(copy=HalfInForce),
    "digest-unchecked": dict(copy=DigestUncheckedCopy, fetch=DigestUncheckedFetch),
    "blank-votes": dict(store=BlankVotes),
    "unnoted-let-in": dict(writer=UnnotedLetIn),
    "by-number": dict(writer=ByNumber),
    "base-unchecked": dict(writer=BaseUnchecked),
}


def planted(fault: str) -> type[DistributionProtocol]:
    return wire_of(**{f"{part}_class": kind for part, kind in FAULTS[fault].items()})
