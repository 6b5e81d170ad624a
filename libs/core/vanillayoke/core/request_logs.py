"""Log lines of all instances about one request or program.

The selection includes related events of the same instances around that time,
such as a store outage, since these often show the cause.
"""

import string
import typing

import msgspec

from vanillayoke.core import events

# Related events are included from this long before the first line of the
# request to this long after its last one. Callers wait for a few seconds.
CONTEXT_BEFORE_SECONDS = 5.0
CONTEXT_AFTER_SECONDS = 1.0
_CONTEXT_EVENTS = frozenset(
    (
        'process_started',
        'drain_started',
        'store_lost',
        'store_regained',
        'routes_changed',
        'settings_changed',
        'lines_left_out',
    )
)
_BY_NAME = {event.name: event for event in events.list_events()}


class LogLine(typing.NamedTuple):
    """One line of a log."""

    time: float
    instance: str
    name: str
    fields: dict[str, typing.Any]


class ParsedLog(typing.NamedTuple):
    """The lines of a log and the numbers of those that can't be read."""

    lines: list[LogLine]
    unreadable: list[int]


class _CommonFields(msgspec.Struct):
    """The fields that the selection uses, with the types that it needs."""

    message_type: str
    timestamp: float = 0.0
    instance: str = '?'
    ms: float | None = None
    request: str | None = None
    resumes: str | None = None
    program: str | None = None
    target: str | None = None


def parse_log(texts: typing.Iterable[str]) -> ParsedLog:
    """Parse log lines, ignoring text before the JSON and other output.

    Unreadable are lines with invalid JSON or a field of a wrong type; line
    numbers start at 1.
    """
    parsed = ParsedLog([], [])
    for number, text in enumerate(texts, 1):
        start = text.find('{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:].encode())
            if 'message_type' not in fields:
                continue
            common = msgspec.convert(fields, _CommonFields)
        except msgspec.DecodeError:
            parsed.unreadable.append(number)
            continue
        name, time, instance, *_ = msgspec.structs.astuple(common)
        parsed.lines.append(LogLine(time, instance, name, fields))
    return parsed


def parse_lines(texts: typing.Iterable[str]) -> list[LogLine]:
    """Parse log lines, ignoring those that can't be read."""
    return parse_log(texts).lines


def select_lines(
    lines: typing.Sequence[LogLine], subject: str
) -> list[LogLine]:
    """Return the lines of a request or program with related events.

    Those of a request include the requests that resumed its stream.
    """
    requests = {
        line.fields.get('request')
        for line in lines
        if _mentions(line, subject)
    } - {None}
    own = [
        line
        for line in lines
        if _mentions(line, subject) or line.fields.get('request') in requests
    ]
    own_ids = set(map(id, own))
    targets = {line.fields.get('target') for line in own} - {None}
    spans: dict[str, list[float]] = {}
    for line in own:
        # A line is written at the end of the operation that it describes.
        started_at = line.time - float(line.fields.get('ms') or 0.0) / 1000
        span = spans.setdefault(line.instance, [started_at, line.time])
        span[0] = min(span[0], started_at)
        span[1] = max(span[1], line.time)
    selected = list(own)
    for line in lines:
        span = spans.get(line.instance)
        if span is None or id(line) in own_ids:
            continue
        if (
            not span[0] - CONTEXT_BEFORE_SECONDS
            <= line.time
            <= span[1] + CONTEXT_AFTER_SECONDS
        ):
            continue
        if _is_context(line, targets):
            selected.append(line)
    return sorted(selected, key=lambda line: line.time)


def format_lines(lines: typing.Sequence[LogLine]) -> list[str]:
    """Format log lines as text, with times relative to the first one."""
    if not lines:
        return []
    first = lines[0].time
    return [
        f'{line.time - first:8.3f} s  {line.instance}  {_describe(line)}'
        for line in lines
    ]


def _mentions(line: LogLine, subject: str) -> bool:
    return subject in (
        line.fields.get('request'),
        line.fields.get('resumes'),
        line.fields.get('program'),
    )


def _is_context(line: LogLine, targets: typing.Container[str]) -> bool:
    if line.name in _CONTEXT_EVENTS:
        return True
    if line.name in ('target_sick', 'server_changed', 'server_expired'):
        return line.fields.get('target') in targets
    if line.name == 'peer_changed':
        return line.fields.get('state') == 'failed'
    return False


def _describe(line: LogLine) -> str:
    if line.name == 'lines_left_out':
        count, name = line.fields.get('count'), line.fields.get('of')
        return f'{line.name}: {count} lines of {name}'
    event = _BY_NAME.get(line.name)
    if event is None:
        return line.name
    text = _Formatter().format(event.text, **line.fields)
    details = [
        f'{name}={line.fields[name]}'
        for name in event.fields
        if line.fields.get(name) not in (None, '', 0, 0.0)
        and f'{{{name}}}' not in event.text
    ]
    return f'{line.name}: {text} {" ".join(details)}'.rstrip()


class _Formatter(string.Formatter):
    """Replaces absent fields by a placeholder."""

    def get_value(self, key, args, kwargs):
        return kwargs.get(key, 'no target' if key == 'target' else 'unknown')
