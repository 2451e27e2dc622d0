"""A session core that records its input and its decisions, in the order in which they happen.

`tapped(SessionCore)` makes the class. Each call of an entry is one record, `[TOLD, at, wall, name, args, kwargs]`; each act (a
call of the session core on its driver) during it is one record after it, `[DID, name, values, result]`. During a call the clocks
stand still at its beginning, so that the same records give the same decisions again: random numbers come from the seed in the
first record, and there is no other input. Calls at the same instant keep their order.

Objects are recorded as ids: servers by name; front sessions, requests, tune-ins (attempts to set up a session), server commands
and session ends by number, as are objects that only the driver can read (sessions, patches). The class derives from the session
core that is in service; it is not a copy.
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

# Kinds of records: the beginning (terms and limits), the call of an entry, an act.
BEGAN, TOLD, DID = 0, 1, 2

# The methods by which a session core gets its input.
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
# The names, in a capture, of the kinds of objects that are recorded by number.
KINDS = {FrontSession: "course", Request: "request", TuneIn: "tunein", ServerCommand: "errand", SessionEnd: "ending"}
# The methods of the driver by which a session core acts.
ACTS = ("tune_in", "withdraw", "tell", "end_session", "probe", "answer", "whole_list")


class ObjectIds:
    """Numbers objects in the order in which they first occur, which is the same in a replay. Objects that are equal share a
    number: so do offers with the same credentials."""

    def __init__(self):
        self.numbers: dict[Any, int] = {}
        self.objects: list[Any] = []

    def of(self, obj: Any) -> int:
        key = obj if type(obj).__hash__ is not None else ("unhashable", id(obj))
        number = self.numbers.get(key)
        if number is None:
            # a reference is held, so that no later object of this capture has the same id()
            number = self.numbers[key] = len(self.objects)
            self.objects.append(obj)
        return number


def to_plain(ids: ObjectIds, value: Any) -> Any:
    """The value as it is recorded: objects as [kind, id]."""
    if value is None or isinstance(value, (str, int, float, bool)):
        return value
    if isinstance(value, Server):
        return ["server", value.name]
    if isinstance(value, (Outcome, Result)):
        return ["outcome" if isinstance(value, Outcome) else "result", value.value]
    if isinstance(value, ServerEntry):
        return ["row", value.server, value.state, value.started, value.zone, value.rack, value.link, value.streams, value.shelf]
    if isinstance(value, Peak):
        return ["peak", asdict(value)]
    if isinstance(value, (list, tuple)):
        return ["list", [to_plain(ids, item) for item in value]]
    if isinstance(value, dict):
        return ["dict", {name: to_plain(ids, item) for name, item in value.items()}]
    if type(value) in KINDS:
        return [KINDS[type(value)], ids.of(value)]
    if callable(value):
        return ["call"]
    return ["opaque", ids.of(value)]


def act_values(ids: ObjectIds, subject: Any) -> list:
    """The subject of an act as plain values, with those of its fields that a reader of the log needs."""
    if isinstance(subject, TuneIn):
        viewing = subject.front_session.viewing
        return [ids.of(subject), viewing.name, subject.server.name, subject.number, subject.rung, subject.until]
    if isinstance(subject, ServerCommand):
        return [ids.of(subject), subject.front_session.viewing.name, -1 if subject.rung is None else subject.rung]
    if isinstance(subject, SessionEnd):
        return [ids.of(subject), subject.server.name, subject.tries]
    if isinstance(subject, Server):
        return [subject.name]
    return [to_plain(ids, subject)]


class FrozenDriver:
    """The driver of a tapped session core: its clocks stand still between two calls of `freeze`, and it records every act."""

    def __init__(self, driver, record: Callable[[list], None], ids: ObjectIds):
        self.driver, self.record, self.ids = driver, record, ids
        self.at, self.wall_time = driver.now(), driver.wall()
        for name in ACTS:
            setattr(self, name, self._recorded(name))

    def _recorded(self, name: str):
        def act(*args):
            result = getattr(self.driver, name)(*args)
            values = act_values(self.ids, args[0]) if args else []
            if name == "answer":
                request, answer = args
                values = [self.ids.of(request), request.name, answer.kind.value, answer.cause, answer.wait]
            self.record([DID, name, values, bool(result)])
            return result

        return act

    def now(self) -> int:
        return self.at

    def wall(self) -> int:
        return self.wall_time

    def wake(self, at: int) -> None:
        self.driver.wake(at)

    def freeze(self) -> None:
        self.at, self.wall_time = max(self.at, self.driver.now()), self.driver.wall()


def tapped(base: type[SessionCore], record: Callable[[list], None]) -> type[SessionCore]:
    """A class like `base` that passes each record to `record`, which must not block."""

    class Tapped(base):
        def __init__(self, driver, terms: Terms, server_list: ServerList, *args, calendar: Calendar | None = None, **kwargs):
            self.tap_ids, self.tap_depth = ObjectIds(), 0
            self.tap_driver = FrozenDriver(driver, record, self.tap_ids)
            limits = {name: kwargs[name] for name in ("most_waiting", "most_keys") if name in kwargs}
            record(
                [
                    BEGAN,
                    terms_to_dict(terms),
                    [server_list.uplinks, {name: list(title.shelves) for name, title in server_list.titles.items()}],
                    [asdict(peak) for peak in (calendar.peaks.values() if calendar else ())],
                    limits,
                ]
            )
            self.tap_driver.at = terms.now
            super().__init__(self.tap_driver, terms, server_list, *args, calendar=calendar, **kwargs)

        def now(self) -> int:
            if not self.tap_depth:
                # the caller asks for the time between two calls of entries
                self.tap_driver.freeze()
            return self.tap_driver.at

        def stands(self, tune_in: TuneIn) -> bool:
            self.tap_driver.freeze()
            return super().stands(tune_in)

    def entry(name: str):
        method = getattr(base, name)

        def recorded(self, *args, **kwargs):
            if self.tap_depth:
                return method(self, *args, **kwargs)
            self.tap_driver.freeze()
            ids = self.tap_ids
            record(
                [
                    TOLD,
                    self.tap_driver.at,
                    self.tap_driver.wall_time,
                    name,
                    [to_plain(ids, arg) for arg in args],
                    {key: to_plain(ids, arg) for key, arg in kwargs.items()},
                ]
            )
            self.tap_depth += 1
            try:
                result = method(self, *args, **kwargs)
            finally:
                self.tap_depth -= 1
            if isinstance(result, Request) and result.front_session is not None:
                ids.of(result)
                ids.of(result.front_session)
            elif isinstance(result, (Request, FrontSession)):
                ids.of(result)
            return result

        return recorded

    for name in ENTRIES:
        setattr(Tapped, name, entry(name))
    return Tapped


def terms_to_dict(terms: Terms) -> dict:
    """The terms as plain values, for a capture."""
    values = {name: getattr(terms, name) for name in Terms.__slots__ if name != "packages"}
    values["packages"] = [{name: getattr(package, name) for name in type(package).__slots__} for package in terms.packages]
    return values
