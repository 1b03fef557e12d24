"""alderreach-entry SETTINGS.toml: starts the entry daemon."""

import sys

from alderreach.ops import daemon
from alderreach.ops.entry import service


def main():
    """Run the daemon and exit with its code."""
    sys.exit(daemon.main("entry", service.build))


if __name__ == "__main__":
    main()
