"""Usual viewers beside one client that sends at full speed on one connection: `python -m tests.probes.flood [KIND…]`.

Kinds: `test`, `teardown` (of unknown sessions), `invalid` (a class that does not exist), `set-up` (valid, each with a new id),
`withdrawn` (the same, each given up at once), `withdrawn-together` (300 of them, given up after the last), `no-id`, `announce`.
"""

import argparse
import multiprocessing
import socket
import time
from functools import partial

import anyio

from tests.node_testbed import set_up, torn_down
from tests.probes.node_process import UsualViewers, node_process

OPTIONS = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"
ANNOUNCE = b"ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\nSession: %016x\r\nContent-Length: 0\r\n\r\n"
BATCH, LARGE_BATCH = 50, 300


def request(kind, number):
    id = f"bbbb{number:012x}"
    return {
        "test": lambda: OPTIONS,
        "teardown": lambda: torn_down(id),
        "invalid": lambda: set_up(id, package="none"),
        "set-up": lambda: set_up(id),
        "withdrawn": lambda: set_up(id) + torn_down(id),
        "no-id": lambda: set_up(id).replace(b"Session: " + id.encode() + b"\r\n", b""),
        "announce": lambda: ANNOUNCE % number,
    }[kind]()


def batch(kind, first):
    """The next requests of the client, and their number."""
    if kind == "withdrawn-together":
        numbers = range(first, first + LARGE_BATCH)
        given_up = b"".join(torn_down(f"bbbb{number:012x}") for number in numbers)
        return b"".join(request("set-up", number) for number in numbers) + given_up, LARGE_BATCH
    return b"".join(request(kind, number) for number in range(first, first + BATCH)), BATCH


def send_at_full_speed(port, kind, seconds, sent):
    """The client: it reads what is sent to it, and connects again when its connection is closed."""
    ends_at, number, answered = time.monotonic() + seconds, 0, 0
    while time.monotonic() < ends_at:
        try:
            client = socket.create_connection(("127.0.0.1", port), 2)
        except OSError:
            time.sleep(0.05)
            continue
        client.setblocking(False)
        out = b""
        try:
            while time.monotonic() < ends_at:
                if not out:
                    out, count = batch(kind, number)
                    number += count
                try:
                    out = out[client.send(out) :]
                except BlockingIOError:
                    time.sleep(0.0005)
                try:
                    data = client.recv(1 << 20)
                    if not data:
                        break
                    answered += data.count(b"RTSP/1.0 ")
                except BlockingIOError:
                    pass
        except OSError:
            pass
        client.close()
        out = b""
    sent.put((number, answered))


async def play(kind, seconds, descriptors):
    async with node_process(descriptors=descriptors) as (testbed, node):
        viewers, sent = UsualViewers(node.port), multiprocessing.Queue()
        await anyio.sleep(2)
        before = node.memory_mb
        client = multiprocessing.Process(target=send_at_full_speed, args=(node.port, kind, seconds, sent), daemon=True)
        if kind != "none":
            client.start()
        await viewers.run(anyio.current_time() + seconds)
        await anyio.sleep(1)
        number, answered = sent.get(timeout=5) if kind != "none" else (0, 0)
        forwarded = sum(len(media.received_of(1)) for media in testbed.media_servers)
        print(
            f"{kind}: {viewers.figures()}; memory {before:.0f} MB, at most {node.peak_mb:.0f}; "
            f"{node.peak_descriptors} descriptors; "
            f"the client sent {number} and was answered {answered} times; {forwarded} set-ups at servers; "
            f"{'alive' if node.alive else 'ended'}",
            flush=True,
        )


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument(
        "kinds", nargs="*", default=["none", "test", "teardown", "invalid", "no-id", "set-up", "withdrawn", "withdrawn-together"]
    )
    arguments.add_argument("--seconds", type=float, default=24.0)
    arguments.add_argument("--descriptors", type=int, default=256)
    given = arguments.parse_args()
    for kind in given.kinds:
        anyio.run(partial(play, kind, given.seconds, given.descriptors))


if __name__ == "__main__":
    main()
