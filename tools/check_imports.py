"""Check that the libraries' imports only point the allowed way.

A library may import those below it. The pure libraries take time and
randomness as arguments, so they import no module that reads a clock, opens a
socket or holds a global random source.
"""

import ast
import pathlib
import sys

ORDER = (
    'cli',
    'adapter',
    'node',
    'entry',
    'peers',
    'gateway',
    'targets',
    'platform',
    'emulator',
    'cluster',
    'programs',
    'scheduling',
    'settings',
    'transport',
    'core',
)
# These know the platform's wire.
ADAPTERS = ('adapter', 'standins')
BESIDE = ('standins', 'fakes', 'bench', 'harness', 'soak', 'testing')
PURE = ('cluster', 'emulator', 'programs', 'scheduling')
IMPURE_MODULES = frozenset(
    (
        'aiohttp',
        'asyncio',
        'datetime',
        'os',
        'pynng',
        'secrets',
        'select',
        'selectors',
        'socket',
        'subprocess',
        'threading',
        'time',
    )
)
GLOBAL_RANDOM_ALLOWED = frozenset(('Random', 'SystemRandom'))
ROOT = pathlib.Path(__file__).resolve().parent.parent


def list_imports(tree: ast.AST) -> list[tuple[int, str]]:
    """Return line numbers and full names of all imported modules."""
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found += [(node.lineno, alias.name) for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            module = node.module or ''
            found += [
                (node.lineno, f'{module}.{alias.name}') for alias in node.names
            ]
    return found


def find_library(name: str) -> str | None:
    """Return the workspace library of a module name, if it is one."""
    parts = name.split('.')
    if parts[0] != 'vanillayoke' or len(parts) < 2:
        return None
    return parts[1]


def check_arrow(library: str, imported: str) -> str | None:
    """Return what is wrong with one library importing another."""
    if imported == library or library in BESIDE:
        return None
    if imported in BESIDE:
        return f'{library} must not import {imported}'
    if imported not in ORDER:
        return f'{imported} is no library of the workspace'
    if ORDER.index(imported) < ORDER.index(library):
        return f'{library} must not import {imported}, which is above it'
    return None


def check_purity(tree: ast.AST, name: str) -> str | None:
    """Return what makes an import of a pure library impure."""
    top = name.split('.')[0]
    if top in IMPURE_MODULES:
        return f'pure library imports {top}'
    return None


def check_global_random(tree: ast.AST) -> list[tuple[int, str]]:
    """Find uses of the random module's hidden global source."""
    return [
        (node.lineno, f'pure library uses random.{node.attr}')
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == 'random'
        and node.attr not in GLOBAL_RANDOM_ALLOWED
    ]


def check_file(path: pathlib.Path, library: str) -> list[str]:
    """Return all faults of one source file."""
    tree = ast.parse(path.read_text(), str(path))
    faults = []
    for line, name in list_imports(tree):
        imported = find_library(name)
        if imported is not None:
            faults.append((line, check_arrow(library, imported)))
        if library in PURE:
            faults.append((line, check_purity(tree, name)))
    if library in PURE:
        faults += check_global_random(tree)
    shown = path.relative_to(ROOT)
    return [f'{shown}:{line}: {text}' for line, text in faults if text]


def find_folder(library: str) -> pathlib.Path:
    """Return where a library's sources lie."""
    if library in ADAPTERS:
        return ROOT / 'platform' / 'vanillayoke' / library
    return ROOT / 'libs' / library


def main() -> int:
    """Print all faults; return 1 where there is one."""
    faults = []
    for library in (*ORDER, *BESIDE):
        for path in sorted(find_folder(library).rglob('*.py')):
            faults += check_file(path, library)
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
