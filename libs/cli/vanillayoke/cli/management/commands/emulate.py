"""Compare policies under a load on modelled engines, from a scenario file."""

import pathlib

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits

ARGUMENTS = ('SCENARIO',)
_BAR = 30


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
        'Policies to compare in place of those of the scenario.',
        flag_values=values,
    )


def run(invocation: commands.Invocation) -> int:
    """Play the scenario's seeds under each policy and print a table."""
    # Imported late: instances have no emulator.
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
    played: dict[str, list[emulation.RunResult]] = {name: [] for name in names}
    total = len(names) * len(scenario.seeds)
    for seed in scenario.seeds:
        for name in names:
            policy = policies.POLICIES[name]
            one = emulation.Emulation(scenario, policy, seed).run()
            played[name].append(one)
            _show_progress(invocation, sum(map(len, played.values())), total)
    invocation.errors.write('\n')
    rows = [reports.make_row(name, played[name]) for name in names]
    invocation.print(reports.format_table(rows))
    if invocation.flags.report:
        page = reports.render_page(scenario, rows, played)
        pathlib.Path(invocation.flags.report).write_text(page)
    return exits.Exit.OK


def _show_progress(
    invocation: commands.Invocation, done: int, total: int
) -> None:
    filled = _BAR * done // total
    bar = '#' * filled + '.' * (_BAR - filled)
    invocation.errors.write(f'\r[{bar}] {done}/{total}')
    invocation.errors.flush()
