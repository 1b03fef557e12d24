"""Controllers whose wall clocks are wrong, and how long ended jobs can be read."""

import shutil

from alderreach.core import cell_state
from tests import cell_sim

HOUR_MS = 3_600_000


def test_ended_jobs_outlive_a_loss_of_power_of_all_controllers(tmp_path):
    """Guards against ended jobs that become unknown: after a loss of power no process
    has seen a batch since its start, and the leader goes by a clock that is ahead.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        _complete_job(sim, "j1")
        for name in sim.names:
            sim.wall_offsets_ms[name] = HOUR_MS
            sim.crash(name)
        for name in sim.names:
            sim.start(name)
        _complete_job(sim, "j2")
        assert sim.read_job("j1").text == "completed"


def test_ended_jobs_outlive_the_replacement_of_all_other_controllers(tmp_path):
    """Guards against ended jobs that become unknown: a process that has joined has its
    state from a snapshot, has seen no batch, and leads with a clock that is ahead.
    """
    with cell_sim.running_cell(tmp_path, snapshot_entries=10) as sim:
        _complete_job(sim, "j1")
        leader = sim.leader()
        for name in sim.names:
            if name != leader:
                sim.wall_offsets_ms[name] = HOUR_MS
                sim.crash(name)
                shutil.rmtree(sim.folder / name)
                sim.start(name)
                sim.run(3000)
        sim.crash(leader)
        _complete_job(sim, "j2")
        assert sim.read_job("j1").text == "completed"


def test_a_clock_that_was_ahead_does_not_keep_ended_jobs_for_longer(tmp_path):
    """Guards against memory that fills with ended jobs: a former leader's clock was an
    hour ahead, and its mark stays in the log.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        for name in sim.names:
            sim.wall_offsets_ms[name] = HOUR_MS
        _complete_job(sim, "j1")
        for name in sim.names:
            sim.wall_offsets_ms[name] = 0
        until_ms = sim.time.now_ms + cell_state.ENDED_JOB_RETENTION_MS + 60_000
        number = 2
        while sim.time.now_ms < until_ms:
            _complete_job(sim, f"j{number}")
            sim.run(4000)
            number += 1
        assert sim.read_job("j1").kind == "no_job"


def _complete_job(sim, job_id):
    sim.elect()
    cell_sim.submit_job(sim, job_id, cell_sim.step(1))
    sim.run_until_state(job_id, "completed")
