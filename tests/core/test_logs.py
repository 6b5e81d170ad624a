"""Tests of writing events."""

import io
import json

from vanillayoke.core import events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.testing import fixtures


class _FullDisk(io.StringIO):
    def write(self, text):
        if text:
            raise OSError('no space left')


@fixtures.fixture
def stream():
    return io.StringIO()


@fixtures.fixture
def output(stream):
    opened = logs.start_logging(stream)
    yield opened
    opened.close()


@fixtures.fixture
def logger(loop, output):
    service = timers.LoopTimers(loop, lambda: 1_700_000_000.25)
    return logs.Logger.from_config('entry-1', service, 3, output)


def _read_lines(stream) -> list[dict]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_event_becomes_one_line(case, logger, stream):
    logger.write(
        events.CALL_PLACED, program='prg-1', call='c1', target='t', waited=0.5
    )
    [line] = _read_lines(stream)
    case.assertEqual('call_placed', line['message_type'])
    case.assertEqual(401, line['number'])
    case.assertEqual('prg-1', line['task_uuid'])
    case.assertEqual('entry-1', line['instance'])
    case.assertEqual(0.5, line['waited'])
    case.assertEqual(1_700_000_000.25, line['timestamp'])


def test_wrong_fields_are_rejected(case, logger, stream):
    with case.assertRaisesRegex(TypeError, 'call_placed takes'):
        logger.write(events.CALL_PLACED, program='prg-1')
    with case.assertRaisesRegex(TypeError, 'process_stopped takes'):
        logger.write(events.PROCESS_STOPPED, seconds=1, text='secret')
    case.assertEqual('', stream.getvalue())


def test_debug_events_are_only_in_the_timeline(case, logger, stream):
    logger.write(events.LEASE_RENEWED, seconds=0.1)
    case.assertEqual('', stream.getvalue())
    [event] = logger.timeline.dump()['events']
    case.assertEqual('lease_renewed', event['name'])


def test_long_text_is_truncated(case, logger, stream):
    logger.write(events.DRAIN_STARTED, reason='x' * 5000)
    [line] = _read_lines(stream)
    case.assertEqual(logs.MAX_TEXT_LENGTH + 3, len(line['reason']))
    [event] = logger.timeline.dump()['events']
    case.assertEqual(logs.MAX_TEXT_LENGTH + 3, len(event['fields']['reason']))


def test_unknown_values_are_omitted(case, logger, stream):
    logger.write(events.CALLER_REFUSED, client=None, kind='k', reason='r')
    [line] = _read_lines(stream)
    case.assertNotIn('client', line)


def test_nothing_is_written_after_closing(case, logger, output, stream):
    other = logs.start_logging(io.StringIO())
    output.close()
    logger.write(events.DRAIN_STARTED, reason='r')
    other.close()
    case.assertEqual('', stream.getvalue())


def test_full_disk_does_not_fail_the_writer(case, loop):
    """Requests must not fail because the log can't be written."""
    broken = logs.start_logging(_FullDisk())
    try:
        logger = logs.Logger.from_config(
            'entry-1', timers.LoopTimers(loop), output=broken
        )
        logger.write(events.DRAIN_STARTED, reason='r')
        case.assertEqual(1, len(logger.timeline.dump()['events']))
    finally:
        broken.close()


load_tests = fixtures.adapt(__name__)
