"""HTTP interface of operators, with JSON; one handler for each action."""

import asyncio
import hashlib
import hmac
import time

from aiohttp import web
import msgspec

from arbutusrock import audit
from arbutusrock import errors
from arbutusrock.links import explanations
from arbutusrock.links import operator_actions
from arbutusrock.links import problems
from arbutusrock import logs
from arbutusrock.machines import waves
from arbutusrock.utils import clocks
from arbutusrock.utils import decoders
from arbutusrock import zones

__all__ = ['OperatorAPI']

MAX_DOCUMENT_BYTES = 4 << 20
DEFAULT_AUDIT_LOOKBACK_S = 86_400
LOG = logs.get_log('operators')
WAVE_ACTIONS = {
    'pause': waves.WaveState.PAUSED,
    'resume': waves.WaveState.RUNNING,
    'abort': waves.WaveState.ABORTED,
}


class ChangeView(msgspec.Struct, kw_only=True):
    """Answer to a change.

    :param version: configuration version of the change; 0 when nothing
        changed or it is not stored yet.
    :param stored: whether the change is stored in the table service.
    :param pending: members that may still serve with an older version, and
        teams that still hold more permits than their new limit.
    :param key_id: id of the key that was granted or withdrawn.
    :param secret: secret of a new key; it is shown only here.
    """

    version: int
    stored: bool = True
    pending: list[str] = []
    key_id: str = ''
    secret: str = ''


class KeyRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of a request to grant a key."""

    customer: str
    team: str
    note: str = ''


class WaveRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of a request to start a wave.

    The wave maintains the VMs in ``vms``, those of the rack and those of
    the pool.
    """

    wave: str
    vms: list[str] = []
    rack: str = ''
    pool: str = ''


class OperatorAPI:
    """Request handlers of the operators' interface.

    :param node: the :class:`arbutusrock.daemon.Daemon` of this process.
    """

    def __init__(self, *, node):
        self.node = node
        self._operators_by_token_hash = {
            item.token_sha256: item.operator
            for item in node.settings.operators
        }

    def create_app(self):
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=MAX_DOCUMENT_BYTES,
            middlewares=[self._convert_errors, self._authenticate],
        )
        add = app.router.add_route
        add('GET', '/health', self.show_health)
        add('GET', '/metrics', self.show_metrics)
        add('GET', '/v1/status', self.show_status)
        add('GET', '/v1/versions/{version}', self.show_version)
        add('GET', '/v1/audit', self.show_audit)
        add('GET', '/v1/explain/{kind}/{name:.+}', self.explain)
        add('GET', '/v1/objects/{kind}', self.list_objects)
        add('GET', '/v1/objects/{kind}/{name}', self.show_object)
        add('PUT', '/v1/contracts', self.apply_contract)
        add('DELETE', '/v1/contracts/{customer}', self.remove_contract)
        add('POST', '/v1/keys', self.grant_key)
        add('DELETE', '/v1/keys/{key_id}', self.withdraw_key)
        add('PUT', '/v1/fleet', self.apply_fleet)
        add('DELETE', '/v1/vms/{vm}', self.remove_vm)
        add('POST', '/v1/vms/{vm}/drain', self.drain_vm)
        add('POST', '/v1/vms/{vm}/move/{pool}', self.drain_vm)
        add('POST', '/v1/vms/{vm}/return', self.return_vm)
        add('POST', '/v1/waves', self.start_wave)
        add('POST', '/v1/waves/{wave}/{action}', self.change_wave)
        add('GET', '/v1/jobs/{job}', self.show_job)
        add('POST', '/v1/jobs/{job}/cancel', self.cancel_job)
        add('POST', '/v1/jobs/{job}/retry', self.retry_job)
        add('DELETE', '/v1/members/{member}', self.declare_gone)
        return app

    @web.middleware
    async def _convert_errors(self, request, handler):
        """Answer a request that raised with a problem response."""
        try:
            return await handler(request)
        except errors.ArbutusrockError as exc:
            return problems.create_problem_response(exc)
        except msgspec.MsgspecError as exc:
            return problems.create_problem_response(
                errors.InvalidDocument(str(exc))
            )
        except UnicodeDecodeError:
            return problems.create_problem_response(
                errors.InvalidDocument('the body is not UTF-8')
            )
        except web.HTTPException as exc:
            return problems.create_http_error_response(
                request, exc, MAX_DOCUMENT_BYTES
            )
        except Exception:
            LOG.exception('unexpected error in a request', path=request.path)
            return problems.create_problem_response(
                errors.InternalError('see the log of this node')
            )

    @web.middleware
    async def _authenticate(self, request, handler):
        """Set ``request['operator']`` from the bearer token.

        Health and metrics need no token.

        :raises errors.OperatorRefused: when the token is missing or unknown.
        """
        if request.path in ('/health', '/metrics'):
            return await handler(request)
        scheme, _, token = request.headers.get('Authorization', '').partition(
            ' '
        )
        token_hash = hashlib.sha256(token.strip().encode()).hexdigest()
        for known_hash, operator in self._operators_by_token_hash.items():
            if scheme.lower() == 'bearer' and hmac.compare_digest(
                known_hash, token_hash
            ):
                request['operator'] = operator
                return await handler(request)
        raise errors.OperatorRefused('send "Authorization: Bearer TOKEN"')

    async def show_health(self, request):
        """Show that the process answers; load balancers use ``/ready``."""
        serving = self.node.members.is_serving()
        return _create_json_response(
            {'serving': serving, 'stopping': self.node.stopping}
        )

    async def show_metrics(self, request):
        """Return all metrics in the Prometheus format."""
        self.node.collect_metrics()
        body, headers = self.node.metrics.render(
            request.headers.getall('Accept', [])
        )
        return web.Response(body=body, headers=headers)

    async def show_status(self, request):
        """Return members, teams, pools and waves."""
        return _create_json_response(explanations.describe_status(self.node))

    async def show_version(self, request):
        """Return which members may not have a version in force yet."""
        return _create_json_response(
            self._describe_version(_get_version(request))
        )

    def _describe_version(self, version):
        """Return a :class:`ChangeView` of a version that was stored."""
        node = self.node
        since_s = node.changes.applied_at_s.get(version, clocks.now_s())
        pending = node.members.find_outdated(version, since_s)
        if node.configuration.version < version:
            pending.append(node.members.member_id)
        pending += node.permits.describe_over_limit()
        return ChangeView(version=version, pending=pending)

    def _describe_change(self, change):
        """Return a :class:`ChangeView`; ``change`` is None for no change."""
        if change is None:
            return ChangeView(version=0)
        return self._describe_version(change.version)

    async def show_audit(self, request):
        """Return entries of the audit trail in order; by default of a day."""
        since_s = _get_number(
            request, 'since_s', time.time() - DEFAULT_AUDIT_LOOKBACK_S
        )
        entries = await audit.read_trail(
            self.node.platform,
            since_s=since_s,
            subject=request.query.get('subject', ''),
        )
        return _create_json_response(entries)

    async def explain(self, request):
        """Return the state and the history of one object."""
        return _create_json_response(
            await explanations.explain(
                self.node,
                request.match_info['kind'],
                request.match_info['name'],
            )
        )

    async def list_objects(self, request):
        """Return all objects of a kind, each with its version."""
        kind = request.match_info['kind']
        objects = self._get_objects(kind)
        return _create_json_response(
            [self._describe_object(kind, name) for name in sorted(objects)]
        )

    async def show_object(self, request):
        """Return one object with its version."""
        kind = request.match_info['kind']
        name = request.match_info['name']
        if name not in self._get_objects(kind):
            raise errors.NotFound(f'{kind} {name}')
        return _create_json_response(self._describe_object(kind, name))

    def _get_objects(self, kind):
        objects = self.node.configuration.objects
        if kind not in objects:
            raise errors.NotFound(
                f'kind must be one of {", ".join(objects)}, got {kind}'
            )
        return objects[kind]

    def _describe_object(self, kind, name):
        """Return an object with its version, without the hash of a key."""
        configuration = self.node.configuration
        fields = msgspec.to_builtins(configuration.get(kind, name))
        fields.pop('secret_hash', None)
        fields['version'] = configuration.get_version(kind, name)
        return fields

    async def apply_contract(self, request):
        """Create or replace a contract; If-Match has the version seen."""
        change = await self.node.operator_actions.apply_contract(
            await request.text(),
            who=request['operator'],
            why=_get_why(request),
            expected_version=_get_expected_version(request),
        )
        return _create_json_response(self._describe_change(change))

    async def remove_contract(self, request):
        """Remove a contract; If-Match has the version seen."""
        change = await self.node.operator_actions.remove_contract(
            request.match_info['customer'],
            who=request['operator'],
            why=_get_why(request),
            expected_version=_get_expected_version(request),
        )
        return _create_json_response(self._describe_change(change))

    async def grant_key(self, request):
        """Grant a key; only this answer contains its secret."""
        body = decoders.decode_json(await request.read(), KeyRequest)
        change, key, secret = await self.node.operator_actions.grant_key(
            body.customer,
            body.team,
            body.note,
            who=request['operator'],
            why=_get_why(request),
        )
        view = self._describe_change(change)
        view.key_id = key.key_id
        view.secret = secret
        return _create_json_response(view)

    async def withdraw_key(self, request):
        """Withdraw a key, even while the table service is unresponsive.

        The status is then 202, and ``pending`` names the members that may
        not know of it yet.
        """
        key_id = request.match_info['key_id']
        change = await self.node.operator_actions.withdraw_key(
            key_id, who=request['operator'], why=_get_why(request)
        )
        key = self.node.configuration.get('key', key_id)
        if change is not None or (key is not None and key.withdrawn):
            version = change.version if change else 0
            view = self._describe_version(version)
            view.key_id = key_id
            return _create_json_response(view)
        view = ChangeView(
            version=0,
            stored=False,
            key_id=key_id,
            pending=self.node.members.find_without_withdrawals(),
        )
        return _create_json_response(view, status=202)

    async def apply_fleet(self, request):
        """Create or change pools and VMs."""
        change = await self.node.operator_actions.apply_fleet(
            await request.text(),
            who=request['operator'],
            why=_get_why(request),
        )
        return _create_json_response(self._describe_change(change))

    async def remove_vm(self, request):
        """Remove a VM that is drained, or listed as leaving or gone."""
        change = await self.node.operator_actions.remove_vm(
            request.match_info['vm'],
            who=request['operator'],
            why=_get_why(request),
        )
        return _create_json_response(self._describe_change(change))

    async def drain_vm(self, request):
        """Start to drain a VM; move it to a pool if the path names one."""
        change = await self.node.operator_actions.drain_vm(
            request.match_info['vm'],
            next_pool=request.match_info.get('pool', ''),
            who=request['operator'],
            why=_get_why(request),
        )
        return _create_json_response(self._describe_change(change))

    async def return_vm(self, request):
        """Put a VM back into service."""
        change = await self.node.operator_actions.return_vm(
            request.match_info['vm'],
            who=request['operator'],
            why=_get_why(request),
        )
        return _create_json_response(self._describe_change(change))

    async def start_wave(self, request):
        """Start a maintenance wave."""
        body = decoders.decode_json(await request.read(), WaveRequest)
        vm_names = set(body.vms) | self._find_vms(body)
        change = await self.node.operator_actions.start_wave(
            body.wave,
            sorted(vm_names),
            who=request['operator'],
            why=_get_why(request),
        )
        return _create_json_response(self._describe_change(change))

    def _find_vms(self, body):
        """Return the names of the VMs of the rack and pool in ``body``."""
        vms = self.node.configuration.objects['vm'].values()
        racks = zones.find_domains(vms, zones.DomainLevel.RACK)
        names = {
            name
            for rack in racks
            if rack.name == body.rack
            for name in rack.vms
        }
        pool = self.node.configuration.pool_vms.get(body.pool, ())
        return names | {vm.vm for vm in pool}

    async def change_wave(self, request):
        """Pause, resume or abort a wave."""
        action = request.match_info['action']
        if action not in WAVE_ACTIONS:
            raise errors.InvalidRequest(
                f'action must be one of {", ".join(WAVE_ACTIONS)}, got '
                f'{action}'
            )
        change = await self.node.operator_actions.change_wave(
            request.match_info['wave'],
            WAVE_ACTIONS[action],
            who=request['operator'],
            why=_get_why(request),
        )
        return _create_json_response(self._describe_change(change))

    async def show_job(self, request):
        """Return a job without its bodies and headers."""
        row, _ = await self.node.job_table.read(request.match_info['job'])
        return _create_json_response(explanations.describe_job(row))

    async def cancel_job(self, request):
        """Cancel a job."""
        row = await self.node.job_controller.cancel(
            request.match_info['job'], request['operator']
        )
        self.node.audit_trail.record(
            'job cancelled',
            f'job/{row.job}',
            why=_get_why(request),
            after=request['operator'],
        )
        return _create_json_response(explanations.describe_job(row))

    async def retry_job(self, request):
        """Set a parked job to waiting, so that it runs again."""
        row = await self.node.job_controller.retry(
            request.match_info['job'], request['operator']
        )
        self.node.audit_trail.record(
            'job retried',
            f'job/{row.job}',
            why=_get_why(request),
            after=request['operator'],
        )
        return _create_json_response(explanations.describe_job(row))

    async def declare_gone(self, request):
        """Record that a member is gone.

        The operator makes sure that its VM does not run any more.
        """
        member_id = request.match_info['member']
        members = self.node.members
        if member_id not in members.others:
            raise errors.NotFound(f'member {member_id}')
        members.gone.add(member_id)
        self.node.audit_trail.record(
            'member declared gone',
            f'member/{member_id}',
            why=_get_why(request),
            after=request['operator'],
        )
        await asyncio.sleep(0)
        return _create_json_response({'gone': sorted(members.gone)})


def _create_json_response(record, status=200):
    return web.Response(
        status=status,
        body=msgspec.json.encode(record),
        content_type='application/json',
    )


def _get_why(request):
    """Return the reason that the operator gives, cut to 500 characters."""
    return request.query.get('why', '')[:500]


def _get_expected_version(request):
    """Return the version in If-Match.

    Without that field it is 0, for an object that does not exist yet.
    """
    text = request.headers.get('If-Match', '0').strip('"')
    if text == '*':
        return operator_actions.ANY_VERSION
    if not text.isdecimal():
        raise errors.InvalidRequest(
            f'If-Match must be a version number or *, got {text[:40]!r}'
        )
    return int(text)


def _get_version(request):
    text = request.match_info['version']
    if not text.isdecimal():
        raise errors.InvalidRequest(
            f'version must be a whole number, got {text[:40]!r}'
        )
    return int(text)


def _get_number(request, name, default):
    text = request.query.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        raise errors.InvalidRequest(
            f'{name} must be a number, got {text[:40]!r}'
        ) from None
