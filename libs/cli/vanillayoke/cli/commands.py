"""Commands of the command line and their lookup by name."""

import importlib
import pkgutil
import types
import typing

from absl import flags

from vanillayoke.cli.management import commands as package


class Invocation(typing.NamedTuple):
    """One call of a command: parsed flags, arguments and streams."""

    flags: flags.FlagValues
    arguments: tuple[str, ...]
    output: typing.TextIO
    errors: typing.TextIO
    environ: typing.Mapping[str, str]

    def print(self, text: str) -> None:
        """Write a line to ``output``."""
        self.output.write(f'{text}\n')

    def warn(self, text: str) -> None:
        """Write a line to ``errors``."""
        self.errors.write(f'{text}\n')


class Command(typing.NamedTuple):
    """A command's module under ``management/commands``.

    The module has ``ARGUMENTS``, the names of its required arguments,
    ``add_flags(values)`` and ``run(invocation)``, which returns an exit
    status or a coroutine that returns one. The first line of its docstring
    is its help.
    """

    name: str
    module: types.ModuleType

    @property
    def summary(self) -> str:
        """Return the first line of the module's docstring."""
        return self.module.__doc__.partition('\n')[0]

    @property
    def usage(self) -> str:
        """Return the usage line."""
        words = ['vanillayoke', self.name, *self.module.ARGUMENTS]
        return ' '.join([*words, '[--flags]'])

    def make_flags(self) -> flags.FlagValues:
        """Return new, unparsed flags of this command."""
        values = flags.FlagValues()
        values.set_gnu_getopt(True)
        flags.DEFINE_bool('help', False, 'Show this help.', flag_values=values)
        self.module.add_flags(values)
        return values


def list_names() -> list[str]:
    """Return the names of all commands in alphabetical order."""
    modules = pkgutil.iter_modules(package.__path__)
    return sorted(module.name for module in modules)


def find_command(name: str) -> Command | None:
    """Return the command of this name, or ``None``."""
    if name not in list_names():
        return None
    module = importlib.import_module(f'{package.__name__}.{name}')
    return Command(name, module)
