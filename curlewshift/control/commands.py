"""A control machine's socket: commands of operators on the same machine, one JSON line each way, as at a front."""

from __future__ import annotations

from pathlib import Path

import msgspec

from curlewshift.distribution.versions import MOST_CONTENT
from curlewshift.front.control import Socket

# How long a majority may take to have a version (s).
PUT_WITHIN = 10.0


class MachineCommand(msgspec.Struct):
    """`do` is `configuration`, `put`, `leases`, `peers` or `content`. `base` is the version that `content` was made from,
    `name` what its file is called where the operator is; `restarts` says that fronts may take it when they start again."""

    do: str
    content: str = ""
    base: str = ""
    name: str = ""
    why: str = ""
    within: float = PUT_WITHIN
    restarts: bool = False


class Commands(Socket):
    most_bytes, within = 2 * MOST_CONTENT, PUT_WITHIN + 5.0

    def __init__(self, machine, path: Path):
        super().__init__(path)
        self.machine = machine

    async def _carry_out(self, raw: bytes, who: str) -> dict:
        machine = self.machine
        try:
            command = msgspec.json.decode(raw, type=MachineCommand)
        except (msgspec.DecodeError, msgspec.ValidationError) as wrong:
            return {"ok": False, "wrong": f"this is no command: {wrong}"}
        if command.do == "configuration":
            return {"ok": True, "configuration": {**machine.wire.show(), "writer": machine.leases.writer()}}
        if command.do == "content":
            held = machine.wire.content
            return {"ok": True, "content": {"version": machine.wire.version, "text": held.decode() if held else None}}
        if command.do == "leases":
            return {"ok": True, "leases": machine.leases.show()}
        if command.do == "peers":
            return {"ok": True, "peers": machine.peers.channel.show()}
        if command.do == "put":
            return await self._put(command, who)
        return {"ok": False, "wrong": f"there is no command {command.do!r} at a control machine"}

    async def _put(self, command: MachineCommand, who: str) -> dict:
        answer = await self._made(command)
        log = self.machine.log
        if answer["ok"]:
            log.info("configuration-put", version=answer["version"], who=who, cause=command.why)
        else:
            log.info("configuration-not-put", who=who, cause=answer["wrong"], unknown=answer.get("unknown", False))
        return answer

    async def _made(self, command: MachineCommand) -> dict:
        machine = self.machine
        if not command.why.strip():
            return _no("say why: it goes into the log with your name")
        content = command.content.encode()
        wrong, by_restart = machine.mistakes(content, command.name)
        if wrong and not (by_restart and command.restarts):
            return _no(wrong)
        if not machine.leases.fence():
            writer = machine.leases.writer()
            why = (
                "no control machine may make versions now: none holds the lease, or no majority of them is to be had"
                if not writer
                else f"versions are made at {writer} now"
                if writer != machine.name
                else "the lease under which this machine made versions is over, and its next is on its way"
            )
            return {**_no(why), "writer": writer}
        return {**await machine.wire.put(content, command.base, min(command.within, PUT_WITHIN)), "needs_restart": wrong}


def _no(wrong: str) -> dict:
    return {"ok": False, "wrong": wrong, "unknown": False}
