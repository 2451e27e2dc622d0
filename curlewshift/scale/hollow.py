"""A process of hollow nodes: creates, starts and stops them, and reports what each used. Started by scale/fleet.py."""

from __future__ import annotations

import gc
import os
import sys
import time
from pathlib import Path
from types import BuiltinFunctionType, FunctionType, ModuleType

import anyio

from curlewshift.fault_injection.joins import memory_of
from curlewshift.scale.node import HollowNode
from curlewshift.scale.plan import read_plan
from curlewshift.scale.talk import send_message, serve_commands
from curlewshift.site.site import read_site
from curlewshift.standins.running import until_told

# Objects shared by the whole program: the traversal of a node's objects skips them.
NOT_WALKED = (type, ModuleType, FunctionType, BuiltinFunctionType)


class HollowProcess:
    def __init__(self, folder: Path, process: int, tasks):
        self.tasks = tasks
        plan, site = read_plan(folder), read_site(folder / "site.xml")
        # plan and site are read once for all nodes of this process
        self.shared = {id(plan), id(site)}
        self.empty = memory_of(os.getpid())
        self.nodes = {place.name: HollowNode(plan, site, place) for place in plan.places if place.process == process}

    async def carry_out(self, command: dict) -> dict:
        do, names = command["do"], command.get("names") or list(self.nodes)
        if do == "start":
            for name in names:
                if command.get("empty"):
                    self.nodes[name].disk.clear()
                self.tasks.start_soon(self.nodes[name].run)
        elif do == "stop":
            for name in names:
                self.nodes[name].stop()
        elif do == "mark":
            return self.mark()
        elif do == "put":
            return await self.put(Path(command["path"]).read_bytes(), command["within"])
        elif do == "took":
            return {name: node.taken for name, node in self.nodes.items()}
        elif do == "weigh":
            return {"memory_kB": self.weigh()}
        return {}

    async def put(self, content: bytes, within: float) -> dict:
        """Publishes a configuration at the control machine that holds the lease, as soon as one does; `within` in s."""
        began = time.monotonic()
        while time.monotonic() < began + within:
            for node in self.nodes.values():
                if node.scope is not None and node.distributed is not None and node.fence():
                    wire = node.distributed
                    result = await wire.put(content, wire.version, began + within - time.monotonic())
                    return {**result, "by": node.place.name, "took_s": time.monotonic() - began}
            await anyio.sleep(0.05)
        return {"ok": False, "wrong": "no control machine held the lease", "took_s": within}

    def mark(self) -> dict:
        return {
            "at": time.monotonic(),
            "core": time.process_time_ns(),
            "memory_kB": memory_of(os.getpid()),
            "empty_kB": self.empty,
            "nodes": {name: node.meter.read() for name, node in self.nodes.items()},
            "errors": [error for node in self.nodes.values() for error in node.log.errors],
            "lines": sum(node.log.lines for node in self.nodes.values()),
            "stalls": sum(node.wire.channel.membership.steady.stalls for node in self.nodes.values()),
            "unsent": sum(node.wire.unsent for node in self.nodes.values()),
        }

    def weigh(self) -> dict[str, float]:
        """Memory (kB) of one node's own objects by subsystem: those reachable from it and from no earlier subsystem."""
        node = next(iter(self.nodes.values()))
        known = {
            id(node),
            id(node.disk),
            id(node.places),
            id(node.site),
            id(node.plan),
            id(node.wire),
            id(node.log),
            id(node.clock),
            id(node.meter),
        }
        for part in node.parts.values():
            known.add(id(part))
        result = {}
        for name, part in [*node.parts.items(), ("model", node.session_core)]:
            result[name] = round(retained_size(part, known) / 1024, 1)
        return result


def retained_size(root, known: set[int]) -> int:
    """Bytes of all objects reachable from `root`, by `sys.getsizeof`, except those in `known`; adds them to `known`."""
    known.add(id(root))
    waiting, total = [root], 0
    while waiting:
        item = waiting.pop()
        total += sys.getsizeof(item)
        for held in gc.get_referents(item):
            if id(held) not in known and not isinstance(held, NOT_WALKED):
                known.add(id(held))
                waiting.append(held)
    return total


async def run_hollow(folder: Path, process: int) -> None:
    """Reports once when its sockets are open, then executes commands until the end of input."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(until_told, tasks)
        hollow = HollowProcess(folder, process, tasks)
        send_message({"ready": len(hollow.nodes)})
        await serve_commands(hollow.carry_out)
        tasks.cancel_scope.cancel()
