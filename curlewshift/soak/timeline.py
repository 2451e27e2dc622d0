"""A timeline of one break as on-call reads it: the client's row, each attempt, signals, the list, and the node's log by id."""

from __future__ import annotations

import json
from pathlib import Path

from curlewshift.soak.judge import Break
from curlewshift.soak.records import Records, Request

# What happened to nodes and list is shown this long before and after a break (s).
AROUND_S = 6.0
MOST_LOG_LINES = 40


def timeline(broken: Break, records: Records, folder: Path) -> str:
    """`folder` holds the nodes' logs."""
    start = records.began_at

    def second(at: float | None) -> str:
        return "-" if at is None else f"{at - start:.3f}"

    lines = [f"== {broken.at_s:.3f} {broken.rule}: {broken.says}"]
    nodes = set()
    for request in records.requests:
        if broken.id and request.id == broken.id:
            nodes.add(request.node)
            lines.append(_client_row(request, second))
    for attempt in records.attempts:
        if broken.id and attempt.id == broken.id:
            heard = ", ".join(f"{second(at)} {what}" for at, what in attempt.heard) or "nothing"
            lines.append(
                f"  {attempt.node} sent to {attempt.server} on connection {attempt.connection}, rung {attempt.rung}, "
                f"first byte {second(attempt.first_byte_at)}; then {heard}"
            )
    for attempt in records.server_attempts:
        if broken.id and attempt.id == broken.id:
            lines.append(
                f"  server {attempt.server} from {attempt.node}, connection {attempt.connection}: taken "
                f"{second(attempt.taken_at)}, ended {second(attempt.ended_at)}: {attempt.ending.value}; session ended "
                f"{second(attempt.session_ended_at)}"
            )
    for release in records.releases:
        if broken.id and release.id == broken.id:
            lines.append(
                f"  {second(release.at)} {release.node}: release {'to the client' if release.to_client else 'from its server'}"
            )
    for one in records.node_releases:
        if broken.id and one.id == broken.id:
            where = f"to {one.server} on connection {one.connection}, closed {second(one.closed_at)}"
            lines.append(f"  {second(one.at)} {one.node}: release {where}")
    for one in records.client_releases:
        if broken.id and one.id == broken.id:
            lines.append(f"  {second(one.at)} {one.node}: release from the client")
    lines += _around(broken, records, nodes, second)
    return "\n".join(lines + _log(broken, nodes, folder)) + "\n"


def _client_row(request: Request, second) -> str:
    answers = ", ".join(f"{second(one.at)} {one.status}" for one in request.answers) or "none"
    left = f"; left {second(request.left_at)}: {request.left_how}" if request.left_at is not None else ""
    return (
        f"  client: id {request.id} class {request.service_class} to {request.node} on connection {request.connection}, taken "
        f"{second(request.taken_at)}, would wait {request.wait_s} s; answers: {answers}{left}"
    )


def _around(broken: Break, records: Records, nodes: set[str], second) -> list[str]:
    since, until = records.began_at + broken.at_s - AROUND_S, records.began_at + broken.at_s + AROUND_S
    rows = [(one.at, f"{one.node} {one.what}") for one in records.signals if not nodes or one.node in nodes]
    rows += [
        (one.ended_at, f"{one.node} ended with status {one.exit_status}")
        for one in records.lives
        if one.ended_at is not None and (not nodes or one.node in nodes)
    ]
    rows += [(one.at, f"list {one.number}: {one.server} {one.state}") for one in records.listed]
    rows += [(one.at, f"{one.kind} on {one.target} until {second(one.until)}") for one in records.faults]
    return [f"  {second(at)} {says}" for at, says in sorted(rows) if since <= at <= until]


def _log(broken: Break, nodes: set[str], folder: Path) -> list[str]:
    """The log lines of the request."""
    found = []
    for node in sorted(nodes):
        path = folder / f"{node}.log"
        for line in path.read_text(errors="replace").splitlines() if path.exists() else ():
            if broken.id in line and line.startswith("{"):
                told = json.loads(line)
                told.pop("level", None)
                found.append(
                    f"  log {told.pop('timestamp', '')[11:23]} {told.pop('event', '')} "
                    + " ".join(f"{name}={value}" for name, value in told.items())
                )
    return found[:MOST_LOG_LINES]
