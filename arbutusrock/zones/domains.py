"""Failure domains of VMs."""

from dataclasses import dataclass
import enum

__all__ = ['DomainLevel', 'FailureDomain', 'find_domains']


class DomainLevel(enum.StrEnum):
    """Size of a failure domain."""

    RACK = 'rack'
    DATA_CENTRE = 'data_centre'
    REGION = 'region'


@dataclass(slots=True, frozen=True, kw_only=True)
class FailureDomain:
    """VMs that fail together.

    :param vms: names, sorted.
    """

    level: DomainLevel
    name: str
    vms: tuple


def find_domains(vms, level):
    """Group VMs by failure domain.

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
