"""What the logs of all instances say of one request or program.

Besides the lines that name it, the story holds what the same instances lost
or regained around that time: the cause is usually among these.
"""

import string
import typing

import msgspec

from vanillayoke.core import events

# How long before and behind a line of the request something else may have
# to do with it. Callers wait a few seconds. Seconds.
CONTEXT_BEFORE_SECONDS = 5.0
CONTEXT_AFTER_SECONDS = 1.0
_CONTEXT = frozenset(
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


def parse_lines(texts: typing.Iterable[str]) -> list[LogLine]:
    """Return the lines that can be read, whatever stands before the JSON."""
    found = []
    for text in texts:
        at = text.find('{')
        if at < 0:
            continue
        try:
            fields = msgspec.json.decode(text[at:].encode())
        except msgspec.DecodeError:
            continue
        name = fields.get('message_type')
        if isinstance(name, str):
            time = float(fields.get('timestamp', 0.0))
            instance = str(fields.get('instance', '?'))
            found.append(LogLine(time, instance, name, fields))
    return found


def select_lines(
    lines: typing.Sequence[LogLine], wanted: str
) -> list[LogLine]:
    """Return the lines of a request or program with what lies around."""
    requests = {
        line.fields.get('request') for line in lines if _names(line, wanted)
    } - {None}
    own = [
        line
        for line in lines
        if _names(line, wanted) or line.fields.get('request') in requests
    ]
    taken = set(map(id, own))
    targets = {line.fields.get('target') for line in own} - {None}
    spans: dict[str, list[float]] = {}
    for line in own:
        # A line is written at the end of what it tells.
        began = line.time - float(line.fields.get('ms') or 0.0) / 1000
        span = spans.setdefault(line.instance, [began, line.time])
        span[0] = min(span[0], began)
        span[1] = max(span[1], line.time)
    story = list(own)
    for line in lines:
        span = spans.get(line.instance)
        if span is None or id(line) in taken:
            continue
        if (
            not span[0] - CONTEXT_BEFORE_SECONDS
            <= line.time
            <= span[1] + CONTEXT_AFTER_SECONDS
        ):
            continue
        if _is_context(line, targets):
            story.append(line)
    return sorted(story, key=lambda line: line.time)


def format_lines(story: typing.Sequence[LogLine]) -> list[str]:
    """Return a line of text for each line of the story."""
    if not story:
        return []
    first = story[0].time
    return [
        f'{line.time - first:8.3f} s  {line.instance}  {_describe(line)}'
        for line in story
    ]


def _names(line: LogLine, wanted: str) -> bool:
    return wanted in (line.fields.get('request'), line.fields.get('program'))


def _is_context(line: LogLine, targets: typing.Container[str]) -> bool:
    if line.name in _CONTEXT:
        return True
    if line.name in ('target_sick', 'server_changed', 'server_expired'):
        return line.fields.get('target') in targets
    if line.name == 'peer_changed':
        return line.fields.get('state') == 'failed'
    return False


def _describe(line: LogLine) -> str:
    event = _BY_NAME.get(line.name)
    if event is None:
        return line.name
    text = _Formatter().format(event.text, **line.fields)
    shown = [
        f'{name}={line.fields[name]}'
        for name in event.fields
        if line.fields.get(name) not in (None, '', 0, 0.0)
        and f'{{{name}}}' not in event.text
    ]
    return f'{line.name}: {text} {" ".join(shown)}'.rstrip()


class _Formatter(string.Formatter):
    """Shows a field that the line left out as unknown."""

    def get_value(self, key, args, kwargs):
        return kwargs.get(key, 'nobody' if key == 'target' else 'unknown')
