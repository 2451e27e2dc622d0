"""UDP relays between the nodes of a scale run; each process serves some of the nodes. Started by scale/fleet.py.

Unlike the relay of fault injection runs, it counts datagrams by sender, kind and size instead of recording them, as the traffic
of a fleet would fill the disk, and delays them by the latency between zones. The verdict rests on its reports alone; frames are
decoded by the verdict's own reader.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import anyio
import msgspec

from curlewshift.scale.plan import read_plan
from curlewshift.scale.talk import send_message, serve_commands
from curlewshift.standins.relay import LARGEST, Relay
from curlewshift.standins.running import until_told
from curlewshift.standins.traffic import Traffic
from curlewshift.verdict.members import read_datagram

# Maximum number of datagrams read at once from one node's port, and the interval of the periodic reports (s).
MAX_READS, REPORT_INTERVAL_S = 64, 0.5
GONE = 2
# Kinds of frames (docs/peers.md): those that carry a version, and those that carry membership updates only.
PROBES, UPDATES = (1, 2), (5, 7)


def piggybacked_version(body: bytes) -> list | None:
    """[fence, count, start of the digest] that a probe carries (docs/distribution.md: version and age), None if malformed."""
    try:
        fence, count, digest = msgspec.msgpack.decode(body)[0]
        return [fence, count, digest.hex()[:12]]
    except (msgspec.DecodeError, TypeError, ValueError, IndexError, AttributeError):
        return None


class ScaleRelay(Relay):
    """Relays to the nodes whose number modulo `relays` is `part`."""

    def __init__(self, folder: Path, part: int):
        plan = self.plan = read_plan(folder)
        super().__init__(
            [(place.name, place.listen) for place in plan.places[part :: plan.relays]], plan.seed * 100 + part, Traffic(None)
        )
        self.name_at = {place.listen: place.name for place in plan.places}
        self.region = {place.name: place.region for place in plan.places}
        self.zone = {place.name: place.zone for place in plan.places}
        self.loss, self.regions_apart = plan.loss, False
        # by sender and kind, and by receiver: datagrams, bytes
        self.sent: dict[tuple[str, int], list[int]] = {}
        self.handed_to: dict[str, list[int]] = {name: [0, 0] for name in self.names}
        self.lost = self.cut = self.spoilt = 0
        # by sender, of its latest datagram: life, incarnation, view, number, time; and of the last piggybacked version: life,
        # version, time first seen here, number of the last datagram that carried it
        self.shown: dict[str, list] = {}
        self.piggybacked: dict[str, tuple[int, list, float, int]] = {}
        self.news: set[str] = set()
        self.gone: dict[tuple[str, int], list] = {}

    async def run(self, tasks) -> None:
        self.loop = asyncio.get_running_loop()
        for name, sock in self.sockets.items():
            self.loop.add_reader(sock, self._read_some, name, sock)
        tasks.start_soon(self._report_periodically)

    def _read_some(self, to: str, sock) -> None:
        for _ in range(MAX_READS):
            try:
                data, (_, port) = sock.recvfrom(LARGEST)
            except BlockingIOError:
                return
            except OSError:
                continue
            sender = self.name_at.get(port)
            if sender is not None:
                self._carry(sender, to, data)

    def _carry(self, sender: str, to: str, data: bytes) -> None:
        frame = read_datagram(data)
        if frame is None or frame[1] != sender:
            self.spoilt += 1
            return
        self._inspect(sender, frame)
        row = self.sent.get((sender, frame[7]))
        if row is None:
            row = self.sent[sender, frame[7]] = [0, 0]
        row[0] += 1
        row[1] += len(data)
        if self.regions_apart and self.region[sender] != self.region[to]:
            self.cut += 1
        elif self.loss and self.rng.random() < self.loss:
            self.lost += 1
        elif self.zone[sender] == self.zone[to]:
            self._hand_on(to, data, False)
        else:
            self.loop.call_later(self.plan.late[self.region[sender] != self.region[to]], self._hand_on, to, data, False)

    def _inspect(self, sender: str, frame: list) -> None:
        life, incarnation, number, view = frame[4], frame[5], frame[6], frame[10]
        held = self.shown.get(sender)
        if held is None or (life, number) > (held[0], held[3]):
            self.news.add(sender)
            now = time.monotonic()
            if frame[7] in PROBES and frame[12]:
                version = piggybacked_version(frame[12])
                piggybacked = self.piggybacked.get(sender)
                if version is not None and (piggybacked is None or (life, number) > (piggybacked[0], piggybacked[3])):
                    same = piggybacked is not None and piggybacked[:2] == (life, version)
                    self.piggybacked[sender] = life, version, piggybacked[2] if same else now, number
            piggybacked = self.piggybacked.get(sender)
            self.shown[sender] = [
                life,
                incarnation,
                view,
                number,
                now,
                *(piggybacked[1:] if piggybacked and piggybacked[0] == life else ()),
            ]
        for claim in frame[11]:
            if claim[5] == GONE and (claim[0], claim[3]) not in self.gone:
                self.gone[claim[0], claim[3]] = [claim[0], claim[3], sender, time.monotonic()]

    def _hand_on(self, to: str, data: bytes, corrupt: bool) -> None:
        row = self.handed_to[to]
        row[0] += 1
        row[1] += len(data)
        super()._hand_on(to, data, corrupt)

    async def _report_periodically(self) -> None:
        reported = 0
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            gone = list(self.gone.values())
            send_message(
                {
                    "tick": time.monotonic(),
                    "shown": {name: self.shown[name] for name in self.news},
                    "gone": gone[reported:],
                    "bytes": sum(row[1] for row in self.sent.values()),
                    "news": sum(row[0] for (_, kind), row in self.sent.items() if kind in UPDATES),
                }
            )
            self.news.clear()
            reported = len(gone)

    async def carry_out(self, command: dict) -> dict:
        if command["do"] == "ways":
            self.regions_apart, self.loss = command.get("apart", self.regions_apart), command.get("loss", self.loss)
            return {}
        sent: dict[str, dict[int, list[int]]] = {}
        for (sender, kind), row in self.sent.items():
            sent.setdefault(sender, {})[kind] = row
        return {
            "at": time.monotonic(),
            "said": sent,
            "handed": self.handed_to,
            "lost": self.lost,
            "cut": self.cut,
            "spoilt": self.spoilt,
            "core": time.process_time_ns(),
        }


async def run_relay(folder: Path, part: int) -> None:
    """Reports the ports at which its nodes are reached, then executes commands."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(until_told, tasks)
        relay = ScaleRelay(folder, part)
        send_message({"reach": relay.ports()})
        await relay.run(tasks)
        await serve_commands(relay.carry_out)
        tasks.cancel_scope.cancel()
