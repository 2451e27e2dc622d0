"""The steps of one tune-in on its way out, in the order that has to hold however it is carried out. No I/O.

Whoever carries a tune-in out (curlewshift/front/server_pool.py on sockets, curlewshift/model_checker in a model) runs these steps
and does what each asks for. That the intent is on the disk before the first byte goes out is decided here alone, so that
what the walk tries in every order is the order that serves.
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
    """Yields `(WRITE, record)`, to be flushed and answered with whether it was kept, then `(SEND, None)`, once. If it
    ends before that it returns how the tune-in ended; no byte has gone out then. `intent` is None for what need not be
    known after a kill."""
    if intents is not None and intent is not None and not (yield WRITE, intents.began(intent)):
        # a paid set-up that could not be known of after a kill is not begun
        return Outcome.UNSENT
    if not session_core.stands(tune_in):
        # a list change or the time has overtaken it; nothing has gone out yet, so it can be taken back
        return Outcome.UNSENT
    yield SEND, None
    return None
