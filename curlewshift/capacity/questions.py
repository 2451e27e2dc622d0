"""The terms of the requirements as interpreted here, and what changes under the other interpretation."""

from __future__ import annotations

from curlewshift.capacity.at_control import leases_a_shard
from curlewshift.capacity.at_node import cores_by_delivery_kind, processes
from curlewshift.capacity.figures import NOT_MEASURED
from curlewshift.capacity.measured import Measurements
from curlewshift.capacity.size import Size


def questions(size: Size, measured: Measurements) -> list[tuple[str, str, str, str]]:
    """Returns (term, interpretation, alternative, consequence of the alternative)."""
    by_kind = dict(cores_by_delivery_kind(size, measured))
    dear, cheap = processes(size, measured), by_kind["notices"]
    between = (
        f"{dear.text()} if all are set-ups with their ends, half of that if each end counts for itself; "
        f"{cheap.text()} if all are notices"
        if dear and cheap
        else "the processor rows below, by kind"
    )
    shards = leases_a_shard(size, measured)
    majority = size.control_machines // 2 + 1
    return [
        (
            "connection",
            "a viewer's connection at a node, a viewing on it for as long as it is open",
            "most connections rest, with nothing played",
            "memory and idle time by connection alone; fewer viewings a node",
        ),
        (
            "topic, shard, listener",
            "a title; the titles of one hash range; a viewing that plays",
            "a shard is a unit that one node owns",
            "each needs an owner at each moment: as many leases as shards, "
            f"{shards.text() if shards else NOT_MEASURED} a node for their words",
        ),
        (
            "delivery",
            "a message that a node passes to a viewer or on its behalf: answer, notice, change of rung, release",
            "the parts of each kind are not said",
            between,
        ),
        (
            "p99 within the bound",
            "from a message read to its answer written, without the media server's own time",
            "with the server's set-up and the way",
            "what is left for the node is the bound less a server's p99",
        ),
        (
            "p99 and the largest topic",
            "over a day's deliveries: "
            f"{size.largest_topic_listeners:,} are {size.largest_topic_listeners / size.deliveries / 86_400:.1e} "
            f"of them, fewer than one in a hundred",
            "of each telling alone",
            "the row of the largest topic below: notices in slices do not do, workers do",
        ),
        (
            f"{size.control_bytes / 1000:g} kB a second",
            "of 1,000 bytes, sent, of a node in all its processes, in any 15 s",
            "sent and received together",
            "half as much of each: the rows of messages twice as far over",
        ),
        (
            f"{size.control_core:.1%} of a core, {size.control_memory:g} MB",
            "of a node's control in all its processes; not what serves viewers",
            "of each process",
            "as many times as there are workers",
        ),
        (
            "in force everywhere",
            "at all nodes that are up and reach a majority's side; who was cut off, within as long of meeting",
            "cut-off nodes too",
            "nothing can: a node that hears nobody knows of no change",
        ),
        (
            f"{size.control_machines} machines set aside",
            f"each keeps versions and votes: {majority} make a majority, one may be lost",
            "three vote, one a region, and the fourth is a spare",
            "any one of three may be lost as now, and any region with it; "
            "with four in three regions one region has two, and with it gone no change is made",
        ),
    ]
