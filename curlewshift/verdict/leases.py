"""Judges from the media servers' traffic whether work that is to be done once was done by one front at a time.

Knows nothing of leases: it reads which front acted for which task when, with which number, and whether it was accepted. Called
by the rehearsal.
"""

from __future__ import annotations

from collections import defaultdict

from curlewshift.verdict.verdict import KEPT_EXAMPLES

SECOND = 1_000_000_000


def judge_leases(events: list[dict]) -> dict:
    """`overlaps`: an accepted act of one front between accepted acts of another with a higher number, or two numbers at once;
    `refused_stale`: acts that came too late and came to nothing; `longest_gap_s`: no act for a task, at the longest."""
    acts: dict[str, list[dict]] = defaultdict(list)
    over = max((event["at"] for event in events if event["ev"] == "day-over"), default=2**63)
    for event in sorted(events, key=lambda event: event["at"]):
        if event["ev"] == "act" and event["at"] <= over:
            acts[event["lease"]].append(event)
    told = {"acts": 0, "handovers": 0, "overlaps": 0, "refused_stale": 0, "longest_gap_s": 0.0, "holders": 0, "examples": []}
    fronts = set()
    for lease, rows in acts.items():
        accepted = [row for row in rows if row["accepted"]]
        told["acts"] += len(accepted)
        told["refused_stale"] += len(rows) - len(accepted)
        tenures: dict[int, list[dict]] = defaultdict(list)
        for row in accepted:
            tenures[row["number"]].append(row)
            fronts.add(row["front"])
        spans = sorted((rows[0]["at"], rows[-1]["at"], number, {row["front"] for row in rows})
                       for number, rows in tenures.items())
        told["handovers"] += max(0, len(spans) - 1)
        for _, _, number, holders in spans:
            if len(holders) > 1:
                told["overlaps"] += 1
                told["examples"].append(f"{lease}: {' and '.join(sorted(holders))} acted with one number {number}")
        for (began, ended, number, holders), (after, _, later, others) in zip(spans, spans[1:]):
            if after <= ended or later < number:
                told["overlaps"] += 1
                told["examples"].append(f"{lease}: {'/'.join(others)} acted by {later} {(ended - after) / 1e6:.0f} ms before "
                                        f"the last of {'/'.join(holders)} by {number}")
        times = [row["at"] for row in accepted]
        told["longest_gap_s"] = max([told["longest_gap_s"], *((b - a) / SECOND for a, b in zip(times, times[1:]))])
    told["longest_gap_s"], told["holders"] = round(told["longest_gap_s"], 2), len(fronts)
    told["examples"] = told["examples"][:KEPT_EXAMPLES]
    return told
