"""Tests of the gateway bench's reading and figures."""

import random

from vanillayoke.bench import gateway_figures
from vanillayoke.bench import gateway_load
from vanillayoke.testing import fixtures

DIRECT = (
    b': alive\n\n'
    b'data: {"id":"a","choices":[{"delta":{"content":"oak "}}]}\n\n'
    b'data: {"id":"a","choices":[{"delta":{}}],"usage":{}}\n\n'
    b'data: [DONE]\n\n'
)
TEXT = b'event: text\nid: 4\ndata: {"offset":0,"text":"oak "}\n\n'
DONE = b'event: done\nid: 4\ndata: {"offset":4,"text":"oak "}\n\n'


def make_readings(texts, delay: float, length: float, reads: int) -> list:
    return [
        gateway_load.Reading(
            text, number, number + delay, number + length, reads
        )
        for number, text in enumerate(texts)
    ]


def make_lines(texts, delay=0.005, length=1.0, reads=1):
    direct = make_readings(['a', 'b', 'c'], 0.004, 1.0, 9)
    through = make_readings(texts, delay, length, reads)
    readings = gateway_figures.Comparison(direct, through)
    cpu = gateway_figures.CpuTimes(0.5, 0.25, 0.25)
    figures = gateway_figures.make_figures(
        readings,
        [gateway_figures.LoadRound(readings, 3000, cpu)],
        gateway_figures.Memory(2**20, 2**21),
    )
    return {figure.metric: figure for figure in figures}


def test_both_ways_give_the_same_text(case):
    case.assertEqual('oak ', gateway_load.join_direct(DIRECT))
    case.assertEqual('oak ', gateway_load.join_through(b':\n\n' + TEXT + DONE))


def test_a_stream_without_its_whole_answer_is_no_reading(case):
    """A fast instance looks good though callers lack half of the text.

    Its streams end early, or with another text than was streamed; a bench
    that only counts bytes takes them for answers.
    """
    for body in (TEXT, DONE, TEXT + DONE.replace(b'oak', b'elm')):
        with case.assertRaises(ValueError):
            gateway_load.join_through(body)


def test_figures_compare_the_two_ways(case):
    lines = make_lines(['a', 'b', 'c'])
    case.assertTrue(all(line.ok for line in lines.values()))
    case.assertEqual(1.25, lines['first_token_p50_ms'].ratio)
    case.assertEqual(1.0, lines['added_p50_ms'].value)
    case.assertEqual(1000.0, lines['tokens_per_second'].value)
    case.assertEqual(6000.0, lines['tokens_per_second_a_core'].value)


def test_each_bound_can_be_broken(case):
    """A release makes streams slow or wrong, and the bench stays green."""
    slow = make_lines(['a', 'b', 'c'], delay=0.1, length=2.0, reads=9)
    wrong = make_lines(['a', 'b', 'x'])
    broken = {line.metric for line in slow.values() if not line.ok}
    broken |= {line.metric for line in wrong.values() if not line.ok}
    case.assertEqual(set(gateway_figures.BOUNDS), broken)


def test_a_seed_gives_the_same_load(case):
    plans = [
        gateway_load.plan_arrivals(random.Random(7), 10.0, 22.0)
        for _ in range(2)
    ]
    case.assertEqual(*plans)
    case.assertEqual(220, len(plans[0]))
    case.assertTrue(0.0 <= min(plans[0]) <= max(plans[0]) <= 10.0)


load_tests = fixtures.adapt(__name__)
