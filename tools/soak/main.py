"""Run the soak test: ``python -m tools.soak.main [first seed] [seeds] [seconds]``.

The numbers of controllers, frontends and workers may follow, 4, 2 and 4 by default.
Each seed starts a cell of processes and stops all of them. Exits 1 if a guarantee
was violated; these seeds are printed with the folder of their logs, which is kept.
"""

import pathlib
import shutil
import sys
import tempfile

from tools.soak import callers, day, report

DEFAULTS = (1, 5, 12, *day.Size())
TIMELINE = "workers.log"


def main(arguments):
    given = [int(argument) for argument in arguments]
    first, seeds, seconds, *size = [*given, *DEFAULTS[len(given) :]]
    failed = []
    for seed in range(first, first + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"alderreach-soak-{seed}-"))
        played = day.play(
            seed, folder, seconds, callers.CRASHING_JOBS, size=day.Size(*size)
        )
        print("\n".join(report.lines(played)), flush=True)
        if played.violations:
            failed.append(seed)
            (folder / TIMELINE).write_text("\n".join(report.timeline(played)))
            print(f"  logs in {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{seeds} seeds, broken: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
