"""Shared budgets on the channel: the messages of sharing/ are bodies of one frame kind. Held by front/front.py.

A malformed body is counted and dropped, without further effect.
"""

from __future__ import annotations

from random import Random
from typing import Annotated

import anyio
import msgspec
from msgspec import Meta

from curlewshift.membership.member import Member
from curlewshift.model import Server
from curlewshift.peering.channel import Channel
from curlewshift.session_core.session_core import SessionCore
from curlewshift.sharing.sharing import Sharing
from curlewshift.sharing.terms import SharedBudgets, SharingTerms

KIND = 16
NS = 1_000_000_000
# Interval at which a starting front checks whether its peers have answered (s).
POLL_INTERVAL_S = 0.02
ASK, LEND, GIVE_BACK, USE, SUMS, SEEN, KNOWN, REPORT = range(1, 9)

BudgetKey = Annotated[str, Meta(min_length=1, max_length=192)]
Count = Annotated[int, Meta(ge=0, lt=2**62)]
Use = Annotated[float, Meta(ge=-1, le=1e6)]
Amount = Annotated[float, Meta(ge=0, le=1e12)]


class Body(msgspec.Struct, array_like=True):
    """One message. `reading` is the sender's clock (ns), from which clock drift is estimated; `number` increases within a life
    (run of the process), or is the number of the request that is answered."""

    what: Annotated[int, Meta(ge=1, le=8)]
    number: Count
    reading: Count
    keys: Annotated[list[BudgetKey], Meta(max_length=64)] = []
    rights: Annotated[list[tuple[BudgetKey, Count]], Meta(max_length=64)] = []
    uses: Annotated[list[tuple[BudgetKey, Amount]], Meta(max_length=64)] = []
    sums: Annotated[list[tuple[BudgetKey, Amount, Count, Use, Count]], Meta(max_length=64)] = []
    seen: Annotated[list[tuple[BudgetKey, Amount, Amount, Count]], Meta(max_length=64)] = []


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Body)


class SharingProtocol:
    """Driver of `Sharing`. `order` has the fronts' names as in the settings, `local_index` is this front's position there, and
    `warm_within` (ns) the time that a server takes to warm up."""

    sharing_class = Sharing

    def __init__(
        self,
        channel: Channel,
        session_core: SessionCore,
        order: list[str],
        local_index: int,
        terms: SharingTerms,
        together: SharedBudgets,
        warm_within: int,
        now,
        log,
        rng: Random,
    ):
        self.channel, self.session_core, self.log, self.now = channel, session_core, log, now
        self.message_count, self.malformed = 0, 0
        # control machines are members as well, but share no budgets
        self.names = frozenset(order)
        self.sharing = self.sharing_class(
            self,
            order,
            local_index,
            channel.membership.local_member.life,
            terms,
            warm_within,
            rng,
            together.patient(lambda name: session_core.packages[name].patience),
        )
        channel.register_handler(KIND, self.handle_message)
        session_core.share_rights()

    async def run(self) -> None:
        every = self.sharing.terms.every / NS
        while True:
            try:
                self.sharing.time()
            except Exception as error:
                self.log.error("fault", what="sharing", cause=repr(error), exc_info=error)
            await anyio.sleep(every)

    def handle_message(self, sender: Member, data: bytes) -> None:
        try:
            body = DECODER.decode(data)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        sharing, name, life = self.sharing, sender.name, sender.life
        sharing.receive_clock(name, life, body.reading)
        if body.what == ASK:
            sharing.loan_requested(name, life, body.number, body.keys)
        elif body.what == LEND:
            sharing.lent(name, body.number, body.rights)
        elif body.what == GIVE_BACK:
            for key in body.keys:
                sharing.loan_returned(name, body.number, key)
        elif body.what == USE:
            sharing.receive_use(name, life, body.number, body.uses)
        elif body.what == SUMS:
            sharing.receive_sums(name, life, body.number, body.sums)
        elif body.what == SEEN:
            sharing.receive_observations(name, life, body.number, body.seen)
        elif body.what == KNOWN:
            sharing.send_known_observations(name)
        else:
            sharing.receive_link_report(name, body.uses)

    async def learn(self, within: float) -> None:
        """Asks the peers for their state before the front accepts clients; returns when they have answered, or after `within`
        (s)."""
        with anyio.move_on_after(within):
            while not self.sharing.learned():
                self.sharing.learn()
                await anyio.sleep(POLL_INTERVAL_S)
        self.log.info("learned", of=sorted(self.sharing.answered_peers), asked=sorted(self.sharing.asked_peers))

    def _send(self, to: str, what: int, number: int | None = None, **more) -> None:
        member = self.channel.membership.members.get(to)
        if member is None or not member.is_present:
            return
        self.message_count += 1
        self.channel.send(
            member, KIND, ENCODER.encode(Body(what, self.message_count if number is None else number, self.now(), **more))
        )

    # ---- the driver of `Sharing`

    def servers(self):
        return list(self.session_core.rules.servers)

    def rights_of(self, server: Server) -> int:
        return self.session_core.rules.rights_of(server)

    def members(self) -> list[str]:
        return [member.name for member in self.channel.membership.ring if member.name in self.names]

    def ask(self, to: str, number: int, keys: list[str]) -> None:
        self._send(to, ASK, number, keys=keys)

    def lend(self, to: str, number: int, rights: list[tuple[str, int]]) -> None:
        self._send(to, LEND, number, rights=rights)

    def give_back_to(self, to: str, number: int, key: str) -> None:
        self._send(to, GIVE_BACK, number, keys=[key])

    def send_use(self, to: str, rows: list[tuple[str, float]]) -> None:
        self._send(to, USE, uses=rows)

    def send_sums(self, to: str, rows: list[tuple[str, float, int, float, int]]) -> None:
        self._send(to, SUMS, sums=rows)

    def send_link_report(self, to: str, rows: list[tuple[str, float]]) -> None:
        self._send(to, REPORT, uses=rows)

    def link_reported(self, server: Server, use: float) -> None:
        self.session_core.link_reported(server, use)

    def send_observations(self, to: str, rows: list[tuple[str, float, float, int]]) -> None:
        self._send(to, SEEN, seen=rows)

    def rights_held(self, server: Server, rights: list) -> None:
        self.session_core.rights_held(server, rights)

    def doubted(self, server: Server, doubted: bool) -> None:
        evidence = [
            row for row in self.sharing.evidence.why(server.name, self.sharing.steady.last) if row[0] != self.sharing.name
        ]
        self.log.info(
            "doubted" if doubted else "cleared",
            server=server.name,
            cause="; ".join(
                f"{front}: {good:.1f} good, {bad:.1f} bad, weight {weight:.2f}" for front, good, bad, weight in evidence
            ),
        )
        self.session_core.doubted(server, doubted)

    def counted(self, server: Server, use: float, age: int) -> None:
        self.session_core.counted(server, use, age)

    def seen_warm(self, server: Server) -> None:
        self.log.info(
            "seen-warm", server=server.name, cause="other fronts have used this server for longer than it takes to warm up"
        )
        self.session_core.seen_warm(server)

    def request_observations(self, to: str) -> None:
        self._send(to, KNOWN)

    def uplink_counted(self, server: Server, use: float, age: int) -> None:
        self.session_core.uplink_counted(server, use, age)

    def further_wanted_at(self) -> int:
        return self.session_core.rules.further_wanted_at

    def further_held(self, rights: list) -> None:
        self.session_core.further_held(rights)

    def seats_wanted_at(self) -> dict[tuple[str, str], int]:
        return {(package.name, title): at for (title, package), at in self.session_core.rules.seat_wanted_at.items()}

    def seats_in_use(self, package: str, title: str) -> int:
        return self.session_core.rules.seats.get((title, self.session_core.packages[package]), 0)

    def seats_ending(self, package: str, title: str) -> bool:
        """Whether a server of this title may not have received yet that a session there has ended."""
        held = self.session_core.server_list.titles.get(title)
        return held is not None and any(server in self.session_core.session_ends.servers for server in held.holders)

    def seats_held(self, package: str, title: str, rights: list) -> None:
        self.session_core.seats_held(package, title, rights)

    def seats_over(self, package: str, title: str, count: int) -> None:
        self.log.warning(
            "seats-over",
            package=package,
            title=title,
            count=count,
            cause="more seats in use than rights held: borrowed rights expired, as no lender renewed them in time, or this "
            "front's clock is doubted or was set back",
        )
        self.session_core.seats_over(package, title, count)

    def clock_off(self, by: float, out: bool) -> None:
        if out:
            self.log.error(
                "clock-off",
                by=round(by, 4),
                cause="this front's clock drifts against its peers' clocks; until that ends the front "
                "neither lends nor borrows rights",
            )
        else:
            self.log.info("clock-right-again", by=round(by, 4))

    # ---- for operators

    def show(self) -> dict:
        sharing = self.sharing
        now, loans = sharing.steady.last, sharing.loans
        reading = self.now()
        rows = []
        for server in self.servers():
            others = sharing.counts.others.get(server.name)
            held = server.rights or []
            in_hand = sum(count for since, until, count in held if since <= reading < until)
            rows.append(
                {
                    "server": server.name,
                    "rights": in_hand,
                    "own": sharing.part(server.name),
                    "lent_to": sharing.order[loans.lent[server.name][1]] if loans.lent.get(server.name, (0,))[0] > now else "",
                    "borrowed_of": [sharing.order[lender] for lender in loans.borrowed.get(server.name, {})],
                    "used_here": round(server.link.own),
                    "used_by_others": round(others[0]) if others else None,
                    "told_s": round((now - others[1]) / NS, 2) if others else None,
                    "doubted": server.doubted,
                    "evidence": [
                        [front, round(good, 2), round(bad, 2), round(weight, 2)]
                        for front, good, bad, weight in sharing.evidence.why(server.name, now)
                    ],
                }
            )
        pools = [
            {
                "budget": name,
                "given": pool.loans.given,
                "got": pool.loans.got,
                "in_hand": sum(
                    count for key in pool.announced for since, until, count in pool.announced[key] if since <= reading < until
                ),
            }
            for name, pool in sharing.pools.items()
        ]
        return {
            "me": sharing.name,
            "together": pools,
            "clock_off": round(sharing.clocks.relative_rate(), 5),
            "out": sharing.clock_off,
            "quiet_for_s": round(max(0, loans.quiet_until - now) / NS, 2),
            "given": loans.given,
            "got": loans.got,
            "late": loans.late,
            "refused": loans.refused,
            "malformed": self.malformed,
            "servers": rows,
        }
