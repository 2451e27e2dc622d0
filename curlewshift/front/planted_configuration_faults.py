"""How fronts and control machines are spoilt in what they make of versions; see planted_faults.py."""

from __future__ import annotations

from curlewshift.control.machine import Machine
from curlewshift.emulator.version_histories import DigestUncheckedCopy, planted
from curlewshift.front.begun import begin
from curlewshift.front.configured import Configured
from curlewshift.front.front import Front
from curlewshift.front.in_service import Swap
from curlewshift.state.record_file import RecordFile


class HalfSwap(Swap):
    """Takes what it came to and no more: every second step is left out."""

    def carry_out(self):
        self.steps = self.steps[::2]
        super().carry_out()


class HalfConfigured(Configured):
    swap_class = HalfSwap


class HalfInForce(Front):
    configured_class = HalfConfigured


class BelievingRecord(RecordFile):
    def digest_matches(self, head, data):
        return True


class DigestUnchecked(Front):
    """Takes any content for that of the version that it comes with."""

    distribution_class = planted("digest-unchecked")


class OldOverNew(Front):
    distribution_class = planted("old-over-new")


class NoMajority(Machine):
    distribution_class = planted("no-majority")


# Of fronts, and of control machines.
FRONTS = {"half-in-force": HalfInForce, "digest-unchecked": DigestUnchecked, "old-over-new": OldOverNew}
MACHINES = {"no-majority": NoMajority}


def spoilt_begin(name: str, *args):
    """How a front that is spoilt so begins."""
    if name == "digest-unchecked":
        return begin(*args, record_class=BelievingRecord, copy_class=DigestUncheckedCopy)
    return begin(*args)
