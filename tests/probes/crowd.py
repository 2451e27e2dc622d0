"""Usual viewers beside hundreds of clients that do not complete what they send: `python -m tests.probes.crowd [KIND…]`.

Kinds: `slow` (a large set-up, some bytes every 50 ms), `half` (half of it, then nothing), `fields` (a head of very many short
fields, at full speed), `silent`, `unread` (tests at full speed, whose answers are not read). Each client connects again when its
connection is closed.
"""

import argparse
import errno
import multiprocessing
import selectors
import socket
import time
from functools import partial

import anyio

from tests.node_testbed import set_up
from tests.probes.node_process import UsualViewers, node_process

LARGE = set_up("cc" * 8, body=b"x" * 8000, more="X-Padding: " + "y" * 7000 + "\r\n")
HEAD = b"SETUP rtsp://media/00000000000000aa RTSP/1.0\r\n" + b"".join(b"f%d:\r\n" % number for number in range(3000))
TESTS = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n" * 2000
SLOW_PIECE_BYTES, SLOW_INTERVAL_S = 40, 0.05


class Client:
    """One client; `rest` is what it has yet to send."""

    def __init__(self, port, kind):
        self.port, self.kind = port, kind
        self.connect()

    def connect(self):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", self.port))
        self.rest = {"slow": LARGE, "half": LARGE[: len(LARGE) // 2], "fields": HEAD, "silent": b"", "unread": TESTS}[self.kind]

    def send(self):
        piece = self.rest[:SLOW_PIECE_BYTES] if self.kind == "slow" else self.rest
        try:
            if piece:
                self.rest = self.rest[self.socket.send(piece) :]
        except OSError:
            pass
        if self.kind == "unread" and not self.rest:
            self.rest = TESTS

    def is_closed(self):
        """Whether the connection was closed by the node. `unread` clients learn it from a failed write alone."""
        if self.kind == "unread":
            return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) not in (0, errno.EINPROGRESS)
        try:
            return not self.socket.recv(65536)
        except BlockingIOError:
            return False
        except OSError:
            return True


def run_clients(port, kind, count, seconds, closed):
    """Runs the clients; puts the number of connections that were closed on them in `closed`."""
    clients, ends_at, ended = [Client(port, kind) for _ in range(count)], time.monotonic() + seconds, 0
    while time.monotonic() < ends_at:
        with selectors.DefaultSelector() as selector:
            for client in clients:
                client.send()
                selector.register(client.socket, selectors.EVENT_READ, client)
            time.sleep(SLOW_INTERVAL_S)
            for key, _ in selector.select(0):
                if key.data.is_closed():
                    ended += 1
                    key.data.socket.close()
                    key.data.connect()
    closed.put(ended)


async def play(kind, count, seconds, descriptors):
    async with node_process(descriptors=descriptors) as (_, node):
        viewers, closed = UsualViewers(node.port), multiprocessing.Queue()
        await anyio.sleep(2)
        before = node.memory_mb
        clients = multiprocessing.Process(target=run_clients, args=(node.port, kind, count, seconds, closed), daemon=True)
        clients.start()
        await viewers.run(anyio.current_time() + seconds)
        await anyio.sleep(1)
        print(
            f"{kind}, {count} clients, {descriptors} descriptors: {viewers.figures()}; memory {before:.0f} MB, at most "
            f"{node.peak_mb:.0f}, {node.memory_mb:.0f} at the end; {node.peak_descriptors} descriptors; "
            f"{closed.get(timeout=5)} connections closed; {'alive' if node.alive else 'ended'}",
            flush=True,
        )


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("kinds", nargs="*", default=["slow", "half", "fields", "silent", "unread"])
    arguments.add_argument("--clients", type=int, default=600)
    arguments.add_argument("--seconds", type=float, default=15.0)
    arguments.add_argument("--descriptors", type=int, default=256)
    given = arguments.parse_args()
    for kind in given.kinds:
        anyio.run(partial(play, kind, given.clients, given.seconds, given.descriptors))


if __name__ == "__main__":
    main()
