"""Benchmarks that compare daemons with baselines and the target's bounds."""
