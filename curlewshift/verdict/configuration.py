"""Checks that configuration versions were totally ordered, and came into force at every front completely and in time.

Uses only external observations and no code of the fronts: datagrams as specified in docs/peers.md and docs/distribution.md, what
each front answered to HTTP requests and on its control socket, and the answers that the operator got. Each version carries a mark
(a number) in several parts of the file. Called by the rehearsal. Times are ns.
"""

from __future__ import annotations

import itertools
from collections import defaultdict

import msgspec

from curlewshift.verdict.members import FrontFaults, read_datagram

SECOND = 1_000_000_000
PING, ACK, DISTRIBUTION_KIND = 1, 2, 20
# Messages of kind 20 by their first field: state of a store, version sent by a writer to the stores, announcement of a newer one.
STORE_STATE, WRITER_TAKE, ANNOUNCE = 2, 4, 7
# Time in which a version has to be in force at every front; affected fronts have it from the end of the fault.
IN_FORCE_DEADLINE = 18 * SECOND
MAX_EXAMPLES = 8
SITE_FILE = "file"
VersionNumber = tuple[int, int]


def version_number(version: str) -> VersionNumber:
    """(fence, count) of a version's name; (0, 0) for the site file that a front starts from."""
    if version == SITE_FILE:
        return 0, 0
    fence, _, rest = version.partition(".")
    return int(fence), int(rest.partition("-")[0])


def judge_configuration(events: list[dict]) -> dict:
    """`versions`: those that came into force at a front. `in_force_p99_s`, `in_force_max_s`: time from the operator's request
    until a front is seen with the version or a newer one, over versions and fronts; for fronts that were down, stopped or cut off
    meanwhile, from the end of that. `after_made_p99_s`: the same from when a majority had it, as confirmed to the operator.
    `regressions`: a front went back to an older version, within a life (one run of its process) or across a restart with its
    disk. `forks`: two contents under one number. `half`: parts of a front were of different versions. `early`: announced before
    a majority had it. `unfounded`: in force although the operator was told that the change failed. `bad_taken`: an invalid file
    was accepted, or refused without a line number."""
    events = sorted(events, key=lambda event: event["at"])
    run_end = max((event["at"] for event in events if event["ev"] == "day-over"), default=2**63)
    events = [event for event in events if event["at"] <= run_end]
    lives = [event for event in events if event["ev"] == "live"]
    puts = [event for event in events if event["ev"] == "put"]
    examples: list[str] = []
    result = {
        "versions": len({event["version"] for event in lives} - {SITE_FILE}),
        "puts": len(puts),
        "refused_puts": sum(not put["ok"] and not put["unknown"] for put in puts),
        "unknown_puts": sum(put["unknown"] for put in puts),
    }
    result.update(_in_force(events, lives, puts, run_end, examples))
    result["regressions"] = _regressions(events, lives, examples)
    result["forks"] = _forks(events, lives, examples)
    result["half"] = _mixed_versions(events, lives, examples)
    result["early"] = _early(events, examples)
    result["unfounded"] = _unfounded(lives, puts, examples)
    bad_puts = [event for event in events if event["ev"] == "bad-put"]
    not_refused = [event for event in bad_puts if event["ok"] or ".xml:" not in event["wrong"]]
    examples += [f"the invalid file ({event['what']}) was answered: {event['wrong'] or 'accepted'}" for event in not_refused]
    fronts_with_bad = {event["front"] for event in lives if {bad_put["mark"] for bad_put in bad_puts} & set(event["marks"])}
    examples += [f"{front} has an invalid file in force" for front in sorted(fronts_with_bad)]
    result["bad_puts"], result["bad_taken"] = len(bad_puts), len(not_refused) + len(fronts_with_bad)
    result["known"] = _fleet_status(events, lives)
    result["broken"] = bool(
        result["versions"] == 0
        or result["late"]
        or result["missing"]
        or any(result[name] for name in ("regressions", "forks", "half", "early", "unfounded", "bad_taken"))
    )
    result["examples"] = examples[:MAX_EXAMPLES]
    return result


def _marks(lives: list[dict]) -> dict[str, set[int]]:
    """By version: the marks shown by fronts whose parts were all of one version."""
    marks: dict[str, set[int]] = defaultdict(set)
    for event in lives:
        if len(set(event["marks"])) == 1:
            marks[event["version"]].add(event["marks"][0])
    return marks


def _in_force(events, lives, puts, run_end: int, examples: list[str]) -> dict:
    front_faults = FrontFaults(events, SECOND)
    seen: dict[str, list[tuple[int, VersionNumber]]] = defaultdict(list)
    for event in lives:
        seen[event["front"]].append((event["at"], version_number(event["version"])))
    waits, made, late, missing = [], [], 0, 0
    for put in puts:
        if not put["ok"]:
            continue
        number = version_number(put["version"])
        for front in seen:
            at = next((at for at, held in seen[front] if at >= put["asked"] and held >= number), None)
            since, moved = put["asked"], True
            until = at if at is not None else run_end
            while moved:
                moved = False
                for began, ended in front_faults.fault_spans[front]:
                    if began <= until and since < ended and began <= since + IN_FORCE_DEADLINE:
                        since, moved = ended, True
            if at is None:
                if run_end - since > IN_FORCE_DEADLINE:
                    missing += 1
                    examples.append(f"{front} never had {put['version']} in force")
                continue
            wait = max(0, at - since)
            waits.append(wait / SECOND)
            made.append(max(0, at - max(since, put["at"])) / SECOND)
            if wait > IN_FORCE_DEADLINE:
                late += 1
                examples.append(f"{front} had {put['version']} in force {wait / SECOND:.1f} s after it could have")
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


def _regressions(events, lives, examples: list[str]) -> int:
    """Counts steps back to an older version. A life after one whose disk was lost or corrupted may start with any version."""
    lost = {event["life"] for event in events if event["ev"] == "disk"}
    highest: dict[str, tuple[VersionNumber, str]] = {}
    count = 0
    for event in lives:
        number, front, life = version_number(event["version"]), event["front"], event["life"]
        before = highest.get(front)
        if before is not None and number < before[0] and (life == before[1] or before[1] not in lost):
            count += 1
            examples.append(f"{life} went from {before[0][0]}.{before[0][1]} back to {event['version']}")
        if before is None or number >= before[0] or life != before[1]:
            highest[front] = number, life
    return count


def _versions_in(value) -> list[tuple[int, int, bytes]]:
    """All [fence, count, digest] triples anywhere in a decoded body."""
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


def _version_messages(events):
    """(event, kind, decoded body) of each datagram that can contain versions."""
    for event in events:
        if event["ev"] != "peer-said":
            continue
        frame = read_datagram(bytes.fromhex(event["data"]))
        if frame is None or frame[7] not in (PING, ACK, DISTRIBUTION_KIND) or len(frame) < 13 or not frame[12]:
            continue
        try:
            yield event, frame[7], msgspec.msgpack.decode(frame[12])
        except msgspec.DecodeError:
            continue


def _forks(events, lives, examples: list[str]) -> int:
    digests: dict[VersionNumber, set[str]] = defaultdict(set)
    for _, _, body in _version_messages(events):
        for fence, count, digest in _versions_in(body):
            digests[fence, count].add(digest.hex()[:12])
    for event in events:
        if event["ev"] in ("live", "machine", "put") and event["version"] not in ("", SITE_FILE):
            digests[version_number(event["version"])].add(event["version"].rpartition("-")[2])
    marks = _marks(lives)
    forked = [number for number, held in digests.items() if len(held) > 1]
    examples += [f"number {number} has the digests {', '.join(sorted(digests[number]))}" for number in forked]
    conflicting = [version for version, held in marks.items() if len(held) > 1]
    examples += [f"{version} is in force with the marks {sorted(marks[version])}" for version in conflicting]
    return len(forked) + len(conflicting)


def _mixed_versions(events, lives, examples: list[str]) -> int:
    mixed = 0
    for event in lives:
        if len(set(event["marks"])) > 1:
            mixed += 1
            examples.append(f"{event['life']} has {event['version']} with the marks {sorted(set(event['marks']))}")
    marks = {version: next(iter(held)) for version, held in _marks(lives).items() if len(held) == 1}
    # an HTTP answer between two observations of one version has to show that version
    listener_events: dict[str, list[dict]] = defaultdict(list)
    for event in events:
        if event["ev"] == "door":
            listener_events[event["life"]].append(event)
    by_life: dict[str, list[dict]] = defaultdict(list)
    for event in lives:
        by_life[event["life"]].append(event)
    for life, observations in by_life.items():
        for before, after in itertools.pairwise(observations):
            if before["version"] != after["version"] or before["version"] not in marks:
                continue
            for answer in listener_events[life]:
                if (
                    before["at"] <= answer["asked"]
                    and answer["at"] <= after["asked"]
                    and set(answer["marks"]) != {marks[before["version"]]}
                ):
                    mixed += 1
                    examples.append(f"the HTTP listener of {life} shows {answer['marks']} with {before['version']} in force")
    return mixed


def _early(events, examples: list[str]) -> int:
    """Counts versions that were announced, or piggybacked on a probe, before a majority of the control machines had confirmed
    them. The writer's own store sends nothing over the wire; the writer itself counts for it."""
    stores = {event["front"] for event in events if event["ev"] == "machine"}
    majority = len(stores) // 2 + 1
    holders: dict[tuple, set[str]] = defaultdict(set)
    early = set()
    for event, kind, body in _version_messages(events):
        if kind == DISTRIBUTION_KIND and body[0] == STORE_STATE:
            holders[tuple(body[5])].add(event["front"])
        elif kind == DISTRIBUTION_KIND and body[0] == WRITER_TAKE:
            holders[tuple(body[3])].add(event["front"])
        elif kind in (PING, ACK) or body[0] == ANNOUNCE:
            for version in _versions_in(body):
                if len(holders[version]) < majority and version not in early:
                    early.add(version)
                    examples.append(
                        f"{event['front']} announced {version[0]}.{version[1]} when only {sorted(holders[version])} had it"
                    )
    return len(early)


def _unfounded(lives, puts, examples: list[str]) -> int:
    refused = {put["mark"] for put in puts if not put["ok"] and not put["unknown"]}
    shown = {(event["front"], event["marks"][0]) for event in lives if len(set(event["marks"])) == 1}
    found = sorted((front, mark) for front, mark in shown if mark in refused)
    examples += [f"{front} has mark {mark} in force, although that change was refused" for front, mark in found]
    return len(found)


def _fleet_status(events, lives) -> dict:
    """The last fleet status that each control machine reported, and the versions that the fronts themselves showed last."""
    last = {event["front"]: event["version"] for event in lives}
    reported = {}
    for event in events:
        if event["ev"] == "machine" and event["zones"]:
            zones = event["zones"]
            reported[event["front"]] = {
                "nodes": sum(zone["nodes"] for zone in zones),
                "at_newest": sum(zone["at_newest"] for zone in zones),
                "refusing": sum(zone["refusing"] for zone in zones),
                "lowest": min((zone["lowest"] for zone in zones), key=version_number),
            }
    return {"fronts": len(last), "in_force_at_end": sorted(set(last.values())), "told": reported}
