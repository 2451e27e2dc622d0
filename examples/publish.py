"""Publishes a title, adds a candidate and restarts ICE: python examples/publish.py http://127.0.0.1:8081 camera t01"""

import secrets
import sys

import anyio

from curlewshift.client import Caller
from curlewshift.signalling.fragments import fragment_text
from curlewshift.signalling.sdp import PUBLISHES, offer_text


async def main(front, package, title):
    """Publishes one title through a front."""
    ufrag, pwd = secrets.token_hex(4), secrets.token_hex(12)
    offer = offer_text(ufrag, pwd, "sha-256 " + ":".join(["A5"] * 32), PUBLISHES)
    async with await Caller([front]).publish(package, title, offer) as session:
        await session.trickle(fragment_text(ufrag, pwd, ["1 1 udp 2113929471 192.0.2.1 50000 typ host"]))
        before = session.etag
        await session.restart(fragment_text(secrets.token_hex(4), secrets.token_hex(12)))
        print(f"published; its ICE session was {before} and is {session.etag}")


anyio.run(main, *sys.argv[1:4])
