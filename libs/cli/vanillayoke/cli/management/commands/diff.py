"""Show how a folder differs from the configuration in force."""

import json

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import queries
from vanillayoke.cli import reports
from vanillayoke.cli import stores
from vanillayoke.core import failures
from vanillayoke.platform import publishing
from vanillayoke.settings import configuration
from vanillayoke.settings import differences
from vanillayoke.settings import loading

ARGUMENTS = ('FOLDER',)


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    stores.add_flags(values)
    queries.add_json_flag(values)


async def run(invocation: commands.Invocation) -> int:
    """Compare a folder with the published configuration."""
    loaded = loading.load_configuration(invocation.arguments[0])
    reports.warn_of_faults(invocation, loaded.faults)
    store_options = stores.read_stores(invocation)
    if loaded.configuration is None or store_options is None:
        return exits.Exit.BAD_INPUT
    async with store_options.open_publisher() as publisher:
        current = await publisher.read_current()
    if failures.is_failure(current):
        return reports.report_store_failure(invocation, current)
    _show(invocation, current, loaded.configuration)
    return exits.Exit.OK


def _show(
    invocation: commands.Invocation,
    current: publishing.Current,
    proposed: configuration.Configuration,
) -> None:
    changes = differences.compare(current.configuration, proposed)
    if invocation.flags.json:
        document = {
            'version': current.version,
            'differences': differences.dump_differences(changes),
        }
        invocation.print(json.dumps(document, ensure_ascii=False, indent=2))
        return
    for difference in changes:
        invocation.print(differences.format_difference(difference))
    invocation.print(
        f'{len(changes)} differences from version {current.version}.'
    )
