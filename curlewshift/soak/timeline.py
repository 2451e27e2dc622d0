"""Formats the timeline of one violation: the client's request, attempts, releases, signals, list changes and node log lines."""

from __future__ import annotations

import json
from pathlib import Path

from curlewshift.soak.judge import Violation
from curlewshift.soak.records import Records, Request

# Events of nodes and the server list are shown from this long before to this long after a violation.
CONTEXT_S = 6.0
MAX_LOG_LINES = 40


def timeline(violation: Violation, records: Records, folder: Path) -> str:
    """The timeline as text; `folder` holds the nodes' logs."""
    start = records.began_at

    def format_time(at: float | None) -> str:
        return "-" if at is None else f"{at - start:.3f}"

    lines = [f"== {violation.at_s:.3f} {violation.rule}: {violation.says}"]
    nodes = set()
    for request in records.requests:
        if violation.id and request.id == violation.id:
            nodes.add(request.node)
            lines.append(_client_row(request, format_time))
    for attempt in records.attempts:
        if violation.id and attempt.id == violation.id:
            followed_by = ", ".join(f"{format_time(at)} {what}" for at, what in attempt.heard) or "nothing"
            lines.append(
                f"  {attempt.node} sent to {attempt.server} on connection {attempt.connection}, rung {attempt.rung}, "
                f"first byte {format_time(attempt.first_byte_at)}; then {followed_by}"
            )
    for attempt in records.server_attempts:
        if violation.id and attempt.id == violation.id:
            lines.append(
                f"  server {attempt.server} from {attempt.node}, connection {attempt.connection}: received "
                f"{format_time(attempt.taken_at)}, ended {format_time(attempt.ended_at)}: {attempt.ending.value}; session ended "
                f"{format_time(attempt.session_ended_at)}"
            )
    for release in records.releases:
        if violation.id and release.id == violation.id:
            lines.append(
                f"  {format_time(release.at)} {release.node}: "
                f"release {'to the client' if release.to_client else 'from its server'}"
            )
    for report in records.cut_reports:
        if violation.id and report.id == violation.id:
            lines.append(f"  {format_time(report.at)} {report.node}: report of a session cut at {report.server}")
    for release in records.node_releases:
        if violation.id and release.id == violation.id:
            where = f"to {release.server} on connection {release.connection}, closed {format_time(release.closed_at)}"
            lines.append(f"  {format_time(release.at)} {release.node}: release {where}")
    for release in records.client_releases:
        if violation.id and release.id == violation.id:
            lines.append(f"  {format_time(release.at)} {release.node}: release from the client")
    lines += _events_around(violation, records, nodes, format_time)
    return "\n".join(lines + _log_lines(violation, nodes, folder)) + "\n"


def _client_row(request: Request, format_time) -> str:
    answers = ", ".join(f"{format_time(answer.at)} {answer.status}" for answer in request.answers) or "none"
    left = f"; left {format_time(request.left_at)}: {request.left_how}" if request.left_at is not None else ""
    return (
        f"  client: id {request.id} class {request.service_class} to {request.node} on connection {request.connection}, received "
        f"{format_time(request.taken_at)}, deadline {request.wait_s} s; answers: {answers}{left}"
    )


def _events_around(violation: Violation, records: Records, nodes: set[str], format_time) -> list[str]:
    since, until = records.began_at + violation.at_s - CONTEXT_S, records.began_at + violation.at_s + CONTEXT_S
    rows = [(signal.at, f"{signal.node} {signal.what}") for signal in records.signals if not nodes or signal.node in nodes]
    rows += [
        (life.ended_at, f"{life.node} ended with status {life.exit_status}")
        for life in records.lives
        if life.ended_at is not None and (not nodes or life.node in nodes)
    ]
    rows += [(change.at, f"list {change.number}: {change.server} {change.state}") for change in records.listed]
    rows += [(fault.at, f"{fault.kind} on {fault.target} until {format_time(fault.until)}") for fault in records.faults]
    return [f"  {format_time(at)} {text}" for at, text in sorted(rows) if since <= at <= until]


def _log_lines(violation: Violation, nodes: set[str], folder: Path) -> list[str]:
    """The nodes' log lines that mention the request's id."""
    lines = []
    for node in sorted(nodes):
        path = folder / f"{node}.log"
        for line in path.read_text(errors="replace").splitlines() if path.exists() else ():
            if violation.id in line and line.startswith("{"):
                log_record = json.loads(line)
                log_record.pop("level", None)
                lines.append(
                    f"  log {log_record.pop('timestamp', '')[11:23]} {log_record.pop('event', '')} "
                    + " ".join(f"{name}={value}" for name, value in log_record.items())
                )
    return lines[:MAX_LOG_LINES]
