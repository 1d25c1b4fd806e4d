"""Lists of possible runs: what the next owner may conclude from them."""

import msgspec
import pytest

from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import possible_runs
from arbutusrock.engine.tests import samples
from arbutusrock.engine.workers import fleet
from arbutusrock.scheduling import dark_workers
from arbutusrock.utils import clocks

ROW_BYTES = 65_536
TASKS = {'i-1': {'a.0.0.1', 'a.0.0.0'}, 'i-2': set(), 'i-3': None}


def create_rows(tasks, epoch=4, max_row_bytes=ROW_BYTES):
    found = possible_runs.create_rows(
        tasks, epoch=epoch, max_row_bytes=max_row_bytes
    )
    handover = possible_runs.Handover(epoch=epoch, row_count=len(found))
    return found, handover


def test_tasks_of_workers_are_restored():
    tasks = possible_runs.decode_rows(*create_rows(TASKS))
    assert tasks == TASKS
    assert possible_runs.find_tasks(['i-1', 'i-2'], tasks) == TASKS['i-1']
    assert possible_runs.find_tasks([], tasks) == set()
    # The list of one of them is not known, or it has none.
    assert possible_runs.find_tasks(['i-1', 'i-3'], tasks) is None
    assert possible_runs.find_tasks(['i-1', 'i-4'], tasks) is None
    assert possible_runs.find_tasks(['i-1'], None) is None


def test_list_is_divided_over_rows_that_the_store_takes():
    tasks = {
        f'i-{worker:010}': {f'{task:016}.0.0.{worker}' for task in range(10)}
        for worker in range(870)
    }
    found, handover = create_rows(tasks)
    assert 1 < len(found) <= possible_runs.MAX_ROWS
    assert max(len(row.value) for row in found) <= ROW_BYTES
    assert possible_runs.decode_rows(found, handover) == tasks


@pytest.mark.parametrize('workers', [1, 400])
def test_list_that_is_too_long_is_not_passed_on(workers):
    tasks = {
        f'i-{worker}': {f'{task:016}.0.0.0' for task in range(400)}
        for worker in range(workers)
    }
    found, handover = create_rows(tasks, max_row_bytes=4096)
    assert not found
    assert possible_runs.decode_rows(found, handover) is None


@pytest.mark.parametrize(
    'change', ['missing', 'torn', 'of another owner', 'of another type']
)
def test_list_that_is_not_whole_is_not_used(change):
    """Guards against TWICE: a task that is not listed may be running."""
    found, handover = create_rows(
        {f'i-{worker}': {'a.0.0.0'} for worker in range(200)},
        max_row_bytes=2048,
    )
    assert len(found) > 1
    match change:
        case 'missing':
            found.pop()
        case 'torn':
            found[0].value = found[0].value[:-1]
        case 'of another owner':
            found[1] = create_rows({'i-1': set()}, epoch=3)[0][0]
            found[1].key = '1'
        case _:
            found[0].value = msgspec.msgpack.encode({'epoch': 4, 'tasks': 1})
    assert possible_runs.decode_rows(found, handover) is None


def test_rows_of_an_earlier_owner_are_passed_over():
    """Its list was longer, and nobody has removed it."""
    found, handover = create_rows(TASKS)
    earlier = [
        rows.Row(table='t', key=str(number), value=b'') for number in (1, 2)
    ]
    assert possible_runs.decode_rows([*found, *earlier], handover) == TASKS


@pytest.mark.parametrize('known', [False, True])
def test_owner_passes_on_what_it_found_of_workers_it_did_not_reach(known):
    """Guards against TWICE in a series of owners."""
    term = samples.create_term(epoch=2)
    now_s = clocks.now_s()
    for worker_id, answered in (('i-1', True), ('i-2', False)):
        entry = samples.create_entry(worker_id)
        term.fleet.workers[worker_id] = fleet.WorkerState(
            entry=entry,
            now_s=now_s,
            inherited_lease=dark_workers.InheritedLease(end_at_s=now_s + 5.0),
            inherited_tasks=frozenset({'t.0.0.0'}) if known else None,
        )
        term.fleet.workers[worker_id].has_answered = answered
    run = samples.add_run(term, term.fleet.workers['i-1'])
    listed = term.fleet.list_possible_tasks(now_s)
    assert listed['i-1'] == {run.name}
    assert listed['i-2'] == ({'t.0.0.0'} if known else None)
    assert term.fleet.find_inherited_tasks(now_s) == (
        {'t.0.0.0'} if known else set()
    )
    assert ('p' in term.fleet.find_inherited_versions(now_s)) is not known
    # Once all leases have ended, nothing runs there.
    later = term.fleet.list_possible_tasks(now_s + 5.1)
    assert later['i-2'] == set()
    assert not term.fleet.find_inherited_tasks(now_s + 5.1)
