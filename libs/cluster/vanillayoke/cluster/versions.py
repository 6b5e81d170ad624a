"""Which version of the configuration is in force: the highest ever seen."""


class VersionTracker:
    """Tracks the configuration version heard of and the one in force.

    Versions come from the table, from peers and from this instance's own
    row, late and out of order. Neither number ever falls: an old table
    read or a slow peer cannot bring a replaced configuration back.
    """

    def __init__(self, in_force: int = 0) -> None:
        self._in_force = in_force
        self._highest = in_force

    @property
    def in_force(self) -> int:
        """Return the version that is in force here."""
        return self._in_force

    @property
    def highest(self) -> int:
        """Return the highest version heard of."""
        return self._highest

    @property
    def missing(self) -> int | None:
        """Return the version to fetch, ``None`` when up to date."""
        if self._highest > self._in_force:
            return self._highest
        return None

    def hear(self, version: int) -> bool:
        """Note that a version exists; tell whether it must be fetched."""
        self._highest = max(self._highest, version)
        return self.missing is not None

    def adopt(self, version: int) -> bool:
        """Put a fetched version in force; refuse it unless it is newer."""
        self._highest = max(self._highest, version)
        if version <= self._in_force:
            return False
        self._in_force = version
        return True
