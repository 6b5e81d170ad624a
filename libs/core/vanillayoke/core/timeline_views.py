"""Timelines as text, as an HTML page and as a trace for trace viewers."""

import datetime
import html
import json
import typing

from vanillayoke.core import events
from vanillayoke.core import hybrid
from vanillayoke.core import timeline
from vanillayoke.core import timeline_page

_CALL_START = events.CALL_DISPATCHED.number
_CALL_ENDS = frozenset(
    event.number
    for event in (
        events.CALL_ANSWERED,
        events.CALL_FAILED,
        events.CALL_CANCELLED,
        events.CALL_OUTCOME_UNKNOWN,
    )
)


class TraceEvent(typing.TypedDict, total=False):
    name: str
    cat: str
    ph: str
    ts: float
    pid: int
    tid: int
    id: str
    s: str
    args: dict[str, typing.Any]


class Trace(typing.TypedDict):
    """A trace in Chrome's trace event format."""

    traceEvents: list[TraceEvent]


def format_time(time: int) -> str:
    """Return a hybrid time as UTC with its counter, in sortable form."""
    seconds = hybrid.get_wall_ms(time) / 1000
    utc = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    text = utc.isoformat(sep=' ', timespec='milliseconds')
    return f'{text[:-6]}+{hybrid.get_counter(time):05d}'


def describe(event: timeline.EventDump) -> str:
    """Return an event's text from the catalogue, formatted with its fields."""
    definition = events.find_event(event['number'])
    if definition is None:
        return event['name']
    fields = dict.fromkeys(definition.fields, '?')
    fields.update(event['fields'])
    if event['target']:
        fields['target'] = event['target']
    return definition.text.format_map(fields)


def render_text(merged: typing.Iterable[timeline.EventDump]) -> str:
    """Return one line per event."""
    return ''.join(f'{_format_line(event)}\n' for event in merged)


def _format_line(event: timeline.EventDump) -> str:
    subjects = [event['program'], event['target'], event['fields'].get('call')]
    subject_text = ' '.join(str(subject) for subject in subjects if subject)
    return (
        f'{format_time(event["time"])} {event["instance"]} '
        f'{event["number"]} {event["name"]} {subject_text} - {describe(event)}'
    )


def render_html(merged: typing.Sequence[timeline.EventDump]) -> str:
    """Return a self-contained HTML page with a filter."""
    instances = sorted({event['instance'] for event in merged})
    colours = {name: index for index, name in enumerate(instances)}
    rows = ''.join(
        _format_row(event, colours[event['instance']]) for event in merged
    )
    return timeline_page.PAGE.format(
        count=len(merged), instances=len(instances), rows=rows
    )


def _format_row(event: timeline.EventDump, colour: int) -> str:
    definition = events.find_event(event['number'])
    level = definition.level.name.lower() if definition else 'info'
    cells = (
        format_time(event['time']),
        event['instance'],
        f'{event["number"]} {event["name"]}',
        event['program'],
        event['target'],
        describe(event),
        _format_fields(event['fields']),
    )
    columns = ''.join(f'<td>{html.escape(cell)}</td>' for cell in cells)
    hue = colour * timeline_page.HUE_STEP % 360
    return f'<tr class="{level}" style="--hue:{hue}">{columns}</tr>\n'


def _format_fields(fields: dict[str, timeline.Value]) -> str:
    return ', '.join(f'{name}={value}' for name, value in fields.items())


def render_chrome_trace(
    merged: typing.Iterable[timeline.EventDump],
) -> Trace:
    """Return a trace: a process per instance, a thread per program."""
    numbers = _Numbers()
    traced: list[TraceEvent] = []
    for event in merged:
        traced.append(_make_instant(event, numbers))
        if event['number'] == _CALL_START:
            traced.append(_make_span(event, numbers, 'b'))
        elif event['number'] in _CALL_ENDS:
            traced.append(_make_span(event, numbers, 'e'))
    return {'traceEvents': numbers.list_names() + traced}


def encode_trace(trace: Trace) -> str:
    """Return a trace as the JSON that viewers open."""
    return json.dumps(trace, separators=(',', ':'))


class _Numbers:
    """Process and thread numbers of instances and programs in a trace."""

    def __init__(self) -> None:
        self._instances: dict[str, int] = {}
        self._programs: dict[tuple[int, str], int] = {}

    def find(self, event: timeline.EventDump) -> tuple[int, int]:
        instances = self._instances
        pid = instances.setdefault(event['instance'], len(instances) + 1)
        if not event['program']:
            return pid, 0
        key = (pid, event['program'])
        return pid, self._programs.setdefault(key, len(self._programs) + 1)

    def list_names(self) -> list[TraceEvent]:
        named: list[TraceEvent] = [
            _make_name('process_name', pid, 0, instance)
            for instance, pid in self._instances.items()
        ]
        named += [
            _make_name('thread_name', pid, tid, program)
            for (pid, program), tid in self._programs.items()
        ]
        return named


def _make_name(kind: str, pid: int, tid: int, name: str) -> TraceEvent:
    return {
        'name': kind,
        'ph': 'M',
        'pid': pid,
        'tid': tid,
        'args': {'name': name},
    }


def _make_instant(event: timeline.EventDump, numbers: _Numbers) -> TraceEvent:
    pid, tid = numbers.find(event)
    return {
        'name': event['name'],
        'cat': 'event',
        'ph': 'i',
        's': 't',
        'ts': _get_microseconds(event['time']),
        'pid': pid,
        'tid': tid,
        'args': {**event['fields'], 'target': event['target']},
    }


def _make_span(
    event: timeline.EventDump, numbers: _Numbers, phase: str
) -> TraceEvent:
    pid, tid = numbers.find(event)
    return {
        'name': event['target'] or 'call',
        'cat': 'call',
        'ph': phase,
        'id': str(event['fields'].get('call')),
        'ts': _get_microseconds(event['time']),
        'pid': pid,
        'tid': tid,
    }


def _get_microseconds(time: int) -> float:
    # The counter gives events of one millisecond an order in the viewer.
    counter = min(hybrid.get_counter(time), 999)
    return hybrid.get_wall_ms(time) * 1000 + counter
