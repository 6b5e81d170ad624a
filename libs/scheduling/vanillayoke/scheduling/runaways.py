"""Programs that loop without end are found and stopped."""

from vanillayoke.core import failures

_WINDOW = 4


class RunawayDetector:
    """Counts steps that a program repeats without any change.

    A looping program asks for the same tool with the same arguments, or
    goes round a small circle of them, for ever; its budget would stop it
    only after all of it is spent. A step is told from others by a
    fingerprint of its call and its answer: while answers differ, polling is
    no loop.
    """

    def __init__(self, repeated_steps: int) -> None:
        self._limit = repeated_steps
        self._recent: dict[str, list[int]] = {}
        self._repeats: dict[str, int] = {}

    def observe(
        self, program: str, fingerprint: int
    ) -> failures.Failure | None:
        """Take in a program's step; return why it must stop, if so."""
        recent = self._recent.setdefault(program, [])
        repeats = 0
        if fingerprint in recent:
            repeats = self._repeats.get(program, 0) + 1
            recent.remove(fingerprint)
        self._repeats[program] = repeats
        recent.append(fingerprint)
        del recent[:-_WINDOW]
        if repeats < self._limit:
            return None
        return failures.Failure(
            failures.Kind.PROGRAM_STOPPED,
            f'{repeats} steps in a row repeated earlier ones',
        )

    def forget(self, program: str) -> None:
        """Keep nothing of an ended program."""
        self._recent.pop(program, None)
        self._repeats.pop(program, None)
