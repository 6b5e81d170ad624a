"""Numbered events, written as JSON lines and stored in the timeline."""

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
    """A writer of messages at or above a level."""

    level: events.Level

    def write(self, message: dict[str, typing.Any]) -> None:
        """Write one message."""


class LogOutput:
    """Writes events at or above a level to a stream as JSON lines."""

    def __init__(self, stream: typing.IO[str], level: events.Level) -> None:
        # Imported here because it is slow and not needed with ``LineOutput``.
        import eliot

        self.level = level
        self._remove = eliot.remove_destination
        self._destination = eliot.FileDestination(file=stream)
        self._logger = eliot.Logger()
        eliot.add_destinations(self._destination)
        self._is_open = True

    def write(self, message: dict[str, typing.Any]) -> None:
        """Write one message; errors of the stream are not raised."""
        self._logger.write(message)

    def close(self) -> None:
        """Stop writing to the stream; calling it twice is harmless."""
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
    """Writes the events of one instance."""

    def __init__(
        self, event_timeline: timeline.Timeline, output: Output | None = None
    ) -> None:
        self.timeline = event_timeline
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
        """Make a logger with its own clock and timeline."""
        clock = hybrid.HybridClock(timer_service)
        event_timeline = timeline.Timeline(instance, clock, capacity)
        return cls(event_timeline, output)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each event after it is written."""
        self._listeners.append(listener)

    def write(self, event: events.Event, **fields: timeline.Value) -> None:
        """Write an event; the fields must be exactly those of the catalogue.

        A value of ``None`` means that the field is unknown.
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
        # eliot's readers group lines by task and sort them by task level.
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
    expected = ', '.join(sorted(event.fields)) or 'none'
    return f'{event.name} takes the fields {expected}; given: {given}'
