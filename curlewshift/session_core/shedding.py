"""What a front's desk and its part in shedding as one (`overload/`) have to tell each other. Free of I/O.

Both who hold that part, on sockets and in the emulator, are one of these.
"""

from __future__ import annotations

from curlewshift.model import Package, Server
from curlewshift.session_core.front_session import Answer, FrontSession, Kind, Request, TuneIn


class Shedding:
    """`session_core()` is the front's, made later than this; `overload` is set by who inherits it. `bounds_further`: tune-ins
    beyond the first stop where successes do not pay for them."""

    bounds_further = True

    def __init__(self, session_core, packages: list[Package]):
        self.session_core = session_core
        self.floor_rate = min(package.rates[package.floor] for package in packages)
        # by what name each viewing in work is known at every front
        self.who: dict[FrontSession, str] = {}

    # ---- what is told to the overload

    def asked(self, package: str, title: str, who: str) -> int:
        """How long it has to stay away (ns); 0: it is let in. What is not known is the desk's to refuse."""
        session_core = self.session_core()
        pack, held = session_core.packages.get(package), session_core.server_list.titles.get(title)
        return self.overload.asked(pack, held.holders, who) if pack is not None and held is not None else 0

    def taken(self, request: Request, who: str) -> None:
        if request.front_session is not None and request.front_session.answer is None:
            self.who[request.front_session] = who

    def tune_in(self, tune_in: TuneIn) -> None:
        if tune_in.number > 1:
            self.overload.again.spends(self.now())
            self.budget()

    def answered(self, request: Request, answer: Answer) -> None:
        front_session = request.front_session
        if front_session is None:
            return
        viewing, who = front_session.viewing, self.who.pop(front_session, "")
        if answer.kind is Kind.PLAYS:
            self.overload.began(viewing.holders, who, self.now() > viewing.asked_at + viewing.package.join_target)
            self.budget()
        elif answer.kind is Kind.REFUSED and self._for_room(viewing):
            self.overload.refused(viewing.holders)

    def _for_room(self, viewing) -> bool:
        """A seat that is taken is no want of room."""
        return (
            not viewing.package.seats or self.session_core().rules.seats[viewing.title, viewing.package] < viewing.package.seats
        )

    def round(self) -> None:
        self.overload.time()
        self.budget()
        # who left before an answer
        self.who = {
            front_session: who
            for front_session, who in self.who.items()
            if front_session.answer is None and front_session.waiting
        }

    # ---- what is told to the desk

    def budget(self) -> None:
        stopped = self.bounds_further and not self.overload.again.may(self.now())
        if stopped is not self.session_core().rules.again_stopped:
            self.session_core().again_stopped(stopped)

    # ---- facts

    def servers(self) -> list[Server]:
        return list(self.session_core().rules.servers)

    def takes(self, server: Server) -> bool:
        return self.session_core().rules.takes(server, self.floor_rate)
