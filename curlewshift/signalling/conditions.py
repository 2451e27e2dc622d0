"""Conditions on a session's ICE state: entity tags and If-Match (RFC 9110, 8.8.3 and 13.1.1; RFC 9725, 4.3.1)."""

from __future__ import annotations

import re

ENTITY_TAG = re.compile(r'(W/)?"([\x21\x23-\x7e\x80-\xff]*)"')


def tags_of(header: str) -> set[str] | None:
    """The strong tags that a condition names, `{"*"}` for any; None if it is no list of tags."""
    header = header.strip()
    if header == "*":
        return {"*"}
    tags, rest = set(), header
    while rest:
        found = ENTITY_TAG.match(rest)
        if found is None:
            return None
        # a weak tag never matches in If-Match
        if not found[1]:
            tags.add(f'"{found[2]}"')
        rest = rest[found.end() :].lstrip()
        if rest:
            if not rest.startswith(","):
                return None
            rest = rest[1:].lstrip()
    return tags


def refusal(if_match: str | None, etag: str, restarts: bool) -> int | None:
    """The status that refuses a patch: 428 without a condition, 412 where it does not hold, 400 if it is none.

    A restart is asked for with `*`, as it does not hang on the ICE session that it ends; a trickle names the session
    whose candidates it has. `etag` is empty where the server gave none: then nothing can be held against it.
    """
    if if_match is None:
        return 428
    tags = tags_of(if_match)
    if not tags:
        return 400 if tags is None else 412
    if restarts:
        return None if "*" in tags or etag in tags else 412
    if not etag or etag in tags:
        return None
    return 412
