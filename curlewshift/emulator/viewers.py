"""Viewers in virtual time, with the behaviour of curlewshift/standins/viewers.py and driven by the same script.

Arrivals, titles and durations are drawn from one seeded generator. The decisions of a viewer are drawn from a generator of
its own, so that an additional draw does not affect other viewers. Times are in ns.
"""

from __future__ import annotations

from random import Random

import numpy
from hdrh.histogram import HdrHistogram

from curlewshift.session_core.front_session import Answer, AnswerKind
from curlewshift.standins.script import Part, drawn_part, pressure
from curlewshift.standins.viewers import ASKS_ON, FOR_LINES, HANGS_UP_AFTER, LEAVES_AFTER, MEDIA_WITHIN, MOST_VISITS, PAUSE

NS = 1_000_000_000
STATUS = {AnswerKind.PLAYS: 201, AnswerKind.REFUSED: 503, AnswerKind.FAILED: 502}


class Viewer:
    """One viewer; it may make several requests for the same viewing."""

    __slots__ = ("began", "ends_in", "name", "package", "planned_viewing", "rng", "served", "spoilt", "title", "top", "visits")

    def __init__(self, name, planned_viewing, package, title, top, ends_in, rng):
        self.name, self.planned_viewing, self.package, self.title, self.top = name, planned_viewing, package, title, top
        self.ends_in, self.visits, self.rng, self.served, self.began = ends_in, 0, rng, False, 0
        self.spoilt = False


class Visit:
    """One request of a viewer, repeated if the connection breaks; `answer` is the first that was received. `tail` is the suffix
    of the request's name: "h" before a hang-up, "b" after a broken attempt. `asks_on` is the number of retries left."""

    __slots__ = (
        "answer",
        "asked_at",
        "asks_on",
        "core_request",
        "ended",
        "front",
        "front_number",
        "front_session",
        "hangs_up",
        "key",
        "leaves",
        "request",
        "session",
        "tail",
        "viewer",
        "waits",
    )

    def __init__(self, viewer: Viewer, request: str, front_number: int):
        self.viewer, self.request, self.front_number, self.key = viewer, request, front_number, f"{request} key"
        self.asked_at, self.front, self.core_request, self.waits, self.answer = 0, None, None, False, None
        self.session = self.front_session = None
        self.asks_on, self.tail, self.hangs_up, self.leaves, self.ended = ASKS_ON, "", False, False, False


class Tally:
    """Totals of a run, counted whether or not its traffic is recorded."""

    def __init__(self):
        self.viewings = self.asks = self.plays = self.refused = self.failed = self.unreached = self.again = 0
        self.value = self.served = 0.0
        # value that started in time, but ended early because of poor delivery or the loss of the server
        self.spoilt = 0.0
        self.join_us = HdrHistogram(1, 100_000_000, 3)
        # by second of the run: requests, starts, refusals, value of arriving viewings and value served, by time of arrival
        self.seconds: dict[int, list[float]] = {}
        self.rung_seconds: dict[int, float] = {}

    def second(self, at: int) -> list[float]:
        return self.seconds.setdefault(at, [0, 0, 0, 0.0, 0.0])


class Viewers:
    """All viewers of a run: arrivals, requests and what they do with the answers."""

    def __init__(self, world, seed: int):
        self.world, self.script = world, world.script
        self.rng = numpy.random.Generator(numpy.random.PCG64(seed))
        self.titles = list(world.site.titles)
        ranks = 1 / numpy.arange(1, len(self.titles) + 1) ** world.skew
        self.title_cdf = numpy.cumsum(ranks / ranks.sum())
        shares = numpy.array([planned_viewing.share for planned_viewing in self.script.planned_viewings])
        self.share_cdf = numpy.cumsum(shares / shares.sum())
        self.packages = {package.name: package for package in world.site.packages}
        self.tally = Tally()
        self.last_viewer_number = 0
        self.waiting: dict[str, Visit] = {}
        self.by_path: dict[str, Visit] = {}
        self.ends = world.begins + int(self.script.lasts * NS)

    # ---- arrivals

    def begin(self) -> None:
        self._next(self.world.begins)

    def _next(self, now: int) -> None:
        at = (now - self.world.begins) / NS
        rate, more = pressure(self.script, at, self.titles, self.world.curve(at / self.script.lasts))
        total_rate = rate + sum(part for part, _, _ in more)
        arrives_at = now + int(self.rng.exponential(1 / total_rate) * NS)
        if arrives_at < self.ends:
            self.world.queue.at(arrives_at, self._arrive_viewer, rate, more)

    def _arrive_viewer(self, rate: float, more: list[Part]) -> None:
        now = self.world.queue.now
        crowd, package = drawn_part(rate, more, self.rng.random())
        planned_viewings = self.script.planned_viewings
        planned_viewing = (
            next((planned for planned in planned_viewings if planned.package == package), None)
            or planned_viewings[
                min(len(planned_viewings) - 1, int(numpy.searchsorted(self.share_cdf, self.rng.random(), "right")))
            ]
        )
        title = (
            crowd or self.titles[min(len(self.titles) - 1, int(numpy.searchsorted(self.title_cdf, self.rng.random(), "right")))]
        )
        viewed_package = self.packages[planned_viewing.package]
        top = viewed_package.top if self.rng.random() < 0.75 else max(viewed_package.floor, viewed_package.top - 1)
        self.last_viewer_number += 1
        viewer = Viewer(
            f"v{self.last_viewer_number}",
            planned_viewing,
            viewed_package,
            title,
            top,
            int(self.rng.exponential(planned_viewing.watches) * NS),
            Random(int(self.rng.integers(2**62))),
        )
        viewer.began = now
        self.tally.viewings += 1
        self.tally.value += viewed_package.value
        self.tally.second((now - self.world.begins) // NS)[3] += viewed_package.value
        self.world.record_event("viewing", viewing=viewer.name, package=viewed_package.name, title=title)
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
        front = self.world.fronts[visit.front_number]
        if front is None or not front.alive:
            self.tally.unreached += 1
            self.world.record_event(
                "unreached",
                request=visit.request + visit.tail,
                viewing=visit.viewer.name,
                front=self.world.site.front_addresses[visit.front_number].name,
            )
            self.world.queue.at(self.world.queue.now + self.world.message_delay(), self._unanswered, visit)
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
            front=front.address_name,
            package=package.name,
            title=visit.viewer.title,
            patience=package.patience,
        )
        self.world.queue.at(visit.asked_at + self.world.message_delay(), self._deliver_request, visit, name, front)
        self.world.queue.at(visit.asked_at + package.patience, self._gives_up, visit, name)
        if visit.leaves:
            self.world.queue.at(visit.asked_at + int(visit.viewer.rng.uniform(*LEAVES_AFTER) * NS), self._hangs_up, visit, name)
        elif visit.tail == "h":
            self.world.queue.at(visit.asked_at + int(HANGS_UP_AFTER * NS), self._hangs_up, visit, name)

    def _deliver_request(self, visit: Visit, name: str, front) -> None:
        if not front.alive:
            return
        viewer, package = visit.viewer, visit.viewer.package
        patience = max(1, package.patience - self.world.site.obligations.way_back)
        visit.core_request = front.asked(name, package.name, viewer.title, viewer.top, patience, visit.key, viewer.name)

    def _hangs_up(self, visit: Visit, name: str) -> None:
        if visit.tail == "h" and visit.ended:
            return
        if self.waiting.get(name) is visit and visit.waits:
            self._stop(visit, name)
        elif visit.leaves:
            return
        self.world.record_event("hung-up", request=name, viewing=visit.viewer.name, front=visit.front.address_name)
        if visit.leaves:
            visit.ended = True
            return
        # whether or not it was answered, the viewer repeats the request with its key and gets the same answer
        visit.tail, visit.core_request = "", None
        self._ask(visit)

    def _gives_up(self, visit: Visit, name: str) -> None:
        if self.waiting.get(name) is visit and visit.waits:
            self._stop(visit, name)
            self.world.record_event("gave-up", request=name, viewing=visit.viewer.name, front=visit.front.address_name)
            self._unanswered(visit)

    def _stop(self, visit: Visit, name: str) -> None:
        """The viewer closes the connection; the front notices after a one-way delay."""
        visit.waits = False
        del self.waiting[name]
        front, request = visit.front, visit.core_request
        if request is not None:
            self.world.queue.at(self.world.queue.now + self.world.message_delay(), self._deliver_hang_up, front, request)

    @staticmethod
    def _deliver_hang_up(front, request) -> None:
        if front.alive:
            front.session_core.hung_up(request)

    def front_died(self, front) -> None:
        """All connections to the front break."""
        for name, visit in list(self.waiting.items()):
            if visit.front is front and visit.waits:
                visit.waits = False
                del self.waiting[name]
                self.world.record_event("broke", request=name, viewing=visit.viewer.name, front=front.address_name)
                self.world.queue.at(self.world.queue.now + self.world.message_delay(), self._unanswered, visit)

    def _unanswered(self, visit: Visit) -> None:
        """There was no answer. A paid request is repeated at the same front with the same key."""
        visit.core_request = None
        if visit.viewer.package.paid_at_setup and visit.asks_on:
            visit.asks_on -= 1
            visit.tail = "b"
            self.world.queue.at(self.world.queue.now + int(visit.viewer.rng.uniform(*PAUSE) / 2 * NS), self._ask, visit)
        else:
            self._ended(visit, "unreached", 0)

    # ---- answers

    def answered(self, name: str, answer: Answer, front) -> None:
        """The front has sent the answer; it is received after a one-way delay."""
        self.world.queue.at(self.world.queue.now + self.world.message_delay(), self._receive_answer, name, answer, front)

    def _receive_answer(self, name: str, answer: Answer, front) -> None:
        visit = self.waiting.get(name)
        if visit is None or visit.front is not front:
            return
        package, now = visit.viewer.package, self.world.queue.now
        self.world.record_event(
            "answer", request=name, viewing=visit.viewer.name, front=front.address_name, status=STATUS[answer.kind]
        )
        if not visit.waits:
            # a second answer to the same request
            return
        visit.waits = False
        # keeps the request for a further 0.5 s, to notice a second answer on the same connection
        self.world.queue.at(now + NS // 2, self.waiting.pop, name, None)
        if visit.tail == "h":
            return
        second = self.tally.second((visit.asked_at - self.world.begins) // NS)
        if answer.kind is AnswerKind.PLAYS:
            self.tally.plays += 1
            second[1] += 1
            self.tally.join_us.record_value(max(1, (now - visit.asked_at) // 1000))
            if now <= visit.asked_at + package.join_target and not visit.viewer.served:
                visit.viewer.served = True
                self.tally.served += package.value
                self.tally.second((visit.viewer.began - self.world.begins) // NS)[4] += package.value
            self._watch(visit, answer.front_session, front)
        elif answer.kind is AnswerKind.REFUSED:
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
            # the media do not start; the viewer waits for MEDIA_WITHIN seconds
            self.world.queue.at(self.world.queue.now + int(MEDIA_WITHIN * NS), self._media_hang, visit)
        session.watcher = visit
        self.world.queue.at(self.world.queue.now + max(NS // 10, visit.viewer.ends_in), self._leaves, visit)

    def _media_hang(self, visit: Visit) -> None:
        if not visit.ended and visit.session is not None and visit.session.server.frozen:
            self.media_broke(visit.session)

    def _leaves(self, visit: Visit) -> None:
        """The viewer stops watching."""
        if visit.ended:
            return
        visit.ended = True
        session = visit.session
        self.by_path.pop(session.path, None)
        session.watcher, session.unwatched_since = None, self.world.queue.now
        self.world.queue.at(self.world.queue.now + self.world.message_delay(), self._close_session, visit)

    def _close_session(self, visit: Visit) -> None:
        front = visit.front
        if front is not None and front.alive and visit.front_session is not None and visit.front_session.viewing.playing:
            front.closed(visit.front_session)
            self.world.record_event("closed", requests=[visit.request, visit.request + "h", visit.request + "b"])

    def short_of(self, session) -> None:
        """A further media line arrived with too low a rate."""
        session.short_count += 1
        if session.short_count >= FOR_LINES and session.watcher is not None:
            self._count_spoilt(session.watcher.viewer)
            self._leaves(session.watcher)

    def _count_spoilt(self, viewer: Viewer) -> None:
        if viewer.served and not viewer.spoilt:
            viewer.spoilt = True
            self.tally.spoilt += viewer.package.value

    def media_broke(self, session) -> None:
        visit = session.watcher
        if visit is not None and not visit.ended:
            visit.ended = True
            self._count_spoilt(visit.viewer)
            session.watcher = None
            self.by_path.pop(session.path, None)
            watched = self.world.queue.now - visit.asked_at
            visit.viewer.ends_in -= watched
            self.world.queue.at(self.world.queue.now + self.world.message_delay(), self._ended, visit, "broke", 0)

    def taken_up(self, front, front_session, path: str) -> None:
        """A later life of the front has taken over the session."""
        visit = self.by_path.get(path)
        if visit is not None:
            visit.front, visit.front_session = front, front_session

    def _ended(self, visit: Visit, outcome: str, wait: int) -> None:
        viewer, now = visit.viewer, self.world.queue.now
        visit.ended = True
        comes_again = (
            outcome in ("refused", "broke", "unreached")
            and viewer.visits < MOST_VISITS
            and viewer.ends_in > NS
            and (viewer.rng.random() < self.script.come_again)
        )
        if not comes_again or now > self.ends:
            return
        self.tally.again += 1
        pause = wait + int(viewer.rng.uniform(0, 0.5) * NS) if wait else int(viewer.rng.uniform(*PAUSE) * NS)
        self.world.queue.at(now + pause, self._visit, viewer)
