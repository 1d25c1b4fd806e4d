"""Entry point of the command-line tool ``arbutusrock``."""

import sys

import defopt

from arbutusrock import codes
from arbutusrock.commands import client
from arbutusrock.commands import config
from arbutusrock.commands import contract
from arbutusrock.commands import job
from arbutusrock.commands import key
from arbutusrock.commands import machine
from arbutusrock.commands import node
from arbutusrock.commands import overview
from arbutusrock.commands import trace

__all__ = ['COMMANDS', 'main']

COMMANDS = {
    'config': {'check': config.check_config},
    'contract': {
        'apply': contract.apply_contract,
        'diff': contract.diff_contract,
        'list': contract.list_contracts,
        'remove': contract.remove_contract,
        'show': contract.show_contract,
    },
    'key': {
        'grant': key.grant_key,
        'list': key.list_keys,
        'withdraw': key.withdraw_key,
    },
    'fleet': {'apply': machine.apply_fleet},
    'pool': {'list': machine.list_pools},
    'vm': {
        'drain': machine.drain_vm,
        'list': machine.list_vms,
        'move': machine.move_vm,
        'remove': machine.remove_vm,
        'return': machine.return_vm,
    },
    'wave': {
        'abort': machine.abort_wave,
        'list': machine.list_waves,
        'pause': machine.pause_wave,
        'resume': machine.resume_wave,
        'start': machine.start_wave,
    },
    'job': {
        'answer': job.fetch_answer,
        'cancel': job.cancel_job,
        'retry': job.retry_job,
        'show': job.show_job,
        'submit': job.submit_job,
        'wait': job.wait_for_job,
    },
    'member': {'gone': overview.declare_gone},
    'node': {'show': node.show_node},
    'status': overview.show_status,
    'audit': overview.show_audit,
    'explain': overview.explain,
    'trace': trace.trace,
}


def main(arguments=None):
    """Run one command.

    The exit status of a failed command tells the class of the error, see
    :mod:`arbutusrock.codes`.
    """
    try:
        defopt.run(
            COMMANDS,
            argv=arguments,
            cli_options='has_default',
            argparse_kwargs={
                'prog': 'arbutusrock',
                'description': 'Operates the fleet manager.',
            },
        )
    except client.CommandError as exc:
        print(f'arbutusrock: {exc}', file=sys.stderr)
        sys.exit(exc.status)
    except OSError as exc:
        print(f'arbutusrock: {exc}', file=sys.stderr)
        sys.exit(codes.EXIT_INPUT)
    except KeyboardInterrupt:
        sys.exit(130)
