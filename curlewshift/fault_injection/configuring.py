"""Control machines of a rehearsal, the versions that its operator puts, and what befalls either. Called by rehearse.py.

Each version bears its mark, a number, in parts of the file that have nothing to do with each other; what a front shows of them,
on its control socket and at its door, is written down for the judge (curlewshift/verdict/configuration.py).
"""

from __future__ import annotations

import re
import time
from pathlib import Path
from random import Random

import anyio
from lxml import etree

from curlewshift.fault_injection.members import MemberProcess
from curlewshift.fault_injection.processes import ChildProcess

# Control machines get so long to come up (s), and a majority to take a version.
START_WITHIN, PUT_WITHIN = 30.0, 8.0
# How often each front is looked at (s), and how long its door may take.
WATCH, DOOR_WITHIN = 0.15, 1.0
# Of machines that cannot make a version now an operator asks again after (s).
ASK_AGAIN = 0.3
# A writer is struck so long after it was told to make a version, at the most (s): before, between and after its words.
STRUCK_WITHIN = 0.03
MARKS = {"patience": 5000, "longest_wait": 1900, "most_waiting": 500}
# The mark of a content that no version has, under the name of one, on a spoilt disk; and that of files that nobody may take.
SPOILT, BAD = 300, 700
# Sabotages of control machines; the others are those of fronts.
OF_MACHINES = ("no-majority",)


def marked(site: bytes, mark: int) -> bytes:
    """The site file with this mark."""
    root = etree.fromstring(site)
    for package in root.iterfind("packages/package"):
        package.set("patience", f"{MARKS['patience'] + mark}ms")
    root.find("obligations/answers").set("longest-wait", f"{MARKS['longest_wait'] - mark}ms")
    fronts = root.find("fronts")
    fronts.set("most-waiting", str(MARKS["most_waiting"] + mark))
    for server in fronts.iterfind("ice-server"):
        server.set("url", re.sub(r"v\d+", f"v{mark}", server.get("url")))
    return etree.tostring(root, encoding="utf-8", xml_declaration=True)


class MachineProcess(MemberProcess):
    """One control machine over its lives."""

    async def start(self) -> None:
        self.another_life()
        arguments = [
            "control",
            str(self.day.out / "site.xml"),
            "--name",
            self.name,
            "--state",
            str(self.state),
            "--seed",
            str(self.day.seed * 1000 + 500 + self.number * 50 + self.lives),
        ]
        if self.day.sabotage in OF_MACHINES:
            arguments += ["--sabotage", self.day.sabotage]
        self.child = ChildProcess(arguments, self.day.out / f"{self.name}.log")
        with anyio.move_on_after(START_WITHIN):
            while await self.ask({"do": "leases"}) is None:
                await anyio.sleep(0.05)
            return
        raise self.day.failed(f"control machine {self.name} does not answer; see {self.day.out / (self.name + '.log')}")


class Configuring:
    """The operator of a day."""

    def __init__(self, day):
        self.day = day
        self.machines: list[MachineProcess] = []
        self.base = b""
        self.mark = 0
        self.rng = Random(f"{day.seed} operator")

    async def start(self) -> None:
        self.base = (self.day.out / "site.xml").read_bytes()
        self.machines = [
            MachineProcess(self.day, number, machine.name) for number, machine in enumerate(self.day.script.site.control.machines)
        ]
        async with anyio.create_task_group() as tasks:
            for machine in self.machines:
                tasks.start_soon(machine.start)

    # ---- what is seen of each front

    async def watch(self, front) -> None:
        while True:
            asked, life = time.monotonic_ns(), front.life
            told = None if front.paused else await front.ask({"do": "live"})
            if told is not None and told.get("live") and front.life == life:
                live = told["live"]
                self.day.traffic.seen(
                    "live",
                    front=front.name,
                    life=life,
                    asked=asked,
                    version=live["version"],
                    marks=[
                        *(package["patience"] // 1_000_000 - MARKS["patience"] for package in live["packages"].values()),
                        MARKS["longest_wait"] - live["longest_wait"] // 1_000_000,
                        live["most_waiting"] - MARKS["most_waiting"],
                        *_marks_in(" ".join(live["ice_servers"])),
                    ],
                )
            if not front.paused:
                await self._look_at_door(front)
            await anyio.sleep(WATCH)

    async def _look_at_door(self, front) -> None:
        """As a viewer's page asks before it asks: the answer names the ICE servers."""
        asked, life, raw = time.monotonic_ns(), front.life, b""
        try:
            with anyio.fail_after(DOOR_WITHIN):
                async with await anyio.connect_tcp("127.0.0.1", front.port) as stream:
                    await stream.send(b"OPTIONS /whep/any/any HTTP/1.1\r\nhost: rehearsal\r\nconnection: close\r\n\r\n")
                    while b"\r\n\r\n" not in raw:
                        raw += await stream.receive()
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return
        if front.life == life:
            self.day.traffic.seen("door", front=front.name, life=life, asked=asked, marks=_marks_in(raw.decode("latin-1")))

    async def watch_machines(self) -> None:
        """What each control machine tells of the fleet, and by which versions it stands."""
        while True:
            for machine in self.machines:
                asked = time.monotonic_ns()
                told = None if machine.paused else await machine.ask({"do": "configuration"})
                if told is not None and told["ok"]:
                    told = told["configuration"]
                    self.day.traffic.seen(
                        "machine",
                        front=machine.name,
                        life=machine.life,
                        asked=asked,
                        version=told["in_force"],
                        writer=told["writer"],
                        zones=told["zones"],
                        forks=told["forks"],
                    )
            await anyio.sleep(0.5)

    # ---- what the operator does

    async def befall(self, trouble, affected: list) -> bool:
        """False for a trouble of another kind."""
        kind = trouble.kind
        if kind == "put":
            for _ in range(int(trouble.size)):
                begun = time.monotonic()
                await self._put()
                await anyio.sleep(max(0.0, trouble.lasts / trouble.size - (time.monotonic() - begun)))
        elif kind == "bad-put":
            await self._put_bad()
        elif kind in ("writer-pause", "writer-crash"):
            await self._strike_writer(kind, trouble.lasts)
        elif kind == "control-lost":
            await self._lose_machine(trouble.lasts)
        elif kind in ("front-lost", "front-spoilt"):
            for front in affected:
                front.kill()
                self._spoil(front.state / "configuration", kind)
                self.day.traffic.seen("disk", front=front.name, life=front.life, what=kind)
            await anyio.sleep(trouble.lasts)
            async with anyio.create_task_group() as tasks:
                for front in affected:
                    tasks.start_soon(front.start)
        else:
            return False
        return True

    async def _put(self, within: float = PUT_WITHIN, told_to=None) -> dict | None:
        """The next version, at whoever may make it now; at `told_to` once, whatever it says."""
        self.mark += 1
        mark, began, answer = self.mark, time.monotonic_ns(), None
        content = marked(self.base, mark).decode()
        ends = time.monotonic() + within
        while answer is None and time.monotonic() < ends:
            machine = told_to or await self.writer()
            if machine is not None:
                held = await machine.ask({"do": "content"})
                if held is not None:
                    answer = await self._tell(
                        machine,
                        {
                            "do": "put",
                            "content": content,
                            "base": held["content"]["version"],
                            "name": f"mark-{mark}.xml",
                            "why": "the rehearsal's operator",
                        },
                    )
                if told_to is not None:
                    break
                if answer is not None and not answer["ok"] and not answer.get("unknown"):
                    # nothing came of it, in words: as an operator does, it is tried again
                    self.day.traffic.seen("put-refused", mark=mark, machine=machine.name, wrong=answer["wrong"])
                    answer = None
            if answer is None:
                await anyio.sleep(ASK_AGAIN)
        told = answer or {"ok": False, "unknown": told_to is not None, "wrong": "no control machine took it in time"}
        self.day.traffic.seen(
            "put",
            mark=mark,
            asked=began,
            ok=told["ok"],
            version=told.get("version", ""),
            unknown=bool(told.get("unknown")),
            wrong=told.get("wrong", ""),
        )
        return answer

    async def _tell(self, machine, command: dict) -> dict | None:
        """The answer to a put; where none comes its fate is not known."""
        from curlewshift.front.control import tell

        try:
            return await tell(machine.state, command, PUT_WITHIN + 8)
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, ValueError):
            return {"ok": False, "unknown": True, "wrong": f"{machine.name} did not answer"}

    async def writer(self, within: float = 0.0):
        """Who may make a version now, or comes to within so long (s)."""
        ends = time.monotonic() + within
        while True:
            for machine in self.machines:
                told = None if machine.paused else await machine.ask({"do": "leases"})
                if told is not None and told.get("leases") and told["leases"]["number"]:
                    return machine
            if time.monotonic() >= ends:
                return None
            await anyio.sleep(ASK_AGAIN)

    async def _put_bad(self) -> None:
        """Files that are wrong, and one that would need a restart: neither may reach anybody."""
        for what, old, new in (
            ("schema", b'longest-wait="', b'longest-weight="'),
            ("rule", b'join-target="', b'join-target="9'),
            ("restart", b'warm-within="', b'warm-within="1'),
        ):
            machine = await self.writer(PUT_WITHIN)
            if machine is None:
                continue
            content = marked(self.base, BAD).replace(old, new, 1).decode()
            answer = await self._tell(
                machine, {"do": "put", "content": content, "base": "", "name": "bad.xml", "why": "the rehearsal's bad file"}
            )
            self.day.traffic.seen("bad-put", mark=BAD, what=what, ok=answer["ok"], wrong=answer.get("wrong", ""))

    async def _strike_writer(self, kind: str, lasts: float) -> None:
        """In the middle of a version that it was told to make."""
        machine = await self.writer(PUT_WITHIN)
        if machine is None:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._put, PUT_WITHIN, machine)
            await anyio.sleep(0.01 + self.rng.random() * STRUCK_WITHIN)
            if kind == "writer-pause":
                await machine.pause(lasts)
            else:
                machine.kill()
                await anyio.sleep(lasts)
                await machine.start()

    async def _lose_machine(self, lasts: float) -> None:
        writer = await self.writer(PUT_WITHIN)
        machine = self.rng.choice([one for one in self.machines if one is not writer and not one.paused])
        machine.kill()
        for name in ("vote", "configuration"):
            (machine.state / name).unlink(missing_ok=True)
        self.day.traffic.seen("disk", front=machine.name, life=machine.life, what="control-lost")
        await anyio.sleep(lasts)
        await machine.start()

    def _spoil(self, path: Path, kind: str) -> None:
        """Gone, or with the content of no version under the name of one."""
        import zstandard

        from curlewshift.distribution.copy import DECODER, ENCODER

        if kind == "front-lost" or not path.exists():
            path.unlink(missing_ok=True)
            return
        head, _, data = path.read_bytes().partition(b"\n")
        kept = DECODER.decode(data)
        content = zstandard.ZstdDecompressor().decompress(kept.content, max_output_size=2**22)
        kept.content = zstandard.ZstdCompressor().compress(marked(content, SPOILT))
        path.write_bytes(head + b"\n" + ENCODER.encode(kept))


def _marks_in(text: str) -> list[int]:
    return [int(mark) for mark in re.findall(r"stun:v(\d+)", text)]
