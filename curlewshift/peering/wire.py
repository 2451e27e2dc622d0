"""A front's channel to its peers on one UDP socket, and the time of it. Held by front/front.py.

Datagrams are read in bounded portions between which everything else has its turn, and are sent at once or not at all: a
socket without room drops them, as a network may.
"""

from __future__ import annotations

import socket
import time
from random import Random

import anyio

from curlewshift.membership.member import Member, Rank
from curlewshift.membership.membership import Membership
from curlewshift.peering.channel import Channel
from curlewshift.peering.frames import MOST_BYTES
from curlewshift.schedule.clock import Clock
from curlewshift.site.site import ListenAddress, Peers

NS = 1_000_000_000
# Datagrams read in one go, and the pause after a full portion (s): a flood gets this much of the front and no more.
PORTION, BREATH = 64, 0.005
# Between lines on refused datagrams (s).
TOLD_EACH = 5.0
# For the last words to be on their way (s).
LAST_WORDS = 0.05


class PeerWire:
    """Raises `OSError` at once where the socket cannot be had."""

    membership_class = Membership

    def __init__(self, site: str, door: ListenAddress, peers: Peers, clock: Clock, log, rng: Random):
        self.clock, self.log = clock, log
        family = socket.AF_INET6 if ":" in door.peers_listen[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self.socket.setblocking(False)
            self.socket.bind(door.peers_listen)
        except OSError:
            self.socket.close()
            raise
        self.unsent = 0
        self.deadline: float | None = None
        self.woken = anyio.Event()
        self.longest = peers.membership_terms.period / NS
        life = clock.wall() // 1_000_000 * 1024 + rng.getrandbits(10)
        self.channel = Channel(
            self,
            site,
            door.name,
            door.peers_reach,
            life,
            peers.seeds,
            peers.membership_terms,
            peers.most_bytes,
            rng,
            self.membership_class,
        )

    async def run(self) -> None:
        """Until cancelled; leaves in words before that if `leave` was called."""
        try:
            self.channel.start()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._wakes)
                tasks.start_soon(self._tell_refused)
                await self._read()
        finally:
            self.socket.close()

    async def leave(self) -> None:
        self.channel.leave()
        await anyio.sleep(LAST_WORDS)

    # ---- the channel's host

    def now(self) -> int:
        return self.clock.hard()

    def wake(self, at: int) -> None:
        """In so long by the clock as it is now: one that is set later does not make it longer."""
        self.deadline = time.monotonic() + max(0.0, (at - self.now()) / NS)
        self.woken.set()

    def post(self, address: tuple[str, int], data: bytes) -> None:
        try:
            self.socket.sendto(data, address)
        except OSError:
            self.unsent += 1

    def member_changed(self, member: Member, before: Rank | None, cause: str) -> None:
        self.log.info(
            "member",
            name=member.name,
            life=member.life,
            incarnation=member.incarnation,
            now=member.rank.name.lower(),
            before=before.name.lower() if before is not None else "unknown",
            cause=cause,
        )

    def outlived(self, over: bool) -> None:
        if over:
            self.log.error("outlived", cause="a later process has this front's name; this one is silent to its peers")
        else:
            self.log.info("in-again", cause="the later process of this front's name is gone")

    # ---- tasks

    async def _wakes(self) -> None:
        while True:
            self.woken = anyio.Event()
            wait = self.longest if self.deadline is None else min(self.longest, self.deadline - time.monotonic())
            with anyio.move_on_after(max(0.0, wait)):
                await self.woken.wait()
                continue
            self.deadline = None
            try:
                self.channel.time()
            except Exception as fault:
                self.log.error("fault", what="peers' time", cause=repr(fault), exc_info=fault)

    async def _read(self) -> None:
        while True:
            await anyio.wait_readable(self.socket)
            for _ in range(PORTION):
                try:
                    data = self.socket.recv(MOST_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:
                    # somebody's port was closed, as the machine tells on a later call
                    continue
                try:
                    self.channel.received(data)
                except Exception as fault:
                    self.log.error("fault", what="peers' datagram", cause=repr(fault), exc_info=fault)
            else:
                await anyio.sleep(BREATH)

    async def _tell_refused(self) -> None:
        """One line for all that was refused since the last, not one each: anybody who reaches the port can cause them."""
        told: dict[str, int] = {}
        while True:
            await anyio.sleep(TOLD_EACH)
            counts = {**self.channel.refused, "flooded": self.channel.flooded, "unsent": self.unsent}
            more = {why: count - told.get(why, 0) for why, count in counts.items() if count > told.get(why, 0)}
            if more:
                self.log.warning("datagrams-refused", **{why.replace("-", "_"): count for why, count in more.items()})
            told = counts
