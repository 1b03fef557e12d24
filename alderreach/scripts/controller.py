"""alderreach-controller SETTINGS.toml: thin main of the controller on the platform."""

import sys

from alderreach.ops import daemon
from alderreach.ops.controller import service
from alderreach.platform import control, targets


def _build(context):
    outside = service.ExternalServices(
        targets.calls(),
        targets.permission_asker(context.settings.cell.permission),
        control.serve,
    )
    return service.build(context, outside)


def main():
    """Run the daemon and exit with its code."""
    sys.exit(daemon.main("controller", _build))


if __name__ == "__main__":
    main()
