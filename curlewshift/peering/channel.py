"""A member's channel to its peers, free of I/O: membership, frames, sequence numbers and rate limits.

The same object is used behind a socket (peering/wire.py), on virtual links (emulator/peers.py) and in tests. Other subsystems
register a frame kind with `register_handler` and send with `send`. Probes and their answers take precedence; all other frames
share one rate limit.
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
    COMPARE,
    FIRST_SUBSYSTEM_KIND,
    MAX_DATAGRAM_BYTES,
    MEMBER_LIST,
    NACK,
    PING,
    PING_REQUEST,
    REASONS,
    UPDATES,
    DatagramRejected,
    Frame,
    ReplayWindow,
    decode,
    encode,
)
from curlewshift.peering.rates import DecayingSum, TokenBucket

# Maximum size of a frame without claims, including the overhead of an empty list of claims (bytes).
FRAME_OVERHEAD_BYTES = 330
# Datagrams beyond this rate are dropped undecoded, so that a flood does not take processor time from viewings.
MAX_READ_BYTES_PER_SECOND = 4 * 1024 * 1024


class Host(Protocol):
    """The channel's I/O. Times are in ns; `wake` asks for a call of `Channel.time` at that time. `outlived` reports that a later
    process with this member's name has joined (True), or is gone again (False)."""

    def now(self) -> int: ...
    def wake(self, at: int) -> None: ...
    def post(self, address: tuple[str, int], data: bytes) -> None: ...
    def member_changed(self, member: Member, before: Rank | None, cause: str) -> None: ...
    def outlived(self, superseded: bool) -> None: ...


class Channel:
    """`life` numbers this run of the process; a restart is a new life. `most_bytes` limits what is sent besides probes and their
    answers (bytes/s). `seeds` are the addresses of the members to contact first."""

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
        self.allowance = TokenBucket(most_bytes, host.now())
        self.read_allowance = TokenBucket(MAX_READ_BYTES_PER_SECOND, host.now())
        self.sent, self.received_bytes = DecayingSum(host.now()), DecayingSum(host.now())
        self.refused = dict.fromkeys(REASONS, 0)
        self.held_back = self.flooded = 0
        self.numbers = count(1)
        self.windows: dict[str, ReplayWindow] = {}
        self.handlers: dict[int, Callable[[Member, bytes], None]] = {}
        # source and handler of the data piggybacked on probes and their answers; without them these frames have no body
        self.piggyback: tuple[Callable[[], bytes], Callable[[Member, bytes], None]] | None = None
        self.membership = membership(self, name, address, life, seeds, membership_terms, rng)

    # ---- events

    def start(self) -> None:
        self.membership.start()

    def time(self) -> None:
        self.membership.time()

    def leave(self) -> None:
        self.membership.leave()

    def register_handler(self, kind: int, handler: Callable[[Member, bytes], None]) -> None:
        """Registers the handler for frames of this kind; it is called with the sender and the body."""
        if kind < FIRST_SUBSYSTEM_KIND or kind in self.handlers:
            raise ValueError(f"frame kind {kind} is reserved or already registered")
        self.handlers[kind] = handler

    def register_piggyback(self, source: Callable[[], bytes], handler: Callable[[Member, bytes], None]) -> None:
        """Piggybacks data on probes and their answers. `source` is called for each one sent and returns about 60 bytes at most;
        `handler` is called with what other members piggyback. This takes no extra datagram and is not rate limited."""
        if self.piggyback is not None:
            raise ValueError("piggybacked data is already registered")
        self.piggyback = source, handler

    def received(self, data: bytes) -> None:
        """Handles a datagram. Nothing is raised, whatever it contains, and other members' datagrams are not affected."""
        now = self.host.now()
        if not self.read_allowance.take(now, len(data)):
            self.flooded += 1
            return
        self.received_bytes.add(now, len(data))
        try:
            frame = decode(data, self.site)
            sender = self._accept_sender(frame)
        except DatagramRejected as rejected:
            self.refused[str(rejected)] += 1
            return
        if sender is not None:
            self._dispatch(frame, sender)

    def _accept_sender(self, frame: Frame) -> Member | None:
        """The member that sent the frame. Raises `DatagramRejected` for replayed frames, earlier lives and unknown senders."""
        members = self.membership.members
        window = self.windows.get(frame.name)
        if window is not None and window.life == frame.life:
            window.take(frame.number)
        sender = self.membership.receive_from(frame.sender())
        if sender is None:
            held = members.get(frame.name)
            raise DatagramRejected("old-life" if held is not None and frame.life < held.life else "unknown")
        if window is None or window.life != frame.life:
            if len(self.windows) > 2 * self.membership.membership_terms.max_members:
                self.windows = {name: kept for name, kept in self.windows.items() if name in members}
            window = self.windows[frame.name] = ReplayWindow(frame.life)
            window.take(frame.number)
        return sender

    def _dispatch(self, frame: Frame, sender: Member) -> None:
        membership = self.membership
        if frame.claims:
            membership.receive_claims([Claim(*claim) for claim in frame.claims], sender.name)
        if membership.superseded:
            # a later process has this name: this one answers nobody, and waits for that process to end
            return
        if frame.kind == PING:
            self._send(sender.address, ACK, probe=frame.probe, body=self._piggyback_body())
            membership.receive_digest(sender, frame.view)
        elif frame.kind == ACK:
            membership.receive_ack(frame.probe, sender)
            membership.receive_digest(sender, frame.view)
        elif frame.kind == PING_REQUEST:
            membership.receive_probe_request(sender, frame.probe, frame.target)
        elif frame.kind == NACK:
            membership.receive_nack(frame.probe, sender)
        elif frame.kind == COMPARE:
            membership.receive_buckets(sender, frame.body)
        elif frame.kind in self.handlers:
            self.handlers[frame.kind](sender, frame.body)
        if frame.body and frame.kind in (PING, ACK) and self.piggyback is not None:
            self.piggyback[1](sender, frame.body)

    def _piggyback_body(self) -> bytes:
        return self.piggyback[0]() if self.piggyback is not None else b""

    def send(self, to: Member, kind: int, body: bytes) -> bool:
        """Sends a body of a registered kind. False if the rate limit is reached or the body is too large: it is dropped, not
        queued."""
        return self._send(to.address, kind, body=body, limited=True, with_updates=False)

    # ---- membership's driver

    def now(self) -> int:
        return self.host.now()

    def wake(self, at: int) -> None:
        self.host.wake(at)

    def ping(self, to: Member, number: int) -> None:
        # a suspected member learns of the suspicion from the probe itself, so that it can refute it at once
        first = [to.claim()] if to.rank is Rank.SUSPECT else []
        self._send(to.address, PING, probe=number, claims=first, body=self._piggyback_body())

    def request_probe(self, to: Member, number: int, target: Member) -> None:
        self._send(to.address, PING_REQUEST, probe=number, target=target.name)

    def nack(self, to: Member, number: int) -> None:
        self._send(to.address, NACK, probe=number)

    def ack_for(self, to: Member, number: int) -> None:
        self._send(to.address, ACK, probe=number, body=self._piggyback_body())

    def send_claims(self, address: tuple[str, int], claims: list[Claim]) -> None:
        self._send(address, UPDATES, claims=claims, limited=True, with_updates=False)

    def send_updates(self, to: Member) -> None:
        self._send(to.address, UPDATES, limited=True)

    def send_buckets(self, address: tuple[str, int]) -> None:
        self._send(address, COMPARE, body=self.membership.views.to_bytes(), limited=True, with_updates=False)

    def send_members(self, address: tuple[str, int], claims: list[Claim]) -> None:
        """Sends all claims in full datagrams, from a random start. What the rate limit does not allow is left to the next
        comparison, which starts elsewhere."""
        start = self.membership.rng.randrange(len(claims)) if claims else 0
        batch, space = [], MAX_DATAGRAM_BYTES - FRAME_OVERHEAD_BYTES
        for claim in claims[start:] + claims[:start]:
            if claim.size() > space:
                if not self._send(address, MEMBER_LIST, claims=batch, limited=True, with_updates=False):
                    return
                batch, space = [], MAX_DATAGRAM_BYTES - FRAME_OVERHEAD_BYTES
            batch.append(claim)
            space -= claim.size()
        if batch:
            self._send(address, MEMBER_LIST, claims=batch, limited=True, with_updates=False)

    def changed(self, member: Member, before: Rank | None, cause: str) -> None:
        self.host.member_changed(member, before, cause)

    def superseded_changed(self, superseded: bool) -> None:
        self.host.outlived(superseded)

    def _send(
        self,
        address: tuple[str, int],
        kind: int,
        probe: int = 0,
        target: str = "",
        claims: list[Claim] = (),
        body: bytes = b"",
        limited: bool = False,
        with_updates: bool = True,
    ) -> bool:
        local = self.membership.local_member
        sent_claims = list(claims)
        if with_updates:
            sent_claims += self.membership.take_updates(
                MAX_DATAGRAM_BYTES - FRAME_OVERHEAD_BYTES - len(body) - sum(claim.size() for claim in sent_claims)
            )
        data = encode(
            Frame(
                self.site,
                local.name,
                local.host,
                local.port,
                local.life,
                local.incarnation,
                next(self.numbers),
                kind,
                probe,
                target,
                self.membership.views.digest,
                sent_claims,
                body,
            )
        )
        now = self.host.now()
        if len(data) > MAX_DATAGRAM_BYTES or (limited and not self.allowance.take(now, len(data))):
            self.held_back += 1
            return False
        self.sent.add(now, len(data))
        self.host.post(address, data)
        return True

    # ---- for operators

    def show(self) -> dict:
        """Plain data: members that are in, suspected and gone, since when (s ago), and which member reported it."""
        membership, now = self.membership, self.host.now()
        steady = membership.steady.read(now)
        rows = [
            {
                "name": member.name,
                "address": f"{member.host}:{member.port}",
                "life": member.life,
                "incarnation": member.incarnation,
                "rank": member.rank.name.lower(),
                "by": member.reported_by,
                "for_s": round((steady - member.since) / 1e9, 3),
                "accusers": list(member.accusers),
                "heard_s": round((steady - member.last_seen_at) / 1e9, 3) if member.last_seen_at >= 0 else None,
            }
            for member in sorted(membership.members.values(), key=lambda member: member.name)
        ]
        return {
            "me": membership.local_member.name,
            "life": membership.local_member.life,
            "incarnation": membership.local_member.incarnation,
            "size": membership.size,
            "view": f"{membership.views.digest:016x}",
            "outlived": membership.superseded,
            "health": membership.health,
            "refuted": membership.refuted,
            "stalls": membership.steady.stalls,
            "members": rows,
            "refused": dict(self.refused),
            "held_back": self.held_back,
            "flooded": self.flooded,
            "no_room": membership.no_room,
            "sent_a_second": round(self.sent.per_second(now)),
            "received_a_second": round(self.received_bytes.per_second(now)),
        }
