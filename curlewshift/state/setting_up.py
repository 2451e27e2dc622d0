"""The steps of sending one tune-in (set-up attempt at a media server), in their required order. No I/O.

The caller (curlewshift/front/server_pool.py on sockets, curlewshift/model_checker in a model) runs this generator and carries out
each step. That the intent is on disk before the first byte is sent is decided only here, so that the model checker checks the
same order of steps that the front uses.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from curlewshift.model import Outcome
from curlewshift.session_core.front_session import TuneIn
from curlewshift.state.intents import Intent, Intents

WRITE, SEND = "write", "send"


def setting_up(
    session_core, tune_in: TuneIn, intents: Intents | None, intent: Intent | None
) -> Generator[tuple[str, list[Any] | None], bool, Outcome | None]:
    """Yields `(WRITE, record)`, which the caller flushes and answers with whether that succeeded, then `(SEND, None)` once. If
    it ends without `SEND` it returns the outcome of the tune-in, of which no byte has been sent. `intent` is None for a
    tune-in that need not be known after a crash."""
    if intents is not None and intent is not None and not (yield WRITE, intents.began(intent)):
        # a paid set-up is not begun if it would be unknown after a crash
        return Outcome.UNSENT
    if not session_core.stands(tune_in):
        # a change of the server list or a time-out has ended it meanwhile; nothing has been sent yet, so it can be withdrawn
        return Outcome.UNSENT
    yield SEND, None
    return None
