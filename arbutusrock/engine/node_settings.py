"""Settings of one node of the fleet manager on a platform."""

import msgspec

__all__ = ['NodeSettings']


class NodeSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Name and addresses of a node, and the limits that it must keep.

    :param cores: processor time that this process may use (cores).
    :param callers: ``host:port`` that callers connect to.
    :param readiness: ``host:port`` of the readiness check of the load
        balancer.
    :param metrics: ``host:port`` of metrics, status and calls between nodes.
    :param store: ``host:port`` of the store.
    :param store_row_bytes: size of the largest value that a row of the store
        takes, before it is encoded as text.
    :param vm_service: ``host:port`` of the VM service, or empty where there is
        none.
    :param advice_service: ``host:port`` of the advice service, or empty where
        there is none.
    :param grace_s: time between SIGTERM and SIGKILL.
    :param longest_lease_s: longest lease; workers shorten longer ones to this.
    :param status_s: how long the status of an ended job is kept.
    :param estimates_vm_speeds: whether the speed of VMs is estimated and used.
    :param move_s: time that a VM takes to move.
    :param maintenance_s: time that the maintenance of a VM takes.
    :param vm_calls_per_s: orders that the VM service accepts per second.
    :param worker_report_s: how often workers renew their registration.
    :param max_descriptors: descriptors that this process may open.
    :param held_bytes: size of all requests that callers have not completed
        and of all answers that they have not read.
    :param head_bytes: size of the largest head of a request.
    :param head_timeout_s: time in which a caller sends a head.
    :param idle_timeout_s: time between an answer and the next head.
    :param answer_timeout_s: time in which a caller reads an answer.
    :param discarded_bytes: how much of the body of a refused request is read.
    :param longest_deadline_s: longest deadline of a caller that counts.
    """

    name: str
    address: str
    callers: str
    readiness: str
    metrics: str
    cores: float = 1.0
    store: str
    store_row_bytes: int = 49152
    vm_service: str = ''
    advice_service: str = ''
    grace_s: float = 6.0
    longest_lease_s: float = 6.0
    status_s: float = 120.0
    estimates_vm_speeds: bool = False
    move_s: float = 1.5
    maintenance_s: float = 2.0
    vm_calls_per_s: float = 64.0
    worker_report_s: float = 1.5
    max_descriptors: int = 4096
    held_bytes: int = 16 << 20
    head_bytes: int = 65_536
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    answer_timeout_s: float = 30.0
    discarded_bytes: int = 1 << 20
    longest_deadline_s: float = 60.0
