"""Planted faults in how fronts and control machines handle versions of the settings; see planted_faults.py."""

from __future__ import annotations

from curlewshift.control.machine import Machine
from curlewshift.emulator.version_histories import DigestUncheckedCopy, planted
from curlewshift.front.begun import begin
from curlewshift.front.configuration_changes import ChangeSet
from curlewshift.front.configuration_host import ConfigurationHost
from curlewshift.front.front import Front
from curlewshift.state.record_file import RecordFile


class HalfChangeSet(ChangeSet):
    """Applies only every second step."""

    def apply(self):
        self.steps = self.steps[::2]
        super().apply()


class HalfConfigurationHost(ConfigurationHost):
    """Applies versions with `HalfChangeSet`."""

    change_set_class = HalfChangeSet


class HalfInForce(Front):
    """Puts half of a version in force."""

    configuration_host_class = HalfConfigurationHost


class RecordWithoutDigestCheck(RecordFile):
    """Accepts a stored record whatever its digest."""

    def digest_matches(self, head, data):
        return True


class DigestUnchecked(Front):
    """Accepts any content for the version that it comes with, without checking the digest."""

    distribution_class = planted("digest-unchecked")


class OldOverNew(Front):
    """Lets an older version replace a newer one."""

    distribution_class = planted("old-over-new")


class NoMajority(Machine):
    """A control machine that makes versions without a majority."""

    distribution_class = planted("no-majority")


# Faults by name: of fronts, and of control machines.
FRONTS = {"half-in-force": HalfInForce, "digest-unchecked": DigestUnchecked, "old-over-new": OldOverNew}
MACHINES = {"no-majority": NoMajority}


def spoilt_begin(name: str, *args):
    """The settings that a front with the planted fault of this name starts with."""
    if name == "digest-unchecked":
        return begin(*args, record_class=RecordWithoutDigestCheck, copy_class=DigestUncheckedCopy)
    return begin(*args)
