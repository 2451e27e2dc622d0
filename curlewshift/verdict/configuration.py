"""Judges from outside whether the fronts' configuration had one order, came into force whole, and in time.

Reads datagrams by their form in docs/peers.md and docs/distribution.md, what each front answered at its door and on its control
socket, and what the operator was told; with nothing of the program that is judged. Each version bears a mark (a number) in
several parts of the file. Called by the rehearsal. Times are ns.
"""

from __future__ import annotations

import itertools
from collections import defaultdict

import msgspec

from curlewshift.verdict.members import Fates, read_datagram

SECOND = 1_000_000_000
PING, ACK, KIND = 1, 2, 20
# Words of kind 20 by their first field: how a store stands, a writer's take, a word that there is something newer.
STANDS, TAKE, TELL = 2, 4, 7
# A version has to be in force everywhere within this; who was struck has so long from when that was over.
IN_FORCE_WITHIN = 18 * SECOND
KEPT_EXAMPLES = 8
FILE = "file"
Number = tuple[int, int]


def number_of(version: str) -> Number:
    if version == FILE:
        return 0, 0
    fence, _, rest = version.partition(".")
    return int(fence), int(rest.partition("-")[0])


def judge_configuration(events: list[dict]) -> dict:
    """`versions`: those that came into force at a front. `in_force_p99_s`, `in_force_max_s`: from when the operator asked to when
    a front is seen with it or a newer one, over versions and fronts; for fronts that were down, stopped or cut off meanwhile from
    when that was over; `after_made_p99_s` from when a majority had it, as the operator was told. `regressions`: a front went to
    an older one, within a life or over a restart with its disk. `forks`: two contents under one number. `half`: a front whose
    parts are not of one version. `early`: told before a majority had it. `unfounded`: in force though its operator was told that
    nothing came of it. `bad_taken`: a wrong file was taken, or refused without a line."""
    events = sorted(events, key=lambda event: event["at"])
    over = max((event["at"] for event in events if event["ev"] == "day-over"), default=2**63)
    events = [event for event in events if event["at"] <= over]
    lives = [event for event in events if event["ev"] == "live"]
    puts = [event for event in events if event["ev"] == "put"]
    told: list[str] = []
    result = {
        "versions": len({event["version"] for event in lives} - {FILE}),
        "puts": len(puts),
        "refused_puts": sum(not put["ok"] and not put["unknown"] for put in puts),
        "unknown_puts": sum(put["unknown"] for put in puts),
    }
    result.update(_in_force(events, lives, puts, over, told))
    result["regressions"] = _regressions(events, lives, told)
    result["forks"] = _forks(events, lives, told)
    result["half"] = _half(events, lives, told)
    result["early"] = _early(events, told)
    result["unfounded"] = _unfounded(lives, puts, told)
    bad = [event for event in events if event["ev"] == "bad-put"]
    wrong = [event for event in bad if event["ok"] or ".xml:" not in event["wrong"]]
    told += [f"the bad file ({event['what']}) was answered: {event['wrong'] or 'taken'}" for event in wrong]
    showed = {event["front"] for event in lives if {bad_one["mark"] for bad_one in bad} & set(event["marks"])}
    told += [f"{front} has a bad file in force" for front in sorted(showed)]
    result["bad_puts"], result["bad_taken"] = len(bad), len(wrong) + len(showed)
    result["known"] = _known(events, lives)
    result["broken"] = bool(
        result["versions"] == 0
        or result["late"]
        or result["missing"]
        or any(result[name] for name in ("regressions", "forks", "half", "early", "unfounded", "bad_taken"))
    )
    result["examples"] = told[:KEPT_EXAMPLES]
    return result


def _marks(lives: list[dict]) -> dict[str, set[int]]:
    """By version, the marks that a front that is whole showed with it."""
    marks: dict[str, set[int]] = defaultdict(set)
    for event in lives:
        if len(set(event["marks"])) == 1:
            marks[event["version"]].add(event["marks"][0])
    return marks


def _in_force(events, lives, puts, over: int, told: list[str]) -> dict:
    fates = Fates(events, SECOND)
    seen: dict[str, list[tuple[int, Number]]] = defaultdict(list)
    for event in lives:
        seen[event["front"]].append((event["at"], number_of(event["version"])))
    waits, made, late, missing = [], [], 0, 0
    for put in puts:
        if not put["ok"]:
            continue
        number = number_of(put["version"])
        for front in seen:
            at = next((at for at, held in seen[front] if at >= put["asked"] and held >= number), None)
            since, moved = put["asked"], True
            until = at if at is not None else over
            while moved:
                moved = False
                for began, ended in fates.spans[front]:
                    if began <= until and since < ended and began <= since + IN_FORCE_WITHIN:
                        since, moved = ended, True
            if at is None:
                if over - since > IN_FORCE_WITHIN:
                    missing += 1
                    told.append(f"{front} never had {put['version']} in force")
                continue
            wait = max(0, at - since)
            waits.append(wait / SECOND)
            made.append(max(0, at - max(since, put["at"])) / SECOND)
            if wait > IN_FORCE_WITHIN:
                late += 1
                told.append(f"{front} had {put['version']} in force {wait / SECOND:.1f} s after it could")
    waits.sort()
    made.sort()
    return {
        "in_force_counted": len(waits),
        "late": late,
        "missing": missing,
        "in_force_median_s": round(waits[len(waits) // 2], 2) if waits else None,
        "in_force_p99_s": round(waits[min(len(waits) - 1, int(len(waits) * 0.99))], 2) if waits else None,
        "in_force_max_s": round(waits[-1], 2) if waits else None,
        "after_made_p99_s": round(made[min(len(made) - 1, int(len(made) * 0.99))], 2) if made else None,
    }


def _regressions(events, lives, told: list[str]) -> int:
    """A life that follows one that lost its disk, or had it spoilt, begins where it can."""
    lost = {event["life"] for event in events if event["ev"] == "disk"}
    highest: dict[str, tuple[Number, str]] = {}
    count = 0
    for event in lives:
        number, front, life = number_of(event["version"]), event["front"], event["life"]
        before = highest.get(front)
        if before is not None and number < before[0] and (life == before[1] or before[1] not in lost):
            count += 1
            told.append(f"{life} went from {before[0][0]}.{before[0][1]} back to {event['version']}")
        if before is None or number >= before[0] or life != before[1]:
            highest[front] = number, life
    return count


def _versions_in(value) -> list[tuple[int, int, bytes]]:
    """All [fence, count, digest] anywhere in a decoded body."""
    if not isinstance(value, list):
        return []
    if (
        len(value) == 3
        and isinstance(value[0], int)
        and isinstance(value[1], int)
        and isinstance(value[2], bytes)
        and len(value[2]) == 32
    ):
        return [(value[0], value[1], value[2])]
    return [version for part in value for version in _versions_in(part)]


def _words(events):
    """(event, kind, decoded body) of each datagram that tells of versions."""
    for event in events:
        if event["ev"] != "peer-said":
            continue
        frame = read_datagram(bytes.fromhex(event["data"]))
        if frame is None or frame[7] not in (PING, ACK, KIND) or len(frame) < 13 or not frame[12]:
            continue
        try:
            yield event, frame[7], msgspec.msgpack.decode(frame[12])
        except msgspec.DecodeError:
            continue


def _forks(events, lives, told: list[str]) -> int:
    digests: dict[Number, set[str]] = defaultdict(set)
    for _, _, body in _words(events):
        for fence, count, digest in _versions_in(body):
            digests[fence, count].add(digest.hex()[:12])
    for event in events:
        if event["ev"] in ("live", "machine", "put") and event["version"] not in ("", FILE):
            digests[number_of(event["version"])].add(event["version"].rpartition("-")[2])
    marks = _marks(lives)
    forked = [number for number, held in digests.items() if len(held) > 1]
    told += [f"number {number} names {', '.join(sorted(digests[number]))}" for number in forked]
    two = [version for version, held in marks.items() if len(held) > 1]
    told += [f"{version} is in force with the marks {sorted(marks[version])}" for version in two]
    return len(forked) + len(two)


def _half(events, lives, told: list[str]) -> int:
    half = 0
    for event in lives:
        if len(set(event["marks"])) > 1:
            half += 1
            told.append(f"{event['life']} has {event['version']} with the marks {sorted(set(event['marks']))}")
    marks = {version: next(iter(held)) for version, held in _marks(lives).items() if len(held) == 1}
    # a door between two looks that showed one version shows that one
    doors: dict[str, list[dict]] = defaultdict(list)
    for event in events:
        if event["ev"] == "door":
            doors[event["life"]].append(event)
    by_life: dict[str, list[dict]] = defaultdict(list)
    for event in lives:
        by_life[event["life"]].append(event)
    for life, looks in by_life.items():
        for before, after in itertools.pairwise(looks):
            if before["version"] != after["version"] or before["version"] not in marks:
                continue
            for door in doors[life]:
                if (
                    before["at"] <= door["asked"]
                    and door["at"] <= after["asked"]
                    and set(door["marks"]) != {marks[before["version"]]}
                ):
                    half += 1
                    told.append(f"the door of {life} shows {door['marks']} with {before['version']} in force")
    return half


def _early(events, told: list[str]) -> int:
    """Versions of which somebody told, or which rode on a probe, when no majority of the control machines had said that it has
    it. Of the writer's own store nothing goes over the wire: it counts as one."""
    stores = {event["front"] for event in events if event["ev"] == "machine"}
    majority = len(stores) // 2 + 1
    has: dict[tuple, set[str]] = defaultdict(set)
    early = set()
    for event, kind, body in _words(events):
        if kind == KIND and body[0] == STANDS:
            has[tuple(body[5])].add(event["front"])
        elif kind == KIND and body[0] == TAKE:
            has[tuple(body[3])].add(event["front"])
        elif kind in (PING, ACK) or body[0] == TELL:
            for version in _versions_in(body):
                if len(has[version]) < majority and version not in early:
                    early.add(version)
                    told.append(f"{event['front']} told of {version[0]}.{version[1]} when {sorted(has[version])} had it")
    return len(early)


def _unfounded(lives, puts, told: list[str]) -> int:
    refused = {put["mark"] for put in puts if not put["ok"] and not put["unknown"]}
    shown = {(event["front"], event["marks"][0]) for event in lives if len(set(event["marks"])) == 1}
    found = sorted((front, mark) for front, mark in shown if mark in refused)
    told += [f"{front} has mark {mark} in force, of which nothing was to come" for front, mark in found]
    return len(found)


def _known(events, lives) -> dict:
    """What each control machine said last of the fleet, beside what the fronts themselves showed last."""
    last = {event["front"]: event["version"] for event in lives}
    told = {}
    for event in events:
        if event["ev"] == "machine" and event["zones"]:
            zones = event["zones"]
            told[event["front"]] = {
                "nodes": sum(zone["nodes"] for zone in zones),
                "at_newest": sum(zone["at_newest"] for zone in zones),
                "refusing": sum(zone["refusing"] for zone in zones),
                "lowest": min((zone["lowest"] for zone in zones), key=number_of),
            }
    return {"fronts": len(last), "in_force_at_end": sorted(set(last.values())), "told": told}
