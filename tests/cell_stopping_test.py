"""What a leader logs about cancels and about runs that are to be stopped."""

import collections

import pytest

from alderreach.core import orders
from alderreach.core.generated import cell
from alderreach.ops.controller import order_lanes, stopping
from tests import cell_random_test, cell_sim
from tools.standins import cell_worker

# The lines about the way of a cancel and of a stop, except the ends of runs.
STOP_LINES = ("cancel_acknowledged", "run_outlives_stop", "runs_not_listed")
STOP_FIELDS = {
    "stop_reason",
    "closing_ms",
    "stops",
    "first_stop_ms",
    "confirmed_after_ms",
}


def _start_job(sim, tasks, work_ms=30_000, **options):
    for worker in sim.workers.values():
        worker.script = cell_worker.Script(work_ms)
    cell_sim.submit_job(sim, "j1", cell_sim.step(tasks, **options))
    sim.run(1000)


def _cancel(sim):
    request = cell.CancelJob(cell_sim.HOST, cell_sim.PREFIX + "j1")
    assert sim.wait_for_answer(sim.request(request)).kind == "accepted"


def _leader(sim):
    return sim.keepers[sim.elect()]._extension._term.leader


def _delay_stops(sim, delay_ms):
    is_stop = lambda call: isinstance(call.order, orders.Stop)
    sim.call_delay_ms = lambda call: delay_ms if is_stop(call) else 0


def test_a_cancel_is_logged_with_its_commit_and_its_runs_with_their_stopping(tmp_path):
    with cell_sim.running_cell(tmp_path) as sim:
        _start_job(sim, 5)
        _cancel(sim)
        sim.run(1000)
        (cancel,) = sim.events_of("cancel_acknowledged")
        assert (cancel["job"], cancel["runs_to_stop"]) == ("j1", 5)
        assert 0 <= cancel["commit_ms"] < 500
        assert (cancel["missing"], cancel["in_doubt"]) == ([], [])
        ends = sim.events_of("run_ended")
        assert len(ends) == 5
        for end in ends:
            assert (end["stop_reason"], end["stops"]) == ("cancelled", 1)
            assert end["first_stop_ms"] == 0
            assert 0 <= end["confirmed_after_ms"] <= end["closing_ms"] < 1000
        metrics = _leader(sim).environment.metrics
        assert metrics.total("runs_to_stop") == 5
        assert metrics.quantile_ms("run_stop", 100.0) < 1000
        assert not sim.events_of("run_outlives_stop")


def test_the_end_of_a_run_that_nobody_stops_has_no_fields_about_a_stop(tmp_path):
    with cell_sim.running_cell(tmp_path) as sim:
        _start_job(sim, 2, work_ms=300)
        sim.run_until_state("j1", "completed")
        assert not any(STOP_FIELDS & set(end) for end in sim.events_of("run_ended"))


def test_a_run_that_outlives_its_stop_is_logged_once_with_what_its_stop_waits_for(
    tmp_path,
):
    """Two stops wait behind as many as may hang, which the worker does not answer."""
    runs = order_lanes.MAX_LANES + 2
    with cell_sim.running_cell(tmp_path, workers=1, cpu_millis=64_000) as sim:
        _start_job(sim, runs)
        sim.sends_in_sequence, sim.call_timeout_ms = True, 5000
        _delay_stops(sim, 60_000)
        _cancel(sim)
        sim.run(3000)
        lines = sim.events_of("run_outlives_stop")
        before = sorted(line["before_stop"] for line in lines)
        assert before == [0] * order_lanes.MAX_LANES + [1, 2]
        for line in lines:
            assert line["state"] == "closing"
            assert line["stop_reason"] == "cancelled"
            assert line["stops"] == 1
            assert line["next_stop_in_ms"] is None
            assert stopping.OVERDUE_MS <= line["closing_ms"] < stopping.OVERDUE_MS + 100
        assert _leader(sim).environment.metrics.total("runs_outlive_stop") == runs


def test_a_stop_that_is_repeated_is_logged_with_the_time_of_the_next_one(tmp_path):
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        _start_job(sim, 1)
        sim.call_timeout_ms = 300
        _delay_stops(sim, 60_000)
        _cancel(sim)
        sim.run(4000)
        (line,) = sim.events_of("run_outlives_stop")
        assert line["outcome"] == orders.UNKNOWN
        assert line["stops"] > 3
        assert (line["next_stop_in_ms"] is None) != (line["before_stop"] is None)


def test_a_stop_that_got_lost_on_its_way_is_logged_once(tmp_path):
    """Guards against a run that is never stopped: its stop was lost in the leader's own
    process, and a closing run without a time to send one again has no other.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        _start_job(sim, 1)
        link = _leader(sim).links["w1"]
        link.order = lambda order: None
        with pytest.raises(cell_worker.PromiseViolation, match="stop_stranded"):
            _cancel(sim)
            sim.run(3000)
        sim.run(1500)
        (line,) = sim.events_of("stop_stranded")
        assert (line["state"], line["stops"]) == ("closing", 1)
        assert line["before_stop"] is None
        assert line["next_stop_in_ms"] is None


def test_a_new_leader_logs_runs_of_a_cancelled_job_that_it_cannot_stop(tmp_path):
    """The leader crashes after it has acknowledged a cancel, and its successor can't
    reach the worker whose run is to be stopped.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        _start_job(sim, 1)
        _delay_stops(sim, 60_000)
        sim.call_timeout_ms = 500
        _cancel(sim)
        first = sim.leader()
        for name in sim.names:
            sim.cut |= {(name, "w1"), ("w1", name)}
        sim.crash(first)
        sim.run(5000)
        (line,) = sim.events_of("run_outlives_stop")
        assert (line["state"], line["stops"]) == ("ordered", 0)
        assert line["stop_reason"] == "cancelled"
        assert line["failures"] > 0


def test_a_run_that_the_leader_does_not_know_is_logged_with_its_task(tmp_path):
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        _start_job(sim, 2)
        _delay_stops(sim, 60_000)
        known = _leader(sim).workers["w1"]
        run = next(iter(known.runs.values()))
        known.remove(run)
        _cancel(sim)
        (cancel,) = sim.events_of("cancel_acknowledged")
        assert cancel["runs_to_stop"] == 1
        assert cancel["missing"] == [f"{run.key}/1@w1"]
        sim.run(2000)
        line = sim.events_of("unknown_run_stopped")[-1]
        assert (line["task"], line["job_state"]) == (str(run.key), "cancelled")
        assert (line["newest_run"], line["newest_target"]) == (1, "w1")


def test_a_lost_worker_is_logged_with_the_runs_that_it_had(tmp_path):
    with cell_sim.running_cell(tmp_path, workers=1, cpu_millis=64_000) as sim:
        _start_job(sim, 30)
        sim.workers["w1"].crash()
        sim.run(12_000)
        (line,) = sim.events_of("lease_expired")
        assert line["runs"] == 30
        assert len(line["tasks"]) == stopping.MAX_NAMED_RUNS


def test_the_runs_that_a_restarted_worker_lost_are_logged(tmp_path):
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        _start_job(sim, 2)
        sim.workers["w1"].crash()
        sim.workers["w1"].restart()
        sim.run(3000)
        (restarted,) = sim.events_of("worker_restarted")
        (line,) = sim.events_of("runs_not_listed")
        assert restarted["tasks"] == line["tasks"] == ["j1.0.0.0/1@w1", "j1.0.0.1/1@w1"]


class CancelDay(cell_random_test.Chaos):
    """A random day with many cancels, on which orders wait for unanswered ones."""

    def __init__(self, sim, seed):
        super().__init__(sim, seed)
        sim.sends_in_sequence, sim.call_timeout_ms = True, 500
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=4000)
        self.actions += [self.submit_and_cancel] * 12

    def call_delay_ms(self, call):
        """Delay half of the orders, which then get no answer."""
        if isinstance(call.order, orders.Poll) or self.rng.random() > 0.5:
            return 0
        return self.rng.randrange(1000, 12_000)

    def recover(self):
        """Let jobs end whose acceptance got lost, then recover as after any day."""
        self.sim.call_delay_ms = lambda call: 0
        self.restore_workers()
        self.restore_controllers()
        self.sim.run(20_000)
        super().recover()

    def submit_and_cancel(self):
        """Submit two jobs, and cancel one of those that were accepted."""
        for _job in range(2):
            self.submit_job()
        self.sim.run(300)
        self.collect_replies()
        self.cancel()

    def _send_request(self, job_id, request):
        """Send a request to the leader, if there is one."""
        name = self.sim.leader() or self.rng.choice(sorted(self.sim.keepers))
        self.pending_requests[self.sim.request(request, name)] = job_id


# Days on which some runs outlive their stop.
@pytest.mark.parametrize("seed", [0, 2, 26, 55])
def test_the_lines_about_stops_on_a_random_day_are_bounded(tmp_path, seed):
    """An acknowledged cancel has one line, a run at most one of each leader that says
    that it outlives its stop, and an incarnation of a worker one about its first list.
    """
    with cell_sim.running_cell(tmp_path, workers=4, cpu_millis=3000) as sim:
        CancelDay(sim, seed).run()
        counts = collections.Counter(kind for _name, kind, _fields in sim.events)
        assert 0 < counts["cancel_acknowledged"] <= counts["job_cancelled"]
        outliving = collections.Counter(
            (name, line["task"], line["run"])
            for name, kind, line in sim.events
            if kind == "run_outlives_stop"
        )
        assert outliving
        assert max(outliving.values()) <= counts["leadership_gained"]
        placed = {(line["task"], line["run"]) for line in sim.events_of("run_placed")}
        assert {(task, run) for _name, task, run in outliving} <= placed
        restarts = counts["worker_restarted"] + counts["worker_clock_behind"]
        assert counts["runs_not_listed"] <= restarts
        added = sum(counts[kind] for kind in STOP_LINES)
        assert added <= 0.1 * sum(counts.values())
