"""Accepts connections, and pauses while descriptors or memory are exhausted. Used by the HTTP server and the node."""

from __future__ import annotations

import errno

import anyio

# Errors of accept() when descriptors or memory are exhausted, and the pause before the next try (s).
EXHAUSTED_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
EXHAUSTED_PAUSE_S = 0.02


class PausingListener:
    """Wraps a listener: it pauses accepting when descriptors or memory are exhausted, instead of failing.

    `gate` is a curlewshift.limits.descriptors.DescriptorGate that limits open connections, or None. Connections that are not
    accepted wait in the kernel's queue.
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
        async with anyio.create_task_group() as own_tasks:
            await self._accept(handler, own_tasks)

    async def _accept(self, handler, tasks) -> None:
        """Accepts connections until the listener is closed."""
        while True:
            if self.gate is not None:
                while not self.gate.may_accept():
                    self.gate.make_room()
                    await anyio.sleep(EXHAUSTED_PAUSE_S)
            try:
                stream = await self.listener.accept()
            except anyio.ClosedResourceError:
                return
            except OSError as error:
                if error.errno not in EXHAUSTED_ERRNOS:
                    raise
                if self.gate is not None:
                    self.gate.ran_out()
                    self.gate.make_room()
                await anyio.sleep(EXHAUSTED_PAUSE_S)
                continue
            tasks.start_soon(handler, stream)
