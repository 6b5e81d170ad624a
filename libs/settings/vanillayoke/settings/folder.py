"""Read the files of a settings folder and merge them.

Files merge in the order of their names. Maps merge by key; a later scalar or
list replaces an earlier one; ``null`` removes the key.
"""

import os
import pathlib
import stat
import typing

from vanillayoke.settings import faults
from vanillayoke.settings import sources

SUFFIXES = ('.json', '.jsonc')
IGNORED_SUFFIXES = ('~', '.bak', '.orig', '.rej', '.swp', '.tmp', '.md')
MAX_FILE_BYTES = 4 * 1024 * 1024
SCHEMA_KEY = '$schema'


class MergedFolder(typing.NamedTuple):
    """The merged tree of all files that could be read.

    ``complete`` is false if any file could not be read; what is absent from
    the tree may then be in that file.
    """

    tree: sources.MapNode
    faults: tuple[faults.Fault, ...]
    complete: bool


def load_folder(folder: str | os.PathLike[str]) -> MergedFolder:
    """Read and merge all settings files of a folder."""
    path = pathlib.Path(folder)
    root_place = faults.Place(str(path), 0, 0)
    merger = _Merger(root_place)
    files, found = _list_files(path, root_place)
    complete = not found
    for file in files:
        source = load_file(file)
        found.extend(source.faults)
        if source.tree is None:
            complete = False
            continue
        merger.add(source.tree)
    if complete:
        found.extend(merger.faults)
    return MergedFolder(merger.tree, tuple(found), complete)


def load_file(file: pathlib.Path) -> sources.Source:
    """Read and parse one file."""
    root_place = faults.Place(str(file), 0, 0)
    try:
        blob = _read_regular(file)
    except OSError as error:
        return _reject_file('E001', root_place, f'{error.strerror}.')
    if blob is None:
        return _reject_file('E008', root_place, 'Not a regular file.')
    if len(blob) > MAX_FILE_BYTES:
        text = f'The file has more than {MAX_FILE_BYTES} bytes.'
        return _reject_file('E014', root_place, text)
    return _decode_blob(blob, root_place)


def _read_regular(file: pathlib.Path) -> bytes | None:
    """Return a file's content; ``None`` if it is not a regular file.

    At most one byte more than ``MAX_FILE_BYTES`` is read.
    """
    # Without O_NONBLOCK, opening a named pipe would block until a writer
    # opens it. The type is checked on the open descriptor, so that the file
    # cannot be replaced between the check and the read.
    descriptor = os.open(file, os.O_RDONLY | os.O_NONBLOCK)
    try:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            return None
        with open(descriptor, 'rb', closefd=False) as stream:
            return stream.read(MAX_FILE_BYTES + 1)
    finally:
        os.close(descriptor)


def drop_schema_key(tree: sources.MapNode) -> sources.MapNode:
    """Return a file's tree without the ``$schema`` key used by editors."""
    entries = dict(tree.entries)
    entries.pop(SCHEMA_KEY, None)
    return tree._replace(entries=entries)


def _decode_blob(blob: bytes, root_place: faults.Place) -> sources.Source:
    if blob.startswith(b'\xef\xbb\xbf'):
        place = root_place._replace(line=1, column=1)
        return _reject_file(
            'E002', place, 'The file begins with a byte order mark.'
        )
    try:
        text = blob.decode('utf-8')
    except UnicodeDecodeError as error:
        valid_part = blob[: error.start].decode('utf-8')
        place = sources.find_end(root_place.file, valid_part)
        return _reject_file('E002', place, 'Invalid UTF-8 byte.')
    return sources.parse_source(root_place.file, text)


def _reject_file(
    number: str, place: faults.Place, text: str
) -> sources.Source:
    rule = faults.FILE_RULES[f'settings.{number}']
    return sources.Source(None, (faults.Fault(rule, place, (), text),))


def _list_files(
    folder: pathlib.Path, root_place: faults.Place
) -> tuple[list[pathlib.Path], list[faults.Fault]]:
    try:
        names = sorted(os.listdir(folder))
    except OSError as error:
        rejected = _reject_file('E001', root_place, f'{error.strerror}.')
        return [], list(rejected.faults)
    files: list[pathlib.Path] = []
    found: list[faults.Fault] = []
    for name in names:
        if _is_ignored(name):
            continue
        problem = _find_name_problem(name)
        if problem is None:
            files.append(folder / name)
            continue
        place = faults.Place(str(folder / ascii(name)[1:-1]), 0, 0)
        found.extend(_reject_file('E008', place, problem).faults)
    if not files and not found:
        rejected = _reject_file(
            'E007', root_place, 'The folder contains no settings file.'
        )
        found.extend(rejected.faults)
    return files, found


def _is_ignored(name: str) -> bool:
    return name.startswith(('.', '#')) or name.endswith(IGNORED_SUFFIXES)


def _find_name_problem(name: str) -> str | None:
    if not name.isprintable():
        # A line break in a name would split the one-line fault message.
        return 'The file name has non-printable characters.'
    if not name.endswith(SUFFIXES):
        return 'The file name does not end in .json or .jsonc.'
    return None


class _Merger:
    """Merges files one after another into a tree."""

    def __init__(self, root_place: faults.Place) -> None:
        self.tree = sources.MapNode(root_place, {}, {})
        self.faults: list[faults.Fault] = []

    def add(self, tree: sources.MapNode) -> None:
        """Merge a later file into the tree."""
        later = drop_schema_key(tree)
        self.tree = self._merge_maps(self.tree, later, ())

    def _merge_maps(
        self,
        earlier: sources.MapNode,
        later: sources.MapNode,
        path: faults.Path,
    ) -> sources.MapNode:
        entries = dict(earlier.entries)
        removed = dict(earlier.removed)
        for key, entry in later.entries.items():
            if _is_removal(entry.node):
                self._remove(entries, removed, key, entry.place, path)
                continue
            entries[key] = self._merge_entry(
                entries.get(key), entry, (*path, key)
            )
            removed.pop(key, None)
        return sources.MapNode(earlier.place, entries, removed)

    def _remove(
        self,
        entries: dict[str, sources.Entry],
        removed: dict[str, faults.Place],
        key: str,
        place: faults.Place,
        path: faults.Path,
    ) -> None:
        if key in entries:
            del entries[key]
            removed[key] = place
            return
        rule = faults.FILE_RULES['settings.E009']
        text = 'The key does not exist.'
        self.faults.append(faults.Fault(rule, place, (*path, key), text))

    def _merge_entry(
        self,
        earlier: sources.Entry | None,
        later: sources.Entry,
        path: faults.Path,
    ) -> sources.Entry:
        if not isinstance(later.node, sources.MapNode):
            return later
        if earlier is None or not isinstance(earlier.node, sources.MapNode):
            empty = sources.MapNode(later.node.place, {}, {})
            merged = self._merge_maps(empty, later.node, path)
            return sources.Entry(later.place, merged)
        merged = self._merge_maps(earlier.node, later.node, path)
        return sources.Entry(earlier.place, merged)


def _is_removal(node: sources.Node) -> bool:
    return isinstance(node, sources.ScalarNode) and node.value is None
