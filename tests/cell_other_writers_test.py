"""Heartbeats of another writer beside a worker's own, every 1.5 s and for a minute."""

import pytest

from alderreach.core import cell_state
from alderreach.core.generated import cell, common
from alderreach.ops.controller import requests
from tests import cell_sim

HEARTBEAT_MS = 1500
HOUR_MS = 3_600_000
FOREVER = 2**60
WORK_MS = 300


def sends_as(sim, worker, record=None, sequence=0, ahead_ms=0):
    """Send what another writer sends in a worker's name; returns the answer."""
    own = sim.heartbeat_of(worker)
    worker.sequence -= 1
    message = cell.AnnounceTarget(
        own.record._replace(**record or {}),
        own.sequence + sequence,
        own.clock_ms + ahead_ms,
    )
    return sim.wait_for_answer(sim.request(message))


def _known_workers(sim):
    return sim.keepers[sim.elect()]._extension._term.leader.workers


REPORTS = {
    "another address": {"record": {"address": "10.9.9.9:9"}},
    "another failure domain": {"record": {"failure_domain": "elsewhere"}},
    "a service that is not named": {"record": {"service": "not-named"}},
    "a higher number": {"sequence": FOREVER},
    "a clock ahead": {"ahead_ms": HOUR_MS},
    "a higher number and a clock ahead": {"sequence": FOREVER, "ahead_ms": HOUR_MS},
    "an earlier incarnation": {"record": {"born_ms": 1}},
}


@pytest.mark.parametrize("report", REPORTS.values(), ids=REPORTS.keys())
def test_reports_of_another_writer_delay_no_job(tmp_path, report):
    """Guards against jobs that wait beside idle workers, since another writer's reports
    change what is known of these.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        for worker in sim.workers.values():
            worker.script = worker.script._replace(work_ms=WORK_MS)
        for number in range(20):
            for worker in sim.workers.values():
                sends_as(sim, worker, **report)
            job_id = f"j{number}"
            cell_sim.submit_job(sim, job_id, cell_sim.step(2))
            sim.run(HEARTBEAT_MS)
            assert sim.read_job(job_id).text == cell_state.COMPLETED, job_id
        sim.run(10_000)
        cell_sim.submit_job(sim, "last", cell_sim.step(2))
        sim.run(HEARTBEAT_MS)
        assert sim.read_job("last").text == cell_state.COMPLETED


def test_a_report_with_a_service_that_is_not_named_changes_nothing(tmp_path):
    """Guards against workers that no queue may use, although they are idle."""
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        (worker,) = sim.workers.values()
        answer = sends_as(sim, worker, {"service": "not-named", "state": "draining"})
        assert answer.kind == requests.INVALID
        assert "not-named" in answer.text
        stranger = {"service": "not-named", "target_id": "stranger"}
        assert sends_as(sim, worker, stranger).kind == requests.INVALID
        known = _known_workers(sim)
        assert list(known) == [worker.name]
        assert known[worker.name].record.service == "pool"
        assert known[worker.name].record.state == "ready"


def test_a_worker_keeps_a_service_that_a_configuration_drops(tmp_path):
    """Guards against the drain of such a worker that is refused."""
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        (worker,) = sim.workers.values()
        config = sim.configuration(9)
        other = cell.ServiceConfig("other", False, False)
        config = config._replace(queues=[], services=[other])
        assert sim.wait_for_answer(sim.request(cell.PutConfig(config))).kind
        worker.state = "draining"
        assert sends_as(sim, worker).kind == requests.ACCEPTED
        assert _known_workers(sim)[worker.name].record.state == "draining"


def test_a_worker_that_another_writer_announced_first_is_used(tmp_path):
    """Guards against a worker's own reports being refused permanently: another writer's
    came first, with another service, before there was a configuration.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        (worker,) = sim.workers.values()
        config = sim.configuration(9)
        other = cell.ServiceConfig("other", False, False)
        both = config._replace(services=[*config.services, other])
        assert sim.wait_for_answer(sim.request(cell.PutConfig(both))).kind
        worker.restart()
        sends_as(sim, worker, {"service": "other", "address": "10.9.9.9:9"})
        sim.run(500)
        assert sim.wait_for_answer(
            sim.request(cell.PutConfig(config._replace(version=10)))
        ).kind
        sim.run(10_000)
        cell_sim.submit_job(sim, "j", cell_sim.step(2))
        sim.run_until_state("j", cell_state.COMPLETED, 5000)


def test_a_report_out_of_range_that_an_earlier_version_passes_on_is_refused(tmp_path):
    """Guards against a capacity that an earlier version does not check."""
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        (worker,) = sim.workers.values()
        huge = common.Resources(2**63, -1, 0)
        assert sends_as(sim, worker, {"capacity": huge}).kind == requests.INVALID
