"""Clients that close with much unread, and their ids come again: `python -m tests.probes.leaving [KIND…]`.

Kinds: `close` (an orderly close right behind the last byte), `reset`, `again` (a close, and the same ids on a new connection at
once), `again-reset`, `again-running` (a few, closed while they run at servers, and again at once on one that stays). Counts
set-ups that begin at media servers over .15 s after their client has left, and ids that have two set-ups at once.
"""

import argparse
import socket
import struct
import time
from collections import Counter
from functools import partial

import anyio

from curlewshift.node import isup
from tests.node_testbed import CLIP, LESSON, set_up
from tests.probes.node_process import UsualViewers, node_process

SET_UPS, ROUNDS, ANSWER_TIME_S, LIMIT_S = 400, 12, 0.03, 0.15
# of `again-running`
FEW_SET_UPS, LONG_ANSWER_TIME_S, RUNNING_AFTER_S, STAYS_S = 20, 0.2, 0.06, 1.0
LINGER_ZERO = struct.pack("ii", 1, 0)


class Servers:
    """Times of what begins and ends at all media servers, by id."""

    def __init__(self, media_servers, answer_time_s):
        self.answer_time_s = answer_time_s
        self.left_at, self.running, self.late, self.twice, self.begun = {}, Counter(), Counter(), Counter(), 0
        for media in media_servers:
            media.handler = partial(self.handle, media)

    async def handle(self, media, connection, kind, id, parameters):
        if kind == isup.SET_UP:
            self.begun += 1
            self.running[id] += 1
            left_at = self.left_at.get(id)
            if left_at is not None and anyio.current_time() > left_at + LIMIT_S:
                self.late[id] += 1
            if self.running[id] > 1:
                self.twice[id] += 1
            # answered later, so that connections go on being read
            media.task_group.start_soon(self.answer, media, connection, kind, id, parameters)
            return
        if kind == isup.RELEASE:
            self.running[id] = 0
        await media.accept(connection, kind, id, parameters)

    async def answer(self, media, connection, kind, id, parameters):
        await anyio.sleep(self.answer_time_s)
        if self.running[id]:
            try:
                await media.accept(connection, kind, id, parameters)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass


async def send_and_leave(port, data, reset=False, stays_s=0.0):
    """Sends all from a thread and closes behind the last byte, or some time later."""

    def run():
        client = socket.create_connection(("127.0.0.1", port), 5)
        client.sendall(data)
        time.sleep(stays_s)
        if reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        client.close()

    await anyio.to_thread.run_sync(run)


async def play(kind, descriptors):
    async with node_process(descriptors=descriptors) as (testbed, node):
        running = kind == "again-running"
        servers = Servers(testbed.media_servers, LONG_ANSWER_TIME_S if running else ANSWER_TIME_S)
        viewers, count = UsualViewers(node.port), FEW_SET_UPS if running else SET_UPS
        await anyio.sleep(2)
        before = node.memory_mb
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(viewers.run, anyio.current_time() + ROUNDS)
            for play_round in range(ROUNDS):
                ids = [f"dd{play_round:04x}{number:010x}" for number in range(count)]
                data = b"".join(set_up(id, package=CLIP if number % 2 else LESSON) for number, id in enumerate(ids))
                await send_and_leave(node.port, data, kind.endswith("reset"), RUNNING_AFTER_S if running else 0.0)
                left_at = anyio.current_time()
                servers.left_at.update((bytes.fromhex(id), left_at) for id in ids)
                if kind.startswith("again"):
                    for id in ids:
                        servers.left_at.pop(bytes.fromhex(id))
                    await send_and_leave(node.port, data, stays_s=STAYS_S if running else 0.0)
                    left_at = anyio.current_time()
                    servers.left_at.update((bytes.fromhex(id), left_at) for id in ids)
                await anyio.sleep(1)
        await anyio.sleep(1)
        print(
            f"{kind}: {ROUNDS} times {count} set-ups: {servers.begun} begun at servers, {sum(servers.late.values())} over "
            f"{LIMIT_S} s after their client left, {sum(servers.twice.values())} beside another one of their id; usual viewers: "
            f"{viewers.figures()}; memory {before:.0f} MB, at most {node.peak_mb:.0f}; {'alive' if node.alive else 'ended'}",
            flush=True,
        )


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("kinds", nargs="*", default=["close", "reset", "again", "again-reset", "again-running"])
    arguments.add_argument("--descriptors", type=int, default=256)
    given = arguments.parse_args()
    for kind in given.kinds:
        anyio.run(partial(play, kind, given.descriptors))


if __name__ == "__main__":
    main()
