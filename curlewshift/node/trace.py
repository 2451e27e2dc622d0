"""Request traces: the steps of each request, kept in memory and logged only if the viewer may not have received an answer.

Off unless the environment variable CURLEWSHIFT_TRAIL is set: then the log has a line `trail` for each request whose connection
ended before the kernel had the last byte of its answer, and for each that was answered after its deadline. Called by
client_listener.py and node.py.
"""

from __future__ import annotations

import os
from collections import OrderedDict

from curlewshift.node.buffered_connection import PendingWrite

MS = 1_000_000
MAX_TRACES = 2000


class NullTracer:
    """The tracer when tracing is off: records nothing."""

    def start(self, name: str, connection: object) -> None:
        pass

    def note(self, name: str, step: str) -> None:
        pass

    def answer_queued(self, name: str, late: bool) -> PendingWrite | None:
        """Returns the `PendingWrite` to be queued with the answer, or None."""

    def connection_ended(self, connection: object) -> None:
        pass


class TracedAnswer(PendingWrite):
    """An answer in a connection's output queue; its trace is discarded once the kernel has the last byte."""

    __slots__ = ("name", "sending_started", "tracer")

    def __init__(self, tracer: Tracer, name: str):
        self.tracer, self.name, self.sending_started = tracer, name, False

    def on_written(self) -> None:
        self.tracer.traces.pop(self.name, None)


class Tracer(NullTracer):
    """Records the steps of the latest `MAX_TRACES` requests."""

    def __init__(self, now, log):
        self.now, self.log = now, log
        # by session id: the connection of the request, and its steps
        self.traces: OrderedDict[str, tuple[object, list[str]]] = OrderedDict()

    def start(self, name: str, connection: object) -> None:
        if len(self.traces) >= MAX_TRACES:
            self.traces.popitem(last=False)
        self.traces[name] = (connection, [])
        self.note(name, "taken")

    def note(self, name: str, step: str) -> None:
        if name in self.traces:
            self.traces[name][1].append(f"{self.now() // MS} {step}")

    def answer_queued(self, name: str, late: bool) -> PendingWrite | None:
        if name not in self.traces:
            return None
        self.note(name, "answer queued")
        if late:
            self._log(name, "answered after its deadline")
        return TracedAnswer(self, name)

    def connection_ended(self, connection: object) -> None:
        for name in [name for name, (traced_connection, _) in self.traces.items() if traced_connection is connection]:
            self._log(name, "the connection ended before the answer was sent")
            del self.traces[name]

    def _log(self, name: str, reason: str) -> None:
        self.log.warning("trail", session=name, cause=reason, steps=list(self.traces[name][1]))


def make_tracer(now, log) -> NullTracer:
    """Returns a recording tracer if CURLEWSHIFT_TRAIL is set, otherwise one that records nothing."""
    return Tracer(now, log) if os.environ.get("CURLEWSHIFT_TRAIL") else NullTracer()
