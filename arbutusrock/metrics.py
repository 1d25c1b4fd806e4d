"""Metrics of the daemon, served on the operators' interface."""

__all__ = ['Metrics']

# Upper bounds of the histogram buckets for latencies.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class Metrics:
    """All metrics of one process.

    Counting is on the hot path, so values are kept as plain numbers. They are
    copied into the registry only when :meth:`render` is called.
    """

    __slots__ = (
        'registry',
        '_counter_values',
        '_gauge_values',
        '_counters',
        '_gauges',
    )

    def __init__(self):
        # Created at the first call of :meth:`render`, whose library takes
        # time to import that a starting process does not have.
        self.registry = None
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
        """Add one latency to a histogram with cumulative buckets.

        :param name: metric name without suffix.
        :param seconds: the latency.
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
        """Set all gauges to 0.

        Otherwise the gauges of label sets that no longer exist would keep
        their last values.
        """
        for name, labels in self._gauge_values:
            self._gauge_values[(name, labels)] = 0

    def render(self, accept=()):
        """Return the exposition text and its HTTP headers."""
        from aioprometheus import Counter
        from aioprometheus import Gauge
        from aioprometheus import Registry
        from aioprometheus import render

        if self.registry is None:
            self.registry = Registry()
        for (name, labels), value in self._counter_values.items():
            metric = self._get_or_create(self._counters, Counter, name)
            metric.set(dict(labels), value)
        for (name, labels), value in self._gauge_values.items():
            metric = self._get_or_create(self._gauges, Gauge, name)
            metric.set(dict(labels), value)
        return render(self.registry, list(accept))

    def _get_or_create(self, metrics, metric_type, name):
        metric = metrics.get(name)
        if metric is None:
            full_name = f'arbutusrock_{name}'
            metric = metric_type(
                full_name, name.replace('_', ' '), registry=self.registry
            )
            metrics[name] = metric
        return metric
