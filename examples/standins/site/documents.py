"""Documents that the operator of a site writes, and settings of nodes."""

__all__ = ['create_configuration', 'create_settings_text']


def create_configuration(*, version, pools, queues, accounts, spare_pool):
    """Return the configuration of a site.

    :param queues: fields that replace the defaults of a queue, by its pool.
    :param accounts: fields by the name of the account.
    """
    routes = [
        {
            'name': f'r-{pool}',
            'host': f'{pool}.example',
            'pathPrefix': '/jobs/',
            'type': 'unsafe',
            'service': pool,
            'sloMs': 600,
            'priority': 0,
            'maxAttempts': 3,
            'stretch': 2.0,
            'public': False,
            **fields,
        }
        for pool, fields in queues.items()
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': pool, 'spare': pool == spare_pool} for pool in pools
        ],
        'limits': {},
        'tenants': [
            {'name': name, **fields} for name, fields in accounts.items()
        ],
    }


def create_settings_text(name, *, host, addresses, move_s):
    """Return the text of a settings file for a node in its own process.

    :param addresses: of the services, by name.
    :param move_s: how long the move of a VM takes (s).
    """
    fields = {
        'nodeName': name,
        'ip': host,
        'zone': 'z1',
        'listen.frontend': f'{host}:0',
        'listen.readiness': f'{host}:0',
        'portRange': '0,0',
        'platform.address': addresses['store'],
        'cloudApi.address': addresses['vms'],
        'advice': addresses['policy'],
        'bounds.moveS': str(move_s),
        'bounds.graceS': '5',
        'aFieldOfLaterDays': 'x',
    }
    return ''.join(f'{key}={value}\n' for key, value in fields.items())
