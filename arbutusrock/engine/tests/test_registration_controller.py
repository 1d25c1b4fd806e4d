"""Which registered workers a new owner waits for."""

import math

import pytest

from arbutusrock.engine import platform_messages
from arbutusrock.engine import registration_controller
from arbutusrock.engine import rows
from arbutusrock.engine.tests import samples
from arbutusrock.scheduling import dark_workers
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks


def create_entry(worker_id, vm, pool='p'):
    return platform_messages.WorkerEntry(
        worker_id=worker_id,
        pool=pool,
        address='h:1',
        vm=vm,
        capacity=Resources(cpu=1000),
    )


def load_fleet(entries, roster, named=None):
    """Return the fleet of an owner that has read these rows.

    :param named: leases of the workers that the last heartbeat names.
    """
    controller = samples.create_run_controller([], epoch=2)
    controller.term.named_leases = named or {}
    registrations = registration_controller.RegistrationController(
        term=controller.term,
        store=None,
        decode=lambda _key, value: value,
        run_controller=controller,
        connect=lambda _worker: None,
    )
    listed = [
        rows.Row(
            table=rows.TABLE_WORKERS, part='', key=entry.worker_id, value=entry
        )
        for entry in entries
    ]
    registrations.load(listed, roster)
    return controller.term.fleet


@pytest.mark.parametrize(
    ('entries', 'roster', 'waits'),
    [
        ([('w1', 'vm-1')], {'w1': ('p', 'vm-1')}, True),
        # Ended under the earlier owner, but still registered.
        ([('w1', 'vm-1')], {}, False),
        ([('w1', 'vm-1')], {'w2': ('q', 'vm-2')}, False),
        # The earlier owner used a worker that is not registered.
        ([], {'w1': ('p', 'vm-1')}, True),
        # A registration that is over must not hide the worker in the roster.
        ([('w0', 'vm-1')], {'w1': ('p', 'vm-1')}, True),
        # Two registrations of one VM: only the one in the roster counts.
        ([('w0', 'vm-1'), ('w1', 'vm-1')], {'w1': ('p', 'vm-1')}, True),
        ([('w0', '')], {'w1': ('q', '')}, False),
    ],
)
def test_pool_waits_only_for_workers_in_the_roster(entries, roster, waits):
    fleet = load_fleet([create_entry(*entry) for entry in entries], roster)
    now_s = clocks.now_s()
    assert ('p' in fleet.find_inherited_versions(now_s)) is waits


def test_answers_end_the_wait():
    fleet = load_fleet(
        [create_entry('w0', 'vm-0'), create_entry('w1', 'vm-1')],
        {'w1': ('p', 'vm-1')},
    )
    fleet.workers['w1'].has_answered = True
    assert not fleet.find_inherited_versions(clocks.now_s())


def test_worker_outside_the_roster_gets_no_runs_before_it_is_written():
    fleet = load_fleet([create_entry('w0', 'vm-0')], {})
    worker = fleet.workers['w0']
    worker.has_answered = True
    assert not worker.usable


@pytest.mark.parametrize(
    ('registered', 'named', 'before_version'),
    [
        ([('w1', 'vm-1')], {'w1': 1.0}, 30),
        ([('w1', 'vm-1')], {'w1': 0.0}, None),
        ([], {'w1': 1.0}, 30),
        # A registration that is over may hide the worker that is named.
        ([('w0', 'vm-1')], {'w1': 1.0}, 30),
        ([('w0', 'vm-1')], {'w0': 1.0}, math.inf),
        ([('w1', 'vm-1')], {'w2': 1.0}, math.inf),
    ],
)
def test_pool_waits_for_the_rest_that_is_named(
    registered, named, before_version
):
    now_s = clocks.now_s()
    leases = {
        worker_id: dark_workers.InheritedLease(
            end_at_s=now_s + left_s, before_version=30
        )
        for worker_id, left_s in named.items()
    }
    entries = [create_entry(*entry) for entry in registered]
    fleet = load_fleet(entries, {'w1': ('p', 'vm-1')}, leases)
    versions = fleet.find_inherited_versions(now_s + 0.5)
    assert versions.get('p') == before_version
    assert not (
        before_version == 30 and fleet.find_inherited_versions(now_s + 1.1)
    )


@pytest.mark.parametrize(
    ('named', 'after_s', 'passed_on'),
    [
        # Its lease may be extended still, by an owner that was replaced.
        ({}, 2.0, []),
        ({}, 8.0, ['w1']),
        ({'w1': 3.0}, 2.0, ['w1']),
    ],
)
def test_wait_that_is_only_assumed_is_not_passed_on(named, after_s, passed_on):
    """Two owners are lost in a row, beside a worker that neither reached.

    The first one is cut off from the store alone, and reaches the worker.
    """
    now_s = clocks.now_s()
    leases = {
        worker_id: dark_workers.InheritedLease(
            end_at_s=now_s + left_s, before_version=30
        )
        for worker_id, left_s in named.items()
    }
    entries = [create_entry('w1', 'vm-1')]
    fleet = load_fleet(entries, {'w1': ('p', 'vm-1')}, leases)
    silent = fleet.find_silent(now_s + after_s)
    assert [worker_id for worker_id, _, _ in silent] == passed_on
