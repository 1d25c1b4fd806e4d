"""Commands for jobs.

Submitting a job and fetching its answer need a caller's key, all others an
operator token.
"""

import asyncio
import pathlib
import sys

from arbutusrock import codes
from arbutusrock.commands import client as client_module
from arbutusrock.commands import output

__all__ = [
    'cancel_job',
    'fetch_answer',
    'retry_job',
    'show_job',
    'submit_job',
    'wait_for_job',
]

POLL_INTERVAL_S = 0.5
WAIT_END_STATES = ('done', 'failed', 'cancelled', 'parked')


def submit_job(
    service: str,
    path: str,
    *,
    method: str = 'POST',
    body: pathlib.Path | None = None,
    queue: str = '',
    repeat_key: str = '',
    json: bool = False,
    server: str = '',
):
    """Submit a job as a caller, with the key in ARBUTUSROCK_KEY.

    :param service: name of the service
    :param path: path below the service
    :param method: HTTP method
    :param body: file with the body of the request
    :param queue: name of the queue; the first queue of the service when left
        out
    :param repeat_key: value of the Idempotency-Key header; a repeated request
        with the same value returns the job of the first one
    :param json: print JSON
    :param server: base URL of a daemon's interface for callers; taken from
        ARBUTUSROCK_CALLERS when left out
    """
    client = client_module.create_client(server=server, as_caller=True)
    headers = {'Prefer': 'respond-async'}
    if queue:
        headers['Arbutusrock-Queue'] = queue
    if repeat_key:
        headers['Idempotency-Key'] = repeat_key
    view = client.call(
        method,
        f'/services/{service}/{path.lstrip("/")}',
        data=body.read_bytes() if body else None,
        headers=headers,
    )
    output.print_answer(view, json=json)


def show_job(job: str, *, json: bool = False, server: str = ''):
    """Show a job, as an operator.

    :param job: id of the job
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    output.print_answer(client.call('GET', f'/v1/jobs/{job}'), json=json)


def wait_for_job(job: str, *, json: bool = False, server: str = ''):
    """Wait until a job is done, failed, cancelled or parked, as an operator.

    :param job: id of the job
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    while True:
        view = client.call('GET', f'/v1/jobs/{job}')
        if view['state'] in WAIT_END_STATES:
            break
        asyncio.run(asyncio.sleep(POLL_INTERVAL_S))
    output.print_answer(view, json=json)
    if view['state'] != 'done':
        raise client_module.CommandError(
            f'job {job} is {view["state"]}: {view["reason"]}',
            status=codes.EXIT_UPSTREAM,
        )


def fetch_answer(job: str, *, server: str = ''):
    """Write the answer to a job to standard output, as a caller.

    The key is taken from ARBUTUSROCK_KEY.

    :param job: id of the job
    :param server: base URL of a daemon's interface for callers; taken from
        ARBUTUSROCK_CALLERS when left out
    """
    client = client_module.create_client(server=server, as_caller=True)
    sys.stdout.buffer.write(client.fetch('GET', f'/jobs/{job}/answer'))


def cancel_job(
    job: str, *, why: str = '', json: bool = False, server: str = ''
):
    """Cancel a job, as an operator.

    :param job: id of the job
    :param why: reason, for the audit trail
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    _change_job(job, 'cancel', why, json, server)


def retry_job(
    job: str, *, why: str = '', json: bool = False, server: str = ''
):
    """Let a parked job run again, as an operator.

    :param job: id of the job
    :param why: reason, for the audit trail
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    _change_job(job, 'retry', why, json, server)


def _change_job(job, action, why, json, server):
    client = client_module.create_client(server=server)
    query = {'why': why} if why else {}
    view = client.call('POST', f'/v1/jobs/{job}/{action}', query=query)
    output.print_answer(view, json=json)
