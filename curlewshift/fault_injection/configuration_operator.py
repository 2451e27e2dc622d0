"""The control machines of a fault injection run, the simulated operator that puts configuration versions to them, and the
faults injected into either. Called by rehearse.py.

Each version carries its marker, a number, in several unrelated parts of the file, so that a version that is applied only in part
can be recognized. The markers that a front shows on its control socket and on its listener are recorded for the judge
(curlewshift/verdict/configuration.py).
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

# How long control machines may take to start, and a majority of them to accept a version.
START_TIMEOUT_S, PUT_TIMEOUT_S = 30.0, 8.0
# Interval at which each front is polled, and the time-out of a request to its listener.
WATCH_INTERVAL_S, LISTENER_TIMEOUT_S = 0.15, 1.0
# When no machine can make a version, the operator tries again after this interval.
RETRY_INTERVAL_S = 0.3
# The writer is paused or killed 10 ms plus a random time of up to this long after it was sent a version, so that the fault comes
# before, between or after its messages.
MAX_DISTURB_DELAY_S = 0.03
# Each field holds its offset plus or minus the marker.
MARKER_OFFSETS = {"patience": 5000, "longest_wait": 1900, "most_waiting": 500}
# The marker of the content written to a corrupt disk: no version has it, though it stands under the name of one. And the marker
# of files that must not be accepted by anybody.
CORRUPT_MARKER, INVALID_MARKER = 300, 700
# Sabotages of control machines; all others are for fronts.
CONTROL_SABOTAGES = ("no-majority",)


def with_marker(site: bytes, marker: int) -> bytes:
    """Returns the site file with the marker in every field that carries one."""
    root = etree.fromstring(site)
    for package in root.iterfind("packages/package"):
        package.set("patience", f"{MARKER_OFFSETS['patience'] + marker}ms")
    root.find("obligations/answers").set("longest-wait", f"{MARKER_OFFSETS['longest_wait'] - marker}ms")
    fronts = root.find("fronts")
    fronts.set("most-waiting", str(MARKER_OFFSETS["most_waiting"] + marker))
    for server in fronts.iterfind("ice-server"):
        server.set("url", re.sub(r"v\d+", f"v{marker}", server.get("url")))
    return etree.tostring(root, encoding="utf-8", xml_declaration=True)


class MachineProcess(MemberProcess):
    """One control machine over its lives (a life is one run of its process; a restart begins a new life)."""

    async def start(self) -> None:
        self.begin_life()
        arguments = [
            "control",
            str(self.run.out / "site.xml"),
            "--name",
            self.name,
            "--state",
            str(self.state),
            "--seed",
            str(self.run.seed * 1000 + 500 + self.number * 50 + self.lives),
        ]
        if self.run.sabotage in CONTROL_SABOTAGES:
            arguments += ["--sabotage", self.run.sabotage]
        self.child = ChildProcess(arguments, self.run.out / f"{self.name}.log")
        with anyio.move_on_after(START_TIMEOUT_S):
            while await self.ask({"do": "leases"}) is None:
                await anyio.sleep(0.05)
            return
        raise self.run.start_failed(f"control machine {self.name} does not answer; see {self.run.out / (self.name + '.log')}")


class ConfigurationOperator:
    """The simulated operator of a run: puts versions, and records which version each front and control machine has."""

    def __init__(self, run):
        self.run = run
        self.machines: list[MachineProcess] = []
        self.base = b""
        self.marker = 0
        self.rng = Random(f"{run.seed} operator")

    async def start(self) -> None:
        self.base = (self.run.out / "site.xml").read_bytes()
        self.machines = [
            MachineProcess(self.run, number, machine.name) for number, machine in enumerate(self.run.script.site.control.machines)
        ]
        async with anyio.create_task_group() as tasks:
            for machine in self.machines:
                tasks.start_soon(machine.start)

    # ---- observation of fronts and control machines

    async def watch(self, front) -> None:
        """Polls a front and records the version and the markers that it has in force."""
        while True:
            requested_at, life = time.monotonic_ns(), front.life
            response = None if front.paused else await front.ask({"do": "live"})
            if response is not None and response.get("live") and front.life == life:
                live = response["live"]
                self.run.traffic.seen(
                    "live",
                    front=front.name,
                    life=life,
                    asked=requested_at,
                    version=live["version"],
                    marks=[
                        *(package["patience"] // 1_000_000 - MARKER_OFFSETS["patience"] for package in live["packages"].values()),
                        MARKER_OFFSETS["longest_wait"] - live["longest_wait"] // 1_000_000,
                        live["most_waiting"] - MARKER_OFFSETS["most_waiting"],
                        *_markers_in(" ".join(live["ice_servers"])),
                    ],
                )
            if not front.paused:
                await self._check_listener(front)
            await anyio.sleep(WATCH_INTERVAL_S)

    async def _check_listener(self, front) -> None:
        """Sends the OPTIONS request that a viewer's page sends before its offer; the answer names the ICE servers."""
        requested_at, life, raw = time.monotonic_ns(), front.life, b""
        try:
            with anyio.fail_after(LISTENER_TIMEOUT_S):
                async with await anyio.connect_tcp("127.0.0.1", front.port) as stream:
                    await stream.send(b"OPTIONS /whep/any/any HTTP/1.1\r\nhost: rehearsal\r\nconnection: close\r\n\r\n")
                    while b"\r\n\r\n" not in raw:
                        raw += await stream.receive()
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return
        if front.life == life:
            self.run.traffic.seen(
                "door", front=front.name, life=life, asked=requested_at, marks=_markers_in(raw.decode("latin-1"))
            )

    async def watch_machines(self) -> None:
        """Records the version that each control machine has in force, and what it reports of the writer, the zones and forks."""
        while True:
            for machine in self.machines:
                requested_at = time.monotonic_ns()
                response = None if machine.paused else await machine.ask({"do": "configuration"})
                if response is not None and response["ok"]:
                    response = response["configuration"]
                    self.run.traffic.seen(
                        "machine",
                        front=machine.name,
                        life=machine.life,
                        asked=requested_at,
                        version=response["in_force"],
                        writer=response["writer"],
                        zones=response["zones"],
                        forks=response["forks"],
                    )
            await anyio.sleep(0.5)

    # ---- actions of the operator

    async def inject(self, trouble, affected: list) -> bool:
        """Injects a fault into the control plane. Returns False for a kind that is not handled here."""
        kind = trouble.kind
        if kind == "put":
            for _ in range(int(trouble.size)):
                begun = time.monotonic()
                await self._put()
                await anyio.sleep(max(0.0, trouble.lasts / trouble.size - (time.monotonic() - begun)))
        elif kind == "bad-put":
            await self._put_bad()
        elif kind in ("writer-pause", "writer-crash"):
            await self._disturb_writer(kind, trouble.lasts)
        elif kind == "control-lost":
            await self._lose_machine_state(trouble.lasts)
        elif kind in ("front-lost", "front-spoilt"):
            for front in affected:
                front.kill()
                self._damage_copy(front.state / "configuration", kind)
                self.run.traffic.seen("disk", front=front.name, life=front.life, what=kind)
            await anyio.sleep(trouble.lasts)
            async with anyio.create_task_group() as tasks:
                for front in affected:
                    tasks.start_soon(front.start)
        else:
            return False
        return True

    async def _put(self, timeout: float = PUT_TIMEOUT_S, target=None) -> dict | None:
        """Puts the next version to the current writer, again until the time-out; with `target` once, to that machine."""
        self.marker += 1
        marker, began, answer = self.marker, time.monotonic_ns(), None
        content = with_marker(self.base, marker).decode()
        deadline = time.monotonic() + timeout
        while answer is None and time.monotonic() < deadline:
            machine = target or await self.writer()
            if machine is not None:
                current = await machine.ask({"do": "content"})
                if current is not None:
                    answer = await self._send_put(
                        machine,
                        {
                            "do": "put",
                            "content": content,
                            "base": current["content"]["version"],
                            "name": f"mark-{marker}.xml",
                            "why": "the rehearsal's operator",
                        },
                    )
                if target is not None:
                    break
                if answer is not None and not answer["ok"] and not answer.get("unknown"):
                    # an explicit refusal: nothing was changed, so that the operator tries again
                    self.run.traffic.seen("put-refused", mark=marker, machine=machine.name, wrong=answer["wrong"])
                    answer = None
            if answer is None:
                await anyio.sleep(RETRY_INTERVAL_S)
        response = answer or {"ok": False, "unknown": target is not None, "wrong": "no control machine took it in time"}
        self.run.traffic.seen(
            "put",
            mark=marker,
            asked=began,
            ok=response["ok"],
            version=response.get("version", ""),
            unknown=bool(response.get("unknown")),
            wrong=response.get("wrong", ""),
        )
        return answer

    async def _send_put(self, machine, command: dict) -> dict | None:
        """Returns the answer to a put. Without an answer the outcome is unknown."""
        from curlewshift.front.control import tell

        try:
            return await tell(machine.state, command, PUT_TIMEOUT_S + 8)
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, ValueError):
            return {"ok": False, "unknown": True, "wrong": f"{machine.name} did not answer"}

    async def writer(self, timeout: float = 0.0):
        """Returns the machine that may make a version, waiting up to `timeout` seconds for one; None if there is none."""
        deadline = time.monotonic() + timeout
        while True:
            for machine in self.machines:
                response = None if machine.paused else await machine.ask({"do": "leases"})
                if response is not None and response.get("leases") and response["leases"]["number"]:
                    return machine
            if time.monotonic() >= deadline:
                return None
            await anyio.sleep(RETRY_INTERVAL_S)

    async def _put_bad(self) -> None:
        """Puts two invalid files and one whose change would need a restart; none of them may reach any member."""
        for what, old, new in (
            ("schema", b'longest-wait="', b'longest-weight="'),
            ("rule", b'join-target="', b'join-target="9'),
            ("restart", b'warm-within="', b'warm-within="1'),
        ):
            machine = await self.writer(PUT_TIMEOUT_S)
            if machine is None:
                continue
            content = with_marker(self.base, INVALID_MARKER).replace(old, new, 1).decode()
            answer = await self._send_put(
                machine, {"do": "put", "content": content, "base": "", "name": "bad.xml", "why": "the rehearsal's bad file"}
            )
            self.run.traffic.seen("bad-put", mark=INVALID_MARKER, what=what, ok=answer["ok"], wrong=answer.get("wrong", ""))

    async def _disturb_writer(self, kind: str, duration: float) -> None:
        """Pauses or kills the writer while it makes a version."""
        machine = await self.writer(PUT_TIMEOUT_S)
        if machine is None:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._put, PUT_TIMEOUT_S, machine)
            await anyio.sleep(0.01 + self.rng.random() * MAX_DISTURB_DELAY_S)
            if kind == "writer-pause":
                await machine.pause(duration)
            else:
                machine.kill()
                await anyio.sleep(duration)
                await machine.start()

    async def _lose_machine_state(self, duration: float) -> None:
        """Kills a machine that is not the writer, deletes its stored state and starts it again after `duration` seconds."""
        writer = await self.writer(PUT_TIMEOUT_S)
        machine = self.rng.choice([machine for machine in self.machines if machine is not writer and not machine.paused])
        machine.kill()
        for name in ("vote", "configuration"):
            (machine.state / name).unlink(missing_ok=True)
        self.run.traffic.seen("disk", front=machine.name, life=machine.life, what="control-lost")
        await anyio.sleep(duration)
        await machine.start()

    def _damage_copy(self, path: Path, kind: str) -> None:
        """Deletes the stored copy of the configuration, or gives it a content that no version has, under the old name."""
        import zstandard

        from curlewshift.distribution.copy import DECODER, ENCODER

        if kind == "front-lost" or not path.exists():
            path.unlink(missing_ok=True)
            return
        head, _, data = path.read_bytes().partition(b"\n")
        stored_copy = DECODER.decode(data)
        content = zstandard.ZstdDecompressor().decompress(stored_copy.content, max_output_size=2**22)
        stored_copy.content = zstandard.ZstdCompressor().compress(with_marker(content, CORRUPT_MARKER))
        path.write_bytes(head + b"\n" + ENCODER.encode(stored_copy))


def _markers_in(text: str) -> list[int]:
    return [int(marker) for marker in re.findall(r"stun:v(\d+)", text)]
