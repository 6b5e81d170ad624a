"""Publish a settings folder and wait until all instances use it."""

import getpass
import os
import random
import typing

from absl import flags

from vanillayoke.cli import access
from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import queries
from vanillayoke.cli import reports
from vanillayoke.cli import rollouts
from vanillayoke.cli import stores
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.platform import publishing
from vanillayoke.settings import configuration
from vanillayoke.settings import differences
from vanillayoke.settings import loading

ARGUMENTS = ('FOLDER',)
DEFAULT_WAIT_SECONDS = 30.0


class _Plan(typing.NamedTuple):
    """What to apply and how; ``options`` is ``None`` with --nowait."""

    configuration: configuration.Configuration
    stores: stores.Stores
    options: access.AccessOptions | None


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    stores.add_flags(values)
    access.add_flags(values)
    flags.DEFINE_bool(
        'wait',
        True,
        'Wait until the configuration is in force on all live instances.',
        flag_values=values,
    )
    flags.DEFINE_float(
        'wait_timeout',
        DEFAULT_WAIT_SECONDS,
        'Seconds to wait for instances.',
        lower_bound=0.0,
        flag_values=values,
    )
    flags.DEFINE_string(
        'author',
        '',
        'Author recorded for the change; default: the current user.',
        flag_values=values,
    )
    flags.DEFINE_integer(
        'base',
        None,
        'Apply only if this version is still the published one.',
        lower_bound=0,
        flag_values=values,
    )


async def run(invocation: commands.Invocation) -> int:
    """Check the folder, publish it and wait for the instances."""
    plan = _make_plan(invocation)
    if plan is None:
        return exits.Exit.BAD_INPUT
    version = await _publish(invocation, plan)
    if not isinstance(version, _Version):
        return version
    if plan.options is None:
        return exits.Exit.OK
    return await _wait(invocation, plan.options, version.number)


class _Version(typing.NamedTuple):
    """The version that is to come into force."""

    number: int


def _make_plan(invocation: commands.Invocation) -> _Plan | None:
    loaded = loading.load_configuration(invocation.arguments[0])
    reports.warn_of_faults(invocation, loaded.faults)
    store_options = stores.read_stores(invocation)
    wait = invocation.flags.wait
    options = access.read_access(invocation) if wait else None
    if store_options is None or loaded.configuration is None:
        return None
    if wait and options is None:
        return None
    return _Plan(loaded.configuration, store_options, options)


async def _publish(
    invocation: commands.Invocation, plan: _Plan
) -> _Version | int:
    async with plan.stores.open_publisher() as publisher:
        current = await publisher.read_current()
        if failures.is_failure(current):
            return reports.report_store_failure(invocation, current)
        base = invocation.flags.base
        if base is not None and base != current.version:
            lost = publishing.RaceLost(current.version, current.author)
            return _report_result(invocation, lost)
        changes = differences.compare(
            current.configuration, plan.configuration
        )
        if not changes and current.version:
            invocation.print(f'Version {current.version} is the same.')
            return _Version(current.version)
        for difference in changes:
            invocation.print(differences.format_difference(difference))
        draft = await _make_draft(invocation, plan, current)
        return _report_result(invocation, await publisher.publish(draft))


async def _make_draft(
    invocation: commands.Invocation, plan: _Plan, current: publishing.Current
) -> publishing.Draft:
    return publishing.Draft(
        base=current,
        configuration=plan.configuration,
        author=invocation.flags.author or _find_user(invocation),
        write_id=ids.make_id('cfg', random.SystemRandom()),
        floor=await _find_highest_version(plan.options),
    )


async def _find_highest_version(options: access.AccessOptions | None) -> int:
    """Return the highest version that any instance has in force."""
    if options is None:
        return 0
    async with options.open_client() as client:
        rollout = await rollouts.read_rollout(client, options)
    if not isinstance(rollout, rollouts.Rollout):
        return 0
    return max(rollout.versions.values(), default=0)


def _find_user(invocation: commands.Invocation) -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return invocation.environ.get('USER', f'uid {os.getuid()}')


def _report_result(
    invocation: commands.Invocation,
    result: publishing.Accepted | publishing.RaceLost | failures.Failure,
) -> _Version | int:
    match result:
        case publishing.Accepted(version):
            invocation.print(f'Accepted as version {version}.')
            return _Version(version)
        case publishing.RaceLost(version, author):
            invocation.warn(
                f'Nothing was changed: {author or "somebody"} was first '
                f'with version {version}. Look at it with diff, then apply '
                'again.'
            )
            return exits.Exit.RACE_LOST
    return reports.report_store_failure(invocation, result)


async def _wait(
    invocation: commands.Invocation,
    options: access.AccessOptions,
    version: int,
) -> int:
    async with options.open_client() as client:
        lagging = await rollouts.wait_for_version(
            client, options, version, invocation.flags.wait_timeout
        )
    if not isinstance(lagging, list):
        invocation.warn(f'Version {version} is published, but:')
        queries.report_failure(invocation, lagging)
        return exits.Exit.NOT_REACHABLE
    if not lagging:
        invocation.print(f'Version {version} is in force everywhere.')
        return exits.Exit.OK
    invocation.warn(
        f'Version {version} is published, but not in force on: '
        f'{", ".join(lagging)}.'
    )
    return exits.Exit.NOT_REACHABLE
