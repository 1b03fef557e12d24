"""Processes that forward the leader's queries to the permission service, or fail to."""

from alderreach.core import codec
from alderreach.core.generated import cell
from alderreach.ops.controller import director
from tests import cell_sim, memory_cell
from tools import virtual_cell, virtual_parts

RULE = cell.PermissionRule(825, 7, 2_500)


def final_state_with(kind):
    """Return a job's final state if the first of twelve helpers has a fault."""
    records = [virtual_parts.worker(number, 4_000) for number in range(30)]
    sim = virtual_cell.VirtualCell([virtual_parts.queue("q", permission=RULE)], records)
    getattr(sim, kind).add("helper-0")
    step = virtual_parts.step(1, 3_000)
    sim.submit_at(0, "q", "j1", [virtual_parts.Work(step, [500])])
    sim.run_until(30_000)
    return sim.term.leader.state.jobs["j1"].state


def test_a_query_without_an_answer_is_sent_through_another_process():
    """Guards against a step that waits forever although eleven other processes could
    send its query. The first process in the list reaches the leader but not the
    permission service. When its query times out the process counts as idle, and since
    the first idle process is chosen, the same query goes to it every time.
    """
    states = {
        kind: final_state_with(kind) for kind in ("silent_helpers", "cut_helpers")
    }
    assert states == {"silent_helpers": "completed", "cut_helpers": "completed"}


def test_an_answer_to_a_query_of_an_earlier_term_is_ignored(tmp_path, monkeypatch):
    """Guards against a job that waits forever although the permission service lets it
    run anywhere. Its leader restarts while a query about another job is in flight, and
    numbers its queries from the start again. The answer to the old first query was
    taken as the answer to the new one, which means that no worker may run the new job,
    and an answered query is never repeated.
    """
    queries = []
    deliver = director.Director.deliver

    def capture_query(self, received):
        if isinstance(received.message, cell.PermissionQuery):
            queries.append(received.message)
        else:
            deliver(self, received)

    def answer(sim, query, granted):
        packed = codec.pack(cell.PermissionAnswer(query.query_id, True, granted))
        sim.network.append(memory_cell.Message(memory_cell.CLIENT, "k1", packed))

    monkeypatch.setattr(director.Director, "deliver", capture_query)
    with cell_sim.running_cell(tmp_path, controllers=1) as sim:
        assert sim.configure(version=2, permission=RULE).kind == "accepted"
        cell_sim.submit_job(sim, "old", cell_sim.step(1))
        assert sim.run(5_000, lambda: queries)
        old = queries.pop()
        sim.wait_for_answer(
            sim.request(cell.CancelJob(cell_sim.HOST, cell_sim.PREFIX + "old"))
        )
        sim.crash("k1")
        sim.start("k1")
        cell_sim.submit_job(sim, "new", cell_sim.step(1))
        assert sim.run(10_000, lambda: queries)
        answer(sim, old, [])
        sim.run(100)
        answer(sim, queries[-1], [cell.Ticket(t, "t") for t in queries[-1].targets])
        sim.run_until_state("new", "completed", duration_ms=10_000)
