"""The engine: jobs of steps and tasks, run on workers under leases."""

__all__ = []
