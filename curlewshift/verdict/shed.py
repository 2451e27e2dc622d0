"""Judges from viewers' traffic how a day of too many asks was borne: who was refused while others were let in, how often each
asked, and how soon the storm after a loss was over. Called by the rehearsal and by measurements; knows nothing of levels.
"""

from __future__ import annotations

import itertools
from bisect import bisect_left
from collections import defaultdict

from curlewshift.verdict.verdict import Figures

SECOND = 1_000_000_000
# Refused and let in within one of these is at the same moment (ns).
MOMENT = SECOND
# Of refusals, the part that may be out of order: the rounds in which a level moves, and what was let in and found no room, are in
# there. By chance alone it is several times as much.
MOST_OUT_OF_ORDER = 0.1
# A storm is over once asks are back at this many times what they were before, for so many seconds together.
BACK_AT, TOGETHER = 1.3, 2
# Packages that were asked for so often count.
ENOUGH = 30


def judge_shed(
    events: list[dict], figures: Figures, worth: dict[str, float], floor: float, returns: list[tuple[int, int]] = ()
) -> dict:
    """`worth` is each package's value for the room it takes at the least, `floor` the part of each that is let in whatever is
    short. `returns` are when a loss of servers began and when they were back (ns)."""
    asks = {event["request"]: event for event in events if event["ev"] == "ask"}
    viewings = {event["viewing"] for event in events if event["ev"] == "viewing"}
    refused, let_in = [], defaultdict(list)
    served: set[str] = set()
    for event in sorted((event for event in events if event["ev"] == "answer"), key=lambda event: event["at"]):
        ask = asks.get(event["request"])
        if ask is None:
            continue
        if event["status"] == 503:
            refused.append((event["at"], ask["package"], ask["title"], ask["viewing"]))
        elif event["status"] == 201:
            let_in[ask["package"]].append((event["at"], ask["title"]))
            if event["at"] <= ask["at"] + figures.join_target[ask["package"]]:
                served.add(ask["viewing"])
    package_of = {event["viewing"]: event["package"] for event in events if event["ev"] == "viewing"}
    asked, got = defaultdict(int), defaultdict(int)
    for viewing, package in package_of.items():
        asked[package] += 1
        got[package] += viewing in served
    out = _out_of_order(asks, let_in, refused, worth, floor)
    share = out / len(refused) if refused else 0.0
    starved = _starved(asks, let_in)
    told = {
        "refused": len(refused),
        "out_of_order": round(share, 4),
        "asks_a_viewing": round(len(asks) / max(1, len(viewings)), 3),
        "served": {package: round(got[package] / count, 3) for package, count in asked.items()},
        "value_served": round(sum(figures.value[package] * count for package, count in got.items()), 1),
        "value_asked": round(sum(figures.value[package] * count for package, count in asked.items()), 1),
        "storm_over_s": [storm_over(events, began, back) for began, back in returns],
        "came_together": round(_came_together(events, refused), 2),
        "starved": starved,
        "went_round": round(_went_round(events, asks), 4),
        "unordered": _unordered(asked, got, worth),
    }
    told["broken"] = (
        bool(starved)
        or told["unordered"]
        or share > MOST_OUT_OF_ORDER
        or told["came_together"] > MOST_TOGETHER
        or told["went_round"] > MOST_WENT_ROUND
    )
    return told


def _out_of_order(asks: dict, let_in, refused: list, worth: dict[str, float], floor: float) -> float:
    """Refusals in each moment that could have been let in, had those of less worth been refused that were let in beyond their
    floor. Of a package's few the floor lets in one more or less by chance."""
    came, got, lost = (
        defaultdict(lambda: defaultdict(int)),
        defaultdict(lambda: defaultdict(int)),
        defaultdict(lambda: defaultdict(int)),
    )
    for ask in asks.values():
        came[ask["at"] // MOMENT][ask["package"]] += 1
    for package, rows in let_in.items():
        for at, _ in rows:
            got[at // MOMENT][package] += 1
    for at, package, _, _ in refused:
        lost[at // MOMENT][package] += 1
    out = 0.0
    for moment, packages in lost.items():
        for package, count in packages.items():
            instead = sum(
                max(0.0, got[moment][other] - 1 - floor * came[moment][other]) for other in worth if worth[other] < worth[package]
            )
            out += min(count, instead)
    return out


def storm_over(events: list[dict], began: int, back: int) -> float:
    """Seconds from the servers' return until asks a second are back at what they were before the loss; the rest of the day, if
    they are not."""
    over = max(event["at"] for event in events)
    times = sorted(event["at"] for event in events if event["ev"] == "ask")
    usual = (bisect_left(times, began) - bisect_left(times, began - 5 * SECOND)) / 5
    for second in range(0, max(1, (over - back) // SECOND - TOGETHER)):
        since = back + second * SECOND
        rate = (bisect_left(times, since + TOGETHER * SECOND) - bisect_left(times, since)) / TOGETHER
        if rate <= BACK_AT * max(usual, 1.0):
            return float(second)
    return float((over - back) // SECOND)


# Where so much of what is asked for is not served, what is worth most is served at the least so many times as often as what is
# worth least.
SHORT, MORE_OFTEN = 0.3, 1.4


def _unordered(asked: dict, got: dict, worth: dict[str, float]) -> bool:
    """Whether much is refused, and the first package by worth fares hardly better than the last."""
    many = sorted((package for package, count in asked.items() if count >= ENOUGH), key=worth.get)
    if len(many) < 2 or sum(got.values()) > (1 - SHORT) * sum(asked.values()):
        return False
    last, first = many[0], many[-1]
    return worth[first] > worth[last] and got[first] / asked[first] < MORE_OFTEN * got[last] / asked[last]


# Of those refused at one front who asked at another soon after (ns), the part that was let in there: more than room that came
# free in between explains means that fronts do not shed alike.
SOON, MOST_WENT_ROUND = 10 * SECOND, 0.5


def _went_round(events: list[dict], asks: dict[str, dict]) -> float:
    visits = defaultdict(list)
    for event in events:
        if event["ev"] == "answer" and event["request"] in asks:
            ask = asks[event["request"]]
            visits[ask["viewing"]].append((ask["at"], event["at"], ask["front"], event["status"]))
    refused = round_ = 0
    for rows in visits.values():
        rows.sort()
        for (_, at, front, status), (asked, _, other, then) in itertools.pairwise(rows):
            if status == 503 and front != other and asked - at <= SOON:
                refused += 1
                round_ += then == 201
    return round_ / refused if refused >= ENOUGH else 0.0


# Asks of those who were refused before, by half seconds: how many times the mean the fullest twentieth of these is.
HALF, MOST_TOGETHER, LEAST_RETURNS = SECOND // 2, 4.0, 200


def _came_together(events: list[dict], refused: list[tuple]) -> float:
    """How far those who come again come together: 1 where they are spread evenly, and more where they come in crowds."""
    first: dict[str, int] = {}
    for at, _, _, viewing in refused:
        first.setdefault(viewing, at)
    slots: dict[int, int] = defaultdict(int)
    for event in events:
        if event["ev"] == "ask" and event["at"] > first.get(event["viewing"], 2**63):
            slots[event["at"] // HALF] += 1
    if sum(slots.values()) < LEAST_RETURNS:
        return 0.0
    whole = [slots.get(slot, 0) for slot in range(min(slots), max(slots) + 1)]
    return sorted(whole)[int(len(whole) * 0.95)] * len(whole) / sum(whole)


# Of so many asks of one package within this (ns), some are let in, whatever the level.
WINDOW, MANY = 10 * SECOND, 100


def _starved(asks: dict[str, dict], let_in) -> list[str]:
    """Packages of which nobody was let in for a while, though many asked."""
    found = set()
    for package in {ask["package"] for ask in asks.values()}:
        came = sorted(ask["at"] for ask in asks.values() if ask["package"] == package)
        got = [at for at, _ in let_in[package]]
        for index in range(0, len(came) - MANY, MANY // 4):
            since = came[index]
            if bisect_left(came, since + WINDOW) - index >= MANY and bisect_left(got, since) == bisect_left(got, since + WINDOW):
                found.add(package)
    return sorted(found)
