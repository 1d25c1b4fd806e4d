"""How far durations of tasks spread around what is expected of them.

Load: declared durations are wrong by half or more, and one task in thirty
takes seven times as long as its siblings. A mean says neither when a run will
have ended for sure enough, nor how long one that is overdue will still take.
Ratios of observed to expected durations are therefore counted by queue in
buckets of a logarithmic scale.
"""

import math

__all__ = ['RatioDistribution']

# Buckets of a logarithmic scale: so many to each doubling, from the lowest
# ratio on.
BUCKETS_PER_DOUBLING = 4
MIN_DOUBLINGS = -4
BUCKET_COUNT = 9 * BUCKETS_PER_DOUBLING
# Older observations lose this part of their weight with each new one.
DECAY = 0.005
# Before the first observation, ratios are taken to be lognormal with this
# sigma, with the weight of so many observations.
PRIOR_SIGMA = 0.5
PRIOR_WEIGHT = 10.0


def _find_bucket(ratio):
    position = math.log2(max(ratio, 1e-6)) - MIN_DOUBLINGS
    return min(BUCKET_COUNT - 1, max(0, int(position * BUCKETS_PER_DOUBLING)))


def _get_upper_bound(bucket):
    return 2.0 ** ((bucket + 1) / BUCKETS_PER_DOUBLING + MIN_DOUBLINGS)


def _create_prior():
    weights = []
    below = 0.0
    for bucket in range(BUCKET_COUNT):
        log = math.log(_get_upper_bound(bucket))
        up_to = 0.5 * (1 + math.erf(log / (PRIOR_SIGMA * math.sqrt(2))))
        weights.append((up_to - below) * PRIOR_WEIGHT)
        below = up_to
    return weights


class RatioDistribution:
    """Distribution of observed over expected durations.

    >>> distribution = RatioDistribution()
    >>> 1.5 < distribution.get_quantile(0.9) < 2.5
    True
    >>> for _ in range(500):
    ...     distribution.record(1.0)
    >>> distribution.get_quantile(0.9) < 1.3
    True
    """

    __slots__ = ('_weights', '_quantiles')

    def __init__(self):
        self._weights = _create_prior()
        # Ratios by fraction and first bucket, until the next observation.
        self._quantiles = {}

    def record(self, ratio):
        """Count an observation."""
        self._weights = [weight * (1 - DECAY) for weight in self._weights]
        self._weights[_find_bucket(ratio)] += 1
        self._quantiles.clear()

    def get_quantile(self, fraction, *, beyond=0.0):
        """Return the ratio that a fraction of the tasks do not exceed.

        :param beyond: only tasks count that took at least this ratio, as for
            a run that has lasted so long already.
        """
        first = _find_bucket(beyond) if beyond > 0 else 0
        ratio = self._quantiles.get((fraction, first))
        if ratio is None:
            ratio = self._find_quantile(fraction, first)
            self._quantiles[(fraction, first)] = ratio
        return max(beyond, ratio)

    def _find_quantile(self, fraction, first):
        wanted = sum(self._weights[first:]) * fraction
        for bucket in range(first, BUCKET_COUNT):
            wanted -= self._weights[bucket]
            if wanted <= 0:
                return _get_upper_bound(bucket)
        return _get_upper_bound(BUCKET_COUNT - 1)
