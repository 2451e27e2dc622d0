"""Follows the bulletin over its breaks, silences, doublings and changes of address."""

from __future__ import annotations

import socket

import anyio

from curlewshift.node import discovery
from curlewshift.node.buffered_connection import ENDED, BufferedConnection, dial

# An empty frame comes each second: without any for so long, whatever is open there is dead (s).
SILENT_FOR = 2.2
# What is asked is answered at once, or late where many ask: a connection that says nothing is left after the first of these, and
# after the second once so many in a row have said nothing (s). A change counts as told 6 s after a call that failed.
FIRST_WITHIN, PATIENT_FIRST_WITHIN, PATIENT_AFTER = 1.5, 3.0, 2
CONNECT_WITHIN = 1.0
# Pauses after a connection that told nothing: the first, doubled up to the longest (s).
FIRST_PAUSE, LONGEST_PAUSE = 0.05, 1.0
# Where events are said to be missing and are not told when asked for, they are asked for again after this (s).
ASK_AGAIN = 2.0


class Follower:
    """`told(whole, payload)` gets each event once, in the order of their numbers. `last` is the newest one had. One
    descriptor is its own from the start: a flood of viewers must not keep the list from being found again."""

    def __init__(self, address: tuple[str, int], last: int, told, log, tasks):
        self.address, self.last, self.told, self.log, self.tasks = address, last, told, log, tasks
        self.spare: socket.socket | None = _socket()
        self.scope: anyio.CancelScope | None = None
        self.moved = anyio.Event()
        # asked for what is missing after this number, and when
        self.gap_after, self.gap_at = -1, 0.0
        # connections in a row that were up and said nothing
        self.silent = 0

    def move(self, address: tuple[str, int]) -> None:
        if address != self.address:
            self.address, self.silent = address, 0
            self.moved.set()
            if self.scope is not None:
                self.scope.cancel()

    async def run(self) -> None:
        pause = FIRST_PAUSE
        while True:
            heard, self.moved = [], anyio.Event()
            with anyio.CancelScope() as self.scope:
                try:
                    await self._follow(heard)
                except (discovery.Malformed, *ENDED) as wrong:
                    self.log.warning("bulletin-broke", last=self.last, cause=repr(wrong))
                except Exception as fault:
                    self.log.error("fault", what="the bulletin", cause=repr(fault), exc_info=fault)
            self.scope = None
            if self.moved.is_set() or heard:
                pause = FIRST_PAUSE
            if not self.moved.is_set():
                with anyio.move_on_after(pause):
                    await self.moved.wait()
            pause = min(LONGEST_PAUSE, pause * 2)

    async def _follow(self, heard: list) -> None:
        """Until the connection has ended; something is put in `heard` once it has told something."""
        spare, self.spare = self.spare, None
        try:
            sock = await dial(self.address, CONNECT_WITHIN, spare if spare is not None else _socket())
            if sock is None:
                raise TimeoutError("no connection in time")
            wire, reader = BufferedConnection(sock, self.tasks), discovery.Reader()
            try:
                wire.send(discovery.ask(self.last))
                while True:
                    data = await self._receive(wire, heard)
                    if not data:
                        raise anyio.EndOfStream
                    wrong = None
                    try:
                        frames = reader.feed(data)
                    except discovery.Malformed as caught:
                        frames, wrong = caught.before, caught
                    heard += frames[:1] if not heard else ()
                    if not self._take(frames):
                        return
                    if wrong is not None:
                        raise wrong
            finally:
                await wire.close()
        finally:
            # its descriptor has just been let go, and is taken again before anyone else runs
            if self.spare is None:
                try:
                    self.spare = _socket()
                except OSError as wrong:
                    self.log.warning("no-spare-descriptor", cause=repr(wrong))

    async def _receive(self, wire: BufferedConnection, heard: list) -> bytes:
        first_within = FIRST_WITHIN if self.silent < PATIENT_AFTER else PATIENT_FIRST_WITHIN
        try:
            with anyio.fail_after(SILENT_FOR if heard else first_within):
                return await wire.receive()
        except TimeoutError:
            self.silent = 0 if heard else self.silent + 1
            raise

    def _take(self, frames: list[tuple[int, int, bytes]]) -> bool:
        """False if events are missing before the newest: they have to be asked for."""
        for number, kind, payload in frames:
            if number <= self.last:
                continue
            missing = kind == discovery.NOTHING_NEW or (kind == discovery.CHANGES and number != self.last + 1)
            now = anyio.current_time()
            again = kind == discovery.NOTHING_NEW and now - self.gap_at > ASK_AGAIN
            if missing and (self.gap_after != self.last or again):
                self.gap_after, self.gap_at = self.last, now
                self.log.warning("bulletin-gap", last=self.last, came=number)
                return False
            if kind == discovery.NOTHING_NEW:
                continue
            self.last = number
            self.told(kind == discovery.WHOLE, payload)
        return True


def _socket() -> socket.socket:
    return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
