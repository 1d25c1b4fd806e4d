"""Objects that several tests of the engine need."""

import types

from arbutusrock.engine import node_settings
from arbutusrock.engine import term as term_module
from arbutusrock import metrics

__all__ = ['create_term']

SETTINGS = node_settings.NodeSettings(
    name='n1',
    address='127.0.0.1',
    data_centre='z1',
    callers='h:1',
    readiness='h:2',
    metrics='h:4',
    peer_port=0,
    store='h:3',
)


def create_term(*, epoch):
    """Return a term whose claim has version 7, without a configuration."""
    return term_module.Term(
        epoch=epoch,
        claim_version=7,
        settings=SETTINGS,
        configuration=types.SimpleNamespace(current=None),
        metrics=metrics.Metrics(),
    )
