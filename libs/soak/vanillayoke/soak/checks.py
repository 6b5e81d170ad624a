"""Checks the gateway's guarantees on the recorded history of a run.

Each check is a pure function from a history to violations. It examines the
whole history, so that records may arrive in any order. Checks that compare
records of callers and servers ignore requests that ended after ``cutoff``,
because records of servers may still be missing for these.
"""

import signal
import typing

from vanillayoke.soak import budgets
from vanillayoke.soak import histories
from vanillayoke.soak import load
from vanillayoke.soak import organisations
from vanillayoke.soak import poison
from vanillayoke.soak import records
from vanillayoke.soak import resumed_turns
from vanillayoke.soak import streams
from vanillayoke.soak import unframed
from vanillayoke.soak import violations

_NOT_EXECUTED_STATUSES = frozenset((402, 408, 421, 429, 503))
# Applies to the requests sent after recovery from the last fault.
MIN_SERVED_RATIO = 0.5
MIN_REQUEST_COUNT = 20
# A process that gets SIGTERM within this time of its start may be terminated
# before it has installed its signal handler.
STARTUP_SECONDS = 2.0


Violation = violations.Violation


def check_at_most_once(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find requests that ran more than once and must not."""
    found = []
    for name, runs in history.started.items():
        sent = history.sent.get(name)
        if sent is None or sent.kind == 'safe' or sent.is_resumable:
            continue
        if len(runs) > 1:
            where = ', '.join(run.server for run in runs)
            found.append(Violation('at most once', name, f'ran at {where}'))
    return found


def check_refusals(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find requests that ran although the response says that they did not."""
    found = []
    for sent, answered in history.list_pairs(cutoff):
        if answered.status not in _NOT_EXECUTED_STATUSES:
            continue
        runs = history.started.get(sent.request, ())
        if runs:
            detail = f'{answered.status}, and ran at {runs[0].server}'
            found.append(Violation('true refusal', sent.request, detail))
    return found


def check_responses(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find responses that are incomplete or belong to another request."""
    found = []
    for sent, answered in history.list_pairs(cutoff):
        if answered.status != 200:
            continue
        runs = history.started.get(sent.request)
        if not answered.is_whole:
            if sent.kind == 'stream':
                found += _check_order(sent, answered)
        elif not runs:
            found.append(
                Violation('own answer', sent.request, 'no server ran it')
            )
        elif sent.kind == 'stream':
            found += _check_stream(sent, answered, runs[-1].server)
        elif answered.body != f'done {sent.body}':
            found.append(_describe_body(sent, answered, runs[-1].server))
    return found


def _describe_body(
    sent: records.Sent, answered: records.Answered, server: str
) -> Violation:
    """Tell an incomplete body from that of another request."""
    if f'done {sent.body}'.startswith(answered.body):
        detail = f'{len(answered.body)} bytes in a whole answer, at {server}'
        return Violation('whole answer', sent.request, detail)
    detail = f'got {answered.body[:80]!r}'
    return Violation('own answer', sent.request, detail)


def _check_order(
    sent: records.Sent, answered: records.Answered
) -> list[Violation]:
    events = histories.parse_events(answered.body)
    first = sent.last_event + 1
    numbers = range(first, first + len(events))
    expected = [(n, f'{sent.request}:{n}') for n in numbers]
    if events != expected:
        detail = f'events {[number for number, _ in events]}'
        return [Violation('order of a stream', sent.request, detail)]
    return []


def _check_stream(
    sent: records.Sent, answered: records.Answered, server: str
) -> list[Violation]:
    found = _check_order(sent, answered)
    if found:
        return found
    events = histories.parse_events(answered.body)
    # Turns of a run generate as many tokens as they may.
    if (sent.last_event + len(events)) * 10 != sent.most:
        detail = f'{len(events)} events in a whole answer, at {server}'
        return [Violation('whole answer', sent.request, detail)]
    return []


def check_history(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find turns whose server did not receive the exact text of the chain."""
    found = []
    for name, runs in history.started.items():
        sent = history.sent.get(name)
        if sent is None or sent.kind != 'stream':
            continue
        expected = (
            histories.build_chain_text(history, sent.previous) + sent.body
        )
        for run in runs:
            if run.body != expected:
                detail = f'{run.server} got {run.body[-120:]!r}'
                found.append(Violation('history', name, detail))
    return found


def check_retention(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find completed turns that were reported as unknown later."""
    found = []
    for sent, answered in history.list_pairs(cutoff):
        if answered.status not in (404, 410):
            continue
        parent = history.answered.get(sent.previous)
        if parent is not None and parent.is_whole and parent.status == 200:
            detail = f'{answered.status} for {sent.previous}'
            found.append(Violation('history kept', sent.request, detail))
    return found


def check_denials(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find requests that were denied although their route is in force."""
    found = []
    for sent, answered in history.list_pairs(cutoff):
        is_denied = answered.status in (404, 410) and sent.kind != 'stream'
        if is_denied and not _may_lack_route(history, sent):
            detail = f'{answered.status} on a route in force'
            found.append(Violation('no denial', sent.request, detail))
    return found


def _may_lack_route(history: histories.History, sent: records.Sent) -> bool:
    """Return whether the instance may not have the route yet."""
    version = histories.parse_version(sent)
    if not version:
        return False
    max_delay = history.bounds.configuration + history.bounds.slack
    accepted = [
        record.at for record in history.accepted if record.version == version
    ]
    if not accepted or sent.at <= accepted[0] + max_delay:
        return True
    since = sent.at - max_delay - max_delay
    return history.is_disturbed(
        since, sent.at, histories.UPDATE_BLOCKING_KINDS
    )


def check_draining(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find requests sent to a server long after it began to drain."""
    found = []
    max_delay = history.bounds.leaving + history.bounds.slack
    for name, runs in history.started.items():
        for run in runs:
            since = history.leaving.get(run.server)
            if since is None or run.at <= since + max_delay:
                continue
            # Updates may be late or lost during faults.
            if history.is_disturbed(
                since, run.at, histories.UPDATE_BLOCKING_KINDS
            ):
                continue
            detail = f'{run.server} left {run.at - since:.1f} s before'
            found.append(Violation('leaving server', name, detail))
    return found


def check_configuration(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find requests routed by a configuration that is out of date."""
    found = []
    versions = sorted(history.accepted, key=lambda record: record.version)
    max_delay = history.bounds.configuration + history.bounds.slack
    for name, runs in history.started.items():
        sent = history.sent.get(name)
        if sent is None or histories.parse_version(sent):
            continue
        route = sent.target.split('/')[1]
        since = sent.at - max_delay
        if history.is_disturbed(
            since - max_delay, sent.at, histories.UPDATE_BLOCKING_KINDS
        ):
            # Updates may be lost: any accepted version may be in force.
            since = float('-inf')
        allowed = {
            record.services[route]
            for record, after in zip(
                versions, [*versions[1:], None], strict=True
            )
            if after is None or after.at > since
        }
        for run in runs:
            if run.service not in allowed:
                detail = f'ran at {run.service}, allowed {sorted(allowed)}'
                found.append(Violation('configuration', name, detail))
    return found


def check_rollback(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find processes that went back to an older configuration.

    Each version adds a route and keeps the earlier ones. A process that has
    served the route of a version and denies it later has gone back.
    """
    found = []
    newest: dict[str, tuple[float, int]] = {}
    pairs = [
        (sent, answered, histories.parse_version(sent))
        for sent, answered in history.list_pairs(cutoff)
        if histories.parse_version(sent)
    ]
    for sent, answered, version in sorted(pairs, key=lambda pair: pair[1].at):
        process = _identify_process(history, sent, answered)
        if process is None:
            continue
        at, newest_version = newest.get(process, (float('inf'), 0))
        if (
            answered.status == 404
            and version <= newest_version
            and sent.at > at
        ):
            detail = (
                f'{process} denied version {version} after {newest_version}'
            )
            found.append(Violation('no regress', sent.request, detail))
        if answered.status == 200 and version > newest_version:
            newest[process] = (answered.at, version)
    return found


def _identify_process(
    history: histories.History, sent: records.Sent, answered: records.Answered
) -> str | None:
    """Return the process that answered.

    Returns ``None`` if a process started or ended during the request.
    """
    moments = [
        record.at
        for record in history.processes
        if record.instance == sent.instance and record.event != 'told'
    ]
    if any(sent.at <= at <= answered.at for at in moments):
        return None
    return f'{sent.instance}/{sum(at < sent.at for at in moments)}'


def check_unrequested(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find requests that no caller sent in this form."""
    found = []
    for name, runs in history.started.items():
        sent = history.sent.get(name)
        for run in runs:
            if run.at > cutoff:
                continue
            if sent is None:
                found.append(Violation('unasked', name, 'no caller sent it'))
            elif (run.method, run.target) != (sent.method, sent.target):
                detail = f'{run.method} {run.target}'
                found.append(Violation('unasked', name, detail))
            elif sent.kind != 'stream' and run.body != sent.body:
                found.append(Violation('unasked', name, 'another body'))
    return found


def check_graceful_stops(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find planned stops that were not graceful."""
    found = []
    stop_requested: dict[str, float] = {}
    for record in sorted(history.processes, key=lambda record: record.at):
        if record.event == 'told':
            stop_requested[record.instance] = record.at
            continue
        requested_at = stop_requested.pop(record.instance, None)
        if record.event != 'ended' or requested_at is None:
            continue
        duration = record.at - requested_at
        if history.is_disturbed(
            requested_at, record.at, frozenset(('kill', 'freeze'))
        ):
            continue
        if record.status == -signal.SIGKILL and history.is_disturbed(
            requested_at, record.at, frozenset(('replace',))
        ):
            # A replaced instance is killed, whatever it was told before.
            continue
        if record.status == -signal.SIGTERM:
            # ``check_crashes`` reports this, as it knows the process's age.
            continue
        if record.status != 0 or duration > history.bounds.grace:
            detail = f'status {record.status} after {duration:.1f} s'
            found.append(Violation('graceful stop', record.instance, detail))
    return found + _find_unended_stops(history, cutoff, stop_requested)


def _find_unended_stops(
    history: histories.History,
    cutoff: float,
    stop_requested: dict[str, float],
) -> list[Violation]:
    """Find processes still running after an undisturbed grace period.

    ``stop_requested`` has the times of the requests without a later end.
    """
    grace_start = cutoff - history.bounds.grace
    if history.is_disturbed(
        grace_start, cutoff, frozenset(('kill', 'freeze'))
    ):
        return []
    return [
        Violation(
            'graceful stop',
            instance,
            f'still running after {cutoff - requested_at:.1f} s',
        )
        for instance, requested_at in stop_requested.items()
        if requested_at <= grace_start
    ]


def check_cut_requests(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find requests that were read, and cut by a planned stop.

    A server has started each of them. With a failure of the instance in place
    of the response, they count as well.
    """
    stops = [one for one in history.processes if one.event == 'told']
    found = []
    for sent, answered in history.list_pairs(cutoff):
        is_cut = not answered.is_whole or _is_own_failure(answered)
        seconds = answered.at - sent.at
        # At its deadline the caller has closed the connection itself.
        if (
            not is_cut
            or answered.gave_up
            or seconds >= histories.MAX_REQUEST_SECONDS
        ):
            continue
        if not history.started.get(sent.request):
            continue
        age = _find_stop_age(stops, sent, history.bounds.grace)
        if age is None or history.is_disturbed(
            sent.at, answered.at, histories.CUTTING_KINDS
        ):
            continue
        detail = (
            f'{answered.status} after {seconds:.1f} s,'
            f' sent {age:.1f} s after SIGTERM'
        )
        found.append(Violation('requests at stops', sent.request, detail))
    return found


def _is_own_failure(answered: records.Answered) -> bool:
    """Return whether a 500 is the instance's, which has no body."""
    return answered.status == 500 and not answered.body


def _find_stop_age(
    stops: list[records.Process], sent: records.Sent, grace: float
) -> float | None:
    """Return when a request was sent, relative to its instance's stop."""
    ages = [
        sent.at - stop.at
        for stop in stops
        if stop.instance == sent.instance
        and -histories.MAX_REQUEST_SECONDS <= sent.at - stop.at <= grace
    ]
    return ages[-1] if ages else None


def check_crashes(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Find processes that ended with neither status 0 nor SIGKILL."""
    found = []
    started: dict[str, float] = {}
    stop_requested: dict[str, float] = {}
    for record in sorted(history.processes, key=lambda record: record.at):
        match record.event:
            case 'started':
                started[record.instance] = record.at
                stop_requested.pop(record.instance, None)
            case 'told':
                stop_requested[record.instance] = record.at
            case 'ended':
                age = stop_requested.get(record.instance, 1e9) - started.get(
                    record.instance, 0.0
                )
                # The signal handler was not installed yet, so no requests
                # were served either.
                ended_at_startup = (
                    age < STARTUP_SECONDS and record.status == -signal.SIGTERM
                )
                if (
                    record.status not in (0, -signal.SIGKILL)
                    and not ended_at_startup
                ):
                    detail = f'status {record.status}'
                    found.append(
                        Violation('no crash', record.instance, detail)
                    )
    return found


def check_recovery(
    history: histories.History, cutoff: float
) -> list[Violation]:
    """Report if too few requests were served after the last fault.

    What an organisation asks beyond its limit does not count.
    """
    last = max((record.until for record in history.disturbed), default=0.0)
    since = last + history.bounds.recovery
    after = [
        answered
        for sent, answered in history.list_pairs(cutoff)
        if sent.at >= since
        and answered.status != 402
        and not _is_over_limit(history, sent, answered)
    ]
    if len(after) < MIN_REQUEST_COUNT:
        return []
    served = sum(record.status == 200 and record.is_whole for record in after)
    if served >= MIN_SERVED_RATIO * len(after):
        return []
    detail = f'{served} of {len(after)} requests served'
    return [Violation('recovery', 'all', detail)]


def _is_over_limit(
    history: histories.History, sent: records.Sent, answered: records.Answered
) -> bool:
    organisation = organisations.parse_organisation(sent.key)
    return (
        answered.status == 429
        and organisation == organisations.LIMITED_ORGANISATION
        and organisations.is_limit_used(history, sent.at)
    )


CHECKS: dict[
    str, typing.Callable[[histories.History, float], list[Violation]]
] = {
    'at most once': check_at_most_once,
    'true refusal': check_refusals,
    'own and whole answer': check_responses,
    'history byte for byte': check_history,
    'history kept': check_retention,
    'no denial': check_denials,
    'budget': budgets.check_budgets,
    'budget not withheld': budgets.check_withheld_budgets,
    'leaving server': check_draining,
    'configuration in force': check_configuration,
    'no regress': check_rollback,
    'nothing unasked': check_unrequested,
    'own organisation': organisations.check_organisations,
    'key in force': organisations.check_keys,
    'limit': organisations.check_limit,
    'one software version': streams.check_versions,
    'resumed streams': streams.check_resumptions,
    'attempts': load.check_attempts,
    'ended servers': poison.check_ends,
    'sound request': poison.check_sound,
    'memory limit': load.check_memory,
    'idle site': load.check_idle_site,
    'graceful stop': check_graceful_stops,
    'requests at stops': check_cut_requests,
    'sound response': unframed.check_unbroken,
    'no crash': check_crashes,
    'recovery': check_recovery,
}


# These checks have time limits, which a run on a busy machine may exceed.
TIMED_CHECKS = frozenset(
    (
        'no denial',
        'leaving server',
        'configuration in force',
        'key in force',
        'graceful stop',
        'recovery',
        'resumed streams',
    )
)


def check_all(
    history: histories.History, cutoff: float, is_timed: bool = True
) -> list[Violation]:
    """Run all checks, without ``TIMED_CHECKS`` unless ``is_timed``."""
    return [
        violation
        for name, check in CHECKS.items()
        if is_timed or name not in TIMED_CHECKS
        for violation in check(history, cutoff)
    ]


def count_subjects(history: histories.History) -> dict[str, int]:
    """Count the requests, processes and other subjects of the checks."""
    kinds = [sent.kind for sent in history.sent.values()]
    statuses = [record.status for record in history.answered.values()]
    return {
        'unsafe requests': kinds.count('unsafe'),
        'safe requests': kinds.count('safe'),
        'turns': kinds.count('stream'),
        'refusals': sum(
            status in _NOT_EXECUTED_STATUSES for status in statuses
        ),
        'chained turns': sum(
            bool(record.previous) for record in history.sent.values()
        ),
        'programs': len({record.program for record in history.sent.values()}),
        'leaving servers': len(history.leaving),
        'configurations': len(history.accepted),
        'keys taken away': len({k for a in history.accepted for k in a.keys})
        - len(organisations.NAMES),
        'refused over the limit': statuses.count(429),
        **load.count_subjects(history),
        **streams.count_subjects(history),
        **resumed_turns.count_subjects(history),
        **poison.count_subjects(history),
        **unframed.count_subjects(history),
        'planned stops': sum(
            record.event == 'told' for record in history.processes
        ),
    }
