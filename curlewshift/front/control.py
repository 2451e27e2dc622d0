"""The front's control socket: commands of operators on the same machine, one line of JSON in each direction.

It is a Unix socket in the front's state folder. The file's permissions (owner only) decide who may write to it. The kernel tells
which user has connected; the name is logged together with the reason given.
"""

from __future__ import annotations

import os
import pwd
import socket
import sqlite3
import struct
from pathlib import Path

import anyio
import msgspec
from anyio import TASK_STATUS_IGNORED
from anyio.abc import SocketAttribute

from curlewshift.peaks.calendar import InvalidPeak, Peak
from curlewshift.schedule.clock import SkewedClock

MAX_COMMAND_BYTES = 64 * 1024
# Time-out of one command, at the front and at the caller (s).
WITHIN = 5.0


class Command(msgspec.Struct):
    """One command. `do` is `peaks`, `announce`, `cancel`, `limits`, `peers`, `shared`, `leases`, `overload`, `configuration`,
    `live` or `release`; at a front started with `--led` also `clock`, `path` or `stop-in-act`."""

    do: str
    peak: dict = {}
    name: str = ""
    why: str = ""
    rate: float = 1.0
    step: int = 0
    lost: bool = False


class Socket:
    """Listens at `path`, reads one command per connection of at most `most_bytes` and within `within` (s), and answers with the
    result of `_carry_out`."""

    most_bytes, within = MAX_COMMAND_BYTES, WITHIN

    def __init__(self, path: Path):
        self.path = path

    async def run(self, *, task_status=TASK_STATUS_IGNORED) -> None:
        """Serves commands. Reports as started once it listens, so that a front that accepts viewers also accepts commands."""
        self.path.unlink(missing_ok=True)
        previous_umask = os.umask(0o177)
        try:
            listener = await anyio.create_unix_listener(self.path)
        finally:
            os.umask(previous_umask)
        task_status.started()
        async with listener:
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream) -> None:
        async with stream:
            try:
                with anyio.fail_after(self.within):
                    raw = bytearray()
                    while not raw.endswith(b"\n") and len(raw) < self.most_bytes:
                        raw += await stream.receive()
                    answer = await self._carry_out(bytes(raw), _peer_user(stream))
                    await stream.send(msgspec.json.encode(answer) + b"\n")
            except (TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
                return

    async def _carry_out(self, raw: bytes, who: str) -> dict:
        raise NotImplementedError


class Control(Socket):
    """The commands that a front accepts. `store` is where announced peaks are kept."""

    def __init__(self, front, path: Path, store):
        super().__init__(path)
        self.front, self.store = front, store

    async def _carry_out(self, raw: bytes, who: str) -> dict:
        try:
            command = msgspec.json.decode(raw, type=Command)
            if command.do == "peaks":
                return {"ok": True, "peaks": self._peaks()}
            if command.do == "limits":
                return {"ok": True, **self._limits()}
            if command.do == "peers":
                peers = self.front.peers
                return {"ok": True, "peers": peers.channel.show() if peers is not None else None}
            if command.do == "shared":
                shared = self.front.shared
                return {"ok": True, "shared": shared.show() if shared is not None else None}
            if command.do == "leases":
                leased = self.front.leased
                return {"ok": True, "leases": leased.show() if leased is not None else None}
            if command.do == "overload":
                shedding = self.front.shedding
                return {"ok": True, "overload": shedding.show() if shedding is not None else None}
            if command.do == "configuration":
                configured = self.front.configured
                return {"ok": True, "configuration": configured.show() if configured is not None else None}
            if command.do == "live":
                configured = self.front.configured
                return {"ok": True, "live": configured.live() if configured is not None else None}
            if command.do == "clock":
                return self._skew_clock(command)
            if command.do == "path":
                return self._set_path_lost(command)
            if command.do == "stop-in-act":
                return self._arm_stop()
            if not command.why.strip():
                raise InvalidPeak("say why: it goes into the log with your name")
            if command.do == "release":
                return self._release(command, who)
            if command.do == "announce":
                return await self._announce(command, who)
            if command.do == "cancel":
                return await self._cancel(command, who)
            raise InvalidPeak(f"there is no command {command.do!r}")
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return {"ok": False, "wrong": f"this is no command: {error}"}
        except (InvalidPeak, sqlite3.Error) as error:
            self.front.log.info("control-refused", who=who, cause=str(error))
            return {"ok": False, "wrong": str(error)}

    async def _announce(self, command: Command, who: str) -> dict:
        try:
            peak = msgspec.convert({**command.peak, "who": who, "why": command.why}, Peak)
        except msgspec.ValidationError as error:
            raise InvalidPeak(f"this is no peak: {error}") from None
        self.front.session_core.announce(peak)
        try:
            await anyio.to_thread.run_sync(self.store.announced, peak, self.front.wall())
        except sqlite3.Error:
            # a peak that could not be stored is neither confirmed nor in force
            self.front.session_core.cancel(peak.name)
            raise
        self.front.log.info("peak-announced", peak=peak.name, package=peak.package, who=who, cause=command.why)
        return {"ok": True}

    async def _cancel(self, command: Command, who: str) -> dict:
        if command.name not in self.front.calendar.peaks:
            raise InvalidPeak(f"there is no peak {command.name!r}")
        await anyio.to_thread.run_sync(self.store.cancelled, command.name, self.front.wall(), who, command.why)
        if command.name in self.front.calendar.peaks:
            self.front.session_core.cancel(command.name)
        self.front.log.info("peak-cancelled", peak=command.name, who=who, cause=command.why)
        return {"ok": True}

    def _skew_clock(self, command: Command) -> dict:
        if not isinstance(self.front.clock, SkewedClock):
            raise InvalidPeak("this front's clock is not to be led")
        self.front.clock.skew(command.rate, command.step)
        self.front.log.info("clock-led", rate=command.rate, step_s=command.step / 1e9)
        return {"ok": True}

    def _set_path_lost(self, command: Command) -> dict:
        if not hasattr(self.front.server_pool, "path_lost"):
            raise InvalidPeak("this front's path is not to be led")
        self.front.server_pool.path_lost = command.lost
        self.front.log.info("path-led", lost=command.lost)
        return {"ok": True}

    def _arm_stop(self) -> dict:
        """Makes the process stop itself between its next check of a lease and the probe that follows; the caller must continue it
        with SIGCONT."""
        if not hasattr(self.front.server_pool, "stop_before_probe"):
            raise InvalidPeak("this front is not to be stopped in an act")
        self.front.server_pool.stop_before_probe = True
        return {"ok": True}

    def _release(self, command: Command, who: str) -> dict:
        leased = self.front.leased
        if leased is None or command.name not in {row["lease"] for row in leased.show()["leases"]}:
            raise InvalidPeak(f"there is no lease {command.name!r} here")
        leased.tasks.release(command.name)
        self.front.log.info("lease-released", lease=command.name, who=who, cause=command.why)
        return {"ok": True}

    def _limits(self) -> dict:
        front, admission = self.front, self.front.http_listener.admission
        gate = {
            "connections": len(front.gate.connections),
            "most_connections": front.gate.max_connections,
            "dropped": front.gate.dropped,
            "none_left": front.gate.none_left,
        }
        return {**gate, "limits": admission.show(front.now()) if admission is not None else None}

    def _peaks(self) -> list[dict]:
        holding = self.front.session_core.peaks.hold_states
        rows = []
        for peak in self.front.calendar.peaks.values():
            held = holding.get(peak.name)
            package = self.front.calendar.packages[peak.package]
            held_bandwidth = sum(link.holds.get(package, 0.0) for link in self.front.session_core.peaks.held_links)
            rows.append(
                {
                    **msgspec.to_builtins(peak),
                    "phase": held.phase if held else "ahead",
                    "needs": round(held.need if held else 0.0),
                    "held_here": round(held_bandwidth),
                }
            )
        return rows


def _peer_user(stream) -> str:
    """The user at the other end of the connection, as reported by the kernel; the number if the user has no name."""
    raw = stream.extra(SocketAttribute.raw_socket)
    _, uid, _ = struct.unpack("3i", raw.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i")))
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return str(uid)


async def tell(state: Path, command: dict, within: float = WITHIN) -> dict:
    """Sends one command to the front or control machine with this state folder and returns its answer.

    Raises `OSError` if none listens there, `TimeoutError` if it does not answer within `within` (s).
    """
    with anyio.fail_after(within):
        async with await anyio.connect_unix(state / "control") as stream:
            await stream.send(msgspec.json.encode(command) + b"\n")
            raw = bytearray()
            while not raw.endswith(b"\n"):
                raw += await stream.receive()
            return msgspec.json.decode(bytes(raw))
