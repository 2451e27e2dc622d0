"""A desk that notes what it is told and what it does, in the order in which it happens.

`tapped(SessionCore)` makes the class. Each thing that the desk is told is one record, `[TOLD, at, wall, what, arguments]`; each
thing that it does in answer is one record after it, `[DID, what, arguments, result]`. While one is worked on, the clocks
stand still at what they were when it came, so that the same records give the same decisions again: chance comes from
the seed in the first record, and nothing else comes in from outside. Things told in one instant keep their order.

Objects go into the log as ids: servers by name, courses, requests and tune-ins by number; what only the outside can
read (sessions, patches) by number too. The desk below is the one that serves, not a copy.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from curlewshift.model import Outcome, Server, Terms
from curlewshift.peaks.calendar import Calendar, Peak
from curlewshift.retries.session_ends import SessionEnd
from curlewshift.session_core.front_session import FrontSession, Request, TuneIn
from curlewshift.session_core.server_commands import Result, ServerCommand
from curlewshift.session_core.server_list import ServerEntry, ServerList
from curlewshift.session_core.session_core import SessionCore

BEGAN, TOLD, DID = 0, 1, 2

# Everything by which a desk is told something.
ENTRIES = (
    "asked",
    "hung_up",
    "closed",
    "ceiling_told",
    "patched",
    "drain",
    "played",
    "failed",
    "lost",
    "server_lost",
    "notes_broke",
    "restarted",
    "handed_over",
    "delivered",
    "told",
    "told_server",
    "session_ended",
    "probed",
    "list_full",
    "list_change",
    "time",
    "announce",
    "cancel",
    "interrupted",
    "found",
    "not_found",
    "rung_found",
    "came_back",
    "orphaned",
    "rights_held",
    "doubted",
    "counted",
    "seen_warm",
    "further_held",
    "seats_held",
    "seats_over",
    "uplink_counted",
    "link_reported",
    "planned",
    "again_stopped",
    "share_rights",
)
# What objects that go in by number are called in a capture.
KINDS = {FrontSession: "course", Request: "request", TuneIn: "tunein", ServerCommand: "errand", SessionEnd: "ending"}
# Everything that it does.
ACTS = ("tune_in", "withdraw", "tell", "end_session", "probe", "answer", "whole_list")


class Ids:
    """Numbers for objects, in the order in which they are first met; the same in a replay, which meets them in the
    same order. Offers are equal if their credentials are, and then have one number."""

    def __init__(self):
        self.numbers: dict[Any, int] = {}
        self.objects: list[Any] = []

    def of(self, thing: Any) -> int:
        key = thing if type(thing).__hash__ is not None else ("unhashable", id(thing))
        number = self.numbers.get(key)
        if number is None:
            # kept, so that no other object gets its identity while the log goes on
            number = self.numbers[key] = len(self.objects)
            self.objects.append(thing)
        return number


def plain(ids: Ids, thing: Any) -> Any:
    """A value as it goes into the log: objects as [kind, id]."""
    if thing is None or isinstance(thing, (str, int, float, bool)):
        return thing
    if isinstance(thing, Server):
        return ["server", thing.name]
    if isinstance(thing, (Outcome, Result)):
        return ["outcome" if isinstance(thing, Outcome) else "result", thing.value]
    if isinstance(thing, ServerEntry):
        return ["row", thing.server, thing.state, thing.started, thing.zone, thing.rack, thing.link, thing.streams, thing.shelf]
    if isinstance(thing, Peak):
        return ["peak", asdict(thing)]
    if isinstance(thing, (list, tuple)):
        return ["list", [plain(ids, one) for one in thing]]
    if isinstance(thing, dict):
        return ["dict", {name: plain(ids, one) for name, one in thing.items()}]
    if type(thing) in KINDS:
        return [KINDS[type(thing)], ids.of(thing)]
    if callable(thing):
        return ["call"]
    return ["opaque", ids.of(thing)]


def act(ids: Ids, thing: Any) -> list:
    """What was done, in plain values and with what people want to read of it."""
    if isinstance(thing, TuneIn):
        viewing = thing.front_session.viewing
        return [ids.of(thing), viewing.name, thing.server.name, thing.number, thing.rung, thing.until]
    if isinstance(thing, ServerCommand):
        return [ids.of(thing), thing.front_session.viewing.name, -1 if thing.rung is None else thing.rung]
    if isinstance(thing, SessionEnd):
        return [ids.of(thing), thing.server.name, thing.tries]
    if isinstance(thing, Server):
        return [thing.name]
    return [plain(ids, thing)]


class Frozen:
    """The outside as the desk sees it while it is tapped: clocks that stand still, and every act noted."""

    def __init__(self, driver, note: Callable[[list], None], ids: Ids):
        self.driver, self.note, self.ids = driver, note, ids
        self.at, self.walls = driver.now(), driver.wall()
        for name in ACTS:
            setattr(self, name, self._noted(name))

    def _noted(self, name: str):
        def done(*things):
            result = getattr(self.driver, name)(*things)
            what = act(self.ids, things[0]) if things else []
            if name == "answer":
                request, answer = things
                what = [self.ids.of(request), request.name, answer.kind.value, answer.cause, answer.wait]
            self.note([DID, name, what, bool(result)])
            return result

        return done

    def now(self) -> int:
        return self.at

    def wall(self) -> int:
        return self.walls

    def wake(self, at: int) -> None:
        self.driver.wake(at)

    def freeze(self) -> None:
        self.at, self.walls = max(self.at, self.driver.now()), self.driver.wall()


def tapped(base: type[SessionCore], note: Callable[[list], None]) -> type[SessionCore]:
    """A class like `base` that notes each record by `note`, which must not block."""

    class Tapped(base):
        def __init__(self, driver, terms: Terms, server_list: ServerList, *args, calendar: Calendar | None = None, **how):
            self.tap_ids, self.tap_depth = Ids(), 0
            self.tap_driver = Frozen(driver, note, self.tap_ids)
            limits = {name: how[name] for name in ("most_waiting", "most_keys") if name in how}
            note(
                [
                    BEGAN,
                    terms_out(terms),
                    [server_list.uplinks, {name: list(title.shelves) for name, title in server_list.titles.items()}],
                    [asdict(peak) for peak in (calendar.peaks.values() if calendar else ())],
                    limits,
                ]
            )
            self.tap_driver.at = terms.now
            super().__init__(self.tap_driver, terms, server_list, *args, calendar=calendar, **how)

        def now(self) -> int:
            if not self.tap_depth:
                # asked from outside, between two things told
                self.tap_driver.freeze()
            return self.tap_driver.at

        def stands(self, tune_in: TuneIn) -> bool:
            self.tap_driver.freeze()
            return super().stands(tune_in)

    def entry(name: str):
        told = getattr(base, name)

        def noted(self, *args, **how):
            if self.tap_depth:
                return told(self, *args, **how)
            self.tap_driver.freeze()
            ids = self.tap_ids
            note(
                [
                    TOLD,
                    self.tap_driver.at,
                    self.tap_driver.walls,
                    name,
                    [plain(ids, one) for one in args],
                    {key: plain(ids, one) for key, one in how.items()},
                ]
            )
            self.tap_depth += 1
            try:
                result = told(self, *args, **how)
            finally:
                self.tap_depth -= 1
            if isinstance(result, Request) and result.front_session is not None:
                ids.of(result)
                ids.of(result.front_session)
            elif isinstance(result, (Request, FrontSession)):
                ids.of(result)
            return result

        return noted

    for name in ENTRIES:
        setattr(Tapped, name, entry(name))
    return Tapped


def terms_out(terms: Terms) -> dict:
    """The terms as plain values, for a capture."""
    out = {name: getattr(terms, name) for name in Terms.__slots__ if name != "packages"}
    out["packages"] = [{name: getattr(package, name) for name in type(package).__slots__} for package in terms.packages]
    return out
