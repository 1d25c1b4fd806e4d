"""Regions, data centres and racks: what fails together."""

from arbutusrock.zones.domains import FailureDomain
from arbutusrock.zones.domains import find_domains
from arbutusrock.zones.domains import Level

__all__ = ['FailureDomain', 'Level', 'find_domains']
