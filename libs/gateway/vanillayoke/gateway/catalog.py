"""The configuration in force and the targets, as followed in the store.

Pure: rows come in, lookups go out. Versions of rows only grow here, whatever
order reads and feeds bring them in.
"""

import typing

from vanillayoke.gateway import messages

# How long after the store's return a target whose row is missing may be
# back; rows lapse while the store can't take heartbeats. Seconds.
LAPSE_GRACE_SECONDS = 2.2


class Catalog:
    """What an instance believes of routes and targets."""

    def __init__(self) -> None:
        self.configuration: messages.Configuration | None = None
        self.has_read_targets = False
        self._targets: dict[str, messages.Target] = {}
        self._versions: dict[str, int] = {}
        self._missing: dict[str, float] = {}
        self._routes: dict[str, list[messages.Route]] = {}
        # Those that may get work, by service and name, and the same as lists
        # that are made when asked for. A heartbeat of one of 1,700 targets
        # must not cost a walk over all.
        self._ready: dict[str, dict[str, messages.Target]] = {}
        self._lists: dict[str, list[messages.Target]] = {}

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 for none."""
        return 0 if self.configuration is None else self.configuration.version

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
        """Take a target's row over unless it is older than the known one.

        Return whether it tells anything new: most are heartbeats.
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
            self._ready.setdefault(target.service, {})[target.name] = target
            self._lists.pop(target.service, None)
        return True

    def is_restart(self, target: messages.Target) -> bool:
        """Say whether a row tells of a new process under a known name."""
        known = self._targets.get(target.name)
        return known is not None and known.started != target.started

    def mark_target_missing(
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
            self.mark_target_missing(name, version, until)
        self.has_read_targets = True

    def expire(self, now: float) -> list[str]:
        """Drop the targets that were missing for too long; name them."""
        over = [name for name, until in self._missing.items() if now >= until]
        for name in over:
            self._drop(name)
        return over

    def list_targets(self, service: str) -> list[messages.Target]:
        """Return the targets of a service that may get new work."""
        found = self._lists.get(service)
        if found is None:
            found = list(self._ready.get(service, {}).values())
            self._lists[service] = found
        return found

    @property
    def target_names(self) -> typing.Collection[str]:
        """The names of all known targets."""
        return self._targets.keys()

    def _drop(self, name: str) -> None:
        self._missing.pop(name, None)
        self._drop_ready(name)
        self._targets.pop(name, None)

    def _drop_ready(self, name: str) -> None:
        target = self._targets.get(name)
        if target is not None:
            self._ready.get(target.service, {}).pop(name, None)
            self._lists.pop(target.service, None)


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
