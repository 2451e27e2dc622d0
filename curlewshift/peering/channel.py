"""What one front says to its peers and hears of them, free of I/O: membership, frames, numbers, bounds.

The same object stands behind a socket (peering/wire.py), on virtual links (emulator/peers.py) and in tests. Other subsystems
register a kind with `carries` and speak with `say`; they are served after probes and answers, and within the same bounds.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Protocol

from curlewshift.membership.member import Claim, Member, Rank
from curlewshift.membership.membership import Membership
from curlewshift.membership.terms import MembershipTerms
from curlewshift.peering.frames import (
    ACK,
    ASK,
    COMPARE,
    FIRST_OF_OTHERS,
    MOST_BYTES,
    NACK,
    NEWS,
    PIECE,
    PING,
    REASONS,
    Frame,
    Refused,
    Window,
    decode,
    encode,
)
from curlewshift.peering.rates import Allowance, Spent

# A frame without claims, at the most; and what a list of claims takes itself.
PLAIN = 330
# What is read of one second's datagrams: a flood beyond it is dropped unread, so that viewings go on.
MOST_READ_A_SECOND = 4 * 1024 * 1024


class Host(Protocol):
    def now(self) -> int: ...
    def wake(self, at: int) -> None: ...
    def post(self, address: tuple[str, int], data: bytes) -> None: ...
    def member_changed(self, member: Member, before: Rank | None, cause: str) -> None: ...
    def outlived(self, over: bool) -> None: ...


class Channel:
    """`most_bytes` a second bound what goes out beyond probes and their answers."""

    def __init__(
        self,
        host: Host,
        site: str,
        name: str,
        address: tuple[str, int],
        life: int,
        seeds: list[tuple[str, int]],
        membership_terms: MembershipTerms,
        most_bytes: int,
        rng: Random,
        membership: type[Membership] = Membership,
    ):
        self.host, self.site = host, site
        self.allowance = Allowance(most_bytes, host.now())
        self.readable = Allowance(MOST_READ_A_SECOND, host.now())
        self.sent, self.received_bytes = Spent(host.now()), Spent(host.now())
        self.refused = dict.fromkeys(REASONS, 0)
        self.held_back = self.flooded = 0
        self.numbers = count(1)
        self.windows: dict[str, Window] = {}
        self.carried: dict[int, Callable[[Member, bytes], None]] = {}
        # what rides on probes and their answers, and who hears it: with nothing registered they are what they were
        self.riding: tuple[Callable[[], bytes], Callable[[Member, bytes], None]] | None = None
        self.membership = membership(self, name, address, life, seeds, membership_terms, rng)

    # ---- what happens

    def start(self) -> None:
        self.membership.start()

    def time(self) -> None:
        self.membership.time()

    def leave(self) -> None:
        self.membership.leave()

    def carries(self, kind: int, heard: Callable[[Member, bytes], None]) -> None:
        """Bodies of this kind go to `heard`, with who sent them."""
        if kind < FIRST_OF_OTHERS or kind in self.carried:
            raise ValueError(f"kind {kind} is taken")
        self.carried[kind] = heard

    def rides(self, rider: Callable[[], bytes], heard: Callable[[Member, bytes], None]) -> None:
        """`rider` is asked with each probe and answer that goes out, for some 60 bytes at the most; `heard` has what came on
        others'. It goes where probes go and costs no datagram, and the allowance does not hold it back."""
        if self.riding is not None:
            raise ValueError("something rides already")
        self.riding = rider, heard

    def received(self, data: bytes) -> None:
        """A datagram came; whatever is in it, nothing is raised and no other is worse off."""
        now = self.host.now()
        if not self.readable.take(now, len(data)):
            self.flooded += 1
            return
        self.received_bytes.add(now, len(data))
        try:
            frame = decode(data, self.site)
            sender = self._let_in(frame)
        except Refused as why:
            self.refused[str(why)] += 1
            return
        if sender is not None:
            self._take(frame, sender)

    def _let_in(self, frame: Frame) -> Member | None:
        members = self.membership.members
        window = self.windows.get(frame.name)
        if window is not None and window.life == frame.life:
            window.take(frame.number)
        sender = self.membership.heard(frame.sender())
        if sender is None:
            held = members.get(frame.name)
            raise Refused("old-life" if held is not None and frame.life < held.life else "unknown")
        if window is None or window.life != frame.life:
            if len(self.windows) > 2 * self.membership.membership_terms.most_members:
                self.windows = {name: kept for name, kept in self.windows.items() if name in members}
            window = self.windows[frame.name] = Window(frame.life)
            window.take(frame.number)
        return sender

    def _take(self, frame: Frame, sender: Member) -> None:
        known = self.membership
        if frame.claims:
            known.told([Claim(*claim) for claim in frame.claims], sender.name)
        if known.superseded:
            # it listens for the end of the process that has its name, and answers nobody
            return
        if frame.kind == PING:
            self._send(sender.address, ACK, probe=frame.probe, body=self._rider())
            known.digest_seen(sender, frame.view)
        elif frame.kind == ACK:
            known.acked(frame.probe, sender)
            known.digest_seen(sender, frame.view)
        elif frame.kind == ASK:
            known.asked(sender, frame.probe, frame.target)
        elif frame.kind == NACK:
            known.nacked(frame.probe, sender)
        elif frame.kind == COMPARE:
            known.compared(sender, frame.body)
        elif frame.kind in self.carried:
            self.carried[frame.kind](sender, frame.body)
        if frame.body and frame.kind in (PING, ACK) and self.riding is not None:
            self.riding[1](sender, frame.body)

    def _rider(self) -> bytes:
        return self.riding[0]() if self.riding is not None else b""

    def say(self, to: Member, kind: int, body: bytes) -> bool:
        """False where the allowance is used up, or it is too large: it is not sent, and not owed."""
        return self._send(to.address, kind, body=body, bound=True, news=False)

    # ---- membership's outside

    def now(self) -> int:
        return self.host.now()

    def wake(self, at: int) -> None:
        self.host.wake(at)

    def ping(self, to: Member, number: int) -> None:
        # a suspect hears of it in the very probe that could clear it
        first = [to.claim()] if to.rank is Rank.SUSPECT else []
        self._send(to.address, PING, probe=number, claims=first, body=self._rider())

    def ask(self, to: Member, number: int, target: Member) -> None:
        self._send(to.address, ASK, probe=number, target=target.name)

    def nack(self, to: Member, number: int) -> None:
        self._send(to.address, NACK, probe=number)

    def ack_for(self, to: Member, number: int) -> None:
        self._send(to.address, ACK, probe=number, body=self._rider())

    def tell(self, address: tuple[str, int], claims: list[Claim]) -> None:
        self._send(address, NEWS, claims=claims, bound=True, news=False)

    def pass_on(self, to: Member) -> None:
        self._send(to.address, NEWS, bound=True)

    def compare(self, address: tuple[str, int]) -> None:
        self._send(address, COMPARE, body=self.membership.views.written(), bound=True, news=False)

    def pieces(self, address: tuple[str, int], claims: list[Claim]) -> None:
        """In datagrams as full as they may be; what the allowance does not bear waits for the next comparison, which begins
        elsewhere."""
        start = self.membership.rng.randrange(len(claims)) if claims else 0
        piece, room = [], MOST_BYTES - PLAIN
        for claim in claims[start:] + claims[:start]:
            if claim.size() > room:
                if not self._send(address, PIECE, claims=piece, bound=True, news=False):
                    return
                piece, room = [], MOST_BYTES - PLAIN
            piece.append(claim)
            room -= claim.size()
        if piece:
            self._send(address, PIECE, claims=piece, bound=True, news=False)

    def changed(self, member: Member, before: Rank | None, cause: str) -> None:
        self.host.member_changed(member, before, cause)

    def outlived(self, over: bool) -> None:
        self.host.outlived(over)

    def _send(
        self,
        address: tuple[str, int],
        kind: int,
        probe: int = 0,
        target: str = "",
        claims: list[Claim] = (),
        body: bytes = b"",
        bound: bool = False,
        news: bool = True,
    ) -> bool:
        me = self.membership.me
        told = list(claims)
        if news:
            told += self.membership.take_news(MOST_BYTES - PLAIN - len(body) - sum(claim.size() for claim in told))
        data = encode(
            Frame(
                self.site,
                me.name,
                me.host,
                me.port,
                me.life,
                me.incarnation,
                next(self.numbers),
                kind,
                probe,
                target,
                self.membership.views.whole,
                told,
                body,
            )
        )
        now = self.host.now()
        if len(data) > MOST_BYTES or (bound and not self.allowance.take(now, len(data))):
            self.held_back += 1
            return False
        self.sent.add(now, len(data))
        self.host.post(address, data)
        return True

    # ---- for people

    def show(self) -> dict:
        """Plain data: who is in, suspected and gone, since when (s ago), and by whose word."""
        known, now = self.membership, self.host.now()
        steady = known.steady.read(now)
        rows = [
            {
                "name": member.name,
                "address": f"{member.host}:{member.port}",
                "life": member.life,
                "incarnation": member.incarnation,
                "rank": member.rank.name.lower(),
                "by": member.by,
                "for_s": round((steady - member.since) / 1e9, 3),
                "accusers": list(member.accusers),
                "heard_s": round((steady - member.heard) / 1e9, 3) if member.heard >= 0 else None,
            }
            for member in sorted(known.members.values(), key=lambda member: member.name)
        ]
        return {
            "me": known.me.name,
            "life": known.me.life,
            "incarnation": known.me.incarnation,
            "size": known.size,
            "view": f"{known.views.whole:016x}",
            "outlived": known.superseded,
            "health": known.health,
            "refuted": known.refuted,
            "stalls": known.steady.stalls,
            "members": rows,
            "refused": dict(self.refused),
            "held_back": self.held_back,
            "flooded": self.flooded,
            "no_room": known.no_room,
            "sent_a_second": round(self.sent.a_second(now)),
            "received_a_second": round(self.received_bytes.a_second(now)),
        }
