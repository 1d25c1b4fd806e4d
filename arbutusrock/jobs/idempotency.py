"""Finds the first request of a repeat by its Idempotency-Key, at any node.

A row is written, in a group commit, before the request is sent. While the
store is unresponsive, requests with a key are refused as not run: without
the row, another node could not tell a repeat from a first request.
"""

import hashlib

import msgspec

from arbutusrock import errors
from arbutusrock.jobs import answers
from arbutusrock.jobs import records
from arbutusrock.links import platform_client
from arbutusrock.links import table
from arbutusrock.links import upstream_client
from arbutusrock import logs
from arbutusrock.utils import clocks
from arbutusrock.utils import documents

__all__ = ['IdempotencyRegistry', 'get_fingerprint']

IDEMPOTENCY_TABLE = 'repeat'
MAX_KEY_LENGTH = 255
IN_PROGRESS_RETRY_AFTER_S = 1.0
LOG = logs.get_log('repeats')


class _Claim:
    """The row of an Idempotency-Key that this node claimed."""

    __slots__ = ('key', 'row', 'version')

    def __init__(self, *, key, row, version):
        self.key = key
        self.row = row
        self.version = version


class IdempotencyRegistry:
    """Records first requests with an Idempotency-Key and finds them again.

    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param batcher: :class:`arbutusrock.links.batches.Batcher`.
    :param members: :class:`arbutusrock.machines.Members`.
    :param upstreams: :class:`arbutusrock.links.UpstreamClient`.
    :param configuration: the configuration in force.
    """

    def __init__(
        self, *, platform, batcher, members, upstreams, configuration
    ):
        self.platform = platform
        self.batcher = batcher
        self.members = members
        self.upstreams = upstreams
        self.configuration = configuration

    async def claim(self, work, idempotency_key, fingerprint):
        """Claim a key for the first request, or find that request.

        :param idempotency_key: value of the Idempotency-Key field.
        :param fingerprint: see :func:`get_fingerprint`.
        :returns: ``(claim, None)`` for the first request and
            ``(None, row)`` for a repeat of a finished one.
        :raises errors.RepeatInProgress: while the first request runs.
        :raises errors.RepeatMismatch: when it has another fingerprint.
        :raises errors.OutcomeUnknown: when it may have run.
        """
        key = get_row_key(work.team_name, idempotency_key)
        self.platform.check_responsive()
        row = self._create_row(work, fingerprint, job='')
        while True:
            try:
                version = await self._write(key, table.ABSENT, row)
                return _Claim(key=key, row=row, version=version), None
            except platform_client.Conflicted:
                found = await self.platform.read_row(IDEMPOTENCY_TABLE, key)
            if found is None:
                continue
            first = documents.decode_row(found.value, records.IdempotencyRow)
            _check_fingerprint(first, fingerprint)
            claim = await self._try_reclaim(work, key, first, found.version)
            if claim is not None:
                return claim, None
            return None, first

    def create_job_claim(self, work, idempotency_key, fingerprint, job):
        """Return ``(condition, write)`` that claim a key for a new job."""
        key = get_row_key(work.team_name, idempotency_key)
        row = self._create_row(work, fingerprint, job)
        write = table.Write(
            table=IDEMPOTENCY_TABLE, key=key, value=documents.encode_row(row)
        )
        return self._create_condition(key, table.ABSENT), write

    async def find_first_request(self, work, idempotency_key, fingerprint):
        """Return the row of the first request, or None.

        :raises errors.RepeatMismatch: when it has another fingerprint.
        """
        key = get_row_key(work.team_name, idempotency_key)
        found = await self.platform.read_row(IDEMPOTENCY_TABLE, key)
        if found is None:
            return None
        first = documents.decode_row(found.value, records.IdempotencyRow)
        _check_fingerprint(first, fingerprint)
        return first

    def _create_row(self, work, fingerprint, job):
        return records.IdempotencyRow(
            fingerprint=fingerprint,
            task_id=work.task_id,
            owner=self.members.member_id,
            at_s=clocks.wall_time_s(),
            pool=work.pool,
            job=job,
        )

    async def _try_reclaim(self, work, key, first, version):
        """Claim the key again when the first request certainly did not run.

        :returns: the new claim; None when the request is done or is a job.
        """
        if first.job or first.state is records.IdempotencyState.DONE:
            return None
        if first.state is records.IdempotencyState.UNKNOWN:
            raise errors.OutcomeUnknown(
                'the outcome of the first request is unknown'
            )
        if first.owner in self.members.find_live():
            raise errors.RepeatInProgress(
                f'the first request runs as task {first.task_id}',
                retry_after=IN_PROGRESS_RETRY_AFTER_S,
            )
        work.task_id = first.task_id
        claim = _Claim(key=key, row=first, version=version)
        return await self._resolve_first_request(work, claim)

    async def _resolve_first_request(self, work, claim):
        """Ask every worker of the pool what became of the first request.

        Its node is not live any more, so only the workers can tell.
        """
        work.epoch = 2
        for vm in self.configuration.pool_vms.get(claim.row.pool, ()):
            outcome = await self.upstreams.resolve(
                vm, work, 'a repeat asked about its first request'
            )
            match outcome:
                case upstream_client.Answered():
                    await self.finish(claim, outcome, outcome.body)
                    raise errors.RepeatInProgress(
                        'the answer of the first request was just found',
                        retry_after=0.1,
                    )
                case upstream_client.Unknown():
                    await self.mark_unknown(claim)
                    raise errors.OutcomeUnknown(outcome.reason)
        work.epoch = 3
        row = msgspec.structs.replace(claim.row, owner=self.members.member_id)
        try:
            claim.version = await self._write(claim.key, claim.version, row)
        except platform_client.Conflicted:
            raise errors.RepeatInProgress(
                'another node claimed the key for a repeat',
                retry_after=IN_PROGRESS_RETRY_AFTER_S,
            ) from None
        claim.row = row
        return claim

    async def finish(self, claim, answered, body):
        """Store the answer for repeats."""
        stored = await answers.store_answer(
            self.platform, f'repeats/{claim.row.task_id}', answered, body
        )
        await self._update(
            claim, state=records.IdempotencyState.DONE, answer=stored
        )

    async def mark_unknown(self, claim):
        """Record that the request may have run, without an answer."""
        await self._update(claim, state=records.IdempotencyState.UNKNOWN)

    async def release(self, claim):
        """Remove the row of a request that did not run."""
        try:
            await self.batcher.commit(
                [self._create_condition(claim.key, claim.version)],
                [
                    table.Write(
                        table=IDEMPOTENCY_TABLE, key=claim.key, value=None
                    )
                ],
            )
        except (platform_client.Conflicted, errors.StoreUnavailable):
            LOG.warning(
                'the row of a request that did not run was not removed'
            )

    async def _update(self, claim, **changes):
        row = msgspec.structs.replace(claim.row, **changes)
        try:
            claim.version = await self._write(claim.key, claim.version, row)
            claim.row = row
        except (platform_client.Conflicted, errors.StoreUnavailable):
            LOG.warning(
                'the outcome for repeats was not stored', task=row.task_id
            )

    async def _write(self, key, version, row):
        return await self.batcher.commit(
            [self._create_condition(key, version)],
            [
                table.Write(
                    table=IDEMPOTENCY_TABLE,
                    key=key,
                    value=documents.encode_row(row),
                )
            ],
        )

    def _create_condition(self, key, version):
        return table.Condition(
            table=IDEMPOTENCY_TABLE, key=key, version=version
        )


def get_fingerprint(method, target, body):
    """Return the hash of a request, which its repeats must have as well."""
    digest = hashlib.sha256(f'{method} {target}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def _check_fingerprint(first, fingerprint):
    if first.fingerprint != fingerprint:
        raise errors.RepeatMismatch(
            'method, path or body differ from the first request'
        )


def get_row_key(team_name, idempotency_key):
    """Return the row key of a team's Idempotency-Key.

    :raises errors.InvalidRequest: when the field is empty or too long.
    """
    if not 0 < len(idempotency_key) <= MAX_KEY_LENGTH:
        raise errors.InvalidRequest(
            f'Idempotency-Key must have 1 to 255 characters, got '
            f'{len(idempotency_key)}'
        )
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f'{team_name}/{digest}'
