"""Random histories of control machines that make versions and nodes that put them in force: all must see one order.

The wires are the production ones, with encoded messages; membership is simulated, with a delay of up to 3 s. Messages are lost,
duplicated, delayed and partitioned; processes are killed, paused and started with their disk or without it; contents are
corrupted on links and in memory. Leases give no guarantee here: several stores may hold one, or hold the same fence (fencing
token). The history sees all disks and checks the invariants.
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
FAULT_DURATION, QUIET_DURATION = 24 * NS, 18 * NS
ROUND_INTERVAL = 200 * MS
# The delay after which membership reports that a process has gone, and that it has joined (ns).
GONE_DELAY, JOIN_DELAY = 3 * NS, 500 * MS
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
    """An invariant of the distribution of versions was violated."""


class Peer:
    """A member as all others see it. A life is one run of its process."""

    def __init__(self, name: str):
        self.name, self.is_present, self.life = name, False, 0


class EmulatedChannel:
    """The channel of a process."""

    def __init__(self, process: Process):
        self.process, self.membership = process, self
        self.local_member = Peer(process.name)
        self.local_member.life = process.lives
        self.members = {name: peer for name, peer in process.history.peers.items() if name != process.name}
        self.handler = self.rider = self.piggyback_handler = None

    @property
    def ring(self) -> list[Peer]:
        return [peer for peer in self.members.values() if peer.is_present]

    def register_handler(self, kind: int, handler) -> None:
        self.handler = handler

    def register_piggyback(self, rider, handler) -> None:
        self.rider, self.piggyback_handler = rider, handler

    def send(self, to: Peer, kind: int, body: bytes) -> bool:
        self.process.history.transmit(self.process, to.name, body)
        return True


class Process:
    """A node or control machine over all its lives; the driver of its wire, with its disk."""

    def __init__(self, history: VersionHistory, name: str, place: tuple[str, str], is_store: bool):
        self.history, self.name, self.place, self.is_store = history, name, place, is_store
        self.lives, self.alive, self.paused_until, self.fence = 0, False, 0, 0
        self.copy: bytes | None = None
        self.vote: bytes | None = None
        self.disk_full = False
        self.wire: DistributionProtocol | None = None
        # the version number in force in this life, and the highest that was written to this disk
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
        self.channel = EmulatedChannel(self)
        self.wire = history.wire(
            self.channel,
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

    # ---- the driver of the wire

    def check_configuration(self, content: bytes) -> str | None:
        # some nodes refuse some versions, as older programs refuse newer settings
        return "line 1: not for me" if b"refused-by " + self.name.encode() + b";" in content else None

    def apply_configuration(self, version: str, content: bytes) -> str | None:
        self.history.version_taken(self, version, content)
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


class FaultLog:
    """Discards log lines, but collects those that report a violated invariant."""

    def __init__(self):
        self.faults: list[dict] = []

    def info(self, *_, **__) -> None:
        pass

    warning = info

    def error(self, event: str, **fields) -> None:
        if event in ("fault", "configuration-forked"):
            self.faults.append(f"{event}: {fields}")


class VersionHistory:
    """One random history; the seed decides sizes, message loss and faults. Zero for `nodes` draws the count at random."""

    def __init__(
        self, seed: int, wire: type[DistributionProtocol] = DistributionProtocol, nodes: int = 0, with_faults: bool = True
    ):
        self.seed, self.rng, self.now, self.wire = seed, Random(f"versions {seed}"), 1000 * NS, wire
        rng = self.rng
        self.queue: list[tuple] = []
        self.order = count()
        self.log = FaultLog()
        self.loss = self.duplication = self.corruption = 0.0
        self.max_delay = 5 * MS
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
        # content -> the version that it was based on; versions by number; the stores that accepted a version, by its ballot
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
            self.at(self.now + rng.randrange(ROUND_INTERVAL), self._run_round, process)
            self.at(self.now + rng.randrange(NS), self._probe, process)
        self.at(self.now + 100 * MS, self._grant)
        self.last_fault_at = self.now
        if with_faults:
            self.at(self.now + NS, self._put)
            self.at(self.now + 2 * NS, self._inject_fault)

    def at(self, when: int, call, *arguments) -> None:
        heapq.heappush(self.queue, (when, next(self.order), call, arguments))

    def run_to(self, until: int) -> None:
        """Runs the history until this virtual time (ns)."""
        while self.queue and self.queue[0][0] < until:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
            if self.log.faults:
                raise InvariantViolated(self.log.faults[0])
        self.now = max(self.now, until)

    def run(self) -> float | None:
        """Runs random faults, then a quiet time in which all must agree, and one more change must come into force.

        Returns the seconds from the last fault until then, or None if it took longer than `QUIET_DURATION`. Raises
        `InvariantViolated`.
        """
        self.faults_until = self.now + FAULT_DURATION
        self.run_to(self.faults_until)
        began = self.now
        self._end_faults()
        made = []
        while self.now < began + QUIET_DURATION:
            self.run_to(self.now + ROUND_INTERVAL)
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

    # ---- messages

    def transmit(self, sender: Process, to: str, body: bytes, piggyback: bool = False) -> None:
        rng = self.rng
        if rng.random() < self.loss:
            return
        if self.corruption and not piggyback and rng.random() < self.corruption:
            body = self._corrupt(body)
        for _ in range(2 if self.duplication and rng.random() < self.duplication else 1):
            self.at(self.now + 1 + rng.randrange(self.max_delay), self._deliver, sender, sender.name, to, body, piggyback)

    def _corrupt(self, body: bytes) -> bytes:
        """Flips a bit in the data of a piece before the checksum of the frame is made, as in the memory of the sender."""
        message = DECODER.decode(body)
        if type(message) is Piece and message.data:
            at = self.rng.randrange(len(message.data))
            message.data = message.data[:at] + bytes((message.data[at] ^ 1 << self.rng.randrange(8),)) + message.data[at + 1 :]
            return ENCODER.encode(message)
        return body

    def _deliver(self, sender: Process, by: str, to: str, body: bytes, piggyback: bool) -> None:
        process = self.processes[to]
        if not process.alive or self.parted(sender, process):
            return
        if process.paused_until > self.now:
            self.at(process.paused_until, self._deliver, sender, by, to, body, piggyback)
            return
        channel = process.channel
        if not piggyback:
            channel.handler(channel.members[by], body)
            return
        channel.piggyback_handler(channel.members[by], body)

    def _run_round(self, process: Process) -> None:
        if process.alive and process.paused_until <= self.now:
            process.wire.time()
        self.at(self.now + ROUND_INTERVAL, self._run_round, process)

    def _probe(self, process: Process) -> None:
        """Sends the probe of membership, once a second, and its answer; both carry piggybacked data."""
        if process.alive and process.paused_until <= self.now:
            ring = process.channel.ring
            if ring:
                other = self.processes[self.rng.choice(ring).name]
                self.transmit(process, other.name, process.channel.rider(), piggyback=True)
                if other.alive:
                    self.transmit(other, process.name, other.channel.rider(), piggyback=True)
        self.at(self.now + NS, self._probe, process)

    # ---- faults

    def _start(self, process: Process) -> None:
        process.start()
        self.restarts += 1
        self.at(self.now + JOIN_DELAY, self._report_joined, process, process.lives)

    def _report_joined(self, process: Process, life: int) -> None:
        if process.alive and process.lives == life:
            self.peers[process.name].is_present = True

    def _kill(self, process: Process) -> None:
        process.alive, process.fence = False, 0
        self.at(self.now + GONE_DELAY, self._report_gone, process, process.lives)

    def _report_gone(self, process: Process, life: int) -> None:
        if not process.alive and process.lives == life:
            self.peers[process.name].is_present = False

    def _grant(self, kind: str = "lease") -> None:
        """Grants the lease to a random store; `kind` lets an earlier holder keep it, or gives out the same fence again."""
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

    def _inject_fault(self) -> None:
        if self.now >= self.faults_until:
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
            self.loss, self.duplication = rng.choice((0, 0.1, 0.4)), rng.choice((0, 0.3))
            self.max_delay, self.corruption = rng.choice((5, 100, 4000)) * MS, rng.choice((0, 0.1))
        elif kind == "clean":
            self._clear_link_faults()
        elif kind == "spoil":
            self._corrupt_memory(process)
        elif kind == "wipe":
            self._wipe(process)
        elif kind == "full-disk":
            process.disk_full = not process.disk_full
        else:
            self._grant(kind)
        self.at(self.now + rng.randrange(2 * NS), self._inject_fault)

    def _corrupt_memory(self, process: Process) -> None:
        """Corrupts the newest content in the memory of a node, which continues to serve it to others."""
        contents = process.wire.library.contents if process.alive and not process.is_store else {}
        for digest in list(contents)[-1:]:
            contents[digest] = contents[digest][:-1] + b"!"

    def _wipe(self, process: Process) -> None:
        """Restarts a process with an empty disk, unless that left records at less than a majority of the stores.

        The stores do not survive the loss of a majority of their records.
        """
        if process.is_store:
            empty_stores = sum(store.vote is None for store in self.stores if store is not process)
            if len(self.stores) - empty_stores - 1 < self.terms.majority:
                return
        process.copy = process.vote = None
        self._start(process)

    def _clear_link_faults(self) -> None:
        self.loss = self.duplication = self.corruption = 0.0
        self.max_delay = 5 * MS

    def _end_faults(self) -> None:
        self._clear_link_faults()
        self.parted = lambda a, b: False
        for process in self.processes.values():
            process.paused_until, process.disk_full = 0, False
            if not process.alive:
                self._start(process)
        self._grant()

    # ---- changes

    def _put(self) -> None:
        if self.now >= self.faults_until:
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
        # contents are unique, because the checks look up the base of a change by its content
        self.made += 1
        lines[-1] = b"change %d" % self.made
        content = b"\n".join(lines)
        base = wire.version if rng.random() < 0.9 else rng.choice(self.ok_versions or ["file"])
        if wire.copy.held.text != wire.version and not refusable:
            base = wire.copy.held.text
        self.bases[content] = base
        self.contents[digest_of(content)] = content
        made.append(None)

        def done(result: dict) -> None:
            made[:] = [result]
            self.puts["ok" if result["ok"] else "unknown" if result["unknown"] else "refused"] += 1
            if result["ok"]:
                self.ok_versions.append(result["version"])
                if result["version"] not in [version.text for version in self.chosen.values()]:
                    self._report_violation(f"put was answered ok, but no majority of stores has {result['version']}")

        wire.begin_put(content, base, 4 * NS, done)

    # ---- invariants

    def _report_violation(self, text: str) -> None:
        """Records a violation, raised after the present event: the wire would catch an exception raised within its call."""
        self.log.faults.append(text)

    def _check_number(self, version: Version) -> None:
        other = self.numbers.setdefault(version.number, version)
        if other != version:
            self._report_violation(f"two contents under one version number: {other.text} and {version.text}")

    def voted(self, store: Process, data: bytes) -> None:
        record = read_record(data)
        version = Version(*record.taken)
        if not version.fence:
            return
        self._check_number(version)
        self.holding.setdefault(version, set()).add(store.name)
        votes = self.votes.setdefault((version, tuple(record.taken_at)), set())
        votes.add(store.name)
        if len(votes) >= self.terms.majority and version.number not in self.chosen:
            self.chosen[version.number] = version
            self._check_chain()

    def _check_chain(self) -> None:
        """Checks that each chosen version is based on the one before it, so that no change is lost under another."""
        before = "file"
        for number in sorted(self.chosen):
            version = self.chosen[number]
            base = self.bases[self.contents[version.digest]]
            if base != before:
                self._report_violation(f"{version.text} is based on {base}, but its predecessor is {before}")
            before = version.text

    def version_taken(self, process: Process, text: str, content: bytes) -> None:
        self.takes += 1
        version = next((version for version in self.numbers.values() if version.text == text), None)
        if version is None or digest_of(content) != version.digest:
            self._report_violation(f"{process.name} put in force under {text} a content that is not of this version")
            return
        if len(self.holding.get(version, ())) < self.terms.majority:
            self._report_violation(f"{process.name} put {text} in force before a majority of stores had it")
        if version.number < max(process.number, process.life_number):
            self._report_violation(f"{process.name} went back to {text} from {max(process.number, process.life_number)}")
        process.life_number = version.number
        if not process.disk_full:
            process.number = version.number


def histories(seeds: range, **options) -> list[tuple[int, float | None, str]]:
    """Returns each seed with the seconds from the last fault to agreement (None: not in time) and the violation, if any."""
    ended = []
    for seed in seeds:
        try:
            ended.append((seed, VersionHistory(seed, **options).run(), ""))
        except InvariantViolated as violation:
            ended.append((seed, None, str(violation)))
    return ended


# ---- planted faults


class NoMajority(Writer):
    """Announces a version as soon as one store has it."""

    def _quorum(self):
        return 1


class OldOverNew(Copy):
    """Takes whichever version it received last, though it may be older."""

    def version_announced(self, version):
        changed, self.newest = version != self.newest, version
        return changed

    def newer(self, version):
        return version != self.held


class HalfInForce(Copy):
    """Puts the first half of a content in force before the rest."""

    def _take(self, version, content, already_stored=False):
        if self.content:
            half = len(content) // 2
            self.driver.apply_configuration(version.text, content[:half] + self.content[half:])
        return super()._take(version, content, already_stored)


class DigestUncheckedFetch(Fetcher):
    """Does not check the digest of a fetched content."""

    def _fits(self, content, version):
        return True


class DigestUncheckedCopy(Copy):
    """Does not check the digest of a content before it is put in force."""

    def _fits(self, version, content):
        return True


class BlankVotes(Store):
    """Votes after the loss of its record as if no version had ever been made."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.blank = False


class UnnotedLetIn(Writer):
    """Admits a store that lost its record without noting at the others that the earlier record is void."""

    def _let_in(self, voters, again):
        tenure = self.tenure
        for store, stand in list(tenure.stands.items()):
            if stand.blank and again and len(voters) >= self.majority:
                known = {**self._noted(), store: (tenure.ballot.fence, 1, stand.record)}
                self.driver.enter(store, tenure.ballot, stand.record, known, tenure.value, False)

    def _voters(self):
        return [store for store, stand in self.tenure.stands.items() if not stand.blank]


class ByNumber(Writer):
    """Takes the version with the highest number as the newest and ignores the ballots under which versions were accepted."""

    def _decide(self, voters):
        tenure = self.tenure
        for store in voters:
            stand = tenure.stands[store]
            tenure.stands[store] = stand._replace(taken_at=NO_BALLOT)
        super()._decide(voters)


class BaseUnchecked(Writer):
    """Makes a change though its base is no longer the newest version."""

    def _make(self):
        if self.pending_change is not None and self.pending_change.version is None:
            self.pending_change.base = self.tenure.value.text
        super()._make()


def wire_of(**classes) -> type[DistributionProtocol]:
    """Returns the wire class with these classes in place of its own."""
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
    """Returns the wire class with the planted fault of this name."""
    return wire_of(**{f"{part}_class": kind for part, kind in FAULTS[fault].items()})
