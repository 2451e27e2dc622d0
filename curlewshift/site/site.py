"""The settings of one site as objects, read from XML, and the terms for a front's rules (the policy) made from them."""

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

NS_PER_SECOND = 1_000_000_000
# Titles times packages with shared seats. Each pair is an entry of state at every front that is visited in each round.
MAX_SHARED_SEATS = 4096
# Limits of the period of probes between fronts (ns).
MIN_PERIOD_NS, MAX_PERIOD_NS = NS_PER_SECOND // 10, 60 * NS_PER_SECOND
SCHEMA = Path(__file__).with_name("site.xsd")


@dataclass(slots=True)
class ListenAddress:
    """A front: its name, where it accepts viewers, and its location."""

    name: str
    host: str
    port: int
    # where it receives datagrams of its peers, and the address they send to
    peers_listen: tuple[str, int] | None = None
    peers_reach: tuple[str, int] | None = None
    region: str = ""
    zone: str = ""


@dataclass(slots=True)
class ControlMachine:
    """An acceptor of the lease `configuration/0`, which also stores versions of the settings; it accepts no viewers."""

    name: str
    peers_listen: tuple[str, int]
    peers_reach: tuple[str, int]
    region: str = ""
    zone: str = ""


@dataclass(slots=True)
class Control:
    """The control machines and the terms of their lease."""

    machines: list[ControlMachine]
    terms: LeaseTerms


@dataclass(slots=True)
class DistributionSettings:
    """Terms for changing settings in service. At most `give_bytes` bytes/s are sent to members that lack a version; a front
    that cannot read a version from its disk waits `start_within` (ns) for its peers."""

    give_bytes: int
    start_within: int


@dataclass(slots=True)
class Peers:
    """Membership of the fronts: the seeds to join by, and at most `most_bytes` bytes/s of datagrams."""

    seeds: list[tuple[str, int]]
    membership_terms: MembershipTerms
    most_bytes: int


@dataclass(slots=True)
class Machine:
    """A media server of the site; whether it runs is known from the server list. `link` is in kB/s."""

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
    """The parameters of the six obligations, and further terms that the deployment sets (times in ns).

    `way_back` is the part of a viewer's patience that is reserved for the way of the answer to it; `told_late` and `told_every`
    are the delay and the interval of the servers' load reports.
    """

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
    """All settings of a site. Rates are in kB/s, times in ns."""

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
    # files, None if not used: keys of bearer tokens, certificate and key of the HTTP listener, authority of the media servers
    token_keys: Path | None = None
    tls: tuple[Path, Path] | None = None
    authority: Path | None = None
    # Link header values for ICE servers (RFC 9725, 4.6)
    ice_servers: tuple[str, ...] = ()
    # rate limits of requests; None: only the number of waiting requests is limited
    limits: AdmissionLimits | None = None
    # None: the fronts do not know each other
    peers: Peers | None = None
    # None: nothing is shared between fronts
    sharing: SharingTerms | None = None
    # budgets shared by all fronts; used with `sharing`
    together: SharedBudgets = SharedBudgets()
    # None: there are no tasks done once for the whole fleet
    leases: Leases | None = None
    # None: no load shedding
    overload: OverloadTerms | None = None
    # None: there are no control machines
    control: Control | None = None
    # None: the settings stay as read from the file until the process ends
    configuration: DistributionSettings | None = None

    def front_index(self, name: str) -> int:
        """The index of the front of that name. Raises `KeyError`."""
        for index, front in enumerate(self.front_addresses):
            if front.name == name:
                return index
        raise KeyError(name)

    def terms(self, now: int, seed: int, local_index: int) -> Terms:
        """The terms for the rules of the front with this index."""
        obligations = self.obligations
        return Terms(
            now=now,
            seed=seed,
            me=local_index,
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
    """`tasks` are done once for all fronts, by the holders of leases. `probe_each` (ns) is the interval of probes of each media
    server; `orphans_after` (ns) is how long a front must be absent from a server before the sessions it left there are ended."""

    keepers: list[str]
    terms: LeaseTerms
    shards: int
    probe_each: int
    tasks: tuple[str, ...] = ("probe",)
    orphans_after: int = 15 * NS_PER_SECOND


def host_port(text: str) -> tuple[str, int]:
    """Splits `host:port`; brackets around an IPv6 address are removed. Raises `ValueError`."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def read_site(path: Path | str, raw: bytes | None = None) -> Site:
    """Reads the file, or `raw` in place of its content. Raises `SiteErrors` with all errors."""
    return site_of(path, read_xml(path, SCHEMA, raw))


def site_of(path: Path | str, root) -> Site:
    """Builds a site from the root element of a validated file; names of files are relative to the folder of `path`. Raises
    `SiteErrors`."""
    errors: list[tuple[int, str]] = []
    ladder = [parse_rate(rung.get("rate")) for rung in root.iterfind("ladder/rung")]
    for rung, lower, higher in zip(root.findall("ladder/rung")[1:], ladder, ladder[1:]):
        if higher <= lower:
            errors.append((rung.sourceline, f"rung: rates have to rise, {higher:g} kB/s follows {lower:g} kB/s"))
    packages = [_package(element, ladder, errors) for element in root.iterfind("packages/package")]
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
                errors.append((element.sourceline, f"title: no server has the shelf {shelf!r}"))
        titles[element.get("name")] = named
    for element in root.iter("front", "server", "list"):
        _, port = host_port(element.get("listen") or element.get("address"))
        if not 0 < port < 65536:
            errors.append((element.sourceline, f"{element.tag}: port {port} is not from 1 to 65535"))
    obligations = _obligations(root.find("obligations"), errors)
    fronts = root.find("fronts")
    front_addresses = [
        ListenAddress(
            front.get("name"),
            *host_port(front.get("listen")),
            *_peer_addresses(front, errors),
            front.get("region", ""),
            front.get("zone", ""),
        )
        for front in fronts.iterfind("front")
    ]
    control = _control(root, front_addresses, errors)
    peers = _peers(fronts, front_addresses, control, errors)
    sharing = _sharing(fronts, obligations, errors)
    together = _shared_budgets(fronts, sharing, obligations, packages, titles, errors)
    leases = _leases(fronts, front_addresses, errors)
    overload = _overload(fronts, front_addresses, obligations, errors)
    configuration = _configuration(fronts, control, errors)
    if errors:
        raise SiteErrors(path, errors)
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
        **_file_settings(Path(path).parent, fronts),
        limits=_limits(fronts, packages, obligations, errors),
        ice_servers=tuple(_ice_link(element) for element in fronts.iterfind("ice-server")),
    )


def _peer_addresses(front, errors: list[tuple[int, str]]) -> tuple:
    """The addresses for datagrams. They must be numeric, as sending a datagram does not wait for a name look-up."""
    addresses, element_name = [], front.tag
    for name in ("peers-listen", "peers-reach"):
        text = front.get(name)
        address = host_port(text) if text else None
        if address is not None:
            try:
                ip_address(address[0])
            except ValueError:
                errors.append((front.sourceline, f"{element_name}: {name} should be an address in numbers, but is {text!r}"))
            if not 0 < address[1] < 65536:
                errors.append((front.sourceline, f"{element_name}: {name}: port {address[1]} is not from 1 to 65535"))
        addresses.append(address)
    listen, reach = addresses
    if reach is not None and listen is None:
        errors.append((front.sourceline, f"{element_name}: peers-reach without peers-listen reaches nothing"))
    return listen, reach or listen


def _control(root, front_addresses: list[ListenAddress], errors: list[tuple[int, str]]) -> Control | None:
    element = root.find("control")
    if element is None:
        return None
    line, names = element.sourceline, {front.name for front in front_addresses}
    machines = []
    for member in element.iterfind("machine"):
        if member.get("name") in names:
            errors.append((member.sourceline, f"machine: a front has the name {member.get('name')!r} already"))
        machines.append(
            ControlMachine(member.get("name"), *_peer_addresses(member, errors), member.get("region", ""), member.get("zone", ""))
        )
    if root.find("fronts/peers") is None:
        errors.append((line, "control: there are no peers that its machines could speak with"))
    region_of: dict[str, str] = {}
    for member in root.iter("front", "machine"):
        zone, region = member.get("zone"), member.get("region", "")
        if zone and region_of.setdefault(zone, region) != region:
            errors.append(
                (
                    member.sourceline,
                    f"{member.tag}: zone {zone!r} lies in region {region_of[zone]!r} by another line, "
                    f"and in {region!r} by this one",
                )
            )
    return Control(machines, _lease_terms("control", element, errors))


def _configuration(fronts, control: Control | None, errors: list[tuple[int, str]]) -> DistributionSettings | None:
    element = fronts.find("configuration")
    if element is None:
        return None
    line = element.sourceline
    if fronts.find("peers") is None:
        errors.append((line, "configuration: there are no peers to have versions from"))
    if control is None:
        errors.append((line, "configuration: there is no <control> with the machines that make and keep versions"))
    give_bytes, start_within = (
        int(parse_rate(element.get("give-bytes", "1.5kB/s")) * 1000),
        parse_duration(element.get("start-within", "3s")),
    )
    if give_bytes < 1000:
        errors.append((line, "configuration: give-bytes under 1kB/s takes minutes for one file"))
    if start_within > 60 * NS_PER_SECOND:
        errors.append((line, "configuration: start-within is how long a front waits before it serves, 1min at most"))
    return DistributionSettings(give_bytes, start_within)


def _peers(fronts, front_addresses: list[ListenAddress], control: Control | None, errors: list[tuple[int, str]]) -> Peers | None:
    element = fronts.find("peers")
    if element is None:
        return None
    machines = control.machines if control is not None else []
    line, reach_of = element.sourceline, {member.name: member.peers_reach for member in (*front_addresses, *machines)}
    for front in front_addresses:
        if front.peers_listen is None:
            errors.append((line, f"peers: front {front.name} says no peers-listen"))
    seeds = element.get("seeds").split()
    for name in seeds:
        if name not in reach_of:
            errors.append((line, f"peers: there is no front {name!r} to be a seed"))
    if not seeds:
        errors.append((line, "peers: one seed at least is needed"))
    period = parse_duration(element.get("period", "1s"))
    if not MIN_PERIOD_NS <= period <= MAX_PERIOD_NS:
        errors.append((line, "peers: period should be from 100ms to 1min"))
    optional = {
        name: parse_duration(element.get(attribute))
        for name, attribute in (("answer_within", "answer-within"), ("forget_after", "forget-after"))
        if element.get(attribute)
    }
    if optional.get("answer_within", 0) * 2 > period:
        errors.append((line, "peers: answer-within is half a period at most, as others are asked in the other half"))
    if optional.get("forget_after", 20 * period) < 20 * period:
        errors.append((line, "peers: forget-after is shorter than 20 periods, and news of who is gone goes round so long"))
    most_bytes = int(parse_rate(element.get("most-bytes", "128kB/s")) * 1000)
    if most_bytes < 4000:
        errors.append((line, "peers: most-bytes under 4kB/s leaves no room for news"))
    return Peers(
        [reach_of[name] for name in seeds if reach_of.get(name)],
        default_membership_terms(period, max_members=int(element.get("most-members", "4096")), **optional),
        most_bytes,
    )


def _check_rounds(element_name: str, every: int, drift: float, line: int, errors: list[tuple[int, str]]) -> None:
    if not MIN_PERIOD_NS // 2 <= every <= NS_PER_SECOND:
        errors.append((line, f"{element_name}: every should be from 50ms to 1s"))
    if drift > 0.2:
        errors.append((line, f"{element_name}: drift is the part by which a clock may be off, 0.2 at most"))


def _sharing(fronts, obligations: Obligations, errors: list[tuple[int, str]]) -> SharingTerms | None:
    element = fronts.find("sharing")
    if element is None:
        return None
    line = element.sourceline
    if fronts.find("peers") is None:
        errors.append((line, "sharing: there are no peers to share with"))
    term, every = parse_duration(element.get("term", "1500ms")), parse_duration(element.get("every", "250ms"))
    drift = float(element.get("drift", "0.01"))
    _check_rounds("sharing", every, drift, line, errors)
    if term < 2 * every:
        errors.append((line, "sharing: a term under two rounds is over before it is used"))
    # the window in which set-ups at a cold server are counted together; without that obligation a minimum of 10 ms
    return SharingTerms(term, drift, max(obligations.fall_within, NS_PER_SECOND // 100), every)


def _shared_budgets(
    fronts,
    sharing: SharingTerms | None,
    obligations: Obligations,
    packages: list[Package],
    titles: dict,
    errors: list[tuple[int, str]],
) -> SharedBudgets:
    element = fronts.find("sharing")
    named = set(element.get("together", "").split()) if element is not None else set()
    if not named:
        return SharedBudgets()
    line, seats = element.sourceline, {package.name: package.seats for package in packages if package.seats}
    if "further-tune-ins" in named and obligations.free_further is None:
        errors.append((line, "sharing: there is no budget of further tune-ins to have together"))
    if "seats" in named and not seats:
        errors.append((line, "sharing: no package has seats to have together"))
    if "seats" in named and len(seats) * len(titles) > MAX_SHARED_SEATS:
        errors.append((line, f"sharing: seats of {MAX_SHARED_SEATS} titles and packages at most are had together"))
    term, linger = parse_duration(element.get("seat-term", "6s")), parse_duration(element.get("seats-linger", "10s"))
    if term < 8 * sharing.every:
        errors.append((line, "sharing: a seat-term under eight rounds leaves no time to renew"))
    return SharedBudgets(
        obligations.free_further if "further-tune-ins" in named else None,
        obligations.look_back,
        seats if "seats" in named else {},
        list(titles),
        term,
        linger,
    )


def _leases(fronts, front_addresses: list[ListenAddress], errors: list[tuple[int, str]]) -> Leases | None:
    element = fronts.find("leases")
    if element is None:
        return None
    line = element.sourceline
    if fronts.find("peers") is None:
        errors.append((line, "leases: there are no peers that could hold them"))
    keepers, names = element.get("keepers").split(), {front.name for front in front_addresses}
    for name in keepers:
        if name not in names:
            errors.append((line, f"leases: there is no front {name!r} to be a keeper"))
    if len(set(keepers)) < len(keepers) or len(keepers) % 2 == 0:
        errors.append((line, "leases: keepers should be an odd number of different fronts: an even one bears no more losses"))
    terms = _lease_terms("leases", element, errors)
    shards = int(element.get("shards", "8"))
    if shards > 64:
        errors.append((line, "leases: 64 shards at most"))
    tasks, after = (
        tuple(dict.fromkeys(element.get("tasks", "probe").split())),
        parse_duration(element.get("orphans-after", "15s")),
    )
    if after < terms.term:
        errors.append((line, "leases: orphans-after is shorter than a term, and a front that is only stopped comes back by then"))
    return Leases(keepers, terms, shards, parse_duration(element.get("probe-each", "1s")), tasks, after)


def _lease_terms(element_name: str, element, errors: list[tuple[int, str]]) -> LeaseTerms:
    line, term, every = (
        element.sourceline,
        parse_duration(element.get("term", "4s")),
        parse_duration(element.get("every", "250ms")),
    )
    drift = float(element.get("drift", "0.01"))
    _check_rounds(element_name, every, drift, line, errors)
    if term < 8 * every:
        errors.append((line, f"{element_name}: a term under eight rounds leaves no time to renew"))
    return LeaseTerms(term, drift, every)


def _overload(
    fronts, front_addresses: list[ListenAddress], obligations: Obligations, errors: list[tuple[int, str]]
) -> OverloadTerms | None:
    element = fronts.find("overload")
    if element is None:
        return None
    line, every = element.sourceline, parse_duration(element.get("every", "1s"))
    floor, share = float(element.get("floor", "0.05")), float(element.get("again-share", "0.2"))
    if not MIN_PERIOD_NS <= every <= 5 * NS_PER_SECOND:
        errors.append((line, "overload: every should be from 100ms to 5s"))
    if floor > 0.5:
        errors.append((line, "overload: a floor over 0.5 lets in more than half of everything whatever is short"))
    return OverloadTerms(
        every,
        floor,
        obligations.longest_wait,
        share,
        float(element.get("again-free", "10")),
        obligations.look_back or 10 * NS_PER_SECOND,
        len(front_addresses),
        3 * every,
    )


def _file_settings(folder: Path, fronts) -> dict:
    """Paths of files, which are relative to the folder of the settings."""
    tokens, tls, servers = (fronts.find(name) for name in ("tokens", "tls", "servers-tls"))
    return {
        "token_keys": folder / tokens.get("keys") if tokens is not None else None,
        "tls": (folder / tls.get("certificate"), folder / tls.get("key")) if tls is not None else None,
        "authority": folder / servers.get("authority") if servers is not None else None,
    }


def _limits(fronts, packages: list[Package], obligations: Obligations, errors: list[tuple[int, str]]) -> AdmissionLimits | None:
    element = fronts.find("limits")
    if element is None:
        return None

    def requests_per_second(name: str) -> float:
        return float(element.get(name, "0/s").removesuffix("/s"))

    return AdmissionLimits(
        requests_per_second("from-source"),
        requests_per_second("from-holder"),
        requests_per_second("from-build"),
        requests_per_second("for-package"),
        parse_duration(element.get("burst", "5s")) / NS_PER_SECOND,
        obligations.longest_wait,
        # the remaining time must suffice for two tune-ins (set-up attempts)
        min(package.join_target for package in packages) // 4,
        int(fronts.get("most-waiting", "2000")),
    )


def _ice_link(element) -> str:
    parameters = "".join(f'; {name}="{element.get(name)}"' for name in ("username", "credential") if element.get(name))
    return f'<{element.get("url")}>; rel="ice-server"{parameters}' + ('; credential-type="password"' if parameters else "")


def _package(element, ladder: list[float], errors: list[tuple[int, str]]) -> Package:
    highest = len(ladder) - 1
    floor, top = int(element.get("floor", "0")), int(element.get("top", str(highest)))
    name, line = element.get("name"), element.sourceline
    if top > highest:
        errors.append((line, f"package {name}: top is rung {top}, the ladder ends with rung {highest}"))
    if floor > min(top, highest):
        errors.append((line, f"package {name}: floor is rung {floor}, above its top {min(top, highest)}"))
    target, patience = parse_duration(element.get("join-target")), parse_duration(element.get("patience"))
    if patience < target:
        errors.append((line, f"package {name}: patience is shorter than the join target"))
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


def _obligations(element, errors: list[tuple[int, str]]) -> Obligations:
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
        errors.append((cold.sourceline, "cold-servers: a start-capacity of 0 would never let a server be tried"))
    return obligations
