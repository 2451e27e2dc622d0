"""Writes down what plays, from a thread, in the order in which it came; requests never wait for it.

What it decides to write stands in curlewshift/state/session_registry.py. A disk that takes no more ends it with a word in the
log: the front goes on, and what it sets up from then on is not known after a kill.
"""

from __future__ import annotations

from curlewshift.session_core.front_session import FrontSession
from curlewshift.state.background_writer import BackgroundWriter
from curlewshift.state.journal import Journal, WriteFailed
from curlewshift.state.session_registry import SessionRegistry, to_stored_session

# Records that may wait for a disk that stalls.
MOST_WAITING = 100_000
# What comes within this (s) is written together; a kill loses no more than that.
TOGETHER = 0.005


class SessionWriter:
    def __init__(self, book: SessionRegistry, journal: Journal, log):
        self.book, self.journal, self.log = book, journal, log
        self.over = False
        self.behind = BackgroundWriter(self._write, TOGETHER)

    # ---- what happens

    def began(self, token: str, holder: str | None, front_session: FrontSession) -> None:
        session = front_session.session
        self._note(
            self.book.began(
                to_stored_session(front_session, token, holder, session.path, session.etag, session.ufrag, session.answer)
            )
        )

    def changed(self, token: str, **values: object) -> None:
        for what, value in values.items():
            self._note(self.book.changed(token, what, value))

    def ended(self, token: str) -> None:
        self._note(self.book.ended(token))

    def boot(self, server: str, boot: str) -> None:
        self._note(self.book.boot(server, boot))

    def close(self) -> None:
        """What was noted is with the disk when this returns."""
        self.behind.close()
        self.journal.close()

    # ---- inside

    def _note(self, record: list | None) -> None:
        if record is None or self.over:
            return
        behind = self.behind
        with behind.wake:
            if len(behind.waiting) >= MOST_WAITING:
                self._end("the disk is slower than what is to be kept")
            elif self.book.stale():
                # the snapshot has all that waits as well
                behind.waiting.clear()
                behind.put((True, self.book.snapshot()))
            else:
                behind.put((False, record))

    def _write(self, work: list[tuple[bool, list]]) -> None:
        try:
            for whole, records in work:
                if whole:
                    self.journal.rewrite(records)
                elif not self.over:
                    self.journal.add(records, False)
        except WriteFailed as wrong:
            self._end(str(wrong))

    def _end(self, why: str) -> None:
        if not self.over:
            self.over = True
            self.log.error("sessions-not-kept", cause=why)
