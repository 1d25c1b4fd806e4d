"""Names of dark workers: under no schedule of faults does a task run twice."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from arbutusrock.scheduling import dark_workers

STEP_S = 0.05
LEASE_S = 5.0
END_S = 16.0
POLL_S = 0.2
SILENCE_S = 0.6
HEARTBEAT_S = 0.5
RETRY_S = 0.2
STALL_S = 0.8

SPANS = st.tuples(st.floats(0.0, 10.0), st.floats(0.0, 8.0))
SCHEDULES = st.fixed_dictionaries(
    {
        'clock_rate': st.sampled_from([0.98, 1.0]),
        'dark': st.lists(SPANS, min_size=1, max_size=2),
        # What happens to writes of the owner for some time.
        'write_fault': st.sampled_from(['refused', 'lost', 'late']),
        'write_span': SPANS,
        'write_delay_s': st.floats(0.0, 4.0),
        'order_delay_s': st.sampled_from([0.0, 0.0, 1.0, 3.0]),
        'loss': st.sampled_from(['killed', 'paused', 'cut']),
        'lost_at_s': st.floats(1.0, 10.0),
        'detected_s': st.floats(0.1, 2.0),
        'stored_at_s': st.floats(0.0, 10.0),
        'start_delay_s': st.floats(0.0, 4.0),
    }
)


def is_in(span, at_s):
    return span[0] <= at_s < span[0] + span[1]


class Store:
    """Heartbeat and claim; ``condition`` is what the heartbeat expects."""

    def __init__(self):
        self.version = 1
        self.epoch = 1
        self.heartbeat = None
        self.heartbeat_version = 0
        self.written_at_s = 0.0

    def write(self, heartbeat, condition, now_s):
        """Return whether a heartbeat was written."""
        if self.epoch != 1 or condition not in (None, self.heartbeat_version):
            return False
        self.version += 1
        self.heartbeat, self.heartbeat_version = heartbeat, self.version
        self.written_at_s = now_s
        return True


class Worker:
    """Runs one task, until its lease has ended by its own clock."""

    def __init__(self, schedule):
        self.schedule = schedule
        self.lease_until_ms = 0.0
        self.has_task = False
        self.arriving = []

    def is_reachable(self, now_s):
        return not any(is_in(span, now_s) for span in self.schedule['dark'])

    def get_clock_ms(self, now_s):
        return now_s * 1000 * self.schedule['clock_rate']

    def send(self, now_s, until_ms, start):
        """Take an order; one that gets no answer may be carried out late."""
        late_s = self.schedule['order_delay_s']
        if self.is_reachable(now_s):
            self.arriving.append((now_s, until_ms, start))
        elif late_s and self.schedule['loss'] != 'cut':
            self.arriving.append((now_s + late_s, until_ms, start))

    def step(self, now_s):
        clock_ms = self.get_clock_ms(now_s)
        if clock_ms >= self.lease_until_ms:
            self.has_task = False
        for item in [item for item in self.arriving if item[0] <= now_s]:
            self.arriving.remove(item)
            _, until_ms, start = item
            if clock_ms < until_ms:
                self.lease_until_ms = max(self.lease_until_ms, until_ms)
                self.has_task |= start


class Owner:
    """The first owner. It starts the task once, if it can.

    :param planted: name of the fault in the code, or empty.
    """

    def __init__(self, schedule, store, worker, planted):
        self.schedule, self.planted = schedule, planted
        self.store, self.worker = store, worker
        self.names = dark_workers.DarkWorkers(epoch=1)
        self.silent = self.holds_orders = self.fenced = False
        self.reply_at_s = self.last_step_s = 0.0
        self.clock_ms = 0.0
        self.lease_until_ms = None
        self.poll_at_s = self.beat_at_s = self.write_at_s = 0.0
        self.writing, self.condition, self.written_by_us = None, 0, 0
        self.late_writes = []
        self.started = False
        self.stored_version = None
        self.is_named_durably = False

    def is_withheld(self):
        if self.planted == 'withheld once durable':
            return self.is_named_durably
        return 'w' in self.names and self.planted != 'not withheld'

    def extend(self, now_s):
        until_ms = self.clock_ms + (now_s - self.reply_at_s) * 1000
        self.lease_until_ms = until_ms + LEASE_S * 1000
        return self.lease_until_ms

    def renew(self, now_s):
        """Poll the worker; without an answer it counts as silent."""
        if self.holds_orders:
            return
        self.poll_at_s = now_s + POLL_S
        if not (self.silent or self.is_withheld()):
            self.worker.send(now_s, self.extend(now_s), False)
        if self.worker.is_reachable(now_s):
            self.silent = False
            self.clock_ms = self.worker.get_clock_ms(now_s)
            self.reply_at_s = now_s
        elif now_s - self.reply_at_s > SILENCE_S:
            self.silent = True

    def start(self, now_s):
        if self.holds_orders or self.started or self.silent:
            return
        due_s = self.schedule['stored_at_s'] + self.schedule['start_delay_s']
        if now_s >= due_s and not self.is_withheld():
            self.started = True
            self.worker.send(now_s, self.extend(now_s), True)

    def write(self, now_s):
        """Write heartbeats one after the other; repeat those in doubt."""
        if self.writing is None:
            if now_s < self.beat_at_s:
                return
            silent = ('w', now_s - self.reply_at_s, self.get_left_s(now_s))
            names = self.names.name([silent] if self.silent else [])
            self.writing = (now_s, names)
            self.condition = self.written_by_us if names else None
            if self.planted == 'no condition':
                self.condition = None
            if self.planted == 'released when sent':
                self.names.record_durable(self.store.version)
        if now_s < self.write_at_s:
            return
        self.write_at_s = now_s + RETRY_S
        fault = ''
        if is_in(self.schedule['write_span'], now_s):
            fault = self.schedule['write_fault']
        if self.is_cut(now_s):
            fault = 'refused'
        attempt = (self.writing, self.condition)
        if fault == 'late':
            arrival_s = now_s + self.schedule['write_delay_s']
            self.late_writes.append((arrival_s, attempt))
        elif fault != 'refused':
            written = self.store.write(*attempt, now_s)
            if fault != 'lost':
                self.handle_answer(now_s, written)

    def handle_answer(self, now_s, written):
        if self.store.epoch != 1:
            self.fenced = True
        elif written or self.store.heartbeat == self.writing:
            self.written_by_us = self.store.heartbeat_version
            self.names.record_durable(self.written_by_us)
            self.is_named_durably = bool(self.writing[1])
            self.holds_orders = False
            self.beat_at_s = self.writing[0] + HEARTBEAT_S
            self.writing = None
        else:
            self.condition = self.store.heartbeat_version

    def get_left_s(self, now_s):
        if self.planted == 'clock assumed true':
            left_ms = self.lease_until_ms - self.clock_ms
            return max(0.0, left_ms / 1000 - (now_s - self.reply_at_s))
        return dark_workers.compute_lease_left_s(
            self.lease_until_ms, self.clock_ms, now_s - self.reply_at_s
        )

    def is_cut(self, now_s):
        lost = now_s >= self.schedule['lost_at_s']
        return lost and self.schedule['loss'] == 'cut'

    def step(self, now_s):
        for late in [late for late in self.late_writes if late[0] <= now_s]:
            self.late_writes.remove(late)
            self.store.write(*late[1], now_s)
        lost = now_s >= self.schedule['lost_at_s'] and (
            self.schedule['loss'] == 'killed'
            or now_s < self.schedule['lost_at_s'] + 4.0
        )
        if self.fenced or (lost and self.schedule['loss'] != 'cut'):
            return
        self.holds_orders |= now_s - self.last_step_s > STALL_S
        self.last_step_s = now_s
        if now_s >= self.poll_at_s:
            self.renew(now_s)
        self.start(now_s)
        self.write(now_s)


def find_second_run(schedule, planted=''):
    """Play a schedule; return when the task ran twice, or None.

    The next owner starts the task elsewhere unless the worker answers it.
    """
    store, worker = Store(), Worker(schedule)
    owner = Owner(schedule, store, worker, planted)
    stored_version = lease = restarted_at_s = None
    for number in range(int(END_S / STEP_S)):
        now_s = number * STEP_S
        if stored_version is None and now_s >= schedule['stored_at_s']:
            store.version += 1
            stored_version = store.version
        worker.step(now_s)
        claim_s = schedule['lost_at_s'] + schedule['detected_s']
        if lease is None and now_s >= claim_s:
            named = dark_workers.decode_names(
                store.heartbeat[1] if store.heartbeat else None,
                epoch=store.epoch,
                version=store.heartbeat_version,
                read_at_s=store.written_at_s,
            )
            store.epoch = 2
            lease = dark_workers.find_inherited_lease(
                ['w'],
                named,
                now_s
                + LEASE_S / dark_workers.MIN_CLOCK_RATE
                + dark_workers.LEASE_MARGIN_S,
            )
        if lease is not None:
            if worker.is_reachable(now_s):
                return None
            may_start = stored_version is not None and (
                now_s >= lease.end_at_s
                or stored_version >= lease.before_version
            )
            if restarted_at_s is None and may_start:
                restarted_at_s = now_s
            if restarted_at_s is not None and worker.has_task:
                return now_s
            # Another worker refuses its renewals.
            owner.fenced |= now_s >= claim_s + 1.0
        owner.step(now_s)
    return None


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(SCHEDULES)
def test_no_task_runs_twice(schedule):
    assert find_second_run(schedule) is None


# The worker is dark from 2 s to 4 s and again from just before the loss.
PLAIN = {
    'clock_rate': 1.0,
    'dark': [(2.0, 2.0), (7.9, 8.0)],
    'write_fault': 'refused',
    'write_span': (0.0, 0.0),
    'write_delay_s': 0.0,
    'order_delay_s': 0.0,
    'loss': 'killed',
    'lost_at_s': 8.0,
    'detected_s': 0.1,
    'stored_at_s': 0.0,
    'start_delay_s': 5.0,
}


@pytest.mark.parametrize(
    ('planted', 'faults'),
    [
        # It answers again while heartbeats are not written.
        ('not withheld', {'write_span': (3.6, 6.0)}),
        ('released when sent', {'write_span': (4.05, 6.0)}),
        # The heartbeat that names it is written, but not answered.
        (
            'withheld once durable',
            {
                'write_fault': 'late',
                'write_span': (3.0, 6.0),
                'write_delay_s': 1.4,
            },
        ),
        # The heartbeat that named it is written after later ones.
        (
            'no condition',
            {
                'write_fault': 'late',
                'write_span': (3.2, 0.4),
                'write_delay_s': 4.4,
            },
        ),
        (
            'clock assumed true',
            {
                'clock_rate': 0.98,
                'dark': [(2.5, 8.0)],
                'order_delay_s': 3.0,
                'lost_at_s': 4.0,
                'detected_s': 2.0,
                'start_delay_s': 1.0,
            },
        ),
    ],
)
def test_planted_fault_is_found(planted, faults):
    schedule = PLAIN | faults
    assert find_second_run(schedule, planted) is not None
    assert find_second_run(schedule) is None


LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | st.text()


@hypothesis.given(
    st.recursive(
        LEAVES,
        lambda data: (
            st.lists(data, max_size=3)
            | st.dictionaries(st.text(), data, max_size=3)
        ),
    )
)
def test_unreadable_names_are_not_used(data):
    for found in (data, [1, data], [1, {'w': data}], [1, {'w': [data, 0]}]):
        names = dark_workers.decode_names(
            found, epoch=1, version=9, read_at_s=5.0
        )
        assert all(
            lease.end_at_s >= 5.0 and 0 < lease.before_version <= 9
            for lease in names.values()
        )


def test_names_are_few_and_those_of_the_longest_silent():
    silent = [(f'i-{number:04}', number, 5.3) for number in range(200)]
    names = dark_workers.DarkWorkers(epoch=1).name(silent)
    assert list(names[1])[0] == 'i-0199'
    assert len(names[1]) == dark_workers.MAX_NAMED
    assert len(msgspec.msgpack.encode(names)) < 3000


def test_worker_named_again_after_a_gap_has_a_new_version():
    """A job stored in the gap may have been started there."""
    names = dark_workers.DarkWorkers(epoch=1)
    silent = [('w', 2.0, 1.0)]
    versions = []
    for number, found in enumerate([silent, silent, [], silent, silent]):
        data = names.name(found)
        assert 'w' in names
        versions.append(data[1]['w'][1] if data else None)
        names.record_durable(10 + number)
        assert ('w' in names) is bool(found)
    assert versions == [0, 10, None, 0, 13]


def test_names_of_an_earlier_epoch_are_not_used():
    """The owner in between has written no heartbeat, and withheld nobody."""
    names = dark_workers.DarkWorkers(epoch=3).name([('w', 2.0, 1.0)])
    fields = {'version': 9, 'read_at_s': 5.0}
    assert dark_workers.decode_names(names, epoch=3, **fields)
    assert not dark_workers.decode_names(names, epoch=4, **fields)
