"""Tests of the metrics."""

import pathlib
import re

from vanillayoke.core import metrics
from vanillayoke.testing import fixtures

ROOT = pathlib.Path(__file__).resolve().parents[2]
_LABEL = r'[a-z_]+="[^"\n]*"'
_LINE = re.compile(rf'^[a-z_]+(\{{{_LABEL}(,{_LABEL})*\}})? \S+$')


@fixtures.fixture
def registry():
    return metrics.Metrics()


def _read_samples(registry) -> dict[str, str]:
    text = registry.render().body.decode()
    lines = [line for line in text.splitlines() if line[:1] != '#']
    return dict(line.rsplit(' ', 1) for line in lines)


def test_counts_are_rendered(case, registry):
    registry.refusals.add(kind='overloaded')
    registry.refusals.add(2, kind='overloaded')
    samples = _read_samples(registry)
    case.assertEqual(
        '3', samples['vanillayoke_refusals_total{kind="overloaded"}']
    )
    case.assertEqual('text/plain', registry.render().content_type[:10])


def test_closed_labels_start_at_zero(case, registry):
    samples = _read_samples(registry)
    case.assertEqual(
        '0', samples['vanillayoke_refusals_total{kind="outcome_unknown"}']
    )
    case.assertEqual('0', samples['vanillayoke_takeovers_total'])


def test_histograms_are_rendered(case, registry):
    registry.wait.observe(0.2, cause='queue')
    samples = _read_samples(registry)
    name = 'vanillayoke_wait_seconds'
    case.assertEqual('1', samples[f'{name}_count{{cause="queue"}}'][:1])
    bucket = samples[f'{name}_bucket{{cause="queue",le="+Inf"}}']
    case.assertEqual(1.0, float(bucket))


def test_wrong_labels_are_rejected(case, registry):
    with case.assertRaisesRegex(TypeError, 'labels are kind'):
        registry.refusals.add(client='c')


def test_unlisted_value_of_a_closed_label_becomes_other(case, registry):
    registry.wait.observe(1, cause='weather')
    name = 'vanillayoke_wait_seconds_count{cause="other"}'
    case.assertIn(name, _read_samples(registry))


def test_clients_beyond_the_bound_become_other(case, registry):
    """Thousands of clients must not exhaust memory or the scrape timeout."""
    for number in range(metrics.MAX_LABEL_VALUES + 50):
        registry.program_latency.observe(1.0, client=f'client-{number}')
    name = 'vanillayoke_program_latency_seconds_count'
    counts = {
        key: value
        for key, value in _read_samples(registry).items()
        if key.startswith(name)
    }
    case.assertEqual(metrics.MAX_LABEL_VALUES + 1, len(counts))
    case.assertEqual(50, float(counts[f'{name}{{client="other"}}']))


def test_quotes_in_a_client_name_leave_the_page_readable(case, registry):
    """An unescaped quote or line break makes the whole page unparseable."""
    registry.tokens.add(5, client='Tk"\\\n}', kind='prompt')
    for line in registry.render().body.decode().splitlines():
        if line[:1] != '#':
            case.assertRegex(line, _LINE)


def test_alerts_name_metrics_that_exist(case, registry):
    """An alert on a renamed metric would never fire."""
    page = ROOT / 'docs' / 'howto' / 'alerts.md'
    mentioned = set(re.findall(r'vanillayoke_[a-z_]+', page.read_text()))
    defined = {metric.name for metric in registry.list_metrics()}
    names = {name.removesuffix('_bucket') for name in mentioned}
    case.assertTrue(names)
    case.assertLessEqual(names, defined)


def test_names_follow_the_conventions(case, registry):
    for metric in registry.list_metrics():
        with case.subTest(metric.name):
            is_counter = isinstance(metric, metrics.Counter)
            case.assertEqual(is_counter, metric.name.endswith('_total'))
            case.assertTrue(metric.doc.endswith('.'))


load_tests = fixtures.adapt(__name__)
