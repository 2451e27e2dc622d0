"""A content on its way: packed whole or as the difference to one that the asker has, and cut into datagrams' bodies.

Zstandard (RFC 8878); a difference is the whole compressed with the held content as a raw dictionary. What comes out is believed
by its digest alone: nothing here is.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

import zstandard

from curlewshift.distribution.versions import MOST_CONTENT

# Bytes of a packing in one datagram: what is left beside the frame and the words round it.
PIECE = 760
LEVEL = 9
MOST_PACKED = 1024 * 1024
MOST_PIECES = MOST_PACKED // PIECE


class CorruptContent(Exception):
    """What came does not unpack."""


def name_of(packed: bytes) -> bytes:
    """Two that pack alike may give pieces of one packing."""
    return blake2b(packed, digest_size=8).digest()


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)


@lru_cache(maxsize=8)
def packed_whole(content: bytes) -> bytes:
    """Content as it is carried: compressed."""
    return zstandard.ZstdCompressor(level=LEVEL).compress(content)


@lru_cache(maxsize=16)
def packed_difference(content: bytes, base: bytes) -> bytes:
    """Content as it is carried to who has `base`: compressed against it."""
    figures = zstandard.ZstdCompressionParameters.from_level(
        LEVEL, source_size=len(content), dict_size=len(base), enable_ldm=len(content) > 1 << 20
    )
    return zstandard.ZstdCompressor(dict_data=_dictionary(base), compression_params=figures).compress(content)


def unpacked(packed: bytes, base: bytes) -> bytes:
    """`base` is empty for a whole one. Raises `CorruptContent`."""
    try:
        if zstandard.frame_content_size(packed) > MOST_CONTENT:
            raise CorruptContent("larger than any content")
        opener = zstandard.ZstdDecompressor(dict_data=_dictionary(base)) if base else zstandard.ZstdDecompressor()
        return opener.decompress(packed, max_output_size=MOST_CONTENT)
    except zstandard.ZstdError as wrong:
        raise CorruptContent(str(wrong)) from None


def piece(packed: bytes, index: int) -> bytes:
    """One piece of packed content, by its index."""
    return packed[index * PIECE : (index + 1) * PIECE]


def pieces_of(packed: bytes) -> int:
    """How many pieces packed content has."""
    return -(-len(packed) // PIECE)


class Parts:
    """What has come of one packing."""

    def __init__(self, base: bytes, total: int):
        self.base, self.total = base, total
        self.held: dict[int, bytes] = {}

    def put(self, index: int, data: bytes) -> None:
        if index < self.total:
            self.held[index] = data

    @property
    def whole(self) -> bool:
        return len(self.held) == self.total

    def missing(self, most: int) -> list[int]:
        return [index for index in range(self.total) if index not in self.held][:most]

    def packed(self) -> bytes:
        return b"".join(self.held[index] for index in range(self.total))
