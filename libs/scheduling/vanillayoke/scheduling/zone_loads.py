"""Loads of the zones, merged from what their instances report.

The instances that coordinate a zone's targets report to the coordinator of the
zone, which sums their reports. Sums have versions, as datagrams may arrive
twice or in another order, and ages instead of times, as clocks differ between
instances. Both tables here drop what is too old to act upon.
"""

import math
import typing

import msgspec

from vanillayoke.core import figures

# Older loads are not used. Loads change by a tenth of the capacity within a
# second, and the next ones are due after half a second.
MAX_AGE_SECONDS = 2.0
# Bounds of what is accepted from other instances.
MAX_ZONES = 64
MAX_REPORTERS = 4096
MAX_SERVICES = 256
MAX_NAME_LENGTH = 200
MAX_COUNT = 1_000_000
# Successors count on from a version, which is encoded with 64 bits. Starts of
# processes are far below.
MAX_EPOCH = 2**62

# The start of the process that counts, and its counter.
Version = tuple[figures.Ordinal, figures.Ordinal]


class ZoneLoad(typing.NamedTuple):
    """The load of a service's healthy targets in one zone.

    ``capacity`` is the number of slots weighted by the speed of their targets.
    ``measured_at`` is on the clock of the instance that holds this.
    """

    slots: int
    running: float
    waiting: float
    capacity: float
    measured_at: float

    @property
    def utilisation(self) -> float:
        """Running and waiting requests per slot.

        A zone without slots is infinitely utilised.
        """
        if self.slots <= 0:
            return float('inf')
        return (self.running + self.waiting) / self.slots


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of a service's healthy targets, without a time.

    A service whose targets are all unhealthy has no slots.
    """

    service: str
    slots: figures.Count
    running: figures.Amount
    waiting: figures.Amount
    capacity: figures.Amount


class ZoneReport(msgspec.Struct, frozen=True, array_like=True):
    """The loads of all services in a zone, measured ``age_ms`` ago."""

    zone: str
    version: Version
    age_ms: figures.Ordinal
    services: tuple[ServiceLoad, ...]


class _Received(typing.NamedTuple):
    version: Version
    measured_at: float
    services: tuple[ServiceLoad, ...]


class TargetReports:
    """What the coordinator of a zone has received from its instances."""

    def __init__(self) -> None:
        self._reports: dict[str, _Received] = {}

    def put(
        self,
        reporter: str,
        version: Version,
        services: tuple[ServiceLoad, ...],
        now: float,
    ) -> bool:
        """Store an instance's report; return whether it is used."""
        known = self._reports.get(reporter)
        if not _is_acceptable(reporter, version, services):
            return False
        if not _is_newer(version, known, now):
            return False
        if known is None and len(self._reports) >= MAX_REPORTERS:
            return False
        self._reports[reporter] = _Received(version, now, services)
        return True

    def retain(self, reporters: typing.Container[str], now: float) -> None:
        """Drop reports that are old or of other instances than these.

        The targets of an instance that has ended are reported by others, and
        would be counted twice.
        """
        for name, report in list(self._reports.items()):
            age = now - report.measured_at
            if name not in reporters or age > MAX_AGE_SECONDS:
                del self._reports[name]

    def sum(
        self, zone: str, version: Version, now: float
    ) -> ZoneReport | None:
        """Return the sum of the zone, ``None`` if there are no reports.

        Its age is the mean of the reports' ages, weighted by slots.
        """
        if not self._reports:
            return None
        sums: dict[str, ServiceLoad] = {}
        total_age = total_weight = 0.0
        for report in self._reports.values():
            weight = 1 + sum(load.slots for load in report.services)
            total_weight += weight
            total_age += weight * max(0.0, now - report.measured_at)
            for load in report.services:
                sums[load.service] = _add(sums.get(load.service), load)
        age_ms = round(1000 * total_age / total_weight)
        services = tuple(sums[name] for name in sorted(sums))
        return ZoneReport(zone, version, age_ms, services)


class ZoneTable:
    """The newest known load of each zone."""

    def __init__(self) -> None:
        self._zones: dict[str, _Received] = {}

    def merge(self, report: ZoneReport, now: float) -> bool:
        """Store a zone's load if it is newer; return whether it is used.

        A lower version is used once the known load is too old: the clock of
        the coordinator that counts now may be behind its predecessor's.
        """
        if not _is_acceptable(report.zone, report.version, report.services):
            return False
        if not 0 <= report.age_ms <= 1000 * MAX_AGE_SECONDS:
            return False
        known = self._zones.get(report.zone)
        if not _is_newer(report.version, known, now):
            return False
        if known is None and len(self._zones) >= MAX_ZONES:
            return False
        self._zones[report.zone] = _Received(
            report.version, now - report.age_ms / 1000, report.services
        )
        return True

    def get_loads(self, service: str, now: float) -> dict[str, ZoneLoad]:
        """Return the loads of a service by zone that are recent enough."""
        return {
            zone: ZoneLoad(
                load.slots,
                load.running,
                load.waiting,
                load.capacity,
                known.measured_at,
            )
            for zone, known in self._zones.items()
            if now - known.measured_at <= MAX_AGE_SECONDS
            for load in known.services
            if load.service == service
        }

    def get_version(self, zone: str) -> Version:
        """Return the version of a zone's load, (0, 0) if it is unknown."""
        known = self._zones.get(zone)
        return (0, 0) if known is None else known.version

    def list_reports(self, now: float) -> list[ZoneReport]:
        """Return the loads that are recent enough, with their present age."""
        return [
            ZoneReport(
                zone,
                known.version,
                max(0, round(1000 * (now - known.measured_at))),
                known.services,
            )
            for zone, known in self._zones.items()
            if now - known.measured_at <= MAX_AGE_SECONDS
        ]

    def prune(self, now: float) -> None:
        """Drop what has not been renewed for several times the maximum age.

        Until then the version tells late datagrams from new ones.
        """
        for zone, known in list(self._zones.items()):
            if now - known.measured_at > 5 * MAX_AGE_SECONDS:
                del self._zones[zone]


def _add(known: ServiceLoad | None, load: ServiceLoad) -> ServiceLoad:
    if known is None:
        return load
    return ServiceLoad(
        load.service,
        known.slots + load.slots,
        known.running + load.running,
        known.waiting + load.waiting,
        known.capacity + load.capacity,
    )


def _is_newer(version: Version, known: _Received | None, now: float) -> bool:
    if known is None or version > known.version:
        return True
    return now - known.measured_at > MAX_AGE_SECONDS


def _is_acceptable(
    sender: str, version: Version, services: tuple[ServiceLoad, ...]
) -> bool:
    """Return whether all figures are possible."""
    if (
        not _is_name(sender)
        or min(version) < 0
        or max(version) > MAX_EPOCH
        or len(services) > MAX_SERVICES
    ):
        return False
    names = {load.service for load in services}
    return len(names) == len(services) and all(map(_is_possible, services))


def _is_possible(load: ServiceLoad) -> bool:
    counts = (load.slots, load.running, load.waiting, load.capacity)
    return _is_name(load.service) and all(
        math.isfinite(count) and 0 <= count <= MAX_COUNT for count in counts
    )


def _is_name(name: str) -> bool:
    return 0 < len(name) <= MAX_NAME_LENGTH
