"""Judges a day's traffic by the six rules. Called by the rehearsal; needs nothing of the front but its lives.

The traffic is a list of events on one clock (`at`, ns), as curlewshift/standins/traffic.py writes them. A rule that
never applied is reported as not tried. What a killed front held is not its duty any more.
"""

from __future__ import annotations

import itertools
from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

MS = 1_000_000
SECOND = 1000 * MS
# Two processes note what both see up to so long apart.
APART = 30 * MS
# A request in the kernel's queue when its front ends was never taken by it.
NEVER_TAKEN = 250 * MS
KEPT_EXAMPLES = 5
# A life has taken up or ended all that was left to it so long after its start, that of its process included.
TAKEN_UP_WITHIN = 5 * SECOND
# What played when its front was killed and still plays so long after has been kept.
WENT_ON = 30 * SECOND


@dataclass(slots=True)
class Figures:
    """What the deployment states (ns): from the settings, not from the front."""

    grace: int
    warm_within: int
    start_capacity: float
    fall_multiple: float
    fall_within: int
    free_further: int | None
    further_share: float
    look_back: int
    # by package name
    patience: dict[str, int]
    join_target: dict[str, int]
    value: dict[str, float]
    paid: set[str]
    floor: dict[str, int]
    seats: dict[str, int]


@dataclass(slots=True)
class Rule:
    applied: int = 0
    broken: int = 0
    examples: list[str] = field(default_factory=list)

    def breaks(self, how: str) -> None:
        self.broken += 1
        if len(self.examples) < KEPT_EXAMPLES:
            self.examples.append(how)

    def told(self) -> dict:
        return {"applied": self.applied, "broken": self.broken, "tried": self.applied > 0, "examples": self.examples}


@dataclass(slots=True)
class Life:
    """One life of one front: how it ended is `killed`, `ended` or empty while it lasts."""

    front: str
    name: str
    began: int
    ended: int = 2**63
    how: str = ""


class Day:
    """The traffic of a day, sorted and indexed once for all rules."""

    def __init__(self, events: list[dict], figures: Figures):
        self.events = sorted(events, key=lambda event: event["at"])
        self.figures = figures
        self.by_kind: dict[str, list[dict]] = defaultdict(list)
        for event in self.events:
            self.by_kind[event["ev"]].append(event)
        self.lives: dict[str, list[Life]] = defaultdict(list)
        self.life: dict[str, Life] = {}
        for event in self.by_kind["front-up"]:
            life = Life(event["front"], event["life"], event["at"])
            self.lives[event["front"]].append(life)
            self.life[life.name] = life
        for event in self.by_kind["front-down"]:
            life = self.life[event["life"]]
            life.ended, life.how = event["at"], event["how"]
        # a process that is stopped can neither read nor answer
        self.stopped: dict[str, list[tuple[int, int]]] = defaultdict(list)
        for event in self.by_kind["front-paused"]:
            goes_on = [
                other["at"]
                for other in self.by_kind["front-goes-on"]
                if other["life"] == event["life"] and other["at"] >= event["at"]
            ]
            self.stopped[event["front"]].append((event["at"], min(goes_on, default=2**63)))
        # tune-ins as their servers saw them
        self.over = {self._tune_in(event): event for event in self.by_kind["setup-over"]}
        self.setups: dict[str, list[dict]] = defaultdict(list)
        for event in self.by_kind["setup"]:
            self.setups[same_request(event["request"])].append(event)
        # how sessions and lives of servers ended, and which of the latter hung at some time
        self.session_ends = {event["session"]: event for event in self.by_kind["session-end"]}
        self.died = {(event["server"], event["boot"]): event["at"] for event in self.by_kind["dead"]}
        self.hung = {(event["server"], event["boot"]) for event in self.by_kind["froze"]}

    def session_end(self, session: str) -> int:
        """When it ended at its server by itself or as it was told to; long after the day if it did not."""
        end = self.session_ends.get(session)
        return end["at"] if end is not None else 2**63

    @staticmethod
    def _tune_in(event: dict) -> tuple:
        return event["server"], event["boot"], event["front"], event["request"], event["number"]

    def end_of(self, setup: dict) -> dict | None:
        return self.over.get(self._tune_in(setup))

    def life_at(self, front: str, at: int) -> Life | None:
        """The life of this front that was up then, or the one that ended just before."""
        found = None
        for life in self.lives[front]:
            if life.began <= at:
                found = life
        return found

    def reads_at(self, front: str, at: int) -> int:
        """When a front can have read what was sent to it then."""
        return max((until for since, until in self.stopped[front] if since <= at < until), default=at)

    def excused_late(self, front: str, since: int, until: int) -> bool:
        """Whether it was stopped when it had to answer."""
        return any(stopped <= until + APART and since <= goes_on for stopped, goes_on in self.stopped[front])

    def excused(self, front: str, since: int, until: int) -> bool:
        """Whether the front was killed while the request was its duty, or had ended before it took it, or was stopped."""
        if self.excused_late(front, since, until):
            return True
        for life in self.lives[front]:
            if life.how == "killed" and since - NEVER_TAKEN <= life.ended <= until + APART:
                return True
            if life.how == "ended" and since - SECOND <= life.ended <= since + NEVER_TAKEN:
                return True
        return False


def same_request(request: str) -> str:
    """A request as its client means it: one that hung up (`h`) or broke off (`b`) and was sent again with its key."""
    return request.rstrip("hb")


def judge(events: list[dict], figures: Figures) -> dict:
    """The whole verdict as plain data, ready to be written."""
    day = Day(events, figures)
    rules = {"1": Rule(), "2": Rule(), "3": Rule(), "4": Rule(), "5": Rule(), "6": Rule()}
    counts = answered_once(day, rules["1"])
    set_up_once(day, rules["2"])
    drains_kept(day, rules["3"])
    cold_spared(day, rules["4"])
    terms_kept(day, rules["5"])
    budget_kept(day, rules["6"])
    return {
        **counts,
        "service": service(day),
        **sessions_ended(day),
        **taken_up(day),
        "tune_ins_per_request_max": max((len(setups) for setups in day.setups.values()), default=0),
        "rules": {number: rule.told() for number, rule in rules.items()},
        "troubles": sorted({event["kind"] for event in day.by_kind["trouble"]}),
    }


# ---- rule 1


def answered_once(day: Day, rule: Rule) -> dict:
    answers: dict[str, list[dict]] = defaultdict(list)
    for event in day.by_kind["answer"]:
        answers[event["request"]].append(event)
    left = {event["request"] for event in day.by_kind["hung-up"]}
    duplicates = unanswered = late = answered = 0
    for ask in day.by_kind["ask"]:
        request, until = ask["request"], ask["at"] + ask["patience"]
        got = answers[request]
        answered += len(got)
        rule.applied += 1
        if len(got) > 1:
            duplicates += 1
            rule.breaks(f"{request} got {len(got)} answers")
        elif got and got[0]["at"] > until + APART and not day.excused_late(ask["front"], ask["at"], until):
            late += 1
            rule.breaks(f"{request} was answered {(got[0]['at'] - until) / MS:.0f} ms after patience ended")
        elif not got and request not in left and not day.excused(ask["front"], ask["at"], until):
            unanswered += 1
            rule.breaks(f"{request} at {ask['front']} got no answer")
    return {
        "requests": len(day.by_kind["ask"]),
        "answers": answered,
        "duplicates": duplicates,
        "unanswered": unanswered,
        "late": late,
    }


# ---- rule 2


def set_up_once(day: Day, rule: Rule) -> None:
    """Never two out at once; and a paid one neither resent nor refused where an earlier one may have run."""
    refused = {same_request(event["request"]): event["at"] for event in day.by_kind["answer"] if event["status"] == 503}
    for request, setups in day.setups.items():
        paid = setups[0]["package"] in day.figures.paid
        if paid or len(setups) > 1:
            rule.applied += 1
        for first, second in itertools.pairwise(setups):
            end = day.end_of(first)
            if end is None or end["at"] > second["at"] + APART:
                rule.breaks(f"{request}: tune-in {second['number']} while {first['number']} was out")
        may_have_run = [setup for setup in setups if (day.end_of(setup) or {}).get("how") != "turned-away"]
        if not paid or not may_have_run:
            continue
        first = may_have_run[0]
        if any(setup["at"] > first["at"] for setup in setups):
            rule.breaks(f"{request}: paid and sent again though tune-in {first['number']} may have run")
        if refused.get(request, 0) > first["at"]:
            rule.breaks(f"{request}: paid and refused though tune-in {first['number']} may have run")


# ---- rule 3


def drains_kept(day: Day, rule: Rule) -> None:
    told: dict[tuple[str, str], list[tuple[int, bool]]] = defaultdict(list)
    names: dict[str, set[str]] = defaultdict(set)
    for event in day.events:
        if event["ev"] == "told":
            at = day.reads_at(event["front"], event["at"])
            told[event["front"], event["server"]].append((at, event["state"] == "on"))
            names[event["front"]].add(event["server"])
        elif event["ev"] == "told-all":
            for server in names[event["front"]] - set(event["servers"]):
                told[event["front"], server].append((day.reads_at(event["front"], event["at"]), False))
    rule.applied = sum(not state for states in told.values() for _, state in states)
    for setup in day.by_kind["setup"]:
        closed_since = None
        for at, state in told.get((setup["front"], setup["server"]), ()):
            if at > setup["at"]:
                break
            closed_since = None if state else closed_since if closed_since is not None else at
        if closed_since is not None and setup["at"] > closed_since + day.figures.grace + APART:
            late = (setup["at"] - closed_since) / MS
            rule.breaks(f"{setup['request']} went to {setup['server']} {late:.0f} ms after its front was told")


# ---- rule 4


def cold_spared(day: Day, rule: Rule) -> None:
    """For each cold start: any window with more set-ups than it bears, most of them by fronts that had to know."""
    figures = day.figures
    arrivals: dict[tuple[str, str], list[dict]] = defaultdict(list)
    for setup in day.by_kind["setup"]:
        arrivals[setup["server"], setup["boot"]].append(setup)
    knew = knowledge(day)
    for boot in day.by_kind["boot"]:
        if boot["at"] - boot["born"] >= figures.warm_within:
            continue
        setups = [setup for setup in arrivals[boot["server"], boot["boot"]] if setup["at"] < boot["born"] + figures.warm_within]
        if not setups:
            continue
        rule.applied += 1
        times = [setup["at"] for setup in setups]
        for index, setup in enumerate(setups):
            window = setups[bisect_left(times, setup["at"] - figures.fall_within + 1) : index + 1]
            age = setup["at"] - boot["born"]
            warm = figures.start_capacity + (1 - figures.start_capacity) * age / figures.warm_within
            bears = figures.fall_multiple * boot["streams"] / figures.warm_within * warm * figures.fall_within
            knowing = sum(knew(one, boot) for one in window)
            if len(window) > max(1.0, bears) and knowing * 2 > len(window):
                rule.breaks(
                    f"{boot['server']} took {len(window)} set-ups where it bears {bears:.1f}, {knowing} of fronts that knew"
                )
                break


def knowledge(day: Day):
    """Whether the front of a set-up had to know that this start may be cold: told of it, a witness of how the life
    before failed, or started after it."""
    told: dict[tuple[str, str], list[int]] = defaultdict(list)
    for event in day.by_kind["told"]:
        if event["state"] == "on":
            told[event["front"], event["server"]].append(event["at"])
    saw: dict[tuple[str, str], list[int]] = defaultdict(list)
    for event in day.by_kind["notes-end"]:
        saw[event["front"], event["server"]].append(event["at"])
    opened: dict[tuple[str, str], int] = {}
    for event in day.by_kind["notes-open"]:
        opened.setdefault((event["front"], event["boot"]), event["at"])
    births = defaultdict(list)
    for event in day.by_kind["boot"]:
        births[event["server"]].append(event["at"])

    def knew(setup: dict, boot: dict) -> bool:
        key, at = (setup["front"], setup["server"]), setup["at"]
        life = day.life.get(setup["front"])
        if life is None or life.began > boot["born"]:
            return True
        # the stream of notes says which life it is, a moment before
        heard = opened.get((setup["front"], boot["boot"]), 2**63) + APART <= at
        before = births[setup["server"]]
        earlier = before[bisect_left(before, boot["at"]) - 1] if bisect_left(before, boot["at"]) else 0
        witness = any(earlier < end <= at - APART for end in saw[key])
        listed = any(boot["at"] < told_at <= at - APART for told_at in told[key])
        return heard or witness or listed

    return knew


# ---- rule 5


def terms_kept(day: Day, rule: Rule) -> None:
    figures = day.figures
    for event in [*day.by_kind["setup"], *day.by_kind["layer"]]:
        floor = figures.floor.get(event["package"], 0)
        if floor:
            rule.applied += 1
            if event["rung"] < floor:
                rule.breaks(f"{event['package']} on rung {event['rung']} under its floor {floor}")
    _seats(day, rule)


def _seats(day: Day, rule: Rule) -> None:
    """Set-ups and viewings that a front holds of one title and package, from the first byte to the end it knows of."""
    sessions = {Day._tune_in(event): event for event in day.by_kind["session"]}
    # what its viewer has ended is held by nobody, even if a server that hangs does not hear of it
    closed = {request: event["at"] for event in day.by_kind["closed"] for request in event["requests"]}
    # a server that the list has dropped plays nothing as far as its front is told, even if it only vanished
    dropped: dict[tuple[str, str], list[int]] = defaultdict(list)
    for event in day.by_kind["told"]:
        if event["state"] == "off":
            dropped[event["front"], event["server"]].append(event["at"])
    adopted: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for event in day.by_kind["adopted"]:
        adopted[event["session"]].append((event["at"], event["front"]))
    held: dict[tuple, list[tuple[int, int]]] = defaultdict(list)
    for setup in day.by_kind["setup"]:
        seats = day.figures.seats.get(setup["package"], 0)
        if not seats:
            continue
        rule.applied += 1
        session, over = sessions.get(Day._tune_in(setup)), day.end_of(setup)
        key = (setup["package"], setup["title"])
        gone = min(day.session_end(session["session"]), closed.get(setup["request"], 2**63)) if session else 2**63

        def known_until(front: str, since: int, server: str = setup["server"], boot: str = setup["boot"]) -> int:
            """Until when a life of a front may hold there what it has: to the end of either, or what it is told."""
            life, told = day.life.get(front), dropped[front, server]
            after = bisect_left(told, since)
            return min(
                day.died.get((server, boot), 2**63), life.ended if life else 2**63, told[after] if after < len(told) else 2**63
            )

        end = over["at"] if over else setup["at"]
        if session is not None and over and over["how"] == "answered":
            end = gone
        end = min(end, known_until(setup["front"], setup["at"]))
        # the next life of its front has it from then on, if that is not the one that set it up
        for at, front in adopted[session["session"]] if session is not None else ():
            until = min(gone, known_until(front, at))
            if until > at:
                held[front, *key] += [(at, 1), (max(at, until - APART), -1)]
        # what ended at the server just before is known to its front a moment later, never the other way round
        held[setup["front"], *key] += [(setup["at"], 1), (max(setup["at"], end - APART), -1)]
    for (front, package, title), changes in held.items():
        count = worst = 0
        for _, change in sorted(changes):
            count += change
            worst = max(worst, count)
        if worst > day.figures.seats[package]:
            rule.breaks(f"{front} held {worst} of {title} {package}, seats {day.figures.seats[package]}")


# ---- rule 6


def budget_kept(day: Day, rule: Rule) -> None:
    figures = day.figures
    if figures.free_further is None:
        return
    further, taken = defaultdict(list), defaultdict(list)
    for setups in day.setups.values():
        for setup in setups:
            # tune-ins before it that reached no server count as well, but were not seen: the count errs low
            if setup["number"] > 1:
                further[setup["front"]].append(setup["at"])
    for ask in day.by_kind["ask"]:
        life = day.life_at(ask["front"], ask["at"])
        if life is not None:
            taken[life.name].append(ask["at"])
    for front, times in further.items():
        # they were met request by request
        times.sort()
        for index, at in enumerate(times):
            rule.applied += 1
            made = index + 1 - bisect_right(times, at - figures.look_back)
            asks = taken[front]
            came = bisect_right(asks, at) - bisect_left(asks, at - figures.look_back - APART)
            if made > figures.free_further + figures.further_share * came + 1e-9:
                rule.breaks(f"{front}: {made} further tune-ins within the span in which {came} requests came")


# ---- sessions that nobody was told of


def sessions_ended(day: Day) -> dict:
    """Sessions set up for requests that never heard of them: `torn_down` by their front, or `left_standing` until
    the server ended them itself. What a server that hung or died could not hear is its front's fault no more, nor is
    what a front that ended by force had no time for."""
    plays = {same_request(event["request"]) for event in day.by_kind["answer"] if event["status"] == 201}
    torn = left = 0
    for session in day.by_kind["session"]:
        # one that hung up and asked again gets what the first request set up
        if same_request(session["request"]) in plays:
            continue
        end = day.session_ends.get(session["session"])
        if end is not None and end.get("why") == "deleted":
            torn += 1
        elif end is not None and end.get("why") == "nobody watches":
            life = day.life.get(session["front"])
            excused = (session["server"], session["boot"]) in day.hung or life is None or life.ended < end["at"]
            left += not excused
    return {"torn_down": torn, "left_standing": left}


def taken_up(day: Day) -> dict:
    """Sessions of killed fronts: how many their next life took up (`recovered`), and how many it left standing with
    nobody to tell of them (`orphans_left`), of those that outlived its start by long enough; and, `over_kills`, of
    those that played when their front was killed, how many went on until their viewer ended them, or for long."""
    adopted = {event["session"] for event in day.by_kind["adopted"]}
    closed = {same_request(request) for event in day.by_kind["closed"] for request in event["requests"]}
    # what plays when the day is over is ended with it
    last = max((event["begins"] + event["lasts"] for event in day.by_kind["day"]), default=2**63)
    left = playing = went_on = 0
    value = kept_value = 0.0
    for session in day.by_kind["session"]:
        life = day.life.get(session["front"])
        if life is None or life.how != "killed":
            continue
        server = session["server"], session["boot"]
        ended = min(day.session_end(session["session"]), day.died.get(server, 2**63))
        if session["at"] < life.ended < ended:
            worth = day.figures.value[session["package"]]
            # its viewer had left while no front was there to hear of it
            left_alone = day.session_ends.get(session["session"], {}).get("why") == "nobody watches"
            on = same_request(session["request"]) in closed or left_alone or ended - life.ended >= WENT_ON or ended >= last
            playing, value = playing + 1, value + worth
            went_on, kept_value = went_on + on, kept_value + worth * on
        after = [other.began for other in day.lives[life.front] if other.began >= life.ended]
        if after and session["session"] not in adopted and server not in day.hung:
            left += ended > min(after) + TAKEN_UP_WITHIN
    return {
        "recovered": len(adopted),
        "orphans_left": left,
        "over_kills": {"playing": playing, "went_on": went_on, "value": value, "value_kept": kept_value},
    }


# ---- service


def service(day: Day) -> float:
    """Value answered by a start within the join target over the value asked for; who comes again is one viewing."""
    asked = {event["viewing"]: event["package"] for event in day.by_kind["viewing"]}
    asks = {event["request"]: event for event in day.by_kind["ask"]}
    served = set()
    for event in day.by_kind["answer"]:
        ask = asks.get(event["request"])
        if ask and event["status"] == 201 and event["at"] <= ask["at"] + day.figures.join_target[ask["package"]]:
            served.add(ask["viewing"])
    total = sum(day.figures.value[package] for package in asked.values())
    return round(sum(day.figures.value[asked[viewing]] for viewing in served) / total, 4) if total else 0.0
