"""Speeds of VMs, from replays of the load that made them necessary.

A fifth of the VMs slow down to a sixth for six seconds and are well again.
One task in thirty takes seven times as long on any VM. Declared durations are
wrong by half both ways.
"""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from arbutusrock.scheduling import vm_speeds

TICK_S = 0.05
PASS_S = 0.25
ERRORS = (0.5, 1.0, 1.5)


class Replay:
    """VMs on which tasks of steps run, each followed by another one."""

    def __init__(self, *, seed, vms=10, slow_vms=0, runs=6, error=None):
        self.random = random.Random(seed)
        self.speeds = vm_speeds.VMSpeeds()
        self.vms = [f'vm{number}' for number in range(vms)]
        self.slow_vms = self.vms[:slow_vms]
        self.runs = runs
        self.error = error
        self.count = 0
        # By run: VM, step, work, done work, expected duration.
        self.running = {}
        # By VM, times at which it was judged slow.
        self.judged = {vm: [] for vm in self.vms}

    def start_run(self, vm):
        self.count += 1
        work_s = 7.0 if self.random.random() < 1 / 30 else 1.0
        error = self.error or self.random.choice(ERRORS)
        # Four tasks in a row are of one step.
        self.running[self.count] = [vm, self.count // 4, work_s, 0.0, error]

    def play(self, *, until_s, slow_from_s=4.0, slow_to_s=10.0):
        tick = 0
        while tick * TICK_S < until_s:
            now_s = tick * TICK_S
            slow = self.slow_vms if slow_from_s <= now_s < slow_to_s else ()
            estimated = self.speeds.slow_vms
            for vm in self.vms:
                count = sum(run[0] == vm for run in self.running.values())
                if vm not in estimated and count < self.runs:
                    self.start_run(vm)
            for name, run in list(self.running.items()):
                vm, step, work_s, _, error = run
                run[3] += TICK_S / 6 if vm in slow else TICK_S
                ended = run[3] >= work_s
                fields = {
                    'vm': vm,
                    'run': name,
                    'step': step,
                    'expected_s': error,
                    'clock_s': now_s,
                    'now_s': now_s,
                }
                if ended:
                    self.speeds.record_end(**fields)
                    del self.running[name]
                elif tick % round(PASS_S / TICK_S) == 0:
                    done = int(run[3] / work_s * 100) / 100
                    self.speeds.record_progress(done=done, **fields)
            if tick % round(PASS_S / TICK_S) == 0:
                self.speeds.update(self.running, now_s)
            for vm in self.speeds.slow_vms:
                self.judged[vm].append(now_s)
            tick += 1


def find_longest_stretch_s(times):
    longest_s, begin_s, last_s = 0.0, None, None
    for now_s in times:
        if last_s is None or now_s - last_s > 1.5 * TICK_S:
            begin_s = now_s
        last_s = now_s
        longest_s = max(longest_s, now_s - begin_s)
    return longest_s


@settings(max_examples=20, deadline=None)
@given(
    strategies.integers(0, 10**6),
    strategies.sampled_from([None, *ERRORS]),
    strategies.integers(1, 8),
)
def test_no_sound_vm_is_avoided_for_two_seconds(seed, error, runs):
    replay = Replay(seed=seed, error=error, runs=runs, slow_vms=2)
    replay.play(until_s=16.0)
    for vm in replay.vms:
        sound = [
            now_s
            for now_s in replay.judged[vm]
            if vm not in replay.slow_vms or not 4.0 <= now_s < 10.0
        ]
        assert find_longest_stretch_s(sound) <= 2.0


def test_slow_vms_are_recognised_soon_and_seldom_others():
    delays_s, judged, false = [], 0, 0
    for seed in range(20):
        replay = Replay(seed=seed, slow_vms=2)
        replay.play(until_s=16.0)
        for vm in replay.vms:
            times = replay.judged[vm]
            if vm in replay.slow_vms:
                during = [now_s for now_s in times if 4.0 <= now_s < 10.0]
                delays_s.append(min(during, default=10.0) - 4.0)
                judged += len(during)
            else:
                false += len(times)
    assert sorted(delays_s)[len(delays_s) // 2] < 1.0
    assert max(delays_s) < 2.0
    assert judged * TICK_S > 0.5 * 6.0 * len(delays_s)
    assert false * TICK_S < 0.01 * 16.0 * 8 * 20


def record(speeds, steps, *, rate, from_s=0.0, to_s=2.0, vm='vm'):
    """Record runs that progress at a rate of their work per second."""
    for tick in range(int((to_s - from_s) / PASS_S) + 1):
        now_s = from_s + tick * PASS_S
        for step in steps:
            speeds.record_progress(
                vm=vm,
                run=(step, from_s),
                step=step,
                done=rate * (now_s - from_s),
                expected_s=1.0,
                clock_s=now_s,
                now_s=now_s,
            )


def test_one_step_alone_never_marks_a_vm():
    speeds = vm_speeds.VMSpeeds()
    record(speeds, ['one'], rate=0.14)
    assert not speeds.estimate('vm', 2.0).slow
    for number in range(9):
        speeds.record_progress(
            vm='vm',
            run=number,
            step='one',
            done=0.0,
            expected_s=1.0,
            clock_s=float(number),
            now_s=2.0,
        )
    assert not speeds.estimate('vm', 2.0).slow


def test_two_steps_mark_a_vm_until_one_keeps_up():
    speeds = vm_speeds.VMSpeeds()
    record(speeds, ['one', 'two'], rate=0.15, to_s=1.0)
    estimate = speeds.estimate('vm', 1.0)
    assert estimate.slow
    assert 0.1 < estimate.speed < 0.3
    assert estimate.sureness > 0.5
    assert speeds.update({('one', 0.0), ('two', 0.0)}, 1.0)[0].keys() == {'vm'}
    record(speeds, ['three'], rate=1.0, from_s=1.0, to_s=1.5)
    assert not speeds.estimate('vm', 1.5).slow
    assert speeds.update(set(), 1.5) == ({}, ['vm'])


def test_speed_returns_to_one_without_evidence():
    speeds = vm_speeds.VMSpeeds()
    record(speeds, ['one', 'two'], rate=0.15, to_s=1.0)
    values = [speeds.estimate('vm', 1.0 + x / 10).speed for x in range(20)]
    assert values == sorted(values)
    assert values[-1] == 1.0


def record_tails(speeds, vm):
    """Record two runs of the tail on a VM where others keep up."""
    for tick in range(9):
        now_s = tick * PASS_S
        for number, rate in enumerate((0.14, 0.14, 0.4)):
            speeds.record_progress(
                vm=vm,
                run=number,
                step=number,
                done=rate * now_s,
                expected_s=1.0 if number < 2 else 2.5,
                clock_s=now_s,
                now_s=now_s,
            )


def test_runs_of_the_tail_count_only_when_they_fall_behind_themselves():
    for rate, slow in ((0.14, False), (0.02, True)):
        speeds = vm_speeds.VMSpeeds()
        record_tails(speeds, 'vm')
        assert not speeds.estimate('vm', 2.0).slow
        for tick in range(1, 5):
            for number in range(2):
                speeds.record_progress(
                    vm='vm',
                    run=number,
                    step=number,
                    done=0.28 + rate * tick * PASS_S,
                    expected_s=1.0,
                    clock_s=2.0 + tick * PASS_S,
                    now_s=2.0 + tick * PASS_S,
                )
        assert speeds.estimate('vm', 3.0).slow is slow


def test_next_owner_knows_slow_vms_for_a_short_time():
    speeds = vm_speeds.VMSpeeds()
    record(speeds, ['one', 'two'], rate=0.15, to_s=1.0)
    speeds.update((), 1.0)
    data = speeds.export()
    assert data.keys() == {'vm'}
    restored = vm_speeds.VMSpeeds()
    restored.restore({**data, 'odd': float('nan'), 'fast': 7.0}, 0.5, 50.0)
    restored.update((), 50.5)
    assert restored.slow_vms.keys() == {'vm'}
    restored.update((), 51.5)
    assert not restored.slow_vms
