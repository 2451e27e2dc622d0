"""What lies between the nodes of a scale run: some nodes' share of it, a process each. Started by scale/fleet.py.

The rehearsal's relay with other ways: datagrams are counted by sender, kind and size instead of written down, as a fleet's
would fill the disk, and take the time that lies between their zones. What it tells is all that the verdict rests on; frames are
read by the judge's own reader.
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

# Datagrams read in one go from one node's port, and between what it tells unasked (s).
AT_ONCE, TELLS_EVERY = 64, 0.5
GONE = 2
# Kinds of frames (docs/peers.md): on which a version rides, and which tell of members alone.
PROBES, NEWS = (1, 2), (5, 7)


def version_ridden(body: bytes) -> list | None:
    """[fence, count, digest's beginning] of a probe's rider (docs/distribution.md: version and age)."""
    try:
        fence, count, digest = msgspec.msgpack.decode(body)[0]
        return [fence, count, digest.hex()[:12]]
    except (msgspec.DecodeError, TypeError, ValueError, IndexError, AttributeError):
        return None


class ScaleRelay(Relay):
    """Reaches the nodes whose numbers leave `part` over `relays`."""

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
        self.said: dict[tuple[str, int], list[int]] = {}
        self.handed_to: dict[str, list[int]] = {name: [0, 0] for name in self.names}
        self.lost = self.cut = self.spoilt = 0
        # what senders show: life, incarnation, view, number of the datagram, when; and what rode last: version, first seen here
        # when, number of the last datagram that it rode on
        self.shown: dict[str, list] = {}
        self.rode: dict[str, tuple[int, list, float, int]] = {}
        self.news: set[str] = set()
        self.gone: dict[tuple[str, int], list] = {}

    async def run(self, tasks) -> None:
        self.loop = asyncio.get_running_loop()
        for name, door in self.sockets.items():
            self.loop.add_reader(door, self._read_some, name, door)
        tasks.start_soon(self._tell)

    def _read_some(self, to: str, door) -> None:
        for _ in range(AT_ONCE):
            try:
                data, (_, port) = door.recvfrom(LARGEST)
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
        self._look(sender, frame)
        row = self.said.get((sender, frame[7]))
        if row is None:
            row = self.said[sender, frame[7]] = [0, 0]
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

    def _look(self, sender: str, frame: list) -> None:
        life, incarnation, number, view = frame[4], frame[5], frame[6], frame[10]
        held = self.shown.get(sender)
        if held is None or (life, number) > (held[0], held[3]):
            self.news.add(sender)
            now = time.monotonic()
            if frame[7] in PROBES and frame[12]:
                version = version_ridden(frame[12])
                rode = self.rode.get(sender)
                if version is not None and (rode is None or (life, number) > (rode[0], rode[3])):
                    same = rode is not None and rode[:2] == (life, version)
                    self.rode[sender] = life, version, rode[2] if same else now, number
            rode = self.rode.get(sender)
            self.shown[sender] = [life, incarnation, view, number, now, *(rode[1:] if rode and rode[0] == life else ())]
        for claim in frame[11]:
            if claim[5] == GONE and (claim[0], claim[3]) not in self.gone:
                self.gone[claim[0], claim[3]] = [claim[0], claim[3], sender, time.monotonic()]

    def _hand_on(self, to: str, data: bytes, spoilt: bool) -> None:
        row = self.handed_to[to]
        row[0] += 1
        row[1] += len(data)
        super()._hand_on(to, data, spoilt)

    async def _tell(self) -> None:
        told = 0
        while True:
            await anyio.sleep(TELLS_EVERY)
            gone = list(self.gone.values())
            send_message(
                {
                    "tick": time.monotonic(),
                    "shown": {name: self.shown[name] for name in self.news},
                    "gone": gone[told:],
                    "bytes": sum(row[1] for row in self.said.values()),
                    "news": sum(row[0] for (_, kind), row in self.said.items() if kind in NEWS),
                }
            )
            self.news.clear()
            told = len(gone)

    async def carry_out(self, command: dict) -> dict:
        if command["do"] == "ways":
            self.regions_apart, self.loss = command.get("apart", self.regions_apart), command.get("loss", self.loss)
            return {}
        said: dict[str, dict[int, list[int]]] = {}
        for (sender, kind), row in self.said.items():
            said.setdefault(sender, {})[kind] = row
        return {
            "at": time.monotonic(),
            "said": said,
            "handed": self.handed_to,
            "lost": self.lost,
            "cut": self.cut,
            "spoilt": self.spoilt,
            "core": time.process_time_ns(),
        }


async def run_relay(folder: Path, part: int) -> None:
    """Tells the ports at which its nodes are reached, then obeys."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(until_told, tasks)
        relay = ScaleRelay(folder, part)
        send_message({"reach": relay.ports()})
        await relay.run(tasks)
        await serve_commands(relay.carry_out)
        tasks.cancel_scope.cancel()
