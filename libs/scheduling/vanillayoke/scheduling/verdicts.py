"""What all instances together find out about sick targets.

One of many instances sends a target only a few requests a second, so each
alone would find out late that it fails them, and try it again and again when
it does. Instead, each reports what failed, and a target counts as sick for
all once a few agree. Trials are spread over the instances: together they make
a few a second, however many instances there are.

Reports of one sickness form an episode. Episodes of a target are numbered, so
that what is merged in any order comes to the same end without clocks.
"""

import typing

# So many instances have to agree: what one of them sees may come of what lies
# between it and the target.
QUORUM = 3
# Reports that are further apart do not agree: targets lose one answer in
# thirty while they are well. Seconds.
AGREEMENT = 1.5
# Trials of one target by all instances together come this far apart, in
# seconds on average. Each costs a request while the target is sick, and the
# target stands idle for about as long when it is well again.
TRIAL_PAUSE = 0.5
# A sick target counts as well again after so many requests in a row that one
# instance sent it: one that fails every second request must not.
TRIALS_TO_CLEAR = 2


class Verdict(typing.NamedTuple):
    """What is known of a target's newest episode.

    ``reporters`` are the instances that saw it fail, sorted, at most as many
    as have to agree. ``is_over`` says that one saw it work again.
    """

    target: str
    episode: int
    reporters: tuple[str, ...]
    is_over: bool


class _Case:
    def __init__(self, verdict: Verdict, now: float) -> None:
        self.verdict = verdict
        self.heard_at = now
        self.try_at = float('inf')
        self.good_trials = 0


class Verdicts:
    """The verdicts that one instance knows."""

    def __init__(
        self, instance: str, draw: typing.Callable[[], float]
    ) -> None:
        self._instance = instance
        self._draw = draw
        self._cases: dict[str, _Case] = {}

    def report(
        self, target: str, now: float, instances: int
    ) -> Verdict | None:
        """Take that a request failed here; return what others should hear."""
        case = self._cases.get(target)
        if case is None:
            episode = 1
        elif case.verdict.is_over or self._has_lapsed(case, now, instances):
            episode = case.verdict.episode + 1
        else:
            episode = case.verdict.episode
        if case is not None:
            case.good_trials = 0
        verdict = Verdict(target, episode, (self._instance,), False)
        return self.merge(verdict, now, instances)

    def note_good(self, target: str, now: float) -> Verdict | None:
        """Take that a request went well; return what others should hear."""
        case = self._cases.get(target)
        if case is None or case.verdict.is_over:
            return None
        case.good_trials += 1
        if case.good_trials < TRIALS_TO_CLEAR:
            case.try_at = min(case.try_at, now)
            return None
        verdict = case.verdict._replace(is_over=True)
        return self.merge(verdict, now, 1)

    def merge(
        self, verdict: Verdict, now: float, instances: int
    ) -> Verdict | None:
        """Take over what another instance knows.

        Return the verdict that others should hear if anything was new.
        """
        case = self._cases.get(verdict.target)
        merged = _merge(case.verdict if case else None, verdict)
        if case is not None and merged == case.verdict:
            return None
        if case is None or merged.episode > case.verdict.episode:
            case = self._cases[verdict.target] = _Case(merged, now)
        case.verdict = merged
        if self._is_agreed(case, instances) and case.try_at == float('inf'):
            case.try_at = now + self._draw_pause(instances)
        return merged

    def is_sick(self, target: str, instances: int) -> bool:
        """Say whether enough instances saw the target fail."""
        case = self._cases.get(target)
        return case is not None and self._is_agreed(case, instances)

    def may_try(self, target: str, now: float) -> bool:
        """Say whether it is this instance's turn to try a sick target."""
        case = self._cases.get(target)
        return case is None or now >= case.try_at

    def note_trial(self, target: str, now: float, instances: int) -> None:
        """Note that a request goes to a sick target."""
        case = self._cases.get(target)
        if case is not None and self._is_agreed(case, instances):
            case.try_at = now + self._draw_pause(instances)

    def restart(self, target: str) -> None:
        """Take that a target has started again: its sickness is over.

        Every instance hears of the start by itself, so nothing is told. The
        episode stays known, so that the next one gets a higher number.
        """
        case = self._cases.get(target)
        if case is not None:
            case.verdict = case.verdict._replace(is_over=True)

    def forget(self, targets: typing.Container[str]) -> None:
        """Forget the targets that are not among ``targets`` any more."""
        for name in [name for name in self._cases if name not in targets]:
            del self._cases[name]

    def _draw_pause(self, instances: int) -> float:
        return 2 * self._draw() * TRIAL_PAUSE * max(1, instances)

    def _has_lapsed(self, case: _Case, now: float, instances: int) -> bool:
        is_old = now - case.heard_at > AGREEMENT
        return is_old and not self._is_agreed(case, instances)

    def _is_agreed(self, case: _Case, instances: int) -> bool:
        needed = min(QUORUM, max(2, instances // 2))
        verdict = case.verdict
        return not verdict.is_over and len(verdict.reporters) >= needed


def _merge(known: Verdict | None, new: Verdict) -> Verdict:
    if known is None or new.episode > known.episode:
        return new
    if new.episode < known.episode:
        return known
    reporters = sorted({*known.reporters, *new.reporters})[:QUORUM]
    return known._replace(
        reporters=tuple(reporters), is_over=known.is_over or new.is_over
    )
