"""Data centres whose workers get no new tasks until they are taken back."""

__all__ = ['DataCentreCordons']


class DataCentreCordons:
    """The data centres that operators evacuate now.

    One object is shared by all that ask, so that a change takes effect for
    all workers at once.

    >>> cordons = DataCentreCordons()
    >>> cordons.add('dc1')
    True
    >>> 'dc1' in cordons, 'dc2' in cordons
    (True, False)

    A worker that names no data centre may be in an evacuated one.

    >>> '' in cordons
    True
    >>> cordons.discard('dc1'), '' in cordons
    (True, False)
    """

    __slots__ = ('_names',)

    def __init__(self):
        self._names = set()

    def __contains__(self, data_centre):
        if not self._names:
            return False
        return not data_centre or data_centre in self._names

    @property
    def names(self):
        """Names of the data centres, sorted."""
        return sorted(self._names)

    def add(self, data_centre):
        """Add a data centre; return whether that is a change."""
        changed = data_centre not in self._names
        self._names.add(data_centre)
        return changed

    def discard(self, data_centre):
        """Take a data centre back; return whether that is a change."""
        changed = data_centre in self._names
        self._names.discard(data_centre)
        return changed
