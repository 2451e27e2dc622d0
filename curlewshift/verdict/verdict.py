"""Checks recorded traffic of a run against the six rules. Called by the rehearsal; needs of the fronts only their lives.

A life is one run of a front's process (a restart is a new life), a boot the same of a media server. The traffic is a list of
events timed by one clock (`at`, ns), as curlewshift/standins/traffic.py writes them. A rule that never applied is reported as not
tried. Requests that were in progress at a front when it was killed are not counted as unanswered.
"""

from __future__ import annotations

import itertools
from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

MS = 1_000_000
SECOND = 1000 * MS
# Maximum difference (ns) between the times at which two processes record the same event.
RECORD_SKEW = 30 * MS
# A request sent up to this long (ns) before its front ended may still have been in the kernel's queue, never read by the front.
MAX_ACCEPT_DELAY = 250 * MS
MAX_EXAMPLES = 5
# Time (ns) from the start of a process in which a life has to adopt or end all sessions of earlier lives.
RECOVERY_DEADLINE = 5 * SECOND
# A session that still plays this long (ns) after its front was killed counts as kept.
CONTINUED_AFTER = 30 * SECOND


@dataclass(slots=True)
class Figures:
    """Obligations and limits of the deployment, from the settings and not from the front. Times are ns."""

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
    """Result of one rule: how often it applied, how often it was broken, and examples of violations."""

    applied: int = 0
    broken: int = 0
    examples: list[str] = field(default_factory=list)

    def add_violation(self, description: str) -> None:
        self.broken += 1
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(description)

    def report(self) -> dict:
        return {"applied": self.applied, "broken": self.broken, "tried": self.applied > 0, "examples": self.examples}


@dataclass(slots=True)
class Life:
    """One life of one front. `how` it ended is `killed`, `ended`, or empty while it runs."""

    front: str
    name: str
    started_at: int
    ended: int = 2**63
    how: str = ""


class RunTraffic:
    """The traffic of a run, sorted and indexed once for all rules."""

    def __init__(self, events: list[dict], figures: Figures):
        self.events = sorted(events, key=lambda event: event["at"])
        self.figures = figures
        self.by_kind: dict[str, list[dict]] = defaultdict(list)
        for event in self.events:
            self.by_kind[event["ev"]].append(event)
        self.lives: dict[str, list[Life]] = defaultdict(list)
        self.life_by_name: dict[str, Life] = {}
        for event in self.by_kind["front-up"]:
            life = Life(event["front"], event["life"], event["at"])
            self.lives[event["front"]].append(life)
            self.life_by_name[life.name] = life
        for event in self.by_kind["front-down"]:
            life = self.life_by_name[event["life"]]
            life.ended, life.how = event["at"], event["how"]
        # time spans in which the process was stopped and could neither read nor answer
        self.stopped: dict[str, list[tuple[int, int]]] = defaultdict(list)
        for event in self.by_kind["front-paused"]:
            resumed_at = [
                other["at"]
                for other in self.by_kind["front-goes-on"]
                if other["life"] == event["life"] and other["at"] >= event["at"]
            ]
            self.stopped[event["front"]].append((event["at"], min(resumed_at, default=2**63)))
        # tune-ins (set-up attempts at one server) as the servers saw them
        self.setup_ends = {self.tune_in_key(event): event for event in self.by_kind["setup-over"]}
        self.setups: dict[str, list[dict]] = defaultdict(list)
        for event in self.by_kind["setup"]:
            self.setups[same_request(event["request"])].append(event)
        # ends of sessions and of boots of servers, and the boots that hung at some time
        self.session_ends = {event["session"]: event for event in self.by_kind["session-end"]}
        self.server_deaths = {(event["server"], event["boot"]): event["at"] for event in self.by_kind["dead"]}
        self.hung_boots = {(event["server"], event["boot"]) for event in self.by_kind["froze"]}

    def session_end(self, session: str) -> int:
        """When the session ended at its server, by itself or on request; a time after all events if it did not."""
        end = self.session_ends.get(session)
        return end["at"] if end is not None else 2**63

    @staticmethod
    def tune_in_key(event: dict) -> tuple:
        return event["server"], event["boot"], event["front"], event["request"], event["number"]

    def setup_end(self, setup: dict) -> dict | None:
        return self.setup_ends.get(self.tune_in_key(setup))

    def life_at(self, front: str, at: int) -> Life | None:
        """The life of the front that was running at this time, or else the last one before."""
        found = None
        for life in self.lives[front]:
            if life.started_at <= at:
                found = life
        return found

    def readable_at(self, front: str, at: int) -> int:
        """The earliest time at which a front could read what was sent to it at `at`."""
        return max((until for since, until in self.stopped[front] if since <= at < until), default=at)

    def excuses_late_answer(self, front: str, since: int, until: int) -> bool:
        """Whether the front was stopped at some time while it had to answer."""
        return any(stopped <= until + RECORD_SKEW and since <= resumed_at for stopped, resumed_at in self.stopped[front])

    def excuses_missing_answer(self, front: str, since: int, until: int) -> bool:
        """Whether the front was killed while it had the request, or ended before it read it, or was stopped."""
        if self.excuses_late_answer(front, since, until):
            return True
        for life in self.lives[front]:
            if life.how == "killed" and since - MAX_ACCEPT_DELAY <= life.ended <= until + RECORD_SKEW:
                return True
            if life.how == "ended" and since - SECOND <= life.ended <= since + MAX_ACCEPT_DELAY:
                return True
        return False


def same_request(request: str) -> str:
    """The id without the suffixes of repetitions: `h` of a request that hung up, `b` of one repeated after its connection broke.
    All of them carry the same key."""
    return request.rstrip("hb")


def judge(events: list[dict], figures: Figures) -> dict:
    """The verdict on all rules, as plain data for JSON."""
    traffic = RunTraffic(events, figures)
    rules = {"1": Rule(), "2": Rule(), "3": Rule(), "4": Rule(), "5": Rule(), "6": Rule()}
    counts = check_single_answer(traffic, rules["1"])
    check_single_setup(traffic, rules["2"])
    check_drains(traffic, rules["3"])
    check_cold_starts(traffic, rules["4"])
    check_package_terms(traffic, rules["5"])
    check_further_tune_ins(traffic, rules["6"])
    return {
        **counts,
        "service": service(traffic),
        **count_unclaimed_sessions(traffic),
        **count_recovered_sessions(traffic),
        "tune_ins_per_request_max": max((len(setups) for setups in traffic.setups.values()), default=0),
        "rules": {number: rule.report() for number, rule in rules.items()},
        "troubles": sorted({event["kind"] for event in traffic.by_kind["trouble"]}),
    }


# ---- rule 1


def check_single_answer(traffic: RunTraffic, rule: Rule) -> dict:
    """Every request gets exactly one answer, within its patience. Returns the counts."""
    answers: dict[str, list[dict]] = defaultdict(list)
    for event in traffic.by_kind["answer"]:
        answers[event["request"]].append(event)
    left = {event["request"] for event in traffic.by_kind["hung-up"]}
    duplicates = unanswered = late = answered = 0
    for ask in traffic.by_kind["ask"]:
        request, until = ask["request"], ask["at"] + ask["patience"]
        got = answers[request]
        answered += len(got)
        rule.applied += 1
        if len(got) > 1:
            duplicates += 1
            rule.add_violation(f"{request} got {len(got)} answers")
        elif got and got[0]["at"] > until + RECORD_SKEW and not traffic.excuses_late_answer(ask["front"], ask["at"], until):
            late += 1
            rule.add_violation(f"{request} was answered {(got[0]['at'] - until) / MS:.0f} ms after its patience ended")
        elif not got and request not in left and not traffic.excuses_missing_answer(ask["front"], ask["at"], until):
            unanswered += 1
            rule.add_violation(f"{request} at {ask['front']} got no answer")
    return {
        "requests": len(traffic.by_kind["ask"]),
        "answers": answered,
        "duplicates": duplicates,
        "unanswered": unanswered,
        "late": late,
    }


# ---- rule 2


def check_single_setup(traffic: RunTraffic, rule: Rule) -> None:
    """Never two tune-ins of a request at the same time; and a paid request is neither sent again nor refused after a tune-in that
    may have run."""
    refused = {same_request(event["request"]): event["at"] for event in traffic.by_kind["answer"] if event["status"] == 503}
    for request, setups in traffic.setups.items():
        paid = setups[0]["package"] in traffic.figures.paid
        if paid or len(setups) > 1:
            rule.applied += 1
        for first, second in itertools.pairwise(setups):
            end = traffic.setup_end(first)
            if end is None or end["at"] > second["at"] + RECORD_SKEW:
                rule.add_violation(f"{request}: tune-in {second['number']} while {first['number']} was in progress")
        may_have_run = [setup for setup in setups if (traffic.setup_end(setup) or {}).get("how") != "turned-away"]
        if not paid or not may_have_run:
            continue
        first = may_have_run[0]
        if any(setup["at"] > first["at"] for setup in setups):
            rule.add_violation(f"{request}: paid and sent again though tune-in {first['number']} may have run")
        if refused.get(request, 0) > first["at"]:
            rule.add_violation(f"{request}: paid and refused though tune-in {first['number']} may have run")


# ---- rule 3


def check_drains(traffic: RunTraffic, rule: Rule) -> None:
    """No set-up reaches a server later than the grace period after its front could read that the server is not `on`."""
    states_by_server: dict[tuple[str, str], list[tuple[int, bool]]] = defaultdict(list)
    names: dict[str, set[str]] = defaultdict(set)
    for event in traffic.events:
        if event["ev"] == "told":
            at = traffic.readable_at(event["front"], event["at"])
            states_by_server[event["front"], event["server"]].append((at, event["state"] == "on"))
            names[event["front"]].add(event["server"])
        elif event["ev"] == "told-all":
            for server in names[event["front"]] - set(event["servers"]):
                states_by_server[event["front"], server].append((traffic.readable_at(event["front"], event["at"]), False))
    rule.applied = sum(not state for states in states_by_server.values() for _, state in states)
    for setup in traffic.by_kind["setup"]:
        closed_since = None
        for at, state in states_by_server.get((setup["front"], setup["server"]), ()):
            if at > setup["at"]:
                break
            closed_since = None if state else closed_since if closed_since is not None else at
        if closed_since is not None and setup["at"] > closed_since + traffic.figures.grace + RECORD_SKEW:
            late = (setup["at"] - closed_since) / MS
            rule.add_violation(f"{setup['request']} went to {setup['server']} {late:.0f} ms after its front was notified")


# ---- rule 4


def check_cold_starts(traffic: RunTraffic, rule: Rule) -> None:
    """For each cold start: no window with more set-ups than the server withstands, most of them by fronts that had to know."""
    figures = traffic.figures
    arrivals: dict[tuple[str, str], list[dict]] = defaultdict(list)
    for setup in traffic.by_kind["setup"]:
        arrivals[setup["server"], setup["boot"]].append(setup)
    had_to_know = knowledge_of_starts(traffic)
    for boot in traffic.by_kind["boot"]:
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
            allowed = figures.fall_multiple * boot["streams"] / figures.warm_within * warm * figures.fall_within
            knowing = sum(had_to_know(other, boot) for other in window)
            if len(window) > max(1.0, allowed) and knowing * 2 > len(window):
                rule.add_violation(
                    f"{boot['server']} got {len(window)} set-ups in a window that allows {allowed:.1f}, "
                    f"{knowing} from fronts that knew"
                )
                break


def knowledge_of_starts(traffic: RunTraffic):
    """Returns a function that tells whether the front of a set-up had to know that this boot may be cold: it was notified of it,
    saw the previous boot end, or started after it."""
    notified_at: dict[tuple[str, str], list[int]] = defaultdict(list)
    for event in traffic.by_kind["told"]:
        if event["state"] == "on":
            notified_at[event["front"], event["server"]].append(event["at"])
    disconnects_seen: dict[tuple[str, str], list[int]] = defaultdict(list)
    for event in traffic.by_kind["notes-end"]:
        disconnects_seen[event["front"], event["server"]].append(event["at"])
    opened: dict[tuple[str, str], int] = {}
    for event in traffic.by_kind["notes-open"]:
        opened.setdefault((event["front"], event["boot"]), event["at"])
    boots_by_server = defaultdict(list)
    for event in traffic.by_kind["boot"]:
        boots_by_server[event["server"]].append(event["at"])

    def had_to_know(setup: dict, boot: dict) -> bool:
        key, at = (setup["front"], setup["server"]), setup["at"]
        life = traffic.life_by_name.get(setup["front"])
        if life is None or life.started_at > boot["born"]:
            return True
        # the first note of the stream names the boot; the front may read it a little after it was recorded
        notified_by_server = opened.get((setup["front"], boot["boot"]), 2**63) + RECORD_SKEW <= at
        before = boots_by_server[setup["server"]]
        earlier = before[bisect_left(before, boot["at"]) - 1] if bisect_left(before, boot["at"]) else 0
        witness = any(earlier < end <= at - RECORD_SKEW for end in disconnects_seen[key])
        listed = any(boot["at"] < listed_at <= at - RECORD_SKEW for listed_at in notified_at[key])
        return notified_by_server or witness or listed

    return had_to_know


# ---- rule 5


def check_package_terms(traffic: RunTraffic, rule: Rule) -> None:
    """No rung (quality layer) below the floor of its package, and no more concurrent seats of a title than allowed."""
    figures = traffic.figures
    for event in [*traffic.by_kind["setup"], *traffic.by_kind["layer"]]:
        floor = figures.floor.get(event["package"], 0)
        if floor:
            rule.applied += 1
            if event["rung"] < floor:
                rule.add_violation(f"{event['package']} on rung {event['rung']} under its floor {floor}")
    _check_seats(traffic, rule)


def _check_seats(traffic: RunTraffic, rule: Rule) -> None:
    """Counts the set-ups and viewings of one title and package at a front, from the first byte until the front knows the end."""
    sessions = {RunTraffic.tune_in_key(event): event for event in traffic.by_kind["session"]}
    # a viewing that its viewer has ended holds no seat, even if a hung server has not processed the end
    closed = {request: event["at"] for event in traffic.by_kind["closed"] for request in event["requests"]}
    # a server removed from the list plays nothing as far as the front knows, even if it only stopped answering
    dropped: dict[tuple[str, str], list[int]] = defaultdict(list)
    for event in traffic.by_kind["told"]:
        if event["state"] == "off":
            dropped[event["front"], event["server"]].append(event["at"])
    adopted: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for event in traffic.by_kind["adopted"]:
        adopted[event["session"]].append((event["at"], event["front"]))
    held: dict[tuple, list[tuple[int, int]]] = defaultdict(list)
    for setup in traffic.by_kind["setup"]:
        seats = traffic.figures.seats.get(setup["package"], 0)
        if not seats:
            continue
        rule.applied += 1
        session, end_event = sessions.get(RunTraffic.tune_in_key(setup)), traffic.setup_end(setup)
        key = (setup["package"], setup["title"])
        gone = min(traffic.session_end(session["session"]), closed.get(setup["request"], 2**63)) if session else 2**63

        def known_until(front: str, since: int, server: str = setup["server"], boot: str = setup["boot"]) -> int:
            """Until when a life of a front may count a session there: the end of either process, or the notice of the list."""
            life, dropped_at = traffic.life_by_name.get(front), dropped[front, server]
            after = bisect_left(dropped_at, since)
            return min(
                traffic.server_deaths.get((server, boot), 2**63),
                life.ended if life else 2**63,
                dropped_at[after] if after < len(dropped_at) else 2**63,
            )

        end = end_event["at"] if end_event else setup["at"]
        if session is not None and end_event and end_event["how"] == "answered":
            end = gone
        end = min(end, known_until(setup["front"], setup["at"]))
        # a life that adopts the session holds it from then on, if it is not the one that set it up
        for at, front in adopted[session["session"]] if session is not None else ():
            until = min(gone, known_until(front, at))
            if until > at:
                held[front, *key] += [(at, 1), (max(at, until - RECORD_SKEW), -1)]
        # the server records the end of a session before its front can know of it, never after
        held[setup["front"], *key] += [(setup["at"], 1), (max(setup["at"], end - RECORD_SKEW), -1)]
    for (front, package, title), changes in held.items():
        count = worst = 0
        for _, change in sorted(changes):
            count += change
            worst = max(worst, count)
        if worst > traffic.figures.seats[package]:
            rule.add_violation(f"{front} held {worst} seats of {title} {package}, allowed {traffic.figures.seats[package]}")


# ---- rule 6


def check_further_tune_ins(traffic: RunTraffic, rule: Rule) -> None:
    """No front makes more further tune-ins (retries) within a span than the free ones plus the share of its requests."""
    figures = traffic.figures
    if figures.free_further is None:
        return
    further, requests = defaultdict(list), defaultdict(list)
    for setups in traffic.setups.values():
        for setup in setups:
            # earlier tune-ins that reached no server also count but were not recorded, so that the count may be too low
            if setup["number"] > 1:
                further[setup["front"]].append(setup["at"])
    for ask in traffic.by_kind["ask"]:
        life = traffic.life_at(ask["front"], ask["at"])
        if life is not None:
            requests[life.name].append(ask["at"])
    for front, times in further.items():
        # they were collected request by request
        times.sort()
        for index, at in enumerate(times):
            rule.applied += 1
            made = index + 1 - bisect_right(times, at - figures.look_back)
            request_times = requests[front]
            came = bisect_right(request_times, at) - bisect_left(request_times, at - figures.look_back - RECORD_SKEW)
            if made > figures.free_further + figures.further_share * came + 1e-9:
                rule.add_violation(f"{front}: {made} further tune-ins in a span with {came} requests")


# ---- sessions without an answered request


def count_unclaimed_sessions(traffic: RunTraffic) -> dict:
    """Counts sessions set up for requests that were not answered with them: `torn_down` by their front, or `left_standing` until
    the server ended them itself. Not counted are sessions at servers that hung or died, which the front could not reach, and
    those of a front that was forced to end before it had time for them."""
    plays = {same_request(event["request"]) for event in traffic.by_kind["answer"] if event["status"] == 201}
    torn_down = left = 0
    for session in traffic.by_kind["session"]:
        # a request that hung up and was repeated is answered with the session of the first one
        if same_request(session["request"]) in plays:
            continue
        end = traffic.session_ends.get(session["session"])
        if end is not None and end.get("why") == "deleted":
            torn_down += 1
        elif end is not None and end.get("why") == "nobody watches":
            life = traffic.life_by_name.get(session["front"])
            excused = (session["server"], session["boot"]) in traffic.hung_boots or life is None or life.ended < end["at"]
            left += not excused
    return {"torn_down": torn_down, "left_standing": left}


def count_recovered_sessions(traffic: RunTraffic) -> dict:
    """Sessions of killed fronts: `recovered` counts those that a later life adopted, `orphans_left` those that were neither
    adopted nor ended within `RECOVERY_DEADLINE` of its start; `over_kills` counts, of those that played when
    their front was killed, how many went on until their viewer ended them, or for `CONTINUED_AFTER`."""
    adopted = {event["session"] for event in traffic.by_kind["adopted"]}
    closed = {same_request(request) for event in traffic.by_kind["closed"] for request in event["requests"]}
    # sessions that play at the end of the run are ended with it
    last = max((event["begins"] + event["lasts"] for event in traffic.by_kind["day"]), default=2**63)
    left = playing = went_on = 0
    value = kept_value = 0.0
    for session in traffic.by_kind["session"]:
        life = traffic.life_by_name.get(session["front"])
        if life is None or life.how != "killed":
            continue
        server = session["server"], session["boot"]
        ended = min(traffic.session_end(session["session"]), traffic.server_deaths.get(server, 2**63))
        if session["at"] < life.ended < ended:
            worth = traffic.figures.value[session["package"]]
            # the viewer had left while no front was running to receive the request to end the session
            left_alone = traffic.session_ends.get(session["session"], {}).get("why") == "nobody watches"
            on = (
                same_request(session["request"]) in closed or left_alone or ended - life.ended >= CONTINUED_AFTER or ended >= last
            )
            playing, value = playing + 1, value + worth
            went_on, kept_value = went_on + on, kept_value + worth * on
        after = [other.started_at for other in traffic.lives[life.front] if other.started_at >= life.ended]
        if after and session["session"] not in adopted and server not in traffic.hung_boots:
            left += ended > min(after) + RECOVERY_DEADLINE
    return {
        "recovered": len(adopted),
        "orphans_left": left,
        "over_kills": {"playing": playing, "went_on": went_on, "value": value, "value_kept": kept_value},
    }


# ---- service


def service(traffic: RunTraffic) -> float:
    """Value of the viewings that started within the join target, divided by the value of all; retries belong to one viewing."""
    package_of = {event["viewing"]: event["package"] for event in traffic.by_kind["viewing"]}
    requests = {event["request"]: event for event in traffic.by_kind["ask"]}
    served = set()
    for event in traffic.by_kind["answer"]:
        ask = requests.get(event["request"])
        if ask and event["status"] == 201 and event["at"] <= ask["at"] + traffic.figures.join_target[ask["package"]]:
            served.add(ask["viewing"])
    total = sum(traffic.figures.value[package] for package in package_of.values())
    return round(sum(traffic.figures.value[package_of[viewing]] for viewing in served) / total, 4) if total else 0.0
