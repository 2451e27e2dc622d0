"""Model checker for versions of the configuration: two writers, three stores and two nodes, whose messages arrive in any order;
the versions always form one chain.

Writers, stores and the nodes' copies are the program's own. Requests of a writer to a store are kept one of each kind: one that
is never delivered is lost, an answer may be delayed, and the last `take` of an earlier attempt may arrive at any time, any
number of times. An announced version may reach a node in any order, repeatedly, and with corrupt content. Both writers may
hold the lease at once, even with the same fence (fencing token). Called by `curlewshift walk --of versions` and by tests.
"""

from __future__ import annotations

from copy import copy
from random import Random

from curlewshift.distribution.copy import Copy
from curlewshift.distribution.store import Store, read_record
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import Version, digest_of
from curlewshift.distribution.writer import Writer
from curlewshift.model_checker.explore import ExplorationResult, InvariantViolated, explore

STORES, WRITERS, NODES = ("a", "b", "c"), 2, 2
# Resends are due at once: when they happen is a step that the checker chooses, and no clock decides it.
TERMS = DistributionTerms(STORES, resend_interval=0)
# In one trace: tenures, changes requested, restarts of any process, records lost (a majority of the stores keeps its own);
# and answers delayed at a time.
MAX_TENURES, MAX_PUTS, MAX_RESTARTS, MAX_LOST, MAX_DELAYED_ANSWERS = 3, 3, 1, 1, 1
# Requests that are delivered in one round between a writer and the stores it reaches, in the larger steps.
MAX_ROUND_MESSAGES = 12
# How much more often than the others (1) a kind of step is chosen in random traces.
WEIGHTS = {"trip": 12, "round": 8, "half": 3, "answer": 3, "again": 4, "put": 2, "tell": 2}


class SequentialNumbers:
    """Numbers records 1, 2, 3 and so on, in place of a random generator."""

    def __init__(self, model: VersionModel):
        self.model = model

    def getrandbits(self, _: int) -> int:
        self.model.records += 1
        return self.model.records


class WriterEnd:
    """The driver of one writer; its requests go into the model."""

    def __init__(self, model: VersionModel, number: int):
        self.model, self.number = model, number

    def now(self) -> int:
        return 0

    def fence(self) -> int:
        return self.model.fences[self.number]

    def prepare(self, store, ballot) -> None:
        self.model.requests[self.number, store, "prepare"] = (ballot,)

    def take(self, store, ballot, record, version) -> None:
        self.model.requests[self.number, store, "take"] = (ballot, record, version)
        self.model.stale[self.number, store] = (ballot, record, version)

    def note(self, store, ballot, record, of, noted) -> None:
        self.model.requests[self.number, store, "note"] = (ballot, record, of, noted)

    def enter(self, store, ballot, record, noted, version, founding) -> None:
        self.model.requests[self.number, store, "enter"] = (ballot, record, noted, version, founding)

    def content_of(self, version) -> bytes | None:
        return self.model.contents.get(version.digest)

    def hold_content(self, content) -> None:
        self.model.contents[digest_of(content)] = content

    def fetch_for_writer(self, version, stores) -> None:
        pass

    def chosen(self, version) -> None:
        self.model.announce(version)


class StoreEnd:
    """The driver of one store; the model keeps its last answer."""

    def __init__(self, model: VersionModel, name: str):
        self.model, self.name = model, name

    def store_vote(self, data: bytes) -> None:
        self.model.record_written(self.name, data)

    def content_of(self, version) -> bytes | None:
        return self.model.contents.get(version.digest)

    def fetch_for_store(self, version, writer) -> None:
        pass

    def stands(self, writer, ballot, stand) -> None:
        self.model.answer = (int(writer), "stands", (self.name, ballot, stand))

    def outbid(self, writer, ballot, promised) -> None:
        self.model.answer = (int(writer), "outbid", (ballot, promised))

    def vote_lost(self, what, why) -> None:
        raise AssertionError(what)


class NodeEnd:
    """The driver of one node's copy of the configuration."""

    def __init__(self, model: VersionModel, number: int):
        self.model, self.number = model, number

    def now(self) -> int:
        return 0

    def check_configuration(self, content) -> str | None:
        return None

    def apply_configuration(self, text, content) -> str | None:
        self.model.in_force(self.number, text, content)
        return None

    def store_configuration(self, data) -> None:
        self.model.disks[self.number] = data

    def __getattr__(self, name: str):
        # the events that it logs
        return lambda *_: None


class VersionModel:
    """With `blank` the stores begin blank (they have no record yet, and do not vote); otherwise they are founded. Answers are
    kept as (writer, message, arguments); `delayed` are those still to be delivered."""

    max_tenures, max_puts, max_restarts, max_lost = MAX_TENURES, MAX_PUTS, MAX_RESTARTS, MAX_LOST

    def __init__(self, writer: type[Writer] = Writer, store: type[Store] = Store, node: type[Copy] = Copy, blank: bool = False):
        self.classes = (writer, store, node)
        self.fences, self.latest_fence, self.lives = [0] * WRITERS, 0, [1] * WRITERS
        self.tenures = self.puts = self.restarts = self.lost = self.records = 0
        self.requests: dict[tuple, tuple] = {}
        self.stale: dict[tuple, tuple] = {}
        self.delayed: list[tuple] = []
        self.answer: tuple | None = None
        self.contents: dict[bytes, bytes] = {}
        self.bases: dict[bytes, str] = {}
        self.version_by_number: dict[tuple[int, int], Version] = {}
        self.votes: dict[tuple, frozenset[str]] = {}
        self.chosen: dict[tuple[int, int], Version] = {}
        self.announced: dict[Version, None] = {}
        self.violation = ""
        self.stored_records: dict[str, bytes | None] = dict.fromkeys(STORES)
        self.disks: list[bytes | None] = [None] * NODES
        self.last_in_force: list[tuple[int, int]] = [(0, 0)] * NODES
        self.writers = [self._writer(number) for number in range(WRITERS)]
        self.stores = {name: store(StoreEnd(self, name), None, SequentialNumbers(self)) for name in STORES}
        self.nodes = [node(NodeEnd(self, number)) for number in range(NODES)]
        if not blank:
            self._found_stores()

    def _writer(self, number: int) -> Writer:
        return self.classes[0](WriterEnd(self, number), str(number), self.lives[number], TERMS)

    def _found_stores(self) -> None:
        """Puts the stores in the state after a writer's first round that made no version. The checker also starts from blank
        stores."""
        noted = {name: (0, 1, store.number) for name, store in self.stores.items()}
        for store in self.stores.values():
            store._persist(blank=False, noted=noted)

    def clone(self) -> VersionModel:
        other = copy(self)
        for name in (
            "fences",
            "lives",
            "requests",
            "stale",
            "delayed",
            "contents",
            "bases",
            "version_by_number",
            "votes",
            "chosen",
            "announced",
            "stored_records",
            "disks",
            "last_in_force",
        ):
            setattr(other, name, copy(getattr(self, name)))
        other.writers = []
        for number, writer in enumerate(self.writers):
            writer_copy = copy(writer)
            writer_copy.driver = WriterEnd(other, number)
            if writer.tenure is not None:
                tenure = writer_copy.tenure = copy(writer.tenure)
                for name in ("stands", "answered", "votes", "admitting"):
                    setattr(tenure, name, copy(getattr(tenure, name)))
            if writer.pending_change is not None:
                writer_copy.pending_change = copy(writer.pending_change)
                writer_copy.pending_change.done = other.put_answered
            other.writers.append(writer_copy)
        other.stores = {}
        for name, store in self.stores.items():
            store_copy = other.stores[name] = copy(store)
            store_copy.driver = StoreEnd(other, name)
        other.nodes = []
        for number, node in enumerate(self.nodes):
            node_copy = copy(node)
            node_copy.driver, node_copy.refused = NodeEnd(other, number), dict(node.refused)
            other.nodes.append(node_copy)
        return other

    def state(self) -> tuple:
        writers = tuple(
            (
                self.fences[number],
                self._put_state(writer),
                ()
                if writer.tenure is None
                else (
                    writer.tenure.ballot,
                    tuple(sorted((name, repr(stand)) for name, stand in writer.tenure.stands.items())),
                    writer.tenure.decided,
                    writer.tenure.value,
                    writer.tenure.is_chosen,
                    tuple(sorted(writer.tenure.votes)),
                    writer.tenure.count,
                    tuple(sorted(writer.tenure.admitting.items())),
                    writer.tenure.outbid_by,
                ),
            )
            for number, writer in enumerate(self.writers)
        )
        stores = tuple(
            (
                store.number,
                store.blank,
                store.promised,
                store.taken_at,
                store.taken,
                store.chosen,
                tuple(sorted(store.noted.items())),
            )
            for store in self.stores.values()
        )
        # nodes are interchangeable
        nodes = tuple(sorted((node.held, node.newest, disk is None) for node, disk in zip(self.nodes, self.disks)))
        return (
            writers,
            stores,
            nodes,
            tuple(sorted((key, repr(args)) for key, args in self.requests.items())),
            tuple(sorted((key, repr(args)) for key, args in self.stale.items())),
            tuple(sorted(map(repr, self.delayed))),
            tuple(sorted(self.announced)),
            tuple(sorted(self.bases.items())),
            tuple(sorted((key, tuple(sorted(held))) for key, held in self.votes.items())),
            self.latest_fence,
            self.tenures,
            self.puts,
            self.restarts,
            self.lost,
            self.records,
            tuple(self.lives),
        )

    @staticmethod
    def _put_state(writer: Writer) -> tuple:
        put = writer.pending_change
        return () if put is None else (put.content, put.base, put.version)

    # ---- possible steps

    def steps(self) -> list[tuple]:
        """`again`: a writer resends. `trip`: a request and its answer are delivered; `half`: the request is, and the answer is
        delayed until `answer`. `stale`: the last `take` of an earlier attempt is delivered."""
        steps: list[tuple] = [("again", number) for number in range(WRITERS) if self.fences[number]]
        steps += [("trip", *key) for key in self.requests]
        if len(self.delayed) < MAX_DELAYED_ANSWERS:
            steps += [("half", *key) for key in self.requests]
        steps += [("stale", *key) for key in self.stale]
        steps += [("answer", index) for index in range(len(self.delayed))]
        return steps + self._rare_steps()

    def _rare_steps(self) -> list[tuple]:
        """`tenure`: a writer gets the lease; `same`: with the fence that the other one has. `put`: a change is requested. `tell`
        and `spoilt`: a version reaches a node, with its content and with a corrupt one. `writer`, `store`, `node`: a restart.
        `lost`: a store loses its record."""
        steps: list[tuple] = []
        for number in range(WRITERS):
            if self.tenures < self.max_tenures:
                steps.append(("tenure", number))
                if self.latest_fence and self.fences[number] != self.latest_fence:
                    steps.append(("same", number))
            if self.puts < self.max_puts and self.fences[number] and self.writers[number].pending_change is None:
                steps.append(("put", number))
            if self.restarts < self.max_restarts and self.fences[number]:
                steps.append(("writer", number))
        for version in self.announced:
            steps += [(kind, number, version) for number in range(NODES) for kind in ("tell", "spoilt")]
        if self.restarts < self.max_restarts:
            steps += [("store", name) for name in STORES]
            steps += [("node", number) for number in range(NODES) if self.disks[number] is not None]
        # only while every store has its record: the versions do not survive the loss of a majority of the records
        if self.lost < self.max_lost and all(self.stored_records.values()):
            steps += [("lost", name) for name in STORES]
        return steps

    def apply(self, step: tuple) -> None:
        kind = step[0]
        if kind == "again":
            self.writers[step[1]].time()
        elif kind in ("trip", "half"):
            self._deliver(step[1:], self.requests.pop(step[1:]), delay=kind == "half")
        elif kind == "stale":
            self._deliver((*step[1:], "take"), self.stale[step[1:]], delay=False)
        elif kind == "answer":
            self._deliver_answer(self.delayed.pop(step[1]))
        elif kind in ("tenure", "same"):
            self.tenures += 1
            self.latest_fence += kind == "tenure"
            self.fences[step[1]] = self.latest_fence
            self.writers[step[1]].time()
        elif kind == "put":
            self._put(step[1])
        elif kind in ("tell", "spoilt"):
            self.nodes[step[1]].version_announced(step[2])
            self.nodes[step[1]].content_received(
                step[2], self.contents[step[2].digest] if kind == "tell" else b"spoilt on its way"
            )
        else:
            self._restart(kind, step[1])
        if self.violation:
            raise InvariantViolated(self.violation)

    def _deliver(self, key: tuple, args: tuple, delay: bool) -> None:
        number, store, kind = key
        self.answer = None
        getattr(self.stores[store], kind)(str(number), *args)
        if self.answer is not None:
            if delay:
                self.delayed.append(self.answer)
            else:
                self._deliver_answer(self.answer)

    def _deliver_answer(self, answer: tuple) -> None:
        receiver, kind, args = answer
        getattr(self.writers[receiver], kind)(*args)

    def _put(self, number: int) -> None:
        """Requests a change based on the newest announced version, which is the one that an operator sees."""
        self.puts += 1
        content = b"content %d" % self.puts
        base = max(self.announced, key=lambda version: version.number).text if self.announced else "file"
        self.bases[content] = base
        self.contents[digest_of(content)] = content
        self.writers[number].put(content, base, 1, self.put_answered)

    def _restart(self, kind: str, which) -> None:
        if kind == "writer":
            self.restarts += 1
            self.lives[which] += 1
            self.fences[which] = 0
            self.writers[which] = self._writer(which)
            self.delayed = [answer for answer in self.delayed if answer[0] != which]
        elif kind == "node":
            self.restarts += 1
            node = self.nodes[which] = self.classes[2](NodeEnd(self, which))
            node.start(self.disks[which])
        elif kind == "store":
            self.restarts += 1
            self.stores[which] = self.classes[1](StoreEnd(self, which), self.stored_records[which], SequentialNumbers(self))
        else:
            self.lost += 1
            self.stored_records[which] = None
            self.stores[which] = self.classes[1](StoreEnd(self, which), None, SequentialNumbers(self))

    # ---- invariants

    def record_written(self, store: str, data: bytes) -> None:
        self.stored_records[store] = data
        record = read_record(data)
        version = Version(*record.taken)
        if not version.fence:
            return
        other = self.version_by_number.setdefault(version.number, version)
        if other != version:
            self.violation = "two contents have the same version number"
        key = (version, record.taken_at)
        self.votes[key] = self.votes.get(key, frozenset()) | {store}
        if len(self.votes[key]) >= TERMS.majority and version.number not in self.chosen:
            self.chosen[version.number] = version
            previous = "file"
            for number in sorted(self.chosen):
                if self.bases[self.contents[self.chosen[number].digest]] != previous:
                    self.violation = "a change was lost: a later version is not based on it"
                previous = self.chosen[number].text

    def announce(self, version: Version) -> None:
        if version.number not in self.chosen:
            self.violation = "a version was announced before a majority of the stores had it"
        self.announced[version] = None

    def put_answered(self, answer: dict) -> None:
        if answer["ok"] and answer["version"] not in [version.text for version in self.chosen.values()]:
            self.violation = "a put was answered ok although no majority of the stores has its version"

    def in_force(self, number: int, text: str, content: bytes) -> None:
        version = next((version for version in self.announced if version.text == text), None)
        if version is None or digest_of(content) != version.digest:
            self.violation = "a node put in force what was never announced, or not its complete content"
        elif version.number < self.last_in_force[number]:
            self.violation = "a node went back to an older version"
        else:
            self.last_in_force[number] = version.number


class VersionRounds(VersionModel):
    """The same model in larger steps: in one, a writer begins a tenure (or continues its own), may receive a change, and
    exchanges messages with some of the stores until none is left or a limit of messages is reached. Messages that cross
    within a step are covered by the small steps only."""

    def steps(self) -> list[tuple]:
        steps = [("stale", *key) for key in self.stale]
        for number in range(WRITERS):
            tenures = ["on"] if self.fences[number] else []
            if self.tenures < self.max_tenures:
                tenures += ["new"] + ["same"] * (0 < self.latest_fence != self.fences[number])
            puts = (False, True) if self.puts < self.max_puts and self.writers[number].pending_change is None else (False,)
            steps += [
                ("round", number, tenure, put, reached, limit)
                for tenure in tenures
                for put in puts
                for reached in subsets()
                if len(reached) > 1
                for limit in (3, MAX_ROUND_MESSAGES)
            ]
        return steps + [step for step in self._rare_steps() if step[0] not in ("tenure", "same", "put")]

    def apply(self, step: tuple) -> None:
        if step[0] != "round":
            super().apply(step)
            self.requests.clear()
            return
        _, number, tenure, put, reached, limit = step
        if tenure != "on":
            super().apply(("tenure" if tenure == "new" else "same", number))
        if put:
            self._put(number)
        self.writers[number].time()
        for _ in range(limit):
            key = next((key for key in self.requests if key[0] == number and key[1] in reached), None)
            if key is None:
                break
            self._deliver(key, self.requests.pop(key), delay=False)
            if self.violation:
                raise InvariantViolated(self.violation)
        self.requests.clear()


def subsets() -> list[tuple[str, ...]]:
    return [tuple(name for index, name in enumerate(STORES) if mask >> index & 1) for mask in range(1 << len(STORES))]


def walk_versions(
    depth: int,
    rounds: bool = False,
    blank: bool = False,
    writer: type[Writer] = Writer,
    store: type[Store] = Store,
    copy: type[Copy] = Copy,
    max_states: int = 10**9,
) -> ExplorationResult:
    return explore((VersionRounds if rounds else VersionModel)(writer, store, copy, blank), depth, max_states)


def long_courses(
    count: int, length: int, seed: int = 1, writer: type[Writer] = Writer, store: type[Store] = Store, copy: type[Copy] = Copy
) -> ExplorationResult:
    """Runs `count` random traces of `length` steps each, far deeper than an exhaustive search: with higher limits of events, and
    alternately in small and in larger steps."""
    rng, steps = Random(seed), 0
    for number in range(count):
        model = (VersionRounds if number % 2 else VersionModel)(writer, store, copy, blank=number % 8 > 5)
        model.max_tenures = model.max_puts = model.max_restarts = model.max_lost = length
        trace: list[tuple] = []
        for _ in range(length):
            choices = model.steps()
            kinds = sorted({step[0] for step in choices})
            # first the kind of step: chosen from all steps, most would be deliveries of stale requests
            kind = rng.choice([kind for kind in kinds for _ in range(WEIGHTS.get(kind, 1))])
            step = rng.choice([step for step in choices if step[0] == kind])
            trace.append(step)
            steps += 1
            try:
                model.apply(step)
            except InvariantViolated as violation:
                return ExplorationResult(number + 1, steps, len(trace), str(violation), tuple(trace))
    return ExplorationResult(count, steps, length)
