"""A control machine's vote on versions (an acceptor of Paxos; Lamport 2001) and its durable record.

A store promises a fence to one writer, and accepts ("takes") a value only from the writer it promised last. Taken values are
ordered by the ballot under which they were taken: a version that a later writer brought to a majority outweighs a version that
was made later and brought to no other store. The record is on disk before the store answers.

A store that lost its record may have promised a writer, or taken a version, without knowing. It is blank: it says so and does
not vote. To let it in, a writer has a majority of the other stores note the new record under the writer's ballot, so that any
writer that still relies on a promise of the old record learns from one of them that the promise is void. Only then is the store
given the promise and the newest version. The one case in which voting starts without an earlier record is that all stores are
blank, or were founded and have taken nothing yet.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple, Protocol

import msgspec
import zstandard

from curlewshift.distribution.versions import MAX_CONTENT_BYTES, NO_BALLOT, NO_VERSION, Ballot, Version, digest_of

# The record with which a store was last let in: the writer's fence, the writer's count of notes, and the record's number.
Noted = tuple[int, int, int]


class StoreState(NamedTuple):
    """A store's state under the ballot it answers."""

    record: int
    blank: bool
    taken_at: Ballot
    taken: Version
    chosen: Version
    noted: dict[str, Noted]


class Driver(Protocol):
    def store_vote(self, data: bytes) -> None: ...
    def content_of(self, version: Version) -> bytes | None: ...
    def fetch_for_store(self, version: Version, writer: str) -> None: ...
    def stands(self, writer: str, ballot: Ballot, state: StoreState) -> None: ...
    def outbid(self, writer: str, ballot: Ballot, promised: Ballot) -> None: ...
    def vote_lost(self, what: str, reason: str) -> None: ...


class VoteRecord(msgspec.Struct, array_like=True):
    """The record on disk. `form` is the format version, `sum` the digest of the record without it."""

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
DECODER = msgspec.msgpack.Decoder(VoteRecord)


def read_record(data: bytes) -> VoteRecord:
    """Raises `ValueError` for a corrupt or truncated record."""
    try:
        record = DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(f"not a record: {error}") from None
    checksum, record.sum = record.sum, b""
    if record.form != FORM or checksum != digest_of(ENCODER.encode(record)):
        raise ValueError("checksum mismatch in the record")
    return record


class Store:
    """One store. `kept` is its record as the disk has it, None if there is none; `number` identifies the record."""

    def __init__(self, driver: Driver, kept: bytes | None, rng: Random):
        self.driver = driver
        self.number, self.blank = rng.getrandbits(60), True
        self.promised, self.taken_at = NO_BALLOT, NO_BALLOT
        self.taken, self.chosen, self.content = NO_VERSION, NO_VERSION, b""
        self.noted: dict[str, Noted] = {}
        if kept is not None:
            self._read(kept)

    def _read(self, kept: bytes) -> None:
        try:
            held = read_record(kept)
            content = (
                zstandard.ZstdDecompressor().decompress(held.content, max_output_size=MAX_CONTENT_BYTES) if held.content else b""
            )
        except (ValueError, zstandard.ZstdError) as error:
            self.driver.vote_lost(
                "the vote record cannot be read; this store does not vote until a writer lets it in", str(error)
            )
            return
        self.number, self.blank = held.number, False
        self.promised, self.taken_at = Ballot(*held.promised), Ballot(*held.taken_at)
        self.taken, self.chosen, self.noted, self.content = Version(*held.taken), Version(*held.chosen), held.noted, content

    # ---- messages of a writer; each is answered with the store's state, or with the later ballot it has promised

    def prepare(self, writer: str, ballot: Ballot) -> None:
        """Promises the ballot unless a later one is promised (Paxos phase 1)."""
        if self.blank:
            self._answer(writer, ballot)
        elif self._superseded(writer, ballot):
            return
        elif ballot == self.promised or self._persist(promised=ballot):
            self._answer(writer, ballot)

    def take(self, writer: str, ballot: Ballot, record: int, version: Version) -> None:
        """Accepts the version as this store's newest (Paxos phase 2)."""
        if self.blank or record != self.number:
            self._answer(writer, ballot)
            return
        if self._superseded(writer, ballot):
            return
        # under one ballot versions only rise; a version of another ballot may be replaced, as the writer heard a majority first
        outdated = self.taken_at == ballot and not version.newer_than(self.taken)
        if ballot != self.promised or outdated:
            self._answer(writer, ballot)
            return
        content = self.driver.content_of(version)
        if content is None:
            self.driver.fetch_for_store(version, writer)
        elif digest_of(content) == version.digest and self._persist(taken_at=ballot, taken=version, content=content):
            self._answer(writer, ballot)

    def note(self, writer: str, ballot: Ballot, record: int, store: str, noted: Noted) -> None:
        """Notes that `store` has a new record, and that promises of its old one are void."""
        if self.blank or record != self.number or ballot != self.promised:
            if self.blank or not self._superseded(writer, ballot):
                self._answer(writer, ballot)
        elif self.noted.get(store, (0, 0, 0)) >= noted or self._persist(noted={**self.noted, store: noted}):
            self._answer(writer, ballot)

    def enter(self, writer: str, ballot: Ballot, record: int, noted: dict[str, Noted], version: Version, founding: bool) -> None:
        """Lets this store in: it votes from here on, with the state that a majority of the others has. `founding` is true if no
        store has taken anything yet."""
        void = founding and (self.taken != NO_VERSION or self.chosen != NO_VERSION)
        if record != self.number or void or (not founding and not self.blank):
            self._answer(writer, ballot)
            return
        if self._superseded(writer, ballot):
            return
        content = b"" if version == NO_VERSION else self.driver.content_of(version)
        if content is None:
            self.driver.fetch_for_store(version, writer)
        elif self._persist(
            blank=False,
            promised=ballot,
            noted=noted,
            taken=version,
            content=content,
            taken_at=NO_BALLOT if version == NO_VERSION else ballot,
        ):
            self._answer(writer, ballot)

    def learned(self, version: Version) -> None:
        """A majority has accepted the version, as announced by another member."""
        if not self.blank and version.newer_than(self.chosen):
            self._persist(chosen=version)

    # ---- the record

    def _superseded(self, writer: str, ballot: Ballot) -> bool:
        if ballot.superseded_by(self.promised):
            self.driver.outbid(writer, ballot, self.promised)
            return True
        return False

    def _answer(self, writer: str, ballot: Ballot) -> None:
        self.driver.stands(
            writer, ballot, StoreState(self.number, self.blank, self.taken_at, self.taken, self.chosen, self.noted)
        )

    def _persist(self, **changes) -> bool:
        """Writes the record with `changes`. False if the write failed: the changes are undone and the writer is not answered."""
        before = {name: getattr(self, name) for name in changes}
        for name, value in changes.items():
            setattr(self, name, value)
        packed = zstandard.ZstdCompressor(level=3).compress(self.content) if self.content else b""
        record = VoteRecord(
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
            self.driver.store_vote(ENCODER.encode(record))
        except OSError as error:
            for name, value in before.items():
                setattr(self, name, value)
            self.driver.vote_lost("the vote record could not be written, and the writer is not answered", str(error))
            return False
        return True
