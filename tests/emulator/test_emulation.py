"""Tests of emulations and of the benefit of the product's policies."""

import pathlib
import tempfile

from vanillayoke.emulator import emulation
from vanillayoke.emulator import policies
from vanillayoke.emulator import reports
from vanillayoke.emulator import scenarios
from vanillayoke.testing import fixtures

# On average 90% of the slots are in use; there is one burst of programs.
SCENARIO = scenarios.Scenario(
    name='small',
    instances=40,
    zones=2,
    seconds=12.0,
    engines=scenarios.Engines(count=6, slots=6),
    kinds=(
        scenarios.Kind(
            name='plan', rate=29, turns=6, tokens=80, aim_factor=1.3
        ),
    ),
    bursts=(scenarios.Burst(at=4, seconds=3, times=1.5),),
)
LOW_LOAD = scenarios.Scenario(
    name='calm',
    instances=4,
    zones=1,
    engines=scenarios.Engines(count=6, slots=6),
    kinds=(scenarios.Kind(name='plan', rate=2, turns=6, tokens=80),),
)


def _run(name, seed=1, scenario=SCENARIO):
    policy = policies.POLICIES[name]
    return emulation.Emulation(scenario, policy, seed).run()


def _compute_worth(name):
    results = [_run(name, seed) for seed in (1, 2)]
    return reports.make_row(name, results).worth.mean


def test_equal_seeds_give_equal_results(case):
    case.assertEqual(_run('counted'), _run('counted'))
    case.assertNotEqual(_run('counted'), _run('counted', 2))


def test_all_policies_get_the_same_load(case):
    """Otherwise they could not be compared by seed."""
    loads = [
        sorted(
            (outcome.started_at, outcome.time_limit)
            for outcome in _run(name).outcomes
        )
        for name in ('counted', 'drawn, first come')
    ]
    case.assertEqual(loads[0], loads[1])


def test_every_program_ends_once(case):
    outcomes = _run('reported').outcomes
    starts = [outcome.started_at for outcome in outcomes]
    case.assertEqual(len(starts), len(set(starts)))
    case.assertTrue(
        all(outcome.started_at < SCENARIO.seconds for outcome in outcomes)
    )


def test_programs_end_in_time_on_idle_engines(case):
    for name in policies.POLICIES:
        row = reports.make_row(name, [_run(name, 1, LOW_LOAD)])
        case.assertGreater(row.in_time.mean, 0.98, name)


def test_counts_of_coordinators_are_nearly_as_good_as_true_loads(case):
    """With old load reports turns would queue while other engines are idle."""
    counted, reported, exact = map(
        _compute_worth, ('counted', 'reported', 'exact')
    )
    case.assertGreater(counted, exact - 0.03)
    case.assertGreater(counted, reported + 0.02)


def test_order_by_slack_is_better_than_first_come(case):
    case.assertGreater(
        _compute_worth('counted'), _compute_worth('counted, first come') + 0.03
    )


def test_report_contains_a_table_and_plots_of_each_policy(case):
    results = {name: [_run(name)] for name in ('counted', 'reported')}
    rows = [reports.make_row(name, runs) for name, runs in results.items()]
    page = reports.render_page(SCENARIO, rows, results)
    case.assertEqual(3, page.count('<svg'))
    case.assertEqual(6, page.count('<polyline'))
    text = reports.format_table(rows)
    case.assertEqual(3, len(text.splitlines()))


def _read(text):
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name) / 'load.json'
        path.write_text(text)
        return scenarios.read_scenario(str(path))


def test_example_is_a_valid_scenario(case):
    root = pathlib.Path(__file__).parents[2]
    scenario = scenarios.read_scenario(str(root / 'examples' / 'burst.json'))
    case.assertEqual(set(), set(scenario.policies) - set(policies.POLICIES))


TEMPLATE = (
    '{"name": "x", "instances": 2, "zones": 1, "engines": '
    '{"count": 1, "slots": 2}, "kinds": [], %s}'
)
UNKNOWN_KIND = '"bursts": [{"at": 1, "seconds": 1, "times": 2, "kind": "no"}]'


def test_messages_on_invalid_scenarios_name_file_and_field(case):
    for text, expected in (
        ('{"name": ', 'load.json'),
        (TEMPLATE % '"seconds": "long"', 'seconds'),
        (TEMPLATE % '"seconds": -1', 'seconds'),
        (TEMPLATE % '"speed": 1', 'speed'),
        (TEMPLATE % UNKNOWN_KIND, 'no kind is called `no`'),
    ):
        with case.assertRaises(scenarios.ScenarioError) as caught:
            _read(text)
        case.assertIn('load.json', str(caught.exception))
        case.assertIn(expected, str(caught.exception))


load_tests = fixtures.adapt(__name__)
