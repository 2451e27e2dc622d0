"""Reads and replaces the tables of the page, each of which stands between two markers. Text outside the markers is kept."""

from __future__ import annotations

import re

BLOCK = re.compile(r"(<!-- capacity: ([a-z ]+) -->\n)(.*?)(<!-- /capacity -->)", re.DOTALL)


class PageTableMismatch(Exception):
    """A table without exactly one pair of markers on the page, or markers that name no table."""


def written(page: str, tables: dict[str, str]) -> str:
    """Returns the page with its tables replaced by `tables`. Raises `PageTableMismatch`."""
    _check_markers(page, tables)
    return BLOCK.sub(lambda match: f"{match[1]}{tables[match[2]]}\n{match[4]}", page)


def differences(page: str, tables: dict[str, str]) -> list[tuple[int, str, str]]:
    """Returns (line number on the page, actual line, expected line) for each line that differs. Raises `PageTableMismatch`."""
    _check_markers(page, tables)
    mismatches = []
    for block in BLOCK.finditer(page):
        first = page.count("\n", 0, block.start(3)) + 1
        actual, expected = block[3].rstrip("\n").split("\n"), tables[block[2]].split("\n")
        for index in range(max(len(actual), len(expected))):
            actual_line = actual[index] if index < len(actual) else "(nothing)"
            expected_line = expected[index] if index < len(expected) else "(nothing)"
            if actual_line != expected_line:
                mismatches.append((first + index, actual_line, expected_line))
    return mismatches


def _check_markers(page: str, tables: dict[str, str]) -> None:
    names = [match[2] for match in BLOCK.finditer(page)]
    for name in tables:
        if names.count(name) != 1:
            raise PageTableMismatch(
                f"the table {name!r} should have one marker <!-- capacity: {name} -->, but has {names.count(name)}"
            )
    for name in names:
        if name not in tables:
            raise PageTableMismatch(f"the page has a marker for {name!r}, but the tables are {', '.join(tables)}")
