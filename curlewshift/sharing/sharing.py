"""All that one front shares, brought together: loans of rights, counts of use, evidence on servers. Free of I/O.

Held by peering/shared.py on sockets and by the emulator; both call `time` each `every`, hand on what comes, and carry out
what is asked of `driver`. It reads the rules' own facts of servers and links, and writes facts that they read.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Protocol

from curlewshift.model import Server
from curlewshift.schedule.steady_clock import SteadyClock
from curlewshift.sharing.budgets import FURTHER, SEAT, Further, Pool, Seats
from curlewshift.sharing.clock_watch import ClockWatch
from curlewshift.sharing.counts import AGAIN, Counts, picked
from curlewshift.sharing.evidence import FADES, Evidence
from curlewshift.sharing.loans import Loans, dealt
from curlewshift.sharing.standing import StandingLoans
from curlewshift.sharing.terms import SharedBudgets, SharingTerms

# Rows of one message, of use a few less, as its answer has more to say of each; evidence is told to so many others a round, what
# is worst or newest first.
MOST_ROWS, MOST_USES = 16, 12
TELL_EVIDENCE_TO = 3
# A front that starts asks so many others for all that they have seen, each of whom tells of so many servers at the most.
LEARN_OF, MOST_KNOWN = 3, 256
# Links of no use to this front now whose use by others it asks for in one round.
MOST_INTEREST = 64
UPLINK = "uplink "


class Driver(Protocol):
    def now(self) -> int: ...
    def servers(self) -> Iterable[Server]: ...
    def rights_of(self, server: Server) -> int: ...
    def members(self) -> list[str]: ...
    def ask(self, to: str, number: int, keys: list[str]) -> None: ...
    def lend(self, to: str, number: int, rights: list[tuple[str, int]]) -> None: ...
    def give_back_to(self, to: str, number: int, key: str) -> None: ...
    def tell_use(self, to: str, rows: list[tuple[str, float]]) -> None: ...
    def tell_sums(self, to: str, rows: list[tuple[str, float, int, float, int]]) -> None: ...
    def tell_report(self, to: str, rows: list[tuple[str, float]]) -> None: ...
    def link_reported(self, server: Server, use: float) -> None: ...
    def tell_seen(self, to: str, rows: list[tuple[str, float, float, int]]) -> None: ...
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
    def ask_what_is_known(self, to: str) -> None: ...


class Watch:
    """What this front has seen of one server of late: faded counts, and since when it answers without a break."""

    __slots__ = ("at", "bad", "good", "heard_at", "since", "trouble_at")

    def __init__(self, now: int):
        self.good = self.bad = 0.0
        self.at, self.since = now, -1
        self.heard_at = self.trouble_at = 0


class Sharing:
    """`order` are the fronts' names as in the settings, the same at every front; `me` is this one's number in it. `life` is
    the channel's. `warm_within` (ns) is how long a server takes to get warm. `together` are the budgets that all fronts have
    together, beside those of cold servers."""

    loans_class, seats_class, evidence_class = Loans, StandingLoans, Evidence

    def __init__(
        self,
        driver: Driver,
        order: list[str],
        me: int,
        life: int,
        terms: SharingTerms,
        warm_within: int,
        rng: Random,
        together: SharedBudgets = SharedBudgets(),
    ):
        self.driver, self.order, self.me, self.life, self.terms = driver, order, me, life, terms
        self.warm_within, self.rng = warm_within, rng
        self.number_of = {name: number for number, name in enumerate(order)}
        self.name = order[me]
        self.loans = self.loans_class(self, me, terms, rng.getrandbits(40))
        self.pools: dict[str, Pool] = {}
        if together.free is not None:
            self.pools[FURTHER] = Further(self, together.further_terms(terms), together.free, self.loans_class)
        if together.seats:
            self.pools[SEAT] = Seats(self, together.seat_terms(terms), together.titles, together.seats, self.seats_class)
        self.counts = Counts(self.name, terms)
        self.evidence = self.evidence_class(self.name, terms)
        self.clocks = ClockWatch(terms.drift)
        self.steady = SteadyClock(driver.now(), terms.window)
        self.born = self.steady.last
        self.watches: dict[Server, Watch] = {}
        self.servers: dict[str, Server] = {}
        self.wanted_at: dict[Server, int] = {}
        self.turn = rng.randrange(1 << 16)
        self.out = False
        self.reported_at: dict[str, int] = {}
        self.learning_of: set[str] = set()
        self.learned_of: set[str] = set()

    # ---- each `every`

    def time(self) -> None:
        now = self._now()
        servers = {server.name: server for server in self.driver.servers()}
        names = [name for name in self.driver.members() if name in self.number_of and name != self.name]
        self._watch_clock(set(names))
        if SEAT in self.pools:
            # nothing that goes wrong further on keeps what has no right from being ended
            self.pools[SEAT].loans.end_overdue()
        self._lend_and_borrow(servers, names)
        self._tell_use(servers, names, now)
        self._look(servers, now)
        self._tell_seen(servers, names, now)
        self._believe(servers, now)
        self.counts.forget(now)
        self.evidence.forget(now)

    def _watch_clock(self, names: set[str]) -> None:
        self.clocks.forget(names)
        if self.clocks.past_bound() is not self.out:
            self.out = not self.out
            for loans in (self.loans, *(pool.loans for pool in self.pools.values())):
                loans.withdraw(self.out)
            self.driver.clock_off(self.clocks.off(), self.out)

    # ---- rights

    def _lend_and_borrow(self, servers: dict[str, Server], names: list[str]) -> None:
        for server in servers.values():
            if server.wanted_at != self.wanted_at.get(server, 0):
                self.wanted_at[server] = server.wanted_at
                self.loans.wants(server.name)
        self.servers = servers
        self.turn += self.terms.most_asks
        there = {self.number_of[name] for name in names}
        self.loans.time(lambda key: self._owners(key, there))
        for pool in self.pools.values():
            pool.time(there, self.turn)
        self._write_rights(servers.values())
        if len(self.reported_at) > 2 * len(servers) + 64:
            self.reported_at = {key: at for key, at in self.reported_at.items() if key in servers}
        if len(self.wanted_at) > 2 * len(servers) + 64:
            self.wanted_at = {server: at for server, at in self.wanted_at.items() if server.name in servers}

    def _owners(self, key: str, there: set[int]) -> list[int]:
        """Fronts that are in and have a part of this budget, each round from another on, so that all are asked in time."""
        server, fronts = self.servers.get(key), len(self.order)
        if server is None:
            return []
        rights = self.driver.rights_of(server)
        owners = [number for number in there if dealt(rights, number, fronts, server.mark)]
        start = (self.turn + server.mark) % len(owners) if owners else 0
        return owners[start:] + owners[:start]

    def part(self, key: str) -> int:
        server = self.servers.get(key)
        return dealt(self.driver.rights_of(server), self.me, len(self.order), server.mark) if server is not None else 0

    def _write_rights(self, servers: Iterable[Server]) -> None:
        """As facts for the rules: how many are in this front's hands, from when and until when."""
        for server in servers:
            rights = self.loans.in_hand(server.name)
            if rights != server.rights:
                self.driver.rights_held(server, rights)

    def sent(self, server: Server, further: bool = False) -> None:
        """A set-up goes to this server now; `further` if it is not the first of its viewing."""
        self.loans.uses(server.name)
        if further and FURTHER in self.pools:
            self.pools[FURTHER].loans.uses(FURTHER)

    def _pool(self, key: str) -> Pool | None:
        """The budget that this key is one of, where it is not a server's."""
        return self.pools.get(SEAT if key.startswith(SEAT) else key)

    def ask(self, lender: int, number: int, keys: list[str]) -> None:
        self.driver.ask(self.order[lender], number, keys)

    def lend(self, borrower: int, number: int, rights: list[tuple[str, int]]) -> None:
        self.driver.lend(self.order[borrower], number, rights)

    def give_back(self, lender: int, number: int, key: str) -> None:
        self.driver.give_back_to(self.order[lender], number, key)

    def given_back(self, by: str, number: int, key: str) -> None:
        if by in self.number_of:
            pool = self._pool(key)
            (pool.loans if pool is not None else self.loans).given_back(self.number_of[by], number, key)

    def now(self) -> int:
        return self.driver.now()

    def asked(self, by: str, life: int, number: int, keys: list[str]) -> None:
        """The keys of one ask are all of one kind."""
        if by not in self.number_of or not keys:
            return
        pool = self._pool(keys[0])
        if pool is not None:
            pool.loans.asked(self.number_of[by], number, [key for key in keys if self._pool(key) is pool], life)
            pool.write([key for key in keys if key in pool.told])
            return
        self.loans.asked(self.number_of[by], number, keys)
        # it is lent from this moment on, not from the next round
        self._write_rights(self.servers[key] for key in keys if key in self.servers)

    def lent(self, by: str, number: int, rights: list[tuple[str, int]]) -> None:
        if by not in self.number_of or not rights:
            return
        pool = self._pool(rights[0][0])
        if pool is not None:
            pool.loans.lends(self.number_of[by], number, rights)
            pool.write([key for key, _ in rights if key in pool.told])
            return
        self.loans.lends(self.number_of[by], number, rights)
        self._write_rights(self.servers[key] for key, _ in rights if key in self.servers)

    # ---- counts

    def _tell_use(self, servers: dict[str, Server], names: list[str], now: int) -> None:
        counts = self.counts
        # whose use by others this front wants to know: what it uses, and others in turn, as it may place there next
        used = [server for server in servers.values() if server.link.own > 0]
        rest = [server for server in servers.values() if server.link.own <= 0]
        if rest:
            start = counts.round * MOST_INTEREST // AGAIN % len(rest)
            used += (rest[start:] + rest[:start])[:MOST_INTEREST]
        interest = {server.name: server.link.own for server in used}
        # uplinks count as links do: what several servers share is where fronts that know one server each err most
        interest |= {UPLINK + server.rack.name: server.rack.link.own for server in used if server.rack.name}
        counts.wanted(interest)
        together: dict[str, list[tuple[str, float]]] = {}
        everyone = [*names, self.name]
        for key, value in counts.due():
            together.setdefault(picked(key, everyone), []).append((key, value))
        for adder, rows in together.items():
            for at in range(0, len(rows), MOST_USES):
                part = rows[at : at + MOST_USES]
                if adder == self.name:
                    counts.heard(self.name, self.life, self.counts.round, part, now)
                    counts.told(
                        self.name,
                        self.life,
                        self.counts.round * 1000 + at,
                        counts.sums(self.name, [key for key, _ in part], now),
                        now,
                    )
                else:
                    self.driver.tell_use(adder, part)

    def use_told(self, by: str, life: int, number: int, rows: list[tuple[str, float]]) -> None:
        """One of the others uses so much; it hears what the rest does."""
        now = self._now()
        self.counts.heard(by, life, number, rows, now)
        self.driver.tell_sums(by, self.counts.sums(by, [key for key, _ in rows], now))

    def sums_told(self, by: str, life: int, number: int, rows: list[tuple[str, float, int, float, int]]) -> None:
        self.counts.told(by, life, number, rows, self._now())

    def found_for_all(self, server: Server, use: float) -> None:
        """This front asks that server for all, and was told how full its link is: it goes on with the sums."""
        names = [name for name in self.driver.members() if name in self.number_of]
        adder = picked(server.name, [*{*names, self.name}])
        if adder == self.name:
            self.counts.reported(server.name, use, self._now())
        else:
            self.driver.tell_report(adder, [(server.name, use)])

    def report_told(self, by: str, rows: list[tuple[str, float]]) -> None:
        now = self._now()
        for key, use in rows:
            self.counts.reported(key, use, now)

    # ---- evidence

    def _look(self, servers: dict[str, Server], now: int) -> None:
        """What the rules hold of each server, as counts of good and bad signs."""
        for server in [server for server in self.watches if server.name not in servers]:
            del self.watches[server]
        for server in servers.values():
            watch = self.watches.get(server)
            if watch is None:
                if not server.heard_at and not server.trouble_at:
                    continue
                watch = self.watches[server] = Watch(now)
            left = max(0.0, 1 - (now - watch.at) / FADES)
            watch.good, watch.bad, watch.at = watch.good * left, watch.bad * left, now
            if server.trouble_at != watch.trouble_at:
                watch.trouble_at, watch.bad, watch.since = server.trouble_at, watch.bad + 1, -1
            if server.heard_at != watch.heard_at:
                # it could have started again in a long silence
                silent = server.heard_at - watch.heard_at > self.warm_within // 2
                watch.heard_at, watch.good = server.heard_at, watch.good + 1
                if not server.failed and (watch.since < 0 or silent):
                    watch.since = now

    def _tell_seen(self, servers: dict[str, Server], names: list[str], now: int) -> None:
        rows = self._seen_here(now)
        self.evidence.heard(self.name, self.life, self.counts.round, rows, now)
        # the bad first, then in turn: all are told some time
        rows.sort(key=lambda row: row[2] < 0.5)
        bad = [row for row in rows if row[2] >= 0.5][: MOST_ROWS // 2]
        well = rows[len(bad) :]
        if well:
            start = self.counts.round * (MOST_ROWS - len(bad)) % len(well)
            bad += (well[start:] + well[:start])[: MOST_ROWS - len(bad)]
        if bad and names:
            for name in self.rng.sample(names, min(TELL_EVIDENCE_TO, len(names))):
                self.driver.tell_seen(name, bad)

    def _seen_here(self, now: int) -> list[tuple[str, float, float, int]]:
        """What this front has seen itself; what the list says of a server's start is every front's to read."""
        return [
            (server.name, round(watch.good, 2), round(watch.bad, 2), now - watch.since if watch.since >= 0 else 0)
            for server, watch in self.watches.items()
            if watch.good + watch.bad > 0.2
        ]

    def seen_told(self, by: str, life: int, number: int, rows: list[tuple[str, float, float, int]]) -> None:
        self.learned_of.add(by)
        self.evidence.heard(by, life, number, rows, self._now())

    def _believe(self, servers: dict[str, Server], now: int) -> None:
        doubted, reading = self.evidence.doubts(now), self.driver.now()
        racks = {server.rack.name: server for server in servers.values() if server.rack.name}
        for name, server in racks.items():
            told = self.counts.of_others(UPLINK + name, now)
            if told is not None:
                self.driver.uplink_counted(server, *told)
        for key, (use, at) in self.counts.found.items():
            if key in servers and at > self.reported_at.get(key, -1):
                self.reported_at[key] = at
                self.driver.link_reported(servers[key], use)
        for server in servers.values():
            if server.doubted is not (server.name in doubted):
                self.driver.doubted(server, server.name in doubted)
            told = self.counts.of_others(server.name, now)
            if told is not None:
                self.driver.counted(server, *told)
            if server.unproven_until > reading and self.evidence.warm(server.name, self.warm_within, self.born, now):
                self.driver.seen_warm(server)

    def clock_told(self, by: str, life: int, reading: int) -> None:
        self.clocks.heard(by, life, reading, self.driver.now())

    # ---- a start

    def learn(self) -> None:
        """Asks some peers for all that they have seen themselves, as a front that starts does before its door opens."""
        names = [name for name in self.driver.members() if name in self.number_of and name != self.name]
        for name in self.rng.sample(names, min(LEARN_OF, len(names))):
            if name not in self.learning_of:
                self.learning_of.add(name)
                self.driver.ask_what_is_known(name)

    def learned(self) -> bool:
        """Whether all that were asked have answered."""
        return bool(self.learning_of) and self.learning_of <= self.learned_of

    def known_asked(self, by: str) -> None:
        rows = sorted(self._seen_here(self._now()), key=lambda row: row[2] < 0.5)[:MOST_KNOWN]
        for at in range(0, max(1, len(rows)), MOST_ROWS):
            # one that has seen nothing says so too
            self.driver.tell_seen(by, rows[at : at + MOST_ROWS])

    def snapshot(self) -> dict:
        """What is worth knowing after a restart, as plain data with ages (ns): no rights, they are a life's own."""
        now = self.steady.last
        return {
            "counts": [[key, value, now - at] for key, (value, at) in self.counts.others.items()],
            "seen": [
                [server, front, word.life, word.number, word.good, word.bad, now - word.at]
                for server, words in self.evidence.words.items()
                for front, word in words.items()
            ],
        }

    def restore(self, kept: dict, away: int) -> None:
        """A snapshot of an earlier life, so long (ns) ago. It dates from before this start: it doubts, and proves nothing
        warm."""
        now = self._now()
        for key, value, age in kept["counts"]:
            if 0 <= age + away < 4 * self.terms.ages:
                self.counts.others[key] = (value, now - age - away)
        for server, front, life, number, good, bad, age in kept["seen"]:
            if front != self.name and 0 <= age + away < 4 * FADES:
                self.evidence.heard(front, life, number, [(server, good, bad, 0)], now - age - away)

    # ---- time

    def _now(self) -> int:
        now = self.steady.read(self.driver.now())
        self.steady.due = now + self.terms.every
        return now
