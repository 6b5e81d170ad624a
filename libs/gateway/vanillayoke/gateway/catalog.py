"""The configuration in force and the targets, as followed in the store.

Pure: rows come in, lookups go out. Versions of rows only grow here, whatever
order reads and feeds bring them in.
"""

import typing

from vanillayoke.gateway import messages

# How long after the store's return a target whose row is missing may be
# back; rows lapse while the store can't take heartbeats. Seconds.
LAPSE_GRACE = 2.2


class Catalog:
    """What an instance believes of routes and targets."""

    def __init__(self) -> None:
        self.configuration: messages.Configuration | None = None
        self.has_targets = False
        self._targets: dict[str, messages.Target] = {}
        self._versions: dict[str, int] = {}
        self._missing: dict[str, float] = {}
        self._routes: dict[str, list[messages.Route]] = {}
        self._by_service: dict[str, list[messages.Target]] = {}

    def put_configuration(self, new: messages.Configuration) -> bool:
        """Take a configuration over unless it is older; say if it was."""
        now = self.configuration
        if now is not None and new.version <= now.version:
            return False
        self.configuration = new
        self._routes = {}
        for route in new.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return True

    def find_route(self, host: str, path: str) -> messages.Route | None:
        """Return the route of the longest prefix of a path."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def put_target(self, target: messages.Target, version: int) -> bool:
        """Take a target's row over unless it is older than the known one."""
        if version <= self._versions.get(target.name, -1):
            return False
        self._versions[target.name] = version
        self._missing.pop(target.name, None)
        self._targets[target.name] = target
        self._index()
        return True

    def is_restart(self, target: messages.Target) -> bool:
        """Say whether a row tells of a new process under a known name."""
        known = self._targets.get(target.name)
        return known is not None and known.started != target.started

    def miss_target(
        self, name: str, version: int, until: float | None
    ) -> bool:
        """Note that a target's row has gone.

        Without ``until`` the target is gone at once; else it may still come
        back until then, and gets work meanwhile.
        """
        if version < self._versions.get(name, -1):
            return False
        self._versions[name] = version
        if name not in self._targets:
            return False
        if until is None:
            self._drop(name)
        else:
            self._missing.setdefault(name, until)
        return True

    def replace_targets(
        self,
        rows: typing.Iterable[tuple[messages.Target, int]],
        version: int,
        until: float | None,
    ) -> None:
        """Take over a whole reading of the table at a version."""
        seen = set()
        for target, row_version in rows:
            seen.add(target.name)
            self.put_target(target, row_version)
        for name in set(self._targets) - seen:
            self.miss_target(name, version, until)
        self.has_targets = True

    def expire(self, now: float) -> list[str]:
        """Drop the targets that were missing for too long; name them."""
        over = [name for name, until in self._missing.items() if now >= until]
        for name in over:
            self._drop(name)
        return over

    def list_targets(self, service: str) -> list[messages.Target]:
        """Return the targets of a service that may get new work."""
        return self._by_service.get(service, [])

    @property
    def names(self) -> typing.Collection[str]:
        """The names of all known targets."""
        return self._targets.keys()

    def _drop(self, name: str) -> None:
        self._missing.pop(name, None)
        self._targets.pop(name, None)
        self._index()

    def _index(self) -> None:
        found: dict[str, list[messages.Target]] = {}
        for target in self._targets.values():
            if not target.is_leaving:
                found.setdefault(target.service, []).append(target)
        self._by_service = found


def choose_service(route: messages.Route, point: float) -> str:
    """Return the service for a point between 0 and 1 of the shares."""
    total = sum(max(0.0, share.weight) for share in route.shares)
    if total <= 0:
        return route.shares[0].service
    left = point * total
    for share in route.shares:
        left -= max(0.0, share.weight)
        if left < 0:
            return share.service
    return route.shares[-1].service
