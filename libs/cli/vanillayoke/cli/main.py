"""Entry point of ``vanillayoke COMMAND [--flags]``."""

import asyncio
import inspect
import os
import sys
import typing

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits

_HELP_WORDS = ('help', '--help', '-h')


class Streams(typing.NamedTuple):
    """Output streams and environment of a command."""

    output: typing.TextIO
    errors: typing.TextIO
    environ: typing.Mapping[str, str]


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run a command with the streams and environment of the process."""
    words = sys.argv[1:] if argv is None else argv
    streams = Streams(sys.stdout, sys.stderr, os.environ)
    try:
        status = run(words, streams)
        sys.stdout.flush()
        return status
    except BrokenPipeError:
        # The reader of the pipe, such as head, has exited. Replacing the
        # stream keeps Python from reporting the error again at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exits.Exit.FAILED
    except KeyboardInterrupt:
        return exits.Exit.FAILED


def run(words: typing.Sequence[str], streams: Streams) -> int:
    """Run a command and return its exit status."""
    started = start(words, streams)
    if inspect.iscoroutine(started):
        return asyncio.run(started)
    return started


def start(
    words: typing.Sequence[str], streams: Streams
) -> int | typing.Coroutine[typing.Any, typing.Any, int]:
    """Run a command, or return a coroutine that runs it."""
    if not words or words[0] in _HELP_WORDS:
        return _show_overview(streams, bool(words))
    command = commands.find_command(words[0])
    if command is None:
        streams.errors.write(
            f'vanillayoke has no command "{words[0]}"; see: vanillayoke help\n'
        )
        return exits.Exit.BAD_INPUT
    return _start_command(command, words[1:], streams)


def _start_command(
    command: commands.Command, words: typing.Sequence[str], streams: Streams
) -> int | typing.Coroutine[typing.Any, typing.Any, int]:
    values = command.make_flags()
    try:
        arguments = values([command.name, *words])[1:]
    except flags.Error as error:
        return _refuse(command, streams, str(error))
    if values.help:
        _show_help(command, values, streams)
        return exits.Exit.OK
    expected = len(command.module.ARGUMENTS)
    if len(arguments) != expected:
        text = (
            f'{expected} arguments are expected, {len(arguments)} are given.'
        )
        return _refuse(command, streams, text)
    return command.module.run(
        commands.Invocation(values, tuple(arguments), *streams)
    )


def _refuse(command: commands.Command, streams: Streams, text: str) -> int:
    streams.errors.write(f'{text}\nUsage: {command.usage}\n')
    return exits.Exit.BAD_INPUT


def _show_overview(streams: Streams, is_requested: bool) -> int:
    stream = streams.output if is_requested else streams.errors
    stream.write('Usage: vanillayoke COMMAND [--flags]\n\n')
    for name in commands.list_names():
        command = commands.find_command(name)
        stream.write(f'  {name:<10} {command.summary}\n')
    stream.write('\nvanillayoke COMMAND --help lists the flags.\n')
    return exits.Exit.OK if is_requested else exits.Exit.BAD_INPUT


def _show_help(
    command: commands.Command, values: flags.FlagValues, streams: Streams
) -> None:
    streams.output.write(f'{command.summary}\n\nUsage: {command.usage}\n\n')
    names = sorted(set(values) - {'flagfile', 'undefok'})
    for name in names:
        text = ' '.join(values[name].help.split())
        streams.output.write(f'  --{name:<20} {text}\n')
