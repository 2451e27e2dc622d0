"""One scale run from its first process to its verdict. Called by commands/scale.py."""

from __future__ import annotations

import itertools
import json
import os
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import anyio

from curlewshift.scale.faults import Fault
from curlewshift.scale.figures import Mark, Stretch, per_node_figures, relative_error, spread
from curlewshift.scale.fleet import Fleet, RunFailed
from curlewshift.scale.judge import Judge
from curlewshift.scale.plan import CONTROL, Plan, machine_memory
from curlewshift.scale.versions import Versions
from curlewshift.scale.viewers import Viewers, compare_joins

# Time-out for views to agree, at first and after a fault (s).
AGREE_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.1
# Membership has settled when nodes send fewer update-only datagrams than this (per second and node) over an interval (s); the
# third is the maximum wait (s).
SETTLED_RATE, SETTLED_INTERVAL_S, SETTLE_TIMEOUT_S = 0.1, 2.0, 90.0
# Fraction of datagrams dropped during the second series of changes.
LOSS_FRACTION = 0.05
# Allowed relative error of a node's own counts against the relays', and datagrams that may be in flight at the end.
MAX_COUNT_ERROR, IN_FLIGHT_DATAGRAMS = 0.01, 2
# Datagrams in flight when the nodes are stopped arrive within this time (s).
ARRIVAL_S = 1.0


class ScaleRun:
    """`progress(text)` is called with a line on each step. `joins`: number of joins compared at each front, 0 for none."""

    def __init__(
        self, plan: Plan, out: Path, progress: Callable[[str], None], joins: int = 400, agree_within: float = AGREE_TIMEOUT_S
    ):
        self.plan, self.out, self.progress, self.joins, self.agree_within = plan, out, progress, joins, agree_within
        self.judge = Judge(plan.period)
        self.fleet = Fleet(plan, out, self._on_tick, apart=joins > 0)
        # bytes by relay so far, and of all of them at each second
        self.carried: dict[int, int] = {}
        self.news: dict[int, int] = {}
        self.seen: dict[int, int] = {}
        self.stretches: list[tuple[str, float, float]] = []
        self.max_memory = 0.0
        self.figures: dict = {}
        self.versions: Versions | None = None

    async def run(self) -> dict:
        """Returns the figures. Raises `RunFailed`. All processes have ended in either case."""
        load_before = os.getloadavg()
        try:
            async with anyio.create_task_group() as tasks:
                try:
                    tasks.start_soon(self._watch)
                    await self.fleet.start(tasks)
                    await self._play(tasks)
                finally:
                    # the tasks that read the children's output end with the children
                    self.fleet.end_all()
                    tasks.cancel_scope.cancel()
        except* (RunFailed, TimeoutError, OSError) as errors:
            raise RunFailed("; ".join(str(item) or repr(item) for item in errors.exceptions)) from None
        plan, memory = self.plan, machine_memory()
        return {
            "command": "scale run",
            "machine": {
                "cores": os.cpu_count(),
                "memory_GiB": round(2 * memory[0] / 2**20, 1),
                "load_before": [round(item, 1) for item in load_before],
                "load_after": [round(item, 1) for item in os.getloadavg()],
            },
            "nodes": plan.nodes,
            "seed": plan.seed,
            "seconds": plan.seconds,
            "model": self._model(),
            **self.figures,
        }

    def _model(self) -> dict:
        plan, load = self.plan, self.plan.load
        return {
            "real": plan.real,
            "control": CONTROL,
            "processes": plan.processes,
            "relays": plan.relays,
            "regions": plan.regions,
            "zones": plan.zones,
            "period_s": plan.period,
            "loss": plan.loss,
            "ways": "all datagrams of peers pass relays, within a zone at once",
            "between_zones_s": plan.late[0],
            "between_regions_s": plan.late[1],
            "parts": plan.parts,
            "sharing": {
                "nodes": load.sharing,
                "servers": load.servers,
                "links_played_on": load.links,
                "viewings_a_node": load.viewings,
                "kB_a_viewing": load.rate,
            }
            if load.sharing
            else None,
            "leasing_nodes": load.leasing,
            "spoil": plan.spoil,
            "left_out": "door, desk and logs of hollow nodes; tasks' own work at servers",
        }

    # ---- monitoring during the run

    def _on_tick(self, relay: int, tick: dict) -> None:
        self.judge.saw(tick)
        self.carried[relay], self.news[relay] = tick["bytes"], tick["news"]
        self.seen[int(tick["tick"])] = sum(self.carried.values())

    async def _watch(self) -> None:
        memory_limit, _ = machine_memory()
        while True:
            await anyio.sleep(1.0)
            exited_children = self.fleet.exited_children()
            if exited_children:
                raise RunFailed(f"{', '.join(exited_children)} exited unexpectedly; see the log in {self.out}")
            self.max_memory = max(self.max_memory, self.fleet.memory())
            if self.max_memory > memory_limit:
                raise RunFailed(f"the run takes {self.max_memory / 2**20:.1f} GiB, over half of this machine's memory")

    async def _agree(self, groups: list[set[str]], within: float, since: float) -> float | None:
        """Seconds from `since` until all views agreed and were right; None if they did not within so long."""
        reported_at = 0.0
        while True:
            wrong_views = self.judge.wrong_views(groups)
            now = time.monotonic()
            if not wrong_views:
                return round(now - since, 2)
            if now - since > within:
                return None
            if now - reported_at > 2:
                reported_at = now
                self.progress(f"{now - since:5.1f} s: {wrong_views} views are not yet correct")
            await anyio.sleep(POLL_INTERVAL_S)

    async def _mark(self) -> Mark:
        fleet = self.fleet
        relays = await fleet.request_all(fleet.relays, "mark")
        hollow = await fleet.request_all(list(fleet.hollow.values()), "mark")
        return Mark(
            time.monotonic(), relays, dict(zip(fleet.hollow, hollow)), {name: front.core() for name, front in fleet.real.items()}
        )

    # ---- the steps of a run

    async def _play(self, tasks) -> None:
        fleet, plan, judge = self.fleet, self.plan, self.judge
        all_names = {place.name for place in plan.places}
        self.progress(f"{plan.nodes} nodes and {CONTROL} control machines in {len(fleet.children)} processes")
        began = time.monotonic()
        await fleet.command_hollow_nodes("start")
        judge.running = set(all_names)
        joined = await self._agree([all_names], self.agree_within, began)
        if joined is None:
            self.progress("views did not agree after the start")
        viewers = Viewers(fleet)
        # updates on joined members still spread after views agree
        settling = await self._settle()
        quiet = await self._stretch("quiet", plan.seconds)
        memory = await self._memory(quiet)
        fronts, shared = self._front_names(), self._shared_processes()
        self.figures = {
            "joined_s": joined,
            "settled_s": round(settling.duration, 2),
            "settling": per_node_figures(settling, fronts, shared),
            "a_node": per_node_figures(quiet, fronts, shared, memory["by_part"]),
            "control": {
                **per_node_figures(quiet, [place.name for place in plan.named("control")], [0]),
                "memory_kB": memory["control_kB"],
            },
            "memory": memory,
            "alone": self._alone(quiet),
            "relay_core": spread(
                [
                    (after - before) / 1e9 / quiet.duration
                    for before, after in zip(quiet.begun.relay_core, quiet.ended.relay_core)
                ],
                3,
            ),
        }
        for part in ("sharing", "leasing"):
            some = [place.name for place in plan.places if (place.shares if part == "sharing" else place.leases)]
            if some and len(some) < len(plan.named("hollow")):
                self.figures[f"a_{part}_node"] = per_node_figures(quiet, some, [1, *self._shared_processes()])
        if fleet.real:
            self.figures["real_node"] = {
                "core": spread(list(quiet.real_core().values()), 5),
                "bytes_a_second": spread([sum(quiet.rate_of(name, part) for part in quiet.parts()) for name in fleet.real], 1),
                "memory_kB": spread([front.memory() for front in fleet.real.values()], 0),
                "own_count": await self._real_counts(quiet),
            }
            if self.joins:
                self.progress("comparing joins at a real node with and without hollow nodes")
                self.figures["joins"] = await compare_joins(fleet, self.joins)
        for front in fleet.real.values():
            tasks.start_soon(viewers.run_viewers, front)
        if "distribution" in plan.parts:
            self.versions = Versions(fleet, judge)
            self.figures["versions"] = await self._changes(all_names)
        self.figures["faults"] = [await self._run_fault(Fault(kind, fleet, judge)) for kind in plan.faults]
        if self.versions is not None:
            self.figures["stretch"] = await self._stretch_of_changes(all_names)
            await self.versions.add_own_reports()
            self.figures["changes"] = self.versions.made
        self.figures["verdict"] = await self._judge(joined, viewers)
        self.figures["memory"]["most_GiB"] = round(self.max_memory / 2**20, 2)

    async def _settle(self) -> Stretch:
        """Waits until membership updates have died down, or for the maximum time; returns the stretch."""
        self.progress("settling")
        begun, nodes = await self._mark(), len(self.plan.places)
        while time.monotonic() - begun.at < min(SETTLE_TIMEOUT_S, self.agree_within):
            before = sum(self.news.values())
            await anyio.sleep(SETTLED_INTERVAL_S)
            if (sum(self.news.values()) - before) / SETTLED_INTERVAL_S / nodes < SETTLED_RATE:
                break
        stretch = Stretch(begun, await self._mark())
        self.stretches.append(("settling", stretch.begun.at, stretch.ended.at))
        return stretch

    async def _stretch(self, name: str, duration: float) -> Stretch:
        self.progress(f"{name}: {duration:g} s")
        begun = await self._mark()
        await anyio.sleep(duration)
        ended = await self._mark()
        self.stretches.append((name, begun.at, ended.at))
        return Stretch(begun, ended)

    async def _changes(self, all_names: set[str]) -> dict:
        """Changes one after another without faults, then with 5% of all datagrams lost."""
        self.progress("changes of the configuration, without loss and with 5%")
        result = {
            "first": await self.versions.change("first", all_names),
            "no_loss": await self.versions.several("no loss", self.plan.in_a_row, all_names),
        }
        await self.fleet.set_relay_faults(loss=LOSS_FRACTION)
        result["loss"] = await self.versions.several("5% lost", self.plan.in_a_row, all_names)
        await self.fleet.set_relay_faults(loss=self.plan.loss)
        return result

    async def _stretch_of_changes(self, all_names: set[str]) -> dict | None:
        """The plan's number of changes, with a restart before every fifth; bytes and processor time over the stretch."""
        plan = self.plan
        if not plan.changes:
            return None
        self.progress(f"{plan.changes} changes, each {plan.change_every:g} s, and {plan.changes // 5} restarts")
        rng = Random(f"{plan.seed} changes")
        candidates = [place.name for place in plan.named("hollow") if place.process != 1]
        begun = await self._mark()
        for number in range(plan.changes):
            ends = time.monotonic() + plan.change_every
            if number % 5 == 4:
                await self._restart(rng.choice(candidates))
            await self.versions.change("stretch", all_names)
            await anyio.sleep(max(0.0, ends - time.monotonic()))
        stretch = Stretch(begun, await self._mark())
        self.stretches.append(("changes", stretch.begun.at, stretch.ended.at))
        rows = [row for row in self.versions.made if row["when"] == "stretch"]
        waits = sorted(row["everywhere_s"] for row in rows if row.get("everywhere_s") is not None)
        return {
            "changes": len(rows),
            "restarts": plan.changes // 5,
            "lasted_s": round(stretch.duration, 1),
            "everywhere_median_s": waits[len(waits) // 2] if waits else None,
            "everywhere_worst_s": waits[-1] if waits else None,
            "not_everywhere": len(rows) - len(waits),
            "a_node": per_node_figures(stretch, self._front_names(), self._shared_processes()),
            "control": per_node_figures(stretch, [place.name for place in plan.named("control")], [0]),
            "real_core": spread(list(stretch.real_core().values()), 5),
        }

    async def _restart(self, name: str) -> None:
        await self.fleet.command_hollow_nodes("stop", {name})
        self.judge.fault_started([name], time.monotonic(), down=True)
        await self.fleet.command_hollow_nodes("start", {name})
        self.judge.fault_ended([name], time.monotonic())

    async def _run_fault(self, fault: Fault) -> dict:
        plan = self.plan
        self.progress(f"{fault.kind}: {len(fault.affected)} nodes")
        begun = await self._mark()
        since = time.monotonic()
        await fault.begin(plan.seconds)
        known, result = None, {}
        if fault.kind != "restart-some":
            known = await self._agree(fault.groups, self.agree_within, since)
            if self.versions is not None:
                result["change_while"] = await self._change_in(fault)
            await anyio.sleep(max(0.0, since + plan.seconds - time.monotonic()))
        middle = await self._mark()
        fault_ended = time.monotonic()
        await fault.end()
        if self.versions is not None:
            result["change_after"] = await self.versions.change(f"after {fault.kind}", fault.all_names, fault_ended)
        # all views are checked again: returned nodes are detected a moment later
        converged = await self._agree([{place.name for place in plan.places}], self.agree_within, fault_ended)
        await anyio.sleep(max(0.0, fault_ended + plan.seconds - time.monotonic()))
        ended = await self._mark()
        self.stretches += [(fault.kind, begun.at, middle.at), (f"after {fault.kind}", middle.at, ended.at)]
        sound = [name for name in self._front_names() if name not in fault.affected or fault.kind == "regions-apart"]
        result = {"kind": fault.kind, "struck": len(fault.affected), "known_s": known, "converged_s": converged, **result}
        for key, stretch in (("while", Stretch(begun, middle)), ("after", Stretch(middle, ended))):
            result[key] = {
                "lasted_s": round(stretch.duration, 2),
                "most_bytes_in_a_second": self._max_rate(stretch),
                **per_node_figures(stretch, sound, self._shared_processes()),
            }
        return {**result, "bytes_a_second": result["after"]["all"]["bytes_a_second"]}

    async def _change_in(self, fault: Fault) -> dict:
        """A change during a fault: made if a majority of the control machines can reach each other, otherwise to be refused."""
        control = {place.name for place in self.plan.named("control")} & self.judge.running
        majority = CONTROL // 2 + 1
        if any(len(control & group) >= majority for group in fault.groups):
            return await self.versions.change(f"while {fault.kind}", max(fault.groups, key=lambda group: len(control & group)))
        result = await self.versions.put(min(4.0, self.plan.seconds))
        return {"when": f"while {fault.kind}", "ok": result["ok"], "refused": [result.get("wrong", "")], "no_majority": True}

    def _max_rate(self, stretch: Stretch) -> int:
        """Bytes per node, averaged over all nodes, in the busiest second of a stretch."""
        seconds = [second for second in sorted(self.seen) if stretch.begun.at <= second <= stretch.ended.at]
        rates = [(self.seen[later] - self.seen[earlier]) / (later - earlier) for earlier, later in itertools.pairwise(seconds)]
        return round(max(rates, default=0) / len(self.plan.places))

    def _front_names(self) -> list[str]:
        """Names of all front nodes, hollow and real: the relays see the traffic of both."""
        return [place.name for place in self.plan.named("hollow", "real")]

    def _shared_processes(self) -> list[int]:
        return [process for process in self.fleet.hollow if process > 1]

    async def _memory(self, quiet: Stretch) -> dict:
        """Memory per node (kB): growth of the processes divided by their nodes, and one node's objects by subsystem."""
        grown = []
        for process in self._shared_processes():
            mark = quiet.ended.hollow[process]
            grown.append((mark["memory_kB"] - mark["empty_kB"]) / len(mark["nodes"]))
        control_mark = quiet.ended.hollow[0]
        weighed = await self.fleet.hollow[1].ask({"do": "weigh"})
        return {
            "a_node_kB": spread(grown, 1),
            "a_process_empty_kB": round(quiet.ended.hollow[1]["empty_kB"]),
            # one control machine as if alone in its process
            "control_kB": round(control_mark["empty_kB"] + (control_mark["memory_kB"] - control_mark["empty_kB"]) / CONTROL),
            "by_part": weighed["memory_kB"],
        }

    def _alone(self, quiet: Stretch) -> dict:
        """Processor time of a node alone in its process, compared with the mean of nodes that share one."""
        alone = next(iter(quiet.core(1).values()))
        shared = [parts for process in self._shared_processes() for parts in quiet.core(process).values()]
        if not shared:
            return {}
        result = {}
        for part in alone:
            mean = sum(parts.get(part, 0.0) for parts in shared) / len(shared)
            result[part] = {"alone": round(alone[part], 6), "shared": round(mean, 6)}
        total = sum(alone.values()), sum(sum(parts.values()) for parts in shared) / len(shared)
        return {
            "by_part": result,
            "alone": round(total[0], 6),
            "shared": round(total[1], 6),
            "alone_over_shared": round(total[0] / max(1e-9, total[1]), 3),
            "nodes_a_process": round(len(shared) / len(self._shared_processes()), 1),
        }

    async def _real_counts(self, quiet: Stretch) -> dict:
        """Bytes per second by a real node's own count (decaying over ten seconds) and as the relays saw them in the stretch."""
        result = {}
        for name, front in self.fleet.real.items():
            peers = await front.peers()
            if peers is not None:
                result[name] = {
                    "says": peers["sent_a_second"],
                    "members": peers["size"],
                    "seen": round(sum(quiet.rate_of(name, part) for part in quiet.parts())),
                }
        return result

    # ---- the end

    async def _judge(self, joined: float | None, viewers: Viewers) -> dict:
        """Stops all nodes, waits for datagrams in flight, and compares the nodes' counters with the relays'."""
        fleet, judge = self.fleet, self.judge
        dropped = dropped_at({port for place in self.plan.places for port in (place.listen, place.reach)})
        await fleet.command_hollow_nodes("stop")
        await anyio.sleep(ARRIVAL_S)
        end = await self._mark()
        count_errors, seen_all, own_all = {}, 0, 0
        for mark in end.hollow.values():
            for name, parts in mark["nodes"].items():
                own = [sum(row[at] for row in parts.values()) for at in (1, 2)]
                seen = [sum(row[at] for row in end.said.get(name, {}).values()) for at in (0, 1)]
                own_all, seen_all = own_all + own[1], seen_all + seen[1]
                if any(relative_error(item, other) > MAX_COUNT_ERROR for item, other in zip(own, seen)) and (
                    abs(own[0] - seen[0]) > IN_FLIGHT_DATAGRAMS or abs(own[1] - seen[1]) > IN_FLIGHT_DATAGRAMS * 1200
                ):
                    count_errors[name] = {"own": own, "seen": seen}
        errors = [error for mark in end.hollow.values() for error in mark["errors"]]
        false_gone = judge.false_gone()
        faults = self.figures["faults"]
        verdict = {
            "agreed": joined is not None and all(fault["converged_s"] is not None for fault in faults),
            "known_while_they_lasted": all(fault["known_s"] is not None for fault in faults if fault["kind"] != "restart-some"),
            "false_gone": len(false_gone),
            "false_gone_examples": false_gone[:5],
            "counters_off": len(count_errors),
            "counters_off_examples": dict(list(count_errors.items())[:5]),
            "own_bytes_over_seen": round(own_all / max(1, seen_all), 4),
            "dropped_at_sockets": dropped,
            "not_sent": sum(mark["unsent"] for mark in end.hollow.values()),
            "errors": errors[:5],
            "stalls": sum(mark["stalls"] for mark in end.hollow.values()),
            "served": viewers.record(),
        }
        if self.versions is not None:
            verdict["versions"] = self.versions.verdict()
            # without a majority no change may be made
            made = [fault["change_while"] for fault in faults if fault.get("change_while", {}).get("no_majority")]
            verdict["versions"]["made_without_majority"] = sum(row["ok"] for row in made)
        verdict["ok"] = (
            verdict["agreed"]
            and verdict["known_while_they_lasted"]
            and not false_gone
            and not count_errors
            and not errors
            and viewers.played == viewers.asked
        )
        if self.versions is not None:
            result = verdict["versions"]
            verdict["ok"] = verdict["ok"] and not any(
                result[name] for name in ("not_made", "not_everywhere", "regressions", "forks", "made_without_majority")
            )
        return verdict


def dropped_at(ports: set[int]) -> int:
    """Datagrams that the kernel dropped at these UDP ports on full buffers (proc_net_udp; `drops` is the last column)."""
    rows = [line.split() for line in Path("/proc/net/udp").read_text().splitlines()[1:]]
    return sum(int(row[12]) for row in rows if int(row[1].rpartition(":")[2], 16) in ports)


def write_figures(figures: dict, path: Path) -> None:
    path.write_text(json.dumps(figures, indent=1) + "\n")
