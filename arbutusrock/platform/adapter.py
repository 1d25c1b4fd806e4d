"""Clients and decoders through which the engine uses the platform."""

from arbutusrock.platform import advice
from arbutusrock.platform import operator_rows
from arbutusrock.platform import store
from arbutusrock.platform import vm_service
from arbutusrock.platform import workers

__all__ = ['PlatformAdapter']

# A store call takes about 10 ms; a slow store takes 60 times as long.
STORE_TIMEOUT_S = 1.5


class PlatformAdapter:
    """Clients and decoders of the platform for one node.

    :param settings: :class:`arbutusrock.engine.node_settings.NodeSettings`.
    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    """

    decode_worker = staticmethod(workers.decode_worker)
    decode_operator_row = staticmethod(operator_rows.decode_operator_row)
    encode_wave_status = staticmethod(operator_rows.encode_wave_status)

    def __init__(self, *, settings, metrics):
        self.metrics = metrics
        self.store = store.StoreClient(
            address=settings.store, timeout_s=STORE_TIMEOUT_S, metrics=metrics
        )
        self.vm_client = None
        if settings.vm_service:
            self.vm_client = vm_service.VMClient(
                address=settings.vm_service,
                lease_holder=settings.name,
                metrics=metrics,
            )
        self.advice_client = None
        if settings.advice_service:
            self.advice_client = advice.AdviceClient(
                address=settings.advice_service, metrics=metrics
            )

    def create_worker_client(self, entry):
        """Return a client of one incarnation of a worker.

        :param entry:
            :class:`arbutusrock.engine.ports.platform_messages.WorkerEntry`.
        """
        return workers.WorkerClient(
            address=entry.address,
            worker_id=entry.worker_id,
            born_ms=entry.born_ms,
            metrics=self.metrics,
        )

    async def close(self):
        """Close all connections."""
        for client in (self.store, self.vm_client, self.advice_client):
            if client is not None:
                await client.close()
