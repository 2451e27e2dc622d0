"""A front's session core: from requests at the door to calls of the rules, and back to one answer each.

Made by whoever hosts a front (curlewshift/front on sockets, tests with a fake), which tells it what happens by
one method for each thing and acts for it through `Driver`. It decides nothing about where a viewing goes; it
owns ids, the joining of retries under one key, deadlines, and that every request is answered exactly once.

What comes late is dropped here and nowhere else: a tune-in ends by its first outcome, be that its answer or its
time, and a session that was set up for nobody is torn down.
"""

from __future__ import annotations

from collections.abc import Iterable

from curlewshift.deployment import Fleet, placement_hash_of
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
        driver: Driver,
        terms: Terms,
        server_list: ServerList | Fleet,
        rules: type[Rules] = Rules,
        most_waiting: int = MOST_WAITING,
        most_keys: int = MOST_ENDED,
        calendar: Calendar | None = None,
    ):
        self.driver, self.server_list = driver, server_list
        self.packages = {package.name: package for package in terms.packages}
        self.front_sessions: dict[Viewing, FrontSession] = {}
        self.keys = KeyTable(terms.now, most_keys)
        # interrupted paid set-ups of which nothing is known yet, by key
        self.doubts: dict[str, FrontSession] = {}
        self.waiting, self.most_waiting = 0, most_waiting
        self.draining = False
        self.names = 0
        self.longest_wait = terms.longest_wait
        self.timers = Timers(driver.wake)
        self.session_ends = SessionEnds(driver.now, driver.end_session, self.timers.at)
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
        now = self.driver.now() if arrived is None else arrived
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
            self._join(before.front_session, request)
            return request
        if self.draining or self.waiting >= self.most_waiting:
            cause = "this front is going out of service" if self.draining else "too many requests are in work here"
            self._answer(request, Answer(Kind.REFUSED, cause, min(SECOND, self.longest_wait)))
            return request
        top = pack.top if ceiling is None else ceiling
        if top < pack.floor:
            raise InvalidRequest(f"package {package!r} is not played under rung {pack.floor}, the request allows {top} at most")
        self.names += 1
        viewing = Viewing(
            self.names,
            title,
            placement_hash_of(key or name) if mark is None else mark,
            pack,
            top,
            now,
            now + lasts,
            holders,
            expected=expected,
            came_back=came_back,
        )
        self.peaks.request_arrived(pack, now, holders)
        front_session = FrontSession(viewing, offer, requests=[request], commands=CommandQueue(self.driver.tell))
        if key is not None:
            front_session.held = self.keys.hold(key, (offer, pack, title), front_session)
        self._open(front_session, request)
        return request

    def knows(self, key: str | None) -> bool:
        """Whether a request with this key would join one that is known: it costs no tune-in."""
        return key is not None and self.keys.find(key, self.driver.now()) is not None

    def hung_up(self, request: Request) -> None:
        """The viewer gave up on this request before it was answered: nothing is owed to it any more."""
        if request.answer is not None or request.gone:
            return
        request.gone = True
        self.waiting -= 1
        front_session = request.front_session
        if front_session.held is not None and self.doubts.get(front_session.held.key) is front_session:
            # it is known by its key until the doubt is over: forgotten, it would be set up again
            return
        if not front_session.waiting and front_session.answer is None:
            self.rules.left(front_session.viewing)
            if front_session.tune_in is None:
                self._close(front_session)

    def gave_up(self, request: Request) -> None:
        """Its viewer has said that it wants it no more: nobody will come again for what is out for it."""
        self.hung_up(request)
        front_session = request.front_session
        if front_session is not None and front_session.tune_in is not None and not front_session.waiting:
            tune_in = front_session.tune_in
            self.driver.withdraw(tune_in)
            self.failed(tune_in, Outcome.CANCELLED)

    def closed(self, front_session: FrontSession) -> None:
        """The viewer ends a viewing that plays."""
        if self.front_sessions.get(front_session.viewing) is front_session and front_session.viewing.playing:
            server, session = front_session.viewing.server, front_session.session
            self._finish(front_session, Outcome.PLAYED)
            self.session_ends.end(server, session)

    def ceiling_told(self, front_session: FrontSession, rung: int) -> None:
        """The viewer allows no rung above this from now on. Raises `InvalidRequest` under the package's floor."""
        viewing = front_session.viewing
        if rung < viewing.package.floor:
            raise InvalidRequest(f"package {viewing.package.name!r} is not played under rung {viewing.package.floor}")
        viewing.ceiling = min(rung, viewing.package.top)
        if viewing.playing and viewing.rung > viewing.ceiling:
            self.rules.rung_told(viewing, viewing.ceiling)
            front_session.commands.rung(front_session, viewing.ceiling)

    def patched(self, front_session: FrontSession, patch: object, told) -> None:
        """The client changes its session; `told(command)` is called once, with what came of it at its server."""
        front_session.commands.patch(front_session, patch, told)

    def end_waiting(self) -> None:
        """This front ends now: whoever still waits is answered, and what is out for them is withdrawn."""
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
        """Take nothing new; what is in work is still answered."""
        self.draining = True

    # ---- what comes of tune-ins and sessions

    def stands(self, tune_in: TuneIn) -> bool:
        """Asked just before the first byte goes out: a list change or the time may have overtaken the pick."""
        return tune_in.outcome is None and tune_in.server.open and self.driver.now() < tune_in.until

    def sent(self, tune_in: TuneIn) -> None:
        """Its first byte goes out now."""
        self.rules.attempt_sent(tune_in.front_session.viewing)

    def played(self, tune_in: TuneIn, session: object, report: dict[str, float] | None = None) -> None:
        """The server has set the session up."""
        if tune_in.outcome is not None:
            # its time came first, or this is said twice: a session of which nobody will hear
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
        viewing.over = False
        self.peaks.started(viewing, self.driver.now())
        self._answer_all(front_session, Answer(Kind.PLAYS, "plays", front_session=front_session))

    def failed(self, tune_in: TuneIn, outcome: Outcome, report: dict[str, float] | None = None) -> None:
        """The tune-in has ended without a session; the outcome says whether it may have run all the same."""
        if tune_in.outcome is not None:
            return
        self._report(tune_in.server, report)
        tune_in.outcome = outcome
        front_session, viewing = tune_in.front_session, tune_in.front_session.viewing
        front_session.tune_in = None
        left = viewing.over
        self.rules.ended(viewing, outcome, left)
        if left:
            self._after_leaving(front_session)

    def lost(self, front_session: FrontSession, outcome: Outcome = Outcome.BROKEN) -> None:
        """A viewing that played has ended at its server, by itself (`PLAYED`) or broken."""
        if self.front_sessions.get(front_session.viewing) is front_session and front_session.viewing.playing:
            self._finish(front_session, outcome)

    def server_lost(self, server: Server) -> None:
        """The server has restarted or is gone: nothing of what played there plays any more."""
        for viewing in list(server.link.playing):
            self.lost(self.front_sessions[viewing])
        self.session_ends.server_gone(server)

    def notes_broke(self, server: Server) -> None:
        """The stream of notes ended by itself: the server may be gone, and may come back cold unannounced."""
        self.rules.probed(server, Outcome.BROKEN)

    def restarted(self, server: Server) -> None:
        """It answers, and is not the process that it was: nothing plays there, and it is cold from now on at worst."""
        self.server_lost(server)
        self.came_back(server)

    def came_back(self, server: Server) -> None:
        """It is not the process that it was when this front last heard of it: it may be as cold as one that starts now."""
        self.rules.listed([Listed(server, server.open, max(self.driver.now(), server.started))], False)

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
        front_session = self._standing(pack, title, mark, ceiling, holders, session, expected)
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
        """A viewing that plays already, from before this front started; `key` is its client's. Raises `InvalidRequest`."""
        pack, held = self.packages.get(package), self.server_list.titles.get(title)
        if pack is None or held is None:
            raise UnknownResource(f"there is no package {package!r} or no title {title!r}")
        if not pack.floor <= rung <= pack.top:
            raise InvalidRequest(f"package {package!r} is not played on rung {rung}")
        if not self._seat_left(title, pack):
            raise InvalidRequest(f"all seats of {title!r} are taken in package {package!r}")
        if key in self.doubts:
            front_session = self.found(key, server, session, rung)
            front_session.viewing.ceiling = ceiling
            return front_session
        self.names += 1
        front_session = self._standing(
            pack, title, placement_hash_of(f"handed over {self.names}"), ceiling, held.holders, session
        )
        if key is not None and self.keys.find(key, self.driver.now()) is None:
            # its client may ask again for an answer that it never got
            front_session.offer, front_session.held = offer, self.keys.hold(key, (offer, pack, title), front_session)
        self._plays_already(front_session, server, rung)
        return front_session

    def _standing(
        self, pack: Package, title: str, mark: int, ceiling: int, holders: Iterable, session: object, expected: int = 0
    ) -> FrontSession:
        now = self.driver.now()
        viewing = Viewing(self.names, title, mark, pack, ceiling, now, now + pack.patience, holders, expected=expected)
        front_session = FrontSession(viewing, None, session=session, commands=CommandQueue(self.driver.tell))
        front_session.answer = Answer(Kind.PLAYS, "handed over", front_session=front_session)
        return front_session

    def rung_found(self, front_session: FrontSession, rung: int) -> None:
        """Its server says that a viewing plays on this rung, whatever it was told to."""
        viewing = front_session.viewing
        if viewing.playing and viewing.package.floor <= rung <= viewing.package.top:
            self.rules.rung_told(viewing, rung)

    def orphaned(self, server: Server, session: object) -> None:
        """What an earlier life of this front left at the server plays for nobody that is known of."""
        self.session_ends.end(server, session)

    def _seat_left(self, title: str, pack: Package) -> bool:
        return self.rules.seat_left(title, pack)

    def _plays_already(self, front_session: FrontSession, server: Server, rung: int) -> None:
        self.front_sessions[front_session.viewing] = front_session
        self.rules.handed_over(front_session.viewing, server)
        self.rules.rung_told(front_session.viewing, rung)

    def told_server(self, command: ServerCommand, result: Result, reply: object = None) -> None:
        command.front_session.commands.answered(command, result, reply)

    def session_ended(self, session_end: SessionEnd, answered: bool) -> None:
        if answered:
            self.session_ends.answered(session_end)
        else:
            self.session_ends.unanswered(session_end)

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
            front_session
            for front_session in self.front_sessions.values()
            if front_session.viewing.package is pack and front_session.viewing.title == title and front_session.viewing.playing
        ]
        for front_session in playing[-count:]:
            self.closed(front_session)

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
        self._listed(self.server_list.full(epoch, generation, rows), stale)

    def list_change(self, epoch: str, since: int, generation: int, rows: list[ServerEntry]) -> None:
        try:
            lines = self.server_list.change(epoch, since, generation, rows)
        except Gap:
            self.driver.whole_list()
            return
        self._listed(lines, False)

    def lines_told(self, lines: list[Listed], stale: bool) -> None:
        """News of a list whose servers the outside keeps. What plays on one that has gone ends when it is seen to."""
        self.rules.listed(lines, stale)
        for line in lines:
            if not self.server_list.lists(line.server):
                self._forget_later(line.server)

    def _forget_later(self, server: Server) -> None:
        self.timers.at(self.driver.now() + FORGET_AFTER, lambda: self._forget(server))

    def _listed(self, lines: list[Listed] | None, stale: bool) -> None:
        if not lines:
            return
        self.rules.listed(lines, stale)
        dropped = [line.server for line in lines if not self.server_list.lists(line.server)]
        for server in dropped:
            # A list that has dropped it will not tell of it again: its seats and claims must not stay for ever.
            for viewing in list(server.link.playing):
                front_session = self.front_sessions[viewing]
                session = front_session.session
                self.lost(front_session)
                self.session_ends.end(server, session)
            self._forget_later(server)

    def _forget(self, server: Server) -> None:
        if self.server_list.lists(server) or self.server_list.servers.get(server.name) is not server:
            return
        if server.out or server.link.playing:
            self._forget_later(server)
            return
        self.server_list.forget(server)
        self.rules.forgotten(server)

    def _holders(self, title: str) -> Iterable:
        held = self.server_list.titles.get(title)
        if held is None:
            raise UnknownResource(f"there is no title {title!r}")
        return held.holders

    # ---- paid set-ups of an earlier life

    def interrupted(self, key: str, offer: object, package: str, title: str, until: int, doubt: bool = False) -> None:
        """A paid request of an earlier life of this front that may have run: who comes again with its key until then is
        told that it failed, or waits, while there is `doubt`, for `found` or `not_found` to say what is true. No tune-in
        goes out for it. What the settings have no more cannot be asked for either."""
        pack = self.packages.get(package)
        if pack is None or title not in self.server_list.titles or self.keys.find(key, self.driver.now()) is not None:
            return
        self.names += 1
        viewing = Viewing(
            self.names, title, placement_hash_of(key), pack, pack.top, self.driver.now(), until, (), over=True, may_have_run=True
        )
        front_session = FrontSession(viewing, offer, commands=CommandQueue(self.driver.tell))
        front_session.held = self.keys.hold(key, (offer, pack, title), front_session)
        self.doubts[key] = front_session
        if not doubt:
            self.not_found(key)

    def found(self, key: str, server: Server, session: object, rung: int) -> FrontSession | None:
        """An interrupted paid set-up plays at this server. None if its client was told already that it failed, its seat
        is another's by now, or the settings have no such rung any more: then the session has to end."""
        front_session = self.doubts.get(key)
        if front_session is None:
            return None
        viewing = front_session.viewing
        if not viewing.package.floor <= rung <= viewing.package.top or not self._seat_left(viewing.title, viewing.package):
            self.not_found(key)
            return None
        del self.doubts[key]
        # how high its viewer allows it to go died with the front: no higher than where it plays
        viewing.over, viewing.ceiling, front_session.session = False, rung, session
        viewing.holders = self.server_list.titles[viewing.title].holders
        self._plays_already(front_session, server, rung)
        self._answer_all(
            front_session, Answer(Kind.PLAYS, "it plays since before the front was restarted", front_session=front_session)
        )
        return front_session

    def not_found(self, key: str) -> None:
        """It plays nowhere that is known of, and may have run all the same."""
        front_session = self.doubts.pop(key, None)
        if front_session is not None:
            self._answer_all(front_session, Answer(Kind.FAILED, "the front was restarted while it was set up; it may have run"))
            self.keys.ended(front_session.held, front_session.viewing.expires)

    def _doubt_lasts(self, front_session: FrontSession) -> None:
        """A client that came again has waited as long as it will, and nothing is known yet: what it is told now stays
        true, whatever is found later."""
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
        """Call when the time asked for by `Driver.wake` has come; calling it early or twice does no harm."""
        self.timers.run(self.driver.now())

    # ---- the rules' host, see curlewshift/host.py

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
        self._refuse_or_fail(viewing, Answer(Kind.REFUSED, "no server has room for it now", wait))

    def abort(self, viewing: Viewing) -> None:
        self._refuse_or_fail(viewing, Answer(Kind.FAILED, "its set-up failed and may have run all the same"))

    def probe(self, server: Server) -> None:
        self.driver.probe(server)

    # ---- inside

    def _open(self, front_session: FrontSession, request: Request) -> None:
        request.front_session = front_session
        self.waiting += 1
        self.front_sessions[front_session.viewing] = front_session
        viewing = front_session.viewing
        self.timers.at(viewing.expires, lambda: self._overdue(front_session, viewing))
        self.rules.wanted(viewing)

    def _join(self, front_session: FrontSession, request: Request) -> None:
        request.front_session = front_session
        front_session.requests = [*front_session.waiting, request]
        self.waiting += 1
        if front_session.answer is not None:
            self._answer(request, front_session.answer)
        elif front_session.held is not None and self.doubts.get(front_session.held.key) is front_session:
            self.timers.at(request.expires, lambda: self._doubt_lasts(front_session))

    def _time_out(self, tune_in: TuneIn) -> None:
        if tune_in.outcome is None:
            heard = self.driver.withdraw(tune_in)
            self.failed(tune_in, Outcome.SILENT if heard else Outcome.UNREACHED)

    def _overdue(self, front_session: FrontSession, viewing: Viewing) -> None:
        """Nothing else may have answered, and patience ends now: no request is left without."""
        if front_session.viewing is not viewing or front_session.answer is not None or viewing not in self.front_sessions:
            return
        if front_session.tune_in is not None:
            self._time_out(front_session.tune_in)
        if front_session.waiting and front_session.viewing is viewing and front_session.answer is None:
            self.rules.left(viewing)
            self._answer_all(front_session, Answer(Kind.FAILED, "nothing came of it in the viewer's time"))
            self._close(front_session)

    def _after_leaving(self, front_session: FrontSession) -> None:
        """Its viewer had left while a tune-in was out. Whoever came again meanwhile starts where that ended."""
        old, waiting = front_session.viewing, front_session.waiting
        if not waiting:
            self._close(front_session)
        elif old.package.paid_at_setup and old.may_have_run:
            self.abort(old)
        else:
            self.front_sessions.pop(old)
            self.names += 1
            expires = min(request.expires for request in waiting)
            front_session.viewing = Viewing(
                self.names,
                old.title,
                old.mark,
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
        front_session.answer = Answer(Kind.FAILED, "this viewing has ended")
        self._close(front_session)

    def _close(self, front_session: FrontSession) -> None:
        self.front_sessions.pop(front_session.viewing, None)
        front_session.commands.finish()
        if front_session.held is None:
            return
        if front_session.answer is None and front_session.viewing.package.paid_at_setup and front_session.viewing.may_have_run:
            # its client hung up; with its key forgotten, one that came again was set up and paid for twice
            front_session.answer = Answer(Kind.FAILED, "its set-up may have run for a request that was given up")
        if front_session.answer is None:
            self.keys.forget(front_session.held)
        else:
            # a client that never got its answer asks for it again within its patience, and one that may have paid
            # must not pay twice for coming a little late
            late = KEPT_ON if front_session.viewing.package.paid_at_setup and front_session.viewing.may_have_run else 0
            self.keys.ended(front_session.held, max(front_session.viewing.expires, self.driver.now() + SECOND) + late)
