"""How fronts and control machines are spoilt in what they make of versions; see spoilt.py."""

from __future__ import annotations

from curlewshift.control.machine import Machine
from curlewshift.distribution.copy import Copy
from curlewshift.distribution.fetching import Fetch
from curlewshift.distribution.writer import Writer
from curlewshift.front.configured import Configured, Swap, begin
from curlewshift.front.front import Front
from curlewshift.peering.distributed import DistributionWire
from curlewshift.state.configured import Record


class HalfSwap(Swap):
    """Takes what it came to and no more: every second step is left out."""

    def carry_out(self):
        self.steps = self.steps[::2]
        super().carry_out()


class HalfConfigured(Configured):
    swap_class = HalfSwap


class HalfInForce(Front):
    configured_class = HalfConfigured


class BelievingRecord(Record):
    def holds(self, head, data):
        return True


class BelievingCopy(Copy):
    """Takes any content for that of the version that it comes with."""

    def _fits(self, version, content):
        return True


class BelievingFetch(Fetch):
    def _fits(self, version, content):
        return True


class BelievingWire(DistributionWire):
    copy_class, fetch_class = BelievingCopy, BelievingFetch


class DigestUnchecked(Front):
    distribution_class = BelievingWire


class LonelyWriter(Writer):
    """Takes its own store for a majority."""

    def _enough(self):
        return 1


class LonelyWire(DistributionWire):
    writer_class = LonelyWriter


class NoMajority(Machine):
    distribution_class = LonelyWire


# Of fronts, and of control machines.
FRONTS = {"half-in-force": HalfInForce, "digest-unchecked": DigestUnchecked}
MACHINES = {"no-majority": NoMajority}


def spoilt_begin(name: str, *args):
    """How a front that is spoilt so begins."""
    if name == "digest-unchecked":
        return begin(*args, record_class=BelievingRecord, copy_class=BelievingCopy)
    return begin(*args)
