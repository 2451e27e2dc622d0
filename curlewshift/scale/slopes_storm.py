"""Reconnect storm: a node restarts after a crash, and all its clients reconnect at once. Called by slopes.py.

Each client connects independently, requests a viewing, retries after the pause given in a refusal, and reconnects where its
connection was closed. So no client gives up, and the time until the last one plays is measured.
"""

from __future__ import annotations

import heapq
import socket
import time

from curlewshift.node import rtsp
from curlewshift.scale.slopes import Run, Slope
from curlewshift.scale.slopes_asked import WAITS, p99
from curlewshift.scale.slopes_crowd import Crowd, Viewer
from curlewshift.scale.slopes_idle import max_idle_connections, place

NS = 1_000_000_000
MEDIAS = 16
# Delay before a retry after a refusal without a pause, and before a reconnect (ns).
PAUSE = NS // 2
STORM_WITHIN = 240.0


class Storm(Crowd):
    """Clients that want one viewing each. `waits`: time of each from the start of the storm until it played (ns)."""

    def begin(self, clients: int) -> None:
        self.wanted, self.waits, self.refused, self.began = clients, [], 0, time.monotonic_ns()
        self.later: list[tuple[int, int, object]] = []
        self.loop.turn_callbacks.append(self.turn)
        for _ in range(clients):
            self.connect_soon()

    def at(self, when: int, what) -> None:
        heapq.heappush(self.later, (when, self.rng.getrandbits(62), what))

    def turn(self, now: int) -> None:
        while self.later and self.later[0][0] <= now:
            heapq.heappop(self.later)[2]()

    def connect_soon(self) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect_ex(("127.0.0.1", self.port))
        self.loop.when_writable(sock, lambda: self.up(sock))

    def up(self, sock: socket.socket) -> None:
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.loop.remove(sock)
            self.at(time.monotonic_ns() + PAUSE, self.connect_soon)
            return
        viewer = Viewer(self, sock)
        self.viewers[viewer] = True
        self.loop.when_readable(sock, viewer.read)
        self.ask(viewer, again=True)

    def answered(self, id: str, viewer: Viewer, message: rtsp.Message) -> None:
        if message.status == 200:
            self.waits.append(time.monotonic_ns() - self.began)
            return
        self.refused += 1
        pause = message.fields.get("x-pause", "")
        self.at(
            time.monotonic_ns() + (int(pause) * 1_000_000 if pause.isdigit() and int(pause) else PAUSE),
            lambda: viewer in self.viewers and self.ask(viewer, again=True),
        )

    def left(self, viewer: Viewer) -> None:
        super().left(viewer)
        open_ = [id for id, (owner, _) in self.asked.items() if owner is viewer]
        for id in open_:
            del self.asked[id]
        if viewer not in self.playing.values():
            self.at(time.monotonic_ns() + PAUSE, self.connect_soon)


def measure_storm(run: Run) -> list[Slope]:
    by = ("clients that come again at once", "count")
    over = Slope(
        "storm-until-all-play",
        by,
        ("from the storm's begin until the last plays", "seconds"),
        notes=[
            "on a node that has just become ready; each client comes on a connection of its own, "
            "after a pause where it is refused",
            WAITS,
        ],
    )
    late = Slope("storm-p99", by, ("from the storm's begin until a client plays, p99", "seconds"), notes=[WAITS])
    used = Slope("storm-time", by, ("processor time of the node for the whole storm", "seconds"))
    for number in range(run.rounds):
        for size in run.sizes:
            with place(run, MEDIAS) as (stands, node, _):
                storm = Storm(stands.loop, node.port, stands.rng, MEDIAS)
                before = node.processor_ns()
                storm.begin(size)
                stands.loop.until(lambda: len(storm.waits) >= size, STORM_WITHIN, f"a storm of {size}")
                spent, took = (node.processor_ns() - before) / NS, max(storm.waits) / NS
            over.points.append((size, took))
            late.points.append((size, p99(storm.waits)))
            used.points.append((size, spent))
            used.notes.append(
                f"round {number + 1}, {size}: {size / took:.0f} a second, {storm.refused} refusals, {storm.dropped} dropped"
            )
            run.say(
                f"storm, round {number + 1}: {size} clients: all play after {took:.2f} s ({size / took:.0f} a second), p99 "
                f"{p99(storm.waits):.2f} s, {spent:.2f} s of processor time, {storm.refused} refusals, {storm.dropped} "
                f"dropped; {max_idle_connections(run.descriptors)} may rest"
            )
    return [over, late, used]
