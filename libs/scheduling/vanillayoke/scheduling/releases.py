"""Releases of engine memory, which are repeated until confirmed."""

from vanillayoke.scheduling import calls

RETRY_INTERVAL_SECONDS = 1.0


class PendingReleases:
    """Tracks which targets may hold memory of a program and release it.

    If the release of an ended program were lost, its memory would leak, since
    no later request refers to the program. A release is therefore repeated
    until the target confirms it.
    """

    def __init__(self) -> None:
        self._held: dict[str, set[str]] = {}
        self._due: dict[tuple[str, str], float] = {}
        self._requested: dict[tuple[str, str], float] = {}

    def hold(self, target: str, program: str) -> None:
        """Record that a target may hold memory of a program."""
        self._held.setdefault(program, set()).add(target)
        self._due.pop((target, program), None)
        self._requested.pop((target, program), None)

    def list_holders(self, program: str) -> frozenset[str]:
        """Return the targets that may hold memory of a program."""
        return frozenset(self._held.get(program, ()))

    def release(self, target: str, program: str, now: float) -> None:
        """Request the release of a program's memory on a target."""
        self._due.setdefault((target, program), now)
        self._requested.setdefault((target, program), now)

    def release_all(self, program: str, now: float) -> None:
        """Request the release of a program's memory on all targets."""
        for target in self._held.get(program, ()):
            self.release(target, program, now)

    def confirm(self, target: str, program: str) -> None:
        """Record that a target no longer holds memory of a program."""
        self._due.pop((target, program), None)
        self._requested.pop((target, program), None)
        holders = self._held.get(program)
        if holders is None:
            return
        holders.discard(target)
        if not holders:
            del self._held[program]

    def list_due_programs(self, target: str, before: float) -> list[str]:
        """Return the programs whose release was requested before a time."""
        return [
            program
            for (holder, program), requested_at in self._requested.items()
            if holder == target and requested_at < before
        ]

    def drop_target(self, target: str) -> None:
        """Discard a target that is no longer configured."""
        for program in [p for p, held in self._held.items() if target in held]:
            self.confirm(target, program)

    def list_due(self, now: float) -> list[calls.CacheRelease]:
        """Return the releases to send now; unconfirmed ones are repeated."""
        due = [key for key, at in self._due.items() if at <= now]
        for key in due:
            self._due[key] = now + RETRY_INTERVAL_SECONDS
        return [calls.CacheRelease(target, program) for target, program in due]

    def next_wake(self) -> float | None:
        """Return when the next release is due."""
        return min(self._due.values(), default=None)
