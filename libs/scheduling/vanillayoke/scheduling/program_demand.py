"""What programs need on idle targets, learned by route."""

import typing

# Programs learned from before estimates are used to refuse a program that
# can't end in time.
MIN_LEARNED_PROGRAMS = 5
LEARNING_RATE = 0.1
INITIAL_TURNS = 4.0
INITIAL_PROGRAM_SECONDS = 1.5
INITIAL_TURN_SECONDS = 0.2
INITIAL_IDLE_RATIO = 0.6
# Allows for programs that take longer than most of their route.
END_MARGIN_SECONDS = 0.05


class Demand(typing.NamedTuple):
    """What a route's programs need on idle targets.

    ``idle_ratio`` is the share of their time limit that they take.
    """

    turns: float = INITIAL_TURNS
    seconds: float = INITIAL_PROGRAM_SECONDS
    turn_seconds: float = INITIAL_TURN_SECONDS
    idle_ratio: float = INITIAL_IDLE_RATIO
    programs: int = 0

    @property
    def slot_seconds(self) -> float:
        """The total time that a program occupies a slot."""
        return min(self.turns * self.turn_seconds, self.seconds)


class NewProgram(typing.NamedTuple):
    """A program whose first turn waits for admission.

    ``time_left`` is the time within which it has to end, if that is known, and
    ``patience`` the one within which the request has to be answered.
    ``waited`` is the time since the program was first refused. ``is_hot`` says
    that its organisation has used up its share.
    """

    route: str
    priority: int
    time_left: float | None
    patience: float
    is_hot: bool = False
    waited: float = 0.0


class DemandModel:
    """Learns the demand of programs by route."""

    def __init__(self) -> None:
        self._demands: dict[str, Demand] = {}

    def get(self, route: str) -> Demand:
        """Return the demand of a route's programs."""
        return self._demands.get(route, Demand())

    def learn_program(
        self,
        route: str,
        turns: int,
        seconds: float,
        delay: float,
        time_limit: float,
    ) -> None:
        """Learn from a program that has ended.

        ``delay`` of its ``seconds`` was spent waiting.
        """
        if turns < 1 or seconds <= 0 or time_limit <= 0:
            return
        demand = self.get(route)
        rate = max(LEARNING_RATE, 1 / (demand.programs + 1))
        idle = max(0.0, seconds - delay)
        self._demands[route] = demand._replace(
            turns=_approach(demand.turns, turns, rate),
            seconds=_approach(demand.seconds, idle, rate),
            idle_ratio=_approach(
                demand.idle_ratio, min(1.0, idle / time_limit), rate
            ),
            programs=demand.programs + 1,
        )

    def learn_turn(self, route: str, seconds: float) -> None:
        """Learn how long a turn was at its target."""
        demand = self.get(route)
        self._demands[route] = demand._replace(
            turn_seconds=_approach(demand.turn_seconds, seconds, LEARNING_RATE)
        )


def estimate_seconds(
    demand: Demand, program: NewProgram, queue: float
) -> float:
    """Return how long a program would take.

    If there is one request per slot in the queue before it, a turn waits as
    long as another one holds a slot.
    """
    idle = demand.seconds
    if program.time_left is not None and demand.programs:
        # Programs of a route differ in length, as do their time limits.
        idle = demand.idle_ratio * (program.time_left + program.waited)
    return idle + demand.slot_seconds * queue


def can_end(demand: Demand, program: NewProgram, expected: float) -> bool:
    """Return whether a program can end in time, as far as that is known."""
    if program.time_left is None or demand.programs < MIN_LEARNED_PROGRAMS:
        return True
    return expected + END_MARGIN_SECONDS <= program.time_left


def _approach(value: float, observed: float, rate: float) -> float:
    return value + rate * (observed - value)
