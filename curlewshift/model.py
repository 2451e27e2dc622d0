"""Plain types that the rules work on. They hold facts and running accounts, and decide nothing.

Times are whole nanoseconds, rates are kB a second. Ids (`name`) are for the door alone: the
rules hold the objects themselves.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """How a tune-in, or a viewing that played, came to its end."""

    PLAYED = "played"
    ERROR = "error"
    FULL = "full"
    SILENT = "silent"
    UNREACHED = "unreached"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


@dataclass(eq=False, slots=True)
class Package:
    name: str
    value: float
    join_target: int
    patience: int
    paid_at_setup: bool
    rates: tuple[float, ...]
    floor: int
    top: int
    seats: int


@dataclass(eq=False, slots=True)
class Link:
    """A server's link or a rack's uplink, by this front's own account."""

    size: float
    own: float = 0.0
    own_squares: float = 0.0
    others: float = 0.0
    usual: float = 0.0
    told: bool = False
    told_at: int = 0
    fresh: float = 0.0
    swing: float = 0.0
    aged_at: int = 0
    owed: float = 0.0
    relieved_at: int = 0
    missing: float = 0.0
    missing_at: int = 0
    climbs_from: int = 0
    playing: dict = field(default_factory=dict)
    # what the other fronts say that they use together, when that was, and what reports show beyond it
    counted: float = 0.0
    counted_at: int = 0
    strange: float = 0.0
    # room that this front keeps free, by the package it is kept for (kB a second); the host's to set
    holds: dict = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class Rack:
    number: int
    link: Link
    servers: list = field(default_factory=list)
    name: str = ""


@dataclass(eq=False, slots=True)
class Server:
    name: str
    mark: int
    zone: str
    streams: int
    rack: Rack
    link: Link
    started: int = 0
    open: bool = True
    # what this front saw of it
    cold_until: int = 0
    unproven_until: int = 0
    failed: bool = False
    sent: list = field(default_factory=list)
    out: int = 0
    out_cap: int = 0
    heard_at: int = 0
    gaps: int = 0
    gap: float = 0.0
    gap_off: float = 0.0
    trouble: float = 0.0
    trouble_at: int = 0
    full_until: int = 0
    asking: list = field(default_factory=list)
    # what fronts that share have made of it: the set-ups of its cold pace in a window that are in this front's hands, each
    # with from and until when (None: nothing is shared), when more were last wanted, and whether others' evidence is
    # against it
    rights: list | None = None
    wanted_at: int = 0
    doubted: bool = False


@dataclass(eq=False, slots=True)
class Viewing:
    name: int
    title: str
    mark: int
    package: Package
    ceiling: int
    asked_at: int
    expires: int
    # the servers that hold the title; the host keeps it true while the viewing waits
    holders: Iterable
    expected: int = 0
    came_back: bool = False
    moved: bool = False
    # its course at this front
    server: Server | None = None
    rung: int = 0
    playing: bool = False
    over: bool = False
    tune_ins: int = 0
    asked: int = 0
    may_have_run: bool = False
    tried: list = field(default_factory=list)
    # servers where an attempt of it has been given up and may not have ended yet; the host keeps it true
    unconfirmed: Container[Server] = ()
    # when its latest attempt past the first was decided, or left since
    further_at: int = 0
    turn: int = 0
    changed_at: int = 0
    held_rate: float = 0.0


@dataclass(slots=True)
class Listed:
    """One line of the server list as discovery tells it."""

    server: Server
    open: bool
    started: int


@dataclass(eq=False, slots=True)
class Terms:
    """What the deployment states to a front that starts."""

    now: int
    seed: int
    me: int
    fronts: int
    packages: list[Package]
    racks_told: bool
    told_late: int
    max_tune_ins: int
    probes: bool
    longest_wait: int
    warm_within: int
    start_capacity: float
    fall_multiple: float
    fall_within: int
    free_further: float | None
    further_share: float
    look_back: int
