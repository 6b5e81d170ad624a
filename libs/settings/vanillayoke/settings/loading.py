"""Read, merge, decode and check settings, reporting all faults at once."""

import os
import pathlib
import typing

from vanillayoke.settings import checks
from vanillayoke.settings import configuration
from vanillayoke.settings import decoding
from vanillayoke.settings import faults
from vanillayoke.settings import folder
from vanillayoke.settings import folder_checks  # noqa: F401
from vanillayoke.settings import process

# Importing these modules registers their checks.
from vanillayoke.settings import process_checks  # noqa: F401
from vanillayoke.settings import sources
from vanillayoke.settings import value_checks  # noqa: F401


class LoadedFolder(typing.NamedTuple):
    """A settings folder after all checks.

    ``configuration`` is ``None`` if any fault is an error.
    """

    configuration: configuration.Configuration | None
    faults: tuple[faults.Fault, ...]
    tree: sources.MapNode


class LoadedProcess(typing.NamedTuple):
    """A process settings file after all checks.

    ``settings`` is ``None`` if any fault is an error.
    """

    settings: process.ProcessSettings | None
    faults: tuple[faults.Fault, ...]


def load_configuration(path: str | os.PathLike[str]) -> LoadedFolder:
    """Load and check a settings folder."""
    merged = folder.load_folder(path)
    decoded = decoding.decode_tree(
        merged.tree, configuration.Configuration, merged.complete
    )
    scopes = [checks.Scope.VALUES]
    # Names defined in an unreadable file would be reported as unknown.
    if merged.complete:
        scopes.append(checks.Scope.FOLDER)
    found = [*merged.faults, *decoded.faults]
    for scope in scopes:
        found += checks.run_checks(scope, decoded.values, merged.tree)
    settings = None if faults.has_errors(found) else decoded.settings
    return LoadedFolder(settings, _sort(found), merged.tree)


def inspect_process_settings(
    path: str | os.PathLike[str],
) -> LoadedProcess:
    """Load and check a process settings file; warnings are included."""
    source = folder.load_file(pathlib.Path(path))
    if source.tree is None:
        return LoadedProcess(None, source.faults)
    tree = folder.drop_schema_key(source.tree)
    decoded = decoding.decode_tree(tree, process.ProcessSettings)
    found = [*source.faults, *decoded.faults]
    found += checks.run_checks(checks.Scope.PROCESS, decoded.values, tree)
    settings = None if faults.has_errors(found) else decoded.settings
    return LoadedProcess(settings, _sort(found))


def load_process_settings(
    path: str | os.PathLike[str],
) -> process.ProcessSettings | list[faults.Fault]:
    """Load a process settings file, or return its faults."""
    loaded = inspect_process_settings(path)
    if loaded.settings is None:
        return list(loaded.faults)
    return loaded.settings


def _sort(found: typing.Iterable[faults.Fault]) -> tuple[faults.Fault, ...]:
    return tuple(sorted(found, key=_sort_key))


def _sort_key(fault: faults.Fault) -> tuple[faults.Place, str, str]:
    return fault.place, fault.rule.id, fault.text
