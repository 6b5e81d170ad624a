"""Put what an instance needs under target/: libraries and dependencies.

Written for a clean checkout without a virtual environment; a second call
installs the dependencies again only if their pins, the kind of machine or the
Python changed.
"""

import compileall
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PINS = ROOT / 'requirements' / 'serve.txt'
DEPENDENCIES = ROOT / 'target' / 'deps'
STAMP = ROOT / 'target' / 'pins.stamp'
LIBRARIES = (
    'adapter',
    'cli',
    'cluster',
    'core',
    'gateway',
    'programs',
    'scheduling',
    'settings',
    'transport',
)


def install_dependencies() -> None:
    """Install the pinned packages unless they are there."""
    stamp = subprocess.run(
        [sys.executable, str(ROOT / 'tools' / 'stamps.py'), str(PINS)],
        check=True,
        capture_output=True,
    ).stdout
    if STAMP.exists() and STAMP.read_bytes() == stamp:
        return
    shutil.rmtree(DEPENDENCIES, ignore_errors=True)
    subprocess.run(
        [
            sys.executable, '-m', 'pip', 'install', '--quiet',
            '--disable-pip-version-check', '--no-deps', '--require-hashes',
            '--target', str(DEPENDENCIES), '-r', str(PINS),
        ],
        check=True,
    )  # fmt: skip
    STAMP.write_bytes(stamp)


def copy_libraries() -> None:
    """Copy the project's own libraries into one namespace package."""
    package = DEPENDENCIES / 'vanillayoke'
    shutil.rmtree(package, ignore_errors=True)
    for source in (*ROOT.glob('libs/*/vanillayoke'), ROOT / 'platform'):
        if source.name == 'platform':
            source = source / 'vanillayoke'
        for library in source.iterdir():
            if library.name in LIBRARIES and library.is_dir():
                shutil.copytree(
                    library,
                    package / library.name,
                    ignore=shutil.ignore_patterns('__pycache__'),
                )


def main() -> None:
    """Build target/."""
    install_dependencies()
    copy_libraries()
    compileall.compile_dir(DEPENDENCIES, quiet=2)


if __name__ == '__main__':
    main()
