"""Starts on workers that have shrunk before their leader could know, or did know."""

import pytest

from alderreach.core import orders
from alderreach.core.generated import cell, common
from alderreach.ops.controller import requests
from tests import cell_sim
from tools.standins import cell_worker

FULL = common.Resources(4000, 64_000, 0)
SMALL = common.Resources(1000, 64_000, 0)
# How long after a worker has shrunk starts may still exceed its capacity: the interval
# of heartbeats and the grace, by the default settings.
GRACE_MS = 4500
FOREVER = 1_000_000


def test_a_worker_that_answers_but_sends_no_heartbeats_gets_no_new_runs(tmp_path):
    """Guards against starts by the capacity of an old heartbeat: the worker shrinks
    while its heartbeats are lost, but polls and orders are answered.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        sim.capacity_grace_ms = GRACE_MS
        worker = _worker(sim, work_ms=700)
        cell_sim.submit_job(sim, "j1", cell_sim.step(80))
        sim.run(500)
        _lose_heartbeats(sim, worker)
        worker.capacity = SMALL
        sim.run(8000)
        sim.silent_heartbeats.clear()
        sim.run_until_state("j1", "completed", duration_ms=90_000)


def test_a_worker_that_shrinks_behind_a_cut_gets_no_new_runs_before_its_heartbeat(
    tmp_path,
):
    """Guards against starts by the capacity from before a cut: as it ends, the worker
    answers a poll before its next heartbeat arrives.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        sim.capacity_grace_ms = GRACE_MS
        worker = _worker(sim, work_ms=700)
        cell_sim.submit_job(sim, "j1", cell_sim.step(30))
        sim.run(500)
        _cut_off(sim, worker)
        worker.capacity = SMALL
        sim.run(6000)
        _lose_heartbeats(sim, worker)
        sim.cut = set()
        sim.run(1000)
        sim.silent_heartbeats.clear()
        sim.run_until_state("j1", "completed", duration_ms=60_000)


@pytest.mark.parametrize("is_lost", [True, False])
def test_unanswered_starts_that_no_longer_fit_are_withdrawn(tmp_path, is_lost):
    """Guards against a start that is repeated, or arrives late, although its leader
    knows that the worker has shrunk.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        worker = _worker(sim, work_ms=6_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1_000, lambda: len(worker.running) == 1)
        sim.call_timeout_ms = 500 if is_lost else 0
        delay_ms = FOREVER if is_lost else 3000
        sim.call_delay_ms = lambda call: delay_ms if _is_start(call.order) else 0
        cell_sim.submit_job(sim, "j2", cell_sim.step(3))
        sim.run(200)
        worker.capacity = SMALL
        sim.wait_for_answer(sim.announce(worker))
        sim.run(2000)
        if is_lost:
            sim.call_delay_ms = lambda call: 0
        sim.run(3500)
        assert not sim.events_of("worker_restarted")
        sim.call_delay_ms = lambda call: 0
        sim.run_until_state("j2", "completed")


def test_a_start_that_arrives_late_is_refused_once_its_capacity_is_outdated(tmp_path):
    """Guards against a start that is carried out seconds after it was sent, on a worker
    that has shrunk and whose heartbeats since then are lost.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        sim.capacity_grace_ms = GRACE_MS
        worker = _worker(sim, work_ms=20_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1_000, lambda: len(worker.running) == 1)
        sim.call_delay_ms = lambda call: 5500 if _is_start(call.order) else 0
        cell_sim.submit_job(sim, "j2", cell_sim.step(1, cpu_millis=3000))
        _lose_heartbeats(sim, worker)
        worker.capacity = SMALL
        sim.run(9000)


@pytest.mark.parametrize("delay_ms", [2000, 5000, 7000])
def test_a_heartbeat_delayed_over_a_takeover_does_not_count_as_new(tmp_path, delay_ms):
    """Guards against starts by the capacity of a heartbeat that was sent before the
    worker shrank, and arrives after a takeover.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        sim.capacity_grace_ms = GRACE_MS
        worker = _worker(sim, work_ms=500)
        sim.heartbeat_delay_ms = lambda worker: delay_ms
        sim.announce(worker)
        sim.heartbeat_delay_ms = lambda worker: 0
        worker.capacity = SMALL
        sim.wait_for_answer(sim.announce(worker))
        sim.crash(sim.leader())
        sim.elect()
        _lose_heartbeats(sim, worker)
        cell_sim.submit_job(sim, "j1", cell_sim.step(60))
        sim.run(delay_ms + 2000)
        sim.silent_heartbeats.clear()
        sim.run_until_state("j1", "completed", duration_ms=90_000)


@pytest.mark.parametrize("small", [1000, 2000])
@pytest.mark.parametrize("down_ms", [300, 900, 2000, 7000])
@pytest.mark.parametrize("is_heard", [True, False])
def test_a_worker_restarted_with_less_capacity_is_not_used_before_its_heartbeat(
    tmp_path, small, down_ms, is_heard
):
    """Guards against starts by the capacity that a worker had before it restarted under
    its id: the leader learns of the restart from a poll.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        for each in sim.workers.values():
            each.script = cell_worker.Script(work_ms=700)
        cell_sim.submit_job(sim, "j1", cell_sim.step(40))
        sim.run(1_000)
        worker = sim.workers["w1"]
        _cut_off(sim, worker)
        worker.crash()
        sim.run(down_ms)
        worker.capacity = common.Resources(small, 64_000, 0)
        worker.restart()
        sim.cut = {("w1", name) for name in sim.names if not is_heard}
        sim.run(1500)
        sim.cut = set()
        sim.run_until_state("j1", "completed")


def _worker(sim, work_ms):
    """The only worker of a cell, whose tasks take ``work_ms``."""
    (worker,) = sim.workers.values()
    worker.script = cell_worker.Script(work_ms=work_ms)
    return worker


def _lose_heartbeats(sim, worker):
    for name in sim.names:
        sim.silent_heartbeats[(worker.name, name)] = FOREVER


def _cut_off(sim, worker):
    for name in sim.names:
        sim.cut |= {(name, worker.name), (worker.name, name)}


def _is_start(order):
    return isinstance(order, orders.Start)


def test_a_new_leader_uses_workers_before_their_next_heartbeat(tmp_path):
    """Guards against a takeover after which all workers stay empty until their next
    heartbeat, although other controllers have had one a moment ago.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        relays = {n: keeper._extension.heartbeats for n, keeper in sim.keepers.items()}
        follower = next(name for name in sim.names if name != sim.leader())
        for worker in sim.workers.values():
            outcome = relays[follower].announce(sim.heartbeat_of(worker), 900)
            assert outcome.answer.kind == requests.ACCEPTED
            _lose_heartbeats(sim, worker)
        sim.run(600)
        sim.crash(sim.leader())
        sim.elect()
        cell_sim.submit_job(sim, "j1", cell_sim.step(2))
        assert sim.run(500, lambda: any(w.running for w in sim.workers.values()))


def test_runs_that_a_leader_does_not_know_take_their_part_of_the_capacity(tmp_path):
    """Guards against starts beside a run that is still being stopped after the second
    of two takeovers: the first leader gave the run up behind a cut, the second one
    learned that the worker had not crashed and stopped it.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        worker = _worker(sim, work_ms=60_000)
        worker.stop_ms = 2_500
        step = cell_sim.step(1, cpu_millis=4000, allow_duplicates=True)
        cell_sim.submit_job(sim, "j1", step)
        assert sim.run(1_000, lambda: worker.running)
        _cut_off(sim, worker)
        assert sim.run(3_000, lambda: sim.events_of("run_abandoned"))
        _replace_leader(sim)
        sim.cut = set()
        (run,) = worker.running.values()
        assert sim.run(1_000, lambda: run.stopped_at_ms is not None)
        _replace_leader(sim)
        sim.announce(worker)
        assert sim.run(3_000, lambda: run not in worker.running.values())
        sim.run_until_state("j1", "running")
        sim.run(2_000)
        assert worker.running


def _replace_leader(sim):
    old = sim.leader()
    sim.crash(old)
    sim.elect()
    sim.start(old)


def test_a_run_that_nobody_knows_takes_its_part_of_the_capacity(tmp_path):
    """Guards against starts beside a run that its leader did not expect: a start for a
    cancelled job was held up, and began on the worker's next incarnation before any
    call of the leader. Its stop takes a while.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        sim.keeps_calls_over_restarts = sim.delivers_late_calls_in_cuts = True
        worker = _worker(sim, work_ms=60_000)
        sim.call_delay_ms = lambda call: 2_500 if _is_start(call.order) else 0
        cell_sim.submit_job(sim, "j1", cell_sim.step(1, cpu_millis=4000))
        sim.run(500)
        sim.wait_for_answer(sim.request(cell.CancelJob("a.example", "/q/j1")))
        sim.run(500)
        _cut_off(sim, worker)
        worker.restart()
        worker.stop_ms = 400
        assert sim.run(3_000, lambda: worker.running)
        sim.cut = set()
        sim.call_delay_ms = lambda call: 0
        sim.announce(worker)
        cell_sim.submit_job(sim, "j2", cell_sim.step(1, cpu_millis=4000))
        sim.run_until_state("j2", "running")
        assert sim.run(2_000, lambda: "j2.0.0.0" in worker.running)
        assert sim.events_of("unknown_run_stopped")
