"""alderreach-placer SETTINGS.toml: starts the placer daemon."""

import sys

from alderreach.ops import daemon
from alderreach.ops.placer import service


def main():
    """Run the daemon and exit with its code."""
    sys.exit(daemon.main("placer", service.build))


if __name__ == "__main__":
    main()
