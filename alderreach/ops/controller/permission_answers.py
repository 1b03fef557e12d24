"""Handling of the permission service's answers by the leader."""


def handle_answer(leader, message):
    """Record a ``cell.PermissionAnswer`` and have its group considered in full."""
    query = leader.permissions.find(message.query_id)
    if query is None:
        return
    job = leader.state.jobs.get(query.group[0])
    rule = leader.queue_of(job).permission if job else None
    leader.permissions.on_answer(
        message.query_id,
        message.is_decided and rule is not None,
        message.granted,
        rule,
        leader.now_ms(),
    )
    leader.revisit(query.group)
    leader.environment.record(
        "permission_answered",
        task=".".join(str(part) for part in query.group),
        is_decided=message.is_decided,
        granted=len(message.granted),
        asked=len(query.target_ids),
    )
