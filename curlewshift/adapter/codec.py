"""Converts lines of the bench's protocol to plain values and back. Stateless."""

from __future__ import annotations

import json

from curlewshift.model import Outcome

NS_PER_MS = 1_000_000

OUTCOMES = {
    "served": Outcome.PLAYED,
    "server_error": Outcome.ERROR,
    "turned_away": Outcome.FULL,
    "no_answer": Outcome.SILENT,
    "no_connection": Outcome.UNREACHED,
    "connection_lost": Outcome.BROKEN,
    "called_off": Outcome.CANCELLED,
    "not_sent": Outcome.UNSENT,
}


class Malformed(Exception):
    """A line violates the protocol; the text says how."""


class Fields:
    """The `name=value` fields of one line, with typed accessors. Each raises `Malformed`."""

    def __init__(self, kind: str, parts: list[str]):
        self.kind = kind
        self.parts = {}
        for part in parts:
            name, equals, value = part.partition("=")
            if not equals:
                raise Malformed(f"{kind}: part {part!r} is not name=value")
            self.parts[name] = value

    def text(self, name: str, default: str | None = None) -> str:
        value = self.parts.get(name, default)
        if value is None:
            raise Malformed(f"{self.kind}: {name} is missing")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        return self._read(name, default, float, "a number")

    def integer(self, name: str, default: int | None = None) -> int:
        return self._read(name, default, int, "a whole number")

    def hex_key(self, name: str) -> int:
        return self._read(name, 0, lambda text: int(text, 16), "a key of hex digits")

    def time(self, name: str, default: float | None = None) -> int:
        value = self.number(name, default)
        if value != value or abs(value) > 1e15:
            raise Malformed(f"{self.kind}: {name} is no time")
        return round(value * NS_PER_MS)

    def flag(self, name: str) -> bool:
        return self.parts.get(name, "0") == "1"

    def _read(self, name, default, reader, what):
        value = self.parts.get(name)
        if value is None:
            if default is None:
                raise Malformed(f"{self.kind}: {name} is missing")
            return default
        try:
            return reader(value)
        except ValueError:
            raise Malformed(f"{self.kind}: {name}={value!r} is not {what}") from None


def fields_of(line: str) -> Fields:
    """Parses an event line. An `up` line is parsed separately, as its last field is free text. Raises `Malformed`."""
    head, _, rest = line.partition("\t")
    if head != "up":
        return Fields(head, rest.split("\t") if rest else [])
    # boot_info extends to the end of the line, tabs included
    before, found, boot = ("\t" + rest).partition("\tboot_info=")
    fields = Fields(head, [part for part in before.split("\t") if part])
    if found:
        fields.parts["boot_info"] = boot
    return fields


def load_of(fields: Fields, names: list[str]) -> dict[str, float]:
    """The load report by name; missing, non-numeric and out-of-range values are left out."""
    report = {}
    for name, value in zip(names, fields.parts.get("load", "").split(",")):
        try:
            report[name] = float(value)
        except ValueError:
            continue
    return {name: value for name, value in report.items() if 0 <= value < 1e9}


def outcome_of(fields: Fields) -> Outcome:
    """The outcome of an attempt, from the code of a `done` or `echo` line. Raises `Malformed`."""
    outcome = OUTCOMES.get(fields.text("code"))
    if outcome is None:
        raise Malformed(f"{fields.kind}: code={fields.text('code')!r} is no outcome")
    return outcome


def time_text(ns: int) -> str:
    """Formats a time in nanoseconds as milliseconds."""
    return repr(ns / NS_PER_MS)


def boot_of(text: str) -> dict:
    """Parses the settings (`boot_info`) of an `up` line. Raises `Malformed`."""
    try:
        boot = json.loads(text)
    except ValueError as error:
        raise Malformed(f"up: boot_info is not JSON ({error})") from None
    if not isinstance(boot, dict):
        raise Malformed("up: boot_info is not an object")
    return boot
