"""The controller daemon: a keeper of the cell's log that runs the director."""

import typing

from alderreach.ops.controller import (
    director,
    discovery,
    permission_calls,
    target_link,
    worker_connections,
)
from alderreach.ops.keeper import service as keeper_service
from alderreach.utils import event_loop


class ExternalServices(typing.NamedTuple):
    """Access to the services outside the cell, provided by the main script.

    ``calls`` is a ``target_link.Calls``. ``ask_permission(step, targets)`` returns a
    list of ``cell.Ticket``, or None if the service gave no answer.
    ``serve_control(context, leader_calls, announce)`` opens the listener for workers
    and operators; ``announce`` is that of a ``heartbeats.HeartbeatRelay``.
    """

    calls: typing.Any
    ask_permission: typing.Callable
    serve_control: typing.Callable


def build(context, outside):
    """Open the data folder, join or found the cell, and start; see ``ops.daemon``."""
    found = context.settings.discovery
    own = context.settings.listen.peers
    seeds = discovery.peer_addresses(found.seeds, found.peer_port)
    others = {address: address for address in seeds if address != own}
    permission_thread = permission_calls.PermissionCalls(
        outside.ask_permission, context.transport.send
    ).start()
    context.stack.callback(permission_thread.close)
    worker_calls = event_loop.EventLoop("worker calls")
    context.stack.callback(worker_calls.close)
    connections = worker_connections.WorkerConnections(
        context.settings.limits.worker_connections
    )
    directors = []

    def open_link(record, epoch, put):
        return target_link.TargetLink(
            record, epoch, outside.calls, put, worker_calls.post, connections
        )

    def extend(port):
        directors.append(
            director.Director(
                context,
                port,
                open_link,
                permission_thread.enqueue,
                context.timeline.record,
            )
        )
        return directors[0]

    controller = keeper_service.Keeper(
        context,
        keeper_service.open_folder(context),
        keeper_service.system_hooks(),
        extend,
        seed_addresses=others,
        may_found_cell=found.found == "yes" and own in seeds,
    ).start()
    outside.serve_control(
        context, directors[0].leader_calls, directors[0].heartbeats.announce
    )
    return controller
