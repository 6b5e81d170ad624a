"""A ring buffer of an instance's last events, and merging of several."""

import collections
import typing

from vanillayoke.core import events
from vanillayoke.core import hybrid

DEFAULT_CAPACITY = 20000

Value = str | int | float | bool | None


class EventDump(typing.TypedDict):
    """One event as JSON; ``time`` is a hybrid time."""

    time: int
    number: int
    name: str
    instance: str
    program: str
    target: str
    fields: dict[str, Value]


class TimelineDump(typing.TypedDict):
    """The events of one instance, oldest first."""

    instance: str
    events: list[EventDump]


class Filter(typing.NamedTuple):
    """Selects events of a timeline; an empty field matches all.

    A program's id also matches its sub-agents.
    """

    program: str = ''
    target: str = ''
    instance: str = ''

    def matches(self, event: EventDump) -> bool:
        """Return whether an event is selected."""
        return (
            self._matches_program(event['program'])
            and self.target in ('', event['target'])
            and self.instance in ('', event['instance'])
        )

    def _matches_program(self, program: str) -> bool:
        if self.program in ('', program):
            return True
        return program.startswith(f'{self.program}.')


class Timeline:
    """The last events of one instance."""

    def __init__(
        self,
        instance: str,
        clock: hybrid.HybridClock,
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        self.instance = instance
        self.clock = clock
        self._ring: collections.deque = collections.deque(maxlen=capacity)

    def add(self, event: events.Event, fields: dict[str, Value]) -> int:
        """Add an event; return its hybrid time."""
        time = self.clock.read()
        # Tuples take less memory than dictionaries; the event has the names.
        values = tuple([fields[name] for name in event.fields])
        self._ring.append((time, event, values))
        return time

    def dump(self, event_filter: Filter | None = None) -> TimelineDump:
        """Return the selected events, ready for JSON."""
        event_filter = event_filter or Filter()
        dumps = (self._dump_event(*entry) for entry in self._ring)
        return {
            'instance': self.instance,
            'events': [dump for dump in dumps if event_filter.matches(dump)],
        }

    def _dump_event(
        self, time: int, event: events.Event, values: tuple[Value, ...]
    ) -> EventDump:
        fields = dict(zip(event.fields, values, strict=True))
        other_fields = {
            name: value
            for name, value in fields.items()
            if name not in ('program', 'target') and value is not None
        }
        return {
            'time': time,
            'number': event.number,
            'name': event.name,
            'instance': self.instance,
            'program': str(fields.get('program') or ''),
            'target': str(fields.get('target') or ''),
            'fields': other_fields,
        }


def merge_timelines(
    dumps: typing.Iterable[TimelineDump], event_filter: Filter | None = None
) -> list[EventDump]:
    """Return the events of several instances in causal order.

    Hybrid times respect causality, even if wall clocks differ, as instances
    exchange them with their messages. Ties are ordered by instance; the order
    of an instance's own events is preserved.
    """
    event_filter = event_filter or Filter()
    merged = [
        event
        for dump in dumps
        for event in dump['events']
        if event_filter.matches(event)
    ]
    merged.sort(key=lambda event: (event['time'], event['instance']))
    return merged
