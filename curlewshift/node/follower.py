"""Follows the bulletin over its breaks, silences, doublings and changes of address."""

from __future__ import annotations

import anyio

from curlewshift.node import bulletin
from curlewshift.node.wire import ENDED, READ

# An empty frame comes each second: without any for so long, whatever is open there is dead (s).
SILENT_FOR = 2.2
CONNECT_WITHIN = 1.0
# Pauses after a connection that told nothing: the first, doubled up to the longest (s).
FIRST_PAUSE, LONGEST_PAUSE = 0.05, 1.0


class Follower:
    """`told(whole, payload)` gets each event once, in the order of their numbers. `last` is the newest one had."""

    def __init__(self, address: tuple[str, int], last: int, told, log):
        self.address, self.last, self.told, self.log = address, last, told, log
        self.scope = None
        # a gap that came again although the bulletin was asked for what is missing: there is nothing in it
        self.gap_after = -1

    def move(self, address: tuple[str, int]) -> None:
        if address != self.address:
            self.address = address
            if self.scope is not None:
                self.scope.cancel()

    async def run(self) -> None:
        pause = FIRST_PAUSE
        while True:
            heard = False
            with anyio.CancelScope() as self.scope:
                try:
                    heard = await self._follow()
                except (bulletin.Malformed, TimeoutError, *ENDED) as wrong:
                    heard = getattr(wrong, "heard", False)
                    self.log.warning("bulletin-broke", last=self.last, cause=repr(wrong))
                except Exception as fault:
                    self.log.error("fault", what="the bulletin", cause=repr(fault), exc_info=fault)
            if self.scope.cancelled_caught or heard:
                pause = FIRST_PAUSE
            await anyio.sleep(pause)
            pause = min(LONGEST_PAUSE, pause * 2)

    async def _follow(self) -> bool:
        """True once the connection has ended after it had told something."""
        with anyio.fail_after(CONNECT_WITHIN):
            stream = await anyio.connect_tcp(*self.address)
        heard, reader = False, bulletin.Reader()
        async with stream:
            try:
                with anyio.fail_after(CONNECT_WITHIN):
                    await stream.send(bulletin.ask(self.last))
                while True:
                    with anyio.fail_after(SILENT_FOR):
                        data = await stream.receive(READ)
                    try:
                        frames = reader.feed(data)
                    except bulletin.Malformed as wrong:
                        self._take(wrong.before)
                        raise
                    heard = heard or bool(frames)
                    if not self._take(frames):
                        return heard
            except Exception as wrong:
                wrong.heard = heard
                raise

    def _take(self, frames: list[tuple[int, int, bytes]]) -> bool:
        """False if events are missing before the newest: they have to be asked for."""
        for number, kind, payload in frames:
            if number <= self.last:
                continue
            missing = kind == bulletin.NOTHING_NEW or kind == bulletin.CHANGES and number != self.last + 1
            if missing and self.gap_after != self.last:
                self.gap_after = self.last
                self.log.warning("bulletin-gap", last=self.last, came=number)
                return False
            if kind == bulletin.NOTHING_NEW:
                continue
            self.last = number
            self.told(kind == bulletin.WHOLE, payload)
        return True
