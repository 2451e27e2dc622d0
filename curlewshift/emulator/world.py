"""A whole deployment in virtual time: servers, racks, server list, network, fronts and viewers, driven by a script.

The script is that of a fault injection run. A seed determines the run completely, in any process. `World(...).run()` runs
the script; if `traffic` is given, events are recorded in the format of the stand-ins, so that the same verdict judges both.
All figures are simulated. A life is one run of a front's process; the boot of a media server is the same.
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
# Virtual time at which the emulation starts, in ns.
START = 10_000 * NS
# Time before the first arrival and time after the last one, in ns.
SETTLE, RUN_OUT = 2 * NS, 6 * NS
# Range of the one-way delay of a message in ns: that of loopback, including the processing at both ends.
ONE_WAY_DELAY = (0.4 * MS, 1.6 * MS)
# Time to start the process of a front in s, on a machine with other load.
FRONT_START_TIME = 1.0
# Retransmission time-out of a lost message in ns (RFC 6298, section 2.4 has 1 s; the minimum of Linux is 0.2 s).
RETRANSMIT_AFTER = 200 * MS
# Maximum number of events per expected viewing; a run with more is taken to be endless.
MAX_EVENTS_PER_VIEWING = 20_000


class Place:
    """A shelf of a rack: servers on it are replaced, its link stays. `busy` while a fault affects it."""

    def __init__(self, machine, link: LinkModel):
        self.machine, self.link, self.server, self.busy, self.lives = machine, link, None, False, 0


class Listing:
    """The server list: it tracks which server processes run, and announces changes late and in order."""

    def __init__(self, world, rng: Random):
        self.world, self.rng = world, rng
        self.rows: dict[str, ServerEntry] = {}
        self.generation, self.stuck = 0, False
        self.pending: deque[tuple[int, ServerEntry]] = deque()

    def begin(self, rows: list[ServerEntry]) -> None:
        self.rows = {row.server: row for row in rows}

    def add_change(self, row: ServerEntry) -> None:
        due = self.world.queue.now + int(self.rng.uniform(*LATE) * NS)
        if self.pending:
            due = max(due, self.pending[-1][0])
        self.pending.append((due, row))
        self.world.queue.at(due, self.announce_due)

    def announce_due(self) -> None:
        """Sends the changes that are due to all fronts, unless the list is stuck."""
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
                    # one stream per front: updates arrive in the order in which they were sent
                    front.list_at = max(front.list_at, self.world.queue.now + self.world.message_delay())
                    self.world.queue.at(front.list_at, self._deliver_change, front, self.generation, due)

    def _deliver_change(self, front, generation: int, rows: list[ServerEntry]) -> None:
        if not front.alive or front.generation < 0:
            return
        for row in rows:
            self.world.record_event("told", front=front.name, server=row.server, state=row.state, started=row.started // MS)
        front.disk.rows = list(self.rows.values())
        if generation > front.generation:
            since, front.generation = front.generation, generation
            front.session_core.list_change("e", since, generation, rows)
            front.recovery.list_changed()

    def send_full(self, front) -> None:
        """Sends the full list, which a front requests when it starts."""
        self.world.queue.at(self.world.queue.now + 2 * self.world.message_delay(), self._deliver_full, front)

    def _deliver_full(self, front) -> None:
        if front.alive:
            rows = list(self.rows.values())
            for row in rows if self.world.traffic is not None else ():
                self.world.record_event("told", front=front.name, server=row.server, state=row.state, started=row.started // MS)
            self.world.record_event("told-all", front=front.name, servers=[row.server for row in rows])
            front.generation, front.disk.rows = self.generation, rows
            front.session_core.list_full("e", self.generation, rows)
            front.recovery.list_changed()


class World:
    """`across` is the additional one-way delay between zones (ns), `loss` the fraction of messages that are retransmitted, `skew`
    the exponent of the Zipf distribution of titles, and `curve(fraction of the run)` a factor on the arrival rate. `rules` may
    be a baseline, `fault` the name of a planted fault. With `forget`, session registries are lost on restarts."""

    def __init__(
        self,
        script: Script,
        seed: int,
        traffic: list | None = None,
        rules: type[Rules] = Rules,
        fault: str = "",
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
        # changes of admission levels: time (ns), front, zone, new level
        self.levels: list[tuple[int, str, str, int]] = []
        self.script, self.site, self.traffic, self.rules, self.fault = script, script.site, traffic, rules, fault
        self.forget, self.across, self.loss, self.skew, self.curve = forget, across, loss, skew, curve
        self.setup_work, self.seed = setup_work, seed
        self.queue = Buckets(START) if queue is None else queue
        self.begins = START + SETTLE
        self.rng, self.fault_rng, self.network_rng = Random(seed), Random(seed + 1), Random(seed + 2)
        self.ladder = {package.name: package.rates for package in self.site.packages}
        uplinks = {name: Uplink(size) for name, size in self.site.uplinks.items()}
        self.places = []
        for machine in self.site.machines:
            link = LinkModel(machine.link * self.rng.uniform(1 - LINK_OFF, 1 + LINK_OFF), uplinks[machine.rack])
            link.uplink.links.append(link)
            self.places.append(Place(machine, link))
        # the running server at each address
        self.machines: dict[str, Machine] = {}
        self.listing = Listing(self, Random(seed + 3))
        self.addresses = 0
        for place in self.places:
            self._start(place, START - int(LONG_AGO), listed=False)
        self.listing.begin([self._row(place.server, "on") for place in self.places])
        self.disks = [Disk() for _ in self.site.front_addresses]
        self.lives = [0] * len(self.site.front_addresses)
        self.fronts: list[EmulatedFront | None] = [None] * len(self.site.front_addresses)
        self.front_numbers = {address.name: number for number, address in enumerate(self.site.front_addresses)}
        # names of the fronts that run, as each front knows its peers
        self.running_fronts: list[str] = []
        self.last_seen: dict[str, int] = {}
        self.viewers = Viewers(self, seed)
        self.events = 0
        # samples, one per second: time (s), use of all links as a fraction, viewings that play, their mean rung, and how many
        # of them get less than their rate
        self.use: list[tuple[float, float, float, float, float]] = []

    # ---- network and recorded events

    def record_event(self, ev: str, **facts) -> None:
        if self.traffic is not None:
            self.traffic.append({"ev": ev, "at": self.queue.now, **facts})

    def zone_of_front(self, number: int) -> str:
        zones = sorted({machine.zone for machine in self.site.machines})
        return zones[number % len(zones)]

    def message_delay(self, front=None, machine: Machine | None = None) -> int:
        """The one-way delay of a message (ns)."""
        delay = self.network_rng.uniform(*ONE_WAY_DELAY)
        if front is not None and machine is not None and front.zone != machine.machine.zone:
            delay += self.across
        if self.loss and self.network_rng.random() < self.loss:
            delay += RETRANSMIT_AFTER
        return int(delay)

    def to_server(self, front, machine: Machine | None, call: Callable, *args) -> None:
        self.queue.at(self.queue.now + self.message_delay(front, machine), call, machine, *args)

    def from_server(self, front, machine: Machine, call: Callable, *args) -> None:
        self.queue.at(self.queue.now + self.message_delay(front, machine), call, *args)

    # ---- the run

    def run(self) -> None:
        """Raises `EventLimitExceeded` if the run has too many events."""
        for number in range(len(self.site.front_addresses)):
            self.queue.at(START, self.start_front, number)
        self.queue.at(START, self._measure)
        self.queue.at(self._next(SHORT_EVERY), self._send_short_notes)
        self.queue.at(self._next(self.site.obligations.told_every / NS), self._send_load_reports)
        self.queue.at(START, self._media)
        self.queue.at(self.begins, self._begin)
        expected = self.script.each_second * self.script.lasts * 3 + 100
        ends = self.begins + int(self.script.lasts * NS) + RUN_OUT
        self.ends_at = ends
        self.events = self.queue.run(ends, int(MAX_EVENTS_PER_VIEWING * expected) + 10_000_000)
        for front in self.fronts:
            if front is not None and front.alive:
                self.record_event("front-down", front=front.address_name, life=front.name, how="ended")

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
                call = self._inject_front_fault if trouble.kind in OF_FRONTS else self._inject
                self.queue.at(at, call, trouble, Random(self.fault_rng.random()))

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
            self.fault,
        )
        self.fronts[number] = front
        if front.address_name not in self.running_fronts:
            self.running_fronts.append(front.address_name)
        self.record_event("front-up", front=front.address_name, life=front.name)
        self.listing.send_full(front)
        for name, machine in self.machines.items():
            front.boots[name] = machine.boot
            self.record_event("notes-open", server=name, boot=machine.boot, front=front.name)

    def kill_front(self, front: EmulatedFront) -> None:
        self.last_seen[front.name] = self.queue.now
        self.record_event("front-down", front=front.address_name, life=front.name, how="killed")
        self._notes_end(front)
        self.running_fronts.remove(front.address_name)
        front.kill()
        self.viewers.front_died(front)

    def end_front(self, front: EmulatedFront, on_exit: Callable[[], None]) -> None:
        """Shuts a front down: it drains, answers waiting requests, ends its sessions and exits. Then `on_exit` is called."""
        front.session_core.drain()
        self.queue.at(self.queue.now + 50 * MS, self._shut_down, front, on_exit, self.queue.now + 8 * NS)

    def _shut_down(self, front: EmulatedFront, on_exit, until: int) -> None:
        if front.session_core.waiting and self.queue.now < until:
            self.queue.at(self.queue.now + 50 * MS, self._shut_down, front, on_exit, until)
            return
        for front_session in list(front.session_core.front_sessions.values()):
            front.closed(front_session)
        self.queue.at(self.queue.now + 100 * MS, self._exit, front, on_exit)

    def _exit(self, front: EmulatedFront, on_exit) -> None:
        self.last_seen[front.name] = self.queue.now
        self.record_event("front-down", front=front.address_name, life=front.name, how="ended")
        self._notes_end(front)
        front.alive = False
        self.viewers.front_died(front)
        on_exit()

    def _notes_end(self, front: EmulatedFront) -> None:
        for name, machine in self.machines.items() if self.traffic is not None else ():
            self.record_event("notes-end", server=name, boot=machine.boot, front=front.name)

    def last_seen_at(self, life: str) -> int:
        return self.last_seen.get(life, self.queue.now)

    # ---- servers

    def _start(self, place: Place, started_at: int, name: str = "", listed: bool = True) -> None:
        place.lives += 1
        if not name:
            self.addresses += 1
            name = f"127.0.0.1:{20_000 + self.addresses}"
        server = place.server = Machine(self, place.machine, name, place.link, started_at, Random(self.rng.random()))
        self.machines[name] = server
        server.measure()
        if listed:
            self.listing.add_change(self._row(server, "on"))
        for front in getattr(self, "fronts", ()):
            if front is not None and front.alive:
                self.queue.at(self.queue.now + 200 * MS, self._notes_opened, front, server)

    def _notes_opened(self, front, server: Machine) -> None:
        """The stream of notifications is open; its first message says which boot of the server sends it."""
        if not front.alive or server.dead:
            return
        self.record_event("notes-open", server=server.name, boot=server.boot, front=front.name)
        known, front.boots[server.name] = front.boots.get(server.name), server.boot
        listed_server = front.session_core.server_list.servers.get(server.name)
        front._append_record(front.book.boot(server.name, server.boot))
        if known is not None and known != server.boot and listed_server is not None:
            front.session_core.restarted(listed_server)

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
                self.queue.at(self.queue.now + self.message_delay(front, server), self._notes_broke, front, server.name)

    def _notes_broke(self, front, name: str) -> None:
        listed_server = front.session_core.server_list.servers.get(name) if front.alive else None
        if listed_server is not None:
            front.session_core.notes_broke(listed_server)
            # the front reconnects soon; if nothing listens at the address, the sessions there are lost
            self.queue.at(self.queue.now + int(self.network_rng.uniform(0.1, 0.2) * NS), self._reconnect, front, name)

    def _reconnect(self, front, name: str) -> None:
        listed_server = front.session_core.server_list.servers.get(name) if front.alive else None
        if listed_server is not None and name not in self.machines and listed_server.link.playing:
            front.session_core.server_lost(listed_server)

    def fell_over(self, server: Machine) -> None:
        self.die(server)
        self.listing.add_change(self._row(server, "off"))

    # ---- periodic events

    def _next(self, every: float) -> int:
        step = int(every * NS)
        return (self.queue.now // step + 1) * step

    def _measure(self) -> None:
        for server in self.machines.values():
            server.measure()
        self.queue.at(self.queue.now + int(REPORT_EVERY * NS), self._measure)

    def _lives(self) -> dict[str, EmulatedFront]:
        return {front.name: front for front in self.fronts if front is not None and front.alive}

    def _send_load_reports(self) -> None:
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
                    self.queue.at(
                        self.queue.now + self.message_delay(front, server), self._deliver_report, front, server.name, report
                    )
        self.queue.at(self._next(self.site.obligations.told_every / NS), self._send_load_reports)

    @staticmethod
    def _deliver_report(front, name: str, report: dict) -> None:
        listed_server = front.session_core.server_list.servers.get(name) if front.alive else None
        if listed_server is not None:
            front.session_core.told(listed_server, report)

    def _send_short_notes(self) -> None:
        lives = self._lives()
        for server in self.machines.values():
            if server.frozen or not (server.by_life or server.notified_short):
                continue
            short, share = server.is_short(), server.delayed_measurement()[3]
            for life in {*(server.by_life if short else ()), *server.notified_short}:
                front = lives.get(life)
                if front is not None:
                    self.queue.at(
                        self.queue.now + self.message_delay(front, server), self._deliver_share, front, server.name, share
                    )
            server.notified_short = set(server.by_life) if short else set()
        self.queue.at(self._next(SHORT_EVERY), self._send_short_notes)
        self._sample()

    @staticmethod
    def _deliver_share(front, name: str, share: float) -> None:
        listed_server = front.session_core.server_list.servers.get(name) if front.alive else None
        if listed_server is not None:
            front.session_core.delivered(listed_server, share)

    def _sample(self) -> None:
        """Records the use of the links and the rungs of the viewings that play; called once a second."""
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
        """Delivers half a second of media; viewers who get too little for too long leave."""
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
            self.queue.at(
                self.queue.now + self.message_delay(front, server), self._session_ended, front, server.name, session.path
            )

    @staticmethod
    def _session_ended(front, name: str, path: str) -> None:
        listed_server = front.session_core.server_list.servers.get(name) if front.alive else None
        if listed_server is None:
            return
        for viewing in listed_server.link.playing:
            front_session = front.session_core.front_sessions[viewing]
            if front_session.session == path:
                front.session_core.lost(front_session)
                return

    # ---- faults of the script; the methods are called by the name of the kind

    def _affected(self, trouble: Trouble, rng: Random) -> list[Place]:
        if trouble.kind in ("list-stuck", "notes-late"):
            return []
        available = [place for place in self.places if not place.busy and not place.server.dead]
        count = min(len(available), max(1, math.floor(trouble.part * len(self.places) + 0.5)))
        affected = rng.sample(available, count)
        for place in affected:
            place.busy = True
        return affected

    def _later(self, seconds: float, call: Callable, *args) -> None:
        self.queue.at(self.queue.now + int(seconds * NS), call, *args)

    def _inject(self, trouble: Trouble, rng: Random) -> None:
        """Records the fault, and calls the method of its kind."""
        affected = self._affected(trouble, rng)
        self.record_event(
            "trouble",
            kind=trouble.kind,
            lasts=trouble.lasts,
            size=trouble.size,
            servers=[place.server.name for place in affected],
        )
        getattr(self, "_" + trouble.kind.replace("-", "_"))(trouble, affected, rng)

    def _release(self, affected: list[Place]) -> None:
        for place in affected:
            place.busy = False

    def _restart(self, place: Place, name: str, listed: bool = True) -> None:
        self._start(place, self.queue.now, name, listed)

    def _crash(self, trouble, affected, rng):
        for place in affected:
            old = place.server
            self.die(old)
            self.listing.add_change(self._row(old, "off"))
            self._later(trouble.lasts, self._restart, place, old.name)
        self._later(trouble.lasts, self._release, affected)

    def _vanish(self, trouble, affected, rng):
        for place in affected:
            place.server.freeze()
            self.listing.add_change(self._row(place.server, "off"))
            self._later(trouble.lasts, self._restart_vanished, place)
        self._later(trouble.lasts + 0.1, self._release, affected)

    def _restart_vanished(self, place: Place) -> None:
        old = place.server
        self.die(old)
        self._later(0.1, self._restart, place, old.name)

    def _cold_restart(self, trouble, affected, rng):
        for place in affected:
            old = place.server
            self.die(old)
            self._later(0.1, self._restart, place, old.name, rng.random() < 0.5)
        self._later(trouble.lasts, self._release, affected)

    def _set_during(self, trouble, affected, attribute: str, value, normal_value) -> None:
        servers = [place.server for place in affected]
        for server in servers:
            setattr(server, attribute, value)

        def end() -> None:
            for server in servers:
                setattr(server, attribute, normal_value)
            self._release(affected)

        self._later(trouble.lasts, end)

    def _hang(self, trouble, affected, rng):
        servers = [place.server for place in affected]
        for server in servers:
            server.freeze()

        def end() -> None:
            for server in servers:
                if not server.dead:
                    server.thaw()
            self._release(affected)

        self._later(trouble.lasts, end)

    def _fast_errors(self, trouble, affected, rng):
        self._set_during(trouble, affected, "fails_fast", True, False)

    def _answer_lost(self, trouble, affected, rng):
        self._set_during(trouble, affected, "loses_answers", rng.choice(("silence", "reset")), "")

    def _slow(self, trouble, affected, rng):
        for place in affected:
            place.link.shrunk = trouble.size

        def end() -> None:
            for place in affected:
                place.link.shrunk = 1.0
            self._release(affected)

        self._later(trouble.lasts, end)

    def _neighbour(self, trouble, affected, rng):
        ends = self.queue.now + int(trouble.lasts * NS)

        def change_rival_traffic() -> None:
            on = self.queue.now < ends
            for place in affected:
                place.link.taken = trouble.size if on and rng.random() < 0.6 else 0.0
            if on:
                self._later(RIVAL_PACE, change_rival_traffic)
            else:
                self._release(affected)

        change_rival_traffic()

    def _replace(self, place: Place, drain_for: float) -> None:
        old = place.server
        old.draining = True
        self.listing.add_change(self._row(old, "fading"))
        ends = self.queue.now + int(drain_for * NS)

        def check_drained() -> None:
            if (old.sessions or old.waiting or old.in_progress) and self.queue.now < ends and not old.dead:
                self._later(0.1, check_drained)
                return
            self.die(old)
            self.listing.add_change(self._row(old, "off"))
            self._later(0.2, self._restart, place, "")

        check_drained()

    def _deploy(self, trouble, affected, rng):
        pause = trouble.lasts / max(1, len(affected))
        for number, place in enumerate(affected):
            self._later(pause * number, self._replace, place, DRAIN_FOR)
        self._later(trouble.lasts + DRAIN_FOR, self._release, affected)

    def _preempt(self, trouble, affected, rng):
        for place in affected:
            self._replace(place, PREEMPT_FOR)
        self._later(trouble.lasts, self._release, affected)

    def _list_stuck(self, trouble, affected, rng):
        self.listing.stuck = True

        def end() -> None:
            self.listing.stuck = False
            self.listing.announce_due()

        self._later(trouble.lasts, end)

    def _notes_late(self, trouble, affected, rng):
        servers = list(self.machines.values())
        for server in servers:
            server.notes_late = trouble.size

        def end() -> None:
            for server in servers:
                server.notes_late = 0.0

        self._later(trouble.lasts, end)

    def _inject_front_fault(self, trouble: Trouble, rng: Random) -> None:
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
                    self._later(trouble.lasts + FRONT_START_TIME, self.start_front, number)
            return

        def restart_next(remaining: list[int]) -> None:
            if not remaining:
                return
            front, started_at = self.fronts[remaining[0]], self.queue.now

            def schedule_next() -> None:
                due = started_at + int(trouble.lasts / count * NS)
                self.queue.at(max(due, self.queue.now), restart_next, remaining[1:])

            def start() -> None:
                self._later(FRONT_START_TIME, self.start_front, remaining[0])
                schedule_next()

            if front is None or not front.alive:
                schedule_next()
            else:
                self.end_front(front, start)

        restart_next(affected)
