"""Which connection of a server is closed to make room for another."""

import collections
import enum
import typing

if typing.TYPE_CHECKING:
    from vanillayoke.transport import server_connection


class State(enum.IntEnum):
    """What a connection does, in the order in which connections yield."""

    # Between two requests.
    IDLE = 0
    # Its last response is written; it closes soon.
    CLOSING = 1
    # It has sent a request, or a part of one, that is not handled yet.
    READING = 2
    # Its request is handled, or a response is on its way. It does not yield.
    BUSY = 3

    @property
    def label(self) -> str:
        """The name in log lines and metrics."""
        return self.name.lower()


class Evictions:
    """The connections of a server by state, those longest in it first."""

    def __init__(self) -> None:
        self._states: dict[server_connection.Connection, State] = {}
        self._yielding: dict[
            State,
            collections.OrderedDict[server_connection.Connection, None],
        ] = {
            state: collections.OrderedDict()
            for state in State
            if state is not State.BUSY
        }

    def set_state(
        self, connection: 'server_connection.Connection', state: State
    ) -> None:
        """Record what a connection does from now on."""
        self.remove(connection)
        self._states[connection] = state
        if state is not State.BUSY:
            self._yielding[state][connection] = None

    def remove(self, connection: 'server_connection.Connection') -> None:
        """Forget a connection."""
        state = self._states.pop(connection, State.BUSY)
        if state is not State.BUSY:
            del self._yielding[state][connection]

    def pop(self) -> tuple['server_connection.Connection', State] | None:
        """Remove and return the connection that yields first, if any does.

        Those whose clients have not taken all of a response are the last.
        """
        for takes_unsent in (False, True):
            for state, connections in self._yielding.items():
                for connection in connections:
                    if takes_unsent or not connection.has_unsent_bytes:
                        self.remove(connection)
                        return connection, state
        return None
