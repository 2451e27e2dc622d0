"""A front's session core: turns requests into calls of the policy, and its decisions into one answer to each request.

Created by the driver of a front (curlewshift/front with sockets, tests with a fake one), which calls one method for each
event and performs I/O for it through `Driver`. The core does not decide where a viewing is placed. It assigns ids, joins
retries under one key, keeps deadlines, and sees to it that every request is answered exactly once.

Late events are dropped here and nowhere else: a tune-in (one set-up attempt at one server) ends by its first outcome,
which is its answer or its time-out, and a session that was set up for a viewer who has left is torn down.

A life is one run of a process; a front that restarts begins a new one.
"""

from __future__ import annotations

from collections.abc import Iterable

from curlewshift.deployment import Fleet, placement_hash_of
from curlewshift.model import ListedServer, Outcome, Package, Server, Terms, Viewing
from curlewshift.peaks.calendar import Calendar, Peak
from curlewshift.peaks.peaks import Peaks
from curlewshift.retries.keys import MAX_ENDED, KeyTable
from curlewshift.retries.session_ends import SessionEnd, SessionEnds
from curlewshift.rules import Rules
from curlewshift.session_core.driver import Driver
from curlewshift.session_core.front_session import Answer, AnswerKind, FrontSession, Request, TuneIn
from curlewshift.session_core.server_commands import CommandQueue, Result, ServerCommand
from curlewshift.session_core.server_list import ListGap, ServerEntry, ServerList
from curlewshift.session_core.timers import Timers
from curlewshift.state.intents import RETENTION

SECOND = 1_000_000_000

# Bound on the requests that wait for an answer; more are refused at once, without a tune-in.
MAX_WAITING = 2000
# A server that the list has dropped is forgotten after this time, once nothing plays there.
FORGET_AFTER = 60 * SECOND


class InvalidRequest(Exception):
    """A request that cannot be accepted; the text gives the reason. No tune-in was made for it."""


class UnknownResource(InvalidRequest):
    """No such title or package."""


class KeyReused(InvalidRequest):
    """The key was used before for a different request."""


class SessionCore:
    """The session core of one front; see the module."""

    def __init__(
        self,
        driver: Driver,
        terms: Terms,
        server_list: ServerList | Fleet,
        rules: type[Rules] = Rules,
        most_waiting: int = MAX_WAITING,
        most_keys: int = MAX_ENDED,
        calendar: Calendar | None = None,
    ):
        self.driver, self.server_list = driver, server_list
        self.packages = {package.name: package for package in terms.packages}
        self.front_sessions: dict[Viewing, FrontSession] = {}
        self.keys = KeyTable(terms.now, most_keys)
        # interrupted paid set-ups whose result is not known yet, by key
        self.doubts: dict[str, FrontSession] = {}
        self.waiting, self.most_waiting = 0, most_waiting
        self.draining = False
        self.viewing_count = 0
        self.longest_wait = terms.longest_wait
        self.timers = Timers(driver.wake)
        self.session_ends = SessionEnds(driver.now, driver.end_session, self.timers.at)
        self.peaks = Peaks(calendar or Calendar(terms.packages), terms.fronts, terms.now)
        self.rules = rules(self, terms)

    # ---- requests

    def asked(
        self,
        name: str,
        package: str,
        title: str,
        ceiling: int | None = None,
        patience: int = 0,
        key: str | None = None,
        offer: object = None,
        came_back: bool = False,
        holders: Iterable | None = None,
        mark: int | None = None,
        arrived: int | None = None,
        expected: int = 0,
    ) -> Request:
        """A viewer requests a title. It is answered through `Driver.answer`, possibly before this returns.

        `patience` is how long the viewer waits (ns), from when the request `arrived`, if that is less than the
        package's. A request may name the servers that hold its title as `holders`, with its viewer's `mark`, a hash
        that orders servers for it. Raises `InvalidRequest`.
        """
        now = self.driver.now() if arrived is None else arrived
        pack = self.packages.get(package)
        if pack is None:
            raise UnknownResource(f"there is no package {package!r}")
        if holders is None:
            holders = self._holders(title)
        time_limit = min((time for time in (patience, pack.patience) if time > 0), default=0)
        request = Request(name, now, now + time_limit)
        known = self.keys.find(key, now) if key is not None else None
        if known is not None:
            if known.request_identity != (offer, pack, title):
                raise KeyReused("this key was used before for another offer, title or package")
            self._join(known.front_session, request)
            return request
        if self.draining or self.waiting >= self.most_waiting:
            cause = "this front is going out of service" if self.draining else "too many requests are in work here"
            self._answer(request, Answer(AnswerKind.REFUSED, cause, self.overload_wait))
            return request
        top = pack.top if ceiling is None else ceiling
        if top < pack.floor:
            raise InvalidRequest(f"package {package!r} is not played under rung {pack.floor}, the request allows {top} at most")
        self.viewing_count += 1
        viewing = Viewing(
            self.viewing_count,
            title,
            placement_hash_of(key or name) if mark is None else mark,
            pack,
            top,
            now,
            now + time_limit,
            holders,
            expected=expected,
            came_back=came_back,
        )
        self.peaks.request_arrived(pack, now, holders)
        front_session = FrontSession(viewing, offer, requests=[request], commands=CommandQueue(self.driver.tell))
        if key is not None:
            front_session.held = self.keys.add(key, (offer, pack, title), front_session)
        self._open(front_session, request)
        return request

    @property
    def overload_wait(self) -> int:
        """When a request that is refused unplaced may come back (ns); 0 if the settings allow no advice."""
        return min(SECOND, self.longest_wait)

    def knows(self, key: str | None) -> bool:
        """Whether a request with this key would join a known one, without a tune-in."""
        return key is not None and self.keys.find(key, self.driver.now()) is not None

    def hung_up(self, request: Request) -> None:
        """The viewer closed its request before the answer: no answer is due any more."""
        if request.answer is not None or request.gone:
            return
        request.gone = True
        self.waiting -= 1
        front_session = request.front_session
        if front_session.held is not None and self.doubts.get(front_session.held.key) is front_session:
            # kept by its key until the result is known: if it were forgotten, a retry would set it up again
            return
        if not front_session.waiting and front_session.answer is None:
            self.rules.left(front_session.viewing)
            if front_session.tune_in is None:
                self._close(front_session)

    def gave_up(self, request: Request) -> None:
        """The viewer has cancelled its request and will not retry it: an outstanding tune-in is withdrawn."""
        self.hung_up(request)
        front_session = request.front_session
        if front_session is not None and front_session.tune_in is not None and not front_session.waiting:
            tune_in = front_session.tune_in
            self.driver.withdraw(tune_in)
            self.failed(tune_in, Outcome.CANCELLED)

    def closed(self, front_session: FrontSession) -> None:
        """The viewer ends a playing viewing."""
        if self.front_sessions.get(front_session.viewing) is front_session and front_session.viewing.playing:
            server, session = front_session.viewing.server, front_session.session
            self._finish(front_session, Outcome.PLAYED)
            self.session_ends.end(server, session)

    def ceiling_told(self, front_session: FrontSession, rung: int) -> None:
        """The viewer sets its ceiling, the highest rung it allows. Raises `InvalidRequest` under the package's floor."""
        viewing = front_session.viewing
        if rung < viewing.package.floor:
            raise InvalidRequest(f"package {viewing.package.name!r} is not played under rung {viewing.package.floor}")
        viewing.ceiling = min(rung, viewing.package.top)
        if viewing.playing and viewing.rung > viewing.ceiling:
            self.rules.rung_reported(viewing, viewing.ceiling)
            front_session.commands.rung(front_session, viewing.ceiling)

    def patched(self, front_session: FrontSession, patch: object, told) -> None:
        """The client changes its session; `told(command)` is called once, with the result from its server."""
        front_session.commands.patch(front_session, patch, told)

    def end_waiting(self) -> None:
        """This front stops now: waiting requests are answered, and their outstanding tune-ins are withdrawn."""
        for front_session in list(self.front_sessions.values()):
            if not front_session.waiting or front_session.answer is not None:
                continue
            viewing, tune_in = front_session.viewing, front_session.tune_in
            self.rules.left(viewing)
            if tune_in is not None:
                tune_in.outcome = Outcome.SILENT if self.driver.withdraw(tune_in) else Outcome.UNSENT
                front_session.tune_in = None
                self.rules.ended(viewing, tune_in.outcome, True)
            if viewing.package.paid_at_setup and viewing.may_have_run:
                self.abort(viewing)
            else:
                self.block(viewing, min(SECOND, self.longest_wait))

    def drain(self) -> None:
        """Refuses new requests; those in progress are still answered."""
        self.draining = True

    # ---- results of tune-ins and sessions

    def stands(self, tune_in: TuneIn) -> bool:
        """Whether to send the tune-in, checked just before its first byte: the list may have changed or its time passed."""
        return tune_in.outcome is None and tune_in.server.open and self.driver.now() < tune_in.until

    def sent(self, tune_in: TuneIn) -> None:
        """The first byte of the tune-in is sent now."""
        self.rules.attempt_sent(tune_in.front_session.viewing)

    def played(self, tune_in: TuneIn, session: object, report: dict[str, float] | None = None) -> None:
        """The server has set the session up."""
        if tune_in.outcome is not None:
            # it timed out before, or this is reported twice: no viewer learns of this session
            if tune_in.front_session.session is not session:
                self.session_ends.end(tune_in.server, session)
            return
        self._report(tune_in.server, report)
        tune_in.outcome = Outcome.PLAYED
        front_session, viewing = tune_in.front_session, tune_in.front_session.viewing
        front_session.tune_in, front_session.session = None, session
        self.rules.begun(viewing)
        if not front_session.waiting:
            self.rules.ended(viewing, Outcome.PLAYED, True)
            self._close(front_session)
            self.session_ends.end(tune_in.server, session)
            return
        viewing.ended = False
        self.peaks.started(viewing, self.driver.now())
        self._answer_all(front_session, Answer(AnswerKind.PLAYS, "plays", front_session=front_session))

    def failed(self, tune_in: TuneIn, outcome: Outcome, report: dict[str, float] | None = None) -> None:
        """The tune-in has ended without a session; the outcome says whether the server may have run it."""
        if tune_in.outcome is not None:
            return
        self._report(tune_in.server, report)
        tune_in.outcome = outcome
        front_session, viewing = tune_in.front_session, tune_in.front_session.viewing
        front_session.tune_in = None
        left = viewing.ended
        self.rules.ended(viewing, outcome, left)
        if left:
            self._after_leaving(front_session)

    def lost(self, front_session: FrontSession, outcome: Outcome = Outcome.BROKEN) -> None:
        """A playing viewing has ended at its server, normally (`PLAYED`) or broken."""
        if self.front_sessions.get(front_session.viewing) is front_session and front_session.viewing.playing:
            self._finish(front_session, outcome)

    def server_lost(self, server: Server) -> None:
        """The server has restarted or is gone: all viewings that played there have ended."""
        for viewing in list(server.link.playing):
            self.lost(self.front_sessions[viewing])
        self.session_ends.server_gone(server)

    def notes_broke(self, server: Server) -> None:
        """The server's stream of notes broke off: it may be gone, and may come back cold without the list showing it."""
        self.rules.probed(server, Outcome.BROKEN)

    def restarted(self, server: Server) -> None:
        """The server answers as a new process: nothing plays there, and it is taken to be cold from now on."""
        self.server_lost(server)
        self.came_back(server)

    def came_back(self, server: Server) -> None:
        """The server is another process than when it last answered: it may be as cold as one that starts now."""
        self.rules.listed([ListedServer(server, server.open, max(self.driver.now(), server.started))], False)

    def plays_at(
        self,
        package: str,
        title: str,
        ceiling: int,
        server: Server,
        session: object,
        holders: Iterable,
        mark: int,
        expected: int = 0,
    ) -> FrontSession:
        """Adds a viewing that already plays at a server, on a rung to be reported later. It is counted even where there
        is no room for it. Raises `UnknownResource`."""
        pack = self.packages.get(package)
        if pack is None:
            raise UnknownResource(f"there is no package {package!r}")
        self.viewing_count += 1
        front_session = self._new_playing_session(pack, title, mark, ceiling, holders, session, expected)
        self.front_sessions[front_session.viewing] = front_session
        self.rules.handed_over(front_session.viewing, server)
        return front_session

    def handed_over(
        self,
        package: str,
        title: str,
        ceiling: int,
        server: Server,
        session: object,
        rung: int,
        key: str | None = None,
        offer: object = None,
    ) -> FrontSession:
        """Adds a viewing that has played since before this front started; `key` is its client's. Raises `InvalidRequest`."""
        pack, listed_title = self.packages.get(package), self.server_list.titles.get(title)
        if pack is None or listed_title is None:
            raise UnknownResource(f"there is no package {package!r} or no title {title!r}")
        if not pack.floor <= rung <= pack.top:
            raise InvalidRequest(f"package {package!r} is not played on rung {rung}")
        if not self._seat_left(title, pack):
            raise InvalidRequest(f"all seats of {title!r} are taken in package {package!r}")
        if key in self.doubts:
            front_session = self.found(key, server, session, rung)
            front_session.viewing.ceiling = ceiling
            return front_session
        self.viewing_count += 1
        front_session = self._new_playing_session(
            pack, title, placement_hash_of(f"handed over {self.viewing_count}"), ceiling, listed_title.holders, session
        )
        if key is not None and self.keys.find(key, self.driver.now()) is None:
            # its client may retry because it never received the answer
            front_session.offer, front_session.held = offer, self.keys.add(key, (offer, pack, title), front_session)
        self._plays_already(front_session, server, rung)
        return front_session

    def _new_playing_session(
        self, pack: Package, title: str, mark: int, ceiling: int, holders: Iterable, session: object, expected: int = 0
    ) -> FrontSession:
        now = self.driver.now()
        viewing = Viewing(self.viewing_count, title, mark, pack, ceiling, now, now + pack.patience, holders, expected=expected)
        front_session = FrontSession(viewing, None, session=session, commands=CommandQueue(self.driver.tell))
        front_session.answer = Answer(AnswerKind.PLAYS, "handed over", front_session=front_session)
        return front_session

    def rung_found(self, front_session: FrontSession, rung: int) -> None:
        """The server reports the rung that a viewing plays on, which may differ from the one commanded."""
        viewing = front_session.viewing
        if viewing.playing and viewing.package.floor <= rung <= viewing.package.top:
            self.rules.rung_reported(viewing, rung)

    def orphaned(self, server: Server, session: object) -> None:
        """A session that an earlier life of this front left at the server has no known client: it is ended."""
        self.session_ends.end(server, session)

    def _seat_left(self, title: str, pack: Package) -> bool:
        return self.rules.seat_left(title, pack)

    def _plays_already(self, front_session: FrontSession, server: Server, rung: int) -> None:
        self.front_sessions[front_session.viewing] = front_session
        self.rules.handed_over(front_session.viewing, server)
        self.rules.rung_reported(front_session.viewing, rung)

    def told_server(self, command: ServerCommand, result: Result, reply: object = None) -> None:
        command.front_session.commands.answered(command, result, reply)

    def session_ended(self, session_end: SessionEnd, answered: bool) -> None:
        if answered:
            self.session_ends.answered(session_end)
        else:
            self.session_ends.unanswered(session_end)

    # ---- notes, reports, probes

    def delivered(self, server: Server, share: float) -> None:
        """The server delivers this share of the rates that it should send."""
        self.rules.delivered(server, min(1.0, max(0.0, share)))

    def told(self, server: Server, report: dict[str, float]) -> None:
        """Load of the server's link (`link`) and of its rack's uplink (`uplink`): demand over capacity."""
        self._report(server, report)

    def probed(self, server: Server, outcome: Outcome, report: dict[str, float] | None = None) -> None:
        self._report(server, report)
        self.rules.probed(server, outcome)

    def _report(self, server: Server, report: dict[str, float] | None) -> None:
        link, uplink = (report or {}).get("link"), (report or {}).get("uplink")
        if link is not None and 0 <= link < 1e6:
            self.rules.link_report_received(server, link)
        if uplink is not None and 0 <= uplink < 1e6:
            self.rules.uplink_report_received(server, uplink)

    # ---- what other fronts share, passed on to the rules

    def share_rights(self) -> None:
        """The pace of cold servers is shared by rights from now on: a server without rights gets nothing until it has some.
        Otherwise a front would go by turns between the listing of a new server and its first rights, in addition to the
        fronts that go by rights."""
        self.rules.rights_dealt = True

    def rights_held(self, server: Server, rights: list) -> None:
        """This front's rights to set-ups within the server's pace while cold: (from, until, count), in ns of this clock."""
        server.rights = [tuple(right) for right in rights]

    def doubted(self, server: Server, doubted: bool) -> None:
        server.doubted = doubted

    def again_stopped(self, stopped: bool) -> None:
        """Whether further tune-ins have used up the retry budget that successes earn."""
        self.rules.retries_stopped = stopped

    def further_held(self, rights: list) -> None:
        """This front's rights to free further tune-ins, in the form of `rights_held`."""
        self.rules.further_rights = [tuple(right) for right in rights]

    def seats_held(self, package: str, title: str, rights: list) -> None:
        """This front's rights to seats of the title, in the form of `rights_held`. It has none for titles never named."""
        self.rules.seat_rights.setdefault(self.packages[package], {})[title] = [tuple(right) for right in rights]

    def seats_over(self, package: str, title: str, count: int) -> None:
        """This front holds `count` viewings more than it has seats: the newest of them end."""
        pack = self.packages[package]
        playing = [
            front_session
            for front_session in self.front_sessions.values()
            if front_session.viewing.package is pack and front_session.viewing.title == title and front_session.viewing.playing
        ]
        for front_session in playing[-count:]:
            self.closed(front_session)

    def counted(self, server: Server, use: float, age: int) -> None:
        self.rules.counted(server.link, use, age)

    def uplink_counted(self, server: Server, use: float, age: int) -> None:
        """As `counted`, for the uplink of the server's rack."""
        self.rules.counted(server.rack.link, use, age)

    def link_reported(self, server: Server, use: float) -> None:
        """The load of the server's link as reported to another front, up to two rounds old."""
        if 0 <= use < 1e6:
            self.rules.link_reported(server, use)

    def planned(self, package: str, part: float, until: int) -> None:
        """This front's share of the room held for the package's peaks, valid until then (ns of this clock)."""
        self.peaks.planned(self.packages[package], part, until)

    def seen_warm(self, server: Server) -> None:
        self.rules.seen_warm(server)

    # ---- the server list

    def list_full(self, epoch: str, generation: int, rows: list[ServerEntry], stale: bool = False) -> None:
        """The full list of servers; `stale` for a list that this front stored before it started."""
        self._listed(self.server_list.full(epoch, generation, rows), stale)

    def list_change(self, epoch: str, since: int, generation: int, rows: list[ServerEntry]) -> None:
        try:
            lines = self.server_list.change(epoch, since, generation, rows)
        except ListGap:
            self.driver.whole_list()
            return
        self._listed(lines, False)

    def list_lines_received(self, lines: list[ListedServer], stale: bool) -> None:
        """Changes of a list whose servers the driver keeps. Viewings on a server that is gone end when their end is seen."""
        self.rules.listed(lines, stale)
        for line in lines:
            if not self.server_list.lists(line.server):
                self._forget_later(line.server)

    def _forget_later(self, server: Server) -> None:
        self.timers.at(self.driver.now() + FORGET_AFTER, lambda: self._forget(server))

    def _listed(self, lines: list[ListedServer] | None, stale: bool) -> None:
        if not lines:
            return
        self.rules.listed(lines, stale)
        dropped = [line.server for line in lines if not self.server_list.lists(line.server)]
        for server in dropped:
            # the list will not name a dropped server again: the seats and rates of its viewings must not stay counted
            for viewing in list(server.link.playing):
                front_session = self.front_sessions[viewing]
                session = front_session.session
                self.lost(front_session)
                self.session_ends.end(server, session)
            self._forget_later(server)

    def _forget(self, server: Server) -> None:
        if self.server_list.lists(server) or self.server_list.servers.get(server.name) is not server:
            return
        if server.outstanding or server.link.playing:
            self._forget_later(server)
            return
        self.server_list.forget(server)
        self.rules.forgotten(server)

    def _holders(self, title: str) -> Iterable:
        listed_title = self.server_list.titles.get(title)
        if listed_title is None:
            raise UnknownResource(f"there is no title {title!r}")
        return listed_title.holders

    # ---- paid set-ups of an earlier life

    def interrupted(self, key: str, offer: object, package: str, title: str, until: int, doubt: bool = False) -> None:
        """A paid request of an earlier life of this front that may have run. A retry with its key before `until` is
        answered that it failed or, while there is `doubt`, waits for `found` or `not_found`. No tune-in is sent for it.
        Ignored if the settings no longer have its package or title, as nobody can request it then."""
        pack = self.packages.get(package)
        if pack is None or title not in self.server_list.titles or self.keys.find(key, self.driver.now()) is not None:
            return
        self.viewing_count += 1
        viewing = Viewing(
            self.viewing_count,
            title,
            placement_hash_of(key),
            pack,
            pack.top,
            self.driver.now(),
            until,
            (),
            ended=True,
            may_have_run=True,
        )
        front_session = FrontSession(viewing, offer, commands=CommandQueue(self.driver.tell))
        front_session.held = self.keys.add(key, (offer, pack, title), front_session)
        self.doubts[key] = front_session
        if not doubt:
            self.not_found(key)

    def found(self, key: str, server: Server, session: object, rung: int) -> FrontSession | None:
        """An interrupted paid set-up plays at this server. Returns None if the session has to end: its client has been
        answered that it failed, its seat has been taken, or the settings no longer have its rung."""
        front_session = self.doubts.get(key)
        if front_session is None:
            return None
        viewing = front_session.viewing
        if not viewing.package.floor <= rung <= viewing.package.top or not self._seat_left(viewing.title, viewing.package):
            self.not_found(key)
            return None
        del self.doubts[key]
        # its viewer's ceiling was lost with the front: it climbs no higher than where it plays
        viewing.ended, viewing.ceiling, front_session.session = False, rung, session
        viewing.holders = self.server_list.titles[viewing.title].holders
        self._plays_already(front_session, server, rung)
        self._answer_all(
            front_session, Answer(AnswerKind.PLAYS, "it plays since before the front was restarted", front_session=front_session)
        )
        return front_session

    def not_found(self, key: str) -> None:
        """An interrupted paid set-up plays at no known server; it may have run all the same."""
        front_session = self.doubts.pop(key, None)
        if front_session is not None:
            self._answer_all(
                front_session, Answer(AnswerKind.FAILED, "the front was restarted while it was set up; it may have run")
            )
            self.keys.ended(front_session.held, front_session.viewing.expires)

    def _doubt_timed_out(self, front_session: FrontSession) -> None:
        """A retry has waited for its full patience and the result is not known: it is answered that the set-up failed,
        and that answer stays even if the session is found later."""
        if front_session.waiting and front_session.answer is None and self.doubts.get(front_session.held.key) is front_session:
            self.not_found(front_session.held.key)

    # ---- announced peaks

    def announce(self, peak: Peak) -> None:
        """Raises `InvalidPeak`."""
        self.peaks.calendar.announce(peak, self.driver.wall())

    def cancel(self, name: str) -> None:
        """Raises `InvalidPeak`."""
        self.peaks.calendar.cancel(name)

    # ---- time

    def time(self) -> None:
        """Runs what is due. Called at the time requested by `Driver.wake`; an early or second call does no harm."""
        self.timers.run(self.driver.now())

    # ---- `Host` for the rules, see curlewshift/host.py

    def now(self) -> int:
        return self.driver.now()

    def wake(self, at: int) -> None:
        self.timers.at(at, self.rules_tick)

    def rules_tick(self) -> None:
        self.peaks.tick(self.driver.now(), self.driver.wall(), self.rules.servers)
        self.rules.tick()

    def tune_in(self, viewing: Viewing, server: Server, until: int) -> None:
        front_session = self.front_sessions[viewing]
        tune_in = TuneIn(front_session, server, viewing.tune_ins, viewing.rung, until)
        front_session.tune_in = tune_in
        self.timers.at(until, lambda: self._time_out(tune_in))
        self.driver.tune_in(tune_in)

    def set_rung(self, viewing: Viewing, rung: int) -> None:
        if viewing.playing:
            front_session = self.front_sessions[viewing]
            front_session.commands.rung(front_session, rung)

    def block(self, viewing: Viewing, wait: int) -> None:
        self._refuse_or_fail(viewing, Answer(AnswerKind.REFUSED, "no server has room for it now", wait))

    def abort(self, viewing: Viewing) -> None:
        self._refuse_or_fail(viewing, Answer(AnswerKind.FAILED, "its set-up failed and may have run all the same"))

    def probe(self, server: Server) -> None:
        self.driver.probe(server)

    # ---- internals

    def _open(self, front_session: FrontSession, request: Request) -> None:
        request.front_session = front_session
        self.waiting += 1
        self.front_sessions[front_session.viewing] = front_session
        viewing = front_session.viewing
        self.timers.at(viewing.expires, lambda: self._patience_expired(front_session, viewing))
        self.rules.wanted(viewing)

    def _join(self, front_session: FrontSession, request: Request) -> None:
        request.front_session = front_session
        front_session.requests = [*front_session.waiting, request]
        self.waiting += 1
        if front_session.answer is not None:
            self._answer(request, front_session.answer)
        elif front_session.held is not None and self.doubts.get(front_session.held.key) is front_session:
            self.timers.at(request.expires, lambda: self._doubt_timed_out(front_session))

    def _time_out(self, tune_in: TuneIn) -> None:
        if tune_in.outcome is None:
            may_have_arrived = self.driver.withdraw(tune_in)
            self.failed(tune_in, Outcome.SILENT if may_have_arrived else Outcome.UNREACHED)

    def _patience_expired(self, front_session: FrontSession, viewing: Viewing) -> None:
        """The viewer's patience ends: whoever has no answer yet is answered now."""
        if front_session.viewing is not viewing or front_session.answer is not None or viewing not in self.front_sessions:
            return
        if front_session.tune_in is not None:
            self._time_out(front_session.tune_in)
        if front_session.waiting and front_session.viewing is viewing and front_session.answer is None:
            self.rules.left(viewing)
            self._answer_all(front_session, Answer(AnswerKind.FAILED, "nothing came of it in the viewer's time"))
            self._close(front_session)

    def _after_leaving(self, front_session: FrontSession) -> None:
        """A tune-in whose viewer had left has ended. Requests that joined it since then start over."""
        old, waiting = front_session.viewing, front_session.waiting
        if not waiting:
            self._close(front_session)
        elif old.package.paid_at_setup and old.may_have_run:
            self.abort(old)
        else:
            self.front_sessions.pop(old)
            self.viewing_count += 1
            expires = min(request.expires for request in waiting)
            front_session.viewing = Viewing(
                self.viewing_count,
                old.title,
                old.placement_hash,
                old.package,
                old.ceiling,
                self.driver.now(),
                expires,
                old.holders,
                came_back=True,
            )
            self.waiting -= 1
            self._open(front_session, waiting[0])

    def _refuse_or_fail(self, viewing: Viewing, answer: Answer) -> None:
        front_session = self.front_sessions[viewing]
        self._answer_all(front_session, answer)
        self._close(front_session)

    def _answer_all(self, front_session: FrontSession, answer: Answer) -> None:
        front_session.answer = answer
        for request in front_session.waiting:
            self._answer(request, answer)
        front_session.requests = []

    def _answer(self, request: Request, answer: Answer) -> None:
        assert request.answer is None, "a request is answered once"
        request.answer = answer
        if request.front_session is not None:
            self.waiting -= 1
        self.driver.answer(request, answer)

    def _finish(self, front_session: FrontSession, outcome: Outcome) -> None:
        self.rules.ended(front_session.viewing, outcome, True)
        self.peaks.ended(front_session.viewing, self.driver.now())
        front_session.answer = Answer(AnswerKind.FAILED, "this viewing has ended")
        self._close(front_session)

    def _close(self, front_session: FrontSession) -> None:
        self.front_sessions.pop(front_session.viewing, None)
        front_session.commands.finish()
        if front_session.held is None:
            return
        if front_session.answer is None and front_session.viewing.package.paid_at_setup and front_session.viewing.may_have_run:
            # its client closed the request; if the key were forgotten, a retry would be set up and paid for twice
            front_session.answer = Answer(AnswerKind.FAILED, "its set-up may have run for a request that was given up")
        if front_session.answer is None:
            self.keys.forget(front_session.held)
        else:
            # a client that missed its answer may retry within its patience, and one that may have paid must not pay
            # twice for retrying a little later
            extra = RETENTION if front_session.viewing.package.paid_at_setup and front_session.viewing.may_have_run else 0
            self.keys.ended(front_session.held, max(front_session.viewing.expires, self.driver.now() + SECOND) + extra)
