"""Maintenance waves: which VMs are rebooted, and which are done."""

import enum
from typing import Annotated

import msgspec

__all__ = ['Wave', 'WaveState']

Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]


class WaveState(enum.StrEnum):
    """State of a maintenance wave."""

    RUNNING = 'running'
    PAUSED = 'paused'
    DONE = 'done'
    ABORTED = 'aborted'


class Wave(msgspec.Struct, kw_only=True, frozen=True):
    """A plan to reboot VMs within the availability budgets of their pools.

    :param vms: names of all VMs in the wave, in order.
    :param done: names of those that are back in service.
    """

    wave: Name
    vms: list[str]
    state: WaveState = WaveState.RUNNING
    done: list[str] = []
    reason: str = ''

    @property
    def is_finished(self):
        """Whether all its VMs are back in service."""
        return set(self.done) >= set(self.vms)
