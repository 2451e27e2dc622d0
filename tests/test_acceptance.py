"""What the users accept the front node by, on real sockets and processes: those points that no other story shows.

Idle clients that fill the descriptors while discovery is down: tests/test_crossings.py, NoDescriptors. Attempts for who has left:
tests/test_attempts.py.
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
from tests.node_place import CLIP, Place, Plain
from tests.sockets import story

READY_WITHIN = 10.0
TEST = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n"


class Life:
    """A node's processes, one after the other, at one port."""

    def __init__(self, place, number):
        self.number, self.process = number, None
        [self.port] = free_ports(1, random.Random(os.getpid() * 10 + number))
        self.path = Path(place.path).with_name(f"n{number}.json")
        self.path.write_text(json.dumps({**place.told(), "name": f"n{number}", "listen": f"127.0.0.1:{self.port}"}))

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
        """Seconds until a test on a connection of its own is passed; a little over the bound if it never is."""
        began = time.monotonic()
        while (took := time.monotonic() - began) <= READY_WITHIN:
            with contextlib.suppress(OSError, TimeoutError):
                viewer = Plain(self.port)
                try:
                    viewer.say(TEST)
                    heard = await viewer.hear(1.0)
                    if heard is not None and heard.status == 200:
                        return time.monotonic() - began
                finally:
                    viewer.close()
            await anyio.sleep(0.02)
        return took


class Restarts(unittest.TestCase):
    @story
    async def test_nine_in_ten_processes_that_were_killed_are_ready_in_time_with_the_bulletin_there_or_not_and_then_serve(self):
        took, answers = [], []
        async with Place(2, sockets=200).around() as place:

            async def restarted(number):
                life = Life(place, number)
                try:
                    life.start()
                    await life.ready()
                    for turn in range(5):
                        if turn == 2 and number == 0:
                            # from here on there is no bulletin for any of them
                            await place.bulletin.listener.aclose()
                            for connection in list(place.bulletin.connections):
                                await connection.aclose()
                        held = Plain(life.port)
                        held.ask(f"{number * 10 + turn + 1:016x}", package=CLIP)
                        life.kill()
                        held.close()
                        life.start()
                        took.append(await life.ready())
                        viewer = Plain(life.port)
                        viewer.ask(f"{number * 10 + turn + 100:016x}", package=CLIP)
                        answers.append((await viewer.hear(5)).status)
                        viewer.close()
                finally:
                    life.kill()

            async with anyio.create_task_group() as tasks:
                for number in range(2):
                    tasks.start_soon(restarted, number)
        took.sort()
        self.assertEqual(len(took), 10)
        self.assertLessEqual(took[8], READY_WITHIN, took)
        self.assertEqual(answers, [200] * 10)

    @story
    async def test_one_that_never_comes_up_is_not_called_ready(self):
        async with Place(1).around() as place:
            with mock.patch(f"{__name__}.READY_WITHIN", 0.2):
                self.assertGreater(await Life(place, 7).ready(), 0.2)


if __name__ == "__main__":
    unittest.main()
