"""Fronts with planted faults, each of which breaks one rule: a fault injection run must detect every one of them.

Used only by `curlewshift front --sabotage NAME`, never by a front in service.
"""

from __future__ import annotations

from dataclasses import replace

from curlewshift.emulator.lease_histories import FAULTS as LEASE_FAULTS
from curlewshift.emulator.planted_shedding_faults import FAULTS as SHED_FAULTS
from curlewshift.emulator.seat_histories import FAULTS as SEAT_FAULTS
from curlewshift.front.front import Front
from curlewshift.front.http_listener import HttpListener
from curlewshift.front.planted_configuration_faults import FRONTS as CONFIGURATION_FAULTS
from curlewshift.front.planted_configuration_faults import MACHINES as MACHINE_FAULTS
from curlewshift.front.server_pool import ServerPool
from curlewshift.leases.acceptor import LeaseAcceptor
from curlewshift.leases.proposer import LeaseProposer
from curlewshift.membership.membership import Membership
from curlewshift.model import Outcome
from curlewshift.model_checker.budget_checker import FAULTS
from curlewshift.overload.overload import Overload
from curlewshift.peering.leased import LeaseTaskProtocol
from curlewshift.peering.overloaded import OverloadProtocol
from curlewshift.peering.shared import SharingProtocol
from curlewshift.peering.wire import PeerSocket
from curlewshift.rules import NEVER_RAN, Rules
from curlewshift.session_core.session_core import SessionCore
from curlewshift.sharing.evidence import Evidence
from curlewshift.sharing.loans import Loans
from curlewshift.sharing.renewable_loans import RenewableLoans
from curlewshift.sharing.sharing import Sharing

# A fault that is not to hit everything hits one in this many.
FAULT_INTERVAL = 8


class LoseAnswer(Front):
    """Leaves one in `FAULT_INTERVAL` requests without an answer."""

    count = 0

    def answer(self, request, answer):
        self.count += 1
        if self.count % FAULT_INTERVAL:
            super().answer(request, answer)


class DuplicateAnswerListener(HttpListener):
    """Writes a second response after one in `FAULT_INTERVAL` answers on the same connection."""

    count = 0

    async def write(self, exchange, answer, permit=None):
        await super().write(exchange, answer, permit)
        self.count += 1
        if not self.count % FAULT_INTERVAL:
            await exchange.connection.stream.send(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n")


class AnswerTwice(Front):
    """Answers some requests twice; see `DuplicateAnswerListener`."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.http_listener.__class__ = DuplicateAnswerListener


class ResendPaid(Rules):
    """Treats every failed set-up as one that never ran."""

    def ended(self, viewing, outcome, closed):
        if not closed and not viewing.playing and not viewing.ended and outcome not in NEVER_RAN:
            outcome = Outcome.UNREACHED
        super().ended(viewing, outcome, closed)


class IgnoreDrain(Rules):
    """Treats every server as open, also when it drains."""

    def listed(self, lines, stale):
        super().listed(lines, stale)
        for server in self.servers:
            server.open = True

    def _may_send(self, server):
        return True


class SessionCoreIgnoringLeavers(SessionCore):
    """Sends a waiting tune-in even if its server has left the list or its time has passed meanwhile."""

    def stands(self, tune_in):
        return tune_in.outcome is None


class SessionCoreIgnoringHangUps(SessionCore):
    """Ignores that a viewer has closed its connection."""

    def hung_up(self, request):
        pass


class PushCold(Rules):
    """Prefers cold servers and does not limit the rate of tune-ins to them."""

    def listed(self, lines, stale):
        super().listed(lines, stale)
        for server in self.servers:
            server.unproven_until = 0

    def _may_send(self, server):
        return server.open

    def _room(self, server, rate=0.0, bound=3.09, viewing=None):
        room = super()._room(server, rate, bound, viewing)
        return 1e9 if self.host.now() < server.cold_until and room > 0 else room


class UnderFloor(Front):
    """Ignores the floors of packages."""

    def __init__(self, site, *args, **options):
        site.packages = [replace(package, floor=0) for package in site.packages]
        super().__init__(site, *args, **options)

    def tune_in(self, tune_in):
        tune_in.rung = 0 if tune_in.number == 1 and tune_in.front_session.viewing.name % FAULT_INTERVAL == 0 else tune_in.rung
        super().tune_in(tune_in)


class OverSeats(Front):
    """Ignores the seats of packages."""

    def __init__(self, site, *args, **options):
        site.packages = [replace(package, seats=0) for package in site.packages]
        super().__init__(site, *args, **options)


class Overspend(Front):
    """Has no budget for further tune-ins and sends as many as it likes."""

    @property
    def server_pool_class(self):
        return WastefulServerPool

    def __init__(self, site, *args, **options):
        site.obligations = replace(site.obligations, free_further=None, most_tune_ins=50)
        super().__init__(site, *args, **options)


class WastefulServerPool(ServerPool):
    """Treats every second successful set-up of an unpaid viewing as a refusal, so that further tune-ins follow."""

    count = 0

    def _handle_response(self, tune_in, response):
        self.count += 1
        if response.status == 201 and not tune_in.front_session.viewing.package.paid_at_setup and self.count % 2:
            self.session_core.failed(tune_in, Outcome.FULL)
        else:
            super()._handle_response(tune_in, response)


class DoubleServerPool(ServerPool):
    """Sends every third tune-in to a second server at the same time, as an attempt to reduce latency might."""

    count = 0

    async def _send_tune_in(self, tune_in, connection, request):
        self.count += 1
        other_holders = [
            server for server in tune_in.front_session.viewing.holders if server is not tune_in.server and server.open
        ]
        if other_holders and not self.count % 3:
            offer, viewing = tune_in.front_session.offer, tune_in.front_session.viewing
            self.tasks.start_soon(
                self._send_request,
                other_holders[0],
                "POST",
                f"/{offer.protocol}/{viewing.package.name}/{viewing.title}?layer={tune_in.rung}",
                [("content-type", "application/sdp"), ("x-request-id", request), ("x-tune-in", str(tune_in.number + 1))],
                offer.text.encode(),
            )
        return await super()._send_tune_in(tune_in, connection, request)


class DoubleTuneIn(Front):
    """Sends some tune-ins to two servers; see `DoubleServerPool`."""

    server_pool_class = DoubleServerPool


class LostTeardown(SessionCore):
    """Does not end sessions whose viewer never received the answer."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.session_ends.end = lambda server, session: None


class LeaveOrphans(Front):
    """Starts without recovering the sessions of earlier lives."""

    def _recover(self):
        self.intents.restore(self.journal.records, self.wall())


class MembershipWithoutRefutation(Membership):
    """Does not refute a suspicion of itself."""

    def _refute_or_yield(self, claim):
        pass


class MembershipAcceptingOldLives(Membership):
    """Treats a datagram of a member's earlier life as one of its current life."""

    def receive_from(self, claim):
        held = self.members.get(claim.name)
        return super().receive_from(claim._replace(life=held.life) if held is not None else claim)


class MembershipKeepingGoneMembers(Membership):
    """Never removes members that are gone."""

    def _forget(self):
        pass


def front_with_membership(membership: type[Membership]) -> type[Front]:
    """A front class that uses this membership class."""

    class Wire(PeerSocket):
        membership_class = membership

    class FrontWithMembership(Front):
        peers_class = Wire

    return FrontWithMembership


def front_with_leases(
    proposer: type[LeaseProposer] = LeaseProposer, acceptor: type[LeaseAcceptor] = LeaseAcceptor
) -> type[Front]:
    """A front class that uses these lease proposer and acceptor classes."""

    class Wire(LeaseTaskProtocol):
        proposer_class, acceptor_class = proposer, acceptor

    class FrontWithLeases(Front):
        leased_class = Wire

    return FrontWithLeases


class EvidenceFromOneFront(Evidence):
    """Doubts a server as soon as any one other front has more bad than good observations of it."""

    def doubts(self, now):
        self.doubted = {
            server: True
            for server, words in self.observations.items()
            if any(word.bad > word.good for front, word in words.items() if front != self.local_name)
        }
        return self.doubted


def front_with_sharing(
    loans: type[Loans] = Loans, seats: type[RenewableLoans] = RenewableLoans, evidence: type[Evidence] = Evidence
) -> type[Front]:
    """A front class that uses these classes for sharing."""

    class SharingWithFault(Sharing):
        loans_class, seats_class, evidence_class = loans, seats, evidence

    class Wire(SharingProtocol):
        sharing_class = SharingWithFault

    class FrontWithSharing(Front):
        shared_class = Wire

    return FrontWithSharing


def front_with_overload(overload: type[Overload]) -> type[Front]:
    """A front class that uses this overload class."""

    class Wire(OverloadProtocol):
        overload_class = overload

    class FrontWithOverload(Front):
        overload_class = Wire

    return FrontWithOverload


def spoilt(name: str, *args, **options) -> Front:
    """A front with the planted fault of this name; `args` and `options` are those of `Front`."""
    return {
        "lose-answer": lambda: LoseAnswer(*args, **options),
        "answer-twice": lambda: AnswerTwice(*args, **options),
        "resend-paid": lambda: Front(*args, **options, rules=ResendPaid),
        "ignore-drain": lambda: Front(*args, **options, session_core_class=SessionCoreIgnoringLeavers, rules=IgnoreDrain),
        "deaf-to-leaving": lambda: Front(*args, **options, session_core_class=SessionCoreIgnoringHangUps),
        "push-cold": lambda: Front(*args, **options, rules=PushCold),
        "under-floor": lambda: UnderFloor(*args, **options),
        "over-seats": lambda: OverSeats(*args, **options),
        "overspend-budget": lambda: Overspend(*args, **options),
        "double-tune-in": lambda: DoubleTuneIn(*args, **options),
        "lost-teardown": lambda: Front(*args, **options, session_core_class=LostTeardown),
        "leave-orphans": lambda: LeaveOrphans(*args, **options),
        "deaf-incarnation": lambda: front_with_membership(MembershipWithoutRefutation)(*args, **options),
        "old-life-taken": lambda: front_with_membership(MembershipAcceptingOldLives)(*args, **options),
        **{fault: lambda loans=loans: front_with_sharing(loans)(*args, **options) for fault, loans in FAULTS.items()},
        **{fault: lambda seats=seats: front_with_sharing(seats=seats)(*args, **options) for fault, seats in SEAT_FAULTS.items()},
        **{fault: lambda sheds=sheds: front_with_overload(sheds)(*args, **options) for fault, sheds in SHED_FAULTS.items()},
        "liar-believed": lambda: front_with_sharing(evidence=EvidenceFromOneFront)(*args, **options),
        **{fault: lambda parts=parts: front_with_leases(**parts)(*args, **options) for fault, parts in LEASE_FAULTS.items()},
        "never-forget": lambda: front_with_membership(MembershipKeepingGoneMembers)(*args, **options),
        **{fault: lambda front=front: front(*args, **options) for fault, front in CONFIGURATION_FAULTS.items()},
        # faults of control machines only: the front itself is unmodified
        **{fault: lambda: Front(*args, **options) for fault in MACHINE_FAULTS},
    }[name]()


NAMES = (
    "lose-answer",
    "answer-twice",
    "resend-paid",
    "ignore-drain",
    "push-cold",
    "under-floor",
    "over-seats",
    "deaf-to-leaving",
    "overspend-budget",
    "double-tune-in",
    "lost-teardown",
    "leave-orphans",
    "deaf-incarnation",
    "old-life-taken",
    "never-forget",
    "liar-believed",
    *FAULTS,
    *SEAT_FAULTS,
    *SHED_FAULTS,
    *LEASE_FAULTS,
    *CONFIGURATION_FAULTS,
    *MACHINE_FAULTS,
)
