"""Choice of the zone in which a program begins.

A program stays in the zone of its first turn, where its cache is, and bytes
between zones are expensive. So programs begin in their own zone unless it is
short of capacity, and then only as many begin elsewhere as are too many.

All instances decide by the same loads, which are up to a second old. So each
decision is random with a probability that levels the zones on average, and
this probability becomes zero gradually as the zone approaches the level.
"""

import functools
import math
import typing

from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy as occupancy_module
from vanillayoke.scheduling import zone_loads

# What a program can bear beyond its time on idle targets: the urgent ones have
# a fifth of this time and 253 ms, less what they spend outside engines.
BEARABLE_DELAY_SECONDS = 0.3
# The time at engines of a typical program: five turns of a quarter second.
PROGRAM_ENGINE_SECONDS = 1.25
# Limits of the thresholds. Below the lower one, most of a few random targets
# have a free slot, so that another zone would gain little.
MIN_SHORT_UTILISATION = 0.7
MAX_SHORT_UTILISATION = 0.95
# A zone that was short recovers at a utilisation that is lower by this much.
# The smoothed utilisation of some 30 slots varies by 0.12 by chance.
HYSTERESIS = 0.12
# Another zone has clearly more free capacity if it is this much less utilised.
# The difference between two zones of some 30 slots varies by 0.16 by chance.
MIN_DIFFERENCE = 0.2
# Share of programs begun elsewhere, relative to the zone's excess load. The
# measured load is already reduced by these programs, so with a gain of 1 half
# of the excess remains, and with a high one the zones oscillate. In the tests'
# simulation of four zones of 33 slots with loads up to 1 s old, 9, 12, 16 and
# 33% of programs were late with a gain of 1, 1.5, 2 and 3 at a calm
# utilisation of 0.9 (12% without choice), and 25, 19, 18 and 34% at demand
# that oscillates by 55% around 0.8 (54% without choice).
GAIN = 1.5
# Half-life of the smoothing of utilisations. The number of running requests
# varies by its square root within a quarter second; a half-life of a second
# delays the choice too much for demand with a period of 17 s.
SMOOTHING_HALF_LIFE_SECONDS = 0.25


class Thresholds(typing.NamedTuple):
    """Utilisations at which a zone becomes short and recovers."""

    short: float
    recovered: float


@functools.lru_cache(maxsize=1024)
def compute_thresholds(slots: int, slowdown_percent: int) -> Thresholds:
    """Return the thresholds for a number of slots.

    ``slowdown_percent`` is how much longer work takes at a full target than at
    an idle one.
    """
    low, high = 0.0, 1.0
    for _ in range(20):
        middle = (low + high) / 2
        delay = estimate_delay(slots, middle, slowdown_percent / 100)
        if delay < BEARABLE_DELAY_SECONDS:
            low = middle
        else:
            high = middle
    short = min(MAX_SHORT_UTILISATION, max(MIN_SHORT_UTILISATION, low))
    return Thresholds(short, short - HYSTERESIS)


def estimate_delay(slots: int, utilisation: float, slowdown: float) -> float:
    """Return the seconds that a program takes longer than on idle targets.

    It waits for slots (Sakasegawa's approximation for several servers with one
    queue), and engines slow down as they fill up.
    """
    if slots <= 0 or utilisation >= 1:
        return float('inf')
    exponent = math.sqrt(2 * (slots + 1)) - 1
    wait = utilisation**exponent / (slots * (1 - utilisation))
    return PROGRAM_ENGINE_SECONDS * (wait + slowdown * utilisation)


class Plan(typing.NamedTuple):
    """Where programs of one zone begin until the next loads are known.

    A part ``ratio`` of them begins in other zones; ``rooms`` has the relative
    share of each of these.
    """

    ratio: float = 0.0
    rooms: tuple[tuple[str, float], ...] = ()


class _Zone(typing.NamedTuple):
    slots: int
    # Slots weighted by speed, per slot.
    speed: float
    utilisation: float
    measured_at: float

    @property
    def requests(self) -> float:
        return self.utilisation * self.slots if self.slots else 0.0


class ZoneChoice:
    """Decides for the requests of one service that arrive in one zone."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._zones: dict[str, _Zone] = {}
        # The zones that are short of capacity.
        self.short: frozenset[str] = frozenset()
        self.plan = Plan()

    def update(
        self,
        loads: typing.Mapping[str, zone_loads.ZoneLoad],
        slowdown: float,
    ) -> None:
        """Decide anew by the loads of the zones, which must be recent.

        ``slowdown`` is how much longer work takes at a full target than at an
        idle one, relative to the latter.
        """
        slowdown_percent = round(100 * min(10.0, max(0.0, slowdown)))
        self._zones = {
            name: _smooth(self._zones.get(name), load)
            for name, load in loads.items()
        }
        short = set()
        for name, zone in self._zones.items():
            thresholds = compute_thresholds(zone.slots, slowdown_percent)
            if zone.utilisation >= (
                thresholds.recovered
                if name in self.short
                else thresholds.short
            ):
                short.add(name)
        self.short = frozenset(short)
        self.plan = Plan()
        if self._zone in short:
            own = self._zones[self._zone]
            thresholds = compute_thresholds(own.slots, slowdown_percent)
            self.plan = self._make_plan(own, thresholds)

    def list_zones(self) -> list[str]:
        """Return the zones whose load is known."""
        return list(self._zones)

    def is_known(self, zone: str) -> bool:
        """Return whether the load of a zone is known."""
        return zone in self._zones

    def choose(self, random_float: typing.Callable[[], float]) -> str:
        """Return the zone for a new program."""
        if self.plan.ratio <= 0 or random_float() >= self.plan.ratio:
            return self._zone
        point = random_float() * sum(room for _, room in self.plan.rooms)
        for zone, room in self.plan.rooms:
            point -= room
            if point < 0:
                return zone
        return self.plan.rooms[-1][0]

    def _make_plan(self, own: _Zone, thresholds: Thresholds) -> Plan:
        """Return the plan while the own zone is short of capacity."""
        others = {
            name: zone
            for name, zone in self._zones.items()
            if name != self._zone and zone.slots > 0
        }
        if own.slots <= 0:
            rooms = _compute_rooms(others, 1.0) or {
                name: zone.slots * zone.speed for name, zone in others.items()
            }
            return Plan(1.0 if rooms else 0.0, tuple(rooms.items()))
        zones = [own, *others.values()]
        mean = sum(zone.requests for zone in zones) / sum(
            zone.slots for zone in zones
        )
        level = max(mean, thresholds.recovered)
        excess = own.requests - level * own.slots
        rooms = _compute_rooms(
            others, min(level, 1.0, own.utilisation - MIN_DIFFERENCE)
        )
        if excess <= 0 or not rooms:
            return Plan()
        # Other zones that are short send programs to the same room.
        total_excess = sum(
            max(0.0, zone.requests - level * zone.slots) for zone in zones
        )
        total_room = sum(rooms.values())
        ratio = GAIN * excess / own.requests
        ratio *= min(1.0, total_room / total_excess)
        return Plan(min(1.0, ratio), tuple(rooms.items()))


def _compute_rooms(
    zones: typing.Mapping[str, _Zone], level: float
) -> dict[str, float]:
    """Return the capacity that each zone has up to a utilisation."""
    return {
        name: (level - zone.utilisation) * zone.slots * zone.speed
        for name, zone in zones.items()
        if zone.utilisation < level and zone.speed > 0
    }


def _smooth(known: _Zone | None, load: zone_loads.ZoneLoad) -> _Zone:
    speed = load.capacity / load.slots if load.slots else 0.0
    utilisation = load.utilisation
    if known is not None and known.slots and load.slots:
        age = max(0.0, load.measured_at - known.measured_at)
        weight = 0.5 ** (age / SMOOTHING_HALF_LIFE_SECONDS)
        utilisation += weight * (known.utilisation - utilisation)
    return _Zone(load.slots, speed, utilisation, load.measured_at)


def has_free_slot(
    candidates: typing.Iterable[occupancy_module.Candidate],
    loads: typing.Mapping[str, load_counts.Load],
    occupancy: occupancy_module.Occupancy,
) -> bool:
    """Return whether a target is known to have a free slot."""
    return any(
        candidate.name in loads
        and loads[candidate.name].requests < occupancy.get_slots(candidate)
        for candidate in candidates
    )


class RemoteTargets(typing.NamedTuple):
    """Targets to ask after the first ones of a program's zone.

    ``last`` are asked only if no target asked before has a free slot.
    """

    next: list[occupancy_module.Candidate]
    last: list[occupancy_module.Candidate]


def split_remote(
    choice: ZoneChoice,
    zone: str,
    local: typing.Sequence[occupancy_module.Candidate],
    remote: typing.Sequence[occupancy_module.Candidate],
) -> RemoteTargets:
    """Split the remaining targets by whether they are in a program's zone.

    If the load of this zone is unknown, or no target in it can be used, all
    are asked at once. Targets of other zones are left out while this one is
    not short of capacity.
    """
    in_zone = [candidate for candidate in remote if candidate.zone == zone]
    is_served = any(candidate.zone == zone for candidate in (*local, *in_zone))
    if not choice.is_known(zone) or not is_served:
        return RemoteTargets(list(remote), [])
    if zone not in choice.short:
        return RemoteTargets(in_zone, [])
    others = [candidate for candidate in remote if candidate.zone != zone]
    with_capacity = [
        candidate
        for candidate in others
        if choice.is_known(candidate.zone)
        and candidate.zone not in choice.short
    ]
    return RemoteTargets(in_zone, with_capacity or others)
