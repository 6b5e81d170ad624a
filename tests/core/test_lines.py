"""Tests of log output that never blocks."""

import asyncio
import json

from vanillayoke.core import lines
from vanillayoke.core import timers
from vanillayoke.testing import fixtures


class _Pipe:
    def __init__(self):
        self.data = b''
        self.is_full = False

    def write(self, descriptor, data):
        if self.is_full:
            raise BlockingIOError
        self.data += data
        return len(data)


@fixtures.fixture
def pipe():
    return _Pipe()


@fixtures.fixture
def output(loop, pipe):
    clock = timers.LoopTimers(loop)
    return lines.LineOutput(1, clock, write=pipe.write)


def _make(number=1000, name='request_ended', **fields):
    return {'number': number, 'message_type': name, **fields}


async def test_lines_to_a_full_pipe_are_dropped_and_counted(
    case, pipe, output
):
    """The process must not block if the reader of its log stops reading."""
    pipe.is_full = True
    for _ in range(3000):
        output.write(_make(number=1001, name='request_failed', x='y' * 2000))
    case.assertGreater(output.dropped, 0)
    case.assertEqual(b'', pipe.data)
    pipe.is_full = False
    output.flush()
    case.assertLessEqual(len(pipe.data), lines.MAX_PENDING_BYTES)


async def test_excess_lines_of_one_event_are_suppressed_and_counted(
    case, loop, pipe, output
):
    for _ in range(lines.MAX_LINES_PER_SECOND + 50):
        output.write(_make())
    await asyncio.sleep(1.1)
    output.write(_make())
    written = [json.loads(line) for line in pipe.data.splitlines()]
    [summary] = [
        line for line in written if line['message_type'] == 'lines_left_out'
    ]
    case.assertEqual((50, 'request_ended'), (summary['count'], summary['of']))
    case.assertEqual(lines.MAX_LINES_PER_SECOND + 2, len(written))


async def test_summary_has_the_time_and_instance_of_the_last_line(
    case, pipe, output
):
    """A report of an instance's lines would not include it without them."""
    for number in range(lines.MAX_LINES_PER_SECOND + 2):
        output.write(_make(timestamp=1000.0 + number, instance='i1'))
    await asyncio.sleep(1.1)
    output.write(_make(timestamp=2000.0, instance='i1'))
    summary = json.loads(pipe.data.splitlines()[-2])
    case.assertEqual('lines_left_out', summary['message_type'])
    last = 1000.0 + lines.MAX_LINES_PER_SECOND + 1
    case.assertEqual((last, 'i1'), (summary['timestamp'], summary['instance']))


load_tests = fixtures.adapt(__name__)
