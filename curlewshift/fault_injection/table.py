"""Verdicts as tables for people."""

from __future__ import annotations

from rich.table import Table

RULES = {
    "1": "each request answered once, in time",
    "2": "no set-up made twice",
    "3": "drains kept",
    "4": "pace of cold servers kept",
    "5": "floors and seats kept",
    "6": "further tune-ins within budget",
}


def verdict_tables(verdict: dict) -> list[Table]:
    """Returns one table of counts and one of the rules."""
    counts = Table(title="requests and sessions")
    counts.add_column("")
    counts.add_column("count", justify="right")
    for name in (
        "requests",
        "answers",
        "duplicates",
        "unanswered",
        "late",
        "tune_ins_per_request_max",
        "torn_down",
        "left_standing",
        "recovered",
        "orphans_left",
        "service",
    ):
        counts.add_row(name.replace("_", " "), str(verdict[name]))
    for name in ("left", "looked_at", "late", "latest_ms", "says"):
        counts.add_row("attempts after leaving: " + name.replace("_", " "), str(verdict["attempts_after_leaving"][name]))
    for name in ("false_gone", "not_forgotten", "old_life_taken", "malformed_taken", "agreed_after_s", "detected_periods_p99"):
        if "members" in verdict:
            counts.add_row("members: " + name.replace("_", " "), str(verdict["members"][name]))
    for name in ("checked", "overdrawn", "used_share"):
        if "bounds" in verdict:
            counts.add_row("bounds: " + name.replace("_", " "), str(verdict["bounds"][name]))
    for name in ("acts", "handovers", "overlaps", "outlived", "refused_stale", "longest_gap_s"):
        if "leases" in verdict:
            counts.add_row("leases: " + name.replace("_", " "), str(verdict["leases"][name]))
    for name in ("versions", "in_force_p99_s", "regressions", "forks", "half", "early", "unfounded", "bad_taken"):
        if "configuration" in verdict:
            counts.add_row("configuration: " + name.replace("_", " "), str(verdict["configuration"][name]))
    for name in ("refused", "out_of_order", "asks_a_viewing", "storm_over_s", "came_together", "went_round"):
        if "shed" in verdict:
            counts.add_row("shed: " + name.replace("_", " "), str(verdict["shed"][name]))
    rules = Table(title="rules, judged from the sockets of stand-ins and viewers")
    for name in ("rule", "", "applied", "broken", "verdict"):
        rules.add_column(name)
    for number, rule in verdict["rules"].items():
        result = "not tried" if not rule["tried"] else "BROKEN" if rule["broken"] else "kept"
        rules.add_row(number, RULES[number], str(rule["applied"]), str(rule["broken"]), result)
        for example in rule["examples"]:
            rules.add_row("", f"  {example}", "", "", "")
    return [counts, rules]
