"""alderreach-controller SETTINGS.toml: starts the controller on the platform."""

import sys

from alderreach.ops import daemon
from alderreach.ops.controller import service
from alderreach.platform import control, targets


def _build(context):
    external_services = service.ExternalServices(
        targets.worker_calls(),
        targets.permission_asker(context.settings.cell.permission),
        control.serve,
    )
    return service.build(context, external_services)


def main():
    """Run the daemon and exit with its code."""
    sys.exit(daemon.main("controller", _build))


if __name__ == "__main__":
    main()
