"""Load on workers that leave more than half of their calls without an answer.

Each call, an order or a poll, is lost independently and carried out 2 to 12 s later.
"""

import random

import pytest

from alderreach.core import cell_state
from tests import cell_sim

LOST_SHARE = 0.55
# By the queue of ``cell_sim``: twice the work, and 500 ms.
OBJECTIVE_MS = 1500
JOBS = 50
JOB_INTERVAL_MS = 400
# Of the value of their jobs, which customers are to get on such a day.
MIN_SHARE_ON_TIME = 0.6


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_work_goes_on_while_most_calls_to_workers_get_no_answer(tmp_path, seed):
    """Guards against accepted work that is placed again and again and never sent, while
    the workers are idle: starts waited for the timeout of one that was lost.
    """
    rng = random.Random(seed)

    def call_delay_ms(_call):
        return rng.randrange(2000, 12_000) if rng.random() < LOST_SHARE else 0

    with cell_sim.running_cell(tmp_path, workers=8, cpu_millis=8000) as sim:
        sim.sends_in_sequence, sim.call_timeout_ms = True, 500
        sim.call_delay_ms = call_delay_ms
        for number in range(JOBS):
            cell_sim.submit_job(sim, f"j{number}", cell_sim.step(4))
            sim.run(JOB_INTERVAL_MS)
        sim.run(3 * OBJECTIVE_MS)
        jobs = sim.committed_state().jobs.values()
        took_ms = [
            job.ended_ms - job.accepted_ms
            for job in jobs
            if job.state == cell_state.COMPLETED
        ]
        on_time = sum(duration_ms <= OBJECTIVE_MS for duration_ms in took_ms)
        assert on_time >= MIN_SHARE_ON_TIME * JOBS, (on_time, sorted(took_ms))
        sim.call_delay_ms = lambda call: 0
        for job in jobs:
            sim.run_until_state(job.record.job_id, "completed", 10_000)
