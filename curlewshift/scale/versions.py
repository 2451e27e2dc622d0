"""Configuration changes in a scale run: made at a control machine, and timed until every running node shows them.

Times count from the request for the change (or from the end of a fault) and come from the versions piggybacked on probes through
the relays: a node shows a version up to one probe period after applying it. The nodes' own reports are recorded for comparison
and do not enter the verdict.
"""

from __future__ import annotations

import re
import time

import anyio

from curlewshift.scale.fleet import Fleet
from curlewshift.scale.judge import Judge

# Time-outs (s): a change is retried for up to the first; one put may take the second.
CHANGE_TIMEOUT_S, PUT_TIMEOUT_S = 30.0, 8.0
# Time-out until all nodes have a version (s); the required bound is 18 s.
EVERYWHERE_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1


def number_in(text: str) -> tuple[int, int]:
    """(fence, count) of a version's text, FENCE.COUNT-first12hex."""
    fence, _, rest = text.partition(".")
    return int(fence), int(rest.partition("-")[0])


class Versions:
    def __init__(self, fleet: Fleet, judge: Judge):
        self.fleet, self.judge, self.count = fleet, judge, 0
        self.made: list[dict] = []
        self.site = (fleet.out / "site.xml").read_text()

    async def put(self, within: float = PUT_TIMEOUT_S) -> dict:
        """One attempt to publish the next content: the site file with a changed setting that fronts apply while running."""
        self.count += 1
        path = self.fleet.out / "next.xml"
        path.write_text(re.sub(r'most-waiting="\d+"', f'most-waiting="{1000 + self.count}"', self.site))
        return await self.fleet.hollow[0].ask({"do": "put", "path": str(path), "within": within}, within + 30)

    async def change(self, when: str, names: set[str], since: float | None = None) -> dict:
        """Makes a change, retrying if refused, and waits until it is in force at all of `names`. `since`: start of its time,
        if earlier than the call."""
        since = time.monotonic() if since is None else since
        refused, answer = [], {"ok": False}
        while not answer["ok"] and time.monotonic() - since < CHANGE_TIMEOUT_S:
            answer = await self.put()
            if not answer["ok"]:
                refused.append(answer["wrong"])
        row = {"when": when, "ok": answer["ok"], "refused": refused[:3], "version": answer.get("version", "")}
        if answer["ok"]:
            row["made_s"] = round(time.monotonic() - since, 2)
            row |= await self.wait_everywhere(number_in(answer["version"]), names, since)
        self.made.append({**row, "since": since})
        return row

    async def wait_everywhere(self, number: tuple[int, int], names: set[str], since: float) -> dict:
        while True:
            # real nodes count from the first version that they show
            there = [
                name for name in names & self.judge.running if name not in self.fleet.real or name in self.judge.versions.highest
            ]
            times, missing = self.judge.versions.reached(number, there)
            if not missing or time.monotonic() - since > EVERYWHERE_TIMEOUT_S:
                break
            await anyio.sleep(POLL_INTERVAL_S)
        waits = sorted(max(0.0, at - since) for at in times)
        return {
            "nodes": len(there),
            "missing": len(missing),
            "missing_examples": missing[:3],
            "everywhere_s": round(waits[-1], 2) if waits and not missing else None,
            "median_s": round(waits[len(waits) // 2], 2) if waits else None,
            "p99_s": round(waits[min(len(waits) - 1, int(0.99 * len(waits)))], 2) if waits else None,
        }

    async def several(self, when: str, count: int, names: set[str]) -> list[dict]:
        return [await self.change(when, names) for _ in range(count)]

    async def add_own_reports(self) -> None:
        """Adds to each change when the last hollow node applied it, by the nodes' own reports."""
        took: dict[str, list] = {}
        for answer in await self.fleet.request_all(list(self.fleet.hollow.values()), "took"):
            took |= answer
        for row in self.made:
            if row["ok"]:
                at = [
                    next((at for text, at in reports if number_in(text) >= number_in(row["version"])), None)
                    for reports in took.values()
                ]
                waits = [one - row["since"] for one in at if one is not None]
                row["own_last_s"] = round(max(waits), 2) if waits else None
            del row["since"]

    def verdict(self) -> dict:
        seen, waits = self.judge.versions, [row["everywhere_s"] for row in self.made if row["ok"]]
        return {
            "changes": len(self.made),
            "not_made": sum(not row["ok"] for row in self.made),
            "in_force_worst_s": max((wait for wait in waits if wait is not None), default=None),
            "not_everywhere": sum(wait is None for wait in waits),
            "regressions": len(seen.regressions),
            "regressions_examples": seen.regressions[:3],
            "forks": len(seen.forks),
            "forks_examples": seen.forks,
        }
