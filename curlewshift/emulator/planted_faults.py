"""The rehearsal's spoilt fronts once more, as far as they are not the emulated front's own business."""

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


def wronged(wrong: str, terms: Terms, rules: type[Rules]) -> tuple[type[SessionCore], type[Rules], Terms]:
    """Desk, rules and terms of a front that has this fault."""
    session_core = {"ignore-drain": SessionCoreIgnoringLeavers, "lost-teardown": LostTeardown}.get(wrong, SessionCore)
    rules = {"resend-paid": ResendPaid, "ignore-drain": IgnoreDrain, "push-cold": PushCold}.get(wrong, rules)
    changed = {"under-floor": {"floor": 0}, "over-seats": {"seats": 0}}.get(wrong)
    if changed:
        terms = replace(terms, packages=[replace(package, **changed) for package in terms.packages])
    if wrong == "overspend-budget":
        terms = replace(terms, free_further=None, max_tune_ins=50)
    return session_core, rules, terms
