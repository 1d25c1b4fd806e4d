"""Row that the owner writes at least each half second."""

import msgspec

__all__ = ['OwnerHeartbeat']


class OwnerHeartbeat(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Heartbeat row of the owner, with figures that other nodes use.

    :param waiting: number of jobs without a started task, by queue.
    :param bursts: learned properties of the bursts, by pool.
    :param loaded_epoch: epoch of the owner once it has loaded its jobs; 0
        before.
    :param dark: names of silent workers for the next owner, as of
        :meth:`arbutusrock.scheduling.dark_workers.DarkWorkers.name`.
    :param waiting_known: whether ``waiting`` is complete.
    """

    node: str
    number: int
    waiting: dict[str, int] = {}
    bursts: dict[str, tuple[float, float]] = {}
    loaded_epoch: int = 0
    dark: object = None
    waiting_known: bool = True
