"""Soak test with random faults on nodes that run as separate processes.

``python -m soak --help`` shows the options.
"""
