"""The placement and adaptation policy: which media server plays a viewing, at which rung, and when the rung changes.

A viewing is one client's session, a rung one of the quality layers of its title. One `Rules` object serves one front
(one process of this program). It is made with the host that it acts through (curlewshift/host.py: the bench's adapter
or the session core) and the terms of the deployment (curlewshift/model.py). The host calls one method for each event;
each method acts by calling the host before it returns. docs/design.md describes the mechanism, its sources and each
exception. Times are in nanoseconds, rates in kB/s.
"""

from __future__ import annotations

from collections import Counter, deque
from math import exp, inf, sqrt
from random import Random

from curlewshift.host import Host
from curlewshift.model import Link, ListedServer, Outcome, Package, Server, Terms, Viewing

SECOND = 1_000_000_000

# The round in which steps down and climbs are decided.
TICK = SECOND
# Admission keeps this many standard deviations of the summed rates free on a link.
MARGIN_DEVIATIONS = 3.09
# Standard deviation of a viewing's rate as a share of it, and the factor that many fronts add to it.
RATE_DEVIATION = 0.16
MANY_FRONTS_DEVIATION = 1.0
# A viewing climbs at most one rung in this time, and none for the hold time after short delivery on its link.
CLIMB_INTERVAL = 10 * SECOND
CLIMB_HOLD = 30 * SECOND

# Viewings step down once the use of a link, without the margin, exceeds this share of its size. Admission and climbs keep
# the margin free: with one threshold for climbs and steps, noise in the reports made viewings oscillate between rungs.
OVERLOAD_RATIO = 1.06

# Load reports are noisy and late. The estimate of what other fronts use follows them with this time constant, and one
# report has at least this weight.
REPORT_SMOOTHING = 3 * SECOND
MIN_REPORT_WEIGHT = 0.2
# Rooms that differ by less than this share of a link rank equal: reports are no finer, and fronts that received the same
# reports would all pick the same server.
ROOM_STEP = 0.06
# Without new reports, the estimate for a link decays to the usual use of the other links, which is this share of the
# size before the first report.
REPORT_DECAY = 12 * SECOND
UNREPORTED_USE = 0.6

# A note of short delivery is renewed each second while delivery is short; without a new one for this long it expires.
NOTE_TIMEOUT = 5 * SECOND // 2
# Delivery of this share or more counts as full. A viewing that gets less loses nothing by being left out of the account.
FULL_DELIVERY = 0.98

# This many holders are probed for their load if their last report is older than the given age.
MAX_PROBES = 2
PROBE_REPORT_AGE = 8 * SECOND
# A tune-in may use this share of the time left to the join target, so that another one still fits in.
TUNE_IN_SHARE = 0.4
MIN_TUNE_IN = SECOND // 5
MAX_RETRY_WAIT = SECOND
# Fronts take turns at a cold server. A turn lasts so many of the windows in which its set-ups are counted. The rest after
# it is longer than one window, as clocks differ and set-ups wait for connections. With more turns most fronts have none.
TURN_WINDOWS, REST_WINDOWS, MAX_TURNS = 10, 1.25, 8

# Each failure adds to a server's fault score, up to a maximum; the score decays with time, and an answer leaves this share
# of it. Over the threshold, a server gets viewings only where no other server can take them.
FAULT_DECAY = 8 * SECOND
FAULT_THRESHOLD = 0.5
FAULT_PER_FAILURE = 1.3
MAX_FAULT = 4.0
FAULT_AFTER_ANSWER = 0.3
# Silence of a server is judged once this many gaps between its reports are known; it is unusual if it exceeds their mean
# by so many mean deviations.
MIN_GAPS = 4
MIN_GAP_WEIGHT = 0.1
SILENCE_DEVIATIONS = 3.0
# After a server has answered that it is full, nothing is sent to it for this long.
FULL_BACKOFF = SECOND // 2
# A count by other fronts of their use of a link is valid for this long. Their evidence against a server counts only at a
# front that has had no report from it for this long.
COUNTED_TIMEOUT = 2 * SECOND
# Bound on the titles remembered as having played here.
MAX_KNOWN_TITLES = 10_000
# Attempts that may be outstanding at a new or restarted server; each answer allows one more.
INITIAL_OUT_CAP = 2

# Multiplier for multiplicative hashing (Knuth): odd, with its bits well spread, 2**64 over the golden ratio.
HASH_MULTIPLIER = 0x9E3779B97F4A7C15

# Only these outcomes prove that the server never ran the tune-in.
NEVER_RAN = {Outcome.FULL, Outcome.UNREACHED, Outcome.UNSENT}
FAILURES = {Outcome.ERROR, Outcome.SILENT, Outcome.UNREACHED, Outcome.BROKEN}


def decayed(value: float, age: int, time_constant: int) -> float:
    """The value after exponential decay over `age` with the time constant (both in ns)."""
    return value * exp(-age / time_constant)


def rendezvous_weight(viewing: Viewing, server: Server) -> int:
    """Orders servers for one viewer, alike at all fronts (rendezvous hashing)."""
    # the product mixes all bits, as hashes may share their leading bits
    return (viewing.placement_hash ^ server.placement_hash) * HASH_MULTIPLIER % 2**64


class Rules:
    """The policy of one front. The host calls its public methods, one for each event."""

    def __init__(self, host: Host, terms: Terms):
        self.host, self.chance = host, Random(terms.seed)
        # a dict, for its order and fast look-up: with a list, long server lists took quadratic time
        self.servers: dict[Server, bool] = {}
        self.started_at, self.local_index, self.fronts = terms.now, terms.me, max(1, terms.fronts)
        self.racks_told = terms.racks_told
        # own changes younger than this are not in the reports yet
        self.report_lag = max(terms.told_late, SECOND // 4)
        self.max_tune_ins, self.probes = terms.max_tune_ins, terms.probes
        self.retry_wait = min(MAX_RETRY_WAIT, terms.longest_wait)
        self.warm_within, self.fall_within = terms.warm_within, terms.fall_within
        self.turn_length = int(terms.fall_within * (TURN_WINDOWS + REST_WINDOWS)) or 1
        # 0 for one front, towards 1 for many: each of many fronts sees little of what plays on a link and can step little of it
        self.many_fronts_factor = (1 - 1 / self.fronts) ** 4
        self.rate_deviation = RATE_DEVIATION * (1 + MANY_FRONTS_DEVIATION * self.many_fronts_factor)
        # for each concurrent stream of a cold server: the set-ups a nanosecond that it starts with, and the set-ups in one
        # window at which it fails
        self.pace = terms.start_capacity / max(1, terms.warm_within)
        self.cold_setups_per_stream = self.pace * terms.fall_multiple * terms.fall_within or inf
        self.free_further = inf if terms.free_further is None else terms.free_further
        self.further_share, self.look_back = terms.further_share, terms.look_back
        self.request_times, self.further_times = deque(), deque()
        # token bucket for set-ups to all servers not proven warm: refill (set-ups a nanosecond), tokens left, last refill
        self.unproven_pace, self.unproven_left, self.unproven_at = 0.0, self.chance.random(), terms.now
        self.rights_dealt = False  # fronts share the pace of cold servers by rights; without rights nothing is sent to one
        # This front's rights to free further tune-ins and, by package and title, to seats, where all fronts share one
        # budget (None, or no such package: not shared, each front has the full budget), and when more were last needed.
        self.further_rights, self.further_wanted_at = None, 0
        self.seat_rights: dict[Package, dict[str, list]] = {}
        self.seat_wanted_at: dict[tuple[str, Package], int] = {}
        self.retries_stopped = False  # the retries of all fronts exceed what their successes pay for
        self.seats: Counter = Counter()
        self.titles: dict[str, bool] = {}
        self.own = self.rate_squares = 0.0
        # load reports reach all fronts at the same moment; fronts react at different offsets within the second
        host.wake(terms.now + TICK * (self.local_index + 1) // self.fronts)

    # ---- the server list

    def listed(self, lines: list[ListedServer], stale: bool) -> None:
        """Lines of the server list are new or have changed; `stale` if they are from before this front started."""
        for line in lines:
            server = line.server
            if server not in self.servers:
                if not line.open:
                    server.open = False
                    continue
                self.servers[server] = True
                server.max_outstanding = INITIAL_OUT_CAP
                if stale or not line.started:
                    # a stale list proves no server warm: any of them may have started just now
                    server.unproven_until = self.started_at + self.warm_within
                    self.unproven_pace += server.streams * self.pace / self.fronts
            if line.started > server.started:
                server.started = line.started
                server.cold_until = max(line.started + self.warm_within, server.cold_until)
                server.max_outstanding = INITIAL_OUT_CAP
                server.link.others = 0.0
                if server.fault_at < line.started:
                    # this start clears only earlier failures: a later loss may mean another restart
                    server.failed, server.fault_score = False, 0.0
            server.open = line.open
        self._learn_usual()

    def forgotten(self, server: Server) -> None:
        """Drops a server that is gone and plays nothing; every tick would visit it until the front stops."""
        self.servers.pop(server, None)

    # ---- viewings

    def handed_over(self, viewing: Viewing, server: Server) -> None:
        """The viewing plays at the server already, from before this front knew of it."""
        self._attach(viewing, server)
        self._start_playing(viewing)

    def rung_reported(self, viewing: Viewing, rung: int) -> None:
        """The viewing is on this rung, by no decision of the rules."""
        if viewing.server is not None:
            self._set_rate(viewing, rung)

    def wanted(self, viewing: Viewing) -> None:
        """A viewer requests this viewing."""
        self.request_times.append(self.host.now())
        # a probe may stay unanswered until the tick after next; viewers whose patience ends sooner are placed at once
        if not self.probes or viewing.expires - viewing.requested_at <= 2 * TICK or not self._probe_holders(viewing):
            self._place(viewing)

    def begun(self, viewing: Viewing) -> None:
        """The server has set the viewing up and plays it."""
        server = viewing.server
        if server is None or viewing.playing:
            return
        server.outstanding -= 1
        self._record_answer(server)
        viewing.changed_at = self.host.now()
        self._start_playing(viewing)

    def ended(self, viewing: Viewing, outcome: Outcome, closed: bool) -> None:
        """A tune-in or a playing viewing has ended; `closed` if the viewing needs no other attempt."""
        server, played = viewing.server, viewing.playing
        if server is not None:
            self._detach(viewing)
            if not played:
                server.outstanding -= 1
            # An error on a title that never played here is put down to the title: requests for a missing title
            # would mark every server as failing.
            if outcome is not Outcome.ERROR or viewing.title in self.titles:
                self._record_outcome(server, outcome)
        viewing.may_have_run |= outcome not in NEVER_RAN
        if closed or viewing.ended or played:
            viewing.ended = True
        elif viewing.package.paid_at_setup and viewing.may_have_run:
            # a paid set-up is never sent again, and a refusal would invite the client to repeat it
            viewing.ended = True
            self.host.abort(viewing)
        elif self.host.now() >= viewing.requested_at + viewing.package.join_target:
            self._block(viewing)
        else:
            self._place(viewing)

    def left(self, viewing: Viewing) -> None:
        """The viewer has left before an answer."""
        viewing.ended = True

    # ---- placing

    def _probe_holders(self, viewing: Viewing) -> int:
        """Probes the best holders whose reports are old; returns the number of answers that the viewing waits for.

        With many fronts, each has recent reports of few servers and would fill links that are short already.
        """
        stale_holders = [
            server
            for server in self._open_to(viewing)
            if self.host.now() - server.link.reported_at > PROBE_REPORT_AGE and not self._is_failing(server)
        ]
        stale_holders.sort(key=lambda server: (self._room(server), rendezvous_weight(viewing, server)), reverse=True)
        for server in stale_holders[:MAX_PROBES]:
            if not server.awaiting_probe:
                self.host.probe(server)
            server.awaiting_probe.append(viewing)
            viewing.probes_out += 1
        return viewing.probes_out

    def probed(self, server: Server, outcome: Outcome) -> None:
        """A probe of the server has been answered or has failed; viewings that waited for it are placed."""
        if outcome in FAILURES:
            self._record_outcome(server, outcome)
        awaiting_probe, server.awaiting_probe = server.awaiting_probe, []
        for viewing in awaiting_probe:
            viewing.probes_out -= 1
            if not viewing.probes_out and not viewing.ended:
                self._place(viewing)

    def _budget_left(self, viewing: Viewing) -> bool:
        since = self.host.now() - self.look_back
        for times in (self.request_times, self.further_times):
            while times and times[0] <= since:
                times.popleft()
        free = self.free_further if self.further_rights is None else self._valid_rights(self.further_rights)
        left = not viewing.tune_ins or (
            not self.retries_stopped and len(self.further_times) + 1 <= free + self.further_share * len(self.request_times)
        )
        if not left:
            self.further_wanted_at = self.host.now()
        return left

    def attempt_sent(self, viewing: Viewing) -> None:
        """The viewing's attempt is sent now, possibly later than it was decided; the budget counts it from now on."""
        now = self.host.now()
        if not viewing.further_at or now == viewing.further_at:
            return
        if viewing.further_at in self.further_times:
            self.further_times.remove(viewing.further_at)
        self.further_times.append(now)
        viewing.further_at = now

    def seat_left(self, title: str, package: Package) -> bool:
        """Whether a seat (concurrency slot) of the title is free; if not, notes that this front needs more."""
        dealt = self.seat_rights.get(package)
        seats = package.seats if dealt is None else self._valid_rights(dealt.get(title, ()))
        if not package.seats or self.seats[title, package] < seats:
            return True
        if dealt is not None:
            self.seat_wanted_at[title, package] = self.host.now()
        return False

    def _valid_rights(self, rights) -> int:
        """How many rights are valid now, of those that were dealt to this front or lent to it."""
        now = self.host.now()
        return sum(count for since, until, count in rights if since <= now < until)

    def _block(self, viewing: Viewing) -> None:
        viewing.ended = True
        # random, so that viewers refused together do not come back together
        self.host.block(viewing, int(self.retry_wait * self.chance.uniform(0.6, 1.0)))

    def _place(self, viewing: Viewing) -> None:
        late = viewing.tune_ins >= self.max_tune_ins or self.host.now() >= viewing.expires
        if late or not self.seat_left(viewing.title, viewing.package) or not self._budget_left(viewing):
            self._block(viewing)
            return
        lowest = viewing.package.floor
        highest = max(lowest, min(viewing.ceiling, viewing.package.top))
        # The last option is the lowest rung without a margin: viewings on higher rungs there step down once reports show
        # it. Fronts with no viewings of their own to step would refuse, and nothing tells the others to make room.
        options = [(rung, MARGIN_DEVIATIONS) for rung in range(highest, lowest - 1, -1)] + [(lowest, 0.0)]
        best, best_rank, best_rung = None, (), 0
        for server in self._open_to(viewing):
            rates = viewing.package.rates
            fits = ((rung, at) for rung, at in options if self._room(server, rates[rung], at, viewing) >= 0)
            rung, bound = next(fits, (None, 0.0))
            failing = self._is_failing(server)
            # a paid set-up that fails cannot be retried elsewhere: it never goes to a server that is failing
            if rung is None or (failing and (viewing.package.paid_at_setup or server.outstanding)):
                continue
            # a set-up waits until the end of an earlier one at the same server is confirmed, which a hung server never does
            rank = (
                server not in viewing.unconfirmed,
                bound,
                not failing,
                not self._unusually_silent(server),
                server not in viewing.tried,
                self._room(server, viewing=viewing) // (ROOM_STEP * server.link.size),
                rendezvous_weight(viewing, server),
            )
            if rank > best_rank:
                best, best_rank, best_rung = server, rank, rung
        if best is None:
            self._block(viewing)
        else:
            self._tune_in(viewing, best, best_rung)

    def _open_to(self, viewing: Viewing) -> list[Server]:
        return [server for server in viewing.holders if self._may_send(server)]

    def _tune_in(self, viewing: Viewing, server: Server, rung: int) -> None:
        now = self.host.now()
        if viewing.tune_ins:
            self.further_times.append(now)
            viewing.further_at = now
        viewing.tune_ins += 1
        viewing.tried.append(server)
        viewing.rung = rung
        # pruned here too: `_may_send` does so for cold servers alone, and the list of a warm one would grow without bound
        server.sent = [at for at in server.sent if at > now - self.warm_within] + [now]
        if now < server.unproven_until:
            self.unproven_left -= 1
        server.outstanding += 1
        until = viewing.expires
        if not viewing.package.paid_at_setup and viewing.tune_ins < self.max_tune_ins:
            left = viewing.requested_at + viewing.package.join_target - now
            until = min(until, now + max(MIN_TUNE_IN, int(left * TUNE_IN_SHARE)))
        self._attach(viewing, server)
        if rung <= viewing.ceiling:
            self.host.set_rung(viewing, rung)
        self.host.tune_in(viewing, server, until)

    # ---- limits on what is sent

    def _may_send(self, server: Server) -> bool:
        now = self.host.now()
        if not server.open or now < server.full_until:
            return False
        if now >= max(server.cold_until, server.unproven_until) and not server.failed:
            return True
        server.sent = [at for at in server.sent if at > now - self.warm_within]
        if server.outstanding >= server.max_outstanding or self._own_share_left(server, now):
            return server.outstanding < server.max_outstanding
        server.rights_wanted_at = now
        # With too many turns, most fronts that have just started could send nowhere until their servers are warm. So each
        # may send one set-up to a server, with all servers together limited to this front's share of the starting
        # paces. That holds on average; a crowd on one title could bring one set-up from each front. Where rights are
        # dealt out, nothing is sent beyond them.
        few_turns = self.cold_setups_per_stream * server.streams * MAX_TURNS >= self.fronts
        if few_turns or self.rights_dealt or server.sent or server.failed or now < server.cold_until:
            return False
        self.unproven_left = min(2.0, self.unproven_left + (now - self.unproven_at) * self.unproven_pace)
        self.unproven_at = now
        return self.unproven_left >= 1

    def rights_of(self, server: Server) -> int:
        """Set-ups in a window that a cold server can take from all fronts together, to be dealt out as rights."""
        return int(min(self.cold_setups_per_stream * server.streams, 10**6))

    def can_admit(self, server: Server, rate: float) -> bool:
        """Whether one more viewing of this rate (kB/s) would be admitted at a warm server; nothing is reserved."""
        now = self.host.now()
        guarded = server.failed or now < max(server.cold_until, server.unproven_until)
        return server.open and now >= server.full_until and not guarded and self._room(server, rate) >= 0

    def _own_share_left(self, server: Server, now: int) -> bool:
        """Whether this front may send a cold server one more set-up within its share of the server's pace.

        A cold server fails if all fronts together exceed its pace in any window. Where a front's share is under one
        set-up in a window, fronts take turns by the clock, as many at once as a window allows set-ups. Turns have a
        rest between them, so that no window contains set-ups of two turns.
        """
        if self.cold_setups_per_stream == inf:
            return True  # no pace is stated
        window, budget, length = self.fall_within, self.cold_setups_per_stream * server.streams, self.turn_length
        if self.rights_dealt:
            return sum(at > now - window for at in server.sent) + 1 <= self._valid_rights(server.rights or ())
        spare = sqrt(budget) + 1  # half of the excess over the budget that random variation explains
        if budget * MAX_TURNS >= self.fronts and not server.failed and now >= server.cold_until:
            budget += spare
        turns = -(-self.fronts // max(1, int(min(self.fronts, budget))))
        if turns > 1:
            turn, spent = divmod(now + server.placement_hash % (turns * length), length)
            if turn % turns != self.local_index % turns or spent >= window * TURN_WINDOWS:
                return False
        if now < self.started_at + window:
            # An earlier life (run of this process) may have sent its share in this window: this one may use only the other
            # half of the excess that random variation explains.
            budget = min(budget, spare)
        return sum(at > now - window for at in server.sent) + 1 <= budget / -(-self.fronts // turns)

    # ---- health

    def _is_failing(self, server: Server) -> bool:
        """Whether the server is failing, by its fault score here or by evidence from other fronts."""
        now = self.host.now()
        if server.doubted and now - server.last_seen_at > COUNTED_TIMEOUT:
            return True
        return decayed(server.fault_score, now - server.fault_at, FAULT_DECAY) > FAULT_THRESHOLD

    def _unusually_silent(self, server: Server) -> bool:
        """Whether a server that should report has been silent for unusually long, given the gaps between its reports.

        Finds servers that hang or vanish seconds before the list shows it. The result only ranks a server behind
        others: where no server reports, all are silent alike and nothing changes.
        """
        if server.gap_count < MIN_GAPS or not server.link.playing:
            return False
        return self.host.now() - server.last_seen_at > server.mean_gap + SILENCE_DEVIATIONS * max(
            server.gap_deviation, server.mean_gap / 4
        )

    def _record_contact(self, server: Server) -> None:
        now = self.host.now()
        gap = now - server.last_seen_at
        # gaps count only while reports are due: the time before the first viewing there says nothing
        if gap > 0 and server.last_seen_at and server.link.playing:
            server.gap_count += 1
            weight = max(MIN_GAP_WEIGHT, 1 / server.gap_count)
            server.gap_deviation += weight * (abs(gap - (server.mean_gap or gap)) - server.gap_deviation)
            server.mean_gap += weight * (gap - server.mean_gap)
        server.last_seen_at = now

    def _record_outcome(self, server: Server, outcome: Outcome) -> None:
        now = self.host.now()
        if outcome is Outcome.FULL:
            # it answers, so it is alive; its last load report is out of date
            server.full_until = now + FULL_BACKOFF
            self._decay(server.link)
            server.link.others = max(server.link.others, server.link.size - server.link.own)
            server.link.reported, server.link.reported_at = True, now
        elif outcome in FAILURES:
            fault_score = decayed(server.fault_score, now - server.fault_at, FAULT_DECAY)
            # one loss ends many viewings at once; their number says nothing about its duration, hence the maximum
            server.fault_score, server.fault_at = min(fault_score + FAULT_PER_FAILURE, MAX_FAULT), now
            if outcome is not Outcome.ERROR:
                # whatever the fault was, the server may come back cold, and the list need not show it
                server.failed, server.max_outstanding = True, INITIAL_OUT_CAP

    def _record_answer(self, server: Server) -> None:
        now = self.host.now()
        self._record_contact(server)
        server.fault_score *= FAULT_AFTER_ANSWER
        server.max_outstanding += 1
        if server.failed:
            server.failed = False
            server.cold_until = max(server.cold_until, now + self.warm_within)

    # ---- use of a link

    def _attach(self, viewing: Viewing, server: Server) -> None:
        viewing.server = server
        self.seats[viewing.title, viewing.package] += 1
        self._set_rate(viewing, viewing.rung)

    def _detach(self, viewing: Viewing) -> None:
        self.seats[viewing.title, viewing.package] -= 1
        if not self.seats[viewing.title, viewing.package]:
            del self.seats[viewing.title, viewing.package]
        self._update_rate(viewing, 0.0)
        for link in (viewing.server.link, viewing.server.rack.link):
            link.playing.pop(viewing, None)
        viewing.server, viewing.playing = None, False

    def _start_playing(self, viewing: Viewing) -> None:
        viewing.playing = True
        if viewing.title not in self.titles:
            if len(self.titles) >= MAX_KNOWN_TITLES:
                del self.titles[next(iter(self.titles))]
            self.titles[viewing.title] = True
        for link in (viewing.server.link, viewing.server.rack.link):
            link.playing[viewing] = True

    def _set_rate(self, viewing: Viewing, rung: int) -> None:
        viewing.rung = rung
        self._update_rate(viewing, viewing.package.rates[rung])

    def _update_rate(self, viewing: Viewing, rate: float) -> None:
        change, rate_squares = rate - viewing.held_rate, rate * rate - viewing.held_rate * viewing.held_rate
        self.own += change
        self.rate_squares += rate_squares
        for link in (viewing.server.link, viewing.server.rack.link):
            self._decay(link)
            link.own += change
            link.own_rate_squares += rate_squares
            link.unreported += change
        viewing.held_rate = rate

    def _decay(self, link: Link) -> None:
        now = self.host.now()
        if now > link.decayed_at:
            link.unreported = decayed(link.unreported, now - link.decayed_at, self.report_lag)
            link.others_reaction = decayed(link.others_reaction, now - link.decayed_at, self.report_lag)
            link.decayed_at = now

    def _others(self, link: Link) -> float:
        if link.counted_at and self.host.now() - link.counted_at < COUNTED_TIMEOUT:
            return max(0.0, link.counted + link.unaccounted)
        if not link.reported:
            return link.usual
        return link.usual + decayed(link.others - link.usual, self.host.now() - link.reported_at, REPORT_DECAY)

    def _use(self, link: Link) -> float:
        # other fronts receive the same late report and react to it as this front does: that is counted in
        self._decay(link)
        return link.own + max(0.0, self._others(link) + link.others_reaction)

    def _reserved(self, link: Link, viewing: Viewing | None) -> float:
        """Room that is held on the link for other packages than this viewing's (kB/s); it counts as used."""
        return sum(room for package, room in link.holds.items() if viewing is None or package is not viewing.package)

    def _link_room(
        self, link: Link, rate: float = 0.0, bound: float = MARGIN_DEVIATIONS, viewing: Viewing | None = None
    ) -> float:
        if self._is_short(link):
            return -inf
        # Viewings of other fronts are taken to vary as this front's do: with no deviation for them, links that carry
        # none of its own looked the emptiest.
        typical = self.rate_squares / self.own if self.own > 1 else 0.0
        rate_squares = max(0.0, link.own_rate_squares + self._others(link) * typical + rate * rate)
        held = self._reserved(link, viewing) if link.holds else 0.0
        return link.size - self._use(link) - held - rate - bound * self.rate_deviation * sqrt(rate_squares)

    def _room(self, server: Server, rate: float = 0.0, bound: float = MARGIN_DEVIATIONS, viewing: Viewing | None = None) -> float:
        return min(self._link_room(server.link, rate, bound, viewing), self._link_room(server.rack.link, rate, bound, viewing))

    def _is_short(self, link: Link) -> bool:
        return link.missing_share > 0 and self.host.now() - link.missing_at < NOTE_TIMEOUT

    # ---- reports of delivery and load

    def delivered(self, server: Server, share: float) -> None:
        """The server delivers this share of the rates that it should send."""
        link, now = server.link, self.host.now()
        self._decay(link)
        link.missing_share, link.missing_at = (1 - share if share < FULL_DELIVERY else 0.0), now
        if link.missing_share:
            link.climbs_from = now + CLIMB_HOLD
        if link.missing_share and now - self.report_lag >= link.relieved_at:
            # the share was measured before the latest own changes: the rate that they took off counts already
            link.reduction_due = max(0.0, link.own - (link.own - link.unreported) * share)

    def link_report_received(self, server: Server, use: float) -> None:
        """The server has reported the load of its link, as a share of its size."""
        self._record_contact(server)
        self.link_reported(server, use)

    def link_reported(self, server: Server, use: float) -> None:
        """A load report of the server's link, to this or another front; by itself no sign that it answers this front."""
        self._update_from_report(server.link, use)
        if not self.racks_told:
            uplink = server.rack.link
            uplink.others = sum(self._others(member.link) for member in server.rack.servers)
            uplink.reported = True

    def counted(self, link: Link, use: float, age: int) -> None:
        """The other fronts count that they use this much of the link together (kB/s); `age` of the count in ns."""
        if not link.counted_at:
            link.unaccounted = 0.0
        link.counted, link.counted_at = use, self.host.now() - age

    def seen_warm(self, server: Server) -> None:
        """Other fronts have used the server, since this front started, for longer than it takes to get warm."""
        server.unproven_until = 0

    def uplink_report_received(self, server: Server, use: float) -> None:
        """The server has reported the load of its rack's uplink, as a share of its size."""
        self._update_from_report(server.rack.link, use)

    def _update_from_report(self, link: Link, use: float) -> None:
        if link.size == inf:
            return
        self._decay(link)
        others, now = max(0.0, use * link.size - (link.own - link.unreported)), self.host.now()
        # one noisy or late report must not decide alone: its weight grows with the time since the last one
        weight = 1 - exp(-(now - link.reported_at) / REPORT_SMOOTHING) if link.reported else 1.0
        if link.counted_at and now - link.counted_at < COUNTED_TIMEOUT:
            # traffic that is not the fronts', and the part of their viewings' rates that is not delivered
            link.unaccounted += max(weight, MIN_REPORT_WEIGHT) * (others - link.counted - link.unaccounted)
        link.others += max(weight, MIN_REPORT_WEIGHT) * (others - link.others)
        link.reported, link.reported_at = True, now

    # ---- the round

    def tick(self) -> None:
        """One round, once a second: steps down on overloaded links, then climbs where there is room."""
        self.host.wake(self.host.now() + TICK)
        for server in self.servers:
            # a probe that is never answered must not hold back the answer due to a viewer
            if server.awaiting_probe and self.host.now() - server.awaiting_probe[0].requested_at > TICK:
                self.probed(server, Outcome.SILENT)
        self._learn_usual()
        # links without viewings of this front have nothing to step or climb; in a large fleet most links are such
        for link in sum(self._links(), []):
            if link.playing or link.reduction_due:
                self._relieve(link)
        for server in self.servers:
            if server.link.playing:
                self._climb(server)

    def _links(self) -> tuple[list[Link], list[Link]]:
        uplinks = {server.rack: server.rack.link for server in self.servers}
        return [server.link for server in self.servers], list(uplinks.values())

    def _learn_usual(self) -> None:
        """Estimates the use of links without recent reports from the recent reports of the fleet."""
        now = self.host.now()
        for links in self._links():
            size = sum(link.size for link in links)
            if not 0 < size < inf:
                continue
            # Before the first report, the other fronts are taken to use as much as this one, with a minimum: without it full
            # links look empty.
            requested = (self.fronts - 1) * sum(link.own for link in links) / size
            weight, share = 1.0, max(UNREPORTED_USE * self.many_fronts_factor, requested)
            for link in links:
                if link.reported:
                    more = decayed(1.0, now - link.reported_at, REPORT_DECAY)
                    weight += more
                    share += (link.others / link.size - share) * more / weight
            for link in links:
                link.usual = share * link.size

    def _step_order(self, link: Link) -> list[Viewing]:
        # The highest rung steps first: no viewing gives up a lower rung before all are down to it. Ordered by time or by
        # steps taken, new viewings stayed above those that had stepped. On one rung, the least value for its rate first.
        return sorted(
            link.playing, key=lambda viewing: (-viewing.rung, viewing.package.value / viewing.held_rate, viewing.steps_down)
        )

    def _own_share(self, link: Link) -> float:
        return link.own / max(link.own, self._use(link), 1e-9)

    def _relieve(self, link: Link) -> None:
        """Steps viewings of this front down on an overloaded link.

        All fronts receive the same late report at once, and each reduces its own share of the excess. Where that is
        less than one step a random draw decides: a step by every front would be many times too much.
        """
        part, reduction_due = self._own_share(link), link.reduction_due
        if reduction_due > 0:
            link.reduction_due, link.relieved_at = 0.0, self.host.now()
        elif link.reported and not self._is_short(link):
            reduction_due = (self._use(link) - OVERLOAD_RATIO * link.size) * part
        if reduction_due <= 0 and link.holds and not self._is_short(link):
            self._make_room(link)
        if reduction_due <= 0 or not link.playing:
            return
        # the highest rungs step first across fronts too: a front whose viewings here have higher rates than usual reduces more
        reduction_due *= link.own_rate_squares / link.own / (self.rate_squares / self.own)
        link.others_reaction -= reduction_due * (1 - part) / part
        for viewing in self._step_order(link):
            if reduction_due > 0 and viewing.rung > viewing.package.floor:
                less = viewing.held_rate - viewing.package.rates[viewing.rung - 1]
                if self.chance.random() >= max(reduction_due / less, part):
                    return
                self._step(viewing, viewing.rung - 1)
                reduction_due -= less

    def _make_room(self, link: Link) -> None:
        """Steps viewings down to free room that is held here and still in use; packages with a hold here are not stepped."""
        reduction_due = min(self._reserved(link, None), self._use(link) + self._reserved(link, None) - link.size)
        for viewing in self._step_order(link):
            if reduction_due > 0 and viewing.rung > viewing.package.floor and viewing.package not in link.holds:
                reduction_due -= viewing.held_rate - viewing.package.rates[viewing.rung - 1]
                self._step(viewing, viewing.rung - 1)

    def _climb(self, server: Server) -> None:
        now = self.host.now()
        links = (server.link, server.rack.link)
        # before the first report, full links look empty to a new front
        if any(now < link.climbs_from or not link.reported for link in links):
            return
        for viewing in reversed(self._step_order(server.link)):
            if viewing.rung >= min(viewing.ceiling, viewing.package.top) or now < viewing.changed_at + CLIMB_INTERVAL:
                continue
            more = viewing.package.rates[viewing.rung + 1] - viewing.package.rates[viewing.rung]
            if self._room(server, more, viewing=viewing) < 0:
                continue
            # all fronts that receive the same reports share the room
            probability = 1.0
            for link in links:
                part, room = self._own_share(link), self._link_room(link, more, viewing=viewing) + more
                probability = min(probability, room * part / more)
                link.others_reaction += min(room, more / part) * (1 - part)
            if self.chance.random() < probability:
                self._step(viewing, viewing.rung + 1)

    def _step(self, viewing: Viewing, rung: int) -> None:
        viewing.steps_down += viewing.rung - rung
        viewing.changed_at = self.host.now()
        self._set_rate(viewing, rung)
        self.host.set_rung(viewing, rung)
