"""Run a frontend that dials controllers through a relay.

``python -m tools.soak.linked_frontend DIALS.json SETTINGS.toml``; the file maps the
addresses of controllers to those of the relay.
"""

import json
import pathlib
import sys

from alderreach.scripts import frontend
from tools.soak import faulty_controller


def main():
    """Replace how links are dialled, and run the frontend."""
    dials = json.loads(pathlib.Path(sys.argv.pop(1)).read_text())
    faulty_controller.replace_dials(dials)
    frontend.main()


if __name__ == "__main__":
    main()
