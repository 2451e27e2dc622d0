"""Judges from the traffic between fronts, and from what each says of the others, whether they know who is there.

Reads datagrams by their form in docs/peers.md, with nothing of the program that wrote them. Called by the rehearsal.
`false_gone` counts who was called gone without anything having befallen it or its accuser; `malformed_taken` and
`old_life_taken` count probes that were answered though they came spoilt, or from an earlier life of their sender.
"""

from __future__ import annotations

import zlib
from collections import defaultdict

import msgspec

SECOND = 1_000_000_000
# What befell a front still shows in views for so many periods after it is over.
SHOWS_ON = 16
# Who is gone is looked through once a period; with what asking takes.
FORGETS_WITHIN = 4
PING, ACK, ASK = 1, 2, 3
KEPT_EXAMPLES = 5


def read_datagram(data: bytes) -> list | None:
    """[site, name, host, port, life, incarnation, number, kind, probe, ...]; None if it is not whole."""
    if data[:4] != b"CWP\x01" or zlib.crc32(data[:-4]).to_bytes(4, "big") != data[-4:]:
        return None
    try:
        frame = msgspec.msgpack.decode(data[4:-4])
    except msgspec.DecodeError:
        return None
    return frame if isinstance(frame, list) and len(frame) >= 9 else None


class Fates:
    """What befell each front and when, from the day's own events."""

    def __init__(self, events: list[dict], period: int):
        self.spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self.ends: list[int] = []
        self.stopped: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self.up: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
        open_troubles: dict[tuple, int] = {}
        paused: dict[str, int] = {}
        born: dict[str, tuple[int, str]] = {}
        for event in events:
            at = event["at"]
            if event["ev"] == "front-up":
                born[event["front"]] = (at, event["life"])
                # a process takes a moment to be heard; so long it is neither there nor gone
                self.spans[event["front"]].append((at, at + 4 * SECOND))
                self.ends.append(at + 2 * SECOND)
            elif event["ev"] == "front-down":
                began, life = born.pop(event["front"])
                self.up[event["front"]].append((began, at, life))
                self.spans[event["front"]].append((at, at))
            elif event["ev"] == "front-paused":
                paused[event["front"]] = at
            elif event["ev"] == "front-goes-on" and event["front"] in paused:
                span = (paused.pop(event["front"]), at)
                self.spans[event["front"]].append(span)
                self.stopped[event["front"]].append(span)
                self.ends.append(at)
            elif event["ev"] == "trouble" and event["kind"] in ("cut", "one-way"):
                open_troubles[event["kind"], tuple(event["fronts"])] = at
            elif event["ev"] == "trouble-over" and event["kind"] in ("cut", "one-way"):
                began = open_troubles.pop((event["kind"], tuple(event["fronts"])))
                self.ends.append(at)
                # a cut befalls both sides: each is gone to the other
                for front in event["fronts"] if event["kind"] == "one-way" else sorted(born):
                    self.spans[front].append((began, at))
        for front, (began, life) in born.items():
            self.up[front].append((began, 2**63, life))
        self.shows_on = SHOWS_ON * period

    def sound(self, front: str, at: int) -> bool:
        """It runs, and nothing has befallen it for so long that views may still show it."""
        runs = any(began <= at < ended for began, ended, _ in self.up[front])
        return runs and all(not began <= at <= ended + self.shows_on for began, ended in self.spans[front])

    def running(self, at: int) -> set[str]:
        return {front for front, lives in self.up.items() if any(began <= at < ended for began, ended, _ in lives)}


def judge_members(events: list[dict], period: int, forget_after: int) -> dict:
    """`members` of the verdict. Times are ns; `period` and `forget_after` are the settings'."""
    events = sorted(events, key=lambda event: event["at"])
    over = max((event["at"] for event in events if event["ev"] == "day-over"), default=2**63)
    events = [event for event in events if event["at"] <= over]
    views = [event for event in events if event["ev"] == "view"]
    fates = Fates(events, period)
    told = {
        **_false_gone(views, fates),
        **_detection(views, fates, period),
        **_agreement(views, fates, over),
        **_forgetting(views, fates, forget_after, period),
        **_taken(events),
    }
    told["datagrams"] = sum(event["ev"] == "peer-heard" for event in events)
    told["bytes_a_second"] = _median([view["sent"] for view in views])
    told["broken"] = bool(
        told["false_gone"]
        or told["malformed_taken"]
        or told["old_life_taken"]
        or told["not_forgotten"]
        or told["agreed_after_s"] is None
    )
    return told


def _median(values: list) -> float:
    return sorted(values)[len(values) // 2] if values else 0


def _false_gone(views: list[dict], fates: Fates) -> dict:
    called: dict[tuple, str] = {}
    for view in views:
        for name, life, rank, _ in view["members"]:
            if rank == "gone" and fates.sound(name, view["asked"]) and fates.sound(view["front"], view["asked"]):
                called.setdefault((view["front"], name, life), f"{view['front']} calls {name} gone")
    return {"views": len(views), "false_gone": len(called), "false_gone_examples": list(called.values())[:KEPT_EXAMPLES]}


def _detection(views: list[dict], fates: Fates, period: int) -> dict:
    """Over kills and over all others that were sound: until they no longer held that life for in (in periods)."""
    took, unseen = [], 0
    for front, lives in fates.up.items():
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
                    if fates.sound(view["front"], view["at"]):
                        took.append((view["at"] - ended) / period)
            unseen += sum(
                other not in seen and fates.sound(other, ended) and fates.sound(other, ended + fates.shows_on) for other in before
            )
    took.sort()
    return {
        "detected": len(took),
        "not_detected": unseen,
        "detected_periods_median": round(_median(took), 2),
        "detected_periods_p99": round(took[min(len(took) - 1, int(len(took) * 0.99))], 2) if took else None,
    }


def _agreement(views: list[dict], fates: Fates, over: int) -> dict:
    """After each trouble's end, until every front that runs holds exactly those for in that run; the longest (s), as far
    as nothing else befell anyone before. None if they did not agree when the day was over."""
    latest: dict[str, set[str]] = {}
    agreed_at: list[tuple[int, bool]] = []
    for view in views:
        latest[view["front"]] = {row[0] for row in view["members"] if row[2] in ("alive", "suspect")} | {view["front"]}
        running = fates.running(view["asked"])
        agreed_at.append((view["at"], all(latest.get(front) == running for front in running)))
    waits = []
    ends = sorted(end for end in fates.ends if end < over)
    troubled = sorted({began for spans in fates.spans.values() for began, _ in spans})
    for end in ends:
        next_trouble = min((began for began in troubled if began > end), default=over)
        met = next((at for at, agreed in agreed_at if at >= end and agreed), None)
        if met is not None and met <= next_trouble:
            waits.append((met - end) / SECOND)
    last = agreed_at[-1][1] if agreed_at else False
    return {"agreed_after_s": (round(max(waits), 2) if waits else 0.0) if last else None, "agreed_times": len(waits)}


def _forgetting(views: list[dict], fates: Fates, forget_after: int, period: int) -> dict:
    """Who is gone and still listed long after it should have been forgotten."""
    since: dict[tuple[str, str, int], int] = {}
    late = set()
    for view in views:
        rows = {(view["front"], name, life) for name, life, rank, _ in view["members"] if rank in ("gone", "left")}
        since = {key: at for key, at in since.items() if key[0] != view["front"] or key in rows}
        for key in rows:
            began = since.setdefault(key, view["at"])
            # a front that was stopped meanwhile has not counted that time
            stopped = sum(
                min(until, view["at"]) - max(at, began)
                for at, until in fates.stopped[view["front"]]
                if at < view["at"] and until > began
            )
            if view["at"] - began - stopped > forget_after + FORGETS_WITHIN * period:
                late.add(key)
    return {"not_forgotten": len(late)}


def _taken(events: list[dict]) -> dict:
    """Probes that came spoilt, or from a life that was over as their receiver had heard, and were answered all the same."""
    lives: dict[tuple[str, str], int] = {}
    # up, and not heard of yet: what is handed to a port that nobody has opened is heard by nobody
    starting: set[str] = set()
    whole, earlier, answered = set(), set(), set()
    counts = {"spoilt": 0, "old_life": 0}
    for event in events:
        if event["ev"] == "front-up":
            # a front that starts has heard of no life yet
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
            earlier.add((front, name, frame[8]))
            continue
        if front not in starting:
            lives[front, name] = life
        if frame[7] in (PING, ASK):
            whole.add((front, name, frame[8]))
    return {**counts, "old_life_taken": len(answered & earlier - whole), "malformed_taken": len(answered - whole - earlier)}
