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

# Views get so long to agree, at first and after a fault (s).
AGREE_WITHIN = 120.0
LOOK = 0.1
# News has gone round when datagrams that tell of members alone are fewer than this a second a node, over so long (s); it is
# waited for so long at the most (s).
CALM, CALM_FOR, SETTLES_WITHIN = 0.1, 2.0, 90.0
# The part of all datagrams that is lost in the second row of changes.
LOST = 0.05
# A node's own count may be off by so much of what the relays saw of it; and what it sent in the last moment (datagrams).
MAY_BE_OFF, LAST_MOMENT = 0.01, 2
# What is on its way when nodes have been stopped arrives within this (s).
ARRIVES = 1.0


class ScaleRun:
    """`progress(words)` is told what is being done. `joins`: how many each way are compared, 0 for none."""

    def __init__(
        self, plan: Plan, out: Path, progress: Callable[[str], None], joins: int = 400, agree_within: float = AGREE_WITHIN
    ):
        self.plan, self.out, self.progress, self.joins, self.agree_within = plan, out, progress, joins, agree_within
        self.judge = Judge(plan.period)
        self.fleet = Fleet(plan, out, self._heard, apart=joins > 0)
        # bytes by relay so far, and of all of them at each second
        self.carried: dict[int, int] = {}
        self.news: dict[int, int] = {}
        self.seen: dict[int, int] = {}
        self.stretches: list[tuple[str, float, float]] = []
        self.most_memory = 0.0
        self.figures: dict = {}
        self.versions: Versions | None = None

    async def run(self) -> dict:
        """The figures. Raises `RunFailed`; every process has ended then too."""
        load_before = os.getloadavg()
        try:
            async with anyio.create_task_group() as tasks:
                try:
                    tasks.start_soon(self._watch)
                    await self.fleet.start(tasks)
                    await self._play(tasks)
                finally:
                    # reading of what children say ends with them
                    self.fleet.end_all()
                    tasks.cancel_scope.cancel()
        except* (RunFailed, TimeoutError, OSError) as wrong:
            raise RunFailed("; ".join(str(one) or repr(one) for one in wrong.exceptions)) from None
        plan, memory = self.plan, machine_memory()
        return {
            "command": "scale run",
            "machine": {
                "cores": os.cpu_count(),
                "memory_GiB": round(2 * memory[0] / 2**20, 1),
                "load_before": [round(one, 1) for one in load_before],
                "load_after": [round(one, 1) for one in os.getloadavg()],
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

    # ---- what is watched throughout

    def _heard(self, relay: int, tick: dict) -> None:
        self.judge.saw(tick)
        self.carried[relay], self.news[relay] = tick["bytes"], tick["news"]
        self.seen[int(tick["tick"])] = sum(self.carried.values())

    async def _watch(self) -> None:
        most, _ = machine_memory()
        while True:
            await anyio.sleep(1.0)
            exited_children = self.fleet.exited_children()
            if exited_children:
                raise RunFailed(f"{', '.join(exited_children)} ended by itself; see its log in {self.out}")
            self.most_memory = max(self.most_memory, self.fleet.memory())
            if self.most_memory > most:
                raise RunFailed(f"the run takes {self.most_memory / 2**20:.1f} GiB, over half of this machine's memory")

    async def _agree(self, groups: list[set[str]], within: float, since: float) -> float | None:
        """Seconds from `since` until all views agreed and were right; None if they did not within so long."""
        told = 0.0
        while True:
            wrong_views = self.judge.wrong_views(groups)
            now = time.monotonic()
            if not wrong_views:
                return round(now - since, 2)
            if now - since > within:
                return None
            if now - told > 2:
                told = now
                self.progress(f"{now - since:5.1f} s: {wrong_views} views are not yet as they should be")
            await anyio.sleep(LOOK)

    async def _mark(self) -> Mark:
        fleet = self.fleet
        relays = await fleet.request_all(fleet.relays, "mark")
        hollow = await fleet.request_all(list(fleet.hollow.values()), "mark")
        return Mark(
            time.monotonic(), relays, dict(zip(fleet.hollow, hollow)), {name: front.core() for name, front in fleet.real.items()}
        )

    # ---- the parts of a run

    async def _play(self, tasks) -> None:
        fleet, plan, judge = self.fleet, self.plan, self.judge
        everyone = {place.name for place in plan.places}
        self.progress(f"{plan.nodes} nodes and {CONTROL} control machines in {len(fleet.children)} processes")
        began = time.monotonic()
        await fleet.command_hollow_nodes("start")
        judge.running = set(everyone)
        joined = await self._agree([everyone], self.agree_within, began)
        if joined is None:
            self.progress("views did not agree at first")
        viewers = Viewers(fleet)
        # what was told of those who came in goes round for a while after views agree
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
                self.progress("joins at a real node, and at one apart")
                self.figures["joins"] = await compare_joins(fleet, self.joins)
        for front in fleet.real.values():
            tasks.start_soon(viewers.come, front)
        if "distribution" in plan.parts:
            self.versions = Versions(fleet, judge)
            self.figures["versions"] = await self._changes(everyone)
        self.figures["faults"] = [await self._befall(Fault(kind, fleet, judge)) for kind in plan.faults]
        if self.versions is not None:
            self.figures["stretch"] = await self._stretch_of_changes(everyone)
            await self.versions.own_words()
            self.figures["changes"] = self.versions.made
        self.figures["verdict"] = await self._judge(joined, viewers)
        self.figures["memory"]["most_GiB"] = round(self.most_memory / 2**20, 2)

    async def _settle(self) -> Stretch:
        """Until hardly any datagram tells of members alone, for so long at the most; the stretch it took."""
        self.progress("settling")
        begun, nodes = await self._mark(), len(self.plan.places)
        while time.monotonic() - begun.at < min(SETTLES_WITHIN, self.agree_within):
            before = sum(self.news.values())
            await anyio.sleep(CALM_FOR)
            if (sum(self.news.values()) - before) / CALM_FOR / nodes < CALM:
                break
        stretch = Stretch(begun, await self._mark())
        self.stretches.append(("settling", stretch.begun.at, stretch.ended.at))
        return stretch

    async def _stretch(self, name: str, lasts: float) -> Stretch:
        self.progress(f"{name}: {lasts:g} s")
        begun = await self._mark()
        await anyio.sleep(lasts)
        ended = await self._mark()
        self.stretches.append((name, begun.at, ended.at))
        return Stretch(begun, ended)

    async def _changes(self, everyone: set[str]) -> dict:
        """One after the other while nothing befalls them, then with a twentieth of all datagrams lost."""
        self.progress("changes of the configuration, without loss and with 5%")
        told = {
            "first": await self.versions.change("first", everyone),
            "no_loss": await self.versions.several("no loss", self.plan.in_a_row, everyone),
        }
        await self.fleet.set_relay_faults(loss=LOST)
        told["loss"] = await self.versions.several("5% lost", self.plan.in_a_row, everyone)
        await self.fleet.set_relay_faults(loss=self.plan.loss)
        return told

    async def _stretch_of_changes(self, everyone: set[str]) -> dict | None:
        """As many changes as the plan says, in turn with restarts of a fifth as many; bytes and processor time over it all."""
        plan = self.plan
        if not plan.changes:
            return None
        self.progress(f"{plan.changes} changes, each {plan.change_every:g} s, and {plan.changes // 5} restarts")
        rng = Random(f"{plan.seed} changes")
        fit = [place.name for place in plan.named("hollow") if place.process != 1]
        begun = await self._mark()
        for number in range(plan.changes):
            ends = time.monotonic() + plan.change_every
            if number % 5 == 4:
                await self._restart(rng.choice(fit))
            await self.versions.change("stretch", everyone)
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

    async def _befall(self, fault: Fault) -> dict:
        plan = self.plan
        self.progress(f"{fault.kind}: {len(fault.affected)} nodes")
        begun = await self._mark()
        since = time.monotonic()
        await fault.begin(plan.seconds)
        known, told = None, {}
        if fault.kind != "restart-some":
            known = await self._agree(fault.groups, self.agree_within, since)
            if self.versions is not None:
                told["change_while"] = await self._change_in(fault)
            await anyio.sleep(max(0.0, since + plan.seconds - time.monotonic()))
        middle = await self._mark()
        fault_ended = time.monotonic()
        await fault.end()
        if self.versions is not None:
            told["change_after"] = await self.versions.change(f"after {fault.kind}", fault.all_names, fault_ended)
        # views that agreed are looked at once more: those who came back are heard of a moment later
        converged = await self._agree([{place.name for place in plan.places}], self.agree_within, fault_ended)
        await anyio.sleep(max(0.0, fault_ended + plan.seconds - time.monotonic()))
        ended = await self._mark()
        self.stretches += [(fault.kind, begun.at, middle.at), (f"after {fault.kind}", middle.at, ended.at)]
        sound = [name for name in self._front_names() if name not in fault.affected or fault.kind == "regions-apart"]
        told = {"kind": fault.kind, "struck": len(fault.affected), "known_s": known, "converged_s": converged, **told}
        for key, stretch in (("while", Stretch(begun, middle)), ("after", Stretch(middle, ended))):
            told[key] = {
                "lasted_s": round(stretch.duration, 2),
                "most_bytes_in_a_second": self._most(stretch),
                **per_node_figures(stretch, sound, self._shared_processes()),
            }
        return {**told, "bytes_a_second": told["after"]["all"]["bytes_a_second"]}

    async def _change_in(self, fault: Fault) -> dict:
        """While a fault lasts: made by a majority of the control machines that hear each other, or refused in words."""
        control = {place.name for place in self.plan.named("control")} & self.judge.running
        whole = CONTROL // 2 + 1
        if any(len(control & group) >= whole for group in fault.groups):
            return await self.versions.change(f"while {fault.kind}", max(fault.groups, key=lambda group: len(control & group)))
        told = await self.versions.put(min(4.0, self.plan.seconds))
        return {"when": f"while {fault.kind}", "ok": told["ok"], "refused": [told.get("wrong", "")], "no_majority": True}

    def _most(self, stretch: Stretch) -> int:
        """Bytes a node, all nodes together, in the fullest second of a stretch."""
        seconds = [second for second in sorted(self.seen) if stretch.begun.at <= second <= stretch.ended.at]
        rates = [(self.seen[later] - self.seen[earlier]) / (later - earlier) for earlier, later in itertools.pairwise(seconds)]
        return round(max(rates, default=0) / len(self.plan.places))

    def _front_names(self) -> list[str]:
        """Front nodes, real ones too: what they say is seen all the same."""
        return [place.name for place in self.plan.named("hollow", "real")]

    def _shared_processes(self) -> list[int]:
        return [process for process in self.fleet.hollow if process > 1]

    async def _memory(self, quiet: Stretch) -> dict:
        """kB a node: the processes' own over their nodes, and one node's objects walked through, by subsystem."""
        grown = []
        for process in self._shared_processes():
            mark = quiet.ended.hollow[process]
            grown.append((mark["memory_kB"] - mark["empty_kB"]) / len(mark["nodes"]))
        mine = quiet.ended.hollow[0]
        weighed = await self.fleet.hollow[1].ask({"do": "weigh"})
        return {
            "a_node_kB": spread(grown, 1),
            "a_process_empty_kB": round(quiet.ended.hollow[1]["empty_kB"]),
            # one control machine, were it alone in its process
            "control_kB": round(mine["empty_kB"] + (mine["memory_kB"] - mine["empty_kB"]) / CONTROL),
            "by_part": weighed["memory_kB"],
        }

    def _alone(self, quiet: Stretch) -> dict:
        """Processor time of a node that has its interpreter for itself, beside the mean of those that share one."""
        alone = next(iter(quiet.core(1).values()))
        shared = [parts for process in self._shared_processes() for parts in quiet.core(process).values()]
        if not shared:
            return {}
        told = {}
        for part in alone:
            mean = sum(parts.get(part, 0.0) for parts in shared) / len(shared)
            told[part] = {"alone": round(alone[part], 6), "shared": round(mean, 6)}
        whole = sum(alone.values()), sum(sum(parts.values()) for parts in shared) / len(shared)
        return {
            "by_part": told,
            "alone": round(whole[0], 6),
            "shared": round(whole[1], 6),
            "alone_over_shared": round(whole[0] / max(1e-9, whole[1]), 3),
            "nodes_a_process": round(len(shared) / len(self._shared_processes()), 1),
        }

    async def _real_counts(self, quiet: Stretch) -> dict:
        """What a real node says it sends, fading over ten seconds, beside what was seen of it in the stretch."""
        told = {}
        for name, front in self.fleet.real.items():
            peers = await front.peers()
            if peers is not None:
                told[name] = {
                    "says": peers["sent_a_second"],
                    "members": peers["size"],
                    "seen": round(sum(quiet.rate_of(name, part) for part in quiet.parts())),
                }
        return told

    # ---- the end

    async def _judge(self, joined: float | None, viewers: Viewers) -> dict:
        """From the sockets: all nodes are stopped, what is on its way arrives, and counters are held to what was seen."""
        fleet, judge = self.fleet, self.judge
        dropped = dropped_at({port for place in self.plan.places for port in (place.listen, place.reach)})
        await fleet.command_hollow_nodes("stop")
        await anyio.sleep(ARRIVES)
        end = await self._mark()
        liars, seen_all, own_all = {}, 0, 0
        for mark in end.hollow.values():
            for name, parts in mark["nodes"].items():
                own = [sum(row[at] for row in parts.values()) for at in (1, 2)]
                seen = [sum(row[at] for row in end.said.get(name, {}).values()) for at in (0, 1)]
                own_all, seen_all = own_all + own[1], seen_all + seen[1]
                if any(relative_error(one, other) > MAY_BE_OFF for one, other in zip(own, seen)) and (
                    abs(own[0] - seen[0]) > LAST_MOMENT or abs(own[1] - seen[1]) > LAST_MOMENT * 1200
                ):
                    liars[name] = {"own": own, "seen": seen}
        errors = [error for mark in end.hollow.values() for error in mark["errors"]]
        false_gone = judge.false_gone()
        faults = self.figures["faults"]
        verdict = {
            "agreed": joined is not None and all(fault["converged_s"] is not None for fault in faults),
            "known_while_they_lasted": all(fault["known_s"] is not None for fault in faults if fault["kind"] != "restart-some"),
            "false_gone": len(false_gone),
            "false_gone_examples": false_gone[:5],
            "counters_off": len(liars),
            "counters_off_examples": dict(list(liars.items())[:5]),
            "own_bytes_over_seen": round(own_all / max(1, seen_all), 4),
            "dropped_at_sockets": dropped,
            "not_sent": sum(mark["unsent"] for mark in end.hollow.values()),
            "errors": errors[:5],
            "stalls": sum(mark["stalls"] for mark in end.hollow.values()),
            "served": viewers.told(),
        }
        if self.versions is not None:
            verdict["versions"] = self.versions.verdict()
            # nothing is made where no majority is
            made = [fault["change_while"] for fault in faults if fault.get("change_while", {}).get("no_majority")]
            verdict["versions"]["made_without_majority"] = sum(row["ok"] for row in made)
        verdict["ok"] = (
            verdict["agreed"]
            and verdict["known_while_they_lasted"]
            and not false_gone
            and not liars
            and not errors
            and viewers.played == viewers.asked
        )
        if self.versions is not None:
            told = verdict["versions"]
            verdict["ok"] = verdict["ok"] and not any(
                told[name] for name in ("not_made", "not_everywhere", "regressions", "forks", "made_without_majority")
            )
        return verdict


def dropped_at(ports: set[int]) -> int:
    """Datagrams that the kernel dropped at these UDP ports for want of room (proc_net_udp; `drops` is the last column)."""
    rows = [line.split() for line in Path("/proc/net/udp").read_text().splitlines()[1:]]
    return sum(int(row[12]) for row in rows if int(row[1].rpartition(":")[2], 16) in ports)


def write_figures(figures: dict, path: Path) -> None:
    path.write_text(json.dumps(figures, indent=1) + "\n")
