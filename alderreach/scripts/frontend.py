"""alderreach-frontend SETTINGS.toml: starts the frontend on the platform."""

import sys

from alderreach.ops import daemon
from alderreach.ops.frontend import service
from alderreach.platform import callers, targets


def _build(context):
    external_services = service.ExternalServices(
        targets.permission_asker(context.settings.cell.permission), callers.serve
    )
    return service.build(context, external_services)


def main():
    """Run the daemon and exit with its code."""
    sys.exit(daemon.main("frontend", _build))


if __name__ == "__main__":
    main()
