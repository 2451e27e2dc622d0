"""Synchronous form of the client: each call runs an event loop of its own until it completes."""

from __future__ import annotations

import functools

import anyio

from curlewshift.client.caller import Caller, Session


class SyncSession:
    """See `Session`."""

    def __init__(self, session: Session):
        self.session = session

    @property
    def answer(self) -> str:
        return self.session.answer

    def trickle(self, fragment: str) -> None:
        anyio.run(self.session.trickle, fragment)

    def restart(self, fragment: str) -> str:
        return anyio.run(self.session.restart, fragment)

    def allow(self, rung: int) -> None:
        anyio.run(self.session.allow, rung)

    def close(self) -> None:
        anyio.run(self.session.close)

    def __enter__(self) -> SyncSession:
        return self

    def __exit__(self, *_) -> None:
        self.close()


class SyncCaller:
    """See `Caller`."""

    def __init__(self, *args, **options):
        self.caller = Caller(*args, **options)

    def play(self, package: str, title: str, offer: str, **options) -> SyncSession:
        return SyncSession(anyio.run(functools.partial(self.caller.play, package, title, offer, **options)))

    def publish(self, package: str, title: str, offer: str, **options) -> SyncSession:
        return SyncSession(anyio.run(functools.partial(self.caller.publish, package, title, offer, **options)))
