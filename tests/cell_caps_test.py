"""Customers' caps: what they have running at the same time, whatever fails."""

from tests import cell_sim
from tools.standins import cell_worker

LONG = cell_worker.Script(work_ms=60_000)


def count_running(sim, owner):
    return sum(
        sim.owners[task.split(".")[0]] == owner
        for worker in sim.workers.values()
        for task in worker.running
    )


def test_a_customer_at_its_cap_waits_and_others_go_on(tmp_path):
    with cell_sim.running_cell(tmp_path, workers=3, cpu_millis=4000) as sim:
        cell_sim.configure_customers(
            sim, 2, cell_sim.customer("a", 3000), cell_sim.customer("b", 9000)
        )
        cell_sim.submit_for(sim, "a", "j1", cell_sim.step(10))
        cell_sim.submit_for(sim, "b", "j2", cell_sim.step(4))
        sim.run_until_state("j2", "completed", duration_ms=5000)
        sim.run_until_state("j1", "completed", duration_ms=10_000)


def test_a_task_larger_than_the_whole_cap_runs_alone(tmp_path):
    with cell_sim.running_cell(tmp_path) as sim:
        cell_sim.configure_customers(sim, 2, cell_sim.customer("a", 1500))
        sim.caps_in_force["a"] = [2000]
        cell_sim.submit_for(sim, "a", "j1", cell_sim.step(3, cpu_millis=2000))
        sim.run_until_state("j1", "completed", duration_ms=10_000)


def test_a_cap_that_is_lowered_stops_nothing_and_one_that_is_raised_holds_at_once(
    tmp_path,
):
    with cell_sim.running_cell(tmp_path, workers=3, cpu_millis=4000) as sim:
        for worker in sim.workers.values():
            worker.script = LONG
        cell_sim.configure_customers(sim, 2, cell_sim.customer("a", 4000))
        cell_sim.submit_for(sim, "a", "j1", cell_sim.step(9))
        assert sim.run(2000, lambda: count_running(sim, "a") == 4)
        cell_sim.configure_customers(sim, 3, cell_sim.customer("a", 2000))
        sim.run(2000)
        assert count_running(sim, "a") == 4
        sim.caps_in_force["a"] = [6000]
        cell_sim.configure_customers(sim, 4, cell_sim.customer("a", 6000))
        assert sim.run(500, lambda: count_running(sim, "a") == 6)


def configure_patient_customer(sim):
    """Configure a cap, and objectives long enough that no job is refused for load."""
    customer = cell_sim.customer("a", 4000)
    cell_sim.configure_customers(sim, 2, customer, target_latency_ms=20_000)


def test_a_gang_gets_its_share_of_a_cap_that_small_tasks_keep_used_up(tmp_path):
    """Guards against a gang that never starts: each task of its customer that ends
    leaves room for another small one, and never for the whole gang.
    """
    with cell_sim.running_cell(tmp_path, workers=8, cpu_millis=1000) as sim:
        for number, worker in enumerate(sim.workers.values()):
            worker.script = cell_worker.Script(work_ms=310 + 130 * number)
        configure_patient_customer(sim)
        cell_sim.submit_for(sim, "a", "first", cell_sim.step(4))
        cell_sim.submit_for(sim, "a", "gang", cell_sim.step(4, gang=True))
        for number in range(30):
            cell_sim.submit_for(sim, "a", f"j{number}", cell_sim.step(4))
        sim.run_until_state("gang", "completed", duration_ms=8000)
        assert sim.read_job("j29").text == "queued"


def test_a_gang_that_lasting_tasks_leave_no_room_for_holds_up_nothing(tmp_path):
    """Guards against a customer whose work stands still: room was saved for a gang that
    can't get it, as tasks that last hold a part of the cap.
    """
    with cell_sim.running_cell(tmp_path, workers=8, cpu_millis=1000) as sim:
        for worker in sim.workers.values():
            worker.script = LONG
        configure_patient_customer(sim)
        cell_sim.submit_for(sim, "a", "watch", cell_sim.step(2, long_running=True))
        sim.run(500)
        for number, worker in enumerate(sim.workers.values()):
            worker.script = cell_worker.Script(work_ms=310 + 130 * number)
        cell_sim.submit_for(sim, "a", "gang", cell_sim.step(3, gang=True))
        for number in range(8):
            cell_sim.submit_for(sim, "a", f"j{number}", cell_sim.step(4))
        sim.run(4000)
        sim.run_until_state("j7", "completed", duration_ms=12_000)
        assert sim.read_job("gang").text == "queued"


def test_a_new_leader_counts_what_its_predecessor_started(tmp_path):
    """Guards against a customer that exceeds its cap after a change of the leader. The
    former leader gave up a run that may run twice and started it elsewhere, while the
    silent worker still ran the first one.
    """
    with cell_sim.running_cell(tmp_path, workers=3, cpu_millis=4000) as sim:
        for worker in sim.workers.values():
            worker.script = LONG
        cell_sim.configure_customers(sim, 2, cell_sim.customer("a", 5000))
        cell_sim.submit_for(sim, "a", "j1", cell_sim.step(12, allow_duplicates=True))
        assert sim.run(2000, lambda: count_running(sim, "a") == 5)
        silent = max(sim.workers.values(), key=lambda worker: len(worker.running))
        sim.cut |= {(silent.name, name) for name in sim.names}
        sim.run(2500)
        sim.crash(sim.elect())
        sim.run(3000)
        assert silent.running
        sim.run(10_000)
        assert count_running(sim, "a") == 5
