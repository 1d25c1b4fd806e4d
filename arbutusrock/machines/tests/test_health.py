"""Tests of the workers that get no new tasks."""

import types

from arbutusrock.machines import health


def test_find_excluded_names_only_vms_of_the_pool():
    """Ejected VMs of one pool must not use up the bound of another."""
    pools = {
        name: [types.SimpleNamespace(vm=f'{name}-{i}', pool=name)]
        for name in ('a', 'b')
        for i in range(1)
    }
    pools['b'] += [
        types.SimpleNamespace(vm=f'b-{i}', pool='b') for i in (1, 2)
    ]
    workers = health.WorkerHealth(
        configuration=types.SimpleNamespace(pool_vms=pools)
    )
    for _ in range(health.FAILURES_TO_EJECT):
        workers.record_failure(pools['b'][0], 'failed')
    workers.set_not_live({'a-0'})
    assert workers.find_excluded('b') == {'b-0'}
    assert workers.find_excluded('a') == {'a-0'}
    assert workers.find_unhealthy() == {'a-0', 'b-0'}
