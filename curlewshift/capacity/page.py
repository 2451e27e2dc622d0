"""The page that holds the tables: each stands between two markers, and nothing else there is touched. Text in, text out."""

from __future__ import annotations

import re

BLOCK = re.compile(r"(<!-- capacity: ([a-z ]+) -->\n)(.*?)(<!-- /capacity -->)", re.DOTALL)


class PageTableMismatch(Exception):
    """A table that has no place on the page, or a place that no table has."""


def written(page: str, tables: dict[str, str]) -> str:
    """The page with the tables as they are now. Raises `PageTableMismatch`."""
    _places(page, tables)
    return BLOCK.sub(lambda found: f"{found[1]}{tables[found[2]]}\n{found[4]}", page)


def differences(page: str, tables: dict[str, str]) -> list[tuple[int, str, str]]:
    """(line on the page, what stands there, what should): the first of each row that differs. Raises `PageTableMismatch`."""
    _places(page, tables)
    found = []
    for block in BLOCK.finditer(page):
        first = page.count("\n", 0, block.start(3)) + 1
        stands, should = block[3].rstrip("\n").split("\n"), tables[block[2]].split("\n")
        for place in range(max(len(stands), len(should))):
            here = stands[place] if place < len(stands) else "(nothing)"
            there = should[place] if place < len(should) else "(nothing)"
            if here != there:
                found.append((first + place, here, there))
    return found


def _places(page: str, tables: dict[str, str]) -> None:
    names = [found[2] for found in BLOCK.finditer(page)]
    for name in tables:
        if names.count(name) != 1:
            raise PageTableMismatch(
                f"the table {name!r} should have one place, <!-- capacity: {name} -->, but has {names.count(name)}"
            )
    for name in names:
        if name not in tables:
            raise PageTableMismatch(f"there is a place for {name!r}, but no such table: {', '.join(tables)}")
