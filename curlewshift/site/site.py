"""One site's settings as objects, and the terms that a front's rules get from them."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address
from pathlib import Path

from curlewshift.leases.terms import LeaseTerms
from curlewshift.limits.admission import AdmissionLimits
from curlewshift.membership.terms import MembershipTerms, default_membership_terms
from curlewshift.model import Package, Terms
from curlewshift.overload.terms import OverloadTerms
from curlewshift.sharing.terms import SharedBudgets, SharingTerms
from curlewshift.site.reading import SiteErrors, parse_duration, parse_rate, read_xml

SECOND = 1_000_000_000
# Titles times packages whose seats fronts have together: each is a fact for every front, looked at each round.
MOST_SEATED = 4096
# Of probes between fronts (ns).
SHORTEST_PERIOD, LONGEST_PERIOD = SECOND // 10, 60 * SECOND
SCHEMA = Path(__file__).with_name("site.xsd")


@dataclass(slots=True)
class ListenAddress:
    name: str
    host: str
    port: int
    # where its peers' datagrams come in, and where they reach it
    peers_listen: tuple[str, int] | None = None
    peers_reach: tuple[str, int] | None = None
    region: str = ""
    zone: str = ""


@dataclass(slots=True)
class ControlMachine:
    """One that keeps the lease `configuration/0` and stores versions of the settings; it has no door."""

    name: str
    peers_listen: tuple[str, int]
    peers_reach: tuple[str, int]
    region: str = ""
    zone: str = ""


@dataclass(slots=True)
class Control:
    machines: list[ControlMachine]
    terms: LeaseTerms


@dataclass(slots=True)
class Distributed:
    """The settings are changed in service. `give_bytes` a second are given at most to those that lack a version; a front
    without a disk that can be read waits for its peers `start_within` (ns)."""

    give_bytes: int
    start_within: int


@dataclass(slots=True)
class Peers:
    """How the fronts of the site know each other. `most_bytes` a second."""

    seeds: list[tuple[str, int]]
    membership_terms: MembershipTerms
    most_bytes: int


@dataclass(slots=True)
class Machine:
    """A media server that the site owns. Which of them run is the list's to tell."""

    shelf: str
    host: str
    port: int
    rack: str
    zone: str
    link: float
    streams: int
    cores: int


@dataclass(slots=True)
class Obligations:
    """The figures of the six rules and what else the deployment states (times in ns)."""

    way_back: int
    longest_wait: int
    most_tune_ins: int
    grace: int
    warm_within: int
    start_capacity: float
    fall_multiple: float
    fall_within: int
    free_further: int | None
    further_share: float
    look_back: int
    told_late: int
    told_every: int
    probes: bool
    uplinks: bool


@dataclass(slots=True)
class Site:
    name: str
    front_addresses: list[ListenAddress]
    list_at: tuple[str, int]
    packages: list[Package]
    uplinks: dict[str, float]
    machines: list[Machine]
    titles: dict[str, tuple[str, ...]]
    obligations: Obligations
    most_waiting: int
    most_connections: int
    # packages whose viewings publish (WHIP) instead of playing (WHEP)
    published: frozenset[str] = frozenset()
    # files for bearer tokens, the door's TLS and the servers' authority; None: without
    token_keys: Path | None = None
    tls: tuple[Path, Path] | None = None
    authority: Path | None = None
    # values of Link for ICE servers (RFC 9725, 4.6)
    ice_servers: tuple[str, ...] = ()
    # what is bound at the door; None: nothing but how many may wait
    limits: AdmissionLimits | None = None
    # None: each front is for itself
    peers: Peers | None = None
    # None: fronts that know each other share nothing
    sharing: SharingTerms | None = None
    # budgets that all fronts have together, where they share
    together: SharedBudgets = SharedBudgets()
    # None: nothing is done once for the whole fleet
    leases: Leases | None = None
    # None: who comes first is let in
    overload: OverloadTerms | None = None
    # None: there are none
    control: Control | None = None
    # None: the settings are those of the file until the process ends
    configuration: Distributed | None = None

    def front_index(self, name: str) -> int:
        """The number of the front of that name. Raises `KeyError`."""
        for number, door in enumerate(self.front_addresses):
            if door.name == name:
                return number
        raise KeyError(name)

    def terms(self, now: int, seed: int, me: int) -> Terms:
        obligations = self.obligations
        return Terms(
            now=now,
            seed=seed,
            me=me,
            fronts=len(self.front_addresses),
            packages=self.packages,
            racks_told=obligations.uplinks,
            told_late=obligations.told_late,
            max_tune_ins=obligations.most_tune_ins,
            probes=obligations.probes,
            longest_wait=obligations.longest_wait,
            warm_within=obligations.warm_within,
            start_capacity=obligations.start_capacity,
            fall_multiple=obligations.fall_multiple,
            fall_within=obligations.fall_within,
            free_further=obligations.free_further,
            further_share=obligations.further_share,
            look_back=obligations.look_back,
        )


@dataclass(slots=True)
class Leases:
    """`probe_each` (ns) is how often each media server is asked for all fronts; `orphans_after` how long a front has to be away
    from a server before what it left there is ended; `tasks` are those that are done once for all."""

    keepers: list[str]
    terms: LeaseTerms
    shards: int
    probe_each: int
    tasks: tuple[str, ...] = ("probe",)
    orphans_after: int = 15 * SECOND


def host_port(text: str) -> tuple[str, int]:
    """Host and port of `host:port`. Raises `ValueError`."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def read_site(path: Path | str, raw: bytes | None = None) -> Site:
    """From the file, or from `raw`, which stands in for its bytes. Raises `SiteErrors` with all that is wrong."""
    return site_of(path, read_xml(path, SCHEMA, raw))


def site_of(path: Path | str, root) -> Site:
    """From the root element of a file that fits the schema; what it names lies beside `path`. Raises `SiteErrors`."""
    wrong: list[tuple[int, str]] = []
    ladder = [parse_rate(rung.get("rate")) for rung in root.iterfind("ladder/rung")]
    for rung, lower, higher in zip(root.findall("ladder/rung")[1:], ladder, ladder[1:]):
        if higher <= lower:
            wrong.append((rung.sourceline, f"rung: rates have to rise, {higher:g} kB/s follows {lower:g} kB/s"))
    packages = [_package(element, ladder, wrong) for element in root.iterfind("packages/package")]
    machines = [
        Machine(
            element.get("shelf"),
            *host_port(element.get("listen")),
            rack.get("name"),
            rack.get("zone", ""),
            parse_rate(element.get("link")),
            int(element.get("streams")),
            int(element.get("cores", "2")),
        )
        for rack in root.iterfind("racks/rack")
        for element in rack.iterfind("server")
    ]
    shelves, titles = {machine.shelf for machine in machines}, {}
    for element in root.iterfind("catalogue/title"):
        named = tuple(element.get("shelves").split())
        for shelf in named:
            if shelf not in shelves:
                wrong.append((element.sourceline, f"title: no server has the shelf {shelf!r}"))
        titles[element.get("name")] = named
    for element in root.iter("front", "server", "list"):
        _, port = host_port(element.get("listen") or element.get("address"))
        if not 0 < port < 65536:
            wrong.append((element.sourceline, f"{element.tag}: port {port} is not from 1 to 65535"))
    obligations = _obligations(root.find("obligations"), wrong)
    fronts = root.find("fronts")
    front_addresses = [
        ListenAddress(
            front.get("name"),
            *host_port(front.get("listen")),
            *_peer_places(front, wrong),
            front.get("region", ""),
            front.get("zone", ""),
        )
        for front in fronts.iterfind("front")
    ]
    control = _control(root, front_addresses, wrong)
    peers = _peers(fronts, front_addresses, control, wrong)
    sharing = _sharing(fronts, obligations, wrong)
    together = _together(fronts, sharing, obligations, packages, titles, wrong)
    leases = _leases(fronts, front_addresses, wrong)
    overload = _overload(fronts, front_addresses, obligations, wrong)
    configuration = _configuration(fronts, control, wrong)
    if wrong:
        raise SiteErrors(path, wrong)
    return Site(
        name=root.get("name"),
        list_at=host_port(root.find("list").get("address")),
        front_addresses=front_addresses,
        peers=peers,
        sharing=sharing,
        together=together,
        leases=leases,
        overload=overload,
        control=control,
        configuration=configuration,
        packages=packages,
        machines=machines,
        titles=titles,
        obligations=obligations,
        uplinks={rack.get("name"): parse_rate(rack.get("uplink")) for rack in root.iterfind("racks/rack")},
        most_waiting=int(fronts.get("most-waiting", "2000")),
        most_connections=int(fronts.get("most-connections-to-a-server", "64")),
        published=frozenset(
            element.get("name") for element in root.iterfind("packages/package") if element.get("published") in ("true", "1")
        ),
        **_files(Path(path).parent, fronts),
        limits=_limits(fronts, packages, obligations, wrong),
        ice_servers=tuple(_ice_link(element) for element in fronts.iterfind("ice-server")),
    )


def _peer_places(front, wrong: list[tuple[int, str]]) -> tuple:
    """Addresses as numbers: a datagram does not wait for a name to be looked up."""
    places, what = [], front.tag
    for name in ("peers-listen", "peers-reach"):
        text = front.get(name)
        place = host_port(text) if text else None
        if place is not None:
            try:
                ip_address(place[0])
            except ValueError:
                wrong.append((front.sourceline, f"{what}: {name} should be an address in numbers, but is {text!r}"))
            if not 0 < place[1] < 65536:
                wrong.append((front.sourceline, f"{what}: {name}: port {place[1]} is not from 1 to 65535"))
        places.append(place)
    listen, reach = places
    if reach is not None and listen is None:
        wrong.append((front.sourceline, f"{what}: peers-reach without peers-listen reaches nothing"))
    return listen, reach or listen


def _control(root, front_addresses: list[ListenAddress], wrong: list[tuple[int, str]]) -> Control | None:
    element = root.find("control")
    if element is None:
        return None
    line, names = element.sourceline, {door.name for door in front_addresses}
    machines = []
    for one in element.iterfind("machine"):
        if one.get("name") in names:
            wrong.append((one.sourceline, f"machine: a front has the name {one.get('name')!r} already"))
        machines.append(ControlMachine(one.get("name"), *_peer_places(one, wrong), one.get("region", ""), one.get("zone", "")))
    if root.find("fronts/peers") is None:
        wrong.append((line, "control: there are no peers that its machines could speak with"))
    region_of: dict[str, str] = {}
    for one in root.iter("front", "machine"):
        zone, region = one.get("zone"), one.get("region", "")
        if zone and region_of.setdefault(zone, region) != region:
            wrong.append(
                (
                    one.sourceline,
                    f"{one.tag}: zone {zone!r} lies in region {region_of[zone]!r} by another line, and in {region!r} by this one",
                )
            )
    return Control(machines, _lease_terms("control", element, wrong))


def _configuration(fronts, control: Control | None, wrong: list[tuple[int, str]]) -> Distributed | None:
    element = fronts.find("configuration")
    if element is None:
        return None
    line = element.sourceline
    if fronts.find("peers") is None:
        wrong.append((line, "configuration: there are no peers to have versions from"))
    if control is None:
        wrong.append((line, "configuration: there is no <control> with the machines that make and keep versions"))
    give, within = int(parse_rate(element.get("give-bytes", "1.5kB/s")) * 1000), parse_duration(element.get("start-within", "3s"))
    if give < 1000:
        wrong.append((line, "configuration: give-bytes under 1kB/s takes minutes for one file"))
    if within > 60 * SECOND:
        wrong.append((line, "configuration: start-within is how long a front waits before it serves, 1min at most"))
    return Distributed(give, within)


def _peers(fronts, front_addresses: list[ListenAddress], control: Control | None, wrong: list[tuple[int, str]]) -> Peers | None:
    element = fronts.find("peers")
    if element is None:
        return None
    machines = control.machines if control is not None else []
    line, at = element.sourceline, {one.name: one.peers_reach for one in (*front_addresses, *machines)}
    for door in front_addresses:
        if door.peers_listen is None:
            wrong.append((line, f"peers: front {door.name} says no peers-listen"))
    seeds = element.get("seeds").split()
    for name in seeds:
        if name not in at:
            wrong.append((line, f"peers: there is no front {name!r} to be a seed"))
    if not seeds:
        wrong.append((line, "peers: one seed at least is needed"))
    period = parse_duration(element.get("period", "1s"))
    if not SHORTEST_PERIOD <= period <= LONGEST_PERIOD:
        wrong.append((line, "peers: period should be from 100ms to 1min"))
    more = {
        name: parse_duration(element.get(said))
        for name, said in (("answer_within", "answer-within"), ("forget_after", "forget-after"))
        if element.get(said)
    }
    if more.get("answer_within", 0) * 2 > period:
        wrong.append((line, "peers: answer-within is half a period at most, as others are asked in the other half"))
    if more.get("forget_after", 20 * period) < 20 * period:
        wrong.append((line, "peers: forget-after is shorter than 20 periods, and news of who is gone goes round so long"))
    most_bytes = int(parse_rate(element.get("most-bytes", "128kB/s")) * 1000)
    if most_bytes < 4000:
        wrong.append((line, "peers: most-bytes under 4kB/s leaves no room for news"))
    return Peers(
        [at[name] for name in seeds if at.get(name)],
        default_membership_terms(period, max_members=int(element.get("most-members", "4096")), **more),
        most_bytes,
    )


def _rounds(what: str, every: int, drift: float, line: int, wrong: list[tuple[int, str]]) -> None:
    if not SHORTEST_PERIOD // 2 <= every <= SECOND:
        wrong.append((line, f"{what}: every should be from 50ms to 1s"))
    if drift > 0.2:
        wrong.append((line, f"{what}: drift is the part by which a clock may be off, 0.2 at most"))


def _sharing(fronts, obligations: Obligations, wrong: list[tuple[int, str]]) -> SharingTerms | None:
    element = fronts.find("sharing")
    if element is None:
        return None
    line = element.sourceline
    if fronts.find("peers") is None:
        wrong.append((line, "sharing: there are no peers to share with"))
    term, every = parse_duration(element.get("term", "1500ms")), parse_duration(element.get("every", "250ms"))
    drift = float(element.get("drift", "0.01"))
    _rounds("sharing", every, drift, line, wrong)
    if term < 2 * every:
        wrong.append((line, "sharing: a term under two rounds is over before it is used"))
    # as long as set-ups at a cold server are counted together; without such a duty a moment
    return SharingTerms(term, drift, max(obligations.fall_within, SECOND // 100), every)


def _together(
    fronts,
    sharing: SharingTerms | None,
    obligations: Obligations,
    packages: list[Package],
    titles: dict,
    wrong: list[tuple[int, str]],
) -> SharedBudgets:
    element = fronts.find("sharing")
    named = set(element.get("together", "").split()) if element is not None else set()
    if not named:
        return SharedBudgets()
    line, seats = element.sourceline, {package.name: package.seats for package in packages if package.seats}
    if "further-tune-ins" in named and obligations.free_further is None:
        wrong.append((line, "sharing: there is no budget of further tune-ins to have together"))
    if "seats" in named and not seats:
        wrong.append((line, "sharing: no package has seats to have together"))
    if "seats" in named and len(seats) * len(titles) > MOST_SEATED:
        wrong.append((line, f"sharing: seats of {MOST_SEATED} titles and packages at most are had together"))
    term, lingers = parse_duration(element.get("seat-term", "6s")), parse_duration(element.get("seats-linger", "10s"))
    if term < 8 * sharing.every:
        wrong.append((line, "sharing: a seat-term under eight rounds leaves no time to renew"))
    return SharedBudgets(
        obligations.free_further if "further-tune-ins" in named else None,
        obligations.look_back,
        seats if "seats" in named else {},
        list(titles),
        term,
        lingers,
    )


def _leases(fronts, front_addresses: list[ListenAddress], wrong: list[tuple[int, str]]) -> Leases | None:
    element = fronts.find("leases")
    if element is None:
        return None
    line = element.sourceline
    if fronts.find("peers") is None:
        wrong.append((line, "leases: there are no peers that could hold them"))
    keepers, names = element.get("keepers").split(), {door.name for door in front_addresses}
    for name in keepers:
        if name not in names:
            wrong.append((line, f"leases: there is no front {name!r} to be a keeper"))
    if len(set(keepers)) < len(keepers) or len(keepers) % 2 == 0:
        wrong.append((line, "leases: keepers should be an odd number of different fronts: an even one bears no more losses"))
    terms = _lease_terms("leases", element, wrong)
    shards = int(element.get("shards", "8"))
    if shards > 64:
        wrong.append((line, "leases: 64 shards at most"))
    tasks, after = (
        tuple(dict.fromkeys(element.get("tasks", "probe").split())),
        parse_duration(element.get("orphans-after", "15s")),
    )
    if after < terms.term:
        wrong.append((line, "leases: orphans-after is shorter than a term, and a front that is only stopped comes back by then"))
    return Leases(keepers, terms, shards, parse_duration(element.get("probe-each", "1s")), tasks, after)


def _lease_terms(what: str, element, wrong: list[tuple[int, str]]) -> LeaseTerms:
    line, term, every = (
        element.sourceline,
        parse_duration(element.get("term", "4s")),
        parse_duration(element.get("every", "250ms")),
    )
    drift = float(element.get("drift", "0.01"))
    _rounds(what, every, drift, line, wrong)
    if term < 8 * every:
        wrong.append((line, f"{what}: a term under eight rounds leaves no time to renew"))
    return LeaseTerms(term, drift, every)


def _overload(
    fronts, front_addresses: list[ListenAddress], obligations: Obligations, wrong: list[tuple[int, str]]
) -> OverloadTerms | None:
    element = fronts.find("overload")
    if element is None:
        return None
    line, every = element.sourceline, parse_duration(element.get("every", "1s"))
    floor, share = float(element.get("floor", "0.05")), float(element.get("again-share", "0.2"))
    if not SHORTEST_PERIOD <= every <= 5 * SECOND:
        wrong.append((line, "overload: every should be from 100ms to 5s"))
    if floor > 0.5:
        wrong.append((line, "overload: a floor over 0.5 lets in more than half of everything whatever is short"))
    return OverloadTerms(
        every,
        floor,
        obligations.longest_wait,
        share,
        float(element.get("again-free", "10")),
        obligations.look_back or 10 * SECOND,
        len(front_addresses),
        3 * every,
    )


def _files(folder: Path, fronts) -> dict:
    """Files are named from where the settings are."""
    tokens, tls, servers = (fronts.find(name) for name in ("tokens", "tls", "servers-tls"))
    return {
        "token_keys": folder / tokens.get("keys") if tokens is not None else None,
        "tls": (folder / tls.get("certificate"), folder / tls.get("key")) if tls is not None else None,
        "authority": folder / servers.get("authority") if servers is not None else None,
    }


def _limits(fronts, packages: list[Package], obligations: Obligations, wrong: list[tuple[int, str]]) -> AdmissionLimits | None:
    element = fronts.find("limits")
    if element is None:
        return None

    def pace(name: str) -> float:
        return float(element.get(name, "0/s").removesuffix("/s"))

    return AdmissionLimits(
        pace("from-source"),
        pace("from-holder"),
        pace("from-build"),
        pace("for-package"),
        parse_duration(element.get("burst", "5s")) / SECOND,
        obligations.longest_wait,
        # two tune-ins have to fit into what is left
        min(package.join_target for package in packages) // 4,
        int(fronts.get("most-waiting", "2000")),
    )


def _ice_link(element) -> str:
    more = "".join(f'; {name}="{element.get(name)}"' for name in ("username", "credential") if element.get(name))
    return f'<{element.get("url")}>; rel="ice-server"{more}' + ('; credential-type="password"' if more else "")


def _package(element, ladder: list[float], wrong: list[tuple[int, str]]) -> Package:
    highest = len(ladder) - 1
    floor, top = int(element.get("floor", "0")), int(element.get("top", str(highest)))
    name, line = element.get("name"), element.sourceline
    if top > highest:
        wrong.append((line, f"package {name}: top is rung {top}, the ladder ends with rung {highest}"))
    if floor > min(top, highest):
        wrong.append((line, f"package {name}: floor is rung {floor}, above its top {min(top, highest)}"))
    target, patience = parse_duration(element.get("join-target")), parse_duration(element.get("patience"))
    if patience < target:
        wrong.append((line, f"package {name}: patience is shorter than the join target"))
    scale = float(element.get("scale", "1"))
    return Package(
        name=name,
        value=float(element.get("value")),
        join_target=target,
        patience=patience,
        paid_at_setup=element.get("paid-at-setup") in ("true", "1"),
        rates=tuple(rung * scale for rung in ladder),
        floor=floor,
        top=top,
        seats=int(element.get("seats", "0")),
    )


def _obligations(element, wrong: list[tuple[int, str]]) -> Obligations:
    answers, drains, cold, news = (element.find(name) for name in ("answers", "drains", "cold-servers", "news"))
    further = element.find("further-tune-ins")
    obligations = Obligations(
        way_back=parse_duration(answers.get("way-back")),
        longest_wait=parse_duration(answers.get("longest-wait")),
        most_tune_ins=int(answers.get("most-tune-ins")),
        grace=parse_duration(drains.get("grace")),
        warm_within=parse_duration(cold.get("warm-within")),
        start_capacity=float(cold.get("start-capacity")),
        fall_multiple=float(cold.get("fall-multiple")),
        fall_within=parse_duration(cold.get("fall-within")),
        free_further=int(further.get("free")) if further is not None else None,
        further_share=float(further.get("share")) if further is not None else 0.0,
        look_back=parse_duration(further.get("within")) if further is not None else 0,
        told_late=parse_duration(news.get("told-late")),
        told_every=parse_duration(news.get("told-every")),
        probes=news.get("probes") in ("true", "1"),
        uplinks=news.get("uplinks") in ("true", "1"),
    )
    if obligations.warm_within and not obligations.start_capacity:
        wrong.append((cold.sourceline, "cold-servers: a start-capacity of 0 would never let a server be tried"))
    return obligations
