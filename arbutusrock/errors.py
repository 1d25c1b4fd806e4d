"""Exceptions; each carries a result code of :mod:`arbutusrock.codes`."""

from arbutusrock import codes

__all__ = [
    'AccessRefused',
    'AnswerLost',
    'ArbutusrockError',
    'BodyTimeout',
    'BodyTooLarge',
    'BudgetExceeded',
    'CapacityRefused',
    'DeadlineUnreachable',
    'InternalError',
    'InvalidDocument',
    'InvalidRequest',
    'InvalidSettings',
    'JobNotFinished',
    'JobStateConflict',
    'KeyMissing',
    'KeyRefused',
    'NoWorker',
    'NodeNotServing',
    'NodeStopping',
    'NotFound',
    'OperatorRefused',
    'OutcomeUnknown',
    'QueueFull',
    'QueueRefused',
    'RepeatInProgress',
    'RepeatMismatch',
    'StateConflict',
    'StoreOutcomeUnknown',
    'StoreUnavailable',
    'Unavailable',
    'UpstreamNotRun',
    'VersionConflict',
]


class ArbutusrockError(Exception):
    """Base of all errors.

    ``code`` is the result code, and ``run`` tells whether the request that
    failed was executed.

    :param detail: what happened and to which objects.
    :param retry_after: seconds after which the caller may try again.
    """

    code = codes.INTERNAL
    run = codes.ExecutionStatus.NOT_RUN

    def __init__(self, detail, *, retry_after=None):
        super().__init__(detail)
        self.detail = detail
        self.retry_after = retry_after

    def __str__(self):
        return f'{self.code.label} {self.code.title}: {self.detail}'


class InternalError(ArbutusrockError):
    """A defect of this program; the request may have been executed."""

    run = codes.ExecutionStatus.UNKNOWN


class InvalidInput(ArbutusrockError):
    """Base of the errors for input that breaks a documented rule."""


class InvalidSettings(InvalidInput):
    """The settings file breaks a rule."""

    code = codes.INVALID_SETTINGS


class InvalidDocument(InvalidInput):
    """A document of an operator, such as a contract, breaks a rule."""

    code = codes.INVALID_DOCUMENT


class InvalidRequest(InvalidInput):
    """A request breaks a rule."""

    code = codes.INVALID_REQUEST


class BodyTooLarge(InvalidInput):
    """A request body is larger than the limit."""

    code = codes.BODY_TOO_LARGE


class BodyTimeout(InvalidInput):
    """The next part of a request body did not arrive in time."""

    code = codes.BODY_TIMEOUT


class NotFound(InvalidInput):
    """An object does not exist."""

    code = codes.NOT_FOUND


class AccessRefused(ArbutusrockError):
    """Base of the errors for a missing permission."""


class KeyMissing(AccessRefused):
    """The request carries no key."""

    code = codes.KEY_MISSING


class KeyRefused(AccessRefused):
    """The key is unknown or withdrawn."""

    code = codes.KEY_REFUSED


class QueueRefused(AccessRefused):
    """The team is not allowed to use the queue."""

    code = codes.QUEUE_REFUSED


class OperatorRefused(AccessRefused):
    """The operator token is missing or unknown."""

    code = codes.OPERATOR_REFUSED


class CapacityRefused(ArbutusrockError):
    """Base of the errors for capacity that is missing at present."""


class QueueFull(CapacityRefused):
    """The queue has reached its maximum length."""

    code = codes.QUEUE_FULL


class DeadlineUnreachable(CapacityRefused):
    """The request cannot start before its deadline."""

    code = codes.DEADLINE_UNREACHABLE


class NoWorker(CapacityRefused):
    """The pool has no worker that can accept work."""

    code = codes.NO_WORKER


class Unavailable(ArbutusrockError):
    """Base of the errors for a node that cannot serve at present."""


class NodeStopping(Unavailable):
    """The node is shutting down gracefully."""

    code = codes.NODE_STOPPING


class NodeNotServing(Unavailable):
    """The node has no valid lease, so it must not start work."""

    code = codes.NODE_NOT_SERVING


class StoreUnavailable(Unavailable):
    """The table service or the object store does not answer.

    ``change_id`` is the id of the transaction whose outcome is not known;
    empty when there is none.
    """

    code = codes.STORE_UNAVAILABLE
    change_id = ''


class StoreOutcomeUnknown(Unavailable):
    """The store did not answer, so the job may or may not be stored."""

    code = codes.STORE_OUTCOME_UNKNOWN
    run = codes.ExecutionStatus.UNKNOWN


class UpstreamError(ArbutusrockError):
    """Base of the errors for a request without an answer of a worker."""


class UpstreamNotRun(UpstreamError):
    """No worker accepted the request, so it did not run."""

    code = codes.UPSTREAM_NOT_RUN


class OutcomeUnknown(UpstreamError):
    """The request may or may not have run."""

    code = codes.OUTCOME_UNKNOWN
    run = codes.ExecutionStatus.UNKNOWN


class AnswerLost(UpstreamError):
    """The request ran, but its answer is no longer available."""

    code = codes.ANSWER_LOST
    run = codes.ExecutionStatus.RAN


class Conflict(ArbutusrockError):
    """Base of the errors for an action that a present state forbids."""


class RepeatInProgress(Conflict):
    """The first request with this Idempotency-Key is still running."""

    code = codes.REPEAT_IN_PROGRESS
    run = codes.ExecutionStatus.UNKNOWN


class RepeatMismatch(Conflict):
    """The Idempotency-Key was used before for a different request."""

    code = codes.REPEAT_MISMATCH


class JobNotFinished(Conflict):
    """The job has no answer yet."""

    code = codes.JOB_NOT_FINISHED
    run = codes.ExecutionStatus.UNKNOWN


class JobStateConflict(Conflict):
    """The state of the job forbids the action."""

    code = codes.JOB_STATE_CONFLICT


class VersionConflict(Conflict):
    """Another change was accepted first."""

    code = codes.VERSION_CONFLICT


class BudgetExceeded(Conflict):
    """An availability budget forbids the action."""

    code = codes.BUDGET_EXCEEDED


class StateConflict(Conflict):
    """The state of a VM or wave forbids the action."""

    code = codes.STATE_CONFLICT
