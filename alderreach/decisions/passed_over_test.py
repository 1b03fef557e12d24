"""Work that could run and was passed over, for long or for ever."""

from alderreach.decisions import quarantine
from tests import placement_session

SMALL = placement_session.SMALL
WHOLE = placement_session.WORKER


def quarantined(session, *bad):
    """Have workers fail all they start until they are quarantined; end the rest."""
    rounds = 0
    while any(session.scheduler.worker_state(each) != "quarantined" for each in bad):
        rounds += 1
        session.submit(f"j{rounds}", len(session.workers), task=WHOLE)
        session.tick()
        for task_id, (worker_id, _attempt) in list(session.running.items()):
            session.end(task_id, "failed" if worker_id in bad else "finished")
    while session.tick():
        session.end_all()
    return session


def test_two_quarantined_workers_whose_probes_are_due_at_once():
    """The placer's task ends with a fault. Two workers were quarantined in one tick, so
    their probes are due in one tick too; the first probe takes the only task of a team
    that waits, and the walk through what waits went on for the second.
    """
    session = placement_session.Session(teams=("a", "b", "c"))
    quarantined(session.add(8), "w0", "w1")
    session.submit("fill", 6, task=WHOLE)
    session.tick()
    for team in ("a", "b", "c"):
        session.submit(f"one-{team}", team=team)
    session.tick(quarantine.PROBE_AFTER_MS)
    assert len(session.on("w0")) == len(session.on("w1")) == 1
