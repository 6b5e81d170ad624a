"""State of each program at its coordinator: delays and recent targets."""

import collections
import typing

from vanillayoke.scheduling import program_slack

# Programs idle for longer are regarded as ended.
IDLE_SECONDS = 3.0
# How long the state of an idle program is kept, in case it continues.
RETENTION_SECONDS = 120.0


class EndedProgram(typing.NamedTuple):
    """A program that has ended; ``delay`` of its ``seconds`` was waiting."""

    route: str
    turns: int
    seconds: float
    delay: float
    time_limit: float


class ProgramTracker:
    """Tracks the programs that this instance coordinates.

    ``on_ended`` is called for each program that has ended.
    """

    def __init__(self) -> None:
        self.on_ended: typing.Callable[[EndedProgram], None] | None = None
        self._turn_counts: collections.Counter[str] = collections.Counter()
        self._trackers: collections.OrderedDict[
            str, program_slack.DelayTracker
        ] = collections.OrderedDict()
        self._routes: dict[str, str] = {}
        # The target of the last turn by program and session; the session ''
        # stands for the program's last turn in any session.
        self._targets: dict[str, dict[str, str]] = {}
        self._idle_ratios: dict[str, program_slack.IdleTimeRatio] = {}

    def __contains__(self, program: str) -> bool:
        return program in self._trackers

    def start_turn(
        self,
        program: str,
        session: str,
        route: str,
        time_left: float,
        now: float,
    ) -> program_slack.Slack:
        """Record the start of a turn; return the slack of its session."""
        tracker = self._trackers.get(program)
        if tracker is None:
            tracker = program_slack.DelayTracker(session, now, time_left)
            self._trackers[program] = tracker
            self._routes[program] = route
        tracker.start_turn(session, now, time_left)
        self._turn_counts[program] += 1
        self._trackers.move_to_end(program)
        return tracker.estimate_slack(
            session, now, self._get_idle_ratio(route).value
        )

    def record_delay(
        self, program: str, session: str, seconds: float, now: float
    ) -> None:
        """Record the time that a turn lost to waiting."""
        tracker = self._trackers.get(program)
        if tracker is not None:
            tracker.record_delay(session, seconds, now)

    def record_target(self, program: str, session: str, target: str) -> None:
        """Record the target at which a turn was completed."""
        if program in self._trackers:
            targets = self._targets.setdefault(program, {})
            targets[session] = targets[''] = target

    def find_target(self, program: str, session: str) -> str | None:
        """Return the target that caches most of a session's prompt.

        A new session begins with the prompt of the one that started it.
        """
        targets = self._targets.get(program, {})
        return targets.get(session) or targets.get('')

    def prune(self, now: float) -> None:
        """Learn from the programs that have ended, and drop old ones."""
        for program, tracker in list(self._trackers.items()):
            idle = now - tracker.last_active_at
            if idle < IDLE_SECONDS:
                return
            route = self._routes.pop(program, None)
            if route is not None:
                self._get_idle_ratio(route).learn(tracker)
                self._report(program, route, tracker)
            if idle >= RETENTION_SECONDS:
                del self._trackers[program]
                self._turn_counts.pop(program, None)
                self._targets.pop(program, None)

    def _report(
        self, program: str, route: str, tracker: program_slack.DelayTracker
    ) -> None:
        turns = self._turn_counts.pop(program, 0)
        if self.on_ended is not None:
            self.on_ended(
                EndedProgram(
                    route,
                    turns,
                    tracker.last_active_at - tracker.started_at,
                    tracker.delay,
                    tracker.time_limit,
                )
            )

    def _get_idle_ratio(self, route: str) -> program_slack.IdleTimeRatio:
        ratio = self._idle_ratios.get(route)
        if ratio is None:
            ratio = self._idle_ratios[route] = program_slack.IdleTimeRatio()
        return ratio
