"""Per-program state at its coordinator: time lost and recent targets."""

import collections

from vanillayoke.scheduling import program_slack

# Programs idle for longer are regarded as ended.
IDLE_SECONDS = 3.0
# How long the state of an idle program is kept, in case it continues.
RETENTION_SECONDS = 120.0


class ProgramTracker:
    """Tracks the programs that this instance coordinates."""

    def __init__(self) -> None:
        self._clocks: collections.OrderedDict[
            str, program_slack.DelayTracker
        ] = collections.OrderedDict()
        self._routes: dict[str, str] = {}
        # The target of the last turn by program and session; the session ''
        # stands for the program's last turn in any session.
        self._targets: dict[str, dict[str, str]] = {}
        self._shares: dict[str, program_slack.IdleTimeRatio] = {}

    def start_turn(
        self,
        program: str,
        session: str,
        route: str,
        time_left: float,
        now: float,
    ) -> program_slack.Slack:
        """Record the start of a turn; return the slack of its session."""
        clock = self._clocks.get(program)
        if clock is None:
            clock = program_slack.DelayTracker(session, now, time_left)
            self._clocks[program] = clock
            self._routes[program] = route
        clock.start_turn(session, now, time_left)
        self._clocks.move_to_end(program)
        return clock.estimate_slack(
            session, now, self._find_share(route).value
        )

    def record_delay(
        self, program: str, session: str, seconds: float, now: float
    ) -> None:
        """Record the time that a turn lost to waiting."""
        clock = self._clocks.get(program)
        if clock is not None:
            clock.record_delay(session, seconds, now)

    def record_target(self, program: str, session: str, target: str) -> None:
        """Record the target at which a turn was completed."""
        if program in self._clocks:
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
        for program, clock in list(self._clocks.items()):
            idle = now - clock.last_active_at
            if idle < IDLE_SECONDS:
                return
            route = self._routes.pop(program, None)
            if route is not None:
                self._find_share(route).learn(clock)
            if idle >= RETENTION_SECONDS:
                del self._clocks[program]
                self._targets.pop(program, None)

    def _find_share(self, route: str) -> program_slack.IdleTimeRatio:
        share = self._shares.get(route)
        if share is None:
            share = self._shares[route] = program_slack.IdleTimeRatio()
        return share
