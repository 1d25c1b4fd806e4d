"""Failure domains: groups of VMs that can fail together."""

from dataclasses import dataclass
import enum

__all__ = ['DomainLevel', 'FailureDomain', 'find_domains']


class DomainLevel(enum.StrEnum):
    """Level of a failure domain, named as the fields of a VM."""

    RACK = 'rack'
    DATA_CENTRE = 'data_centre'
    REGION = 'region'


@dataclass(slots=True, frozen=True, kw_only=True)
class FailureDomain:
    """VMs of one rack, data centre or region, which can fail together.

    :param vms: names of the VMs, sorted.
    """

    level: DomainLevel
    name: str
    vms: tuple


def find_domains(vms, level):
    """Group VMs by the failure domain to which they belong.

    :param vms: iterable of :class:`arbutusrock.machines.VM`.
    :param level: :class:`DomainLevel`.
    :returns: list of :class:`FailureDomain`, sorted by name.
    """
    groups = {}
    for vm in vms:
        groups.setdefault(getattr(vm, level.value), []).append(vm.vm)
    return [
        FailureDomain(level=level, name=name, vms=tuple(sorted(groups[name])))
        for name in sorted(groups)
    ]
