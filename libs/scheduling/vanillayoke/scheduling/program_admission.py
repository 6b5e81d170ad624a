"""Admission of new programs by the capacity of a service's targets.

All instances decide by themselves from the same loads of zones, which are up
to a second old. A program that is admitted occupies slots for one to two
seconds, so a decision that only compares the load with a bound would admit
all programs and then refuse all. Instead, the instances estimate how fast
programs arrive, from the growth of the load and the share of programs that
all of them have admitted, and compute the share that brings the load to its
target within a short time. Each instance admits that share of the programs
that arrive at it, the more urgent ones first.
"""

import typing

from vanillayoke.scheduling import program_arrivals
from vanillayoke.scheduling import program_demand
from vanillayoke.scheduling import service_capacity
from vanillayoke.scheduling import zone_loads

MAX_RETRY_SECONDS = 1.0
# Callers ignore a longer pause. The rest of a third allows for the time until
# the caller gets the refusal.
MAX_RETRY_RATIO = 0.3


class Admitted(typing.NamedTuple):
    """The program is admitted."""


class Refused(typing.NamedTuple):
    """The program is refused, and why.

    ``share`` is the share of such programs that is admitted.
    ``expected_seconds`` is the time that the program would take now. If
    ``is_reserved``, it will be admitted when it returns after ``retry_after``
    seconds.
    """

    retry_after: float
    is_reserved: bool
    share: float
    utilisation: float
    expected_seconds: float
    load_age: float


Decision = Admitted | Refused


class ProgramAdmission:
    """Admits the new programs that arrive at one instance."""

    def __init__(self, demands: program_demand.DemandModel) -> None:
        self._demands = demands
        self._services: dict[str, program_arrivals.ServiceArrivals] = {}

    def get_capacity(self, service: str) -> service_capacity.ServiceCapacity:
        """Return what is known of a service's capacity."""
        return self._get_service(service).capacity

    def list_rates(self, service: str, now: float) -> list[float]:
        """Return the slots per second of arriving programs, by urgency."""
        return self._get_service(service).list_rates(now)

    def update(
        self,
        service: str,
        loads: dict[str, zone_loads.ZoneLoad],
        now: float,
    ) -> service_capacity.ServiceCapacity:
        """Update the share of programs that a service can take."""
        state = self._get_service(service)
        state.update(loads, now)
        return state.capacity

    def record_arrival(
        self,
        service: str,
        program: program_demand.NewProgram,
        now: float,
        random_number: float,
        is_certain: bool = True,
    ) -> None:
        """Count a program that may have begun before if not ``is_certain``.

        One that was refused before is not counted again.
        ``random_number`` is between 0 and 1.
        """
        if program.waited:
            return
        demand = self._demands.get(program.route)
        count = 1.0 if is_certain else 1.0 / max(1.0, demand.turns)
        self._get_service(service).record_arrival(
            program, demand, count, now, random_number
        )

    def decide(
        self,
        service: str,
        program: program_demand.NewProgram,
        now: float,
        wait: float | None = None,
    ) -> Decision:
        """Admit or refuse a new program, after its arrival was recorded.

        ``wait`` is the time until it will be admitted if that was promised.
        """
        state = self._get_service(service)
        demand = self._demands.get(program.route)
        capacity = state.capacity
        if not capacity.is_refusing:
            return Admitted()
        queue = state.estimate_queue(program, now)
        expected = program_demand.estimate_seconds(demand, program, queue)
        share = state.get_share(program)
        # A program that was refused for good has made room for later ones, so
        # it is admitted only when all new ones are. Otherwise the number of
        # programs that ask would grow with that of refusals, and the share
        # would follow it too late.
        if (
            (not program.waited or share >= 1.0)
            and program_demand.can_end(demand, program, expected)
            and state.take(program, share)
        ):
            return Admitted()
        longest = _get_longest_wait(program)
        if wait is None:
            latest = longest
            if program.time_left is not None:
                idle = program_demand.estimate_seconds(demand, program, 0.0)
                spare = (
                    program.time_left
                    - idle
                    - program_demand.END_MARGIN_SECONDS
                )
                latest = min(longest, spare)
            wait = state.reserve_return(now, latest)
        return Refused(
            longest if wait is None else min(longest, wait),
            wait is not None,
            share,
            capacity.utilisation,
            expected,
            capacity.load_age,
        )

    def admit_returning(
        self, service: str, program: program_demand.NewProgram, now: float
    ) -> bool:
        """Return whether a program that returns when told to is admitted."""
        state = self._get_service(service)
        demand = self._demands.get(program.route)
        queue = state.estimate_queue(program, now)
        expected = program_demand.estimate_seconds(demand, program, queue)
        if not program_demand.can_end(demand, program, expected):
            return False
        state.record_return(program)
        return True

    def _get_service(self, name: str) -> program_arrivals.ServiceArrivals:
        state = self._services.get(name)
        if state is None:
            state = self._services[name] = program_arrivals.ServiceArrivals()
        return state


def _get_longest_wait(program: program_demand.NewProgram) -> float:
    """Return the longest pause that the caller will wait for."""
    patience = program.patience
    if program.time_left is not None:
        patience = min(patience, program.time_left)
    return min(MAX_RETRY_SECONDS, max(0.0, MAX_RETRY_RATIO * patience))
