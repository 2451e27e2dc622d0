"""Work that is done once for the whole fleet: each shard of a task by the front that holds its lease, while it holds it.

Which front applies for a shard is decided by rendezvous hashing (Thaler, Ravishankar 1998) among the present members, so that the
load is spread and only the shards of members that come or go move. The choice only avoids contention: if two fronts choose
differently both apply, and the acceptors grant the lease to one. The lease is checked before each act, and the act carries its
fencing token (`number`).
"""

from __future__ import annotations

from typing import Protocol

from curlewshift.leases.proposer import LeaseProposer
from curlewshift.sharing.counts import pick_by_rendezvous


class Task(Protocol):
    """`act` is called each round while the lease is held; what it does has to be idempotent or carry the fencing token."""

    name: str
    shards: int

    def begin(self, shard: int, number: int) -> None: ...
    def act(self, shard: int, number: int) -> None: ...
    def stop(self, shard: int) -> None: ...


class Tasks:
    """`local_name` is this front's name. `members()` are the names of the other present fronts."""

    def __init__(self, local_name: str, proposer: LeaseProposer, tasks: list[Task], members):
        self.local_name, self.proposer, self.members = local_name, proposer, members
        self.tasks = {task.name: task for task in tasks}
        # leases that an operator had released here are not requested again until then (ns of the proposer's clock)
        self.released_until: dict[str, int] = {}

    def time(self) -> None:
        """Called each round."""
        names, now = [*self.members(), self.local_name], self.proposer.driver.now()
        self.released_until = {lease: until for lease, until in self.released_until.items() if until > now}
        for task in self.tasks.values():
            for shard in range(task.shards):
                lease = f"{task.name}/{shard}"
                if pick_by_rendezvous(lease, names) == self.local_name and lease not in self.released_until:
                    self.proposer.want(lease)
                elif lease in self.proposer.views:
                    self.proposer.leave(lease)
        self.proposer.time()
        for task in self.tasks.values():
            for shard in range(task.shards):
                number = self.proposer.may_act(f"{task.name}/{shard}")
                if number:
                    task.act(shard, number)

    def release(self, lease: str) -> None:
        """Releases the lease at an operator's command, and does not request it again for two terms, so that another front can
        begin."""
        self.released_until[lease] = self.proposer.driver.now() + 2 * self.proposer.terms.term
        self.proposer.leave(lease)

    def drain(self) -> None:
        """Releases all leases before this front stops: the others need not wait for the terms."""
        for lease in list(self.proposer.views):
            self.proposer.leave(lease)

    def begins(self, lease: str, number: int) -> None:
        name, _, shard = lease.rpartition("/")
        self.tasks[name].begin(int(shard), number)

    def stops(self, lease: str) -> None:
        name, _, shard = lease.rpartition("/")
        self.tasks[name].stop(int(shard))


class Fences:
    """The highest fencing token seen for each lease; a message with a lower one is of an earlier tenure."""

    def __init__(self):
        self.highest: dict[str, int] = {}
        self.refused = 0

    def passes(self, lease: str, number: int) -> bool:
        if number < self.highest.get(lease, 0):
            self.refused += 1
            return False
        self.highest[lease] = number
        return True
