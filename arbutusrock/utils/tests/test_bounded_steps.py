"""Tests of steps that end, fail, or never end."""

import asyncio

import pytest

from arbutusrock.utils import bounded_steps


async def ignore_cancellation(release):
    while not release.is_set():
        try:
            await release.wait()
        except asyncio.CancelledError:
            continue


async def fail():
    raise ValueError('no')


async def answer():
    return 7


@pytest.mark.parametrize(
    ('step', 'result', 'abandoned'),
    [
        (answer, 7, []),
        (fail, None, []),
        (asyncio.Event().wait, None, ['a step']),
    ],
)
async def test_run_returns_whatever_the_step_does(step, result, abandoned):
    steps = bounded_steps.BoundedSteps()
    async with asyncio.timeout(5.0):
        found = await steps.run('a step', step(), bound_s=0.05)
    assert found == result
    assert steps.abandoned == abandoned


async def test_step_that_ignores_its_cancellation_blocks_the_shutdown(capsys):
    """The log names what is waited for, and the next step is run."""
    release = asyncio.Event()
    steps = bounded_steps.BoundedSteps()
    async with asyncio.timeout(5.0):
        await steps.run('first', ignore_cancellation(release), bound_s=0.05)
        assert await steps.run('next', answer(), bound_s=1.0) == 7
        left = await bounded_steps.cancel_other_tasks(0.05)
    assert steps.abandoned == ['first']
    (line,) = left
    assert 'ignore_cancellation' in line
    log = ''.join(capsys.readouterr())
    assert 'ignore_cancellation' in log
    release.set()
    async with asyncio.timeout(5.0):
        assert not await bounded_steps.cancel_other_tasks(1.0)
