"""Placement of single tasks and gangs on workers."""

from hypothesis import given
from hypothesis import strategies
import msgspec

from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.workers import fleet
from arbutusrock.scheduling import placement
from arbutusrock.scheduling import Resources


def create_worker(name, *, free=8000, rack='r1', label='a'):
    entry = platform_messages.WorkerEntry(
        worker_id=f'i-{name}',
        pool='p',
        address='h:1',
        vm=name,
        labels=(label, rack),
        capacity=Resources(cpu=free, memory_mb=8000),
    )
    return fleet.WorkerState(entry=entry, now_s=0.0)


def create_request(cpu=1000, **options):
    return placement.PlacementRequest(
        demand=Resources(cpu=cpu, memory_mb=100), **options
    )


def choose(workers, request):
    worker = placement.choose_worker(workers, request)
    return worker and worker.vm


def test_choose_worker_takes_best_fit():
    workers = [create_worker('a', free=8000), create_worker('b', free=1500)]
    assert choose(workers, create_request(1000)) == 'b'
    assert choose(workers, create_request(6000)) == 'a'
    assert choose(workers, create_request(9000)) is None


def test_choose_worker_honors_constraints():
    workers = [
        create_worker('a', rack='r1', label='x'),
        create_worker('b', rack='r2', label='y'),
    ]
    assert choose(workers, create_request(label='y')) == 'b'
    assert choose(workers, create_request(label='z')) is None
    assert choose(workers, create_request(data_rack='r2')) == 'b'
    assert choose(workers, create_request(allowed={'i-b'})) == 'b'
    assert choose(workers, create_request(allowed=set())) is None
    limited = create_request(most_per_worker=1, runs_by_vm={'a': 1})
    assert choose(workers, limited) == 'b'


def test_choose_worker_takes_failed_vms_last():
    workers = [create_worker('a', free=1500), create_worker('b')]
    assert choose(workers, create_request(deprioritized_vms={'a'})) == 'b'
    assert choose(workers[:1], create_request(deprioritized_vms={'a'})) == 'a'
    assert choose(workers, create_request(suspect_vms={'a'})) == 'b'


def test_choose_gang_workers_keeps_gang_on_one_rack():
    workers = [
        create_worker('a', rack='r1', free=2000),
        create_worker('b', rack='r2', free=2000),
        create_worker('c', rack='r2', free=2000),
    ]
    chosen = placement.choose_gang_workers(
        workers, create_request(), 4, same_rack=True
    )
    assert {worker.entry.rack for worker in chosen} == {'r2'}
    assert (
        placement.choose_gang_workers(
            workers, create_request(), 7, same_rack=True
        )
        is None
    )


def test_cold_worker_comes_last_among_equals():
    cold = create_worker('a', free=1500)
    cold.entry = msgspec.structs.replace(cold.entry, cold_ms=800.0)
    warm, far = create_worker('b'), create_worker('c', rack='r2')
    assert choose([cold, warm], create_request()) == 'b'
    assert choose([cold], create_request()) == 'a'
    # Data that is far away costs more than a slow start.
    assert choose([cold, far], create_request(data_rack='r1')) == 'a'


def test_slow_vm_gets_a_task_once_it_waited_for_what_it_loses_there():
    slow, sound = create_worker('a', free=1500), create_worker('b')
    speeds = {'a': 0.25}
    request = create_request(slow_vms=speeds)
    assert choose([slow, sound], request) == 'b'
    find = placement.find_sound_workers
    assert find([slow, sound], speeds, 1.4, 0.5) == [sound]
    assert find([slow, sound], speeds, 1.5, 0.5) == [slow, sound]
    # Long tasks wait no longer than a job may go without a run.
    assert find([slow, sound], speeds, 2.4, 60.0) == [sound]
    assert find([slow, sound], speeds, 2.5, 60.0) == [slow, sound]
    # Where all are slow, waiting for another one is of no use.
    assert find([slow], speeds, 0.0, 1.0) == [slow]


@given(
    strategies.lists(strategies.integers(0, 9000), min_size=1, max_size=8),
    strategies.integers(0, 9000),
)
def test_speed_of_one_decides_nothing(free, cpu):
    workers = [
        create_worker(f'{number}', free=millicores, rack=f'r{number % 2}')
        for number, millicores in enumerate(free)
    ]
    plain = create_request(cpu, data_rack='r1')
    equal = create_request(
        cpu,
        data_rack='r1',
        slow_vms={worker.vm: 1.0 for worker in workers},
    )
    assert choose(workers, plain) == choose(workers, equal)
    for count in (1, 3):
        chosen = [
            placement.choose_gang_workers(
                workers, request, count, same_rack=True
            )
            for request in (plain, equal)
        ]
        assert chosen[0] == chosen[1]
    found = placement.find_sound_workers(workers, equal.slow_vms, 0.0, 1.0)
    assert found == workers
