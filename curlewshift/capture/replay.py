"""Replays a capture: calls a session core as the log says, and compares its acts. Called by `curlewshift replay` and by tests.

The session core is the one in service. At the first difference from the log the replay reports the record, the act, and what was
logged and done; then it stops, as the rest of the log belongs to another state.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from curlewshift.capture.tap import BEGAN, DID, TOLD, tapped
from curlewshift.model import Outcome, Package, Server, Terms
from curlewshift.peaks.calendar import Calendar, InvalidPeak, Peak
from curlewshift.rules import Rules
from curlewshift.session_core.server_commands import Result
from curlewshift.session_core.server_list import ServerEntry, ServerList
from curlewshift.session_core.session_core import InvalidRequest, SessionCore

SECOND = 1_000_000_000


class Opaque:
    """Stands for an object that only the driver could read, and of which the log has only the number."""

    def __init__(self, number: int):
        self.number = number


@dataclass(slots=True)
class Difference:
    """`record` is the number of the record (from 0), `what` names the act; `logged` is in the log, `actual` in this run."""

    record: int
    what: str
    logged: Any
    actual: Any

    def __str__(self) -> str:
        return f"record {self.record}: {self.what}: the log has {self.logged!r}, this run {self.actual!r}"


@dataclass(slots=True)
class ReplayResult:
    """`told` and `did` count the replayed calls and acts; `until` is the time of the last call (ns of the front's clock)."""

    told: int = 0
    did: int = 0
    until: int = 0
    difference: Difference | None = None
    # the reasons for each placing and refusal of the viewing to explain, for people
    explained: list[str] = field(default_factory=list)


class ReplayDriver:
    """The driver of a replay: its clocks are those of the log, and its acts do nothing. `Replay` compares the acts."""

    def __init__(self, replay: Replay):
        self.replay, self.at, self.wall_time = replay, 0, 0

    def now(self) -> int:
        return self.at

    def wall(self) -> int:
        return self.wall_time

    def wake(self, at: int) -> None:
        pass

    def withdraw(self, tune_in) -> bool:
        return self.replay.next_result("withdraw")

    def _ignore(self, *args) -> None:
        pass

    tune_in = tell = end_session = probe = answer = whole_list = _ignore


class Replay:
    """`viewing` is the number of the viewing to explain. Calls after `until` (ns of the front's clock) are left out. `rules` may
    be a class derived from the ones in service, for a comparison."""

    def __init__(self, records: Iterable[list], viewing: int | None = None, until: int | None = None, rules: type[Rules] = Rules):
        self.records = list(records)
        self.viewing, self.until, self.rules = viewing, until, rules
        self.position = 0
        self.result = ReplayResult()
        self.began = 0

    def run(self) -> ReplayResult:
        """Raises `ValueError` if the log does not begin with the terms."""
        if not self.records or self.records[0][0] != BEGAN:
            raise ValueError("the log does not begin with the terms of its front")
        _, terms, (uplinks, titles), peaks, limits = self.records[0]
        terms = terms_from_dict(terms)
        self.began = terms.now
        self.driver = ReplayDriver(self)
        self.driver.at = terms.now
        calendar = Calendar(terms.packages)
        for peak in peaks:
            calendar.peaks[peak["name"]] = Peak(**peak)
        self.position = 1
        self.session_core = tapped(SessionCore, self._compare)(
            self.driver, terms, ServerList(uplinks, titles), calendar=calendar, rules=self._rules(), **limits
        )
        while self.position < len(self.records) and self.result.difference is None:
            record = self.records[self.position]
            if record[0] != TOLD:
                self._set_difference("no act", record, None)
                break
            if self.until is not None and record[1] > self.until:
                break
            self._call(record)
        return self.result

    # ---- one call

    def _call(self, record: list) -> None:
        _, at, wall, name, args, kwargs = record
        self.driver.at, self.driver.wall_time = at, wall
        self.result.until = at
        before = self.position
        try:
            getattr(self.session_core, name)(
                *[self._object(arg) for arg in args], **{key: self._object(arg) for key, arg in kwargs.items()}
            )
        except (InvalidRequest, InvalidPeak):
            # as when the log was written: the call was recorded, and did nothing
            pass
        self.result.told += 1
        if self.result.difference is None and self.position < len(self.records) and self.records[self.position][0] == DID:
            self._set_difference(f"after {name}", self.records[self.position][1:3], None)
        assert self.position > before or self.result.difference, "each call advances the replay"

    def _compare(self, record: list) -> None:
        """Compares a record of this run with the next one of the log."""
        if record[0] == BEGAN or self.result.difference is not None:
            return
        if record[0] == TOLD:
            self.position += 1
            return
        if self.position >= len(self.records):
            # the log is truncated here
            return
        logged = self.records[self.position]
        self.result.did += 1
        actual, expected = record[1:3], logged[1:3] if logged[0] == DID else None
        if actual != expected:
            self._set_difference(record[1], expected, actual)
            return
        self.position += 1

    def next_result(self, name: str) -> bool:
        """The result that the driver returned for this act when the log was written; True if the log does not say."""
        logged = self.records[self.position] if self.position < len(self.records) else None
        return bool(logged[3]) if logged and logged[0] == DID and logged[1] == name else True

    def _set_difference(self, what: str, logged, actual) -> None:
        if self.result.difference is None:
            self.result.difference = Difference(self.position, what, logged, actual)

    # ---- ids to objects

    def _object(self, value: Any) -> Any:
        if not isinstance(value, list):
            return value
        kind, *rest = value
        if kind == "server":
            return self.session_core.server_list.servers[rest[0]]
        if kind in ("outcome", "result"):
            return (Outcome if kind == "outcome" else Result)(rest[0])
        if kind == "row":
            return ServerEntry(*rest)
        if kind == "peak":
            return Peak(**rest[0])
        if kind == "list":
            return [self._object(item) for item in rest[0]]
        if kind == "dict":
            return {name: self._object(item) for name, item in rest[0].items()}
        if kind == "call":
            return lambda *args: None
        ids = self.session_core.tap_ids
        if kind == "opaque" and rest[0] == len(ids.objects):
            ids.of(Opaque(rest[0]))
        return ids.objects[rest[0]]

    # ---- explaining

    def _rules(self) -> type[Rules]:
        replay = self

        class Explained(self.rules):
            def _place(self, viewing):
                if replay.viewing is None or viewing.name != replay.viewing:
                    super()._place(viewing)
                    return
                lines = replay._explanation(self, viewing)
                super()._place(viewing)
                replay.result.explained += [*lines, replay._outcome(viewing)]

        return Explained

    def _explanation(self, rules: Rules, viewing) -> list[str]:
        seconds = (self.driver.at - self.began) / SECOND
        lines = [
            f"at {seconds:.3f} s: viewing {viewing.name} of {viewing.title!r}, package {viewing.package.name}, rungs "
            f"{viewing.package.floor} to {min(viewing.ceiling, viewing.package.top)}, {viewing.tune_ins} tune-ins so far"
        ]
        for server in viewing.holders:
            lines.append("  " + self._describe_holder(rules, viewing, server))
        seats = viewing.package.seats
        if seats:
            lines.append(f"  {rules.seats[viewing.title, viewing.package]} of {seats} seats of this title are taken")
        return lines

    def _describe_holder(self, rules: Rules, viewing, server: Server) -> str:
        link = server.link
        held = sum(room for package, room in link.holds.items() if package is not viewing.package)
        texts = [
            f"{server.name}: link of {link.size:.0f} kB/s, own use {link.own:.0f}, others "
            f"{max(0.0, rules._others(link)):.0f}" + (f", held for other packages {held:.0f}" if held else "")
        ]
        if not server.open:
            texts.append("reported draining or gone")
        elif not rules._may_send(server):
            texts.append("cold, full or failed: nothing may be sent now")
        else:
            fits = [
                rung
                for rung in range(viewing.package.floor, min(viewing.ceiling, viewing.package.top) + 1)
                if rules._room(server, viewing.package.rates[rung], viewing=viewing) >= 0
            ]
            texts.append(f"rungs up to {max(fits)} pass the test" if fits else "no rung passes the test")
        if rules._is_failing(server):
            texts.append("in doubt after failures")
        if server in viewing.tried:
            texts.append("tried already")
        if rules._is_short(link) or rules._is_short(server.rack.link):
            texts.append("short delivery noted")
        return "; ".join(texts)

    @staticmethod
    def _outcome(viewing) -> str:
        if viewing.server is not None:
            return f"  so: {viewing.server.name} on rung {viewing.rung}"
        return "  so: refused"


def terms_from_dict(values: dict) -> Terms:
    """The terms that `terms_to_dict` of tap.py wrote into a capture."""
    packages = [Package(**{**package, "rates": tuple(package["rates"])}) for package in values["packages"]]
    return Terms(**{**values, "packages": packages})
