"""A front's session core: from requests at the door to calls of the rules, and back to one answer each.

Made by whoever hosts a front (curlewshift/front on sockets, tests with a fake), which tells it what happens by
one method for each thing and acts for it through `Driver`. It decides nothing about where a viewing goes; it
owns ids, the joining of retries under one key, deadlines, and that every request is answered exactly once.

What comes late is dropped here and nowhere else: a tune-in ends by its first outcome, be that its answer or its
time, and a session that was set up for nobody is torn down.
"""

from __future__ import annotations

from collections.abc import Iterable

from curlewshift.deployment import Fleet, mark_of
from curlewshift.model import Listed, Outcome, Package, Server, Terms, Viewing
from curlewshift.peaks.calendar import Calendar, Peak
from curlewshift.peaks.peaks import Peaks
from curlewshift.retries.keys import MOST_ENDED, KeyTable
from curlewshift.retries.session_ends import SessionEnd, SessionEnds
from curlewshift.rules import Rules
from curlewshift.session_core.driver import Driver
from curlewshift.session_core.front_session import Answer, FrontSession, Kind, Request, TuneIn
from curlewshift.session_core.server_commands import CommandQueue, Result, ServerCommand
from curlewshift.session_core.server_list import Gap, ServerEntry, ServerList
from curlewshift.session_core.timers import Timers
from curlewshift.state.intents import KEPT_ON

SECOND = 1_000_000_000

# So many requests may be in work; more are told to come back at once, at no cost to anyone.
MOST_WAITING = 2000
# A server that the list has dropped is forgotten once this has passed with nothing playing there.
FORGET_AFTER = 60 * SECOND


class InvalidRequest(Exception):
    """A request that cannot be taken as it stands; its text says why. It has cost no tune-in."""


class UnknownResource(InvalidRequest):
    """No such title or package."""


class KeyReused(InvalidRequest):
    """A key that was used before for something else."""


class SessionCore:
    def __init__(
        self,
        outside: Driver,
        terms: Terms,
        roster: ServerList | Fleet,
        rules: type[Rules] = Rules,
        most_waiting: int = MOST_WAITING,
        most_keys: int = MOST_ENDED,
        calendar: Calendar | None = None,
    ):
        self.outside, self.roster = outside, roster
        self.packages = {package.name: package for package in terms.packages}
        self.courses: dict[Viewing, FrontSession] = {}
        self.keys = KeyTable(terms.now, most_keys)
        # interrupted paid set-ups of which nothing is known yet, by key
        self.doubts: dict[str, FrontSession] = {}
        self.waiting, self.most_waiting = 0, most_waiting
        self.draining = False
        self.names = 0
        self.longest_wait = terms.longest_wait
        self.timers = Timers(outside.wake)
        self.endings = SessionEnds(outside.now, outside.end_session, self.timers.at)
        self.peaks = Peaks(calendar or Calendar(terms.packages), terms.fronts, terms.now)
        self.rules = rules(self, terms)

    # ---- requests at the door

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
        """A viewer wants to play a title; it is answered through `Driver.answer`, perhaps before this returns.

        `patience` (ns) is how long it will wait, if that is less than the package's, from when it `arrived`. Where the
        request itself says which servers hold its title, they come as `holders`, and its viewer's `mark` with them.
        Raises `InvalidRequest`.
        """
        now = self.outside.now() if arrived is None else arrived
        pack = self.packages.get(package)
        if pack is None:
            raise UnknownResource(f"there is no package {package!r}")
        if holders is None:
            holders = self._holders(title)
        lasts = min((time for time in (patience, pack.patience) if time > 0), default=0)
        request = Request(name, now, now + lasts)
        before = self.keys.find(key, now) if key is not None else None
        if before is not None:
            if before.mark != (offer, pack, title):
                raise KeyReused("this key was used before for another offer, title or package")
            self._join(before.course, request)
            return request
        if self.draining or self.waiting >= self.most_waiting:
            cause = "this front is going out of service" if self.draining else "too many requests are in work here"
            self._answer(request, Answer(Kind.REFUSED, cause, min(SECOND, self.longest_wait)))
            return request
        top = pack.top if ceiling is None else ceiling
        if top < pack.floor:
            raise InvalidRequest(f"package {package!r} is not played under rung {pack.floor}, the request allows {top} at most")
        self.names += 1
        vw = Viewing(
            self.names,
            title,
            mark_of(key or name) if mark is None else mark,
            pack,
            top,
            now,
            now + lasts,
            holders,
            expected=expected,
            came_back=came_back,
        )
        self.peaks.came(pack, now, holders)
        course = FrontSession(vw, offer, requests=[request], errands=CommandQueue(self.outside.tell))
        if key is not None:
            course.held = self.keys.hold(key, (offer, pack, title), course)
        self._open(course, request)
        return request

    def knows(self, key: str | None) -> bool:
        """Whether a request with this key would join one that is known: it costs no tune-in."""
        return key is not None and self.keys.find(key, self.outside.now()) is not None

    def hung_up(self, request: Request) -> None:
        """The viewer gave up on this request before it was answered: nothing is owed to it any more."""
        if request.answer is not None or request.gone:
            return
        request.gone = True
        self.waiting -= 1
        course = request.course
        if course.held is not None and self.doubts.get(course.held.key) is course:
            # it is known by its key until the doubt is over: forgotten, it would be set up again
            return
        if not course.waiting and course.answer is None:
            self.rules.left(course.vw)
            if course.tune_in is None:
                self._close(course)

    def gave_up(self, request: Request) -> None:
        """Its viewer has said that it wants it no more: nobody will come again for what is out for it."""
        self.hung_up(request)
        course = request.course
        if course is not None and course.tune_in is not None and not course.waiting:
            tune_in = course.tune_in
            self.outside.withdraw(tune_in)
            self.failed(tune_in, Outcome.CANCELLED)

    def closed(self, course: FrontSession) -> None:
        """The viewer ends a viewing that plays."""
        if self.courses.get(course.vw) is course and course.vw.playing:
            server, session = course.vw.server, course.session
            self._finish(course, Outcome.PLAYED)
            self.endings.end(server, session)

    def ceiling_told(self, course: FrontSession, rung: int) -> None:
        """The viewer allows no rung above this from now on. Raises `InvalidRequest` under the package's floor."""
        vw = course.vw
        if rung < vw.package.floor:
            raise InvalidRequest(f"package {vw.package.name!r} is not played under rung {vw.package.floor}")
        vw.ceiling = min(rung, vw.package.top)
        if vw.playing and vw.rung > vw.ceiling:
            self.rules.rung_told(vw, vw.ceiling)
            course.errands.rung(course, vw.ceiling)

    def patched(self, course: FrontSession, patch: object, told) -> None:
        """The client changes its session; `told(errand)` is called once, with what came of it at its server."""
        course.errands.patch(course, patch, told)

    def end_waiting(self) -> None:
        """This front ends now: whoever still waits is answered, and what is out for them is withdrawn."""
        for course in list(self.courses.values()):
            if not course.waiting or course.answer is not None:
                continue
            vw, tune_in = course.vw, course.tune_in
            self.rules.left(vw)
            if tune_in is not None:
                tune_in.outcome = Outcome.SILENT if self.outside.withdraw(tune_in) else Outcome.UNSENT
                course.tune_in = None
                self.rules.ended(vw, tune_in.outcome, True)
            if vw.package.paid_at_setup and vw.may_have_run:
                self.abort(vw)
            else:
                self.block(vw, min(SECOND, self.longest_wait))

    def drain(self) -> None:
        """Take nothing new; what is in work is still answered."""
        self.draining = True

    # ---- what comes of tune-ins and sessions

    def stands(self, tune_in: TuneIn) -> bool:
        """Asked just before the first byte goes out: a list change or the time may have overtaken the pick."""
        return tune_in.outcome is None and tune_in.server.open and self.outside.now() < tune_in.until

    def sent(self, tune_in: TuneIn) -> None:
        """Its first byte goes out now."""
        self.rules.attempt_sent(tune_in.course.vw)

    def played(self, tune_in: TuneIn, session: object, report: dict[str, float] | None = None) -> None:
        """The server has set the session up."""
        if tune_in.outcome is not None:
            # its time came first, or this is said twice: a session of which nobody will hear
            if tune_in.course.session is not session:
                self.endings.end(tune_in.server, session)
            return
        self._report(tune_in.server, report)
        tune_in.outcome = Outcome.PLAYED
        course, vw = tune_in.course, tune_in.course.vw
        course.tune_in, course.session = None, session
        self.rules.begun(vw)
        if not course.waiting:
            self.rules.ended(vw, Outcome.PLAYED, True)
            self._close(course)
            self.endings.end(tune_in.server, session)
            return
        vw.over = False
        self.peaks.started(vw, self.outside.now())
        self._answer_all(course, Answer(Kind.PLAYS, "plays", course=course))

    def failed(self, tune_in: TuneIn, outcome: Outcome, report: dict[str, float] | None = None) -> None:
        """The tune-in has ended without a session; the outcome says whether it may have run all the same."""
        if tune_in.outcome is not None:
            return
        self._report(tune_in.server, report)
        tune_in.outcome = outcome
        course, vw = tune_in.course, tune_in.course.vw
        course.tune_in = None
        left = vw.over
        self.rules.ended(vw, outcome, left)
        if left:
            self._after_leaving(course)

    def lost(self, course: FrontSession, outcome: Outcome = Outcome.BROKEN) -> None:
        """A viewing that played has ended at its server, by itself (`PLAYED`) or broken."""
        if self.courses.get(course.vw) is course and course.vw.playing:
            self._finish(course, outcome)

    def server_lost(self, server: Server) -> None:
        """The server has restarted or is gone: nothing of what played there plays any more."""
        for vw in list(server.link.playing):
            self.lost(self.courses[vw])
        self.endings.server_gone(server)

    def notes_broke(self, server: Server) -> None:
        """The stream of notes ended by itself: the server may be gone, and may come back cold unannounced."""
        self.rules.probed(server, Outcome.BROKEN)

    def restarted(self, server: Server) -> None:
        """It answers, and is not the process that it was: nothing plays there, and it is cold from now on at worst."""
        self.server_lost(server)
        self.came_back(server)

    def came_back(self, server: Server) -> None:
        """It is not the process that it was when this front last heard of it: it may be as cold as one that starts now."""
        self.rules.listed([Listed(server, server.open, max(self.outside.now(), server.started))], False)

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
        """A viewing that this front is told it has at a server, on a rung yet to be told. It counts whatever there is
        room for, as it plays. Raises `UnknownResource`."""
        pack = self.packages.get(package)
        if pack is None:
            raise UnknownResource(f"there is no package {package!r}")
        self.names += 1
        course = self._standing(pack, title, mark, ceiling, holders, session, expected)
        self.courses[course.vw] = course
        self.rules.handed_over(course.vw, server)
        return course

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
        """A viewing that plays already, from before this front started; `key` is its client's. Raises `InvalidRequest`."""
        pack, held = self.packages.get(package), self.roster.titles.get(title)
        if pack is None or held is None:
            raise UnknownResource(f"there is no package {package!r} or no title {title!r}")
        if not pack.floor <= rung <= pack.top:
            raise InvalidRequest(f"package {package!r} is not played on rung {rung}")
        if not self._seat_left(title, pack):
            raise InvalidRequest(f"all seats of {title!r} are taken in package {package!r}")
        if key in self.doubts:
            course = self.found(key, server, session, rung)
            course.vw.ceiling = ceiling
            return course
        self.names += 1
        course = self._standing(pack, title, mark_of(f"handed over {self.names}"), ceiling, held.holders, session)
        if key is not None and self.keys.find(key, self.outside.now()) is None:
            # its client may ask again for an answer that it never got
            course.offer, course.held = offer, self.keys.hold(key, (offer, pack, title), course)
        self._plays_already(course, server, rung)
        return course

    def _standing(
        self, pack: Package, title: str, mark: int, ceiling: int, holders: Iterable, session: object, expected: int = 0
    ) -> FrontSession:
        now = self.outside.now()
        vw = Viewing(self.names, title, mark, pack, ceiling, now, now + pack.patience, holders, expected=expected)
        course = FrontSession(vw, None, session=session, errands=CommandQueue(self.outside.tell))
        course.answer = Answer(Kind.PLAYS, "handed over", course=course)
        return course

    def rung_found(self, course: FrontSession, rung: int) -> None:
        """Its server says that a viewing plays on this rung, whatever it was told to."""
        vw = course.vw
        if vw.playing and vw.package.floor <= rung <= vw.package.top:
            self.rules.rung_told(vw, rung)

    def orphaned(self, server: Server, session: object) -> None:
        """What an earlier life of this front left at the server plays for nobody that is known of."""
        self.endings.end(server, session)

    def _seat_left(self, title: str, pack: Package) -> bool:
        return self.rules.seat_left(title, pack)

    def _plays_already(self, course: FrontSession, server: Server, rung: int) -> None:
        self.courses[course.vw] = course
        self.rules.handed_over(course.vw, server)
        self.rules.rung_told(course.vw, rung)

    def told_server(self, errand: ServerCommand, result: Result, reply: object = None) -> None:
        errand.course.errands.answered(errand, result, reply)

    def session_ended(self, ending: SessionEnd, answered: bool) -> None:
        if answered:
            self.endings.answered(ending)
        else:
            self.endings.unanswered(ending)

    # ---- notes, reports, probes

    def delivered(self, server: Server, share: float) -> None:
        self.rules.delivered(server, min(1.0, max(0.0, share)))

    def told(self, server: Server, report: dict[str, float]) -> None:
        """How full the server's link (`link`) and its rack's uplink (`uplink`) are: asked over what they give."""
        self._report(server, report)

    def probed(self, server: Server, outcome: Outcome, report: dict[str, float] | None = None) -> None:
        self._report(server, report)
        self.rules.probed(server, outcome)

    def _report(self, server: Server, report: dict[str, float] | None) -> None:
        link, uplink = (report or {}).get("link"), (report or {}).get("uplink")
        if link is not None and 0 <= link < 1e6:
            self.rules.link_told(server, link)
        if uplink is not None and 0 <= uplink < 1e6:
            self.rules.uplink_told(server, uplink)

    # ---- what other fronts share, as facts for the rules

    def share_rights(self) -> None:
        """The pace of cold servers is shared from now on: what no rights are told of gets nothing until they are. Between the
        first word of a new server and its first rights a front went by turns, beside those who went by rights."""
        self.rules.rights_dealt = True

    def rights_held(self, server: Server, rights: list) -> None:
        """Set-ups of the server's cold pace in this front's hands: from when, until when (ns of this clock), how many."""
        server.rights = [tuple(one) for one in rights]

    def doubted(self, server: Server, doubted: bool) -> None:
        server.doubted = doubted

    def again_stopped(self, stopped: bool) -> None:
        """Whether tune-ins beyond the first have used up what successes pay for."""
        self.rules.again_stopped = stopped

    def further_held(self, rights: list) -> None:
        """Free further tune-ins in this front's hands, as `rights_held`."""
        self.rules.further_rights = [tuple(one) for one in rights]

    def seats_held(self, package: str, title: str, rights: list) -> None:
        """Seats of this title in this front's hands, as `rights_held`. Of titles that nothing was said of it has none."""
        self.rules.seat_rights.setdefault(self.packages[package], {})[title] = [tuple(one) for one in rights]

    def seats_over(self, package: str, title: str, count: int) -> None:
        """So many seats are in this front's hands no more: the newest viewings on them end."""
        pack = self.packages[package]
        playing = [
            course
            for course in self.courses.values()
            if course.vw.package is pack and course.vw.title == title and course.vw.playing
        ]
        for course in playing[-count:]:
            self.closed(course)

    def counted(self, server: Server, use: float, age: int) -> None:
        self.rules.counted(server.link, use, age)

    def uplink_counted(self, server: Server, use: float, age: int) -> None:
        """Of the uplink of this server's rack, as `counted`."""
        self.rules.counted(server.rack.link, use, age)

    def link_reported(self, server: Server, use: float) -> None:
        """How full another front was told that the server's link is, within a round or two."""
        if 0 <= use < 1e6:
            self.rules.link_reported(server, use)

    def planned(self, package: str, part: float, until: int) -> None:
        """This front's part of what is held for the package's peaks, until then (ns of this clock)."""
        self.peaks.planned(self.packages[package], part, until)

    def seen_warm(self, server: Server) -> None:
        self.rules.seen_warm(server)

    # ---- the server list

    def list_full(self, epoch: str, generation: int, rows: list[ServerEntry], stale: bool = False) -> None:
        """All servers there are; `stale` for what this front kept from before it started."""
        self._listed(self.roster.full(epoch, generation, rows), stale)

    def list_change(self, epoch: str, since: int, generation: int, rows: list[ServerEntry]) -> None:
        try:
            lines = self.roster.change(epoch, since, generation, rows)
        except Gap:
            self.outside.whole_list()
            return
        self._listed(lines, False)

    def lines_told(self, lines: list[Listed], stale: bool) -> None:
        """News of a list whose servers the outside keeps. What plays on one that has gone ends when it is seen to."""
        self.rules.listed(lines, stale)
        for line in lines:
            if not self.roster.lists(line.server):
                self._forget_later(line.server)

    def _forget_later(self, server: Server) -> None:
        self.timers.at(self.outside.now() + FORGET_AFTER, lambda: self._forget(server))

    def _listed(self, lines: list[Listed] | None, stale: bool) -> None:
        if not lines:
            return
        self.rules.listed(lines, stale)
        dropped = [line.server for line in lines if not self.roster.lists(line.server)]
        for server in dropped:
            # A list that has dropped it will not tell of it again: its seats and claims must not stay for ever.
            for vw in list(server.link.playing):
                course = self.courses[vw]
                session = course.session
                self.lost(course)
                self.endings.end(server, session)
            self._forget_later(server)

    def _forget(self, server: Server) -> None:
        if self.roster.lists(server) or self.roster.servers.get(server.name) is not server:
            return
        if server.out or server.link.playing:
            self._forget_later(server)
            return
        self.roster.forget(server)
        self.rules.forgotten(server)

    def _holders(self, title: str) -> Iterable:
        held = self.roster.titles.get(title)
        if held is None:
            raise UnknownResource(f"there is no title {title!r}")
        return held.holders

    # ---- paid set-ups of an earlier life

    def interrupted(self, key: str, offer: object, package: str, title: str, until: int, doubt: bool = False) -> None:
        """A paid request of an earlier life of this front that may have run: who comes again with its key until then is
        told that it failed, or waits, while there is `doubt`, for `found` or `not_found` to say what is true. No tune-in
        goes out for it. What the settings have no more cannot be asked for either."""
        pack = self.packages.get(package)
        if pack is None or title not in self.roster.titles or self.keys.find(key, self.outside.now()) is not None:
            return
        self.names += 1
        vw = Viewing(self.names, title, mark_of(key), pack, pack.top, self.outside.now(), until, (), over=True, may_have_run=True)
        course = FrontSession(vw, offer, errands=CommandQueue(self.outside.tell))
        course.held = self.keys.hold(key, (offer, pack, title), course)
        self.doubts[key] = course
        if not doubt:
            self.not_found(key)

    def found(self, key: str, server: Server, session: object, rung: int) -> FrontSession | None:
        """An interrupted paid set-up plays at this server. None if its client was told already that it failed, its seat
        is another's by now, or the settings have no such rung any more: then the session has to end."""
        course = self.doubts.get(key)
        if course is None:
            return None
        vw = course.vw
        if not vw.package.floor <= rung <= vw.package.top or not self._seat_left(vw.title, vw.package):
            self.not_found(key)
            return None
        del self.doubts[key]
        # how high its viewer allows it to go died with the front: no higher than where it plays
        vw.over, vw.ceiling, course.session = False, rung, session
        vw.holders = self.roster.titles[vw.title].holders
        self._plays_already(course, server, rung)
        self._answer_all(course, Answer(Kind.PLAYS, "it plays since before the front was restarted", course=course))
        return course

    def not_found(self, key: str) -> None:
        """It plays nowhere that is known of, and may have run all the same."""
        course = self.doubts.pop(key, None)
        if course is not None:
            self._answer_all(course, Answer(Kind.FAILED, "the front was restarted while it was set up; it may have run"))
            self.keys.ended(course.held, course.vw.expires)

    def _doubt_lasts(self, course: FrontSession) -> None:
        """A client that came again has waited as long as it will, and nothing is known yet: what it is told now stays
        true, whatever is found later."""
        if course.waiting and course.answer is None and self.doubts.get(course.held.key) is course:
            self.not_found(course.held.key)

    # ---- announced peaks

    def announce(self, peak: Peak) -> None:
        """Raises `InvalidPeak`."""
        self.peaks.calendar.announce(peak, self.outside.wall())

    def cancel(self, name: str) -> None:
        """Raises `InvalidPeak`."""
        self.peaks.calendar.cancel(name)

    # ---- time

    def time(self) -> None:
        """Call when the time asked for by `Driver.wake` has come; calling it early or twice does no harm."""
        self.timers.run(self.outside.now())

    # ---- the rules' host, see curlewshift/host.py

    def now(self) -> int:
        return self.outside.now()

    def wake(self, at: int) -> None:
        self.timers.at(at, self.rules_tick)

    def rules_tick(self) -> None:
        self.peaks.tick(self.outside.now(), self.outside.wall(), self.rules.servers)
        self.rules.tick()

    def tune_in(self, viewing: Viewing, server: Server, until: int) -> None:
        course = self.courses[viewing]
        tune_in = TuneIn(course, server, viewing.tune_ins, viewing.rung, until)
        course.tune_in = tune_in
        self.timers.at(until, lambda: self._time_out(tune_in))
        self.outside.tune_in(tune_in)

    def set_rung(self, viewing: Viewing, rung: int) -> None:
        if viewing.playing:
            course = self.courses[viewing]
            course.errands.rung(course, rung)

    def block(self, viewing: Viewing, wait: int) -> None:
        self._refuse_or_fail(viewing, Answer(Kind.REFUSED, "no server has room for it now", wait))

    def abort(self, viewing: Viewing) -> None:
        self._refuse_or_fail(viewing, Answer(Kind.FAILED, "its set-up failed and may have run all the same"))

    def probe(self, server: Server) -> None:
        self.outside.probe(server)

    # ---- inside

    def _open(self, course: FrontSession, request: Request) -> None:
        request.course = course
        self.waiting += 1
        self.courses[course.vw] = course
        vw = course.vw
        self.timers.at(vw.expires, lambda: self._overdue(course, vw))
        self.rules.wanted(vw)

    def _join(self, course: FrontSession, request: Request) -> None:
        request.course = course
        course.requests = [*course.waiting, request]
        self.waiting += 1
        if course.answer is not None:
            self._answer(request, course.answer)
        elif course.held is not None and self.doubts.get(course.held.key) is course:
            self.timers.at(request.expires, lambda: self._doubt_lasts(course))

    def _time_out(self, tune_in: TuneIn) -> None:
        if tune_in.outcome is None:
            heard = self.outside.withdraw(tune_in)
            self.failed(tune_in, Outcome.SILENT if heard else Outcome.UNREACHED)

    def _overdue(self, course: FrontSession, vw: Viewing) -> None:
        """Nothing else may have answered, and patience ends now: no request is left without."""
        if course.vw is not vw or course.answer is not None or vw not in self.courses:
            return
        if course.tune_in is not None:
            self._time_out(course.tune_in)
        if course.waiting and course.vw is vw and course.answer is None:
            self.rules.left(vw)
            self._answer_all(course, Answer(Kind.FAILED, "nothing came of it in the viewer's time"))
            self._close(course)

    def _after_leaving(self, course: FrontSession) -> None:
        """Its viewer had left while a tune-in was out. Whoever came again meanwhile starts where that ended."""
        old, waiting = course.vw, course.waiting
        if not waiting:
            self._close(course)
        elif old.package.paid_at_setup and old.may_have_run:
            self.abort(old)
        else:
            self.courses.pop(old)
            self.names += 1
            expires = min(request.expires for request in waiting)
            course.vw = Viewing(
                self.names,
                old.title,
                old.mark,
                old.package,
                old.ceiling,
                self.outside.now(),
                expires,
                old.holders,
                came_back=True,
            )
            self.waiting -= 1
            self._open(course, waiting[0])

    def _refuse_or_fail(self, vw: Viewing, answer: Answer) -> None:
        course = self.courses[vw]
        self._answer_all(course, answer)
        self._close(course)

    def _answer_all(self, course: FrontSession, answer: Answer) -> None:
        course.answer = answer
        for request in course.waiting:
            self._answer(request, answer)
        course.requests = []

    def _answer(self, request: Request, answer: Answer) -> None:
        assert request.answer is None, "a request is answered once"
        request.answer = answer
        if request.course is not None:
            self.waiting -= 1
        self.outside.answer(request, answer)

    def _finish(self, course: FrontSession, outcome: Outcome) -> None:
        self.rules.ended(course.vw, outcome, True)
        self.peaks.ended(course.vw, self.outside.now())
        course.answer = Answer(Kind.FAILED, "this viewing has ended")
        self._close(course)

    def _close(self, course: FrontSession) -> None:
        self.courses.pop(course.vw, None)
        course.errands.finish()
        if course.held is None:
            return
        if course.answer is None and course.vw.package.paid_at_setup and course.vw.may_have_run:
            # its client hung up; with its key forgotten, one that came again was set up and paid for twice
            course.answer = Answer(Kind.FAILED, "its set-up may have run for a request that was given up")
        if course.answer is None:
            self.keys.forget(course.held)
        else:
            # a client that never got its answer asks for it again within its patience, and one that may have paid
            # must not pay twice for coming a little late
            late = KEPT_ON if course.vw.package.paid_at_setup and course.vw.may_have_run else 0
            self.keys.ended(course.held, max(course.vw.expires, self.outside.now() + SECOND) + late)
