"""Programs that were refused, and when they will be admitted."""

import collections
import typing

# A program that returns so much too early is not sent away again.
RETURN_TOLERANCE_SECONDS = 0.05
MAX_REFUSED_PROGRAMS = 2000
REFUSAL_RETENTION_SECONDS = 10.0


class Return(typing.NamedTuple):
    """A program that was refused before.

    ``waited`` is the time since it was first refused. It is admitted in
    ``wait`` seconds, 0 for now; ``None`` if that was not promised.
    """

    waited: float
    wait: float | None


class _RefusedProgram(typing.NamedTuple):
    refused_at: float
    due: float | None


class RefusedPrograms:
    """Programs that were refused, at their coordinator."""

    def __init__(self) -> None:
        self._programs: collections.OrderedDict[str, _RefusedProgram] = (
            collections.OrderedDict()
        )

    def add(self, program: str, due: float | None, now: float) -> None:
        """Record a refusal; ``due`` is when the program will be admitted."""
        self._prune(now)
        known = self._programs.get(program)
        refused_at = now if known is None else known.refused_at
        self._programs[program] = _RefusedProgram(refused_at, due)
        if len(self._programs) > MAX_REFUSED_PROGRAMS:
            self._programs.popitem(last=False)

    def find(self, program: str, now: float) -> Return | None:
        """Return what is known of a program, ``None`` if it is new."""
        known = self._programs.get(program)
        if known is None or now - known.refused_at > REFUSAL_RETENTION_SECONDS:
            return None
        wait = None
        if known.due is not None:
            wait = known.due - now
            if wait <= RETURN_TOLERANCE_SECONDS:
                wait = 0.0
        return Return(now - known.refused_at, wait)

    def _prune(self, now: float) -> None:
        while self._programs:
            oldest = next(iter(self._programs.values()))
            if now - oldest.refused_at < REFUSAL_RETENTION_SECONDS:
                return
            self._programs.popitem(last=False)
