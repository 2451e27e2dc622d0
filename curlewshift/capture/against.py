"""Compares the placings of a capture with those of another policy: a baseline, or an earlier revision of the rules.

The capture is replayed by the current rules, so that both policies decide each placing in the state in which it was made. The
decision of the other policy is only counted and never carried out, so a difference is never the result of an earlier one. How
the other policy performs over a day is a question for the emulator.
"""

from __future__ import annotations

import subprocess
import types
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from curlewshift.baselines.baselines import BASELINES
from curlewshift.rules import Rules

ROOT = Path(__file__).resolve().parents[2]
# A revision's rules are loaded as a module with this prefix and the revision as its name.
MODULE_PREFIX = "rules at "
MAX_EXAMPLES = 10


class NoSuchPolicy(Exception):
    """The name is neither a baseline's nor that of a revision with rules, or the revision's rules cannot run on the objects of
    this version; the text says which."""


@dataclass(slots=True)
class Compared:
    """How the placings of a capture differ: `kinds` counts the kinds of differences, `examples` describes the first ones."""

    placings: int = 0
    kinds: Counter = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)


def policy(name: str) -> type[Rules]:
    """A baseline by its name, or the rules as they were at a revision of this project. Raises `NoSuchPolicy`."""
    if name in BASELINES:
        return BASELINES[name]
    if not name or name.startswith("-"):
        raise NoSuchPolicy(f"{name!r} is no revision")
    shown = subprocess.run(["git", "-C", str(ROOT), "show", f"{name}:curlewshift/rules.py"], capture_output=True, text=True)
    if shown.returncode:
        raise NoSuchPolicy(f"{name!r} is neither a baseline ({', '.join(BASELINES)}) nor a revision with rules")
    module = types.ModuleType(f"{MODULE_PREFIX}{name}")
    try:
        exec(compile(shown.stdout, f"{name}:curlewshift/rules.py", "exec"), module.__dict__)
    except ImportError as error:
        raise NoSuchPolicy(f"the rules of {name} import names that this version no longer has: {error}") from None
    return module.Rules


def asked_of(other: type[Rules], compared: Compared) -> type[Rules]:
    """The current rules, which count in `compared`, at each placing, what `other` would have decided in the same state. Placing
    raises `NoSuchPolicy` if `other` uses names that the objects of this version do not have."""

    class Shadow(other):
        """Notes the decision of `other`, and sends nothing."""

        def _tune_in(self, viewing, server, rung):
            self.shadow_placing = (server.name, rung)

        def _block(self, viewing):
            self.shadow_placing = None

    class Asked(Rules):
        shadow_placing: tuple | None = None
        aside = False

        def _place(self, viewing):
            rng, self.chance = self.chance, Random(len(compared.kinds) + compared.placings)
            state = {name: getattr(self, name) for name in ("unproven_left", "unproven_at")}
            decided, sent = (viewing.rung, viewing.ended), [(server, list(server.sent)) for server in viewing.holders]
            self.__class__, self.shadow_placing = Shadow, None
            try:
                other._place(self, viewing)
                shadow_placing = self.shadow_placing
            except (AttributeError, TypeError) as error:
                revision = other.__module__.removeprefix(MODULE_PREFIX)
                raise NoSuchPolicy(f"the rules of {revision} use names that this version no longer has: {error}") from error
            finally:
                self.__class__, self.chance = Asked, rng
                viewing.rung, viewing.ended = decided
                for name, value in state.items():
                    setattr(self, name, value)
                for server, times in sent:
                    server.sent = times
            self.own_placing = None
            super()._place(viewing)
            compared.placings += 1
            kind = difference_of(self.own_placing, shadow_placing)
            compared.kinds[kind] += 1
            if kind != "the same" and len(compared.examples) < MAX_EXAMPLES:
                compared.examples.append(
                    f"at {(self.host.now() - self.started_at) / 1e9:.3f} s viewing {viewing.name} of "
                    f"{viewing.title!r}: {describe(self.own_placing)} here, {describe(shadow_placing)} there"
                )

        def _tune_in(self, viewing, server, rung):
            self.own_placing = (server.name, rung)
            super()._tune_in(viewing, server, rung)

    return Asked


def difference_of(own: tuple | None, other: tuple | None) -> str:
    """How two placings (server, rung) of one viewing differ; None is a refusal. `own` is that of the current rules."""
    if own == other:
        return "the same"
    if own is None:
        return "refused here, sent there"
    if other is None:
        return "sent here, refused there"
    return "another server" if own[0] != other[0] else "another rung"


def describe(placing: tuple | None) -> str:
    """A placing, or a refusal, for people."""
    return "refused" if placing is None else f"{placing[0]} on rung {placing[1]}"
