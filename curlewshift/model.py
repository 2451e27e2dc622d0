"""Plain data types that the policy (curlewshift/rules.py) works on. They hold state and decide nothing.

Times are integers in nanoseconds, rates are in kB/s. Names identify objects only towards clients, servers and lists; the
rules refer to the objects themselves.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """How a tune-in (one set-up attempt at one server) or a viewing that played has ended."""

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
    """A service class. Rungs (quality layers) are indices into `rates`; `seats` is per title, 0 for no limit."""

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
    """A server's link or a rack's uplink, as this front estimates its use (kB/s)."""

    size: float
    # the rates of this front's viewings: their sum and the sum of their squares
    own: float = 0.0
    own_rate_squares: float = 0.0
    # use by other fronts, by the latest reports, and what it usually is on links of this kind
    others: float = 0.0
    usual: float = 0.0
    # whether its load was ever reported, and when last
    reported: bool = False
    reported_at: int = 0
    # decaying: own changes that reports do not show yet, and how other fronts are expected to react to the same reports
    unreported: float = 0.0
    others_reaction: float = 0.0
    decayed_at: int = 0
    # rate that this front still has to take off after short delivery, and when it last did
    reduction_due: float = 0.0
    relieved_at: int = 0
    # the share of the rates that is not delivered, when that was noted, and when viewings may climb again
    missing_share: float = 0.0
    missing_at: int = 0
    climbs_from: int = 0
    # this front's viewings that play on it, used as an ordered set
    playing: dict = field(default_factory=dict)
    # what the other fronts count that they use together, when that was, and the use in reports that no front accounts for
    counted: float = 0.0
    counted_at: int = 0
    unaccounted: float = 0.0
    # room that is kept free for announced peaks, by package (kB/s); set by the host
    holds: dict = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class Rack:
    """Servers that share an uplink."""

    number: int
    link: Link
    servers: list = field(default_factory=list)
    name: str = ""


@dataclass(eq=False, slots=True)
class Server:
    """A media server. `streams` is the number of viewings that it can play at once."""

    name: str
    placement_hash: int
    zone: str
    streams: int
    rack: Rack
    link: Link
    started: int = 0
    open: bool = True
    # what this front has observed: until when it is cold or not proven warm, whether it failed since its last answer,
    # when attempts were sent to it, how many are outstanding and how many may be
    cold_until: int = 0
    unproven_until: int = 0
    failed: bool = False
    sent: list = field(default_factory=list)
    outstanding: int = 0
    max_outstanding: int = 0
    # its latest report or answer, and the gaps between them: number, mean and mean deviation
    last_seen_at: int = 0
    gap_count: int = 0
    mean_gap: float = 0.0
    gap_deviation: float = 0.0
    # decaying fault score, and when it was last raised
    fault_score: float = 0.0
    fault_at: int = 0
    full_until: int = 0
    # viewings that wait for the answer to a probe of it
    awaiting_probe: list = field(default_factory=list)
    # where fronts share budgets: this front's rights to set-ups within the server's pace while cold, as (from, until,
    # count), None if not shared; when more were last needed; and whether evidence of other fronts is against the server
    rights: list | None = None
    rights_wanted_at: int = 0
    doubted: bool = False


@dataclass(eq=False, slots=True)
class Viewing:
    """A client's session as the policy sees it."""

    name: int
    title: str
    placement_hash: int
    package: Package
    ceiling: int
    requested_at: int
    expires: int
    # the servers that hold the title, kept up to date by the host while the viewing waits
    holders: Iterable
    expected: int = 0
    came_back: bool = False
    moved: bool = False
    # its state at this front
    server: Server | None = None
    rung: int = 0
    playing: bool = False
    ended: bool = False
    tune_ins: int = 0
    # probes whose answers it waits for
    probes_out: int = 0
    may_have_run: bool = False
    tried: list = field(default_factory=list)
    # servers where an abandoned attempt of it may not have ended yet, kept up to date by the host
    unconfirmed: Container[Server] = ()
    # when its latest further tune-in was decided or, once sent, was sent
    further_at: int = 0
    # steps down less climbs
    steps_down: int = 0
    changed_at: int = 0
    # the rate that is counted for it on its links
    held_rate: float = 0.0


@dataclass(slots=True)
class ListedServer:
    """One line of the server list as discovery publishes it."""

    server: Server
    open: bool
    started: int


@dataclass(eq=False, slots=True)
class Terms:
    """The terms of a deployment that a front starts with."""

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
