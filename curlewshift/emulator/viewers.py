"""Viewers in virtual time: they do what curlewshift/standins/viewers.py do, by the same script.

Arrivals, titles, lengths and tempers are drawn from one seeded generator; what a viewer decides draws from its own, so
that one more draw here changes nobody else.
"""

from __future__ import annotations

from random import Random

import numpy
from hdrh.histogram import HdrHistogram

from curlewshift.session_core.front_session import Answer, Kind
from curlewshift.standins.script import Part, drawn_part, pressure
from curlewshift.standins.viewers import ASKS_ON, FOR_LINES, HANGS_UP_AFTER, LEAVES_AFTER, MEDIA_WITHIN, MOST_VISITS, PAUSE

NS = 1_000_000_000
STATUS = {Kind.PLAYS: 201, Kind.REFUSED: 503, Kind.FAILED: 502}


class Viewer:
    __slots__ = ("began", "ends_in", "name", "package", "planned_viewing", "rng", "served", "spoilt", "title", "top", "visits")

    def __init__(self, name, planned_viewing, package, title, top, ends_in, rng):
        self.name, self.planned_viewing, self.package, self.title, self.top = name, planned_viewing, package, title, top
        self.ends_in, self.visits, self.rng, self.served, self.began = ends_in, 0, rng, False, 0
        self.spoilt = False


class Visit:
    """One request, sent again where it broke off; `answer` is the first that was heard."""

    __slots__ = (
        "answer",
        "asked_at",
        "asks_on",
        "at_session_core",
        "door",
        "front",
        "front_session",
        "hangs_up",
        "key",
        "leaves",
        "over",
        "request",
        "session",
        "tail",
        "viewer",
        "waits",
    )

    def __init__(self, viewer: Viewer, request: str, door: int):
        self.viewer, self.request, self.door, self.key = viewer, request, door, f"{request} key"
        self.asked_at, self.front, self.at_session_core, self.waits, self.answer = 0, None, None, False, None
        self.session = self.front_session = None
        self.asks_on, self.tail, self.hangs_up, self.leaves, self.over = ASKS_ON, "", False, False, False


class Tally:
    """What came of a run, whether its traffic is kept or not."""

    def __init__(self):
        self.viewings = self.asks = self.plays = self.refused = self.failed = self.unreached = self.again = 0
        self.value = self.served = 0.0
        # value that was joined in time and left again, as its link gave too little or its server was lost
        self.spoilt = 0.0
        self.join_us = HdrHistogram(1, 100_000_000, 3)
        # each second of the day: asks, plays, refusals, value asked for and served by when it was asked for
        self.seconds: dict[int, list[float]] = {}
        self.rung_seconds: dict[int, float] = {}

    def second(self, at: int) -> list[float]:
        return self.seconds.setdefault(at, [0, 0, 0, 0.0, 0.0])


class Viewers:
    def __init__(self, world, seed: int):
        self.world, self.script = world, world.script
        self.draw = numpy.random.Generator(numpy.random.PCG64(seed))
        self.titles = list(world.site.titles)
        ranks = 1 / numpy.arange(1, len(self.titles) + 1) ** world.skew
        self.upto = numpy.cumsum(ranks / ranks.sum())
        shares = numpy.array([planned_viewing.share for planned_viewing in self.script.planned_viewings])
        self.shares = numpy.cumsum(shares / shares.sum())
        self.packages = {package.name: package for package in world.site.packages}
        self.tally = Tally()
        self.names = 0
        self.waiting: dict[str, Visit] = {}
        self.by_path: dict[str, Visit] = {}
        self.ends = world.begins + int(self.script.lasts * NS)

    # ---- arrivals

    def begin(self) -> None:
        self._next(self.world.begins)

    def _next(self, now: int) -> None:
        at = (now - self.world.begins) / NS
        rate, more = pressure(self.script, at, self.titles, self.world.curve(at / self.script.lasts))
        whole = rate + sum(part for part, _, _ in more)
        when = now + int(self.draw.exponential(1 / whole) * NS)
        if when < self.ends:
            self.world.queue.at(when, self._comes, rate, more)

    def _comes(self, rate: float, more: list[Part]) -> None:
        now = self.world.queue.now
        crowd, package = drawn_part(rate, more, self.draw.random())
        planned_viewings = self.script.planned_viewings
        planned_viewing = (
            next((one for one in planned_viewings if one.package == package), None)
            or planned_viewings[min(len(planned_viewings) - 1, int(numpy.searchsorted(self.shares, self.draw.random(), "right")))]
        )
        title = crowd or self.titles[min(len(self.titles) - 1, int(numpy.searchsorted(self.upto, self.draw.random(), "right")))]
        pack = self.packages[planned_viewing.package]
        top = pack.top if self.draw.random() < 0.75 else max(pack.floor, pack.top - 1)
        self.names += 1
        viewer = Viewer(
            f"v{self.names}",
            planned_viewing,
            pack,
            title,
            top,
            int(self.draw.exponential(planned_viewing.watches) * NS),
            Random(int(self.draw.integers(2**62))),
        )
        viewer.began = now
        self.tally.viewings += 1
        self.tally.value += pack.value
        self.tally.second((now - self.world.begins) // NS)[3] += pack.value
        self.world.record_event("viewing", viewing=viewer.name, package=pack.name, title=title)
        self._visit(viewer)
        self._next(now)

    # ---- one visit

    def _visit(self, viewer: Viewer) -> None:
        visit = Visit(viewer, f"{viewer.name}.{viewer.visits}", viewer.rng.randrange(len(self.world.site.front_addresses)))
        viewer.visits += 1
        visit.leaves = viewer.rng.random() < self.script.leave
        visit.hangs_up = not visit.leaves and viewer.rng.random() < self.script.hang_up
        if visit.hangs_up:
            visit.tail = "h"
        self._ask(visit)

    def _ask(self, visit: Visit) -> None:
        front = self.world.fronts[visit.door]
        if front is None or not front.alive:
            self.tally.unreached += 1
            self.world.record_event(
                "unreached",
                request=visit.request + visit.tail,
                viewing=visit.viewer.name,
                front=self.world.site.front_addresses[visit.door].name,
            )
            self.world.queue.at(self.world.queue.now + self.world.way(), self._nobody, visit)
            return
        visit.front, visit.waits, visit.asked_at = front, True, self.world.queue.now
        self.tally.asks += 1
        self.tally.second((visit.asked_at - self.world.begins) // NS)[0] += 1
        name, package = visit.request + visit.tail, visit.viewer.package
        self.waiting[name] = visit
        self.world.record_event(
            "ask",
            request=name,
            viewing=visit.viewer.name,
            front=front.door,
            package=package.name,
            title=visit.viewer.title,
            patience=package.patience,
        )
        self.world.queue.at(visit.asked_at + self.world.way(), self._arrives, visit, name, front)
        self.world.queue.at(visit.asked_at + package.patience, self._gives_up, visit, name)
        if visit.leaves:
            self.world.queue.at(visit.asked_at + int(visit.viewer.rng.uniform(*LEAVES_AFTER) * NS), self._hangs_up, visit, name)
        elif visit.tail == "h":
            self.world.queue.at(visit.asked_at + int(HANGS_UP_AFTER * NS), self._hangs_up, visit, name)

    def _arrives(self, visit: Visit, name: str, front) -> None:
        if not front.alive:
            return
        viewer, package = visit.viewer, visit.viewer.package
        patience = max(1, package.patience - self.world.site.obligations.way_back)
        visit.at_session_core = front.asked(name, package.name, viewer.title, viewer.top, patience, visit.key, viewer.name)

    def _hangs_up(self, visit: Visit, name: str) -> None:
        if visit.tail == "h" and visit.over:
            return
        if self.waiting.get(name) is visit and visit.waits:
            self._stop(visit, name)
        elif visit.leaves:
            return
        self.world.record_event("hung-up", request=name, viewing=visit.viewer.name, front=visit.front.door)
        if visit.leaves:
            visit.over = True
            return
        # whether it was answered or not: who is impatient asks again with its key, and gets the same answer
        visit.tail, visit.at_session_core = "", None
        self._ask(visit)

    def _gives_up(self, visit: Visit, name: str) -> None:
        if self.waiting.get(name) is visit and visit.waits:
            self._stop(visit, name)
            self.world.record_event("gave-up", request=name, viewing=visit.viewer.name, front=visit.front.door)
            self._nobody(visit)

    def _stop(self, visit: Visit, name: str) -> None:
        """The connection is closed from here; the front sees it a way later."""
        visit.waits = False
        del self.waiting[name]
        front, request = visit.front, visit.at_session_core
        if request is not None:
            self.world.queue.at(self.world.queue.now + self.world.way(), self._seen_gone, front, request)

    @staticmethod
    def _seen_gone(front, request) -> None:
        if front.alive:
            front.session_core.hung_up(request)

    def front_died(self, front) -> None:
        """Connections to it break."""
        for name, visit in list(self.waiting.items()):
            if visit.front is front and visit.waits:
                visit.waits = False
                del self.waiting[name]
                self.world.record_event("broke", request=name, viewing=visit.viewer.name, front=front.door)
                self.world.queue.at(self.world.queue.now + self.world.way(), self._nobody, visit)

    def _nobody(self, visit: Visit) -> None:
        """It got no answer. What was paid for is asked for again at the same front with the same key."""
        visit.at_session_core = None
        if visit.viewer.package.paid_at_setup and visit.asks_on:
            visit.asks_on -= 1
            visit.tail = "b"
            self.world.queue.at(self.world.queue.now + int(visit.viewer.rng.uniform(*PAUSE) / 2 * NS), self._ask, visit)
        else:
            self._ended(visit, "unreached", 0)

    # ---- answers

    def answered(self, name: str, answer: Answer, front) -> None:
        """The front has written it; it is heard a way later."""
        self.world.queue.at(self.world.queue.now + self.world.way(), self._heard, name, answer, front)

    def _heard(self, name: str, answer: Answer, front) -> None:
        visit = self.waiting.get(name)
        if visit is None or visit.front is not front:
            return
        package, now = visit.viewer.package, self.world.queue.now
        self.world.record_event("answer", request=name, viewing=visit.viewer.name, front=front.door, status=STATUS[answer.kind])
        if not visit.waits:
            # one answer too many
            return
        visit.waits = False
        # kept while more might come on the same connection
        self.world.queue.at(now + NS // 2, self.waiting.pop, name, None)
        if visit.tail == "h":
            return
        second = self.tally.second((visit.asked_at - self.world.begins) // NS)
        if answer.kind is Kind.PLAYS:
            self.tally.plays += 1
            second[1] += 1
            self.tally.join_us.record_value(max(1, (now - visit.asked_at) // 1000))
            if now <= visit.asked_at + package.join_target and not visit.viewer.served:
                visit.viewer.served = True
                self.tally.served += package.value
                self.tally.second((visit.viewer.began - self.world.begins) // NS)[4] += package.value
            self._watch(visit, answer.front_session, front)
        elif answer.kind is Kind.REFUSED:
            self.tally.refused += 1
            second[2] += 1
            self._ended(visit, "refused", answer.wait)
        else:
            self.tally.failed += 1
            self._ended(visit, "failed", 0)

    def _watch(self, visit: Visit, front_session, front) -> None:
        machine = self.world.machines.get(front_session.viewing.server.name) if front_session.viewing.server else None
        session = machine.sessions.get(front_session.session) if machine is not None else None
        if session is None or session.ended:
            self._ended(visit, "broke", 0)
            return
        visit.session, visit.front_session = session, front_session
        self.by_path[session.path] = visit
        if machine.frozen:
            # the media do not begin: that is waited for only so long
            self.world.queue.at(self.world.queue.now + int(MEDIA_WITHIN * NS), self._media_hang, visit)
        session.watcher = visit
        self.world.queue.at(self.world.queue.now + max(NS // 10, visit.viewer.ends_in), self._leaves, visit)

    def _media_hang(self, visit: Visit) -> None:
        if not visit.over and visit.session is not None and visit.session.server.frozen:
            self.media_broke(visit.session)

    def _leaves(self, visit: Visit) -> None:
        """The viewer has had enough."""
        if visit.over:
            return
        visit.over = True
        session = visit.session
        self.by_path.pop(session.path, None)
        session.watcher, session.unwatched_since = None, self.world.queue.now
        self.world.queue.at(self.world.queue.now + self.world.way(), self._closes, visit)

    def _closes(self, visit: Visit) -> None:
        front = visit.front
        if front is not None and front.alive and visit.front_session is not None and visit.front_session.viewing.playing:
            front.closed(visit.front_session)
            self.world.record_event("closed", requests=[visit.request, visit.request + "h", visit.request + "b"])

    def short_of(self, session) -> None:
        """One more line of media that came with too little."""
        session.short_count += 1
        if session.short_count >= FOR_LINES and session.watcher is not None:
            self._spoils(session.watcher.viewer)
            self._leaves(session.watcher)

    def _spoils(self, viewer: Viewer) -> None:
        if viewer.served and not viewer.spoilt:
            viewer.spoilt = True
            self.tally.spoilt += viewer.package.value

    def media_broke(self, session) -> None:
        visit = session.watcher
        if visit is not None and not visit.over:
            visit.over = True
            self._spoils(visit.viewer)
            session.watcher = None
            self.by_path.pop(session.path, None)
            watched = self.world.queue.now - visit.asked_at
            visit.viewer.ends_in -= watched
            self.world.queue.at(self.world.queue.now + self.world.way(), self._ended, visit, "broke", 0)

    def taken_up(self, front, front_session, path: str) -> None:
        """Another life of its front has its session now."""
        visit = self.by_path.get(path)
        if visit is not None:
            visit.front, visit.front_session = front, front_session

    def _ended(self, visit: Visit, how: str, wait: int) -> None:
        viewer, now = visit.viewer, self.world.queue.now
        visit.over = True
        again = (
            how in ("refused", "broke", "unreached")
            and viewer.visits < MOST_VISITS
            and viewer.ends_in > NS
            and (viewer.rng.random() < self.script.come_again)
        )
        if not again or now > self.ends:
            return
        self.tally.again += 1
        pause = wait + int(viewer.rng.uniform(0, 0.5) * NS) if wait else int(viewer.rng.uniform(*PAUSE) * NS)
        self.world.queue.at(now + pause, self._visit, viewer)
