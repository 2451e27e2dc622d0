"""Which fronts are in, suspected and gone: SWIM with Lifeguard's local health, free of I/O. Held by peering/channel.py.

Each thing that can happen is a method; what is to be done is called on `driver`. Nothing here is trusted for safety: it
makes things quick, and is wrong for as long as it takes to find out.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Protocol

from curlewshift.membership.member import Claim, Member, Rank
from curlewshift.membership.terms import MembershipTerms
from curlewshift.membership.updates import News, spread
from curlewshift.membership.views import BUCKETS, Views, bucket_of
from curlewshift.schedule.steady_clock import SteadyClock


class Driver(Protocol):
    def now(self) -> int: ...
    def wake(self, at: int) -> None: ...
    def ping(self, to: Member, number: int) -> None: ...
    def ask(self, to: Member, number: int, target: Member) -> None: ...
    def nack(self, to: Member, number: int) -> None: ...
    def ack_for(self, to: Member, number: int) -> None: ...
    def tell(self, address: tuple[str, int], claims: list[Claim]) -> None: ...
    def pass_on(self, to: Member) -> None: ...
    def compare(self, address: tuple[str, int]) -> None: ...
    def pieces(self, address: tuple[str, int], claims: list[Claim]) -> None: ...
    def changed(self, member: Member, before: Rank | None, cause: str) -> None: ...
    def outlived(self, over: bool) -> None: ...


class Probe:
    """One that is out: ours, or one made for another that asked (`asker` and the asker's `number`)."""

    __slots__ = ("answered", "asked", "asker", "nacks", "number", "of", "target")

    def __init__(self, target: Member, asker: Member | None = None, number: int = 0):
        self.target, self.asker, self.number = target, asker, number
        self.of = (target.life, target.incarnation)
        self.asked, self.answered, self.nacks = 0, False, {}


class Membership:
    """`life` is greater than that of any earlier process of this name, as far as it knows; where peers know better it is
    raised. `seeds` are addresses. `driver.now()` may be any clock that goes on, even one that stalls or steps."""

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
        self.me = Member(name, *address, life, 0, Rank.ALIVE, self.now, name)
        self.members: dict[str, Member] = {}
        # those that are in, in the order in which they are probed (SWIM, section 4.3)
        self.ring: list[Member] = []
        self.at = 0
        self.views, self.news = Views(), News()
        self.views.flip(self.me.name, life, 0)
        self.health = 0
        # not from 1: an answer to an earlier life's probe must not pass for one to this one's
        self.numbers = count(rng.getrandbits(40))
        self.probes: dict[int, Probe] = {}
        self.timers: list[tuple[int, int, Callable, tuple]] = []
        self.order = count()
        self.begun = self.joined = self.leaving = False
        # another process has this name and came later: nothing is said until that one is gone
        self.superseded = False
        # since when peers have shown another view than this one, and when one was last compared
        self.differs: int | None = None
        self.pulled = self.now
        # most buckets differed when views were last compared, as after a cut: then they are compared more often
        self.apart = False
        # whom to look at next: in turn, as by chance one of few was left out for long (history 9355)
        self.looks = rng.getrandbits(16)
        self.armed: int | None = None
        self.refuted = self.no_room = self.old_words = 0

    @property
    def size(self) -> int:
        return len(self.ring) + 1

    # ---- the life of this front

    def start(self) -> None:
        self._read()
        self.begun = True
        self._after(self.rng.randrange(self.membership_terms.period), self._each_period)
        self._after(self.membership_terms.news_every, self._pass_news_on)
        self._look()
        self._arm()

    def leave(self) -> None:
        """In words, to as many as there is news for: a member that says so is not suspected first."""
        self._read()
        self.leaving = True
        self.me.rank = Rank.LEFT
        for member in spread(self.ring, 2 * self.membership_terms.news_to, self.rng):
            self.driver.tell(member.address, [self.me.claim()])

    def time(self) -> None:
        self._read()
        while self.timers and self.timers[0][0] <= self.now and not self.leaving:
            _, _, call, arguments = heapq.heappop(self.timers)
            call(*arguments)
        self.armed = None
        self._arm()

    # ---- what comes in; each tells whether the sender may be answered

    def heard(self, claim: Claim) -> Member | None:
        """A datagram came from this member itself; None if it is of an earlier life, or of one that is not let in."""
        self._read()
        if claim.name == self.me.name:
            if claim.life != self.me.life:
                self._own_name(claim)
            return None
        held = self.members.get(claim.name)
        if held is not None and claim.life < held.life:
            self.old_words += 1
            self.driver.tell((claim.host, claim.port), [held.claim()])
            return None
        self.joined = True
        self._take(claim, claim.name)
        held = self.members.get(claim.name)
        if held is None:
            return None
        held.heard = self.now
        if held.rank is not Rank.ALIVE and held.rank is not Rank.LEFT:
            # it can contradict only what it has heard (Lifeguard's buddy system)
            self.driver.tell(held.address, [held.claim()])
        self._arm()
        return held

    def told(self, claims: list[Claim], by: str) -> None:
        self._read()
        for claim in claims:
            self._take(claim, by)
        self._arm()

    def acked(self, number: int, by: Member) -> None:
        """`by` answered the probe of that number; a second answer finds nothing."""
        self._read()
        probe = self.probes.get(number)
        if probe is None:
            return
        if probe.asker is not None:
            if probe.target is by:
                del self.probes[number]
                self.driver.ack_for(probe.asker, probe.number)
        elif not probe.answered and (probe.target is by or probe.asked):
            probe.answered = True
            self._healthier(-1)

    def asked(self, asker: Member, number: int, target: str) -> None:
        """Another could not reach the target and asks for a try."""
        self._read()
        held = self.members.get(target)
        if held is None or not held.there:
            self.driver.nack(asker, number)
            return
        mine = next(self.numbers)
        self.probes[mine] = Probe(held, asker, number)
        self.driver.ping(held, mine)
        self._after(self.membership_terms.answer_within, self._tried_for_another, mine)
        self._arm()

    def nacked(self, number: int, by: Member) -> None:
        self._read()
        probe = self.probes.get(number)
        if probe is not None and probe.asker is None:
            probe.nacks[by.name] = None

    def digest_seen(self, by: Member, whole: int) -> None:
        """A view that goes on being another one is compared: news was lost, or there was a cut."""
        if whole == self.views.whole or self.superseded:
            self.differs, self.apart = None, False
        elif self.differs is None:
            self.differs = self.now
        elif self.apart or self.now - self.differs >= self.membership_terms.period:
            self._pull(by)

    def _pull(self, by: Member) -> None:
        if self.now - self.pulled >= self.membership_terms.period // (4 if self.apart else 1):
            self.pulled = self.now
            self.driver.compare(by.address)

    def compared(self, by: Member, written: bytes) -> None:
        """What lies in the buckets that differ goes out, and what the other has in them is asked for."""
        self._read()
        buckets = set(self.views.differ(written))
        if not buckets:
            return
        self.driver.pieces(
            by.address,
            [self.me.claim()] * (bucket_of(self.me.name) in buckets)
            + [member.claim() for member in self.members.values() if bucket_of(member.name) in buckets],
        )
        self.apart = 2 * len(buckets) > BUCKETS
        self._pull(by)
        self._arm()

    # ---- probing

    def _each_period(self) -> None:
        # who is slow waits longer for answers, but asks as often (Lifeguard asks less often too): the last one left of many
        # would otherwise need nine periods for each of the others
        health = self.health if self.membership_terms.lifeguard else 0
        self._after(self.membership_terms.period, self._each_period)
        if self.superseded:
            return
        self._forget()
        target = self._next_target()
        if target is None:
            return
        number = next(self.numbers)
        self.probes[number] = Probe(target)
        self.driver.ping(target, number)
        self._after(self.membership_terms.answer_within * (1 + health), self._ask_others, number)
        self._after(self.membership_terms.period * (1 + health) - 1, self._probe_over, number)

    def _next_target(self) -> Member | None:
        if not self.ring:
            return None
        if self.at >= len(self.ring):
            self.at = 0
            self.rng.shuffle(self.ring)
        self.at += 1
        return self.ring[self.at - 1]

    def _ask_others(self, number: int) -> None:
        probe = self.probes.get(number)
        if probe is None or probe.answered:
            return
        for helper in spread(self.ring, self.membership_terms.helpers, self.rng, but=probe.target):
            probe.asked += 1
            self.driver.ask(helper, number, probe.target)

    def _probe_over(self, number: int) -> None:
        probe = self.probes.pop(number, None)
        if probe is None or probe.answered:
            return
        # who could not even be told that the others failed too has reason to look at itself (Lifeguard, section IV-A)
        self._healthier(max(1, probe.asked - len(probe.nacks)))
        target = probe.target
        # it may have contradicted since: a probe from before a cut healed says nothing of after
        if target.there and self.members.get(target.name) is target and probe.of == (target.life, target.incarnation):
            self._accuse(target, [self.me.name, *probe.nacks])

    def _tried_for_another(self, mine: int) -> None:
        probe = self.probes.pop(mine, None)
        if probe is not None:
            self.driver.nack(probe.asker, probe.number)

    def _healthier(self, by: int) -> None:
        self.health = min(self.membership_terms.health_most, max(0, self.health + by))

    def _accuse(self, member: Member, accusers: list[str]) -> None:
        claim = member.claim()._replace(rank=int(Rank.SUSPECT), accusers=tuple(accusers[: self.membership_terms.witnesses + 1]))
        self._take(claim, self.me.name)

    # ---- claims

    def _take(self, claim: Claim, by: str) -> None:
        """The one place where a view changes."""
        if claim.name == self.me.name:
            self._own_name(claim)
            return
        held = self.members.get(claim.name)
        if held is None:
            self._newcomer(claim, by)
        elif claim.over(held):
            if self._may_be_true(claim, held, by):
                self._change(held, claim, by)
        elif claim.rank == held.rank == Rank.SUSPECT and claim[3:5] == (held.life, held.incarnation):
            self._also_accused(held, claim, by)

    def _newcomer(self, claim: Claim, by: str) -> None:
        # what is told of one that is gone, and of whom nothing is known, would bring back what was forgotten
        if claim.rank >= Rank.GONE:
            return
        if len(self.members) >= self.membership_terms.most_members and not self._make_room():
            self.no_room += 1
            return
        member = Member(claim.name, claim.host, claim.port, claim.life, claim.incarnation, Rank(claim.rank), self.now, by)
        member.accusers = dict.fromkeys(claim.accusers[: self.membership_terms.witnesses + 1])
        self.members[member.name] = member
        self._comes_in(member)
        self.news.put(member.claim())
        self.driver.changed(member, None, f"told by {by}" if by != member.name else "spoke")
        if member.rank is Rank.SUSPECT:
            self._suspected(member)

    def _may_be_true(self, claim: Claim, held: Member, by: str) -> bool:
        """Others' word that one is gone, whom this front holds to be in, makes it a suspect first: after a cut each side
        holds the other for gone, and would otherwise call its own gone by the other's word."""
        hearsay = claim.rank == Rank.GONE and by != self.me.name and claim.life == held.life
        if not hearsay or not held.there:
            return True
        if (
            held.rank is Rank.SUSPECT
            and claim.incarnation == held.incarnation
            and (self.now - held.since >= self.membership_terms.period * 2)
        ):
            return True
        accused = claim._replace(rank=int(Rank.SUSPECT), accusers=(by,))
        if accused.over(held):
            self._change(held, accused, by)
            # it may contradict at once, before others are told the same
            self.driver.tell(held.address, [held.claim()])
        else:
            self._also_accused(held, accused, by)
        return False

    def _change(self, held: Member, claim: Claim, by: str) -> None:
        before, there = held.rank, held.there
        if there:
            self.views.flip(held.name, held.life, held.incarnation)
        another = claim.life != held.life
        again = claim.rank == Rank.SUSPECT and claim.incarnation != held.incarnation
        held.host, held.port, held.life, held.incarnation = claim[1:5]
        held.rank = Rank(claim.rank)
        if held.rank is not before or another or again:
            held.since, held.by = self.now, by
        held.accusers = dict.fromkeys(claim.accusers[: self.membership_terms.witnesses + 1])
        if held.there:
            if there:
                self.views.flip(held.name, held.life, held.incarnation)
            else:
                self._comes_in(held)
        elif there:
            self._goes_out(held)
        if held.rank is Rank.SUSPECT:
            self._suspected(held)
        self.news.put(held.claim())
        if held.rank is not before or another:
            self.driver.changed(
                held,
                before,
                "spoke"
                if by == held.name
                else f"told by {by}"
                if by != self.me.name
                else "silent to " + ", ".join(held.accusers or [by]),
            )

    def _comes_in(self, member: Member) -> None:
        self.views.flip(member.name, member.life, member.incarnation)
        self.ring.insert(self.rng.randrange(len(self.ring) + 1), member)

    def _goes_out(self, member: Member) -> None:
        index = self.ring.index(member)
        del self.ring[index]
        self.at -= index < self.at

    def _suspected(self, member: Member) -> None:
        self._after(self._patience(member), self._suspicion_over, member, member.incarnation, member.life)

    def _patience(self, member: Member) -> int:
        return self.membership_terms.patience(self.size, len(member.accusers) - 1)

    def _also_accused(self, member: Member, claim: Claim, by: str) -> None:
        """More witnesses make the suspicion shorter, and are news as long as they do (Lifeguard, section IV-B)."""
        known = len(member.accusers)
        for name in claim.accusers:
            if len(member.accusers) <= self.membership_terms.witnesses:
                member.accusers[name] = None
        if len(member.accusers) > known:
            self.news.put(member.claim())
            self._suspicion_over(member, member.incarnation, member.life)

    def _suspicion_over(self, member: Member, incarnation: int, life: int) -> None:
        held = (member.rank, member.incarnation, member.life) == (Rank.SUSPECT, incarnation, life)
        if not held or self.members.get(member.name) is not member:
            return
        rest = member.since + self._patience(member) - self.now
        if rest > 0:
            # the fleet has grown since this was set: more could have accused it
            self._after(rest, self._suspicion_over, member, incarnation, life)
        else:
            self._change(member, member.claim()._replace(rank=int(Rank.GONE)), self.me.name)

    # ---- what is said of this front

    def _own_name(self, claim: Claim) -> None:
        """It alone can contradict: by a higher incarnation, or by a higher life where an earlier one's is still around."""
        me = self.me
        if claim.life < me.life or self.leaving:
            return
        if claim.life > me.life:
            if not self.joined or claim.rank >= Rank.GONE:
                self._be(claim.life + 1, 0)
                self._outlived(False)
                self.joined = True
            else:
                # a later process of this name is in: two would each undo what the other says
                self._outlived(True)
        elif claim.rank != Rank.ALIVE and claim.incarnation >= me.incarnation and not self.superseded:
            self.refuted += 1
            self._healthier(1)
            self._be(me.life, claim.incarnation + 1)
        elif claim.rank == Rank.ALIVE and self.superseded:
            # the later one has been forgotten, and this one is taken for in
            self._outlived(False)

    def _be(self, life: int, incarnation: int) -> None:
        self.views.flip(self.me.name, self.me.life, self.me.incarnation)
        self.me.life, self.me.incarnation = life, incarnation
        self.views.flip(self.me.name, life, incarnation)
        self.news.put(self.me.claim())

    def _outlived(self, over: bool) -> None:
        if over is not self.superseded:
            self.superseded = over
            self.driver.outlived(over)

    # ---- news, looks, and what is forgotten

    def take_news(self, room: int) -> list[Claim]:
        return [] if self.superseded else self.news.take(room, self.membership_terms.tellings(self.size))

    def _pass_news_on(self) -> None:
        self._after(self.membership_terms.news_every, self._pass_news_on)
        if not self.superseded:
            for member in spread(self.ring, self.membership_terms.news_to, self.rng):
                if not len(self.news):
                    break
                self.driver.pass_on(member)

    def _look(self) -> None:
        """At one that is gone, or at a seed that is not in; before it is in itself, at every seed."""
        self._after(self.membership_terms.period * (self.membership_terms.look_each if self.joined else 1), self._look)
        there = {member.address for member in self.ring}
        seeds = [seed for seed in self.seeds if seed not in there and seed != self.me.address]
        if not self.joined:
            for seed in seeds:
                self.driver.compare(seed)
            return
        gone = [member.address for member in self.members.values() if member.rank is Rank.GONE]
        others = list(dict.fromkeys(gone + seeds))
        if self.superseded:
            others += [member.address for member in spread(self.ring, 1, self.rng)]
        if others:
            self.looks += 1
            self.driver.compare(others[self.looks % len(others)])

    def _forget(self) -> None:
        old = [
            member
            for member in self.members.values()
            if not member.there and self.now - member.since > self.membership_terms.forget_after
        ]
        for member in old:
            self._drop(member)

    def _make_room(self) -> bool:
        """The one that is gone longest makes room; nobody that is in does."""
        gone = [member for member in self.members.values() if not member.there]
        if gone:
            self._drop(min(gone, key=lambda member: member.since))
        return bool(gone)

    def _drop(self, member: Member) -> None:
        del self.members[member.name]
        self.news.drop(member.name)

    # ---- time

    def _read(self) -> None:
        stalls = self.steady.stalls
        self.now = self.steady.read(self.driver.now())
        if self.steady.stalls != stalls:
            self._healthier(1)

    def _after(self, wait: int, call: Callable, *arguments) -> None:
        heapq.heappush(self.timers, (self.now + wait, next(self.order), call, arguments))

    def _arm(self) -> None:
        """Wakes are asked for again where the clock has been found to be off."""
        if self.begun and self.timers and not self.leaving:
            due = max(self.timers[0][0], self.now)
            at = self.steady.reading_of(due)
            if (due, at) != (self.steady.due, self.armed):
                self.steady.due, self.armed = due, at
                self.driver.wake(at)
