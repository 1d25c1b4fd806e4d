"""Where suspects are started when pools are idle, busy or full."""

import types

from arbutusrock.scheduling import isolation
from arbutusrock.scheduling import placement
from arbutusrock.scheduling import Resources


def create_candidate(name, *, runs, free, settled=True):
    """Return a worker of 8 cores with ``free`` of them left."""
    worker = types.SimpleNamespace(
        worker_id=name,
        vm=name,
        free_millicores=free * 1000,
        free_memory_mb=1000,
        free_accelerators=0,
        capacity=Resources(cpu=8000, memory_mb=1000),
        entry=types.SimpleNamespace(labels=(), rack='', cold_ms=0.0),
    )
    return isolation.IsolationCandidate(
        worker=worker, runs=runs, settled=settled
    )


REQUEST = placement.PlacementRequest(demand=Resources(cpu=2000))


def choose(candidates, waited_s):
    """Return the names of the chosen workers and of those to hold."""
    choice = isolation.choose_isolated_workers(
        candidates, REQUEST, 1, waited_s=waited_s
    )
    chosen = choice.workers and [item.vm for item in choice.workers]
    return chosen, [item.vm for item in choice.hold]


def test_empty_worker_is_taken_at_once():
    candidates = [
        create_candidate('busy', runs=1, free=3),
        create_candidate('empty', runs=0, free=8),
    ]
    assert choose(candidates, 0.0) == (['empty'], [])


def test_suspect_waits_for_an_empty_worker_first():
    candidates = [create_candidate('busy', runs=1, free=7)]
    assert choose(candidates, 0.1) == (None, [])
    assert choose(candidates, 2.0) == (['busy'], [])


def test_suspect_is_not_starved_while_tasks_keep_starting():
    """Each worker always has a task that has just been started."""
    candidates = [
        create_candidate('a', runs=3, free=4, settled=False),
        create_candidate('b', runs=2, free=0, settled=False),
    ]
    assert choose(candidates, 2.0) == (None, ['b'])


def test_worker_is_held_that_may_not_take_the_suspect():
    """The step may have one task on a worker, and the idlest one has it."""
    candidates = [
        create_candidate('a', runs=1, free=7, settled=False),
        create_candidate('b', runs=5, free=2, settled=False),
    ]
    request = placement.PlacementRequest(
        demand=Resources(cpu=2000), most_per_worker=1, runs_by_vm={'a': 1}
    )
    choice = isolation.choose_isolated_workers(
        candidates, request, 1, waited_s=2.0
    )
    assert [item.vm for item in choice.hold] == ['b']


def test_account_does_not_take_a_whole_pool_down():
    def may_risk(guarded, likely=False):
        return isolation.may_risk_worker(
            workers=8, guarded=guarded, likely=likely, shared=True
        )

    assert may_risk([False])
    assert not may_risk([False, False])


def test_likely_culprits_do_not_hold_up_other_suspects():
    assert isolation.may_risk_worker(
        workers=2, guarded=[True], likely=False, shared=True
    )
    assert not isolation.may_risk_worker(
        workers=4, guarded=[True], likely=True, shared=True
    )


def test_new_tasks_of_account_with_culprits_risk_the_whole_pool():
    workers = [
        create_candidate(name, runs=0, free=8).worker for name in 'abcdefgh'
    ]

    def limit(risked, own_runs, shared=True):
        limited = isolation.limit_workers(
            workers,
            pool_size=8,
            risked=risked,
            own_runs=own_runs,
            shared=shared,
        )
        return [item.vm for item in limited]

    assert limit(set(), {}) == ['a', 'b']
    assert limit(set(), {'g': 3}) == ['g', 'a']
    assert limit({'c'}, {'g': 3}) == ['c', 'g']
    # Two workers have crashed under it and do not answer.
    assert not limit({'x', 'y'}, {})
    # Without work of others there, only a part for new work is protected.
    assert len(limit(set(), {}, shared=False)) == 6


def test_account_is_confined_while_most_culprits_are_its_own():
    culprits = {'a': dict.fromkeys('xyz', 5.0), 'b': {'q': 5.0}}
    assert isolation.is_confined(culprits, 'a', 6.0)
    assert not isolation.is_confined(culprits, 'b', 6.0)
    assert not isolation.is_confined(culprits, 'a', 16.0)


def test_confining_every_account_protects_none():
    culprits = {name: dict.fromkeys('xyz', 5.0) for name in 'abc'}
    assert not any(isolation.is_confined(culprits, n, 6.0) for n in 'abc')
