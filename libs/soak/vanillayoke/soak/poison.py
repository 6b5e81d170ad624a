"""Requests that end the process of each server that runs them.

They have servers of their own, which sound requests use as well. Both keep
their path over all tries, as callers do that repeat a request.
"""

import collections
import typing

from vanillayoke.soak import histories
from vanillayoke.soak import records
from vanillayoke.soak import violations

ROUTE = 'fragile'
SERVICE = 'fragile'
SERVER_COUNT = 4
# From the start of such a request to the end of the process.
CRASH_SECONDS = 0.02
# The same on a busy machine.
_MAX_CRASH_SECONDS = 0.25
# Until another process starts.
RESTART_SECONDS = 0.5
# Callers of each kind. Each poison request is tried in rounds.
CALLER_COUNT = 2
TRIES = 5
ROUNDS = 3
TRY_PAUSE_SECONDS = (0.05, 0.3)
ROUND_PAUSE_SECONDS = 1.0
# A sound request is served within as many tries, even when all instances are
# killed meanwhile.
MAX_SOUND_TRIES = 20
# Servers that may end under one request.
MAX_ENDS = 3
# Servers that may end beyond that by a fault at the time: an instance takes
# what it knows with it or misses what the others tell, all are lost while the
# store takes no rows, or one is cut off and has to find out by itself.
_FURTHER_ENDS = {
    'kill_instance': 1,
    'freeze_instance': 1,
    'freeze_release': 1,
    'replace_instance': 1,
    'term_all': 1,
    'kill_all': MAX_ENDS,
    'isolate_instance': MAX_ENDS,
}
# Within this time of its start the others do not tell an instance their news.
_JOIN_SECONDS = 1.5
_POISON = 'poison'
_SOUND = 'sound'


def make_poison(number: int) -> str:
    """Return the path of a request that ends servers."""
    return f'/{ROUTE}/{_POISON}-{number}'


def make_sound(number: int) -> str:
    """Return the path of a sound request."""
    return f'/{ROUTE}/{_SOUND}-{number}'


def is_poison(target: str) -> bool:
    """Return whether a request with this path ends its server."""
    return target.startswith(f'/{ROUTE}/{_POISON}-')


def check_ends(
    history: histories.History, cutoff: float
) -> list[violations.Violation]:
    """Find requests that reached servers although too many had ended."""
    runs: dict[str, list[records.Started]] = collections.defaultdict(list)
    for name, started in history.started.items():
        for run in started:
            if is_poison(run.target) and not _is_cancelled(history, name, run):
                runs[run.target].append(run)
    found = []
    for target, started in runs.items():
        at = [run.at for run in started]
        allowed = MAX_ENDS + _count_further(history, min(at), max(at))
        if len(started) > allowed:
            detail = f'{len(started)} servers reached, {allowed} allowed'
            found.append(violations.Violation('ended servers', target, detail))
    return found


def _is_cancelled(
    history: histories.History, request: str, run: records.Started
) -> bool:
    """Return whether the caller may have left before the server ended.

    That cancels the request, so that the instance does not see the end.
    """
    answered = history.answered.get(request)
    if answered is None or answered.is_whole:
        return False
    if answered.gave_up:
        return True
    sent = history.sent.get(request)
    return (
        sent is not None
        and answered.at - sent.at >= histories.MAX_REQUEST_SECONDS
        and answered.at - run.at < _MAX_CRASH_SECONDS
    )


def _count_further(
    history: histories.History, since: float, until: float
) -> int:
    faults = sum(
        _FURTHER_ENDS.get(record.where.split()[0], 0)
        for record in history.disturbed
        if record.at <= until
        and record.until + histories.FAULT_AFTERMATH_SECONDS >= since
    )
    starts = sum(
        record.event == 'started'
        and since - _JOIN_SECONDS <= record.at <= until
        for record in history.processes
    )
    return faults + starts


def check_sound(
    history: histories.History, cutoff: float
) -> list[violations.Violation]:
    """Find sound requests that were given up on."""
    statuses: dict[str, list[int]] = collections.defaultdict(list)
    for sent, answered in history.list_pairs(cutoff):
        # 0 is a caller that could not connect.
        if answered.status and sent.target.startswith(f'/{ROUTE}/{_SOUND}-'):
            statuses[sent.target].append(answered.status)
    return [
        violations.Violation('sound request', target, f'got {found}')
        for target, found in statuses.items()
        if len(found) >= MAX_SOUND_TRIES and 200 not in found
    ]


def count_subjects(
    history: histories.History,
) -> dict[str, typing.Any]:
    """Count what the checks looked at."""
    targets = {sent.target for sent in history.sent.values()}
    ends = sum(
        is_poison(run.target)
        for started in history.started.values()
        for run in started
    )
    return {
        'requests that end servers': sum(map(is_poison, targets)),
        'servers ended by them': ends,
        'sound requests beside them': sum(
            target.startswith(f'/{ROUTE}/{_SOUND}-') for target in targets
        ),
    }
