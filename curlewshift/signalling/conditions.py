"""Preconditions on a session's ICE state: entity tags and If-Match (RFC 9110, 8.8.3 and 13.1.1; RFC 9725, 4.3.1)."""

from __future__ import annotations

import re

ENTITY_TAG = re.compile(r'(W/)?"([\x21\x23-\x7e\x80-\xff]*)"')


def tags_of(header: str) -> set[str] | None:
    """The strong entity tags in an If-Match value, `{"*"}` for any; None if the value is malformed."""
    header = header.strip()
    if header == "*":
        return {"*"}
    tags, rest = set(), header
    while rest:
        match = ENTITY_TAG.match(rest)
        if match is None:
            return None
        # a weak tag never matches in If-Match
        if not match[1]:
            tags.add(f'"{match[2]}"')
        rest = rest[match.end() :].lstrip()
        if rest:
            if not rest.startswith(","):
                return None
            rest = rest[1:].lstrip()
    return tags


def refusal(if_match: str | None, etag: str, restarts: bool) -> int | None:
    """The status that refuses a PATCH, or None: 428 without If-Match, 412 if it does not match, 400 if it is malformed.

    An ICE restart is sent with `*`, as it does not depend on the ICE session that it replaces; a trickle names the ICE
    session that its candidates belong to. `etag` is empty if the server sent none: then any well-formed condition passes.
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
