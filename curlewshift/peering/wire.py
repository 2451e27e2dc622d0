"""A member's channel to its peers on one UDP socket, and its timer. Held by front/front.py and by control machines.

Datagrams are read in bounded batches, between which other tasks run. They are sent at once or not at all: if the socket's buffer
is full they are dropped, as a network may drop them too.
"""

from __future__ import annotations

import socket
import time
from random import Random

import anyio

from curlewshift.membership.member import Member, Rank
from curlewshift.membership.membership import Membership
from curlewshift.peering.channel import Channel
from curlewshift.peering.frames import MAX_DATAGRAM_BYTES
from curlewshift.schedule.clock import Clock
from curlewshift.site.site import ListenAddress, Peers

NS = 1_000_000_000
# Datagrams read in one batch, and the pause after a full batch (s): this limits the processor time that a flood can take.
MAX_READS_PER_TURN, READ_PAUSE_S = 64, 0.005
# Interval between log lines about rejected datagrams (s).
REFUSED_LOG_INTERVAL_S = 5.0
# Time for the messages of a leave to be sent before the socket closes (s).
LEAVE_FLUSH_S = 0.05


class PeerSocket:
    """The constructor raises `OSError` if the socket cannot be bound."""

    membership_class = Membership

    def __init__(self, site: str, listen_address: ListenAddress, peers: Peers, clock: Clock, log, rng: Random):
        self.clock, self.log = clock, log
        family = socket.AF_INET6 if ":" in listen_address.peers_listen[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self.socket.setblocking(False)
            self.socket.bind(listen_address.peers_listen)
        except OSError:
            self.socket.close()
            raise
        self.unsent = 0
        self.deadline: float | None = None
        self.wakeup = anyio.Event()
        self.max_wait_s = peers.membership_terms.period / NS
        life = clock.wall() // 1_000_000 * 1024 + rng.getrandbits(10)
        self.channel = Channel(
            self,
            site,
            listen_address.name,
            listen_address.peers_reach,
            life,
            peers.seeds,
            peers.membership_terms,
            peers.most_bytes,
            rng,
            self.membership_class,
        )

    async def run(self) -> None:
        """Runs until cancelled. Call `leave` before that to announce the leave to the other members."""
        try:
            self.channel.start()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_timer)
                tasks.start_soon(self._log_refused)
                await self._read()
        finally:
            self.socket.close()

    async def leave(self) -> None:
        self.channel.leave()
        await anyio.sleep(LEAVE_FLUSH_S)

    # ---- the channel's host

    def now(self) -> int:
        return self.clock.steppable_now()

    def wake(self, at: int) -> None:
        """Converts the time to a delay at once: if the clock is set later, the wait does not get longer."""
        self.deadline = time.monotonic() + max(0.0, (at - self.now()) / NS)
        self.wakeup.set()

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

    def outlived(self, superseded: bool) -> None:
        if superseded:
            self.log.error("outlived", cause="a later process uses this front's name; this process no longer answers its peers")
        else:
            self.log.info("in-again", cause="the later process that used this front's name is gone")

    # ---- tasks

    async def _run_timer(self) -> None:
        while True:
            self.wakeup = anyio.Event()
            wait = self.max_wait_s if self.deadline is None else min(self.max_wait_s, self.deadline - time.monotonic())
            with anyio.move_on_after(max(0.0, wait)):
                await self.wakeup.wait()
                continue
            self.deadline = None
            try:
                self.channel.time()
            except Exception as error:
                self.log.error("fault", what="peer timer", cause=repr(error), exc_info=error)

    async def _read(self) -> None:
        while True:
            await anyio.wait_readable(self.socket)
            for _ in range(MAX_READS_PER_TURN):
                try:
                    data = self.socket.recv(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:
                    # an earlier datagram was sent to a closed port, which the system reports on a later call
                    continue
                try:
                    self.channel.received(data)
                except Exception as error:
                    self.log.error("fault", what="peer datagram", cause=repr(error), exc_info=error)
            else:
                await anyio.sleep(READ_PAUSE_S)

    async def _log_refused(self) -> None:
        """Logs one line for all datagrams rejected since the last line, not one each: anyone who reaches the port can cause
        them."""
        logged: dict[str, int] = {}
        while True:
            await anyio.sleep(REFUSED_LOG_INTERVAL_S)
            counts = {**self.channel.refused, "flooded": self.channel.flooded, "unsent": self.unsent}
            more = {reason: count - logged.get(reason, 0) for reason, count in counts.items() if count > logged.get(reason, 0)}
            if more:
                self.log.warning("datagrams-refused", **{reason.replace("-", "_"): count for reason, count in more.items()})
            logged = counts
