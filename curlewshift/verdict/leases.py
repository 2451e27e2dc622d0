"""Checks, from the media servers' traffic, that each fleet-wide task was done by one front at a time.

Independent of the implementation of leases: reads which front acted for which task at what time, with which fence (fencing token,
`number`), and whether the act was accepted. Called by the rehearsal.
"""

from __future__ import annotations

import itertools
from collections import defaultdict

from curlewshift.verdict.verdict import MAX_EXAMPLES

SECOND = 1_000_000_000
# Maximum time (ns) that an act sent within its tenure may take to arrive.
MAX_TRANSIT = SECOND // 2


def judge_leases(events: list[dict]) -> dict:
    """`overlaps`: an accepted act of one front between accepted acts of another with a higher fence, or two fronts with the same
    fence. `outlived`: refused acts so long after the first act of a later tenure, by a front that was not stopped meanwhile, that
    the front must still have considered itself the holder. `refused_stale`: all acts refused as too late. `longest_gap_s`:
    longest time without an act for a task."""
    acts: dict[str, list[dict]] = defaultdict(list)
    stopped: dict[str, list[tuple[int, int]]] = defaultdict(list)
    resumed_at = {event["front"]: [] for event in events if event["ev"] == "front-paused"}
    for event in events:
        if event["ev"] == "front-goes-on":
            resumed_at[event["front"]].append(event["at"])
    for event in events:
        if event["ev"] == "front-paused":
            until = min((at for at in resumed_at[event["front"]] if at >= event["at"]), default=2**63)
            stopped[event["front"]].append((event["at"], until))
    run_end = max((event["at"] for event in events if event["ev"] == "day-over"), default=2**63)
    for event in sorted(events, key=lambda event: event["at"]):
        if event["ev"] == "act" and event["at"] <= run_end:
            acts[event["lease"]].append(event)
    result = {
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
        result["acts"] += len(accepted)
        result["refused_stale"] += len(rows) - len(accepted)
        tenures: dict[int, list[dict]] = defaultdict(list)
        for row in accepted:
            tenures[row["number"]].append(row)
            fronts.add(row["front"])
        spans = sorted(
            (rows[0]["at"], rows[-1]["at"], number, {row["front"] for row in rows}) for number, rows in tenures.items()
        )
        result["handovers"] += max(0, len(spans) - 1)
        for _, _, number, holders in spans:
            if len(holders) > 1:
                result["overlaps"] += 1
                result["examples"].append(f"{lease}: {' and '.join(sorted(holders))} acted with the same fence {number}")
        for (_began, ended, number, holders), (after, _, later, others) in itertools.pairwise(spans):
            if after <= ended or later < number:
                result["overlaps"] += 1
                result["examples"].append(
                    f"{lease}: {'/'.join(others)} acted with fence {later} {(ended - after) / 1e6:.0f} ms before "
                    f"the last act of {'/'.join(holders)} with fence {number}"
                )
        for row in rows:
            if not row["accepted"]:
                later = min((span[0] for span in spans if span[2] > row["number"]), default=row["at"])
                late = row["at"] - later
                if late > MAX_TRANSIT and not any(
                    since <= row["at"] and until >= row["at"] - MAX_TRANSIT
                    for since, until in stopped[row["front"].rpartition(".")[0]]
                ):
                    result["outlived"] += 1
                    result["examples"].append(
                        f"{lease}: {row['front']} acted with fence {row['number']} {late / 1e6:.0f} ms after a later tenure began"
                    )
        times = [row["at"] for row in accepted]
        result["longest_gap_s"] = max([result["longest_gap_s"], *((b - a) / SECOND for a, b in itertools.pairwise(times))])
    result["longest_gap_s"], result["holders"] = round(result["longest_gap_s"], 2), len(fronts)
    result["examples"] = result["examples"][:MAX_EXAMPLES]
    return result


def judge_orphans(events: list[dict]) -> dict:
    """Measures sessions that no front adopted after the life of their front (one run of its process) was killed: how long they
    remained at a running server (s; at most until the end of the run)."""
    killed = {event["life"]: event["at"] for event in events if event["ev"] == "front-down" and event["how"] == "killed"}
    adopted = {event["session"] for event in events if event["ev"] == "adopted"}
    ends = {event["session"]: event["at"] for event in events if event["ev"] == "session-end"}
    server_deaths = {(event["server"], event["boot"]): event["at"] for event in events if event["ev"] == "dead"}
    run_end = max(
        (event["at"] for event in events if event["ev"] == "day-over"), default=max((event["at"] for event in events), default=0)
    )
    standing_s = []
    for event in events:
        if event["ev"] == "session" and event["front"] in killed and event["session"] not in adopted:
            since = killed[event["front"]]
            until = min(
                ends.get(event["session"], run_end), server_deaths.get((event["server"], event["boot"]), run_end), run_end
            )
            if event["at"] <= since < until:
                standing_s.append((until - since) / SECOND)
    standing_s.sort()
    return {
        "left": len(standing_s),
        "seconds": round(sum(standing_s), 1),
        "median_s": round(standing_s[len(standing_s) // 2], 2) if standing_s else 0.0,
        "longest_s": round(standing_s[-1], 2) if standing_s else 0.0,
    }
