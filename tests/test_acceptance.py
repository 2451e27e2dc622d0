"""Acceptance criteria of the front node that no other test covers, on real sockets and processes.

Idle clients that use up the descriptors while discovery is down: tests/test_crossings.py, DescriptorLimit. Attempts for clients
that have left: tests/test_attempts.py.
"""

import contextlib
import json
import os
import random
import subprocess
import sys
import time
import unittest
from pathlib import Path
from unittest import mock

import anyio

from curlewshift.fault_injection.processes import ROOT, free_ports
from tests.node_testbed import CLIP, RawViewer, Testbed
from tests.sockets import async_test

READY_DEADLINE_S = 10.0
PROBE = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n"


class RestartedNode:
    """Successive processes of one node, at one port."""

    def __init__(self, testbed, number):
        self.number, self.process = number, None
        [self.port] = free_ports(1, random.Random(os.getpid() * 10 + number))
        self.path = Path(testbed.path).with_name(f"n{number}.json")
        self.path.write_text(json.dumps({**testbed.config_document(), "name": f"n{number}", "listen": f"127.0.0.1:{self.port}"}))

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "curlewshift.node"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "NODE_CONFIG": str(self.path)},
        )

    def kill(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def ready(self):
        """Returns the seconds until a probe on a new connection succeeds; just over the deadline if none does."""
        started_at = time.monotonic()
        while (elapsed := time.monotonic() - started_at) <= READY_DEADLINE_S:
            with contextlib.suppress(OSError, TimeoutError):
                viewer = RawViewer(self.port)
                try:
                    viewer.send(PROBE)
                    message = await viewer.receive(1.0)
                    if message is not None and message.status == 200:
                        return time.monotonic() - started_at
                finally:
                    viewer.close()
            await anyio.sleep(0.02)
        return elapsed


class Restarts(unittest.TestCase):
    @async_test
    async def test_nine_of_ten_killed_processes_are_ready_in_time_with_or_without_discovery_and_then_serve(self):
        elapsed, answers = [], []
        async with Testbed(2, sockets=200).without_node() as testbed:

            async def restart_repeatedly(number):
                node = RestartedNode(testbed, number)
                try:
                    node.start()
                    await node.ready()
                    for turn in range(5):
                        if turn == 2 and number == 0:
                            # from here on discovery is down for all nodes
                            await testbed.discovery.listener.aclose()
                            for connection in list(testbed.discovery.connections):
                                await connection.aclose()
                        interrupted = RawViewer(node.port)
                        interrupted.send_set_up(f"{number * 10 + turn + 1:016x}", package=CLIP)
                        node.kill()
                        interrupted.close()
                        node.start()
                        elapsed.append(await node.ready())
                        viewer = RawViewer(node.port)
                        viewer.send_set_up(f"{number * 10 + turn + 100:016x}", package=CLIP)
                        answers.append((await viewer.receive(5)).status)
                        viewer.close()
                finally:
                    node.kill()

            async with anyio.create_task_group() as tasks:
                for number in range(2):
                    tasks.start_soon(restart_repeatedly, number)
        elapsed.sort()
        self.assertEqual(len(elapsed), 10)
        self.assertLessEqual(elapsed[8], READY_DEADLINE_S, elapsed)
        self.assertEqual(answers, [200] * 10)

    @async_test
    async def test_a_process_that_never_starts_is_not_reported_ready(self):
        async with Testbed(1).without_node() as testbed:
            with mock.patch(f"{__name__}.READY_DEADLINE_S", 0.2):
                self.assertGreater(await RestartedNode(testbed, 7).ready(), 0.2)


if __name__ == "__main__":
    unittest.main()
