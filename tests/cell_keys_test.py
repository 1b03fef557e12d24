"""Callers' keys: which requests they allow, and when a change of them holds."""

import pytest

from alderreach.core.generated import cell
from alderreach.ops.controller import requests
from tests import cell_sim


def ask(sim, kind, job_id, key_digest=b""):
    path = cell_sim.PREFIX + job_id
    return sim.wait_for_answer(sim.request(kind(cell_sim.HOST, path, key_digest)))


@pytest.mark.parametrize("digest", [b"", b"nobody"])
def test_a_request_without_a_known_key_is_refused(tmp_path, digest):
    with cell_sim.running_cell(tmp_path) as sim:
        cell_sim.configure_customers(sim, 2, cell_sim.customer("a", 1000))
        request = cell_sim.job_request("j1", [cell_sim.step(1)], digest)
        answer = sim.wait_for_answer(sim.request(request))
        assert answer.kind == requests.UNKNOWN_KEY
        sim.run(2000)
        assert not sim.committed_state().jobs


def test_a_queue_that_allows_it_needs_no_key_but_refuses_an_unknown_one(tmp_path):
    with cell_sim.running_cell(tmp_path) as sim:
        cell_sim.configure_customers(
            sim, 2, cell_sim.customer("a", 1000), allows_anonymous=True
        )
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert ask(sim, cell.ReadJob, "j1", b"nobody").kind == requests.UNKNOWN_KEY
        sim.run_until_state("j1", "completed")


def test_a_cell_without_customers_needs_no_key(tmp_path):
    with cell_sim.running_cell(tmp_path) as sim:
        sim.steps["j1"] = [cell_sim.step(1)]
        request = cell_sim.job_request("j1", sim.steps["j1"], b"anything")
        assert sim.wait_for_answer(sim.request(request)).kind == requests.ACCEPTED


def test_a_key_works_from_the_version_that_adds_it_to_the_one_that_removes_it(tmp_path):
    with cell_sim.running_cell(tmp_path) as sim:
        cell_sim.configure_customers(sim, 2, cell_sim.customer("a", 4000))
        cell_sim.submit_for(sim, "a", "j1", cell_sim.step(1))
        assert ask(sim, cell.ReadJob, "j1", b"new").kind == requests.UNKNOWN_KEY
        both = cell_sim.customer("a", 4000, key_digests=[b"a", b"new"])
        sim.configure(3, [both])
        assert ask(sim, cell.ReadJob, "j1", b"new").kind == requests.STATE
        sim.configure(4, [both._replace(key_digests=[b"new"])])
        assert ask(sim, cell.ReadJob, "j1", b"a").kind == requests.UNKNOWN_KEY
        assert ask(sim, cell.CancelJob, "j1", b"new").kind == requests.ACCEPTED


def test_a_job_is_shown_to_its_customer_only(tmp_path):
    with cell_sim.running_cell(tmp_path) as sim:
        cell_sim.configure_customers(
            sim, 2, cell_sim.customer("a", 4000), cell_sim.customer("b", 4000)
        )
        assert (
            cell_sim.submit_for(sim, "a", "j1", cell_sim.step(1)) == requests.ACCEPTED
        )
        for kind in (cell.ReadJob, cell.CancelJob):
            assert ask(sim, kind, "j1", b"b").kind == requests.OTHER_CUSTOMER
        assert (
            cell_sim.submit_for(sim, "b", "j1", cell_sim.step(1))
            == requests.OTHER_CUSTOMER
        )
        assert ask(sim, cell.ReadJob, "j1", b"a").kind == requests.STATE
