"""Stored list of the workers that may hold runs, in rows of bounded size.

Load: a fleet of thousands of workers. A list in one row grows with the fleet
until the store refuses it, and with it everything in the same transaction. It
is kept in segments instead, each in a row of its own. A segment has room for a
fixed number of workers, so that their rows fit whatever the names are, and a
change writes the row of its segment only.

The next owner reads the rows after its claim. Each of them is written with the
condition that the claim is unchanged, so none changes from then on.
"""

import msgspec

from arbutusrock.engine.ports import rows
from arbutusrock import logs
from arbutusrock.utils import decoders

__all__ = ['MAX_NAME_BYTES', 'Roster', 'build_roster']

# Longest name of a worker, a pool or a VM; the store takes keys of this size.
MAX_NAME_BYTES = 200
# Encoded size of a worker: three names and the bytes that frame them.
MAX_ENTRY_BYTES = 3 * (MAX_NAME_BYTES + 3) + 1
LOG = logs.get_log('journal')

_encode = msgspec.msgpack.Encoder().encode
_decode = decoders.create_msgpack_decoder(dict[str, tuple[str, str]])


class _Segment:
    """One row.

    :param stored: its workers in the store.
    :param version: version of the row; 0 while there is none.
    """

    __slots__ = ('stored', 'version', 'count')

    def __init__(self, *, stored=None, version=0):
        self.stored = stored or {}
        self.version = version
        # Number of workers that are assigned to it.
        self.count = len(self.stored)


class SegmentWrite:
    """A changed segment.

    :param number: number of the segment.
    :param workers: its workers from now on.
    :param row: row to write.
    :param condition: the row as it was read or last written. An attempt that
        is carried out late must not replace a later one.
    """

    __slots__ = ('number', 'workers', 'row', 'condition')

    def __init__(self, *, number, workers, row, condition):
        self.number = number
        self.workers = workers
        self.row = row
        self.condition = condition

    @property
    def value(self):
        """Bytes of the row."""
        return self.row.value


class Roster:
    """Segments of the roster, as far as this owner knows.

    :param row_bytes: size of the largest value that a row takes.
    """

    __slots__ = (
        'max_workers',
        'is_complete',
        '_segments',
        '_numbers',
        '_wanted',
        '_changed',
    )

    def __init__(self, *, row_bytes):
        # Number of workers that a segment has room for.
        self.max_workers = max(1, row_bytes // MAX_ENTRY_BYTES)
        # Whether all rows of the earlier owner could be decoded.
        self.is_complete = True
        self._segments = []
        # Segment by worker.
        self._numbers = {}
        self._wanted = {}
        # Numbers of the segments that differ from their rows.
        self._changed = []

    def __len__(self):
        return sum(len(segment.stored) for segment in self._segments)

    def __contains__(self, worker_id):
        number = self._numbers.get(worker_id)
        return (
            number is not None and worker_id in self._segments[number].stored
        )

    def load(self, found):
        """Take over the rows of the earlier owner.

        A row that cannot be decoded is set aside, and written anew with the
        next change of its segment. Which workers it held is not known then.

        :param found: all rows of the roster, read after the claim.
        :returns: its workers: id to (pool, VM).
        """
        for row in sorted(found, key=lambda item: int(item.key)):
            number = int(row.key)
            while len(self._segments) <= number:
                self._segments.append(_Segment())
            try:
                workers = _decode(row.value)
            except msgspec.DecodeError as exc:
                LOG.error(
                    'a segment of the roster cannot be decoded',
                    segment=number,
                    bytes=len(row.value),
                    error=str(exc),
                )
                self.is_complete, workers = False, {}
            self._segments[number] = _Segment(
                stored=workers, version=row.version
            )
            self._wanted.update(workers)
            self._numbers.update(dict.fromkeys(workers, number))
        return dict(self._wanted)

    def update(self, fleet):
        """Compare the roster with a fleet; return whether rows are due."""
        wanted = build_roster(fleet)
        if wanted != self._wanted:
            self._assign(wanted)
            self._wanted = wanted
            self._changed = self._find_changed()
        return bool(self._changed)

    def _assign(self, wanted):
        """Assign a segment to each worker; it stays until the worker goes."""
        for worker_id in self._numbers.keys() - wanted.keys():
            self._segments[self._numbers.pop(worker_id)].count -= 1
        number = 0
        for worker_id in wanted:
            if worker_id in self._numbers:
                continue
            while (
                number < len(self._segments)
                and self._segments[number].count >= self.max_workers
            ):
                number += 1
            if number == len(self._segments):
                self._segments.append(_Segment())
            self._segments[number].count += 1
            self._numbers[worker_id] = number

    def _find_changed(self):
        found = self._collect()
        return [
            number
            for number, segment in enumerate(self._segments)
            if found[number] != segment.stored
        ]

    def _collect(self):
        """Return the workers of each segment."""
        found = [{} for _ in self._segments]
        for worker_id, number in self._numbers.items():
            found[number][worker_id] = self._wanted[worker_id]
        return found

    def create_due_writes(self):
        """Return a :class:`SegmentWrite` for each changed segment."""
        if not self._changed:
            return []
        found = self._collect()
        return [
            SegmentWrite(
                number=number,
                workers=found[number],
                row=rows.Row(
                    table=rows.TABLE_ROSTER,
                    key=str(number),
                    value=_encode(found[number]),
                ),
                condition=rows.Row(
                    table=rows.TABLE_ROSTER,
                    key=str(number),
                    version=self._segments[number].version,
                ),
            )
            for number in self._changed
        ]

    def record_durable(self, writes, version):
        """Record that segments were written.

        :param version: version of their rows.
        """
        for write in writes:
            segment = self._segments[write.number]
            segment.stored = write.workers
            segment.version = version
        if writes:
            self._changed = self._find_changed()
            LOG.debug(
                'the roster is written',
                segments=len(writes),
                of=len(self._segments),
                workers=len(self),
                version=version,
            )


def build_roster(fleet):
    """Return the workers that may hold runs: (pool, VM) by worker id.

    One whose incarnation is over may, too, while a start order to it has no
    answer.
    """
    return {
        worker.worker_id: (worker.entry.pool, worker.entry.vm)
        for worker in fleet.workers.values()
        if not worker.ended or worker.runs
    }
