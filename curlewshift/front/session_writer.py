"""Records the sessions that play, in a thread and in the order of the events; requests never wait for it.

Which records are written is decided in curlewshift/state/session_registry.py. If the disk fails or falls too far behind, an error
is logged and recording stops: the front continues, and sessions set up from then on cannot be recovered after a kill.
"""

from __future__ import annotations

from curlewshift.session_core.front_session import FrontSession
from curlewshift.state.background_writer import BackgroundWriter
from curlewshift.state.journal import Journal, WriteFailed
from curlewshift.state.session_registry import SessionRegistry, to_stored_session

# Records that may be queued while the disk stalls.
MAX_QUEUED_RECORDS = 100_000
# Records that arrive within this time are written together; a kill loses no more than these.
BATCH_WINDOW_S = 0.005


class SessionWriter:
    """Appends the registry's records of sessions to the journal; `stopped` once that has failed."""

    def __init__(self, registry: SessionRegistry, journal: Journal, log):
        self.registry, self.journal, self.log = registry, journal, log
        self.stopped = False
        self.writer = BackgroundWriter(self._write, BATCH_WINDOW_S)

    # ---- events

    def began(self, token: str, holder: str | None, front_session: FrontSession) -> None:
        session = front_session.session
        self._enqueue(
            self.registry.began(
                to_stored_session(front_session, token, holder, session.path, session.etag, session.ufrag, session.answer)
            )
        )

    def changed(self, token: str, **values: object) -> None:
        for field, value in values.items():
            self._enqueue(self.registry.changed(token, field, value))

    def ended(self, token: str) -> None:
        self._enqueue(self.registry.ended(token))

    def boot(self, server: str, boot: str) -> None:
        self._enqueue(self.registry.boot(server, boot))

    def close(self) -> None:
        """Returns when everything queued has been written to the disk."""
        self.writer.close()
        self.journal.close()

    # ---- internal

    def _enqueue(self, record: list | None) -> None:
        if record is None or self.stopped:
            return
        writer = self.writer
        with writer.wake:
            if len(writer.waiting) >= MAX_QUEUED_RECORDS:
                self._stop(f"the disk is too slow: {MAX_QUEUED_RECORDS} records are queued")
            elif self.registry.stale():
                # the snapshot contains the queued records as well
                writer.waiting.clear()
                writer.put((True, self.registry.snapshot()))
            else:
                writer.put((False, record))

    def _write(self, batch: list[tuple[bool, list]]) -> None:
        try:
            for is_snapshot, records in batch:
                if is_snapshot:
                    self.journal.rewrite(records)
                elif not self.stopped:
                    self.journal.add(records, False)
        except WriteFailed as error:
            self._stop(str(error))

    def _stop(self, why: str) -> None:
        if not self.stopped:
            self.stopped = True
            self.log.error("sessions-not-kept", cause=why)
