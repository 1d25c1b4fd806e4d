"""Replays of jobs that wait in a node for a slow or busy store."""

from hypothesis import given
from hypothesis import strategies as st

from arbutusrock.scheduling import batch_order


class Job:
    """A job that waits to be stored."""

    def __init__(self, account, deadline_at_s, weight=1.0):
        self.account = account
        self.weight = weight
        self.deadline_at_s = deadline_at_s


def test_flood_of_one_account_does_not_push_out_the_others():
    flood = [Job('a', number / 1000) for number in range(500)]
    others = [Job(f'b{number}', 3.0) for number in range(19)]
    ordered = batch_order.order_jobs(flood + others)
    assert set(others) <= set(ordered[:40])
    assert ordered[0] is flood[0]


def test_caller_that_returned_goes_before_new_ones_of_its_account():
    new = [Job('a', 3.0 + number / 100) for number in range(10)]
    returned = Job('a', 1.2)
    assert batch_order.order_jobs([*new, returned])[0] is returned


def test_accounts_take_turns_by_weight():
    jobs = [Job('a', n, weight=3.0) for n in range(60)]
    jobs += [Job('b', n) for n in range(60)]
    first = batch_order.order_jobs(jobs)[:40]
    assert sum(job.account == 'a' for job in first) == 30


def test_no_job_starves_while_others_keep_arriving():
    """One transaction takes four jobs; five new ones arrive meanwhile."""
    old = Job('small', 5.0, weight=0.01)
    waiting = [old]
    for turn in range(5):
        waiting += [
            Job('large', 6.0 + turn + n, weight=50.0) for n in range(5)
        ]
        taken = batch_order.order_jobs(waiting)[:4]
        if old in taken:
            return
        waiting = [job for job in waiting if job not in taken]
    raise AssertionError('the job of the small account was never taken')


@given(
    st.lists(
        st.tuples(
            st.sampled_from('abc'), st.floats(0, 10), st.floats(0.0, 9.0)
        )
    )
)
def test_order_keeps_every_job_and_the_first_of_each_account(fields):
    jobs = [Job(*item) for item in fields]
    ordered = batch_order.order_jobs(jobs)
    assert sorted(map(id, ordered)) == sorted(map(id, jobs))
    accounts = {job.account for job in jobs}
    assert {job.account for job in ordered[: len(accounts)]} == accounts
