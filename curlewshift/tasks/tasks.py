"""Work that is done once for the whole fleet: each shard of a task by the front that holds its lease, as long as it does.

Which front tries for a shard is picked by rendezvous hashing (Thaler, Ravishankar 1998) of those that are in, so that no
front does all and only the shards of who comes or goes move. That pick is for speed alone: if two fronts pick differently
both ask, and the keepers let one have it. Each act is preceded by a look at the lease, and carries its number.
"""

from __future__ import annotations

from typing import Protocol

from curlewshift.leases.proposer import LeaseProposer
from curlewshift.sharing.counts import picked


class Task(Protocol):
    """`act` is called each round while the lease is held; what it does has to be idempotent or bear the number."""

    name: str
    shards: int

    def begin(self, shard: int, number: int) -> None: ...
    def act(self, shard: int, number: int) -> None: ...
    def stop(self, shard: int) -> None: ...


class Tasks:
    """`me` is this front's name. `members()` are the names of those that are in, without it."""

    def __init__(self, me: str, proposer: LeaseProposer, tasks: list[Task], members):
        self.me, self.proposer, self.members = me, proposer, members
        self.tasks = {task.name: task for task in tasks}
        # leases that an operator had given up here are left alone for a while: until when (ns of the asker's clock)
        self.left_alone: dict[str, int] = {}

    def time(self) -> None:
        """Each round."""
        names, now = [*self.members(), self.me], self.proposer.driver.now()
        self.left_alone = {lease: until for lease, until in self.left_alone.items() if until > now}
        for task in self.tasks.values():
            for shard in range(task.shards):
                lease = f"{task.name}/{shard}"
                if picked(lease, names) == self.me and lease not in self.left_alone:
                    self.proposer.want(lease)
                elif lease in self.proposer.tries:
                    self.proposer.leave(lease)
        self.proposer.time()
        for task in self.tasks.values():
            for shard in range(task.shards):
                number = self.proposer.may_act(f"{task.name}/{shard}")
                if number:
                    task.act(shard, number)

    def release(self, lease: str) -> None:
        """An operator's word: given back, and not asked for again for two terms, so that another can begin."""
        self.left_alone[lease] = self.proposer.driver.now() + 2 * self.proposer.terms.term
        self.proposer.leave(lease)

    def drain(self) -> None:
        """Everything is given back before this front goes: the others need not wait for the terms."""
        for lease in list(self.proposer.tries):
            self.proposer.leave(lease)

    def begins(self, lease: str, number: int) -> None:
        name, _, shard = lease.rpartition("/")
        self.tasks[name].begin(int(shard), number)

    def stops(self, lease: str) -> None:
        name, _, shard = lease.rpartition("/")
        self.tasks[name].stop(int(shard))


class Fences:
    """The highest number that each lease has come with: what comes with a lower one is of a tenure that is over."""

    def __init__(self):
        self.highest: dict[str, int] = {}
        self.refused = 0

    def passes(self, lease: str, number: int) -> bool:
        if number < self.highest.get(lease, 0):
            self.refused += 1
            return False
        self.highest[lease] = number
        return True
