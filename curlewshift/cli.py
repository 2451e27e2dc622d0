"""The command line. Exit 0: done and well; 1: a rule broken or a part that failed; 2: bad input."""

from __future__ import annotations

import sys
from pathlib import Path

import click

PATH = click.Path(path_type=Path)
EXAMPLES = Path(__file__).resolve().parents[1] / "examples"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """A session front: places video sessions on streaming servers and shapes them there."""


def read_or_exit(reader, path):
    """What the reader makes of the file; or all its mistakes on standard error, and exit 2."""
    from curlewshift.site.reading import Mistakes
    try:
        return reader(path)
    except Mistakes as mistakes:
        click.echo(str(mistakes), err=True)
        sys.exit(2)


def site_of(path: Path):
    from curlewshift.site.site import read_site
    return read_or_exit(read_site, path)


def check_sabotage(name: str | None) -> None:
    """Spoilt fronts are loaded for a rehearsal that names one, and for no other."""
    if name is None:
        return
    from curlewshift.front.spoilt import NAMES
    if name not in NAMES:
        click.echo(f"there is no sabotage {name!r}, but {', '.join(NAMES)}", err=True)
        sys.exit(2)


def run(task, *arguments):
    import anyio
    try:
        return anyio.run(task, *arguments)
    except KeyboardInterrupt:
        sys.exit(1)
    except OSError as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(1)
    except ExceptionGroup as group:
        known, rest = group.split(OSError)
        if rest is not None:
            raise
        for wrong in known.exceptions:
            click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(1)


@main.command()
@click.argument("site", type=PATH)
def check(site):
    """Read SITE and tell all that is wrong with it."""
    held = site_of(site)
    click.echo(f"{site}: {len(held.doors)} fronts, {len(held.machines)} servers, {len(held.titles)} titles, "
               f"{len(held.packages)} packages")


@main.command()
@click.argument("site", type=PATH)
@click.option("--name", help="Which front of the site; the first if not said.")
@click.option("--state", type=PATH, help="A folder for what outlives the process.")
@click.option("--seed", type=int, help="For its chance; drawn if not said.")
@click.option("--capture", type=PATH, help="A folder for all it is told and decides, to be replayed.")
@click.option("--life", default="", hidden=True)
@click.option("--sabotage", default=None, hidden=True)
@click.option("--reserve", default=None, hidden=True)
@click.option("--busy", is_flag=True, hidden=True)
def front(site, name, state, seed, capture, life, sabotage, reserve, busy):
    """Run a front of SITE until SIGTERM."""
    import secrets

    from curlewshift.exchange.tls import BadCertificate
    from curlewshift.front.front import Front
    from curlewshift.limits.permits import BadKeys
    from curlewshift.logs import make_log
    from curlewshift.state.journal import Taken
    held = site_of(site)
    try:
        number = held.door(name) if name else 0
    except KeyError:
        click.echo(f"{site}: there is no front {name!r}, but {', '.join(door.name for door in held.doors)}", err=True)
        sys.exit(2)
    check_sabotage(sabotage)
    if state is not None:
        state.mkdir(parents=True, exist_ok=True)
    arguments = (held, number, secrets.randbits(32) if seed is None else seed, state,
                 make_log(front=held.doors[number].name), life)
    try:
        if sabotage is not None:
            from curlewshift.front.spoilt import spoilt
            made = spoilt(sabotage, *arguments)
        else:
            made = Front(*arguments, capture=capture)
    except (BadKeys, BadCertificate, Taken, OSError) as wrong:
        click.echo(f"{site}: {wrong}", err=True)
        sys.exit(2)
    if reserve is not None:
        from curlewshift.peaks.reserve import FixedReserve
        package, _, share = reserve.partition("=")
        made.desk.peaks.__class__ = FixedReserve
        made.desk.peaks.package, made.desk.peaks.share = made.desk.packages[package], float(share)
    if busy:
        from curlewshift.rehearsal.joins import fill_background
        fill_background(made.background, made.now())
    run(made.run)


@main.command()
def node():
    """Run the front node that NODE_CONFIG describes, until SIGTERM."""
    import os

    from curlewshift.node import configuration
    path = os.environ.get("NODE_CONFIG")
    if not path:
        click.echo("curlewshift: NODE_CONFIG names no configuration", err=True)
        sys.exit(2)
    try:
        posting = configuration.read(path)
    except configuration.Unreadable as wrong:
        click.echo(f"curlewshift: {path} {wrong}", err=True)
        sys.exit(2)
    from curlewshift.logs import make_log
    from curlewshift.node.node import Node
    log = make_log(bounded=True, front=posting.name)
    run(lambda: Node(posting, path, log).run())


@main.command()
@click.argument("log", type=PATH)
@click.option("--until", type=float, help="Seconds of the capture to replay, from its beginning.")
@click.option("--viewing", type=int, help="Explain one viewing, by its number in the front's log.")
@click.option("--against", help="A baseline's name or a revision: what it would have done at each placing.")
def replay(log, until, viewing, against):
    """Tell a desk again what the front of LOG (a capture's folder, or a segment) was told, and compare what it does."""
    from curlewshift.capture.against import Compared, NoSuchPolicy, asked_of, policy
    from curlewshift.capture.records import NotALog
    from curlewshift.capture.replay import Replay
    from curlewshift.capture.store import read_capture
    try:
        records, damage = read_capture(log)
        compared = Compared()
        more = {} if against is None else {"rules": asked_of(policy(against), compared)}
        again = Replay(records, viewing, None if until is None else records[0][1]["now"] + int(until * 1e9), **more)
        done = again.run()
    except AttributeError as wrong:
        if against is None:
            raise
        click.echo(f"curlewshift: {against} knows other facts than the rules do now, and cannot be asked: {wrong}",
                   err=True)
        sys.exit(2)
    except (OSError, NotALog, NoSuchPolicy, ValueError, LookupError) as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)
    for line in done.explained:
        click.echo(line)
    if viewing is not None and not done.explained:
        click.echo(f"viewing {viewing} was not placed in what was replayed", err=True)
    if damage:
        click.echo(f"the capture ends early: {damage}", err=True)
    click.echo(f"{done.told} things told, {done.did} done in answer, over {(done.until - again.began) / 1e9:.1f} s")
    if against is not None:
        click.echo(f"{compared.placings} placings against {against}: " + (", ".join(
            f"{count} {kind}" for kind, count in compared.kinds.most_common()) or "none"))
        for example in compared.examples:
            click.echo("  " + example)
    if done.difference is not None:
        click.echo(f"not the same: {done.difference}", err=True)
        sys.exit(1)


@main.group()
def capture():
    """What is in captures, without replaying them."""


def segments_or_exit(log: Path) -> list[Path]:
    from curlewshift.capture.store import life_in, segments_of
    try:
        life = life_in(log)
        found = segments_of(life) if life.is_dir() else [life]
        if not found or not found[0].exists():
            raise FileNotFoundError(f"there is no capture in {log}")
    except OSError as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)
    return found


@capture.command("list")
@click.argument("log", type=PATH)
def capture_list(log):
    """The segments of LOG (a front's capture folder, or one life's) with what they span."""
    from rich.console import Console
    from rich.table import Table

    from curlewshift.capture.index import Indexer
    from curlewshift.capture.records import NotALog
    from curlewshift.capture.store import index_of
    table, indexer, began = Table(), Indexer(), None
    for column in ("segment", "bytes", "records", "from", "to", "viewings"):
        table.add_column(column, justify="left" if column == "segment" else "right")
    for segment in segments_or_exit(log):
        try:
            index = index_of(segment, indexer)
        except (OSError, NotALog) as wrong:
            click.echo(f"curlewshift: {wrong}", err=True)
            sys.exit(2)
        began = index.first if began is None else began
        table.add_row(f"{segment.parent.name}/{segment.name}", str(segment.stat().st_size), str(index.records),
                      f"{(index.first - began) / 1e9:.1f} s", f"{(index.last - began) / 1e9:.1f} s",
                      str(len(index.viewings)))
    Console(width=140).print(table)


@capture.command("show")
@click.argument("log", type=PATH)
@click.option("--viewing", type=int, help="Only what tells of this viewing; other segments are not read.")
@click.option("--since", type=float, default=0.0, help="Seconds from the capture's beginning.")
@click.option("--until", type=float, help="Seconds from the capture's beginning.")
def capture_show(log, viewing, since, until):
    """Records of LOG in words."""
    from curlewshift.capture.index import Indexer, in_words
    from curlewshift.capture.records import NotALog
    from curlewshift.capture.store import index_of, read_segment
    from curlewshift.capture.tap import BEGAN, TOLD
    indexer, began, at = Indexer(), None, 0
    try:
        for number, segment in enumerate(segments_or_exit(log)):
            index = index_of(segment, Indexer())
            if began is None:
                began = index.first
            past = until is not None and index.first > began + until * 1e9 or index.last < began + since * 1e9
            if past or viewing is not None and viewing not in index.viewings:
                continue
            reading = read_segment(segment)
            for record in reading:
                at = record[1] if record[0] == TOLD else at
                told_of = indexer.add(record)
                wanted = viewing is None or told_of == viewing
                if record[0] != BEGAN and wanted and at >= began + since * 1e9 and (
                        until is None or at <= began + until * 1e9):
                    click.echo(in_words(record, began))
            if reading.damage:
                click.echo(f"the capture ends early: {reading.damage}", err=True)
    except (OSError, NotALog) as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)


@main.group()
def peak():
    """Announced peaks of a front that runs, through its state folder."""


def tell_front(state: Path, command: dict) -> dict:
    """The front's answer; or its no, in words, and exit 2; exit 1 if none listens."""
    from curlewshift.front.control import tell
    try:
        answer = run(tell, state, command)
    except TimeoutError:
        click.echo(f"curlewshift: the front at {state} does not answer", err=True)
        sys.exit(1)
    if not answer.get("ok"):
        click.echo(f"curlewshift: {answer.get('wrong')}", err=True)
        sys.exit(2)
    return answer


STATE = click.option("--state", type=PATH, required=True, help="The front's state folder.")
WHY = click.option("--why", required=True, help="Goes into the log with your name.")


def moment(text: str) -> int:
    """Unix time in ns, of a date and time with its zone or in this machine's, or of +SPAN from now."""
    import time
    from datetime import datetime

    from curlewshift.site.reading import span
    try:
        if text.startswith("+"):
            return time.time_ns() + span(text[1:])
        return int(datetime.fromisoformat(text).timestamp() * 1e9)
    except (ValueError, AttributeError, KeyError, OverflowError):
        raise click.BadParameter(f"{text!r} is neither a date and time, such as 2027-01-31T17:00+01:00, nor +10min") \
            from None


@peak.command("announce")
@click.argument("name")
@STATE
@click.option("--package", required=True)
@click.option("--starts", required=True, help="Date and time, or +SPAN from now.")
@click.option("--ends", required=True, help="Date and time, or +SPAN from now.")
@click.option("--rate", type=float, required=True, help="Viewings of the package a second, all fronts together.")
@click.option("--most", type=float, default=0.5, help="The part of any link that may be held, at most.")
@click.option("--lasts", default="0s", help="How long its viewings last, if known.")
@WHY
def peak_announce(name, state, package, starts, ends, rate, most, lasts, why):
    """Announce the peak NAME. Tell every front."""
    from curlewshift.site.reading import span
    try:
        length = span(lasts)
    except (AttributeError, KeyError, ValueError):
        raise click.BadParameter(f"{lasts!r} is no time with its unit, such as 20s") from None
    tell_front(state, {"do": "announce", "why": why, "peak": {
        "name": name, "package": package, "starts": moment(starts), "ends": moment(ends), "rate": rate, "most": most,
        "lasts": length}})


@peak.command("cancel")
@click.argument("name")
@STATE
@WHY
def peak_cancel(name, state, why):
    """Take the peak NAME off the calendar; what is held for it is given back at the next second."""
    tell_front(state, {"do": "cancel", "name": name, "why": why})


@peak.command("list")
@STATE
def peak_list(state):
    """What is announced, and what is held for it here."""
    from datetime import datetime

    from rich.console import Console
    from rich.table import Table
    table = Table()
    for column in ("peak", "package", "starts", "ends", "a second", "most", "phase", "held here", "who", "why"):
        table.add_column(column)
    for row in tell_front(state, {"do": "peaks"})["peaks"]:
        times = [datetime.fromtimestamp(row[name] / 1e9).astimezone().isoformat(timespec="seconds")
                 for name in ("starts", "ends")]
        table.add_row(row["name"], row["package"], *times, f"{row['rate']:g}", f"{row['most']:.0%}", row["phase"],
                      f"{row['held_here']} kB/s", row["who"], row["why"])
    Console(width=200).print(table)


@main.group()
def limits():
    """What a front bounds at its door."""


@limits.command("show")
@STATE
def limits_show(state):
    """Who is held back, by which limit and since when."""
    from rich.console import Console
    from rich.table import Table
    told = tell_front(state, {"do": "limits"})
    click.echo(f"{told['connections']} connections of {told['most_connections']}, {told['dropped']} idle ones dropped, "
               f"{told['none_left']} times none left")
    if told["limits"] is None:
        click.echo("the settings bound no requests")
        return
    held = told["limits"]
    click.echo(f"{held['in_work']} requests in work of {held['places']}, {held['waiting']} in line; refused so far: "
               + (", ".join(f"{count} by {kind}" for kind, count in held["refused"].items()) or "none"))
    table = Table(title="held back now")
    for column in ("limit", "who", "for", "refused"):
        table.add_column(column)
    for row in held["held_back"]:
        table.add_row(row["limit"], row["who"], f"{row['for_ns'] / 1e9:.1f} s", str(row["refused"]))
    Console(width=120).print(table)
    for row in held["heaviest"]:
        click.echo(f"  {row['who']}: {row['count']:g} of late, {row['error']:g} of them perhaps not")


@main.group()
def authority():
    """A private authority for the site's certificates."""


@authority.command("make")
@click.argument("folder", type=PATH)
@click.option("--name", default="curlewshift", help="What it is called in its certificate.")
def authority_make(folder, name):
    """Make an authority in FOLDER."""
    from curlewshift.site.authority import NoAuthority, make_authority
    try:
        click.echo(make_authority(folder, name))
    except (NoAuthority, OSError) as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)


@authority.command("issue")
@click.argument("folder", type=PATH)
@click.argument("hosts", nargs=-1, required=True)
@click.option("--out", type=PATH, required=True, help="Path without ending: .pem and .key are added.")
@click.option("--days", default=90.0)
def authority_issue(folder, hosts, out, days):
    """Sign a certificate for HOSTS (names or addresses) with the authority in FOLDER."""
    from curlewshift.site.authority import NoAuthority, issue
    try:
        click.echo("\n".join(str(path) for path in issue(folder, list(hosts), out, days)))
    except (NoAuthority, OSError) as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)


@main.group()
def standin():
    """Run stand-ins alone."""


@standin.command("server")
@click.argument("site", type=PATH)
@click.option("--traffic", type=PATH, help="A file for what the servers see.")
@click.option("--setup-work", default=30.0, help="Milliseconds of a core that one set-up takes.")
def standin_server(site, traffic, setup_work):
    """All media servers of SITE and its list, where the site says, until interrupted."""
    from curlewshift.standins.running import run_site
    run(run_site, site_of(site), traffic, setup_work / 1000)


@standin.command("list")
@click.argument("site", type=PATH)
def standin_list(site):
    """The server list of SITE alone, all servers held to be up, until interrupted."""
    from curlewshift.standins.running import run_list
    run(run_list, site_of(site))


@standin.command("fleet", hidden=True)
@click.argument("script", type=PATH)
@click.option("--traffic", type=PATH, required=True)
@click.option("--seed", type=int, default=1)
def standin_fleet(script, traffic, seed):
    """The servers and list of a rehearsal: tells the list's port, then reads when the day begins."""
    from curlewshift.standins.running import run_fleet
    from curlewshift.standins.script import read_script
    run(run_fleet, read_or_exit(read_script, script), seed, traffic)


@main.command()
@click.argument("script", type=PATH, required=False)
@click.option("--out", type=PATH, required=True, help="A folder for verdict, traffic, chart and logs.")
@click.option("--trouble", help="Kinds with commas between, at drawn times, instead of the script's own.")
@click.option("--seed", type=int, help="Instead of the script's.")
@click.option("--sabotage", help="Spoil the fronts on purpose, to see the rule caught.")
@click.option("--hold", type=click.Choice(["announced", "none", "reserve"]), default="announced",
              help="Whether fronts hear of what the script announces, or keep a fixed reserve all day instead.")
@click.option("--capture", is_flag=True, help="Capture every life of every front, and replay each at the end.")
@click.option("--forget", is_flag=True, help="Killed fronts lose what they knew of sessions, as a baseline.")
def rehearse(script, out, trouble, seed, sabotage, hold, capture, forget):
    """Play the day of SCRIPT on loopback and judge the six rules from the sockets."""
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn

    from curlewshift.rehearsal.chart import draw_day
    from curlewshift.rehearsal.rehearse import Rehearsal, StartFailed
    from curlewshift.rehearsal.table import verdict_tables
    from curlewshift.standins.script import read_script
    from curlewshift.standins.traffic import read_traffic
    if trouble is not None:
        from curlewshift.rehearsal.mix import mixed_script
        try:
            script = mixed_script(script or EXAMPLES / "bad-day.xml", trouble.split(","), seed or 1, out)
        except (ValueError, OSError) as wrong:
            click.echo(f"curlewshift: {wrong}", err=True)
            sys.exit(2)
    if script is None:
        raise click.UsageError("a SCRIPT or --trouble is needed")
    held = read_or_exit(read_script, script)
    check_sabotage(sabotage)
    with Progress(TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed:.0f}/{task.total:.0f} s"),
                  console=Console(stderr=True)) as bar:
        task = bar.add_task("rehearsing", total=held.lasts)

        def told(done, of):
            bar.update(task, completed=done, total=of)
        try:
            verdict = run(Rehearsal(held, script, out, held.seed if seed is None else seed, sabotage, told, hold, capture,
                                      forget).run)
        except* StartFailed as failed:
            click.echo(f"curlewshift: {failed.exceptions[0]}", err=True)
            sys.exit(1)
    draw_day(read_traffic(out / "traffic.jsonl"), out / "day.svg")
    for table in verdict_tables(verdict):
        Console().print(table)
    broken = any(rule["broken"] for rule in verdict["rules"].values())
    differ = [life for life, run in verdict.get("replays", {}).items() if run["difference"]]
    for life in differ:
        click.echo(f"the replay of {life} is not the same: {verdict['replays'][life]['difference']}", err=True)
    sys.exit(1 if broken or differ or verdict["left_standing"] or verdict["orphans_left"] else 0)


KINDS = {"paid": dict(paid=True), "free": dict(paid=False), "seats": dict(paid=False, seats=1, clients=2),
         "paid-seats": dict(paid=True, seats=1, clients=2)}


@main.command()
@click.argument("kind", type=click.Choice(list(KINDS)))
@click.option("--depth", type=click.IntRange(0, 12), default=5, help="Steps of each course.")
@click.option("--settle-all", is_flag=True, help="Look at what comes of each state, and not of the last ones alone.")
@click.option("--crashes", type=click.IntRange(1, 100_000), help="Instead: so many long courses, killed at each step.")
@click.option("--seed", type=int, default=1, help="For the long courses.")
def walk(kind, depth, settle_all, crashes, seed):
    """Walk all orders in which things can happen to one viewing (or two that want one seat), and check the rules."""
    from curlewshift.walk.walk import crash_points
    from curlewshift.walk.walk import walk as walked
    from curlewshift.walk.world import Budgets, World

    def make():
        return World(Budgets(), **KINDS[kind])
    if crashes is not None:
        done = crash_points(make, crashes, 24, seed)
        click.echo(f"{done.runs} courses, killed at {done.points} points; {done.taken_up} sessions were taken up after")
    else:
        done = walked(make, depth, settle_all)
        click.echo(f"{done.states} states to a depth of {done.depth}, {done.ends} of them settled, {done.steps} steps")
    if done.breach:
        click.echo(f"rule broken: {done.breach}", err=True)
        for step in done.course:
            click.echo("  " + " ".join(str(part) for part in step), err=True)
        sys.exit(1)


@main.command()
@click.argument("script", type=PATH)
@click.option("--out", type=PATH, required=True, help="A script to write the worst day to.")
@click.option("--tries", type=click.IntRange(1, 1_000_000), default=300, help="Days to look at.")
@click.option("--seed", type=int, default=1)
@click.option("--sabotage", default="", help="Spoil the fronts on purpose, to see it found.")
def search(script, out, tries, seed, sabotage):
    """Look in the emulator for days near SCRIPT's on which a rule breaks or an oracle does much better."""
    from rich.console import Console
    from rich.progress import Progress

    from curlewshift.search.search import search as searched
    from curlewshift.search.search import shrunk
    from curlewshift.search.writing import write_found
    from curlewshift.standins.script import read_script
    held = read_or_exit(read_script, script)
    check_sabotage(sabotage or None)
    with Progress(console=Console(stderr=True)) as bar:
        task = bar.add_task("searching", total=tries)
        found = searched(held, tries, seed, wrong=sabotage, progress=lambda done, of, best: bar.update(
            task, completed=done, description=f"worst so far {best.badness:.3f}"))
    if not found.is_find:
        click.echo(f"nothing found in {tries} days; the worst is {found.gap:.3f} under an oracle's {held.site.name}")
        sys.exit(0)
    found = shrunk(found, wrong=sabotage)
    write_found(found, out)
    click.echo(f"{out}: service {found.service:.3f}, {found.gap:.3f} under an oracle's; broken: "
               f"{', '.join(found.broken) or found.runaway or 'nothing'}; "
               f"{len(found.script.troubles)} troubles: {', '.join(one.kind for one in found.script.troubles)}")
    sys.exit(1)


@main.group()
def experiment():
    """Questions asked of the emulator; all its figures are simulated."""


STORE = click.option("--store", type=PATH, required=True, help="An SQLite file for the runs.")


def rich_cells(held, found) -> None:
    from rich.console import Console
    from rich.table import Table
    table = Table(title=held.question)
    for column in ("levels", "measure", "median", "95%", "seeds", f"against {held.baseline}", "wrong"):
        table.add_column(column, justify="left" if column in ("levels", "measure") else "right")
    for cell in found:
        table.add_row(", ".join(f"{name} {level}" for name, level in cell.levels), cell.measure, f"{cell.median:.3f}",
                      f"{cell.low:.3f} to {cell.high:.3f}", str(cell.seeds),
                      "" if cell.against is None else "{:+.3f} ({:+.3f} to {:+.3f})".format(*cell.against),
                      str(cell.wrong or ""))
    Console(width=150).print(table)


@experiment.command("run")
@click.argument("file", type=PATH)
@STORE
@click.option("--out", type=PATH, help="A folder for charts and the HTML page.")
@click.option("--workers", type=click.IntRange(0, 512), default=0, help="Processes; all cores but one if not said.")
def experiment_run(file, store, out, workers):
    """Carry out what of the experiment in FILE is not done yet, and show what came of it."""
    from rich.progress import Progress

    from curlewshift.experiments.experiment import read_experiment
    from curlewshift.experiments.report import write_report
    from curlewshift.experiments.runner import carry_on, revision
    from curlewshift.experiments.store import Busy, RunStore
    from curlewshift.experiments.table import cells
    held = read_or_exit(read_experiment, file)
    try:
        kept = RunStore(store)
    except Busy as busy:
        click.echo(f"curlewshift: {busy}", err=True)
        sys.exit(2)
    of = revision()
    with Progress() as bar:
        task = bar.add_task(held.name, total=len(held.runs()))
        done = carry_on(held, kept, of, workers, lambda so_far, all_of_them: bar.update(task, completed=so_far))
    kept.close()
    found = cells(held, done)
    rich_cells(held, found)
    if out is not None:
        click.echo(str(write_report(held, found, of, out)))
    sys.exit(1 if any(cell.wrong for cell in found) else 0)


@experiment.command("show")
@click.argument("file", type=PATH)
@STORE
@click.option("--out", type=PATH, help="A folder for charts and the HTML page.")
def experiment_show(file, store, out):
    """What is kept of the experiment in FILE, of its newest revision."""
    from curlewshift.experiments.experiment import read_experiment
    from curlewshift.experiments.report import write_report
    from curlewshift.experiments.store import RunStore
    from curlewshift.experiments.table import cells
    held, kept = read_or_exit(read_experiment, file), RunStore(store, write=False)
    revisions = kept.revisions(held.name)
    if not revisions:
        click.echo(f"curlewshift: {store} has no run of {held.name}", err=True)
        sys.exit(2)
    found = cells(held, kept.done(held.name, revisions[-1]))
    rich_cells(held, found)
    if out is not None:
        click.echo(str(write_report(held, found, revisions[-1], out)))


@experiment.command("compare")
@click.argument("file", type=PATH)
@STORE
@click.option("--of", "revisions", nargs=2, help="Two revisions; the two newest if not said.")
def experiment_compare(file, store, revisions):
    """The experiment in FILE at two revisions, paired over levels and seeds."""
    from curlewshift.experiments.experiment import read_experiment
    from curlewshift.experiments.store import RunStore
    from curlewshift.experiments.table import interval
    held, kept = read_or_exit(read_experiment, file), RunStore(store, write=False)
    both = list(revisions or kept.revisions(held.name)[-2:])
    if len(both) < 2:
        click.echo(f"curlewshift: {store} has runs of {len(both)} revisions of {held.name}; two are compared", err=True)
        sys.exit(2)
    before, after = (kept.done(held.name, one) for one in both)
    for name in held.measures:
        pairs = [after[run][name] - figures[name] for run, figures in before.items()
                 if run in after and "wrong" not in figures and "wrong" not in after[run] and name in figures]
        middle, low, high = interval(pairs)
        click.echo(f"{name}: {both[1]} less {both[0]}: {middle:+.4f} ({low:+.4f} to {high:+.4f}) over {len(pairs)} pairs")


@main.group()
def measure():
    """Measurements; each is one run, its figures are ratios."""


def keep(out: Path, figures: dict) -> None:
    import json
    text = json.dumps(figures, indent=1)
    out.write_text(text + "\n")
    click.echo(text)


@measure.command("joins")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
@click.option("--count", type=click.IntRange(10, 100_000), default=1500, help="Joins each way.")
def measure_joins(out, count):
    """Joins through a front, plain and with TLS, beside the same joins straight at a stand-in."""
    from curlewshift.rehearsal.joins import measure_joins as measured
    keep(out, run(measured, count))


@measure.command("fleet")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
@click.option("--count", type=click.IntRange(100, 1_000_000), default=3000, help="Requests for each size.")
def measure_fleet(out, count):
    """What a request and a whole list cost at 100 to 6,400 servers."""
    from curlewshift.rehearsal.fleet_cost import measure_fleet as measured
    keep(out, measured(count))


@measure.command("keys")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_keys(out):
    """What a key costs in the table beside a plain dictionary that is swept."""
    from curlewshift.rehearsal.key_cost import measure_keys as measured
    keep(out, measured())


@measure.command("wheel")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_wheel(out):
    """What setting, taking back and telling timers costs on the wheel beside a heap."""
    from curlewshift.rehearsal.wheel_cost import measure_wheel as measured
    keep(out, measured())


@measure.command("recovery")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_recovery(out):
    """How long a front that starts again takes to know what plays, by how many sessions there are."""
    from curlewshift.rehearsal.recovery_cost import measure_recovery as measured
    keep(out, run(measured))


@measure.command("events")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_events(out):
    """What an event costs in the emulator's buckets beside a plain heap."""
    from curlewshift.emulator.queue_cost import measure_events as measured
    keep(out, measured())


@measure.command("agreement")
@click.argument("script", type=PATH)
@click.option("--days", type=PATH, required=True, help="A folder with rehearsals of SCRIPT on sockets, one a folder.")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_agreement(script, days, out):
    """Whether the emulator shows the picture that sockets showed; exit 1 where a bound is passed."""
    from curlewshift.emulator.agreement import agreement, picture
    from curlewshift.emulator.world import World
    from curlewshift.rehearsal.rehearse import figures_of
    from curlewshift.standins.script import read_script
    from curlewshift.standins.traffic import read_traffic
    from curlewshift.verdict.verdict import judge
    held = read_or_exit(read_script, script)
    figures, there, here = figures_of(held.site), [], []
    for traffic in sorted(days.glob("*/traffic.jsonl")):
        events = read_traffic(traffic)
        there.append(picture(events, judge(events, figures)))
        emulated: list[dict] = []
        World(held, len(there), emulated).run()
        here.append(picture(emulated, judge(emulated, figures)))
    if not there:
        click.echo(f"curlewshift: there is no day in {days}", err=True)
        sys.exit(2)
    told = agreement(there, here)
    keep(out, {"script": script.name, "days": len(there), "figures": told})
    sys.exit(0 if all(one["agrees"] for one in told.values()) else 1)


@measure.command("flood")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_flood(out):
    """What clients get while others flood the door, with limits and without, with few descriptors."""
    from curlewshift.rehearsal.flood import measure_flood as measured
    keep(out, run(measured))


@measure.command("limits")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_limits(out):
    """What a refusal costs beside a join, a million addresses in memory, and how far off the sketch is."""
    from curlewshift.rehearsal.limits_cost import measure_limits as measured
    keep(out, run(measured))
