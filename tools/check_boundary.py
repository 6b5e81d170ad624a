"""Check that names of the platform's wire stand in ``platform/`` only.

Also that the folder stays small and that ``import platform`` still means the
standard library's module, which a package of that name would shadow.
"""

import pathlib
import platform
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
MOST_LINES = 1500
# Header fields, paths, tables and fields of the platform's messages that
# mean nothing outside its wire.
WORDS = re.compile(
    r'x-vanillayoke-|/-/|rows-(tx|get|feed|parts)|blob-(put|get|list|drop)'
    r'|kv-(from|fetch|pin|move|backup)|retain_history|session_affinity'
    r'|tokens_per_event|max_attempts_|route_kind|kv_capacity|node_ip'
    r'|listen_addrs|grace_period_s|slo_ms|fleetbench',
    re.IGNORECASE,
)


def list_strays() -> list[str]:
    """Return the places outside the adapter that use the wire's names."""
    found = []
    for path in sorted((ROOT / 'libs').rglob('*.py')):
        for number, line in enumerate(path.read_text().splitlines(), 1):
            match = WORDS.search(line)
            if match:
                shown = path.relative_to(ROOT)
                found.append(f'{shown}:{number}: {match.group()!r}')
    return found


def count_lines() -> int:
    """Return the lines of the adapter's sources."""
    paths = (ROOT / 'platform').rglob('*.py')
    return sum(len(path.read_text().splitlines()) for path in paths)


def main() -> int:
    """Print all faults; return 1 where there is one."""
    faults = list_strays()
    lines = count_lines()
    if lines > MOST_LINES:
        faults.append(f'platform/ has {lines} lines, over {MOST_LINES}')
    if not hasattr(platform, 'python_implementation'):
        faults.append('import platform is not the standard module')
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
