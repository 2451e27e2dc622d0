"""Every decision of curlewshift: which server a viewing goes to, at which rung, and when it changes.

Called by whoever hosts a front (today curlewshift/adapter): one `Rules` a front, made with the host
that it acts through (curlewshift/host.py) and the terms of its deployment (curlewshift/model.py),
then one method for each thing that can happen. Each acts by calling the host before it returns.
docs/design.md tells the mechanism, its source and each exception. Times are nanoseconds.
"""

from __future__ import annotations

from collections import Counter, deque
from math import exp, inf, sqrt
from random import Random

from curlewshift.host import Host
from curlewshift.model import Link, Listed, Outcome, Package, Server, Terms, Viewing

SECOND = 1_000_000_000

# The design's own figures: the round, the bound on overload, the spread, the pace and hold of climbs.
TICK = SECOND
BOUND = 3.09
SPREAD = 0.16
SPREAD_OF_MANY = 1.0
CLIMB_PACE = 10 * SECOND
CLIMB_HOLD = 30 * SECOND

# A link fails for what plays on it once its use alone passes this part of its size. The margin of the test
# stays between climbs and steps: with one mark for both, noise in the reports made viewings flap.
OVERLOAD = 1.06

# Reports are noisy and late: what others use follows them within about this time.
NEWS_SETTLES = 3 * SECOND
NEWS_LEAST = 0.2
# Rooms that differ by less than this part of a link are equal: reports are no finer, and fronts that heard
# the same ones would all pick the same server.
ROOM_STEP = 0.06
# Without news, what was told of one link gives way to what is usual on the others, and that is this at first.
NEWS_AGES = 12 * SECOND
UNHEARD_USE = 0.6

# A note of short delivery is renewed each second while it lasts; without news for longer it is over.
NOTE_LASTS = 5 * SECOND // 2
# Under this share delivered a viewing gives up nothing by being left out of the account.
WHOLE = 0.98

# So many holders are asked how full they are where what was heard of them is older than this.
PROBES = 2
NEWS_FRESH = 8 * SECOND
# A tune-in may use this part of the time left to the join target, so that another still fits in.
TUNE_IN_PART = 0.4
SHORTEST_TUNE_IN = SECOND // 5
COME_BACK = SECOND
# Turns at a cold server last so many of the windows in which its set-ups are counted, and the rest after one
# more than a window, as clocks differ and set-ups wait for connections. In more turns most fronts have none.
TURN, REST, MOST_TURNS = 10, 1.25, 8

# What is held against a server fades; over the mark it gets viewings only where nobody else can; an answer
# leaves this part of it.
TROUBLE_FADES = 8 * SECOND
TROUBLE_MARK = 0.5
TROUBLE_OF_ONE = 1.3
TROUBLE_MOST = 4.0
TROUBLE_LEFT = 0.3
GAPS_KNOWN = 4
GAP_WEIGHS = 0.1
UNUSUAL = 3.0
FULL_LASTS = SECOND // 2
# What other fronts count of a link is taken for its use by them so long; their evidence against a server
# weighs with who has not heard of it for this long.
COUNTED_LASTS = 2 * SECOND
# Titles that played here of late; more are kept by none.
TITLES_KNOWN = 10_000
FRESH_CAP = 2

# An odd number with its bits well spread, for multiplicative hashing (Knuth): 2**64 over the golden ratio.
MIX = 0x9E3779B97F4A7C15

# Only these prove that the server never ran the tune-in.
NEVER_RAN = {Outcome.FULL, Outcome.UNREACHED, Outcome.UNSENT}
FAILURES = {Outcome.ERROR, Outcome.SILENT, Outcome.UNREACHED, Outcome.BROKEN}


def faded(value: float, age: int, lasts: int) -> float:
    """What is left of a value of this age; it decays exponentially with the time constant `lasts` (ns)."""
    return value * exp(-age / lasts)


def shared_order(viewing: Viewing, server: Server) -> int:
    """A number by which all fronts order servers alike for one viewer."""
    # mixed down to the last bit, as marks may share their leading bits
    return (viewing.mark ^ server.mark) * MIX % 2**64


class Rules:
    def __init__(self, host: Host, terms: Terms):
        self.host, self.chance = host, Random(terms.seed)
        # a dict for its order and its quick look-up: long lists once cost the square of their length
        self.servers: dict[Server, bool] = {}
        self.born, self.me, self.fronts = terms.now, terms.me, max(1, terms.fronts)
        self.racks_told = terms.racks_told
        # own changes younger than this are not in the reports yet
        self.lag = max(terms.told_late, SECOND // 4)
        self.max_tune_ins, self.probes = terms.max_tune_ins, terms.probes
        self.wait = min(COME_BACK, terms.longest_wait)
        self.warm_within, self.fall_within = terms.warm_within, terms.fall_within
        self.turn_length = int(terms.fall_within * (TURN + REST)) or 1
        # of what plays on a link, many fronts see little each; little of it is theirs to step
        self.many = (1 - 1 / self.fronts) ** 4
        self.spread = SPREAD * (1 + SPREAD_OF_MANY * self.many)
        # the pace a cold server starts with and the set-ups in a window at which it falls, for each place
        self.pace = terms.start_capacity / max(1, terms.warm_within)
        self.cold_part = self.pace * terms.fall_multiple * terms.fall_within or inf
        self.free_further = inf if terms.free_further is None else terms.free_further
        self.further_share, self.look_back = terms.further_share, terms.look_back
        self.taken, self.further = deque(), deque()
        # set-ups a nanosecond to servers not proven warm, all together, and what of them is left to use
        self.unproven_pace, self.unproven_left, self.unproven_at = 0.0, self.chance.random(), terms.now
        self.rights_dealt = False  # fronts share that pace: a server of which no rights are told has none
        # free further tune-ins and, by package and title, seats in this front's hands, where all fronts have
        # them together (None, or no such package: each front has all), and when more were last wanted
        self.further_rights, self.further_wanted_at = None, 0
        self.seat_rights: dict[Package, dict[str, list]] = {}
        self.seat_wanted_at: dict[tuple[str, Package], int] = {}
        self.again_stopped = False  # all fronts have tried again more than their successes pay for
        self.seats: Counter = Counter()
        self.titles: dict[str, bool] = {}
        self.own = self.squares = 0.0
        # fronts hear at the same moment how full links are; they take turns within the second to react
        host.wake(terms.now + TICK * (self.me + 1) // self.fronts)

    # ---- the server list

    def listed(self, lines: list[Listed], stale: bool) -> None:
        for line in lines:
            server = line.server
            if server not in self.servers:
                if not line.open:
                    server.open = False
                    continue
                self.servers[server] = True
                server.out_cap = FRESH_CAP
                if stale or not line.started:
                    # a stale list proves nothing warm: any server on it may have come up just now
                    server.unproven_until = self.born + self.warm_within
                    self.unproven_pace += server.streams * self.pace / self.fronts
            if line.started > server.started:
                server.started = line.started
                server.cold_until = max(line.started + self.warm_within, server.cold_until)
                server.out_cap = FRESH_CAP
                server.link.others = 0.0
                if server.trouble_at < line.started:
                    # only what failed before this start is over with it: a later loss may bring another start
                    server.failed, server.trouble = False, 0.0
            server.open = line.open
        self._learn_usual()

    def forgotten(self, server: Server) -> None:
        """Gone, with nothing playing there: every tick would look at it until the front stops."""
        self.servers.pop(server, None)

    # ---- viewings

    def handed_over(self, viewing: Viewing, server: Server) -> None:
        self._attach(viewing, server)
        self._start(viewing)

    def rung_told(self, viewing: Viewing, rung: int) -> None:
        if viewing.server is not None:
            self._rate(viewing, rung)

    def wanted(self, viewing: Viewing) -> None:
        self.taken.append(self.host.now())
        # a probe may stay unanswered until the tick after next: who leaves before is not kept waiting
        if not self.probes or viewing.expires - viewing.asked_at <= 2 * TICK or not self._ask(viewing):
            self._place(viewing)

    def begun(self, viewing: Viewing) -> None:
        server = viewing.server
        if server is None or viewing.playing:
            return
        server.out -= 1
        self._answered(server)
        viewing.changed_at = self.host.now()
        self._start(viewing)

    def ended(self, viewing: Viewing, outcome: Outcome, closed: bool) -> None:
        server, played = viewing.server, viewing.playing
        if server is not None:
            self._detach(viewing)
            if not played:
                server.out -= 1
            # an error on a title that never played here tells of the title: viewers who ask for what is
            # not there had every server held for sick
            if outcome is not Outcome.ERROR or viewing.title in self.titles:
                self._judge(server, outcome)
        viewing.may_have_run |= outcome not in NEVER_RAN
        if closed or viewing.over or played:
            viewing.over = True
        elif viewing.package.paid_at_setup and viewing.may_have_run:
            # it is never sent again, and a block would invite the same
            viewing.over = True
            self.host.abort(viewing)
        elif self.host.now() >= viewing.asked_at + viewing.package.join_target:
            self._block(viewing)
        else:
            self._place(viewing)

    def left(self, viewing: Viewing) -> None:
        viewing.over = True

    # ---- placing

    def _ask(self, viewing: Viewing) -> int:
        """Against fronts so many that each hears of few servers, and fills links that are short already."""
        unheard = [
            server
            for server in self._open_to(viewing)
            if self.host.now() - server.link.told_at > NEWS_FRESH and not self._sick(server)
        ]
        unheard.sort(key=lambda server: (self._room(server), shared_order(viewing, server)), reverse=True)
        for server in unheard[:PROBES]:
            if not server.asking:
                self.host.probe(server)
            server.asking.append(viewing)
            viewing.asked += 1
        return viewing.asked

    def probed(self, server: Server, outcome: Outcome) -> None:
        if outcome in FAILURES:
            self._judge(server, outcome)
        asking, server.asking = server.asking, []
        for viewing in asking:
            viewing.asked -= 1
            if not viewing.asked and not viewing.over:
                self._place(viewing)

    def _budget_left(self, viewing: Viewing) -> bool:
        since = self.host.now() - self.look_back
        for times in (self.taken, self.further):
            while times and times[0] <= since:
                times.popleft()
        free = self.free_further if self.further_rights is None else self._in_hand(self.further_rights)
        left = not viewing.tune_ins or (
            not self.again_stopped and len(self.further) + 1 <= free + self.further_share * len(self.taken)
        )
        if not left:
            self.further_wanted_at = self.host.now()
        return left

    def attempt_sent(self, viewing: Viewing) -> None:
        """Its attempt leaves now, maybe later than it was decided: the budget counts it from now on."""
        now = self.host.now()
        if not viewing.further_at or now == viewing.further_at:
            return
        if viewing.further_at in self.further:
            self.further.remove(viewing.further_at)
        self.further.append(now)
        viewing.further_at = now

    def seat_left(self, title: str, package: Package) -> bool:
        dealt = self.seat_rights.get(package)
        seats = package.seats if dealt is None else self._in_hand(dealt.get(title, ()))
        if not package.seats or self.seats[title, package] < seats:
            return True
        if dealt is not None:
            self.seat_wanted_at[title, package] = self.host.now()
        return False

    def _in_hand(self, rights) -> int:
        """Of what is dealt out among the fronts, and lent where it is needed."""
        now = self.host.now()
        return sum(count for since, until, count in rights if since <= now < until)

    def _block(self, viewing: Viewing) -> None:
        viewing.over = True
        # a crowd blocked together must not come back together
        self.host.block(viewing, int(self.wait * self.chance.uniform(0.6, 1.0)))

    def _place(self, viewing: Viewing) -> None:
        late = viewing.tune_ins >= self.max_tune_ins or self.host.now() >= viewing.expires
        if late or not self.seat_left(viewing.title, viewing.package) or not self._budget_left(viewing):
            self._block(viewing)
            return
        lowest = viewing.package.floor
        highest = max(lowest, min(viewing.ceiling, viewing.package.top))
        # At last nothing is kept free for the lowest rung: who plays wider there steps once it shows. Fronts
        # with nothing of their own to step would block, and nobody tells the others to make room.
        ways = [(rung, BOUND) for rung in range(highest, lowest - 1, -1)] + [(lowest, 0.0)]
        best, best_rank, best_rung = None, (), 0
        for server in self._open_to(viewing):
            rates = viewing.package.rates
            fits = ((rung, at) for rung, at in ways if self._room(server, rates[rung], at, viewing) >= 0)
            rung, bound = next(fits, (None, 0.0))
            sick = self._sick(server)
            # a paid set-up that fails cannot be repaired elsewhere: it never goes to a doubtful server
            if rung is None or (sick and (viewing.package.paid_at_setup or server.out)):
                continue
            # a set-up waits until an earlier one at the same server has provably ended, which a hung one never says
            rank = (
                server not in viewing.unconfirmed,
                bound,
                not sick,
                not self._silent(server),
                server not in viewing.tried,
                self._room(server, viewing=viewing) // (ROOM_STEP * server.link.size),
                shared_order(viewing, server),
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
            self.further.append(now)
            viewing.further_at = now
        viewing.tune_ins += 1
        viewing.tried.append(server)
        viewing.rung = rung
        # let go of here too: a server that stays warm is never looked at for what was sent, and kept it all
        server.sent = [at for at in server.sent if at > now - self.warm_within] + [now]
        if now < server.unproven_until:
            self.unproven_left -= 1
        server.out += 1
        until = viewing.expires
        if not viewing.package.paid_at_setup and viewing.tune_ins < self.max_tune_ins:
            left = viewing.asked_at + viewing.package.join_target - now
            until = min(until, now + max(SHORTEST_TUNE_IN, int(left * TUNE_IN_PART)))
        self._attach(viewing, server)
        if rung <= viewing.ceiling:
            self.host.set_rung(viewing, rung)
        self.host.tune_in(viewing, server, until)

    # ---- guards on what is sent

    def _may_send(self, server: Server) -> bool:
        now = self.host.now()
        if not server.open or now < server.full_until:
            return False
        if now >= max(server.cold_until, server.unproven_until) and not server.failed:
            return True
        server.sent = [at for at in server.sent if at > now - self.warm_within]
        if server.out >= server.out_cap or self._own_part_left(server, now):
            return server.out < server.out_cap
        server.wanted_at = now
        # Where turns are many, most fronts that have just started had nowhere to send all their warm-up: each
        # may send one set-up to a server, all together at its part of the starting paces. That holds in the
        # mean; a crowd on one title could bring one from each. Nothing goes beside rights that are dealt out.
        few = self.cold_part * server.streams * MOST_TURNS >= self.fronts
        if few or self.rights_dealt or server.sent or server.failed or now < server.cold_until:
            return False
        self.unproven_left = min(2.0, self.unproven_left + (now - self.unproven_at) * self.unproven_pace)
        self.unproven_at = now
        return self.unproven_left >= 1

    def rights_of(self, server: Server) -> int:
        """Set-ups in a window that a cold server bears from all fronts together: what may be dealt out."""
        return int(min(self.cold_part * server.streams, 10**6))

    def takes(self, server: Server, rate: float) -> bool:
        """Whether one more viewing of this rate (kB/s) would pass there; asking changes nothing."""
        now = self.host.now()
        guarded = server.failed or now < max(server.cold_until, server.unproven_until)
        return server.open and now >= server.full_until and not guarded and self._room(server, rate) >= 0

    def _own_part_left(self, server: Server, now: int) -> bool:
        """A cold server falls if all fronts together pass its pace in any window: each keeps to its part.

        Where that is under one set-up a front and window, as many fronts take a turn together as a window has
        set-ups, by the clock, with a rest between: no window holds what two turns sent.
        """
        if self.cold_part == inf:
            return True  # no pace is stated
        window, budget, length = self.fall_within, self.cold_part * server.streams, self.turn_length
        if self.rights_dealt:
            return sum(at > now - window for at in server.sent) + 1 <= self._in_hand(server.rights or ())
        spare = sqrt(budget) + 1  # half of what may come on top of a count before it is more than chance
        if budget * MOST_TURNS >= self.fronts and not server.failed and now >= server.cold_until:
            budget += spare
        turns = -(-self.fronts // max(1, int(min(self.fronts, budget))))
        if turns > 1:
            turn, spent = divmod(now + server.mark % (turns * length), length)
            if turn % turns != self.me % turns or spent >= window * TURN:
                return False
        if now < self.born + window:
            # an earlier life may have sent its part in this window: what comes on top is chance's other half
            budget = min(budget, spare)
        return sum(at > now - window for at in server.sent) + 1 <= budget / -(-self.fronts // turns)

    # ---- health

    def _sick(self, server: Server) -> bool:
        now = self.host.now()
        if server.doubted and now - server.heard_at > COUNTED_LASTS:
            return True
        return faded(server.trouble, now - server.trouble_at, TROUBLE_FADES) > TROUBLE_MARK

    def _silent(self, server: Server) -> bool:
        """Silence that is unusual, given the gaps between signs before, while signs are due.

        Against servers that hang or vanish, seconds before the list tells. It only ranks a server behind
        others: where notes stay out everywhere, all are silent alike and nothing changes.
        """
        if server.gaps < GAPS_KNOWN or not server.link.playing:
            return False
        return self.host.now() - server.heard_at > server.gap + UNUSUAL * max(server.gap_off, server.gap / 4)

    def _heard(self, server: Server) -> None:
        now = self.host.now()
        gap = now - server.heard_at
        # gaps count only while signs are due: the time before the first viewing there says nothing
        if gap > 0 and server.heard_at and server.link.playing:
            server.gaps += 1
            weight = max(GAP_WEIGHS, 1 / server.gaps)
            server.gap_off += weight * (abs(gap - (server.gap or gap)) - server.gap_off)
            server.gap += weight * (gap - server.gap)
        server.heard_at = now

    def _judge(self, server: Server, outcome: Outcome) -> None:
        now = self.host.now()
        if outcome is Outcome.FULL:
            # it answers, so it lives; what it last reported is out of date
            server.full_until = now + FULL_LASTS
            self._age(server.link)
            server.link.others = max(server.link.others, server.link.size - server.link.own)
            server.link.told, server.link.told_at = True, now
        elif outcome in FAILURES:
            trouble = faded(server.trouble, now - server.trouble_at, TROUBLE_FADES)
            # one loss ends many viewings at once: that they were many says nothing of how long it lasts
            server.trouble, server.trouble_at = min(trouble + TROUBLE_OF_ONE, TROUBLE_MOST), now
            if outcome is not Outcome.ERROR:
                # whatever was wrong, it may come back cold, and no list need tell
                server.failed, server.out_cap = True, FRESH_CAP

    def _answered(self, server: Server) -> None:
        now = self.host.now()
        self._heard(server)
        server.trouble *= TROUBLE_LEFT
        server.out_cap += 1
        if server.failed:
            server.failed = False
            server.cold_until = max(server.cold_until, now + self.warm_within)

    # ---- the account of a link

    def _attach(self, viewing: Viewing, server: Server) -> None:
        viewing.server = server
        self.seats[viewing.title, viewing.package] += 1
        self._rate(viewing, viewing.rung)

    def _detach(self, viewing: Viewing) -> None:
        self.seats[viewing.title, viewing.package] -= 1
        if not self.seats[viewing.title, viewing.package]:
            del self.seats[viewing.title, viewing.package]
        self._count(viewing, 0.0)
        for link in (viewing.server.link, viewing.server.rack.link):
            link.playing.pop(viewing, None)
        viewing.server, viewing.playing = None, False

    def _start(self, viewing: Viewing) -> None:
        viewing.playing = True
        if viewing.title not in self.titles:
            if len(self.titles) >= TITLES_KNOWN:
                del self.titles[next(iter(self.titles))]
            self.titles[viewing.title] = True
        for link in (viewing.server.link, viewing.server.rack.link):
            link.playing[viewing] = True

    def _rate(self, viewing: Viewing, rung: int) -> None:
        viewing.rung = rung
        self._count(viewing, viewing.package.rates[rung])

    def _count(self, viewing: Viewing, rate: float) -> None:
        change, squares = rate - viewing.held_rate, rate * rate - viewing.held_rate * viewing.held_rate
        self.own += change
        self.squares += squares
        for link in (viewing.server.link, viewing.server.rack.link):
            self._age(link)
            link.own += change
            link.own_squares += squares
            link.fresh += change
        viewing.held_rate = rate

    def _age(self, link: Link) -> None:
        now = self.host.now()
        if now > link.aged_at:
            link.fresh = faded(link.fresh, now - link.aged_at, self.lag)
            link.swing = faded(link.swing, now - link.aged_at, self.lag)
            link.aged_at = now

    def _others(self, link: Link) -> float:
        if link.counted_at and self.host.now() - link.counted_at < COUNTED_LASTS:
            return max(0.0, link.counted + link.strange)
        if not link.told:
            return link.usual
        return link.usual + faded(link.others - link.usual, self.host.now() - link.told_at, NEWS_AGES)

    def _use(self, link: Link) -> float:
        # others heard the same late report and take their part as this front does: count that in
        self._age(link)
        return link.own + max(0.0, self._others(link) + link.swing)

    def _held(self, link: Link, viewing: Viewing | None) -> float:
        """What is kept free here for packages other than this viewing's counts as used."""
        return sum(room for package, room in link.holds.items() if viewing is None or package is not viewing.package)

    def _left(self, link: Link, rate: float = 0.0, bound: float = BOUND, viewing: Viewing | None = None) -> float:
        if self._short(link):
            return -inf
        # others' viewings vary like this front's: with no spread, links not known looked the roomiest
        typical = self.squares / self.own if self.own > 1 else 0.0
        squares = max(0.0, link.own_squares + self._others(link) * typical + rate * rate)
        held = self._held(link, viewing) if link.holds else 0.0
        return link.size - self._use(link) - held - rate - bound * self.spread * sqrt(squares)

    def _room(self, server: Server, rate: float = 0.0, bound: float = BOUND, viewing: Viewing | None = None) -> float:
        return min(self._left(server.link, rate, bound, viewing), self._left(server.rack.link, rate, bound, viewing))

    def _short(self, link: Link) -> bool:
        return link.missing > 0 and self.host.now() - link.missing_at < NOTE_LASTS

    # ---- notes

    def delivered(self, server: Server, share: float) -> None:
        link, now = server.link, self.host.now()
        self._age(link)
        link.missing, link.missing_at = (1 - share if share < WHOLE else 0.0), now
        if link.missing:
            link.climbs_from = now + CLIMB_HOLD
        if link.missing and now - self.lag >= link.relieved_at:
            # the share was measured before the newest own changes: what they took off already counts
            link.owed = max(0.0, link.own - (link.own - link.fresh) * share)

    def link_told(self, server: Server, use: float) -> None:
        self._heard(server)
        self.link_reported(server, use)

    def link_reported(self, server: Server, use: float) -> None:
        """Another front was told so: it tells of the link, and not that this front is answered there."""
        self._told(server.link, use)
        if not self.racks_told:
            uplink = server.rack.link
            uplink.others = sum(self._others(one.link) for one in server.rack.servers)
            uplink.told = True

    def counted(self, link: Link, use: float, age: int) -> None:
        """Of this link the other fronts say that they use so much together (kB/s); `age` in ns."""
        if not link.counted_at:
            link.strange = 0.0
        link.counted, link.counted_at = use, self.host.now() - age

    def seen_warm(self, server: Server) -> None:
        """Other fronts have used it for longer than it takes to get warm, and since this one started."""
        server.unproven_until = 0

    def uplink_told(self, server: Server, use: float) -> None:
        self._told(server.rack.link, use)

    def _told(self, link: Link, use: float) -> None:
        if link.size == inf:
            return
        self._age(link)
        others, now = max(0.0, use * link.size - (link.own - link.fresh)), self.host.now()
        # one noisy or late report must not turn the link over: news weighs by the time since the last
        weight = 1 - exp(-(now - link.told_at) / NEWS_SETTLES) if link.told else 1.0
        if link.counted_at and now - link.counted_at < COUNTED_LASTS:
            # what uses the link beside the fronts, and what they do not get of what they ask for
            link.strange += max(weight, NEWS_LEAST) * (others - link.counted - link.strange)
        link.others += max(weight, NEWS_LEAST) * (others - link.others)
        link.told, link.told_at = True, now

    # ---- the round

    def tick(self) -> None:
        self.host.wake(self.host.now() + TICK)
        for server in self.servers:
            # a probe's answer that never came must not hold an owed one back
            if server.asking and self.host.now() - server.asking[0].asked_at > TICK:
                self.probed(server, Outcome.SILENT)
        self._learn_usual()
        # links that play nothing of this front have nothing to step or climb; in a large fleet most are such
        for link in sum(self._links(), []):
            if link.playing or link.owed:
                self._relieve(link)
        for server in self.servers:
            if server.link.playing:
                self._climb(server)

    def _links(self) -> tuple[list[Link], list[Link]]:
        uplinks = {server.rack: server.rack.link for server in self.servers}
        return [server.link for server in self.servers], list(uplinks.values())

    def _learn_usual(self) -> None:
        """Against old news: a link not heard of for long is held to be used as the fleet is of late."""
        now = self.host.now()
        for links in self._links():
            size = sum(link.size for link in links)
            if not 0 < size < inf:
                continue
            # before any news others ask for what this front does, and no little: full links look empty
            asked = (self.fronts - 1) * sum(link.own for link in links) / size
            weight, share = 1.0, max(UNHEARD_USE * self.many, asked)
            for link in links:
                if link.told:
                    more = faded(1.0, now - link.told_at, NEWS_AGES)
                    weight += more
                    share += (link.others / link.size - share) * more / weight
            for link in links:
                link.usual = share * link.size

    def _by_turn(self, link: Link) -> list[Viewing]:
        # Rounds begin on the highest rung: nobody gives up a lower one before all are down to it. By time or
        # steps taken, newcomers stayed on top of those who had stepped. Within a round, least value first.
        return sorted(link.playing, key=lambda viewing: (-viewing.rung, viewing.package.value / viewing.held_rate, viewing.turn))

    def _part(self, link: Link) -> float:
        return link.own / max(link.own, self._use(link), 1e-9)

    def _relieve(self, link: Link) -> None:
        """All fronts hear late news at once, and each owes its own part of what a link has too much.

        Where that is less than a step chance settles it: a step by every front would be many times too much.
        """
        part, owed = self._part(link), link.owed
        if owed > 0:
            link.owed, link.relieved_at = 0.0, self.host.now()
        elif link.told and not self._short(link):
            owed = (self._use(link) - OVERLOAD * link.size) * part
        if owed <= 0 and link.holds and not self._short(link):
            self._make_room(link)
        if owed <= 0 or not link.playing:
            return
        # rounds begin on the highest rung, over all fronts too: who plays wider than usual owes more
        owed *= link.own_squares / link.own / (self.squares / self.own)
        link.swing -= owed * (1 - part) / part
        for viewing in self._by_turn(link):
            if owed > 0 and viewing.rung > viewing.package.floor:
                less = viewing.held_rate - viewing.package.rates[viewing.rung - 1]
                if self.chance.random() >= max(owed / less, part):
                    return
                self._step(viewing, viewing.rung - 1)
                owed -= less

    def _make_room(self, link: Link) -> None:
        """Steps that free what is held here and still used; what it is held for steps for no hold."""
        owed = min(self._held(link, None), self._use(link) + self._held(link, None) - link.size)
        for viewing in self._by_turn(link):
            if owed > 0 and viewing.rung > viewing.package.floor and viewing.package not in link.holds:
                owed -= viewing.held_rate - viewing.package.rates[viewing.rung - 1]
                self._step(viewing, viewing.rung - 1)

    def _climb(self, server: Server) -> None:
        now = self.host.now()
        links = (server.link, server.rack.link)
        # before the first report, full links look empty to a new front
        if any(now < link.climbs_from or not link.told for link in links):
            return
        for viewing in reversed(self._by_turn(server.link)):
            if viewing.rung >= min(viewing.ceiling, viewing.package.top) or now < viewing.changed_at + CLIMB_PACE:
                continue
            more = viewing.package.rates[viewing.rung + 1] - viewing.package.rates[viewing.rung]
            if self._room(server, more, viewing=viewing) < 0:
                continue
            # room too is for all who hear of it
            chance = 1.0
            for link in links:
                part, room = self._part(link), self._left(link, more, viewing=viewing) + more
                chance = min(chance, room * part / more)
                link.swing += min(room, more / part) * (1 - part)
            if self.chance.random() < chance:
                self._step(viewing, viewing.rung + 1)

    def _step(self, viewing: Viewing, rung: int) -> None:
        viewing.turn += viewing.rung - rung
        viewing.changed_at = self.host.now()
        self._rate(viewing, rung)
        self.host.set_rung(viewing, rung)
