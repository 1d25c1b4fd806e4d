"""Rows that tell the next owner which tasks may run on which worker.

Load: rolling restarts beside workers that drain and leave. The owner that is
stopped knows what it has started. The next one, which does not, started no
accepted job in a pool while one of its workers did not answer.

An owner that gives the unit up starts nothing more. It then writes the tasks
of all its runs by worker, as an upper bound, and releases the claim with the
number of rows. Only a task that is listed on a worker that does not answer
waits for that worker. A worker without a list may run anything, as before.
"""

import msgspec

from arbutusrock.engine.ports import rows
from arbutusrock import logs
from arbutusrock.utils import decoders

__all__ = ['Handover', 'create_rows', 'decode_rows', 'find_tasks']

# With more rows than these, no list is passed on.
MAX_ROWS = 8
# Share of the largest row that its names may take up, without their framing.
MAX_FILL = 0.8
LOG = logs.get_log('takeover')

_encode = msgspec.msgpack.Encoder().encode


class Handover(msgspec.Struct, kw_only=True, frozen=True):
    """What the claim of an earlier owner says of the rows that it has left.

    :param epoch: of the owner that wrote them.
    :param row_count: how many there are; 0 when no list was passed on.
    """

    epoch: int = 0
    row_count: int = 0


class _ListRow(msgspec.Struct, kw_only=True):
    """Row of the store.

    :param tasks: names of the tasks by worker; None where any may run.
    """

    epoch: int
    tasks: dict[str, list[str] | None]


_decode_row = decoders.create_msgpack_decoder(_ListRow)


def create_rows(tasks, *, epoch, max_row_bytes):
    """Return the rows of a list; none when it is too long.

    :param tasks: names of the tasks by worker, or None.
    :param max_row_bytes: size of the largest value that a row takes.
    """
    room = max_row_bytes * MAX_FILL
    parts, part_bytes = [{}], 0
    for worker_id, names in tasks.items():
        size = len(worker_id.encode()) + sum(map(len, names or ())) + 8
        size += 2 * len(names or ())
        if part_bytes + size > room and parts[-1]:
            parts.append({})
            part_bytes = 0
        parts[-1][worker_id] = None if names is None else sorted(names)
        part_bytes += size
    found = [
        rows.Row(
            table=rows.TABLE_POSSIBLE_RUNS,
            key=str(number),
            value=_encode(_ListRow(epoch=epoch, tasks=part)),
        )
        for number, part in enumerate(parts)
    ]
    if len(found) > MAX_ROWS or any(
        len(row.value) > max_row_bytes for row in found
    ):
        LOG.warning(
            'the list of possible runs is too long to be passed on',
            workers=len(tasks),
            rows=len(found),
        )
        return []
    return found


def decode_rows(found, handover):
    """Return the tasks that may run, by worker; None without a whole list.

    :param found: rows of the table, which may be of earlier owners.
    :param handover: :class:`Handover` of the claim that was replaced.
    """
    if not handover.row_count:
        return None
    tasks = {}
    by_key = {row.key: row for row in found}
    for number in range(handover.row_count):
        row = by_key.get(str(number))
        try:
            part = None if row is None else _decode_row(row.value)
        except msgspec.DecodeError as exc:
            LOG.error('a list of possible runs is malformed', error=str(exc))
            part = None
        if part is None or part.epoch != handover.epoch:
            LOG.warning(
                'the list of possible runs is not whole',
                epoch=handover.epoch,
                row=number,
                found_epoch=None if part is None else part.epoch,
            )
            return None
        tasks.update(part.tasks)
    return {
        worker_id: None if names is None else frozenset(names)
        for worker_id, names in tasks.items()
    }


def find_tasks(worker_ids, tasks):
    """Return the tasks that may run on some workers; None for any.

    :param worker_ids: workers in the roster.
    :param tasks: as of :func:`decode_rows`.
    """
    if tasks is None:
        return None
    found = [tasks.get(worker_id) for worker_id in worker_ids]
    return None if None in found else frozenset().union(*found)
