"""Print what identifies an installation of pinned requirements.

``python3 tools/stamps.py requirements/dev.txt`` prints the kind of machine
and the Python that it runs on, then the pins. Scripts keep the output beside
what they install, and install again when it differs: binary packages work
only with the processor and the Python that they were chosen for.
"""

import pathlib
import platform
import sys


def make_stamp(pins: str) -> str:
    """Return the stamp of an installation of some pins."""
    system = f'{platform.system()} {platform.machine()}'
    python = f'{sys.implementation.cache_tag} {platform.python_version()}'
    return f'{system} {python} {sys.base_prefix}\n{pins}'


def main(arguments: list[str]) -> None:
    """Print the stamp for the pins in a file."""
    (path,) = arguments
    sys.stdout.write(make_stamp(pathlib.Path(path).read_text()))


if __name__ == '__main__':
    main(sys.argv[1:])
