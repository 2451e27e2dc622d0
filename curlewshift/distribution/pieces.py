"""A content in transfer: packed in full or as the difference to a content that the requester holds, and split into pieces that
fit into datagrams.

Zstandard (RFC 8878); a difference is the full content, compressed with the held content as a raw dictionary. Unpacked data is
not trusted here: the caller checks it against the version's digest.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

import zstandard

from curlewshift.distribution.versions import MAX_CONTENT_BYTES

# Bytes of a packing in one datagram: what the frame and the message around it leave free.
PIECE_BYTES = 760
COMPRESSION_LEVEL = 9
MAX_PACKED_BYTES = 1024 * 1024
MAX_PIECES = MAX_PACKED_BYTES // PIECE_BYTES


class CorruptContent(Exception):
    """Received data that cannot be unpacked, or does not match its version."""


def packing_id(packed: bytes) -> bytes:
    """Identifies a packing, so that pieces of equal packings from several providers can be combined."""
    return blake2b(packed, digest_size=8).digest()


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)


@lru_cache(maxsize=8)
def packed_full(content: bytes) -> bytes:
    """The content as it is sent in full: compressed."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(content)


@lru_cache(maxsize=16)
def packed_difference(content: bytes, base: bytes) -> bytes:
    """The content as it is sent to a requester that holds `base`: compressed with `base` as the dictionary."""
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL, source_size=len(content), dict_size=len(base), enable_ldm=len(content) > 1 << 20
    )
    return zstandard.ZstdCompressor(dict_data=_dictionary(base), compression_params=parameters).compress(content)


def unpacked(packed: bytes, base: bytes) -> bytes:
    """The content of a packing. `base` is empty for a full packing. Raises `CorruptContent`."""
    try:
        if zstandard.frame_content_size(packed) > MAX_CONTENT_BYTES:
            raise CorruptContent(f"content larger than {MAX_CONTENT_BYTES} bytes")
        decompressor = zstandard.ZstdDecompressor(dict_data=_dictionary(base)) if base else zstandard.ZstdDecompressor()
        return decompressor.decompress(packed, max_output_size=MAX_CONTENT_BYTES)
    except zstandard.ZstdError as error:
        raise CorruptContent(str(error)) from None


def piece_at(packed: bytes, index: int) -> bytes:
    """One piece of packed content, by its index."""
    return packed[index * PIECE_BYTES : (index + 1) * PIECE_BYTES]


def piece_count(packed: bytes) -> int:
    """How many pieces packed content has."""
    return -(-len(packed) // PIECE_BYTES)


class ReceivedPieces:
    """The pieces received so far of one packing."""

    def __init__(self, base: bytes, total: int):
        self.base, self.total = base, total
        self.held: dict[int, bytes] = {}

    def add(self, index: int, data: bytes) -> None:
        if index < self.total:
            self.held[index] = data

    @property
    def complete(self) -> bool:
        return len(self.held) == self.total

    def missing(self, limit: int) -> list[int]:
        return [index for index in range(self.total) if index not in self.held][:limit]

    def packed(self) -> bytes:
        return b"".join(self.held[index] for index in range(self.total))
