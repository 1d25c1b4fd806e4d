"""Metrics of the daemon, served on the operators' interface."""

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Registry
from aioprometheus import render

__all__ = ['Metrics']

# Upper bounds of the buckets of latencies, in seconds.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class Metrics:
    """All metrics of one process.

    Hot-path counters are plain integers; :meth:`render` copies them into the
    registry when they are read.
    """

    __slots__ = (
        'registry',
        '_counter_values',
        '_gauge_values',
        '_counters',
        '_gauges',
    )

    def __init__(self):
        self.registry = Registry()
        self._counter_values = {}
        self._gauge_values = {}
        self._counters = {}
        self._gauges = {}

    def count(self, name, labels=(), amount=1):
        """Add to a counter.

        :param name: metric name.
        :param labels: tuple of ``(label, value)`` pairs.
        :param amount: what to add.
        """
        series = (name, labels)
        self._counter_values[series] = (
            self._counter_values.get(series, 0) + amount
        )

    def set_gauge(self, name, value, labels=()):
        """Set a gauge."""
        self._gauge_values[(name, labels)] = value

    def observe(self, name, seconds, labels=()):
        """Add one latency to a histogram of cumulative buckets.

        :param name: metric name without suffix.
        :param seconds: what was measured.
        """
        for bound in BUCKETS_S:
            if seconds <= bound:
                self.count(f'{name}_bucket', (*labels, ('le', str(bound))))
        self.count(f'{name}_bucket', (*labels, ('le', '+Inf')))
        self.count(f'{name}_count', labels)
        self.count(f'{name}_sum', labels, seconds)

    def get_count(self, name, labels=()):
        """Return the present value of a counter."""
        return self._counter_values.get((name, labels), 0)

    def get_gauge(self, name, labels=()):
        """Return the present value of a gauge."""
        return self._gauge_values.get((name, labels), 0)

    def reset_gauges(self):
        """Forget gauge values, so that gone label sets disappear."""
        for name, labels in self._gauge_values:
            self._gauge_values[(name, labels)] = 0

    def render(self, accept=()):
        """Return the exposition text and its HTTP headers."""
        for (name, labels), value in self._counter_values.items():
            metric = self._get_or_create(self._counters, Counter, name)
            metric.set(dict(labels), value)
        for (name, labels), value in self._gauge_values.items():
            metric = self._get_or_create(self._gauges, Gauge, name)
            metric.set(dict(labels), value)
        return render(self.registry, list(accept))

    def _get_or_create(self, known, kind, name):
        metric = known.get(name)
        if metric is None:
            full = f'arbutusrock_{name}'
            metric = kind(full, name.replace('_', ' '), registry=self.registry)
            known[name] = metric
        return metric
