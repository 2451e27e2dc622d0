"""The node serves where other programs, fork, sendfile, splice and Unix sockets are refused, imports included."""

import os
import signal
import subprocess
import sys
import unittest

import anyio

from tests.node_place import Place
from tests.sockets import story

A = "00000000000000a1"
# Refuses the calls in its own process before anything of the node is imported, says on standard output which were made, and
# then becomes the node; with an argument, that call is made as well once a viewing is asked for. The event loop's own pair of
# sockets, by which it wakes itself, is not refused: nobody comes to it.
REFUSING = r"""
import errno, os, runpy, socket, sys

def refused(name):
    def call(*args, **more):
        print("refused", name, flush=True)
        raise OSError(errno.ENOSYS, name)
    return call

for name in ("fork", "forkpty", "posix_spawn", "posix_spawnp", "system", "popen", "execv", "execve", "sendfile", "splice"):
    if hasattr(os, name):
        setattr(os, name, refused(name))
import _posixsubprocess
_posixsubprocess.fork_exec = refused("fork_exec")
plain = socket.socket.__init__

def opened(self, family=-1, type=-1, proto=-1, fileno=None):
    if fileno is None and family not in (-1, socket.AF_INET):
        refused(f"socket of {family!r}")()
    plain(self, family, type, proto, fileno)

socket.socket.__init__ = opened
if len(sys.argv) > 1:
    from curlewshift.node.client_listener import ClientListener
    planted, taken = sys.argv[1], ClientListener._set_up

    def used(self, *args):
        if planted == "socket":
            socket.socket(socket.AF_UNIX)
        elif planted == "subprocess":
            import subprocess
            subprocess.Popen(["true"])
        else:
            getattr(os, planted)(0, 0, 0, 0)
        taken(self, *args)

    ClientListener._set_up = used
sys.argv = ["curlewshift.node"]
runpy.run_module("curlewshift.node", run_name="__main__")
"""


class RefusedCalls(unittest.TestCase):
    async def served(self, *planted):
        """The answer to a viewing at a node that is refused these calls, and which of them it made."""
        async with Place().around() as place:
            process = await anyio.open_process(
                [sys.executable, "-c", REFUSING, *planted],
                env={**os.environ, "NODE_CONFIG": str(place.path)},
                stderr=subprocess.PIPE,
            )
            try:
                with anyio.fail_after(20):
                    async for line in process.stderr:
                        if b'"event":"open"' in line:
                            break
                    viewer = await place.viewer()
                    answer = await viewer.answer(A)
                    await viewer.tear_down(A)
                    process.send_signal(signal.SIGTERM)
                    made = b"".join([piece async for piece in process.stdout])
                    return answer.status, made.decode().split("\n")[:-1], await process.wait()
            finally:
                if process.returncode is None:
                    process.kill()
                with anyio.CancelScope(shield=True):
                    await process.aclose()

    @story
    async def test_none_is_made_from_import_to_end(self):
        self.assertEqual(await self.served(), (200, [], 0))

    @story
    async def test_each_would_be_seen(self):
        for planted in ("sendfile", "splice", "subprocess", "socket"):
            status, made, _ = await self.served(planted)
            self.assertEqual((status, len(made)), (500, 1), planted)
