"""The policy bench: whole programs under load, against plain policies.

Prints one JSON line for each figure; the exit status is 1 where a bound is
broken.
"""

import pathlib
import typing

from absl import flags

from vanillayoke.bench import policy_baselines
from vanillayoke.bench import policy_decisions
from vanillayoke.bench import policy_plots
from vanillayoke.bench import policy_runs
from vanillayoke.bench import report
from vanillayoke.bench import workload

_LOADS = ('0.6', '1.0', '1.3', '2.0')
_OVERLOAD = 2.0
_WORK_BOUND = 0.95
_PLOTTED = ('latency_mean', 'latency_p95')


def define_flags(values: flags.FlagValues) -> None:
    """Define the bench's flags."""
    flags.DEFINE_integer(
        'seed', 1, 'Seed of the programs.', flag_values=values
    )
    flags.DEFINE_multi_string(
        'load', list(_LOADS), 'Offered loads, 1.0 is capacity.',
        flag_values=values,
    )  # fmt: skip
    flags.DEFINE_multi_enum(
        'deployment', list(workload.DEPLOYMENTS),
        list(workload.DEPLOYMENTS), 'Deployments to run.',
        flag_values=values,
    )  # fmt: skip
    flags.DEFINE_multi_enum(
        'policy', ['full'],
        [*policy_runs.VARIANTS, *policy_baselines.BASELINES],
        'Policies to compare with the best baseline.', flag_values=values,
    )  # fmt: skip
    flags.DEFINE_bool(
        'faults',
        True,
        'Run the faults at 1.0 too, on the first deployment.',
        flag_values=values,
    )
    flags.DEFINE_bool(
        'ablation', False, 'Run with each mechanism off.', flag_values=values
    )
    flags.DEFINE_string(
        'plots', '', 'Folder to write plots to.', flag_values=values
    )


def main(arguments: typing.Sequence[str]) -> int:
    """Run the bench; return the exit status."""
    values = flags.FlagValues()
    define_flags(values)
    values(arguments)
    policies = list(values.policy)
    if values.ablation:
        policies = list(policy_runs.VARIANTS)
    figures: list[report.Figure] = []
    for name in values.deployment:
        deployment = workload.DEPLOYMENTS[name]
        cases = _list_cases(values, deployment)
        figures += _run_cases(cases, policies)
    figures += _emit(policy_decisions.measure(values.seed))
    if values.plots:
        _plot(figures, pathlib.Path(values.plots))
    return 0 if all(figure.ok for figure in figures) else 1


def _list_cases(
    values: flags.FlagValues, deployment: workload.Deployment
) -> list[policy_runs.Case]:
    cases = [
        policy_runs.Case(
            f'{float(load):.0%}', deployment, float(load),
            policy_runs.NORMAL, values.seed,
        )
        for load in values.load
    ]  # fmt: skip
    if not values.faults or deployment.name != values.deployment[0]:
        return cases
    faults = policy_runs.list_faults(policy_runs.FAULT_SECONDS)
    for name, conditions in faults.items():
        cases.append(
            policy_runs.Case(name, deployment, 1.0, conditions, values.seed)
        )
    return cases


def _run_cases(
    cases: list[policy_runs.Case], policies: list[str]
) -> list[report.Figure]:
    figures = []
    at_capacity = None
    for case in cases:
        baselines = list(policy_baselines.BASELINES)
        if case.conditions != policy_runs.NORMAL:
            # The others are far behind in every normal run; the time goes
            # to the one that could win.
            baselines = ['sticky']
        results = policy_runs.run_all(
            case, dict.fromkeys([*baselines, *policies])
        )
        for policy in policies:
            figures += _emit(policy_runs.compare(case, results, policy))
        own = results.get('full')
        if case.load == 1.0 and case.conditions == policy_runs.NORMAL:
            at_capacity = own
        if case.load == _OVERLOAD and at_capacity and own:
            work = policy_runs.compare_work(
                case, own, at_capacity, _WORK_BOUND
            )
            figures += _emit([work])
    return figures


def _emit(figures: list[report.Figure]) -> list[report.Figure]:
    for figure in figures:
        print(report.format_line(figure), flush=True)
    return figures


def _plot(figures: list[report.Figure], folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for metric in _PLOTTED:
        bars = [
            policy_plots.Bar(
                figure.bench.removeprefix('policy/'), figure.ratio, figure.ok
            )
            for figure in figures
            if figure.metric == metric and figure.ratio is not None
        ]
        title = f'{metric}: ratio to the best plain policy'
        path = folder / f'policy-{metric.replace("_", "-")}.svg'
        policy_plots.write_bars(path, title, bars)
