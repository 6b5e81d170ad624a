"""Decides which events of a response's runs are passed on to the caller.

A response may consist of several runs: where a stream breaks off, another
target is asked to go on after the last event. Targets may ignore that and
begin anew, or send the last event once more.
"""

import enum
import re
import typing

from vanillayoke.gateway import sse

# What the value of a header field may contain, so that a request can ask a
# target to go on after the event. Longer IDs may exceed a target's limits.
_HEADER_VALUE = re.compile(rb'[\x20-\x7e\x80-\xff]{1,256}')
_WHITESPACE = b' \t'


class Decision(enum.Enum):
    """What to do with an event; the values appear in metrics."""

    PASS_ON = 'pass_on'
    # The caller has the event.
    DROP = 'drop'
    # The run does not go on after the last event.
    LEAVE_RUN = 'leave_run'


class _Number(typing.NamedTuple):
    """A number of any length, as its digits without leading zeros.

    Compares as the number does. Conversion to ``int`` takes quadratic time and
    fails beyond some thousand digits.
    """

    length: int
    digits: bytes


# IDs with an equal key name the same event.
_Key = _Number | bytes
_FIRST = _Number(1, b'1')


class EventOrder:
    """The order of the events of one response.

    ``resumed_at`` is the ID of the last event that the caller has from an
    earlier response, ``None`` or empty if it has none.
    """

    def __init__(self, resumed_at: bytes | None) -> None:
        # Where the stream resumes if it is interrupted.
        self.last_id = strip_id(resumed_at)
        # Whether another run could go on after the last event.
        self.can_resume = True
        self._last_key = _make_key(self.last_id)
        # A hash, as events may be large; None while the bytes are unknown.
        self._last_hash: int | None = None
        self._highest: _Number | None = None
        self._record_highest()
        # Whether the run has yet to show that it goes on after the last event.
        self._is_joining = False
        self._has_repeated = False

    def begin_run(self) -> None:
        """Record that the next events come from a new run."""
        self._is_joining = self.last_id is not None
        self._has_repeated = False

    def decide(self, event: sse.StreamEvent) -> Decision:
        """Decide on the next event, and record it if it is passed on."""
        event_id = strip_id(event.event_id)
        if event_id is None:
            return self._decide_without_id(event)
        key = _make_key(event_id)
        if key == self._last_key:
            return self._decide_on_repetition(event, key)
        if isinstance(key, _Number) and not self._is_higher(key):
            return Decision.LEAVE_RUN
        if not _HEADER_VALUE.fullmatch(event_id):
            self.can_resume = False
        self._is_joining = False
        self._has_repeated = False
        self.last_id = event_id
        self._last_key = key
        self._last_hash = hash(event.raw)
        self._record_highest()
        return Decision.PASS_ON

    def _decide_without_id(self, event: sse.StreamEvent) -> Decision:
        if event.data is None:
            # A comment, for example, which belongs to no place in the stream.
            return Decision.PASS_ON
        if self._is_joining:
            return Decision.LEAVE_RUN
        # A run that resumed at the last ID would send the event again.
        self.can_resume = False
        return Decision.PASS_ON

    def _decide_on_repetition(
        self, event: sse.StreamEvent, key: _Key
    ) -> Decision:
        """Decide on an event whose ID is the last one.

        It is dropped once; a run that only repeats it would never end.
        """
        if self._has_repeated:
            return Decision.LEAVE_RUN
        if self._last_hash is None:
            if isinstance(key, _Number) and key <= _FIRST:
                # It may as well be the first event of a run that begins anew,
                # and the caller's event may have had other bytes.
                return Decision.LEAVE_RUN
            self._last_hash = hash(event.raw)
        elif self._last_hash != hash(event.raw):
            return Decision.LEAVE_RUN
        self._is_joining = False
        self._has_repeated = True
        return Decision.DROP

    def _is_higher(self, number: _Number) -> bool:
        return self._highest is None or number > self._highest

    def _record_highest(self) -> None:
        if isinstance(self._last_key, _Number):
            self._highest = self._last_key


def strip_id(event_id: bytes | None) -> bytes | None:
    """Return an ID as a header field carries it, ``None`` if it is empty."""
    return (event_id or b'').strip(_WHITESPACE) or None


def _make_key(event_id: bytes | None) -> _Key | None:
    if event_id is None or not event_id.isdigit():
        return event_id
    digits = event_id.lstrip(b'0')
    return _Number(len(digits), digits)
