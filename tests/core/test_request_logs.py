"""Tests of telling a request's story, on lines of a played day."""

import io
import pathlib

from vanillayoke.cli import main
from vanillayoke.core import request_logs
from vanillayoke.testing import fixtures

RECORDED = pathlib.Path(__file__).parent / 'recorded'
# A program whose turn could not be kept when the store fell silent, and that
# was refused twice before the store was back.
PROGRAM = 'd6b88a648097b9'


@fixtures.fixture
def lines():
    text = (RECORDED / 'store_silent.jsonl').read_text()
    return request_logs.parse_lines(text.splitlines())


def _run(*words):
    streams = main.Streams(io.StringIO(), io.StringIO(), {})
    status = main.run(['explain', *words], streams)
    return status, streams.output.getvalue(), streams.errors.getvalue()


def test_walk_from_a_failed_program_to_the_cause(case, lines):
    """An operator has only the id of a program that failed by night."""
    shown = request_logs.format_lines(
        request_logs.select_lines(lines, PROGRAM)
    )
    failed = [text for text in shown if 'request_failed' in text]
    case.assertIn('store_away', failed[-1])
    lost = next(n for n, text in enumerate(shown) if 'store_lost' in text)
    case.assertLess(lost, shown.index(failed[-1]))
    times = [float(text.split()[0]) for text in shown]
    case.assertEqual(sorted(times), times)


def test_other_programs_are_left_out(case, lines):
    story = request_logs.select_lines(lines, PROGRAM)
    programs = {line.fields.get('program') for line in story} - {None}
    case.assertEqual({PROGRAM}, programs)


def test_story_of_one_request(case, lines):
    failed = [
        line
        for line in request_logs.select_lines(lines, PROGRAM)
        if line.fields.get('outcome') == 'store_away'
    ]
    wanted = failed[0].fields['request']
    story = request_logs.select_lines(lines, wanted)
    requests = {line.fields.get('request') for line in story} - {None}
    case.assertEqual({wanted}, requests)


def test_noise_between_lines_is_passed(case):
    text = ['', 'Traceback', '{"broken', '12.5 host {"message_type":"x"}']
    case.assertEqual(
        ['x'], [one.name for one in request_logs.parse_lines(text)]
    )


def test_command_tells_the_story(case):
    status, output, errors = _run(f'--logs={RECORDED}', PROGRAM)
    case.assertEqual((0, ''), (status, errors))
    case.assertIn('store_away', output)


def test_command_says_what_it_could_not_find(case):
    status, output, errors = _run(f'--logs={RECORDED}', 'nobody')
    case.assertNotEqual(0, status)
    case.assertIn('nobody', errors)
    status, output, errors = _run('--logs=/nowhere/at/all', PROGRAM)
    case.assertNotEqual(0, status)
    case.assertIn('/nowhere/at/all', errors)


load_tests = fixtures.adapt(__name__)
