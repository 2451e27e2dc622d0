"""What a front's desk and its part in shedding as one (`overload/`) have to tell each other. Free of I/O.

Both who hold that part, on sockets and in the emulator, are one of these.
"""

from __future__ import annotations

from curlewshift.model import Package, Server
from curlewshift.session_core.front_session import Answer, FrontSession, Kind, Request, TuneIn


class Shedding:
    """`desk()` is the front's, made later than this; `overload` is set by who inherits it. `bounds_further`: tune-ins beyond the
    first stop where successes do not pay for them."""

    bounds_further = True

    def __init__(self, desk, packages: list[Package]):
        self.desk = desk
        self.floor_rate = min(package.rates[package.floor] for package in packages)
        # by what name each viewing in work is known at every front
        self.who: dict[FrontSession, str] = {}

    # ---- what is told to the overload

    def asked(self, package: str, title: str, who: str) -> int:
        """How long it has to stay away (ns); 0: it is let in. What is not known is the desk's to refuse."""
        desk = self.desk()
        pack, held = desk.packages.get(package), desk.roster.titles.get(title)
        return self.overload.asked(pack, held.holders, who) if pack is not None and held is not None else 0

    def taken(self, request: Request, who: str) -> None:
        if request.course is not None and request.course.answer is None:
            self.who[request.course] = who

    def tune_in(self, tune_in: TuneIn) -> None:
        if tune_in.number > 1:
            self.overload.again.spends(self.now())
            self.budget()

    def answered(self, request: Request, answer: Answer) -> None:
        course = request.course
        if course is None:
            return
        vw, who = course.vw, self.who.pop(course, "")
        if answer.kind is Kind.PLAYS:
            self.overload.began(vw.holders, who, self.now() > vw.asked_at + vw.package.join_target)
            self.budget()
        elif answer.kind is Kind.REFUSED and self._for_room(vw):
            self.overload.refused(vw.holders)

    def _for_room(self, vw) -> bool:
        """A seat that is taken is no want of room."""
        return not vw.package.seats or self.desk().rules.seats[vw.title, vw.package] < vw.package.seats

    def round(self) -> None:
        self.overload.time()
        self.budget()
        # who left before an answer
        self.who = {course: who for course, who in self.who.items() if course.answer is None and course.waiting}

    # ---- what is told to the desk

    def budget(self) -> None:
        stopped = self.bounds_further and not self.overload.again.may(self.now())
        if stopped is not self.desk().rules.again_stopped:
            self.desk().again_stopped(stopped)

    # ---- facts

    def servers(self) -> list[Server]:
        return list(self.desk().rules.servers)

    def takes(self, server: Server) -> bool:
        return self.desk().rules.takes(server, self.floor_rate)
