"""Run the soak test: ``python -m tools.soak.main [first seed] [seeds] [seconds]``.

Each seed starts a cell of six processes and stops all of them. Exits 1 if a guarantee
was violated; these seeds are printed with the folder of their logs, which is kept.
"""

import pathlib
import shutil
import sys
import tempfile

from tools.soak import callers, day, report

SEEDS, SECONDS = 5, 12
TIMELINE = "workers.log"


def main(arguments):
    first, seeds, seconds = [
        int(given) if given else usual
        for given, usual in zip(
            [*arguments, "", "", ""][:3], (1, SEEDS, SECONDS), strict=True
        )
    ]
    failed = []
    for seed in range(first, first + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"alderreach-soak-{seed}-"))
        played = day.play(seed, folder, seconds, callers.CRASHING_JOBS)
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
