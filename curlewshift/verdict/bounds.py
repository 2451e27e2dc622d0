"""Checks, from the servers' traffic, that the fronts together keep the budgets that they share. Called by the rehearsal.

For each cold start of a server, no window may contain more set-ups from fronts that had to know of the start than the server
withstands at its initial capacity. Independent of the rights by which the fronts divide these budgets.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict

from curlewshift.verdict.verdict import MAX_EXAMPLES, RECORD_SKEW, Figures, RunTraffic, knowledge_of_starts

# Set-ups that fronts send one window apart may arrive closer by this (ns), and by the relative error of the clocks.
ARRIVAL_SKEW = 4 * RECORD_SKEW
CLOCK_DRIFT = 0.02
SECOND = 1_000_000_000
# While a front reaches no server: time until the others have recognised the fault (ns), minimum number of answers to compare, and
# the maximum increase of the refused share at other fronts. One in eight fronts is affected, whose load the others can serve.
DETECTION_TIME, MIN_ANSWERS, MAX_EXTRA_REFUSED = 2 * SECOND, 10, 0.25


def judge_bounds(events: list[dict], figures: Figures, together: frozenset[str] = frozenset()) -> dict:
    """Counts `checked` and `overdrawn` windows; `used_share` is the used part of the budgets that were used at all. `together`
    names the other budgets that all fronts share: `further-tune-ins` (retries past the first attempt), `seats`."""
    traffic = RunTraffic(events, figures)
    result = {"checked": 0, "overdrawn": 0, "used_share": 0.0, "cold_starts": 0, "examples": []}
    if "further-tune-ins" in together:
        result["further"] = _further_tune_ins(traffic, figures)
    if "seats" in together:
        result["seats"] = _seats(traffic, figures)
    if traffic.by_kind["bad-path"]:
        result["beside_bad_path"] = _beside_bad_path(traffic)
    if not figures.warm_within or not figures.fall_within:
        return result
    had_to_know, arrivals = knowledge_of_starts(traffic), defaultdict(list)
    for setup in traffic.by_kind["setup"]:
        arrivals[setup["server"], setup["boot"]].append(setup)
    window = int(figures.fall_within * (1 - CLOCK_DRIFT)) - ARRIVAL_SKEW
    used = available = 0
    for boot in traffic.by_kind["boot"]:
        if boot["at"] - boot["born"] >= figures.warm_within:
            continue
        allowed = int(
            figures.start_capacity / figures.warm_within * figures.fall_multiple * figures.fall_within * boot["streams"]
        )
        setups = [
            setup
            for setup in arrivals[boot["server"], boot["boot"]]
            if setup["at"] < boot["born"] + figures.warm_within and had_to_know(setup, boot)
        ]
        result["cold_starts"] += 1
        worst: list[dict] = []
        for index, setup in enumerate(setups):
            inside = [other for other in setups[: index + 1] if other["at"] > setup["at"] - window]
            result["checked"] += 1
            worst = max(worst, inside, key=len)
        used += len(worst)
        available += allowed if worst else 0
        if len(worst) > allowed:
            result["overdrawn"] += 1
            if len(result["examples"]) < MAX_EXAMPLES:
                result["examples"].append(
                    f"{boot['server']} got {len(worst)} set-ups in a window that allows {allowed}, from "
                    + " ".join(setup["front"] for setup in worst)
                )
    result["used_share"] = round(used / available, 3) if available else 0.0
    return result


def _further_tune_ins(traffic: RunTraffic, figures: Figures) -> dict:
    """Compares the further tune-ins of all fronts in any span with the free ones plus the share of the requests. Requests of up
    to one span before the first of these tune-ins count, as they were in its budget when it was sent."""
    times = sorted(setup["at"] for setups in traffic.setups.values() for setup in setups if setup["number"] > 1)
    requests = [ask["at"] for ask in traffic.by_kind["ask"]]
    span = int(figures.look_back * (1 - CLOCK_DRIFT)) - ARRIVAL_SKEW
    result = {"checked": len(times), "overdrawn": 0, "most": 0, "free": figures.free_further, "examples": []}
    for index, at in enumerate(times):
        made = index + 1 - bisect_right(times, at - span)
        came = bisect_right(requests, at) - bisect_left(
            requests, at - int(2 * figures.look_back * (1 + CLOCK_DRIFT)) - ARRIVAL_SKEW
        )
        result["most"] = max(result["most"], round(made - figures.further_share * came, 1))
        if made > figures.free_further + figures.further_share * came + 1e-9:
            result["overdrawn"] += 1
            if len(result["examples"]) < MAX_EXAMPLES:
                result["examples"].append(f"{made} further tune-ins of all fronts in a span with {came} requests")
    return result


def _seats(traffic: RunTraffic, figures: Figures) -> dict:
    """Counts concurrent viewings of one title and package at all servers, including those set up by fronts that are gone. Not
    counted are viewings that the viewer has ended, and those at servers that hung and so could not be told to end them."""
    sessions = {RunTraffic.tune_in_key(event): event["session"] for event in traffic.by_kind["session"]}
    closed = {request: event["at"] for event in traffic.by_kind["closed"] for request in event["requests"]}
    changes = defaultdict(list)
    result = {"checked": 0, "overdrawn": 0, "most": {}, "examples": []}
    for setup in traffic.by_kind["setup"]:
        if not figures.seats.get(setup["package"]) or (setup["server"], setup["boot"]) in traffic.hung_boots:
            continue
        setup_over, session = traffic.setup_end(setup), sessions.get(RunTraffic.tune_in_key(setup))
        end = setup_over["at"] if setup_over else setup["at"]
        if session is not None and setup_over and setup_over["how"] == "answered":
            end = min(
                traffic.session_end(session),
                closed.get(setup["request"], 2**63),
                traffic.server_deaths.get((setup["server"], setup["boot"]), 2**63),
            )
        result["checked"] += 1
        changes[setup["package"], setup["title"]] += [(setup["at"], 1), (max(setup["at"], end - RECORD_SKEW), -1)]
    for (package, title), rows in changes.items():
        count = worst = 0
        for _, change in sorted(rows):
            count += change
            worst = max(worst, count)
        result["most"][package] = max(worst, result["most"].get(package, 0))
        if worst > figures.seats[package]:
            result["overdrawn"] += 1
            result["examples"].append(
                f"{worst} seats of {title} {package} in use at all fronts, allowed {figures.seats[package]}"
            )
    result["examples"] = result["examples"][:MAX_EXAMPLES]
    return result


def _beside_bad_path(traffic: RunTraffic) -> dict:
    """Effect of a front that reaches no server on the others: by package, the share of requests that is refused or fails at
    fronts with working paths, during the fault and in the time before it, and the largest difference."""
    answers = [(event["at"], event["front"], event["request"], event["status"]) for event in traffic.by_kind["answer"]]
    package_of = {event["request"]: event["package"] for event in traffic.by_kind["ask"]}
    result = {"worst_more": 0.0, "packages": {}}
    for event in traffic.by_kind["bad-path"]:
        since, until = event["at"] + DETECTION_TIME, event["at"] + int(event["lasts"] * SECOND)
        for package in set(package_of.values()):
            parts = []
            for start, end in ((event["at"] - (until - since), event["at"]), (since, until)):
                statuses = [
                    status
                    for at, front, request, status in answers
                    if start <= at < end and front not in event["fronts"] and package_of.get(request) == package
                ]
                parts.append((sum(status != 201 for status in statuses) / len(statuses) if statuses else 0.0, len(statuses)))
            (before, count_before), (during, count_during) = parts
            result["packages"][package] = {"before": round(before, 3), "while": round(during, 3), "asks": count_during}
            if min(count_before, count_during) >= MIN_ANSWERS:
                result["worst_more"] = max(result["worst_more"], round(during - before, 3))
    result["broken"] = result["worst_more"] > MAX_EXTRA_REFUSED
    return result
