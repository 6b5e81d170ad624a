"""The configuration in force and the targets, as known from the store.

This is pure logic without I/O. Rows may arrive in any order from reads and
feeds; older versions of a row are ignored.
"""

import typing

from vanillayoke.gateway import messages

# Rows expire while the store accepts no heartbeats. After the recovery of the
# store, a target whose row is missing is kept for this time.
MISSING_ROW_GRACE_SECONDS = 2.2


class Catalog:
    """The routes and targets that an instance knows."""

    def __init__(self) -> None:
        self.configuration: messages.Configuration | None = None
        self.has_read_targets = False
        self._targets: dict[str, messages.Target] = {}
        self._versions: dict[str, int] = {}
        self._missing: dict[str, float] = {}
        self._routes: dict[str, list[messages.Route]] = {}
        # Targets that may get work, by service and name, and the same as lists
        # that are built on demand. The cost of a heartbeat must not depend on
        # the number of targets.
        self._ready: dict[str, dict[str, messages.Target]] = {}
        self._lists: dict[str, list[messages.Target]] = {}
        # Targets that have announced that they leave, and when.
        self._draining: dict[str, tuple[messages.Target, float]] = {}

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 for none."""
        return 0 if self.configuration is None else self.configuration.version

    def put_configuration(self, new: messages.Configuration) -> bool:
        """Apply a configuration; return False if it isn't newer."""
        current = self.configuration
        if current is not None and new.version <= current.version:
            return False
        self.configuration = new
        self._routes = {}
        for route in new.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return True

    def find_route(self, host: str, path: str) -> messages.Route | None:
        """Return the route with the longest matching prefix of a path."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def put_target(self, target: messages.Target, version: int) -> bool:
        """Apply a target's row unless it is older than the known one.

        Return whether anything has changed; most rows are heartbeats.
        """
        if version <= self._versions.get(target.name, -1):
            return False
        self._versions[target.name] = version
        was_missing = self._missing.pop(target.name, None) is not None
        if self._targets.get(target.name) == target:
            return was_missing
        self._drop_ready(target.name)
        self._targets[target.name] = target
        if not target.is_leaving:
            self._draining.pop(target.name, None)
            self._ready.setdefault(target.service, {})[target.name] = target
            self._lists.pop(target.service, None)
        return True

    def is_restart(self, target: messages.Target) -> bool:
        """Return whether a row is of a new process of a known target."""
        current = self._targets.get(target.name)
        return current is not None and current.started != target.started

    def mark_target_missing(
        self, name: str, version: int, deadline: float | None
    ) -> bool:
        """Record that a target's row was removed.

        Without a deadline the target is dropped at once. Otherwise it gets
        work until the deadline, and longer if its row is written again. Return
        False for unknown targets and for older versions than the known one.
        """
        if version < self._versions.get(name, -1):
            return False
        self._versions[name] = version
        if name not in self._targets:
            return False
        if deadline is None:
            self._drop(name)
        else:
            self._missing.setdefault(name, deadline)
        return True

    def replace_targets(
        self,
        rows: typing.Iterable[tuple[messages.Target, int]],
        version: int,
        deadline: float | None,
    ) -> None:
        """Apply all rows of the table as read at a version."""
        seen = set()
        for target, row_version in rows:
            seen.add(target.name)
            self.put_target(target, row_version)
        for name in set(self._targets) - seen:
            self.mark_target_missing(name, version, deadline)
        self.has_read_targets = True

    def expire(self, now: float) -> list[messages.Target]:
        """Drop missing targets whose deadline is over, and return them."""
        expired = [
            self._targets[name]
            for name, deadline in self._missing.items()
            if now >= deadline
        ]
        for target in expired:
            self._drop(target.name)
        return expired

    def list_targets(self, service: str) -> list[messages.Target]:
        """Return the targets of a service that may get new work."""
        targets = self._lists.get(service)
        if targets is None:
            targets = list(self._ready.get(service, {}).values())
            self._lists[service] = targets
        return targets

    def record_draining(self, target: messages.Target, now: float) -> None:
        """Record that a target has just announced that it leaves."""
        _, since = self._draining.get(target.name, (None, now))
        self._draining[target.name] = target, since

    def list_draining(
        self, service: str, since: float
    ) -> list[messages.Target]:
        """Return the targets of a service that leave since then or later."""
        return [
            target
            for target, draining_since in self._draining.values()
            if target.service == service and draining_since >= since
        ]

    def find_draining_since(self, name: str) -> float | None:
        """Return when a target announced its end, ``None`` if unknown."""
        _, since = self._draining.get(name, (None, None))
        return since

    def get_target(self, name: str) -> messages.Target | None:
        """Return a target, ``None`` if it is not known."""
        return self._targets.get(name)

    def find_target(self, service: str, name: str) -> messages.Target | None:
        """Return a target of a service if it may get new work."""
        return self._ready.get(service, {}).get(name)

    @property
    def target_names(self) -> typing.Collection[str]:
        """The names of all known targets, missing and leaving ones too."""
        return self._targets.keys()

    def _drop(self, name: str) -> None:
        self._missing.pop(name, None)
        self._drop_ready(name)
        self._draining.pop(name, None)
        self._targets.pop(name, None)

    def _drop_ready(self, name: str) -> None:
        target = self._targets.get(name)
        if target is not None:
            self._ready.get(target.service, {}).pop(name, None)
            self._lists.pop(target.service, None)


def choose_service(route: messages.Route, point: float) -> str:
    """Return the service whose share of the weights contains a point.

    ``point`` is between 0 and 1.
    """
    total = sum(max(0.0, share.weight) for share in route.shares)
    if total <= 0:
        return route.shares[0].service
    remaining = point * total
    for share in route.shares:
        remaining -= max(0.0, share.weight)
        if remaining < 0:
            return share.service
    return route.shares[-1].service
