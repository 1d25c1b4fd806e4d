"""Reads and follows tables of the store, with retries.

A table is read again as a whole when the store has dropped its older changes.
"""

import asyncio

from arbutusrock.engine.ports import rows
from arbutusrock import logs

__all__ = [
    'RETRY_DELAY_S',
    'follow_table',
    'read_parts',
    'read_with_retries',
]

RETRY_DELAY_S = 0.2
# A read without an answer for this time is made once more beside it, as a
# store that is back does not answer what was sent while it was away. Longer
# than a read of a slow store takes (0.6 s).
HEDGE_DELAY_S = 0.7
LOG = logs.get_log('feeds')


async def read_parts(store, table, parts):
    """Read all rows of a table from several parts.

    :returns: ``(rows, version)``; some changes after the version may be in
        the rows already.
    """
    found, oldest = [], None
    for part in parts:
        listed, version = await store.read_range(table, part=part)
        found += listed
        oldest = version if oldest is None else min(oldest, version)
    return found, oldest


async def read_with_retries(store, table, parts):
    """Read all rows of a table from several parts, side by side.

    Each part is read again until the store answers.

    :returns: as :func:`read_parts`.
    """
    answers = await asyncio.gather(
        *(_read_part_with_retries(store, table, part) for part in parts)
    )
    found = [row for listed, _ in answers for row in listed]
    return found, min(version for _, version in answers)


async def _read_part_with_retries(store, table, part):
    failing = False
    while True:
        try:
            return await _read_hedged(store, table, part)
        except (rows.StoreRefused, rows.StoreSilent) as exc:
            if not failing:
                LOG.warning(
                    'cannot read a table; retrying',
                    table=table,
                    part=part,
                    error=str(exc),
                )
            failing = True
            await asyncio.sleep(RETRY_DELAY_S)


async def _read_hedged(store, table, part):
    """Read a part; the first answer counts.

    :raises rows.StoreRefused: the newest attempts were refused.
    :raises rows.StoreSilent: the first attempt got no answer in time.
    """
    attempts = []
    try:
        while True:
            attempts.append(
                asyncio.ensure_future(store.read_range(table, part=part))
            )
            await asyncio.wait(
                attempts,
                timeout=HEDGE_DELAY_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            done = [attempt for attempt in attempts if attempt.done()]
            answered = [item for item in done if item.exception() is None]
            if done:
                return (answered or done)[0].result()
    finally:
        for attempt in attempts:
            attempt.cancel()


async def follow_table(
    store, table, *, apply, parts, wait_s, version=None, batch_delay_s=0.0
):
    """Pass all changes of a table to ``apply`` until cancelled.

    :param apply: called with ``(rows, whole, version)``; ``whole`` is true
        when the rows are the whole table and false when they are changes, and
        ``version`` is that of the table.
    :param wait_s: how long the store may wait for a change before it answers.
        It bounds the time until an unresponsive connection is noticed. While
        calls fail it does not wait.
    :param version: version to continue from; None reads the table first.
    :param batch_delay_s: pause after each answer, in which further changes
        collect.
    """
    failing = False
    while True:
        try:
            whole = version is None
            if whole:
                found, version = await read_with_retries(store, table, parts)
            else:
                # After a failure the store must not hold the call, so that
                # its answer shows at once that it serves again.
                found, version = await store.watch(
                    table, after=version, wait_s=0.0 if failing else wait_s
                )
        except rows.HistoryLost:
            LOG.info(
                'the store dropped older changes; reading the table again',
                table=table,
            )
            version = None
            continue
        except (rows.StoreRefused, rows.StoreSilent) as exc:
            if not failing:
                LOG.warning(
                    'cannot follow a table; retrying',
                    table=table,
                    error=str(exc),
                )
            failing = True
            await asyncio.sleep(RETRY_DELAY_S)
            continue
        if failing:
            LOG.info('following a table again', table=table, version=version)
        failing = False
        apply(found, whole, version)
        if batch_delay_s:
            await asyncio.sleep(batch_delay_s)
