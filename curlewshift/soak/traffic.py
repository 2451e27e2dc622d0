"""Turns the bytes that pass the proxies, on the node's side of them, into records."""

from __future__ import annotations

import re
from collections.abc import Callable

from curlewshift.soak import codec
from curlewshift.soak.proxy import Link
from curlewshift.soak.records import Answer, Attempt, ClientRelease, NodeRelease, Records, Release, Request

LEG_PARAMETER = re.compile(r"(\w+):(\d+)")
MIN_FINAL_STATUS = 200
# A request that reuses an id within this time may cross the answer to the earlier request.
ID_REUSE_WITHIN_S = 5.0


class ClientTrafficRecorder:
    """Records the connections between clients and one node."""

    def __init__(self, node: str, records: Records, cells: int):
        self.node, self.records, self.cells = node, records, cells
        self.client_readers: dict[int, codec.RtspReader] = {}
        self.from_node: dict[int, codec.RtspReader] = {}
        # requests by open connection, and the newest request of this node by id
        self.on_connection: dict[int, list[Request]] = {}
        self.by_id: dict[str, Request] = {}
        self.ended_connections: set[int] = set()
        self.closed_by_node_at: dict[int, float] = {}
        self.connected_at: dict[int, float] = {}

    def connected(self, link: Link, at_s: float) -> None:
        self.connected_at[link.number] = at_s

    def observe(self, link: Link, from_node: bool, data: bytes, at_s: float) -> None:
        if not data:
            self._connection_ended(link.number, from_node, at_s)
            return
        readers = self.from_node if from_node else self.client_readers
        reader = readers.setdefault(link.number, codec.RtspReader())
        for message in reader.feed(data):
            if from_node:
                self._from_node(message, at_s)
            else:
                self._from_client(link.number, message, at_s)

    def _from_client(self, number: int, message: codec.Rtsp, at_s: float) -> None:
        if message.method == "SETUP":
            self._record_set_up(number, message, at_s)
        elif message.method == "TEARDOWN":
            request = self.by_id.get(message.id)
            if request is not None and not request.answers and request.left_at is None:
                request.left_at, request.left_how = at_s, "cancelled"
            self.records.client_releases.append(ClientRelease(message.id, self.node, at_s))

    def _record_set_up(self, number: int, message: codec.Rtsp, at_s: float) -> None:
        leg_parameters = dict(LEG_PARAMETER.findall(message.fields.get("x-legs", "")))
        home, copies = int(leg_parameters.get("home", 0)), int(leg_parameters.get("copies", 1))
        wait_ms = message.fields.get("x-timer-ms", "")
        request = Request(
            message.id,
            self.node,
            number,
            message.fields.get("x-cos", ""),
            message.address.rpartition("/")[2],
            [cell % self.cells for cell in range(home, home + copies)],
            int(leg_parameters.get("top", 0)),
            int(wait_ms) / 1000 if wait_ms.isdigit() else 0.0,
            message.body,
            at_s,
        )
        request.connected_at = self.connected_at.get(number, at_s)
        if number in self.closed_by_node_at:
            request.after_close_s = at_s - self.closed_by_node_at[number]
        earlier = self.by_id.get(message.id)
        if earlier is not None and earlier.taken_at > at_s - ID_REUSE_WITHIN_S:
            request.ambiguous = earlier.ambiguous = True
        self.records.requests.append(request)
        self.on_connection.setdefault(number, []).append(request)
        self.by_id[message.id] = request

    def _from_node(self, message: codec.Rtsp, at_s: float) -> None:
        if message.method == "TEARDOWN":
            self.records.releases.append(Release(message.id, self.node, at_s, to_client=True))
        elif message.status >= MIN_FINAL_STATUS and message.fields.get("cseq") == "1" and message.id in self.by_id:
            pause = message.fields.get("x-pause", "0")
            self.by_id[message.id].answers.append(Answer(at_s, message.status, int(pause), message.body))

    def _connection_ended(self, number: int, by_node: bool, at_s: float) -> None:
        if by_node:
            self.closed_by_node_at.setdefault(number, at_s)
        if number in self.ended_connections:
            return
        self.ended_connections.add(number)
        for request in self.on_connection.pop(number, []):
            if not request.answers and request.left_at is None:
                request.left_at, request.left_how = at_s, "closed by the node" if by_node else "closed by the client"


class ServerTrafficRecorder:
    """Records the connections between one node and the media server at one address; `server()` gives its current name."""

    def __init__(self, node: str, server: Callable[[], str], records: Records):
        self.node, self.server, self.records = node, server, records
        self.from_node: dict[int, codec.BinaryReader] = {}
        self.from_server: dict[int, codec.BinaryReader] = {}
        self.server_names: dict[int, str] = {}
        self.attempts: dict[int, dict[str, Attempt]] = {}
        self.rungs: list[tuple[float, str, int]] = []
        self.closed_by_node: set[int] = set()
        self.releases: dict[int, list[NodeRelease]] = {}
        self.links: dict[int, Link] = {}

    def observe(self, link: Link, from_node: bool, data: bytes, at_s: float) -> None:
        number = link.number
        name = self.server_names.setdefault(number, self.server())
        if not data:
            if from_node:
                self.closed_by_node.add(number)
            for release in self.releases.get(number, ()):
                release.closed_at = release.closed_at or at_s
            for attempt in self.attempts.pop(number, {}).values():
                attempt.heard.append((at_s, "closed by the node" if from_node else "closed by the server"))
            return
        self.links[number] = link
        readers = self.from_node if from_node else self.from_server
        reader = readers.setdefault(number, codec.BinaryReader())
        for first_at_s, message in reader.feed(data, at_s):
            if from_node:
                self._from_node(number, name, message, first_at_s, at_s)
            else:
                self._from_server(number, name, message, at_s)

    def finish(self) -> None:
        """Completes the records once the trial has ended."""
        for number, releases in self.releases.items():
            for release in releases:
                release.lost = self.links[number].outbound_lost

    def _from_node(self, number: int, name: str, message: codec.Binary, first_at_s: float, at_s: float) -> None:
        if message.kind == codec.SET_UP:
            rung = int(message.fields.get(codec.LEVEL, b"0"))
            attempt = Attempt(message.id, self.node, name, number, rung, message.fields.get(codec.DESCRIPTION, b""), first_at_s)
            self.records.attempts.append(attempt)
            self.attempts.setdefault(number, {})[message.id] = attempt
        elif message.kind == codec.RELEASE:
            release = NodeRelease(message.id, self.node, name, number, at_s)
            self.records.node_releases.append(release)
            self.releases.setdefault(number, []).append(release)
            attempt = self.attempts.get(number, {}).get(message.id)
            if attempt is not None:
                attempt.heard.append((at_s, "release"))
        elif message.kind == codec.RUNG_CHANGE:
            self.rungs.append((at_s, message.id, int(message.fields.get(codec.LEVEL, b"0"))))

    def _from_server(self, number: int, name: str, message: codec.Binary, at_s: float) -> None:
        attempt = self.attempts.get(number, {}).get(message.id)
        if message.kind == codec.ANSWER and attempt is not None:
            attempt.heard.append((at_s, "answer"))
            if attempt.answer_body is None:
                attempt.answer_body = message.fields.get(codec.DESCRIPTION, b"")
        elif message.kind == codec.RELEASE and message.cause == codec.RESET:
            # these servers send it only on a session that a release has cut, never on a set-up
            self.records.cut_reports.append(
                Release(message.id, self.node, at_s, to_client=False, cause=message.cause, server=name)
            )
        elif message.kind == codec.RELEASE:
            answered = attempt is not None and attempt.answer_body is not None
            if attempt is not None and not answered:
                attempt.never_ran = message.cause in codec.NOT_RUN_CAUSES
                attempt.heard.append((at_s, f"refused, cause {message.cause}"))
            else:
                self.records.releases.append(
                    Release(
                        message.id,
                        self.node,
                        at_s,
                        to_client=False,
                        cause=message.cause,
                        server=name,
                        after_close=number in self.closed_by_node,
                    )
                )
        elif message.kind == codec.RELEASE_CONFIRMED and attempt is not None:
            attempt.heard.append((at_s, "release heard"))
