"""The script of a rehearsal (a scripted fault injection run): arriving viewers, announced peaks, and troubles (injected faults
and load changes) with their time, extent and size."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from curlewshift.site.reading import SiteErrors, parse_duration, read_xml
from curlewshift.site.site import Site, read_site

SCHEMA = Path(__file__).with_name("script.xsd")
NS = 1_000_000_000
# Defaults of each kind of trouble: duration (s), affected share of the servers or fronts, size.
USUAL = {
    "burst": (6, 1.0, 2.0),
    "crowd": (6, 1.0, 1.0),
    "crash": (5, 0.2, 1.0),
    "vanish": (6, 0.2, 1.0),
    "hang": (4, 0.2, 1.0),
    "slow": (6, 0.25, 3.0),
    "neighbour": (8, 0.4, 0.5),
    "fast-errors": (4, 0.2, 1.0),
    "answer-lost": (4, 0.2, 1.0),
    "deploy": (15, 0.6, 1.0),
    "preempt": (5, 0.2, 1.0),
    "front-crash": (2, 0.34, 1.0),
    "front-roll": (9, 1.0, 1.0),
    "cold-restart": (1, 0.2, 1.0),
    "list-stuck": (5, 1.0, 1.0),
    "notes-late": (6, 1.0, 3.0),
    "peak": (10, 1.0, 2.0),
    "pause": (3, 0.2, 1.0),
    "clock-rate": (8, 0.2, 1.01),
    "clock-step": (1, 0.2, 600.0),
    "bad-path": (6, 0.125, 1.0),
    "pause-in-act": (5, 0.125, 1.0),
    "cut": (5, 0.5, 1.0),
    "one-way": (5, 0.2, 1.0),
    "loss": (6, 1.0, 0.15),
    "late": (6, 1.0, 3.0),
    "doubled": (6, 1.0, 0.3),
    "reordered": (6, 1.0, 0.3),
    "spoilt": (6, 1.0, 0.2),
    "put": (1, 1.0, 1.0),
    "bad-put": (1, 1.0, 1.0),
    "writer-pause": (5, 1.0, 1.0),
    "writer-crash": (3, 1.0, 1.0),
    "control-lost": (3, 1.0, 1.0),
    "control-cut": (6, 1.0, 1.0),
    "front-lost": (1, 0.2, 1.0),
    "front-spoilt": (1, 0.2, 1.0),
    "slow-accept": (1.5, 0.25, 1.0),
}
# Troubles of datagrams between fronts, injected by the relay that all of them pass.
PEER_TROUBLES = ("cut", "one-way", "loss", "late", "doubled", "reordered", "spoilt", "control-cut")
# Changes of the configuration by the operator, and faults of the control machines and disks that store it.
CONFIGURATION_TROUBLES = ("put", "bad-put", "writer-pause", "writer-crash", "control-lost", "front-lost", "front-spoilt")
# Troubles of front processes and their clocks.
OF_FRONTS = (
    "front-crash",
    "front-roll",
    "pause",
    "clock-rate",
    "clock-step",
    "bad-path",
    "pause-in-act",
    *CONFIGURATION_TROUBLES,
)
# Changes of the load by viewers.
OF_VIEWERS = ("burst", "crowd", "peak")
# Kinds that the emulator supports: it has viewers, servers and fronts, but no network between fronts and no connection queues.
EMULATED = tuple(kind for kind in USUAL if kind not in (*PEER_TROUBLES, *OF_FRONTS[2:], "peak", "slow-accept"))
# Arrivals per second in addition to the usual ones, and the title or package that they request.
Part = tuple[float, str | None, str | None]
# Limits of what one machine can run: duration (ns) and arrivals per second.
MAX_RUN_NS = 600 * NS
MAX_ARRIVALS_PER_S = 200.0


@dataclass(slots=True)
class Trouble:
    """One trouble; times are seconds from the start of the run."""

    kind: str
    at: float
    lasts: float
    part: float
    size: float
    package: str = ""


@dataclass(slots=True)
class Announced:
    """A demand peak announced to the fronts at the start of the run; times are seconds from then."""

    name: str
    package: str
    at: float
    lasts: float
    rate: float
    most: float


@dataclass(slots=True)
class PlannedViewing:
    """Viewings of one package: their share of all arrivals, and their mean duration (s)."""

    package: str
    share: float
    watches: float


@dataclass(slots=True)
class Script:
    """A parsed script. `lasts`: duration (s); `each_second`: arrivals per second; `come_again`, `hang_up` and `leave` are
    probabilities of a retry after a failed request, of hanging up with a retry, and of hanging up for good."""

    site_path: Path
    site: Site
    lasts: float
    seed: int
    each_second: float
    come_again: float
    hang_up: float
    leave: float
    planned_viewings: list[PlannedViewing]
    troubles: list[Trouble]
    announced: list[Announced]
    # whether servers end unwatched sessions, and sessions of fronts that are gone, by themselves
    tidy: bool = True


def pressure(script: Script, now: float, titles: list[str], factor: float = 1.0) -> tuple[float, list[Part]]:
    """Arrivals per second at `now` (s from the start of the run): the usual ones, which are `factor` times those of the script,
    and additionally those of each crowd (with its title) and peak (with its package)."""
    base = rate = script.each_second * factor
    more: list[Part] = []
    for trouble in script.troubles:
        if trouble.at <= now < trouble.at + trouble.lasts:
            if trouble.kind == "burst":
                rate *= trouble.size
            elif trouble.kind == "crowd":
                more.append((base * trouble.size, titles[-1], None))
            elif trouble.kind == "peak":
                more.append((trouble.size, None, trouble.package))
    return rate, more


def drawn_part(rate: float, more: list[Part], draw: float) -> tuple[str | None, str | None]:
    """Title of the crowd or package of the peak that an arrival belongs to, chosen by `draw` from 0 to 1."""
    drawn = draw * (rate + sum(part for part, _, _ in more)) - rate
    for part, title, package in more:
        if 0 <= drawn < part:
            return title, package
        drawn -= part
    return None, None


def usual(kind: str, at: float) -> Trouble:
    """A trouble of this kind with the default duration, part and size."""
    return Trouble(kind, at, *USUAL[kind])


def read_script(path: Path | str) -> Script:
    """Reads a script and its site. Raises `SiteErrors` for either file."""
    root = read_xml(path, SCHEMA)
    errors: list[tuple[int, str]] = []
    site_path = Path(path).parent / root.get("site")
    site = read_site(site_path)
    viewers = root.find("viewers")
    known = {package.name for package in site.packages}
    planned_viewings = []
    for planned_viewing in viewers.iterfind("wants"):
        if planned_viewing.get("package") not in known:
            errors.append(
                (planned_viewing.sourceline, f"wants: {site_path.name} has no package {planned_viewing.get('package')!r}")
            )
        planned_viewings.append(
            PlannedViewing(
                planned_viewing.get("package"),
                float(planned_viewing.get("share")),
                parse_duration(planned_viewing.get("watches")) / NS,
            )
        )
    if sum(planned_viewing.share for planned_viewing in planned_viewings) <= 0:
        errors.append((viewers.sourceline, "viewers: the shares of all <wants> add up to 0"))
    lasts = parse_duration(root.get("lasts"))
    if lasts > MAX_RUN_NS:
        errors.append((root.sourceline, f"rehearsal: lasts may be {MAX_RUN_NS // NS} s at most"))
    each_second = float(viewers.get("each-second"))
    if each_second > MAX_ARRIVALS_PER_S:
        errors.append((viewers.sourceline, f"viewers: each-second may be {MAX_ARRIVALS_PER_S:g} at most"))
    troubles = []
    for element in root.iterfind("trouble"):
        trouble = usual(element.get("kind"), parse_duration(element.get("at")) / NS)
        trouble.lasts = parse_duration(element.get("lasts")) / NS if element.get("lasts") else trouble.lasts
        trouble.part = float(element.get("part", trouble.part))
        trouble.size = float(element.get("size", trouble.size))
        if trouble.at * NS >= lasts:
            errors.append((element.sourceline, f"trouble {trouble.kind}: begins after the day has ended"))
        if trouble.kind == "neighbour" and trouble.size >= 1:
            errors.append((element.sourceline, "trouble neighbour: size is the share of the link in use, less than 1"))
        trouble.package = element.get("package", "")
        if trouble.kind == "peak" and trouble.package not in known:
            errors.append((element.sourceline, f"trouble peak: {site_path.name} has no package {trouble.package!r}"))
        if trouble.kind in PEER_TROUBLES and site.peers is None:
            errors.append((element.sourceline, f"trouble {trouble.kind}: {site_path.name} has no peers that it could befall"))
        if trouble.kind in (*CONFIGURATION_TROUBLES, "control-cut") and site.configuration is None:
            errors.append(
                (element.sourceline, f"trouble {trouble.kind}: {site_path.name} has no <configuration> that it could befall")
            )
        if trouble.kind in ("loss", "doubled", "reordered", "spoilt") and trouble.size > 1:
            errors.append((element.sourceline, f"trouble {trouble.kind}: size is the share of datagrams, at most 1"))
        if trouble.kind == "clock-rate" and not 0.9 <= trouble.size <= 1.1:
            errors.append((element.sourceline, "trouble clock-rate: size is the speed of the clock, from 0.9 to 1.1"))
        troubles.append(trouble)
    announced = []
    for element in root.iterfind("announce"):
        if element.get("package") not in known:
            errors.append((element.sourceline, f"announce: {site_path.name} has no package {element.get('package')!r}"))
        announced.append(
            Announced(
                element.get("name"),
                element.get("package"),
                parse_duration(element.get("at")) / NS,
                parse_duration(element.get("lasts")) / NS,
                float(element.get("rate")),
                float(element.get("most", "0.5")),
            )
        )
    if errors:
        raise SiteErrors(path, errors)
    return Script(
        site_path,
        site,
        lasts / NS,
        int(root.get("seed", "1")),
        each_second,
        float(viewers.get("come-again")),
        float(viewers.get("hang-up-and-retry", "0")),
        float(viewers.get("hang-up-and-leave", "0")),
        planned_viewings,
        troubles,
        announced,
        root.get("servers-tidy", "true") in ("true", "1"),
    )
