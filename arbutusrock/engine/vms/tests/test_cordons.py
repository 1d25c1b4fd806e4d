"""Workers of an evacuated data centre get no runs and keep theirs."""

import asyncio
import types

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.runs import worker_link
from arbutusrock.engine.tests import samples
from arbutusrock.engine.vms import cordon_controller
from arbutusrock.engine.vms import vm_registry
from arbutusrock.engine.vms import vm_views
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks

CAPACITY = Resources(cpu=8000, memory_mb=8000)


def create_entry(name, data_centre):
    return platform_messages.WorkerEntry(
        worker_id=f'i-{name}',
        pool='p',
        address='h:1',
        vm=name,
        data_centre=data_centre,
        capacity=CAPACITY,
    )


def create_controller(*data_centres):
    """Return a controller with a worker in each data centre, and these."""
    controller = samples.create_run_controller(
        [
            create_entry(f'm{number}', name)
            for number, name in enumerate(data_centres)
        ],
        epoch=2,
    )
    workers = list(controller.term.fleet.workers.values())
    for worker in workers:
        worker.cordons = controller.term.cordons
        worker.has_answered = worker.in_roster = True
    return controller, workers


def create_registry(term, workers):
    """Return the registry of the VMs of workers, all in pool ``p``."""
    term.configuration.current = types.SimpleNamespace(
        pools={'p': types.SimpleNamespace(name='p', spare=False)}, accounts={}
    )
    registry = vm_registry.VMRegistry()
    registry.update(
        [
            platform_messages.VMEntry(
                vm=worker.vm,
                pool='p',
                state=platform_messages.VMState.UP,
                worker_id=worker.worker_id,
                data_centre=worker.entry.data_centre,
                capacity=CAPACITY,
            )
            for worker in workers
        ],
        0.0,
        None,
    )
    return registry


def test_worker_is_unusable_while_its_data_centre_is_evacuated():
    controller, (here, there) = create_controller('z1', 'z2')
    cordons = controller.term.cordons
    cordons.add('z1')
    assert not here.usable
    assert here.in_service
    assert there.usable
    cordons.discard('z1')
    assert here.usable


def test_worker_of_unknown_data_centre_is_unusable_during_evacuation():
    controller, (worker,) = create_controller('')
    assert worker.usable
    controller.term.cordons.add('z1')
    assert not worker.usable


async def test_order_on_its_way_is_not_sent_into_evacuation():
    """A run was given a worker just before the evacuation was seen."""
    controller, (worker,) = create_controller('z1')
    sent = []

    async def start_run(order):
        sent.append(order)

    async with asyncio.TaskGroup() as group:
        link = worker_link.WorkerLink(
            term=controller.term,
            run_controller=controller,
            worker=worker,
            client=types.SimpleNamespace(start_run=start_run),
            spawn=group.create_task,
        )
        run = samples.add_run(controller.term, worker)
        link.send_start(run, spec='')
        controller.term.cordons.add('z1')
    assert not sent
    assert not worker.runs
    assert run.task.status is job_state.TaskStatus.WAITING


async def test_reserved_run_is_not_ordered_into_evacuation():
    controller, (worker,) = create_controller('z1')
    link = worker_link.WorkerLink(
        term=controller.term,
        run_controller=controller,
        worker=worker,
        client=None,
        spawn=None,
    )
    run = samples.add_run(controller.term, worker)
    run.state = job_state.RunState.RESERVED
    assert link._may_start_reserved(run)
    controller.term.cordons.add('z1')
    assert not link._may_start_reserved(run)


def test_evacuated_vms_are_cordoned_in_pool_views():
    """The serving task there needs no room elsewhere, as it goes on."""
    controller, (here, there) = create_controller('z1', 'z2')
    term = controller.term
    samples.add_run(term, here, long_running=True)
    registry = create_registry(term, (here, there))
    (view,) = vm_views.create_pool_views(term, registry, clocks.now_s())
    assert [vm.cordoned for vm in view.vms] == [False, False]
    assert (view.long_running_vms, view.long_running_millicores) == (1, 1000)
    term.cordons.add('z1')
    (view,) = vm_views.create_pool_views(term, registry, clocks.now_s())
    assert {vm.vm: vm.cordoned for vm in view.vms} == {'m0': True, 'm1': False}
    assert (view.long_running_vms, view.long_running_millicores) == (0, 0)


def test_controller_logs_begin_and_end_once(monkeypatch):
    controller, _ = create_controller('z1', 'z2')
    cordons = cordon_controller.CordonController(term=controller.term)
    lines = []
    monkeypatch.setattr(
        cordon_controller,
        'LOG',
        types.SimpleNamespace(info=lambda _event, **item: lines.append(item)),
    )
    controller.term.cordons.add('z1')
    for now_s in (1.0, 2.0):
        cordons.reconcile(now_s)
    controller.term.cordons.discard('z1')
    for now_s in (4.0, 5.0):
        cordons.reconcile(now_s)
    assert [item['data_centre'] for item in lines] == ['z1', 'z1']
    assert lines[0]['free_cores'] == 8.0
    assert lines[1]['lasted_s'] == 3.0
