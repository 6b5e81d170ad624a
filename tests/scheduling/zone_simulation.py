"""A small simulation of zones whose programs begin where ZoneChoice says."""

import collections
import heapq
import math
import random
import typing

from vanillayoke.scheduling import zone_choice
from vanillayoke.scheduling import zone_loads

SLOTS = 33
TURNS = 5
TURN_SECONDS = 0.25
TOOL_SECONDS = 0.1
STEP_SECONDS = 0.5
# Loads are this old when instances decide by them, and get older until the
# next ones.
LOAD_AGE_SECONDS = 0.5


class Result(typing.NamedTuple):
    """What became of the programs.

    ``delays`` holds the seconds that each program took longer than on idle
    engines, ``moves`` the second, the own zone and the other one of each
    program that began elsewhere, and ``utilisations`` the requests per slot by
    zone and half second.
    """

    delays: list[float]
    moves: list[tuple[int, str, str]]
    utilisations: dict[str, list[float]]
    count: int

    @property
    def moved_ratio(self) -> float:
        """The part of the programs that began in another zone."""
        return len(self.moves) / self.count

    @property
    def swapped_ratio(self) -> float:
        """The part of programs that crossed others of the same second."""
        counts = collections.Counter(self.moves)
        swapped = sum(
            min(count, counts[second, other, own])
            for (second, own, other), count in counts.items()
        )
        return swapped / max(1, len(self.moves))

    def count_late(self, bearable: float) -> int:
        """Return how many programs took longer by more than is bearable."""
        return sum(delay > bearable for delay in self.delays)


class _Program:
    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.turns = TURNS
        self.delay = 0.0
        self.queued_at = 0.0


class Simulation:
    """Zones with one queue each; all instances of a zone decide alike.

    ``demand`` returns the requests per slot that a zone would have on average
    at a time if all its programs began there. ``slots`` returns the slots of
    a zone at a time. ``slowdown`` is how much longer turns take if all slots
    are used.
    """

    def __init__(
        self,
        demand: typing.Callable[[str, float], float],
        slots: typing.Callable[[str, float], int] = lambda zone, now: SLOTS,
        has_choice: bool = True,
        zones: str = 'abcd',
        seed: int = 1,
        slowdown: float = 0.0,
    ) -> None:
        self._demand = demand
        self._slots = slots
        self._has_choice = has_choice
        self._zones = zones
        self._slowdown = slowdown
        self._rng = random.Random(seed)
        self._choices = {name: zone_choice.ZoneChoice(name) for name in zones}
        self._running = dict.fromkeys(zones, 0)
        self._queues: dict[str, collections.deque[_Program]] = {
            name: collections.deque() for name in zones
        }
        self._events: list = []
        self._number = 0
        self._result = Result([], [], {name: [] for name in zones}, 0)
        self._begun = 0

    def run(self, seconds: float) -> Result:
        """Simulate programs that begin within a number of seconds."""
        for zone in self._zones:
            self._schedule_arrival(zone, 0.0, seconds)
        for step in range(int(seconds / STEP_SECONDS)):
            self._schedule(step * STEP_SECONDS, self._measure)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self._result._replace(count=self._begun)

    def _schedule(self, at: float, action, *arguments) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, action, arguments))

    def _schedule_arrival(self, zone: str, now: float, end: float) -> None:
        rate = self._demand(zone, now) * SLOTS / (TURNS * TURN_SECONDS)
        at = now + self._rng.expovariate(rate)
        if at < end:
            self._schedule(at, self._arrive, zone, end)

    def _arrive(self, now: float, zone: str, end: float) -> None:
        self._schedule_arrival(zone, now, end)
        self._begun += 1
        chosen = zone
        if self._has_choice:
            chosen = self._choices[zone].choose(self._rng.random)
        if chosen != zone:
            self._result.moves.append((int(now), zone, chosen))
        self._queue(now, _Program(chosen))

    def _queue(self, now: float, program: _Program) -> None:
        if self._slots(program.zone, now) == 0:
            # Turns go to other zones if there is no healthy target.
            program.zone = self._rng.choice(
                [zone for zone in self._zones if self._slots(zone, now) > 0]
            )
        program.queued_at = now
        self._queues[program.zone].append(program)
        self._start_turns(now, program.zone)

    def _start_turns(self, now: float, zone: str) -> None:
        queue = self._queues[zone]
        while queue and self._running[zone] < self._slots(zone, now):
            program = queue.popleft()
            self._running[zone] += 1
            load = self._running[zone] / self._slots(zone, now)
            duration = TURN_SECONDS * self._rng.uniform(0.5, 1.5)
            slowed = duration * (1 + self._slowdown * load)
            program.delay += now - program.queued_at + slowed - duration
            self._schedule(now + slowed, self._end_turn, program)

    def _end_turn(self, now: float, program: _Program) -> None:
        self._running[program.zone] -= 1
        self._start_turns(now, program.zone)
        program.turns -= 1
        if program.turns:
            self._schedule(now + TOOL_SECONDS, self._queue, program)
        else:
            self._result.delays.append(program.delay)

    def _measure(self, now: float) -> None:
        loads = {}
        for zone in self._zones:
            slots = self._slots(zone, now)
            loads[zone] = zone_loads.ZoneLoad(
                slots,
                self._running[zone],
                len(self._queues[zone]),
                float(slots),
                now,
            )
            self._result.utilisations[zone].append(loads[zone].utilisation)
            self._start_turns(now, zone)
        self._schedule(now + LOAD_AGE_SECONDS, self._update, loads)

    def _update(
        self, now: float, loads: dict[str, zone_loads.ZoneLoad]
    ) -> None:
        for choice in self._choices.values():
            choice.update(loads, self._slowdown)


def oscillate(mean: float, ratio: float) -> typing.Callable:
    """Return a demand that oscillates, slightly out of phase per zone."""

    def demand(zone: str, now: float) -> float:
        phase = now / 17.0 + 0.2 * 'abcd'.index(zone)
        return mean * (1 + ratio * math.sin(2 * math.pi * phase))

    return demand
