"""Tests of the policy bench: its model, its charging and its bounds."""

import contextlib
import io

from absl import flags

from vanillayoke.bench import engine as engines
from vanillayoke.bench import policy
from vanillayoke.bench import policy_figures
from vanillayoke.bench import policy_runs
from vanillayoke.bench import report
from vanillayoke.bench import workload
from vanillayoke.testing import fixtures


def _make_call(name: str, **changes) -> engines.EngineCall:
    call = engines.EngineCall(name, name, 'board', 1000, 1200, 200, 100, 0)
    return call._replace(**changes)


def _run(engine: engines.Engine) -> list[tuple[float, engines.EngineAnswer]]:
    answers = []
    while (at := engine.next_change()) is not None:
        answers += [(at, answer) for answer in engine.advance(at)]
    return answers


def test_cached_prefix_is_not_computed_again(case):
    engine = engines.Engine('e', 16, 200_000)
    engine.submit(_make_call('c1'), 0.0)
    (first,) = _run(engine)
    later = _make_call('c2', session='c1', prompt_tokens=1500)
    engine.submit(later, first[0])
    (second,) = _run(engine)
    case.assertEqual((0, 1300), (first[1].cached_tokens, second[1][1]))
    case.assertLess(second[0] - first[0], first[0])
    case.assertEqual(1000, engine.recomputed_tokens)


def test_oldest_session_is_evicted_and_released_one_is_gone(case):
    engine = engines.Engine('e', 1, 4000)
    for number in range(4):
        engine.submit(_make_call(f'c{number}', prompt_tokens=2000), 0.0)
    _run(engine)
    case.assertLessEqual(engine.cache.used, 4000)
    case.assertNotIn('c0', engine.cache)
    case.assertIn('c3', engine.cache)
    engine.release('c3')
    case.assertNotIn('c3', engine.cache)


def test_waiting_calls_run_by_priority(case):
    engine = engines.Engine('e', 1, 200_000)
    engine.submit(_make_call('c0'), 0.0)
    engine.submit(_make_call('late', priority=5), 0.0)
    engine.submit(_make_call('soon', priority=-5), 0.0)
    case.assertTrue(engine.cancel('late'))
    order = [answer.call.call for _, answer in _run(engine)]
    case.assertEqual(['c0', 'soon'], order)


def test_refused_programs_are_charged(case):
    plans = workload.draw_plans(workload.TKACIK, 0.5, 30.0, 3)
    plans = [
        plan
        for plan in plans
        if plan.at > policy_figures.WARM_UP_SECONDS
        and not workload.vanishes(plan)
    ]
    recorder = policy_figures.Recorder(30.0)
    for plan in plans:
        recorder.note_open(plan)
    for plan in plans[1:]:
        recorder.note_failed(plan, 'refused')
    recorder.note_finished(plans[0], 2.0, True)
    figures = recorder.summarize(0)
    case.assertEqual((1, len(plans) - 1), (figures.finished, figures.refused))
    case.assertEqual(policy_figures.UNFINISHED_SECONDS, figures.latency_p95)


def test_same_seed_gives_the_same_figures(case):
    runs = []
    for seed in (3, 3, 4):
        plans = workload.draw_plans(workload.SHIRETOKO, 0.3, 20.0, seed)
        made = policy_runs.Case(
            'x', workload.SHIRETOKO, 0.3, policy_runs.NORMAL, seed
        )
        runs.append(policy_runs.run(made, 'full', plans))
    case.assertEqual(runs[0], runs[1])
    case.assertNotEqual(runs[0], runs[2])
    case.assertEqual(runs[0].programs, runs[0].finished)


def test_broken_bound_is_told_and_fails_the_run(case):
    figures = [
        report.Figure('b', 'm', 8.0, 10.0, 0.7),
        report.Figure('b', 'm', 8.0, 10.0, 0.9, least=True),
        report.Figure('b', 'm', 1.0, 0.0, 0.5),
    ]
    case.assertEqual([False] * 3, [figure.ok for figure in figures])
    case.assertIn('"ok": false', report.format_line(figures[0]))
    case.assertTrue(report.Figure('b', 'm', 6.0, 10.0, 0.7).ok)


def test_unknown_policy_is_refused(case):
    with (
        contextlib.redirect_stdout(io.StringIO()),
        case.assertRaises(flags.IllegalFlagValueError),
    ):
        policy.main(['policy', '--policy', 'nothing'])


load_tests = fixtures.adapt(__name__)
