"""Another policy, or an earlier version of the rules, asked at each placing of a capture what it would have done.

The capture is replayed by the rules that serve, so that each placing is looked at in the state in which it was made;
the other one only says where it would have sent the viewing, and what it says changes nothing. So each difference is
its own, and not an echo of an earlier one. What it would have come to over a day is a question for an emulator.
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
KEPT_EXAMPLES = 10


class NoSuchPolicy(Exception):
    """It is neither a baseline nor a revision that has rules; its text says so."""


@dataclass(slots=True)
class Compared:
    """How the placings of a capture differ: `kinds` counts them, `examples` tells the first in words."""

    placings: int = 0
    kinds: Counter = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)


def policy(name: str) -> type[Rules]:
    """A baseline by its name, or the rules as they were at a revision of this project. Raises `NoSuchPolicy`."""
    if name in BASELINES:
        return BASELINES[name]
    if not name or name.startswith("-"):
        raise NoSuchPolicy(f"{name!r} is no revision")
    told = subprocess.run(["git", "-C", str(ROOT), "show", f"{name}:curlewshift/rules.py"], capture_output=True, text=True)
    if told.returncode:
        raise NoSuchPolicy(f"{name!r} is neither a baseline ({', '.join(BASELINES)}) nor a revision with rules")
    module = types.ModuleType(f"rules at {name}")
    try:
        exec(compile(told.stdout, f"{name}:curlewshift/rules.py", "exec"), module.__dict__)
    except ImportError as wrong:
        raise NoSuchPolicy(f"the rules of {name} need what is there no more: {wrong}") from None
    return module.Rules


def asked_of(other: type[Rules], compared: Compared) -> type[Rules]:
    """The rules that serve, and at each placing what `other` would have done in the same state."""

    class Shadow(other):
        """Says where it would send, and sends nothing."""

        def _tune_in(self, viewing, server, rung):
            self.said = (server.name, rung)

        def _block(self, viewing):
            self.said = None

    class Asked(Rules):
        said: tuple | None = None
        aside = False

        def _place(self, viewing):
            chance, self.chance = self.chance, Random(len(compared.kinds) + compared.placings)
            state = {name: getattr(self, name) for name in ("unproven_left", "unproven_at")}
            held, sent = (viewing.rung, viewing.ended), [(server, list(server.sent)) for server in viewing.holders]
            self.__class__, self.said = Shadow, None
            try:
                other._place(self, viewing)
                would = self.said
            finally:
                self.__class__, self.chance = Asked, chance
                viewing.rung, viewing.ended = held
                for name, value in state.items():
                    setattr(self, name, value)
                for server, times in sent:
                    server.sent = times
            self.done = None
            super()._place(viewing)
            compared.placings += 1
            kind = kind_of(self.done, would)
            compared.kinds[kind] += 1
            if kind != "the same" and len(compared.examples) < KEPT_EXAMPLES:
                compared.examples.append(
                    f"at {(self.host.now() - self.started_at) / 1e9:.3f} s viewing {viewing.name} of "
                    f"{viewing.title!r}: {in_words(self.done)} here, {in_words(would)} there"
                )

        def _tune_in(self, viewing, server, rung):
            self.done = (server.name, rung)
            super()._tune_in(viewing, server, rung)

    return Asked


def kind_of(done: tuple | None, would: tuple | None) -> str:
    """How two placings of one viewing differ, in a word or two."""
    if done == would:
        return "the same"
    if done is None:
        return "refused here, sent there"
    if would is None:
        return "sent here, refused there"
    return "another server" if done[0] != would[0] else "another rung"


def in_words(placed: tuple | None) -> str:
    """A placing, or a refusal, for people."""
    return "refused" if placed is None else f"{placed[0]} on rung {placed[1]}"
