"""Handling of the permission service's answers by the leader."""


def handle_answer(leader, message):
    """Record a ``cell.PermissionAnswer`` and have its group considered in full."""
    query = leader.permissions.find(message.query_id)
    if query is None:
        return
    job = leader.state.jobs.get(query.group[0])
    rule = leader.queue_of(job).permission if job else None
    new = set(leader.permissions.not_yet_queried(query.group, query.target_ids))
    leader.permissions.on_answer(
        message.query_id,
        message.is_decided and rule is not None,
        message.granted,
        rule,
        leader.now_ms(),
    )
    if message.is_decided and rule is not None and new:
        granted = sum(ticket.target_id in new for ticket in message.granted)
        leader.permissions.shares.observe(job.record.queue.name, len(new), granted)
    leader.revisit(query.group)
    leader.environment.record(
        "permission_answered",
        task=".".join(str(part) for part in query.group),
        is_decided=message.is_decided,
        granted=len(message.granted),
        asked=len(query.target_ids),
    )
