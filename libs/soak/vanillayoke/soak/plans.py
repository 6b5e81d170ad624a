"""Generates reproducible schedules of faults from a seed."""

import random

import msgspec

from vanillayoke.soak import load
from vanillayoke.soak import releases
from vanillayoke.soak import streams
from vanillayoke.soak import unframed


class Fault(msgspec.Struct, frozen=True):
    """A fault to inject.

    ``at`` is the number of seconds after traffic starts, ``seconds`` the
    duration. ``subject`` selects the affected process, modulo the number of
    candidates. ``strength`` is a number of requests, seconds or bytes per
    second, depending on ``kind``.
    """

    at: float
    kind: str
    subject: int = 0
    seconds: float = 1.0
    strength: float = 1.0


class Plan(msgspec.Struct, frozen=True):
    """The sizes, traffic and faults of a run.

    Faults are injected during the first ``faulty`` seconds and none during
    the ``calm`` seconds after that.
    """

    seed: int
    instances: int
    callers: int
    faulty: float
    calm: float
    faults: tuple[Fault, ...]
    has_overload: bool = False
    has_release: bool = False


# Maximum duration in seconds, maximum strength and weight of each kind.
KINDS: dict[str, tuple[float, float, int]] = {
    'kill_instance': (2.0, 1, 4),
    'kill_all': (1.5, 1, 1),
    'freeze_instance': (3.0, 1, 3),
    'term_instance': (1.0, 1, 3),
    'term_all': (1.0, 1, 1),
    'replace_instance': (1.0, 1, 1),
    'hup_instance': (0.1, 1, 2),
    'clock_step': (4.0, 5.0, 2),
    'store_busy': (4.0, 1, 2),
    'store_mute': (4.0, 1, 2),
    'store_reset': (4.0, 1, 2),
    'store_slow': (4.0, 0.3, 2),
    'store_lost': (2.0, 20, 2),
    'store_late': (2.0, 6, 2),
    'store_forget': (0.1, 1, 2),
    'store_cut': (4.0, 1, 2),
    'store_silent': (4.0, 1, 2),
    'server_shed': (0.5, 12, 2),
    'server_lose_answer': (0.5, 6, 3),
    'server_cut_answer': (0.5, 6, 3),
    'server_extra_answer': (0.5, 6, 3),
    'server_garbage': (0.5, 6, 2),
    'server_error': (0.5, 12, 2),
    'server_mute': (0.5, 3, 2),
    'server_kill': (1.5, 1, 3),
    'server_freeze': (3.0, 1, 2),
    'server_leave': (2.0, 1, 3),
    'link_reset': (0.1, 1, 3),
    'link_silent': (2.0, 1, 3),
    'link_one_way': (3.0, 1, 2),
    'link_cut': (3.0, 1, 2),
    'link_slow': (3.0, 0.2, 2),
    'link_throttle': (3.0, 4000, 2),
    'caller_reset': (0.1, 1, 2),
    'caller_slow': (2.0, 0.2, 2),
    'configure': (0.1, 1, 3),
    'configure_storm': (1.0, 6, 1),
}
# These kinds use a random generator of their own, so that a seed still gives
# the same faults of the kinds above.
ADDITIONAL_KINDS: dict[str, tuple[float, float, int]] = {
    'server_reborn': (1.5, 1, 2),
    'server_foreign': (2.0, 1, 2),
}
# Servers that break the protocol, by how many requests at most; with their own
# generator as well.
HOSTILE_KINDS: dict[str, int] = {
    'server_repeat_rejection': 12,
    'server_repeat_unnamed': 6,
    'server_endless_field': 3,
    'server_endless_head': 3,
    'server_endless_body': 3,
    'server_endless_event': 3,
}
HOSTILE_INTERVAL_SECONDS = 4.0
# Cuts a part of the instances from the store, with a generator of its own. The
# strength is the number of instances.
PARTIAL_OUTAGE_KIND = 'store_part'
PARTIAL_OUTAGE_SECONDS = (1.0, 6.0)
PARTIAL_OUTAGE_INTERVAL_SECONDS = 5.0
# Changes of keys and limits, which have their own generator as well.
ACCESS_KINDS = ('configure_keys', 'configure_keys', 'configure_limit')
ACCESS_INTERVAL_SECONDS = 4.0
# On average one run in MANY_ROUTES_RUN_INTERVAL adds ADDED_ROUTE_COUNT routes
# during its first half, so that all later configurations are large.
MANY_ROUTES_KIND = 'configure_grown'
MANY_ROUTES_RUN_INTERVAL = 2
ADDED_ROUTE_COUNT = 1000
ADDITIONAL_INTERVAL_SECONDS = 4.0
GROUP_INTERVAL_SECONDS = 1.6
MAX_GROUP_SIZE = 4


def generate_plan(
    seed: int,
    instances: int = 4,
    callers: int = 24,
    faulty: float = 20.0,
    calm: float = 17.0,
) -> Plan:
    """Generate the plan of a seed.

    Faults start in groups, so that they overlap.
    """
    rng = random.Random(seed)
    kinds = list(KINDS)
    weights = [KINDS[name][2] for name in kinds]
    faults = []
    at = 0.5
    while at < faulty:
        for _ in range(rng.randint(1, MAX_GROUP_SIZE)):
            kind = rng.choices(kinds, weights)[0]
            max_seconds, max_strength, _ = KINDS[kind]
            faults.append(
                Fault(
                    round(min(faulty, at + rng.uniform(0, 0.5)), 2),
                    kind,
                    rng.randrange(1000),
                    round(rng.uniform(0.3, 1.0) * max_seconds, 2),
                    round(rng.uniform(0.2, 1.0) * max_strength, 3),
                )
            )
        at += rng.expovariate(1 / GROUP_INTERVAL_SECONDS)
    faults += _generate_additional(seed, faulty)
    faults += _generate_many_routes(seed, faulty)
    faults += _generate_access(seed, faulty)
    faults += _generate_hostile(seed, faulty)
    faults += _generate_partial_outages(seed, instances, faulty)
    faults += [
        Fault(*fault) for fault in streams.generate_faults(seed, faulty)
    ]
    faults += [
        Fault(*fault) for fault in unframed.generate_faults(seed, faulty)
    ]
    faults += [
        Fault(*fault) for fault in releases.generate_faults(seed, faulty)
    ]
    if load.has_overload(seed):
        faults += [
            Fault(*fault) for fault in load.generate_faults(seed, faulty)
        ]
    faults.sort(key=lambda fault: fault.at)
    return Plan(
        seed,
        instances,
        callers,
        faulty,
        calm,
        tuple(faults),
        load.has_overload(seed),
        releases.has_release(seed),
    )


def _generate_additional(seed: int, faulty: float) -> list[Fault]:
    rng = random.Random(f'later {seed}')
    faults = []
    at = rng.expovariate(1 / ADDITIONAL_INTERVAL_SECONDS)
    while at < faulty:
        kind = rng.choice(list(ADDITIONAL_KINDS))
        max_seconds = ADDITIONAL_KINDS[kind][0]
        seconds = round(rng.uniform(0.3, 1.0) * max_seconds, 2)
        subject = rng.randrange(1000)
        faults.append(Fault(round(at, 2), kind, subject, seconds))
        at += rng.expovariate(1 / ADDITIONAL_INTERVAL_SECONDS)
    return faults


def _generate_hostile(seed: int, faulty: float) -> list[Fault]:
    rng = random.Random(f'hostile {seed}')
    faults = []
    at = rng.expovariate(1 / HOSTILE_INTERVAL_SECONDS)
    while at < faulty:
        kind = rng.choice(list(HOSTILE_KINDS))
        strength = rng.randint(1, HOSTILE_KINDS[kind])
        subject = rng.randrange(1000)
        faults.append(Fault(round(at, 2), kind, subject, 0.5, strength))
        at += rng.expovariate(1 / HOSTILE_INTERVAL_SECONDS)
    return faults


def _generate_partial_outages(
    seed: int, instances: int, faulty: float
) -> list[Fault]:
    rng = random.Random(f'partial outages {seed}')
    faults = []
    at = rng.expovariate(1 / PARTIAL_OUTAGE_INTERVAL_SECONDS)
    while at < faulty:
        subject = rng.randrange(1000)
        seconds = round(rng.uniform(*PARTIAL_OUTAGE_SECONDS), 2)
        count = rng.randint(1, max(1, instances - 1))
        faults.append(
            Fault(round(at, 2), PARTIAL_OUTAGE_KIND, subject, seconds, count)
        )
        at += rng.expovariate(1 / PARTIAL_OUTAGE_INTERVAL_SECONDS)
    return faults


def _generate_access(seed: int, faulty: float) -> list[Fault]:
    rng = random.Random(f'access {seed}')
    faults = []
    at = rng.expovariate(1 / ACCESS_INTERVAL_SECONDS)
    while at < faulty:
        kind = rng.choice(ACCESS_KINDS)
        subject = rng.randrange(1000)
        faults.append(Fault(round(at, 2), kind, subject, 0.1))
        at += rng.expovariate(1 / ACCESS_INTERVAL_SECONDS)
    return faults


def _generate_many_routes(seed: int, faulty: float) -> list[Fault]:
    rng = random.Random(f'grown {seed}')
    if rng.randrange(MANY_ROUTES_RUN_INTERVAL):
        return []
    at = round(rng.uniform(0, faulty / 2), 2)
    return [Fault(at, MANY_ROUTES_KIND, strength=ADDED_ROUTE_COUNT)]


def list_reductions(plan: Plan) -> list[Plan]:
    """Return plans without some of the faults, those with the fewest first.

    Used to minimise a failing plan.
    """
    count = len(plan.faults)
    size = max(1, count // 2)
    reductions = []
    while size >= 1:
        for start in range(0, count, size):
            remaining = plan.faults[:start] + plan.faults[start + size :]
            if remaining:
                reductions.append(
                    msgspec.structs.replace(plan, faults=remaining)
                )
        if size == 1:
            break
        size //= 2
    return reductions
