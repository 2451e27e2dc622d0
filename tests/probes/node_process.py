"""A front node as a process between the stand-ins of tests/node_testbed.py, with its memory and descriptors watched."""

import contextlib
import os
import subprocess
import sys
from pathlib import Path

import anyio

from curlewshift.fault_injection.processes import listens
from tests.node_testbed import LESSON, Testbed, Viewer

SAMPLE_INTERVAL_S = 0.05


class NodeProcess:
    """A running node: `memory_mb` and `peak_mb` are its resident memory, `peak_descriptors` the most descriptors seen."""

    def __init__(self, process, port):
        self.process, self.port = process, port
        self.peak_descriptors = 0

    def _status(self, field):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field):
                return int(line.split()[1]) / 1024
        return 0.0

    @property
    def memory_mb(self):
        return self._status("VmRSS:")

    @property
    def peak_mb(self):
        return self._status("VmHWM:")

    @property
    def alive(self):
        return self.process.returncode is None

    async def watch(self):
        while self.alive:
            with contextlib.suppress(OSError):
                self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(f"/proc/{self.process.pid}/fd")))
            await anyio.sleep(SAMPLE_INTERVAL_S)


@contextlib.asynccontextmanager
async def node_process(media_servers=3, descriptors=256, log=subprocess.DEVNULL, **changed):
    """Runs a node with this limit of descriptors. Yields the test bed and the process."""
    async with Testbed(media_servers=media_servers, sockets=descriptors, **changed).without_node() as testbed:
        process = await anyio.open_process(
            ["/bin/sh", "-c", f"ulimit -n {descriptors}; exec {sys.executable} -m curlewshift.node"],
            stdout=subprocess.DEVNULL,
            stderr=log,
            env={**os.environ, "NODE_CONFIG": str(testbed.path)},
        )
        try:
            assert await listens(testbed.port, 20)
            node = NodeProcess(process, testbed.port)
            testbed.tasks.start_soon(node.watch)
            yield testbed, node
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


class UsualViewers:
    """Viewers that each connect, request a session, and end it: `latencies` and `statuses` of those that were answered."""

    def __init__(self, port, interval_s=0.25, timeout_ms=2000):
        self.port, self.interval_s, self.timeout_ms = port, interval_s, timeout_ms
        self.sent, self.statuses, self.latencies, self.unanswered = 0, [], [], 0

    async def run(self, until):
        """Sends a request at each interval until this time of anyio's clock."""
        async with anyio.create_task_group() as tasks:
            due = anyio.current_time()
            while due < until:
                tasks.start_soon(self._request, self.sent)
                self.sent += 1
                due += self.interval_s
                await anyio.sleep_until(due)

    async def _request(self, number):
        id = f"aaaa{number:012x}"
        sent_at = anyio.current_time()
        try:
            viewer = await Viewer().open(self.port)
            async with viewer.stream:
                message = await self._answer(viewer, id)
                if message is None:
                    self.unanswered += 1
                    return
                self.latencies.append(anyio.current_time() - sent_at)
                self.statuses.append(message.status)
                if message.status == 200:
                    await viewer.tear_down(id)
                    await viewer.receive(3)
        except (OSError, TimeoutError, anyio.BrokenResourceError):
            self.unanswered += 1

    async def _answer(self, viewer, id):
        """The answer, or None at the end of the connection. Releases of other clients' sessions may come before it."""
        await viewer.send_set_up(id, package=LESSON, timeout_ms=self.timeout_ms)
        with anyio.fail_after(self.timeout_ms / 1000 + 3):
            while (message := await viewer.receive(None)) is not None and not message.status:
                pass
        return message

    def figures(self):
        served = [latency for latency, status in zip(self.latencies, self.statuses) if status == 200]
        worst = max(self.latencies, default=0.0)
        late = sum(latency > self.timeout_ms / 1000 + 0.55 for latency in self.latencies)
        return (
            f"{len(served)} of {self.sent} served, {len(self.statuses) - len(served)} refused or failed, {late} late, "
            f"{self.unanswered} not answered, longest {worst:.2f} s"
        )
