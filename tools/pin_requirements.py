"""Pin requirements/*.in to requirements/*.txt with hashes.

Run by hand when a requirement changes:
``python3 tools/pin_requirements.py``. Versions that are pinned already are
kept, unless ``--upgrade`` is given. It asks pip which files it would install
on each kind of processor and writes their versions and hashes; no download
address is kept. The result does not depend on the machine that it runs on.
"""

import argparse
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import typing

FOLDER = pathlib.Path(__file__).resolve().parent.parent / 'requirements'
# Kinds of processors, as in the platform tags of wheels.
MACHINES = ('x86_64', 'aarch64')
PYTHON_VERSION = '3.11'
ABIS = ('cp311', 'abi3', 'none')
# The oldest C libraries that a wheel may be built for, newest first.
PLATFORMS = (
    'manylinux_2_28',
    'manylinux_2_27',
    'manylinux_2_26',
    'manylinux_2_17',
    'manylinux2014',
    'manylinux_2_12',
    'manylinux2010',
    'manylinux_2_5',
    'manylinux1',
)
_PIN = re.compile(r'^(?P<name>[a-z0-9.-]+)==(?P<version>\S+).*$')
_HASH = re.compile(r'--hash=sha256:(?P<hash>[0-9a-f]{64})')


class Pin(typing.NamedTuple):
    """A version of a package and the SHA-256 hashes of its files."""

    name: str
    version: str
    hashes: tuple[str, ...]

    @property
    def requirement(self) -> str:
        """The version as a requirement of pip."""
        return f'{self.name}=={self.version}'


def read_pins(path: pathlib.Path) -> list[Pin]:
    """Return the pins in a file; none if there is no such file."""
    if not path.exists():
        return []
    lines = path.read_text().replace('\\\n', ' ').splitlines()
    matches = (_PIN.match(line) for line in lines)
    return [
        Pin(match['name'], match['version'], tuple(_HASH.findall(match[0])))
        for match in matches
        if match is not None
    ]


def format_pin(pin: Pin) -> str:
    """Return the lines that pin one package."""
    hashes = (f'--hash=sha256:{value}' for value in pin.hashes)
    return ' \\\n    '.join((pin.requirement, *hashes))


def resolve(source: pathlib.Path, constraints: list[Pin]) -> list[str]:
    """Return the requirements, with versions, that a file leads to."""
    with tempfile.NamedTemporaryFile('w', suffix='.txt') as file:
        file.writelines(f'{pin.requirement}\n' for pin in constraints)
        file.flush()
        entries = _ask_pip(
            '--requirement', str(source), '--constraint', file.name
        )
    return [_make_pin(entry).requirement for entry in entries]


def find_files(requirements: list[str], machine: str) -> list[Pin]:
    """Return the file of each requirement for a kind of processor.

    It is the source archive where a package has no wheel for that kind.
    """
    options = ['--no-deps', '--python-version', PYTHON_VERSION]
    options += ['--implementation', 'cp']
    for abi in ABIS:
        options += ['--abi', abi]
    for platform in PLATFORMS:
        options += ['--platform', f'{platform}_{machine}']
    with tempfile.TemporaryDirectory() as folder:
        entries = _ask_pip(*options, '--target', folder, *requirements)
    return [_make_pin(entry) for entry in entries]


def combine(pins_by_machine: list[list[Pin]]) -> list[Pin]:
    """Return each package once, with the hashes for all machines."""
    hashes: dict[tuple[str, str], dict[str, None]] = {}
    for pins in pins_by_machine:
        for pin in pins:
            known = hashes.setdefault((pin.name, pin.version), {})
            known.update(dict.fromkeys(pin.hashes))
    return sorted(
        Pin(name, version, tuple(values))
        for (name, version), values in hashes.items()
    )


def _ask_pip(*options: str) -> list[dict]:
    """Return what pip would install."""
    report = subprocess.run(
        [
            sys.executable,
            '-m',
            'pip',
            'install',
            '--quiet',
            '--dry-run',
            '--ignore-installed',
            '--report',
            '-',
            *options,
        ],
        check=True,
        capture_output=True,
        text=True,
    )
    return json.loads(report.stdout)['install']


def _make_pin(entry: dict) -> Pin:
    """Return the pin for an entry of pip's report."""
    metadata = entry['metadata']
    hashes = entry['download_info']['archive_info']['hashes']
    name = metadata['name'].lower().replace('_', '-')
    return Pin(name, metadata['version'], (hashes['sha256'],))


def main(arguments: list[str]) -> None:
    """Write every .txt file beside its .in file."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        '--upgrade', action='store_true', help='take the newest versions'
    )
    upgrades = parser.parse_args(arguments).upgrade
    for source in sorted(FOLDER.glob('*.in')):
        output = source.with_suffix('.txt')
        constraints = [] if upgrades else read_pins(output)
        requirements = resolve(source, constraints)
        pins = combine(
            [find_files(requirements, machine) for machine in MACHINES]
        )
        text = '# Written by tools/pin_requirements.py; do not edit.\n'
        text += ''.join(f'{format_pin(pin)}\n' for pin in pins)
        output.write_text(text)


if __name__ == '__main__':
    main(sys.argv[1:])
