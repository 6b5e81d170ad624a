"""Runs an instance with an adjustable wall clock.

The offset of the wall clock, in seconds, is read from a file.
"""

import pathlib
import sys
import time

from vanillayoke.adapter import process


def shift_clock(path: pathlib.Path) -> None:
    """Shift the wall clock by the number of seconds in a file."""
    read_true = time.time

    def read_shifted() -> float:
        try:
            return read_true() + float(path.read_text() or 0)
        except (OSError, ValueError):
            return read_true()

    time.time = read_shifted
    # This default was bound when the module was loaded.
    from vanillayoke.core import timers

    timers.LoopTimers.__init__.__defaults__ = (read_shifted,)


def run(arguments: list[str]) -> int:
    """Run the instance; the first argument is the clock offset file."""
    shift_clock(pathlib.Path(arguments[0]))
    return process.run()


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]))
