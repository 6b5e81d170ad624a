"""Releases of engine memory, repeated until the engine confirms them."""

from vanillayoke.scheduling import calls

RETRY_INTERVAL = 1.0
"""Seconds between two releases of the same memory."""


class ReleaseBook:
    """Which targets may hold memory of a program, and what is to be freed.

    Engine memory is lost for good when the one release of a program that
    ended is lost on its way: nobody asks for that program again. So a
    release stays here, and is given again, until the target confirms it.
    """

    def __init__(self) -> None:
        self._held: dict[str, set[str]] = {}
        self._due: dict[tuple[str, str], float] = {}
        self._asked: dict[tuple[str, str], float] = {}

    def hold(self, target: str, program: str) -> None:
        """Note that a target may hold memory of a program."""
        self._held.setdefault(program, set()).add(target)
        self._due.pop((target, program), None)
        self._asked.pop((target, program), None)

    def list_holders(self, program: str) -> frozenset[str]:
        """Return the targets that may hold memory of a program."""
        return frozenset(self._held.get(program, ()))

    def release(self, target: str, program: str, now: float) -> None:
        """Ask for a program's memory on a target to be freed."""
        self._due.setdefault((target, program), now)
        self._asked.setdefault((target, program), now)

    def release_all(self, program: str, now: float) -> None:
        """Ask for all of a program's memory to be freed."""
        for target in self._held.get(program, ()):
            self.release(target, program, now)

    def confirm(self, target: str, program: str) -> None:
        """Note that a target holds no memory of a program any more."""
        self._due.pop((target, program), None)
        self._asked.pop((target, program), None)
        holders = self._held.get(program)
        if holders is None:
            return
        holders.discard(target)
        if not holders:
            del self._held[program]

    def list_due_programs(self, target: str, before: float) -> list[str]:
        """Return the programs whose release was asked for before a time."""
        return [
            program
            for (holder, program), asked in self._asked.items()
            if holder == target and asked < before
        ]

    def drop_target(self, target: str) -> None:
        """Forget a target that is no longer configured."""
        for program in [p for p, held in self._held.items() if target in held]:
            self.confirm(target, program)

    def list_due(self, now: float) -> list[calls.CacheRelease]:
        """Return the releases to give now; each comes back until confirmed."""
        due = [key for key, at in self._due.items() if at <= now]
        for key in due:
            self._due[key] = now + RETRY_INTERVAL
        return [calls.CacheRelease(target, prog) for target, prog in due]

    def next_wake(self) -> float | None:
        """Return when the next release is due."""
        return min(self._due.values(), default=None)
