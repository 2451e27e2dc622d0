"""Fronts spoilt on purpose, one rule each: the rehearsal has to catch every one of them.

Only `curlewshift front --sabotage NAME` reaches this; no front that serves anyone is made from it.
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

EVERY = 8


class LoseAnswer(Front):
    """Forgets to answer one request in some."""

    count = 0

    def answer(self, request, answer):
        self.count += 1
        if self.count % EVERY:
            super().answer(request, answer)


class TwiceHttpListener(HttpListener):
    """Writes some answers a second time on the same connection."""

    count = 0

    async def write(self, exchange, answer, permit=None):
        await super().write(exchange, answer, permit)
        self.count += 1
        if not self.count % EVERY:
            await exchange.connection.stream.send(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n")


class AnswerTwice(Front):
    def __init__(self, *args, **how):
        super().__init__(*args, **how)
        self.door.__class__ = TwiceHttpListener


class ResendPaid(Rules):
    """Takes every failed set-up for one that never ran."""

    def ended(self, viewing, outcome, closed):
        if not closed and not viewing.playing and not viewing.ended and outcome not in NEVER_RAN:
            outcome = Outcome.UNREACHED
        super().ended(viewing, outcome, closed)


class IgnoreDrain(Rules):
    """Holds every server that it has seen open to be open for ever."""

    def listed(self, lines, stale):
        super().listed(lines, stale)
        for server in self.servers:
            server.open = True

    def _may_send(self, server):
        return True


class SessionCoreIgnoringLeavers(SessionCore):
    def stands(self, tune_in):
        return tune_in.outcome is None


class DeafSessionCore(SessionCore):
    """Does not hear that a viewer has left."""

    def hung_up(self, request):
        pass


class PushCold(Rules):
    """Likes cold servers best and keeps no pace there."""

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
    """Knows of no floor."""

    def __init__(self, site, *args, **how):
        site.packages = [replace(package, floor=0) for package in site.packages]
        super().__init__(site, *args, **how)

    def tune_in(self, tune_in):
        tune_in.rung = 0 if tune_in.number == 1 and tune_in.front_session.viewing.name % EVERY == 0 else tune_in.rung
        super().tune_in(tune_in)


class OverSeats(Front):
    """Knows of no seats."""

    def __init__(self, site, *args, **how):
        site.packages = [replace(package, seats=0) for package in site.packages]
        super().__init__(site, *args, **how)


class Overspend(Front):
    """Knows of no budget for further tune-ins, and sends them freely."""

    @property
    def server_pool_class(self):
        return WastefulServerPool

    def __init__(self, site, *args, **how):
        site.obligations = replace(site.obligations, free_further=None, most_tune_ins=50)
        super().__init__(site, *args, **how)


class WastefulServerPool(ServerPool):
    """Takes one answer in two for none."""

    count = 0

    def _judge(self, tune_in, answered):
        self.count += 1
        if answered.status == 201 and not tune_in.front_session.viewing.package.paid_at_setup and self.count % 2:
            self.session_core.failed(tune_in, Outcome.FULL)
        else:
            super()._judge(tune_in, answered)


class DoubleServerPool(ServerPool):
    """Asks a second server along with the first, as one who wants to be quick might."""

    count = 0

    async def _ask(self, tune_in, call, request):
        self.count += 1
        others = [server for server in tune_in.front_session.viewing.holders if server is not tune_in.server and server.open]
        if others and not self.count % 3:
            offer, viewing = tune_in.front_session.offer, tune_in.front_session.viewing
            self.tasks.start_soon(
                self._call,
                others[0],
                "POST",
                f"/{offer.protocol}/{viewing.package.name}/{viewing.title}?layer={tune_in.rung}",
                [("content-type", "application/sdp"), ("x-request-id", request), ("x-tune-in", str(tune_in.number + 1))],
                offer.text.encode(),
            )
        return await super()._ask(tune_in, call, request)


class DoubleTuneIn(Front):
    server_pool_class = DoubleServerPool


class LostTeardown(SessionCore):
    """Forgets the sessions that nobody was told of."""

    def __init__(self, *args, **how):
        super().__init__(*args, **how)
        self.session_ends.end = lambda server, session: None


class LeaveOrphans(Front):
    """Begins anew as if nothing had been before."""

    def _recover(self):
        self.intents.restore(self.journal.records, self.wall())


class DeafIncarnation(Membership):
    """Does not contradict who accuses it."""

    def _refute_or_yield(self, claim):
        pass


class OldLifeTaken(Membership):
    """Takes a datagram of an earlier life for one of the member's present one."""

    def receive_from(self, claim):
        held = self.members.get(claim.name)
        return super().receive_from(claim._replace(life=held.life) if held is not None else claim)


class NeverForget(Membership):
    def _forget(self):
        pass


def wired(membership: type[Membership]) -> type[Front]:
    """A front with this membership."""

    class Wire(PeerSocket):
        membership_class = membership

    class Spoilt(Front):
        peers_class = Wire

    return Spoilt


def leasing(proposer: type[LeaseProposer] = LeaseProposer, acceptor: type[LeaseAcceptor] = LeaseAcceptor) -> type[Front]:
    """A front with this asker and this keeper of leases."""

    class Wire(LeaseTaskProtocol):
        proposer_class, acceptor_class = proposer, acceptor

    class Holder(Front):
        leased_class = Wire

    return Holder


class LiarBelieved(Evidence):
    """Takes the word of any one front against a server."""

    def doubts(self, now):
        self.doubted = {
            server: True
            for server, words in self.observations.items()
            if any(word.bad > word.good for front, word in words.items() if front != self.local_name)
        }
        return self.doubted


def lending(
    loans: type[Loans] = Loans, seats: type[RenewableLoans] = RenewableLoans, evidence: type[Evidence] = Evidence
) -> type[Front]:
    """A front with these parts in sharing."""

    class Spoilt(Sharing):
        loans_class, seats_class, evidence_class = loans, seats, evidence

    class Wire(SharingProtocol):
        sharing_class = Spoilt

    class Lender(Front):
        shared_class = Wire

    return Lender


def shedding(overload: type[Overload]) -> type[Front]:
    """A front with this part in overload."""

    class Wire(OverloadProtocol):
        overload_class = overload

    class Shedder(Front):
        overload_class = Wire

    return Shedder


def spoilt(name: str, *args, **how) -> Front:
    """A front with the planted fault of this name."""
    return {
        "lose-answer": lambda: LoseAnswer(*args, **how),
        "answer-twice": lambda: AnswerTwice(*args, **how),
        "resend-paid": lambda: Front(*args, **how, rules=ResendPaid),
        "ignore-drain": lambda: Front(*args, **how, session_core=SessionCoreIgnoringLeavers, rules=IgnoreDrain),
        "deaf-to-leaving": lambda: Front(*args, **how, session_core=DeafSessionCore),
        "push-cold": lambda: Front(*args, **how, rules=PushCold),
        "under-floor": lambda: UnderFloor(*args, **how),
        "over-seats": lambda: OverSeats(*args, **how),
        "overspend-budget": lambda: Overspend(*args, **how),
        "double-tune-in": lambda: DoubleTuneIn(*args, **how),
        "lost-teardown": lambda: Front(*args, **how, session_core=LostTeardown),
        "leave-orphans": lambda: LeaveOrphans(*args, **how),
        "deaf-incarnation": lambda: wired(DeafIncarnation)(*args, **how),
        "old-life-taken": lambda: wired(OldLifeTaken)(*args, **how),
        **{fault: lambda loans=loans: lending(loans)(*args, **how) for fault, loans in FAULTS.items()},
        **{fault: lambda seats=seats: lending(seats=seats)(*args, **how) for fault, seats in SEAT_FAULTS.items()},
        **{fault: lambda sheds=sheds: shedding(sheds)(*args, **how) for fault, sheds in SHED_FAULTS.items()},
        "liar-believed": lambda: lending(evidence=LiarBelieved)(*args, **how),
        **{fault: lambda how_so=how_so: leasing(**how_so)(*args, **how) for fault, how_so in LEASE_FAULTS.items()},
        "never-forget": lambda: wired(NeverForget)(*args, **how),
        **{fault: lambda front=front: front(*args, **how) for fault, front in CONFIGURATION_FAULTS.items()},
        # of control machines alone
        **{fault: lambda: Front(*args, **how) for fault in MACHINE_FAULTS},
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
