"""VMs, pools, members, budgets, VM transitions and maintenance waves."""

from arbutusrock.machines.budgets import check_budget
from arbutusrock.machines.budgets import find_unavailable
from arbutusrock.machines.vms import FleetDocument
from arbutusrock.machines.vms import load_fleet
from arbutusrock.machines.vms import Pool
from arbutusrock.machines.vms import Protocol
from arbutusrock.machines.vms import VM
from arbutusrock.machines.vms import VMState
from arbutusrock.machines.waves import Wave
from arbutusrock.machines.waves import WaveState

__all__ = [
    'FleetDocument',
    'Pool',
    'Protocol',
    'VM',
    'VMState',
    'Wave',
    'WaveState',
    'check_budget',
    'find_unavailable',
    'load_fleet',
]
