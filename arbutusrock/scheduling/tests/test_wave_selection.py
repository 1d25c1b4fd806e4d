"""Choice of the VMs of a wave while a queue bursts."""

from arbutusrock.scheduling import wave_selection


def create_vm(
    name, *, empty=False, cordoned=False, serving_steps=(), load=0.5
):
    return wave_selection.WaveVM(
        vm=name,
        pool='p',
        empty=empty,
        cordoned=cordoned,
        serving_steps=serving_steps,
        load=load,
    )


def choose(waiting, *, down=0, max_down=2, time_left_s=100.0, load=0.9):
    chosen = wave_selection.choose_wave_vms(
        waiting,
        down=down,
        max_down=max_down,
        time_left_s=time_left_s,
        maintenance_s=2.0,
        pool_loads={'p': load},
    )
    return [vm.vm for vm in chosen]


def test_wave_takes_empty_vms_and_spares_busy_pool():
    waiting = [create_vm('a'), create_vm('b', empty=True)]
    assert choose(waiting) == ['b']
    assert choose(waiting, load=0.2) == ['b', 'a']


def test_wave_respects_max_down():
    waiting = [create_vm(name, empty=True) for name in 'abcd']
    assert len(choose(waiting)) == 2
    assert len(choose(waiting, down=1)) == 1
    assert not choose(waiting, down=2)
    waiting[3] = create_vm('d', cordoned=True)
    assert choose(waiting, down=1) == ['d']


def test_wave_starts_early_for_sequential_moves():
    """Guards against starting the last VMs of a wave too late.

    Serving tasks of one step move one after the other, which takes long.
    """
    waiting = [create_vm(name, serving_steps=['s', 's']) for name in 'abc']
    assert not choose(waiting, max_down=3, time_left_s=30.0)
    # Six moves of 1.7 s plus the maintenance exceed the planned time.
    assert len(choose(waiting, max_down=3, time_left_s=15.0)) == 3
    assert not choose([create_vm('a')], time_left_s=15.0)
    others = [create_vm(name, serving_steps=[name]) for name in 'abc']
    assert not choose(others, max_down=3, time_left_s=15.0)


def test_wave_takes_slow_vms_before_empty_vms():
    """Guards against empty VMs taking all places of the first rounds.

    Fifteen tasks of one step on three VMs need 25 of the 26 seconds, so these
    VMs must start first.
    """
    waiting = [create_vm(f'e{n}', empty=True) for n in range(9)]
    waiting += [create_vm(name, serving_steps=['s'] * 5) for name in 'abc']
    chosen = choose(waiting, max_down=4, time_left_s=26.0)
    assert set(chosen) >= {'a', 'b', 'c'}
    assert len(chosen) == 4


def test_wave_takes_busy_vms_when_late():
    waiting = [create_vm(name) for name in 'abcd']
    assert not choose(waiting)
    assert len(choose(waiting, time_left_s=10.0)) == 2
