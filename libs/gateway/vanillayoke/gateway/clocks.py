"""What each program's home keeps of it: time lost, and where it ran last."""

import collections

from vanillayoke.scheduling import program_slack

# A program without a turn for so long has ended, as far as anybody can tell.
# Seconds.
QUIET = 3.0
# Late programs may pause long; their clocks are kept this long. Seconds.
KEPT = 120.0


class Clocks:
    """The clocks of the programs whose home this instance is."""

    def __init__(self) -> None:
        self._clocks: collections.OrderedDict[
            str, program_slack.DelayTracker
        ] = collections.OrderedDict()
        self._routes: dict[str, str] = {}
        # The targets that the last turns ran at, by program and session; that
        # of the program's last turn stands under the session ''.
        self._targets: dict[str, dict[str, str]] = {}
        self._shares: dict[str, program_slack.IdleTimeRatio] = {}

    def arrive(
        self,
        program: str,
        session: str,
        route: str,
        time_left: float,
        now: float,
    ) -> program_slack.Slack:
        """Note a turn and return what is left to its line."""
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

    def lose(
        self, program: str, session: str, seconds: float, now: float
    ) -> None:
        """Note what a turn lost to waiting."""
        clock = self._clocks.get(program)
        if clock is not None:
            clock.record_delay(session, seconds, now)

    def place(self, program: str, session: str, target: str) -> None:
        """Note where a turn has ended whole."""
        if program in self._clocks:
            known = self._targets.setdefault(program, {})
            known[session] = known[''] = target

    def find_target(self, program: str, session: str) -> str | None:
        """Return the target that has most of a line's prompt.

        A new line begins with the prompt of the one that started it.
        """
        known = self._targets.get(program, {})
        return known.get(session) or known.get('')

    def prune(self, now: float) -> None:
        """Learn from the programs that have ended and forget them."""
        for program, clock in list(self._clocks.items()):
            quiet = now - clock.last_active_at
            if quiet < QUIET:
                return
            route = self._routes.pop(program, None)
            if route is not None:
                self._find_share(route).learn(clock)
            if quiet >= KEPT:
                del self._clocks[program]
                self._targets.pop(program, None)

    def _find_share(self, route: str) -> program_slack.IdleTimeRatio:
        share = self._shares.get(route)
        if share is None:
            share = self._shares[route] = program_slack.IdleTimeRatio()
        return share
