"""Judges from the sockets of viewers and media servers whether attempts begin for clients that have left. Called by the
rehearsals of fronts and of the front node.

Joined are a client's leaving (`left`: the end of its connection or of its sending half, or its cancel, was in the kernel) and
the first byte of an attempt (`setup`, `first_byte`: when the media server's kernel took it), by the request's id as it stands
on the wire, on the machine's one monotonic clock. An attempt is late that began over 0.1 s after the last client that waited
for it had left. That span is all there is for both ways on the wire and for the program between; only time in which the front
itself was stopped (`front-paused` to `front-goes-on`) does not run, as nothing can be read in it. A front that was killed gets
nothing: what it began was in the server's kernel before. A client that left and came again under the same id waits again.

Knows nothing of desk, rules, or how either program finds out that somebody has left.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from curlewshift.verdict.verdict import KEPT_EXAMPLES, MS, same_request

LATE = 100 * MS
FOR_EVER = 2**63


def judge_attempts(events: list[dict], known_as: Callable[[str], str] = same_request) -> dict:
    """`left`: clients that left unanswered; `looked_at`: attempts that were made for them; `after`: those of all attempts that
    began after their client had left, and `late`, `latest_ms` of these; `unjoined`: attempts that belong to no client that was
    seen. `clean` is true only of a day on which something was looked at; `says` has the verdict in words. `known_as` makes the
    ids of requests for one thing the same."""
    events = sorted(events, key=lambda event: event["at"])
    waits, stops = _waits(events, known_as), _stops(events)
    left = sum(how is not None and not answered for spans in waits.values() for _, _, _, how, answered in spans)
    told = {
        "left": left,
        "attempts": 0,
        "looked_at": 0,
        "after": 0,
        "late": 0,
        "latest_ms": 0.0,
        "unjoined": 0,
        "ways": {},
        "examples": [],
    }
    for setup in events:
        if setup["ev"] != "setup" or "first_byte" not in setup:
            continue
        told["attempts"] += 1
        spans, first = waits.get(known_as(setup["request"])), setup["first_byte"]
        if not spans:
            told["unjoined"] += 1
            continue
        told["looked_at"] += any(how is not None and not answered for _, _, _, how, answered in spans)
        if any(since <= first < until for since, until, _, _, _ in spans):
            continue
        ended, front, how = max(
            ((until, front, how) for _, until, front, how, _ in spans if until <= first), default=(0, "", None)
        )
        if how is None:
            # its first byte was there before its client had asked: it is somebody else's
            told["unjoined"] += 1
            continue
        late = first - ended - sum(max(0, min(until, first) - max(since, ended)) for since, until in stops[front])
        told["after"] += 1
        told["ways"][how] = told["ways"].get(how, 0) + 1
        told["latest_ms"] = max(told["latest_ms"], round(late / MS, 1))
        if late > LATE:
            told["late"] += 1
            if len(told["examples"]) < KEPT_EXAMPLES:
                told["examples"].append(
                    f"{setup['request']} began at {setup['server']} {late / MS:.0f} ms after its client had left ({how})"
                )
    told["says"] = _says(told)
    told["clean"] = told["says"] == "clean"
    return told


def _waits(events: list[dict], known_as: Callable[[str], str]) -> dict[str, list[tuple]]:
    """By request: since and until when each of its clients waited, at which front, how it left, and whether it was answered."""
    waits: dict[str, list[tuple]] = defaultdict(list)
    open_: dict[str, tuple[int, str]] = {}
    for event in events:
        if event["ev"] == "ask":
            open_[event["request"]] = event["at"], event["front"]
        elif event["ev"] == "left" and event["request"] in open_:
            since, front = open_.pop(event["request"])
            waits[known_as(event["request"])].append((since, event["at"], front, event["how"], event["answered"]))
    for request, (since, front) in open_.items():
        waits[known_as(request)].append((since, FOR_EVER, front, None, False))
    return waits


def _stops(events: list[dict]) -> dict[str, list[tuple[int, int]]]:
    """When each front was stopped."""
    stops, since = defaultdict(list), {}
    for event in events:
        if event["ev"] == "front-paused":
            since.setdefault(event["front"], event["at"])
        elif event["ev"] in ("front-goes-on", "front-up", "front-down") and event["front"] in since:
            stops[event["front"]].append((since.pop(event["front"]), event["at"]))
    for front, at in since.items():
        stops[front].append((at, FOR_EVER))
    return stops


def _says(told: dict) -> str:
    if told["late"]:
        return f"{told['late']} began over {LATE // MS} ms after their client had left"
    if told["unjoined"]:
        return f"{told['unjoined']} attempts belong to no client that was seen"
    if not told["left"]:
        return "nobody left before being answered: not tried"
    if not told["looked_at"]:
        return "no attempt was made for who left: not tried"
    return "clean"
