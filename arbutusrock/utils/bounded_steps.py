"""Steps that are run one after the other, each within a bound.

Load: all members of a fleet get SIGTERM at once. Whatever one of them waits
for, a peer, the store or a part of its own, may never come, and it must end
all the same, and say what it has waited for.
"""

import asyncio

from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['BoundedSteps', 'cancel_other_tasks']

# Most tasks that one log line names.
MAX_NAMED_TASKS = 20
LOG = logs.get_log('shutdown')


class BoundedSteps:
    """Runs steps, logs the length of each, and abandons what does not end.

    :ivar abandoned: names of the steps that have not ended in time.
    """

    __slots__ = ('abandoned',)

    def __init__(self):
        self.abandoned = []

    async def run(self, step, awaitable, *, bound_s):
        """Run a step, at most for its bound.

        A step that ignores its cancellation goes on in the background.

        :param step: name for the log.
        :returns: the result; None when the step has failed or not ended.
        """
        began_at_s = clocks.now_s()
        task = asyncio.ensure_future(awaitable)
        try:
            await asyncio.wait({task}, timeout=bound_s)
        finally:
            if not task.done():
                task.cancel()
        took_s = round(clocks.now_s() - began_at_s, 3)
        if not task.done():
            self.abandoned.append(step)
            LOG.error(
                'a step has not ended in time and is abandoned',
                step=step,
                took_s=took_s,
                waits_at=_describe(task),
                tasks=_describe_all(_find_other_tasks()),
            )
            return None
        if task.cancelled() or task.exception() is not None:
            LOG.error(
                'a step has failed',
                step=step,
                took_s=took_s,
                exc_info=None if task.cancelled() else task.exception(),
            )
            return None
        LOG.info('a step has ended', step=step, took_s=took_s)
        return task.result()


def _describe(task):
    """Return the name of a task and the lines at which it waits."""
    frames = [
        f'{frame.f_code.co_qualname}:{frame.f_lineno}'
        for frame in task.get_stack()
    ]
    return f'{task.get_name()} at {frames}'


def _describe_all(tasks):
    """Return a text for each task, bounded."""
    return sorted(_describe(task) for task in tasks)[:MAX_NAMED_TASKS]


def _find_other_tasks():
    return asyncio.all_tasks() - {asyncio.current_task()}


async def cancel_other_tasks(bound_s):
    """Cancel all other tasks of the loop and wait for them.

    :returns: a text for each one that has not ended within the bound.
    """
    others = _find_other_tasks()
    for task in others:
        task.cancel()
    if others:
        _, others = await asyncio.wait(others, timeout=bound_s)
    return _describe_all(others)
