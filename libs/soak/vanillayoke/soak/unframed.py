"""Responses without a length: their faults and checks.

Such a response ends with its connection. The kernel closes the connections of
a process that ends in the same way, so an incomplete response looks whole.
"""

import random

from vanillayoke.soak import histories
from vanillayoke.soak import poison
from vanillayoke.soak import records
from vanillayoke.soak import streams
from vanillayoke.soak import violations

# Ends of a server's process in the middle of responses; its successor gets
# another address, or has waited for the same one.
MOVE_KIND = 'stream_move'
SUCCEED_KIND = 'stream_succeed'
# The process ends while the server is leaving.
LEAVE_KIND = 'stream_leave'
KINDS = (MOVE_KIND, SUCCEED_KIND, LEAVE_KIND)
TOOL_SERVERS = range(3, 7)
FAULT_INTERVAL_SECONDS = 1.5
# Until the process ends. A successor starts up in this time.
FAULT_SECONDS = 1.0
# A server that leaves gets no new requests after a while.
LEAVE_SECONDS = (0.1, 0.8)
SLOW_SECONDS = FAULT_SECONDS + 0.6
# Less than the time limit of an attempt at an instance.
MAX_SOUND_SECONDS = 1.0


def is_unframed(request: str) -> bool:
    """Return whether servers give the responses to a request no length."""
    return bool(request) and int(request[-1], 16) % 2 == 1


def generate_faults(seed: int, faulty: float) -> list[streams.StreamFault]:
    """Generate ends of processes whose responses are slow at the time."""
    rng = random.Random(f'unframed {seed}')
    faults = []
    at = rng.uniform(0.0, FAULT_INTERVAL_SECONDS)
    while at + FAULT_SECONDS < faulty:
        kind = rng.choice(KINDS)
        begin, seconds = at, FAULT_SECONDS
        if kind == LEAVE_KIND:
            seconds = round(rng.uniform(*LEAVE_SECONDS), 2)
            begin = at + FAULT_SECONDS - seconds
        servers = rng.choice((streams.MODEL_SERVERS, TOOL_SERVERS))
        server = rng.choice(servers)
        faults += [
            streams.StreamFault(
                round(at, 2),
                streams.SLOW_KIND,
                server,
                SLOW_SECONDS,
                streams.SLOW_EVENT_INTERVAL_SECONDS,
            ),
            streams.StreamFault(round(begin, 2), kind, server, seconds, 1.0),
        ]
        at += rng.uniform(0.8, 1.6) * FAULT_INTERVAL_SECONDS
    return faults


def _list_unframed(
    history: histories.History, cutoff: float
) -> list[tuple[records.Sent, records.Answered]]:
    """Return requests that servers started, with responses without a length.

    Those at the servers that requests end are left out.
    """
    return [
        (sent, answered)
        for sent, answered in history.list_pairs(cutoff)
        if not answered.gave_up
        and any(
            run.is_unframed and run.service != poison.SERVICE
            for run in history.started.get(sent.request, ())
        )
    ]


def check_unbroken(
    history: histories.History, cutoff: float
) -> list[violations.Violation]:
    """Find sound responses without a length that did not arrive as such.

    All responses could be taken for incomplete; that would serve nobody.
    """
    return [
        violations.Violation(
            'sound response',
            sent.request,
            f'{answered.status} broken off after'
            f' {answered.at - sent.at:.1f} s without a fault',
        )
        for sent, answered in _list_sound(history, cutoff)
        if _is_broken(answered)
    ]


def _is_broken(answered: records.Answered) -> bool:
    return not answered.is_whole or answered.status == 502


def _list_sound(
    history: histories.History, cutoff: float
) -> list[tuple[records.Sent, records.Answered]]:
    """Return requests with a complete response, without a fault near.

    On a busy machine an instance may give up what takes long.
    """
    completed = {one.request for one in history.ended if not one.is_cut}
    return [
        (sent, answered)
        for sent, answered in _list_unframed(history, cutoff)
        if sent.request in completed
        and answered.at - sent.at < MAX_SOUND_SECONDS
        and not history.is_disturbed(
            sent.at, answered.at, histories.CUTTING_KINDS
        )
    ]


def count_subjects(history: histories.History) -> dict[str, int]:
    """Count the responses without a length, and those broken off."""
    pairs = _list_unframed(history, float('inf'))
    sound = _list_sound(history, float('inf'))
    return {
        'responses without a length': len(pairs),
        'of these broken off': sum(_is_broken(one) for _, one in pairs),
        'sound ones without a fault near': len(sound),
    }
