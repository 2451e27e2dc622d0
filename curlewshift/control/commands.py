"""A control machine's command socket, for operators on the same machine: one JSON line in each direction, as at a front."""

from __future__ import annotations

from pathlib import Path

import msgspec

from curlewshift.distribution.versions import MAX_CONTENT_BYTES
from curlewshift.front.control import Socket

# Time within which a majority must have accepted a version (s).
PUT_TIMEOUT_S = 10.0


class MachineCommand(msgspec.Struct):
    """`do` is `configuration`, `put`, `leases`, `peers` or `content`. `base` is the version on which `content` is based, `name`
    the name of the operator's file; `within` is in seconds; `restarts` allows a version that fronts can only apply when they
    restart."""

    do: str
    content: str = ""
    base: str = ""
    name: str = ""
    why: str = ""
    within: float = PUT_TIMEOUT_S
    restarts: bool = False


class CommandSocket(Socket):
    """Carries out the commands of one machine."""

    most_bytes, within = 2 * MAX_CONTENT_BYTES, PUT_TIMEOUT_S + 5.0

    def __init__(self, machine, path: Path):
        super().__init__(path)
        self.machine = machine

    async def _carry_out(self, raw: bytes, who: str) -> dict:
        machine = self.machine
        try:
            command = msgspec.json.decode(raw, type=MachineCommand)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return {"ok": False, "wrong": f"this is no command: {error}"}
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
        answer = await self._put_version(command)
        log = self.machine.log
        if answer["ok"]:
            log.info("configuration-put", version=answer["version"], who=who, cause=command.why)
        else:
            log.info("configuration-not-put", who=who, cause=answer["wrong"], unknown=answer.get("unknown", False))
        return answer

    async def _put_version(self, command: MachineCommand) -> dict:
        machine = self.machine
        if not command.why.strip():
            return _refusal("say why: it goes into the log with your name")
        content = command.content.encode()
        errors, by_restart = machine.content_errors(content, command.name)
        if errors and not (by_restart and command.restarts):
            return _refusal(errors)
        if not machine.leases.fence():
            writer = machine.leases.writer()
            reason = (
                "no control machine may make versions now: none holds the lease, or no majority of them is to be had"
                if not writer
                else f"versions are made at {writer} now"
                if writer != machine.name
                else "the lease under which this machine made versions is over, and its next is on its way"
            )
            return {**_refusal(reason), "writer": writer}
        return {**await machine.wire.put(content, command.base, min(command.within, PUT_TIMEOUT_S)), "needs_restart": errors}


def _refusal(reason: str) -> dict:
    return {"ok": False, "wrong": reason, "unknown": False}
