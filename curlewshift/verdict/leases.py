"""Judges from the media servers' traffic whether work that is to be done once was done by one front at a time.

Knows nothing of leases: it reads which front acted for which task when, with which number, and whether it was accepted. Called
by the rehearsal.
"""

from __future__ import annotations

import itertools
from collections import defaultdict

from curlewshift.verdict.verdict import KEPT_EXAMPLES

SECOND = 1_000_000_000
# An act that its front began rightly may arrive so much later.
ON_ITS_WAY = SECOND // 2


def judge_leases(events: list[dict]) -> dict:
    """`overlaps`: an accepted act of one front between accepted acts of another with a higher number, or two numbers at once;
    `outlived`: acts that were refused, but so long after a later tenure's first act, by a front that was not stopped meanwhile,
    that it still took itself for the holder; `refused_stale`: all acts that came too late and came to nothing;
    `longest_gap_s`: no act for a task, at the longest."""
    acts: dict[str, list[dict]] = defaultdict(list)
    stopped: dict[str, list[tuple[int, int]]] = defaultdict(list)
    goes_on = {event["front"]: [] for event in events if event["ev"] == "front-paused"}
    for event in events:
        if event["ev"] == "front-goes-on":
            goes_on[event["front"]].append(event["at"])
    for event in events:
        if event["ev"] == "front-paused":
            until = min((at for at in goes_on[event["front"]] if at >= event["at"]), default=2**63)
            stopped[event["front"]].append((event["at"], until))
    over = max((event["at"] for event in events if event["ev"] == "day-over"), default=2**63)
    for event in sorted(events, key=lambda event: event["at"]):
        if event["ev"] == "act" and event["at"] <= over:
            acts[event["lease"]].append(event)
    told = {
        "acts": 0,
        "handovers": 0,
        "overlaps": 0,
        "outlived": 0,
        "refused_stale": 0,
        "longest_gap_s": 0.0,
        "holders": 0,
        "examples": [],
    }
    fronts = set()
    for lease, rows in acts.items():
        accepted = [row for row in rows if row["accepted"]]
        told["acts"] += len(accepted)
        told["refused_stale"] += len(rows) - len(accepted)
        tenures: dict[int, list[dict]] = defaultdict(list)
        for row in accepted:
            tenures[row["number"]].append(row)
            fronts.add(row["front"])
        spans = sorted(
            (rows[0]["at"], rows[-1]["at"], number, {row["front"] for row in rows}) for number, rows in tenures.items()
        )
        told["handovers"] += max(0, len(spans) - 1)
        for _, _, number, holders in spans:
            if len(holders) > 1:
                told["overlaps"] += 1
                told["examples"].append(f"{lease}: {' and '.join(sorted(holders))} acted with one number {number}")
        for (_began, ended, number, holders), (after, _, later, others) in itertools.pairwise(spans):
            if after <= ended or later < number:
                told["overlaps"] += 1
                told["examples"].append(
                    f"{lease}: {'/'.join(others)} acted by {later} {(ended - after) / 1e6:.0f} ms before "
                    f"the last of {'/'.join(holders)} by {number}"
                )
        for row in rows:
            if not row["accepted"]:
                later = min((span[0] for span in spans if span[2] > row["number"]), default=row["at"])
                late = row["at"] - later
                if late > ON_ITS_WAY and not any(
                    since <= row["at"] and until >= row["at"] - ON_ITS_WAY
                    for since, until in stopped[row["front"].rpartition(".")[0]]
                ):
                    told["outlived"] += 1
                    told["examples"].append(
                        f"{lease}: {row['front']} still acted by {row['number']} {late / 1e6:.0f} ms after a later one had begun"
                    )
        times = [row["at"] for row in accepted]
        told["longest_gap_s"] = max([told["longest_gap_s"], *((b - a) / SECOND for a, b in itertools.pairwise(times))])
    told["longest_gap_s"], told["holders"] = round(told["longest_gap_s"], 2), len(fronts)
    told["examples"] = told["examples"][:KEPT_EXAMPLES]
    return told


def judge_orphans(events: list[dict]) -> dict:
    """Sessions that were up at a running server when the life of the front that had them was killed, and that nobody took up:
    how long they stood on after that (s; those that stood to the end of the day count as standing until then)."""
    killed = {event["life"]: event["at"] for event in events if event["ev"] == "front-down" and event["how"] == "killed"}
    taken = {event["session"] for event in events if event["ev"] == "adopted"}
    ends = {event["session"]: event["at"] for event in events if event["ev"] == "session-end"}
    died = {(event["server"], event["boot"]): event["at"] for event in events if event["ev"] == "dead"}
    over = max(
        (event["at"] for event in events if event["ev"] == "day-over"), default=max((event["at"] for event in events), default=0)
    )
    stood = []
    for event in events:
        if event["ev"] == "session" and event["front"] in killed and event["session"] not in taken:
            since = killed[event["front"]]
            until = min(ends.get(event["session"], over), died.get((event["server"], event["boot"]), over), over)
            if event["at"] <= since < until:
                stood.append((until - since) / SECOND)
    stood.sort()
    return {
        "left": len(stood),
        "seconds": round(sum(stood), 1),
        "median_s": round(stood[len(stood) // 2], 2) if stood else 0.0,
        "longest_s": round(stood[-1], 2) if stood else 0.0,
    }
