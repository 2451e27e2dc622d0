"""The failures of an ordinary day, month and year at a size: who notices, how soon, what moves, what it costs, what waits."""

from __future__ import annotations

from dataclasses import dataclass

from curlewshift.capacity.at_node import BY_REQUEST, told_at_once
from curlewshift.capacity.figures import NOT_MEASURED, Figure, short, supposed, worked_out
from curlewshift.capacity.in_force import longest
from curlewshift.capacity.measured import Measurements, a_second, carried
from curlewshift.capacity.size import DAY, Size

RESTART, STORM, STORM_LASTS = "restart-by-servers", "storm-time", "storm-until-all-play"


@dataclass(frozen=True)
class Failure:
    """Each cell in words, with the figures in them; `of` are those figures, for their files and commands."""

    what: str
    often: str
    notices: str
    moves: str
    costs: str
    waits: str
    of: tuple[Figure | None, ...]


def said(figure: Figure | None) -> str:
    return figure.text() if figure else NOT_MEASURED


def _many(count: float) -> str:
    return f"{short(count / 1e6)} million" if count >= 1e6 else short(count)


def _viewers(told: dict | None) -> str:
    """What viewers at the real nodes of the run got."""
    if not told:
        return ""
    return f" (of {told['asked']} asked at real nodes of the run, through all its faults, {told['played']} played)"


def _limit(figure: Figure | None) -> str:
    return f" ({figure.limit()})" if figure and figure.limit() else ""


class Failures:
    def __init__(self, size: Size, measured: Measurements):
        self.size, self.measured = size, measured
        last = len(measured.get("peers.json", "emulated", "sizes") or ()) - 1
        self.detected = measured.figure(
            "peers.json",
            "emulated",
            "sizes",
            last,
            "detected_p99_periods",
            unit="s",
            by=(measured.get("peers.json", "emulated", "period_ms") or 0) / 1000,
        )
        self.lease_gap = measured.figure(
            "leases.json",
            "without_holder_after_kill_terms",
            "p99",
            unit="s",
            by=(measured.get("leases.json", "term_ms") or 0) / 1000,
        )

    def all(self) -> list[Failure]:
        return [
            self.machine(),
            self.restart(),
            self.rack(),
            self.zone(),
            self.zone_returns(),
            self.apart(),
            self.control_gone(),
            self.one_control_machine(),
            self.largest_topic(),
            self.list_gone(),
        ]

    def machine(self) -> Failure:
        size = self.size
        return Failure(
            "a machine fails",
            f"{short(size.machines_a_day)} a day",
            f"its clients at once, by their connections; peers within {said(self.detected)} p99 at 1,000 nodes; servers by "
            "their connections",
            f"{self.connections(1)} come again at others; its rights come back after their term; its leases are held again "
            f"after {said(self.lease_gap)} p99; list and configuration: nothing moves",
            self.come_again(1),
            "seats and rights that it had lent or borrowed, until their terms are over",
            (self.detected, self.lease_gap, *self._set_up()),
        )

    def restart(self) -> Failure:
        size = self.size
        ready = carried(self.measured, RESTART, size.guess("servers"), "s")
        storm = carried(self.measured, STORM, size.connections_a_node, "s")
        lasts = carried(self.measured, STORM_LASTS, size.connections_a_node, "s", beyond=False)
        old = self.measured.figure("recovery.json", "rows", 3, "all_adopted_after_ms", unit="s", by=0.001)
        each = worked_out(DAY / size.restarts_a_day, "s")
        return Failure(
            "a restart or replacement",
            f"{short(size.restarts_a_day)} a day, one each {said(each)}",
            "peers by its word that it leaves, else as above",
            f"as above: {self.connections(1)}; viewings are taken up from its state folder where it has one; configuration "
            "from its disk, else from peers, else from the file it was given",
            f"{self.come_again(1)}. Ready after {said(ready)} with a list of {short(size.guess('servers'))} servers; if all its "
            f"own come again at once, {said(storm)} of processor time and {said(lasts)} until all play"
            f"{_limit(storm)}; 10,000 viewings taken up from its folder after {said(old)}",
            "its own rights, for as long as an earlier life may have lent them; servers of a stale list, for a warm-up",
            (each, ready, storm, lasts, old, *self._set_up()),
        )

    def rack(self) -> Failure:
        size, nodes = self.size, self.size.guess("nodes-a-rack")
        return Failure(
            "a rack or switch",
            f"each {short(size.rack_each_days)} days",
            f"as a machine; {short(nodes)} at once (assumed)",
            f"{self.connections(nodes)} come again",
            self.come_again(nodes),
            "as a machine",
            (self.detected, *self._set_up()),
        )

    def zone(self) -> Failure:
        size, nodes = self.size, self.size.nodes_a_zone
        converged, worst = self.fault("zone-lost", "known_s"), self.fault("zone-lost", "while", "all", "bytes_a_second", "mean")
        return Failure(
            f"a zone lost: {short(nodes)} nodes",
            f"each {short(size.zone_each_days)} days",
            f"peers; until all agree: {said(converged)}",
            f"{self.connections(nodes)} come again elsewhere; rights and leases as above, all at once; the zone's aggregator is "
            "another node's work at once; control machines of the zone are missed by the majority",
            f"{self.come_again(nodes)}; control out meanwhile {said(worst)}, the users grant {short(size.control_bytes)} bytes/s",
            "nothing that serves; changes only if a majority of the control machines was there",
            (converged, worst, *self._set_up()),
        )

    def zone_returns(self) -> Failure:
        size, nodes = self.size, self.size.nodes_a_zone
        whole = size.guess("configuration-kB")
        all_ = supposed(whole * nodes, "kB")
        again = self.change_after("zone-lost")
        return Failure(
            f"a zone returns: {short(nodes)} empty nodes at once",
            f"each {short(size.zone_each_days)} days",
            "peers at once",
            f"the configuration {short(nodes)} times, {said(all_)} together, from each other and from who is near",
            "a giver of the other zones: bounded, apart from its channel; "
            f"a change is in force everywhere after they are back: {said(again)}",
            "their own rights, and cold servers' paces",
            (all_, again),
        )

    def apart(self) -> Failure:
        size = self.size
        changes = worked_out(size.changes_a_day * size.regions_apart / DAY, "changes")
        converged = self.fault("regions-apart", "converged_s")
        worst = self.fault("regions-apart", "while", "all", "bytes_a_second", "mean")
        after = self.fault("regions-apart", "after", "all", "bytes_a_second", "mean")
        change = self.change_after("regions-apart")
        held = size.control_machines - size.control_machines // size.regions - (1 if size.control_machines % size.regions else 0)
        majority = size.control_machines // 2 + 1
        able = "no side has it where they lie" if held < majority else "two regions together have it where they lie"
        return Failure(
            f"regions apart for {short(size.regions_apart / 60)} minutes, changes made meanwhile",
            "several times a year",
            f"peers, as a machine; until all agree after they meet: {said(converged)}",
            f"no connection; {said(changes)} are made meanwhile, by whoever has {majority} of {size.control_machines} control "
            f"machines; all {size.regions} regions apart: no side has a majority, and no change is made",
            f"control out {said(worst)} meanwhile, {said(after)} after; "
            f"a change in force everywhere after they meet: {said(change)}",
            f"a region without a majority goes on with what it has, up to {short(size.regions_apart)} s old (the largest region "
            f"holding {size.control_machines - held} of {size.control_machines} cut off: {able}); leases of a minority's "
            "holders end with their term",
            (changes, converged, worst, after, change),
        )

    def control_gone(self) -> Failure:
        size = self.size
        refused = self.measured.get(self.measured.scale(size.nodes) or "", "verdict", "served")
        after = self.change_after("kill-control")
        return Failure(
            f"all {size.control_machines} control machines gone",
            "no number is stated",
            "nobody who serves; who asks for a change is told at once that there is no majority",
            "no connection, viewing or right; leases kept by them end with their terms, and their tasks fall back to what each "
            "node does alone",
            f"nothing{_viewers(refused)}; a change is in force everywhere after they are back: {said(after)}",
            f"changes ({short(size.changes_a_day)} a day wait); nodes say how old theirs is; a node that starts takes it from "
            "its disk or a peer",
            (after,),
        )

    def one_control_machine(self) -> Failure:
        size = self.size
        left = size.control_machines - 1
        majority = size.control_machines // 2 + 1
        return Failure(
            "one control machine lost, another restarts meanwhile",
            f"{short(size.machines_a_day / size.nodes * 365)} a year each",
            "the writer, at its next change",
            f"nothing; {left} of {size.control_machines} are left and {majority} make a majority, with one more away "
            f"{left - 1} are left: {'still a majority' if left - 1 >= majority else 'no change can be made'}",
            "nothing",
            "changes, while fewer than a majority are up",
            (),
        )

    def largest_topic(self) -> Failure:
        size = self.size
        a_node = worked_out(size.largest / size.nodes, "notices")
        lasts = told_at_once(size, self.measured)
        words = (
            f"×{lasts.value / size.p99 / 1000:.3g} of the {short(size.p99 * 1000)} ms"
            if lasts
            else f"against {short(size.p99 * 1000)} ms"
        )
        return Failure(
            f"the largest topic's {_many(size.largest)} listeners are told at once",
            "no number is stated",
            "each node by the media servers that it plays on",
            f"{said(a_node)} a node, if its listeners are spread evenly; nothing else moves",
            f"one process tells its listeners one after another and answers nobody else meanwhile: {said(lasts)}, {words}",
            "other answers of that node, for as long",
            (a_node, lasts),
        )

    def list_gone(self) -> Failure:
        return Failure(
            "who tells the list is silent",
            "no number is stated",
            "each follower for itself, after 2.2 s without a frame (`SILENT_FOR` in `node/follower.py`)",
            "nothing; the last list stands",
            f"a follower dials again, at most each second, all {self.size.nodes:,} of them",
            "news of servers: a start, a drain",
            (),
        )

    # ---- figures that several have

    def connections(self, nodes: float) -> str:
        return f"{_many(self.size.connections_a_node * nodes)} connections"

    def come_again(self, nodes: float) -> str:
        """What those who come again are for each node that is left, if they come spread over the time assumed."""
        size, within = self.size, self.size.guess("come-again-within-s")
        if nodes >= size.nodes:
            return "nobody is left"
        each = size.connections_a_node * nodes / (size.nodes - nodes)
        rate = each / within
        return (
            f"{short(each)} for each of the others, {short(rate)} a second over {short(within)} s (assumed), "
            f"set-ups alone {said(a_second(self.measured, BY_REQUEST, rate))}"
        )

    def _set_up(self) -> tuple[Figure | None, ...]:
        return (a_second(self.measured, BY_REQUEST, self.size.deliveries_a_node),)

    def fault(self, kind: str, *way: str) -> Figure | None:
        """Of a scale run's faults, by kind."""
        for file, place, one in self.measured.faults(self.size.nodes):
            if one.get("kind") == kind:
                return self.measured.at_size(
                    self.size.nodes, "faults", place, *way, file=file, unit="bytes/s" if "bytes_a_second" in way else "s"
                )
        return None

    def change_after(self, kind: str) -> Figure | None:
        """Seconds from the end of a fault until a change was in force everywhere."""
        for file, _, one in self.measured.faults(self.size.nodes):
            if one.get("kind") == kind:
                found = longest(self.measured, file, one.get("change_after"))
                return found and self.measured.of_run(file, found, self.size.nodes)
        return None
