"""Runs jobs, made of steps and tasks, on workers under leases."""

__all__ = []
