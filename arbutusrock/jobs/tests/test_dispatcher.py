"""Tests of slots held by several tries of one task."""

from unittest import mock

from arbutusrock.jobs import dispatcher


def create_work(task_id):
    return mock.Mock(
        task_id=task_id,
        team_name='team',
        pool='pool',
        vm=mock.Mock(vm='vm'),
        holds_slot=False,
        started_at_s=None,
    )


def test_has_slot_after_release_of_earlier_try():
    """A retry still runs when the slot of an earlier try is released.

    The earlier try keeps a slot until its task has certainly ended.
    Otherwise a graceful stop cancels the job that is running.
    """
    slots = dispatcher.Dispatcher(
        configuration=mock.Mock(),
        members=mock.Mock(),
        permits=mock.Mock(),
        health=mock.Mock(),
    )
    earlier, retry = create_work('job-1'), create_work('job-1')
    with mock.patch.object(slots, 'dispatch_pool'):
        slots.record_running(earlier)
        slots.record_running(retry)
        slots.release(earlier)
        assert slots.has_slot('job-1')
        slots.release(retry)
    assert not slots.has_slot('job-1')
