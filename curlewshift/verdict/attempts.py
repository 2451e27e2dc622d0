"""Checks, from the sockets of viewers and media servers, that no set-up attempt begins for clients that have left. Called by the
rehearsals (scripted fault injection runs) of fronts and of the front node.

The time at which a client left (`left`: its close, the shutdown of its sending half, or its cancel was handed to the kernel) is
joined with the first byte of an attempt (`setup`, `first_byte`: when the media server's kernel received it) by the request id on
the wire; both are times of the machine's monotonic clock. An attempt is late if it began more than 0.1 s after the last client
that waited for it had left. This span covers both network paths and the processing in between. Only time during which the front
itself was stopped (`front-paused` to `front-goes-on`) is not counted, as it can read nothing then. A killed front gets no
allowance: what it sent was in the server's kernel before. A client that left and returned under the same id waits again.

Independent of the session core, the rules, and the means by which a front detects that a client has left.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from curlewshift.verdict.verdict import MAX_EXAMPLES, MS, same_request

# Maximum delay of an attempt after its last waiting client has left (ns), and a time that is never reached.
MAX_DELAY = 100 * MS
NEVER = 2**63


def judge_attempts(events: list[dict], known_as: Callable[[str], str] = same_request) -> dict:
    """`left`: clients that left unanswered; `looked_at`: attempts made for them; `after`: attempts (for any client) that began
    after their client had left, of which `late` were too late, by `latest_ms` at most; `ways`: how these clients left;
    `unjoined`: attempts of no recorded client. `clean` is true only if there was something to check; `says` is the verdict as
    text. `known_as` maps the ids of all requests of one client operation to the same key."""
    events = sorted(events, key=lambda event: event["at"])
    waits, stops = _waiting_spans(events, known_as), _stopped_spans(events)
    left = sum(how is not None and not answered for spans in waits.values() for _, _, _, how, answered in spans)
    result = {
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
        result["attempts"] += 1
        spans, first = waits.get(known_as(setup["request"])), setup["first_byte"]
        if not spans:
            result["unjoined"] += 1
            continue
        result["looked_at"] += any(how is not None and not answered for _, _, _, how, answered in spans)
        if any(since <= first < until for since, until, _, _, _ in spans):
            continue
        ended, front, how = max(
            ((until, front, how) for _, until, front, how, _ in spans if until <= first), default=(0, "", None)
        )
        if how is None:
            # it began before its client sent the request, so it belongs to another client
            result["unjoined"] += 1
            continue
        late = first - ended - sum(max(0, min(until, first) - max(since, ended)) for since, until in stops[front])
        result["after"] += 1
        result["ways"][how] = result["ways"].get(how, 0) + 1
        result["latest_ms"] = max(result["latest_ms"], round(late / MS, 1))
        if late > MAX_DELAY:
            result["late"] += 1
            if len(result["examples"]) < MAX_EXAMPLES:
                result["examples"].append(
                    f"{setup['request']} began at {setup['server']} {late / MS:.0f} ms after its client had left ({how})"
                )
    result["says"] = _summary(result)
    result["clean"] = result["says"] == "clean"
    return result


def _waiting_spans(events: list[dict], known_as: Callable[[str], str]) -> dict[str, list[tuple]]:
    """By request: from when to when each of its clients waited, at which front, how it left, and whether it was answered."""
    waits: dict[str, list[tuple]] = defaultdict(list)
    waiting: dict[str, tuple[int, str]] = {}
    for event in events:
        if event["ev"] == "ask":
            waiting[event["request"]] = event["at"], event["front"]
        elif event["ev"] == "left" and event["request"] in waiting:
            since, front = waiting.pop(event["request"])
            waits[known_as(event["request"])].append((since, event["at"], front, event["how"], event["answered"]))
    for request, (since, front) in waiting.items():
        waits[known_as(request)].append((since, NEVER, front, None, False))
    return waits


def _stopped_spans(events: list[dict]) -> dict[str, list[tuple[int, int]]]:
    """By front: the time spans during which it was stopped."""
    stops, since = defaultdict(list), {}
    for event in events:
        if event["ev"] == "front-paused":
            since.setdefault(event["front"], event["at"])
        elif event["ev"] in ("front-goes-on", "front-up", "front-down") and event["front"] in since:
            stops[event["front"]].append((since.pop(event["front"]), event["at"]))
    for front, at in since.items():
        stops[front].append((at, NEVER))
    return stops


def _summary(result: dict) -> str:
    if result["late"]:
        return f"{result['late']} began over {MAX_DELAY // MS} ms after their client had left"
    if result["unjoined"]:
        return f"{result['unjoined']} attempts belong to no client that was seen"
    if not result["left"]:
        return "nobody left before being answered: not tried"
    if not result["looked_at"]:
        return "no attempt was made for a client that left: not tried"
    return "clean"
