"""The same things told to a desk again, and whether it decides the same. Called by `curlewshift replay` and by tests.

The desk is the one that serves. Where a run first differs from the log, the replay says at which record, of what, and
in which field; then it stops, as from there on the log is of another day.
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
    """What only the outside could read, known by its number."""

    def __init__(self, number: int):
        self.number = number


@dataclass(slots=True)
class Difference:
    """Record number (from 0), and what was logged and what came instead."""

    record: int
    what: str
    logged: Any
    came: Any

    def __str__(self) -> str:
        return f"record {self.record}: {self.what}: the log has {self.logged!r}, this run {self.came!r}"


@dataclass(slots=True)
class Replayed:
    told: int = 0
    did: int = 0
    until: int = 0
    difference: Difference | None = None
    # why each tune-in and refusal of the viewing asked about came to be, in plain words
    explained: list[str] = field(default_factory=list)


class Again:
    """The outside of a replay: the clock of the log, and acts compared with what the log has next."""

    def __init__(self, replay: Replay):
        self.replay, self.at, self.walls = replay, 0, 0

    def now(self) -> int:
        return self.at

    def wall(self) -> int:
        return self.walls

    def wake(self, at: int) -> None:
        pass

    def withdraw(self, tune_in) -> bool:
        return self.replay.next_result("withdraw")

    def _nothing(self, *things) -> None:
        pass

    tune_in = tell = end_session = probe = answer = whole_list = _nothing


class Replay:
    """`viewing` is the number of one to explain; `rules` may be others than those that serve, to compare."""

    def __init__(self, records: Iterable[list], viewing: int | None = None, until: int | None = None, rules: type[Rules] = Rules):
        self.records = list(records)
        self.viewing, self.until, self.rules = viewing, until, rules
        self.position = 0
        self.done = Replayed()
        self.began = 0

    def run(self) -> Replayed:
        if not self.records or self.records[0][0] != BEGAN:
            raise ValueError("the log does not begin with the terms of its front")
        _, terms, (uplinks, titles), peaks, limits = self.records[0]
        terms = terms_in(terms)
        self.began = terms.now
        self.driver = Again(self)
        self.driver.at = terms.now
        calendar = Calendar(terms.packages)
        for peak in peaks:
            calendar.peaks[peak["name"]] = Peak(**peak)
        self.position = 1
        self.session_core = tapped(SessionCore, self._note)(
            self.driver, terms, ServerList(uplinks, titles), calendar=calendar, rules=self._rules(), **limits
        )
        while self.position < len(self.records) and self.done.difference is None:
            record = self.records[self.position]
            if record[0] != TOLD:
                self._differs("nothing was done here", record, None)
                break
            if self.until is not None and record[1] > self.until:
                break
            self._tell(record)
        return self.done

    # ---- one thing told

    def _tell(self, record: list) -> None:
        _, at, wall, name, args, how = record
        self.driver.at, self.driver.walls = at, wall
        self.done.until = at
        before = self.position
        try:
            getattr(self.session_core, name)(
                *[self._thing(one) for one in args], **{key: self._thing(one) for key, one in how.items()}
            )
        except (InvalidRequest, InvalidPeak):
            # the log has the same: it was told, and did nothing
            pass
        self.done.told += 1
        if self.done.difference is None and self.position < len(self.records) and self.records[self.position][0] == DID:
            self._differs(f"after {name}", self.records[self.position][1:3], None)
        assert self.position > before or self.done.difference, "a replay goes on"

    def _note(self, record: list) -> None:
        """What the desk of this run notes, in step with the log."""
        if record[0] == BEGAN or self.done.difference is not None:
            return
        if record[0] == TOLD:
            self.position += 1
            return
        if self.position >= len(self.records):
            # the log was cut off here
            return
        logged = self.records[self.position]
        self.done.did += 1
        came, had = record[1:3], logged[1:3] if logged[0] == DID else None
        if came != had:
            self._differs(record[1], had, came)
            return
        self.position += 1

    def next_result(self, name: str) -> bool:
        """What the outside said then to an act that asks something."""
        logged = self.records[self.position] if self.position < len(self.records) else None
        return bool(logged[3]) if logged and logged[0] == DID and logged[1] == name else True

    def _differs(self, what: str, logged, came) -> None:
        if self.done.difference is None:
            self.done.difference = Difference(self.position, what, logged, came)

    # ---- ids to objects

    def _thing(self, value: Any) -> Any:
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
            return [self._thing(one) for one in rest[0]]
        if kind == "dict":
            return {name: self._thing(one) for name, one in rest[0].items()}
        if kind == "call":
            return lambda *what: None
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
                lines = replay._why(self, viewing)
                super()._place(viewing)
                replay.done.explained += [*lines, replay._outcome(viewing)]

        return Explained

    def _why(self, rules: Rules, viewing) -> list[str]:
        when = (self.driver.at - self.began) / SECOND
        lines = [
            f"at {when:.3f} s: viewing {viewing.name} of {viewing.title!r}, package {viewing.package.name}, rungs "
            f"{viewing.package.floor} to {min(viewing.ceiling, viewing.package.top)}, {viewing.tune_ins} tune-ins so far"
        ]
        for server in viewing.holders:
            lines.append("  " + self._of_holder(rules, viewing, server))
        seats = viewing.package.seats
        if seats:
            lines.append(f"  {rules.seats[viewing.title, viewing.package]} of {seats} seats of this title are taken")
        return lines

    def _of_holder(self, rules: Rules, viewing, server: Server) -> str:
        link = server.link
        held = sum(room for package, room in link.holds.items() if package is not viewing.package)
        said = [
            f"{server.name}: link of {link.size:.0f} kB/s, own use {link.own:.0f}, others "
            f"{max(0.0, rules._others(link)):.0f}" + (f", held for other packages {held:.0f}" if held else "")
        ]
        if not server.open:
            said.append("told draining or gone")
        elif not rules._may_send(server):
            said.append("cold, full or failed: nothing may be sent now")
        else:
            fits = [
                rung
                for rung in range(viewing.package.floor, min(viewing.ceiling, viewing.package.top) + 1)
                if rules._room(server, viewing.package.rates[rung], viewing=viewing) >= 0
            ]
            said.append(f"rungs up to {max(fits)} pass the test" if fits else "no rung passes the test")
        if rules._is_failing(server):
            said.append("in doubt after failures")
        if server in viewing.tried:
            said.append("tried already")
        if rules._is_short(link) or rules._is_short(server.rack.link):
            said.append("short delivery noted")
        return "; ".join(said)

    @staticmethod
    def _outcome(viewing) -> str:
        if viewing.server is not None:
            return f"  so: {viewing.server.name} on rung {viewing.rung}"
        return "  so: refused"


def terms_in(out: dict) -> Terms:
    """The terms that `terms_out` wrote into a capture."""
    packages = [Package(**{**package, "rates": tuple(package["rates"])}) for package in out["packages"]]
    return Terms(**{**out, "packages": packages})
