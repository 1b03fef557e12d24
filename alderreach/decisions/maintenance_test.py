"""The phases of a maintenance window, and whether it can be met."""

from alderreach.core.generated import common, placer
from alderreach.decisions import maintenance

START_MS = 10_000_000
WINDOW = common.MaintenanceWindow("m1", "d", ["v1"], [], START_MS, START_MS + 1000)
CAPACITY = common.Resources(4000, 4000, 0)


def worker_row(vm, cpu_millis, state="ready"):
    reserved = common.Resources(cpu_millis, 0, 0)
    return placer.TargetRow(
        f"w-{vm}", "worker", vm, "k1", "d", state, CAPACITY, reserved, 1, ""
    )


def test_phases():
    leads = (maintenance.CLOSE_LEAD_MS, maintenance.CLEAR_LEAD_MS)
    times = [START_MS - leads[0] - 1, START_MS - leads[0], START_MS - leads[1]]
    names = [maintenance.phase(WINDOW, at) for at in [*times, WINDOW.end_wall_ms]]
    assert names == ["declared", "closed", "clearing", "over"]
    assert maintenance.phase_of([WINDOW], "v2", "k1", START_MS) == ""


def test_only_ready_workers_count_as_capacity_elsewhere():
    """The work to be moved does not fit elsewhere, as the spare worker is dead.

    If the check accepted the window, it would prove impossible only at its start, when
    the VM is stopped with work on it.
    """
    early_ms = START_MS - maintenance.CLOSE_LEAD_MS
    rows = [worker_row("v1", 3000), worker_row("v2", 0)]
    assert maintenance.check_window(WINDOW, rows, now_wall_ms=early_ms) == []
    rows = [worker_row("v1", 3000), worker_row("v2", 2000), worker_row("v3", 0, "dead")]
    reasons = maintenance.check_window(WINDOW, rows, now_wall_ms=early_ms)
    assert reasons == ["3000 cpu_millis must move, but only 2000 are free elsewhere"]


def test_all_reasons_are_returned_together():
    window = WINDOW._replace(vms=["v9"], end_wall_ms=0)
    reasons = maintenance.check_window(window, [], now_wall_ms=START_MS)
    assert len(reasons) == 3
