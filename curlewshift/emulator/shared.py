"""Sharing between emulated fronts: the real implementation, over links that may lose messages and with isolated fronts.

Membership changes are known at once here; the delay of their detection is measured in emulator/peers.py.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from curlewshift.model import Server
from curlewshift.sharing.sharing import Sharing
from curlewshift.sharing.terms import SharingTerms

NS = 1_000_000_000
MS = 1_000_000
# Range of the one-way delay of a message between fronts, in ns.
MESSAGE_DELAY = (0.4 * MS, 2 * MS)


@dataclass
class Shares:
    """How fronts share in a run. `loss` is the fraction of messages lost; `deaf` holds the indices of fronts whose messages are
    lost in both directions. `counts`, `rights` and `seen` switch off a part of the sharing each, to measure its benefit.
    `words` counts the messages sent."""

    terms: SharingTerms
    loss: float = 0.0
    deaf: set[int] = field(default_factory=set)
    counts: bool = True
    rights: bool = True
    seen: bool = True
    words: int = 0


def usual_terms(window: int, term: int = 2 * NS) -> SharingTerms:
    """Default terms of sharing; `window` and `term` in ns."""
    return SharingTerms(term=term, drift=0.001, window=max(window, MS), every=NS // 4)


class EmulatedSharing:
    """The driver of the sharing for one life (one run of the process) of an emulated front."""

    def __init__(self, front, seed: int):
        self.front, self.world, self.shares = front, front.world, front.world.shared
        self.rng, self.sequence = Random(f"{seed} shares"), 0
        names = [address.name for address in self.world.site.front_addresses]
        local_index = names.index(front.address_name)
        self.life = front.now()
        self.sharing = Sharing(
            self,
            names,
            local_index,
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

    def _send(self, to: str, message: str, *fields) -> None:
        other = running_front(self.world, to)
        shares, rng = self.shares, self.rng
        shares.words += 1
        if other is None or {self.sharing.local_index, self.sharing.number_of[to]} & shares.deaf or rng.random() < shares.loss:
            return
        self.world.queue.at(self.now() + int(rng.uniform(*MESSAGE_DELAY)), self._arrive, other, message, fields)

    @staticmethod
    def _arrive(front, message: str, fields: tuple) -> None:
        if front.alive:
            getattr(front.shared.sharing, message)(*fields)

    # ---- driver of the sharing

    def now(self) -> int:
        return self.front.now()

    def servers(self):
        return self.front.session_core.rules.servers

    def rights_of(self, server: Server) -> int:
        return self.front.session_core.rules.rights_of(server)

    def members(self) -> list[str]:
        return self.world.running_fronts

    def ask(self, to: str, number: int, keys: list[str]) -> None:
        if self.shares.rights:
            self._send(to, "loan_requested", self.sharing.name, self.life, number, keys)

    def lend(self, to: str, number: int, rights: list) -> None:
        self._send(to, "lent", self.sharing.name, number, rights)

    def give_back_to(self, to: str, number: int, key: str) -> None:
        self._send(to, "loan_returned", self.sharing.name, number, key)

    def send_use(self, to: str, rows: list) -> None:
        if self.shares.counts:
            self.sequence += 1
            self._send(to, "receive_use", self.sharing.name, self.life, self.sequence, rows)

    def send_sums(self, to: str, rows: list) -> None:
        self.sequence += 1
        self._send(to, "receive_sums", self.sharing.name, self.life, self.sequence, rows)

    def send_link_report(self, to: str, rows: list) -> None:
        self._send(to, "receive_link_report", self.sharing.name, rows)

    def link_reported(self, server: Server, use: float) -> None:
        self.front.session_core.link_reported(server, use)

    def send_observations(self, to: str, rows: list) -> None:
        if self.shares.seen:
            self.sequence += 1
            self._send(to, "receive_observations", self.sharing.name, self.life, self.sequence, rows)

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
        self._send(to, "send_known_observations", self.sharing.name)

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
        listed_title = session_core.server_list.titles.get(title)
        return listed_title is not None and any(server in session_core.session_ends.servers for server in listed_title.holders)

    def seats_held(self, package: str, title: str, rights: list) -> None:
        self.front.session_core.seats_held(package, title, rights)

    def seats_over(self, package: str, title: str, count: int) -> None:
        self.front.session_core.seats_over(package, title, count)

    def clock_off(self, by: float, out: bool) -> None:
        pass


def running_front(world, name: str):
    """The life of the front that is running now; None if there is none."""
    front = world.fronts[world.front_numbers[name]]
    return front if front is not None and front.alive else None
