"""Run all benches, or the named ones: ``python tools/bench.py [name ...]``.

Each module of tools/benches has a ``main()`` that prints its figures, one per line,
with the command that produced them; docs/measurements has the recorded figures.
"""

import importlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main():
    sys.path.insert(0, str(ROOT))
    folder = ROOT / "tools" / "benches"
    known = sorted(path.stem for path in folder.glob("[a-z]*.py"))
    for name in sys.argv[1:] or known:
        if name not in known:
            sys.exit(f"no bench {name!r}; known: {', '.join(known)}")
        print(f"== {name}")
        importlib.import_module(f"tools.benches.{name}").main()


if __name__ == "__main__":
    main()
