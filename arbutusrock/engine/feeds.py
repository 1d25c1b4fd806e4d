"""Reads and follows tables of the store, with retries.

A table is read again as a whole when the store has dropped its older changes.
"""

import asyncio

from arbutusrock.engine import rows
from arbutusrock import logs

__all__ = ['follow_table', 'read_parts', 'read_with_retries']

RETRY_DELAY_S = 0.2
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
    """Call :func:`read_parts` until the store answers.

    :returns: as :func:`read_parts`.
    """
    failing = False
    while True:
        try:
            return await read_parts(store, table, parts)
        except (rows.StoreRefused, rows.StoreSilent) as exc:
            if not failing:
                LOG.warning(
                    'cannot read a table; retrying',
                    table=table,
                    error=str(exc),
                )
            failing = True
            await asyncio.sleep(RETRY_DELAY_S)


async def follow_table(
    store, table, *, apply, parts, wait_s, version=None, batch_delay_s=0.0
):
    """Pass all changes of a table to ``apply`` until cancelled.

    :param apply: called with ``(rows, whole)``; ``whole`` is true when the
        rows are the whole table and false when they are changes.
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
                found, version = await read_parts(store, table, parts)
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
        apply(found, whole)
        if batch_delay_s:
            await asyncio.sleep(batch_delay_s)
