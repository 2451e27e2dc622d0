"""Evaluates load shedding from the viewers' traffic: who was refused while others were admitted, how often viewers retried, and
how soon the retry storm after a loss of servers ended. Called by the rehearsal and by measurements; independent of the shedding
level that fronts use.
"""

from __future__ import annotations

import itertools
from bisect import bisect_left
from collections import defaultdict

from curlewshift.verdict.verdict import Figures

SECOND = 1_000_000_000
# Time slot (ns): answers within one slot count as simultaneous.
SLOT = SECOND
# Maximum share of refusals that are out of order. It covers the rounds in which the level changes, and admitted requests that
# found no capacity. Random refusals give several times as much.
MAX_OUT_OF_ORDER = 0.1
# A storm is over once the request rate has been below this multiple of the rate before it, for this many successive seconds.
STORM_OVER_FACTOR, STORM_OVER_SECONDS = 1.3, 2
# Minimum number of requests for a figure to count.
MIN_REQUESTS = 30


def judge_shed(
    events: list[dict], figures: Figures, worth: dict[str, float], floor: float, returns: list[tuple[int, int]] = ()
) -> dict:
    """Returns the `shed` part of the verdict. `worth`: by package, its value per unit of capacity at its floor. `floor`: share of
    each package that is always admitted. `returns`: start of each loss of servers and return of the servers (ns)."""
    requests = {event["request"]: event for event in events if event["ev"] == "ask"}
    viewings = {event["viewing"] for event in events if event["ev"] == "viewing"}
    refused, admitted = [], defaultdict(list)
    served: set[str] = set()
    for event in sorted((event for event in events if event["ev"] == "answer"), key=lambda event: event["at"]):
        ask = requests.get(event["request"])
        if ask is None:
            continue
        if event["status"] == 503:
            refused.append((event["at"], ask["package"], ask["title"], ask["viewing"]))
        elif event["status"] == 201:
            admitted[ask["package"]].append((event["at"], ask["title"]))
            if event["at"] <= ask["at"] + figures.join_target[ask["package"]]:
                served.add(ask["viewing"])
    package_of = {event["viewing"]: event["package"] for event in events if event["ev"] == "viewing"}
    requested, got = defaultdict(int), defaultdict(int)
    for viewing, package in package_of.items():
        requested[package] += 1
        got[package] += viewing in served
    out_of_order = _out_of_order(requests, admitted, refused, worth, floor)
    share = out_of_order / len(refused) if refused else 0.0
    starved = _starved(requests, admitted)
    result = {
        "refused": len(refused),
        "out_of_order": round(share, 4),
        "asks_a_viewing": round(len(requests) / max(1, len(viewings)), 3),
        "served": {package: round(got[package] / count, 3) for package, count in requested.items()},
        "value_served": round(sum(figures.value[package] * count for package, count in got.items()), 1),
        "value_asked": round(sum(figures.value[package] * count for package, count in requested.items()), 1),
        "storm_over_s": [storm_duration_s(events, began, back) for began, back in returns],
        "came_together": round(_came_together(events, refused), 2),
        "starved": starved,
        "went_round": round(_went_round(events, requests), 4),
        "unordered": _unordered(requested, got, worth),
    }
    result["broken"] = (
        bool(starved)
        or result["unordered"]
        or share > MAX_OUT_OF_ORDER
        or result["came_together"] > MAX_CAME_TOGETHER
        or result["went_round"] > MAX_WENT_ROUND
    )
    return result


def _out_of_order(requests: dict, admitted, refused: list, worth: dict[str, float], floor: float) -> float:
    """Number of refusals in each slot that could have been avoided by refusing requests of less worth that were admitted beyond
    their floor. One admitted request of each package is allowed for, as the floor applies at random."""
    came, got, lost = (
        defaultdict(lambda: defaultdict(int)),
        defaultdict(lambda: defaultdict(int)),
        defaultdict(lambda: defaultdict(int)),
    )
    for ask in requests.values():
        came[ask["at"] // SLOT][ask["package"]] += 1
    for package, rows in admitted.items():
        for at, _ in rows:
            got[at // SLOT][package] += 1
    for at, package, _, _ in refused:
        lost[at // SLOT][package] += 1
    out_of_order = 0.0
    for slot, packages in lost.items():
        for package, count in packages.items():
            instead = sum(
                max(0.0, got[slot][other] - 1 - floor * came[slot][other]) for other in worth if worth[other] < worth[package]
            )
            out_of_order += min(count, instead)
    return out_of_order


def storm_duration_s(events: list[dict], began: int, back: int) -> float:
    """Seconds from the return of the servers until the request rate is back at what it was before the loss; the time until the
    end of the run if it does not come back."""
    run_end = max(event["at"] for event in events)
    times = sorted(event["at"] for event in events if event["ev"] == "ask")
    usual = (bisect_left(times, began) - bisect_left(times, began - 5 * SECOND)) / 5
    for second in range(0, max(1, (run_end - back) // SECOND - STORM_OVER_SECONDS)):
        since = back + second * SECOND
        rate = (bisect_left(times, since + STORM_OVER_SECONDS * SECOND) - bisect_left(times, since)) / STORM_OVER_SECONDS
        if rate <= STORM_OVER_FACTOR * max(usual, 1.0):
            return float(second)
    return float((run_end - back) // SECOND)


# If more than this share of viewings is not served, the served share of the package of highest worth has to be at least this
# multiple of that of lowest worth.
SHORTAGE, MIN_SERVICE_RATIO = 0.3, 1.4


def _unordered(requested: dict, got: dict, worth: dict[str, float]) -> bool:
    """Whether there is a shortage and the package of highest worth is served hardly better than that of lowest worth."""
    frequent = sorted((package for package, count in requested.items() if count >= MIN_REQUESTS), key=worth.get)
    if len(frequent) < 2 or sum(got.values()) > (1 - SHORTAGE) * sum(requested.values()):
        return False
    lowest, highest = frequent[0], frequent[-1]
    return (
        worth[highest] > worth[lowest] and got[highest] / requested[highest] < MIN_SERVICE_RATIO * got[lowest] / requested[lowest]
    )


# Time (ns) within which a request to another front counts as following a refusal, and the maximum share of those that are
# admitted there. More than capacity that became free in between can explain means that fronts shed differently.
FOLLOW_UP_WITHIN, MAX_WENT_ROUND = 10 * SECOND, 0.5


def _went_round(events: list[dict], requests: dict[str, dict]) -> float:
    """Share of the requests to another front soon after a refusal that were admitted."""
    visits = defaultdict(list)
    for event in events:
        if event["ev"] == "answer" and event["request"] in requests:
            ask = requests[event["request"]]
            visits[ask["viewing"]].append((ask["at"], event["at"], ask["front"], event["status"]))
    refused = admitted_elsewhere = 0
    for rows in visits.values():
        rows.sort()
        for (_, at, front, status), (requested_at, _, other, next_status) in itertools.pairwise(rows):
            if status == 503 and front != other and requested_at - at <= FOLLOW_UP_WITHIN:
                refused += 1
                admitted_elsewhere += next_status == 201
    return admitted_elsewhere / refused if refused >= MIN_REQUESTS else 0.0


# Retries after refusals are counted per half second (ns): maximum ratio of the 95th percentile to the mean, and the minimum
# number of retries for this figure to count.
HALF_SECOND, MAX_CAME_TOGETHER, MIN_RETURNS = SECOND // 2, 4.0, 200


def _came_together(events: list[dict], refused: list[tuple]) -> float:
    """How bunched retries are: 1 if they are spread evenly, more if they come in bursts."""
    first: dict[str, int] = {}
    for at, _, _, viewing in refused:
        first.setdefault(viewing, at)
    slots: dict[int, int] = defaultdict(int)
    for event in events:
        if event["ev"] == "ask" and event["at"] > first.get(event["viewing"], 2**63):
            slots[event["at"] // HALF_SECOND] += 1
    if sum(slots.values()) < MIN_RETURNS:
        return 0.0
    counts = [slots.get(slot, 0) for slot in range(min(slots), max(slots) + 1)]
    return sorted(counts)[int(len(counts) * 0.95)] * len(counts) / sum(counts)


# If one package gets this many requests within this time (ns), some have to be admitted at any level.
STARVATION_WINDOW, STARVATION_REQUESTS = 10 * SECOND, 100


def _starved(requests: dict[str, dict], admitted) -> list[str]:
    """Packages of which no request was admitted for `STARVATION_WINDOW` in spite of many requests."""
    found = set()
    for package in {ask["package"] for ask in requests.values()}:
        came = sorted(ask["at"] for ask in requests.values() if ask["package"] == package)
        got = [at for at, _ in admitted[package]]
        for index in range(0, len(came) - STARVATION_REQUESTS, STARVATION_REQUESTS // 4):
            since = came[index]
            if bisect_left(came, since + STARVATION_WINDOW) - index >= STARVATION_REQUESTS and bisect_left(
                got, since
            ) == bisect_left(got, since + STARVATION_WINDOW):
                found.add(package)
    return sorted(found)
