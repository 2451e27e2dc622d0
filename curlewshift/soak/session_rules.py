"""The judge's rules on sessions: clients are notified of their ends, and no session outlives its client. Called by judge.py.

By the specification, a node releases an ended session towards its client within 1 s of the release by its media server, and
within 8 s of the session's end if no release could be sent; a session that stays open at its media server counts as lost. Cases
in which the network accepted bytes and lost them on connections that appear open are excused, and counted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from curlewshift.soak.records import Ending, Request, ServerAttempt

if TYPE_CHECKING:
    from curlewshift.soak.judge import Judge

STATUS_OK = 200
# A client is notified within the first of the server's release, and within the second of the end of the session itself.
REPORTED_AFTER_RELEASE_S, REPORTED_AFTER_END_S = 1.0, 8.0
# A release counts as lost by the network once it was sent on at least this many connections.
MIN_LOST_CONNECTIONS = 3
NEVER = 1e18

SESSION_ENDS_REPORTED, NO_LEFTOVER_SESSIONS = "ends told", "nothing left standing"


class SessionRules:
    """The rules on the sessions of one trial; `judge` collects the counts and violations."""

    def __init__(self, judge: Judge):
        self.judge, self.records = judge, judge.records
        self.end_reported_at: dict[tuple[str, str], float] = {}
        for release in self.records.releases:
            if release.to_client:
                self.end_reported_at.setdefault((release.node, release.id), release.at)
        self.ended_by_client_at: dict[tuple[str, str], float] = {}
        for release in self.records.client_releases:
            self.ended_by_client_at.setdefault((release.node, release.id), release.at)

    def check(self) -> None:
        self._check_releases_reported()
        self._check_ends_reported()
        self._check_leftover_sessions()

    # ---- clients are notified of the end of their sessions

    def _check_releases_reported(self) -> None:
        """Session ends that the node received from a media server."""
        for release in self.records.releases:
            request = self.judge.first_request(release.id)
            if release.to_client or release.after_close or request is None or not self._was_served(request):
                continue
            if release.server in self._served_by(request):
                due = release.at + REPORTED_AFTER_RELEASE_S + self.judge.slack_s
                self._check_reported_by(
                    request, release.node, release.at, due, "its client was not notified within 1 s of the server's release"
                )

    def _check_ends_reported(self) -> None:
        """Sessions that ended at a media server without a release by the node, whether or not the server's release arrived."""
        for attempt in self.records.server_attempts:
            request = self.judge.first_request(attempt.id)
            if not attempt.ended_by_itself or request is None or request.ambiguous or not self._was_served(request):
                continue
            if request.answers[0].body == attempt.body:
                ended = attempt.session_ended_at
                due = ended + REPORTED_AFTER_END_S + self.judge.slack_s
                self._check_reported_by(
                    request,
                    attempt.node,
                    ended,
                    due,
                    f"its client was not notified within 8 s of the end of its session at {attempt.server}",
                )

    def _check_reported_by(self, request: Request, node: str, since: float, due: float, says: str) -> None:
        life = self.judge.life_at(node, since)
        if life is not self.judge.life_at(request.node, request.taken_at):
            return
        unjudgeable = life is None or (life.ended_at is not None and life.ended_at < due) or due > self.judge.planned_end()
        if unjudgeable or self.ended_by_client_at.get((node, request.id), due) < due or request.left_at is not None:
            return
        self.judge.count_case(SESSION_ENDS_REPORTED)
        if self.end_reported_at.get((node, request.id), NEVER) > due and self._has_connections(node, since, due):
            self.judge.add_violation(SESSION_ENDS_REPORTED, since, says, request.id)

    @staticmethod
    def _was_served(request: Request) -> bool:
        return bool(request.answers) and request.answers[0].status == STATUS_OK

    def _served_by(self, request: Request) -> list[str]:
        """The servers whose answer was passed on to the client."""
        body = request.answers[0].body
        return [attempt.server for attempt in self.judge.attempts_by_id[request.id] if attempt.answer_body == body]

    def _has_connections(self, node: str, since: float, until: float) -> bool:
        """Whether the node answered a request that arrived between 1 s before `since` and `until`: some connection was open."""
        return any(
            request.node == node and since - 1 < request.taken_at < until and request.answers for request in self.records.requests
        )

    # ---- no session stays at a media server without a client

    def _check_leftover_sessions(self) -> None:
        for attempt in self.records.server_attempts:
            request = self.judge.first_request(attempt.id)
            if attempt.ending is not Ending.SET_UP or request is None or request.ambiguous:
                continue
            since = self._unused_since(attempt, request)
            if since is None:
                continue
            due = max(since, attempt.ended_at or since) + REPORTED_AFTER_END_S + self.judge.slack_s
            life = self.judge.life_at(attempt.node, request.taken_at)
            if due > self.judge.planned_end() or life is None or (life.ended_at is not None and life.ended_at < due):
                continue
            self.judge.count_case(NO_LEFTOVER_SESSIONS)
            if attempt.session_ended_at is not None and attempt.session_ended_at <= due:
                continue
            if self._releases_lost(attempt, due):
                self.judge.add_excuse("lost on the way")
            elif self._closed_at_answer(attempt, request):
                self.judge.add_excuse("closed without a word as its answer came")
            else:
                self.judge.add_violation(
                    NO_LEFTOVER_SESSIONS, due, f"session still open at {attempt.server} 8 s after its end", attempt.id
                )

    def _unused_since(self, attempt: ServerAttempt, request: Request) -> float | None:
        """When the client ended the session or left; for an attempt that served no client, when the node released it or received
        its end."""
        if self._was_served(request) and request.answers[0].body == attempt.body:
            return self.ended_by_client_at.get((attempt.node, attempt.id), request.left_at)
        ends = [
            at
            for sent in self.judge.attempts_by_id[attempt.id]
            if (sent.node, sent.server, sent.connection) == (attempt.node, attempt.server, attempt.connection)
            for at, what in sent.heard
            if what != "answer"
        ]
        return min(ends, default=request.left_at)

    def _closed_at_answer(self, attempt: ServerAttempt, request: Request) -> bool:
        """Whether the client closed its connection just before it was answered, and did not end the session.

        By the specification a session is not bound to a connection, and the node cannot be required to have noticed a close that
        falls within the slack of 50 ms before its answer.
        """
        if request.left_how != "closed by the client" or (attempt.node, attempt.id) in self.ended_by_client_at:
            return False
        served = self._was_served(request) and request.answers[0].body == attempt.body
        return served and request.answers[0].at - request.left_at < self.judge.slack_s

    def _releases_lost(self, attempt: ServerAttempt, due: float) -> bool:
        """Whether the node sent a release in time on `MIN_LOST_CONNECTIONS` connections or more: a server that receives a release
        ends the session, so all of them were lost."""
        connections = {
            release.connection
            for release in self.records.node_releases
            if (release.id, release.server, release.node) == (attempt.id, attempt.server, attempt.node) and release.at <= due
        }
        return len(connections) >= MIN_LOST_CONNECTIONS
