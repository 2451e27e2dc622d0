"""Fronts of an emulated deployment that share: the program's own sharing, on links that lose and with fronts that are deaf.

Who is in is known at once here; that it is found out late is measured elsewhere (emulator/peers.py).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from curlewshift.model import Server
from curlewshift.sharing.sharing import Sharing
from curlewshift.sharing.terms import SharingTerms

NS = 1_000_000_000
MS = 1_000_000
WAY = (0.4 * MS, 2 * MS)


@dataclass
class Shares:
    """How fronts share in a run: the part of words that is lost, and which fronts hear and are heard by nobody. `counts`,
    `rights` and `seen` leave a part of it out, to see what it is worth."""

    terms: SharingTerms
    loss: float = 0.0
    deaf: set[int] = field(default_factory=set)
    counts: bool = True
    rights: bool = True
    seen: bool = True
    words: int = 0


def usual_terms(window: int, term: int = 2 * NS) -> SharingTerms:
    return SharingTerms(term=term, drift=0.001, window=max(window, MS), every=NS // 4)


class EmulatedSharing:
    """Sharing's outside for one life of one emulated front."""

    def __init__(self, front, seed: int):
        self.front, self.world, self.shares = front, front.world, front.world.shared
        self.rng, self.spoken = Random(f"{seed} shares"), 0
        order = [door.name for door in self.world.site.front_addresses]
        me = order.index(front.door)
        self.life = front.now()
        self.sharing = Sharing(
            self,
            order,
            me,
            self.life,
            self.shares.terms,
            self.world.site.obligations.warm_within,
            self.rng,
            self.world.site.together.patient(lambda name: front.session_core.packages[name].patience),
        )
        front.session_core.share_rights()
        self.world.queue.at(front.now() + self.rng.randrange(self.shares.terms.every), self._round)

    def _round(self) -> None:
        if self.front.alive:
            if not self.sharing.learned():
                self.sharing.learn()
            self.sharing.time()
            self.world.queue.at(self.now() + self.shares.terms.every, self._round)

    def _say(self, to: str, what: str, *words) -> None:
        other = next_front(self.world, to)
        shares, rng = self.shares, self.rng
        shares.words += 1
        if other is None or {self.sharing.local_index, self.sharing.number_of[to]} & shares.deaf or rng.random() < shares.loss:
            return
        self.world.queue.at(self.now() + int(rng.uniform(*WAY)), self._arrives, other, what, words)

    @staticmethod
    def _arrives(front, what: str, words: tuple) -> None:
        if front.alive:
            getattr(front.shared.sharing, what)(*words)

    # ---- sharing's outside

    def now(self) -> int:
        return self.front.now()

    def servers(self):
        return self.front.session_core.rules.servers

    def rights_of(self, server: Server) -> int:
        return self.front.session_core.rules.rights_of(server)

    def members(self) -> list[str]:
        return self.world.doors_up

    def ask(self, to: str, number: int, keys: list[str]) -> None:
        if self.shares.rights:
            self._say(to, "loan_requested", self.sharing.name, self.life, number, keys)

    def lend(self, to: str, number: int, rights: list) -> None:
        self._say(to, "lent", self.sharing.name, number, rights)

    def give_back_to(self, to: str, number: int, key: str) -> None:
        self._say(to, "loan_returned", self.sharing.name, number, key)

    def send_use(self, to: str, rows: list) -> None:
        if self.shares.counts:
            self.spoken += 1
            self._say(to, "receive_use", self.sharing.name, self.life, self.spoken, rows)

    def send_sums(self, to: str, rows: list) -> None:
        self.spoken += 1
        self._say(to, "receive_sums", self.sharing.name, self.life, self.spoken, rows)

    def send_link_report(self, to: str, rows: list) -> None:
        self._say(to, "receive_link_report", self.sharing.name, rows)

    def link_reported(self, server: Server, use: float) -> None:
        self.front.session_core.link_reported(server, use)

    def send_observations(self, to: str, rows: list) -> None:
        if self.shares.seen:
            self.spoken += 1
            self._say(to, "receive_observations", self.sharing.name, self.life, self.spoken, rows)

    def rights_held(self, server: Server, rights: list) -> None:
        self.front.session_core.rights_held(server, rights)

    def doubted(self, server: Server, doubted: bool) -> None:
        if self.shares.seen:
            self.front.session_core.doubted(server, doubted)

    def counted(self, server: Server, use: float, age: int) -> None:
        if self.shares.counts:
            self.front.session_core.counted(server, use, age)

    def seen_warm(self, server: Server) -> None:
        if self.shares.seen:
            self.front.session_core.seen_warm(server)

    def request_observations(self, to: str) -> None:
        self._say(to, "send_known_observations", self.sharing.name)

    def uplink_counted(self, server: Server, use: float, age: int) -> None:
        if self.shares.counts:
            self.front.session_core.uplink_counted(server, use, age)

    def further_wanted_at(self) -> int:
        return self.front.session_core.rules.further_wanted_at

    def further_held(self, rights: list) -> None:
        self.front.session_core.further_held(rights)

    def seats_wanted_at(self) -> dict[tuple[str, str], int]:
        return {(package.name, title): at for (title, package), at in self.front.session_core.rules.seat_wanted_at.items()}

    def seats_in_use(self, package: str, title: str) -> int:
        session_core = self.front.session_core
        return session_core.rules.seats.get((title, session_core.packages[package]), 0)

    def seats_ending(self, package: str, title: str) -> bool:
        session_core = self.front.session_core
        held = session_core.server_list.titles.get(title)
        return held is not None and any(server in session_core.session_ends.servers for server in held.holders)

    def seats_held(self, package: str, title: str, rights: list) -> None:
        self.front.session_core.seats_held(package, title, rights)

    def seats_over(self, package: str, title: str, count: int) -> None:
        self.front.session_core.seats_over(package, title, count)

    def clock_off(self, by: float, out: bool) -> None:
        pass


def next_front(world, name: str):
    """The life of that front that runs now; None if none does."""
    front = world.fronts[world.number_of_door[name]]
    return front if front is not None and front.alive else None
