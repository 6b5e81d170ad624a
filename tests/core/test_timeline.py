"""Tests of timelines: storing, merging, filtering and rendering."""

import html.parser
import json

from vanillayoke.core import events
from vanillayoke.core import hybrid
from vanillayoke.core import logs
from vanillayoke.core import timeline
from vanillayoke.core import timeline_views
from vanillayoke.core import timers
from vanillayoke.testing import fixtures

PROGRAM = 'prg-1'


class _PageParser(html.parser.HTMLParser):
    """Counts the table rows and collects the links of a page."""

    def __init__(self) -> None:
        super().__init__()
        self.rows = 0
        self.links = []

    def handle_starttag(self, tag, attributes):
        self.rows += tag == 'tr'
        self.links += [
            value for name, value in attributes if name in ('src', 'href')
        ]


def _make_logger(loop, instance: str, offset: float, capacity: int = 100):
    service = timers.LoopTimers(loop, lambda: 1_700_000_000.0 + offset)
    return logs.Logger.from_config(instance, service, capacity)


@fixtures.fixture
def owner(loop):
    return _make_logger(loop, 'entry-1', 0.0)


@fixtures.fixture
def behind(loop):
    return _make_logger(loop, 'entry-2', -30.0)


def _write_call(logger, call: str, target: str = 'engine-a') -> None:
    logger.write(
        events.CALL_DISPATCHED,
        program=PROGRAM,
        call=call,
        target=target,
        attempt=1,
    )
    logger.write(
        events.CALL_ANSWERED,
        program=PROGRAM,
        call=call,
        target=target,
        seconds=1.5,
    )


def _send_message(sender, receiver) -> None:
    receiver.timeline.clock.merge(sender.timeline.clock.read())


def test_timeline_stores_the_last_events(case, loop):
    logger = _make_logger(loop, 'entry-1', 0.0, capacity=2)
    for call in ('c1', 'c2'):
        _write_call(logger, call)
    dumped = logger.timeline.dump()['events']
    case.assertEqual(
        ['c2', 'c2'], [event['fields']['call'] for event in dumped]
    )


def test_dump_is_json(case, owner):
    _write_call(owner, 'c1')
    dump = owner.timeline.dump()
    case.assertEqual(dump, json.loads(json.dumps(dump)))


def test_cause_precedes_effect_even_if_clocks_differ(case, owner, behind):
    """A call must not appear to be answered before it was forwarded.

    The wall clock of the instance that answers is 30 s behind.
    """
    owner.write(events.PASSED_ON, program=PROGRAM, owner='entry-2')
    _send_message(owner, behind)
    _write_call(behind, 'c1')
    _send_message(behind, owner)
    owner.write(events.STREAM_CUT, program=PROGRAM, call='c1', reason='closed')
    dumps = [behind.timeline.dump(), owner.timeline.dump()]
    merged = timeline.merge_timelines(dumps)
    case.assertEqual(
        ['passed_on', 'call_dispatched', 'call_answered', 'stream_cut'],
        [event['name'] for event in merged],
    )


def test_filter_by_program_includes_its_sub_agents(case, owner):
    for program in (PROGRAM, f'{PROGRAM}.aa', 'prg-10'):
        owner.write(events.BUDGET_EXHAUSTED, program=program, client='c')
    dump = owner.timeline.dump(timeline.Filter(program=PROGRAM))
    case.assertEqual(
        [PROGRAM, f'{PROGRAM}.aa'],
        [event['program'] for event in dump['events']],
    )


def test_filter_by_target_and_instance(case, owner, behind):
    _write_call(owner, 'c1', 'engine-a')
    _write_call(owner, 'c2', 'engine-b')
    _write_call(behind, 'c3', 'engine-b')
    dumps = [owner.timeline.dump(), behind.timeline.dump()]
    by_target = timeline.merge_timelines(
        dumps, timeline.Filter(target='engine-b')
    )
    case.assertEqual(4, len(by_target))
    both = timeline.Filter(target='engine-b', instance='entry-2')
    case.assertEqual(
        {'c3'},
        {
            event['fields']['call']
            for event in timeline.merge_timelines(dumps, both)
        },
    )


def test_text_has_a_line_per_event(case, owner):
    _write_call(owner, 'c1')
    merged = timeline.merge_timelines([owner.timeline.dump()])
    lines = timeline_views.render_text(merged).splitlines()
    case.assertEqual(
        '2023-11-14 22:13:20.000+00001 entry-1 405 call_answered '
        'prg-1 engine-a c1 - The call was answered after 1.5 s.',
        lines[1],
    )


def test_page_has_all_rows_and_escapes_values(case, owner):
    owner.write(events.DRAIN_STARTED, reason='<script>alert(1)</script>')
    _write_call(owner, 'c1')
    merged = timeline.merge_timelines([owner.timeline.dump()])
    page = timeline_views.render_html(merged)
    parser = _PageParser()
    parser.feed(page)
    case.assertEqual(1 + 3, parser.rows)
    case.assertEqual([], parser.links)
    case.assertNotIn('<script>alert', page)


def test_trace_spans_calls(case, owner):
    _write_call(owner, 'c1')
    merged = timeline.merge_timelines([owner.timeline.dump()])
    trace = timeline_views.render_chrome_trace(merged)
    phases = [event['ph'] for event in trace['traceEvents']]
    case.assertEqual(['M', 'M', 'i', 'b', 'i', 'e'], phases)
    begin, end = trace['traceEvents'][3], trace['traceEvents'][5]
    case.assertEqual('c1', begin['id'])
    case.assertLess(begin['ts'], end['ts'])
    json.loads(timeline_views.encode_trace(trace))


def test_events_of_a_newer_version_are_shown(case):
    """During a rolling upgrade, newer instances send unknown events."""
    event: timeline.EventDump = {
        'time': hybrid.pack_time(1_700_000_000_000),
        'number': 99999,
        'name': 'from_the_future',
        'instance': 'entry-9',
        'program': '',
        'target': '',
        'fields': {'a': 1},
    }
    merged = timeline.merge_timelines(
        [{'instance': 'entry-9', 'events': [event]}]
    )
    case.assertIn('from_the_future', timeline_views.render_text(merged))
    case.assertIn('from_the_future', timeline_views.render_html(merged))


load_tests = fixtures.adapt(__name__)
