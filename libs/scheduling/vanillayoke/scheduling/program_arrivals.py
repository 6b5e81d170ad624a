"""New programs of a service that arrive at one instance, by urgency."""

import math

from vanillayoke.scheduling import program_demand
from vanillayoke.scheduling import service_capacity
from vanillayoke.scheduling import zone_loads

# Requests per slot that are aimed at while programs are refused. Slightly more
# than one, so that no slot is idle while others have a queue.
TARGET_UTILISATION = 1.1
# For the most urgent programs, whose requests do not wait behind others.
URGENT_TARGET_UTILISATION = 1.3
# Averaging period of the shares of priorities. A priority without programs
# for longer has no claim on the capacity.
KIND_SECONDS = 5.0
MAX_KIND_AGE_SECONDS = 10.0
# How much a waiting request delays a more urgent one, relative to others.
LESS_URGENT_WEIGHT = 0.5
# At least this share of the slots serves the less urgent programs.
MIN_LEFT_RATIO = 0.25
# Weight of a program in the mean duration of programs.
MEAN_SECONDS_RATE = 0.05
# Share of the admissions that is kept for programs that return.
RETURN_RATIO = 0.1
# Programs that return in excess of that are not offset by new ones.
MAX_OWED_ADMISSIONS = 4
# An instance lets a program return at least this often, per second.
MIN_RETURN_RATE = 0.05
MIN_RETRY_SECONDS = 0.1


class _Kind:
    """Arrivals of programs of one priority at this instance."""

    def __init__(self, now: float, random_number: float) -> None:
        self.last_at = now
        self.rate = 0.0
        # What is left of the share after the last program. Instances start at
        # different values, so that not all refuse their first program.
        self.rest = random_number
        # Admissions that returning programs have taken from new ones.
        self.owed = 0

    def add(self, now: float, weight: float) -> None:
        """Count a program that occupies ``weight`` slots."""
        self.rate = self.get_rate(now) + weight / KIND_SECONDS
        self.last_at = now

    def get_rate(self, now: float) -> float:
        """Return the slots per second, 0 if there were none recently."""
        elapsed = now - self.last_at
        if elapsed > MAX_KIND_AGE_SECONDS:
            return 0.0
        return self.rate * math.exp(-elapsed / KIND_SECONDS)


class ServiceArrivals:
    """The programs of one service that arrive at this instance."""

    def __init__(self) -> None:
        self.capacity = service_capacity.ServiceCapacity()
        self.mean_seconds = program_demand.INITIAL_PROGRAM_SECONDS
        self._kinds: dict[int, _Kind] = {}
        self._level_shares: dict[int, float] = {}
        # The last time that was reserved for a program that returns.
        self._last_return_at = -math.inf
        # Programs per second that arrive.
        self._rate = 0.0
        self._last_at = -math.inf

    def update(
        self, loads: dict[str, zone_loads.ZoneLoad], now: float
    ) -> None:
        """Update the capacity, and the share of each kind of program.

        More urgent programs take their part of the capacity first.
        """
        self.capacity.update(loads, self.mean_seconds, now)
        rates = {
            level: rate
            for level, kind in sorted(self._kinds.items())
            if (rate := kind.get_rate(now))
        }
        total = sum(rates.values())
        admitted = 0.0
        self._level_shares = {}
        for number, (level, rate) in enumerate(rates.items()):
            target = TARGET_UTILISATION
            if not number and len(rates) > 1:
                target = URGENT_TARGET_UTILISATION
            share = self.capacity.get_share(target)
            # Rounding must not leave a share slightly below 1, at which
            # returning programs are refused.
            if share < 1.0:
                left = share * total - admitted
                share = min(1.0, max(service_capacity.MIN_SHARE, left / rate))
            self._level_shares[level] = share
            admitted += share * rate
        if total:
            share = admitted / total
        else:
            share = self.capacity.get_share(TARGET_UTILISATION)
        self.capacity.record_share(share, now)

    def record_arrival(
        self,
        program: program_demand.NewProgram,
        demand: program_demand.Demand,
        count: float,
        now: float,
        random_number: float,
    ) -> None:
        """Count a program that arrives."""
        level = _get_level(program)
        kind = self._kinds.get(level)
        if kind is None:
            kind = self._kinds[level] = _Kind(now, random_number)
        seconds = max(0.05, demand.seconds)
        kind.add(now, count * demand.slot_seconds / seconds)
        weight = MEAN_SECONDS_RATE * count
        self.mean_seconds += weight * (seconds - self.mean_seconds)
        decay = math.exp((self._last_at - now) / KIND_SECONDS)
        self._rate = self._rate * decay + count / KIND_SECONDS
        self._last_at = now

    def list_rates(self, now: float) -> list[float]:
        """Return the slots per second of arriving programs, by urgency."""
        return [self._kinds[key].get_rate(now) for key in sorted(self._kinds)]

    def get_share(self, program: program_demand.NewProgram) -> float:
        """Return the share of programs of this priority to admit."""
        return self._level_shares.get(_get_level(program), self.capacity.share)

    def estimate_queue(
        self, program: program_demand.NewProgram, now: float
    ) -> float:
        """Return how many requests per slot a request would wait behind.

        Less urgent ones come after it, unless they have begun. More urgent
        ones that arrive later go before it.
        """
        level = _get_level(program)
        before = after = total = 0.0
        for other, kind in self._kinds.items():
            share = self._level_shares.get(other, self.capacity.share)
            rate = share * kind.get_rate(now)
            total += rate
            if other < level:
                before += rate
            elif other > level:
                after += rate
        if not total:
            return max(0.0, self.capacity.utilisation - 1.0)
        ahead = 1 - after / total * (1 - LESS_URGENT_WEIGHT)
        queue = max(0.0, self.capacity.utilisation * ahead - 1.0)
        return queue / max(MIN_LEFT_RATIO, 1 - before / total)

    def take(self, program: program_demand.NewProgram, share: float) -> bool:
        """Return whether the next program is within the share."""
        kind = self._kinds.get(_get_level(program))
        if kind is None:
            # The program was refused at another instance, and none of its kind
            # has arrived at this one yet.
            return share >= 1.0
        kind.rest += share
        if kind.rest < 1.0:
            return False
        kind.rest -= 1.0
        if share >= 1.0:
            # There is capacity for both.
            kind.owed = 0
        if kind.owed:
            # A returning program was admitted in place of this one.
            kind.owed -= 1
            return False
        return True

    def reserve_return(self, now: float, longest: float) -> float | None:
        """Reserve the next time for a program to return.

        Return in how many seconds, ``None`` if it would be too long.
        """
        rate = RETURN_RATIO * self.capacity.share * self._rate
        interval = 1 / max(MIN_RETURN_RATE, rate)
        due = max(now + MIN_RETRY_SECONDS, self._last_return_at + interval)
        if due - now > longest:
            return None
        self._last_return_at = due
        return due - now

    def record_return(self, program: program_demand.NewProgram) -> None:
        """Record that a returning program was admitted."""
        kind = self._kinds.get(_get_level(program))
        if kind is None:
            # Its kind has not arrived at this instance yet.
            return
        kind.owed = min(kind.owed + 1, MAX_OWED_ADMISSIONS)


def _get_level(program: program_demand.NewProgram) -> int:
    """Return the order of a program among others, 0 first.

    A hot organisation's programs come after all others of their priority.
    """
    return 2 * program.priority + program.is_hot
