"""Target health on which the instances agree by gossip.

Each of many instances sends a target few requests and would detect a failure
late. Instances therefore report failed requests to each other, and a target
is unhealthy for all of them once a quorum has reported it. Probes of an
unhealthy target are spread over the instances, so that their total rate does
not depend on the number of instances.

Failure reports that belong together form an episode. Episodes of a target are
numbered, which makes the merge of states independent of their order and of
clocks.
"""

import typing

from vanillayoke.core import figures

# More than one instance has to report a failure, since its cause may be the
# network between one instance and the target.
QUORUM = 3
# Reports have to reach the quorum within this time: healthy targets also fail
# single requests.
QUORUM_WINDOW_SECONDS = 1.5
# On average, over all instances together. Each probe costs a request while the
# target is unhealthy, and a recovered target is idle for about this time.
PROBE_INTERVAL_SECONDS = 0.5
# Consecutive successful requests of one instance that end an episode. A target
# that fails every second request must not count as healthy.
MIN_SUCCESSFUL_PROBES = 2


class HealthState(typing.NamedTuple):
    """The state of a target's newest episode.

    ``reporters`` are the instances that saw requests fail, sorted, at most
    ``QUORUM``. ``is_over`` means that an instance found the target healthy
    again.
    """

    target: str
    episode: figures.Ordinal
    reporters: tuple[str, ...]
    is_over: bool


class _Record:
    def __init__(self, state: HealthState, now: float) -> None:
        self.state = state
        self.received_at = now
        self.probe_at = float('inf')
        self.successful_probes = 0


class SharedHealth:
    """One instance's copy of the health states of all targets."""

    def __init__(
        self, instance: str, random_float: typing.Callable[[], float]
    ) -> None:
        self._instance = instance
        self._random_float = random_float
        self._records: dict[str, _Record] = {}

    def report_failure(
        self, target: str, now: float, instances: int
    ) -> HealthState | None:
        """Record a failed request; return the state to gossip, if any."""
        record = self._records.get(target)
        if record is None:
            episode = 1
        elif record.state.is_over or self._has_expired(record, now, instances):
            episode = record.state.episode + 1
        else:
            episode = record.state.episode
        if record is not None:
            record.successful_probes = 0
        state = HealthState(target, episode, (self._instance,), False)
        return self.merge(state, now, instances)

    def record_success(self, target: str, now: float) -> HealthState | None:
        """Record a successful request; return the state to gossip, if any."""
        record = self._records.get(target)
        if record is None or record.state.is_over:
            return None
        record.successful_probes += 1
        if record.successful_probes < MIN_SUCCESSFUL_PROBES:
            record.probe_at = min(record.probe_at, now)
            return None
        state = record.state._replace(is_over=True)
        return self.merge(state, now, 1)

    def merge(
        self, state: HealthState, now: float, instances: int
    ) -> HealthState | None:
        """Merge a state received from another instance.

        Return the merged state, to be gossiped further, or ``None`` if the
        received one contained nothing new.
        """
        record = self._records.get(state.target)
        merged = _merge(record.state if record else None, state)
        if record is not None and merged == record.state:
            return None
        if record is None or merged.episode > record.state.episode:
            record = self._records[state.target] = _Record(merged, now)
        record.state = merged
        if self._has_quorum(record, instances) and record.probe_at == float(
            'inf'
        ):
            record.probe_at = now + self._draw_probe_delay(instances)
        return merged

    def is_unhealthy(self, target: str, instances: int) -> bool:
        """Return whether a quorum of instances saw the target fail."""
        record = self._records.get(target)
        return record is not None and self._has_quorum(record, instances)

    def may_probe(self, target: str, now: float) -> bool:
        """Return whether this instance may probe an unhealthy target now."""
        record = self._records.get(target)
        return record is None or now >= record.probe_at

    def record_probe(self, target: str, now: float, instances: int) -> None:
        """Schedule the next probe if the target is unhealthy."""
        record = self._records.get(target)
        if record is not None and self._has_quorum(record, instances):
            record.probe_at = now + self._draw_probe_delay(instances)

    def handle_restart(self, target: str) -> None:
        """End the episode of a target that has restarted.

        Every instance detects the restart by itself, so nothing is gossiped.
        The episode is kept, so that the next one gets a higher number.
        """
        record = self._records.get(target)
        if record is not None:
            record.state = record.state._replace(is_over=True)

    def retain(self, targets: typing.Container[str]) -> None:
        """Discard the states of targets that are not in ``targets``."""
        for name in [name for name in self._records if name not in targets]:
            del self._records[name]

    def _draw_probe_delay(self, instances: int) -> float:
        return (
            2
            * self._random_float()
            * PROBE_INTERVAL_SECONDS
            * max(1, instances)
        )

    def _has_expired(
        self, record: _Record, now: float, instances: int
    ) -> bool:
        is_old = now - record.received_at > QUORUM_WINDOW_SECONDS
        return is_old and not self._has_quorum(record, instances)

    def _has_quorum(self, record: _Record, instances: int) -> bool:
        quorum = min(QUORUM, max(2, instances // 2))
        state = record.state
        return not state.is_over and len(state.reporters) >= quorum


def _merge(known: HealthState | None, new: HealthState) -> HealthState:
    if known is None or new.episode > known.episode:
        return new
    if new.episode < known.episode:
        return known
    reporters = sorted({*known.reporters, *new.reporters})[:QUORUM]
    return known._replace(
        reporters=tuple(reporters), is_over=known.is_over or new.is_over
    )
