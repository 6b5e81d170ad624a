"""What programs send and how long they run, by route."""

INITIAL_REQUESTS_PER_PROGRAM = 4.0
INITIAL_PROGRAM_SECONDS = 1.5
LEARNING_RATE = 0.1


class ProgramStatistics:
    """Average numbers of requests and durations of programs, by route."""

    def __init__(self) -> None:
        self._averages: dict[str, tuple[float, float]] = {}

    def get(self, route: str) -> tuple[float, float]:
        """Return a program's average number of requests and its seconds."""
        return self._averages.get(
            route, (INITIAL_REQUESTS_PER_PROGRAM, INITIAL_PROGRAM_SECONDS)
        )

    def learn(self, route: str, requests: float, seconds: float) -> None:
        """Update the averages with a program that has ended."""
        average_requests, average_seconds = self.get(route)
        self._averages[route] = (
            average_requests + LEARNING_RATE * (requests - average_requests),
            average_seconds + LEARNING_RATE * (seconds - average_seconds),
        )
