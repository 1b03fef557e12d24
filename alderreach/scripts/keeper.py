"""alderreach-keeper SETTINGS.toml: starts the keeper daemon."""

import sys

from alderreach.ops import daemon
from alderreach.ops.keeper import service


def main():
    """Run the daemon and exit with its code."""
    sys.exit(daemon.main("keeper", service.build))


if __name__ == "__main__":
    main()
