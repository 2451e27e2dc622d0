"""All orders in which two writers, three stores and two nodes can hear of versions, and that there is one chain of them.

Writers, stores and nodes' copies are the program's own. Words of a writer to a store wait in a slot by their kind: one that is
never handed on is lost, an answer may be kept back, the last take of an earlier try may come in at any time, as often as it
likes; what has been told may reach a node in any order and again, and with a content that is not its own. Both writers may hold
the lease, and even one number of it.
Called by `curlewshift walk --of versions` and by tests.
"""

from __future__ import annotations

from copy import copy
from random import Random

from curlewshift.distribution.copy import Copy
from curlewshift.distribution.store import Store, read_record
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import Version, digest_of
from curlewshift.distribution.writer import Writer
from curlewshift.model_checker.explore import InvariantViolated, Walked, explore

STORES, WRITERS, NODES = ("a", "b", "c"), 2, 2
# Due at once, whenever the walk has it so: time is a choice here.
TERMS = DistributionTerms(STORES, resend_interval=0)
# In one course: tenures, changes asked for, restarts of anyone, records lost (a majority of the stores keeps its own), answers
# kept back.
MOST_TENURES, MOST_PUTS, MOST_RESTARTS, MOST_LOST, MOST_BACK = 3, 3, 1, 1, 1
# Words of one round between a writer and the stores that hear it, in the larger steps.
MOST_WORDS = 12
# How much more often than others a kind of step comes in long courses.
WEIGHTS = {"trip": 12, "round": 8, "half": 3, "answer": 3, "again": 4, "put": 2, "tell": 2}


class Numbers:
    """Records' numbers, small ones."""

    def __init__(self, world: VersionWorld):
        self.world = world

    def getrandbits(self, _: int) -> int:
        self.world.records += 1
        return self.world.records


class WriterEnd:
    def __init__(self, world: VersionWorld, number: int):
        self.world, self.number = world, number

    def now(self) -> int:
        return 0

    def fence(self) -> int:
        return self.world.fences[self.number]

    def prepare(self, store, ballot) -> None:
        self.world.words[self.number, store, "prepare"] = (ballot,)

    def take(self, store, ballot, record, version) -> None:
        self.world.words[self.number, store, "take"] = (ballot, record, version)
        self.world.stale[self.number, store] = (ballot, record, version)

    def note(self, store, ballot, record, of, noted) -> None:
        self.world.words[self.number, store, "note"] = (ballot, record, of, noted)

    def enter(self, store, ballot, record, noted, version, founding) -> None:
        self.world.words[self.number, store, "enter"] = (ballot, record, noted, version, founding)

    def content_of(self, version) -> bytes | None:
        return self.world.contents.get(version.digest)

    def hold_content(self, content) -> None:
        self.world.contents[digest_of(content)] = content

    def fetch_for_writer(self, version, stores) -> None:
        pass

    def chosen(self, version) -> None:
        self.world.tells(version)


class StoreEnd:
    def __init__(self, world: VersionWorld, name: str):
        self.world, self.name = world, name

    def store_vote(self, data: bytes) -> None:
        self.world.kept(self.name, data)

    def content_of(self, version) -> bytes | None:
        return self.world.contents.get(version.digest)

    def fetch_for_store(self, version, writer) -> None:
        pass

    def stands(self, writer, ballot, stand) -> None:
        self.world.answer = (int(writer), "stands", (self.name, ballot, stand))

    def outbid(self, writer, ballot, promised) -> None:
        self.world.answer = (int(writer), "outbid", (ballot, promised))

    def vote_lost(self, what, why) -> None:
        raise AssertionError(what)


class NodeEnd:
    def __init__(self, world: VersionWorld, number: int):
        self.world, self.number = world, number

    def now(self) -> int:
        return 0

    def check_configuration(self, content) -> str | None:
        return None

    def apply_configuration(self, text, content) -> str | None:
        self.world.in_force(self.number, text, content)
        return None

    def store_configuration(self, data) -> None:
        self.world.disks[self.number] = data

    def __getattr__(self, name: str):
        # its log
        return lambda *_: None


class VersionWorld:
    tenures_most, puts_most, restarts_most, lost_most = MOST_TENURES, MOST_PUTS, MOST_RESTARTS, MOST_LOST

    def __init__(self, writer: type[Writer] = Writer, store: type[Store] = Store, node: type[Copy] = Copy, blank: bool = False):
        self.kinds = (writer, store, node)
        self.fences, self.latest_fence, self.lives = [0] * WRITERS, 0, [1] * WRITERS
        self.tenures = self.puts = self.restarts = self.lost = self.records = 0
        self.words: dict[tuple, tuple] = {}
        self.stale: dict[tuple, tuple] = {}
        self.back: list[tuple] = []
        self.answer: tuple | None = None
        self.contents: dict[bytes, bytes] = {}
        self.bases: dict[bytes, str] = {}
        self.numbers: dict[tuple[int, int], Version] = {}
        self.votes: dict[tuple, frozenset[str]] = {}
        self.chosen: dict[tuple[int, int], Version] = {}
        self.told: dict[Version, None] = {}
        self.wrong = ""
        self.records_kept: dict[str, bytes | None] = dict.fromkeys(STORES)
        self.disks: list[bytes | None] = [None] * NODES
        self.floors: list[tuple[int, int]] = [(0, 0)] * NODES
        self.writers = [self._writer(number) for number in range(WRITERS)]
        self.stores = {name: store(StoreEnd(self, name), None, Numbers(self)) for name in STORES}
        self.nodes = [node(NodeEnd(self, number)) for number in range(NODES)]
        if not blank:
            self._founded()

    def _writer(self, number: int) -> Writer:
        return self.kinds[0](WriterEnd(self, number), str(number), self.lives[number], TERMS)

    def _founded(self) -> None:
        """As after a writer's first round in which nothing was made; from blank stores it is walked besides."""
        noted = {name: (0, 1, store.number) for name, store in self.stores.items()}
        for store in self.stores.values():
            store._persist(blank=False, noted=noted)

    def copied(self) -> VersionWorld:
        other = copy(self)
        for name in (
            "fences",
            "lives",
            "words",
            "stale",
            "back",
            "contents",
            "bases",
            "numbers",
            "votes",
            "chosen",
            "told",
            "records_kept",
            "disks",
            "floors",
        ):
            setattr(other, name, copy(getattr(self, name)))
        other.writers = []
        for number, writer in enumerate(self.writers):
            twin = copy(writer)
            twin.driver = WriterEnd(other, number)
            if writer.tenure is not None:
                tenure = twin.tenure = copy(writer.tenure)
                for name in ("stands", "answered", "votes", "admitting"):
                    setattr(tenure, name, copy(getattr(tenure, name)))
            if writer.pending_change is not None:
                twin.pending_change = copy(writer.pending_change)
                twin.pending_change.done = other.done
            other.writers.append(twin)
        other.stores = {}
        for name, store in self.stores.items():
            twin = other.stores[name] = copy(store)
            twin.driver = StoreEnd(other, name)
        other.nodes = []
        for number, node in enumerate(self.nodes):
            twin = copy(node)
            twin.driver, twin.refused = NodeEnd(other, number), dict(node.refused)
            other.nodes.append(twin)
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
        # nodes are alike
        nodes = tuple(sorted((node.held, node.newest, disk is None) for node, disk in zip(self.nodes, self.disks)))
        return (
            writers,
            stores,
            nodes,
            tuple(sorted((key, repr(words)) for key, words in self.words.items())),
            tuple(sorted((key, repr(words)) for key, words in self.stale.items())),
            tuple(sorted(map(repr, self.back))),
            tuple(sorted(self.told)),
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

    # ---- what can happen

    def steps(self) -> list[tuple]:
        found: list[tuple] = [("again", number) for number in range(WRITERS) if self.fences[number]]
        found += [("trip", *key) for key in self.words]
        if len(self.back) < MOST_BACK:
            found += [("half", *key) for key in self.words]
        found += [("stale", *key) for key in self.stale]
        found += [("answer", index) for index in range(len(self.back))]
        return found + self._rare()

    def _rare(self) -> list[tuple]:
        found: list[tuple] = []
        for number in range(WRITERS):
            if self.tenures < self.tenures_most:
                found.append(("tenure", number))
                if self.latest_fence and self.fences[number] != self.latest_fence:
                    found.append(("same", number))
            if self.puts < self.puts_most and self.fences[number] and self.writers[number].pending_change is None:
                found.append(("put", number))
            if self.restarts < self.restarts_most and self.fences[number]:
                found.append(("writer", number))
        for version in self.told:
            found += [(kind, number, version) for number in range(NODES) for kind in ("tell", "spoilt")]
        if self.restarts < self.restarts_most:
            found += [("store", name) for name in STORES]
            found += [("node", number) for number in range(NODES) if self.disks[number] is not None]
        # a majority of the stores keeps its own records: more is the end of them
        if self.lost < self.lost_most and all(self.records_kept.values()):
            found += [("lost", name) for name in STORES]
        return found

    def take(self, step: tuple) -> None:
        kind = step[0]
        if kind == "again":
            self.writers[step[1]].time()
        elif kind in ("trip", "half"):
            self._hand_on(step[1:], self.words.pop(step[1:]), kept_back=kind == "half")
        elif kind == "stale":
            self._hand_on((*step[1:], "take"), self.stale[step[1:]], kept_back=False)
        elif kind == "answer":
            self._answer(self.back.pop(step[1]))
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
        if self.wrong:
            raise InvariantViolated(self.wrong)

    def _hand_on(self, key: tuple, words: tuple, kept_back: bool) -> None:
        number, store, kind = key
        self.answer = None
        getattr(self.stores[store], kind)(str(number), *words)
        if self.answer is not None:
            if kept_back:
                self.back.append(self.answer)
            else:
                self._answer(self.answer)

    def _answer(self, answer: tuple) -> None:
        to, what, words = answer
        getattr(self.writers[to], what)(*words)

    def _put(self, number: int) -> None:
        """Upon what was told last, as the operator sees it."""
        self.puts += 1
        content = b"content %d" % self.puts
        base = max(self.told, key=lambda version: version.number).text if self.told else "file"
        self.bases[content] = base
        self.contents[digest_of(content)] = content
        self.writers[number].put(content, base, 1, self.done)

    def _restart(self, kind: str, which) -> None:
        if kind == "writer":
            self.restarts += 1
            self.lives[which] += 1
            self.fences[which] = 0
            self.writers[which] = self._writer(which)
            self.back = [answer for answer in self.back if answer[0] != which]
        elif kind == "node":
            self.restarts += 1
            node = self.nodes[which] = self.kinds[2](NodeEnd(self, which))
            node.start(self.disks[which])
        elif kind == "store":
            self.restarts += 1
            self.stores[which] = self.kinds[1](StoreEnd(self, which), self.records_kept[which], Numbers(self))
        else:
            self.lost += 1
            self.records_kept[which] = None
            self.stores[which] = self.kinds[1](StoreEnd(self, which), None, Numbers(self))

    # ---- what must be

    def kept(self, store: str, data: bytes) -> None:
        self.records_kept[store] = data
        record = read_record(data)
        version = Version(*record.taken)
        if not version.fence:
            return
        other = self.numbers.setdefault(version.number, version)
        if other != version:
            self.wrong = "two contents under one number"
        key = (version, record.taken_at)
        self.votes[key] = self.votes.get(key, frozenset()) | {store}
        if len(self.votes[key]) >= TERMS.majority and version.number not in self.chosen:
            self.chosen[version.number] = version
            before = "file"
            for number in sorted(self.chosen):
                if self.bases[self.contents[self.chosen[number].digest]] != before:
                    self.wrong = "a change was lost: a later one was not made upon it"
                before = self.chosen[number].text

    def tells(self, version: Version) -> None:
        if version.number not in self.chosen:
            self.wrong = "told before a majority had it"
        self.told[version] = None

    def done(self, told: dict) -> None:
        if told["ok"] and told["version"] not in [version.text for version in self.chosen.values()]:
            self.wrong = "a put was answered ok that no majority has"

    def in_force(self, number: int, text: str, content: bytes) -> None:
        version = next((version for version in self.told if version.text == text), None)
        if version is None or digest_of(content) != version.digest:
            self.wrong = "in force is what was never told, or not the whole of it"
        elif version.number < self.floors[number]:
            self.wrong = "a node went back"
        else:
            self.floors[number] = version.number


class VersionRounds(VersionWorld):
    """The same world in larger steps: in one, a writer begins a tenure (or goes on with its own), may be given a change, and is
    heard by some of the stores until nothing more is to be said, or until so many words have been. What crosses within a step
    is left to the small ones."""

    def steps(self) -> list[tuple]:
        found = [("stale", *key) for key in self.stale]
        for number in range(WRITERS):
            goes_on = ["on"] if self.fences[number] else []
            if self.tenures < self.tenures_most:
                goes_on += ["new"] + ["same"] * (0 < self.latest_fence != self.fences[number])
            puts = (False, True) if self.puts < self.puts_most and self.writers[number].pending_change is None else (False,)
            found += [
                ("round", number, how, put, heard, most)
                for how in goes_on
                for put in puts
                for heard in subsets()
                if len(heard) > 1
                for most in (3, MOST_WORDS)
            ]
        return found + [step for step in self._rare() if step[0] not in ("tenure", "same", "put")]

    def take(self, step: tuple) -> None:
        if step[0] != "round":
            super().take(step)
            self.words.clear()
            return
        _, number, how, put, heard, most = step
        if how != "on":
            super().take(("tenure" if how == "new" else "same", number))
        if put:
            self._put(number)
        self.writers[number].time()
        for _ in range(most):
            key = next((key for key in self.words if key[0] == number and key[1] in heard), None)
            if key is None:
                break
            self._hand_on(key, self.words.pop(key), kept_back=False)
            if self.wrong:
                raise InvariantViolated(self.wrong)
        self.words.clear()


def subsets() -> list[tuple[str, ...]]:
    return [tuple(name for index, name in enumerate(STORES) if mask >> index & 1) for mask in range(1 << len(STORES))]


def walk_versions(
    depth: int,
    rounds: bool = False,
    blank: bool = False,
    writer: type[Writer] = Writer,
    store: type[Store] = Store,
    copy: type[Copy] = Copy,
    most: int = 10**9,
) -> Walked:
    return explore((VersionRounds if rounds else VersionWorld)(writer, store, copy, blank), depth, most)


def long_courses(
    count: int, length: int, seed: int = 1, writer: type[Writer] = Writer, store: type[Store] = Store, copy: type[Copy] = Copy
) -> Walked:
    """By chance, and beyond any walk: courses of so many steps with more of everything, in small and in large steps in turn."""
    rng, steps = Random(seed), 0
    for number in range(count):
        world = (VersionRounds if number % 2 else VersionWorld)(writer, store, copy, blank=number % 8 > 5)
        world.tenures_most = world.puts_most = world.restarts_most = world.lost_most = length
        course: list[tuple] = []
        for _ in range(length):
            found = world.steps()
            kinds = sorted({step[0] for step in found})
            # a kind first, or the many stale words would be most of what happens
            kind = rng.choice([kind for kind in kinds for _ in range(WEIGHTS.get(kind, 1))])
            step = rng.choice([step for step in found if step[0] == kind])
            course.append(step)
            steps += 1
            try:
                world.take(step)
            except InvariantViolated as broken:
                return Walked(number + 1, steps, len(course), str(broken), tuple(course))
    return Walked(count, steps, length)
