"""A whole deployment in virtual time: servers, racks, list, network, fronts and viewers, by a rehearsal's script.

One seed makes one run, in any process. `World(...).run()` plays the day; with `traffic` the events are kept in the form
in which the rehearsal's stand-ins write theirs, so that the same judge reads both. Figures of it are simulated.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from random import Random

from curlewshift.emulator.front import Disk, EmulatedFront
from curlewshift.emulator.machine import Machine, Session
from curlewshift.emulator.overloaded import Shedding
from curlewshift.emulator.queue import Buckets
from curlewshift.emulator.shared import Shares
from curlewshift.emulator.viewers import Viewers
from curlewshift.rules import Rules
from curlewshift.session_core.server_list import ServerEntry
from curlewshift.standins.fleet import DRAIN_FOR, LINK_OFF, LONG_AGO, PREEMPT_FOR, RIVAL_PACE
from curlewshift.standins.listing import LATE
from curlewshift.standins.physics import LinkModel, Uplink
from curlewshift.standins.script import EMULATED, OF_FRONTS, OF_VIEWERS, Script, Trouble
from curlewshift.standins.server import MEDIA_EVERY, REPORT_EVERY, SETUP_WORK, SHORT_EVERY, SHORT_UNDER
from curlewshift.standins.viewers import TOO_LITTLE

NS = 1_000_000_000
MS = 1_000_000
BORN = 10_000 * NS
SETTLE, RUN_OUT = 2 * NS, 6 * NS
# A way between two machines (ns): what a message takes on loopback with the work on both ends.
WAY = (0.4 * MS, 1.6 * MS)
# A front's process takes so long to start (s), on a machine that has other things to do.
STARTS_IN = 1.0
# A message that is lost is sent again after this (RFC 6298, 2.4 has a second; Linux 0.2 s at least).
RESENT_AFTER = 200 * MS
# Events that a run may have for each viewing to come, before it is held to run for ever.
MOST_EVENTS = 20_000


class Place:
    """A shelf's place in a rack: machines come and go on it, the link stays."""

    def __init__(self, machine, link: LinkModel):
        self.machine, self.link, self.server, self.busy, self.lives = machine, link, None, False, 0


class Listing:
    """The server list: it knows whether processes run, and tells it late and in order."""

    def __init__(self, world, rng: Random):
        self.world, self.rng = world, rng
        self.rows: dict[str, ServerEntry] = {}
        self.generation, self.stuck = 0, False
        self.pending: deque[tuple[int, ServerEntry]] = deque()

    def begin(self, rows: list[ServerEntry]) -> None:
        self.rows = {row.server: row for row in rows}

    def knows(self, row: ServerEntry) -> None:
        due = self.world.queue.now + int(self.rng.uniform(*LATE) * NS)
        if self.pending:
            due = max(due, self.pending[-1][0])
        self.pending.append((due, row))
        self.world.queue.at(due, self.look)

    def look(self) -> None:
        due = []
        while self.pending and not self.stuck and self.pending[0][0] <= self.world.queue.now:
            due.append(self.pending.popleft()[1])
        if due:
            self.generation += 1
            for row in due:
                if row.state == "off":
                    self.rows.pop(row.server, None)
                else:
                    self.rows[row.server] = row
            for front in self.world.fronts:
                if front is not None and front.alive:
                    # one stream a front: what was sent later does not arrive before
                    front.list_at = max(front.list_at, self.world.queue.now + self.world.way())
                    self.world.queue.at(front.list_at, self._tell, front, self.generation, due)

    def _tell(self, front, generation: int, rows: list[ServerEntry]) -> None:
        if not front.alive or front.generation < 0:
            return
        for row in rows:
            self.world.record_event("told", front=front.name, server=row.server, state=row.state, started=row.started // MS)
        front.disk.rows = list(self.rows.values())
        if generation > front.generation:
            since, front.generation = front.generation, generation
            front.session_core.list_change("e", since, generation, rows)
            front.recovery.list_told()

    def whole(self, front) -> None:
        """All of it, as a front that starts asks for."""
        self.world.queue.at(self.world.queue.now + 2 * self.world.way(), self._tell_whole, front)

    def _tell_whole(self, front) -> None:
        if front.alive:
            rows = list(self.rows.values())
            for row in rows if self.world.traffic is not None else ():
                self.world.record_event("told", front=front.name, server=row.server, state=row.state, started=row.started // MS)
            self.world.record_event("told-all", front=front.name, servers=[row.server for row in rows])
            front.generation, front.disk.rows = self.generation, rows
            front.session_core.list_full("e", self.generation, rows)
            front.recovery.list_told()


class World:
    """`across` is what a way between zones takes more (ns), `loss` the part of messages that are sent twice, `skew` the
    exponent of how titles are wanted, `curve(part of the day)` a factor on arrivals. `rules` may be a baseline's."""

    def __init__(
        self,
        script: Script,
        seed: int,
        traffic: list | None = None,
        rules: type[Rules] = Rules,
        wrong: str = "",
        forget: bool = False,
        across: int = 0,
        loss: float = 0.0,
        skew: float = 1.0,
        curve: Callable[[float], float] = lambda part: 1.0,
        queue=None,
        setup_work: float = SETUP_WORK,
        shared: Shares | None = None,
        shedding: Shedding | None = None,
    ):
        self.shared, self.shedding = shared, shedding
        # when a level of admission changed, at which front, for which zone, to what
        self.levels: list[tuple[int, str, str, int]] = []
        self.script, self.site, self.traffic, self.rules, self.wrong = script, script.site, traffic, rules, wrong
        self.forget, self.across, self.loss, self.skew, self.curve = forget, across, loss, skew, curve
        self.setup_work, self.seed = setup_work, seed
        self.queue = Buckets(BORN) if queue is None else queue
        self.begins = BORN + SETTLE
        self.rng, self.fate, self.net = Random(seed), Random(seed + 1), Random(seed + 2)
        self.ladder = {package.name: package.rates for package in self.site.packages}
        uplinks = {name: Uplink(size) for name, size in self.site.uplinks.items()}
        self.places = []
        for machine in self.site.machines:
            link = LinkModel(machine.link * self.rng.uniform(1 - LINK_OFF, 1 + LINK_OFF), uplinks[machine.rack])
            link.uplink.links.append(link)
            self.places.append(Place(machine, link))
        # what listens at each address; a machine that is gone is not there
        self.machines: dict[str, Machine] = {}
        self.listing = Listing(self, Random(seed + 3))
        self.addresses = 0
        for place in self.places:
            self._start(place, BORN - int(LONG_AGO), tell=False)
        self.listing.begin([self._row(place.server, "on") for place in self.places])
        self.disks = [Disk() for _ in self.site.front_addresses]
        self.lives = [0] * len(self.site.front_addresses)
        self.fronts: list[EmulatedFront | None] = [None] * len(self.site.front_addresses)
        self.front_numbers = {door.name: number for number, door in enumerate(self.site.front_addresses)}
        # names of those that run, as fronts that know each other have them
        self.running_fronts: list[str] = []
        self.last_heard: dict[str, int] = {}
        self.viewers = Viewers(self, seed)
        self.events = 0
        # each second of the day: part of all links in use, viewings that play, their mean rung, and how many of them get
        # less than their rate
        self.use: list[tuple[float, float, float, float, float]] = []

    # ---- the network, and what is seen

    def record_event(self, ev: str, **facts) -> None:
        if self.traffic is not None:
            self.traffic.append({"ev": ev, "at": self.queue.now, **facts})

    def zone_of_front(self, number: int) -> str:
        zones = sorted({machine.zone for machine in self.site.machines})
        return zones[number % len(zones)]

    def way(self, front=None, machine: Machine | None = None) -> int:
        """How long one message takes (ns)."""
        lasts = self.net.uniform(*WAY)
        if front is not None and machine is not None and front.zone != machine.machine.zone:
            lasts += self.across
        if self.loss and self.net.random() < self.loss:
            lasts += RESENT_AFTER
        return int(lasts)

    def to_server(self, front, machine: Machine | None, call: Callable, *args) -> None:
        self.queue.at(self.queue.now + self.way(front, machine), call, machine, *args)

    def from_server(self, front, machine: Machine, call: Callable, *args) -> None:
        self.queue.at(self.queue.now + self.way(front, machine), call, *args)

    # ---- a day

    def run(self) -> None:
        """Raises `EventLimitExceeded` if it would not end."""
        for number in range(len(self.site.front_addresses)):
            self.queue.at(BORN, self.start_front, number)
        self.queue.at(BORN, self._measure)
        self.queue.at(self._next(SHORT_EVERY), self._tell_short)
        self.queue.at(self._next(self.site.obligations.told_every / NS), self._tell_load)
        self.queue.at(BORN, self._media)
        self.queue.at(self.begins, self._begin)
        expected = self.script.each_second * self.script.lasts * 3 + 100
        ends = self.begins + int(self.script.lasts * NS) + RUN_OUT
        self.over_at = ends
        self.events = self.queue.run(ends, int(MOST_EVENTS * expected) + 10_000_000)
        for front in self.fronts:
            if front is not None and front.alive:
                self.record_event("front-down", front=front.door, life=front.name, how="ended")

    def _begin(self) -> None:
        self.record_event("day", begins=self.begins, lasts=int(self.script.lasts * NS))
        self.viewers.begin()
        for announced in self.script.announced:
            self._announce(announced)
        for trouble in self.script.troubles:
            at = self.begins + int(trouble.at * NS)
            if trouble.kind not in EMULATED and trouble.kind not in OF_VIEWERS:
                continue
            if trouble.kind in OF_VIEWERS:
                self.queue.at(
                    at,
                    lambda trouble=trouble: self.record_event(
                        "trouble", kind=trouble.kind, lasts=trouble.lasts, size=trouble.size, servers=[]
                    ),
                )
            else:
                call = self._front_trouble if trouble.kind in OF_FRONTS else self._befall
                self.queue.at(at, call, trouble, Random(self.fate.random()))

    def _announce(self, announced) -> None:
        from curlewshift.peaks.calendar import Peak

        starts = self.begins + int(announced.at * NS)
        for front in self.fronts:
            if front is not None and front.alive:
                front.session_core.announce(
                    Peak(
                        announced.name,
                        announced.package,
                        starts,
                        starts + int(announced.lasts * NS),
                        announced.rate,
                        announced.most,
                        0,
                        "script",
                        "script",
                    )
                )

    # ---- fronts

    def start_front(self, number: int) -> None:
        self.lives[number] += 1
        if self.forget:
            self.disks[number].book = []
        front = EmulatedFront(
            self,
            number,
            self.lives[number],
            self.disks[number],
            self.seed * 1000 + number * 100 + self.lives[number],
            self.rules,
            self.wrong,
        )
        self.fronts[number] = front
        if front.door not in self.running_fronts:
            self.running_fronts.append(front.door)
        self.record_event("front-up", front=front.door, life=front.name)
        self.listing.whole(front)
        for name, machine in self.machines.items():
            front.boots[name] = machine.boot
            self.record_event("notes-open", server=name, boot=machine.boot, front=front.name)

    def kill_front(self, front: EmulatedFront) -> None:
        self.last_heard[front.name] = self.queue.now
        self.record_event("front-down", front=front.door, life=front.name, how="killed")
        self._notes_end(front)
        self.running_fronts.remove(front.door)
        front.kill()
        self.viewers.front_died(front)

    def end_front(self, front: EmulatedFront, then: Callable[[], None]) -> None:
        """It takes nothing new, answers what it has, ends what plays, and goes."""
        front.session_core.drain()
        self.queue.at(self.queue.now + 50 * MS, self._ending, front, then, self.queue.now + 8 * NS)

    def _ending(self, front: EmulatedFront, then, until: int) -> None:
        if front.session_core.waiting and self.queue.now < until:
            self.queue.at(self.queue.now + 50 * MS, self._ending, front, then, until)
            return
        for front_session in list(front.session_core.front_sessions.values()):
            front.closed(front_session)
        self.queue.at(self.queue.now + 100 * MS, self._gone, front, then)

    def _gone(self, front: EmulatedFront, then) -> None:
        self.last_heard[front.name] = self.queue.now
        self.record_event("front-down", front=front.door, life=front.name, how="ended")
        self._notes_end(front)
        front.alive = False
        self.viewers.front_died(front)
        then()

    def _notes_end(self, front: EmulatedFront) -> None:
        for name, machine in self.machines.items() if self.traffic is not None else ():
            self.record_event("notes-end", server=name, boot=machine.boot, front=front.name)

    def last_seen_at(self, life: str) -> int:
        return self.last_heard.get(life, self.queue.now)

    # ---- servers

    def _start(self, place: Place, born: int, name: str = "", tell: bool = True) -> None:
        place.lives += 1
        if not name:
            self.addresses += 1
            name = f"127.0.0.1:{20_000 + self.addresses}"
        server = place.server = Machine(self, place.machine, name, place.link, born, Random(self.rng.random()))
        self.machines[name] = server
        server.measure()
        if tell:
            self.listing.knows(self._row(server, "on"))
        for front in getattr(self, "fronts", ()):
            if front is not None and front.alive:
                self.queue.at(self.queue.now + 200 * MS, self._hello, front, server)

    def _hello(self, front, server: Machine) -> None:
        """Its notes say which life of it speaks."""
        if not front.alive or server.dead:
            return
        self.record_event("notes-open", server=server.name, boot=server.boot, front=front.name)
        known, front.boots[server.name] = front.boots.get(server.name), server.boot
        held = front.session_core.server_list.servers.get(server.name)
        front._append_record(front.book.boot(server.name, server.boot))
        if known is not None and known != server.boot and held is not None:
            front.session_core.restarted(held)

    def _row(self, server: Machine, state: str) -> ServerEntry:
        machine = server.machine
        return ServerEntry(
            server.name, state, server.started_at, machine.zone, machine.rack, machine.link, machine.streams, machine.shelf
        )

    def die(self, server: Machine) -> None:
        if server.dead:
            return
        server.die()
        if self.machines.get(server.name) is server:
            del self.machines[server.name]
        for front in self.fronts:
            if front is not None and front.alive:
                self.record_event("notes-end", server=server.name, boot=server.boot, front=front.name)
                self.queue.at(self.queue.now + self.way(front, server), self._notes_broke, front, server.name)

    def _notes_broke(self, front, name: str) -> None:
        held = front.session_core.server_list.servers.get(name) if front.alive else None
        if held is not None:
            front.session_core.notes_broke(held)
            # it is asked for again soon, and if nobody listens there what it played is over
            self.queue.at(self.queue.now + int(self.net.uniform(0.1, 0.2) * NS), self._gone_there, front, name)

    def _gone_there(self, front, name: str) -> None:
        held = front.session_core.server_list.servers.get(name) if front.alive else None
        if held is not None and name not in self.machines and held.link.playing:
            front.session_core.server_lost(held)

    def fell(self, server: Machine) -> None:
        self.die(server)
        self.listing.knows(self._row(server, "off"))

    # ---- what goes on by itself

    def _next(self, every: float) -> int:
        step = int(every * NS)
        return (self.queue.now // step + 1) * step

    def _measure(self) -> None:
        for server in self.machines.values():
            server.measure()
        self.queue.at(self.queue.now + int(REPORT_EVERY * NS), self._measure)

    def _lives(self) -> dict[str, EmulatedFront]:
        return {front.name: front for front in self.fronts if front is not None and front.alive}

    def _tell_load(self) -> None:
        lives = self._lives()
        uplinks = self.site.obligations.uplinks
        for server in self.machines.values():
            if not server.by_life or server.frozen:
                continue
            _, link, uplink, _ = server.delayed_measurement()
            report = {"link": link, "uplink": uplink} if uplinks else {"link": link}
            for life in server.by_life:
                front = lives.get(life)
                if front is not None:
                    self.queue.at(self.queue.now + self.way(front, server), self._told, front, server.name, report)
        self.queue.at(self._next(self.site.obligations.told_every / NS), self._tell_load)

    @staticmethod
    def _told(front, name: str, report: dict) -> None:
        held = front.session_core.server_list.servers.get(name) if front.alive else None
        if held is not None:
            front.session_core.told(held, report)

    def _tell_short(self) -> None:
        lives = self._lives()
        for server in self.machines.values():
            if server.frozen or not (server.by_life or server.notified_short):
                continue
            short, share = server.is_short(), server.delayed_measurement()[3]
            for life in {*(server.by_life if short else ()), *server.notified_short}:
                front = lives.get(life)
                if front is not None:
                    self.queue.at(self.queue.now + self.way(front, server), self._delivered, front, server.name, share)
            server.notified_short = set(server.by_life) if short else set()
        self.queue.at(self._next(SHORT_EVERY), self._tell_short)
        self._sample()

    @staticmethod
    def _delivered(front, name: str, share: float) -> None:
        held = front.session_core.server_list.servers.get(name) if front.alive else None
        if held is not None:
            front.session_core.delivered(held, share)

    def _sample(self) -> None:
        """How full the links are and on which rungs what plays is, once a second."""
        asked = gives = 0.0
        playing = rungs = short = 0
        for server in self.machines.values():
            asked += server.link.asked
            gives += server.link.gives()
            if server.sessions and server.link.share() < SHORT_UNDER:
                short += len(server.sessions)
            for session in server.sessions.values():
                playing += 1
                rungs += session.rung
        if self.queue.now >= self.begins:
            self.use.append(
                (
                    (self.queue.now - self.begins) / NS,
                    asked / gives if gives else 0.0,
                    float(playing),
                    rungs / playing if playing else 0.0,
                    float(short),
                )
            )
            self.record_event(
                "use",
                asked=round(asked),
                gives=round(gives),
                playing=playing,
                fullest=0.0,
                used={},
                rung=round(rungs / playing, 3) if playing else 0,
            )

    def _media(self) -> None:
        """Half a second of media: viewers who get too little for long leave."""
        for server in self.machines.values():
            if not server.sessions or server.frozen:
                continue
            if server.link.share() < TOO_LITTLE:
                for session in list(server.sessions.values()):
                    self.viewers.short_of(session)
            elif server.notified_short:
                for session in server.sessions.values():
                    session.short_count = 0
        self.queue.at(self.queue.now + int(MEDIA_EVERY * NS), self._media)

    def media_broke(self, session: Session) -> None:
        self.viewers.media_broke(session)

    def ended_note(self, server: Machine, session: Session) -> None:
        front = self._lives().get(session.life)
        if front is not None:
            self.queue.at(self.queue.now + self.way(front, server), self._ended, front, server.name, session.path)

    @staticmethod
    def _ended(front, name: str, path: str) -> None:
        held = front.session_core.server_list.servers.get(name) if front.alive else None
        if held is None:
            return
        for viewing in held.link.playing:
            front_session = front.session_core.front_sessions[viewing]
            if front_session.session == path:
                front.session_core.lost(front_session)
                return

    # ---- troubles

    def _affected(self, trouble: Trouble, rng: Random) -> list[Place]:
        if trouble.kind in ("list-stuck", "notes-late"):
            return []
        able = [place for place in self.places if not place.busy and not place.server.dead]
        count = min(len(able), max(1, math.floor(trouble.part * len(self.places) + 0.5)))
        affected = rng.sample(able, count)
        for place in affected:
            place.busy = True
        return affected

    def _later(self, seconds: float, call: Callable, *args) -> None:
        self.queue.at(self.queue.now + int(seconds * NS), call, *args)

    def _befall(self, trouble: Trouble, rng: Random) -> None:
        affected = self._affected(trouble, rng)
        self.record_event(
            "trouble",
            kind=trouble.kind,
            lasts=trouble.lasts,
            size=trouble.size,
            servers=[place.server.name for place in affected],
        )
        getattr(self, "_" + trouble.kind.replace("-", "_"))(trouble, affected, rng)

    def _free(self, affected: list[Place]) -> None:
        for place in affected:
            place.busy = False

    def _back(self, place: Place, name: str, tell: bool = True) -> None:
        self._start(place, self.queue.now, name, tell)

    def _crash(self, trouble, affected, rng):
        for place in affected:
            old = place.server
            self.die(old)
            self.listing.knows(self._row(old, "off"))
            self._later(trouble.lasts, self._back, place, old.name)
        self._later(trouble.lasts, self._free, affected)

    def _vanish(self, trouble, affected, rng):
        for place in affected:
            place.server.freeze()
            self.listing.knows(self._row(place.server, "off"))
            self._later(trouble.lasts, self._vanished_back, place)
        self._later(trouble.lasts + 0.1, self._free, affected)

    def _vanished_back(self, place: Place) -> None:
        old = place.server
        self.die(old)
        self._later(0.1, self._back, place, old.name)

    def _cold_restart(self, trouble, affected, rng):
        for place in affected:
            old = place.server
            self.die(old)
            self._later(0.1, self._back, place, old.name, rng.random() < 0.5)
        self._later(trouble.lasts, self._free, affected)

    def _for_a_while(self, trouble, affected, name: str, value, rest) -> None:
        servers = [place.server for place in affected]
        for server in servers:
            setattr(server, name, value)

        def over() -> None:
            for server in servers:
                setattr(server, name, rest)
            self._free(affected)

        self._later(trouble.lasts, over)

    def _hang(self, trouble, affected, rng):
        servers = [place.server for place in affected]
        for server in servers:
            server.freeze()

        def over() -> None:
            for server in servers:
                if not server.dead:
                    server.thaw()
            self._free(affected)

        self._later(trouble.lasts, over)

    def _fast_errors(self, trouble, affected, rng):
        self._for_a_while(trouble, affected, "fails_fast", True, False)

    def _answer_lost(self, trouble, affected, rng):
        self._for_a_while(trouble, affected, "loses_answers", rng.choice(("silence", "reset")), "")

    def _slow(self, trouble, affected, rng):
        for place in affected:
            place.link.shrunk = trouble.size

        def over() -> None:
            for place in affected:
                place.link.shrunk = 1.0
            self._free(affected)

        self._later(trouble.lasts, over)

    def _neighbour(self, trouble, affected, rng):
        ends = self.queue.now + int(trouble.lasts * NS)

        def rival() -> None:
            on = self.queue.now < ends
            for place in affected:
                place.link.taken = trouble.size if on and rng.random() < 0.6 else 0.0
            if on:
                self._later(RIVAL_PACE, rival)
            else:
                self._free(affected)

        rival()

    def _replace(self, place: Place, drain_for: float) -> None:
        old = place.server
        old.draining = True
        self.listing.knows(self._row(old, "fading"))
        ends = self.queue.now + int(drain_for * NS)

        def look() -> None:
            if (old.sessions or old.waiting or old.in_progress) and self.queue.now < ends and not old.dead:
                self._later(0.1, look)
                return
            self.die(old)
            self.listing.knows(self._row(old, "off"))
            self._later(0.2, self._back, place, "")

        look()

    def _deploy(self, trouble, affected, rng):
        pause = trouble.lasts / max(1, len(affected))
        for number, place in enumerate(affected):
            self._later(pause * number, self._replace, place, DRAIN_FOR)
        self._later(trouble.lasts + DRAIN_FOR, self._free, affected)

    def _preempt(self, trouble, affected, rng):
        for place in affected:
            self._replace(place, PREEMPT_FOR)
        self._later(trouble.lasts, self._free, affected)

    def _list_stuck(self, trouble, affected, rng):
        self.listing.stuck = True

        def over() -> None:
            self.listing.stuck = False
            self.listing.look()

        self._later(trouble.lasts, over)

    def _notes_late(self, trouble, affected, rng):
        servers = list(self.machines.values())
        for server in servers:
            server.notes_late = trouble.size

        def over() -> None:
            for server in servers:
                server.notes_late = 0.0

        self._later(trouble.lasts, over)

    def _front_trouble(self, trouble: Trouble, rng: Random) -> None:
        count = max(1, round(trouble.part * len(self.fronts)))
        affected = rng.sample(range(len(self.fronts)), count)
        self.record_event(
            "trouble",
            kind=trouble.kind,
            lasts=trouble.lasts,
            fronts=[self.site.front_addresses[number].name for number in affected],
        )
        if trouble.kind == "front-crash":
            for number in affected:
                front = self.fronts[number]
                if front is not None and front.alive:
                    self.kill_front(front)
                    self._later(trouble.lasts + STARTS_IN, self.start_front, number)
            return

        def roll(rest: list[int]) -> None:
            if not rest:
                return
            front, began = self.fronts[rest[0]], self.queue.now

            def next_one() -> None:
                due = began + int(trouble.lasts / count * NS)
                self.queue.at(max(due, self.queue.now), roll, rest[1:])

            def start() -> None:
                self._later(STARTS_IN, self.start_front, rest[0])
                next_one()

            if front is None or not front.alive:
                next_one()
            else:
                self.end_front(front, start)

        roll(affected)
