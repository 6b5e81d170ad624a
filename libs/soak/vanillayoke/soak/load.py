"""Overload in a part of the runs, and the checks of what it must not break.

In these runs instances have overload control and a memory limit, targets have
few slots and report contention, organisations have bursts, and some callers
read large responses slowly.
"""

import random
import typing

from vanillayoke.soak import histories
from vanillayoke.soak import poison
from vanillayoke.soak import records
from vanillayoke.soak import streams
from vanillayoke.soak import unframed
from vanillayoke.soak import violations

# Odd seeds have overload, so that CI, which plays the first two, has both.
SEED_INTERVAL = 2
SLOT_COUNT = 2
# There are two instances in each zone, so that another one becomes the
# coordinator of its targets when one is lost.
ZONES = ('z1', 'z2')
# An idle instance needs 30 MB. What is left for others is a few MB, which the
# slow readers fill.
MEMORY_LIMIT_MB = 64
# 0 is the most urgent; only safe calls of this priority are hedged.
ROUTE_PRIORITIES = {'chat': 2, 'plan': 0, 'look': 0, 'order': 0}
# Routes that are not listed have one attempt.
MAX_ATTEMPTS = {'look': 2}
SLOW_READER_COUNT = 6
# Larger than what the sockets' buffers take.
LARGE_BODY_BYTES = 400_000
# Kinds of faults that end a server's process, with the number of seconds
# after the fault by which it has ended. A leaving server drains first.
SERVER_END_SECONDS = {
    'server_kill': 1.0,
    streams.KILL_KIND: 1.0,
    'server_reborn': 1.0,
    'server_leave': 5.0,
    **dict.fromkeys(unframed.KINDS, 1.0),
}

BURST_KIND = 'burst_organisation'
# Additional callers of an organisation; its usual number is 8.
BURST_CALLER_RANGE = 12, 40
BURST_SECONDS_RANGE = 1.5, 3.0
CONTENTION_RANGE = 1.5, 4.0
# Slows a server of tools so that its calls are hedged.
STALL_RANGE = 4.0, 12.0
TOOL_SERVERS = range(3, 7)
# Faults while requests wait, with their maximum duration in seconds. Each
# instance coordinates targets and one of each zone the loads of the zone.
KINDS: dict[str, float] = {
    'kill_instance': 2.0,
    'freeze_instance': 2.0,
    'isolate_instance': 2.0,
    'server_contend': 3.0,
    'server_kill': 1.5,
    'server_reborn': 1.5,
    'server_freeze': 2.0,
}
# Slow readers at one instance, which would need more than its memory.
CROWD_KIND = 'crowd_instance'
CROWD_READER_RANGE = 100, 150
BURST_INTERVAL_SECONDS = 2.0
MAX_FAULT_DELAY_SECONDS = 1.0
# The highest in a run, while the other counts are sums.
MEMORY_PEAK = 'most memory of an instance in MB'
# A probe of an idle site is answered within this time; targets need 60 ms.
MAX_PROBE_SECONDS = 1.5


class BurstFault(typing.NamedTuple):
    """A burst, or a fault during one; the fields are those of plans.Fault."""

    at: float
    kind: str
    subject: int
    seconds: float
    strength: float


def has_overload(seed: int) -> bool:
    """Return whether the run of a seed has overload."""
    return seed % SEED_INTERVAL == 1


def generate_faults(seed: int, faulty: float) -> list[BurstFault]:
    """Generate bursts, each with faults while its requests wait."""
    rng = random.Random(f'load {seed}')
    faults = []
    at = rng.uniform(0.3, 1.0)
    while at < faulty - MAX_FAULT_DELAY_SECONDS:
        seconds = rng.uniform(*BURST_SECONDS_RANGE)
        callers = rng.randint(*BURST_CALLER_RANGE)
        faults.append(
            BurstFault(
                round(at, 2),
                BURST_KIND,
                rng.randrange(1000),
                round(seconds, 2),
                callers,
            )
        )
        crowd = BurstFault(
            round(at + rng.uniform(0.3, MAX_FAULT_DELAY_SECONDS), 2),
            CROWD_KIND,
            rng.randrange(1000),
            round(rng.uniform(1.0, 2.0), 2),
            rng.randint(*CROWD_READER_RANGE),
        )
        if rng.randrange(2):
            faults.append(crowd)
        for _ in range(rng.randint(1, 2)):
            kind = rng.choice(list(KINDS))
            delay = rng.uniform(0.3, MAX_FAULT_DELAY_SECONDS)
            faults.append(
                BurstFault(
                    round(at + delay, 2),
                    kind,
                    rng.randrange(1000),
                    round(rng.uniform(0.3, 1.0) * KINDS[kind], 2),
                    round(rng.uniform(*CONTENTION_RANGE), 2),
                )
            )
        at += seconds
        # Calls are hedged only where other targets have capacity, as after a
        # burst.
        faults.append(
            BurstFault(
                round(min(faulty, at), 2),
                'server_contend',
                rng.choice(TOOL_SERVERS),
                round(rng.uniform(1.0, 2.0), 2),
                round(rng.uniform(*STALL_RANGE), 2),
            )
        )
        at += rng.expovariate(1 / BURST_INTERVAL_SECONDS)
    return faults


def check_attempts(
    history: histories.History, cutoff: float
) -> list[violations.Violation]:
    """Find safe requests that ran at more servers than their route allows.

    The same server may run a request again. A server that has ended no longer
    counts, so requests during the end of a server are ignored.
    """
    found = []
    for name, runs in history.started.items():
        sent = history.sent.get(name)
        if sent is None or sent.kind != 'safe':
            continue
        if sent.target.startswith(f'/{poison.ROUTE}/'):
            # The servers of this route end, with and without a record.
            continue
        allowed = MAX_ATTEMPTS.get(sent.target.split('/')[1], 1)
        servers = {run.server for run in runs}
        if len(servers) > allowed and not _may_have_ended(history, runs):
            where = ', '.join(sorted(servers))
            detail = f'ran at {where}, {allowed} allowed'
            found.append(violations.Violation('attempts', name, detail))
    return found


def _may_have_ended(
    history: histories.History, runs: list[records.Started]
) -> bool:
    """Return whether a server may have ended between the runs."""
    first, last = min(run.at for run in runs), max(run.at for run in runs)
    for record in history.disturbed:
        seconds = SERVER_END_SECONDS.get(record.where.split()[0])
        if seconds is not None and record.at <= last:
            if record.until + seconds >= first:
                return True
    return False


def check_memory(
    history: histories.History, cutoff: float
) -> list[violations.Violation]:
    """Find instances that have exceeded their memory limit."""
    return [
        violations.Violation(
            'memory limit',
            instance,
            f'{record.peak >> 10} KB of {record.limit >> 10} KB',
        )
        for instance, record in history.memory.items()
        if record.peak > record.limit
    ]


def check_idle_site(
    history: histories.History, cutoff: float
) -> list[violations.Violation]:
    """Find waiting requests and unused slots in the last round of probes."""
    if history.probed is None:
        return []
    probed = history.probed
    found = []
    for name in probed.requests:
        sent, answered = history.sent[name], history.answered[name]
        seconds = answered.at - sent.at
        is_served = answered.status == 200 and answered.is_whole
        if not is_served or seconds > MAX_PROBE_SECONDS:
            detail = f'{answered.status} after {seconds:.1f} s'
            found.append(
                violations.Violation('no request waits', name, detail)
            )
    for server, slots in probed.slots.items():
        peak = _count_peak(history, server, probed.at, probed.until)
        if peak < slots:
            detail = f'{peak} of {slots} slots used'
            found.append(violations.Violation('all slots', server, detail))
    return found


def _count_peak(
    history: histories.History, server: str, since: float, until: float
) -> int:
    """Return the most requests that a server ran at once in an interval."""
    changes = []
    for runs in history.started.values():
        changes += [
            (run.at, 1)
            for run in runs
            if run.server == server and since <= run.at <= until
        ]
    changes += [
        (record.at, -1)
        for record in history.ended
        if record.server == server
        and any(
            run.server == server and since <= run.at <= record.at
            for run in history.started.get(record.request, ())
        )
    ]
    running = peak = 0
    for _, change in sorted(changes):
        running += change
        peak = max(peak, running)
    return peak


def count_subjects(history: histories.History) -> dict[str, int]:
    """Count what the checks of overload looked at."""
    pairs = [
        (sent, history.answered[name])
        for name, sent in history.sent.items()
        if name in history.answered
    ]
    return {
        'refused for capacity': sum(
            answered.status == 503 for _, answered in pairs
        ),
        'safe requests at two servers': sum(
            len(runs) > 1 and history.sent[name].kind == 'safe'
            for name, runs in history.started.items()
            if name in history.sent
        ),
        'large responses read slowly': sum(
            answered.is_whole and sent.body.endswith('>')
            for sent, answered in pairs
            if answered.status == 200
        ),
        MEMORY_PEAK: max(
            (record.peak >> 20 for record in history.memory.values()),
            default=0,
        ),
        'probes': len(history.probed.requests) if history.probed else 0,
    }
