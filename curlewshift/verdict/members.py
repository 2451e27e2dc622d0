"""Checks membership, from the traffic between fronts and from the views that each reports of the others.

Reads datagrams as specified in docs/peers.md, without code of the fronts. Called by the rehearsal. `false_gone` counts fronts
that were declared gone although no fault affected them or the front that declared it; `malformed_taken` and `old_life_taken`
count probes that were answered although they arrived corrupt, or from an earlier life (run of the process) of their sender.
"""

from __future__ import annotations

import zlib
from collections import defaultdict

import msgspec

SECOND = 1_000_000_000
# Number of protocol periods for which a fault of a front may still show in views after its end.
VIEW_LAG_PERIODS = 16
# Tolerance of forgetting, in periods: fronts check for members to forget once a period, and views are polled.
FORGET_LAG_PERIODS = 4
PING, ACK, PING_REQUEST = 1, 2, 3
MAX_EXAMPLES = 5


def read_datagram(data: bytes) -> list | None:
    """[site, name, host, port, life, incarnation, number, kind, probe, ...]; None if the datagram is malformed."""
    if data[:4] != b"CWP\x01" or zlib.crc32(data[:-4]).to_bytes(4, "big") != data[-4:]:
        return None
    try:
        frame = msgspec.msgpack.decode(data[4:-4])
    except msgspec.DecodeError:
        return None
    return frame if isinstance(frame, list) and len(frame) >= 9 else None


class FrontFaults:
    """The faults that affected each front and when, from the events of the run. `period`: protocol period (ns)."""

    def __init__(self, events: list[dict], period: int):
        self.fault_spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self.fault_ends: list[int] = []
        self.stopped: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self.lives: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
        open_troubles: dict[tuple, int] = {}
        paused: dict[str, int] = {}
        started: dict[str, tuple[int, str]] = {}
        for event in events:
            at = event["at"]
            if event["ev"] == "front-up":
                started[event["front"]] = (at, event["life"])
                # a started process needs up to 4 s to become known; until then it counts as neither present nor gone
                self.fault_spans[event["front"]].append((at, at + 4 * SECOND))
                self.fault_ends.append(at + 2 * SECOND)
            elif event["ev"] == "front-down":
                began, life = started.pop(event["front"])
                self.lives[event["front"]].append((began, at, life))
                self.fault_spans[event["front"]].append((at, at))
            elif event["ev"] == "front-paused":
                paused[event["front"]] = at
            elif event["ev"] == "front-goes-on" and event["front"] in paused:
                span = (paused.pop(event["front"]), at)
                self.fault_spans[event["front"]].append(span)
                self.stopped[event["front"]].append(span)
                self.fault_ends.append(at)
            elif event["ev"] == "trouble" and event["kind"] in ("cut", "one-way"):
                open_troubles[event["kind"], tuple(event["fronts"])] = at
            elif event["ev"] == "trouble-over" and event["kind"] in ("cut", "one-way"):
                began = open_troubles.pop((event["kind"], tuple(event["fronts"])))
                self.fault_ends.append(at)
                # a cut affects both sides: each is gone for the other
                for front in event["fronts"] if event["kind"] == "one-way" else sorted(started):
                    self.fault_spans[front].append((began, at))
        for front, (began, life) in started.items():
            self.lives[front].append((began, 2**63, life))
        self.view_lag = VIEW_LAG_PERIODS * period

    def unaffected(self, front: str, at: int) -> bool:
        """Whether the front runs and no fault affects it, including the time for which an ended one may still show in views."""
        runs = any(began <= at < ended for began, ended, _ in self.lives[front])
        return runs and all(not began <= at <= ended + self.view_lag for began, ended in self.fault_spans[front])

    def running_fronts(self, at: int) -> set[str]:
        return {front for front, lives in self.lives.items() if any(began <= at < ended for began, ended, _ in lives)}


def judge_members(events: list[dict], period: int, forget_after: int) -> dict:
    """The `members` part of the verdict. `period` and `forget_after` are those of the settings (ns)."""
    events = sorted(events, key=lambda event: event["at"])
    run_end = max((event["at"] for event in events if event["ev"] == "day-over"), default=2**63)
    events = [event for event in events if event["at"] <= run_end]
    views = [event for event in events if event["ev"] == "view"]
    front_faults = FrontFaults(events, period)
    result = {
        **_false_gone(views, front_faults),
        **_detection(views, front_faults, period),
        **_agreement(views, front_faults, run_end),
        **_forgetting(views, front_faults, forget_after, period),
        **_answered_invalid(events),
    }
    result["datagrams"] = sum(event["ev"] == "peer-heard" for event in events)
    result["bytes_a_second"] = _median([view["sent"] for view in views])
    result["broken"] = bool(
        result["false_gone"]
        or result["malformed_taken"]
        or result["old_life_taken"]
        or result["not_forgotten"]
        or result["agreed_after_s"] is None
    )
    return result


def _median(values: list) -> float:
    return sorted(values)[len(values) // 2] if values else 0


def _false_gone(views: list[dict], front_faults: FrontFaults) -> dict:
    called: dict[tuple, str] = {}
    for view in views:
        for name, life, rank, _ in view["members"]:
            if (
                rank == "gone"
                and front_faults.unaffected(name, view["asked"])
                and front_faults.unaffected(view["front"], view["asked"])
            ):
                called.setdefault((view["front"], name, life), f"{view['front']} declares {name} gone")
    return {"views": len(views), "false_gone": len(called), "false_gone_examples": list(called.values())[:MAX_EXAMPLES]}


def _detection(views: list[dict], front_faults: FrontFaults, period: int) -> dict:
    """Detection time over all ended lives and all unaffected observers: until the observer no longer lists that life as a
    member (in periods)."""
    durations, undetected = [], 0
    for front, lives in front_faults.lives.items():
        for (_began, ended, _), _after in zip(lives, [*lives[1:], None]):
            if ended == 2**63:
                continue
            seen: set[str] = set()
            before: dict[str, int] = {}
            for view in views:
                if view["front"] == front:
                    continue
                held = next((row for row in view["members"] if row[0] == front), None)
                if view["at"] < ended:
                    if held is not None and held[2] in ("alive", "suspect"):
                        before[view["front"]] = held[1]
                elif (
                    view["front"] in before
                    and view["front"] not in seen
                    and (held is None or held[2] in ("gone", "left") or held[1] > before[view["front"]])
                ):
                    seen.add(view["front"])
                    if front_faults.unaffected(view["front"], view["at"]):
                        durations.append((view["at"] - ended) / period)
            undetected += sum(
                other not in seen
                and front_faults.unaffected(other, ended)
                and front_faults.unaffected(other, ended + front_faults.view_lag)
                for other in before
            )
    durations.sort()
    return {
        "detected": len(durations),
        "not_detected": undetected,
        "detected_periods_median": round(_median(durations), 2),
        "detected_periods_p99": round(durations[min(len(durations) - 1, int(len(durations) * 0.99))], 2) if durations else None,
    }


def _agreement(views: list[dict], front_faults: FrontFaults, run_end: int) -> dict:
    """Longest time (s) from the end of a fault until every running front lists exactly the running fronts as members, over
    faults after which no other fault began before that. None if the fronts disagreed at the end of the run."""
    latest: dict[str, set[str]] = {}
    agreed_at: list[tuple[int, bool]] = []
    for view in views:
        latest[view["front"]] = {row[0] for row in view["members"] if row[2] in ("alive", "suspect")} | {view["front"]}
        running_fronts = front_faults.running_fronts(view["asked"])
        agreed_at.append((view["at"], all(latest.get(front) == running_fronts for front in running_fronts)))
    waits = []
    fault_ends = sorted(end for end in front_faults.fault_ends if end < run_end)
    fault_starts = sorted({began for fault_spans in front_faults.fault_spans.values() for began, _ in fault_spans})
    for end in fault_ends:
        next_trouble = min((began for began in fault_starts if began > end), default=run_end)
        first_agreed_at = next((at for at, agreed in agreed_at if at >= end and agreed), None)
        if first_agreed_at is not None and first_agreed_at <= next_trouble:
            waits.append((first_agreed_at - end) / SECOND)
    last = agreed_at[-1][1] if agreed_at else False
    return {"agreed_after_s": (round(max(waits), 2) if waits else 0.0) if last else None, "agreed_times": len(waits)}


def _forgetting(views: list[dict], front_faults: FrontFaults, forget_after: int, period: int) -> dict:
    """Counts members that are gone and still listed after the time at which they have to be forgotten."""
    since: dict[tuple[str, str, int], int] = {}
    late = set()
    for view in views:
        rows = {(view["front"], name, life) for name, life, rank, _ in view["members"] if rank in ("gone", "left")}
        since = {key: at for key, at in since.items() if key[0] != view["front"] or key in rows}
        for key in rows:
            began = since.setdefault(key, view["at"])
            # time for which the observing front was stopped does not count
            stopped = sum(
                min(until, view["at"]) - max(at, began)
                for at, until in front_faults.stopped[view["front"]]
                if at < view["at"] and until > began
            )
            if view["at"] - began - stopped > forget_after + FORGET_LAG_PERIODS * period:
                late.add(key)
    return {"not_forgotten": len(late)}


def _answered_invalid(events: list[dict]) -> dict:
    """Counts probes that were answered although they arrived corrupt, or from a life that their receiver knew had ended."""
    lives: dict[tuple[str, str], int] = {}
    # started but not sending yet: its port may not be open, so datagrams sent to it may be lost
    starting: set[str] = set()
    valid, from_old_life, answered = set(), set(), set()
    counts = {"spoilt": 0, "old_life": 0}
    for event in events:
        if event["ev"] == "front-up":
            # a front that starts knows no lives yet
            lives = {key: life for key, life in lives.items() if key[0] != event["front"]}
            starting.add(event["front"])
        if event["ev"] not in ("peer-heard", "peer-said"):
            continue
        frame = read_datagram(bytes.fromhex(event["data"]))
        if event["ev"] == "peer-said":
            starting.discard(event["front"])
            if frame is not None and frame[7] == ACK:
                answered.add((event["front"], event["to"], frame[8]))
            continue
        counts["spoilt"] += event["spoilt"]
        if frame is None or event["spoilt"]:
            continue
        front, name, life = event["front"], frame[1], frame[4]
        if life < lives.get((front, name), 0):
            counts["old_life"] += 1
            from_old_life.add((front, name, frame[8]))
            continue
        if front not in starting:
            lives[front, name] = life
        if frame[7] in (PING, PING_REQUEST):
            valid.add((front, name, frame[8]))
    return {
        **counts,
        "old_life_taken": len(answered & from_old_life - valid),
        "malformed_taken": len(answered - valid - from_old_life),
    }
