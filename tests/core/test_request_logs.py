"""Tests of selecting log lines, on recorded logs."""

import io
import json
import pathlib
import tempfile

from vanillayoke.cli import main
from vanillayoke.core import request_logs
from vanillayoke.testing import fixtures

RECORDED = pathlib.Path(__file__).parent / 'recorded'
# A program with a turn that could not be stored during a store outage, and two
# more that were rejected before the store recovered.
PROGRAM = 'd6b88a648097b9'


@fixtures.fixture
def lines():
    text = (RECORDED / 'store_silent.jsonl').read_text()
    return request_logs.parse_lines(text.splitlines())


def _run(*words):
    streams = main.Streams(io.StringIO(), io.StringIO(), {})
    status = main.run(['explain', *words], streams)
    return status, streams.output.getvalue(), streams.errors.getvalue()


def test_selection_for_a_failed_program_includes_the_cause(case, lines):
    """The id of a failed program must be enough to find the cause."""
    texts = request_logs.format_lines(
        request_logs.select_lines(lines, PROGRAM)
    )
    failed = [text for text in texts if 'request_failed' in text]
    case.assertIn('store_away', failed[-1])
    outage = next(n for n, text in enumerate(texts) if 'store_lost' in text)
    case.assertLess(outage, texts.index(failed[-1]))
    times = [float(text.split()[0]) for text in texts]
    case.assertEqual(sorted(times), times)


def test_other_programs_are_excluded(case, lines):
    selected = request_logs.select_lines(lines, PROGRAM)
    programs = {line.fields.get('program') for line in selected} - {None}
    case.assertEqual({PROGRAM}, programs)


def test_selection_for_one_request(case, lines):
    failed = [
        line
        for line in request_logs.select_lines(lines, PROGRAM)
        if line.fields.get('outcome') == 'store_away'
    ]
    request = failed[0].fields['request']
    selected = request_logs.select_lines(lines, request)
    requests = {line.fields.get('request') for line in selected} - {None}
    case.assertEqual({request}, requests)


def test_selection_for_a_request_includes_those_that_resumed_it(case):
    """A stream over several attempts must be found by its first id."""
    texts = [_make_line(), _make_line(request='r2', resumes='r1')]
    selected = request_logs.select_lines(request_logs.parse_lines(texts), 'r1')
    requests = [line.fields['request'] for line in selected]
    case.assertEqual(['r1', 'r2'], requests)


def test_invalid_lines_are_ignored(case):
    text = ['', 'Traceback', '{"broken', '12.5 host {"message_type":"x"}']
    case.assertEqual(
        ['x'], [line.name for line in request_logs.parse_lines(text)]
    )


def _make_line(**changes):
    fields = {
        'message_type': 'request_failed',
        'timestamp': 12.5,
        'instance': 'i1',
        'request': 'r1',
    }
    return json.dumps(fields | changes)


def test_line_with_an_invalid_field_is_unreadable(case):
    """One such line must not end the command with an exception."""
    for changes in (
        {'timestamp': None},
        {'timestamp': 'noon'},
        {'timestamp': [1]},
        {'ms': 'long'},
        {'request': ['r1']},
        {'resumes': 7},
        {'instance': None},
    ):
        with case.subTest(**changes):
            texts = [_make_line(), _make_line(**changes), _make_line()]
            parsed = request_logs.parse_log(texts)
            case.assertEqual([2], parsed.unreadable)
            case.assertEqual(
                2, len(request_logs.select_lines(parsed.lines, 'r1'))
            )


def test_lines_left_out_are_described(case):
    """Without time and instance, an operator would not see that lines lack."""
    left_out = _make_line(
        message_type='lines_left_out',
        request=None,
        of='request_failed',
        count=7,
    )
    lines = request_logs.parse_lines([_make_line(), left_out])
    texts = request_logs.format_lines(request_logs.select_lines(lines, 'r1'))
    case.assertIn('i1  lines_left_out: 7 lines of request_failed', texts[-1])


def test_command_reports_unreadable_lines(case):
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name) / 'i1.log'
        texts = [_make_line(), 'started', _make_line(timestamp=None)]
        path.write_text('\n'.join(texts))
        status, output, errors = _run(f'--logs={name}', 'r1')
    case.assertEqual((0, 1), (status, len(output.splitlines())))
    case.assertEqual(
        f'{path}: 1 line could not be read, the first one is line 3.\n',
        errors,
    )


def test_command_prints_the_selected_lines(case):
    status, output, errors = _run(f'--logs={RECORDED}', PROGRAM)
    case.assertEqual((0, ''), (status, errors))
    case.assertIn('store_away', output)


def test_command_reports_what_it_did_not_find(case):
    status, output, errors = _run(f'--logs={RECORDED}', 'nobody')
    case.assertNotEqual(0, status)
    case.assertIn('nobody', errors)
    status, output, errors = _run('--logs=/nowhere/at/all', PROGRAM)
    case.assertNotEqual(0, status)
    case.assertIn('/nowhere/at/all', errors)


load_tests = fixtures.adapt(__name__)
