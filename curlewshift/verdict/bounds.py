"""Judges from the servers' own traffic whether budgets that fronts share are kept in sum. Called by the rehearsal.

For each cold start of a server: in no window did more set-ups come, of fronts that had to know of that start, than the
server bears at the pace it starts with. Knows nothing of who holds which right, or that there are rights.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict

from curlewshift.verdict.verdict import APART, KEPT_EXAMPLES, Day, Figures, knowledge

# Two set-ups a window apart at their fronts arrive closer by this, and by what their clocks may be off.
CLOSER = 4 * APART
DRIFT = 0.02
SECOND = 1_000_000_000
# Beside a front that reaches no server: evidence takes so long to be believed, so many answers are enough to tell by, and so
# much more may be refused to others than before. One in eight fronts takes nothing away that the others could not serve.
FOUND_OUT, ENOUGH, MOST_MORE = 2 * SECOND, 10, 0.25


def judge_bounds(events: list[dict], figures: Figures, together: frozenset[str] = frozenset()) -> dict:
    """`checked` windows, `overdrawn` ones, and `used_share`: what came of what could have come to those that were used.
    `together` names the other budgets that all fronts have together: `further-tune-ins`, `seats`."""
    day = Day(events, figures)
    told = {"checked": 0, "overdrawn": 0, "used_share": 0.0, "cold_starts": 0, "examples": []}
    if "further-tune-ins" in together:
        told["further"] = _further(day, figures)
    if "seats" in together:
        told["seats"] = _seats(day, figures)
    if day.by_kind["bad-path"]:
        told["beside_bad_path"] = _beside(day)
    if not figures.warm_within or not figures.fall_within:
        return told
    knew, arrivals = knowledge(day), defaultdict(list)
    for setup in day.by_kind["setup"]:
        arrivals[setup["server"], setup["boot"]].append(setup)
    window = int(figures.fall_within * (1 - DRIFT)) - CLOSER
    came = could = 0
    for boot in day.by_kind["boot"]:
        if boot["at"] - boot["born"] >= figures.warm_within:
            continue
        bears = int(figures.start_capacity / figures.warm_within * figures.fall_multiple * figures.fall_within * boot["streams"])
        setups = [
            one
            for one in arrivals[boot["server"], boot["boot"]]
            if one["at"] < boot["born"] + figures.warm_within and knew(one, boot)
        ]
        told["cold_starts"] += 1
        worst: list[dict] = []
        for index, setup in enumerate(setups):
            inside = [one for one in setups[: index + 1] if one["at"] > setup["at"] - window]
            told["checked"] += 1
            worst = max(worst, inside, key=len)
        came += len(worst)
        could += bears if worst else 0
        if len(worst) > bears:
            told["overdrawn"] += 1
            if len(told["examples"]) < KEPT_EXAMPLES:
                told["examples"].append(
                    f"{boot['server']} got {len(worst)} set-ups in a window that bears {bears}, of "
                    + " ".join(one["front"] for one in worst)
                )
    told["used_share"] = round(came / could, 3) if could else 0.0
    return told


def _further(day: Day, figures: Figures) -> dict:
    """Further tune-ins of all fronts within any span, against the free ones of all and the share of what was asked for. What
    was asked for up to a span before the first of them counts: it bore that one when it went out."""
    times = sorted(setup["at"] for setups in day.setups.values() for setup in setups if setup["number"] > 1)
    asks = [ask["at"] for ask in day.by_kind["ask"]]
    span = int(figures.look_back * (1 - DRIFT)) - CLOSER
    told = {"checked": len(times), "overdrawn": 0, "most": 0, "free": figures.free_further, "examples": []}
    for index, at in enumerate(times):
        made = index + 1 - bisect_right(times, at - span)
        came = bisect_right(asks, at) - bisect_left(asks, at - int(2 * figures.look_back * (1 + DRIFT)) - CLOSER)
        told["most"] = max(told["most"], round(made - figures.further_share * came, 1))
        if made > figures.free_further + figures.further_share * came + 1e-9:
            told["overdrawn"] += 1
            if len(told["examples"]) < KEPT_EXAMPLES:
                told["examples"].append(f"{made} further tune-ins of all fronts within the span in which {came} requests came")
    return told


def _seats(day: Day, figures: Figures) -> dict:
    """Viewings of one title and package that stand at servers for any front at once, those of dead ones among them. Not
    counted is what its viewer has ended, and what a server that hung could not be told to end."""
    sessions = {Day._tune_in(event): event["session"] for event in day.by_kind["session"]}
    closed = {request: event["at"] for event in day.by_kind["closed"] for request in event["requests"]}
    changes = defaultdict(list)
    told = {"checked": 0, "overdrawn": 0, "most": {}, "examples": []}
    for setup in day.by_kind["setup"]:
        if not figures.seats.get(setup["package"]) or (setup["server"], setup["boot"]) in day.hung:
            continue
        over, session = day.end_of(setup), sessions.get(Day._tune_in(setup))
        end = over["at"] if over else setup["at"]
        if session is not None and over and over["how"] == "answered":
            end = min(
                day.session_end(session),
                closed.get(setup["request"], 2**63),
                day.died.get((setup["server"], setup["boot"]), 2**63),
            )
        told["checked"] += 1
        changes[setup["package"], setup["title"]] += [(setup["at"], 1), (max(setup["at"], end - APART), -1)]
    for (package, title), rows in changes.items():
        count = worst = 0
        for _, change in sorted(rows):
            count += change
            worst = max(worst, count)
        told["most"][package] = max(worst, told["most"].get(package, 0))
        if worst > figures.seats[package]:
            told["overdrawn"] += 1
            told["examples"].append(f"{worst} seats of {title} {package} at once over all fronts, of {figures.seats[package]}")
    told["examples"] = told["examples"][:KEPT_EXAMPLES]
    return told


def _beside(day: Day) -> dict:
    """What a front that reaches no server does to the others: of each package the part that is refused or fails at fronts
    whose own path is well, while it lasts and in the time before it, and the worst difference."""
    answers = [(event["at"], event["front"], event["request"], event["status"]) for event in day.by_kind["answer"]]
    package_of = {event["request"]: event["package"] for event in day.by_kind["ask"]}
    told = {"worst_more": 0.0, "packages": {}}
    for event in day.by_kind["bad-path"]:
        since, until = event["at"] + FOUND_OUT, event["at"] + int(event["lasts"] * SECOND)
        for package in set(package_of.values()):
            parts = []
            for start, end in ((event["at"] - (until - since), event["at"]), (since, until)):
                mine = [
                    status
                    for at, front, request, status in answers
                    if start <= at < end and front not in event["fronts"] and package_of.get(request) == package
                ]
                parts.append((sum(status != 201 for status in mine) / len(mine) if mine else 0.0, len(mine)))
            (before, some), (while_it, others) = parts
            told["packages"][package] = {"before": round(before, 3), "while": round(while_it, 3), "asks": others}
            if min(some, others) >= ENOUGH:
                told["worst_more"] = max(told["worst_more"], round(while_it - before, 3))
    told["broken"] = told["worst_more"] > MOST_MORE
    return told
