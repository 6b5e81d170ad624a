"""Shares of the descriptors of a process.

Each listener keeps to a share, so that connections to targets, to the store
and of the other listeners always find descriptors.
"""

import typing

# For files, as deployments count them towards the limit.
FILE_DESCRIPTORS = 200
# Listening sockets, datagrams, the event loop's own, and connections that are
# accepted while others are being closed.
OWN_SOCKETS = 30
# Each request of a caller may need a connection to a target, some need two.
CALLER_RATIO = 1 / 3
# Of each other listener.
AUXILIARY_RATIO = 1 / 32
MIN_CONNECTIONS = 2


class Shares(typing.NamedTuple):
    """The most connections that the listeners accept.

    ``callers`` is that of the listener for callers, and ``auxiliary`` that of
    each other listener.
    """

    callers: int
    auxiliary: int

    @classmethod
    def from_limit(cls, limit: int) -> typing.Self:
        """Return the shares of a process with a limit on descriptors."""
        sockets = limit - FILE_DESCRIPTORS - OWN_SOCKETS
        return cls(
            max(MIN_CONNECTIONS, int(CALLER_RATIO * sockets)),
            max(MIN_CONNECTIONS, int(AUXILIARY_RATIO * sockets)),
        )
