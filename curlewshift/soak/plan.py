"""Generates a complete trial from one seed: the deployment, its processes, and the faults with their times. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

# The settings may name service classes freely: the program must not depend on any of these names.
CLASS_NAMES = ("lesson-play", "clip-check", "receipt-clip", "x-ray", "a", "briefing")
# SIGKILL follows SIGTERM after the longest deadline of the classes, counted up to the first of these, plus the second.
MAX_COUNTED_DEADLINE_MS, KILL_DELAY_AFTER_DEADLINE_MS = 3000, 700
MEDIA_FAULTS = (
    "hang",
    "cut",
    "lost-answers",
    "lost-requests",
    "reset",
    "accept-late",
    "close-after-accept",
    "close-after-first-byte",
    "spoilt",
    "doubled",
    "late-answers",
    "single-bytes",
    "refusals",
    "errors",
    "slow",
)
LIST_FAULTS = ("drain", "replace", "gone")
DISCOVERY_FAULTS = (
    "discovery-silent",
    "discovery-refused",
    "discovery-stalled",
    "discovery-half-frame",
    "discovery-closes",
    "discovery-slow",
)
PROCESS_FAULTS = ("shutdown", "shutdown-with-hup", "kill", "reconfigure")
CLIENT_FAULTS = ("crowd", "garbage", "slow-requests", "double-id", "never-read", "hurried")
# Faults whose places are nodes; the places of the others are addresses of media servers.
NODE_FAULTS = DISCOVERY_FAULTS + PROCESS_FAULTS + CLIENT_FAULTS
ALL_FAULTS = MEDIA_FAULTS + LIST_FAULTS + DISCOVERY_FAULTS + PROCESS_FAULTS + CLIENT_FAULTS
FAULTS_PER_S = 1.3
# Media server faults that leave an attempt open without any response: drawn as often as all of MEDIA_FAULTS together.
SILENT_MEDIA_FAULTS = ("hang", "hang", "slow", "cut", "lost-answers", "lost-requests")
# Kinds of fault by family, with the relative weight at which the family is drawn.
FAULT_FAMILIES = (
    (MEDIA_FAULTS, 4),
    (SILENT_MEDIA_FAULTS, 4),
    (LIST_FAULTS, 3),
    (DISCOVERY_FAULTS, 3),
    (PROCESS_FAULTS, 3),
    (CLIENT_FAULTS, 2),
)


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A service class of the settings. `effect` tells whether a set-up may run twice: only if it is "safe"."""

    name: str
    effect: str
    aim_ms: int
    deadline_ms: int
    floor: int
    seats: int


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault that begins `at_s` seconds into the trial, lasts `lasts_s`, and affects `places`: numbers of server addresses or
    of nodes (NODE_FAULTS)."""

    kind: str
    at_s: float
    lasts_s: float
    places: tuple[int, ...] = ()


@dataclass(slots=True)
class Plan:
    """All parameters of a trial; stored in plan.json under the names of the fields."""

    seed: int
    seconds: float
    nodes: int
    slots: int
    cells: int
    copies: int
    classes: list[ServiceClass]
    rates_kb: list[float]
    requests_per_node_s: float
    descriptors: int
    streams_per_connection: int
    idle_close_ms: int
    connect_timeout_ms: int
    max_attempts: int
    probes: bool
    grace_ms: int
    warm_within_ms: int
    start_capacity: float
    fall_multiple: float
    fall_ms: int
    streams: int
    budget: tuple[int, float, int] | None
    # upper bound of the delay in either direction that a connection to a media server adds, seconds; drawn per connection
    skew_s: float
    # probability that a server confirms a release
    says_heard: float
    faults: list[Fault] = field(default_factory=list)

    @property
    def kill_after_s(self) -> float:
        """Minimum time from SIGTERM to SIGKILL."""
        longest = max(service.deadline_ms for service in self.classes)
        return (min(longest, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_AFTER_DEADLINE_MS) / 1000 + 0.05

    def settings(self, number: int) -> dict:
        """The `settings` of a node's configuration file, in the specified format."""
        obligations = dict(
            drain_grace_ms=self.grace_ms,
            warm_within_ms=self.warm_within_ms,
            start_capacity=self.start_capacity,
            fall_multiple=self.fall_multiple,
            fall_ms=self.fall_ms,
            answer_slack_ms=50,
        )
        if self.budget is not None:
            obligations.update(free_resends=self.budget[0], budget_share=self.budget[1], look_back_ms=self.budget[2])
        return dict(
            balancers=self.nodes,
            my_number=number,
            areas=["room"],
            az="room",
            flavors=["box"],
            classes=[
                dict(
                    name=service.name,
                    effect=service.effect,
                    gain=1.0,
                    goal_time_ms=service.aim_ms,
                    give_up_ms=service.deadline_ms,
                )
                for service in self.classes
            ],
            bounds=dict(
                connect_timeout_ms=self.connect_timeout_ms,
                idle_close_ms=self.idle_close_ms,
                cancel=True,
                parallel_tries=False,
                max_attempts=self.max_attempts,
                retry_after=True,
                max_retry_after_ms=2000,
                streams_per_conn=self.streams_per_connection,
                probes=self.probes,
            ),
            extra=dict(
                cells=self.cells,
                cabinets=2,
                kb_per_weight=40_000.0,
                rack_kb=1e6,
                rung_kb=self.rates_kb,
                floor_by_class=[service.floor for service in self.classes],
                top_by_class=[len(self.rates_kb) - 1] * len(self.classes),
                class_seats=[service.seats for service in self.classes],
                kind_streams=[self.streams],
                told_every_ms=1000,
                told_late_ms=200,
            ),
            telemetry=dict(fields=["x0"], how="inline"),
            obligations=obligations,
        )


def make_plan(seed: int, seconds: float, only: tuple[str, ...] = ()) -> Plan:
    """The plan of one seed; if `only` is not empty, faults of other kinds are left out."""
    rng = Random(seed)
    names = rng.sample(CLASS_NAMES, rng.choice((2, 2, 3)))
    classes = [_draw_service_class(rng, name, number) for number, name in enumerate(names)]
    slots = rng.choice((3, 4, 6, 8, 13, 20))
    plan = Plan(
        seed=seed,
        seconds=seconds,
        nodes=rng.choice((2, 2, 3, 4, 6)),
        slots=slots,
        cells=min(slots, rng.choice((3, 4, 8))),
        copies=rng.choice((1, 1, 2, 3)),
        classes=classes,
        rates_kb=sorted(rng.sample(range(100, 3000), rng.choice((1, 3, 5)))),
        requests_per_node_s=rng.choice((8.0, 15.0, 25.0)),
        descriptors=rng.choice((160, 256, 512)),
        streams_per_connection=rng.choice((1, 4, 32)),
        idle_close_ms=rng.choice((1000, 1000, 30_000)),
        connect_timeout_ms=rng.choice((250, 250, 500)),
        max_attempts=rng.choice((2, 3, 5, 5)),
        probes=rng.random() < 0.7,
        grace_ms=rng.choice((250, 1000, 2000)),
        warm_within_ms=rng.choice((2000, 5000)),
        start_capacity=0.4,
        fall_multiple=4.0,
        fall_ms=2000,
        streams=rng.choice((12, 12, 30)),
        budget=rng.choice((None, (3, 0.1, 4000), (10, 0.25, 8000))),
        skew_s=rng.choice((0.0, 0.02, 0.05, 0.15)),
        says_heard=rng.choice((0.0, 0.5, 1.0)),
    )
    plan.faults = [fault for fault in _draw_faults(rng, plan) if not only or fault.kind in only]
    return plan


def _draw_service_class(rng: Random, name: str, number: int) -> ServiceClass:
    effect = ("safe", "unsafe", rng.choice(("safe", "keyed")))[number]
    deadline = rng.choice((300, 800, 2000, 3000, 5000))
    target = min(deadline, rng.choice((200, 800, 800, 1000)))
    return ServiceClass(name, effect, target, deadline, floor=0, seats=rng.choice((0, 0, 3)))


def _draw_faults(rng: Random, plan: Plan) -> list[Fault]:
    """Draws the faults. They may overlap; none begins in the last fifth of the trial."""
    last_s = plan.seconds * 0.8
    kinds, weights = zip(*FAULT_FAMILIES)
    faults, restarts_end_at_s = [], {}
    for _ in range(int(plan.seconds * FAULTS_PER_S)):
        kind = rng.choice(rng.choices(kinds, weights)[0])
        at_s, lasts_s = rng.uniform(1.0, last_s), rng.choice((0.3, 1.0, 2.5, 5.0))
        count = plan.nodes if kind in NODE_FAULTS else plan.slots
        place_count = max(1, int(count * rng.choice((0.1, 0.3, 0.6))))
        places = tuple(sorted(rng.sample(range(count), place_count)))
        if kind in PROCESS_FAULTS:
            # a node is not restarted again before its previous restart has ended
            places = tuple(place for place in places if at_s >= restarts_end_at_s.get(place, 0.0))
            for place in places:
                restarts_end_at_s[place] = at_s + plan.kill_after_s + 2.0
        if places:
            faults.append(Fault(kind, at_s, lasts_s, places))
    return sorted(faults, key=lambda fault: fault.at_s)
