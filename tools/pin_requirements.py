"""Pin requirements/*.in to requirements/*.txt with hashes.

Run by hand when a requirement changes:
``python3 tools/pin_requirements.py``. It asks pip which files it would
install on this kind of machine and writes their versions and hashes; no
download address is kept.
"""

import json
import pathlib
import subprocess
import sys

FOLDER = pathlib.Path(__file__).resolve().parent.parent / 'requirements'


def resolve(source: pathlib.Path) -> list[dict]:
    """Return pip's report entries for a requirements file."""
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
            '--requirement',
            str(source),
        ],
        check=True,
        capture_output=True,
        text=True,
    )
    return json.loads(report.stdout)['install']


def format_pin(entry: dict) -> str:
    """Return the line that pins one package."""
    metadata = entry['metadata']
    hashes = entry['download_info']['archive_info']['hashes']
    name = metadata['name'].lower().replace('_', '-')
    return (
        f'{name}=={metadata["version"]} \\\n    --hash=sha256:'
        f'{hashes["sha256"]}'
    )


def main() -> None:
    """Write every .txt file beside its .in file."""
    for source in sorted(FOLDER.glob('*.in')):
        lines = sorted(format_pin(entry) for entry in resolve(source))
        text = '# Written by tools/pin_requirements.py; do not edit.\n'
        text += '\n'.join(lines) + '\n'
        source.with_suffix('.txt').write_text(text)


if __name__ == '__main__':
    main()
