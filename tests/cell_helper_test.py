"""Processes that put the leader's questions to the permission service, or fail to."""

from alderreach.core import codec
from alderreach.core.generated import cell
from alderreach.ops.controller import director
from tests import cell_sim, memory_cell
from tools import virtual_cell, virtual_parts

RULE = cell.PermissionRule(825, 7, 2_500)


def final_state_with(kind):
    """What becomes of a job if the first of twelve helpers is of a bad kind."""
    records = [virtual_parts.worker(number, 4_000) for number in range(30)]
    sim = virtual_cell.VirtualCell([virtual_parts.queue("q", permission=RULE)], records)
    getattr(sim, kind).add("helper-0")
    step = virtual_parts.step(1, 3_000)
    sim.submit_at(0, "q", "j1", [virtual_parts.Work(step, [500])])
    sim.run_until(30_000)
    return sim.leading.leader.state.jobs["j1"].state


def test_a_question_that_got_no_answer_is_put_by_another_process():
    """A step stands still for ever though eleven processes could ask for it.
    The first process in the list is in touch with the leader and not with the
    permission service. Its question is given up, which makes it idle, and the first
    idle process is chosen: the same question goes to it again, each time.
    """
    states = {
        kind: final_state_with(kind) for kind in ("silent_helpers", "cut_helpers")
    }
    assert states == {"silent_helpers": "completed", "cut_helpers": "completed"}


def test_an_answer_to_a_question_of_an_earlier_term_is_not_taken(tmp_path, monkeypatch):
    """A job stands still for ever though the permission service lets it run anywhere.
    Its leader started anew while a question about another job was on its way, and
    numbers its questions anew. The answer to the old first question was taken for that
    to the new one: nobody may run the new job, and a verdict is never asked for again.
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
