"""Where the members of a site stand, and the terms by which its versions go round."""

from __future__ import annotations

from curlewshift.distribution.terms import DistributionTerms
from curlewshift.site.site import Site


def locations_of(site: Site) -> dict[str, tuple[str, str]]:
    """Region and zone of each front and control machine."""
    machines = site.control.machines if site.control is not None else []
    return {one.name: (one.region, one.zone) for one in (*site.front_addresses, *machines)}


def distribution_of(site: Site) -> DistributionTerms:
    """The terms of distribution at this site."""
    return DistributionTerms(
        stores=tuple(machine.name for machine in site.control.machines), give_bytes=site.configuration.give_bytes
    )
