"""How the progress of a job is divided over rows of bounded size.

Load: jobs of thousands of open tasks, whose progress grows until no row takes
it. What decides whether a task may start must never be left out, as the next
owner would start it again.

The progress of a small job is one row, written as a whole. Once it has grown
longer than ``MAX_WHOLE_BYTES``, it is divided: a head with the state of the
job, and parts with the state of ``TASKS_PER_PART`` tasks each, of which only
those are written that have changed. The tasks of all occurrences are numbered
one after the other for this. An occurrence that has finished takes a bit of
the head; parts with nothing but finished occurrences are removed.

A part that is too long for one row takes several, which are written together.
"""

import bisect
import itertools

import msgspec

from arbutusrock.engine.jobs import plans
from arbutusrock.scheduling import crash_attribution
from arbutusrock.utils import decoders

__all__ = [
    'EMPTY_PART',
    'MAX_WHOLE_BYTES',
    'TASKS_PER_PART',
    'Layout',
    'StoredProgress',
    'create_part_key',
    'group_rows',
    'parse_key',
]

# Longest row of a progress that is not divided.
MAX_WHOLE_BYTES = 8192
TASKS_PER_PART = 64
# Between a job's id, the number of a part, and that of a further row of it.
SEPARATOR = '/'


class _Head(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Row of the state of a job whose progress is divided.

    :param finished: bitmap of the occurrences whose tasks are all done. Its
        type differs from that of :class:`plans.JobProgress`: a program that
        does not know of parts must not take the job for one without progress.
    """

    status: str = plans.JobStatus.RUNNING
    finished: bytes = b''
    ended_ms: float = 0.0
    suspended: bool = False
    tasks_per_part: int


class _Part(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Row of a part; tasks go by their position in it.

    :param done: bitmap of the done tasks.
    """

    done: bytes = b''
    failed_runs: dict[int, list[int]] = {}
    checkpoints: dict[int, str] = {}
    crashes: dict[int, list[crash_attribution.CrashRecord]] = {}
    unresolved: dict[int, list[crash_attribution.UnresolvedRun]] = {}


class _Form(msgspec.Struct):
    """The field that tells a head from a whole progress."""

    tasks_per_part: int = 0


# Entries by task, which the whole progress and the parts both have.
_DETAILS = ('failed_runs', 'checkpoints', 'crashes', 'unresolved')

EMPTY_PART = plans.encode_row(_Part())
_decode_form = decoders.create_msgpack_decoder(_Form)
_decode_head = decoders.create_msgpack_decoder(_Head)
_decode_part = decoders.create_msgpack_decoder(_Part)


class _Span:
    """Tasks of one step that follow each other in a part.

    :param first: index of the first one in its step.
    :param position: its position in the part.
    """

    __slots__ = ('occurrence', 'step', 'first', 'count', 'position')

    def __init__(self, *, occurrence, step, first, count, position):
        self.occurrence = occurrence
        self.step = step
        self.first = first
        self.count = count
        self.position = position

    @property
    def key(self):
        """Key of the step in a whole progress."""
        return f'{self.occurrence}.{self.step}'

    @property
    def mask(self):
        """Bits of its tasks, from the lowest on."""
        return (1 << self.count) - 1


class Layout:
    """Division of the progress of one job.

    :param plan: :class:`plans.JobPlan`.
    :param tasks_per_part: as stored with the job.
    :ivar changed: numbers of the parts that differ from their rows.
    :ivar obsolete: numbers of the parts of which nothing is needed any more.
    :ivar head_changed: whether the head differs from its row.
    """

    __slots__ = (
        'plan',
        'tasks_per_part',
        'changed',
        'obsolete',
        'head_changed',
        '_offsets',
        '_occurrences',
    )

    def __init__(self, *, plan, tasks_per_part=TASKS_PER_PART):
        self.plan = plan
        self.tasks_per_part = tasks_per_part
        self.changed = set()
        self.obsolete = set()
        self.head_changed = False
        # Number of the first task of each step in an occurrence; the last
        # entry is the number of tasks of an occurrence.
        self._offsets = [
            0,
            *itertools.accumulate(step.count for step in plan.steps),
        ]
        self._occurrences = max(1, plan.times)

    def mark_task(self, occurrence, step, index):
        """Record that the state of a task has changed."""
        number = occurrence * self._offsets[-1] + self._offsets[step] + index
        self.changed.add(number // self.tasks_per_part)

    def mark_all(self, progress, stored):
        """Record that everything has to be written.

        :param progress: :class:`plans.JobProgress`.
        :param stored: numbers of the parts that are in the store.
        """
        self.head_changed = True
        self.changed.update(stored)
        for key in progress.done:
            occurrence, step = map(int, key.split('.'))
            count = self.plan.steps[step].count
            for index in range(0, count, self.tasks_per_part):
                self.mark_task(occurrence, step, index)
            self.mark_task(occurrence, step, count - 1)
        for name in _DETAILS:
            for key in getattr(progress, name):
                self.mark_task(*map(int, key.split('.')))

    def mark_finished(self, occurrence, finished):
        """Record that an occurrence has finished.

        :param finished: numbers of all that have.
        """
        self.head_changed = True
        first, end = self._get_parts(occurrence)
        for number in range(first, end):
            if all(
                other in finished or other >= self._occurrences
                for other in self._get_occurrences(number)
            ):
                self.obsolete.add(number)
                self.changed.discard(number)

    def _get_parts(self, occurrence):
        """Return the range of the parts with tasks of an occurrence."""
        tasks = self._offsets[-1]
        last = (occurrence + 1) * tasks - 1
        return (
            occurrence * tasks // self.tasks_per_part,
            last // self.tasks_per_part + 1,
        )

    def _get_occurrences(self, number):
        """Return the occurrences that have tasks in a part."""
        first = number * self.tasks_per_part
        tasks = self._offsets[-1]
        return range(
            first // tasks, (first + self.tasks_per_part - 1) // tasks + 1
        )

    def _iterate_spans(self, number):
        """Yield the :class:`_Span` of each step in a part."""
        tasks, size = self._offsets[-1], self.tasks_per_part
        for occurrence in self._get_occurrences(number):
            if occurrence >= self._occurrences:
                return
            # Position of the occurrence's first task in the part.
            base = occurrence * tasks - number * size
            step = bisect.bisect_right(self._offsets, max(0, -base)) - 1
            while step < len(self.plan.steps):
                first = max(0, -(base + self._offsets[step]))
                position = base + self._offsets[step] + first
                if position >= size:
                    return
                count = min(
                    self.plan.steps[step].count - first, size - position
                )
                yield _Span(
                    occurrence=occurrence,
                    step=step,
                    first=first,
                    count=count,
                    position=position,
                )
                step += 1

    def encode_head(self, progress):
        """Return the bytes of the head of a :class:`plans.JobProgress`."""
        finished = 0
        for number in progress.finished:
            finished |= 1 << number
        return plans.encode_row(
            _Head(
                status=progress.status,
                finished=_encode_bits(finished),
                ended_ms=progress.ended_ms,
                suspended=progress.suspended,
                tasks_per_part=self.tasks_per_part,
            )
        )

    def encode_part(self, progress, number, max_bytes):
        """Return the bytes of the rows of a part.

        :param progress: :class:`plans.JobProgress`.
        :param max_bytes: of one row.
        :returns: at least one row. A task with an entry that no row takes is
            in a row that is too long.
        """
        done, positions = 0, {}
        for span in self._iterate_spans(number):
            if span.occurrence in progress.finished:
                done |= span.mask << span.position
                continue
            bits = progress.done.get(span.key)
            if bits:
                found = int.from_bytes(bits, 'little') >> span.first
                done |= (found & span.mask) << span.position
            positions.update(
                (span.position + index, f'{span.key}.{span.first + index}')
                for index in range(span.count)
            )
        details = {
            name: _select(getattr(progress, name), positions)
            for name in _DETAILS
        }
        return _encode_chunks(_encode_bits(done), details, max_bytes)

    def restore_part(self, progress, number, chunks):
        """Add the rows of a part to a :class:`plans.JobProgress`.

        Occurrences that have finished are left out.

        :param chunks: bytes of its rows.
        :raises msgspec.DecodeError: when one of them is not valid.
        """
        parts = [_decode_part(chunk) for chunk in chunks]
        done = int.from_bytes(parts[0].done, 'little')
        positions = {}
        for span in self._iterate_spans(number):
            if span.occurrence in progress.finished:
                continue
            found = done >> span.position & span.mask
            if found:
                bits = progress.done.get(span.key, b'')
                progress.done[span.key] = _encode_bits(
                    int.from_bytes(bits, 'little') | found << span.first
                )
            positions.update(
                (span.position + index, f'{span.key}.{span.first + index}')
                for index in range(span.count)
            )
        for part, name in itertools.product(parts, _DETAILS):
            target = getattr(progress, name)
            for position, value in getattr(part, name).items():
                if position in positions:
                    target[positions[position]] = value


class StoredProgress:
    """Rows of the progress of one job, as read.

    :ivar head: the row of the head or of the whole progress; None when there
        is none yet.
    :ivar versions: version of each row by its key.
    """

    __slots__ = ('head', 'versions', '_parts')

    def __init__(self):
        self.head = None
        self.versions = {}
        # Rows of each part, by its number.
        self._parts = {}

    def add(self, row, number):
        """Add a row.

        :param number: of its part; None for the head.
        """
        self.versions[row.key] = row.version
        if number is None:
            self.head = row
        else:
            self._parts.setdefault(number, []).append(row)

    def decode(self, plan):
        """Return ``(progress, layout)``.

        :param plan: :class:`plans.JobPlan`.
        :returns: :class:`plans.JobProgress`, and its :class:`Layout`; None
            while it is not divided. Without a head both are None: parts that
            were written before it are written again.
        :raises msgspec.DecodeError: when one of the rows is not valid.
        """
        if self.head is None:
            return None, None
        if not _decode_form(self.head.value).tasks_per_part:
            return plans.decode_progress(self.head.value), None
        head = _decode_head(self.head.value)
        layout = Layout(plan=plan, tasks_per_part=head.tasks_per_part)
        bits = int.from_bytes(head.finished, 'little')
        progress = plans.JobProgress(
            status=head.status,
            ended_ms=head.ended_ms,
            suspended=head.suspended,
            finished={
                number
                for number in range(len(head.finished) * 8)
                if bits >> number & 1
            },
        )
        if progress.status not in plans.JobStatus.ENDED:
            for number, found in self._parts.items():
                found.sort(key=lambda row: row.key)
                chunks = [row.value for row in found]
                layout.restore_part(progress, number, chunks)
        return progress, layout


def create_part_key(job_id, number, chunk=0):
    """Return the key of a row of a part.

    >>> create_part_key('5c0e7a21d94b36f8', 17)
    '5c0e7a21d94b36f8/17'
    >>> create_part_key('5c0e7a21d94b36f8', 17, 1)
    '5c0e7a21d94b36f8/17/01'
    """
    key = f'{job_id}{SEPARATOR}{number}'
    return f'{key}{SEPARATOR}{chunk:02d}' if chunk else key


def parse_key(key):
    """Return ``(job_id, part)`` of a row; the part of a head is None.

    >>> parse_key('5c0e7a21d94b36f8/17/01')
    ('5c0e7a21d94b36f8', 17)
    >>> parse_key('5c0e7a21d94b36f8')
    ('5c0e7a21d94b36f8', None)
    """
    job_id, *rest = key.split(SEPARATOR)
    if not rest or not rest[0].isdigit():
        return key, None
    return job_id, int(rest[0])


def group_rows(found):
    """Return the :class:`StoredProgress` of each job."""
    stored = {}
    for row in found:
        job_id, number = parse_key(row.key)
        if job_id not in stored:
            stored[job_id] = StoredProgress()
        stored[job_id].add(row, number)
    return stored


def _encode_bits(bits):
    return bits.to_bytes((bits.bit_length() + 7) // 8, 'little')


def _select(entries, positions):
    """Return the entries of the tasks of a part by their position."""
    if not entries:
        return {}
    return {
        position: entries[key]
        for position, key in positions.items()
        if key in entries
    }


def _encode_chunks(done, details, max_bytes):
    """Encode a part in rows; the tasks are halved until each fits."""
    data = plans.encode_row(_Part(done=done, **details))
    if len(data) <= max_bytes:
        return [data]
    positions = sorted({item for found in details.values() for item in found})
    if len(positions) < 2:
        return [data]
    middle = positions[len(positions) // 2]
    halves = [
        {
            name: {
                position: value
                for position, value in found.items()
                if (position >= middle) == upper
            }
            for name, found in details.items()
        }
        for upper in (False, True)
    ]
    return [
        *_encode_chunks(done, halves[0], max_bytes),
        *_encode_chunks(b'', halves[1], max_bytes),
    ]
