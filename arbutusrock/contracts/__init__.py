"""Contracts of customers, caller keys, shares of slots, and permits.

Permits enforce the upper limit of each team, see
:mod:`arbutusrock.contracts.permits`.
"""

from arbutusrock.contracts.configuration import Change
from arbutusrock.contracts.configuration import Configuration
from arbutusrock.contracts.configuration import Operation
from arbutusrock.contracts.configuration import TeamName
from arbutusrock.contracts.contracts import Contract
from arbutusrock.contracts.contracts import load_contract
from arbutusrock.contracts.contracts import Priority
from arbutusrock.contracts.contracts import Queue
from arbutusrock.contracts.contracts import Service
from arbutusrock.contracts.contracts import Team
from arbutusrock.contracts.keys import create_secret
from arbutusrock.contracts.keys import hash_secret
from arbutusrock.contracts.keys import Key
from arbutusrock.contracts.shares import divide_slots
from arbutusrock.contracts.shares import round_largest_remainder
from arbutusrock.contracts.shares import WeightedDemand

__all__ = [
    'Change',
    'Configuration',
    'Contract',
    'Key',
    'Operation',
    'Priority',
    'Queue',
    'Service',
    'Team',
    'TeamName',
    'WeightedDemand',
    'create_secret',
    'divide_slots',
    'hash_secret',
    'load_contract',
    'round_largest_remainder',
]
