"""Changes of the configuration in a scale run: made at a control machine, and timed until every node that runs shows them.

Times are from the moment the change was asked for (or from the end of a fault), by what rode on probes through the relays: a node
is seen up to a probe's period after it took a version. What the nodes say themselves goes beside it and proves nothing.
"""

from __future__ import annotations

import re
import time

import anyio

from curlewshift.scale.fleet import Fleet
from curlewshift.scale.judge import Judge

# A change is asked for again until one is made, so long (s); a put itself may take so long.
MADE_WITHIN, PUT_WITHIN = 30.0, 8.0
# Until all have it (s); the bound is 18 s.
EVERYWHERE_WITHIN = 60.0
LOOK = 0.1


def number_in(text: str) -> tuple[int, int]:
    """(fence, count) of a version's text, FENCE.COUNT-first12hex."""
    fence, _, rest = text.partition(".")
    return int(fence), int(rest.partition("-")[0])


class Versions:
    def __init__(self, fleet: Fleet, judge: Judge):
        self.fleet, self.judge, self.count = fleet, judge, 0
        self.made: list[dict] = []
        self.site = (fleet.out / "site.xml").read_text()

    async def put(self, within: float = PUT_WITHIN) -> dict:
        """One try at the next content: the site's file with another figure that a front takes in service."""
        self.count += 1
        path = self.fleet.out / "next.xml"
        path.write_text(re.sub(r'most-waiting="\d+"', f'most-waiting="{1000 + self.count}"', self.site))
        return await self.fleet.hollow[0].ask({"do": "put", "path": str(path), "within": within}, within + 30)

    async def change(self, when: str, names: set[str], since: float | None = None) -> dict:
        """A change made, if need be by several tries, and in force at all the names. `since`: what its time counts from, if
        that was earlier."""
        since = time.monotonic() if since is None else since
        refused, told = [], {"ok": False}
        while not told["ok"] and time.monotonic() - since < MADE_WITHIN:
            told = await self.put()
            if not told["ok"]:
                refused.append(told["wrong"])
        row = {"when": when, "ok": told["ok"], "refused": refused[:3], "version": told.get("version", "")}
        if told["ok"]:
            row["made_s"] = round(time.monotonic() - since, 2)
            row |= await self.everywhere(number_in(told["version"]), names, since)
        self.made.append({**row, "since": since})
        return row

    async def everywhere(self, number: tuple[int, int], names: set[str], since: float) -> dict:
        while True:
            # real ones count once they show versions at all
            there = [
                name for name in names & self.judge.running if name not in self.fleet.real or name in self.judge.versions.highest
            ]
            times, missing = self.judge.versions.reached(number, there)
            if not missing or time.monotonic() - since > EVERYWHERE_WITHIN:
                break
            await anyio.sleep(LOOK)
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

    async def own_words(self) -> None:
        """Beside each change: when the last hollow node says that it took it."""
        took: dict[str, list] = {}
        for answer in await self.fleet.request_all(list(self.fleet.hollow.values()), "took"):
            took |= answer
        for row in self.made:
            if row["ok"]:
                at = [
                    next((at for text, at in mine if number_in(text) >= number_in(row["version"])), None)
                    for mine in took.values()
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
