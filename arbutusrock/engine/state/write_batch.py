"""What the owner writes in one transaction."""

__all__ = ['WriteBatch']


class WriteBatch:
    """Writes of one transaction.

    :param segments: changed ones of the roster, each a
        :class:`arbutusrock.engine.state.roster.SegmentWrite`.
    :param progress: of jobs, each a
        :class:`arbutusrock.engine.state.progress_rows.ProgressWrite`.
    :param others: rows that other components have queued.
    """

    __slots__ = ('segments', 'progress', 'others')

    def __init__(self, *, segments=(), progress=(), others=()):
        self.segments = segments
        self.progress = progress
        self.others = others

    def __len__(self):
        return len(self.segments) + len(self.progress) + len(self.others)

    @property
    def progress_rows(self):
        """Rows of jobs."""
        return [row for write in self.progress for row in write.rows]

    @property
    def rows(self):
        """All rows."""
        return [
            *self.progress_rows,
            *self.others,
            *(write.row for write in self.segments),
        ]

    def split(self):
        """Return batches of each kind, or two halves of a single kind."""
        kinds = [name for name in self.__slots__ if getattr(self, name)]
        if len(kinds) > 1:
            return [
                WriteBatch(**{name: getattr(self, name)}) for name in kinds
            ]
        found = getattr(self, kinds[0])
        middle = len(found) // 2
        return [
            WriteBatch(**{kinds[0]: half})
            for half in (found[:middle], found[middle:])
        ]

    def take_refused(self, refused):
        """Take out the writes with a row that the store has refused before.

        :param refused:
            :class:`arbutusrock.engine.state.refused_rows.RefusedRows`.
        :returns: a batch for each of them.
        """
        taken = []
        if not len(refused):
            return taken
        for name in self.__slots__:
            kept = []
            for write in getattr(self, name):
                batch = WriteBatch(**{name: [write]})
                if any(row in refused for row in batch.rows):
                    taken.append(batch)
                else:
                    kept.append(write)
            setattr(self, name, kept)
        return taken
