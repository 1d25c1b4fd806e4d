"""Which runs are blamed for a crash, and when a task is given up."""

from arbutusrock.scheduling import crash_attribution


def create_run(unit, survived_s, crashes=()):
    return crash_attribution.CrashedRun(
        number=1, unit=unit, survived_s=survived_s, crashes=crashes
    )


def attribute(*runs):
    """Return the units to blame first, and those that may be the cause."""
    records = crash_attribution.attribute_crash(list(runs))
    suspects = {unit for unit, record in records.items() if record.suspect}
    return suspects, set(records)


def test_newest_runs_are_blamed_before_their_neighbours():
    suspects, known = attribute(
        create_run('new', 0.0), create_run('old', 2.0), create_run('ages', 60)
    )
    assert suspects == {'new'}
    assert known == {'new', 'old'}


def test_run_that_lasts_is_never_blamed():
    """A worker with one lasting task crashes from time to time."""
    assert attribute(create_run('lasts', 3600.0)) == (set(), set())


def test_settled_runs_are_blamed_when_no_other_was_there():
    """The culprit crashes its worker some seconds after its start."""
    crashes = []
    for _ in range(crash_attribution.MAX_SUSPECTED_CRASHES):
        records = crash_attribution.attribute_crash(
            [create_run('slow', 1.5, crashes), create_run('other', 4.0)]
        )
        crashes.append(records['slow'])
        if crash_attribution.should_give_up(crashes):
            break
    assert len(crashes) <= 3


def test_several_suspects_are_no_sole_ones():
    records = crash_attribution.attribute_crash(
        [create_run('a', 0.0), create_run('b', 0.1)]
    )
    assert not any(record.sole for record in records.values())
    crashes = [records['a']] * 3
    assert not crash_attribution.should_give_up(crashes)
    assert crash_attribution.should_give_up([*crashes, records['a']])


def test_members_of_a_gang_are_one_suspect():
    records = crash_attribution.attribute_crash(
        [create_run('gang', 0.0), create_run('gang', 0.05)]
    )
    assert records['gang'].sole


def test_task_is_cleared_by_a_longer_run():
    record = crash_attribution.CrashRecord(
        run=1, survived_s=0.4, suspect=True, sole=True
    )
    assert crash_attribution.is_suspect([record])
    assert not crash_attribution.is_cleared([record], 0.5)
    assert crash_attribution.is_cleared([record], 0.6)


def create_sole(*times_s):
    return [
        crash_attribution.CrashRecord(
            run=number, survived_s=time_s, suspect=True, sole=True
        )
        for number, time_s in enumerate(times_s)
    ]


def test_sound_task_is_given_up_after_two_crashes_of_its_workers():
    """Guards against LOST: workers crash for other reasons as well.

    They fall at any time after the start of a run that is alone there.
    """
    assert not crash_attribution.should_give_up(create_sole(2.0, 1.0))
    assert not crash_attribution.should_give_up(create_sole(2.0, 2.0))
    assert not crash_attribution.should_give_up(create_sole(0.0, 3.0))
    assert not crash_attribution.should_give_up(create_sole(4.0, 0.6, 2.0))


def test_task_that_crashes_its_worker_at_one_point_is_started_for_ever():
    assert crash_attribution.should_give_up(create_sole(0.0, 0.05))
    assert crash_attribution.should_give_up(create_sole(2.0, 1.8, 2.1))
    assert crash_attribution.should_give_up(create_sole(0.4, 0.6, 0.5))
    # The evidence of any four crashes is enough.
    assert crash_attribution.should_give_up(create_sole(4.0, 0.6, 2.0, 8.0))
    assert not crash_attribution.should_give_up(
        create_sole(2.0, 2.0, 2.0), lasting=True
    )


def test_crashes_of_neighbours_pile_up_under_a_task():
    """Its row would grow with each of them."""
    crashes = create_sole(0.4)
    for number in range(50):
        crashes.append(
            crash_attribution.CrashRecord(run=number, survived_s=number % 9)
        )
        crash_attribution.drop_needless(crashes)
    assert len(crashes) <= crash_attribution.MAX_RECORDS
    assert crash_attribution.count_sole_crashes(crashes) == 1
    assert max(crash.survived_s for crash in crashes) == 8
