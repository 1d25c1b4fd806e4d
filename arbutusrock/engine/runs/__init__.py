"""Runs of tasks on workers: orders, reports, crashes and stragglers."""
