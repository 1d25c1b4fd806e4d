"""Scheduling decisions: admission, ordering, placement and pool sizing.

All functions are free of input and output; the engine calls them.
"""

from arbutusrock.scheduling.configuration import Account
from arbutusrock.scheduling.configuration import AdviceSettings
from arbutusrock.scheduling.configuration import FleetConfiguration
from arbutusrock.scheduling.configuration import Pool
from arbutusrock.scheduling.configuration import Queue
from arbutusrock.scheduling.configuration import RequestLimits
from arbutusrock.scheduling.configuration import Resources

__all__ = [
    'Account',
    'AdviceSettings',
    'FleetConfiguration',
    'Pool',
    'Queue',
    'RequestLimits',
    'Resources',
]
