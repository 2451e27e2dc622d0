"""The node works where fork, subprocesses, sendfile, splice and Unix sockets are forbidden, during imports too."""

import os
import signal
import subprocess
import sys
import unittest

import anyio

from tests.node_testbed import Testbed
from tests.sockets import async_test

A = "00000000000000a1"
# Refuses the calls in its own process before anything of the node is imported, prints each attempted call on standard output, and
# then runs the node. With an argument, that call is also attempted when a session is requested. The event loop's own socket pair,
# which wakes the loop, is not refused: nobody can connect to it.
PROGRAM = r"""
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
original_init = socket.socket.__init__

def init(self, family=-1, type=-1, proto=-1, fileno=None):
    if fileno is None and family not in (-1, socket.AF_INET):
        refused(f"socket of {family!r}")()
    original_init(self, family, type, proto, fileno)

socket.socket.__init__ = init
if len(sys.argv) > 1:
    from curlewshift.node.client_listener import ClientListener
    planted_call, set_up = sys.argv[1], ClientListener._set_up

    def set_up_with_call(self, *args):
        if planted_call == "socket":
            socket.socket(socket.AF_UNIX)
        elif planted_call == "subprocess":
            import subprocess
            subprocess.Popen(["true"])
        else:
            getattr(os, planted_call)(0, 0, 0, 0)
        set_up(self, *args)

    ClientListener._set_up = set_up_with_call
sys.argv = ["curlewshift.node"]
runpy.run_module("curlewshift.node", run_name="__main__")
"""


class RefusedCalls(unittest.TestCase):
    async def answer_and_calls(self, *planted_call):
        """Requests a session from a node to which the calls are refused; returns the status, the attempted calls and the exit
        status."""
        async with Testbed().without_node() as testbed:
            process = await anyio.open_process(
                [sys.executable, "-c", PROGRAM, *planted_call],
                env={**os.environ, "NODE_CONFIG": str(testbed.path)},
                stderr=subprocess.PIPE,
            )
            try:
                with anyio.fail_after(20):
                    async for line in process.stderr:
                        if b'"event":"open"' in line:
                            break
                    viewer = await testbed.viewer()
                    answer = await viewer.request(A)
                    await viewer.tear_down(A)
                    process.send_signal(signal.SIGTERM)
                    calls = b"".join([piece async for piece in process.stdout])
                    return answer.status, calls.decode().split("\n")[:-1], await process.wait()
            finally:
                if process.returncode is None:
                    process.kill()
                with anyio.CancelScope(shield=True):
                    await process.aclose()

    @async_test
    async def test_no_refused_call_is_made_from_import_to_exit(self):
        self.assertEqual(await self.answer_and_calls(), (200, [], 0))

    @async_test
    async def test_each_planted_call_is_detected(self):
        for planted_call in ("sendfile", "splice", "subprocess", "socket"):
            status, calls, _ = await self.answer_and_calls(planted_call)
            self.assertEqual((status, len(calls)), (500, 1), planted_call)
