"""Which losses of contact coincide, while single workers or many are lost."""

import pytest

from alderreach.decisions.cell import contact_losses

FRESH = contact_losses.LostRun("j1", was_fresh=True)
OLDER = contact_losses.LostRun("j1", was_fresh=False)


def loss(number, from_ms, to_ms, job_ids=(), has_suspect=False, is_down=True):
    return contact_losses.Loss(
        f"w{number}", from_ms, to_ms, frozenset(job_ids), has_suspect, is_down
    )


def recorded(*losses):
    result = contact_losses.ContactLosses()
    for each in losses:
        result.record(each)
    return result


def judge(losses, run, from_ms=1000, to_ms=1050, now_ms=3000):
    return losses.coincidence("w0", run, from_ms, to_ms, now_ms)


def test_one_other_loss_excuses_a_run_at_work_but_not_a_fresh_one():
    """Guards against a task that crashes workers and is excused by a single crash."""
    losses = recorded(loss(1, 1000, 1040))
    assert judge(losses, OLDER) == contact_losses.SHARED
    assert judge(losses, FRESH) == contact_losses.ALONE


def test_a_rack_that_is_lost_excuses_a_fresh_run():
    """Guards against a task that is blamed for the failure of a rack."""
    losses = recorded(*(loss(number, 1000, 1040) for number in range(1, 4)))
    assert judge(losses, FRESH) == contact_losses.SHARED


@pytest.mark.parametrize("other", [{"job_ids": ["j2"]}, {"has_suspect": True}])
def test_workers_that_others_may_have_crashed_excuse_no_fresh_run(other):
    """Guards against tasks that crash workers and excuse each other."""
    losses = recorded(*(loss(number, 1000, 1040, **other) for number in range(1, 4)))
    assert judge(losses, FRESH) == contact_losses.ALONE


def test_long_intervals_that_fill_the_time_tell_nothing():
    """Load: workers are lost all the time, and their losses are noticed late."""
    losses = recorded(
        *(loss(number, 300 * number, 300 * number + 1500) for number in range(1, 40))
    )
    at_ms = 11_000
    assert judge(losses, FRESH, at_ms, at_ms + 20) == contact_losses.ALONE
    assert judge(losses, FRESH, at_ms, at_ms + 900) == contact_losses.UNCLEAR
    assert judge(losses, OLDER, at_ms, at_ms + 900) == contact_losses.UNCLEAR


def test_a_worker_that_lost_a_call_a_moment_ago_is_not_lost():
    """Guards against lost answers that are taken for crashes of other workers."""
    losses = recorded(loss(1, 1000, 1040, is_down=False))
    assert judge(losses, OLDER, now_ms=1500) == contact_losses.ALONE
    assert judge(losses, OLDER, now_ms=2500) == contact_losses.SHARED
    losses.forget("w1")
    assert judge(losses, OLDER, now_ms=2500) == contact_losses.ALONE


def test_the_loss_of_an_ended_incarnation_is_kept_beside_that_of_the_next_one():
    """Guards against a loss that the next incarnation under the same id hides."""
    losses = recorded(loss(1, 1000, 1040))
    losses.keep("w1")
    losses.record(loss(1, 1200, 1300))
    losses.forget("w1")
    assert judge(losses, OLDER) == contact_losses.SHARED
    losses.tidy(1000 + 2 * contact_losses.RETENTION_MS)
    assert judge(losses, OLDER) == contact_losses.ALONE


def test_many_losses_at_once_are_shared_whatever_ran_on_the_workers():
    """Load: hundreds of workers are lost together, each with a run that just began."""
    losses = recorded(*(loss(number, 900, 1100, ["j2"]) for number in range(1, 300)))
    assert judge(losses, FRESH) == contact_losses.SHARED
