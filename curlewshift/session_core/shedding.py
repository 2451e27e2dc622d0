"""Connects a front's session core with its member of the load shedding that all fronts do together (`overload/`).

Free of I/O; the members on sockets and in the emulator both inherit from it.
"""

from __future__ import annotations

from curlewshift.model import Package, Server
from curlewshift.session_core.front_session import Answer, AnswerKind, FrontSession, Request, TuneIn


class Shedding:
    """`session_core()` returns the front's, which is created after this object; subclasses set `overload`. With
    `bounds_further`, further tune-ins stop when successes do not pay for them."""

    bounds_further = True

    def __init__(self, session_core, packages: list[Package]):
        self.session_core = session_core
        self.floor_rate = min(package.rates[package.floor] for package in packages)
        # the name by which all fronts know the viewer of each session in progress
        self.viewer_names: dict[FrontSession, str] = {}

    # ---- events passed to the overload control

    def admission_wait(self, package: str, title: str, who: str) -> int:
        """How long the viewer has to stay away (ns), 0 if admitted. Unknown packages and titles are left to the session
        core to refuse."""
        session_core = self.session_core()
        known_package, listed_title = session_core.packages.get(package), session_core.server_list.titles.get(title)
        return (
            self.overload.admission_wait(known_package, listed_title.holders, who)
            if known_package is not None and listed_title is not None
            else 0
        )

    def request_accepted(self, request: Request, who: str) -> None:
        """The session core has accepted the request of this viewer."""
        if request.front_session is not None and request.front_session.answer is None:
            self.viewer_names[request.front_session] = who

    def tune_in(self, tune_in: TuneIn) -> None:
        """A tune-in is sent; a further one is charged to the retry budget."""
        if tune_in.number > 1:
            self.overload.retry_budget.spend(self.now())
            self.budget()

    def answered(self, request: Request, answer: Answer) -> None:
        """The request is answered; the overload control counts the start or the refusal."""
        front_session = request.front_session
        if front_session is None:
            return
        viewing, who = front_session.viewing, self.viewer_names.pop(front_session, "")
        if answer.kind is AnswerKind.PLAYS:
            self.overload.began(viewing.holders, who, self.now() > viewing.requested_at + viewing.package.join_target)
            self.budget()
        elif answer.kind is AnswerKind.REFUSED and self._refused_for_room(viewing):
            self.overload.refused(viewing.holders)

    def _refused_for_room(self, viewing) -> bool:
        """Whether the viewing was refused for lack of room and not because all seats are taken."""
        return (
            not viewing.package.seats or self.session_core().rules.seats[viewing.title, viewing.package] < viewing.package.seats
        )

    def round(self) -> None:
        """One round of the overload control."""
        self.overload.time()
        self.budget()
        # drops viewers who left before an answer
        self.viewer_names = {
            front_session: who
            for front_session, who in self.viewer_names.items()
            if front_session.answer is None and front_session.waiting
        }

    # ---- events passed to the session core

    def budget(self) -> None:
        """Stops or allows further tune-ins, as the retry budget has it."""
        stopped = self.bounds_further and not self.overload.retry_budget.may_retry(self.now())
        if stopped is not self.session_core().rules.retries_stopped:
            self.session_core().again_stopped(stopped)

    # ---- state of the front

    def servers(self) -> list[Server]:
        return list(self.session_core().rules.servers)

    def can_admit(self, server: Server) -> bool:
        return self.session_core().rules.can_admit(server, self.floor_rate)
