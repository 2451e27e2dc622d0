"""The locations of the members of a site, and the terms by which its settings are distributed."""

from __future__ import annotations

from curlewshift.distribution.terms import DistributionTerms
from curlewshift.site.site import Site


def locations_of(site: Site) -> dict[str, tuple[str, str]]:
    """Region and zone of each front and control machine."""
    machines = site.control.machines if site.control is not None else []
    return {member.name: (member.region, member.zone) for member in (*site.front_addresses, *machines)}


def distribution_of(site: Site) -> DistributionTerms:
    """The terms for distributing versions of the settings; the site must have <control> and <configuration>."""
    return DistributionTerms(
        stores=tuple(machine.name for machine in site.control.machines), give_bytes=site.configuration.give_bytes
    )
