"""The phases of a maintenance window, and whether a declared window can be met.

The VMs of a window are stopped at a fixed time. Without a lead time, new work would be
placed on them until they stop, and be cut off. So a window passes through phases:
``declared``; ``closed`` (no new work, running work may finish); ``clearing`` (runners
leave, tasks are checkpointed or stopped and start elsewhere); ``over``.

``CLOSE_LEAD_MS`` lets batch tasks of some minutes finish. ``CLEAR_LEAD_MS`` covers a
checkpoint, a start elsewhere and a runner's last answers. A task that can't checkpoint
may go on until ``STOP_LEAD_MS`` before the start.
"""

from alderreach.core.generated import common

CLOSE_LEAD_MS = 600_000
CLEAR_LEAD_MS = 120_000
STOP_LEAD_MS = 30_000
RESOURCE_KINDS = common.Resources._fields


def phase(window, now_wall_ms):
    """Return declared, closed, clearing or over."""
    if now_wall_ms >= window.end_wall_ms:
        return "over"
    if now_wall_ms >= window.start_wall_ms - CLEAR_LEAD_MS:
        return "clearing"
    if now_wall_ms >= window.start_wall_ms - CLOSE_LEAD_MS:
        return "closed"
    return "declared"


def covers(window, vm, rack):
    """Whether the window stops this VM."""
    return vm in window.vms or rack in window.racks


def phase_of(windows, vm, rack, now_wall_ms):
    """Return the strictest phase of all windows that cover a VM; empty if none does."""
    order = ("", "declared", "closed", "clearing")
    phases = [""]
    for window in windows:
        if covers(window, vm, rack):
            current = phase(window, now_wall_ms)
            phases.append("" if current == "over" else current)
    return max(phases, key=order.index)


def time_left_ms(windows, vm, rack, now_wall_ms):
    """Return the time until the first window that covers a VM starts, or None."""
    left = [
        window.start_wall_ms - now_wall_ms
        for window in windows
        if covers(window, vm, rack) and phase(window, now_wall_ms) != "over"
    ]
    return min(left, default=None)


def check_window(window, targets, teams=(), now_wall_ms=None):
    """Return why a window can't be met, an empty list if it can.

    The check runs when the window is declared. ``targets`` are the TargetRows of the
    window's failure domain. What is reserved on the VMs to be stopped must fit into the
    free capacity of the ready workers outside, kind by kind. ``teams`` is not used: a
    quota does not change when work moves.

    >>> check_window(window, rows)  # doctest: +SKIP
    ['8000 cpu_millis must move, but only 4000 are free elsewhere']
    """
    reasons = _check_fields(window, now_wall_ms)
    inside = [row for row in targets if covers(window, row.vm, row.rack)]
    reasons += _check_names(window, targets)
    workers = [row for row in targets if row.kind == "worker"]
    stopped = [row for row in workers if row in inside and row.state != "dead"]
    others = [row for row in workers if row not in inside and row.state == "ready"]
    reasons += _check_capacity(stopped, others)
    runners = [row for row in targets if row.kind == "runner" and row.state == "ready"]
    if runners and all(row in inside for row in runners):
        reasons.append("no ready runner is left in the failure domain")
    return reasons


def _check_fields(window, now_wall_ms):
    reasons = []
    if window.end_wall_ms <= window.start_wall_ms:
        reasons.append("the window ends before it starts")
    if now_wall_ms is not None and window.start_wall_ms < now_wall_ms + CLEAR_LEAD_MS:
        reasons.append(
            f"the start is less than {CLEAR_LEAD_MS // 1000} s away: too late to clear"
        )
    if not window.vms and not window.racks:
        reasons.append("the window names neither VMs nor racks")
    return reasons


def _check_names(window, targets):
    vms = {row.vm for row in targets}
    racks = {row.rack for row in targets}
    unknown = [f"VM {vm}" for vm in window.vms if vm not in vms]
    unknown += [f"rack {rack}" for rack in window.racks if rack not in racks]
    return [f"no target is known on {name}" for name in unknown]


def _check_capacity(stopped, others):
    reasons = []
    for kind in RESOURCE_KINDS:
        needed = sum(getattr(row.reserved, kind) for row in stopped)
        available = sum(
            max(getattr(row.capacity, kind) - getattr(row.reserved, kind), 0)
            for row in others
        )
        if needed > available:
            reasons.append(
                f"{needed} {kind} must move, but only {available} are free elsewhere"
            )
    return reasons
