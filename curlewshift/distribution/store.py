"""One control machine's vote on versions (an acceptor of Paxos; Lamport 2001), and what it must never forget.

It promises a fence to one writer, and takes a value only from the writer it promised last; what it took is ordered by the
ballot it was taken under, as a version that was brought to a majority by a later writer outweighs one that was made later and
brought to nobody. What it says is on its disk before.

A store that lost its record may have promised a writer, or taken a version, of which it knows nothing. It is blank: it says so
and does not vote. A writer lets it in: a majority of the others note its new record under that writer's ballot, so that whoever
still counts on a promise of the old record learns at any of them that it is void, and only then the store is given promise and
newest version. Blank (or founded with nothing taken yet) everywhere is the one case in which it begins anew.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple, Protocol

import msgspec
import zstandard

from curlewshift.distribution.versions import MOST_CONTENT, NO_BALLOT, NONE, Ballot, Version, digest_of

# A store's record as it was last let in: the fence and the writer's count of that, and the record's number.
Noted = tuple[int, int, int]


class Stand(NamedTuple):
    """How a store stands under the ballot it answers."""

    record: int
    blank: bool
    taken_at: Ballot
    taken: Version
    chosen: Version
    noted: dict[str, Noted]


class Driver(Protocol):
    def keep_vote(self, data: bytes) -> None: ...
    def content_of(self, version: Version) -> bytes | None: ...
    def fetch_for_store(self, version: Version, writer: str) -> None: ...
    def stands(self, writer: str, ballot: Ballot, stand: Stand) -> None: ...
    def outbid(self, writer: str, ballot: Ballot, promised: Ballot) -> None: ...
    def vote_lost(self, what: str, why: str) -> None: ...


class Record(msgspec.Struct, array_like=True):
    form: int
    number: int
    promised: tuple[int, str, int]
    taken_at: tuple[int, str, int]
    taken: tuple[int, int, bytes]
    chosen: tuple[int, int, bytes]
    noted: dict[str, tuple[int, int, int]]
    content: bytes
    sum: bytes = b""


FORM = 1
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Record)


def read_record(data: bytes) -> Record:
    """Raises `ValueError` for what is not whole."""
    try:
        record = DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as wrong:
        raise ValueError(f"not a record: {wrong}") from None
    whole, record.sum = record.sum, b""
    if record.form != FORM or whole != digest_of(ENCODER.encode(record)):
        raise ValueError("a record whose sum is another than it says")
    return record


class Store:
    def __init__(self, driver: Driver, kept: bytes | None, rng: Random):
        self.driver = driver
        self.number, self.blank = rng.getrandbits(60), True
        self.promised, self.taken_at = NO_BALLOT, NO_BALLOT
        self.taken, self.chosen, self.content = NONE, NONE, b""
        self.noted: dict[str, Noted] = {}
        if kept is not None:
            self._read(kept)

    def _read(self, kept: bytes) -> None:
        try:
            held = read_record(kept)
            content = zstandard.ZstdDecompressor().decompress(held.content, max_output_size=MOST_CONTENT) if held.content else b""
        except (ValueError, zstandard.ZstdError) as wrong:
            self.driver.vote_lost("its record cannot be read: it does not vote until it is let in", str(wrong))
            return
        self.number, self.blank = held.number, False
        self.promised, self.taken_at = Ballot(*held.promised), Ballot(*held.taken_at)
        self.taken, self.chosen, self.noted, self.content = Version(*held.taken), Version(*held.chosen), held.noted, content

    # ---- a writer's words; each is answered by how the store stands, or by whom it promised

    def prepare(self, writer: str, ballot: Ballot) -> None:
        if self.blank:
            self._answer(writer, ballot)
        elif self._behind(writer, ballot):
            return
        elif ballot == self.promised or self._keep(promised=ballot):
            self._answer(writer, ballot)

    def take(self, writer: str, ballot: Ballot, record: int, version: Version) -> None:
        """The version is to be this store's newest."""
        if self.blank or record != self.number:
            self._answer(writer, ballot)
            return
        if self._behind(writer, ballot):
            return
        # under one ballot versions only rise; another ballot's are its writer's to outweigh, who had a majority's word
        older = self.taken_at == ballot and not version.over(self.taken)
        if ballot != self.promised or older:
            self._answer(writer, ballot)
            return
        content = self.driver.content_of(version)
        if content is None:
            self.driver.fetch_for_store(version, writer)
        elif digest_of(content) == version.digest and self._keep(taken_at=ballot, taken=version, content=content):
            self._answer(writer, ballot)

    def note(self, writer: str, ballot: Ballot, record: int, store: str, noted: Noted) -> None:
        """Another store has a new record, and what its old one promised is void."""
        if self.blank or record != self.number or ballot != self.promised:
            if self.blank or not self._behind(writer, ballot):
                self._answer(writer, ballot)
        elif self.noted.get(store, (0, 0, 0)) >= noted or self._keep(noted={**self.noted, store: noted}):
            self._answer(writer, ballot)

    def enter(self, writer: str, ballot: Ballot, record: int, noted: dict[str, Noted], version: Version, founding: bool) -> None:
        """It votes from here on, with what a majority of the others has; `founding`: there is nothing anywhere."""
        void = founding and (self.taken != NONE or self.chosen != NONE)
        if record != self.number or void or (not founding and not self.blank):
            self._answer(writer, ballot)
            return
        if self._behind(writer, ballot):
            return
        content = b"" if version == NONE else self.driver.content_of(version)
        if content is None:
            self.driver.fetch_for_store(version, writer)
        elif self._keep(
            blank=False,
            promised=ballot,
            noted=noted,
            taken=version,
            content=content,
            taken_at=NO_BALLOT if version == NONE else ballot,
        ):
            self._answer(writer, ballot)

    def learned(self, version: Version) -> None:
        """A majority has this one, as was told."""
        if not self.blank and version.over(self.chosen):
            self._keep(chosen=version)

    # ---- what is kept

    def _behind(self, writer: str, ballot: Ballot) -> bool:
        if ballot.behind(self.promised):
            self.driver.outbid(writer, ballot, self.promised)
            return True
        return False

    def _answer(self, writer: str, ballot: Ballot) -> None:
        self.driver.stands(writer, ballot, Stand(self.number, self.blank, self.taken_at, self.taken, self.chosen, self.noted))

    def _keep(self, **now) -> bool:
        """False where the disk did not take it: then it has not come about, and nothing is said of it."""
        before = {name: getattr(self, name) for name in now}
        for name, value in now.items():
            setattr(self, name, value)
        packed = zstandard.ZstdCompressor(level=3).compress(self.content) if self.content else b""
        record = Record(
            FORM,
            self.number,
            tuple(self.promised),
            tuple(self.taken_at),
            tuple(self.taken),
            tuple(self.chosen),
            self.noted,
            packed,
        )
        record.sum = digest_of(ENCODER.encode(record))
        try:
            self.driver.keep_vote(ENCODER.encode(record))
        except OSError as wrong:
            for name, value in before.items():
                setattr(self, name, value)
            self.driver.vote_lost("its record was not kept, and it does not answer", str(wrong))
            return False
        return True
