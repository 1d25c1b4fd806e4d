"""The rows with the progress of the owner's jobs, and which of them are due.

The rows of a job are written in this order: parts, then the head, then parts
that are not needed any more are removed. An owner that is lost in between
leaves rows that say no less than what workers were told to forget.

A job with a row that the store refuses is suspended: it starts nothing more
until the row was written. That is stored with its head, so that the next
owner, which does not know what the row would have said, starts nothing of it
either.
"""

from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import progress_layout
from arbutusrock import logs

__all__ = ['ProgressRows', 'ProgressWrite']

LOG = logs.get_log('journal')


class ProgressWrite:
    """Rows of one job that are written together.

    :param job: :class:`arbutusrock.engine.jobs.job_state.Job`.
    :param number: of the part; None for the head or the whole progress.
    :param rows: each with the version that it must have.
    :param obsolete: numbers of the parts that are not needed any more once
        this head is stored.
    """

    __slots__ = ('job', 'number', 'rows', 'obsolete', 'suspended', 'ended')

    def __init__(self, *, job, number, rows, obsolete=frozenset()):
        self.job = job
        self.number = number
        self.rows = rows
        self.obsolete = obsolete
        # State of the job that the rows tell of.
        self.suspended = job.progress.suspended
        self.ended = job.ended


class ProgressRows:
    """Stored rows of the progress of all jobs, as far as this owner knows.

    :param job_registry: names the jobs that have changed.
    :param refused: :class:`arbutusrock.engine.state.refused_rows.RefusedRows`.
    :param max_row_bytes: size of the largest value that a row takes.
    :ivar unrecorded: ids of the jobs with a refused row whose suspension is
        not stored yet. What workers report of them must not be acknowledged.
    """

    def __init__(self, *, job_registry, refused, max_row_bytes):
        self.job_registry = job_registry
        self.refused = refused
        self.max_row_bytes = max_row_bytes
        self.unrecorded = set()
        # Version of each row by its key, by job.
        self._versions = {}
        # Suspended by this owner, with rows that are set aside.
        self._suspended = {}
        # Keys of rows that are not needed any more, by job.
        self._removable = {}

    def record_read(self, job_id, stored):
        """Take over the rows of a job.

        :param stored: :class:`progress_layout.StoredProgress`.
        """
        self._versions[job_id] = dict(stored.versions)

    def get_keys(self, job_id):
        """Return the keys of all stored rows of a job."""
        return list(self._versions.get(job_id, ()))

    def forget(self, job_id):
        """Forget a job whose rows were removed."""
        for key in self.get_keys(job_id):
            self.refused.forget(rows.TABLE_PROGRESS, key)
        self._versions.pop(job_id, None)
        self._suspended.pop(job_id, None)
        self._removable.pop(job_id, None)
        self.unrecorded.discard(job_id)

    def create_due_writes(self, now_s):
        """Return a :class:`ProgressWrite` for all that has changed.

        Those of a job have to be written in their order.
        """
        for job in list(self._suspended.values()):
            if not (job.layout.changed or job.layout.head_changed):
                # All rows that were set aside have been written since.
                del self._suspended[job.job_id]
                self.unrecorded.discard(job.job_id)
                self.job_registry.resume(job)
        jobs = {**self._suspended, **self.job_registry.dirty_jobs}
        self.job_registry.dirty_jobs.clear()
        found = []
        for job in jobs.values():
            found += self._create_writes(job, now_s)
        return found

    def _create_writes(self, job, now_s):
        if job.layout is None:
            data = plans.encode_row(job.progress)
            if len(data) <= min(
                progress_layout.MAX_WHOLE_BYTES, self.max_row_bytes
            ):
                row = self._create_row(job, job.job_id, data)
                return [ProgressWrite(job=job, number=None, rows=[row])]
            self._divide(job)
        layout, found = job.layout, []
        if not job.ended:
            due = [
                number
                for number in sorted(layout.changed)
                if not self._is_held(
                    progress_layout.create_part_key(job.job_id, number), now_s
                )
            ]
            layout.changed.difference_update(due)
            found += [self._create_part(job, number) for number in due]
        if layout.head_changed and not self._is_held(job.job_id, now_s):
            found.append(self._create_head(job))
        return found

    def _create_head(self, job):
        layout = job.layout
        # Parts that become obsolete while it is written go with the next one.
        obsolete, layout.obsolete = layout.obsolete, set()
        layout.head_changed = False
        data = layout.encode_head(job.progress)
        return ProgressWrite(
            job=job,
            number=None,
            rows=[self._create_row(job, job.job_id, data)],
            obsolete=obsolete,
        )

    @staticmethod
    def _take_back_head(write):
        """Have a head written anew that was not written."""
        write.job.layout.head_changed = True
        write.job.layout.obsolete |= write.obsolete

    def _is_held(self, key, now_s):
        return self.refused.is_held(rows.TABLE_PROGRESS, key, now_s)

    def _divide(self, job):
        """Divide the progress of a job over several rows from now on."""
        job.layout = progress_layout.Layout(plan=job.plan)
        stored = {
            progress_layout.parse_key(key)[1]
            for key in self._versions.get(job.job_id, ())
        }
        job.layout.mark_all(job.progress, stored - {None})
        LOG.info(
            'the progress of a job is divided',
            job=job.job_id,
            parts=len(job.layout.changed),
        )

    def _create_part(self, job, number):
        chunks = job.layout.encode_part(
            job.progress, number, self.max_row_bytes
        )
        keys = [
            progress_layout.create_part_key(job.job_id, number, chunk)
            for chunk in range(len(chunks))
        ]
        # Further rows that the part took before are emptied.
        versions = self._versions.get(job.job_id, {})
        while (
            key := progress_layout.create_part_key(
                job.job_id, number, len(keys)
            )
        ) in versions:
            keys.append(key)
            chunks.append(progress_layout.EMPTY_PART)
        return ProgressWrite(
            job=job,
            number=number,
            rows=[
                self._create_row(job, key, value)
                for key, value in zip(keys, chunks, strict=True)
            ],
        )

    def _create_row(self, job, key, value):
        versions = self._versions.get(job.job_id, {})
        return rows.Row(
            table=rows.TABLE_PROGRESS,
            key=key,
            value=value,
            version=versions.get(key, 0),
        )

    def record_written(self, write, version):
        """Record that a :class:`ProgressWrite` was written.

        :param version: version of its rows.
        """
        job = write.job
        versions = self._versions.setdefault(job.job_id, {})
        removable = self._removable.get(job.job_id, set())
        for row in write.rows:
            versions[row.key] = version
            removable.discard(row.key)
        if write.number is None:
            self._record_head(write, versions)

    def _record_head(self, write, versions):
        job = write.job
        if write.suspended or write.ended:
            self.unrecorded.discard(job.job_id)
        if write.ended:
            self._suspended.pop(job.job_id, None)
        if job.layout is None:
            return
        removable = {
            key
            for key in versions
            if key != job.job_id
            and (
                write.ended
                or progress_layout.parse_key(key)[1] in write.obsolete
            )
        }
        if removable:
            self._removable.setdefault(job.job_id, set()).update(removable)

    def record_refused(self, write, cause, now_s):
        """Set a write aside that the store refuses, and suspend its job.

        :param cause: what the store has answered.
        """
        job = write.job
        self.refused.record(write.rows[0], cause, now_s)
        if job.layout is None:
            # Its head is another row under the same key.
            self.refused.forget(rows.TABLE_PROGRESS, job.job_id)
            self._divide(job)
        elif write.number is None:
            self._take_back_head(write)
        else:
            job.layout.changed.add(write.number)
        self._suspended[job.job_id] = job
        if not job.progress.suspended:
            self.unrecorded.add(job.job_id)
            self.job_registry.suspend(job)
            LOG.error(
                'a job is suspended: its progress cannot be stored',
                job=job.job_id,
                account=job.submission.account,
                queue=job.submission.queue,
            )

    def remove_orphans(self, stored, job_ids):
        """Have the rows removed that belong to no job.

        They are left by an owner that was lost while it removed a job.

        :param stored: :class:`progress_layout.StoredProgress` by job.
        :param job_ids: ids of all jobs that have a row.
        """
        for job_id, found in stored.items():
            if job_id not in job_ids:
                self.record_read(job_id, found)
                self._removable[job_id] = set(found.versions)

    def leave_out_outdated(self, writes):
        """Return writes without heads that have to be encoded again.

        Such a head does not say that its job has been suspended since.
        """
        kept = []
        for write in writes:
            job = write.job
            if (
                write.number is None
                and job.layout is not None
                and write.suspended != job.progress.suspended
            ):
                self._take_back_head(write)
            else:
                kept.append(write)
        return kept

    def get_removable(self):
        """Return ``(job_id, key)`` of each row that is not needed any more."""
        return [
            (job_id, key)
            for job_id, keys in self._removable.items()
            for key in sorted(keys)
        ]

    def record_removed(self, removed):
        """Record that rows were removed.

        :param removed: some of :meth:`get_removable`.
        """
        for job_id, key in removed:
            keys = self._removable.get(job_id, set())
            keys.discard(key)
            if not keys:
                self._removable.pop(job_id, None)
            versions = self._versions.get(job_id, {})
            versions.pop(key, None)
            if not versions:
                self._versions.pop(job_id, None)
            self.refused.forget(rows.TABLE_PROGRESS, key)
