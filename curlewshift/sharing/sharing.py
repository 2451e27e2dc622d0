"""One front's part in sharing: loans of rights, counts of use, and evidence on media servers. Free of I/O.

Driven by peering/shared.py on sockets and by the emulator; both call `time` once each `every`, pass on received messages, and
carry out what is called on `driver`. It reads the facts that the rules (the policy) hold about servers and links, and provides
facts that the rules read.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Protocol

from curlewshift.model import Server
from curlewshift.schedule.steady_clock import SteadyClock
from curlewshift.sharing.budgets import FURTHER, SEAT, FurtherTuneIns, Pool, Seats
from curlewshift.sharing.clock_watch import ClockWatch
from curlewshift.sharing.counts import RESEND_ROUNDS, Counts, pick_by_rendezvous
from curlewshift.sharing.evidence import FADE_NS, Evidence
from curlewshift.sharing.loans import Loans, initial_share
from curlewshift.sharing.renewable_loans import RenewableLoans
from curlewshift.sharing.terms import SharedBudgets, SharingTerms

# Maximum rows of one message; rows of use are fewer, as the answer has longer rows. Each round, observations go to so many random
# peers, those of servers found bad first.
MAX_ROWS, MAX_USE_ROWS = 16, 12
EVIDENCE_FANOUT = 3
# A front that starts asks so many peers for all that they have observed; each answers with at most so many servers.
LEARN_FANOUT, MAX_LEARNED_ROWS = 3, 256
# Links this front does not use itself whose use by others it requests in one round.
MAX_UNUSED_LINKS = 64
UPLINK = "uplink "


class Driver(Protocol):
    """What `Sharing` calls on its environment: clock, messages to peers, facts of the rules and facts for them."""

    def now(self) -> int: ...
    def servers(self) -> Iterable[Server]: ...
    def rights_of(self, server: Server) -> int: ...
    def members(self) -> list[str]: ...
    def ask(self, to: str, number: int, keys: list[str]) -> None: ...
    def lend(self, to: str, number: int, rights: list[tuple[str, int]]) -> None: ...
    def give_back_to(self, to: str, number: int, key: str) -> None: ...
    def send_use(self, to: str, rows: list[tuple[str, float]]) -> None: ...
    def send_sums(self, to: str, rows: list[tuple[str, float, int, float, int]]) -> None: ...
    def send_link_report(self, to: str, rows: list[tuple[str, float]]) -> None: ...
    def link_reported(self, server: Server, use: float) -> None: ...
    def send_observations(self, to: str, rows: list[tuple[str, float, float, int]]) -> None: ...
    def rights_held(self, server: Server, rights: list) -> None: ...
    def doubted(self, server: Server, doubted: bool) -> None: ...
    def counted(self, server: Server, use: float, age: int) -> None: ...
    def seen_warm(self, server: Server) -> None: ...
    def clock_off(self, by: float, out: bool) -> None: ...
    def uplink_counted(self, server: Server, use: float, age: int) -> None: ...
    def further_wanted_at(self) -> int: ...
    def further_held(self, rights: list) -> None: ...
    def seats_wanted_at(self) -> dict[tuple[str, str], int]: ...
    def seats_in_use(self, package: str, title: str) -> int: ...
    def seats_ending(self, package: str, title: str) -> bool: ...
    def seats_held(self, package: str, title: str, rights: list) -> None: ...
    def seats_over(self, package: str, title: str, count: int) -> None: ...
    def request_observations(self, to: str) -> None: ...


class OwnObservations:
    """This front's own recent observations of one server: faded counts of good and bad signs, and `since` when (steady ns) it has
    answered without a failure; -1 while it has not."""

    __slots__ = ("at", "bad", "fault_at", "good", "last_seen_at", "since")

    def __init__(self, now: int):
        self.good = self.bad = 0.0
        self.at, self.since = now, -1
        self.last_seen_at = self.fault_at = 0


class Sharing:
    """One front's part in sharing. `order` are the fronts' names as in the settings, the same at every front; `local_index` is
    this front's index in it. `life` is the channel's (one run of a process, numbered; a restart is a new life). `warm_within`
    (ns) is how long a server takes to get warm. `together` are the budgets shared by all fronts, besides those of cold
    servers."""

    loans_class, seats_class, evidence_class = Loans, RenewableLoans, Evidence

    def __init__(
        self,
        driver: Driver,
        order: list[str],
        local_index: int,
        life: int,
        terms: SharingTerms,
        warm_within: int,
        rng: Random,
        together: SharedBudgets = SharedBudgets(),
    ):
        self.driver, self.order, self.local_index, self.life, self.terms = driver, order, local_index, life, terms
        self.warm_within, self.rng = warm_within, rng
        self.number_of = {name: number for number, name in enumerate(order)}
        self.name = order[local_index]
        self.loans = self.loans_class(self, local_index, terms, rng.getrandbits(40))
        self.pools: dict[str, Pool] = {}
        if together.free is not None:
            self.pools[FURTHER] = FurtherTuneIns(self, together.further_terms(terms), together.free, self.loans_class)
        if together.seats:
            self.pools[SEAT] = Seats(self, together.seat_terms(terms), together.titles, together.seats, self.seats_class)
        self.counts = Counts(self.name, terms)
        self.evidence = self.evidence_class(self.name, terms)
        self.clocks = ClockWatch(terms.drift)
        self.steady = SteadyClock(driver.now(), terms.window)
        self.started_at = self.steady.last
        self.own_observations: dict[Server, OwnObservations] = {}
        self.servers: dict[str, Server] = {}
        self.wanted_at: dict[Server, int] = {}
        self.rotation = rng.randrange(1 << 16)
        self.clock_off = False
        self.reported_at: dict[str, int] = {}
        self.asked_peers: set[str] = set()
        self.answered_peers: set[str] = set()

    # ---- each `every`

    def time(self) -> None:
        now = self._now()
        servers = {server.name: server for server in self.driver.servers()}
        peers = [name for name in self.driver.members() if name in self.number_of and name != self.name]
        self._check_clock(set(peers))
        if SEAT in self.pools:
            # first, so that no error in a later step keeps sessions without a right from being ended
            self.pools[SEAT].loans.end_overdue()
        self._lend_and_borrow(servers, peers)
        self._send_use(servers, peers, now)
        self._observe_servers(servers, now)
        self._send_observations(servers, peers, now)
        self._apply_evidence(servers, now)
        self.counts.forget(now)
        self.evidence.forget(now)

    def _check_clock(self, peers: set[str]) -> None:
        self.clocks.forget(peers)
        if self.clocks.past_bound() is not self.clock_off:
            self.clock_off = not self.clock_off
            for loans in (self.loans, *(pool.loans for pool in self.pools.values())):
                loans.withdraw(self.clock_off)
            self.driver.clock_off(self.clocks.relative_rate(), self.clock_off)

    # ---- rights

    def _lend_and_borrow(self, servers: dict[str, Server], peers: list[str]) -> None:
        for server in servers.values():
            if server.rights_wanted_at != self.wanted_at.get(server, 0):
                self.wanted_at[server] = server.rights_wanted_at
                self.loans.wants(server.name)
        self.servers = servers
        self.rotation += self.terms.max_requests
        present = {self.number_of[name] for name in peers}
        self.loans.time(lambda key: self._owners(key, present))
        for pool in self.pools.values():
            pool.time(present, self.rotation)
        self._update_rights(servers.values())
        if len(self.reported_at) > 2 * len(servers) + 64:
            self.reported_at = {key: at for key, at in self.reported_at.items() if key in servers}
        if len(self.wanted_at) > 2 * len(servers) + 64:
            self.wanted_at = {server: at for server, at in self.wanted_at.items() if server.name in servers}

    def _owners(self, key: str, present: set[int]) -> list[int]:
        """Present fronts with a share of this budget, rotated each round so that each is asked in turn."""
        server, fronts = self.servers.get(key), len(self.order)
        if server is None:
            return []
        rights = self.driver.rights_of(server)
        owners = [number for number in present if initial_share(rights, number, fronts, server.placement_hash)]
        start = (self.rotation + server.placement_hash) % len(owners) if owners else 0
        return owners[start:] + owners[:start]

    def part(self, key: str) -> int:
        server = self.servers.get(key)
        return (
            initial_share(self.driver.rights_of(server), self.local_index, len(self.order), server.placement_hash)
            if server is not None
            else 0
        )

    def _update_rights(self, servers: Iterable[Server]) -> None:
        """Passes on to the rules how many rights this front has, from when and until when."""
        for server in servers:
            rights = self.loans.in_hand(server.name)
            if rights != server.rights:
                self.driver.rights_held(server, rights)

    def sent(self, server: Server, further: bool = False) -> None:
        """A set-up is sent to this server now; `further` if it is not the first tune-in (set-up attempt) of its viewing."""
        self.loans.uses(server.name)
        if further and FURTHER in self.pools:
            self.pools[FURTHER].loans.uses(FURTHER)

    def _pool(self, key: str) -> Pool | None:
        """The budget this key belongs to; None for a server's."""
        return self.pools.get(SEAT if key.startswith(SEAT) else key)

    def ask(self, lender: int, number: int, keys: list[str]) -> None:
        self.driver.ask(self.order[lender], number, keys)

    def lend(self, borrower: int, number: int, rights: list[tuple[str, int]]) -> None:
        self.driver.lend(self.order[borrower], number, rights)

    def give_back(self, lender: int, number: int, key: str) -> None:
        self.driver.give_back_to(self.order[lender], number, key)

    def loan_returned(self, by: str, number: int, key: str) -> None:
        if by in self.number_of:
            pool = self._pool(key)
            (pool.loans if pool is not None else self.loans).loan_returned(self.number_of[by], number, key)

    def now(self) -> int:
        return self.driver.now()

    def loan_requested(self, by: str, life: int, number: int, keys: list[str]) -> None:
        """Handles a request for rights; all keys of one request belong to one budget."""
        if by not in self.number_of or not keys:
            return
        pool = self._pool(keys[0])
        if pool is not None:
            pool.loans.loan_requested(self.number_of[by], number, [key for key in keys if self._pool(key) is pool], life)
            pool.write([key for key in keys if key in pool.announced])
            return
        self.loans.loan_requested(self.number_of[by], number, keys)
        # the rights are lent from this moment on, not from the next round
        self._update_rights(self.servers[key] for key in keys if key in self.servers)

    def lent(self, by: str, number: int, rights: list[tuple[str, int]]) -> None:
        if by not in self.number_of or not rights:
            return
        pool = self._pool(rights[0][0])
        if pool is not None:
            pool.loans.loan_received(self.number_of[by], number, rights)
            pool.write([key for key, _ in rights if key in pool.announced])
            return
        self.loans.loan_received(self.number_of[by], number, rights)
        self._update_rights(self.servers[key] for key, _ in rights if key in self.servers)

    # ---- counts

    def _send_use(self, servers: dict[str, Server], peers: list[str], now: int) -> None:
        counts = self.counts
        # the links whose use by others is of interest: those in use here, and a rotating part of the rest, as this front may
        # place a viewing there next
        used = [server for server in servers.values() if server.link.own > 0]
        rest = [server for server in servers.values() if server.link.own <= 0]
        if rest:
            start = counts.round * MAX_UNUSED_LINKS // RESEND_ROUNDS % len(rest)
            used += (rest[start:] + rest[:start])[:MAX_UNUSED_LINKS]
        interest = {server.name: server.link.own for server in used}
        # uplinks are counted as links are: fronts err most on what several servers share, as each front knows only some of them
        interest |= {UPLINK + server.rack.name: server.rack.link.own for server in used if server.rack.name}
        counts.set_own_use(interest)
        by_adder: dict[str, list[tuple[str, float]]] = {}
        candidates = [*peers, self.name]
        for key, value in counts.rows_due():
            by_adder.setdefault(pick_by_rendezvous(key, candidates), []).append((key, value))
        for adder, rows in by_adder.items():
            for offset in range(0, len(rows), MAX_USE_ROWS):
                batch = rows[offset : offset + MAX_USE_ROWS]
                if adder == self.name:
                    counts.use_received(self.name, self.life, self.counts.round, batch, now)
                    counts.sums_received(
                        self.name,
                        self.life,
                        self.counts.round * 1000 + offset,
                        counts.sums(self.name, [key for key, _ in batch], now),
                        now,
                    )
                else:
                    self.driver.send_use(adder, batch)

    def receive_use(self, by: str, life: int, number: int, rows: list[tuple[str, float]]) -> None:
        """A peer reported its own use; it is answered with the use by all others."""
        now = self._now()
        self.counts.use_received(by, life, number, rows, now)
        self.driver.send_sums(by, self.counts.sums(by, [key for key, _ in rows], now))

    def receive_sums(self, by: str, life: int, number: int, rows: list[tuple[str, float, int, float, int]]) -> None:
        self.counts.sums_received(by, life, number, rows, self._now())

    def link_probed_for_all(self, server: Server, use: float) -> None:
        """This front probes the server for all fronts and learned the use of its link; the report goes out with the sums."""
        names = [name for name in self.driver.members() if name in self.number_of]
        adder = pick_by_rendezvous(server.name, [*{*names, self.name}])
        if adder == self.name:
            self.counts.link_use_reported(server.name, use, self._now())
        else:
            self.driver.send_link_report(adder, [(server.name, use)])

    def receive_link_report(self, by: str, rows: list[tuple[str, float]]) -> None:
        now = self._now()
        for key, use in rows:
            self.counts.link_use_reported(key, use, now)

    # ---- evidence

    def _observe_servers(self, servers: dict[str, Server], now: int) -> None:
        """Counts good and bad signs from what the rules know of each server."""
        for server in [server for server in self.own_observations if server.name not in servers]:
            del self.own_observations[server]
        for server in servers.values():
            own = self.own_observations.get(server)
            if own is None:
                if not server.last_seen_at and not server.fault_at:
                    continue
                own = self.own_observations[server] = OwnObservations(now)
            remaining = max(0.0, 1 - (now - own.at) / FADE_NS)
            own.good, own.bad, own.at = own.good * remaining, own.bad * remaining, now
            if server.fault_at != own.fault_at:
                own.fault_at, own.bad, own.since = server.fault_at, own.bad + 1, -1
            if server.last_seen_at != own.last_seen_at:
                # the server could have restarted during a long silence
                after_silence = server.last_seen_at - own.last_seen_at > self.warm_within // 2
                own.last_seen_at, own.good = server.last_seen_at, own.good + 1
                if not server.failed and (own.since < 0 or after_silence):
                    own.since = now

    def _send_observations(self, servers: dict[str, Server], peers: list[str], now: int) -> None:
        rows = self._own_observation_rows(now)
        self.evidence.observations_received(self.name, self.life, self.counts.round, rows, now)
        # servers found bad first, then the others in rotation, so that all are reported in time
        rows.sort(key=lambda row: row[2] < 0.5)
        bad = [row for row in rows if row[2] >= 0.5][: MAX_ROWS // 2]
        good = rows[len(bad) :]
        if good:
            start = self.counts.round * (MAX_ROWS - len(bad)) % len(good)
            bad += (good[start:] + good[:start])[: MAX_ROWS - len(bad)]
        if bad and peers:
            for name in self.rng.sample(peers, min(EVIDENCE_FANOUT, len(peers))):
                self.driver.send_observations(name, bad)

    def _own_observation_rows(self, now: int) -> list[tuple[str, float, float, int]]:
        """This front's own observations; the start time in the server list is not included, as every front reads it there."""
        return [
            (server.name, round(own.good, 2), round(own.bad, 2), now - own.since if own.since >= 0 else 0)
            for server, own in self.own_observations.items()
            if own.good + own.bad > 0.2
        ]

    def receive_observations(self, by: str, life: int, number: int, rows: list[tuple[str, float, float, int]]) -> None:
        self.answered_peers.add(by)
        self.evidence.observations_received(by, life, number, rows, self._now())

    def _apply_evidence(self, servers: dict[str, Server], now: int) -> None:
        doubted, reading = self.evidence.doubts(now), self.driver.now()
        racks = {server.rack.name: server for server in servers.values() if server.rack.name}
        for name, server in racks.items():
            use_of_others = self.counts.use_of_others(UPLINK + name, now)
            if use_of_others is not None:
                self.driver.uplink_counted(server, *use_of_others)
        for key, (use, at) in self.counts.link_use.items():
            if key in servers and at > self.reported_at.get(key, -1):
                self.reported_at[key] = at
                self.driver.link_reported(servers[key], use)
        for server in servers.values():
            if server.doubted is not (server.name in doubted):
                self.driver.doubted(server, server.name in doubted)
            use_of_others = self.counts.use_of_others(server.name, now)
            if use_of_others is not None:
                self.driver.counted(server, *use_of_others)
            if server.unproven_until > reading and self.evidence.warm(server.name, self.warm_within, self.started_at, now):
                self.driver.seen_warm(server)

    def receive_clock(self, by: str, life: int, reading: int) -> None:
        self.clocks.add_reading(by, life, reading, self.driver.now())

    # ---- learning from peers at start

    def learn(self) -> None:
        """Asks some peers for all their observations, as a front that starts does before it accepts viewers."""
        peers = [name for name in self.driver.members() if name in self.number_of and name != self.name]
        for name in self.rng.sample(peers, min(LEARN_FANOUT, len(peers))):
            if name not in self.asked_peers:
                self.asked_peers.add(name)
                self.driver.request_observations(name)

    def learned(self) -> bool:
        """Whether all peers that were asked have answered."""
        return bool(self.asked_peers) and self.asked_peers <= self.answered_peers

    def send_known_observations(self, by: str) -> None:
        rows = sorted(self._own_observation_rows(self._now()), key=lambda row: row[2] < 0.5)[:MAX_LEARNED_ROWS]
        for offset in range(0, max(1, len(rows)), MAX_ROWS):
            # a front without observations answers with an empty message
            self.driver.send_observations(by, rows[offset : offset + MAX_ROWS])

    def snapshot(self) -> dict:
        """State worth keeping over a restart, as plain data with ages (ns). Rights are left out: they belong to one life."""
        now = self.steady.last
        return {
            "counts": [[key, value, now - at] for key, (value, at) in self.counts.others.items()],
            "seen": [
                [server, front, observation.life, observation.number, observation.good, observation.bad, now - observation.at]
                for server, observations in self.evidence.observations.items()
                for front, observation in observations.items()
            ],
        }

    def restore(self, snapshot: dict, away: int) -> None:
        """Restores a snapshot of an earlier life, taken `away` ns ago. As it dates from before this start it can raise doubts
        about a server, but cannot prove one warm."""
        now = self._now()
        for key, value, age in snapshot["counts"]:
            if 0 <= age + away < 4 * self.terms.ages:
                self.counts.others[key] = (value, now - age - away)
        for server, front, life, number, good, bad, age in snapshot["seen"]:
            if front != self.name and 0 <= age + away < 4 * FADE_NS:
                self.evidence.observations_received(front, life, number, [(server, good, bad, 0)], now - age - away)

    # ---- clock

    def _now(self) -> int:
        now = self.steady.read(self.driver.now())
        self.steady.due = now + self.terms.every
        return now
