"""Which registered workers a new owner waits for."""

import math

import pytest

from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.ports import rows
from arbutusrock.engine.tests import samples
from arbutusrock.engine.vms import vm_views
from arbutusrock.engine.workers import registration_controller
from arbutusrock.scheduling import dark_workers
from arbutusrock.scheduling import lease_bounds
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks


def create_entry(worker_id, vm, pool='p', **fields):
    return platform_messages.WorkerEntry(
        worker_id=worker_id,
        pool=pool,
        **{'address': 'h:1', **fields},
        vm=vm,
        capacity=Resources(cpu=1000),
    )


def load_fleet(entries, roster, named=None):
    """Return the fleet of an owner that has read these rows.

    :param named: leases of the workers that the last heartbeat names.
    """
    return load_registrations(entries, roster, named).term.fleet


def load_registrations(entries, roster=None, named=None):
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
    registrations.load(listed, roster or {})
    return registrations


def apply_entry(registrations, entry):
    row = rows.Row(
        table=rows.TABLE_WORKERS, part='', key=entry.worker_id, value=entry
    )
    registrations._apply_row(row)


def answer(registrations, worker, born_ms):
    """Have a worker answer a renewal."""
    reply = platform_messages.RenewalReply(
        clock_ms=1000.0, born_ms=born_ms, running=(), ended=()
    )
    registrations.run_controller.handle_renewal(worker, reply, clocks.now_s())


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


@pytest.mark.parametrize('named', [{}, {'w1': 3.0}])
@pytest.mark.parametrize('registered', [False, True])
def test_wait_for_a_silent_worker_is_passed_on(registered, named):
    """Guards against LOST: each owner of a series began the wait anew.

    All leases of earlier owners end by what the first of them waits until,
    also those of one that is cut off from the store alone.
    """
    now_s = clocks.now_s()
    leases = {
        worker_id: dark_workers.InheritedLease(
            end_at_s=now_s + left_s, before_version=30
        )
        for worker_id, left_s in named.items()
    }
    entries = [create_entry('w1', 'vm-1')] if registered else []
    fleet = load_fleet(entries, {'w1': ('p', 'vm-1')}, leases)
    wait_s = 3.0 if named else lease_bounds.compute_inherited_wait_s(5.0)
    for after_s in (2.0, 6.0, 8.0):
        at_s = clocks.now_s() + after_s
        ((worker_id, silent_s, left_s),) = fleet.find_silent(at_s)
        assert worker_id == 'w1'
        assert silent_s >= after_s
        assert left_s == pytest.approx(max(0.0, wait_s - after_s), abs=0.1)


def test_worker_that_cannot_be_asked_is_named_at_once():
    """It is not registered; an owner may not last for a second."""
    fleet = load_fleet([], {'w1': ('p', 'vm-1')})
    names = dark_workers.DarkWorkers(epoch=2)
    assert 'w1' in names.name(fleet.find_silent(clocks.now_s()))[1]


def test_wait_is_not_passed_on_while_the_worker_answers():
    """The owner has not loaded the jobs; the lease is extended meanwhile."""
    fleet = load_fleet([create_entry('w1', 'vm-1')], {'w1': ('p', 'vm-1')})
    fleet.workers['w1'].record_report(1000.0, clocks.now_s())
    assert not fleet.find_silent(clocks.now_s() + 1.5)


@pytest.mark.parametrize('answers', [False, True])
def test_entry_for_a_vm_ends_its_worker_only_once_it_is_answered_for(answers):
    """Guards against TWICE: an entry of another program ended the worker."""
    registrations = load_registrations([create_entry('w1', 'vm', born_ms=10)])
    workers = registrations.term.fleet.workers
    answer(registrations, workers['w1'], 10)
    apply_entry(
        registrations, create_entry('w2', 'vm', pool='other', born_ms=20)
    )
    assert not workers['w1'].ended
    by_vm = vm_views.map_workers_by_vm(registrations.term.fleet)
    assert by_vm['vm'] is workers['w1']
    if answers:
        answer(registrations, workers['w2'], 20)
    assert workers['w1'].ended is answers


@pytest.mark.parametrize(
    'fields',
    [
        # A report of an earlier incarnation that was carried out late.
        {'born_ms': 5},
        {'born_ms': 10, 'address': 'h:2'},
        {'born_ms': 10, 'pool': 'other'},
        {'born_ms': 20},
    ],
)
def test_entry_that_is_not_of_the_known_incarnation_changes_nothing(fields):
    """Guards against TWICE: a late report ended a healthy worker."""
    entry = create_entry('w1', 'vm', born_ms=10)
    registrations = load_registrations([entry])
    worker = registrations.term.fleet.workers['w1']
    apply_entry(registrations, create_entry('w1', 'vm', **fields))
    assert worker.entry is entry
    answer(registrations, worker, 10)
    assert not worker.ended


def test_later_incarnation_is_used_once_the_known_one_is_over():
    registrations = load_registrations([create_entry('w1', 'vm', born_ms=10)])
    workers = registrations.term.fleet.workers
    worker = workers['w1']
    apply_entry(registrations, create_entry('w1', 'vm', born_ms=20))
    answer(registrations, worker, 20)
    assert worker.ended
    registrations._sweep_worker('w1', worker, clocks.now_s())
    assert workers['w1'].entry.born_ms == 20
    assert not workers['w1'].ended
