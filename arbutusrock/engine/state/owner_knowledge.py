"""Keeps what an owner has learned in one row, for the next owner.

The row is never needed for correctness: an owner that finds none, or one that
it cannot use, learns again. It is written beside a heartbeat, so it costs no
call, and only when it has changed.
"""

import msgspec

from arbutusrock.engine.ports import rows
from arbutusrock import logs
from arbutusrock.scheduling import knowledge_ageing
from arbutusrock.scheduling import vm_speeds
from arbutusrock.utils import clocks
from arbutusrock.utils import decoders

__all__ = ['KEY', 'OwnerKnowledge', 'create_knowledge']

KEY = 'knowledge'
# Version of the layout of the row. Rows of a later version are discarded.
VERSION = 1
# The row is written at most once in this time.
WRITE_INTERVAL_S = 3.0
# Parts that would make the row longer are left out, the largest first.
MAX_BYTES = 16_384
# Greatest ages at which the parts are of use.
MAX_DURATIONS_AGE_S = 600.0
MAX_VM_HEALTH_AGE_S = 4.0
MAX_SHARES_AGE_S = 10.0
MAX_VM_SPEEDS_AGE_S = vm_speeds.EVIDENCE_S
LOG = logs.get_log('knowledge')


class KnowledgeRow(msgspec.Struct, kw_only=True):
    """Row of the store with all that an owner has learned.

    :param written_unix_s: wall clock of the node that wrote it (s).
    :param parts: encoded data by the name of the part.
    """

    version: int
    written_unix_s: float = 0.0
    parts: dict[str, bytes] = {}


class _Header(msgspec.Struct):
    version: int


class _Part:
    __slots__ = ('export', 'restore', 'decode', 'max_age_s')

    def __init__(self, *, export, restore, data_type, max_age_s):
        self.export = export
        self.restore = restore
        self.decode = decoders.create_msgpack_decoder(data_type)
        self.max_age_s = max_age_s


_encode = msgspec.msgpack.Encoder(order='deterministic').encode
_decode_header = decoders.create_msgpack_decoder(_Header)
_decode_row = decoders.create_msgpack_decoder(KnowledgeRow)


class OwnerKnowledge:
    """Parts of the knowledge, and the row that they are kept in.

    :param metrics: counts rows, bytes, and parts used and discarded.
    """

    __slots__ = ('metrics', '_parts', '_written', '_written_at_s', '_due')

    def __init__(self, *, metrics):
        self.metrics = metrics
        self._parts = {}
        # Encoded parts of the last row, and when it was created.
        self._written = {}
        self._written_at_s = clocks.now_s()
        self._due = False

    def register(self, name, *, export, restore, max_age_s, data_type=object):
        """Add a part.

        :param export: returns plain data that msgpack can encode.
        :param restore: takes ``(data, age_s)`` before the owner begins.
        :param max_age_s: greatest age at which the part is of use (s).
        :param data_type: type that the data must have to be restored.
        """
        self._parts[name] = _Part(
            export=export,
            restore=restore,
            data_type=data_type,
            max_age_s=max_age_s,
        )

    def request_write(self):
        """Have the row written with the next heartbeat, as for a hand-over."""
        self._due = True

    def create_due_rows(self):
        """Return the row as a list; an empty one while none is due."""
        now_s = clocks.now_s()
        if not self._due and now_s - self._written_at_s < WRITE_INTERVAL_S:
            return []
        self._due = False
        self._written_at_s = now_s
        encoded = self._encode_parts()
        if encoded == self._written:
            return []
        self._written = encoded
        value = _encode(
            KnowledgeRow(
                version=VERSION,
                written_unix_s=round(clocks.wall_time_s(), 2),
                parts=encoded,
            )
        )
        self.metrics.count('knowledge_rows')
        self.metrics.count('knowledge_bytes', amount=len(value))
        return [rows.Row(table=rows.TABLE_KNOWLEDGE, key=KEY, value=value)]

    def _encode_parts(self):
        encoded, size = {}, 0
        found = {name: _encode(p.export()) for name, p in self._parts.items()}
        for name, data in sorted(found.items(), key=lambda it: len(it[1])):
            size += len(data)
            if size > MAX_BYTES:
                LOG.info('knowledge is left out', part=name, bytes=len(data))
                continue
            encoded[name] = data
        return encoded

    def restore(self, value):
        """Restore the parts of a row that are of use.

        :param value: bytes of the row, or None when there is none.
        """
        if value is None:
            return
        try:
            version = _decode_header(value).version
            if version > VERSION:
                self._discard('all', 'from a later version', version=version)
                return
            row = _decode_row(value)
        except msgspec.DecodeError as exc:
            self._discard('all', 'unreadable', error=str(exc))
            return
        age_s = clocks.wall_time_s() - row.written_unix_s
        used = [
            name
            for name, data in row.parts.items()
            if self._restore_part(name, data, age_s)
        ]
        LOG.info(
            'knowledge of the earlier owner is used',
            parts=used,
            age_s=round(age_s, 2),
            bytes=len(value),
        )

    def _restore_part(self, name, data, age_s):
        """Restore one part; return whether it was of use."""
        part = self._parts.get(name)
        if part is None:
            self._discard(name, 'unknown')
            return False
        reason = knowledge_ageing.find_discard_reason(age_s, part.max_age_s)
        if reason:
            self._discard(name, reason, age_s=round(age_s, 2))
            return False
        try:
            part.restore(part.decode(data), max(0.0, age_s))
        except (msgspec.DecodeError, ValueError, TypeError, LookupError) as e:
            self._discard(name, 'unreadable', error=str(e))
            return False
        self.metrics.count('knowledge_used', (('part', name),))
        return True

    def _discard(self, name, reason, **fields):
        self.metrics.count('knowledge_discarded', (('reason', reason),))
        LOG.info(
            'knowledge is discarded', knowledge=name, reason=reason, **fields
        )


def create_knowledge(term):
    """Return the knowledge of an ownership, with the parts of its term."""
    knowledge = OwnerKnowledge(metrics=term.metrics)
    knowledge.register(
        'durations',
        export=term.duration_estimator.export,
        restore=term.duration_estimator.restore,
        data_type=dict[str, tuple[float, float]],
        max_age_s=MAX_DURATIONS_AGE_S,
    )
    knowledge.register(
        'vm_health',
        export=lambda: term.vm_health.export(clocks.now_s()),
        restore=lambda data, age_s: term.vm_health.restore(
            data, age_s, clocks.now_s()
        ),
        data_type=dict[str, tuple[list[str], float]],
        max_age_s=MAX_VM_HEALTH_AGE_S,
    )
    knowledge.register(
        'vm_speeds',
        export=term.vm_speeds.export,
        restore=lambda data, age_s: term.vm_speeds.restore(
            data, age_s, clocks.now_s()
        ),
        data_type=dict[str, float],
        max_age_s=MAX_VM_SPEEDS_AGE_S,
    )
    knowledge.register(
        'shares',
        export=term.share_ledger.export,
        restore=term.share_ledger.restore,
        data_type=dict[str, dict[str, float]],
        max_age_s=MAX_SHARES_AGE_S,
    )
    return knowledge
