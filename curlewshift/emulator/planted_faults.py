"""Planted faults of emulated fronts that change the session core, the rules or the terms.

The names are those of the planted faults of a fault injection run. The other faults are built into `EmulatedFront`.
"""

from __future__ import annotations

from dataclasses import replace

from curlewshift.front.planted_faults import IgnoreDrain, LostTeardown, PushCold, ResendPaid, SessionCoreIgnoringLeavers
from curlewshift.model import Terms
from curlewshift.rules import Rules
from curlewshift.session_core.session_core import SessionCore

NAMES = (
    "lose-answer",
    "answer-twice",
    "resend-paid",
    "ignore-drain",
    "push-cold",
    "under-floor",
    "over-seats",
    "overspend-budget",
    "double-tune-in",
    "lost-teardown",
    "leave-orphans",
)


def with_fault(fault: str, terms: Terms, rules: type[Rules]) -> tuple[type[SessionCore], type[Rules], Terms]:
    """Session core class, rules and terms of a front that has this fault."""
    session_core = {"ignore-drain": SessionCoreIgnoringLeavers, "lost-teardown": LostTeardown}.get(fault, SessionCore)
    rules = {"resend-paid": ResendPaid, "ignore-drain": IgnoreDrain, "push-cold": PushCold}.get(fault, rules)
    replaced_fields = {"under-floor": {"floor": 0}, "over-seats": {"seats": 0}}.get(fault)
    if replaced_fields:
        terms = replace(terms, packages=[replace(package, **replaced_fields) for package in terms.packages])
    if fault == "overspend-budget":
        terms = replace(terms, free_further=None, max_tune_ins=50)
    return session_core, rules, terms
