"""Text of the wire to plain values and back. No state and no decision."""

from __future__ import annotations

import hashlib
import json

from curlewshift.model import Outcome, Package, Terms

NS = 1_000_000

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
    """A line that the wire does not allow; its text says what is wrong."""


class Fields:
    """The named parts of one line, read by type."""

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

    def whole(self, name: str, default: int | None = None) -> int:
        return self._read(name, default, int, "a whole number")

    def key(self, name: str) -> int:
        return self._read(name, 0, lambda text: int(text, 16), "a key of hex digits")

    def time(self, name: str, default: float | None = None) -> int:
        value = self.number(name, default)
        if value != value or abs(value) > 1e15:
            raise Malformed(f"{self.kind}: {name} is no time")
        return round(value * NS)

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
    head, _, rest = line.partition("\t")
    if head != "up":
        return Fields(head, rest.split("\t") if rest else [])
    # the settings are text, which runs to the end of the line, tabs included
    before, found, boot = ("\t" + rest).partition("\tboot_info=")
    fields = Fields(head, [part for part in before.split("\t") if part])
    if found:
        fields.parts["boot_info"] = boot
    return fields


def load_of(fields: Fields, names: list[str]) -> dict[str, float]:
    """The load report by name; values that are missing or no number are left out."""
    report = {}
    for name, value in zip(names, fields.parts.get("load", "").split(",")):
        try:
            report[name] = float(value)
        except ValueError:
            continue
    return {name: value for name, value in report.items() if 0 <= value < 1e9}


def outcome_of(fields: Fields) -> Outcome:
    outcome = OUTCOMES.get(fields.text("code"))
    if outcome is None:
        raise Malformed(f"{fields.kind}: code={fields.text('code')!r} is no outcome")
    return outcome


def time_text(ns: int) -> str:
    return repr(ns / NS)


def mark_of(name: str) -> int:
    """A number that every front makes alike from an id, whatever the process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def boot_of(text: str) -> dict:
    try:
        boot = json.loads(text)
    except ValueError as error:
        raise Malformed(f"up: boot_info is not JSON ({error})") from None
    if not isinstance(boot, dict):
        raise Malformed("up: boot_info is not an object")
    return boot


def _nth(values, index, default):
    return values[index] if index < len(values) else default


def terms_of(boot: dict, now: int, seed: int) -> Terms:
    """The settings as terms; a missing key means that nothing of the kind is stated."""

    def part(name):
        value = boot.get(name)
        return value if isinstance(value, dict) else {}

    def ns(owner, name):
        return round((owner.get(name) or 0) * NS)

    extra, bounds, duty = part("extra"), part("bounds"), part("obligations")
    ladder = extra.get("rung_kb") or [1.0]
    packages = []
    for index, row in enumerate(boot.get("classes") or []):
        scale = _nth(extra.get("scale_by_class") or [], index, 1.0)
        top = min(_nth(extra.get("top_by_class") or [], index, len(ladder) - 1), len(ladder) - 1)
        packages.append(Package(
            name=row["name"], value=row.get("gain", 1.0), join_target=ns(row, "goal_time_ms"),
            patience=ns(row, "give_up_ms"), paid_at_setup=row.get("effect", "unsafe") != "safe",
            rates=tuple(rate * scale for rate in ladder),
            floor=_nth(extra.get("floor_by_class") or [], index, 0), top=top,
            seats=_nth(extra.get("class_seats") or [], index, 0)))
    longest = ns(bounds, "max_retry_after_ms") if bounds.get("retry_after") else 0
    return Terms(
        now=now, seed=seed, me=boot.get("my_number") or 0, fronts=boot.get("balancers") or 1,
        packages=packages,
        racks_told="x1" in (part("telemetry").get("fields") or []),
        told_late=ns(extra, "told_late_ms"),
        max_tune_ins=bounds.get("max_attempts") or 1, probes=bool(bounds.get("probes")), longest_wait=longest,
        warm_within=ns(duty, "warm_within_ms"), start_capacity=duty.get("start_capacity") or 0.0,
        fall_multiple=duty.get("fall_multiple") or 0.0, fall_within=ns(duty, "fall_ms"),
        free_further=duty.get("free_resends") if duty.get("look_back_ms") else None,
        further_share=duty.get("budget_share") or 0.0, look_back=ns(duty, "look_back_ms"))
