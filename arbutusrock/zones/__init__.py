"""Failure domains: regions, data centres and racks."""

from arbutusrock.zones.domains import DomainLevel
from arbutusrock.zones.domains import FailureDomain
from arbutusrock.zones.domains import find_domains

__all__ = ['DomainLevel', 'FailureDomain', 'find_domains']
