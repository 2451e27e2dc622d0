"""The expected failures at a size: their rate, detection, what moves to other nodes, what that costs and what is delayed."""

from __future__ import annotations

from dataclasses import dataclass

from curlewshift.capacity.at_node import BY_REQUEST, largest_topic_notification_time
from curlewshift.capacity.figures import NOT_MEASURED, Figure, derived, format_number, from_assumptions
from curlewshift.capacity.in_force import slowest_change
from curlewshift.capacity.measured import Measurements, cores_at_rate, extrapolated
from curlewshift.capacity.size import SECONDS_PER_DAY, Size

RESTART, STORM, STORM_DURATION = "restart-by-servers", "storm-time", "storm-until-all-play"


@dataclass(frozen=True)
class Failure:
    """The cells of a row as text; `of` are the figures in them, for their commands."""

    what: str
    often: str
    notices: str
    moves: str
    costs: str
    waits: str
    of: tuple[Figure | None, ...]


def figure_text(figure: Figure | None) -> str:
    return figure.text() if figure else NOT_MEASURED


def _many(count: float) -> str:
    return f"{format_number(count / 1e6)} million" if count >= 1e6 else format_number(count)


def _viewers(viewers: dict | None) -> str:
    """Describes how many viewings at the real nodes of the run were played."""
    if not viewers:
        return ""
    return f" (of {viewers['asked']} asked at real nodes of the run, through all its faults, {viewers['played']} played)"


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
            multiplier=(measured.get("peers.json", "emulated", "period_ms") or 0) / 1000,
        )
        self.lease_gap = measured.figure(
            "leases.json",
            "without_holder_after_kill_terms",
            "p99",
            unit="s",
            multiplier=(measured.get("leases.json", "term_ms") or 0) / 1000,
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
            f"{format_number(size.machines_a_day)} a day",
            f"its clients at once, by their connections; peers within {figure_text(self.detected)} "
            f"p99 at 1,000 nodes; servers by "
            "their connections",
            f"{self.connections(1)} come again at others; its rights come back after their term; its leases are held again "
            f"after {figure_text(self.lease_gap)} p99; list and configuration: nothing moves",
            self.come_again(1),
            "seats and rights that it had lent or borrowed, until their terms are over",
            (self.detected, self.lease_gap, *self._set_up()),
        )

    def restart(self) -> Failure:
        size = self.size
        ready = extrapolated(self.measured, RESTART, size.assumption("servers"), "s")
        storm = extrapolated(self.measured, STORM, size.connections_a_node, "s")
        duration = extrapolated(self.measured, STORM_DURATION, size.connections_a_node, "s", extrapolate=False)
        old = self.measured.figure("recovery.json", "rows", 3, "all_adopted_after_ms", unit="s", multiplier=0.001)
        each = derived(SECONDS_PER_DAY / size.restarts_a_day, "s")
        return Failure(
            "a restart or replacement",
            f"{format_number(size.restarts_a_day)} a day, one each {figure_text(each)}",
            "peers by its word that it leaves, else as above",
            f"as above: {self.connections(1)}; viewings are taken up from its state folder where it has one; configuration "
            "from its disk, else from peers, else from the file it was given",
            f"{self.come_again(1)}. Ready after {figure_text(ready)} with a list of {format_number(size.assumption('servers'))} "
            f"servers; if all its "
            f"own come again at once, {figure_text(storm)} of processor time and {figure_text(duration)} until all play"
            f"{_limit(storm)}; 10,000 viewings taken up from its folder after {figure_text(old)}",
            "its own rights, for as long as an earlier life may have lent them; servers of a stale list, for a warm-up",
            (each, ready, storm, duration, old, *self._set_up()),
        )

    def rack(self) -> Failure:
        size, nodes = self.size, self.size.assumption("nodes-a-rack")
        return Failure(
            "a rack or switch",
            f"each {format_number(size.rack_each_days)} days",
            f"as a machine; {format_number(nodes)} at once (assumed)",
            f"{self.connections(nodes)} come again",
            self.come_again(nodes),
            "as a machine",
            (self.detected, *self._set_up()),
        )

    def zone(self) -> Failure:
        size, nodes = self.size, self.size.nodes_a_zone
        converged, worst = self.fault("zone-lost", "known_s"), self.fault("zone-lost", "while", "all", "bytes_a_second", "mean")
        return Failure(
            f"a zone lost: {format_number(nodes)} nodes",
            f"each {format_number(size.zone_each_days)} days",
            f"peers; until all agree: {figure_text(converged)}",
            f"{self.connections(nodes)} come again elsewhere; rights and leases as above, all at once; the zone's aggregator is "
            "another node's work at once; control machines of the zone are missed by the majority",
            f"{self.come_again(nodes)}; control out meanwhile {figure_text(worst)}, "
            f"the users grant {format_number(size.control_bytes)} bytes/s",
            "nothing that serves; changes only if a majority of the control machines was there",
            (converged, worst, *self._set_up()),
        )

    def zone_returns(self) -> Failure:
        size, nodes = self.size, self.size.nodes_a_zone
        configuration_kb = size.assumption("configuration-kB")
        all_ = from_assumptions(configuration_kb * nodes, "kB")
        again = self.change_after("zone-lost")
        return Failure(
            f"a zone returns: {format_number(nodes)} empty nodes at once",
            f"each {format_number(size.zone_each_days)} days",
            "peers at once",
            f"the configuration {format_number(nodes)} times, {figure_text(all_)} together, from each other and from who is near",
            "a giver of the other zones: bounded, apart from its channel; "
            f"a change is in force everywhere after they are back: {figure_text(again)}",
            "their own rights, and cold servers' paces",
            (all_, again),
        )

    def apart(self) -> Failure:
        size = self.size
        changes = derived(size.changes_a_day * size.regions_apart / SECONDS_PER_DAY, "changes")
        converged = self.fault("regions-apart", "converged_s")
        worst = self.fault("regions-apart", "while", "all", "bytes_a_second", "mean")
        after = self.fault("regions-apart", "after", "all", "bytes_a_second", "mean")
        change = self.change_after("regions-apart")
        held = size.control_machines - size.control_machines // size.regions - (1 if size.control_machines % size.regions else 0)
        majority = size.control_machines // 2 + 1
        able = "no side has it where they lie" if held < majority else "two regions together have it where they lie"
        return Failure(
            f"regions apart for {format_number(size.regions_apart / 60)} minutes, changes made meanwhile",
            "several times a year",
            f"peers, as a machine; until all agree after they meet: {figure_text(converged)}",
            f"no connection; {figure_text(changes)} "
            f"are made meanwhile, by whoever has {majority} of {size.control_machines} control "
            f"machines; all {size.regions} regions apart: no side has a majority, and no change is made",
            f"control out {figure_text(worst)} meanwhile, {figure_text(after)} after; "
            f"a change in force everywhere after they meet: {figure_text(change)}",
            f"a region without a majority goes on with what it has, up to {format_number(size.regions_apart)} "
            f"s old (the largest region "
            f"holding {size.control_machines - held} of {size.control_machines} cut off: {able}); leases of a minority's "
            "holders end with their term",
            (changes, converged, worst, after, change),
        )

    def control_gone(self) -> Failure:
        size = self.size
        refused = self.measured.get(self.measured.scale_file(size.nodes) or "", "verdict", "served")
        after = self.change_after("kill-control")
        return Failure(
            f"all {size.control_machines} control machines gone",
            "no number is stated",
            "nobody who serves; who asks for a change is told at once that there is no majority",
            "no connection, viewing or right; leases kept by them end with their terms, and their tasks fall back to what each "
            "node does alone",
            f"nothing{_viewers(refused)}; a change is in force everywhere after they are back: {figure_text(after)}",
            f"changes ({format_number(size.changes_a_day)} a day wait); nodes say how old theirs is; "
            f"a node that starts takes it from "
            "its disk or a peer",
            (after,),
        )

    def one_control_machine(self) -> Failure:
        size = self.size
        left = size.control_machines - 1
        majority = size.control_machines // 2 + 1
        return Failure(
            "one control machine lost, another restarts meanwhile",
            f"{format_number(size.machines_a_day / size.nodes * 365)} a year each",
            "the writer, at its next change",
            f"nothing; {left} of {size.control_machines} are left and {majority} make a majority, with one more away "
            f"{left - 1} are left: {'still a majority' if left - 1 >= majority else 'no change can be made'}",
            "nothing",
            "changes, while fewer than a majority are up",
            (),
        )

    def largest_topic(self) -> Failure:
        size = self.size
        a_node = derived(size.largest_topic_listeners / size.nodes, "notices")
        duration = largest_topic_notification_time(size, self.measured)
        ratio = (
            f"×{duration.value / size.p99 / 1000:.3g} of the {format_number(size.p99 * 1000)} ms"
            if duration
            else f"against {format_number(size.p99 * 1000)} ms"
        )
        return Failure(
            f"the largest topic's {_many(size.largest_topic_listeners)} listeners are told at once",
            "no number is stated",
            "each node by the media servers that it plays on",
            f"{figure_text(a_node)} a node, if its listeners are spread evenly; nothing else moves",
            f"one process tells its listeners one after another and "
            f"answers nobody else meanwhile: {figure_text(duration)}, {ratio}",
            "other answers of that node, for as long",
            (a_node, duration),
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

    # ---- figures shared by several failures

    def connections(self, nodes: float) -> str:
        return f"{_many(self.size.connections_a_node * nodes)} connections"

    def come_again(self, nodes: float) -> str:
        """Describes the load of reconnecting viewers on each remaining node, if they return evenly over the assumed time."""
        size, within = self.size, self.size.assumption("come-again-within-s")
        if nodes >= size.nodes:
            return "nobody is left"
        each = size.connections_a_node * nodes / (size.nodes - nodes)
        rate = each / within
        return (
            f"{format_number(each)} for each of the others, {format_number(rate)} a second "
            f"over {format_number(within)} s (assumed), "
            f"set-ups alone {figure_text(cores_at_rate(self.measured, BY_REQUEST, rate))}"
        )

    def _set_up(self) -> tuple[Figure | None, ...]:
        return (cores_at_rate(self.measured, BY_REQUEST, self.size.deliveries_a_node),)

    def fault(self, kind: str, *path: str) -> Figure | None:
        """Returns the figure at a path in the fault of this kind in a scale run; None if no run has it."""
        for file, index, fault in self.measured.faults(self.size.nodes):
            if fault.get("kind") == kind:
                return self.measured.at_size(
                    self.size.nodes, "faults", index, *path, file=file, unit="bytes/s" if "bytes_a_second" in path else "s"
                )
        return None

    def change_after(self, kind: str) -> Figure | None:
        """Returns the seconds from the end of a fault until a change was in force on all nodes."""
        for file, _, fault in self.measured.faults(self.size.nodes):
            if fault.get("kind") == kind:
                found = slowest_change(self.measured, file, fault.get("change_after"))
                return found and self.measured.with_run_size(file, found, self.size.nodes)
        return None
