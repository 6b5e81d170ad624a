"""Organisations of a run, and checks of their keys and limits."""

import bisect
import typing

from vanillayoke.soak import histories
from vanillayoke.soak import records
from vanillayoke.soak import violations
from vanillayoke.standins import calls

NAMES = ('red', 'blue', 'tight')
LIMITED_ORGANISATION = 'tight'
# Requests per second and burst, before and after the limit is lowered.
LIMIT_RATES = ((30.0, 40.0), (15.0, 20.0))
WINDOW_SECONDS = 5.0
# Tolerances of the limit: relative to it, and a number of requests.
ALLOWED_EXCESS_RATIO = 0.1
ALLOWED_EXCESS_COUNT = 20.0
# An organisation that ran less of its limit than this is refused wrongly.
MIN_USED_RATIO = 0.5


def parse_organisation(key: str) -> str:
    """Return the organisation that a key belongs to."""
    return key.rpartition('-')[0]


class Keys:
    """The keys and the limit in force."""

    def __init__(self) -> None:
        self._generations = dict.fromkeys(NAMES, 1)
        self.is_limit_lowered = False

    def get_key(self, organisation: str) -> str:
        """Return the current key of an organisation."""
        return f'{organisation}-{self._generations[organisation]}'

    def rotate_key(self, subject: int) -> None:
        """Replace the key of an organisation."""
        name = NAMES[subject % len(NAMES)]
        self._generations[name] += 1

    def make_organisations(self) -> list[dict]:
        """Return the organisations in the form of a configuration."""
        found = []
        for name in NAMES:
            rate, burst = 0.0, 0.0
            if name == LIMITED_ORGANISATION:
                rate, burst = LIMIT_RATES[self.is_limit_lowered]
            found.append(
                calls.make_organisation(
                    name, self.get_key(name), rate=rate, burst=burst
                )
            )
        return found

    def list_keys(self) -> list[str]:
        """Return the current keys."""
        return [self.get_key(name) for name in NAMES]

    def compute_limit(self) -> float:
        """Return the maximum number of requests in a window."""
        rate, burst = LIMIT_RATES[self.is_limit_lowered]
        return rate * WINDOW_SECONDS + burst


def check_organisations(
    history: histories.History, cutoff: float
) -> list[violations.Violation]:
    """Find targets that received a key or another organisation's name."""
    found = []
    for name, runs in history.started.items():
        sent = history.sent.get(name)
        if sent is None:
            continue
        expected = parse_organisation(sent.key)
        for run in runs:
            if run.organisation != expected or run.has_key:
                detail = f'{run.server} got {run.organisation!r}'
                detail += ' and a key' if run.has_key else ''
                found.append(violations.Violation('own name', name, detail))
    return found


def check_keys(
    history: histories.History, cutoff: float
) -> list[violations.Violation]:
    """Find requests that ran with a key no longer in force."""
    found = []
    max_delay = history.bounds.configuration + history.bounds.slack
    for name, runs in history.started.items():
        sent = history.sent.get(name)
        if sent is None or not sent.key or not runs:
            continue
        if history.is_disturbed(
            sent.at - 2 * max_delay, sent.at, histories.UPDATE_BLOCKING_KINDS
        ):
            continue
        held = _list_versions_in_force(history, sent.at - max_delay, sent.at)
        if not any(sent.key in one.keys for one in held):
            detail = f'{sent.key} ran at {runs[0].server}'
            found.append(violations.Violation('key in force', name, detail))
    return found


def check_limit(
    history: histories.History, cutoff: float
) -> list[violations.Violation]:
    """Report the first window with more requests than the limit allows.

    A lower limit applies once it has been in force for the maximum
    propagation delay and a whole window. During faults any limit that was
    accepted may apply.
    """
    moments = sorted(_list_runs(history))
    max_delay = 2 * (history.bounds.configuration + history.bounds.slack)
    for index, start in enumerate(moments):
        end = start + WINDOW_SECONDS
        allowed = [
            one.limit
            for one in _list_versions_in_force(
                history, start - max_delay - WINDOW_SECONDS, end
            )
        ]
        if not allowed:
            continue
        if history.is_disturbed(
            start - max_delay, start, histories.UPDATE_BLOCKING_KINDS
        ):
            allowed += [one.limit for one in history.accepted]
        most = max(allowed) * (1 + ALLOWED_EXCESS_RATIO) + ALLOWED_EXCESS_COUNT
        count = bisect.bisect_left(moments, end) - index
        if count > most:
            detail = f'{count} in {WINDOW_SECONDS:.0f} s, allowed {most:.0f}'
            return [
                violations.Violation('limit', LIMITED_ORGANISATION, detail)
            ]
    return []


def is_limit_used(history: histories.History, at: float) -> bool:
    """Return whether the limited organisation ran much of its limit by then.

    Its requests beyond the limit are refused rightly.
    """
    limits = [
        one.limit
        for one in _list_versions_in_force(history, at - WINDOW_SECONDS, at)
    ]
    count = sum(
        at - WINDOW_SECONDS <= moment <= at for moment in _list_runs(history)
    )
    return bool(limits) and count >= MIN_USED_RATIO * min(limits)


def _list_runs(history: histories.History) -> typing.Iterator[float]:
    for name, runs in history.started.items():
        sent = history.sent.get(name)
        if sent is not None and sent.key.startswith(
            f'{LIMITED_ORGANISATION}-'
        ):
            yield from (run.at for run in runs)


def _list_versions_in_force(
    history: histories.History, since: float, until: float
) -> list[records.Accepted]:
    """Return the versions in force at any time of an interval."""
    versions = sorted(history.accepted, key=lambda one: one.at)
    before = [one for one in versions if one.at <= since]
    inside = [one for one in versions if since < one.at <= until]
    return [*before[-1:], *inside]
