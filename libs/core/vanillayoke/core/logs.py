"""Numbered events written as JSON lines by eliot and kept in the time line."""

import typing

from vanillayoke.core import events
from vanillayoke.core import hybrid
from vanillayoke.core import timeline
from vanillayoke.core import timers

MAX_TEXT_LENGTH = 200

_FIELD_SETS = {
    event.number: frozenset(event.fields) for event in events.list_events()
}


class Output(typing.Protocol):
    """Whatever writes messages from a level on."""

    level: events.Level

    def write(self, message: dict[str, typing.Any]) -> None:
        """Write one message."""


class LogOutput:
    """A stream that gets events as JSON lines, from a level on."""

    def __init__(self, stream: typing.IO[str], level: events.Level) -> None:
        # Imported late: a process that writes its lines itself needs no
        # eliot, which takes a tenth of a small instance's start.
        import eliot

        self.level = level
        self._remove = eliot.remove_destination
        self._destination = eliot.FileDestination(file=stream)
        self._logger = eliot.Logger()
        eliot.add_destinations(self._destination)
        self._is_open = True

    def write(self, message: dict[str, typing.Any]) -> None:
        """Write one message; a failing stream never fails the writer."""
        self._logger.write(message)

    def close(self) -> None:
        """Write nothing more to the stream; twice is harmless."""
        if self._is_open:
            self._is_open = False
            self._remove(self._destination)


def start_logging(
    stream: typing.IO[str], level: events.Level = events.Level.INFO
) -> LogOutput:
    """Start writing JSON lines to a stream."""
    return LogOutput(stream, level)


Listener = typing.Callable[[events.Event, dict[str, timeline.Value]], None]


class Logger:
    """Writes the catalogue's events of one instance."""

    def __init__(
        self, line: timeline.Timeline, output: Output | None = None
    ) -> None:
        self.timeline = line
        self._output = output
        self._sequence = 0
        self._listeners: list[Listener] = []

    @classmethod
    def from_config(
        cls,
        instance: str,
        timer_service: timers.TimerService,
        capacity: int = timeline.DEFAULT_CAPACITY,
        output: Output | None = None,
    ) -> typing.Self:
        """Make a logger with a clock and a time line of its own."""
        clock = hybrid.HybridClock(timer_service)
        line = timeline.Timeline(instance, clock, capacity)
        return cls(line, output)

    def subscribe(self, listener: Listener) -> None:
        """Call back with each event behind its writing."""
        self._listeners.append(listener)

    def write(self, event: events.Event, **fields: timeline.Value) -> None:
        """Write an event with exactly the fields that the catalogue names.

        A value of ``None`` means that the field is not known here.
        """
        if fields.keys() != _FIELD_SETS[event.number]:
            raise TypeError(_describe_mismatch(event, fields))
        for name, value in fields.items():
            if isinstance(value, str) and len(value) > MAX_TEXT_LENGTH:
                fields[name] = f'{value[:MAX_TEXT_LENGTH]}...'
        time = self.timeline.add(event, fields)
        output = self._output
        if output is not None and event.level >= output.level:
            output.write(self._make_message(event, time, fields))
        for listener in self._listeners:
            listener(event, fields)

    def _make_message(
        self, event: events.Event, time: int, fields: dict
    ) -> dict[str, typing.Any]:
        self._sequence += 1
        message = {
            name: value for name, value in fields.items() if value is not None
        }
        # eliot's readers group by task and order by level within it.
        message['task_uuid'] = fields.get('program') or self.timeline.instance
        message['task_level'] = [self._sequence]
        message['timestamp'] = hybrid.get_wall_ms(time) / 1000
        message['message_type'] = event.name
        message['number'] = event.number
        message['level'] = event.level.name
        message['instance'] = self.timeline.instance
        message['hybrid'] = time
        return message


def _describe_mismatch(event: events.Event, fields: dict) -> str:
    given = ', '.join(sorted(fields)) or 'none'
    named = ', '.join(sorted(event.fields)) or 'none'
    return f'{event.name} takes the fields {named}; given: {given}'
