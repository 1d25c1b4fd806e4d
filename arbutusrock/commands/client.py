"""HTTP client of the command-line tool."""

import asyncio
import os

import aiohttp
import msgspec

from arbutusrock import codes
from arbutusrock.links import problems

__all__ = ['Client', 'CommandError', 'create_client']

SERVER_VARIABLE = 'ARBUTUSROCK_SERVER'
CALLERS_VARIABLE = 'ARBUTUSROCK_CALLERS'
TOKEN_VARIABLE = 'ARBUTUSROCK_TOKEN'
KEY_VARIABLE = 'ARBUTUSROCK_KEY'
TIMEOUT_S = 60
POLL_INTERVAL_S = 0.3
EXIT_STATUS_BY_CODE = {
    item.number: item.exit_status for item in codes.ALL_CODES
}
EXIT_NO_SERVER = codes.EXIT_UNAVAILABLE


class CommandError(Exception):
    """A command failed; the text is printed to standard error.

    :param status: exit status of the tool.
    """

    def __init__(self, text, *, status):
        super().__init__(text)
        self.status = status


class Client:
    """Makes HTTP calls to one daemon.

    :param server: base URL, like ``http://10.0.0.1:7001``.
    :param token: operator token, or a caller's key.
    """

    def __init__(self, *, server, token):
        self.server = server.rstrip('/')
        self.token = token

    def call(self, method, path, *, data=None, headers=None, query=None):
        """Make one call and return the decoded JSON answer.

        :raises CommandError: when the daemon refuses or cannot be reached.
        """
        return msgspec.json.decode(
            self.fetch(method, path, data=data, headers=headers, query=query)
        )

    def fetch(self, method, path, *, data=None, headers=None, query=None):
        """Make one call and return the body as bytes.

        :raises CommandError: when the daemon refuses or cannot be reached.
        """
        return asyncio.run(
            self._fetch(method, path, data, headers or {}, query or {})
        )

    async def _fetch(self, method, path, data, headers, query):
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        headers = {'Authorization': f'Bearer {self.token}', **headers}
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.request(
                    method,
                    self.server + path,
                    data=data,
                    headers=headers,
                    params=query,
                ) as answer:
                    body = await answer.read()
                    if answer.status >= 400:
                        raise _create_error(answer, body)
                    return body
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            raise CommandError(
                f'no answer from {self.server}: {type(exc).__name__}',
                status=EXIT_NO_SERVER,
            ) from None

    def wait_in_force(self, version, report):
        """Poll until a configuration version is in force on all members.

        :param report: called with the list of pending members after each poll.
        """
        while True:
            view = self.call('GET', f'/v1/versions/{version}')
            if not view['pending']:
                return
            report(view['pending'])
            asyncio.run(asyncio.sleep(POLL_INTERVAL_S))


def create_client(*, server='', as_caller=False):
    """Return a client for the server and the token in the environment.

    :param server: base URL; replaces that of the environment.
    :param as_caller: whether to use the callers' interface, with a key, and
        not the operators' interface.
    :raises CommandError: when no server is given.
    """
    server_variable = CALLERS_VARIABLE if as_caller else SERVER_VARIABLE
    token_variable = KEY_VARIABLE if as_caller else TOKEN_VARIABLE
    server = server or os.environ.get(server_variable, '')
    if not server:
        raise CommandError(
            f'give --server or set {server_variable}', status=codes.EXIT_INPUT
        )
    return Client(server=server, token=os.environ.get(token_variable, ''))


def _create_error(answer, body):
    if answer.content_type == problems.PROBLEM_CONTENT_TYPE:
        problem = msgspec.json.decode(body, type=problems.Problem)
        text = f'AR-{problem.code} {problem.title}: {problem.detail}'
        if problem.retry_after_s is not None:
            text += f' (try again in {problem.retry_after_s} s)'
        return CommandError(
            text,
            status=EXIT_STATUS_BY_CODE.get(problem.code, codes.EXIT_INTERNAL),
        )
    return CommandError(
        f'the server answered with HTTP status {answer.status}',
        status=codes.EXIT_UPSTREAM,
    )
