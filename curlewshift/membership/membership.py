"""Membership and failure detection by SWIM with Lifeguard's local health, free of I/O. Driven by peering/channel.py.

Each event is a method; what has to be done is called on `driver`. Nothing that must hold for safety relies on this view: it makes
reactions quick, and it is wrong until a change has been detected and passed on.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Protocol

from curlewshift.membership.member import Claim, Member, Rank
from curlewshift.membership.terms import MembershipTerms
from curlewshift.membership.updates import UpdateQueue, sample_members
from curlewshift.membership.views import BUCKETS, Views, bucket_of
from curlewshift.schedule.steady_clock import SteadyClock


class Driver(Protocol):
    """What `Membership` calls on its environment: clock, wake-ups, datagrams and notifications. Times are ns."""

    def now(self) -> int: ...
    def wake(self, at: int) -> None: ...
    def ping(self, to: Member, number: int) -> None: ...
    def request_probe(self, to: Member, number: int, target: Member) -> None: ...
    def nack(self, to: Member, number: int) -> None: ...
    def ack_for(self, to: Member, number: int) -> None: ...
    def send_claims(self, address: tuple[str, int], claims: list[Claim]) -> None: ...
    def send_updates(self, to: Member) -> None: ...
    def send_buckets(self, address: tuple[str, int]) -> None: ...
    def send_members(self, address: tuple[str, int], claims: list[Claim]) -> None: ...
    def changed(self, member: Member, before: Rank | None, cause: str) -> None: ...
    def superseded_changed(self, superseded: bool) -> None: ...


class Probe:
    """An outstanding probe of this member's own, or one made on behalf of `requester`, under the requester's `number`."""

    __slots__ = ("answered", "helpers_asked", "nacks", "number", "requester", "target", "target_version")

    def __init__(self, target: Member, requester: Member | None = None, number: int = 0):
        self.target, self.requester, self.number = target, requester, number
        self.target_version = (target.life, target.incarnation)
        self.helpers_asked, self.answered, self.nacks = 0, False, {}


class Membership:
    """`life` has to be greater than that of any earlier process of this name that this one knows of; where peers know a greater
    one it is raised. `seeds` are addresses. `driver.now()` (ns) may be any clock that advances, even one that stalls or steps."""

    def __init__(
        self,
        driver: Driver,
        name: str,
        address: tuple[str, int],
        life: int,
        seeds: list[tuple[str, int]],
        membership_terms: MembershipTerms,
        rng: Random,
    ):
        self.driver, self.membership_terms, self.rng, self.seeds = driver, membership_terms, rng, seeds
        self.steady = SteadyClock(driver.now(), membership_terms.period // 2)
        self.now = self.steady.last
        self.local_member = Member(name, *address, life, 0, Rank.ALIVE, self.now, name)
        self.members: dict[str, Member] = {}
        # members that are alive or suspect, in the order in which they are probed (SWIM, section 4.3)
        self.ring: list[Member] = []
        self.ring_index = 0
        self.views, self.updates = Views(), UpdateQueue()
        self.views.toggle(self.local_member.name, life, 0)
        self.health = 0
        # starts at a random number, so that an answer to a probe of an earlier life does not match a probe of this one
        self.numbers = count(rng.getrandbits(40))
        self.probes: dict[int, Probe] = {}
        self.timers: list[tuple[int, int, Callable, tuple]] = []
        self.timer_sequence = count()
        self.started = self.joined = self.leaving = False
        # a later process has this member's name: this one sends nothing until the later one is gone
        self.superseded = False
        # since when peers have shown a digest other than this member's own, and when views were last compared
        self.differs_since: int | None = None
        self.last_pull_at = self.now
        # most buckets differed in the last comparison, as after a partition: views are then compared more often
        self.mostly_differs = False
        # index of the next absent member to contact: they are taken in turn, since random draws left one of a few out for long
        # (random history 9355)
        self.contacts = rng.getrandbits(16)
        self.armed_at: int | None = None
        self.refuted = self.no_room = self.stale_claims = 0

    @property
    def size(self) -> int:
        return len(self.ring) + 1

    # ---- start, leave and timers

    def start(self) -> None:
        self._read_clock()
        self.started = True
        self._schedule(self.rng.randrange(self.membership_terms.period), self._start_probe)
        self._schedule(self.membership_terms.update_interval, self._send_updates)
        self._contact_absent()
        self._arm_wakeup()

    def leave(self) -> None:
        """Announces the departure to twice as many members as one round of updates, so that this member is not suspected
        first."""
        self._read_clock()
        self.leaving = True
        self.local_member.rank = Rank.LEFT
        for member in sample_members(self.ring, 2 * self.membership_terms.update_fanout, self.rng):
            self.driver.send_claims(member.address, [self.local_member.claim()])

    def time(self) -> None:
        self._read_clock()
        while self.timers and self.timers[0][0] <= self.now and not self.leaving:
            _, _, callback, arguments = heapq.heappop(self.timers)
            callback(*arguments)
        self.armed_at = None
        self._arm_wakeup()

    # ---- received messages

    def receive_from(self, claim: Claim) -> Member | None:
        """A datagram was received from this member itself. Returns None if it is of an earlier life or the member is not
        admitted."""
        self._read_clock()
        if claim.name == self.local_member.name:
            if claim.life != self.local_member.life:
                self._refute_or_yield(claim)
            return None
        member = self.members.get(claim.name)
        if member is not None and claim.life < member.life:
            self.stale_claims += 1
            self.driver.send_claims((claim.host, claim.port), [member.claim()])
            return None
        self.joined = True
        self._apply_claim(claim, claim.name)
        member = self.members.get(claim.name)
        if member is None:
            return None
        member.last_seen_at = self.now
        if member.rank is not Rank.ALIVE and member.rank is not Rank.LEFT:
            # a member can refute only the claims that it has received (Lifeguard's buddy system)
            self.driver.send_claims(member.address, [member.claim()])
        self._arm_wakeup()
        return member

    def receive_claims(self, claims: list[Claim], by: str) -> None:
        self._read_clock()
        for claim in claims:
            self._apply_claim(claim, by)
        self._arm_wakeup()

    def receive_ack(self, number: int, by: Member) -> None:
        """`by` answered the probe of this number; a repeated answer has no effect."""
        self._read_clock()
        probe = self.probes.get(number)
        if probe is None:
            return
        if probe.requester is not None:
            if probe.target is by:
                del self.probes[number]
                self.driver.ack_for(probe.requester, probe.number)
        elif not probe.answered and (probe.target is by or probe.helpers_asked):
            probe.answered = True
            self._adjust_health(-1)

    def receive_probe_request(self, requester: Member, number: int, target: str) -> None:
        """Another member could not reach `target` and requests an indirect probe."""
        self._read_clock()
        member = self.members.get(target)
        if member is None or not member.is_present:
            self.driver.nack(requester, number)
            return
        own_number = next(self.numbers)
        self.probes[own_number] = Probe(member, requester, number)
        self.driver.ping(member, own_number)
        self._schedule(self.membership_terms.answer_within, self._indirect_probe_timed_out, own_number)
        self._arm_wakeup()

    def receive_nack(self, number: int, by: Member) -> None:
        self._read_clock()
        probe = self.probes.get(number)
        if probe is not None and probe.requester is None:
            probe.nacks[by.name] = None

    def receive_digest(self, by: Member, digest: int) -> None:
        """Starts a comparison when a peer's digest has differed for a period: updates were lost, or there was a partition."""
        if digest == self.views.digest or self.superseded:
            self.differs_since, self.mostly_differs = None, False
        elif self.differs_since is None:
            self.differs_since = self.now
        elif self.mostly_differs or self.now - self.differs_since >= self.membership_terms.period:
            self._pull(by)

    def _pull(self, by: Member) -> None:
        if self.now - self.last_pull_at >= self.membership_terms.period // (4 if self.mostly_differs else 1):
            self.last_pull_at = self.now
            self.driver.send_buckets(by.address)

    def receive_buckets(self, by: Member, written: bytes) -> None:
        """Sends the members in the buckets that differ, and requests the peer's own."""
        self._read_clock()
        buckets = set(self.views.differing_buckets(written))
        if not buckets:
            return
        self.driver.send_members(
            by.address,
            [self.local_member.claim()] * (bucket_of(self.local_member.name) in buckets)
            + [member.claim() for member in self.members.values() if bucket_of(member.name) in buckets],
        )
        self.mostly_differs = 2 * len(buckets) > BUCKETS
        self._pull(by)
        self._arm_wakeup()

    # ---- probing

    def _start_probe(self) -> None:
        # a member with a bad health score waits longer for answers but probes as often; Lifeguard probes less often too, but then
        # the last survivor of many members would need nine periods to detect each of the others
        health = self.health if self.membership_terms.lifeguard else 0
        self._schedule(self.membership_terms.period, self._start_probe)
        if self.superseded:
            return
        self._forget()
        target = self._next_target()
        if target is None:
            return
        number = next(self.numbers)
        self.probes[number] = Probe(target)
        self.driver.ping(target, number)
        self._schedule(self.membership_terms.answer_within * (1 + health), self._request_indirect_probes, number)
        self._schedule(self.membership_terms.period * (1 + health) - 1, self._probe_timed_out, number)

    def _next_target(self) -> Member | None:
        if not self.ring:
            return None
        if self.ring_index >= len(self.ring):
            self.ring_index = 0
            self.rng.shuffle(self.ring)
        self.ring_index += 1
        return self.ring[self.ring_index - 1]

    def _request_indirect_probes(self, number: int) -> None:
        probe = self.probes.get(number)
        if probe is None or probe.answered:
            return
        for helper in sample_members(self.ring, self.membership_terms.indirect_probes, self.rng, exclude=probe.target):
            probe.helpers_asked += 1
            self.driver.request_probe(helper, number, probe.target)

    def _probe_timed_out(self, number: int) -> None:
        probe = self.probes.pop(number, None)
        if probe is None or probe.answered:
            return
        # a helper that sent no nack either is evidence that this member itself is slow (Lifeguard, section IV-A)
        self._adjust_health(max(1, probe.helpers_asked - len(probe.nacks)))
        target = probe.target
        # the target may have refuted since: a probe from before a partition healed says nothing about the time after
        if (
            target.is_present
            and self.members.get(target.name) is target
            and probe.target_version == (target.life, target.incarnation)
        ):
            self._suspect(target, [self.local_member.name, *probe.nacks])

    def _indirect_probe_timed_out(self, own_number: int) -> None:
        probe = self.probes.pop(own_number, None)
        if probe is not None:
            self.driver.nack(probe.requester, probe.number)

    def _adjust_health(self, by: int) -> None:
        self.health = min(self.membership_terms.max_health, max(0, self.health + by))

    def _suspect(self, member: Member, accusers: list[str]) -> None:
        claim = member.claim()._replace(
            rank=int(Rank.SUSPECT), accusers=tuple(accusers[: self.membership_terms.max_confirmations + 1])
        )
        self._apply_claim(claim, self.local_member.name)

    # ---- claims

    def _apply_claim(self, claim: Claim, by: str) -> None:
        """All changes of the view go through here."""
        if claim.name == self.local_member.name:
            self._refute_or_yield(claim)
            return
        member = self.members.get(claim.name)
        if member is None:
            self._add_member(claim, by)
        elif claim.supersedes(member):
            if self._accepts(claim, member, by):
                self._update_member(member, claim, by)
        elif claim.rank == member.rank == Rank.SUSPECT and claim[3:5] == (member.life, member.incarnation):
            self._add_accusers(member, claim, by)

    def _add_member(self, claim: Claim, by: str) -> None:
        # a claim that an unknown member is gone would bring back a member that has been forgotten
        if claim.rank >= Rank.GONE:
            return
        if len(self.members) >= self.membership_terms.max_members and not self._make_room():
            self.no_room += 1
            return
        member = Member(claim.name, claim.host, claim.port, claim.life, claim.incarnation, Rank(claim.rank), self.now, by)
        member.accusers = dict.fromkeys(claim.accusers[: self.membership_terms.max_confirmations + 1])
        self.members[member.name] = member
        self._join_ring(member)
        self.updates.put(member.claim())
        self.driver.changed(member, None, f"reported by {by}" if by != member.name else "message received from it")
        if member.rank is Rank.SUSPECT:
            self._start_suspicion_timer(member)

    def _accepts(self, claim: Claim, member: Member, by: str) -> bool:
        """A report by another that a present member is gone makes it a suspect first. After a partition each side holds the other
        for gone, and would otherwise declare its own members gone on the other's reports."""
        hearsay = claim.rank == Rank.GONE and by != self.local_member.name and claim.life == member.life
        if not hearsay or not member.is_present:
            return True
        if (
            member.rank is Rank.SUSPECT
            and claim.incarnation == member.incarnation
            and (self.now - member.since >= self.membership_terms.period * 2)
        ):
            return True
        accused = claim._replace(rank=int(Rank.SUSPECT), accusers=(by,))
        if accused.supersedes(member):
            self._update_member(member, accused, by)
            # lets the member refute at once, before others receive the same claim
            self.driver.send_claims(member.address, [member.claim()])
        else:
            self._add_accusers(member, accused, by)
        return False

    def _update_member(self, member: Member, claim: Claim, by: str) -> None:
        before, was_present = member.rank, member.is_present
        if was_present:
            self.views.toggle(member.name, member.life, member.incarnation)
        new_life = claim.life != member.life
        accused_again = claim.rank == Rank.SUSPECT and claim.incarnation != member.incarnation
        member.host, member.port, member.life, member.incarnation = claim[1:5]
        member.rank = Rank(claim.rank)
        if member.rank is not before or new_life or accused_again:
            member.since, member.reported_by = self.now, by
        member.accusers = dict.fromkeys(claim.accusers[: self.membership_terms.max_confirmations + 1])
        if member.is_present:
            if was_present:
                self.views.toggle(member.name, member.life, member.incarnation)
            else:
                self._join_ring(member)
        elif was_present:
            self._leave_ring(member)
        if member.rank is Rank.SUSPECT:
            self._start_suspicion_timer(member)
        self.updates.put(member.claim())
        if member.rank is not before or new_life:
            self.driver.changed(
                member,
                before,
                "message received from it"
                if by == member.name
                else f"reported by {by}"
                if by != self.local_member.name
                else "no answer to probes by " + ", ".join(member.accusers or [by]),
            )

    def _join_ring(self, member: Member) -> None:
        self.views.toggle(member.name, member.life, member.incarnation)
        self.ring.insert(self.rng.randrange(len(self.ring) + 1), member)

    def _leave_ring(self, member: Member) -> None:
        index = self.ring.index(member)
        del self.ring[index]
        self.ring_index -= index < self.ring_index

    def _start_suspicion_timer(self, member: Member) -> None:
        self._schedule(self._suspicion_timeout(member), self._suspicion_timed_out, member, member.incarnation, member.life)

    def _suspicion_timeout(self, member: Member) -> int:
        return self.membership_terms.suspicion_timeout(self.size, len(member.accusers) - 1)

    def _add_accusers(self, member: Member, claim: Claim, by: str) -> None:
        """Further accusers shorten the suspicion time-out; each one that does is passed on (Lifeguard, section IV-B)."""
        known = len(member.accusers)
        for name in claim.accusers:
            if len(member.accusers) <= self.membership_terms.max_confirmations:
                member.accusers[name] = None
        if len(member.accusers) > known:
            self.updates.put(member.claim())
            self._suspicion_timed_out(member, member.incarnation, member.life)

    def _suspicion_timed_out(self, member: Member, incarnation: int, life: int) -> None:
        unchanged = (member.rank, member.incarnation, member.life) == (Rank.SUSPECT, incarnation, life)
        if not unchanged or self.members.get(member.name) is not member:
            return
        remaining = member.since + self._suspicion_timeout(member) - self.now
        if remaining > 0:
            # the site has grown since the timer was set: more members could have confirmed the suspicion
            self._schedule(remaining, self._suspicion_timed_out, member, incarnation, life)
        else:
            self._update_member(member, member.claim()._replace(rank=int(Rank.GONE)), self.local_member.name)

    # ---- claims about this member

    def _refute_or_yield(self, claim: Claim) -> None:
        """Refutes by a higher incarnation, or by a higher life where claims about an earlier life are still in circulation."""
        local = self.local_member
        if claim.life < local.life or self.leaving:
            return
        if claim.life > local.life:
            if not self.joined or claim.rank >= Rank.GONE:
                self._set_own_life(claim.life + 1, 0)
                self._set_superseded(False)
                self.joined = True
            else:
                # a later process of this name is in service: each of the two would undo the other's claims
                self._set_superseded(True)
        elif claim.rank != Rank.ALIVE and claim.incarnation >= local.incarnation and not self.superseded:
            self.refuted += 1
            self._adjust_health(1)
            self._set_own_life(local.life, claim.incarnation + 1)
        elif claim.rank == Rank.ALIVE and self.superseded:
            # the later process has been forgotten, and this one is considered alive
            self._set_superseded(False)

    def _set_own_life(self, life: int, incarnation: int) -> None:
        self.views.toggle(self.local_member.name, self.local_member.life, self.local_member.incarnation)
        self.local_member.life, self.local_member.incarnation = life, incarnation
        self.views.toggle(self.local_member.name, life, incarnation)
        self.updates.put(self.local_member.claim())

    def _set_superseded(self, superseded: bool) -> None:
        if superseded is not self.superseded:
            self.superseded = superseded
            self.driver.superseded_changed(superseded)

    # ---- updates, contact with absent members, expiry

    def take_updates(self, room: int) -> list[Claim]:
        return [] if self.superseded else self.updates.take(room, self.membership_terms.max_transmissions(self.size))

    def _send_updates(self) -> None:
        self._schedule(self.membership_terms.update_interval, self._send_updates)
        if not self.superseded:
            for member in sample_members(self.ring, self.membership_terms.update_fanout, self.rng):
                if not len(self.updates):
                    break
                self.driver.send_updates(member)

    def _contact_absent(self) -> None:
        """Sends this member's buckets to one member that is gone or one seed that is not in the view, in turn; until this member
        has joined, to every seed."""
        self._schedule(
            self.membership_terms.period * (self.membership_terms.contact_periods if self.joined else 1), self._contact_absent
        )
        present = {member.address for member in self.ring}
        seeds = [seed for seed in self.seeds if seed not in present and seed != self.local_member.address]
        if not self.joined:
            for seed in seeds:
                self.driver.send_buckets(seed)
            return
        gone = [member.address for member in self.members.values() if member.rank is Rank.GONE]
        targets = list(dict.fromkeys(gone + seeds))
        if self.superseded:
            targets += [member.address for member in sample_members(self.ring, 1, self.rng)]
        if targets:
            self.contacts += 1
            self.driver.send_buckets(targets[self.contacts % len(targets)])

    def _forget(self) -> None:
        expired = [
            member
            for member in self.members.values()
            if not member.is_present and self.now - member.since > self.membership_terms.forget_after
        ]
        for member in expired:
            self._drop(member)

    def _make_room(self) -> bool:
        """Drops the member that has been absent longest; a present member is never dropped."""
        absent = [member for member in self.members.values() if not member.is_present]
        if absent:
            self._drop(min(absent, key=lambda member: member.since))
        return bool(absent)

    def _drop(self, member: Member) -> None:
        del self.members[member.name]
        self.updates.drop(member.name)

    # ---- clock and timers

    def _read_clock(self) -> None:
        stalls = self.steady.stalls
        self.now = self.steady.read(self.driver.now())
        if self.steady.stalls != stalls:
            self._adjust_health(1)

    def _schedule(self, wait: int, callback: Callable, *arguments) -> None:
        heapq.heappush(self.timers, (self.now + wait, next(self.timer_sequence), callback, arguments))

    def _arm_wakeup(self) -> None:
        """Requests a wake-up for the next timer; again where the clock turned out to have stalled or stepped."""
        if self.started and self.timers and not self.leaving:
            due = max(self.timers[0][0], self.now)
            at = self.steady.reading_of(due)
            if (due, at) != (self.steady.due, self.armed_at):
                self.steady.due, self.armed_at = due, at
                self.driver.wake(at)
