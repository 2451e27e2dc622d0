"""Accepting connections, and what happens where there is no room for another. Called by the HTTP server and the node."""

from __future__ import annotations

import errno

import anyio

# What an accept says where there is no descriptor or memory left, and how long it is left alone then (s).
EXHAUSTED_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
FULL_PAUSE = 0.02


class PausingListener:
    """A listener that accepts while there is room, and for which no descriptor left is a pause and not the end.

    `gate` is a curlewshift.limits.descriptors.DescriptorGate, or None: what is not accepted waits in the kernel's queue.
    """

    def __init__(self, listener, gate=None):
        self.listener, self.gate = listener, gate
        self.extra_attributes = listener.extra_attributes

    def extra(self, *args):
        return self.listener.extra(*args)

    async def aclose(self) -> None:
        await self.listener.aclose()

    async def serve(self, handler, task_group=None) -> None:
        if task_group is not None:
            await self._accept(handler, task_group)
            return
        async with anyio.create_task_group() as own:
            await self._accept(handler, own)

    async def _accept(self, handler, tasks) -> None:
        """Until the listener is closed."""
        while True:
            if self.gate is not None:
                while not self.gate.may_accept():
                    self.gate.make_room()
                    await anyio.sleep(FULL_PAUSE)
            try:
                stream = await self.listener.accept()
            except anyio.ClosedResourceError:
                return
            except OSError as wrong:
                if wrong.errno not in EXHAUSTED_ERRNOS:
                    raise
                if self.gate is not None:
                    self.gate.ran_out()
                    self.gate.make_room()
                await anyio.sleep(FULL_PAUSE)
                continue
            tasks.start_soon(handler, stream)
