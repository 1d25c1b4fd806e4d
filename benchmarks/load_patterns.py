"""Load patterns of the simulated fleet, as their YAML files hold them."""

import msgspec

__all__ = [
    'ACCOUNTS',
    'AccountPattern',
    'Pattern',
    'QueuePattern',
    'create_accounts',
]

# Client accounts that submit jobs in turn where a pattern names none.
ACCOUNTS = 10


class QueuePattern(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Load of one queue; each queue has a pool of its own.

    :param jobs_per_s: mean rate over the day.
    :param steps: mean number of steps, one after the other.
    :param width: mean number of tasks of a step.
    :param cores: mean cores of a task.
    :param task_s: mean duration of a task.
    :param declared_error: sigma of the logarithm of declared over true
        durations.
    :param stretch: factor on the critical path in the objective.
    :param objective_s: fixed part of the objective.
    :param value: value of a job of mean work that ends in time.
    :param serving_tasks: tasks that run all day.
    :param pool: pool that it shares with other queues; empty for its own.
    :param gang: whether the tasks of a step start together.
    :param uneven: sigma of the logarithm of a task's duration over its job's.
    :param tail: fraction of tasks that take ``tail_factor`` times as long.
    :param steady: jobs arrive at the mean rate all the time.
    """

    jobs_per_s: float
    steps: float = 1.6
    width: float = 8.0
    cores: float = 4.0
    task_s: float = 0.8
    declared_error: float = 0.5
    stretch: float = 1.6
    objective_s: float = 0.6
    value: float = 1.0
    urgency: int = 0
    serving_tasks: int = 20
    serving_cores: float = 4.0
    vms: int = 20
    pool: str = ''
    gang: bool = False
    uneven: float = 0.15
    tail: float = 0.0
    tail_factor: float = 7.0
    steady: bool = False


class AccountPattern(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A client account, or several alike.

    :param part: its part of all jobs.
    :param weight: share of the account, and its jobs per second.
    :param count: number of accounts of this kind.
    :param hot_factor: factor on its jobs from ``hot_at_s`` for ``hot_s``.
    """

    part: float
    weight: float
    count: int = 1
    hot_factor: float = 1.0
    hot_at_s: float = 0.0
    hot_s: float = 0.0


class Pattern(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A load pattern.

    :param burst_factor: rate in a burst over the mean rate; the queues burst
        by turns.
    :param burst_s: duration of a burst.
    :param rounds: how often each queue bursts.
    :param sudden: bursts have their full rate at once, instead of a rise and
        a fall of half a sine wave.
    :param together: the queues burst all at once, every ``2 * burst_s``.
    :param accounts: accounts by name; by default one for all jobs.
    :param late_value: value of a late job as a fraction of one in time.
    """

    queues: dict[str, QueuePattern]
    spare_vms: int = 10
    vm_cores: float = 32.0
    burst_factor: float = 4.0
    quiet_factor: float = 0.05
    burst_s: float = 8.0
    rounds: int = 1
    move_s: float = 1.5
    late_value: float = 0.07
    sudden: bool = False
    together: bool = False
    accounts: dict[str, AccountPattern] = {}


def create_accounts(pattern):
    """Return each :class:`AccountPattern` by the name of the account."""
    if not pattern.accounts:
        return {
            f'a{number}': AccountPattern(part=1 / ACCOUNTS, weight=1e9)
            for number in range(ACCOUNTS)
        }
    return {
        f'{name}-{number}': account
        for name, account in pattern.accounts.items()
        for number in range(account.count)
    }
