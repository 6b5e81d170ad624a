"""Compare scheduling policies on modelled engines, from a scenario file."""

import pathlib

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits

ARGUMENTS = ('SCENARIO',)
_PROGRESS_BAR_WIDTH = 30


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    flags.DEFINE_string(
        'report',
        '',
        'An HTML file to write, with plots over time.',
        flag_values=values,
    )
    flags.DEFINE_list(
        'policies',
        [],
        'Policies to compare instead of those of the scenario.',
        flag_values=values,
    )


def run(invocation: commands.Invocation) -> int:
    """Run each seed of the scenario under each policy; print a table."""
    # Imported here, as this package does not depend on the emulator.
    from vanillayoke.emulator import emulation
    from vanillayoke.emulator import policies
    from vanillayoke.emulator import reports
    from vanillayoke.emulator import scenarios

    try:
        scenario = scenarios.read_scenario(invocation.arguments[0])
    except scenarios.ScenarioError as error:
        invocation.warn(str(error))
        return exits.Exit.BAD_INPUT
    names = invocation.flags.policies or scenario.policies
    for name in names:
        if name not in policies.POLICIES:
            known = ', '.join(policies.POLICIES)
            invocation.warn(f'No policy is called "{name}"; known: {known}.')
            return exits.Exit.BAD_INPUT
    results: dict[str, list[emulation.RunResult]] = {
        name: [] for name in names
    }
    total = len(names) * len(scenario.seeds)
    for seed in scenario.seeds:
        for name in names:
            policy = policies.POLICIES[name]
            result = emulation.Emulation(scenario, policy, seed).run()
            results[name].append(result)
            _show_progress(invocation, sum(map(len, results.values())), total)
    invocation.errors.write('\n')
    rows = [reports.make_row(name, results[name]) for name in names]
    invocation.print(reports.format_table(rows))
    if invocation.flags.report:
        page = reports.render_page(scenario, rows, results)
        pathlib.Path(invocation.flags.report).write_text(page)
    return exits.Exit.OK


def _show_progress(
    invocation: commands.Invocation, done: int, total: int
) -> None:
    filled = _PROGRESS_BAR_WIDTH * done // total
    bar = '#' * filled + '.' * (_PROGRESS_BAR_WIDTH - filled)
    invocation.errors.write(f'\r[{bar}] {done}/{total}')
    invocation.errors.flush()
