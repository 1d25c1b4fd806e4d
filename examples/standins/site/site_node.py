"""A node of the fleet manager that runs in the process of its stand-ins."""

__all__ = ['SiteNode']


class SiteNode:
    """One node of the fleet manager, run in this process."""

    def __init__(
        self,
        *,
        node,
        adapter,
        listeners,
        address,
        readiness_address,
        internal_address,
    ):
        self.node = node
        self.adapter = adapter
        self.listeners = listeners
        self.address = address
        self.readiness_address = readiness_address
        # Address for the calls of operators and other nodes.
        self.internal_address = internal_address

    @property
    def is_owner(self):
        """Whether the node owns the unit and has written its state."""
        leader = self.node.leader
        return leader is not None and leader.state_writer.flushes_completed > 0

    async def kill(self):
        """Stop without handing the unit over, as a killed process does."""
        for listener in self.listeners:
            await listener.cleanup()
        await self.node.stop()
        await self.adapter.close()
