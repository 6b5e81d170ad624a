"""The share of new programs that the targets of a service can take."""

import collections
import math
import typing

from vanillayoke.scheduling import zone_loads

# Programs are refused from the first utilisation on, until it has fallen below
# the second one.
MIN_REFUSAL_UTILISATION = 0.95
END_OF_REFUSAL_UTILISATION = 0.7
# The time in which the load is brought to its target. It is longer than that
# of a program, as a shorter one makes the load oscillate.
CONTROL_SECONDS = 2.0
# Averaging period of the rate of arrival.
RATE_SECONDS = 2.0
# Avoids a division by zero while no programs arrive.
MIN_RATE = 0.001
# Loads that are measured within this time are not compared with each other:
# they differ mostly by chance.
MIN_SAMPLE_SECONDS = 0.4
# Programs are always admitted at this share of their rate, so that the rate of
# admission can be estimated and no kind is starved.
MIN_SHARE = 0.05
# Bounds of the history of shares.
HISTORY_SECONDS = 3.0
HISTORY_STEP_SECONDS = 0.05
INTEGRATION_STEP_SECONDS = 0.1
MAX_UTILISATION = 4.0


class _Sample(typing.NamedTuple):
    """The load of all zones at one time."""

    measured_at: float
    slots: int
    requests: float

    @property
    def utilisation(self) -> float:
        return min(MAX_UTILISATION, self.requests / self.slots)


class ServiceCapacity:
    """Computes the share of programs that a service can take.

    The result depends on the loads of the zones only, so that all instances
    get about the same one.
    """

    def __init__(self) -> None:
        self._sample: _Sample | None = None
        # The last load that was compared with an earlier one.
        self._compared: _Sample | None = None
        # Averages of the slots per second, in units of all slots, that
        # admitted programs began to occupy, and of the share admitted.
        self._admitted_rate = 0.0
        self._admitted_share = 0.0
        # Times from which shares applied, and the shares.
        self._shares: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # Slots per second that programs leave, and those that arriving ones
        # would occupy, at the last update.
        self._allowed = 0.0
        self._arriving = 0.0
        self.is_refusing = False
        self.share = 1.0
        self.utilisation = 0.0
        self.load_age = 0.0

    def update(
        self,
        loads: dict[str, zone_loads.ZoneLoad],
        program_seconds: float,
        now: float,
    ) -> None:
        """Update the share from the loads of the zones.

        ``program_seconds`` is the mean duration of programs. Without loads
        all programs are admitted.
        """
        sample = _sum_loads(loads)
        if sample is None or now - sample.measured_at > (
            zone_loads.MAX_AGE_SECONDS
        ):
            self._forget(now)
            return
        self._learn_arrivals(sample, program_seconds)
        self._sample = sample
        self.load_age = now - sample.measured_at
        self.utilisation = self._predict(program_seconds, now)
        self._update_mode()
        self._allowed = _compute_end_rate(self.utilisation, program_seconds)
        self._arriving = self._get_arrival_rate()
        if self._arriving is None:
            # The first load: all that is known is the excess.
            self._arriving = self.utilisation / program_seconds

    def get_share(self, target: float) -> float:
        """Return the share of all programs that leads to a utilisation."""
        if not self.is_refusing:
            return 1.0
        allowed = self._allowed + (target - self.utilisation) / CONTROL_SECONDS
        if allowed <= MIN_SHARE * self._arriving:
            return MIN_SHARE
        return min(1.0, allowed / max(self._arriving, MIN_RATE))

    def _forget(self, now: float) -> None:
        self._sample = self._compared = None
        self._admitted_rate = self._admitted_share = 0.0
        self.is_refusing = False
        self.utilisation = 0.0
        self.load_age = math.inf
        self.record_share(1.0, now)

    def _get_arrival_rate(self) -> float | None:
        """Return the slots per second that arriving programs would occupy.

        It is in units of all present slots. Return ``None`` if there is only
        one load so far.
        """
        if not self._admitted_share:
            return None
        rate = self._admitted_rate / self._admitted_share
        return rate * self._compared.slots / self._sample.slots

    def _learn_arrivals(self, sample: _Sample, program_seconds: float) -> None:
        previous = self._compared
        if previous is None:
            self._compared = sample
            return
        elapsed = sample.measured_at - previous.measured_at
        if elapsed < MIN_SAMPLE_SECONDS:
            return
        self._compared = sample
        # Compared at the present number of slots: targets may have failed.
        self._admitted_rate *= previous.slots / sample.slots
        before = min(MAX_UTILISATION, previous.requests / sample.slots)
        after = sample.utilisation
        ended = _compute_end_rate((before + after) / 2, program_seconds)
        rate = max(0.0, (after - before) / elapsed + ended)
        share = self._average_share(previous.measured_at, sample.measured_at)
        weight = 1 - math.exp(-elapsed / RATE_SECONDS)
        if not self._admitted_share:
            weight = 1.0
        self._admitted_rate += weight * (rate - self._admitted_rate)
        self._admitted_share += weight * (share - self._admitted_share)

    def _predict(self, program_seconds: float, now: float) -> float:
        """Return the utilisation now, after what was admitted since."""
        utilisation = self._sample.utilisation
        rate = self._get_arrival_rate()
        if rate is None:
            return utilisation
        at = self._sample.measured_at
        while at < now:
            step = min(INTEGRATION_STEP_SECONDS, now - at)
            admitted = rate * self._average_share(at, at + step)
            ended = _compute_end_rate(utilisation, program_seconds)
            utilisation += step * (admitted - ended)
            at += step
        return min(MAX_UTILISATION, max(0.0, utilisation))

    def _update_mode(self) -> None:
        bound = MIN_REFUSAL_UTILISATION
        if self.is_refusing:
            bound = END_OF_REFUSAL_UTILISATION
        self.is_refusing = self.utilisation > bound

    def record_share(self, share: float, now: float) -> None:
        """Record the share of all programs that is admitted from now on."""
        self.share = share
        if not self._shares:
            self._shares.append((now, share))
        elif now - self._shares[-1][0] < HISTORY_STEP_SECONDS:
            self._shares[-1] = (self._shares[-1][0], share)
        elif self._shares[-1][1] != share:
            self._shares.append((now, share))
        while len(self._shares) > 1 and (
            self._shares[1][0] < now - HISTORY_SECONDS
        ):
            self._shares.popleft()

    def _average_share(self, start: float, end: float) -> float:
        """Return the average share that applied from start to end."""
        total, until = 0.0, end
        for at, share in reversed(self._shares):
            since = max(start, at)
            if since < until:
                total += share * (until - since)
                until = since
            if at <= start:
                break
        # Before the oldest entry all programs were admitted.
        total += max(0.0, until - start)
        return total / (end - start)


def _compute_end_rate(utilisation: float, program_seconds: float) -> float:
    """Return the slots per second that programs that end leave.

    It is in units of all slots; requests that wait for a slot do not progress.
    """
    return min(1.0, utilisation) / program_seconds


def _sum_loads(loads: dict[str, zone_loads.ZoneLoad]) -> _Sample | None:
    slots = sum(load.slots for load in loads.values())
    if not slots:
        return None
    return _Sample(
        sum(load.slots * load.measured_at for load in loads.values()) / slots,
        slots,
        sum(load.running + load.waiting for load in loads.values()),
    )
