"""Run a controller that dials others through a relay.

``python -m tools.soak.linked_controller DIALS.json SETTINGS.toml``; the first file maps
the addresses of other controllers to those of the relay.
"""

import json
import pathlib
import sys

from alderreach.scripts import controller
from alderreach.utils import transport


def main():
    """Replace the addresses that the transport dials, and run the controller."""
    dials = json.loads(pathlib.Path(sys.argv.pop(1)).read_text())
    link = transport.Link
    transport.Link = lambda address, now_ms: link(dials.get(address, address), now_ms)
    controller.main()


if __name__ == "__main__":
    main()
